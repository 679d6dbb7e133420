//! At-most-once execution of non-idempotent calls, by idempotency key.
//!
//! Before such a call is sent, its key is claimed in the key-value service. The
//! document that holds a claim depends only on workspace and key: it is one of
//! [`CLAIM_SHARDS`] documents, changed by compare-and-swap, so that of two
//! concurrent claims one always fails, regardless of which instance writes
//! them. To save writes, the instances of a failure domain send the claims of a
//! shard to one of them (the shard's keeper), which writes them in batches.
//! Keepers of different failure domains, or instances that disagree about the
//! keeper, may cause write conflicts, but no call runs twice.
//!
//! A claim names the request that owns it. A write whose answer was lost is
//! resolved by reading the document: the claim is granted if the document names
//! its owner. A recorded result is returned again; a call whose claim has no
//! result is never run again.
//!
//! The key-value service may return to older data. Keepers therefore tell those of
//! the other failure domains what they have written, so that a claim that is lost
//! is known wherever its call is sent again.

mod keeper;
mod message;
#[cfg(test)]
mod tests;

pub use keeper::Claim;
pub use keeper::Keeper;
pub use message::Change;
pub use message::ChangeKind;
pub use message::ClaimAnswer;
pub use message::Message;
pub use message::Recorded;
pub use message::Slot;
pub use message::Written;

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Output;
use crate::control::Ticket;
use crate::id::RequestId;
use crate::peer::PeerMessage;
use crate::store::StoreResult;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Number of documents that hold the claims.
pub const CLAIM_SHARDS: u16 = 64;
/// Interval after which an unconfirmed change is sent to the keeper again.
pub const RESEND_INTERVAL: Millis = Millis(500);
/// Longest time that a call waits for its claim.
pub const CLAIM_TIMEOUT: Millis = Millis(2_000);
/// Longest time for which a result or release is resent to the keeper.
pub const RESULT_RESEND_TIMEOUT: Millis = Millis(120_000);
/// Maximum size of a recorded response body; a longer one is not kept.
pub const MAX_RECORDED_BYTES: usize = 4_096;

/// An instance and its address for peer traffic.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Instance name.
    pub name: String,
    /// Address, `ip:port`.
    pub addr: String,
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// The request that claimed the key.
    pub request: RequestId,
    /// The keeper's answer, or `None` if the claim timed out.
    pub answer: Option<ClaimAnswer>,
}

/// At-most-once component of one instance: the changes of its own requests, and
/// the shards that it writes.
#[derive(Debug)]
pub struct AtMostOnce {
    /// Instances among which a shard's keeper is chosen, sorted.
    keeper_candidates: Vec<Peer>,
    /// Known instances except this one, including draining ones; answers are
    /// sent to them.
    known_instances: Vec<Peer>,
    /// Instances among which keepers are chosen in each other failure domain.
    other_domains: Vec<Vec<Peer>>,
    keeper: Keeper,
    /// Unconfirmed changes.
    pending: BTreeMap<ChangeKey, PendingChange>,
}

/// Identifies an unconfirmed change: a request has at most one claim, and one
/// result or release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ChangeKey {
    request: RequestId,
    is_claim: bool,
}

/// A change that the keeper has not confirmed.
#[derive(Debug)]
struct PendingChange {
    change: Change,
    /// Time at which the change is sent again.
    next_send: Millis,
    /// Time after which the change is abandoned.
    deadline: Millis,
}

impl AtMostOnce {
    /// Creates the component; `unix_time_at_start` is the Unix time at which
    /// the process clock was zero.
    #[must_use]
    pub fn new(unix_time_at_start: Millis) -> AtMostOnce {
        AtMostOnce {
            keeper_candidates: Vec::new(),
            known_instances: Vec::new(),
            other_domains: Vec::new(),
            keeper: Keeper::new(unix_time_at_start),
            pending: BTreeMap::new(),
        }
    }

    /// Sets the instances of this failure domain among which keepers are
    /// chosen; they include this one unless it drains.
    pub fn set_keeper_candidates(&mut self, mut candidates: Vec<Peer>) {
        candidates.sort();
        self.keeper_candidates = candidates;
    }

    /// Sets the known instances except this one. Draining ones are included
    /// because they still need answers.
    pub fn set_known_instances(&mut self, instances: Vec<Peer>) {
        self.known_instances = instances;
    }

    /// Sets the instances among which keepers are chosen in each other failure
    /// domain.
    pub fn set_other_domains(&mut self, domains: Vec<Vec<Peer>>) {
        self.other_domains = domains;
    }

    /// Claims a key for a request; `call_hash` is the hash of its service,
    /// operation and body.
    pub fn claim(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        slot: Slot,
        call_hash: u64,
        retention: Millis,
    ) -> Vec<ClaimOutcome> {
        let kind = ChangeKind::Claim {
            body: call_hash,
            retention,
        };
        self.submit_change(cx, request, slot, kind, CLAIM_TIMEOUT)
    }

    /// Records the result of a claimed call; it is resent to the keeper until
    /// confirmed, at most for [`RESULT_RESEND_TIMEOUT`].
    pub fn settle(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        slot: Slot,
        result: Recorded,
    ) -> Vec<ClaimOutcome> {
        let kind = ChangeKind::Settle { result };
        self.submit_change(cx, request, slot, kind, RESULT_RESEND_TIMEOUT)
    }

    /// Releases the claim of a call that certainly did not run.
    pub fn release(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        slot: Slot,
    ) -> Vec<ClaimOutcome> {
        self.pending.remove(&ChangeKey {
            request,
            is_claim: true,
        });
        self.submit_change(
            cx,
            request,
            slot,
            ChangeKind::Release,
            RESULT_RESEND_TIMEOUT,
        )
    }

    /// Returns the number of changes that no keeper has confirmed.
    #[must_use]
    pub fn unconfirmed_count(&self) -> usize {
        self.pending.len()
    }

    /// Resends unconfirmed changes and drops those that timed out.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<ClaimOutcome> {
        let mut outcomes = self.drop_timed_out_changes(cx);
        let due: Vec<ChangeKey> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.next_send <= cx.now)
            .map(|(&key, _)| key)
            .collect();
        for key in due {
            outcomes.extend(self.send(cx, key));
        }
        let answers = self.keeper.tick(cx);
        outcomes.extend(self.deliver(cx, answers));
        outcomes
    }

    /// Handles an answer of the key-value service.
    pub fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: Ticket,
        result: StoreResult,
    ) -> Vec<ClaimOutcome> {
        let answers = self.keeper.on_store(cx, ticket, result);
        self.tell_other_domains(cx);
        self.deliver(cx, answers)
    }

    /// Handles a message of another instance.
    pub fn on_message(
        &mut self,
        cx: &mut Cx<'_>,
        from: &str,
        message: Message,
    ) -> Vec<ClaimOutcome> {
        match message {
            Message::Change(change) => {
                self.keeper.add(change, from.to_owned());
                let answers = self.keeper.tick(cx);
                self.deliver(cx, answers)
            }
            Message::Answer {
                request,
                claim,
                answer,
            } => self.on_answer(cx, request, claim, answer),
            Message::Written(written) => {
                self.keeper.on_written(cx.now, written);
                Vec::new()
            }
        }
    }

    /// Tells the keepers of other failure domains what was written.
    fn tell_other_domains(&mut self, cx: &mut Cx<'_>) {
        for written in self.keeper.take_written() {
            for domain in &self.other_domains {
                let Some(peer) = keeper_of(domain, written.shard) else {
                    continue;
                };
                cx.out.push(Output::Peer {
                    to: peer.name.clone(),
                    addr: peer.addr.clone(),
                    message: PeerMessage::Once(Message::Written(written.clone())),
                });
            }
        }
    }

    fn submit_change(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        slot: Slot,
        kind: ChangeKind,
        limit: Millis,
    ) -> Vec<ClaimOutcome> {
        let key = ChangeKey {
            request,
            is_claim: matches!(kind, ChangeKind::Claim { .. }),
        };
        let pending = PendingChange {
            change: Change {
                request,
                slot,
                kind,
            },
            next_send: cx.now,
            deadline: cx.now + limit,
        };
        self.pending.insert(key, pending);
        self.send(cx, key)
    }

    /// Drops changes past their deadline. A dropped claim fails and is
    /// released, because the keeper may already have granted it.
    fn drop_timed_out_changes(&mut self, cx: &mut Cx<'_>) -> Vec<ClaimOutcome> {
        let timed_out: Vec<ChangeKey> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= cx.now)
            .map(|(&key, _)| key)
            .collect();
        let mut outcomes = Vec::new();
        for key in timed_out {
            let Some(pending) = self.pending.remove(&key) else {
                continue;
            };
            if !key.is_claim {
                continue;
            }
            outcomes.extend(self.release(cx, key.request, pending.change.slot));
            outcomes.push(ClaimOutcome {
                request: key.request,
                answer: None,
            });
        }
        outcomes
    }

    /// Sends an unconfirmed change to its keeper, which may be this instance.
    fn send(&mut self, cx: &mut Cx<'_>, key: ChangeKey) -> Vec<ClaimOutcome> {
        let Some(pending) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        pending.next_send = cx.now + RESEND_INTERVAL;
        let change = pending.change.clone();
        let keeper = keeper_of(&self.keeper_candidates, change.slot.shard());
        match keeper {
            Some(peer) if peer.name != cx.me.name => {
                cx.out.push(Output::Peer {
                    to: peer.name.clone(),
                    addr: peer.addr.clone(),
                    message: PeerMessage::Once(Message::Change(change)),
                });
                Vec::new()
            }
            _ => {
                self.keeper.add(change, cx.me.name.clone());
                let answers = self.keeper.tick(cx);
                self.deliver(cx, answers)
            }
        }
    }

    /// Delivers the keeper's answers to the instances that sent the changes.
    fn deliver(&mut self, cx: &mut Cx<'_>, answers: Vec<keeper::Answer>) -> Vec<ClaimOutcome> {
        let mut outcomes = Vec::new();
        for answer in answers {
            let keeper::Answer {
                to,
                request,
                is_claim,
                answer,
            } = answer;
            if to == cx.me.name {
                outcomes.extend(self.on_answer(cx, request, is_claim, answer));
                continue;
            }
            let Some(peer) = self.known_instances.iter().find(|peer| peer.name == to) else {
                continue;
            };
            cx.out.push(Output::Peer {
                to,
                addr: peer.addr.clone(),
                message: PeerMessage::Once(Message::Answer {
                    request,
                    claim: is_claim,
                    answer,
                }),
            });
        }
        outcomes
    }

    /// Handles the keeper's answer to a change of this instance.
    fn on_answer(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        is_claim: bool,
        answer: ClaimAnswer,
    ) -> Vec<ClaimOutcome> {
        let key = ChangeKey { request, is_claim };
        if self.pending.remove(&key).is_none() || !is_claim {
            return Vec::new();
        }
        let detail = answer.as_str().to_owned();
        cx.event(EventKind::Claim, Subject::request(request), detail);
        vec![ClaimOutcome {
            request,
            answer: Some(answer),
        }]
    }
}

/// Returns the keeper of a shard, by rendezvous hashing (Thaler and
/// Ravishankar 1998, "Using name-based mappings to increase hit rates").
#[must_use]
pub fn keeper_of(peers: &[Peer], shard: u16) -> Option<&Peer> {
    peers
        .iter()
        .max_by_key(|peer| xxh3_64(format!("{shard}/{}", peer.name).as_bytes()))
}
