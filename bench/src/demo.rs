//! The demonstration: a deployment of six instances on loopback, a mix of
//! requests, one failure domain taken out and brought back.

use eyre::Result;

use crate::check::Finding;
use crate::check::promises;
use crate::load::LoadConfig;
use crate::load::Outcome;
use crate::load::Summary;
use crate::okonkwo;
use crate::stage::Contender;
use crate::stage::Stage;
use crate::stage::Step;
use skylarkhook::clock::Millis;
use skylarkhook::job::LengthClass;

/// Engines in each failure domain.
const ENGINES: usize = 4;
/// The failure domain that is taken out.
const DOMAIN: &str = "lekki";
/// Seed of the load.
const SEED: u64 = 1;
/// Short requests alone, for comparison.
const ALONE: Millis = Millis::from_secs(6);
/// The whole mix.
const MIX: Millis = Millis::from_secs(24);
const OUT_AT: Millis = Millis::from_secs(8);
const BACK_AT: Millis = Millis::from_secs(16);
/// Time in which taking a domain out has to be in force.
const IN_FORCE: Millis = Millis::from_secs(5);
/// Smallest share of calls that get their whole answer: the load is well below
/// what two of the three failure domains serve.
const SERVED_LEAST: f64 = 0.99;
const SHORT_RATE: f64 = 30.0;
const OTHER_RATE: f64 = 12.0;

/// Runs the demonstration; returns whether all promises were kept.
///
/// # Errors
///
/// Returns an error if the deployment does not start.
pub fn run() -> Result<bool> {
    println!("starting stand-ins and six instances in ikeja, lekki and yaba");
    let set = okonkwo::set(ENGINES);
    let mut stage = Stage::build(Contender::System, set, okonkwo::declaration(), SEED)?;
    println!("warming up: cold engines bear two streams each");
    stage.warm_up(SEED)?;
    println!("short call summaries alone");
    let alone = okonkwo::load(SEED + 1, ALONE, SHORT_RATE, vec![okonkwo::summaries(1.0)]);
    let before = stage.play(std::slice::from_ref(&alone), Vec::new())?;
    println!("the same with long and very long prompts, outcomes and queue status");
    let short = okonkwo::load(SEED + 2, MIX, SHORT_RATE, vec![okonkwo::summaries(1.0)]);
    let other = okonkwo::load(SEED + 3, MIX, OTHER_RATE, other_classes());
    let mixed = stage.play(&[short.clone(), other.clone()], steps())?;
    println!();
    let kept = report(&stage, &[alone, short, other], &before[0], &mixed);
    stage.stop();
    Ok(kept)
}

fn other_classes() -> Vec<crate::load::LoadClass> {
    vec![
        okonkwo::reviews(0.25),
        okonkwo::disputes(0.05),
        okonkwo::outcomes(0.4),
        okonkwo::statuses(0.3),
    ]
}

fn steps() -> Vec<Step> {
    vec![
        Step::new(OUT_AT, format!("{DOMAIN} is taken out"), |stage| {
            set_out(stage, true)
        }),
        Step::new(
            OUT_AT + IN_FORCE,
            format!("{DOMAIN} gets no new work from here"),
            |_| Ok(()),
        ),
        Step::new(BACK_AT, format!("{DOMAIN} is brought back"), |stage| {
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

fn report(stage: &Stage, loads: &[LoadConfig], alone: &[Outcome], mixed: &[Vec<Outcome>]) -> bool {
    let [_, short, other] = loads else {
        return false;
    };
    println!("summaries beside the rest:");
    println!("{}", Summary::of(short, &mixed[0]).table());
    println!("the rest:");
    println!("{}", Summary::of(other, &mixed[1]).table());
    let before = Summary::of(&loads[0], alone).first(LengthClass::Short, 95.0);
    let beside = Summary::of(short, &mixed[0]).first(LengthClass::Short, 95.0);
    let mut findings = promises(stage.set(), short, &mixed[0]);
    let worst = |a: Finding, b: Finding| if a.value >= b.value { a } else { b };
    let rest = promises(stage.set(), other, &mixed[1]);
    findings = findings
        .into_iter()
        .zip(rest)
        .map(|(a, b)| worst(a, b))
        .collect();
    let served = |load: &LoadConfig, of: &[Outcome]| Summary::of(load, of).goodput();
    findings.extend([
        Finding::at_least(
            "share of summaries whole",
            served(short, &mixed[0]),
            SERVED_LEAST,
        ),
        Finding::at_least(
            "share of the rest whole",
            served(other, &mixed[1]),
            SERVED_LEAST,
        ),
    ]);
    findings.push(Finding::figure(
        "summaries alone: first token p95, ms",
        before,
    ));
    findings.push(Finding::figure(
        "beside the rest: first token p95, ms",
        beside,
    ));
    findings.push(Finding::figure(
        "slowdown of short requests, p95",
        beside / before.max(0.1),
    ));
    println!("promises:");
    findings.iter().for_each(|finding| println!("{finding}"));
    let kept = !findings.iter().any(Finding::broken);
    println!(
        "{}",
        if kept {
            "all promises kept"
        } else {
            "A PROMISE WAS BROKEN"
        }
    );
    kept
}
