//! Admission: shares between organisations, deadline checks, retry and hedging budgets.
//!
//! All decisions take the time as an argument; only [`Admission::admit_wait`] waits.

mod admission;
mod budget;
pub mod crash;
mod demand;
mod estimate;
mod options;
mod pool;
pub mod queue;
mod rate;
pub mod share;

pub use admission::{Admission, AdmitRequest, Admitted, NamedShare, Permit, PoolCapacity, Waiting};
pub use budget::{HedgeBudget, RetryBudget};
pub use crash::CrashOptions;
pub use demand::Published;
pub use options::{AdmissionOptions, BudgetOptions};
pub use rate::TokenBucket;
