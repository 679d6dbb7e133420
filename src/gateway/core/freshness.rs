//! How old the knowledge of the operators' configuration is.
//!
//! A proof is an answer of the store: what was known before it is true as of
//! the time at which the store was *asked*. An instance that the store does not
//! answer lives on others' proofs, as long as they know no newer change than it
//! does itself. All times are of a clock that counts suspension.

use crate::clock::Millis;
use crate::gateway::settings::Bounds;

/// Part of the time until a removed key must be unusable that is kept in
/// reserve for queueing, sending and clocks.
const REVOKE_MARGIN: Millis = Millis(400);
/// Time that another instance's heartbeat takes to arrive, at most, as far as
/// the age of its proof is concerned: one queued datagram between domains.
const PEER_DELAY: Millis = Millis(100);

/// Freshness of the configuration.
#[derive(Debug)]
pub struct Freshness {
    key_limit: Millis,
    route_limit: Millis,
    /// When the store was asked for the newest proof.
    proved_at: Option<Millis>,
    config_revision: u64,
    /// Newest change by operators that another instance has told of.
    heard_revision: u64,
    /// When the store was last lost, and when it came back.
    lost_at: Option<Millis>,
    back_at: Option<Millis>,
}

impl Freshness {
    /// Returns the state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Freshness {
        Freshness {
            key_limit: bounds.revoke - REVOKE_MARGIN,
            route_limit: bounds.config_apply,
            proved_at: None,
            config_revision: 0,
            heard_revision: 0,
            lost_at: None,
            back_at: None,
        }
    }

    /// Takes over facts, and the store's proof if they come from there.
    pub fn store_answered(&mut self, now: Millis, proved_at: Option<Millis>, config_revision: u64) {
        self.config_revision = self.config_revision.max(config_revision);
        if proved_at.is_none() {
            return;
        }
        if let Some(lost_at) = self.lost_at.take() {
            log::info!(away_ms = now.since(lost_at).0; "store regained");
            self.back_at = Some(now);
        }
        self.proved_at = self.proved_at.max(proved_at);
    }

    /// Takes over that the store did not answer.
    pub fn store_lost(&mut self, now: Millis) {
        if self.lost_at.is_none() {
            log::warn!(config_age_ms = self.proof_age(now).0; "store lost");
            self.lost_at = Some(now);
        }
    }

    /// Takes over another instance's proof.
    pub fn peer_proof(&mut self, now: Millis, config_revision: u64, age: Millis) {
        self.heard_revision = self.heard_revision.max(config_revision);
        if config_revision > self.config_revision || self.proved_at.is_none() {
            return;
        }
        let total = age + PEER_DELAY;
        if total <= now {
            self.proved_at = self.proved_at.max(Some(now - total));
        }
    }

    /// Returns the revision of the newest change by operators that is known.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        self.config_revision
    }

    /// Returns whether the store answered last.
    #[must_use]
    pub fn store_answers(&self) -> bool {
        self.lost_at.is_none()
    }

    /// Returns whether others know a change by operators that is not known here.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.heard_revision > self.config_revision
    }

    /// Returns the age of the newest proof.
    #[must_use]
    pub fn proof_age(&self, now: Millis) -> Millis {
        self.proved_at.map_or(Millis::NEVER, |at| now.since(at))
    }

    /// Returns whether callers' keys may be relied on.
    #[must_use]
    pub fn keys_usable(&self, now: Millis) -> bool {
        self.proof_age(now) < self.key_limit
    }

    /// Returns whether a route or key that is not known does not exist.
    #[must_use]
    pub fn absence_certain(&self, now: Millis) -> bool {
        self.proof_age(now) < self.route_limit
    }

    /// Returns whether entries of the store may be missing only as it was away.
    #[must_use]
    pub fn recently_away(&self, now: Millis, span: Millis) -> bool {
        self.lost_at.is_some() || self.back_at.is_some_and(|back| now.since(back) < span)
    }
}
