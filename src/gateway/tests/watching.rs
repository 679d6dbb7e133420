//! Which instances watch the store, and what they forward.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::core::Harness;
use super::core::entry;
use super::core::heard;
use super::core::keyed_table;
use super::core::member;
use crate::clock::Millis;
use crate::gateway::core::Core;
use crate::gateway::core::LocalInstance;
use crate::gateway::instances::Heartbeat;
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

/// Returns how an instance watches the store after some seconds beside many others
/// that the store answers and that prove nothing of the configuration.
fn watching_without_proofs(mut harness: Harness) -> Watching {
    let mut watching = Watching::Loosely;
    for _ in 0..10 {
        for n in 0..190 {
            let _ = harness.handle(heard(PeerMessage::Alive(Heartbeat {
                member: member(&format!("other-{n}"), &format!("10.9.0.{n}:1")),
                config_revision: 0,
                proof_age_ms: Millis::NEVER.0,
                store_answers: true,
                // Two of them watch the servers' entries for all.
                entries_digest: (n < 2).then_some(0),
                entries_revision: None,
                period_ms: 2_000,
                store_era: Some(StoreEra::default()),
                config_version: 0,
                calls: Vec::new(),
            })));
        }
        for _ in 0..20 {
            harness.now += 25;
            for output in harness.handle(Input::Tick) {
                if let Output::Watch(now) = output {
                    watching = now;
                }
            }
        }
    }
    watching
}

#[test]
fn instances_that_start_before_there_is_a_configuration_leave_the_store_to_two_of_them() {
    let harness = Harness::unconfigured();
    assert_eq!(watching_without_proofs(harness), Watching::Loosely);
}

#[test]
fn an_instance_whose_proof_is_overdue_watches_the_store_for_itself() {
    let harness = Harness::new();
    assert_eq!(watching_without_proofs(harness), Watching::ForItself);
}

/// Lets an instance that knows many others forward changes of entries; returns to
/// how many instances each is sent.
fn forwarded(harness: &mut Harness, changes: u64) -> Vec<usize> {
    let items = (0..changes).map(|n| Item {
        key: format!("servers/i-{n}"),
        revision: n,
        value: Some(vec![0; 300]),
        era: StoreEra::default(),
    });
    let out = harness.handle(Input::ForwardItems(items.collect()));
    let sent = out.into_iter().filter_map(|output| match output {
        Output::Broadcast(recipients, PeerMessage::Item(_)) => Some(recipients.len()),
        _ => None,
    });
    sent.collect()
}

#[test]
fn entries_of_servers_that_start_together_do_not_fill_the_link_of_a_close_watcher() {
    const OTHERS: usize = 194;
    let mut harness = Harness::new();
    for n in 0..OTHERS {
        harness.hear_instance(&format!("other-{n}"));
    }
    // 155 servers start within three seconds, a few in each answer of the store.
    let mut datagrams = 0;
    for _ in 0..30 {
        datagrams += forwarded(&mut harness, 5).into_iter().sum::<usize>();
        harness.now += 100;
    }
    assert!(datagrams <= 4_000 + 3 * 2_000, "{datagrams}");
    // Single changes are forwarded to all again soon after.
    harness.now += 1_000;
    assert_eq!(forwarded(&mut harness, 5), [OTHERS; 5]);
}

#[test]
fn a_few_instances_are_sent_all_changes() {
    let mut harness = Harness::new();
    for n in 0..5 {
        harness.hear_instance(&format!("other-{n}"));
    }
    assert_eq!(forwarded(&mut harness, 155), [5; 155]);
}

/// Guards against a draining server that goes on getting requests because its entry is
/// larger than a datagram: the other instances are told at once that they miss
/// something.
#[test]
fn a_change_that_is_too_large_for_a_datagram_is_announced_at_once() {
    let mut harness = Harness::new();
    harness.hear_instance("other");
    let _ = harness.tick_until(4_000);
    let read = |harness: &mut Harness, entries| {
        let queried_at = Millis(harness.now);
        let _ = harness.handle(Input::EntriesRead {
            queried_at,
            entries,
        });
        harness.now += 25;
        harness.handle(Input::Tick)
    };
    let _ = read(&mut harness, EntriesState::default());
    let item = Item {
        key: "servers/i-1".to_owned(),
        revision: 9,
        value: Some(vec![0; 1_321]),
        era: StoreEra::default(),
    };
    let out = harness.handle(Input::ForwardItems(vec![item]));
    assert!(
        !out.iter()
            .any(|output| matches!(output, Output::Broadcast(_, PeerMessage::Item(_))))
    );
    let entries = EntriesState {
        position: StorePosition {
            era: StoreEra::default(),
            revision: 9,
        },
        digest: 77,
    };
    let out = read(&mut harness, entries);
    let stated = out.iter().find_map(|output| match output {
        Output::Broadcast(_, PeerMessage::Alive(heartbeat)) => Some(heartbeat),
        _ => None,
    });
    let stated = stated.map(|heartbeat| (heartbeat.entries_revision, heartbeat.entries_digest));
    assert_eq!(stated, Some((Some(9), Some(77))));
}

/// Shortest time within which a draining server has to get no more requests, less
/// the time that requests on the way take.
const DRAIN_BOUND: u64 = 2_000 - 100;
/// Time that a call to the store takes.
const CALL_TIME: u64 = 20;
/// Wait time of a close watch, and of another one.
const CLOSE_WAIT: u64 = 600;
const LOOSE_WAIT: u64 = 29_000;

/// An instance of a [`Fleet`].
struct Node {
    name: String,
    core: Core,
    started_at: u64,
    is_up: bool,
    watching: Watching,
    /// When its call for the servers' entries is answered, and when it was made.
    read: Option<(u64, u64)>,
    /// Since when it knows that the server drains.
    knows: Option<u64>,
    /// Calls to the store.
    calls: u64,
}

/// Many instances and the store, on a virtual clock.
struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    by_addr: BTreeMap<String, usize>,
    drained_at: Option<u64>,
}

fn addr(name: &str) -> String {
    format!("{name}:1")
}

impl Fleet {
    /// Returns instances that have run for some time.
    fn start(count: usize) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            nodes: Vec::new(),
            by_addr: BTreeMap::new(),
            drained_at: None,
        };
        for n in 0..count {
            fleet.add(format!("n-{n}"));
        }
        for n in 0..count {
            fleet.configure(n);
        }
        fleet.run_until(10_000);
        fleet
    }

    fn add(&mut self, name: String) -> usize {
        let node = Node {
            core: Fleet::core(&name),
            started_at: self.now,
            is_up: true,
            watching: Watching::Loosely,
            read: None,
            knows: None,
            calls: 0,
            name,
        };
        self.by_addr.insert(addr(&node.name), self.nodes.len());
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    fn core(name: &str) -> Core {
        let local = LocalInstance {
            name: name.to_owned(),
            domain: "a".to_owned(),
            addr: addr(name),
        };
        Core::new(local, Bounds::default(), Arc::new(Metrics::new()))
    }

    /// Lets an instance read all that the store has at its start.
    fn configure(&mut self, n: usize) {
        let names: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let mut updates = vec![
            StoreUpdate::Routes(Arc::new(keyed_table(1, &["k"]))),
            StoreUpdate::Server(entry("p0", "plain")),
        ];
        for name in names {
            updates.push(StoreUpdate::Instance(member(&name, &addr(&name))));
        }
        self.nodes[n].knows = self.drained_at.map(|_| self.now);
        self.prove(n, updates);
    }

    /// Gives an instance an answer about the operators' keys.
    fn prove(&mut self, n: usize, updates: Vec<StoreUpdate>) {
        let proved_at = Millis(self.now - self.nodes[n].started_at);
        let input = Input::StoreUpdates {
            proved_at: Some(proved_at),
            shown_version: Some(1),
            config_position: StorePosition::default(),
            updates,
        };
        self.handle(n, input);
    }

    fn handle(&mut self, n: usize, input: Input) {
        let node = &mut self.nodes[n];
        let now = Millis(self.now - node.started_at);
        for output in node.core.handle(now, input) {
            match output {
                Output::Watch(watching) => {
                    let node = &mut self.nodes[n];
                    node.watching = watching;
                    node.read = match watching {
                        Watching::Loosely => None,
                        // The current state of operators' keys and entries.
                        _ => {
                            node.calls += 2;
                            Some((self.now + CALL_TIME, self.now))
                        }
                    };
                }
                Output::Broadcast(recipients, message) => {
                    for recipient in recipients.iter() {
                        let to = self.by_addr[&recipient.addr];
                        if self.nodes[to].is_up {
                            self.deliver(to, message.clone());
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, to: usize, message: PeerMessage) {
        match message {
            PeerMessage::Item(_) => {
                let now = self.now;
                self.nodes[to].knows.get_or_insert(now);
            }
            PeerMessage::Alive(_) => self.handle(to, heard(message)),
            _ => {}
        }
    }

    /// Lets the store answer an instance that watches the entries.
    fn answer(&mut self, n: usize, queried_at: u64) {
        let (now, started_at) = (self.now, self.nodes[n].started_at);
        let is_new = self.drained_at.is_some() && self.nodes[n].knows.is_none();
        if is_new {
            self.nodes[n].knows = Some(now);
        }
        if self.nodes[n].watching == Watching::Closely {
            if is_new {
                let item = Item {
                    key: "servers/p0".to_owned(),
                    revision: 9,
                    value: Some(Vec::new()),
                    era: StoreEra::default(),
                };
                self.handle(n, Input::ForwardItems(vec![item]));
            }
            let queried_at = queried_at.saturating_sub(started_at);
            let read = Input::EntriesRead {
                queried_at: Millis(queried_at),
                entries: EntriesState::default(),
            };
            self.handle(n, read);
        }
        self.prove(n, Vec::new());
        if self.nodes[n].watching != Watching::Loosely {
            self.nodes[n].calls += 2;
            self.nodes[n].read = Some((now + CLOSE_WAIT, now));
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += 5;
            for n in 0..self.nodes.len() {
                let node = &mut self.nodes[n];
                if !node.is_up {
                    continue;
                }
                // A waiting watch is answered at once.
                let is_told = self.drained_at.is_some() && node.knows.is_none();
                let answered = node.read.filter(|(due, queried_at)| {
                    self.now >= *due || (is_told && self.now >= queried_at + CALL_TIME)
                });
                if let Some((_, queried_at)) = answered {
                    node.read = None;
                    self.answer(n, queried_at);
                }
                let age = self.now - self.nodes[n].started_at;
                if (age + n as u64 * 5) % 25 == 0 {
                    self.handle(n, Input::Tick);
                }
                if (age + 200 * n as u64) % LOOSE_WAIT == 0 {
                    self.nodes[n].calls += 1;
                }
            }
        }
    }

    fn calls(&self) -> u64 {
        self.nodes.iter().map(|node| node.calls).sum()
    }

    /// Kills instances and lets a server drain, starts them again after a time, and
    /// checks when the others know and how often the store is called.
    fn lose(&mut self, victims: &[usize], down: u64, have_new_names: bool) {
        let quiet_from = self.calls();
        self.run_until(self.now + 4_000);
        let calm_calls = self.calls() - quiet_from;
        let others: Vec<usize> = (0..self.nodes.len())
            .filter(|n| !victims.contains(n))
            .collect();
        for &n in victims {
            self.nodes[n].is_up = false;
        }
        let calls_from = self.calls();
        self.run_until(self.now + 10);
        let drained_at = self.now;
        self.drained_at = Some(drained_at);
        self.run_until(drained_at + down);
        for &n in victims {
            if have_new_names {
                let name = format!("{}-new", self.nodes[n].name);
                let new = self.add(name);
                self.configure(new);
                continue;
            }
            let name = self.nodes[n].name.clone();
            self.nodes[n] = Node {
                core: Fleet::core(&name),
                started_at: self.now,
                is_up: true,
                watching: Watching::Loosely,
                read: None,
                knows: None,
                calls: self.nodes[n].calls,
                name,
            };
            self.configure(n);
        }
        self.run_until(drained_at + 3_990);
        let case = format!("{} of {}, {down} ms", victims.len(), self.nodes.len());
        for &n in &others {
            let after = self.nodes[n].knows.map(|at| at - drained_at);
            assert!(
                after.is_some_and(|after| after <= DRAIN_BOUND),
                "{case}: {} after {after:?}",
                self.nodes[n].name
            );
        }
        let calls = self.calls() - calls_from;
        assert!(
            calls <= 2 * calm_calls,
            "{case}: {calls} calls, {calm_calls} before"
        );
        // Two watch again once those that are gone for good count as lost.
        self.run_until(self.now + 12_000);
        let up = self.nodes.iter().filter(|node| node.is_up);
        let watchers = up.filter(|node| node.watching != Watching::Loosely);
        assert_eq!(watchers.count(), 2, "{case}");
    }

    /// Lists the instances that watch for all, then the others in the order in which
    /// they would follow.
    fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.nodes.len()).collect();
        order.sort_by_key(|&n| xxhash_rust::xxh3::xxh3_64(self.nodes[n].name.as_bytes()));
        order
    }
}

#[test]
fn a_draining_server_is_noticed_when_all_that_watch_the_store_end_at_once() {
    for (count, lost) in [(6, 2), (6, 3), (6, 5), (40, 2), (40, 3), (40, 24), (40, 39)] {
        for down in [500, 750, 2_000] {
            for have_new_names in [false, true] {
                let mut fleet = Fleet::start(count);
                let victims = fleet.order()[..lost].to_vec();
                fleet.lose(&victims, down, have_new_names);
            }
        }
    }
}

#[test]
fn a_draining_server_is_noticed_when_most_of_a_large_deployment_end_at_once() {
    for lost in [2, 77, 128] {
        let mut fleet = Fleet::start(129);
        let victims = fleet.order()[..lost].to_vec();
        fleet.lose(&victims, 750, false);
    }
}
