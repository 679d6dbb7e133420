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
fn valid_labels_set_initial_speeds_and_invalid_ones_the_defaults() {
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
    let predict = |name: &str, ahead, cached| {
        let key = fleet.backend_key(name).unwrap();
        let speeds = predictor.speeds(Millis(0), &fleet, key, "m");
        speeds.predict(&job, ahead, cached)
    };
    assert_eq!(predict("a", 0, 0).ttft, Millis(2_010));
    assert_eq!(predict("a", 0, 0).total, Millis(12_010));
    assert_eq!(predict("a", 2_000, 1_000).ttft, Millis(2_510));
    assert_eq!(predict("b", 0, 0).ttft, Millis(90));
    assert!(predict("a", 0, 0).is_late(Millis(60_000), Millis::ZERO));
    assert!(
        !predict("b", 0, 0).is_late(Millis(60_000), Millis::ZERO),
        "an untrusted prediction is never late"
    );
}

#[test]
fn speeds_are_learned_from_attempts() {
    for labels in ["", "prefill_tokens_per_s=8000 decode_tokens_per_s=22"] {
        let fleet = fleet(RULES, &[("a", "ikeja", labels)]);
        let key = fleet.backend_key("a").unwrap();
        let mut predictor = Predictor::default();
        let now = Millis(0);
        let samples = if labels.is_empty() { 1 } else { 60 };
        for _ in 0..samples {
            let took = REQUEST_OVERHEAD + Millis(2_000);
            predictor.observe_prefill(now, &fleet, key, "m", 4_000, took);
            predictor.observe_answer(now, &fleet, key, "m", 101, Millis(20_000));
        }
        let speeds = predictor.speeds(now, &fleet, key, "m");
        assert!((speeds.prefill_tokens_per_s.value - 2_000.0).abs() < 20.0);
        assert!((speeds.decode_tokens_per_s.value - 5.0).abs() < 0.1);
        assert!(speeds.prefill_tokens_per_s.trusted);
        let other = predictor.speeds(now, &fleet, key, "other");
        assert_ne!(speeds, other);
    }
}

#[test]
fn slow_speeds_decay_without_new_samples() {
    let labels = "prefill_tokens_per_s=8000 decode_tokens_per_s=22";
    let fleet = fleet(RULES, &[("a", "ikeja", labels), ("b", "ikeja", "")]);
    let mut predictor = Predictor::default();
    for name in ["a", "b"] {
        let key = fleet.backend_key(name).unwrap();
        for _ in 0..60 {
            predictor.observe_prefill(Millis(0), &fleet, key, "m", 4_000, Millis(40_000));
        }
        let speed = |seconds| {
            let speeds = predictor.speeds(Millis::from_secs(seconds), &fleet, key, "m");
            speeds.prefill_tokens_per_s
        };
        assert!(speed(0).value < 150.0);
        assert!(speed(600).value > 7_900.0);
        assert_eq!(
            speed(600).trusted,
            name == "a",
            "without a label the estimate is untrusted again"
        );
    }
}

#[test]
fn one_outlier_moves_the_average_by_a_bounded_step() {
    let labels = "prefill_tokens_per_s=8000 decode_tokens_per_s=22";
    let fleet = fleet(RULES, &[("a", "ikeja", labels)]);
    let key = fleet.backend_key("a").unwrap();
    let mut predictor = Predictor::default();
    predictor.observe_prefill(Millis(0), &fleet, key, "m", 1_000_000, Millis(0));
    let speeds = predictor.speeds(Millis(0), &fleet, key, "m");
    let bound = 1.0 + LEARNING_RATE * (SAMPLE_BOUND - 1.0);
    assert!(speeds.prefill_tokens_per_s.value <= 8_000.0 * bound * 1.001);
}
