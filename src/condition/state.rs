//! State machine of one backend server's condition.

use crate::clock::Millis;
use crate::condition::Condition;
use crate::condition::Signal;
use crate::declaration::LimitRule;
use crate::id::Boot;

/// Number of broken connections and rejections as full within [`ERROR_WINDOW`]
/// that count as a burst.
pub const ERROR_BURST_SIZE: u32 = 3;
/// Window within which errors count towards a burst.
pub const ERROR_WINDOW: Millis = Millis::from_secs(10);
/// Consecutive silence signals after which the backend server, not just one
/// connection, counts as silent. Any other signal resets the count.
pub const SILENCE_THRESHOLD: u32 = 2;

/// Condition of one backend server with the counters that change it.
#[derive(Debug)]
pub struct State {
    /// Its condition.
    pub condition: Condition,
    /// Boot number in the newest load report.
    boot: Option<Boot>,
    /// Consecutive in-time completions since the last ramp step; a late completion
    /// resets the count.
    successes: u32,
    errors_in_window: u32,
    window_start: Millis,
    consecutive_silences: u32,
}

impl Default for State {
    fn default() -> State {
        State {
            condition: Condition::Cold { step: 0 },
            boot: None,
            successes: 0,
            errors_in_window: 0,
            window_start: Millis::ZERO,
            consecutive_silences: 0,
        }
    }
}

impl State {
    /// Applies a signal and returns whether it implies that the backend server
    /// is cold.
    pub fn observe(&mut self, now: Millis, rule: Option<&LimitRule>, signal: Signal) -> bool {
        let implies_cold =
            signal.implies_cold() || self.record_boot(signal) || self.record_error(now, signal);
        if implies_cold {
            self.reset_to_cold();
        }
        if self.is_silence(signal) {
            self.consecutive_silences += 1;
            if self.consecutive_silences >= SILENCE_THRESHOLD {
                self.set_unless_imposed(Condition::Silent);
            }
            return implies_cold;
        }
        self.consecutive_silences = 0;
        if self.condition == Condition::Silent {
            self.reset_to_cold();
        }
        match signal {
            Signal::Completed { in_time: true } => self.count_success(rule),
            Signal::Completed { in_time: false } => self.successes = 0,
            _ => {}
        }
        implies_cold
    }

    /// Adopts the condition that the coordinator determined.
    pub fn adopt(&mut self, condition: Condition) {
        self.successes = 0;
        self.consecutive_silences = 0;
        self.set_unless_imposed(condition);
    }

    /// Applies the condition that the instance list or operators impose; `None`
    /// if the backend server is in service.
    pub fn set_imposed(&mut self, imposed: Option<Condition>) {
        match (imposed, self.condition) {
            (Some(imposed), _) => self.condition = imposed,
            (None, Condition::Out | Condition::Leaving) => {
                self.condition = Condition::Cold { step: 0 };
                self.successes = 0;
            }
            (None, _) => {}
        }
    }

    /// Changes the condition unless the instance list or operators impose one.
    fn set_unless_imposed(&mut self, condition: Condition) {
        if !matches!(self.condition, Condition::Out | Condition::Leaving) {
            self.condition = condition;
        }
    }

    fn reset_to_cold(&mut self) {
        self.successes = 0;
        self.errors_in_window = 0;
        self.set_unless_imposed(Condition::Cold { step: 0 });
    }

    /// Counts an in-time completion; every `ramp_successes` consecutive ones raise
    /// the ramp by one step.
    fn count_success(&mut self, rule: Option<&LimitRule>) {
        let (Condition::Cold { step }, Some(rule)) = (self.condition, rule) else {
            return;
        };
        self.successes += 1;
        if self.successes < rule.ramp_successes {
            return;
        }
        self.successes = 0;
        self.condition = match step + 1 {
            step if step >= rule.ramp_steps => Condition::Warm,
            step => Condition::Cold { step },
        };
    }

    /// Records the boot number of a load report and returns whether it is new.
    fn record_boot(&mut self, signal: Signal) -> bool {
        let Signal::Reported { boot } = signal else {
            return false;
        };
        let known = self.boot.replace(boot);
        known.is_some_and(|known| known != boot)
    }

    /// Counts a broken connection or a rejection and returns whether the errors
    /// amount to a burst.
    fn record_error(&mut self, now: Millis, signal: Signal) -> bool {
        if !matches!(signal, Signal::Broken | Signal::Rejected) {
            return false;
        }
        if self.errors_in_window == 0 || now.since(self.window_start) > ERROR_WINDOW {
            self.errors_in_window = 0;
            self.window_start = now;
        }
        self.errors_in_window += 1;
        self.errors_in_window >= ERROR_BURST_SIZE
    }

    /// Returns whether a signal counts towards silence. A refused connection
    /// does too: no process is listening.
    const fn is_silence(&self, signal: Signal) -> bool {
        matches!(signal, Signal::Silent | Signal::Refused)
    }
}
