//! Declared ranks of the requests to one service, and how often each rank is
//! placed.
//!
//! A rank matters only where the routes or workspaces of one service declare
//! different ones. There, a less urgent rank must not be served more often than
//! a more urgent one: while this instance refuses some of the urgent rank, it
//! admits the same share of the less urgent one, and holds the others back.
//!
//! Intended for services whose many short, urgent requests find no slot while
//! fewer long ones still find an engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::gateway::route::RouteTable;

/// Default priority at engines, the middle of their scale; 0 comes first.
pub const DEFAULT_ENGINE_PRIORITY: u8 = 5;
/// Lowest priority at engines.
const LAST_ENGINE_PRIORITY: usize = 9;
/// Time constant of the average of how often a rank is placed.
const WINDOW: Millis = Millis(4_000);
/// Amount by which a less urgent rank may be placed more often.
const TOLERANCE: f64 = 0.03;
/// Number of recent requests of a rank below which it says nothing.
const MIN_REQUESTS: f64 = 4.0;

/// Ranks that the requests to each service can have.
#[derive(Debug, Default)]
pub struct Ranks {
    by_service: HashMap<String, BTreeSet<u8>>,
}

impl Ranks {
    /// Collects the ranks that a configuration declares. The rank of a workspace
    /// takes precedence over those of routes.
    #[must_use]
    pub fn new(table: &RouteTable) -> Ranks {
        let mut by_service: HashMap<String, BTreeSet<u8>> = HashMap::new();
        for route in table.hosts.values().flatten() {
            for (service, _) in &route.weighted_services {
                let ranks = by_service.entry(service.clone()).or_default();
                ranks.insert(route.priority);
            }
        }
        let workspaces = table.keys.iter().flat_map(HashMap::values);
        let declared: BTreeSet<u8> = workspaces.filter_map(|known| known.priority).collect();
        for ranks in by_service.values_mut() {
            ranks.extend(&declared);
        }
        Ranks { by_service }
    }

    /// Returns whether the requests to a service have different ranks.
    #[must_use]
    pub fn are_declared(&self, service: &str) -> bool {
        self.by_service
            .get(service)
            .is_some_and(|ranks| ranks.len() > 1)
    }

    /// Returns the priority at engines of a rank: the default if the service has
    /// only one, and the ranks around it otherwise.
    #[must_use]
    pub fn engine_priority(&self, service: &str, rank: u8) -> u8 {
        let Some(ranks) = self.by_service.get(service).filter(|ranks| ranks.len() > 1) else {
            return DEFAULT_ENGINE_PRIORITY;
        };
        let above = ranks.iter().filter(|known| **known < rank).count();
        let first = usize::from(DEFAULT_ENGINE_PRIORITY).saturating_sub(ranks.len() / 2);
        let priority = (first + above).min(LAST_ENGINE_PRIORITY);
        u8::try_from(priority).unwrap_or(DEFAULT_ENGINE_PRIORITY)
    }
}

/// Recent requests of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    placed: f64,
    refused: f64,
    at: Millis,
}

impl Recent {
    fn advance(&mut self, now: Millis) {
        let decay = (-(now.since(self.at).0 as f64) / WINDOW.0 as f64).exp();
        self.placed *= decay;
        self.refused *= decay;
        self.at = now;
    }

    /// Returns the share of requests that were placed; `None` if there were few.
    fn placed_share(&self, now: Millis) -> Option<f64> {
        let mut recent = *self;
        recent.advance(now);
        let all = recent.placed + recent.refused;
        (all >= MIN_REQUESTS).then(|| recent.placed / all)
    }

    /// Returns the share of requests that find room, which is 1 until some do not.
    fn room_share(&self, now: Millis) -> f64 {
        let mut recent = *self;
        recent.advance(now);
        (recent.placed + 1.0) / (recent.placed + recent.refused + 1.0)
    }
}

/// How often the requests of each rank are placed, by service.
#[derive(Debug, Default)]
pub struct RankLedger {
    services: HashMap<String, BTreeMap<u8, Recent>>,
}

impl RankLedger {
    /// Records that a request was sent to a backend server.
    pub fn record_placed(&mut self, now: Millis, service: &str, rank: u8) {
        self.recent(now, service, rank).placed += 1.0;
    }

    /// Records that a request was refused for lack of room, not those that were held
    /// back.
    pub fn record_refused(&mut self, now: Millis, service: &str, rank: u8) {
        self.recent(now, service, rank).refused += 1.0;
    }

    fn recent(&mut self, now: Millis, service: &str, rank: u8) -> &mut Recent {
        let ranks = self.services.entry(service.to_owned()).or_default();
        let recent = ranks.entry(rank).or_default();
        recent.advance(now);
        recent
    }

    /// Returns the share of a rank's requests that may be placed, so that they are
    /// served no more often than those of any more urgent rank.
    #[must_use]
    pub fn admitted_share(&self, now: Millis, service: &str, rank: u8) -> f64 {
        let Some(ranks) = self.services.get(service) else {
            return 1.0;
        };
        let own = ranks.get(&rank).copied().unwrap_or_default();
        let urgent = ranks.range(..rank);
        let least = urgent
            .filter_map(|(_, recent)| recent.placed_share(now))
            .fold(1.0, f64::min);
        // Some of those that are admitted find no room all the same.
        ((least + TOLERANCE) / own.room_share(now)).min(1.0)
    }

    /// Keeps the services of the configuration in force only.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_kept(service));
    }
}
