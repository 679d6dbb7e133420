//! Prediction of first token and whole answer from learned speeds.
//!
//! Each backend server has, for each model, a speed of prompt processing and
//! one of generation, and each plain service a time a call. They start from the
//! labels `prefill_tokens_per_s`, `decode_tokens_per_s` and `call_ms`, or from
//! the defaults here, and follow what attempts show by an exponentially
//! weighted moving average.

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
pub const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Generated tokens a second and stream where no label says otherwise.
pub const DEFAULT_DECODE_TOKENS_PER_S: f64 = 22.0;
/// Time of a call to a plain service where no label says otherwise.
pub const DEFAULT_CALL_MS: f64 = 100.0;
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

/// Learned speeds of one backend server with one model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speeds {
    /// Prompt tokens processed a second.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated a second and stream.
    pub decode_tokens_per_s: f64,
    /// Milliseconds of a call to a plain service.
    pub call_ms: f64,
}

/// Predicted times, from the sending on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prediction {
    /// Until the first token.
    pub first_token: Millis,
    /// Until the whole answer.
    pub whole: Millis,
}

impl Prediction {
    /// Returns whether a first token after `took` is several times late.
    #[must_use]
    pub fn is_late(&self, took: Millis) -> bool {
        took > self.first_token * LATE_FACTOR + LATE_GRACE
    }

    /// Returns whether a whole answer after `took` kept to the prediction.
    #[must_use]
    pub fn is_in_time(&self, took: Millis) -> bool {
        took <= Millis(self.whole.0 * IN_TIME_PERCENT / 100) + LATE_GRACE
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
    speeds: ArenaMap<BackendKey, Vec<(String, Speeds)>>,
}

impl Predictor {
    /// Returns the speeds of a backend server with a model.
    #[must_use]
    pub fn speeds(&self, fleet: &Fleet, backend: BackendKey, model: &str) -> Speeds {
        let learned = self.speeds.get(backend);
        let learned = learned.and_then(|all| all.iter().find(|(name, _)| name == model));
        match learned {
            Some((_, speeds)) => *speeds,
            None => declared_speeds(fleet.backend(backend)),
        }
    }

    /// Predicts a job on a backend server that has `ahead_tokens` prompt tokens
    /// to process before it and holds `cached_tokens` of its prompt.
    #[must_use]
    pub fn predict(
        &self,
        fleet: &Fleet,
        backend: BackendKey,
        job: &Job,
        ahead_tokens: u64,
        cached_tokens: u64,
    ) -> Prediction {
        let speeds = self.speeds(fleet, backend, &job.model);
        speeds.predict(job, ahead_tokens, cached_tokens)
    }

    /// Learns from a first token that took `took` while `tokens` prompt tokens,
    /// those ahead included, were processed.
    pub fn observe_first_token(
        &mut self,
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
        let speeds = self.entry(fleet, backend, model);
        learn(&mut speeds.prefill_tokens_per_s, tokens as f64 / seconds);
    }

    /// Learns from an answer of `tokens` tokens, the last of which came `took`
    /// after the first; for a plain service `took` is the whole call.
    pub fn observe_whole(
        &mut self,
        fleet: &Fleet,
        backend: BackendKey,
        model: &str,
        tokens: u32,
        took: Millis,
    ) {
        let is_service = fleet.backend(backend).target == Target::Service;
        let speeds = self.entry(fleet, backend, model);
        if is_service {
            learn(&mut speeds.call_ms, (took.0 as f64).max(1.0));
            return;
        }
        if tokens < LEAST_DECODE_SAMPLE_TOKENS {
            return;
        }
        let seconds = took.as_secs_f64().max(0.001);
        learn(
            &mut speeds.decode_tokens_per_s,
            f64::from(tokens - 1) / seconds,
        );
    }

    fn entry(&mut self, fleet: &Fleet, backend: BackendKey, model: &str) -> &mut Speeds {
        let start = declared_speeds(fleet.backend(backend));
        let all = self.speeds.entry(backend).or_default();
        let index = match all.iter().position(|(name, _)| name == model) {
            Some(index) => index,
            None => {
                all.push((model.to_owned(), start));
                all.len() - 1
            }
        };
        &mut all[index].1
    }
}

impl Speeds {
    /// Predicts a job behind `ahead_tokens` prompt tokens, with `cached_tokens`
    /// of its own held already.
    #[must_use]
    pub fn predict(&self, job: &Job, ahead_tokens: u64, cached_tokens: u64) -> Prediction {
        if job.target == Target::Service {
            let whole = OVERHEAD + Millis(self.call_ms as u64);
            return Prediction {
                first_token: whole,
                whole,
            };
        }
        let prefill_tokens = job.cost(cached_tokens).prefill_tokens + ahead_tokens;
        let output_tokens = job.max_tokens.saturating_sub(job.offset);
        let prefill_s = prefill_tokens as f64 / self.prefill_tokens_per_s;
        let decode_s = f64::from(output_tokens) / self.decode_tokens_per_s;
        let first_token = OVERHEAD + Millis((prefill_s * 1000.0) as u64);
        Prediction {
            first_token,
            whole: first_token + Millis((decode_s * 1000.0) as u64),
        }
    }

    /// Returns the faster of two in each respect.
    #[must_use]
    pub fn faster(self, other: Speeds) -> Speeds {
        Speeds {
            prefill_tokens_per_s: self.prefill_tokens_per_s.max(other.prefill_tokens_per_s),
            decode_tokens_per_s: self.decode_tokens_per_s.max(other.decode_tokens_per_s),
            call_ms: self.call_ms.min(other.call_ms),
        }
    }
}

/// Returns the speeds that labels declare, or the defaults.
fn declared_speeds(backend: &Backend) -> Speeds {
    let number = |label: &str, default: f64| {
        let value = backend.labels.get(label);
        let value = value.and_then(|text| text.parse::<f64>().ok());
        value
            .filter(|value| value.is_finite() && *value > 0.0)
            .unwrap_or(default)
    };
    Speeds {
        prefill_tokens_per_s: number("prefill_tokens_per_s", DEFAULT_PREFILL_TOKENS_PER_S),
        decode_tokens_per_s: number("decode_tokens_per_s", DEFAULT_DECODE_TOKENS_PER_S),
        call_ms: number("call_ms", DEFAULT_CALL_MS),
    }
}

/// Moves an average towards a sample.
fn learn(average: &mut f64, sample: f64) {
    let sample = sample.clamp(*average / SAMPLE_BOUND, *average * SAMPLE_BOUND);
    *average += LEARNING_RATE * (sample - *average);
}

#[cfg(test)]
mod tests;
