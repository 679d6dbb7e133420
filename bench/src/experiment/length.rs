//! Short requests with long ones beside them.

use eyre::Result;

use super::Findings;
use crate::check::Finding;
use crate::check::promises;
use crate::load::LoadConfig;
use crate::load::Outcome;
use crate::load::Summary;
use crate::load::summary::first_times;
use crate::okonkwo;
use crate::report::Chart;
use crate::report::Line;
use crate::stage::Contender;
use crate::stage::Stage;
use skylarkhook::clock::Millis;
use skylarkhook::job::LengthClass;

const ENGINES_PER_DOMAIN: usize = 4;
const SPAN: Millis = Millis::from_secs(15);
const SHORT_RATE: f64 = 40.0;
const LONG_RATE: f64 = 6.0;
/// Largest slowdown of the 95th percentile of first-token times.
const SLOWDOWN_MOST: f64 = 1.2;
const PERCENTILES: [f64; 9] = [10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.9];

pub(super) fn run(seed: u64) -> Result<Findings> {
    let mut findings = Findings::default();
    let mut lines = Vec::new();
    let mut slowdowns = Vec::new();
    for contender in Contender::ALL {
        let name = contender.name();
        eprintln!("{name}");
        let set = okonkwo::set(ENGINES_PER_DOMAIN);
        let mut stage = Stage::build(contender, set, okonkwo::declaration(), seed)?;
        stage.warm_up(seed + 1)?;
        let (short, long) = loads(seed);
        let alone = stage
            .play(std::slice::from_ref(&short), Vec::new())?
            .concat();
        let beside = stage.play(&[short.clone(), long.clone()], Vec::new())?;
        findings.add(contender, figures(&short, &alone, &beside[0]));
        findings.add(contender, length_figures(&long, &beside[1]));
        if contender == Contender::System {
            findings.add(contender, promises(stage.set(), &long, &beside.concat()));
        }
        lines.push(line(&format!("{name}, alone"), &alone));
        lines.push(line(&format!("{name}, with long ones"), &beside[0]));
        slowdowns.push(slowdown_line(name, &alone, &beside[0]));
        stage.stop();
    }
    findings.charts = vec![
        chart("First token of short requests", "ms", lines),
        chart(
            "Slowdown of short requests by long ones",
            "times",
            slowdowns,
        ),
    ];
    Ok(findings)
}

fn loads(seed: u64) -> (LoadConfig, LoadConfig) {
    let short = okonkwo::load(seed, SPAN, SHORT_RATE, vec![okonkwo::summaries(1.0)]);
    let classes = vec![okonkwo::reviews(0.85), okonkwo::disputes(0.15)];
    (short, okonkwo::load(seed + 2, SPAN, LONG_RATE, classes))
}

fn figures(load: &LoadConfig, alone: &[Outcome], beside: &[Outcome]) -> Vec<Finding> {
    let before = Summary::of(load, alone);
    let after = Summary::of(load, beside);
    let short = LengthClass::Short;
    let slowdown = after.first(short, 95.0) / before.first(short, 95.0).max(0.1);
    vec![
        Finding::figure(
            "short alone: first token p50, ms",
            before.first(short, 50.0),
        ),
        Finding::figure(
            "short alone: first token p95, ms",
            before.first(short, 95.0),
        ),
        Finding::figure(
            "short beside long: first token p50, ms",
            after.first(short, 50.0),
        ),
        Finding::figure(
            "short beside long: first token p95, ms",
            after.first(short, 95.0),
        ),
        Finding::figure(
            "short beside long: first token p99, ms",
            after.first(short, 99.0),
        ),
        Finding::at_most("slowdown of short requests, p95", slowdown, SLOWDOWN_MOST),
        Finding::figure("short alone: share whole", before.goodput()),
        Finding::at_least("short beside long: share whole", after.goodput(), 1.0),
    ]
}

fn length_figures(load: &LoadConfig, outcomes: &[Outcome]) -> Vec<Finding> {
    let summary = Summary::of(load, outcomes);
    let long = LengthClass::Long;
    let huge = LengthClass::Huge;
    vec![
        Finding::figure("long: first token p95, ms", summary.first(long, 95.0)),
        Finding::figure("huge: first token p95, ms", summary.first(huge, 95.0)),
        Finding::at_least("long and huge: share whole", summary.goodput(), 1.0),
    ]
}

fn line(name: &str, outcomes: &[Outcome]) -> Line {
    let times = first_times(outcomes, LengthClass::Short);
    Line {
        name: name.to_owned(),
        points: PERCENTILES.map(|p| (p, times.percentile(p))).into(),
    }
}

fn slowdown_line(name: &str, alone: &[Outcome], beside: &[Outcome]) -> Line {
    let alone = first_times(alone, LengthClass::Short);
    let beside = first_times(beside, LengthClass::Short);
    let ratio = |p: f64| beside.percentile(p) / alone.percentile(p).max(0.1);
    Line {
        name: name.to_owned(),
        points: PERCENTILES.map(|p| (p, ratio(p))).into(),
    }
}

fn chart(title: &str, unit: &str, lines: Vec<Line>) -> Chart {
    Chart {
        title: title.to_owned(),
        x: "percentile".to_owned(),
        y: unit.to_owned(),
        lines,
    }
}
