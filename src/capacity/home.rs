//! The backend servers whose home this instance is: how it becomes and ceases
//! to be their home.
//!
//! A home that loses a backend server to another hands its ledger over at once.
//! Without a handover the new home waits until no credit of its predecessors
//! can be in use, and for a load report after that.

mod serve;

pub(super) use serve::homes_message;

pub use serve::CONTACT_LIFE;
pub use serve::ORPHAN_GRACE;
pub use serve::REPORT_LIFE;

use std::collections::BTreeMap;

use super::CREDIT_LIFE;
use super::Change;
use super::Handover;
use super::HomesDocument;
use super::Message;
use super::Scope;
use super::ledger::LIFE_GUARD;
use super::ledger::Ledger;
use super::registry::LEASE_TTL;
use crate::clock::Millis;
use crate::control::Cx;
use crate::fleet::BackendKey;
use crate::id::Epoch;
use crate::membership::Membership;
use crate::metrics::Count;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Handovers kept that came before the document did.
const EARLY_HANDOVERS: usize = 256;

/// What a home has to send.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages by user name.
    pub messages: Vec<(String, Message)>,
}

/// Ledgers of all backend servers whose home this instance is.
#[derive(Debug, Default)]
pub struct Homes {
    ledgers: BTreeMap<BackendKey, Ledger>,
    early: Vec<Handover>,
}

impl Homes {
    /// Returns how many backend servers have their home here.
    #[must_use]
    pub fn count(&self) -> usize {
        self.ledgers.len()
    }

    /// Returns the ledger of a backend server.
    #[must_use]
    pub fn ledger(&self, key: BackendKey) -> Option<&Ledger> {
        self.ledgers.get(&key)
    }

    /// Takes over another document: hands homes over and starts new ones.
    pub fn on_change(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &mut Scope<'_>,
        change: &Change,
        out: &mut Outbox,
    ) {
        let kept: Vec<BackendKey> = self.ledgers.keys().copied().collect();
        for key in kept {
            let name = scope.fleet.backend(key).name.clone();
            let home = change
                .after
                .home_of(&name)
                .map(|holder| holder.name.clone());
            let through = was_home_throughout(cx, change, &name);
            if through && home.as_deref() == Some(cx.me.name.as_str()) {
                if let Some(ledger) = self.ledgers.get_mut(&key) {
                    add_ghosts(cx, ledger, scope.members, change);
                }
                continue;
            }
            let (Some(ledger), Some(home)) = (self.ledgers.remove(&key), home) else {
                continue;
            };
            if through {
                let condition = scope.conditions.condition(scope.fleet, key);
                let epoch = change.after.epoch;
                let handover = ledger.hand_over(cx.now, epoch, &name, condition);
                out.messages.push((home, Message::Handover(handover)));
                let detail = "handed over to its next home".to_owned();
                cx.event(EventKind::Home, Subject::backend(&name), detail);
            }
        }
        self.start(cx, scope, change);
        self.take_early(cx, scope, change.after.epoch);
    }

    /// Starts homes of backend servers that were not listed before.
    pub fn find_new(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>, document: &HomesDocument) {
        let assigned = scope.assigned(cx, document);
        if assigned.iter().all(|key| self.ledgers.contains_key(key)) {
            return;
        }
        let change = Change {
            before: None,
            after: document.clone(),
            first: document.epoch == Epoch(1),
        };
        self.start(cx, scope, &change);
        self.take_early(cx, scope, document.epoch);
    }

    /// Takes over what a former home knew.
    pub fn on_handover(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &mut Scope<'_>,
        epoch: Epoch,
        handover: Handover,
    ) {
        let key = scope.fleet.backend_key(&handover.backend);
        let ledger = key.and_then(|key| self.ledgers.get_mut(&key));
        let (Some(key), Some(ledger)) = (key, ledger) else {
            return self.keep_early(epoch, handover);
        };
        if handover.epoch > epoch {
            return self.keep_early(epoch, handover);
        }
        if ledger.epoch != handover.epoch || !ledger.awaited {
            return;
        }
        let name = handover.backend.clone();
        scope
            .conditions
            .adopt(cx, scope.fleet, key, handover.condition);
        ledger.take_over(cx.now, handover);
        let detail = "taken over from its former home".to_owned();
        cx.event(EventKind::Home, Subject::backend(&name), detail);
    }

    /// Starts the homes of backend servers that the document assigns here.
    fn start(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>, change: &Change) {
        for key in scope.assigned(cx, &change.after) {
            if self.ledgers.contains_key(&key) {
                continue;
            }
            let name = scope.fleet.backend(key).name.clone();
            let epoch = change.after.epoch;
            let wait = wait_of(cx, change, &name);
            let mut ledger = match change.first {
                true => Ledger::new(cx.now, epoch, Millis::ZERO),
                false => Ledger::new(cx.now, epoch, cx.now + wait),
            };
            add_ghosts(cx, &mut ledger, scope.members, change);
            self.ledgers.insert(key, ledger);
            cx.count(Count::HomesStarted);
            let detail = format!("home from epoch {} on", epoch.0);
            cx.event(EventKind::Home, Subject::backend(&name), detail);
        }
    }

    fn keep_early(&mut self, epoch: Epoch, handover: Handover) {
        if handover.epoch >= epoch && self.early.len() < EARLY_HANDOVERS {
            self.early.push(handover);
        }
    }

    fn take_early(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>, epoch: Epoch) {
        for handover in std::mem::take(&mut self.early) {
            self.on_handover(cx, scope, epoch, handover);
        }
    }
}

/// Returns whether this instance was home of a backend server in each epoch up
/// to the one before the new document's.
fn was_home_throughout(cx: &Cx<'_>, change: &Change, backend: &str) -> bool {
    let Some(before) = &change.before else {
        return false;
    };
    let between = change.after.homes_since(before.epoch, backend);
    between.is_some_and(|homes| homes.iter().all(|home| *home == cx.me.name))
}

/// Returns how long a new home waits without a handover: for the credits of
/// its predecessors, and, if one of them still holds homes, for its right too.
fn wait_of(cx: &Cx<'_>, change: &Change, backend: &str) -> Millis {
    let credits = CREDIT_LIFE + LIFE_GUARD;
    let document = &change.after;
    let past = document
        .past
        .iter()
        .filter_map(|past| past.home_of(backend));
    let before = change
        .before
        .iter()
        .filter_map(|before| before.home_of(backend));
    let mut homes = past.chain(before.map(|holder| holder.name.as_str()));
    let held = homes.any(|home| home != cx.me.name && document.holder(home).is_some());
    match held {
        true => credits + LEASE_TTL,
        false => credits,
    }
}

/// Keeps the static shares of holders that others took out.
fn add_ghosts(cx: &Cx<'_>, ledger: &mut Ledger, members: &Membership, change: &Change) {
    let document = &change.after;
    let past = document.past.iter().flat_map(|past| past.names.iter());
    let names = match &change.before {
        Some(before) => before.holders.iter().map(|holder| &holder.name).collect(),
        None => past.collect::<Vec<&String>>(),
    };
    for name in names {
        let held = document.holder(name).is_some() || *name == cx.me.name;
        if held || members.is_leaving(name) {
            continue;
        }
        let told = members
            .member(name)
            .map_or(Epoch::default(), |member| member.own.epoch);
        let parts = document.smallest_with(name, told);
        ledger.add_ghost(cx.now, document.epoch, name, parts);
    }
}
