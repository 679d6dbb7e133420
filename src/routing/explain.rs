//! Explanation of a routing decision, for operators.

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
use crate::routing::Ask;
use crate::routing::Lane;
use crate::routing::Router;
use crate::routing::View;
use crate::routing::fits;
use crate::routing::lane::offers;
use crate::routing::lane::route;

/// Why a request would go where it goes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// The route that matches; none: no route does.
    pub route: Option<String>,
    /// Each backend server, those that would be taken first.
    pub backends: Vec<BackendOutcome>,
}

/// Why one backend server would or would not be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendOutcome {
    /// Its name.
    pub backend: String,
    /// Its failure domain.
    pub domain: String,
    /// Its condition.
    pub condition: Condition,
    /// The preference of the route that it matches, from 0.
    pub tier: Option<usize>,
    /// What would become of the request there.
    pub outcome: Outcome,
}

/// What would become of a request on one backend server, the first reason
/// against it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// It would be taken; `rank` counts from 0 over all tiers.
    Candidate { rank: usize, first_token_ms: Millis },
    /// It serves another model or service; `offers` is its label.
    OtherModel { offers: String },
    /// It is an engine and the request wants a service, or the other way round.
    OtherTarget,
    /// Operators took it or its failure domain out.
    Out,
    /// It is leaving, or gone from the instance list.
    Leaving,
    /// No route matches the request.
    NoRoute,
    /// The first unmet requirement of each of the route's preferences.
    Unmet { requirements: Vec<String> },
    /// An earlier attempt failed there.
    Excluded,
    /// No limit rule matches it.
    NoLimit,
    /// The request is larger than its warm limit.
    TooLarge { warm: Limits },
    /// It is kept free of prompts of this length, or processes long ones.
    Length,
    /// No room under the credits that this instance holds.
    NoRoom { free: Limits },
}

impl Router {
    /// Explains for a job why each backend server would or would not be taken.
    #[must_use]
    pub fn explain(&mut self, view: View<'_>, capacity: &Capacity, job: &Job) -> Explanation {
        let fleet = view.fleet;
        let found = route(fleet, job).map(|(_, route)| route);
        let ranked = self.ranked(view, capacity, job);
        let mut backends: Vec<(usize, BackendOutcome)> = Vec::new();
        for (key, backend) in fleet.backends() {
            let rank = ranked.iter().position(|&(candidate, _)| candidate == key);
            let outcome = match rank {
                Some(rank) => Outcome::Candidate {
                    rank,
                    first_token_ms: ranked[rank].1,
                },
                None => self.obstacle(view, capacity, job, found, key),
            };
            let entry = BackendOutcome {
                backend: backend.name.clone(),
                domain: fleet.domain(backend.domain).name.clone(),
                condition: view.conditions.condition(fleet, key),
                tier: found.and_then(|route| self.tier(fleet, route, key)),
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

    /// Returns the backend servers with room in the order of choice, with the
    /// predicted first token.
    fn ranked(
        &mut self,
        view: View<'_>,
        capacity: &Capacity,
        job: &Job,
    ) -> Vec<(BackendKey, Millis)> {
        let Some(lane) = self.lane(view.fleet, job) else {
            return Vec::new();
        };
        let ask = Ask {
            job,
            lane,
            pressed: false,
            kept: &[],
        };
        let tiers = self.places(lane).map_or(0, |lane| lane.tiers.len());
        (0..tiers)
            .flat_map(|tier| self.rank_tier(view, capacity, ask, tier).0)
            .map(|(key, flight)| (key, flight.predicted.first_token))
            .collect()
    }

    /// Returns the first preference of a route that a backend server matches.
    fn tier(&self, fleet: &Fleet, route: &Route, key: BackendKey) -> Option<usize> {
        route.prefer.iter().position(|selector| {
            selector.matches(|label| fleet.backend_label(key, self.local, label))
        })
    }

    /// Returns the first reason against a backend server.
    fn obstacle(
        &mut self,
        view: View<'_>,
        capacity: &Capacity,
        job: &Job,
        route: Option<&Route>,
        key: BackendKey,
    ) -> Outcome {
        let fleet = view.fleet;
        let backend = fleet.backend(key);
        let Some(route) = route else {
            return Outcome::NoRoute;
        };
        if backend.target != job.target {
            return Outcome::OtherTarget;
        }
        if !offers(backend, job) {
            let label = ["model", "service"]
                .iter()
                .find_map(|label| backend.labels.get(*label));
            let offers = label.cloned().unwrap_or_default();
            return Outcome::OtherModel { offers };
        }
        match view.conditions.condition(fleet, key) {
            Condition::Out => return Outcome::Out,
            Condition::Leaving => return Outcome::Leaving,
            Condition::Cold { .. } | Condition::Warm | Condition::Silent => {}
        }
        if self.tier(fleet, route, key).is_none() {
            let lookup = |label: &str| fleet.backend_label(key, self.local, label);
            let unmet = route
                .prefer
                .iter()
                .map(|selector| selector.first_unmet(lookup));
            let requirements = unmet.flatten().collect();
            return Outcome::Unmet { requirements };
        }
        if job.excluded.contains(&key) {
            return Outcome::Excluded;
        }
        let Some(rule) = &backend.limit else {
            return Outcome::NoLimit;
        };
        let cost = job.cost(0);
        let warm = Lane::bears(rule.warm, cost);
        if !warm {
            return Outcome::TooLarge { warm: rule.warm };
        }
        let free = capacity.available(view.now, fleet, view.conditions, key);
        match fits(free, cost) {
            true => Outcome::Length,
            false => Outcome::NoRoom { free },
        }
    }
}
