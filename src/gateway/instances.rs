//! The other instances of the system and the messages between them.
//!
//! Each instance reports every placement, first event and end of a request to
//! all instances immediately, in one small datagram, so that each knows nearly
//! all in-flight requests of every engine without queries. A lost datagram
//! makes the load estimates less accurate but never violates a limit: hard
//! limits are divided into shares per instance and need no messages.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::gateway::cost::CallReport;
use crate::gateway::datagram::Format;
use crate::gateway::datagram::Formats;
use crate::gateway::fair_shares::WorkspaceKey;
use crate::gateway::message::PromptPart;
use crate::gateway::message::ServerNotice;
use crate::gateway::message::StoreEra;

/// Heartbeat period of an instance that watches the store closely, and the
/// minimum for all instances. A heartbeat reports liveness and the age of the
/// known configuration.
pub const MIN_HEARTBEAT_PERIOD: Millis = Millis(500);
/// Maximum heartbeat period.
pub const MAX_HEARTBEAT_PERIOD: Millis = Millis(2_000);
/// Heartbeat period per known instance. A heartbeat goes to every instance, so
/// a period that grows with their number limits each instance to about 40
/// heartbeat datagrams a second with up to 80 instances. With more, the maximum
/// period applies.
const HEARTBEAT_PERIOD_PER_INSTANCE: Millis = Millis(25);
/// Heartbeat periods without a heartbeat after which an instance is considered
/// lost; more than one because single datagrams can be lost.
const MISSED_HEARTBEATS_UNTIL_LOST: u64 = 5;
/// Time after a heartbeat for which an instance is taken to watch the backend
/// servers' entries for all: two periods of a watcher, and the time to arrive. If
/// all watchers end together, the others have half of the shortest drain time left
/// to look for themselves.
const MAX_WATCH_SILENCE: Millis = Millis(1_100);
/// Time for which the relay state of an instance applies if it is not repeated:
/// two heartbeat periods.
const RELAY_STATE_LIFETIME: Millis = Millis(4_000);
/// Time for which no request is relayed to an instance that could not be reached.
const RELAY_RETRY_PERIOD: Millis = Millis(1_000);

/// Another instance, as registered in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub name: String,
    /// Address for datagrams, `ip:port`.
    pub addr: String,
    /// Formats of datagrams that it reads.
    pub formats: Formats,
}

/// Where a datagram goes, and in which format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recipient {
    /// Address, `ip:port`.
    pub addr: String,
    /// Newest format that the recipient reads.
    pub format: Format,
}

impl From<&Member> for Recipient {
    fn from(member: &Member) -> Recipient {
        Recipient {
            addr: member.addr.clone(),
            format: member.formats.newest(),
        }
    }
}

/// Sign of life of an instance, and what it knows of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub member: Member,
    /// Revision of the newest change by operators that the sender knows.
    pub config_revision: u64,
    /// Age of the store query that proved this revision current, in ms.
    pub proof_age_ms: u64,
    /// Whether the sender's last store call succeeded.
    pub store_answers: bool,
    /// Digest of the backend servers' entries, if the sender watches them.
    pub entries_digest: Option<u64>,
    /// Revision of the newest change in that digest: the sender knows all changes of
    /// entries up to it. `None` if the sender does not state it.
    pub entries_revision: Option<u64>,
    /// Time until the sender's next heartbeat, in ms.
    pub period_ms: u64,
    /// Newest era of the store that the sender knows; that of `config_revision`
    /// and the entries. `None` if the sender does not know eras: what it says
    /// is of the first one.
    pub store_era: Option<StoreEra>,
    /// Version of the configuration in force at the sender; 0 if none is. A sender
    /// that does not state it proves nothing.
    pub config_version: u64,
    /// How some of the sender's calls to plain servers ended since its last
    /// heartbeat; none unless it places calls by learned cost.
    pub calls: Vec<CallReport>,
}

/// A message between instances; [`crate::gateway::datagram`] encodes it.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// A request was placed on an engine or a plain server.
    Placed(Placed),
    /// The first output of a request arrived.
    Started {
        /// Key of the attempt.
        job: u64,
        /// Hash of the backend server's id.
        server: u64,
        /// Hashes of the ids of the engines that prefill parts of the prompt.
        parts: Vec<u64>,
    },
    /// A request ended.
    Ended {
        /// Key of the attempt.
        job: u64,
        /// Hash of the backend server's id.
        server: u64,
        /// Hashes of the ids of the engines that prefill parts of the prompt.
        parts: Vec<u64>,
    },
    /// Heartbeat of the sender.
    Alive(Heartbeat),
    /// A request crashed a backend server. Sent by earlier versions; replaced by
    /// [`PeerMessage::CrashRecords`].
    Crashed {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Hash of the backend server's id.
        server: u64,
    },
    /// A store item changed.
    Item(Item),
    /// A backend server fails requests; the receivers avoid it for a while.
    Suspect {
        /// Hash of the backend server's id.
        server: u64,
        /// How long to avoid it, in ms.
        avoid_ms: u64,
    },
    /// Crashes of backend servers and what may have caused them.
    CrashRecords(Vec<CrashRecord>),
    /// What a backend server stated about itself.
    ServerNotice {
        /// Hash of the backend server's id.
        server: u64,
        /// What it stated.
        notice: ServerNotice,
    },
    /// What keeps the sender from taking requests of other instances. Sent when
    /// it changes, and with each heartbeat unless it is nothing.
    RelayState {
        /// Name of the sender.
        name: String,
        /// Whether it drains.
        draining: bool,
        /// Services of which it reaches no backend server.
        lost_services: Vec<String>,
    },
}

/// What may have caused the crash of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashSuspect {
    /// A request, by the hash of its content.
    Request(u64),
    /// A part that prompts share.
    Part(PromptPart),
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashSuspect::Request(fingerprint) => write!(f, "request {fingerprint:016x}"),
            CrashSuspect::Part(part) => write!(f, "prompt part {part}"),
        }
    }
}

/// A crash of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the server's id and start time.
    pub server: u64,
    /// Time since the crash, in ms.
    pub age_ms: u64,
}

/// What an instance knows about a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// Crashes recorded against it.
    pub crashes: Vec<Crash>,
    /// Time since an answer showed that it is sound, in ms.
    pub sound_age_ms: Option<u64>,
}

/// A change of a store item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// Value; `None` if the item was removed.
    pub value: Option<Vec<u8>>,
    /// Era of the revision.
    pub era: StoreEra,
}

/// A placement, as broadcast to all instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Placed {
    /// Key of the attempt.
    pub job: u64,
    /// Hash of the backend server's id.
    pub server: u64,
    /// Engines that prefill parts of the prompt: hashes of their ids, and the
    /// tokens of memory reserved on each.
    pub parts: Vec<(u64, u64)>,
    /// Prompt tokens; 0 on a plain server.
    pub prompt_tokens: u64,
    /// Expected output tokens.
    pub output_tokens: u64,
    /// Memory reserved on the primary engine, in tokens; 0 if none has to be
    /// reserved.
    pub first_reserved: u64,
    /// Scheduling priority at the engine.
    pub urgency: u8,
    /// Target for the longest gap between two events, in ms.
    pub gap_ms: u64,
    /// Time left until the first output is due, in ms.
    pub due_in_ms: u64,
    /// Time until the other engines have prefilled their parts, in ms.
    pub ready_in_ms: u64,
    /// Workspace of the caller.
    pub workspace: WorkspaceKey,
}

/// The other instances known to this one.
#[derive(Debug, Default)]
pub struct Instances {
    peers: BTreeMap<String, PeerState>,
    recipients: Arc<Vec<Recipient>>,
}

#[derive(Debug)]
struct PeerState {
    addr: String,
    formats: Formats,
    /// Time at which it is considered lost if no further heartbeat arrives.
    lost_after: Millis,
    alive: bool,
    /// Whether its last store call succeeded.
    store_answers: bool,
    /// Until when it is taken to watch the backend servers' entries for all.
    watches_until: Millis,
    relay_state: Option<RelayState>,
    /// Until when no request is relayed to it because it could not be reached.
    unreachable_until: Millis,
}

/// What keeps an instance from taking relayed requests.
#[derive(Debug)]
struct RelayState {
    draining: bool,
    lost_services: Vec<String>,
    expires_at: Millis,
}

impl PeerState {
    fn takes_requests(&self, now: Millis, service: &str) -> bool {
        let state = self.relay_state.as_ref();
        let is_prevented = state.is_some_and(|state| {
            let is_lost = state.lost_services.iter().any(|lost| lost == service);
            now < state.expires_at && (state.draining || is_lost)
        });
        self.alive && now >= self.unreachable_until && !is_prevented
    }
}

/// Returns the heartbeat period for this number of instances.
#[must_use]
pub fn heartbeat_period(instances: usize) -> Millis {
    (HEARTBEAT_PERIOD_PER_INSTANCE * instances as u64)
        .clamp(MIN_HEARTBEAT_PERIOD, MAX_HEARTBEAT_PERIOD)
}

impl Instances {
    /// Applies an instance's store entry; returns whether the instance is new,
    /// alive again, or has a new address or other formats.
    pub fn apply_entry(&mut self, now: Millis, member: &Member) -> bool {
        self.apply_heartbeat(now, member, MAX_HEARTBEAT_PERIOD, true)
    }

    /// Applies a heartbeat that announces the time to the next one; returns
    /// whether the instance is new, alive again, or has a new address or other formats.
    pub fn apply_heartbeat(
        &mut self,
        now: Millis,
        member: &Member,
        period: Millis,
        store_answers: bool,
    ) -> bool {
        let period = period.clamp(MIN_HEARTBEAT_PERIOD, MAX_HEARTBEAT_PERIOD);
        let peer = self
            .peers
            .entry(member.name.clone())
            .or_insert_with(|| PeerState {
                addr: String::new(),
                formats: member.formats,
                lost_after: now,
                alive: false,
                store_answers,
                watches_until: Millis::ZERO,
                relay_state: None,
                unreachable_until: Millis::ZERO,
            });
        peer.lost_after = now + period * MISSED_HEARTBEATS_UNTIL_LOST;
        peer.store_answers = store_answers;
        let is_moved = peer.addr != member.addr || peer.formats != member.formats;
        let changed = !peer.alive || is_moved;
        peer.alive = true;
        if is_moved {
            peer.addr.clone_from(&member.addr);
            peer.formats = member.formats;
            self.rebuild_recipients();
        }
        changed
    }

    /// Records whether an instance states that it watches the backend servers'
    /// entries for all. One that was restarted does not at first.
    pub fn record_watch(&mut self, now: Millis, name: &str, watches: bool) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.watches_until = match watches {
                true => now + MAX_WATCH_SILENCE,
                false => peer.watches_until.min(now),
            };
        }
    }

    /// Returns until when any other instance is taken to watch the backend servers'
    /// entries for all.
    #[must_use]
    pub fn watched_until(&self) -> Millis {
        let until = self.peers.values().map(|peer| peer.watches_until);
        until.max().unwrap_or_default()
    }

    /// Returns the number of instances that watch the backend servers' entries for
    /// all and precede `name` in a hash order common to all instances.
    #[must_use]
    pub fn watchers_before(&self, now: Millis, name: &str) -> usize {
        self.count_before(name, |peer| now < peer.watches_until)
    }

    /// Removes an instance whose store entry is gone, unless it is still alive.
    pub fn remove(&mut self, name: &str) {
        if self.peers.get(name).is_some_and(|peer| !peer.alive) {
            self.peers.remove(name);
            self.rebuild_recipients();
        }
    }

    /// Returns whether any other instance takes requests for a service.
    #[must_use]
    pub fn any_takes_requests(&self, now: Millis, service: &str) -> bool {
        self.peers
            .values()
            .any(|peer| peer.takes_requests(now, service))
    }

    /// Applies what keeps an instance from taking relayed requests.
    pub fn apply_relay_state(
        &mut self,
        now: Millis,
        name: &str,
        draining: bool,
        lost_services: Vec<String>,
    ) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.relay_state = Some(RelayState {
                draining,
                lost_services,
                expires_at: now + RELAY_STATE_LIFETIME,
            });
        }
    }

    /// Records that an instance could not be reached with a relayed request.
    pub fn record_unreachable(&mut self, now: Millis, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.unreachable_until = now + RELAY_RETRY_PERIOD;
        }
    }

    /// Lists the instances that take requests to a service.
    pub fn relays(&self, now: Millis, service: &str) -> impl Iterator<Item = Member> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.takes_requests(now, service))
            .map(|(name, peer)| Member {
                name: name.clone(),
                addr: peer.addr.clone(),
                formats: peer.formats,
            })
    }

    /// Marks instances without a timely heartbeat as lost; returns their names.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let mut lost = Vec::new();
        for (name, peer) in &mut self.peers {
            if peer.alive && now >= peer.lost_after {
                peer.alive = false;
                lost.push(name.clone());
            }
        }
        lost
    }

    /// Returns all other known instances, lost ones included, as recipients of
    /// datagrams.
    #[must_use]
    pub fn recipients(&self) -> Arc<Vec<Recipient>> {
        Arc::clone(&self.recipients)
    }

    /// Returns the number of live instances that read no newer format of datagrams
    /// than the one of earlier releases.
    #[must_use]
    pub fn earlier_format_count(&self) -> usize {
        let live = self.peers.values().filter(|peer| peer.alive);
        live.filter(|peer| peer.formats == Formats::EARLIER).count()
    }

    /// Returns the number of known instances, including this one.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the number of live instances that precede `name` in a hash order
    /// common to all instances.
    #[must_use]
    pub fn rank_among_live(&self, name: &str) -> usize {
        self.count_before(name, |_| true)
    }

    /// Returns the number of live instances with a reachable store that precede
    /// `name` in the same order.
    #[must_use]
    pub fn rank_among_connected(&self, name: &str) -> usize {
        self.count_before(name, |peer| peer.store_answers)
    }

    /// Returns the number of known instances, lost ones included, that precede
    /// `name` in a hash order that depends on `seed`.
    #[must_use]
    pub fn rank_among_known(&self, name: &str, seed: u64) -> usize {
        let hash = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let own_hash = hash(name);
        let others = self.peers.keys();
        others.filter(|other| hash(other) < own_hash).count()
    }

    /// Returns whether any other live instance can reach the store.
    #[must_use]
    pub fn any_reaches_store(&self) -> bool {
        self.peers
            .values()
            .any(|peer| peer.alive && peer.store_answers)
    }

    fn count_before(&self, name: &str, includes: impl Fn(&PeerState) -> bool) -> usize {
        let hash = |name: &str| xxh3_64(name.as_bytes());
        let own_hash = hash(name);
        self.peers
            .iter()
            .filter(|(other, peer)| peer.alive && includes(peer) && hash(other) < own_hash)
            .count()
    }

    /// Returns the number of other live instances.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.peers.values().filter(|peer| peer.alive).count()
    }

    fn rebuild_recipients(&mut self) {
        let recipients = self.peers.values().map(|peer| Recipient {
            addr: peer.addr.clone(),
            format: peer.formats.newest(),
        });
        self.recipients = Arc::new(recipients.collect());
    }
}
