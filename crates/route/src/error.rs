//! Errors of target selection.

use std::time::Duration;

use deck_core::error::{CallError, ErrorKind};
use quick_error::quick_error;

quick_error! {
    /// Error returned by [`Router::pick`](crate::Router::pick).
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PickError {
        /// The router has no pool of this name.
        UnknownPool(pool: String) {
            display("no pool named {pool:?}")
        }
        /// Every target of the pool is leaving or not allowed by the request.
        NoTarget(pool: String) {
            display("pool {pool:?} has no target that takes work")
        }
        /// Every available target has reached its limit for calls of this priority.
        Busy(pool: String, retry_after: Duration) {
            display("all targets of pool {pool:?} are busy")
        }
    }
}

impl From<PickError> for CallError {
    fn from(error: PickError) -> Self {
        let message = error.to_string();
        match error {
            PickError::UnknownPool(_) => Self::new(ErrorKind::UnknownPool, message),
            PickError::NoTarget(_) => Self::new(ErrorKind::NoTarget, message),
            PickError::Busy(_, retry_after) => {
                Self::new(ErrorKind::Overloaded, message).with_retry_after(retry_after)
            }
        }
    }
}
