use super::world::Declared;
use super::world::World;
use crate::clock::Millis;
use crate::condition::Sign;

const EQUAL_LIMITS: Declared = Declared {
    warm: 12,
    cold: 12,
    successes: 8,
    engines: 3,
};

/// Creates a world at full load.
fn loaded_world(seed: u64) -> World {
    let mut world = World::new(EQUAL_LIMITS, seed);
    world.run(Millis::from_secs(15));
    world.assert_no_violations();
    world
}

/// Returns the mean utilization of all limits over a duration, in percent.
fn utilization(world: &mut World, duration: Millis) -> u64 {
    let engines = u64::try_from(world.engines.len()).unwrap();
    let total = engines * world.declared.warm;
    let mut sum = 0;
    let samples = duration.0 / 100;
    for _ in 0..samples {
        world.run(Millis(100));
        sum += world.running_in_all();
    }
    100 * sum / (total * samples)
}

#[test]
fn a_healthy_fleet_uses_its_limits_and_never_exceeds_them() {
    let mut world = loaded_world(1);
    let used = utilization(&mut world, Millis::from_secs(20));
    assert!(used >= 85, "{used}% of the limits in use");
    world.assert_no_violations();
}

/// Returns the mean utilization of one failure domain's limits, in percent.
fn utilization_of(world: &mut World, domain: &str, duration: Millis) -> u64 {
    let engines: Vec<String> = world
        .engines
        .keys()
        .filter(|name| name.starts_with(domain))
        .cloned()
        .collect();
    let total = u64::try_from(engines.len()).unwrap() * world.declared.warm;
    let mut sum = 0;
    let samples = duration.0 / 100;
    for _ in 0..samples {
        world.run(Millis(100));
        sum += engines.iter().map(|name| world.running(name)).sum::<u64>();
    }
    100 * sum / (total * samples)
}

#[test]
fn a_killed_coordinator_is_replaced() {
    let mut world = loaded_world(2);
    world.kill("a-1");
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use with one instance left");
    world.start("a-3", 3);
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use with a new instance");
    world.assert_no_violations();
}

#[test]
fn a_coordinator_paused_past_its_lease_starts_nothing_under_expired_leases() {
    for seconds in [1, 3, 5, 8, 12, 30] {
        let mut world = loaded_world(seconds);
        world.nodes.get_mut("a-1").unwrap().paused = true;
        world.run(Millis::from_secs(seconds));
        world.nodes.get_mut("a-1").unwrap().paused = false;
        world.run(Millis::from_secs(30));
        world.assert_no_violations();
        let used = utilization_of(&mut world, "a", Millis::from_secs(10));
        assert!(used >= 80, "{used}% in use after {seconds} s");
    }
}

#[test]
fn coordinators_keep_granting_while_the_store_is_down() {
    let mut world = loaded_world(4);
    world.store_down = true;
    world.run(Millis::from_secs(10));
    let used = utilization(&mut world, Millis::from_secs(50));
    assert!(used >= 85, "{used}% in use while the store is down");
    world.store_down = false;
    world.run(Millis::from_secs(20));
    world.assert_no_violations();
}

#[test]
fn a_coordinator_lost_while_the_store_is_down_costs_only_its_share() {
    let mut world = loaded_world(5);
    world.store_down = true;
    world.run(Millis::from_secs(10));
    world.kill("a-1");
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(20));
    assert!((30..=50).contains(&used), "{used}% in use by one of two");
    world.store_down = false;
    world.run(Millis::from_secs(25));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use once the store is back");
    world.assert_no_violations();
}

#[test]
fn lost_store_answers_are_resolved_by_reading_back() {
    for loss in [30, 70] {
        let mut world = World::new(EQUAL_LIMITS, 6);
        world.store_loss = loss;
        world.run(Millis::from_secs(60));
        world.kill("b-2");
        world.run(Millis::from_secs(60));
        world.store_loss = 0;
        world.run(Millis::from_secs(20));
        let used = utilization(&mut world, Millis::from_secs(10));
        assert!(used >= 80, "{used}% in use after {loss}% loss");
        world.assert_no_violations();
    }
}

#[test]
fn a_domain_cut_off_from_the_platform_keeps_serving() {
    let mut world = loaded_world(7);
    world.cut_platform.insert("a".to_owned());
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    world.heal_all();
    world.run(Millis::from_secs(20));
    world.assert_no_violations();
}

#[test]
fn a_domain_cut_off_from_the_others_keeps_serving() {
    let mut world = loaded_world(8);
    world.disconnect_domain("a");
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    world.heal_all();
    world.run(Millis::from_secs(20));
    world.assert_no_violations();
}

#[test]
fn a_domain_cut_off_from_both_keeps_serving() {
    let mut world = loaded_world(9);
    world.disconnect_domain("a");
    world.cut_platform.insert("a".to_owned());
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    world.heal_all();
    world.run(Millis::from_secs(20));
    world.assert_no_violations();
}

#[test]
fn an_isolated_instance_stays_within_its_static_share() {
    let mut world = loaded_world(10);
    world.isolated.insert("a-1".to_owned());
    world.cut_platform.insert("a".to_owned());
    world.run(Millis::from_secs(60));
    let used = utilization_of(&mut world, "a", Millis::from_secs(20));
    assert!(used >= 60, "{used}% in use by two isolated instances");
    world.heal_all();
    world.run(Millis::from_secs(30));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use afterwards");
    world.assert_no_violations();
}

#[test]
fn an_instance_that_reaches_only_the_store_does_not_disturb_others() {
    let mut world = loaded_world(11);
    world.isolated.insert("a-1".to_owned());
    world.run(Millis::from_secs(60));
    world.heal_all();
    world.run(Millis::from_secs(30));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use afterwards");
    world.assert_no_violations();
}

#[test]
fn a_draining_instance_hands_its_backends_over_without_a_gap() {
    let mut world = loaded_world(12);
    world.drain("a-1");
    let used = utilization_of(&mut world, "a", Millis::from_secs(5));
    assert!(used >= 70, "{used}% in use during the handover");
    assert!(world.nodes["a-1"].capacity.has_drained());
    let document = world.nodes["a-2"].capacity.coordinators().unwrap();
    assert_eq!(document.holders.len(), 1);
    assert_eq!(world.store.text("instances/a-1"), None);
    world.kill("a-1");
    world.run(Millis::from_secs(30));
    world.assert_no_violations();
}

#[test]
fn streams_of_a_lost_instance_are_cancelled() {
    let mut world = loaded_world(13);
    world.service = None;
    world.run(Millis::from_secs(2));
    world.load = false;
    let owned = |world: &World| {
        let engines = world.engines.values();
        let owners = engines.flat_map(|engine| engine.running.values());
        owners.filter(|owner| *owner == "a-1").count()
    };
    assert!(owned(&world) > 0);
    world.kill("a-1");
    world.run(Millis::from_secs(15));
    assert!(owned(&world) > 0, "not cancelled within the grace");
    world.run(Millis::from_secs(30));
    assert_eq!(owned(&world), 0);
    world.assert_no_violations();
}

#[test]
fn a_store_restored_from_a_backup_is_overwritten() {
    let mut world = loaded_world(14);
    let backup = world.store.backup();
    world.drain("c-1");
    world.run(Millis::from_secs(10));
    world.kill("c-1");
    let before = world.nodes["c-2"].capacity.epoch();
    world.store.restore(backup);
    world.run(Millis::from_secs(20));
    let after = world.nodes["c-2"].capacity.epoch();
    assert!(after > before, "epoch {after:?} after {before:?}");
    let document = world.nodes["c-2"].capacity.coordinators().unwrap();
    assert_eq!(document.holders.len(), 1);
    world.assert_no_violations();
}

/// Creates a world in which all engines are warm and fully used. Their cold
/// limit is three streams.
fn warm_world(seed: u64) -> World {
    let declared = Declared {
        warm: 12,
        cold: 3,
        successes: 60,
        engines: 3,
    };
    let mut world = World::new(declared, seed);
    world.run(Millis::from_secs(40));
    let used = utilization(&mut world, Millis::from_secs(5));
    assert!(used >= 85, "{used}% in use");
    world
}

/// Starts to count admissions above an engine's cold limit.
fn turn_cold(world: &mut World, name: &str) {
    let now = world.now;
    let cold = world.declared.cold;
    let engine = world.engines.get_mut(name).unwrap();
    engine.cold = Some((now, cold));
    engine.over_cold_limit = (0, Millis::ZERO);
}

#[test]
fn an_engine_that_restarts_at_full_load_is_cold_for_all_within_two_seconds() {
    for engine in ["a-e1", "b-e2", "c-e3"] {
        let mut world = warm_world(15);
        world.restart_engine(engine);
        turn_cold(&mut world, engine);
        world.run(Millis(4_000));
        let (count, last) = world.engines[engine].over_cold_limit;
        assert!(
            last <= Millis(2_000),
            "{count} above, the last {last} later"
        );
        world.assert_no_violations();
    }
}

#[test]
fn one_cold_signal_limits_all_instances_within_500_ms() {
    // One user observes the signal; the coordinator recalls the others' leases.
    for (seen_by, engine) in [("a-1", "a-e1"), ("a-2", "a-e1"), ("b-2", "b-e3")] {
        let mut world = warm_world(16);
        turn_cold(&mut world, engine);
        world.with_node(seen_by, |node, cx| {
            let key = node.fleet.backend_key(engine).unwrap();
            node.conditions
                .sign(cx, &node.fleet, key, Sign::RejectedCold);
        });
        world.run(Millis(1_500));
        let (count, last) = world.engines[engine].over_cold_limit;
        assert!(
            last <= Millis(500),
            "{count} above, the last {last} later: {seen_by} {engine}"
        );
        world.assert_no_violations();
    }
}
