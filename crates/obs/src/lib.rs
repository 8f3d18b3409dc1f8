//! Logging and metrics of the daemons.

pub mod logs;
pub mod metrics;
pub mod process;
pub mod rate_limited;
pub mod reference;
