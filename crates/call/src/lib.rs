//! Life of one call on its way from a caller to a target: admission, dispatch, streaming, resume,
//! retry, at-most-once execution and the response.

mod answer;
mod attempt;
mod background;
mod body;
mod call;
mod caller;
mod cancel;
mod claim;
mod completion;
pub mod engine;
mod exchange;
pub mod fold;
pub mod head;
mod load;
pub mod metrics;
mod once;
pub mod options;
mod pools;
pub mod record;
mod service;
mod shared;
mod sweep;
pub mod ticket;
pub mod usage;
pub mod usage_status;
mod wire;

pub use caller::{Caller, CallerParts};
pub use options::CallOptions;
