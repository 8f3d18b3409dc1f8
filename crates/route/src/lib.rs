//! Target choice: subsets, in-flight accounting, target health and length prediction.
//!
//! All decisions take the time as an argument; the crate starts no task and reads no clock.

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

pub use error::PickError;
pub use guard::InFlightGuard;
pub use health::HealthState;
pub use options::{HealthOptions, RouterOptions};
pub use router::{LoadReport, Outcome, Pick, PickRequest, Router, TargetView};
pub use subset::RouteMember;
