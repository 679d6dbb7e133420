//! Selects the engines of a gang and each member's part of the prompt.

use std::collections::BTreeMap;

use crate::declaration::Limits;
use crate::declaration::Target;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::job::Cost;
use crate::job::Job;

/// Label whose value groups engines: engines of one failure domain with the
/// same value may form a gang.
pub const GANG_LABEL: &str = "gang";
/// Label with an engine's KV cache memory in tokens.
const MEMORY_LABEL: &str = "memory_tokens";

/// Part of a prompt assigned to one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangPart {
    /// The member's engine.
    pub backend: BackendKey,
    /// Index of the first prompt token of the part.
    pub from: u64,
    /// Index after the last prompt token of the part.
    pub to: u64,
    /// Memory and prefill tokens that the part occupies on the engine besides
    /// one stream; for the last part including the output.
    pub cost: Cost,
}

/// Members of a gang, in the order of the prompt's parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangPlan {
    /// At least two parts.
    pub parts: Vec<GangPart>,
}

impl GangPlan {
    /// Returns the smallest gang for a job among the engines `candidates`.
    /// `free` returns the capacity of an engine that the gang may use. Among
    /// gangs of equal size it prefers the first by failure domain, label value
    /// and engine name.
    #[must_use]
    pub fn find(
        fleet: &Fleet,
        job: &Job,
        candidates: impl Iterator<Item = BackendKey>,
        free: impl Fn(BackendKey) -> Limits,
    ) -> Option<GangPlan> {
        if job.target != Target::Engine {
            return None;
        }
        let groups = groups(fleet, candidates);
        let max_members = groups.iter().map(Vec::len).max().unwrap_or(0);
        (2..=max_members).find_map(|count| {
            groups
                .iter()
                .find_map(|group| plan_of_size(fleet, job, group, count, &free))
        })
    }
}

/// Bounds declared limits by the memory in the engine's label. A token limit of
/// 0 means unlimited, as in a declaration, and is returned as `u64::MAX`.
#[must_use]
pub fn bound_by_memory_label(fleet: &Fleet, backend: BackendKey, limits: Limits) -> Limits {
    let label = fleet.backend(backend).labels.get(MEMORY_LABEL);
    let memory = label.and_then(|text| text.parse::<u64>().ok());
    let memory_tokens = match (limits.memory_tokens, memory) {
        (0, memory) => memory.unwrap_or(0),
        (limit, memory) => limit.min(memory.unwrap_or(limit)),
    };
    Limits {
        memory_tokens: unlimited_if_zero(memory_tokens),
        prefill_tokens: unlimited_if_zero(limits.prefill_tokens),
        ..limits
    }
}

/// Groups engines that may join one gang, each group sorted by name.
fn groups(fleet: &Fleet, candidates: impl Iterator<Item = BackendKey>) -> Vec<Vec<BackendKey>> {
    let mut groups: BTreeMap<(&str, &str), Vec<BackendKey>> = BTreeMap::new();
    for key in candidates {
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

/// Returns a gang of `count` engines with parts of about equal memory, or
/// `None` if too few engines of the group have enough capacity for the largest
/// part.
fn plan_of_size(
    fleet: &Fleet,
    job: &Job,
    group: &[BackendKey],
    count: usize,
    free: &impl Fn(BackendKey) -> Limits,
) -> Option<GangPlan> {
    let cost = job.cost(0);
    let member_count = count as u64;
    let prompt_tokens = job.prompt_tokens;
    let output_tokens = cost.memory_tokens - prompt_tokens;
    // The last member also holds the output, so its part of the prompt is
    // shorter by that amount.
    let memory_per_member = cost.memory_tokens.div_ceil(member_count);
    let part_tokens = memory_per_member.min(prompt_tokens / (member_count - 1));
    let parts = (0..member_count).map(|index| {
        let from = part_tokens * index;
        let last = index + 1 == member_count;
        let to = if last {
            prompt_tokens
        } else {
            from + part_tokens
        };
        let output_tokens = if last { output_tokens } else { 0 };
        let cost = Cost {
            memory_tokens: to - from + output_tokens,
            prefill_tokens: to - from,
        };
        (from, to, cost)
    });
    let parts: Vec<_> = parts.collect();
    let max_of = |of: fn(&Cost) -> u64| parts.iter().map(|(.., cost)| of(cost)).max();
    let needed = Limits {
        streams: 1,
        memory_tokens: max_of(|cost| cost.memory_tokens)?,
        prefill_tokens: max_of(|cost| cost.prefill_tokens)?,
    };
    let members = group.iter().copied().filter(|&key| {
        let free = bound_by_memory_label(fleet, key, free(key));
        !job.excluded.contains(&key) && covers(free, needed)
    });
    let members: Vec<BackendKey> = members.take(count).collect();
    if members.len() < count {
        return None;
    }
    let parts = members.into_iter().zip(parts);
    let parts = parts.map(|(backend, (from, to, cost))| GangPart {
        backend,
        from,
        to,
        cost,
    });
    Some(GangPlan {
        parts: parts.collect(),
    })
}

fn covers(free: Limits, needed: Limits) -> bool {
    free.streams >= needed.streams
        && free.memory_tokens >= needed.memory_tokens
        && free.prefill_tokens >= needed.prefill_tokens
}

fn unlimited_if_zero(limit: u64) -> u64 {
    if limit == 0 { u64::MAX } else { limit }
}
