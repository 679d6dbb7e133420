//! Placement of calls on plain servers, and what is learned from how they end.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Core;
use super::requests::ActiveAttempt;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::cost::CallEnd;
use crate::gateway::cost::CallReport;
use crate::gateway::cost::forecast;
use crate::gateway::cost::forecast::CallTerms;
use crate::gateway::cost::forecast::Forecast;
use crate::gateway::cost::forecast::ServerView;
use crate::gateway::engine::JobKey;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::Ticket;
use crate::gateway::route::RouteTable;
use crate::gateway::route::RunPolicy;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::id_hash;
use crate::gateway::settings::CallPlacement;

/// Time for which a heartbeat may have waited in this instance, mostly while it
/// was suspended, for its calls to count as news.
const MAX_REPORT_WAIT: Millis = Millis(2_000);

/// A plain server, and what is expected of a call there if it is known.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChosenServer {
    pub(super) server: ServerKey,
    pub(super) forecast: Option<Forecast>,
}

/// Returns the routes to plain services, by hashes of their names, with their
/// latency targets.
pub(super) fn plain_routes(routes: &RouteTable) -> impl Iterator<Item = (u64, Millis)> {
    let is_plain = |name: &String| {
        let service = routes.services.get(name);
        service.is_some_and(|service| service.engine.is_none())
    };
    routes
        .hosts
        .values()
        .flatten()
        .filter(move |route| {
            route
                .weighted_services
                .iter()
                .any(|(name, _)| is_plain(name))
        })
        .map(|route| (id_hash(&route.name), route.target_latency))
}

impl Core {
    /// Returns whether costs of calls are learned.
    pub(super) fn learns_costs(&self) -> bool {
        self.bounds.call_placement == CallPlacement::LearnedCost
    }

    /// Returns whether calls to a server are placed by learned cost.
    pub(super) fn places_by_cost(&self, server: ServerKey) -> bool {
        self.learns_costs() && self.fleet_load.engine(server).is_none()
    }

    /// Chooses the plain server of a call.
    pub(super) fn choose_server(
        &self,
        now: Millis,
        routes: &RouteTable,
        request: &Request,
        job: JobKey,
    ) -> Option<ChosenServer> {
        let candidates: Vec<ServerKey> = self
            .server_table
            .listed()
            .map(|(key, _)| key)
            .filter(|&key| self.is_usable(now, request, key))
            .filter(|&key| self.has_cold_capacity(now, routes, key))
            .collect();
        if self.learns_costs() {
            return self.choose_by_cost(now, request, job, &candidates);
        }
        let server = match self.bounds.call_placement {
            CallPlacement::TwoChoices => {
                let mut shuffled = candidates;
                shuffled.sort_by_cached_key(|&key| self.draw(job, key));
                shuffled.truncate(2);
                self.least_busy(shuffled, |key| self.draw(job, key))
            }
            CallPlacement::LeastOutstanding => {
                self.least_busy(candidates, |key| self.draw(job, key))
            }
            CallPlacement::FewestCalls | CallPlacement::LearnedCost => self
                .least_busy(candidates, |key| {
                    u64::from(self.server_table.get(key).entry.domain != self.local.domain)
                }),
        };
        let forecast = None;
        server.map(|server| ChosenServer { server, forecast })
    }

    /// Returns the server with the fewest calls for its slots, and among equals the
    /// one with the lowest rank.
    fn least_busy(
        &self,
        candidates: Vec<ServerKey>,
        rank: impl Fn(ServerKey) -> u64,
    ) -> Option<ServerKey> {
        let sort_key = |key: ServerKey| {
            let slots = self.server_table.get(key).entry.slots.max(1);
            let calls = match self.bounds.call_placement {
                CallPlacement::LeastOutstanding => self.own_calls(key),
                _ => self.fleet_load.calls(key),
            };
            (calls as f64 / f64::from(slots), rank(key))
        };
        candidates.into_iter().min_by(|&a, &b| {
            let order = sort_key(a).partial_cmp(&sort_key(b));
            order.unwrap_or(Ordering::Equal)
        })
    }

    fn own_calls(&self, server: ServerKey) -> usize {
        let attempts = self
            .requests
            .values()
            .flat_map(|request| [&request.active_attempt, &request.successor])
            .flatten();
        attempts.filter(|attempt| attempt.server == server).count()
    }

    /// Returns a random number that differs for each attempt and server.
    fn draw(&self, job: JobKey, key: ServerKey) -> u64 {
        let seed = id_hash(&self.server_table.get(key).entry.id);
        xxh3_64_with_seed(&job.0.to_le_bytes(), seed)
    }

    fn choose_by_cost(
        &self,
        now: Millis,
        request: &Request,
        job: JobKey,
        candidates: &[ServerKey],
    ) -> Option<ChosenServer> {
        let terms = call_terms(now, request, Some(job.0));
        let forecasts: Vec<Forecast> = candidates
            .iter()
            .map(|&server| self.forecast_call(now, &terms, server))
            .collect();
        let index = forecast::choose(&forecasts, |number| {
            xxh3_64_with_seed(&job.0.to_le_bytes(), number) as f64 / u64::MAX as f64
        })?;
        Some(ChosenServer {
            server: candidates[index],
            forecast: Some(forecasts[index]),
        })
    }

    fn server_view(&self, server: ServerKey) -> ServerView {
        let entry = &self.server_table.get(server).entry;
        ServerView {
            hash: id_hash(&entry.id),
            slots: entry.slots,
            is_cross_domain: entry.domain != self.local.domain,
        }
    }

    /// Forecasts a call on a server.
    pub(super) fn forecast_call(
        &self,
        now: Millis,
        terms: &CallTerms,
        server: ServerKey,
    ) -> Forecast {
        let view = self.server_view(server);
        let told: Option<Vec<Millis>> = self.is_load_broadcast(server).then(|| {
            let calls = self.fleet_load.call_starts(server);
            calls
                .filter(|(job, _)| !self.cost.is_open(*job))
                .map(|(_, since)| now.since(since))
                .collect()
        });
        self.cost
            .forecast(now, terms, server, view, told.as_deref())
    }

    /// Records that a call is sent.
    pub(super) fn record_call(
        &mut self,
        now: Millis,
        ticket: Ticket,
        server: ServerKey,
        job: JobKey,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if self.learns_costs() {
            let route = id_hash(&request.route.name);
            let view = self.server_view(server);
            self.cost.open(now, job, server, view, route);
        }
    }

    /// Records how a call ended.
    pub(super) fn record_call_end(
        &mut self,
        now: Millis,
        attempt: &ActiveAttempt,
        end: AttemptEnd,
    ) {
        let end = match end {
            AttemptEnd::Whole => Some(CallEnd::Answered),
            AttemptEnd::Failed => Some(CallEnd::Failed),
            AttemptEnd::Refused => Some(CallEnd::Refused),
            // The link may be at fault rather than the server.
            AttemptEnd::Broken | AttemptEnd::Silent => {
                (!self.is_link_lost(attempt.server)).then_some(CallEnd::Lost)
            }
            AttemptEnd::CallerGone | AttemptEnd::Superseded => Some(CallEnd::Open),
            AttemptEnd::NotSent
            | AttemptEnd::Unreachable
            | AttemptEnd::NoMemory
            | AttemptEnd::Misdirected
            | AttemptEnd::RelayRefused { .. }
            | AttemptEnd::RelayFailed { .. }
            | AttemptEnd::ShutDown => None,
        };
        self.cost.close(now, attempt.job, end);
    }

    /// Records how calls of another instance ended.
    pub(super) fn record_call_reports(
        &mut self,
        now: Millis,
        arrived_after: Millis,
        reports: &[CallReport],
    ) {
        if !self.learns_costs() || now.since(arrived_after) > MAX_REPORT_WAIT {
            return;
        }
        for report in reports {
            let server = self.server_table.find_by_id_hash(report.server);
            if let Some(server) = server.filter(|&server| self.places_by_cost(server)) {
                let slots = self.server_table.get(server).entry.slots;
                self.cost.record_report(now, server, slots, report);
            }
        }
    }

    /// Describes what a call was placed by, for the log.
    pub(super) fn describe_forecast(
        &self,
        now: Millis,
        server: ServerKey,
        forecast: &Forecast,
    ) -> String {
        let estimate = &forecast.estimate;
        let age = self.cost.fact_age(now, server);
        format!(
            " work_ms={:.0} left_ms={:.0}+-{:.0} wait_ms={:.0} late={:.3} slowness={:.2} refusals={:.2} failures={:.2} age_ms={}",
            forecast.work_ms,
            forecast.work_left_ms,
            forecast.work_left_deviation_ms,
            forecast.wait_ms,
            forecast.late_share,
            estimate.slowness.mean,
            estimate.refusals.mean,
            estimate.failures.mean,
            age.map_or("none".to_owned(), |age| age.0.to_string()),
        )
    }
}

/// Returns what decides about a call.
pub(super) fn call_terms(now: Millis, request: &Request, draw: Option<u64>) -> CallTerms {
    let target = request.route.target_latency;
    CallTerms {
        route: id_hash(&request.route.name),
        target,
        target_left: (request.submission.arrived + target).since(now),
        deadline_left: request.response_deadline.since(now),
        is_repeatable: request.route.run_policy != RunPolicy::AtMostOnce,
        draw,
    }
}
