//! Load of one model engine, and a simulation of its forward passes that
//! predicts when each prompt is prefilled.
//!
//! A pass is one step, or several steps while any request decodes. In each step
//! the engine prefills up to one chunk of waiting prompts. Tokens are emitted
//! only at the end of a pass, so the prefill of a long prompt stalls decoding
//! streams and all prompts that arrive during it. Parts of split prompts are
//! prefilled before unsplit prompts, the newest part first. A request is
//! admitted when its prompt fits into free memory; one that does not fit blocks
//! all later ones. [`EngineLoad`] simulates these passes from the engine's
//! published timings ([`EngineSpec`]) and from the placements, first outputs
//! and ends that instances report to each other. [`EngineLoad::forecast`]
//! predicts when each prompt is prefilled if one more request is placed.
//!
//! Intended for prompts of widely differing lengths on one engine, where a long
//! prompt delays the short ones batched with it.

use crate::clock::Millis;
use crate::gateway::route::EngineSpec;
use crate::gateway::slowdown::MIN_PASS_SHARE;
use crate::gateway::slowdown::Slowdown;

/// Maximum passes in a forecast. The bound assumes that a pass without
/// decoding takes at least 10 ms, so that many passes cover more than the
/// prefill of the longest prompt. Jobs not prefilled by then get the end of the
/// simulation as a lower bound.
const MAX_FORECAST_PASSES: usize = 160;
/// Remaining tokens below which a prompt counts as prefilled.
const PREFILL_EPSILON_TOKENS: f64 = 0.5;
/// Time after which a request is dropped if its end was never reported.
const JOB_EXPIRY: Millis = Millis::from_secs(30);

/// Share of an answer's expected length that is still to come, at the median,
/// while its end has not been reported: lengths are estimated, and about half of
/// the answers are longer.
const MIN_REMAINING_SHARE: f64 = 0.4;
/// Time for which memory that an engine reported as used, but that no known job
/// accounts for, is counted: about the duration of a long request.
const UNTRACKED_MEMORY_EXPIRY: Millis = Millis(2_000);

/// Identifies one attempt of a request, on all instances alike: a hash of the
/// request's id, XORed with the attempt's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

/// Role of an engine for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Prefills the prompt, or its first part, and decodes the answer.
    Primary,
    /// Prefills a part for another engine, ahead of its own prompts.
    Helper,
}

/// A request, or a part of one, on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Key of the attempt.
    pub key: JobKey,
    /// Role of the engine.
    pub role: Role,
    /// Priority by which the engine orders requests, 0 first.
    pub engine_priority: u8,
    /// Prompt tokens not prefilled here yet.
    pub prefill_tokens_left: f64,
    /// Tokens already prefilled, which attention has to cover.
    pub context_tokens: f64,
    /// Length of the whole prompt if it is split, else 0. Attention cost of a
    /// part is computed from it.
    pub split_prompt_tokens: f64,
    /// Memory that the job takes here when it is complete, in tokens.
    pub memory: f64,
    /// Expected length of the answer, in tokens.
    pub output_tokens: f64,
    /// Output tokens not decoded yet.
    pub decode_tokens_left: f64,
    /// When the helpers have prefilled their parts, in ms: the earliest time of
    /// the first token.
    pub parts_ready_at: f64,
    /// Whether the engine has admitted the request.
    pub admitted: bool,
    /// Whether the simulation has prefilled the job.
    pub prefill_done: bool,
    /// Whether the first output was observed.
    pub first_output_seen: bool,
    /// Whether the first output or a gap between events was already late.
    pub late: bool,
    /// When the job was placed. A pass that is running at that time does not
    /// include it.
    pub placed_at: Millis,
    /// When the first output is due, in ms.
    pub due_at: f64,
    /// Longest acceptable gap between two events, in ms.
    pub max_gap_ms: f64,
    /// Utility of an answer on time.
    pub utility: f64,
    /// Tokens of this job that the current pass prefills.
    pub pass_prefill_tokens: f64,
    /// Whether the current pass decodes for this job.
    pub decodes_in_pass: bool,
}

/// Simulated load of one engine.
#[derive(Debug, Clone)]
pub struct EngineLoad {
    spec: EngineSpec,
    slowdown: Slowdown,
    /// Time up to which passes have been simulated, in ms.
    simulated_until: f64,
    jobs: Vec<Job>,
    /// Memory taken by jobs that this instance does not know, in tokens, and
    /// when the engine reported it.
    untracked_memory: f64,
    untracked_memory_at: Millis,
}

/// Predicted times of the jobs on an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Forecast {
    /// When each waiting prompt and part is prefilled, in ms.
    pub prefilled_at: Vec<(JobKey, Role, f64)>,
    /// Longest pass in ms that each decoding request sees.
    pub longest_gaps: Vec<(JobKey, f64)>,
    /// Time until all known requests are decoded, in ms.
    pub decode_ms: f64,
}

impl EngineLoad {
    /// Creates an engine without load.
    #[must_use]
    pub fn new(now: Millis, spec: EngineSpec) -> EngineLoad {
        EngineLoad {
            spec,
            slowdown: Slowdown::default(),
            simulated_until: now.0 as f64,
            jobs: Vec::new(),
            untracked_memory: 0.0,
            untracked_memory_at: Millis::ZERO,
        }
    }

    /// Replaces the published timings.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Returns the published timings.
    #[must_use]
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Returns the factor by which the engine is slower than published.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown.factor()
    }

    /// Returns the requests and parts on the engine.
    #[must_use]
    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    /// Returns the memory that all requests on the engine take when complete,
    /// in tokens.
    #[must_use]
    pub fn memory(&self) -> f64 {
        self.untracked_memory + self.jobs.iter().map(|job| job.memory).sum::<f64>()
    }

    /// Records the free memory that the engine reported, in tokens.
    pub fn observe_free_memory(&mut self, now: Millis, free: u64) {
        self.advance(now);
        let tracked: f64 = self.jobs.iter().map(Job::current_memory).sum();
        self.untracked_memory = (self.spec.memory_tokens as f64 - free as f64 - tracked).max(0.0);
        self.untracked_memory_at = now;
    }

    /// Returns the number of requests on the engine, not counting parts for
    /// other engines.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.jobs
            .iter()
            .filter(|job| job.role == Role::Primary)
            .count()
    }

    /// Returns the number of parts that the engine prefills for others.
    #[must_use]
    pub fn helper_count(&self) -> usize {
        self.jobs.len() - self.request_count()
    }

    /// Adds a request or a part, replacing an earlier one with the same key and
    /// role.
    pub fn add(&mut self, now: Millis, job: Job) {
        self.advance(now);
        self.jobs
            .retain(|other| other.key != job.key || other.role != job.role);
        self.insert(job);
    }

    /// Inserts a job in prefill order: parts of split prompts, newest first,
    /// then unsplit prompts by priority and arrival.
    fn insert(&mut self, job: Job) {
        let index = if job.is_split() {
            self.jobs
                .partition_point(|other| other.is_split() && other.placed_at > job.placed_at)
        } else {
            self.jobs.partition_point(|other| {
                other.is_split() || other.admission_order() <= job.admission_order()
            })
        };
        self.jobs.insert(index, job);
    }

    /// Records the first output of a request, which implies that its prefill is
    /// complete.
    pub fn record_first_output(&mut self, now: Millis, key: JobKey) {
        self.advance(now);
        for job in self.jobs.iter_mut().filter(|job| job.key == key) {
            job.context_tokens += job.prefill_tokens_left;
            job.prefill_tokens_left = 0.0;
            job.parts_ready_at = 0.0;
            job.admitted = true;
            job.prefill_done = true;
            job.first_output_seen = true;
            job.late |= now.0 as f64 > job.due_at;
        }
        self.drop_completed_parts();
    }

    /// Records an event of a stream, which marks the end of one pass and the
    /// start of the next.
    pub fn record_progress(&mut self, at: Millis, key: JobKey) {
        self.advance(at);
        if at.0 as f64 <= self.simulated_until {
            return;
        }
        if !self
            .jobs
            .iter()
            .any(|job| job.key == key && job.first_output_seen)
        {
            return;
        }
        self.slowdown.record_pass_end(at);
        let pass = self.begin_pass();
        let elapsed = at.0 as f64 - self.simulated_until;
        if elapsed > pass.duration_ms * MIN_PASS_SHARE {
            self.end_pass(&pass, None);
            self.extend_overrunning_answers();
        }
        self.simulated_until = at.0 as f64;
        let published_ms = self.begin_pass().duration_ms / self.slowdown();
        self.slowdown.record_pass_start(at, published_ms);
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, now: Millis, key: JobKey) {
        self.advance(now);
        self.jobs.retain(|job| job.key != key);
    }

    /// Drops all jobs after a restart of the engine.
    pub fn reset(&mut self) {
        self.jobs.clear();
        self.slowdown = Slowdown::default();
    }

    /// Simulates the passes up to `now`.
    pub fn advance(&mut self, now: Millis) {
        let now_ms = now.0 as f64;
        if now.since(self.untracked_memory_at) > UNTRACKED_MEMORY_EXPIRY {
            self.untracked_memory = 0.0;
        }
        self.jobs
            .retain(|job| now.since(job.placed_at) < JOB_EXPIRY);
        while self.simulated_until < now_ms {
            if self.jobs.is_empty() {
                self.simulated_until = now_ms;
                return;
            }
            let pass = self.begin_pass();
            if pass.idle {
                self.simulated_until = self.next_event_at().min(now_ms);
                continue;
            }
            if self.simulated_until + pass.duration_ms > now_ms {
                // The current pass ends after `now`.
                return;
            }
            self.end_pass(&pass, None);
            self.extend_overrunning_answers();
        }
    }

    /// Predicts when prompts are prefilled if `added` is placed here now.
    #[must_use]
    pub fn forecast(&self, added: Option<&Job>) -> Forecast {
        let mut simulation = self.clone();
        if simulation.jobs.is_empty() && added.is_none() {
            return Forecast::default();
        }
        let start = self.simulated_until;
        if let Some(job) = added {
            simulation.insert(job.clone());
        }
        let mut forecast = Forecast::default();
        let mut remaining = simulation.waiting_count();
        for _ in 0..MAX_FORECAST_PASSES {
            if remaining == 0 {
                break;
            }
            let pass = simulation.begin_pass();
            if pass.idle {
                simulation.simulated_until = simulation.next_event_at();
            }
            remaining -= simulation.end_pass(&pass, Some(&mut forecast));
        }
        // Jobs beyond the forecast's horizon get its end as a lower bound.
        for job in simulation.jobs.iter().filter(|job| !job.prefill_done) {
            let at = simulation.simulated_until.max(job.parts_ready_at);
            forecast.prefilled_at.push((job.key, job.role, at));
        }
        let decode_tokens_left = simulation
            .jobs
            .iter()
            .map(|job| job.decode_tokens_left)
            .fold(0.0, f64::max);
        let steps = f64::from(self.spec.steps_per_pass);
        forecast.decode_ms = simulation.simulated_until - start
            + (decode_tokens_left / steps).ceil() * steps * self.spec.step_ms;
        forecast
    }

    /// Extends answers near or beyond their expected length whose end has not
    /// been reported: see [`MIN_REMAINING_SHARE`].
    fn extend_overrunning_answers(&mut self) {
        let steps = f64::from(self.spec.steps_per_pass);
        for job in self.jobs.iter_mut().filter(|job| job.role == Role::Primary) {
            let remaining = (job.output_tokens * MIN_REMAINING_SHARE).max(steps);
            let missing = remaining - job.decode_tokens_left;
            if missing > 0.0 {
                job.decode_tokens_left = remaining;
                job.memory += missing;
            }
        }
    }

    /// Counts the prompts and parts that are not prefilled yet.
    fn waiting_count(&self) -> usize {
        self.jobs.iter().filter(|job| !job.prefill_done).count()
    }

    /// Returns the next time, at most `LOOK_AHEAD_MS` ahead, at which a request
    /// arrives or helpers complete their parts.
    fn next_event_at(&self) -> f64 {
        const LOOK_AHEAD_MS: f64 = 1_000.0;
        self.jobs
            .iter()
            .flat_map(|job| [job.placed_at.0 as f64, job.parts_ready_at])
            .filter(|&at| at > self.simulated_until)
            .fold(self.simulated_until + LOOK_AHEAD_MS, f64::min)
    }

    /// Begins the next pass: admits requests that fit, and sets what the pass
    /// prefills and decodes. Jobs are in prefill order.
    fn begin_pass(&mut self) -> Pass {
        self.admit();
        let now_ms = self.simulated_until;
        let mut decoding = 0_u32;
        let mut context = 0.0;
        for job in &mut self.jobs {
            job.pass_prefill_tokens = 0.0;
            job.decodes_in_pass = job.can_decode(now_ms);
            if job.decodes_in_pass {
                decoding += 1;
                context += job.current_memory();
            }
        }
        let spec = self.spec;
        let step_ms = spec.step_ms
            + f64::from(decoding) * spec.step_per_decode_ms
            + context / 1000.0 * spec.step_per_kilotoken_ms;
        let chunk_tokens = spec.chunk_tokens as f64;
        if decoding == 0 {
            return self.begin_prefill_pass(step_ms, chunk_tokens);
        }
        let steps = f64::from(spec.steps_per_pass);
        let mut budget = chunk_tokens * steps;
        let mut prefill_ms = 0.0;
        for job in self.jobs.iter_mut().filter(|job| job.can_prefill(now_ms)) {
            job.pass_prefill_tokens = job.prefill_tokens_left.min(budget);
            budget -= job.pass_prefill_tokens;
            prefill_ms += job.pass_prefill_ms(&spec);
            if budget < PREFILL_EPSILON_TOKENS {
                break;
            }
        }
        Pass {
            duration_ms: (steps * step_ms + prefill_ms) * self.slowdown(),
            idle: false,
        }
    }

    /// Begins passes without decoding: prefills the first prompt step by step
    /// until it is complete or until [`EngineLoad::next_event_at`].
    fn begin_prefill_pass(&mut self, step_ms: f64, chunk_tokens: f64) -> Pass {
        let (now_ms, spec, slowdown) = (self.simulated_until, self.spec, self.slowdown());
        let next_event_at = self.next_event_at();
        let Some(job) = self.jobs.iter_mut().find(|job| job.can_prefill(now_ms)) else {
            return Pass {
                duration_ms: 0.0,
                idle: true,
            };
        };
        job.pass_prefill_tokens = job.prefill_tokens_left.min(chunk_tokens);
        let first_step_ms = (step_ms + job.pass_prefill_ms(&spec)) * slowdown;
        let steps_to_event = ((next_event_at - now_ms) / first_step_ms).ceil().max(1.0);
        job.pass_prefill_tokens = job.prefill_tokens_left.min(chunk_tokens * steps_to_event);
        let steps = (job.pass_prefill_tokens / chunk_tokens).ceil();
        Pass {
            duration_ms: (steps * step_ms + job.pass_prefill_ms(&spec)) * slowdown,
            idle: false,
        }
    }

    /// Admits arrived requests by priority and arrival, up to the first that
    /// does not fit.
    fn admit(&mut self) {
        let mut slots = self.spec.slots as usize;
        let mut memory = self.spec.memory_tokens as f64 - self.untracked_memory;
        let mut has_waiting = false;
        for job in &self.jobs {
            if job.admitted || job.role == Role::Helper {
                memory -= job.current_memory();
                slots = slots.saturating_sub(usize::from(job.role == Role::Primary));
            } else {
                has_waiting = true;
            }
        }
        if !has_waiting {
            return;
        }
        let now_ms = self.simulated_until;
        let mut arrived: Vec<&mut Job> = self
            .jobs
            .iter_mut()
            .filter(|job| job.role == Role::Primary && !job.admitted && !job.arrives_after(now_ms))
            .collect();
        arrived.sort_by_key(|job| job.admission_order());
        for job in arrived {
            if slots == 0 || job.current_memory() > memory {
                return;
            }
            slots -= 1;
            memory -= job.current_memory();
            job.admitted = true;
        }
    }

    /// Ends a pass. Returns the number of prompts and parts whose prefill it
    /// completed.
    fn end_pass(&mut self, pass: &Pass, mut forecast: Option<&mut Forecast>) -> usize {
        let steps = f64::from(self.spec.steps_per_pass);
        self.simulated_until += pass.duration_ms;
        let now_ms = self.simulated_until;
        let mut completed = 0;
        let mut parts_completed = false;
        for job in &mut self.jobs {
            if job.decodes_in_pass {
                match forecast.as_deref_mut() {
                    Some(forecast) => forecast.record_gap(job.key, pass.duration_ms),
                    None => job.late |= pass.duration_ms > job.max_gap_ms,
                }
                job.decode_tokens_left = (job.decode_tokens_left - steps).max(0.0);
            }
            job.prefill_tokens_left -= job.pass_prefill_tokens;
            job.context_tokens += job.pass_prefill_tokens;
            if job.prefill_done || !job.is_prefilled(now_ms) {
                continue;
            }
            completed += 1;
            job.prefill_done = true;
            job.prefill_tokens_left = 0.0;
            parts_completed |= job.role == Role::Helper;
            if let Some(forecast) = forecast.as_deref_mut() {
                forecast.prefilled_at.push((job.key, job.role, now_ms));
            }
        }
        if parts_completed {
            self.drop_completed_parts();
        }
        completed
    }

    /// Drops prefilled parts, except those that hold reserved memory until the
    /// request ends.
    fn drop_completed_parts(&mut self) {
        self.jobs.retain(|job| {
            job.role == Role::Primary || job.prefill_tokens_left > 0.0 || job.memory > 0.0
        });
    }
}

impl Forecast {
    /// Returns when a prompt or part is prefilled, in ms. Returns `None` if
    /// the forecast does not contain it.
    #[must_use]
    pub fn prefill_end(&self, key: JobKey, role: Role) -> Option<f64> {
        self.prefilled_at
            .iter()
            .find(|(other, other_role, _)| *other == key && *other_role == role)
            .map(|(_, _, at)| *at)
    }

    /// Returns the longest pass that a decoding request sees, in ms; `None` if
    /// it sees none within the forecast.
    #[must_use]
    pub fn longest_gap(&self, key: JobKey) -> Option<f64> {
        self.longest_gaps
            .iter()
            .find(|(other, _)| *other == key)
            .map(|(_, ms)| *ms)
    }

    fn record_gap(&mut self, key: JobKey, ms: f64) {
        match self
            .longest_gaps
            .iter_mut()
            .find(|(other, _)| *other == key)
        {
            Some((_, longest)) => *longest = longest.max(ms),
            None => self.longest_gaps.push((key, ms)),
        }
    }
}

/// One forward pass, or several consecutive ones without decoding.
#[derive(Debug)]
struct Pass {
    duration_ms: f64,
    /// Whether the engine has no work.
    idle: bool,
}

impl Job {
    /// Returns the memory that the job takes now, in tokens.
    fn current_memory(&self) -> f64 {
        self.memory - self.decode_tokens_left
    }

    /// Returns whether the prompt is split over several engines.
    fn is_split(&self) -> bool {
        self.split_prompt_tokens > 0.0
    }

    /// Returns the sort key by which the engine admits requests.
    fn admission_order(&self) -> (u8, Millis) {
        (self.engine_priority, self.placed_at)
    }

    fn arrives_after(&self, now_ms: f64) -> bool {
        self.placed_at.0 as f64 > now_ms
    }

    /// Returns whether the engine can prefill tokens of this job now.
    fn can_prefill(&self, now_ms: f64) -> bool {
        let is_present = match self.role {
            Role::Primary => self.admitted,
            Role::Helper => !self.arrives_after(now_ms),
        };
        is_present && self.prefill_tokens_left > PREFILL_EPSILON_TOKENS
    }

    /// Returns the time that the current pass spends on prefilling this job.
    fn pass_prefill_ms(&self, spec: &EngineSpec) -> f64 {
        let tokens = self.pass_prefill_tokens;
        tokens / spec.prefill_tokens_per_ms
            + self.attention_mpairs(tokens) * spec.attention_ms_per_mpair
    }

    fn is_prefilled(&self, now_ms: f64) -> bool {
        self.first_output_seen
            || (self.prefill_tokens_left <= PREFILL_EPSILON_TOKENS && self.parts_ready_at <= now_ms)
    }

    fn can_decode(&self, now_ms: f64) -> bool {
        self.role == Role::Primary
            && self.admitted
            && self.is_prefilled(now_ms)
            && self.decode_tokens_left > 0.0
    }

    /// Returns the millions of query-key pairs that attention computes for the
    /// next `tokens`.
    fn attention_mpairs(&self, tokens: f64) -> f64 {
        // A part has its share of the pairs of the whole prompt, so each of its
        // tokens attends to half of the prompt on average.
        let context = if self.split_prompt_tokens > 0.0 {
            self.split_prompt_tokens / 2.0
        } else {
            self.context_tokens + tokens / 2.0
        };
        tokens * context / 1e6
    }
}
