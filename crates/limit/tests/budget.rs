//! Budgets of retries and hedged attempts.

use deck_limit::{BudgetOptions, HedgeBudget, RetryBudget};

/// Guards against retries that multiply the load of a pool in which every call fails.
#[test]
fn retries_add_at_most_a_tenth_to_the_load() {
    let budget = RetryBudget::new(BudgetOptions::default());
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.record_call("p", "a");
        attempts += 1;
        // The caller retries for as long as the budget allows.
        while budget.try_take_retry("p", "a") {
            attempts += 1;
        }
    }
    assert!((10_990..=11_003).contains(&attempts), "{attempts}");
}

/// Guards against an unbounded burst of retries after a long time without any.
#[test]
fn burst_after_unused_retries_is_bounded() {
    let budget = RetryBudget::new(BudgetOptions::default());
    for _ in 0..100_000 {
        budget.record_call("p", "a");
    }
    let burst = std::iter::repeat_with(|| budget.try_take_retry("p", "a")).take_while(|ok| *ok);
    assert_eq!(burst.count(), 100);
}

/// Guards against one organisation using up the retries of another organisation or pool.
#[test]
fn budgets_are_separate() {
    let budget = RetryBudget::new(BudgetOptions::default());
    while budget.try_take_retry("p", "a") {}
    assert!(budget.try_take_retry("p", "b"));
    assert!(budget.try_take_retry("q", "a"));
}

/// Guards against hedging a call that must not run twice, such as a booking.
#[test]
fn non_idempotent_calls_are_never_hedged() {
    let hedges =
        HedgeBudget::new(BudgetOptions::hedge(), RetryBudget::new(BudgetOptions::default()));
    assert!(!hedges.try_take_hedge("p", "a", false));
    assert!(hedges.try_take_hedge("p", "a", true));
}

/// Guards against hedged attempts and retries that together exceed the bound of the retry budget.
#[test]
fn hedges_count_as_retries() {
    let retries = RetryBudget::new(BudgetOptions::default());
    let hedges = HedgeBudget::new(BudgetOptions::hedge(), retries.clone());
    let mut extra_attempts = 0;
    for _ in 0..10_000 {
        retries.record_call("p", "a");
        hedges.record_call("p", "a");
        extra_attempts += usize::from(hedges.try_take_hedge("p", "a", true));
        extra_attempts += usize::from(retries.try_take_retry("p", "a"));
    }
    assert!((990..=1_003).contains(&extra_attempts), "{extra_attempts}");
}
