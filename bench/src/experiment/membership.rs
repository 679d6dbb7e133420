//! Failure domains and instances that leave and return.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

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
use crate::report::Chart;
use crate::report::Line;
use crate::service::ServiceFault;
use crate::stage::Contender;
use crate::stage::Stage;
use crate::stage::Step;
use skylarkhook::clock::Millis;
use skylarkhook::job::LengthClass;

const ENGINES_PER_DOMAIN: usize = 4;
const RATE: f64 = 45.0;
/// The failure domain that leaves.
const DOMAIN: &str = "lekki";
const SPAN: Millis = Millis::from_secs(32);
const OUT_AT: Millis = Millis::from_secs(8);
/// Time in which the order has to be in force.
const IN_FORCE: Millis = Millis::from_secs(5);
/// When the domain's backend servers are shut down; work begun before the order
/// was in force has ended by then.
const SHUT_AT: Millis = Millis::from_secs(16);
const SHUT_SPAN: Millis = Millis::from_secs(5);
const BACK_AT: Millis = Millis::from_secs(22);
/// Largest p95 of first tokens of short requests while the domain is out,
/// against before.
const PHASES: [(&str, Millis, Millis); 4] = [
    ("before", Millis::ZERO, OUT_AT),
    ("out", OUT_AT, BACK_AT),
    ("back", BACK_AT, Millis(27_000)),
    ("after", Millis(27_000), SPAN),
];

fn mix() -> Vec<LoadClass> {
    vec![
        okonkwo::summaries(0.7),
        okonkwo::reviews(0.05),
        okonkwo::outcomes(0.15),
        okonkwo::statuses(0.1),
    ]
}

pub(super) fn domain_out_and_back(seed: u64) -> Result<Findings> {
    let mut findings = Findings::default();
    let mut lines = Vec::new();
    for contender in Contender::ALL {
        eprintln!("{}", contender.name());
        let set = okonkwo::set(ENGINES_PER_DOMAIN);
        let mut stage = Stage::build(contender, set, okonkwo::declaration(), seed)?;
        stage.warm_up(seed + 1)?;
        let load = okonkwo::load(seed, SPAN, RATE, mix());
        let late = Rc::new(Cell::new(0));
        let steps = out_and_back(&late);
        let outcomes = stage.play(std::slice::from_ref(&load), steps)?.concat();
        findings.add(contender, phases(&load, &outcomes));
        let summary = Summary::of(&load, &outcomes);
        findings.add(
            contender,
            [
                Finding::zero(
                    "work for the domain later than 5 s after the order",
                    late.get(),
                ),
                Finding::at_least("share whole over the run", summary.goodput(), 1.0),
            ],
        );
        findings.add(contender, promises(stage.set(), &load, &outcomes));
        lines.push(timeline(contender.name(), &outcomes));
        stage.stop();
    }
    findings.charts = vec![Chart {
        title: format!("Whole answers, {DOMAIN} out from 8 s, shut 16-21 s, back from 22 s"),
        x: "s".to_owned(),
        y: "answers/s".to_owned(),
        lines,
    }];
    Ok(findings)
}

/// Takes the domain out, shuts its backend servers down, brings it back; `late`
/// gets the work begun there between the order's being in force and the return.
fn out_and_back(late: &Rc<Cell<u64>>) -> Vec<Step> {
    let before = Rc::clone(late);
    let after = Rc::clone(late);
    vec![
        Step::new(OUT_AT, format!("{DOMAIN} is taken out"), |stage| {
            set_out(stage, true)
        }),
        Step::new(OUT_AT + IN_FORCE, "from here no new work", move |stage| {
            before.set(work_begun(stage));
            Ok(())
        }),
        Step::new(SHUT_AT, format!("{DOMAIN} is shut down"), |stage| {
            shut(stage);
            Ok(())
        }),
        Step::new(BACK_AT, format!("{DOMAIN} is brought back"), move |stage| {
            after.set(work_begun(stage) - after.get());
            set_out(stage, false)
        }),
    ]
}

fn set_out(stage: &mut Stage, out: bool) -> Result<()> {
    match stage.deployment() {
        Some(deployment) => deployment.set_domain_out(DOMAIN, out),
        None => Ok(()),
    }
}

/// Returns the streams and calls that the domain's backend servers have taken.
fn work_begun(stage: &Stage) -> u64 {
    let stats = stage.set().stats();
    let engines = stats.engines.iter().filter(|e| e.domain == DOMAIN);
    let services = stats.services.iter().filter(|s| s.name.starts_with(DOMAIN));
    engines.map(|e| e.submitted).sum::<u64>() + services.map(|s| s.ran).sum::<u64>()
}

fn shut(stage: &Stage) {
    let set = stage.set();
    let down = EngineFault {
        down_ms: Some(SHUT_SPAN),
        ..EngineFault::default()
    };
    for engine in set.engines.iter().filter(|e| e.stats().domain == DOMAIN) {
        engine.fault(&down);
    }
    let down = ServiceFault {
        down_ms: Some(SHUT_SPAN),
        ..ServiceFault::default()
    };
    for service in set
        .services
        .iter()
        .filter(|s| s.stats().name.starts_with(DOMAIN))
    {
        service.fault(&down);
    }
}

fn phases(load: &LoadConfig, outcomes: &[Outcome]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, from, to) in PHASES {
        let within = |outcome: &&Outcome| from <= outcome.at && outcome.at < to;
        let of_phase: Vec<Outcome> = outcomes.iter().filter(within).cloned().collect();
        let summary = Summary::of(load, &of_phase);
        let p95 = summary.first(LengthClass::Short, 95.0);
        findings.push(Finding::figure(
            format!("{name}: share whole"),
            summary.goodput(),
        ));
        findings.push(Finding::figure(
            format!("{name}: short first token p95, ms"),
            p95,
        ));
    }
    findings
}

fn timeline(name: &str, outcomes: &[Outcome]) -> Line {
    let mut points: Vec<(f64, f64)> = (0..=SPAN.0 / 1000).map(|s| (s as f64, 0.0)).collect();
    for outcome in outcomes.iter().filter(|outcome| outcome.whole()) {
        let second = (outcome.at + Millis::from(outcome.total)).0 / 1000;
        if let Some(point) = points.get_mut(second as usize) {
            point.1 += 1.0;
        }
    }
    // The last, broken second would look like a fall.
    points.pop();
    Line {
        name: name.to_owned(),
        points,
    }
}

/// Time between two replacements.
const REPLACE_PERIOD: Millis = Millis::from_secs(4);
/// Longest time for an instance to finish what it has admitted.
const REPLACE_LIMIT: Duration = Duration::from_secs(30);

pub(super) fn rolling_replace(seed: u64) -> Result<Findings> {
    let mut findings = Findings::default();
    let contender = Contender::System;
    let set = okonkwo::set(ENGINES_PER_DOMAIN);
    let mut stage = Stage::build(contender, set, okonkwo::declaration(), seed)?;
    stage.warm_up(seed + 1)?;
    let load = okonkwo::load(seed, SPAN, RATE, mix());
    let unfinished = Rc::new(Cell::new(0));
    let places = okonkwo::DOMAINS.len() * okonkwo::ENTRIES_PER_DOMAIN;
    let steps = (0..places)
        .map(|place| replace(place, &unfinished))
        .collect();
    let outcomes = stage.play(std::slice::from_ref(&load), steps)?.concat();
    let summary = Summary::of(&load, &outcomes);
    findings.add(
        contender,
        [
            Finding::zero("instances that did not finish in time", unfinished.get()),
            Finding::at_least("share whole over the run", summary.goodput(), 1.0),
            Finding::figure("calls that the balancer moved", summary.failovers as f64),
        ],
    );
    findings.add(contender, promises(stage.set(), &load, &outcomes));
    stage.stop();
    Ok(findings)
}

fn replace(place: usize, unfinished: &Rc<Cell<u64>>) -> Step {
    let unfinished = Rc::clone(unfinished);
    let at = REPLACE_PERIOD * (place as u64 + 1);
    Step::new(at, format!("instance {place} is replaced"), move |stage| {
        if let Some(deployment) = stage.deployment() {
            let finished = deployment.replace(place, REPLACE_LIMIT)?;
            unfinished.set(unfinished.get() + u64::from(!finished));
        }
        Ok(())
    })
}
