//! The life of a request: checked, placed, sent, answered.

use std::sync::Arc;

use super::Core;
use super::endings::failure;
use super::standing::value_of;
use crate::clock::Millis;
use crate::gateway::engine::JobKey;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::Placed;
use crate::gateway::lanes::Lane;
use crate::gateway::message::Output;
use crate::gateway::message::Part;
use crate::gateway::message::Plan;
use crate::gateway::message::PromptShape;
use crate::gateway::message::Reservation;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::placement::Choice;
use crate::gateway::placement::Prompt;
use crate::gateway::roster::ServerKey;
use crate::gateway::roster::id_hash;
use crate::gateway::route::Repeat;
use crate::gateway::route::Route;
use crate::gateway::route::RouteTable;
use crate::gateway::route::Workspace;
use crate::metrics::Count;
use crate::metrics::Timing;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Deadline of a request whose caller names none; the longest of any route.
const DEFAULT_DEADLINE: Millis = Millis(15_000);
/// Time kept free before a deadline, for the answer's way to the caller.
pub(super) const ANSWER_MARGIN: Millis = Millis(30);
/// Retry-After while the configuration is not known or not fresh; another
/// instance may know it at once.
const RETRY_AFTER_UNREADY: Millis = Millis(200);
/// Callers of streams leave after the longest of this, [`PATIENCE_TARGETS`]
/// times the target and [`PATIENCE_GAPS`] times the wanted pause.
const PATIENCE: Millis = Millis(2_000);
const PATIENCE_TARGETS: u64 = 4;
const PATIENCE_GAPS: u64 = 8;
/// Part of a caller's patience after which a silent send is given up, so that
/// another has time to answer: in percent.
const SILENCE_PERCENT: u64 = 85;
/// Connections that this instance opens to one backend server, beyond its
/// share of those accepted.
const MIN_CONNECTIONS: usize = 2;
/// Part of the time until memory counts as leaked for which a reservation holds
/// without renewal. The rest is for the last order of an instance that has died,
/// which may be carried out late.
const HOLD_DIVISOR: u64 = 2;
/// Time before reserved memory counts as idle for too long at which a send
/// without output gives it back: the orders' way, and one that gets lost.
const IDLE_MARGIN: Millis = Millis(1_000);
/// Share of a request's value by which its engine is chosen at random, for each
/// instance: the more there are, the more place at the same moment.
const SCATTER_PER_INSTANCE: f64 = 0.0015;
/// Greatest share that is left to chance.
const SCATTER_MAX: f64 = 0.12;
/// Longest pause in time where a route names none, in ms.
const GAP_NEVER: f64 = 60_000.0;
/// Urgency at engines where nothing else is said; the middle of their scale.
const URGENCY: u8 = 5;

/// A request that is not answered yet.
#[derive(Debug)]
pub struct Request {
    pub(super) submission: Submission,
    pub(super) route: Arc<Route>,
    pub(super) service: String,
    pub(super) workspace: Workspace,
    /// When the final answer is due.
    pub(super) answer_due: Millis,
    /// Until when it may wait for a backend server, if it waits.
    pub(super) waits_until: Option<Millis>,
    pub(super) sent: Option<Sent>,
    /// Sends that a backend server may have run.
    pub(super) sends: u32,
    /// Sends that none has run.
    pub(super) free_sends: u32,
    /// Servers that are not asked again.
    pub(super) tried: Vec<ServerKey>,
    /// What is known of whether it ran.
    pub(super) verdict: Verdict,
    /// Whether output has reached the caller.
    pub(super) output_begun: bool,
}

/// A send that has not ended.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    pub(super) job: JobKey,
    pub(super) server: ServerKey,
    pub(super) parts: Vec<ServerKey>,
    pub(super) at: Millis,
    pub(super) predicted_ms: f64,
    pub(super) started: bool,
    /// When output was last seen.
    pub(super) last_output: Millis,
    /// Longest pause between two outputs.
    pub(super) longest_pause: Millis,
}

impl Sent {
    pub(super) fn servers(&self) -> Vec<ServerKey> {
        let mut servers = self.parts.clone();
        servers.push(self.server);
        servers
    }
}

impl Core {
    pub(super) fn submit(
        &mut self,
        now: Millis,
        ticket: Ticket,
        submission: Submission,
        out: &mut Vec<Output>,
    ) {
        self.count(Count::Submitted);
        let request = match self.check(now, submission) {
            Ok(request) => request,
            Err((id, refusal)) => {
                self.log_refusal(&id, &refusal, "check");
                self.count(Count::RefusedNotRun);
                out.push(Output::Refuse(ticket, refusal));
                return;
            }
        };
        self.budgets.earn(&request.service);
        self.requests.insert(ticket, request);
        self.place(now, ticket, out);
    }

    /// Checks a request against the configuration.
    fn check(&self, now: Millis, submission: Submission) -> Result<Request, (String, Refusal)> {
        let id = submission.head.request_id.clone();
        let refuse = |refusal| Err((id.clone(), refusal));
        let unready = |message: &str| {
            Refusal::not_run(Reason::Unavailable, message).retry_after(RETRY_AFTER_UNREADY)
        };
        let Some(table) = &self.table else {
            return refuse(unready("no configuration is known yet"));
        };
        let certain = self.freshness.absence_certain(now);
        let Some(route) = table.route(&submission.host, &submission.path) else {
            if !certain {
                return refuse(unready("no such route in a configuration that may be old"));
            }
            return refuse(Refusal::not_run(Reason::NotFound, "no such route"));
        };
        let Some(workspace) = table.workspace(route, submission.head.key.as_deref()) else {
            if !certain {
                return refuse(unready("unknown key in a configuration that may be old"));
            }
            return refuse(Refusal::not_run(Reason::Unauthorized, "unknown key"));
        };
        let keyed = table.keys.is_some() && !route.anonymous;
        if keyed && !self.freshness.keys_usable(now) {
            return refuse(unready(
                "keys cannot be checked: the configuration may be old",
            ));
        }
        if id.is_empty() {
            let message = "the request has no id";
            return refuse(Refusal::not_run(Reason::BadRequest, message));
        }
        if let Some(left) = self.crashes.held(now, submission.fingerprint) {
            let refusal = Refusal::not_run(Reason::Quarantined, "crashed several backend servers");
            return refuse(refusal.retry_after(left));
        }
        let Some(service) = route.pick_service(id_hash(&id)) else {
            let message = "the route has no service";
            return refuse(Refusal::not_run(Reason::NoBackend, message));
        };
        let deadline = submission.head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let patience = deadline.min(route.time_limit);
        Ok(Request {
            service: service.to_owned(),
            workspace,
            answer_due: submission.arrived + patience,
            waits_until: None,
            sent: None,
            sends: 0,
            free_sends: 0,
            tried: Vec::new(),
            verdict: Verdict::NotRun,
            output_begun: false,
            route: Arc::new(route.clone()),
            submission,
        })
    }

    /// Sends a request to a backend server, lets it wait for one, or refuses it.
    pub(super) fn place(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if now + ANSWER_MARGIN >= request.answer_due {
            let refusal = failure(request, Reason::DeadlineExceeded, "no time is left");
            return self.refuse(now, ticket, refusal, out);
        }
        self.standing.advance(now);
        let Some(table) = self.table.clone() else {
            return;
        };
        let request = &self.requests[&ticket];
        let job =
            JobKey(id_hash(&request.submission.head.request_id) ^ u64::from(request.total_sends()));
        let is_engine = table
            .services
            .get(&request.service)
            .is_some_and(|service| service.engine.is_some());
        let choice = match request.submission.head.prompt {
            Some(shape) if is_engine => {
                let prompt = self.prompt(now, &table, request, job, shape);
                self.choose_engines(now, &table, request, &prompt)
                    .map(|choice| (choice, Some(prompt)))
            }
            _ => self.choose_server(now, &table, request).map(|key| {
                let choice = Choice {
                    first: key,
                    parts: Vec::new(),
                    first_reserved: 0,
                    first_token: now.0 as f64,
                    ready_at: 0.0,
                    loss: 0.0,
                };
                (choice, None)
            }),
        };
        let Some((choice, prompt)) = choice else {
            return self.wait_or_refuse(now, ticket, out);
        };
        if let Some(prompt) = &prompt
            && choice.first_token >= prompt.deadline
        {
            let wait = Millis((choice.first_token - now.0 as f64) as u64);
            return self.refuse_overload(now, ticket, wait, out);
        }
        self.send(now, &table, ticket, job, &choice, prompt.as_ref(), out);
    }

    fn prompt(
        &self,
        now: Millis,
        table: &RouteTable,
        request: &Request,
        job: JobKey,
        shape: PromptShape,
    ) -> Prompt {
        let engine = table
            .services
            .get(&request.service)
            .and_then(|service| service.engine);
        let usual = engine.map_or(0, |engine| engine.usual_output_tokens);
        let tokens = shape.prompt_tokens as f64;
        let lane = engine.map_or(Lane::Short, |engine| {
            self.standing.lane(&request.service, &engine, tokens)
        });
        let output = shape
            .expected_output_tokens
            .unwrap_or(usual)
            .min(shape.max_output_tokens);
        let target = request.route.target_latency;
        let due = (request.submission.arrived + target).max(now + Millis(1));
        Prompt {
            key: job,
            prompt_tokens: shape.prompt_tokens as f64,
            output_tokens: output as f64,
            due: due.0 as f64,
            deadline: request.answer_due.0 as f64,
            target: target.0 as f64,
            gap: request
                .route
                .target_gap
                .map_or(GAP_NEVER, |gap| gap.0 as f64),
            value: value_of(shape.prompt_tokens),
            urgency: URGENCY,
            lane,
            scatter: (self.instances.count() as f64 * SCATTER_PER_INSTANCE).min(SCATTER_MAX),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        now: Millis,
        table: &RouteTable,
        ticket: Ticket,
        job: JobKey,
        choice: &Choice,
        prompt: Option<&Prompt>,
        out: &mut Vec<Output>,
    ) {
        let plan = self.plan(now, table, ticket, job, choice, prompt);
        let is_cold = now < self.roster.get(choice.first).cold_until;
        if is_cold {
            self.cold.count(now, choice.first);
        }
        let standing = self.standing.describe(choice.first);
        let service = self.requests[&ticket].service.clone();
        match prompt {
            Some(prompt) => self.standing.place_prompt(now, &service, prompt, choice),
            None => self.standing.place_call(now, choice.first, job),
        }
        let parts = self.describe_parts(&choice.parts);
        let predicted_ms = choice.first_token - now.0 as f64;
        let request = self.requests.get_mut(&ticket);
        let Some(request) = request else {
            return;
        };
        request.waits_until = None;
        request.sent = Some(Sent {
            job,
            server: choice.first,
            parts: choice.parts.iter().map(|(key, _)| *key).collect(),
            at: now,
            predicted_ms,
            started: false,
            last_output: now,
            longest_pause: Millis::ZERO,
        });
        let (id, sends) = (
            request.submission.head.request_id.clone(),
            request.total_sends(),
        );
        log::info!(
            request = id.as_str(),
            send = sends,
            server = plan.server_id.as_str(),
            parts = parts.as_str(),
            predicted_ms = predicted_ms as i64,
            loss = choice.loss,
            prompt_tokens = prompt.map_or(0.0, |prompt| prompt.prompt_tokens),
            cold = is_cold,
            standing = standing.as_str(),
            config_version = table.version,
            config_age_ms = self.freshness.proof_age(now).0;
            "sent"
        );
        self.count(Count::Attempts);
        if sends > 0 {
            self.count(Count::Retries);
        }
        out.push(Output::Send(ticket, plan));
        if self.is_told(choice.first) {
            self.tell_placed(now, job, choice, prompt, out);
        }
    }

    fn plan(
        &self,
        now: Millis,
        table: &RouteTable,
        ticket: Ticket,
        job: JobKey,
        choice: &Choice,
        prompt: Option<&Prompt>,
    ) -> Plan {
        let request = &self.requests[&ticket];
        let server = self.roster.get(choice.first);
        let accepted = table
            .services
            .get(&request.service)
            .map_or(0, |service| service.max_connections as usize);
        let hold = Millis(self.bounds.memory_free.0 / HOLD_DIVISOR);
        let name = format!("{:016x}", job.0);
        let mut parts = Vec::new();
        let mut reservations = Vec::new();
        let first = [(choice.first, choice.first_reserved)];
        for &(key, tokens) in first.iter().chain(&choice.parts) {
            let addr = self.roster.get(key).entry.addr.clone();
            if tokens > 0 {
                reservations.push(Reservation {
                    addr: addr.clone(),
                    name: name.clone(),
                    tokens,
                    hold,
                    free_limit: self.bounds.memory_free,
                });
            }
            if tokens > 0 || key != choice.first {
                parts.push(Part {
                    addr,
                    reservation: (tokens > 0).then(|| name.clone()),
                });
            }
        }
        let mut output_due = output_due(now, request, choice.first_token);
        if !reservations.is_empty() {
            output_due = output_due.min(now + self.bounds.memory_idle - IDLE_MARGIN);
        }
        Plan {
            send: request.total_sends(),
            addr: server.entry.addr.clone(),
            server_id: server.entry.id.clone(),
            max_connections: (accepted / self.instances.count()).max(MIN_CONNECTIONS),
            parts,
            reservations,
            urgency: prompt.map(|prompt| prompt.urgency),
            workspace: request.workspace.name.clone(),
            answer_due: request.answer_due,
            silence: silence_limit(&request.route),
            output_due,
            resumable: request.route.repeat == Repeat::Resume,
            streaming: request.route.streaming,
            retry_failures: request.route.repeat != Repeat::Never
                && request.sends + 1 < request.route.max_sends,
        }
    }

    /// Returns the engines that read parts and the tokens reserved there, for
    /// the log.
    fn describe_parts(&self, parts: &[(ServerKey, u64)]) -> String {
        let parts: Vec<String> = parts
            .iter()
            .map(|&(key, tokens)| match tokens {
                0 => self.roster.get(key).entry.id.clone(),
                tokens => format!("{}:{tokens}", self.roster.get(key).entry.id),
            })
            .collect();
        parts.join(",")
    }

    fn tell_placed(
        &self,
        now: Millis,
        job: JobKey,
        choice: &Choice,
        prompt: Option<&Prompt>,
        out: &mut Vec<Output>,
    ) {
        let hash = |key: ServerKey| id_hash(&self.roster.get(key).entry.id);
        let placed = Placed {
            job: job.0,
            server: hash(choice.first),
            parts: choice
                .parts
                .iter()
                .map(|&(key, tokens)| (hash(key), tokens))
                .collect(),
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens as u64),
            output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens as u64),
            first_reserved: choice.first_reserved,
            urgency: prompt.map_or(0, |prompt| prompt.urgency),
            gap_ms: prompt.map_or(0, |prompt| prompt.gap.min(GAP_NEVER) as u64),
            due_in_ms: prompt.map_or(0, |prompt| (prompt.due - now.0 as f64).max(1.0) as u64),
            ready_in_ms: (choice.ready_at - now.0 as f64).max(0.0) as u64,
        };
        self.tell(out, PeerMessage::Placed(placed));
    }

    pub(super) fn started(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.output_begun = true;
        request.verdict = Verdict::MayHaveRun;
        let Some(sent) = &mut request.sent else {
            return;
        };
        sent.started = true;
        sent.last_output = now;
        let sent = sent.clone();
        let observed_ms = now.since(sent.at).0;
        let waited = now.since(request.submission.arrived);
        let late = waited > request.route.target_latency;
        let id = request.submission.head.request_id.clone();
        let route = request.route.name.clone();
        log::info!(
            request = id.as_str(),
            predicted_ms = sent.predicted_ms as i64,
            observed_ms = observed_ms,
            waited_ms = waited.0,
            late = late;
            "first output"
        );
        self.metrics.observe(Timing::FirstOutput, &route, waited);
        self.standing.started(now, sent.job, &sent.servers());
        if self.standing.engine(sent.server).is_none() {
            return;
        }
        let hash = |key: ServerKey| id_hash(&self.roster.get(key).entry.id);
        let message = PeerMessage::Started {
            job: sent.job.0,
            server: hash(sent.server),
            parts: sent.parts.iter().map(|key| hash(*key)).collect(),
        };
        self.tell(out, message);
    }

    pub(super) fn progressed(&mut self, ticket: Ticket, at: Millis) {
        let sent = self
            .requests
            .get_mut(&ticket)
            .and_then(|request| request.sent.as_mut());
        let Some(sent) = sent else {
            return;
        };
        sent.longest_pause = sent.longest_pause.max(at.since(sent.last_output));
        sent.last_output = at;
        self.standing.progressed(at, sent.job, sent.server);
    }

    pub(super) fn cold_seen(&mut self, now: Millis, ticket: Ticket, left: Millis) {
        let sent = self
            .requests
            .get(&ticket)
            .and_then(|request| request.sent.as_ref());
        if let Some(sent) = sent {
            self.roster.mark_cold(sent.server, now + left);
        }
    }

    pub(super) fn memory_seen(&mut self, now: Millis, addr: &str, free: u64) {
        if let Some(server) = self.roster.find_addr(addr) {
            self.standing.observe_free_memory(now, server, free);
        }
    }
}

impl Request {
    /// Returns how often it was sent, whether it ran or not.
    fn total_sends(&self) -> u32 {
        self.sends + self.free_sends
    }
}

/// Returns how long a send may stay silent before it is given up.
fn silence_limit(route: &Route) -> Millis {
    let targets = route.target_latency * PATIENCE_TARGETS;
    let gaps = route.target_gap.unwrap_or_default() * PATIENCE_GAPS;
    let patience = PATIENCE.max(targets).max(gaps);
    Millis(patience.0 * SILENCE_PERCENT / 100)
}

/// Returns until when the first output may come. A stream's is predicted; a
/// plain call that may be repeated gets half of the time left.
fn output_due(now: Millis, request: &Request, first_token: f64) -> Millis {
    if request.route.repeat == Repeat::Never {
        return request.answer_due;
    }
    if request.route.streaming {
        let predicted = Millis(first_token.max(now.0 as f64) as u64);
        return (predicted + silence_limit(&request.route)).min(request.answer_due);
    }
    now + Millis(request.answer_due.since(now).0 / 2)
}
