//! Random sequences of faults: no step may exceed a limit, and once all faults
//! are repaired the limits are in use again.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::world::Declared;
use super::world::NAMES;
use super::world::World;
use crate::clock::Millis;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A fault or a repair.
#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Replace(usize),
    Drain(usize),
    Pause(usize),
    ResumeAll,
    StoreDown(bool),
    StoreLoss(u32),
    CutPlatform(usize),
    DisconnectDomain(usize),
    Isolate(usize),
    HealAll,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..NAMES.len()).prop_map(Fault::Kill),
        (0..NAMES.len()).prop_map(Fault::Replace),
        (0..NAMES.len()).prop_map(Fault::Drain),
        (0..NAMES.len()).prop_map(Fault::Pause),
        Just(Fault::ResumeAll),
        any::<bool>().prop_map(Fault::StoreDown),
        (0_u32..60).prop_map(Fault::StoreLoss),
        (0..DOMAINS.len()).prop_map(Fault::CutPlatform),
        (0..DOMAINS.len()).prop_map(Fault::DisconnectDomain),
        (0..NAMES.len()).prop_map(Fault::Isolate),
        Just(Fault::HealAll),
    ]
}

fn inject(world: &mut World, fault: &Fault, number: u64) {
    match *fault {
        Fault::Kill(index) => world.kill(NAMES[index]),
        Fault::Replace(index) => {
            // A replaced instance has a new name, as on the platform.
            let name = format!("{}-{number}", &NAMES[index][..1]);
            world.start(&name, number);
        }
        Fault::Drain(index) => world.drain(NAMES[index]),
        Fault::Pause(index) => {
            if let Some(node) = world.nodes.get_mut(NAMES[index]) {
                node.paused = true;
            }
        }
        Fault::ResumeAll => resume_all(world),
        Fault::StoreDown(down) => world.store_down = down,
        Fault::StoreLoss(loss) => world.store_loss = loss,
        Fault::CutPlatform(index) => {
            world.cut_platform.insert(DOMAINS[index].to_owned());
        }
        Fault::DisconnectDomain(index) => world.disconnect_domain(DOMAINS[index]),
        Fault::Isolate(index) => {
            world.isolated.insert(NAMES[index].to_owned());
        }
        Fault::HealAll => world.heal_all(),
    }
}

fn resume_all(world: &mut World) {
    for node in world.nodes.values_mut() {
        node.paused = false;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        max_shrink_iters: 0,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn combined_faults_never_exceed_a_limit(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 500_u64..9_000), 4..10),
    ) {
        let declared = Declared {
            warm: 12,
            cold: 12,
            successes: 8,
            engines: 1,
        };
        let mut world = World::new(declared, seed);
        world.run(Millis::from_secs(12));
        for (number, (fault, duration)) in (10..).zip(&faults) {
            inject(&mut world, fault, number);
            world.run(Millis(*duration));
            prop_assert!(world.violations.is_empty(), "{fault:?}: {:?}", world.violations);
        }
        world.heal_all();
        resume_all(&mut world);
        world.store_down = false;
        world.store_loss = 0;
        for (number, domain) in (100..).zip(DOMAINS) {
            world.start(&format!("{domain}-{number}"), number);
        }
        world.run(Millis::from_secs(45));
        prop_assert!(world.violations.is_empty(), "after the repair: {:?}", world.violations);
        for domain in DOMAINS {
            let running = world.running(&format!("{domain}-e1"));
            prop_assert!(running >= 6, "{running} streams in {domain} after the repair");
        }
    }
}
