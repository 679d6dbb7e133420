//! One simulated instance: membership, conditions and capacity.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::EngineSetup;
use super::MEMORY_TOKENS_PER_REQUEST;
use super::PREFILL_TOKENS_PER_REQUEST;
use super::domain;
use crate::backend::LoadReport;
use crate::capacity::Capacity;
use crate::capacity::CapacityContext;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::condition::Conditions;
use crate::condition::Signal;
use crate::control::Cx;
use crate::control::Identity;
use crate::control::Output;
use crate::control::Ticket;
use crate::declaration::Declaration;
use crate::fleet::Fleet;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::RequestId;
use crate::job::Cost;
use crate::membership::InstanceState;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::peer::PeerMessage;
use crate::store::StoreResult;
use crate::timeline::Timeline;

/// An instance and the requests it has in flight.
pub struct SimInstance {
    pub me: Identity,
    pub fleet: Fleet,
    pub conditions: Conditions,
    pub members: Membership,
    pub capacity: Capacity,
    pub metrics: Arc<Metrics>,
    timeline: Timeline,
    rng: ChaCha8Rng,
    /// Offset between the simulation clock and the instance's own.
    skew: Millis,
    pub paused: bool,
    pub draining: bool,
    /// Leases of the requests in flight.
    leases: BTreeMap<RequestId, LeaseUse>,
    pub sent_messages: u64,
    pub sent_bytes: u64,
}

impl SimInstance {
    pub fn new(name: &str, boot: u64, skew: Millis, declared: EngineSetup) -> SimInstance {
        let me = Identity {
            name: name.to_owned(),
            domain: domain(name).to_owned(),
            boot: Boot(boot),
            peer_addr: format!("{name}:1"),
            unix_time_at_start: Millis::ZERO,
        };
        let mut fleet = Fleet::default();
        fleet.domain_or_insert(&me.domain);
        fleet.apply_declaration(&declaration(declared));
        SimInstance {
            fleet,
            conditions: Conditions::default(),
            members: Membership::new(&me),
            capacity: Capacity::new(&me),
            metrics: Arc::new(Metrics::new()),
            timeline: Timeline::new(name),
            rng: ChaCha8Rng::seed_from_u64(boot),
            skew,
            paused: false,
            draining: false,
            leases: BTreeMap::new(),
            sent_messages: 0,
            sent_bytes: 0,
            me,
        }
    }

    pub fn with_cx(
        &mut self,
        now: Millis,
        action: impl FnOnce(&mut SimInstance, &mut Cx<'_>),
    ) -> Vec<Output> {
        let mut out = Vec::new();
        let me = self.me.clone();
        let metrics = Arc::clone(&self.metrics);
        let mut timeline = std::mem::replace(&mut self.timeline, Timeline::new(&me.name));
        let mut rng = self.rng.clone();
        let mut cx = Cx {
            now: now.since(self.skew),
            me: &me,
            out: &mut out,
            rng: &mut rng,
            timeline: &mut timeline,
            metrics: &metrics,
        };
        action(self, &mut cx);
        self.rng = rng;
        self.timeline = timeline;
        out
    }

    fn capacity_with_context(&mut self) -> (&mut Capacity, CapacityContext<'_>) {
        let context = CapacityContext {
            fleet: &self.fleet,
            conditions: &mut self.conditions,
            members: &mut self.members,
        };
        (&mut self.capacity, context)
    }

    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        let own = InstanceState {
            epoch: self.capacity.epoch(),
            ..InstanceState::default()
        };
        self.members.tick(cx, own);
        let (capacity, mut context) = self.capacity_with_context();
        capacity.tick(cx, &mut context);
    }

    pub fn on_peer(&mut self, cx: &mut Cx<'_>, from: &str, boot: Boot, message: PeerMessage) {
        match message {
            PeerMessage::Membership(heartbeat) => {
                self.members.on_message(cx, from, boot, heartbeat)
            }
            PeerMessage::Capacity(message) => {
                let (capacity, mut context) = self.capacity_with_context();
                capacity.on_message(cx, &mut context, from, boot, message);
            }
            other => panic!("not a message of these components: {other:?}"),
        }
    }

    pub fn on_store(&mut self, cx: &mut Cx<'_>, ticket: Ticket, result: StoreResult) {
        let (capacity, mut context) = self.capacity_with_context();
        capacity.on_store(cx, &mut context, ticket, result);
    }

    pub fn on_report(&mut self, cx: &mut Cx<'_>, engine: &str, report: &LoadReport) {
        let key = self.fleet.backend_key(engine).unwrap();
        let signal = Signal::Reported { boot: report.boot };
        self.conditions.observe(cx, &self.fleet, key, signal);
        self.fleet.set_boot(key, report.boot);
        let open: BTreeSet<RequestId> = self.leases.keys().copied().collect();
        let (capacity, mut context) = self.capacity_with_context();
        capacity.on_report(cx, &mut context, key, report, &|request| {
            open.contains(&request)
        });
    }

    pub fn on_ended(&mut self, cx: &mut Cx<'_>, request: RequestId, signal: Option<Signal>) {
        let Some(lease) = self.leases.remove(&request) else {
            return;
        };
        if let Some(signal) = signal {
            self.conditions
                .observe(cx, &self.fleet, lease.backend, signal);
        }
        self.capacity.release(lease);
    }

    /// Acquires capacity for a request; without it, records the demand and
    /// sends lease requests. Returns the epoch that the request carries.
    pub fn try_start(
        &mut self,
        cx: &mut Cx<'_>,
        engine: &str,
        request: RequestId,
    ) -> Option<Epoch> {
        let key = self.fleet.backend_key(engine)?;
        let cost = Cost {
            memory_tokens: MEMORY_TOKENS_PER_REQUEST,
            prefill_tokens: PREFILL_TOKENS_PER_REQUEST,
        };
        let lease = self
            .capacity
            .try_acquire(cx.now, &self.fleet, &self.conditions, key, cost);
        let Some(lease) = lease else {
            self.capacity.record_demand(cx.now, key, cost, 50);
            let (capacity, mut context) = self.capacity_with_context();
            capacity.send_urgent_requests(cx, &mut context);
            return None;
        };
        let epoch = lease.epoch;
        self.leases.insert(request, lease);
        Some(epoch)
    }
}

fn declaration(declared: EngineSetup) -> Declaration {
    let text = format!(
        "[[limit]]\nramp_steps = 1\nramp_successes = {}\n\
         warm = {{ streams = {}, memory_tokens = {} }}\n\
         cold = {{ streams = {}, memory_tokens = {} }}\n",
        declared.ramp_successes,
        declared.warm,
        declared.warm * MEMORY_TOKENS_PER_REQUEST,
        declared.cold,
        declared.cold * MEMORY_TOKENS_PER_REQUEST,
    );
    toml::from_str(&text).unwrap()
}
