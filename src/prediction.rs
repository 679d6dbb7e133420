//! Prediction of time to first token and total time from learned speeds.
//!
//! Each engine has a prefill speed and a decode speed for each model, each
//! plain service a call time. Initial values come from the labels
//! `prefill_tokens_per_s`, `decode_tokens_per_s` and `call_ms`, or else from
//! the defaults here; attempts then update them by an exponentially weighted
//! moving average. The defaults are deliberately optimistic and marked as not
//! trusted: if a pessimistic guess caused all requests to be refused, no
//! attempt could correct it. For the same reason, a speed slower than its
//! initial value decays back to it while there are no new samples.

use la_arena::ArenaMap;

use crate::clock::Millis;
use crate::declaration::Limits;
use crate::declaration::Target;
use crate::fleet::Backend;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::job::Cost;
use crate::job::Job;

/// Prefill speed without a label, in prompt tokens per second.
pub const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 50_000.0;
/// Decode speed without a label, in output tokens per second in each stream.
pub const DEFAULT_DECODE_TOKENS_PER_S: f64 = 200.0;
/// Call time of a plain service without a label.
pub const DEFAULT_CALL_MS: f64 = 10.0;
/// Half-life with which a learned speed or call time that is slower than its
/// initial value decays back to it.
pub const SLOWNESS_HALF_LIFE: Millis = Millis::from_secs(60);
/// Assumed time per request spent outside the backend server (network and
/// gateway); added to each prediction.
pub const REQUEST_OVERHEAD: Millis = Millis(10);
/// Weight of a new sample in the moving average.
pub const LEARNING_RATE: f64 = 0.2;
/// Samples are clamped to the average times this and the average divided by
/// this.
pub const SAMPLE_BOUND: f64 = 4.0;
/// Minimum prompt tokens of a sample of the prefill speed.
pub const MIN_PREFILL_SAMPLE_TOKENS: u64 = 256;
/// Minimum output tokens of a sample of the decode speed.
pub const MIN_DECODE_SAMPLE_TOKENS: u32 = 8;
/// A first token signals a cold backend server if its time exceeds this
/// multiple of the prediction, plus the maximum prefill time and
/// [`LATE_GRACE`].
pub const LATE_FACTOR: u64 = 4;
/// Added to the time up to which a first token is not late and an answer is in
/// time.
pub const LATE_GRACE: Millis = Millis(1_000);
/// An answer counts as in time up to this percentage of its predicted time plus
/// [`LATE_GRACE`].
pub const IN_TIME_PERCENT: u64 = 150;

/// An estimated speed or call time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The estimate, in the unit of the field that holds it.
    pub value: f64,
    /// Whether it comes from a label or from attempts, not from a default.
    pub trusted: bool,
}

/// Learned speeds of one backend server with one model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speeds {
    /// Prefill speed, in prompt tokens per second.
    pub prefill_tokens_per_s: Estimate,
    /// Decode speed, in output tokens per second in each stream.
    pub decode_tokens_per_s: Estimate,
    /// Call time of a plain service, in milliseconds.
    pub call_ms: Estimate,
}

/// Speeds of one model with the time of the last sample.
#[derive(Debug, Clone)]
struct LearnedSpeeds {
    model: String,
    speeds: Speeds,
    sampled_at: Millis,
}

/// Predicted times, counted from the time of sending.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prediction {
    /// Time to first token.
    pub ttft: Millis,
    /// Time to the complete answer.
    pub total: Millis,
    /// Whether the speeds come from labels or attempts, not from defaults.
    pub trusted: bool,
}

impl Prediction {
    /// Returns whether a first token after `took` is several times later than
    /// predicted, even if the engine spent `max_prefill_time` on prompts of
    /// other instances; never if the prediction is not trusted.
    #[must_use]
    pub fn is_late(&self, took: Millis, max_prefill_time: Millis) -> bool {
        self.trusted && took > self.ttft * LATE_FACTOR + max_prefill_time + LATE_GRACE
    }

    /// Returns whether a complete answer after `took` counts as in time: within
    /// [`IN_TIME_PERCENT`] of its predicted time plus [`LATE_GRACE`]; always if
    /// the prediction is not trusted.
    #[must_use]
    pub fn is_in_time(&self, took: Millis) -> bool {
        !self.trusted || took <= Millis(self.total.0 * IN_TIME_PERCENT / 100) + LATE_GRACE
    }

    /// Returns the work of a request, the milliseconds for which it would
    /// occupy one whole backend server with these warm limits: its total time
    /// multiplied by the larger of the stream and memory fractions that it
    /// occupies, but at least its predicted TTFT, as an engine runs one prefill
    /// at a time.
    #[must_use]
    pub fn work_ms(&self, limits: Limits, cost: Cost) -> f64 {
        let stream_fraction = 1.0 / f64::from(limits.streams.max(1));
        let memory_fraction = match limits.memory_tokens {
            0 => 0.0,
            limit => cost.memory_tokens as f64 / limit as f64,
        };
        let occupied_ms = self.total.0 as f64 * stream_fraction.max(memory_fraction);
        let prefill_ms = match cost.prefill_tokens {
            0 => 0.0,
            _ => self.ttft.0 as f64,
        };
        occupied_ms.max(prefill_ms).max(1.0)
    }
}

/// Learned speeds of all backend servers.
#[derive(Debug, Default)]
pub struct Predictor {
    speeds: ArenaMap<BackendKey, Vec<LearnedSpeeds>>,
}

impl Predictor {
    /// Returns the speeds of a backend server with a model.
    #[must_use]
    pub fn speeds(&self, now: Millis, fleet: &Fleet, backend: BackendKey, model: &str) -> Speeds {
        let initial = initial_speeds(fleet.backend(backend));
        let mut learned = self.speeds.get(backend).into_iter().flatten();
        match learned.find(|learned| learned.model == model) {
            Some(learned) => learned
                .speeds
                .decayed(now.since(learned.sampled_at), initial),
            None => initial,
        }
    }

    /// Returns the prefill time of all prompt tokens that a backend server's
    /// warm limit admits.
    #[must_use]
    pub fn max_prefill_time(
        &self,
        now: Millis,
        fleet: &Fleet,
        backend: BackendKey,
        model: &str,
    ) -> Millis {
        let speed = self.speeds(now, fleet, backend, model).prefill_tokens_per_s;
        let rule = fleet.backend(backend).limit_rule.as_ref();
        let tokens = rule.map_or(0, |rule| rule.warm.prefill_tokens);
        Millis((tokens as f64 * 1_000.0 / speed.value.max(1.0)) as u64)
    }

    /// Learns the prefill speed from a prompt of `tokens` tokens whose prefill
    /// took `took`.
    pub fn observe_prefill(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        backend: BackendKey,
        model: &str,
        tokens: u64,
        took: Millis,
    ) {
        if tokens < MIN_PREFILL_SAMPLE_TOKENS {
            return;
        }
        let seconds = took.since(REQUEST_OVERHEAD).as_secs_f64().max(0.001);
        let speeds = self.speeds_mut(now, fleet, backend, model);
        speeds.prefill_tokens_per_s.learn(tokens as f64 / seconds);
    }

    /// Learns the decode speed from an answer of `tokens` tokens, whose last
    /// token arrived `elapsed` after the first; for a plain service, learns the
    /// call time `elapsed`.
    pub fn observe_answer(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        backend: BackendKey,
        model: &str,
        tokens: u32,
        elapsed: Millis,
    ) {
        let is_service = fleet.backend(backend).target == Target::Service;
        let speeds = self.speeds_mut(now, fleet, backend, model);
        if is_service {
            return speeds.call_ms.learn((elapsed.0 as f64).max(1.0));
        }
        if tokens < MIN_DECODE_SAMPLE_TOKENS {
            return;
        }
        let seconds = elapsed.as_secs_f64().max(0.001);
        speeds
            .decode_tokens_per_s
            .learn(f64::from(tokens - 1) / seconds);
    }

    /// Returns the speeds to update with a sample, decayed up to now; creates
    /// them if there are none.
    fn speeds_mut(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        backend: BackendKey,
        model: &str,
    ) -> &mut Speeds {
        let speeds = self.speeds(now, fleet, backend, model);
        let all = self.speeds.entry(backend).or_default();
        let known = all.iter().position(|learned| learned.model == model);
        let index = known.unwrap_or(all.len());
        if known.is_none() {
            let model = model.to_owned();
            all.push(LearnedSpeeds {
                model,
                speeds,
                sampled_at: now,
            });
        }
        let learned = &mut all[index];
        learned.speeds = speeds;
        learned.sampled_at = now;
        &mut learned.speeds
    }
}

impl Speeds {
    /// Predicts the times of a job with `ahead_tokens` prompt tokens queued
    /// before it and `cached_tokens` of its own in the prefix cache.
    #[must_use]
    pub fn predict(&self, job: &Job, ahead_tokens: u64, cached_tokens: u64) -> Prediction {
        if job.target == Target::Service {
            let total = REQUEST_OVERHEAD + Millis(self.call_ms.value as u64);
            return Prediction {
                ttft: total,
                total,
                trusted: self.call_ms.trusted,
            };
        }
        let prefill_tokens = job.cost(cached_tokens).prefill_tokens + ahead_tokens;
        let output_tokens = job.max_tokens.saturating_sub(job.offset);
        let prefill_s = prefill_tokens as f64 / self.prefill_tokens_per_s.value;
        let decode_s = f64::from(output_tokens) / self.decode_tokens_per_s.value;
        let ttft = REQUEST_OVERHEAD + Millis((prefill_s * 1000.0) as u64);
        Prediction {
            ttft,
            total: ttft + Millis((decode_s * 1000.0) as u64),
            trusted: self.prefill_tokens_per_s.trusted && self.decode_tokens_per_s.trusted,
        }
    }

    /// Returns the faster value of each field of two `Speeds`.
    #[must_use]
    pub fn faster(self, other: Speeds) -> Speeds {
        let max = |a: Estimate, b: Estimate| if b.value > a.value { b } else { a };
        let min = |a: Estimate, b: Estimate| if b.value < a.value { b } else { a };
        Speeds {
            prefill_tokens_per_s: max(self.prefill_tokens_per_s, other.prefill_tokens_per_s),
            decode_tokens_per_s: max(self.decode_tokens_per_s, other.decode_tokens_per_s),
            call_ms: min(self.call_ms, other.call_ms),
        }
    }

    /// Returns the speeds after `elapsed` without samples: values slower than
    /// the initial ones decay towards them.
    fn decayed(self, elapsed: Millis, initial: Speeds) -> Speeds {
        let kept = (-(elapsed.0 as f64) / SLOWNESS_HALF_LIFE.0 as f64).exp2();
        let speed = |learned: Estimate, initial: Estimate| match learned.value < initial.value {
            true => learned.decay_towards(initial, kept),
            false => learned,
        };
        let call_ms = match self.call_ms.value > initial.call_ms.value {
            true => self.call_ms.decay_towards(initial.call_ms, kept),
            false => self.call_ms,
        };
        Speeds {
            prefill_tokens_per_s: speed(self.prefill_tokens_per_s, initial.prefill_tokens_per_s),
            decode_tokens_per_s: speed(self.decode_tokens_per_s, initial.decode_tokens_per_s),
            call_ms,
        }
    }
}

impl Estimate {
    /// Moves towards a sample; a sample replaces a value that is not trusted.
    fn learn(&mut self, sample: f64) {
        if !self.trusted {
            self.value = sample;
            self.trusted = true;
            return;
        }
        let sample = sample.clamp(self.value / SAMPLE_BOUND, self.value * SAMPLE_BOUND);
        self.value += LEARNING_RATE * (sample - self.value);
    }

    /// Decays to the initial estimate, keeping the fraction `kept` of the
    /// difference. An estimate that has decayed at least half of the way back
    /// to an untrusted default is no longer trusted.
    fn decay_towards(self, initial: Estimate, kept: f64) -> Estimate {
        Estimate {
            value: initial.value + (self.value - initial.value) * kept,
            trusted: initial.trusted || (self.trusted && kept > 0.5),
        }
    }
}

/// Returns the speeds declared by labels, or the defaults where a label is
/// absent or invalid.
fn initial_speeds(backend: &Backend) -> Speeds {
    let estimate = |label: &str, default: f64| {
        let value = backend.labels.get(label);
        let value = value.and_then(|text| text.parse::<f64>().ok());
        let value = value.filter(|value| value.is_finite() && *value > 0.0);
        Estimate {
            value: value.unwrap_or(default),
            trusted: value.is_some(),
        }
    };
    Speeds {
        prefill_tokens_per_s: estimate("prefill_tokens_per_s", DEFAULT_PREFILL_TOKENS_PER_S),
        decode_tokens_per_s: estimate("decode_tokens_per_s", DEFAULT_DECODE_TOKENS_PER_S),
        call_ms: estimate("call_ms", DEFAULT_CALL_MS),
    }
}

#[cfg(test)]
mod tests;
