//! Target choice: subsets, in-flight accounting, target health and length prediction.
//!
//! All decisions take the time as an argument; the crate starts no task and reads no clock.

mod error;
mod options;
pub mod predict;
mod router;

pub use error::PickError;
pub use options::RouterOptions;
pub use router::{InFlightGuard, LoadReport, Outcome, Pick, PickRequest, Router};
