//! Control core of the gateway: makes all decisions and performs no I/O.
//!
//! [`Core::handle`] takes the time and one input and returns outputs. The core
//! holds the configuration, the backend servers, the load that all instances
//! report for each server, and the requests of its own callers.

mod calls;
mod choose;
pub(super) mod crashes;
mod endings;
mod facts;
mod fleet_load;
mod forwarding;
mod freshness;
mod health;
mod heartbeats;
mod lengths;
mod links;
mod notices;
mod quarantine;
mod relays;
mod requests;
mod shutdown;
mod stalls;
mod waiting;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use self::crashes::Crashes;
use self::facts::Lapse;
use self::fleet_load::FleetLoad;
use self::forwarding::ForwardBudget;
use self::freshness::Freshness;
use self::health::Health;
use self::links::HeldReport;
use self::requests::Request;
use crate::attempt::RetryBudgets;
use crate::clock::Millis;
use crate::gateway::answer_times::AnswerTimes;
use crate::gateway::cost::CostModel;
use crate::gateway::cost::lengths::OutputLengths;
use crate::gateway::fair_shares::FairShares;
use crate::gateway::instances::CrashSuspect;
use crate::gateway::instances::Instances;
use crate::gateway::instances::MIN_HEARTBEAT_PERIOD;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::EntriesState;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::Shutdown;
use crate::gateway::message::Ticket;
use crate::gateway::message::Watching;
use crate::gateway::queue::RoomRates;
use crate::gateway::queue::WaitQueue;
use crate::gateway::ranks::RankLedger;
use crate::gateway::ranks::Ranks;
use crate::gateway::rate_limits::RateLimits;
use crate::gateway::route::RouteTable;
use crate::gateway::server_links::ServerLinks;
use crate::gateway::server_table::ServerEntry;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::ServerTable;
use crate::gateway::settings::Bounds;
use crate::gateway::shares::ColdShares;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::metrics::Metrics;

/// Share of the fleet-wide retry limits that is divided between known
/// instances. The rest covers instances not discovered yet.
const RETRY_LIMIT_SHARE: f64 = 0.7;

/// Number of instances that watch the store closely: one, and a spare in case
/// it loses its connection.
const CLOSE_WATCHERS: usize = 2;
/// Number of instances that keep polling a store that answers no instance. The
/// first one that gets an answer notifies the others.
const OUTAGE_POLLERS: usize = 8;
/// Largest number of instances that broadcast their calls to plain servers.
/// With more instances the datagrams cost more than the servers' work, and each
/// server gets few calls from each instance.
const MAX_CALL_BROADCAST_INSTANCES: usize = 16;
/// Age of the newest proof (see [`freshness`]) above which an instance watches
/// the store closely itself. With two other close watchers the age stays below
/// two seconds.
const PROOF_OVERDUE_AGE: Millis = Millis(2_500);

/// Time by which the first heartbeats of other instances have arrived. The
/// clock starts at zero with the process.
const STARTUP_HEARTBEAT_WAIT: Millis = Millis(1_500);
/// Time after the start by which others that started with it state that they watch
/// the store; a server that drains meanwhile is read by then.
const STARTUP_WATCH_WAIT: Millis = Millis(2_000);
/// Time by which each further group of instances waits longer before it watches the
/// store because nobody else does: the groups double in size, so that few watch at
/// once, and the last ones wait half a second. Longer than a read and the heartbeat
/// after it take.
const TAKEOVER_STEP: Millis = Millis(75);
/// Seed of the order in which instances take over.
const TAKEOVER_ORDER_SEED: u64 = 1;

/// Identity of this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalInstance {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address for datagrams between instances, `ip:port`.
    pub addr: String,
}

/// Control core of one instance.
#[derive(Debug)]
pub struct Core {
    local: LocalInstance,
    bounds: Bounds,
    metrics: Arc<Metrics>,
    routes: Option<Arc<RouteTable>>,
    server_table: ServerTable,
    /// Servers whose store entries lapsed.
    lapsed_servers: HashMap<String, Lapse>,
    /// Entries of removed servers that the store shows again since it returned
    /// from an older copy, with the time at which they are taken to be true.
    reappeared_servers: HashMap<String, (ServerEntry, Millis)>,
    cordoned_domains: HashSet<String>,
    /// Cordons that are missing since the store returned from an older copy, with
    /// the time at which they end.
    missing_cordons: HashMap<String, Millis>,
    freshness: Freshness,
    forward_budget: ForwardBudget,
    fleet_load: FleetLoad,
    health: Health,
    crashes: Crashes,
    links: ServerLinks,
    /// Reports of failed servers, held back until it is known whether the servers
    /// or the link to them failed.
    held_reports: Vec<HeldReport>,
    /// Servers that are probed because they broke an answer off, by id, and since
    /// when.
    crash_probes: BTreeMap<String, Millis>,
    instances: Instances,
    budgets: RetryBudgets,
    cold_shares: ColdShares,
    rate_limits: RateLimits,
    /// Servers that said that they are leaving. One that starts again has another
    /// key.
    leaving_servers: HashSet<ServerKey>,
    /// Servers that asked this instance for a pause, with its end.
    paused_servers: HashMap<ServerKey, Millis>,
    requests: BTreeMap<Ticket, Request>,
    queue: WaitQueue,
    room_rates: RoomRates,
    fair_shares: FairShares,
    ranks: Ranks,
    rank_ledger: RankLedger,
    answer_times: AnswerTimes,
    cost: CostModel,
    output_lengths: OutputLengths,
    watching: Watching,
    /// When that last changed.
    watching_since: Millis,
    /// Whether the backend servers' entries have been read since.
    has_read_entries: bool,
    /// Times of the shutdown; `None` unless it has begun.
    shutdown: Option<Shutdown>,
    ready: bool,
    next_heartbeat: Millis,
    next_periodic_update: Millis,
    next_link_check: Millis,
    last_tick: Millis,
    /// When attempts without output are sought again.
    next_stall_check: Millis,
    /// State of the backend servers' entries in the store, by which the other
    /// instances detect changes that they have missed.
    entries: EntriesState,
    /// Whether a change was not forwarded that the next heartbeat has to announce.
    has_unforwarded_change: bool,
    /// Index of the next instance to which crash records are repeated.
    next_repeat_to: usize,
}

impl Core {
    /// Creates the core of a starting instance.
    #[must_use]
    pub fn new(local: LocalInstance, bounds: Bounds, metrics: Arc<Metrics>) -> Core {
        let budgets = RetryBudgets::new(
            bounds.retry_ratio * RETRY_LIMIT_SHARE,
            bounds.retry_extra * RETRY_LIMIT_SHARE,
        );
        Core {
            local,
            freshness: Freshness::new(&bounds),
            bounds,
            metrics,
            routes: None,
            server_table: ServerTable::default(),
            lapsed_servers: HashMap::new(),
            reappeared_servers: HashMap::new(),
            cordoned_domains: HashSet::new(),
            missing_cordons: HashMap::new(),
            forward_budget: ForwardBudget::default(),
            fleet_load: FleetLoad::default(),
            health: Health::default(),
            crashes: Crashes::default(),
            links: ServerLinks::default(),
            held_reports: Vec::new(),
            crash_probes: BTreeMap::new(),
            instances: Instances::default(),
            budgets,
            cold_shares: ColdShares::default(),
            rate_limits: RateLimits::default(),
            leaving_servers: HashSet::new(),
            paused_servers: HashMap::new(),
            requests: BTreeMap::new(),
            queue: WaitQueue::default(),
            room_rates: RoomRates::default(),
            fair_shares: FairShares::default(),
            ranks: Ranks::default(),
            rank_ledger: RankLedger::default(),
            answer_times: AnswerTimes::default(),
            cost: CostModel::default(),
            output_lengths: OutputLengths::default(),
            watching: Watching::Loosely,
            watching_since: Millis::ZERO,
            has_read_entries: false,
            shutdown: None,
            ready: false,
            next_heartbeat: Millis::ZERO,
            next_periodic_update: Millis::ZERO,
            next_link_check: Millis::ZERO,
            last_tick: Millis::ZERO,
            next_stall_check: Millis::ZERO,
            entries: EntriesState::default(),
            has_unforwarded_change: false,
            next_repeat_to: 0,
        }
    }

    /// Handles one input at time `now`, which must never decrease.
    #[must_use]
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Submit(ticket, submission) => self.submit(now, ticket, submission, &mut out),
            Input::CheckHead(ticket, submission) => {
                self.check_head(now, ticket, submission, &mut out);
            }
            Input::FirstOutput(ticket, attempt) => {
                self.on_first_output(now, ticket, attempt, &mut out);
            }
            Input::Progress(ticket, attempt, at) => {
                self.on_progress(now, ticket, attempt, at, &mut out);
            }
            Input::CallerBehind(ticket, is_behind) => {
                self.on_caller_behind(now, ticket, is_behind);
            }
            Input::ServerNotice {
                server_id,
                sent_at,
                notice,
            } => self.on_server_notice(now, &server_id, sent_at, notice, &mut out),
            Input::FreeMemoryReported { addr, free } => self.on_memory_reported(now, &addr, free),
            Input::AttemptEnded(ticket, attempt, end) => {
                self.on_attempt_ended(now, ticket, attempt, end, &mut out);
            }
            Input::ProbeEnded { server_id, end } => {
                self.on_probe_ended(now, &server_id, end, &mut out);
            }
            Input::StoreUpdates {
                proved_at,
                shown_version,
                config_position,
                updates,
            } => {
                if !updates.is_empty() {
                    self.queue.record_room_everywhere();
                }
                let outage = self
                    .freshness
                    .record_store_answer(now, proved_at, config_position);
                if let Some(outage) = outage {
                    self.extend_lapses(now, outage);
                }
                self.apply_store_updates(now, updates, &mut out);
                if let Some(proved_at) = proved_at {
                    let in_force = self.config_version();
                    let is_proven_again =
                        self.freshness
                            .record_proof(proved_at, shown_version, in_force);
                    if is_proven_again {
                        // Others may be about to refuse keys for lack of a proof.
                        self.next_heartbeat = now;
                    }
                }
                self.retry_waiting(now, &mut out);
            }
            Input::EntriesAnswered(queried_at) => {
                self.freshness.record_entries_answer(now, queried_at);
            }
            Input::ForwardItems(items) => self.forward_items(now, items, &mut out),
            Input::EntriesRead {
                queried_at,
                entries,
            } => self.on_entries_read(now, queried_at, entries),
            Input::StoreCallFailed => {
                if self.watching == Watching::Closely && self.freshness.is_store_answering() {
                    // Another instance has to watch.
                    self.next_heartbeat = now;
                }
                self.freshness.record_store_loss(now);
            }
            Input::StoreEra { era, restored } => {
                self.freshness.record_era(now, era, restored);
                if restored {
                    self.count(Count::StoreRestored);
                    // Tells the other instances.
                    self.next_heartbeat = now;
                }
            }
            Input::Peer {
                message,
                arrived_after,
            } => self.on_peer_message(now, arrived_after, message, &mut out),
            Input::Tick => self.tick(now, &mut out),
            Input::Bounds(bounds) => self.set_bounds(bounds),
            Input::Drain(shutdown) => {
                self.shutdown = Some(shutdown);
                self.broadcast_relay_state(&mut out);
            }
        }
        self.update_ready(now, &mut out);
        out
    }

    /// Applies changed settings. Requests that are open keep what they were sent
    /// with.
    fn set_bounds(&mut self, bounds: Bounds) {
        self.freshness.set_bounds(&bounds);
        self.budgets
            .set_earned_per_try(bounds.retry_ratio * RETRY_LIMIT_SHARE);
        let instances = self.instances.known_count() as f64;
        self.budgets
            .set_max_saved((bounds.retry_extra * RETRY_LIMIT_SHARE / instances).max(1.0));
        self.bounds = bounds;
    }

    /// Returns the number of unanswered requests.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.end_requests_at_exit(now, out);
        for name in self.instances.expire(now) {
            log::warn!(instance = name.as_str(); "instance lost: no heartbeat");
        }
        self.drop_lapsed_servers(now);
        self.settle_after_restore(now);
        self.retry_waiting(now, out);
        self.detect_suspension(now);
        self.check_stalled_attempts(now, out);
        self.check_links(now, out);
        if now >= self.next_heartbeat {
            self.send_heartbeat(now, out);
        }
        if now >= self.next_periodic_update {
            self.next_periodic_update = now + MIN_HEARTBEAT_PERIOD;
            self.expire_rate_limits(now);
            self.paused_servers.retain(|_, until| now < *until);
            self.update_watching(now, out);
            self.fair_shares.expire(now);
            self.update_gauges(now);
        } else if self.watching == Watching::Loosely && self.replaces_watchers(now) {
            self.update_watching(now, out);
        }
    }

    /// Selects how closely this instance watches the store. The first instances
    /// that the store answers watch it closely for all. An instance that is behind
    /// the others or whose newest proof is overdue watches it for itself; as long
    /// as there is no configuration, there is nothing to prove. If the store
    /// answers no instance, only the first ones keep polling.
    fn update_watching(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < STARTUP_HEARTBEAT_WAIT {
            return;
        }
        let store_answers = self.freshness.is_store_answering();
        let is_outage_poller = self.instances.rank_among_live(&self.local.name) < OUTAGE_POLLERS;
        let is_watcher = match store_answers {
            true => {
                self.instances.rank_among_connected(&self.local.name) < CLOSE_WATCHERS
                    || self.replaces_watchers(now)
            }
            false => is_outage_poller && !self.instances.any_reaches_store(),
        };
        let is_proof_overdue =
            self.routes.is_some() && self.freshness.proof_age(now) > PROOF_OVERDUE_AGE;
        let needs_own_watch = self.freshness.is_behind(self.config_version())
            || (is_proof_overdue && (store_answers || is_outage_poller));
        let watching = match (is_watcher, needs_own_watch) {
            (true, _) => Watching::Closely,
            (false, true) => Watching::ForItself,
            (false, false) => Watching::Loosely,
        };
        if watching != self.watching {
            self.watching = watching;
            self.watching_since = now;
            self.has_read_entries = false;
            self.next_heartbeat = now;
            log::info!(
                watching:? = watching,
                instances = self.instances.live_count(),
                config_age_ms = self.freshness.proof_age(now).0;
                "watch of the store changed"
            );
            out.push(Output::Watch(watching));
        }
    }

    /// Returns whether this instance watches the store for all in place of those
    /// that are meant to. They may have ended together, and do not watch as soon as
    /// they are back. Until enough others state that they do, it goes on. As long as
    /// there is no configuration, no server gets a request.
    fn replaces_watchers(&self, now: Millis) -> bool {
        if self.routes.is_none() || !self.freshness.is_store_answering() {
            return false;
        }
        if self.watching == Watching::Closely {
            return self.instances.watchers_before(now, &self.local.name) < CLOSE_WATCHERS;
        }
        let unwatched_since = self.instances.watched_until().max(STARTUP_WATCH_WAIT);
        if now < unwatched_since {
            return false;
        }
        // Another order than that of the watchers, as those that precede in it may all
        // have ended.
        let rank = self
            .instances
            .rank_among_known(&self.local.name, TAKEOVER_ORDER_SEED);
        let group = (rank / CLOSE_WATCHERS + 1).ilog2();
        now >= unwatched_since + TAKEOVER_STEP * u64::from(group)
    }

    fn on_entries_read(&mut self, now: Millis, queried_at: Millis, entries: EntriesState) {
        self.entries = entries;
        let is_first = !self.has_read_entries && queried_at >= self.watching_since;
        if is_first && self.watching == Watching::Closely {
            self.has_read_entries = true;
            // Tells the others that somebody watches.
            self.next_heartbeat = now;
        }
        if std::mem::take(&mut self.has_unforwarded_change) {
            self.next_heartbeat = now;
        }
    }

    fn update_gauges(&mut self, now: Millis) {
        let level = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics
            .set(Level::RequestsOpen, level(self.requests.len()));
        self.metrics
            .set(Level::MembersLive, level(self.instances.live_count()));
        self.metrics.set(
            Level::MembersEarlierFormat,
            level(self.instances.earlier_format_count()),
        );
        self.metrics.set(Level::Ready, i64::from(self.ready));
        self.metrics.set(Level::Waiting, level(self.queue.len()));
        let (workspaces, largest_share) = self.fair_shares.summary(now);
        self.metrics.set(Level::WorkspacesActive, level(workspaces));
        let percent = (largest_share * 100.0) as usize;
        self.metrics
            .set(Level::LargestWorkspaceShare, level(percent));
        let age = self.freshness.proof_age(now).0;
        self.metrics
            .set(Level::ConfigAge, i64::try_from(age).unwrap_or(i64::MAX));
    }

    /// Returns whether load on a server is broadcast to the other instances.
    fn is_load_broadcast(&self, server: ServerKey) -> bool {
        self.fleet_load.engine(server).is_some()
            || self.instances.known_count() <= MAX_CALL_BROADCAST_INSTANCES
    }

    fn broadcast(&self, out: &mut Vec<Output>, message: PeerMessage) {
        let recipients = self.instances.recipients();
        if !recipients.is_empty() {
            out.push(Output::Broadcast(recipients, message));
        }
    }

    fn on_peer_message(
        &mut self,
        now: Millis,
        arrived_after: Millis,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Placed(placed) => {
                self.record_peer_work(now, &placed);
                self.fleet_load
                    .add_peer_placement(now, &self.server_table, &placed);
            }
            PeerMessage::Started { job, server, parts } => {
                self.fleet_load.record_peer_first_output(
                    now,
                    &self.server_table,
                    job,
                    server,
                    &parts,
                );
                self.record_peer_room(server);
            }
            PeerMessage::Ended { job, server, parts } => {
                self.record_peer_end(now, server);
                self.record_peer_room(server);
                self.fleet_load
                    .remove_peer_request(now, &self.server_table, job, server, &parts);
            }
            PeerMessage::Alive(heartbeat) => {
                self.on_heartbeat(now, arrived_after, heartbeat, out);
            }
            PeerMessage::Crashed {
                fingerprint,
                server,
            } => {
                let suspect = CrashSuspect::Request(fingerprint);
                self.crashes.record(now, suspect, server);
            }
            PeerMessage::ServerNotice { server, notice } => {
                self.on_peer_notice(now, server, notice);
            }
            PeerMessage::CrashRecords(records) => self.on_crash_records(now, &records),
            PeerMessage::RelayState {
                name,
                draining,
                lost_services,
            } => self
                .instances
                .apply_relay_state(now, &name, draining, lost_services),
            // Applied by `RevisionTracker`.
            PeerMessage::Item(_) => {}
            PeerMessage::Suspect { server, avoid_ms } => {
                if let Some(key) = self.server_table.find_by_id_hash(server) {
                    log::info!(
                        server = self.server_table.get(key).entry.id.as_str(),
                        reported_by = "another instance",
                        pause_ms = avoid_ms;
                        "backend server avoided"
                    );
                    self.health.avoid(key, now + Millis(avoid_ms));
                }
            }
        }
    }

    /// Returns the version of the configuration in force; 0 if none is.
    fn config_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    fn update_ready(&mut self, now: Millis, out: &mut Vec<Output>) {
        let ready = self.shutdown.is_none()
            && self.routes.is_some()
            && self.server_table.listed().next().is_some()
            && self.freshness.keys_usable(now);
        if ready != self.ready {
            self.ready = ready;
            log::info!(
                ready = ready,
                leaving = self.shutdown.is_some(),
                config_known = self.routes.is_some(),
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
