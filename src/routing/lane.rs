//! Lanes: for each route and model, the backend servers that may serve it.
//!
//! A lane is worked out once and kept until the declarations or the instance
//! list change, so that no request is matched against the whole fleet.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::declaration::Limits;
use crate::declaration::Route;
use crate::declaration::Target;
use crate::fleet::Backend;
use crate::fleet::BackendKey;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::job::Cost;
use crate::job::Job;

/// Key of a lane, until the fleet changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneKey(usize);

/// A backend server in a lane.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place {
    /// The backend server.
    pub backend: BackendKey,
    /// Hash of its name.
    pub hash: u64,
    /// Its size relative to others: memory, or streams where memory has no
    /// limit.
    pub weight: f64,
    /// Its rank among the lane's backend servers of its failure domain; the
    /// first ranks take long prompts.
    pub rank: usize,
    /// How many of the lane's backend servers stand in its failure domain.
    pub group: usize,
}

/// The backend servers of one route and model.
#[derive(Debug, Default)]
pub struct Lane {
    /// In order of the operators' preference.
    pub tiers: Vec<Vec<Place>>,
    /// What its backend servers bear when warm, each value once.
    pub warm: Vec<Limits>,
}

impl Lane {
    /// Returns all places, best tier first.
    pub fn places(&self) -> impl Iterator<Item = &Place> {
        self.tiers.iter().flatten()
    }

    /// Returns how many backend servers the lane has.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tiers.iter().map(Vec::len).sum()
    }

    /// Returns whether the lane has no backend server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether all backend servers of the lane are excluded for the job.
    #[must_use]
    pub fn is_exhausted(&self, job: &Job) -> bool {
        self.places()
            .all(|place| job.excluded.contains(&place.backend))
    }

    /// Returns whether one warm backend server can hold the job.
    #[must_use]
    pub fn holds(&self, job: &Job) -> bool {
        let cost = job.cost(0);
        self.warm.iter().any(|&warm| Lane::bears(warm, cost))
    }

    /// Returns whether a backend server with these limits and nothing in flight
    /// can hold the cost.
    #[must_use]
    pub fn bears(limits: Limits, cost: Cost) -> bool {
        (limits.memory_tokens == 0 || cost.memory_tokens <= limits.memory_tokens)
            && (limits.prefill_tokens == 0 || cost.prefill_tokens <= limits.prefill_tokens)
    }
}

/// All lanes that were asked for since the fleet changed.
#[derive(Debug, Default)]
pub struct Lanes {
    generation: u64,
    keys: HashMap<usize, Vec<(Target, String, LaneKey)>>,
    lanes: Vec<Lane>,
}

impl Lanes {
    /// Returns the lane of a job; none if no route matches.
    pub fn find(&mut self, fleet: &Fleet, local: DomainKey, job: &Job) -> Option<LaneKey> {
        if self.generation != fleet.generation() {
            self.generation = fleet.generation();
            self.keys.clear();
            self.lanes.clear();
        }
        let (index, route) = route(fleet, job)?;
        let keys = self.keys.entry(index).or_default();
        let known = keys
            .iter()
            .find(|(target, model, _)| *target == job.target && *model == job.model);
        if let Some((_, _, key)) = known {
            return Some(*key);
        }
        let key = LaneKey(self.lanes.len());
        keys.push((job.target, job.model.clone(), key));
        self.lanes.push(build(fleet, local, route, job));
        Some(key)
    }

    /// Returns a lane.
    #[must_use]
    pub fn get(&self, key: LaneKey) -> Option<&Lane> {
        self.lanes.get(key.0)
    }
}

/// Returns the first route that matches the job, with its index.
#[must_use]
pub fn route<'a>(fleet: &'a Fleet, job: &Job) -> Option<(usize, &'a Route)> {
    let kind = fleet.kind(job.kind);
    let workspace = fleet.workspace(job.workspace);
    let lookup = |label: &str| match label {
        "kind" => Some(kind.name.as_str()),
        "workspace" => Some(workspace.name.as_str()),
        "model" => Some(job.model.as_str()),
        "length" => Some(job.length().as_str()),
        _ => kind
            .labels
            .get(label)
            .or_else(|| workspace.labels.get(label))
            .map(String::as_str),
    };
    let routes = fleet.declaration().routes.iter().enumerate();
    let mut matching = routes.filter(|(_, route)| route.matches.matches(lookup));
    matching.next()
}

/// Returns whether a backend server has the job's model or is its service.
#[must_use]
pub fn offers(backend: &Backend, job: &Job) -> bool {
    let label = match backend.target {
        Target::Engine => "model",
        Target::Service => "service",
    };
    let offered = backend.labels.get(label).map_or("", String::as_str);
    backend.target == job.target && offered.split(',').any(|name| name.trim() == job.model)
}

/// Works out the lane of a route and the job's model.
fn build(fleet: &Fleet, local: DomainKey, route: &Route, job: &Job) -> Lane {
    let mut able: Vec<BackendKey> = fleet
        .backends()
        .filter(|(key, backend)| fleet.in_service(*key) && offers(backend, job))
        .map(|(key, _)| key)
        .collect();
    let mut lane = Lane::default();
    for selector in &route.prefer {
        let (tier, rest) = able.into_iter().partition::<Vec<_>, _>(|&key| {
            selector.matches(|label| fleet.backend_label(key, local, label))
        });
        able = rest;
        lane.tiers
            .push(tier.into_iter().map(|key| place(fleet, key)).collect());
    }
    let mut warm = Vec::new();
    for place in lane.places() {
        match &fleet.backend(place.backend).limit {
            Some(rule) if !warm.contains(&rule.warm) => warm.push(rule.warm),
            _ => {}
        }
    }
    lane.warm = warm;
    rank(fleet, &mut lane);
    lane
}

fn place(fleet: &Fleet, key: BackendKey) -> Place {
    let backend = fleet.backend(key);
    let warm = backend.limit.as_ref().map(|rule| rule.warm);
    let weight = warm.map_or(1, |warm| match warm.memory_tokens {
        0 => u64::from(warm.streams),
        tokens => tokens,
    });
    Place {
        backend: key,
        hash: xxh3_64(backend.name.as_bytes()),
        weight: weight.max(1) as f64,
        rank: 0,
        group: 0,
    }
}

/// Ranks the places of each failure domain by the hash of their names, so that
/// all instances agree on the ranks.
fn rank(fleet: &Fleet, lane: &mut Lane) {
    let mut groups: HashMap<DomainKey, Vec<u64>> = HashMap::new();
    for place in lane.places() {
        let domain = fleet.backend(place.backend).domain;
        groups.entry(domain).or_default().push(place.hash);
    }
    for hashes in groups.values_mut() {
        hashes.sort_unstable();
    }
    for place in lane.tiers.iter_mut().flatten() {
        let hashes = &groups[&fleet.backend(place.backend).domain];
        place.rank = hashes.partition_point(|&hash| hash < place.hash);
        place.group = hashes.len();
    }
}
