//! Writes claims in batches, one document a shard.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::message::Change;
use super::message::ChangeKind;
use super::message::ClaimAnswer;
use super::message::Recorded;
use super::message::Slot;
use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Duty;
use crate::control::Ticket;
use crate::id::RequestId;
use crate::store::KeyVersion;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::store::StoreResult;

/// Shortest time between two writes of one shard.
pub const WRITE_PERIOD: Millis = Millis(200);
/// Time after which a failed store call is made again.
pub const STORE_RETRY: Millis = Millis(250);
/// Changes that wait for one shard at most.
pub const MAX_WAITING: usize = 4_096;
/// Largest shard document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 900_000;

/// The keeper's answer to a change and where it goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The instance that asked.
    pub to: String,
    /// Its request.
    pub request: RequestId,
    /// Whether it asked for a claim.
    pub claim: bool,
    /// The answer.
    pub answer: ClaimAnswer,
}

/// Claims of one shard, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Document {
    claims: BTreeMap<Slot, Claim>,
}

/// One claim, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Claim {
    owner: RequestId,
    body: u64,
    /// Unix time after which the claim is forgotten.
    expires: Millis,
    result: Option<Recorded>,
}

/// Shards that this instance writes at present.
#[derive(Debug)]
pub struct Keeper {
    unix_zero: Millis,
    shards: BTreeMap<u16, Shard>,
}

#[derive(Debug, Default)]
struct Shard {
    document: Document,
    version: KeyVersion,
    /// Store calls started so far.
    calls: u64,
    /// The call that last showed the document; none: it is not known.
    known: Option<u64>,
    waiting: Vec<Waiting>,
    call: Option<Pending>,
    not_before: Millis,
}

/// A change that waits for its answer.
#[derive(Debug)]
struct Waiting {
    change: Change,
    from: String,
    /// Store calls started when it came.
    arrived: u64,
}

/// The store call under way for a shard.
#[derive(Debug)]
enum Pending {
    Read,
    Write {
        next: Document,
        answers: Vec<Answer>,
    },
}

impl Keeper {
    /// Returns a keeper; `unix_zero` is the Unix time at the clock's zero.
    #[must_use]
    pub fn new(unix_zero: Millis) -> Keeper {
        Keeper {
            unix_zero,
            shards: BTreeMap::new(),
        }
    }

    /// Takes a change of the instance `from`; one already waiting is kept once.
    pub fn add(&mut self, change: Change, from: String) {
        let shard = self.shards.entry(change.slot.shard()).or_default();
        let known = shard.waiting.iter().any(|other| other.change == change);
        if !known && shard.waiting.len() < MAX_WAITING {
            shard.waiting.push(Waiting {
                change,
                from,
                arrived: shard.calls,
            });
        }
    }

    /// Starts due store calls; returns answers that need none.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<Answer> {
        let unix_now = self.unix_zero + cx.now;
        let mut answers = Vec::new();
        for (&number, shard) in &mut self.shards {
            answers.extend(shard.work(cx, number, unix_now));
        }
        answers
    }

    /// Handles the key-value service's answer.
    pub fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: Ticket,
        result: StoreResult,
    ) -> Vec<Answer> {
        let Ok(number) = u16::try_from(ticket.number) else {
            return Vec::new();
        };
        let unix_now = self.unix_zero + cx.now;
        let Some(shard) = self.shards.get_mut(&number) else {
            return Vec::new();
        };
        let mut answers = shard.on_store(cx.now, result);
        answers.extend(shard.work(cx, number, unix_now));
        answers
    }
}

impl Shard {
    fn work(&mut self, cx: &mut Cx<'_>, number: u16, unix_now: Millis) -> Vec<Answer> {
        if self.call.is_some() || self.waiting.is_empty() || cx.now < self.not_before {
            return Vec::new();
        }
        let key = format!("once/{number}");
        let Some(known) = self.known else {
            self.read(cx, number, key);
            return Vec::new();
        };
        let mut next = self.document.clone();
        next.claims.retain(|_, claim| claim.expires > unix_now);
        let (answers, stale) = apply(&mut next, &self.waiting, known, unix_now);
        if stale {
            self.read(cx, number, key);
            return Vec::new();
        }
        if next == self.document {
            self.waiting.clear();
            return answers;
        }
        self.write(cx, number, key, next, answers);
        Vec::new()
    }

    fn read(&mut self, cx: &mut Cx<'_>, number: u16, key: String) {
        self.calls += 1;
        self.call = Some(Pending::Read);
        cx.store(ticket(number), StoreOp::Get { key });
    }

    fn write(
        &mut self,
        cx: &mut Cx<'_>,
        number: u16,
        key: String,
        next: Document,
        answers: Vec<Answer>,
    ) {
        let config = bincode::config::standard();
        let Ok(value) = bincode::serde::encode_to_vec(&next, config) else {
            return;
        };
        let version = self.version;
        let op = match version {
            KeyVersion(0) => StoreOp::Create {
                key,
                value,
                lease: None,
            },
            version => StoreOp::Swap {
                key,
                value,
                version,
                lease: None,
            },
        };
        self.calls += 1;
        self.call = Some(Pending::Write { next, answers });
        self.not_before = cx.now + WRITE_PERIOD;
        cx.store(ticket(number), op);
    }

    fn on_store(&mut self, now: Millis, result: StoreResult) -> Vec<Answer> {
        let Some(call) = self.call.take() else {
            return Vec::new();
        };
        match (call, result) {
            (Pending::Write { next, answers }, Ok(StoreAnswer::Written(version))) => {
                self.document = next;
                self.version = version;
                self.known = Some(self.calls);
                self.answered(&answers);
                return answers;
            }
            (_, Ok(StoreAnswer::Entry(entry) | StoreAnswer::Conflict(entry))) => {
                self.load(now, entry);
            }
            (_, Err(StoreFailure::NotRun { retry_after })) => {
                self.not_before = now + retry_after.unwrap_or(STORE_RETRY).max(STORE_RETRY);
            }
            (_, _) => {
                self.known = None;
                self.not_before = now + STORE_RETRY;
            }
        }
        Vec::new()
    }

    fn load(&mut self, now: Millis, entry: Option<StoreEntry>) {
        let Some(entry) = entry else {
            self.document = Document::default();
            self.version = KeyVersion(0);
            self.known = Some(self.calls);
            return;
        };
        let config = bincode::config::standard();
        match bincode::serde::decode_from_slice(&entry.value, config) {
            Ok((document, _)) => {
                self.document = document;
                self.version = entry.version;
                self.known = Some(self.calls);
            }
            Err(error) => {
                log::error!("a claim document cannot be read: {error}");
                self.known = None;
                self.not_before = now + STORE_RETRY * 4;
            }
        }
    }

    /// Drops the changes that have an answer now.
    fn answered(&mut self, answers: &[Answer]) {
        self.waiting.retain(|waiting| {
            !answers.iter().any(|answer| {
                answer.request == waiting.change.request
                    && answer.claim == waiting.change.is_claim()
                    && answer.to == waiting.from
            })
        });
    }
}

impl Change {
    fn is_claim(&self) -> bool {
        matches!(self.kind, ChangeKind::Claim { .. })
    }
}

fn ticket(shard: u16) -> Ticket {
    Ticket {
        duty: Duty::Once,
        number: u64::from(shard),
    }
}

/// Applies changes in order; returns the answers that hold once the document is
/// stored, and whether an answer needs a newer reading than `known`: one that
/// leaves a claim as it is must have seen it after it was asked.
fn apply(
    document: &mut Document,
    waiting: &[Waiting],
    known: u64,
    unix_now: Millis,
) -> (Vec<Answer>, bool) {
    let mut stale = false;
    let mut bytes = document_bytes(document);
    let mut answers = Vec::new();
    for Waiting {
        change,
        from,
        arrived,
    } in waiting
    {
        let before = document.claims.get(&change.slot).cloned();
        let answer = apply_one(document, change, unix_now, &mut bytes);
        let unchanged = document.claims.get(&change.slot) == before.as_ref();
        stale |= unchanged && known <= *arrived;
        answers.push(Answer {
            to: from.clone(),
            request: change.request,
            claim: change.is_claim(),
            answer,
        });
    }
    (answers, stale)
}

fn apply_one(
    document: &mut Document,
    change: &Change,
    unix_now: Millis,
    bytes: &mut usize,
) -> ClaimAnswer {
    let claim = document.claims.get_mut(&change.slot);
    match (&change.kind, claim) {
        (ChangeKind::Claim { body, retention }, None) => {
            if *bytes + CLAIM_BYTES > MAX_DOCUMENT_BYTES {
                return ClaimAnswer::NoRoom;
            }
            *bytes += CLAIM_BYTES;
            let claim = Claim {
                owner: change.request,
                body: *body,
                expires: unix_now + *retention,
                result: None,
            };
            document.claims.insert(change.slot, claim);
            ClaimAnswer::Granted
        }
        (ChangeKind::Claim { body, .. }, Some(claim)) => claim.answer(change.request, *body),
        (ChangeKind::Settle { result }, Some(claim)) if claim.owner == change.request => {
            *bytes += result.body.as_ref().map_or(0, Vec::len);
            let result = match *bytes > MAX_DOCUMENT_BYTES {
                true => Recorded {
                    status: result.status,
                    body: None,
                },
                false => result.clone(),
            };
            claim.result = Some(result);
            ClaimAnswer::Stored
        }
        (ChangeKind::Release, Some(claim)) if claim.owner == change.request => {
            document.claims.remove(&change.slot);
            ClaimAnswer::Stored
        }
        (ChangeKind::Settle { .. } | ChangeKind::Release, _) => ClaimAnswer::Stored,
    }
}

impl Claim {
    fn answer(&self, request: RequestId, body: u64) -> ClaimAnswer {
        if self.body != body {
            return ClaimAnswer::OtherBody;
        }
        match &self.result {
            Some(result) => ClaimAnswer::Recorded(result.clone()),
            None if self.owner == request => ClaimAnswer::Granted,
            None => ClaimAnswer::Unsettled,
        }
    }
}

/// Room that one claim takes in a stored document at most, without its result.
const CLAIM_BYTES: usize = 64;

fn document_bytes(document: &Document) -> usize {
    document
        .claims
        .values()
        .map(|claim| {
            let result = claim
                .result
                .as_ref()
                .and_then(|result| result.body.as_ref());
            CLAIM_BYTES + result.map_or(0, Vec::len)
        })
        .sum()
}
