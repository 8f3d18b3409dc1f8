//! Admission: shares between organisations, deadline checks, retry and hedging budgets.
//!
//! All decisions take the time as an argument; only [`Admission::admit_wait`] waits.

mod admission;
mod budget;
mod options;

pub use admission::{Admission, AdmitRequest, NamedShare, Permit, PoolCapacity, Published};
pub use budget::{HedgeBudget, RetryBudget};
pub use options::{AdmissionOptions, BudgetOptions};
