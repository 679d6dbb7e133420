//! Condition of each backend server: cold, warming up, warm, silent, leaving,
//! out.
//!
//! Whatever is not known to be warm is cold. Signs come from attempts and load
//! reports; the limit in force follows from the condition and the declared
//! limits. A backend server warms up one step a window of requests that
//! completed within their predicted time, and is cold again at once on a new
//! boot number, a refused connection, a rejection as cold, a burst of errors or
//! a first token several times later than predicted. A silent one gets a single
//! request at a time. Leaving and out follow from lists and operators; the way
//! back leads through the ramp.

mod state;

use la_arena::ArenaMap;
use serde::Deserialize;
use serde::Serialize;

use crate::backend::AttemptEnd;
use crate::backend::Rejection;
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

/// Condition of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Bears its cold limit, and more with each step of the ramp.
    Cold { step: u32 },
    /// Bears its warm limit.
    Warm,
    /// Does not answer: gets one request at a time.
    Silent,
    /// Is leaving or gone from the list: gets no new work.
    Leaving,
    /// Taken out by operators, itself or its failure domain: gets no new work.
    Out,
}

/// Something that tells about a backend server's condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Sign {
    /// A request completed; within its predicted time or not.
    Completed { in_time: bool },
    /// It refused a connection.
    Refused,
    /// It refused work as it has no room.
    Rejected,
    /// It refused work as it is cold.
    RejectedCold,
    /// A connection broke.
    Broken,
    /// A connection fell silent, or an order had no answer in time.
    Silent,
    /// A first token came several times later than predicted.
    Late,
    /// A load report came with this boot number.
    Reported { boot: Boot },
}

impl Sign {
    /// Returns what the end of an attempt tells; `in_time` says whether it kept
    /// to its predicted time.
    #[must_use]
    pub const fn of_end(end: &AttemptEnd, in_time: bool) -> Option<Sign> {
        match end {
            AttemptEnd::Whole { .. } => Some(Sign::Completed { in_time }),
            AttemptEnd::Refused => Some(Sign::Refused),
            AttemptEnd::Rejected(Rejection::Cold) => Some(Sign::RejectedCold),
            AttemptEnd::Rejected(Rejection::Full) => Some(Sign::Rejected),
            AttemptEnd::Rejected(_) | AttemptEnd::Cancelled { .. } => None,
            AttemptEnd::Broken { .. } => Some(Sign::Broken),
            AttemptEnd::Silent { .. } => Some(Sign::Silent),
        }
    }

    /// Returns whether the backend server is cold from this sign on.
    const fn is_cold(self) -> bool {
        matches!(self, Sign::Refused | Sign::RejectedCold | Sign::Late)
    }
}

/// What an instance tells the home of a backend server about its condition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct News {
    /// Requests completed within their predicted time.
    pub in_time: u32,
    /// Whether there was a sign of cold after them.
    pub cold: bool,
}

/// A request in flight on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlight {
    /// The request.
    pub request: RequestId,
    /// Who is moved last: 0 to 100.
    pub importance: u8,
    /// What it takes besides one stream.
    pub cost: Cost,
}

/// Conditions of all backend servers.
#[derive(Debug, Default)]
pub struct Conditions {
    states: ArenaMap<BackendKey, State>,
    news: ArenaMap<BackendKey, News>,
    turned_cold: Vec<BackendKey>,
}

impl Conditions {
    /// Takes a sign into account.
    pub fn sign(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, backend: BackendKey, sign: Sign) {
        let was_cold = self.apply(cx, fleet, backend, sign);
        let news = self.news.entry(backend).or_default();
        if was_cold {
            *news = News {
                in_time: 0,
                cold: true,
            };
            return;
        }
        if sign == (Sign::Completed { in_time: true }) {
            news.in_time += 1;
        }
    }

    /// Returns what this instance saw of a backend server since it last told
    /// the home, and forgets it.
    pub fn take_news(&mut self, backend: BackendKey) -> Option<News> {
        self.news
            .remove(backend)
            .filter(|news| *news != News::default())
    }

    /// Returns whether a sign of cold was seen that the home has not been told.
    #[must_use]
    pub fn has_cold_news(&self, backend: BackendKey) -> bool {
        self.news.get(backend).is_some_and(|news| news.cold)
    }

    /// Takes over what another instance saw of a backend server.
    pub fn hear(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, backend: BackendKey, news: News) {
        if news.cold {
            self.apply(cx, fleet, backend, Sign::RejectedCold);
        }
        for _ in 0..news.in_time {
            self.apply(cx, fleet, backend, Sign::Completed { in_time: true });
        }
    }

    /// Takes over the condition that the home of a backend server gave.
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
        self.announce(cx, fleet, backend, before, "the home's word");
        self.note_turn(backend, before, after);
    }

    /// Notes who left, was taken out or came back, after each change of the
    /// declarations or the instance list.
    pub fn fleet_changed(&mut self, cx: &mut Cx<'_>, fleet: &Fleet) {
        for (key, backend) in fleet.backends() {
            let state = self.states.entry(key).or_default();
            let before = state.condition;
            state.list(listed(fleet, backend));
            self.announce(cx, fleet, key, before, "list or operators");
        }
        self.measure(cx, fleet);
    }

    /// Returns the backend servers that turned cold since the last call.
    pub fn take_turned_cold(&mut self) -> Vec<BackendKey> {
        std::mem::take(&mut self.turned_cold)
    }

    /// Returns the condition of a backend server.
    #[must_use]
    pub fn condition(&self, fleet: &Fleet, backend: BackendKey) -> Condition {
        let known = self.states.get(backend).map(|state| state.condition);
        match (listed(fleet, fleet.backend(backend)), known) {
            (Some(listed), _) => listed,
            (None, None | Some(Condition::Out | Condition::Leaving)) => Condition::Cold { step: 0 },
            (None, Some(known)) => known,
        }
    }

    /// Returns what the backend server bears now; no streams, if it may get no
    /// new work.
    #[must_use]
    pub fn limits(&self, fleet: &Fleet, backend: BackendKey) -> Limits {
        let Some(rule) = &fleet.backend(backend).limit else {
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

    /// Returns the requests in flight that a cold backend server cannot bear,
    /// least important first; they should be moved elsewhere. `streams` is how
    /// many it runs for all instances: this one keeps its part of the limits.
    #[must_use]
    pub fn surplus(
        &self,
        fleet: &Fleet,
        backend: BackendKey,
        in_flight: &[InFlight],
        streams: u32,
    ) -> Vec<RequestId> {
        if !matches!(self.condition(fleet, backend), Condition::Cold { .. }) {
            return Vec::new();
        }
        let own = in_flight.len() as u64;
        let all = u64::from(streams).max(own).max(1);
        let limits = part(self.limits(fleet, backend), own, all);
        let mut ordered = in_flight.to_vec();
        ordered.sort_by_key(|flight| (std::cmp::Reverse(flight.importance), flight.request));
        let mut kept = Limits::default();
        let mut surplus = Vec::new();
        for flight in ordered {
            let with = Limits {
                streams: kept.streams + 1,
                memory_tokens: kept.memory_tokens + flight.cost.memory_tokens,
                prefill_tokens: kept.prefill_tokens + flight.cost.prefill_tokens,
            };
            if within(with, limits) {
                kept = with;
            } else {
                surplus.push(flight.request);
            }
        }
        surplus.reverse();
        surplus
    }

    /// Applies a sign and returns whether it turned the backend server cold.
    fn apply(&mut self, cx: &mut Cx<'_>, fleet: &Fleet, backend: BackendKey, sign: Sign) -> bool {
        let state = self.states.entry(backend).or_default();
        let before = state.condition;
        let cold = state.sign(cx.now, fleet.backend(backend).limit.as_ref(), sign);
        let after = state.condition;
        if self.announce(cx, fleet, backend, before, &format!("{sign:?}")) {
            self.measure(cx, fleet);
            self.note_turn(backend, before, after);
        }
        cold
    }

    /// Notes a backend server that bears less than before.
    fn note_turn(&mut self, backend: BackendKey, before: Condition, after: Condition) {
        let bore_more = matches!(before, Condition::Warm | Condition::Cold { step: 1.. });
        if bore_more && after == (Condition::Cold { step: 0 }) {
            self.turned_cold.push(backend);
        }
    }

    /// Records a change and returns whether there was one.
    fn announce(
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

    /// Counts the backend servers in each condition.
    fn measure(&self, cx: &Cx<'_>, fleet: &Fleet) {
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

/// Returns the condition that lists and operators impose.
fn listed(fleet: &Fleet, backend: &Backend) -> Option<Condition> {
    if backend.out || fleet.domain(backend.domain).out {
        return Some(Condition::Out);
    }
    backend.leaving.then_some(Condition::Leaving)
}

/// Returns the limits at a step of the ramp, between cold and warm.
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

/// Returns the part `own` of `all` of limits.
fn part(limits: Limits, own: u64, all: u64) -> Limits {
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

/// Returns whether an amount is within limits; 0 stands for no limit of tokens.
fn within(amount: Limits, limits: Limits) -> bool {
    amount.streams <= limits.streams
        && (limits.memory_tokens == 0 || amount.memory_tokens <= limits.memory_tokens)
        && (limits.prefill_tokens == 0 || amount.prefill_tokens <= limits.prefill_tokens)
}

#[cfg(test)]
mod tests;
