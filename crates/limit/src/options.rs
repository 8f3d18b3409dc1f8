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
    /// Largest number of waiting calls of one organisation in one pool.
    pub max_queue_calls: usize,
    /// Longest time that a refusal asks a caller to wait.
    pub max_retry_after: Duration,
    /// Time between two divisions of the VM's slots among organisations.
    pub divide_interval: Duration,
    /// Age from which a demand report no longer counts; its VM then keeps an equal part.
    pub report_max_age: Duration,
    /// Age at which an unchanged demand report is published again.
    pub report_refresh: Duration,
    /// Shortest time between two demand reports.
    pub report_min_interval: Duration,
    /// How long a few vanished VMs keep their part of the capacity.
    pub crash_memory: Duration,
    /// How long VMs keep their part of the capacity if a quarter of all vanished within this time,
    /// which is taken for a partition.
    pub partition_memory: Duration,
    /// Weight of an organisation without a promised share, in percent.
    pub unpromised_weight_percent: f64,
    /// Part of the VM's slots that rollout calls may borrow, in percent. Rollout calls hold borrowed
    /// slots for long; their owner is admitted all the same, so that while it reclaims its share the
    /// pool runs at most this much above its slots.
    pub long_loan_percent: u32,
    /// Part of the expected run time that must fit before the deadline. Below 1 because the
    /// expected length is an estimate and a wrong refusal costs more than a late response.
    pub deadline_run_factor: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            vm: String::new(),
            max_wait: Duration::from_secs(2),
            max_queue_calls: 256,
            max_retry_after: Duration::from_secs(30),
            divide_interval: Duration::from_millis(100),
            report_max_age: Duration::from_secs(15),
            report_refresh: Duration::from_secs(5),
            report_min_interval: Duration::from_millis(500),
            crash_memory: Duration::from_secs(30),
            partition_memory: Duration::from_secs(3600),
            unpromised_weight_percent: 0.5,
            long_loan_percent: 50,
            deadline_run_factor: 0.6,
        }
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

impl BudgetOptions {
    /// Returns the default options of hedging: 2% of the calls.
    pub fn hedge() -> Self {
        Self { ratio: 0.02, reserve_attempts: 1.0, max_balance_attempts: 20.0 }
    }
}
