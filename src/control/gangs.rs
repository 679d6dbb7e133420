//! Gang-scheduled requests: several engines share the prefill of one prompt before
//! one of them decodes the answer.

use super::Cx;
use super::components::Components;
use super::request::FAILURE_RETRY_AFTER;
use crate::admission::Dispatch;
use crate::attempt::MAX_TRIES;
use crate::backend::BackendAnswer;
use crate::capacity::LeaseUse;
use crate::condition::Signal;
use crate::fleet::BackendKey;
use crate::gang::GangEvent;
use crate::gang::GangReservation;
use crate::id::RequestId;
use crate::job::Job;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

impl Components {
    /// Starts the prefill of a prompt on the reserved engines.
    pub(super) fn start_gang(&mut self, cx: &mut Cx<'_>, reservation: GangReservation) {
        let request = reservation.job.request;
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            for member in reservation.members {
                self.router.remove_gang_member(&member.lease);
                self.capacity.release(member.lease);
            }
            return;
        };
        in_flight.verdict = in_flight.verdict.combine(Verdict::MayHaveRun);
        let work = in_flight.work.clone();
        self.gangs.start(cx, &self.fleet, reservation, work);
    }

    /// Handles an engine's answer to a gang's order.
    pub(super) fn on_gang_answer(
        &mut self,
        cx: &mut Cx<'_>,
        backend: BackendKey,
        answer: &BackendAnswer,
    ) {
        let (router, capacity) = (&mut self.router, &mut self.capacity);
        let event = self
            .gangs
            .on_answer(cx, &self.fleet, router, capacity, backend, answer);
        if let Some(event) = event {
            self.on_gang_event(cx, event);
        }
    }

    /// Breaks up the gangs of a backend server that crashed or restarted.
    pub(super) fn fail_gangs_of(&mut self, cx: &mut Cx<'_>, backend: BackendKey) {
        for event in self.gangs.on_backend_died(cx, backend) {
            self.on_gang_event(cx, event);
        }
    }

    /// Breaks up gangs that make no progress.
    pub(super) fn expire_gangs(&mut self, cx: &mut Cx<'_>) {
        for event in self.gangs.tick(cx) {
            self.on_gang_event(cx, event);
        }
    }

    /// Ends the gang of a request, if any, and releases the leases of its
    /// members, except the one passed to the attempt.
    pub(super) fn release_gang(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let leases = self.gangs.remove(cx, request);
        self.release_gang_members(cx, request, leases, None);
    }

    fn on_gang_event(&mut self, cx: &mut Cx<'_>, event: GangEvent) {
        match event {
            GangEvent::Ready { job, lease } => {
                self.router
                    .start_gang_decode(cx.now, &self.fleet, &job, &lease);
                self.start_attempt(cx, Dispatch { job, lease });
            }
            GangEvent::Broken {
                job,
                failed,
                nothing_runs,
                leases,
            } => {
                let crashed = nothing_runs.then_some(failed);
                self.release_gang_members(cx, job.request, leases, crashed);
                let signal = if nothing_runs {
                    Signal::Refused
                } else {
                    Signal::Broken
                };
                self.conditions.observe(cx, &self.fleet, failed, signal);
                self.retry_without_gang_member(cx, job, failed);
            }
        }
    }

    /// Requeues the job of a broken gang, or fails it if no retry is left.
    fn retry_without_gang_member(&mut self, cx: &mut Cx<'_>, mut job: Job, failed: BackendKey) {
        let request = job.request;
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            return;
        };
        in_flight.tries += 1;
        if in_flight.tries < MAX_TRIES && self.budgets.try_withdraw(&job.model) {
            job.excluded.push(failed);
            return self.queue.requeue(job);
        }
        if let Some(in_flight) = self.in_flight.remove(&request) {
            let text = "an engine that shared the prefill of the prompt failed";
            let refusal = Refusal::may_have_run(Reason::BackendFailed, text);
            let refusal = refusal.retry_after(FAILURE_RETRY_AFTER);
            self.fail_admitted(cx, request, &in_flight, refusal);
        }
    }

    /// Releases the capacity that gang members hold (`credit` in messages and
    /// metrics): immediately on the server `crashed`, where nothing runs any
    /// more; on others as soon as the engine confirms the cancellation.
    fn release_gang_members(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        leases: Vec<LeaseUse>,
        crashed: Option<BackendKey>,
    ) {
        for lease in leases {
            self.router.remove_gang_member(&lease);
            if crashed == Some(lease.backend) {
                self.capacity.release(lease);
            } else {
                self.orphans.add(cx, &self.fleet, request, lease, false);
            }
        }
    }
}
