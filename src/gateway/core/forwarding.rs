//! Forwarding of store changes to the other instances.
//!
//! An instance that watches the store for all sends each changed entry of a backend
//! server to every other instance. While hundreds of servers start together, that
//! would fill its link for seconds, and heartbeats and calls to the store would wait
//! behind it. Changes beyond a budget of datagrams are therefore not forwarded, and
//! neither are those too large for one. The other instances learn from the next
//! heartbeat that they miss something, and fetch it; a single change that is too large
//! is announced at once.

use super::Core;
use crate::clock::Millis;
use crate::gateway::instances::Item;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Output;
use crate::metrics::Count;

/// Largest number of datagrams with store changes that are sent at once. They have
/// about 350 bytes each and take half a second on a link of 20 Mbit/s.
const MAX_DATAGRAMS: u64 = 4_000;
/// Largest value of an item that is sent in a datagram, in bytes.
const MAX_VALUE_BYTES: usize = 1_000;
/// Datagrams per second by which that budget is refilled; a quarter of such a link.
const DATAGRAMS_PER_S: u64 = 2_000;

/// Datagrams with store changes that may be sent.
#[derive(Debug)]
pub(super) struct ForwardBudget {
    left: u64,
    refilled_at: Millis,
}

impl Default for ForwardBudget {
    fn default() -> ForwardBudget {
        ForwardBudget {
            left: MAX_DATAGRAMS,
            refilled_at: Millis::ZERO,
        }
    }
}

impl ForwardBudget {
    /// Takes datagrams from the budget if it has as many.
    fn try_take(&mut self, now: Millis, datagrams: u64) -> bool {
        let refill = now
            .since(self.refilled_at)
            .0
            .saturating_mul(DATAGRAMS_PER_S)
            / 1_000;
        if refill > 0 {
            self.left = self.left.saturating_add(refill).min(MAX_DATAGRAMS);
            self.refilled_at = now;
        }
        let is_enough = datagrams <= self.left;
        if is_enough {
            self.left -= datagrams;
        }
        is_enough
    }
}

impl Core {
    /// Forwards store changes to the other instances as far as the budget goes.
    pub(super) fn forward_items(&mut self, now: Millis, items: Vec<Item>, out: &mut Vec<Output>) {
        let recipients = self.instances.recipients().len();
        let len = |item: &Item| item.value.as_ref().map_or(0, Vec::len);
        let (sendable, too_large): (Vec<Item>, Vec<Item>) = items
            .into_iter()
            .partition(|item| len(item) <= MAX_VALUE_BYTES);
        let mut over_budget = 0;
        for item in sendable {
            if self.forward_budget.try_take(now, recipients as u64) {
                self.broadcast(out, PeerMessage::Item(item));
            } else {
                over_budget += 1;
            }
        }
        if !too_large.is_empty() && self.forward_budget.try_take(now, recipients as u64) {
            self.has_unforwarded_change = true;
        }
        let left_out = over_budget + too_large.len() as u64;
        if left_out > 0 {
            self.metrics.add(Count::ItemsNotForwarded, left_out);
            log::info!(
                items = left_out,
                too_large = too_large.len(),
                instances = recipients;
                "store changes not forwarded: the other instances fetch them"
            );
        }
    }
}
