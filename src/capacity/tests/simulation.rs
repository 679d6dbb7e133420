//! Six instances with membership, conditions and capacity only. Their engines
//! admit every request, so that a violated limit becomes visible. The network
//! delays messages and drops those between disconnected parts, and instances
//! can be paused.

mod instance;
mod parts;

pub use instance::SimInstance;
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
use crate::condition::Signal;
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
pub const MEMORY_TOKENS_PER_REQUEST: u64 = 100;
/// Prompt tokens of each request.
const PREFILL_TOKENS_PER_REQUEST: u64 = 50;

/// Initial instances.
pub const NAMES: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];

/// Number of engines and their declared limits.
#[derive(Debug, Clone, Copy)]
pub struct EngineSetup {
    /// Stream limit when warm.
    pub warm: u64,
    /// Stream limit when cold.
    pub cold: u64,
    /// Number of completed requests after which an engine is warm.
    pub ramp_successes: u32,
    /// Number of engines in each failure domain.
    pub engines: usize,
}

pub struct Simulation {
    pub now: Millis,
    pub instances: BTreeMap<String, SimInstance>,
    pub engines: BTreeMap<String, Engine>,
    pub store: FakeStore,
    pub store_down: bool,
    /// Percentage of store answers that are lost.
    pub store_loss: u32,
    /// Failure domains that cannot reach the key-value service.
    pub cut_from_store: BTreeSet<String>,
    /// Pairs of failure domains without a connection, in both orders.
    pub disconnected_domains: BTreeSet<(String, String)>,
    /// Instances that cannot reach other instances.
    pub isolated: BTreeSet<String>,
    /// Range of request durations in milliseconds; with `None`, requests never
    /// finish.
    pub request_duration_ms: Option<(u64, u64)>,
    /// Whether instances start requests.
    pub starts_requests: bool,
    pub declared: EngineSetup,
    events: BTreeMap<(Millis, u64), Event>,
    /// Last number given to a request or an event.
    last_id: u64,
    steps: u64,
    rng: ChaCha8Rng,
    /// Violations of a limit, oldest first.
    pub violations: Vec<String>,
}

impl Simulation {
    /// Creates six instances that have just started.
    pub fn new(declared: EngineSetup, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            now: Millis(1_000_000),
            instances: BTreeMap::new(),
            engines: BTreeMap::new(),
            store: FakeStore::default(),
            store_down: false,
            store_loss: 0,
            cut_from_store: BTreeSet::new(),
            disconnected_domains: BTreeSet::new(),
            isolated: BTreeSet::new(),
            request_duration_ms: Some((200, 2_000)),
            starts_requests: true,
            declared,
            events: BTreeMap::new(),
            last_id: 0,
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
                simulation
                    .engines
                    .insert(format!("{domain}-e{number}"), engine);
            }
        }
        for name in NAMES {
            simulation.start(name, 1);
        }
        simulation
    }

    /// Starts an instance and lists it; the name may be new.
    pub fn start(&mut self, name: &str, boot: u64) {
        let skew = Millis(self.rng.random_range(0..900_000));
        let instance = SimInstance::new(name, boot, skew, self.declared);
        self.instances.insert(name.to_owned(), instance);
        let mut names: BTreeSet<String> = NAMES.iter().map(|name| (*name).to_owned()).collect();
        names.extend(self.instances.keys().cloned());
        let engines: Vec<String> = self.engines.keys().cloned().collect();
        let listings = listings(&names, &engines);
        let all: Vec<String> = self.instances.keys().cloned().collect();
        for instance in all {
            let listings = listings.clone();
            self.with_instance(&instance, |instance, cx| {
                instance.members.apply_listings(cx, &listings);
                instance.fleet.apply_listings(listings);
                instance.conditions.apply_fleet_change(cx, &instance.fleet);
            });
        }
    }

    /// Ends an instance's process without draining.
    pub fn kill(&mut self, name: &str) {
        self.instances.remove(name);
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
        for (request, instance) in lost {
            let signal = Some(Signal::Broken);
            let event = Event::AttemptEnded {
                instance,
                request,
                signal,
            };
            self.schedule(2, 20, event);
        }
    }

    /// Calls `action` on an instance and routes the outputs; does nothing if it
    /// does not run.
    pub fn with_instance(
        &mut self,
        name: &str,
        action: impl FnOnce(&mut SimInstance, &mut Cx<'_>),
    ) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let out = instance.with_cx(now, action);
        self.route_outputs(name, out);
    }

    /// Starts draining an instance.
    pub fn drain(&mut self, name: &str) {
        self.with_instance(name, |instance, cx| {
            instance.draining = true;
            instance.members.start_draining(cx);
            instance.capacity.drain();
        });
    }

    /// Disconnects a failure domain from the other two.
    pub fn disconnect_domain(&mut self, domain: &str) {
        for other in ["a", "b", "c"] {
            self.disconnected_domains
                .insert((domain.to_owned(), other.to_owned()));
            self.disconnected_domains
                .insert((other.to_owned(), domain.to_owned()));
        }
        self.disconnected_domains
            .remove(&(domain.to_owned(), domain.to_owned()));
    }

    /// Restores all connections.
    pub fn heal_all(&mut self) {
        self.disconnected_domains.clear();
        self.cut_from_store.clear();
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
        let paused = event.receiver().is_some_and(|name| {
            self.instances
                .get(name)
                .is_some_and(|instance| instance.paused)
        });
        if paused {
            return self.schedule(25, 26, event);
        }
        match event {
            Event::Peer {
                to,
                from,
                boot,
                message,
            } => self.with_instance(&to, |instance, cx| {
                instance.on_peer(cx, &from, boot, message)
            }),
            Event::Store {
                instance,
                boot,
                ticket,
                op,
            } => self.handle_store_call(instance, boot, ticket, &op),
            Event::StoreAnswer {
                instance,
                boot,
                ticket,
                result,
            } => {
                let same = self
                    .instances
                    .get(&instance)
                    .is_some_and(|instance| instance.me.boot == boot);
                if same {
                    self.with_instance(&instance, |instance, cx| {
                        instance.on_store(cx, ticket, result)
                    });
                }
            }
            Event::RequestArrived {
                engine,
                instance,
                request,
                epoch,
            } => self.admit(engine, instance, request, epoch),
            Event::RequestFinished { engine, request } => {
                let owner = self
                    .engines
                    .get_mut(&engine)
                    .unwrap()
                    .running
                    .remove(&request);
                if let Some(instance) = owner {
                    let signal = Some(Signal::Completed { in_time: true });
                    let event = Event::AttemptEnded {
                        instance,
                        request,
                        signal,
                    };
                    self.schedule(1, 10, event);
                }
            }
            Event::AttemptEnded {
                instance,
                request,
                signal,
            } => self.with_instance(&instance, |instance, cx| {
                instance.on_ended(cx, request, signal)
            }),
            Event::Order {
                instance,
                engine,
                order,
            } => self.handle_order(instance, engine, &order),
            Event::Report {
                instance,
                engine,
                report,
            } => self.with_instance(&instance, |instance, cx| {
                instance.on_report(cx, &engine, &report)
            }),
        }
    }

    fn admit(&mut self, name: String, instance: String, request: RequestId, epoch: Epoch) {
        let duration = self
            .request_duration_ms
            .map(|(low, high)| self.rng.random_range(low..high));
        let limit = self.declared.warm;
        let now = self.now;
        let engine = self.engines.get_mut(&name).unwrap();
        if engine.fences_epochs && epoch < engine.epoch {
            let event = Event::AttemptEnded {
                instance,
                request,
                signal: None,
            };
            return self.schedule(1, 10, event);
        }
        engine.epoch = engine.epoch.max(epoch);
        engine.running.insert(request, instance.clone());
        let running = u64::try_from(engine.running.len()).unwrap();
        if let Some((since, cold_limit)) = engine.cold {
            if running > cold_limit {
                engine.over_cold_limit = (engine.over_cold_limit.0 + 1, now.since(since));
            }
        }
        if running > limit {
            let text =
                format!("{now}: {running} of {limit} streams on {name}, last from {instance}");
            self.violations.push(text);
        }
        if let Some(duration) = duration {
            let event = Event::RequestFinished {
                engine: name,
                request,
            };
            self.schedule(duration, duration + 1, event);
        }
    }

    fn handle_order(&mut self, instance: String, name: String, order: &BackendOrder) {
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
                let cut = self.is_cut(&instance, &name);
                if !cut {
                    let event = Event::Report {
                        instance,
                        engine: name,
                        report,
                    };
                    self.schedule(1, 30, event);
                }
            }
        }
    }

    fn handle_store_call(&mut self, instance: String, boot: Boot, ticket: Ticket, op: &StoreOp) {
        let result = if self.store_down || self.cut_from_store.contains(domain(&instance)) {
            Err(StoreFailure::NotRun { retry_after: None })
        } else {
            let answer = self.store.call(self.now, op);
            match self.rng.random_range(0..100) < self.store_loss {
                true => Err(StoreFailure::MayHaveRun),
                false => Ok(answer),
            }
        };
        let event = Event::StoreAnswer {
            instance,
            boot,
            ticket,
            result,
        };
        self.schedule(1, 20, event);
    }

    fn tick(&mut self) {
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for (index, name) in names.iter().enumerate() {
            let index = u64::try_from(index).unwrap();
            let due = (self.steps + index) % TICK_STEPS == 0;
            if due && !self.instances[name].paused {
                self.with_instance(name, SimInstance::tick);
            }
        }
    }

    /// Lets each instance start as many requests as its leases allow on the
    /// engines of its failure domain and, in one of 40 steps, on all engines.
    fn start_requests(&mut self) {
        if !self.starts_requests {
            return;
        }
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for name in names {
            let instance = &self.instances[&name];
            if instance.paused || instance.draining {
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
            self.last_id += 1;
            let request = RequestId(self.last_id);
            let mut epoch = None;
            self.with_instance(name, |instance, cx| {
                epoch = instance.try_start(cx, engine, request)
            });
            let Some(epoch) = epoch else {
                return;
            };
            if self.is_cut(name, engine) {
                let event = Event::AttemptEnded {
                    instance: name.to_owned(),
                    request,
                    signal: Some(Signal::Refused),
                };
                self.schedule(5, 10, event);
                continue;
            }
            let event = Event::RequestArrived {
                engine: engine.to_owned(),
                instance: name.to_owned(),
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
        let boot = self.instances[name].me.boot;
        for output in out {
            match output {
                Output::Peer { to, message, .. } => self.send(name, boot, to, message),
                Output::Store { ticket, op } => {
                    let instance = name.to_owned();
                    let event = Event::Store {
                        instance,
                        boot,
                        ticket,
                        op,
                    };
                    self.schedule(1, 20, event);
                }
                Output::Order { backend, order, .. } => {
                    if !self.is_cut(name, &backend) {
                        let event = Event::Order {
                            instance: name.to_owned(),
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
        let instance = self.instances.get_mut(from).unwrap();
        instance.sent_messages += 1;
        instance.sent_bytes += u64::try_from(body.unwrap().len()).unwrap();
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
        self.disconnected_domains.contains(&pair)
    }

    fn schedule(&mut self, low: u64, high: u64, event: Event) {
        let at = self.now + Millis(self.rng.random_range(low..high));
        self.last_id += 1;
        self.events.insert((at, self.last_id), event);
    }
}

/// Returns the failure domain of an instance or engine.
pub fn domain(name: &str) -> &str {
    name.split('-').next().unwrap()
}
