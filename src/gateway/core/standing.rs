//! What stands on each backend server, by all instances.

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
use crate::gateway::placement::Choice;
use crate::gateway::placement::Prompt;
use crate::gateway::roster::Roster;
use crate::gateway::roster::ServerKey;
use crate::gateway::route::EngineSpec;
use crate::gateway::route::RouteTable;

/// Time after which a call to a plain server that was never reported as ended
/// is dropped; no route waits longer.
const FORGET_CALL: Millis = Millis(5_000);
/// Share of the shortest wanted pause that reading a short prompt may take, so
/// that it fits into a pass beside writers.
const LONG_READ_SHARE: f64 = 0.7;

/// Work on all backend servers.
#[derive(Debug, Default)]
pub struct Standing {
    engines: HashMap<ServerKey, EngineLoad>,
    /// Calls on plain servers, with when they began.
    calls: HashMap<ServerKey, BTreeMap<JobKey, Millis>>,
    /// Work that prompts have brought lately, by service.
    demand: HashMap<String, Demand>,
    /// Time in ms above which reading a prompt makes it a long one, by service.
    long_read_ms: HashMap<String, f64>,
}

impl Standing {
    /// Takes over the published figures of all engines.
    pub fn set_specs(&mut self, now: Millis, roster: &Roster, table: &RouteTable) {
        for name in table.services.keys() {
            let gap = table.shortest_gap_ms(name).unwrap_or(f64::INFINITY);
            self.long_read_ms
                .insert(name.clone(), gap * LONG_READ_SHARE);
        }
        for (key, server) in roster.listed() {
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

    /// Returns an engine's load; none: a plain server.
    #[must_use]
    pub fn engine(&self, key: ServerKey) -> Option<&EngineLoad> {
        self.engines.get(&key)
    }

    /// Returns the calls on a plain server.
    #[must_use]
    pub fn calls(&self, key: ServerKey) -> usize {
        self.calls.get(&key).map_or(0, BTreeMap::len)
    }

    /// Plays all engines up to `now`.
    pub fn advance(&mut self, now: Millis) {
        for load in self.engines.values_mut() {
            load.advance(now);
        }
        for calls in self.calls.values_mut() {
            calls.retain(|_, since| now.since(*since) < FORGET_CALL);
        }
    }

    /// Returns which lane a prompt belongs to.
    #[must_use]
    pub fn lane(&self, service: &str, spec: &EngineSpec, prompt_tokens: f64) -> Lane {
        let limit = self
            .long_read_ms
            .get(service)
            .copied()
            .unwrap_or(f64::INFINITY);
        match spec.read_ms(prompt_tokens) > limit {
            true => Lane::Long,
            false => Lane::Short,
        }
    }

    /// Returns the work that prompts of a service have brought lately.
    #[must_use]
    pub fn demand(&self, service: &str) -> Option<&Demand> {
        self.demand.get(service)
    }

    fn count_demand(&mut self, now: Millis, service: &str, prompt: &Prompt, first: ServerKey) {
        let Some(spec) = self.engines.get(&first).map(|load| *load.spec()) else {
            return;
        };
        let passes = prompt.output_tokens / f64::from(spec.steps_per_pass.max(1));
        let write_ms = passes * spec.writing_pass_ms();
        let read_ms = spec.read_ms(prompt.prompt_tokens);
        let demand = self.demand.entry(service.to_owned()).or_default();
        demand.count(now, prompt.lane, read_ms, write_ms);
    }

    /// Adds a prompt to the engines that read it.
    pub fn place_prompt(&mut self, now: Millis, service: &str, prompt: &Prompt, choice: &Choice) {
        self.count_demand(now, service, prompt, choice.first);
        let part = prompt.prompt_tokens / (choice.parts.len() + 1) as f64;
        for &(key, memory) in &choice.parts {
            if let Some(load) = self.engines.get_mut(&key) {
                load.place(now, placement::part_job(now, prompt, part, memory as f64));
            }
        }
        let Some(load) = self.engines.get_mut(&choice.first) else {
            return;
        };
        let held = match choice.first_reserved {
            0 => prompt.prompt_tokens,
            reserved => reserved as f64,
        };
        let job = placement::first_job(now, prompt, part, choice.ready_at, held);
        load.place(now, job);
    }

    /// Adds a call to a plain server.
    pub fn place_call(&mut self, now: Millis, key: ServerKey, job: JobKey) {
        self.calls.entry(key).or_default().insert(job, now);
    }

    /// Takes over that a request's first output has come.
    pub fn started(&mut self, now: Millis, key: JobKey, servers: &[ServerKey]) {
        for server in servers {
            if let Some(load) = self.engines.get_mut(server) {
                load.started(now, key);
            }
        }
    }

    /// Takes over that a stream has gone on.
    pub fn progressed(&mut self, at: Millis, key: JobKey, server: ServerKey) {
        if let Some(load) = self.engines.get_mut(&server) {
            load.progressed(at, key);
        }
    }

    /// Takes over that a request is no longer there.
    pub fn ended(&mut self, now: Millis, key: JobKey, servers: &[ServerKey]) {
        for server in servers {
            if let Some(load) = self.engines.get_mut(server) {
                load.ended(now, key);
            }
            if let Some(calls) = self.calls.get_mut(server) {
                calls.remove(&key);
            }
        }
    }

    /// Takes over how much memory an engine says it has left, in tokens.
    pub fn observe_free_memory(&mut self, now: Millis, server: ServerKey, free: u64) {
        if let Some(load) = self.engines.get_mut(&server) {
            load.observe_free_memory(now, free);
        }
    }

    /// Forgets what stood on a server that has started anew.
    pub fn restarted(&mut self, key: ServerKey) {
        if let Some(load) = self.engines.get_mut(&key) {
            load.clear();
        }
        self.calls.remove(&key);
    }

    /// Takes over another instance's placement.
    pub fn peer_placed(&mut self, now: Millis, roster: &Roster, placed: &Placed) {
        let Some(first) = roster.find_hash(placed.server) else {
            return;
        };
        let key = JobKey(placed.job);
        if placed.prompt_tokens == 0 {
            self.place_call(now, first, key);
            return;
        }
        let service = roster.get(first).entry.service.clone();
        let Some(spec) = self.engines.get(&first).map(|load| *load.spec()) else {
            return;
        };
        let due = now.0 as f64 + placed.due_in_ms as f64;
        let prompt = Prompt {
            key,
            prompt_tokens: placed.prompt_tokens as f64,
            output_tokens: placed.output_tokens as f64,
            due,
            deadline: f64::INFINITY,
            target: placed.due_in_ms as f64,
            gap: placed.gap_ms as f64,
            value: value_of(placed.prompt_tokens),
            urgency: placed.urgency,
            lane: self.lane(&service, &spec, placed.prompt_tokens as f64),
            scatter: 0.0,
        };
        let parts: Vec<(ServerKey, u64)> = placed
            .parts
            .iter()
            .filter_map(|&(hash, memory)| Some((roster.find_hash(hash)?, memory)))
            .collect();
        let choice = Choice {
            first,
            parts,
            first_reserved: placed.first_reserved,
            first_token: 0.0,
            ready_at: now.0 as f64 + placed.ready_in_ms as f64,
            loss: 0.0,
        };
        self.place_prompt(now, &service, &prompt, &choice);
    }

    /// Takes over that another instance's request has begun to answer.
    pub fn peer_started(
        &mut self,
        now: Millis,
        roster: &Roster,
        job: u64,
        server: u64,
        parts: &[u64],
    ) {
        self.started(now, JobKey(job), &keys(roster, server, parts));
    }

    /// Takes over that another instance's request is over.
    pub fn peer_ended(
        &mut self,
        now: Millis,
        roster: &Roster,
        job: u64,
        server: u64,
        parts: &[u64],
    ) {
        self.ended(now, JobKey(job), &keys(roster, server, parts));
    }

    /// Returns a short text on what stands on an engine, for the log.
    #[must_use]
    pub fn describe(&self, key: ServerKey) -> String {
        let Some(load) = self.engines.get(&key) else {
            return format!("calls={}", self.calls(key));
        };
        let unread: f64 = load.jobs().iter().map(|job| job.unread).sum();
        let helped = load
            .jobs()
            .iter()
            .filter(|job| job.role == Role::Helper)
            .count();
        format!(
            "requests={} parts={helped} unread={unread:.0} memory={:.0} pace={:.2}",
            load.requests(),
            load.memory(),
            load.pace()
        )
    }
}

/// What a prompt that is answered in time is worth, relative to others. Long
/// prompts take more of the fleet, and their callers have no other way to get
/// an answer, so their value grows with their length.
#[must_use]
pub fn value_of(prompt_tokens: u64) -> f64 {
    const TOKENS_PER_UNIT: f64 = 10_000.0;
    1.0 + prompt_tokens as f64 / TOKENS_PER_UNIT
}

fn keys(roster: &Roster, server: u64, parts: &[u64]) -> Vec<ServerKey> {
    parts
        .iter()
        .chain([&server])
        .filter_map(|&hash| roster.find_hash(hash))
        .collect()
}
