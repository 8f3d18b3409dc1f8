//! Errors of requests between VMs.

use std::time::Duration;

use deck_core::id::VmId;
use quick_error::quick_error;

use crate::Topic;

quick_error! {
    /// Error of a request to another VM.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// No address of the VM is known.
        UnknownVm(vm: VmId) {
            display("vm {vm} is not a member")
        }
        /// The VM cannot be connected to; nothing was sent.
        Unreachable(vm: VmId, message: String) {
            display("vm {vm} is not reachable: {message}")
        }
        /// The VM answered that it does not serve the topic; the request was not handled.
        NotServed(vm: VmId, topic: Topic) {
            display("vm {vm} does not serve {topic:?}")
        }
        /// The request or its response is larger than the limit; nothing was sent.
        TooLarge(size_bytes: usize, limit_bytes: usize) {
            display("message of {size_bytes} bytes is larger than {limit_bytes} bytes")
        }
        /// The connection broke before the response; the request may have been handled.
        Lost(vm: VmId, message: String) {
            display("response of vm {vm} lost: {message}")
        }
        /// No response came in time; the request may have been handled.
        TimedOut(vm: VmId, limit: Duration) {
            display("no response of vm {vm} within {} ms", limit.as_millis())
        }
    }
}

impl PeerError {
    /// Returns whether the request may have reached the handler of the other VM.
    pub fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost(..) | Self::TimedOut(..))
    }
}
