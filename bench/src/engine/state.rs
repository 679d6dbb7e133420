//! An engine's streams, memory and condition, on a clock of the caller.

mod report;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::answer::prompt_hash;
use crate::answer::prompt_tokens;
use crate::answer::token_text;
use crate::engine::EngineConfig;
use crate::engine::EngineFault;
use crate::engine::EngineStats;
use crate::engine::Marks;
use crate::engine::OldEpochs;
use crate::engine::Submit;
use crate::engine::Submitted;
use crate::engine::cache::PrefixCache;
use crate::engine::stream::Stream;
use crate::site::ChunkWriter;
use skylarkhook::backend::CacheEvent;
use skylarkhook::backend::LoadReport;
use skylarkhook::backend::Rejection;
use skylarkhook::clock::Millis;

/// Longest step of time that is made up for at once.
const STEP_MAX: Millis = Millis(200);
/// An engine without its sockets.
pub struct EngineState {
    pub(super) cfg: EngineConfig,
    pub(super) streams: BTreeMap<String, Stream>,
    pub(super) cache: PrefixCache,
    pub(super) stats: EngineStats,
    boot: u64,
    epoch: u64,
    sequence: u64,
    /// Completed requests since the last cold start; none: warm.
    cold: Option<u32>,
    /// Until when it bears what its sudden turn to cold left in flight.
    lenient_until: Millis,
    down_until: Option<Millis>,
    leaving: bool,
    speed: f64,
    late: Millis,
    crossed: u32,
    lose_answers: u32,
    runs: HashMap<String, u32>,
    reports: VecDeque<(Millis, LoadReport)>,
    ticked: Millis,
}

impl EngineState {
    /// Returns an engine that has just booted, cold.
    #[must_use]
    pub fn new(cfg: EngineConfig) -> EngineState {
        EngineState {
            stats: EngineStats {
                name: cfg.name.clone(),
                domain: cfg.domain.clone(),
                ..EngineStats::default()
            },
            cfg,
            streams: BTreeMap::new(),
            cache: PrefixCache::default(),
            boot: 1,
            epoch: 0,
            sequence: 0,
            cold: Some(0),
            lenient_until: Millis::ZERO,
            down_until: None,
            leaving: false,
            speed: 1.0,
            late: Millis::ZERO,
            crossed: 0,
            lose_answers: 0,
            runs: HashMap::new(),
            reports: VecDeque::new(),
            ticked: Millis::ZERO,
        }
    }

    /// Returns whether it is down.
    #[must_use]
    pub fn down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Takes a stream in, or refuses it.
    pub fn submit(&mut self, now: Millis, submit: &Submit) -> Submitted {
        if let Err(rejection) = self.check(submit) {
            self.count_rejection(rejection);
            return Submitted::Rejected(rejection);
        }
        if self.streams.remove(&submit.request).is_some() {
            self.stats.replaced += 1;
        }
        let stream = self.stream(now, submit);
        self.stats.submitted += 1;
        self.count_run(&submit.request);
        self.streams.insert(submit.request.clone(), stream);
        self.raise_marks(now);
        if self.fall_over(now) {
            return Submitted::Crashed;
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Submitted::AnswerLost;
        }
        Submitted::Accepted
    }

    /// Checks the epoch of an order and remembers it.
    ///
    /// # Errors
    ///
    /// Returns an error if it is older than one seen, and this engine minds.
    pub fn check_epoch(&mut self, epoch: u64) -> Result<(), Rejection> {
        if epoch >= self.epoch {
            self.epoch = epoch;
            return Ok(());
        }
        if self.cfg.old_epochs == OldEpochs::Refuse {
            return Err(Rejection::StaleEpoch);
        }
        self.stats.old_epochs_run += 1;
        Ok(())
    }

    /// Checks that a stream can be read on at `offset`.
    ///
    /// # Errors
    ///
    /// Returns an error if the epoch is old, or the stream is not here.
    pub fn check_resume(
        &mut self,
        epoch: u64,
        request: &str,
        offset: u32,
    ) -> Result<(), Rejection> {
        self.check_epoch(epoch)?;
        match self.streams.get(request) {
            Some(stream) if offset <= stream.total() => {
                self.stats.resumed += 1;
                Ok(())
            }
            _ => Err(Rejection::UnknownStream),
        }
    }

    /// Connects the reader of a stream.
    pub fn attach(
        &mut self,
        now: Millis,
        request: &str,
        attempt: u32,
        offset: u32,
        sink: ChunkWriter,
    ) {
        if let Some(stream) = self.streams.get_mut(request) {
            stream.attach(now, attempt, offset, sink);
        }
    }

    /// Serves one more model.
    pub fn load_model(&mut self, model: String) {
        if !self.cfg.models.contains(&model) {
            self.cfg.models.push(model);
        }
    }

    /// Returns the cache events after a sequence number.
    #[must_use]
    pub fn cache_events(&self, now: Millis, after: u64) -> Vec<CacheEvent> {
        self.cache.events(now, self.cfg.event_lag_ms, after)
    }

    /// Stops a stream and frees its memory; returns whether it was there.
    pub fn cancel(&mut self, request: &str) -> bool {
        let Some(stream) = self.streams.remove(request) else {
            return false;
        };
        if let Some(sink) = stream.sink {
            sink.abort();
        }
        self.stats.cancelled += 1;
        true
    }

    /// Carries out a fault order.
    pub fn fault(&mut self, now: Millis, fault: &EngineFault) {
        if fault.cold {
            self.turn_cold(now);
        }
        if fault.warm {
            self.cold = None;
        }
        if fault.silent {
            let sinks = self.streams.values_mut().filter_map(|s| s.sink.as_mut());
            sinks.for_each(|sink| sink.muted = true);
        }
        self.leaving |= fault.leave;
        self.speed = fault.slow.unwrap_or(self.speed);
        self.late = fault.late_ms.unwrap_or(self.late);
        self.crossed = fault.crossed.unwrap_or(self.crossed);
        self.lose_answers = fault.lose_answers.unwrap_or(self.lose_answers);
        self.cfg.load_lag_ms = fault.lag_ms.unwrap_or(self.cfg.load_lag_ms);
        self.cfg.event_lag_ms = fault.delay_events_ms.unwrap_or(self.cfg.event_lag_ms);
        self.cfg.old_epochs = fault.epochs.unwrap_or(self.cfg.old_epochs);
        self.cache.drop_events = fault.drop_events.unwrap_or(self.cache.drop_events);
        if fault.crash {
            self.crash(now, self.cfg.restart_ms);
        }
        if let Some(span) = fault.down_ms {
            self.crash(now, span);
        }
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        let marks = self.marks();
        EngineStats {
            boot: self.boot,
            warm: self.cold.is_none(),
            down: self.down(),
            streams: marks.streams,
            memory_used: marks.memory_tokens,
            ..self.stats.clone()
        }
    }

    /// Lets time pass: processes prompts, generates tokens and sends them.
    pub fn tick(&mut self, now: Millis) {
        let step = now.since(self.ticked).min(STEP_MAX);
        self.ticked = now;
        if let Some(until) = self.down_until {
            if now < until {
                return;
            }
            self.down_until = None;
        }
        if self.prefill(now, step) {
            self.stats.poison_crashes += 1;
            return self.crash(now, self.cfg.restart_ms);
        }
        self.decode(now, step);
        self.send(now);
        self.expire(now);
        if !self.fall_over(now) {
            self.record_report(now);
        }
    }

    fn check(&mut self, submit: &Submit) -> Result<(), Rejection> {
        let models = &self.cfg.models;
        if submit.max_tokens == 0 || !models.is_empty() && !models.contains(&submit.model) {
            return Err(Rejection::Invalid);
        }
        self.check_epoch(submit.epoch)?;
        let old = self.streams.get(&submit.request);
        let freed = old.map_or(0, |stream| stream.memory_tokens);
        let wanted = prompt_tokens(&submit.prompt) + u64::from(submit.max_tokens);
        let used = self.marks().memory_tokens - freed;
        if self.leaving || used + wanted > self.cfg.memory_tokens {
            return Err(Rejection::Full);
        }
        Ok(())
    }

    fn stream(&mut self, now: Millis, submit: &Submit) -> Stream {
        let hash = prompt_hash(&submit.prompt);
        let prompt = prompt_tokens(&submit.prompt);
        let so_far: String = (0..submit.offset).map(|i| token_text(hash, i)).collect();
        if so_far != submit.generated {
            self.stats.wrong_continuations += 1;
        }
        let cached = self.cache.touch(submit.prefix).min(prompt);
        self.stats.cached_tokens += cached;
        self.sequence += 1;
        let poison = &self.cfg.poison;
        Stream {
            request: submit.request.clone(),
            attempt: submit.attempt,
            owner: submit.owner.clone(),
            priority: submit.priority,
            sequence: self.sequence,
            prefix: submit.prefix,
            prompt_tokens: prompt,
            memory_tokens: prompt + u64::from(submit.max_tokens),
            // A stream that continues an answer processes that part as well.
            prefill_left: (prompt - cached + u64::from(submit.offset)).max(1) as f64,
            poison: !poison.is_empty() && submit.prompt.contains(poison.as_str()),
            hash,
            max_tokens: submit.max_tokens,
            produced: submit.offset,
            credit: 0.0,
            due: VecDeque::new(),
            sent: submit.offset,
            sink: None,
            idle_since: Some(now),
            sent_at: now,
        }
    }

    /// Processes prompts, the most important first; returns whether one of them
    /// crashes the engine.
    fn prefill(&mut self, now: Millis, step: Millis) -> bool {
        let speed = self.speed();
        let mut budget = self.cfg.prefill_tokens_per_s * step.as_secs_f64() * speed;
        let mut waiting: Vec<&mut Stream> = self
            .streams
            .values_mut()
            .filter(|stream| stream.prefill_left > 0.0)
            .collect();
        waiting.sort_by_key(|stream| (u8::MAX - stream.priority, stream.sequence));
        let mut crash = false;
        for stream in waiting {
            if budget <= 0.0 {
                break;
            }
            let done = budget.min(stream.prefill_left);
            budget -= done;
            stream.prefill_left -= done;
            self.stats.prefill_tokens += done as u64;
            if stream.prefill_left > 0.0 {
                break;
            }
            stream.credit = 1.0;
            crash |= stream.poison;
            let held = self.cfg.prefix_tokens.min(stream.prompt_tokens);
            self.cache
                .insert(now, stream.prefix, held, self.cfg.cache_tokens);
        }
        crash
    }

    fn decode(&mut self, now: Millis, step: Millis) {
        let batch = self.streams.values().filter(|s| s.decoding()).count();
        if batch == 0 {
            return;
        }
        let shared = self.cfg.decode_tokens_per_s / batch as f64;
        let rate = shared.min(1000.0 / self.cfg.token_ms) * self.speed();
        let due = now + self.late;
        for stream in self.streams.values_mut().filter(|s| s.decoding()) {
            stream.credit += rate * step.as_secs_f64();
            while stream.credit >= 1.0 && !stream.generated() {
                stream.credit -= 1.0;
                stream.produce(due);
                self.stats.tokens += 1;
            }
        }
    }

    fn send(&mut self, now: Millis) {
        let mut completed = 0;
        for stream in self.streams.values_mut() {
            let generating = stream.memory_tokens > 0;
            if generating && stream.generated() {
                stream.memory_tokens = 0;
                completed += 1;
            }
        }
        let crossed = &mut self.crossed;
        self.streams.retain(|_, stream| !stream.send(now, crossed));
        self.stats.completed += u64::from(completed);
        if let Some(done) = &mut self.cold {
            *done += completed;
            if *done >= self.cfg.cold_completions {
                self.cold = None;
            }
        }
    }

    fn expire(&mut self, now: Millis) {
        let grace = self.cfg.grace_ms;
        let before = self.streams.len();
        self.streams.retain(|_, stream| {
            let idle = stream.idle_since;
            idle.is_none_or(|since| now.since(since) < grace)
        });
        self.stats.expired += (before - self.streams.len()) as u64;
    }

    /// Crashes if it is cold and holds more than it bears then; returns whether
    /// it did.
    fn fall_over(&mut self, now: Millis) -> bool {
        let bears = self.cold.is_none() || now < self.lenient_until;
        if bears || !self.marks().above(self.cfg.cold).any() {
            return false;
        }
        self.stats.cold_crashes += 1;
        self.crash(now, self.cfg.restart_ms);
        true
    }

    fn turn_cold(&mut self, now: Millis) {
        self.cold = Some(0);
        self.cache.clear();
        self.lenient_until = now + self.cfg.cold_grace_ms;
    }

    fn crash(&mut self, now: Millis, span: Millis) {
        let streams = std::mem::take(&mut self.streams);
        for sink in streams.into_values().filter_map(|stream| stream.sink) {
            sink.abort();
        }
        self.cache.clear();
        self.reports.clear();
        self.boot += 1;
        self.epoch = 0;
        self.cold = Some(0);
        self.lenient_until = Millis::ZERO;
        self.stats.crashes += 1;
        self.down_until = Some(now + span);
    }

    fn speed(&self) -> f64 {
        let cold = if self.cold.is_some() {
            self.cfg.cold_speed
        } else {
            1.0
        };
        self.speed * cold
    }

    /// Returns the amounts in flight.
    fn marks(&self) -> Marks {
        let live = || self.streams.values().filter(|s| s.memory_tokens > 0);
        Marks {
            streams: live().count() as u64,
            memory_tokens: live().map(|s| s.memory_tokens).sum(),
            prefill_tokens: live().map(|s| s.prefill_left.max(0.0) as u64).sum(),
        }
    }

    fn raise_marks(&mut self, now: Millis) {
        let marks = self.marks();
        self.stats.highest.raise(marks);
        if self.cold.is_none() {
            self.stats.excess_warm.raise(marks.above(self.cfg.warm));
        } else if now >= self.lenient_until {
            self.stats.excess_cold.raise(marks.above(self.cfg.cold));
        }
    }

    fn count_run(&mut self, request: &str) {
        let runs = self.runs.entry(request.to_owned()).or_default();
        *runs += 1;
        self.stats.runs_max = self.stats.runs_max.max(*runs);
    }

    fn count_rejection(&mut self, rejection: Rejection) {
        match rejection {
            Rejection::Full => self.stats.refused_full += 1,
            Rejection::StaleEpoch => self.stats.refused_epoch += 1,
            _ => {}
        }
    }
}
