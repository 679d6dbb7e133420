//! Forecasts of an engine's forward passes, compared with observed behaviour of
//! such engines.

use la_arena::RawIdx;

use super::simulation::engine_spec;
use crate::clock::Millis;
use crate::gateway::engine::EngineLoad;
use crate::gateway::engine::Job;
use crate::gateway::engine::JobKey;
use crate::gateway::engine::Role;
use crate::gateway::lanes::Lane;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Placement;
use crate::gateway::placement::Prompt;
use crate::gateway::server_table::ServerKey;

/// Length above which a prompt belongs to the lane for long prompts, in tokens.
const MAX_SHORT_PROMPT_TOKENS: f64 = 24_000.0;

pub fn prompt(key: u64, tokens: f64, due_at: f64) -> Prompt {
    Prompt {
        key: JobKey(key),
        prompt_tokens: tokens,
        output_tokens: 430.0,
        due_at,
        deadline_at: 10_000.0,
        target_ms: due_at,
        max_gap_ms: 250.0,
        utility: 1.0 + tokens / 10_000.0,
        engine_priority: 5,
        lane: if tokens > MAX_SHORT_PROMPT_TOKENS {
            Lane::Long
        } else {
            Lane::Short
        },
        jitter: 0.0,
        can_be_declined: true,
    }
}

fn unsplit_job(now: u64, key: u64, tokens: f64) -> Job {
    let prompt = prompt(key, tokens, 2_500.0);
    placement::primary_job(Millis(now), &prompt, tokens, 0.0, tokens)
}

fn first_token_at(load: &EngineLoad, job: &Job) -> f64 {
    load.forecast(Some(job))
        .prefill_end(job.key, Role::Primary)
        .unwrap()
}

#[test]
fn an_idle_engine_prefills_immediately() {
    let load = EngineLoad::new(Millis(100), engine_spec());
    let at = first_token_at(&load, &unsplit_job(100, 1, 5_000.0));
    // 25 ms of prefill, 2 ms of attention, and 1 ms for each of three steps.
    assert!((at - 130.0).abs() < 2.0, "{at}");
}

#[test]
fn a_prompt_waits_for_the_current_pass() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    load.advance(Millis(20));
    let at = first_token_at(&load, &unsplit_job(20, 2, 1_000.0));
    // The remainder of the pass that began at 6 ms, then one whole pass.
    assert!((90.0..110.0).contains(&at), "{at}");
}

#[test]
fn one_pass_prefills_many_chunks_while_requests_decode() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    load.advance(Millis(20));
    let one_chunk = first_token_at(&load, &unsplit_job(20, 2, 2_000.0));
    let ten_chunks = first_token_at(&load, &unsplit_job(20, 2, 20_000.0));
    assert!(
        (90.0..130.0).contains(&(ten_chunks - one_chunk)),
        "{one_chunk} {ten_chunks}"
    );
}

#[test]
fn the_prefill_of_a_long_prompt_stalls_decoding() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    load.advance(Millis(20));
    let forecast = load.forecast(Some(&unsplit_job(20, 2, 80_000.0)));
    let (_, longest_gap) = forecast
        .longest_gaps
        .iter()
        .find(|(key, _)| *key == JobKey(1))
        .unwrap();
    assert!(*longest_gap > 700.0, "{longest_gap}");
}

#[test]
fn an_answer_beyond_its_expected_length_is_expected_to_go_on() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    // Its 430 tokens take ten passes; no end has been reported after twelve.
    load.advance(Millis(560));
    let forecast = load.forecast(Some(&unsplit_job(560, 2, 80_000.0)));
    let longest_gap = forecast.longest_gap(JobKey(1)).unwrap();
    assert!(longest_gap > 700.0, "{longest_gap}");
}

#[test]
fn a_prompt_is_held_back_only_while_it_delays_others_and_would_be_in_time() {
    let prompt = prompt(1, 300_000.0, 8_000.0);
    let placement = |first_token_at: f64, cost_to_others: f64| Placement {
        primary: ServerKey::from_raw(RawIdx::from_u32(0)),
        helpers: Vec::new(),
        primary_reserved: 0,
        first_token_at,
        parts_ready_at: 0.0,
        cost: cost_to_others,
        cost_to_others,
    };
    let deferral = |now: u64, placement: &Placement| {
        placement::deferral(Millis(now), &prompt, placement).is_some()
    };
    assert!(deferral(0, &placement(5_000.0, 3.0)));
    assert!(!deferral(0, &placement(5_000.0, 0.1)));
    assert!(!deferral(2_500, &placement(7_500.0, 3.0)));
}

#[test]
fn a_prompt_that_does_not_fit_into_memory_blocks_later_ones() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 130_000.0));
    let alone = first_token_at(&load, &unsplit_job(1, 3, 1_000.0));
    load.add(Millis(1), unsplit_job(1, 2, 150_000.0));
    let blocked = first_token_at(&load, &unsplit_job(2, 3, 1_000.0));
    assert!(blocked > alone + 1_000.0, "{alone} {blocked}");
}

#[test]
fn memory_reported_by_an_engine_counts_for_a_while() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.observe_free_memory(Millis(10), 32_000);
    assert!((load.memory() - 200_000.0).abs() < 1.0);
    load.advance(Millis(5_000));
    assert!(load.memory() < 1.0);
}

#[test]
fn parts_are_prefilled_first_and_hold_their_memory_until_the_end() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 20_000.0));
    let long = prompt(2, 100_000.0, 2_500.0);
    load.add(
        Millis(0),
        placement::helper_job(Millis(0), &long, 10_000.0, 7_000.0),
    );
    let forecast = load.forecast(None);
    let part = forecast.prefill_end(JobKey(2), Role::Helper).unwrap();
    let unsplit = forecast.prefill_end(JobKey(1), Role::Primary).unwrap();
    assert!(part < unsplit);
    load.record_first_output(Millis(400), JobKey(2));
    assert_eq!(load.helper_count(), 1);
    load.remove(Millis(500), JobKey(2));
    assert_eq!(load.helper_count(), 0);
}

#[test]
fn the_newest_part_is_prefilled_first() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
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
fn the_slowdown_is_estimated_from_completed_passes() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    let pass_ms = 44;
    for pass in 1..10 {
        load.record_progress(Millis(10 + pass * pass_ms), JobKey(1));
    }
    assert!((load.slowdown() - 1.0).abs() < 1e-9, "{}", load.slowdown());
    for pass in 1..10 {
        load.record_progress(Millis(406 + pass * pass_ms * 3), JobKey(1));
    }
    assert!((2.5..3.5).contains(&load.slowdown()), "{}", load.slowdown());
    // A single long pass does not make an engine slow.
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 1_000.0));
    load.record_first_output(Millis(10), JobKey(1));
    for pass in 1..10 {
        let late = if pass == 9 { 400 } else { 0 };
        load.record_progress(Millis(10 + pass * pass_ms + late), JobKey(1));
    }
    assert!((load.slowdown() - 1.0).abs() < 1e-9, "{}", load.slowdown());
}

#[test]
fn a_request_whose_end_is_never_reported_expires() {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    load.add(Millis(0), unsplit_job(0, 1, 1_000.0));
    load.advance(Millis(60_000));
    assert_eq!(load.request_count(), 0);
}

/// Returns the placement of a prompt that exceeds an engine's memory, on twelve
/// engines that decode `streams` requests each.
fn place_oversized(streams: u64, can_be_declined: bool) -> Option<Placement> {
    let mut load = EngineLoad::new(Millis(0), engine_spec());
    for key in 0..streams {
        load.add(Millis(0), unsplit_job(0, key, 5_000.0));
        load.record_first_output(Millis(10), JobKey(key));
    }
    load.advance(Millis(20));
    let candidates: Vec<Candidate<'_>> = (0..12)
        .map(|index| Candidate {
            key: ServerKey::from_raw(RawIdx::from_u32(index)),
            load: &load,
            cross_domain: false,
            can_be_primary: true,
            can_help: true,
            lane: Lane::Long,
            short_prompts_per_ms: 0.0,
        })
        .collect();
    let prompt = Prompt {
        max_gap_ms: 1_000.0,
        can_be_declined,
        ..prompt(100, 351_000.0, 2_520.0)
    };
    placement::place(Millis(20), &prompt, &candidates)
}

#[test]
fn an_oversized_prompt_that_would_cost_more_than_its_utility_is_declined() {
    assert!(place_oversized(0, true).is_some());
    assert!(place_oversized(13, true).is_none());
    // After an attempt that an engine may have run, it is placed all the same.
    let placement = place_oversized(13, false).unwrap();
    assert!(placement.cost > 36.1, "{}", placement.cost);
}
