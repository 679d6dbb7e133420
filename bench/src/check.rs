//! Promises that a run must keep, checked over stand-ins and callers.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::engine::EngineStats;
use crate::load::LoadConfig;
use crate::load::Outcome;
use crate::serve::Set;

/// One figure beside its bound.
#[derive(Debug, Clone)]
pub struct Finding {
    /// What was measured.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// The bound, for a person.
    pub bound: String,
    /// Whether the bound is kept; none: a figure without one.
    pub kept: Option<bool>,
}

impl Finding {
    /// Returns a figure that must not be above `most`.
    #[must_use]
    pub fn at_most(name: impl Into<String>, value: f64, most: f64) -> Finding {
        Finding {
            name: name.into(),
            value,
            bound: format!("<= {most}"),
            kept: Some(value <= most),
        }
    }

    /// Returns a figure that must not be below `least`.
    #[must_use]
    pub fn at_least(name: impl Into<String>, value: f64, least: f64) -> Finding {
        Finding {
            name: name.into(),
            value,
            bound: format!(">= {least}"),
            kept: Some(value >= least),
        }
    }

    /// Returns a figure that must be 0.
    #[must_use]
    pub fn zero(name: impl Into<String>, value: u64) -> Finding {
        Finding::at_most(name, value as f64, 0.0)
    }

    /// Returns a figure without a bound.
    #[must_use]
    pub fn figure(name: impl Into<String>, value: f64) -> Finding {
        Finding {
            name: name.into(),
            value,
            bound: String::new(),
            kept: None,
        }
    }

    /// Returns whether a bound is broken.
    #[must_use]
    pub fn broken(&self) -> bool {
        self.kept == Some(false)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = match self.kept {
            Some(true) => "ok",
            Some(false) => "BROKEN",
            None => "",
        };
        let Finding {
            name, value, bound, ..
        } = self;
        write!(f, "  {name:<52} {value:>12.2}  {bound:<10} {mark}")
    }
}

/// Checks what must hold in every run through the system.
#[must_use]
pub fn promises(set: &Set, cfg: &LoadConfig, outcomes: &[Outcome]) -> Vec<Finding> {
    let stats = set.stats();
    let engines = &stats.engines;
    let services = &stats.services;
    let sum = |of: &dyn Fn(&EngineStats) -> u64| engines.iter().map(of).sum::<u64>();
    let count = |of: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| of(o)).count() as u64;
    let ending = |wanted: &str| count(&|o| o.ending.label().starts_with(wanted));
    let keyed: BTreeMap<String, u32> = runs(set, cfg);
    let service_warm = services.iter().map(|s| s.excess_warm).sum();
    let service_cold = services.iter().map(|s| s.excess_cold).sum();
    vec![
        Finding::zero("answers not whole", ending("NOT WHOLE")),
        Finding::zero("calls without a final word", ending("BROKEN")),
        Finding::zero("excess streams, warm", sum(&|e| e.excess_warm.streams)),
        Finding::zero(
            "excess memory tokens",
            sum(&|e| e.excess_warm.memory_tokens),
        ),
        Finding::zero(
            "excess prefill tokens, warm",
            sum(&|e| e.excess_warm.prefill_tokens),
        ),
        Finding::zero("excess streams, cold", sum(&|e| e.excess_cold.streams)),
        Finding::zero(
            "excess prefill tokens, cold",
            sum(&|e| e.excess_cold.prefill_tokens),
        ),
        Finding::zero("cold engines that fell over", sum(&|e| e.cold_crashes)),
        Finding::zero("excess calls of services, warm", service_warm),
        Finding::zero("excess calls of services, cold", service_cold),
        Finding::zero("keys that ran more than once", doubles(&keyed)),
        Finding::zero(
            "calls said not to have run that ran",
            lies(&keyed, outcomes),
        ),
        Finding::zero("calls said done that never ran", phantoms(&keyed, outcomes)),
        Finding::zero("memory tokens left behind", sum(&|e| e.memory_used)),
    ]
}

/// Returns how often each key of a class that must not repeat ran, over all
/// services.
fn runs(set: &Set, cfg: &LoadConfig) -> BTreeMap<String, u32> {
    let prefix = format!("key-{}-", cfg.seed);
    let mut runs = BTreeMap::new();
    for service in &set.services {
        for (key, count) in service.runs() {
            if key.starts_with(&prefix) {
                *runs.entry(key).or_default() += count;
            }
        }
    }
    runs
}

fn doubles(runs: &BTreeMap<String, u32>) -> u64 {
    runs.values().filter(|count| **count > 1).count() as u64
}

/// Counts the keys of which every caller heard that nothing ran, and that ran.
fn lies(runs: &BTreeMap<String, u32>, outcomes: &[Outcome]) -> u64 {
    let keyed = || outcomes.iter().filter(|outcome| !outcome.key.is_empty());
    let admitted: BTreeSet<&String> = keyed()
        .filter(|outcome| !outcome.ending.says_not_run())
        .map(|outcome| &outcome.key)
        .collect();
    let denied: BTreeSet<&String> = keyed().map(|outcome| &outcome.key).collect();
    let lied = |key: &&&String| !admitted.contains(**key) && runs.contains_key(**key);
    denied.iter().filter(lied).count() as u64
}

fn phantoms(runs: &BTreeMap<String, u32>, outcomes: &[Outcome]) -> u64 {
    let phantom = |outcome: &&Outcome| {
        outcome.whole() && !outcome.key.is_empty() && !runs.contains_key(&outcome.key)
    };
    outcomes.iter().filter(phantom).count() as u64
}
