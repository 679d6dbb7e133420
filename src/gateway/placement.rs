//! Where a prompt is read and written.
//!
//! The choice weighs, for each engine and each number of parts that a prompt
//! may be split into, what is lost if the prompt goes there: how late its own
//! first token is predicted to be, and how much later those of the prompts
//! already there become. The least loss wins; where nothing is lost, engines
//! that already write are preferred, so that others stay free to read at full
//! speed.
//!
//! The load it answers: short prompts that must not feel long ones, in a mix
//! that swings within seconds; and prompts larger than one engine's memory.

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::gateway::engine::EngineLoad;
use crate::gateway::engine::Forecast;
use crate::gateway::engine::Job;
use crate::gateway::engine::JobKey;
use crate::gateway::engine::Role;
use crate::gateway::lanes::Lane;
use crate::gateway::roster::ServerKey;

/// Parts that a prompt may be split into, beside being left whole; 17
/// is the first engine and the 16 others that an engine accepts.
const PART_COUNTS: [usize; 8] = [2, 3, 4, 6, 9, 12, 16, 17];
/// Engines that are tried as the writer of a split prompt, of those best for it
/// whole and of those best for a part.
const WRITERS_TRIED: usize = 6;
/// Engines that are tried for its parts beyond those that are needed.
const HELPERS_TRIED: usize = 6;
/// Engines that a request may name for its parts. Where memory is reserved, the
/// first engine is one of them.
const MAX_NAMED_PARTS: usize = 16;
/// Part of an engine's memory that placements fill; the rest is for answers
/// that grow longer than expected.
const MEMORY_FILL: f64 = 0.95;
/// Share of a request's value that is lost if its first output is late: what
/// the deployments' sheets leave of it is about a quarter.
const LATE_LOSS: f64 = 0.75;
/// Width of the border between in time and late, as a share of the target:
/// predictions are that far off.
const LATE_WIDTH: f64 = 0.03;
/// Least width of that border, in ms: what the clocks of engine and instance
/// are apart.
const LATE_WIDTH_MIN_MS: f64 = 10.0;
/// Loss for each ms that an engine writes longer: it reads less meanwhile.
const WRITING_LOSS_PER_MS: f64 = 5e-4;
/// Part of the longest pause in time that passes may take: an event has its
/// way to the caller as well.
const GAP_USED: f64 = 0.95;
/// Loss for each ms until the first token, in time or not: less waiting leaves
/// more room for what comes next.
const WAITING_LOSS_PER_MS: f64 = 1e-4;
/// Loss for each additional part: each needs another engine's attention.
const PART_LOSS: f64 = 0.004;
/// Loss if the backend server stands in another failure domain: the bytes
/// between domains cost.
const FAR_LOSS: f64 = 0.003;
/// Share of a short prompt's value that is lost on an engine that is kept for
/// long ones: the next of these delays it.
const WRONG_LANE_LOSS: f64 = 0.4;
/// Time in ms that an engine kept for short prompts may read a long one without
/// harm: whoever arrives meanwhile is still in time.
const HARMLESS_READ_MS: f64 = 60.0;
/// What a short prompt that arrives meanwhile loses, in the unit of value.
const ARRIVAL_LOSS: f64 = 0.3;
/// Share of a request's value that is lost if memory does not suffice: some
/// request on the engine is interrupted and read again.
const MEMORY_LOSS: f64 = 0.5;
/// Share of a request's value below which a loss ends the search for a better
/// choice.
const GOOD_ENOUGH: f64 = 0.001;

/// A prompt that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Its key.
    pub key: JobKey,
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Expected tokens of the answer.
    pub output_tokens: f64,
    /// When its first output is due, in ms.
    pub due: f64,
    /// When its answer is worth nothing any more, in ms.
    pub deadline: f64,
    /// Target for the first output, in ms.
    pub target: f64,
    /// Longest pause between two events that is in time, in ms.
    pub gap: f64,
    /// What it is worth in time.
    pub value: f64,
    /// Urgency at the engine.
    pub urgency: u8,
    /// Which lane it belongs to.
    pub lane: Lane,
    /// Share of its value by which engines are told apart at random, so that
    /// instances that do not know of each other's newest placements do not all
    /// choose the same engine.
    pub scatter: f64,
}

/// An engine that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: ServerKey,
    /// What stands on it, played up to now.
    pub load: &'a EngineLoad,
    /// Whether it stands in another failure domain.
    pub far: bool,
    /// Whether it may take the request itself.
    pub may_write: bool,
    /// Whether it may read a part for another.
    pub may_help: bool,
    /// Which prompts it is kept for.
    pub lane: Lane,
    /// Short prompts that come to it in a ms, if it is kept for them.
    pub short_rate: f64,
}

/// Where a prompt goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The engine that gets the request.
    pub first: ServerKey,
    /// Engines that read parts, with the memory to reserve on each, in tokens.
    pub parts: Vec<(ServerKey, u64)>,
    /// Memory to reserve on the first engine, in tokens.
    pub first_reserved: u64,
    /// When the first token is predicted, in ms.
    pub first_token: f64,
    /// When the other engines are predicted to have read their parts, in ms.
    pub ready_at: f64,
    /// What is lost by this choice, in the unit of a request's value.
    pub loss: f64,
}

/// An engine with what it loses already.
struct Weighed<'a> {
    candidate: Candidate<'a>,
    base: Forecast,
    base_loss: f64,
    free_memory: f64,
}

/// A part read by one engine, with what that costs.
struct PartOffer {
    at: usize,
    done: f64,
    loss: f64,
}

/// Chooses where a prompt goes; none if no engine may take it.
#[must_use]
pub fn place(now: Millis, prompt: &Prompt, candidates: &[Candidate<'_>]) -> Option<Choice> {
    let engines: Vec<Weighed<'_>> = candidates.iter().map(|c| weigh(*c)).collect();
    let needed = prompt.prompt_tokens + prompt.output_tokens;
    let largest = engines
        .iter()
        .map(|engine| engine.candidate.load.spec().memory_tokens as f64)
        .fold(0.0, f64::max);
    if needed > largest * MEMORY_FILL {
        return place_over_memory(now, prompt, &engines);
    }
    let whole = place_whole(now, prompt, &engines);
    let good_enough = prompt.value * GOOD_ENOUGH;
    if engines.len() < 2 || whole.first().is_some_and(|best| best.loss < good_enough) {
        return whole.into_iter().next();
    }
    let writers: Vec<ServerKey> = whole.iter().take(WRITERS_TRIED).map(|c| c.first).collect();
    let mut best = whole.into_iter().next();
    // Engines that are no good for one part are no good for smaller ones either.
    let tried = prompt.prompt_tokens / 2.0;
    let helpers: Vec<usize> = part_offers(now, prompt, &engines, tried, 0, None)
        .iter()
        .map(|offer| offer.at)
        .collect();
    for count in PART_COUNTS {
        if !is_worth_splitting(prompt, &engines, count) {
            break;
        }
        let choice = place_in_parts(now, prompt, &engines, count, &helpers, &writers);
        best = better(best, choice);
        if best.as_ref().is_some_and(|best| best.loss < good_enough) {
            break;
        }
    }
    best
}

/// Returns the choices that leave a prompt whole, least loss first.
fn place_whole(now: Millis, prompt: &Prompt, engines: &[Weighed<'_>]) -> Vec<Choice> {
    let tokens = prompt.prompt_tokens;
    let mut choices: Vec<Choice> = (0..engines.len())
        .filter(|&at| engines[at].candidate.may_write && !is_full(&engines[at]))
        .map(|at| evaluate(now, prompt, engines, at, &[], tokens, tokens))
        .collect();
    choices.sort_by(|a, b| a.loss.total_cmp(&b.loss));
    choices
}

/// Returns what is lost if a prompt's first token comes at `at`, in ms.
#[must_use]
pub fn lateness_loss(value: f64, target: f64, due: f64, at: f64) -> f64 {
    let width = (target * LATE_WIDTH).max(LATE_WIDTH_MIN_MS);
    let late = 1.0 / (1.0 + (-(at - due) / width).exp());
    value * LATE_LOSS * late
}

fn weigh(candidate: Candidate<'_>) -> Weighed<'_> {
    let base = candidate.load.forecast(None);
    let base_loss = loss_of_jobs(candidate.load, &base, None);
    let free_memory =
        candidate.load.spec().memory_tokens as f64 * MEMORY_FILL - candidate.load.memory();
    Weighed {
        candidate,
        base,
        base_loss,
        free_memory,
    }
}

/// Sums what the prompts and parts on an engine lose under a forecast, one left
/// out. A part that is late makes its whole prompt late.
fn loss_of_jobs(load: &EngineLoad, forecast: &Forecast, except: Option<JobKey>) -> f64 {
    let mut loss = 0.0;
    for &(key, role, at) in &forecast.read_at {
        if Some(key) == except {
            continue;
        }
        let known = load
            .jobs()
            .iter()
            .find(|job| job.key == key && job.role == role);
        if let Some(job) = known {
            let target = (job.due - job.placed_at.0 as f64).max(1.0);
            loss += lateness_loss(job.value, target, job.due, at);
            loss += (at - job.placed_at.0 as f64) * WAITING_LOSS_PER_MS;
        }
    }
    for &(key, ms) in &forecast.pauses {
        if Some(key) == except {
            continue;
        }
        let known = load
            .jobs()
            .iter()
            .find(|job| job.key == key && job.role == Role::Writer);
        if let Some(job) = known
            && !job.late
        {
            loss += pause_loss(job.value, job.gap, ms);
        }
    }
    loss
}

/// Returns what is lost if a request that writes pauses for `ms`.
fn pause_loss(value: f64, gap: f64, ms: f64) -> f64 {
    lateness_loss(value, gap, gap * GAP_USED, ms)
}

fn better(best: Option<Choice>, other: Option<Choice>) -> Option<Choice> {
    match (best, other) {
        (Some(best), Some(other)) if other.loss < best.loss => Some(other),
        (None, other) => other,
        (best, _) => best,
    }
}

/// A part below half of a chunk is read in the same pass as a whole chunk.
fn is_worth_splitting(prompt: &Prompt, engines: &[Weighed<'_>], count: usize) -> bool {
    let Some(engine) = engines.first() else {
        return false;
    };
    let chunk = engine.candidate.load.spec().chunk_tokens as f64;
    count <= engines.len() && prompt.prompt_tokens > chunk * (count - 1) as f64
}

/// Places a prompt in parts: read by the first engines of `helpers`, and written
/// by one of `writers`, or of the engines that read it.
fn place_in_parts(
    now: Millis,
    prompt: &Prompt,
    engines: &[Weighed<'_>],
    count: usize,
    helpers: &[usize],
    writers: &[ServerKey],
) -> Option<Choice> {
    let part = prompt.prompt_tokens / count as f64;
    let tried = &helpers[..helpers.len().min(count + HELPERS_TRIED)];
    let offers = part_offers(now, prompt, engines, part, 0, Some(tried));
    if offers.len() < count - 1 {
        return None;
    }
    let mut best = None;
    for (at, engine) in engines.iter().enumerate() {
        let is_tried = writers.contains(&engine.candidate.key)
            || tried.iter().take(WRITERS_TRIED).any(|&tried| tried == at);
        if !is_tried || !engine.candidate.may_write || is_full(engine) {
            continue;
        }
        let helpers: Vec<&PartOffer> = offers
            .iter()
            .filter(|offer| offer.at != at)
            .take(count - 1)
            .collect();
        if helpers.len() < count - 1 {
            continue;
        }
        let choice = evaluate(
            now,
            prompt,
            engines,
            at,
            &helpers,
            part,
            prompt.prompt_tokens,
        );
        best = better(best, Some(choice));
    }
    best
}

fn is_full(engine: &Weighed<'_>) -> bool {
    let load = engine.candidate.load;
    load.requests() >= load.spec().slots as usize
}

/// Returns the engines that could read a part, least loss first; of all, or of
/// some only.
fn part_offers(
    now: Millis,
    prompt: &Prompt,
    engines: &[Weighed<'_>],
    part: f64,
    memory: u64,
    among: Option<&[usize]>,
) -> Vec<PartOffer> {
    let mut offers = Vec::new();
    for (at, engine) in engines.iter().enumerate() {
        let load = engine.candidate.load;
        if among.is_some_and(|among| !among.contains(&at)) {
            continue;
        }
        if !engine.candidate.may_help || load.helping() >= load.spec().slots as usize {
            continue;
        }
        offers.push(part_offer(now, prompt, engines, at, part, memory));
    }
    let weight = |offer: &PartOffer| {
        let late = lateness_loss(prompt.value, prompt.target, prompt.due, offer.done);
        offer.loss + late + (offer.done - now.0 as f64) * WAITING_LOSS_PER_MS
    };
    offers.sort_by(|a, b| weight(a).total_cmp(&weight(b)));
    offers
}

fn evaluate(
    now: Millis,
    prompt: &Prompt,
    engines: &[Weighed<'_>],
    at: usize,
    helpers: &[&PartOffer],
    part: f64,
    held: f64,
) -> Choice {
    let engine = &engines[at];
    let load = engine.candidate.load;
    let ready_at = helpers.iter().map(|offer| offer.done).fold(0.0, f64::max);
    let job = first_job(now, prompt, part, ready_at, held);
    let forecast = load.forecast(Some(&job));
    let first_token = forecast
        .time(prompt.key, Role::Writer)
        .unwrap_or(now.0 as f64);
    let mut loss = lateness_loss(prompt.value, prompt.target, prompt.due, first_token);
    if first_token >= prompt.deadline {
        loss = prompt.value;
    }
    loss += loss_of_jobs(load, &forecast, Some(prompt.key)) - engine.base_loss;
    loss += lane_loss(engine, prompt, part);
    loss += helpers
        .iter()
        .map(|offer| offer.loss + PART_LOSS)
        .sum::<f64>();
    loss += (forecast.writing_ms - engine.base.writing_ms).max(0.0) * WRITING_LOSS_PER_MS;
    loss += (first_token - now.0 as f64) * WAITING_LOSS_PER_MS;
    loss += prompt.value * prompt.scatter * draw(prompt.key, at);
    if engine.candidate.far {
        loss += FAR_LOSS;
    }
    if engine.free_memory < held + prompt.output_tokens {
        loss += prompt.value * MEMORY_LOSS;
    }
    Choice {
        first: engine.candidate.key,
        parts: helpers
            .iter()
            .map(|offer| (engines[offer.at].candidate.key, 0))
            .collect(),
        first_reserved: 0,
        first_token,
        ready_at,
        loss,
    }
}

/// Returns a number from 0 to 1 that is the same for the same prompt and engine.
fn draw(key: JobKey, at: usize) -> f64 {
    let bytes = [key.0.to_le_bytes(), (at as u64).to_le_bytes()].concat();
    xxh3_64(&bytes) as f64 / u64::MAX as f64
}

/// Returns what is lost as an engine is kept for the other lane: by short
/// prompts that arrive while it reads a long one, or by a short prompt that the
/// next long one delays.
fn lane_loss(engine: &Weighed<'_>, prompt: &Prompt, part: f64) -> f64 {
    match (engine.candidate.lane, prompt.lane) {
        (Lane::Short, Lane::Long) => {
            let share = part / prompt.prompt_tokens.max(1.0);
            let spec = engine.candidate.load.spec();
            let read_ms = spec.read_ms(prompt.prompt_tokens) * share;
            let harmful_ms = (read_ms - HARMLESS_READ_MS).max(0.0);
            engine.candidate.short_rate * harmful_ms * ARRIVAL_LOSS
        }
        (Lane::Long, Lane::Short) => prompt.value * WRONG_LANE_LOSS,
        _ => 0.0,
    }
}

/// Places a prompt that no engine can hold: its memory is reserved on several
/// engines, which read it together. Those whose other prompts lose least are
/// chosen, as long as their memory suffices.
fn place_over_memory(now: Millis, prompt: &Prompt, engines: &[Weighed<'_>]) -> Option<Choice> {
    let mut best = None;
    for count in PART_COUNTS {
        if count > engines.len() || count > MAX_NAMED_PARTS {
            continue;
        }
        let part = prompt.prompt_tokens / count as f64;
        let offers = part_offers(now, prompt, engines, part, 0, None);
        let Some(chosen) = enough_memory(prompt, engines, &offers, count) else {
            continue;
        };
        best = better(best, place_on(now, prompt, engines, &chosen));
    }
    best
}

/// Returns the first `count` engines of `offers`, some of them replaced by later
/// ones with more memory until they can hold the prompt together; the one with
/// most memory comes first.
fn enough_memory(
    prompt: &Prompt,
    engines: &[Weighed<'_>],
    offers: &[PartOffer],
    count: usize,
) -> Option<Vec<usize>> {
    let free = |at: usize| engines[at].free_memory.max(0.0);
    let usable: Vec<usize> = offers
        .iter()
        .map(|offer| offer.at)
        .filter(|&at| engines[at].candidate.may_write && !is_full(&engines[at]))
        .collect();
    if usable.len() < count {
        return None;
    }
    let needed = prompt.prompt_tokens + prompt.output_tokens;
    let (chosen, later) = usable.split_at(count);
    let mut chosen = chosen.to_vec();
    let mut later = later.iter();
    while chosen.iter().map(|&at| free(at)).sum::<f64>() < needed {
        let &next = later.next()?;
        let least = chosen
            .iter_mut()
            .min_by(|a, b| free(**a).total_cmp(&free(**b)))?;
        if free(next) > free(*least) {
            *least = next;
        }
    }
    chosen.sort_by(|&a, &b| free(b).total_cmp(&free(a)));
    Some(chosen)
}

/// Weighs a prompt that is held by the first of `chosen` and read by all.
fn place_on(
    now: Millis,
    prompt: &Prompt,
    engines: &[Weighed<'_>],
    chosen: &[usize],
) -> Option<Choice> {
    let mut left = prompt.prompt_tokens + prompt.output_tokens;
    let mut parts: Vec<(usize, u64)> = Vec::new();
    for &at in chosen {
        let tokens = engines[at].free_memory.min(left).floor().max(0.0);
        left -= tokens;
        parts.push((at, tokens as u64));
    }
    let part = prompt.prompt_tokens / parts.len() as f64;
    let (&(first, first_reserved), others) = parts.split_first()?;
    let offers: Vec<PartOffer> = others
        .iter()
        .map(|&(at, memory)| part_offer(now, prompt, engines, at, part, memory))
        .collect();
    let helpers: Vec<&PartOffer> = offers.iter().collect();
    let held = first_reserved as f64 - prompt.output_tokens;
    let mut choice = evaluate(now, prompt, engines, first, &helpers, part, held);
    choice.first_reserved = first_reserved;
    choice.parts = others
        .iter()
        .map(|&(at, memory)| (engines[at].candidate.key, memory))
        .collect();
    Some(choice)
}

fn part_offer(
    now: Millis,
    prompt: &Prompt,
    engines: &[Weighed<'_>],
    at: usize,
    part: f64,
    memory: u64,
) -> PartOffer {
    let load = engines[at].candidate.load;
    let job = part_job(now, prompt, part, memory as f64);
    let forecast = load.forecast(Some(&job));
    let done = forecast
        .time(prompt.key, Role::Helper)
        .unwrap_or(now.0 as f64);
    let loss = loss_of_jobs(load, &forecast, Some(prompt.key)) - engines[at].base_loss
        + lane_loss(&engines[at], prompt, part);
    PartOffer { at, done, loss }
}

/// Returns the job of the engine that gets the request.
#[must_use]
pub fn first_job(now: Millis, prompt: &Prompt, part: f64, ready_at: f64, held: f64) -> Job {
    let split = part < prompt.prompt_tokens;
    Job {
        key: prompt.key,
        role: Role::Writer,
        urgency: prompt.urgency,
        unread: part,
        read: 0.0,
        attention_span: if split { prompt.prompt_tokens } else { 0.0 },
        memory: held + prompt.output_tokens,
        unwritten: prompt.output_tokens,
        ready_at,
        admitted: false,
        done: false,
        started: false,
        late: false,
        placed_at: now,
        due: prompt.due,
        gap: prompt.gap,
        value: prompt.value,
        reading: 0.0,
        writing: false,
    }
}

/// Returns the job of an engine that reads a part.
#[must_use]
pub fn part_job(now: Millis, prompt: &Prompt, part: f64, memory: f64) -> Job {
    Job {
        key: prompt.key,
        role: Role::Helper,
        urgency: 0,
        unread: part,
        read: 0.0,
        attention_span: prompt.prompt_tokens,
        memory,
        unwritten: 0.0,
        ready_at: 0.0,
        admitted: false,
        done: false,
        started: false,
        late: false,
        placed_at: now,
        due: prompt.due,
        gap: prompt.gap,
        value: prompt.value,
        reading: 0.0,
        writing: false,
    }
}
