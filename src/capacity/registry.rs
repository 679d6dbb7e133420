//! This instance's entry in the key-value service: its lease, and the document
//! that names the homes of its failure domain.
//!
//! The document changes by compare-and-swap only and its epoch only grows. A
//! lost answer is settled by reading back. A holder is taken out by another
//! one only if both say that it is gone: heartbeats, and the key under its
//! lease. A document with a lower epoch than one known before, as after a
//! restore of the service, is written over under a higher epoch.

mod plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Holder;
use super::HomesDocument;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Duty;
use crate::control::Identity;
use crate::control::Ticket;
use crate::id::Epoch;
use crate::membership::Membership;
use crate::store::KeyVersion;
use crate::store::LeaseId;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::store::StoreResult;

/// Life of an instance's lease, and of what it last read, without renewal.
pub const LEASE_TTL: Millis = Millis(6_000);
/// Time between two renewals, and between two reads of the document.
pub const RENEW_PERIOD: Millis = Millis(2_000);
/// Time after which a call without an answer counts as lost.
const CALL_BOUND: Millis = Millis(5_000);
/// Pause after a failed call.
const RETRY_PAUSE: Millis = Millis(500);
/// Time for which a removal without an answer counts as under way.
const UNSETTLED: Millis = Millis(10_000);

/// The document in force changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// What was in force.
    pub before: Option<HomesDocument>,
    /// What is in force now.
    pub after: HomesDocument,
    /// This instance created the document: there was none.
    pub first: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Call {
    Grant,
    Register,
    Renew,
    Revoke,
    Read,
    Write {
        document: HomesDocument,
        removed: Option<String>,
        create: bool,
    },
    Look {
        holder: Holder,
    },
}

/// Lease and document, as this instance knows them.
#[derive(Debug)]
pub struct Registry {
    me: Holder,
    domain: String,
    document: Option<HomesDocument>,
    version: Option<KeyVersion>,
    lease: Option<LeaseId>,
    registered: bool,
    /// Sending time of the last renewal that succeeded.
    renewed: Option<Millis>,
    /// Sending time of the last call that showed the document in force.
    read: Option<Millis>,
    calls: BTreeMap<u64, (Call, Millis)>,
    number: u64,
    next_lease: Millis,
    next_read: Millis,
    next_write: Millis,
    missing: BTreeMap<String, Millis>,
    absent: BTreeSet<Holder>,
    unsettled: BTreeMap<String, Millis>,
    leaving: bool,
    stepping_down: bool,
}

impl Registry {
    /// Returns the registry of an instance that has not spoken to the service.
    #[must_use]
    pub fn new(me: &Identity) -> Registry {
        Registry {
            me: Holder {
                name: me.name.clone(),
                boot: me.boot,
                addr: me.peer_addr.clone(),
            },
            domain: me.domain.clone(),
            document: None,
            version: None,
            lease: None,
            registered: false,
            renewed: None,
            read: None,
            calls: BTreeMap::new(),
            number: 0,
            next_lease: Millis::ZERO,
            next_read: Millis::ZERO,
            next_write: Millis::ZERO,
            missing: BTreeMap::new(),
            absent: BTreeSet::new(),
            unsettled: BTreeMap::new(),
            leaving: false,
            stepping_down: false,
        }
    }

    /// Returns the document in force.
    #[must_use]
    pub fn document(&self) -> Option<&HomesDocument> {
        self.document.as_ref()
    }

    /// Returns the epoch of the document in force.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.document
            .as_ref()
            .map_or(Epoch::default(), |document| document.epoch)
    }

    /// Returns whether the document names this process.
    #[must_use]
    pub fn holds(&self) -> bool {
        let document = self.document.as_ref();
        let holder = document.and_then(|document| document.holder(&self.me.name));
        holder.is_some_and(|holder| holder.boot == self.me.boot)
    }

    /// Returns whether lease and document were confirmed by the service within
    /// the lease's life.
    #[must_use]
    pub fn is_current(&self, now: Millis) -> bool {
        let fresh = |sent: Option<Millis>| sent.is_some_and(|sent| now.since(sent) < LEASE_TTL);
        self.lease.is_some() && fresh(self.renewed) && fresh(self.read)
    }

    /// Returns whether a leaving instance is no longer named.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.leaving && !self.holds()
    }

    /// Starts to leave.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.next_write = Millis::ZERO;
    }

    /// Returns whether this instance may have taken itself out already.
    #[must_use]
    pub fn steps_down(&self) -> bool {
        self.stepping_down
    }

    /// Makes due calls.
    pub fn tick(&mut self, cx: &mut Cx<'_>, members: &mut Membership) {
        self.drop_lost(cx.now);
        self.keep_lease(cx);
        let behind = members.highest_epoch() > self.epoch();
        if behind {
            self.next_read = self.next_read.min(cx.now + RETRY_PAUSE);
        }
        if cx.now >= self.next_read && !self.pending(|call| *call == Call::Read) {
            self.next_read = cx.now + RENEW_PERIOD;
            let key = HomesDocument::key(&self.domain);
            self.call(cx, Call::Read, StoreOp::Get { key });
        }
        self.watch_holders(cx, members);
        self.plan_write(cx, members);
        members.withhold_echo(self.unsettled.keys().cloned().collect());
    }

    /// Takes over the service's answer; returns the change of the document.
    pub fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        number: u64,
        result: StoreResult,
    ) -> Option<Change> {
        let (call, sent) = self.calls.remove(&number)?;
        match result {
            Ok(answer) => self.answered(cx, call, sent, answer),
            Err(failure) => {
                if matches!(failure, StoreFailure::NotRun { .. }) && is_write(&call) {
                    self.stepping_down = false;
                }
                self.failed(cx.now, &call);
                None
            }
        }
    }

    /// Takes over a document that a peer told of.
    pub fn hear(&mut self, document: HomesDocument) -> Option<Change> {
        if document.epoch <= self.epoch() {
            return None;
        }
        self.version = None;
        self.read = None;
        self.next_read = Millis::ZERO;
        self.adopt(document, false)
    }

    fn drop_lost(&mut self, now: Millis) {
        let lost: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, (_, sent))| now.since(*sent) >= CALL_BOUND)
            .map(|(&number, _)| number)
            .collect();
        for number in lost {
            if let Some((call, _)) = self.calls.remove(&number) {
                self.failed(now, &call);
            }
        }
        self.unsettled
            .retain(|_, since| now.since(*since) < UNSETTLED);
    }

    fn failed(&mut self, now: Millis, call: &Call) {
        match call {
            Call::Write { .. } => {
                self.version = None;
                self.next_read = now;
                self.next_write = now + RETRY_PAUSE;
            }
            Call::Read => self.next_read = self.next_read.min(now + RETRY_PAUSE),
            Call::Look { .. } | Call::Revoke => {}
            Call::Grant | Call::Register | Call::Renew => self.next_lease = now + RETRY_PAUSE,
        }
    }

    fn keep_lease(&mut self, cx: &mut Cx<'_>) {
        let busy = self.pending(|call| {
            matches!(
                call,
                Call::Grant | Call::Register | Call::Renew | Call::Revoke
            )
        });
        if busy || cx.now < self.next_lease {
            return;
        }
        if self.has_left() {
            if let Some(lease) = self.lease.take() {
                self.call(cx, Call::Revoke, StoreOp::Revoke { lease });
            }
            return;
        }
        self.next_lease = cx.now + RENEW_PERIOD;
        match (self.lease.clone(), self.registered) {
            (None, _) => self.call(cx, Call::Grant, StoreOp::Grant { ttl: LEASE_TTL }),
            (Some(lease), true) => self.call(cx, Call::Renew, StoreOp::Renew { lease }),
            (Some(lease), false) => {
                let op = StoreOp::Create {
                    key: instance_key(&self.me.name),
                    value: self.me.boot.0.to_string().into_bytes(),
                    lease: Some(lease),
                };
                self.call(cx, Call::Register, op);
            }
        }
    }

    fn answered(
        &mut self,
        cx: &mut Cx<'_>,
        call: Call,
        sent: Millis,
        answer: StoreAnswer,
    ) -> Option<Change> {
        match (call, answer) {
            (Call::Grant, StoreAnswer::Lease(lease)) => {
                self.lease = Some(lease);
                self.registered = false;
                self.next_lease = cx.now;
            }
            (Call::Register, StoreAnswer::Written(_)) => self.register(sent),
            (Call::Register, StoreAnswer::Conflict(Some(entry))) => {
                let mine = self.me.boot.0.to_string().into_bytes();
                if entry.value == mine {
                    self.register(sent);
                }
                self.next_lease = cx.now + RETRY_PAUSE;
            }
            (Call::Renew, StoreAnswer::Lease(_)) => self.renewed = Some(sent),
            (Call::Renew | Call::Register, StoreAnswer::LeaseGone) => self.lose_lease(cx.now),
            (Call::Look { holder }, StoreAnswer::Entry(entry)) => {
                let mine = holder.boot.0.to_string().into_bytes();
                if entry.is_none_or(|entry| entry.value != mine) {
                    self.absent.insert(holder);
                    self.next_write = cx.now;
                }
            }
            (Call::Read, StoreAnswer::Entry(entry)) => return self.read_back(sent, entry),
            (Call::Write { .. }, StoreAnswer::Conflict(entry)) => {
                return self.read_back(sent, entry);
            }
            (
                Call::Write {
                    document, create, ..
                },
                StoreAnswer::Written(version),
            ) => {
                self.version = Some(version);
                self.read = Some(sent);
                return self.adopt(document, create);
            }
            _ => {}
        }
        None
    }

    fn register(&mut self, sent: Millis) {
        self.registered = true;
        self.renewed = Some(sent);
    }

    fn lose_lease(&mut self, now: Millis) {
        self.lease = None;
        self.registered = false;
        self.renewed = None;
        self.next_lease = now + RETRY_PAUSE;
    }

    fn read_back(&mut self, sent: Millis, entry: Option<StoreEntry>) -> Option<Change> {
        let Some(entry) = entry else {
            self.version = Some(KeyVersion(0));
            self.read = None;
            return None;
        };
        self.version = Some(entry.version);
        let document: Option<HomesDocument> = serde_json::from_slice(&entry.value).ok();
        let Some(document) = document else {
            self.read = None;
            return None;
        };
        if document.epoch < self.epoch() {
            self.read = None;
            return None;
        }
        self.read = Some(sent);
        self.adopt(document, false)
    }

    fn adopt(&mut self, document: HomesDocument, first: bool) -> Option<Change> {
        if document.epoch <= self.epoch() {
            return None;
        }
        self.missing.clear();
        self.absent.clear();
        self.unsettled.clear();
        let before = self.document.replace(document.clone());
        Some(Change {
            first: first && before.is_none() && document.epoch == Epoch(1),
            before,
            after: document,
        })
    }

    fn pending(&self, which: impl Fn(&Call) -> bool) -> bool {
        self.calls.values().any(|(call, _)| which(call))
    }

    fn call(&mut self, cx: &mut Cx<'_>, call: Call, op: StoreOp) {
        self.number += 1;
        self.calls.insert(self.number, (call, cx.now));
        let ticket = Ticket {
            duty: Duty::Capacity,
            number: self.number,
        };
        cx.store(ticket, op);
    }
}

fn instance_key(name: &str) -> String {
    format!("instances/{name}")
}

fn is_write(call: &Call) -> bool {
    matches!(call, Call::Write { .. })
}
