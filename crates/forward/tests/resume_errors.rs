//! Streams that break off, and whose next target does not answer with the rest of the stream.

use std::time::Duration;

use deck_fleet::{Route, RouteKind};
use deck_forward::{CrashGuard, response_from_reply};
use deck_net::http::Method;
use deck_testkit::raw::{RawExchange, RawServer};
use http_body_util::BodyExt;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use test_case::test_case;

mod common;

/// Number of events of a complete stream.
const EVENT_COUNT: u64 = 5;
/// Number of events after which the first target breaks off.
const EVENTS_BEFORE_BREAK: u64 = 2;
/// Text of an error response; the blank line ends a block of an event stream.
const ERROR_TEXT: &str = "data: the server failed\n\n";

fn event(number: u64) -> String {
    format!("id: {number}\ndata: text {number}\n\n")
}

/// Writes a response head with the request's id.
fn write_head(call: &mut RawExchange, status: &str, further_lines: &str) {
    let id = call.header("request-id").unwrap_or_default().to_owned();
    call.write(&format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{further_lines}"));
}

const EVENT_STREAM: &str = "Response-Stamp: s\r\nContent-Type: text/event-stream\r\n\
                            Transfer-Encoding: chunked\r\n\r\n";

/// Streams the events from `first` to `last`.
fn write_events(call: &mut RawExchange, first: u64, last: u64) {
    write_head(call, "200 OK", EVENT_STREAM);
    for number in first..=last {
        call.write_chunk(&event(number));
    }
}

/// Writes a response with a length.
fn write_body(call: &mut RawExchange, status: &str, headers: &str, body: &str) {
    let length = body.len();
    write_head(call, status, &format!("{headers}Content-Length: {length}\r\n\r\n{body}"));
}

fn status_500(call: &mut RawExchange) {
    write_body(call, "500 Internal Server Error", "Response-Stamp: s\r\n", ERROR_TEXT);
}

fn status_500_of_an_event_stream(call: &mut RawExchange) {
    write_head(call, "500 Internal Server Error", EVENT_STREAM);
    call.write_chunk(ERROR_TEXT);
    call.write("0\r\n\r\n");
}

fn status_503(call: &mut RawExchange) {
    write_body(call, "503 Service Unavailable", "Not-Executed: 1\r\n", ERROR_TEXT);
}

fn status_503_without_a_promise(call: &mut RawExchange) {
    write_body(call, "503 Service Unavailable", "", ERROR_TEXT);
}

fn status_404(call: &mut RawExchange) {
    write_body(call, "404 Not Found", "Response-Stamp: s\r\n", ERROR_TEXT);
}

fn success_without_a_signature(call: &mut RawExchange) {
    let headers = EVENT_STREAM.replace("Response-Stamp: s\r\n", "");
    write_head(call, "200 OK", &headers);
    call.write_chunk(&event(EVENTS_BEFORE_BREAK + 1));
    call.write("0\r\n\r\n");
}

fn success_of_another_request(call: &mut RawExchange) {
    call.write(&format!("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n{EVENT_STREAM}"));
    call.write_chunk(&event(EVENTS_BEFORE_BREAK + 1));
    call.write("0\r\n\r\n");
}

fn success_that_is_no_event_stream(call: &mut RawExchange) {
    let headers = "Response-Stamp: s\r\nContent-Type: application/json\r\n";
    write_body(call, "200 OK", headers, "{\"error\":\"failed\"}\n\n");
}

fn empty_success_that_is_no_event_stream(call: &mut RawExchange) {
    write_body(call, "200 OK", "Response-Stamp: s\r\nContent-Type: text/plain\r\n", "");
}

fn half_a_head(call: &mut RawExchange) {
    write_head(call, "500 Internal Server Error", "Content-Ty");
}

fn half_a_success_head(call: &mut RawExchange) {
    write_head(call, "200 OK", "Response-Stamp: s\r\nContent-Ty");
}

/// Writes the head of an error in place of the next chunk of a stream.
fn head_within_the_stream(call: &mut RawExchange) {
    write_events(call, EVENTS_BEFORE_BREAK + 1, EVENTS_BEFORE_BREAK + 1);
    call.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\nfailed\n\n");
}

/// Writes the head of an error within a chunk that is not complete.
fn close_within_an_event(call: &mut RawExchange) {
    write_events(call, EVENTS_BEFORE_BREAK + 1, EVENTS_BEFORE_BREAK + 1);
    call.write("40\r\nid: 4\nda");
}

/// Starts three targets. The first request, whichever target receives it, gets a stream that breaks
/// off, the second one is answered by `second`, and the third one gets the rest of the stream, or
/// another error if `third_fails`.
fn start_targets(second: fn(&mut RawExchange), third_fails: bool) -> Vec<RawServer> {
    let request_count = Arc::<AtomicUsize>::default();
    let target = |_| {
        let request_count = request_count.clone();
        RawServer::start(move |call| match request_count.fetch_add(1, Ordering::SeqCst) {
            0 => {
                write_events(call, 1, EVENTS_BEFORE_BREAK);
                call.write("40\r\nid: 3\ndata: te");
            }
            1 => second(call),
            _ if third_fails => second(call),
            _ => {
                let last: u64 =
                    call.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
                write_events(call, last + 1, EVENT_COUNT);
                call.write("0\r\n\r\n");
            }
        })
    };
    (0..3).map(target).collect()
}

/// Returns the text that the caller receives, and whether the stream ended properly.
async fn receive(servers: &[RawServer]) -> (String, bool) {
    let targets = servers.iter().enumerate();
    let targets = targets.map(|(index, server)| common::target(index, server.address)).collect();
    let forwarder = common::forwarder(targets, CrashGuard::default());
    let route = Route {
        resumable: true,
        timeout: Duration::from_secs(5),
        max_attempts: 3,
        ..common::route(RouteKind::Streaming)
    };
    let call = common::call(route, "body", Duration::from_secs(3));
    let reply = forwarder.forward(call).await.expect("reply");
    let mut body = response_from_reply(reply, &Method::POST).into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (text, false) };
        let data = frame.into_data().unwrap_or_default();
        text.push_str(std::str::from_utf8(&data).expect("text"));
    }
    (text, true)
}

/// Guards against a stream that contains the text or the head of an error, or ends as if it were
/// complete, because the target that resumes it answers with an error.
#[test_case(status_500)]
#[test_case(status_500_of_an_event_stream)]
#[test_case(status_503)]
#[test_case(status_503_without_a_promise)]
#[test_case(status_404)]
#[test_case(success_without_a_signature)]
#[test_case(success_of_another_request)]
#[test_case(success_that_is_no_event_stream)]
#[test_case(empty_success_that_is_no_event_stream)]
#[test_case(half_a_head)]
#[test_case(half_a_success_head)]
#[test_case(head_within_the_stream)]
#[test_case(close_within_an_event)]
fn error_of_the_next_target_is_not_part_of_the_stream(second: fn(&mut RawExchange)) {
    deck_net::runtime::run(async {
        let complete: String = (1..=EVENT_COUNT).map(event).collect();
        assert_eq!(receive(&start_targets(second, false)).await, (complete.clone(), true));
        // Without a target that resumes the stream, only whole events and no proper end.
        let (text, is_complete) = receive(&start_targets(second, true)).await;
        assert!(!is_complete, "{text:?}");
        assert!(complete.starts_with(&text) && text.ends_with("\n\n"), "{text:?}");
    })
    .expect("runtime");
}
