//! Condition of each backend server: cold, warming up, warm, silent, draining,
//! cordoned.
//!
//! A backend server is cold until it is known to be warm. Signals come from
//! attempts and load reports; the limit in force is derived from the condition
//! and the declared limits. A cold backend server warms up by one ramp step for
//! each `ramp_successes` consecutive requests that complete in time (see
//! [`Prediction::is_in_time`](crate::prediction::Prediction::is_in_time)). It
//! turns cold again immediately on a new boot number (its process restarted), a
//! refused connection, a rejection as cold, a burst of errors or a first token
//! several times later than predicted. A silent one, which has stopped
//! responding, gets one request at a time and turns cold at the next signal of
//! any other kind. Draining ([`Condition::Leaving`]) and cordoned
//! ([`Condition::Out`]) follow from the instance list and operators; a backend
//! server that returns to service starts cold.
//!
//! The coordinator of a backend server is the instance that grants shares of
//! its concurrency limit; wire, store, logs and metrics call it `home`.

mod state;

use la_arena::ArenaMap;
use serde::Deserialize;
use serde::Serialize;

use crate::backend::AttemptEnd;
use crate::backend::Rejection;
use crate::clock::Millis;
use crate::condition::state::State;
use crate::control::Cx;
use crate::declaration::LimitRule;
use crate::declaration::Limits;
use crate::fleet::Backend;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::Boot;
use crate::id::RequestId;
use crate::job::Cost;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Time within which a backend server has to answer after another one could not be
/// reached. Otherwise the link of this instance is at fault. Coordinators poll
/// their backend servers twice in it.
const LINK_DOUBT_LIMIT: Millis = Millis(2_000);

/// Condition of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Its cold limit applies, raised by `step` of the rule's `ramp_steps`
    /// steps towards the warm limit.
    Cold { step: u32 },
    /// Its warm limit applies.
    Warm,
    /// It is unresponsive: gets one request at a time.
    Silent,
    /// It is draining or absent from the instance list: gets no new requests.
    Leaving,
    /// Operators cordoned it or its failure domain: gets no new requests.
    Out,
}

/// A signal about a backend server's condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Signal {
    /// A request completed; `in_time` is the result of
    /// [`Prediction::is_in_time`](crate::prediction::Prediction::is_in_time).
    Completed { in_time: bool },
    /// It refused a connection.
    Refused,
    /// It rejected a request because it is full.
    Rejected,
    /// It rejected a request because it is cold.
    RejectedCold,
    /// A connection broke during an attempt.
    Broken,
    /// A connection stopped responding, or a
    /// [`BackendOrder`](crate::backend::BackendOrder) timed out.
    Silent,
    /// A first token came too late (see
    /// [`Prediction::is_late`](crate::prediction::Prediction::is_late)).
    Late,
    /// A load report arrived; `boot` identifies the process of the backend
    /// server.
    Reported { boot: Boot },
}

impl Signal {
    /// Returns the signal that follows from the end of an attempt, if any;
    /// `in_time` is whether the attempt ended in time.
    #[must_use]
    pub const fn from_attempt_end(end: &AttemptEnd, in_time: bool) -> Option<Signal> {
        match end {
            AttemptEnd::Whole { .. } => Some(Signal::Completed { in_time }),
            AttemptEnd::Refused => Some(Signal::Refused),
            AttemptEnd::Rejected(Rejection::Cold) => Some(Signal::RejectedCold),
            AttemptEnd::Rejected(Rejection::Full) => Some(Signal::Rejected),
            AttemptEnd::Rejected(_) | AttemptEnd::Cancelled { .. } => None,
            AttemptEnd::Broken { .. } => Some(Signal::Broken),
            AttemptEnd::Silent { .. } => Some(Signal::Silent),
        }
    }

    /// Returns whether one such signal suffices to conclude that the backend
    /// server is cold.
    const fn implies_cold(self) -> bool {
        matches!(self, Signal::Refused | Signal::RejectedCold | Signal::Late)
    }

    /// Returns whether the signal is an answer of the backend server.
    const fn is_answer(self) -> bool {
        match self {
            Signal::Completed { .. }
            | Signal::Rejected
            | Signal::RejectedCold
            | Signal::Late
            | Signal::Reported { .. } => true,
            Signal::Refused | Signal::Broken | Signal::Silent => false,
        }
    }
}

/// An instance's report to a backend server's coordinator about the condition
/// that its signals show.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConditionReport {
    /// Requests that completed in time.
    pub in_time: u32,
    /// Whether a signal implied that the backend server is cold; `in_time` then
    /// counts only requests after that.
    pub cold: bool,
}

/// A request of this instance in flight on a backend server, with its remaining
/// cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestCost {
    /// The request.
    pub request: RequestId,
    /// Importance from 0 to 100; lower values are moved first.
    pub importance: u8,
    /// Remaining memory and prefill tokens; it also occupies one stream.
    pub cost: Cost,
}

/// Conditions of all backend servers.
#[derive(Debug, Default)]
pub struct Conditions {
    states: ArenaMap<BackendKey, State>,
    unreported: ArenaMap<BackendKey, ConditionReport>,
    /// Backend servers whose unreported cold signal is a failed connection.
    in_doubt: ArenaMap<BackendKey, ()>,
    /// When the first connection failed since a backend server last answered.
    unanswered_since: Option<Millis>,
    turned_cold: Vec<BackendKey>,
}

impl Conditions {
    /// Applies a signal and records it for the report to the coordinator.
    pub fn observe(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, backend: BackendKey, signal: Signal) {
        let implies_cold = self.apply(cx, fleet, backend, signal);
        if signal.is_answer() {
            self.drop_unconfirmed(cx.now);
            self.in_doubt.clear();
            self.unanswered_since = None;
        }
        let is_reported = self.has_cold_report(backend);
        let report = self.unreported.entry(backend).or_default();
        if implies_cold {
            if !signal.is_answer() && !is_reported {
                self.in_doubt.insert(backend, ());
                self.unanswered_since.get_or_insert(cx.now);
            }
            *report = ConditionReport {
                in_time: 0,
                cold: true,
            };
            return;
        }
        if signal == (Signal::Completed { in_time: true }) {
            report.in_time += 1;
        }
    }

    /// Drops the cold signals that rest on failed connections if no backend server
    /// has answered for long since.
    pub fn drop_unconfirmed(&mut self, now: Millis) {
        let is_lost = |since| now.since(since) > LINK_DOUBT_LIMIT;
        if !self.unanswered_since.is_some_and(is_lost) {
            return;
        }
        for (key, ()) in self.in_doubt.iter() {
            self.unreported.remove(key);
        }
        self.in_doubt.clear();
    }

    /// Removes and returns what this instance saw of a backend server since its
    /// last report to the coordinator; `None` if there is nothing to report, or if
    /// that is in doubt.
    pub fn take_report(&mut self, backend: BackendKey) -> Option<ConditionReport> {
        if self.in_doubt.contains_idx(backend) {
            return None;
        }
        self.unreported
            .remove(backend)
            .filter(|report| *report != ConditionReport::default())
    }

    /// Returns whether a signal implied that the backend server is cold and the
    /// coordinator has not received that in a report yet.
    #[must_use]
    pub fn has_unreported_cold(&self, backend: BackendKey) -> bool {
        self.unreported
            .get(backend)
            .is_some_and(|report| report.cold)
    }

    /// Returns whether there is such a signal that is not in doubt.
    #[must_use]
    pub fn has_cold_report(&self, backend: BackendKey) -> bool {
        self.has_unreported_cold(backend) && !self.in_doubt.contains_idx(backend)
    }

    /// Applies another instance's report on a backend server.
    pub fn merge_report(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        backend: BackendKey,
        report: ConditionReport,
    ) {
        if report.cold {
            self.apply(cx, fleet, backend, Signal::RejectedCold);
        }
        for _ in 0..report.in_time {
            self.apply(cx, fleet, backend, Signal::Completed { in_time: true });
        }
    }

    /// Adopts the condition that a backend server's coordinator determined.
    pub fn adopt(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        backend: BackendKey,
        condition: Condition,
    ) {
        let state = self.states.entry(backend).or_default();
        let before = state.condition;
        state.adopt(condition);
        let after = state.condition;
        self.record_change(cx, fleet, backend, before, "the home's word");
        self.record_if_turned_cold(backend, before, after);
    }

    /// Updates which backend servers are draining, cordoned or in service
    /// again. Must be called after each change of the declarations or the
    /// instance list.
    pub fn apply_fleet_change(&mut self, cx: &mut Cx<'_>, fleet: &Fleet) {
        for (key, backend) in fleet.backends() {
            let state = self.states.entry(key).or_default();
            let before = state.condition;
            state.set_imposed(imposed_condition(fleet, backend));
            self.record_change(cx, fleet, key, before, "instance list or operators");
        }
        self.update_metrics(cx, fleet);
    }

    /// Removes and returns the backend servers that fell back to the cold limit
    /// from a higher one since the last call.
    pub fn take_turned_cold(&mut self) -> Vec<BackendKey> {
        std::mem::take(&mut self.turned_cold)
    }

    /// Returns the condition of a backend server.
    #[must_use]
    pub fn condition(&self, fleet: &Fleet, backend: BackendKey) -> Condition {
        let known = self.states.get(backend).map(|state| state.condition);
        match (imposed_condition(fleet, fleet.backend(backend)), known) {
            (Some(imposed), _) => imposed,
            (None, None | Some(Condition::Out | Condition::Leaving)) => Condition::Cold { step: 0 },
            (None, Some(known)) => known,
        }
    }

    /// Returns the limits of a backend server that are in force now; zero
    /// streams if it may get no new requests.
    #[must_use]
    pub fn limits(&self, fleet: &Fleet, backend: BackendKey) -> Limits {
        let Some(rule) = &fleet.backend(backend).limit_rule else {
            return Limits::default();
        };
        match self.condition(fleet, backend) {
            Condition::Cold { step } => ramp_limits(rule, step),
            Condition::Warm => rule.warm,
            Condition::Silent => Limits {
                streams: rule.cold.streams.min(1),
                ..ramp_limits(rule, 0)
            },
            Condition::Leaving | Condition::Out => Limits::default(),
        }
    }

    /// Returns the in-flight requests that exceed the limits of a cold backend
    /// server, least important first; they should move to other backend
    /// servers. `streams` is the number of streams that the backend server runs
    /// for all instances; this instance may keep the part of the limits
    /// proportional to its own requests.
    #[must_use]
    pub fn excess_requests(
        &self,
        fleet: &Fleet,
        backend: BackendKey,
        in_flight: &[RequestCost],
        streams: u32,
    ) -> Vec<RequestId> {
        if !matches!(self.condition(fleet, backend), Condition::Cold { .. }) {
            return Vec::new();
        }
        let own = in_flight.len() as u64;
        let all = u64::from(streams).max(own).max(1);
        let limits = scale_limits(self.limits(fleet, backend), own, all);
        let mut ordered = in_flight.to_vec();
        ordered.sort_by_key(|request| (std::cmp::Reverse(request.importance), request.request));
        let mut kept = Limits::default();
        let mut excess = Vec::new();
        for request in ordered {
            let total = Limits {
                streams: kept.streams + 1,
                memory_tokens: kept.memory_tokens + request.cost.memory_tokens,
                prefill_tokens: kept.prefill_tokens + request.cost.prefill_tokens,
            };
            if is_within(total, limits) {
                kept = total;
            } else {
                excess.push(request.request);
            }
        }
        excess.reverse();
        excess
    }

    /// Applies a signal and returns whether it implies that the backend server
    /// is cold.
    fn apply(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        backend: BackendKey,
        signal: Signal,
    ) -> bool {
        let state = self.states.entry(backend).or_default();
        let before = state.condition;
        let implies_cold =
            state.observe(cx.now, fleet.backend(backend).limit_rule.as_ref(), signal);
        let after = state.condition;
        if self.record_change(cx, fleet, backend, before, &format!("{signal:?}")) {
            self.update_metrics(cx, fleet);
            self.record_if_turned_cold(backend, before, after);
        }
        implies_cold
    }

    /// Records a backend server that fell back from a higher limit to its cold
    /// limit.
    fn record_if_turned_cold(&mut self, backend: BackendKey, before: Condition, after: Condition) {
        let was_above_cold = matches!(before, Condition::Warm | Condition::Cold { step: 1.. });
        if was_above_cold && after == (Condition::Cold { step: 0 }) {
            self.turned_cold.push(backend);
        }
    }

    /// Records an event if the condition changed; returns whether it did.
    fn record_change(
        &self,
        cx: &mut Cx<'_>,
        fleet: &Fleet,
        backend: BackendKey,
        before: Condition,
        cause: &str,
    ) -> bool {
        let Some(after) = self.states.get(backend).map(|state| state.condition) else {
            return false;
        };
        if after == before {
            return false;
        }
        cx.count(Count::ConditionChanges);
        let subject = Subject::backend(&fleet.backend(backend).name);
        let detail = format!("{before:?} to {after:?}: {cause}");
        cx.event(EventKind::Condition, subject, detail);
        true
    }

    /// Updates the metrics of backend servers per condition.
    fn update_metrics(&self, cx: &Cx<'_>, fleet: &Fleet) {
        let mut warm = 0;
        let mut cold = 0;
        let mut silent = 0;
        for (key, _) in fleet.backends() {
            match self.condition(fleet, key) {
                Condition::Warm => warm += 1,
                Condition::Cold { .. } => cold += 1,
                Condition::Silent => silent += 1,
                Condition::Leaving | Condition::Out => {}
            }
        }
        cx.metrics.set(Level::BackendsWarm, warm);
        cx.metrics.set(Level::BackendsCold, cold);
        cx.metrics.set(Level::BackendsSilent, silent);
    }
}

/// Returns the condition that the instance list or operators impose; `None` if
/// the backend server is in service.
fn imposed_condition(fleet: &Fleet, backend: &Backend) -> Option<Condition> {
    if backend.cordoned || fleet.domain(backend.domain).cordoned {
        return Some(Condition::Out);
    }
    backend.draining.then_some(Condition::Leaving)
}

/// Interpolates between cold and warm limits at a step of the ramp; a token
/// limit of 0 means no limit.
fn ramp_limits(rule: &LimitRule, step: u32) -> Limits {
    let steps = u64::from(rule.ramp_steps.max(1));
    let step = u64::from(step).min(steps);
    let between = |cold: u64, warm: u64| cold + warm.saturating_sub(cold) * step / steps;
    let tokens = |cold: u64, warm: u64| match (cold, warm) {
        (0, warm) => warm,
        (cold, 0) => cold,
        (cold, warm) => between(cold.min(warm), warm),
    };
    let (cold, warm) = (&rule.cold, &rule.warm);
    let streams = between(
        u64::from(cold.streams.min(warm.streams)),
        u64::from(warm.streams),
    );
    Limits {
        streams: u32::try_from(streams).unwrap_or(warm.streams),
        memory_tokens: tokens(cold.memory_tokens, warm.memory_tokens),
        prefill_tokens: tokens(cold.prefill_tokens, warm.prefill_tokens),
    }
}

/// Scales limits by `own / all`; 0 tokens means no limit and stays 0.
fn scale_limits(limits: Limits, own: u64, all: u64) -> Limits {
    let streams = u64::from(limits.streams) * own / all;
    let tokens = |limit: u64| match limit {
        0 => 0,
        limit => (limit / all * own + limit % all * own / all).max(1),
    };
    Limits {
        streams: u32::try_from(streams).unwrap_or(limits.streams),
        memory_tokens: tokens(limits.memory_tokens),
        prefill_tokens: tokens(limits.prefill_tokens),
    }
}

/// Returns whether an amount is within limits; a token limit of 0 means no
/// limit.
fn is_within(amount: Limits, limits: Limits) -> bool {
    amount.streams <= limits.streams
        && (limits.memory_tokens == 0 || amount.memory_tokens <= limits.memory_tokens)
        && (limits.prefill_tokens == 0 || amount.prefill_tokens <= limits.prefill_tokens)
}

#[cfg(test)]
mod tests;
