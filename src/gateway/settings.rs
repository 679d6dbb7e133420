//! What the gateway's core is told by the settings.

use crate::clock::Millis;

/// Bounds that the gateway's decisions keep.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time after a key's removal from which it must not be used any more.
    pub revoke: Millis,
    /// Time after which a change of the configuration has to be in force.
    pub config_apply: Millis,
    /// Retries for each request, over all instances.
    pub retry_ratio: f64,
    /// Retries beyond that ratio, over all instances.
    pub retry_extra: f64,
    /// Time after which reserved memory that nobody uses has to be free.
    pub memory_free: Millis,
    /// Time after which memory that is reserved and not used counts as idle for
    /// too long.
    pub memory_idle: Millis,
    /// Time in which entries that lapsed with the store come back.
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
