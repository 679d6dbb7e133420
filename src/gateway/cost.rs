//! What calls to plain servers are likely to cost, learned from how they end.
//!
//! Requests that look alike cost very different amounts of work, and the servers
//! of a service differ in speed. The model keeps the distribution of the work of
//! each route's calls ([`work`]), and for each server how fast it answers and how
//! often it refuses or fails ([`servers`]); [`forecast`] turns both into the
//! expected loss of placing one call on one server. Instances tell each other
//! with their heartbeats how some of their calls ended, so that all learn from
//! what each has seen; nothing is decided by health checks.
//!
//! Intended for many instances that send a few calls a second each to a handful
//! of servers, of which some are slow, full or failing.

pub mod forecast;
pub mod lengths;
pub mod servers;
pub mod work;

use std::collections::HashMap;

use self::forecast::CallTerms;
use self::forecast::Forecast;
use self::forecast::OtherCalls;
use self::forecast::ServerView;
use self::servers::ServerFacts;
use self::work::WorkDistribution;
use crate::clock::Millis;
use crate::gateway::engine::JobKey;
use crate::gateway::server_table::ServerKey;

/// Most calls that one heartbeat tells of. With more, the told ones stand for
/// the others as well.
const MAX_REPORTS: usize = 6;
/// Most calls of other instances that one heartbeat's report may stand for.
const MAX_REPORT_COUNT: u32 = 10_000;
/// Times the usual duration after which an open call tells that its server is
/// slow.
const OVERDUE_FACTOR: f64 = 2.0;
/// Calls that a route's share of failures is learned from.
const FAILURE_MEMORY: f64 = 50.0;
/// Share of failures of a route of which nothing is known, and the calls that it
/// counts as.
const PRIOR_FAILURE_SHARE: f64 = 0.01;
const PRIOR_FAILURE_WEIGHT: f64 = 4.0;

/// How a call ended, as far as its server's condition is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer came.
    Answered,
    /// The server answered that it failed.
    Failed,
    /// The server refused to run it.
    Refused,
    /// The connection broke, or nothing came in time.
    Lost,
    /// It has not ended, or its caller did not wait for the end.
    Open,
}

/// A call of another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallReport {
    /// Hash of the backend server's id.
    pub server: u64,
    /// Hash of the route's name.
    pub route: u64,
    /// Time from sending to the end, or until now.
    pub took: Millis,
    /// How it ended.
    pub end: CallEnd,
    /// Number of calls that it stands for, itself included.
    pub count: u32,
}

/// Learned costs of calls.
#[derive(Debug, Default)]
pub struct CostModel {
    routes: HashMap<u64, RouteCosts>,
    servers: HashMap<ServerKey, ServerFacts>,
    /// This instance's calls in flight.
    open: HashMap<JobKey, OpenCall>,
    /// Ended calls that the other instances are not told of yet.
    untold: Vec<CallReport>,
    /// Number of calls that `untold` stands for.
    untold_count: usize,
}

#[derive(Debug)]
struct RouteCosts {
    work: WorkDistribution,
    /// Calls that were answered, and those among them that failed.
    answered: f64,
    failed: f64,
}

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    server: ServerKey,
    slots: u32,
    server_hash: u64,
    route: u64,
    sent_at: Millis,
}

impl RouteCosts {
    fn new(target: Millis) -> RouteCosts {
        RouteCosts {
            work: WorkDistribution::new(target),
            answered: PRIOR_FAILURE_WEIGHT,
            failed: PRIOR_FAILURE_WEIGHT * PRIOR_FAILURE_SHARE,
        }
    }

    /// Returns the share of failures that is usual on the route, whatever the
    /// server.
    fn failure_share(&self) -> f64 {
        self.failed / self.answered
    }

    fn record_failed(&mut self, failed: bool, weight: f64) {
        let keep = (1.0 - weight / FAILURE_MEMORY).max(0.0);
        self.answered = self.answered * keep + weight;
        self.failed = self.failed * keep + if failed { weight } else { 0.0 };
    }
}

impl CostModel {
    /// Keeps the costs of these routes only, given by hashes of their names with
    /// their latency targets.
    pub fn set_routes(&mut self, routes: impl Iterator<Item = (u64, Millis)>) {
        let mut known = std::mem::take(&mut self.routes);
        for (route, target) in routes {
            let costs = known.remove(&route);
            self.routes
                .insert(route, costs.unwrap_or_else(|| RouteCosts::new(target)));
        }
    }

    /// Forgets a server that has restarted or is gone.
    pub fn forget_server(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Records that a call is sent.
    pub fn open(
        &mut self,
        now: Millis,
        job: JobKey,
        server: ServerKey,
        view: ServerView,
        route: u64,
    ) {
        let call = OpenCall {
            server,
            slots: view.slots,
            server_hash: view.hash,
            route,
            sent_at: now,
        };
        self.open.insert(job, call);
    }

    /// Records the end of a call; `None` if it tells nothing about its server.
    pub fn close(&mut self, now: Millis, job: JobKey, end: Option<CallEnd>) {
        let (Some(call), Some(end)) = (self.open.remove(&job), end) else {
            return;
        };
        let report = CallReport {
            server: call.server_hash,
            route: call.route,
            took: now.since(call.sent_at),
            end,
            count: 1,
        };
        self.record(now, call.server, call.slots, &report);
        // A connection that broke may be this instance's own fault; failures of
        // that kind are told once another server is reached.
        if end != CallEnd::Lost {
            self.keep_untold(report);
        }
    }

    /// Keeps each of the ended calls with the same chance if there are too many.
    fn keep_untold(&mut self, report: CallReport) {
        self.untold_count += 1;
        if self.untold.len() < MAX_REPORTS {
            return self.untold.push(report);
        }
        let draw = xxhash_rust::xxh3::xxh3_64(&self.untold_count.to_le_bytes());
        let index = usize::try_from(draw).unwrap_or(usize::MAX) % self.untold_count;
        if let Some(kept) = self.untold.get_mut(index) {
            *kept = report;
        }
    }

    /// Takes the calls that the other instances are told of: ended ones, then
    /// overdue ones that are still open.
    pub fn take_reports(&mut self, now: Millis) -> Vec<CallReport> {
        let mut reports = std::mem::take(&mut self.untold);
        let total = std::mem::take(&mut self.untold_count);
        if let Some(each) = total.checked_div(reports.len()) {
            let count = u32::try_from(each).unwrap_or(MAX_REPORT_COUNT);
            for report in &mut reports {
                report.count = count;
            }
        }
        let overdue = self.open.values().filter(|call| self.is_overdue(now, call));
        let room = MAX_REPORTS - reports.len();
        reports.extend(overdue.take(room).map(|call| CallReport {
            server: call.server_hash,
            route: call.route,
            took: now.since(call.sent_at),
            end: CallEnd::Open,
            count: 1,
        }));
        reports
    }

    fn is_overdue(&self, now: Millis, call: &OpenCall) -> bool {
        let age = now.since(call.sent_at).0 as f64;
        let costs = self.routes.get(&call.route);
        costs.is_some_and(|costs| age > OVERDUE_FACTOR * costs.work.mean_ms())
    }

    /// Records a call of another instance.
    pub fn record_report(
        &mut self,
        now: Millis,
        server: ServerKey,
        slots: u32,
        report: &CallReport,
    ) {
        self.record(now, server, slots, report);
        let weight = f64::from(report.count.min(MAX_REPORT_COUNT));
        let facts = self.servers.entry(server).or_default();
        facts.record_told_work(now, report.took.0 as f64, weight);
    }

    fn record(&mut self, now: Millis, server: ServerKey, slots: u32, report: &CallReport) {
        let Some(costs) = self.routes.get_mut(&report.route) else {
            return;
        };
        let facts = self.servers.entry(server).or_default();
        let weight = f64::from(report.count.min(MAX_REPORT_COUNT));
        let took_ms = report.took.0.max(1) as f64;
        if report.end != CallEnd::Refused && report.end != CallEnd::Open {
            facts.record_work(now, weight * costs.work.mean_ms());
        }
        match report.end {
            CallEnd::Answered => {
                let slowness = facts.estimate(now).slowness.mean;
                let idle = idle_share(facts, now, slots);
                facts.record_answer(now, took_ms / costs.work.mean_ms(), weight * idle);
                facts.record_failure(now, -costs.failure_share(), weight);
                costs.record_failed(false, weight);
                costs.work.record(took_ms / slowness, weight);
            }
            CallEnd::Failed => {
                facts.record_failure(now, 1.0 - costs.failure_share(), weight);
                costs.record_failed(true, weight);
            }
            // Not counted for the route: no request brings it about.
            CallEnd::Lost => facts.record_failure(now, 1.0, weight),
            CallEnd::Refused => facts.record_refusal(now, weight),
            CallEnd::Open => {
                let ratio = took_ms / costs.work.mean_ms();
                if ratio > OVERDUE_FACTOR {
                    let idle = idle_share(facts, now, slots);
                    facts.record_answer(now, ratio, weight * idle);
                }
            }
        }
    }

    /// Forecasts a call of a route on a server. `told` holds the ages of the calls
    /// that other instances have placed there; `None` if they do not tell each of
    /// them.
    #[must_use]
    pub fn forecast(
        &self,
        now: Millis,
        terms: &CallTerms,
        server: ServerKey,
        view: ServerView,
        told: Option<&[Millis]>,
    ) -> Forecast {
        let unknown;
        let costs = match self.routes.get(&terms.route) {
            Some(costs) => costs,
            None => {
                unknown = RouteCosts::new(terms.target);
                &unknown
            }
        };
        let mut facts = self.servers.get(&server).cloned().unwrap_or_default();
        let own: Vec<&OpenCall> = self
            .open
            .values()
            .filter(|call| call.server == server)
            .collect();
        // An open call that is overdue tells of its server before it ends.
        for call in own.iter().filter(|call| self.is_overdue(now, call)) {
            if let Some(costs) = self.routes.get(&call.route) {
                let age = now.since(call.sent_at).0 as f64;
                let idle = idle_share(&facts, now, view.slots);
                facts.record_answer(now, age / costs.work.mean_ms(), idle);
            }
        }
        let estimate = facts.estimate(now);
        let slowness = estimate.slowness.mean;
        let own_left_ms = own
            .iter()
            .filter_map(|call| {
                let costs = self.routes.get(&call.route)?;
                let age = now.since(call.sent_at).0 as f64;
                Some(costs.work.mean_left_ms(age / slowness) * slowness)
            })
            .sum();
        let others = match told {
            Some(ages) => OtherCalls::told(&costs.work, slowness, ages),
            None => OtherCalls::estimated(&costs.work, slowness, estimate.told_in_flight),
        };
        forecast::forecast(
            terms,
            &costs.work,
            &estimate,
            view,
            own.len(),
            own_left_ms,
            others,
        )
    }

    /// Returns the time since the newest fact about a server.
    #[must_use]
    pub fn fact_age(&self, now: Millis, server: ServerKey) -> Option<Millis> {
        let facts = self.servers.get(&server)?;
        facts.last_fact_at.map(|at| now.since(at))
    }

    /// Returns whether a job is a call in flight, of this instance.
    #[must_use]
    pub fn is_open(&self, job: JobKey) -> bool {
        self.open.contains_key(&job)
    }
}

/// Returns how far the time of a server's calls tells of its speed, from 0 to 1.
fn idle_share(facts: &ServerFacts, now: Millis, slots: u32) -> f64 {
    let queueing_slots = forecast::QUEUEING_UTILIZATION * f64::from(slots.max(1));
    (1.0 - facts.estimate(now).busy_slots / queueing_slots).clamp(0.0, 1.0)
}
