//! Loading of new weight versions on engines, coordinated by the holder of the leader lease.

pub mod giver;
pub mod plan;
pub mod runners;

pub use giver::{Giver, SwapOptions};
pub use plan::{EngineSnapshot, ModelSnapshot, PlanOptions, PlannedLoad, plan_loads};
pub use runners::{Runners, RunnersParts};
