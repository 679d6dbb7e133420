//! What an instance that shares backend servers with others knows of homes:
//! its registry, the homes it keeps, and those of other failure domains.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;

use super::Change;
use super::Credits;
use super::FALLBACK_AFTER;
use super::Fallback;
use super::Homes;
use super::HomesDocument;
use super::LOAD_PERIOD;
use super::Message;
use super::Outbox;
use super::Registry;
use super::Scope;
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

/// Time between two questions for the homes of another failure domain.
const ASK_HOMES_PERIOD: Millis = Millis(500);

/// Registry, homes and what is known of others'.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) registry: Registry,
    pub(super) homes: Homes,
    pub(super) polls: Polls,
    /// Homes of other failure domains.
    pub(super) foreign: BTreeMap<DomainKey, HomesDocument>,
    next_ask_homes: BTreeMap<DomainKey, Millis>,
    /// When the document in force was learned.
    learned: Millis,
    /// Homes of backend servers, as far as they were looked up.
    known: BTreeMap<BackendKey, (String, Epoch)>,
    /// Generation of the fleet for which homes were started.
    generation: Option<u64>,
}

impl Shared {
    /// Returns the part of an instance that knows no homes yet.
    pub(super) fn new(me: &Identity) -> Shared {
        Shared {
            registry: Registry::new(me),
            homes: Homes::default(),
            polls: Polls::default(),
            foreign: BTreeMap::new(),
            next_ask_homes: BTreeMap::new(),
            learned: Millis::ZERO,
            known: BTreeMap::new(),
            generation: None,
        }
    }

    /// Starts homes of backend servers that are new in the fleet.
    pub(super) fn follow_fleet(&mut self, cx: &mut Cx<'_>, scope: &mut Scope<'_>) {
        let generation = Some(scope.fleet.generation());
        if !self.registry.holds() || self.generation == generation {
            return;
        }
        if let Some(document) = self.registry.document() {
            self.homes.find_new(cx, scope, document);
            self.generation = generation;
        }
    }

    /// Returns the home of a backend server and the epoch of its document.
    pub(super) fn home_of(
        &mut self,
        fleet: &Fleet,
        me: Option<DomainKey>,
        key: BackendKey,
    ) -> Option<(String, Epoch)> {
        if let Some(known) = self.known.get(&key) {
            return Some(known.clone());
        }
        let found = self.look_up(fleet, me, key)?;
        self.known.insert(key, found.clone());
        Some(found)
    }

    fn look_up(
        &self,
        fleet: &Fleet,
        me: Option<DomainKey>,
        key: BackendKey,
    ) -> Option<(String, Epoch)> {
        let backend = fleet.backend(key);
        let document = match Some(backend.domain) == me {
            true => self.registry.document()?,
            false => self.foreign.get(&backend.domain)?,
        };
        let home = document.home_of(&backend.name)?;
        Some((home.name.clone(), document.epoch))
    }

    pub(super) fn on_change(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &mut Scope<'_>,
        change: &Change,
        out: &mut Outbox,
    ) {
        self.learned = cx.now;
        self.generation = None;
        self.known.clear();
        scope.members.hurry();
        self.homes.on_change(cx, scope, change, out);
    }

    pub(super) fn hear(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &mut Scope<'_>,
        domain: &str,
        document: HomesDocument,
        out: &mut Outbox,
    ) {
        if domain == cx.me.domain {
            if let Some(change) = self.registry.hear(document) {
                self.on_change(cx, scope, &change, out);
            }
            return;
        }
        let Some(domain) = scope.fleet.domain_key(domain) else {
            return;
        };
        let known = self.foreign.entry(domain).or_default();
        if document.epoch > known.epoch {
            *known = document;
            self.known.clear();
        }
    }

    /// Asks for the homes of failure domains whose backend servers are wanted.
    pub(super) fn find_foreign(&mut self, cx: &mut Cx<'_>, scope: &Scope<'_>, credits: &Credits) {
        let me = scope.fleet.domain_key(&cx.me.domain);
        let mut wanted: Vec<DomainKey> = Vec::new();
        for (key, _) in credits.books() {
            let domain = scope.fleet.backend(key).domain;
            let known = self.foreign.contains_key(&domain);
            if Some(domain) != me && !known && !wanted.contains(&domain) {
                wanted.push(domain);
            }
        }
        for domain in wanted {
            let next = self.next_ask_homes.entry(domain).or_default();
            if *next > cx.now {
                continue;
            }
            *next = cx.now + ASK_HOMES_PERIOD;
            let live = scope.members.live_in(&scope.fleet.domain(domain).name);
            let Some(name) = live.choose(cx.rng) else {
                continue;
            };
            let Some(addr) = scope.members.addr(name) else {
                continue;
            };
            cx.out.push(Output::Peer {
                to: (*name).to_owned(),
                addr: addr.to_owned(),
                message: PeerMessage::Capacity(Message::AskHomes),
            });
        }
    }

    /// Decides of which backend servers the static share is used, and asks them
    /// for load reports.
    pub(super) fn use_fallback(
        &mut self,
        cx: &mut Cx<'_>,
        scope: &Scope<'_>,
        credits: &Credits,
        fallback: &mut Fallback,
    ) {
        let mut keys = Vec::new();
        for (key, _) in credits.books() {
            if self.falls_back(cx, scope, credits, key) {
                keys.push(key);
                self.polls.ask(cx, scope.fleet, key, LOAD_PERIOD);
            }
        }
        fallback.set(&keys);
    }

    fn falls_back(
        &self,
        cx: &Cx<'_>,
        scope: &Scope<'_>,
        credits: &Credits,
        key: BackendKey,
    ) -> bool {
        let backend = scope.fleet.backend(key);
        let Some(document) = self.registry.document() else {
            return false;
        };
        let own = scope.fleet.domain_key(&cx.me.domain) == Some(backend.domain);
        let settled = cx.now.since(self.learned) >= FALLBACK_AFTER;
        let newest = scope.members.highest_epoch() <= document.epoch;
        if !own || !settled || !newest || !self.registry.holds() {
            return false;
        }
        let Some(home) = document.home_of(&backend.name) else {
            return false;
        };
        if home.name == cx.me.name || credits.in_force(cx.now, key).is_some() {
            return false;
        }
        let heard = scope.members.heard_at(&home.name);
        heard.is_none_or(|at| cx.now.since(at) >= FALLBACK_AFTER)
    }
}
