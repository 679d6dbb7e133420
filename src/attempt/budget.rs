//! Retry budget: bounds the load that retries add.
//!
//! Each first try earns [`RETRIES_PER_FIRST_TRY`] retries. In the long run,
//! retries are at most this fraction of the first tries. Up to
//! [`MAX_SAVED_RETRIES`] unused ones are saved, so that retries are possible at
//! low load.

use std::collections::HashMap;

/// Retries earned by one first try.
pub const RETRIES_PER_FIRST_TRY: f64 = 0.1;
/// Maximum saved-up retries for each model or plain service.
pub const MAX_SAVED_RETRIES: f64 = 10.0;

/// Retry budgets by model or plain service.
#[derive(Debug)]
pub struct RetryBudgets {
    earned_per_try: f64,
    max_saved: f64,
    /// Retries left, by model or plain service.
    balances: HashMap<String, f64>,
}

impl Default for RetryBudgets {
    fn default() -> RetryBudgets {
        RetryBudgets::new(RETRIES_PER_FIRST_TRY, MAX_SAVED_RETRIES)
    }
}

impl RetryBudgets {
    /// Returns budgets, initially full, in which each first try earns
    /// `earned_per_try` retries and at most `max_saved` retries are saved up.
    #[must_use]
    pub fn new(earned_per_try: f64, max_saved: f64) -> RetryBudgets {
        RetryBudgets {
            earned_per_try,
            max_saved,
            balances: HashMap::new(),
        }
    }

    /// Changes the retries that each first try earns.
    pub fn set_earned_per_try(&mut self, earned_per_try: f64) {
        self.earned_per_try = earned_per_try;
    }

    /// Changes the maximum of saved-up retries.
    pub fn set_max_saved(&mut self, max_saved: f64) {
        self.max_saved = max_saved;
    }

    /// Credits a budget for one first try.
    pub fn deposit(&mut self, model: &str) {
        let (earned_per_try, max_saved) = (self.earned_per_try, self.max_saved);
        let balance = self.balance(model);
        *balance = (*balance + earned_per_try).min(max_saved);
    }

    /// Returns whether the budget allows one retry.
    #[must_use]
    pub fn can_withdraw(&mut self, model: &str) -> bool {
        *self.balance(model) >= 1.0
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub fn try_withdraw(&mut self, model: &str) -> bool {
        if !self.can_withdraw(model) {
            return false;
        }
        *self.balance(model) -= 1.0;
        true
    }

    /// Returns a spent retry that was not made.
    pub fn refund(&mut self, model: &str) {
        let max_saved = self.max_saved;
        let balance = self.balance(model);
        *balance = (*balance + 1.0).min(max_saved);
    }

    fn balance(&mut self, model: &str) -> &mut f64 {
        if !self.balances.contains_key(model) {
            self.balances.insert(model.to_owned(), self.max_saved);
        }
        self.balances
            .entry(model.to_owned())
            .or_insert(self.max_saved)
    }
}
