//! Group membership: which instances exist, and which of them are alive.
//!
//! Members come from the instance list, which lags behind the actual state, and
//! from heartbeats. A heartbeat alone makes an instance known, so one that is
//! not listed yet, or that starts while the list is unavailable, still becomes
//! a member. Within a failure domain every instance sends heartbeats to every
//! other. Between failure domains only delegates exchange heartbeats: two per
//! domain, those of its serving instances whose names have the lowest hashes.
//! Delegates forward the states of other domains to their own domain.
//!
//! Failure detection uses only this instance's clock. If this process was
//! paused, the time of the pause does not count as silence of other instances.

mod member;
mod message;
#[cfg(test)]
mod tests;

pub use member::GONE_AFTER;
pub use member::Member;
pub use member::MemberState;
pub use member::SUSPECT_AFTER;
pub use message::DomainView;
pub use message::Heartbeat;
pub use message::HeartbeatId;
pub use message::InstanceState;
pub use message::Load;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::control::Cx;
use crate::control::Identity;
use crate::control::Output;
use crate::fleet::Listing;
use crate::fleet::Role;
use crate::id::Boot;
use crate::id::Epoch;
use crate::id::Revision;
use crate::metrics::Level;
use crate::peer::PeerMessage;
use crate::timeline::EventKind;
use crate::timeline::Subject;

/// Time between two heartbeats to one member.
pub const HEARTBEAT_PERIOD: Millis = Millis(1_000);
/// Number of delegates per failure domain.
pub const DELEGATES_PER_DOMAIN: usize = 2;
/// Number of heartbeat periods between two reports of other domains' states
/// that a delegate sends to its own failure domain.
const VIEW_REPORT_PERIODS: u64 = 5;
/// Number of heartbeat periods between two heartbeats to a member that is gone
/// but not yet removed, as it is still listed or [`REMOVE_AFTER`] has not
/// passed.
const GONE_RETRY_PERIODS: u64 = 5;
/// Time between two calls of the membership above which the process is taken to
/// have been paused.
const PAUSE_THRESHOLD: Millis = Millis(1_500);
/// Maximum number of heartbeats whose send times are kept.
const MAX_SENT_HEARTBEATS: usize = 32;
/// Time since the last heartbeat after which an unlisted member is removed.
const REMOVE_AFTER: Millis = Millis::from_secs(60);

/// This instance's view of the instances of the fleet.
#[derive(Debug)]
pub struct Membership {
    me: Identity,
    draining: bool,
    members: BTreeMap<String, Member>,
    /// The newest known state of each other failure domain, by name.
    views: BTreeMap<String, RemoteDomain>,
    /// The state that the heartbeats of this instance carry.
    local_state: InstanceState,
    /// Numbers and send times of the last heartbeats sent.
    sent: VecDeque<(u64, Millis)>,
    /// Members whose heartbeats are not echoed.
    echo_withheld: BTreeSet<String>,
    /// Number of the last heartbeats sent, counted up once per period and at
    /// the start of draining.
    heartbeat_number: u64,
    next_heartbeat_at: Millis,
    /// When the membership was last called, to detect pauses of this process.
    last_input: Millis,
}

/// The state that an instance of another failure domain reported last, received
/// from it or forwarded by a delegate.
#[derive(Debug, Clone, Copy)]
struct RemoteDomain {
    last_heartbeat_at: Millis,
    state: InstanceState,
}

impl Membership {
    /// Returns the membership of an instance that knows no other instance yet.
    #[must_use]
    pub fn new(me: &Identity) -> Membership {
        Membership {
            me: me.clone(),
            draining: false,
            members: BTreeMap::new(),
            views: BTreeMap::new(),
            local_state: InstanceState::default(),
            sent: VecDeque::new(),
            echo_withheld: BTreeSet::new(),
            heartbeat_number: 0,
            next_heartbeat_at: Millis::ZERO,
            last_input: Millis::ZERO,
        }
    }

    /// Applies the platform's instance list.
    pub fn apply_listings(&mut self, cx: &mut Cx<'_>, listings: &[Listing]) {
        self.exclude_pause(cx.now);
        for member in self.members.values_mut() {
            member.listed = false;
            member.listed_draining = false;
        }
        for listing in listings {
            if listing.role == Role::Entry && listing.name != self.me.name {
                self.apply_listing(cx.now, listing);
            }
        }
        self.update_states(cx);
    }

    /// Applies a heartbeat of the instance `from`.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &str, boot: Boot, heartbeat: Heartbeat) {
        if from == self.me.name {
            return;
        }
        self.exclude_pause(cx.now);
        let now = cx.now;
        let member = self
            .members
            .entry(from.to_owned())
            .or_insert_with(|| Member::new(now, &heartbeat.domain, &heartbeat.addr));
        if member.on_heartbeat(now, boot, &heartbeat) {
            record_event(cx, from, "restarted");
        }
        if heartbeat.echo.tag == boot_tag(self.me.boot) {
            let sent = self
                .sent
                .iter()
                .find(|(number, _)| *number == heartbeat.echo.number);
            member.last_acknowledged = member.last_acknowledged.max(sent.map(|&(_, at)| at));
        }
        if heartbeat.domain == self.me.domain {
            self.merge_views(now, heartbeat.views);
        } else {
            self.update_view(heartbeat.domain, now, heartbeat.state);
        }
        self.update_states(cx);
    }

    /// Updates the states of all members and, once per period, sends heartbeats
    /// that carry `state`.
    pub fn tick(&mut self, cx: &mut Cx<'_>, state: InstanceState) {
        self.exclude_pause(cx.now);
        self.local_state = state;
        self.update_states(cx);
        if cx.now < self.next_heartbeat_at {
            return;
        }
        self.send_heartbeats(cx);
    }

    /// Starts draining this instance and notifies the others by heartbeat.
    pub fn start_draining(&mut self, cx: &mut Cx<'_>) {
        if self.draining {
            return;
        }
        self.draining = true;
        record_event(cx, &self.me.name, MemberState::Draining.as_str());
        self.send_heartbeats(cx);
    }

    /// Returns whether the instance `name` is draining.
    #[must_use]
    pub fn is_draining(&self, name: &str) -> bool {
        if name == self.me.name {
            return self.draining;
        }
        let member = self.members.get(name);
        member.is_some_and(|member| member.state == MemberState::Draining)
    }

    /// Returns the serving (live or suspected) instances of a failure domain,
    /// including this one unless it is draining, sorted by name.
    #[must_use]
    pub fn serving_in(&self, domain: &str) -> Vec<&str> {
        let mut names: Vec<&str> = self
            .members
            .iter()
            .filter(|(_, member)| member.domain == domain && member.state.serves())
            .map(|(name, _)| name.as_str())
            .collect();
        if domain == self.me.domain && !self.draining {
            names.push(&self.me.name);
            names.sort_unstable();
        }
        names
    }

    /// Returns the other instances of this instance's failure domain that sent
    /// a heartbeat recently, including draining ones, sorted by name.
    #[must_use]
    pub fn recently_heard_in_domain(&self, now: Millis) -> Vec<&str> {
        self.members
            .iter()
            .filter(|(_, member)| {
                member.domain == self.me.domain && member.has_recent_heartbeat(now)
            })
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// Returns the delegates of a failure domain: the serving instances with
    /// the lowest hashes of their names.
    #[must_use]
    pub fn delegates(&self, domain: &str) -> Vec<&str> {
        let mut names = self.serving_in(domain);
        names.sort_unstable_by_key(|name| (delegate_rank(name), *name));
        names.truncate(DELEGATES_PER_DOMAIN);
        names
    }

    /// Returns when this instance sent the newest heartbeat that the member `name`
    /// has echoed, and so has received.
    #[must_use]
    pub fn last_acknowledged(&self, name: &str) -> Option<Millis> {
        self.members
            .get(name)
            .and_then(|member| member.last_acknowledged)
    }

    /// Returns when the last heartbeat of the member `name` arrived.
    #[must_use]
    pub fn last_heartbeat_at(&self, name: &str) -> Option<Millis> {
        let member = self.members.get(name);
        member
            .filter(|member| member.boot.is_some())
            .map(|member| member.silent_since)
    }

    /// Sets the members whose heartbeats are not echoed, because this instance is
    /// taking over the servers that they coordinate.
    pub fn withhold_echo(&mut self, names: BTreeSet<String>) {
        self.echo_withheld = names;
    }

    /// Makes the next tick send heartbeats without waiting for the period.
    pub fn send_at_next_tick(&mut self) {
        self.next_heartbeat_at = Millis::ZERO;
    }

    /// Returns a member by name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns all members except this instance, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        let members = self.members.iter();
        members.map(|(name, member)| (name.as_str(), member))
    }

    /// Returns an instance's address for peers.
    #[must_use]
    pub fn addr(&self, name: &str) -> Option<&str> {
        self.members.get(name).map(|member| member.addr.as_str())
    }

    /// Returns the highest epoch that an instance of this instance's failure
    /// domain has reported.
    #[must_use]
    pub fn highest_epoch(&self) -> Epoch {
        let peers = self.members.values();
        let local = peers.filter(|member| member.domain == self.me.domain);
        local
            .map(|member| member.reported_state.epoch)
            .fold(self.local_state.epoch, Epoch::max)
    }

    /// Returns the member with the highest revision of the declarations, if that
    /// is above `revision`.
    #[must_use]
    pub fn member_with_newer_revision(
        &self,
        now: Millis,
        revision: Revision,
    ) -> Option<(&str, Revision)> {
        self.members
            .iter()
            .filter(|(_, member)| {
                member.has_recent_heartbeat(now) && member.reported_state.revision > revision
            })
            .map(|(name, member)| (name.as_str(), member.reported_state.revision))
            .max_by_key(|&(_, revision)| revision)
    }

    /// Returns whether this failure domain has received a heartbeat from
    /// `domain` within [`GONE_AFTER`] plus the time between two reports of
    /// delegates.
    #[must_use]
    pub fn is_domain_reachable(&self, now: Millis, domain: &str) -> bool {
        let max_age = GONE_AFTER + HEARTBEAT_PERIOD * VIEW_REPORT_PERIODS;
        domain == self.me.domain
            || self
                .views
                .get(domain)
                .is_some_and(|view| now.since(view.last_heartbeat_at) < max_age)
    }

    /// Returns the load of the instance of another failure domain that last sent a
    /// heartbeat to this domain.
    #[must_use]
    pub fn last_reported_load(&self, domain: &str) -> Option<Load> {
        self.views.get(domain).map(|view| view.state.load)
    }

    /// Shifts the times of received heartbeats forward by a pause of this process,
    /// so that the pause does not count as silence of others.
    fn exclude_pause(&mut self, now: Millis) {
        let pause = now.since(self.last_input);
        self.last_input = now;
        if pause <= PAUSE_THRESHOLD {
            return;
        }
        for member in self.members.values_mut() {
            member.silent_since += pause;
        }
        for view in self.views.values_mut() {
            view.last_heartbeat_at += pause;
        }
    }

    fn apply_listing(&mut self, now: Millis, listing: &Listing) {
        let member = self
            .members
            .entry(listing.name.clone())
            .or_insert_with(|| Member::new(now, &listing.domain, &listing.peer_addr));
        member.listed = true;
        member.listed_draining = listing.leaving;
        if member.boot.is_none() {
            member.domain.clone_from(&listing.domain);
            member.addr.clone_from(&listing.peer_addr);
        }
    }

    fn update_states(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let mut live = 0;
        for (name, member) in &mut self.members {
            let state = member.state_at(now, member.domain == self.me.domain);
            live += i64::from(state == MemberState::Live);
            if state != member.state {
                member.state = state;
                record_event(cx, name, state.as_str());
            }
        }
        self.members
            .retain(|_, member| member.listed || now.since(member.silent_since) < REMOVE_AFTER);
        cx.metrics.set(Level::MembersLive, live);
    }

    fn merge_views(&mut self, now: Millis, views: Vec<DomainView>) {
        for view in views {
            let last_heartbeat_at = Millis(now.0.saturating_sub(view.age.0));
            self.update_view(view.domain, last_heartbeat_at, view.state);
        }
    }

    fn update_view(&mut self, domain: String, last_heartbeat_at: Millis, state: InstanceState) {
        if domain == self.me.domain {
            return;
        }
        let view = self.views.entry(domain).or_insert(RemoteDomain {
            last_heartbeat_at,
            state,
        });
        if last_heartbeat_at >= view.last_heartbeat_at {
            *view = RemoteDomain {
                last_heartbeat_at,
                state,
            };
        }
    }

    fn send_heartbeats(&mut self, cx: &mut Cx<'_>) {
        self.next_heartbeat_at = cx.now + HEARTBEAT_PERIOD;
        self.heartbeat_number += 1;
        self.sent.push_back((self.heartbeat_number, cx.now));
        if self.sent.len() > MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
        let delegate = self
            .delegates(&self.me.domain)
            .contains(&self.me.name.as_str());
        let mut targets = self.own_domain_targets();
        let views = match delegate && self.heartbeat_number % VIEW_REPORT_PERIODS == 0 {
            true => self.views_at(cx.now),
            false => Vec::new(),
        };
        self.send_heartbeats_to(cx, &targets, &views);
        if delegate {
            targets = self.other_domain_targets(cx.now);
            self.send_heartbeats_to(cx, &targets, &[]);
        }
    }

    fn send_heartbeats_to(&self, cx: &mut Cx<'_>, targets: &[&str], views: &[DomainView]) {
        for name in targets {
            let Some(addr) = self.addr(name) else {
                continue;
            };
            let heartbeat = Heartbeat {
                domain: self.me.domain.clone(),
                addr: self.me.peer_addr.clone(),
                leaving: self.draining,
                state: self.local_state,
                id: HeartbeatId {
                    number: self.heartbeat_number,
                    tag: boot_tag(self.me.boot),
                },
                echo: self.echo_for(name),
                views: views.to_vec(),
            };
            cx.out.push(Output::Peer {
                to: (*name).to_owned(),
                addr: addr.to_owned(),
                message: PeerMessage::Membership(heartbeat),
            });
        }
    }

    fn echo_for(&self, name: &str) -> HeartbeatId {
        if self.echo_withheld.contains(name) {
            return HeartbeatId::default();
        }
        let member = self.members.get(name);
        member.map_or(HeartbeatId::default(), |member| member.last_heartbeat_id)
    }

    fn views_at(&self, now: Millis) -> Vec<DomainView> {
        let views = self.views.iter();
        views
            .map(|(domain, view)| DomainView {
                domain: domain.clone(),
                age: now.since(view.last_heartbeat_at),
                state: view.state,
            })
            .collect()
    }

    fn own_domain_targets(&self) -> Vec<&str> {
        let retry = self.heartbeat_number % GONE_RETRY_PERIODS == 0;
        self.members
            .iter()
            .filter(|(_, member)| member.domain == self.me.domain)
            .filter(|(_, member)| retry || member.state != MemberState::Gone)
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// Returns, for each other failure domain, the delegates from which
    /// heartbeats arrive; if there are none, one of its instances, another one
    /// after every two heartbeat periods.
    fn other_domain_targets(&self, now: Millis) -> Vec<&str> {
        let domains: BTreeSet<&str> = self
            .members
            .values()
            .map(|member| member.domain.as_str())
            .filter(|domain| *domain != self.me.domain)
            .collect();
        domains
            .into_iter()
            .flat_map(|domain| self.targets_in(now, domain))
            .collect()
    }

    fn targets_in(&self, now: Millis, domain: &str) -> Vec<&str> {
        let mut candidates: Vec<(&str, &Member)> = self
            .members()
            .filter(|(_, member)| member.domain == domain && member.state.serves())
            .collect();
        candidates.sort_unstable_by_key(|(name, _)| (delegate_rank(name), *name));
        let active: Vec<&str> = candidates
            .iter()
            .filter(|(_, member)| {
                member.boot.is_some() && now.since(member.silent_since) < SUSPECT_AFTER
            })
            .map(|(name, _)| *name)
            .take(DELEGATES_PER_DOMAIN)
            .collect();
        if !active.is_empty() || candidates.is_empty() {
            return active;
        }
        let count = candidates.len();
        let local_delegates = self.delegates(&self.me.domain);
        let position = local_delegates
            .iter()
            .position(|name| *name == self.me.name);
        let round = usize::try_from(self.heartbeat_number).unwrap_or(0) / 2;
        let index = (position.unwrap_or(0) + round) % count;
        vec![candidates[index].0]
    }
}

/// Returns the rank of an instance in the selection of delegates; the lowest ranks
/// are selected.
fn delegate_rank(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the tag that tells the heartbeats of different runs of a process
/// apart.
fn boot_tag(boot: Boot) -> u16 {
    let [low, high, ..] = boot.0.to_le_bytes();
    u16::from_le_bytes([low, high])
}

fn record_event(cx: &mut Cx<'_>, name: &str, event: &str) {
    let detail = format!("{name} {event}");
    cx.event(EventKind::Member, Subject::default(), detail);
}
