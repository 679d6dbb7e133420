//! Credits that waiting jobs want.

use super::LaneKey;
use crate::clock::Millis;
use crate::job::Cost;

/// Time after which a job without room looks at one tier more.
pub const TIER_PATIENCE: Millis = Millis(150);

/// What the jobs of one lane want that found no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Want {
    /// The lane.
    pub lane: LaneKey,
    /// The largest job.
    pub cost: Cost,
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
            cost: Cost::default(),
            weight: 0,
            waited: Millis::ZERO,
        }
    }

    /// Adds a job that has waited for some time.
    pub fn add(&mut self, cost: Cost, weight: u64, waited: Millis) {
        self.cost.memory_tokens = self.cost.memory_tokens.max(cost.memory_tokens);
        self.cost.prefill_tokens = self.cost.prefill_tokens.max(cost.prefill_tokens);
        self.weight += weight;
        self.waited = self.waited.max(waited);
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
