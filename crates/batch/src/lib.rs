//! Batch jobs: acceptance, execution of items, results at positions that never change.
//!
//! A job, its items and its results are objects that are created once and then kept. One node runs
//! a job; which one is recorded in the job's object and changed by conditional writes. Results are
//! stored in numbered chunks under fixed names, so two nodes that run the same job can never show
//! different results at one position.

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
pub use ledger::{AcceptOutcome, JobRecord, Ledger};
pub use runner::{RunOptions, Runner};
pub use service::{BatchOptions, BatchService};
