//! Orders that bring new weights to the engines, given by the holder of one lease.

pub mod giver;
pub mod plan;
pub mod runners;

pub use giver::{Giver, SwapOptions};
pub use plan::{Change, EngineVersions, NamedModel, PlanOptions, plan};
pub use runners::{Runners, RunnersParts};
