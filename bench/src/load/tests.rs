use std::collections::BTreeSet;
use std::time::Duration;

use super::Load;
use super::LoadClass;
use super::LoadConfig;
use super::LoadWorkspace;
use super::Policy;
use super::Summary;
use super::Target;
use super::summary::Times;
use crate::engine::EngineConfig;
use crate::engine::EngineFault;
use crate::engine::EngineHandle;
use skylarkhook::clock::Millis;

fn config() -> LoadConfig {
    LoadConfig {
        seed: 7,
        span: Millis(300),
        rate: 100.0,
        classes: vec![LoadClass {
            name: "summary".to_owned(),
            prompt_min: 100,
            prompt_max: 1_000,
            max_tokens: 8,
            ..LoadClass::default()
        }],
        workspaces: vec![LoadWorkspace {
            weight: 1.0,
            ..LoadWorkspace::default()
        }],
        patience: Millis(5_000),
    }
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    assert_eq!(config().plan(), config().plan());
    let other = LoadConfig {
        seed: 8,
        ..config()
    };
    assert_ne!(config().plan(), other.plan());
}

#[test]
fn prompts_differ_but_for_those_with_a_marker() {
    let mut cfg = config();
    let plan = cfg.plan();
    let prompts = |cfg: &LoadConfig| -> BTreeSet<String> {
        plan.iter().map(|arrival| cfg.prompt(arrival)).collect()
    };
    assert_eq!(prompts(&cfg).len(), plan.len());
    cfg.classes[0].marker = "<<crash>>".to_owned();
    cfg.classes[0].prompt_max = cfg.classes[0].prompt_min;
    let plan = cfg.plan();
    let marked: BTreeSet<String> = plan.iter().map(|arrival| cfg.prompt(arrival)).collect();
    assert_eq!(marked.len(), 1);
}

#[test]
fn a_baseline_run_finds_every_answer_whole() {
    let engine = EngineHandle::start(EngineConfig::default()).unwrap();
    let target = Target::direct(
        Policy::LeastOutstanding,
        vec![engine.addr().to_string()],
        Vec::new(),
    );
    let outcomes = Load::start(config(), target).wait();
    let summary = Summary::of(&config(), &outcomes);
    assert_eq!(summary.calls, config().plan().len() as u64);
    assert_eq!(summary.whole, summary.calls);
}

#[test]
fn percentiles_of_times_are_in_milliseconds() {
    let times = Times::of((1..=100).map(Duration::from_millis));
    assert_eq!(times.count(), 100);
    assert!((times.percentile(50.0) - 50.0).abs() < 0.1);
    assert!((times.percentile(99.0) - 99.0).abs() < 0.1);
}

#[test]
fn an_answer_with_a_foreign_frame_is_found_to_be_wrong() {
    let engine = EngineHandle::start(EngineConfig::default()).unwrap();
    engine.fault(&EngineFault {
        crossed: Some(1),
        ..EngineFault::default()
    });
    let target = Target::direct(
        Policy::RoundRobin,
        vec![engine.addr().to_string()],
        Vec::new(),
    );
    let outcomes = Load::start(config(), target).wait();
    assert_eq!(Summary::of(&config(), &outcomes).wrong, 1);
}
