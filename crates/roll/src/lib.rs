//! Rollout jobs: ownership, steps, dispatch of groups, scoring and hand-over to trainers.

pub mod attempt;
pub mod bitmap;
pub mod board;
pub mod forecast;
pub mod generate;
pub mod job;
pub mod length;
pub mod locate;
pub mod metrics;
pub mod mix;
pub mod options;
pub mod owner;
pub mod protocol;
pub mod sample;
pub mod score;
pub mod service;
pub mod status;
pub mod targets;
pub mod window;

pub use options::RollOptions;
pub use owner::RollOwner;
