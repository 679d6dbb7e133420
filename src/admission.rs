//! Admission and the queue of admitted requests.

use std::collections::VecDeque;

use crate::capacity::Capacity;
use crate::capacity::CreditUse;
use crate::clock::Millis;
use crate::condition::Conditions;
use crate::control::Cx;
use crate::fleet::Fleet;
use crate::id::RequestId;
use crate::job::Job;
use crate::routing::Router;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// A job that leaves the queue for a backend server.
#[derive(Debug)]
pub struct Dispatch {
    /// The job.
    pub job: Job,
    /// The credit it uses, which names the backend server.
    pub held: CreditUse,
}

/// What the queue decided.
#[derive(Debug)]
pub enum Decision {
    /// The job goes to a backend server.
    Run(Dispatch),
    /// The job is refused after all.
    Refuse(Job, Refusal),
}

/// The queue of admitted requests of this instance.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: VecDeque<Job>,
}

impl Queue {
    /// Admits a job to the queue.
    ///
    /// # Errors
    ///
    /// Returns the job with its refusal if it cannot be served in time.
    pub fn admit(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        router: &mut Router,
        job: Job,
    ) -> Result<(), Box<(Job, Refusal)>> {
        let _ = cx;
        if router.candidates(fleet, &job).is_empty() {
            let refusal = Refusal::not_run(Reason::NoBackend, "no backend server may serve this")
                .retry_after(Millis::from_secs(1));
            return Err(Box::new((job, refusal)));
        }
        self.waiting.push_back(job);
        Ok(())
    }

    /// Puts a job back whose attempt ended without an answer.
    pub fn requeue(&mut self, job: Job) {
        self.waiting.push_front(job);
    }

    /// Drops a job whose caller left.
    pub fn remove(&mut self, request: RequestId) -> Option<Job> {
        let index = self.waiting.iter().position(|job| job.request == request)?;
        self.waiting.remove(index)
    }

    /// Returns how many jobs wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no job waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Decides which jobs leave the queue now.
    pub fn dispatch(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        router: &mut Router,
        capacity: &mut Capacity,
        conditions: &Conditions,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut kept = VecDeque::new();
        while let Some(job) = self.waiting.pop_front() {
            if job.deadline <= cx.now {
                let text = "the deadline passed in the queue";
                let refusal = Refusal::not_run(Reason::DeadlineExceeded, text);
                decisions.push(Decision::Refuse(job, refusal));
                continue;
            }
            let cost = job.cost(0);
            let held = router
                .candidates(fleet, &job)
                .into_iter()
                .find_map(|backend| capacity.take(cx.now, fleet, conditions, backend, cost));
            match held {
                Some(held) => decisions.push(Decision::Run(Dispatch { job, held })),
                None => kept.push_back(job),
            }
        }
        self.waiting = kept;
        decisions
    }
}
