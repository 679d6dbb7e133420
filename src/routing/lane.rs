//! Lanes: for each route and model (or plain service), the backend servers that
//! may serve matching requests.
//!
//! A lane is built once and cached until the declarations or the instance list
//! change, so that requests are not matched against the whole fleet.

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

/// Key of a lane, valid until the fleet changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneKey(usize);

/// A backend server in a lane.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LaneBackend {
    /// The backend server.
    pub backend: BackendKey,
    /// Hash of its name.
    pub hash: u64,
    /// Its relative size: the warm memory limit, or the warm stream limit if
    /// memory is not limited.
    pub weight: f64,
    /// Its rank among the lane's backend servers in its failure domain; the
    /// lowest ranks accept long prompts, see
    /// [`LengthSplit::accepts_long`](super::LengthSplit::accepts_long).
    pub domain_rank: usize,
    /// Number of the lane's backend servers in its failure domain.
    pub domain_size: usize,
}

/// The backend servers of one route and model.
#[derive(Debug, Default)]
pub struct Lane {
    /// Tiers of backend servers, in the order of the operators' preferences.
    pub tiers: Vec<Vec<LaneBackend>>,
    /// Distinct warm limits of its backend servers.
    pub warm_limits: Vec<Limits>,
}

impl Lane {
    /// Returns all backend servers, best tier first.
    pub fn backends(&self) -> impl Iterator<Item = &LaneBackend> {
        self.tiers.iter().flatten()
    }

    /// Returns the number of backend servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tiers.iter().map(Vec::len).sum()
    }

    /// Returns whether the lane has no backend server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether all backend servers of the lane are excluded for the
    /// job.
    #[must_use]
    pub fn all_excluded(&self, job: &Job) -> bool {
        self.backends()
            .all(|server| job.excluded.contains(&server.backend))
    }

    /// Returns whether the job fits into the warm limits of one backend server.
    #[must_use]
    pub fn fits_one_backend(&self, job: &Job) -> bool {
        let cost = job.cost(0);
        self.warm_limits
            .iter()
            .any(|&warm| Lane::fits_limits(warm, cost))
    }

    /// Returns whether a cost fits into these limits with nothing else in
    /// flight; 0 means no limit.
    #[must_use]
    pub fn fits_limits(limits: Limits, cost: Cost) -> bool {
        (limits.memory_tokens == 0 || cost.memory_tokens <= limits.memory_tokens)
            && (limits.prefill_tokens == 0 || cost.prefill_tokens <= limits.prefill_tokens)
    }
}

/// All lanes used since the fleet last changed.
#[derive(Debug, Default)]
pub struct Lanes {
    generation: u64,
    /// Lane keys by route index; each with the target and the model or plain
    /// service.
    keys_by_route: HashMap<usize, Vec<(Target, String, LaneKey)>>,
    lanes: Vec<Lane>,
}

impl Lanes {
    /// Returns the lane of a job, or `None` if no route matches.
    pub fn find(&mut self, fleet: &Fleet, local: DomainKey, job: &Job) -> Option<LaneKey> {
        if self.generation != fleet.generation() {
            self.generation = fleet.generation();
            self.keys_by_route.clear();
            self.lanes.clear();
        }
        let (index, route) = match_route(fleet, job)?;
        let keys = self.keys_by_route.entry(index).or_default();
        let known = keys
            .iter()
            .find(|(target, model, _)| *target == job.target && *model == job.model);
        if let Some((_, _, key)) = known {
            return Some(*key);
        }
        let key = LaneKey(self.lanes.len());
        keys.push((job.target, job.model.clone(), key));
        self.lanes.push(build_lane(fleet, local, route, job));
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
pub fn match_route<'a>(fleet: &'a Fleet, job: &Job) -> Option<(usize, &'a Route)> {
    let kind = fleet.kind(job.kind);
    let workspace = fleet.workspace(job.workspace);
    let lookup = |label: &str| match label {
        "kind" => Some(kind.name.as_str()),
        "workspace" => Some(workspace.name.as_str()),
        "model" => Some(job.model.as_str()),
        "length" => Some(job.length_class().as_str()),
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

/// Returns whether a backend server serves the job's model, or is the plain
/// service that the job calls.
#[must_use]
pub fn serves_model(backend: &Backend, job: &Job) -> bool {
    let label = match backend.target {
        Target::Engine => "model",
        Target::Service => "service",
    };
    let names = backend.labels.get(label).map_or("", String::as_str);
    backend.target == job.target && names.split(',').any(|name| name.trim() == job.model)
}

/// Builds the lane of a route and the job's model.
fn build_lane(fleet: &Fleet, local: DomainKey, route: &Route, job: &Job) -> Lane {
    let mut usable: Vec<BackendKey> = fleet
        .backends()
        .filter(|(key, backend)| fleet.in_service(*key) && serves_model(backend, job))
        .map(|(key, _)| key)
        .collect();
    let mut lane = Lane::default();
    for selector in &route.prefer {
        let (tier, rest) = usable.into_iter().partition::<Vec<_>, _>(|&key| {
            selector.matches(|label| fleet.backend_label(key, local, label))
        });
        usable = rest;
        lane.tiers.push(
            tier.into_iter()
                .map(|key| lane_backend(fleet, key))
                .collect(),
        );
    }
    let mut warm_limits = Vec::new();
    for server in lane.backends() {
        match &fleet.backend(server.backend).limit_rule {
            Some(rule) if !warm_limits.contains(&rule.warm) => warm_limits.push(rule.warm),
            _ => {}
        }
    }
    lane.warm_limits = warm_limits;
    rank_by_domain(fleet, &mut lane);
    lane
}

fn lane_backend(fleet: &Fleet, key: BackendKey) -> LaneBackend {
    let backend = fleet.backend(key);
    let warm = backend.limit_rule.as_ref().map(|rule| rule.warm);
    let weight = warm.map_or(1, |warm| match warm.memory_tokens {
        0 => u64::from(warm.streams),
        tokens => tokens,
    });
    LaneBackend {
        backend: key,
        hash: xxh3_64(backend.name.as_bytes()),
        weight: weight.max(1) as f64,
        domain_rank: 0,
        domain_size: 0,
    }
}

/// Ranks the backend servers of each failure domain by the hashes of their
/// names, so that all instances agree on the ranks.
fn rank_by_domain(fleet: &Fleet, lane: &mut Lane) {
    let mut hashes_by_domain: HashMap<DomainKey, Vec<u64>> = HashMap::new();
    for server in lane.backends() {
        let domain = fleet.backend(server.backend).domain;
        hashes_by_domain
            .entry(domain)
            .or_default()
            .push(server.hash);
    }
    for hashes in hashes_by_domain.values_mut() {
        hashes.sort_unstable();
    }
    for server in lane.tiers.iter_mut().flatten() {
        let hashes = &hashes_by_domain[&fleet.backend(server.backend).domain];
        server.domain_rank = hashes.partition_point(|&hash| hash < server.hash);
        server.domain_size = hashes.len();
    }
}
