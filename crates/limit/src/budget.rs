//! Budgets of extra attempts per organisation and pool.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use crate::BudgetOptions;

/// Budget of retries; clones share their state.
///
/// Invariant: from the start of the budget, an organisation's attempts in a pool are at most 1.1
/// times its calls plus the reserve (with the default options); over any later period at most 1.1
/// times its calls plus the largest balance.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: BudgetOptions,
    balances: Rc<RefCell<HashMap<Key, f64>>>,
}

/// One attempt, less the rounding error of a sum of tenths.
const ONE_ATTEMPT: f64 = 1.0 - 1e-9;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    pool: String,
    organisation: String,
}

impl RetryBudget {
    /// Returns a budget in which each organisation and pool has its reserve.
    pub fn new(options: BudgetOptions) -> Self {
        Self { options, balances: Rc::default() }
    }

    /// Takes note of a call (not of its retries).
    pub fn record_call(&self, pool: &str, organisation: &str) {
        self.update(pool, organisation, |options, balance| {
            *balance = (*balance + options.ratio).min(options.max_balance_attempts);
        });
    }

    /// Takes one retry from the budget; `false` if there is none left.
    pub fn try_take_retry(&self, pool: &str, organisation: &str) -> bool {
        self.update(pool, organisation, |_, balance| {
            let enough = *balance >= ONE_ATTEMPT;
            if enough {
                *balance -= 1.0;
            }
            enough
        })
    }

    fn has_attempt(&self, pool: &str, organisation: &str) -> bool {
        self.update(pool, organisation, |_, balance| *balance >= ONE_ATTEMPT)
    }

    fn update<T>(
        &self,
        pool: &str,
        organisation: &str,
        change: impl FnOnce(&BudgetOptions, &mut f64) -> T,
    ) -> T {
        let key = Key { pool: pool.to_owned(), organisation: organisation.to_owned() };
        let mut balances = self.balances.borrow_mut();
        let balance = balances.entry(key).or_insert(self.options.reserve_attempts);
        change(&self.options, balance)
    }
}

/// Budget of duplicates that are sent before the first attempt has answered; clones share their
/// state.
///
/// A duplicate also takes one retry from the retry budget, so that retries and duplicates together
/// keep the bound of [`RetryBudget`].
#[derive(Debug, Clone)]
pub struct HedgeBudget {
    hedges: RetryBudget,
    retries: RetryBudget,
}

impl HedgeBudget {
    /// Returns a budget in which each organisation and pool has its reserve.
    pub fn new(options: BudgetOptions, retries: RetryBudget) -> Self {
        Self { hedges: RetryBudget::new(options), retries }
    }

    /// Takes note of a call (not of its duplicates). The retry budget is not told.
    pub fn record_call(&self, pool: &str, organisation: &str) {
        self.hedges.record_call(pool, organisation);
    }

    /// Takes one duplicate from both budgets; always `false` for a call that is not idempotent.
    pub fn try_take_hedge(&self, pool: &str, organisation: &str, idempotent: bool) -> bool {
        idempotent
            && self.hedges.has_attempt(pool, organisation)
            && self.retries.try_take_retry(pool, organisation)
            && self.hedges.try_take_retry(pool, organisation)
    }
}
