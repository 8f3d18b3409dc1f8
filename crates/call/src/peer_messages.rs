//! CBOR messages between entry VMs about non-idempotent calls.

use bytes::Bytes;
use deck_core::{
    error::{CallError, ErrorKind},
    id::{Incarnation, JobName, OrganisationId, PoolName, RequestId},
    priority::Priority,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::execution_record::{KeyHash, RecordedHeader, RecordedResponse};

/// Request for the state of a call to the VM that holds its claim (`Topic::CallLookup`).
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LookupRequest {
    /// Hash of the idempotency key.
    pub(crate) key: KeyHash,
    /// Nonce of the claim that was found.
    pub(crate) nonce: String,
    /// Incarnation of the process that holds the claim.
    pub(crate) incarnation: Incarnation,
}

/// Response to a [`LookupRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LookupResponse {
    /// The call completed with this response.
    Done(RecordedResponse),
    /// An attempt is running.
    Running,
    /// The call was not executed under the nonce and never will be.
    Abandoned,
    /// The outcome is not known.
    Unknown,
}

/// Call forwarded to the VM that issued its ticket (`Topic::TicketCall`).
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct TicketCallRequest {
    /// Ticket that the caller sent as idempotency key.
    pub(crate) ticket: String,
    pub(crate) request_id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) pool: PoolName,
    pub(crate) method: String,
    /// Path and query of the request to the target.
    pub(crate) path: String,
    /// End-to-end headers for the target.
    pub(crate) headers: Vec<RecordedHeader>,
    pub(crate) priority: Priority,
    /// Rollout job to which the call belongs, if any.
    pub(crate) job: Option<JobName>,
    /// Time until the deadline when the message was sent, in milliseconds.
    pub(crate) remaining_ms: u64,
    #[serde(with = "serde_bytes")]
    pub(crate) body: Vec<u8>,
}

/// Result of a forwarded call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum TicketCallResponse {
    /// The call completed with this response.
    Done(RecordedResponse),
    /// The call failed.
    Error(WireError),
}

/// [`CallError`] as sent between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WireError {
    /// Code of the error kind.
    code: String,
    message: String,
    /// Time after which the caller should retry, in milliseconds.
    retry_after_ms: Option<u64>,
}

impl From<&CallError> for WireError {
    fn from(error: &CallError) -> Self {
        Self {
            code: error.kind.properties().code.to_owned(),
            message: error.message.clone(),
            retry_after_ms: error.retry_after.map(|wait| wait.as_millis() as u64),
        }
    }
}

impl From<WireError> for CallError {
    fn from(error: WireError) -> Self {
        let kind = ErrorKind::ALL.iter().copied().find(|kind| kind.properties().code == error.code);
        // An unknown code comes from a newer version, so the outcome is unknown.
        let kind = kind.unwrap_or(ErrorKind::KeyOutcomeUnknown);
        let call_error = Self::new(kind, error.message);
        match error.retry_after_ms {
            Some(wait_ms) => call_error.with_retry_after(std::time::Duration::from_millis(wait_ms)),
            None => call_error,
        }
    }
}

/// Encodes a message. Returns an empty message on failure, which receivers reject as malformed.
pub(crate) fn encode<T: Serialize>(message: &T) -> Bytes {
    let mut bytes = Vec::new();
    match ciborium::into_writer(message, &mut bytes) {
        Ok(()) => bytes.into(),
        Err(error) => {
            log::error!(target: "call", "failed to encode message error={error}");
            Bytes::new()
        }
    }
}

/// Decodes a message from another VM; `None` if it is malformed.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
