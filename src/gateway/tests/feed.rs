//! Order of the store's changes, also after it returned from an older copy, and
//! detection of lost messages by the digest of backend server entries.

use bytes::Bytes;

use crate::adapter::store::Change;
use crate::adapter::store::Part;
use crate::clock::Millis;
use crate::gateway::feed::RevisionTracker;
use crate::gateway::message::EntriesState;
use crate::gateway::message::Input;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;

fn change(key: &str, revision: u64, exists: bool) -> Change {
    Change {
        key: key.to_owned(),
        revision,
        value: exists.then(Bytes::new),
    }
}

#[test]
fn a_lost_change_of_an_entry_is_noticed_by_its_digest() {
    let (tx, _rx) = flume::unbounded();
    let watcher = RevisionTracker::new(tx.clone());
    let other = RevisionTracker::new(tx);
    let listed = || vec![change("servers/a", 3, true), change("servers/b", 4, true)];
    watcher.apply(StoreEra::default(), listed(), None);
    other.apply(StoreEra::default(), listed(), None);
    assert!((0..9).all(|_| !other.compare_digest(StoreEra::default(), watcher.entries_digest())));
    // The broadcast of the removal is lost.
    watcher.apply(
        StoreEra::default(),
        vec![change("servers/a", 9, false)],
        None,
    );
    let detected =
        (1..).find(|_| other.compare_digest(StoreEra::default(), watcher.entries_digest()));
    // A single watcher sends a heartbeat twice a second, and a draining server
    // must receive no more requests two seconds after it starts to drain;
    // reading the entries again takes part of that time.
    assert!(detected.is_some_and(|heartbeats| heartbeats <= 2));
    other.apply(
        StoreEra::default(),
        vec![change("servers/a", 9, false)],
        None,
    );
    assert!(!other.compare_digest(StoreEra::default(), watcher.entries_digest()));
}

fn position(revision: u64) -> StorePosition {
    StorePosition {
        era: StoreEra::default(),
        revision,
    }
}

/// Returns the tracker of an instance that has read the entries of two servers.
fn tracker_with_entries() -> RevisionTracker {
    let (tx, _rx) = flume::unbounded();
    let tracker = RevisionTracker::new(tx);
    let listed = vec![change("servers/a", 3, true), change("servers/b", 4, true)];
    tracker.apply(StoreEra::default(), listed, None);
    tracker.record_read(Part::Servers, position(5));
    tracker
}

/// Lets an instance read changes from the store; returns what it states.
fn read(tracker: &RevisionTracker, changes: Vec<Change>, to: u64) -> EntriesState {
    tracker.apply(StoreEra::default(), changes, None);
    tracker.record_read(Part::Servers, position(to));
    tracker.complete_entries()
}

/// Guards against a draining server that goes on getting requests: a change that was
/// not heard of is missed by the first statement that includes it, and so is one that
/// a change known already follows.
#[test]
fn a_lost_change_of_an_entry_is_noticed_at_the_first_statement() {
    let (watcher, other) = (tracker_with_entries(), tracker_with_entries());
    assert!(!other.compare_entries(watcher.complete_entries()));
    let lost = || change("servers/a", 9, false);
    assert!(other.compare_entries(read(&watcher, vec![lost()], 9)));
    assert!(!other.compare_entries(read(&other, vec![lost()], 9)));
    // The broadcast of the first of two changes is lost.
    let two = || vec![change("servers/b", 12, true), change("servers/c", 13, true)];
    let state = read(&watcher, two(), 20);
    other.apply(StoreEra::default(), two().split_off(1), None);
    assert!(other.compare_entries(state));
    // Each statement says so until it has been read.
    assert!(other.compare_entries(state));
    read(&other, two(), 25);
    assert!(!other.compare_entries(state));
}

#[test]
fn statements_of_what_is_known_or_older_cause_no_fetch() {
    let (watcher, other) = (tracker_with_entries(), tracker_with_entries());
    let state = read(&watcher, vec![change("servers/a", 9, true)], 9);
    // The broadcast has arrived, so that nothing is missing up to it.
    other.apply(
        StoreEra::default(),
        vec![change("servers/a", 9, true)],
        None,
    );
    assert!(!other.compare_entries(state));
    // Another watcher has not read the next change yet.
    other.apply(
        StoreEra::default(),
        vec![change("servers/b", 11, true)],
        None,
    );
    assert!(!other.compare_entries(state));
    // An instance that reads that an entry is gone does not know since when.
    let read_late = read(&watcher, vec![change("servers/b", 30, false)], 30);
    read(&other, vec![change("servers/b", 28, false)], 31);
    assert!(!other.compare_entries(read_late));
}

/// An instance that knows a change only from another watcher may lack the ones before.
#[test]
fn a_watcher_states_only_changes_before_which_it_has_missed_none() {
    let watcher = tracker_with_entries();
    let known = watcher.complete_entries();
    watcher.apply(
        StoreEra::default(),
        vec![change("servers/c", 13, true)],
        None,
    );
    assert_eq!(watcher.complete_entries(), known);
    let missed = vec![change("servers/b", 12, true)];
    let state = read(&watcher, missed, 13);
    assert_eq!(state.position, position(13));
    assert_ne!(state.digest, known.digest);
}

#[test]
fn statements_of_another_era_are_not_compared() {
    let tracker = tracker_with_entries();
    tracker.observe_peer_era(StoreEra(2));
    let stated = |era| EntriesState {
        position: StorePosition {
            era: StoreEra(era),
            revision: 90,
        },
        digest: 77,
    };
    assert!(!tracker.compare_entries(stated(0)));
    assert!(tracker.compare_entries(stated(2)));
}

#[test]
fn the_digest_does_not_depend_on_the_order_of_changes() {
    let (tx, _rx) = flume::unbounded();
    let (one, two) = (RevisionTracker::new(tx.clone()), RevisionTracker::new(tx));
    one.apply(
        StoreEra::default(),
        vec![change("servers/a", 3, true)],
        None,
    );
    one.apply(
        StoreEra::default(),
        vec![change("servers/a", 8, true)],
        None,
    );
    one.apply(
        StoreEra::default(),
        vec![change("servers/b", 5, true)],
        None,
    );
    two.apply(
        StoreEra::default(),
        vec![change("servers/b", 5, true)],
        None,
    );
    two.apply(
        StoreEra::default(),
        vec![change("servers/a", 8, true)],
        None,
    );
    two.apply(
        StoreEra::default(),
        vec![change("servers/a", 3, true)],
        None,
    );
    assert_eq!(one.entries_digest(), two.entries_digest());
}

/// Returns the keys of the changes that are new.
fn new_keys(tracker: &RevisionTracker, era: u64, changes: Vec<Change>) -> Vec<String> {
    let new_changes = tracker.apply(StoreEra(era), changes, None);
    new_changes.into_iter().map(|change| change.key).collect()
}

#[test]
fn changes_after_the_store_returned_from_an_older_copy_are_new_at_lower_revisions() {
    let (tx, rx) = flume::unbounded();
    let tracker = RevisionTracker::new(tx);
    tracker.observe_peer_era(StoreEra(1));
    tracker.apply(StoreEra(1), vec![change("servers/a", 30, true)], None);
    tracker.observe_peer_era(StoreEra(2));
    let eras: Vec<(StoreEra, bool)> = rx
        .try_iter()
        .filter_map(|input| match input {
            Input::StoreEra { era, restored } => Some((era, restored)),
            _ => None,
        })
        .collect();
    assert_eq!(eras, [(StoreEra(1), false), (StoreEra(2), true)]);
    let changes = || {
        vec![
            change("servers/a", 12, false),
            change("servers/b", 12, true),
        ]
    };
    assert_eq!(new_keys(&tracker, 2, changes()), ["servers/a", "servers/b"]);
    assert!(new_keys(&tracker, 2, changes()).is_empty());
    // Twice in a row.
    tracker.observe_peer_era(StoreEra(3));
    assert_eq!(
        new_keys(&tracker, 3, vec![change("servers/a", 7, true)]),
        ["servers/a"]
    );
}

#[test]
fn an_instance_that_starts_takes_no_older_item_of_a_server_that_had_left() {
    let (tx, _rx) = flume::unbounded();
    let tracker = RevisionTracker::new(tx);
    tracker.observe_peer_era(StoreEra(1));
    let read_at = StorePosition {
        era: StoreEra(1),
        revision: 20,
    };
    tracker.apply(StoreEra(1), vec![change("servers/a", 12, true)], None);
    tracker.record_read(Part::Servers, read_at);
    // From a stale read, or from an instance that was suspended.
    let items = vec![change("servers/left", 8, true)];
    assert!(new_keys(&tracker, 1, items).is_empty());
    // A later start, another part, and the store's return.
    let items = vec![change("servers/left", 21, true)];
    assert_eq!(new_keys(&tracker, 1, items), ["servers/left"]);
    let items = vec![change("op/config", 8, true)];
    assert_eq!(new_keys(&tracker, 1, items), ["op/config"]);
    tracker.observe_peer_era(StoreEra(2));
    let items = vec![change("servers/b", 8, true)];
    assert_eq!(new_keys(&tracker, 2, items), ["servers/b"]);
}

#[test]
fn answers_from_before_the_store_returned_from_an_older_copy_prove_nothing() {
    let (tx, rx) = flume::unbounded();
    let tracker = RevisionTracker::new(tx);
    tracker.observe_peer_era(StoreEra(2));
    assert_eq!(rx.drain().count(), 1);
    let changes = vec![change("servers/a", 90, true)];
    assert!(
        tracker
            .apply(StoreEra(1), changes, Some(Millis(5)))
            .is_empty()
    );
    assert!(rx.try_recv().is_err());
}

#[test]
fn digests_of_different_eras_are_not_compared() {
    let (tx, _rx) = flume::unbounded();
    let tracker = RevisionTracker::new(tx);
    tracker.observe_peer_era(StoreEra(2));
    assert!((0..9).all(|_| !tracker.compare_digest(StoreEra(1), 77)));
    assert!((0..9).any(|_| tracker.compare_digest(StoreEra(2), 77)));
}

#[test]
fn a_configuration_that_cannot_be_decoded_is_not_reported_as_shown() {
    let (tx, rx) = flume::unbounded();
    let tracker = RevisionTracker::new(tx);
    let changes = vec![change("op/config", 4, true)];
    tracker.apply(StoreEra(0), changes, Some(Millis(5)));
    assert!(matches!(
        rx.try_recv(),
        Ok(Input::StoreUpdates {
            shown_version: None,
            proved_at: Some(Millis(5)),
            ..
        })
    ));
}
