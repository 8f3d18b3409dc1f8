//! Requests to targets over this node's own links or, while these are cut, through other nodes.
//!
//! A node may lose its links to some or all targets while callers, the object API and the other nodes
//! still reach it. [`TargetPaths`] learns from connection attempts which targets are out of reach, and
//! [`TargetClient`] then asks another node to send its requests. A relaying node sends a request on its
//! own links only, so that requests do not travel in circles.

mod client;
mod paths;
mod relay;
mod relay_nodes;

pub use client::{RelayDependencies, TargetAddress, TargetClient};
pub use paths::{TargetPath, TargetPaths};
pub use relay::{CHECK_PATH, RELAY_PREFIX, RelayService};
pub use relay_nodes::RelayNodes;
