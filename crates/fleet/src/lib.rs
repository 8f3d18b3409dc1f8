//! State of the deployment as known to a node: configuration, targets, engines and published weight
//! versions.
//!
//! An event is one element of the stream in which an engine sends a generated text; it holds
//! [`EngineConfig::tokens_per_event`] tokens.
//!
//! A target is an instance of a service, and an engine is a target that generates texts. A target
//! registers in the object API with an object, its entry. Weights are the parameters of a model;
//! trainers publish new versions of them, which the engines load while they serve.
//!
//! The node that holds the leader lease is the leader. It chooses the runners, the nodes that run
//! the batch jobs of each model, and orders the engines to load weights. Watchers are the nodes that
//! follow the object API for the rest of a large fleet, see [`feed`].
//!
//! The types are independent of the platform. An adapter implements [`PlatformProtocol`], which
//! translates the names and formats of a platform to these types.

mod change_log;
pub mod config;
mod config_transfer;
pub mod crash_registry;
pub mod currency;
pub mod demand;
pub mod engines;
pub mod feed;
pub mod follow;
pub mod membership;
pub mod node;
pub mod observer;
pub mod organisations;
mod packed;
pub mod protocol;
pub mod software;
pub mod stream_origins;
pub mod target;
pub mod target_limits;
pub mod view;

pub use config::{
    CallerLimits, Configuration, ConfigurationEntries, EngineConfig, Route, RouteKind,
    ScalingConfig, ServiceConfig,
};
pub use crash_registry::{CrashRegistry, NodeCrashes};
pub use currency::{ConfigurationCurrency, ConfirmationRole};
pub use demand::{DemandMeter, ModelDemand};
pub use engines::{
    EngineEstimate, EngineLoad, EngineRegistry, EngineSpeed, EngineState, EngineUpdate, RunGuard,
};
pub use feed::{FleetFeed, FleetFeedOptions, Leader, ModelRunner, RunnerTable};
pub use follow::{ObjectFollower, ObjectFollowerOptions, ObjectKinds};
pub use membership::{
    ListedNode, Membership, MembershipOptions, NodeRegistration, ProbeOutcome, ProbeScope,
};
pub use node::{Bounds, Duty, DutyApiSettings, NodeSettings};
pub use observer::{
    AttemptOutcome, ChunkFinder, ItemRunOutcome, JobEvent, Observer, ResumptionOutcome,
    ResumptionScope,
};
pub use organisations::{ApiKey, Organisation, Organisations};
pub use protocol::{
    BatchCall, BatchJob, BatchLimits, DispatchMetadata, Item, ItemOutcome, ItemResult,
    PlatformProtocol, RequestMetadata, ResponseMetadata, ResultPage, RewardCall, ScalingOrder,
    ScalingReply, TargetReport, UsageReply, UsageReport, WeightLoadOrder, WeightLoadReply,
};
pub use software::KnownVersions;
pub use stream_origins::{OriginRecord, StreamOrigin, StreamOriginStore};
pub use target::{Target, TargetLifetime, TargetState};
pub use target_limits::{RequestPurpose, Senders, TargetLimits};
pub use view::{FleetView, TargetChanges, TargetContent, TargetList};
