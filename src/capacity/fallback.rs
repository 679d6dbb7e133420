//! Static shares: the capacity that an instance may use of a backend server
//! while it has no contact with the server's coordinator.
//!
//! The share is the limit divided by the number of holders that the instance
//! knows of. The coordinator reserves it from the moment it loses contact with
//! the instance, and the instance waits [`FALLBACK_TIMEOUT`] after it last
//! heard from the coordinator. It then starts work only while a recent load
//! report shows no newer epoch, and uses at most the same fraction of the
//! capacity that the report shows as free.

use std::collections::BTreeMap;

use super::Amount;
use super::Leases;
use super::coordinator::REPORT_TTL;
use super::ledger::MAX_ADMISSION_DELAY;
use crate::backend::LoadReport;
use crate::clock::Millis;
use crate::fleet::BackendKey;

/// Time without contact to a coordinator after which static shares of its
/// backend servers are used.
pub const FALLBACK_TIMEOUT: Millis = Millis(9_000);

/// Running work according to the newest load report.
#[derive(Debug, Clone, Copy)]
struct RunningLoad {
    taken_at: Millis,
    running: Amount,
}

/// Backend servers on which this instance uses its static share.
#[derive(Debug, Default)]
pub struct Fallback {
    /// Backend servers whose static share may be used, with their newest load
    /// report; `None` until one arrives.
    shares: BTreeMap<BackendKey, Option<RunningLoad>>,
}

impl Fallback {
    /// Replaces the set of backend servers whose static shares may be used.
    pub fn set_backends(&mut self, keys: &[BackendKey]) {
        self.shares.retain(|key, _| keys.contains(key));
        for key in keys {
            self.shares.entry(*key).or_default();
        }
    }

    /// Returns the number of backend servers with a static share in use.
    #[must_use]
    pub fn count(&self) -> usize {
        self.shares.len()
    }

    /// Returns whether the static share of a backend server may be used.
    #[must_use]
    pub fn allows(&self, key: BackendKey) -> bool {
        self.shares.contains_key(&key)
    }

    /// Records a load report whose figures were taken at `taken_at`.
    pub fn on_report(&mut self, key: BackendKey, taken_at: Millis, report: &LoadReport) {
        let Some(load) = self.shares.get_mut(&key) else {
            return;
        };
        let streams = u64::try_from(report.streams.len()).unwrap_or(u64::MAX);
        *load = Some(RunningLoad {
            taken_at,
            running: Amount {
                streams,
                memory: report.memory_used,
                prefill: report.prefill_waiting,
            },
        });
    }

    /// Returns the capacity that new work may use on a backend server
    /// whose limit is divided by `share_divisor`.
    #[must_use]
    pub fn available(
        &self,
        now: Millis,
        key: BackendKey,
        limit: Amount,
        share_divisor: u64,
        leases: &Leases,
    ) -> Amount {
        let Some(Some(load)) = self.shares.get(&key) else {
            return Amount::ZERO;
        };
        if now.since(load.taken_at) >= REPORT_TTL {
            return Amount::ZERO;
        }
        let share = limit
            .fraction_floor(1, share_divisor)
            .minus(leases.used(key));
        let free = limit.minus(load.running).fraction_floor(1, share_divisor);
        // Work dispatched less than `MAX_ADMISSION_DELAY` before the report may
        // be missing from it.
        let not_in_report_since = Millis(load.taken_at.0.saturating_sub(MAX_ADMISSION_DELAY.0));
        let not_in_report = leases
            .state(key)
            .into_iter()
            .flat_map(|state| &state.recent_starts)
            .filter(|(at, _)| *at >= not_in_report_since)
            .fold(Amount::ZERO, |sum, (_, amount)| sum.plus(*amount));
        share.min(free.minus(not_in_report))
    }
}
