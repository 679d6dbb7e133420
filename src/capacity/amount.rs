//! Amounts of what a backend server bears: streams and tokens.

use serde::Deserialize;
use serde::Serialize;

use crate::declaration::Limits;
use crate::job::Cost;

/// Stands for a quantity without limit.
pub const UNLIMITED: u64 = u64::MAX;

/// Streams and tokens; [`UNLIMITED`] stays so under all operations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Amount {
    /// Requests in flight.
    pub streams: u64,
    /// Memory tokens in flight.
    pub memory: u64,
    /// Prompt tokens in flight and not yet processed.
    pub prefill: u64,
}

impl Amount {
    /// Nothing.
    pub const ZERO: Amount = Amount {
        streams: 0,
        memory: 0,
        prefill: 0,
    };

    /// Returns the amount that limits allow; without streams it is nothing.
    #[must_use]
    pub const fn of_limits(limits: Limits) -> Amount {
        if limits.streams == 0 {
            return Amount::ZERO;
        }
        Amount {
            streams: limits.streams as u64,
            memory: unlimited_if_zero(limits.memory_tokens),
            prefill: unlimited_if_zero(limits.prefill_tokens),
        }
    }

    /// Returns what one stream of this cost takes.
    #[must_use]
    pub const fn of_cost(cost: Cost) -> Amount {
        Amount {
            streams: 1,
            memory: cost.memory_tokens,
            prefill: cost.prefill_tokens,
        }
    }

    /// Returns the amount as limits; what is unlimited stays `u64::MAX`.
    #[must_use]
    pub fn as_limits(self) -> Limits {
        Limits {
            streams: u32::try_from(self.streams).unwrap_or(u32::MAX),
            memory_tokens: self.memory,
            prefill_tokens: self.prefill,
        }
    }

    /// Returns whether nothing is in it.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Amount::ZERO
    }

    /// Returns whether it covers `other` in every quantity.
    #[must_use]
    pub const fn covers(self, other: Amount) -> bool {
        self.streams >= other.streams
            && self.memory >= other.memory
            && self.prefill >= other.prefill
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Amount) -> Amount {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference, zero where `other` is larger.
    #[must_use]
    pub fn minus(self, other: Amount) -> Amount {
        self.zip(other, |mine, theirs| match mine {
            UNLIMITED => UNLIMITED,
            mine => mine.saturating_sub(theirs),
        })
    }

    /// Returns the larger of each quantity.
    #[must_use]
    pub fn max(self, other: Amount) -> Amount {
        self.zip(other, u64::max)
    }

    /// Returns the smaller of each quantity.
    #[must_use]
    pub fn min(self, other: Amount) -> Amount {
        self.zip(other, u64::min)
    }

    /// Returns the part `weight / total`, rounded down.
    #[must_use]
    pub fn part(self, weight: u64, total: u64) -> Amount {
        self.map(|quantity| {
            let product = u128::from(quantity) * u128::from(weight);
            narrow(product / u128::from(total.max(1)))
        })
    }

    /// Returns the part `weight / total`, rounded up.
    #[must_use]
    pub fn part_up(self, weight: u64, total: u64) -> Amount {
        self.map(|quantity| {
            let product = u128::from(quantity) * u128::from(weight);
            narrow(product.div_ceil(u128::from(total.max(1))))
        })
    }

    fn zip(self, other: Amount, f: impl Fn(u64, u64) -> u64) -> Amount {
        Amount {
            streams: f(self.streams, other.streams),
            memory: f(self.memory, other.memory),
            prefill: f(self.prefill, other.prefill),
        }
    }

    fn map(self, f: impl Fn(u64) -> u64) -> Amount {
        let keep = |quantity| match quantity {
            UNLIMITED => UNLIMITED,
            quantity => f(quantity),
        };
        Amount {
            streams: keep(self.streams),
            memory: keep(self.memory),
            prefill: keep(self.prefill),
        }
    }
}

const fn unlimited_if_zero(limit: u64) -> u64 {
    match limit {
        0 => UNLIMITED,
        limit => limit,
    }
}

fn narrow(quantity: u128) -> u64 {
    u64::try_from(quantity).unwrap_or(u64::MAX)
}
