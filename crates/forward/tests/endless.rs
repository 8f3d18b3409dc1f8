//! Plain requests to targets that send bytes without end or stall.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_fleet::RouteKind;
use deck_forward::{CrashGuard, ReplyBody};
use deck_testkit::{
    eventually,
    raw::{RawCall, RawServer},
};
use http::StatusCode;
use test_case::test_case;

mod common;

/// Time for which a caller waits.
const WAIT: Duration = Duration::from_millis(800);
/// Bytes that a node may take of an answer without end: what it receives whole, its buffers and those
/// of the connection.
const MAX_ENDLESS_BYTES: u64 = 24 * 1024 * 1024;

fn head(call: &RawCall, status: &str, more: &str) -> String {
    let id = call.header("request-id").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n{more}")
}

fn sound(call: &mut RawCall) {
    let head = head(call, "200 OK", "Content-Length: 5\r\nConnection: close\r\n\r\nwhole");
    call.write(&head);
}

fn endless_head(call: &mut RawCall) {
    let head = head(call, "200 OK", "");
    call.write(&head);
    call.write_without_end("X-More: and more of it\r\n", Duration::ZERO);
}

fn endless_head_line(call: &mut RawCall) {
    call.write_without_end(&"x".repeat(10_000), Duration::ZERO);
}

fn endless_informational_answers(call: &mut RawCall) {
    call.write_without_end("HTTP/1.1 100 Continue\r\n\r\n", Duration::ZERO);
}

fn endless_unsigned_body(call: &mut RawCall) {
    call.write("HTTP/1.1 200 OK\r\n\r\n");
    call.write_without_end(&"x".repeat(10_000), Duration::ZERO);
}

fn endless_refusal(call: &mut RawCall) {
    let head = head(call, "503 Service Unavailable", "Not-Executed: 1\r\n\r\n");
    call.write(&head);
    call.write_without_end(&"x".repeat(10_000), Duration::ZERO);
}

fn dripping_refusal(call: &mut RawCall) {
    let head = head(call, "503 Service Unavailable", "Not-Executed: 1\r\n\r\n");
    call.write(&head);
    call.write_without_end("x", Duration::from_millis(50));
}

fn endless_body(call: &mut RawCall) {
    let head = head(call, "200 OK", "\r\n");
    call.write(&head);
    call.write_without_end(&"x".repeat(10_000), Duration::ZERO);
}

/// Guards against a request that is lost with a target whose answer never ends, against memory that
/// grows with it, and against a refused request that waits for the end of the refusal.
#[test_case(endless_head)]
#[test_case(endless_head_line)]
#[test_case(endless_informational_answers)]
#[test_case(endless_unsigned_body)]
#[test_case(endless_refusal)]
#[test_case(dripping_refusal)]
fn request_is_answered_by_another_target(script: fn(&mut RawCall)) {
    deck_net::runtime::run(async {
        let (wrong, right) = (RawServer::start(script), RawServer::start(sound));
        let targets = vec![common::target(0, wrong.address), common::target(1, right.address)];
        let forwarder = common::forwarder(targets, CrashGuard::default());
        // Both targets are asked first at some time.
        for _ in 0..6 {
            let call = common::call(common::route(RouteKind::Idempotent), "body", WAIT);
            let started = Instant::now();
            let reply = forwarder.forward(call).await.expect("an answer");
            assert_eq!(reply.status, StatusCode::OK);
            assert!(matches!(reply.body, ReplyBody::Whole(body) if body == "whole"));
            assert!(started.elapsed() < WAIT, "{:?}", started.elapsed());
        }
        eventually("the connections are closed", async || wrong.open_endless() == 0).await;
        let (bytes, requests) = (wrong.endless_bytes(), wrong.requests().max(1) as u64);
        assert!(bytes / requests < MAX_ENDLESS_BYTES, "{bytes} in {requests}");
    })
    .expect("runtime");
}

/// Guards against memory that grows with an answer until the caller's deadline.
#[test]
fn endless_answer_is_passed_on_as_its_caller_takes_it() {
    deck_net::runtime::run(async {
        let server = RawServer::start(endless_body);
        let targets = vec![common::target(0, server.address)];
        let forwarder = common::forwarder(targets, CrashGuard::default());
        let call = common::call(common::route(RouteKind::NonIdempotent), "body", WAIT);
        let reply = Rc::new(forwarder.forward(call).await.expect("an answer"));
        assert!(matches!(reply.body, ReplyBody::Stream(_)));
        // The caller takes nothing.
        monoio::time::sleep(Duration::from_millis(500)).await;
        assert!(server.endless_bytes() < MAX_ENDLESS_BYTES, "{}", server.endless_bytes());
        drop(reply);
        eventually("the connection is closed", async || server.open_endless() == 0).await;
    })
    .expect("runtime");
}
