//! The lifecycle of a request on its instance, from submission to the final
//! reply.

use std::sync::Arc;

use super::Cx;
use super::Output;
use super::Reply;
use super::Submission;
use super::components::Components;
use super::stop::draining_refusal;
use crate::attempt::InFlightRequest;
use crate::attempt::ORPHANED_SERVICE_CALL_TIMEOUT;
use crate::attempt::Phase;
use crate::backend::Work;
use crate::clock::Millis;
use crate::declaration::Kind;
use crate::declaration::Target;
use crate::fleet::KindKey;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::quarantine::Restriction;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Retry delay sent to callers after a failure of backend servers or a passed
/// deadline.
pub(super) const FAILURE_RETRY_AFTER: Millis = Millis(1_000);
/// Time before the deadline reserved for sending the final reply; reduced to a
/// tenth of the time limit if that is shorter.
const REPLY_MARGIN: Millis = Millis(50);
/// Refusal message for a quarantined request.
const QUARANTINED_MESSAGE: &str =
    "requests like this one crashed backend servers; this one is refused until the quarantine ends";

impl Components {
    pub(super) fn submit(&mut self, cx: &mut Cx<'_>, mut submission: Submission) {
        cx.count(Count::Submitted);
        self.apply_default_max_tokens(&mut submission);
        let request = submission.request;
        let work = submission.work.clone();
        let job = match self.build_job(cx, &submission) {
            Ok(job) => job,
            Err(refusal) => return self.refuse_unadmitted(cx, request, refusal),
        };
        let restriction = self
            .quarantine
            .restriction_on(cx.now, job.fingerprint, job.prefix);
        let job = match restriction {
            Restriction::None => job,
            Restriction::Suspect => Job {
                exclusive: true,
                ..job
            },
            Restriction::Quarantined { retry_after } => {
                let refusal = Refusal::not_run(Reason::Quarantined, QUARANTINED_MESSAGE);
                return self.refuse_unadmitted(cx, request, refusal.retry_after(retry_after));
            }
        };
        let kind = self.fleet.kind(job.kind);
        let in_flight = InFlightRequest {
            job: None,
            work,
            workspace: self.fleet.workspace(job.workspace).name.clone(),
            idempotent: kind.idempotent,
            claim_slot: None,
            service_answer: None,
            caller_detached: false,
            deadline: job.deadline,
            last_attempt_number: 0,
            tries: 0,
            verdict: Verdict::NotRun,
            phase: Phase::Waiting,
        };
        match self.claim_slot(&job, &in_flight.work) {
            Some(slot) => self.claim(cx, in_flight, job, slot),
            None => self.admit(cx, in_flight, job),
        }
    }

    /// Puts a new request into the queue, or refuses it.
    pub(super) fn admit(&mut self, cx: &mut Cx<'_>, mut in_flight: InFlightRequest, job: Job) {
        let request = job.request;
        let model = job.model.clone();
        match self.queue.admit(cx, &self.fleet, &mut self.router, job) {
            Ok(()) => {
                self.budgets.deposit(&model);
                in_flight.phase = Phase::Waiting;
                self.in_flight.insert(request, in_flight);
                cx.event(EventKind::Admitted, Subject::request(request), model);
            }
            Err(refused) => {
                if let Some(slot) = in_flight.claim_slot {
                    self.release_claim(cx, request, slot);
                }
                let refusal = self.queue_refusal(&in_flight, refused.1);
                self.refuse_unadmitted(cx, request, refusal);
            }
        }
    }

    pub(super) fn caller_gone(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(in_flight) = self.in_flight.remove(&request) else {
            return;
        };
        cx.count(Count::CallersGone);
        let detail = "the caller disconnected".to_owned();
        cx.event(EventKind::Failed, Subject::request(request), detail);
        self.stop_work(cx, request, in_flight);
    }

    /// Fails the requests whose deadline has passed.
    pub(super) fn fail_expired_requests(&mut self, cx: &mut Cx<'_>) {
        let mut expired: Vec<RequestId> = self
            .in_flight
            .iter()
            .filter(|(_, in_flight)| in_flight.deadline <= cx.now)
            .map(|(&request, _)| request)
            .collect();
        expired.sort_unstable();
        for request in expired {
            let Some(in_flight) = self.in_flight.remove(&request) else {
                continue;
            };
            let verdict = match in_flight.phase {
                Phase::Running(_) => Verdict::MayHaveRun,
                Phase::Claiming | Phase::Waiting => in_flight.verdict,
            };
            let refusal = Refusal::not_run(Reason::DeadlineExceeded, "the deadline passed")
                .retry_after(FAILURE_RETRY_AFTER);
            let refusal = self.cut_refusal(&in_flight).unwrap_or(refusal);
            if !in_flight.caller_detached {
                self.reply_failed(cx, request, Refusal { verdict, ..refusal });
            }
            self.stop_work(cx, request, in_flight);
        }
    }

    /// Sets the output limit of a prompt that has none to the default of its kind.
    fn apply_default_max_tokens(&self, submission: &mut Submission) {
        let Ok(key) = self.kind_of(submission) else {
            return;
        };
        let unset = matches!(&*submission.work, Work::Prompt(prompt) if prompt.max_tokens == 0);
        if !unset {
            return;
        }
        if let Work::Prompt(prompt) = Arc::make_mut(&mut submission.work) {
            prompt.max_tokens = self.fleet.kind(key).max_tokens;
        }
    }

    fn build_job(&self, cx: &Cx<'_>, submission: &Submission) -> Result<Job, Refusal> {
        if self.draining() {
            return Err(draining_refusal());
        }
        let workspace = self
            .fleet
            .workspace_by_token(&submission.token_sha256)
            .ok_or_else(|| Refusal::not_run(Reason::Unauthorized, "unknown bearer token"))?;
        let key = self.kind_of(submission)?;
        let kind = self.fleet.kind(key);
        let time_limit = submission
            .time_limit
            .map_or(kind.deadline_ms, |limit| limit.min(kind.deadline_ms));
        let importance = submission.importance.map_or(kind.importance, |importance| {
            importance.min(kind.importance)
        });
        let job = Job {
            request: submission.request,
            workspace,
            kind: key,
            target: kind.target,
            model: String::new(),
            prompt_tokens: 0,
            max_tokens: 0,
            prefix: 0,
            fingerprint: submission.fingerprint,
            importance,
            submitted_at: cx.now,
            deadline: cx.now + time_limit.since(REPLY_MARGIN.min(Millis(time_limit.0 / 10))),
            offset: 0,
            excluded: Vec::new(),
            exclusive: false,
        };
        Ok(match &*submission.work {
            Work::Prompt(prompt) => Job {
                model: prompt.model.clone(),
                prompt_tokens: prompt.tokens,
                max_tokens: prompt.max_tokens,
                prefix: prompt.prefix,
                ..job
            },
            Work::Service(call) => Job {
                model: call.service.clone(),
                ..job
            },
        })
    }

    /// Returns the kind that the caller names, or the first that accepts the work.
    fn kind_of(&self, submission: &Submission) -> Result<KindKey, Refusal> {
        let found = match &submission.kind {
            Some(name) => self
                .fleet
                .kind_key(name)
                .filter(|&key| kind_accepts(self.fleet.kind(key), &submission.work)),
            None => self
                .fleet
                .declaration()
                .kinds
                .iter()
                .find(|kind| kind_accepts(kind, &submission.work))
                .and_then(|kind| self.fleet.kind_key(&kind.name)),
        };
        found.ok_or_else(|| {
            let named = submission.kind.as_deref().unwrap_or("(none named)");
            let text = format!("no request kind accepts this call; requested kind: {named}");
            Refusal::not_run(Reason::NotFound, text)
        })
    }

    /// Cancels the work of a request whose caller disconnected or has its final
    /// reply. A running call with a claim continues detached, so that its result
    /// is recorded.
    fn stop_work(&mut self, cx: &mut Cx<'_>, request: RequestId, mut in_flight: InFlightRequest) {
        let queued = self.queue.remove(request);
        let running = matches!(in_flight.phase, Phase::Running(_));
        if let Some(job) = queued.filter(|_| running) {
            self.budgets.refund(&job.model);
        }
        if in_flight.claim_slot.is_some() && running && !in_flight.caller_detached {
            in_flight.caller_detached = true;
            in_flight.deadline = cx.now + ORPHANED_SERVICE_CALL_TIMEOUT;
            self.in_flight.insert(request, in_flight);
            return;
        }
        if let (Some(slot), Verdict::NotRun, false) =
            (in_flight.claim_slot, in_flight.verdict, running)
        {
            self.release_claim(cx, request, slot);
        }
        let Phase::Running(running) = in_flight.phase else {
            self.release_gang(cx, request);
            return;
        };
        let attempt = running.attempt;
        cx.out.push(Output::Drop { attempt });
        let service = matches!(*in_flight.work, Work::Service(_));
        self.release_attempt(cx, request, running, true, service);
    }

    /// Fails an admitted request: releases its claim if nothing ran, and
    /// replies unless its caller has disconnected or has its reply.
    pub(super) fn fail_admitted(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        in_flight: &InFlightRequest,
        refusal: Refusal,
    ) {
        let verdict = refusal.verdict.combine(in_flight.verdict);
        if let (Some(slot), Verdict::NotRun) = (in_flight.claim_slot, verdict) {
            self.release_claim(cx, request, slot);
        }
        if !in_flight.caller_detached {
            self.reply_failed(cx, request, Refusal { verdict, ..refusal });
        }
    }

    pub(super) fn reply_complete(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        cx.count(Count::Done);
        cx.event(EventKind::Done, Subject::request(request), String::new());
        let reply = Reply::Complete;
        cx.out.push(Output::Reply { request, reply });
    }

    /// Refuses a request that was not admitted.
    fn refuse_unadmitted(&mut self, cx: &mut Cx<'_>, request: RequestId, refusal: Refusal) {
        cx.count(Count::RefusedNotRun);
        let detail = refusal.reason.code().to_owned();
        cx.event(EventKind::Refused, Subject::request(request), detail);
        self.send_refusal(cx, request, refusal);
    }

    /// Counts and records the failure of a request, and sends its final reply.
    pub(super) fn reply_failed(&mut self, cx: &mut Cx<'_>, request: RequestId, refusal: Refusal) {
        let count = match refusal.verdict {
            Verdict::NotRun => Count::RefusedNotRun,
            Verdict::MayHaveRun | Verdict::Done => Count::FailedMayHaveRun,
        };
        cx.count(count);
        let detail = format!("{}: {}", refusal.reason, refusal.message);
        cx.event(EventKind::Failed, Subject::request(request), detail);
        self.send_refusal(cx, request, refusal);
    }
}

/// Returns whether a kind accepts this work.
fn kind_accepts(kind: &Kind, work: &Work) -> bool {
    match (kind.target, work) {
        (Target::Engine, Work::Prompt(_)) => true,
        (Target::Service, Work::Service(call)) => {
            let listed = kind.operations.is_empty() || kind.operations.contains(&call.operation);
            kind.service == call.service && listed
        }
        (Target::Engine, Work::Service(_)) | (Target::Service, Work::Prompt(_)) => false,
    }
}
