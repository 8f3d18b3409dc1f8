//! Batch jobs: acceptance, execution of items, results at positions that never change.
//!
//! A job, its items and its results are objects that are created once and then kept. One node runs
//! a job; which one is recorded in the job's object and changed by conditional writes. Results are
//! stored in numbered chunks under fixed names, so two nodes that run the same job can never show
//! different results at one position.

pub mod ahead;
pub mod checkpoint;
pub mod dispatch;
pub mod events;
mod guard;
pub mod handover;
pub mod job;
pub mod ledger;
mod peer_calls;
pub mod peers;
mod publish;
mod reuse;
mod reward;
mod run;
pub mod runner;
pub mod service;
pub mod sweep;

pub use checkpoint::{CheckpointStore, Checkpoints};
pub use ledger::{Accepted, JobRecord, Ledger};
pub use runner::{RunOptions, Runner};
pub use service::{BatchOptions, BatchService};
