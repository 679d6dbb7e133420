//! The components of one instance and the dispatch of inputs to them.

use std::collections::HashMap;

use super::AdminAnswer;
use super::AdminQuery;
use super::Cx;
use super::Duty;
use super::Identity;
use super::Input;
use super::Output;
use super::Reply;
use super::Ticket;
use crate::admission::Queue;
use crate::attempt::Budgets;
use crate::attempt::Flight;
use crate::attempt::Lingers;
use crate::backend::BackendAnswer;
use crate::backend::LoadReport;
use crate::capacity::Capacity;
use crate::capacity::CapacityContext;
use crate::clock::Millis;
use crate::condition::Conditions;
use crate::condition::Sign;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::fleet::Listing;
use crate::gang::Gangs;
use crate::id::RequestId;
use crate::id::Revision;
use crate::membership::Load;
use crate::membership::Membership;
use crate::membership::OwnState;
use crate::metrics::Count;
use crate::metrics::Level;
use crate::once::AtMostOnce;
use crate::once::Peer;
use crate::peer::PeerFrame;
use crate::peer::PeerMessage;
use crate::quarantine::Quarantine;
use crate::routing::Router;
use crate::spread::Periods;
use crate::spread::Spread;
use crate::store::StoreResult;
use crate::timeline::EventKind;
use crate::timeline::Subject;
use crate::verdict::Refusal;

/// Longest time that a draining instance without requests waits for the handover
/// of the servers that it coordinates.
const HANDOVER_TIMEOUT: Millis = Millis(10_000);

/// The state of all components.
#[derive(Debug)]
pub(super) struct Components {
    pub(super) fleet: Fleet,
    pub(super) router: Router,
    pub(super) queue: Queue,
    pub(super) capacity: Capacity,
    pub(super) conditions: Conditions,
    pub(super) in_flight: HashMap<RequestId, Flight>,
    pub(super) gangs: Gangs,
    pub(super) lingers: Lingers,
    pub(super) budgets: Budgets,
    pub(super) members: Membership,
    pub(super) live_instances: Vec<Peer>,
    pub(super) once: AtMostOnce,
    pub(super) quarantine: Quarantine,
    pub(super) spread: Spread,
    pub(super) revision: Revision,
    /// When a draining instance first had no open requests.
    pub(super) idle_since: Option<Millis>,
    pub(super) draining: bool,
    pub(super) stopped: bool,
}

impl Components {
    pub(super) fn new(me: &Identity) -> Components {
        let mut fleet = Fleet::default();
        let local = fleet.domain_or_insert(&me.domain);
        Components {
            fleet,
            router: Router::new(local),
            queue: Queue::default(),
            capacity: Capacity::new(me),
            conditions: Conditions::default(),
            in_flight: HashMap::new(),
            gangs: Gangs::default(),
            lingers: Lingers::default(),
            budgets: Budgets::default(),
            members: Membership::new(me),
            live_instances: Vec::new(),
            quarantine: Quarantine::default(),
            spread: Spread::new(Periods::default()),
            once: AtMostOnce::new(me.unix_zero),
            revision: Revision::default(),
            idle_since: None,
            draining: false,
            stopped: false,
        }
    }

    /// Returns the components of an instance that shares its backend servers with
    /// no other instance.
    pub(super) fn standalone(me: &Identity) -> Components {
        Components {
            capacity: Capacity::default(),
            ..Components::new(me)
        }
    }

    /// Returns the capacity component and the parts of others that it needs.
    fn capacity_and_context(&mut self) -> (&mut Capacity, CapacityContext<'_>) {
        let context = CapacityContext {
            fleet: &self.fleet,
            conditions: &mut self.conditions,
            members: &mut self.members,
        };
        (&mut self.capacity, context)
    }

    pub(super) fn handle(&mut self, cx: &mut Cx<'_>, input: Input) {
        match input {
            Input::Tick => self.tick(cx),
            Input::Submit(submission) => self.submit(cx, submission),
            Input::CallerGone { request } => self.caller_gone(cx, request),
            Input::Attempt { attempt, event } => self.on_attempt_event(cx, attempt, event),
            Input::Backend { backend, answer } => self.on_backend_answer(cx, &backend, answer),
            Input::Peer(frame) => self.on_peer_frame(cx, frame),
            Input::Store { ticket, result } => self.on_store_result(cx, ticket, result),
            Input::Listings(listings) => self.on_listings(cx, listings),
            Input::Admin { ticket, query } => self.on_admin_query(cx, ticket, query),
            Input::Shutdown => self.on_shutdown(cx),
        }
        self.dispatch_or_stop(cx);
        let open = i64::try_from(self.in_flight.len()).unwrap_or(i64::MAX);
        cx.metrics.set(Level::RequestsOpen, open);
    }

    /// Returns whether this instance is ready to accept callers' requests: it has
    /// declarations, has read the instance list and is not draining.
    pub(super) fn ready(&self) -> bool {
        let declared = !self.fleet.declaration().kinds.is_empty();
        let listed = !self.fleet.listings().is_empty();
        !self.draining && declared && listed
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
        self.update_membership(cx);
        self.spread_tick(cx);
        let outcomes = self.once.tick(cx);
        self.apply_claim_outcomes(cx, outcomes);
        let (capacity, mut context) = self.capacity_and_context();
        capacity.tick(cx, &mut context);
        self.expire(cx);
        self.expire_gangs(cx);
        self.move_surplus_off_cold_backends(cx);
        for held in self.lingers.tick(cx, &self.fleet) {
            self.router.freed(held.backend);
            self.capacity.release(held);
        }
        let ready = self.ready();
        if (cx.metrics.level(Level::Ready) == 1) != ready {
            cx.metrics.set(Level::Ready, i64::from(ready));
            let detail = if ready { "ready" } else { "not ready" };
            cx.event(EventKind::Ready, Subject::default(), detail.to_owned());
        }
    }

    fn on_listings(&mut self, cx: &mut Cx<'_>, listings: Vec<Listing>) {
        self.members.on_list(cx, &listings);
        self.fleet.list(listings);
        self.conditions.fleet_changed(cx, &self.fleet);
    }

    /// Sends heartbeats and updates the components with the live instances.
    fn update_membership(&mut self, cx: &mut Cx<'_>) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let waiting = count(self.queue.len());
        let own = OwnState {
            epoch: self.capacity.epoch(),
            revision: self.revision,
            load: Load {
                waiting,
                running: count(self.in_flight.len()).saturating_sub(waiting),
            },
        };
        self.members.tick(cx, own);
        let live = self.members.live_in(&cx.me.domain);
        let keepers = live
            .into_iter()
            .map(|name| Peer {
                name: name.to_owned(),
                addr: self.members.addr(name).unwrap_or_default().to_owned(),
            })
            .collect();
        self.once.set_keeper_candidates(keepers);
        let (live, known) = self.other_instances();
        self.live_instances = live;
        self.once.set_known_instances(known);
        self.quarantine.tick(cx, &self.live_instances);
    }

    /// Returns the other instances that are serving, and all known ones.
    fn other_instances(&self) -> (Vec<Peer>, Vec<Peer>) {
        let mut live = Vec::new();
        let mut known = Vec::new();
        for (name, member) in self.members.members() {
            let other = Peer {
                name: name.to_owned(),
                addr: member.addr.clone(),
            };
            if member.state.serves() {
                live.push(other.clone());
            }
            known.push(other);
        }
        (live, known)
    }

    fn on_backend_answer(&mut self, cx: &mut Cx<'_>, name: &str, answer: BackendAnswer) {
        let Some(backend) = self.fleet.backend_key(name) else {
            return;
        };
        let freed = match answer {
            BackendAnswer::Cancelled { request } => self.lingers.cancelled(backend, request),
            BackendAnswer::Load(report) => {
                let sign = Sign::Reported { boot: report.boot };
                self.conditions.sign(cx, &self.fleet, backend, sign);
                self.router.reported(cx.now, backend, &report);
                let known = self.fleet.backend(backend).boot;
                if known.is_some_and(|known| known != report.boot) {
                    self.router.affinity.forget(backend);
                    self.fail_gangs_of(cx, backend);
                }
                let freed = self.lingers.report(backend, &report);
                self.fleet.set_boot(backend, report.boot);
                self.apply_load_report(cx, backend, &report);
                freed
            }
            BackendAnswer::Failed { refused: true } => {
                self.conditions
                    .sign(cx, &self.fleet, backend, Sign::Refused);
                self.fail_gangs_of(cx, backend);
                self.lingers.restarted(backend)
            }
            BackendAnswer::Failed { refused: false } => {
                self.conditions.sign(cx, &self.fleet, backend, Sign::Silent);
                Vec::new()
            }
            BackendAnswer::Prefilled { .. }
            | BackendAnswer::Exported { .. }
            | BackendAnswer::Imported { .. }
            | BackendAnswer::GangFailed { .. } => {
                self.on_gang_answer(cx, backend, &answer);
                Vec::new()
            }
            BackendAnswer::CacheEvents(events) => {
                self.router.cache_events(cx.now, backend, &events);
                Vec::new()
            }
        };
        for held in freed {
            self.router.freed(held.backend);
            self.capacity.release(held);
        }
    }

    /// Passes a load report to the capacity component.
    fn apply_load_report(&mut self, cx: &mut Cx<'_>, backend: BackendKey, report: &LoadReport) {
        let mut context = CapacityContext {
            fleet: &self.fleet,
            conditions: &mut self.conditions,
            members: &mut self.members,
        };
        let is_open = |request| self.in_flight.contains_key(&request);
        self.capacity
            .on_report(cx, &mut context, backend, report, &is_open);
    }

    fn on_peer_frame(&mut self, cx: &mut Cx<'_>, frame: PeerFrame) {
        cx.timeline.observe(frame.stamp);
        for message in frame.messages {
            match message {
                PeerMessage::Spread(message) => self.on_spread_message(cx, &frame.from, message),
                PeerMessage::Quarantine(message) => self.quarantine.on_message(cx.now, message),
                PeerMessage::Once(message) => {
                    let outcomes = self.once.on_message(cx, &frame.from, message);
                    self.apply_claim_outcomes(cx, outcomes);
                }
                PeerMessage::Capacity(message) => {
                    let (capacity, mut context) = self.capacity_and_context();
                    capacity.on_message(cx, &mut context, &frame.from, frame.boot, message);
                    self.queue.recheck();
                }
                PeerMessage::Membership(beat) => {
                    self.members.on_message(cx, &frame.from, frame.boot, beat);
                }
            }
        }
    }

    fn on_store_result(&mut self, cx: &mut Cx<'_>, ticket: Ticket, result: StoreResult) {
        if result.is_err() {
            cx.count(Count::StoreFailures);
        }
        match ticket.duty {
            Duty::Once => {
                let outcomes = self.once.on_store(cx, ticket, result);
                self.apply_claim_outcomes(cx, outcomes);
            }
            Duty::Capacity => {
                let (capacity, mut context) = self.capacity_and_context();
                capacity.on_store(cx, &mut context, ticket, result);
            }
            Duty::Spread => self.on_spread_result(cx, ticket, result),
        }
    }

    fn on_admin_query(&mut self, cx: &mut Cx<'_>, ticket: u64, query: AdminQuery) {
        let answer = match query {
            AdminQuery::Status => AdminAnswer::Json(self.status(cx)),
            AdminQuery::Timeline { filter, limit } => {
                AdminAnswer::Events(cx.timeline.select(&filter, limit))
            }
            AdminQuery::History => AdminAnswer::json(&self.spread.history()),
            AdminQuery::Held => {
                let peers = self.spread_peers(cx);
                AdminAnswer::json(&self.spread.held(&cx.me.name, &peers))
            }
            AdminQuery::Listings => AdminAnswer::json(&self.fleet.listings()),
            AdminQuery::Explain(request) => self.explain(cx, &request),
            AdminQuery::GetDeclaration { revision } => {
                return self.spread.answer_document(cx, ticket, revision);
            }
            AdminQuery::ApplyDeclaration(request) => {
                self.spread.apply(cx, ticket, request);
                return self.apply_new_declaration(cx);
            }
            AdminQuery::Models { token_sha256 } => self.models(&token_sha256),
        };
        cx.out.push(Output::Admin { ticket, answer });
    }

    fn on_shutdown(&mut self, cx: &mut Cx<'_>) {
        self.draining = true;
        self.members.leave(cx);
        self.capacity.drain();
        cx.metrics.set(Level::Ready, 0);
        let detail = format!("draining with {} open requests", self.in_flight.len());
        cx.event(EventKind::Ready, Subject::default(), detail);
    }

    /// Dispatches queued requests, requests more capacity, and stops a draining
    /// instance that has no work left.
    fn dispatch_or_stop(&mut self, cx: &mut Cx<'_>) {
        self.dispatch(cx);
        let (capacity, mut context) = self.capacity_and_context();
        capacity.send_urgent_requests(cx, &mut context);
        let idle = self.in_flight.is_empty() && self.once.unconfirmed_count() == 0;
        if !self.draining || self.stopped || !idle {
            return;
        }
        let since = *self.idle_since.get_or_insert(cx.now);
        if self.capacity.has_drained() || cx.now.since(since) >= HANDOVER_TIMEOUT {
            self.stopped = true;
            cx.out.push(Output::Stopped);
        }
    }

    pub(super) fn send_refusal(&mut self, cx: &mut Cx<'_>, request: RequestId, refusal: Refusal) {
        let reply = Reply::Refused(refusal);
        cx.out.push(Output::Reply { request, reply });
    }
}
