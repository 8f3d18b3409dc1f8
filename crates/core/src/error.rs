//! Error kinds that callers can receive, and the table of the HTTP response for each kind.

use serde::{Deserialize, Serialize};

use crate::id::RequestId;

/// Whether a target has executed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request was sent to a target, or the target refused it before executing it.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The request has been executed.
    Ran,
}

/// Properties of the HTTP response for an [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorProperties {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable code in the error body.
    pub code: &'static str,
    /// Whether a target executed the request.
    pub run_state: RunState,
    /// Whether the response has a `Retry-After` header.
    pub has_retry_after: bool,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $code:literal, $run:ident, $retry:literal;)*) => {
        /// Kind of error that a caller can receive.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the properties of the HTTP response for this kind.
            pub const fn properties(self) -> ErrorProperties {
                match self {
                    $(Self::$kind => ErrorProperties {
                        status: $status,
                        code: $code,
                        run_state: RunState::$run,
                        has_retry_after: $retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    BadRequest => 400, "bad_request", NotRun, false;
    /// The request has no key, or one that no organisation has.
    Unauthenticated => 401, "unauthenticated", NotRun, false;
    /// The request names no organisation or an unknown one.
    UnknownOrganisation => 403, "unknown_organisation", NotRun, false;
    /// No pool serves the requested path or model.
    UnknownPool => 404, "unknown_pool", NotRun, false;
    /// No rollout job has this name, or this VM does not own it.
    UnknownJob => 404, "unknown_job", NotRun, false;
    /// Another VM owns the rollout job.
    StaleOwner => 503, "stale_owner", NotRun, true;
    /// The method is not allowed on this path.
    MethodNotAllowed => 405, "method_not_allowed", NotRun, false;
    /// The request body was not received in time.
    RequestTimeout => 408, "request_timeout", NotRun, true;
    /// The request body is larger than the limit.
    BodyTooLarge => 413, "body_too_large", NotRun, false;
    /// The request head is larger than the limit.
    HeadTooLarge => 431, "head_too_large", NotRun, false;
    /// The idempotency key has already been used for a different request.
    KeyReused => 422, "key_reused", NotRun, false;
    /// A request that is not idempotent has neither an idempotency key nor a ticket, a token issued by
    /// an entry VM that lets a request run at most once.
    KeyRequired => 400, "key_required", NotRun, false;
    /// An earlier attempt with the same idempotency key is still running on this or another VM.
    KeyInProgress => 409, "key_in_progress", Unknown, true;
    /// An earlier attempt with the same idempotency key may have been executed and its response is
    /// lost.
    KeyOutcomeUnknown => 409, "key_outcome_unknown", Unknown, false;
    /// The request is refused because targets repeatedly crashed while executing it.
    RequestBlocked => 422, "request_condemned", NotRun, false;
    /// The request is refused temporarily because several targets crashed while executing it.
    RequestSuspended => 503, "request_suspended", NotRun, true;
    /// The organisation has used up its own share of the pool.
    ShareExhausted => 429, "share_exhausted", NotRun, true;
    /// The pool has no capacity left for this request.
    Overloaded => 503, "overloaded", NotRun, true;
    /// The rate of new idempotency keys is above the limit.
    ClaimRateExceeded => 503, "claim_rate_exceeded", NotRun, true;
    /// No target of the pool accepts requests.
    NoTarget => 503, "no_target", NotRun, true;
    /// The stream can be resumed only at targets of the software version that began it, and none
    /// is left.
    SoftwareVersionGone => 503, "software_version_gone", NotRun, false;
    /// The request resumes a stream, and it is not known which software version began it.
    SoftwareVersionUnknown => 503, "software_version_unknown", NotRun, false;
    /// The request needs the object API, which does not respond.
    StoreUnavailable => 503, "store_unavailable", NotRun, true;
    /// The VM is stopping.
    Draining => 503, "draining", NotRun, true;
    /// The VM has no valid configuration yet.
    NotReady => 503, "not_ready", NotRun, true;
    /// The VM cannot tell whether its configuration is current, so that it cannot accept a key.
    ConfigurationOutdated => 503, "configuration_outdated", NotRun, true;
    /// Every attempt was refused by a target before executing the request.
    TargetRefused => 503, "target_refused", NotRun, true;
    /// The deadline passed, or would have passed, before the request was sent to a target.
    DeadlineBeforeRun => 504, "deadline_before_run", NotRun, true;
    /// The deadline passed after the request was sent to a target.
    DeadlineExceeded => 504, "deadline_exceeded", Unknown, true;
    /// The target failed after the request was sent.
    TargetFailed => 502, "target_failed", Unknown, true;
    /// The response of the target was truncated.
    AnswerTruncated => 502, "answer_truncated", Unknown, true;
    /// Internal error of cowslipdeck; whether the request was executed is unknown.
    Internal => 500, "internal", Unknown, true;
}

/// Error of a request, as returned to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// Kind, which determines HTTP status, code and run state.
    pub kind: ErrorKind,
    /// Human-readable message that names the offending header, field or limit.
    pub message: String,
    /// Time after which the caller may retry; only set for kinds whose response has `Retry-After`.
    pub retry_after: Option<std::time::Duration>,
}

impl CallError {
    /// Returns an error of `kind`; if its response has `Retry-After`, the time is one second.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let retry_after =
            kind.properties().has_retry_after.then_some(std::time::Duration::from_secs(1));
        Self { kind, message: message.into(), retry_after }
    }

    /// Sets the time after which the caller may retry, if the response of this kind has
    /// `Retry-After`.
    pub fn with_retry_after(mut self, retry_after: std::time::Duration) -> Self {
        if self.kind.properties().has_retry_after {
            self.retry_after = Some(retry_after);
        }
        self
    }

    /// Returns the JSON body of the response.
    pub fn body(&self, request_id: &str) -> ErrorBody {
        let properties = self.kind.properties();
        ErrorBody {
            error: ErrorDetail {
                code: properties.code.to_owned(),
                message: self.message.clone(),
                run: properties.run_state,
                retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
                request_id: request_id.to_owned(),
            },
        }
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.kind.properties().code, self.message)
    }
}

impl std::error::Error for CallError {}

/// JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error; the only field of the body.
    pub error: ErrorDetail,
}

/// Details of an error response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Machine-readable code, see [`ErrorProperties::code`].
    pub code: String,
    /// Human-readable message that names the offending header, field or limit.
    pub message: String,
    /// Whether a target executed the request.
    pub run: RunState,
    /// Time after which the caller may retry, in milliseconds; absent if the response
    /// has no `Retry-After` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Identifier of the request, set by the caller or generated by the daemon.
    pub request_id: RequestId,
}
