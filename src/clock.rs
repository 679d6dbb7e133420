//! Time in milliseconds.
//!
//! The control core never reads a clock: every input carries a [`Millis`]. The
//! daemon reads a monotonic clock through [`Clock`]; tests pass numbers. One type
//! represents both points in time (since the start of the process) and durations.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Mul;
use std::ops::Sub;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds: a duration, or a point in time since the start of the process.
/// Arithmetic saturates: a difference below zero is zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Millis = Millis(0);
    /// A point in time that is never reached.
    pub const NEVER: Millis = Millis(u64::MAX);

    /// Returns a duration of `seconds` seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Millis {
        Millis(seconds.saturating_mul(1000))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the duration in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the duration as a [`Duration`].
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Millis {
        Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Millis) {
        *self = *self + other;
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl Mul<u64> for Millis {
    type Output = Millis;

    fn mul(self, factor: u64) -> Millis {
        Millis(self.0.saturating_mul(factor))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A monotonic clock of this machine that starts at zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: Source,
}

/// The time source of a clock.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// Time since an instant; does not advance while the machine is suspended.
    Monotonic(Instant),
    /// Time since the machine's boot, less that time at the clock's start; advances
    /// while the machine is suspended.
    BootTime { start: Duration },
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Clock {
        Clock {
            source: Source::Monotonic(Instant::now()),
        }
    }

    /// Starts a clock at zero that also counts the time while the machine is
    /// suspended, if the system has such a clock.
    #[must_use]
    pub fn start_suspend_aware() -> Clock {
        match boot_time() {
            Some(start) => Clock {
                source: Source::BootTime { start },
            },
            None => Clock::start(),
        }
    }

    /// Returns the time since the clock's start.
    #[must_use]
    pub fn now(&self) -> Millis {
        match self.source {
            Source::Monotonic(start) => Millis::from(start.elapsed()),
            Source::BootTime { start } => {
                Millis::from(boot_time().unwrap_or(start).saturating_sub(start))
            }
        }
    }
}

fn boot_time() -> Option<Duration> {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(time))
}
