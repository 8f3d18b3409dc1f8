//! Batch jobs: acceptance, execution of their items on engines, and ordered results.
//!
//! A job, its items and its results are stored as objects in the object API. One node runs a job;
//! the job's record names this node and is changed by conditional writes only. Results are stored
//! in numbered chunks that are written once. Two nodes that run the same job at the same time can
//! therefore never publish different results at one position.

pub mod checkpoint;
pub mod dispatch;
pub mod events;
pub mod expiry;
pub mod handover;
mod item_run;
pub mod job;
pub mod ledger;
mod peer_calls;
pub mod peers;
mod publish;
mod reward;
pub mod runner;
pub mod service;
mod silent_jobs;
pub mod speculation;
mod text_reuse;

pub use checkpoint::{CheckpointStore, Checkpoints};
pub use ledger::{JobRecord, Ledger, StoreJobOutcome};
pub use runner::{RunOptions, Runner};
pub use service::{BatchOptions, BatchService};
