//! Quantities of a concurrency limit: streams and tokens.

use serde::Deserialize;
use serde::Serialize;

use crate::declaration::Limits;
use crate::job::Cost;

/// Marks a quantity that has no limit.
pub const UNLIMITED: u64 = u64::MAX;

/// A number of streams and tokens. Addition, subtraction and fractions leave
/// [`UNLIMITED`] unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Amount {
    /// Requests in flight.
    pub streams: u64,
    /// KV cache tokens in flight.
    pub memory: u64,
    /// Prompt tokens in flight whose prefill is not complete.
    pub prefill: u64,
}

impl Amount {
    /// The empty amount.
    pub const ZERO: Amount = Amount {
        streams: 0,
        memory: 0,
        prefill: 0,
    };

    /// Converts declared limits, in which 0 tokens means unlimited. Without
    /// streams the amount is zero.
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

    /// Returns the amount that one stream of this cost occupies.
    #[must_use]
    pub const fn of_cost(cost: Cost) -> Amount {
        Amount {
            streams: 1,
            memory: cost.memory_tokens,
            prefill: cost.prefill_tokens,
        }
    }

    /// Converts to limits; unlimited quantities stay `u64::MAX`.
    #[must_use]
    pub fn as_limits(self) -> Limits {
        Limits {
            streams: u32::try_from(self.streams).unwrap_or(u32::MAX),
            memory_tokens: self.memory,
            prefill_tokens: self.prefill,
        }
    }

    /// Returns whether all quantities are zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Amount::ZERO
    }

    /// Returns whether every quantity is at least that of `other`.
    #[must_use]
    pub const fn covers(self, other: Amount) -> bool {
        self.streams >= other.streams
            && self.memory >= other.memory
            && self.prefill >= other.prefill
    }

    /// Returns the sum of each quantity.
    #[must_use]
    pub fn plus(self, other: Amount) -> Amount {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference of each quantity, zero where `other` is larger;
    /// `UNLIMITED` less anything stays `UNLIMITED`.
    #[must_use]
    pub fn minus(self, other: Amount) -> Amount {
        self.zip(other, |mine, theirs| match mine {
            UNLIMITED => UNLIMITED,
            mine => mine.saturating_sub(theirs),
        })
    }

    /// Returns the maximum of each quantity.
    #[must_use]
    pub fn max(self, other: Amount) -> Amount {
        self.zip(other, u64::max)
    }

    /// Returns the minimum of each quantity.
    #[must_use]
    pub fn min(self, other: Amount) -> Amount {
        self.zip(other, u64::min)
    }

    /// Returns the fraction `weight / total`, rounded down.
    #[must_use]
    pub fn fraction_floor(self, weight: u64, total: u64) -> Amount {
        self.map(|quantity| {
            let product = u128::from(quantity) * u128::from(weight);
            saturating_u64(product / u128::from(total.max(1)))
        })
    }

    /// Returns the fraction `weight / total`, rounded up.
    #[must_use]
    pub fn fraction_ceil(self, weight: u64, total: u64) -> Amount {
        self.map(|quantity| {
            let product = u128::from(quantity) * u128::from(weight);
            saturating_u64(product.div_ceil(u128::from(total.max(1))))
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
        let apply = |quantity| match quantity {
            UNLIMITED => UNLIMITED,
            quantity => f(quantity),
        };
        Amount {
            streams: apply(self.streams),
            memory: apply(self.memory),
            prefill: apply(self.prefill),
        }
    }
}

const fn unlimited_if_zero(limit: u64) -> u64 {
    match limit {
        0 => UNLIMITED,
        limit => limit,
    }
}

fn saturating_u64(quantity: u128) -> u64 {
    u64::try_from(quantity).unwrap_or(u64::MAX)
}
