//! Batch jobs: acceptance, execution of their items on engines, and ordered results.
//!
//! A job, its items and its results are stored as objects in the object API. One node runs a job;
//! the job's record names this node and is changed by conditional writes only. Results are stored
//! in numbered chunks that are written once. Two nodes that run the same job at the same time can
//! therefore never publish different results at one position.
//!
//! Terms:
//!
//! - Item: one request to generate a text, with an optional reward call that scores the text. The
//!   items of a group share a prompt; the caller may wait for a number of complete groups only.
//! - Run: one attempt to generate the text of an item, or to continue it, on an engine.
//! - Event: one element of the stream in which an engine sends a text. Lengths and speeds are
//!   measured in events.
//! - Step: one training step of a trainer. Each job belongs to one step.
//! - Runner: the node that runs a job.
//! - Position: index of a result in the order in which the results of a job were published.
//! - Settled job: a job that is ended, complete or past its due time.

pub mod checkpoint;
pub mod dispatch;
mod end;
pub mod events;
pub mod expiry;
pub mod handover;

mod item_run;
pub mod job;
pub mod job_store;
mod ownership;
mod peer_calls;
pub mod peer_client;
mod publish;
mod reward;
pub mod runner;
mod scope;
pub mod service;
mod silent_jobs;
pub mod speculation;
mod text_reuse;

pub use checkpoint::{CheckpointClient, CheckpointStore};
pub use job_store::{JobRecord, JobStore, StoreJobOutcome};
pub use runner::{Runner, RunnerOptions};
pub use service::{BatchOptions, BatchService};
