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
use crate::gateway::instances::Member;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::heartbeat_period;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::Ticket;
use crate::gateway::message::Watching;
use crate::gateway::roster::Roster;
use crate::gateway::roster::ServerKey;
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
/// Instances that go on asking a store that answers nobody; the first of them
/// that gets an answer tells the others.
const DARK_WATCHERS: usize = 8;
/// Instances up to which all tell each other of their calls to plain servers.
/// More of them send more datagrams than the servers do work, and each server
/// gets few calls from each.
const TOLD_CALLS_INSTANCES: usize = 16;
/// Age of the newest proof from which on an instance watches closely itself;
/// with two others at work it stays below two seconds.
const PROOF_MISSED: Millis = Millis(2_500);

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
    watching: Watching,
    leaving: bool,
    ready: bool,
    next_heartbeat: Millis,
    next_review: Millis,
    entries_digest: u64,
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
            watching: Watching::Loosely,
            leaving: false,
            ready: false,
            next_heartbeat: Millis::ZERO,
            next_review: Millis::ZERO,
            entries_digest: 0,
        }
    }

    /// Handles one input at time `now`, which never decreases.
    #[must_use]
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Submit(ticket, submission) => self.submit(now, ticket, submission, &mut out),
            Input::Started(ticket) => self.started(now, ticket, &mut out),
            Input::Progress(ticket, at) => self.progressed(ticket, at),
            Input::ColdSeen(ticket, left) => self.cold_seen(now, ticket, left),
            Input::MemorySeen { addr, free } => self.memory_seen(now, &addr, free),
            Input::Ended(ticket, end) => self.ended(now, ticket, end, &mut out),
            Input::Facts {
                proved_at,
                config_revision,
                entries_digest,
                facts,
            } => {
                self.entries_digest = entries_digest;
                self.freshness
                    .store_answered(now, proved_at, config_revision);
                self.take_facts(now, facts, &mut out);
                self.retry_waiting(now, &mut out);
            }
            Input::PassOn(item) => self.tell(&mut out, PeerMessage::Item(item)),
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
            self.heartbeat(now, out);
        }
        if now >= self.next_review {
            self.next_review = now + HEARTBEAT_PERIOD;
            self.update_watching(now, out);
            self.measure(now);
        }
    }

    fn heartbeat(&mut self, now: Millis, out: &mut Vec<Output>) {
        let closely = self.watching == Watching::Closely;
        let period = match closely {
            true => HEARTBEAT_PERIOD,
            false => heartbeat_period(self.instances.count()),
        };
        self.next_heartbeat = now + period;
        let message = PeerMessage::Alive {
            name: self.me.name.clone(),
            addr: self.me.addr.clone(),
            config_revision: self.freshness.config_revision(),
            proof_age_ms: self.freshness.proof_age(now).0,
            store_answers: self.freshness.store_answers(),
            entries_digest: closely.then_some(self.entries_digest),
            period_ms: period.0,
        };
        self.tell(out, message);
        let instances = self.instances.count() as f64;
        self.budgets
            .set_reserve((self.bounds.retry_extra * RETRY_LIMIT_USED / instances).max(1.0));
    }

    /// Has the first instances that the store answers watch it closely, and this
    /// one as long as it is behind others or hears of no proof. Of a store that
    /// answers nobody only the first instances go on asking.
    fn update_watching(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < FIRST_HEARTBEATS {
            return;
        }
        let answers = self.freshness.store_answers();
        let is_asker = self.instances.rank(&self.me.name) < DARK_WATCHERS;
        let is_watcher = match answers {
            true => self.instances.rank_at_store(&self.me.name) < CLOSE_WATCHERS,
            false => is_asker && !self.instances.store_answers_any(),
        };
        let missed = self.freshness.proof_age(now) > PROOF_MISSED;
        let closely = is_watcher || self.freshness.is_behind() || (missed && (answers || is_asker));
        let watching = match closely {
            true => Watching::Closely,
            false => Watching::Loosely,
        };
        if watching != self.watching {
            self.watching = watching;
            self.next_heartbeat = now;
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

    /// Returns whether others are told of what stands on a server.
    fn is_told(&self, server: ServerKey) -> bool {
        self.standing.engine(server).is_some() || self.instances.count() <= TOLD_CALLS_INSTANCES
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
                store_answers,
                period_ms,
                // The ledger of the store's items compares it.
                entries_digest: _,
            } => {
                if name == self.me.name {
                    return;
                }
                let member = Member { name, addr };
                let period = Millis(period_ms);
                if self.instances.heard(now, &member, period, store_answers) {
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
