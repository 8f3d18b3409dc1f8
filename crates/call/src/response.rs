//! HTTP responses to callers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use deck_core::error::{CallError, ErrorKind};
use deck_net::{
    Body,
    body::BodySender,
    http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header},
    server::json_response,
};

use crate::{
    body::timeout_at,
    execution_record::{RecordedHeader, RecordedResponse},
    request_head::{HOP_BY_HOP_HEADERS, REQUEST_ID_HEADER, TARGET_HEADER},
};

/// Maximum time to send the error event that ends a stream early.
const ERROR_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the response for an error, with the status and code of its error kind.
pub fn error_response(error: &CallError, request_id: &str) -> Response<Body> {
    let properties = error.kind.properties();
    let mut response = json_response(properties.status, &error.body(request_id));
    let headers = response.headers_mut();
    if let Some(wait) = error.retry_after {
        // The header has a resolution of 1 s; rounding down would make callers retry too early.
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds as u64));
    }
    if must_close_connection(error.kind) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    set_request_id(headers, request_id);
    response
}

/// Returns `true` if the connection must be closed after the error, because the rest of the request
/// is not read.
fn must_close_connection(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::RequestTimeout | ErrorKind::BodyTooLarge | ErrorKind::HeadTooLarge)
}

/// Sets the response header with the request identifier.
pub fn set_request_id(headers: &mut HeaderMap, request_id: &str) {
    set_header(headers, REQUEST_ID_HEADER, request_id);
}

/// Sets the response header with the target identifier.
pub fn set_target(headers: &mut HeaderMap, target: &str) {
    set_header(headers, TARGET_HEADER, target);
}

/// Sets a header; a value that is not valid in a header is omitted.
fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the headers of a target's response that are returned to the caller: all except
/// hop-by-hop headers and the request identifier.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<RecordedHeader> {
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP_HEADERS.contains(&name.as_str()) && *name != REQUEST_ID_HEADER
        })
        .map(|(name, value)| RecordedHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Returns the response to the caller for a recorded response of a target.
pub fn recorded_response(recorded: &RecordedResponse, request_id: &str) -> Response<Body> {
    build_response(
        recorded.status,
        &recorded.headers,
        &recorded.target,
        request_id,
        Body::full(recorded.body_bytes()),
    )
}

/// Returns a response with the status and headers of a target's response and the given body.
pub fn build_response(
    status: u16,
    headers: &[RecordedHeader],
    target: &str,
    request_id: &str,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let map = response.headers_mut();
    for header in headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(header.name.as_bytes()), HeaderValue::from_bytes(&header.value))
        {
            map.append(name, value);
        }
    }
    set_request_id(map, request_id);
    set_target(map, target);
    response
}

/// Encodes the error event that ends an incomplete stream in place of `[DONE]`.
fn error_event(error: &CallError, request_id: &str) -> Bytes {
    let body = serde_json::to_string(&error.body(request_id)).unwrap_or_default();
    deck_net::sse::encode(Some("error"), &body)
}

/// Sends the error event that ends a stream early. Gives up after a timeout if the caller does not
/// read.
pub(crate) async fn send_error_event(sender: &BodySender, error: &CallError, request_id: &str) {
    let send_future = sender.send(error_event(error, request_id));
    let _ = timeout_at(Instant::now() + ERROR_EVENT_TIMEOUT, send_future).await;
}
