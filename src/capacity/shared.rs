//! Coordination state of an instance that shares backend servers with others:
//! its registry, the backend servers that it coordinates, and the documents of
//! other failure domains.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;

use super::CapacityContext;
use super::Coordinator;
use super::CoordinatorsDocument;
use super::DocumentChange;
use super::FALLBACK_TIMEOUT;
use super::Fallback;
use super::LOAD_REPORT_INTERVAL;
use super::Leases;
use super::Message;
use super::Outbox;
use super::Registry;
use super::poll::Polls;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Identity;
use crate::control::Output;
use crate::fleet::BackendKey;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::id::Epoch;
use crate::peer::PeerMessage;

/// Interval between two requests for the coordinators of another failure
/// domain.
const COORDINATORS_REQUEST_INTERVAL: Millis = Millis(500);

/// Registry, coordinated backend servers, and documents of other domains.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) registry: Registry,
    pub(super) coordinator: Coordinator,
    pub(super) polls: Polls,
    /// Documents of other failure domains.
    pub(super) foreign: BTreeMap<DomainKey, CoordinatorsDocument>,
    next_coordinators_request: BTreeMap<DomainKey, Millis>,
    document_adopted_at: Millis,
    /// Cache of looked-up coordinators with the epoch of their document.
    coordinator_cache: BTreeMap<BackendKey, (String, Epoch)>,
    /// Generation of the fleet whose assigned backend servers are all
    /// coordinated, or `None` if they have to be checked again.
    generation: Option<u64>,
}

impl SharedState {
    /// Creates the state of an instance that knows no coordinators yet.
    pub(super) fn new(me: &Identity) -> SharedState {
        SharedState {
            registry: Registry::new(me),
            coordinator: Coordinator::default(),
            polls: Polls::default(),
            foreign: BTreeMap::new(),
            next_coordinators_request: BTreeMap::new(),
            document_adopted_at: Millis::ZERO,
            coordinator_cache: BTreeMap::new(),
            generation: None,
        }
    }

    /// Starts coordinating assigned backend servers that are new in the fleet.
    pub(super) fn sync_with_fleet(&mut self, cx: &mut Cx<'_>, context: &mut CapacityContext<'_>) {
        let generation = Some(context.fleet.generation());
        if !self.registry.is_holder() || self.generation == generation {
            return;
        }
        if let Some(document) = self.registry.document() {
            self.coordinator.start_new_backends(cx, context, document);
            self.generation = generation;
        }
    }

    /// Returns the coordinator of a backend server and the epoch of its
    /// document.
    pub(super) fn coordinator_of(
        &mut self,
        fleet: &Fleet,
        own_domain: Option<DomainKey>,
        key: BackendKey,
    ) -> Option<(String, Epoch)> {
        if let Some(known) = self.coordinator_cache.get(&key) {
            return Some(known.clone());
        }
        let found = self.look_up(fleet, own_domain, key)?;
        self.coordinator_cache.insert(key, found.clone());
        Some(found)
    }

    fn look_up(
        &self,
        fleet: &Fleet,
        own_domain: Option<DomainKey>,
        key: BackendKey,
    ) -> Option<(String, Epoch)> {
        let backend = fleet.backend(key);
        let document = match Some(backend.domain) == own_domain {
            true => self.registry.document()?,
            false => self.foreign.get(&backend.domain)?,
        };
        let coordinator = document.coordinator_of(&backend.name)?;
        Some((coordinator.name.clone(), document.epoch))
    }

    /// Applies a change of this failure domain's document.
    pub(super) fn on_change(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        change: &DocumentChange,
        out: &mut Outbox,
    ) {
        self.document_adopted_at = cx.now;
        self.generation = None;
        self.coordinator_cache.clear();
        context.members.send_at_next_tick();
        self.coordinator.on_change(cx, context, change, out);
    }

    /// Handles a document that another instance sent.
    pub(super) fn on_coordinators(
        &mut self,
        cx: &mut Cx<'_>,
        context: &mut CapacityContext<'_>,
        domain: &str,
        document: CoordinatorsDocument,
        out: &mut Outbox,
    ) {
        if domain == cx.me.domain {
            if let Some(change) = self.registry.on_peer_document(document) {
                self.on_change(cx, context, &change, out);
            }
            return;
        }
        let Some(domain) = context.fleet.domain_key(domain) else {
            return;
        };
        let known = self.foreign.entry(domain).or_default();
        if document.epoch > known.epoch {
            *known = document;
            self.coordinator_cache.clear();
        }
    }

    /// Requests the unknown documents of other failure domains on whose backend
    /// servers this instance has had demand.
    pub(super) fn request_foreign_documents(
        &mut self,
        cx: &mut Cx<'_>,
        context: &CapacityContext<'_>,
        leases: &Leases,
    ) {
        let own_domain = context.fleet.domain_key(&cx.me.domain);
        let mut wanted: Vec<DomainKey> = Vec::new();
        for (key, _) in leases.backends() {
            let domain = context.fleet.backend(key).domain;
            let known = self.foreign.contains_key(&domain);
            if Some(domain) != own_domain && !known && !wanted.contains(&domain) {
                wanted.push(domain);
            }
        }
        for domain in wanted {
            let next = self.next_coordinators_request.entry(domain).or_default();
            if *next > cx.now {
                continue;
            }
            *next = cx.now + COORDINATORS_REQUEST_INTERVAL;
            let live = context
                .members
                .serving_in(&context.fleet.domain(domain).name);
            let Some(name) = live.choose(cx.rng) else {
                continue;
            };
            let Some(addr) = context.members.addr(name) else {
                continue;
            };
            cx.out.push(Output::Peer {
                to: (*name).to_owned(),
                addr: addr.to_owned(),
                message: PeerMessage::Capacity(Message::AskHomes),
            });
        }
    }

    /// Selects the backend servers on which the static share is used, and polls
    /// their load reports.
    pub(super) fn update_fallback(
        &mut self,
        cx: &mut Cx<'_>,
        context: &CapacityContext<'_>,
        leases: &Leases,
        fallback: &mut Fallback,
    ) {
        let mut keys = Vec::new();
        for (key, _) in leases.backends() {
            if self.needs_fallback(cx, context, leases, key) {
                keys.push(key);
                self.polls
                    .poll_if_due(cx, context.fleet, key, LOAD_REPORT_INTERVAL);
            }
        }
        fallback.set_backends(&keys);
    }

    /// Returns whether to use the static share of a backend server of this
    /// failure domain: this instance is a holder but not the server's
    /// coordinator, it has no valid lease, and for [`FALLBACK_TIMEOUT`] it has
    /// neither adopted a document nor heard from the coordinator. No newer
    /// document may be known.
    fn needs_fallback(
        &self,
        cx: &Cx<'_>,
        context: &CapacityContext<'_>,
        leases: &Leases,
        key: BackendKey,
    ) -> bool {
        let backend = context.fleet.backend(key);
        let Some(document) = self.registry.document() else {
            return false;
        };
        let in_own_domain = context.fleet.domain_key(&cx.me.domain) == Some(backend.domain);
        let document_is_old = cx.now.since(self.document_adopted_at) >= FALLBACK_TIMEOUT;
        let no_newer_epoch = context.members.highest_epoch() <= document.epoch;
        if !in_own_domain || !document_is_old || !no_newer_epoch || !self.registry.is_holder() {
            return false;
        }
        let Some(coordinator) = document.coordinator_of(&backend.name) else {
            return false;
        };
        if coordinator.name == cx.me.name || leases.current_lease(cx.now, key).is_some() {
            return false;
        }
        let last_heartbeat = context.members.last_heartbeat_at(&coordinator.name);
        last_heartbeat.is_none_or(|at| cx.now.since(at) >= FALLBACK_TIMEOUT)
    }
}
