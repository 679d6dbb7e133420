//! Estimate of how much slower an engine is than its published timings.
//!
//! The estimate compares completed forward passes, timed between events of a
//! stream, with their published duration. A pass may also take longer because
//! it prefills prompts that this instance does not know, so the fastest of the
//! last passes counts.
//!
//! Intended for engines that become slow while their health check still passes.

use crate::clock::Millis;

/// Share of a pass's expected duration before which an event belongs to the
/// previous pass and does not mark the end of this one.
pub const MIN_PASS_SHARE: f64 = 0.5;
/// Number of recent passes kept per engine.
const SLOWDOWN_SAMPLES: usize = 6;
/// Slowdown factor up to which an engine counts as healthy. Delivery delays and
/// timestamps in whole ms make passes seem longer than they are.
const SLOWDOWN_TOLERANCE: f64 = 1.25;
/// Time without a completed pass after which the estimate is discarded.
const SLOWDOWN_EXPIRY: Millis = Millis(5_000);

/// Slowdown estimate of one engine.
#[derive(Debug, Clone, Default)]
pub struct Slowdown {
    /// Start of the current pass, and its published duration in ms.
    current_pass: Option<(Millis, f64)>,
    /// Ratio of observed to published duration of the last passes, as a ring
    /// buffer.
    recent: [f64; SLOWDOWN_SAMPLES],
    samples: usize,
    last_sample_at: Millis,
}

impl Slowdown {
    /// Returns the factor by which the engine is slower than published.
    #[must_use]
    pub fn factor(&self) -> f64 {
        if self.samples < SLOWDOWN_SAMPLES {
            return 1.0;
        }
        let fastest = self.recent.iter().copied().fold(f64::INFINITY, f64::min);
        match fastest > SLOWDOWN_TOLERANCE {
            true => fastest,
            false => 1.0,
        }
    }

    /// Records the end of a pass, as signalled by an event of a stream.
    pub fn record_pass_end(&mut self, at: Millis) {
        if at.since(self.last_sample_at) > SLOWDOWN_EXPIRY {
            self.samples = 0;
        }
        let Some((began, published_ms)) = self.current_pass else {
            return;
        };
        let ratio = at.since(began).0 as f64 / published_ms.max(1.0);
        // An event of another stream, emitted at the end of the previous pass.
        if ratio < MIN_PASS_SHARE {
            return;
        }
        self.recent[self.samples % SLOWDOWN_SAMPLES] = ratio;
        self.samples += 1;
        self.last_sample_at = at;
    }

    /// Records the start of a pass, and its published duration in ms.
    pub fn record_pass_start(&mut self, at: Millis, published_ms: f64) {
        let is_same_pass = self
            .current_pass
            .is_some_and(|(began, ms)| (at.since(began).0 as f64) < ms * MIN_PASS_SHARE);
        if !is_same_pass {
            self.current_pass = Some((at, published_ms));
        }
    }
}
