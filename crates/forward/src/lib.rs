//! Forwarding of single requests to targets: target choice, attempts, hedging and responses.

pub mod attempt;
pub mod crashes;
pub mod forwarder;
pub mod headers;
pub mod reply;
mod stream;

pub use attempt::AttemptError;
pub use crashes::CrashGuard;
pub use forwarder::{Call, ForwardOptions, Forwarder};
pub use reply::{Reply, ReplyBody, StreamingBody, error_response, reply_response};
pub use stream::StreamResumption;
