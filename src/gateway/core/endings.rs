//! How sends and requests end: what an end says of the server, whether the
//! request is sent again, and what its caller is told.

use super::Core;
use super::requests::ANSWER_MARGIN;
use super::requests::Request;
use super::requests::Sent;
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

/// Part of a request's target for which it may wait for a backend server; a
/// caller who is refused later than that has waited in vain.
const HOLD_DIVISOR: u64 = 8;
/// Sends that may fail without counting, as no backend server ran the request.
const FREE_SENDS: u32 = 3;
/// Part of a caller's time that Retry-After may take; callers do not wait
/// longer.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// Retry-After where no backend server has room: about as long as engines take
/// to write the answers that fill them.
const RETRY_AFTER_DEFAULT: Millis = Millis(3_000);

impl Core {
    pub(super) fn ended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        end: SendEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(sent) = request.sent.take() else {
            // It left while it waited for a backend server.
            self.requests.remove(&ticket);
            return;
        };
        if end != SendEnd::NoMemory {
            request.tried.push(sent.server);
        }
        let id = request.submission.head.request_id.clone();
        log::info!(
            request = id.as_str(),
            server = self.roster.get(sent.server).entry.id.as_str(),
            end:? = end,
            started = sent.started,
            longest_pause_ms = sent.longest_pause.0,
            after_ms = now.since(sent.at).0;
            "send ended"
        );
        self.release(now, &sent, out);
        self.judge_server(now, ticket, &sent, end, out);
        match end {
            SendEnd::Whole => self.finish(now, ticket, Count::Done),
            SendEnd::CallerGone => self.finish(now, ticket, Count::CallersGone),
            SendEnd::NotSent | SendEnd::NoMemory | SendEnd::Misdirected | SendEnd::Refused => {
                self.again_not_run(now, ticket, end, out);
            }
            SendEnd::Failed | SendEnd::Broken | SendEnd::Silent => {
                self.again_may_have_run(now, ticket, end, out);
            }
        }
    }

    /// Takes a send off the servers it stood on and tells the others.
    fn release(&mut self, now: Millis, sent: &Sent, out: &mut Vec<Output>) {
        self.standing.ended(now, sent.job, &sent.servers());
        if !self.is_told(sent.server) {
            return;
        }
        let hash = |key: ServerKey| id_hash(&self.roster.get(key).entry.id);
        let message = PeerMessage::Ended {
            job: sent.job.0,
            server: hash(sent.server),
            parts: sent.parts.iter().map(|key| hash(*key)).collect(),
        };
        self.tell(out, message);
    }

    /// Draws from a send's end what it says of the backend server.
    fn judge_server(
        &mut self,
        now: Millis,
        ticket: Ticket,
        sent: &Sent,
        end: SendEnd,
        out: &mut Vec<Output>,
    ) {
        let server = sent.server;
        let fingerprint = self.requests[&ticket].submission.fingerprint;
        match end {
            SendEnd::Whole => {
                self.health.succeeded(server);
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
                self.tell(
                    out,
                    PeerMessage::Crashed {
                        fingerprint,
                        server: hash,
                    },
                );
            }
            SendEnd::NotSent | SendEnd::Refused | SendEnd::Silent => {}
        }
        let pause = match end {
            SendEnd::Silent => self.health.silent(now, server),
            _ => Some(self.health.failed(now, server)),
        };
        let Some(pause) = pause else {
            return;
        };
        log::info!(
            server = self.roster.get(server).entry.id.as_str(),
            end:? = end,
            pause_ms = pause.0;
            "backend server avoided"
        );
        let message = PeerMessage::Suspect {
            server: id_hash(&self.roster.get(server).entry.id),
            avoid_ms: pause.0,
        };
        self.tell(out, message);
    }

    /// Goes on after a send that no backend server has run.
    fn again_not_run(&mut self, now: Millis, ticket: Ticket, end: SendEnd, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.free_sends += 1;
        let arrived = matches!(end, SendEnd::Misdirected | SendEnd::Refused);
        let service = request.service.clone();
        let again = request.free_sends <= FREE_SENDS && (!arrived || self.budgets.spend(&service));
        if again {
            return self.place(now, ticket, out);
        }
        let request = &self.requests[&ticket];
        let refusal = failure(request, Reason::NoBackend, "backend servers refused it");
        self.refuse(now, ticket, refusal, out);
    }

    /// Goes on after a send that a backend server may have run.
    fn again_may_have_run(
        &mut self,
        now: Millis,
        ticket: Ticket,
        end: SendEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.sends += 1;
        request.verdict = Verdict::MayHaveRun;
        let repeatable = match request.route.repeat {
            Repeat::Idempotent => !request.output_begun,
            Repeat::Resume => true,
            Repeat::Never => false,
        };
        let service = request.service.clone();
        let allowed = repeatable
            && request.sends < request.route.max_sends
            && now + ANSWER_MARGIN < request.answer_due;
        if allowed && self.budgets.spend(&service) {
            return self.place(now, ticket, out);
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
        let refusal = failure(request, reason, "no backend server gave a whole answer");
        self.refuse(now, ticket, refusal, out);
    }

    /// Lets a request wait for a backend server, for a small part of its target.
    pub(super) fn wait_or_refuse(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let until =
            request.submission.arrived + Millis(request.route.target_latency.0 / HOLD_DIVISOR);
        if now < until {
            request.waits_until = Some(until);
            return;
        }
        let refusal = failure(
            request,
            Reason::NoBackend,
            "no backend server may take it now",
        );
        let servers = self.describe_exclusions(now, &self.requests[&ticket]);
        let id = self.requests[&ticket].submission.head.request_id.as_str();
        log::info!(request = id, servers = servers.as_str(); "no backend server");
        self.refuse(now, ticket, refusal, out);
    }

    /// Tries again to place requests that wait.
    pub(super) fn retry_waiting(&mut self, now: Millis, out: &mut Vec<Output>) {
        let waiting: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.waits_until.is_some())
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in waiting {
            self.place(now, ticket, out);
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
        let refusal = failure(request, Reason::DeadlineUnreachable, message).retry_after(wait);
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
        let refusal = with_retry_after(now, request, refusal);
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
            retry_after_ms = refusal.retry_after.map_or(0, |span| span.0),
            config_version = self.table.as_ref().map_or(0, |table| table.version),
            detail = refusal.message.as_str();
            "refused"
        );
    }
}

/// Returns the final answer to a request that did not succeed. What has not run
/// is refused; only then may the caller come back whatever the request is.
pub(super) fn failure(request: &Request, reason: Reason, message: &str) -> Refusal {
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

fn with_retry_after(now: Millis, request: &Request, refusal: Refusal) -> Refusal {
    if refusal.verdict != Verdict::NotRun {
        return refusal;
    }
    let left = request.answer_due.since(now);
    let longest = Millis(left.0 / RETRY_AFTER_DIVISOR);
    let wanted = refusal.retry_after.unwrap_or(RETRY_AFTER_DEFAULT);
    refusal.retry_after(wanted.min(longest))
}
