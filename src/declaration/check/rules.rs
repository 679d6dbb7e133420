//! Limits, kinds and selectors: values that make sense, and rules that can
//! match.

use std::collections::BTreeSet;

use super::Findings;
use super::Place;
use super::names::BACKEND_LABELS;
use super::names::REQUEST_LABELS;
use crate::clock::Millis;
use crate::declaration::Declaration;
use crate::declaration::Kind;
use crate::declaration::LimitRule;
use crate::declaration::Limits;
use crate::declaration::Target;
use crate::selector::Selector;

/// Greatest number of requests in flight on one backend server.
const MAX_STREAMS: u32 = 100_000;
/// Greatest number of tokens in flight on one backend server.
const MAX_TOKENS: u64 = 1_000_000_000_000;
/// Greatest number of ramp steps, and of successes for one.
const MAX_RAMP: u32 = 10_000;
/// Longest deadline.
const MAX_DEADLINE: Millis = Millis::from_secs(7 * 86_400);
/// Longest time that a claimed idempotency key is kept.
const MAX_RETENTION: Millis = Millis::from_secs(90 * 86_400);
/// Greatest number of output tokens.
const MAX_OUTPUT_TOKENS: u32 = 10_000_000;
/// Greatest weight of a workspace.
const MAX_WEIGHT: u32 = 10_000;
/// Greatest importance.
const MAX_IMPORTANCE: u8 = 100;
/// Labels that the instance list gives to backend servers.
const LIST_LABELS: &[&str] = &["model", "service"];
/// Length classes of prompts.
const LENGTHS: &[&str] = &["short", "long", "huge"];
/// Distances of a backend server from the asking instance.
const LOCALITIES: &[&str] = &["local", "region", "remote"];

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    for (index, rule) in declaration.limits.iter().enumerate() {
        check_limit(rule, &Place::object("limit", index), findings);
    }
    for (index, kind) in declaration.kinds.iter().enumerate() {
        check_kind(kind, &Place::object("kind", index), findings);
    }
    check_services(declaration, findings);
    check_weights(declaration, findings);
    check_backend_selectors(declaration, findings);
    check_request_selectors(declaration, findings);
    check_order(declaration, findings);
    check_coverage(declaration, findings);
}

fn check_limit(rule: &LimitRule, place: &Place, findings: &mut Findings) {
    check_limits(rule.warm, &place.at("warm"), findings);
    check_limits(rule.cold, &place.at("cold"), findings);
    let pairs = [
        (
            "streams",
            u64::from(rule.cold.streams),
            u64::from(rule.warm.streams),
        ),
        (
            "memory_tokens",
            rule.cold.memory_tokens,
            rule.warm.memory_tokens,
        ),
        (
            "prefill_tokens",
            rule.cold.prefill_tokens,
            rule.warm.prefill_tokens,
        ),
    ];
    for (field, cold, warm) in pairs {
        let place = place.at("cold").at(field);
        if cold > warm && warm != 0 {
            findings
                .error(
                    &place,
                    format!("cold {field} {cold} is above warm {field} {warm}"),
                )
                .hint("a backend server bears less in a cold start than when warm");
        }
        if cold == 0 && warm != 0 && field != "streams" {
            findings
                .warning(
                    &place,
                    format!("cold {field} is not limited but warm {field} is"),
                )
                .hint(format!("set cold {field} to at most {warm}"));
        }
    }
    for (field, value) in [
        ("ramp_steps", rule.ramp_steps),
        ("ramp_successes", rule.ramp_successes),
    ] {
        if value == 0 || value > MAX_RAMP {
            findings.error(&place.at(field), format!("{field} must be 1 to {MAX_RAMP}"));
        }
    }
}

fn check_limits(limits: Limits, place: &Place, findings: &mut Findings) {
    if limits.streams == 0 || limits.streams > MAX_STREAMS {
        findings
            .error(
                &place.at("streams"),
                format!("streams must be 1 to {MAX_STREAMS}"),
            )
            .hint("to take backend servers out of service, set `out = true`");
    }
    for (field, value) in [
        ("memory_tokens", limits.memory_tokens),
        ("prefill_tokens", limits.prefill_tokens),
    ] {
        if value > MAX_TOKENS {
            findings.error(
                &place.at(field),
                format!("{field} must be at most {MAX_TOKENS}"),
            );
        }
    }
}

fn check_kind(kind: &Kind, place: &Place, findings: &mut Findings) {
    if kind.deadline_ms == Millis::ZERO || kind.deadline_ms > MAX_DEADLINE {
        let message = format!("deadline_ms must be 1 to {}", MAX_DEADLINE.0);
        findings.error(&place.at("deadline_ms"), message);
    }
    if kind.importance > MAX_IMPORTANCE {
        let message = format!("importance must be 0 to {MAX_IMPORTANCE}");
        findings.error(&place.at("importance"), message);
    }
    if kind.max_tokens == 0 || kind.max_tokens > MAX_OUTPUT_TOKENS {
        let message = format!("max_tokens must be 1 to {MAX_OUTPUT_TOKENS}");
        findings.error(&place.at("max_tokens"), message);
    }
    if kind.claim_retention_ms < kind.deadline_ms || kind.claim_retention_ms > MAX_RETENTION {
        let message = format!(
            "claim_retention_ms must be deadline_ms to {}",
            MAX_RETENTION.0
        );
        findings
            .error(&place.at("claim_retention_ms"), message)
            .hint("a key has to be kept for longer than any caller sends it again");
    }
    match kind.target {
        Target::Service if kind.service.is_empty() => findings
            .error(place, format!("kind `{}` names no service", kind.name))
            .hint("add `service = \"…\"`, the name in the path /v1/services/{service}"),
        Target::Engine if !kind.service.is_empty() || !kind.operations.is_empty() => findings
            .error(
                place,
                format!(
                    "kind `{}` is served by engines but names a service",
                    kind.name
                ),
            )
            .hint("add `target = \"service\"`"),
        _ => {}
    }
}

/// Checks that each operation of a service belongs to one kind.
fn check_services(declaration: &Declaration, findings: &mut Findings) {
    let mut seen: Vec<(&str, &str, &str)> = Vec::new();
    for (index, kind) in declaration.kinds.iter().enumerate() {
        if kind.target != Target::Service {
            continue;
        }
        let mut operations: Vec<&str> = kind.operations.iter().map(String::as_str).collect();
        if operations.is_empty() {
            operations.push("");
        }
        for operation in operations {
            let taken = seen
                .iter()
                .find(|(service, known, _)| *service == kind.service && *known == operation);
            if let Some((_, _, other)) = taken {
                let what = match operation {
                    "" => "all other operations".to_owned(),
                    name => format!("operation `{name}`"),
                };
                let message = format!(
                    "{what} of service `{}` belong to kind `{other}`",
                    kind.service
                );
                findings.error(&Place::object("kind", index).at("operations"), message);
            }
            seen.push((&kind.service, operation, &kind.name));
        }
    }
}

fn check_weights(declaration: &Declaration, findings: &mut Findings) {
    for (index, workspace) in declaration.workspaces.iter().enumerate() {
        if workspace.weight == 0 || workspace.weight > MAX_WEIGHT {
            let place = Place::object("workspace", index).at("weight");
            findings.error(&place, format!("weight must be 1 to {MAX_WEIGHT}"));
        }
    }
}

/// Checks selectors over backend servers.
fn check_backend_selectors(declaration: &Declaration, findings: &mut Findings) {
    let mut known: BTreeSet<String> = BTreeSet::new();
    known.extend(BACKEND_LABELS.iter().map(ToString::to_string));
    known.extend(LIST_LABELS.iter().map(ToString::to_string));
    for backend in &declaration.backends {
        known.extend(backend.labels.keys().cloned());
    }
    for domain in &declaration.domains {
        known.extend(domain.labels.keys().map(|key| format!("domain.{key}")));
    }
    let check = |selector: &Selector, place: &Place, findings: &mut Findings| {
        check_backend_keys(selector, &known, place, findings);
        check_backend_values(selector, declaration, place, findings);
    };
    for (index, rule) in declaration.limits.iter().enumerate() {
        check(
            &rule.matches,
            &Place::object("limit", index).at("match"),
            findings,
        );
    }
    for (index, route) in declaration.routes.iter().enumerate() {
        let place = Place::object("route", index).at("prefer");
        for (i, selector) in route.prefer.iter().enumerate() {
            check(selector, &place.at(i), findings);
        }
        if route.prefer.is_empty() {
            findings
                .error(&place, format!("route `{}` prefers nothing", route.name))
                .hint("`prefer = [\"\"]` allows every backend server");
        }
    }
}

fn check_backend_keys(
    selector: &Selector,
    known: &BTreeSet<String>,
    place: &Place,
    findings: &mut Findings,
) {
    for key in selector.keys().filter(|key| !known.contains(*key)) {
        if key.starts_with("domain.") {
            findings
                .error(place, format!("no failure domain has the label of `{key}`"))
                .near(key, known.iter().map(String::as_str));
            continue;
        }
        // The instance list may give any other label.
        let near = crate::declaration::parse::near(key, known.iter().map(String::as_str));
        if let Some(near) = near {
            findings
                .warning(place, format!("no label `{key}` is declared"))
                .hint(format!("did you mean `{near}`?"));
        }
    }
}

fn check_backend_values(
    selector: &Selector,
    declaration: &Declaration,
    place: &Place,
    findings: &mut Findings,
) {
    let domains = || declaration.domains.iter();
    for (key, values) in selector.compared() {
        let known: Vec<&str> = match key {
            "locality" => LOCALITIES.to_vec(),
            "domain" => domains().map(|domain| domain.name.as_str()).collect(),
            "region" => domains().map(|domain| domain.region.as_str()).collect(),
            _ => continue,
        };
        check_values(key, values, &known, place, findings);
    }
}

/// Checks selectors over requests.
fn check_request_selectors(declaration: &Declaration, findings: &mut Findings) {
    let mut known: BTreeSet<&str> = REQUEST_LABELS.iter().copied().collect();
    for kind in &declaration.kinds {
        known.extend(kind.labels.keys().map(String::as_str));
    }
    for workspace in &declaration.workspaces {
        known.extend(workspace.labels.keys().map(String::as_str));
    }
    for (index, route) in declaration.routes.iter().enumerate() {
        let place = Place::object("route", index).at("match");
        for key in route.matches.keys().filter(|key| !known.contains(key)) {
            findings
                .error(
                    &place,
                    format!("no kind or workspace has the label `{key}`"),
                )
                .near(key, known.iter().copied());
        }
        for (key, values) in route.matches.compared() {
            let known: Vec<&str> = match key {
                "length" => LENGTHS.to_vec(),
                "kind" => names(declaration.kinds.iter().map(|kind| &kind.name)),
                "workspace" => names(declaration.workspaces.iter().map(|one| &one.name)),
                _ => continue,
            };
            check_values(key, values, &known, &place, findings);
        }
    }
}

fn names<'a>(names: impl Iterator<Item = &'a String>) -> Vec<&'a str> {
    names.map(String::as_str).collect()
}

fn check_values(
    key: &str,
    values: &[String],
    known: &[&str],
    place: &Place,
    findings: &mut Findings,
) {
    for value in values
        .iter()
        .filter(|value| !known.contains(&value.as_str()))
    {
        findings
            .error(place, format!("there is no {key} `{value}`"))
            .near(value, known.iter().copied());
    }
}

/// Checks that no rule stands behind one that takes all it could match.
fn check_order(declaration: &Declaration, findings: &mut Findings) {
    let limits: Vec<&Selector> = declaration
        .limits
        .iter()
        .map(|rule| &rule.matches)
        .collect();
    let routes: Vec<&Selector> = declaration
        .routes
        .iter()
        .map(|route| &route.matches)
        .collect();
    for (table, selectors) in [("limit", limits), ("route", routes)] {
        for (index, selector) in selectors.iter().enumerate() {
            let first = selectors[..index]
                .iter()
                .position(|earlier| earlier.covers(selector));
            if let Some(first) = first {
                findings
                    .error(
                        &Place::object(table, index),
                        format!(
                            "this {table} can never match: number {} takes all that it could",
                            first + 1
                        ),
                    )
                    .hint("the first match counts: put the narrower one first");
            }
        }
    }
}

/// Warns of kinds that no route can match.
fn check_coverage(declaration: &Declaration, findings: &mut Findings) {
    for (index, kind) in declaration.kinds.iter().enumerate() {
        let routed = declaration
            .routes
            .iter()
            .any(|route| route.matches.may_match("kind", &kind.name));
        if !routed {
            findings
                .warning(
                    &Place::object("kind", index),
                    format!(
                        "no route matches requests of kind `{}`: all are refused",
                        kind.name
                    ),
                )
                .hint(format!(
                    "add a route with `match = \"kind = {}\"`",
                    kind.name
                ));
        }
    }
}
