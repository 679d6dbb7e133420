//! Which backend servers to avoid for a while.
//!
//! A server that cannot be reached or breaks connections gets nothing for a time
//! that doubles with each failure in a row; the first success clears it. One
//! that is silent may only be busy, so that silence counts when it is most of
//! what the server does. The load it answers: servers that crash, go dark or
//! fail part of their requests while their health check is good.

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

/// Ends of sends that are remembered of each server.
const REMEMBERED: u32 = 8;
/// Silent ends among these from which on a server is avoided.
const SILENT_LIMIT: u32 = 4;

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
    /// The newest ends, a bit each, the newest lowest: whether it was silent.
    silent: u32,
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

    /// Takes over that a server did not answer in time; returns how long it is
    /// avoided, if it is.
    pub fn silent(&mut self, now: Millis, server: ServerKey) -> Option<Millis> {
        let state = self.servers.entry(server).or_default();
        state.remember(true);
        if state.silent.count_ones() < SILENT_LIMIT {
            return None;
        }
        state.silent = 0;
        Some(self.failed(now, server))
    }

    /// Takes over a success.
    pub fn succeeded(&mut self, server: ServerKey) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.remember(false);
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

impl State {
    fn remember(&mut self, silent: bool) {
        let mask = (1 << REMEMBERED) - 1;
        self.silent = ((self.silent << 1) | u32::from(silent)) & mask;
    }
}
