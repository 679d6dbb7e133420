//! Experiments: seeded runs under load and faults, the baselines beside, with a
//! verdict by exit code.

mod faults;
mod latency;
mod length;
mod membership;
mod overload;

use std::fs;
use std::path::Path;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

use crate::check::Finding;
use crate::report;
use crate::report::Chart;
use crate::stage::Contender;

/// What an experiment found.
#[derive(Debug, Default)]
pub struct Findings {
    /// Figures by contender.
    pub rows: Vec<Row>,
    /// Pictures.
    pub charts: Vec<Chart>,
}

/// One figure of one contender.
#[derive(Debug)]
pub struct Row {
    /// Whose figure.
    pub contender: Contender,
    /// The figure.
    pub finding: Finding,
}

impl Findings {
    /// Adds figures; a baseline's have no bound to keep.
    pub fn add(&mut self, contender: Contender, findings: impl IntoIterator<Item = Finding>) {
        for mut finding in findings {
            if contender != Contender::System {
                finding.kept = None;
                finding.bound = String::new();
            }
            self.rows.push(Row { contender, finding });
        }
    }

    fn kept(&self) -> bool {
        !self.rows.iter().any(|row| row.finding.broken())
    }
}

struct Experiment {
    name: &'static str,
    about: &'static str,
    run: fn(u64) -> Result<Findings>,
}

const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "overload",
        about: "twice the load that the engines can serve",
        run: overload::run,
    },
    Experiment {
        name: "short-with-long",
        about: "short requests with long ones beside them",
        run: length::run,
    },
    Experiment {
        name: "domain-out-and-back",
        about: "a failure domain taken out, shut down and brought back",
        run: membership::domain_out_and_back,
    },
    Experiment {
        name: "rolling-replace",
        about: "all instances replaced one after the other under load",
        run: membership::rolling_replace,
    },
    Experiment {
        name: "store-outage",
        about: "the key-value service down for 60 s, then losing answers",
        run: faults::store_outage,
    },
    Experiment {
        name: "home-paused",
        about: "instances paused past their leases, one after the other",
        run: faults::home_paused,
    },
    Experiment {
        name: "engine-crash",
        about: "engines crash, fall silent, turn cold and answer crossed",
        run: faults::engine_crash,
    },
    Experiment {
        name: "poison",
        about: "a request that crashes engines, sent again by its callers",
        run: faults::poison,
    },
    Experiment {
        name: "resend-everywhere",
        about: "each outcome sent to all instances at once, answers lost",
        run: faults::resend_everywhere,
    },
    Experiment {
        name: "proxy-latency",
        about: "added latency against going straight to an engine",
        run: latency::run,
    },
];

/// Runs an experiment; returns whether all bounds were kept.
///
/// # Errors
///
/// Returns an error if the name is unknown or something does not start.
pub fn run(name: &str, seed: u64, csv: bool, out: Option<&Path>) -> Result<bool> {
    if name == "list" {
        for experiment in EXPERIMENTS {
            println!("{:<22} {}", experiment.name, experiment.about);
        }
        return Ok(true);
    }
    let Some(experiment) = EXPERIMENTS.iter().find(|known| known.name == name) else {
        bail!("no experiment {name}; `experiment list` shows all");
    };
    println!("{name}, seed {seed}: {}", experiment.about);
    let findings = (experiment.run)(seed)?;
    if csv {
        print_csv(&findings);
    } else {
        print_table(&findings);
    }
    if let Some(out) = out {
        let text = report::render(name, seed, &findings, out)?;
        fs::write(out, text).wrap_err_with(|| out.display().to_string())?;
    }
    let kept = findings.kept();
    println!(
        "{}",
        if kept {
            "all bounds kept"
        } else {
            "A BOUND WAS BROKEN"
        }
    );
    Ok(kept)
}

fn print_table(findings: &Findings) {
    for contender in Contender::ALL {
        let mut rows = findings
            .rows
            .iter()
            .filter(|row| row.contender == contender)
            .peekable();
        if rows.peek().is_some() {
            println!("{}:", contender.name());
            rows.for_each(|row| println!("{}", row.finding));
        }
    }
}

fn print_csv(findings: &Findings) {
    println!("contender,figure,value,bound,kept");
    for Row { contender, finding } in &findings.rows {
        let kept = finding
            .kept
            .map(|kept| kept.to_string())
            .unwrap_or_default();
        println!(
            "{},\"{}\",{},{},{kept}",
            contender.name(),
            finding.name,
            finding.value,
            finding.bound
        );
    }
}
