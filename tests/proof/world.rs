//! A few control cores, joined by small fakes on a virtual clock.
//!
//! The cores and relays are the product's; the store, backend servers and
//! network between them are fakes that can be made to fail.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::backend::Engine;
use super::backend::Reader;
use super::backend::SERVICE_TIME;
use super::backend::Service;
use super::backend::Step;
use super::backend::Stream;
use super::caller::Caller;
use super::store::Served;
use super::store::Store;
use skylarkhook::backend::AttemptEnd;
use skylarkhook::backend::AttemptEvent;
use skylarkhook::backend::BackendAnswer;
use skylarkhook::backend::BackendOrder;
use skylarkhook::backend::Call;
use skylarkhook::backend::CallStart;
use skylarkhook::backend::Rejection;
use skylarkhook::backend::ServiceCall;
use skylarkhook::backend::Work;
use skylarkhook::clock::Millis;
use skylarkhook::control::AdminAnswer;
use skylarkhook::control::AdminQuery;
use skylarkhook::control::Control;
use skylarkhook::control::Identity;
use skylarkhook::control::Input;
use skylarkhook::control::Output;
use skylarkhook::control::Ticket;
use skylarkhook::fleet::Listing;
use skylarkhook::fleet::Role;
use skylarkhook::id::AttemptId;
use skylarkhook::id::Boot;
use skylarkhook::id::RequestId;
use skylarkhook::metrics::Level;
use skylarkhook::metrics::Metrics;
use skylarkhook::peer::PeerFrame;
use skylarkhook::peer::PeerMessage;
use skylarkhook::relay::AttemptSide;
use skylarkhook::relay::Finish;
use skylarkhook::relay::Relays;
use skylarkhook::store::StoreAnswer;
use skylarkhook::store::StoreFailure;
use skylarkhook::store::StoreOp;
use skylarkhook::verdict::Verdict;

/// Time between two looks at all timers.
pub const STEP: Millis = Millis(10);
/// One way between two instances, or to a backend server.
const NEAR: Millis = Millis(2);
/// One way to the platform.
const TO_PLATFORM: Millis = Millis(3);
/// Period at which instances read the instance list.
const LIST_PERIOD: Millis = Millis(1_000);
/// The model of all engines.
pub const MODEL: &str = "m1";
/// The platform, in cuts.
pub const PLATFORM: &str = "platform";

/// One instance: its core, its relays and the calls it has under way.
pub struct Node {
    pub me: Identity,
    pub control: Control,
    pub relays: Relays,
    pub metrics: Arc<Metrics>,
    pub up: bool,
    pub stopped: bool,
    /// When it started, and bytes of frames that it sent since.
    pub started: Millis,
    pub bytes_sent: u64,
    pub paused_until: Millis,
    pub pauses: Vec<(Millis, Millis)>,
    inbox: Vec<Input>,
    sides: BTreeMap<AttemptId, Side>,
}

/// The traffic thread of one call.
struct Side {
    side: AttemptSide,
    backend: String,
    silence: Millis,
    last_progress: Millis,
    told_first: bool,
}

/// Something under way.
enum Event {
    Input {
        to: String,
        boot: Boot,
        input: Input,
    },
    Call {
        from: String,
        boot: Boot,
        call: Call,
    },
    Order {
        from: String,
        backend: String,
        order: BackendOrder,
    },
    Store {
        from: String,
        boot: Boot,
        ticket: Ticket,
        op: StoreOp,
    },
    ServiceDone {
        from: String,
        boot: Boot,
        service: String,
        call: Call,
    },
}

struct Watch {
    from: String,
    boot: Boot,
    ticket: Ticket,
    key: String,
    version: skylarkhook::store::KeyVersion,
    until: Millis,
}

#[derive(Default)]
pub struct World {
    pub now: Millis,
    pub nodes: BTreeMap<String, Node>,
    pub engines: BTreeMap<String, Engine>,
    pub services: BTreeMap<String, (String, Service)>,
    pub store: Store,
    pub leaving: BTreeSet<String>,
    pub unlisted: BTreeSet<String>,
    pub list_down: bool,
    pub callers: BTreeMap<RequestId, Caller>,
    pub ran: BTreeSet<RequestId>,
    pub cuts: BTreeSet<(String, String)>,
    pub admin_answers: BTreeMap<u64, AdminAnswer>,
    /// Arrivals of new work by backend server, with the time.
    pub arrivals: Vec<(Millis, String)>,
    queue: BTreeMap<(Millis, u64), Event>,
    watches: Vec<Watch>,
    sequence: u64,
    next_list: Millis,
    seed: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        World {
            now: Millis(1),
            seed,
            ..World::default()
        }
    }

    pub fn add_node(&mut self, name: &str, domain: &str) {
        let boot = self.nodes.get(name).map_or(1, |node| node.me.boot.0 + 1);
        let me = Identity {
            name: name.to_owned(),
            domain: domain.to_owned(),
            boot: Boot(boot),
            peer_addr: name.to_owned(),
            unix_zero: Millis::ZERO,
        };
        let metrics = Arc::new(Metrics::new());
        let seed = self
            .seed
            .wrapping_add(boot * 1_000 + self.nodes.len() as u64);
        let node = Node {
            control: Control::new(me.clone(), seed, Arc::clone(&metrics)),
            me,
            relays: Relays::new(Arc::clone(&metrics)),
            metrics,
            up: true,
            stopped: false,
            started: self.now,
            bytes_sent: 0,
            paused_until: Millis::ZERO,
            pauses: Vec::new(),
            inbox: Vec::new(),
            sides: BTreeMap::new(),
        };
        self.nodes.insert(name.to_owned(), node);
    }

    /// Ends an instance without warning; its callers see their connection break.
    pub fn kill(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.up = false;
        node.inbox.clear();
        node.sides.clear();
        for engine in self.engines.values_mut() {
            for stream in engine.streams.values_mut() {
                if stream.reader.as_ref().is_some_and(|r| r.instance == name) {
                    stream.reader = None;
                    stream.last_read = self.now;
                }
            }
        }
        let now = self.now;
        for caller in self.callers.values_mut() {
            if caller.node == name {
                caller.cut(now);
            }
        }
    }

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }

    pub fn submit(&mut self, node: &str, caller: Caller) {
        let now = self.now;
        let request = caller.request();
        let Some(to) = self.nodes.get(node).filter(|node| node.up) else {
            return;
        };
        let mut caller = caller;
        caller.open(now, node, to.relays.open(request));
        let input = Input::Submit(caller.submission());
        self.callers.insert(request, caller);
        self.give(node, input);
    }

    pub fn leave(&mut self, request: RequestId) {
        let Some(caller) = self.callers.get_mut(&request) else {
            return;
        };
        let node = caller.node.clone();
        caller.go();
        self.give(&node, Input::CallerGone { request });
    }

    /// Tells an instance to leave.
    pub fn order_shutdown(&mut self, name: &str) {
        self.give(name, Input::Shutdown);
    }

    /// Asks an instance as an operator would; returns the ticket of the answer.
    pub fn ask(&mut self, node: &str, query: AdminQuery) -> u64 {
        self.sequence += 1;
        let ticket = self.sequence;
        self.give(node, Input::Admin { ticket, query });
        ticket
    }

    /// Returns the revision of the declarations that an instance has in force.
    pub fn revision(&self, node: &str) -> u64 {
        let level = self.nodes[node].metrics.level(Level::Revision);
        u64::try_from(level).expect("a revision")
    }

    /// Returns what an instance says of itself, but for its backend servers.
    pub fn status(&mut self, node: &str) -> String {
        let ticket = self.ask(node, AdminQuery::Status);
        let Some(AdminAnswer::Json(mut status)) = self.admin_answers.remove(&ticket) else {
            return String::new();
        };
        let domain = self.nodes[node].me.domain.clone();
        if let Some(backends) = status["backends"].as_array_mut() {
            backends.retain(|backend| backend["domain"] == domain.as_str());
        }
        status.to_string()
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        self.deliver();
        if self.now >= self.next_list {
            self.next_list = self.now + LIST_PERIOD;
            self.list();
        }
        self.step_engines();
        self.notice_silence();
        self.end_watches();
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            self.wake(&name);
            self.give(&name, Input::Tick);
        }
        self.deliver();
        self.listen();
    }

    /// Delivers all that is due, which may cause more.
    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.happen(event);
        }
    }

    fn later(&mut self, span: Millis, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + span, self.sequence), event);
    }

    fn tell(&mut self, span: Millis, to: &str, boot: Boot, input: Input) {
        let to = to.to_owned();
        self.later(span, Event::Input { to, boot, input });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Input { to, boot, input } => {
                let there = self.nodes.get(&to).is_some_and(|node| node.me.boot == boot);
                if there {
                    self.give(&to, input);
                }
            }
            Event::Call { from, boot, call } => self.call(&from, boot, call),
            Event::Order {
                from,
                backend,
                order,
            } => self.order(&from, &backend, order),
            Event::Store {
                from,
                boot,
                ticket,
                op,
            } => self.serve(&from, boot, ticket, op),
            Event::ServiceDone {
                from,
                boot,
                service,
                call,
            } => self.service_done(&from, boot, &service, &call),
        }
    }

    /// Hands an input to an instance, at once or when it wakes.
    fn give(&mut self, name: &str, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if !node.up {
            return;
        }
        if now < node.paused_until {
            if input != Input::Tick {
                node.inbox.push(input);
            }
            return;
        }
        let outputs = node.control.handle(now, input);
        self.carry(name, outputs);
    }

    fn wake(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if self.now < node.paused_until {
            return;
        }
        for input in std::mem::take(&mut node.inbox) {
            self.give(name, input);
        }
    }

    fn carry(&mut self, name: &str, outputs: Vec<Output>) {
        let boot = self.nodes[name].me.boot;
        let mut frames: BTreeMap<String, Vec<PeerMessage>> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::Send(call) => self.announce(name, boot, call),
                Output::Drop { attempt } => self.drop_attempt(name, attempt),
                Output::Order { backend, order, .. } => {
                    let from = name.to_owned();
                    let event = Event::Order {
                        from,
                        backend,
                        order,
                    };
                    self.later(NEAR, event);
                }
                Output::Reply { request, reply } => {
                    self.nodes[name].relays.finish(request, reply);
                }
                Output::Peer { addr, message, .. } => {
                    frames.entry(addr).or_default().push(message);
                }
                Output::Store { ticket, op } => {
                    let from = name.to_owned();
                    let event = Event::Store {
                        from,
                        boot,
                        ticket,
                        op,
                    };
                    self.later(TO_PLATFORM, event);
                }
                Output::Admin { ticket, answer } => {
                    self.admin_answers.insert(ticket, answer);
                }
                Output::Stopped => self.stopped(name),
            }
        }
        for (to, messages) in frames {
            self.send_frame(name, &to, messages);
        }
    }

    fn stopped(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.stopped = true;
        }
    }

    fn send_frame(&mut self, from: &str, to: &str, messages: Vec<PeerMessage>) {
        if self.is_cut(&self.domain_of(from), &self.domain_of(to)) {
            return;
        }
        let Some(boot) = self.nodes.get(to).map(|node| node.me.boot) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(from) else {
            return;
        };
        let frame = PeerFrame {
            from: from.to_owned(),
            boot: node.me.boot,
            stamp: node.control.stamp(),
            messages,
        };
        let encoded = frame.encode().expect("a frame that fits");
        node.bytes_sent += encoded.len() as u64;
        let frame = PeerFrame::decode(&encoded).expect("its own encoding");
        self.tell(NEAR, to, boot, Input::Peer(frame));
    }

    fn domain_of(&self, name: &str) -> String {
        if let Some(node) = self.nodes.get(name) {
            return node.me.domain.clone();
        }
        if let Some(engine) = self.engines.get(name) {
            return engine.domain.clone();
        }
        self.services
            .get(name)
            .map_or_else(String::new, |(domain, _)| domain.clone())
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cuts.contains(&(a.to_owned(), b.to_owned()))
    }

    fn list(&mut self) {
        if self.list_down {
            return;
        }
        let names: Vec<(String, Boot, String)> = self
            .nodes
            .values()
            .map(|node| (node.me.name.clone(), node.me.boot, node.me.domain.clone()))
            .collect();
        let listings = self.listings();
        for (name, boot, domain) in names {
            if !self.is_cut(&domain, PLATFORM) {
                let input = Input::Listings(listings.clone());
                self.tell(TO_PLATFORM, &name, boot, input);
            }
        }
    }

    fn listings(&self) -> Vec<Listing> {
        let mut listings = Vec::new();
        let mut add = |name: &str, domain: &str, role, label: &str, value: &str| {
            if self.unlisted.contains(name) {
                return;
            }
            listings.push(Listing {
                name: name.to_owned(),
                role,
                domain: domain.to_owned(),
                addr: name.to_owned(),
                peer_addr: name.to_owned(),
                leaving: self.leaving.contains(name),
                labels: [(label.to_owned(), value.to_owned())].into(),
            });
        };
        for node in self.nodes.values().filter(|node| node.up) {
            add(&node.me.name, &node.me.domain, Role::Entry, "role", "entry");
        }
        for engine in self.engines.values() {
            add(&engine.name, &engine.domain, Role::Engine, "model", MODEL);
        }
        for (name, (domain, _)) in &self.services {
            add(name, domain, Role::Service, "service", "callbacks");
        }
        listings
    }

    fn serve(&mut self, from: &str, boot: Boot, ticket: Ticket, op: StoreOp) {
        if self.is_cut(&self.domain_of(from), PLATFORM) {
            let result = Err(match op {
                StoreOp::Get { .. } | StoreOp::Watch { .. } => {
                    StoreFailure::NotRun { retry_after: None }
                }
                _ => StoreFailure::MayHaveRun,
            });
            let span = Millis(1_000);
            return self.tell(span, from, boot, Input::Store { ticket, result });
        }
        match self.store.serve(self.now, &op) {
            Served::Now(result) => {
                self.tell(TO_PLATFORM, from, boot, Input::Store { ticket, result });
            }
            Served::Later => {
                let StoreOp::Watch { key, version, wait } = op else {
                    return;
                };
                self.watches.push(Watch {
                    from: from.to_owned(),
                    boot,
                    ticket,
                    key,
                    version,
                    until: self.now + wait,
                });
            }
        }
    }

    fn end_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let changed = self.store.watched(&watch.key, watch.version);
            let cut = self.is_cut(&self.domain_of(&watch.from), PLATFORM) || self.store.down;
            let result = match changed {
                _ if cut => Err(StoreFailure::NotRun { retry_after: None }),
                Some(answer) => Ok(answer),
                None if self.now >= watch.until => {
                    match self.store.serve(
                        self.now,
                        &StoreOp::Get {
                            key: watch.key.clone(),
                        },
                    ) {
                        Served::Now(result) => result,
                        Served::Later => Ok(StoreAnswer::Entry(None)),
                    }
                }
                None => {
                    self.watches.push(watch);
                    continue;
                }
            };
            let ticket = watch.ticket;
            let input = Input::Store { ticket, result };
            self.tell(TO_PLATFORM, &watch.from, watch.boot, input);
        }
    }

    fn announce(&mut self, name: &str, boot: Boot, call: Call) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let side = Side {
            side: node.relays.announce(call.attempt),
            backend: call.addr.clone(),
            silence: call.silence,
            last_progress: now,
            told_first: false,
        };
        node.sides.insert(call.attempt, side);
        let from = name.to_owned();
        self.later(NEAR, Event::Call { from, boot, call });
    }

    fn drop_attempt(&mut self, name: &str, attempt: AttemptId) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.relays.drop_attempt(attempt);
        let Some(side) = node.sides.remove(&attempt) else {
            return;
        };
        let boot = node.me.boot;
        let offset = side.side.offset();
        let event = AttemptEvent::Ended(AttemptEnd::Cancelled { offset });
        self.tell(NEAR, name, boot, Input::Attempt { attempt, event });
        let Some(engine) = self.engines.get_mut(&side.backend) else {
            return;
        };
        for stream in engine.streams.values_mut() {
            if stream.reader.as_ref().is_some_and(|r| r.attempt == attempt) {
                stream.reader = None;
                stream.last_read = self.now;
            }
        }
    }

    fn end_attempt(&mut self, name: &str, attempt: AttemptId, end: AttemptEnd) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.sides.remove(&attempt).is_none() {
            return;
        }
        let boot = node.me.boot;
        let event = AttemptEvent::Ended(end);
        self.tell(NEAR, name, boot, Input::Attempt { attempt, event });
    }

    fn call(&mut self, from: &str, boot: Boot, call: Call) {
        let known = self.nodes.get(from).filter(|node| node.me.boot == boot);
        let Some(side) = known.and_then(|node| node.sides.get(&call.attempt)) else {
            return;
        };
        let Some(begun) = side.side.begin() else {
            let end = AttemptEnd::Cancelled { offset: 0 };
            return self.end_attempt(from, call.attempt, end);
        };
        let backend = call.addr.clone();
        if self.is_cut(&self.domain_of(from), &self.domain_of(&backend)) {
            return self.end_attempt(from, call.attempt, AttemptEnd::Refused);
        }
        match &*call.work {
            Work::Prompt(prompt) => {
                let tokens = prompt.tokens;
                let total = prompt.max_tokens;
                let poison = prompt.text.contains("poison");
                self.generate(from, &call, begun.offset, (tokens, total, poison));
            }
            Work::Service(_) => self.serve_call(from, boot, call),
        }
    }

    fn generate(
        &mut self,
        from: &str,
        call: &Call,
        offset: u32,
        (tokens, total, poison): (u64, u32, bool),
    ) {
        let now = self.now;
        let request = call.attempt.request;
        let boot = self.nodes[from].me.boot;
        let Some(engine) = self.engines.get_mut(&call.addr) else {
            return self.end_attempt(from, call.attempt, AttemptEnd::Refused);
        };
        if !engine.is_up(now) {
            return self.end_attempt(from, call.attempt, AttemptEnd::Refused);
        }
        let reader = Reader {
            instance: from.to_owned(),
            boot,
            attempt: call.attempt,
            silent: false,
        };
        if let CallStart::Resume { .. } = call.start {
            let Some(stream) = engine.streams.get_mut(&request) else {
                let end = AttemptEnd::Rejected(Rejection::UnknownStream);
                return self.end_attempt(from, call.attempt, end);
            };
            stream.reader = Some(reader);
            stream.offset = offset;
            stream.next = stream.next.max(now);
            return;
        }
        if call.epoch < engine.epoch && engine.refuses_old_epochs {
            let end = AttemptEnd::Rejected(Rejection::StaleEpoch);
            return self.end_attempt(from, call.attempt, end);
        }
        engine.epoch = engine.epoch.max(call.epoch);
        let stream = Stream {
            owner: from.to_owned(),
            reader: Some(reader),
            offset,
            total,
            next: Engine::prefill(now, tokens),
            last_read: now,
            poison,
            memory_tokens: tokens + u64::from(total),
        };
        let bore = engine.take(now, request, stream);
        self.ran.insert(request);
        self.arrivals.push((now, call.addr.clone()));
        if !bore {
            self.crash(&call.addr.clone());
        }
    }

    pub fn crash(&mut self, name: &str) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let readers = engine.crash(now);
        for reader in readers {
            let offset = self.offset_of(&reader.instance, reader.attempt);
            let end = AttemptEnd::Broken {
                verdict: Verdict::MayHaveRun,
                offset,
            };
            if !reader.silent {
                self.end_attempt(&reader.instance, reader.attempt, end);
            }
        }
    }

    /// Makes all open connections of an engine silent; new ones work.
    pub fn silence(&mut self, name: &str) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        for stream in engine.streams.values_mut() {
            if let Some(reader) = &mut stream.reader {
                reader.silent = true;
            }
        }
    }

    fn offset_of(&self, node: &str, attempt: AttemptId) -> u32 {
        let side = self
            .nodes
            .get(node)
            .and_then(|node| node.sides.get(&attempt));
        side.map_or(0, |side| side.side.offset())
    }

    fn step_engines(&mut self) {
        let names: Vec<String> = self.engines.keys().cloned().collect();
        for name in names {
            let now = self.now;
            let Some(engine) = self.engines.get_mut(&name) else {
                continue;
            };
            for step in engine.step(now) {
                match step {
                    Step::Token(request, offset) => self.token(&name, request, offset),
                    Step::Finish(request) => self.finish(&name, request),
                    Step::Crash => self.crash(&name),
                }
            }
        }
    }

    fn token(&mut self, engine: &str, request: RequestId, offset: u32) {
        let Some(stream) = self.engines[engine].streams.get(&request) else {
            return;
        };
        let Some(reader) = stream.reader.clone().filter(|reader| !reader.silent) else {
            return;
        };
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&reader.instance) else {
            return;
        };
        let Some(side) = node.sides.get_mut(&reader.attempt) else {
            return;
        };
        side.last_progress = now;
        let _ = side.side.push(offset, &Caller::token(offset));
        if side.told_first {
            return;
        }
        side.told_first = true;
        let attempt = reader.attempt;
        let event = AttemptEvent::FirstToken;
        self.tell(
            NEAR,
            &reader.instance,
            reader.boot,
            Input::Attempt { attempt, event },
        );
    }

    fn finish(&mut self, name: &str, request: RequestId) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some(stream) = engine.streams.remove(&request) else {
            return;
        };
        engine.completed += 1;
        let Some(reader) = stream.reader else {
            return;
        };
        let Some(node) = self.nodes.get_mut(&reader.instance) else {
            return;
        };
        if let Some(side) = node.sides.get_mut(&reader.attempt) {
            side.side.set_finish(Finish::Length);
        }
        let tokens = stream.total;
        self.end_attempt(
            &reader.instance,
            reader.attempt,
            AttemptEnd::Whole { tokens },
        );
    }

    /// Traffic threads notice connections without progress. A prompt that is
    /// processed shows keep-alives.
    fn notice_silence(&mut self) {
        let now = self.now;
        let mut silent = Vec::new();
        for (name, node) in &mut self.nodes {
            for (&attempt, side) in &mut node.sides {
                let stream = self
                    .engines
                    .get(&side.backend)
                    .and_then(|engine| engine.streams.get(&attempt.request));
                let alive = stream.is_some_and(|stream| {
                    let reader = stream.reader.as_ref();
                    reader.is_some_and(|r| r.attempt == attempt && !r.silent)
                });
                if alive || self.services.contains_key(&side.backend) {
                    side.last_progress = now;
                }
                if now.since(side.last_progress) >= side.silence {
                    silent.push((name.clone(), attempt, side.side.offset()));
                }
            }
        }
        for (name, attempt, offset) in silent {
            let verdict = Verdict::MayHaveRun;
            self.end_attempt(&name, attempt, AttemptEnd::Silent { verdict, offset });
        }
    }

    fn order(&mut self, from: &str, name: &str, order: BackendOrder) {
        let Some(boot) = self.nodes.get(from).map(|node| node.me.boot) else {
            return;
        };
        let now = self.now;
        let cut = self.is_cut(&self.domain_of(from), &self.domain_of(name));
        let answer = match self.engines.get_mut(name) {
            _ if cut => BackendAnswer::Failed { refused: false },
            Some(engine) if engine.is_up(now) => match order {
                BackendOrder::Cancel { request, .. } => {
                    engine.streams.remove(&request);
                    BackendAnswer::Cancelled { request }
                }
                BackendOrder::Load => BackendAnswer::Load(engine.report(MODEL)),
                BackendOrder::CacheEvents { .. } => BackendAnswer::CacheEvents(Vec::new()),
                #[allow(unreachable_patterns)]
                _ => BackendAnswer::Failed { refused: false },
            },
            Some(_) => BackendAnswer::Failed { refused: true },
            None => self.service_answer(name, &order),
        };
        let backend = name.to_owned();
        self.tell(NEAR, from, boot, Input::Backend { backend, answer });
    }

    fn service_answer(&self, name: &str, order: &BackendOrder) -> BackendAnswer {
        match (self.services.get(name), order) {
            (Some((_, service)), _) if service.down => BackendAnswer::Failed { refused: true },
            (Some((_, service)), BackendOrder::Load) => BackendAnswer::Load(service.report()),
            _ => BackendAnswer::Failed { refused: false },
        }
    }

    fn serve_call(&mut self, from: &str, boot: Boot, call: Call) {
        let service = call.addr.clone();
        let down = self.services.get(&service).is_none_or(|(_, s)| s.down);
        if down {
            return self.end_attempt(from, call.attempt, AttemptEnd::Refused);
        }
        let from = from.to_owned();
        let event = Event::ServiceDone {
            from,
            boot,
            service,
            call,
        };
        self.later(SERVICE_TIME, event);
    }

    fn service_done(&mut self, from: &str, boot: Boot, name: &str, call: &Call) {
        let Work::Service(ServiceCall {
            idempotency_key,
            body,
            ..
        }) = &*call.work
        else {
            return;
        };
        let key = match idempotency_key {
            Some(key) => format!("{}/{key}", call.workspace),
            None => format!("{}/{}", call.workspace, call.attempt.request),
        };
        self.ran.insert(call.attempt.request);
        self.arrivals.push((self.now, name.to_owned()));
        let Some((_, service)) = self.services.get_mut(name) else {
            return;
        };
        *service.runs.entry(key).or_default() += 1;
        if service.lose_answers > 0 {
            service.lose_answers -= 1;
            let verdict = Verdict::MayHaveRun;
            let end = AttemptEnd::Broken { verdict, offset: 0 };
            return self.end_attempt(from, call.attempt, end);
        }
        let attempt = call.attempt;
        let here = self.nodes.get(from).filter(|node| node.me.boot == boot);
        let Some(side) = here.and_then(|node| node.sides.get(&attempt)) else {
            return;
        };
        let _ = side.side.answer(200, body.clone());
        let body = body.clone();
        let event = AttemptEvent::Answer { status: 200, body };
        self.tell(NEAR, from, boot, Input::Attempt { attempt, event });
        self.end_attempt(from, attempt, AttemptEnd::Whole { tokens: 0 });
    }

    /// Lets all callers read what has come.
    fn listen(&mut self) {
        let now = self.now;
        for caller in self.callers.values_mut() {
            caller.read(now);
        }
    }
}
