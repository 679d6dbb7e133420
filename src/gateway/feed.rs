//! Reads the platform's store and watches it for changes.
//!
//! Every instance watches the operators' keys, so that changes arrive
//! immediately. A few instances, those with [`Watching::Closely`], watch with a
//! short wait, because each response also proves how recent the known
//! configuration is. They also watch the backend servers' entries and broadcast
//! changes to all other instances, which read the entries themselves only
//! occasionally. So the load on the store grows little with the number of
//! instances.
//!
//! [`RevisionTracker`] keeps the newest position of each key, whether it came
//! from the store or from another instance, and drops older changes. A position
//! names the store's era: when the store returns from an older copy it gives
//! revisions out again. All that was read before is then read again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http::HeaderMap;
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
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;
use crate::gateway::message::StoreUpdate;
use crate::gateway::message::Watching;
use crate::gateway::upstream::CallError;
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
/// Time limit of a call in addition to its wait time; the store responds within
/// milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
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
/// Minimum time between two reads of entries that are caused by a digest
/// mismatch.
const MIN_REPAIR_INTERVAL: Millis = Millis(3_000);
/// Lifetime of an instance's entry without renewal.
const ENTRY_TTL: Millis = Millis(30_000);
/// Interval at which the entry is renewed.
const ENTRY_RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum size of an item that is broadcast in a datagram, in bytes.
const MAX_ITEM_BYTES: usize = 1_000;

/// Tracks the newest revision of each key and forwards new changes to the core.
#[derive(Debug, Clone)]
pub struct RevisionTracker {
    state: Rc<RefCell<TrackerState>>,
    /// Newest known era of the store; `None` if it has named none.
    era: Rc<watch::Sender<Option<StoreEra>>>,
    inputs: Sender<Input>,
    digest_mismatch: Rc<Notify>,
}

#[derive(Debug, Default)]
struct TrackerState {
    /// Position of each key's newest change, and whether the key exists.
    keys: HashMap<String, (StorePosition, bool)>,
    /// Positions as of which whole parts were read: an unknown key of a part had
    /// no item then.
    reads: Vec<(Part, StorePosition)>,
    config_position: StorePosition,
    /// Version of the configuration that the store shows, if it can be decoded.
    shown_version: Option<u64>,
    /// Digest of the existing backend server entries and their revisions.
    entries_digest: u64,
    /// Consecutive heartbeats with a different digest.
    mismatches: u32,
}

impl TrackerState {
    /// Returns the position as of which the part of a key was read.
    fn read_at(&self, key: &str) -> StorePosition {
        let read = self.reads.iter().find(|(part, _)| part.contains(key));
        read.map_or(StorePosition::default(), |(_, position)| *position)
    }
}

/// Consecutive heartbeats with a different digest after which entries are read
/// again. More than one, because the broadcast of a change may still be in
/// transit at the first. With a single close watcher two heartbeats take one
/// second, half of the time within which a draining server must stop receiving
/// requests.
const MISMATCHES_UNTIL_REREAD: u32 = 2;

impl RevisionTracker {
    /// Returns a tracker without any keys.
    #[must_use]
    pub fn new(inputs: Sender<Input>) -> RevisionTracker {
        RevisionTracker {
            state: Rc::default(),
            era: Rc::new(watch::Sender::default()),
            inputs,
            digest_mismatch: Rc::default(),
        }
    }

    /// Applies changes that the store or another instance showed in `era`, and
    /// forwards those that are new to the core. `proved_at` is the time of the
    /// store query if it was for the operators' keys. Returns the new changes; none
    /// if the era is over.
    pub fn apply(
        &self,
        era: StoreEra,
        changes: Vec<Change>,
        proved_at: Option<Millis>,
    ) -> Vec<Change> {
        let mut updates = Vec::new();
        let mut new_changes = Vec::new();
        if era < self.era() {
            log::info!(
                era:% = era,
                known_era:% = self.era(),
                items = changes.len();
                "store items ignored: of an era before the store returned from an older copy"
            );
            return new_changes;
        }
        let mut state = self.state.borrow_mut();
        for change in changes {
            let position = StorePosition {
                era,
                revision: change.revision,
            };
            let known = state.keys.get(&change.key).copied();
            let known_position = known.map_or(state.read_at(&change.key), |(position, _)| position);
            if position <= known_position {
                if position < known_position {
                    log::info!(
                        key = change.key.as_str(),
                        revision = position.revision,
                        known_revision = known_position.revision,
                        era:% = era;
                        "store item ignored: older than the known one"
                    );
                }
                continue;
            }
            let exists = change.value.is_some();
            if Part::Servers.contains(&change.key) {
                if let Some((previous, true)) = known {
                    state.entries_digest ^= digest(&change.key, previous.revision);
                }
                if exists {
                    state.entries_digest ^= digest(&change.key, change.revision);
                }
            }
            state.keys.insert(change.key.clone(), (position, exists));
            if Part::Operators.contains(&change.key) {
                state.config_position = state.config_position.max(position);
            }
            let is_known_before_restore = known.is_some_and(|(known, _)| known.era < era);
            let decoded = store::decode_change(&change);
            if store::is_configuration(&change) {
                state.shown_version = match &decoded {
                    Ok(Some(StoreUpdate::Routes(routes))) => Some(routes.version),
                    _ => None,
                };
            }
            match decoded {
                Ok(Some(update)) if is_known_before_restore => {
                    updates.extend(update.after_restore());
                }
                Ok(Some(update)) => updates.push(update),
                Ok(None) => {}
                Err(error) => {
                    log::warn!(error:% = error, revision = change.revision; "store item ignored: cannot be decoded");
                }
            }
            new_changes.push(change);
        }
        if !updates.is_empty() || proved_at.is_some() {
            let input = Input::StoreUpdates {
                proved_at,
                shown_version: state.shown_version,
                config_position: state.config_position,
                entries_digest: state.entries_digest,
                updates,
            };
            // Sending fails only during process exit.
            let _ = self.inputs.send(input);
        }
        new_changes
    }

    /// Records that a part was read completely and applied. An item that is not
    /// newer and was not there had been removed before, as a stale read or an
    /// instance that was suspended may not know.
    pub fn record_read(&self, part: Part, position: StorePosition) {
        let mut state = self.state.borrow_mut();
        state.reads.retain(|(read, _)| *read != part);
        state.reads.push((part, position));
    }

    /// Returns the newest known era of the store; the first one if it has named
    /// none.
    fn era(&self) -> StoreEra {
        self.era.borrow().unwrap_or_default()
    }

    /// Returns the era that a response of the store names. If it is a new one, all
    /// positions are outdated: whoever waits for the store reads again.
    fn observe_era(&self, headers: &HeaderMap) -> Result<StoreEra, StoreError> {
        let known = self.era();
        let named = store::decode_era(headers).map_err(|error| call_error(&error))?;
        match named {
            // A store without eras never returns from a copy.
            None if known == StoreEra::default() => Ok(known),
            None => Err(call_error(&"the response names no era")),
            Some(era) if era < known => {
                log::info!(
                    era:% = era,
                    known_era:% = known;
                    "response of the store ignored: of an era before it returned from an older copy"
                );
                Err(StoreError::Restored)
            }
            Some(era) => {
                self.record_era(era, "the store");
                Ok(era)
            }
        }
    }

    /// Records the era that another instance knows. The first era is also what an
    /// instance reports that knows none.
    pub fn observe_peer_era(&self, era: StoreEra) {
        if era > StoreEra::default() {
            self.record_era(era, "another instance");
        }
    }

    fn record_era(&self, era: StoreEra, reported_by: &str) {
        let before = *self.era.borrow();
        if before.is_some_and(|before| era <= before) {
            return;
        }
        self.era.send_replace(Some(era));
        match before {
            Some(before) => log::warn!(
                era:% = era,
                before:% = before,
                config_revision = self.state.borrow().config_position.revision,
                reported_by = reported_by;
                "store returned from an older copy"
            ),
            None => {
                log::info!(era:% = era, reported_by = reported_by; "era of the store learned");
            }
        }
        let restored = before.is_some();
        // Sending fails only during process exit.
        let _ = self.inputs.send(Input::StoreEra { era, restored });
    }

    /// Applies a change broadcast by another instance.
    pub fn apply_item(&self, item: Item) {
        self.observe_peer_era(item.era);
        let change = Change {
            key: item.key,
            revision: item.revision,
            value: item.value.map(Bytes::from),
        };
        self.apply(item.era, vec![change], None);
    }

    /// Returns the digest of the backend servers' entries.
    #[must_use]
    pub fn entries_digest(&self) -> u64 {
        self.state.borrow().entries_digest
    }

    /// Compares the digest of the backend servers' entries with that of an
    /// instance that watches them. If they differ for longer than a broadcast
    /// may be in transit, a message was lost and a new read is triggered;
    /// returns whether this call triggered it. Digests of another era are not
    /// compared.
    pub fn compare_digest(&self, era: StoreEra, other_digest: u64) -> bool {
        if era != self.era() {
            return false;
        }
        let mut state = self.state.borrow_mut();
        if state.entries_digest == other_digest {
            state.mismatches = 0;
            return false;
        }
        state.mismatches += 1;
        let triggered = state.mismatches == MISMATCHES_UNTIL_REREAD;
        if triggered {
            log::warn!(
                "entries of backend servers differ from another instance's; they are read again"
            );
            self.digest_mismatch.notify_one();
        }
        triggered
    }

    /// Resets the count of mismatches after the entries have been read.
    fn reset_mismatches(&self) {
        self.state.borrow_mut().mismatches = 0;
    }

    /// Returns removals for the known keys of a part that are missing from a
    /// read as of `read_at`. A key of an earlier era gets revision 0, as it is not
    /// known when it was removed: any later change of it counts as newer.
    fn missing_removals(
        &self,
        part: Part,
        listed: &[Change],
        read_at: StorePosition,
    ) -> Vec<Change> {
        let listed: HashSet<&str> = listed.iter().map(|change| change.key.as_str()).collect();
        let state = self.state.borrow();
        state
            .keys
            .iter()
            .filter(|(key, (known, exists))| {
                *exists && *known < read_at && part.contains(key) && !listed.contains(key.as_str())
            })
            .map(|(key, (known, _))| Change {
                key: key.clone(),
                revision: match known.era == read_at.era {
                    true => read_at.revision,
                    false => 0,
                },
                value: None,
            })
            .collect()
    }
}

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
    Call(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Compacted => f.write_str("the store dropped its history"),
            StoreError::Restored => f.write_str("the store returned from an older copy"),
            StoreError::Moved => f.write_str("the store has another address"),
            StoreError::NotFound => f.write_str("the store does not have it"),
            StoreError::Call(cause) => f.write_str(cause),
        }
    }
}

fn call_error(cause: &impl ToString) -> StoreError {
    StoreError::Call(cause.to_string())
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
        let mut position = None;
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
            let position_before = position_in(position, known_era);
            let close_wait = match self.clock.now() < settled_at {
                true => SETTLING_WATCH_WAIT,
                false => CLOSE_WATCH_WAIT,
            };
            let watcher = self.clone();
            let call = async {
                match (position_before, watching) {
                    (None, _) => watcher.read(Part::Operators, false).await,
                    // After a failure, a short wait detects soon that the store has
                    // recovered.
                    (Some(after), _) if watching.has_short_waits() || backoff > MIN_BACKOFF => {
                        watcher.watch(Part::Operators, after, close_wait).await
                    }
                    (Some(after), _) => tokio::select! {
                        result = watcher.watch(Part::Operators, after, LOOSE_WATCH_WAIT) => result,
                        _ = self.watching.changed() => Ok(after),
                    },
                }
            };
            let result = tokio::select! {
                result = until_restored(call, position_before, &mut era) => result,
                Ok(()) = addr.changed() => Err(StoreError::Moved),
            };
            position = self
                .next_position(result, position_before, &mut backoff)
                .await;
        }
    }

    /// Watches the servers' entries, or regularly reads those of servers and
    /// instances, until the process ends.
    pub async fn watch_entries(mut self) {
        let mut position = None;
        let mut backoff = MIN_BACKOFF;
        let mut repaired_at = Millis::ZERO;
        let mut era = self.revisions.era.subscribe();
        let mut addr = self.addr.clone();
        loop {
            let watching = *self.watching.borrow_and_update();
            let known_era = era.borrow_and_update().unwrap_or_default();
            let position_before = position_in(position, known_era);
            let watcher = self.clone();
            let call = async {
                match (position_before, watching) {
                    (None, _) => watcher.read_entries(false).await,
                    (Some(after), Watching::Closely | Watching::ForItself) => {
                        watcher.watch(Part::Servers, after, CLOSE_WATCH_WAIT).await
                    }
                    (Some(_), Watching::Loosely) => tokio::select! {
                        () = sleep(REREAD_INTERVAL) => watcher.read_entries(true).await,
                        // The instance now watches closely: start from the current
                        // state.
                        _ = self.watching.changed() => watcher.read(Part::Servers, false).await,
                        () = watcher.revisions.digest_mismatch.notified() => {
                            let since = self.clock.now().since(repaired_at);
                            sleep((MIN_REPAIR_INTERVAL - since.min(MIN_REPAIR_INTERVAL)).as_duration()).await;
                            repaired_at = self.clock.now();
                            watcher.revisions.reset_mismatches();
                            watcher.read(Part::Servers, false).await
                        }
                    },
                }
            };
            let result = tokio::select! {
                result = until_restored(call, position_before, &mut era) => result,
                Ok(()) = addr.changed() => Err(StoreError::Moved),
            };
            position = self
                .next_position(result, position_before, &mut backoff)
                .await;
        }
    }

    /// Returns the position to continue from, after a delay if the call failed.
    async fn next_position(
        &self,
        result: Result<StorePosition, StoreError>,
        previous: Option<StorePosition>,
        backoff: &mut Duration,
    ) -> Option<StorePosition> {
        match result {
            Ok(next) => {
                *backoff = MIN_BACKOFF;
                Some(next)
            }
            Err(StoreError::Compacted) => {
                log::warn!(revision = previous.unwrap_or_default().revision; "store dropped its history; its items are read again");
                None
            }
            Err(StoreError::Moved) => {
                *backoff = MIN_BACKOFF;
                None
            }
            // A stale read may show the era before for a while.
            Err(StoreError::Restored) => {
                sleep(MIN_BACKOFF).await;
                None
            }
            Err(error @ (StoreError::NotFound | StoreError::Call(_))) => {
                log::warn!(cause:% = error, pause_ms = backoff.as_millis() as u64; "store call failed");
                // Sending fails only during process exit.
                let _ = self.inputs.send(Input::StoreCallFailed);
                let watching = *self.watching.borrow();
                sleep(*backoff).await;
                *backoff = (*backoff * 2).min(match watching {
                    Watching::Closely | Watching::ForItself => MAX_BACKOFF,
                    Watching::Loosely => MAX_LOOSE_BACKOFF,
                });
                previous
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
            if let Err(error) = self.read(part, false).await {
                log::warn!(part:? = part, cause:% = error; "entries not read; they are read again with the next heartbeats");
            }
        }
    }

    async fn read_entries(&self, allow_stale: bool) -> Result<StorePosition, StoreError> {
        let position = self.read(Part::Servers, allow_stale).await?;
        match self.read(Part::Instances, true).await {
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
    async fn read(&self, part: Part, allow_stale: bool) -> Result<StorePosition, StoreError> {
        let queried_at = self.clock.now();
        let mut changes = Vec::new();
        let mut first_position = None;
        let mut after: Option<String> = None;
        loop {
            let call = store::range(part, after.as_deref(), allow_stale);
            let (era, body) = self.call(&call, CALL_TIMEOUT).await?;
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
            let new_changes = self
                .revisions
                .apply(era, changes, freshness_proof(part, queried_at));
            if !allow_stale {
                self.revisions.record_read(part, position);
            }
            self.forward(part, era, new_changes);
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
        let limit = CALL_TIMEOUT + wait.as_duration();
        let call = store::watch(part, after.revision, wait);
        let (era, body) = self.call(&call, limit).await?;
        if era != after.era {
            return Err(StoreError::Restored);
        }
        let page = decode(&body)?;
        let new_changes =
            self.revisions
                .apply(era, page.changes, freshness_proof(part, queried_at));
        self.forward(part, era, new_changes);
        Ok(StorePosition {
            era,
            revision: page.revision.max(after.revision),
        })
    }

    /// Forwards changes of backend servers' entries to all other instances if this
    /// one watches for them, except those too large for a datagram.
    fn forward(&self, part: Part, era: StoreEra, changes: Vec<Change>) {
        if part != Part::Servers || *self.watching.borrow() != Watching::Closely {
            return;
        }
        let len = |change: &Change| change.value.as_ref().map_or(0, Bytes::len);
        let sendable = changes.into_iter();
        let sendable = sendable.filter(|change| len(change) <= MAX_ITEM_BYTES);
        let items: Vec<Item> = sendable
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
            .call(&store::grant_lease(ENTRY_TTL), CALL_TIMEOUT)
            .await?;
        let lease = store::decode_lease(&body).map_err(|error| call_error(&error))?;
        let (era, _) = self
            .call(&store::register(member, lease), CALL_TIMEOUT)
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
            match self.call(&store::renew_lease(lease), CALL_TIMEOUT).await {
                Err(StoreError::NotFound) => return,
                Ok(_) => {}
                Err(error) => log::info!(error:% = error; "entry of this instance not renewed"),
            }
        }
    }

    /// Makes a call; returns the era and the body of the response.
    async fn call(&self, call: &Call, limit: Duration) -> Result<(StoreEra, Bytes), StoreError> {
        let addr = self.addr.borrow().clone();
        let response = call_store(&self.upstream, &addr, call, limit).await;
        let response = response.map_err(|error| call_error(&error))?;
        let era = self.revisions.observe_era(response.headers())?;
        match response.status() {
            StatusCode::OK => Ok((era, response.into_body())),
            StatusCode::GONE => Err(StoreError::Compacted),
            StatusCode::NOT_FOUND => Err(StoreError::NotFound),
            status => Err(StoreError::Call(format!("status {status}"))),
        }
    }
}

/// Returns an entry's contribution to the digest of all entries.
fn digest(key: &str, revision: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), revision)
}

/// Returns the time of a query as a freshness proof; only reads of the
/// operators' part prove that the configuration is current.
fn freshness_proof(part: Part, queried_at: Millis) -> Option<Millis> {
    (part == Part::Operators).then_some(queried_at)
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

fn decode(bytes: &[u8]) -> Result<store::Page, StoreError> {
    store::decode_page(bytes).map_err(|error| call_error(&error))
}

/// Returns a position if it is of this era: one of another era says nothing about
/// where to continue.
fn position_in(position: Option<StorePosition>, era: StoreEra) -> Option<StorePosition> {
    position.filter(|position| position.era == era)
}

/// Awaits a call that continues from `position`, until the store is known to be in
/// another era. A read needs no position and is not ended.
async fn until_restored(
    call: impl Future<Output = Result<StorePosition, StoreError>>,
    position: Option<StorePosition>,
    era: &mut watch::Receiver<Option<StoreEra>>,
) -> Result<StorePosition, StoreError> {
    if position.is_none() {
        return call.await;
    }
    tokio::select! {
        result = call => result,
        _ = era.changed() => Err(StoreError::Restored),
    }
}
