//! The components of one instance and the dispatch of inputs to them.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::AdminAnswer;
use super::AdminQuery;
use super::Component;
use super::Cx;
use super::Identity;
use super::Input;
use super::Output;
use super::Reply;
use super::Ticket;
use super::stop::Stop;
use crate::admission::Queue;
use crate::attempt::InFlightRequest;
use crate::attempt::OrphanedCalls;
use crate::attempt::RetryBudgets;
use crate::backend::BackendAnswer;
use crate::backend::LoadReport;
use crate::capacity::Capacity;
use crate::capacity::CapacityContext;
use crate::condition::Conditions;
use crate::condition::Signal;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::fleet::Listing;
use crate::gang::Gangs;
use crate::id::RequestId;
use crate::id::Revision;
use crate::membership::InstanceState;
use crate::membership::Load;
use crate::membership::Membership;
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

/// The state of all components.
#[derive(Debug)]
pub(super) struct Components {
    pub(super) fleet: Fleet,
    pub(super) router: Router,
    pub(super) queue: Queue,
    pub(super) capacity: Capacity,
    pub(super) conditions: Conditions,
    pub(super) in_flight: HashMap<RequestId, InFlightRequest>,
    pub(super) gangs: Gangs,
    pub(super) orphans: OrphanedCalls,
    pub(super) budgets: RetryBudgets,
    pub(super) members: Membership,
    /// The other instances that are live or suspected, as receivers of
    /// quarantine messages.
    pub(super) other_serving_instances: Vec<Peer>,
    pub(super) once: AtMostOnce,
    pub(super) quarantine: Quarantine,
    pub(super) spread: Spread,
    pub(super) revision: Revision,
    pub(super) stop: Stop,
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
            orphans: OrphanedCalls::default(),
            budgets: RetryBudgets::default(),
            members: Membership::new(me),
            other_serving_instances: Vec::new(),
            quarantine: Quarantine::default(),
            spread: Spread::new(Periods::default()),
            once: AtMostOnce::new(me.unix_time_at_start),
            revision: Revision::default(),
            stop: Stop::default(),
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

    /// Returns the capacity component, and the other components that it reads
    /// or changes.
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
            Input::Admin { query_id, query } => self.on_admin_query(cx, query_id, query),
            Input::Shutdown { time_limit } => self.on_shutdown(cx, time_limit),
        }
        self.dispatch(cx);
        let (capacity, mut context) = self.capacity_and_context();
        capacity.send_urgent_requests(cx, &mut context);
        self.check_drained(cx);
        let open = i64::try_from(self.in_flight.len()).unwrap_or(i64::MAX);
        cx.metrics.set(Level::RequestsOpen, open);
    }

    /// Returns whether this instance is ready to accept callers' requests: it has
    /// declarations, has read the instance list and is not draining.
    pub(super) fn ready(&self) -> bool {
        let declared = !self.fleet.declaration().kinds.is_empty();
        let listed = !self.fleet.listings().is_empty();
        !self.draining() && declared && listed
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
        self.update_membership(cx);
        self.spread_tick(cx);
        let outcomes = self.once.tick(cx);
        self.apply_claim_outcomes(cx, outcomes);
        let (capacity, mut context) = self.capacity_and_context();
        capacity.tick(cx, &mut context);
        self.fail_expired_requests(cx);
        self.expire_gangs(cx);
        self.move_excess_off_cold_backends(cx);
        self.migrate_slow_attempts(cx);
        for lease in self.orphans.tick(cx, &self.fleet) {
            self.router.record_lease_released(lease.backend);
            self.capacity.release(lease);
        }
        let ready = self.ready();
        if (cx.metrics.level(Level::Ready) == 1) != ready {
            cx.metrics.set(Level::Ready, i64::from(ready));
            let detail = if ready { "ready" } else { "not ready" };
            cx.event(EventKind::Ready, Subject::default(), detail.to_owned());
        }
    }

    fn on_listings(&mut self, cx: &mut Cx<'_>, listings: Vec<Listing>) {
        self.members.apply_listings(cx, &listings);
        self.fleet.apply_listings(listings);
        self.conditions.apply_fleet_change(cx, &self.fleet);
    }

    /// Sends heartbeats, and passes the serving (live or suspected) and known
    /// instances to the components that need them.
    fn update_membership(&mut self, cx: &mut Cx<'_>) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let waiting = count(self.queue.len());
        let state = InstanceState {
            epoch: self.capacity.epoch(),
            revision: self.revision,
            load: Load {
                waiting,
                running: count(self.in_flight.len()).saturating_sub(waiting),
            },
        };
        self.members.tick(cx, state);
        let serving = self.members.serving_in(&cx.me.domain);
        let keepers = serving
            .into_iter()
            .map(|name| Peer {
                name: name.to_owned(),
                addr: self.members.addr(name).unwrap_or_default().to_owned(),
            })
            .collect();
        self.once.set_keeper_candidates(keepers);
        self.once
            .set_other_domains(self.other_domains(&cx.me.domain));
        let (serving, known) = self.other_instances();
        self.other_serving_instances = serving;
        self.once.set_known_instances(known);
        self.quarantine.tick(cx, &self.other_serving_instances);
    }

    /// Returns the instances that serve in each failure domain except this one.
    fn other_domains(&self, own: &str) -> Vec<Vec<Peer>> {
        let mut domains: BTreeMap<&str, Vec<Peer>> = BTreeMap::new();
        for (name, member) in self.members.members() {
            if member.domain != own && member.state.serves() {
                domains.entry(&member.domain).or_default().push(Peer {
                    name: name.to_owned(),
                    addr: member.addr.clone(),
                });
            }
        }
        domains.into_values().collect()
    }

    /// Returns the other instances that serve (live or suspected ones), and all
    /// other instances that are known.
    fn other_instances(&self) -> (Vec<Peer>, Vec<Peer>) {
        let mut serving = Vec::new();
        let mut known = Vec::new();
        for (name, member) in self.members.members() {
            let other = Peer {
                name: name.to_owned(),
                addr: member.addr.clone(),
            };
            if member.state.serves() {
                serving.push(other.clone());
            }
            known.push(other);
        }
        (serving, known)
    }

    fn on_backend_answer(&mut self, cx: &mut Cx<'_>, name: &str, answer: BackendAnswer) {
        let Some(backend) = self.fleet.backend_key(name) else {
            return;
        };
        let released = match answer {
            BackendAnswer::Cancelled { request } => self.orphans.on_cancelled(backend, request),
            BackendAnswer::Load(report) => {
                let signal = Signal::Reported { boot: report.boot };
                self.conditions.observe(cx, &self.fleet, backend, signal);
                self.router.apply_load_report(cx.now, backend, &report);
                let known = self.fleet.backend(backend).boot;
                if known.is_some_and(|known| known != report.boot) {
                    self.router.affinity.clear_holder(backend);
                    self.fail_gangs_of(cx, backend);
                }
                let released = self.orphans.on_load_report(backend, &report);
                self.fleet.set_boot(backend, report.boot);
                self.apply_load_report(cx, backend, &report);
                released
            }
            BackendAnswer::Failed { refused: true } => {
                self.conditions
                    .observe(cx, &self.fleet, backend, Signal::Refused);
                self.fail_gangs_of(cx, backend);
                self.orphans.on_connection_refused(backend)
            }
            BackendAnswer::Failed { refused: false } => {
                self.conditions
                    .observe(cx, &self.fleet, backend, Signal::Silent);
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
                self.router.apply_cache_events(cx.now, backend, &events);
                Vec::new()
            }
        };
        for lease in released {
            self.router.record_lease_released(lease.backend);
            self.capacity.release(lease);
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
                PeerMessage::Membership(heartbeat) => {
                    self.members
                        .on_message(cx, &frame.from, frame.boot, heartbeat);
                }
            }
        }
    }

    fn on_store_result(&mut self, cx: &mut Cx<'_>, ticket: Ticket, result: StoreResult) {
        if result.is_err() {
            cx.count(Count::StoreFailures);
        }
        match ticket.component {
            Component::Once => {
                let outcomes = self.once.on_store(cx, ticket, result);
                self.apply_claim_outcomes(cx, outcomes);
            }
            Component::Capacity => {
                let (capacity, mut context) = self.capacity_and_context();
                capacity.on_store(cx, &mut context, ticket, result);
            }
            Component::Spread => self.on_spread_result(cx, ticket, result),
        }
    }

    fn on_admin_query(&mut self, cx: &mut Cx<'_>, query_id: u64, query: AdminQuery) {
        let answer = match query {
            AdminQuery::Status => AdminAnswer::Json(self.status(cx)),
            AdminQuery::Timeline { filter, limit } => {
                AdminAnswer::Events(cx.timeline.select(&filter, limit))
            }
            AdminQuery::History => AdminAnswer::json(&self.spread.history()),
            AdminQuery::Held => {
                let peers = self.recently_heard_peers(cx);
                AdminAnswer::json(&self.spread.held_revisions(&cx.me.name, &peers))
            }
            AdminQuery::Listings => AdminAnswer::json(&self.fleet.listings()),
            AdminQuery::Explain(request) => self.explain(cx, &request),
            AdminQuery::GetDeclaration { revision } => {
                return self.spread.answer_document(cx, query_id, revision);
            }
            AdminQuery::ApplyDeclaration(request) => {
                self.spread.apply(cx, query_id, request);
                return self.apply_adopted_declaration(cx);
            }
            AdminQuery::Models { token_sha256 } => self.models(&token_sha256),
        };
        cx.out.push(Output::Admin { query_id, answer });
    }

    pub(super) fn send_refusal(&mut self, cx: &mut Cx<'_>, request: RequestId, refusal: Refusal) {
        let reply = Reply::Refused(refusal);
        cx.out.push(Output::Reply { request, reply });
    }
}
