//! Stand-in of the platform's key-value service.

mod state;
mod stats;
#[cfg(test)]
mod tests;

pub use state::Entry;
pub use state::StoreState;
pub use state::Written;
pub use stats::StoreStats;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;

use self::stats::Window;
use crate::site::Site;
use crate::site::cut;
use crate::site::decode;
use crate::site::json_body;
use crate::site::lock;
use crate::site::query_number;
use crate::site::query_text;
use crate::site::reject;
use crate::site::respond;
use crate::site::split_url;
use crate::site::take_where;
use skylarkhook::clock::Clock;
use skylarkhook::clock::Millis;

/// Step of the ticker, in milliseconds.
const STEP_MS: u64 = 5;
/// Time after which a caller above the rate may come back.
const RETRY_AFTER: Millis = Millis(200);

/// Settings of a key-value service.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreConfig {
    /// Address to listen on, `ip:port`.
    pub addr: String,
    /// Writes, lease calls included, taken in a second.
    pub writes_per_s: u32,
    /// Reads and watches taken in a second.
    pub reads_per_s: u32,
    /// Time that each call takes.
    pub latency_ms: Millis,
}

impl Default for StoreConfig {
    fn default() -> StoreConfig {
        StoreConfig {
            addr: "127.0.0.1:0".to_owned(),
            writes_per_s: 400,
            reads_per_s: 2000,
            latency_ms: Millis::ZERO,
        }
    }
}

/// A fault order.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFault {
    /// Answers 503 for so long.
    pub down_ms: Option<Millis>,
    /// Refuses connections for so long.
    pub refuse_ms: Option<Millis>,
    /// Each call takes so much longer.
    pub slow_ms: Option<Millis>,
    /// Loses the answers of the next writes after they took effect.
    pub lose_answers: Option<u32>,
    /// Remembers all data.
    pub snapshot: bool,
    /// Goes back to the data remembered.
    pub restore: bool,
}

struct Watch {
    key: String,
    version: u64,
    until: Millis,
    request: Request,
}

/// An answer on its way.
struct Answer {
    request: Request,
    status: u16,
    body: Value,
    /// The write took effect, the answer is lost.
    lost: bool,
}

struct Shared {
    cfg: StoreConfig,
    state: StoreState,
    snapshot: Option<StoreState>,
    stats: StoreStats,
    writes: Window,
    reads: Window,
    watches: Vec<Watch>,
    delayed: Vec<(Millis, Answer)>,
    down_until: Millis,
    refuse_until: Option<Millis>,
    slow: Millis,
    lose: u32,
}

/// A running key-value service.
pub struct StoreHandle {
    site: Arc<Site>,
    shared: Arc<Mutex<Shared>>,
    clock: Clock,
}

impl StoreHandle {
    /// Starts a key-value service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(cfg: StoreConfig) -> io::Result<StoreHandle> {
        let clock = Clock::start();
        let addr = cfg.addr.clone();
        let shared = Arc::new(Mutex::new(Shared {
            cfg,
            state: StoreState::default(),
            snapshot: None,
            stats: StoreStats::default(),
            writes: Window::default(),
            reads: Window::default(),
            watches: Vec::new(),
            delayed: Vec::new(),
            down_until: Millis::ZERO,
            refuse_until: None,
            slow: Millis::ZERO,
            lose: 0,
        }));
        let handled = Arc::clone(&shared);
        let site = Site::start(&addr, move |request| {
            handle(&handled, clock.now(), request);
        })?;
        let weak = Arc::downgrade(&shared);
        let ticked = Arc::clone(&site);
        thread::spawn(move || tick_until_dropped(&weak, &ticked, clock));
        Ok(StoreHandle {
            site,
            shared,
            clock,
        })
    }

    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.site.addr()
    }

    /// Carries out a fault order.
    pub fn fault(&self, fault: StoreFault) {
        lock(&self.shared).fault(self.clock.now(), fault);
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> StoreStats {
        lock(&self.shared).stats()
    }
}

fn tick_until_dropped(shared: &Weak<Mutex<Shared>>, site: &Site, clock: Clock) {
    while let Some(shared) = shared.upgrade() {
        let now = clock.now();
        let mut held = lock(&shared);
        held.tick(now);
        let refused = held.refuse_until.is_some_and(|until| now < until);
        if held.refuse_until.is_some() && !refused {
            held.refuse_until = None;
        }
        drop(held);
        if refused {
            site.close();
        } else {
            // An address that is not free yet is tried again in the next step.
            let _ = site.open();
        }
        drop(shared);
        thread::sleep(Duration::from_millis(STEP_MS));
    }
}

fn handle(shared: &Mutex<Shared>, now: Millis, request: Request) {
    let url = request.url().to_owned();
    let (path, query) = split_url(&url);
    if path == "/stats" {
        let stats = lock(shared).stats();
        return respond(request, 200, &stats);
    }
    if path == "/fault" {
        if let Some((request, fault)) = json_body(request) {
            lock(shared).fault(now, fault);
            respond(request, 200, &json!({}));
        }
        return;
    }
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        let key = &decode(key);
        return match request.method() {
            Method::Get => lock(shared).read(now, key, query, request),
            Method::Put => put(shared, now, key, query, request),
            Method::Delete => lock(shared).delete(now, key, query, request),
            _ => reject(request, 404, "not_found"),
        };
    }
    match path.strip_prefix("/v1/lease") {
        Some("") => grant(shared, now, request),
        Some(rest) => lock(shared).lease(now, &decode(rest.trim_start_matches('/')), request),
        None => reject(request, 404, "not_found"),
    }
}

#[derive(Deserialize)]
struct PutBody {
    value: String,
}

fn put(shared: &Mutex<Shared>, now: Millis, key: &str, query: &str, request: Request) {
    let Some((request, body)) = json_body::<PutBody>(request) else {
        return;
    };
    let version = query_number(query, "version").unwrap_or(0);
    let lease = query_text(query, "lease");
    let mut shared = lock(shared);
    let Some(request) = shared.admit_write(now, request) else {
        return;
    };
    shared.count_write(key);
    let written = shared.state.put(key, body.value, version, lease);
    shared.answer_write(now, request, written);
}

#[derive(Deserialize)]
struct GrantBody {
    ttl_ms: Millis,
}

fn grant(shared: &Mutex<Shared>, now: Millis, request: Request) {
    let Some((request, body)) = json_body::<GrantBody>(request) else {
        return;
    };
    let mut shared = lock(shared);
    let Some(request) = shared.admit_write(now, request) else {
        return;
    };
    shared.stats.leases += 1;
    let lease = shared.state.grant(now, body.ttl_ms);
    shared.answer(now, request, 200, json!({ "lease": lease }), true);
}

impl Shared {
    fn fault(&mut self, now: Millis, fault: StoreFault) {
        if let Some(span) = fault.down_ms {
            self.down_until = now + span;
        }
        if let Some(span) = fault.refuse_ms {
            self.refuse_until = Some(now + span);
        }
        if let Some(span) = fault.slow_ms {
            self.slow = span;
        }
        if let Some(number) = fault.lose_answers {
            self.lose = number;
        }
        if fault.snapshot {
            self.snapshot = Some(self.state.clone());
        }
        if fault.restore {
            self.state = self.snapshot.clone().unwrap_or_default();
        }
    }

    fn stats(&self) -> StoreStats {
        let (keys, bytes) = self.state.size();
        StoreStats {
            watches_waiting: self.watches.len(),
            writes_per_s_max: self.writes.max,
            reads_per_s_max: self.reads.max,
            keys,
            bytes,
            ..self.stats.clone()
        }
    }

    fn tick(&mut self, now: Millis) {
        if self.state.lapse(now) {
            self.wake(now);
        }
        for watch in take_where(&mut self.watches, |watch| watch.until <= now) {
            let (status, body) = entry_answer(self.state.get(&watch.key));
            respond(watch.request, status, &body);
        }
        for (_, answer) in take_where(&mut self.delayed, |(due, _)| *due <= now) {
            answer.give();
        }
    }

    /// Answers the watches whose key changed.
    fn wake(&mut self, now: Millis) {
        let state = &self.state;
        let changed = |watch: &Watch| state.version(&watch.key) != watch.version;
        let woken = take_where(&mut self.watches, changed);
        for watch in woken {
            let (status, body) = entry_answer(self.state.get(&watch.key));
            self.answer(now, watch.request, status, body, false);
        }
    }

    fn admit_write(&mut self, now: Millis, request: Request) -> Option<Request> {
        let rate = self.cfg.writes_per_s;
        let allowed = self.writes.admit(now, rate);
        self.admit(now, request, allowed)
    }

    fn admit_read(&mut self, now: Millis, request: Request) -> Option<Request> {
        let rate = self.cfg.reads_per_s;
        let allowed = self.reads.admit(now, rate);
        self.admit(now, request, allowed)
    }

    fn admit(&mut self, now: Millis, request: Request, allowed: bool) -> Option<Request> {
        self.stats.calls += 1;
        if now < self.down_until {
            self.stats.refused += 1;
            reject(request, 503, "down");
            return None;
        }
        if !allowed {
            self.stats.limited += 1;
            limit(request);
            return None;
        }
        self.state.lapse(now);
        Some(request)
    }

    fn count_write(&mut self, key: &str) {
        self.stats.writes += 1;
        let prefix = key.split('/').next().unwrap_or_default();
        let count = self.stats.writes_by_prefix.entry(prefix.to_owned());
        *count.or_default() += 1;
    }

    fn read(&mut self, now: Millis, key: &str, query: &str, request: Request) {
        let Some(request) = self.admit_read(now, request) else {
            return;
        };
        let Some(wait) = query_number(query, "wait_ms") else {
            self.stats.reads += 1;
            let (status, body) = entry_answer(self.state.get(key));
            return self.answer(now, request, status, body, false);
        };
        self.stats.watches += 1;
        self.watches.push(Watch {
            key: key.to_owned(),
            version: query_number(query, "version").unwrap_or(0),
            until: now + Millis(wait),
            request,
        });
        self.wake(now);
    }

    fn delete(&mut self, now: Millis, key: &str, query: &str, request: Request) {
        let Some(request) = self.admit_write(now, request) else {
            return;
        };
        self.count_write(key);
        let version = query_number(query, "version").unwrap_or(0);
        let written = self.state.delete(key, version);
        self.answer_write(now, request, written);
    }

    fn lease(&mut self, now: Millis, lease: &str, request: Request) {
        let Some(request) = self.admit_write(now, request) else {
            return;
        };
        self.stats.leases += 1;
        let there = match request.method() {
            Method::Delete => self.state.revoke(lease),
            _ => self.state.renew(now, lease),
        };
        self.wake(now);
        let status = if there { 200 } else { 410 };
        self.answer(now, request, status, json!({ "lease": lease }), true);
    }

    fn answer_write(&mut self, now: Millis, request: Request, written: Written) {
        let (status, body) = match written {
            Written::Version(version) => (200, json!({ "version": version })),
            Written::Conflict(entry) => (409, entry.map_or(json!({}), |entry| json!(entry))),
            Written::LeaseGone => (410, json!({})),
        };
        self.wake(now);
        self.answer(now, request, status, body, true);
    }

    /// Answers at once or after the latency; a write's answer may get lost.
    fn answer(&mut self, now: Millis, request: Request, status: u16, body: Value, write: bool) {
        let lost = write && self.lose > 0;
        if lost {
            self.lose -= 1;
            self.stats.lost += 1;
        }
        let answer = Answer {
            request,
            status,
            body,
            lost,
        };
        let delay = self.cfg.latency_ms + self.slow;
        if delay == Millis::ZERO {
            return answer.give();
        }
        self.delayed.push((now + delay, answer));
    }
}

impl Answer {
    fn give(self) {
        if self.lost {
            cut(self.request);
        } else {
            respond(self.request, self.status, &self.body);
        }
    }
}

fn entry_answer(entry: Option<&Entry>) -> (u16, Value) {
    match entry {
        Some(entry) => (200, json!(entry)),
        None => (404, json!({})),
    }
}

fn limit(request: Request) {
    let mut response = Response::from_string("{}").with_status_code(429);
    if let Ok(header) = Header::from_bytes("Retry-After-Ms", RETRY_AFTER.0.to_string()) {
        response = response.with_header(header);
    }
    // A caller that left needs no answer.
    let _ = request.respond(response);
}
