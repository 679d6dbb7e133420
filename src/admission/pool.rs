//! Pools: waiting jobs that compete for the same backend servers.
//!
//! Lanes that share a backend server belong to one pool. Within a pool,
//! workspaces are scheduled by weighted fair queueing over tokens (start-time
//! fair queueing, Goyal, Vin and Cheng 1996). Workspaces whose virtual time
//! exceeds the minimum by no more than a quantum compete by due start: the job
//! with the earliest one is placed first.
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
use crate::admission::plan;
use crate::admission::plan::Item;
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
use crate::routing::View;
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
/// Interval after which placement is tried again although no change is known:
/// new capacity leases may have arrived.
const RECHECK_INTERVAL: Millis = Millis(50);
/// Maximum jobs examined in one scheduling pass.
const MAX_JOBS_PER_PASS: usize = 512;
/// Interval between measurements of the service rate.
const RATE_INTERVAL: Millis = Millis(50);
/// Half-life of the peak service rate seen while jobs wait.
const PEAK_RATE_HALF_LIFE: Millis = Millis::from_secs(5);
/// How long jobs must have been waiting before late ones are refused, as
/// capacity leases may still be on their way.
const LATE_REFUSAL_DELAY: Millis = Millis(500);
/// Interval between searches for jobs that cannot all finish in time.
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
    /// Virtual times of workspaces without waiting jobs.
    idle_virtual_times: HashMap<WorkspaceKey, f64>,
    len: usize,
    /// Work of the waiting jobs, in milliseconds of one fully used backend
    /// server.
    work_ms: f64,
    /// Decaying peak of the backend servers kept busy while jobs wait.
    service_rate: f64,
    rate_measured_at: Millis,
    waiting_since: Option<Millis>,
    late_checked_at: Option<Millis>,
    /// Smallest latest start of the waiting jobs, or an earlier time.
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
    changes: u64,
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
struct Turn {
    /// Virtual time of a workspace that exceeds the minimum by more than the
    /// quantum; 0 for the others.
    virtual_time_ahead: u64,
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
        let first = self.earliest_latest_start.unwrap_or(Millis::NEVER);
        self.earliest_latest_start = Some(first.min(entry.latest_start));
        queue.entries.insert(entry.key(), entry);
    }

    /// Removes the jobs that can no longer meet their deadlines.
    pub fn expire(&mut self, now: Millis) -> Vec<(Entry, Refusal)> {
        if self.earliest_latest_start.is_none_or(|first| now <= first) {
            return Vec::new();
        }
        let late: Vec<(WorkspaceKey, OrderKey)> = self
            .entries()
            .filter(|entry| entry.latest_start < now)
            .map(|entry| (entry.job.workspace, entry.key()))
            .collect();
        let refused = self.remove_late(&late);
        self.earliest_latest_start = self.entries().map(|entry| entry.latest_start).min();
        refused
    }

    /// Places waiting jobs in scheduling order, as far as there is capacity.
    pub fn place_jobs(
        &mut self,
        view: View<'_>,
        router: &mut Router,
        capacity: &mut Capacity,
    ) -> Vec<(Entry, Placement)> {
        let mut placed = Vec::new();
        if self.len == 0 || self.is_unchanged(view.now, router) {
            return placed;
        }
        self.drop_stale_full_lanes(view.now, router);
        let bound = self.fairness_bound();
        let mut turns = self.turns(bound);
        let mut failures_by_workspace: BTreeMap<WorkspaceKey, usize> = BTreeMap::new();
        let mut reserved = Vec::new();
        let mut failures = 0;
        let mut demands = LaneDemands::default();
        for _ in 0..MAX_JOBS_PER_PASS {
            if failures >= MAX_FAILED_PLACEMENTS {
                break;
            }
            let Some(Reverse((turn, workspace))) = turns.pop() else {
                break;
            };
            let key = turn.key;
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
            let result = match entry.gang {
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
                    if !entry.gang {
                        demands.add(view.now, entry);
                    }
                    *failures_by_workspace.entry(workspace).or_default() += 1;
                    if entry.gang {
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
                let next = self.turn(workspace, Bound::Excluded(key), bound);
                turns.extend(next.map(|turn| Reverse((turn, workspace))));
            }
        }
        for demand in demands.0 {
            router.request_leases(view, capacity, demand);
        }
        self.measure_rate(view.now, router);
        self.changed = false;
        self.last_pass = Some(LastPass {
            at: view.now,
            changes: router.change_count(),
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
        let mut items: Vec<Item> = self
            .queues
            .values()
            .flat_map(WorkspaceQueue::items)
            .collect();
        items.sort_by_key(|item| item.key);
        let late = plan::select_late(now, &items, rate);
        let late: Vec<_> = late.iter().map(|item| (item.workspace, item.key)).collect();
        self.remove_late(&late)
    }

    /// Returns all waiting jobs, by workspace and due start.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.queues
            .values()
            .flat_map(|queue| queue.entries.values())
    }

    /// Returns whether no capacity can have become free since the last pass.
    fn is_unchanged(&self, now: Millis, router: &Router) -> bool {
        let last_pass = self.last_pass.filter(|_| !self.changed);
        last_pass.is_some_and(|pass| {
            pass.changes == router.change_count() && now.since(pass.at) < RECHECK_INTERVAL
        })
    }

    /// Drops full-lane records that are old or whose backend servers changed.
    fn drop_stale_full_lanes(&mut self, now: Millis, router: &Router) {
        self.full_lanes
            .retain(|full| now.since(full.tried_at) < RECHECK_INTERVAL);
        let since = self.last_pass.map_or(0, |pass| pass.changes);
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

    /// Makes the next pass try all lanes again, as new capacity leases arrived.
    pub fn recheck(&mut self) {
        self.full_lanes.clear();
        self.changed = true;
    }

    /// Returns the first job of each workspace in scheduling order: workspaces
    /// within the quantum by due start, then the others by virtual time.
    fn turns(&self, bound: f64) -> BinaryHeap<Reverse<(Turn, WorkspaceKey)>> {
        let keys = self.queues.keys();
        let turns = keys.filter_map(|&workspace| {
            let turn = self.turn(workspace, Bound::Unbounded, bound)?;
            Some(Reverse((turn, workspace)))
        });
        turns.collect()
    }

    /// Returns the scheduling key of a workspace's first job after `after`.
    fn turn(&self, workspace: WorkspaceKey, after: Bound<OrderKey>, bound: f64) -> Option<Turn> {
        let queue = self.queues.get(&workspace)?;
        let (&key, _) = queue.entries.range((after, Bound::Unbounded)).next()?;
        let virtual_time_ahead = match queue.virtual_time > bound {
            true => queue.virtual_time as u64,
            false => 0,
        };
        Some(Turn {
            virtual_time_ahead,
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

    fn remove_late(&mut self, late: &[(WorkspaceKey, OrderKey)]) -> Vec<(Entry, Refusal)> {
        let backlog = self.backlog_time().max(MIN_LOAD_RETRY_AFTER);
        let text = "the answer would miss its deadline: other requests come first";
        let refusal = Refusal::not_run(Reason::DeadlineUnreachable, text).retry_after(backlog);
        let removed = late
            .iter()
            .filter_map(|&(workspace, key)| self.remove_entry(workspace, key));
        removed.map(|entry| (entry, refusal.clone())).collect()
    }

    /// Measures the number of fully used backend servers while jobs wait.
    fn measure_rate(&mut self, now: Millis, router: &Router) {
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
    fn items(&self) -> impl Iterator<Item = Item> {
        self.entries.values().map(|entry| Item {
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
        let waited = now.since(entry.job.admitted);
        let weight = u64::from(entry.job.importance) + 1;
        let known = self.0.iter().position(|demand| demand.lane == entry.lane);
        let index = known.unwrap_or(self.0.len());
        if known.is_none() {
            self.0.push(LaneDemand::new(entry.lane));
        }
        self.0[index].add(cost, weight, waited);
    }
}
