//! Faults of the platform, of backend servers, of instances and of callers.

use eyre::Result;

use super::Findings;
use crate::check::Finding;
use crate::check::promises;
use crate::engine::EngineFault;
use crate::load::LoadClass;
use crate::load::LoadConfig;
use crate::load::Outcome;
use crate::load::Summary;
use crate::okonkwo;
use crate::service::ServiceFault;
use crate::stage::Contender;
use crate::stage::Stage;
use crate::stage::Step;
use crate::store::StoreFault;
use skylarkhook::clock::Millis;

const ENGINES_PER_DOMAIN: usize = 4;
const RATE: f64 = 40.0;
/// Most that an outage of engines may add to the calls that they get.
const ADDED_LOAD_MOST: f64 = 0.10;

fn mix() -> Vec<LoadClass> {
    vec![
        okonkwo::summaries(0.7),
        okonkwo::reviews(0.05),
        okonkwo::outcomes(0.15),
        okonkwo::statuses(0.1),
    ]
}

/// Plays a load with steps on one contender, warm.
fn play(
    contender: Contender,
    seed: u64,
    load: &LoadConfig,
    steps: Vec<Step>,
) -> Result<(Stage, Vec<Outcome>)> {
    eprintln!("{}", contender.name());
    let set = okonkwo::set(ENGINES_PER_DOMAIN);
    let mut stage = Stage::build(contender, set, okonkwo::declaration(), seed)?;
    stage.warm_up(seed + 1)?;
    let outcomes = stage.play(std::slice::from_ref(load), steps)?.concat();
    Ok((stage, outcomes))
}

fn share_whole(load: &LoadConfig, outcomes: &[Outcome], class: &str) -> f64 {
    let of_class: Vec<Outcome> = outcomes
        .iter()
        .filter(|outcome| load.classes[outcome.class].name == class)
        .cloned()
        .collect();
    Summary::of(load, &of_class).goodput()
}

fn shares(load: &LoadConfig, outcomes: &[Outcome]) -> Vec<Finding> {
    let classes = load.classes.iter().map(|class| class.name.as_str());
    classes
        .map(|class| {
            let share = share_whole(load, outcomes, class);
            Finding::figure(format!("share whole: {class}"), share)
        })
        .collect()
}

const OUTAGE_SPAN: Millis = Millis::from_secs(78);
const OUTAGE_AT: Millis = Millis::from_secs(5);
const OUTAGE: Millis = Millis::from_secs(60);
const LOSE_AT: Millis = Millis::from_secs(70);
const LOST_ANSWERS: u32 = 20;

pub(super) fn store_outage(seed: u64) -> Result<Findings> {
    let load = okonkwo::load(seed, OUTAGE_SPAN, RATE, mix());
    let steps = vec![
        Step::new(OUTAGE_AT, "the key-value service goes down", |stage| {
            stage.set().store.fault(StoreFault {
                down_ms: Some(OUTAGE),
                ..StoreFault::default()
            });
            Ok(())
        }),
        Step::new(LOSE_AT, "the key-value service loses answers", |stage| {
            stage.set().store.fault(StoreFault {
                lose_answers: Some(LOST_ANSWERS),
                ..StoreFault::default()
            });
            Ok(())
        }),
    ];
    let contender = Contender::System;
    let (stage, outcomes) = play(contender, seed, &load, steps)?;
    let down = |outcome: &&Outcome| OUTAGE_AT <= outcome.at && outcome.at < OUTAGE_AT + OUTAGE;
    let during: Vec<Outcome> = outcomes.iter().filter(down).cloned().collect();
    let prompts = share_whole(&load, &during, "summary");
    let mut findings = Findings::default();
    findings.add(
        contender,
        [Finding::at_least(
            "share whole in the outage: summary",
            prompts,
            1.0,
        )],
    );
    findings.add(contender, shares(&load, &during));
    findings.add(contender, promises(stage.set(), &load, &outcomes));
    stage.stop();
    Ok(findings)
}

const PAUSE_SPAN: Millis = Millis::from_secs(40);
const PAUSE_PERIOD: Millis = Millis::from_secs(6);
/// Longer than the life of an instance's lease.
const PAUSE: Millis = Millis::from_secs(8);

pub(super) fn home_paused(seed: u64) -> Result<Findings> {
    let load = okonkwo::load(seed, PAUSE_SPAN, RATE, mix());
    let places = okonkwo::DOMAINS.len() * okonkwo::ENTRIES_PER_DOMAIN;
    // Each domain's first instance, then the second ones.
    let order = (0..places).map(|n| n * 2 % places + n * 2 / places);
    let steps = order
        .enumerate()
        .take(5)
        .map(|(n, place)| {
            let at = PAUSE_PERIOD * (n as u64 + 1);
            Step::new(at, format!("instance {place} pauses"), move |stage| {
                if let Some(daemon) = stage.deployment().and_then(|d| d.daemon(place)) {
                    daemon.pause(PAUSE);
                }
                Ok(())
            })
        })
        .collect();
    let contender = Contender::System;
    let (stage, outcomes) = play(contender, seed, &load, steps)?;
    let mut findings = Findings::default();
    findings.add(contender, shares(&load, &outcomes));
    findings.add(contender, promises(stage.set(), &load, &outcomes));
    stage.stop();
    Ok(findings)
}

const CRASH_SPAN: Millis = Millis::from_secs(26);
const CRASH_PERIOD: Millis = Millis::from_secs(2);

pub(super) fn engine_crash(seed: u64) -> Result<Findings> {
    let mut findings = Findings::default();
    for contender in Contender::ALL {
        let load = okonkwo::load(seed, CRASH_SPAN, RATE, mix());
        let (stage, outcomes) = play(contender, seed, &load, crashes(seed))?;
        let share = share_whole(&load, &outcomes, "summary");
        findings.add(
            contender,
            [Finding::at_least("share whole: summary", share, 1.0)],
        );
        findings.add(contender, shares(&load, &outcomes));
        findings.add(contender, [added_load(&stage, &load, &outcomes)]);
        // A sudden turn to cold may overtake what is in flight.
        findings.add(contender, promises(stage.set(), &load, &outcomes));
        stage.stop();
    }
    Ok(findings)
}

/// Returns one fault of an engine every other second, of each sort in turn.
fn crashes(seed: u64) -> Vec<Step> {
    let sorts: [(&str, EngineFault); 4] = [
        (
            "crashes",
            EngineFault {
                crash: true,
                ..EngineFault::default()
            },
        ),
        (
            "falls silent",
            EngineFault {
                silent: true,
                ..EngineFault::default()
            },
        ),
        (
            "answers crossed",
            EngineFault {
                crossed: Some(50),
                ..EngineFault::default()
            },
        ),
        (
            "turns cold",
            EngineFault {
                cold: true,
                ..EngineFault::default()
            },
        ),
    ];
    let count = CRASH_SPAN.0 / CRASH_PERIOD.0 - 2;
    (1..=count)
        .map(|n| {
            let (name, fault) = sorts[(n % 4) as usize].clone();
            let engines = ENGINES_PER_DOMAIN * okonkwo::DOMAINS.len();
            let engine = (seed + n * 5) as usize % engines;
            Step::new(
                CRASH_PERIOD * n,
                format!("engine {engine} {name}"),
                move |stage| {
                    stage.set().engines[engine].fault(&fault);
                    Ok(())
                },
            )
        })
        .collect()
}

/// Returns calls of engines for one prompt more than one, as a share.
fn added_load(stage: &Stage, load: &LoadConfig, outcomes: &[Outcome]) -> Finding {
    let is_prompt = |o: &&Outcome| load.classes[o.class].service.is_empty();
    let prompts = outcomes.iter().filter(is_prompt).count() as f64;
    let submitted: u64 = stage
        .set()
        .stats()
        .engines
        .iter()
        .map(|e| e.submitted)
        .sum();
    // The warm-up went through the same engines.
    let warm_up = match stage {
        Stage::System(_) => warm_up_prompts(load.seed + 1),
        Stage::Baseline(..) => 0.0,
    };
    let added = (submitted as f64 - warm_up) / prompts.max(1.0) - 1.0;
    Finding::at_most("load added by retries", added, ADDED_LOAD_MOST)
}

fn warm_up_prompts(seed: u64) -> f64 {
    let load = crate::stage::warm_up_load(seed);
    let prompt = |a: &&crate::load::Arrival| load.classes[a.class].service.is_empty();
    load.plan().iter().filter(prompt).count() as f64
}

const POISON_SPAN: Millis = Millis::from_secs(20);
const POISON_WORKSPACE: &str = "workspace-1";
const POISON_FROM: Millis = Millis::from_secs(4);
/// Crashes that one fingerprint may cause over the whole fleet.
const POISON_CRASHES_MOST: f64 = 2.0;

pub(super) fn poison(seed: u64) -> Result<Findings> {
    let mut findings = Findings::default();
    for contender in Contender::ALL {
        let mut classes = mix();
        classes.push(LoadClass {
            name: "poison".to_owned(),
            marker: okonkwo::POISON.to_owned(),
            // One workspace: the same request has the same fingerprint.
            workspace: POISON_WORKSPACE.to_owned(),
            prompt_min: 1_000,
            prompt_max: 1_000,
            resends: 3,
            from_ms: POISON_FROM,
            ..okonkwo::summaries(0.02)
        });
        let load = okonkwo::load(seed, POISON_SPAN, RATE, classes);
        let (stage, outcomes) = play(contender, seed, &load, Vec::new())?;
        let crashes: u64 = stage
            .set()
            .stats()
            .engines
            .iter()
            .map(|e| e.poison_crashes)
            .sum();
        let innocent = share_whole(&load, &outcomes, "summary");
        findings.add(
            contender,
            [
                Finding::at_most(
                    "crashes by one fingerprint",
                    crashes as f64,
                    POISON_CRASHES_MOST,
                ),
                Finding::at_least("share whole: innocent summaries", innocent, 1.0),
            ],
        );
        findings.add(contender, shares(&load, &outcomes));
        findings.add(contender, promises(stage.set(), &load, &outcomes));
        stage.stop();
    }
    Ok(findings)
}

const RESEND_SPAN: Millis = Millis::from_secs(18);
const RESEND_RATE: f64 = 12.0;
const SERVICE_FAULT_PERIOD: Millis = Millis::from_secs(2);

pub(super) fn resend_everywhere(seed: u64) -> Result<Findings> {
    let mut findings = Findings::default();
    let contender = Contender::System;
    let classes = vec![LoadClass {
        copies: 6,
        resends: 2,
        ..okonkwo::outcomes(1.0)
    }];
    let load = okonkwo::load(seed, RESEND_SPAN, RESEND_RATE, classes);
    let (stage, outcomes) = play(contender, seed, &load, lost_answers())?;
    let told: std::collections::BTreeSet<&String> = outcomes
        .iter()
        .filter(|outcome| outcome.whole())
        .map(|outcome| &outcome.key)
        .collect();
    let keys = load.plan().len();
    findings.add(
        contender,
        [
            Finding::figure("keys", keys as f64),
            Finding::figure(
                "share of keys with a known result",
                told.len() as f64 / keys.max(1) as f64,
            ),
        ],
    );
    findings.add(contender, promises(stage.set(), &load, &outcomes));
    stage.stop();
    Ok(findings)
}

/// Returns lost answers of services and of the store, and crashes of services,
/// in turn.
fn lost_answers() -> Vec<Step> {
    let count = RESEND_SPAN.0 / SERVICE_FAULT_PERIOD.0 - 1;
    (1..=count)
        .map(|n| {
            let at = SERVICE_FAULT_PERIOD * n;
            match n % 3 {
                0 => Step::new(at, "a service crashes", move |stage| {
                    let services = &stage.set().services;
                    services[n as usize % services.len()].fault(&ServiceFault {
                        crash: true,
                        ..ServiceFault::default()
                    });
                    Ok(())
                }),
                1 => Step::new(at, "services lose answers", |stage| {
                    for service in &stage.set().services {
                        service.fault(&ServiceFault {
                            lose_answers: Some(3),
                            ..ServiceFault::default()
                        });
                    }
                    Ok(())
                }),
                _ => Step::new(at, "the key-value service loses answers", |stage| {
                    stage.set().store.fault(StoreFault {
                        lose_answers: Some(5),
                        ..StoreFault::default()
                    });
                    Ok(())
                }),
            }
        })
        .collect()
}
