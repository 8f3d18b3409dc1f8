//! Async runtime, HTTP server and client, and server-sent events.
//!
//! Streams and the requests of callers are handled by `hyper` on the `monoio` runtime; section 13
//! of `docs/design.md` gives the reason.

pub mod admin;
pub mod body;
pub mod cbor;
pub mod client;
pub mod error;
pub mod framing;
mod read_limit;
pub mod runtime;
pub mod server;
pub mod sse;

pub use body::Body;
pub use client::{
    BufferedResponse, ChunkedCallLimits, Client, ClientOptions, ClientResponse, Collected,
    TcpKeepaliveOptions,
};
pub use error::NetError;
pub use server::{ServerOptions, bind, serve, serve_with_dynamic_options};

/// Re-exported so that all crates use the same version of the HTTP types.
pub use http;
