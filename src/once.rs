//! Non-idempotent calls run at most once for each idempotency key.
//!
//! Before such a call is sent, its key is claimed in the key-value service. The
//! place of a claim depends on workspace and key alone: one of
//! [`CLAIM_SHARDS`] documents, changed by compare-and-swap, so that of two
//! claims one always loses, whoever writes them. To save writes, one instance
//! writes a shard's claims in batches (its keeper); a wrong view of who that is
//! costs conflicts, never a second run.
//!
//! A claim names the request that owns it. A write whose answer was lost is
//! settled by reading back: the claim is granted if the document names its
//! owner. A recorded result is given again; a claim without a result is never
//! run again.

mod keeper;
mod message;
#[cfg(test)]
mod tests;

pub use keeper::Keeper;
pub use message::Change;
pub use message::ChangeKind;
pub use message::ClaimAnswer;
pub use message::Message;
pub use message::Recorded;
pub use message::Slot;

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

/// Documents that hold the claims.
pub const CLAIM_SHARDS: u16 = 64;
/// Time after which an unanswered change is sent to the keeper again.
pub const RESEND_PERIOD: Millis = Millis(500);
/// Longest time that a call waits for its claim.
pub const CLAIM_LIMIT: Millis = Millis(2_000);
/// Longest time that a settled or released claim is reported to the keeper.
pub const REPORT_LIMIT: Millis = Millis(120_000);
/// Largest recorded answer, in bytes; a longer one is not given again.
pub const MAX_RECORDED_BYTES: usize = 4_096;

/// Another instance and its address for peers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its address, `ip:port`.
    pub addr: String,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// The request that asked.
    pub request: RequestId,
    /// The answer; none: no claim could be made in time.
    pub answer: Option<ClaimAnswer>,
}

/// The duty on one instance: claims of its own requests, and its shards.
#[derive(Debug)]
pub struct Once {
    keepers: Vec<Member>,
    known: Vec<Member>,
    keeper: Keeper,
    open: BTreeMap<(RequestId, bool), Open>,
}

/// A change that the keeper has not confirmed.
#[derive(Debug)]
struct Open {
    change: Change,
    next_send: Millis,
    give_up: Millis,
}

impl Once {
    /// Returns the duty; `unix_zero` is the Unix time at the clock's zero.
    #[must_use]
    pub fn new(unix_zero: Millis) -> Once {
        Once {
            keepers: Vec::new(),
            known: Vec::new(),
            keeper: Keeper::new(unix_zero),
            open: BTreeMap::new(),
        }
    }

    /// Takes over which instances write shards, this one included.
    pub fn set_keepers(&mut self, mut keepers: Vec<Member>) {
        keepers.sort();
        self.keepers = keepers;
    }

    /// Takes over which instances are known, those that are leaving included:
    /// they too get answers.
    pub fn set_known(&mut self, known: Vec<Member>) {
        self.known = known;
    }

    /// Starts to claim a key for a request; `body` is the hash of its body.
    pub fn claim(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        slot: Slot,
        body: u64,
        retention: Millis,
    ) -> Vec<ClaimOutcome> {
        let kind = ChangeKind::Claim { body, retention };
        self.open_change(cx, request, slot, kind, CLAIM_LIMIT)
    }

    /// Records the result of a claimed call.
    pub fn settle(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        slot: Slot,
        result: Recorded,
    ) -> Vec<ClaimOutcome> {
        let kind = ChangeKind::Settle { result };
        self.open_change(cx, request, slot, kind, REPORT_LIMIT)
    }

    /// Gives a claim back whose call surely did not run.
    pub fn release(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        slot: Slot,
    ) -> Vec<ClaimOutcome> {
        self.open.remove(&(request, true));
        self.open_change(cx, request, slot, ChangeKind::Release, REPORT_LIMIT)
    }

    /// Returns how many changes no keeper has confirmed yet.
    #[must_use]
    pub fn unconfirmed(&self) -> usize {
        self.open.len()
    }

    /// Sends changes again and gives up on late claims.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<ClaimOutcome> {
        let mut outcomes = self.give_up(cx);
        let due: Vec<(RequestId, bool)> = self
            .open
            .iter()
            .filter(|(_, open)| open.next_send <= cx.now)
            .map(|(&key, _)| key)
            .collect();
        for key in due {
            outcomes.extend(self.send(cx, key));
        }
        let answers = self.keeper.tick(cx);
        outcomes.extend(self.deliver(cx, answers));
        outcomes
    }

    /// Handles the key-value service's answer.
    pub fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: Ticket,
        result: StoreResult,
    ) -> Vec<ClaimOutcome> {
        let answers = self.keeper.on_store(cx, ticket, result);
        self.deliver(cx, answers)
    }

    /// Handles another instance's message.
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
            } => self.answered(cx, request, claim, answer),
        }
    }

    fn open_change(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        slot: Slot,
        kind: ChangeKind,
        limit: Millis,
    ) -> Vec<ClaimOutcome> {
        let claim = matches!(kind, ChangeKind::Claim { .. });
        let open = Open {
            change: Change {
                request,
                slot,
                kind,
            },
            next_send: cx.now,
            give_up: cx.now + limit,
        };
        self.open.insert((request, claim), open);
        self.send(cx, (request, claim))
    }

    fn give_up(&mut self, cx: &mut Cx<'_>) -> Vec<ClaimOutcome> {
        let late: Vec<(RequestId, bool)> = self
            .open
            .iter()
            .filter(|(_, open)| open.give_up <= cx.now)
            .map(|(&key, _)| key)
            .collect();
        let mut outcomes = Vec::new();
        for (request, claim) in late {
            let Some(open) = self.open.remove(&(request, claim)) else {
                continue;
            };
            if !claim {
                continue;
            }
            outcomes.extend(self.release(cx, request, open.change.slot));
            outcomes.push(ClaimOutcome {
                request,
                answer: None,
            });
        }
        outcomes
    }

    /// Sends an open change to its keeper, which may be this instance.
    fn send(&mut self, cx: &mut Cx<'_>, key: (RequestId, bool)) -> Vec<ClaimOutcome> {
        let Some(open) = self.open.get_mut(&key) else {
            return Vec::new();
        };
        open.next_send = cx.now + RESEND_PERIOD;
        let change = open.change.clone();
        let keeper = keeper_of(&self.keepers, change.slot.shard());
        match keeper {
            Some(member) if member.name != cx.me.name => {
                cx.out.push(Output::Peer {
                    to: member.name.clone(),
                    addr: member.addr.clone(),
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

    /// Brings the keeper's answers to those who asked.
    fn deliver(&mut self, cx: &mut Cx<'_>, answers: Vec<keeper::Answer>) -> Vec<ClaimOutcome> {
        let mut outcomes = Vec::new();
        for answer in answers {
            let keeper::Answer {
                to,
                request,
                claim,
                answer,
            } = answer;
            if to == cx.me.name {
                outcomes.extend(self.answered(cx, request, claim, answer));
                continue;
            }
            let Some(member) = self.known.iter().find(|member| member.name == to) else {
                continue;
            };
            cx.out.push(Output::Peer {
                to,
                addr: member.addr.clone(),
                message: PeerMessage::Once(Message::Answer {
                    request,
                    claim,
                    answer,
                }),
            });
        }
        outcomes
    }

    /// Takes over the keeper's answer to one of this instance's changes.
    fn answered(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        claim: bool,
        answer: ClaimAnswer,
    ) -> Vec<ClaimOutcome> {
        if self.open.remove(&(request, claim)).is_none() || !claim {
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

/// Returns the instance that writes a shard, by rendezvous hashing (Thaler and
/// Ravishankar 1998, "Using name-based mappings to increase hit rates").
#[must_use]
pub fn keeper_of(members: &[Member], shard: u16) -> Option<&Member> {
    members
        .iter()
        .max_by_key(|member| xxh3_64(format!("{shard}/{}", member.name).as_bytes()))
}
