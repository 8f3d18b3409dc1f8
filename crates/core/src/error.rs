//! Closed list of error kinds and the table from kind to answer.

use serde::{Deserialize, Serialize};

use crate::id::RequestId;

/// Whether a request ran on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request left for a target, or the target refused it before running it.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Ran,
}

/// Row of the table from error kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorRow {
    /// HTTP status of the answer.
    pub status: u16,
    /// Machine-readable code in the error body.
    pub code: &'static str,
    /// Whether the request ran.
    pub run: RunState,
    /// Whether the answer has `Retry-After`.
    pub retry: bool,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $code:literal, $run:ident, $retry:literal;)*) => {
        /// Kind of an error that a caller can receive.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the answer that belongs to this kind.
            pub const fn row(self) -> ErrorRow {
                match self {
                    $(Self::$kind => ErrorRow {
                        status: $status,
                        code: $code,
                        run: RunState::$run,
                        retry: $retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    BadRequest => 400, "bad_request", NotRun, false;
    /// The request names no organisation or an unknown one.
    UnknownOrganisation => 403, "unknown_organisation", NotRun, false;
    /// No pool serves the path or model.
    UnknownPool => 404, "unknown_pool", NotRun, false;
    /// No rollout job has this name, or this VM does not own it.
    UnknownJob => 404, "unknown_job", NotRun, false;
    /// Another VM owns the rollout job.
    StaleOwner => 503, "stale_owner", NotRun, true;
    /// The method is not allowed on this path.
    MethodNotAllowed => 405, "method_not_allowed", NotRun, false;
    /// The body was not received in time.
    RequestTimeout => 408, "request_timeout", NotRun, true;
    /// The body is larger than the limit.
    BodyTooLarge => 413, "body_too_large", NotRun, false;
    /// The head is larger than the limit.
    HeadTooLarge => 431, "head_too_large", NotRun, false;
    /// The idempotency key was used before with another request.
    KeyReused => 422, "key_reused", NotRun, false;
    /// A non-idempotent request has neither key nor ticket.
    KeyRequired => 400, "key_required", NotRun, false;
    /// An earlier try of the same key is still running here or elsewhere.
    KeyInProgress => 409, "key_in_progress", Unknown, true;
    /// An earlier try of the same key may have run and its answer is lost.
    KeyOutcomeUnknown => 409, "key_outcome_unknown", Unknown, false;
    /// The request repeatedly crashed the targets that ran it.
    RequestCondemned => 422, "request_condemned", NotRun, false;
    /// The request crashed several targets and is not run until these crashes are forgotten.
    RequestSuspended => 503, "request_suspended", NotRun, true;
    /// The organisation's own share is used up.
    ShareExhausted => 429, "share_exhausted", NotRun, true;
    /// The pool has no capacity left for this request.
    Overloaded => 503, "overloaded", NotRun, true;
    /// The rate of new idempotency keys is above the limit.
    ClaimRateExceeded => 503, "claim_rate_exceeded", NotRun, true;
    /// The pool has no target that takes work.
    NoTarget => 503, "no_target", NotRun, true;
    /// The object API does not answer and the request needs it.
    StoreUnavailable => 503, "store_unavailable", NotRun, true;
    /// The VM is stopping.
    Draining => 503, "draining", NotRun, true;
    /// The VM has no valid configuration yet.
    NotReady => 503, "not_ready", NotRun, true;
    /// All tries were refused by targets before running.
    TargetRefused => 503, "target_refused", NotRun, true;
    /// The deadline passed, or would pass, before the request left for a target.
    DeadlineBeforeRun => 504, "deadline_before_run", NotRun, true;
    /// The deadline passed after the request left for a target.
    DeadlineExceeded => 504, "deadline_exceeded", Unknown, true;
    /// The target failed after the request was sent.
    TargetFailed => 502, "target_failed", Unknown, true;
    /// The target's answer was cut short.
    AnswerTruncated => 502, "answer_truncated", Unknown, true;
    /// An error inside cowslipdeck after which the outcome is not known.
    Internal => 500, "internal", Unknown, true;
}

/// Error that a caller receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// Kind; decides status, code and run state.
    pub kind: ErrorKind,
    /// Text for people; names the offending header, field or limit.
    pub message: String,
    /// When the caller should come back. Only set if the kind's row says `retry`.
    pub retry_after: Option<std::time::Duration>,
}

impl CallError {
    /// Returns an error of `kind`; a kind that may be retried asks the caller to wait one second.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let retry_after = kind.row().retry.then_some(std::time::Duration::from_secs(1));
        Self { kind, message: message.into(), retry_after }
    }

    /// Replaces the time after which the caller should come back.
    pub fn with_retry_after(mut self, retry_after: std::time::Duration) -> Self {
        if self.kind.row().retry {
            self.retry_after = Some(retry_after);
        }
        self
    }

    /// Returns the JSON body of the answer.
    pub fn body(&self, request_id: &str) -> ErrorBody {
        let row = self.kind.row();
        ErrorBody {
            error: ErrorDetail {
                code: row.code.to_owned(),
                message: self.message.clone(),
                run: row.run,
                retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
                request_id: request_id.to_owned(),
            },
        }
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.kind.row().code, self.message)
    }
}

impl std::error::Error for CallError {}

/// JSON body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Content of an error answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Machine-readable code, see [`ErrorRow::code`].
    pub code: String,
    /// Text for people.
    pub message: String,
    /// Whether the request ran.
    pub run: RunState,
    /// When to come back, in milliseconds; absent if a repeat is of no use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request's identifier.
    pub request_id: RequestId,
}
