//! Rollout generation for reinforcement learning: job ownership, sample scheduling, scoring and
//! delivery to trainers.
//!
//! A trainer pulls the samples of one training step at a time. A step consists of groups, and a
//! group of several samples of one prompt, which are scored and delivered together. The staleness
//! of a sample is the number of weight versions between its oldest tokens and the trainer; a sample
//! that exceeds the staleness bound of its job is generated again.

pub mod bitmap;
pub mod concurrency;
pub mod forecast;
pub mod generation;
pub mod job;
pub mod length;
pub mod metrics;
pub mod options;
pub mod owner;
pub mod owner_lookup;
pub mod protocol;
pub mod sample;
pub mod sample_generator;
pub mod scheduler;
pub mod scorer;
pub mod status;
pub mod target_versions;
pub mod trainer_api;
pub mod version_distribution;

pub use options::RolloutOptions;
pub use owner::RolloutJobManager;
