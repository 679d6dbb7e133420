//! Lifecycle of a request: validation, placement, sending and progress.

use std::sync::Arc;

use super::Core;
use super::endings::final_refusal;
use super::fleet_load::utility_of_prompt;
use super::relays::ActiveRelay;
use crate::clock::Millis;
use crate::gateway::cost::forecast::Forecast;
use crate::gateway::engine::JobKey;
use crate::gateway::fair_shares::WorkspaceKey;
use crate::gateway::instances::CrashSuspect;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::Placed;
use crate::gateway::lanes::Lane;
use crate::gateway::message::AttemptNumber;
use crate::gateway::message::AttemptPlan;
use crate::gateway::message::Output;
use crate::gateway::message::PrefillHelper;
use crate::gateway::message::PromptShape;
use crate::gateway::message::Reservation;
use crate::gateway::message::Submission;
use crate::gateway::message::Ticket;
use crate::gateway::message::TimeLimit;
use crate::gateway::placement;
use crate::gateway::placement::Placement;
use crate::gateway::placement::Prompt;
use crate::gateway::route::Route;
use crate::gateway::route::RouteTable;
use crate::gateway::route::RunPolicy;
use crate::gateway::route::Workspace;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::id_hash;
use crate::metrics::Count;
use crate::metrics::Timing;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Time limit of a request that sets no deadline. It is meant to equal the
/// longest time limit of any route; the code does not enforce this. The route's
/// time limit applies as well.
const DEFAULT_DEADLINE: Millis = Millis(15_000);
/// Time reserved before a deadline to deliver the answer to the caller.
pub(super) const ANSWER_MARGIN: Millis = Millis(30);
/// Retry-After while the configuration is unknown or stale. Another instance
/// may already have it.
pub(super) const RETRY_AFTER_UNREADY: Millis = Millis(200);
/// Minimum number of connections to one backend server, even if this instance's
/// share of the connections that the server accepts is smaller.
const MIN_CONNECTIONS_PER_SERVER: usize = 2;
/// Divisor of the reservation leak limit that gives a reservation's time to
/// live. The remaining time allows for the last renewal of a crashed instance,
/// which the engine may execute late.
const RESERVATION_TTL_DIVISOR: u64 = 2;
/// An attempt without output is ended this long before the idle limit of its
/// reserved memory, so that the memory is released in time even if one release
/// order is lost.
const MEMORY_IDLE_MARGIN: Millis = Millis(1_000);
/// Share of a prompt's utility by which placement costs are randomized, per
/// instance: the more instances there are, the more of them place prompts at
/// the same moment.
const JITTER_PER_INSTANCE: f64 = 0.0015;
/// Maximum share of the utility that is randomized.
const MAX_JITTER: f64 = 0.12;
/// Longest acceptable gap, in ms, on a route without a target gap.
const NO_GAP_LIMIT_MS: f64 = 60_000.0;
/// Message to the caller of a quarantined request.
const QUARANTINED_MESSAGE: &str = "requests like this one crashed several backend servers";

/// An unanswered request.
#[derive(Debug)]
pub struct Request {
    pub(super) submission: Submission,
    pub(super) route: Arc<Route>,
    pub(super) service: String,
    pub(super) workspace: Workspace,
    /// Deadline of the complete response.
    pub(super) response_deadline: Millis,
    /// What sets that deadline.
    pub(super) time_limit: TimeLimit,
    /// When the request is placed again; `None` if it is not held back.
    pub(super) deferred_until: Option<Millis>,
    pub(super) active_attempt: Option<ActiveAttempt>,
    /// A second attempt, started because the active one is stalled. It becomes
    /// the active one if that ends without an answer.
    pub(super) successor: Option<ActiveAttempt>,
    /// An attempt at another instance.
    pub(super) relay: Option<ActiveRelay>,
    /// Instances that the request was relayed to.
    pub(super) tried_instances: Vec<String>,
    /// Number of the next attempt.
    pub(super) next_attempt: u32,
    /// Attempts that a backend server may have run.
    pub(super) attempts_maybe_run: u32,
    /// Attempts that no backend server ran.
    pub(super) attempts_not_run: u32,
    /// Servers of earlier attempts, which are not tried again. Includes those
    /// that could not be reached, but not those of attempts that ended with
    /// `NoMemory`.
    pub(super) tried_servers: Vec<ServerKey>,
    /// Whether the request has run, as far as is known.
    pub(super) verdict: Verdict,
    /// Whether output has reached the caller.
    pub(super) output_begun: bool,
    /// When the caller last received output; the arrival before that.
    pub(super) last_output_at: Millis,
    /// Whether output waits until the caller reads.
    pub(super) is_caller_behind: bool,
}

/// A placement, and the prompt if the request has one.
#[derive(Debug)]
pub(super) struct ChosenPlacement {
    pub(super) placement: Placement,
    pub(super) prompt: Option<Prompt>,
    pub(super) job: JobKey,
    pub(super) routes: Arc<RouteTable>,
    /// What is expected of a call placed by learned cost.
    pub(super) forecast: Option<Forecast>,
}

/// An attempt in progress.
#[derive(Debug, Clone)]
pub(super) struct ActiveAttempt {
    pub(super) number: AttemptNumber,
    pub(super) job: JobKey,
    pub(super) server: ServerKey,
    pub(super) helpers: Vec<ServerKey>,
    pub(super) sent_at: Millis,
    /// Time to the first output predicted at sending, in ms.
    pub(super) predicted_ms: f64,
    /// Until when an engine may leave the attempt's reserved memory unused;
    /// `None` if no memory is reserved.
    pub(super) memory_unused_until: Option<Millis>,
    pub(super) first_output_seen: bool,
    /// Whether further output followed the first.
    pub(super) output_continued: bool,
    /// Events of a stream that were observed.
    pub(super) events: u64,
    /// When another server was last sought because the attempt is stalled;
    /// `None` if it has not been stalled.
    pub(super) stall_checked_at: Option<Millis>,
    /// When the latest output was observed.
    pub(super) last_output: Millis,
    /// Longest gap between two outputs.
    pub(super) longest_gap: Millis,
}

impl ActiveAttempt {
    /// Returns the helpers, then the primary server.
    pub(super) fn servers(&self) -> Vec<ServerKey> {
        let mut servers = self.helpers.clone();
        servers.push(self.server);
        servers
    }
}

/// Returns the refusal of a request that has not run.
fn quarantine_refusal(suspect: CrashSuspect) -> Refusal {
    Refusal::not_run(
        Reason::Quarantined,
        format!("{QUARANTINED_MESSAGE}: {suspect}"),
    )
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
            Err((id, refusal)) => return self.refuse_unsubmitted(ticket, &id, refusal, out),
        };
        match &request.submission.relay {
            Some(terms) => self.log_relayed_request(&request, terms),
            // Only the first instance earns retries with the request.
            None => self.budgets.deposit(&request.service),
        }
        self.requests.insert(ticket, request);
        if !self.queue_behind_others(now, ticket, out) {
            self.place_request(now, ticket, out);
        }
    }

    /// Checks a request whose body has not been read.
    pub(super) fn check_head(
        &mut self,
        now: Millis,
        ticket: Ticket,
        submission: Submission,
        out: &mut Vec<Output>,
    ) {
        match self.check(now, submission) {
            Ok(_) => out.push(Output::ReadBody(ticket)),
            Err((id, refusal)) => {
                self.count(Count::Submitted);
                self.refuse_unsubmitted(ticket, &id, refusal, out);
            }
        }
    }

    fn refuse_unsubmitted(
        &self,
        ticket: Ticket,
        id: &str,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        self.log_refusal(id, &refusal, "check");
        self.count(Count::RefusedNotRun);
        out.push(Output::Refuse(ticket, refusal));
    }

    /// Returns the request, unless it is refused before it is placed.
    fn check(&self, now: Millis, submission: Submission) -> Result<Request, (String, Refusal)> {
        let request = self.validate(now, submission)?;
        match self.refusal_during_shutdown(now, &request) {
            Some(refusal) => Err((request.submission.head.request_id, refusal)),
            None => Ok(request),
        }
    }

    /// Validates a request against the configuration.
    fn validate(&self, now: Millis, submission: Submission) -> Result<Request, (String, Refusal)> {
        let id = submission.head.request_id.clone();
        let refuse = |refusal| Err((id.clone(), refusal));
        let retry_after = RETRY_AFTER_UNREADY.max(self.freshness.settle_time_left(now));
        let unready =
            |message: &str| Refusal::not_run(Reason::Unavailable, message).retry_after(retry_after);
        let Some(routes) = &self.routes else {
            return refuse(unready("no configuration has been received yet"));
        };
        let relay_terms = submission.relay.as_ref();
        if relay_terms.is_some_and(|terms| terms.config_version > routes.version) {
            return refuse(unready("the configuration of this instance is older"));
        }
        let is_absence_certain = self.freshness.absence_certain(now);
        let Some(route) = routes.route(&submission.host, &submission.path) else {
            if !is_absence_certain {
                return refuse(unready("no such route, but the configuration may be old"));
            }
            return refuse(Refusal::not_run(Reason::NotFound, "no such route"));
        };
        let Some(workspace) = routes.workspace(route, submission.head.key.as_deref()) else {
            if !is_absence_certain {
                return refuse(unready("unknown key, but the configuration may be old"));
            }
            return refuse(Refusal::not_run(Reason::Unauthorized, "unknown key"));
        };
        let requires_key = routes.keys.is_some() && !route.anonymous;
        if requires_key && !self.freshness.keys_usable(now) {
            return refuse(unready(
                "keys cannot be checked: the configuration may be old",
            ));
        }
        if id.is_empty() {
            let message = "the request has no id";
            return refuse(Refusal::not_run(Reason::BadRequest, message));
        }
        if let Some((suspect, left)) = self.quarantine(now, &submission) {
            return refuse(quarantine_refusal(suspect).retry_after(left));
        }
        let Some(service) = route.pick_service(id_hash(&id)).map(str::to_owned) else {
            let message = "the route has no service";
            return refuse(Refusal::not_run(Reason::NoBackend, message));
        };
        let mut route = route.clone();
        let mut next_attempt = 0;
        if let Some(terms) = &submission.relay {
            route.max_attempts = route.max_attempts.min(terms.attempts_left);
            next_attempt = terms.first_attempt;
        }
        let deadline = submission.head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let (time, time_limit) = if deadline <= route.time_limit {
            (deadline, TimeLimit::CallerDeadline)
        } else {
            let config_version = routes.version;
            (route.time_limit, TimeLimit::Route { config_version })
        };
        Ok(Request {
            service,
            workspace,
            response_deadline: submission.arrived + time,
            time_limit,
            deferred_until: None,
            active_attempt: None,
            successor: None,
            relay: None,
            tried_instances: Vec::new(),
            next_attempt,
            attempts_maybe_run: 0,
            attempts_not_run: 0,
            tried_servers: Vec::new(),
            verdict: Verdict::NotRun,
            output_begun: false,
            last_output_at: submission.arrived,
            is_caller_behind: false,
            route: Arc::new(route),
            submission,
        })
    }

    /// Sends a request to a backend server, queues it until one is available,
    /// or refuses it.
    pub(super) fn place_request(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if now + ANSWER_MARGIN >= request.response_deadline {
            let refusal = final_refusal(
                request,
                Reason::DeadlineExceeded,
                "no time is left before the deadline",
            );
            return self.refuse(now, ticket, refusal, out);
        }
        if !self.is_time_left(now, request) {
            return self.refuse_for_shutdown(now, ticket, out);
        }
        if let Some((suspect, left)) = self.quarantine(now, &request.submission) {
            let refusal = match request.verdict {
                Verdict::NotRun => quarantine_refusal(suspect).retry_after(left),
                _ => final_refusal(request, Reason::BackendFailed, QUARANTINED_MESSAGE),
            };
            return self.refuse(now, ticket, refusal, out);
        }
        self.fleet_load.advance(now);
        let Some(chosen) = self.choose_placement(now, ticket) else {
            if !self.relay_request(now, ticket, out) {
                let cause = self.wait_cause(now, ticket);
                self.wait_or_refuse(now, ticket, cause, out);
            }
            return;
        };
        if let Some(cause) = self.hold_cause(now, ticket, &chosen) {
            return self.wait_or_refuse(now, ticket, cause, out);
        }
        if let Some(prompt) = &chosen.prompt
            && chosen.placement.first_token_at >= prompt.deadline_at
        {
            let wait = Millis((chosen.placement.first_token_at - now.0 as f64) as u64);
            return self.refuse_unreachable_deadline(now, ticket, wait, out);
        }
        if let Some(prompt) = &chosen.prompt
            && let Some(until) = placement::deferral(now, prompt, &chosen.placement)
        {
            return self.defer_request(now, ticket, until, &chosen.placement);
        }
        self.send_request(now, ticket, &chosen, out);
    }

    /// Holds a request back, so that it is placed when it delays others less.
    fn defer_request(&mut self, now: Millis, ticket: Ticket, until: Millis, placement: &Placement) {
        self.leave_queue(now, ticket);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        if request.deferred_until.is_none() {
            log::info!(
                request = request.submission.head.request_id.as_str(),
                loss = placement.cost,
                loss_of_others = placement.cost_to_others;
                "deferred"
            );
        }
        request.deferred_until = Some(until);
    }

    /// Chooses where to send a request's next attempt.
    pub(super) fn choose_placement(&self, now: Millis, ticket: Ticket) -> Option<ChosenPlacement> {
        let routes = self.routes.clone()?;
        let request = &self.requests[&ticket];
        let job =
            JobKey(id_hash(&request.submission.head.request_id) ^ u64::from(request.next_attempt));
        let is_engine = routes
            .services
            .get(&request.service)
            .is_some_and(|service| service.engine.is_some());
        let mut forecast = None;
        let (placement, prompt) = match request.submission.head.prompt {
            Some(shape) if is_engine => {
                let prompt = self.build_prompt(now, &routes, request, job, shape);
                let placement = self.choose_engines(now, &routes, request, &prompt)?;
                (placement, Some(prompt))
            }
            _ => {
                let chosen = self.choose_server(now, &routes, request, job)?;
                forecast = chosen.forecast;
                let placement = Placement {
                    primary: chosen.server,
                    helpers: Vec::new(),
                    primary_reserved: 0,
                    first_token_at: now.0 as f64
                        + forecast.map_or(0.0, |forecast| forecast.answer_ms),
                    parts_ready_at: 0.0,
                    cost: forecast.map_or(0.0, |forecast| forecast.loss),
                    cost_to_others: 0.0,
                };
                (placement, None)
            }
        };
        Some(ChosenPlacement {
            placement,
            prompt,
            job,
            routes,
            forecast,
        })
    }

    fn build_prompt(
        &self,
        now: Millis,
        routes: &RouteTable,
        request: &Request,
        job: JobKey,
        shape: PromptShape,
    ) -> Prompt {
        let engine = routes
            .services
            .get(&request.service)
            .and_then(|service| service.engine);
        let prompt_tokens = shape.prompt_tokens as f64;
        let lane = engine.map_or(Lane::Short, |engine| {
            self.fleet_load
                .lane(&request.service, &engine, prompt_tokens)
        });
        let output_tokens = self.likely_output_tokens(request, engine, shape);
        let target = request.route.target_latency;
        let due = (request.submission.arrived + target).max(now + Millis(1));
        Prompt {
            key: job,
            prompt_tokens,
            output_tokens,
            due_at: due.0 as f64,
            deadline_at: request.response_deadline.0 as f64,
            target_ms: target.0 as f64,
            max_gap_ms: request
                .route
                .target_gap
                .map_or(NO_GAP_LIMIT_MS, |gap| gap.0 as f64),
            utility: utility_of_prompt(shape.prompt_tokens),
            engine_priority: self.ranks.engine_priority(&request.service, request.rank()),
            lane,
            jitter: (self.instances.known_count() as f64 * JITTER_PER_INSTANCE).min(MAX_JITTER),
            can_be_declined: request.verdict == Verdict::NotRun,
        }
    }

    /// Sends a placed request: records its load, logs it and broadcasts the
    /// placement to the other instances.
    pub(super) fn send_request(
        &mut self,
        now: Millis,
        ticket: Ticket,
        chosen: &ChosenPlacement,
        out: &mut Vec<Output>,
    ) {
        let ChosenPlacement {
            placement,
            prompt,
            job,
            routes,
            forecast,
        } = chosen;
        let (job, prompt) = (*job, prompt.as_ref());
        let plan = self.build_plan(now, routes, ticket, job, placement, prompt);
        let is_cold = now < self.server_table.get(placement.primary).cold_until;
        if is_cold {
            self.cold_shares.record(now, placement.primary);
        }
        self.record_sent(now, placement.primary);
        let mut load = self.fleet_load.describe(placement.primary);
        if let Some(forecast) = forecast {
            load += &self.describe_forecast(now, placement.primary, forecast);
        }
        let service = self.requests[&ticket].service.clone();
        match prompt {
            Some(prompt) => self.fleet_load.add_prompt(now, &service, prompt, placement),
            None => {
                self.fleet_load.add_call(now, placement.primary, job);
                self.record_call(now, ticket, placement.primary, job);
            }
        }
        let parts = self.describe_helpers(&placement.helpers);
        let predicted_ms = placement.first_token_at - now.0 as f64;
        let request = self.requests.get_mut(&ticket);
        let Some(request) = request else {
            return;
        };
        request.deferred_until = None;
        let is_first = request.next_attempt == 0;
        request.next_attempt += 1;
        let attempt = ActiveAttempt {
            number: plan.attempt,
            job,
            server: placement.primary,
            helpers: placement.helpers.iter().map(|(key, _)| *key).collect(),
            sent_at: now,
            predicted_ms,
            memory_unused_until: (!plan.reservations.is_empty())
                .then_some(plan.first_output_deadline),
            first_output_seen: false,
            output_continued: false,
            events: 0,
            stall_checked_at: None,
            last_output: now,
            longest_gap: Millis::ZERO,
        };
        match request.active_attempt {
            None => request.active_attempt = Some(attempt),
            Some(_) => request.successor = Some(attempt),
        }
        let (head, attempts) = (&request.submission.head, plan.attempt.0);
        log::info!(
            request = head.request_id.as_str(),
            send = attempts,
            server = plan.server_id.as_str(),
            prompt_parts = head.describe_shared_parts().as_str(),
            parts = parts.as_str(),
            predicted_ms = predicted_ms as i64,
            loss = placement.cost,
            prompt_tokens = prompt.map_or(0.0, |prompt| prompt.prompt_tokens),
            cold = is_cold,
            standing = load.as_str(),
            config_version = routes.version,
            config_age_ms = self.freshness.proof_age(now).0;
            "sent"
        );
        self.leave_queue(now, ticket);
        self.record_placed(now, ticket, prompt, is_first);
        self.count(Count::Attempts);
        let relay = self.requests[&ticket].submission.relay;
        if attempts > relay.map_or(0, |terms| terms.first_attempt) {
            self.count(Count::Retries);
        }
        out.push(Output::Send(ticket, plan));
        if self.is_load_broadcast(placement.primary) {
            let workspace = self.requests[&ticket].workspace_key();
            self.broadcast_placement(now, job, placement, prompt, workspace, out);
        }
    }

    fn build_plan(
        &self,
        now: Millis,
        routes: &RouteTable,
        ticket: Ticket,
        job: JobKey,
        placement: &Placement,
        prompt: Option<&Prompt>,
    ) -> AttemptPlan {
        let request = &self.requests[&ticket];
        let server = self.server_table.get(placement.primary);
        let accepted = routes
            .services
            .get(&request.service)
            .map_or(0, |service| service.max_connections as usize);
        let ttl = Millis(self.bounds.reservation_leak_limit.0 / RESERVATION_TTL_DIVISOR);
        let reservation_id = format!("{:016x}", job.0);
        let mut helpers = Vec::new();
        let mut reservations = Vec::new();
        let primary = [(placement.primary, placement.primary_reserved)];
        for &(key, tokens) in primary.iter().chain(&placement.helpers) {
            let addr = self.server_table.get(key).entry.addr.clone();
            if tokens > 0 {
                reservations.push(Reservation {
                    addr: addr.clone(),
                    id: reservation_id.clone(),
                    tokens,
                    ttl,
                    leak_limit: self.bounds.reservation_leak_limit,
                });
            }
            if tokens > 0 || key != placement.primary {
                helpers.push(PrefillHelper {
                    addr,
                    reservation: (tokens > 0).then(|| reservation_id.clone()),
                });
            }
        }
        let mut first_output_deadline = request.response_deadline;
        if !reservations.is_empty() {
            first_output_deadline = first_output_deadline
                .min(now + self.bounds.reservation_idle_limit - MEMORY_IDLE_MARGIN);
        }
        AttemptPlan {
            attempt: AttemptNumber(request.next_attempt),
            addr: server.entry.addr.clone(),
            server_id: server.entry.id.clone(),
            relay: None,
            max_connections: (accepted / self.instances.known_count())
                .max(MIN_CONNECTIONS_PER_SERVER),
            helpers,
            reservations,
            engine_priority: prompt.map(|prompt| prompt.engine_priority),
            workspace: request.workspace.name.clone(),
            response_deadline: request.response_deadline,
            time_limit: request.time_limit,
            first_output_deadline,
            resumable: request.route.run_policy == RunPolicy::Resumable,
            streaming: request.route.streaming,
            retry_failures: request.route.run_policy != RunPolicy::AtMostOnce
                && request.attempts_maybe_run + 1 < request.route.max_attempts,
        }
    }

    /// Lists the helper engines and the tokens reserved on them, for the log.
    fn describe_helpers(&self, helpers: &[(ServerKey, u64)]) -> String {
        let texts: Vec<String> = helpers
            .iter()
            .map(|&(key, tokens)| match tokens {
                0 => self.server_table.get(key).entry.id.clone(),
                tokens => format!("{}:{tokens}", self.server_table.get(key).entry.id),
            })
            .collect();
        texts.join(",")
    }

    fn broadcast_placement(
        &self,
        now: Millis,
        job: JobKey,
        placement: &Placement,
        prompt: Option<&Prompt>,
        workspace: WorkspaceKey,
        out: &mut Vec<Output>,
    ) {
        let hash = |key: ServerKey| id_hash(&self.server_table.get(key).entry.id);
        let placed = Placed {
            job: job.0,
            server: hash(placement.primary),
            parts: placement
                .helpers
                .iter()
                .map(|&(key, tokens)| (hash(key), tokens))
                .collect(),
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens as u64),
            output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens as u64),
            first_reserved: placement.primary_reserved,
            urgency: prompt.map_or(0, |prompt| prompt.engine_priority),
            gap_ms: prompt.map_or(0, |prompt| prompt.max_gap_ms.min(NO_GAP_LIMIT_MS) as u64),
            due_in_ms: prompt.map_or(0, |prompt| (prompt.due_at - now.0 as f64).max(1.0) as u64),
            ready_in_ms: (placement.parts_ready_at - now.0 as f64).max(0.0) as u64,
            workspace,
        };
        self.broadcast(out, PeerMessage::Placed(placed));
    }

    pub(super) fn on_first_output(
        &mut self,
        now: Millis,
        ticket: Ticket,
        number: AttemptNumber,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.output_begun = true;
        request.last_output_at = now;
        request.verdict = Verdict::MayHaveRun;
        if let Some(relay) = request
            .relay
            .as_mut()
            .filter(|relay| relay.number == number)
        {
            let sent_at = relay.sent_at;
            return self.log_relayed_output(now, ticket, sent_at);
        }
        self.links.record_output(now, &request.service);
        let attempt = request.active_attempt.as_mut();
        let Some(attempt) = attempt.filter(|attempt| attempt.number == number) else {
            return;
        };
        attempt.first_output_seen = true;
        attempt.events += 1;
        attempt.stall_checked_at = None;
        attempt.last_output = now;
        let attempt = attempt.clone();
        let observed_ms = now.since(attempt.sent_at).0;
        let waited = now.since(request.submission.arrived);
        let late = waited > request.route.target_latency;
        let id = request.submission.head.request_id.clone();
        let route = request.route.name.clone();
        log::info!(
            request = id.as_str(),
            predicted_ms = attempt.predicted_ms as i64,
            observed_ms = observed_ms,
            waited_ms = waited.0,
            late = late;
            "first output"
        );
        self.metrics.observe(Timing::FirstOutput, &route, waited);
        self.record_alive(attempt.sent_at, attempt.server);
        self.fleet_load
            .record_first_output(now, attempt.job, &attempt.servers());
        self.record_room(attempt.server);
        if self.fleet_load.engine(attempt.server).is_none() {
            return;
        }
        let hash = |key: ServerKey| id_hash(&self.server_table.get(key).entry.id);
        let message = PeerMessage::Started {
            job: attempt.job.0,
            server: hash(attempt.server),
            parts: attempt.helpers.iter().map(|key| hash(*key)).collect(),
        };
        self.broadcast(out, message);
    }

    pub(super) fn on_progress(
        &mut self,
        now: Millis,
        ticket: Ticket,
        number: AttemptNumber,
        at: Millis,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.last_output_at = at;
        let attempt = request.active_attempt.as_mut();
        let Some(attempt) = attempt.filter(|attempt| attempt.number == number) else {
            return;
        };
        self.links.record_output(at, &request.service);
        attempt.longest_gap = attempt.longest_gap.max(at.since(attempt.last_output));
        attempt.last_output = at;
        attempt.events += 1;
        attempt.stall_checked_at = None;
        let is_second = !std::mem::replace(&mut attempt.output_continued, true);
        self.fleet_load
            .record_progress(at, attempt.job, attempt.server);
        if is_second {
            self.record_sound(now, ticket, true, out);
        }
    }

    pub(super) fn on_caller_behind(&mut self, now: Millis, ticket: Ticket, is_behind: bool) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.is_caller_behind = is_behind;
            // Nothing was read from the server meanwhile.
            request.last_output_at = now;
        }
    }

    pub(super) fn on_memory_reported(&mut self, now: Millis, addr: &str, free: u64) {
        if let Some(server) = self.server_table.find_by_addr(addr) {
            self.fleet_load.observe_free_memory(now, server, free);
        }
    }
}
