//! The key-value service, in memory: versions, leases, outages, lost answers.

use std::collections::BTreeMap;

use skylarkhook::clock::Millis;
use skylarkhook::store::KeyVersion;
use skylarkhook::store::LeaseId;
use skylarkhook::store::StoreAnswer;
use skylarkhook::store::StoreEntry;
use skylarkhook::store::StoreFailure;
use skylarkhook::store::StoreOp;
use skylarkhook::store::StoreResult;

#[derive(Debug, Clone, Default)]
struct Data {
    entries: BTreeMap<String, (StoreEntry, Option<LeaseId>)>,
    leases: BTreeMap<String, (Millis, Millis)>,
}

/// What a call comes to.
#[derive(Debug)]
pub enum Served {
    /// An answer, or none as it was lost.
    Now(StoreResult),
    /// A watch that waits.
    Later,
}

#[derive(Debug, Default)]
pub struct Store {
    data: Data,
    snapshot: Option<Data>,
    version: u64,
    next_lease: u64,
    pub down: bool,
    pub lose_answers: u32,
    pub calls: u64,
    pub writes: u64,
}

impl Store {
    pub fn serve(&mut self, now: Millis, op: &StoreOp) -> Served {
        self.calls += 1;
        if self.down {
            return Served::Now(Err(StoreFailure::NotRun { retry_after: None }));
        }
        self.lapse(now);
        let answer = match op {
            StoreOp::Get { key } => StoreAnswer::Entry(self.entry(key)),
            StoreOp::Watch { key, version, .. } => match self.watched(key, *version) {
                Some(answer) => answer,
                None => return Served::Later,
            },
            write => self.write(now, write),
        };
        let is_read = matches!(op, StoreOp::Get { .. } | StoreOp::Watch { .. });
        if !is_read && self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Served::Now(Err(StoreFailure::MayHaveRun));
        }
        Served::Now(Ok(answer))
    }

    /// Returns the answer to a watch whose key has changed.
    pub fn watched(&self, key: &str, version: KeyVersion) -> Option<StoreAnswer> {
        let entry = self.entry(key);
        let there = entry.as_ref().map_or(KeyVersion(0), |entry| entry.version);
        (there != version).then_some(StoreAnswer::Entry(entry))
    }

    pub fn take_snapshot(&mut self) {
        self.snapshot = Some(self.data.clone());
    }

    /// Goes back to the data of the snapshot; versions go on growing.
    pub fn restore(&mut self) {
        self.data = self.snapshot.clone().unwrap_or_default();
    }

    fn entry(&self, key: &str) -> Option<StoreEntry> {
        self.data.entries.get(key).map(|(entry, _)| entry.clone())
    }

    fn write(&mut self, now: Millis, op: &StoreOp) -> StoreAnswer {
        self.writes += 1;
        match op {
            StoreOp::Create { key, value, lease } => self.put(key, value, KeyVersion(0), lease),
            StoreOp::Swap {
                key,
                value,
                version,
                lease,
            } => self.put(key, value, *version, lease),
            StoreOp::Delete { key, version } => self.delete(key, *version),
            StoreOp::Grant { ttl } => self.grant(now, *ttl),
            StoreOp::Renew { lease } => self.renew(now, lease),
            StoreOp::Revoke { lease } => self.revoke(lease),
            StoreOp::Get { .. } | StoreOp::Watch { .. } => StoreAnswer::LeaseGone,
        }
    }

    fn put(
        &mut self,
        key: &str,
        value: &[u8],
        version: KeyVersion,
        lease: &Option<LeaseId>,
    ) -> StoreAnswer {
        if let Some(lease) = lease
            && !self.data.leases.contains_key(&lease.0)
        {
            return StoreAnswer::LeaseGone;
        }
        let there = self.entry(key);
        if there.as_ref().map_or(KeyVersion(0), |entry| entry.version) != version {
            return StoreAnswer::Conflict(there);
        }
        self.version += 1;
        let entry = StoreEntry {
            value: value.to_vec(),
            version: KeyVersion(self.version),
        };
        let version = entry.version;
        self.data
            .entries
            .insert(key.to_owned(), (entry, lease.clone()));
        StoreAnswer::Written(version)
    }

    fn delete(&mut self, key: &str, version: KeyVersion) -> StoreAnswer {
        let there = self.entry(key);
        if there.as_ref().map(|entry| entry.version) != Some(version) {
            return StoreAnswer::Conflict(there);
        }
        self.version += 1;
        self.data.entries.remove(key);
        StoreAnswer::Written(KeyVersion(self.version))
    }

    fn grant(&mut self, now: Millis, ttl: Millis) -> StoreAnswer {
        self.next_lease += 1;
        let lease = format!("lease-{}", self.next_lease);
        self.data.leases.insert(lease.clone(), (now + ttl, ttl));
        StoreAnswer::Lease(LeaseId(lease))
    }

    fn renew(&mut self, now: Millis, lease: &LeaseId) -> StoreAnswer {
        match self.data.leases.get_mut(&lease.0) {
            Some((until, ttl)) => {
                *until = now + *ttl;
                StoreAnswer::Lease(lease.clone())
            }
            None => StoreAnswer::LeaseGone,
        }
    }

    fn revoke(&mut self, lease: &LeaseId) -> StoreAnswer {
        if self.data.leases.remove(&lease.0).is_none() {
            return StoreAnswer::LeaseGone;
        }
        self.drop_keys_of(&lease.0);
        StoreAnswer::Lease(lease.clone())
    }

    fn lapse(&mut self, now: Millis) {
        let lapsed: Vec<String> = self
            .data
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| lease.clone())
            .collect();
        for lease in lapsed {
            self.data.leases.remove(&lease);
            self.drop_keys_of(&lease);
        }
    }

    fn drop_keys_of(&mut self, lease: &str) {
        self.data
            .entries
            .retain(|_, (_, held)| held.as_ref().is_none_or(|held| held.0 != lease));
    }
}
