//! Loading of new weight versions on engines, coordinated by the holder of the leader lease.
//!
//! An event is one element of the stream in which an engine sends a generated text; it holds one
//! token or a fixed small number of them (`tokens_per_event`). Speeds and text lengths are measured
//! in events.

pub mod plan;
pub mod runners;
pub mod weight_updater;

pub use plan::{EngineHealth, EngineSnapshot, ModelSnapshot, PlanOptions, PlannedLoad, plan_loads};
pub use runners::{RunnerManager, RunnerManagerDependencies};
pub use weight_updater::{WeightUpdater, WeightUpdaterOptions};
