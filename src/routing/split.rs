//! The split of engines by prompt length.
//!
//! In each failure domain some engines accept no long prompts, so that short
//! requests find engines without them. The others accept both: short requests
//! go there while no long prompt is in prefill. The number of engines that
//! accept long prompts follows the share of long prompts in all prompt tokens.

use crate::clock::Millis;
use crate::job::LengthClass;
use crate::routing::lane::LaneBackend;

/// Time constant of the moving average of demand.
pub const DEMAND_TIME_CONSTANT: Millis = Millis::from_secs(30);
/// How far the share of long prompts, a fraction of all prompt tokens, must
/// fall below `applied_share` before fewer engines accept long prompts.
pub const NARROWING_HYSTERESIS: f64 = 0.1;
/// Minimum fraction of a domain's engines that accept no long prompts.
pub const MIN_SHORT_ONLY_FRACTION: f64 = 0.25;

/// Moving averages of the prompt tokens of long and of all requests, and the
/// share of engines for long prompts derived from them.
#[derive(Debug, Default)]
pub struct LengthSplit {
    long_tokens: f64,
    all_tokens: f64,
    updated_at: Millis,
    applied_share: f64,
}

impl LengthSplit {
    /// Records the prompt tokens of a request.
    pub fn observe(&mut self, now: Millis, length: LengthClass, tokens: u64) {
        let decay = (-(now.since(self.updated_at).0 as f64) / DEMAND_TIME_CONSTANT.0 as f64).exp();
        self.updated_at = now;
        self.long_tokens *= decay;
        self.all_tokens = self.all_tokens * decay + tokens as f64;
        if length != LengthClass::Short {
            self.long_tokens += tokens as f64;
        }
        let share = self.long_share();
        if share > self.applied_share || share + NARROWING_HYSTERESIS < self.applied_share {
            self.applied_share = share;
        }
    }

    /// Returns how many of a domain's `engines` engines accept long prompts.
    #[must_use]
    pub fn long_engine_count(&self, engines: usize) -> usize {
        if engines < 2 {
            return engines;
        }
        let proportional_count = (self.applied_share * engines as f64).ceil() as usize;
        let short_only = ((engines as f64 * MIN_SHORT_ONLY_FRACTION).ceil() as usize).max(1);
        proportional_count.clamp(1, engines - short_only)
    }

    /// Returns whether a backend server accepts long prompts.
    #[must_use]
    pub fn accepts_long(&self, server: &LaneBackend) -> bool {
        server.domain_rank < self.long_engine_count(server.domain_size)
    }

    /// Returns the share of long prompts in all prompt tokens.
    #[must_use]
    pub fn long_share(&self) -> f64 {
        self.long_tokens / self.all_tokens.max(1.0)
    }
}
