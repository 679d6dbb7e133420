//! How much slower an engine is than its published figures.
//!
//! It is learnt from the passes that were seen whole, from the events of a
//! stream to the next ones. A pass may also take longer as it reads what this
//! instance does not know of, so the quickest of the last passes counts.
//!
//! The load it answers: engines that turn slow while their health check is good.

use crate::clock::Millis;

/// Share of a pass after which a sign of its end is taken for that, and not for
/// the end of the one before.
pub const PASS_DONE_SHARE: f64 = 0.5;
/// Passes that are remembered of an engine.
const PACE_PASSES: usize = 6;
/// Factor up to which a pass that is too long says nothing: events have their
/// way, and their times are in whole ms.
const PACE_TOLERANCE: f64 = 1.25;
/// Time without a pass that was seen whole after which an engine counts as sound
/// again.
const PACE_LIFE: Millis = Millis(5_000);

/// Pace of one engine.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    /// When the pass that runs began, and how long it should take, in ms.
    began: Option<(Millis, f64)>,
    /// The last passes: time taken by time published.
    recent: [f64; PACE_PASSES],
    seen: usize,
    seen_at: Millis,
}

impl Pace {
    /// Returns by which factor the engine is slower than published.
    #[must_use]
    pub fn factor(&self) -> f64 {
        if self.seen < PACE_PASSES {
            return 1.0;
        }
        let quickest = self.recent.iter().copied().fold(f64::INFINITY, f64::min);
        match quickest > PACE_TOLERANCE {
            true => quickest,
            false => 1.0,
        }
    }

    /// Takes over that a pass has ended, by an event of a stream.
    pub fn pass_ended(&mut self, at: Millis) {
        if at.since(self.seen_at) > PACE_LIFE {
            self.seen = 0;
        }
        let Some((began, published_ms)) = self.began else {
            return;
        };
        let ratio = at.since(began).0 as f64 / published_ms.max(1.0);
        // Other streams of the same pass.
        if ratio < PASS_DONE_SHARE {
            return;
        }
        self.recent[self.seen % PACE_PASSES] = ratio;
        self.seen += 1;
        self.seen_at = at;
    }

    /// Takes over that the next pass has begun, and how long it takes by the
    /// published figures, in ms.
    pub fn pass_began(&mut self, at: Millis, published_ms: f64) {
        let same_pass = self
            .began
            .is_some_and(|(began, ms)| (at.since(began).0 as f64) < ms * PASS_DONE_SHARE);
        if !same_pass {
            self.began = Some((at, published_ms));
        }
    }
}
