//! Logs and metrics of the daemons.

pub mod logs;
pub mod metrics;
