//! The budget of retries: without one, retries multiply the load of an overload.

use std::collections::BTreeMap;

use ids::{Permille, ServiceName};
use wire::frame::Refusal;

/// Cost of one retry; a success earns the preset's `retry_budget` in thousandths.
const RETRY_COST_MILLI: u64 = 1_000;

/// Retries that a service may save up; they also are what it starts with.
const MAX_SAVED_RETRIES: u64 = 10;

/// Retries that each service may still make.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    balances: BTreeMap<ServiceName, u64>,
}

impl RetryBudgets {
    /// Notes a request that was answered.
    pub fn record_success(&mut self, service: &ServiceName, budget: Permille) {
        let balance = self.balance_mut(service);
        *balance = (*balance + u64::from(budget.0)).min(MAX_SAVED_RETRIES * RETRY_COST_MILLI);
    }

    /// Tells whether the budget allows a retry now.
    pub fn allows(&self, service: &ServiceName, budget: Permille) -> bool {
        let covers_retry = |balance: &u64| *balance >= RETRY_COST_MILLI;
        budget.0 > 0 && self.balances.get(service).is_none_or(covers_retry)
    }

    /// Takes one retry from the budget.
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

/// Tells whether another target may do what one refused with this code.
pub(crate) fn is_retryable(code: Refusal) -> bool {
    matches!(
        code,
        Refusal::Overloaded | Refusal::Draining | Refusal::NotReady | Refusal::NoTarget
    )
}
