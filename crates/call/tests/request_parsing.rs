//! Parsing of request heads and bodies: an error for invalid input names the invalid part.

use std::time::{Duration, Instant};

use deck_call::{
    completion_api::{Choice, Chunk, CompletionRequest, Generation},
    options::AttemptOptions,
    request_head::{CallHead, Route},
};
use deck_core::{error::ErrorKind, object::VersionSpan};
use deck_net::http::{Request, request::Parts};
use test_case::test_case;

fn parts(method: &str, path: &str, headers: &[(&str, &[u8])]) -> Parts {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("request").into_parts().0
}

fn parse(parts: &Parts) -> Result<CallHead, deck_core::error::CallError> {
    CallHead::try_parse(parts, &AttemptOptions::default(), Instant::now())
}

#[test_case("POST", "/v1/completions", &[], ErrorKind::UnknownOrganisation, "x-organisation"; "no organisation")]
#[test_case("GET", "/v1/completions", &[], ErrorKind::MethodNotAllowed, "GET"; "method")]
#[test_case("GET", "/nowhere", &[], ErrorKind::UnknownPool, "/nowhere"; "path")]
#[test_case("GET", "/services/", &[], ErrorKind::UnknownPool, "service"; "no service")]
#[test_case("GET", "/services/a/b", &[("x-other", b"\xff\xfe")], ErrorKind::BadRequest, "x-other"; "not utf-8")]
#[test_case("GET", "/services/a/b", &[("x-organisation", b"o"), ("x-deadline-ms", b"-4")], ErrorKind::BadRequest, "x-deadline-ms"; "deadline")]
#[test_case("GET", "/services/a/b", &[("x-organisation", b"o"), ("x-priority", b"urgent")], ErrorKind::BadRequest, "x-priority"; "priority")]
#[test_case("GET", "/services/a/b", &[("x-organisation", b"o"), ("x-request-id", b"a b")], ErrorKind::BadRequest, "x-request-id"; "request id")]
#[test_case("POST", "/services/a/b", &[("x-organisation", b"o"), ("idempotency-key", b"")], ErrorKind::BadRequest, "idempotency-key"; "empty key")]
#[test_case("POST", "/services/a/b", &[("x-organisation", b"o"), ("idempotency-key", b"a"), ("idempotency-key", b"b")], ErrorKind::BadRequest, "idempotency-key"; "two keys")]
fn malformed_head_is_rejected(
    method: &str,
    path: &str,
    headers: &[(&str, &[u8])],
    kind: ErrorKind,
    expected_name: &str,
) {
    let error = parse(&parts(method, path, headers)).expect_err("refused");
    assert_eq!(error.kind, kind);
    assert!(error.message.contains(expected_name), "{}", error.message);
}

/// Guards against forwarding hop-by-hop headers or an outdated deadline header to a target.
#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let headers: &[(&str, &[u8])] = &[
        ("x-organisation", b"o"),
        ("connection", b"close, X-Secret"),
        ("x-secret", b"s"),
        ("transfer-encoding", b"chunked"),
        ("x-deadline-ms", b"1500"),
        ("accept", b"text/plain"),
    ];
    let head = parse(&parts("POST", "/services/booking/seats?row=3", headers)).expect("head");
    let pool = "booking".to_owned();
    assert_eq!(head.route, Route::Service { pool, path: "/seats?row=3".to_owned() });
    let names: Vec<_> = head.forwarded_headers.keys().map(|name| name.as_str()).collect();
    assert_eq!(names, ["x-organisation", "accept"]);
    assert!(head.remaining(Instant::now()) <= Duration::from_millis(1500));
}

#[test_case(b"\xff", "JSON"; "not utf-8")]
#[test_case(b"[]", "JSON"; "not an object")]
#[test_case(br#"{"prompt":"p"}"#, "model"; "no model")]
#[test_case(br#"{"model":"m","prompt":4}"#, "prompt"; "prompt")]
#[test_case(br#"{"model":"m","prompt":"p","max_tokens":0}"#, "max_tokens"; "max tokens")]
#[test_case(br#"{"model":"m","prompt":"p","stream":"yes"}"#, "stream"; "stream")]
fn malformed_completion_is_rejected(body: &[u8], expected_name: &str) {
    let error = CompletionRequest::try_parse(body).expect_err("refused");
    assert_eq!(error.kind, ErrorKind::BadRequest);
    assert!(error.message.contains(expected_name), "{}", error.message);
}

fn chunk(text: &str, weight_version: u64, finish_reason: Option<&str>) -> Chunk {
    let finish_reason = finish_reason.map(str::to_owned);
    let choices = vec![Choice { index: 0, text: text.to_owned(), finish_reason }];
    Chunk { id: String::new(), choices, token_count: 2, weight_version }
}

/// Guards against attributing tokens to the wrong weight version after a weight update or a resume.
#[test]
fn spans_match_the_weight_versions_of_the_chunks() {
    let mut generation = Generation::default();
    for (text, version) in [("a", 4), ("b", 4), ("c", 5), ("d", 4)] {
        generation.add(&chunk(text, version, None));
    }
    let spans: Vec<_> =
        generation.spans.iter().map(|span| (span.weight_version, span.token_count)).collect();
    assert_eq!(spans, [(4, 4), (5, 2), (4, 2)]);
    let sum: u32 = generation.spans.iter().map(|span: &VersionSpan| span.token_count).sum();
    assert_eq!(generation.token_count, sum);
}

/// Guards against a resumed generation that starts from the beginning, and against dropping unknown
/// request fields.
#[test]
fn resumed_request_carries_text_and_unknown_fields() {
    let body = br#"{"model":"m","prompt":"p","max_tokens":9,"generate_tokens":5}"#;
    let request = CompletionRequest::try_parse(body).expect("request");
    let mut generation = Generation::default();
    let first: serde_json::Value =
        serde_json::from_slice(&request.engine_body("id", "rollout", &generation)).expect("json");
    assert_eq!(first.get("resume_text"), None);
    assert_eq!(first["stream"], true);
    generation.add(&chunk("so far", 1, None));
    let resumed: serde_json::Value =
        serde_json::from_slice(&request.engine_body("id", "rollout", &generation)).expect("json");
    assert_eq!(resumed["resume_text"], "so far");
    assert_eq!(resumed["resume_tokens"], 2);
    assert_eq!(resumed["generate_tokens"], 5);
    assert_eq!(resumed["priority"], "rollout");
    assert_eq!(resumed["request_id"], "id");
}
