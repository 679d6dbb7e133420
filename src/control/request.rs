//! The life of a request on its instance: from the caller's word to the final
//! answer.

use std::sync::Arc;

use super::Cx;
use super::Output;
use super::Reply;
use super::Submission;
use super::duties::Duties;
use crate::attempt::Flight;
use crate::attempt::Phase;
use crate::attempt::SERVICE_LINGER;
use crate::backend::Work;
use crate::clock::Millis;
use crate::declaration::Kind;
use crate::declaration::Target;
use crate::fleet::KindKey;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::quarantine::Standing;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// When callers may come back after a failure of backend servers.
pub(super) const FAILURE_RETRY_AFTER: Millis = Millis(1_000);
/// Time in which the final word reaches the caller; at most a tenth of the whole.
const ANSWER_MARGIN: Millis = Millis(50);
/// What callers read of a request that is held.
const HELD: &str = "this request crashed backend servers and is held for a while";

impl Duties {
    pub(super) fn submit(&mut self, cx: &mut Cx<'_>, mut submission: Submission) {
        cx.count(Count::Submitted);
        self.fill_in(&mut submission);
        let request = submission.request;
        let work = submission.work.clone();
        let job = match self.job(cx, &submission) {
            Ok(job) => job,
            Err(refusal) => return self.refuse_new(cx, request, refusal),
        };
        let job = match self.quarantine.standing(cx.now, job.fingerprint) {
            Standing::Free => job,
            Standing::Suspect => Job { alone: true, ..job },
            Standing::Held { retry_after } => {
                let refusal = Refusal::not_run(Reason::Quarantined, HELD);
                return self.refuse_new(cx, request, refusal.retry_after(retry_after));
            }
        };
        let kind = self.fleet.kind(job.kind);
        let flight = Flight {
            job: None,
            work,
            workspace: self.fleet.workspace(job.workspace).name.clone(),
            idempotent: kind.idempotent,
            slot: None,
            answer: None,
            detached: false,
            deadline: job.deadline,
            number: 0,
            tries: 0,
            ran: Verdict::NotRun,
            phase: Phase::Waiting,
        };
        match self.slot_of(&job, &flight.work) {
            Some(slot) => self.claim(cx, flight, job, slot),
            None => self.admit(cx, flight, job),
        }
    }

    /// Puts a new flight into the queue, or refuses it.
    pub(super) fn admit(&mut self, cx: &mut Cx<'_>, mut flight: Flight, job: Job) {
        let request = job.request;
        let model = job.model.clone();
        match self.queue.admit(cx, &self.fleet, &mut self.router, job) {
            Ok(()) => {
                self.budgets.earn(&model);
                flight.phase = Phase::Waiting;
                self.flights.insert(request, flight);
                cx.event(EventKind::Admitted, Subject::request(request), model);
            }
            Err(refused) => {
                if let Some(slot) = flight.slot {
                    self.release_claim(cx, request, slot);
                }
                self.refuse_new(cx, request, refused.1);
            }
        }
    }

    pub(super) fn caller_gone(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        cx.count(Count::CallersGone);
        let detail = "the caller left".to_owned();
        cx.event(EventKind::Failed, Subject::request(request), detail);
        self.part(cx, request, flight);
    }

    /// Ends requests whose deadline passed.
    pub(super) fn expire(&mut self, cx: &mut Cx<'_>) {
        let mut late: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.deadline <= cx.now)
            .map(|(&request, _)| request)
            .collect();
        late.sort_unstable();
        for request in late {
            let Some(flight) = self.flights.remove(&request) else {
                continue;
            };
            let ran = match flight.phase {
                Phase::Running(_) => Verdict::MayHaveRun,
                Phase::Claiming | Phase::Waiting => flight.ran,
            };
            let refusal = Refusal {
                verdict: ran,
                ..Refusal::not_run(Reason::DeadlineExceeded, "the deadline passed")
            };
            if !flight.detached {
                self.fail(cx, request, refusal.retry_after(FAILURE_RETRY_AFTER));
            }
            self.part(cx, request, flight);
        }
    }

    /// Gives a prompt whose caller names no output length that of its kind.
    fn fill_in(&self, submission: &mut Submission) {
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

    fn job(&self, cx: &Cx<'_>, submission: &Submission) -> Result<Job, Refusal> {
        if self.leaving {
            let text = "this instance is leaving; send the request again";
            let refusal = Refusal::not_run(Reason::Unavailable, text);
            return Err(refusal.retry_after(Millis(0)));
        }
        let workspace = self
            .fleet
            .workspace_by_token(&submission.token_sha256)
            .ok_or_else(|| Refusal::not_run(Reason::Unauthorized, "unknown bearer token"))?;
        let key = self.kind_of(submission)?;
        let kind = self.fleet.kind(key);
        let span = submission
            .deadline
            .map_or(kind.deadline_ms, |asked| asked.min(kind.deadline_ms));
        let importance = submission
            .importance
            .map_or(kind.importance, |asked| asked.min(kind.importance));
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
            admitted: cx.now,
            deadline: cx.now + span.since(ANSWER_MARGIN.min(Millis(span.0 / 10))),
            offset: 0,
            excluded: Vec::new(),
            alone: false,
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

    /// Returns the kind that the caller names, or the first that fits the work.
    fn kind_of(&self, submission: &Submission) -> Result<KindKey, Refusal> {
        let found = match &submission.kind {
            Some(name) => self
                .fleet
                .kind_key(name)
                .filter(|&key| fits(self.fleet.kind(key), &submission.work)),
            None => self
                .fleet
                .declaration()
                .kinds
                .iter()
                .find(|kind| fits(kind, &submission.work))
                .and_then(|kind| self.fleet.kind_key(&kind.name)),
        };
        found.ok_or_else(|| {
            let named = submission.kind.as_deref().unwrap_or("(none named)");
            let text = format!("no request kind fits this path; kind asked for: {named}");
            Refusal::not_run(Reason::NotFound, text)
        })
    }

    /// Ends what goes on for a request whose caller left or has its final
    /// answer. A claimed call that runs goes on, so that its result is kept.
    fn part(&mut self, cx: &mut Cx<'_>, request: RequestId, mut flight: Flight) {
        self.queue.remove(request);
        let running = matches!(flight.phase, Phase::Running(_));
        if flight.slot.is_some() && running && !flight.detached {
            flight.detached = true;
            flight.deadline = cx.now + SERVICE_LINGER;
            self.flights.insert(request, flight);
            return;
        }
        if let (Some(slot), Verdict::NotRun, false) = (flight.slot, flight.ran, running) {
            self.release_claim(cx, request, slot);
        }
        let Phase::Running(running) = flight.phase else {
            self.end_gang(cx, request);
            return;
        };
        let attempt = running.attempt;
        cx.out.push(Output::Drop { attempt });
        let service = matches!(*flight.work, Work::Service(_));
        self.let_go(cx, request, running, true, service);
    }

    /// Ends a flight that failed after its admission.
    pub(super) fn failed(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        flight: &Flight,
        refusal: Refusal,
    ) {
        let verdict = refusal.verdict.and(flight.ran);
        if let (Some(slot), Verdict::NotRun) = (flight.slot, verdict) {
            self.release_claim(cx, request, slot);
        }
        if !flight.detached {
            self.fail(cx, request, Refusal { verdict, ..refusal });
        }
    }

    pub(super) fn whole(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        cx.count(Count::Done);
        cx.event(EventKind::Done, Subject::request(request), String::new());
        let reply = Reply::Whole;
        cx.out.push(Output::Reply { request, reply });
    }

    /// Refuses a request that was not admitted.
    fn refuse_new(&mut self, cx: &mut Cx<'_>, request: RequestId, refusal: Refusal) {
        cx.count(Count::RefusedNotRun);
        let detail = refusal.reason.code().to_owned();
        cx.event(EventKind::Refused, Subject::request(request), detail);
        self.refuse(cx, request, refusal);
    }

    /// Gives an admitted request its final answer, which is a failure.
    pub(super) fn fail(&mut self, cx: &mut Cx<'_>, request: RequestId, refusal: Refusal) {
        let count = match refusal.verdict {
            Verdict::NotRun => Count::RefusedNotRun,
            Verdict::MayHaveRun | Verdict::Done => Count::FailedMayHaveRun,
        };
        cx.count(count);
        let detail = format!("{}: {}", refusal.reason, refusal.message);
        cx.event(EventKind::Failed, Subject::request(request), detail);
        self.refuse(cx, request, refusal);
    }
}

/// Returns whether requests of a kind do this work.
fn fits(kind: &Kind, work: &Work) -> bool {
    match (kind.target, work) {
        (Target::Engine, Work::Prompt(_)) => true,
        (Target::Service, Work::Service(call)) => {
            let listed = kind.operations.is_empty() || kind.operations.contains(&call.operation);
            kind.service == call.service && listed
        }
        (Target::Engine, Work::Service(_)) | (Target::Service, Work::Prompt(_)) => false,
    }
}
