//! What is in flight on each backend server: this instance's attempts, and what
//! load reports say of others'.
//!
//! A report lags. What this instance sent since the report's time is added to
//! its figures, so that a burst is not sent where the last report saw room.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use la_arena::ArenaMap;

use crate::backend::LoadReport;
use crate::clock::Millis;
use crate::fleet::BackendKey;
use crate::id::RequestId;
use crate::job::Cost;
use crate::job::Job;
use crate::job::LengthClass;
use crate::prediction::Prediction;

/// Age at which a report tells nothing any more.
pub const REPORT_LIFE: Millis = Millis::from_secs(5);

/// Changes that are remembered.
const CHANGES: usize = 256;

/// An attempt in flight.
#[derive(Debug, Clone, PartialEq)]
pub struct Flight {
    /// The backend server.
    pub backend: BackendKey,
    /// The model, or the plain service's name.
    pub model: String,
    /// Hash of the prompt's first part.
    pub prefix: u64,
    /// Length class of the prompt.
    pub length: LengthClass,
    /// Who is moved last: 0 to 100.
    pub importance: u8,
    /// What it takes besides one stream.
    pub cost: Cost,
    /// Whether it runs alone.
    pub alone: bool,
    /// When it was sent.
    pub sent: Millis,
    /// Prompt tokens that were to be processed before it.
    pub ahead_tokens: u64,
    /// Prompt tokens that the engine was predicted to hold.
    pub cached_tokens: u64,
    /// Predicted times from the sending on.
    pub predicted: Prediction,
    /// The part of the backend server that it keeps busy.
    pub part: f64,
    /// When its first token came.
    pub first_token: Option<Millis>,
}

impl Flight {
    /// Returns the flight of a job that is sent now.
    #[must_use]
    pub fn new(now: Millis, backend: BackendKey, job: &Job) -> Flight {
        Flight {
            backend,
            model: job.model.clone(),
            prefix: job.prefix,
            length: job.length(),
            importance: job.importance,
            cost: job.cost(0),
            alone: job.alone,
            sent: now,
            ahead_tokens: 0,
            cached_tokens: 0,
            predicted: Prediction::default(),
            part: 0.0,
            first_token: None,
        }
    }
}

/// A prompt that is not processed yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Prefill {
    request: RequestId,
    tokens: u64,
    sent: Millis,
}

impl Flight {
    /// Returns what it still takes.
    #[must_use]
    pub fn remaining(&self) -> Cost {
        let prefill_tokens = match self.first_token {
            Some(_) => 0,
            None => self.cost.prefill_tokens,
        };
        Cost {
            prefill_tokens,
            ..self.cost
        }
    }
}

/// What is in flight on one backend server.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Attempts of this instance.
    pub streams: u32,
    /// Prompt tokens of this instance that are not processed yet.
    pub prefill_tokens: u64,
    /// Those of them in prompts that are not short.
    pub long_prefill_tokens: u64,
    /// The part of the backend server that this instance's attempts keep busy.
    pub part: f64,
    /// Whether one of the attempts has to run alone.
    pub alone: bool,
    /// When the last prompt of this instance was processed.
    last_prefilled: Millis,
    prefills: VecDeque<Prefill>,
    reported_prefill_tokens: u64,
    reported_streams: u32,
    prefill_tokens_since: u64,
    streams_since: u32,
    taken: Option<Millis>,
}

/// Attempts in flight and the load of each backend server.
#[derive(Debug, Default)]
pub struct Loads {
    flights: BTreeMap<RequestId, Flight>,
    loads: ArenaMap<BackendKey, Load>,
    changes: u64,
    changed: VecDeque<BackendKey>,
}

impl Loads {
    /// Adds an attempt. One of the same request that was not ended is ended.
    pub fn start(&mut self, request: RequestId, flight: Flight) {
        self.end(request);
        let load = self.loads.entry(flight.backend).or_default();
        load.streams += 1;
        load.prefill_tokens += flight.cost.prefill_tokens;
        if flight.length != LengthClass::Short {
            load.long_prefill_tokens += flight.cost.prefill_tokens;
        }
        load.prefills.push_back(Prefill {
            request,
            tokens: flight.cost.prefill_tokens,
            sent: flight.sent,
        });
        load.prefill_tokens_since += flight.cost.prefill_tokens;
        load.streams_since += 1;
        load.part += flight.part;
        load.alone |= flight.alone;
        self.flights.insert(request, flight);
    }

    /// Notes the first token of an attempt. Returns the attempt and how long its
    /// prompt was processed, were prompts processed in the order of sending.
    pub fn first_token(&mut self, now: Millis, request: RequestId) -> Option<(Flight, Millis)> {
        let flight = self.flights.get_mut(&request)?;
        if flight.first_token.is_some() {
            return None;
        }
        flight.first_token = Some(now);
        let flight = flight.clone();
        let load = self.loads.entry(flight.backend).or_default();
        let begun = flight.sent.max(load.last_prefilled);
        load.last_prefilled = now;
        self.prefilled(request, &flight);
        Some((flight, now.since(begun)))
    }

    /// Removes an attempt and returns it.
    pub fn end(&mut self, request: RequestId) -> Option<Flight> {
        let flight = self.flights.remove(&request)?;
        self.change(flight.backend);
        if flight.first_token.is_none() {
            self.prefilled(request, &flight);
        }
        let load = self.loads.entry(flight.backend).or_default();
        load.streams = load.streams.saturating_sub(1);
        load.part = if load.streams == 0 {
            0.0
        } else {
            load.part - flight.part
        };
        load.alone &= !flight.alone;
        Some(flight)
    }

    /// Adds a gang's member with its part of the prompt.
    pub fn reserve(&mut self, backend: BackendKey, tokens: u64) {
        let load = self.loads.entry(backend).or_default();
        load.streams += 1;
        load.prefill_tokens += tokens;
        load.long_prefill_tokens += tokens;
    }

    /// Notes that a gang's member has processed its part.
    pub fn processed(&mut self, backend: BackendKey, tokens: u64) {
        self.change(backend);
        let load = self.loads.entry(backend).or_default();
        load.prefill_tokens = load.prefill_tokens.saturating_sub(tokens);
        load.long_prefill_tokens = load.long_prefill_tokens.saturating_sub(tokens);
    }

    /// Removes a gang's member with what it has not processed.
    pub fn unreserve(&mut self, backend: BackendKey, tokens: u64) {
        self.processed(backend, tokens);
        let load = self.loads.entry(backend).or_default();
        load.streams = load.streams.saturating_sub(1);
    }

    /// Takes over a load report.
    pub fn reported(&mut self, now: Millis, backend: BackendKey, report: &LoadReport) {
        self.change(backend);
        let taken = now.since(report.age_ms);
        let since = |flight: &&Flight| flight.sent >= taken;
        let flights = self.on(backend).map(|(_, flight)| flight).filter(since);
        let flights: Vec<&Flight> = flights.collect();
        let streams = u32::try_from(flights.len()).unwrap_or(u32::MAX);
        let waiting = flights.iter().filter(|flight| flight.first_token.is_none());
        let tokens = waiting.map(|flight| flight.cost.prefill_tokens).sum();
        let load = self.loads.entry(backend).or_default();
        load.taken = Some(taken);
        load.reported_prefill_tokens = report.prefill_waiting;
        load.reported_streams = u32::try_from(report.streams.len()).unwrap_or(u32::MAX);
        load.prefill_tokens_since = tokens;
        load.streams_since = streams;
    }

    /// Returns what this instance has in flight on a backend server, if it ever
    /// had anything.
    #[must_use]
    pub fn get(&self, backend: BackendKey) -> Option<&Load> {
        self.loads.get(backend)
    }

    /// Returns how often something in flight may have made room so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the backend servers that may have got room since `changes` was
    /// the count; none: too many to tell.
    #[must_use]
    pub fn changed_since(&self, changes: u64) -> Option<impl Iterator<Item = BackendKey>> {
        let count = usize::try_from(self.changes - changes).ok()?;
        let first = self.changed.len().checked_sub(count)?;
        Some(self.changed.range(first..).copied())
    }

    /// Notes that a backend server may have got room.
    pub fn change(&mut self, backend: BackendKey) {
        self.changes += 1;
        if self.changed.len() == CHANGES {
            self.changed.pop_front();
        }
        self.changed.push_back(backend);
    }

    /// Returns the prompt tokens that a backend server has still to process:
    /// the newest report's and those sent since, and at least this instance's
    /// less what it has processed of the first at `tokens_per_s`.
    #[must_use]
    pub fn prefill_ahead(&self, now: Millis, backend: BackendKey, tokens_per_s: f64) -> u64 {
        let Some(load) = self.loads.get(backend) else {
            return 0;
        };
        let own = load.prefill_tokens - load.processed(now, tokens_per_s);
        match load.is_fresh(now) {
            true => own.max(load.reported_prefill_tokens + load.prefill_tokens_since),
            false => own,
        }
    }

    /// Returns the streams on a backend server: the newest report's and those
    /// sent since, and at least this instance's.
    #[must_use]
    pub fn streams(&self, now: Millis, backend: BackendKey) -> u32 {
        match self.loads.get(backend) {
            Some(load) if load.is_fresh(now) => load
                .streams
                .max(load.reported_streams.saturating_add(load.streams_since)),
            Some(load) => load.streams,
            None => 0,
        }
    }

    /// Returns this instance's attempts on a backend server, by request.
    pub fn on(&self, backend: BackendKey) -> impl Iterator<Item = (RequestId, &Flight)> {
        self.flights
            .iter()
            .filter(move |(_, flight)| flight.backend == backend)
            .map(|(&request, flight)| (request, flight))
    }

    fn prefilled(&mut self, request: RequestId, flight: &Flight) {
        self.change(flight.backend);
        let load = self.loads.entry(flight.backend).or_default();
        load.prefills.retain(|prefill| prefill.request != request);
        let tokens = flight.cost.prefill_tokens;
        load.prefill_tokens = load.prefill_tokens.saturating_sub(tokens);
        if load.taken.is_some_and(|taken| flight.sent >= taken) {
            load.prefill_tokens_since = load.prefill_tokens_since.saturating_sub(tokens);
        }
        if flight.length != LengthClass::Short {
            load.long_prefill_tokens = load.long_prefill_tokens.saturating_sub(tokens);
        }
    }
}

impl Load {
    /// Returns how much of this instance's first prompt is processed.
    fn processed(&self, now: Millis, tokens_per_s: f64) -> u64 {
        let Some(first) = self.prefills.front() else {
            return 0;
        };
        let span = now.since(first.sent.max(self.last_prefilled));
        let tokens = (span.as_secs_f64() * tokens_per_s) as u64;
        tokens.min(first.tokens).min(self.prefill_tokens)
    }

    /// Returns whether there is a report that is not too old.
    fn is_fresh(&self, now: Millis) -> bool {
        self.taken
            .is_some_and(|taken| now.since(taken) <= REPORT_LIFE)
    }
}
