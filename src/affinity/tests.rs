use super::*;
use crate::fixture::fleet;

fn order(prefix: u64, engines: u64) -> Vec<u64> {
    let mut engines: Vec<u64> = (1..=engines).collect();
    engines.sort_by(|&a, &b| score(prefix, b, 1.0).total_cmp(&score(prefix, a, 1.0)));
    engines
}

#[test]
fn an_engine_that_leaves_moves_only_its_own_prefixes() {
    for prefix in 1..500 {
        let with = order(prefix, 10);
        let without = order(prefix, 9);
        let expected = if with[0] == 10 { with[1] } else { with[0] };
        assert_eq!(without[0], expected);
    }
}

#[test]
fn weights_give_prefixes_in_proportion() {
    let first = |prefix: &u64| score(*prefix, 1, 3.0) > score(*prefix, 2, 1.0);
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
        affinity.sent(Millis(i), prefix, key);
    }
    let now = Millis(1_000);
    assert_eq!(affinity.copies(now, 1, 10), 10);
    assert_eq!(affinity.copies(now, 3, 10), 1);
    affinity.copies = Copies::One;
    assert_eq!(affinity.copies(now, 1, 10), 1);
}

#[test]
fn hints_expire_are_withdrawn_and_stay_bounded() {
    let fleet = fleet("", &[("a", "ikeja", "")]);
    let key = fleet.backend_key("a").unwrap();
    let mut affinity = Affinity::default();
    affinity.sent(Millis(0), 5, key);
    assert_eq!(
        affinity.cached_tokens(Millis(1), 5, key),
        START_CACHED_TOKENS
    );
    assert_eq!(affinity.cached_tokens(HOLD + Millis(1), 5, key), 0);
    let evicted = CacheEvent {
        sequence: 9,
        prefix: 5,
        held: false,
    };
    affinity.events(Millis(2), key, &[evicted]);
    assert_eq!(affinity.cached_tokens(Millis(3), 5, key), 0);
    for prefix in 1..=PREFIXES as u64 * 2 {
        affinity.sent(Millis(prefix), prefix, key);
    }
    assert!(affinity.prefixes.len() <= PREFIXES);
}
