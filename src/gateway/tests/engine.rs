//! Forecasts of an engine's forward passes, compared with observed behaviour of
//! such engines.

use super::world::spec;
use crate::clock::Millis;
use crate::gateway::engine::EngineLoad;
use crate::gateway::engine::Job;
use crate::gateway::engine::JobKey;
use crate::gateway::engine::Role;
use crate::gateway::lanes::Lane;
use crate::gateway::placement;
use crate::gateway::placement::Prompt;

pub fn prompt(key: u64, tokens: f64, due_ms: f64) -> Prompt {
    Prompt {
        key: JobKey(key),
        prompt_tokens: tokens,
        output_tokens: 430.0,
        due_ms,
        deadline_ms: 10_000.0,
        target_ms: due_ms,
        max_gap_ms: 250.0,
        utility: 1.0 + tokens / 10_000.0,
        urgency: 5,
        lane: if tokens > 24_000.0 {
            Lane::Long
        } else {
            Lane::Short
        },
        jitter: 0.0,
    }
}

fn whole(now: u64, key: u64, tokens: f64) -> Job {
    let prompt = prompt(key, tokens, 2_500.0);
    placement::primary_job(Millis(now), &prompt, tokens, 0.0, tokens)
}

fn first_token(load: &EngineLoad, job: &Job) -> f64 {
    load.forecast(Some(job))
        .prefill_end(job.key, Role::Primary)
        .unwrap()
}

#[test]
fn an_idle_engine_reads_at_once() {
    let load = EngineLoad::new(Millis(100), spec());
    let at = first_token(&load, &whole(100, 1, 5_000.0));
    // 25 ms of prefill, 2 ms of attention, and 1 ms for each of three steps.
    assert!((at - 130.0).abs() < 2.0, "{at}");
}

#[test]
fn a_prompt_waits_for_the_pass_that_runs() {
    let mut load = EngineLoad::new(Millis(0), spec());
    load.add(Millis(0), whole(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    load.advance(Millis(20));
    let at = first_token(&load, &whole(20, 2, 1_000.0));
    // The remainder of the pass that began at 6 ms, then one whole pass.
    assert!((90.0..110.0).contains(&at), "{at}");
}

#[test]
fn many_chunks_are_read_beside_writers_in_one_pass() {
    let mut load = EngineLoad::new(Millis(0), spec());
    load.add(Millis(0), whole(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    load.advance(Millis(20));
    let one = first_token(&load, &whole(20, 2, 2_000.0));
    let ten = first_token(&load, &whole(20, 2, 20_000.0));
    assert!((90.0..130.0).contains(&(ten - one)), "{one} {ten}");
}

#[test]
fn reading_a_long_prompt_pauses_writers() {
    let mut load = EngineLoad::new(Millis(0), spec());
    load.add(Millis(0), whole(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    load.advance(Millis(20));
    let forecast = load.forecast(Some(&whole(20, 2, 80_000.0)));
    let (_, pause) = forecast
        .longest_gaps
        .iter()
        .find(|(key, _)| *key == JobKey(1))
        .unwrap();
    assert!(*pause > 700.0, "{pause}");
}

#[test]
fn what_does_not_fit_into_memory_holds_up_what_follows() {
    let mut load = EngineLoad::new(Millis(0), spec());
    load.add(Millis(0), whole(0, 1, 130_000.0));
    let alone = first_token(&load, &whole(1, 3, 1_000.0));
    load.add(Millis(1), whole(1, 2, 150_000.0));
    let behind = first_token(&load, &whole(2, 3, 1_000.0));
    assert!(behind > alone + 1_000.0, "{alone} {behind}");
}

#[test]
fn an_engines_word_on_its_memory_counts_for_a_while() {
    let mut load = EngineLoad::new(Millis(0), spec());
    load.observe_free_memory(Millis(10), 32_000);
    assert!((load.memory() - 200_000.0).abs() < 1.0);
    load.advance(Millis(5_000));
    assert!(load.memory() < 1.0);
}

#[test]
fn parts_are_read_ahead_and_hold_their_memory_until_the_end() {
    let mut load = EngineLoad::new(Millis(0), spec());
    load.add(Millis(0), whole(0, 1, 20_000.0));
    let long = prompt(2, 100_000.0, 2_500.0);
    load.add(
        Millis(0),
        placement::helper_job(Millis(0), &long, 10_000.0, 7_000.0),
    );
    let forecast = load.forecast(None);
    let part = forecast.prefill_end(JobKey(2), Role::Helper).unwrap();
    let own = forecast.prefill_end(JobKey(1), Role::Primary).unwrap();
    assert!(part < own);
    load.record_first_output(Millis(400), JobKey(2));
    assert_eq!(load.helper_count(), 1);
    load.remove(Millis(500), JobKey(2));
    assert_eq!(load.helper_count(), 0);
}

#[test]
fn the_newest_part_is_read_first() {
    let mut load = EngineLoad::new(Millis(0), spec());
    let older = prompt(1, 100_000.0, 2_500.0);
    load.add(
        Millis(0),
        placement::helper_job(Millis(0), &older, 10_000.0, 0.0),
    );
    let newer = prompt(2, 100_000.0, 2_500.0);
    let part = placement::helper_job(Millis(5), &newer, 10_000.0, 0.0);
    let forecast = load.forecast(Some(&part));
    let older = forecast.prefill_end(JobKey(1), Role::Helper).unwrap();
    let newer = forecast.prefill_end(JobKey(2), Role::Helper).unwrap();
    assert!(newer < older, "{newer} {older}");
}

#[test]
fn the_pace_is_learnt_from_whole_passes() {
    let mut load = EngineLoad::new(Millis(0), spec());
    load.add(Millis(0), whole(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    let pass_ms = 44;
    for pass in 1..10 {
        load.record_progress(Millis(10 + pass * pass_ms), JobKey(1));
    }
    assert!((load.pace() - 1.0).abs() < 1e-9, "{}", load.pace());
    for pass in 1..10 {
        load.record_progress(Millis(406 + pass * pass_ms * 3), JobKey(1));
    }
    assert!((2.5..3.5).contains(&load.pace()), "{}", load.pace());
    // A single long pass does not make an engine slow.
    let mut load = EngineLoad::new(Millis(0), spec());
    load.add(Millis(0), whole(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    for pass in 1..10 {
        let late = if pass == 9 { 400 } else { 0 };
        load.record_progress(Millis(10 + pass * pass_ms + late), JobKey(1));
    }
    assert!((load.pace() - 1.0).abs() < 1e-9, "{}", load.pace());
}

#[test]
fn what_was_never_reported_as_ended_is_forgotten() {
    let mut load = EngineLoad::new(Millis(0), spec());
    load.add(Millis(0), whole(0, 1, 1_000.0));
    load.advance(Millis(60_000));
    assert_eq!(load.request_count(), 0);
}
