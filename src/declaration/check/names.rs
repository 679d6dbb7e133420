//! Names, labels and tokens: their form, and that none stands twice.

use std::collections::HashMap;

use super::Findings;
use super::Place;
use crate::declaration::Declaration;
use crate::declaration::Labels;

/// Longest name, label key or label value, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Greatest number of labels of one object.
const MAX_LABELS: usize = 64;
/// Length of a SHA-256 in hexadecimal digits.
const SHA256_DIGITS: usize = 64;
/// Labels that routes see on each request.
pub(super) const REQUEST_LABELS: &[&str] = &["kind", "workspace", "model", "length"];
/// Labels that selectors see on each backend server.
pub(super) const BACKEND_LABELS: &[&str] = &["name", "domain", "region", "locality"];

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    check_domains(declaration, findings);
    check_backends(declaration, findings);
    check_kinds(declaration, findings);
    check_routes(declaration, findings);
    check_workspaces(declaration, findings);
}

fn check_domains(declaration: &Declaration, findings: &mut Findings) {
    let mut seen = Seen::default();
    for (index, domain) in declaration.domains.iter().enumerate() {
        let place = Place::object("domain", index);
        seen.check(&domain.name, &place, findings);
        check_name("region", &domain.region, true, &place, findings);
        check_labels(&domain.labels, &[], &place, findings);
    }
}

fn check_backends(declaration: &Declaration, findings: &mut Findings) {
    let mut seen = Seen::default();
    for (index, backend) in declaration.backends.iter().enumerate() {
        let place = Place::object("backend", index);
        seen.check(&backend.name, &place, findings);
        check_labels(&backend.labels, BACKEND_LABELS, &place, findings);
    }
}

fn check_kinds(declaration: &Declaration, findings: &mut Findings) {
    let mut seen = Seen::default();
    for (index, kind) in declaration.kinds.iter().enumerate() {
        let place = Place::object("kind", index);
        seen.check(&kind.name, &place, findings);
        check_name("service", &kind.service, true, &place, findings);
        for (i, operation) in kind.operations.iter().enumerate() {
            let place = place.at("operations").at(i);
            if !is_name(operation) {
                findings.error(&place, format!("`{operation}` is no operation's name"));
            }
        }
        check_labels(&kind.labels, REQUEST_LABELS, &place, findings);
    }
}

fn check_routes(declaration: &Declaration, findings: &mut Findings) {
    let mut seen = Seen::default();
    for (index, route) in declaration.routes.iter().enumerate() {
        seen.check(&route.name, &Place::object("route", index), findings);
    }
}

fn check_workspaces(declaration: &Declaration, findings: &mut Findings) {
    let mut seen = Seen::default();
    let mut tokens: HashMap<&str, &str> = HashMap::new();
    for (index, workspace) in declaration.workspaces.iter().enumerate() {
        let place = Place::object("workspace", index);
        seen.check(&workspace.name, &place, findings);
        check_labels(&workspace.labels, REQUEST_LABELS, &place, findings);
        let place = place.at("token_sha256");
        let token = workspace.token_sha256.as_str();
        if !is_sha256(token) {
            findings
                .error(
                    &place,
                    format!("the token's SHA-256 must be {SHA256_DIGITS} hexadecimal digits in lower case"),
                )
                .hint("printf %s \"$TOKEN\" | sha256sum");
        }
        if let Some(other) = tokens.insert(token, &workspace.name) {
            findings.error(&place, format!("workspace `{other}` has the same token"));
        }
    }
}

/// Names of one table seen so far.
#[derive(Debug, Default)]
struct Seen<'a> {
    names: HashMap<&'a str, usize>,
}

impl<'a> Seen<'a> {
    fn check(&mut self, name: &'a str, place: &Place, findings: &mut Findings) {
        check_name("name", name, false, place, findings);
        let number = self.names.len() + 1;
        if let Some(first) = self.names.insert(name, number) {
            findings
                .error(
                    &place.at("name"),
                    format!("the name `{name}` stands twice; first in object {first}"),
                )
                .hint("names are unique in their table");
        }
    }
}

fn check_name(field: &str, name: &str, may_be_empty: bool, place: &Place, findings: &mut Findings) {
    if (name.is_empty() && may_be_empty) || is_name(name) {
        return;
    }
    findings
        .error(&place.at(field), format!("`{name}` is no valid {field}"))
        .hint(format!(
            "1 to {MAX_NAME_BYTES} letters, digits, `.`, `_`, `-` or `/`"
        ));
}

fn check_labels(labels: &Labels, reserved: &[&str], place: &Place, findings: &mut Findings) {
    let place = place.at("labels");
    if labels.len() > MAX_LABELS {
        findings.error(&place, format!("more than {MAX_LABELS} labels"));
    }
    for (key, value) in labels {
        let place = place.at(key);
        if reserved.contains(&key.as_str()) || key.starts_with("domain.") {
            findings.error(&place, format!("the label `{key}` is set by the system"));
        }
        if !is_name(key) {
            findings.error(&place, format!("`{key}` is no label key"));
        }
        if !value.split(',').all(|part| is_name(part.trim())) {
            findings.error(&place, format!("`{value}` is no label value"));
        }
    }
}

fn is_name(name: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "._-/".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(fits)
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_DIGITS
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}
