//! What the router learns from attempts, reports and cache events.

use crate::backend::CacheEvent;
use crate::backend::LoadReport;
use crate::clock::Millis;
use crate::condition::InFlight;
use crate::condition::Sign;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::RequestId;
use crate::routing::Flight;
use crate::routing::Load;
use crate::routing::Router;
use crate::routing::View;

/// Weight of a new sample in the average of the pace.
const PACE_LEARNING: f64 = 0.02;
/// A sample of the pace counts as at most this, and at least as its inverse.
const PACE_BOUND: f64 = 4.0;

impl Router {
    /// Returns how many times faster requests end than predicted; a moving
    /// average.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Notes the first token of an attempt. Returns the backend server and a
    /// sign of its condition if the token was several times late.
    pub fn first_token(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        request: RequestId,
    ) -> Option<(BackendKey, Sign)> {
        let (flight, processing) = self.loads.first_token(now, request)?;
        let took = now.since(flight.sent);
        let (backend, model) = (flight.backend, &flight.model);
        let busy = self.predictor.busy(now, fleet, backend, model);
        if self.is_engine(fleet, backend) {
            self.learn_prefill(now, fleet, &flight, processing);
        }
        let late = flight.predicted.is_late(took, busy);
        late.then_some((flight.backend, Sign::Late))
    }

    /// Notes the end of a request's attempt, with the answer's length in tokens
    /// if it is whole. Returns whether it kept to its predicted time.
    pub fn ended(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        request: RequestId,
        tokens: Option<u32>,
    ) -> bool {
        let Some(flight) = self.loads.end(request) else {
            return true;
        };
        let Some(tokens) = tokens else {
            return false;
        };
        let start = match self.is_engine(fleet, flight.backend) {
            true => flight.first_token.unwrap_or(now),
            false => flight.sent,
        };
        let took = now.since(start);
        let (backend, model) = (flight.backend, &flight.model);
        self.predictor
            .observe_whole(now, fleet, backend, model, tokens, took);
        let took = now.since(flight.sent);
        let pace = flight.predicted.whole.0 as f64 / took.0.max(1) as f64;
        self.pace += PACE_LEARNING * (pace.clamp(1.0 / PACE_BOUND, PACE_BOUND) - self.pace);
        flight.predicted.is_in_time(took)
    }

    /// Takes over a load report.
    pub fn reported(&mut self, now: Millis, backend: BackendKey, report: &LoadReport) {
        self.loads.reported(now, backend, report);
    }

    /// Takes over an engine's cache events.
    pub fn cache_events(&mut self, now: Millis, backend: BackendKey, events: &[CacheEvent]) {
        self.affinity.events(now, backend, events);
    }

    /// Returns what this instance has in flight on a backend server, if it ever
    /// had anything.
    #[must_use]
    pub fn load(&self, backend: BackendKey) -> Option<&Load> {
        self.loads.get(backend)
    }

    /// Notes that a credit came back whose attempt was given up before.
    pub fn freed(&mut self, backend: BackendKey) {
        self.loads.change(backend);
    }

    /// Returns how often something in flight may have made room so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.loads.changes()
    }

    /// Returns the backend servers that may have got room since `changes` was
    /// the count; none: too many to tell.
    #[must_use]
    pub fn changed_since(&self, changes: u64) -> Option<impl Iterator<Item = BackendKey>> {
        self.loads.changed_since(changes)
    }

    /// Returns the requests of this instance that a backend server which turned
    /// cold cannot bear, least important first.
    #[must_use]
    pub fn surplus(&self, view: View<'_>, backend: BackendKey) -> Vec<RequestId> {
        let streams = self.loads.streams(view.now, backend);
        let in_flight = self.in_flight(backend);
        view.conditions
            .surplus(view.fleet, backend, &in_flight, streams)
    }

    /// Returns this instance's requests on a backend server.
    #[must_use]
    pub fn in_flight(&self, backend: BackendKey) -> Vec<InFlight> {
        self.loads
            .on(backend)
            .map(|(request, flight)| InFlight {
                request,
                importance: flight.importance,
                cost: flight.remaining(),
            })
            .collect()
    }

    /// Learns from a prompt that was processed in `took`: the speed where no
    /// cached prefix is expected, else how much was cached.
    fn learn_prefill(&mut self, now: Millis, fleet: &Fleet, flight: &Flight, took: Millis) {
        let tokens = flight.cost.prefill_tokens;
        let (backend, model) = (flight.backend, &flight.model);
        if flight.cached_tokens == 0 {
            let predictor = &mut self.predictor;
            return predictor.observe_first_token(now, fleet, backend, model, tokens, took);
        }
        let speeds = self.predictor.speeds(now, fleet, backend, model);
        let processed = (took.as_secs_f64() * speeds.prefill_tokens_per_s.value) as u64;
        let cached = tokens.saturating_sub(processed);
        self.affinity.observe(flight.prefix, cached);
    }

    fn is_engine(&self, fleet: &Fleet, backend: BackendKey) -> bool {
        fleet.backend(backend).target == Target::Engine
    }
}
