//! Attempts whose backend server has given no output for too long.
//!
//! Such a server may have died, or may only be busy: an engine emits nothing
//! while it prefills a long prompt. The attempt therefore goes on, and a second
//! one is started if the retry limits allow it and another server is expected to
//! answer before the caller disconnects. The one that gives output first
//! supersedes the other.
//!
//! While the caller does not read what has arrived, the server is not to blame, and
//! neither is it for the time in which this instance was suspended.
//!
//! Intended for engines that stop answering without closing connections, and
//! for engines that stall many streams at once while the fleet has little spare
//! capacity.

use super::Core;
use super::endings::MAX_RETRIES_NOT_RUN;
use super::endings::RetryBlocker;
use super::endings::retry_blocker;
use super::requests::ANSWER_MARGIN;
use super::requests::ActiveAttempt;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::Output;
use crate::gateway::message::Ticket;
use crate::gateway::placement::Placement;
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
/// Time before the release of unused memory at which a successor is started.
const SUCCESSOR_LEAD: Millis = Millis(1_000);
/// Time without output after which an attempt counts as stalled if the link to
/// its server is lost.
const MAX_SILENCE_OF_LOST_LINK: Millis = Millis(300);
/// Interval at which another server is sought for a stalled attempt.
const STALL_CHECK_PERIOD: Millis = Millis(100);
/// Time between two ticks from which this instance counts as suspended; many times
/// their interval.
const MAX_TICK_GAP: Millis = Millis(250);
/// Time after a suspension in which what has arrived meanwhile is read.
const CATCH_UP_TIME: Millis = Millis(250);

/// Reason why a stalled attempt has no successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StallBlocker {
    /// The request must not be sent again.
    Retry(RetryBlocker),
    /// No other backend server is expected to answer in time.
    NoServerInTime,
}

impl Core {
    /// Lets this instance catch up after a suspension before it takes a server for
    /// silent.
    pub(super) fn detect_suspension(&mut self, now: Millis) {
        let gap = now.since(std::mem::replace(&mut self.last_tick, now));
        if gap < MAX_TICK_GAP || gap == now {
            return;
        }
        log::warn!(suspended_ms = gap.0; "this instance was suspended");
        self.next_stall_check = now + CATCH_UP_TIME;
    }

    /// Starts second attempts for requests whose attempt is stalled.
    pub(super) fn check_stalled_attempts(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < self.next_stall_check {
            return;
        }
        let stalled: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                let is_lost = self.links.is_lost(&request.service);
                request.is_stall_check_due(now, is_lost)
            })
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
            if !request.tried_servers.contains(&server) {
                request.tried_servers.push(server);
            }
            self.count(Count::AttemptsStalled);
            let avoid_for = match self.is_link_lost(server) {
                true => None,
                false => self.health.record_timeout(now, server),
            };
            self.avoid_server(now, server, AttemptEnd::Silent, avoid_for, out);
        }
        let started = self.start_successor(now, ticket, out);
        if started.is_ok() {
            self.count(Count::Successors);
        }
        if is_new {
            let request = &self.requests[&ticket];
            log::info!(
                request = request.submission.head.request_id.as_str(),
                server = self.server_table.get(server).entry.id.as_str(),
                second_attempt:? = started,
                silent_ms = now.since(request.last_output_at).0,
                left_ms = request.response_deadline.since(now).0;
                "no output; the attempt goes on"
            );
        }
    }

    /// Starts a second attempt on another server.
    fn start_successor(
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
        if self.is_retry_quarantined(now, request) {
            return Err(StallBlocker::Retry(RetryBlocker::Quarantined));
        }
        if request.attempts_not_run > MAX_RETRIES_NOT_RUN {
            return Err(StallBlocker::Retry(RetryBlocker::AttemptLimit));
        }
        // The search for a server is expensive: it is made only if it can help.
        let exit_at = self.shutdown.map(|shutdown| shutdown.exit_at);
        let needed_by = request
            .caller_waits_until()
            .min(exit_at.unwrap_or(Millis::NEVER));
        if now + ANSWER_MARGIN >= needed_by {
            return Err(StallBlocker::NoServerInTime);
        }
        let service = request.service.clone();
        if !self.budgets.can_withdraw(&service) {
            return Err(StallBlocker::Retry(RetryBlocker::Budget));
        }
        self.fleet_load.advance(now);
        let is_in_time = |placement: &Placement| {
            placement.first_token_at + ANSWER_MARGIN.0 as f64 <= needed_by.0 as f64
        };
        let Some(chosen) = self.choose_placement(now, ticket) else {
            if self.choose_relay(now, ticket).is_none() {
                return Err(StallBlocker::NoServerInTime);
            }
            if !self.budgets.try_withdraw(&service) {
                return Err(StallBlocker::Retry(RetryBlocker::Budget));
            }
            self.relay_request(now, ticket, out);
            return Ok(());
        };
        if !is_in_time(&chosen.placement) {
            return Err(StallBlocker::NoServerInTime);
        }
        if !self.budgets.try_withdraw(&service) {
            return Err(StallBlocker::Retry(RetryBlocker::Budget));
        }
        self.send_request(now, ticket, &chosen, out);
        Ok(())
    }
}

impl Request {
    /// Returns whether another server has to be sought, because the attempt in
    /// progress is stalled, has no successor and was not checked recently.
    fn is_stall_check_due(&self, now: Millis, is_link_lost: bool) -> bool {
        let Some(attempt) = &self.active_attempt else {
            return false;
        };
        if self.successor.is_some() || self.relay.is_some() || now >= self.response_deadline {
            return false;
        }
        if self.is_caller_behind {
            return false;
        }
        let is_recent = attempt
            .stall_checked_at
            .is_some_and(|at| now.since(at) < STALL_CHECK_PERIOD);
        let stalls_at = self.stalls_at(attempt).map(|at| match is_link_lost {
            true => at.min(attempt.last_output + MAX_SILENCE_OF_LOST_LINK),
            false => at,
        });
        !is_recent && stalls_at.is_some_and(|at| now >= at)
    }

    /// Returns when an attempt counts as stalled, if it may have a successor.
    fn stalls_at(&self, attempt: &ActiveAttempt) -> Option<Millis> {
        let without_output = match self.route.run_policy {
            RunPolicy::AtMostOnce => return None,
            RunPolicy::Idempotent if attempt.first_output_seen => return None,
            RunPolicy::Idempotent => {
                attempt.sent_at + Millis(self.response_deadline.since(attempt.sent_at).0 / 2)
            }
            RunPolicy::Resumable => self.last_output_at + max_output_gap(&self.route),
        };
        if attempt.first_output_seen {
            return Some(without_output);
        }
        // Not before the predicted first output, and in time before unused
        // memory has to be released.
        let predicted = attempt.sent_at + Millis(attempt.predicted_ms.max(0.0) as u64);
        let release_at = attempt.memory_unused_until.unwrap_or(Millis(u64::MAX));
        let latest = Millis(release_at.0.saturating_sub(SUCCESSOR_LEAD.0));
        Some(without_output.max(predicted).min(latest))
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
