//! Reads the platform's store and watches it for changes.
//!
//! Every instance watches the operators' keys, so that changes arrive
//! immediately. A few instances, those with [`Watching::Closely`], watch with a
//! short wait, because each response also proves how recent the known
//! configuration is. They also watch the backend servers' entries and broadcast
//! changes to all other instances, which read the entries themselves only
//! occasionally. So the load on the store grows little with the number of
//! instances.
//! [`revisions::RevisionTracker`] keeps what was read apart from what is older.

mod cursor;
mod revisions;

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http::StatusCode;
use tokio::sync::watch;
use tokio::time::sleep;

use self::cursor::Cursor;
use self::cursor::Next;
pub use self::revisions::RevisionTracker;
use crate::adapter::store;
use crate::adapter::store::Call;
use crate::adapter::store::Change;
use crate::adapter::store::Part;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::gateway::instances::Item;
use crate::gateway::instances::Member;
use crate::gateway::message::Input;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;
use crate::gateway::message::Watching;
use crate::gateway::store_client;
use crate::gateway::store_client::FetchError;
use crate::gateway::upstream::Upstream;

/// Wait time of a close watch. Short enough that its freshness proof, passed on
/// with a heartbeat, is younger than the time limit for applying a
/// configuration change, and that a half-open connection is detected before a
/// draining server must receive no more requests.
const CLOSE_WATCH_WAIT: Millis = Millis(600);
/// Wait time of a close watch shortly after the store returned from an older copy,
/// when only a query that was sent late enough proves something.
const SETTLING_WATCH_WAIT: Millis = Millis(200);
/// Time for which that wait time applies; longer than the time in which operators
/// write again what the store has lost.
const SETTLING_TIME: Millis = Millis(2_500);
/// Wait time of other watches; the store allows 30 s.
const LOOSE_WATCH_WAIT: Millis = Millis(29_000);
/// Interval at which an instance that does not watch the entries of servers and
/// instances reads them, in case broadcasts were lost.
const REREAD_INTERVAL: Duration = Duration::from_secs(10);
/// Time in which the response to a call has to begin, in addition to its wait time;
/// the store responds within milliseconds.
const HEAD_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed call; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay between calls; short, so that a recovered store is noticed
/// soon.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum delay of an instance that does not watch closely; it learns from
/// other instances that the store has recovered.
const MAX_LOOSE_BACKOFF: Duration = Duration::from_secs(2);
/// Delay after startup until the entries of instances are read again; by then those
/// that started together have registered.
const INSTANCES_REREAD_DELAY: Duration = Duration::from_millis(1_000);
/// Delay after that until the entries of backend servers are read again.
const SERVERS_REREAD_DELAY: Duration = Duration::from_millis(1_000);
/// Minimum time between two fetches of missing changes of entries: limits the calls
/// while more servers start than changes can be forwarded. With two heartbeats of a
/// watcher before it, of which one may be lost, it stays below the shortest time in
/// which a draining server must stop receiving requests.
pub const MIN_FETCH_INTERVAL: Millis = Millis(500);
/// Wait time of a watch for changes that are known to exist; the shortest one.
const FETCH_WAIT: Millis = Millis(1);
/// Lifetime of an instance's entry without renewal.
const ENTRY_TTL: Millis = Millis(30_000);
/// Interval at which the entry is renewed.
const ENTRY_RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Reads and watches the store and feeds the [`RevisionTracker`].
#[derive(Debug, Clone)]
pub struct StoreWatcher {
    /// Address of the store, which may change.
    addr: watch::Receiver<String>,
    upstream: Upstream,
    clock: Clock,
    inputs: Sender<Input>,
    revisions: RevisionTracker,
    watching: watch::Receiver<Watching>,
}

/// Why a store call failed.
#[derive(Debug)]
enum StoreError {
    /// The store no longer has the history that a watch needs.
    Compacted,
    /// The store has returned from an older copy since the position to continue
    /// from was read.
    Restored,
    /// The address of the store has changed.
    Moved,
    /// The store does not have what the call names.
    NotFound,
    /// The store responded, and the response is too large or none that is known:
    /// the same call gets the same again.
    Unreadable(String),
    /// The response began and did not arrive completely.
    Incomplete(String),
    /// The store did not respond, or turned the call away.
    Unavailable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Compacted => f.write_str("the store dropped its history"),
            StoreError::Restored => f.write_str("the store returned from an older copy"),
            StoreError::Moved => f.write_str("the store has another address"),
            StoreError::NotFound => f.write_str("the store does not have it"),
            StoreError::Unreadable(cause)
            | StoreError::Incomplete(cause)
            | StoreError::Unavailable(cause) => f.write_str(cause),
        }
    }
}

impl From<FetchError> for StoreError {
    fn from(error: FetchError) -> StoreError {
        let cause = error.to_string();
        match error {
            FetchError::NoResponse(_) => StoreError::Unavailable(cause),
            FetchError::Incomplete(_) => StoreError::Incomplete(cause),
            FetchError::TooLarge => StoreError::Unreadable(cause),
        }
    }
}

impl StoreWatcher {
    /// Returns a watcher that has not read anything yet.
    #[must_use]
    pub fn new(
        addr: watch::Receiver<String>,
        upstream: Upstream,
        clock: Clock,
        inputs: Sender<Input>,
        revisions: RevisionTracker,
        watching: watch::Receiver<Watching>,
    ) -> StoreWatcher {
        StoreWatcher {
            addr,
            upstream,
            clock,
            inputs,
            revisions,
            watching,
        }
    }

    /// Watches the operators' keys until the process ends.
    pub async fn watch_operator_keys(mut self) {
        let mut cursor = Cursor::default();
        let mut backoff = MIN_BACKOFF;
        let mut era = self.revisions.era.subscribe();
        let mut last_era = StoreEra::default();
        let mut settled_at = Millis::ZERO;
        let mut addr = self.addr.clone();
        loop {
            let watching = *self.watching.borrow_and_update();
            let known_era = era.borrow_and_update().unwrap_or_default();
            if known_era != last_era {
                last_era = known_era;
                settled_at = self.clock.now() + SETTLING_TIME;
            }
            let next = cursor.next(known_era);
            let close_wait = match self.clock.now() < settled_at {
                true => SETTLING_WATCH_WAIT,
                false => CLOSE_WATCH_WAIT,
            };
            // After a failure, a short wait detects soon that the store has
            // recovered.
            let has_short_wait = watching.has_short_waits() || cursor.has_failed();
            let watcher = self.clone();
            let call = async {
                match next {
                    Next::Read(limit) => watcher.read(Part::Operators, false, limit).await,
                    Next::Watch(after) if has_short_wait => {
                        watcher.watch(Part::Operators, after, close_wait).await
                    }
                    Next::Watch(after) => tokio::select! {
                        result = watcher.watch(Part::Operators, after, LOOSE_WATCH_WAIT) => result,
                        _ = self.watching.changed() => Ok(after),
                    },
                }
            };
            let result = tokio::select! {
                result = until_restored(call, next, &mut era) => result,
                Ok(()) = addr.changed() => Err(StoreError::Moved),
            };
            self.finish_call(result, next, &mut cursor, &mut backoff)
                .await;
        }
    }

    /// Watches the servers' entries, or regularly reads those of servers and
    /// instances, until the process ends.
    pub async fn watch_entries(mut self) {
        let mut cursor = Cursor::default();
        let mut backoff = MIN_BACKOFF;
        let mut fetched_at = Millis::ZERO;
        let mut era = self.revisions.era.subscribe();
        let mut addr = self.addr.clone();
        loop {
            let watching = *self.watching.borrow_and_update();
            let known_era = era.borrow_and_update().unwrap_or_default();
            let next = cursor.next(known_era);
            let watcher = self.clone();
            let call = async {
                match (next, watching) {
                    (Next::Read(limit), _) => watcher.read_entries(false, limit).await,
                    (Next::Watch(after), Watching::Closely | Watching::ForItself) => {
                        watcher.watch(Part::Servers, after, CLOSE_WATCH_WAIT).await
                    }
                    (Next::Watch(after), Watching::Loosely) => tokio::select! {
                        () = sleep(REREAD_INTERVAL) => watcher.read_entries(true, HEAD_TIMEOUT).await,
                        // The instance now watches closely: start from the current
                        // state.
                        _ = self.watching.changed() => {
                            watcher.read(Part::Servers, false, HEAD_TIMEOUT).await
                        }
                        () = watcher.revisions.missing_change.notified() => {
                            let since = self.clock.now().since(fetched_at);
                            sleep((MIN_FETCH_INTERVAL - since.min(MIN_FETCH_INTERVAL)).as_duration()).await;
                            fetched_at = self.clock.now();
                            watcher.revisions.reset_mismatches();
                            let after = after.max(watcher.revisions.entries_known_to());
                            watcher.watch(Part::Servers, after, FETCH_WAIT).await
                        }
                    },
                }
            };
            let result = tokio::select! {
                result = until_restored(call, next, &mut era) => result,
                Ok(()) = addr.changed() => Err(StoreError::Moved),
            };
            self.finish_call(result, next, &mut cursor, &mut backoff)
                .await;
        }
    }

    /// Records the result of a call, and waits if it failed.
    async fn finish_call(
        &self,
        result: Result<StorePosition, StoreError>,
        call: Next,
        cursor: &mut Cursor,
        backoff: &mut Duration,
    ) {
        cursor.record(&result);
        match result {
            Ok(_) => *backoff = MIN_BACKOFF,
            Err(StoreError::Compacted) => {
                log::warn!(call:? = call; "store dropped its history; its items are read again");
            }
            Err(StoreError::Moved) => *backoff = MIN_BACKOFF,
            // A stale read may show the era before for a while.
            Err(StoreError::Restored) => sleep(MIN_BACKOFF).await,
            Err(StoreError::Unreadable(cause)) if matches!(call, Next::Watch(_)) => {
                log::warn!(call:? = call, cause = cause; "changes in the store cannot be read; its items are read again");
                sleep(MIN_BACKOFF).await;
            }
            Err(error) => {
                log::warn!(cause:% = error, pause_ms = backoff.as_millis() as u64; "store call failed");
                // Sending fails only during process exit.
                let _ = self.inputs.send(Input::StoreCallFailed);
                let watching = *self.watching.borrow();
                sleep(*backoff).await;
                *backoff = (*backoff * 2).min(match watching {
                    Watching::Closely | Watching::ForItself => MAX_BACKOFF,
                    Watching::Loosely => MAX_LOOSE_BACKOFF,
                });
            }
        }
    }

    /// Reads the entries of servers and instances again after all instances
    /// that started together have registered.
    pub async fn reread_after_startup(self) {
        let reads = [
            (INSTANCES_REREAD_DELAY, Part::Instances),
            (SERVERS_REREAD_DELAY, Part::Servers),
        ];
        for (delay, part) in reads {
            sleep(delay).await;
            if let Err(error) = self.read(part, false, HEAD_TIMEOUT).await {
                log::warn!(part:? = part, cause:% = error; "entries not read; they are read again with the next heartbeats");
            }
        }
    }

    async fn read_entries(
        &self,
        allow_stale: bool,
        head_limit: Duration,
    ) -> Result<StorePosition, StoreError> {
        let position = self.read(Part::Servers, allow_stale, head_limit).await?;
        match self.read(Part::Instances, true, head_limit).await {
            // A stale answer from before the store's return. Heartbeats tell which
            // instances live.
            Err(StoreError::Restored) => {}
            result => {
                result?;
            }
        }
        Ok(position)
    }

    /// Reads a part completely; returns the position from which it can be
    /// watched. A stale read may return a state that is seconds old.
    async fn read(
        &self,
        part: Part,
        allow_stale: bool,
        head_limit: Duration,
    ) -> Result<StorePosition, StoreError> {
        let queried_at = self.clock.now();
        let mut changes = Vec::new();
        let mut first_position = None;
        let mut after: Option<String> = None;
        loop {
            let call = store::range(part, after.as_deref(), allow_stale);
            let (era, body) = self.call(&call, head_limit).await?;
            let page = decode(&body)?;
            // Pages are not a consistent snapshot: changes made between them
            // are delivered by the watch.
            let position = *first_position.get_or_insert(StorePosition {
                era,
                revision: page.revision,
            });
            if era != position.era {
                return Err(StoreError::Restored);
            }
            after = page.changes.last().map(|change| change.key.clone());
            changes.extend(page.changes);
            if page.more && after.is_some() {
                continue;
            }
            changes.extend(self.revisions.missing_removals(part, &changes, position));
            if !allow_stale {
                self.report_answer(part, queried_at);
            }
            let new_changes = self
                .revisions
                .apply(era, changes, freshness_proof(part, queried_at));
            if !allow_stale {
                self.revisions.record_read(part, position);
            }
            self.forward(part, era, new_changes);
            if !allow_stale {
                self.report_entries_read(part, queried_at);
            }
            return Ok(position);
        }
    }

    async fn watch(
        &self,
        part: Part,
        after: StorePosition,
        wait: Millis,
    ) -> Result<StorePosition, StoreError> {
        let queried_at = self.clock.now();
        let limit = HEAD_TIMEOUT + wait.as_duration();
        let call = store::watch(part, after.revision, wait);
        let (era, body) = self.call(&call, limit).await?;
        if era != after.era {
            return Err(StoreError::Restored);
        }
        let page = decode(&body)?;
        let proved_at = freshness_proof(part, queried_at);
        self.report_answer(part, queried_at);
        self.revisions.apply(era, page.changes.clone(), proved_at);
        // Also those that another instance has forwarded: it may not reach the same
        // instances as this one.
        self.forward(part, era, page.changes);
        let position = StorePosition {
            era,
            revision: page.revision.max(after.revision),
        };
        self.revisions.record_read(part, position);
        self.report_entries_read(part, queried_at);
        Ok(position)
    }

    /// Forwards changes of backend servers' entries to all other instances if this
    /// one watches for them.
    fn forward(&self, part: Part, era: StoreEra, changes: Vec<Change>) {
        if part != Part::Servers || *self.watching.borrow() != Watching::Closely {
            return;
        }
        let items: Vec<Item> = changes
            .into_iter()
            .map(|change| Item {
                key: change.key,
                revision: change.revision,
                value: change.value.map(|value| value.to_vec()),
                era,
            })
            .collect();
        if !items.is_empty() {
            // Sending fails only during process exit.
            let _ = self.inputs.send(Input::ForwardItems(items));
        }
    }

    /// Tells the core that the store has answered, unless the answer is a proof, which
    /// says so itself.
    fn report_answer(&self, part: Part, queried_at: Millis) {
        if part == Part::Servers {
            // Sending fails only during process exit.
            let _ = self.inputs.send(Input::EntriesAnswered(queried_at));
        }
    }

    /// Tells the core that the entries of backend servers are known, if this instance
    /// watches them for all.
    fn report_entries_read(&self, part: Part, queried_at: Millis) {
        if part == Part::Servers && *self.watching.borrow() == Watching::Closely {
            // Sending fails only during process exit.
            let _ = self.inputs.send(Input::EntriesRead {
                queried_at,
                entries: self.revisions.complete_entries(),
            });
        }
    }

    /// Registers this instance in the store and renews its entry until the process
    /// ends.
    pub async fn maintain_entry(self, member: Member) {
        let mut backoff = MIN_BACKOFF;
        let mut era = self.revisions.era.subscribe();
        loop {
            match self.write_entry(&member).await {
                Ok((lease, lease_era)) => {
                    backoff = MIN_BACKOFF;
                    tokio::select! {
                        () = self.renew_until_expired(lease) => {}
                        // The entry may be lost, and the lease may now be another
                        // instance's.
                        _ = era.wait_for(|era| era.unwrap_or_default() != lease_era) => {}
                    }
                    log::info!(lease = lease; "entry of this instance is written again: its lease is over");
                }
                Err(error) => {
                    log::warn!(cause:% = error; "entry of this instance not written");
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Writes this instance's entry under a new lease; returns the lease and its era.
    async fn write_entry(&self, member: &Member) -> Result<(u64, StoreEra), StoreError> {
        let (lease_era, body) = self
            .call(&store::grant_lease(ENTRY_TTL), HEAD_TIMEOUT)
            .await?;
        let lease = store::decode_lease(&body)
            .map_err(|error| StoreError::Unreadable(error.to_string()))?;
        let (era, _) = self
            .call(&store::register(member, lease), HEAD_TIMEOUT)
            .await?;
        match era == lease_era {
            true => Ok((lease, era)),
            false => Err(StoreError::Restored),
        }
    }

    /// Renews a store lease until it expires.
    async fn renew_until_expired(&self, lease: u64) {
        loop {
            sleep(ENTRY_RENEWAL_INTERVAL).await;
            match self.call(&store::renew_lease(lease), HEAD_TIMEOUT).await {
                Err(StoreError::NotFound) => return,
                Ok(_) => {}
                Err(error) => log::info!(error:% = error; "entry of this instance not renewed"),
            }
        }
    }

    /// Makes a call whose response has to begin in time; returns the era and the
    /// body of the response.
    async fn call(
        &self,
        call: &Call,
        head_limit: Duration,
    ) -> Result<(StoreEra, Bytes), StoreError> {
        let addr = self.addr.borrow().clone();
        let response = store_client::fetch(&self.upstream, &addr, call, head_limit).await?;
        let era = self.revisions.observe_era(response.headers())?;
        match response.status() {
            StatusCode::OK => Ok((era, response.into_body())),
            StatusCode::GONE => Err(StoreError::Compacted),
            StatusCode::NOT_FOUND => Err(StoreError::NotFound),
            status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::Unavailable(format!("status {status}")))
            }
            status => Err(StoreError::Unreadable(format!("status {status}"))),
        }
    }
}

/// Returns the time of a query as a freshness proof; only reads of the
/// operators' part prove that the configuration is current.
fn freshness_proof(part: Part, queried_at: Millis) -> Option<Millis> {
    (part == Part::Operators).then_some(queried_at)
}

fn decode(bytes: &[u8]) -> Result<store::Page, StoreError> {
    store::decode_page(bytes).map_err(|error| StoreError::Unreadable(error.to_string()))
}

/// Awaits a call until the store is known to be in another era. A read needs no
/// position and is not ended.
async fn until_restored(
    call: impl Future<Output = Result<StorePosition, StoreError>>,
    next: Next,
    era: &mut watch::Receiver<Option<StoreEra>>,
) -> Result<StorePosition, StoreError> {
    if matches!(next, Next::Read(_)) {
        return call.await;
    }
    tokio::select! {
        result = call => result,
        _ = era.changed() => Err(StoreError::Restored),
    }
}
