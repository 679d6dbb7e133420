use super::*;
use crate::fixture::fleet;
use crate::fixture::job;

const RULES: &str = "
[[kind]]
name = 'summary'
deadline_ms = 10000
importance = 50
[[workspace]]
name = 'agents'
token_sha256 = ''
";

#[test]
fn labels_give_the_start_and_bad_ones_the_default() {
    let engines = &[
        (
            "a",
            "ikeja",
            "prefill_tokens_per_s=2000 decode_tokens_per_s=10",
        ),
        (
            "b",
            "ikeja",
            "prefill_tokens_per_s=-5 decode_tokens_per_s=x",
        ),
    ];
    let fleet = fleet(RULES, engines);
    let job = job(&fleet, 1, 4_000, 100);
    let predictor = Predictor::default();
    let of = |name: &str, ahead, cached| {
        let key = fleet.backend_key(name).unwrap();
        predictor.predict(&fleet, key, &job, ahead, cached)
    };
    assert_eq!(of("a", 0, 0).first_token, Millis(2_010));
    assert_eq!(of("a", 0, 0).whole, Millis(12_010));
    assert_eq!(of("a", 2_000, 1_000).first_token, Millis(2_510));
    assert_eq!(of("b", 0, 0).first_token, Millis(510));
}

#[test]
fn speeds_follow_what_attempts_show() {
    let fleet = fleet(RULES, &[("a", "ikeja", "")]);
    let key = fleet.backend_key("a").unwrap();
    let mut predictor = Predictor::default();
    for _ in 0..60 {
        let took = OVERHEAD + Millis(2_000);
        predictor.observe_first_token(&fleet, key, "m", 4_000, took);
        predictor.observe_whole(&fleet, key, "m", 101, Millis(20_000));
    }
    let speeds = predictor.speeds(&fleet, key, "m");
    assert!((speeds.prefill_tokens_per_s - 2_000.0).abs() < 20.0);
    assert!((speeds.decode_tokens_per_s - 5.0).abs() < 0.1);
    let other = predictor.speeds(&fleet, key, "other");
    assert_eq!(other.prefill_tokens_per_s, DEFAULT_PREFILL_TOKENS_PER_S);
}

#[test]
fn one_odd_sample_moves_the_average_by_a_bounded_step() {
    let fleet = fleet(RULES, &[("a", "ikeja", "")]);
    let key = fleet.backend_key("a").unwrap();
    let mut predictor = Predictor::default();
    predictor.observe_first_token(&fleet, key, "m", 1_000_000, Millis(0));
    let speed = predictor.speeds(&fleet, key, "m").prefill_tokens_per_s;
    let bound = 1.0 + LEARNING_RATE * (SAMPLE_BOUND - 1.0);
    assert!(speed <= DEFAULT_PREFILL_TOKENS_PER_S * bound * 1.001);
}
