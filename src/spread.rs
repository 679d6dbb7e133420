//! Distributes the operators' declarations to every instance.
//!
//! The key-value service holds one head, which lists the newest revision and
//! those before it, and one key with the text of each revision. A change is
//! written as a new text and then takes effect by one compare-and-swap of the
//! head; if the answer to the swap is lost, the change's id in the head shows
//! whether it took effect. Two instances per failure domain watch the head; the
//! others learn of a new revision from heartbeats and pull it from a peer, usually
//! as a short diff. As a fallback, all instances poll the head at long intervals.
//!
//! An instance never adopts a lower revision. If the service holds an older head
//! than this instance, as after a restore from a backup, the newer head is written
//! back. If both have accepted changes that the other lacks, the two are merged
//! into one revision above both.

mod catch_up;
mod head;
mod message;
mod plan;
mod proposal;
mod splice;
#[cfg(test)]
mod tests;

pub use head::HEAD_KEY;
pub use head::Head;
pub use head::MAX_LISTED_REVISIONS;
pub use head::RevisionInfo;
pub use message::Applied;
pub use message::ApplyRequest;
pub use message::Body;
pub use message::HeldRevision;
pub use message::HeldRevisions;
pub use message::Message;
pub use message::RevisionDocument;
pub use splice::Splice;
pub use splice::TextHash;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use self::head::Relation;
use self::proposal::Proposal;
use crate::clock::Millis;
use crate::control::AdminAnswer;
use crate::control::Component;
use crate::control::Cx;
use crate::control::Output;
use crate::control::Ticket;
use crate::declaration::Declaration;
use crate::declaration::read;
use crate::id::Revision;
use crate::metrics::Count;
use crate::store::KeyVersion;
use crate::store::StoreAnswer;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::store::StoreResult;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Number of texts, of the revisions adopted last, kept in memory, for diffs
/// and merges.
const MAX_RECENT_TEXTS: usize = 4;
/// Time, beyond the longest wait of a watch, after which an unanswered store call
/// counts as lost. The adapters of the store have shorter time limits of their own.
const CALL_TIMEOUT: Millis = Millis::from_secs(60);
/// Maximum number of operators' changes that wait on this instance.
const MAX_QUEUED_CHANGES: usize = 64;

/// Another instance that sent a heartbeat recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address for peers.
    pub addr: String,
    /// Its failure domain.
    pub domain: String,
    /// The revision that it reported.
    pub revision: Revision,
}

/// Polling and watch periods.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Periods {
    /// Mean time between two polls of the head.
    pub poll: Millis,
    /// Longest time for which the key-value service leaves a watch unanswered.
    pub watch: Millis,
}

impl Default for Periods {
    fn default() -> Periods {
        Periods {
            poll: Millis::from_secs(30),
            watch: Millis::from_secs(25),
        }
    }
}

/// The revision that this instance has applied.
#[derive(Debug, Clone)]
struct Current {
    head: Head,
    text: Arc<str>,
    declaration: Arc<Declaration>,
}

/// What an unanswered store call is for.
#[derive(Debug)]
enum Call {
    /// Watches the head.
    Watch,
    /// Reads the head.
    Poll,
    /// Reads the text of a head, to adopt it.
    Text(Box<Head>),
    /// A step of the proposal.
    Proposal,
    /// Reads the text of an older revision for an operator.
    Document {
        query_id: u64,
        info: Box<RevisionInfo>,
    },
    /// Deletes a text that no head lists any more.
    DeleteText,
}

/// The declarations of this instance and the state of their distribution.
#[derive(Debug)]
pub struct Spread {
    periods: Periods,
    current: Option<Current>,
    /// Texts of the revisions adopted last, newest first.
    recent_texts: VecDeque<(TextHash, Arc<str>)>,
    /// The highest revision that a peer has reported.
    highest_peer_revision: Revision,
    /// Whether a revision was adopted since the last [`Spread::take_adopted`].
    adopted: bool,
    /// Unanswered store calls by ticket number, with the time when they were
    /// sent.
    calls: BTreeMap<u64, (Millis, Call)>,
    next_call: u64,
    /// Version of the head in the store, as last read or written.
    head_version: KeyVersion,
    /// Whether a watch is unanswered.
    watching: bool,
    /// When the next watch may be sent at the earliest.
    next_watch_at: Millis,
    /// When the next poll is due.
    next_poll_at: Millis,
    /// When the next pull may be sent at the earliest.
    next_pull_at: Millis,
    /// When the replacement of the store's head is due; `None` if it needs none.
    restore_due_at: Option<Millis>,
    proposal: Option<Proposal>,
    queued_changes: VecDeque<(u64, ApplyRequest)>,
}

impl Spread {
    /// Returns the state of an instance that has no declarations yet.
    #[must_use]
    pub fn new(periods: Periods) -> Spread {
        Spread {
            periods,
            current: None,
            recent_texts: VecDeque::new(),
            highest_peer_revision: Revision::default(),
            adopted: false,
            calls: BTreeMap::new(),
            next_call: 0,
            head_version: KeyVersion::default(),
            watching: false,
            next_watch_at: Millis::ZERO,
            next_poll_at: Millis::ZERO,
            next_pull_at: Millis::ZERO,
            restore_due_at: None,
            proposal: None,
            queued_changes: VecDeque::new(),
        }
    }

    /// Returns the current declarations, or `None` if none are known yet.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Declaration>> {
        self.current.as_ref().map(|current| &current.declaration)
    }

    /// Returns the current revision, or 0 if none is known yet.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.current
            .as_ref()
            .map_or(Revision(0), |current| current.head.newest.revision)
    }

    /// Returns the text of the current revision.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        self.current.as_ref().map(|current| &*current.text)
    }

    fn text_hash(&self) -> TextHash {
        self.current
            .as_ref()
            .map_or(TextHash::default(), |current| current.head.newest.hash)
    }

    /// Returns the current declarations if they changed since the last call.
    pub fn take_adopted(&mut self) -> Option<(Arc<Declaration>, Revision)> {
        if !std::mem::take(&mut self.adopted) {
            return None;
        }
        let current = self.current.as_ref()?;
        Some((
            Arc::clone(&current.declaration),
            current.head.newest.revision,
        ))
    }

    /// Watches and polls the head, pulls newer revisions and advances changes;
    /// `is_watcher` says whether this instance watches the head for its failure
    /// domain.
    pub fn tick(&mut self, cx: &mut Cx<'_>, peers: &[Peer], is_watcher: bool) {
        let highest = peers.iter().map(|peer| peer.revision).max();
        self.highest_peer_revision = highest.unwrap_or_default();
        self.expire_calls(cx);
        self.watch_and_poll(cx, is_watcher);
        self.pull(cx, peers);
        self.start_restore(cx);
        self.start_next_change(cx);
        self.send_due_step(cx);
    }

    /// Handles the store's answer to a call.
    pub fn on_store(&mut self, cx: &mut Cx<'_>, ticket: Ticket, result: StoreResult) {
        let Some((_, call)) = self.calls.remove(&ticket.number) else {
            return;
        };
        match call {
            Call::Watch => self.on_watch(cx, result),
            Call::Poll => self.on_poll(cx, result),
            Call::Text(head) => self.on_text(cx, *head, result),
            Call::Proposal => self.on_proposal(cx, result),
            Call::Document { query_id, info } => self.on_document_text(cx, query_id, &info, result),
            Call::DeleteText => {}
        }
        self.start_next_change(cx);
    }

    /// Handles a message from the instance `from` at `addr`.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &str, addr: &str, message: Message) {
        match message {
            Message::Pull { have, text } => self.answer_pull(cx, from, addr, have, text),
            Message::Newest { head, body } => self.on_newest(cx, *head, &body),
        }
    }

    /// Queues an operator's change; the query is answered once the change is
    /// accepted or refused.
    pub fn apply(&mut self, cx: &mut Cx<'_>, query_id: u64, request: ApplyRequest) {
        if let Err(refusal) = plan::check_request(&request) {
            return send_refusal(cx, query_id, refusal);
        }
        if self.queued_changes.len() >= MAX_QUEUED_CHANGES {
            let text = "too many changes are queued on this instance";
            let refusal = Refusal::not_run(Reason::Unavailable, text);
            return send_refusal(cx, query_id, refusal.retry_after(Millis::from_secs(1)));
        }
        self.queued_changes.push_back((query_id, request));
        self.start_next_change(cx);
    }

    /// Answers an operator with the current document, or with an older revision.
    pub fn answer_document(&mut self, cx: &mut Cx<'_>, query_id: u64, revision: Option<Revision>) {
        let Some(current) = &self.current else {
            let text = "no declarations are known yet";
            return send_refusal(cx, query_id, Refusal::not_run(Reason::NotFound, text));
        };
        let revision = revision.unwrap_or(current.head.newest.revision);
        let info = current
            .head
            .revisions()
            .find(|info| info.revision == revision);
        let Some(info) = info.cloned() else {
            let text = format!(
                "revision {} is not among the {MAX_LISTED_REVISIONS} newest, which are kept",
                revision.0
            );
            return send_refusal(cx, query_id, Refusal::not_run(Reason::NotFound, text));
        };
        if let Some(text) = self.recent_text(info.hash) {
            return send_answer(cx, query_id, &revision_document(&info, &text));
        }
        let key = info.text_key();
        self.call(
            cx,
            Call::Document {
                query_id,
                info: Box::new(info),
            },
            StoreOp::Get { key },
        );
    }

    /// Returns the retained revisions, newest first, without texts.
    #[must_use]
    pub fn history(&self) -> Vec<RevisionDocument> {
        let heads = self.current.iter().map(|current| &current.head);
        heads
            .flat_map(Head::revisions)
            .map(|info| revision_document(info, ""))
            .collect()
    }

    /// Returns the revisions of this instance and of its peers.
    #[must_use]
    pub fn held_revisions(&self, instance: &str, peers: &[Peer]) -> HeldRevisions {
        let peers = peers.iter().map(|peer| HeldRevision {
            instance: peer.name.clone(),
            domain: peer.domain.clone(),
            revision: peer.revision,
        });
        HeldRevisions {
            instance: instance.to_owned(),
            revision: self.revision(),
            peers: peers.collect(),
        }
    }

    /// Adopts a revision if it descends from the current one; returns whether
    /// it is current now. A diverged revision is not adopted, even if its
    /// number is higher: the store's head is replaced by a merge of both.
    fn adopt(&mut self, cx: &mut Cx<'_>, head: Head, text: &str) -> bool {
        let relation = match &self.current {
            None => Relation::Behind,
            Some(current) => current.head.relation(&head),
        };
        match relation {
            Relation::Behind => {}
            Relation::Same => return true,
            Relation::Ahead => return false,
            Relation::Diverged => {
                self.schedule_restore(cx);
                return false;
            }
        }
        let declaration = match read(text) {
            Ok(declaration) if TextHash::of(text) == head.newest.hash => declaration,
            _ => {
                cx.count(Count::DeclarationsUnreadable);
                return false;
            }
        };
        let revision = head.newest.revision;
        let detail = format!(
            "revision {} by {} (change {})",
            revision.0, head.newest.author, head.newest.change
        );
        cx.event(EventKind::Revision, Subject::default(), detail);
        cx.count(Count::DeclarationsAdopted);
        let text: Arc<str> = Arc::from(text);
        let hash = head.newest.hash;
        self.recent_texts.push_front((hash, Arc::clone(&text)));
        self.recent_texts.truncate(MAX_RECENT_TEXTS);
        self.current = Some(Current {
            head,
            text,
            declaration: Arc::new(declaration),
        });
        self.adopted = true;
        true
    }

    /// Returns a text kept in memory.
    fn recent_text(&self, hash: TextHash) -> Option<Arc<str>> {
        self.recent_texts
            .iter()
            .find(|(known, _)| *known == hash)
            .map(|(_, text)| Arc::clone(text))
    }

    fn call(&mut self, cx: &mut Cx<'_>, call: Call, op: StoreOp) {
        self.next_call += 1;
        self.calls.insert(self.next_call, (cx.now, call));
        let ticket = Ticket {
            component: Component::Spread,
            number: self.next_call,
        };
        cx.store(ticket, op);
    }

    /// Treats calls that were not answered in time as lost.
    fn expire_calls(&mut self, cx: &mut Cx<'_>) {
        let timeout = self.periods.watch + CALL_TIMEOUT;
        while let Some((&number, (since, _))) = self.calls.first_key_value() {
            if cx.now.since(*since) < timeout {
                return;
            }
            let ticket = Ticket {
                component: Component::Spread,
                number,
            };
            self.on_store(cx, ticket, Err(StoreFailure::MayHaveRun));
        }
    }

    fn on_document_text(
        &mut self,
        cx: &mut Cx<'_>,
        query_id: u64,
        info: &RevisionInfo,
        result: StoreResult,
    ) {
        let entry = match result {
            Ok(StoreAnswer::Entry(entry)) => entry,
            _ => {
                let text = "the key-value service is unavailable";
                let refusal = Refusal::not_run(Reason::Unavailable, text);
                return send_refusal(cx, query_id, refusal.retry_after(Millis::from_secs(1)));
            }
        };
        match entry.and_then(|entry| String::from_utf8(entry.value).ok()) {
            Some(text) => send_answer(cx, query_id, &revision_document(info, &text)),
            None => {
                let text = format!(
                    "the text of revision {} is no longer in the key-value service",
                    info.revision.0
                );
                send_refusal(cx, query_id, Refusal::not_run(Reason::NotFound, text));
            }
        }
    }
}

fn revision_document(info: &RevisionInfo, text: &str) -> RevisionDocument {
    RevisionDocument {
        revision: info.revision,
        change: info.change.clone(),
        author: info.author.clone(),
        at: info.at,
        text: text.to_owned(),
    }
}

fn send_answer(cx: &mut Cx<'_>, query_id: u64, value: &impl serde::Serialize) {
    let answer = AdminAnswer::json(value);
    cx.out.push(Output::Admin { query_id, answer });
}

fn send_refusal(cx: &mut Cx<'_>, query_id: u64, refusal: Refusal) {
    let answer = AdminAnswer::Refused(refusal);
    cx.out.push(Output::Admin { query_id, answer });
}
