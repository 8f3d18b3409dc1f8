//! Async runtime, HTTP server and client, and server-sent events.
//!
//! Streams and the requests of callers are handled by `hyper` on the `monoio` runtime; section 13
//! of `docs/design.md` gives the reason.

pub mod account;
pub mod admin;
pub mod body;
mod body_buffer;
pub mod cbor;
pub mod client;
pub mod error;
pub mod framing;
pub mod hop_by_hop;
pub mod json_size;
pub mod ledger;
mod read_limit;
pub mod runtime;
pub mod server;
pub mod sse;
pub mod turns;

pub use account::{Account, AccountTotals};
pub use body::Body;
pub use client::{
    BufferedResponse, ChunkedCallLimits, Client, ClientOptions, ClientResponse, CollectedBody,
    ConnectObserver, TcpKeepaliveOptions,
};
pub use error::NetError;
pub use ledger::{ClientTimeouts, LedgerLimits};
pub use server::{ServerOptions, bind, serve, serve_with_dynamic_options};

/// Re-exported so that all crates use the same version of the HTTP types.
pub use http;
