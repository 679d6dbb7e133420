//! Retry budget: how much load retries may add.
//!
//! Each first try earns a tenth of a retry, so that retries add at most
//! [`RETRY_SHARE`] to the calls sent, beyond a small reserve for quiet times.

use std::collections::HashMap;

/// Retries that one first try earns.
pub const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up, for each model or plain service.
pub const RETRY_RESERVE: f64 = 10.0;

/// Retry budgets by model or plain service.
#[derive(Debug)]
pub struct Budgets {
    share: f64,
    reserve: f64,
    left: HashMap<String, f64>,
}

impl Default for Budgets {
    fn default() -> Budgets {
        Budgets::new(RETRY_SHARE, RETRY_RESERVE)
    }
}

impl Budgets {
    /// Returns full budgets in which each first try earns `share` of a retry
    /// and `reserve` retries may be saved up.
    #[must_use]
    pub fn new(share: f64, reserve: f64) -> Budgets {
        Budgets {
            share,
            reserve,
            left: HashMap::new(),
        }
    }

    /// Changes how many retries may be saved up.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// Earns the share of one first try.
    pub fn earn(&mut self, group: &str) {
        let (share, reserve) = (self.share, self.reserve);
        let left = self.entry(group);
        *left = (*left + share).min(reserve);
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub fn spend(&mut self, group: &str) -> bool {
        let left = self.entry(group);
        if *left < 1.0 {
            return false;
        }
        *left -= 1.0;
        true
    }

    fn entry(&mut self, group: &str) -> &mut f64 {
        if !self.left.contains_key(group) {
            self.left.insert(group.to_owned(), self.reserve);
        }
        self.left.entry(group.to_owned()).or_insert(self.reserve)
    }
}
