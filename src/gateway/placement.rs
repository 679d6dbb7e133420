//! Placement of prompts on model engines.
//!
//! For each engine, and for each number of parts that a prompt can be split
//! into, the placement computes a cost in units of utility: what the prompt is
//! predicted to lose by a late first token, plus what the prompts already on
//! the engines lose. The lowest cost wins. A small cost for extra decode time
//! prefers engines that already decode, so that the others stay free to prefill
//! at full speed.
//!
//! Intended for fleets in which long prompts must not delay short ones although
//! the workload shifts within seconds, and for prompts larger than one engine's
//! memory.

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::gateway::engine::EngineLoad;
use crate::gateway::engine::Forecast;
use crate::gateway::engine::Job;
use crate::gateway::engine::JobKey;
use crate::gateway::engine::Role;
use crate::gateway::lanes::Lane;
use crate::gateway::server_table::ServerKey;

/// Numbers of parts into which a prompt may be split. 17 is the primary engine
/// and the 16 helpers that an engine accepts.
const PART_COUNTS: [usize; 8] = [2, 3, 4, 6, 9, 12, 16, 17];
/// Engines evaluated as the primary of a split prompt: this many of the best
/// for the unsplit prompt, and this many of the best for a part.
const PRIMARY_CANDIDATES: usize = 6;
/// Engines evaluated as helpers beyond the number that a split needs.
const EXTRA_HELPER_CANDIDATES: usize = 6;
/// Maximum number of engines that a request may list for its parts. Where
/// memory is reserved, the primary engine is one of them.
const MAX_LISTED_ENGINES: usize = 16;
/// Share of an engine's memory that placements may fill. The rest is for
/// answers that grow longer than expected.
const USABLE_MEMORY_SHARE: f64 = 0.95;
/// Share of a request's utility that is lost when its first output is late. A
/// late answer keeps about a quarter of its utility.
const LATE_COST_SHARE: f64 = 0.75;
/// Width of the smooth transition from on time to late, as a share of the
/// target. The error of predictions is about as large.
const LATE_TRANSITION_SHARE: f64 = 0.03;
/// Minimum width of that transition, in ms: the clock offset between engine and
/// instance.
const MIN_LATE_TRANSITION_MS: f64 = 10.0;
/// Cost, in units of utility, of each ms that a placement adds to the engine's
/// decode time, because decoding slows down its prefill.
const DECODE_COST_PER_MS: f64 = 5e-4;
/// Share of the longest acceptable inter-token gap that a forward pass may
/// take. The rest is for delivery of the event to the caller.
const GAP_BUDGET_SHARE: f64 = 0.95;
/// Interval at which a prompt that is held back is placed again.
const DEFERRAL_STEP: Millis = Millis(75);
/// Share of the target that is kept as a reserve when a prompt is held back.
const DEFERRAL_MARGIN_SHARE: f64 = 0.1;
/// Cost to others, in units of utility, from which a prompt is held back.
const MAX_COST_TO_OTHERS: f64 = 0.3;
/// Callers of streams disconnect after this multiple of the target gap without
/// output, but not before [`MIN_PATIENCE_MS`].
const PATIENCE_PER_GAP: f64 = 8.0;
/// See [`PATIENCE_PER_GAP`], in ms.
const MIN_PATIENCE_MS: f64 = 2_000.0;
/// Cost, in units of utility, of each ms until the first token, even when it is
/// on time: shorter waits leave more room for the next prompts.
const WAIT_COST_PER_MS: f64 = 1e-4;
/// Cost of each helper, in units of utility, because it occupies another
/// engine.
const COST_PER_HELPER: f64 = 0.004;
/// Cost of an engine in another failure domain, in units of utility, because
/// cross-domain traffic is charged.
const CROSS_DOMAIN_COST: f64 = 0.003;
/// Share of a short prompt's utility that is lost on an engine reserved for
/// long prompts, because the next long prompt delays it.
const WRONG_LANE_COST_SHARE: f64 = 0.4;
/// Prefill time in ms that a long prompt may take on an engine reserved for
/// short ones: prompts that arrive meanwhile still meet their targets.
const HARMLESS_PREFILL_MS: f64 = 60.0;
/// Cost of each short prompt that arrives during a longer prefill, in units of
/// utility.
const DELAYED_ARRIVAL_COST: f64 = 0.3;
/// Share of a request's utility that is lost if memory runs out: a request on
/// the engine is then preempted and prefilled again.
const MEMORY_SHORTAGE_COST_SHARE: f64 = 0.5;
/// Share of a request's utility below which a cost ends the search.
const NEGLIGIBLE_COST_SHARE: f64 = 0.001;

/// A prompt to place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Key of the request's job.
    pub key: JobKey,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Expected length of the answer, in tokens.
    pub output_tokens: f64,
    /// When the first output is due, on the instance's clock in ms.
    pub due_at: f64,
    /// When the answer becomes worthless, on the instance's clock in ms.
    pub deadline_at: f64,
    /// Target for the time to first token, in ms.
    pub target_ms: f64,
    /// Longest acceptable gap between two events, in ms.
    pub max_gap_ms: f64,
    /// Utility of an answer on time: 1 for the shortest prompts, more for
    /// longer ones.
    pub utility: f64,
    /// Priority passed to the engine, 0 first.
    pub engine_priority: u8,
    /// Lane of the prompt.
    pub lane: Lane,
    /// Share of the utility by which costs vary pseudo-randomly per engine, so
    /// that instances that do not yet know each other's latest placements do
    /// not all pick the same engine.
    pub jitter: f64,
    /// Whether the prompt may be declined for its cost to others: not after an
    /// attempt that a server may have run.
    pub can_be_declined: bool,
}

/// An engine that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Key of the engine.
    pub key: ServerKey,
    /// Load of the engine, simulated up to now.
    pub load: &'a EngineLoad,
    /// Whether the engine is in another failure domain.
    pub cross_domain: bool,
    /// Whether the engine may be the primary of a request.
    pub can_be_primary: bool,
    /// Whether the engine may prefill a part for another engine.
    pub can_help: bool,
    /// Lane that the engine is reserved for.
    pub lane: Lane,
    /// Rate at which short prompts arrive per ms, if the engine is reserved for
    /// them.
    pub short_prompts_per_ms: f64,
}

/// Result of placing a prompt or a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The server that receives the request.
    pub primary: ServerKey,
    /// Helper engines, with the memory to reserve on each, in tokens; 0 if none
    /// has to be reserved.
    pub helpers: Vec<(ServerKey, u64)>,
    /// Memory to reserve on the primary engine, in tokens; 0 if none has to be
    /// reserved.
    pub primary_reserved: u64,
    /// Predicted time of the first token, on the instance's clock in ms.
    pub first_token_at: f64,
    /// Predicted time at which all helpers have prefilled their parts, on the
    /// instance's clock in ms.
    pub parts_ready_at: f64,
    /// Cost of this placement, in units of utility.
    pub cost: f64,
    /// Part of the cost that other prompts bear: those on the engines, and short
    /// ones that arrive meanwhile.
    pub cost_to_others: f64,
}

/// A candidate with the forecast and cost of its present load.
struct ScoredEngine<'a> {
    candidate: Candidate<'a>,
    baseline: Forecast,
    baseline_cost: f64,
    /// Usable memory not taken, in tokens; negative if the engine is overfull.
    free_memory: f64,
}

/// An engine that can prefill a part, with the predicted end and the cost.
struct HelperOption {
    index: usize,
    /// Predicted end of the part's prefill, in ms.
    done_at: f64,
    /// Utility that other prompts lose, those that arrive meanwhile included.
    cost_to_others: f64,
    /// Utility that the prompt itself loses.
    own_cost: f64,
}

/// Chooses the cheapest placement. Returns `None` if no engine can take the
/// prompt.
#[must_use]
pub fn place(now: Millis, prompt: &Prompt, candidates: &[Candidate<'_>]) -> Option<Placement> {
    let engines: Vec<ScoredEngine<'_>> = candidates.iter().map(|c| score_engine(*c)).collect();
    let needed_tokens = prompt.prompt_tokens + prompt.output_tokens;
    let largest_memory = engines
        .iter()
        .map(|engine| engine.candidate.load.spec().memory_tokens as f64)
        .fold(0.0, f64::max);
    if needed_tokens > largest_memory * USABLE_MEMORY_SHARE {
        return place_oversized(now, prompt, &engines);
    }
    let unsplit = rank_unsplit(now, prompt, &engines);
    let negligible_cost = prompt.utility * NEGLIGIBLE_COST_SHARE;
    if engines.len() < 2
        || unsplit
            .first()
            .is_some_and(|best| best.cost < negligible_cost)
    {
        return unsplit.into_iter().next();
    }
    let primaries: Vec<ServerKey> = unsplit
        .iter()
        .take(PRIMARY_CANDIDATES)
        .map(|c| c.primary)
        .collect();
    let mut best = unsplit.into_iter().next();
    // Helpers are preselected once, by the largest part size: an engine that is
    // too busy for half of the prompt is skipped for smaller parts too.
    let half_tokens = prompt.prompt_tokens / 2.0;
    let helpers: Vec<usize> = rank_helpers(now, prompt, &engines, half_tokens, 0, None)
        .iter()
        .map(|option| option.index)
        .collect();
    for count in PART_COUNTS {
        if !is_split_useful(prompt, &engines, count) {
            break;
        }
        let placement = place_split(now, prompt, &engines, count, &helpers, &primaries);
        best = lower_cost(best, placement);
        if best
            .as_ref()
            .is_some_and(|best| best.cost < negligible_cost)
        {
            break;
        }
    }
    best
}

/// Returns placements on one engine without a split, cheapest first.
fn rank_unsplit(now: Millis, prompt: &Prompt, engines: &[ScoredEngine<'_>]) -> Vec<Placement> {
    let tokens = prompt.prompt_tokens;
    let mut placements: Vec<Placement> = (0..engines.len())
        .filter(|&index| engines[index].candidate.can_be_primary && !is_full(&engines[index]))
        .map(|index| evaluate(now, prompt, engines, index, &[], tokens, tokens))
        .collect();
    placements.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    placements
}

/// Returns until when a prompt is held back, so that it is placed when it
/// delays others less; `None` if it is placed now. It is held back only while it
/// would still be in time afterwards.
#[must_use]
pub fn deferral(now: Millis, prompt: &Prompt, placement: &Placement) -> Option<Millis> {
    let until = now + DEFERRAL_STEP;
    let margin_ms = (prompt.target_ms * DEFERRAL_MARGIN_SHARE).max(MIN_LATE_TRANSITION_MS);
    let latest = prompt.due_at - margin_ms - DEFERRAL_STEP.0 as f64;
    let is_in_time = placement.first_token_at < latest;
    (is_in_time && placement.cost_to_others > MAX_COST_TO_OTHERS).then_some(until)
}

/// Returns the cost of a first token at time `at`: a logistic function of the
/// time past `due_at`.
#[must_use]
pub fn lateness_cost(utility: f64, target_ms: f64, due_at: f64, at: f64) -> f64 {
    let width = (target_ms * LATE_TRANSITION_SHARE).max(MIN_LATE_TRANSITION_MS);
    let lateness = 1.0 / (1.0 + (-(at - due_at) / width).exp());
    utility * LATE_COST_SHARE * lateness
}

/// Forecasts the present load of a candidate and its cost.
fn score_engine(candidate: Candidate<'_>) -> ScoredEngine<'_> {
    let baseline = candidate.load.forecast(None);
    let baseline_cost = cost_of_jobs(candidate.load, &baseline, None);
    let free_memory =
        candidate.load.spec().memory_tokens as f64 * USABLE_MEMORY_SHARE - candidate.load.memory();
    ScoredEngine {
        candidate,
        baseline,
        baseline_cost,
        free_memory,
    }
}

/// Returns the cost of lateness and waiting of all jobs in a forecast, except
/// one request. A late part counts as a late prompt.
fn cost_of_jobs(load: &EngineLoad, forecast: &Forecast, except: Option<JobKey>) -> f64 {
    let mut cost = 0.0;
    for &(key, role, at) in &forecast.prefilled_at {
        if Some(key) == except {
            continue;
        }
        let found = load
            .jobs()
            .iter()
            .find(|job| job.key == key && job.role == role);
        if let Some(job) = found {
            let target = (job.due_at - job.placed_at.0 as f64).max(1.0);
            cost += lateness_cost(job.utility, target, job.due_at, at);
            cost += (at - job.placed_at.0 as f64) * WAIT_COST_PER_MS;
        }
    }
    for &(key, ms) in &forecast.longest_gaps {
        if Some(key) == except {
            continue;
        }
        let found = load
            .jobs()
            .iter()
            .find(|job| job.key == key && job.role == Role::Primary);
        if let Some(job) = found {
            cost += gap_cost(job.utility, job.max_gap_ms, job.late, ms);
        }
    }
    cost
}

/// Returns the cost of an inter-token gap of `ms`: the answer is late beyond the
/// target gap, unless it already is, and is lost where its caller disconnects.
fn gap_cost(utility: f64, max_gap_ms: f64, is_late: bool, ms: f64) -> f64 {
    let lateness = match is_late {
        true => 0.0,
        false => lateness_cost(utility, max_gap_ms, max_gap_ms * GAP_BUDGET_SHARE, ms),
    };
    let patience_ms = (max_gap_ms * PATIENCE_PER_GAP).max(MIN_PATIENCE_MS);
    let loss = 1.0 / (1.0 + (-(ms - patience_ms) / (patience_ms * LATE_TRANSITION_SHARE)).exp());
    lateness + utility * (1.0 - LATE_COST_SHARE) * loss
}

fn lower_cost(best: Option<Placement>, other: Option<Placement>) -> Option<Placement> {
    match (best, other) {
        (Some(best), Some(other)) if other.cost < best.cost => Some(other),
        (None, other) => other,
        (best, _) => best,
    }
}

/// Returns whether a split into `count` parts is useful: the prompt has to fill
/// more than `count - 1` chunks, because a part much smaller than a chunk takes
/// a whole forward pass all the same.
fn is_split_useful(prompt: &Prompt, engines: &[ScoredEngine<'_>], count: usize) -> bool {
    let Some(engine) = engines.first() else {
        return false;
    };
    let chunk = engine.candidate.load.spec().chunk_tokens as f64;
    count <= engines.len() && prompt.prompt_tokens > chunk * (count - 1) as f64
}

/// Returns the cheapest split into `count` parts. `helpers` are indices into
/// `engines`, best first; the primary is taken from `primaries` or from the
/// best helpers.
fn place_split(
    now: Millis,
    prompt: &Prompt,
    engines: &[ScoredEngine<'_>],
    count: usize,
    helpers: &[usize],
    primaries: &[ServerKey],
) -> Option<Placement> {
    let part_tokens = prompt.prompt_tokens / count as f64;
    let helper_candidates = &helpers[..helpers.len().min(count + EXTRA_HELPER_CANDIDATES)];
    let options = rank_helpers(
        now,
        prompt,
        engines,
        part_tokens,
        0,
        Some(helper_candidates),
    );
    if options.len() < count - 1 {
        return None;
    }
    let mut best = None;
    for (index, engine) in engines.iter().enumerate() {
        let is_candidate = primaries.contains(&engine.candidate.key)
            || helper_candidates
                .iter()
                .take(PRIMARY_CANDIDATES)
                .any(|&helper| helper == index);
        if !is_candidate || !engine.candidate.can_be_primary || is_full(engine) {
            continue;
        }
        let helpers: Vec<&HelperOption> = options
            .iter()
            .filter(|option| option.index != index)
            .take(count - 1)
            .collect();
        if helpers.len() < count - 1 {
            continue;
        }
        let placement = evaluate(
            now,
            prompt,
            engines,
            index,
            &helpers,
            part_tokens,
            prompt.prompt_tokens,
        );
        best = lower_cost(best, Some(placement));
    }
    best
}

fn is_full(engine: &ScoredEngine<'_>) -> bool {
    let load = engine.candidate.load;
    load.request_count() >= load.spec().slots as usize
}

/// Returns the engines that can prefill a part, cheapest first. `memory` is
/// reserved for the part, in tokens; `among` limits the engines considered, by
/// index.
fn rank_helpers(
    now: Millis,
    prompt: &Prompt,
    engines: &[ScoredEngine<'_>],
    part_tokens: f64,
    memory: u64,
    among: Option<&[usize]>,
) -> Vec<HelperOption> {
    let mut options = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let load = engine.candidate.load;
        if among.is_some_and(|among| !among.contains(&index)) {
            continue;
        }
        if !engine.candidate.can_help || load.helper_count() >= load.spec().slots as usize {
            continue;
        }
        options.push(evaluate_helper(
            now,
            prompt,
            engines,
            index,
            part_tokens,
            memory,
        ));
    }
    let score = |option: &HelperOption| {
        let late = lateness_cost(
            prompt.utility,
            prompt.target_ms,
            prompt.due_at,
            option.done_at,
        );
        option.cost_to_others
            + option.own_cost
            + late
            + (option.done_at - now.0 as f64) * WAIT_COST_PER_MS
    };
    options.sort_by(|a, b| score(a).total_cmp(&score(b)));
    options
}

/// Returns the placement with the engine at `index` as the primary, and its cost.
/// `prompt_memory` is the memory that the prompt takes on the primary.
fn evaluate(
    now: Millis,
    prompt: &Prompt,
    engines: &[ScoredEngine<'_>],
    index: usize,
    helpers: &[&HelperOption],
    part_tokens: f64,
    prompt_memory: f64,
) -> Placement {
    let engine = &engines[index];
    let load = engine.candidate.load;
    let parts_ready_at = helpers
        .iter()
        .map(|option| option.done_at)
        .fold(0.0, f64::max);
    let job = primary_job(now, prompt, part_tokens, parts_ready_at, prompt_memory);
    let forecast = load.forecast(Some(&job));
    let first_token_at = forecast
        .prefill_end(prompt.key, Role::Primary)
        .unwrap_or(now.0 as f64);
    let mut cost = lateness_cost(
        prompt.utility,
        prompt.target_ms,
        prompt.due_at,
        first_token_at,
    );
    if first_token_at >= prompt.deadline_at {
        cost = prompt.utility;
    }
    let is_late = first_token_at > prompt.due_at;
    cost += forecast.longest_gap(prompt.key).map_or(0.0, |ms| {
        gap_cost(prompt.utility, prompt.max_gap_ms, is_late, ms)
    });
    let lane_cost = lane_cost(engine, prompt, part_tokens);
    let mut cost_to_others = cost_of_jobs(load, &forecast, Some(prompt.key)) - engine.baseline_cost
        + helpers
            .iter()
            .map(|option| option.cost_to_others)
            .sum::<f64>();
    match prompt.lane {
        Lane::Long => cost_to_others += lane_cost,
        Lane::Short => cost += lane_cost,
    }
    cost += cost_to_others;
    cost += helpers
        .iter()
        .map(|option| option.own_cost + COST_PER_HELPER)
        .sum::<f64>();
    cost += (forecast.decode_ms - engine.baseline.decode_ms).max(0.0) * DECODE_COST_PER_MS;
    cost += (first_token_at - now.0 as f64) * WAIT_COST_PER_MS;
    cost += prompt.utility * prompt.jitter * hash_fraction(prompt.key, index);
    if engine.candidate.cross_domain {
        cost += CROSS_DOMAIN_COST;
    }
    if engine.free_memory < prompt_memory + prompt.output_tokens {
        cost += prompt.utility * MEMORY_SHORTAGE_COST_SHARE;
    }
    Placement {
        primary: engine.candidate.key,
        helpers: helpers
            .iter()
            .map(|option| (engines[option.index].candidate.key, 0))
            .collect(),
        primary_reserved: 0,
        first_token_at,
        parts_ready_at,
        cost,
        cost_to_others,
    }
}

/// Returns a number from 0 to 1 derived from the prompt and the engine.
fn hash_fraction(key: JobKey, index: usize) -> f64 {
    let bytes = [key.0.to_le_bytes(), (index as u64).to_le_bytes()].concat();
    xxh3_64(&bytes) as f64 / u64::MAX as f64
}

/// Returns the cost of using an engine reserved for the other lane. A long
/// prompt delays short ones that arrive during its prefill; a short prompt is
/// delayed by the next long one.
fn lane_cost(engine: &ScoredEngine<'_>, prompt: &Prompt, part_tokens: f64) -> f64 {
    match (engine.candidate.lane, prompt.lane) {
        (Lane::Short, Lane::Long) => {
            let share = part_tokens / prompt.prompt_tokens.max(1.0);
            let spec = engine.candidate.load.spec();
            let prefill_ms = spec.prefill_ms(prompt.prompt_tokens) * share;
            let harmful_ms = (prefill_ms - HARMLESS_PREFILL_MS).max(0.0);
            engine.candidate.short_prompts_per_ms * harmful_ms * DELAYED_ARRIVAL_COST
        }
        (Lane::Long, Lane::Short) => prompt.utility * WRONG_LANE_COST_SHARE,
        _ => 0.0,
    }
}

/// Places a prompt that exceeds every engine's memory: chooses several engines
/// that prefill it together, and the memory to reserve on each. Prefers the
/// engines whose other prompts are delayed least, if their memory suffices.
/// Returns `None` if no engines can hold the prompt, or if every placement
/// costs more than the prompt's utility, so that declining it loses less.
fn place_oversized(
    now: Millis,
    prompt: &Prompt,
    engines: &[ScoredEngine<'_>],
) -> Option<Placement> {
    let mut best = None;
    for count in PART_COUNTS {
        if count > engines.len() || count > MAX_LISTED_ENGINES {
            continue;
        }
        let part_tokens = prompt.prompt_tokens / count as f64;
        let options = rank_helpers(now, prompt, engines, part_tokens, 0, None);
        let Some(selected) = select_engines_with_memory(prompt, engines, &options, count) else {
            continue;
        };
        best = lower_cost(best, evaluate_oversized(now, prompt, engines, &selected));
    }
    best.filter(|placement| !is_declined(prompt, placement))
}

/// Returns whether declining a prompt loses less utility than this placement.
/// One that is too late for the deadline is left to the caller, which knows
/// when the prompt would be served.
fn is_declined(prompt: &Prompt, placement: &Placement) -> bool {
    prompt.can_be_declined
        && placement.first_token_at < prompt.deadline_at
        && placement.cost > prompt.utility
}

/// Returns the first `count` engines of `options`, with the smallest ones
/// replaced by later, larger ones until the prompt fits. The engine with the
/// most free memory comes first and becomes the primary.
fn select_engines_with_memory(
    prompt: &Prompt,
    engines: &[ScoredEngine<'_>],
    options: &[HelperOption],
    count: usize,
) -> Option<Vec<usize>> {
    let free_memory = |index: usize| engines[index].free_memory.max(0.0);
    let usable: Vec<usize> = options
        .iter()
        .map(|option| option.index)
        .filter(|&index| engines[index].candidate.can_be_primary && !is_full(&engines[index]))
        .collect();
    if usable.len() < count {
        return None;
    }
    let needed_tokens = prompt.prompt_tokens + prompt.output_tokens;
    let (selected, spare) = usable.split_at(count);
    let mut selected = selected.to_vec();
    let mut spare = spare.iter();
    while selected
        .iter()
        .map(|&index| free_memory(index))
        .sum::<f64>()
        < needed_tokens
    {
        let &next = spare.next()?;
        let smallest = selected
            .iter_mut()
            .min_by(|a, b| free_memory(**a).total_cmp(&free_memory(**b)))?;
        if free_memory(next) > free_memory(*smallest) {
            *smallest = next;
        }
    }
    selected.sort_by(|&a, &b| free_memory(b).total_cmp(&free_memory(a)));
    Some(selected)
}

/// Evaluates a prompt spread over the engines of `selected`; the first is the
/// primary.
fn evaluate_oversized(
    now: Millis,
    prompt: &Prompt,
    engines: &[ScoredEngine<'_>],
    selected: &[usize],
) -> Option<Placement> {
    let mut unassigned = prompt.prompt_tokens + prompt.output_tokens;
    let mut parts: Vec<(usize, u64)> = Vec::new();
    for &index in selected {
        let tokens = engines[index].free_memory.min(unassigned).floor().max(0.0);
        unassigned -= tokens;
        parts.push((index, tokens as u64));
    }
    let part_tokens = prompt.prompt_tokens / parts.len() as f64;
    let (&(primary, primary_reserved), other_engines) = parts.split_first()?;
    let options: Vec<HelperOption> = other_engines
        .iter()
        .map(|&(index, memory)| evaluate_helper(now, prompt, engines, index, part_tokens, memory))
        .collect();
    let helpers: Vec<&HelperOption> = options.iter().collect();
    let prompt_memory = primary_reserved as f64 - prompt.output_tokens;
    let mut placement = evaluate(
        now,
        prompt,
        engines,
        primary,
        &helpers,
        part_tokens,
        prompt_memory,
    );
    placement.primary_reserved = primary_reserved;
    placement.helpers = other_engines
        .iter()
        .map(|&(index, memory)| (engines[index].candidate.key, memory))
        .collect();
    Some(placement)
}

/// Returns when an engine completes a part, and the cost to its other prompts.
fn evaluate_helper(
    now: Millis,
    prompt: &Prompt,
    engines: &[ScoredEngine<'_>],
    index: usize,
    part_tokens: f64,
    memory: u64,
) -> HelperOption {
    let load = engines[index].candidate.load;
    let job = helper_job(now, prompt, part_tokens, memory as f64);
    let forecast = load.forecast(Some(&job));
    let done_at = forecast
        .prefill_end(prompt.key, Role::Helper)
        .unwrap_or(now.0 as f64);
    let cost_of_delays =
        cost_of_jobs(load, &forecast, Some(prompt.key)) - engines[index].baseline_cost;
    let lane_cost = lane_cost(&engines[index], prompt, part_tokens);
    let (cost_of_arrivals, own_cost) = match prompt.lane {
        Lane::Long => (lane_cost, 0.0),
        Lane::Short => (0.0, lane_cost),
    };
    HelperOption {
        index,
        done_at,
        cost_to_others: cost_of_delays + cost_of_arrivals,
        own_cost,
    }
}

/// Returns the job of the primary engine.
#[must_use]
pub fn primary_job(
    now: Millis,
    prompt: &Prompt,
    part_tokens: f64,
    parts_ready_at: f64,
    prompt_memory: f64,
) -> Job {
    let split = part_tokens < prompt.prompt_tokens;
    Job {
        key: prompt.key,
        role: Role::Primary,
        engine_priority: prompt.engine_priority,
        prefill_tokens_left: part_tokens,
        context_tokens: 0.0,
        split_prompt_tokens: if split { prompt.prompt_tokens } else { 0.0 },
        memory: prompt_memory + prompt.output_tokens,
        output_tokens: prompt.output_tokens,
        decode_tokens_left: prompt.output_tokens,
        parts_ready_at,
        admitted: false,
        prefill_done: false,
        first_output_seen: false,
        late: false,
        placed_at: now,
        due_at: prompt.due_at,
        max_gap_ms: prompt.max_gap_ms,
        utility: prompt.utility,
        pass_prefill_tokens: 0.0,
        decodes_in_pass: false,
    }
}

/// Returns the job of a helper engine.
#[must_use]
pub fn helper_job(now: Millis, prompt: &Prompt, part_tokens: f64, memory: f64) -> Job {
    Job {
        key: prompt.key,
        role: Role::Helper,
        engine_priority: 0,
        prefill_tokens_left: part_tokens,
        context_tokens: 0.0,
        split_prompt_tokens: prompt.prompt_tokens,
        memory,
        output_tokens: 0.0,
        decode_tokens_left: 0.0,
        parts_ready_at: 0.0,
        admitted: false,
        prefill_done: false,
        first_output_seen: false,
        late: false,
        placed_at: now,
        due_at: prompt.due_at,
        max_gap_ms: prompt.max_gap_ms,
        utility: prompt.utility,
        pass_prefill_tokens: 0.0,
        decodes_in_pass: false,
    }
}
