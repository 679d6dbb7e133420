//! Keeper: writes the claims of a shard to its document in batches.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::message::Change;
use super::message::ChangeKind;
use super::message::ClaimAnswer;
use super::message::Recorded;
use super::message::Slot;
use super::message::Written;
use crate::clock::Millis;
use crate::control::Component;
use crate::control::Cx;
use crate::control::Ticket;
use crate::id::RequestId;
use crate::store::KeyVersion;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::store::StoreResult;

/// Shortest interval between two writes of one shard.
pub const MIN_WRITE_INTERVAL: Millis = Millis(200);
/// Delay before a failed store call is retried.
pub const STORE_RETRY_DELAY: Millis = Millis(250);
/// Delay before a document that cannot be decoded is read again.
const DECODE_RETRY_DELAY: Millis = Millis(1_000);
/// Maximum number of changes that wait for one shard.
pub const MAX_WAITING_CHANGES: usize = 4_096;
/// Maximum size of a shard document.
pub const MAX_DOCUMENT_BYTES: usize = 900_000;
/// Maximum stored size of one claim, without its result.
const MAX_CLAIM_BYTES: usize = 64;
/// Maximum number of claims of other keepers that are remembered for a shard: as
/// many as a document holds.
const MAX_HEARD_CLAIMS: usize = MAX_DOCUMENT_BYTES / MAX_CLAIM_BYTES;

/// The keeper's answer to a change, with its recipient.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The instance that sent the change.
    pub to: String,
    /// The request of that instance.
    pub request: RequestId,
    /// Whether the change was a claim.
    pub is_claim: bool,
    /// The answer.
    pub answer: ClaimAnswer,
}

/// Claims of one shard, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct ShardDocument {
    claims: BTreeMap<Slot, Claim>,
}

/// One claim, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    owner: RequestId,
    /// Hash of the request body.
    body: u64,
    /// Unix time after which the claim is dropped.
    expires: Millis,
    result: Option<Recorded>,
}

/// Shards for which this instance has received changes.
#[derive(Debug)]
pub struct Keeper {
    unix_time_at_start: Millis,
    shards: BTreeMap<u16, Shard>,
    /// Changes of claims that were written and that the keepers of other failure
    /// domains have not been told of.
    written: Vec<Written>,
}

/// State of one shard.
#[derive(Debug, Default)]
struct Shard {
    document: ShardDocument,
    version: KeyVersion,
    /// Claims that the service has lost by returning to older data; written again
    /// with the next change.
    lost_claims: BTreeMap<Slot, Claim>,
    /// Claims that keepers of other failure domains have written, up to the version
    /// `heard_version`. No document of that version has been read since.
    heard: BTreeMap<Slot, Claim>,
    heard_version: KeyVersion,
    /// Number of store calls started when the latest of them was heard of.
    heard_after_calls: u64,
    /// Number of store calls started.
    calls: u64,
    /// Number of the last store call that returned or wrote the document, or
    /// `None` if the document is unknown.
    last_confirmed_by: Option<u64>,
    waiting: Vec<Waiting>,
    /// The pending store call.
    call: Option<Pending>,
    /// Earliest time of the next store call.
    not_before: Millis,
}

/// A change waiting for its answer.
#[derive(Debug)]
struct Waiting {
    change: Change,
    /// The instance that sent the change.
    from: String,
    /// Number of store calls started when the change arrived.
    calls_at_arrival: u64,
}

/// The pending store call of a shard.
#[derive(Debug)]
enum Pending {
    Read,
    Write {
        next: ShardDocument,
        answers: Vec<Answer>,
    },
}

impl Keeper {
    /// Creates a keeper; `unix_time_at_start` is the Unix time at which the
    /// process clock was zero.
    #[must_use]
    pub fn new(unix_time_at_start: Millis) -> Keeper {
        Keeper {
            unix_time_at_start,
            shards: BTreeMap::new(),
            written: Vec::new(),
        }
    }

    /// Removes and returns what the keepers of other failure domains have to be
    /// told.
    pub fn take_written(&mut self) -> Vec<Written> {
        std::mem::take(&mut self.written)
    }

    /// Records what a keeper of another failure domain has written.
    pub fn on_written(&mut self, now: Millis, written: Written) {
        let unix_now = self.unix_time_at_start + now;
        let shard = self.shards.entry(written.shard).or_default();
        shard.hear(written, unix_now);
    }

    /// Queues a change of the instance `from`, unless it is queued already or
    /// the queue is full; the sender resends it.
    pub fn add(&mut self, change: Change, from: String) {
        let shard = self.shards.entry(change.slot.shard()).or_default();
        let queued = shard.waiting.iter().any(|other| other.change == change);
        if !queued && shard.waiting.len() < MAX_WAITING_CHANGES {
            shard.waiting.push(Waiting {
                change,
                from,
                calls_at_arrival: shard.calls,
            });
        }
    }

    /// Starts the store calls that are due; returns answers that need no store
    /// call.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<Answer> {
        let unix_now = self.unix_time_at_start + cx.now;
        let mut answers = Vec::new();
        for (&number, shard) in &mut self.shards {
            answers.extend(shard.start_call(cx, number, unix_now));
        }
        answers
    }

    /// Handles an answer of the key-value service.
    pub fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: Ticket,
        result: StoreResult,
    ) -> Vec<Answer> {
        let Ok(number) = u16::try_from(ticket.number) else {
            return Vec::new();
        };
        let unix_now = self.unix_time_at_start + cx.now;
        let Some(shard) = self.shards.get_mut(&number) else {
            return Vec::new();
        };
        let mut answers = shard.on_store(cx.now, number, result, &mut self.written);
        answers.extend(shard.start_call(cx, number, unix_now));
        answers
    }
}

impl Shard {
    /// Starts the store call that waiting changes need; returns answers that
    /// need no store call.
    fn start_call(&mut self, cx: &mut Cx<'_>, number: u16, unix_now: Millis) -> Vec<Answer> {
        if self.call.is_some() || self.waiting.is_empty() || cx.now < self.not_before {
            return Vec::new();
        }
        let key = format!("once/{number}");
        let Some(confirmed_by) = self.last_confirmed_by else {
            self.read(cx, number, key);
            return Vec::new();
        };
        let mut next = self.document.clone();
        self.add_lost_claims(&mut next);
        next.claims.retain(|_, claim| claim.expires > unix_now);
        let (answers, needs_read) = apply(&mut next, &self.waiting, confirmed_by, unix_now);
        if needs_read {
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
        next: ShardDocument,
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
        self.not_before = cx.now + MIN_WRITE_INTERVAL;
        cx.store(ticket(number), op);
    }

    fn on_store(
        &mut self,
        now: Millis,
        number: u16,
        result: StoreResult,
        written: &mut Vec<Written>,
    ) -> Vec<Answer> {
        let Some(call) = self.call.take() else {
            return Vec::new();
        };
        match (call, result) {
            (Pending::Write { next, answers }, Ok(StoreAnswer::Written(version))) => {
                written.extend(self.describe_changes(number, version, &next, &answers));
                self.document = next;
                self.lost_claims.clear();
                let document = &self.document;
                self.heard
                    .retain(|slot, _| !document.claims.contains_key(slot));
                self.version = version;
                self.last_confirmed_by = Some(self.calls);
                self.remove_answered(&answers);
                return answers;
            }
            (_, Ok(StoreAnswer::Entry(entry) | StoreAnswer::Conflict(entry))) => {
                self.set_document(now, number, entry);
            }
            (_, Err(StoreFailure::NotRun { retry_after })) => {
                self.not_before = now
                    + retry_after
                        .unwrap_or(STORE_RETRY_DELAY)
                        .max(STORE_RETRY_DELAY);
            }
            // The call may have run: read the document again.
            (_, _) => {
                self.last_confirmed_by = None;
                self.not_before = now + STORE_RETRY_DELAY;
            }
        }
        Vec::new()
    }

    /// Replaces the document by the stored one.
    fn set_document(&mut self, now: Millis, number: u16, entry: Option<StoreEntry>) {
        let Some(entry) = entry else {
            self.keep_lost_claims(number, KeyVersion(0), &ShardDocument::default());
            self.document = ShardDocument::default();
            self.version = KeyVersion(0);
            self.last_confirmed_by = Some(self.calls);
            return;
        };
        let config = bincode::config::standard();
        match bincode::serde::decode_from_slice(&entry.value, config) {
            Ok((document, _)) => {
                self.keep_lost_claims(number, entry.version, &document);
                self.document = document;
                self.version = entry.version;
                self.last_confirmed_by = Some(self.calls);
            }
            Err(error) => {
                log::error!("cannot decode claim document once/{number}: {error}");
                self.last_confirmed_by = None;
                self.not_before = now + DECODE_RETRY_DELAY;
            }
        }
    }

    /// Keeps the known claims that a document lacks if its version shows that the
    /// service has returned to older data.
    fn keep_lost_claims(&mut self, number: u16, version: KeyVersion, stored: &ShardDocument) {
        let heard = self.keep_heard_claims(version);
        if version >= self.version && !heard {
            return;
        }
        if version < self.version {
            for (slot, claim) in &self.document.claims {
                if claim.is_lost(stored.claims.get(slot)) {
                    self.lost_claims.insert(*slot, claim.clone());
                }
            }
        }
        log::warn!(
            shard = number,
            version = version.0,
            known_version = self.version.0,
            lost = self.lost_claims.len();
            "key-value service returned to older claims; the lost ones are written again"
        );
    }

    /// Keeps the claims that other keepers have written if a document is older than
    /// theirs, and forgets them if it is not. Returns whether the service has
    /// returned to older data: a reading may also have begun before they were
    /// written.
    fn keep_heard_claims(&mut self, version: KeyVersion) -> bool {
        if version >= self.heard_version {
            self.heard.clear();
            return false;
        }
        if self.calls <= self.heard_after_calls {
            return false;
        }
        self.lost_claims.append(&mut self.heard);
        // Versions count on from the older one.
        self.heard_version = KeyVersion(0);
        true
    }

    /// Records what another keeper has written.
    fn hear(&mut self, written: Written, unix_now: Millis) {
        self.heard.retain(|_, claim| claim.expires > unix_now);
        for (slot, claim) in written.claims {
            match claim {
                Some(claim) if self.heard.len() < MAX_HEARD_CLAIMS => {
                    self.heard.insert(slot, claim);
                }
                Some(_) => {}
                None => {
                    self.heard.remove(&slot);
                    self.lost_claims.remove(&slot);
                }
            }
        }
        self.heard_version = self.heard_version.max(written.version);
        self.heard_after_calls = self.calls;
        if self.version >= self.heard_version {
            self.heard.clear();
        }
    }

    /// Returns the claims that a write has added or removed.
    fn describe_changes(
        &self,
        shard: u16,
        version: KeyVersion,
        next: &ShardDocument,
        answers: &[Answer],
    ) -> Option<Written> {
        let mut claims = Vec::new();
        for waiting in self.waiting.iter().filter(|waiting| waiting.is_in(answers)) {
            let slot = waiting.change.slot;
            let before = self.document.claims.get(&slot);
            let after = next.claims.get(&slot);
            if before.is_some() != after.is_some() {
                claims.push((slot, after.cloned()));
            }
        }
        (!claims.is_empty()).then_some(Written {
            shard,
            version,
            claims,
        })
    }

    fn add_lost_claims(&self, document: &mut ShardDocument) {
        for (slot, claim) in self.lost_claims.iter().chain(&self.heard) {
            if claim.is_lost(document.claims.get(slot)) {
                document.claims.insert(*slot, claim.clone());
            }
        }
    }

    /// Removes answered changes from the queue.
    fn remove_answered(&mut self, answers: &[Answer]) {
        self.waiting.retain(|waiting| !waiting.is_in(answers));
    }
}

impl Waiting {
    /// Returns whether one of the answers is to this change.
    fn is_in(&self, answers: &[Answer]) -> bool {
        answers.iter().any(|answer| {
            answer.request == self.change.request
                && answer.is_claim == self.change.is_claim()
                && answer.to == self.from
        })
    }
}

impl Change {
    fn is_claim(&self) -> bool {
        matches!(self.kind, ChangeKind::Claim { .. })
    }
}

fn ticket(shard: u16) -> Ticket {
    Ticket {
        component: Component::Once,
        number: u64::from(shard),
    }
}

/// Applies changes in order. Returns the answers, which hold once the document
/// is stored, and whether the document has to be read again first: an answer
/// that changes nothing is not checked by a write, so it must rely on a store
/// call that started after the change arrived.
fn apply(
    document: &mut ShardDocument,
    waiting: &[Waiting],
    confirmed_by: u64,
    unix_now: Millis,
) -> (Vec<Answer>, bool) {
    let mut needs_read = false;
    let mut bytes = document_bytes(document);
    let mut answers = Vec::new();
    for Waiting {
        change,
        from,
        calls_at_arrival,
    } in waiting
    {
        let before = document.claims.get(&change.slot).cloned();
        let answer = apply_change(document, change, unix_now, &mut bytes);
        let unchanged = document.claims.get(&change.slot) == before.as_ref();
        needs_read |= unchanged && confirmed_by <= *calls_at_arrival;
        answers.push(Answer {
            to: from.clone(),
            request: change.request,
            is_claim: change.is_claim(),
            answer,
        });
    }
    (answers, needs_read)
}

fn apply_change(
    document: &mut ShardDocument,
    change: &Change,
    unix_now: Millis,
    bytes: &mut usize,
) -> ClaimAnswer {
    let claim = document.claims.get_mut(&change.slot);
    match (&change.kind, claim) {
        (ChangeKind::Claim { body, retention }, None) => {
            if *bytes + MAX_CLAIM_BYTES > MAX_DOCUMENT_BYTES {
                return ClaimAnswer::NoRoom;
            }
            *bytes += MAX_CLAIM_BYTES;
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
    /// Returns whether the stored claim of the same key lacks what this one holds.
    /// A claim of another owner has been granted since.
    fn is_lost(&self, stored: Option<&Claim>) -> bool {
        stored.is_none_or(|stored| {
            stored.owner == self.owner && stored.result.is_none() && self.result.is_some()
        })
    }

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

/// Returns an upper bound of the stored size.
fn document_bytes(document: &ShardDocument) -> usize {
    document
        .claims
        .values()
        .map(|claim| {
            let result = claim
                .result
                .as_ref()
                .and_then(|result| result.body.as_ref());
            MAX_CLAIM_BYTES + result.map_or(0, Vec::len)
        })
        .sum()
}
