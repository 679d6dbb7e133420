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
pub struct QueuedJob {
    /// Its due start and sequence number, by which jobs are ordered.
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
    /// Predicted work: the milliseconds for which the job would occupy one
    /// whole backend server.
    pub work_ms: f64,
}

/// Jobs of one workspace and importance that have not been selected for
/// refusal, by due start.
#[derive(Debug, Default)]
struct WorkspaceJobs {
    jobs: Vec<QueuedJob>,
    tokens: u64,
}

/// Returns the jobs to refuse. `jobs` are sorted by due start; `rate` is the
/// work done per millisecond, as a number of fully used backend servers (may be
/// fractional).
#[must_use]
pub fn select_refusals(now: Millis, jobs: &[QueuedJob], rate: f64) -> Vec<QueuedJob> {
    let mut kept: BTreeMap<u8, BTreeMap<WorkspaceKey, WorkspaceJobs>> = BTreeMap::new();
    let mut refused = Vec::new();
    let mut work_ms = 0.0;
    for &job in jobs {
        let group = kept
            .entry(job.importance)
            .or_default()
            .entry(job.workspace)
            .or_default();
        group.jobs.push(job);
        group.tokens += job.tokens;
        work_ms += job.work_ms;
        let available_ms = job.latest_start.since(now).0 as f64 * rate;
        let mut is_kept = true;
        while is_kept && work_ms - job.work_ms > available_ms {
            let Some(victim) = pop_victim(&mut kept) else {
                break;
            };
            work_ms -= victim.work_ms;
            is_kept = victim.key != job.key;
            refused.push(victim);
        }
    }
    refused
}

/// Removes and returns the last job, by due start, of the workspace with the
/// most waiting tokens per unit of weight among the least important jobs kept.
fn pop_victim(kept: &mut BTreeMap<u8, BTreeMap<WorkspaceKey, WorkspaceJobs>>) -> Option<QueuedJob> {
    let mut least_important = kept.first_entry()?;
    let most_loaded = least_important
        .get()
        .iter()
        .max_by(|(_, a), (_, b)| a.tokens_per_weight().total_cmp(&b.tokens_per_weight()))
        .map(|(&workspace, _)| workspace)?;
    let group = least_important.get_mut().get_mut(&most_loaded)?;
    let victim = group.jobs.pop();
    group.tokens -= victim.map_or(0, |victim| victim.tokens);
    if group.jobs.is_empty() {
        least_important.get_mut().remove(&most_loaded);
    }
    if least_important.get().is_empty() {
        least_important.remove();
    }
    victim
}

impl WorkspaceJobs {
    /// Returns the waiting tokens per unit of weight.
    fn tokens_per_weight(&self) -> f64 {
        let weight = self.jobs.first().map_or(1, |job| job.weight.max(1));
        self.tokens as f64 / f64::from(weight)
    }
}
