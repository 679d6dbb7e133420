//! Pools: waiting jobs that compete for the same backend servers.
//!
//! Lanes that share a backend server belong to one pool. Within a pool,
//! workspaces are scheduled by weighted fair queueing over tokens (start-time
//! fair queueing, Goyal, Vin and Cheng 1996). Virtual time is in tokens per
//! unit of weight. Workspaces whose virtual time exceeds the minimum by no more
//! than a quantum compete by due start: the job with the earliest one is placed
//! first.
//!
//! Messages and metrics call a capacity lease `credit`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::ops::Bound;

use crate::admission::MIN_LOAD_RETRY_AFTER;
use crate::admission::entry::Entry;
use crate::admission::entry::OrderKey;
use crate::admission::late;
use crate::admission::late::QueuedJob;
use crate::capacity::Capacity;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::fleet::WorkspaceKey;
use crate::gang::Member;
use crate::id::RequestId;
use crate::routing::LaneDemand;
use crate::routing::LaneKey;
use crate::routing::PlacementError;
use crate::routing::PlacementRequest;
use crate::routing::Router;
use crate::routing::RoutingView;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Tokens per unit of weight by which a workspace's virtual time may exceed the
/// minimum while its jobs still compete by due start.
pub const FAIR_QUANTUM_TOKENS: u64 = 16_384;
/// Maximum failed placements in one scheduling pass.
const MAX_FAILED_PLACEMENTS: usize = 16;
/// Maximum failed placements of one workspace in one scheduling pass.
const MAX_WORKSPACE_FAILED_PLACEMENTS: usize = 4;
/// One in this many of a lane's backend servers may be reserved for due jobs.
const RESERVABLE_DIVISOR: usize = 4;
/// Interval after which placement, also in full lanes, is tried again even if
/// no change is known: new capacity leases may have arrived.
const RECHECK_INTERVAL: Millis = Millis(50);
/// Maximum jobs examined in one scheduling pass.
const MAX_JOBS_PER_PASS: usize = 512;
/// Interval between measurements of the service rate.
const RATE_INTERVAL: Millis = Millis(50);
/// Half-life of the peak service rate seen while jobs wait.
const PEAK_RATE_HALF_LIFE: Millis = Millis::from_secs(5);
/// How long a pool must have had waiting jobs without interruption before jobs
/// are refused by `refuse_late`, as capacity leases may still be on
/// their way.
const LATE_REFUSAL_DELAY: Millis = Millis(500);
/// Minimum interval between searches for jobs that cannot all finish in time,
/// unless a job was added.
const LATE_REFUSAL_INTERVAL: Millis = Millis(200);

/// The waiting jobs of one workspace in a pool.
#[derive(Debug)]
struct WorkspaceQueue {
    entries: BTreeMap<OrderKey, Entry>,
    /// Tokens served so far per unit of weight.
    virtual_time: f64,
    weight: u32,
}

/// Waiting jobs that compete for the same backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    backends: Vec<BackendKey>,
    /// Workspaces with waiting jobs.
    queues: BTreeMap<WorkspaceKey, WorkspaceQueue>,
    /// Virtual times of workspaces without waiting jobs that are still above
    /// the pool's minimum.
    idle_virtual_times: HashMap<WorkspaceKey, f64>,
    len: usize,
    /// Work of the waiting jobs: the milliseconds for which they would occupy
    /// one whole backend server.
    work_ms: f64,
    /// Number of fully used backend servers, as a decaying peak over the time
    /// in which jobs wait.
    service_rate: f64,
    rate_measured_at: Millis,
    /// Since when there have always been waiting jobs.
    waiting_since: Option<Millis>,
    late_checked_at: Option<Millis>,
    /// Lower bound of the latest starts of the waiting jobs.
    earliest_latest_start: Option<Millis>,
    last_pass: Option<LastPass>,
    full_lanes: Vec<FullLane>,
    /// Whether a job was added or a recheck requested since the last pass.
    changed: bool,
}

/// Where a job is placed.
#[derive(Debug)]
pub enum Placement {
    /// One backend server.
    Single(LeaseUse),
    /// Several engines.
    Gang(Vec<Member>),
}

/// A lane whose backend servers had no free stream when last tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FullLane {
    lane: LaneKey,
    tried_at: Millis,
}

/// Time of a pool's last scheduling pass and the router's change count at that
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LastPass {
    at: Millis,
    change_count: u64,
}

/// Orders jobs by eviction: the smallest is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionKey {
    importance: u8,
    tokens_per_weight: Reverse<u64>,
    key: Reverse<OrderKey>,
}

/// Orders the workspaces' next jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SchedulingKey {
    /// Virtual time of a workspace that exceeds the minimum by more than the
    /// quantum; 0 for the others.
    virtual_time_if_ahead: u64,
    key: OrderKey,
}

impl Pool {
    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Adds a backend server that the pool's jobs may use.
    pub fn add_backend(&mut self, backend: BackendKey) {
        self.backends.push(backend);
    }

    /// Removes a job.
    pub fn remove(&mut self, request: RequestId) -> Option<Entry> {
        let mut entries = self.entries();
        let entry = entries.find(|entry| entry.job.request == request)?;
        let (workspace, key) = (entry.job.workspace, entry.key());
        drop(entries);
        self.remove_entry(workspace, key)
    }

    /// Returns the pool's backend servers and waiting jobs.
    pub fn into_parts(self) -> (Vec<BackendKey>, Vec<Entry>) {
        let queues = self.queues.into_values();
        let entries = queues.flat_map(|queue| queue.entries.into_values());
        (self.backends, entries.collect())
    }

    /// Returns the least important job below an importance, with the key that
    /// compares it with those of other pools. Among equally important jobs it
    /// is one of the workspace with the most waiting tokens per unit of weight.
    #[must_use]
    pub fn least_important(&self, below: u8) -> Option<(EvictionKey, RequestId)> {
        let queues = self.queues.values().flat_map(|queue| {
            let tokens: u64 = queue.entries.values().map(|entry| entry.tokens).sum();
            let tokens_per_weight = Reverse(tokens / u64::from(queue.weight));
            queue
                .entries
                .values()
                .map(move |entry| (entry, tokens_per_weight))
        });
        queues
            .filter(|(entry, _)| entry.job.importance < below)
            .map(|(entry, tokens_per_weight)| {
                let eviction_key = EvictionKey {
                    importance: entry.job.importance,
                    tokens_per_weight,
                    key: Reverse(entry.key()),
                };
                (eviction_key, entry.job.request)
            })
            .min()
    }

    /// Returns the time to serve all waiting jobs at the current service rate.
    #[must_use]
    pub fn backlog_time(&self) -> Millis {
        if self.service_rate <= 0.0 {
            return Millis::ZERO;
        }
        Millis((self.work_ms / self.service_rate) as u64)
    }

    /// Adds a job.
    pub fn insert(&mut self, fleet: &Fleet, entry: Entry) {
        let min = self.min_virtual_time();
        let weight = fleet.workspace(entry.job.workspace).weight.max(1);
        let workspace = entry.job.workspace;
        let idle = &mut self.idle_virtual_times;
        let queue = self
            .queues
            .entry(workspace)
            .or_insert_with(|| WorkspaceQueue {
                entries: BTreeMap::new(),
                virtual_time: idle
                    .remove(&workspace)
                    .unwrap_or(0.0)
                    .max(min.unwrap_or(0.0)),
                weight,
            });
        queue.weight = weight;
        self.len += 1;
        self.work_ms += entry.work_ms;
        self.late_checked_at = None;
        self.changed = true;
        let earliest = self.earliest_latest_start.unwrap_or(Millis::NEVER);
        self.earliest_latest_start = Some(earliest.min(entry.latest_start));
        queue.entries.insert(entry.key(), entry);
    }

    /// Removes the jobs that can no longer meet their deadlines.
    pub fn expire(&mut self, now: Millis) -> Vec<(Entry, Refusal)> {
        if self
            .earliest_latest_start
            .is_none_or(|earliest| now <= earliest)
        {
            return Vec::new();
        }
        let late: Vec<(WorkspaceKey, OrderKey)> = self
            .entries()
            .filter(|entry| entry.latest_start < now)
            .map(|entry| (entry.job.workspace, entry.key()))
            .collect();
        let refused = self.refuse(&late);
        self.earliest_latest_start = self.entries().map(|entry| entry.latest_start).min();
        refused
    }

    /// Places waiting jobs in scheduling order, as far as there is capacity.
    pub fn place_jobs(
        &mut self,
        view: RoutingView<'_>,
        router: &mut Router,
        capacity: &mut Capacity,
    ) -> Vec<(Entry, Placement)> {
        let mut placed = Vec::new();
        if self.len == 0 || self.is_unchanged(view.now, router) {
            return placed;
        }
        self.drop_stale_full_lanes(view.now, router);
        let fairness_bound = self.fairness_bound();
        let mut heap = self.next_jobs(fairness_bound);
        let mut failures_by_workspace: BTreeMap<WorkspaceKey, usize> = BTreeMap::new();
        let mut reserved = Vec::new();
        let mut failures = 0;
        let mut demands = LaneDemands::default();
        for _ in 0..MAX_JOBS_PER_PASS {
            if failures >= MAX_FAILED_PLACEMENTS {
                break;
            }
            let Some(Reverse((next, workspace))) = heap.pop() else {
                break;
            };
            let key = next.key;
            let Some(entry) = self.queues[&workspace].entries.get(&key) else {
                continue;
            };
            let request = PlacementRequest {
                job: &entry.job,
                lane: entry.lane,
                urgent: view.now >= entry.due_start,
                reserved: &reserved,
            };
            let lane_is_full = self.full_lanes.iter().any(|full| full.lane == entry.lane);
            let result = match entry.needs_gang {
                true => router
                    .reserve_gang(view, capacity, request)
                    .map(Placement::Gang),
                false if lane_is_full => Err(PlacementError::NoFreeStream),
                false => router.place(view, capacity, request).map(Placement::Single),
            };
            match result {
                Ok(placement) => {
                    let weight = self.queues[&workspace].weight;
                    if let Some(entry) = self.remove_entry(workspace, key) {
                        self.charge(&entry, weight);
                        placed.push((entry, placement));
                    }
                }
                Err(PlacementError::NoFreeStream) if lane_is_full => demands.add(view.now, entry),
                Err(error) => {
                    failures += 1;
                    if !entry.needs_gang {
                        demands.add(view.now, entry);
                    }
                    *failures_by_workspace.entry(workspace).or_default() += 1;
                    if entry.needs_gang {
                        let backends = router.gang_backends(view, request);
                        reserved.extend(backends.into_iter().filter(|_| request.urgent));
                    } else if error == PlacementError::NoFreeStream {
                        let (lane, tried_at) = (entry.lane, view.now);
                        self.full_lanes.push(FullLane { lane, tried_at });
                    } else if request.urgent {
                        let lane_size = router.get_lane(entry.lane).map_or(0, |lane| lane.len());
                        let may_reserve = reserved.len() < lane_size.div_ceil(RESERVABLE_DIVISOR);
                        reserved.extend(
                            router
                                .backend_to_reserve(view, capacity, request)
                                .filter(|_| may_reserve),
                        );
                    }
                }
            }
            if failures_by_workspace
                .get(&workspace)
                .is_none_or(|count| *count < MAX_WORKSPACE_FAILED_PLACEMENTS)
            {
                let next = self.next_job(workspace, Bound::Excluded(key), fairness_bound);
                heap.extend(next.map(|next| Reverse((next, workspace))));
            }
        }
        for demand in demands.0 {
            router.request_leases(view, capacity, demand);
        }
        self.update_service_rate(view.now, router);
        self.changed = false;
        self.last_pass = Some(LastPass {
            at: view.now,
            change_count: router.change_count(),
        });
        placed
    }

    /// Removes jobs, the least important first, until the others can all finish
    /// in time.
    pub fn refuse_late(&mut self, now: Millis, router: &Router) -> Vec<(Entry, Refusal)> {
        let waited = self
            .waiting_since
            .map_or(Millis::ZERO, |since| now.since(since));
        let recently_checked = self
            .late_checked_at
            .is_some_and(|at| now.since(at) < LATE_REFUSAL_INTERVAL);
        if recently_checked || waited < LATE_REFUSAL_DELAY || self.service_rate <= 0.0 {
            return Vec::new();
        }
        self.late_checked_at = Some(now);
        let rate = self.service_rate * router.speedup();
        let mut jobs: Vec<QueuedJob> = self
            .queues
            .values()
            .flat_map(WorkspaceQueue::queued_jobs)
            .collect();
        jobs.sort_by_key(|job| job.key);
        let refused = late::select_refusals(now, &jobs, rate);
        let keys: Vec<_> = refused.iter().map(|job| (job.workspace, job.key)).collect();
        self.refuse(&keys)
    }

    /// Returns all waiting jobs, by workspace and due start.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.queues
            .values()
            .flat_map(|queue| queue.entries.values())
    }

    /// Returns whether nothing is known to have changed since the last pass,
    /// and it is less than [`RECHECK_INTERVAL`] ago.
    fn is_unchanged(&self, now: Millis, router: &Router) -> bool {
        let last_pass = self.last_pass.filter(|_| !self.changed);
        last_pass.is_some_and(|pass| {
            pass.change_count == router.change_count() && now.since(pass.at) < RECHECK_INTERVAL
        })
    }

    /// Drops full-lane records that are old or whose backend servers changed.
    fn drop_stale_full_lanes(&mut self, now: Millis, router: &Router) {
        self.full_lanes
            .retain(|full| now.since(full.tried_at) < RECHECK_INTERVAL);
        let since = self.last_pass.map_or(0, |pass| pass.change_count);
        let Some(changed) = router.changed_since(since) else {
            return self.full_lanes.clear();
        };
        for backend in changed {
            self.full_lanes.retain(|full| {
                let lane = router.get_lane(full.lane);
                lane.is_some_and(|lane| lane.backends().all(|server| server.backend != backend))
            });
        }
    }

    /// Makes the next pass try all lanes again. Called when new capacity leases
    /// have arrived.
    pub fn recheck(&mut self) {
        self.full_lanes.clear();
        self.changed = true;
    }

    /// Returns each workspace's first job, as a heap in scheduling order:
    /// workspaces whose virtual time is within the quantum of the minimum by
    /// due start, then the others by virtual time.
    fn next_jobs(&self, fairness_bound: f64) -> BinaryHeap<Reverse<(SchedulingKey, WorkspaceKey)>> {
        let keys = self.queues.keys();
        let heap_entries = keys.filter_map(|&workspace| {
            let next = self.next_job(workspace, Bound::Unbounded, fairness_bound)?;
            Some(Reverse((next, workspace)))
        });
        heap_entries.collect()
    }

    /// Returns the scheduling key of a workspace's first job after `after`.
    fn next_job(
        &self,
        workspace: WorkspaceKey,
        after: Bound<OrderKey>,
        fairness_bound: f64,
    ) -> Option<SchedulingKey> {
        let queue = self.queues.get(&workspace)?;
        let (&key, _) = queue.entries.range((after, Bound::Unbounded)).next()?;
        let virtual_time_if_ahead = match queue.virtual_time > fairness_bound {
            true => queue.virtual_time as u64,
            false => 0,
        };
        Some(SchedulingKey {
            virtual_time_if_ahead,
            key,
        })
    }

    /// Returns the virtual time up to which workspaces compete by due start.
    fn fairness_bound(&self) -> f64 {
        self.min_virtual_time().unwrap_or(0.0) + FAIR_QUANTUM_TOKENS as f64
    }

    fn remove_entry(&mut self, workspace: WorkspaceKey, key: OrderKey) -> Option<Entry> {
        let queue = self.queues.get_mut(&workspace)?;
        let entry = queue.entries.remove(&key)?;
        let virtual_time = queue.virtual_time;
        if queue.entries.is_empty() {
            self.queues.remove(&workspace);
            self.idle_virtual_times.insert(workspace, virtual_time);
        }
        self.len -= 1;
        self.work_ms = if self.len == 0 {
            0.0
        } else {
            self.work_ms - entry.work_ms
        };
        Some(entry)
    }

    /// Charges a workspace for a placed job.
    fn charge(&mut self, entry: &Entry, weight: u32) {
        let workspace = entry.job.workspace;
        let tokens = entry.tokens as f64;
        if let Some(queue) = self.queues.get_mut(&workspace) {
            queue.virtual_time += tokens / f64::from(queue.weight);
        } else if let Some(virtual_time) = self.idle_virtual_times.get_mut(&workspace) {
            *virtual_time += tokens / f64::from(weight);
        }
    }

    /// Removes jobs and returns each with a refusal.
    fn refuse(&mut self, keys: &[(WorkspaceKey, OrderKey)]) -> Vec<(Entry, Refusal)> {
        let backlog = self.backlog_time().max(MIN_LOAD_RETRY_AFTER);
        let text = "the answer would miss its deadline: other requests come first";
        let refusal = Refusal::not_run(Reason::DeadlineUnreachable, text).retry_after(backlog);
        let removed = keys
            .iter()
            .filter_map(|&(workspace, key)| self.remove_entry(workspace, key));
        removed.map(|entry| (entry, refusal.clone())).collect()
    }

    /// Updates the service rate at most once per [`RATE_INTERVAL`], and forgets
    /// idle virtual times that no longer matter.
    fn update_service_rate(&mut self, now: Millis, router: &Router) {
        if self.len == 0 {
            self.waiting_since = None;
            self.service_rate = 0.0;
            self.idle_virtual_times.clear();
            return;
        }
        self.waiting_since.get_or_insert(now);
        if now.since(self.rate_measured_at) < RATE_INTERVAL && self.service_rate > 0.0 {
            return;
        }
        let loads = self
            .backends
            .iter()
            .filter_map(|&backend| router.load(backend));
        let busy: f64 = loads.map(|load| load.utilization).sum();
        let halvings = now.since(self.rate_measured_at).0 as f64 / PEAK_RATE_HALF_LIFE.0 as f64;
        self.rate_measured_at = now;
        let min = self.min_virtual_time().unwrap_or(0.0);
        self.idle_virtual_times
            .retain(|_, virtual_time| *virtual_time > min);
        self.service_rate = busy + (self.service_rate - busy).max(0.0) * (-halvings).exp2();
    }

    /// Returns the minimum virtual time of the workspaces with waiting jobs.
    fn min_virtual_time(&self) -> Option<f64> {
        let times = self.queues.values().map(|queue| queue.virtual_time);
        times.min_by(f64::total_cmp)
    }
}

impl WorkspaceQueue {
    fn queued_jobs(&self) -> impl Iterator<Item = QueuedJob> {
        self.entries.values().map(|entry| QueuedJob {
            key: entry.key(),
            workspace: entry.job.workspace,
            weight: self.weight,
            importance: entry.job.importance,
            latest_start: entry.latest_start,
            tokens: entry.tokens,
            work_ms: entry.work_ms,
        })
    }
}

/// Demand of the jobs that could not be placed, by lane.
#[derive(Debug, Default)]
struct LaneDemands(Vec<LaneDemand>);

impl LaneDemands {
    fn add(&mut self, now: Millis, entry: &Entry) {
        let cost = entry.job.cost(0);
        let waited = now.since(entry.job.submitted_at);
        let weight = u64::from(entry.job.importance) + 1;
        let known = self.0.iter().position(|demand| demand.lane == entry.lane);
        let index = known.unwrap_or(self.0.len());
        if known.is_none() {
            self.0.push(LaneDemand::new(entry.lane));
        }
        self.0[index].add(cost, weight, waited);
    }
}
