//! Runner of scenarios: separate processes, planned faults and checks of the outcome.
//!
//! A scenario is a file of lines; [`command::Command`] lists what a line can say. The checks read
//! the records of the stand-ins only, never what the daemons say about themselves.

mod check_command;
pub mod command;
pub mod comparison;
pub mod environment;
pub mod error;
pub mod invariants;
pub mod records;
pub mod runner;
pub mod statement;
