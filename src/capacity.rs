//! Limits of backend servers that hold over all instances: homes and credits.
//!
//! Each backend server has a home instance in its failure domain. The home
//! gives out credits; an instance uses a credit again after each request.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::condition::Conditions;
use crate::declaration::Limits;
use crate::fleet::BackendKey;
use crate::fleet::Fleet;
use crate::id::Epoch;
use crate::job::Cost;

/// Part of a credit that one attempt holds.
#[derive(Debug, PartialEq, Eq)]
pub struct CreditUse {
    /// The backend server.
    pub backend: BackendKey,
    /// What it takes besides one stream.
    pub cost: Cost,
    /// The epoch under which the credit was granted.
    pub epoch: Epoch,
}

/// Credits of this instance.
#[derive(Debug, Default)]
pub struct Capacity {
    used: HashMap<BackendKey, Limits>,
}

impl Capacity {
    /// Returns what is free under the credits this instance holds; a field
    /// whose limit is 0 in the declarations is `u64::MAX`.
    #[must_use]
    pub fn available(
        &self,
        now: Millis,
        fleet: &Fleet,
        conditions: &Conditions,
        backend: BackendKey,
    ) -> Limits {
        let _ = now;
        let limits = conditions.limits(fleet, backend);
        let used = self.used.get(&backend).copied().unwrap_or_default();
        Limits {
            streams: limits.streams.saturating_sub(used.streams),
            memory_tokens: free(limits.memory_tokens, used.memory_tokens),
            prefill_tokens: free(limits.prefill_tokens, used.prefill_tokens),
        }
    }

    /// Takes a stream and its tokens, if the credits allow it.
    pub fn take(
        &mut self,
        now: Millis,
        fleet: &Fleet,
        conditions: &Conditions,
        backend: BackendKey,
        cost: Cost,
    ) -> Option<CreditUse> {
        let available = self.available(now, fleet, conditions, backend);
        let fits = available.streams > 0
            && available.memory_tokens >= cost.memory_tokens
            && available.prefill_tokens >= cost.prefill_tokens;
        if !fits {
            return None;
        }
        let used = self.used.entry(backend).or_default();
        used.streams += 1;
        used.memory_tokens += cost.memory_tokens;
        used.prefill_tokens += cost.prefill_tokens;
        Some(CreditUse {
            backend,
            cost,
            epoch: Epoch::default(),
        })
    }

    /// Gives the prompt tokens back once the prompt is processed.
    pub fn prefill_done(&mut self, held: &mut CreditUse) {
        let tokens = std::mem::take(&mut held.cost.prefill_tokens);
        if let Some(used) = self.used.get_mut(&held.backend) {
            used.prefill_tokens = used.prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Gives everything back once nothing of the attempt can still run.
    pub fn release(&mut self, held: CreditUse) {
        if let Some(used) = self.used.get_mut(&held.backend) {
            used.streams = used.streams.saturating_sub(1);
            used.memory_tokens = used.memory_tokens.saturating_sub(held.cost.memory_tokens);
            used.prefill_tokens = used.prefill_tokens.saturating_sub(held.cost.prefill_tokens);
        }
    }
}

/// Returns what is left of a limit; 0 stands for no limit.
fn free(limit: u64, used: u64) -> u64 {
    match limit {
        0 => u64::MAX,
        limit => limit.saturating_sub(used),
    }
}
