//! Changes of backend servers' entries among instances whose datagrams are lost: links
//! between failure domains are cut, datagrams are dropped, and entries are larger than a
//! datagram.

use std::sync::Arc;

use bytes::Bytes;
use flume::Receiver;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::core::entry;
use super::core::heard;
use super::core::keyed_table;
use super::core::member;
use crate::adapter::store::Change;
use crate::adapter::store::Part;
use crate::clock::Millis;
use crate::gateway::core::Core;
use crate::gateway::core::LocalInstance;
use crate::gateway::feed::MIN_FETCH_INTERVAL;
use crate::gateway::feed::RevisionTracker;
use crate::gateway::instances::Item;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::EntriesState;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;
use crate::gateway::message::StoreUpdate;
use crate::gateway::message::Watching;
use crate::gateway::settings::Bounds;
use crate::metrics::Metrics;

/// Shortest time within which a draining server has to get no more requests, less the
/// time that requests on the way take.
const DRAIN_BOUND: u64 = 2_000 - 100;
/// Time of a step.
const STEP: u64 = 5;
/// Time that a call to the store takes.
const CALL_TIME: u64 = 10;
/// Wait time of a close watch.
const CLOSE_WAIT: u64 = 600;
/// Failure domains.
const DOMAINS: usize = 3;

fn position(revision: u64) -> StorePosition {
    StorePosition {
        era: StoreEra::default(),
        revision,
    }
}

struct Node {
    core: Core,
    tracker: RevisionTracker,
    inputs: Receiver<Input>,
    watching: Watching,
    /// Call to the store: when it was made, and from which revision.
    call: Option<(u64, u64)>,
    /// When a missing change is fetched.
    fetch_at: Option<u64>,
    fetched_at: u64,
    fetches: u64,
}

/// What happens to datagrams.
#[derive(Clone, Copy, Default)]
struct Trouble {
    /// Whether the first two failure domains do not reach each other.
    is_cut: bool,
    /// Share of datagrams that are lost.
    loss: f64,
}

struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    /// Changes in the store: when, and what.
    changes: Vec<(u64, Change)>,
    trouble: Trouble,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn start(count: usize, trouble: Trouble, seed: u64) -> Fleet {
        let names: Vec<String> = (0..count).map(|n| format!("n-{n}")).collect();
        let addr = |n: usize| format!("{n}:1");
        let mut fleet = Fleet {
            now: 0,
            nodes: Vec::new(),
            changes: Vec::new(),
            trouble: Trouble::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for (n, name) in names.iter().enumerate() {
            let local = LocalInstance {
                name: name.clone(),
                domain: format!("d-{}", n % DOMAINS),
                addr: addr(n),
            };
            let core = Core::new(local, Bounds::default(), Arc::new(Metrics::new()));
            let (tx, inputs) = flume::unbounded();
            fleet.nodes.push(Node {
                core,
                tracker: RevisionTracker::new(tx),
                inputs,
                watching: Watching::Loosely,
                call: None,
                fetch_at: None,
                fetched_at: 0,
                fetches: 0,
            });
        }
        for n in 0..count {
            let mut updates = vec![
                StoreUpdate::Routes(Arc::new(keyed_table(1, &["k"]))),
                StoreUpdate::Server(entry("p0", "plain")),
            ];
            for (other, name) in names.iter().enumerate() {
                updates.push(StoreUpdate::Instance(member(name, &addr(other))));
            }
            fleet.prove(n, updates);
            fleet.nodes[n]
                .tracker
                .record_read(Part::Servers, position(0));
        }
        fleet.run_until(6_000);
        fleet.trouble = trouble;
        fleet
    }

    fn prove(&mut self, n: usize, updates: Vec<StoreUpdate>) {
        let input = Input::StoreUpdates {
            proved_at: Some(Millis(self.now)),
            shown_version: Some(1),
            config_position: StorePosition::default(),
            updates,
        };
        self.handle(n, input);
    }

    fn handle(&mut self, n: usize, input: Input) {
        for output in self.nodes[n].core.handle(Millis(self.now), input) {
            match output {
                Output::Watch(watching) => {
                    let node = &mut self.nodes[n];
                    node.watching = watching;
                    let known = node.tracker.complete_entries().position.revision;
                    node.call = (watching != Watching::Loosely).then_some((self.now, known));
                }
                Output::Broadcast(recipients, message) => {
                    for recipient in recipients.iter() {
                        let to: usize = recipient.addr.split(':').next().unwrap().parse().unwrap();
                        if to < self.nodes.len() && !self.is_lost(n, to) {
                            self.deliver(to, message.clone());
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let domains = (from % DOMAINS).min(to % DOMAINS)..=(from % DOMAINS).max(to % DOMAINS);
        let is_cut = self.trouble.is_cut && domains == (0..=1);
        is_cut || (self.trouble.loss > 0.0 && self.rng.random_bool(self.trouble.loss))
    }

    fn deliver(&mut self, to: usize, message: PeerMessage) {
        let node = &mut self.nodes[to];
        match message {
            PeerMessage::Item(item) => node.tracker.apply_item(item),
            PeerMessage::Alive(heartbeat) => {
                if let (Some(digest), Some(revision)) =
                    (heartbeat.entries_digest, heartbeat.entries_revision)
                {
                    let stated = EntriesState {
                        position: position(revision),
                        digest,
                    };
                    let is_missing = node.tracker.compare_entries(stated);
                    if is_missing && node.watching == Watching::Loosely {
                        let earliest = node.fetched_at + MIN_FETCH_INTERVAL.0;
                        let at = earliest.max(self.now) + CALL_TIME;
                        node.fetch_at.get_or_insert(at);
                    }
                }
                self.handle(to, heard(PeerMessage::Alive(heartbeat)));
            }
            _ => {}
        }
    }

    /// Lets an instance read what has changed in the store since a revision.
    fn read(&mut self, n: usize, after: u64) -> (Vec<Change>, u64) {
        let newest = self.changes.last().map_or(0, |(_, change)| change.revision);
        let changes = self.changes.iter().map(|(_, change)| change);
        let new: Vec<Change> = changes
            .filter(|change| change.revision > after)
            .cloned()
            .collect();
        let tracker = &self.nodes[n].tracker;
        tracker.apply(StoreEra::default(), new.clone(), None);
        tracker.record_read(Part::Servers, position(newest));
        (new, newest)
    }

    fn answer(&mut self, n: usize, queried_at: u64, after: u64) {
        let (changes, newest) = self.read(n, after);
        if self.nodes[n].watching == Watching::Closely {
            let items = changes.into_iter().map(|change| Item {
                key: change.key,
                revision: change.revision,
                value: change.value.map(|value| value.to_vec()),
                era: StoreEra::default(),
            });
            let items: Vec<Item> = items.collect();
            if !items.is_empty() {
                self.handle(n, Input::ForwardItems(items));
            }
            let entries = self.nodes[n].tracker.complete_entries();
            let queried_at = Millis(queried_at);
            let read = Input::EntriesRead {
                queried_at,
                entries,
            };
            self.handle(n, read);
        }
        self.prove(n, Vec::new());
        let node = &mut self.nodes[n];
        node.call = (node.watching != Watching::Loosely).then_some((self.now, newest));
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP;
            let newest = self.changes.last().map_or(0, |(_, change)| change.revision);
            for n in 0..self.nodes.len() {
                if let Some((queried_at, after)) = self.nodes[n].call {
                    let due = match after < newest {
                        true => queried_at + CALL_TIME,
                        false => queried_at + CLOSE_WAIT,
                    };
                    if self.now >= due {
                        self.answer(n, queried_at, after);
                    }
                }
                if self.nodes[n].fetch_at.is_some_and(|at| self.now >= at) {
                    let node = &mut self.nodes[n];
                    node.fetch_at = None;
                    node.fetched_at = self.now;
                    node.fetches += 1;
                    let known = node.tracker.complete_entries().position.revision;
                    self.read(n, known);
                }
                while let Ok(input) = self.nodes[n].inputs.try_recv() {
                    self.handle(n, input);
                }
                if (self.now / STEP + n as u64) % 5 == 0 {
                    self.handle(n, Input::Tick);
                }
            }
        }
    }

    /// Changes an entry in the store.
    fn change(&mut self, len: usize) {
        let revision = self.changes.len() as u64 + 1;
        let change = Change {
            key: format!("servers/s-{}", revision % 7),
            revision,
            value: Some(Bytes::from(vec![0; len])),
        };
        self.changes.push((self.now, change));
    }

    /// Lets several servers change at about the same time, again and again; each
    /// instance has to know of each change within the drain time. Returns the number
    /// of fetches.
    fn play(&mut self, len: usize, case: &str) -> u64 {
        for round in 0..12 {
            let (started, first) = (self.now, self.changes.len());
            for gap in [0, 10, 5, 400, 900] {
                self.run_until(self.now + gap + round * STEP);
                self.change(len);
                self.check(first, case);
            }
            while self.now < started + 4_000 {
                self.run_until(self.now + 50);
                self.check(first, case);
            }
        }
        self.nodes.iter().map(|node| node.fetches).sum()
    }

    fn check(&self, first: usize, case: &str) {
        for (at, change) in &self.changes[first..] {
            let age = self.now - at;
            if !(DRAIN_BOUND..=DRAIN_BOUND + 200).contains(&age) {
                continue;
            }
            for (n, node) in self.nodes.iter().enumerate() {
                let probe = vec![change.clone()];
                let is_new = !node
                    .tracker
                    .apply(StoreEra::default(), probe, None)
                    .is_empty();
                let revision = change.revision;
                assert!(
                    !is_new,
                    "{case}: n-{n} lacks revision {revision} after {age} ms"
                );
            }
        }
    }
}

/// Guards against draining servers that go on getting requests: each instance hears of a
/// change from each watcher that it can reach, and notices what it has missed.
#[test]
fn every_change_is_known_within_the_drain_time_whatever_datagrams_are_lost() {
    let cut = Trouble {
        is_cut: true,
        loss: 0.0,
    };
    let lossy = Trouble {
        is_cut: false,
        loss: 0.2,
    };
    let both = Trouble {
        is_cut: true,
        loss: 0.1,
    };
    for (name, trouble) in [
        ("calm", Trouble::default()),
        ("cut", cut),
        ("lossy", lossy),
        ("cut and lossy", both),
    ] {
        for (count, len) in [(6, 200), (6, 1_300), (24, 200), (24, 1_300)] {
            for seed in 0..3 {
                let mut fleet = Fleet::start(count, trouble, seed);
                let case = format!("{name}, {count} instances, {len} bytes, seed {seed}");
                let fetches = fleet.play(len, &case);
                if name == "calm" && len < 1_000 {
                    assert_eq!(fetches, 0, "{case}");
                }
            }
        }
    }
}
