//! Which engines short prompts may count on.
//!
//! A pass that reads a long prompt holds up every short one that arrives
//! meanwhile. So the engines are split into two lanes, in an order that all
//! instances share, by the work that short and long prompts have brought in the
//! last seconds. Lanes are a preference: either kind overflows into the other's
//! where that loses less.
//!
//! The load it answers: a mix that swings within seconds between many short
//! prompts and many long ones.

use crate::clock::Millis;

/// Time over which demand is averaged: short enough to follow a swing, long
/// enough to see several long prompts.
const WINDOW: Millis = Millis(2_500);
/// Requests that write at once on a well-used engine; their shares of a pass
/// add up to one.
const WRITERS_SHARED: f64 = 8.0;

/// Which prompts an engine is kept for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    /// Short prompts.
    Short,
    /// Long prompts.
    Long,
}

/// Work that prompts have brought lately, by lane.
#[derive(Debug, Default)]
pub struct Demand {
    short: Decayed,
    long: Decayed,
    short_prompts: Decayed,
}

/// A sum whose terms fade with time.
#[derive(Debug, Default)]
struct Decayed {
    sum: f64,
    at: Millis,
}

impl Decayed {
    fn add(&mut self, now: Millis, value: f64) {
        self.sum = self.value(now) + value;
        self.at = now;
    }

    fn value(&self, now: Millis) -> f64 {
        let age = now.since(self.at).0 as f64;
        self.sum * (-age / WINDOW.0 as f64).exp()
    }
}

impl Demand {
    /// Counts a prompt: how long engines read it, and how long they write its
    /// answer, in ms.
    pub fn count(&mut self, now: Millis, lane: Lane, read_ms: f64, write_ms: f64) {
        let work = read_ms + write_ms / WRITERS_SHARED;
        match lane {
            Lane::Short => {
                self.short.add(now, work);
                self.short_prompts.add(now, 1.0);
            }
            Lane::Long => self.long.add(now, work),
        }
    }

    /// Returns how many of `engines` are kept for short prompts. Each lane that
    /// has any work has one engine at least.
    #[must_use]
    pub fn short_engines(&self, now: Millis, engines: usize) -> usize {
        let (short, long) = (self.short.value(now), self.long.value(now));
        let total = short + long;
        if engines < 2 || total <= 0.0 {
            return engines / 2;
        }
        let share = (engines as f64 * short / total).round() as usize;
        share.clamp(1, engines - 1)
    }

    /// Returns how many short prompts come in a ms.
    #[must_use]
    pub fn short_rate(&self, now: Millis) -> f64 {
        self.short_prompts.value(now) / WINDOW.0 as f64
    }
}
