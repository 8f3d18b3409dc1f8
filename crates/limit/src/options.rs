//! Options of admission control and of attempt budgets.

use std::time::Duration;

use deck_core::id::VmId;

/// Options of [`Admission`](crate::Admission).
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    /// VM on which this admission control runs.
    pub vm: VmId,
    /// Maximum time that a call waits in the queue.
    pub max_wait: Duration,
    /// Maximum number of queued calls of one organisation in one pool.
    pub max_queued_calls: usize,
    /// Maximum Retry-After value of a refusal.
    pub max_retry_after: Duration,
    /// Maximum age of the division of the VM's slots among organisations. A call that finds an older
    /// one divides the slots again.
    pub divide_interval: Duration,
    /// Age above which a demand report is ignored; its VM then counts as using the allocation of an
    /// equal division.
    pub report_max_age: Duration,
    /// Interval at which an unchanged demand report is published again.
    pub report_refresh_interval: Duration,
    /// Minimum interval between demand reports.
    pub report_min_interval: Duration,
    /// How long missing VMs keep their allocation if at most a quarter of the other VMs is missing: they
    /// have probably crashed.
    pub crashed_vm_retention: Duration,
    /// How long missing VMs keep their allocation if more than a quarter of the other VMs is missing:
    /// a network partition has probably separated them, and they may still run calls.
    pub partitioned_vm_retention: Duration,
    /// Minimum weight of an organisation in the division of slots, in percent; applies to those without
    /// a promised share.
    pub default_weight_percent: f64,
    /// Percentage of the VM's slots that rollout calls may borrow from other organisations' shares.
    /// Rollout calls hold borrowed slots for a long time. The owner of the share is admitted at once
    /// all the same, so the pool runs over its slots by at most this percentage until they are returned.
    pub max_rollout_loan_percent: u32,
    /// Fraction of the expected run time that must fit before the deadline. Below 1 because the expected
    /// length is an estimate and a wrong refusal costs more than a late response.
    pub required_run_fraction: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            vm: String::new(),
            max_wait: Duration::from_secs(2),
            max_queued_calls: 256,
            max_retry_after: Duration::from_secs(30),
            divide_interval: Duration::from_millis(100),
            report_max_age: Duration::from_secs(15),
            report_refresh_interval: Duration::from_secs(5),
            report_min_interval: Duration::from_millis(500),
            crashed_vm_retention: Duration::from_secs(30),
            partitioned_vm_retention: Duration::from_secs(3600),
            default_weight_percent: 0.5,
            max_rollout_loan_percent: 50,
            required_run_fraction: 0.6,
        }
    }
}

/// Options of [`RetryBudget`](crate::RetryBudget) and [`HedgeBudget`](crate::HedgeBudget).
#[derive(Debug, Clone, Copy)]
pub struct BudgetOptions {
    /// Extra attempts that each recorded call allows; 0.1 is one extra attempt per ten calls.
    pub extra_attempts_per_call: f64,
    /// Initial balance, in attempts: extra attempts that are allowed before any call is recorded.
    pub reserve_attempts: f64,
    /// Maximum balance, in attempts; bounds the burst of extra attempts after a time with few of them.
    pub max_balance_attempts: f64,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self { extra_attempts_per_call: 0.1, reserve_attempts: 3.0, max_balance_attempts: 100.0 }
    }
}

impl BudgetOptions {
    /// Returns the default options for hedging, which allow it for 2% of the calls.
    pub fn for_hedging() -> Self {
        Self { extra_attempts_per_call: 0.02, reserve_attempts: 1.0, max_balance_attempts: 20.0 }
    }
}
