//! The parts of `decknode`: requests of callers, leadership, membership, metrics and the life of the
//! process.

pub mod delay;
mod front;
mod lead;
pub mod metrics;
mod nodes;
pub mod process;
mod retire;
