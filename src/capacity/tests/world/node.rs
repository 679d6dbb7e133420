//! One simulated instance: membership, conditions and capacity.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Declared;
use super::MEMORY;
use super::PREFILL;
use super::domain;
use crate::backend::LoadReport;
use crate::capacity::Capacity;
use crate::capacity::CapacityContext;
use crate::capacity::LeaseUse;
use crate::clock::Millis;
use crate::condition::Conditions;
use crate::condition::Sign;
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
use crate::membership::Membership;
use crate::membership::OwnState;
use crate::metrics::Metrics;
use crate::peer::PeerMessage;
use crate::store::StoreResult;
use crate::timeline::Timeline;

/// An instance and the requests it has in flight.
pub struct Node {
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
    pub leaving: bool,
    held: BTreeMap<RequestId, LeaseUse>,
    pub sent_messages: u64,
    pub sent_bytes: u64,
}

impl Node {
    pub fn new(name: &str, boot: u64, skew: Millis, declared: Declared) -> Node {
        let me = Identity {
            name: name.to_owned(),
            domain: domain(name).to_owned(),
            boot: Boot(boot),
            peer_addr: format!("{name}:1"),
            unix_zero: Millis::ZERO,
        };
        let mut fleet = Fleet::default();
        fleet.domain_or_insert(&me.domain);
        fleet.declare(&declaration(declared));
        Node {
            fleet,
            conditions: Conditions::default(),
            members: Membership::new(&me),
            capacity: Capacity::new(&me),
            metrics: Arc::new(Metrics::new()),
            timeline: Timeline::new(name),
            rng: ChaCha8Rng::seed_from_u64(boot),
            skew,
            paused: false,
            leaving: false,
            held: BTreeMap::new(),
            sent_messages: 0,
            sent_bytes: 0,
            me,
        }
    }

    pub fn with_cx(
        &mut self,
        now: Millis,
        action: impl FnOnce(&mut Node, &mut Cx<'_>),
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

    fn split(&mut self) -> (&mut Capacity, CapacityContext<'_>) {
        let context = CapacityContext {
            fleet: &self.fleet,
            conditions: &mut self.conditions,
            members: &mut self.members,
        };
        (&mut self.capacity, context)
    }

    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        let own = OwnState {
            epoch: self.capacity.epoch(),
            ..OwnState::default()
        };
        self.members.tick(cx, own);
        let (capacity, mut context) = self.split();
        capacity.tick(cx, &mut context);
    }

    pub fn on_peer(&mut self, cx: &mut Cx<'_>, from: &str, boot: Boot, message: PeerMessage) {
        match message {
            PeerMessage::Membership(beat) => self.members.on_message(cx, from, boot, beat),
            PeerMessage::Capacity(message) => {
                let (capacity, mut context) = self.split();
                capacity.on_message(cx, &mut context, from, boot, message);
            }
            other => panic!("not a message of these components: {other:?}"),
        }
    }

    pub fn on_store(&mut self, cx: &mut Cx<'_>, ticket: Ticket, result: StoreResult) {
        let (capacity, mut context) = self.split();
        capacity.on_store(cx, &mut context, ticket, result);
    }

    pub fn on_report(&mut self, cx: &mut Cx<'_>, engine: &str, report: &LoadReport) {
        let key = self.fleet.backend_key(engine).unwrap();
        let sign = Sign::Reported { boot: report.boot };
        self.conditions.sign(cx, &self.fleet, key, sign);
        self.fleet.set_boot(key, report.boot);
        let open: BTreeSet<RequestId> = self.held.keys().copied().collect();
        let (capacity, mut context) = self.split();
        capacity.on_report(cx, &mut context, key, report, &|request| {
            open.contains(&request)
        });
    }

    pub fn on_ended(&mut self, cx: &mut Cx<'_>, request: RequestId, sign: Option<Sign>) {
        let Some(held) = self.held.remove(&request) else {
            return;
        };
        if let Some(sign) = sign {
            self.conditions.sign(cx, &self.fleet, held.backend, sign);
        }
        self.capacity.release(held);
    }

    pub fn try_start(
        &mut self,
        cx: &mut Cx<'_>,
        engine: &str,
        request: RequestId,
    ) -> Option<Epoch> {
        let key = self.fleet.backend_key(engine)?;
        let cost = Cost {
            memory_tokens: MEMORY,
            prefill_tokens: PREFILL,
        };
        let held = self
            .capacity
            .try_acquire(cx.now, &self.fleet, &self.conditions, key, cost);
        let Some(held) = held else {
            self.capacity.record_demand(cx.now, key, cost, 50);
            let (capacity, mut context) = self.split();
            capacity.send_urgent_requests(cx, &mut context);
            return None;
        };
        let epoch = held.epoch;
        self.held.insert(request, held);
        Some(epoch)
    }
}

fn declaration(declared: Declared) -> Declaration {
    let text = format!(
        "[[limit]]\nramp_steps = 1\nramp_successes = {}\n\
         warm = {{ streams = {}, memory_tokens = {} }}\n\
         cold = {{ streams = {}, memory_tokens = {} }}\n",
        declared.successes,
        declared.warm,
        declared.warm * MEMORY,
        declared.cold,
        declared.cold * MEMORY,
    );
    toml::from_str(&text).unwrap()
}
