//! Static shares of limits that apply across all instances.
//!
//! A limit that must hold even when instances cannot reach each other is
//! divided between them in advance, so that enforcing it needs no messages.

use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::gateway::server_table::ServerKey;

/// Window over which the request rate of a cold backend server is counted.
const COLD_WINDOW: Millis = Millis(1_000);

/// This instance's shares of the rate limits of cold backend servers.
#[derive(Debug, Default)]
pub struct ColdShares {
    sent: HashMap<ServerKey, VecDeque<Millis>>,
}

impl ColdShares {
    /// Returns whether one more request may go to a cold backend server to
    /// which this instance may send `limit` requests per second.
    #[must_use]
    pub fn allows(&self, now: Millis, server: ServerKey, limit: usize) -> bool {
        let recent = self.sent.get(&server).map_or(0, |sent| {
            sent.iter()
                .filter(|&&at| now.since(at) <= COLD_WINDOW)
                .count()
        });
        recent < limit
    }

    /// Records a request sent to a cold backend server.
    pub fn record(&mut self, now: Millis, server: ServerKey) {
        let sent = self.sent.entry(server).or_default();
        sent.retain(|&at| now.since(at) <= COLD_WINDOW);
        sent.push_back(now);
    }
}

/// Returns how many requests per second one of `instances` may send to a cold
/// backend server limited to `rate`. If there are more instances than requests
/// in the rate, about as many instances as the rate allows may send one each,
/// selected by a hash of the instance's name and the server's id.
#[must_use]
pub fn cold_share(rate: f64, instances: usize, name: &str, server_hash: u64) -> usize {
    let instances = instances.max(1);
    let share = (rate / instances as f64).floor() as usize;
    if share > 0 {
        return share;
    }
    let hash = xxh3_64_with_seed(name.as_bytes(), server_hash);
    let fraction = hash as f64 / u64::MAX as f64;
    usize::from(fraction < rate / instances as f64)
}
