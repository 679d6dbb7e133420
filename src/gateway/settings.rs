//! Settings of the gateway's core.

use crate::clock::Millis;

/// Limits that the gateway's decisions keep.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time after the removal of an API key within which every instance stops
    /// accepting it.
    pub revoke: Millis,
    /// Time within which a configuration change takes effect.
    pub config_apply: Millis,
    /// Retries allowed per request, over all instances.
    pub retry_ratio: f64,
    /// Additional retries allowed beyond that ratio, over all instances.
    pub retry_extra: f64,
    /// Time after the end of a request within which its reserved memory has to
    /// be free again.
    pub memory_free: Millis,
    /// Time after which reserved but unused memory counts as idle for too long.
    pub memory_idle: Millis,
    /// Time after an outage of the store in which expired entries are expected
    /// to be written again.
    pub store_return: Millis,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            revoke: Millis(5_000),
            config_apply: Millis(2_000),
            retry_ratio: 0.2,
            retry_extra: 100.0,
            memory_free: Millis(4_000),
            memory_idle: Millis(9_000),
            store_return: Millis(2_000),
        }
    }
}
