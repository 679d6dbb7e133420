//! Requests that crash backend servers.
//!
//! Whatever was in flight on a backend server when it died is a suspect. A
//! suspect runs again alone on its engine; if that engine dies too, its
//! fingerprint is quarantined: refused for [`HOLD`], whoever sends it. Crashes
//! and acquittals are told to all instances at once and, against lost frames,
//! again to a few at intervals.
//!
//! A crash is named by the attempt that saw it, so that records merge by union
//! and two instances never count one crash twice.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::id::AttemptId;
use crate::id::Fingerprint;
use crate::metrics::Count;
use crate::once::Member;
use crate::peer::PeerMessage;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Crashes of distinct backend servers from which a fingerprint is refused.
pub const CRASH_LIMIT: usize = 2;
/// Time for which a crash counts.
pub const HOLD: Millis = Millis(600_000);
/// Period at which records are told again.
pub const GOSSIP_PERIOD: Millis = Millis(5_000);
/// Instances that are told again each period.
pub const GOSSIP_FANOUT: usize = 2;
/// Records that are kept; the oldest gives way.
pub const MAX_RECORDS: usize = 4_096;
/// Records in one message at most.
const RECORDS_A_MESSAGE: usize = 64;

/// How a request with some fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Like any other.
    Free,
    /// Alone on its engine.
    Suspect,
    /// Not at all, for this long.
    Held { retry_after: Millis },
}

/// What is known of a fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Attempts under which a backend server died.
    pub crashes: BTreeSet<AttemptId>,
    /// Those of them that a later success has cleared.
    pub cleared: BTreeSet<AttemptId>,
}

/// Messages of this duty.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Records of fingerprints, each with its age.
    Records(Vec<(Fingerprint, Record, Millis)>),
}

/// All records of one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, Known>,
    next_gossip: Millis,
}

#[derive(Debug, Default)]
struct Known {
    record: Record,
    /// When the last crash happened.
    since: Millis,
}

impl Record {
    /// Returns how many crashes count.
    #[must_use]
    pub fn weight(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

impl Quarantine {
    /// Returns how a request with this fingerprint may run.
    #[must_use]
    pub fn standing(&self, now: Millis, fingerprint: Fingerprint) -> Standing {
        let Some(known) = self.records.get(&fingerprint) else {
            return Standing::Free;
        };
        let left = (known.since + HOLD).since(now);
        if left == Millis::ZERO {
            return Standing::Free;
        }
        match known.record.weight() {
            0 => Standing::Free,
            weight if weight < CRASH_LIMIT => Standing::Suspect,
            _ => Standing::Held { retry_after: left },
        }
    }

    /// Takes over that a backend server died under an attempt.
    pub fn crashed(
        &mut self,
        cx: &mut Cx<'_>,
        members: &[Member],
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> Standing {
        let known = self.records.entry(fingerprint).or_default();
        known.record.crashes.insert(attempt);
        known.since = cx.now;
        self.bound();
        let standing = self.standing(cx.now, fingerprint);
        if matches!(standing, Standing::Held { .. }) {
            cx.count(Count::Quarantined);
            let detail = format!("fingerprint {:016x} is held", fingerprint.0);
            cx.event(
                EventKind::Quarantine,
                Subject::request(attempt.request),
                detail,
            );
        }
        self.tell(cx, members, fingerprint);
        standing
    }

    /// Takes over that a request with this fingerprint completed.
    pub fn completed(&mut self, cx: &mut Cx<'_>, members: &[Member], fingerprint: Fingerprint) {
        let Some(known) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if known.record.weight() == 0 {
            return;
        }
        known.record.cleared = known.record.crashes.clone();
        self.tell(cx, members, fingerprint);
    }

    /// Handles another instance's message.
    pub fn on_message(&mut self, now: Millis, message: Message) {
        let Message::Records(records) = message;
        for (fingerprint, record, age) in records {
            let known = self.records.entry(fingerprint).or_default();
            known.record.crashes.extend(record.crashes);
            known.record.cleared.extend(record.cleared);
            known.since = known.since.max(now - age);
        }
        self.bound();
    }

    /// Forgets what is old and tells a few instances again.
    pub fn tick(&mut self, cx: &mut Cx<'_>, members: &[Member]) {
        if cx.now < self.next_gossip {
            return;
        }
        self.next_gossip = cx.now + GOSSIP_PERIOD;
        let now = cx.now;
        self.records
            .retain(|_, known| now.since(known.since) < HOLD);
        if self.records.is_empty() {
            return;
        }
        let others: Vec<&Member> = others(cx, members);
        let told: Vec<Member> = others
            .sample(cx.rng, GOSSIP_FANOUT)
            .map(|&member| member.clone())
            .collect();
        let mut newest: Vec<(&Fingerprint, &Known)> = self.records.iter().collect();
        newest.sort_by_key(|&(&fingerprint, known)| (std::cmp::Reverse(known.since), fingerprint));
        newest.truncate(RECORDS_A_MESSAGE);
        let records: Vec<_> = newest
            .into_iter()
            .map(|(&fingerprint, known)| entry(now, fingerprint, known))
            .collect();
        for member in told {
            send(cx, &member, records.clone());
        }
    }

    /// Returns how many fingerprints are held.
    #[must_use]
    pub fn held(&self, now: Millis) -> usize {
        self.records
            .keys()
            .filter(|&&fingerprint| {
                matches!(self.standing(now, fingerprint), Standing::Held { .. })
            })
            .count()
    }

    fn tell(&self, cx: &mut Cx<'_>, members: &[Member], fingerprint: Fingerprint) {
        let Some(known) = self.records.get(&fingerprint) else {
            return;
        };
        let records = vec![entry(cx.now, fingerprint, known)];
        let others: Vec<Member> = others(cx, members).into_iter().cloned().collect();
        for member in others {
            send(cx, &member, records.clone());
        }
    }

    fn bound(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, known)| known.since);
            let Some((&fingerprint, _)) = oldest else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }
}

fn entry(now: Millis, fingerprint: Fingerprint, known: &Known) -> (Fingerprint, Record, Millis) {
    (fingerprint, known.record.clone(), now - known.since)
}

fn others<'a>(cx: &Cx<'_>, members: &'a [Member]) -> Vec<&'a Member> {
    let me = &cx.me.name;
    members.iter().filter(|member| member.name != *me).collect()
}

fn send(cx: &mut Cx<'_>, to: &Member, records: Vec<(Fingerprint, Record, Millis)>) {
    cx.out.push(Output::Peer {
        to: to.name.clone(),
        addr: to.addr.clone(),
        message: PeerMessage::Quarantine(Message::Records(records)),
    });
}
