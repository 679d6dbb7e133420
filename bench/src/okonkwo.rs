//! A deployment like Okonkwo-Bello's, at the size that one machine runs:
//! failure domains, backend servers, declarations and load.

#[cfg(test)]
mod tests;

use sha2::Digest;
use sha2::Sha256;

use crate::engine::EngineConfig;
use crate::load::LoadClass;
use crate::load::LoadConfig;
use crate::load::LoadWorkspace;
use crate::serve::ListSection;
use crate::serve::SetConfig;
use crate::service::ServiceConfig;
use crate::store::StoreConfig;
use skylarkhook::clock::Millis;
use skylarkhook::declaration::Declaration;
use skylarkhook::declaration::Domain;
use skylarkhook::declaration::Kind;
use skylarkhook::declaration::Labels;
use skylarkhook::declaration::LimitRule;
use skylarkhook::declaration::Limits;
use skylarkhook::declaration::Route;
use skylarkhook::declaration::Target;
use skylarkhook::declaration::Workspace;
use skylarkhook::selector::Selector;

/// Failure domains in Lagos.
pub const DOMAINS: [&str; 3] = ["ikeja", "lekki", "yaba"];
/// Instances of the system in each failure domain.
pub const ENTRIES_PER_DOMAIN: usize = 2;
/// The model that all engines serve.
pub const MODEL: &str = "callback-7b";
/// Text in a prompt that crashes the engine which runs it.
pub const POISON: &str = "<<crash>>";
/// What an engine bears when warm.
pub const WARM: Limits = Limits {
    streams: 16,
    memory_tokens: 400_000,
    prefill_tokens: 320_000,
};
/// What an engine bears in a cold start.
pub const COLD: Limits = Limits {
    streams: 2,
    memory_tokens: 40_000,
    prefill_tokens: 12_000,
};

/// Requests after which a backend server bears more than its cold limit; the
/// first step of the declared ramp comes no earlier.
const COLD_COMPLETIONS: u32 = 8;
const WORKSPACES: usize = 10;
/// Shares of the workspaces: a few are large.
const WORKSPACE_WEIGHTS: [u32; WORKSPACES] = [8, 6, 4, 1, 1, 1, 1, 1, 1, 1];

/// Returns a set of stand-ins with `engines` engines in each failure domain.
#[must_use]
pub fn set(engines: usize) -> SetConfig {
    let mut cfg = SetConfig {
        store: StoreConfig {
            latency_ms: Millis(3),
            ..StoreConfig::default()
        },
        list: ListSection::default(),
        ..SetConfig::default()
    };
    for domain in DOMAINS {
        cfg.engines.extend((1..=engines).map(|n| engine(domain, n)));
        cfg.services.push(service(domain));
    }
    cfg
}

fn engine(domain: &str, number: usize) -> EngineConfig {
    EngineConfig {
        name: format!("{domain}-engine-{number}"),
        domain: domain.to_owned(),
        models: vec![MODEL.to_owned()],
        memory_tokens: WARM.memory_tokens,
        warm: WARM,
        cold: COLD,
        poison: POISON.to_owned(),
        cold_completions: COLD_COMPLETIONS,
        ..EngineConfig::default()
    }
}

fn service(domain: &str) -> ServiceConfig {
    ServiceConfig {
        name: format!("{domain}-callbacks"),
        domain: domain.to_owned(),
        warm: SERVICE_WARM,
        cold: SERVICE_COLD,
        cold_completions: COLD_COMPLETIONS,
        ..ServiceConfig::default()
    }
}

const SERVICE_WARM: Limits = Limits {
    streams: 32,
    memory_tokens: 0,
    prefill_tokens: 0,
};
const SERVICE_COLD: Limits = Limits {
    streams: 4,
    memory_tokens: 0,
    prefill_tokens: 0,
};

/// Returns the operators' declarations.
#[must_use]
pub fn declaration() -> Declaration {
    Declaration {
        domains: DOMAINS.iter().map(|name| domain(name)).collect(),
        backends: Vec::new(),
        limits: vec![
            limit("service", SERVICE_WARM, SERVICE_COLD),
            limit("model", WARM, COLD),
        ],
        kinds: kinds(),
        routes: vec![Route {
            name: "near-first".to_owned(),
            matches: Selector::default(),
            prefer: vec![selector("locality = local"), selector("locality = region")],
        }],
        workspaces: (0..WORKSPACES).map(workspace).collect(),
    }
}

fn domain(name: &str) -> Domain {
    Domain {
        name: name.to_owned(),
        region: "lagos".to_owned(),
        out: false,
        labels: Labels::new(),
    }
}

fn limit(matches: &str, warm: Limits, cold: Limits) -> LimitRule {
    LimitRule {
        matches: selector(matches),
        warm,
        cold,
        ramp_successes: COLD_COMPLETIONS,
        ramp_steps: 4,
    }
}

/// Returns a selector of this module; all of them parse, as a test shows.
fn selector(text: &str) -> Selector {
    text.parse().unwrap_or_default()
}

fn kinds() -> Vec<Kind> {
    vec![
        kind("summary", Target::Engine, 10, 60),
        kind("review", Target::Engine, 30, 50),
        kind("dispute", Target::Engine, 60, 90),
        Kind {
            operations: vec!["outcome".to_owned()],
            idempotent: false,
            ..kind("outcome", Target::Service, 10, 80)
        },
        Kind {
            operations: vec!["status".to_owned()],
            ..kind("status", Target::Service, 5, 40)
        },
    ]
}

fn kind(name: &str, target: Target, deadline_s: u64, importance: u8) -> Kind {
    let service = match target {
        Target::Engine => String::new(),
        Target::Service => "callbacks".to_owned(),
    };
    Kind {
        name: name.to_owned(),
        target,
        service,
        operations: Vec::new(),
        deadline_ms: Millis::from_secs(deadline_s),
        importance,
        idempotent: true,
        max_tokens: 32,
        claim_retention_ms: Millis::from_secs(600),
        labels: Labels::new(),
    }
}

fn workspace(number: usize) -> Workspace {
    let hash = Sha256::digest(token(number).as_bytes());
    Workspace {
        name: format!("workspace-{number}"),
        token_sha256: hash.iter().map(|byte| format!("{byte:02x}")).collect(),
        weight: WORKSPACE_WEIGHTS[number],
        labels: Labels::new(),
    }
}

fn token(number: usize) -> String {
    format!("bench-token-{number:04}")
}

/// Returns the workspaces with their tokens, as the load tool needs them.
#[must_use]
pub fn load_workspaces() -> Vec<LoadWorkspace> {
    (0..WORKSPACES)
        .map(|number| LoadWorkspace {
            name: format!("workspace-{number}"),
            token: token(number),
            weight: f64::from(WORKSPACE_WEIGHTS[number]),
        })
        .collect()
}

/// Returns a load of these classes.
#[must_use]
pub fn load(seed: u64, span: Millis, rate: f64, classes: Vec<LoadClass>) -> LoadConfig {
    LoadConfig {
        seed,
        span,
        rate,
        classes,
        workspaces: load_workspaces(),
        patience: Millis::from_secs(70),
    }
}

/// Returns the class of short call summaries.
#[must_use]
pub fn summaries(weight: f64) -> LoadClass {
    prompts("summary", weight, 1_000, 8_000)
}

/// Returns the class of longer account-history reviews.
#[must_use]
pub fn reviews(weight: f64) -> LoadClass {
    prompts("review", weight, 16_000, 90_000)
}

/// Returns the class of full dispute-file readings.
#[must_use]
pub fn disputes(weight: f64) -> LoadClass {
    prompts("dispute", weight, 100_000, 300_000)
}

fn prompts(kind: &str, weight: f64, prompt_min: u64, prompt_max: u64) -> LoadClass {
    LoadClass {
        name: kind.to_owned(),
        kind: kind.to_owned(),
        weight,
        model: MODEL.to_owned(),
        prompt_min,
        prompt_max,
        max_tokens: 32,
        ..LoadClass::default()
    }
}

/// Returns the class of callback outcomes, which must not be repeated.
#[must_use]
pub fn outcomes(weight: f64) -> LoadClass {
    LoadClass {
        once: true,
        ..service_calls("outcome", weight)
    }
}

/// Returns the class of readings of the queue status.
#[must_use]
pub fn statuses(weight: f64) -> LoadClass {
    service_calls("status", weight)
}

fn service_calls(operation: &str, weight: f64) -> LoadClass {
    LoadClass {
        name: operation.to_owned(),
        weight,
        service: "callbacks".to_owned(),
        operation: operation.to_owned(),
        ..LoadClass::default()
    }
}
