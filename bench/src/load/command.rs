//! The load tool's command: reads its INI file, runs it, prints the tables.
//!
//! Sections: `[load]` with `seed`, `span_ms`, `rate`, `patience_ms` and
//! `entries` (a comma list of addresses), `[workspace NAME]` with `token_file`
//! and `weight`, and `[class NAME]` with the fields of [`LoadClass`].

use std::fs;
use std::path::Path;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use ini::Ini;
use serde::Deserialize;

use crate::load::Load;
use crate::load::LoadClass;
use crate::load::LoadConfig;
use crate::load::LoadWorkspace;
use crate::load::Summary;
use crate::load::Target;
use crate::load::summary::csv;
use crate::serve::typed;
use skylarkhook::clock::Millis;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadSection {
    #[serde(default)]
    seed: u64,
    span_ms: Millis,
    rate: f64,
    #[serde(default = "default_patience")]
    patience_ms: Millis,
    entries: Vec<String>,
}

fn default_patience() -> Millis {
    Millis::from_secs(70)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceSection {
    name: String,
    token_file: String,
    #[serde(default = "default_weight")]
    weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Runs the load of an INI file; returns whether every call got a final word
/// and every whole answer was the right one.
///
/// # Errors
///
/// Returns an error that names what is wrong with the file.
pub fn run(file: &Path, seed: Option<u64>, out: Option<&Path>) -> Result<bool> {
    let (mut cfg, entries) = read(file)?;
    cfg.seed = seed.unwrap_or(cfg.seed);
    let outcomes = Load::start(cfg.clone(), Target::entries(entries)).wait();
    if let Some(out) = out {
        fs::write(out, csv(&cfg, &outcomes)).wrap_err_with(|| out.display().to_string())?;
    }
    let summary = Summary::of(&cfg, &outcomes);
    print!("{}", summary.table());
    println!(
        "  goodput {:.4}, failovers {}",
        summary.goodput(),
        summary.failovers
    );
    Ok(summary.wrong == 0 && summary.broken == 0)
}

fn read(path: &Path) -> Result<(LoadConfig, Vec<String>)> {
    let file = Ini::load_from_file(path).wrap_err_with(|| path.display().to_string())?;
    let mut load: Option<LoadSection> = None;
    let mut classes: Vec<LoadClass> = Vec::new();
    let mut workspaces = Vec::new();
    for (section, properties) in file.iter() {
        let Some(section) = section else {
            continue;
        };
        let (sort, name) = section.split_once(' ').unwrap_or((section, ""));
        match sort {
            "load" => load = Some(typed(section, "", properties)?),
            "class" => classes.push(typed(section, name, properties)?),
            "workspace" => workspaces.push(workspace(typed(section, name, properties)?)?),
            _ => bail!("[{section}]: unknown; known are load, class NAME, workspace NAME"),
        }
    }
    let Some(load) = load else {
        bail!("{}: the section [load] is missing", path.display());
    };
    if classes.is_empty() || workspaces.is_empty() || load.entries.is_empty() {
        bail!(
            "{}: at least one class, workspace and entry is needed",
            path.display()
        );
    }
    let cfg = LoadConfig {
        seed: load.seed,
        span: load.span_ms,
        rate: load.rate,
        classes,
        workspaces,
        patience: load.patience_ms,
    };
    Ok((cfg, load.entries))
}

fn workspace(section: WorkspaceSection) -> Result<LoadWorkspace> {
    let text = fs::read_to_string(&section.token_file)
        .wrap_err_with(|| format!("[workspace {}]: {}", section.name, section.token_file))?;
    Ok(LoadWorkspace {
        name: section.name,
        token: text.trim().to_owned(),
        weight: section.weight,
    })
}
