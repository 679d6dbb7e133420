//! Gangs in the life of a request: prompts that several engines process before
//! one of them generates the answer.

use super::Cx;
use super::duties::Duties;
use super::request::FAILURE_RETRY_AFTER;
use crate::admission::Dispatch;
use crate::attempt::MAX_TRIES;
use crate::backend::BackendAnswer;
use crate::capacity::CreditUse;
use crate::condition::Sign;
use crate::fleet::BackendKey;
use crate::gang::Event;
use crate::gang::Reservation;
use crate::id::RequestId;
use crate::job::Job;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

impl Duties {
    /// Lets the reserved engines begin with a prompt.
    pub(super) fn begin_gang(&mut self, cx: &mut Cx<'_>, reservation: Reservation) {
        let request = reservation.job.request;
        let Some(flight) = self.flights.get_mut(&request) else {
            for member in reservation.members {
                self.router.leave_gang(&member.held);
                self.capacity.release(member.held);
            }
            return;
        };
        flight.ran = flight.ran.and(Verdict::MayHaveRun);
        let work = flight.work.clone();
        self.gangs.begin(cx, &self.fleet, reservation, work);
    }

    /// Takes an engine's answer to a gang's order.
    pub(super) fn gang_answer(
        &mut self,
        cx: &mut Cx<'_>,
        backend: BackendKey,
        answer: &BackendAnswer,
    ) {
        let (router, capacity) = (&mut self.router, &mut self.capacity);
        let event = self
            .gangs
            .answered(cx, &self.fleet, router, capacity, backend, answer);
        if let Some(event) = event {
            self.gang_event(cx, event);
        }
    }

    /// Gives up the gangs of a backend server that died.
    pub(super) fn gang_died(&mut self, cx: &mut Cx<'_>, backend: BackendKey) {
        for event in self.gangs.died(cx, backend) {
            self.gang_event(cx, event);
        }
    }

    /// Gives up gangs that make no progress.
    pub(super) fn gang_tick(&mut self, cx: &mut Cx<'_>) {
        for event in self.gangs.tick(cx) {
            self.gang_event(cx, event);
        }
    }

    /// Frees what a request's gang reserved beside its attempt.
    pub(super) fn end_gang(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let held = self.gangs.end(cx, request);
        self.free_gang(cx, request, held, None);
    }

    fn gang_event(&mut self, cx: &mut Cx<'_>, event: Event) {
        match event {
            Event::Ready { job, held } => {
                self.router.lead_gang(cx.now, &self.fleet, &job, &held);
                self.run(cx, Dispatch { job, held });
            }
            Event::Broken {
                job,
                failed,
                refused,
                held,
            } => {
                let gone = refused.then_some(failed);
                self.free_gang(cx, job.request, held, gone);
                let sign = if refused { Sign::Refused } else { Sign::Broken };
                self.conditions.sign(cx, &self.fleet, failed, sign);
                self.regroup(cx, job, failed);
            }
        }
    }

    /// Puts a job back whose gang was given up, or ends it.
    fn regroup(&mut self, cx: &mut Cx<'_>, mut job: Job, failed: BackendKey) {
        let request = job.request;
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.tries += 1;
        if flight.tries < MAX_TRIES && self.budgets.spend(&job.model) {
            job.excluded.push(failed);
            return self.queue.requeue(job);
        }
        if let Some(flight) = self.flights.remove(&request) {
            let text = "an engine of the gang failed";
            let refusal = Refusal::may_have_run(Reason::BackendFailed, text);
            let refusal = refusal.retry_after(FAILURE_RETRY_AFTER);
            self.failed(cx, request, &flight, refusal);
        }
    }

    /// Frees members' credits: at once where nothing runs any more, elsewhere as
    /// soon as the engine confirms it.
    fn free_gang(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        held: Vec<CreditUse>,
        gone: Option<BackendKey>,
    ) {
        for held in held {
            self.router.leave_gang(&held);
            if gone == Some(held.backend) {
                self.capacity.release(held);
            } else {
                self.lingers.add(cx, &self.fleet, request, held, false);
            }
        }
    }
}
