//! Stand-in of the platform's instance list, which lags.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use serde::Deserialize;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::site::Site;
use crate::site::json_body;
use crate::site::lock;
use crate::site::reject;
use crate::site::respond;
use skylarkhook::clock::Clock;
use skylarkhook::clock::Millis;
use skylarkhook::fleet::Listing;

/// Settings of an instance list.
#[derive(Debug, Clone)]
pub struct ListConfig {
    /// Address to listen on, `ip:port`.
    pub addr: String,
    /// Time until a change shows.
    pub lag: Millis,
    /// The first entries.
    pub instances: Vec<Listing>,
}

/// A fault order.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListFault {
    /// Marks an instance as leaving.
    pub leave: Option<String>,
    /// Removes an instance.
    pub remove: Option<String>,
    /// Adds or replaces an instance.
    pub add: Option<Listing>,
    /// Changes the lag.
    pub lag_ms: Option<Millis>,
    /// Answers 503 for so long.
    pub down_ms: Option<Millis>,
}

struct State {
    lag: Millis,
    newest: Vec<Listing>,
    /// Lists not yet shown, with the time from which they are.
    pending: VecDeque<(Millis, Vec<Listing>)>,
    shown: Vec<Listing>,
    down_until: Millis,
    calls: u64,
}

impl State {
    fn change(&mut self, now: Millis, change: impl FnOnce(&mut Vec<Listing>)) {
        change(&mut self.newest);
        self.pending
            .push_back((now + self.lag, self.newest.clone()));
    }

    fn show(&mut self, now: Millis) -> &[Listing] {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, list)) = self.pending.pop_front() {
                self.shown = list;
            }
        }
        &self.shown
    }

    fn fault(&mut self, now: Millis, fault: ListFault) {
        if let Some(lag) = fault.lag_ms {
            self.lag = lag;
        }
        if let Some(span) = fault.down_ms {
            self.down_until = now + span;
        }
        if let Some(name) = fault.leave {
            self.change(now, |list| {
                for entry in list.iter_mut().filter(|entry| entry.name == name) {
                    entry.leaving = true;
                }
            });
        }
        if let Some(name) = fault.remove {
            self.change(now, |list| list.retain(|entry| entry.name != name));
        }
        if let Some(added) = fault.add {
            self.change(now, |list| {
                list.retain(|entry| entry.name != added.name);
                list.push(added);
            });
        }
    }
}

/// A running instance list.
pub struct ListHandle {
    site: Arc<Site>,
    state: Arc<Mutex<State>>,
    clock: Clock,
}

impl ListHandle {
    /// Starts an instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(cfg: ListConfig) -> io::Result<ListHandle> {
        let clock = Clock::start();
        let state = Arc::new(Mutex::new(State {
            lag: cfg.lag,
            newest: cfg.instances.clone(),
            pending: VecDeque::new(),
            shown: cfg.instances,
            down_until: Millis::ZERO,
            calls: 0,
        }));
        let shared = Arc::clone(&state);
        let site = Site::start(&cfg.addr, move |request| {
            handle(&shared, clock.now(), request);
        })?;
        Ok(ListHandle { site, state, clock })
    }

    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.site.addr()
    }

    /// Changes the list; the change shows after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Listing>)) {
        lock(&self.state).change(self.clock.now(), change);
    }

    /// Carries out a fault order.
    pub fn fault(&self, fault: ListFault) {
        lock(&self.state).fault(self.clock.now(), fault);
    }
}

fn handle(state: &Mutex<State>, now: Millis, request: Request) {
    let get = *request.method() == Method::Get;
    match (get, request.url()) {
        (true, "/v1/instances") => {
            let mut state = lock(state);
            state.calls += 1;
            if now < state.down_until {
                return reject(request, 503, "down");
            }
            let body = json!({ "instances": state.show(now) });
            drop(state);
            respond(request, 200, &body);
        }
        (true, "/stats") => {
            let calls = lock(state).calls;
            respond(request, 200, &json!({ "calls": calls }));
        }
        (false, "/fault") => {
            if let Some((request, fault)) = json_body(request) {
                lock(state).fault(now, fault);
                respond(request, 200, &json!({}));
            }
        }
        _ => reject(request, 404, "not_found"),
    }
}
