//! Pools: waiting jobs that compete for the same backend servers.
//!
//! Lanes that share a backend server belong to one pool. In a pool the
//! workspaces take turns by weighted fair queueing over tokens (start-time fair
//! queueing, Goyal, Vin and Cheng 1996): of those that are not ahead of the one
//! furthest behind by more than a quantum, the job that is due first goes first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::ops::Bound;

use crate::admission::LOAD_RETRY;
use crate::admission::entry::Entry;
use crate::admission::entry::OrderKey;
use crate::admission::plan;
use crate::admission::plan::Item;
use crate::capacity::Capacity;
use crate::capacity::CreditUse;
use crate::clock::Millis;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::fleet::WorkspaceKey;
use crate::gang::Member;
use crate::id::RequestId;
use crate::routing::Ask;
use crate::routing::Full;
use crate::routing::LaneKey;
use crate::routing::Router;
use crate::routing::View;
use crate::routing::Want;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Tokens, for each unit of weight, by which a workspace may be ahead of the one
/// furthest behind and still take its turn by deadline.
pub const FAIR_QUANTUM_TOKENS: u64 = 16_384;
/// Jobs without room that are looked at in one pass.
const MISSES: usize = 16;
/// Jobs of one workspace without room that are looked at in one pass.
const WORKSPACE_MISSES: usize = 4;
/// Part of a lane's backend servers that may be kept for jobs that are due.
const KEPT_PART: usize = 4;
/// Time after which room is looked for again although nothing is known to have
/// changed: credits may have come.
const RECHECK: Millis = Millis(50);
/// Jobs that are looked at in one pass.
const LOOKS: usize = 512;
/// Period at which the rate of work is measured.
const RATE_PERIOD: Millis = Millis(50);
/// Half-life of the highest rate of work that was seen while jobs waited.
const RATE_HALF_LIFE: Millis = Millis::from_secs(5);
/// How long jobs have to wait before any give way to others: credits may be on
/// their way.
const PLAN_DELAY: Millis = Millis(500);
/// Period at which waiting jobs are planned anew.
const PLAN_PERIOD: Millis = Millis(200);

/// The waiting jobs of one workspace in a pool.
#[derive(Debug)]
struct Line {
    entries: BTreeMap<OrderKey, Entry>,
    /// Tokens that the workspace got, for each unit of weight.
    virtual_time: f64,
    weight: u32,
}

/// Waiting jobs that compete for the same backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    backends: Vec<BackendKey>,
    /// Workspaces with waiting jobs.
    lines: BTreeMap<WorkspaceKey, Line>,
    /// Virtual times of workspaces without.
    idle: HashMap<WorkspaceKey, f64>,
    len: usize,
    work_ms: f64,
    rate: f64,
    measured: Millis,
    since: Option<Millis>,
    planned: Option<Millis>,
    first_latest: Option<Millis>,
    looked: Option<Looked>,
    full: Vec<FullLane>,
    changed: bool,
}

/// What a job found room on.
#[derive(Debug)]
pub enum Room {
    /// One backend server.
    One(CreditUse),
    /// Several engines.
    Gang(Vec<Member>),
}

/// A lane without a free stream when it was last looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FullLane {
    lane: LaneKey,
    at: Millis,
}

/// When a pool was last gone through, and the router's state then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Looked {
    at: Millis,
    changes: u64,
}

/// Orders the jobs by who gives way first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Giving {
    importance: u8,
    pressure: Reverse<u64>,
    key: Reverse<OrderKey>,
}

/// Orders the workspaces' first jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    /// Virtual time of a workspace that is ahead by more than the quantum; 0 for
    /// the others.
    ahead_tokens: u64,
    key: OrderKey,
}

impl Pool {
    /// Returns how many jobs wait.
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
        self.take(workspace, key)
    }

    /// Removes all jobs; returns them with the backend servers.
    pub fn dissolve(self) -> (Vec<BackendKey>, Vec<Entry>) {
        let lines = self.lines.into_values();
        let entries = lines.flat_map(|line| line.entries.into_values());
        (self.backends, entries.collect())
    }

    /// Returns the least important job below an importance, of the workspace
    /// with the most waiting tokens for its weight, with the key that orders it
    /// among those of other pools.
    #[must_use]
    pub fn least_important(&self, below: u8) -> Option<(Giving, RequestId)> {
        let lines = self.lines.values().flat_map(|line| {
            let tokens: u64 = line.entries.values().map(|entry| entry.tokens).sum();
            let pressure = Reverse(tokens / u64::from(line.weight));
            line.entries.values().map(move |entry| (entry, pressure))
        });
        lines
            .filter(|(entry, _)| entry.job.importance < below)
            .map(|(entry, pressure)| {
                let giving = Giving {
                    importance: entry.job.importance,
                    pressure,
                    key: Reverse(entry.key()),
                };
                (giving, entry.job.request)
            })
            .min()
    }

    /// Returns how long the waiting jobs keep the backend servers busy.
    #[must_use]
    pub fn wait(&self) -> Millis {
        if self.rate <= 0.0 {
            return Millis::ZERO;
        }
        Millis((self.work_ms / self.rate) as u64)
    }

    /// Adds a job.
    pub fn insert(&mut self, fleet: &Fleet, entry: Entry) {
        let least = self.least_virtual_time();
        let weight = fleet.workspace(entry.job.workspace).weight.max(1);
        let workspace = entry.job.workspace;
        let idle = &mut self.idle;
        let line = self.lines.entry(workspace).or_insert_with(|| Line {
            entries: BTreeMap::new(),
            virtual_time: idle
                .remove(&workspace)
                .unwrap_or(0.0)
                .max(least.unwrap_or(0.0)),
            weight,
        });
        line.weight = weight;
        self.len += 1;
        self.work_ms += entry.work_ms;
        self.planned = None;
        self.changed = true;
        let first = self.first_latest.unwrap_or(Millis::NEVER);
        self.first_latest = Some(first.min(entry.latest));
        line.entries.insert(entry.key(), entry);
    }

    /// Removes the jobs that can no longer finish in time.
    pub fn expire(&mut self, now: Millis) -> Vec<(Entry, Refusal)> {
        if self.first_latest.is_none_or(|first| now <= first) {
            return Vec::new();
        }
        let late: Vec<(WorkspaceKey, OrderKey)> = self
            .entries()
            .filter(|entry| entry.latest < now)
            .map(|entry| (entry.job.workspace, entry.key()))
            .collect();
        let refused = self.refuse(&late);
        self.first_latest = self.entries().map(|entry| entry.latest).min();
        refused
    }

    /// Sends off the jobs for which there is room, in order.
    pub fn serve(
        &mut self,
        view: View<'_>,
        router: &mut Router,
        capacity: &mut Capacity,
    ) -> Vec<(Entry, Room)> {
        let mut served = Vec::new();
        if self.len == 0 || self.is_unchanged(view.now, router) {
            return served;
        }
        self.open_lanes(view.now, router);
        let bound = self.bound();
        let mut turns = self.turns(bound);
        let mut looks: BTreeMap<WorkspaceKey, usize> = BTreeMap::new();
        let mut kept = Vec::new();
        let mut misses = 0;
        let mut wants = Wants::default();
        for _ in 0..LOOKS {
            if misses >= MISSES {
                break;
            }
            let Some(Reverse((turn, workspace))) = turns.pop() else {
                break;
            };
            let key = turn.key;
            let Some(entry) = self.lines[&workspace].entries.get(&key) else {
                continue;
            };
            let ask = Ask {
                job: &entry.job,
                lane: entry.lane,
                pressed: view.now >= entry.due,
                kept: &kept,
            };
            let known_full = self.full.iter().any(|full| full.lane == entry.lane);
            let result = match entry.gang {
                true => router.reserve_gang(view, capacity, ask).map(Room::Gang),
                false if known_full => Err(Full::Streams),
                false => router.place(view, capacity, ask).map(Room::One),
            };
            match result {
                Ok(room) => {
                    let weight = self.lines[&workspace].weight;
                    if let Some(entry) = self.take(workspace, key) {
                        self.charge(&entry, weight);
                        served.push((entry, room));
                    }
                }
                Err(Full::Streams) if known_full => wants.add(view.now, entry),
                Err(why) => {
                    misses += 1;
                    if !entry.gang {
                        wants.add(view.now, entry);
                    }
                    *looks.entry(workspace).or_default() += 1;
                    if entry.gang {
                        let needs = router.gang_needs(view, ask);
                        kept.extend(needs.into_iter().filter(|_| ask.pressed));
                    } else if why == Full::Streams {
                        let (lane, at) = (entry.lane, view.now);
                        self.full.push(FullLane { lane, at });
                    } else if ask.pressed {
                        let most = router.places(entry.lane).map_or(0, |lane| lane.len());
                        let room = kept.len() < most.div_ceil(KEPT_PART);
                        kept.extend(router.keep(view, capacity, ask).filter(|_| room));
                    }
                }
            }
            if looks
                .get(&workspace)
                .is_none_or(|seen| *seen < WORKSPACE_MISSES)
            {
                let next = self.turn(workspace, Bound::Excluded(key), bound);
                turns.extend(next.map(|turn| Reverse((turn, workspace))));
            }
        }
        for want in wants.0 {
            router.want(view, capacity, want);
        }
        self.measure(view.now, router);
        self.changed = false;
        self.looked = Some(Looked {
            at: view.now,
            changes: router.changes(),
        });
        served
    }

    /// Removes the jobs that cannot all finish in time, the least important
    /// first.
    pub fn refuse_late(&mut self, now: Millis, router: &Router) -> Vec<(Entry, Refusal)> {
        let waited = self.since.map_or(Millis::ZERO, |since| now.since(since));
        let planned = self.planned.is_some_and(|at| now.since(at) < PLAN_PERIOD);
        if planned || waited < PLAN_DELAY || self.rate <= 0.0 {
            return Vec::new();
        }
        self.planned = Some(now);
        let rate = self.rate * router.pace();
        let mut items: Vec<Item> = self.lines.values().flat_map(Line::items).collect();
        items.sort_by_key(|item| item.key);
        let late = plan::late(now, &items, rate);
        let late: Vec<_> = late.iter().map(|item| (item.workspace, item.key)).collect();
        self.refuse(&late)
    }

    /// Returns all waiting jobs, by workspace and order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.lines.values().flat_map(|line| line.entries.values())
    }

    /// Returns whether nothing can have made room since the last pass.
    fn is_unchanged(&self, now: Millis, router: &Router) -> bool {
        let looked = self.looked.filter(|_| !self.changed);
        looked.is_some_and(|looked| {
            looked.changes == router.changes() && now.since(looked.at) < RECHECK
        })
    }

    /// Forgets that lanes are full where that may have changed.
    fn open_lanes(&mut self, now: Millis, router: &Router) {
        self.full.retain(|full| now.since(full.at) < RECHECK);
        let since = self.looked.map_or(0, |looked| looked.changes);
        let Some(changed) = router.changed_since(since) else {
            return self.full.clear();
        };
        for backend in changed {
            self.full.retain(|full| {
                let lane = router.places(full.lane);
                lane.is_some_and(|lane| lane.places().all(|place| place.backend != backend))
            });
        }
    }

    /// Forgets what is known of full lanes: credits came.
    pub fn recheck(&mut self) {
        self.full.clear();
        self.changed = true;
    }

    /// Returns the first job of each workspace, in turn: of the workspaces within
    /// the quantum the one that is due first, then of the others the one furthest
    /// behind.
    fn turns(&self, bound: f64) -> BinaryHeap<Reverse<(Turn, WorkspaceKey)>> {
        let keys = self.lines.keys();
        let turns = keys.filter_map(|&workspace| {
            let turn = self.turn(workspace, Bound::Unbounded, bound)?;
            Some(Reverse((turn, workspace)))
        });
        turns.collect()
    }

    /// Returns the turn of a workspace's first job after a key.
    fn turn(&self, workspace: WorkspaceKey, after: Bound<OrderKey>, bound: f64) -> Option<Turn> {
        let line = self.lines.get(&workspace)?;
        let (&key, _) = line.entries.range((after, Bound::Unbounded)).next()?;
        let ahead_tokens = match line.virtual_time > bound {
            true => line.virtual_time as u64,
            false => 0,
        };
        Some(Turn { ahead_tokens, key })
    }

    /// Returns the virtual time from which on a workspace is ahead.
    fn bound(&self) -> f64 {
        self.least_virtual_time().unwrap_or(0.0) + FAIR_QUANTUM_TOKENS as f64
    }

    fn take(&mut self, workspace: WorkspaceKey, key: OrderKey) -> Option<Entry> {
        let line = self.lines.get_mut(&workspace)?;
        let entry = line.entries.remove(&key)?;
        let virtual_time = line.virtual_time;
        if line.entries.is_empty() {
            self.lines.remove(&workspace);
            self.idle.insert(workspace, virtual_time);
        }
        self.len -= 1;
        self.work_ms = if self.len == 0 {
            0.0
        } else {
            self.work_ms - entry.work_ms
        };
        Some(entry)
    }

    /// Charges a workspace for a job that is sent off.
    fn charge(&mut self, entry: &Entry, weight: u32) {
        let workspace = entry.job.workspace;
        let tokens = entry.tokens as f64;
        if let Some(line) = self.lines.get_mut(&workspace) {
            line.virtual_time += tokens / f64::from(line.weight);
        } else if let Some(virtual_time) = self.idle.get_mut(&workspace) {
            *virtual_time += tokens / f64::from(weight);
        }
    }

    fn refuse(&mut self, late: &[(WorkspaceKey, OrderKey)]) -> Vec<(Entry, Refusal)> {
        let wait = self.wait().max(LOAD_RETRY);
        let text = "the answer would be late: other requests come first";
        let refusal = Refusal::not_run(Reason::DeadlineUnreachable, text).retry_after(wait);
        let taken = late
            .iter()
            .filter_map(|&(workspace, key)| self.take(workspace, key));
        taken.map(|entry| (entry, refusal.clone())).collect()
    }

    /// Measures how many whole backend servers are kept busy while jobs wait.
    fn measure(&mut self, now: Millis, router: &Router) {
        if self.len == 0 {
            self.since = None;
            self.rate = 0.0;
            self.idle.clear();
            return;
        }
        self.since.get_or_insert(now);
        if now.since(self.measured) < RATE_PERIOD && self.rate > 0.0 {
            return;
        }
        let loads = self
            .backends
            .iter()
            .filter_map(|&backend| router.load(backend));
        let busy: f64 = loads.map(|load| load.part).sum();
        let halvings = now.since(self.measured).0 as f64 / RATE_HALF_LIFE.0 as f64;
        self.measured = now;
        let least = self.least_virtual_time().unwrap_or(0.0);
        self.idle.retain(|_, virtual_time| *virtual_time > least);
        self.rate = busy + (self.rate - busy).max(0.0) * (-halvings).exp2();
    }

    /// Returns the virtual time of the waiting workspace furthest behind.
    fn least_virtual_time(&self) -> Option<f64> {
        let times = self.lines.values().map(|line| line.virtual_time);
        times.min_by(f64::total_cmp)
    }
}

impl Line {
    fn items(&self) -> impl Iterator<Item = Item> {
        self.entries.values().map(|entry| Item {
            key: entry.key(),
            workspace: entry.job.workspace,
            weight: self.weight,
            importance: entry.job.importance,
            latest: entry.latest,
            tokens: entry.tokens,
            work_ms: entry.work_ms,
        })
    }
}

/// What the jobs that found no room want, by lane.
#[derive(Debug, Default)]
struct Wants(Vec<Want>);

impl Wants {
    fn add(&mut self, now: Millis, entry: &Entry) {
        let cost = entry.job.cost(0);
        let waited = now.since(entry.job.admitted);
        let weight = u64::from(entry.job.importance) + 1;
        let known = self.0.iter().position(|want| want.lane == entry.lane);
        let index = known.unwrap_or(self.0.len());
        if known.is_none() {
            self.0.push(Want::new(entry.lane));
        }
        self.0[index].add(cost, weight, waited);
    }
}
