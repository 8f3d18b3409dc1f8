//! Runs scenarios: starts separate processes, injects faults and checks invariants.
//!
//! A scenario is a text file with one command per line; [`command::Command`] lists the commands.
//! Invariants are checked on the journals and records of the stand-ins (`deckstandin`) and on the
//! reports of the load generator (`deckload`). The output of the daemons under test is not used.

mod check_command;
pub mod command;
pub mod comparison;
pub mod environment;
pub mod error;
pub mod invariants;
pub mod records;
pub mod runner;
pub mod statement;
