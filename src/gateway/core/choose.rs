//! Selection of the backend server for a request.

use super::Core;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::lanes::Lane;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Placement;
use crate::gateway::placement::Prompt;
use crate::gateway::route::RouteTable;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::id_hash;
use crate::gateway::shares::cold_share;

/// Reason why a backend server is not eligible for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exclusion {
    /// The server is draining.
    Draining,
    /// The server said that it is leaving.
    Leaving,
    /// The server's entry has lapsed and not returned in time.
    Left,
    /// Operators have cordoned the server's failure domain.
    DomainOut,
    /// No server of the service is reached.
    LinkLost,
    /// The server failed recently.
    Avoided,
    /// The server asked this instance for a pause.
    Paused,
    /// The rate limit that the server names allows no request of this instance
    /// now.
    RateLimited,
    /// An earlier attempt of the request went to the server, even if nothing
    /// was sent.
    Tried,
}

impl Core {
    /// Returns why a backend server is not eligible for the request, or `None`
    /// if it is.
    fn exclusion(&self, now: Millis, request: &Request, key: ServerKey) -> Option<Exclusion> {
        let exclusion = self.exclusion_by_condition(now, request, key);
        exclusion.or_else(|| {
            if self.pause_left(now, key) > Millis::ZERO {
                return Some(Exclusion::Paused);
            }
            let waits = self.rate_limit_wait(now, key) > Millis::ZERO;
            waits.then_some(Exclusion::RateLimited)
        })
    }

    /// Returns the time until the request may be sent to a server, if the pauses
    /// and rate limits that servers ask for are all that keeps it from being sent.
    pub(super) fn wait_asked_for(&self, now: Millis, request: &Request) -> Option<Millis> {
        let mut shortest = None;
        for (key, server) in self.server_table.listed() {
            if server.entry.service != request.service {
                continue;
            }
            match self.exclusion(now, request, key) {
                None | Some(Exclusion::LinkLost | Exclusion::Avoided) => return None,
                Some(Exclusion::Paused | Exclusion::RateLimited) => {
                    let wait = self
                        .pause_left(now, key)
                        .max(self.rate_limit_wait(now, key));
                    shortest = Some(shortest.map_or(wait, |shortest: Millis| shortest.min(wait)));
                }
                Some(
                    Exclusion::Draining
                    | Exclusion::Leaving
                    | Exclusion::Left
                    | Exclusion::DomainOut
                    | Exclusion::Tried,
                ) => {}
            }
        }
        shortest
    }

    /// Returns why a backend server is not eligible for the request, whatever
    /// pause or rate limit it asks for.
    fn exclusion_by_condition(
        &self,
        now: Millis,
        request: &Request,
        key: ServerKey,
    ) -> Option<Exclusion> {
        let server = self.server_table.get(key);
        if server.entry.draining {
            return Some(Exclusion::Draining);
        }
        if self.leaving_servers.contains(&key) {
            return Some(Exclusion::Leaving);
        }
        if self.has_left(now, &server.entry.id) {
            return Some(Exclusion::Left);
        }
        if self.cordoned_domains.contains(&server.entry.domain) {
            return Some(Exclusion::DomainOut);
        }
        if self.links.is_lost(&server.entry.service) {
            return Some(Exclusion::LinkLost);
        }
        if self.health.is_avoided(now, key) {
            return Some(Exclusion::Avoided);
        }
        request
            .tried_servers
            .contains(&key)
            .then_some(Exclusion::Tried)
    }

    /// Returns whether a backend server serves the request's service and is
    /// eligible.
    pub(super) fn is_usable(&self, now: Millis, request: &Request, key: ServerKey) -> bool {
        self.server_table.get(key).entry.service == request.service
            && self.exclusion(now, request, key).is_none()
    }

    /// Lists all backend servers of the request's service with their
    /// exclusions, for the log.
    pub(super) fn describe_exclusions(&self, now: Millis, request: &Request) -> String {
        let texts: Vec<String> = self
            .server_table
            .listed()
            .filter(|(_, server)| server.entry.service == request.service)
            .map(|(key, server)| {
                let cause = self.exclusion(now, request, key);
                format!("{}:{cause:?}", server.entry.id)
            })
            .collect();
        texts.join(",")
    }

    /// Returns whether this instance's share of a cold server's rate limit
    /// allows one more request. Warm servers have no such limit.
    pub(super) fn has_cold_capacity(
        &self,
        now: Millis,
        routes: &RouteTable,
        key: ServerKey,
    ) -> bool {
        let server = self.server_table.get(key);
        let rate = routes
            .services
            .get(&server.entry.service)
            .map_or(0.0, |service| service.cold_requests_per_s);
        if rate <= 0.0 || now >= server.cold_until {
            return true;
        }
        let hash = id_hash(&server.entry.id);
        let share = cold_share(rate, self.instances.known_count(), &self.local.name, hash);
        self.cold_shares.allows(now, key, share)
    }

    /// Returns the cheapest placement of a prompt on the eligible engines.
    pub(super) fn choose_engines(
        &self,
        now: Millis,
        routes: &RouteTable,
        request: &Request,
        prompt: &Prompt,
    ) -> Option<Placement> {
        let reserved_slots = self.slots_kept_from(now, request);
        let mut candidates = Vec::new();
        for (key, server) in self.server_table.listed() {
            let Some(load) = self.fleet_load.engine(key) else {
                continue;
            };
            if !self.is_usable(now, request, key) {
                continue;
            }
            let warm = now >= server.cold_until;
            candidates.push(Candidate {
                key,
                load,
                cross_domain: server.entry.domain != self.local.domain,
                can_be_primary: (warm || self.has_cold_capacity(now, routes, key))
                    && load.request_count() + reserved_slots < load.spec().slots as usize,
                can_help: warm && self.rate_limits.per_s(key).is_none(),
                lane: Lane::Long,
                short_prompts_per_ms: 0.0,
            });
        }
        self.assign_lanes(now, &request.service, &mut candidates);
        placement::place(now, prompt, &candidates)
    }

    /// Reserves the first engines for short prompts, in an order that all
    /// instances share.
    fn assign_lanes(&self, now: Millis, service: &str, candidates: &mut [Candidate<'_>]) {
        candidates.sort_by_key(|candidate| id_hash(&self.server_table.get(candidate.key).entry.id));
        let Some(demand) = self.fleet_load.demand(service) else {
            return;
        };
        let short = demand.short_lane_size(now, candidates.len());
        let rate = demand.short_prompts_per_ms(now) / short.max(1) as f64;
        for candidate in &mut candidates[..short] {
            candidate.lane = Lane::Short;
            candidate.short_prompts_per_ms = rate;
        }
    }
}
