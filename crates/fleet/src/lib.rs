//! State of the deployment as known to a node: configuration, targets, engines and published weight
//! versions.
//!
//! An event is one element of the stream in which an engine sends a generated text; it holds
//! [`EngineConfig::tokens_per_event`] tokens.
//!
//! The types are independent of the platform. An adapter implements [`PlatformProtocol`], which
//! translates the names and formats of a platform to these types.

mod change_log;
pub mod config;
pub mod crash_registry;
pub mod demand;
pub mod engines;
pub mod feed;
pub mod follow;
pub mod node;
pub mod observer;
mod packed;
pub mod protocol;
pub mod target;
pub mod view;

pub use config::{CallerLimits, Configuration, EngineConfig, Route, RouteKind, ServiceConfig};
pub use crash_registry::{CrashRegistry, NodeCrashes};
pub use demand::{DemandMeter, ModelDemand};
pub use engines::{
    EngineEstimate, EngineLoad, EngineRegistry, EngineState, EngineUpdate, RunGuard,
};
pub use feed::{FleetFeed, FleetFeedOptions, Leader, ModelRunner, RunnerTable};
pub use follow::{ObjectFollower, ObjectFollowerOptions, ObjectKinds};
pub use node::{Bounds, NodeSettings};
pub use observer::{AttemptOutcome, ItemRunOutcome, JobEvent, Observer};
pub use protocol::{
    BatchCall, BatchJob, BatchLimits, DispatchMetadata, Item, ItemOutcome, ItemResult,
    PlatformProtocol, RequestMetadata, ResponseMetadata, ResultPage, RewardCall, TargetReport,
    WeightLoadOrder, WeightLoadReply,
};
pub use target::{Target, TargetState};
pub use view::{FleetView, TargetChanges, TargetContent, TargetList};
