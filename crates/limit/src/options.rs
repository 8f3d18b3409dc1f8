//! Options of admission and budgets.

use std::time::Duration;

use deck_core::id::VmId;

/// Options of [`Admission`](crate::Admission).
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    /// The VM on which this admission runs.
    pub vm: VmId,
    /// Longest wait of a call in the queue.
    pub max_wait: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self { vm: String::new(), max_wait: Duration::from_secs(2) }
    }
}

/// Options of [`RetryBudget`](crate::RetryBudget) and [`HedgeBudget`](crate::HedgeBudget).
#[derive(Debug, Clone, Copy)]
pub struct BudgetOptions {
    /// Extra attempts per call, as a part of 1.
    pub ratio: f64,
    /// Extra attempts that are allowed before any call was recorded.
    pub reserve_attempts: f64,
    /// Largest balance, in attempts; bounds the burst of extra attempts after a quiet time.
    pub max_balance_attempts: f64,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self { ratio: 0.1, reserve_attempts: 3.0, max_balance_attempts: 100.0 }
    }
}
