//! Entries of backend servers that a lost message leaves behind.

use bytes::Bytes;

use crate::adapter::store::Change;
use crate::gateway::feed::Ledger;

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
    let watcher = Ledger::new(tx.clone());
    let other = Ledger::new(tx);
    let listed = || vec![change("servers/a", 3, true), change("servers/b", 4, true)];
    watcher.take(listed(), None);
    other.take(listed(), None);
    assert!((0..9).all(|_| !other.compare(watcher.entries_digest())));
    // The message about the removal is lost.
    watcher.take(vec![change("servers/a", 9, false)], None);
    let noticed = (1..).find(|_| other.compare(watcher.entries_digest()));
    // One watcher sends a heartbeat twice a second, and a leaving server must
    // get nothing two seconds after its word; reading takes its time too.
    assert!(noticed.is_some_and(|heartbeats| heartbeats <= 2));
    other.take(vec![change("servers/a", 9, false)], None);
    assert!(!other.compare(watcher.entries_digest()));
}

#[test]
fn the_digest_does_not_depend_on_the_order_of_changes() {
    let (tx, _rx) = flume::unbounded();
    let (one, two) = (Ledger::new(tx.clone()), Ledger::new(tx));
    one.take(vec![change("servers/a", 3, true)], None);
    one.take(vec![change("servers/a", 8, true)], None);
    one.take(vec![change("servers/b", 5, true)], None);
    two.take(vec![change("servers/b", 5, true)], None);
    two.take(vec![change("servers/a", 8, true)], None);
    two.take(vec![change("servers/a", 3, true)], None);
    assert_eq!(one.entries_digest(), two.entries_digest());
}
