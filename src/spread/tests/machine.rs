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
    RepeatLastChange { node: usize },
    Faults(Vec<Fault>),
    ApplyLateWrites,
    SetStoreDown(bool),
    Cut { node: usize, cut_off: bool },
    Partition(Option<&'static str>),
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
            2 => (0..NODES).prop_map(|node| Step::RepeatLastChange { node }),
            2 => prop::collection::vec(fault, 1..4).prop_map(Step::Faults),
            1 => Just(Step::ApplyLateWrites),
            2 => any::<bool>().prop_map(Step::SetStoreDown),
            2 => (0..NODES, any::<bool>()).prop_map(|(node, cut_off)| Step::Cut { node, cut_off }),
            2 => prop::option::of(prop_oneof![Just("a"), Just("c")]).prop_map(Step::Partition),
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

struct Simulation {
    net: Net,
    /// Unanswered tickets, with object and value.
    unanswered: Vec<(u64, usize, u64)>,
    /// By object: the highest value whose change was accepted.
    accepted: BTreeMap<usize, u64>,
    /// The next value for any object; values only increase.
    next_value: u64,
    last_change: Option<Change>,
    backup: BTreeMap<String, StoreEntry>,
    /// Highest revision of each instance since it started.
    highest: Vec<u64>,
    /// Whether the store was restored, after which revisions may diverge.
    restored: bool,
    /// The text of each revision.
    texts: BTreeMap<u64, String>,
}

impl Simulation {
    fn new() -> Simulation {
        let mut net = Net::new(2);
        let text = document(&OBJECTS.map(|object| (object, "v0")));
        net.run(Millis(500));
        net.apply_and_wait(0, 0, "first", &text);
        net.run(Millis::from_secs(5));
        Simulation {
            backup: net.store.keys.clone(),
            net,
            unanswered: Vec::new(),
            accepted: BTreeMap::new(),
            next_value: 1,
            last_change: None,
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
        let value = self.next_value;
        self.next_value += 1;
        let mut declaration = (**declaration).clone();
        declaration.domains[object].region = format!("v{value}");
        let change = Change {
            base: self.net.nodes[node].spread.revision().0,
            id: format!("change-{value}"),
            text: crate::declaration::text(&declaration),
        };
        let ticket = self.net.apply(node, change.base, &change.id, &change.text);
        self.unanswered.push((ticket, object, value));
        self.last_change = Some(change);
    }

    fn repeat_last_change(&mut self, node: usize) {
        if let Some(change) = &self.last_change {
            self.net.apply(node, change.base, &change.id, &change.text);
        }
    }

    fn step(&mut self) {
        self.net.step();
        let unanswered = std::mem::take(&mut self.unanswered);
        for (ticket, object, value) in unanswered {
            match self.net.outcome(ticket) {
                None => self.unanswered.push((ticket, object, value)),
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
        self.net.partitioned_domains.clear();
        for node in &mut self.net.nodes {
            node.cut_off_from_store = false;
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

impl StateMachineTest for Simulation {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        match step {
            Step::Change { node, object } => simulation.change(node, object),
            Step::RepeatLastChange { node } => simulation.repeat_last_change(node),
            Step::Faults(faults) => simulation.net.store.faults = faults.into(),
            Step::ApplyLateWrites => simulation.net.store.apply_late_writes(),
            Step::SetStoreDown(down) => simulation.net.store.down = down,
            Step::Cut { node, cut_off } => simulation.net.nodes[node].cut_off_from_store = cut_off,
            Step::Partition(domain) => {
                simulation.net.partitioned_domains =
                    domain.map(str::to_owned).into_iter().collect();
            }
            // Instance 0 never restarts: a change that no instance holds any more
            // cannot survive a restore of the store.
            Step::Restart { node } if node > 0 => {
                simulation.net.restart(node);
                simulation.highest[node] = 0;
            }
            Step::Restart { .. } => {}
            Step::Backup => simulation.backup = simulation.net.store.keys.clone(),
            Step::Restore => {
                simulation.restored = true;
                simulation.net.store.keys = simulation.backup.clone();
            }
            Step::Wait(steps) => (0..steps).for_each(|_| simulation.step()),
        }
        simulation
    }

    fn check_invariants(_: &Simulation, (): &()) {}

    fn teardown(mut simulation: Simulation, (): ()) {
        simulation.heal_and_check();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn accepted_changes_are_never_lost(sequential 1..40 => Simulation);
}
