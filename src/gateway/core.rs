//! The gateway's control core: everything that is decided, and nothing that is
//! read or sent.
//!
//! [`Core::handle`] takes the time and one input and returns outputs. It knows
//! the configuration, the backend servers, what stands on each of them as all
//! instances tell each other, and every request of its own callers.

mod choose;
mod crashes;
mod endings;
mod facts;
mod freshness;
mod health;
mod requests;
mod standing;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use self::crashes::Crashes;
use self::freshness::Freshness;
use self::health::Health;
use self::requests::Request;
use self::standing::Standing;
use crate::attempt::Budgets;
use crate::clock::Millis;
use crate::gateway::instances::HEARTBEAT_PERIOD;
use crate::gateway::instances::Instances;
use crate::gateway::instances::Item;
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::Ticket;
use crate::gateway::message::Watching;
use crate::gateway::roster::Roster;
use crate::gateway::route::RouteTable;
use crate::gateway::settings::Bounds;
use crate::gateway::shares::ColdShares;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::metrics::Metrics;

/// Part of the fleet's retry limits that is given out as shares; the rest
/// covers instances that are not known yet.
const RETRY_LIMIT_USED: f64 = 0.7;

/// Instances that watch the store closely: one, and one more in case that it is
/// cut off.
const CLOSE_WATCHERS: usize = 2;
/// Age of the newest proof from which on an instance watches closely itself;
/// with two others at work it stays below two seconds.
const PROOF_MISSED: Millis = Millis(2_500);

/// Heartbeats with which an item is told again: within the time after which a
/// leaving server must get nothing more.
const ITEM_REPEATS: u32 = 3;
/// Time from the start in which others are heard for the first time.
const FIRST_HEARTBEATS: Millis = Millis(1_500);

/// Who this instance is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Me {
    /// Its name.
    pub name: String,
    /// The failure domain that it stands in.
    pub domain: String,
    /// Its address for datagrams.
    pub addr: String,
}

/// The control core of one instance.
#[derive(Debug)]
pub struct Core {
    me: Me,
    bounds: Bounds,
    metrics: Arc<Metrics>,
    table: Option<Arc<RouteTable>>,
    roster: Roster,
    /// Servers whose entries lapsed, with when they count as gone.
    missing: HashMap<String, Millis>,
    domains_out: HashSet<String>,
    freshness: Freshness,
    standing: Standing,
    health: Health,
    crashes: Crashes,
    instances: Instances,
    budgets: Budgets,
    cold: ColdShares,
    requests: BTreeMap<Ticket, Request>,
    /// Items that others are told again, and how often.
    told_items: Vec<(u32, Item)>,
    watching: Watching,
    leaving: bool,
    ready: bool,
    next_heartbeat: Millis,
}

impl Core {
    /// Returns the core of a starting instance.
    #[must_use]
    pub fn new(me: Me, bounds: Bounds, metrics: Arc<Metrics>) -> Core {
        let budgets = Budgets::new(
            bounds.retry_ratio * RETRY_LIMIT_USED,
            bounds.retry_extra * RETRY_LIMIT_USED,
        );
        Core {
            me,
            freshness: Freshness::new(&bounds),
            bounds,
            metrics,
            table: None,
            roster: Roster::default(),
            missing: HashMap::new(),
            domains_out: HashSet::new(),
            standing: Standing::default(),
            health: Health::default(),
            crashes: Crashes::default(),
            instances: Instances::default(),
            budgets,
            cold: ColdShares::default(),
            requests: BTreeMap::new(),
            told_items: Vec::new(),
            watching: Watching::Loosely,
            leaving: false,
            ready: false,
            next_heartbeat: Millis::ZERO,
        }
    }

    /// Handles one input at time `now`, which never decreases.
    #[must_use]
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Submit(ticket, submission) => self.submit(now, ticket, submission, &mut out),
            Input::Started(ticket) => self.started(now, ticket, &mut out),
            Input::Progress(ticket) => self.progressed(now, ticket),
            Input::ColdSeen(ticket, left) => self.cold_seen(now, ticket, left),
            Input::MemorySeen { addr, free } => self.memory_seen(now, &addr, free),
            Input::Ended(ticket, end) => self.ended(now, ticket, end, &mut out),
            Input::Facts {
                proved_at,
                config_revision,
                facts,
            } => {
                self.freshness
                    .store_answered(now, proved_at, config_revision);
                self.take_facts(now, facts, &mut out);
                self.retry_waiting(now, &mut out);
            }
            Input::PassOn(item) => {
                self.tell(&mut out, PeerMessage::Item(item.clone()));
                self.told_items.push((ITEM_REPEATS, item));
            }
            Input::StoreLost => self.freshness.store_lost(now),
            Input::Peer(message) => self.peer(now, message),
            Input::Tick => self.tick(now, &mut out),
            Input::Leave => self.leaving = true,
        }
        self.update_ready(now, &mut out);
        out
    }

    /// Returns how many requests are not answered yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        for name in self.instances.expire(now) {
            log::warn!(instance = name.as_str(); "instance lost: no heartbeat");
        }
        self.expire_missing(now);
        self.retry_waiting(now, out);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_PERIOD;
            self.heartbeat(now, out);
            self.update_watching(now, out);
            self.measure(now);
        }
    }

    fn heartbeat(&mut self, now: Millis, out: &mut Vec<Output>) {
        let message = PeerMessage::Alive {
            name: self.me.name.clone(),
            addr: self.me.addr.clone(),
            config_revision: self.freshness.config_revision(),
            proof_age_ms: self.freshness.proof_age(now).0,
        };
        self.tell(out, message);
        self.repeat_items(out);
        let instances = self.instances.count() as f64;
        self.budgets
            .set_reserve((self.bounds.retry_extra * RETRY_LIMIT_USED / instances).max(1.0));
    }

    /// Tells the newest items again, as single datagrams get lost.
    fn repeat_items(&mut self, out: &mut Vec<Output>) {
        let mut items = std::mem::take(&mut self.told_items);
        for (left, item) in &mut items {
            self.tell(out, PeerMessage::Item(item.clone()));
            *left -= 1;
        }
        items.retain(|(left, _)| *left > 0);
        self.told_items = items;
    }

    /// Has the first instances watch the store closely, and this one as long as
    /// it is behind others or hears of no proof.
    fn update_watching(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < FIRST_HEARTBEATS {
            return;
        }
        let closely = self.instances.rank(&self.me.name) < CLOSE_WATCHERS
            || self.freshness.is_behind()
            || self.freshness.proof_age(now) > PROOF_MISSED;
        let watching = match closely {
            true => Watching::Closely,
            false => Watching::Loosely,
        };
        if watching != self.watching {
            self.watching = watching;
            log::info!(
                watching:? = watching,
                instances = self.instances.alive(),
                config_age_ms = self.freshness.proof_age(now).0;
                "watch of the store changed"
            );
            out.push(Output::Watch(watching));
        }
    }

    fn measure(&mut self, now: Millis) {
        let level = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics
            .set(Level::RequestsOpen, level(self.requests.len()));
        self.metrics
            .set(Level::MembersLive, level(self.instances.alive()));
        self.metrics.set(Level::Ready, i64::from(self.ready));
        let age = self.freshness.proof_age(now).0;
        self.metrics
            .set(Level::ConfigAge, i64::try_from(age).unwrap_or(i64::MAX));
    }

    fn tell(&self, out: &mut Vec<Output>, message: PeerMessage) {
        let addrs = self.instances.addrs();
        if !addrs.is_empty() {
            out.push(Output::Tell(addrs, message));
        }
    }

    fn peer(&mut self, now: Millis, message: PeerMessage) {
        match message {
            PeerMessage::Placed(placed) => self.standing.peer_placed(now, &self.roster, &placed),
            PeerMessage::Started { job, server, parts } => {
                self.standing
                    .peer_started(now, &self.roster, job, server, &parts);
            }
            PeerMessage::Ended { job, server, parts } => {
                self.standing
                    .peer_ended(now, &self.roster, job, server, &parts);
            }
            PeerMessage::Alive {
                name,
                addr,
                config_revision,
                proof_age_ms,
            } => {
                if name == self.me.name {
                    return;
                }
                let member = Member { name, addr };
                if self.instances.heard(now, &member) {
                    log::info!(instance = member.name.as_str(), addr = member.addr.as_str(); "instance heard");
                }
                self.freshness
                    .peer_proof(now, config_revision, Millis(proof_age_ms));
            }
            PeerMessage::Crashed {
                fingerprint,
                server,
            } => {
                self.crashes.record(now, fingerprint, server);
            }
            // The ledger of the store's items takes these over.
            PeerMessage::Item(_) => {}
            PeerMessage::Suspect { server, avoid_ms } => {
                if let Some(key) = self.roster.find_hash(server) {
                    self.health.avoid(key, now + Millis(avoid_ms));
                }
            }
        }
    }

    fn update_ready(&mut self, now: Millis, out: &mut Vec<Output>) {
        let ready = !self.leaving
            && self.table.is_some()
            && self.roster.listed().next().is_some()
            && self.freshness.keys_usable(now);
        if ready != self.ready {
            self.ready = ready;
            log::info!(
                ready = ready,
                leaving = self.leaving,
                config_known = self.table.is_some(),
                config_age_ms = self.freshness.proof_age(now).0;
                "readiness changed"
            );
            out.push(Output::Ready(ready));
        }
    }

    fn count(&self, count: Count) {
        self.metrics.add(count, 1);
    }
}
