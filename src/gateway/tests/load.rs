//! Simulates workloads that shift between many short and many long prompts, and
//! checks the utility that callers receive.

use super::simulation::LONG_TAIL;
use super::simulation::Outcome;
use super::simulation::Phase;
use super::simulation::Policy;
use super::simulation::Request;
use super::simulation::Simulation;

/// A workload that shifts every ten seconds: mostly long prompts, mostly short
/// ones, mostly long ones.
const WORKLOAD_SHIFTS: [Phase; 3] = [
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
const SATURATING_LOAD: f64 = 1.0;
/// Minimum share of the possible utility that is required for each class under
/// light load.
const MIN_LIGHT_LOAD_SHARE: f64 = 0.41;
/// Seeds that are simulated. Results of single seeds differ by a few
/// hundredths.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

/// Length of a prompt that exceeds an engine's memory, in tokens.
const OVERSIZED_PROMPT_TOKENS: f64 = 351_000.0;
/// When that prompt arrives, in ms.
const OVERSIZED_PROMPT_AT_MS: f64 = 4_000.0;
/// Request rate of short prompts at which each of twelve engines decodes 11 to
/// 15 streams, relative to the profile.
const BUSY_SHORT_FACTOR: f64 = 2.2;
/// Minimum share of the possible utility under the long-tailed workload, as its
/// users demand.
const MIN_LONG_TAIL_SHARE: f64 = 0.88;
/// Load factor of the long-tailed workload.
const LONG_TAIL_LOAD: f64 = 0.27;
/// Request rate of short prompts that leaves most engines free for a while.
const LIGHT_SHORT_FACTOR: f64 = 1.0;

/// Returns the mean share of the possible utility that callers receive, overall
/// and by class. `scale` multiplies the request rates of all classes.
fn mean_utility_shares(policy: Policy, scale: f64) -> (f64, [f64; 3]) {
    let runs: Vec<(f64, [f64; 3])> = std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| scope.spawn(move || run_seed(policy, scale, seed)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let runs_count = runs.len() as f64;
    let overall = runs.iter().map(|run| run.0).sum::<f64>() / runs_count;
    let classes =
        [0, 1, 2].map(|class| runs.iter().map(|run| run.1[class]).sum::<f64>() / runs_count);
    (overall, classes)
}

fn run_seed(policy: Policy, scale: f64, seed: u64) -> (f64, [f64; 3]) {
    let mut simulation = Simulation::new(policy, 6, 18);
    simulation.add_workload(seed, scale, &WORKLOAD_SHIFTS);
    simulation.run(50_000.0);
    let open = simulation
        .requests
        .iter()
        .find(|r| r.outcome == Outcome::Open);
    assert!(open.is_none(), "every request ends: {open:?}");
    simulation.utility_fraction()
}

#[test]
fn callers_receive_more_utility_than_from_plain_load_balancers() {
    let (core_share, classes) = mean_utility_shares(Policy::Cores, SATURATING_LOAD);
    for policy in [Policy::RoundRobin, Policy::FewestRequests] {
        let (baseline_share, _) = mean_utility_shares(policy, SATURATING_LOAD);
        assert!(
            core_share > baseline_share,
            "{policy:?}: {core_share:.3} against {baseline_share:.3}"
        );
    }
    // A class that receives less than a quarter of the overall share is
    // starved.
    for share in classes {
        assert!(share > core_share / 4.0, "{classes:.3?}");
    }
}

#[test]
fn long_prompts_hardly_delay_short_ones_under_light_load() {
    let (_, [short, _, _]) = mean_utility_shares(Policy::Cores, 0.4);
    assert!(short > MIN_LIGHT_LOAD_SHARE, "{short:.3}");
}

/// Simulates short prompts on twelve engines, and after a while one prompt
/// larger than an engine's memory, if `oversized`. Returns the short requests,
/// and the oversized one.
fn run_oversized(seed: u64, factor: f64, oversized: bool) -> (Vec<Request>, Option<Request>) {
    let mut simulation = Simulation::new(Policy::Cores, 6, 12);
    let phase = Phase {
        until_ms: 5_000.0,
        factors: [factor, 0.0, 0.0],
    };
    simulation.add_workload(seed, 1.0, &[phase]);
    let prompt = oversized
        .then(|| simulation.add_prompt(2, OVERSIZED_PROMPT_TOKENS, OVERSIZED_PROMPT_AT_MS));
    simulation.run(30_000.0);
    let mut requests = simulation.requests;
    let prompt = prompt.map(|index| requests.remove(index));
    (requests, prompt)
}

#[test]
fn an_oversized_prompt_costs_streams_at_most_its_own_utility() {
    let received =
        |requests: &[Request]| -> f64 { requests.iter().map(Request::received_utility).sum() };
    for seed in 1..=8 {
        let (without, _) = run_oversized(seed, BUSY_SHORT_FACTOR, false);
        let (with, prompt) = run_oversized(seed, BUSY_SHORT_FACTOR, true);
        let prompt = prompt.unwrap();
        let lost = received(&without) - received(&with);
        assert!(lost <= prompt.utility(), "seed {seed}: {lost:.1}");
        let abandoned = with.iter().filter(|r| r.is_abandoned()).count();
        assert_eq!(abandoned, 0, "seed {seed}");
        // A prompt that is declined has not run.
        assert_ne!(prompt.outcome, Outcome::Failed, "seed {seed}");
    }
}

#[test]
fn an_oversized_prompt_is_served_in_time_under_light_load() {
    for seed in 1..=8 {
        let (_, prompt) = run_oversized(seed, LIGHT_SHORT_FACTOR, true);
        assert_eq!(prompt.unwrap().outcome, Outcome::InTime, "seed {seed}");
    }
}

/// Simulates the long-tailed workload while it shifts between long and short
/// prompts, on as many engines as keep it below saturation. Returns all requests.
fn run_long_tail(seed: u64) -> Vec<Request> {
    let mut simulation = Simulation::with_profile(Policy::Cores, 6, 26, &LONG_TAIL);
    simulation.add_workload(seed, LONG_TAIL_LOAD, &WORKLOAD_SHIFTS);
    simulation.run(50_000.0);
    simulation.requests
}

#[test]
fn callers_of_a_long_tailed_workload_are_served_as_they_demand() {
    for seed in SEEDS {
        let requests = run_long_tail(seed);
        let achieved: f64 = requests.iter().map(Request::received_utility).sum();
        let possible: f64 = requests.iter().map(Request::utility).sum();
        let share = achieved / possible;
        assert!(share > MIN_LONG_TAIL_SHARE, "seed {seed}: {share:.3}");
    }
}

#[test]
fn parts_of_huge_prompts_break_off_hardly_any_streams() {
    for seed in SEEDS {
        let requests = run_long_tail(seed);
        let answered = requests.iter().filter(|r| r.first_event.is_some()).count();
        let abandoned = requests.iter().filter(|r| r.is_abandoned()).count();
        assert!(abandoned * 100 <= answered, "seed {seed}: {abandoned}");
    }
}
