//! Non-streaming requests to targets that send an endless response or stall.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_fleet::RouteKind;
use deck_forward::{CrashGuard, ReplyBody};
use deck_testkit::{
    eventually,
    raw::{RawExchange, RawServer},
};
use http::StatusCode;
use test_case::test_case;

mod common;

/// Time from the start of a request to its deadline.
const TIME_TO_DEADLINE: Duration = Duration::from_millis(800);
/// Limit on the bytes of an endless response that a node reads: the body bytes that it buffers to
/// forward, its network buffers and those of the connection.
const MAX_UNCONSUMED_BYTES: u64 = 24 * 1024 * 1024;

/// Returns a status line with the signing headers of the request and further header lines.
fn head(call: &RawExchange, status: &str, further_lines: &str) -> String {
    let id = call.header("request-id").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n{further_lines}")
}

fn complete_response(call: &mut RawExchange) {
    let head = head(call, "200 OK", "Content-Length: 5\r\nConnection: close\r\n\r\nwhole");
    call.write(&head);
}

fn endless_head(call: &mut RawExchange) {
    let head = head(call, "200 OK", "");
    call.write(&head);
    call.write_endless_response("X-More: and more of it\r\n", Duration::ZERO);
}

fn endless_head_line(call: &mut RawExchange) {
    call.write_endless_response(&"x".repeat(10_000), Duration::ZERO);
}

fn endless_informational_responses(call: &mut RawExchange) {
    call.write_endless_response("HTTP/1.1 100 Continue\r\n\r\n", Duration::ZERO);
}

fn endless_unsigned_body(call: &mut RawExchange) {
    call.write("HTTP/1.1 200 OK\r\n\r\n");
    call.write_endless_response(&"x".repeat(10_000), Duration::ZERO);
}

fn endless_refusal(call: &mut RawExchange) {
    let head = head(call, "503 Service Unavailable", "Not-Executed: 1\r\n\r\n");
    call.write(&head);
    call.write_endless_response(&"x".repeat(10_000), Duration::ZERO);
}

fn slow_endless_refusal(call: &mut RawExchange) {
    let head = head(call, "503 Service Unavailable", "Not-Executed: 1\r\n\r\n");
    call.write(&head);
    call.write_endless_response("x", Duration::from_millis(50));
}

fn endless_body(call: &mut RawExchange) {
    let head = head(call, "200 OK", "\r\n");
    call.write(&head);
    call.write_endless_response(&"x".repeat(10_000), Duration::ZERO);
}

/// Guards against a request that fails because one target's response never ends, against memory that
/// grows with such a response, and against a retry that waits for the end of a refusal's body.
#[test_case(endless_head)]
#[test_case(endless_head_line)]
#[test_case(endless_informational_responses)]
#[test_case(endless_unsigned_body)]
#[test_case(endless_refusal)]
#[test_case(slow_endless_refusal)]
fn request_is_retried_at_another_target(script: fn(&mut RawExchange)) {
    deck_net::runtime::run(async {
        let (faulty, healthy) = (RawServer::start(script), RawServer::start(complete_response));
        let targets = vec![common::target(0, faulty.address), common::target(1, healthy.address)];
        let forwarder = common::forwarder(targets, CrashGuard::default());
        // Repeated so that each of the two targets is chosen first at some point.
        for _ in 0..6 {
            let call = common::call(common::route(RouteKind::Idempotent), "body", TIME_TO_DEADLINE);
            let started_at = Instant::now();
            let reply = forwarder.forward(call).await.expect("a reply");
            assert_eq!(reply.status, StatusCode::OK);
            assert!(matches!(reply.body, ReplyBody::Buffered(body) if body == "whole"));
            assert!(started_at.elapsed() < TIME_TO_DEADLINE, "{:?}", started_at.elapsed());
        }
        eventually("the connections are closed", async || faulty.open_endless_responses() == 0)
            .await;
        let (bytes, requests) =
            (faulty.endless_response_bytes(), faulty.request_count().max(1) as u64);
        assert!(bytes / requests < MAX_UNCONSUMED_BYTES, "{bytes} bytes in {requests} requests");
    })
    .expect("runtime");
}

/// Guards against memory that grows with a response until the deadline when the caller reads nothing.
#[test]
fn endless_response_is_streamed_with_backpressure() {
    deck_net::runtime::run(async {
        let server = RawServer::start(endless_body);
        let targets = vec![common::target(0, server.address)];
        let forwarder = common::forwarder(targets, CrashGuard::default());
        let call = common::call(common::route(RouteKind::NonIdempotent), "body", TIME_TO_DEADLINE);
        let reply = Rc::new(forwarder.forward(call).await.expect("a reply"));
        assert!(matches!(reply.body, ReplyBody::Streaming(_)));
        // The caller reads nothing.
        monoio::time::sleep(Duration::from_millis(500)).await;
        assert!(
            server.endless_response_bytes() < MAX_UNCONSUMED_BYTES,
            "{}",
            server.endless_response_bytes()
        );
        drop(reply);
        eventually("the connection is closed", async || server.open_endless_responses() == 0).await;
    })
    .expect("runtime");
}
