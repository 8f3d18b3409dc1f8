//! Budgets of extra attempts per organisation and pool.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use crate::BudgetOptions;

/// Budget of retries; clones share their state.
///
/// Invariant: over the life of the budget an organisation's attempts in a pool are at most 1.1
/// times its calls plus the reserve (with the default options).
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: BudgetOptions,
    balances: Rc<RefCell<HashMap<Key, f64>>>,
}

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
            // A sum of tenths may be short of a whole number by a rounding error.
            let enough = *balance >= 1.0 - 1e-9;
            if enough {
                *balance -= 1.0;
            }
            enough
        })
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
#[derive(Debug, Clone)]
pub struct HedgeBudget {
    budget: RetryBudget,
}

impl HedgeBudget {
    /// Returns a budget in which each organisation and pool has its reserve.
    pub fn new(options: BudgetOptions) -> Self {
        Self { budget: RetryBudget::new(options) }
    }

    /// Takes note of a call (not of its duplicates).
    pub fn record_call(&self, pool: &str, organisation: &str) {
        self.budget.record_call(pool, organisation);
    }

    /// Takes one duplicate from the budget; always `false` for a call that is not idempotent.
    pub fn try_take_hedge(&self, pool: &str, organisation: &str, idempotent: bool) -> bool {
        idempotent && self.budget.try_take_retry(pool, organisation)
    }
}
