//! Targets that stop within a response, in its head, in its body or between the parts of its body,
//! and targets whose complete response ends with its connection.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use deck_core::CancellationToken;

use deck_fleet::{Route, RouteKind};
use deck_forward::{CrashGuard, response_from_reply};
use deck_net::{
    Body, Client, ServerOptions, bind,
    http::{Method, Request, StatusCode},
};
use deck_testkit::raw::{RawExchange, RawServer};
use http_body_util::BodyExt;
use test_case::test_case;

mod common;

const TIME_TO_DEADLINE: Duration = Duration::from_secs(3);

/// Returns the part of a valid response up to `end`, with the request's id.
fn write_head(call: &mut RawExchange, status: &str, further_lines: &str) {
    let id = call.header("request-id").unwrap_or_default().to_owned();
    call.write(&format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n{further_lines}"
    ));
}

fn complete_response(call: &mut RawExchange) {
    write_head(call, "200 OK", "Connection: close\r\nContent-Length: 5\r\n\r\nwhole");
}

fn ends_in_the_status_line(call: &mut RawExchange) {
    call.write("HTTP/1.1 200 O");
}

fn ends_after_the_status_line(call: &mut RawExchange) {
    call.write("HTTP/1.1 200 OK\r\n");
}

fn ends_in_a_header_line(call: &mut RawExchange) {
    write_head(call, "200 OK", "Content-Le");
}

fn ends_in_the_content_length(call: &mut RawExchange) {
    write_head(call, "200 OK", "Content-Length: 1");
}

fn ends_before_the_blank_line(call: &mut RawExchange) {
    write_head(call, "200 OK", "Content-Length: 5\r\n");
}

fn ends_in_the_blank_line(call: &mut RawExchange) {
    write_head(call, "200 OK", "Content-Length: 0\r\n\r");
}

fn ends_before_the_body(call: &mut RawExchange) {
    write_head(call, "200 OK", "Content-Length: 5\r\n\r\n");
}

fn ends_in_the_body(call: &mut RawExchange) {
    write_head(call, "200 OK", "Content-Length: 5\r\n\r\nwho");
}

fn ends_before_the_first_chunk(call: &mut RawExchange) {
    write_head(call, "200 OK", "Transfer-Encoding: chunked\r\n\r\n");
}

fn ends_in_a_chunk_size(call: &mut RawExchange) {
    write_head(call, "200 OK", "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n1");
}

fn ends_in_a_chunk(call: &mut RawExchange) {
    write_head(call, "200 OK", "Transfer-Encoding: chunked\r\n\r\n5\r\nwho");
}

fn ends_before_the_last_chunk(call: &mut RawExchange) {
    write_head(call, "200 OK", "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n");
}

fn ends_in_the_last_chunk(call: &mut RawExchange) {
    write_head(call, "200 OK", "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n0\r\n");
}

/// Resets the connection instead of closing it, after the caller has read what was written: a reset
/// discards what has not been read.
fn reset(call: &mut RawExchange) {
    std::thread::sleep(Duration::from_millis(20));
    call.reset();
}

fn empty_body_without_a_length_is_reset(call: &mut RawExchange) {
    write_head(call, "200 OK", "\r\n");
    reset(call);
}

fn body_without_a_length_is_reset(call: &mut RawExchange) {
    write_head(call, "200 OK", "\r\nwho");
    reset(call);
}

fn body_of_an_http_1_0_server_is_reset(call: &mut RawExchange) {
    body_of_an_http_1_0_server(call);
    reset(call);
}

/// Returns the status, the body and whether the body ended properly; `None` if the caller receives
/// an error of this node instead of a target's response.
async fn forward(kind: RouteKind, targets: &[&RawServer]) -> Option<(StatusCode, String, bool)> {
    let targets = targets.iter().enumerate();
    let targets = targets.map(|(index, server)| common::target(index, server.address)).collect();
    let forwarder = common::forwarder(targets, CrashGuard::default());
    let route = Route { resumable: kind == RouteKind::Streaming, ..common::route(kind) };
    let reply = forwarder.forward(common::call(route, "body", TIME_TO_DEADLINE)).await.ok()?;
    let response = response_from_reply(reply, &Method::POST);
    let (status, mut body) = (response.status(), response.into_body());
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Some((status, text, false)) };
        let data = frame.into_data().unwrap_or_default();
        text.push_str(std::str::from_utf8(&data).expect("text"));
    }
    Some((status, text, true))
}

/// Guards against a response of a target that stopped within it and that the caller receives as a
/// complete one, and against an idempotent request that is not retried then.
#[test_case(ends_in_the_status_line)]
#[test_case(ends_after_the_status_line)]
#[test_case(ends_in_a_header_line)]
#[test_case(ends_in_the_content_length)]
#[test_case(ends_before_the_blank_line)]
#[test_case(ends_in_the_blank_line)]
#[test_case(ends_before_the_body)]
#[test_case(ends_in_the_body)]
#[test_case(ends_before_the_first_chunk)]
#[test_case(ends_in_a_chunk_size)]
#[test_case(ends_in_a_chunk)]
#[test_case(ends_before_the_last_chunk)]
#[test_case(ends_in_the_last_chunk)]
#[test_case(empty_body_without_a_length_is_reset)]
#[test_case(body_without_a_length_is_reset)]
#[test_case(body_of_an_http_1_0_server_is_reset)]
fn truncated_response_is_no_success(script: fn(&mut RawExchange)) {
    deck_net::runtime::run(async {
        let (faulty, healthy) = (RawServer::start(script), RawServer::start(complete_response));
        for kind in [RouteKind::NonIdempotent, RouteKind::Streaming] {
            let response = forward(kind, &[&faulty]).await;
            let is_success = matches!(&response, Some((status, _, true)) if status.is_success());
            assert!(!is_success, "{kind:?}: {response:?}");
        }
        // Repeated so that each of the two targets is chosen first at some point.
        for _ in 0..6 {
            let response = forward(RouteKind::Idempotent, &[&faulty, &healthy]).await;
            assert_eq!(response, Some((StatusCode::OK, "whole".to_owned(), true)));
        }
    })
    .expect("runtime");
}

/// Body of a complete response; an event, so that it is also a complete stream.
const WHOLE_BODY: &str = "data: whole\n\n";
/// Number of repetitions of [`WHOLE_BODY`] that exceed the size up to which a node buffers a body.
const LARGE_BODY_REPETITIONS: usize = 400_000;

fn empty_body_without_a_length(call: &mut RawExchange) {
    write_head(call, "200 OK", "\r\n");
}

fn body_without_a_length(call: &mut RawExchange) {
    write_head(call, "200 OK", &format!("\r\n{WHOLE_BODY}"));
}

fn large_body_without_a_length(call: &mut RawExchange) {
    write_head(call, "200 OK", "\r\n");
    call.write(&WHOLE_BODY.repeat(LARGE_BODY_REPETITIONS));
}

fn body_of_an_http_1_0_server(call: &mut RawExchange) {
    let id = call.header("request-id").unwrap_or_default().to_owned();
    call.write(&format!(
        "HTTP/1.0 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\r\n{WHOLE_BODY}"
    ));
}

/// Starts a node that forwards each request on `route` to `target`, and returns its address.
fn start_node(route: Route, target: SocketAddr, cancel: &CancellationToken) -> SocketAddr {
    let targets = vec![common::target(0, target)];
    let forwarder = Rc::new(common::forwarder(targets, CrashGuard::default()));
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let forward = move |_| {
        let (forwarder, route) = (forwarder.clone(), route.clone());
        async move {
            let call = common::call(route, "body", TIME_TO_DEADLINE);
            let reply = forwarder.forward(call).await.expect("reply");
            response_from_reply(reply, &Method::POST)
        }
    };
    let server = deck_net::serve(listener, ServerOptions::default(), cancel.clone(), forward);
    monoio::spawn(server);
    address
}

/// Guards against a complete response that is refused, cut or passed on without its signature
/// because its end is an orderly close of its connection.
/// MIXED in RULES.md: "A server's answer may have no length and end with its connection".
#[test_case(empty_body_without_a_length, "")]
#[test_case(body_without_a_length, WHOLE_BODY)]
#[test_case(large_body_without_a_length, &WHOLE_BODY.repeat(LARGE_BODY_REPETITIONS))]
#[test_case(body_of_an_http_1_0_server, WHOLE_BODY)]
fn response_that_ends_with_its_connection_is_passed_on_whole(
    script: fn(&mut RawExchange),
    body: &str,
) {
    deck_net::runtime::run(async {
        let routes = [
            common::route(RouteKind::Idempotent),
            common::route(RouteKind::NonIdempotent),
            common::route(RouteKind::Streaming),
            Route { resumable: true, ..common::route(RouteKind::Streaming) },
        ];
        for route in routes {
            let (kind, resumable) = (route.kind, route.resumable);
            let (target, cancel) = (RawServer::start(script), CancellationToken::new());
            let node = start_node(route, target.address, &cancel);
            let request = Request::builder().uri("/x").body(Body::empty()).expect("request");
            let client = Client::default();
            let call = client.call(node, request, TIME_TO_DEADLINE, usize::MAX);
            let response = call.await.expect("response");
            assert_eq!(response.status, StatusCode::OK, "{kind:?} {resumable}");
            assert!(response.body == body, "{kind:?} {resumable}: {} bytes", response.body.len());
            assert_eq!(response.headers["response-stamp"], "s", "{kind:?} {resumable}");
            // The caller sees the end of the body without an end of the connection.
            let has_length = response.headers.get("content-length").is_some();
            let is_chunked =
                response.headers.get("transfer-encoding").is_some_and(|value| value == "chunked");
            assert!(has_length || is_chunked, "{kind:?} {resumable}: {:?}", response.headers);
            assert_eq!(target.request_count(), 1, "{kind:?} {resumable}");
            cancel.cancel();
        }
    })
    .expect("runtime");
}

/// Number of events of a complete stream.
const EVENT_COUNT: u64 = 3;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: text {number}\n\n")
}

/// Guards against a stream without a length that counts as complete, or is not resumed, after a
/// reset between two of its events.
/// MIXED in RULES.md: "one that is reset on the way isn't complete".
#[test]
fn stream_without_a_length_goes_on_elsewhere_after_a_reset() {
    deck_net::runtime::run(async {
        let request_count = Arc::<AtomicUsize>::default();
        let targets = [(); 2].map(|()| {
            let request_count = request_count.clone();
            RawServer::start(move |call| {
                write_head(call, "200 OK", "Content-Type: text/event-stream\r\n\r\n");
                if request_count.fetch_add(1, Ordering::SeqCst) == 0 {
                    call.write(&(1..=2).map(event).collect::<String>());
                    reset(call);
                } else {
                    let last: u64 =
                        call.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                    call.write(&(last + 1..=EVENT_COUNT).map(event).collect::<String>());
                }
            })
        });
        let response = forward(RouteKind::Streaming, &[&targets[0], &targets[1]]).await;
        let text = (1..=EVENT_COUNT).map(event).collect();
        assert_eq!(response, Some((StatusCode::OK, text, true)));
        assert_eq!(request_count.load(Ordering::SeqCst), 2);
    })
    .expect("runtime");
}
