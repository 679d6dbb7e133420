//! Simulates a fleet of engines driven by several cores.
//!
//! The engine model is written independently of the forecast that it checks:
//! engines run forward passes, admit requests by memory and report each event.
//! An engine that begins to answer a prompt with the crashing part ends, breaks
//! off all its requests and is replaced a few seconds later. Engines may name a
//! rate limit when they begin to answer. Datagrams between cores are delivered
//! after one millisecond.

mod faults;
mod links;

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
use crate::gateway::core::LocalInstance;
use crate::gateway::datagram;
use crate::gateway::message::AttemptEnd;
use crate::gateway::message::AttemptNumber;
use crate::gateway::message::AttemptPlan;
use crate::gateway::message::Input;
use crate::gateway::message::Output;
use crate::gateway::message::PromptPart;
use crate::gateway::message::PromptShape;
use crate::gateway::message::RequestHead;
use crate::gateway::message::ServerNotice;
use crate::gateway::message::StoreUpdate;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::message::TimeLimit;
use crate::gateway::route::CallerLimits;
use crate::gateway::route::EngineSpec;
use crate::gateway::route::Route;
use crate::gateway::route::RouteTable;
use crate::gateway::route::RunPolicy;
use crate::gateway::route::Service;
use crate::gateway::server_table::ServerEntry;
use crate::gateway::settings::Bounds;
use crate::metrics::Metrics;
use crate::verdict::Reason;

pub use self::faults::Fault;
pub use self::links::Cut;

/// Network delay of datagrams, requests and responses, in ms.
const NETWORK_DELAY_MS: f64 = 1.0;
/// Maximum delay with which an engine executes an order.
const MAX_ORDER_DELAY: Millis = Millis(1_500);
/// Time after which an engine that crashed is replaced by a new one.
const RESTART_MS: f64 = 2_500.0;
/// Fraction of a request's utility that remains if it is late.
const LATE_UTILITY_FRACTION: f64 = 0.25;

/// A class of requests with one workload profile.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub target_ms: u64,
    /// Target for the longest gap between two events.
    pub gap_ms: u64,
    pub deadline_ms: u64,
    /// Utility of a prompt of mean length, answered in time.
    pub utility: f64,
    /// Mean prompt length, in tokens.
    pub mean_tokens: f64,
    /// Standard deviation of the logarithm of the prompt length.
    pub log_std_dev: f64,
    pub max_tokens: f64,
    /// Mean number of events of an answer.
    pub events: f64,
    /// Requests per second.
    pub rate: f64,
}

/// A phase of the workload in which the classes' rates are scaled.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    pub until_ms: f64,
    /// Factor for the rate of each class.
    pub factors: [f64; 3],
}

/// A workload: its classes, and the engines that it is meant for.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    pub classes: [Class; 3],
    pub spec: EngineSpec,
    /// Standard deviation of the logarithm of the factor by which callers
    /// misjudge the length of their answers.
    pub hint_error: f64,
}

/// Prompts of up to 600,000 tokens; the lengths of answers are known.
pub const MIXED: Profile = Profile {
    classes: CLASSES,
    spec: ENGINE,
    hint_error: 0.0,
};

/// Prompts of up to a million tokens, whose parts take an engine longer than
/// streams may pause; callers often misjudge the length of their answers.
pub const LONG_TAIL: Profile = Profile {
    classes: [
        Class {
            target_ms: 250,
            gap_ms: 200,
            utility: 1.9,
            rate: 100.0,
            ..CLASSES[0]
        },
        Class {
            gap_ms: 500,
            utility: 1.9,
            rate: 16.0,
            ..CLASSES[1]
        },
        Class {
            target_ms: 8_000,
            gap_ms: 800,
            utility: 11.0,
            mean_tokens: 300_000.0,
            max_tokens: 1_000_000.0,
            rate: 2.7,
            ..CLASSES[2]
        },
    ],
    spec: EngineSpec {
        slots: 12,
        memory_tokens: 382_500,
        step_per_decode_ms: 0.005,
        step_per_kilotoken_ms: 0.0025,
        prefill_tokens_per_ms: 256.0,
        attention_ms_per_mpair: 0.09,
        steps_per_pass: 52,
        mean_output_tokens: 1_600,
        ..ENGINE
    },
    hint_error: 0.5,
};

const CLASSES: [Class; 3] = [
    Class {
        name: "short",
        target_ms: 300,
        gap_ms: 250,
        deadline_ms: 10_000,
        utility: 1.3,
        mean_tokens: 5_000.0,
        log_std_dev: 0.75,
        max_tokens: 23_800.0,
        events: 32.0,
        rate: 38.0,
    },
    Class {
        name: "medium",
        target_ms: 1_500,
        gap_ms: 600,
        deadline_ms: 10_000,
        utility: 3.9,
        mean_tokens: 45_000.0,
        log_std_dev: 0.47,
        max_tokens: 110_000.0,
        events: 19.0,
        rate: 2.1,
    },
    Class {
        name: "long",
        target_ms: 2_500,
        gap_ms: 1_000,
        deadline_ms: 15_000,
        utility: 15.0,
        mean_tokens: 133_000.0,
        log_std_dev: 0.5,
        max_tokens: 600_000.0,
        events: 16.0,
        rate: 1.8,
    },
];

const ENGINE: EngineSpec = EngineSpec {
    slots: 16,
    memory_tokens: 232_000,
    step_ms: 1.0,
    step_per_decode_ms: 0.002,
    step_per_kilotoken_ms: 0.004,
    prefill_tokens_per_ms: 200.0,
    attention_ms_per_mpair: 0.14,
    chunk_tokens: 2_048,
    steps_per_pass: 43,
    remote_kv_step_ms: 0.0,
    mean_output_tokens: 1_300,
};

pub fn engine_spec() -> EngineSpec {
    ENGINE
}

/// Returns the routing table of one service with a route per class.
pub fn route_table() -> RouteTable {
    profile_table(&MIXED)
}

fn profile_table(profile: &Profile) -> RouteTable {
    let mut table = RouteTable {
        version: 1,
        limits: CallerLimits::default(),
        ..RouteTable::default()
    };
    table.services.insert(
        "engines".to_owned(),
        Service {
            name: "engines".to_owned(),
            probe_path: "/health".to_owned(),
            max_connections: 400,
            cold_requests_per_s: 0.0,
            engine: Some(profile.spec),
        },
    );
    for class in profile.classes {
        let route = Route {
            name: class.name.to_owned(),
            prefix: format!("/{}/", class.name),
            run_policy: RunPolicy::Resumable,
            streaming: true,
            time_limit: Millis(class.deadline_ms),
            target_latency: Millis(class.target_ms),
            target_gap: Some(Millis(class.gap_ms)),
            priority: 1,
            weighted_services: vec![("engines".to_owned(), 1)],
            max_attempts: 2,
            anonymous: false,
        };
        table.insert("host".to_owned(), route);
    }
    table
}

/// Returns an approximately normally distributed number: the sum of twelve
/// uniform ones.
fn random_normal(rng: &mut impl Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// Outcome of a request.
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
    profile: Class,
    /// Prompt tokens.
    pub tokens: f64,
    pub events: u32,
    /// Number of events that its caller expects.
    expected_events: u32,
    pub arrived: f64,
    pub outcome: Outcome,
    /// Why it was refused.
    pub refusal: Option<Reason>,
    /// Parts of the prompt that other requests share.
    pub shared_parts: Vec<PromptPart>,
    /// Key that its caller sends, if the configuration has keys.
    pub key: Option<&'static str>,
    pub core: usize,
    /// When the first event arrived, in ms.
    pub first_event: Option<f64>,
    /// When the latest event arrived, in ms.
    last_event: f64,
    /// Longest gap between two events, in ms.
    longest_gap: f64,
    events_received: u32,
    /// Numbers of its attempts in progress.
    live_attempts: Vec<u32>,
}

impl Request {
    /// Returns its utility if it is served in time.
    pub fn utility(&self) -> f64 {
        let class = self.profile;
        let size = 0.3 + 0.7 * self.tokens / class.mean_tokens;
        class.utility * size.min(4.0)
    }

    pub fn achieved_utility(&self) -> f64 {
        match self.outcome {
            Outcome::InTime => self.utility(),
            Outcome::Late => self.utility() * LATE_UTILITY_FRACTION,
            _ => 0.0,
        }
    }
}

#[derive(Debug)]
struct Job {
    request: usize,
    attempt: u32,
    helper: bool,
    prefill_left: f64,
    prefilled_tokens: f64,
    part_tokens: f64,
    prompt_tokens: f64,
    memory_tokens: f64,
    admitted: bool,
    pass_prefill_tokens: f64,
    decoding: bool,
}

#[derive(Debug, Default)]
pub struct Engine {
    jobs: Vec<Job>,
    /// Memory held by reservations, by request.
    reserved: BTreeMap<(usize, u32), f64>,
    busy_until: Option<f64>,
    /// Number of crashes.
    crashes: u32,
    /// Until when it is down after a crash.
    down_until: f64,
    /// Requests per second that it accepts, and when it names this limit.
    pub rate_limit: Option<(f64, std::ops::Range<f64>)>,
    /// When requests were sent to it, and by which core.
    pub sent: Vec<(f64, usize)>,
    /// When each core first got an answer that names the limit.
    pub told: BTreeMap<usize, f64>,
}

#[derive(Debug)]
enum Event {
    Submit(usize),
    Input {
        core: usize,
        input: Input,
    },
    Arrive {
        engine: usize,
        /// Number of crashes of the engine when the request was sent.
        crashes: u32,
        job: Job,
    },
    PassEnds {
        engine: usize,
        crashes: u32,
    },
    CutBegins {
        core: usize,
        cut: Cut,
    },
    CutEnds(usize),
    /// Open connections of a core that is cut off break.
    ConnectionsBreak(usize),
    AttemptEnds {
        request: usize,
        attempt: u32,
        end: AttemptEnd,
    },
    Crash(usize),
    Restart(usize),
    Kill(usize),
    OutputDue {
        request: usize,
        attempt: u32,
        events_received: u32,
    },
    ResponseDue {
        request: usize,
        attempt: u32,
    },
    Tick,
}

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Placement by the cores.
    Cores,
    /// One engine after the other.
    RoundRobin,
    /// The engine with the fewest requests.
    FewestRequests,
}

pub struct Simulation {
    policy: Policy,
    pub requests: Vec<Request>,
    cores: Vec<Core>,
    pub engines: Vec<Engine>,
    profile: Profile,
    spec: EngineSpec,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event_id: u64,
    now: f64,
    /// Prompt parts that are not prefilled yet, by request and attempt.
    parts_left: HashMap<(usize, u32), usize>,
    /// Cores that are cut off from all engines.
    cuts: Vec<Option<Cut>>,
    faults: Vec<faults::CoreFault>,
    /// Number of the attempt that relays a request, by request and receiving
    /// core.
    relays: HashMap<(usize, usize), u32>,
    /// Part that crashes each engine that begins to answer a prompt with it.
    pub crashing_part: Option<PromptPart>,
    /// When engines crashed because of that part.
    pub part_crashes: Vec<f64>,
    /// When attempts with that part were sent to engines.
    pub part_attempts: Vec<f64>,
}

impl Simulation {
    pub fn new(policy: Policy, cores: usize, engines: usize) -> Simulation {
        Simulation::with_profile(policy, cores, engines, &MIXED)
    }

    /// Creates a fleet for a workload.
    pub fn with_profile(
        policy: Policy,
        cores: usize,
        engines: usize,
        profile: &Profile,
    ) -> Simulation {
        let routes = profile_table(profile);
        Simulation::with_routes(policy, cores, engines, profile, routes)
    }

    /// Creates a fleet whose cores have this configuration.
    pub fn with_routes(
        policy: Policy,
        cores: usize,
        engines: usize,
        profile: &Profile,
        routes: RouteTable,
    ) -> Simulation {
        let mut simulation = Simulation {
            policy,
            requests: Vec::new(),
            cores: (0..cores).map(core).collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            profile: *profile,
            spec: profile.spec,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event_id: 0,
            now: 0.0,
            parts_left: HashMap::new(),
            cuts: vec![None; cores],
            faults: Vec::new(),
            relays: HashMap::new(),
            crashing_part: None,
            part_crashes: Vec::new(),
            part_attempts: Vec::new(),
        };
        let mut updates = vec![StoreUpdate::Routes(Arc::new(routes))];
        updates.extend((0..engines).map(|index| StoreUpdate::Server(entry(index, 0))));
        updates.extend((0..cores).map(|index| {
            StoreUpdate::Instance(super::core::member(&core_name(index), &core_name(index)))
        }));
        for index in 0..cores {
            let input = Input::StoreUpdates {
                proved_at: Some(Millis::ZERO),
                shown_version: Some(1),
                config_position: super::core::position(1),
                updates: updates.clone(),
            };
            simulation.push(0.0, Event::Input { core: index, input });
        }
        simulation.push(0.0, Event::Tick);
        simulation
    }

    /// Adds requests of all classes with random (Poisson) arrivals during the
    /// phases.
    pub fn add_workload(&mut self, seed: u64, scale: f64, phases: &[Phase]) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for (class, profile) in self.profile.classes.into_iter().enumerate() {
            let mut from = 1_000.0;
            for phase in phases {
                let rate = profile.rate * phase.factors[class] * scale / 1_000.0;
                let mut at = from;
                loop {
                    at -= (1.0 - rng.random::<f64>()).ln() / rate;
                    if at >= phase.until_ms {
                        break;
                    }
                    self.add_request(&mut rng, class, at);
                }
                from = phase.until_ms;
            }
        }
    }

    fn add_request(&mut self, rng: &mut impl Rng, class: usize, at: f64) {
        let profile = self.profile.classes[class];
        let normal = random_normal(rng);
        let tokens = (profile.mean_tokens.ln() - profile.log_std_dev.powi(2) / 2.0
            + normal * profile.log_std_dev)
            .exp()
            .clamp(500.0, profile.max_tokens);
        let events = (profile.events * (0.4 + 1.2 * rng.random::<f64>())).max(2.0) as u32;
        let expected_events = match self.profile.hint_error {
            0.0 => events,
            error => (f64::from(events) * (random_normal(rng) * error).exp()).max(1.0) as u32,
        };
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            profile,
            tokens,
            events,
            expected_events,
            arrived: at,
            outcome: Outcome::Open,
            refusal: None,
            shared_parts: Vec::new(),
            key: None,
            core: rng.random_range(0..self.cores.len()),
            first_event: None,
            last_event: 0.0,
            longest_gap: 0.0,
            events_received: 0,
            live_attempts: Vec::new(),
        });
        self.push(at, Event::Submit(request));
    }

    pub fn run(&mut self, until: f64) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at as f64 / 1_000.0;
            if self.now > until {
                return;
            }
            let Some(event) = self.events.remove(&id) else {
                continue;
            };
            self.handle(event);
        }
    }

    /// Returns the achieved fraction of the possible utility, overall and by
    /// class.
    pub fn utility_fraction(&self) -> (f64, [f64; 3]) {
        let mut achieved = [0.0; 3];
        let mut possible = [0.0; 3];
        for request in &self.requests {
            achieved[request.class] += request.achieved_utility();
            possible[request.class] += request.utility();
        }
        let share = [0, 1, 2].map(|class| achieved[class] / possible[class]);
        (
            achieved.iter().sum::<f64>() / possible.iter().sum::<f64>(),
            share,
        )
    }

    fn push(&mut self, at: f64, event: Event) {
        let id = self.next_event_id;
        self.next_event_id += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse(((at * 1_000.0) as u64, id)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(request) => self.submit(request),
            Event::Input { core, input } => self.handle_input(core, input),
            Event::Arrive {
                engine,
                crashes,
                job,
            } => {
                let live_attempts = &self.requests[job.request].live_attempts;
                if !live_attempts.contains(&job.attempt) {
                    return;
                }
                if self.engines[engine].crashes != crashes {
                    return self.end_attempt(job.request, job.attempt, AttemptEnd::Broken);
                }
                self.engines[engine].jobs.push(job);
                if self.engines[engine].busy_until.is_none() {
                    self.begin_pass(engine);
                }
            }
            Event::PassEnds { engine, crashes } => {
                if self.engines[engine].crashes == crashes {
                    self.end_pass(engine);
                }
            }
            Event::CutBegins { core, cut } => self.begin_cut(core, cut),
            Event::CutEnds(core) => self.cuts[core] = None,
            Event::ConnectionsBreak(core) => self.break_connections(core),
            Event::AttemptEnds {
                request,
                attempt,
                end,
            } => self.end_attempt(request, attempt, end),
            Event::Crash(engine) => self.crash(engine),
            Event::Restart(engine) => self.restart(engine),
            Event::Kill(core) => self.kill(core),
            Event::OutputDue {
                request,
                attempt,
                events_received,
            } => self.check_output_due(request, attempt, events_received),
            Event::ResponseDue { request, attempt } => {
                let events_received = self.requests[request].events_received;
                self.check_output_due(request, attempt, events_received);
            }
            Event::Tick => {
                for core in 0..self.cores.len() {
                    self.handle_input(core, Input::Tick);
                    self.handle_input(core, self.store_answer(core));
                }
                self.push(self.now + 25.0, Event::Tick);
            }
        }
    }

    fn submit(&mut self, request_index: usize) {
        let class = self.requests[request_index].profile;
        let engines = 0..self.engines.len();
        let engine = match self.policy {
            Policy::Cores => None,
            Policy::RoundRobin => Some(request_index % self.engines.len()),
            Policy::FewestRequests => engines.min_by_key(|&e| self.engines[e].jobs.len()),
        };
        if let Some(engine) = engine {
            let plan = baseline_plan(engine, self.now, class);
            return self.send(request_index, plan);
        }
        let submission = self.submission(request_index);
        let core = self.requests[request_index].core;
        self.handle_input(
            core,
            Input::Submit(Ticket(request_index as u64), submission),
        );
    }

    fn submission(&self, request_index: usize) -> Submission {
        let request = &self.requests[request_index];
        let class = request.profile;
        Submission {
            head: RequestHead {
                shared_parts: request.shared_parts.clone(),
                key: request.key.map(str::to_owned),
                request_id: format!("r{request_index}"),
                deadline: Some(Millis(class.deadline_ms)),
                prompt: Some(PromptShape {
                    prompt_tokens: request.tokens as u64,
                    max_output_tokens: u64::from(request.events.max(request.expected_events)) * 60,
                    expected_output_tokens: Some(
                        u64::from(request.expected_events) * u64::from(self.spec.steps_per_pass),
                    ),
                }),
                ..RequestHead::default()
            },
            host: "host".to_owned(),
            path: format!("/{}/x", class.name),
            arrived: Millis(self.now as u64),
            fingerprint: request_index as u64,
            ..Submission::default()
        }
    }

    fn handle_input(&mut self, core: usize, input: Input) {
        let Some(input) = self.defer_input(core, input) else {
            return;
        };
        let outputs = self.cores[core].handle(Millis(self.now as u64), input);
        for output in outputs {
            match output {
                Output::Broadcast(recipients, message) => {
                    for recipient in recipients.iter() {
                        let to = recipient.addr[1..].parse().unwrap();
                        if self.is_datagram_lost(core, to) {
                            continue;
                        }
                        let sent = datagram::encode(&message, recipient.format).unwrap();
                        let received = datagram::decode(&sent).unwrap().messages.remove(0);
                        let input = super::core::heard(received);
                        self.push(
                            self.now + NETWORK_DELAY_MS,
                            Event::Input { core: to, input },
                        );
                    }
                }
                Output::Send(ticket, plan) => match plan.relay {
                    None => self.send(ticket.0 as usize, plan),
                    Some(_) => self.relay(core, ticket.0 as usize, &plan),
                },
                Output::Refuse(ticket, refusal)
                    if self.requests[ticket.0 as usize].core != core =>
                {
                    self.refuse_relayed(core, ticket.0 as usize, &refusal);
                }
                Output::Refuse(ticket, refusal) => {
                    let request = &mut self.requests[ticket.0 as usize];
                    request.refusal = Some(refusal.reason);
                    request.outcome = match request.first_event {
                        None => Outcome::Refused,
                        Some(_) => Outcome::Failed,
                    };
                }
                Output::Probe {
                    server_id, addr, ..
                } => self.probe(core, server_id, &addr),
                Output::ReadBody(_)
                | Output::ForwardFailure(_)
                | Output::Ready(_)
                | Output::Limits(_)
                | Output::Watch(_) => {}
            }
        }
    }

    fn send(&mut self, request_index: usize, plan: AttemptPlan) {
        let attempt = plan.attempt.0;
        self.requests[request_index].live_attempts.push(attempt);
        let core = self.core_of(request_index, attempt);
        if let Some(cut) = self.cuts[core] {
            return self.send_into_cut(request_index, &plan, cut);
        }
        let helpers = plan.helpers.iter().map(|helper| &helper.addr);
        let mut engines = helpers.chain([&plan.addr]).map(|addr| engine_of(addr));
        if engines.any(|engine| self.now < self.engines[engine].down_until) {
            self.end_attempt(request_index, attempt, AttemptEnd::Unreachable);
            return;
        }
        if !self.reserve(request_index, &plan) {
            self.end_attempt(request_index, attempt, AttemptEnd::NoMemory);
            return;
        }
        self.engines[engine_of(&plan.addr)]
            .sent
            .push((self.now, core));
        if self.is_crashing(request_index) {
            self.part_attempts.push(self.now);
        }
        let request = &self.requests[request_index];
        let prompt_tokens = request.tokens;
        let primary = engine_of(&plan.addr);
        let helpers: Vec<usize> = plan
            .helpers
            .iter()
            .map(|helper| engine_of(&helper.addr))
            .filter(|&engine| engine != primary)
            .collect();
        let part_tokens = prompt_tokens / (helpers.len() + 1) as f64;
        let reserved: u64 = plan.reservations.iter().map(|r| r.tokens).sum();
        let job = |helper: bool| Job {
            request: request_index,
            attempt,
            helper,
            prefill_left: part_tokens,
            prefilled_tokens: 0.0,
            part_tokens,
            prompt_tokens,
            memory_tokens: match (helper, reserved) {
                (false, 0) => prompt_tokens,
                _ => 0.0,
            },
            admitted: helper,
            pass_prefill_tokens: 0.0,
            decoding: false,
        };
        self.parts_left
            .insert((request_index, attempt), helpers.len() + 1);
        self.push(
            self.now + NETWORK_DELAY_MS,
            Event::Arrive {
                engine: primary,
                crashes: self.engines[primary].crashes,
                job: job(false),
            },
        );
        for engine in helpers {
            self.push(
                self.now + NETWORK_DELAY_MS,
                Event::Arrive {
                    engine,
                    crashes: self.engines[engine].crashes,
                    job: job(true),
                },
            );
        }
        self.push_deadlines(request_index, &plan);
    }

    fn push_deadlines(&mut self, request: usize, plan: &AttemptPlan) {
        let attempt = plan.attempt.0;
        let events_received = self.requests[request].events_received;
        self.push(
            plan.first_output_deadline.0 as f64,
            Event::OutputDue {
                request,
                attempt,
                events_received,
            },
        );
        let due = plan.response_deadline.0 as f64;
        self.push(due, Event::ResponseDue { request, attempt });
    }

    fn reserve(&mut self, request_index: usize, plan: &AttemptPlan) -> bool {
        for reservation in &plan.reservations {
            // An attempt that an engine does not start gives its memory back
            // before the memory counts as idle for too long, after 9 s.
            assert!((plan.first_output_deadline.0 as f64) < self.now + 9_000.0);
            // If the instance dies now and the engine executes the order late,
            // the memory is free again before it counts as leaked.
            assert!(reservation.ttl + MAX_ORDER_DELAY < reservation.leak_limit);
            let engine = engine_of(&reservation.addr);
            let free = self.free_memory(engine);
            let core = self.core_of(request_index, plan.attempt.0);
            let enough = free >= reservation.tokens as f64;
            let remaining = if enough {
                free - reservation.tokens as f64
            } else {
                free
            };
            let input = Input::FreeMemoryReported {
                addr: reservation.addr.clone(),
                free: remaining.max(0.0) as u64,
            };
            self.push(self.now, Event::Input { core, input });
            if !enough {
                self.release(request_index, plan.attempt.0);
                return false;
            }
            self.engines[engine]
                .reserved
                .insert((request_index, plan.attempt.0), reservation.tokens as f64);
        }
        true
    }

    fn free_memory(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        let used: f64 = engine
            .jobs
            .iter()
            .filter(|job| job.admitted)
            .map(|job| job.memory_tokens)
            .sum();
        self.spec.memory_tokens as f64 - used - engine.reserved.values().sum::<f64>()
    }

    fn release(&mut self, request_index: usize, attempt: u32) {
        for engine in &mut self.engines {
            engine.reserved.remove(&(request_index, attempt));
        }
    }

    fn end_attempt(&mut self, request_index: usize, attempt: u32, end: AttemptEnd) {
        for engine in &mut self.engines {
            engine
                .jobs
                .retain(|job| (job.request, job.attempt) != (request_index, attempt));
        }
        self.release(request_index, attempt);
        let request = &mut self.requests[request_index];
        request.live_attempts.retain(|&live| live != attempt);
        let core = self.core_of(request_index, attempt);
        self.push_attempt_end(core, request_index, attempt, end);
        if let Some(relay) = self.relay_of(request_index, core)
            && end == AttemptEnd::Whole
        {
            self.push_attempt_end(self.requests[request_index].core, request_index, relay, end);
        }
    }

    fn push_attempt_end(&mut self, core: usize, request: usize, attempt: u32, end: AttemptEnd) {
        let ticket = Ticket(request as u64);
        let input = Input::AttemptEnded(ticket, AttemptNumber(attempt), end);
        self.push(self.now, Event::Input { core, input });
    }

    /// Ends an attempt that has had no output since `events_received`, as the
    /// forwarder does.
    fn check_output_due(&mut self, request_index: usize, attempt: u32, events_received: u32) {
        let request = &self.requests[request_index];
        if request.outcome == Outcome::Open
            && request.live_attempts.contains(&attempt)
            && request.events_received == events_received
        {
            if self.policy != Policy::Cores {
                self.requests[request_index].outcome = Outcome::Failed;
            }
            self.end_attempt(request_index, attempt, AttemptEnd::Silent);
        }
    }

    fn begin_pass(&mut self, engine_index: usize) {
        let free = self.free_memory(engine_index);
        let spec = self.spec;
        let engine = &mut self.engines[engine_index];
        let mut slots = spec.slots as usize
            - engine
                .jobs
                .iter()
                .filter(|j| j.admitted && !j.helper)
                .count();
        let mut free = free;
        for job in engine.jobs.iter_mut().filter(|job| !job.admitted) {
            if slots == 0 || job.memory_tokens > free {
                break;
            }
            job.admitted = true;
            slots -= 1;
            free -= job.memory_tokens;
        }
        let decoding_jobs = engine.jobs.iter().filter(|job| job.decoding).count();
        let context: f64 = engine
            .jobs
            .iter()
            .filter(|job| job.decoding)
            .map(|job| job.prompt_tokens)
            .sum();
        let steps = if decoding_jobs > 0 {
            f64::from(spec.steps_per_pass)
        } else {
            1.0
        };
        let step = spec.step_ms
            + decoding_jobs as f64 * spec.step_per_decode_ms
            + context / 1e3 * spec.step_per_kilotoken_ms;
        let mut duration_ms = steps * step;
        let mut prefill_budget = steps * spec.chunk_tokens as f64;
        let mut has_work = decoding_jobs > 0;
        // Parts of split prompts go first, newest first.
        let is_split = |job: &Job| job.part_tokens < job.prompt_tokens;
        let jobs = &mut engine.jobs;
        let mut order: Vec<usize> = (0..jobs.len())
            .rev()
            .filter(|&i| is_split(&jobs[i]))
            .collect();
        order.extend((0..jobs.len()).filter(|&i| !is_split(&jobs[i])));
        for i in order {
            let job = &mut jobs[i];
            job.pass_prefill_tokens = 0.0;
            if !job.admitted || job.prefill_left <= 0.5 {
                continue;
            }
            job.pass_prefill_tokens = job.prefill_left.min(prefill_budget);
            prefill_budget -= job.pass_prefill_tokens;
            let context_before = if is_split(job) {
                job.prompt_tokens / 2.0
            } else {
                job.prefilled_tokens + job.pass_prefill_tokens / 2.0
            };
            duration_ms += job.pass_prefill_tokens / spec.prefill_tokens_per_ms
                + job.pass_prefill_tokens * context_before / 1e6 * spec.attention_ms_per_mpair;
            has_work |= job.pass_prefill_tokens > 0.0;
        }
        engine.busy_until = has_work.then_some(self.now + duration_ms);
        if has_work {
            let crashes = engine.crashes;
            let ends = Event::PassEnds {
                engine: engine_index,
                crashes,
            };
            self.push(self.now + duration_ms, ends);
        }
    }

    fn end_pass(&mut self, engine_index: usize) {
        let mut prefilled = Vec::new();
        let mut decoded = Vec::new();
        for job in &mut self.engines[engine_index].jobs {
            if job.decoding {
                decoded.push((job.request, job.attempt));
            }
            if job.pass_prefill_tokens > 0.0 {
                job.prefill_left -= job.pass_prefill_tokens;
                job.prefilled_tokens += job.pass_prefill_tokens;
                job.pass_prefill_tokens = 0.0;
                if job.prefill_left <= 0.5 {
                    prefilled.push((job.request, job.attempt));
                }
            }
        }
        self.engines[engine_index]
            .jobs
            .retain(|job| !job.helper || job.prefill_left > 0.5);
        for (request, attempt) in decoded {
            self.receive_event(request, attempt, false);
        }
        for key in prefilled {
            let remaining = self.parts_left.entry(key).or_default();
            *remaining = remaining.saturating_sub(1);
            if *remaining == 0 {
                self.begin_decode(key);
            }
        }
        if self.now >= self.engines[engine_index].down_until {
            self.begin_pass(engine_index);
        }
    }

    fn begin_decode(&mut self, (request, attempt): (usize, u32)) {
        if self.is_crashing(request) {
            let decodes = |engine: &Engine| {
                let mut jobs = engine.jobs.iter();
                jobs.any(|job| (job.request, job.attempt, job.helper) == (request, attempt, false))
            };
            if let Some(engine) = self.engines.iter().position(decodes) {
                self.part_crashes.push(self.now);
                self.crash(engine);
            }
            return;
        }
        let mut idle_engine = None;
        for (engine_index, engine) in self.engines.iter_mut().enumerate() {
            let found = engine
                .jobs
                .iter_mut()
                .find(|job| job.request == request && job.attempt == attempt && !job.helper);
            if let Some(job) = found {
                job.decoding = true;
                idle_engine = engine.busy_until.is_none().then_some(engine_index);
            }
        }
        self.send_notice(request, attempt);
        self.receive_event(request, attempt, true);
        if let Some(engine) = idle_engine {
            self.begin_pass(engine);
        }
    }

    fn receive_event(&mut self, request_index: usize, attempt: u32, is_first: bool) {
        let now = self.now;
        let request = &mut self.requests[request_index];
        if request.outcome != Outcome::Open || !request.live_attempts.contains(&attempt) {
            return;
        }
        let cut = self.cuts[self.core_of(request_index, attempt)];
        if let Some(Cut::Hang | Cut::Silent) = cut {
            return;
        }
        let request = &self.requests[request_index];
        for other in request.live_attempts.clone() {
            if other != attempt {
                self.end_attempt(request_index, other, AttemptEnd::Superseded);
            }
        }
        let request = &mut self.requests[request_index];
        request.events_received += 1;
        match request.first_event {
            None => request.first_event = Some(now),
            Some(_) => request.longest_gap = request.longest_gap.max(now - request.last_event),
        }
        request.last_event = now;
        let events_received = request.events_received;
        if events_received >= request.events {
            let class = request.profile;
            let ttft = request.first_event.unwrap_or(now) - request.arrived;
            let in_time =
                ttft <= class.target_ms as f64 && request.longest_gap <= class.gap_ms as f64;
            request.outcome = if in_time {
                Outcome::InTime
            } else {
                Outcome::Late
            };
            self.end_attempt(request_index, attempt, AttemptEnd::Whole);
            return;
        }
        let core = self.core_of(request_index, attempt);
        self.push_event(core, request_index, attempt, is_first);
        if let Some(relay) = self.relay_of(request_index, core) {
            self.push_event(
                self.requests[request_index].core,
                request_index,
                relay,
                is_first,
            );
        }
    }

    fn push_event(&mut self, core: usize, request: usize, attempt: u32, is_first: bool) {
        let at = self.now + NETWORK_DELAY_MS;
        let (ticket, number) = (Ticket(request as u64), AttemptNumber(attempt));
        let input = match is_first {
            true => Input::FirstOutput(ticket, number),
            false => Input::Progress(ticket, number, Millis(at as u64)),
        };
        self.push(at, Event::Input { core, input });
    }
}

/// Returns the plan of a policy that neither splits prompts nor cancels
/// attempts.
fn baseline_plan(engine: usize, now: f64, class: Class) -> AttemptPlan {
    let due = Millis(now as u64 + class.deadline_ms);
    AttemptPlan {
        attempt: AttemptNumber::default(),
        addr: entry(engine, 0).addr,
        server_id: entry(engine, 0).id,
        relay: None,
        max_connections: 100,
        helpers: Vec::new(),
        reservations: Vec::new(),
        engine_priority: None,
        workspace: String::new(),
        response_deadline: due,
        time_limit: TimeLimit::CallerDeadline,
        first_output_deadline: due,
        resumable: true,
        streaming: true,
        retry_failures: false,
    }
}

fn core_name(index: usize) -> String {
    format!("c{index}")
}

fn core(index: usize) -> Core {
    let local = LocalInstance {
        name: core_name(index),
        domain: "a".to_owned(),
        addr: core_name(index),
    };
    Core::new(local, Bounds::default(), Arc::new(Metrics::new()))
}

fn entry(index: usize, crashes: u32) -> ServerEntry {
    ServerEntry {
        id: entry_id(index, crashes),
        service: "engines".to_owned(),
        addr: format!("10.0.0.{}:80", index + 1),
        domain: "a".to_owned(),
        slots: 16,
        draining: false,
        cold_remaining: Millis::ZERO,
        started_unix_ms: 0,
        writes: 0,
    }
}

/// Returns the id of an engine after its `crashes`-th restart.
fn entry_id(index: usize, crashes: u32) -> String {
    match crashes {
        0 => format!("e{index}"),
        _ => format!("e{index}.{crashes}"),
    }
}

fn engine_of(addr: &str) -> usize {
    let last = addr.split(':').next().unwrap().rsplit('.').next().unwrap();
    last.parse::<usize>().unwrap() - 1
}

impl Simulation {
    /// Sends the notice of an engine that begins to answer to the request's core.
    fn send_notice(&mut self, request: usize, attempt: u32) {
        let (now, core) = (self.now, self.core_of(request, attempt));
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let mut jobs = engine.jobs.iter();
            if !jobs.any(|job| (job.request, job.attempt, job.helper) == (request, attempt, false))
            {
                continue;
            }
            let limit = engine.rate_limit.as_ref();
            let limit = limit.filter(|(_, named)| named.contains(&now));
            let rate_limit = limit.map(|&(per_s, _)| per_s);
            if rate_limit.is_some() {
                engine.told.entry(core).or_insert(now);
            }
            let sent = engine.sent.iter().rev().find(|(_, by)| *by == core);
            let input = Input::ServerNotice {
                server_id: entry_id(index, engine.crashes),
                sent_at: Millis(sent.map_or(0.0, |(at, _)| *at) as u64),
                notice: ServerNotice {
                    rate_limit,
                    ..ServerNotice::default()
                },
            };
            self.push(now + NETWORK_DELAY_MS, Event::Input { core, input });
            return;
        }
    }

    /// Crashes an engine at this time.
    pub fn add_crash(&mut self, engine: usize, at: f64) {
        self.push(at, Event::Crash(engine));
    }

    /// Returns whether a request has the part that crashes engines.
    pub fn is_crashing(&self, request: usize) -> bool {
        let part = self.crashing_part.as_ref();
        part.is_some_and(|part| self.requests[request].shared_parts.contains(part))
    }

    /// Ends an engine with all its requests.
    fn crash(&mut self, engine_index: usize) {
        let engine = &mut self.engines[engine_index];
        if self.now < engine.down_until {
            return;
        }
        engine.crashes += 1;
        engine.down_until = self.now + RESTART_MS;
        engine.busy_until = None;
        engine.reserved.clear();
        let jobs = std::mem::take(&mut engine.jobs);
        for job in jobs {
            let live_attempts = &self.requests[job.request].live_attempts;
            if live_attempts.contains(&job.attempt) {
                self.end_attempt(job.request, job.attempt, AttemptEnd::Broken);
            }
        }
        self.push(self.now + RESTART_MS, Event::Restart(engine_index));
    }

    /// Lists an engine that crashed under a new id.
    fn restart(&mut self, engine_index: usize) {
        let crashes = self.engines[engine_index].crashes;
        let updates = vec![
            StoreUpdate::ServerRemoved(entry_id(engine_index, crashes - 1)),
            StoreUpdate::Server(entry(engine_index, crashes)),
        ];
        for core in 0..self.cores.len() {
            let input = Input::StoreUpdates {
                proved_at: Some(Millis(self.now as u64)),
                shown_version: Some(1),
                config_position: super::core::position(1),
                updates: updates.clone(),
            };
            self.push(self.now, Event::Input { core, input });
        }
    }

    /// Adds one request with a prompt of this length. Returns its index.
    pub fn add_prompt(&mut self, class: usize, tokens: f64, at: f64) -> usize {
        let request = self.requests.len();
        let profile = self.profile.classes[class];
        self.requests.push(Request {
            class,
            profile,
            tokens,
            events: profile.events as u32,
            expected_events: profile.events as u32,
            arrived: at,
            outcome: Outcome::Open,
            refusal: None,
            shared_parts: Vec::new(),
            key: None,
            core: request % self.cores.len(),
            first_event: None,
            last_event: 0.0,
            longest_gap: 0.0,
            events_received: 0,
            live_attempts: Vec::new(),
        });
        self.push(at, Event::Submit(request));
        request
    }
}

impl Request {
    /// Returns whether a stream was stalled for longer than its caller waits.
    pub fn is_abandoned(&self) -> bool {
        let class = self.profile;
        let patience_ms = 2_000.max(class.target_ms * 4).max(class.gap_ms * 8);
        self.longest_gap > patience_ms as f64
    }

    /// Returns the utility that the caller receives if it disconnects when its
    /// patience ends.
    pub fn received_utility(&self) -> f64 {
        match self.is_abandoned() {
            true => 0.0,
            false => self.achieved_utility(),
        }
    }
}

impl Simulation {
    /// Removes requests that have not been submitted yet.
    pub fn forget_requests(&mut self, is_forgotten: impl Fn(&Request) -> bool) {
        let requests = &mut self.requests;
        self.events.retain(|_, event| match event {
            Event::Submit(request) => !is_forgotten(&requests[*request]),
            _ => true,
        });
        for request in requests {
            if is_forgotten(request) {
                request.outcome = Outcome::Refused;
            }
        }
    }
}
