//! Lanes: which engines are reserved for short prompts.
//!
//! A forward pass that prefills a long prompt delays every short prompt that
//! arrives during it. So the engines are divided into two lanes, in an order
//! that all instances share, in proportion to the recent work of short and long
//! prompts. Lanes are a preference: prompts of either lane use engines of the
//! other where that costs less.
//!
//! Intended for workloads that shift within seconds between many short prompts
//! and many long ones.

use crate::clock::Millis;

/// Time constant of the demand average: short enough to follow a shift of the
/// workload, long enough to see several long prompts.
const DEMAND_WINDOW: Millis = Millis(2_500);
/// Requests that decode concurrently on a well-used engine and share each
/// forward pass.
const TYPICAL_DECODE_BATCH: f64 = 8.0;

/// Length class of a prompt, and of the prompts that an engine is reserved for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    /// Short prompts.
    Short,
    /// Long prompts.
    Long,
}

/// Recent engine time of prompts, in ms, and the number of short prompts, by
/// lane.
#[derive(Debug, Default)]
pub struct Demand {
    short_work_ms: DecayingSum,
    long_work_ms: DecayingSum,
    short_prompt_count: DecayingSum,
}

/// A sum whose terms decay exponentially with time.
#[derive(Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Millis,
}

impl DecayingSum {
    fn add(&mut self, now: Millis, value: f64) {
        self.sum = self.value(now) + value;
        self.at = now;
    }

    fn value(&self, now: Millis) -> f64 {
        let age = now.since(self.at).0 as f64;
        self.sum * (-age / DEMAND_WINDOW.0 as f64).exp()
    }
}

/// Returns the engine time that a prompt takes, in ms: its passes are shared with
/// other requests that decode.
#[must_use]
pub fn engine_ms(prefill_ms: f64, decode_ms: f64) -> f64 {
    prefill_ms + decode_ms / TYPICAL_DECODE_BATCH
}

impl Demand {
    /// Records a prompt, with the times in ms that an engine takes to prefill
    /// it and to decode its answer.
    pub fn record(&mut self, now: Millis, lane: Lane, prefill_ms: f64, decode_ms: f64) {
        let work = engine_ms(prefill_ms, decode_ms);
        match lane {
            Lane::Short => {
                self.short_work_ms.add(now, work);
                self.short_prompt_count.add(now, 1.0);
            }
            Lane::Long => self.long_work_ms.add(now, work),
        }
    }

    /// Returns how many of `engines` are reserved for short prompts. With at
    /// least two engines and any demand, each lane has at least one engine.
    #[must_use]
    pub fn short_lane_size(&self, now: Millis, engines: usize) -> usize {
        let (short, long) = (self.short_work_ms.value(now), self.long_work_ms.value(now));
        let total = short + long;
        if engines < 2 || total <= 0.0 {
            return engines / 2;
        }
        let share = (engines as f64 * short / total).round() as usize;
        share.clamp(1, engines - 1)
    }

    /// Returns the arrival rate of short prompts, per ms.
    #[must_use]
    pub fn short_prompts_per_ms(&self, now: Millis) -> f64 {
        self.short_prompt_count.value(now) / DEMAND_WINDOW.0 as f64
    }
}
