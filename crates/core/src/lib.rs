//! Types shared by all cowslipdeck crates: identifiers, error kinds, objects, timers and
//! cancellation.

pub mod boot_clock;
pub mod error;
pub mod hash;
pub mod id;
pub mod object;
pub mod priority;
pub mod timer;
pub mod wall_clock;

/// Token that cancels a task and all tasks that hold a clone or a child of the token.
pub use tokio_util::sync::CancellationToken;
