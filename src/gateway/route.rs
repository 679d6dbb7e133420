//! Routes, services and API keys of one version of the operators'
//! configuration.
//!
//! A [`RouteTable`] is immutable: a new version replaces it as a whole, so that
//! one request sees a single version for its route, service and workspace.

use std::collections::HashMap;

use crate::clock::Millis;

/// One version of the routing configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Version number; increases, not always by one.
    pub version: u64,
    /// Routes by host, longest prefix first.
    pub hosts: HashMap<String, Vec<Route>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Workspace by API key; `None` if callers need no key.
    pub keys: Option<HashMap<String, Workspace>>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

/// A rule that maps a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique in the table.
    pub name: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub run_policy: RunPolicy,
    /// Whether the response is an event stream.
    pub streaming: bool,
    /// Time limit for the complete response.
    pub time_limit: Millis,
    /// Target time to the response, or to a stream's first event (TTFT).
    pub target_latency: Millis,
    /// Target for the longest gap between two events of a stream.
    pub target_gap: Option<Millis>,
    /// Priority; 0 is the highest. It matters where the requests to one service
    /// declare different ones.
    pub priority: u8,
    /// Services and their traffic weights; at least one.
    pub weighted_services: Vec<(String, u32)>,
    /// Maximum number of attempts per request that a backend server may have
    /// run; attempts known not to have run are not counted.
    pub max_attempts: u32,
    /// Whether the route accepts callers without a key.
    pub anonymous: bool,
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// A stream that another server can resume after its last complete event.
    Resumable,
}

/// A group of backend servers that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of the request by which a server is probed; it needs no slot of an
    /// engine.
    pub probe_path: String,
    /// Maximum connections that one backend server accepts, over all instances.
    pub max_connections: u32,
    /// Requests per second that a cold backend server can handle; 0 if the
    /// service has no cold phase.
    pub cold_requests_per_s: f64,
    /// Published timings and limits of its model engines; `None` for a plain
    /// service.
    pub engine: Option<EngineSpec>,
}

/// Published timings and limits of a model engine. An engine runs forward
/// passes: a pass is one step, or `steps_per_pass` steps while any request
/// decodes. Each step prefills up to `chunk_tokens` tokens of waiting prompts
/// and generates one token for each decoding request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that run concurrently.
    pub slots: u32,
    /// KV cache size, in tokens.
    pub memory_tokens: u64,
    /// Base duration of one step, whether it decodes or only prefills, in ms.
    pub step_ms: f64,
    /// Added to a step for each decoding request, in ms.
    pub step_per_decode_ms: f64,
    /// Added to a step for each 1,000 tokens of context of a decoding request,
    /// in ms.
    pub step_per_kilotoken_ms: f64,
    /// Prompt tokens prefilled per ms.
    pub prefill_tokens_per_ms: f64,
    /// Attention cost of prefill for each million pairs of a token and an
    /// earlier one, in ms.
    pub attention_ms_per_mpair: f64,
    /// Maximum prompt tokens prefilled in one step.
    pub chunk_tokens: u64,
    /// Decode steps in a pass that has decoding requests.
    pub steps_per_pass: u32,
    /// Added to a decode step if other engines hold part of the request's KV
    /// cache, in ms. Forecasts do not use it.
    pub remote_kv_step_ms: f64,
    /// Mean output length, in tokens.
    pub mean_output_tokens: u64,
}

/// The workspace that an API key belongs to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Priority that overrides the route's; `None` to use the route's.
    pub priority: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for a request head to arrive, and for a body.
    pub head_timeout: Millis,
    /// Time limit for an idle connection.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis(10_000),
            idle_timeout: Millis(60_000),
        }
    }
}

impl EngineSpec {
    /// Returns the time that a prompt adds to passes when it is prefilled, in
    /// ms, without the base duration of the steps.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        let mpairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.prefill_tokens_per_ms + mpairs * self.attention_ms_per_mpair
    }

    /// Returns the base duration of the passes in which an answer is decoded, in
    /// ms.
    #[must_use]
    pub fn decode_ms(&self, output_tokens: f64) -> f64 {
        let passes = output_tokens / f64::from(self.steps_per_pass.max(1));
        passes * self.decode_pass_ms()
    }

    /// Returns the base duration of a pass that has decoding requests, in ms,
    /// without the additions per request and per context token.
    #[must_use]
    pub fn decode_pass_ms(&self) -> f64 {
        f64::from(self.steps_per_pass) * self.step_ms
    }
}

impl RouteTable {
    /// Returns the shortest target gap of any streaming route to a service, in
    /// ms.
    #[must_use]
    pub fn min_target_gap_ms(&self, service: &str) -> Option<f64> {
        self.hosts
            .values()
            .flatten()
            .filter(|route| {
                route
                    .weighted_services
                    .iter()
                    .any(|(name, _)| name == service)
            })
            .filter_map(|route| route.target_gap)
            .min()
            .map(|gap| gap.0 as f64)
    }

    /// Returns the route with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Inserts a route, keeping its host's routes sorted by prefix length.
    pub fn insert(&mut self, host: String, route: Route) {
        let routes = self.hosts.entry(host).or_default();
        let at = routes.partition_point(|known| known.prefix.len() >= route.prefix.len());
        routes.insert(at, route);
    }

    /// Returns the caller's workspace, or `None` if the route requires a key
    /// and the given one is missing or unknown.
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
    /// Picks a service by weight; `draw` is a uniformly distributed random
    /// number.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut remaining = draw % total;
        for (service, weight) in &self.weighted_services {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        None
    }
}
