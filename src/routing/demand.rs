//! Demand for capacity leases by waiting jobs.

use super::Lane;
use super::LaneKey;
use crate::clock::Millis;
use crate::declaration::Limits;
use crate::job::Cost;

/// Leases are requested from one more tier for each such time that the
/// longest-waiting job has waited.
pub const TIER_WAIT: Millis = Millis(150);

/// Demand of one lane's jobs that could not be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaneDemand {
    /// The lane.
    pub lane: LaneKey,
    /// Maximum cost over the jobs, in each dimension.
    pub largest: Cost,
    /// Minimum cost over the jobs, in each dimension.
    pub smallest: Cost,
    /// Sum over the jobs of importance plus one.
    pub weight: u64,
    longest_wait: Millis,
}

impl LaneDemand {
    /// Returns an empty demand for a lane.
    #[must_use]
    pub fn new(lane: LaneKey) -> LaneDemand {
        LaneDemand {
            lane,
            largest: Cost::default(),
            smallest: Cost {
                memory_tokens: u64::MAX,
                prefill_tokens: u64::MAX,
            },
            weight: 0,
            longest_wait: Millis::ZERO,
        }
    }

    /// Adds a job that has waited for `waited`.
    pub fn add(&mut self, cost: Cost, weight: u64, waited: Millis) {
        self.largest = combine(self.largest, cost, u64::max);
        self.smallest = combine(self.smallest, cost, u64::min);
        self.weight += weight;
        self.longest_wait = self.longest_wait.max(waited);
    }

    /// Returns the cost of the lease to request from a backend server with
    /// these limits: the maximum, or the minimum if the maximum exceeds the
    /// limits; `None` if both do.
    #[must_use]
    pub fn lease_cost(&self, limits: Limits) -> Option<Cost> {
        [self.largest, self.smallest]
            .into_iter()
            .find(|&cost| Lane::fits_limits(limits, cost))
    }

    /// Returns the number of tiers, best first, from which to request leases.
    #[must_use]
    pub fn tier_count(&self) -> usize {
        let further = self.longest_wait.0 / TIER_WAIT.0;
        usize::try_from(further)
            .unwrap_or(usize::MAX)
            .saturating_add(1)
    }
}

fn combine(a: Cost, b: Cost, pick: fn(u64, u64) -> u64) -> Cost {
    Cost {
        memory_tokens: pick(a.memory_tokens, b.memory_tokens),
        prefill_tokens: pick(a.prefill_tokens, b.prefill_tokens),
    }
}
