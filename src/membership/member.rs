//! What is known of one instance.

use super::BeatId;
use super::Heartbeat;
use super::OwnState;
use crate::clock::Millis;
use crate::id::Boot;

/// Silence after which a member is suspected.
pub const SUSPECT_AFTER: Millis = Millis(2_500);
/// Silence after which a member counts as gone.
pub const GONE_AFTER: Millis = Millis(4_000);

/// Whether an instance can be counted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Its heartbeats come.
    Live,
    /// A heartbeat or two are missing.
    Suspect,
    /// It said, or the list says, that it leaves.
    Leaving,
    /// Nothing comes from it.
    Gone,
}

impl MemberState {
    /// Returns the state's name in text output.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            MemberState::Live => "live",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Gone => "gone",
        }
    }

    /// Returns whether the member still takes duties.
    #[must_use]
    pub const fn serves(self) -> bool {
        matches!(self, MemberState::Live | MemberState::Suspect)
    }
}

/// An instance, from the list or from its heartbeats.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its failure domain.
    pub domain: String,
    /// Its address for peers, `ip:port`.
    pub addr: String,
    /// The boot number of its last heartbeat.
    pub boot: Option<Boot>,
    /// Its state as last judged.
    pub state: MemberState,
    /// What it said of itself in its last heartbeat.
    pub own: OwnState,
    pub(super) listed: bool,
    pub(super) listed_leaving: bool,
    pub(super) said_leaving: bool,
    /// The last heartbeat, or when the member became known.
    pub(super) heard: Millis,
    /// Its last heartbeat.
    pub(super) last: BeatId,
    /// When this instance sent the newest heartbeat that the member has echoed.
    pub(super) contact: Option<Millis>,
}

impl Member {
    /// Returns a member that has not been heard yet.
    pub(super) fn new(now: Millis, domain: &str, addr: &str) -> Member {
        Member {
            domain: domain.to_owned(),
            addr: addr.to_owned(),
            boot: None,
            state: MemberState::Suspect,
            own: OwnState::default(),
            listed: false,
            listed_leaving: false,
            said_leaving: false,
            heard: now,
            last: BeatId::default(),
            contact: None,
        }
    }

    /// Takes over a heartbeat; returns whether another process sent it than
    /// the last one.
    pub(super) fn hear(&mut self, now: Millis, boot: Boot, beat: &Heartbeat) -> bool {
        let restarted = self.boot.is_some_and(|known| known != boot);
        self.domain.clone_from(&beat.domain);
        self.addr.clone_from(&beat.addr);
        self.boot = Some(boot);
        self.own = beat.state;
        self.said_leaving = beat.leaving;
        self.heard = now;
        if restarted {
            self.contact = None;
        }
        if restarted || beat.id.number > self.last.number {
            self.last = beat.id;
        }
        restarted
    }

    /// Returns the state that follows from list and heartbeats.
    ///
    /// An instance of another failure domain sends heartbeats to delegates
    /// only, so elsewhere the list alone speaks for it.
    pub(super) fn judge(&self, now: Millis, same_domain: bool) -> MemberState {
        let silent = now.since(self.heard);
        let judged_by_list = !same_domain && self.listed;
        if silent >= GONE_AFTER && !judged_by_list {
            return MemberState::Gone;
        }
        if self.said_leaving || self.listed_leaving {
            return MemberState::Leaving;
        }
        if judged_by_list || (silent < SUSPECT_AFTER && self.boot.is_some()) {
            return MemberState::Live;
        }
        MemberState::Suspect
    }

    /// Returns whether a heartbeat came within the time that keeps it live.
    #[must_use]
    pub fn heard_lately(&self, now: Millis) -> bool {
        self.boot.is_some() && now.since(self.heard) < GONE_AFTER
    }
}
