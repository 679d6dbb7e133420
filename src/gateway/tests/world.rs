//! A fleet of simulated engines before several cores.
//!
//! The engines are written independently of the forecast that they check: they
//! work in passes, admit by memory and tell each event. Datagrams between
//! cores arrive after a ms.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::gateway::core::Core;
use crate::gateway::core::Me;
use crate::gateway::instances::Member;
use crate::gateway::message::CallerHead;
use crate::gateway::message::Fact;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::Plan;
use crate::gateway::message::PromptShape;
use crate::gateway::message::SendEnd;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::roster::ServerEntry;
use crate::gateway::route::CallerLimits;
use crate::gateway::route::EngineSpec;
use crate::gateway::route::Repeat;
use crate::gateway::route::Route;
use crate::gateway::route::RouteTable;
use crate::gateway::route::Service;
use crate::gateway::settings::Bounds;
use crate::metrics::Metrics;

/// Delay of datagrams, requests and answers, in ms.
const DELAY_MS: f64 = 1.0;
/// Time by which an engine may carry an order out late.
const LATE_ORDER: Millis = Millis(1_500);
/// Share of a request's value that is left if it is late.
const LATE_VALUE: f64 = 0.25;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub target_ms: u64,
    pub gap_ms: u64,
    pub deadline_ms: u64,
    pub value: f64,
    pub mean_tokens: f64,
    /// Standard deviation of the logarithm of the length.
    pub spread: f64,
    pub max_tokens: f64,
    pub events: f64,
    /// Requests a second.
    pub rate: f64,
}

/// Span in which classes come with other rates.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    pub until_ms: f64,
    /// Factor of each class's rate.
    pub factors: [f64; 3],
}

pub const CLASSES: [Class; 3] = [
    Class {
        name: "short",
        target_ms: 300,
        gap_ms: 250,
        deadline_ms: 10_000,
        value: 1.3,
        mean_tokens: 5_000.0,
        spread: 0.75,
        max_tokens: 23_800.0,
        events: 32.0,
        rate: 38.0,
    },
    Class {
        name: "medium",
        target_ms: 1_500,
        gap_ms: 600,
        deadline_ms: 10_000,
        value: 3.9,
        mean_tokens: 45_000.0,
        spread: 0.47,
        max_tokens: 110_000.0,
        events: 19.0,
        rate: 2.1,
    },
    Class {
        name: "long",
        target_ms: 2_500,
        gap_ms: 1_000,
        deadline_ms: 15_000,
        value: 15.0,
        mean_tokens: 133_000.0,
        spread: 0.5,
        max_tokens: 600_000.0,
        events: 16.0,
        rate: 1.8,
    },
];

pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 232_000,
        step_ms: 1.0,
        step_per_writer_ms: 0.002,
        step_per_kilotoken_ms: 0.004,
        read_tokens_per_ms: 200.0,
        attention_ms_per_mpair: 0.14,
        chunk_tokens: 2_048,
        steps_per_pass: 43,
        hop_ms: 0.0,
        usual_output_tokens: 1_300,
    }
}

/// Returns the routing table of one service with all classes.
pub fn table() -> RouteTable {
    let mut table = RouteTable {
        version: 1,
        limits: CallerLimits::default(),
        ..RouteTable::default()
    };
    table.services.insert(
        "engines".to_owned(),
        Service {
            name: "engines".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 400,
            cold_rate: 0.0,
            engine: Some(spec()),
        },
    );
    for class in CLASSES {
        let route = Route {
            name: class.name.to_owned(),
            prefix: format!("/{}/", class.name),
            repeat: Repeat::Resume,
            streaming: true,
            time_limit: Millis(class.deadline_ms),
            target_latency: Millis(class.target_ms),
            target_gap: Some(Millis(class.gap_ms)),
            rank: 1,
            split: vec![("engines".to_owned(), 1)],
            max_sends: 2,
            anonymous: false,
        };
        table.insert("host".to_owned(), route);
    }
    table
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Open,
    InTime,
    Late,
    Refused,
    Failed,
}

#[derive(Debug, Clone)]
pub struct Request {
    pub class: usize,
    pub tokens: f64,
    pub events: u32,
    pub arrived: f64,
    pub outcome: Outcome,
    core: usize,
    first: Option<f64>,
    last_event: f64,
    longest_gap: f64,
    seen: u32,
    /// Number of its send that runs now.
    send: u32,
}

impl Request {
    /// Returns what it is worth to its caller in time.
    pub fn value(&self) -> f64 {
        let class = CLASSES[self.class];
        let size = 0.3 + 0.7 * self.tokens / class.mean_tokens;
        class.value * size.min(4.0)
    }

    pub fn earned(&self) -> f64 {
        match self.outcome {
            Outcome::InTime => self.value(),
            Outcome::Late => self.value() * LATE_VALUE,
            _ => 0.0,
        }
    }
}

#[derive(Debug)]
struct Job {
    request: usize,
    send: u32,
    helper: bool,
    unread: f64,
    read: f64,
    share: f64,
    whole: f64,
    held: f64,
    admitted: bool,
    reading: f64,
    writing: bool,
}

#[derive(Debug, Default)]
struct Engine {
    jobs: Vec<Job>,
    /// Memory that reservations hold, by request.
    reserved: BTreeMap<usize, f64>,
    busy_until: Option<f64>,
}

#[derive(Debug)]
enum Event {
    Submit(usize),
    Input(usize, Input),
    Arrive(usize, Job),
    PassEnds(usize),
    Due(usize, u32, u32),
    AnswerDue(usize, u32),
    Tick,
}

/// Who chooses engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The cores.
    Cores,
    /// One engine after the other.
    RoundRobin,
    /// The engine with the fewest requests.
    FewestRequests,
}

pub struct World {
    policy: Policy,
    pub requests: Vec<Request>,
    cores: Vec<Core>,
    engines: Vec<Engine>,
    spec: EngineSpec,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    now: f64,
    /// Parts that are not read yet, by request and send.
    parts_left: HashMap<(usize, u32), usize>,
    plans: HashMap<usize, Plan>,
}

impl World {
    pub fn new(policy: Policy, cores: usize, engines: usize) -> World {
        let mut world = World {
            policy,
            requests: Vec::new(),
            cores: (0..cores).map(core).collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            spec: spec(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            now: 0.0,
            parts_left: HashMap::new(),
            plans: HashMap::new(),
        };
        let mut facts = vec![Fact::Routes(Arc::new(table()))];
        facts.extend((0..engines).map(|at| Fact::Server(entry(at))));
        facts.extend((0..cores).map(|at| {
            Fact::Instance(Member {
                name: name(at),
                addr: name(at),
            })
        }));
        for at in 0..cores {
            let input = Input::Facts {
                proved_at: Some(Millis::ZERO),
                config_revision: 1,
                entries_digest: 0,
                facts: facts.clone(),
            };
            world.push(0.0, Event::Input(at, input));
        }
        world.push(0.0, Event::Tick);
        world
    }

    /// Adds requests of all classes by chance, for the phases' spans.
    pub fn load(&mut self, seed: u64, scale: f64, phases: &[Phase]) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for (class, spec) in CLASSES.iter().enumerate() {
            let mut from = 1_000.0;
            for phase in phases {
                let rate = spec.rate * phase.factors[class] * scale / 1_000.0;
                let mut at = from;
                loop {
                    at -= (1.0 - rng.random::<f64>()).ln() / rate;
                    if at >= phase.until_ms {
                        break;
                    }
                    self.add(&mut rng, class, at);
                }
                from = phase.until_ms;
            }
        }
    }

    fn add(&mut self, rng: &mut impl Rng, class: usize, at: f64) {
        let spec = CLASSES[class];
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let tokens = (spec.mean_tokens.ln() - spec.spread.powi(2) / 2.0 + normal * spec.spread)
            .exp()
            .clamp(500.0, spec.max_tokens);
        let events = (spec.events * (0.4 + 1.2 * rng.random::<f64>())).max(2.0) as u32;
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            tokens,
            events,
            arrived: at,
            outcome: Outcome::Open,
            core: rng.random_range(0..self.cores.len()),
            first: None,
            last_event: 0.0,
            longest_gap: 0.0,
            seen: 0,
            send: 0,
        });
        self.push(at, Event::Submit(request));
    }

    pub fn run(&mut self, until: f64) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at as f64 / 1_000.0;
            if self.now > until {
                return;
            }
            let event = self.events.remove(&id).unwrap();
            self.handle(event);
        }
    }

    /// Returns what was earned of what could be, in all and by class.
    pub fn earned(&self) -> (f64, [f64; 3]) {
        let mut earned = [0.0; 3];
        let mut owed = [0.0; 3];
        for request in &self.requests {
            earned[request.class] += request.earned();
            owed[request.class] += request.value();
        }
        let share = [0, 1, 2].map(|class| earned[class] / owed[class]);
        (earned.iter().sum::<f64>() / owed.iter().sum::<f64>(), share)
    }

    fn push(&mut self, at: f64, event: Event) {
        let id = self.next;
        self.next += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse(((at * 1_000.0) as u64, id)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(request) => self.submit(request),
            Event::Input(core, input) => self.input(core, input),
            Event::Arrive(engine, job) => {
                self.engines[engine].jobs.push(job);
                if self.engines[engine].busy_until.is_none() {
                    self.begin_pass(engine);
                }
            }
            Event::PassEnds(engine) => self.end_pass(engine),
            Event::Due(request, send, seen) => self.due(request, send, seen),
            Event::AnswerDue(request, send) => {
                let seen = self.requests[request].seen;
                self.due(request, send, seen);
            }
            Event::Tick => {
                for core in 0..self.cores.len() {
                    self.input(core, Input::Tick);
                    let input = Input::Facts {
                        proved_at: Some(Millis(self.now as u64)),
                        config_revision: 1,
                        entries_digest: 0,
                        facts: Vec::new(),
                    };
                    self.input(core, input);
                }
                self.push(self.now + 25.0, Event::Tick);
            }
        }
    }

    fn submit(&mut self, at: usize) {
        let request = &self.requests[at];
        let class = CLASSES[request.class];
        let engines = 0..self.engines.len();
        let engine = match self.policy {
            Policy::Cores => None,
            Policy::RoundRobin => Some(at % self.engines.len()),
            Policy::FewestRequests => engines.min_by_key(|&e| self.engines[e].jobs.len()),
        };
        if let Some(engine) = engine {
            let plan = plain_plan(engine, self.now, class);
            return self.send(at, plan);
        }
        let submission = Submission {
            head: CallerHead {
                request_id: format!("r{at}"),
                deadline: Some(Millis(class.deadline_ms)),
                prompt: Some(PromptShape {
                    prompt_tokens: request.tokens as u64,
                    max_output_tokens: u64::from(request.events) * 60,
                    expected_output_tokens: Some(u64::from(request.events) * 43),
                }),
                ..CallerHead::default()
            },
            host: "host".to_owned(),
            path: format!("/{}/x", class.name),
            arrived: Millis(self.now as u64),
            fingerprint: at as u64,
        };
        self.input(request.core, Input::Submit(Ticket(at as u64), submission));
    }

    fn input(&mut self, core: usize, input: Input) {
        let outputs = self.cores[core].handle(Millis(self.now as u64), input);
        for output in outputs {
            match output {
                Output::Tell(addrs, message) => {
                    for addr in addrs.iter() {
                        let to = addr[1..].parse().unwrap();
                        let input = Input::Peer(message.clone());
                        self.push(self.now + DELAY_MS, Event::Input(to, input));
                    }
                }
                Output::Send(ticket, plan) => self.send(ticket.0 as usize, plan),
                Output::Refuse(ticket, _) => {
                    let request = &mut self.requests[ticket.0 as usize];
                    request.outcome = match request.first {
                        None => Outcome::Refused,
                        Some(_) => Outcome::Failed,
                    };
                }
                Output::PassFailure(_)
                | Output::Ready(_)
                | Output::Limits(_)
                | Output::Watch(_) => {}
            }
        }
    }

    fn send(&mut self, at: usize, plan: Plan) {
        self.requests[at].send += 1;
        let send = self.requests[at].send;
        if !self.reserve(at, &plan) {
            self.ended(at, SendEnd::NoMemory);
            return;
        }
        let request = &self.requests[at];
        let whole = request.tokens;
        let first = engine_of(&plan.addr);
        let helpers: Vec<usize> = plan
            .parts
            .iter()
            .map(|part| engine_of(&part.addr))
            .filter(|&engine| engine != first)
            .collect();
        let share = whole / (helpers.len() + 1) as f64;
        let reserved: u64 = plan.reservations.iter().map(|r| r.tokens).sum();
        let job = |helper: bool| Job {
            request: at,
            send,
            helper,
            unread: share,
            read: 0.0,
            share,
            whole,
            held: match (helper, reserved) {
                (false, 0) => whole,
                _ => 0.0,
            },
            admitted: helper,
            reading: 0.0,
            writing: false,
        };
        self.parts_left.insert((at, send), helpers.len() + 1);
        self.push(self.now + DELAY_MS, Event::Arrive(first, job(false)));
        for engine in helpers {
            self.push(self.now + DELAY_MS, Event::Arrive(engine, job(true)));
        }
        let due = plan.output_due.0 as f64;
        let seen = self.requests[at].seen;
        self.push(due, Event::Due(at, send, seen));
        self.push(plan.answer_due.0 as f64, Event::AnswerDue(at, send));
        self.plans.insert(at, plan);
    }

    fn reserve(&mut self, at: usize, plan: &Plan) -> bool {
        for reservation in &plan.reservations {
            // A send that an engine does not begin gives its memory back before it
            // counts as idle for too long: after 9 s.
            assert!((plan.output_due.0 as f64) < self.now + 9_000.0);
            // Should the instance die now, and its order be carried out late, the
            // memory is free again before it counts as leaked.
            assert!(reservation.hold + LATE_ORDER < reservation.free_limit);
            let engine = engine_of(&reservation.addr);
            let free = self.free_memory(engine);
            let core = self.requests[at].core;
            let enough = free >= reservation.tokens as f64;
            let left = if enough {
                free - reservation.tokens as f64
            } else {
                free
            };
            let input = Input::MemorySeen {
                addr: reservation.addr.clone(),
                free: left.max(0.0) as u64,
            };
            self.push(self.now, Event::Input(core, input));
            if !enough {
                self.release(at);
                return false;
            }
            self.engines[engine]
                .reserved
                .insert(at, reservation.tokens as f64);
        }
        true
    }

    fn free_memory(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        let held: f64 = engine
            .jobs
            .iter()
            .filter(|job| job.admitted)
            .map(|job| job.held)
            .sum();
        self.spec.memory_tokens as f64 - held - engine.reserved.values().sum::<f64>()
    }

    fn release(&mut self, at: usize) {
        for engine in &mut self.engines {
            engine.reserved.remove(&at);
        }
    }

    fn ended(&mut self, at: usize, end: SendEnd) {
        for engine in &mut self.engines {
            engine.jobs.retain(|job| job.request != at);
        }
        self.release(at);
        let core = self.requests[at].core;
        self.push(
            self.now,
            Event::Input(core, Input::Ended(Ticket(at as u64), end)),
        );
    }

    /// The forwarder gives a send up that was silent for too long.
    fn due(&mut self, at: usize, send: u32, seen: u32) {
        let request = &self.requests[at];
        if request.outcome == Outcome::Open && request.send == send && request.seen == seen {
            if self.policy != Policy::Cores {
                self.requests[at].outcome = Outcome::Failed;
            }
            self.ended(at, SendEnd::Silent);
        }
    }

    fn begin_pass(&mut self, at: usize) {
        let free = self.free_memory(at);
        let spec = self.spec;
        let engine = &mut self.engines[at];
        let mut slots = spec.slots as usize
            - engine
                .jobs
                .iter()
                .filter(|j| j.admitted && !j.helper)
                .count();
        let mut free = free;
        for job in engine.jobs.iter_mut().filter(|job| !job.admitted) {
            if slots == 0 || job.held > free {
                break;
            }
            job.admitted = true;
            slots -= 1;
            free -= job.held;
        }
        let writers = engine.jobs.iter().filter(|job| job.writing).count();
        let context: f64 = engine
            .jobs
            .iter()
            .filter(|job| job.writing)
            .map(|job| job.whole)
            .sum();
        let steps = if writers > 0 {
            f64::from(spec.steps_per_pass)
        } else {
            1.0
        };
        let step = spec.step_ms
            + writers as f64 * spec.step_per_writer_ms
            + context / 1e3 * spec.step_per_kilotoken_ms;
        let mut ms = steps * step;
        let mut budget = steps * spec.chunk_tokens as f64;
        let mut any = writers > 0;
        // Parts of split prompts go first, the newest of them ahead.
        let is_split = |job: &Job| job.share < job.whole;
        let jobs = &mut engine.jobs;
        let mut order: Vec<usize> = (0..jobs.len())
            .rev()
            .filter(|&i| is_split(&jobs[i]))
            .collect();
        order.extend((0..jobs.len()).filter(|&i| !is_split(&jobs[i])));
        for i in order {
            let job = &mut jobs[i];
            job.reading = 0.0;
            if !job.admitted || job.unread <= 0.5 {
                continue;
            }
            job.reading = job.unread.min(budget);
            budget -= job.reading;
            let behind = if is_split(job) {
                job.whole / 2.0
            } else {
                job.read + job.reading / 2.0
            };
            ms += job.reading / spec.read_tokens_per_ms
                + job.reading * behind / 1e6 * spec.attention_ms_per_mpair;
            any |= job.reading > 0.0;
        }
        engine.busy_until = any.then_some(self.now + ms);
        if any {
            self.push(self.now + ms, Event::PassEnds(at));
        }
    }

    fn end_pass(&mut self, at: usize) {
        let mut read = Vec::new();
        let mut written = Vec::new();
        for job in &mut self.engines[at].jobs {
            if job.writing {
                written.push((job.request, job.send));
            }
            if job.reading > 0.0 {
                job.unread -= job.reading;
                job.read += job.reading;
                job.reading = 0.0;
                if job.unread <= 0.5 {
                    read.push((job.request, job.send));
                }
            }
        }
        self.engines[at]
            .jobs
            .retain(|job| !job.helper || job.unread > 0.5);
        for (request, send) in written {
            self.event(request, send);
        }
        for key in read {
            let left = self.parts_left.entry(key).or_default();
            *left = left.saturating_sub(1);
            if *left == 0 {
                self.begin_writing(key);
            }
        }
        self.begin_pass(at);
    }

    fn begin_writing(&mut self, (request, send): (usize, u32)) {
        let mut wakes = None;
        for (at, engine) in self.engines.iter_mut().enumerate() {
            let found = engine
                .jobs
                .iter_mut()
                .find(|job| job.request == request && job.send == send && !job.helper);
            if let Some(job) = found {
                job.writing = true;
                wakes = engine.busy_until.is_none().then_some(at);
            }
        }
        self.event(request, send);
        if let Some(engine) = wakes {
            self.begin_pass(engine);
        }
    }

    fn event(&mut self, at: usize, send: u32) {
        let now = self.now;
        let request = &mut self.requests[at];
        if request.outcome != Outcome::Open || request.send != send {
            return;
        }
        request.seen += 1;
        match request.first {
            None => request.first = Some(now),
            Some(_) => request.longest_gap = request.longest_gap.max(now - request.last_event),
        }
        request.last_event = now;
        let (core, seen) = (request.core, request.seen);
        if seen >= request.events {
            let class = CLASSES[request.class];
            let waited = request.first.unwrap_or(now) - request.arrived;
            let in_time =
                waited <= class.target_ms as f64 && request.longest_gap <= class.gap_ms as f64;
            request.outcome = if in_time {
                Outcome::InTime
            } else {
                Outcome::Late
            };
            self.ended(at, SendEnd::Whole);
            return;
        }
        let silence = self.plans[&at].silence.0 as f64;
        self.push(now + silence, Event::Due(at, send, seen));
        self.push(
            now + DELAY_MS,
            Event::Input(core, Input::Started(Ticket(at as u64))),
        );
    }
}

/// Returns the plan of a policy that neither splits prompts nor gives up.
fn plain_plan(engine: usize, now: f64, class: Class) -> Plan {
    let due = Millis(now as u64 + class.deadline_ms);
    Plan {
        send: 0,
        addr: entry(engine).addr,
        server_id: entry(engine).id,
        max_connections: 100,
        parts: Vec::new(),
        reservations: Vec::new(),
        urgency: None,
        workspace: String::new(),
        answer_due: due,
        output_due: due,
        silence: Millis(class.deadline_ms),
        resumable: true,
        streaming: true,
        retry_failures: false,
    }
}

fn name(at: usize) -> String {
    format!("c{at}")
}

fn core(at: usize) -> Core {
    let me = Me {
        name: name(at),
        domain: "a".to_owned(),
        addr: name(at),
    };
    Core::new(me, Bounds::default(), Arc::new(Metrics::new()))
}

fn entry(at: usize) -> ServerEntry {
    ServerEntry {
        id: format!("e{at}"),
        service: "engines".to_owned(),
        addr: format!("10.0.0.{}:80", at + 1),
        domain: "a".to_owned(),
        slots: 16,
        draining: false,
        cold_left: Millis::ZERO,
        started_unix_ms: 0,
    }
}

fn engine_of(addr: &str) -> usize {
    let last = addr.split(':').next().unwrap().rsplit('.').next().unwrap();
    last.parse::<usize>().unwrap() - 1
}
