//! Runner of scenarios: separate processes, planned faults and checks of the outcome.
//!
//! A scenario is a file of lines; [`command::Command`] lists what a line can say. The checks read
//! the records of the stand-ins only, never what the daemons say about themselves.

pub mod check;
pub mod command;
pub mod error;
pub mod parse;
pub mod records;
pub mod run;
pub mod value;
mod verify;
pub mod world;
