//! Admission and the queue of admitted requests.
//!
//! Under overload, requests of lower importance are refused first; among
//! admitted requests, earlier due starts are served first. A request whose
//! predicted finish lies past its deadline is refused immediately, on arrival
//! or as soon as the prediction shows it while the request is queued.
//! Workspaces are served in proportion to their weights, measured in charged
//! tokens. Each request has a due start, half-way between admission and its
//! latest feasible start. From its due start on, capacity is reserved for it, so
//! that no admitted request starves.

mod entry;
mod late;
mod pool;
mod pools;

pub use entry::MIN_CHARGED_TOKENS;
pub use entry::OUTPUT_TOKEN_WEIGHT;
pub use pool::FAIR_QUANTUM_TOKENS;

use std::collections::BTreeMap;

use crate::admission::entry::Entry;
use crate::admission::pool::Placement;
use crate::admission::pool::Pool;
use crate::admission::pools::Pools;
use crate::capacity::Capacity;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::condition::Conditions;
use crate::control::Cx;
use crate::fleet::Fleet;
use crate::fleet::KindKey;
use crate::fleet::WorkspaceKey;
use crate::gang::GangReservation;
use crate::id::RequestId;
use crate::job::Job;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::routing::LaneKey;
use crate::routing::Router;
use crate::routing::RoutingView;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Maximum charged tokens (prompt plus weighted output, see `Entry::tokens`)
/// of the waiting requests of one workspace and request kind.
pub const MAX_WORKSPACE_KIND_TOKENS: u64 = 4_000_000;
/// Maximum charged tokens of all waiting requests on an instance.
pub const MAX_QUEUE_TOKENS: u64 = 16_000_000;
/// How long an admitted request without any usable backend server waits for one
/// to come into service.
pub const NO_BACKEND_GRACE: Millis = Millis::from_secs(2);
/// Retry-after for requests refused because no backend server is in service.
pub const NO_BACKEND_RETRY_AFTER: Millis = Millis::from_secs(5);
/// Retry-after for requests that not even an idle engine finishes in time. By
/// then, new samples, or the decay of slow learned speeds towards their initial
/// values, may have raised the predicted speeds.
pub const UNREACHABLE_RETRY_AFTER: Millis = Millis::from_secs(30);
/// Minimum retry-after for requests refused because of load.
pub const MIN_LOAD_RETRY_AFTER: Millis = Millis::from_secs(1);

/// A job that is sent to a backend server.
#[derive(Debug)]
pub struct Dispatch {
    /// The job.
    pub job: Job,
    /// The part of a capacity lease that the job uses; it names the backend
    /// server.
    pub lease: LeaseUse,
}

/// A decision of the queue about one job.
#[derive(Debug)]
pub enum Decision {
    /// Sends the job to one backend server.
    Send(Dispatch),
    /// Splits the job's prompt over several engines.
    Gang(GangReservation),
    /// Refuses a job that was admitted before. The verdict `NotRun` covers only
    /// the time in the queue; the receiver combines it with the verdict of
    /// earlier attempts.
    Refuse(Job, Refusal),
}

/// The queue of admitted requests of this instance.
#[derive(Debug, Default)]
pub struct Queue {
    /// Generation of the fleet for which the entries were built.
    fleet_generation: u64,
    /// Sequence number of the last entry built.
    last_sequence: u64,
    requeued: Vec<Job>,
    /// Jobs without any usable backend server, each with the time until which
    /// it waits.
    without_backend: Vec<(Job, Millis)>,
    /// Refusals to return from the next dispatch.
    pending_decisions: Vec<Decision>,
    pools: Pools,
    /// The latest deadline that a job may have; none before a stop.
    latest_deadline: Option<Millis>,
    tokens: u64,
    tokens_by_workspace_and_kind: BTreeMap<(WorkspaceKey, KindKey), u64>,
}

impl Queue {
    /// Admits a job to the queue.
    ///
    /// # Errors
    ///
    /// Returns the job with its refusal if no backend server may serve it, its
    /// prompt is too long, it cannot finish in time or the queue is full.
    pub fn admit(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        router: &mut Router,
        job: Job,
    ) -> Result<(), Box<(Job, Refusal)>> {
        self.resync(cx.now, fleet, router);
        let entry = self.build_entry(cx.now, fleet, router, job)?;
        router.record_arrival(cx.now, &entry.job);
        if let Some(refusal) = self.make_room(cx, &entry) {
            return Err(Box::new((entry.job, refusal)));
        }
        self.insert(router, fleet, entry);
        Ok(())
    }

    /// Shortens the deadlines of all jobs, waiting and future ones, to `latest`.
    /// The next dispatch refuses those that cannot finish by then.
    pub fn shorten_deadlines(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        router: &mut Router,
        latest: Millis,
    ) {
        self.latest_deadline = Some(latest);
        self.rebuild(now, fleet, router);
    }

    /// Returns a job to the queue after an attempt that ended without a
    /// complete answer, or after its gang failed.
    pub fn requeue(&mut self, job: Job) {
        self.requeued.push(job);
    }

    /// Removes the job of a caller that disconnected.
    pub fn remove(&mut self, request: RequestId) -> Option<Job> {
        if let Some(index) = self.requeued.iter().position(|job| job.request == request) {
            return Some(self.requeued.remove(index));
        }
        let without_backend = &mut self.without_backend;
        if let Some(index) = without_backend
            .iter()
            .position(|(job, _)| job.request == request)
        {
            return Some(without_backend.remove(index).0);
        }
        let entry = self.pools.remove(request)?;
        self.subtract_tokens(&entry);
        Some(entry.job)
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requeued.len() + self.without_backend.len() + self.pools.len()
    }

    /// Returns whether no job waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the charged tokens of all waiting jobs.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Makes the next dispatch try all lanes again. Must be called when new
    /// capacity leases arrive, because the router's change count does not
    /// include them.
    pub fn recheck(&mut self) {
        self.pools.iter_mut().for_each(Pool::recheck);
    }

    /// Returns which jobs are sent and which are refused now.
    pub fn dispatch(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        router: &mut Router,
        capacity: &mut Capacity,
        conditions: &Conditions,
    ) -> Vec<Decision> {
        self.resync(cx.now, fleet, router);
        self.readmit_requeued(cx.now, fleet, router);
        self.refuse_without_backend(cx.now);
        let view = RoutingView {
            now: cx.now,
            fleet,
            conditions,
        };
        let mut decisions = std::mem::take(&mut self.pending_decisions);
        let mut pools = std::mem::take(&mut self.pools);
        for pool in pools.iter_mut() {
            for (entry, refusal) in pool.expire(cx.now) {
                self.subtract_tokens(&entry);
                decisions.push(Decision::Refuse(entry.job, refusal));
            }
            for (entry, placement) in pool.place_jobs(view, router, capacity) {
                self.subtract_tokens(&entry);
                let job = entry.job;
                decisions.push(match placement {
                    Placement::Single(lease) => Decision::Send(Dispatch { job, lease }),
                    Placement::Gang(members) => Decision::Gang(GangReservation { job, members }),
                });
            }
            for (entry, refusal) in pool.refuse_late(cx.now, router) {
                self.subtract_tokens(&entry);
                cx.count(Count::Evicted);
                decisions.push(Decision::Refuse(entry.job, refusal));
            }
        }
        self.pools = pools;
        cx.metrics
            .set(Level::Waiting, to_i64_saturating(self.len() as u64));
        cx.metrics
            .set(Level::WaitingTokens, to_i64_saturating(self.tokens));
        decisions
    }

    /// Builds the queue entry of a job, or refuses the job if no backend server
    /// may serve it, its prompt is too long or it cannot finish in time even on
    /// an idle fleet.
    fn build_entry(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        router: &mut Router,
        mut job: Job,
    ) -> Result<Entry, Box<(Job, Refusal)>> {
        if let Some(latest) = self.latest_deadline {
            job.deadline = job.deadline.min(latest);
        }
        let lane = router.find_lane_key(fleet, &job);
        let usable = lane.and_then(|key| Some((key, router.get_lane(key)?)));
        let Some((key, lane)) = usable.filter(|(_, lane)| !lane.all_excluded(&job)) else {
            let text = "no backend server in service may serve this request";
            let refusal = Refusal::not_run(Reason::NoBackend, text);
            return Err(Box::new((job, refusal.retry_after(NO_BACKEND_RETRY_AFTER))));
        };
        let needs_gang = !lane.fits_one_backend(&job);
        if needs_gang && !router.can_form_gang(fleet, key, &job) {
            let refusal = gang_refusal(fleet, router, key, &job);
            return Err(Box::new((job, refusal)));
        }
        let limits = lane.warm_limits.first().copied().unwrap_or_default();
        let predicted = router
            .predict_lower_bound(now, fleet, key, &job)
            .unwrap_or_default();
        self.last_sequence += 1;
        let mut entry = Entry::new(job, key, self.last_sequence, predicted, limits);
        entry.needs_gang = needs_gang;
        if now + entry.service_time > entry.job.deadline {
            let text = format!(
                "the answer is predicted to take {} plus a safety margin but is due in {}",
                predicted.total,
                entry.job.deadline.since(now)
            );
            let refusal = Refusal::not_run(Reason::DeadlineUnreachable, text);
            return Err(Box::new((
                entry.job,
                refusal.retry_after(UNREACHABLE_RETRY_AFTER),
            )));
        }
        Ok(entry)
    }

    /// Evicts less important jobs until an arrival fits into the queue, or
    /// returns the arrival's refusal.
    fn make_room(&mut self, cx: &Cx<'_>, entry: &Entry) -> Option<Refusal> {
        let key = (entry.job.workspace, entry.job.kind);
        let queued = self
            .tokens_by_workspace_and_kind
            .get(&key)
            .copied()
            .unwrap_or_default();
        if queued + entry.tokens > MAX_WORKSPACE_KIND_TOKENS && queued > 0 {
            let text = "too many tokens of this workspace and request kind are queued";
            return Some(self.queue_full_refusal(text));
        }
        while self.tokens + entry.tokens > MAX_QUEUE_TOKENS && self.tokens > 0 {
            let Some(request) = self.pools.least_important(entry.job.importance) else {
                return Some(
                    self.queue_full_refusal("too many tokens are queued on this instance"),
                );
            };
            let Some(victim) = self.pools.remove(request) else {
                break;
            };
            self.subtract_tokens(&victim);
            cx.count(Count::Evicted);
            let refusal = self.queue_full_refusal("the queue is full of more important requests");
            self.pending_decisions
                .push(Decision::Refuse(victim.job, refusal));
        }
        None
    }

    fn queue_full_refusal(&self, text: &str) -> Refusal {
        let backlog = self
            .pools
            .iter()
            .map(Pool::backlog_time)
            .max()
            .unwrap_or_default();
        Refusal::not_run(Reason::QueueFull, text).retry_after(backlog.max(MIN_LOAD_RETRY_AFTER))
    }

    fn insert(&mut self, router: &Router, fleet: &Fleet, entry: Entry) {
        self.tokens += entry.tokens;
        let key = (entry.job.workspace, entry.job.kind);
        *self.tokens_by_workspace_and_kind.entry(key).or_default() += entry.tokens;
        self.pools.insert(router, fleet, entry);
    }

    fn subtract_tokens(&mut self, entry: &Entry) {
        self.tokens -= entry.tokens;
        let key = (entry.job.workspace, entry.job.kind);
        let Some(tokens) = self.tokens_by_workspace_and_kind.get_mut(&key) else {
            return;
        };
        *tokens -= entry.tokens;
        if *tokens == 0 {
            self.tokens_by_workspace_and_kind.remove(&key);
        }
    }

    /// Rebuilds the entries of all waiting jobs if the fleet has changed.
    fn resync(&mut self, now: Millis, fleet: &Fleet, router: &mut Router) {
        if self.fleet_generation != fleet.generation() {
            self.rebuild(now, fleet, router);
        }
    }

    /// Rebuilds the entries of all waiting jobs.
    fn rebuild(&mut self, now: Millis, fleet: &Fleet, router: &mut Router) {
        self.fleet_generation = fleet.generation();
        self.tokens = 0;
        self.tokens_by_workspace_and_kind.clear();
        let mut jobs: Vec<Job> = self
            .pools
            .take_entries()
            .into_iter()
            .map(|entry| entry.job)
            .collect();
        jobs.extend(
            std::mem::take(&mut self.without_backend)
                .into_iter()
                .map(|(job, _)| job),
        );
        for job in jobs {
            self.readmit(now, fleet, router, job);
        }
    }

    /// Queues the jobs whose attempt ended without a complete answer or whose
    /// gang failed.
    fn readmit_requeued(&mut self, now: Millis, fleet: &Fleet, router: &mut Router) {
        for job in std::mem::take(&mut self.requeued) {
            self.readmit(now, fleet, router, job);
        }
    }

    /// Queues a job that was admitted before. A job that loses its last usable
    /// backend server waits for [`NO_BACKEND_GRACE`]; one whose attempts have
    /// excluded backend servers is refused instead.
    fn readmit(&mut self, now: Millis, fleet: &Fleet, router: &mut Router, job: Job) {
        match self.build_entry(now, fleet, router, job) {
            Ok(entry) => self.insert(router, fleet, entry),
            Err(refused) => {
                let (job, refusal) = *refused;
                if refusal.reason == Reason::NoBackend && job.excluded.is_empty() {
                    self.without_backend.push((job, now + NO_BACKEND_GRACE));
                } else {
                    self.pending_decisions.push(Decision::Refuse(job, refusal));
                }
            }
        }
    }

    fn refuse_without_backend(&mut self, now: Millis) {
        let without_backend = std::mem::take(&mut self.without_backend);
        for (job, until) in without_backend {
            if until <= now || job.deadline <= now {
                let text = "no backend server in service may serve this request any more";
                let refusal = Refusal::not_run(Reason::NoBackend, text);
                let refusal = refusal.retry_after(NO_BACKEND_RETRY_AFTER);
                self.pending_decisions.push(Decision::Refuse(job, refusal));
            } else {
                self.without_backend.push((job, until));
            }
        }
    }
}

/// Returns the refusal of a prompt that exceeds one engine's memory and for
/// which no gang can be formed: `NoBackend` if a gang would exist with the
/// engines that failed in earlier attempts, else `PromptTooLong`.
fn gang_refusal(fleet: &Fleet, router: &Router, lane: LaneKey, job: &Job) -> Refusal {
    let mut first_try = job.clone();
    first_try.excluded.clear();
    if !job.excluded.is_empty() && router.can_form_gang(fleet, lane, &first_try) {
        let text = "an engine of the gang failed and no other can take its place";
        return Refusal::not_run(Reason::NoBackend, text).retry_after(NO_BACKEND_RETRY_AFTER);
    }
    let text =
        "neither one permitted engine nor a gang has enough memory for the prompt and answer";
    Refusal::not_run(Reason::PromptTooLong, text)
}

fn to_i64_saturating(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
