//! Routing of calls to targets: subsetting, load accounting, outlier ejection, learned capacity of
//! targets and prediction of generation lengths.
//!
//! Callers pass the current time to every decision; the crate reads no clock and spawns no task.

pub mod capacity;
mod choose;
mod error;
mod guard;
mod health;
mod load;
mod options;
mod pool;
pub mod predict;
mod router;
pub mod subset;
mod target;

pub use capacity::{CapacityEstimator, Slowdown};
pub use error::PickError;
pub use guard::InFlightGuard;
pub use health::HealthState;
pub use options::{HealthOptions, RouterOptions};
pub use router::{LoadReport, Outcome, Pick, PickRequest, Router, TargetStatus};
pub use subset::RoutingVm;
