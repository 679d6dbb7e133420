//! Age of this instance's view of the operators' configuration.
//!
//! A proof is an answer of the store: it confirms that the configuration that
//! this instance holds after applying the answer was current when the store was
//! *queried*. An instance that the store does not answer relies on the proofs
//! of other instances, as long as they know no newer change than it does. All
//! times are read from a clock that keeps running while the machine is
//! suspended.

use crate::clock::Millis;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;
use crate::gateway::settings::Bounds;

/// Reserve kept within the time limit for revoking keys, for queueing,
/// transmission and clock differences.
const REVOKE_MARGIN: Millis = Millis(400);
/// Maximum delivery time of another instance's heartbeat between failure
/// domains, including queueing. Added to the age of its proof.
const MAX_HEARTBEAT_DELAY: Millis = Millis(100);

/// Freshness of the configuration.
#[derive(Debug)]
pub struct Freshness {
    /// Age of the newest proof up to which callers' keys are accepted.
    max_age_for_keys: Millis,
    /// Age of the newest proof up to which an unknown route or key counts as
    /// nonexistent.
    max_age_for_absence: Millis,
    /// When the query that gave the newest proof was sent.
    proved_at: Option<Millis>,
    /// Newest known era of the store.
    era: StoreEra,
    config_position: StorePosition,
    /// Newest operator change that another instance reported.
    peer_position: StorePosition,
    /// When the store became unreachable; `None` while it answers.
    lost_at: Option<Millis>,
    /// When the store last became reachable again.
    regained_at: Option<Millis>,
}

impl Freshness {
    /// Creates the state of an instance without configuration.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Freshness {
        Freshness {
            max_age_for_keys: bounds.key_revoke_limit - REVOKE_MARGIN,
            max_age_for_absence: bounds.config_apply_limit,
            proved_at: None,
            era: StoreEra::default(),
            config_position: StorePosition::default(),
            peer_position: StorePosition::default(),
            lost_at: None,
            regained_at: None,
        }
    }

    /// Records that the store has returned from an older copy. Entries that were
    /// written after the copy are missing until they are written again.
    pub fn record_restore(&mut self, now: Millis, era: StoreEra) {
        self.era = era;
        self.regained_at = Some(now);
    }

    /// Records the position of the applied updates, and the proof if there is
    /// one: only reads of the operators' keys give one.
    pub fn record_store_answer(
        &mut self,
        now: Millis,
        proved_at: Option<Millis>,
        config_position: StorePosition,
    ) {
        self.config_position = self.config_position.max(config_position);
        if proved_at.is_none() {
            return;
        }
        if let Some(lost_at) = self.lost_at.take() {
            log::info!(away_ms = now.since(lost_at).0; "store regained");
            self.regained_at = Some(now);
        }
        self.proved_at = self.proved_at.max(proved_at);
    }

    /// Records that the store did not answer.
    pub fn record_store_loss(&mut self, now: Millis) {
        if self.lost_at.is_none() {
            log::warn!(config_age_ms = self.proof_age(now).0; "store lost");
            self.lost_at = Some(now);
        }
    }

    /// Applies the proof of another instance.
    pub fn record_peer_proof(&mut self, now: Millis, config_position: StorePosition, age: Millis) {
        self.peer_position = self.peer_position.max(config_position);
        if config_position > self.config_position || self.proved_at.is_none() {
            return;
        }
        let total = age + MAX_HEARTBEAT_DELAY;
        if total <= now {
            self.proved_at = self.proved_at.max(Some(now - total));
        }
    }

    /// Returns the newest known era of the store.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the revision of the newest operator change known here; 0 if none of
    /// the store's era is known.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        match self.config_position.era == self.era {
            true => self.config_position.revision,
            false => 0,
        }
    }

    /// Returns whether the latest query of the store was answered.
    #[must_use]
    pub fn is_store_answering(&self) -> bool {
        self.lost_at.is_none()
    }

    /// Returns whether another instance knows a newer operator change.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.peer_position > self.config_position
    }

    /// Returns the age of the newest proof.
    #[must_use]
    pub fn proof_age(&self, now: Millis) -> Millis {
        self.proved_at.map_or(Millis::NEVER, |at| now.since(at))
    }

    /// Returns whether the configuration is fresh enough to authenticate
    /// callers' keys.
    #[must_use]
    pub fn keys_usable(&self, now: Millis) -> bool {
        self.proof_age(now) < self.max_age_for_keys
    }

    /// Returns whether the configuration is fresh enough to conclude that an
    /// unknown route or key does not exist.
    #[must_use]
    pub fn absence_certain(&self, now: Millis) -> bool {
        self.proof_age(now) < self.max_age_for_absence
    }

    /// Returns whether a store outage is in progress or ended less than
    /// `window` ago, in which case missing entries may only have lapsed.
    #[must_use]
    pub fn recently_unavailable(&self, now: Millis, window: Millis) -> bool {
        self.lost_at.is_some()
            || self
                .regained_at
                .is_some_and(|regained_at| now.since(regained_at) < window)
    }
}
