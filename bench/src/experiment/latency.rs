//! Added latency of the path through an instance, against going straight to an
//! engine.

use std::time::Duration;

use eyre::Result;

use super::Findings;
use crate::check::Finding;
use crate::engine::EngineFault;
use crate::load::LoadClass;
use crate::load::Outcome;
use crate::load::Policy;
use crate::load::summary::Times;
use crate::okonkwo;
use crate::serve::SetConfig;
use crate::stage::Contender;
use crate::stage::Stage;
use skylarkhook::clock::Millis;

/// Engines in each failure domain; idle enough to add no waiting.
const ENGINES_PER_DOMAIN: usize = 2;
const SPAN: Millis = Millis::from_secs(15);
const RATE: f64 = 10.0;
const MAX_TOKENS: u32 = 64;

pub(super) fn run(seed: u64) -> Result<Findings> {
    let mut findings = Findings::default();
    let direct = Contender::Baseline(Policy::LeastOutstanding);
    let straight = measure(direct, seed)?;
    let through = measure(Contender::System, seed)?;
    for (contender, figures) in [(direct, &straight), (Contender::System, &through)] {
        findings.add(
            contender,
            figures
                .iter()
                .map(|(name, value)| Finding::figure(*name, *value)),
        );
    }
    let added = through.iter().zip(&straight);
    findings.add(
        Contender::System,
        added.map(|((name, through), (_, straight))| {
            Finding::figure(format!("added: {name}"), through - straight)
        }),
    );
    Ok(findings)
}

type Figures = Vec<(&'static str, f64)>;

fn measure(contender: Contender, seed: u64) -> Result<Figures> {
    eprintln!("{}", contender.name());
    let mut stage = Stage::build(contender, set(), okonkwo::declaration(), seed)?;
    stage.warm_up(seed + 1)?;
    // An engine that is cold still would be slower on one side only.
    warm(&stage);
    let class = LoadClass {
        prompt_min: 1_000,
        prompt_max: 1_000,
        max_tokens: MAX_TOKENS,
        ..okonkwo::summaries(1.0)
    };
    let load = okonkwo::load(seed, SPAN, RATE, vec![class]);
    let outcomes = stage.play(&[load], Vec::new())?.concat();
    stage.stop();
    Ok(figures(&outcomes))
}

fn warm(stage: &Stage) {
    let order = EngineFault {
        warm: true,
        ..EngineFault::default()
    };
    let engines = &stage.set().engines;
    engines.iter().for_each(|engine| engine.fault(&order));
}

fn set() -> SetConfig {
    let mut set = okonkwo::set(ENGINES_PER_DOMAIN);
    for engine in &mut set.engines {
        engine.cache_tokens = 0;
    }
    set
}

fn figures(outcomes: &[Outcome]) -> Figures {
    let whole = || outcomes.iter().filter(|outcome| outcome.whole());
    let first = Times::of(whole().filter_map(|outcome| outcome.first));
    let gaps = Times::of(whole().flat_map(|outcome| outcome.gaps.iter().copied()));
    let per_token = Times::of(whole().filter_map(token_time));
    vec![
        ("requests whole", first.count() as f64),
        ("first token p50, ms", first.percentile(50.0)),
        ("first token p95, ms", first.percentile(95.0)),
        ("first token p99, ms", first.percentile(99.0)),
        ("time between tokens p50, ms", gaps.percentile(50.0)),
        ("time between tokens p99, ms", gaps.percentile(99.0)),
        (
            "mean time a token in a request p50, ms",
            per_token.percentile(50.0),
        ),
    ]
}

/// Returns the mean time between two tokens of one answer.
fn token_time(outcome: &Outcome) -> Option<Duration> {
    let gaps = u32::try_from(outcome.gaps.len()).ok()?;
    let total: Duration = outcome.gaps.iter().sum();
    total.checked_div(gaps)
}
