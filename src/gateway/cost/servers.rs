//! What is known of the condition of one plain server.
//!
//! All facts lose weight within seconds, so that a server that was slow or full is
//! tried again soon, and gets less meanwhile rather than nothing. Health checks
//! count for nothing.

use crate::clock::Millis;

/// Time in which the weight of a fact falls to a third.
const MEMORY_MS: f64 = 3_000.0;
/// Least time from which the load of a server is taken.
const MIN_LOAD_MS: f64 = 1_000.0;
/// Number of calls that the assumption of a sound server of usual speed counts
/// as.
const PRIOR_CALLS: f64 = 2.0;
/// Share of refusals and of failures that is assumed.
const PRIOR_SHARE: f64 = 0.01;
/// Bounds of the ratio of a call's time to its route's usual time that one call
/// may count as, so that a rare long call does not condemn a server.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 8.0;
/// Standard deviation of that ratio on a server of usual speed, relative to its
/// mean.
const RATIO_DEVIATION: f64 = 0.6;

/// A learned quantity with its uncertainty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Uncertain {
    /// Expected value.
    pub mean: f64,
    /// Standard deviation of the expected value.
    pub deviation: f64,
}

/// Condition of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Factor by which calls take longer than usual on their routes.
    pub slowness: Uncertain,
    /// Share of calls that it refuses to run.
    pub refusals: Uncertain,
    /// Share of calls that fail beyond what is usual on their routes.
    pub failures: Uncertain,
    /// Calls of other instances that it runs or queues, on average.
    pub told_in_flight: f64,
    /// Slots that its calls would keep busy if it had the usual speed.
    pub busy_slots: f64,
}

/// Decaying sums over the latest calls on a server.
#[derive(Debug, Clone, Default)]
pub struct ServerFacts {
    /// Until when the sums have decayed.
    decayed_at: Millis,
    /// When the first call was recorded that its load is taken from.
    load_since: Option<Millis>,
    /// When the newest fact was learned.
    pub last_fact_at: Option<Millis>,
    ratios: f64,
    ratio_sum: f64,
    /// Calls that were answered, failed or were refused.
    calls: f64,
    refused: f64,
    /// Failures beyond the usual share of the calls' routes.
    excess_failures: f64,
    told_work_ms: f64,
    /// Usual work of the calls that it ran, of all instances.
    usual_work_ms: f64,
}

impl ServerFacts {
    fn decay(&mut self, now: Millis) {
        let factor = (-(now.since(self.decayed_at).0 as f64) / MEMORY_MS).exp();
        self.decayed_at = self.decayed_at.max(now);
        for sum in [
            &mut self.ratios,
            &mut self.ratio_sum,
            &mut self.calls,
            &mut self.refused,
            &mut self.excess_failures,
            &mut self.told_work_ms,
            &mut self.usual_work_ms,
        ] {
            *sum *= factor;
        }
    }

    /// Records how long calls took, as a multiple of the usual time.
    pub fn record_answer(&mut self, now: Millis, ratio: f64, weight: f64) {
        self.decay(now);
        self.ratios += weight;
        self.ratio_sum += ratio.clamp(MIN_RATIO, MAX_RATIO) * weight;
        self.last_fact_at = Some(now);
    }

    /// Records calls that were answered or failed: `excess` is 1 for a failure and
    /// 0 otherwise, less the usual share of failures.
    pub fn record_failure(&mut self, now: Millis, excess: f64, weight: f64) {
        self.decay(now);
        self.calls += weight;
        self.excess_failures += excess * weight;
        self.last_fact_at = Some(now);
    }

    /// Records calls that the server refused to run.
    pub fn record_refusal(&mut self, now: Millis, weight: f64) {
        self.decay(now);
        self.calls += weight;
        self.refused += weight;
        self.last_fact_at = Some(now);
    }

    /// Records the usual work of calls that the server ran.
    pub fn record_work(&mut self, now: Millis, work_ms: f64) {
        self.decay(now);
        self.load_since.get_or_insert(now);
        self.usual_work_ms += work_ms;
    }

    /// Records the time that calls of other instances spent on the server.
    pub fn record_told_work(&mut self, now: Millis, took_ms: f64, weight: f64) {
        self.decay(now);
        self.told_work_ms += took_ms * weight;
    }

    /// Returns what the facts say now.
    #[must_use]
    pub fn estimate(&self, now: Millis) -> Estimate {
        let mut facts = self.clone();
        facts.decay(now);
        // The sums cover less than the whole memory at first.
        let known_ms = facts.load_since.map_or(0.0, |at| now.since(at).0 as f64);
        let covered_ms = MEMORY_MS * (1.0 - (-known_ms.max(MIN_LOAD_MS) / MEMORY_MS).exp());
        let ratios = facts.ratios + PRIOR_CALLS;
        let slowness = (facts.ratio_sum + PRIOR_CALLS) / ratios;
        let calls = facts.calls + PRIOR_CALLS;
        let share = |sum: f64| {
            let mean = ((sum + PRIOR_SHARE * PRIOR_CALLS) / calls).clamp(0.0, 1.0);
            let variance = mean * (1.0 - mean) / (calls + 1.0);
            Uncertain {
                mean,
                deviation: variance.sqrt(),
            }
        };
        Estimate {
            slowness: Uncertain {
                mean: slowness,
                deviation: slowness * RATIO_DEVIATION / ratios.sqrt(),
            },
            refusals: share(facts.refused),
            failures: share(facts.excess_failures.max(0.0)),
            // Little's law: work per time is calls in flight.
            told_in_flight: facts.told_work_ms / covered_ms,
            busy_slots: facts.usual_work_ms / covered_ms,
        }
    }
}
