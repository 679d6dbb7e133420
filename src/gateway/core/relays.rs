//! Requests relayed to an instance that reaches the backend servers that this one
//! does not.
//!
//! Intended for an instance that has lost its links to all servers of a service
//! while callers and other instances still reach it. The other instance places the
//! request, retries it and counts its load; what it answers is passed on.

use super::Core;
use super::endings::DEFAULT_RETRY_AFTER;
use super::endings::MAX_RETRIES_NOT_RUN;
use super::endings::final_refusal;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::AttemptNumber;
use crate::gateway::message::AttemptPlan;
use crate::gateway::message::Output;
use crate::gateway::message::Ticket;
use crate::gateway::relay::RelayTerms;
use crate::gateway::route::RunPolicy;
use crate::gateway::server_table::id_hash;
use crate::metrics::Count;
use crate::metrics::Timing;
use crate::verdict::Reason;

/// Attempt numbers reserved for each instance that a request is relayed to.
const ATTEMPTS_PER_RELAY: u32 = 64;
/// Maximum connections to another instance.
const MAX_RELAY_CONNECTIONS: usize = 256;

/// An attempt in progress at another instance.
#[derive(Debug)]
pub(super) struct ActiveRelay {
    pub(super) number: AttemptNumber,
    /// Name of the instance.
    pub(super) instance: String,
    pub(super) sent_at: Millis,
}

impl Core {
    /// Tells the other instances whether this one takes their requests.
    pub(super) fn broadcast_relay_state(&self, out: &mut Vec<Output>) {
        let message = PeerMessage::RelayState {
            name: self.local.name.clone(),
            draining: self.shutdown.is_some(),
            lost_services: self.links.lost_services(),
        };
        self.broadcast(out, message);
    }

    /// Chooses the instance that a request is relayed to: the one with the fewest
    /// relayed requests of this instance. Returns `None` if the request must not
    /// be relayed, or to none.
    pub(super) fn choose_relay(&self, now: Millis, ticket: Ticket) -> Option<Member> {
        let request = &self.requests[&ticket];
        // A relayed request is never relayed again.
        if request.submission.relay.is_some() || !self.links.is_lost(&request.service) {
            return None;
        }
        let relayed_to = |name: &str| {
            let relays = self.requests.values().filter_map(|r| r.relay.as_ref());
            relays.filter(|relay| relay.instance == name).count()
        };
        let seed = id_hash(&request.submission.head.request_id);
        self.instances
            .relays(now, &request.service)
            .filter(|member| !request.tried_instances.contains(&member.name))
            .min_by_key(|member| (relayed_to(&member.name), id_hash(&member.name) ^ seed))
    }

    /// Relays a request to another instance. Returns whether it did.
    pub(super) fn relay_request(
        &mut self,
        now: Millis,
        ticket: Ticket,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(member) = self.choose_relay(now, ticket) else {
            return false;
        };
        let config_version = self.routes.as_ref().map_or(0, |routes| routes.version);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return false;
        };
        let plan = relay_plan(now, request, &member, config_version);
        log::info!(
            request = request.submission.head.request_id.as_str(),
            send = plan.attempt.0,
            instance = member.name.as_str(),
            service = request.service.as_str(),
            waited_ms = now.since(request.submission.arrived).0,
            config_version = config_version;
            "relayed"
        );
        request.next_attempt += 1;
        request.tried_instances.push(member.name.clone());
        request.relay = Some(ActiveRelay {
            number: plan.attempt,
            instance: member.name,
            sent_at: now,
        });
        self.leave_queue(now, ticket);
        self.count(Count::Relayed);
        out.push(Output::Send(ticket, plan));
        true
    }

    pub(super) fn log_relayed_request(&self, request: &Request, terms: &RelayTerms) {
        self.count(Count::RelayedReceived);
        log::info!(
            request = request.submission.head.request_id.as_str(),
            waited_ms = terms.waited.0,
            attempts_left = terms.attempts_left,
            config_version = terms.config_version;
            "relayed request received"
        );
    }

    pub(super) fn log_relayed_output(&self, now: Millis, ticket: Ticket, sent_at: Millis) {
        let request = &self.requests[&ticket];
        let waited = now.since(request.submission.arrived);
        log::info!(
            request = request.submission.head.request_id.as_str(),
            observed_ms = now.since(sent_at).0,
            waited_ms = waited.0,
            late = waited > request.route.target_latency;
            "first output"
        );
        self.metrics
            .observe(Timing::FirstOutput, &request.route.name, waited);
    }

    pub(super) fn end_relay(
        &mut self,
        now: Millis,
        ticket: Ticket,
        relay: &ActiveRelay,
        end: AttemptEnd,
    ) {
        let request = &self.requests[&ticket];
        log::info!(
            request = request.submission.head.request_id.as_str(),
            attempt = relay.number.0,
            instance = relay.instance.as_str(),
            end:? = end,
            after_ms = now.since(relay.sent_at).0;
            "relay ended"
        );
        if matches!(end, AttemptEnd::Unreachable | AttemptEnd::Broken) {
            self.instances.record_unreachable(now, &relay.instance);
        }
    }

    /// Retries or refuses a request after an attempt at another instance.
    pub(super) fn retry_or_refuse_relayed(
        &mut self,
        now: Millis,
        ticket: Ticket,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        match end {
            // The other instance has made all attempts that are allowed.
            AttemptEnd::Failed => request.attempts_maybe_run = request.route.max_attempts,
            AttemptEnd::RelayFailed { reason } => {
                let message = "no backend server gave a whole answer to another instance";
                let refusal = final_refusal(request, reason, message);
                return self.refuse(now, ticket, refusal, out);
            }
            AttemptEnd::RelayRefused {
                reason,
                retry_after,
            } => {
                let is_worth_retrying = is_refusal_by_instance(reason)
                    && request.attempts_not_run <= MAX_RETRIES_NOT_RUN
                    && self.choose_relay(now, ticket).is_some();
                if !is_worth_retrying {
                    return self.refuse_relayed(now, ticket, reason, retry_after, out);
                }
            }
            _ => {}
        }
        self.retry_or_refuse(now, ticket, end, out);
    }

    fn refuse_relayed(
        &mut self,
        now: Millis,
        ticket: Ticket,
        reason: Reason,
        retry_after: Option<Millis>,
        out: &mut Vec<Output>,
    ) {
        let request = &self.requests[&ticket];
        // This instance has found the route and the key.
        let reason = match reason {
            Reason::NotFound | Reason::Unauthorized => Reason::Unavailable,
            reason => reason,
        };
        let message =
            "another instance refused the request, and this one reaches no backend server";
        let refusal = final_refusal(request, reason, message)
            .retry_after(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        self.refuse(now, ticket, refusal, out);
    }
}

/// Returns whether an instance refuses a request because of its own state, so
/// that another one may serve it.
fn is_refusal_by_instance(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoBackend | Reason::Unavailable | Reason::NotFound | Reason::Unauthorized
    )
}

fn relay_plan(now: Millis, request: &Request, member: &Member, config_version: u64) -> AttemptPlan {
    let number = request.next_attempt;
    // A relay beside an attempt that goes on shares its limit.
    let attempts = request.attempts_maybe_run + u32::from(request.active_attempt.is_some());
    let attempts_left = request.route.max_attempts.saturating_sub(attempts).max(1);
    AttemptPlan {
        attempt: AttemptNumber(number),
        addr: member.addr.clone(),
        server_id: member.name.clone(),
        relay: Some(RelayTerms {
            waited: now.since(request.submission.arrived),
            attempts_left,
            first_attempt: (number + 1) * ATTEMPTS_PER_RELAY,
            config_version,
        }),
        max_connections: MAX_RELAY_CONNECTIONS,
        helpers: Vec::new(),
        reservations: Vec::new(),
        engine_priority: None,
        workspace: request.workspace.name.clone(),
        response_deadline: request.response_deadline,
        time_limit: request.time_limit,
        first_output_deadline: request.response_deadline,
        resumable: request.route.run_policy == RunPolicy::Resumable,
        streaming: request.route.streaming,
        retry_failures: false,
    }
}
