//! This instance's lease in the key-value service, and its view of the document
//! that names the coordinators of its failure domain.
//!
//! The document changes by compare-and-swap only, and its epoch only grows. A
//! lost answer is resolved by reading the document again. A holder is removed
//! by another instance only if both its heartbeats and the key under its lease
//! show that it is gone. If the service returns no document, an unreadable one
//! or one with a lower epoch than one seen before, as after a restore of the
//! service, the document is written again under a higher epoch.

mod plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::CoordinatorsDocument;
use super::Holder;
use crate::clock::Millis;
use crate::control::Component;
use crate::control::Cx;
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

/// Lifetime of an instance's lease in the key-value service. A confirmation of
/// the document counts as recent for the same time.
pub const INSTANCE_LEASE_TTL: Millis = Millis(6_000);
/// Interval between two renewals, and between two reads of the document.
pub const RENEW_INTERVAL: Millis = Millis(2_000);
/// Time after which an unanswered call counts as failed.
const CALL_TIMEOUT: Millis = Millis(5_000);
/// Delay after a failed call.
const RETRY_DELAY: Millis = Millis(500);
/// Time for which an unanswered removal counts as under way.
const PENDING_REMOVAL_TTL: Millis = Millis(10_000);

/// Change of the document in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentChange {
    /// The previous document.
    pub before: Option<CoordinatorsDocument>,
    /// The document in force.
    pub after: CoordinatorsDocument,
    /// Whether this is the failure domain's first document, so that no earlier
    /// coordinator can have granted leases.
    pub is_first: bool,
}

/// Store call whose answer is pending.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Call {
    /// Creates the instance's lease.
    GrantLease,
    /// Creates the instance key under the lease.
    RegisterInstance,
    RenewLease,
    RevokeLease,
    ReadDocument,
    /// Writes the next document; `removed` is the other holder that it removes.
    WriteDocument {
        document: CoordinatorsDocument,
        removed: Option<String>,
        create: bool,
    },
    /// Reads the instance key of a gone holder.
    CheckHolder {
        holder: Holder,
    },
}

/// This instance's lease in the key-value service and its view of the
/// coordinators document.
#[derive(Debug)]
pub struct Registry {
    me: Holder,
    domain: String,
    document: Option<CoordinatorsDocument>,
    /// Store version of the document, or `None` if it has to be read again.
    version: Option<KeyVersion>,
    lease: Option<LeaseId>,
    /// Whether the instance key exists under the lease.
    registered: bool,
    /// Sending time of the last successful renewal.
    renewed_at: Option<Millis>,
    /// Sending time of the last call that confirmed the document in force.
    confirmed_at: Option<Millis>,
    /// Pending calls by number, with their sending times.
    calls: BTreeMap<u64, (Call, Millis)>,
    last_call_number: u64,
    /// Earliest time of the next call about the lease.
    next_lease_call_at: Millis,
    /// Earliest time of the next read of the document.
    next_read_at: Millis,
    /// Earliest time of the next write or holder check.
    next_write_at: Millis,
    /// Holders that membership reports as gone, and since when.
    gone_since: BTreeMap<String, Millis>,
    /// Gone holders whose instance key does not exist or names another process.
    without_key: BTreeSet<Holder>,
    /// Holders whose removal may be under way, and since when.
    pending_removals: BTreeMap<String, Millis>,
    draining: bool,
    /// Whether a write that removes this instance may have run.
    stepping_down: bool,
}

impl Registry {
    /// Creates the registry of an instance that has not contacted the service.
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
            renewed_at: None,
            confirmed_at: None,
            calls: BTreeMap::new(),
            last_call_number: 0,
            next_lease_call_at: Millis::ZERO,
            next_read_at: Millis::ZERO,
            next_write_at: Millis::ZERO,
            gone_since: BTreeMap::new(),
            without_key: BTreeSet::new(),
            pending_removals: BTreeMap::new(),
            draining: false,
            stepping_down: false,
        }
    }

    /// Returns the document in force.
    #[must_use]
    pub fn document(&self) -> Option<&CoordinatorsDocument> {
        self.document.as_ref()
    }

    /// Returns the epoch of the document in force.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.document
            .as_ref()
            .map_or(Epoch::default(), |document| document.epoch)
    }

    /// Returns whether the document lists this process as a holder.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        let document = self.document.as_ref();
        let holder = document.and_then(|document| document.holder(&self.me.name));
        holder.is_some_and(|holder| holder.boot == self.me.boot)
    }

    /// Returns whether the key-value service confirmed both the lease and the
    /// document within the last [`INSTANCE_LEASE_TTL`].
    #[must_use]
    pub fn is_current(&self, now: Millis) -> bool {
        let fresh =
            |sent: Option<Millis>| sent.is_some_and(|sent| now.since(sent) < INSTANCE_LEASE_TTL);
        self.lease.is_some() && fresh(self.renewed_at) && fresh(self.confirmed_at)
    }

    /// Returns whether this instance drains and is no longer a holder.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.draining && !self.is_holder()
    }

    /// Starts draining.
    pub fn drain(&mut self) {
        self.draining = true;
        self.next_write_at = Millis::ZERO;
    }

    /// Returns whether this instance may already have removed itself.
    #[must_use]
    pub fn is_stepping_down(&self) -> bool {
        self.stepping_down
    }

    /// Makes the store calls that are due.
    pub fn tick(&mut self, cx: &mut Cx<'_>, members: &mut Membership) {
        self.drop_timed_out_calls(cx.now);
        self.maintain_lease(cx);
        let behind = members.highest_epoch() > self.epoch();
        if behind {
            self.next_read_at = self.next_read_at.min(cx.now + RETRY_DELAY);
        }
        if cx.now >= self.next_read_at && !self.has_pending(|call| *call == Call::ReadDocument) {
            self.next_read_at = cx.now + RENEW_INTERVAL;
            let key = CoordinatorsDocument::key(&self.domain);
            self.call(cx, Call::ReadDocument, StoreOp::Get { key });
        }
        self.check_gone_holders(cx, members);
        self.plan_write(cx, members);
        members.withhold_echo(self.pending_removals.keys().cloned().collect());
    }

    /// Handles an answer of the service; returns the change of the document, if
    /// any.
    pub fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        number: u64,
        result: StoreResult,
    ) -> Option<DocumentChange> {
        let (call, sent) = self.calls.remove(&number)?;
        match result {
            Ok(answer) => self.on_answer(cx, call, sent, answer),
            Err(failure) => {
                if matches!(failure, StoreFailure::NotRun { .. }) && is_write(&call) {
                    self.stepping_down = false;
                }
                self.on_failure(cx.now, &call);
                None
            }
        }
    }

    /// Adopts a newer document received from a peer. Its store version is
    /// unknown, so it is read from the service next.
    pub fn on_peer_document(&mut self, document: CoordinatorsDocument) -> Option<DocumentChange> {
        if document.epoch <= self.epoch() {
            return None;
        }
        self.version = None;
        self.confirmed_at = None;
        self.next_read_at = Millis::ZERO;
        self.adopt(document, false)
    }

    fn drop_timed_out_calls(&mut self, now: Millis) {
        let lost: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, (_, sent))| now.since(*sent) >= CALL_TIMEOUT)
            .map(|(&number, _)| number)
            .collect();
        for number in lost {
            if let Some((call, _)) = self.calls.remove(&number) {
                self.on_failure(now, &call);
            }
        }
        self.pending_removals
            .retain(|_, since| now.since(*since) < PENDING_REMOVAL_TTL);
    }

    fn on_failure(&mut self, now: Millis, call: &Call) {
        match call {
            Call::WriteDocument { .. } => {
                self.version = None;
                self.next_read_at = now;
                self.next_write_at = now + RETRY_DELAY;
            }
            Call::ReadDocument => self.next_read_at = self.next_read_at.min(now + RETRY_DELAY),
            Call::CheckHolder { .. } | Call::RevokeLease => {}
            Call::GrantLease | Call::RegisterInstance | Call::RenewLease => {
                self.next_lease_call_at = now + RETRY_DELAY
            }
        }
    }

    fn maintain_lease(&mut self, cx: &mut Cx<'_>) {
        let busy = self.has_pending(|call| {
            matches!(
                call,
                Call::GrantLease | Call::RegisterInstance | Call::RenewLease | Call::RevokeLease
            )
        });
        if busy || cx.now < self.next_lease_call_at {
            return;
        }
        if self.is_removed() {
            if let Some(lease) = self.lease.take() {
                self.call(cx, Call::RevokeLease, StoreOp::Revoke { lease });
            }
            return;
        }
        self.next_lease_call_at = cx.now + RENEW_INTERVAL;
        match (self.lease.clone(), self.registered) {
            (None, _) => self.call(
                cx,
                Call::GrantLease,
                StoreOp::Grant {
                    ttl: INSTANCE_LEASE_TTL,
                },
            ),
            (Some(lease), true) => self.call(cx, Call::RenewLease, StoreOp::Renew { lease }),
            (Some(lease), false) => {
                let op = StoreOp::Create {
                    key: instance_key(&self.me.name),
                    value: self.me.boot.0.to_string().into_bytes(),
                    lease: Some(lease),
                };
                self.call(cx, Call::RegisterInstance, op);
            }
        }
    }

    fn on_answer(
        &mut self,
        cx: &mut Cx<'_>,
        call: Call,
        sent: Millis,
        answer: StoreAnswer,
    ) -> Option<DocumentChange> {
        match (call, answer) {
            (Call::GrantLease, StoreAnswer::Lease(lease)) => {
                self.lease = Some(lease);
                self.registered = false;
                self.next_lease_call_at = cx.now;
            }
            (Call::RegisterInstance, StoreAnswer::Written(_)) => self.on_registered(sent),
            (Call::RegisterInstance, StoreAnswer::Conflict(Some(entry))) => {
                let mine = self.me.boot.0.to_string().into_bytes();
                if entry.value == mine {
                    self.on_registered(sent);
                }
                self.next_lease_call_at = cx.now + RETRY_DELAY;
            }
            (Call::RenewLease, StoreAnswer::Lease(_)) => self.renewed_at = Some(sent),
            (Call::RenewLease | Call::RegisterInstance, StoreAnswer::LeaseGone) => {
                self.drop_lease(cx.now)
            }
            (Call::CheckHolder { holder }, StoreAnswer::Entry(entry)) => {
                let expected = holder.boot.0.to_string().into_bytes();
                if entry.is_none_or(|entry| entry.value != expected) {
                    self.without_key.insert(holder);
                    self.next_write_at = cx.now;
                }
            }
            (Call::ReadDocument, StoreAnswer::Entry(entry)) => return self.on_read(sent, entry),
            (Call::WriteDocument { .. }, StoreAnswer::Conflict(entry)) => {
                return self.on_read(sent, entry);
            }
            (
                Call::WriteDocument {
                    document, create, ..
                },
                StoreAnswer::Written(version),
            ) => {
                self.version = Some(version);
                self.confirmed_at = Some(sent);
                return self.adopt(document, create);
            }
            _ => {}
        }
        None
    }

    fn on_registered(&mut self, sent: Millis) {
        self.registered = true;
        self.renewed_at = Some(sent);
    }

    fn drop_lease(&mut self, now: Millis) {
        self.lease = None;
        self.registered = false;
        self.renewed_at = None;
        self.next_lease_call_at = now + RETRY_DELAY;
    }

    fn on_read(&mut self, sent: Millis, entry: Option<StoreEntry>) -> Option<DocumentChange> {
        let Some(entry) = entry else {
            self.version = Some(KeyVersion(0));
            self.confirmed_at = None;
            return None;
        };
        self.version = Some(entry.version);
        let document: Option<CoordinatorsDocument> = serde_json::from_slice(&entry.value).ok();
        let Some(document) = document else {
            self.confirmed_at = None;
            return None;
        };
        if document.epoch < self.epoch() {
            self.confirmed_at = None;
            return None;
        }
        self.confirmed_at = Some(sent);
        self.adopt(document, false)
    }

    fn adopt(&mut self, document: CoordinatorsDocument, is_first: bool) -> Option<DocumentChange> {
        if document.epoch <= self.epoch() {
            return None;
        }
        self.gone_since.clear();
        self.without_key.clear();
        self.pending_removals.clear();
        let before = self.document.replace(document.clone());
        Some(DocumentChange {
            is_first: is_first && before.is_none() && document.epoch == Epoch(1),
            before,
            after: document,
        })
    }

    fn has_pending(&self, predicate: impl Fn(&Call) -> bool) -> bool {
        self.calls.values().any(|(call, _)| predicate(call))
    }

    fn call(&mut self, cx: &mut Cx<'_>, call: Call, op: StoreOp) {
        self.last_call_number += 1;
        self.calls.insert(self.last_call_number, (call, cx.now));
        let ticket = Ticket {
            component: Component::Capacity,
            number: self.last_call_number,
        };
        cx.store(ticket, op);
    }
}

fn instance_key(name: &str) -> String {
    format!("instances/{name}")
}

fn is_write(call: &Call) -> bool {
    matches!(call, Call::WriteDocument { .. })
}
