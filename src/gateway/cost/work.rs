//! Distribution of the work of a route's calls.
//!
//! A few buckets of logarithmic width, which older samples leave as newer ones
//! come. A distribution rather than a mean, as the tail decides how often a call
//! misses its target.

use crate::clock::Millis;

/// Number of buckets; the last one ends at about 16 s.
const BUCKETS: usize = 28;
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Number of latest calls that the distribution consists of.
const MEMORY_CALLS: f64 = 200.0;
/// Largest part of the memory that one report may replace.
const MAX_WEIGHT: f64 = 20.0;
/// Calls that the assumption of a route of which nothing is known counts as.
const PRIOR_WEIGHT: f64 = 2.0;
/// Share of the latency target that a call is assumed to take.
const PRIOR_TARGET_SHARE: f64 = 0.25;

/// Work of the latest calls of a route, in ms on a server of usual speed.
#[derive(Debug, Clone)]
pub struct WorkDistribution {
    buckets: [f32; BUCKETS],
}

impl WorkDistribution {
    /// Creates the distribution that is assumed of a route with this latency
    /// target.
    #[must_use]
    pub fn new(target: Millis) -> WorkDistribution {
        let usual = (target.0 as f64 * PRIOR_TARGET_SHARE).max(1.0);
        let mut work = WorkDistribution {
            buckets: [0.0; BUCKETS],
        };
        for (factor, share) in [(0.5, 0.25), (1.0, 0.5), (2.0, 0.25)] {
            work.buckets[bucket(usual * factor)] += (share * PRIOR_WEIGHT) as f32;
        }
        work
    }

    /// Records the work of `weight` calls.
    pub fn record(&mut self, work_ms: f64, weight: f64) {
        let weight = weight.min(MAX_WEIGHT);
        // Counts up at first, so that the assumption gives way at once.
        let total = self.total();
        let keep = ((MEMORY_CALLS - weight) / total).min(1.0);
        for share in &mut self.buckets {
            *share *= keep as f32;
        }
        self.buckets[bucket(work_ms)] += weight as f32;
    }

    fn total(&self) -> f64 {
        self.buckets.iter().copied().map(f64::from).sum()
    }

    /// Returns the mean work, in ms.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        let weighted = self.buckets.iter().zip(0..);
        let sum: f64 = weighted
            .map(|(&share, index)| f64::from(share) * middle(index))
            .sum();
        sum / self.total()
    }

    /// Returns the share of calls whose work exceeds `work_ms`.
    #[must_use]
    pub fn share_above(&self, work_ms: f64) -> f64 {
        if work_ms <= 0.0 {
            return 1.0;
        }
        let position = work_ms.log2() * BUCKETS_PER_OCTAVE;
        let weighted = self.buckets.iter().zip(0..);
        let above: f64 = weighted
            .map(|(&share, index): (&f32, i32)| {
                let below = (position - f64::from(index)).clamp(0.0, 1.0);
                f64::from(share) * (1.0 - below)
            })
            .sum();
        above / self.total()
    }

    /// Returns the work that is left on average of a call of which `done_ms` are
    /// done. A call beyond all known ones is taken to be half done.
    #[must_use]
    pub fn mean_left_ms(&self, done_ms: f64) -> f64 {
        let (mut sum, mut total) = (0.0, 0.0);
        for (&share, index) in self.buckets.iter().zip(0..) {
            let left = middle(index) - done_ms;
            if left > 0.0 {
                sum += f64::from(share) * left;
                total += f64::from(share);
            }
        }
        match total > 0.0 && sum > 0.0 {
            true => sum / total,
            false => done_ms,
        }
    }
}

fn bucket(work_ms: f64) -> usize {
    let position = work_ms.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    (position as usize).min(BUCKETS - 1)
}

/// Returns the geometric middle of a bucket, in ms.
fn middle(index: i32) -> f64 {
    ((f64::from(index) + 0.5) / BUCKETS_PER_OCTAVE).exp2()
}
