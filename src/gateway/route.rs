//! Routes, services and callers' keys, as one version of the operators'
//! configuration gives them.
//!
//! A [`RouteTable`] is immutable: a new version replaces it whole, so that a
//! request sees one version from its route to its workspace.

use std::collections::HashMap;

use crate::clock::Millis;

/// One version of the routing configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Number of the version; grows in uneven steps.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    pub hosts: HashMap<String, Vec<Route>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Workspace of each caller's key; none: no keys are asked for.
    pub keys: Option<HashMap<String, Workspace>>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// Which requests go where, and what may be done with them.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, unique in the table.
    pub name: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub time_limit: Millis,
    /// Time within which the answer, or a stream's first event, is wanted.
    pub target_latency: Millis,
    /// Longest wanted pause between two events of a stream.
    pub target_gap: Option<Millis>,
    /// Rank, 0 first.
    pub rank: u8,
    /// Services and their weights; at least one.
    pub split: Vec<(String, u32)>,
    /// Backend servers that one request may be sent to, at most.
    pub max_sends: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    Never,
    /// A stream that goes on elsewhere after its last whole event.
    Resume,
}

/// A group of backend servers that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one backend server accepts from all callers.
    pub max_connections: u32,
    /// Requests a second that a cold backend server bears; 0: never cold.
    pub cold_rate: f64,
    /// What its model engines can do; none: a plain service.
    pub engine: Option<EngineSpec>,
}

/// Published figures of a model engine. An engine works in passes: one pass
/// reads a chunk of waiting prompts and, if any request is writing, makes
/// `steps_per_pass` tokens for each of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Time of one step, in ms.
    pub step_ms: f64,
    /// Added to a step for each request that writes, in ms.
    pub step_per_writer_ms: f64,
    /// Added to a step for each 1,000 tokens of a writer's context, in ms.
    pub step_per_kilotoken_ms: f64,
    /// Prompt tokens read in a ms.
    pub read_tokens_per_ms: f64,
    /// Added for each million pairs of a token and an earlier one, in ms.
    pub attention_ms_per_mpair: f64,
    /// Prompt tokens read in one pass, at most.
    pub chunk_tokens: u64,
    /// Steps of a pass in which requests write.
    pub steps_per_pass: u32,
    /// Added to a writer's step if other engines hold part of its prompt, in ms.
    pub hop_ms: f64,
    /// Mean length of an answer, in tokens.
    pub usual_output_tokens: u64,
}

/// Who a key belongs to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Rank that goes before the route's; none: the route's.
    pub rank: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub head_time: Millis,
    /// Time that a connection may stay idle.
    pub idle_time: Millis,
}

impl Default for CallerLimits {
    /// Returns limits for the time before a configuration is known.
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Millis(10_000),
            idle_time: Millis(60_000),
        }
    }
}

impl EngineSpec {
    /// Returns how long an idle engine reads a prompt, in ms.
    #[must_use]
    pub fn read_ms(&self, tokens: f64) -> f64 {
        let mpairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_tokens_per_ms + mpairs * self.attention_ms_per_mpair
    }

    /// Returns how long an engine takes for a pass in which requests write.
    #[must_use]
    pub fn writing_pass_ms(&self) -> f64 {
        f64::from(self.steps_per_pass) * self.step_ms
    }
}

impl RouteTable {
    /// Returns the shortest pause between events that any stream of a service
    /// wants, in ms.
    #[must_use]
    pub fn shortest_gap_ms(&self, service: &str) -> Option<f64> {
        self.hosts
            .values()
            .flatten()
            .filter(|route| route.split.iter().any(|(name, _)| name == service))
            .filter_map(|route| route.target_gap)
            .min()
            .map(|gap| gap.0 as f64)
    }

    /// Returns the route with the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Adds a route in its place among those of its host.
    pub fn insert(&mut self, host: String, route: Route) {
        let routes = self.hosts.entry(host).or_default();
        let at = routes.partition_point(|known| known.prefix.len() >= route.prefix.len());
        routes.insert(at, route);
    }

    /// Returns the workspace that a caller speaks for, or none if the key is
    /// missing or unknown where the route needs one.
    #[must_use]
    pub fn workspace(&self, route: &Route, key: Option<&str>) -> Option<Workspace> {
        let Some(keys) = &self.keys else {
            return Some(Workspace::default());
        };
        let known = key.and_then(|key| keys.get(key)).cloned();
        match known {
            None if route.anonymous => Some(Workspace::default()),
            known => known,
        }
    }
}

impl Route {
    /// Picks a service by weight; `draw` is evenly spread over all numbers.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .split
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut left = draw % total;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}
