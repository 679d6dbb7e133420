//! The document that names the homes of a failure domain.
//!
//! It holds the instances that share the homes; which of them is the home of a
//! backend server follows by rendezvous hashing (Thaler and Ravishankar 1998,
//! "Using Name-Based Mappings to Increase Hit Rates"), so that it is written
//! only when an instance joins or leaves.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::Boot;
use crate::id::Epoch;

/// Earlier sets of holders that the document keeps.
const PAST_EPOCHS: usize = 4;

/// One of the instances that share the homes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// Its name.
    pub name: String,
    /// Its boot number.
    pub boot: Boot,
    /// Its address for peers, `ip:port`.
    pub addr: String,
}

/// The holders of an earlier epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PastHolders {
    /// The epoch.
    pub epoch: Epoch,
    /// The holders' names.
    pub names: Vec<String>,
}

/// The homes of one failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HomesDocument {
    /// Grows with each change.
    pub epoch: Epoch,
    /// Who shares the homes, by name.
    pub holders: Vec<Holder>,
    /// Holders of the epochs before, newest first.
    pub past: Vec<PastHolders>,
}

impl HomesDocument {
    /// Returns the document's key in the key-value service.
    #[must_use]
    pub fn key(domain: &str) -> String {
        format!("homes/{domain}")
    }

    /// Returns the next document, with `holder` in place of any of its name.
    #[must_use]
    pub fn with(&self, holder: Holder) -> HomesDocument {
        let mut holders = self.holders.clone();
        holders.retain(|other| other.name != holder.name);
        holders.push(holder);
        self.next(holders)
    }

    /// Returns the next document without the holder `name`.
    #[must_use]
    pub fn without(&self, name: &str) -> HomesDocument {
        let mut holders = self.holders.clone();
        holders.retain(|other| other.name != name);
        self.next(holders)
    }

    /// Returns the same holders under an epoch above `epoch`.
    #[must_use]
    pub fn above(&self, epoch: Epoch) -> HomesDocument {
        let mut next = self.next(self.holders.clone());
        next.epoch = next.epoch.max(Epoch(epoch.0.saturating_add(1)));
        next
    }

    /// Returns the holder `name`.
    #[must_use]
    pub fn holder(&self, name: &str) -> Option<&Holder> {
        self.holders.iter().find(|holder| holder.name == name)
    }

    /// Returns the home of a backend server.
    #[must_use]
    pub fn home_of(&self, backend: &str) -> Option<&Holder> {
        let holders = self.holders.iter();
        holders.max_by_key(|holder| (score(&holder.name, backend), &holder.name))
    }

    /// Returns who was home of a backend server in the epochs from `since` on
    /// and before this one; none, if the document doesn't reach back so far.
    #[must_use]
    pub fn homes_since(&self, since: Epoch, backend: &str) -> Option<Vec<&str>> {
        let known = self.past.last().is_some_and(|past| past.epoch <= since);
        if !known && self.epoch.0 > since.0 {
            return None;
        }
        let past = self.past.iter().filter(|past| past.epoch >= since);
        Some(past.filter_map(|past| past.home_of(backend)).collect())
    }

    /// Returns the size of the smallest set of holders that `name` may have
    /// last known itself in, if it knew of epoch `told`.
    #[must_use]
    pub fn smallest_with(&self, name: &str, told: Epoch) -> u64 {
        let now = self.holder(name).map(|_| self.holders.len());
        let past = self.past.iter().filter(|past| past.epoch >= told);
        let past = past.filter(|past| past.names.iter().any(|other| other == name));
        let least = past.map(|past| past.names.len()).chain(now).min();
        u64::try_from(least.unwrap_or(1)).unwrap_or(1)
    }

    fn next(&self, mut holders: Vec<Holder>) -> HomesDocument {
        holders.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut past = self.past.clone();
        if self.epoch > Epoch::default() {
            past.insert(0, self.as_past());
        }
        past.truncate(PAST_EPOCHS);
        HomesDocument {
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
    /// Returns who was home of a backend server.
    #[must_use]
    pub fn home_of(&self, backend: &str) -> Option<&str> {
        let names = self.names.iter();
        let home = names.max_by_key(|name| (score(name, backend), *name));
        home.map(String::as_str)
    }
}

fn score(holder: &str, backend: &str) -> u64 {
    let seed = xxh3_64_with_seed(holder.as_bytes(), 0);
    xxh3_64_with_seed(backend.as_bytes(), seed)
}
