//! Which instances there are, and which of them are alive.
//!
//! Members come from the instance list, which lags, and from heartbeats, so
//! that an instance that is not listed yet, or that starts while the list is
//! unavailable, is known by its own word. Within a failure domain each instance
//! sends a heartbeat to each other. Between failure domains two delegates a
//! domain, chosen by rendezvous hashing over the names of its live instances,
//! speak to each other, and tell their own domain what they know of others.
//!
//! Silence is judged on this instance's clock alone. If this process was
//! paused, the silence of others during the pause says nothing and is not
//! counted.

mod member;
mod message;
#[cfg(test)]
mod tests;

pub use member::GONE_AFTER;
pub use member::Member;
pub use member::MemberState;
pub use member::SUSPECT_AFTER;
pub use message::BeatId;
pub use message::DomainView;
pub use message::Heartbeat;
pub use message::Load;
pub use message::OwnState;

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
/// Delegates of a failure domain.
pub const DELEGATES: usize = 2;
/// Heartbeat periods between two reports on other domains to the own one.
const VIEW_PERIODS: u64 = 5;
/// Heartbeat periods between two tries at a member that is gone but listed.
const RETRY_PERIODS: u64 = 5;
/// Time between two handled inputs above which the process was paused.
const PAUSE_BOUND: Millis = Millis(1_500);
/// Heartbeats whose sending times are kept.
const SENT_BEATS: usize = 32;
/// Time after which a member that is gone and not listed is forgotten.
const FORGET_AFTER: Millis = Millis::from_secs(60);

/// What is known of the instances of the fleet.
#[derive(Debug)]
pub struct Membership {
    me: Identity,
    leaving: bool,
    members: BTreeMap<String, Member>,
    views: BTreeMap<String, View>,
    own: OwnState,
    /// When the last heartbeats were sent, by number.
    sent: VecDeque<(u64, Millis)>,
    withheld: BTreeSet<String>,
    periods: u64,
    next_beat: Millis,
    handled: Millis,
}

/// What was last heard of another failure domain, at first or second hand.
#[derive(Debug, Clone, Copy)]
struct View {
    heard: Millis,
    state: OwnState,
}

impl Membership {
    /// Returns the membership of an instance that knows only itself.
    #[must_use]
    pub fn new(me: &Identity) -> Membership {
        Membership {
            me: me.clone(),
            leaving: false,
            members: BTreeMap::new(),
            views: BTreeMap::new(),
            own: OwnState::default(),
            sent: VecDeque::new(),
            withheld: BTreeSet::new(),
            periods: 0,
            next_beat: Millis::ZERO,
            handled: Millis::ZERO,
        }
    }

    /// Takes over the platform's instance list.
    pub fn on_list(&mut self, cx: &mut Cx<'_>, listings: &[Listing]) {
        self.wake(cx.now);
        for member in self.members.values_mut() {
            member.listed = false;
            member.listed_leaving = false;
        }
        for listing in listings {
            if listing.role == Role::Entry && listing.name != self.me.name {
                self.list_one(cx.now, listing);
            }
        }
        self.judge(cx);
    }

    /// Takes over a heartbeat of the instance `from`.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &str, boot: Boot, beat: Heartbeat) {
        if from == self.me.name {
            return;
        }
        self.wake(cx.now);
        let now = cx.now;
        let member = self
            .members
            .entry(from.to_owned())
            .or_insert_with(|| Member::new(now, &beat.domain, &beat.addr));
        if member.hear(now, boot, &beat) {
            note(cx, from, "restarted");
        }
        if beat.echo.tag == tag(self.me.boot) {
            let sent = self
                .sent
                .iter()
                .find(|(number, _)| *number == beat.echo.number);
            member.contact = member.contact.max(sent.map(|&(_, at)| at));
        }
        if beat.domain == self.me.domain {
            self.take_views(now, beat.views);
        } else {
            self.see(beat.domain, now, beat.state);
        }
        self.judge(cx);
    }

    /// Judges all members and, once a period, sends heartbeats with `own`.
    pub fn tick(&mut self, cx: &mut Cx<'_>, own: OwnState) {
        self.wake(cx.now);
        self.own = own;
        self.judge(cx);
        if cx.now < self.next_beat {
            return;
        }
        self.send_beats(cx);
    }

    /// Tells all others that this instance is leaving.
    pub fn leave(&mut self, cx: &mut Cx<'_>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        note(cx, &self.me.name, MemberState::Leaving.as_str());
        self.send_beats(cx);
    }

    /// Returns whether the instance `name` is leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        if name == self.me.name {
            return self.leaving;
        }
        let member = self.members.get(name);
        member.is_some_and(|member| member.state == MemberState::Leaving)
    }

    /// Returns the instances of a failure domain that take duties, this one
    /// included, by name.
    #[must_use]
    pub fn live_in(&self, domain: &str) -> Vec<&str> {
        let mut names: Vec<&str> = self
            .members
            .iter()
            .filter(|(_, member)| member.domain == domain && member.state.serves())
            .map(|(name, _)| name.as_str())
            .collect();
        if domain == self.me.domain && !self.leaving {
            names.push(&self.me.name);
            names.sort_unstable();
        }
        names
    }

    /// Returns the instances of the own failure domain from which heartbeats
    /// come, without this one, by name; those that are leaving included.
    #[must_use]
    pub fn heard_peers(&self, now: Millis) -> Vec<&str> {
        self.members
            .iter()
            .filter(|(_, member)| member.domain == self.me.domain && member.heard_lately(now))
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// Returns the instances that speak for a failure domain.
    #[must_use]
    pub fn delegates(&self, domain: &str) -> Vec<&str> {
        let mut names = self.live_in(domain);
        names.sort_unstable_by_key(|name| (rank(name), *name));
        names.truncate(DELEGATES);
        names
    }

    /// Returns when this instance sent the newest heartbeat that has surely
    /// reached the member `name`.
    #[must_use]
    pub fn contact(&self, name: &str) -> Option<Millis> {
        self.members.get(name).and_then(|member| member.contact)
    }

    /// Returns when the last heartbeat of the member `name` came.
    #[must_use]
    pub fn heard_at(&self, name: &str) -> Option<Millis> {
        let member = self.members.get(name);
        member
            .filter(|member| member.boot.is_some())
            .map(|member| member.heard)
    }

    /// Sets the members to which no heartbeat is echoed, as this instance is
    /// taking over their duties.
    pub fn withhold_echo(&mut self, names: BTreeSet<String>) {
        self.withheld = names;
    }

    /// Sends the next heartbeats at the next tick.
    pub fn hurry(&mut self) {
        self.next_beat = Millis::ZERO;
    }

    /// Returns a member by name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns all members but this one, by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        let members = self.members.iter();
        members.map(|(name, member)| (name.as_str(), member))
    }

    /// Returns an instance's address for peers.
    #[must_use]
    pub fn addr(&self, name: &str) -> Option<&str> {
        self.members.get(name).map(|member| member.addr.as_str())
    }

    /// Returns the highest epoch that an instance of the own failure domain has
    /// told of.
    #[must_use]
    pub fn highest_epoch(&self) -> Epoch {
        let peers = self.members.values();
        let own = peers.filter(|member| member.domain == self.me.domain);
        own.map(|member| member.own.epoch)
            .fold(self.own.epoch, Epoch::max)
    }

    /// Returns a member with a higher revision of the declarations than
    /// `revision`, the highest there is.
    #[must_use]
    pub fn ahead_of(&self, now: Millis, revision: Revision) -> Option<(&str, Revision)> {
        self.members
            .iter()
            .filter(|(_, member)| member.heard_lately(now) && member.own.revision > revision)
            .map(|(name, member)| (name.as_str(), member.own.revision))
            .max_by_key(|&(_, revision)| revision)
    }

    /// Returns whether this failure domain has heard from `domain` of late.
    #[must_use]
    pub fn reaches(&self, now: Millis, domain: &str) -> bool {
        let bound = GONE_AFTER + HEARTBEAT_PERIOD * VIEW_PERIODS;
        domain == self.me.domain
            || self
                .views
                .get(domain)
                .is_some_and(|view| now.since(view.heard) < bound)
    }

    /// Returns how busy an instance of another failure domain was when this
    /// domain last heard from it.
    #[must_use]
    pub fn load_of(&self, domain: &str) -> Option<Load> {
        self.views.get(domain).map(|view| view.state.load)
    }

    /// Moves what was heard before a pause of this process to after it.
    fn wake(&mut self, now: Millis) {
        let gap = now.since(self.handled);
        self.handled = now;
        if gap <= PAUSE_BOUND {
            return;
        }
        for member in self.members.values_mut() {
            member.heard += gap;
        }
        for view in self.views.values_mut() {
            view.heard += gap;
        }
    }

    fn list_one(&mut self, now: Millis, listing: &Listing) {
        let member = self
            .members
            .entry(listing.name.clone())
            .or_insert_with(|| Member::new(now, &listing.domain, &listing.peer_addr));
        member.listed = true;
        member.listed_leaving = listing.leaving;
        if member.boot.is_none() {
            member.domain.clone_from(&listing.domain);
            member.addr.clone_from(&listing.peer_addr);
        }
    }

    fn judge(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let mut live = 0;
        for (name, member) in &mut self.members {
            let state = member.judge(now, member.domain == self.me.domain);
            live += i64::from(state == MemberState::Live);
            if state != member.state {
                member.state = state;
                note(cx, name, state.as_str());
            }
        }
        self.members
            .retain(|_, member| member.listed || now.since(member.heard) < FORGET_AFTER);
        cx.metrics.set(Level::MembersLive, live);
    }

    fn take_views(&mut self, now: Millis, views: Vec<DomainView>) {
        for view in views {
            let heard = Millis(now.0.saturating_sub(view.age.0));
            self.see(view.domain, heard, view.state);
        }
    }

    fn see(&mut self, domain: String, heard: Millis, state: OwnState) {
        if domain == self.me.domain {
            return;
        }
        let view = self.views.entry(domain).or_insert(View { heard, state });
        if heard >= view.heard {
            *view = View { heard, state };
        }
    }

    fn send_beats(&mut self, cx: &mut Cx<'_>) {
        self.next_beat = cx.now + HEARTBEAT_PERIOD;
        self.periods += 1;
        self.sent.push_back((self.periods, cx.now));
        if self.sent.len() > SENT_BEATS {
            self.sent.pop_front();
        }
        let delegate = self
            .delegates(&self.me.domain)
            .contains(&self.me.name.as_str());
        let mut targets = self.own_domain_targets();
        let views = match delegate && self.periods % VIEW_PERIODS == 0 {
            true => self.views_at(cx.now),
            false => Vec::new(),
        };
        self.send_to(cx, &targets, &views);
        if delegate {
            targets = self.other_domain_targets(cx.now);
            self.send_to(cx, &targets, &[]);
        }
    }

    fn send_to(&self, cx: &mut Cx<'_>, targets: &[&str], views: &[DomainView]) {
        for name in targets {
            let Some(addr) = self.addr(name) else {
                continue;
            };
            let beat = Heartbeat {
                domain: self.me.domain.clone(),
                addr: self.me.peer_addr.clone(),
                leaving: self.leaving,
                state: self.own,
                id: BeatId {
                    number: self.periods,
                    tag: tag(self.me.boot),
                },
                echo: self.echo(name),
                views: views.to_vec(),
            };
            cx.out.push(Output::Peer {
                to: (*name).to_owned(),
                addr: addr.to_owned(),
                message: PeerMessage::Membership(beat),
            });
        }
    }

    fn echo(&self, name: &str) -> BeatId {
        if self.withheld.contains(name) {
            return BeatId::default();
        }
        let member = self.members.get(name);
        member.map_or(BeatId::default(), |member| member.last)
    }

    fn views_at(&self, now: Millis) -> Vec<DomainView> {
        let views = self.views.iter();
        views
            .map(|(domain, view)| DomainView {
                domain: domain.clone(),
                age: now.since(view.heard),
                state: view.state,
            })
            .collect()
    }

    fn own_domain_targets(&self) -> Vec<&str> {
        let retry = self.periods % RETRY_PERIODS == 0;
        self.members
            .iter()
            .filter(|(_, member)| member.domain == self.me.domain)
            .filter(|(_, member)| retry || member.state != MemberState::Gone)
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// Returns, for each other domain, the delegates that speak to this one; if
    /// none does, one candidate after the other.
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
        let mut names: Vec<(&str, &Member)> = self
            .members()
            .filter(|(_, member)| member.domain == domain && member.state.serves())
            .collect();
        names.sort_unstable_by_key(|(name, _)| (rank(name), *name));
        let heard: Vec<&str> = names
            .iter()
            .filter(|(_, member)| member.boot.is_some() && now.since(member.heard) < SUSPECT_AFTER)
            .map(|(name, _)| *name)
            .take(DELEGATES)
            .collect();
        if !heard.is_empty() || names.is_empty() {
            return heard;
        }
        let count = names.len();
        let own = self.delegates(&self.me.domain);
        let position = own.iter().position(|name| *name == self.me.name);
        let turn = usize::try_from(self.periods).unwrap_or(0) / 2;
        let index = (position.unwrap_or(0) + turn) % count;
        vec![names[index].0]
    }
}

/// Returns an instance's place in the order that chooses delegates.
fn rank(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn tag(boot: Boot) -> u16 {
    let [low, high, ..] = boot.0.to_le_bytes();
    u16::from_le_bytes([low, high])
}

fn note(cx: &mut Cx<'_>, name: &str, what: &str) {
    let detail = format!("{name} {what}");
    cx.event(EventKind::Member, Subject::default(), detail);
}
