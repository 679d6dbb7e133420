//! Which backend servers a request may go to, and which of them it gets.

use super::Core;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::lanes::Lane;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Choice;
use crate::gateway::placement::Prompt;
use crate::gateway::roster::ServerKey;
use crate::gateway::roster::id_hash;
use crate::gateway::route::RouteTable;
use crate::gateway::shares::cold_share;

/// Why a backend server gets nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exclusion {
    /// It is leaving.
    Draining,
    /// Operators have taken its failure domain out.
    DomainOut,
    /// It failed lately.
    Avoided,
    /// It has had this request already.
    Tried,
}

impl Core {
    /// Returns why a backend server of the request's service gets nothing, if so.
    fn exclusion(&self, now: Millis, request: &Request, key: ServerKey) -> Option<Exclusion> {
        let server = self.roster.get(key);
        if server.entry.draining {
            return Some(Exclusion::Draining);
        }
        if self.domains_out.contains(&server.entry.domain) {
            return Some(Exclusion::DomainOut);
        }
        if self.health.avoided(now, key) {
            return Some(Exclusion::Avoided);
        }
        request.tried.contains(&key).then_some(Exclusion::Tried)
    }

    /// Returns whether a backend server may get the request.
    fn usable(&self, now: Millis, request: &Request, key: ServerKey) -> bool {
        self.roster.get(key).entry.service == request.service
            && self.exclusion(now, request, key).is_none()
    }

    /// Returns why each backend server of the request's service gets nothing,
    /// for the log.
    pub(super) fn describe_exclusions(&self, now: Millis, request: &Request) -> String {
        let texts: Vec<String> = self
            .roster
            .listed()
            .filter(|(_, server)| server.entry.service == request.service)
            .map(|(key, server)| {
                let cause = self.exclusion(now, request, key);
                format!("{}:{cause:?}", server.entry.id)
            })
            .collect();
        texts.join(",")
    }

    /// Returns whether a cold server's rate leaves room; warm ones always have.
    fn within_cold_rate(&self, now: Millis, table: &RouteTable, key: ServerKey) -> bool {
        let server = self.roster.get(key);
        let rate = table
            .services
            .get(&server.entry.service)
            .map_or(0.0, |service| service.cold_rate);
        if rate <= 0.0 || now >= server.cold_until {
            return true;
        }
        let hash = id_hash(&server.entry.id);
        let share = cold_share(rate, self.instances.count(), &self.me.name, hash);
        self.cold.allows(now, key, share)
    }

    pub(super) fn choose_engines(
        &self,
        now: Millis,
        table: &RouteTable,
        request: &Request,
        prompt: &Prompt,
    ) -> Option<Choice> {
        let mut candidates = Vec::new();
        for (key, server) in self.roster.listed() {
            let Some(load) = self.standing.engine(key) else {
                continue;
            };
            if !self.usable(now, request, key) {
                continue;
            }
            let warm = now >= server.cold_until;
            candidates.push(Candidate {
                key,
                load,
                far: server.entry.domain != self.me.domain,
                may_write: warm || self.within_cold_rate(now, table, key),
                may_help: warm,
                lane: Lane::Long,
                short_rate: 0.0,
            });
        }
        self.assign_lanes(now, &request.service, &mut candidates);
        placement::place(now, prompt, &candidates)
    }

    /// Keeps the first engines, in an order that all instances share, for short
    /// prompts.
    fn assign_lanes(&self, now: Millis, service: &str, candidates: &mut [Candidate<'_>]) {
        candidates.sort_by_key(|candidate| id_hash(&self.roster.get(candidate.key).entry.id));
        let Some(demand) = self.standing.demand(service) else {
            return;
        };
        let short = demand.short_engines(now, candidates.len());
        let rate = demand.short_rate(now) / short.max(1) as f64;
        for candidate in &mut candidates[..short] {
            candidate.lane = Lane::Short;
            candidate.short_rate = rate;
        }
    }

    /// Chooses the plain server with the fewest calls for its slots.
    pub(super) fn choose_server(
        &self,
        now: Millis,
        table: &RouteTable,
        request: &Request,
    ) -> Option<ServerKey> {
        let fullness = |key: ServerKey| {
            let server = self.roster.get(key);
            let far = server.entry.domain != self.me.domain;
            let calls = self.standing.calls(key) as f64 / f64::from(server.entry.slots.max(1));
            (calls, far)
        };
        self.roster
            .listed()
            .map(|(key, _)| key)
            .filter(|&key| self.usable(now, request, key))
            .filter(|&key| self.within_cold_rate(now, table, key))
            .min_by(|&a, &b| {
                fullness(a)
                    .partial_cmp(&fullness(b))
                    .unwrap_or(std::cmp::Ordering::Equal)
            })
    }
}
