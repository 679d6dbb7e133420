//! Limits of backend servers that hold over all instances: homes and credits.
//!
//! Each backend server has a home instance in its failure domain, named by a
//! document in the key-value service. The home gives out credits: so many
//! streams and tokens, for a few seconds. An instance uses a credit again after
//! each request, without a message. The sum of all credits, and of what may
//! still run under credits that lapsed, never grows above the limit in force.
//!
//! No clocks are compared: a user counts the life of a credit from the sending
//! of its ask, the home from the sending of its answer, which is later.

mod amount;
mod credit;
mod document;
mod fallback;
mod home;
mod ledger;
mod message;
mod poll;
mod registry;
mod shared;
#[cfg(test)]
mod tests;

pub use amount::Amount;
pub use amount::UNLIMITED;
pub use credit::ASK_PERIOD;
pub use credit::Credits;
pub use credit::IDLE_AFTER;
pub use document::Holder;
pub use document::HomesDocument;
pub use document::PastHolders;
pub use fallback::FALLBACK_AFTER;
pub use fallback::Fallback;
pub use home::CONTACT_LIFE;
pub use home::Homes;
pub use home::ORPHAN_GRACE;
pub use home::Outbox;
pub use home::REPORT_LIFE;
pub use ledger::CREDIT_LIFE;
pub use ledger::LIFE_GUARD;
pub use message::Ask;
pub use message::AskItem;
pub use message::Grant;
pub use message::Grants;
pub use message::HandedAccount;
pub use message::Handover;
pub use message::Message;
pub use message::Recall;
pub use poll::LOAD_PERIOD;
pub use registry::Change;
pub use registry::LEASE_TTL;
pub use registry::Registry;

use self::shared::Shared;
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

/// Part of a credit that one attempt holds.
#[derive(Debug, PartialEq, Eq)]
pub struct CreditUse {
    /// The backend server.
    pub backend: BackendKey,
    /// What it takes besides one stream.
    pub cost: Cost,
    /// The epoch under which the credit was granted.
    pub epoch: Epoch,
}

/// What the duty reads and changes of others.
#[derive(Debug)]
pub struct Scope<'a> {
    /// The fleet.
    pub fleet: &'a Fleet,
    /// Conditions of backend servers.
    pub conditions: &'a mut Conditions,
    /// The instances.
    pub members: &'a mut Membership,
}

impl Scope<'_> {
    /// Returns the backend servers that a document assigns to this instance.
    fn assigned(&self, cx: &Cx<'_>, document: &HomesDocument) -> Vec<BackendKey> {
        let domain = self.fleet.domain_key(&cx.me.domain);
        self.fleet
            .backends()
            .filter(|(_, backend)| Some(backend.domain) == domain)
            .filter(|(_, backend)| {
                let home = document.home_of(&backend.name);
                home.is_some_and(|home| home.name == cx.me.name && home.boot == cx.me.boot)
            })
            .map(|(key, _)| key)
            .collect()
    }
}

/// This instance's part in limits: as a user, and as a home.
///
/// The default shares its backend servers with nobody: limits follow from
/// conditions alone.
#[derive(Debug, Default)]
pub struct Capacity {
    credits: Credits,
    fallback: Fallback,
    shared: Option<Shared>,
}

impl Capacity {
    /// Returns the part of an instance that shares backend servers with others.
    #[must_use]
    pub fn new(me: &Identity) -> Capacity {
        Capacity {
            shared: Some(Shared::new(me)),
            ..Capacity::default()
        }
    }

    /// Returns what is free under the credits this instance holds; a field
    /// whose limit is 0 in the declarations is `u64::MAX`.
    #[must_use]
    pub fn available(
        &self,
        now: Millis,
        fleet: &Fleet,
        conditions: &Conditions,
        backend: BackendKey,
    ) -> Limits {
        let limit = Amount::of_limits(conditions.limits(fleet, backend));
        self.free(now, limit, backend).0.as_limits()
    }

    /// Notes that a job waits for room on a backend server.
    pub fn want(&mut self, now: Millis, backend: BackendKey, cost: Cost, importance: u8) {
        let weight = u64::from(importance) + 1;
        self.want_for_all(now, backend, cost, weight);
    }

    /// Notes that jobs wait for room on a backend server: the cost of the
    /// largest, and the sum of their importances plus one each.
    pub fn want_for_all(&mut self, now: Millis, backend: BackendKey, cost: Cost, weight: u64) {
        if self.shared.is_some() {
            self.credits
                .want(now, backend, Amount::of_cost(cost), weight);
        }
    }

    /// Takes a stream and its tokens, if the credits allow it.
    pub fn take(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        conditions: &Conditions,
        backend: BackendKey,
        cost: Cost,
    ) -> Option<CreditUse> {
        let limit = Amount::of_limits(conditions.limits(fleet, backend));
        let (free, epoch) = self.free(now, limit, backend);
        if !free.covers(Amount::of_cost(cost)) {
            return None;
        }
        self.credits.take(now, backend, cost);
        Some(CreditUse {
            backend,
            cost,
            epoch,
        })
    }

    /// Gives the prompt tokens back once the prompt is processed.
    pub fn prefill_done(&mut self, held: &mut CreditUse) {
        let amount = Amount {
            prefill: std::mem::take(&mut held.cost.prefill_tokens),
            ..Amount::ZERO
        };
        self.credits.release(held.backend, amount);
    }

    /// Gives everything back once nothing of the attempt can still run.
    pub fn release(&mut self, held: CreditUse) {
        self.credits
            .release(held.backend, Amount::of_cost(held.cost));
    }

    /// Returns the highest epoch known of the own failure domain's homes.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        let shared = self.shared.as_ref();
        shared.map_or(Epoch::default(), |shared| shared.registry.epoch())
    }

    /// Returns the homes of the own failure domain.
    #[must_use]
    pub fn homes(&self) -> Option<&HomesDocument> {
        self.shared.as_ref()?.registry.document()
    }

    /// Returns what all users hold of a backend server whose home this is.
    #[must_use]
    pub fn held(&self, backend: BackendKey) -> Option<Amount> {
        let ledger = self.shared.as_ref()?.homes.ledger(backend)?;
        Some(ledger.held())
    }

    /// Starts to hand over the homes of a leaving instance.
    pub fn leave(&mut self) {
        self.credits.leave();
        if let Some(shared) = &mut self.shared {
            shared.registry.leave();
        }
    }

    /// Returns whether a leaving instance is home of nothing any more.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let shared = self.shared.as_ref();
        shared.is_none_or(|shared| shared.registry.has_left())
    }

    /// Renews lease, homes and credits; to be called every 100 ms or sooner.
    pub fn tick(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        shared.registry.tick(cx, scope.members);
        let mut out = Outbox::default();
        shared.follow_fleet(cx, scope);
        shared
            .homes
            .tick(cx, scope, &shared.registry, &mut shared.polls, &mut out);
        shared.use_fallback(cx, scope, &self.credits, &mut self.fallback);
        let domain = scope.fleet.domain_key(&cx.me.domain);
        shared.polls.ask_all(cx, scope.fleet, domain);
        cx.metrics.set(Level::Homes, level(shared.homes.count()));
        cx.metrics
            .set(Level::StaticShares, level(self.fallback.count()));
        self.send(cx, scope, out);
        self.ask_homes(cx, scope);
    }

    /// Asks at once for what was wanted since; to be called after each dispatch.
    pub fn ask(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>) {
        if !self.credits.is_calm() {
            self.ask_homes(cx, scope);
        }
    }

    /// Sends the asks that are due.
    fn ask_homes(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        shared.find_foreign(cx, scope, &self.credits);
        let fleet = scope.fleet;
        let me = fleet.domain_key(&cx.me.domain);
        let asks = self
            .credits
            .due(cx.now, scope, |key| shared.home_of(fleet, me, key));
        let mut out = Outbox::default();
        for (home, ask) in asks {
            out.messages.push((home, Message::Ask(ask)));
        }
        self.send(cx, scope, out);
    }

    /// Takes over a message of the instance `from`.
    pub fn on_message(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &mut Scope<'_>,
        from: &str,
        boot: Boot,
        message: Message,
    ) {
        let mut out = Outbox::default();
        self.receive(cx, scope, from, boot, message, &mut out);
        self.send(cx, scope, out);
    }

    /// Takes over the key-value service's answer.
    pub fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &mut Scope<'_>,
        ticket: Ticket,
        result: StoreResult,
    ) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        let mut out = Outbox::default();
        if let Some(change) = shared.registry.on_store(cx, ticket.number, result) {
            shared.on_change(cx, scope, &change, &mut out);
        }
        self.send(cx, scope, out);
    }

    /// Takes over a load report; `is_open` tells which of this instance's
    /// requests are not answered yet.
    pub fn on_report(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &mut Scope<'_>,
        backend: BackendKey,
        report: &LoadReport,
        is_open: &dyn Fn(RequestId) -> bool,
    ) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        let Some(data) = shared.polls.answered(backend, report.age_ms) else {
            return;
        };
        if shared.homes.ledger(backend).is_some() {
            shared
                .homes
                .on_report(cx, scope, backend, data, report, is_open);
        } else if report.epoch <= shared.registry.epoch() {
            self.fallback.on_report(backend, data, report);
        }
    }

    fn free(&self, now: Millis, limit: Amount, backend: BackendKey) -> (Amount, Epoch) {
        let used = self.credits.used(backend);
        let Some(shared) = &self.shared else {
            return (limit.minus(used), Epoch::default());
        };
        if let Some((credit, _, epoch)) = self.credits.in_force(now, backend) {
            return (credit.min(limit).minus(used), epoch);
        }
        let Some(document) = shared.registry.document() else {
            return (Amount::ZERO, Epoch::default());
        };
        let parts = u64::try_from(document.holders.len()).unwrap_or(u64::MAX);
        let free = self
            .fallback
            .available(now, backend, limit, parts, &self.credits);
        (free, document.epoch)
    }

    /// Sends messages; what goes to this instance itself is handled at once.
    fn send(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>, out: Outbox) {
        let mut queue = out.messages;
        while !queue.is_empty() {
            let mut next = Outbox::default();
            for (to, message) in queue {
                if to == cx.me.name {
                    let me = cx.me;
                    self.receive(cx, scope, &me.name, me.boot, message, &mut next);
                } else if let Some(addr) = self.addr(scope, &to) {
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

    fn addr(&self, scope: &Scope<'_>, name: &str) -> Option<String> {
        if let Some(addr) = scope.members.addr(name) {
            return Some(addr.to_owned());
        }
        let shared = self.shared.as_ref()?;
        let own = shared.registry.document().into_iter();
        let mut documents = own.chain(shared.foreign.values());
        let holder = documents.find_map(|document| document.holder(name))?;
        Some(holder.addr.clone())
    }

    fn receive(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &mut Scope<'_>,
        from: &str,
        boot: Boot,
        message: Message,
        out: &mut Outbox,
    ) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        match message {
            Message::Ask(ask) => {
                let user = (from.to_owned(), boot);
                let registry = &shared.registry;
                shared.homes.on_ask(cx, scope, registry, &user, &ask, out);
            }
            Message::Grants(grants) => self.credits.on_grants(cx, scope, &grants),
            Message::Recall(recalls) => {
                for recall in &recalls {
                    self.credits.on_recall(scope, recall);
                }
            }
            Message::Handover(handover) => {
                let epoch = shared.registry.epoch();
                shared.homes.on_handover(cx, scope, epoch, handover);
            }
            Message::AskHomes => {
                if let Some(document) = shared.registry.document() {
                    let message = home::homes_message(cx, document);
                    out.messages.push((from.to_owned(), message));
                }
            }
            Message::Homes { domain, document } => shared.hear(cx, scope, &domain, document, out),
        }
    }
}

fn level(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
