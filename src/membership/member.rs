//! The state of one member.

use super::Heartbeat;
use super::HeartbeatId;
use super::InstanceState;
use crate::clock::Millis;
use crate::id::Boot;

/// Time without a heartbeat after which a member is suspected.
pub const SUSPECT_AFTER: Millis = Millis(2_500);
/// Time without a heartbeat after which a member counts as gone.
pub const GONE_AFTER: Millis = Millis(4_000);

/// The liveness of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Its heartbeats arrive, or it is listed in another failure domain; it is
    /// not draining.
    Live,
    /// No heartbeat has arrived yet, or none for [`SUSPECT_AFTER`].
    Suspect,
    /// It is draining according to its heartbeats or the instance list.
    Draining,
    /// No heartbeat has arrived for [`GONE_AFTER`], and it is not a listed
    /// instance of another failure domain.
    Gone,
}

impl MemberState {
    /// Returns the state's name in text output.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            MemberState::Live => "live",
            MemberState::Suspect => "suspect",
            MemberState::Draining => "leaving",
            MemberState::Gone => "gone",
        }
    }

    /// Returns whether the member is live or suspected, and so accepts work.
    #[must_use]
    pub const fn serves(self) -> bool {
        matches!(self, MemberState::Live | MemberState::Suspect)
    }
}

/// Another instance, known from the instance list or from its heartbeats.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its failure domain.
    pub domain: String,
    /// Its address for peers, `ip:port`.
    pub addr: String,
    /// The boot number in its last heartbeat; `None` before the first.
    pub boot: Option<Boot>,
    /// Its state when it was last evaluated.
    pub state: MemberState,
    /// The state that it reported in its last heartbeat.
    pub reported_state: InstanceState,
    pub(super) listed: bool,
    pub(super) listed_draining: bool,
    pub(super) reported_draining: bool,
    /// When its last heartbeat arrived, or when the member became known.
    /// Shifted forward by pauses of this process.
    pub(super) silent_since: Millis,
    /// The id of its newest heartbeat, to echo.
    pub(super) last_heartbeat_id: HeartbeatId,
    /// When this instance sent the newest heartbeat that the member has echoed.
    pub(super) last_acknowledged: Option<Millis>,
}

impl Member {
    /// Returns a member that has not sent a heartbeat yet.
    pub(super) fn new(now: Millis, domain: &str, addr: &str) -> Member {
        Member {
            domain: domain.to_owned(),
            addr: addr.to_owned(),
            boot: None,
            state: MemberState::Suspect,
            reported_state: InstanceState::default(),
            listed: false,
            listed_draining: false,
            reported_draining: false,
            silent_since: now,
            last_heartbeat_id: HeartbeatId::default(),
            last_acknowledged: None,
        }
    }

    /// Applies a heartbeat; returns whether the member has restarted since the
    /// last one.
    pub(super) fn on_heartbeat(&mut self, now: Millis, boot: Boot, heartbeat: &Heartbeat) -> bool {
        let restarted = self.boot.is_some_and(|known| known != boot);
        self.domain.clone_from(&heartbeat.domain);
        self.addr.clone_from(&heartbeat.addr);
        self.boot = Some(boot);
        self.reported_state = heartbeat.state;
        self.reported_draining = heartbeat.leaving;
        self.silent_since = now;
        if restarted {
            self.last_acknowledged = None;
        }
        if restarted || heartbeat.id.number > self.last_heartbeat_id.number {
            self.last_heartbeat_id = heartbeat.id;
        }
        restarted
    }

    /// Returns the state that follows from the instance list and the
    /// heartbeats.
    ///
    /// An instance of another failure domain sends heartbeats to delegates
    /// only, so missing heartbeats prove nothing while it is listed.
    pub(super) fn state_at(&self, now: Millis, same_domain: bool) -> MemberState {
        let silence = now.since(self.silent_since);
        let listed_remote = !same_domain && self.listed;
        if silence >= GONE_AFTER && !listed_remote {
            return MemberState::Gone;
        }
        if self.reported_draining || self.listed_draining {
            return MemberState::Draining;
        }
        if listed_remote || (silence < SUSPECT_AFTER && self.boot.is_some()) {
            return MemberState::Live;
        }
        MemberState::Suspect
    }

    /// Returns whether a heartbeat arrived within [`GONE_AFTER`].
    #[must_use]
    pub fn has_recent_heartbeat(&self, now: Millis) -> bool {
        self.boot.is_some() && now.since(self.silent_since) < GONE_AFTER
    }
}
