//! Counters of the key-value service.

use std::collections::BTreeMap;

use serde::Serialize;

use skylarkhook::clock::Millis;

/// Counters.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct StoreStats {
    /// Calls of any sort.
    pub calls: u64,
    /// Reads that are not watches.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that wait now.
    pub watches_waiting: usize,
    /// Creates, swaps and deletes.
    pub writes: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls refused above the rate.
    pub limited: u64,
    /// Calls refused in an outage.
    pub refused: u64,
    /// Answers lost by order.
    pub lost: u64,
    /// Highest number of writes and lease calls in one second.
    pub writes_per_s_max: u32,
    /// Highest number of reads and watches in one second.
    pub reads_per_s_max: u32,
    /// Keys held.
    pub keys: usize,
    /// Bytes held, values as base64.
    pub bytes: usize,
    /// Writes by the first part of the key.
    pub writes_by_prefix: BTreeMap<String, u64>,
}

/// Calls of one second.
#[derive(Debug, Default)]
pub(super) struct Window {
    second: u64,
    calls: u32,
    pub max: u32,
}

impl Window {
    /// Counts a call; returns whether the rate allows it.
    pub fn admit(&mut self, now: Millis, rate: u32) -> bool {
        let second = now.0 / 1000;
        if self.second != second {
            self.second = second;
            self.calls = 0;
        }
        self.calls += 1;
        self.max = self.max.max(self.calls);
        self.calls <= rate
    }
}
