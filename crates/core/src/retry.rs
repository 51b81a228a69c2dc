//! Retry budgets, which keep retries from amplifying an overload.

use std::collections::BTreeMap;

use ids::{Permille, ServiceName};
use wire::frame::Refusal;

/// Cost of a retry in thousandths; each success earns the `retry_budget` of the preset.
const RETRY_COST_MILLI: u64 = 1_000;

/// Maximum number of retries that a service can save up, and its initial balance.
const MAX_SAVED_RETRIES: u64 = 10;

/// Retry budget of each service.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    /// Available retries in thousandths; a service without an entry has the initial balance.
    balances: BTreeMap<ServiceName, u64>,
}

impl RetryBudgets {
    /// Credits the budget for an answered request.
    pub fn record_success(&mut self, service: &ServiceName, budget: Permille) {
        let balance = self.balance_mut(service);
        *balance = (*balance + u64::from(budget.0)).min(MAX_SAVED_RETRIES * RETRY_COST_MILLI);
    }

    /// Returns whether the budget covers a retry.
    pub fn allows(&self, service: &ServiceName, budget: Permille) -> bool {
        let covers_retry = |balance: &u64| *balance >= RETRY_COST_MILLI;
        budget.0 > 0 && self.balances.get(service).is_none_or(covers_retry)
    }

    /// Deducts a retry from the budget.
    pub fn withdraw(&mut self, service: &ServiceName) {
        let balance = self.balance_mut(service);
        *balance = balance.saturating_sub(RETRY_COST_MILLI);
    }

    fn balance_mut(&mut self, service: &ServiceName) -> &mut u64 {
        if !self.balances.contains_key(service) {
            let initial = MAX_SAVED_RETRIES * RETRY_COST_MILLI;
            self.balances.insert(service.clone(), initial);
        }
        self.balances.entry(service.clone()).or_default()
    }
}

/// Returns whether another target may accept a request that one refused with this code.
pub(crate) fn is_retryable(code: Refusal) -> bool {
    matches!(
        code,
        Refusal::Overloaded | Refusal::Draining | Refusal::NotReady | Refusal::NoTarget
    )
}
