//! Random sequences of changes and faults, with invariants checked after every step:
//! revisions never decrease, a revision has one text, and no accepted change is
//! lost.

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

/// Names of the domains whose region the changes set.
const OBJECTS: [&str; 4] = ["w", "x", "y", "z"];
/// Number of instances.
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

/// The reference machine only generates steps and has no state; the test checks the
/// invariants.
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
    /// Unanswered tickets, with object and value.
    open: Vec<(u64, usize, u64)>,
    /// By object: the highest value whose change was accepted.
    accepted: BTreeMap<usize, u64>,
    /// The next value for any object; values only increase.
    next: u64,
    last: Option<Change>,
    backup: BTreeMap<String, StoreEntry>,
    /// Highest revision of each instance since it started.
    highest: Vec<u64>,
    /// Whether the store was restored, after which revisions may diverge.
    restored: bool,
    /// The text of each revision.
    texts: BTreeMap<u64, String>,
}

impl Fleet {
    fn new() -> Fleet {
        let mut net = Net::new(2);
        let text = document(&OBJECTS.map(|object| (object, "v0")));
        net.run(Millis(500));
        net.apply_and_wait(0, 0, "first", &text);
        net.run(Millis::from_secs(5));
        Fleet {
            backup: net.store.keys.clone(),
            net,
            open: Vec::new(),
            accepted: BTreeMap::new(),
            next: 1,
            last: None,
            highest: vec![0; NODES],
            restored: false,
            texts: BTreeMap::new(),
        }
    }

    /// Submits a change that sets one object to a new value, based on the instance's
    /// current revision.
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

    fn repeat_last_change(&mut self, node: usize) {
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
        self.check_step();
    }

    /// Checks the invariants that hold at every step.
    fn check_step(&mut self) {
        for (index, revision) in self.net.revisions().into_iter().enumerate() {
            assert!(
                revision >= self.highest[index],
                "the revision of instance {index} decreased"
            );
            self.highest[index] = revision;
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

    /// Ends all faults, waits, and checks that all instances agree and no accepted
    /// change is lost.
    fn heal_and_check(&mut self) {
        self.net.store.apply_late_writes();
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
            assert_eq!(
                node.spread.current(),
                Some(&declaration),
                "declarations differ"
            );
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
            Step::Again { node } => fleet.repeat_last_change(node),
            Step::Faults(faults) => fleet.net.store.faults = faults.into(),
            Step::Settle => fleet.net.store.apply_late_writes(),
            Step::Down(down) => fleet.net.store.down = down,
            Step::Cut { node, cut } => fleet.net.nodes[node].cut = cut,
            Step::Island(domain) => {
                fleet.net.islands = domain.map(str::to_owned).into_iter().collect();
            }
            // Instance 0 never restarts: a change that no instance holds any more
            // cannot survive a restore of the store.
            Step::Restart { node } if node > 0 => {
                fleet.net.restart(node);
                fleet.highest[node] = 0;
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
        fleet.heal_and_check();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn accepted_changes_are_never_lost(sequential 1..40 => Fleet);
}
