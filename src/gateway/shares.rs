//! Static shares of limits that hold over all instances.
//!
//! A limit that must hold however instances are cut off from each other is
//! split between them beforehand, so that no message is needed to keep it.

use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::gateway::roster::ServerKey;

/// Span over which the rate of a cold backend server is counted.
const COLD_WINDOW: Millis = Millis(1_000);

/// This instance's share of the rates that cold backend servers bear.
#[derive(Debug, Default)]
pub struct ColdShares {
    sent: HashMap<ServerKey, VecDeque<Millis>>,
}

impl ColdShares {
    /// Returns whether one more request may go to a cold backend server.
    #[must_use]
    pub fn allows(&self, now: Millis, server: ServerKey, share: usize) -> bool {
        let recent = self.sent.get(&server).map_or(0, |sent| {
            sent.iter()
                .filter(|&&at| now.since(at) <= COLD_WINDOW)
                .count()
        });
        recent < share
    }

    /// Counts a request that goes to a cold backend server.
    pub fn count(&mut self, now: Millis, server: ServerKey) {
        let sent = self.sent.entry(server).or_default();
        sent.retain(|&at| now.since(at) <= COLD_WINDOW);
        sent.push_back(now);
    }
}

/// Returns how many requests a second one of `instances` may send to a cold
/// backend server that bears `rate`. Where there are more instances than the
/// rate has requests, as many of them as it has may send one each: those whose
/// hash with the server's short name is lowest.
#[must_use]
pub fn cold_share(rate: f64, instances: usize, name: &str, server_hash: u64) -> usize {
    let instances = instances.max(1);
    let share = (rate / instances as f64).floor() as usize;
    if share > 0 {
        return share;
    }
    let draw = xxh3_64_with_seed(name.as_bytes(), server_hash);
    let part = draw as f64 / u64::MAX as f64;
    usize::from(part < rate / instances as f64)
}
