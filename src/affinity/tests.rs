use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::fixture::SPEEDS;
use crate::fixture::fleet;
use crate::fixture::job;
use crate::fixture::policy_simulation::Policy;
use crate::fixture::policy_simulation::PolicySimulation;
use crate::fixture::policy_simulation::percentile;
use crate::id::Fingerprint;
use crate::job::Job;

const RULES: &str = "
[[domain]]
name = 'ikeja'
[[limit]]
warm = { streams = 32, memory_tokens = 600000, prefill_tokens = 600000 }
cold = { streams = 2, memory_tokens = 100000, prefill_tokens = 100000 }
[[kind]]
name = 'summary'
deadline_ms = 30000
importance = 50
[[workspace]]
name = 'agents'
token_sha256 = 'a'
[[route]]
name = 'all'
prefer = ['']
";

fn engines_by_score(prefix: u64, engines: u64) -> Vec<u64> {
    let mut engines: Vec<u64> = (1..=engines).collect();
    engines.sort_by(|&a, &b| {
        rendezvous_score(prefix, b, 1.0).total_cmp(&rendezvous_score(prefix, a, 1.0))
    });
    engines
}

#[test]
fn removing_an_engine_moves_only_its_own_prefixes() {
    for prefix in 1..500 {
        let with_engine = engines_by_score(prefix, 10);
        let without_engine = engines_by_score(prefix, 9);
        let expected = if with_engine[0] == 10 {
            with_engine[1]
        } else {
            with_engine[0]
        };
        assert_eq!(without_engine[0], expected);
    }
}

#[test]
fn prefixes_are_assigned_in_proportion_to_weights() {
    let first =
        |prefix: &u64| rendezvous_score(*prefix, 1, 3.0) > rendezvous_score(*prefix, 2, 1.0);
    let count = (0..20_000).filter(first).count();
    assert!((14_500..15_500).contains(&count), "{count} of 20000");
}

#[test]
fn copies_follow_popularity() {
    let fleet = fleet("", &[("a", "ikeja", "")]);
    let key = fleet.backend_key("a").unwrap();
    let mut affinity = Affinity::default();
    for i in 0..1_000 {
        let prefix = if i % 2 == 0 { 1 } else { 2 + i };
        affinity.record_sent(Millis(i), prefix, key);
    }
    let now = Millis(1_000);
    assert_eq!(affinity.replica_count(now, 1, 10), 10);
    assert_eq!(affinity.replica_count(now, 3, 10), 1);
    affinity.replication_policy = ReplicationPolicy::One;
    assert_eq!(affinity.replica_count(now, 1, 10), 1);
}

#[test]
fn holders_expire_and_the_number_of_prefixes_is_bounded() {
    let fleet = fleet("", &[("a", "ikeja", "")]);
    let key = fleet.backend_key("a").unwrap();
    let mut affinity = Affinity::default();
    affinity.record_sent(Millis(0), 5, key);
    assert_eq!(
        affinity.cached_tokens(Millis(1), 5, key),
        INITIAL_CACHED_TOKENS
    );
    assert_eq!(affinity.cached_tokens(HOLDER_TTL + Millis(1), 5, key), 0);
    let evicted = CacheEvent {
        sequence: 9,
        prefix: 5,
        held: false,
    };
    affinity.apply_events(Millis(2), key, &[evicted]);
    assert_eq!(affinity.cached_tokens(Millis(3), 5, key), 0);
    for prefix in 1..=MAX_PREFIXES as u64 * 2 {
        affinity.record_sent(Millis(prefix), prefix, key);
    }
    assert!(affinity.prefixes.len() <= MAX_PREFIXES);
}

/// Returns the hit rate and the p50 and p95 TTFT in milliseconds of prompts
/// with Zipf-distributed prefixes on eight engines that cache eight prefixes
/// each. A `policy` of `None` switches prefix affinity off.
fn simulate(policy: Option<ReplicationPolicy>, exponent: f64) -> (f64, u64, u64) {
    let engines: Vec<_> = ["a", "b", "c", "d", "e", "f", "g", "h"]
        .into_iter()
        .map(|name| (name, "ikeja", SPEEDS))
        .collect();
    let fleet = fleet(RULES, &engines);
    let mut rng = ChaCha8Rng::seed_from_u64(31);
    let weights: Vec<f64> = (1..=200)
        .map(|rank| f64::from(rank).powf(-exponent))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut at = 0.0;
    let jobs = (0..9_000).map(|index| {
        // Poisson arrivals, 40 ms apart on average.
        at += -40.0 * (1.0 - rng.random::<f64>()).ln();
        let mut left = rng.random::<f64>() * total;
        let rank = weights.iter().position(|weight| {
            left -= weight;
            left <= 0.0
        });
        let prompt = rng.random_range(1_100..2_400);
        let job = job(&fleet, index, prompt, 40);
        let prefix = policy.map_or(0, |_| 1 + rank.unwrap_or(0) as u64);
        Job {
            prefix,
            fingerprint: Fingerprint(1 + rank.unwrap_or(0) as u64),
            submitted_at: Millis(at as u64),
            deadline: Millis(at as u64) + job.deadline,
            ..job
        }
    });
    let jobs: Vec<Job> = jobs.collect();
    let mut simulation = PolicySimulation::new(fleet, Policy::Skylarkhook);
    simulation.router.affinity.replication_policy = policy.unwrap_or_default();
    let simulation = simulation.run(jobs);
    let hits = simulation
        .results
        .iter()
        .filter(|result| result.cache_hit)
        .count();
    let ttfts = || {
        simulation
            .results
            .iter()
            .filter_map(|result| result.time_to_first_token)
    };
    let rate = hits as f64 / simulation.results.len() as f64;
    (rate, percentile(ttfts(), 50), percentile(ttfts(), 95))
}

#[test]
fn affinity_raises_the_cache_hit_rate() {
    for exponent in [0.8, 1.2] {
        let (none, ..) = simulate_and_print("none", None, exponent);
        let (one, ..) = simulate_and_print("one", Some(ReplicationPolicy::One), exponent);
        simulate_and_print("all", Some(ReplicationPolicy::All), exponent);
        let (proportional, ..) = simulate_and_print(
            "proportional",
            Some(ReplicationPolicy::Proportional),
            exponent,
        );
        assert!(proportional > none && one > none);
    }
}

fn simulate_and_print(
    name: &str,
    policy: Option<ReplicationPolicy>,
    exponent: f64,
) -> (f64, u64, u64) {
    let (rate, p50, p95) = simulate(policy, exponent);
    println!("hit rate {name} zipf {exponent}: {rate:.3}, p50 {p50} p95 {p95} ms");
    (rate, p50, p95)
}
