//! Which waiting jobs cannot all finish in time, and who of them gives way.
//!
//! The jobs are gone through in the order in which they are due. Where one would
//! start too late, the least important one up to there gives way, and of equally
//! important ones one of the workspace with the most waiting tokens for its
//! weight. That is Moore's rule (1968, "An n job, one machine sequencing
//! algorithm for minimizing the number of late jobs") with importance in the
//! place of length.

use std::collections::BTreeMap;

use crate::admission::entry::OrderKey;
use crate::clock::Millis;
use crate::fleet::WorkspaceKey;

/// A waiting job as the plan sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Item {
    /// Its key in the workspace's order.
    pub key: OrderKey,
    /// Its workspace.
    pub workspace: WorkspaceKey,
    /// The workspace's weight.
    pub weight: u32,
    /// Who gives way last: 0 to 100.
    pub importance: u8,
    /// The last moment at which it may start.
    pub latest: Millis,
    /// Its cost in tokens.
    pub tokens: u64,
    /// Its work in milliseconds of a whole backend server.
    pub work_ms: f64,
}

/// Jobs of one workspace and importance that stay, in the order they are due.
#[derive(Debug, Default)]
struct Stack {
    items: Vec<Item>,
    tokens: u64,
}

/// Returns the jobs that give way; `items` are in the order in which they are
/// due, and `rate` backend servers work on them.
#[must_use]
pub fn late(now: Millis, items: &[Item], rate: f64) -> Vec<Item> {
    let mut staying: BTreeMap<u8, BTreeMap<WorkspaceKey, Stack>> = BTreeMap::new();
    let mut late = Vec::new();
    let mut work_ms = 0.0;
    for &item in items {
        let stack = staying
            .entry(item.importance)
            .or_default()
            .entry(item.workspace)
            .or_default();
        stack.items.push(item);
        stack.tokens += item.tokens;
        work_ms += item.work_ms;
        let room_ms = item.latest.since(now).0 as f64 * rate;
        let mut stays = true;
        while stays && work_ms - item.work_ms > room_ms {
            let Some(victim) = pop(&mut staying) else {
                break;
            };
            work_ms -= victim.work_ms;
            stays = victim.key != item.key;
            late.push(victim);
        }
    }
    late
}

/// Removes the job that gives way first.
fn pop(staying: &mut BTreeMap<u8, BTreeMap<WorkspaceKey, Stack>>) -> Option<Item> {
    let mut class = staying.first_entry()?;
    let heaviest = class
        .get()
        .iter()
        .max_by(|(_, a), (_, b)| a.pressure().total_cmp(&b.pressure()))
        .map(|(&workspace, _)| workspace)?;
    let stack = class.get_mut().get_mut(&heaviest)?;
    let victim = stack.items.pop();
    stack.tokens -= victim.map_or(0, |victim| victim.tokens);
    if stack.items.is_empty() {
        class.get_mut().remove(&heaviest);
    }
    if class.get().is_empty() {
        class.remove();
    }
    victim
}

impl Stack {
    /// Returns the tokens that wait, for each unit of weight.
    fn pressure(&self) -> f64 {
        let weight = self.items.first().map_or(1, |item| item.weight.max(1));
        self.tokens as f64 / f64::from(weight)
    }
}
