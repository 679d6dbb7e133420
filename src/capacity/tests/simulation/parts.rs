//! Simulated engines, and the events in flight between instances, engines and
//! the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::MEMORY_TOKENS_PER_REQUEST;
use super::PREFILL_TOKENS_PER_REQUEST;
use super::domain;
use crate::backend::BackendOrder;
use crate::backend::LoadReport;
use crate::backend::RunningStream;
use crate::clock::Millis;
use crate::condition::Signal;
use crate::control::Ticket;
use crate::fleet::Listing;
use crate::fleet::Role;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::RequestId;
use crate::peer::PeerMessage;
use crate::store::StoreOp;
use crate::store::StoreResult;

/// An engine that admits every request.
#[derive(Debug, Default)]
pub struct Engine {
    /// Running requests with the instance that sent each.
    pub running: BTreeMap<RequestId, String>,
    pub boot: u64,
    pub epoch: Epoch,
    /// Whether it rejects orders with an older epoch than it has seen.
    pub fences_epochs: bool,
    /// Time at which the test declared it cold, and its cold stream limit; used
    /// only to count violations.
    pub cold: Option<(Millis, u64)>,
    /// Number of admissions above the cold limit, and the time of the last,
    /// relative to when the engine turned cold.
    pub over_cold_limit: (u64, Millis),
}

#[derive(Debug, Clone)]
pub enum Event {
    Peer {
        to: String,
        from: String,
        boot: Boot,
        message: PeerMessage,
    },
    Store {
        instance: String,
        boot: Boot,
        ticket: Ticket,
        op: StoreOp,
    },
    StoreAnswer {
        instance: String,
        boot: Boot,
        ticket: Ticket,
        result: StoreResult,
    },
    /// A request arrives at an engine.
    RequestArrived {
        engine: String,
        instance: String,
        request: RequestId,
        epoch: Epoch,
    },
    /// A request finishes at an engine.
    RequestFinished { engine: String, request: RequestId },
    /// An instance learns that its attempt has ended.
    AttemptEnded {
        instance: String,
        request: RequestId,
        signal: Option<Signal>,
    },
    Order {
        instance: String,
        engine: String,
        order: BackendOrder,
    },
    Report {
        instance: String,
        engine: String,
        report: LoadReport,
    },
}

impl Event {
    /// Returns the instance that handles the event; if it is paused, the event
    /// waits.
    pub fn receiver(&self) -> Option<&str> {
        match self {
            Event::Peer { to, .. } => Some(to),
            Event::StoreAnswer { instance, .. }
            | Event::AttemptEnded { instance, .. }
            | Event::Report { instance, .. } => Some(instance),
            Event::Store { .. }
            | Event::RequestArrived { .. }
            | Event::RequestFinished { .. }
            | Event::Order { .. } => None,
        }
    }
}

impl Engine {
    pub fn report(&self) -> LoadReport {
        let streams = self.running.iter().map(|(&request, owner)| RunningStream {
            request,
            owner: owner.clone(),
            memory_tokens: MEMORY_TOKENS_PER_REQUEST,
        });
        let streams: Vec<RunningStream> = streams.collect();
        let count = u64::try_from(streams.len()).unwrap();
        LoadReport {
            boot: Boot(self.boot),
            epoch: self.epoch,
            age_ms: Millis(40),
            memory_used: count * MEMORY_TOKENS_PER_REQUEST,
            memory_total: 1_000_000,
            prefill_waiting: count * PREFILL_TOKENS_PER_REQUEST,
            streams,
            models: Vec::new(),
        }
    }
}

/// Returns the platform's list of instances and engines.
pub fn listings(names: &BTreeSet<String>, engines: &[String]) -> Vec<Listing> {
    let listing = |name: &str, role| Listing {
        name: name.to_owned(),
        role,
        domain: domain(name).to_owned(),
        addr: format!("{name}:2"),
        peer_addr: format!("{name}:1"),
        leaving: false,
        labels: BTreeMap::new(),
    };
    let entries = names.iter().map(|name| listing(name, Role::Entry));
    let engines = engines.iter().map(|name| listing(name, Role::Engine));
    entries.chain(engines).collect()
}
