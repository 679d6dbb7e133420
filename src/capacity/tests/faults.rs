use super::world::Declared;
use super::world::World;
use crate::clock::Millis;
use crate::condition::Sign;

const LEVEL: Declared = Declared {
    warm: 12,
    cold: 12,
    successes: 8,
    engines: 3,
};

/// Returns a world at full load.
fn busy(seed: u64) -> World {
    let mut world = World::new(LEVEL, seed);
    world.run(Millis::from_secs(15));
    world.assert_sound();
    world
}

/// Returns the mean part of all limits that is in use over a span, in percent.
fn utilization(world: &mut World, span: Millis) -> u64 {
    let engines = u64::try_from(world.engines.len()).unwrap();
    let whole = engines * world.declared.warm;
    let mut sum = 0;
    let samples = span.0 / 100;
    for _ in 0..samples {
        world.run(Millis(100));
        sum += world.running_in_all();
    }
    100 * sum / (whole * samples)
}

#[test]
fn a_quiet_fleet_is_used_whole_and_never_above() {
    let mut world = busy(1);
    let used = utilization(&mut world, Millis::from_secs(20));
    assert!(used >= 85, "{used}% of the limits in use");
    world.assert_sound();
}

/// Returns the mean part of one failure domain's limits that is in use.
fn utilization_of(world: &mut World, domain: &str, span: Millis) -> u64 {
    let engines: Vec<String> = world
        .engines
        .keys()
        .filter(|name| name.starts_with(domain))
        .cloned()
        .collect();
    let whole = u64::try_from(engines.len()).unwrap() * world.declared.warm;
    let mut sum = 0;
    let samples = span.0 / 100;
    for _ in 0..samples {
        world.run(Millis(100));
        sum += engines.iter().map(|name| world.running(name)).sum::<u64>();
    }
    100 * sum / (whole * samples)
}

#[test]
fn a_killed_home_is_replaced() {
    let mut world = busy(2);
    world.kill("a-1");
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use before one instance");
    world.start("a-3", 3);
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use before a new instance");
    world.assert_sound();
}

#[test]
fn a_home_paused_past_its_lease_starts_nothing_under_old_credits() {
    for seconds in [1, 3, 5, 8, 12, 30] {
        let mut world = busy(seconds);
        world.nodes.get_mut("a-1").unwrap().paused = true;
        world.run(Millis::from_secs(seconds));
        world.nodes.get_mut("a-1").unwrap().paused = false;
        world.run(Millis::from_secs(30));
        world.assert_sound();
        let used = utilization_of(&mut world, "a", Millis::from_secs(10));
        assert!(used >= 80, "{used}% in use after {seconds} s");
    }
}

#[test]
fn homes_go_on_while_the_store_is_down() {
    let mut world = busy(4);
    world.store_down = true;
    world.run(Millis::from_secs(10));
    let used = utilization(&mut world, Millis::from_secs(50));
    assert!(used >= 85, "{used}% in use while the store is down");
    world.store_down = false;
    world.run(Millis::from_secs(20));
    world.assert_sound();
}

#[test]
fn a_home_lost_while_the_store_is_down_costs_its_share_only() {
    let mut world = busy(5);
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
    world.assert_sound();
}

#[test]
fn lost_answers_of_the_store_are_settled_by_reading_back() {
    for loss in [30, 70] {
        let mut world = World::new(LEVEL, 6);
        world.store_loss = loss;
        world.run(Millis::from_secs(60));
        world.kill("b-2");
        world.run(Millis::from_secs(60));
        world.store_loss = 0;
        world.run(Millis::from_secs(20));
        let used = utilization(&mut world, Millis::from_secs(10));
        assert!(used >= 80, "{used}% in use after {loss}% loss");
        world.assert_sound();
    }
}

#[test]
fn a_domain_cut_off_from_the_platform_serves_on() {
    let mut world = busy(7);
    world.cut_platform.insert("a".to_owned());
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    world.mend();
    world.run(Millis::from_secs(20));
    world.assert_sound();
}

#[test]
fn a_domain_cut_off_from_the_others_serves_on() {
    let mut world = busy(8);
    world.cut_off("a");
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    world.mend();
    world.run(Millis::from_secs(20));
    world.assert_sound();
}

#[test]
fn a_domain_cut_off_from_both_serves_on() {
    let mut world = busy(9);
    world.cut_off("a");
    world.cut_platform.insert("a".to_owned());
    world.run(Millis::from_secs(20));
    let used = utilization_of(&mut world, "a", Millis::from_secs(40));
    assert!(used >= 80, "{used}% in use");
    world.mend();
    world.run(Millis::from_secs(20));
    world.assert_sound();
}

#[test]
fn an_instance_that_hears_nobody_keeps_to_its_share() {
    let mut world = busy(10);
    world.isolated.insert("a-1".to_owned());
    world.cut_platform.insert("a".to_owned());
    world.run(Millis::from_secs(60));
    let used = utilization_of(&mut world, "a", Millis::from_secs(20));
    assert!(used >= 60, "{used}% in use by two that hear nobody");
    world.mend();
    world.run(Millis::from_secs(30));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use afterwards");
    world.assert_sound();
}

#[test]
fn an_instance_that_only_the_store_hears_disturbs_nobody() {
    let mut world = busy(11);
    world.isolated.insert("a-1".to_owned());
    world.run(Millis::from_secs(60));
    world.mend();
    world.run(Millis::from_secs(30));
    let used = utilization_of(&mut world, "a", Millis::from_secs(10));
    assert!(used >= 80, "{used}% in use afterwards");
    world.assert_sound();
}

#[test]
fn a_leaving_instance_hands_its_homes_over_without_a_gap() {
    let mut world = busy(12);
    world.leave("a-1");
    let used = utilization_of(&mut world, "a", Millis::from_secs(5));
    assert!(used >= 70, "{used}% in use during the handover");
    assert!(world.nodes["a-1"].capacity.has_left());
    let homes = world.nodes["a-2"].capacity.homes().unwrap();
    assert_eq!(homes.holders.len(), 1);
    assert_eq!(world.store.text("instances/a-1"), None);
    world.kill("a-1");
    world.run(Millis::from_secs(30));
    world.assert_sound();
}

#[test]
fn streams_of_a_lost_instance_are_cancelled() {
    let mut world = busy(13);
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
    world.assert_sound();
}

#[test]
fn a_store_restored_to_an_older_state_is_overruled() {
    let mut world = busy(14);
    let backup = world.store.backup();
    world.leave("c-1");
    world.run(Millis::from_secs(10));
    world.kill("c-1");
    let before = world.nodes["c-2"].capacity.epoch();
    world.store.restore(backup);
    world.run(Millis::from_secs(20));
    let after = world.nodes["c-2"].capacity.epoch();
    assert!(after > before, "epoch {after:?} after {before:?}");
    let homes = world.nodes["c-2"].capacity.homes().unwrap();
    assert_eq!(homes.holders.len(), 1);
    world.assert_sound();
}

/// Returns a world in which all engines are warm and in full use, but bear only
/// three streams when cold.
fn warm(seed: u64) -> World {
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

/// Notes that an engine bears only its cold limit from now on.
fn turn_cold(world: &mut World, name: &str) {
    let now = world.now;
    let cold = world.declared.cold;
    let engine = world.engines.get_mut(name).unwrap();
    engine.cold = Some((now, cold));
    engine.above = (0, Millis::ZERO);
}

#[test]
fn an_engine_that_restarts_at_full_load_is_cold_for_all_within_two_seconds() {
    for engine in ["a-e1", "b-e2", "c-e3"] {
        let mut world = warm(15);
        world.restart_engine(engine);
        turn_cold(&mut world, engine);
        world.run(Millis(4_000));
        let (count, last) = world.engines[engine].above;
        assert!(
            last <= Millis(2_000),
            "{count} above, the last {last} later"
        );
        world.assert_sound();
    }
}

#[test]
fn one_sign_of_cold_binds_all_instances_at_once() {
    // One user sees the sign; the home recalls what the others hold.
    for (seen_by, engine) in [("a-1", "a-e1"), ("a-2", "a-e1"), ("b-2", "b-e3")] {
        let mut world = warm(16);
        turn_cold(&mut world, engine);
        world.act(seen_by, |node, cx| {
            let key = node.fleet.backend_key(engine).unwrap();
            node.conditions
                .sign(cx, &node.fleet, key, Sign::RejectedCold);
        });
        world.run(Millis(1_500));
        let (count, last) = world.engines[engine].above;
        assert!(
            last <= Millis(500),
            "{count} above, the last {last} later: {seen_by} {engine}"
        );
        world.assert_sound();
    }
}
