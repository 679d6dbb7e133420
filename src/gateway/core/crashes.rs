//! Requests that crash the backend servers that run them.
//!
//! A request is known by a hash of what it asks. Each instance tells the others
//! under which request a server died; one that did so on several servers is
//! refused for a while, whoever sends it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;

/// Distinct servers that died under a request before it is refused; the
/// platform allows three.
const CRASH_LIMIT: usize = 3;
/// Time for which a crash counts.
const HOLD: Millis = Millis(60_000);
/// Fingerprints that are kept; the oldest gives way.
const MAX_RECORDS: usize = 4_096;

/// What is known of requests under which servers died.
#[derive(Debug, Default)]
pub struct Crashes {
    records: BTreeMap<u64, Record>,
}

#[derive(Debug, Default)]
struct Record {
    servers: BTreeSet<u64>,
    last: Millis,
}

impl Crashes {
    /// Takes over that a server died under a request.
    pub fn record(&mut self, now: Millis, fingerprint: u64, server: u64) {
        self.records
            .retain(|_, record| now.since(record.last) < HOLD);
        let record = self.records.entry(fingerprint).or_default();
        record.servers.insert(server);
        record.last = now;
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.last);
            let Some((&fingerprint, _)) = oldest else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }

    /// Takes over that a request was answered whole: it crashes nothing.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns for how much longer a request is refused, if it is.
    #[must_use]
    pub fn held(&self, now: Millis, fingerprint: u64) -> Option<Millis> {
        let record = self.records.get(&fingerprint)?;
        let left = (record.last + HOLD).since(now);
        (record.servers.len() >= CRASH_LIMIT && left > Millis::ZERO).then_some(left)
    }
}
