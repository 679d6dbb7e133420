//! Updates of the router from attempts, load reports and cache events.

use crate::backend::CacheEvent;
use crate::backend::LoadReport;
use crate::clock::Millis;
use crate::condition::RequestCost;
use crate::condition::Signal;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::RequestId;
use crate::routing::AttemptLoad;
use crate::routing::Load;
use crate::routing::Router;
use crate::routing::RoutingView;

/// Weight of a new sample in the moving average of the speedup.
const SPEEDUP_LEARNING_RATE: f64 = 0.02;
/// Samples of the speedup are clamped to this and its inverse.
const SPEEDUP_SAMPLE_BOUND: f64 = 4.0;

impl Router {
    /// Returns the moving average of the ratio of predicted to actual time of
    /// complete requests; a value above 1 means that requests end earlier than
    /// predicted.
    #[must_use]
    pub fn speedup(&self) -> f64 {
        self.speedup
    }

    /// Records the first token of an attempt. If it came several times later
    /// than predicted, returns the backend server with the signal for its
    /// condition.
    pub fn record_first_token(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        request: RequestId,
    ) -> Option<(BackendKey, Signal)> {
        let (attempt, prefill_time) = self.loads.record_first_token(now, request)?;
        let took = now.since(attempt.sent_at);
        let (backend, model) = (attempt.backend, &attempt.model);
        let max_prefill_time = self.predictor.max_prefill_time(now, fleet, backend, model);
        if self.is_engine(fleet, backend) {
            self.learn_prefill(now, fleet, &attempt, prefill_time);
        }
        let late = attempt.predicted.is_late(took, max_prefill_time);
        late.then_some((attempt.backend, Signal::Late))
    }

    /// Records the end of a request's attempt; `tokens` is the length of a
    /// complete answer and `None` for any other end. Returns whether the
    /// attempt completed in time (see
    /// [`Prediction::is_in_time`](crate::prediction::Prediction::is_in_time));
    /// `true` if the request had no attempt in flight.
    pub fn record_end(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        request: RequestId,
        tokens: Option<u32>,
    ) -> bool {
        let Some(attempt) = self.loads.remove(request) else {
            return true;
        };
        let Some(tokens) = tokens else {
            return false;
        };
        let start = match self.is_engine(fleet, attempt.backend) {
            true => attempt.first_token_at.unwrap_or(now),
            false => attempt.sent_at,
        };
        let took = now.since(start);
        let (backend, model) = (attempt.backend, &attempt.model);
        self.predictor
            .observe_answer(now, fleet, backend, model, tokens, took);
        let took = now.since(attempt.sent_at);
        let ratio = attempt.predicted.total.0 as f64 / took.0.max(1) as f64;
        self.speedup += SPEEDUP_LEARNING_RATE
            * (ratio.clamp(1.0 / SPEEDUP_SAMPLE_BOUND, SPEEDUP_SAMPLE_BOUND) - self.speedup);
        attempt.predicted.is_in_time(took)
    }

    /// Applies a load report.
    pub fn apply_load_report(&mut self, now: Millis, backend: BackendKey, report: &LoadReport) {
        self.loads.apply_load_report(now, backend, report);
    }

    /// Applies an engine's cache events.
    pub fn apply_cache_events(&mut self, now: Millis, backend: BackendKey, events: &[CacheEvent]) {
        self.affinity.apply_events(now, backend, events);
    }

    /// Returns the load of a backend server, or `None` if nothing is known
    /// about it.
    #[must_use]
    pub fn load(&self, backend: BackendKey) -> Option<&Load> {
        self.loads.get(backend)
    }

    /// Records that the capacity lease of an abandoned attempt was released.
    pub fn record_lease_released(&mut self, backend: BackendKey) {
        self.loads.mark_changed(backend);
    }

    /// Returns the number of changes so far that may have freed capacity.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.loads.change_count()
    }

    /// Returns the backend servers that may have gained free capacity since the
    /// change count was `count`, or `None` if the change log no longer covers
    /// that.
    #[must_use]
    pub fn changed_since(&self, count: u64) -> Option<impl Iterator<Item = BackendKey>> {
        self.loads.changed_since(count)
    }

    /// Returns the requests of this instance that exceed the limits of a cold
    /// backend server, least important first; none if it is not cold.
    #[must_use]
    pub fn excess_requests(&self, view: RoutingView<'_>, backend: BackendKey) -> Vec<RequestId> {
        let streams = self.loads.streams(view.now, backend);
        let in_flight = self.requests_on(backend);
        view.conditions
            .excess_requests(view.fleet, backend, &in_flight, streams)
    }

    /// Returns this instance's requests in flight on a backend server, with
    /// their remaining cost.
    #[must_use]
    pub fn requests_on(&self, backend: BackendKey) -> Vec<RequestCost> {
        self.loads
            .on_backend(backend)
            .map(|(request, attempt)| RequestCost {
                request,
                importance: attempt.importance,
                cost: attempt.remaining(),
            })
            .collect()
    }

    /// Updates the prefill speed if no cached prefix was expected, else the
    /// number of cached tokens, from a prefill time.
    fn learn_prefill(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        attempt: &AttemptLoad,
        prefill_time: Millis,
    ) {
        let tokens = attempt.cost.prefill_tokens;
        let (backend, model) = (attempt.backend, &attempt.model);
        if attempt.cached_tokens == 0 {
            let predictor = &mut self.predictor;
            return predictor.observe_prefill(now, fleet, backend, model, tokens, prefill_time);
        }
        let speeds = self.predictor.speeds(now, fleet, backend, model);
        let prefilled = (prefill_time.as_secs_f64() * speeds.prefill_tokens_per_s.value) as u64;
        let cached = tokens.saturating_sub(prefilled);
        self.affinity.observe_cached_tokens(attempt.prefix, cached);
    }

    fn is_engine(&self, fleet: &Fleet, backend: BackendKey) -> bool {
        fleet.backend(backend).target == Target::Engine
    }
}
