//! Attempts whose backend server has given no output for too long.
//!
//! Such a server may have died, or may only be busy: an engine emits nothing
//! while it prefills a long prompt. The attempt therefore goes on until another
//! server is found that is expected to answer before the caller disconnects and
//! that the retry limits allow. Only then is the attempt replaced; otherwise it
//! ends with its answer, with the caller or at the deadline.
//!
//! Intended for engines that stop answering without closing connections, and
//! for engines that stall many streams at once while the fleet has little spare
//! capacity.

use super::Core;
use super::endings::RetryBlocker;
use super::endings::retry_blocker;
use super::requests::ANSWER_MARGIN;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::Output;
use crate::gateway::message::Ticket;
use crate::gateway::route::Route;
use crate::gateway::route::RunPolicy;
use crate::metrics::Count;

/// Callers of streams disconnect after this time without output, after
/// [`PATIENCE_PER_TARGET`] times the latency target or after
/// [`PATIENCE_PER_GAP`] times the target gap, whichever is longest.
const MIN_STREAM_PATIENCE: Millis = Millis(2_000);
const PATIENCE_PER_TARGET: u64 = 4;
const PATIENCE_PER_GAP: u64 = 8;
/// Percentage of a caller's patience after which an attempt without output
/// counts as stalled, so that another server has time to answer.
const STALL_PATIENCE_PERCENT: u64 = 85;
/// Interval at which another server is sought for a stalled attempt.
const STALL_CHECK_PERIOD: Millis = Millis(100);

/// Reason why a stalled attempt goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StallBlocker {
    /// The request must not be sent again.
    Retry(RetryBlocker),
    /// No other backend server is expected to answer in time.
    NoServerInTime,
}

impl Core {
    /// Moves stalled attempts to other servers that can answer in time.
    pub(super) fn move_stalled_attempts(&mut self, now: Millis, out: &mut Vec<Output>) {
        let stalled: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.is_stall_check_due(now))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in stalled {
            self.check_stalled_attempt(now, ticket, out);
        }
    }

    fn check_stalled_attempt(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(attempt) = &mut request.active_attempt else {
            return;
        };
        let is_new = attempt.stall_checked_at.replace(now).is_none();
        let server = attempt.server;
        if is_new {
            // Excludes the server from the search for another one.
            request.tried_servers.push(server);
            self.count(Count::AttemptsStalled);
            let avoid_for = self.health.record_timeout(now, server);
            self.avoid_server(server, AttemptEnd::Silent, avoid_for, out);
        }
        match self.move_attempt(now, ticket, out) {
            Ok(()) => self.count(Count::AttemptsMoved),
            Err(blocker) if is_new => {
                let request = &self.requests[&ticket];
                log::info!(
                    request = request.submission.head.request_id.as_str(),
                    server = self.server_table.get(server).entry.id.as_str(),
                    cause:? = blocker,
                    silent_ms = now.since(request.last_output_at).0,
                    left_ms = request.response_deadline.since(now).0;
                    "no output; the attempt goes on"
                );
            }
            Err(_) => {}
        }
    }

    /// Replaces the attempt in progress by one on another server.
    fn move_attempt(
        &mut self,
        now: Millis,
        ticket: Ticket,
        out: &mut Vec<Output>,
    ) -> Result<(), StallBlocker> {
        let request = &self.requests[&ticket];
        let attempts = request.attempts_maybe_run + 1;
        if let Some(blocker) = retry_blocker(now, request, attempts) {
            return Err(StallBlocker::Retry(blocker));
        }
        let service = request.service.clone();
        // The search below is expensive.
        if !self.budgets.can_withdraw(&service) {
            return Err(StallBlocker::Retry(RetryBlocker::Budget));
        }
        self.fleet_load.advance(now);
        let request = &self.requests[&ticket];
        let needed_by = request.caller_waits_until();
        let next_attempt = request.total_attempts() + 1;
        let chosen = self
            .choose_placement(now, ticket, next_attempt)
            .filter(|chosen| {
                chosen.placement.first_token_at + ANSWER_MARGIN.0 as f64 <= needed_by.0 as f64
            });
        let Some(chosen) = chosen else {
            return Err(StallBlocker::NoServerInTime);
        };
        if !self.budgets.try_withdraw(&service) {
            return Err(StallBlocker::Retry(RetryBlocker::Budget));
        }
        self.end_active_attempt(now, ticket, AttemptEnd::Silent, out);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.record_maybe_run();
        }
        self.send_request(now, ticket, &chosen, out);
        Ok(())
    }
}

impl Request {
    /// Returns whether another server has to be sought for the attempt in
    /// progress, because it is stalled and was not checked recently.
    fn is_stall_check_due(&self, now: Millis) -> bool {
        let Some(attempt) = &self.active_attempt else {
            return false;
        };
        let is_recent = attempt
            .stall_checked_at
            .is_some_and(|at| now.since(at) < STALL_CHECK_PERIOD);
        let stalls_at = match (self.route.run_policy, attempt.first_output_seen) {
            (RunPolicy::Idempotent | RunPolicy::Resumable, false) => attempt.first_output_due,
            (RunPolicy::Resumable, true) => attempt.last_output + max_output_gap(&self.route),
            (RunPolicy::Idempotent, true) | (RunPolicy::AtMostOnce, _) => return false,
        };
        now >= stalls_at && now < self.response_deadline && !is_recent
    }

    /// Returns until when the caller waits for the next output.
    fn caller_waits_until(&self) -> Millis {
        if !self.route.streaming {
            return self.response_deadline;
        }
        self.response_deadline
            .min(self.last_output_at + stream_patience(&self.route))
    }
}

/// Returns when an attempt sent at `now` counts as stalled if it has given no
/// output. For a resumable stream it follows from the predicted first token; an
/// idempotent call gets half of the remaining time.
pub(super) fn first_output_due(now: Millis, request: &Request, first_token_at: f64) -> Millis {
    if request.route.streaming {
        let predicted = Millis(first_token_at.max(now.0 as f64) as u64);
        return predicted + max_output_gap(&request.route);
    }
    now + Millis(request.response_deadline.since(now).0 / 2)
}

/// Returns how long an attempt may go without output before it counts as
/// stalled.
fn max_output_gap(route: &Route) -> Millis {
    Millis(stream_patience(route).0 * STALL_PATIENCE_PERCENT / 100)
}

/// Returns the time without output after which callers of a stream disconnect.
fn stream_patience(route: &Route) -> Millis {
    let target_patience = route.target_latency * PATIENCE_PER_TARGET;
    let gap_patience = route.target_gap.unwrap_or_default() * PATIENCE_PER_GAP;
    MIN_STREAM_PATIENCE.max(target_patience).max(gap_patience)
}
