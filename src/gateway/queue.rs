//! Requests that wait at this instance for room on backend servers.
//!
//! A request that waits inside an engine cannot be taken back; here the order is
//! decided anew each time room appears. The declared rank comes first, then
//! workspaces within their fair share, then what callers lose by waiting: the
//! index of the apparent-tardiness-cost rule (Vepsalainen and Morton, 1987),
//! utility per ms of engine time, discounted by the slack until the answer is
//! due. A request is tried again only when room may have appeared.
//!
//! Intended for bursts in which more requests arrive than engines have slots
//! for, with prompts whose engine time differs a hundredfold.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::clock::Millis;
use crate::gateway::fair_shares::WorkspaceKey;
use crate::gateway::message::Ticket;

/// Maximum number of requests that wait.
pub const MAX_WAITING: usize = 1_024;
/// Maximum size of all requests that wait, in bytes of their bodies.
pub const MAX_WAITING_BYTES: usize = 32 * 1024 * 1024;
/// Slack until an answer is due at which a request's index falls to about a
/// third.
const SLACK_SCALE: Millis = Millis(500);
/// Share of an answer's utility that it keeps when it is late.
const LATE_UTILITY_SHARE: f64 = 0.25;
/// Tries that may fail in one round for each service, as each costs a search over
/// all engines.
const MAX_FAILED_TRIES: u32 = 3;
/// Number of times that a request is tried while it waits, unless it waits for
/// longer than that many of [`RETRY_PERIOD`].
const MAX_TRIES: u64 = 16;
/// Time constant of the average rate at which room appears.
const RATE_WINDOW: Millis = Millis(1_000);
/// Wait in ms that is not told apart from one without end.
const MAX_EXPECTED_WAIT_MS: f64 = 60_000.0;
/// Time after which a request is tried again although no room was reported:
/// reports can be lost, and some causes end without one.
const RETRY_PERIOD: Millis = Millis(100);

/// Why a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitCause {
    /// No server may be used.
    NoServer,
    /// No engine has room.
    NoRoom,
    /// Others that wait for room come first.
    Behind,
    /// Its workspace has had more than its fair share.
    OverShare,
    /// Requests of a more urgent rank are refused.
    Outranked,
}

impl WaitCause {
    /// Returns whether later requests have to wait as well.
    fn holds_others(self) -> bool {
        match self {
            WaitCause::NoRoom | WaitCause::Behind => true,
            WaitCause::NoServer | WaitCause::OverShare | WaitCause::Outranked => false,
        }
    }
}

/// A request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting {
    /// Service that it needs room at.
    pub service: String,
    /// Declared rank, 0 first.
    pub rank: u8,
    /// Workspace of its caller.
    pub workspace: WorkspaceKey,
    /// Since when it waits.
    pub since: Millis,
    /// When its answer is due.
    pub due_at: Millis,
    /// When it is refused if no room has appeared.
    pub until: Millis,
    /// Utility of an answer on time.
    pub utility: f64,
    /// Time that an engine spends on it, in ms; at least 1.
    pub engine_ms: f64,
    /// Memory that it needs, in tokens; 0 if it only needs a slot.
    pub needed_tokens: u64,
    /// Size of its body.
    pub bytes: usize,
    /// When it was last tried.
    pub tried_at: Millis,
    /// Why it waits.
    pub cause: WaitCause,
}

impl Waiting {
    /// Returns the shortest time between two tries: on a busy service room may
    /// have appeared all the time, and the search for long prompts is expensive.
    fn pause(&self) -> Millis {
        Millis(self.until.since(self.since).0 / MAX_TRIES).min(RETRY_PERIOD)
    }

    /// Returns what its caller loses per ms of engine time if it waits on.
    fn index(&self, now: Millis) -> f64 {
        let density = self.utility / self.engine_ms.max(1.0);
        let slack = self.due_at.since(now).0 as f64 - self.engine_ms;
        if now >= self.due_at {
            return density * LATE_UTILITY_SHARE;
        }
        density * (-slack.max(0.0) / SLACK_SCALE.0 as f64).exp()
    }
}

/// Requests that wait for room, by what their callers lose.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<Ticket, Waiting>,
    bytes: usize,
    /// Services at which room may have appeared since the last round.
    services_with_room: HashSet<String>,
}

impl WaitQueue {
    /// Returns the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns a request that waits.
    #[must_use]
    pub fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        self.waiting.get(&ticket)
    }

    /// Adds a request, or replaces what is known of it. Returns the requests that
    /// have to leave as the queue is full, the last ones in its order;
    /// `is_over_share` tells which workspaces exceed their share.
    pub fn insert(
        &mut self,
        now: Millis,
        ticket: Ticket,
        waiting: Waiting,
        is_over_share: impl Fn(&Waiting) -> bool,
    ) -> Vec<Ticket> {
        self.remove(ticket);
        self.bytes += waiting.bytes;
        self.waiting.insert(ticket, waiting);
        let mut evicted = Vec::new();
        while self.waiting.len() > MAX_WAITING || self.bytes > MAX_WAITING_BYTES {
            let Some(last) = self.order(now, |_| true, &is_over_share).pop() else {
                break;
            };
            self.remove(last);
            evicted.push(last);
        }
        evicted
    }

    /// Removes a request; returns it if it waited.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let removed = self.waiting.remove(&ticket)?;
        self.bytes -= removed.bytes;
        Some(removed)
    }

    /// Records that room may have appeared at a service.
    pub fn record_room(&mut self, service: &str) {
        if !self.waiting.is_empty() && !self.services_with_room.contains(service) {
            self.services_with_room.insert(service.to_owned());
        }
    }

    /// Records that room may have appeared at every service.
    pub fn record_room_everywhere(&mut self) {
        let services = self.waiting.values().map(|waiting| waiting.service.clone());
        self.services_with_room.extend(services);
    }

    /// Returns whether room may have appeared at a service since the last round.
    #[must_use]
    pub fn may_have_room(&self, service: &str) -> bool {
        self.services_with_room.contains(service)
    }

    /// Returns the requests to try now, in the order in which they get room, and
    /// forgets the room that was recorded.
    pub fn take_due(
        &mut self,
        now: Millis,
        is_over_share: impl Fn(&Waiting) -> bool,
    ) -> Vec<Ticket> {
        if self.waiting.is_empty() {
            self.services_with_room.clear();
            return Vec::new();
        }
        let with_room = std::mem::take(&mut self.services_with_room);
        let is_due = |waiting: &Waiting| {
            let since = now.since(waiting.tried_at);
            (with_room.contains(&waiting.service) && since >= waiting.pause())
                || now >= waiting.until
                || since >= RETRY_PERIOD
        };
        let due = self.order(now, is_due, &is_over_share);
        for ticket in &due {
            if let Some(waiting) = self.waiting.get_mut(ticket) {
                waiting.tried_at = now;
            }
        }
        due
    }

    /// Returns how many requests of the same service get room before this one.
    #[must_use]
    pub fn count_before(
        &self,
        now: Millis,
        newcomer: &Waiting,
        is_over_share: impl Fn(&Waiting) -> bool,
    ) -> usize {
        let key = sort_key(now, newcomer, &is_over_share);
        self.waiting
            .values()
            .filter(|waiting| waiting.service == newcomer.service)
            .filter(|waiting| precedes(sort_key(now, waiting, &is_over_share), key))
            .count()
    }

    /// Returns whether a request that just arrived has to wait behind others:
    /// one of the same service precedes it and needs no more room.
    #[must_use]
    pub fn is_preceded(
        &self,
        now: Millis,
        newcomer: &Waiting,
        is_over_share: impl Fn(&Waiting) -> bool,
    ) -> bool {
        let key = sort_key(now, newcomer, &is_over_share);
        self.waiting
            .values()
            .filter(|waiting| waiting.service == newcomer.service)
            .filter(|waiting| waiting.cause.holds_others())
            .filter(|waiting| waiting.needed_tokens <= newcomer.needed_tokens)
            .any(|waiting| precedes(sort_key(now, waiting, &is_over_share), key))
    }

    fn order(
        &self,
        now: Millis,
        is_included: impl Fn(&Waiting) -> bool,
        is_over_share: &impl Fn(&Waiting) -> bool,
    ) -> Vec<Ticket> {
        let included = self.waiting.iter();
        let mut keyed: Vec<(SortKey, Ticket)> = included
            .filter(|(_, waiting)| is_included(waiting))
            .map(|(ticket, waiting)| (sort_key(now, waiting, is_over_share), *ticket))
            .collect();
        keyed.sort_by(|(a, first), (b, second)| {
            (a.rank, a.is_over_share)
                .cmp(&(b.rank, b.is_over_share))
                .then(b.index.total_cmp(&a.index))
                .then(first.cmp(second))
        });
        keyed.into_iter().map(|(_, ticket)| ticket).collect()
    }
}

/// What decides the order, smallest rank and largest index first.
#[derive(Debug, Clone, Copy)]
struct SortKey {
    rank: u8,
    is_over_share: bool,
    index: f64,
}

fn sort_key(now: Millis, waiting: &Waiting, is_over_share: &impl Fn(&Waiting) -> bool) -> SortKey {
    SortKey {
        rank: waiting.rank,
        is_over_share: is_over_share(waiting),
        index: waiting.index(now),
    }
}

fn precedes(a: SortKey, b: SortKey) -> bool {
    match (a.rank, a.is_over_share).cmp(&(b.rank, b.is_over_share)) {
        std::cmp::Ordering::Less => true,
        std::cmp::Ordering::Equal => a.index > b.index,
        std::cmp::Ordering::Greater => false,
    }
}

/// Requests that failed to get room in one round.
#[derive(Debug, Default)]
pub struct Round {
    /// Tries that failed, and the least memory that one of them needed, by service
    /// and whether the workspace is over its share.
    failed: HashMap<(String, bool), (u32, u64)>,
}

impl Round {
    /// Returns whether a request need not be tried, as one before it that needs no
    /// more found no room.
    #[must_use]
    pub fn is_futile(&self, waiting: &Waiting, is_over_share: bool) -> bool {
        let is_blocked = |is_over_share: bool| {
            let failed = self.failed.get(&(waiting.service.clone(), is_over_share));
            failed.is_some_and(|&(tries, least)| {
                tries >= MAX_FAILED_TRIES || waiting.needed_tokens >= least
            })
        };
        is_blocked(false) || (is_over_share && is_blocked(true))
    }

    /// Records that a request found no room.
    pub fn record_failure(&mut self, waiting: &Waiting, is_over_share: bool) {
        if !is_over_share && !waiting.cause.holds_others() {
            return;
        }
        let key = (waiting.service.clone(), is_over_share);
        let (tries, least) = self.failed.entry(key).or_insert((0, u64::MAX));
        *tries += 1;
        *least = (*least).min(waiting.needed_tokens);
    }
}

/// How often room appears at each service.
#[derive(Debug, Default)]
pub struct RoomRates {
    services: HashMap<String, (f64, Millis)>,
}

impl RoomRates {
    /// Records that a request of the service ended.
    pub fn record(&mut self, now: Millis, service: &str) {
        let ends = self.recent(now, service) + 1.0;
        match self.services.get_mut(service) {
            Some(known) => *known = (ends, now),
            None => {
                self.services.insert(service.to_owned(), (ends, now));
            }
        }
    }

    fn recent(&self, now: Millis, service: &str) -> f64 {
        let Some((ends, at)) = self.services.get(service) else {
            return 0.0;
        };
        ends * (-(now.since(*at).0 as f64) / RATE_WINDOW.0 as f64).exp()
    }

    /// Returns the time in which room for this many requests is likely to appear;
    /// `None` if none has appeared recently.
    #[must_use]
    pub fn expected_wait(&self, now: Millis, service: &str, requests: usize) -> Option<Millis> {
        let per_ms = self.recent(now, service) / RATE_WINDOW.0 as f64;
        let wait = requests as f64 / per_ms;
        (per_ms > 0.0 && wait < MAX_EXPECTED_WAIT_MS).then_some(Millis(wait as u64))
    }

    /// Keeps the services of the configuration in force only.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_kept(service));
    }
}
