//! Simulates callers that compete for too little room: workspaces of which one
//! floods, ranks, and faults of the instance that holds a queue.

use std::collections::HashMap;

use super::simulation::Fault;
use super::simulation::MIXED;
use super::simulation::Outcome;
use super::simulation::Phase;
use super::simulation::Policy;
use super::simulation::Request;
use super::simulation::Simulation;
use super::simulation::route_table;
use crate::gateway::route::Route;
use crate::gateway::route::RouteTable;
use crate::gateway::route::Workspace;

/// Keys of the workspaces; the first one floods.
const KEYS: [&str; 10] = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9"];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
const CORES: usize = 6;
/// Short requests of the flood, relative to those of all workspaces.
const FLOOD: f64 = 4.0;
/// When the workload ends.
const END_MS: f64 = 9_000.0;

/// A workload, and the configuration under which it is played.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Whether the configuration has workspaces.
    has_workspaces: bool,
    /// Priorities of the routes of the three classes.
    priorities: [u8; 3],
    /// Factor for the rates of all classes.
    scale: f64,
    /// Short requests in addition, relative to those of the profile.
    flood: f64,
    /// When these begin and end.
    flood_from_ms: f64,
    flood_until_ms: f64,
    /// Whether the flood is one workspace's.
    flood_by_one: bool,
}

const FLOODED: Scenario = Scenario {
    has_workspaces: true,
    priorities: [1, 1, 1],
    scale: 1.0,
    flood: FLOOD,
    flood_from_ms: 1_000.0,
    flood_until_ms: END_MS,
    flood_by_one: true,
};

fn table(scenario: &Scenario) -> RouteTable {
    let mut table = route_table();
    let keys = KEYS.map(|key| {
        let workspace = Workspace {
            name: key.to_owned(),
            priority: None,
        };
        (key.to_owned(), workspace)
    });
    table.keys = scenario.has_workspaces.then(|| HashMap::from(keys));
    for route in table.hosts.values_mut().flatten() {
        let names = ["short", "medium", "long"];
        let class = names.iter().position(|name| *name == route.name).unwrap();
        route.priority = scenario.priorities[class];
    }
    // Requests of a lower rank, of which there are none: the order by what callers
    // lose is asked for by declaring different ranks.
    let last = table.hosts["host"][0].clone();
    let last = Route {
        name: "last".to_owned(),
        prefix: "/last/".to_owned(),
        priority: 3,
        ..last
    };
    table.insert("host".to_owned(), last);
    table
}

fn prepare(seed: u64, scenario: &Scenario) -> Simulation {
    let mut simulation = Simulation::with_routes(Policy::Cores, CORES, 18, &MIXED, table(scenario));
    let phase = |until_ms: f64, factors| Phase { until_ms, factors };
    simulation.add_workload(seed, scenario.scale, &[phase(END_MS, [1.0; 3])]);
    let calm = simulation.requests.len();
    let flood = [
        phase(scenario.flood_from_ms, [1e-6; 3]),
        phase(scenario.flood_until_ms, [scenario.flood, 1e-6, 1e-6]),
    ];
    simulation.add_workload(seed + 100, 1.0, &flood);
    for (index, request) in simulation.requests.iter_mut().enumerate() {
        let is_flood = index >= calm && scenario.flood_by_one;
        request.key = Some(if is_flood {
            KEYS[0]
        } else {
            KEYS[index % KEYS.len()]
        });
    }
    simulation
}

fn play(seed: u64, scenario: &Scenario) -> Vec<Request> {
    let mut simulation = prepare(seed, scenario);
    simulation.run(40_000.0);
    let open = simulation
        .requests
        .iter()
        .find(|r| r.outcome == Outcome::Open);
    assert!(open.is_none(), "every request ends: {open:?}");
    simulation.requests
}

fn play_seeds(scenario: &Scenario) -> Vec<Vec<Request>> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| scope.spawn(move || play(seed, scenario)))
            .collect();
        let runs = threads.into_iter().map(|thread| thread.join().unwrap());
        runs.collect()
    })
}

fn utility_share<'a>(requests: impl Iterator<Item = &'a Request>) -> f64 {
    let sums = requests.fold((0.0, 0.0), |(achieved, possible), request| {
        (
            achieved + request.achieved_utility(),
            possible + request.utility(),
        )
    });
    sums.0 / sums.1
}

fn is_served(request: &Request) -> bool {
    matches!(request.outcome, Outcome::InTime | Outcome::Late)
}

fn served_share<'a>(requests: impl Iterator<Item = &'a Request>) -> f64 {
    let counts = requests.fold((0, 0), |(served, all), request| {
        (served + i32::from(is_served(request)), all + 1)
    });
    f64::from(counts.0) / f64::from(counts.1)
}

/// Returns the means over all runs: the share of the utility of all requests, and
/// the share of utility and the served share of the worst workspace that does not
/// flood.
fn summarize(runs: &[Vec<Request>]) -> [f64; 3] {
    let mut means = [0.0; 3];
    for requests in runs {
        let of = |key: &'static str| requests.iter().filter(move |r| r.key == Some(key));
        let worst = |share: &dyn Fn(&'static str) -> f64| {
            KEYS[1..].iter().map(|key| share(key)).fold(1.0, f64::min)
        };
        means[0] += utility_share(requests.iter()) / runs.len() as f64;
        means[1] += worst(&|key| utility_share(of(key))) / runs.len() as f64;
        means[2] += worst(&|key| served_share(of(key))) / runs.len() as f64;
    }
    means
}

#[test]
fn a_workspace_that_floods_takes_no_room_from_those_that_ask_for_little() {
    let shared = summarize(&play_seeds(&FLOODED));
    let unshared = summarize(&play_seeds(&Scenario {
        has_workspaces: false,
        ..FLOODED
    }));
    println!("with shares {shared:.3?}, without {unshared:.3?}");
    assert!(
        shared[1] > unshared[1] + 0.15,
        "{shared:.3?} {unshared:.3?}"
    );
    assert!(shared[2] > 0.9, "{shared:.3?} {unshared:.3?}");
    assert!(
        shared[0] > unshared[0] - 0.03,
        "{shared:.3?} {unshared:.3?}"
    );
}

#[test]
fn shares_change_nothing_while_there_is_room() {
    let calm = Scenario {
        flood: 1e-6,
        scale: 0.8,
        ..FLOODED
    };
    let shared = summarize(&play_seeds(&calm));
    let unshared = summarize(&play_seeds(&Scenario {
        has_workspaces: false,
        ..calm
    }));
    println!("with shares {shared:.3?}, without {unshared:.3?}");
    assert!(
        shared[0] > unshared[0] - 0.01,
        "{shared:.3?} {unshared:.3?}"
    );
    assert!(
        shared[1] > unshared[1] - 0.05,
        "{shared:.3?} {unshared:.3?}"
    );
}

#[test]
fn room_that_was_lent_is_back_within_a_second() {
    let from = 5_000.0;
    for seed in SEEDS {
        let mut simulation = prepare(seed, &FLOODED);
        // The flood has the engines for itself; the others arrive only then.
        let is_early = |request: &Request| request.key != Some(KEYS[0]) && request.arrived < from;
        simulation.forget_requests(is_early);
        simulation.run(40_000.0);
        let requests = simulation.requests.iter();
        let late = requests.filter(|r| r.key != Some(KEYS[0]) && r.arrived > from + 1_000.0);
        let share = served_share(late);
        println!("seed {seed}: {share:.3}");
        assert!(share > 0.9, "seed {seed}: {share:.3}");
    }
}

#[test]
fn a_less_urgent_rank_is_not_served_more_often() {
    let ranked = Scenario {
        priorities: [0, 1, 2],
        flood: 7.0,
        flood_by_one: false,
        ..FLOODED
    };
    let classes = |runs: &[Vec<Request>]| {
        [0, 1, 2].map(|class| served_share(runs.iter().flatten().filter(|r| r.class == class)))
    };
    let with_ranks = classes(&play_seeds(&ranked));
    let without = classes(&play_seeds(&Scenario {
        priorities: [1, 1, 1],
        ..ranked
    }));
    println!("with ranks {with_ranks:.3?}, without {without:.3?}");
    let excess = |shares: [f64; 3]| (shares[1] - shares[0]).max(shares[2] - shares[0]);
    assert!(
        excess(with_ranks) < excess(without),
        "{with_ranks:.3?} {without:.3?}"
    );
    assert!(excess(with_ranks) < 0.1, "{with_ranks:.3?} {without:.3?}");
    // They are held back no further than that.
    assert!(
        with_ranks[1].min(with_ranks[2]) > with_ranks[0] / 2.0,
        "{with_ranks:.3?} {without:.3?}"
    );
}

/// When the first core has a fault.
const FAULT: std::ops::Range<f64> = 3_000.0..5_500.0;

/// Plays a flood during which the first core has a fault. Returns its requests and
/// those of the others.
fn play_fault(fault: Fault) -> (Vec<Request>, Vec<Request>) {
    let mut simulation = prepare(1, &FLOODED);
    simulation.add_fault(0, fault, FAULT);
    simulation.run(40_000.0);
    let requests = simulation.requests.into_iter();
    let (first, others): (Vec<_>, Vec<_>) = requests.partition(|request| request.core == 0);
    let ended = |requests: &[Request]| requests.iter().all(|r| r.outcome != Outcome::Open);
    assert!(ended(&others) && (fault == Fault::Killed || ended(&first)));
    (first, others)
}

/// Returns whether a core that does not run sent nothing, and nothing came of what
/// it held.
fn is_idle(requests: &[Request], fault: Fault) -> bool {
    let arrived = requests.iter().filter(|r| FAULT.contains(&r.arrived));
    let mut first_events = arrived.filter_map(|request| request.first_event);
    match fault {
        Fault::Suspended => first_events.all(|at| at >= FAULT.end),
        Fault::Killed => first_events.next().is_none(),
        Fault::Isolated | Fault::StoreDown => true,
    }
}

#[test]
fn faults_of_an_instance_with_a_queue_cost_the_others_nothing() {
    for fault in [
        Fault::Suspended,
        Fault::Killed,
        Fault::Isolated,
        Fault::StoreDown,
    ] {
        let (first, others) = play_fault(fault);
        assert!(is_idle(&first, fault), "{fault:?}");
        let share = served_share(others.iter().filter(|r| r.key != Some(KEYS[0])));
        println!("{fault:?}: {share:.3}");
        assert!(share > 0.9, "{fault:?}: {share:.3}");
    }
}
