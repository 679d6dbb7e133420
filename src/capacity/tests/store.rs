//! In-memory key-value service with leases.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::store::KeyVersion;
use crate::store::LeaseId;
use crate::store::StoreAnswer;
use crate::store::StoreEntry;
use crate::store::StoreOp;

/// Stored keys and leases.
#[derive(Debug, Default)]
pub struct FakeStore {
    entries: BTreeMap<String, (StoreEntry, Option<LeaseId>)>,
    /// Leases by ID: expiry and lifetime.
    leases: BTreeMap<String, (Millis, Millis)>,
    version: u64,
    /// Number of calls handled.
    pub calls: u64,
    /// Number of successful creates, swaps and lease renewals.
    pub writes: u64,
}

impl FakeStore {
    /// Handles a call.
    pub fn call(&mut self, now: Millis, op: &StoreOp) -> StoreAnswer {
        self.calls += 1;
        self.expire(now);
        match op {
            StoreOp::Get { key } | StoreOp::Watch { key, .. } => StoreAnswer::Entry(self.get(key)),
            StoreOp::Create { key, value, lease } => self.write(key, value, KeyVersion(0), lease),
            StoreOp::Swap {
                key,
                value,
                version,
                lease,
            } => self.write(key, value, *version, lease),
            StoreOp::Delete { key, .. } => {
                self.entries.remove(key);
                StoreAnswer::Written(self.next_version())
            }
            StoreOp::Grant { ttl } => {
                let id = self.next_version().0.to_string();
                self.leases.insert(id.clone(), (now + *ttl, *ttl));
                StoreAnswer::Lease(LeaseId(id))
            }
            StoreOp::Renew { lease } => match self.leases.get_mut(&lease.0) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    self.writes += 1;
                    StoreAnswer::Lease(lease.clone())
                }
                None => StoreAnswer::LeaseGone,
            },
            StoreOp::Revoke { lease } => {
                self.leases.remove(&lease.0);
                self.expire(now);
                StoreAnswer::Lease(lease.clone())
            }
        }
    }

    /// Returns a key's value as text.
    pub fn text(&self, key: &str) -> Option<String> {
        let entry = self.get(key)?;
        String::from_utf8(entry.value).ok()
    }

    /// Returns a copy of all keys, as an operator's backup.
    pub fn backup(&self) -> BTreeMap<String, (StoreEntry, Option<LeaseId>)> {
        self.entries.clone()
    }

    /// Replaces all keys by a backup.
    pub fn restore(&mut self, entries: BTreeMap<String, (StoreEntry, Option<LeaseId>)>) {
        self.entries = entries;
    }

    fn get(&self, key: &str) -> Option<StoreEntry> {
        self.entries.get(key).map(|(entry, _)| entry.clone())
    }

    fn write(
        &mut self,
        key: &str,
        value: &[u8],
        version: KeyVersion,
        lease: &Option<LeaseId>,
    ) -> StoreAnswer {
        let known = self.get(key);
        let current = known.as_ref().map_or(KeyVersion(0), |entry| entry.version);
        if current != version {
            return StoreAnswer::Conflict(known);
        }
        if lease
            .as_ref()
            .is_some_and(|lease| !self.leases.contains_key(&lease.0))
        {
            return StoreAnswer::LeaseGone;
        }
        let version = self.next_version();
        let entry = StoreEntry {
            value: value.to_vec(),
            version,
        };
        self.entries.insert(key.to_owned(), (entry, lease.clone()));
        self.writes += 1;
        StoreAnswer::Written(version)
    }

    fn expire(&mut self, now: Millis) {
        self.leases.retain(|_, (until, _)| *until > now);
        let leases = &self.leases;
        self.entries.retain(|_, (_, lease)| {
            lease
                .as_ref()
                .is_none_or(|lease| leases.contains_key(&lease.0))
        });
    }

    fn next_version(&mut self) -> KeyVersion {
        self.version += 1;
        KeyVersion(self.version)
    }
}
