//! Distribution of model weights: updates all engines of a pool to the newest weights of its model.
//!
//! The VM that holds a pool's lease polls the state of each target, decides with [`planner`] which
//! orders to send, and sends them with the lease's fencing number. Decisions are based on the state
//! that a target reports, not on the orders sent to it.

pub mod engine;
pub mod metrics;
pub mod owner;
pub mod planner;
mod pool_updater;
pub mod relay;
pub mod status;
pub mod weight_store;
pub use pool_updater::PoolUpdateOptions;
