//! Shared types of all cowslipdeck crates: ids, error kinds, objects, timers and cancellation.

pub mod error;
pub mod hash;
pub mod id;
pub mod object;
pub mod priority;
pub mod timer;

/// Token that tells a task and everything below it to stop.
pub use tokio_util::sync::CancellationToken;
