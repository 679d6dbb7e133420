//! Simulates fleets in which engines name rate limits. Checks that the limits are
//! kept and used, and that other engines serve the rest.

use proptest::prelude::*;

use super::simulation::Engine;
use super::simulation::Phase;
use super::simulation::Policy;
use super::simulation::Simulation;
use crate::clock::Millis;
use crate::gateway::rate_limits::Change;
use crate::gateway::rate_limits::RateLimits;
use crate::gateway::rate_limits::Source;
use crate::gateway::rate_limits::rate_share;
use crate::gateway::server_table::ServerKey;

/// End of the workload, in ms.
const END_MS: f64 = 40_000.0;
/// When engines name their limits, in ms.
const NAMED_MS: std::ops::Range<f64> = 8_000.0..30_000.0;
/// Time after the first naming from which a limit has to be kept, in ms.
const STABLE_MS: f64 = 3_000.0;
/// Time after which an instance that got an answer with a limit is counted, in
/// ms.
const TOLD_MS: f64 = 500.0;
/// Window over which requests are counted, in ms.
const WINDOW_MS: f64 = 4_000.0;

/// Simulates short, medium and long prompts; each of the first engines names one
/// of the limits.
fn run(seed: u64, cores: usize, limits: &[f64], scale: f64) -> Simulation {
    let mut simulation = Simulation::new(Policy::Cores, cores, 18);
    let phase = Phase {
        until_ms: END_MS,
        factors: [0.7, 0.7, 0.2],
    };
    simulation.add_workload(seed, scale, &[phase]);
    for (engine, &per_s) in simulation.engines.iter_mut().zip(limits) {
        engine.rate_limit = Some((per_s, NAMED_MS));
    }
    simulation.run(60_000.0);
    simulation
}

/// Returns the most requests that told instances sent to an engine in a window,
/// of those windows in which it names its limit.
fn most_in_window(engine: &Engine) -> usize {
    let first_told = engine.told.values().copied().fold(f64::MAX, f64::min);
    let counted: Vec<f64> = engine
        .sent
        .iter()
        .filter(|(at, core)| {
            let told_at = engine.told.get(core);
            told_at.is_some_and(|told_at| *at >= told_at + TOLD_MS) && *at < NAMED_MS.end
        })
        .map(|(at, _)| *at)
        .collect();
    let ends = counted.iter().filter(|at| **at >= first_told + STABLE_MS);
    ends.map(|end| {
        let window = counted
            .iter()
            .filter(|at| (end - WINDOW_MS..=*end).contains(*at));
        window.count()
    })
    .max()
    .unwrap_or(0)
}

fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW_MS / 1_000.0 * 1.5 + 5.0) as usize
}

fn count(engine: &Engine, span_ms: std::ops::Range<f64>) -> usize {
    engine
        .sent
        .iter()
        .filter(|(at, _)| span_ms.contains(at))
        .count()
}

/// Returns the share of requests that begin to be answered, among those that
/// arrive in a time span.
fn begun_share(simulation: &Simulation, span_ms: std::ops::Range<f64>) -> f64 {
    let requests = simulation.requests.iter();
    let requests: Vec<_> = requests.filter(|r| span_ms.contains(&r.arrived)).collect();
    let begun = requests
        .iter()
        .filter(|request| request.first_event.is_some());
    begun.count() as f64 / requests.len() as f64
}

#[test]
fn servers_that_name_a_rate_limit_get_no_more_requests_than_it_allows() {
    for (seed, cores, limits) in [
        (1, 6, &[1.0, 1.1, 2.0, 0.4][..]),
        (2, 6, &[5.0, 3.0]),
        (3, 40, &[1.0, 2.0, 0.5]),
        (4, 89, &[1.0, 4.0]),
    ] {
        let simulation = run(seed, cores, limits, 1.0);
        for (engine, &per_s) in simulation.engines.iter().zip(limits) {
            let most = most_in_window(engine);
            assert!(
                most <= allowed(per_s),
                "seed {seed}, {per_s} a second: {most}"
            );
        }
        let before = begun_share(&simulation, 2_000.0..NAMED_MS.start);
        let during = begun_share(&simulation, NAMED_MS);
        assert!(
            during > before - 0.05,
            "seed {seed}: {during:.2} of {before:.2} begin"
        );
    }
}

#[test]
fn a_rate_limit_is_used_and_ends_when_it_is_no_longer_named() {
    for (seed, cores) in [(5, 6), (6, 40)] {
        let limits = [2.0; 18];
        let simulation = run(seed, cores, &limits, 1.6);
        let total = |span_ms: std::ops::Range<f64>| {
            let engines = simulation.engines.iter();
            engines
                .map(|engine| count(engine, span_ms.clone()))
                .sum::<usize>()
        };
        let limited = total(NAMED_MS.start + STABLE_MS..NAMED_MS.end);
        let seconds = (NAMED_MS.end - NAMED_MS.start - STABLE_MS) / 1_000.0;
        let share = limited as f64 / (seconds * limits.iter().sum::<f64>());
        assert!(
            (0.5..=1.1).contains(&share),
            "seed {seed}: {share:.2} of the limits"
        );
        let after = begun_share(&simulation, NAMED_MS.end + 2_000.0..END_MS);
        assert!(after > 0.9, "seed {seed}: {after:.2}");
    }
}

fn server() -> ServerKey {
    ServerKey::from_raw(0.into())
}

/// Returns how many requests an instance that always has one to send sends
/// within a window that begins after an idle time.
fn sent_in_window(per_s: f64, share_per_s: f64) -> usize {
    let mut limits = RateLimits::default();
    limits.apply_notice(Millis::ZERO, server(), Source::Peer, Some(per_s));
    let idle_until = 10_000;
    let window = idle_until..idle_until + WINDOW_MS as u64;
    let mut sent = 0;
    for now in window.map(Millis) {
        while limits.wait(now, server(), share_per_s) == Millis::ZERO {
            limits.record_sent(now, server(), share_per_s);
            sent += 1;
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    /// All instances together keep a limit, also if each begins with what it has
    /// saved, and together they may use it.
    #[test]
    fn shares_of_a_rate_limit_add_up_to_it(per_s in 0.0_f64..30.0, instances in 1_usize..100) {
        let shares: Vec<f64> = (0..instances)
            .map(|rank| rate_share(per_s, instances, rank))
            .collect();
        prop_assert!((shares.iter().sum::<f64>() - per_s).abs() < 1e-6);
        let sent: usize = shares.iter().map(|&share| sent_in_window(per_s, share)).sum();
        prop_assert!(sent <= allowed(per_s), "{sent}");
    }
}

#[test]
fn an_answer_that_was_on_its_way_does_not_end_a_rate_limit() {
    let mut limits = RateLimits::default();
    let mut apply = |now, sent_at, per_s| {
        let source = Source::Response(Millis(sent_at));
        limits.apply_notice(Millis(now), server(), source, per_s)
    };
    assert_eq!(apply(100, 50, Some(2.0)), Some(Change::Limited(2.0)));
    assert_eq!(apply(101, 60, None), None);
    assert_eq!(apply(150, 110, Some(2.0)), None);
    assert_eq!(apply(160, 120, None), None);
    assert_eq!(apply(300, 200, None), Some(Change::Lifted));
    assert_eq!(apply(301, 201, None), None);
}

#[test]
fn a_rate_limit_that_no_instance_reports_again_is_dropped() {
    let mut limits = RateLimits::default();
    limits.apply_notice(Millis(0), server(), Source::Peer, Some(1.0));
    assert_eq!(limits.expire(Millis(59_000)), []);
    limits.apply_notice(Millis(59_000), server(), Source::Peer, Some(1.0));
    assert_eq!(limits.expire(Millis(60_000)), []);
    assert_eq!(limits.expire(Millis(119_000)), [server()]);
    assert_eq!(limits.per_s(server()), None);
}
