//! Which backend servers to avoid for a while.
//!
//! A server that cannot be reached, breaks connections or stays silent gets
//! nothing for a time that doubles with each failure in a row; the first
//! success clears it. The load it answers: servers that crash, go dark or fail
//! part of their requests while their health check is good.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::gateway::roster::ServerKey;

/// Time for which a server is avoided after a first failure; about the time in
/// which a crashed server's connections are all seen to be closed.
const FIRST_PAUSE: Millis = Millis(400);
/// Longest time for which a server is avoided: a crashed one is back after
/// some seconds.
const LONGEST_PAUSE: Millis = Millis(4_000);
/// Time without failures after which a server counts as sound again.
const FORGET_AFTER: Millis = Millis(10_000);

/// Health of all backend servers as this instance sees it.
#[derive(Debug, Default)]
pub struct Health {
    servers: HashMap<ServerKey, State>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    failures: u32,
    last_failure: Millis,
    avoid_until: Millis,
}

impl Health {
    /// Takes over a failure that is the server's own; returns how long the
    /// server is avoided.
    pub fn failed(&mut self, now: Millis, server: ServerKey) -> Millis {
        let state = self.servers.entry(server).or_default();
        if now.since(state.last_failure) > FORGET_AFTER {
            state.failures = 0;
        }
        // Requests that failed together are one failure.
        if now >= state.avoid_until {
            state.failures += 1;
        }
        state.last_failure = now;
        let factor = 1_u64 << (state.failures.saturating_sub(1)).min(8);
        let pause = (FIRST_PAUSE * factor).min(LONGEST_PAUSE);
        state.avoid_until = state.avoid_until.max(now + pause);
        pause
    }

    /// Takes over a success.
    pub fn succeeded(&mut self, server: ServerKey) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.failures = state.failures.saturating_sub(1);
            state.avoid_until = Millis::ZERO;
        }
    }

    /// Avoids a server until some time, as another instance says.
    pub fn avoid(&mut self, server: ServerKey, until: Millis) {
        let state = self.servers.entry(server).or_default();
        state.avoid_until = state.avoid_until.max(until);
    }

    /// Returns whether a server is to be avoided.
    #[must_use]
    pub fn avoided(&self, now: Millis, server: ServerKey) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|state| now < state.avoid_until)
    }
}
