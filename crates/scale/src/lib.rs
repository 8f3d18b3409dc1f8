//! Decides how many targets of a service are ordered in each data centre. The code needs no network;
//! the time is an argument.
//!
//! A regular target stays until fewer are ordered. A spot target is cheaper and may be reclaimed
//! together with all others of its data centre.

pub mod ledger;
pub mod need;
pub mod planner;

pub use ledger::{Ledger, Outcome, ServiceRecord, SpotKind, Subject};
pub use need::{ServiceSnapshot, TargetSnapshot};
pub use planner::{PlannedOrder, Planner, PlannerOptions, Reason};
