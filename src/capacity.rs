//! Concurrency limits of backend servers, enforced across all instances.
//!
//! Each backend server has a coordinator: an instance in its failure domain
//! that leases out parts of the server's concurrency limit. A user is an
//! instance that sends requests to a backend server under such a lease. It
//! requests leases from the coordinator with [`LeaseRequest`] messages. A lease
//! allows a number of streams and tokens for a few seconds, and the user reuses
//! it for request after request without further messages. The sum of all
//! leases, and of the work that may still run under expired leases, never
//! exceeds the limit in force. Without contact to the coordinator, a user may
//! use its static share: a fixed part of the limit (see [`Fallback`]).
//!
//! A document in the key-value service names the instances that act as
//! coordinators in a failure domain (its holders).
//!
//! Messages, stored documents, events and metrics call the coordinator `home`
//! and the lease `credit`.
//!
//! Clocks of different machines are never compared: a user counts the lifetime
//! of a lease from when it sent its lease request, the coordinator from when it
//! sent its answer, which is later.

mod amount;
mod coordinator;
mod document;
mod fallback;
mod lease;
mod ledger;
mod message;
mod poll;
mod registry;
mod shared;
#[cfg(test)]
mod tests;

pub use amount::Amount;
pub use amount::UNLIMITED;
pub use coordinator::CONTACT_TTL;
pub use coordinator::Coordinator;
pub use coordinator::ORPHAN_GRACE;
pub use coordinator::Outbox;
pub use coordinator::REPORT_TTL;
pub use document::CoordinatorsDocument;
pub use document::Holder;
pub use document::PastHolders;
pub use fallback::FALLBACK_TIMEOUT;
pub use fallback::Fallback;
pub use lease::IDLE_TIMEOUT;
pub use lease::LEASE_REQUEST_INTERVAL;
pub use lease::Leases;
pub use ledger::LEASE_TTL;
pub use ledger::LEASE_TTL_MARGIN;
pub use message::Grant;
pub use message::Grants;
pub use message::HandedOverAccount;
pub use message::Handover;
pub use message::LeaseRequest;
pub use message::LeaseRequestItem;
pub use message::Message;
pub use message::Recall;
pub use poll::LOAD_REPORT_INTERVAL;
pub use registry::DocumentChange;
pub use registry::INSTANCE_LEASE_TTL;
pub use registry::Registry;

use self::shared::SharedState;
use crate::backend::LoadReport;
use crate::clock::Millis;
use crate::condition::Conditions;
use crate::control::Cx;
use crate::control::Identity;
use crate::control::Output;
use crate::control::Ticket;
use crate::declaration::Limits;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::RequestId;
use crate::job::Cost;
use crate::membership::Membership;
use crate::metrics::Level;
use crate::peer::PeerMessage;
use crate::store::StoreResult;

/// Part of a capacity lease that one attempt occupies.
#[derive(Debug, PartialEq, Eq)]
pub struct LeaseUse {
    /// The backend server.
    pub backend: BackendKey,
    /// Tokens that the attempt occupies besides one stream.
    pub cost: Cost,
    /// Epoch under which the lease was granted.
    pub epoch: Epoch,
}

/// State of other components that this one reads and changes.
#[derive(Debug)]
pub struct CapacityContext<'a> {
    /// Backend servers and failure domains.
    pub fleet: &'a Fleet,
    /// Conditions of backend servers.
    pub conditions: &'a mut Conditions,
    /// Instances of the cluster.
    pub members: &'a mut Membership,
}

impl CapacityContext<'_> {
    /// Returns the backend servers that a document assigns to this instance.
    fn assigned_backends(&self, cx: &Cx<'_>, document: &CoordinatorsDocument) -> Vec<BackendKey> {
        let domain = self.fleet.domain_key(&cx.me.domain);
        self.fleet
            .backends()
            .filter(|(_, backend)| Some(backend.domain) == domain)
            .filter(|(_, backend)| {
                let coordinator = document.coordinator_of(&backend.name);
                coordinator
                    .is_some_and(|holder| holder.name == cx.me.name && holder.boot == cx.me.boot)
            })
            .map(|(key, _)| key)
            .collect()
    }
}

/// Capacity management on one instance, as a user and as a coordinator.
///
/// By default the instance shares its backend servers with no other instance:
/// only their conditions limit what it may use.
#[derive(Debug, Default)]
pub struct Capacity {
    leases: Leases,
    fallback: Fallback,
    shared: Option<SharedState>,
}

impl Capacity {
    /// Creates the state of an instance that shares backend servers with
    /// others.
    #[must_use]
    pub fn new(me: &Identity) -> Capacity {
        Capacity {
            shared: Some(SharedState::new(me)),
            ..Capacity::default()
        }
    }

    /// Returns the capacity that this instance may still use. A token quantity
    /// whose declared limit is 0 is unlimited and is returned as `u64::MAX`;
    /// all quantities are 0 if the limit has no streams, or without a lease and
    /// a static share.
    #[must_use]
    pub fn available(
        &self,
        now: Millis,
        fleet: &Fleet,
        conditions: &Conditions,
        backend: BackendKey,
    ) -> Limits {
        let limit = Amount::of_limits(conditions.limits(fleet, backend));
        self.free_capacity(now, limit, backend).0.as_limits()
    }

    /// Records that a job waits for capacity on a backend server. Its weight is
    /// `importance` plus one.
    pub fn record_demand(&mut self, now: Millis, backend: BackendKey, cost: Cost, importance: u8) {
        let weight = u64::from(importance) + 1;
        self.record_total_demand(now, backend, cost, weight);
    }

    /// Records that several jobs wait for capacity on a backend server. `cost`
    /// is the cost of the largest job; `weight` is the sum of the jobs'
    /// weights, each its importance plus one.
    pub fn record_total_demand(
        &mut self,
        now: Millis,
        backend: BackendKey,
        cost: Cost,
        weight: u64,
    ) {
        if self.shared.is_some() {
            self.leases
                .record_demand(now, backend, Amount::of_cost(cost), weight);
        }
    }

    /// Acquires one stream and its tokens if the free capacity covers them.
    pub fn try_acquire(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        conditions: &Conditions,
        backend: BackendKey,
        cost: Cost,
    ) -> Option<LeaseUse> {
        let limit = Amount::of_limits(conditions.limits(fleet, backend));
        let (free, epoch) = self.free_capacity(now, limit, backend);
        if !free.covers(Amount::of_cost(cost)) {
            return None;
        }
        self.leases.acquire(now, backend, cost);
        Some(LeaseUse {
            backend,
            cost,
            epoch,
        })
    }

    /// Releases the prompt tokens of an attempt whose prefill is complete.
    pub fn release_prefill(&mut self, lease: &mut LeaseUse) {
        let amount = Amount {
            prefill: std::mem::take(&mut lease.cost.prefill_tokens),
            ..Amount::ZERO
        };
        self.leases.release(lease.backend, amount);
    }

    /// Releases an attempt's capacity; to be called only when none of its work
    /// can still run.
    pub fn release(&mut self, lease: LeaseUse) {
        self.leases
            .release(lease.backend, Amount::of_cost(lease.cost));
    }

    /// Returns the epoch of the coordinators document in force in this failure
    /// domain.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        let shared = self.shared.as_ref();
        shared.map_or(Epoch::default(), |shared| shared.registry.epoch())
    }

    /// Returns the document that names the coordinators of this failure domain.
    #[must_use]
    pub fn coordinators(&self) -> Option<&CoordinatorsDocument> {
        self.shared.as_ref()?.registry.document()
    }

    /// Returns the capacity reserved by all users of a backend server, or
    /// `None` if this instance is not its coordinator.
    #[must_use]
    pub fn total_reserved(&self, backend: BackendKey) -> Option<Amount> {
        let ledger = self.shared.as_ref()?.coordinator.ledger(backend)?;
        Some(ledger.total_reserved())
    }

    /// Starts to hand over coordination; called when the instance drains.
    pub fn drain(&mut self) {
        self.leases.drain();
        if let Some(shared) = &mut self.shared {
            shared.registry.drain();
        }
    }

    /// Returns whether this instance drains and the document no longer lists it
    /// as a holder; always true if it shares no backend servers.
    #[must_use]
    pub fn has_drained(&self) -> bool {
        let shared = self.shared.as_ref();
        shared.is_none_or(|shared| shared.registry.is_removed())
    }

    /// Renews the instance's lease in the key-value service, updates ledgers
    /// and static shares, and sends the lease requests that are due; to be
    /// called at least every 100 ms.
    pub fn tick(&mut self, cx: &mut Cx<'_>, context: &mut CapacityContext<'_>) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        shared.registry.tick(cx, context.members);
        let mut out = Outbox::default();
        shared.sync_with_fleet(cx, context);
        shared
            .coordinator
            .tick(cx, context, &shared.registry, &mut shared.polls, &mut out);
        shared.update_fallback(cx, context, &self.leases, &mut self.fallback);
        let domain = context.fleet.domain_key(&cx.me.domain);
        shared.polls.poll_domain(cx, context.fleet, domain);
        cx.metrics
            .set(Level::Homes, gauge_value(shared.coordinator.count()));
        cx.metrics
            .set(Level::StaticShares, gauge_value(self.fallback.count()));
        self.send(cx, context, out);
        self.send_due_requests(cx, context);
    }

    /// Sends the lease requests that cannot wait for the next tick: for new
    /// demand, for a recall to confirm, or for draining; to be called after
    /// each dispatch.
    pub fn send_urgent_requests(&mut self, cx: &mut Cx<'_>, context: &mut CapacityContext<'_>) {
        if self.leases.is_urgent() {
            self.send_due_requests(cx, context);
        }
    }

    /// Sends the lease requests that are due.
    fn send_due_requests(&mut self, cx: &mut Cx<'_>, context: &mut CapacityContext<'_>) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        shared.request_foreign_documents(cx, context, &self.leases);
        let fleet = context.fleet;
        let own_domain = fleet.domain_key(&cx.me.domain);
        let requests = self.leases.due_requests(cx.now, context, |key| {
            shared.coordinator_of(fleet, own_domain, key)
        });
        let mut out = Outbox::default();
        for (coordinator, request) in requests {
            out.messages.push((coordinator, Message::Ask(request)));
        }
        self.send(cx, context, out);
    }

    /// Handles a message of the instance `from`.
    pub fn on_message(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        from: &str,
        boot: Boot,
        message: Message,
    ) {
        let mut out = Outbox::default();
        self.handle_message(cx, context, from, boot, message, &mut out);
        self.send(cx, context, out);
    }

    /// Handles an answer of the key-value service.
    pub fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        ticket: Ticket,
        result: StoreResult,
    ) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        let mut out = Outbox::default();
        if let Some(change) = shared.registry.on_store(cx, ticket.number, result) {
            shared.on_change(cx, context, &change, &mut out);
        }
        self.send(cx, context, out);
    }

    /// Handles a load report; `is_open` returns whether one of this instance's
    /// requests is still unanswered.
    pub fn on_report(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        backend: BackendKey,
        report: &LoadReport,
        is_open: &dyn Fn(RequestId) -> bool,
    ) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        let Some(taken_at) = shared.polls.complete(backend, report.age_ms) else {
            return;
        };
        if shared.coordinator.ledger(backend).is_some() {
            shared
                .coordinator
                .on_report(cx, context, backend, taken_at, report, is_open);
        } else if report.epoch <= shared.registry.epoch() {
            self.fallback.on_report(backend, taken_at, report);
        }
    }

    /// Returns the unused capacity under the current lease or the static share,
    /// with the epoch that requests must carry.
    fn free_capacity(&self, now: Millis, limit: Amount, backend: BackendKey) -> (Amount, Epoch) {
        let used = self.leases.used(backend);
        let Some(shared) = &self.shared else {
            return (limit.minus(used), Epoch::default());
        };
        if let Some((lease, _, epoch)) = self.leases.current_lease(now, backend) {
            return (lease.min(limit).minus(used), epoch);
        }
        let Some(document) = shared.registry.document() else {
            return (Amount::ZERO, Epoch::default());
        };
        let share_divisor = u64::try_from(document.holders.len()).unwrap_or(u64::MAX);
        let free = self
            .fallback
            .available(now, backend, limit, share_divisor, &self.leases);
        (free, document.epoch)
    }

    /// Sends messages; those addressed to this instance are handled
    /// immediately, until they produce no further ones.
    fn send(&mut self, cx: &mut Cx<'_>, context: &mut CapacityContext<'_>, out: Outbox) {
        let mut queue = out.messages;
        while !queue.is_empty() {
            let mut next = Outbox::default();
            for (to, message) in queue {
                if to == cx.me.name {
                    let me = cx.me;
                    self.handle_message(cx, context, &me.name, me.boot, message, &mut next);
                } else if let Some(addr) = self.peer_addr_of(context, &to) {
                    cx.out.push(Output::Peer {
                        to,
                        addr,
                        message: PeerMessage::Capacity(message),
                    });
                }
            }
            queue = next.messages;
        }
    }

    /// Returns the address for peer traffic of an instance, from membership or
    /// else from a document that lists it as a holder.
    fn peer_addr_of(&self, context: &CapacityContext<'_>, name: &str) -> Option<String> {
        if let Some(addr) = context.members.addr(name) {
            return Some(addr.to_owned());
        }
        let shared = self.shared.as_ref()?;
        let own_document = shared.registry.document().into_iter();
        let mut documents = own_document.chain(shared.foreign.values());
        let holder = documents.find_map(|document| document.holder(name))?;
        Some(holder.addr.clone())
    }

    fn handle_message(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        from: &str,
        boot: Boot,
        message: Message,
        out: &mut Outbox,
    ) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        match message {
            Message::Ask(request) => {
                let user = (from.to_owned(), boot);
                let registry = &shared.registry;
                shared
                    .coordinator
                    .on_lease_request(cx, context, registry, &user, &request, out);
            }
            Message::Grants(grants) => self.leases.on_grants(cx, context, &grants),
            Message::Recall(recalls) => {
                for recall in &recalls {
                    self.leases.on_recall(context, recall);
                }
            }
            Message::Handover(handover) => {
                let epoch = shared.registry.epoch();
                shared.coordinator.on_handover(cx, context, epoch, handover);
            }
            Message::AskHomes => {
                if let Some(document) = shared.registry.document() {
                    let message = coordinator::coordinators_message(cx, document);
                    out.messages.push((from.to_owned(), message));
                }
            }
            Message::Homes { domain, document } => {
                shared.on_coordinators(cx, context, &domain, document, out)
            }
        }
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
