//! Responses to callers.

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
    body::until,
    head::{HOP_BY_HOP, REQUEST_ID, TARGET},
    record::{RecordedAnswer, RecordedHeader},
};

/// Time for the event that ends a stream early.
const ERROR_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the response for an error, from the one table of error kinds.
pub fn error_response(error: &CallError, request_id: &str) -> Response<Body> {
    let row = error.kind.row();
    let mut response = json_response(row.status, &error.body(request_id));
    let headers = response.headers_mut();
    if let Some(wait) = error.retry_after {
        // The header counts whole seconds; rounding down would bring callers back too early.
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds as u64));
    }
    if closes_connection(error.kind) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    set_request_id(headers, request_id);
    response
}

/// Returns whether the connection closes after the error: the rest of the request is not read.
fn closes_connection(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::RequestTimeout | ErrorKind::BodyTooLarge | ErrorKind::HeadTooLarge)
}

/// Sets the header that names the request.
pub fn set_request_id(headers: &mut HeaderMap, request_id: &str) {
    set(headers, REQUEST_ID, request_id);
}

/// Sets the header that names the target.
pub fn set_target(headers: &mut HeaderMap, target: &str) {
    set(headers, TARGET, target);
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the headers of a target's answer that go to the caller.
pub fn answer_headers(headers: &HeaderMap) -> Vec<RecordedHeader> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()) && *name != REQUEST_ID)
        .map(|(name, value)| RecordedHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Returns the response for a recorded answer.
pub fn recorded_response(answer: &RecordedAnswer, request_id: &str) -> Response<Body> {
    build_response(
        answer.status,
        &answer.headers,
        &answer.target,
        request_id,
        Body::full(answer.body_bytes()),
    )
}

/// Returns a response with a target's status and headers and the given body.
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

/// Returns the bytes of the event that ends a stream which cannot be completed.
///
/// Such a stream has no `[DONE]`.
fn error_event(error: &CallError, request_id: &str) -> Bytes {
    let body = serde_json::to_string(&error.body(request_id)).unwrap_or_default();
    deck_net::sse::encode(Some("error"), &body)
}

/// Tells the caller why the stream ends early; a caller that reads nothing is not waited for.
pub(crate) async fn send_error(sender: &BodySender, error: &CallError, request_id: &str) {
    let sent = sender.send(error_event(error, request_id));
    let _ = until(Instant::now() + ERROR_EVENT_TIMEOUT, sent).await;
}
