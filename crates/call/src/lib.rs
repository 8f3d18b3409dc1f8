//! Processing of calls in an entry process (`deckentry`), from the HTTP request to the response:
//! admission, target selection, retries, streaming and resumption of completions, and at-most-once
//! execution of non-idempotent calls.

mod at_most_once;
mod attempt;
mod background;
mod body;
mod call;
mod cancel;
mod claim;
mod claim_cleanup;
mod completion;
pub mod completion_api;
pub mod execution_record;
mod handler;
mod load_poller;
pub mod metrics;
pub mod options;
mod peer_exchange;
mod peer_messages;
mod pool_index;
pub mod request_head;
mod response;
mod service;
mod shared;
pub mod ticket;
pub mod usage;
pub mod usage_totals;
pub mod usage_writer;

pub use handler::{CallHandler, CallHandlerDependencies};
pub use options::CallHandlerOptions;
