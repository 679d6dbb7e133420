//! Ends of attempts and requests: updates server health, retries where that is
//! allowed, and determines the caller's final answer.

use super::Core;
use super::links::HeldReport;
use super::requests::ANSWER_MARGIN;
use super::requests::ActiveAttempt;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::AttemptNumber;
use crate::gateway::message::Output;
use crate::gateway::message::Ticket;
use crate::gateway::response::promises_not_run;
use crate::gateway::route::RunPolicy;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::id_hash;
use crate::metrics::Count;
use crate::metrics::Timing;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Maximum number of retries per request after attempts that no backend server
/// ran. They do not count towards the route's `max_attempts`.
pub(super) const MAX_RETRIES_NOT_RUN: u32 = 3;
/// Divisor of the caller's remaining time that caps Retry-After. Callers do not
/// wait longer than that.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// Retry-After when no backend server has capacity: about the time that engines
/// take to decode the answers that occupy them.
pub(super) const DEFAULT_RETRY_AFTER: Millis = Millis(3_000);

impl Core {
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        number: AttemptNumber,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        if matches!(end, AttemptEnd::Whole | AttemptEnd::CallerGone) {
            // The request is over, whichever attempt this end is reported for.
            let relay = request.relay.take();
            if let Some(successor) = request.successor.take() {
                self.end_attempt(now, ticket, successor, AttemptEnd::Superseded, out);
            }
            if let Some(relay) = relay {
                self.end_relay(now, ticket, &relay, end);
            }
            let active = self
                .requests
                .get_mut(&ticket)
                .and_then(|request| request.active_attempt.take());
            if let Some(attempt) = active {
                self.end_attempt(now, ticket, attempt, end, out);
            }
            let count = match end {
                AttemptEnd::Whole => Count::Done,
                _ => Count::CallersGone,
            };
            return self.finish(now, ticket, count);
        }
        let is = |attempt: &mut ActiveAttempt| attempt.number == number;
        if let Some(attempt) = request.successor.take_if(is) {
            self.end_attempt(now, ticket, attempt, end, out);
            self.record_ended_run(ticket, end);
        } else if let Some(attempt) = request.active_attempt.take_if(is) {
            request.active_attempt = request.successor.take();
            let is_continued = request.active_attempt.is_some() || request.relay.is_some();
            self.end_attempt(now, ticket, attempt, end, out);
            self.record_ended_run(ticket, end);
            if !is_continued {
                self.retry_or_refuse(now, ticket, end, out);
            }
        } else if let Some(relay) = request.relay.take_if(|relay| relay.number == number) {
            let is_continued = request.active_attempt.is_some();
            self.end_relay(now, ticket, &relay, end);
            self.record_ended_run(ticket, end);
            if !is_continued {
                self.retry_or_refuse_relayed(now, ticket, end, out);
            }
        }
    }

    /// Records whether a backend server may have run an attempt that has ended.
    pub(super) fn record_ended_run(&mut self, ticket: Ticket, end: AttemptEnd) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        if end.is_not_run() {
            request.attempts_not_run += 1;
        } else {
            request.attempts_maybe_run += 1;
            request.verdict = Verdict::MayHaveRun;
        }
    }

    pub(super) fn retry_or_refuse(
        &mut self,
        now: Millis,
        ticket: Ticket,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        if end.is_not_run() {
            self.retry_not_run(now, ticket, end, out);
        } else {
            self.retry_may_have_run(now, ticket, end, out);
        }
    }

    /// Logs the end of an attempt, removes its load and updates the server's
    /// health.
    pub(super) fn end_attempt(
        &mut self,
        now: Millis,
        ticket: Ticket,
        attempt: ActiveAttempt,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        if end != AttemptEnd::NoMemory && !request.tried_servers.contains(&attempt.server) {
            request.tried_servers.push(attempt.server);
        }
        log::info!(
            request = request.submission.head.request_id.as_str(),
            attempt = attempt.number.0,
            server = self.server_table.get(attempt.server).entry.id.as_str(),
            end:? = end,
            started = attempt.first_output_seen,
            longest_pause_ms = attempt.longest_gap.0,
            after_ms = now.since(attempt.sent_at).0;
            "send ended"
        );
        self.record_call_end(now, &attempt, end);
        if end == AttemptEnd::Whole {
            self.record_output_length(ticket, &attempt);
        }
        self.release_attempt(now, &attempt, out);
        self.update_server_health(now, ticket, &attempt, end, out);
    }

    /// Removes an attempt from the load of its servers and notifies the other
    /// instances.
    fn release_attempt(&mut self, now: Millis, attempt: &ActiveAttempt, out: &mut Vec<Output>) {
        self.fleet_load.remove(now, attempt.job, &attempt.servers());
        self.record_end(now, attempt.server);
        for server in attempt.servers() {
            self.record_room(server);
        }
        if !self.is_load_broadcast(attempt.server) {
            return;
        }
        let hash = |key: ServerKey| id_hash(&self.server_table.get(key).entry.id);
        let message = PeerMessage::Ended {
            job: attempt.job.0,
            server: hash(attempt.server),
            parts: attempt.helpers.iter().map(|key| hash(*key)).collect(),
        };
        self.broadcast(out, message);
    }

    /// Updates the health of the backend server according to how the attempt
    /// ended.
    fn update_server_health(
        &mut self,
        now: Millis,
        ticket: Ticket,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        let server = attempt.server;
        if end.is_answered() {
            let service = &self.server_table.get(server).entry.service;
            self.links.record_output(now, service);
        }
        match end {
            AttemptEnd::Whole => {
                self.health.record_success(server);
                self.record_sound(now, ticket, false, out);
                return;
            }
            AttemptEnd::CallerGone
            | AttemptEnd::Failed
            | AttemptEnd::NoMemory
            | AttemptEnd::RelayRefused { .. }
            | AttemptEnd::RelayFailed { .. }
            | AttemptEnd::Superseded
            | AttemptEnd::ShutDown => return,
            AttemptEnd::Misdirected => {
                let id = self.server_table.get(server).entry.id.clone();
                log::warn!(server = id.as_str(); "address belongs to another backend server");
            }
            AttemptEnd::Unreachable | AttemptEnd::Broken | AttemptEnd::Silent
                if self.is_link_lost(server) =>
            {
                return;
            }
            AttemptEnd::Silent if self.is_caller_behind(ticket) => return,
            AttemptEnd::Broken => {
                let crash = self.describe_crash(now, ticket, attempt);
                self.hold_crash(now, server, crash, out);
            }
            AttemptEnd::Refused => {
                self.record_alive(attempt.sent_at, server);
                // By learned cost, a server that sheds gets less, not nothing.
                if self.pause_left(now, server) > Millis::ZERO || self.places_by_cost(server) {
                    return;
                }
            }
            AttemptEnd::NotSent | AttemptEnd::Unreachable | AttemptEnd::Silent => {}
        }
        let avoid_for = match end {
            // Recorded when the attempt stalled.
            AttemptEnd::Silent if attempt.stall_checked_at.is_some() => None,
            AttemptEnd::Silent => self.health.record_timeout(now, server),
            _ => Some(self.health.record_failure(now, server)),
        };
        self.avoid_server(now, server, end, avoid_for, out);
    }

    fn is_caller_behind(&self, ticket: Ticket) -> bool {
        let request = self.requests.get(&ticket);
        request.is_some_and(|request| request.is_caller_behind)
    }

    /// Logs that a server is avoided, and notifies the other instances once it is
    /// known that the link to the server is not at fault.
    pub(super) fn avoid_server(
        &mut self,
        now: Millis,
        server: ServerKey,
        end: AttemptEnd,
        avoid_for: Option<Millis>,
        out: &mut Vec<Output>,
    ) {
        if let Some(avoid_for) = avoid_for {
            log::info!(
                server = self.server_table.get(server).entry.id.as_str(),
                end:? = end,
                reported_by = "this instance",
                pause_ms = avoid_for.0;
                "backend server avoided"
            );
            if end.is_answered() {
                return self.broadcast_avoided(server, avoid_for, out);
            }
            let until = now + avoid_for;
            self.held_reports
                .push(HeldReport::Avoided { server, until });
        }
        match end {
            AttemptEnd::Unreachable => self.record_unreachable(now, server, out),
            AttemptEnd::Broken | AttemptEnd::Silent => self.doubt_link(now, server, out),
            _ => {}
        }
    }

    /// Retries or refuses a request after an attempt that no backend server ran.
    fn retry_not_run(
        &mut self,
        now: Millis,
        ticket: Ticket,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let reached_server = matches!(end, AttemptEnd::Misdirected | AttemptEnd::Refused);
        let service = request.service.clone();
        let may_retry = request.attempts_not_run <= MAX_RETRIES_NOT_RUN
            && (!reached_server || self.budgets.try_withdraw(&service));
        if may_retry {
            return self.place_request(now, ticket, out);
        }
        let request = &self.requests[&ticket];
        let refusal = final_refusal(
            request,
            Reason::NoBackend,
            "backend servers refused the request",
        );
        self.refuse(now, ticket, refusal, out);
    }

    /// Retries or refuses a request after an attempt that a backend server may have
    /// run.
    fn retry_may_have_run(
        &mut self,
        now: Millis,
        ticket: Ticket,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let service = request.service.clone();
        let blocker = match retry_blocker(now, request, request.attempts_maybe_run) {
            // The server's own answer is better than a refusal.
            None if end == AttemptEnd::Failed && self.choose_placement(now, ticket).is_none() => {
                RetryBlocker::NoServer
            }
            None if self.is_retry_quarantined(now, &self.requests[&ticket]) => {
                RetryBlocker::Quarantined
            }
            None if self.budgets.try_withdraw(&service) => {
                return self.place_request(now, ticket, out);
            }
            None => RetryBlocker::Budget,
            Some(blocker) => blocker,
        };
        log::info!(
            request = self.requests[&ticket].submission.head.request_id.as_str(),
            cause:? = blocker,
            attempts = self.requests[&ticket].attempts_maybe_run,
            left_ms = self.requests[&ticket].response_deadline.since(now).0;
            "not retried"
        );
        if end == AttemptEnd::Failed {
            out.push(Output::ForwardFailure(ticket));
            return self.finish(now, ticket, Count::FailedMayHaveRun);
        }
        let request = &self.requests[&ticket];
        let late = now + ANSWER_MARGIN >= request.response_deadline || end == AttemptEnd::Silent;
        let reason = if late {
            Reason::DeadlineExceeded
        } else {
            Reason::BackendFailed
        };
        let refusal = final_refusal(request, reason, "no backend server gave a whole answer");
        self.refuse(now, ticket, refusal, out);
    }

    pub(super) fn refuse_unreachable_deadline(
        &mut self,
        now: Millis,
        ticket: Ticket,
        predicted_wait: Millis,
        out: &mut Vec<Output>,
    ) {
        let request = &self.requests[&ticket];
        let message = "the answer would begin after the deadline";
        log::info!(
            request = request.submission.head.request_id.as_str(),
            forecast_ms = predicted_wait.0,
            left_ms = request.response_deadline.since(now).0;
            "no engine in time"
        );
        let refusal = final_refusal(request, Reason::DeadlineUnreachable, message)
            .retry_after(predicted_wait);
        self.record_no_room(now, ticket);
        self.refuse(now, ticket, refusal, out);
    }

    pub(super) fn refuse(
        &mut self,
        now: Millis,
        ticket: Ticket,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let id = request.submission.head.request_id.clone();
        let refusal = cap_retry_after(now, request, refusal);
        self.log_refusal(&id, &refusal, "final");
        let count = match refusal.verdict {
            Verdict::NotRun => Count::RefusedNotRun,
            Verdict::MayHaveRun | Verdict::Done => Count::FailedMayHaveRun,
        };
        out.push(Output::Refuse(ticket, refusal));
        self.finish(now, ticket, count);
    }

    fn finish(&mut self, now: Millis, ticket: Ticket, count: Count) {
        self.count(count);
        self.leave_queue(now, ticket);
        if let Some(request) = self.requests.remove(&ticket) {
            let waited = now.since(request.submission.arrived);
            // Answers that took longer than their callers wait count as well.
            if matches!(count, Count::Done) || now + ANSWER_MARGIN >= request.response_deadline {
                self.answer_times.record(&request.route.name, waited);
            }
            log::info!(
                request = request.submission.head.request_id.as_str(),
                route = request.route.name.as_str(),
                outcome:? = count,
                total_ms = waited.0;
                "request over"
            );
            self.metrics
                .observe(Timing::Whole, &request.route.name, waited);
        }
    }

    pub(super) fn log_refusal(&self, id: &str, refusal: &Refusal, stage: &str) {
        log::info!(
            request = id,
            stage = stage,
            reason = refusal.reason.code(),
            ran = refusal.verdict.as_str(),
            retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.0),
            config_version = self.routes.as_ref().map_or(0, |routes| routes.version),
            detail = refusal.message.as_str();
            "refused"
        );
    }
}

/// Reason why a request that may have run is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryBlocker {
    /// The request may run only once, or its output cannot be resumed.
    RunPolicy,
    /// The route's maximum number of attempts is reached.
    AttemptLimit,
    /// The time left is too short to deliver an answer.
    Deadline,
    /// The retry budget of the service is used up.
    Budget,
    /// No other backend server can be chosen.
    NoServer,
    /// The request, or a part of its prompt, is quarantined.
    Quarantined,
}

/// Returns why a request must not be sent again after `attempts` that servers
/// may have run, or `None` if only the retry budget can forbid it.
pub(super) fn retry_blocker(now: Millis, request: &Request, attempts: u32) -> Option<RetryBlocker> {
    let is_repeatable = match request.route.run_policy {
        RunPolicy::Idempotent => !request.output_begun,
        RunPolicy::Resumable => true,
        RunPolicy::AtMostOnce => false,
    };
    if !is_repeatable {
        return Some(RetryBlocker::RunPolicy);
    }
    if attempts >= request.route.max_attempts {
        return Some(RetryBlocker::AttemptLimit);
    }
    (now + ANSWER_MARGIN >= request.response_deadline).then_some(RetryBlocker::Deadline)
}

/// Returns the final answer to a failed request. Only a request that has not
/// run gets a refusal that permits any caller to retry, whether or not the
/// request is idempotent.
pub(super) fn final_refusal(request: &Request, reason: Reason, message: &str) -> Refusal {
    match (request.verdict, reason) {
        (Verdict::NotRun, Reason::DeadlineExceeded) => {
            Refusal::not_run(Reason::DeadlineUnreachable, message)
        }
        (Verdict::NotRun, reason) => Refusal::not_run(reason, message),
        (_, reason) if promises_not_run(reason.status()) => {
            Refusal::may_have_run(Reason::BackendFailed, message)
        }
        (_, reason) => Refusal::may_have_run(reason, message),
    }
}

/// Returns a delay between `wait` and twice that which differs between requests,
/// so that callers who are refused together do not return together.
pub(super) fn spread_retry_after(request: &Request, wait: Millis) -> Millis {
    let wait = wait.min(DEFAULT_RETRY_AFTER);
    let hash = id_hash(&request.submission.head.request_id);
    wait + Millis(hash % wait.0.max(1))
}

fn cap_retry_after(now: Millis, request: &Request, refusal: Refusal) -> Refusal {
    if refusal.verdict != Verdict::NotRun {
        return refusal;
    }
    let left = request.response_deadline.since(now);
    let longest = Millis(left.0 / RETRY_AFTER_DIVISOR);
    let wanted = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    refusal.retry_after(wanted.min(longest))
}
