//! Settings of the gateway's core.

use crate::clock::Millis;

/// How the plain server of a call is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallPlacement {
    /// The fewest calls for its slots that are known of, then the own failure
    /// domain, then the order in the registry.
    #[default]
    FewestCalls,
    /// The fewest calls of this instance for its slots; at random among equals.
    LeastOutstanding,
    /// The one with fewer calls of two at random.
    TwoChoices,
    /// The least expected loss by learned costs; see [`crate::gateway::cost`].
    LearnedCost,
}

/// Where the expected length of a prompt's output comes from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputLengthSource {
    /// From the caller, or else the engine's mean.
    #[default]
    Caller,
    /// From the caller, corrected by the lengths of the route's latest outputs.
    Learned,
}

/// Limits that the gateway's decisions must respect, and how they are made.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time after the removal of an API key within which every instance stops
    /// accepting it.
    pub key_revoke_limit: Millis,
    /// Time within which a configuration change takes effect.
    pub config_apply_limit: Millis,
    /// Retries allowed per request, over all instances.
    pub retry_ratio: f64,
    /// Additional retries allowed beyond that ratio, over all instances.
    pub retry_extra: f64,
    /// Time after the end of a request within which its reserved memory has to
    /// be free again.
    pub reservation_leak_limit: Millis,
    /// Time after which reserved but unused memory counts as idle for too long.
    pub reservation_idle_limit: Millis,
    /// Time after an outage of the store in which expired entries are expected
    /// to be written again.
    pub entry_recovery_time: Millis,
    /// Interval at which backend servers write their entries.
    pub server_write_interval: Millis,
    /// How the plain server of a call is chosen.
    pub call_placement: CallPlacement,
    /// Where the expected length of a prompt's output comes from.
    pub output_lengths: OutputLengthSource,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            key_revoke_limit: Millis(5_000),
            config_apply_limit: Millis(2_000),
            retry_ratio: 0.2,
            retry_extra: 100.0,
            reservation_leak_limit: Millis(4_000),
            reservation_idle_limit: Millis(9_000),
            entry_recovery_time: Millis(2_000),
            server_write_interval: Millis(1_200),
            call_placement: CallPlacement::default(),
            output_lengths: OutputLengthSource::default(),
        }
    }
}
