//! Errors of target choice.

use std::time::Duration;

use deck_core::error::{CallError, ErrorKind};
use quick_error::quick_error;

quick_error! {
    /// Error of [`Router::pick`](crate::Router::pick).
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PickError {
        /// The router has no pool of this name.
        UnknownPool(pool: String) {
            display("no pool named {pool:?}")
        }
        /// No target of the pool takes work, apart from those that the request excludes.
        NoTarget(pool: String) {
            display("pool {pool:?} has no target that takes work")
        }
        /// All targets have as much work of this priority as they may hold.
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
