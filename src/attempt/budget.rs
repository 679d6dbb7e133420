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
#[derive(Debug, Default)]
pub struct Budgets {
    left: HashMap<String, f64>,
}

impl Budgets {
    /// Earns the share of one first try.
    pub fn earn(&mut self, group: &str) {
        let left = self.entry(group);
        *left = (*left + RETRY_SHARE).min(RETRY_RESERVE);
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
            self.left.insert(group.to_owned(), RETRY_RESERVE);
        }
        self.left.entry(group.to_owned()).or_insert(RETRY_RESERVE)
    }
}
