//! Migration of running requests to other backend servers.
//!
//! A migrating request waits in the queue while its attempt goes on. The attempt
//! is dropped once a capacity lease on another backend server is acquired. If
//! the queue refuses the request, its attempt goes on as before.

use super::Cx;
use super::Output;
use super::components::Components;
use crate::attempt::MAX_TRIES;
use crate::attempt::NextStep;
use crate::attempt::Phase;
use crate::backend::Work;
use crate::condition::Signal;
use crate::fleet::BackendKey;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::routing::RoutingView;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Verdict;

impl Components {
    /// Starts the migration of prompts above the cold concurrency limit of each
    /// backend server that turned cold.
    pub(super) fn move_excess_off_cold_backends(&mut self, cx: &mut Cx<'_>) {
        let turned_cold = self.conditions.take_turned_cold();
        let view = RoutingView {
            now: cx.now,
            fleet: &self.fleet,
            conditions: &self.conditions,
        };
        let excess: Vec<RequestId> = turned_cold
            .into_iter()
            .flat_map(|backend| self.router.excess_requests(view, backend))
            .collect();
        for request in excess {
            let work = self
                .in_flight
                .get(&request)
                .map(|in_flight| &*in_flight.work);
            if let Some(Work::Prompt(_)) = work {
                self.start_migration(request);
            }
        }
    }

    /// Starts the migration of the attempts that are due for it.
    pub(super) fn migrate_slow_attempts(&mut self, cx: &mut Cx<'_>) {
        let mut due: Vec<(RequestId, BackendKey)> = Vec::new();
        for (&request, in_flight) in &mut self.in_flight {
            let Phase::Running(running) = &mut in_flight.phase else {
                continue;
            };
            if running.migrate_at.take_if(|at| *at <= cx.now).is_some() {
                due.push((request, running.lease.backend));
            }
        }
        due.sort_unstable_by_key(|&(request, _)| request);
        for (request, backend) in due {
            self.conditions
                .observe(cx, &self.fleet, backend, Signal::Silent);
            self.start_migration(request);
        }
    }

    /// Ends the attempt that a migrating request leaves, and sets the offset of
    /// the job from which the next attempt continues. Does nothing for a request
    /// without an attempt.
    pub(super) fn leave_attempt(&mut self, cx: &mut Cx<'_>, job: &mut Job) {
        let request = job.request;
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            return;
        };
        let running = match std::mem::replace(&mut in_flight.phase, Phase::Waiting) {
            Phase::Running(running) => running,
            phase => {
                in_flight.phase = phase;
                return;
            }
        };
        in_flight.verdict = in_flight.verdict.combine(Verdict::MayHaveRun);
        // The core may not have heard of progress since the first token.
        let first_token = u32::from(running.first_token_at.is_some());
        job.offset = job.offset.max(running.offset).max(first_token);
        let is_service = matches!(*in_flight.work, Work::Service(_));
        cx.count(Count::Moves);
        let subject = Subject {
            request: Some(request),
            ..Subject::backend(&self.fleet.backend(running.lease.backend).name)
        };
        let detail = format!("attempt {}: moved", running.attempt.number);
        cx.event(EventKind::AttemptEnded, subject, detail);
        let attempt = running.attempt;
        cx.out.push(Output::Drop { attempt });
        self.release_gang(cx, request);
        self.orphans
            .add(cx, &self.fleet, request, running.lease, is_service);
    }

    /// Ends the migration of a request that the queue refuses; returns whether
    /// the request has an attempt that goes on.
    pub(super) fn keep_attempt(&mut self, job: &Job) -> bool {
        let in_flight = self.in_flight.get_mut(&job.request);
        let Some(Phase::Running(running)) = in_flight.map(|in_flight| &mut in_flight.phase) else {
            return false;
        };
        running.migrating = false;
        self.budgets.refund(&job.model);
        true
    }

    /// Ends the migration of a request whose attempt has ended, unless the
    /// attempt is resumed.
    pub(super) fn end_migration(&mut self, job: &Job, next: NextStep) {
        match next {
            NextStep::Resume => {}
            NextStep::RetryElsewhere => {
                self.queue.remove(job.request);
            }
            NextStep::Complete | NextStep::Fail(_) => {
                self.queue.remove(job.request);
                self.budgets.refund(&job.model);
            }
        }
    }

    /// Queues a running request for another backend server, if it is idempotent
    /// and has retry budget.
    pub(super) fn start_migration(&mut self, request: RequestId) {
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            return;
        };
        let movable = in_flight.idempotent && in_flight.tries < MAX_TRIES;
        let (Phase::Running(running), Some(job)) = (&mut in_flight.phase, &in_flight.job) else {
            return;
        };
        if !movable || running.migrating || !self.budgets.try_withdraw(&job.model) {
            return;
        }
        running.migrating = true;
        let mut job = job.clone();
        job.offset = job.offset.max(running.offset);
        if !job.excluded.contains(&running.lease.backend) {
            job.excluded.push(running.lease.backend);
        }
        self.queue.requeue(job);
    }
}
