//! The split of engines by prompt length.
//!
//! In each failure domain some engines take no long prompts, so that short
//! requests find engines without them. The others take both: short requests go
//! there while no long prompt is being processed. How many take long prompts
//! follows the long prompts' part of all prompt tokens.

use crate::clock::Millis;
use crate::job::LengthClass;
use crate::routing::lane::Place;

/// Time constant of the average of demand.
pub const DEMAND_SPAN: Millis = Millis::from_secs(30);
/// By how much the long prompts' part must have fallen before the split narrows.
pub const NARROWING: f64 = 0.1;
/// Part of a domain's engines that stay free of long prompts whatever the
/// demand.
pub const SHORT_PART: f64 = 0.25;

/// Demand by length class and the split that follows from it.
#[derive(Debug, Default)]
pub struct Split {
    long_tokens: f64,
    all_tokens: f64,
    at: Millis,
    held: f64,
}

impl Split {
    /// Notes the prompt tokens of a request.
    pub fn observe(&mut self, now: Millis, length: LengthClass, tokens: u64) {
        let factor = (-(now.since(self.at).0 as f64) / DEMAND_SPAN.0 as f64).exp();
        self.at = now;
        self.long_tokens *= factor;
        self.all_tokens = self.all_tokens * factor + tokens as f64;
        if length != LengthClass::Short {
            self.long_tokens += tokens as f64;
        }
        let share = self.share();
        if share > self.held || share + NARROWING < self.held {
            self.held = share;
        }
    }

    /// Returns how many of `engines` engines of a domain take long prompts.
    #[must_use]
    pub fn long_engines(&self, engines: usize) -> usize {
        if engines < 2 {
            return engines;
        }
        let wanted = (self.held * engines as f64).ceil() as usize;
        let free = ((engines as f64 * SHORT_PART).ceil() as usize).max(1);
        wanted.clamp(1, engines - free)
    }

    /// Returns whether a backend server takes long prompts.
    #[must_use]
    pub fn takes_long(&self, place: &Place) -> bool {
        place.rank < self.long_engines(place.group)
    }

    /// Returns the long prompts' part of all prompt tokens.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.long_tokens / self.all_tokens.max(1.0)
    }
}
