//! Several instances with one store: no key runs twice, whichever calls and
//! messages are lost.

use std::collections::BTreeMap;
use std::collections::HashMap;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::control::Identity;
use crate::id::Boot;
use crate::metrics::Metrics;
use crate::store::KeyVersion;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::timeline::Timeline;

const RETENTION: Millis = Millis(600_000);

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StoreMode {
    Up,
    Down,
    LosesAnswers,
}

#[derive(Debug, Clone, Default)]
struct FakeStore {
    entries: BTreeMap<String, StoreEntry>,
    version: u64,
    writes: u64,
}

impl FakeStore {
    fn call(&mut self, mode: StoreMode, op: StoreOp) -> StoreResult {
        if mode == StoreMode::Down {
            return Err(StoreFailure::NotRun { retry_after: None });
        }
        let answer = match op {
            StoreOp::Get { key } => StoreAnswer::Entry(self.entries.get(&key).cloned()),
            StoreOp::Create { key, value, .. } => self.put(key, value, KeyVersion(0)),
            StoreOp::Swap {
                key,
                value,
                version,
                ..
            } => self.put(key, value, version),
            other => panic!("unexpected call {other:?}"),
        };
        match mode {
            StoreMode::LosesAnswers => Err(StoreFailure::MayHaveRun),
            _ => Ok(answer),
        }
    }

    fn put(&mut self, key: String, value: Vec<u8>, expected: KeyVersion) -> StoreAnswer {
        let current = self.entries.get(&key);
        if current.map_or(KeyVersion(0), |entry| entry.version) != expected {
            return StoreAnswer::Conflict(current.cloned());
        }
        self.version += 1;
        self.writes += 1;
        let version = KeyVersion(self.version);
        self.entries.insert(key, StoreEntry { value, version });
        StoreAnswer::Written(version)
    }
}

/// Instances with this component, the messages between them, and the plain
/// service that they call.
struct Simulation {
    now: Millis,
    store_mode: StoreMode,
    store: FakeStore,
    instances: Vec<AtMostOnce>,
    outputs: Vec<(usize, Output)>,
    /// Instance whose peer messages are dropped.
    isolated: Option<usize>,
    /// Key of each request.
    keys: HashMap<RequestId, String>,
    /// Number of runs by key.
    runs: HashMap<String, u32>,
    /// Granted calls without a result: instance and key.
    running: HashMap<RequestId, (usize, String)>,
    outcomes: Vec<ClaimOutcome>,
    metrics: Metrics,
}

fn name(index: usize) -> String {
    format!("entry-{index}")
}

fn peer(index: usize) -> Peer {
    Peer {
        name: name(index),
        addr: index.to_string(),
    }
}

impl Simulation {
    fn new(count: usize) -> Simulation {
        let mut simulation = Simulation {
            now: Millis(1),
            store_mode: StoreMode::Up,
            store: FakeStore::default(),
            instances: Vec::new(),
            outputs: Vec::new(),
            isolated: None,
            keys: HashMap::new(),
            runs: HashMap::new(),
            running: HashMap::new(),
            outcomes: Vec::new(),
            metrics: Metrics::new(),
        };
        for _ in 0..count {
            simulation.instances.push(AtMostOnce::new(Millis(0)));
        }
        for index in 0..count {
            simulation.restart(index);
        }
        simulation
    }

    /// Replaces an instance by a new process and forgets its calls.
    fn restart(&mut self, index: usize) {
        let peers: Vec<Peer> = (0..self.instances.len()).map(peer).collect();
        self.instances[index] = AtMostOnce::new(Millis(0));
        self.instances[index].set_keeper_candidates(peers.clone());
        self.instances[index].set_known_instances(peers);
        self.running.retain(|_, (owner, _)| *owner != index);
    }

    fn with_instance<F>(&mut self, index: usize, work: F)
    where
        F: FnOnce(&mut AtMostOnce, &mut Cx<'_>) -> Vec<ClaimOutcome>,
    {
        let me = Identity {
            name: name(index),
            domain: "d".to_owned(),
            boot: Boot(1),
            peer_addr: String::new(),
            unix_time_at_start: Millis::ZERO,
        };
        let mut out = Vec::new();
        let mut cx = Cx {
            now: self.now,
            me: &me,
            out: &mut out,
            rng: &mut ChaCha8Rng::seed_from_u64(1),
            timeline: &mut Timeline::new("t"),
            metrics: &self.metrics,
        };
        let outcomes = work(&mut self.instances[index], &mut cx);
        self.outputs
            .extend(out.into_iter().map(|output| (index, output)));
        for outcome in outcomes {
            self.on_outcome(index, outcome);
        }
    }

    /// Runs a granted call immediately and counts the run.
    fn on_outcome(&mut self, index: usize, outcome: ClaimOutcome) {
        if outcome.answer == Some(ClaimAnswer::Granted) {
            let key = self.keys[&outcome.request].clone();
            *self.runs.entry(key.clone()).or_default() += 1;
            self.running.insert(outcome.request, (index, key));
        }
        self.outcomes.push(outcome);
    }

    fn claim(&mut self, index: usize, request: u64, key: &str) {
        let request = RequestId(request);
        self.keys.insert(request, key.to_owned());
        let slot = Slot::of("w", key);
        self.with_instance(index, |once, cx| {
            once.claim(cx, request, slot, 1, RETENTION)
        });
    }

    fn settle(&mut self, request: u64) {
        let request = RequestId(request);
        let Some((index, key)) = self.running.remove(&request) else {
            return;
        };
        let slot = Slot::of("w", &key);
        let result = Recorded {
            status: 200,
            body: Some(b"ok".to_vec()),
        };
        self.with_instance(index, |once, cx| once.settle(cx, request, slot, result));
    }

    /// Delivers pending outputs, including those that deliveries produce, then
    /// advances the clock.
    fn step(&mut self, duration: Millis) {
        for _ in 0..4 {
            for (from, output) in std::mem::take(&mut self.outputs) {
                self.deliver(from, output);
            }
        }
        self.now += duration;
        for index in 0..self.instances.len() {
            self.with_instance(index, AtMostOnce::tick);
        }
    }

    fn deliver(&mut self, from: usize, output: Output) {
        match output {
            Output::Store { ticket, op } => {
                let result = self.store.call(self.store_mode, op);
                self.with_instance(from, |once, cx| once.on_store(cx, ticket, result));
            }
            Output::Peer { addr, message, .. } => {
                let to: usize = addr.parse().expect("an index");
                if self.isolated == Some(to) || self.isolated == Some(from) {
                    return;
                }
                let PeerMessage::Once(message) = message else {
                    return;
                };
                let from = name(from);
                self.with_instance(to, |once, cx| once.on_message(cx, &from, message));
            }
            _ => {}
        }
    }

    fn outcome_of(&self, request: u64) -> Option<&ClaimOutcome> {
        let request = RequestId(request);
        self.outcomes
            .iter()
            .find(|outcome| outcome.request == request)
    }
}

#[test]
fn one_of_two_claims_through_different_instances_is_granted() {
    let mut simulation = Simulation::new(3);
    simulation.claim(0, 1, "k");
    simulation.claim(1, 2, "k");
    for _ in 0..10 {
        simulation.step(Millis(100));
    }
    assert_eq!(simulation.runs["k"], 1);
    simulation.settle(1);
    simulation.settle(2);
    simulation.step(Millis(300));
    simulation.claim(2, 3, "k");
    for _ in 0..5 {
        simulation.step(Millis(300));
    }
    let answer = simulation
        .outcome_of(3)
        .and_then(|outcome| outcome.answer.clone());
    assert!(
        matches!(answer, Some(ClaimAnswer::Recorded(_))),
        "{answer:?}"
    );
}

#[test]
fn a_claim_with_a_lost_answer_is_resolved_by_reading_back() {
    let mut simulation = Simulation::new(1);
    simulation.store_mode = StoreMode::LosesAnswers;
    simulation.claim(0, 1, "k");
    simulation.step(Millis(100));
    simulation.store_mode = StoreMode::Up;
    for _ in 0..5 {
        simulation.step(Millis(300));
    }
    let answer = simulation
        .outcome_of(1)
        .and_then(|outcome| outcome.answer.clone());
    assert_eq!(answer, Some(ClaimAnswer::Granted));
    assert_eq!(simulation.runs["k"], 1);
}

#[test]
fn without_the_store_no_claim_is_granted_and_the_key_stays_usable() {
    let mut simulation = Simulation::new(2);
    simulation.store_mode = StoreMode::Down;
    simulation.claim(0, 1, "k");
    for _ in 0..10 {
        simulation.step(Millis(300));
    }
    assert_eq!(
        simulation
            .outcome_of(1)
            .map(|outcome| outcome.answer.clone()),
        Some(None)
    );
    simulation.store_mode = StoreMode::Up;
    for _ in 0..5 {
        simulation.step(Millis(300));
    }
    simulation.claim(1, 2, "k");
    for _ in 0..5 {
        simulation.step(Millis(300));
    }
    let answer = simulation
        .outcome_of(2)
        .and_then(|outcome| outcome.answer.clone());
    assert_eq!(answer, Some(ClaimAnswer::Granted));
}

/// Guards against lost results of a draining instance: the others no longer
/// count it as a keeper, but must still send it their answers.
#[test]
fn a_leaving_instance_gets_its_results_confirmed() {
    let mut simulation = Simulation::new(3);
    for request in 0..12 {
        simulation.claim(0, request, &format!("k{request}"));
    }
    for _ in 0..5 {
        simulation.step(Millis(300));
    }
    let staying: Vec<Peer> = (1..3).map(peer).collect();
    for once in &mut simulation.instances {
        once.set_keeper_candidates(staying.clone());
    }
    for request in 0..12 {
        simulation.settle(request);
    }
    for _ in 0..5 {
        simulation.step(Millis(300));
    }
    assert_eq!(simulation.instances[0].unconfirmed_count(), 0);
}

/// Returns two instances of different failure domains.
fn two_domains() -> Simulation {
    let mut simulation = Simulation::new(2);
    for (index, once) in simulation.instances.iter_mut().enumerate() {
        once.set_keeper_candidates(vec![peer(index)]);
        once.set_other_domains(vec![vec![peer(1 - index)]]);
    }
    simulation
}

#[test]
fn a_claim_that_the_store_has_lost_is_known_in_another_failure_domain() {
    for has_read_before in [false, true] {
        let mut simulation = two_domains();
        if has_read_before {
            simulation.claim(1, 1, "k");
            simulation.step(Millis(300));
            simulation.with_instance(1, |once, cx| {
                once.release(cx, RequestId(1), Slot::of("w", "k"))
            });
            simulation.step(Millis(300));
        }
        let before = simulation.runs.get("k").copied().unwrap_or_default();
        let older = simulation.store.clone();
        simulation.claim(0, 2, "k");
        simulation.step(Millis(300));
        assert_eq!(simulation.runs["k"], before + 1);
        simulation.store = older;
        simulation.claim(1, 3, "k");
        for _ in 0..5 {
            simulation.step(Millis(300));
        }
        assert_eq!(simulation.runs["k"], before + 1, "{has_read_before}");
        let answer = simulation.outcome_of(3).unwrap().answer.clone();
        assert_eq!(answer, Some(ClaimAnswer::Unsettled), "{has_read_before}");
    }
}

#[test]
fn a_claim_that_was_released_is_free_in_another_failure_domain() {
    let mut simulation = two_domains();
    simulation.claim(0, 1, "k");
    simulation.step(Millis(300));
    simulation.with_instance(0, |once, cx| {
        once.release(cx, RequestId(1), Slot::of("w", "k"))
    });
    simulation.step(Millis(300));
    simulation.claim(1, 2, "k");
    for _ in 0..5 {
        simulation.step(Millis(300));
    }
    let answer = simulation.outcome_of(2).unwrap().answer.clone();
    assert_eq!(answer, Some(ClaimAnswer::Granted));
}

#[test]
fn the_same_key_in_another_workspace_is_another_claim() {
    assert_ne!(Slot::of("a", "bk"), Slot::of("ab", "k"));
}

#[test]
fn many_claims_share_their_writes() {
    let mut simulation = Simulation::new(1);
    for request in 0..2_000 {
        simulation.claim(0, request, &format!("k{request}"));
    }
    for _ in 0..30 {
        simulation.step(Millis(50));
    }
    let granted = simulation
        .outcomes
        .iter()
        .filter(|o| o.answer == Some(ClaimAnswer::Granted));
    assert_eq!(granted.count(), 2_000);
    let bound = u64::from(CLAIM_SHARDS) * 2;
    assert!(
        simulation.store.writes <= bound,
        "{} writes",
        simulation.store.writes
    );
}

#[derive(Debug, Clone)]
enum Step {
    Claim { index: usize, key: u8 },
    Settle { requests_ago: u64 },
    Release { requests_ago: u64 },
    StoreMode(StoreMode),
    Isolate(Option<usize>),
    Restart { index: usize },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3_usize, 0..3_u8).prop_map(|(index, key)| Step::Claim { index, key }),
        3 => (0..6_u64).prop_map(|requests_ago| Step::Settle { requests_ago }),
        1 => (0..6_u64).prop_map(|requests_ago| Step::Release { requests_ago }),
        2 => prop::sample::select(vec![StoreMode::Up, StoreMode::Down, StoreMode::LosesAnswers])
            .prop_map(Step::StoreMode),
        1 => prop::option::of(0..3_usize).prop_map(Step::Isolate),
        1 => (0..3_usize).prop_map(|index| Step::Restart { index }),
        8 => (0..700_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn no_key_runs_twice(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new(3);
        let mut next = 0;
        let mut releases = HashMap::<String, u32>::new();
        for step in steps {
            match step {
                Step::Claim { index, key } => {
                    next += 1;
                    simulation.claim(index, next, &format!("k{key}"));
                }
                Step::Settle { requests_ago } => simulation.settle(next.saturating_sub(requests_ago)),
                Step::Release { requests_ago } => {
                    let request = RequestId(next.saturating_sub(requests_ago));
                    if let Some((index, key)) = simulation.running.remove(&request) {
                        *releases.entry(key.clone()).or_default() += 1;
                        let slot = Slot::of("w", &key);
                        simulation.with_instance(index, |once, cx| once.release(cx, request, slot));
                    }
                }
                Step::StoreMode(mode) => simulation.store_mode = mode,
                Step::Isolate(index) => simulation.isolated = index,
                Step::Restart { index } => simulation.restart(index),
                Step::Wait { ms } => simulation.step(Millis(ms)),
            }
            for (key, &runs) in &simulation.runs {
                let released = releases.get(key).copied().unwrap_or_default();
                prop_assert!(runs <= 1 + released, "{key} ran {runs} times");
            }
        }
    }
}
