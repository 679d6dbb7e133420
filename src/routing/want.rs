//! Credits that waiting jobs want.

use super::Lane;
use super::LaneKey;
use crate::clock::Millis;
use crate::declaration::Limits;
use crate::job::Cost;

/// Time after which a job without room looks at one tier more.
pub const TIER_PATIENCE: Millis = Millis(150);

/// What the jobs of one lane want that found no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Want {
    /// The lane.
    pub lane: LaneKey,
    /// The largest job.
    pub largest: Cost,
    /// The smallest job.
    pub smallest: Cost,
    /// The jobs' importances, plus one each.
    pub weight: u64,
    waited: Millis,
}

impl Want {
    /// Returns the want of no job.
    #[must_use]
    pub fn new(lane: LaneKey) -> Want {
        Want {
            lane,
            largest: Cost::default(),
            smallest: Cost {
                memory_tokens: u64::MAX,
                prefill_tokens: u64::MAX,
            },
            weight: 0,
            waited: Millis::ZERO,
        }
    }

    /// Adds a job that has waited for some time.
    pub fn add(&mut self, cost: Cost, weight: u64, waited: Millis) {
        self.largest = pick(self.largest, cost, u64::max);
        self.smallest = pick(self.smallest, cost, u64::min);
        self.weight += weight;
        self.waited = self.waited.max(waited);
    }

    /// Returns the cost to ask a backend server with these limits for: of the
    /// largest job, or of the smallest if it can't hold that.
    #[must_use]
    pub fn cost_at(&self, limits: Limits) -> Option<Cost> {
        [self.largest, self.smallest]
            .into_iter()
            .find(|&cost| Lane::bears(limits, cost))
    }

    /// Returns how many tiers are worth asking.
    #[must_use]
    pub fn tiers(&self) -> usize {
        let more = self.waited.0 / TIER_PATIENCE.0;
        usize::try_from(more)
            .unwrap_or(usize::MAX)
            .saturating_add(1)
    }
}

fn pick(a: Cost, b: Cost, of: fn(u64, u64) -> u64) -> Cost {
    Cost {
        memory_tokens: of(a.memory_tokens, b.memory_tokens),
        prefill_tokens: of(a.prefill_tokens, b.prefill_tokens),
    }
}
