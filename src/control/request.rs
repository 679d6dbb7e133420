//! The life of a request on its instance: from the caller's word to the final
//! answer.

use super::Cx;
use super::Output;
use super::Reply;
use super::Submission;
use super::duties::Duties;
use crate::admission::Decision;
use crate::admission::Dispatch;
use crate::attempt::Flight;
use crate::attempt::Next;
use crate::attempt::Outcome;
use crate::attempt::Phase;
use crate::attempt::Running;
use crate::attempt::SERVICE_LINGER;
use crate::backend::AttemptEnd;
use crate::backend::AttemptEvent;
use crate::backend::Call;
use crate::backend::CallStart;
use crate::backend::Work;
use crate::clock::Millis;
use crate::condition::Sign;
use crate::declaration::Kind;
use crate::declaration::Target;
use crate::fleet::KindKey;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::quarantine::HOLD;
use crate::quarantine::Standing;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Longest time without progress before a connection counts as silent.
pub const SILENCE_LIMIT: Millis = Millis(2_000);
/// When callers may come back after a failure of backend servers.
const FAILURE_RETRY_AFTER: Millis = Millis(1_000);
/// What callers read of a request that is held.
const HELD: &str = "this request crashed backend servers and is held for a while";

impl Duties {
    pub(super) fn submit(&mut self, cx: &mut Cx<'_>, submission: Submission) {
        cx.count(Count::Submitted);
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

    pub(super) fn attempt(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, event: AttemptEvent) {
        let Some(flight) = self.flights.get_mut(&attempt.request) else {
            return;
        };
        let Phase::Running(running) = &mut flight.phase else {
            return;
        };
        if running.attempt != attempt {
            return;
        }
        match event {
            AttemptEvent::Accepted => {}
            AttemptEvent::FirstToken => {
                running.first_token.get_or_insert(cx.now);
                self.capacity.prefill_done(&mut running.held);
            }
            AttemptEvent::Progress { offset } => running.offset = running.offset.max(offset),
            AttemptEvent::Answer { status, body } => flight.answer = Some((status, body)),
            AttemptEvent::Ended(end) => self.ended(cx, attempt, &end),
        }
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

    /// Sends what the queue lets go.
    pub(super) fn dispatch(&mut self, cx: &mut Cx<'_>) {
        let decisions = self.queue.dispatch(
            cx,
            &self.fleet,
            &mut self.router,
            &mut self.capacity,
            &self.conditions,
        );
        for decision in decisions {
            match decision {
                Decision::Run(dispatch) => self.run(cx, dispatch),
                Decision::Refuse(job, refusal) => {
                    if let Some(flight) = self.flights.remove(&job.request) {
                        self.failed(cx, job.request, &flight, refusal);
                    }
                }
            }
        }
    }

    fn run(&mut self, cx: &mut Cx<'_>, dispatch: Dispatch) {
        let Dispatch { job, held } = dispatch;
        let Some(flight) = self.flights.get_mut(&job.request) else {
            return self.capacity.release(held);
        };
        flight.number += 1;
        flight.tries += 1;
        if flight.tries > 1 {
            cx.count(Count::Retries);
        }
        let start = match job.offset {
            0 => CallStart::Fresh,
            offset => CallStart::Continue { offset },
        };
        let running = Running {
            attempt: AttemptId {
                request: job.request,
                number: flight.number,
            },
            held,
            sent: cx.now,
            first_token: None,
            start,
            offset: job.offset,
            resumes: 0,
        };
        let request = job.request;
        flight.job = Some(job);
        flight.phase = Phase::Running(running);
        self.send_call(cx, request);
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
            deadline: cx.now + span,
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

    fn ended(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, end: &AttemptEnd) {
        let request = attempt.request;
        let Some(mut flight) = self.flights.remove(&request) else {
            return;
        };
        let phase = std::mem::replace(&mut flight.phase, Phase::Waiting);
        let (Phase::Running(running), Some(mut job)) = (phase, flight.job.take()) else {
            return;
        };
        let outcome = Outcome::of(&running, end);
        self.note(cx, &running, &outcome, end);
        let mut next = flight.next(&running, end, &outcome, &mut self.budgets, &job.model);
        if outcome.crashed && self.crashed(cx, &mut job, attempt) {
            next = Next::Fail(Reason::Quarantined);
        }
        flight.ran = flight.ran.and(outcome.verdict);
        match next {
            Next::Whole => {
                self.capacity.release(running.held);
                self.settle_claim(cx, request, &flight);
                let fingerprint = job.fingerprint;
                self.quarantine.completed(cx, &self.everyone, fingerprint);
                if !flight.detached {
                    self.whole(cx, request);
                }
            }
            Next::Resume => self.resume(cx, flight, running, job, outcome.offset),
            Next::Elsewhere => self.elsewhere(cx, flight, running, job, &outcome),
            Next::Fail(reason) => {
                let service = matches!(*flight.work, Work::Service(_));
                self.let_go(cx, request, running, outcome.lingers, service);
                let text = format!("the backend server failed: {end:?}");
                let refusal = Refusal::not_run(reason, text);
                let refusal = match reason {
                    Reason::BackendFailed => refusal.retry_after(FAILURE_RETRY_AFTER),
                    Reason::Quarantined => refusal.retry_after(HOLD),
                    _ => refusal,
                };
                self.failed(cx, request, &flight, refusal);
            }
        }
    }

    /// Notes that a backend server died under a request, which runs alone from
    /// now on; returns whether it is held.
    fn crashed(&mut self, cx: &mut Cx<'_>, job: &mut Job, attempt: AttemptId) -> bool {
        job.alone = true;
        let everyone = &self.everyone;
        let standing = self
            .quarantine
            .crashed(cx, everyone, job.fingerprint, attempt);
        matches!(standing, Standing::Held { .. })
    }

    /// Tells conditions and the time line how an attempt ended.
    fn note(&mut self, cx: &mut Cx<'_>, running: &Running, outcome: &Outcome, end: &AttemptEnd) {
        let backend = running.held.backend;
        let sign = match end {
            AttemptEnd::Whole { .. } => Some(Sign::Completed { in_time: true }),
            _ => outcome.sign,
        };
        if let Some(sign) = sign {
            self.conditions.sign(cx, &self.fleet, backend, sign);
        }
        let subject = Subject {
            request: Some(running.attempt.request),
            ..Subject::backend(&self.fleet.backend(backend).name)
        };
        let detail = format!("attempt {}: {end:?}", running.attempt.number);
        cx.event(EventKind::AttemptEnded, subject, detail);
    }

    fn resume(
        &mut self,
        cx: &mut Cx<'_>,
        mut flight: Flight,
        running: Running,
        job: Job,
        offset: u32,
    ) {
        let request = job.request;
        let progressed = offset > running.offset;
        flight.number += 1;
        let start = CallStart::Resume { offset };
        flight.phase = Phase::Running(Running {
            attempt: AttemptId {
                request,
                number: flight.number,
            },
            start,
            offset,
            resumes: if progressed { 1 } else { running.resumes + 1 },
            ..running
        });
        flight.job = Some(Job { offset, ..job });
        self.flights.insert(request, flight);
        self.send_call(cx, request);
    }

    fn elsewhere(
        &mut self,
        cx: &mut Cx<'_>,
        mut flight: Flight,
        running: Running,
        mut job: Job,
        outcome: &Outcome,
    ) {
        let request = job.request;
        let service = matches!(*flight.work, Work::Service(_));
        job.offset = outcome.offset;
        if !job.excluded.contains(&running.held.backend) {
            job.excluded.push(running.held.backend);
        }
        self.let_go(cx, request, running, outcome.lingers, service);
        flight.phase = Phase::Waiting;
        self.flights.insert(request, flight);
        self.queue.requeue(job);
    }

    /// Frees an attempt's credit, at once or when nothing of it can still run.
    fn let_go(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        running: Running,
        lingers: bool,
        service: bool,
    ) {
        if !lingers {
            return self.capacity.release(running.held);
        }
        let held = running.held;
        self.lingers.add(cx, &self.fleet, request, held, service);
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
            return;
        };
        let attempt = running.attempt;
        cx.out.push(Output::Drop { attempt });
        let service = matches!(*flight.work, Work::Service(_));
        self.let_go(cx, request, running, true, service);
    }

    /// Ends a flight that failed after its admission.
    fn failed(&mut self, cx: &mut Cx<'_>, request: RequestId, flight: &Flight, refusal: Refusal) {
        let verdict = refusal.verdict.and(flight.ran);
        if let (Some(slot), Verdict::NotRun) = (flight.slot, verdict) {
            self.release_claim(cx, request, slot);
        }
        if !flight.detached {
            self.fail(cx, request, Refusal { verdict, ..refusal });
        }
    }

    fn send_call(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let (Phase::Running(running), Some(job)) = (&flight.phase, &flight.job) else {
            return;
        };
        let backend = self.fleet.backend(running.held.backend);
        let call = Call {
            attempt: running.attempt,
            addr: backend.addr.clone(),
            workspace: flight.workspace.clone(),
            epoch: running.held.epoch,
            priority: job.importance,
            deadline: flight.deadline,
            silence: SILENCE_LIMIT,
            start: running.start,
            work: flight.work.clone(),
        };
        let subject = Subject {
            request: Some(request),
            ..Subject::backend(&backend.name)
        };
        let detail = format!("attempt {}: {:?}", running.attempt.number, running.start);
        cx.count(Count::Attempts);
        cx.event(EventKind::AttemptSent, subject, detail);
        cx.out.push(Output::Send(call));
    }

    fn whole(&mut self, cx: &mut Cx<'_>, request: RequestId) {
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
