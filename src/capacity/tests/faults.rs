use super::simulation::EngineSetup;
use super::simulation::Simulation;
use crate::clock::Millis;
use crate::condition::Signal;

/// Engines with the same limit cold and warm.
const EQUAL_LIMITS: EngineSetup = EngineSetup {
    warm: 12,
    cold: 12,
    ramp_successes: 8,
    engines: 3,
};

/// Creates a simulation that has run at full load for 15 s.
fn loaded_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(EQUAL_LIMITS, seed);
    simulation.run(Millis::from_secs(15));
    simulation.assert_no_violations();
    simulation
}

/// Runs the simulation for `duration` and returns the mean utilization of all
/// limits, in percent.
fn utilization(simulation: &mut Simulation, duration: Millis) -> u64 {
    let engines = u64::try_from(simulation.engines.len()).unwrap();
    let total = engines * simulation.declared.warm;
    let mut sum = 0;
    let samples = duration.0 / 100;
    for _ in 0..samples {
        simulation.run(Millis(100));
        sum += simulation.running_in_all();
    }
    100 * sum / (total * samples)
}

#[test]
fn a_healthy_fleet_uses_its_limits_and_never_exceeds_them() {
    let mut simulation = loaded_simulation(1);
    let used = utilization(&mut simulation, Millis::from_secs(20));
    assert!(used >= 85, "{used}% of the limits in use");
    simulation.assert_no_violations();
}

/// Runs the simulation for `duration` and returns the mean utilization of one
/// failure domain's limits, in percent.
fn domain_utilization(simulation: &mut Simulation, domain: &str, duration: Millis) -> u64 {
    let engines: Vec<String> = simulation
        .engines
        .keys()
        .filter(|name| name.starts_with(domain))
        .cloned()
        .collect();
    let total = u64::try_from(engines.len()).unwrap() * simulation.declared.warm;
    let mut sum = 0;
    let samples = duration.0 / 100;
    for _ in 0..samples {
        simulation.run(Millis(100));
        sum += engines
            .iter()
            .map(|name| simulation.running(name))
            .sum::<u64>();
    }
    100 * sum / (total * samples)
}

#[test]
fn a_killed_coordinator_is_replaced() {
    let mut simulation = loaded_simulation(2);
    simulation.kill("a-1");
    simulation.run(Millis::from_secs(20));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use with one instance left");
    simulation.start("a-3", 3);
    simulation.run(Millis::from_secs(20));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use with a new instance");
    simulation.assert_no_violations();
}

#[test]
fn a_paused_coordinator_never_exceeds_a_limit_and_recovers() {
    for seconds in [1, 3, 5, 8, 12, 30] {
        let mut simulation = loaded_simulation(seconds);
        simulation.instances.get_mut("a-1").unwrap().paused = true;
        simulation.run(Millis::from_secs(seconds));
        simulation.instances.get_mut("a-1").unwrap().paused = false;
        simulation.run(Millis::from_secs(30));
        simulation.assert_no_violations();
        let used = domain_utilization(&mut simulation, "a", Millis::from_secs(10));
        assert!(used >= 80, "{used}% in use after {seconds} s");
    }
}

#[test]
fn coordinators_keep_granting_while_the_store_is_down() {
    let mut simulation = loaded_simulation(4);
    simulation.store_down = true;
    simulation.run(Millis::from_secs(10));
    let used = utilization(&mut simulation, Millis::from_secs(50));
    assert!(used >= 85, "{used}% in use while the store is down");
    simulation.store_down = false;
    simulation.run(Millis::from_secs(20));
    simulation.assert_no_violations();
}

#[test]
fn a_coordinator_killed_while_the_store_is_down_costs_only_its_share() {
    let mut simulation = loaded_simulation(5);
    simulation.store_down = true;
    simulation.run(Millis::from_secs(10));
    simulation.kill("a-1");
    simulation.run(Millis::from_secs(20));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(20));
    assert!((30..=50).contains(&used), "{used}% in use by one of two");
    simulation.store_down = false;
    simulation.run(Millis::from_secs(25));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use once the store is back");
    simulation.assert_no_violations();
}

#[test]
fn lost_store_answers_are_resolved_by_reading_back() {
    for loss in [30, 70] {
        let mut simulation = Simulation::new(EQUAL_LIMITS, 6);
        simulation.store_loss = loss;
        simulation.run(Millis::from_secs(60));
        simulation.kill("b-2");
        simulation.run(Millis::from_secs(60));
        simulation.store_loss = 0;
        simulation.run(Millis::from_secs(20));
        let used = utilization(&mut simulation, Millis::from_secs(10));
        assert!(used >= 80, "{used}% in use after {loss}% loss");
        simulation.assert_no_violations();
    }
}

#[test]
fn a_domain_cut_off_from_the_platform_keeps_serving() {
    let mut simulation = loaded_simulation(7);
    simulation.cut_from_store.insert("a".to_owned());
    simulation.run(Millis::from_secs(20));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    simulation.heal_all();
    simulation.run(Millis::from_secs(20));
    simulation.assert_no_violations();
}

#[test]
fn a_domain_cut_off_from_the_others_keeps_serving() {
    let mut simulation = loaded_simulation(8);
    simulation.disconnect_domain("a");
    simulation.run(Millis::from_secs(20));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    simulation.heal_all();
    simulation.run(Millis::from_secs(20));
    simulation.assert_no_violations();
}

#[test]
fn a_domain_cut_off_from_both_keeps_serving() {
    let mut simulation = loaded_simulation(9);
    simulation.disconnect_domain("a");
    simulation.cut_from_store.insert("a".to_owned());
    simulation.run(Millis::from_secs(20));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    simulation.heal_all();
    simulation.run(Millis::from_secs(20));
    simulation.assert_no_violations();
}

#[test]
fn isolated_instances_use_their_static_shares_without_exceeding_a_limit() {
    let mut simulation = loaded_simulation(10);
    simulation.isolated.insert("a-1".to_owned());
    simulation.cut_from_store.insert("a".to_owned());
    simulation.run(Millis::from_secs(60));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(20));
    assert!(used >= 60, "{used}% in use by two isolated instances");
    simulation.heal_all();
    simulation.run(Millis::from_secs(30));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use afterwards");
    simulation.assert_no_violations();
}

#[test]
fn an_instance_that_reaches_only_the_store_never_exceeds_a_limit_and_recovers() {
    let mut simulation = loaded_simulation(11);
    simulation.isolated.insert("a-1".to_owned());
    simulation.run(Millis::from_secs(60));
    simulation.heal_all();
    simulation.run(Millis::from_secs(30));
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use afterwards");
    simulation.assert_no_violations();
}

#[test]
fn a_draining_instance_hands_its_backends_over_without_a_gap() {
    let mut simulation = loaded_simulation(12);
    simulation.drain("a-1");
    let used = domain_utilization(&mut simulation, "a", Millis::from_secs(5));
    assert!(used >= 70, "{used}% in use during the handover");
    assert!(simulation.instances["a-1"].capacity.has_drained());
    let document = simulation.instances["a-2"].capacity.coordinators().unwrap();
    assert_eq!(document.holders.len(), 1);
    assert_eq!(simulation.store.text("instances/a-1"), None);
    simulation.kill("a-1");
    simulation.run(Millis::from_secs(30));
    simulation.assert_no_violations();
}

#[test]
fn streams_of_a_lost_instance_are_cancelled() {
    let mut simulation = loaded_simulation(13);
    simulation.request_duration_ms = None;
    simulation.run(Millis::from_secs(2));
    simulation.starts_requests = false;
    let owned = |simulation: &Simulation| {
        let engines = simulation.engines.values();
        let owners = engines.flat_map(|engine| engine.running.values());
        owners.filter(|owner| *owner == "a-1").count()
    };
    assert!(owned(&simulation) > 0);
    simulation.kill("a-1");
    simulation.run(Millis::from_secs(15));
    assert!(
        owned(&simulation) > 0,
        "cancelled before the grace period ended"
    );
    simulation.run(Millis::from_secs(30));
    assert_eq!(owned(&simulation), 0);
    simulation.assert_no_violations();
}

#[test]
fn a_store_restored_from_a_backup_is_overwritten() {
    let mut simulation = loaded_simulation(14);
    let backup = simulation.store.backup();
    simulation.drain("c-1");
    simulation.run(Millis::from_secs(10));
    simulation.kill("c-1");
    let before = simulation.instances["c-2"].capacity.epoch();
    simulation.store.restore(backup);
    simulation.run(Millis::from_secs(20));
    let after = simulation.instances["c-2"].capacity.epoch();
    assert!(after > before, "epoch {after:?} after {before:?}");
    let document = simulation.instances["c-2"].capacity.coordinators().unwrap();
    assert_eq!(document.holders.len(), 1);
    simulation.assert_no_violations();
}

/// Creates a simulation in which all engines are warm and fully used. Their
/// cold limit is three streams.
fn warm_simulation(seed: u64) -> Simulation {
    let declared = EngineSetup {
        warm: 12,
        cold: 3,
        ramp_successes: 60,
        engines: 3,
    };
    let mut simulation = Simulation::new(declared, seed);
    simulation.run(Millis::from_secs(40));
    let used = utilization(&mut simulation, Millis::from_secs(5));
    assert!(used >= 85, "{used}% in use");
    simulation
}

/// Starts counting admissions above an engine's cold limit.
fn count_over_cold_limit(simulation: &mut Simulation, name: &str) {
    let now = simulation.now;
    let cold = simulation.declared.cold;
    let engine = simulation.engines.get_mut(name).unwrap();
    engine.cold = Some((now, cold));
    engine.over_cold_limit = (0, Millis::ZERO);
}

#[test]
fn an_engine_that_restarts_at_full_load_is_cold_for_all_within_two_seconds() {
    for engine in ["a-e1", "b-e2", "c-e3"] {
        let mut simulation = warm_simulation(15);
        simulation.restart_engine(engine);
        count_over_cold_limit(&mut simulation, engine);
        simulation.run(Millis(4_000));
        let (count, last) = simulation.engines[engine].over_cold_limit;
        assert!(
            last <= Millis(2_000),
            "{count} admissions above the cold limit, the last {last} after the start"
        );
        simulation.assert_no_violations();
    }
}

#[test]
fn one_cold_signal_limits_all_instances_within_500_ms() {
    // One user observes the signal; the coordinator recalls the others' leases.
    for (seen_by, engine) in [("a-1", "a-e1"), ("a-2", "a-e1"), ("b-2", "b-e3")] {
        let mut simulation = warm_simulation(16);
        count_over_cold_limit(&mut simulation, engine);
        simulation.with_instance(seen_by, |instance, cx| {
            let key = instance.fleet.backend_key(engine).unwrap();
            instance
                .conditions
                .observe(cx, &instance.fleet, key, Signal::RejectedCold);
        });
        simulation.run(Millis(1_500));
        let (count, last) = simulation.engines[engine].over_cold_limit;
        assert!(
            last <= Millis(500),
            "{count} admissions above the cold limit, the last {last} after the start: \
             {seen_by} {engine}"
        );
        simulation.assert_no_violations();
    }
}
