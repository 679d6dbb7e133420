//! Health of backend servers and the avoidance of failing ones.
//!
//! A server that is unreachable, breaks connections, refuses requests or has
//! lost its address to another server is avoided for a time that doubles with
//! each failure. A success ends the avoidance and takes back one doubling. A
//! server that does not answer in time may only be busy, so timeouts count
//! only when they make up at least half of the last few outcomes. Intended for
//! servers that crash, become unresponsive or fail part of their requests while
//! their health check still passes.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::gateway::server_table::ServerKey;

/// Avoidance time after a first failure: about the time in which all
/// connections of a crashed server are seen to be closed.
const FIRST_AVOID_TIME: Millis = Millis(400);
/// Maximum avoidance time. A crashed server is back within seconds.
const MAX_AVOID_TIME: Millis = Millis(4_000);
/// Time without failures after which the failure count restarts.
const FAILURE_EXPIRY: Millis = Millis(10_000);

/// Recent outcomes kept per server.
const OUTCOME_WINDOW: u32 = 8;
/// Timeouts among the recent outcomes at which a server is avoided.
const TIMEOUT_LIMIT: u32 = 4;

/// Health of all backend servers as observed by this instance.
#[derive(Debug, Default)]
pub struct Health {
    servers: HashMap<ServerKey, ServerState>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerState {
    failures: u32,
    last_failure: Millis,
    avoid_until: Millis,
    /// Recent outcomes as a bit set, the newest in the lowest bit; a set bit is
    /// a timeout.
    recent_timeouts: u32,
}

impl Health {
    /// Records a failure caused by the server. Returns how long the server is
    /// avoided.
    pub fn record_failure(&mut self, now: Millis, server: ServerKey) -> Millis {
        let state = self.servers.entry(server).or_default();
        if now.since(state.last_failure) > FAILURE_EXPIRY {
            state.failures = 0;
        }
        // Failures while the server is already avoided are not counted again.
        if now >= state.avoid_until {
            state.failures += 1;
        }
        state.last_failure = now;
        let factor = 1_u64 << (state.failures.saturating_sub(1)).min(8);
        let avoid_for = (FIRST_AVOID_TIME * factor).min(MAX_AVOID_TIME);
        state.avoid_until = state.avoid_until.max(now + avoid_for);
        avoid_for
    }

    /// Records that a server did not answer in time. Returns how long it is
    /// avoided, or `None` if it is not.
    pub fn record_timeout(&mut self, now: Millis, server: ServerKey) -> Option<Millis> {
        let state = self.servers.entry(server).or_default();
        state.record_outcome(true);
        if state.recent_timeouts.count_ones() < TIMEOUT_LIMIT {
            return None;
        }
        state.recent_timeouts = 0;
        Some(self.record_failure(now, server))
    }

    /// Records a success.
    pub fn record_success(&mut self, server: ServerKey) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.record_outcome(false);
            state.failures = state.failures.saturating_sub(1);
            state.avoid_until = Millis::ZERO;
        }
    }

    /// Avoids a server until the time reported by another instance.
    pub fn avoid(&mut self, server: ServerKey, until: Millis) {
        let state = self.servers.entry(server).or_default();
        state.avoid_until = state.avoid_until.max(until);
    }

    /// Forgets the failures of a server, which were not its own.
    pub fn forget_failures(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Returns whether a server is avoided now.
    #[must_use]
    pub fn is_avoided(&self, now: Millis, server: ServerKey) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|state| now < state.avoid_until)
    }
}

impl ServerState {
    fn record_outcome(&mut self, timed_out: bool) {
        let mask = (1 << OUTCOME_WINDOW) - 1;
        self.recent_timeouts = ((self.recent_timeouts << 1) | u32::from(timed_out)) & mask;
    }
}
