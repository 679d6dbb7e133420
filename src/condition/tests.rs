use proptest::prelude::*;

use super::*;
use crate::clock::Millis;
use crate::fixture::Fixture;
use crate::fixture::fleet;

const RULES: &str = "
[[domain]]
name = 'ikeja'
[[domain]]
name = 'lekki'
[[limit]]
warm = { streams = 16, memory_tokens = 160000, prefill_tokens = 64000 }
cold = { streams = 4, memory_tokens = 40000, prefill_tokens = 0 }
ramp_successes = 3
ramp_steps = 4
";

const ENGINES: &[(&str, &str, &str)] = &[("a", "ikeja", ""), ("b", "lekki", "")];

const DONE: Sign = Sign::Completed { in_time: true };

fn warm(fixture: &mut Fixture, conditions: &mut Conditions, fleet: &Fleet, key: BackendKey) {
    for _ in 0..12 {
        conditions.sign(&mut fixture.cx(), fleet, key, DONE);
    }
    assert_eq!(conditions.condition(fleet, key), Condition::Warm);
}

#[test]
fn ramp_goes_up_one_step_a_window() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    let mut streams = Vec::new();
    for _ in 0..12 {
        streams.push(conditions.limits(&fleet, key).streams);
        conditions.sign(&mut fixture.cx(), &fleet, key, DONE);
    }
    streams.push(conditions.limits(&fleet, key).streams);
    assert_eq!(streams, [4, 4, 4, 7, 7, 7, 10, 10, 10, 13, 13, 13, 16]);
}

#[test]
fn late_work_restarts_the_window() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    for _ in 0..10 {
        conditions.sign(&mut fixture.cx(), &fleet, key, DONE);
        conditions.sign(&mut fixture.cx(), &fleet, key, DONE);
        let late = Sign::Completed { in_time: false };
        conditions.sign(&mut fixture.cx(), &fleet, key, late);
    }
    let cold = Condition::Cold { step: 0 };
    assert_eq!(conditions.condition(&fleet, key), cold);
}

#[test]
fn each_sign_of_cold_ends_warmth_at_once() {
    let boot = |boot| Sign::Reported { boot: Boot(boot) };
    let cases: [&[Sign]; 6] = [
        &[Sign::Refused],
        &[Sign::RejectedCold],
        &[Sign::Late],
        &[boot(1), boot(2)],
        &[Sign::Broken, Sign::Rejected, Sign::Broken],
        &[Sign::Silent, Sign::Silent, DONE],
    ];
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    for case in cases {
        let mut fixture = Fixture::new();
        let mut conditions = Conditions::default();
        warm(&mut fixture, &mut conditions, &fleet, key);
        for &sign in case {
            conditions.sign(&mut fixture.cx(), &fleet, key, sign);
        }
        let cold = Condition::Cold { step: 0 };
        assert_eq!(conditions.condition(&fleet, key), cold, "{case:?}");
    }
}

#[test]
fn spread_out_errors_and_one_silent_connection_are_no_cold_start() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    warm(&mut fixture, &mut conditions, &fleet, key);
    for _ in 0..5 {
        fixture.now += Millis::from_secs(11);
        conditions.sign(&mut fixture.cx(), &fleet, key, Sign::Broken);
        conditions.sign(&mut fixture.cx(), &fleet, key, Sign::Silent);
        let boot = Boot(7);
        conditions.sign(&mut fixture.cx(), &fleet, key, Sign::Reported { boot });
    }
    assert_eq!(conditions.condition(&fleet, key), Condition::Warm);
}

#[test]
fn silent_backend_gets_one_probe_at_a_time() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    warm(&mut fixture, &mut conditions, &fleet, key);
    conditions.sign(&mut fixture.cx(), &fleet, key, Sign::Silent);
    conditions.sign(&mut fixture.cx(), &fleet, key, Sign::Silent);
    assert_eq!(conditions.condition(&fleet, key), Condition::Silent);
    assert_eq!(conditions.limits(&fleet, key).streams, 1);
}

#[test]
fn domain_taken_out_gets_nothing_and_comes_back_cold() {
    let mut fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("b").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    conditions.fleet_changed(&mut fixture.cx(), &fleet);
    warm(&mut fixture, &mut conditions, &fleet, key);
    let within = fleet.declaration().clone();
    let mut without = within.clone();
    without.domains[1].out = true;
    fleet.declare(&without);
    assert_eq!(conditions.limits(&fleet, key), Limits::default());
    conditions.fleet_changed(&mut fixture.cx(), &fleet);
    conditions.sign(&mut fixture.cx(), &fleet, key, DONE);
    assert_eq!(conditions.limits(&fleet, key), Limits::default());
    fleet.declare(&within);
    conditions.fleet_changed(&mut fixture.cx(), &fleet);
    assert_eq!(conditions.limits(&fleet, key).streams, 4);
    let events = fixture.timeline.select(&Subject::backend("b"), 100);
    assert_eq!(events.len(), 6, "four steps of the ramp, out, back");
}

#[test]
fn surplus_on_a_cold_engine_is_least_important_first() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let conditions = Conditions::default();
    let in_flight: Vec<InFlight> = [50, 90, 10, 50, 90, 20]
        .into_iter()
        .zip(0..)
        .map(|(importance, id)| InFlight {
            request: RequestId(id),
            importance,
            cost: Cost {
                memory_tokens: 10_000,
                prefill_tokens: 0,
            },
        })
        .collect();
    let surplus = |streams| conditions.surplus(&fleet, key, &in_flight, streams);
    assert_eq!(surplus(6), [RequestId(2), RequestId(5)]);
    // Six of twelve in all: this instance keeps two of the four.
    assert_eq!(surplus(12), [2, 5, 3, 0].map(RequestId));
}

#[test]
fn home_hears_what_others_saw() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut user = Conditions::default();
    let mut home = Conditions::default();
    warm(&mut fixture, &mut user, &fleet, key);
    let news = user.take_news(key).unwrap();
    home.hear(&mut fixture.cx(), &fleet, key, news);
    assert_eq!(home.condition(&fleet, key), Condition::Warm);
    user.sign(&mut fixture.cx(), &fleet, key, Sign::RejectedCold);
    let news = user.take_news(key).unwrap();
    home.hear(&mut fixture.cx(), &fleet, key, news);
    assert_eq!(home.condition(&fleet, key), Condition::Cold { step: 0 });
    assert_eq!(user.take_news(key), None);
}

fn any_sign() -> impl Strategy<Value = Sign> {
    prop_oneof![
        6 => Just(DONE),
        1 => Just(Sign::Completed { in_time: false }),
        1 => Just(Sign::Refused),
        1 => Just(Sign::Rejected),
        1 => Just(Sign::RejectedCold),
        1 => Just(Sign::Broken),
        1 => Just(Sign::Silent),
        1 => Just(Sign::Late),
        1 => (0..2u64).prop_map(|boot| Sign::Reported { boot: Boot(boot) }),
    ]
}

proptest! {
    /// Limits stay between cold and warm, and after a sign of cold at cold or
    /// below until a whole window has completed.
    #[test]
    fn limits_stay_within_the_declared(signs in prop::collection::vec(any_sign(), 0..200)) {
        let fleet = fleet(RULES, ENGINES);
        let key = fleet.backend_key("a").unwrap();
        let mut fixture = Fixture::new();
        let mut conditions = Conditions::default();
        let mut since_cold = 0;
        for sign in signs {
            conditions.sign(&mut fixture.cx(), &fleet, key, sign);
            since_cold = if sign == DONE { since_cold + 1 } else { since_cold };
            if sign.is_cold() {
                since_cold = 0;
            }
            let limits = conditions.limits(&fleet, key);
            prop_assert!(limits.streams <= 4 + 3 * (since_cold / 3));
            prop_assert!(limits.streams <= 16 && limits.memory_tokens <= 160_000);
            prop_assert!(limits.prefill_tokens == 64_000);
        }
    }
}

#[test]
fn same_signs_give_the_same_events() {
    let run = || {
        let fleet = fleet(RULES, ENGINES);
        let mut fixture = Fixture::new();
        let mut conditions = Conditions::default();
        conditions.fleet_changed(&mut fixture.cx(), &fleet);
        for key in ["a", "b"] {
            let key = fleet.backend_key(key).unwrap();
            warm(&mut fixture, &mut conditions, &fleet, key);
        }
        fixture.timeline.select(&Subject::default(), 100)
    };
    assert_eq!(run(), run());
}
