//! Condition of each backend server: cold, warming up, warm, silent.
//!
//! Whatever is not known to be warm is cold. Signs come from attempts and load
//! reports; the limit in force follows from the condition and the declared
//! limits.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::control::Cx;
use crate::declaration::Limits;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::Boot;

/// Something that tells about a backend server's condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Sign {
    /// A request completed; within its predicted time or not.
    Completed { in_time: bool },
    /// It refused a connection.
    Refused,
    /// It refused work as it is cold or has no room.
    Rejected,
    /// A connection broke.
    Broken,
    /// A connection fell silent.
    Silent,
    /// A load report came with this boot number.
    Reported { boot: Boot },
}

/// Conditions of all backend servers.
#[derive(Debug, Default)]
pub struct Conditions {
    seen: HashMap<BackendKey, u32>,
}

impl Conditions {
    /// Takes a sign into account.
    pub fn sign(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, backend: BackendKey, sign: Sign) {
        let _ = (cx, fleet);
        let successes = self.seen.entry(backend).or_default();
        match sign {
            Sign::Completed { in_time: true } => *successes += 1,
            Sign::Reported { .. } | Sign::Completed { in_time: false } => {}
            _ => *successes = 0,
        }
    }

    /// Returns what the backend server bears now.
    #[must_use]
    pub fn limits(&self, fleet: &Fleet, backend: BackendKey) -> Limits {
        let Some(rule) = &fleet.backend(backend).limit else {
            return Limits::default();
        };
        let successes = self.seen.get(&backend).copied().unwrap_or_default();
        if successes < rule.ramp_successes * rule.ramp_steps {
            return rule.cold;
        }
        rule.warm
    }
}
