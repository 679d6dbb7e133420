//! Attempts of admitted requests: sending calls to backend servers, handling
//! their events, and retrying, resuming or failing when an attempt ends.

use super::Cx;
use super::Output;
use super::components::Components;
use super::request::FAILURE_RETRY_AFTER;
use crate::admission::Decision;
use crate::admission::Dispatch;
use crate::attempt::Flight;
use crate::attempt::MAX_TRIES;
use crate::attempt::Next;
use crate::attempt::Outcome;
use crate::attempt::Phase;
use crate::attempt::Running;
use crate::backend::AttemptEnd;
use crate::backend::AttemptEvent;
use crate::backend::Call;
use crate::backend::CallStart;
use crate::backend::Work;
use crate::clock::Millis;
use crate::condition::Sign;
use crate::declaration::Target;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::metrics::Timing;
use crate::quarantine::QUARANTINE_DURATION;
use crate::quarantine::Restriction;
use crate::routing::View;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Longest time without progress before a connection to an engine is considered
/// unresponsive.
pub const SILENCE_LIMIT: Millis = Millis(2_000);

impl Components {
    pub(super) fn on_attempt_event(
        &mut self,
        cx: &mut Cx<'_>,
        attempt: AttemptId,
        event: AttemptEvent,
    ) {
        let Some(flight) = self.in_flight.get_mut(&attempt.request) else {
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
                if let (None, Some(job)) = (running.first_token, &flight.job) {
                    observe_first_token(cx, job);
                }
                running.first_token.get_or_insert(cx.now);
                self.capacity.release_prefill(&mut running.held);
                let request = attempt.request;
                let late = self.router.first_token(cx.now, &self.fleet, request);
                if let Some((backend, sign)) = late {
                    self.conditions.sign(cx, &self.fleet, backend, sign);
                }
            }
            AttemptEvent::Progress { offset } => running.offset = running.offset.max(offset),
            AttemptEvent::Answer { status, body } => flight.answer = Some((status, body)),
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
                Decision::Run(dispatch) => self.start_attempt(cx, dispatch),
                Decision::Gang(reservation) => self.start_gang(cx, reservation),
                Decision::Refuse(job, refusal) => {
                    if let Some(flight) = self.in_flight.remove(&job.request) {
                        self.fail_admitted(cx, job.request, &flight, refusal);
                    }
                }
            }
        }
    }

    pub(super) fn start_attempt(&mut self, cx: &mut Cx<'_>, dispatch: Dispatch) {
        let Dispatch { job, held } = dispatch;
        let Some(flight) = self.in_flight.get_mut(&job.request) else {
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
            moves: false,
        };
        let request = job.request;
        flight.job = Some(job);
        flight.phase = Phase::Running(running);
        self.send_call(cx, request);
    }

    /// Moves requests away from backend servers that turned cold while their load
    /// exceeds the cold concurrency limit. The end of a dropped attempt reports
    /// the offset from which the request continues on another server.
    pub(super) fn move_surplus_off_cold_backends(&mut self, cx: &mut Cx<'_>) {
        let turned_cold = self.conditions.take_turned_cold();
        let view = View {
            now: cx.now,
            fleet: &self.fleet,
            conditions: &self.conditions,
        };
        let moving: Vec<RequestId> = turned_cold
            .into_iter()
            .flat_map(|backend| self.router.surplus(view, backend))
            .collect();
        for request in moving {
            let Some(flight) = self.in_flight.get_mut(&request) else {
                continue;
            };
            let (Phase::Running(running), Some(job)) = (&mut flight.phase, &flight.job) else {
                continue;
            };
            let is_prompt = matches!(*flight.work, Work::Prompt(_));
            let movable = is_prompt && flight.idempotent && flight.tries < MAX_TRIES;
            if !movable || running.moves || !self.budgets.spend(&job.model) {
                continue;
            }
            running.moves = true;
            cx.count(Count::Moves);
            let attempt = running.attempt;
            cx.out.push(Output::Drop { attempt });
        }
    }

    fn attempt_ended(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, end: &AttemptEnd) {
        let request = attempt.request;
        let Some(mut flight) = self.in_flight.remove(&request) else {
            return;
        };
        let phase = std::mem::replace(&mut flight.phase, Phase::Waiting);
        let (Phase::Running(running), Some(mut job)) = (phase, flight.job.take()) else {
            return;
        };
        let outcome = Outcome::of(&running, end);
        self.record_attempt_end(cx, &running, &outcome, end);
        let moved = running.moves && matches!(end, AttemptEnd::Cancelled { .. });
        let mut next = match moved {
            true => Next::Elsewhere,
            false => flight.next(&running, end, &outcome, &mut self.budgets, &job.model),
        };
        if outcome.crashed && self.record_crash(cx, &mut job, attempt) {
            next = Next::Fail(Reason::Quarantined);
        }
        flight.ran = flight.ran.and(outcome.verdict);
        match next {
            Next::Whole => {
                self.capacity.release(running.held);
                self.release_gang(cx, request);
                self.settle_claim(cx, request, &flight);
                let fingerprint = job.fingerprint;
                self.quarantine
                    .record_completion(cx, &self.live_instances, fingerprint);
                if !flight.detached {
                    let kind = &self.fleet.kind(job.kind).name;
                    cx.metrics
                        .observe(Timing::Whole, kind, cx.now.since(job.admitted));
                    self.reply_whole(cx, request);
                }
            }
            Next::Resume => self.resume(cx, flight, running, job, outcome.offset),
            Next::Elsewhere => self.retry_on_other_backend(cx, flight, running, job, &outcome),
            Next::Fail(reason) => {
                let service = matches!(*flight.work, Work::Service(_));
                self.release_attempt(cx, request, running, outcome.lingers, service);
                let text = format!("the backend server failed: {end:?}");
                let refusal = Refusal::not_run(reason, text);
                let refusal = match reason {
                    Reason::BackendFailed => refusal.retry_after(FAILURE_RETRY_AFTER),
                    Reason::Quarantined => refusal.retry_after(QUARANTINE_DURATION),
                    _ => refusal,
                };
                self.fail_admitted(cx, request, &flight, refusal);
            }
        }
    }

    /// Records that a backend server crashed while it ran a request, which from
    /// now on is not run next to other requests; returns whether the request is
    /// quarantined.
    fn record_crash(&mut self, cx: &mut Cx<'_>, job: &mut Job, attempt: AttemptId) -> bool {
        job.alone = true;
        let instances = &self.live_instances;
        let restriction = self
            .quarantine
            .record_crash(cx, instances, job.fingerprint, attempt);
        matches!(restriction, Restriction::Quarantined { .. })
    }

    /// Reports the end of an attempt to the router, the conditions and the
    /// timeline.
    fn record_attempt_end(
        &mut self,
        cx: &mut Cx<'_>,
        running: &Running,
        outcome: &Outcome,
        end: &AttemptEnd,
    ) {
        let backend = running.held.backend;
        let request = running.attempt.request;
        let sign = match end {
            AttemptEnd::Whole { tokens } => {
                let tokens = Some(*tokens);
                let in_time = self.router.ended(cx.now, &self.fleet, request, tokens);
                Some(Sign::Completed { in_time })
            }
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
        self.in_flight.insert(request, flight);
        self.send_call(cx, request);
    }

    fn retry_on_other_backend(
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
        self.release_attempt(cx, request, running, outcome.lingers, service);
        flight.phase = Phase::Waiting;
        self.in_flight.insert(request, flight);
        self.queue.requeue(job);
    }

    /// Releases the capacity that an attempt holds: immediately, or, if `lingers`,
    /// once the backend server can no longer be running it.
    pub(super) fn release_attempt(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        running: Running,
        lingers: bool,
        service: bool,
    ) {
        self.router.ended(cx.now, &self.fleet, request, None);
        self.release_gang(cx, request);
        if !lingers {
            return self.capacity.release(running.held);
        }
        let held = running.held;
        self.lingers.add(cx, &self.fleet, request, held, service);
    }

    fn send_call(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let Some(flight) = self.in_flight.get(&request) else {
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
            silence: silence_limit(cx.now, flight),
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
}

/// Returns the longest time without progress for a call.
///
/// A plain service sends nothing before its answer, so only the deadline
/// distinguishes a slow service from a half-open connection. An idempotent call
/// keeps half of its remaining time for another attempt.
fn silence_limit(now: Millis, flight: &Flight) -> Millis {
    let left = flight.deadline.since(now);
    match (&*flight.work, flight.idempotent) {
        (Work::Prompt(_), _) => SILENCE_LIMIT,
        (Work::Service(_), true) => Millis(left.0 / 2).max(SILENCE_LIMIT),
        (Work::Service(_), false) => left.max(SILENCE_LIMIT),
    }
}

/// Records the time to first token, for engine requests that start from the
/// first token.
fn observe_first_token(cx: &Cx<'_>, job: &Job) {
    if job.target != Target::Engine || job.offset > 0 {
        return;
    }
    let length = job.length().as_str();
    let elapsed = cx.now.since(job.admitted);
    cx.metrics.observe(Timing::FirstToken, length, elapsed);
}
