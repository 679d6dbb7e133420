//! What stands on one model engine, and when its requests will be answered.
//!
//! An engine works in passes of one step, or of many while any request is
//! writing. In each step it reads up to a chunk of waiting prompts. A pass goes
//! on until all it reads is read, and only then come its tokens: reading a long
//! prompt beside writers stalls them, and whoever arrives meanwhile.
//! Parts of split prompts are read before whole prompts, the newest part first.
//! A request is admitted when its prompt fits into the memory that is left; one
//! that does not fit holds up all that came after it. [`EngineLoad`] plays these
//! passes from the published figures and from what instances tell each other of
//! placements, first events and ends.
//! [`EngineLoad::forecast`] answers, for a request that is not there yet, when
//! each prompt would be read.
//!
//! The load it answers: prompts of widely differing lengths on one engine,
//! where a long one delays every short one beside it.

use crate::clock::Millis;
use crate::gateway::pace::PASS_DONE_SHARE;
use crate::gateway::pace::Pace;
use crate::gateway::route::EngineSpec;

/// Passes that a forecast plays at most; one without writers takes 10 ms or
/// more, so that this covers more than the longest prompt.
const MAX_FORECAST_PASSES: usize = 160;
/// Part of a token below which a prompt counts as read.
const READ_EPSILON: f64 = 0.5;
/// Time after which a request that was never reported as ended is dropped.
const FORGET_AFTER: Millis = Millis::from_secs(30);

/// Time for which an engine's word on its memory counts beyond what is known:
/// about as long as a long prompt takes.
const UNKNOWN_MEMORY_LIFE: Millis = Millis(2_000);

/// Names a request on every instance: a hash of its id and send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

/// What an engine does for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the prompt, or its first part, and writes the answer.
    Writer,
    /// Reads a part for another engine, ahead of its own prompts.
    Helper,
}

/// A request, or a part of one, on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its key.
    pub key: JobKey,
    /// What the engine does for it.
    pub role: Role,
    /// Urgency that the engine orders by, 0 first.
    pub urgency: u8,
    /// Prompt tokens still to be read here.
    pub unread: f64,
    /// Tokens that come before those, which reading has to look at.
    pub read: f64,
    /// Length of the whole prompt that its pairs are counted over.
    pub attention_span: f64,
    /// Memory that it takes here once it is read, in tokens.
    pub memory: f64,
    /// Tokens still to be written.
    pub unwritten: f64,
    /// Earliest time of the first token: when other engines have read their
    /// parts, in ms.
    pub ready_at: f64,
    /// Whether the engine has admitted it.
    pub admitted: bool,
    /// Whether it is read, as far as the passes have been played.
    pub done: bool,
    /// Whether its first event has been seen.
    pub started: bool,
    /// Whether its answer has been late already: its first event, or a pause.
    pub late: bool,
    /// When it was placed. A pass that runs by then goes on without it.
    pub placed_at: Millis,
    /// When its first event is due, in ms.
    pub due: f64,
    /// Longest pause between two events that is in time, in ms.
    pub gap: f64,
    /// What it is worth to its caller in time.
    pub value: f64,
    /// Tokens that the pass which runs now reads of it.
    pub reading: f64,
    /// Whether the pass which runs now writes for it.
    pub writing: bool,
}

/// All that stands on one engine.
#[derive(Debug, Clone)]
pub struct EngineLoad {
    spec: EngineSpec,
    pace: Pace,
    /// Time up to which passes have been played, in ms.
    clock: f64,
    jobs: Vec<Job>,
    /// Memory that is taken by what this instance does not know of, in tokens,
    /// and when the engine said so.
    unknown_memory: f64,
    unknown_at: Millis,
}

/// When prompts will be read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Forecast {
    /// When each prompt and part that waits will be read, in ms.
    pub read_at: Vec<(JobKey, Role, f64)>,
    /// Key and longest pass of each request that writes, in ms.
    pub pauses: Vec<(JobKey, f64)>,
    /// Time until nothing is written any more, in ms.
    pub writing_ms: f64,
}

impl EngineLoad {
    /// Returns an engine on which nothing stands.
    #[must_use]
    pub fn new(now: Millis, spec: EngineSpec) -> EngineLoad {
        EngineLoad {
            spec,
            pace: Pace::default(),
            clock: now.0 as f64,
            jobs: Vec::new(),
            unknown_memory: 0.0,
            unknown_at: Millis::ZERO,
        }
    }

    /// Takes over newly published figures.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Returns the published figures.
    #[must_use]
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Returns the factor by which the engine is slower than published.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace.factor()
    }

    /// Returns the requests and parts on the engine.
    #[must_use]
    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    /// Returns the memory that all requests on the engine will take, in tokens.
    #[must_use]
    pub fn memory(&self) -> f64 {
        self.unknown_memory + self.jobs.iter().map(|job| job.memory).sum::<f64>()
    }

    /// Takes over how much memory the engine says it has left, in tokens.
    pub fn observe_free_memory(&mut self, now: Millis, free: u64) {
        self.advance(now);
        let known: f64 = self.jobs.iter().map(Job::held).sum();
        self.unknown_memory = (self.spec.memory_tokens as f64 - free as f64 - known).max(0.0);
        self.unknown_at = now;
    }

    /// Returns how many requests the engine serves, its parts of others left
    /// out.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.jobs
            .iter()
            .filter(|job| job.role == Role::Writer)
            .count()
    }

    /// Returns how many parts the engine reads for others.
    #[must_use]
    pub fn helping(&self) -> usize {
        self.jobs.len() - self.requests()
    }

    /// Adds a request or a part.
    pub fn place(&mut self, now: Millis, job: Job) {
        self.advance(now);
        self.jobs
            .retain(|known| known.key != job.key || known.role != job.role);
        self.insert(job);
    }

    /// Adds a job in the order in which jobs are read: parts of split prompts,
    /// the newest first, then whole prompts by urgency and arrival.
    fn insert(&mut self, job: Job) {
        let at = if job.is_split() {
            self.jobs
                .partition_point(|known| known.is_split() && known.placed_at > job.placed_at)
        } else {
            self.jobs.partition_point(|known| {
                known.is_split() || known.admission_order() <= job.admission_order()
            })
        };
        self.jobs.insert(at, job);
    }

    /// Takes over that a request's first event has come.
    pub fn started(&mut self, now: Millis, key: JobKey) {
        self.advance(now);
        for job in self.jobs.iter_mut().filter(|job| job.key == key) {
            job.read += job.unread;
            job.unread = 0.0;
            job.ready_at = 0.0;
            job.admitted = true;
            job.done = true;
            job.started = true;
            job.late |= now.0 as f64 > job.due;
        }
        self.drop_finished_parts();
    }

    /// Takes over that a stream has gone on: a pass has ended then, and the next
    /// one has begun.
    pub fn progressed(&mut self, at: Millis, key: JobKey) {
        self.advance(at);
        if at.0 as f64 <= self.clock {
            return;
        }
        if !self.jobs.iter().any(|job| job.key == key && job.started) {
            return;
        }
        self.pace.pass_ended(at);
        let pass = self.begin();
        let elapsed = at.0 as f64 - self.clock;
        if elapsed > pass.ms * PASS_DONE_SHARE {
            self.end(&pass, None);
            self.expect_longer_answers();
        }
        self.clock = at.0 as f64;
        let published_ms = self.begin().ms / self.pace();
        self.pace.pass_began(at, published_ms);
    }

    /// Takes over that a request is no longer on the engine.
    pub fn ended(&mut self, now: Millis, key: JobKey) {
        self.advance(now);
        self.jobs.retain(|job| job.key != key);
    }

    /// Forgets all: the engine has started anew.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.pace = Pace::default();
    }

    /// Plays the passes up to `now`.
    pub fn advance(&mut self, now: Millis) {
        let now_ms = now.0 as f64;
        if now.since(self.unknown_at) > UNKNOWN_MEMORY_LIFE {
            self.unknown_memory = 0.0;
        }
        self.jobs
            .retain(|job| now.since(job.placed_at) < FORGET_AFTER);
        while self.clock < now_ms {
            if self.jobs.is_empty() {
                self.clock = now_ms;
                return;
            }
            let pass = self.begin();
            if pass.idle {
                self.clock = self.next_event().min(now_ms);
                continue;
            }
            if self.clock + pass.ms > now_ms {
                // The pass that runs now ends later.
                return;
            }
            self.end(&pass, None);
            self.expect_longer_answers();
        }
    }

    /// Returns when prompts will be read if `added` is placed here now.
    #[must_use]
    pub fn forecast(&self, added: Option<&Job>) -> Forecast {
        let mut future = self.clone();
        if future.jobs.is_empty() && added.is_none() {
            return Forecast::default();
        }
        let start = self.clock;
        if let Some(job) = added {
            future.insert(job.clone());
        }
        let mut forecast = Forecast::default();
        let mut waiting = future.waiting();
        for _ in 0..MAX_FORECAST_PASSES {
            if waiting == 0 {
                break;
            }
            let pass = future.begin();
            if pass.idle {
                future.clock = future.next_event();
            }
            waiting -= future.end(&pass, Some(&mut forecast));
        }
        // What was not reached gets the end of the forecast as a lower bound.
        for job in future.jobs.iter().filter(|job| !job.done) {
            let at = future.clock.max(job.ready_at);
            forecast.read_at.push((job.key, job.role, at));
        }
        let unwritten = future
            .jobs
            .iter()
            .map(|job| job.unwritten)
            .fold(0.0, f64::max);
        let steps = f64::from(self.spec.steps_per_pass);
        forecast.writing_ms =
            future.clock - start + (unwritten / steps).ceil() * steps * self.spec.step_ms;
        forecast
    }

    /// Lets answers that are longer than expected go on for a pass.
    fn expect_longer_answers(&mut self) {
        for job in self.jobs.iter_mut().filter(|job| job.role == Role::Writer) {
            if job.unwritten <= 0.0 {
                let steps = f64::from(self.spec.steps_per_pass);
                job.unwritten = steps;
                job.memory += steps;
            }
        }
    }

    /// Counts the prompts and parts that are not read yet.
    fn waiting(&self) -> usize {
        self.jobs.iter().filter(|job| !job.done).count()
    }

    /// Returns when something changes on an engine that is idle: a request
    /// arrives, or other engines have read their parts.
    fn next_event(&self) -> f64 {
        const LOOK_AHEAD_MS: f64 = 1_000.0;
        self.jobs
            .iter()
            .flat_map(|job| [job.placed_at.0 as f64, job.ready_at])
            .filter(|&at| at > self.clock)
            .fold(self.clock + LOOK_AHEAD_MS, f64::min)
    }

    /// Begins the next pass: admits what fits, and sets what each job reads and
    /// writes in it. Jobs stand in the order in which they are read.
    fn begin(&mut self) -> Pass {
        self.admit();
        let clock = self.clock;
        let mut writers = 0_u32;
        let mut context = 0.0;
        for job in &mut self.jobs {
            job.reading = 0.0;
            job.writing = job.writes(clock);
            if job.writing {
                writers += 1;
                context += job.held();
            }
        }
        let spec = self.spec;
        let step = spec.step_ms
            + f64::from(writers) * spec.step_per_writer_ms
            + context / 1000.0 * spec.step_per_kilotoken_ms;
        let chunk = spec.chunk_tokens as f64;
        if writers == 0 {
            return self.begin_reading(step, chunk);
        }
        let steps = f64::from(spec.steps_per_pass);
        let mut budget = chunk * steps;
        let mut reading_ms = 0.0;
        for job in self.jobs.iter_mut().filter(|job| job.reads(clock)) {
            job.reading = job.unread.min(budget);
            budget -= job.reading;
            reading_ms += job.reading_ms(&spec);
            if budget < READ_EPSILON {
                break;
            }
        }
        Pass {
            ms: (steps * step + reading_ms) * self.pace(),
            idle: false,
        }
    }

    /// Begins passes in which nobody writes: the first prompt is read step by
    /// step until it is done, or until something else comes.
    fn begin_reading(&mut self, step: f64, chunk: f64) -> Pass {
        let (clock, spec, pace) = (self.clock, self.spec, self.pace());
        let next = self.next_event();
        let Some(job) = self.jobs.iter_mut().find(|job| job.reads(clock)) else {
            return Pass {
                ms: 0.0,
                idle: true,
            };
        };
        job.reading = job.unread.min(chunk);
        let one = (step + job.reading_ms(&spec)) * pace;
        let steps_to_event = ((next - clock) / one).ceil().max(1.0);
        job.reading = job.unread.min(chunk * steps_to_event);
        let steps = (job.reading / chunk).ceil();
        Pass {
            ms: (steps * step + job.reading_ms(&spec)) * pace,
            idle: false,
        }
    }

    /// Admits the requests that have come, by urgency and arrival, until one
    /// does not fit.
    fn admit(&mut self) {
        let mut slots = self.spec.slots as usize;
        let mut memory = self.spec.memory_tokens as f64 - self.unknown_memory;
        let mut waiting = false;
        for job in &self.jobs {
            if job.admitted || job.role == Role::Helper {
                memory -= job.held();
                slots = slots.saturating_sub(usize::from(job.role == Role::Writer));
            } else {
                waiting = true;
            }
        }
        if !waiting {
            return;
        }
        let clock = self.clock;
        let mut arrived: Vec<&mut Job> = self
            .jobs
            .iter_mut()
            .filter(|job| job.role == Role::Writer && !job.admitted && !job.arrives_after(clock))
            .collect();
        arrived.sort_by_key(|job| job.admission_order());
        for job in arrived {
            if slots == 0 || job.held() > memory {
                return;
            }
            slots -= 1;
            memory -= job.held();
            job.admitted = true;
        }
    }

    /// Ends a pass; returns how many prompts and parts are read now and were
    /// not before.
    fn end(&mut self, pass: &Pass, mut forecast: Option<&mut Forecast>) -> usize {
        let steps = f64::from(self.spec.steps_per_pass);
        self.clock += pass.ms;
        let clock = self.clock;
        let mut finished = 0;
        let mut parts_finished = false;
        for job in &mut self.jobs {
            if job.writing {
                match forecast.as_deref_mut() {
                    Some(forecast) => forecast.pause(job.key, pass.ms),
                    None => job.late |= pass.ms > job.gap,
                }
                job.unwritten = (job.unwritten - steps).max(0.0);
            }
            job.unread -= job.reading;
            job.read += job.reading;
            if job.done || !job.is_read(clock) {
                continue;
            }
            finished += 1;
            job.done = true;
            job.unread = 0.0;
            parts_finished |= job.role == Role::Helper;
            if let Some(forecast) = forecast.as_deref_mut() {
                forecast.read_at.push((job.key, job.role, clock));
            }
        }
        if parts_finished {
            self.drop_finished_parts();
        }
        finished
    }

    /// Drops parts that are read, unless they hold memory until the end.
    fn drop_finished_parts(&mut self) {
        self.jobs
            .retain(|job| job.role == Role::Writer || job.unread > 0.0 || job.memory > 0.0);
    }
}

impl Forecast {
    /// Returns when a prompt or part will be read, in ms.
    #[must_use]
    pub fn time(&self, key: JobKey, role: Role) -> Option<f64> {
        self.read_at
            .iter()
            .find(|(known, known_role, _)| *known == key && *known_role == role)
            .map(|(_, _, at)| *at)
    }

    fn pause(&mut self, key: JobKey, ms: f64) {
        match self.pauses.iter_mut().find(|(known, _)| *known == key) {
            Some((_, longest)) => *longest = longest.max(ms),
            None => self.pauses.push((key, ms)),
        }
    }
}

/// One pass of an engine, or several in which nobody writes.
#[derive(Debug)]
struct Pass {
    ms: f64,
    /// Whether there is nothing to do.
    idle: bool,
}

impl Job {
    /// Returns the memory that it takes now, in tokens.
    fn held(&self) -> f64 {
        self.memory - self.unwritten
    }

    /// Returns whether other engines read parts of its prompt, or it is such a
    /// part.
    fn is_split(&self) -> bool {
        self.attention_span > 0.0
    }

    /// Returns by what requests are admitted.
    fn admission_order(&self) -> (u8, Millis) {
        (self.urgency, self.placed_at)
    }

    /// Returns whether it comes to the engine after `clock`.
    fn arrives_after(&self, clock: f64) -> bool {
        self.placed_at.0 as f64 > clock
    }

    /// Returns whether it has tokens that can be read now.
    fn reads(&self, clock: f64) -> bool {
        let here = match self.role {
            Role::Writer => self.admitted,
            Role::Helper => !self.arrives_after(clock),
        };
        here && self.unread > READ_EPSILON
    }

    /// Returns how long it takes to read what the pass reads of it.
    fn reading_ms(&self, spec: &EngineSpec) -> f64 {
        let tokens = self.reading;
        tokens / spec.read_tokens_per_ms
            + self.attention_mpairs(tokens) * spec.attention_ms_per_mpair
    }

    fn is_read(&self, clock: f64) -> bool {
        self.started || (self.unread <= READ_EPSILON && self.ready_at <= clock)
    }

    fn writes(&self, clock: f64) -> bool {
        self.role == Role::Writer && self.admitted && self.is_read(clock) && self.unwritten > 0.0
    }

    /// Returns the millions of pairs that reading `tokens` more has to look at.
    fn attention_mpairs(&self, tokens: f64) -> f64 {
        // A part has its share of the pairs of the whole prompt, so its tokens
        // look at half of the prompt on average.
        let looked_at = if self.attention_span > 0.0 {
            self.attention_span / 2.0
        } else {
            self.read + tokens / 2.0
        };
        tokens * looked_at / 1e6
    }
}
