//! Requests that wait for room, and who gets it.
//!
//! A request waits if no engine has a slot for it, if others that wait come
//! first, if its workspace has had more than its fair share while servers have
//! little room, or if requests of a more urgent rank are refused. It is tried
//! again when requests end or give their first output here or at other
//! instances. Nothing is held back while less than half of the slots are taken.
//!
//! Each instance decides by what it knows: the placements that all instances
//! tell each other carry the workspace. In a partition each side shares the
//! room among the requests that it knows.

use super::Core;
use super::endings::DEFAULT_RETRY_AFTER;
use super::endings::final_refusal;
use super::endings::spread_retry_after;
use super::fleet_load::utility_of_prompt;
use super::requests::ChosenPlacement;
use super::requests::Request;
use crate::clock::Millis;
use crate::gateway::fair_shares::WorkspaceKey;
use crate::gateway::instances::Placed;
use crate::gateway::lanes::engine_ms;
use crate::gateway::message::Output;
use crate::gateway::message::Ticket;
use crate::gateway::placement::Prompt;
use crate::gateway::queue::Round;
use crate::gateway::queue::WaitCause;
use crate::gateway::queue::Waiting;
use crate::gateway::route::EngineSpec;
use crate::gateway::server_table::ServerKey;
use crate::gateway::server_table::id_hash;
use crate::metrics::Count;
use crate::metrics::Timing;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// Divisor of the latency target that gives the longest wait for a backend server
/// that may be used. A refusal after that leaves the caller too little time to
/// retry.
const PLACEMENT_WAIT_DIVISOR: u64 = 8;
/// Divisor of the caller's time that gives the longest wait for room, if the
/// target is longer.
const ROOM_WAIT_DIVISOR: u64 = 4;
/// Divisor of an engine's slots that gives those kept free for workspaces within
/// their fair share.
const RESERVED_SLOTS_DIVISOR: u32 = 6;
/// Divisor of all slots: nothing is held back while fewer are taken.
const CROWDED_DIVISOR: usize = 2;

impl Request {
    /// Returns the declared rank, 0 first.
    pub(super) fn rank(&self) -> u8 {
        self.workspace.priority.unwrap_or(self.route.priority)
    }

    /// Returns whether the request may be held back for the sake of others: not
    /// once an attempt was made.
    fn can_be_held(&self) -> bool {
        self.verdict == Verdict::NotRun && self.next_attempt == 0
    }

    /// Returns the key of the caller's workspace.
    pub(super) fn workspace_key(&self) -> WorkspaceKey {
        match self.workspace.name.as_str() {
            "" => WorkspaceKey::default(),
            // The lower half of the hash.
            name => WorkspaceKey(id_hash(name) as u32),
        }
    }
}

fn work_ms(spec: &EngineSpec, prompt_tokens: f64, output_tokens: f64) -> f64 {
    engine_ms(
        spec.prefill_ms(prompt_tokens),
        spec.decode_ms(output_tokens),
    )
}

impl Core {
    /// Returns whether a request has to wait, as others that wait come first; lets
    /// it wait if so.
    pub(super) fn queue_behind_others(
        &mut self,
        now: Millis,
        ticket: Ticket,
        out: &mut Vec<Output>,
    ) -> bool {
        if self.queue.is_empty() || !self.is_competed(&self.requests[&ticket].service) {
            return false;
        }
        let until = self.wait_limit(&self.requests[&ticket], WaitCause::Behind);
        if now >= until {
            return false;
        }
        let waiting = self.describe_waiting(now, ticket, until, WaitCause::Behind);
        let shares = &self.fair_shares;
        let is_over = |waiting: &Waiting| is_over_share(shares, now, waiting);
        if !self.queue.is_preceded(now, &waiting, is_over) {
            return false;
        }
        let service = waiting.service.clone();
        self.wait_or_refuse(now, ticket, WaitCause::Behind, out);
        if self.queue.may_have_room(&service) {
            self.retry_waiting(now, out);
        }
        true
    }

    /// Returns why a request cannot be placed.
    pub(super) fn wait_cause(&self, now: Millis, ticket: Ticket) -> WaitCause {
        let request = &self.requests[&ticket];
        let has_server = self.is_competed(&request.service)
            && self.is_prompt(request)
            && self
                .server_table
                .listed()
                .any(|(key, _)| self.is_usable(now, request, key));
        match has_server {
            false => WaitCause::NoServer,
            true if self.slots_kept_from(now, request) > 0 => WaitCause::OverShare,
            true => WaitCause::NoRoom,
        }
    }

    fn is_prompt(&self, request: &Request) -> bool {
        request.submission.head.prompt.is_some() && self.engine_spec(&request.service).is_some()
    }

    fn engine_spec(&self, service: &str) -> Option<EngineSpec> {
        let service = self.routes.as_ref()?.services.get(service)?;
        service.engine
    }

    /// Returns why a prompt for which there is a place is held back all the same;
    /// `None` if it is not.
    pub(super) fn hold_cause(
        &self,
        now: Millis,
        ticket: Ticket,
        chosen: &ChosenPlacement,
    ) -> Option<WaitCause> {
        let prompt = chosen.prompt.as_ref()?;
        let request = &self.requests[&ticket];
        if !self.is_competed(&request.service)
            || !request.can_be_held()
            || !self.is_crowded(&request.service)
        {
            return None;
        }
        let is_late = chosen.placement.first_token_at > prompt.due_at;
        if is_late && self.is_over_share(now, request) {
            return Some(WaitCause::OverShare);
        }
        let admitted = self
            .rank_ledger
            .admitted_share(now, &request.service, request.rank());
        let hash = id_hash(&request.submission.head.request_id).reverse_bits();
        (hash as f64 / u64::MAX as f64 > admitted).then_some(WaitCause::Outranked)
    }

    fn is_over_share(&self, now: Millis, request: &Request) -> bool {
        let workspace = request.workspace_key();
        self.fair_shares
            .is_over_share(now, &request.service, workspace)
    }

    /// Returns whether so many slots of the service's engines are taken that room
    /// is short.
    fn is_crowded(&self, service: &str) -> bool {
        let (mut taken, mut slots) = (0, 0);
        for (key, server) in self.server_table.listed() {
            if server.entry.service != service {
                continue;
            }
            if let Some(load) = self.fleet_load.engine(key) {
                taken += load.request_count();
                slots += load.spec().slots as usize;
            }
        }
        slots > 0 && taken * CROWDED_DIVISOR >= slots
    }

    /// Returns whether the configuration asks for an order among the requests to a
    /// service, by declaring different ranks for them.
    fn is_competed(&self, service: &str) -> bool {
        self.ranks.are_declared(service)
    }

    /// Returns how many slots of each engine a request must leave free.
    pub(super) fn slots_kept_from(&self, now: Millis, request: &Request) -> usize {
        let Some(spec) = self.engine_spec(&request.service) else {
            return 0;
        };
        let is_held = self.is_competed(&request.service)
            && request.can_be_held()
            && self.is_over_share(now, request)
            && self.is_crowded(&request.service);
        match is_held {
            true => spec.slots.div_ceil(RESERVED_SLOTS_DIVISOR) as usize,
            false => 0,
        }
    }

    /// Returns until when a request may wait.
    fn wait_limit(&self, request: &Request, cause: WaitCause) -> Millis {
        let arrived = request.submission.arrived;
        let target = request.route.target_latency;
        let is_link_lost = self.links.is_lost(&request.service);
        match cause {
            // The instance that relayed the request may know another one.
            _ if is_link_lost && request.submission.relay.is_some() => arrived,
            WaitCause::NoServer => arrived + Millis(target.0 / PLACEMENT_WAIT_DIVISOR),
            _ => {
                let time = request.response_deadline.since(arrived);
                arrived + target.min(Millis(time.0 / ROOM_WAIT_DIVISOR))
            }
        }
    }

    fn describe_waiting(
        &self,
        now: Millis,
        ticket: Ticket,
        until: Millis,
        cause: WaitCause,
    ) -> Waiting {
        let request = &self.requests[&ticket];
        let arrived = request.submission.arrived;
        let shape = request.submission.head.prompt;
        let spec = self.engine_spec(&request.service);
        let (utility, engine_ms, needed_tokens) = match (shape, spec) {
            (Some(shape), Some(spec)) => {
                let output_tokens = shape
                    .expected_output_tokens
                    .unwrap_or(spec.mean_output_tokens)
                    .min(shape.max_output_tokens);
                let ms = work_ms(&spec, shape.prompt_tokens as f64, output_tokens as f64);
                let needed = shape.prompt_tokens + output_tokens;
                (utility_of_prompt(shape.prompt_tokens), ms, needed)
            }
            _ => (1.0, 1.0, 0),
        };
        let since = self.queue.get(ticket).map_or(now, |known| known.since);
        Waiting {
            service: request.service.clone(),
            rank: request.rank(),
            workspace: request.workspace_key(),
            since,
            due_at: arrived + request.route.target_latency,
            until,
            utility,
            engine_ms,
            needed_tokens,
            bytes: request.submission.body_bytes,
            tried_at: now,
            cause,
        }
    }

    /// Lets a request wait, or refuses it if it has waited for too long.
    pub(super) fn wait_or_refuse(
        &mut self,
        now: Millis,
        ticket: Ticket,
        cause: WaitCause,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let until = self.wait_limit(request, cause);
        let asked_wait = match cause {
            WaitCause::NoServer => self.wait_asked_for(now, request),
            _ => None,
        };
        if now < until && asked_wait.is_none_or(|wait| now + wait < until) {
            return self.enqueue(now, ticket, until, cause, out);
        }
        let wait = asked_wait.unwrap_or_else(|| self.expected_wait(now, ticket));
        self.refuse_waiting(now, ticket, cause, wait, out);
    }

    fn enqueue(
        &mut self,
        now: Millis,
        ticket: Ticket,
        until: Millis,
        cause: WaitCause,
        out: &mut Vec<Output>,
    ) {
        let waiting = self.describe_waiting(now, ticket, until, cause);
        let shares = &self.fair_shares;
        let is_over = |waiting: &Waiting| is_over_share(shares, now, waiting);
        let known = self.queue.get(ticket);
        if known.is_none_or(|known| known.cause != cause) {
            let request = &self.requests[&ticket];
            log::info!(
                request = request.submission.head.request_id.as_str(),
                cause:? = cause,
                before = self.queue.count_before(now, &waiting, is_over),
                rank = waiting.rank,
                over_share = is_over(&waiting),
                waited_ms = now.since(request.submission.arrived).0,
                left_ms = until.since(now).0;
                "waits for room"
            );
        }
        let is_new = known.is_none();
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.deferred_until = None;
        }
        let evicted = self.queue.insert(now, ticket, waiting, is_over);
        if is_new {
            self.count(Count::Queued);
        }
        for ticket in evicted {
            self.count(Count::RefusedQueueFull);
            let wait = self.expected_wait(now, ticket);
            self.refuse_waiting(now, ticket, cause, wait, out);
        }
    }

    /// Returns when room for a request that is refused is likely, by the rate at
    /// which requests end at all instances.
    fn expected_wait(&self, now: Millis, ticket: Ticket) -> Millis {
        let request = &self.requests[&ticket];
        let waiting = self.queue.len() + 1;
        self.room_rates
            .expected_wait(
                now,
                &request.service,
                waiting * self.instances.known_count(),
            )
            .unwrap_or(DEFAULT_RETRY_AFTER)
            .min(DEFAULT_RETRY_AFTER)
    }

    fn refuse_waiting(
        &mut self,
        now: Millis,
        ticket: Ticket,
        cause: WaitCause,
        wait: Millis,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let message = match cause {
            WaitCause::NoServer => "no backend server is available for the request",
            WaitCause::NoRoom | WaitCause::Behind => "no room appeared for the request",
            WaitCause::OverShare => "the workspace has had more than its share of the servers",
            WaitCause::Outranked => "more urgent requests find no room",
        };
        let refusal = final_refusal(request, Reason::NoBackend, message)
            .retry_after(spread_retry_after(request, wait));
        match cause {
            WaitCause::NoServer => {
                let servers = self.describe_exclusions(now, request);
                let id = request.submission.head.request_id.as_str();
                log::info!(request = id, servers = servers.as_str(); "no backend server");
            }
            WaitCause::NoRoom | WaitCause::Behind => self.count(Count::RefusedNoRoom),
            WaitCause::OverShare => self.count(Count::RefusedOverShare),
            WaitCause::Outranked => self.count(Count::RefusedOutranked),
        }
        if !matches!(cause, WaitCause::NoServer | WaitCause::Outranked) {
            self.record_no_room(now, ticket);
        }
        self.refuse(now, ticket, refusal, out);
    }

    /// Tries requests that wait and for which room may have appeared, and those
    /// that are held back.
    pub(super) fn retry_waiting(&mut self, now: Millis, out: &mut Vec<Output>) {
        let deferred: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.deferred_until.is_some_and(|until| now >= until))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in deferred {
            self.place_request(now, ticket, out);
        }
        let shares = &self.fair_shares;
        let due = self
            .queue
            .take_due(now, |waiting| is_over_share(shares, now, waiting));
        let mut round = Round::default();
        for ticket in due {
            let Some(waiting) = self.queue.get(ticket) else {
                continue;
            };
            let is_over = is_over_share(&self.fair_shares, now, waiting);
            if now < waiting.until && round.is_futile(waiting, is_over) {
                continue;
            }
            self.place_request(now, ticket, out);
            if let Some(waiting) = self.queue.get(ticket) {
                round.record_failure(waiting, is_over);
            }
        }
    }

    /// Removes a request from the queue, if it waits.
    pub(super) fn leave_queue(&mut self, now: Millis, ticket: Ticket) {
        let Some(waiting) = self.queue.remove(ticket) else {
            return;
        };
        if let Some(request) = self.requests.get(&ticket) {
            self.metrics.observe(
                Timing::Queued,
                &request.route.name,
                now.since(waiting.since),
            );
        }
    }

    /// Records that a request was sent: the work of its workspace, and the place
    /// of its rank.
    pub(super) fn record_placed(
        &mut self,
        now: Millis,
        ticket: Ticket,
        prompt: Option<&Prompt>,
        is_first: bool,
    ) {
        let (Some(request), Some(prompt)) = (self.requests.get(&ticket), prompt) else {
            return;
        };
        let Some(spec) = self.engine_spec(&request.service) else {
            return;
        };
        let ms = work_ms(&spec, prompt.prompt_tokens, prompt.output_tokens);
        self.fair_shares
            .record(now, &request.service, request.workspace_key(), ms);
        if is_first {
            self.rank_ledger
                .record_placed(now, &request.service, request.rank());
        }
    }

    /// Records that a prompt was refused for lack of room. Those of workspaces over
    /// their share say nothing about their rank.
    pub(super) fn record_no_room(&mut self, now: Millis, ticket: Ticket) {
        let request = &self.requests[&ticket];
        if self.is_prompt(request) && !self.is_over_share(now, request) {
            self.rank_ledger
                .record_refused(now, &request.service, request.rank());
        }
    }

    /// Records the work of another instance's placement.
    pub(super) fn record_peer_work(&mut self, now: Millis, placed: &Placed) {
        let Some(server) = self.server_table.find_by_id_hash(placed.server) else {
            return;
        };
        let service = &self.server_table.get(server).entry.service;
        let Some(load) = self.fleet_load.engine(server) else {
            return;
        };
        let (prompt_tokens, output_tokens) =
            (placed.prompt_tokens as f64, placed.output_tokens as f64);
        let ms = work_ms(load.spec(), prompt_tokens, output_tokens);
        self.fair_shares.record(now, service, placed.workspace, ms);
    }

    /// Records that a server may have room for another request.
    pub(super) fn record_room(&mut self, server: ServerKey) {
        let service = &self.server_table.get(server).entry.service;
        self.queue.record_room(service);
    }

    /// Records that a request on a server ended.
    pub(super) fn record_end(&mut self, now: Millis, server: ServerKey) {
        let service = &self.server_table.get(server).entry.service;
        self.room_rates.record(now, service);
    }

    /// Records that a server may have room, by the hash of its id.
    pub(super) fn record_peer_room(&mut self, server: u64) {
        if let Some(server) = self.server_table.find_by_id_hash(server) {
            self.record_room(server);
        }
    }

    /// Records the end of another instance's request.
    pub(super) fn record_peer_end(&mut self, now: Millis, server: u64) {
        if let Some(server) = self.server_table.find_by_id_hash(server) {
            self.record_end(now, server);
        }
    }
}

fn is_over_share(
    shares: &crate::gateway::fair_shares::FairShares,
    now: Millis,
    waiting: &Waiting,
) -> bool {
    shares.is_over_share(now, &waiting.service, waiting.workspace)
}
