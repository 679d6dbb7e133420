//! Six instances with membership, conditions and capacity only, before engines
//! that admit whatever comes, over a network that delays, cuts and pauses.

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

/// Time between two steps.
pub const STEP: Millis = Millis(25);
/// Steps between two ticks of an instance.
const TICK_STEPS: u64 = 4;
/// Memory tokens of each request.
pub const MEMORY: u64 = 100;
/// Prompt tokens of each request.
const PREFILL: u64 = 50;

/// The instances.
pub const NAMES: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];

/// How the engines' limits are declared.
#[derive(Debug, Clone, Copy)]
pub struct Declared {
    /// Streams when warm.
    pub warm: u64,
    /// Streams when cold.
    pub cold: u64,
    /// Completed requests that make an engine warm.
    pub successes: u32,
    /// Engines of each failure domain.
    pub engines: usize,
}

pub struct World {
    pub now: Millis,
    pub nodes: BTreeMap<String, Node>,
    pub engines: BTreeMap<String, Engine>,
    pub store: FakeStore,
    pub store_down: bool,
    /// Part of the store's answers that get lost, in percent.
    pub store_loss: u32,
    pub cut_platform: BTreeSet<String>,
    pub cut_domains: BTreeSet<(String, String)>,
    /// Instances without a way to other instances.
    pub isolated: BTreeSet<String>,
    /// How long requests run, in milliseconds; none: for good.
    pub service: Option<(u64, u64)>,
    /// Whether callers send requests.
    pub load: bool,
    pub declared: Declared,
    events: BTreeMap<(Millis, u64), Event>,
    number: u64,
    steps: u64,
    rng: ChaCha8Rng,
    /// What went wrong, first thing first.
    pub faults: Vec<String>,
}

impl World {
    /// Returns six instances that have just started.
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
            faults: Vec::new(),
        };
        for domain in ["a", "b", "c"] {
            for number in 1..=declared.engines {
                let engine = Engine {
                    boot: 1,
                    fences: number % 2 == 0,
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

    /// Starts an instance; its name may be new.
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
            self.act(&node, |node, cx| {
                node.members.on_list(cx, &listings);
                node.fleet.list(listings);
                node.conditions.fleet_changed(cx, &node.fleet);
            });
        }
    }

    /// Ends an instance's process without a word.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.deliver();
            self.tick();
            self.offer();
            self.check();
        }
    }

    /// Returns how many streams run on an engine.
    pub fn running(&self, engine: &str) -> u64 {
        u64::try_from(self.engines[engine].running.len()).unwrap()
    }

    /// Returns how many streams run on all engines.
    pub fn running_in_all(&self) -> u64 {
        self.engines.keys().map(|engine| self.running(engine)).sum()
    }

    /// Ends all that an engine runs and gives it another boot number.
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

    /// Lets an instance do something.
    pub fn act(&mut self, name: &str, act: impl FnOnce(&mut Node, &mut Cx<'_>)) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let out = node.run(now, act);
        self.take_out(name, out);
    }

    /// Tells an instance to leave.
    pub fn leave(&mut self, name: &str) {
        self.act(name, |node, cx| {
            node.leaving = true;
            node.members.leave(cx);
            node.capacity.leave();
        });
    }

    /// Cuts a failure domain off from the other two.
    pub fn cut_off(&mut self, domain: &str) {
        for other in ["a", "b", "c"] {
            self.cut_domains
                .insert((domain.to_owned(), other.to_owned()));
            self.cut_domains
                .insert((other.to_owned(), domain.to_owned()));
        }
        self.cut_domains
            .remove(&(domain.to_owned(), domain.to_owned()));
    }

    /// Mends all cuts.
    pub fn mend(&mut self) {
        self.cut_domains.clear();
        self.cut_platform.clear();
        self.isolated.clear();
    }

    /// Returns whether all engines that have anything to bear are in use.
    pub fn assert_sound(&self) {
        assert_eq!(self.faults, Vec::<String>::new());
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
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
            } => self.act(&to, |node, cx| node.peer(cx, &from, boot, message)),
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
                    self.act(&node, |node, cx| node.store(cx, ticket, result));
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
            } => self.act(&node, |node, cx| node.ended(cx, request, sign)),
            Event::Order {
                node,
                engine,
                order,
            } => self.order(node, engine, &order),
            Event::Report {
                node,
                engine,
                report,
            } => self.act(&node, |node, cx| node.report(cx, &engine, &report)),
        }
    }

    fn admit(&mut self, name: String, node: String, request: RequestId, epoch: Epoch) {
        let service = self
            .service
            .map(|(low, high)| self.rng.random_range(low..high));
        let limit = self.declared.warm;
        let now = self.now;
        let engine = self.engines.get_mut(&name).unwrap();
        if engine.fences && epoch < engine.epoch {
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
        if let Some((since, bears)) = engine.cold {
            if running > bears {
                engine.above = (engine.above.0 + 1, now.since(since));
            }
        }
        if running > limit {
            let text = format!("{now}: {running} of {limit} streams on {name}, last from {node}");
            self.faults.push(text);
        }
        if let Some(span) = service {
            let event = Event::Finish {
                engine: name,
                request,
            };
            self.schedule(span, span + 1, event);
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
                self.act(name, Node::tick);
            }
        }
    }

    /// Lets each instance start all that its credits allow on the engines of
    /// its failure domain, and now and then on others.
    fn offer(&mut self) {
        if !self.load {
            return;
        }
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            let node = &self.nodes[&name];
            if node.paused || node.leaving {
                continue;
            }
            let elsewhere = self.rng.random_range(0..40) == 0;
            let engines: Vec<String> = self.engines.keys().cloned().collect();
            for engine in engines {
                if domain(&engine) == domain(&name) || elsewhere {
                    self.offer_at(&name, &engine);
                }
            }
        }
    }

    fn offer_at(&mut self, name: &str, engine: &str) {
        for _ in 0..self.declared.warm {
            self.number += 1;
            let request = RequestId(self.number);
            let mut epoch = None;
            self.act(name, |node, cx| epoch = node.try_start(cx, engine, request));
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

    fn check(&mut self) {
        for (name, engine) in &self.engines {
            let running = u64::try_from(engine.running.len()).unwrap();
            if running > self.declared.warm {
                self.faults
                    .push(format!("{}: {running} on {name}", self.now));
            }
        }
    }

    fn take_out(&mut self, name: &str, out: Vec<Output>) {
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
                other => panic!("not an output of these duties: {other:?}"),
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

/// Returns the failure domain in a name.
pub fn domain(name: &str) -> &str {
    name.split('-').next().unwrap()
}
