//! Stand-in of a plain service, some of whose calls must not be repeated.
//!
//! It counts how often each key ran. A call takes effect when it arrives and is
//! answered after the service's working time.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tiny_http::Request;

use crate::site::Site;
use crate::site::body;
use crate::site::cut;
use crate::site::header;
use crate::site::json_body;
use crate::site::lock;
use crate::site::reject;
use crate::site::respond;
use crate::site::take_where;
use skylarkhook::backend::LoadReport;
use skylarkhook::clock::Clock;
use skylarkhook::clock::Millis;
use skylarkhook::declaration::Limits;
use skylarkhook::fleet::Listing;
use skylarkhook::fleet::Role;
use skylarkhook::id::Boot;
use skylarkhook::id::Epoch;

/// Step of the ticker, in milliseconds.
const STEP_MS: u64 = 4;

/// Settings of a plain service.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceConfig {
    /// Its name in the instance list.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Address to listen on, `ip:port`.
    pub addr: String,
    /// Services that it offers.
    pub services: Vec<String>,
    /// Time from a call to its answer.
    pub work_ms: Millis,
    /// Limits it is declared with when warm; exceeding them is counted.
    pub warm: Limits,
    /// What it bears in a cold start; it falls over when given more.
    pub cold: Limits,
    /// Calls to complete until it is warm.
    pub cold_completions: u32,
    /// How long it is down after a crash.
    pub restart_ms: Millis,
    /// Whether it runs a key only once by itself.
    pub dedup: bool,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig {
            name: "service".to_owned(),
            domain: "domain".to_owned(),
            addr: "127.0.0.1:0".to_owned(),
            services: vec!["callbacks".to_owned()],
            work_ms: Millis(20),
            warm: Limits::default(),
            cold: Limits::default(),
            cold_completions: 8,
            restart_ms: Millis(1_000),
            dedup: false,
        }
    }
}

/// A fault order.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFault {
    /// Ends the process; it comes back cold after its restart time.
    pub crash: bool,
    /// Is down for so long.
    pub down_ms: Option<Millis>,
    /// Calls take so much longer.
    pub slow_ms: Option<Millis>,
    /// Nothing arrives any more on the connections that are open now.
    pub silent: bool,
    /// Cuts the connections of the next calls after they took effect.
    pub lose_answers: Option<u32>,
    /// Refuses the next calls before they take effect.
    pub reject: Option<u32>,
    /// Takes no more calls.
    pub leave: bool,
}

/// Counters of a plain service over all its boots.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct ServiceStats {
    /// Its name.
    pub name: String,
    /// Boot number.
    pub boot: u64,
    /// Whether it is down.
    pub down: bool,
    /// Calls that took effect.
    pub ran: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused.
    pub refused: u64,
    /// Answers lost by order, crash or silence.
    pub lost: u64,
    /// Crashes.
    pub crashes: u64,
    /// Crashes as it was given too much while cold.
    pub cold_crashes: u64,
    /// Keys that ran more than once.
    pub doubles: u64,
    /// Highest number of calls in flight.
    pub in_flight_max: u64,
    /// Highest excess over the warm limit.
    pub excess_warm: u64,
    /// Highest excess over the cold limit.
    pub excess_cold: u64,
    /// Calls in flight.
    pub in_flight: u64,
}

struct Pending {
    due: Millis,
    request: Request,
    body: Value,
    silent: bool,
}

struct State {
    cfg: ServiceConfig,
    stats: ServiceStats,
    pending: Vec<Pending>,
    runs: BTreeMap<String, u32>,
    cold: Option<u32>,
    down_until: Option<Millis>,
    slow: Millis,
    lose: u32,
    reject: u32,
    leaving: bool,
}

/// A running plain service.
pub struct ServiceHandle {
    cfg: ServiceConfig,
    site: Arc<Site>,
    state: Arc<Mutex<State>>,
    clock: Clock,
}

impl ServiceHandle {
    /// Starts a plain service, cold.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(cfg: ServiceConfig) -> io::Result<ServiceHandle> {
        let clock = Clock::start();
        let state = Arc::new(Mutex::new(State {
            stats: ServiceStats {
                name: cfg.name.clone(),
                boot: 1,
                ..ServiceStats::default()
            },
            cfg: cfg.clone(),
            pending: Vec::new(),
            runs: BTreeMap::new(),
            cold: Some(0),
            down_until: None,
            slow: Millis::ZERO,
            lose: 0,
            reject: 0,
            leaving: false,
        }));
        let handled = Arc::clone(&state);
        let site = Site::start(&cfg.addr, move |request| {
            handle(&handled, clock.now(), request);
        })?;
        let weak = Arc::downgrade(&state);
        let ticked = Arc::clone(&site);
        thread::spawn(move || tick_until_dropped(&weak, &ticked, clock));
        Ok(ServiceHandle {
            cfg,
            site,
            state,
            clock,
        })
    }

    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.site.addr()
    }

    /// Returns the service's line of the instance list.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let services = self.cfg.services.join(",");
        Listing {
            name: self.cfg.name.clone(),
            role: Role::Service,
            domain: self.cfg.domain.clone(),
            addr: self.addr().to_string(),
            peer_addr: String::new(),
            leaving: false,
            labels: [("service".to_owned(), services)].into(),
        }
    }

    /// Carries out a fault order.
    pub fn fault(&self, fault: &ServiceFault) {
        lock(&self.state).fault(self.clock.now(), fault);
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> ServiceStats {
        lock(&self.state).stats()
    }

    /// Returns how often each key ran.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.state).runs.clone()
    }
}

fn tick_until_dropped(state: &Weak<Mutex<State>>, site: &Site, clock: Clock) {
    while let Some(state) = state.upgrade() {
        let mut held = lock(&state);
        held.tick(clock.now());
        let down = held.down_until.is_some();
        drop(held);
        if down {
            site.close();
        } else {
            // An address that is not free yet is tried again in the next step.
            let _ = site.open();
        }
        drop(state);
        thread::sleep(Duration::from_millis(STEP_MS));
    }
}

fn handle(state: &Mutex<State>, now: Millis, request: Request) {
    let url = request.url().to_owned();
    if let Some(operation) = url.strip_prefix("/v1/call/") {
        return call(state, now, operation, request);
    }
    match url.as_str() {
        "/v1/load" => respond(request, 200, &lock(state).load()),
        "/stats" => respond(request, 200, &lock(state).stats()),
        "/runs" => respond(request, 200, &lock(state).runs),
        "/fault" => {
            if let Some((request, fault)) = json_body(request) {
                lock(state).fault(now, &fault);
                respond(request, 200, &json!({}));
            }
        }
        _ => reject(request, 404, "not_found"),
    }
}

fn call(state: &Mutex<State>, now: Millis, operation: &str, mut request: Request) {
    let Ok(body) = body(&mut request) else {
        return cut(request);
    };
    let key = header(&request, "Idempotency-Key")
        .or_else(|| header(&request, "X-Request-Id"))
        .unwrap_or_default();
    let mut state = lock(state);
    if state.down_until.is_some() {
        return cut(request);
    }
    if state.refuses() {
        state.stats.refused += 1;
        return reject(request, 429, "full");
    }
    let run = state.run(&key);
    let text = String::from_utf8_lossy(&body);
    let answer = json!({ "operation": operation, "key": key, "run": run, "body": text });
    if state.lose > 0 {
        state.lose -= 1;
        state.stats.lost += 1;
        return cut(request);
    }
    let due = now + state.cfg.work_ms + state.slow;
    state.pending.push(Pending {
        due,
        request,
        body: answer,
        silent: false,
    });
    state.check_limits(now);
}

impl State {
    fn refuses(&mut self) -> bool {
        if self.reject > 0 {
            self.reject -= 1;
            return true;
        }
        self.leaving
    }

    /// Lets a call take effect; returns how often its key has run.
    fn run(&mut self, key: &str) -> u32 {
        let runs = self.runs.entry(key.to_owned()).or_default();
        if self.cfg.dedup && *runs > 0 {
            return *runs;
        }
        *runs += 1;
        self.stats.ran += 1;
        if *runs == 2 {
            self.stats.doubles += 1;
        }
        *runs
    }

    fn check_limits(&mut self, now: Millis) {
        let held = self.pending.len() as u64;
        self.stats.in_flight_max = self.stats.in_flight_max.max(held);
        let over = |limits: Limits| match limits.streams {
            0 => 0,
            streams => held.saturating_sub(u64::from(streams)),
        };
        if self.cold.is_none() {
            self.stats.excess_warm = self.stats.excess_warm.max(over(self.cfg.warm));
            return;
        }
        let excess = over(self.cfg.cold);
        self.stats.excess_cold = self.stats.excess_cold.max(excess);
        if excess > 0 {
            self.stats.cold_crashes += 1;
            self.crash(now, self.cfg.restart_ms);
        }
    }

    fn tick(&mut self, now: Millis) {
        if self.down_until.is_some_and(|until| until <= now) {
            self.down_until = None;
        }
        let due = |call: &Pending| call.due <= now && !call.silent;
        let done = take_where(&mut self.pending, due);
        for call in done {
            self.stats.answered += 1;
            respond(call.request, 200, &call.body);
            self.warm_up();
        }
    }

    fn warm_up(&mut self) {
        if let Some(done) = &mut self.cold {
            *done += 1;
            if *done >= self.cfg.cold_completions {
                self.cold = None;
            }
        }
    }

    fn fault(&mut self, now: Millis, fault: &ServiceFault) {
        if fault.silent {
            self.pending.iter_mut().for_each(|call| call.silent = true);
            self.stats.lost += self.pending.len() as u64;
        }
        self.slow = fault.slow_ms.unwrap_or(self.slow);
        self.lose = fault.lose_answers.unwrap_or(self.lose);
        self.reject = fault.reject.unwrap_or(self.reject);
        self.leaving |= fault.leave;
        if fault.crash {
            self.crash(now, self.cfg.restart_ms);
        }
        if let Some(span) = fault.down_ms {
            self.crash(now, span);
        }
    }

    fn crash(&mut self, now: Millis, span: Millis) {
        self.stats.lost += self.pending.len() as u64;
        self.stats.crashes += 1;
        self.stats.boot += 1;
        for call in self.pending.drain(..) {
            cut(call.request);
        }
        self.cold = Some(0);
        self.down_until = Some(now + span);
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            boot: Boot(self.stats.boot),
            epoch: Epoch(0),
            age_ms: Millis::ZERO,
            memory_used: 0,
            memory_total: 0,
            prefill_waiting: 0,
            streams: Vec::new(),
            models: Vec::new(),
        }
    }

    fn stats(&self) -> ServiceStats {
        ServiceStats {
            down: self.down_until.is_some(),
            in_flight: self.pending.len() as u64,
            ..self.stats.clone()
        }
    }
}
