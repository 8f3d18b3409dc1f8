//! Forwarding of single requests to targets: choice, attempts, hedging, answers.

pub mod answer;
pub mod attempt;
pub mod forwarder;
pub mod headers;
mod stream;

pub use answer::{Reply, ReplyBody, error_response, reply_response};
pub use attempt::AttemptError;
pub use forwarder::{Call, ForwardOptions, Forwarder};
pub use stream::Resume;
