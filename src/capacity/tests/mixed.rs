//! Random sequences of faults: no step may exceed a limit, and once all faults
//! are repaired the limits are in use again.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::simulation::EngineSetup;
use super::simulation::NAMES;
use super::simulation::Simulation;
use crate::clock::Millis;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A fault or a repair.
#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    StartNew(usize),
    Drain(usize),
    Pause(usize),
    ResumeAll,
    /// Whether the store is down from now on.
    StoreDown(bool),
    /// Percentage of store answers that are lost.
    StoreLoss(u32),
    CutFromStore(usize),
    DisconnectDomain(usize),
    Isolate(usize),
    HealAll,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..NAMES.len()).prop_map(Fault::Kill),
        (0..NAMES.len()).prop_map(Fault::StartNew),
        (0..NAMES.len()).prop_map(Fault::Drain),
        (0..NAMES.len()).prop_map(Fault::Pause),
        Just(Fault::ResumeAll),
        any::<bool>().prop_map(Fault::StoreDown),
        (0_u32..60).prop_map(Fault::StoreLoss),
        (0..DOMAINS.len()).prop_map(Fault::CutFromStore),
        (0..DOMAINS.len()).prop_map(Fault::DisconnectDomain),
        (0..NAMES.len()).prop_map(Fault::Isolate),
        Just(Fault::HealAll),
    ]
}

/// Applies a fault; `boot` is also part of a new instance's name.
fn inject(simulation: &mut Simulation, fault: &Fault, boot: u64) {
    match *fault {
        Fault::Kill(index) => simulation.kill(NAMES[index]),
        Fault::StartNew(index) => {
            // The new instance has a new name; the old one keeps running unless
            // another fault kills it.
            let name = format!("{}-{boot}", &NAMES[index][..1]);
            simulation.start(&name, boot);
        }
        Fault::Drain(index) => simulation.drain(NAMES[index]),
        Fault::Pause(index) => {
            if let Some(instance) = simulation.instances.get_mut(NAMES[index]) {
                instance.paused = true;
            }
        }
        Fault::ResumeAll => resume_all(simulation),
        Fault::StoreDown(down) => simulation.store_down = down,
        Fault::StoreLoss(loss) => simulation.store_loss = loss,
        Fault::CutFromStore(index) => {
            simulation.cut_from_store.insert(DOMAINS[index].to_owned());
        }
        Fault::DisconnectDomain(index) => simulation.disconnect_domain(DOMAINS[index]),
        Fault::Isolate(index) => {
            simulation.isolated.insert(NAMES[index].to_owned());
        }
        Fault::HealAll => simulation.heal_all(),
    }
}

fn resume_all(simulation: &mut Simulation) {
    for instance in simulation.instances.values_mut() {
        instance.paused = false;
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
        let declared = EngineSetup {
            warm: 12,
            cold: 12,
            ramp_successes: 8,
            engines: 1,
        };
        let mut simulation = Simulation::new(declared, seed);
        simulation.run(Millis::from_secs(12));
        for (number, (fault, duration)) in (10..).zip(&faults) {
            inject(&mut simulation, fault, number);
            simulation.run(Millis(*duration));
            prop_assert!(
                simulation.violations.is_empty(),
                "{fault:?}: {:?}",
                simulation.violations
            );
        }
        simulation.heal_all();
        resume_all(&mut simulation);
        simulation.store_down = false;
        simulation.store_loss = 0;
        for (number, domain) in (100..).zip(DOMAINS) {
            simulation.start(&format!("{domain}-{number}"), number);
        }
        simulation.run(Millis::from_secs(45));
        prop_assert!(
            simulation.violations.is_empty(),
            "after the repair: {:?}",
            simulation.violations
        );
        for domain in DOMAINS {
            let running = simulation.running(&format!("{domain}-e1"));
            prop_assert!(running >= 6, "{running} streams in {domain} after the repair");
        }
    }
}
