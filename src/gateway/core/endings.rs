//! Ends of sends and requests: updates server health, retries where that is
//! allowed, and determines the caller's final answer.

use super::Core;
use super::requests::ANSWER_MARGIN;
use super::requests::ActiveSend;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Output;
use crate::gateway::message::SendEnd;
use crate::gateway::message::Ticket;
use crate::gateway::roster::ServerKey;
use crate::gateway::roster::id_hash;
use crate::gateway::route::Repeat;
use crate::metrics::Count;
use crate::metrics::Timing;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Divisor of the latency target that gives the longest wait for an available
/// backend server. A caller refused later than that has waited in vain.
const PLACEMENT_WAIT_DIVISOR: u64 = 8;
/// Sends per request that may fail without counting as attempts because no
/// backend server ran the request.
const MAX_NOT_RUN_SENDS: u32 = 3;
/// Divisor of the caller's remaining time that caps Retry-After. Callers do not
/// wait longer than that.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// Retry-After when no backend server has capacity: about the time that engines
/// take to decode the answers that occupy them.
const DEFAULT_RETRY_AFTER: Millis = Millis(3_000);

impl Core {
    pub(super) fn on_send_ended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        end: SendEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(send) = request.active_send.take() else {
            // The caller left while the request waited for a backend server.
            self.requests.remove(&ticket);
            return;
        };
        if end != SendEnd::NoMemory {
            request.tried_servers.push(send.server);
        }
        let id = request.submission.head.request_id.clone();
        log::info!(
            request = id.as_str(),
            server = self.roster.get(send.server).entry.id.as_str(),
            end:? = end,
            started = send.started,
            longest_pause_ms = send.longest_gap.0,
            after_ms = now.since(send.sent_at).0;
            "send ended"
        );
        self.release_send(now, &send, out);
        self.update_server_health(now, ticket, &send, end, out);
        match end {
            SendEnd::Whole => self.finish(now, ticket, Count::Done),
            SendEnd::CallerGone => self.finish(now, ticket, Count::CallersGone),
            SendEnd::NotSent | SendEnd::NoMemory | SendEnd::Misdirected | SendEnd::Refused => {
                self.retry_not_run(now, ticket, end, out);
            }
            SendEnd::Failed | SendEnd::Broken | SendEnd::Silent => {
                self.retry_may_have_run(now, ticket, end, out);
            }
        }
    }

    /// Removes a send from the load of its servers and notifies the other
    /// instances.
    fn release_send(&mut self, now: Millis, send: &ActiveSend, out: &mut Vec<Output>) {
        self.fleet_load.remove(now, send.job, &send.servers());
        if !self.is_load_broadcast(send.server) {
            return;
        }
        let hash = |key: ServerKey| id_hash(&self.roster.get(key).entry.id);
        let message = PeerMessage::Ended {
            job: send.job.0,
            server: hash(send.server),
            parts: send.helpers.iter().map(|key| hash(*key)).collect(),
        };
        self.broadcast(out, message);
    }

    /// Updates the health of the backend server according to how the send
    /// ended.
    fn update_server_health(
        &mut self,
        now: Millis,
        ticket: Ticket,
        send: &ActiveSend,
        end: SendEnd,
        out: &mut Vec<Output>,
    ) {
        let server = send.server;
        let fingerprint = self.requests[&ticket].submission.fingerprint;
        match end {
            SendEnd::Whole => {
                self.health.record_success(server);
                self.crashes.clear(fingerprint);
                return;
            }
            SendEnd::CallerGone | SendEnd::Failed | SendEnd::NoMemory => return,
            SendEnd::Misdirected => {
                let id = self.roster.get(server).entry.id.clone();
                log::warn!(server = id.as_str(); "address belongs to another backend server");
            }
            SendEnd::Broken => {
                let hash = id_hash(&self.roster.get(server).entry.id);
                self.crashes.record(now, fingerprint, hash);
                self.broadcast(
                    out,
                    PeerMessage::Crashed {
                        fingerprint,
                        server: hash,
                    },
                );
            }
            SendEnd::NotSent | SendEnd::Refused | SendEnd::Silent => {}
        }
        let avoid_for = match end {
            SendEnd::Silent => self.health.record_timeout(now, server),
            _ => Some(self.health.record_failure(now, server)),
        };
        let Some(avoid_for) = avoid_for else {
            return;
        };
        log::info!(
            server = self.roster.get(server).entry.id.as_str(),
            end:? = end,
            pause_ms = avoid_for.0;
            "backend server avoided"
        );
        let message = PeerMessage::Suspect {
            server: id_hash(&self.roster.get(server).entry.id),
            avoid_ms: avoid_for.0,
        };
        self.broadcast(out, message);
    }

    /// Retries or refuses a request after a send that no backend server ran.
    fn retry_not_run(&mut self, now: Millis, ticket: Ticket, end: SendEnd, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.not_run_sends += 1;
        let reached_server = matches!(end, SendEnd::Misdirected | SendEnd::Refused);
        let service = request.service.clone();
        let may_retry = request.not_run_sends <= MAX_NOT_RUN_SENDS
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

    /// Retries or refuses a request after a send that a backend server may have
    /// run.
    fn retry_may_have_run(
        &mut self,
        now: Millis,
        ticket: Ticket,
        end: SendEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.maybe_run_sends += 1;
        request.verdict = Verdict::MayHaveRun;
        let is_repeatable = match request.route.repeat {
            Repeat::Idempotent => !request.output_begun,
            Repeat::Resume => true,
            Repeat::Never => false,
        };
        let service = request.service.clone();
        let may_retry = is_repeatable
            && request.maybe_run_sends < request.route.max_sends
            && now + ANSWER_MARGIN < request.answer_due;
        if may_retry && self.budgets.try_withdraw(&service) {
            return self.place_request(now, ticket, out);
        }
        if end == SendEnd::Failed {
            out.push(Output::PassFailure(ticket));
            return self.finish(now, ticket, Count::FailedMayHaveRun);
        }
        let request = &self.requests[&ticket];
        let late = now + ANSWER_MARGIN >= request.answer_due || end == SendEnd::Silent;
        let reason = if late {
            Reason::DeadlineExceeded
        } else {
            Reason::BackendFailed
        };
        let refusal = final_refusal(request, reason, "no backend server gave a whole answer");
        self.refuse(now, ticket, refusal, out);
    }

    /// Lets a request wait for a backend server, for a small part of its
    /// latency target.
    pub(super) fn wait_or_refuse(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let until = request.submission.arrived
            + Millis(request.route.target_latency.0 / PLACEMENT_WAIT_DIVISOR);
        if now < until {
            request.wait_until = Some(until);
            return;
        }
        let refusal = final_refusal(
            request,
            Reason::NoBackend,
            "no backend server is available for the request",
        );
        let servers = self.describe_exclusions(now, &self.requests[&ticket]);
        let id = self.requests[&ticket].submission.head.request_id.as_str();
        log::info!(request = id, servers = servers.as_str(); "no backend server");
        self.refuse(now, ticket, refusal, out);
    }

    /// Retries the placement of waiting requests.
    pub(super) fn retry_waiting(&mut self, now: Millis, out: &mut Vec<Output>) {
        let waiting: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.wait_until.is_some())
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in waiting {
            self.place_request(now, ticket, out);
        }
    }

    pub(super) fn refuse_overload(
        &mut self,
        now: Millis,
        ticket: Ticket,
        wait: Millis,
        out: &mut Vec<Output>,
    ) {
        let request = &self.requests[&ticket];
        let message = "the answer would begin after the deadline";
        log::info!(
            request = request.submission.head.request_id.as_str(),
            forecast_ms = wait.0,
            left_ms = request.answer_due.since(now).0;
            "no engine in time"
        );
        let refusal =
            final_refusal(request, Reason::DeadlineUnreachable, message).retry_after(wait);
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
        if let Some(request) = self.requests.remove(&ticket) {
            let waited = now.since(request.submission.arrived);
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
            config_version = self.table.as_ref().map_or(0, |table| table.version),
            detail = refusal.message.as_str();
            "refused"
        );
    }
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
        (_, Reason::NoBackend | Reason::DeadlineUnreachable) => {
            Refusal::may_have_run(Reason::BackendFailed, message)
        }
        (_, reason) => Refusal::may_have_run(reason, message),
    }
}

fn cap_retry_after(now: Millis, request: &Request, refusal: Refusal) -> Refusal {
    if refusal.verdict != Verdict::NotRun {
        return refusal;
    }
    let left = request.answer_due.since(now);
    let longest = Millis(left.0 / RETRY_AFTER_DIVISOR);
    let wanted = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    refusal.retry_after(wanted.min(longest))
}
