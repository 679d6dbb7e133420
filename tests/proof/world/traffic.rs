//! Calls and orders to backend servers, and what comes of them.

use super::super::backend::Engine;
use super::super::backend::Reader;
use super::super::backend::SERVICE_TIME;
use super::super::backend::Step;
use super::super::backend::Stream;
use super::super::caller::Caller;
use super::Event;
use super::MODEL;
use super::NEAR;
use super::Side;
use super::World;
use skylarkhook::backend::AttemptEnd;
use skylarkhook::backend::AttemptEvent;
use skylarkhook::backend::BackendAnswer;
use skylarkhook::backend::BackendOrder;
use skylarkhook::backend::Call;
use skylarkhook::backend::CallStart;
use skylarkhook::backend::Rejection;
use skylarkhook::backend::ServiceCall;
use skylarkhook::backend::Work;
use skylarkhook::control::Input;
use skylarkhook::id::AttemptId;
use skylarkhook::id::Boot;
use skylarkhook::id::RequestId;
use skylarkhook::relay::Finish;
use skylarkhook::verdict::Verdict;

impl World {
    pub(super) fn announce(&mut self, name: &str, boot: Boot, call: Call) {
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

    pub(super) fn drop_attempt(&mut self, name: &str, attempt: AttemptId) {
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

    pub(super) fn end_attempt(&mut self, name: &str, attempt: AttemptId, end: AttemptEnd) {
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

    pub(super) fn call(&mut self, from: &str, boot: Boot, call: Call) {
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

    pub(super) fn generate(
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

    pub(super) fn offset_of(&self, node: &str, attempt: AttemptId) -> u32 {
        let side = self
            .nodes
            .get(node)
            .and_then(|node| node.sides.get(&attempt));
        side.map_or(0, |side| side.side.offset())
    }

    pub(super) fn step_engines(&mut self) {
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

    pub(super) fn token(&mut self, engine: &str, request: RequestId, offset: u32) {
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

    pub(super) fn finish(&mut self, name: &str, request: RequestId) {
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
    pub(super) fn notice_silence(&mut self) {
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

    pub(super) fn order(&mut self, from: &str, name: &str, order: BackendOrder) {
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

    pub(super) fn service_answer(&self, name: &str, order: &BackendOrder) -> BackendAnswer {
        match (self.services.get(name), order) {
            (Some((_, service)), _) if service.down => BackendAnswer::Failed { refused: true },
            (Some((_, service)), BackendOrder::Load) => BackendAnswer::Load(service.report()),
            _ => BackendAnswer::Failed { refused: false },
        }
    }

    pub(super) fn serve_call(&mut self, from: &str, boot: Boot, call: Call) {
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

    pub(super) fn service_done(&mut self, from: &str, boot: Boot, name: &str, call: &Call) {
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
}
