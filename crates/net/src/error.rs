//! Errors of HTTP clients and servers.

use std::{net::SocketAddr, time::Duration};

use quick_error::quick_error;

quick_error! {
    /// Error of the network layer.
    #[derive(Debug)]
    pub enum NetError {
        /// A socket operation failed before any byte of a request was sent.
        Connect(address: SocketAddr, error: std::io::Error) {
            display("cannot connect to {address}: {error}")
            source(error)
        }
        /// No connection was established in time; no byte of a request was sent.
        ConnectTimeout(address: SocketAddr, timeout: Duration) {
            display("cannot connect to {address} within {} ms", timeout.as_millis())
        }
        /// The connection closed before any byte of the request was sent.
        NotSent(address: SocketAddr, message: String) {
            display("request not sent to {address}: {message}")
        }
        /// The request failed; the server may have received at least a part of it.
        Exchange(address: SocketAddr, message: String) {
            display("exchange with {address} failed: {message}")
        }
        /// A body is larger than the limit.
        BodyTooLarge(limit_bytes: usize) {
            display("body is larger than {limit_bytes} bytes")
        }
        /// No memory is left for a request body; the request has not run.
        OutOfMemory {
            display("no memory is left for request bodies")
        }
        /// A request body takes more memory than there is when it is decoded; the request has not
        /// run.
        DecodedTooLarge(bytes: usize) {
            display("the decoded body takes {bytes} bytes of memory")
        }
        /// A request body was not received in time; the request has not run.
        BodyTimeout {
            display("body not received in time")
        }
        /// A body is truncated or could not be read.
        Body(message: String) {
            display("body not received: {message}")
        }
        /// A message could not be encoded, or a received one could not be decoded.
        Decode(message: String) {
            display("unexpected body: {message}")
        }
        /// A local socket operation failed.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}

impl NetError {
    /// Returns whether the server may have received a part of the request.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::Connect(..) | Self::ConnectTimeout(..) | Self::NotSent(..))
    }
}
