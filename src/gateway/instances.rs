//! The other instances, and what they tell each other.
//!
//! Every placement, first event and end goes to all instances at once in one
//! small datagram, so that each knows nearly all that stands on every engine
//! without asking anybody. A lost datagram costs accuracy, never correctness:
//! limits that must hold are shares that need no message.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;

/// Period at which an instance that watches the store closely says that it
/// lives and how fresh it is, and the shortest of any.
pub const HEARTBEAT_PERIOD: Millis = Millis(500);
/// Longest period of heartbeats.
const LONGEST_PERIOD: Millis = Millis(2_000);
/// Part of the period of heartbeats that each instance adds: together they send
/// and receive about as many datagrams as a few dozen requests do.
const PERIOD_PER_INSTANCE: Millis = Millis(25);
/// Periods without a heartbeat after which an instance counts as lost; several,
/// as single datagrams get lost.
const LOST_PERIODS: u64 = 5;

/// Another instance, as its entry in the store names it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Address for datagrams, `ip:port`.
    pub addr: String,
}

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// A request was placed on an engine or a plain server.
    Placed(Placed),
    /// The first output of a request has come.
    Started {
        /// The request's key.
        job: u64,
        /// Hash of the backend server's id.
        server: u64,
        /// Hashes of the ids of the engines that read parts.
        parts: Vec<u64>,
    },
    /// A request is over.
    Ended {
        /// The request's key.
        job: u64,
        /// Hash of the backend server's id.
        server: u64,
        /// Hashes of the ids of the engines that read parts.
        parts: Vec<u64>,
    },
    /// The sender lives.
    Alive {
        /// Its name.
        name: String,
        /// Its address for datagrams.
        addr: String,
        /// Revision of the newest change by operators that it knows.
        config_revision: u64,
        /// How long ago it asked the store that proved this, in ms.
        proof_age_ms: u64,
        /// Whether the store answered it last.
        store_answers: bool,
        /// Digest of the backend servers' entries, if it watches them.
        entries_digest: Option<u64>,
        /// Until its next heartbeat, in ms.
        period_ms: u64,
    },
    /// A request crashed a backend server.
    Crashed {
        /// The request's fingerprint.
        fingerprint: u64,
        /// Hash of the backend server's id.
        server: u64,
    },
    /// An item of the store has changed.
    Item(Item),
    /// A backend server fails requests; others avoid it for a while.
    Suspect {
        /// Hash of the backend server's id.
        server: u64,
        /// How long to avoid it, in ms.
        avoid_ms: u64,
    },
}

/// An item of the store, as it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// What it holds; none: it was removed.
    pub value: Option<Vec<u8>>,
}

/// A placement, as all instances get it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Placed {
    /// The request's key.
    pub job: u64,
    /// Hash of the backend server's id.
    pub server: u64,
    /// Engines that read parts: hashes of their ids, and the tokens of memory
    /// reserved on each.
    pub parts: Vec<(u64, u64)>,
    /// Tokens of the prompt; 0 on a plain server.
    pub prompt_tokens: u64,
    /// Expected tokens of the answer.
    pub output_tokens: u64,
    /// Memory reserved on the first engine, in tokens; 0: it holds all.
    pub first_reserved: u64,
    /// Urgency at the engine.
    pub urgency: u8,
    /// Longest pause between two events that is in time, in ms.
    pub gap_ms: u64,
    /// Time left until the first output is due, in ms.
    pub due_in_ms: u64,
    /// Time until the other engines have read their parts, in ms.
    pub ready_in_ms: u64,
}

/// The other instances that are known.
#[derive(Debug, Default)]
pub struct Instances {
    known: BTreeMap<String, Known>,
    addrs: Arc<Vec<String>>,
}

#[derive(Debug)]
struct Known {
    addr: String,
    /// When it counts as lost unless it is heard.
    lost_at: Millis,
    alive: bool,
    /// Whether the store answered it last.
    store_answers: bool,
}

/// Returns the period of heartbeats among so many instances.
#[must_use]
pub fn heartbeat_period(instances: usize) -> Millis {
    (PERIOD_PER_INSTANCE * instances as u64).clamp(HEARTBEAT_PERIOD, LONGEST_PERIOD)
}

impl Instances {
    /// Takes over an entry of the store; returns whether the instance is new or
    /// came back.
    pub fn listed(&mut self, now: Millis, member: &Member) -> bool {
        self.heard(now, member, LONGEST_PERIOD, true)
    }

    /// Takes over a heartbeat, and when the next one comes; returns whether the
    /// instance is new or came back.
    pub fn heard(
        &mut self,
        now: Millis,
        member: &Member,
        period: Millis,
        store_answers: bool,
    ) -> bool {
        let period = period.clamp(HEARTBEAT_PERIOD, LONGEST_PERIOD);
        let known = self
            .known
            .entry(member.name.clone())
            .or_insert_with(|| Known {
                addr: String::new(),
                lost_at: now,
                alive: false,
                store_answers,
            });
        known.lost_at = now + period * LOST_PERIODS;
        known.store_answers = store_answers;
        let changed = !known.alive || known.addr != member.addr;
        known.alive = true;
        if known.addr != member.addr {
            known.addr.clone_from(&member.addr);
            self.rebuild();
        }
        changed
    }

    /// Forgets an instance whose entry is gone and that is not heard.
    pub fn remove(&mut self, name: &str) {
        if self.known.get(name).is_some_and(|known| !known.alive) {
            self.known.remove(name);
            self.rebuild();
        }
    }

    /// Marks instances that were not heard in time; returns their names.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let mut lost = Vec::new();
        for (name, known) in &mut self.known {
            if known.alive && now >= known.lost_at {
                known.alive = false;
                lost.push(name.clone());
            }
        }
        lost
    }

    /// Returns the addresses of all known instances.
    #[must_use]
    pub fn addrs(&self) -> Arc<Vec<String>> {
        Arc::clone(&self.addrs)
    }

    /// Returns how many instances there are, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Returns how many instances that are heard come before `name`, in an order
    /// by hash that all share.
    #[must_use]
    pub fn rank(&self, name: &str) -> usize {
        self.count_before(name, |_| true)
    }

    /// Returns how many instances that the store answers come before `name`, in
    /// the same order.
    #[must_use]
    pub fn rank_at_store(&self, name: &str) -> usize {
        self.count_before(name, |known| known.store_answers)
    }

    /// Returns whether the store answers any other instance that is heard.
    #[must_use]
    pub fn store_answers_any(&self) -> bool {
        self.known
            .values()
            .any(|known| known.alive && known.store_answers)
    }

    fn count_before(&self, name: &str, counts: impl Fn(&Known) -> bool) -> usize {
        let hash = |name: &str| xxh3_64(name.as_bytes());
        let mine = hash(name);
        self.known
            .iter()
            .filter(|(other, known)| known.alive && counts(known) && hash(other) < mine)
            .count()
    }

    /// Returns how many other instances are heard.
    #[must_use]
    pub fn alive(&self) -> usize {
        self.known.values().filter(|known| known.alive).count()
    }

    fn rebuild(&mut self) {
        let addrs = self
            .known
            .values()
            .map(|known| known.addr.clone())
            .collect();
        self.addrs = Arc::new(addrs);
    }
}
