//! Admission control: shares of organisations, deadline checks, retry and hedging budgets, and
//! detection of requests that crash targets.
//!
//! All decisions take the current time as an argument; only [`Admission::admit_or_wait`] waits.

mod admission;
mod budget;
pub mod crash;
mod demand;
mod estimate;
pub mod fair_division;
mod options;
mod pool;
pub mod queue;
pub mod shares;
mod token_bucket;

pub use admission::{
    Admission, AdmissionOutcome, AdmitRequest, Permit, PoolCapacity, QueuedCall, ShareAssignment,
};
pub use budget::{HedgeBudget, RetryBudget};
pub use crash::CrashOptions;
pub use demand::DemandReport;
pub use options::{AdmissionOptions, BudgetOptions};
pub use shares::{ShareExceeded, ShareOptions, Shares};
pub use token_bucket::TokenBucket;
