//! The service's data: keys, versions and leases, on a clock of the caller.

use std::collections::BTreeMap;

use serde::Serialize;

use skylarkhook::clock::Millis;

/// A key's value (base64) and version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Entry {
    /// The value.
    pub value: String,
    /// Its version.
    pub version: u64,
    #[serde(skip)]
    lease: Option<String>,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// It took effect.
    Version(u64),
    /// The key has another entry, or none.
    Conflict(Option<Entry>),
    /// Its lease is gone.
    LeaseGone,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Millis,
    until: Millis,
}

/// All keys and leases.
#[derive(Debug, Clone, Default)]
pub struct StoreState {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<String, Lease>,
    version: u64,
    leases_granted: u64,
}

impl StoreState {
    /// Returns a key's entry.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns a key's version; 0 if it does not exist.
    #[must_use]
    pub fn version(&self, key: &str) -> u64 {
        self.get(key).map_or(0, |entry| entry.version)
    }

    /// Creates a key (`version` 0) or replaces its value.
    pub fn put(
        &mut self,
        key: &str,
        value: String,
        version: u64,
        lease: Option<String>,
    ) -> Written {
        if lease
            .as_ref()
            .is_some_and(|lease| !self.leases.contains_key(lease))
        {
            return Written::LeaseGone;
        }
        if self.version(key) != version {
            return Written::Conflict(self.get(key).cloned());
        }
        self.version += 1;
        let entry = Entry {
            value,
            version: self.version,
            lease,
        };
        self.entries.insert(key.to_owned(), entry);
        Written::Version(self.version)
    }

    /// Deletes a key.
    pub fn delete(&mut self, key: &str, version: u64) -> Written {
        if version == 0 || self.version(key) != version {
            return Written::Conflict(self.get(key).cloned());
        }
        self.entries.remove(key);
        self.version += 1;
        Written::Version(self.version)
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Millis, ttl: Millis) -> String {
        self.leases_granted += 1;
        let name = format!("lease-{}", self.leases_granted);
        let until = now + ttl;
        self.leases.insert(name.clone(), Lease { ttl, until });
        name
    }

    /// Renews a lease; returns whether it still was there.
    pub fn renew(&mut self, now: Millis, name: &str) -> bool {
        let Some(lease) = self.leases.get_mut(name) else {
            return false;
        };
        lease.until = now + lease.ttl;
        true
    }

    /// Revokes a lease and deletes its keys; returns whether it was there.
    pub fn revoke(&mut self, name: &str) -> bool {
        if self.leases.remove(name).is_none() {
            return false;
        }
        let held = |entry: &Entry| entry.lease.as_deref() == Some(name);
        let before = self.entries.len();
        self.entries.retain(|_, entry| !held(entry));
        if self.entries.len() < before {
            self.version += 1;
        }
        true
    }

    /// Lets leases lapse; returns whether any did.
    pub fn lapse(&mut self, now: Millis) -> bool {
        let lapsed: Vec<String> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &lapsed {
            self.revoke(name);
        }
        !lapsed.is_empty()
    }

    /// Returns the number of keys and their bytes, values as base64.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        let bytes = self
            .entries
            .iter()
            .map(|(key, entry)| key.len() + entry.value.len())
            .sum();
        (self.entries.len(), bytes)
    }
}
