//! Keeps the operators' declarations current on every instance.
//!
//! The key-value service holds one head, which names the newest revision and
//! those before it, and one key for the text of each. A change is written as a
//! new text and then put in force by one compare-and-swap of the head; the
//! change's id tells a lost answer apart. Two instances a failure domain watch
//! the head; the others hear of a new revision by heartbeats and pull it from a
//! peer, mostly as a short difference. All look at the head slowly as a
//! backstop.
//!
//! A lower revision is never taken over. Where the service holds an older head
//! than this instance, as after it was restored, the newer one is written back;
//! where both have accepted changes that the other lacks, they are merged into
//! one revision above both.

mod catch_up;
mod head;
mod message;
mod plan;
mod proposal;
mod splice;
#[cfg(test)]
mod tests;

pub use head::HEAD_KEY;
pub use head::HISTORY;
pub use head::Head;
pub use head::Past;
pub use message::Applied;
pub use message::ApplyRequest;
pub use message::Body;
pub use message::Held;
pub use message::HeldBy;
pub use message::Message;
pub use message::Shown;
pub use splice::Splice;
pub use splice::TextHash;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use self::head::Relation;
use self::proposal::Proposal;
use crate::clock::Millis;
use crate::control::AdminAnswer;
use crate::control::Cx;
use crate::control::Duty;
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

/// Texts kept in memory, for differences and merges.
const RECENT: usize = 4;
/// Time after which a call that never came back counts as lost, beyond what a
/// watch waits; every edge has a shorter limit of its own.
const CALL_LIMIT: Millis = Millis::from_secs(60);
/// Changes of operators that wait for their turn.
const MAX_WAITING: usize = 64;

/// Another instance whose heartbeats come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address for peers.
    pub addr: String,
    /// Its failure domain.
    pub domain: String,
    /// The revision that it told of.
    pub revision: Revision,
}

/// Periods of the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Periods {
    /// Mean time between two looks at the head.
    pub poll: Millis,
    /// Time that a watch waits in the service.
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

/// The revision that this instance has in force.
#[derive(Debug, Clone)]
struct Current {
    head: Head,
    text: Arc<str>,
    declaration: Arc<Declaration>,
}

/// A store call that is out.
#[derive(Debug)]
enum Call {
    Watch,
    Poll,
    /// The text of a head, to be taken over.
    Text(Box<Head>),
    /// A step of the proposal.
    Proposal,
    /// The text of an older revision, for an operator.
    Shown(u64, Box<Past>),
    /// Deletion of a text that nothing names any more.
    Prune,
}

/// The declarations of this instance, and its part in their spread.
#[derive(Debug)]
pub struct Spread {
    periods: Periods,
    current: Option<Current>,
    recent: VecDeque<(TextHash, Arc<str>)>,
    /// The highest revision that a peer told of.
    heard: Revision,
    news: bool,
    calls: BTreeMap<u64, (Millis, Call)>,
    next_call: u64,
    store_version: KeyVersion,
    watching: bool,
    watch_at: Millis,
    poll_at: Millis,
    pull_at: Millis,
    restore_at: Option<Millis>,
    proposal: Option<Proposal>,
    waiting: VecDeque<(u64, ApplyRequest)>,
}

impl Spread {
    /// Returns the duty of an instance that has no declarations yet.
    #[must_use]
    pub fn new(periods: Periods) -> Spread {
        Spread {
            periods,
            current: None,
            recent: VecDeque::new(),
            heard: Revision::default(),
            news: false,
            calls: BTreeMap::new(),
            next_call: 0,
            store_version: KeyVersion::default(),
            watching: false,
            watch_at: Millis::ZERO,
            poll_at: Millis::ZERO,
            pull_at: Millis::ZERO,
            restore_at: None,
            proposal: None,
            waiting: VecDeque::new(),
        }
    }

    /// Returns the declarations in force; none: nothing is known yet.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Declaration>> {
        self.current.as_ref().map(|current| &current.declaration)
    }

    /// Returns the revision in force; 0: none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.current
            .as_ref()
            .map_or(Revision(0), |current| current.head.newest.revision)
    }

    /// Returns the text in force.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        self.current.as_ref().map(|current| &*current.text)
    }

    fn text_hash(&self) -> TextHash {
        self.current
            .as_ref()
            .map_or(TextHash::default(), |current| current.head.newest.hash)
    }

    /// Returns the declarations that came into force since the last call.
    pub fn take_news(&mut self) -> Option<(Arc<Declaration>, Revision)> {
        if !std::mem::take(&mut self.news) {
            return None;
        }
        let current = self.current.as_ref()?;
        Some((
            Arc::clone(&current.declaration),
            current.head.newest.revision,
        ))
    }

    /// Watches, polls, pulls and goes on with changes; `watcher` says whether
    /// this instance is one of its failure domain's watchers.
    pub fn tick(&mut self, cx: &mut Cx<'_>, peers: &[Peer], watcher: bool) {
        let highest = peers.iter().map(|peer| peer.revision).max();
        self.heard = highest.unwrap_or_default();
        self.give_up_calls(cx);
        self.look(cx, watcher);
        self.pull(cx, peers);
        self.start_restore(cx);
        self.start_waiting(cx);
        self.go_on(cx);
    }

    /// Takes over the store's answer to one of this duty's calls.
    pub fn on_store(&mut self, cx: &mut Cx<'_>, ticket: Ticket, result: StoreResult) {
        let Some((_, call)) = self.calls.remove(&ticket.number) else {
            return;
        };
        match call {
            Call::Watch => self.on_watch(cx, result),
            Call::Poll => self.on_poll(cx, result),
            Call::Text(head) => self.on_text(cx, *head, result),
            Call::Proposal => self.on_proposal(cx, result),
            Call::Shown(ticket, past) => self.on_shown(cx, ticket, &past, result),
            Call::Prune => {}
        }
        self.start_waiting(cx);
    }

    /// Takes over a message of the instance `from` at `addr`.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &str, addr: &str, message: Message) {
        match message {
            Message::Pull { have, text } => self.answer_pull(cx, from, addr, have, text),
            Message::Newest { head, body } => self.on_newest(cx, *head, &body),
        }
    }

    /// Takes an operator's change; the admin ticket is answered once it is in
    /// force or refused.
    pub fn apply(&mut self, cx: &mut Cx<'_>, ticket: u64, request: ApplyRequest) {
        if let Err(refusal) = plan::check_request(&request) {
            return refuse(cx, ticket, refusal);
        }
        if self.waiting.len() >= MAX_WAITING {
            let text = "too many changes wait on this instance";
            let refusal = Refusal::not_run(Reason::Unavailable, text);
            return refuse(cx, ticket, refusal.retry_after(Millis::from_secs(1)));
        }
        self.waiting.push_back((ticket, request));
        self.start_waiting(cx);
    }

    /// Shows an operator the document in force, or an older one.
    pub fn show(&mut self, cx: &mut Cx<'_>, ticket: u64, revision: Option<Revision>) {
        let Some(current) = &self.current else {
            let text = "no declarations are known yet";
            return refuse(cx, ticket, Refusal::not_run(Reason::NotFound, text));
        };
        let revision = revision.unwrap_or(current.head.newest.revision);
        let past = current.head.all().find(|past| past.revision == revision);
        let Some(past) = past.cloned() else {
            let text = format!("revision {} is not kept", revision.0);
            return refuse(cx, ticket, Refusal::not_run(Reason::NotFound, text));
        };
        if let Some(text) = self.recent_text(past.hash) {
            return answer(cx, ticket, &shown(&past, &text));
        }
        let key = past.text_key();
        self.call(
            cx,
            Call::Shown(ticket, Box::new(past)),
            StoreOp::Get { key },
        );
    }

    /// Returns the revisions that are kept, newest first, without texts.
    #[must_use]
    pub fn history(&self) -> Vec<Shown> {
        let heads = self.current.iter().map(|current| &current.head);
        heads
            .flat_map(Head::all)
            .map(|past| shown(past, ""))
            .collect()
    }

    /// Returns which revisions this instance and its peers hold.
    #[must_use]
    pub fn held(&self, instance: &str, peers: &[Peer]) -> Held {
        let peers = peers.iter().map(|peer| HeldBy {
            instance: peer.name.clone(),
            domain: peer.domain.clone(),
            revision: peer.revision,
        });
        Held {
            instance: instance.to_owned(),
            revision: self.revision(),
            peers: peers.collect(),
        }
    }

    /// Takes a revision over if it follows the one in force; returns whether it
    /// is in force now. One that was accepted apart is not taken over, however
    /// high it is, but reunited through the store.
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
                self.restore_soon(cx);
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
        self.recent.push_front((hash, Arc::clone(&text)));
        self.recent.truncate(RECENT);
        self.current = Some(Current {
            head,
            text,
            declaration: Arc::new(declaration),
        });
        self.news = true;
        true
    }

    /// Returns a text kept in memory.
    fn recent_text(&self, hash: TextHash) -> Option<Arc<str>> {
        self.recent
            .iter()
            .find(|(known, _)| *known == hash)
            .map(|(_, text)| Arc::clone(text))
    }

    fn call(&mut self, cx: &mut Cx<'_>, call: Call, op: StoreOp) {
        self.next_call += 1;
        self.calls.insert(self.next_call, (cx.now, call));
        let ticket = Ticket {
            duty: Duty::Spread,
            number: self.next_call,
        };
        cx.store(ticket, op);
    }

    /// Counts calls that never came back as lost.
    fn give_up_calls(&mut self, cx: &mut Cx<'_>) {
        let limit = self.periods.watch + CALL_LIMIT;
        while let Some((&number, (since, _))) = self.calls.first_key_value() {
            if cx.now.since(*since) < limit {
                return;
            }
            let ticket = Ticket {
                duty: Duty::Spread,
                number,
            };
            self.on_store(cx, ticket, Err(StoreFailure::MayHaveRun));
        }
    }

    fn on_shown(&mut self, cx: &mut Cx<'_>, ticket: u64, past: &Past, result: StoreResult) {
        let entry = match result {
            Ok(StoreAnswer::Entry(entry)) => entry,
            _ => {
                let text = "the key-value service does not answer";
                let refusal = Refusal::not_run(Reason::Unavailable, text);
                return refuse(cx, ticket, refusal.retry_after(Millis::from_secs(1)));
            }
        };
        match entry.and_then(|entry| String::from_utf8(entry.value).ok()) {
            Some(text) => answer(cx, ticket, &shown(past, &text)),
            None => {
                let text = format!("the text of revision {} is gone", past.revision.0);
                refuse(cx, ticket, Refusal::not_run(Reason::NotFound, text));
            }
        }
    }
}

fn shown(past: &Past, text: &str) -> Shown {
    Shown {
        revision: past.revision,
        change: past.change.clone(),
        author: past.author.clone(),
        at: past.at,
        text: text.to_owned(),
    }
}

fn answer(cx: &mut Cx<'_>, ticket: u64, value: &impl serde::Serialize) {
    let answer = AdminAnswer::json(value);
    cx.out.push(Output::Admin { ticket, answer });
}

fn refuse(cx: &mut Cx<'_>, ticket: u64, refusal: Refusal) {
    let answer = AdminAnswer::Refused(refusal);
    cx.out.push(Output::Admin { ticket, answer });
}
