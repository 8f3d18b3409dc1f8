//! Budgets of retries and hedged attempts per organisation and pool.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use crate::BudgetOptions;

/// Budget of retries per organisation and pool. Clones share their state.
///
/// Invariant, with the default options: since the budget was created, an organisation's attempts in a
/// pool are at most 1.1 times its calls plus the reserve. Over any later period they are at most 1.1
/// times its calls plus the maximum balance.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: BudgetOptions,
    /// Extra attempts that each organisation may make now in each pool.
    balances: Rc<RefCell<HashMap<BudgetKey, f64>>>,
}

/// Balance needed for one attempt; slightly below 1 to tolerate the rounding error of summed tenths.
const MIN_BALANCE_ATTEMPTS: f64 = 1.0 - 1e-9;

/// Identifies the balance of an organisation in a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct BudgetKey {
    pool: String,
    organisation: String,
}

impl RetryBudget {
    /// Returns a budget in which each organisation starts with the reserve in each pool.
    pub fn new(options: BudgetOptions) -> Self {
        Self { options, balances: Rc::default() }
    }

    /// Records a call, which adds to the balance. Not to be called for retries.
    pub fn record_call(&self, pool: &str, organisation: &str) {
        self.with_balance(pool, organisation, |options, balance| {
            *balance =
                (*balance + options.extra_attempts_per_call).min(options.max_balance_attempts);
        });
    }

    /// Takes one retry from the balance; returns `false` if the balance is too low.
    pub fn try_take_retry(&self, pool: &str, organisation: &str) -> bool {
        self.with_balance(pool, organisation, |_, balance| {
            let is_taken = *balance >= MIN_BALANCE_ATTEMPTS;
            if is_taken {
                *balance -= 1.0;
            }
            is_taken
        })
    }

    /// Returns whether the balance suffices for one retry, without taking it.
    fn can_take_retry(&self, pool: &str, organisation: &str) -> bool {
        self.with_balance(pool, organisation, |_, balance| *balance >= MIN_BALANCE_ATTEMPTS)
    }

    /// Calls `change` with the balance of an organisation in a pool and returns its result. The
    /// balance starts at the reserve.
    fn with_balance<T>(
        &self,
        pool: &str,
        organisation: &str,
        change: impl FnOnce(&BudgetOptions, &mut f64) -> T,
    ) -> T {
        let key = BudgetKey { pool: pool.to_owned(), organisation: organisation.to_owned() };
        let mut balances = self.balances.borrow_mut();
        let balance = balances.entry(key).or_insert(self.options.reserve_attempts);
        change(&self.options, balance)
    }
}

/// Budget of hedged attempts, which are sent while the first attempt still runs. Clones share their
/// state.
///
/// A hedged attempt also takes one retry from the retry budget, so that retries and hedged attempts
/// together stay within the bound of [`RetryBudget`].
#[derive(Debug, Clone)]
pub struct HedgeBudget {
    /// Limits the hedged attempts alone.
    hedges: RetryBudget,
    /// Limits retries and hedged attempts together.
    retries: RetryBudget,
}

impl HedgeBudget {
    /// Returns a budget in which each organisation starts with the reserve in each pool.
    pub fn new(options: BudgetOptions, retries: RetryBudget) -> Self {
        Self { hedges: RetryBudget::new(options), retries }
    }

    /// Records a call, which adds to the balance. Not to be called for hedged attempts. The caller must
    /// record the call in the retry budget itself.
    pub fn record_call(&self, pool: &str, organisation: &str) {
        self.hedges.record_call(pool, organisation);
    }

    /// Takes one hedged attempt from both budgets. Always returns `false` for a call that is not
    /// idempotent.
    pub fn try_take_hedge(&self, pool: &str, organisation: &str, idempotent: bool) -> bool {
        idempotent
            && self.hedges.can_take_retry(pool, organisation)
            && self.retries.try_take_retry(pool, organisation)
            && self.hedges.try_take_retry(pool, organisation)
    }
}
