//! State machine of one backend server's condition.

use crate::clock::Millis;
use crate::condition::Condition;
use crate::condition::Sign;
use crate::declaration::LimitRule;
use crate::id::Boot;

/// Errors within [`ERROR_WINDOW`] that count as a burst.
pub const ERROR_BURST: u32 = 3;
/// Span over which errors count together.
pub const ERROR_WINDOW: Millis = Millis::from_secs(10);
/// Signs of silence in a row, with no sign of life between them, from which on
/// a backend server and not a connection counts as silent.
pub const SILENCES: u32 = 2;

/// What is known of one backend server.
#[derive(Debug)]
pub struct State {
    /// Its condition.
    pub condition: Condition,
    boot: Option<Boot>,
    successes: u32,
    errors: u32,
    first_error: Millis,
    silences: u32,
}

impl Default for State {
    fn default() -> State {
        State {
            condition: Condition::Cold { step: 0 },
            boot: None,
            successes: 0,
            errors: 0,
            first_error: Millis::ZERO,
            silences: 0,
        }
    }
}

impl State {
    /// Takes a sign and returns whether it shows the backend server cold.
    pub fn sign(&mut self, now: Millis, rule: Option<&LimitRule>, sign: Sign) -> bool {
        let cold = sign.is_cold() || self.is_new_boot(sign) || self.is_burst(now, sign);
        if cold {
            self.turn_cold();
        }
        if self.is_silence(sign) {
            self.silences += 1;
            if self.silences >= SILENCES {
                self.turn(Condition::Silent);
            }
            return cold;
        }
        self.silences = 0;
        if self.condition == Condition::Silent {
            self.turn_cold();
        }
        match sign {
            Sign::Completed { in_time: true } => self.succeed(rule),
            Sign::Completed { in_time: false } => self.successes = 0,
            _ => {}
        }
        cold
    }

    /// Takes over the condition that the home gave.
    pub fn adopt(&mut self, condition: Condition) {
        self.successes = 0;
        self.silences = 0;
        self.turn(condition);
    }

    /// Takes over what lists and operators say; none: in service.
    pub fn list(&mut self, listed: Option<Condition>) {
        match (listed, self.condition) {
            (Some(listed), _) => self.condition = listed,
            (None, Condition::Out | Condition::Leaving) => {
                self.condition = Condition::Cold { step: 0 };
                self.successes = 0;
            }
            (None, _) => {}
        }
    }

    /// Changes the condition unless lists or operators hold it.
    fn turn(&mut self, condition: Condition) {
        if !matches!(self.condition, Condition::Out | Condition::Leaving) {
            self.condition = condition;
        }
    }

    fn turn_cold(&mut self) {
        self.successes = 0;
        self.errors = 0;
        self.turn(Condition::Cold { step: 0 });
    }

    /// Counts a success; a full window is one step of the ramp.
    fn succeed(&mut self, rule: Option<&LimitRule>) {
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

    fn is_new_boot(&mut self, sign: Sign) -> bool {
        let Sign::Reported { boot } = sign else {
            return false;
        };
        let known = self.boot.replace(boot);
        known.is_some_and(|known| known != boot)
    }

    /// Counts errors and returns whether they make a burst.
    fn is_burst(&mut self, now: Millis, sign: Sign) -> bool {
        if !matches!(sign, Sign::Broken | Sign::Rejected) {
            return false;
        }
        if self.errors == 0 || now.since(self.first_error) > ERROR_WINDOW {
            self.errors = 0;
            self.first_error = now;
        }
        self.errors += 1;
        self.errors >= ERROR_BURST
    }

    /// Returns whether a sign is one of silence. A refused connection is the
    /// first of them: nobody listens.
    const fn is_silence(&self, sign: Sign) -> bool {
        matches!(sign, Sign::Silent | Sign::Refused)
    }
}
