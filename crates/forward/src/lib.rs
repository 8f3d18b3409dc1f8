//! Forwarding of single requests to targets: target choice, attempts, hedging and responses.

pub mod attempt;
pub mod crashes;
pub mod forwarder;
pub mod origins;
pub mod reply;
mod resume;
mod share;
mod stream;

pub use attempt::AttemptError;
pub use crashes::CrashGuard;
pub use forwarder::{ForwardOptions, ForwardRequest, Forwarder};
pub use origins::StreamOrigins;
pub use reply::{Reply, ReplyBody, StreamingBody, error_response, response_from_reply};
pub use stream::StreamResumption;
