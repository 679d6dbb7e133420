//! Requests during a shutdown.
//!
//! New requests still arrive until the balancer has learned that the instance is
//! not ready. They are admitted if they can be finished before the process exits;
//! their callers are told to come back at once otherwise, as another instance can
//! serve them. What is open at the exit all the same gets a final answer.
//!
//! Intended for instances that are replaced while engines are busy, so that
//! streams last nearly as long as the shutdown.

use super::Core;
use super::endings::final_refusal;
use super::requests::ANSWER_MARGIN;
use super::requests::RETRY_AFTER_UNREADY;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::Output;
use crate::gateway::message::Ticket;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Message to the caller of a request that the shutdown leaves no time for.
const SHUTTING_DOWN_MESSAGE: &str = "this instance is shutting down";

impl Core {
    /// Returns the refusal of a request that the shutdown leaves no time for.
    pub(super) fn refusal_during_shutdown(
        &self,
        now: Millis,
        request: &Request,
    ) -> Option<Refusal> {
        let shutdown = self.shutdown?;
        let is_admitted = now < shutdown.accept_until && self.is_time_left(now, request);
        log::info!(
            request = request.submission.head.request_id.as_str(),
            admitted = is_admitted,
            after_ms = now.since(shutdown.started_at).0,
            left_ms = shutdown.exit_at.since(now).0,
            usual_ms = self.answer_times.usual(&request.route.name).0,
            taken_elsewhere = self.is_taken_elsewhere(now, request);
            "request arrived during the shutdown"
        );
        (!is_admitted).then(|| {
            Refusal::not_run(Reason::Unavailable, SHUTTING_DOWN_MESSAGE)
                .retry_after(RETRY_AFTER_UNREADY)
        })
    }

    /// Returns whether a request may be sent to a backend server: it has to be
    /// finished before the process exits, if another instance can take it.
    pub(super) fn is_time_left(&self, now: Millis, request: &Request) -> bool {
        let Some(shutdown) = self.shutdown else {
            return true;
        };
        if now + ANSWER_MARGIN >= shutdown.exit_at {
            return false;
        }
        let usual = self.answer_times.usual(&request.route.name);
        let usual_end = request.submission.arrived + usual;
        usual_end.min(request.response_deadline) <= shutdown.exit_at
            || request.verdict != Verdict::NotRun
            || !self.is_taken_elsewhere(now, request)
    }

    fn is_taken_elsewhere(&self, now: Millis, request: &Request) -> bool {
        // The instance that relays a request can try another one.
        request.submission.relay.is_some()
            || self.instances.any_takes_requests(now, &request.service)
    }

    /// Refuses a request that the shutdown leaves no time to send.
    pub(super) fn refuse_for_shutdown(
        &mut self,
        now: Millis,
        ticket: Ticket,
        out: &mut Vec<Output>,
    ) {
        let request = &self.requests[&ticket];
        let mut refusal = final_refusal(request, Reason::Unavailable, SHUTTING_DOWN_MESSAGE);
        if refusal.verdict == Verdict::NotRun {
            refusal = refusal.retry_after(RETRY_AFTER_UNREADY);
        }
        self.refuse(now, ticket, refusal, out);
    }

    /// Ends the requests that are still open shortly before the process exits, so
    /// that their callers get an answer.
    pub(super) fn end_requests_at_exit(&mut self, now: Millis, out: &mut Vec<Output>) {
        let is_exit = self
            .shutdown
            .is_some_and(|shutdown| now >= shutdown.exit_at);
        if !is_exit {
            return;
        }
        let open: Vec<Ticket> = self.requests.keys().copied().collect();
        for ticket in open {
            self.end_request_at_exit(now, ticket, out);
        }
    }

    fn end_request_at_exit(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let relay = request.relay.take();
        let attempts = [request.successor.take(), request.active_attempt.take()];
        log::warn!(
            request = request.submission.head.request_id.as_str(),
            age_ms = now.since(request.submission.arrived).0,
            sent = relay.is_some() || attempts.iter().any(Option::is_some),
            output_begun = request.output_begun;
            "request open at the exit of the process"
        );
        for attempt in attempts.into_iter().flatten() {
            self.end_attempt(now, ticket, attempt, AttemptEnd::ShutDown, out);
            self.record_ended_run(ticket, AttemptEnd::ShutDown);
        }
        if let Some(relay) = relay {
            self.end_relay(now, ticket, &relay, AttemptEnd::ShutDown);
            self.record_ended_run(ticket, AttemptEnd::ShutDown);
        }
        self.refuse_for_shutdown(now, ticket, out);
    }
}
