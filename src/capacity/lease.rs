//! Capacity leases (`credit` in messages and metrics) that this instance holds
//! as a user of backend servers.
//!
//! A lease is reused by successive requests without a message. Its lifetime
//! counts from when the request that it answers was sent. Requests are batched
//! by coordinator and sent once per [`LEASE_REQUEST_INTERVAL`]; unmet demand, a
//! recall or a cold signal trigger an earlier one.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::Amount;
use super::CapacityContext;
use super::Grant;
use super::Grants;
use super::LeaseRequest;
use super::LeaseRequestItem;
use super::Recall;
use crate::clock::Millis;
use crate::control::Cx;
use crate::fleet::BackendKey;
use crate::id::Epoch;
use crate::job::Cost;

/// Interval between two periodic requests to one coordinator.
pub const LEASE_REQUEST_INTERVAL: Millis = Millis(1_000);
/// Time without use or demand after which a lease is returned.
pub const IDLE_TIMEOUT: Millis = Millis(5_000);
/// Shortest interval between two early lease requests, that is, requests sent
/// before the periodic one. Backs off by doubling up to
/// [`LEASE_REQUEST_INTERVAL`].
const MIN_REQUEST_INTERVAL: Millis = Millis(50);
/// Number of requests whose sending times are kept.
const MAX_SENT_REQUESTS: u64 = 256;
/// Time for which recorded demand stays valid.
const DEMAND_TTL: Millis = Millis(500);
/// Maximum number of recent dispatches kept for each backend server.
const MAX_RECENT_STARTS: usize = 1_024;

/// Capacity of one backend server that this instance holds and uses.
#[derive(Debug, Default)]
pub(super) struct LeaseState {
    /// Capacity that the attempts in flight occupy.
    pub(super) used: Amount,
    /// Amount of the lease, including the used part; valid until `expires_at`.
    lease: Amount,
    expires_at: Millis,
    epoch: Epoch,
    /// Number of the last request that named this backend server.
    last_request: u64,
    demand: Demand,
    /// Time of the last dispatch or demand.
    last_active: Option<Millis>,
    /// Current backoff between early requests.
    early_request_interval: Millis,
    /// Earliest time of the next early request.
    next_early_request: Millis,
    /// Whether a recall has to be confirmed with the next request.
    recall_unconfirmed: bool,
    /// Number of the request that reported the newest cold signal; the answer
    /// to an older request does not override that signal.
    cold_report_request: u64,
    /// Earliest time at which a cold signal may be reported before the next
    /// period.
    next_early_report: Millis,
    /// Start times and amounts of recent dispatches, oldest first.
    pub(super) recent_starts: VecDeque<(Millis, Amount)>,
}

/// Waiting demand for a backend server.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    /// Time of the dispatch round that recorded it.
    recorded_at: Option<Millis>,
    /// Capacity that the largest waiting job needs.
    largest: Amount,
    /// Sum of the weights of the waiting jobs.
    weight: u64,
}

/// All capacity leases of this instance.
#[derive(Debug, Default)]
pub struct Leases {
    backends: BTreeMap<BackendKey, LeaseState>,
    /// Number of the last request.
    last_request_number: u64,
    /// Sending times of recent requests, by number.
    request_sent_at: BTreeMap<u64, Millis>,
    /// Times of the next periodic requests, by coordinator.
    next_request: BTreeMap<String, Millis>,
    /// Whether a request may be due before the next period.
    urgent: bool,
    /// Whether the instance drains: unused capacity is returned immediately.
    draining: bool,
}

impl Leases {
    /// Returns the capacity of a backend server that this instance's attempts
    /// occupy.
    #[must_use]
    pub fn used(&self, key: BackendKey) -> Amount {
        self.backends
            .get(&key)
            .map_or(Amount::ZERO, |state| state.used)
    }

    /// Returns the lease on a backend server with its expiry and epoch, or
    /// `None` if there is none or it has expired.
    #[must_use]
    pub fn current_lease(&self, now: Millis, key: BackendKey) -> Option<(Amount, Millis, Epoch)> {
        let state = self.backends.get(&key)?;
        (now < state.expires_at).then_some((state.lease, state.expires_at, state.epoch))
    }

    /// Returns all backend servers that this instance has used or had demand
    /// for since it started.
    pub(super) fn backends(&self) -> impl Iterator<Item = (BackendKey, &LeaseState)> {
        self.backends.iter().map(|(&key, state)| (key, state))
    }

    /// Returns the state of one backend server.
    pub(super) fn state(&self, key: BackendKey) -> Option<&LeaseState> {
        self.backends.get(&key)
    }

    /// Records that jobs of this total weight wait for capacity on a backend
    /// server. Calls at the same time add up; a call at a later time replaces
    /// the demand recorded before.
    pub fn record_demand(&mut self, now: Millis, key: BackendKey, amount: Amount, weight: u64) {
        let state = self.backends.entry(key).or_default();
        if state.demand.recorded_at != Some(now) {
            state.demand = Demand {
                recorded_at: Some(now),
                ..Demand::default()
            };
        }
        state.demand.largest = state.demand.largest.max(amount);
        state.demand.weight += weight;
        state.last_active = Some(now);
        self.urgent = true;
    }

    /// Counts one stream and its tokens as used.
    pub fn acquire(&mut self, now: Millis, key: BackendKey, cost: Cost) {
        let state = self.backends.entry(key).or_default();
        let amount = Amount::of_cost(cost);
        state.used = state.used.plus(amount);
        state.last_active = Some(now);
        if state.recent_starts.len() == MAX_RECENT_STARTS {
            state.recent_starts.pop_front();
        }
        state.recent_starts.push_back((now, amount));
    }

    /// Subtracts an amount that is no longer used.
    pub fn release(&mut self, key: BackendKey, amount: Amount) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.used = state.used.minus(amount);
        }
    }

    /// Applies a coordinator's answer to a lease request. Also adopts the
    /// conditions that it reports, unless this instance has observed a cold
    /// signal that the answer does not cover yet.
    pub fn on_grants(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        grants: &Grants,
    ) {
        let Some(sent) = self.request_sent_at.get(&grants.number).copied() else {
            return;
        };
        for grant in &grants.items {
            let Some(key) = context.fleet.backend_key(&grant.backend) else {
                continue;
            };
            let Some(state) = self.backends.get_mut(&key) else {
                continue;
            };
            if state.last_request != grants.number {
                continue;
            }
            state.apply_grant(grant, sent + grants.life, grants.epoch);
            let unreported = context.conditions.has_unreported_cold(key);
            if unreported || grants.number < state.cold_report_request {
                continue;
            }
            if grant.condition != context.conditions.condition(context.fleet, key) {
                context
                    .conditions
                    .adopt(cx, context.fleet, key, grant.condition);
            }
        }
    }

    /// Lowers a lease as its coordinator demands and confirms that with the
    /// next request. Running attempts continue, but new ones start only within
    /// the lowered lease.
    pub fn on_recall(&mut self, context: &CapacityContext<'_>, recall: &Recall) {
        let key = context.fleet.backend_key(&recall.backend);
        if let Some(state) = key.and_then(|key| self.backends.get_mut(&key)) {
            state.lease = state.lease.min(recall.keep);
            state.recall_unconfirmed = true;
            self.urgent = true;
        }
    }

    /// Starts draining: capacity is returned as soon as it is unused.
    pub fn drain(&mut self) {
        self.draining = true;
        self.urgent = true;
    }

    /// Returns whether [`Leases::due_requests`] has to be called before the
    /// next tick.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Builds the lease requests that are due, each with the name of its
    /// coordinator, and records them as sent; `coordinator_of` looks up the
    /// coordinator of a backend server and the epoch of its document.
    pub fn due_requests(
        &mut self,
        now: Millis,
        context: &mut CapacityContext<'_>,
        mut coordinator_of: impl FnMut(BackendKey) -> Option<(String, Epoch)>,
    ) -> Vec<(String, LeaseRequest)> {
        self.urgent = false;
        context.conditions.drop_unconfirmed(now);
        let mut requests: BTreeMap<String, LeaseRequest> = BTreeMap::new();
        let mut due_coordinators: Vec<String> = Vec::new();
        for (&key, state) in &mut self.backends {
            let Some((coordinator, epoch)) = coordinator_of(key) else {
                continue;
            };
            let periodic = self
                .next_request
                .get(&coordinator)
                .is_none_or(|next| *next <= now);
            if periodic && !due_coordinators.contains(&coordinator) {
                due_coordinators.push(coordinator.clone());
            }
            if self.draining {
                state.lease = state.lease.min(state.used);
                state.last_active = None;
            }
            let returns_lease = state.has_unneeded_lease(now);
            let requests_periodically = !state.is_idle(now) || returns_lease;
            let has_cold_report = context.conditions.has_cold_report(key);
            let early =
                state.check_early_request(now) || state.check_early_report(now, has_cold_report);
            let requests_now = early || (periodic && requests_periodically);
            if !requests_now {
                continue;
            }
            let request = requests.entry(coordinator).or_insert_with(|| {
                self.last_request_number += 1;
                LeaseRequest {
                    number: self.last_request_number,
                    epoch,
                    items: Vec::new(),
                }
            });
            let name = &context.fleet.backend(key).name;
            let news = context.conditions.take_report(key);
            if news.is_some_and(|news| news.cold) {
                state.cold_report_request = request.number;
            }
            let item = state.build_item(now, request.number, name);
            request.items.push(LeaseRequestItem { news, ..item });
        }
        for coordinator in due_coordinators {
            self.next_request
                .insert(coordinator, now + LEASE_REQUEST_INTERVAL);
        }
        for request in requests.values() {
            self.request_sent_at.insert(request.number, now);
        }
        let oldest = self.last_request_number.saturating_sub(MAX_SENT_REQUESTS);
        self.request_sent_at.retain(|number, _| *number > oldest);
        requests.into_iter().collect()
    }
}

impl LeaseState {
    /// Returns whether the backend server has no attempts, no recent demand and
    /// no lease.
    fn is_idle(&self, now: Millis) -> bool {
        let recently_active = self
            .last_active
            .is_some_and(|at| now.since(at) < IDLE_TIMEOUT);
        self.used.is_zero() && !recently_active && (self.lease.is_zero() || now >= self.expires_at)
    }

    /// Returns whether a lease is held that is neither in use nor recently
    /// needed.
    fn has_unneeded_lease(&self, now: Millis) -> bool {
        let recently_active = self
            .last_active
            .is_some_and(|at| now.since(at) < IDLE_TIMEOUT);
        self.used.is_zero() && !recently_active && !self.lease.is_zero()
    }

    /// Returns whether to send a request before the next period: to confirm a
    /// recall, or because waiting demand exceeds the free capacity. Clears the
    /// recall flag and advances the backoff of early requests, so it is called
    /// once per round.
    fn check_early_request(&mut self, now: Millis) -> bool {
        if std::mem::take(&mut self.recall_unconfirmed) {
            return true;
        }
        let has_unmet_demand =
            self.demand.is_fresh(now) && !self.free(now).covers(self.demand.largest);
        if !has_unmet_demand || now < self.next_early_request {
            return false;
        }
        self.early_request_interval =
            (self.early_request_interval * 2).clamp(MIN_REQUEST_INTERVAL, LEASE_REQUEST_INTERVAL);
        self.next_early_request = now + self.early_request_interval;
        true
    }

    /// Returns whether a cold signal has to be reported before the next period.
    /// Advances the earliest time of the next such report.
    fn check_early_report(&mut self, now: Millis, has_cold_report: bool) -> bool {
        if !has_cold_report || now < self.next_early_report {
            return false;
        }
        self.next_early_report = now + MIN_REQUEST_INTERVAL;
        true
    }

    fn free(&self, now: Millis) -> Amount {
        match now < self.expires_at {
            true => self.lease.minus(self.used),
            false => Amount::ZERO,
        }
    }

    /// Builds the item for one backend server. An expired or unneeded lease is
    /// given up by reporting none.
    fn build_item(&mut self, now: Millis, number: u64, name: &str) -> LeaseRequestItem {
        self.last_request = number;
        if now >= self.expires_at || self.has_unneeded_lease(now) {
            self.lease = Amount::ZERO;
        }
        let has_demand = self.demand.is_fresh(now);
        LeaseRequestItem {
            backend: name.to_owned(),
            used: self.used,
            credit: self.lease,
            largest: if has_demand {
                self.demand.largest
            } else {
                Amount::ZERO
            },
            weight: if has_demand { self.demand.weight } else { 0 },
            news: None,
        }
    }

    fn apply_grant(&mut self, grant: &Grant, expires_at: Millis, epoch: Epoch) {
        if !self.lease.covers(grant.credit) {
            self.early_request_interval = MIN_REQUEST_INTERVAL;
        }
        self.lease = grant.credit;
        self.expires_at = expires_at;
        self.epoch = epoch;
    }
}

impl Demand {
    fn is_fresh(&self, now: Millis) -> bool {
        self.recorded_at
            .is_some_and(|at| now.since(at) < DEMAND_TTL)
    }
}
