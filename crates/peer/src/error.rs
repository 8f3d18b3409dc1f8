//! Error type of requests between VMs.

use std::time::Duration;

use deck_core::id::VmId;
use quick_error::quick_error;

use crate::Topic;

quick_error! {
    /// Reason why a request to another VM failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// The VM is not in the member table, so its address is unknown.
        UnknownVm(vm: VmId) {
            display("vm {vm} is not a member")
        }
        /// No connection to the VM could be used; the request was not sent.
        Unreachable(vm: VmId, message: String) {
            display("vm {vm} is not reachable: {message}")
        }
        /// The VM has no handler for the topic, so nothing was executed.
        NotServed(vm: VmId, topic: Topic) {
            display("vm {vm} does not serve {topic:?}")
        }
        /// The request is larger than the message size limit; it was not sent.
        TooLarge(size_bytes: usize, limit_bytes: usize) {
            display("message of {size_bytes} bytes is larger than {limit_bytes} bytes")
        }
        /// The connection closed before the response arrived, or the response was too large to
        /// send; the request may have been handled.
        ResponseLost(vm: VmId, message: String) {
            display("response of vm {vm} lost: {message}")
        }
        /// No response arrived within the limit; the request may have been handled.
        TimedOut(vm: VmId, limit: Duration) {
            display("no response of vm {vm} within {} ms", limit.as_millis())
        }
    }
}

impl PeerError {
    /// Returns whether the request may have reached the handler of the other VM.
    pub fn may_have_arrived(&self) -> bool {
        matches!(self, Self::ResponseLost(..) | Self::TimedOut(..))
    }
}
