//! Loading of new weight versions on engines, coordinated by the holder of the leader lease.

pub mod plan;
pub mod runners;
pub mod weight_updater;

pub use plan::{EngineSnapshot, ModelSnapshot, PlanOptions, PlannedLoad, plan_loads};
pub use runners::{Runners, RunnersParts};
pub use weight_updater::{Giver, SwapOptions};
