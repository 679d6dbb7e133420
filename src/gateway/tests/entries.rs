//! How changes of backend servers' entries reach the instances that do not watch
//! them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use super::store_reads::Response;
use super::store_reads::Store;
use super::store_reads::fixed;
use super::store_reads::page;
use crate::clock::Clock;
use crate::gateway::feed::RevisionTracker;
use crate::gateway::feed::StoreWatcher;
use crate::gateway::instances::Item;
use crate::gateway::message::Input;
use crate::gateway::message::StoreEra;
use crate::gateway::message::Watching;
use crate::gateway::upstream::Upstream;

/// Longest time that a test waits for what it expects.
const PATIENCE: Duration = Duration::from_secs(20);
/// Shortest time within which a draining server has to get no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Interval at which it looks.
const STEP: Duration = Duration::from_millis(2);

/// The entries of a store that is watched, with their changes in order.
#[derive(Clone, Default)]
struct Entries(Arc<Mutex<Vec<Item>>>);

impl Entries {
    /// Writes an entry; returns its item.
    fn write(&self, revision: u64, id: &str, value: &str) -> Item {
        let item = Item {
            key: format!("servers/{id}"),
            revision,
            value: Some(value.as_bytes().to_vec()),
            era: StoreEra::default(),
        };
        self.0.lock().unwrap().push(item.clone());
        item
    }

    /// Answers a call: a watch waits until there is a change.
    fn answer(&self, path: &str) -> Response {
        let after = path.split("after=").nth(1);
        let after = after.and_then(|rest| rest.split('&').next()?.parse().ok());
        loop {
            let changes = self.0.lock().unwrap().clone();
            let newest = changes.last().map_or(0, |item| item.revision);
            let shown = changes
                .into_iter()
                .filter(|item| item.revision > after.unwrap_or(0));
            let items: Vec<String> = shown
                .map(|item| {
                    let (key, revision) = (item.key, item.revision);
                    let value = STANDARD.encode(item.value.unwrap_or_default());
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision}}}")
                })
                .collect();
            if !items.is_empty() || !path.contains("watch") {
                return Response::ok(page(newest, &items));
            }
            std::thread::sleep(STEP);
        }
    }

    fn serve(&self) -> Store {
        let entries = self.clone();
        Store::start(100_000_000, move |path, _| entries.answer(path))
    }
}

/// Runs the watch of the entries beside `test`, which gets the tracker, and the
/// inputs of the core.
fn beside_watch<T>(
    store: &Store,
    watching: Watching,
    test: impl AsyncFnOnce(RevisionTracker, flume::Receiver<Input>) -> T,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (inputs, rx) = flume::unbounded();
    let (_watching, watching) = watch::channel(watching);
    let revisions = RevisionTracker::new(inputs.clone());
    let watcher = StoreWatcher::new(
        fixed(store.addr.to_string()),
        Upstream::default(),
        Clock::start(),
        inputs,
        revisions.clone(),
        watching,
    );
    let run = async {
        spawn_local(watcher.watch_entries());
        test(revisions, rx).await
    };
    let local = LocalSet::new();
    let run = local.run_until(async { tokio::time::timeout(PATIENCE, run).await });
    runtime.block_on(run).expect("what was expected in time")
}

/// Waits until a call to the store was made that begins so.
async fn called(store: &Store, part: &str) {
    while !store.calls().iter().any(|path| path.contains(part)) {
        tokio::time::sleep(STEP).await;
    }
}

/// Guards against a server that goes on getting requests after it drains: an instance
/// that is cut off from one watcher hears of a change only from the other one, also if
/// that one has heard of it from the first before the store answered it.
#[test]
fn a_watcher_forwards_a_change_that_it_heard_of_from_another_one() {
    let entries = Entries::default();
    entries.write(5, "i-1", "{}");
    let store = entries.serve();
    let forwarded = beside_watch(&store, Watching::Closely, async |revisions, rx| {
        called(&store, "kv-watch").await;
        let drained = Item {
            key: "servers/i-1".to_owned(),
            revision: 9,
            value: Some(b"draining".to_vec()),
            era: StoreEra::default(),
        };
        revisions.apply_item(drained.clone());
        entries.write(9, "i-1", "draining");
        loop {
            match rx.recv_async().await.unwrap() {
                Input::ForwardItems(items) if items.contains(&drained) => return items,
                _ => {}
            }
        }
    });
    assert_eq!(forwarded.len(), 1);
}

/// Guards against a server that goes on getting requests after it drains: a change that
/// no datagram has brought was fetched only 3 s after another one.
#[test]
fn changes_that_were_missed_one_after_another_are_fetched_within_the_drain_time() {
    let entries = Entries::default();
    entries.write(5, "i-1", "{}");
    let store = entries.serve();
    let watcher = RevisionTracker::new(flume::unbounded().0);
    watcher.apply_item(entries.write(5, "i-1", "{}"));
    let slowest = beside_watch(&store, Watching::Loosely, async |revisions, _rx| {
        while revisions.entries_digest() != watcher.entries_digest() {
            tokio::time::sleep(STEP).await;
        }
        let mut slowest = Duration::ZERO;
        for revision in 6..9 {
            watcher.apply_item(entries.write(revision, "i-1", "{}"));
            let started = Instant::now();
            // Two heartbeats of a watcher of an earlier release.
            for _ in 0..2 {
                revisions.compare_digest(StoreEra::default(), watcher.entries_digest());
            }
            while revisions.entries_digest() != watcher.entries_digest() {
                tokio::time::sleep(STEP).await;
            }
            slowest = slowest.max(started.elapsed());
        }
        slowest
    });
    // The second heartbeat comes up to a second after the change.
    assert!(slowest < DRAIN_TIME - Duration::from_secs(1), "{slowest:?}");
}
