//! Attempts of admitted requests: sending calls to backend servers, handling
//! their events, and retrying, resuming or failing when an attempt ends.

use super::Cx;
use super::Output;
use super::components::Components;
use super::request::FAILURE_RETRY_AFTER;
use crate::admission::Decision;
use crate::admission::Dispatch;
use crate::attempt::AttemptOutcome;
use crate::attempt::InFlightRequest;
use crate::attempt::MAX_RESUMES_WITHOUT_PROGRESS;
use crate::attempt::NextStep;
use crate::attempt::Phase;
use crate::attempt::RunningAttempt;
use crate::backend::AttemptEnd;
use crate::backend::AttemptEvent;
use crate::backend::Call;
use crate::backend::CallStart;
use crate::backend::Work;
use crate::clock::Millis;
use crate::condition::Signal;
use crate::declaration::Target;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::metrics::Timing;
use crate::quarantine::QUARANTINE_DURATION;
use crate::quarantine::Restriction;
use crate::quarantine::beginning;
use crate::quarantine::has_continued;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Longest time without progress before a connection to an engine is considered
/// unresponsive. Also the minimum of this limit for calls of plain services.
pub const SILENCE_LIMIT: Millis = Millis(2_000);

impl Components {
    pub(super) fn on_attempt_event(
        &mut self,
        cx: &mut Cx<'_>,
        attempt: AttemptId,
        event: AttemptEvent,
    ) {
        let Some(in_flight) = self.in_flight.get_mut(&attempt.request) else {
            return;
        };
        let Phase::Running(running) = &mut in_flight.phase else {
            return;
        };
        if running.attempt != attempt {
            return;
        }
        match event {
            AttemptEvent::Accepted => {}
            AttemptEvent::FirstToken => {
                if let (None, Some(job)) = (running.first_token_at, &in_flight.job) {
                    observe_first_token(cx, job);
                }
                running.first_token_at.get_or_insert(cx.now);
                self.capacity.release_prefill(&mut running.lease);
                let request = attempt.request;
                let late = self.router.record_first_token(cx.now, &self.fleet, request);
                if let Some((backend, signal)) = late {
                    self.conditions.observe(cx, &self.fleet, backend, signal);
                }
            }
            AttemptEvent::Progress { offset } => {
                let had_continued = has_continued(running.offset);
                running.offset = running.offset.max(offset);
                if has_continued(offset) && !had_continued {
                    let prefix = in_flight.job.as_ref().map_or(0, |job| job.prefix);
                    self.record_sound_beginning(cx, prefix);
                }
            }
            AttemptEvent::Answer { status, body } => {
                in_flight.service_answer = Some((status, body))
            }
            AttemptEvent::Ended(end) => self.attempt_ended(cx, attempt, &end),
        }
    }

    /// Carries out the queue's dispatch decisions.
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
                Decision::Send(mut dispatch) => {
                    self.leave_attempt(cx, &mut dispatch.job);
                    self.start_attempt(cx, dispatch);
                }
                Decision::Gang(mut reservation) => {
                    let request = reservation.job.request;
                    self.router.record_end(cx.now, &self.fleet, request, None);
                    self.leave_attempt(cx, &mut reservation.job);
                    self.start_gang(cx, reservation);
                }
                Decision::Refuse(job, refusal) => {
                    if self.keep_attempt(&job) {
                        continue;
                    }
                    if let Some(in_flight) = self.in_flight.remove(&job.request) {
                        let refusal = self.queue_refusal(&in_flight, refusal);
                        self.fail_admitted(cx, job.request, &in_flight, refusal);
                    }
                }
            }
        }
    }

    pub(super) fn start_attempt(&mut self, cx: &mut Cx<'_>, dispatch: Dispatch) {
        let Dispatch { job, lease } = dispatch;
        let Some(in_flight) = self.in_flight.get_mut(&job.request) else {
            return self.capacity.release(lease);
        };
        in_flight.last_attempt_number += 1;
        in_flight.tries += 1;
        if in_flight.tries > 1 {
            cx.count(Count::Retries);
        }
        let start = match job.offset {
            0 => CallStart::Fresh,
            offset => CallStart::Continue { offset },
        };
        let running = RunningAttempt {
            attempt: AttemptId {
                request: job.request,
                number: in_flight.last_attempt_number,
            },
            lease,
            sent_at: cx.now,
            first_token_at: None,
            start,
            offset: job.offset,
            resumes: 0,
            migrating: false,
            migrate_at: migration_time(cx.now, in_flight),
        };
        let request = job.request;
        in_flight.job = Some(job);
        in_flight.phase = Phase::Running(running);
        self.send_call(cx, request);
    }

    fn attempt_ended(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, end: &AttemptEnd) {
        let request = attempt.request;
        let Some(mut in_flight) = self.in_flight.remove(&request) else {
            return;
        };
        let phase = std::mem::replace(&mut in_flight.phase, Phase::Waiting);
        let (Phase::Running(running), Some(mut job)) = (phase, in_flight.job.take()) else {
            return;
        };
        let outcome = AttemptOutcome::from_end(&running, end);
        self.record_attempt_end(cx, &running, &outcome, end);
        let mut next = in_flight.next_step(&running, end, &outcome, &mut self.budgets, &job.model);
        if outcome.crashed && self.record_crash(cx, &mut job, attempt, outcome.offset) {
            next = NextStep::Fail(Reason::Quarantined);
        }
        if running.migrating {
            self.end_migration(&job, next);
        }
        in_flight.verdict = in_flight.verdict.combine(outcome.verdict);
        match next {
            NextStep::Complete => {
                self.capacity.release(running.lease);
                self.release_gang(cx, request);
                self.record_claim_result(cx, request, &in_flight);
                let fingerprint = job.fingerprint;
                self.quarantine
                    .record_completion(cx, &self.other_serving_instances, fingerprint);
                self.record_sound_beginning(cx, job.prefix);
                if !in_flight.caller_detached {
                    let kind = &self.fleet.kind(job.kind).name;
                    cx.metrics
                        .observe(Timing::Whole, kind, cx.now.since(job.submitted_at));
                    self.reply_complete(cx, request);
                }
            }
            NextStep::Resume => self.resume(cx, in_flight, running, job, outcome.offset),
            NextStep::RetryElsewhere => {
                self.retry_on_other_backend(cx, in_flight, running, job, &outcome)
            }
            NextStep::Fail(reason) => {
                let service = matches!(*in_flight.work, Work::Service(_));
                self.release_attempt(cx, request, running, outcome.may_still_run, service);
                let text = format!("the backend server failed: {end:?}");
                let refusal = Refusal::not_run(reason, text);
                let refusal = match reason {
                    Reason::BackendFailed => refusal.retry_after(FAILURE_RETRY_AFTER),
                    Reason::Quarantined => refusal.retry_after(QUARANTINE_DURATION),
                    _ => refusal,
                };
                self.fail_admitted(cx, request, &in_flight, refusal);
            }
        }
    }

    /// Records a crash of a backend server that ran a request, and marks the
    /// request to run on an engine of its own; returns whether it is
    /// quarantined.
    fn record_crash(
        &mut self,
        cx: &mut Cx<'_>,
        job: &mut Job,
        attempt: AttemptId,
        tokens: u32,
    ) -> bool {
        job.exclusive = true;
        let instances = &self.other_serving_instances;
        let of_request = self
            .quarantine
            .record_crash(cx, instances, job.fingerprint, attempt);
        let of_beginning =
            self.quarantine
                .record_beginning_crash(cx, instances, job.prefix, job.request, tokens);
        [of_request, of_beginning]
            .iter()
            .any(|restriction| matches!(restriction, Restriction::Quarantined { .. }))
    }

    /// Records that an answer went on, which clears the beginning of its prompt.
    fn record_sound_beginning(&mut self, cx: &mut Cx<'_>, prefix: u64) {
        if let Some(beginning) = beginning(prefix) {
            self.quarantine
                .record_completion(cx, &self.other_serving_instances, beginning);
        }
    }

    /// Reports the end of an attempt to the router, the conditions and the
    /// timeline.
    fn record_attempt_end(
        &mut self,
        cx: &mut Cx<'_>,
        running: &RunningAttempt,
        outcome: &AttemptOutcome,
        end: &AttemptEnd,
    ) {
        let backend = running.lease.backend;
        let request = running.attempt.request;
        let signal = match end {
            AttemptEnd::Whole { tokens } => {
                let tokens = Some(*tokens);
                let in_time = self.router.record_end(cx.now, &self.fleet, request, tokens);
                Some(Signal::Completed { in_time })
            }
            _ => outcome.signal,
        };
        if let Some(signal) = signal {
            self.conditions.observe(cx, &self.fleet, backend, signal);
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
        mut in_flight: InFlightRequest,
        running: RunningAttempt,
        job: Job,
        offset: u32,
    ) {
        let request = job.request;
        let progressed = offset > running.offset;
        let resumes = if progressed { 1 } else { running.resumes + 1 };
        in_flight.last_attempt_number += 1;
        let start = CallStart::Resume { offset };
        in_flight.phase = Phase::Running(RunningAttempt {
            attempt: AttemptId {
                request,
                number: in_flight.last_attempt_number,
            },
            start,
            offset,
            resumes,
            ..running
        });
        in_flight.job = Some(Job { offset, ..job });
        self.in_flight.insert(request, in_flight);
        self.send_call(cx, request);
        if resumes > MAX_RESUMES_WITHOUT_PROGRESS {
            self.start_migration(request);
        }
    }

    fn retry_on_other_backend(
        &mut self,
        cx: &mut Cx<'_>,
        mut in_flight: InFlightRequest,
        running: RunningAttempt,
        mut job: Job,
        outcome: &AttemptOutcome,
    ) {
        let request = job.request;
        let service = matches!(*in_flight.work, Work::Service(_));
        job.offset = outcome.offset;
        if !job.excluded.contains(&running.lease.backend) {
            job.excluded.push(running.lease.backend);
        }
        self.release_attempt(cx, request, running, outcome.may_still_run, service);
        in_flight.phase = Phase::Waiting;
        self.in_flight.insert(request, in_flight);
        self.queue.requeue(job);
    }

    /// Releases the capacity that an attempt holds: immediately, or, if it
    /// `may_still_run`, once the backend server can no longer be running it.
    /// Also ends the request's gang.
    pub(super) fn release_attempt(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        running: RunningAttempt,
        may_still_run: bool,
        is_service: bool,
    ) {
        self.router.record_end(cx.now, &self.fleet, request, None);
        self.release_gang(cx, request);
        if !may_still_run {
            return self.capacity.release(running.lease);
        }
        self.orphans
            .add(cx, &self.fleet, request, running.lease, is_service);
    }

    fn send_call(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(in_flight) = self.in_flight.get(&request) else {
            return;
        };
        let (Phase::Running(running), Some(job)) = (&in_flight.phase, &in_flight.job) else {
            return;
        };
        let backend = self.fleet.backend(running.lease.backend);
        let call = Call {
            attempt: running.attempt,
            addr: backend.addr.clone(),
            workspace: in_flight.workspace.clone(),
            epoch: running.lease.epoch,
            priority: job.importance,
            deadline: in_flight.deadline,
            silence: silence_limit(cx.now, in_flight),
            start: running.start,
            work: in_flight.work.clone(),
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
}

/// Returns the time without progress after which a connection is abandoned.
///
/// A plain service sends nothing before its answer, so only the deadline
/// distinguishes a slow service from a half-open connection.
fn silence_limit(now: Millis, in_flight: &InFlightRequest) -> Millis {
    match &*in_flight.work {
        Work::Prompt(_) => SILENCE_LIMIT,
        Work::Service(_) => in_flight.deadline.since(now).max(SILENCE_LIMIT),
    }
}

/// Returns when an attempt that starts now migrates if it has not ended:
/// idempotent service calls at half of their remaining time.
fn migration_time(now: Millis, in_flight: &InFlightRequest) -> Option<Millis> {
    match (&*in_flight.work, in_flight.idempotent) {
        (Work::Service(_), true) => {
            let left = in_flight.deadline.since(now);
            Some(now + Millis(left.0 / 2).max(SILENCE_LIMIT))
        }
        (Work::Service(_), false) | (Work::Prompt(_), _) => None,
    }
}

/// Records the time to first token, for prompts that do not continue an earlier
/// attempt's output.
fn observe_first_token(cx: &Cx<'_>, job: &Job) {
    if job.target != Target::Engine || job.offset > 0 {
        return;
    }
    let length = job.length_class().as_str();
    let elapsed = cx.now.since(job.submitted_at);
    cx.metrics.observe(Timing::FirstToken, length, elapsed);
}
