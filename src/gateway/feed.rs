//! Reading the platform's store.
//!
//! Every instance watches what operators write, so that changes arrive at once.
//! A few of them, those that are [`Watching::Closely`], ask again after a short
//! wait, as each answer also proves how fresh the configuration is, and watch
//! the backend servers' entries; they pass on what they learn to all others,
//! which read the entries themselves only now and then. So the store's load
//! grows little with the number of instances.
//!
//! [`Ledger`] keeps the newest revision of each key, from whoever it comes, and
//! lets no older state pass.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::adapter::store;
use crate::adapter::store::Call;
use crate::adapter::store::Change;
use crate::adapter::store::Part;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::gateway::instances::Item;
use crate::gateway::instances::Member;
use crate::gateway::message::Input;
use crate::gateway::message::Watching;
use crate::gateway::upstream::CallError;
use crate::gateway::upstream::Upstream;

/// Time that a close watch waits in the store: its proof, passed on with a
/// heartbeat, is still younger than a change of the configuration may take, and
/// a connection that has gone silent is noticed before a leaving server must
/// get nothing more.
const CLOSE_WAIT: Millis = Millis(600);
/// Time that any other watch waits; the store allows 30 s.
const LONG_WAIT: Millis = Millis(29_000);
/// Period at which entries of servers and instances are read by an instance
/// that does not watch them, against lost messages of others.
const REREAD_PERIOD: Duration = Duration::from_secs(10);
/// Time limit of a call beyond what it waits; the store answers in ms.
const CALL_LIMIT: Duration = Duration::from_millis(700);
/// Pause after a failed call; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between calls: a store that is back is seen soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// The same of an instance that does not watch closely: others tell it.
const LONGEST_LOOSE_PAUSE: Duration = Duration::from_secs(2);
/// Time after the start at which all entries are read once more, when all that
/// started together have written theirs.
const ENTRIES_SETTLED: Duration = Duration::from_millis(1_000);
/// Shortest time between two readings of entries that differ from others'.
const REPAIR_PERIOD: Millis = Millis(3_000);
/// Life of an instance's entry without renewal.
const ENTRY_TTL: Millis = Millis(30_000);
/// Period at which the entry is renewed.
const ENTRY_RENEWAL: Duration = Duration::from_secs(10);
/// Greatest item that is passed on in a datagram, in bytes.
const MAX_ITEM_BYTES: usize = 1_000;

/// Newest revision of each key, and who is told of changes.
#[derive(Debug, Clone)]
pub struct Ledger {
    keys: Rc<RefCell<Keys>>,
    inputs: Sender<Input>,
    differs: Rc<Notify>,
}

#[derive(Debug, Default)]
struct Keys {
    /// Revision of each key's newest change, and whether it exists.
    seen: HashMap<String, (u64, bool)>,
    config_revision: u64,
    /// Of the backend servers' entries that exist and their revisions.
    entries_digest: u64,
    /// Heartbeats in a row that told another digest.
    differences: u32,
}

/// Heartbeats that tell another digest before entries are read again: a message
/// may still be on its way at the first. With a single watcher they take a
/// second, half of the time after which a leaving server must get nothing.
const DIFFERENCES: u32 = 2;

impl Ledger {
    /// Returns a ledger that knows nothing.
    #[must_use]
    pub fn new(inputs: Sender<Input>) -> Ledger {
        Ledger {
            keys: Rc::default(),
            inputs,
            differs: Rc::default(),
        }
    }

    /// Takes over changes, and passes on those that are new. `proved_at` is when
    /// the store was asked, if the changes prove that the operators' part is
    /// known as of then. Returns the changes that were new.
    pub fn take(&self, changes: Vec<Change>, proved_at: Option<Millis>) -> Vec<Change> {
        let mut facts = Vec::new();
        let mut fresh = Vec::new();
        let mut keys = self.keys.borrow_mut();
        for change in changes {
            let known = keys
                .seen
                .get(&change.key)
                .map_or(0, |(revision, _)| *revision);
            if change.revision <= known {
                continue;
            }
            let exists = change.value.is_some();
            if Part::Servers.holds(&change.key) {
                if let Some(&(before, true)) = keys.seen.get(&change.key) {
                    keys.entries_digest ^= digest(&change.key, before);
                }
                if exists {
                    keys.entries_digest ^= digest(&change.key, change.revision);
                }
            }
            keys.seen
                .insert(change.key.clone(), (change.revision, exists));
            if Part::Operators.holds(&change.key) {
                keys.config_revision = keys.config_revision.max(change.revision);
            }
            match store::fact(&change) {
                Ok(Some(fact)) => facts.push(fact),
                Ok(None) => {}
                Err(error) => {
                    log::warn!(error:% = error, revision = change.revision; "item ignored");
                }
            }
            fresh.push(change);
        }
        if !facts.is_empty() || proved_at.is_some() {
            let input = Input::Facts {
                proved_at,
                config_revision: keys.config_revision,
                entries_digest: keys.entries_digest,
                facts,
            };
            // The control thread ends only with the process.
            let _ = self.inputs.send(input);
        }
        fresh
    }

    /// Takes over another instance's word.
    pub fn take_item(&self, item: Item) {
        let change = Change {
            key: item.key,
            revision: item.revision,
            value: item.value.map(Bytes::from),
        };
        self.take(vec![change], None);
    }

    /// Returns the digest of the backend servers' entries.
    #[must_use]
    pub fn entries_digest(&self) -> u64 {
        self.keys.borrow().entries_digest
    }

    /// Compares the backend servers' entries with those of an instance that
    /// watches them. If they differ for longer than a message may be on its way,
    /// a message was lost, and they have to be read again; returns whether this
    /// was found now.
    pub fn compare(&self, theirs: u64) -> bool {
        let mut keys = self.keys.borrow_mut();
        if keys.entries_digest == theirs {
            keys.differences = 0;
            return false;
        }
        keys.differences += 1;
        let found = keys.differences == DIFFERENCES;
        if found {
            log::warn!(
                "entries of backend servers differ from another instance's; they are read again"
            );
            self.differs.notify_one();
        }
        found
    }

    /// Starts comparing anew, after entries have been read.
    fn forget_differences(&self) {
        self.keys.borrow_mut().differences = 0;
    }

    /// Returns removals of the keys of a part that a reading as of `revision`
    /// does not name any more.
    fn absent(&self, part: Part, named: &[Change], revision: u64) -> Vec<Change> {
        let named: HashSet<&str> = named.iter().map(|change| change.key.as_str()).collect();
        let keys = self.keys.borrow();
        keys.seen
            .iter()
            .filter(|(key, (seen, exists))| {
                *exists && *seen < revision && part.holds(key) && !named.contains(key.as_str())
            })
            .map(|(key, _)| Change {
                key: key.clone(),
                revision,
                value: None,
            })
            .collect()
    }
}

/// Reads the store and tells the ledger.
#[derive(Debug, Clone)]
pub struct Feed {
    addr: String,
    upstream: Upstream,
    clock: Clock,
    inputs: Sender<Input>,
    ledger: Ledger,
    watching: watch::Receiver<Watching>,
}

/// Why the store gave nothing.
enum FeedError {
    /// The history that a watch needs is gone.
    Compacted,
    Call(String),
}

impl Feed {
    /// Returns a feed that has read nothing.
    #[must_use]
    pub fn new(
        addr: String,
        upstream: Upstream,
        clock: Clock,
        inputs: Sender<Input>,
        ledger: Ledger,
        watching: watch::Receiver<Watching>,
    ) -> Feed {
        Feed {
            addr,
            upstream,
            clock,
            inputs,
            ledger,
            watching,
        }
    }

    /// Watches what operators write until the process ends.
    pub async fn watch_operators(mut self) {
        let mut revision = None;
        let mut pause = FIRST_PAUSE;
        loop {
            let watching = *self.watching.borrow_and_update();
            let feed = self.clone();
            let result = match (revision, watching) {
                (None, _) => feed.read(Part::Operators, false).await,
                // After a failure, a short wait shows soon that the store is back.
                (Some(after), _) if watching == Watching::Closely || pause > FIRST_PAUSE => {
                    feed.watch(Part::Operators, after, CLOSE_WAIT).await
                }
                (Some(after), _) => tokio::select! {
                    result = feed.watch(Part::Operators, after, LONG_WAIT) => result,
                    _ = self.watching.changed() => Ok(after),
                },
            };
            revision = self.next(result, revision, &mut pause).await;
        }
    }

    /// Follows the entries of servers and instances until the process ends.
    pub async fn watch_entries(mut self) {
        let mut revision = None;
        let mut pause = FIRST_PAUSE;
        let mut repaired_at = Millis::ZERO;
        loop {
            let watching = *self.watching.borrow_and_update();
            let feed = self.clone();
            let result = match (revision, watching) {
                (None, _) => feed.read_entries(false).await,
                (Some(after), Watching::Closely) => {
                    feed.watch(Part::Servers, after, CLOSE_WAIT).await
                }
                (Some(_), Watching::Loosely) => tokio::select! {
                    () = sleep(REREAD_PERIOD) => feed.read_entries(true).await,
                    // Now it watches, from what is there now.
                    _ = self.watching.changed() => feed.read(Part::Servers, false).await,
                    () = feed.ledger.differs.notified() => {
                        let since = self.clock.now().since(repaired_at);
                        sleep((REPAIR_PERIOD - since.min(REPAIR_PERIOD)).as_duration()).await;
                        repaired_at = self.clock.now();
                        feed.ledger.forget_differences();
                        feed.read(Part::Servers, false).await
                    }
                },
            };
            revision = self.next(result, revision, &mut pause).await;
        }
    }

    /// Returns the revision to go on from, after a pause if a call failed.
    async fn next(
        &self,
        result: Result<u64, FeedError>,
        before: Option<u64>,
        pause: &mut Duration,
    ) -> Option<u64> {
        match result {
            Ok(next) => {
                *pause = FIRST_PAUSE;
                Some(next)
            }
            Err(FeedError::Compacted) => {
                log::warn!(revision = before.unwrap_or_default(); "store dropped its history; its items are read again");
                None
            }
            Err(FeedError::Call(cause)) => {
                log::warn!(cause = cause.as_str(), pause_ms = pause.as_millis() as u64; "store call failed");
                // The control thread ends only with the process.
                let _ = self.inputs.send(Input::StoreLost);
                let watching = *self.watching.borrow();
                sleep(*pause).await;
                *pause = (*pause * 2).min(match watching {
                    Watching::Closely => LONGEST_PAUSE,
                    Watching::Loosely => LONGEST_LOOSE_PAUSE,
                });
                before
            }
        }
    }

    /// Reads the entries of servers and instances once all that started together
    /// are listed.
    pub async fn read_settled_entries(self) {
        sleep(ENTRIES_SETTLED).await;
        for part in [Part::Instances, Part::Servers] {
            if let Err(FeedError::Call(cause)) = self.read(part, false).await {
                log::warn!(part:? = part, cause = cause.as_str(); "entries not read; they are read again with the next heartbeats");
            }
        }
    }

    async fn read_entries(&self, stale: bool) -> Result<u64, FeedError> {
        let revision = self.read(Part::Servers, stale).await?;
        self.read(Part::Instances, true).await?;
        Ok(revision)
    }

    /// Reads a part whole; returns the revision from which on it can be watched.
    async fn read(&self, part: Part, stale: bool) -> Result<u64, FeedError> {
        let asked_at = self.clock.now();
        let mut changes = Vec::new();
        let mut first_revision = None;
        let mut after: Option<String> = None;
        loop {
            let call = store::read(part, after.as_deref(), stale);
            let page = decode(&self.call(&call, CALL_LIMIT).await?)?;
            // Pages are no snapshot: what changes between them is watched.
            let revision = *first_revision.get_or_insert(page.revision);
            after = page.changes.last().map(|change| change.key.clone());
            changes.extend(page.changes);
            if page.more && after.is_some() {
                continue;
            }
            changes.extend(self.ledger.absent(part, &changes, revision));
            let fresh = self.ledger.take(changes, proof(part, asked_at));
            if part == Part::Servers && *self.watching.borrow() == Watching::Closely {
                self.pass_on(fresh);
            }
            return Ok(revision);
        }
    }

    async fn watch(&self, part: Part, after: u64, wait: Millis) -> Result<u64, FeedError> {
        let asked_at = self.clock.now();
        let limit = CALL_LIMIT + wait.as_duration();
        let page = decode(&self.call(&store::watch(part, after, wait), limit).await?)?;
        let fresh = self.ledger.take(page.changes, proof(part, asked_at));
        if part == Part::Servers {
            self.pass_on(fresh);
        }
        Ok(page.revision.max(after))
    }

    /// Has changes told to all other instances.
    fn pass_on(&self, changes: Vec<Change>) {
        for change in changes {
            if change
                .value
                .as_ref()
                .is_some_and(|value| value.len() > MAX_ITEM_BYTES)
            {
                continue;
            }
            let item = Item {
                key: change.key,
                revision: change.revision,
                value: change.value.map(|value| value.to_vec()),
            };
            // The control thread ends only with the process.
            let _ = self.inputs.send(Input::PassOn(item));
        }
    }

    async fn call(&self, call: &Call, limit: Duration) -> Result<Bytes, FeedError> {
        let answer = call_store(&self.upstream, &self.addr, call, limit).await;
        let answer = answer.map_err(|error| FeedError::Call(error.to_string()))?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            StatusCode::GONE => Err(FeedError::Compacted),
            status => Err(FeedError::Call(format!("status {status}"))),
        }
    }
}

/// Returns what an entry adds to the digest of all.
fn digest(key: &str, revision: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), revision)
}

/// Only the operators' part says how fresh the configuration is.
fn proof(part: Part, asked_at: Millis) -> Option<Millis> {
    (part == Part::Operators).then_some(asked_at)
}

/// Keeps this instance's entry in the store until the process ends.
pub async fn keep_entry(addr: Rc<String>, upstream: Upstream, member: Member) {
    let mut pause = FIRST_PAUSE;
    loop {
        match write_entry(&addr, &upstream, &member).await {
            Ok(lease) => {
                pause = FIRST_PAUSE;
                renew(&addr, &upstream, lease).await;
            }
            Err(cause) => {
                log::warn!(cause = cause.as_str(); "own entry not written");
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn write_entry(addr: &str, upstream: &Upstream, member: &Member) -> Result<u64, String> {
    let answer = call_store(upstream, addr, &store::grant_lease(ENTRY_TTL), CALL_LIMIT)
        .await
        .map_err(|error| error.to_string())?;
    let lease = store::decode_lease(answer.body()).map_err(|error| error.to_string())?;
    let answer = call_store(upstream, addr, &store::register(member, lease), CALL_LIMIT)
        .await
        .map_err(|error| error.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()));
    }
    Ok(lease)
}

/// Renews a lease until it has ended.
async fn renew(addr: &str, upstream: &Upstream, lease: u64) {
    loop {
        sleep(ENTRY_RENEWAL).await;
        let answer = call_store(upstream, addr, &store::renew_lease(lease), CALL_LIMIT).await;
        match answer {
            Ok(answer) if answer.status() == StatusCode::NOT_FOUND => return,
            Ok(_) => {}
            Err(error) => log::info!(error:% = error; "own entry not renewed"),
        }
    }
}

async fn call_store(
    upstream: &Upstream,
    addr: &str,
    call: &Call,
    limit: Duration,
) -> Result<http::Response<Bytes>, CallError> {
    let request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, addr)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(call.body.clone()))
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    upstream.call(addr, request, limit).await
}

fn decode(bytes: &[u8]) -> Result<store::Changes, FeedError> {
    store::decode_changes(bytes).map_err(|error| FeedError::Call(error.to_string()))
}
