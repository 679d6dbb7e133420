//! All duties of one instance and the order in which an input passes them.

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
use crate::capacity::Scope;
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
use crate::once::Member;
use crate::once::Once;
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

/// Longest time that a leaving instance without requests waits for its homes to
/// be handed over.
const HANDOVER_BOUND: Millis = Millis(10_000);

/// The state of all duties.
#[derive(Debug)]
pub(super) struct Duties {
    pub(super) fleet: Fleet,
    pub(super) router: Router,
    pub(super) queue: Queue,
    pub(super) capacity: Capacity,
    pub(super) conditions: Conditions,
    pub(super) flights: HashMap<RequestId, Flight>,
    pub(super) gangs: Gangs,
    pub(super) lingers: Lingers,
    pub(super) budgets: Budgets,
    pub(super) members: Membership,
    pub(super) everyone: Vec<Member>,
    pub(super) once: Once,
    pub(super) quarantine: Quarantine,
    pub(super) spread: Spread,
    pub(super) revision: Revision,
    /// When a leaving instance was first without requests.
    pub(super) idle_since: Option<Millis>,
    pub(super) leaving: bool,
    pub(super) stopped: bool,
}

impl Duties {
    pub(super) fn new(me: &Identity) -> Duties {
        let mut fleet = Fleet::default();
        let local = fleet.domain_or_insert(&me.domain);
        Duties {
            fleet,
            router: Router::new(local),
            queue: Queue::default(),
            capacity: Capacity::new(me),
            conditions: Conditions::default(),
            flights: HashMap::new(),
            gangs: Gangs::default(),
            lingers: Lingers::default(),
            budgets: Budgets::default(),
            members: Membership::new(me),
            everyone: Vec::new(),
            quarantine: Quarantine::default(),
            spread: Spread::new(Periods::default()),
            once: Once::new(me.unix_zero),
            revision: Revision::default(),
            idle_since: None,
            leaving: false,
            stopped: false,
        }
    }

    /// Returns the duties of an instance that shares its backend servers with
    /// nobody.
    pub(super) fn alone(me: &Identity) -> Duties {
        Duties {
            capacity: Capacity::default(),
            ..Duties::new(me)
        }
    }

    /// Returns the duty of limits and what it needs of others.
    fn limits(&mut self) -> (&mut Capacity, Scope<'_>) {
        let scope = Scope {
            fleet: &self.fleet,
            conditions: &mut self.conditions,
            members: &mut self.members,
        };
        (&mut self.capacity, scope)
    }

    pub(super) fn handle(&mut self, cx: &mut Cx<'_>, input: Input) {
        match input {
            Input::Tick => self.tick(cx),
            Input::Submit(submission) => self.submit(cx, submission),
            Input::CallerGone { request } => self.caller_gone(cx, request),
            Input::Attempt { attempt, event } => self.attempt(cx, attempt, event),
            Input::Backend { backend, answer } => self.backend(cx, &backend, answer),
            Input::Peer(frame) => self.peer(cx, frame),
            Input::Store { ticket, result } => self.store(cx, ticket, result),
            Input::Listings(listings) => self.listings(cx, listings),
            Input::Admin { ticket, query } => self.admin(cx, ticket, query),
            Input::Shutdown => self.shutdown(cx),
        }
        self.pump(cx);
        let open = i64::try_from(self.flights.len()).unwrap_or(i64::MAX);
        cx.metrics.set(Level::RequestsOpen, open);
    }

    /// Returns whether callers may be sent to this instance: it has declarations
    /// and has read the instance list.
    pub(super) fn ready(&self) -> bool {
        let declared = !self.fleet.declaration().kinds.is_empty();
        let listed = !self.fleet.listings().is_empty();
        !self.leaving && declared && listed
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
        self.gather(cx);
        self.spread_tick(cx);
        let outcomes = self.once.tick(cx);
        self.claimed(cx, outcomes);
        let (capacity, mut scope) = self.limits();
        capacity.tick(cx, &mut scope);
        self.expire(cx);
        self.gang_tick(cx);
        self.unload(cx);
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

    fn listings(&mut self, cx: &mut Cx<'_>, listings: Vec<Listing>) {
        self.members.on_list(cx, &listings);
        self.fleet.list(listings);
        self.conditions.fleet_changed(cx, &self.fleet);
    }

    /// Sends heartbeats and tells the duties who is live.
    fn gather(&mut self, cx: &mut Cx<'_>) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let waiting = count(self.queue.len());
        let own = OwnState {
            epoch: self.capacity.epoch(),
            revision: self.revision,
            load: Load {
                waiting,
                running: count(self.flights.len()).saturating_sub(waiting),
            },
        };
        self.members.tick(cx, own);
        let live = self.members.live_in(&cx.me.domain);
        let keepers = live
            .into_iter()
            .map(|name| Member {
                name: name.to_owned(),
                addr: self.members.addr(name).unwrap_or_default().to_owned(),
            })
            .collect();
        self.once.set_keepers(keepers);
        let (live, known) = self.others();
        self.everyone = live;
        self.once.set_known(known);
        self.quarantine.tick(cx, &self.everyone);
    }

    /// Returns the other instances that serve, and all that are known.
    fn others(&self) -> (Vec<Member>, Vec<Member>) {
        let mut live = Vec::new();
        let mut known = Vec::new();
        for (name, member) in self.members.members() {
            let other = Member {
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

    fn backend(&mut self, cx: &mut Cx<'_>, name: &str, answer: BackendAnswer) {
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
                    self.gang_died(cx, backend);
                }
                let freed = self.lingers.report(backend, &report);
                self.fleet.set_boot(backend, report.boot);
                self.report(cx, backend, &report);
                freed
            }
            BackendAnswer::Failed { refused: true } => {
                self.conditions
                    .sign(cx, &self.fleet, backend, Sign::Refused);
                self.gang_died(cx, backend);
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
                self.gang_answer(cx, backend, &answer);
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

    /// Shows a load report to the duty of limits.
    fn report(&mut self, cx: &mut Cx<'_>, backend: BackendKey, report: &LoadReport) {
        let mut scope = Scope {
            fleet: &self.fleet,
            conditions: &mut self.conditions,
            members: &mut self.members,
        };
        let is_open = |request| self.flights.contains_key(&request);
        self.capacity
            .on_report(cx, &mut scope, backend, report, &is_open);
    }

    fn peer(&mut self, cx: &mut Cx<'_>, frame: PeerFrame) {
        cx.timeline.observe(frame.stamp);
        for message in frame.messages {
            match message {
                PeerMessage::Spread(message) => self.spread_message(cx, &frame.from, message),
                PeerMessage::Quarantine(message) => self.quarantine.on_message(cx.now, message),
                PeerMessage::Once(message) => {
                    let outcomes = self.once.on_message(cx, &frame.from, message);
                    self.claimed(cx, outcomes);
                }
                PeerMessage::Capacity(message) => {
                    let (capacity, mut scope) = self.limits();
                    capacity.on_message(cx, &mut scope, &frame.from, frame.boot, message);
                    self.queue.recheck();
                }
                PeerMessage::Membership(beat) => {
                    self.members.on_message(cx, &frame.from, frame.boot, beat);
                }
            }
        }
    }

    fn store(&mut self, cx: &mut Cx<'_>, ticket: Ticket, result: StoreResult) {
        if result.is_err() {
            cx.count(Count::StoreFailures);
        }
        match ticket.duty {
            Duty::Once => {
                let outcomes = self.once.on_store(cx, ticket, result);
                self.claimed(cx, outcomes);
            }
            Duty::Capacity => {
                let (capacity, mut scope) = self.limits();
                capacity.on_store(cx, &mut scope, ticket, result);
            }
            Duty::Spread => self.spread_store(cx, ticket, result),
        }
    }

    fn admin(&mut self, cx: &mut Cx<'_>, ticket: u64, query: AdminQuery) {
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
                return self.spread.show(cx, ticket, revision);
            }
            AdminQuery::ApplyDeclaration(request) => {
                self.spread.apply(cx, ticket, request);
                return self.take_declaration(cx);
            }
            AdminQuery::Models { token_sha256 } => self.models(&token_sha256),
        };
        cx.out.push(Output::Admin { ticket, answer });
    }

    fn shutdown(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        self.members.leave(cx);
        self.capacity.leave();
        cx.metrics.set(Level::Ready, 0);
        let detail = format!("leaving with {} requests open", self.flights.len());
        cx.event(EventKind::Ready, Subject::default(), detail);
    }

    /// Lets the queue dispatch, and ends the process's work when all is done.
    fn pump(&mut self, cx: &mut Cx<'_>) {
        self.dispatch(cx);
        let (capacity, mut scope) = self.limits();
        capacity.ask(cx, &mut scope);
        let idle = self.flights.is_empty() && self.once.unconfirmed() == 0;
        if !self.leaving || self.stopped || !idle {
            return;
        }
        let since = *self.idle_since.get_or_insert(cx.now);
        if self.capacity.has_left() || cx.now.since(since) >= HANDOVER_BOUND {
            self.stopped = true;
            cx.out.push(Output::Stopped);
        }
    }

    pub(super) fn refuse(&mut self, cx: &mut Cx<'_>, request: RequestId, refusal: Refusal) {
        let reply = Reply::Refused(refusal);
        cx.out.push(Output::Reply { request, reply });
    }
}
