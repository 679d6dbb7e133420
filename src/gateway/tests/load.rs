//! Simulates workloads that shift between many short and many long prompts, and
//! checks the utility that callers receive.

use super::world::Outcome;
use super::world::Phase;
use super::world::Policy;
use super::world::World;

/// Workload shifts of a busy day: long prompts, short prompts, long prompts.
const SWINGS: [Phase; 3] = [
    Phase {
        until_ms: 10_500.0,
        factors: [0.35, 1.3, 2.7],
    },
    Phase {
        until_ms: 20_500.0,
        factors: [2.5, 0.5, 0.05],
    },
    Phase {
        until_ms: 30_500.0,
        factors: [0.35, 1.3, 2.7],
    },
];

/// Load factor at which the fleet is nearly saturated in each phase.
const FULL: f64 = 1.0;
/// Seeds that are simulated. Results of single seeds differ by a few
/// hundredths.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

/// Returns the mean share of the possible utility that callers receive, overall
/// and by class.
fn play(policy: Policy, scale: f64) -> (f64, [f64; 3]) {
    let runs: Vec<(f64, [f64; 3])> = std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| scope.spawn(move || play_one(policy, scale, seed)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let n = runs.len() as f64;
    let all = runs.iter().map(|run| run.0).sum::<f64>() / n;
    let classes = [0, 1, 2].map(|class| runs.iter().map(|run| run.1[class]).sum::<f64>() / n);
    (all, classes)
}

fn play_one(policy: Policy, scale: f64, seed: u64) -> (f64, [f64; 3]) {
    let mut world = World::new(policy, 6, 18);
    world.load(seed, scale, &SWINGS);
    world.run(50_000.0);
    let open = world.requests.iter().find(|r| r.outcome == Outcome::Open);
    assert!(open.is_none(), "every request ends: {open:?}");
    world.earned()
}

#[test]
fn callers_get_more_than_from_plain_balancers() {
    let (ours, classes) = play(Policy::Cores, FULL);
    for policy in [Policy::RoundRobin, Policy::FewestRequests] {
        let (theirs, _) = play(policy, FULL);
        assert!(ours > theirs, "{policy:?}: {ours:.3} against {theirs:.3}");
    }
    // A class that receives less than a quarter of the overall share is
    // starved.
    for share in classes {
        assert!(share > ours / 4.0, "{classes:.3?}");
    }
}

#[test]
fn short_prompts_feel_little_of_long_ones_at_a_light_load() {
    let (_, [short, _, _]) = play(Policy::Cores, 0.4);
    // The users' required minimum for a class under light load.
    assert!(short > 0.41, "{short:.3}");
}
