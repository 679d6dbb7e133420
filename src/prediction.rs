//! Prediction of first token and whole answer from learned speeds.
//!
//! Each backend server has, for each model, a speed of prompt processing and
//! one of generation, and each plain service a time a call. They start from the
//! labels `prefill_tokens_per_s`, `decode_tokens_per_s` and `call_ms`, or from
//! the defaults here, and follow what attempts show by an exponentially
//! weighted moving average. The defaults are fast and prove nothing: a request
//! refused for a guess would never show that the guess was wrong. For the same
//! reason a speed below its start goes back there while nothing new is shown.

use la_arena::ArenaMap;

use crate::clock::Millis;
use crate::declaration::Limits;
use crate::declaration::Target;
use crate::fleet::Backend;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::job::Cost;
use crate::job::Job;

/// Prompt tokens a second where no label says otherwise.
pub const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 50_000.0;
/// Generated tokens a second and stream where no label says otherwise.
pub const DEFAULT_DECODE_TOKENS_PER_S: f64 = 200.0;
/// Time of a call to a plain service where no label says otherwise.
pub const DEFAULT_CALL_MS: f64 = 10.0;
/// Half-life of what was learned, where it is slower than the start.
pub const SLOWNESS_HALF_LIFE: Millis = Millis::from_secs(60);
/// Time of a request on the way, beside all processing.
pub const OVERHEAD: Millis = Millis(10);
/// Weight of a new sample in the moving average.
pub const LEARNING_RATE: f64 = 0.2;
/// A sample counts as at most this many times the average, and as at least
/// that part of it.
pub const SAMPLE_BOUND: f64 = 4.0;
/// Prompts below this many tokens tell nothing about the speed.
pub const LEAST_PREFILL_SAMPLE_TOKENS: u64 = 256;
/// Answers below this many tokens tell nothing about the speed.
pub const LEAST_DECODE_SAMPLE_TOKENS: u32 = 8;
/// A first token this many times later than predicted is a sign of cold.
pub const LATE_FACTOR: u64 = 4;
/// Lateness that is never a sign of cold.
pub const LATE_GRACE: Millis = Millis(1_000);
/// An answer within this percentage of its predicted time is in time.
pub const IN_TIME_PERCENT: u64 = 150;

/// A speed, or a time a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Its value.
    pub value: f64,
    /// Whether a label or attempts, and not a default, gave it.
    pub proven: bool,
}

/// Learned speeds of one backend server with one model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speeds {
    /// Prompt tokens processed a second.
    pub prefill_tokens_per_s: Estimate,
    /// Tokens generated a second and stream.
    pub decode_tokens_per_s: Estimate,
    /// Milliseconds of a call to a plain service.
    pub call_ms: Estimate,
}

/// Speeds with the time of the last sample.
#[derive(Debug, Clone)]
struct Learned {
    model: String,
    speeds: Speeds,
    at: Millis,
}

/// Predicted times, from the sending on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prediction {
    /// Until the first token.
    pub first_token: Millis,
    /// Until the whole answer.
    pub whole: Millis,
    /// Whether labels or attempts, and not the defaults, gave the speeds.
    pub proven: bool,
}

impl Prediction {
    /// Returns whether a first token after `took` is several times late on an
    /// engine that may have been `busy` with prompts of other instances.
    #[must_use]
    pub fn is_late(&self, took: Millis, busy: Millis) -> bool {
        self.proven && took > self.first_token * LATE_FACTOR + busy + LATE_GRACE
    }

    /// Returns whether a whole answer after `took` kept to the prediction.
    #[must_use]
    pub fn is_in_time(&self, took: Millis) -> bool {
        !self.proven || took <= Millis(self.whole.0 * IN_TIME_PERCENT / 100) + LATE_GRACE
    }

    /// Returns what a request takes of a backend server with these warm limits,
    /// in milliseconds of a whole one: the time in which it holds its stream and
    /// memory times the larger part of a limit that it holds, and at least the
    /// time in which its prompt is processed, as prompts are processed one after
    /// the other.
    #[must_use]
    pub fn work_ms(&self, limits: Limits, cost: Cost) -> f64 {
        let streams = 1.0 / f64::from(limits.streams.max(1));
        let memory = match limits.memory_tokens {
            0 => 0.0,
            limit => cost.memory_tokens as f64 / limit as f64,
        };
        let held = self.whole.0 as f64 * streams.max(memory);
        let prefill = match cost.prefill_tokens {
            0 => 0.0,
            _ => self.first_token.0 as f64,
        };
        held.max(prefill).max(1.0)
    }
}

/// Learned speeds of all backend servers.
#[derive(Debug, Default)]
pub struct Predictor {
    speeds: ArenaMap<BackendKey, Vec<Learned>>,
}

impl Predictor {
    /// Returns the speeds of a backend server with a model.
    #[must_use]
    pub fn speeds(&self, now: Millis, fleet: &Fleet, backend: BackendKey, model: &str) -> Speeds {
        let start = declared_speeds(fleet.backend(backend));
        let mut learned = self.speeds.get(backend).into_iter().flatten();
        match learned.find(|learned| learned.model == model) {
            Some(learned) => learned.speeds.after(now.since(learned.at), start),
            None => start,
        }
    }

    /// Returns how long a backend server takes for all prompt tokens that its
    /// warm limit lets in.
    #[must_use]
    pub fn busy(&self, now: Millis, fleet: &Fleet, backend: BackendKey, model: &str) -> Millis {
        let speed = self.speeds(now, fleet, backend, model).prefill_tokens_per_s;
        let rule = fleet.backend(backend).limit.as_ref();
        let tokens = rule.map_or(0, |rule| rule.warm.prefill_tokens);
        Millis((tokens as f64 * 1_000.0 / speed.value.max(1.0)) as u64)
    }

    /// Learns from a prompt of `tokens` tokens that was processed in `took`.
    pub fn observe_first_token(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        backend: BackendKey,
        model: &str,
        tokens: u64,
        took: Millis,
    ) {
        if tokens < LEAST_PREFILL_SAMPLE_TOKENS {
            return;
        }
        let seconds = took.since(OVERHEAD).as_secs_f64().max(0.001);
        let speeds = self.entry(now, fleet, backend, model);
        speeds.prefill_tokens_per_s.learn(tokens as f64 / seconds);
    }

    /// Learns from an answer of `tokens` tokens, the last of which came `took`
    /// after the first; for a plain service `took` is the whole call.
    pub fn observe_whole(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        backend: BackendKey,
        model: &str,
        tokens: u32,
        took: Millis,
    ) {
        let is_service = fleet.backend(backend).target == Target::Service;
        let speeds = self.entry(now, fleet, backend, model);
        if is_service {
            return speeds.call_ms.learn((took.0 as f64).max(1.0));
        }
        if tokens < LEAST_DECODE_SAMPLE_TOKENS {
            return;
        }
        let seconds = took.as_secs_f64().max(0.001);
        speeds
            .decode_tokens_per_s
            .learn(f64::from(tokens - 1) / seconds);
    }

    /// Returns the speeds to learn into, brought up to date.
    fn entry(
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
            let at = now;
            all.push(Learned { model, speeds, at });
        }
        let learned = &mut all[index];
        learned.speeds = speeds;
        learned.at = now;
        &mut learned.speeds
    }
}

impl Speeds {
    /// Predicts a job behind `ahead_tokens` prompt tokens, with `cached_tokens`
    /// of its own held already.
    #[must_use]
    pub fn predict(&self, job: &Job, ahead_tokens: u64, cached_tokens: u64) -> Prediction {
        if job.target == Target::Service {
            let whole = OVERHEAD + Millis(self.call_ms.value as u64);
            return Prediction {
                first_token: whole,
                whole,
                proven: self.call_ms.proven,
            };
        }
        let prefill_tokens = job.cost(cached_tokens).prefill_tokens + ahead_tokens;
        let output_tokens = job.max_tokens.saturating_sub(job.offset);
        let prefill_s = prefill_tokens as f64 / self.prefill_tokens_per_s.value;
        let decode_s = f64::from(output_tokens) / self.decode_tokens_per_s.value;
        let first_token = OVERHEAD + Millis((prefill_s * 1000.0) as u64);
        Prediction {
            first_token,
            whole: first_token + Millis((decode_s * 1000.0) as u64),
            proven: self.prefill_tokens_per_s.proven && self.decode_tokens_per_s.proven,
        }
    }

    /// Returns the faster of two in each respect.
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

    /// Returns the speeds after `span` without samples: what is slower than the
    /// start goes back there.
    fn after(self, span: Millis, start: Speeds) -> Speeds {
        let kept = (-(span.0 as f64) / SLOWNESS_HALF_LIFE.0 as f64).exp2();
        let speed = |learned: Estimate, start: Estimate| match learned.value < start.value {
            true => learned.towards(start, kept),
            false => learned,
        };
        let call_ms = match self.call_ms.value > start.call_ms.value {
            true => self.call_ms.towards(start.call_ms, kept),
            false => self.call_ms,
        };
        Speeds {
            prefill_tokens_per_s: speed(self.prefill_tokens_per_s, start.prefill_tokens_per_s),
            decode_tokens_per_s: speed(self.decode_tokens_per_s, start.decode_tokens_per_s),
            call_ms,
        }
    }
}

impl Estimate {
    /// Moves towards a sample; the first sample takes the place of a guess.
    fn learn(&mut self, sample: f64) {
        if !self.proven {
            self.value = sample;
            self.proven = true;
            return;
        }
        let sample = sample.clamp(self.value / SAMPLE_BOUND, self.value * SAMPLE_BOUND);
        self.value += LEARNING_RATE * (sample - self.value);
    }

    /// Goes back to the start but for the part `kept`. What has gone more than
    /// half-way back to a guess is one.
    fn towards(self, start: Estimate, kept: f64) -> Estimate {
        Estimate {
            value: start.value + (self.value - start.value) * kept,
            proven: start.proven || (self.proven && kept > 0.5),
        }
    }
}

/// Returns the speeds that labels declare, or the defaults.
fn declared_speeds(backend: &Backend) -> Speeds {
    let estimate = |label: &str, default: f64| {
        let value = backend.labels.get(label);
        let value = value.and_then(|text| text.parse::<f64>().ok());
        let value = value.filter(|value| value.is_finite() && *value > 0.0);
        Estimate {
            value: value.unwrap_or(default),
            proven: value.is_some(),
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
