//! Quarantine of requests that crash backend servers.
//!
//! The fingerprint of every request in flight on a backend server that dies
//! becomes suspect. Requests with a suspect fingerprint run only alone on an
//! engine. If that engine dies too, the fingerprint is quarantined: for
//! [`QUARANTINE_DURATION`], requests with it are refused regardless of the
//! caller. Records are sent to all instances immediately; because messages can
//! be lost, they are also gossiped to a few instances at intervals.
//!
//! A crash is identified by the attempt that observed it. Records therefore
//! merge by set union, and no crash is counted twice when two instances report
//! it.
//!
//! Prompts that differ may crash engines by the beginning that they share. A
//! beginning has a record of its own, under a fingerprint derived from its hash,
//! for crashes of engines that had hardly begun to answer. Engines that end
//! together, as those of a failure domain, count as one crash: such a crash is
//! identified by its moment. Any answer that goes on clears the beginning.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::id::AttemptId;
use crate::id::Fingerprint;
use crate::id::RequestId;
use crate::metrics::Count;
use crate::once::Peer;
use crate::peer::PeerMessage;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Number of crashes, observed by different attempts, at which a fingerprint is
/// quarantined.
pub const CRASH_LIMIT: usize = 2;
/// Number of crashes at different moments at which the beginning of prompts is
/// quarantined.
pub const BEGINNING_CRASH_LIMIT: usize = 3;
/// Crashes within this time of each other count once against a beginning: the
/// engines of a failure domain may end together, as seen by several instances.
const SIMULTANEOUS_CRASHES: Millis = Millis(250);
/// Output tokens up to which an engine has hardly begun to answer.
const MAX_TOKENS_OF_BEGUN_ANSWER: u32 = 1;
/// Attempt number in the ids of crashes that count against a beginning; attempts
/// are numbered from 1.
const MOMENT: u32 = 0;
/// Time after the last crash of a fingerprint for which it stays suspect or
/// quarantined.
pub const QUARANTINE_DURATION: Millis = Millis(600_000);
/// Interval between two gossip rounds.
pub const GOSSIP_INTERVAL: Millis = Millis(5_000);
/// Number of instances that receive the records in a gossip round.
pub const GOSSIP_FANOUT: usize = 2;
/// Maximum number of records; the oldest is dropped first.
pub const MAX_RECORDS: usize = 4_096;
/// Maximum number of records in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 64;

/// Restriction on requests with a certain fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restriction {
    /// No restriction.
    None,
    /// Runs only on an engine with no other request in flight.
    Suspect,
    /// Refused; `retry_after` is the remaining time of the quarantine.
    Quarantined { retry_after: Millis },
}

/// Crash record of a fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Attempts during which a backend server died.
    pub crashes: BTreeSet<AttemptId>,
    /// Crashes that a later successful attempt has cleared.
    pub cleared: BTreeSet<AttemptId>,
}

/// A message between instances about quarantine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Records of fingerprints, each with the time since its last crash.
    Records(Vec<(Fingerprint, Record, Millis)>),
}

/// Crash records known to one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, RecordState>,
    next_gossip: Millis,
}

/// A record with the time of its last crash.
#[derive(Debug, Default)]
struct RecordState {
    record: Record,
    /// Time of the last crash.
    last_crash_at: Millis,
}

impl Record {
    /// Returns the number of crashes that have not been cleared.
    #[must_use]
    pub fn uncleared_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    /// Returns whether this is the record of a beginning.
    fn is_of_beginning(&self) -> bool {
        self.crashes.iter().any(|crash| crash.number == MOMENT)
    }

    /// Returns the number of moments with crashes that have not been cleared.
    fn uncleared_moments(&self) -> usize {
        let mut count = 0;
        let mut last_counted = None;
        for crash in self.crashes.difference(&self.cleared) {
            let at = Millis(crash.request.0);
            if last_counted.is_none_or(|last| at.since(last) > SIMULTANEOUS_CRASHES) {
                last_counted = Some(at);
                count += 1;
            }
        }
        count
    }
}

/// Returns whether an answer of so many tokens shows that the prompt's beginning
/// crashes no engine.
#[must_use]
pub const fn has_continued(tokens: u32) -> bool {
    tokens > MAX_TOKENS_OF_BEGUN_ANSWER
}

/// Returns the fingerprint of the beginning of prompts with this hash; `None` for
/// requests without one.
#[must_use]
pub fn beginning(prefix: u64) -> Option<Fingerprint> {
    let mut text = b"beginning/".to_vec();
    text.extend(prefix.to_be_bytes());
    (prefix != 0).then(|| Fingerprint(xxh3_64(&text)))
}

impl Quarantine {
    /// Returns the restriction on requests with this fingerprint and this hash of
    /// the beginning.
    #[must_use]
    pub fn restriction_on(
        &self,
        now: Millis,
        fingerprint: Fingerprint,
        prefix: u64,
    ) -> Restriction {
        let of_beginning = beginning(prefix).map(|beginning| self.restriction(now, beginning));
        match of_beginning {
            Some(quarantined @ Restriction::Quarantined { .. }) => quarantined,
            _ => self.restriction(now, fingerprint),
        }
    }

    /// Returns the restriction on requests with this fingerprint.
    #[must_use]
    pub fn restriction(&self, now: Millis, fingerprint: Fingerprint) -> Restriction {
        let Some(state) = self.records.get(&fingerprint) else {
            return Restriction::None;
        };
        let remaining = (state.last_crash_at + QUARANTINE_DURATION).since(now);
        if remaining == Millis::ZERO {
            return Restriction::None;
        }
        if state.record.is_of_beginning() {
            return match state.record.uncleared_moments() < BEGINNING_CRASH_LIMIT {
                true => Restriction::None,
                false => Restriction::Quarantined {
                    retry_after: remaining,
                },
            };
        }
        match state.record.uncleared_crashes() {
            0 => Restriction::None,
            crashes if crashes < CRASH_LIMIT => Restriction::Suspect,
            _ => Restriction::Quarantined {
                retry_after: remaining,
            },
        }
    }

    /// Records that a backend server died during an attempt, and returns the
    /// resulting restriction.
    pub fn record_crash(
        &mut self,
        cx: &mut Cx<'_>,
        peers: &[Peer],
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> Restriction {
        self.add_crash(cx, peers, fingerprint, attempt, attempt.request)
    }

    /// Records a crash that a request saw.
    fn add_crash(
        &mut self,
        cx: &mut Cx<'_>,
        peers: &[Peer],
        fingerprint: Fingerprint,
        crash: AttemptId,
        request: RequestId,
    ) -> Restriction {
        let state = self.records.entry(fingerprint).or_default();
        state.record.crashes.insert(crash);
        state.last_crash_at = cx.now;
        self.evict_oldest();
        let restriction = self.restriction(cx.now, fingerprint);
        if matches!(restriction, Restriction::Quarantined { .. }) {
            cx.count(Count::Quarantined);
            let detail = format!("fingerprint {:016x} is quarantined", fingerprint.0);
            cx.event(EventKind::Quarantine, Subject::request(request), detail);
        }
        self.broadcast(cx, peers, fingerprint);
        restriction
    }

    /// Records that an engine that had sent so many tokens died while it ran a
    /// request whose prompt has this beginning, and returns the resulting
    /// restriction.
    pub fn record_beginning_crash(
        &mut self,
        cx: &mut Cx<'_>,
        peers: &[Peer],
        prefix: u64,
        request: RequestId,
        tokens: u32,
    ) -> Restriction {
        let Some(beginning) = beginning(prefix).filter(|_| !has_continued(tokens)) else {
            return Restriction::None;
        };
        let moment = AttemptId {
            request: RequestId((cx.me.unix_time_at_start + cx.now).0),
            number: MOMENT,
        };
        self.add_crash(cx, peers, beginning, moment, request)
    }

    /// Records that a request with this fingerprint completed, which clears its
    /// known crashes.
    pub fn record_completion(&mut self, cx: &mut Cx<'_>, peers: &[Peer], fingerprint: Fingerprint) {
        let Some(state) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if state.record.uncleared_crashes() == 0 {
            return;
        }
        state.record.cleared = state.record.crashes.clone();
        self.broadcast(cx, peers, fingerprint);
    }

    /// Handles a message of another instance.
    pub fn on_message(&mut self, now: Millis, message: Message) {
        let Message::Records(records) = message;
        for (fingerprint, record, age) in records {
            let state = self.records.entry(fingerprint).or_default();
            state.record.crashes.extend(record.crashes);
            state.record.cleared.extend(record.cleared);
            state.last_crash_at = state.last_crash_at.max(now - age);
        }
        self.evict_oldest();
    }

    /// Once per [`GOSSIP_INTERVAL`], drops expired records and gossips the
    /// newest ones.
    pub fn tick(&mut self, cx: &mut Cx<'_>, peers: &[Peer]) {
        if cx.now < self.next_gossip {
            return;
        }
        self.next_gossip = cx.now + GOSSIP_INTERVAL;
        let now = cx.now;
        self.records
            .retain(|_, state| now.since(state.last_crash_at) < QUARANTINE_DURATION);
        if self.records.is_empty() {
            return;
        }
        let others: Vec<&Peer> = other_peers(cx, peers);
        let recipients: Vec<Peer> = others
            .sample(cx.rng, GOSSIP_FANOUT)
            .map(|&peer| peer.clone())
            .collect();
        let mut newest: Vec<(&Fingerprint, &RecordState)> = self.records.iter().collect();
        newest.sort_by_key(|&(&fingerprint, state)| {
            (std::cmp::Reverse(state.last_crash_at), fingerprint)
        });
        newest.truncate(MAX_RECORDS_PER_MESSAGE);
        let records: Vec<_> = newest
            .into_iter()
            .map(|(&fingerprint, state)| record_entry(now, fingerprint, state))
            .collect();
        for peer in recipients {
            send(cx, &peer, records.clone());
        }
    }

    /// Returns the number of quarantined fingerprints.
    #[must_use]
    pub fn quarantined(&self, now: Millis) -> usize {
        self.records
            .keys()
            .filter(|&&fingerprint| {
                matches!(
                    self.restriction(now, fingerprint),
                    Restriction::Quarantined { .. }
                )
            })
            .count()
    }

    /// Sends a record to all other instances.
    fn broadcast(&self, cx: &mut Cx<'_>, peers: &[Peer], fingerprint: Fingerprint) {
        let Some(state) = self.records.get(&fingerprint) else {
            return;
        };
        let records = vec![record_entry(cx.now, fingerprint, state)];
        let others: Vec<Peer> = other_peers(cx, peers).into_iter().cloned().collect();
        for peer in others {
            send(cx, &peer, records.clone());
        }
    }

    /// Drops the records with the oldest last crash above [`MAX_RECORDS`].
    fn evict_oldest(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, state)| state.last_crash_at);
            let Some((&fingerprint, _)) = oldest else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }
}

/// Returns a record for a message, with the time since its last crash.
fn record_entry(
    now: Millis,
    fingerprint: Fingerprint,
    state: &RecordState,
) -> (Fingerprint, Record, Millis) {
    (fingerprint, state.record.clone(), now - state.last_crash_at)
}

fn other_peers<'a>(cx: &Cx<'_>, peers: &'a [Peer]) -> Vec<&'a Peer> {
    let me = &cx.me.name;
    peers.iter().filter(|peer| peer.name != *me).collect()
}

fn send(cx: &mut Cx<'_>, to: &Peer, records: Vec<(Fingerprint, Record, Millis)>) {
    cx.out.push(Output::Peer {
        to: to.name.clone(),
        addr: to.addr.clone(),
        message: PeerMessage::Quarantine(Message::Records(records)),
    });
}
