//! Explanations of routing decisions for operators.

use serde::Deserialize;
use serde::Serialize;

use crate::capacity::Capacity;
use crate::clock::Millis;
use crate::condition::Condition;
use crate::declaration::Limits;
use crate::declaration::Route;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::job::Job;
use crate::routing::Lane;
use crate::routing::PlacementRequest;
use crate::routing::Router;
use crate::routing::RoutingView;
use crate::routing::fits;
use crate::routing::lane::match_route;
use crate::routing::lane::serves_model;

/// The routing decision for a request, explained for each backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// The matching route, or `None` if no route matches.
    pub route: Option<String>,
    /// All backend servers: candidates by rank, then the others by name.
    pub backends: Vec<BackendOutcome>,
}

/// Why one backend server would or would not be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendOutcome {
    /// Its name.
    pub backend: String,
    /// Its failure domain.
    pub domain: String,
    /// Its condition.
    pub condition: Condition,
    /// Index, from 0, of the route's first preference that it matches; `None`
    /// if it matches none.
    pub tier: Option<usize>,
    /// The outcome for the request on this backend server.
    pub outcome: RoutingOutcome,
}

/// Outcome for a request on one backend server: its rank as a candidate, or the
/// first reason why it cannot take the request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum RoutingOutcome {
    /// It can take the request; `rank` counts from 0 over all tiers,
    /// `first_token_ms` is the predicted TTFT.
    Candidate { rank: usize, first_token_ms: Millis },
    /// It serves another model or service; `offers` is its label.
    OtherModel { offers: String },
    /// It is an engine and the request calls a plain service, or vice versa.
    OtherTarget,
    /// Operators cordoned it or its failure domain.
    Out,
    /// It is draining, or absent from the instance list.
    Leaving,
    /// No route matches the request.
    NoRoute,
    /// It matches none of the route's preferences; holds the first unmet
    /// requirement of each.
    Unmet { requirements: Vec<String> },
    /// An earlier attempt failed there.
    Excluded,
    /// No limit rule matches it.
    NoLimit,
    /// The request exceeds its warm limits.
    TooLarge { warm: Limits },
    /// Any other reason: it accepts no prompts of this length, has long prompts
    /// in prefill, runs an exclusive attempt, has too long a prefill queue, or
    /// cannot finish in time.
    Length,
    /// The free part of this instance's capacity leases on it is too small for
    /// the request.
    NoRoom { free: Limits },
}

impl Router {
    /// Explains for a job why each backend server would or would not be chosen.
    #[must_use]
    pub fn explain(
        &mut self,
        view: RoutingView<'_>,
        capacity: &Capacity,
        job: &Job,
    ) -> Explanation {
        let fleet = view.fleet;
        let found = match_route(fleet, job).map(|(_, route)| route);
        let ranked = self.rank_candidates(view, capacity, job);
        let mut backends: Vec<(usize, BackendOutcome)> = Vec::new();
        for (key, backend) in fleet.backends() {
            let rank = ranked.iter().position(|&(candidate, _)| candidate == key);
            let outcome = match rank {
                Some(rank) => RoutingOutcome::Candidate {
                    rank,
                    first_token_ms: ranked[rank].1,
                },
                None => self.rejection_reason(view, capacity, job, found, key),
            };
            let entry = BackendOutcome {
                backend: backend.name.clone(),
                domain: fleet.domain(backend.domain).name.clone(),
                condition: view.conditions.condition(fleet, key),
                tier: found.and_then(|route| self.preference_index(fleet, route, key)),
                outcome,
            };
            backends.push((rank.unwrap_or(usize::MAX), entry));
        }
        backends.sort_by(|a, b| (a.0, &a.1.backend).cmp(&(b.0, &b.1.backend)));
        Explanation {
            route: found.map(|route| route.name.clone()),
            backends: backends.into_iter().map(|(_, entry)| entry).collect(),
        }
    }

    /// Returns the backend servers that can take the job, best first, with the
    /// predicted TTFT.
    fn rank_candidates(
        &mut self,
        view: RoutingView<'_>,
        capacity: &Capacity,
        job: &Job,
    ) -> Vec<(BackendKey, Millis)> {
        let Some(lane) = self.find_lane_key(view.fleet, job) else {
            return Vec::new();
        };
        let request = PlacementRequest {
            job,
            lane,
            urgent: false,
            reserved: &[],
        };
        let tiers = self.get_lane(lane).map_or(0, |lane| lane.tiers.len());
        (0..tiers)
            .flat_map(|tier| self.rank_tier(view, capacity, request, tier).0)
            .map(|(key, attempt)| (key, attempt.predicted.ttft))
            .collect()
    }

    /// Returns the index of the route's first preference that a backend server
    /// matches.
    fn preference_index(&self, fleet: &Fleet, route: &Route, key: BackendKey) -> Option<usize> {
        route.prefer.iter().position(|selector| {
            selector.matches(|label| fleet.backend_label(key, self.local_domain, label))
        })
    }

    /// Returns the first reason why a backend server cannot take the job.
    fn rejection_reason(
        &mut self,
        view: RoutingView<'_>,
        capacity: &Capacity,
        job: &Job,
        route: Option<&Route>,
        key: BackendKey,
    ) -> RoutingOutcome {
        let fleet = view.fleet;
        let backend = fleet.backend(key);
        let Some(route) = route else {
            return RoutingOutcome::NoRoute;
        };
        if backend.target != job.target {
            return RoutingOutcome::OtherTarget;
        }
        if !serves_model(backend, job) {
            let label = ["model", "service"]
                .iter()
                .find_map(|label| backend.labels.get(*label));
            let offers = label.cloned().unwrap_or_default();
            return RoutingOutcome::OtherModel { offers };
        }
        match view.conditions.condition(fleet, key) {
            Condition::Out => return RoutingOutcome::Out,
            Condition::Leaving => return RoutingOutcome::Leaving,
            Condition::Cold { .. } | Condition::Warm | Condition::Silent => {}
        }
        if self.preference_index(fleet, route, key).is_none() {
            let lookup = |label: &str| fleet.backend_label(key, self.local_domain, label);
            let unmet = route
                .prefer
                .iter()
                .map(|selector| selector.first_unmet(lookup));
            let requirements = unmet.flatten().collect();
            return RoutingOutcome::Unmet { requirements };
        }
        if job.excluded.contains(&key) {
            return RoutingOutcome::Excluded;
        }
        let Some(rule) = &backend.limit_rule else {
            return RoutingOutcome::NoLimit;
        };
        let cost = job.cost(0);
        let fits_warm = Lane::fits_limits(rule.warm, cost);
        if !fits_warm {
            return RoutingOutcome::TooLarge { warm: rule.warm };
        }
        let free = capacity.available(view.now, fleet, view.conditions, key);
        match fits(free, cost) {
            true => RoutingOutcome::Length,
            false => RoutingOutcome::NoRoom { free },
        }
    }
}
