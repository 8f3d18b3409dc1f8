//! Runtime start, HTTP server and client, and server-sent events.
//!
//! HTTP that carries streams or faces callers uses `hyper` on the `monoio` runtime; see section 13
//! of `docs/design.md` for the reason.

pub mod admin;
pub mod body;
pub mod cbor;
pub mod client;
pub mod error;
pub mod framing;
mod guard;
pub mod runtime;
pub mod server;
pub mod sse;

pub use body::Body;
pub use client::{
    CallLimits, Client, ClientOptions, ClientResponse, Collected, ProbeOptions, WholeResponse,
};
pub use error::NetError;
pub use server::{ServerOptions, bind, serve, serve_with};

/// HTTP types, re-exported so that all crates use the same version.
pub use http;
