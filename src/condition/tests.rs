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

const IN_TIME: Signal = Signal::Completed { in_time: true };

fn warm_up(fixture: &mut Fixture, conditions: &mut Conditions, fleet: &Fleet, key: BackendKey) {
    for _ in 0..12 {
        conditions.observe(&mut fixture.cx(), fleet, key, IN_TIME);
    }
    assert_eq!(conditions.condition(fleet, key), Condition::Warm);
}

#[test]
fn ramp_rises_by_one_step_per_three_successes() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    let mut streams = Vec::new();
    for _ in 0..12 {
        streams.push(conditions.limits(&fleet, key).streams);
        conditions.observe(&mut fixture.cx(), &fleet, key, IN_TIME);
    }
    streams.push(conditions.limits(&fleet, key).streams);
    assert_eq!(streams, [4, 4, 4, 7, 7, 7, 10, 10, 10, 13, 13, 13, 16]);
}

#[test]
fn late_completion_restarts_the_window() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    for _ in 0..10 {
        conditions.observe(&mut fixture.cx(), &fleet, key, IN_TIME);
        conditions.observe(&mut fixture.cx(), &fleet, key, IN_TIME);
        let late = Signal::Completed { in_time: false };
        conditions.observe(&mut fixture.cx(), &fleet, key, late);
    }
    let cold = Condition::Cold { step: 0 };
    assert_eq!(conditions.condition(&fleet, key), cold);
}

#[test]
fn each_cold_signal_resets_to_cold_immediately() {
    let boot = |boot| Signal::Reported { boot: Boot(boot) };
    let cases: [&[Signal]; 6] = [
        &[Signal::Refused],
        &[Signal::RejectedCold],
        &[Signal::Late],
        &[boot(1), boot(2)],
        &[Signal::Broken, Signal::Rejected, Signal::Broken],
        &[Signal::Silent, Signal::Silent, IN_TIME],
    ];
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    for case in cases {
        let mut fixture = Fixture::new();
        let mut conditions = Conditions::default();
        warm_up(&mut fixture, &mut conditions, &fleet, key);
        for &signal in case {
            conditions.observe(&mut fixture.cx(), &fleet, key, signal);
        }
        let cold = Condition::Cold { step: 0 };
        assert_eq!(conditions.condition(&fleet, key), cold, "{case:?}");
    }
}

#[test]
fn spread_out_errors_and_single_silent_connections_keep_a_backend_warm() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    warm_up(&mut fixture, &mut conditions, &fleet, key);
    for _ in 0..5 {
        fixture.now += Millis::from_secs(11);
        conditions.observe(&mut fixture.cx(), &fleet, key, Signal::Broken);
        conditions.observe(&mut fixture.cx(), &fleet, key, Signal::Silent);
        let boot = Boot(7);
        conditions.observe(&mut fixture.cx(), &fleet, key, Signal::Reported { boot });
    }
    assert_eq!(conditions.condition(&fleet, key), Condition::Warm);
}

#[test]
fn silent_backend_gets_one_request_at_a_time() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    warm_up(&mut fixture, &mut conditions, &fleet, key);
    conditions.observe(&mut fixture.cx(), &fleet, key, Signal::Silent);
    conditions.observe(&mut fixture.cx(), &fleet, key, Signal::Silent);
    assert_eq!(conditions.condition(&fleet, key), Condition::Silent);
    assert_eq!(conditions.limits(&fleet, key).streams, 1);
}

#[test]
fn cordoned_domain_gets_no_requests_and_returns_cold() {
    let mut fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("b").unwrap();
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    conditions.apply_fleet_change(&mut fixture.cx(), &fleet);
    warm_up(&mut fixture, &mut conditions, &fleet, key);
    let in_service = fleet.declaration().clone();
    let mut cordoned = in_service.clone();
    cordoned.domains[1].out = true;
    fleet.apply_declaration(&cordoned);
    assert_eq!(conditions.limits(&fleet, key), Limits::default());
    conditions.apply_fleet_change(&mut fixture.cx(), &fleet);
    conditions.observe(&mut fixture.cx(), &fleet, key, IN_TIME);
    assert_eq!(conditions.limits(&fleet, key), Limits::default());
    fleet.apply_declaration(&in_service);
    conditions.apply_fleet_change(&mut fixture.cx(), &fleet);
    assert_eq!(conditions.limits(&fleet, key).streams, 4);
    let events = fixture.timeline.select(&Subject::backend("b"), 100);
    assert_eq!(
        events.len(),
        6,
        "four ramp steps, cordoned, in service again"
    );
}

#[test]
fn surplus_on_a_cold_engine_is_least_important_first() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let conditions = Conditions::default();
    let in_flight: Vec<RequestCost> = [50, 90, 10, 50, 90, 20]
        .into_iter()
        .zip(0..)
        .map(|(importance, id)| RequestCost {
            request: RequestId(id),
            importance,
            cost: Cost {
                memory_tokens: 10_000,
                prefill_tokens: 0,
            },
        })
        .collect();
    let excess = |streams| conditions.excess_requests(&fleet, key, &in_flight, streams);
    assert_eq!(excess(6), [RequestId(2), RequestId(5)]);
    // The instance runs 6 of 12 streams, so it keeps 2 of the 4 that are allowed.
    assert_eq!(excess(12), [2, 5, 3, 0].map(RequestId));
}

#[test]
fn coordinator_applies_reports_of_other_instances() {
    let fleet = fleet(RULES, ENGINES);
    let key = fleet.backend_key("a").unwrap();
    let mut fixture = Fixture::new();
    let mut reporter = Conditions::default();
    let mut coordinator = Conditions::default();
    warm_up(&mut fixture, &mut reporter, &fleet, key);
    let report = reporter.take_report(key).unwrap();
    coordinator.merge_report(&mut fixture.cx(), &fleet, key, report);
    assert_eq!(coordinator.condition(&fleet, key), Condition::Warm);
    reporter.observe(&mut fixture.cx(), &fleet, key, Signal::RejectedCold);
    let report = reporter.take_report(key).unwrap();
    coordinator.merge_report(&mut fixture.cx(), &fleet, key, report);
    assert_eq!(
        coordinator.condition(&fleet, key),
        Condition::Cold { step: 0 }
    );
    assert_eq!(reporter.take_report(key), None);
}

fn any_signal() -> impl Strategy<Value = Signal> {
    prop_oneof![
        6 => Just(IN_TIME),
        1 => Just(Signal::Completed { in_time: false }),
        1 => Just(Signal::Refused),
        1 => Just(Signal::Rejected),
        1 => Just(Signal::RejectedCold),
        1 => Just(Signal::Broken),
        1 => Just(Signal::Silent),
        1 => Just(Signal::Late),
        1 => (0..2u64).prop_map(|boot| Signal::Reported { boot: Boot(boot) }),
    ]
}

proptest! {
    /// Limits stay between cold and warm. After a cold signal they do not
    /// exceed the cold limits until a whole window of requests has completed.
    #[test]
    fn limits_stay_within_the_declared_ones(signals in prop::collection::vec(any_signal(), 0..200)) {
        let fleet = fleet(RULES, ENGINES);
        let key = fleet.backend_key("a").unwrap();
        let mut fixture = Fixture::new();
        let mut conditions = Conditions::default();
        let mut completions_since_cold = 0;
        for signal in signals {
            conditions.observe(&mut fixture.cx(), &fleet, key, signal);
            if signal == IN_TIME {
                completions_since_cold += 1;
            }
            if signal.implies_cold() {
                completions_since_cold = 0;
            }
            let limits = conditions.limits(&fleet, key);
            prop_assert!(limits.streams <= 4 + 3 * (completions_since_cold / 3));
            prop_assert!(limits.streams <= 16 && limits.memory_tokens <= 160_000);
            prop_assert!(limits.prefill_tokens == 64_000);
        }
    }
}

#[test]
fn same_signals_give_the_same_events() {
    let run = || {
        let fleet = fleet(RULES, ENGINES);
        let mut fixture = Fixture::new();
        let mut conditions = Conditions::default();
        conditions.apply_fleet_change(&mut fixture.cx(), &fleet);
        for key in ["a", "b"] {
            let key = fleet.backend_key(key).unwrap();
            warm_up(&mut fixture, &mut conditions, &fleet, key);
        }
        fixture.timeline.select(&Subject::default(), 100)
    };
    assert_eq!(run(), run());
}

#[test]
fn the_reports_of_an_instance_that_reaches_no_backend_server_turn_none_cold() {
    let fleet = fleet(RULES, ENGINES);
    let keys = ["a", "b"].map(|name| fleet.backend_key(name).unwrap());
    let mut fixture = Fixture::new();
    let (mut cut_off, mut coordinator) = (Conditions::default(), Conditions::default());
    for key in keys {
        warm_up(&mut fixture, &mut cut_off, &fleet, key);
        warm_up(&mut fixture, &mut coordinator, &fleet, key);
        let _ = cut_off.take_report(key);
    }
    for key in keys {
        cut_off.observe(&mut fixture.cx(), &fleet, key, Signal::Refused);
    }
    for key in keys {
        if let Some(report) = cut_off.take_report(key) {
            coordinator.merge_report(&mut fixture.cx(), &fleet, key, report);
        }
        assert_eq!(coordinator.condition(&fleet, key), Condition::Warm);
    }
}

#[test]
fn a_refused_connection_is_reported_once_a_backend_server_answers() {
    let fleet = fleet(RULES, ENGINES);
    let [a, b] = ["a", "b"].map(|name| fleet.backend_key(name).unwrap());
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    conditions.observe(&mut fixture.cx(), &fleet, a, Signal::Refused);
    assert!(conditions.has_unreported_cold(a) && !conditions.has_cold_report(a));
    fixture.now += LINK_DOUBT_LIMIT;
    conditions.drop_unconfirmed(fixture.now);
    conditions.observe(&mut fixture.cx(), &fleet, b, IN_TIME);
    assert!(conditions.has_cold_report(a));
    assert!(conditions.take_report(a).is_some_and(|report| report.cold));
}

#[test]
fn connections_refused_while_no_backend_server_answers_are_not_reported_later() {
    let fleet = fleet(RULES, ENGINES);
    let [a, b] = ["a", "b"].map(|name| fleet.backend_key(name).unwrap());
    let mut fixture = Fixture::new();
    let mut conditions = Conditions::default();
    conditions.observe(&mut fixture.cx(), &fleet, a, Signal::Refused);
    fixture.now += LINK_DOUBT_LIMIT + Millis(1);
    conditions.drop_unconfirmed(fixture.now);
    assert!(!conditions.has_unreported_cold(a));
    conditions.observe(&mut fixture.cx(), &fleet, a, Signal::Refused);
    conditions.observe(&mut fixture.cx(), &fleet, b, IN_TIME);
    assert_eq!(conditions.take_report(a), None);
}
