//! Modules of the `decknode` binary: caller requests, leadership, the node registry, metrics and
//! the process lifecycle.

pub mod authentication;
mod client_limits;
mod frontend;
mod leadership;
pub mod loop_delay;
pub mod metrics;
mod node_registry;
pub mod process;
pub mod scaling;
mod stream_origins;
mod vm_retirement;
