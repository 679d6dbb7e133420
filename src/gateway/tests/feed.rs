//! Detection of lost messages about backend server entries by their digest.

use bytes::Bytes;

use crate::adapter::store::Change;
use crate::gateway::feed::RevisionTracker;

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
    watcher.apply(listed(), None);
    other.apply(listed(), None);
    assert!((0..9).all(|_| !other.compare_digest(watcher.entries_digest())));
    // The broadcast of the removal is lost.
    watcher.apply(vec![change("servers/a", 9, false)], None);
    let detected = (1..).find(|_| other.compare_digest(watcher.entries_digest()));
    // A single watcher sends a heartbeat twice a second, and a draining server
    // must receive no more requests two seconds after it starts to drain;
    // reading the entries again takes part of that time.
    assert!(detected.is_some_and(|heartbeats| heartbeats <= 2));
    other.apply(vec![change("servers/a", 9, false)], None);
    assert!(!other.compare_digest(watcher.entries_digest()));
}

#[test]
fn the_digest_does_not_depend_on_the_order_of_changes() {
    let (tx, _rx) = flume::unbounded();
    let (one, two) = (RevisionTracker::new(tx.clone()), RevisionTracker::new(tx));
    one.apply(vec![change("servers/a", 3, true)], None);
    one.apply(vec![change("servers/a", 8, true)], None);
    one.apply(vec![change("servers/b", 5, true)], None);
    two.apply(vec![change("servers/b", 5, true)], None);
    two.apply(vec![change("servers/a", 8, true)], None);
    two.apply(vec![change("servers/a", 3, true)], None);
    assert_eq!(one.entries_digest(), two.entries_digest());
}
