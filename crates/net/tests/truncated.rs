//! Calls on servers that stop within their response, or whose complete response ends with its
//! connection: orders to engines, reports, and calls between nodes.

use std::time::Duration;

use deck_net::{
    Body, ChunkedCallLimits, Client,
    http::{Method, Request},
};
use deck_testkit::raw::RawServer;
use serde_json::Value;
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BYTES: usize = 1 << 20;
const LIMITS: ChunkedCallLimits =
    ChunkedCallLimits { head_timeout: TIMEOUT, chunk_timeout: TIMEOUT, max_body_bytes: MAX_BYTES };

fn request() -> Request<Body> {
    Request::builder().uri("/x").body(Body::empty()).expect("request")
}

/// Starts a server that writes `response` and closes the connection, or resets it.
fn start_server(response: &'static str, resets: bool) -> RawServer {
    RawServer::start(move |exchange| {
        exchange.write(response);
        if resets {
            // Leaves time to read the response before the reset discards it.
            std::thread::sleep(Duration::from_millis(20));
            exchange.reset();
        }
    })
}

/// Guards against a truncated response that counts as an accepted order, a report or the answer of
/// another node.
#[test_case("HTTP/1.1 202 Acc"; "in the status line")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Le"; "in a header line")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 1"; "in the length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"; "before the blank line")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"; "before the body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}"; "in the body")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; "before the first chunk")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n1"; "in a chunk size")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{}"; "in a chunk")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"; "before the last chunk")]
fn truncated_response_is_an_error(response: &'static str) {
    deck_net::runtime::run(async {
        for resets in [false, true] {
            assert_calls_fail(&start_server(response, resets)).await;
        }
    })
    .expect("runtime");
}

/// Guards against a response without a length that counts as complete after a reset.
/// MIXED in RULES.md: "one that is reset on the way isn't complete".
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}"; "coding that is not chunked")]
#[test_case("HTTP/1.1 202 Accepted\r\n\r\n"; "no length and no body")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n{}"; "no length")]
#[test_case("HTTP/1.0 200 OK\r\n\r\n{}"; "server of http 1 0")]
fn response_without_a_length_that_is_reset_is_an_error(response: &'static str) {
    deck_net::runtime::run(async { assert_calls_fail(&start_server(response, true)).await })
        .expect("runtime");
}

/// Asserts that each kind of call on `server` returns an error.
async fn assert_calls_fail(server: &RawServer) {
    let (address, client) = (server.address, Client::default());
    let called = client.call(address, request(), TIMEOUT, MAX_BYTES).await;
    assert!(called.is_err(), "{called:?}");
    let called = client.call_with_chunk_timeout(address, request(), LIMITS).await;
    assert!(called.is_err(), "{called:?}");
    let called = client.json::<(), Value>(Method::GET, address, "/x", None).await;
    assert!(called.is_err(), "{called:?}");
}

/// Guards against an accepted order, a report or the answer of another node that counts as truncated
/// because its end is an orderly close of its connection.
/// MIXED in RULES.md: "A server's answer may have no length and end with its connection".
#[test_case("HTTP/1.1 202 Accepted\r\n\r\n", ""; "no length and no body")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n{}", "{}"; "no length")]
#[test_case("HTTP/1.0 200 OK\r\n\r\n{}", "{}"; "server of http 1 0")]
fn response_that_ends_with_its_connection_is_complete(response: &'static str, body: &str) {
    deck_net::runtime::run(async {
        let server = start_server(response, false);
        let (address, client) = (server.address, Client::default());
        let called = client.call(address, request(), TIMEOUT, MAX_BYTES).await.expect("response");
        assert_eq!(called.body, body);
        let called = client.call_with_chunk_timeout(address, request(), LIMITS).await;
        assert_eq!(called.expect("response").body, body);
        if !body.is_empty() {
            let called = client.json::<(), Value>(Method::GET, address, "/x", None).await;
            assert_eq!(called.expect("response").1, serde_json::json!({}));
        }
    })
    .expect("runtime");
}

/// Guards against a complete response that is refused because it states no length.
#[test_case(Method::GET, "HTTP/1.1 204 No Content\r\n\r\n"; "no content")]
#[test_case(Method::HEAD, "HTTP/1.1 200 OK\r\n\r\n"; "response to HEAD")]
#[test_case(Method::GET, "HTTP/1.1 503 Service Unavailable\r\n\r\nfull"; "refusal")]
#[test_case(Method::GET, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "empty body with a length")]
fn response_that_needs_no_length_is_complete(method: Method, response: &'static str) {
    deck_net::runtime::run(async {
        let server = start_server(response, false);
        let mut request = request();
        *request.method_mut() = method;
        let called = Client::default().call(server.address, request, TIMEOUT, MAX_BYTES).await;
        assert!(called.is_ok(), "{called:?}");
    })
    .expect("runtime");
}
