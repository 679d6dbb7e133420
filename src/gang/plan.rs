//! Which engines make a gang, and who gets which part of the prompt.

use std::collections::BTreeMap;

use crate::declaration::Limits;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::job::Cost;
use crate::job::Job;

/// Label of engines that may join: those of one failure domain with the same
/// value make gangs.
pub const GANG_LABEL: &str = "gang";
/// Label of an engine's memory in tokens.
const MEMORY_LABEL: &str = "memory_tokens";

/// A member's part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub backend: BackendKey,
    /// The first token of the prompt's part.
    pub from: u64,
    /// The token after the prompt's part.
    pub to: u64,
    /// What it takes of the engine besides one stream.
    pub cost: Cost,
}

/// The members of a gang, in the order of the prompt's parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Two at least.
    pub parts: Vec<Part>,
}

impl Plan {
    /// Returns the smallest gang for a job over the engines `able`, by what
    /// `free` says each has; of several, that of the engine with the first name.
    #[must_use]
    pub fn find(
        fleet: &Fleet,
        job: &Job,
        able: impl Iterator<Item = BackendKey>,
        free: impl Fn(BackendKey) -> Limits,
    ) -> Option<Plan> {
        if job.target != Target::Engine {
            return None;
        }
        let groups = groups(fleet, able);
        let most = groups.iter().map(Vec::len).max().unwrap_or(0);
        (2..=most).find_map(|count| {
            groups
                .iter()
                .find_map(|group| of_size(fleet, job, group, count, &free))
        })
    }
}

/// Returns what an engine that has nothing to do can hold: its limit, and its
/// memory by its label.
#[must_use]
pub fn whole(fleet: &Fleet, backend: BackendKey, limits: Limits) -> Limits {
    let label = fleet.backend(backend).labels.get(MEMORY_LABEL);
    let memory = label.and_then(|text| text.parse::<u64>().ok());
    let memory_tokens = match (limits.memory_tokens, memory) {
        (0, memory) => memory.unwrap_or(0),
        (limit, memory) => limit.min(memory.unwrap_or(limit)),
    };
    Limits {
        memory_tokens: unbounded(memory_tokens),
        prefill_tokens: unbounded(limits.prefill_tokens),
        ..limits
    }
}

/// Returns engines that may join each other, each group in the order of names.
fn groups(fleet: &Fleet, able: impl Iterator<Item = BackendKey>) -> Vec<Vec<BackendKey>> {
    let mut groups: BTreeMap<(&str, &str), Vec<BackendKey>> = BTreeMap::new();
    for key in able {
        let backend = fleet.backend(key);
        let Some(label) = backend.labels.get(GANG_LABEL) else {
            continue;
        };
        let domain = fleet.domain(backend.domain).name.as_str();
        groups.entry((domain, label)).or_default().push(key);
    }
    let mut groups: Vec<Vec<BackendKey>> = groups.into_values().collect();
    for group in &mut groups {
        group.sort_by_key(|&key| &fleet.backend(key).name);
    }
    groups
}

/// Returns a gang of `count` engines with equal parts.
fn of_size(
    fleet: &Fleet,
    job: &Job,
    group: &[BackendKey],
    count: usize,
    free: &impl Fn(BackendKey) -> Limits,
) -> Option<Plan> {
    let cost = job.cost(0);
    let number = count as u64;
    let prompt = job.prompt_tokens;
    let output = cost.memory_tokens - prompt;
    // The last part is shorter by the output, which its engine holds as well.
    let memory = cost.memory_tokens.div_ceil(number);
    let first_parts = memory.min(prompt / (number - 1));
    let parts = (0..number).map(|index| {
        let from = first_parts * index;
        let last = index + 1 == number;
        let to = if last { prompt } else { from + first_parts };
        let kept = if last { output } else { 0 };
        let cost = Cost {
            memory_tokens: to - from + kept,
            prefill_tokens: to - from,
        };
        (from, to, cost)
    });
    let parts: Vec<_> = parts.collect();
    let most = |of: fn(&Cost) -> u64| parts.iter().map(|(.., cost)| of(cost)).max();
    let needed = Limits {
        streams: 1,
        memory_tokens: most(|cost| cost.memory_tokens)?,
        prefill_tokens: most(|cost| cost.prefill_tokens)?,
    };
    let members = group.iter().copied().filter(|&key| {
        let free = whole(fleet, key, free(key));
        !job.excluded.contains(&key) && covers(free, needed)
    });
    let members: Vec<BackendKey> = members.take(count).collect();
    if members.len() < count {
        return None;
    }
    let parts = members.into_iter().zip(parts);
    let parts = parts.map(|(backend, (from, to, cost))| Part {
        backend,
        from,
        to,
        cost,
    });
    Some(Plan {
        parts: parts.collect(),
    })
}

fn covers(free: Limits, needed: Limits) -> bool {
    free.streams >= needed.streams
        && free.memory_tokens >= needed.memory_tokens
        && free.prefill_tokens >= needed.prefill_tokens
}

fn unbounded(limit: u64) -> u64 {
    if limit == 0 { u64::MAX } else { limit }
}
