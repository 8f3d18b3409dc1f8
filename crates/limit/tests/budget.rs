//! Budgets of extra attempts.

use deck_limit::{BudgetOptions, HedgeBudget, RetryBudget};

/// Guards against retries multiplying the load of a pool that fails every call.
#[test]
fn failing_pool_sees_at_most_a_tenth_more() {
    let budget = RetryBudget::new(BudgetOptions::default());
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.record_call("p", "a");
        attempts += 1;
        // A caller that would retry for ever.
        while budget.try_take_retry("p", "a") {
            attempts += 1;
        }
    }
    assert!((10_990..=11_003).contains(&attempts), "{attempts}");
}

/// Guards against a long quiet time filling the budget for a burst of retries without bound.
#[test]
fn quiet_time_saves_a_bounded_burst() {
    let budget = RetryBudget::new(BudgetOptions::default());
    for _ in 0..100_000 {
        budget.record_call("p", "a");
    }
    let burst = std::iter::repeat_with(|| budget.try_take_retry("p", "a")).take_while(|ok| *ok);
    assert_eq!(burst.count(), 100);
}

/// Guards against one organisation using up the retries of another.
#[test]
fn budgets_are_separate() {
    let budget = RetryBudget::new(BudgetOptions::default());
    while budget.try_take_retry("p", "a") {}
    assert!(budget.try_take_retry("p", "b"));
    assert!(budget.try_take_retry("q", "a"));
}

/// Guards against a booking being sent twice by hedging.
#[test]
fn non_idempotent_calls_are_never_hedged() {
    let hedges =
        HedgeBudget::new(BudgetOptions::hedge(), RetryBudget::new(BudgetOptions::default()));
    assert!(!hedges.try_take_hedge("p", "a", false));
    assert!(hedges.try_take_hedge("p", "a", true));
}

/// Guards against hedges and retries adding up to more than the bound of retries alone.
#[test]
fn hedges_count_as_retries() {
    let retries = RetryBudget::new(BudgetOptions::default());
    let hedges = HedgeBudget::new(BudgetOptions::hedge(), retries.clone());
    let mut extra = 0;
    for _ in 0..10_000 {
        retries.record_call("p", "a");
        hedges.record_call("p", "a");
        extra += usize::from(hedges.try_take_hedge("p", "a", true));
        extra += usize::from(retries.try_take_retry("p", "a"));
    }
    assert!((990..=1_003).contains(&extra), "{extra}");
}
