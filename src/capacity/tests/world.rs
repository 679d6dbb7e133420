//! Six instances with membership, conditions and capacity only. Their engines
//! admit every request, so that a violated limit shows. The network delays and
//! drops messages, and instances can be paused.

mod node;
mod parts;

pub use node::Node;
pub use parts::Engine;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::parts::Event;
use self::parts::listings;
use super::store::FakeStore;
use crate::backend::BackendOrder;
use crate::clock::Millis;
use crate::condition::Sign;
use crate::control::Cx;
use crate::control::Output;
use crate::control::Ticket;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::RequestId;
use crate::peer::PeerMessage;
use crate::store::StoreFailure;
use crate::store::StoreOp;

/// Interval between two simulation steps.
pub const STEP: Millis = Millis(25);
/// Number of steps between two ticks of an instance.
const TICK_STEPS: u64 = 4;
/// Memory tokens of each request.
pub const MEMORY: u64 = 100;
/// Prompt tokens of each request.
const PREFILL: u64 = 50;

/// Initial instances.
pub const NAMES: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];

/// Declared limits of the engines.
#[derive(Debug, Clone, Copy)]
pub struct Declared {
    /// Stream limit when warm.
    pub warm: u64,
    /// Stream limit when cold.
    pub cold: u64,
    /// Number of completed requests after which an engine is warm.
    pub successes: u32,
    /// Number of engines in each failure domain.
    pub engines: usize,
}

pub struct World {
    pub now: Millis,
    pub nodes: BTreeMap<String, Node>,
    pub engines: BTreeMap<String, Engine>,
    pub store: FakeStore,
    pub store_down: bool,
    /// Percentage of store answers that are lost.
    pub store_loss: u32,
    pub cut_platform: BTreeSet<String>,
    pub cut_domains: BTreeSet<(String, String)>,
    /// Instances that cannot reach other instances.
    pub isolated: BTreeSet<String>,
    /// Range of request durations in milliseconds; with `None`, requests never
    /// finish.
    pub service: Option<(u64, u64)>,
    /// Whether instances start requests.
    pub load: bool,
    pub declared: Declared,
    events: BTreeMap<(Millis, u64), Event>,
    number: u64,
    steps: u64,
    rng: ChaCha8Rng,
    /// Violations of a limit, oldest first.
    pub violations: Vec<String>,
}

impl World {
    /// Creates six instances that have just started.
    pub fn new(declared: Declared, seed: u64) -> World {
        let mut world = World {
            now: Millis(1_000_000),
            nodes: BTreeMap::new(),
            engines: BTreeMap::new(),
            store: FakeStore::default(),
            store_down: false,
            store_loss: 0,
            cut_platform: BTreeSet::new(),
            cut_domains: BTreeSet::new(),
            isolated: BTreeSet::new(),
            service: Some((200, 2_000)),
            load: true,
            declared,
            events: BTreeMap::new(),
            number: 0,
            steps: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            violations: Vec::new(),
        };
        for domain in ["a", "b", "c"] {
            for number in 1..=declared.engines {
                let engine = Engine {
                    boot: 1,
                    fences_epochs: number % 2 == 0,
                    ..Engine::default()
                };
                world.engines.insert(format!("{domain}-e{number}"), engine);
            }
        }
        for name in NAMES {
            world.start(name, 1);
        }
        world
    }

    /// Starts an instance, which may have a new name.
    pub fn start(&mut self, name: &str, boot: u64) {
        let skew = Millis(self.rng.random_range(0..900_000));
        let node = Node::new(name, boot, skew, self.declared);
        self.nodes.insert(name.to_owned(), node);
        let mut names: BTreeSet<String> = NAMES.iter().map(|name| (*name).to_owned()).collect();
        names.extend(self.nodes.keys().cloned());
        let engines: Vec<String> = self.engines.keys().cloned().collect();
        let listings = listings(&names, &engines);
        let all: Vec<String> = self.nodes.keys().cloned().collect();
        for node in all {
            let listings = listings.clone();
            self.with_node(&node, |node, cx| {
                node.members.on_list(cx, &listings);
                node.fleet.list(listings);
                node.conditions.fleet_changed(cx, &node.fleet);
            });
        }
    }

    /// Ends an instance's process without draining.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Advances the simulation.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.deliver();
            self.tick();
            self.start_requests();
            self.check_limits();
        }
    }

    /// Returns the number of streams on an engine.
    pub fn running(&self, engine: &str) -> u64 {
        u64::try_from(self.engines[engine].running.len()).unwrap()
    }

    /// Returns the number of streams on all engines.
    pub fn running_in_all(&self) -> u64 {
        self.engines.keys().map(|engine| self.running(engine)).sum()
    }

    /// Ends all streams of an engine and raises its boot number.
    pub fn restart_engine(&mut self, name: &str) {
        let engine = self.engines.get_mut(name).unwrap();
        engine.boot += 1;
        let lost = std::mem::take(&mut engine.running);
        for (request, node) in lost {
            let sign = Some(Sign::Broken);
            let event = Event::Ended {
                node,
                request,
                sign,
            };
            self.schedule(2, 20, event);
        }
    }

    /// Calls `action` on an instance and routes the outputs.
    pub fn with_node(&mut self, name: &str, action: impl FnOnce(&mut Node, &mut Cx<'_>)) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let out = node.with_cx(now, action);
        self.route_outputs(name, out);
    }

    /// Starts draining an instance.
    pub fn drain(&mut self, name: &str) {
        self.with_node(name, |node, cx| {
            node.leaving = true;
            node.members.leave(cx);
            node.capacity.drain();
        });
    }

    /// Disconnects a failure domain from the other two.
    pub fn disconnect_domain(&mut self, domain: &str) {
        for other in ["a", "b", "c"] {
            self.cut_domains
                .insert((domain.to_owned(), other.to_owned()));
            self.cut_domains
                .insert((other.to_owned(), domain.to_owned()));
        }
        self.cut_domains
            .remove(&(domain.to_owned(), domain.to_owned()));
    }

    /// Restores all connections.
    pub fn heal_all(&mut self) {
        self.cut_domains.clear();
        self.cut_platform.clear();
        self.isolated.clear();
    }

    /// Asserts that no limit was exceeded.
    pub fn assert_no_violations(&self) {
        assert_eq!(self.violations, Vec::<String>::new());
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let paused = event
            .node()
            .is_some_and(|name| self.nodes.get(name).is_some_and(|node| node.paused));
        if paused {
            return self.schedule(25, 26, event);
        }
        match event {
            Event::Peer {
                to,
                from,
                boot,
                message,
            } => self.with_node(&to, |node, cx| node.on_peer(cx, &from, boot, message)),
            Event::Store {
                node,
                boot,
                ticket,
                op,
            } => self.store(node, boot, ticket, &op),
            Event::StoreAnswer {
                node,
                boot,
                ticket,
                result,
            } => {
                let same = self
                    .nodes
                    .get(&node)
                    .is_some_and(|node| node.me.boot == boot);
                if same {
                    self.with_node(&node, |node, cx| node.on_store(cx, ticket, result));
                }
            }
            Event::Start {
                engine,
                node,
                request,
                epoch,
            } => self.admit(engine, node, request, epoch),
            Event::Finish { engine, request } => {
                let owner = self
                    .engines
                    .get_mut(&engine)
                    .unwrap()
                    .running
                    .remove(&request);
                if let Some(node) = owner {
                    let sign = Some(Sign::Completed { in_time: true });
                    let event = Event::Ended {
                        node,
                        request,
                        sign,
                    };
                    self.schedule(1, 10, event);
                }
            }
            Event::Ended {
                node,
                request,
                sign,
            } => self.with_node(&node, |node, cx| node.on_ended(cx, request, sign)),
            Event::Order {
                node,
                engine,
                order,
            } => self.order(node, engine, &order),
            Event::Report {
                node,
                engine,
                report,
            } => self.with_node(&node, |node, cx| node.on_report(cx, &engine, &report)),
        }
    }

    fn admit(&mut self, name: String, node: String, request: RequestId, epoch: Epoch) {
        let service = self
            .service
            .map(|(low, high)| self.rng.random_range(low..high));
        let limit = self.declared.warm;
        let now = self.now;
        let engine = self.engines.get_mut(&name).unwrap();
        if engine.fences_epochs && epoch < engine.epoch {
            let event = Event::Ended {
                node,
                request,
                sign: None,
            };
            return self.schedule(1, 10, event);
        }
        engine.epoch = engine.epoch.max(epoch);
        engine.running.insert(request, node.clone());
        let running = u64::try_from(engine.running.len()).unwrap();
        if let Some((since, cold_limit)) = engine.cold {
            if running > cold_limit {
                engine.over_cold_limit = (engine.over_cold_limit.0 + 1, now.since(since));
            }
        }
        if running > limit {
            let text = format!("{now}: {running} of {limit} streams on {name}, last from {node}");
            self.violations.push(text);
        }
        if let Some(duration) = service {
            let event = Event::Finish {
                engine: name,
                request,
            };
            self.schedule(duration, duration + 1, event);
        }
    }

    fn order(&mut self, node: String, name: String, order: &BackendOrder) {
        let engine = self.engines.get_mut(&name).unwrap();
        match order {
            BackendOrder::Cancel { request, .. } => {
                engine.running.remove(request);
            }
            BackendOrder::CacheEvents { .. }
            | BackendOrder::Prefill { .. }
            | BackendOrder::Export { .. }
            | BackendOrder::Import { .. } => {}
            BackendOrder::Load => {
                let report = engine.report();
                let cut = self.is_cut(&node, &name);
                if !cut {
                    let event = Event::Report {
                        node,
                        engine: name,
                        report,
                    };
                    self.schedule(1, 30, event);
                }
            }
        }
    }

    fn store(&mut self, node: String, boot: Boot, ticket: Ticket, op: &StoreOp) {
        let result = if self.store_down || self.cut_platform.contains(domain(&node)) {
            Err(StoreFailure::NotRun { retry_after: None })
        } else {
            let answer = self.store.call(self.now, op);
            match self.rng.random_range(0..100) < self.store_loss {
                true => Err(StoreFailure::MayHaveRun),
                false => Ok(answer),
            }
        };
        let event = Event::StoreAnswer {
            node,
            boot,
            ticket,
            result,
        };
        self.schedule(1, 20, event);
    }

    fn tick(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for (index, name) in names.iter().enumerate() {
            let index = u64::try_from(index).unwrap();
            let due = (self.steps + index) % TICK_STEPS == 0;
            if due && !self.nodes[name].paused {
                self.with_node(name, Node::tick);
            }
        }
    }

    /// Lets each instance start as many requests as its leases allow on the
    /// engines of its failure domain, and occasionally on others.
    fn start_requests(&mut self) {
        if !self.load {
            return;
        }
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            let node = &self.nodes[&name];
            if node.paused || node.leaving {
                continue;
            }
            let other_domains = self.rng.random_range(0..40) == 0;
            let engines: Vec<String> = self.engines.keys().cloned().collect();
            for engine in engines {
                if domain(&engine) == domain(&name) || other_domains {
                    self.start_requests_on(&name, &engine);
                }
            }
        }
    }

    fn start_requests_on(&mut self, name: &str, engine: &str) {
        for _ in 0..self.declared.warm {
            self.number += 1;
            let request = RequestId(self.number);
            let mut epoch = None;
            self.with_node(name, |node, cx| epoch = node.try_start(cx, engine, request));
            let Some(epoch) = epoch else {
                return;
            };
            if self.is_cut(name, engine) {
                let event = Event::Ended {
                    node: name.to_owned(),
                    request,
                    sign: Some(Sign::Refused),
                };
                self.schedule(5, 10, event);
                continue;
            }
            let event = Event::Start {
                engine: engine.to_owned(),
                node: name.to_owned(),
                request,
                epoch,
            };
            self.schedule(1, 40, event);
        }
    }

    fn check_limits(&mut self) {
        for (name, engine) in &self.engines {
            let running = u64::try_from(engine.running.len()).unwrap();
            if running > self.declared.warm {
                self.violations
                    .push(format!("{}: {running} on {name}", self.now));
            }
        }
    }

    fn route_outputs(&mut self, name: &str, out: Vec<Output>) {
        let boot = self.nodes[name].me.boot;
        for output in out {
            match output {
                Output::Peer { to, message, .. } => self.send(name, boot, to, message),
                Output::Store { ticket, op } => {
                    let node = name.to_owned();
                    let event = Event::Store {
                        node,
                        boot,
                        ticket,
                        op,
                    };
                    self.schedule(1, 20, event);
                }
                Output::Order { backend, order, .. } => {
                    if !self.is_cut(name, &backend) {
                        let event = Event::Order {
                            node: name.to_owned(),
                            engine: backend,
                            order,
                        };
                        self.schedule(1, 30, event);
                    }
                }
                other => panic!("not an output of these components: {other:?}"),
            }
        }
    }

    fn send(&mut self, from: &str, boot: Boot, to: String, message: PeerMessage) {
        let body = bincode::serde::encode_to_vec(&message, bincode::config::standard());
        let node = self.nodes.get_mut(from).unwrap();
        node.sent_messages += 1;
        node.sent_bytes += u64::try_from(body.unwrap().len()).unwrap();
        let lost = self.isolated.contains(from) || self.isolated.contains(&to);
        if lost || self.is_cut(from, &to) {
            return;
        }
        let event = Event::Peer {
            to,
            from: from.to_owned(),
            boot,
            message,
        };
        self.schedule(1, 15, event);
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        let pair = (domain(a).to_owned(), domain(b).to_owned());
        self.cut_domains.contains(&pair)
    }

    fn schedule(&mut self, low: u64, high: u64, event: Event) {
        let at = self.now + Millis(self.rng.random_range(low..high));
        self.number += 1;
        self.events.insert((at, self.number), event);
    }
}

/// Returns the failure domain of an instance or engine.
pub fn domain(name: &str) -> &str {
    name.split('-').next().unwrap()
}
