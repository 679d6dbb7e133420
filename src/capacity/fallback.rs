//! Static shares: what an instance may use of a backend server whose home it
//! can't hear.
//!
//! The share is the limit divided by the number of holders that the instance
//! knows of. The home keeps it free from the time it has no contact with the
//! instance, and the instance waits [`FALLBACK_AFTER`] after it last heard the
//! home. It then starts work only on the evidence of a fresh load report that
//! shows no newer epoch, and takes only its part of what the report shows to be
//! free.

use std::collections::BTreeMap;

use super::Amount;
use super::Credits;
use super::home::REPORT_LIFE;
use super::ledger::FLIGHT_BOUND;
use crate::backend::LoadReport;
use crate::clock::Millis;
use crate::fleet::BackendKey;

/// Silence of a home after which static shares of its backend servers are used.
pub const FALLBACK_AFTER: Millis = Millis(9_000);

/// What the newest load report shows.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    data: Millis,
    running: Amount,
}

/// Backend servers of which this instance uses its static share.
#[derive(Debug, Default)]
pub struct Fallback {
    shares: BTreeMap<BackendKey, Option<Evidence>>,
}

impl Fallback {
    /// Sets the backend servers whose static shares may be used.
    pub fn set(&mut self, keys: &[BackendKey]) {
        self.shares.retain(|key, _| keys.contains(key));
        for key in keys {
            self.shares.entry(*key).or_default();
        }
    }

    /// Returns how many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.shares.len()
    }

    /// Returns whether the static share of a backend server may be used.
    #[must_use]
    pub fn allows(&self, key: BackendKey) -> bool {
        self.shares.contains_key(&key)
    }

    /// Takes over a load report whose figures are from `data`.
    pub fn on_report(&mut self, key: BackendKey, data: Millis, report: &LoadReport) {
        let Some(evidence) = self.shares.get_mut(&key) else {
            return;
        };
        let streams = u64::try_from(report.streams.len()).unwrap_or(u64::MAX);
        *evidence = Some(Evidence {
            data,
            running: Amount {
                streams,
                memory: report.memory_used,
                prefill: report.prefill_waiting,
            },
        });
    }

    /// Returns what may be started now on a backend server with this limit, of
    /// which each of `parts` holders has a share.
    #[must_use]
    pub fn available(
        &self,
        now: Millis,
        key: BackendKey,
        limit: Amount,
        parts: u64,
        credits: &Credits,
    ) -> Amount {
        let Some(Some(evidence)) = self.shares.get(&key) else {
            return Amount::ZERO;
        };
        if now.since(evidence.data) >= REPORT_LIFE {
            return Amount::ZERO;
        }
        let share = limit.part(1, parts).minus(credits.used(key));
        let free = limit.minus(evidence.running).part(1, parts);
        let since = Millis(evidence.data.0.saturating_sub(FLIGHT_BOUND.0));
        let started = credits
            .book(key)
            .into_iter()
            .flat_map(|book| &book.starts)
            .filter(|(at, _)| *at >= since)
            .fold(Amount::ZERO, |sum, (_, amount)| sum.plus(*amount));
        share.min(free.minus(started))
    }
}
