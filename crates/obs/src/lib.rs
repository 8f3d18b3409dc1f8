//! Logs and metrics of the daemons.

pub mod bounded;
pub mod logs;
pub mod metrics;
pub mod reference;
