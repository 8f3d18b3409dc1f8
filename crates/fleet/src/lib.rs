//! State of the deployment as known to a node: configuration, targets, engines and published weight
//! versions.
//!
//! The types are independent of the platform. An adapter implements [`Protocol`], which translates
//! the names and formats of a platform to these types.

pub mod board;
mod change_log;
pub mod config;
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

pub use board::{CrashBoard, NodeCrashes};
pub use config::{CallerLimits, Configuration, Engine, Route, RouteKind, Service};
pub use demand::{DemandMeter, ModelDemand};
pub use engines::{EngineLoad, EngineState, EngineUpdate, Engines, Outlook, RunGuard};
pub use feed::{Feed, FeedOptions, Leader, ModelRunner, RunnerTable};
pub use follow::{FollowOptions, Follower, Kinds};
pub use node::{Bounds, NodeSettings};
pub use observer::{AttemptEnd, JobChange, Observer, RunEnd};
pub use protocol::{
    BatchCall, BatchJob, BatchLimits, CallHead, Dispatch, Item, ItemOutcome, ItemResult, Order,
    OrderReply, Protocol, ReplyHead, ResultPage, RewardCall, TargetReport,
};
pub use target::{Target, TargetState};
pub use view::{TargetChanges, TargetContent, TargetList, View};
