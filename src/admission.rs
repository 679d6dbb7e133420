//! Admission and the queue of admitted requests.
//!
//! Two axes: importance decides who is refused when there is too much, the
//! deadline decides who goes first. A request whose predicted finish lies past
//! its deadline is refused at once, on arrival or as soon as it shows in the
//! queue. Workspaces get shares of the tokens by their weights. Each request has
//! a point in time by which it is due to start, half-way to the last moment at
//! which it can still finish; from then on room is kept free for it, so that
//! nothing admitted starves.

mod entry;
mod plan;
mod pool;
mod pools;

pub use entry::LEAST_TOKENS;
pub use entry::OUTPUT_WEIGHT;
pub use pool::FAIR_QUANTUM_TOKENS;

use std::collections::BTreeMap;

use crate::admission::entry::Entry;
use crate::admission::pool::Pool;
use crate::admission::pool::Room;
use crate::admission::pools::Pools;
use crate::capacity::Capacity;
use crate::capacity::CreditUse;
use crate::clock::Millis;
use crate::condition::Conditions;
use crate::control::Cx;
use crate::fleet::Fleet;
use crate::fleet::KindKey;
use crate::fleet::WorkspaceKey;
use crate::gang::Reservation;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::routing::LaneKey;
use crate::routing::Router;
use crate::routing::View;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Tokens of one workspace's requests of one kind that may wait.
pub const WORKSPACE_KIND_TOKENS: u64 = 4_000_000;
/// Tokens of all requests that may wait on an instance.
pub const QUEUE_TOKENS: u64 = 16_000_000;
/// How long an admitted request waits for a backend server to come into
/// service after the last one that may serve it has gone.
pub const STRANDED: Millis = Millis::from_secs(2);
/// When callers may come back who found no backend server in service.
pub const NO_BACKEND_RETRY: Millis = Millis::from_secs(5);
/// When callers may come back whose request no idle engine finishes in time:
/// speeds are learned anew by then.
pub const SPEED_RETRY: Millis = Millis::from_secs(30);
/// Least time after which callers may come back who were refused for load.
pub const LOAD_RETRY: Millis = Millis::from_secs(1);

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
    /// The job's prompt goes to several engines.
    Gang(Reservation),
    /// The job is refused after all. `NotRun` is said of the time in the queue;
    /// whoever knows of earlier attempts joins their verdict.
    Refuse(Job, Refusal),
}

/// The queue of admitted requests of this instance.
#[derive(Debug, Default)]
pub struct Queue {
    generation: u64,
    sequence: u64,
    returned: Vec<Job>,
    stranded: Vec<(Job, Millis)>,
    decided: Vec<Decision>,
    pools: Pools,
    tokens: u64,
    kind_tokens: BTreeMap<(WorkspaceKey, KindKey), u64>,
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
        self.follow(cx.now, fleet, router);
        let entry = self.entry(cx.now, fleet, router, job)?;
        router.observe_demand(cx.now, &entry.job);
        if let Some(refusal) = self.make_room(cx, &entry) {
            return Err(Box::new((entry.job, refusal)));
        }
        self.insert(router, fleet, entry);
        Ok(())
    }

    /// Puts a job back whose attempt ended without an answer.
    pub fn requeue(&mut self, job: Job) {
        self.returned.push(job);
    }

    /// Drops a job whose caller left.
    pub fn remove(&mut self, request: RequestId) -> Option<Job> {
        if let Some(index) = self.returned.iter().position(|job| job.request == request) {
            return Some(self.returned.remove(index));
        }
        let stranded = &mut self.stranded;
        if let Some(index) = stranded.iter().position(|(job, _)| job.request == request) {
            return Some(stranded.remove(index).0);
        }
        let entry = self.pools.remove(request)?;
        self.forget(&entry);
        Some(entry.job)
    }

    /// Returns how many jobs wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.returned.len() + self.stranded.len() + self.pools.len()
    }

    /// Returns whether no job waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the tokens of all waiting jobs.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Looks for room anew with the next dispatch: credits came that the router
    /// does not know of.
    pub fn recheck(&mut self) {
        self.pools.iter_mut().for_each(Pool::recheck);
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
        self.follow(cx.now, fleet, router);
        self.take_back(cx.now, fleet, router);
        self.expire_stranded(cx.now);
        let view = View {
            now: cx.now,
            fleet,
            conditions,
        };
        let mut decisions = std::mem::take(&mut self.decided);
        let mut pools = std::mem::take(&mut self.pools);
        for pool in pools.iter_mut() {
            for (entry, refusal) in pool.expire(cx.now) {
                self.forget(&entry);
                decisions.push(Decision::Refuse(entry.job, refusal));
            }
            for (entry, room) in pool.serve(view, router, capacity) {
                self.forget(&entry);
                let job = entry.job;
                decisions.push(match room {
                    Room::One(held) => Decision::Run(Dispatch { job, held }),
                    Room::Gang(members) => Decision::Gang(Reservation { job, members }),
                });
            }
            for (entry, refusal) in pool.refuse_late(cx.now, router) {
                self.forget(&entry);
                cx.count(Count::Evicted);
                decisions.push(Decision::Refuse(entry.job, refusal));
            }
        }
        self.pools = pools;
        cx.metrics
            .set(Level::Waiting, saturating(self.len() as u64));
        cx.metrics
            .set(Level::WaitingTokens, saturating(self.tokens));
        decisions
    }

    /// Judges a job by itself, as if nothing else were to be done.
    fn entry(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        router: &mut Router,
        job: Job,
    ) -> Result<Entry, Box<(Job, Refusal)>> {
        let lane = router.lane(fleet, &job);
        let able = lane.and_then(|key| Some((key, router.places(key)?)));
        let Some((key, lane)) = able.filter(|(_, lane)| !lane.is_exhausted(&job)) else {
            let text = "no backend server in service may serve this";
            let refusal = Refusal::not_run(Reason::NoBackend, text);
            return Err(Box::new((job, refusal.retry_after(NO_BACKEND_RETRY))));
        };
        let gang = !lane.holds(&job);
        if gang && !router.can_gang(fleet, key, &job) {
            let refusal = too_long(fleet, router, key, &job);
            return Err(Box::new((job, refusal)));
        }
        let limits = lane.warm.first().copied().unwrap_or_default();
        let predicted = router
            .predict_best(now, fleet, key, &job)
            .unwrap_or_default();
        self.sequence += 1;
        let mut entry = Entry::new(job, key, self.sequence, predicted, limits);
        entry.gang = gang;
        if now + entry.span > entry.job.deadline {
            let text = format!(
                "the answer takes {} and is due in {}",
                predicted.whole,
                entry.job.deadline.since(now)
            );
            let refusal = Refusal::not_run(Reason::DeadlineUnreachable, text);
            return Err(Box::new((entry.job, refusal.retry_after(SPEED_RETRY))));
        }
        Ok(entry)
    }

    /// Makes room for an arrival, at the cost of less important jobs, or returns
    /// why there is none.
    fn make_room(&mut self, cx: &Cx<'_>, entry: &Entry) -> Option<Refusal> {
        let key = (entry.job.workspace, entry.job.kind);
        let own = self.kind_tokens.get(&key).copied().unwrap_or_default();
        if own + entry.tokens > WORKSPACE_KIND_TOKENS && own > 0 {
            let text = "too many tokens of this workspace and kind wait";
            return Some(self.full(text));
        }
        while self.tokens + entry.tokens > QUEUE_TOKENS && self.tokens > 0 {
            let Some(request) = self.pools.least_important(entry.job.importance) else {
                return Some(self.full("too many tokens wait on this instance"));
            };
            let Some(victim) = self.pools.remove(request) else {
                break;
            };
            self.forget(&victim);
            cx.count(Count::Evicted);
            let refusal = self.full("more important requests took the room in the queue");
            self.decided.push(Decision::Refuse(victim.job, refusal));
        }
        None
    }

    fn full(&self, text: &str) -> Refusal {
        let wait = self.pools.iter().map(Pool::wait).max().unwrap_or_default();
        Refusal::not_run(Reason::QueueFull, text).retry_after(wait.max(LOAD_RETRY))
    }

    fn insert(&mut self, router: &Router, fleet: &Fleet, entry: Entry) {
        self.tokens += entry.tokens;
        let key = (entry.job.workspace, entry.job.kind);
        *self.kind_tokens.entry(key).or_default() += entry.tokens;
        self.pools.insert(router, fleet, entry);
    }

    fn forget(&mut self, entry: &Entry) {
        self.tokens -= entry.tokens;
        let key = (entry.job.workspace, entry.job.kind);
        let Some(tokens) = self.kind_tokens.get_mut(&key) else {
            return;
        };
        *tokens -= entry.tokens;
        if *tokens == 0 {
            self.kind_tokens.remove(&key);
        }
    }

    /// Sorts all waiting jobs anew after a change of the fleet.
    fn follow(&mut self, now: Millis, fleet: &Fleet, router: &mut Router) {
        if self.generation == fleet.generation() {
            return;
        }
        self.generation = fleet.generation();
        self.tokens = 0;
        self.kind_tokens.clear();
        let mut jobs: Vec<Job> = self
            .pools
            .take()
            .into_iter()
            .map(|entry| entry.job)
            .collect();
        jobs.extend(
            std::mem::take(&mut self.stranded)
                .into_iter()
                .map(|(job, _)| job),
        );
        for job in jobs {
            self.return_job(now, fleet, router, job);
        }
    }

    /// Takes back jobs whose attempt ended.
    fn take_back(&mut self, now: Millis, fleet: &Fleet, router: &mut Router) {
        for job in std::mem::take(&mut self.returned) {
            self.return_job(now, fleet, router, job);
        }
    }

    /// Takes in a job that was admitted before.
    fn return_job(&mut self, now: Millis, fleet: &Fleet, router: &mut Router, job: Job) {
        match self.entry(now, fleet, router, job) {
            Ok(entry) => self.insert(router, fleet, entry),
            Err(refused) => {
                let (job, refusal) = *refused;
                if refusal.reason == Reason::NoBackend && job.excluded.is_empty() {
                    self.stranded.push((job, now + STRANDED));
                } else {
                    self.decided.push(Decision::Refuse(job, refusal));
                }
            }
        }
    }

    fn expire_stranded(&mut self, now: Millis) {
        let stranded = std::mem::take(&mut self.stranded);
        for (job, until) in stranded {
            if until <= now || job.deadline <= now {
                let text = "no backend server in service may serve this any more";
                let refusal = Refusal::not_run(Reason::NoBackend, text);
                let refusal = refusal.retry_after(NO_BACKEND_RETRY);
                self.decided.push(Decision::Refuse(job, refusal));
            } else {
                self.stranded.push((job, until));
            }
        }
    }
}

/// Returns the refusal of a prompt over one engine's memory for which there is no
/// gang, or none without the engines that failed.
fn too_long(fleet: &Fleet, router: &Router, lane: LaneKey, job: &Job) -> Refusal {
    let mut fresh = job.clone();
    fresh.excluded.clear();
    if !job.excluded.is_empty() && router.can_gang(fleet, lane, &fresh) {
        let text = "an engine of the gang failed and no other can take its place";
        return Refusal::not_run(Reason::NoBackend, text).retry_after(NO_BACKEND_RETRY);
    }
    let text = "no permitted engine, nor several together, can hold the prompt and its answer";
    Refusal::not_run(Reason::PromptTooLong, text)
}

fn saturating(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
