//! Simulated instances, their network and the key-value service, on a virtual
//! clock.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::control::AdminAnswer;
use crate::control::Cx;
use crate::control::Identity;
use crate::control::Output;
use crate::control::Ticket;
use crate::id::Boot;
use crate::id::Revision;
use crate::metrics::Count;
use crate::metrics::Metrics;
use crate::peer::PeerMessage;
use crate::spread::Applied;
use crate::spread::ApplyRequest;
use crate::spread::Message;
use crate::spread::Peer;
use crate::spread::Periods;
use crate::spread::Spread;
use crate::store::KeyVersion;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreFailure;
use crate::store::StoreOp;
use crate::store::StoreResult;
use crate::timeline::Timeline;
use crate::verdict::Refusal;

/// Length of a step of the virtual clock.
pub const STEP: Millis = Millis(100);

/// A fault of the store's next write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect, but the caller cannot know it.
    LostAnswer,
    /// The write does not take effect, and the caller cannot know it.
    LostWrite,
    /// The write takes effect after its caller has timed out.
    LateWrite,
}

/// An in-memory key-value service with injected faults.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub keys: BTreeMap<String, StoreEntry>,
    pub down: bool,
    pub faults: VecDeque<Fault>,
    pub calls: u64,
    version: u64,
    /// Writes that take effect at [`Store::apply_late_writes`].
    delayed_writes: Vec<StoreOp>,
}

impl Store {
    fn call(&mut self, op: &StoreOp) -> StoreResult {
        self.calls += 1;
        if self.down {
            return Err(StoreFailure::NotRun {
                retry_after: Some(Millis(700)),
            });
        }
        let write = matches!(op, StoreOp::Create { .. } | StoreOp::Swap { .. });
        let fault = match write {
            true => self.faults.pop_front(),
            false => None,
        };
        match fault {
            None => return Ok(self.execute(op)),
            Some(Fault::LostAnswer) => drop(self.execute(op)),
            Some(Fault::LostWrite) => {}
            Some(Fault::LateWrite) => self.delayed_writes.push(op.clone()),
        }
        Err(StoreFailure::MayHaveRun)
    }

    /// Applies the writes delayed by [`Fault::LateWrite`].
    pub fn apply_late_writes(&mut self) {
        for op in std::mem::take(&mut self.delayed_writes) {
            let _ = self.execute(&op);
        }
    }

    fn execute(&mut self, op: &StoreOp) -> StoreAnswer {
        match op {
            StoreOp::Get { key } | StoreOp::Watch { key, .. } => {
                StoreAnswer::Entry(self.keys.get(key).cloned())
            }
            StoreOp::Create { key, value, .. } => self.write(key, value, None),
            StoreOp::Swap {
                key,
                value,
                version,
                ..
            } => self.write(key, value, Some(*version)),
            StoreOp::Delete { key, version } => {
                if self.keys.get(key).map(|entry| entry.version) == Some(*version) {
                    self.keys.remove(key);
                }
                StoreAnswer::Written(*version)
            }
            other => panic!("not used by the spread: {other:?}"),
        }
    }

    fn write(&mut self, key: &str, value: &[u8], expected: Option<KeyVersion>) -> StoreAnswer {
        let stored = self.keys.get(key);
        if stored.map(|entry| entry.version) != expected {
            return StoreAnswer::Conflict(stored.cloned());
        }
        self.version += 1;
        let version = KeyVersion(self.version);
        let value = value.to_vec();
        self.keys
            .insert(key.to_owned(), StoreEntry { value, version });
        StoreAnswer::Written(version)
    }
}

/// One instance.
pub struct Node {
    pub me: Identity,
    pub spread: Spread,
    /// Whether it is running.
    pub up: bool,
    /// Whether it cannot reach the store.
    pub cut_off_from_store: bool,
    /// Whether the store's answers to it are dropped.
    pub drops_store_answers: bool,
    pub answers: BTreeMap<u64, AdminAnswer>,
    pub metrics: Metrics,
    rng: ChaCha8Rng,
    timeline: Timeline,
}

/// Instances that share one store.
pub struct Net {
    pub now: Millis,
    pub store: Store,
    pub nodes: Vec<Node>,
    /// Domains that are partitioned from the others.
    pub partitioned_domains: Vec<String>,
    watches: Vec<(usize, Ticket, StoreOp, Millis)>,
    /// Results of store calls that are delivered at the next step, with the
    /// instance.
    pending_store_results: Vec<(usize, Ticket, StoreResult)>,
    /// Messages that are delivered at the next step, with sender and receiver.
    pending_messages: Vec<(usize, usize, Message)>,
    tickets: u64,
}

impl Net {
    /// Returns `per_domain` instances in each of three domains.
    pub fn new(per_domain: usize) -> Net {
        let mut net = Net {
            now: Millis::ZERO,
            store: Store::default(),
            nodes: Vec::new(),
            partitioned_domains: Vec::new(),
            watches: Vec::new(),
            pending_store_results: Vec::new(),
            pending_messages: Vec::new(),
            tickets: 0,
        };
        for domain in ["a", "b", "c"] {
            for _ in 0..per_domain {
                net.add(domain);
            }
        }
        net
    }

    /// Adds an instance and returns its index.
    pub fn add(&mut self, domain: &str) -> usize {
        let index = self.nodes.len();
        let name = format!("{domain}-{index}");
        self.nodes.push(Node {
            spread: Spread::new(Periods::default()),
            up: true,
            cut_off_from_store: false,
            drops_store_answers: false,
            answers: BTreeMap::new(),
            metrics: Metrics::new(),
            rng: ChaCha8Rng::seed_from_u64(index as u64),
            timeline: Timeline::new(&name),
            me: Identity {
                peer_addr: name.clone(),
                name,
                domain: domain.to_owned(),
                boot: Boot(index as u64),
                unix_time_at_start: Millis::ZERO,
            },
        });
        index
    }

    /// Restarts an instance without any state.
    pub fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.spread = Spread::new(Periods::default());
        self.watches.retain(|watch| watch.0 != index);
        self.pending_store_results
            .retain(|answer| answer.0 != index);
    }

    /// Advances the clock by `duration`.
    pub fn run(&mut self, duration: Millis) {
        for _ in 0..duration.0 / STEP.0 {
            self.step();
        }
    }

    /// Advances the clock by one step: delivers answers and messages, and ticks each
    /// instance.
    pub fn step(&mut self) {
        self.now += STEP;
        self.end_watches();
        for (index, ticket, result) in std::mem::take(&mut self.pending_store_results) {
            if self.nodes[index].drops_store_answers {
                continue;
            }
            self.run_on(index, |spread, cx| spread.on_store(cx, ticket, result));
        }
        for (from, to, message) in std::mem::take(&mut self.pending_messages) {
            if self.reaches(from, to) {
                let name = self.nodes[from].me.name.clone();
                self.run_on(to, |spread, cx| {
                    spread.on_message(cx, &name, &name, message);
                });
            }
        }
        for index in 0..self.nodes.len() {
            let peers = self.peers(index);
            let watcher = self.is_watcher(index);
            self.run_on(index, |spread, cx| spread.tick(cx, &peers, watcher));
        }
    }

    /// Submits an operator's change to an instance and returns its ticket.
    pub fn apply(&mut self, index: usize, base: u64, change: &str, text: &str) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let request = ApplyRequest {
            base: Revision(base),
            text: text.to_owned(),
            change: change.to_owned(),
            author: format!("{change}-author"),
        };
        self.run_on(index, |spread, cx| spread.apply(cx, ticket, request));
        ticket
    }

    /// Returns the outcome of a change, or `None` if it is not answered yet.
    pub fn outcome(&self, ticket: u64) -> Option<Result<Applied, Refusal>> {
        let answer = self
            .nodes
            .iter()
            .find_map(|node| node.answers.get(&ticket))?;
        match answer {
            AdminAnswer::Json(value) => Some(Ok(serde_json::from_value(value.clone()).unwrap())),
            AdminAnswer::Refused(refusal) => Some(Err(refusal.clone())),
            AdminAnswer::Events(_) => None,
        }
    }

    /// Submits a change, waits a second for it to be accepted and returns its
    /// revision.
    pub fn apply_and_wait(&mut self, index: usize, base: u64, change: &str, text: &str) -> u64 {
        let ticket = self.apply(index, base, change, text);
        self.run(Millis(1000));
        let outcome = self.outcome(ticket).expect("answered");
        outcome.expect("accepted").revision.0
    }

    /// Returns the current revisions, by instance.
    pub fn revisions(&self) -> Vec<u64> {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.spread.revision().0).collect()
    }

    /// Returns the sum of a counter over all instances.
    pub fn count(&self, count: Count) -> u64 {
        self.nodes
            .iter()
            .map(|node| node.metrics.count(count))
            .sum()
    }

    /// Runs `action` on an instance and handles its outputs.
    pub fn run_on(&mut self, index: usize, action: impl FnOnce(&mut Spread, &mut Cx<'_>)) {
        let mut out = Vec::new();
        let node = &mut self.nodes[index];
        if !node.up {
            return;
        }
        let mut cx = Cx {
            now: self.now,
            me: &node.me,
            out: &mut out,
            rng: &mut node.rng,
            timeline: &mut node.timeline,
            metrics: &node.metrics,
        };
        action(&mut node.spread, &mut cx);
        for output in out {
            self.handle_output(index, output);
        }
    }

    fn handle_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Store { ticket, op } => self.store_call(index, ticket, op),
            Output::Admin {
                query_id: ticket,
                answer,
            } => {
                self.nodes[index].answers.insert(ticket, answer);
            }
            Output::Peer {
                to,
                message: PeerMessage::Spread(message),
                ..
            } => {
                let to = self.nodes.iter().position(|node| node.me.name == to);
                self.pending_messages.push((index, to.unwrap(), message));
            }
            other => panic!("not an output of the spread: {other:?}"),
        }
    }

    fn store_call(&mut self, index: usize, ticket: Ticket, op: StoreOp) {
        if self.nodes[index].cut_off_from_store {
            let failure = StoreFailure::NotRun { retry_after: None };
            self.pending_store_results
                .push((index, ticket, Err(failure)));
            return;
        }
        if let StoreOp::Watch { wait, .. } = op {
            self.store.calls += 1;
            self.watches.push((index, ticket, op, self.now + wait));
            return;
        }
        let result = self.store.call(&op);
        self.pending_store_results.push((index, ticket, result));
    }

    fn end_watches(&mut self) {
        let mut remaining = Vec::new();
        for (index, ticket, op, until) in std::mem::take(&mut self.watches) {
            let StoreOp::Watch { key, version, .. } = &op else {
                continue;
            };
            let stored = self.store.keys.get(key).cloned();
            let stored_version = stored.as_ref().map_or(KeyVersion(0), |entry| entry.version);
            if self.store.down || self.nodes[index].cut_off_from_store {
                let failure = StoreFailure::NotRun { retry_after: None };
                self.pending_store_results
                    .push((index, ticket, Err(failure)));
            } else if stored_version != *version || self.now >= until {
                self.pending_store_results
                    .push((index, ticket, Ok(StoreAnswer::Entry(stored))));
            } else {
                remaining.push((index, ticket, op, until));
            }
        }
        self.watches = remaining;
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let partitioned = self.partitioned_domains.contains(&from.me.domain)
            || self.partitioned_domains.contains(&to.me.domain);
        from.up && to.up && (from.me.domain == to.me.domain || !partitioned)
    }

    fn peers(&self, index: usize) -> Vec<Peer> {
        let others = (0..self.nodes.len()).filter(|&other| other != index);
        others
            .filter(|&other| self.reaches(other, index))
            .map(|other| {
                let node = &self.nodes[other];
                Peer {
                    name: node.me.name.clone(),
                    addr: node.me.peer_addr.clone(),
                    domain: node.me.domain.clone(),
                    revision: node.spread.revision(),
                }
            })
            .collect()
    }

    /// Returns whether the instance is one of the first two running ones of its
    /// domain.
    fn is_watcher(&self, index: usize) -> bool {
        let domain = &self.nodes[index].me.domain;
        let before = self.nodes[..index].iter();
        before
            .filter(|node| node.up && node.me.domain == *domain)
            .count()
            < 2
    }
}

/// Returns a document with one domain for each pair of name and region.
pub fn document(domains: &[(&str, &str)]) -> String {
    domains
        .iter()
        .map(|(name, region)| format!("[[domain]]\nname = \"{name}\"\nregion = \"{region}\"\n\n"))
        .collect()
}
