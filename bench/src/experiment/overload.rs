//! Twice the load that the engines can serve.

use eyre::Result;

use super::Findings;
use crate::check::Finding;
use crate::check::promises;
use crate::load::Ending;
use crate::load::LoadClass;
use crate::load::LoadConfig;
use crate::load::Outcome;
use crate::okonkwo;
use crate::serve::SetConfig;
use crate::stage::Contender;
use crate::stage::Stage;
use skylarkhook::clock::Millis;

const ENGINES_PER_DOMAIN: usize = 3;
/// Speed of each engine's prefill, in tokens a second.
const PREFILL_RATE: f64 = 20_000.0;
/// Speed of each engine's decode, in tokens a second.
const DECODE_RATE: f64 = 500.0;
/// Length of all prompts, in tokens.
const PROMPT_TOKENS: u64 = 2_000;
/// Load against capacity.
const FACTOR: f64 = 2.0;
const SPAN: Millis = Millis::from_secs(16);
/// Part of the run that is counted: queues are filled, load is still coming.
const COUNTED: (Millis, Millis) = (Millis::from_secs(4), Millis::from_secs(16));
/// Times within which answers are worth something.
const DEADLINES: [(&str, Millis); 2] = [
    ("summary", Millis::from_secs(10)),
    ("dispute", Millis::from_secs(60)),
];
/// Smallest goodput against capacity.
const GOODPUT_LEAST: f64 = 0.95;

pub(super) fn run(seed: u64) -> Result<Findings> {
    let mut findings = Findings::default();
    for contender in Contender::ALL {
        eprintln!("{}", contender.name());
        let mut stage = Stage::build(contender, set(), okonkwo::declaration(), seed)?;
        stage.warm_up(seed + 1)?;
        let load = okonkwo::load(seed, SPAN, capacity() * FACTOR, classes());
        let outcomes = stage
            .play(std::slice::from_ref(&load), Vec::new())?
            .concat();
        findings.add(contender, figures(&stage, &load, &outcomes));
        stage.stop();
    }
    Ok(findings)
}

fn set() -> SetConfig {
    let mut set = okonkwo::set(ENGINES_PER_DOMAIN);
    for engine in &mut set.engines {
        engine.prefill_tokens_per_s = PREFILL_RATE;
        engine.decode_tokens_per_s = DECODE_RATE;
        // Without a cache the capacity can be calculated.
        engine.cache_tokens = 0;
    }
    set
}

/// Returns the requests a second that all engines can serve; an answer has
/// three quarters of the tokens allowed on average.
fn capacity() -> f64 {
    let tokens = f64::from(okonkwo::summaries(1.0).max_tokens) * 0.75;
    let engine = (PREFILL_RATE / PROMPT_TOKENS as f64).min(DECODE_RATE / tokens);
    engine * (ENGINES_PER_DOMAIN * okonkwo::DOMAINS.len()) as f64
}

fn classes() -> Vec<LoadClass> {
    [("summary", 0.9), ("dispute", 0.1)]
        .map(|(kind, weight)| LoadClass {
            name: kind.to_owned(),
            kind: kind.to_owned(),
            prompt_min: PROMPT_TOKENS,
            prompt_max: PROMPT_TOKENS,
            ..okonkwo::summaries(weight)
        })
        .into()
}

fn figures(stage: &Stage, load: &LoadConfig, outcomes: &[Outcome]) -> Vec<Finding> {
    let class = |outcome: &Outcome| load.classes[outcome.class].name.clone();
    let in_time = |outcome: &&Outcome| {
        let name = class(outcome);
        let limit = DEADLINES.iter().find(|(kind, _)| *kind == name);
        outcome.whole() && limit.is_some_and(|(_, limit)| outcome.total <= limit.as_duration())
    };
    let counted = |outcome: &&Outcome| {
        let end = outcome.at + Millis::from(outcome.total);
        COUNTED.0 <= end && end < COUNTED.1
    };
    let span = (COUNTED.1 - COUNTED.0).as_secs_f64();
    let good = outcomes.iter().filter(in_time).filter(counted).count() as f64 / span;
    let late = outcomes.iter().filter(|o| o.whole() && !in_time(o)).count();
    let disputes = || {
        outcomes
            .iter()
            .filter(|outcome| class(outcome) == "dispute")
    };
    let lost = disputes().filter(|outcome| !in_time(outcome)).count();
    let refused = |outcome: &&Outcome| matches!(outcome.ending, Ending::Refused { .. });
    let early = outcomes
        .iter()
        .filter(refused)
        .filter(|o| o.ending.says_not_run());
    let mut findings = vec![
        Finding::figure("capacity, requests/s", capacity()),
        Finding::at_least("goodput against capacity", good / capacity(), GOODPUT_LEAST),
        Finding::zero("whole answers after their time", late as u64),
        Finding::zero("most important requests not served in time", lost as u64),
        Finding::figure("requests", outcomes.len() as f64),
        Finding::figure("refused, not run", early.count() as f64),
        Finding::figure(
            "refused or failed in all",
            outcomes.iter().filter(refused).count() as f64,
        ),
    ];
    findings.extend(promises(stage.set(), load, outcomes));
    findings
}
