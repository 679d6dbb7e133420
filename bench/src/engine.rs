//! Stand-in of a model engine.
//!
//! [`EngineState`] holds streams, memory and condition; this module puts it
//! behind HTTP. One ticker thread an engine processes prompts, generates tokens
//! and writes them to the open connections.

mod cache;
mod config;
mod state;
mod stream;
mod submit;
#[cfg(test)]
mod tests;

pub use config::EngineConfig;
pub use config::EngineFault;
pub use config::EngineStats;
pub use config::Marks;
pub use config::OldEpochs;
pub use state::EngineState;
pub use submit::Submit;
pub use submit::Submitted;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::site::ChunkWriter;
use crate::site::Site;
use crate::site::cut;
use crate::site::json_body;
use crate::site::lock;
use crate::site::query_number;
use crate::site::reject;
use crate::site::respond;
use crate::site::split_url;
use skylarkhook::backend::Rejection;
use skylarkhook::clock::Clock;
use skylarkhook::clock::Millis;
use skylarkhook::fleet::Listing;
use skylarkhook::fleet::Role;

/// Step of the ticker, in milliseconds.
const STEP_MS: u64 = 4;
/// Media type of a stream.
const STREAM_TYPE: &str = "application/x-ndjson";

/// A running engine.
pub struct EngineHandle {
    cfg: EngineConfig,
    site: Arc<Site>,
    state: Arc<Mutex<EngineState>>,
    clock: Clock,
}

impl EngineHandle {
    /// Starts an engine, cold.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(cfg: EngineConfig) -> io::Result<EngineHandle> {
        let clock = Clock::start();
        let state = Arc::new(Mutex::new(EngineState::new(cfg.clone())));
        let handled = Arc::clone(&state);
        let site = Site::start(&cfg.addr, move |request| {
            handle(&handled, clock.now(), request);
        })?;
        let weak = Arc::downgrade(&state);
        let ticked = Arc::clone(&site);
        thread::spawn(move || tick_until_dropped(&weak, &ticked, clock));
        Ok(EngineHandle {
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

    /// Returns the engine's line of the instance list.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let models = self.cfg.models.join(",");
        Listing {
            name: self.cfg.name.clone(),
            role: Role::Engine,
            domain: self.cfg.domain.clone(),
            addr: self.addr().to_string(),
            peer_addr: String::new(),
            leaving: false,
            labels: [("model".to_owned(), models)].into(),
        }
    }

    /// Carries out a fault order.
    pub fn fault(&self, fault: &EngineFault) {
        lock(&self.state).fault(self.clock.now(), fault);
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        lock(&self.state).stats()
    }
}

fn tick_until_dropped(state: &Weak<Mutex<EngineState>>, site: &Site, clock: Clock) {
    while let Some(state) = state.upgrade() {
        let mut held = lock(&state);
        held.tick(clock.now());
        let down = held.down();
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

fn handle(state: &Mutex<EngineState>, now: Millis, request: Request) {
    let url = request.url().to_owned();
    let (path, query) = split_url(&url);
    match path {
        "/stats" => return respond(request, 200, &lock(state).stats()),
        "/fault" => return fault(state, now, request),
        _ if lock(state).down() => return cut(request),
        _ => {}
    }
    match (request.method(), path) {
        (Method::Post, "/v1/generate") => generate(state, now, request),
        (Method::Post, "/v1/resume") => resume(state, now, request),
        (Method::Post, "/v1/cancel") => cancel(state, request),
        (Method::Post, "/v1/order") => order(state, request),
        (Method::Get, "/v1/load") => respond(request, 200, &lock(state).load(now)),
        (Method::Get, "/v1/cache-events") => {
            let after = query_number(query, "after").unwrap_or(0);
            let events = lock(state).cache_events(now, after);
            respond(request, 200, &json!({ "events": events }));
        }
        _ => reject(request, 404, "not_found"),
    }
}

fn fault(state: &Mutex<EngineState>, now: Millis, request: Request) {
    if let Some((request, fault)) = json_body(request) {
        lock(state).fault(now, &fault);
        respond(request, 200, &json!({}));
    }
}

fn generate(state: &Mutex<EngineState>, now: Millis, request: Request) {
    let Some((request, submit)) = json_body::<Submit>(request) else {
        return;
    };
    let mut state = lock(state);
    match state.submit(now, &submit) {
        Submitted::Rejected(rejection) => refuse(request, rejection),
        Submitted::Crashed | Submitted::AnswerLost => cut(request),
        Submitted::Accepted => {
            if let Ok(sink) = ChunkWriter::start(request, STREAM_TYPE) {
                state.attach(now, &submit.request, submit.attempt, submit.offset, sink);
            }
        }
    }
}

#[derive(Deserialize)]
struct Resume {
    request: String,
    attempt: u32,
    epoch: u64,
    offset: u32,
}

fn resume(state: &Mutex<EngineState>, now: Millis, request: Request) {
    let Some((request, resume)) = json_body::<Resume>(request) else {
        return;
    };
    let mut state = lock(state);
    if let Err(rejection) = state.check_resume(resume.epoch, &resume.request, resume.offset) {
        return refuse(request, rejection);
    }
    if let Ok(sink) = ChunkWriter::start(request, STREAM_TYPE) {
        state.attach(now, &resume.request, resume.attempt, resume.offset, sink);
    }
}

#[derive(Deserialize)]
struct Cancel {
    request: String,
    epoch: u64,
}

fn cancel(state: &Mutex<EngineState>, request: Request) {
    let Some((request, cancel)) = json_body::<Cancel>(request) else {
        return;
    };
    let mut state = lock(state);
    if let Err(rejection) = state.check_epoch(cancel.epoch) {
        return refuse(request, rejection);
    }
    let cancelled = state.cancel(&cancel.request);
    respond(request, 200, &json!({ "cancelled": cancelled }));
}

#[derive(Deserialize)]
struct Order {
    epoch: u64,
    load_model: Option<String>,
}

fn order(state: &Mutex<EngineState>, request: Request) {
    let Some((request, order)) = json_body::<Order>(request) else {
        return;
    };
    let mut state = lock(state);
    if let Err(rejection) = state.check_epoch(order.epoch) {
        return refuse(request, rejection);
    }
    if let Some(model) = order.load_model {
        state.load_model(model);
    }
    respond(request, 200, &json!({}));
}

fn refuse(request: Request, rejection: Rejection) {
    let (status, word) = match rejection {
        Rejection::StaleEpoch => (409, "stale_epoch"),
        Rejection::Full => (429, "full"),
        Rejection::Cold => (503, "cold"),
        Rejection::UnknownStream => (404, "unknown_stream"),
        Rejection::Invalid => (422, "invalid"),
    };
    reject(request, status, word);
}
