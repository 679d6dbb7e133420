//! Quarantine of requests that crash the backend servers that run them.
//!
//! A request is identified by a hash of its content. Instances report to each
//! other which request crashed a server. A request that crashed several servers
//! is refused for a while, whichever caller sends it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;

/// Distinct servers crashed by a request before it is refused. The platform
/// allows a request to crash at most three servers.
const CRASH_LIMIT: usize = 3;
/// Time after a request's last crash for which its crashes count and it stays
/// quarantined.
const QUARANTINE_PERIOD: Millis = Millis(60_000);
/// Maximum number of fingerprints kept. The oldest is evicted first.
const MAX_RECORDS: usize = 4_096;

/// Requests that crashed servers, by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    records: BTreeMap<u64, Record>,
}

#[derive(Debug, Default)]
struct Record {
    servers: BTreeSet<u64>,
    last_crash: Millis,
}

impl Crashes {
    /// Records that a server crashed while it ran a request. Returns the number
    /// of distinct servers that the request crashed.
    pub fn record(&mut self, now: Millis, fingerprint: u64, server: u64) -> usize {
        self.records
            .retain(|_, record| now.since(record.last_crash) < QUARANTINE_PERIOD);
        let record = self.records.entry(fingerprint).or_default();
        record.servers.insert(server);
        record.last_crash = now;
        let crashed = record.servers.len();
        while self.records.len() > MAX_RECORDS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.last_crash);
            let Some((&fingerprint, _)) = oldest else {
                break;
            };
            self.records.remove(&fingerprint);
        }
        crashed
    }

    /// Clears the record of a request that completed, and so is not the cause
    /// of the crashes.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns the remaining quarantine of a request, or `None` if it is not
    /// quarantined.
    #[must_use]
    pub fn quarantine_remaining(&self, now: Millis, fingerprint: u64) -> Option<Millis> {
        let record = self.records.get(&fingerprint)?;
        let remaining = (record.last_crash + QUARANTINE_PERIOD).since(now);
        (record.servers.len() >= CRASH_LIMIT && remaining > Millis::ZERO).then_some(remaining)
    }
}
