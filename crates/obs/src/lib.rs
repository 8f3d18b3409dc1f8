//! Logs and metrics of the daemons.

pub mod bounded;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod reference;
