//! Weight rollout: brings the newest weights of a model to all engines of a pool.
//!
//! The owner of a pool (by lease) reads what each target reports, decides with [`plan`] and sends
//! orders that carry the lease's fencing number. The state of a target is what it reports, not what
//! it was told.

pub mod engine;
pub mod metrics;
pub mod owner;
pub mod plan;
pub mod relay;
mod run;
pub mod source;
pub mod status;
pub use run::RunOptions;
