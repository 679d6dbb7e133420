//! Selects the waiting jobs to refuse when not all can finish in time.
//!
//! The jobs are scanned by due start. Whenever one would start too late, the
//! least important job scanned so far is refused; among equally important jobs,
//! one of the workspace with the most waiting tokens per unit of weight. This
//! is Moore's rule (1968, "An n job, one machine sequencing algorithm for
//! minimizing the number of late jobs") with importance in place of job length.

use std::collections::BTreeMap;

use crate::admission::entry::OrderKey;
use crate::clock::Millis;
use crate::fleet::WorkspaceKey;

/// The data about a waiting job that the selection needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Item {
    /// Its position in the workspace's order.
    pub key: OrderKey,
    /// Its workspace.
    pub workspace: WorkspaceKey,
    /// The workspace's weight.
    pub weight: u32,
    /// Importance from 0 to 100; lower values are refused first.
    pub importance: u8,
    /// The latest start that still meets the deadline.
    pub latest_start: Millis,
    /// Tokens charged to its workspace.
    pub tokens: u64,
    /// Work, in milliseconds of one fully used backend server.
    pub work_ms: f64,
}

/// Jobs of one workspace and importance that are kept, by due start.
#[derive(Debug, Default)]
struct WorkspaceJobs {
    items: Vec<Item>,
    tokens: u64,
}

/// Returns the jobs to refuse. `items` are sorted by due start; `rate` is the
/// number of backend servers that work on them.
#[must_use]
pub fn select_late(now: Millis, items: &[Item], rate: f64) -> Vec<Item> {
    let mut kept: BTreeMap<u8, BTreeMap<WorkspaceKey, WorkspaceJobs>> = BTreeMap::new();
    let mut late = Vec::new();
    let mut work_ms = 0.0;
    for &item in items {
        let jobs = kept
            .entry(item.importance)
            .or_default()
            .entry(item.workspace)
            .or_default();
        jobs.items.push(item);
        jobs.tokens += item.tokens;
        work_ms += item.work_ms;
        let available_ms = item.latest_start.since(now).0 as f64 * rate;
        let mut is_kept = true;
        while is_kept && work_ms - item.work_ms > available_ms {
            let Some(victim) = pop_victim(&mut kept) else {
                break;
            };
            work_ms -= victim.work_ms;
            is_kept = victim.key != item.key;
            late.push(victim);
        }
    }
    late
}

/// Removes the next job to refuse.
fn pop_victim(kept: &mut BTreeMap<u8, BTreeMap<WorkspaceKey, WorkspaceJobs>>) -> Option<Item> {
    let mut class = kept.first_entry()?;
    let heaviest = class
        .get()
        .iter()
        .max_by(|(_, a), (_, b)| a.tokens_per_weight().total_cmp(&b.tokens_per_weight()))
        .map(|(&workspace, _)| workspace)?;
    let jobs = class.get_mut().get_mut(&heaviest)?;
    let victim = jobs.items.pop();
    jobs.tokens -= victim.map_or(0, |victim| victim.tokens);
    if jobs.items.is_empty() {
        class.get_mut().remove(&heaviest);
    }
    if class.get().is_empty() {
        class.remove();
    }
    victim
}

impl WorkspaceJobs {
    /// Returns the waiting tokens per unit of weight.
    fn tokens_per_weight(&self) -> f64 {
        let weight = self.items.first().map_or(1, |item| item.weight.max(1));
        self.tokens as f64 / f64::from(weight)
    }
}
