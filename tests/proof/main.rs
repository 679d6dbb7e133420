//! The promises of the system, under failure.
//!
//! Scripted scenarios stand under `scenarios/`; each begins with what is
//! expected. They run the product's control cores and relays on a virtual
//! clock against small fakes of the platform and the backend servers.

mod backend;
mod caller;
mod mixed;
mod script;
mod store;
mod world;

use script::Command;
use script::Script;

/// Runs one scenario; each is a test of its own, so that they run side by side.
macro_rules! scenarios {
    ($($name:ident = $file:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut script = Script::new();
                datadriven::walk(concat!("scenarios/", $file, ".txt"), |file| {
                    file.run(|case| {
                        let directive = case.directive.clone();
                        let args = case.args.clone();
                        script.run(&Command { directive, args })
                    });
                });
            }
        )*

        const FILES: &[&str] = &[$($file,)*];
    };
}

scenarios! {
    backend_leaves = "backend-leaves";
    callers_leave = "callers-leave";
    claims_restored_older = "claims-restored-older";
    cut_off_whole = "cut-off-whole";
    domain_out_and_back = "domain-out-and-back";
    domains_cut = "domains-cut";
    engine_crash = "engine-crash";
    engines_turn_cold = "engines-turn-cold";
    home_killed = "home-killed";
    home_paused = "home-paused";
    home_paused_old_epochs = "home-paused-old-epochs";
    instance_dies_in_a_call = "instance-dies-in-a-call";
    new_instance_in_an_outage = "new-instance-in-an-outage";
    one_claim_restored_older = "one-claim-restored-older";
    overload = "overload";
    plain_load = "plain-load";
    platform_cut = "platform-cut";
    poison = "poison";
    rejoin_after_a_cut = "rejoin-after-a-cut";
    resend_everywhere = "resend-everywhere";
    rolling_replace = "rolling-replace";
    service_loses_answers = "service-loses-answers";
    silent_connections = "silent-connections";
    store_down = "store-down";
    store_loses_answers = "store-loses-answers";
    store_restored_older = "store-restored-older";
}

#[test]
fn every_scenario_is_run() {
    let mut found: Vec<String> = std::fs::read_dir("scenarios")
        .expect("the folder")
        .map(|entry| entry.expect("an entry").file_name())
        .map(|name| name.to_string_lossy().trim_end_matches(".txt").to_owned())
        .collect();
    found.sort();
    assert_eq!(found, FILES);
}
