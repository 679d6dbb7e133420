//! Backend servers that this instance coordinates (it is their `home` in
//! messages, events and metrics): how it starts and stops coordinating them.
//!
//! A coordinator that loses a backend server to another instance hands its
//! ledger over immediately. Without a handover the new coordinator waits until
//! no lease of its predecessors can be in use, and then for a load report.

mod serve;

pub(super) use serve::coordinators_message;

pub use serve::CONTACT_TTL;
pub use serve::ORPHAN_GRACE;
pub use serve::REPORT_TTL;

use std::collections::BTreeMap;

use super::CapacityContext;
use super::CoordinatorsDocument;
use super::DocumentChange;
use super::Handover;
use super::LEASE_TTL;
use super::Message;
use super::ledger::LEASE_TTL_MARGIN;
use super::ledger::Ledger;
use super::registry::INSTANCE_LEASE_TTL;
use crate::clock::Millis;
use crate::control::Cx;
use crate::fleet::BackendKey;
use crate::id::Epoch;
use crate::membership::Membership;
use crate::metrics::Count;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Maximum number of buffered handovers that arrived before the document that
/// they refer to.
const MAX_EARLY_HANDOVERS: usize = 256;

/// Messages to send, also to this instance itself.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages with the name of their recipient.
    pub messages: Vec<(String, Message)>,
}

/// Ledgers of all backend servers that this instance coordinates.
#[derive(Debug, Default)]
pub struct Coordinator {
    ledgers: BTreeMap<BackendKey, Ledger>,
    /// Handovers that arrived before their document.
    early_handovers: Vec<Handover>,
}

impl Coordinator {
    /// Returns the number of coordinated backend servers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.ledgers.len()
    }

    /// Returns the ledger of a backend server, or `None` if another instance
    /// coordinates it.
    #[must_use]
    pub fn ledger(&self, key: BackendKey) -> Option<&Ledger> {
        self.ledgers.get(&key)
    }

    /// Applies a new document: hands over backend servers assigned to other
    /// instances and starts coordinating newly assigned ones.
    pub fn on_change(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        change: &DocumentChange,
        out: &mut Outbox,
    ) {
        let coordinated: Vec<BackendKey> = self.ledgers.keys().copied().collect();
        for key in coordinated {
            let name = context.fleet.backend(key).name.clone();
            let coordinator = change
                .after
                .coordinator_of(&name)
                .map(|holder| holder.name.clone());
            let was_throughout = was_coordinator_throughout(cx, change, &name);
            if was_throughout && coordinator.as_deref() == Some(cx.me.name.as_str()) {
                if let Some(ledger) = self.ledgers.get_mut(&key) {
                    reserve_removed_shares(cx, ledger, context.members, change);
                }
                continue;
            }
            let (Some(ledger), Some(coordinator)) = (self.ledgers.remove(&key), coordinator) else {
                continue;
            };
            if was_throughout {
                let condition = context.conditions.condition(context.fleet, key);
                let epoch = change.after.epoch;
                let handover = ledger.to_handover(cx.now, epoch, &name, condition);
                out.messages
                    .push((coordinator, Message::Handover(handover)));
                let detail = "ledger handed over to the next home".to_owned();
                cx.event(EventKind::Home, Subject::backend(&name), detail);
            }
        }
        self.start_assigned(cx, context, change);
        self.apply_early_handovers(cx, context, change.after.epoch);
    }

    /// Starts coordinating assigned backend servers that are new in the fleet.
    pub fn start_new_backends(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        document: &CoordinatorsDocument,
    ) {
        let assigned = context.assigned_backends(cx, document);
        if assigned.iter().all(|key| self.ledgers.contains_key(key)) {
            return;
        }
        let change = DocumentChange {
            before: None,
            after: document.clone(),
            is_first: document.epoch == Epoch(1),
        };
        self.start_assigned(cx, context, &change);
        self.apply_early_handovers(cx, context, document.epoch);
    }

    /// Applies the handover of a former coordinator.
    pub fn on_handover(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        epoch: Epoch,
        handover: Handover,
    ) {
        let key = context.fleet.backend_key(&handover.backend);
        let ledger = key.and_then(|key| self.ledgers.get_mut(&key));
        let (Some(key), Some(ledger)) = (key, ledger) else {
            // Its document or listing has not arrived yet.
            return self.buffer_early_handover(epoch, handover);
        };
        if handover.epoch > epoch {
            return self.buffer_early_handover(epoch, handover);
        }
        if ledger.epoch != handover.epoch || !ledger.awaits_handover {
            return;
        }
        let name = handover.backend.clone();
        context
            .conditions
            .adopt(cx, context.fleet, key, handover.condition);
        ledger.apply_handover(cx.now, handover);
        let detail = "ledger received from the former home".to_owned();
        cx.event(EventKind::Home, Subject::backend(&name), detail);
    }

    /// Creates ledgers for newly assigned backend servers.
    fn start_assigned(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        change: &DocumentChange,
    ) {
        for key in context.assigned_backends(cx, &change.after) {
            if self.ledgers.contains_key(&key) {
                continue;
            }
            let name = context.fleet.backend(key).name.clone();
            let epoch = change.after.epoch;
            let wait = initial_wait(cx, change, &name);
            let mut ledger = match change.is_first {
                true => Ledger::new(cx.now, epoch, Millis::ZERO),
                false => Ledger::new(cx.now, epoch, cx.now + wait),
            };
            reserve_removed_shares(cx, &mut ledger, context.members, change);
            self.ledgers.insert(key, ledger);
            cx.count(Count::HomesStarted);
            let detail = format!("became home in epoch {}", epoch.0);
            cx.event(EventKind::Home, Subject::backend(&name), detail);
        }
    }

    fn buffer_early_handover(&mut self, epoch: Epoch, handover: Handover) {
        if handover.epoch >= epoch && self.early_handovers.len() < MAX_EARLY_HANDOVERS {
            self.early_handovers.push(handover);
        }
    }

    fn apply_early_handovers(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        epoch: Epoch,
    ) {
        for handover in std::mem::take(&mut self.early_handovers) {
            self.on_handover(cx, context, epoch, handover);
        }
    }
}

/// Returns whether this instance coordinated a backend server in every epoch up
/// to the one before the new document's.
fn was_coordinator_throughout(cx: &Cx<'_>, change: &DocumentChange, backend: &str) -> bool {
    let Some(before) = &change.before else {
        return false;
    };
    let coordinators = change.after.coordinators_since(before.epoch, backend);
    coordinators.is_some_and(|names| names.iter().all(|name| *name == cx.me.name))
}

/// Returns how long a new coordinator waits without a handover: until the
/// leases granted by its predecessors have expired and, if one of them is still
/// a holder, also until its last confirmation by the key-value service has
/// expired, since it may not know the new document yet.
fn initial_wait(cx: &Cx<'_>, change: &DocumentChange, backend: &str) -> Millis {
    let lease_expiry = LEASE_TTL + LEASE_TTL_MARGIN;
    let document = &change.after;
    let past = document
        .past
        .iter()
        .filter_map(|past| past.coordinator_of(backend));
    let before = change
        .before
        .iter()
        .filter_map(|before| before.coordinator_of(backend));
    let mut predecessors = past.chain(before.map(|holder| holder.name.as_str()));
    let still_holder =
        predecessors.any(|name| name != cx.me.name && document.holder(name).is_some());
    match still_holder {
        true => lease_expiry + INSTANCE_LEASE_TTL,
        false => lease_expiry,
    }
}

/// Reserves the static shares of earlier holders that are no longer in the
/// document and did not drain.
fn reserve_removed_shares(
    cx: &Cx<'_>,
    ledger: &mut Ledger,
    members: &Membership,
    change: &DocumentChange,
) {
    let document = &change.after;
    let past = document.past.iter().flat_map(|past| past.names.iter());
    let names = match &change.before {
        Some(before) => before.holders.iter().map(|holder| &holder.name).collect(),
        None => past.collect::<Vec<&String>>(),
    };
    for name in names {
        let still_holder = document.holder(name).is_some() || *name == cx.me.name;
        if still_holder || members.is_draining(name) {
            continue;
        }
        let known_epoch = members
            .member(name)
            .map_or(Epoch::default(), |member| member.reported_state.epoch);
        let share_divisor = document.min_holder_count(name, known_epoch);
        ledger.add_removed_holder(cx.now, document.epoch, name, share_divisor);
    }
}
