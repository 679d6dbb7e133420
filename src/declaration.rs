//! The operators' declarations: labels, limits, request kinds and selectors.
//!
//! A declaration document is a TOML file under version control. Parsed and
//! checked it becomes a [`Declaration`], which every component reads. Names are
//! `String`s here; the [`crate::fleet`] turns them into keys.

mod check;
mod diff;
mod layout;
mod merge;
mod parse;
mod tables;

pub use diff::Diff;
pub use diff::Edit;
pub use diff::FieldEdit;
pub use diff::ObjectEdit;
pub use diff::RoutingEdit;
pub use diff::diff;
pub use diff::object_edits;
pub use layout::rewrite;
pub use merge::Conflict;
pub use merge::MergeError;
pub use merge::merge;
pub use merge::merge_declarations;
pub use merge::merge_preferring;
pub use parse::Document;
pub use parse::MAX_DOCUMENT_BYTES;
pub use parse::Problem;
pub use parse::Severity;
pub use parse::parse;
pub use parse::read;
pub use parse::text;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::selector::Selector;

/// Labels of a domain, backend server, request kind or workspace.
pub type Labels = BTreeMap<String, String>;

/// A whole document.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declaration {
    /// Failure domains.
    #[serde(rename = "domain", skip_serializing_if = "Vec::is_empty")]
    pub domains: Vec<Domain>,
    /// Labels that operators lay over single backend servers.
    #[serde(rename = "backend", skip_serializing_if = "Vec::is_empty")]
    pub backends: Vec<Overlay>,
    /// Limits of backend servers, first match counts.
    #[serde(rename = "limit", skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitRule>,
    /// Request kinds.
    #[serde(rename = "kind", skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<Kind>,
    /// Routes, first match counts.
    #[serde(rename = "route", skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Workspaces.
    #[serde(rename = "workspace", skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Its name, as in the instance list.
    pub name: String,
    /// The region it lies in.
    #[serde(default, skip_serializing_if = "is_default")]
    pub region: String,
    /// Taken out of service: gets no new work.
    #[serde(default, skip_serializing_if = "is_default")]
    pub out: bool,
    /// Its labels; seen by selectors as `domain.<key>`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub labels: Labels,
}

/// Labels laid over a backend server's own.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Overlay {
    /// The backend server's name, as in the instance list.
    pub name: String,
    /// Taken out of service: gets no new work.
    #[serde(default, skip_serializing_if = "is_default")]
    pub out: bool,
    /// Labels that replace or add to those of the instance list.
    #[serde(default, skip_serializing_if = "is_default")]
    pub labels: Labels,
}

/// What a backend server bears.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests in flight.
    pub streams: u32,
    /// Memory tokens (prompt and allowed output) in flight; 0: not limited.
    #[serde(default, skip_serializing_if = "is_default")]
    pub memory_tokens: u64,
    /// Prompt tokens not yet processed, in flight; 0: not limited.
    #[serde(default, skip_serializing_if = "is_default")]
    pub prefill_tokens: u64,
}

/// Limits for the backend servers that a selector matches.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitRule {
    /// Which backend servers.
    #[serde(rename = "match", default)]
    pub matches: Selector,
    /// What they bear when warm.
    pub warm: Limits,
    /// What they bear in a cold start.
    pub cold: Limits,
    /// Completed requests within their predicted time for one step of the ramp.
    #[serde(default = "default_ramp_successes")]
    pub ramp_successes: u32,
    /// Steps of the ramp from cold to warm.
    #[serde(default = "default_ramp_steps")]
    pub ramp_steps: u32,
}

const fn default_ramp_successes() -> u32 {
    4
}

const fn default_ramp_steps() -> u32 {
    4
}

/// What kind of backend server serves a request kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Service,
}

/// A request kind.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name; callers of engines choose it by the header `X-Request-Kind`.
    pub name: String,
    /// What serves it.
    #[serde(default, skip_serializing_if = "is_default")]
    pub target: Target,
    /// For a plain service: its name in the path.
    #[serde(default, skip_serializing_if = "is_default")]
    pub service: String,
    /// For a plain service: the operations of this kind; empty: all others.
    #[serde(default, skip_serializing_if = "is_default")]
    pub operations: Vec<String>,
    /// Time from admission to the whole answer.
    pub deadline_ms: Millis,
    /// Who is refused last when there is too much: 0 to 100.
    pub importance: u8,
    /// Whether it may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Output tokens allowed when the caller names none.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// How long a claimed idempotency key is kept.
    #[serde(default = "default_claim_retention")]
    pub claim_retention_ms: Millis,
    /// Its labels, seen by routes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub labels: Labels,
}

const fn default_idempotent() -> bool {
    true
}

const fn default_max_tokens() -> u32 {
    256
}

const fn default_claim_retention() -> Millis {
    Millis::from_secs(86_400)
}

/// Where matching requests may go, best first.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// A name for `explain`.
    pub name: String,
    /// Which requests, over the labels of kind and workspace, and `kind`,
    /// `workspace`, `model`, `length` (`short`, `long`, `huge`).
    #[serde(rename = "match", default)]
    pub matches: Selector,
    /// Which backend servers, in order of preference, over their labels,
    /// `name`, `domain`, `region`, `domain.<key>` and `locality` (`local`,
    /// `region`, `remote`).
    pub prefer: Vec<Selector>,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// SHA-256 of its bearer token, in hexadecimal.
    pub token_sha256: String,
    /// Its share of the fleet against other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Its labels, seen by routes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub labels: Labels,
}

const fn default_weight() -> u32 {
    1
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

#[cfg(test)]
mod tests;
