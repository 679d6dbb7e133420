//! Newest known position of each key of the store.
//!
//! [`RevisionTracker`] keeps the newest position of each key, whether it came
//! from the store or from another instance, and drops older changes. A position
//! names the store's era: when the store returns from an older copy it gives
//! revisions out again. All that was read before is then read again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use flume::Sender;
use http::HeaderMap;
use tokio::sync::Notify;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::StoreError;
use crate::adapter::store;
use crate::adapter::store::Change;
use crate::adapter::store::Part;
use crate::clock::Millis;
use crate::gateway::instances::Item;
use crate::gateway::message::EntriesState;
use crate::gateway::message::Input;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;
use crate::gateway::message::StoreUpdate;

/// Tracks the newest revision of each key and forwards new changes to the core.
#[derive(Debug, Clone)]
pub struct RevisionTracker {
    state: Rc<RefCell<TrackerState>>,
    /// Newest known era of the store; `None` if it has named none.
    pub(super) era: Rc<watch::Sender<Option<StoreEra>>>,
    inputs: Sender<Input>,
    /// Notified when another instance knows a change of the backend servers' entries
    /// that is missing here.
    pub(super) missing_change: Rc<Notify>,
}

#[derive(Debug, Default)]
struct TrackerState {
    /// Position of each key's newest change, and whether the key exists.
    keys: HashMap<String, (StorePosition, bool)>,
    /// Positions up to which all changes of a part are known: an unknown key of the
    /// part had no item then.
    reads: Vec<(Part, StorePosition)>,
    config_position: StorePosition,
    /// Version of the configuration that the store shows, if it can be decoded.
    shown_version: Option<u64>,
    /// State of the backend server entries, as far as they are known: changes before
    /// the newest one may be missing.
    entries: EntriesState,
    /// Their state as of a time when none was missing.
    complete_entries: EntriesState,
    /// Consecutive heartbeats with a different digest.
    mismatches: u32,
}

impl TrackerState {
    /// Returns the position up to which all changes of the part of a key are known.
    fn read_at(&self, key: &str) -> StorePosition {
        let read = self.reads.iter().find(|(part, _)| part.contains(key));
        read.map_or(StorePosition::default(), |(_, position)| *position)
    }

    /// Returns the position up to which all changes of a part are known.
    fn known_to(&self, part: Part) -> StorePosition {
        let read = self.reads.iter().find(|(read, _)| *read == part);
        read.map_or(StorePosition::default(), |(_, position)| *position)
    }

    fn record_read(&mut self, part: Part, position: StorePosition) {
        let position = position.max(self.known_to(part));
        self.reads.retain(|(read, _)| *read != part);
        self.reads.push((part, position));
        if part == Part::Servers && self.entries.position <= position {
            self.complete_entries = self.entries;
        }
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
            missing_change: Rc::default(),
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
                let entries = &mut state.entries;
                if let Some((previous, true)) = known {
                    entries.digest ^= digest(&change.key, previous.revision);
                }
                if exists {
                    entries.digest ^= digest(&change.key, change.revision);
                }
                entries.position = entries.position.max(position);
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
                updates,
            };
            // Sending fails only during process exit.
            let _ = self.inputs.send(input);
        }
        new_changes
    }

    /// Records that all changes of a part up to a position were applied. An item that
    /// is not newer and was not there had been removed before, as a stale read or an
    /// instance that was suspended may not know.
    pub fn record_read(&self, part: Part, position: StorePosition) {
        let mut state = self.state.borrow_mut();
        state.record_read(part, position);
    }

    /// Returns the newest known era of the store; the first one if it has named
    /// none.
    fn era(&self) -> StoreEra {
        self.era.borrow().unwrap_or_default()
    }

    /// Returns the era that a response of the store names. If it is a new one, all
    /// positions are outdated: whoever waits for the store reads again.
    pub(super) fn observe_era(&self, headers: &HeaderMap) -> Result<StoreEra, StoreError> {
        let known = self.era();
        let named = store::decode_era(headers)
            .map_err(|error| StoreError::Unavailable(error.to_string()))?;
        match named {
            // A store without eras never returns from a copy.
            None if known == StoreEra::default() => Ok(known),
            None => Err(StoreError::Unavailable(
                "the response names no era".to_owned(),
            )),
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
        self.state.borrow().entries.digest
    }

    /// Returns the state of the backend servers' entries as of the last time that no
    /// change was missing.
    #[must_use]
    pub fn complete_entries(&self) -> EntriesState {
        self.state.borrow().complete_entries
    }

    /// Returns the position up to which all changes of the backend servers' entries
    /// are known.
    pub(super) fn entries_known_to(&self) -> StorePosition {
        self.state.borrow().known_to(Part::Servers)
    }

    /// Compares the backend servers' entries with those of an instance that knows all
    /// changes up to the position that it states. If one of these is missing here, it
    /// is fetched; returns whether that is so.
    pub fn compare_entries(&self, stated: EntriesState) -> bool {
        if stated.position.era != self.era() {
            return false;
        }
        let mut state = self.state.borrow_mut();
        // A newer change is known, and maybe not all before it. A later statement
        // includes it.
        let is_behind = stated.position < state.entries.position;
        if is_behind || stated.position <= state.known_to(Part::Servers) {
            return false;
        }
        if stated == state.entries {
            state.record_read(Part::Servers, stated.position);
            return false;
        }
        log::info!(
            era:% = stated.position.era,
            revision = stated.position.revision,
            known_revision = state.entries.position.revision,
            known_to = state.known_to(Part::Servers).revision;
            "a change of a backend server's entry is missing: it is fetched"
        );
        self.missing_change.notify_one();
        true
    }

    /// Compares the digest of the backend servers' entries with that of an instance of
    /// an earlier release that watches them. If they differ for longer than a broadcast
    /// may be in transit, a message was lost and what changed is fetched; returns
    /// whether this call triggered it. Digests of another era are not compared.
    pub fn compare_digest(&self, era: StoreEra, other_digest: u64) -> bool {
        if era != self.era() {
            return false;
        }
        let mut state = self.state.borrow_mut();
        if state.entries.digest == other_digest {
            state.mismatches = 0;
            return false;
        }
        state.mismatches += 1;
        let triggered = state.mismatches == MISMATCHES_UNTIL_REREAD;
        if triggered {
            log::warn!(
                "entries of backend servers differ from another instance's; what changed is fetched"
            );
            self.missing_change.notify_one();
        }
        triggered
    }

    /// Resets the count of mismatches after the entries have been read.
    pub(super) fn reset_mismatches(&self) {
        self.state.borrow_mut().mismatches = 0;
    }

    /// Returns removals for the known keys of a part that are missing from a
    /// read as of `read_at`. A key of an earlier era gets revision 0, as it is not
    /// known when it was removed: any later change of it counts as newer.
    pub(super) fn missing_removals(
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

/// Returns an entry's contribution to the digest of all entries.
fn digest(key: &str, revision: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), revision)
}
