//! Random mixes of changes and faults; what must hold is checked after every
//! step.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use super::net::Fault;
use super::net::Net;
use super::net::document;
use crate::clock::Millis;
use crate::store::StoreEntry;

/// Domains that changes touch; each has one field that changes set.
const OBJECTS: [&str; 4] = ["w", "x", "y", "z"];
/// Instances of the fleet.
const NODES: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    Change { node: usize, object: usize },
    Again { node: usize },
    Faults(Vec<Fault>),
    Settle,
    Down(bool),
    Cut { node: usize, cut: bool },
    Island(Option<&'static str>),
    Restart { node: usize },
    Backup,
    Restore,
    Wait(u64),
}

/// The reference only draws steps; what must hold is known to the test.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let fault = prop_oneof![
            Just(Fault::LostAnswer),
            Just(Fault::LostWrite),
            Just(Fault::LateWrite)
        ];
        prop_oneof![
            6 => (0..NODES, 0..OBJECTS.len()).prop_map(|(node, object)| Step::Change { node, object }),
            2 => (0..NODES).prop_map(|node| Step::Again { node }),
            2 => prop::collection::vec(fault, 1..4).prop_map(Step::Faults),
            1 => Just(Step::Settle),
            2 => any::<bool>().prop_map(Step::Down),
            2 => (0..NODES, any::<bool>()).prop_map(|(node, cut)| Step::Cut { node, cut }),
            2 => prop::option::of(prop_oneof![Just("a"), Just("c")]).prop_map(Step::Island),
            1 => (0..NODES).prop_map(|node| Step::Restart { node }),
            1 => Just(Step::Backup),
            1 => Just(Step::Restore),
            6 => (1..80_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A change that an operator made.
#[derive(Clone)]
struct Change {
    base: u64,
    id: String,
    text: String,
}

struct Fleet {
    net: Net,
    /// Tickets whose answer is not seen yet, with object and value.
    open: Vec<(u64, usize, u64)>,
    /// By object: the highest value whose change was accepted.
    accepted: BTreeMap<usize, u64>,
    /// The next value of each object; values only grow.
    next: u64,
    last: Option<Change>,
    backup: BTreeMap<String, StoreEntry>,
    /// Highest revision of each instance since it started.
    seen: Vec<u64>,
    restored: bool,
    texts: BTreeMap<u64, String>,
}

impl Fleet {
    fn new() -> Fleet {
        let mut net = Net::new(2);
        let text = document(&OBJECTS.map(|object| (object, "v0")));
        net.run(Millis(500));
        net.applied(0, 0, "first", &text);
        net.run(Millis::from_secs(5));
        Fleet {
            backup: net.store.keys.clone(),
            net,
            open: Vec::new(),
            accepted: BTreeMap::new(),
            next: 1,
            last: None,
            seen: vec![0; NODES],
            restored: false,
            texts: BTreeMap::new(),
        }
    }

    /// Sets one object to a new value, over what the instance has in force.
    fn change(&mut self, node: usize, object: usize) {
        let Some(declaration) = self.net.nodes[node].spread.current() else {
            return;
        };
        let value = self.next;
        self.next += 1;
        let mut declaration = (**declaration).clone();
        declaration.domains[object].region = format!("v{value}");
        let change = Change {
            base: self.net.nodes[node].spread.revision().0,
            id: format!("change-{value}"),
            text: crate::declaration::text(&declaration),
        };
        let ticket = self.net.apply(node, change.base, &change.id, &change.text);
        self.open.push((ticket, object, value));
        self.last = Some(change);
    }

    fn again(&mut self, node: usize) {
        if let Some(change) = &self.last {
            self.net.apply(node, change.base, &change.id, &change.text);
        }
    }

    fn step(&mut self) {
        self.net.step();
        let open = std::mem::take(&mut self.open);
        for (ticket, object, value) in open {
            match self.net.outcome(ticket) {
                None => self.open.push((ticket, object, value)),
                Some(Ok(_)) => {
                    let highest = self.accepted.entry(object).or_default();
                    *highest = (*highest).max(value);
                }
                Some(Err(_)) => {}
            }
        }
        self.check();
    }

    /// What holds at every moment.
    fn check(&mut self) {
        for (index, revision) in self.net.revisions().into_iter().enumerate() {
            assert!(revision >= self.seen[index], "instance {index} went back");
            self.seen[index] = revision;
            let text = self.net.nodes[index].spread.text().unwrap_or_default();
            if revision == 0 || self.restored {
                continue;
            }
            let known = self
                .texts
                .entry(revision)
                .or_insert_with(|| text.to_owned());
            assert_eq!(known, text, "revision {revision} has two texts");
        }
    }

    /// Heals all and checks what holds in the end.
    fn heal(&mut self) {
        self.net.store.settle();
        self.net.store.down = false;
        self.net.store.faults.clear();
        self.net.islands.clear();
        for node in &mut self.net.nodes {
            node.cut = false;
        }
        for _ in 0..1200 {
            self.step();
        }
        let revisions = self.net.revisions();
        assert!(
            revisions.iter().all(|one| *one == revisions[0]),
            "{revisions:?}"
        );
        let declaration = self.net.nodes[0].spread.current().expect("known").clone();
        for node in &self.net.nodes {
            assert_eq!(node.spread.current(), Some(&declaration), "texts differ");
        }
        for (object, accepted) in &self.accepted {
            let region = &declaration.domains[*object].region;
            let value: u64 = region[1..].parse().expect("a value");
            assert!(
                value >= *accepted,
                "{region} is older than the accepted v{accepted}"
            );
        }
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut fleet: Fleet, (): &(), step: Step) -> Fleet {
        match step {
            Step::Change { node, object } => fleet.change(node, object),
            Step::Again { node } => fleet.again(node),
            Step::Faults(faults) => fleet.net.store.faults = faults.into(),
            Step::Settle => fleet.net.store.settle(),
            Step::Down(down) => fleet.net.store.down = down,
            Step::Cut { node, cut } => fleet.net.nodes[node].cut = cut,
            Step::Island(domain) => {
                fleet.net.islands = domain.map(str::to_owned).into_iter().collect();
            }
            // One instance goes on: what nobody knows any more cannot be kept.
            Step::Restart { node } if node > 0 => {
                fleet.net.restart(node);
                fleet.seen[node] = 0;
            }
            Step::Restart { .. } => {}
            Step::Backup => fleet.backup = fleet.net.store.keys.clone(),
            Step::Restore => {
                fleet.restored = true;
                fleet.net.store.keys = fleet.backup.clone();
            }
            Step::Wait(steps) => (0..steps).for_each(|_| fleet.step()),
        }
        fleet
    }

    fn check_invariants(_: &Fleet, (): &()) {}

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.heal();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn accepted_changes_are_never_lost(sequential 1..40 => Fleet);
}
