//! Stored document that names the coordinators (`homes` in the key-value
//! service and in messages) of a failure domain.
//!
//! It lists the instances that share the coordination (its holders). The
//! coordinator of one backend server follows by rendezvous hashing (Thaler and
//! Ravishankar 1998, "Using Name-Based Mappings to Increase Hit Rates"), so the
//! document does not list backend servers and seldom changes.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::Boot;
use crate::id::Epoch;

/// Maximum number of earlier epochs whose holders the document keeps.
const MAX_PAST_EPOCHS: usize = 4;

/// An instance that coordinates a share of the failure domain's backend
/// servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// Instance name.
    pub name: String,
    /// Boot number of the instance.
    pub boot: Boot,
    /// Address for peer traffic, `ip:port`.
    pub addr: String,
}

/// The holders of an earlier epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PastHolders {
    /// The earlier epoch.
    pub epoch: Epoch,
    /// Names of the holders.
    pub names: Vec<String>,
}

/// Coordinators of one failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CoordinatorsDocument {
    /// Increases with each change.
    pub epoch: Epoch,
    /// Holders in the current epoch, sorted by name.
    pub holders: Vec<Holder>,
    /// Holders of earlier epochs, newest first.
    pub past: Vec<PastHolders>,
}

impl CoordinatorsDocument {
    /// Returns the document's key in the key-value service.
    #[must_use]
    pub fn key(domain: &str) -> String {
        format!("homes/{domain}")
    }

    /// Returns the next document with `holder` added, replacing any holder of
    /// the same name.
    #[must_use]
    pub fn with_holder(&self, holder: Holder) -> CoordinatorsDocument {
        let mut holders = self.holders.clone();
        holders.retain(|other| other.name != holder.name);
        holders.push(holder);
        self.next(holders)
    }

    /// Returns the next document without the holder `name`.
    #[must_use]
    pub fn without_holder(&self, name: &str) -> CoordinatorsDocument {
        let mut holders = self.holders.clone();
        holders.retain(|other| other.name != name);
        self.next(holders)
    }

    /// Returns the next document with the same holders and an epoch above
    /// `epoch`.
    #[must_use]
    pub fn with_epoch_above(&self, epoch: Epoch) -> CoordinatorsDocument {
        let mut next = self.next(self.holders.clone());
        next.epoch = next.epoch.max(Epoch(epoch.0.saturating_add(1)));
        next
    }

    /// Returns the holder `name`.
    #[must_use]
    pub fn holder(&self, name: &str) -> Option<&Holder> {
        self.holders.iter().find(|holder| holder.name == name)
    }

    /// Returns the holder that coordinates a backend server, or `None` without
    /// holders.
    #[must_use]
    pub fn coordinator_of(&self, backend: &str) -> Option<&Holder> {
        let holders = self.holders.iter();
        holders.max_by_key(|holder| (rendezvous_score(&holder.name, backend), &holder.name))
    }

    /// Returns the coordinators of a backend server in the epochs from `since`
    /// up to the one before this document's, or `None` if its list of earlier
    /// holders does not reach back to `since`.
    #[must_use]
    pub fn coordinators_since(&self, since: Epoch, backend: &str) -> Option<Vec<&str>> {
        let known = self.past.last().is_some_and(|past| past.epoch <= since);
        if !known && self.epoch.0 > since.0 {
            return None;
        }
        let past = self.past.iter().filter(|past| past.epoch >= since);
        Some(
            past.filter_map(|past| past.coordinator_of(backend))
                .collect(),
        )
    }

    /// Returns the smallest number of holders that the holder `name` may
    /// believe to be current, given that it last reported `known_epoch`; 1 if
    /// unknown. It is used as the divisor of the holder's static share.
    #[must_use]
    pub fn min_holder_count(&self, name: &str, known_epoch: Epoch) -> u64 {
        let current = self.holder(name).map(|_| self.holders.len());
        let past = self.past.iter().filter(|past| past.epoch >= known_epoch);
        let past = past.filter(|past| past.names.iter().any(|other| other == name));
        let least = past.map(|past| past.names.len()).chain(current).min();
        u64::try_from(least.unwrap_or(1)).unwrap_or(1)
    }

    fn next(&self, mut holders: Vec<Holder>) -> CoordinatorsDocument {
        holders.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut past = self.past.clone();
        if self.epoch > Epoch::default() {
            past.insert(0, self.as_past());
        }
        past.truncate(MAX_PAST_EPOCHS);
        CoordinatorsDocument {
            epoch: Epoch(self.epoch.0 + 1),
            holders,
            past,
        }
    }

    fn as_past(&self) -> PastHolders {
        PastHolders {
            epoch: self.epoch,
            names: self
                .holders
                .iter()
                .map(|holder| holder.name.clone())
                .collect(),
        }
    }
}

impl PastHolders {
    /// Returns the name of a backend server's coordinator in that epoch.
    #[must_use]
    pub fn coordinator_of(&self, backend: &str) -> Option<&str> {
        let names = self.names.iter();
        let coordinator = names.max_by_key(|name| (rendezvous_score(name, backend), *name));
        coordinator.map(String::as_str)
    }
}

fn rendezvous_score(holder: &str, backend: &str) -> u64 {
    let seed = xxh3_64_with_seed(holder.as_bytes(), 0);
    xxh3_64_with_seed(backend.as_bytes(), seed)
}
