//! Quarantine of requests that crash the backend servers that run them.
//!
//! A crash is recorded against the request, identified by a hash of its content,
//! and, if the server had hardly begun to answer, against each part that its
//! prompt shares with other requests. The part that caused it is not known. It
//! is found because each part that an answer went on with is sound, so that only
//! the crashes of the cause add up. Once enough crashes are recorded against a
//! request or a part, requests with it are refused for a while.
//!
//! Connections also break for other reasons. A server that answers a request
//! sent after its supposed crash did not crash, whenever and by whom the crash is
//! reported, and servers that end at the same moment were not crashed by a part of
//! a prompt. Instances send each other their records at once and repeat them, so
//! that an instance that has started or was cut off learns them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::gateway::instances::Crash;
use crate::gateway::instances::CrashRecord;
use crate::gateway::instances::CrashSuspect;

/// Crashes recorded against a request or a part before it is quarantined.
const CRASH_LIMIT: usize = 3;
/// Servers that end within this time of each other count as one crash of a part,
/// or of a request that was answered before: many callers may send it at once,
/// and a failure domain may end at once.
const SIMULTANEOUS_CRASHES: Millis = Millis(50);
/// Time after the last crash for which a quarantine holds.
const QUARANTINE_PERIOD: Millis = Millis(600_000);
/// Time for which crashes are remembered. After its quarantine, a request or
/// part is quarantined again at its first further crash.
const RECORD_LIFETIME: Millis = Millis(3_600_000);
/// Maximum number of records, those of answered requests included.
const MAX_RECORDS: usize = 4_096;
/// Records kept when that is exceeded. Those without crashes, and then those with
/// the oldest crashes, are evicted first.
const RECORDS_AFTER_EVICTION: usize = 3_072;
/// Maximum number of crashes kept for a request or part.
const MAX_CRASHES_PER_RECORD: usize = 8;

/// Crashes by the requests and prompt parts that may have caused them. Times are
/// kept with [`RECORD_LIFETIME`] added, so that crashes before the start of this
/// process can be told apart.
#[derive(Debug, Default)]
pub struct Crashes {
    records: BTreeMap<CrashSuspect, Record>,
    /// Servers against which crashes are or were recorded.
    servers: BTreeMap<u64, CrashedServer>,
}

#[derive(Debug, Clone, Copy, Default)]
struct CrashedServer {
    /// When the latest request that it answered was sent; earlier crashes are
    /// disproved.
    alive_at: Millis,
    /// Whether crashes of it may be recorded.
    has_crashes: bool,
}

#[derive(Debug, Clone, Default)]
struct Record {
    /// Servers that crashed, with the times of their crashes.
    servers: BTreeMap<u64, Millis>,
    last_crash: Millis,
    /// When an answer last showed that the request or part is sound.
    sound_at: Option<Millis>,
    /// Whether another instance still counts crashes that `sound_at` clears.
    is_contested: bool,
}

impl Crashes {
    /// Returns the number of requests and parts that are remembered.
    #[cfg(test)]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Records that a server crashed while it ran a request. Returns the number
    /// of crashes that count against the suspect.
    pub fn record(&mut self, now: Millis, suspect: CrashSuspect, server: u64) -> usize {
        let at = offset(now);
        let is_disproved = self.is_disproved(server, at);
        let record = self.records.entry(suspect).or_default();
        if !is_disproved && record.sound_at.is_none_or(|sound_at| at > sound_at) {
            record.add(server, at);
            self.servers.entry(server).or_default().has_crashes = true;
        }
        let count = record.count(suspect);
        self.evict();
        count
    }

    /// Returns whether a suspect would be quarantined if these crashes of servers
    /// were recorded as well.
    #[must_use]
    pub fn would_quarantine(&self, suspect: CrashSuspect, crashes: &[(u64, Millis)]) -> bool {
        let mut record = self.records.get(&suspect).cloned().unwrap_or_default();
        for &(server, at) in crashes {
            let at = offset(at);
            if record.sound_at.is_none_or(|sound_at| at > sound_at) {
                record.add(server, at);
            }
        }
        record.count(suspect) >= CRASH_LIMIT
    }

    /// Records that an answer showed a suspect to be sound. Returns whether this
    /// clears any crashes.
    pub fn record_sound(&mut self, now: Millis, suspect: CrashSuspect) -> bool {
        let record = self.records.entry(suspect).or_default();
        record.sound_at = Some(offset(now));
        let is_cleared = !std::mem::take(&mut record.servers).is_empty();
        self.evict();
        is_cleared
    }

    /// Records that a server answered a request sent at `sent_at`, which
    /// disproves earlier crashes.
    pub fn record_alive(&mut self, sent_at: Millis, server: u64) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let sent_at = offset(sent_at);
        state.alive_at = state.alive_at.max(sent_at);
        if !state.has_crashes {
            return;
        }
        state.has_crashes = false;
        for record in self.records.values_mut() {
            match record.servers.get(&server) {
                Some(&at) if at < sent_at => drop(record.servers.remove(&server)),
                Some(_) => state.has_crashes = true,
                None => {}
            }
        }
    }

    /// Returns whether a server has answered a request sent after this time.
    fn is_disproved(&self, server: u64, at: Millis) -> bool {
        let state = self.servers.get(&server);
        state.is_some_and(|state| at < state.alive_at)
    }

    /// Adds what another instance knows about a suspect. Returns whether it is
    /// quarantined here now, and was not before.
    pub fn merge(&mut self, now: Millis, received: &CrashRecord) -> bool {
        let suspect = received.suspect;
        let was_quarantined = self.quarantine_left(now, suspect).is_some();
        let time = |age_ms| offset(now) - Millis(age_ms);
        let crashes = received.crashes.iter();
        let crashes = crashes.map(|crash| (crash.server, time(crash.age_ms)));
        let crashes: Vec<_> = crashes
            .filter(|&(server, at)| !self.is_disproved(server, at))
            .collect();
        let record = self.records.entry(suspect).or_default();
        record.sound_at = record.sound_at.max(received.sound_age_ms.map(time));
        for (server, at) in crashes {
            self.servers.entry(server).or_default().has_crashes = true;
            record.add(server, at);
        }
        if let Some(sound_at) = record.sound_at {
            let crashes = record.servers.len();
            record.servers.retain(|_, &mut at| at > sound_at);
            let is_news = received.sound_age_ms.map(time) == Some(sound_at);
            record.is_contested |= !is_news && record.servers.len() < crashes;
        }
        self.evict();
        !was_quarantined && self.quarantine_left(now, suspect).is_some()
    }

    /// Returns what is known about a suspect, for the other instances.
    #[must_use]
    pub fn describe(&self, now: Millis, suspect: CrashSuspect) -> Option<CrashRecord> {
        let record = self.records.get(&suspect)?;
        let age_ms = |at: Millis| offset(now).since(at).0;
        let crash = |(&server, &at): (&u64, &Millis)| Crash {
            server,
            age_ms: age_ms(at),
        };
        Some(CrashRecord {
            suspect,
            crashes: record.servers.iter().map(crash).collect(),
            sound_age_ms: record.sound_at.map(age_ms),
        })
    }

    /// Returns the records to repeat to other instances, at most `limit`: those
    /// that another instance contests, then those with the most crashes.
    pub fn take_repeats(&mut self, now: Millis, limit: usize) -> Vec<CrashRecord> {
        let mut suspects = Vec::new();
        for (&suspect, record) in &mut self.records {
            let is_contested = std::mem::take(&mut record.is_contested);
            let count = record.count(suspect);
            if is_contested || count > 0 {
                suspects.push((is_contested, count, suspect));
            }
        }
        suspects.sort_unstable();
        let first = suspects.iter().rev().take(limit);
        first
            .filter_map(|&(.., suspect)| self.describe(now, suspect))
            .collect()
    }

    /// Returns which of a request's suspects is quarantined, and for how long
    /// still, or `None` if the request may be sent.
    ///
    /// A part whose crashes all have another quarantined part in common that this
    /// request does not contain is not the likelier cause; the request is sent
    /// and shows whether the part is sound.
    #[must_use]
    pub fn find_quarantined(
        &self,
        now: Millis,
        suspects: &[CrashSuspect],
    ) -> Option<(CrashSuspect, Millis)> {
        suspects
            .iter()
            .filter_map(|&suspect| Some((suspect, self.quarantine_left(now, suspect)?)))
            .find(|&(suspect, _)| !self.has_likelier_cause(now, suspect, suspects))
    }

    /// Returns the remaining quarantine of a suspect.
    fn quarantine_left(&self, now: Millis, suspect: CrashSuspect) -> Option<Millis> {
        let record = self.records.get(&suspect)?;
        let left = (record.last_crash + QUARANTINE_PERIOD).since(offset(now));
        (record.count(suspect) >= CRASH_LIMIT && left > Millis::ZERO).then_some(left)
    }

    fn has_likelier_cause(
        &self,
        now: Millis,
        suspect: CrashSuspect,
        suspects: &[CrashSuspect],
    ) -> bool {
        let (CrashSuspect::Part(_), Some(record)) = (suspect, self.records.get(&suspect)) else {
            return false;
        };
        self.records.iter().any(|(other, other_record)| {
            let mut servers = record.servers.keys();
            !suspects.contains(other)
                && servers.all(|server| other_record.servers.contains_key(server))
                && self.quarantine_left(now, *other).is_some()
        })
    }

    fn evict(&mut self) {
        if self.records.len() > MAX_RECORDS {
            let age = |record: &Record| (record.last_crash, record.sound_at);
            let mut ages: Vec<_> = self.records.values().map(age).collect();
            ages.sort_unstable();
            let oldest_kept = ages[ages.len() - RECORDS_AFTER_EVICTION];
            self.records.retain(|_, record| age(record) >= oldest_kept);
        }
        if self.servers.len() > MAX_RECORDS {
            let records = self.records.values();
            let crashed: BTreeSet<u64> = records
                .flat_map(|record| record.servers.keys().copied())
                .collect();
            self.servers.retain(|server, _| crashed.contains(server));
        }
    }
}

/// Returns a time of the core's clock as records keep it.
fn offset(at: Millis) -> Millis {
    at + RECORD_LIFETIME
}

impl Record {
    fn add(&mut self, server: u64, at: Millis) {
        if at.since(self.last_crash) >= RECORD_LIFETIME {
            self.servers.clear();
        }
        self.last_crash = self.last_crash.max(at);
        self.servers.entry(server).or_insert(at);
        while self.servers.len() > MAX_CRASHES_PER_RECORD {
            self.drop_oldest_crash();
        }
    }

    /// Drops the oldest crash that happened together with another one, or the
    /// oldest of all if none did.
    fn drop_oldest_crash(&mut self) {
        let mut crashes: Vec<(Millis, u64)> = self
            .servers
            .iter()
            .map(|(&server, &at)| (at, server))
            .collect();
        crashes.sort_unstable();
        let oldest = crashes
            .windows(2)
            .find(|pair| pair[1].0.since(pair[0].0) <= SIMULTANEOUS_CRASHES)
            .map_or_else(|| crashes.first(), |pair| pair.first());
        if let Some((_, server)) = oldest {
            self.servers.remove(server);
        }
    }

    /// Returns the number of crashes that count against the suspect.
    fn count(&self, suspect: CrashSuspect) -> usize {
        match (suspect, self.sound_at) {
            (CrashSuspect::Request(_), None) => self.servers.len(),
            (CrashSuspect::Request(_), Some(_)) | (CrashSuspect::Part(_), _) => {
                self.count_moments()
            }
        }
    }

    /// Returns the number of crashes, simultaneous ones counted once.
    fn count_moments(&self) -> usize {
        let mut times: Vec<Millis> = self.servers.values().copied().collect();
        times.sort_unstable();
        let mut count = 0;
        let mut last_counted = None;
        for at in times {
            if last_counted.is_none_or(|last| at.since(last) > SIMULTANEOUS_CRASHES) {
                last_counted = Some(at);
                count += 1;
            }
        }
        count
    }
}
