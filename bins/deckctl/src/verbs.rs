//! Implementations of the commands, one module each.

pub mod apply;
pub mod check;
pub mod check_configuration;
pub mod delete;
pub mod describe;
pub mod diff;
pub mod explain;
pub mod get;
pub mod report;
pub mod watch;
