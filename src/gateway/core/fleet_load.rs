//! Load that all instances have placed on each backend server.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::gateway::engine::EngineLoad;
use crate::gateway::engine::JobKey;
use crate::gateway::engine::Role;
use crate::gateway::instances::Placed;
use crate::gateway::lanes::Demand;
use crate::gateway::lanes::Lane;
use crate::gateway::placement;
use crate::gateway::placement::Placement;
use crate::gateway::placement::Prompt;
use crate::gateway::route::EngineSpec;
use crate::gateway::route::RouteTable;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::ServerTable;

/// Time after which a call to a plain server is dropped if its end was never
/// reported. No route to a plain service has a longer time limit.
const CALL_EXPIRY: Millis = Millis(5_000);
/// Share of the shortest target gap that the prefill of a short prompt may
/// take, so that it fits into a forward pass together with decoding requests.
const SHORT_PREFILL_GAP_SHARE: f64 = 0.7;

/// Load on all backend servers.
#[derive(Debug, Default)]
pub struct FleetLoad {
    engines: HashMap<ServerKey, EngineLoad>,
    /// Calls in flight on plain servers, with their start times.
    calls: HashMap<ServerKey, BTreeMap<JobKey, Millis>>,
    /// Recent prefill and decode time of prompts, by service.
    demand: HashMap<String, Demand>,
    /// Prefill time in ms above which a prompt counts as long, by service.
    max_short_prefill_ms: HashMap<String, f64>,
}

impl FleetLoad {
    /// Applies the configuration: the timings of all engines and each service's
    /// limit for short prompts. Drops the load of servers that are no longer
    /// engines.
    pub fn set_specs(&mut self, now: Millis, server_table: &ServerTable, table: &RouteTable) {
        for name in table.services.keys() {
            let gap = table.min_target_gap_ms(name).unwrap_or(f64::INFINITY);
            self.max_short_prefill_ms
                .insert(name.clone(), gap * SHORT_PREFILL_GAP_SHARE);
        }
        for (key, server) in server_table.listed() {
            let spec = table
                .services
                .get(&server.entry.service)
                .and_then(|service| service.engine);
            match spec {
                Some(spec) => self.set_spec(now, key, spec),
                None => {
                    self.engines.remove(&key);
                }
            }
        }
    }

    fn set_spec(&mut self, now: Millis, key: ServerKey, spec: EngineSpec) {
        self.engines
            .entry(key)
            .and_modify(|load| load.set_spec(spec))
            .or_insert_with(|| EngineLoad::new(now, spec));
    }

    /// Returns the load of an engine, or `None` for a plain server.
    #[must_use]
    pub fn engine(&self, key: ServerKey) -> Option<&EngineLoad> {
        self.engines.get(&key)
    }

    /// Returns the number of calls in flight on a plain server.
    #[must_use]
    pub fn calls(&self, key: ServerKey) -> usize {
        self.calls.get(&key).map_or(0, BTreeMap::len)
    }

    /// Returns the calls in flight on a plain server, with their start times.
    pub fn call_starts(&self, key: ServerKey) -> impl Iterator<Item = (JobKey, Millis)> {
        let calls = self.calls.get(&key).into_iter().flatten();
        calls.map(|(job, since)| (*job, *since))
    }

    /// Simulates all engines up to `now` and drops expired calls.
    pub fn advance(&mut self, now: Millis) {
        for load in self.engines.values_mut() {
            load.advance(now);
        }
        for calls in self.calls.values_mut() {
            calls.retain(|_, since| now.since(*since) < CALL_EXPIRY);
        }
    }

    /// Returns the lane of a prompt.
    #[must_use]
    pub fn lane(&self, service: &str, spec: &EngineSpec, prompt_tokens: f64) -> Lane {
        let limit = self
            .max_short_prefill_ms
            .get(service)
            .copied()
            .unwrap_or(f64::INFINITY);
        match spec.prefill_ms(prompt_tokens) > limit {
            true => Lane::Long,
            false => Lane::Short,
        }
    }

    /// Returns the recent prefill and decode time of a service's prompts.
    #[must_use]
    pub fn demand(&self, service: &str) -> Option<&Demand> {
        self.demand.get(service)
    }

    fn record_demand(&mut self, now: Millis, service: &str, prompt: &Prompt, primary: ServerKey) {
        let Some(spec) = self.engines.get(&primary).map(|load| *load.spec()) else {
            return;
        };
        let decode_ms = spec.decode_ms(prompt.output_tokens);
        let prefill_ms = spec.prefill_ms(prompt.prompt_tokens);
        let demand = self.demand.entry(service.to_owned()).or_default();
        demand.record(now, prompt.lane, prefill_ms, decode_ms);
    }

    /// Adds a prompt to its primary engine and its helpers.
    pub fn add_prompt(
        &mut self,
        now: Millis,
        service: &str,
        prompt: &Prompt,
        placement: &Placement,
    ) {
        self.record_demand(now, service, prompt, placement.primary);
        let part_tokens = prompt.prompt_tokens / (placement.helpers.len() + 1) as f64;
        for &(key, memory) in &placement.helpers {
            if let Some(load) = self.engines.get_mut(&key) {
                load.add(
                    now,
                    placement::helper_job(now, prompt, part_tokens, memory as f64),
                );
            }
        }
        let Some(load) = self.engines.get_mut(&placement.primary) else {
            return;
        };
        let prompt_memory = match placement.primary_reserved {
            0 => prompt.prompt_tokens,
            reserved => reserved as f64,
        };
        let job = placement::primary_job(
            now,
            prompt,
            part_tokens,
            placement.parts_ready_at,
            prompt_memory,
        );
        load.add(now, job);
    }

    /// Adds a call to a plain server.
    pub fn add_call(&mut self, now: Millis, key: ServerKey, job: JobKey) {
        self.calls.entry(key).or_default().insert(job, now);
    }

    /// Records the first output of a request.
    pub fn record_first_output(&mut self, now: Millis, job: JobKey, servers: &[ServerKey]) {
        for server in servers {
            if let Some(load) = self.engines.get_mut(server) {
                load.record_first_output(now, job);
            }
        }
    }

    /// Records an event of a stream.
    pub fn record_progress(&mut self, at: Millis, job: JobKey, server: ServerKey) {
        if let Some(load) = self.engines.get_mut(&server) {
            load.record_progress(at, job);
        }
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, now: Millis, job: JobKey, servers: &[ServerKey]) {
        for server in servers {
            if let Some(load) = self.engines.get_mut(server) {
                load.remove(now, job);
            }
            if let Some(calls) = self.calls.get_mut(server) {
                calls.remove(&job);
            }
        }
    }

    /// Records the free memory that an engine reported, in tokens.
    pub fn observe_free_memory(&mut self, now: Millis, server: ServerKey, free: u64) {
        if let Some(load) = self.engines.get_mut(&server) {
            load.observe_free_memory(now, free);
        }
    }

    /// Drops the load of a server that has restarted.
    pub fn reset_server(&mut self, key: ServerKey) {
        if let Some(load) = self.engines.get_mut(&key) {
            load.reset();
        }
        self.calls.remove(&key);
    }

    /// Adds a placement by another instance.
    pub fn add_peer_placement(&mut self, now: Millis, server_table: &ServerTable, placed: &Placed) {
        let Some(primary) = server_table.find_by_id_hash(placed.server) else {
            return;
        };
        let key = JobKey(placed.job);
        if placed.prompt_tokens == 0 {
            self.add_call(now, primary, key);
            return;
        }
        let service = server_table.get(primary).entry.service.clone();
        let Some(spec) = self.engines.get(&primary).map(|load| *load.spec()) else {
            return;
        };
        let due_at = now.0 as f64 + placed.due_in_ms as f64;
        let prompt = Prompt {
            key,
            prompt_tokens: placed.prompt_tokens as f64,
            output_tokens: placed.output_tokens as f64,
            due_at,
            deadline_at: f64::INFINITY,
            target_ms: placed.due_in_ms as f64,
            max_gap_ms: placed.gap_ms as f64,
            utility: utility_of_prompt(placed.prompt_tokens),
            engine_priority: placed.urgency,
            lane: self.lane(&service, &spec, placed.prompt_tokens as f64),
            jitter: 0.0,
            can_be_declined: false,
        };
        let helpers: Vec<(ServerKey, u64)> = placed
            .parts
            .iter()
            .filter_map(|&(hash, memory)| Some((server_table.find_by_id_hash(hash)?, memory)))
            .collect();
        let placement = Placement {
            primary,
            helpers,
            primary_reserved: placed.first_reserved,
            first_token_at: 0.0,
            parts_ready_at: now.0 as f64 + placed.ready_in_ms as f64,
            cost: 0.0,
            cost_to_others: 0.0,
        };
        self.add_prompt(now, &service, &prompt, &placement);
    }

    /// Records the first output of another instance's request.
    pub fn record_peer_first_output(
        &mut self,
        now: Millis,
        server_table: &ServerTable,
        job: u64,
        server: u64,
        parts: &[u64],
    ) {
        self.record_first_output(now, JobKey(job), &server_keys(server_table, server, parts));
    }

    /// Removes another instance's request that has ended.
    pub fn remove_peer_request(
        &mut self,
        now: Millis,
        server_table: &ServerTable,
        job: u64,
        server: u64,
        parts: &[u64],
    ) {
        self.remove(now, JobKey(job), &server_keys(server_table, server, parts));
    }

    /// Summarizes the load of a server for the log.
    #[must_use]
    pub fn describe(&self, key: ServerKey) -> String {
        let Some(load) = self.engines.get(&key) else {
            return format!("calls={}", self.calls(key));
        };
        let prefill_left: f64 = load.jobs().iter().map(|job| job.prefill_tokens_left).sum();
        let helper_jobs = load
            .jobs()
            .iter()
            .filter(|job| job.role == Role::Helper)
            .count();
        format!(
            "requests={} parts={helper_jobs} unread={prefill_left:.0} memory={:.0} pace={:.2}",
            load.request_count(),
            load.memory(),
            load.slowdown()
        )
    }
}

/// Returns the utility of answering a prompt on time. It grows with length,
/// because long prompts use more of the fleet and their callers have no other
/// way to get an answer.
#[must_use]
pub fn utility_of_prompt(prompt_tokens: u64) -> f64 {
    /// Prompt tokens that add one unit of utility.
    const TOKENS_PER_UNIT: f64 = 10_000.0;
    1.0 + prompt_tokens as f64 / TOKENS_PER_UNIT
}

fn server_keys(server_table: &ServerTable, server: u64, parts: &[u64]) -> Vec<ServerKey> {
    parts
        .iter()
        .chain([&server])
        .filter_map(|&hash| server_table.find_by_id_hash(hash))
        .collect()
}
