//! Age of this instance's view of the operators' configuration.
//!
//! A proof is an answer of the store that shows the version in force here: it
//! confirms that this was current when the store was *queried*. An answer that
//! shows another version, or one that cannot be decoded, proves nothing, and
//! neither does one while another instance knows a newer version. An instance
//! that the store does not answer relies on the proofs of other instances that
//! hold the same version. All times are read from a clock that keeps running
//! while the machine is suspended.

use crate::clock::Millis;
use crate::gateway::message::StoreEra;
use crate::gateway::message::StorePosition;
use crate::gateway::settings::Bounds;

/// Reserve kept within the time limit for revoking keys, for queueing,
/// transmission and clock differences.
const REVOKE_MARGIN: Millis = Millis(400);
/// Maximum time that another instance's heartbeat takes to arrive, including
/// queueing on the way. Added to the age of its proof.
const MAX_HEARTBEAT_DELAY: Millis = Millis(100);

/// Write intervals of servers that an outage has to last for the entry of a live
/// one to lapse: the store removes entries after three without a write, of which
/// one may have passed before.
const MIN_LAPSE_WRITES: u64 = 2;

/// What another instance says of its configuration.
#[derive(Debug, Clone, Copy)]
pub struct PeerProof {
    /// Position of the newest change by operators.
    pub position: StorePosition,
    /// Version in force; 0 if none is.
    pub version: u64,
    /// Age of the newest proof, with the time for which the message waited here.
    pub age: Millis,
}

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
    /// Time in which what a store has lost is written again.
    rewrite_time: Millis,
    /// Newest known era of the store.
    era: StoreEra,
    /// Earliest query whose answer is a proof: until then the operators may not
    /// have written again what the store has lost.
    settled_at: Millis,
    config_position: StorePosition,
    /// Newest operator change that another instance reported.
    peer_position: StorePosition,
    /// Newest version of the configuration that another instance reported.
    peer_version: u64,
    /// Whether the latest answer about the operators' keys proved nothing.
    is_unproven: bool,
    /// When the store became unreachable; `None` while it answers.
    lost_at: Option<Millis>,
    /// When the store last became reachable again.
    regained_at: Option<Millis>,
    /// Latest time at which the store is known to have answered an instance.
    answered_at: Millis,
    /// Shortest outage in which the entry of a live server can lapse.
    min_lapse_time: Millis,
    /// When the store last became reachable again after such an outage.
    regained_after_lapse_at: Option<Millis>,
}

impl Freshness {
    /// Creates the state of an instance without configuration.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Freshness {
        Freshness {
            max_age_for_keys: bounds.key_revoke_limit - REVOKE_MARGIN,
            max_age_for_absence: bounds.config_apply_limit,
            proved_at: None,
            rewrite_time: bounds.entry_recovery_time,
            era: StoreEra::default(),
            settled_at: Millis::ZERO,
            config_position: StorePosition::default(),
            peer_position: StorePosition::default(),
            peer_version: 0,
            is_unproven: false,
            lost_at: None,
            regained_at: None,
            answered_at: Millis::ZERO,
            min_lapse_time: bounds.server_write_interval * MIN_LAPSE_WRITES,
            regained_after_lapse_at: None,
        }
    }

    /// Changes the limits; what is known stays.
    pub fn set_bounds(&mut self, bounds: &Bounds) {
        self.max_age_for_keys = bounds.key_revoke_limit - REVOKE_MARGIN;
        self.max_age_for_absence = bounds.config_apply_limit;
        self.rewrite_time = bounds.entry_recovery_time;
    }

    /// Records the store's era. Once it has `restored` an older copy, what was
    /// written after that is missing until it is written again. An instance that
    /// starts cannot tell how long ago the store returned.
    pub fn record_era(&mut self, now: Millis, era: StoreEra, restored: bool) {
        self.era = era;
        if era > StoreEra::default() {
            self.settled_at = now + self.rewrite_time;
        }
        if restored {
            self.regained_at = Some(now);
            self.regained_after_lapse_at = Some(now);
        }
    }

    /// Returns the time until the store's answers prove something again.
    #[must_use]
    pub fn settle_time_left(&self, now: Millis) -> Millis {
        self.settled_at.since(now)
    }

    /// Records an answer of the store and the position that it shows; `queried_at`
    /// is the time of the query if it was for the operators' keys. Returns how long
    /// the store was lost if this ends an outage.
    pub fn record_store_answer(
        &mut self,
        now: Millis,
        queried_at: Option<Millis>,
        config_position: StorePosition,
    ) -> Option<Millis> {
        self.config_position = self.config_position.max(config_position);
        let queried_at = queried_at?;
        self.record_entries_answer(now, queried_at);
        let lost_at = self.lost_at.take();
        if let Some(lost_at) = lost_at {
            log::info!(away_ms = now.since(lost_at).0; "store regained");
            self.regained_at = Some(now);
        }
        lost_at.map(|lost_at| now.since(lost_at))
    }

    /// Records an answer of the store to a query for the backend servers' entries. It
    /// proves nothing of the configuration, but shows that the store can be written to.
    pub fn record_entries_answer(&mut self, now: Millis, queried_at: Millis) {
        if self.lost_at.is_some() && self.may_lapse(queried_at) {
            self.regained_after_lapse_at = Some(now);
        }
        self.answered_at = self.answered_at.max(queried_at);
    }

    /// Returns whether the entry of a live server can have lapsed if the store has
    /// answered nobody from its latest known answer until `at`.
    fn may_lapse(&self, at: Millis) -> bool {
        at.since(self.answered_at) >= self.min_lapse_time
    }

    /// Returns whether an entry that is removed now may have lapsed in an outage
    /// that lasted long enough and is in progress or ended less than `window` ago.
    /// Otherwise its server has left, whatever the store answers from now on.
    #[must_use]
    pub fn may_have_lapsed(&self, now: Millis, window: Millis) -> bool {
        let is_recent = |at: Millis| now.since(at) < window;
        (self.lost_at.is_some() && self.may_lapse(now))
            || self.regained_after_lapse_at.is_some_and(is_recent)
    }

    /// Records an answer to a query at `proved_at` as a proof if it shows the
    /// version `in_force`, and if no newer one can be missing from the store.
    /// Returns whether it is a proof after answers that were none.
    pub fn record_proof(&mut self, proved_at: Millis, shown: Option<u64>, in_force: u64) -> bool {
        let is_settled = proved_at >= self.settled_at;
        let is_proof = is_settled && shown == Some(in_force) && self.peer_version <= in_force;
        if is_proof {
            self.proved_at = self.proved_at.max(Some(proved_at));
        }
        let is_changed = is_proof == self.is_unproven;
        self.is_unproven = !is_proof;
        if is_changed {
            log::warn!(
                proved = is_proof,
                shown_version = shown.unwrap_or_default(),
                in_force = in_force,
                newest_reported = self.peer_version,
                settled = is_settled;
                "what the store's answers prove of the configuration changed"
            );
        }
        is_changed && is_proof
    }

    /// Records that the store did not answer.
    pub fn record_store_loss(&mut self, now: Millis) {
        if self.lost_at.is_none() {
            log::warn!(config_age_ms = self.proof_age(now).0; "store lost");
            self.lost_at = Some(now);
        }
    }

    /// Applies the proof of another instance if it holds the version `in_force`
    /// and knows no newer change. Positions of different eras say nothing about
    /// that.
    pub fn record_peer_proof(&mut self, now: Millis, proof: PeerProof, in_force: u64) {
        self.peer_position = self.peer_position.max(proof.position);
        self.peer_version = self.peer_version.max(proof.version);
        let knows_newer_change =
            proof.position.era == self.config_position.era && proof.position > self.config_position;
        // Whatever it proves, the store has answered.
        let total = proof.age + MAX_HEARTBEAT_DELAY;
        if total <= now && proof.position.era == self.era {
            self.answered_at = self.answered_at.max(now - total);
        }
        if in_force == 0 || proof.version != in_force || knows_newer_change {
            return;
        }
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

    /// Returns whether another instance knows a newer operator change, or a newer
    /// version than the one in force here.
    #[must_use]
    pub fn is_behind(&self, in_force: u64) -> bool {
        self.peer_position > self.config_position || self.peer_version > in_force
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
