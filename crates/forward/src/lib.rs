//! Forwarding of single requests to targets: choice, attempts, hedging, answers.

pub mod answer;
pub mod attempt;
pub mod crashes;
pub mod forwarder;
pub mod headers;
mod stream;

pub use answer::{Reply, ReplyBody, Streamed, error_response, reply_response};
pub use attempt::AttemptError;
pub use crashes::CrashGuard;
pub use forwarder::{Call, ForwardOptions, Forwarder};
pub use stream::Resume;
