//! Malformed, slow and endless requests over raw sockets: each must get an error or a closed
//! connection, in bounded memory.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use common::{Deployment, Entry, ORGANISATION, StandIn};
use deck_testkit::{EVENT_WAIT_TIMEOUT, eventually};
use test_case::test_case;

const LIMITS: &str = "max_connections = 20\nhead_timeout_ms = 700\nbody_timeout_ms = 700\n\
    write_timeout_ms = 700\n\
    max_body_bytes = 100000\nmax_total_body_bytes = 400000";

fn run_test<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Starts an entry VM and a service. All three return values must live as long as the test.
async fn start_deployment() -> (Deployment, Entry, StandIn) {
    let deployment = Deployment::start();
    let service = deployment.start_stand_in("service", &[]);
    deployment.put_shares(&["booking"]).await;
    deployment.put_service_pool("booking", &[service.address]).await;
    let entry = deployment.start_entry("e1", &[], LIMITS).await;
    deployment.wait_until_served(&entry, "booking").await;
    (deployment, entry, service)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(EVENT_WAIT_TIMEOUT)).expect("timeout");
    stream
}

/// Reads until the server closes the connection.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut buffer = [0_u8; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Sends `chunks` until the server stops accepting them, and returns what the server sent before it
/// closed the connection.
fn send_raw(address: SocketAddr, chunks: impl IntoIterator<Item = Vec<u8>>) -> String {
    let mut stream = connect(address);
    for chunk in chunks {
        if stream.write_all(&chunk).is_err() {
            break;
        }
    }
    read_to_end(&mut stream)
}

fn request_head(headers: &str) -> Vec<u8> {
    format!("POST /services/booking/query HTTP/1.1\r\nHost: a\r\nX-Organisation: {ORGANISATION}\r\n{headers}\r\n")
        .into_bytes()
}

const LENGTH_AND_ENCODING: &str = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
const ENCODING_AND_LENGTH: &str = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n";

/// Guards against request smuggling: requests that the entry VM and the target parse differently.
#[test_case(LENGTH_AND_ENCODING, b"0\r\n\r\n", "400", "content-length"; "length and encoding")]
#[test_case(ENCODING_AND_LENGTH, b"0\r\n\r\n", "400", "content-length"; "encoding and length")]
#[test_case("Content-Length: 5\r\nContent-Length: 6\r\n", b"hello", "400", ""; "two lengths")]
#[test_case("Content-Length: -5\r\n", b"hello", "400", ""; "negative length")]
#[test_case("Content-Length: 99999999999999999999\r\n", b"hello", "400", ""; "length out of range")]
#[test_case("Transfer-Encoding: gzip\r\n", b"hello", "400", ""; "unknown encoding")]
#[test_case("Transfer-Encoding: chunked\r\n", b"zz\r\n", "400", "bad_request"; "bad chunk size")]
#[test_case("Content-Length: 200000\r\n", b"hello", "413", "body_too_large"; "declared too large")]
#[test_case("Content-Length: 10\r\n", b"hello", "408", "request_timeout"; "slow body")]
fn malformed_request_gets_an_error_and_the_connection_closes(
    headers: &str,
    body: &[u8],
    status: &str,
    code: &str,
) {
    run_test(async {
        let (_deployment, entry, _service) = start_deployment().await;
        let response = send_raw(entry.caller, [request_head(headers), body.to_vec()]);
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
        assert!(response.contains(code), "{response}");
        assert_eq!(response.matches("HTTP/1.1").count(), 1, "one response: {response}");
    });
}

/// Guards against an error response for the wrong request of a connection.
#[test]
fn ambiguous_request_after_a_proper_one_is_refused() {
    run_test(async {
        let (_deployment, entry, _service) = start_deployment().await;
        let mut valid = request_head("Content-Length: 2\r\n");
        valid.extend_from_slice(b"ok");
        let response = send_raw(
            entry.caller,
            [valid, request_head(ENCODING_AND_LENGTH), b"0\r\n\r\n".to_vec()],
        );
        let statuses: Vec<_> =
            response.match_indices("HTTP/1.1 ").map(|(at, _)| &response[at + 9..at + 12]).collect();
        assert_eq!(statuses, ["200", "400"], "{response}");
    });
}

/// Guards against unbounded memory for heads and bodies that never end.
#[test]
fn endless_heads_and_bodies_are_cut() {
    run_test(async {
        let (_deployment, entry, _service) = start_deployment().await;
        let header = format!("X-Filler: {}\r\n", "x".repeat(1000)).into_bytes();
        let start = b"GET /services/booking/query HTTP/1.1\r\n".to_vec();
        let endless = std::iter::once(start).chain(std::iter::repeat_n(header, 10_000));
        let response = send_raw(entry.caller, endless);
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");

        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000)).into_bytes();
        let start = request_head("Transfer-Encoding: chunked\r\n");
        let endless = std::iter::once(start).chain(std::iter::repeat_n(chunk, 20_000));
        let response = send_raw(entry.caller, endless);
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 413"), "{response}");

        let mut large = request_head("Transfer-Encoding: chunked\r\n");
        for _ in 0..30 {
            large.extend_from_slice(format!("1000\r\n{}\r\n", "x".repeat(0x1000)).as_bytes());
        }
        large.extend_from_slice(b"0\r\n\r\n");
        let response = send_raw(entry.caller, [large]);
        assert!(
            response.starts_with("HTTP/1.1 413") && response.contains("body_too_large"),
            "{response}"
        );
    });
}

/// Guards against an incomplete head that holds its connection forever.
#[test]
fn slow_head_is_cut() {
    run_test(async {
        let (_deployment, entry, _service) = start_deployment().await;
        let mut stream = connect(entry.caller);
        stream.write_all(b"GET /services/booking/query HTTP/1.1\r\nX-Slow: ").expect("write");
        read_to_end(&mut stream);
    });
}

/// Guards against forwarding a header value that is not text and that the target may parse
/// differently.
#[test]
fn header_that_is_not_text_is_refused_by_name() {
    run_test(async {
        let (_deployment, entry, _service) = start_deployment().await;
        let mut request = b"GET /services/booking/query HTTP/1.1\r\nHost: a\r\nX-Odd: \xff\xfe\r\n\
            Connection: close\r\n\r\n"
            .to_vec();
        let response = send_raw(entry.caller, [std::mem::take(&mut request)]);
        assert!(response.starts_with("HTTP/1.1 400") && response.contains("x-odd"), "{response}");
    });
}

/// Guards against a few callers that hold all connections or all memory for bodies forever.
#[test]
fn connections_and_body_memory_are_bounded_and_come_back() {
    run_test(async {
        let (deployment, entry, _service) = start_deployment().await;
        // Each connection holds 90 kB of body; the memory for bodies holds four of them.
        let mut streams: Vec<TcpStream> = Vec::new();
        for _ in 0..10 {
            let mut stream = connect(entry.caller);
            stream.write_all(&request_head("Content-Length: 95000\r\n")).expect("write");
            let _ = stream.write_all(&vec![b'x'; 90_000]);
            streams.push(stream);
        }
        let responses: Vec<_> = streams.iter_mut().map(read_to_end).collect();
        let overloaded =
            responses.iter().filter(|response| response.contains("overloaded")).count();
        let timed_out =
            responses.iter().filter(|response| response.contains("request_timeout")).count();
        assert!(overloaded >= 5 && timed_out >= 1, "{overloaded} {timed_out}");

        // Connections of the test's own client count against `max_connections` as well.
        let idle_streams: Vec<_> = (0..25).map(|_| connect(entry.caller)).collect();
        let mut refused = 0;
        for mut stream in idle_streams {
            stream.set_read_timeout(Some(Duration::from_millis(100))).expect("timeout");
            let mut response = [0_u8; 12];
            if stream.read(&mut response).is_ok_and(|count| &response[..count] == b"HTTP/1.1 503") {
                refused += 1;
            }
        }
        assert!(refused >= 5, "{refused} of 25 refused");
        deployment.wait_until_served(&entry, "booking").await;
    });
}

/// Guards against callers that stop reading and hold their connection and memory forever.
#[test]
fn caller_that_stops_reading_is_cut() {
    const REQUESTS: usize = 300;
    const BODY_BYTES: usize = 90_000;
    run_test(async {
        let (deployment, entry, _service) = start_deployment().await;
        let mut stream = connect(entry.caller);
        let mut sender = stream.try_clone().expect("clone");
        let sending = std::thread::spawn(move || {
            let mut request = request_head(&format!("Content-Length: {BODY_BYTES}\r\n"));
            request.extend(std::iter::repeat_n(b'x', BODY_BYTES));
            // Ends with an error when the server closes the connection.
            (0..REQUESTS).all(|_| sender.write_all(&request).is_ok())
        });
        eventually("the request ends", async || {
            let metrics = deployment.metrics(&entry).await;
            metrics.contains("deckentry_requests_in_flight 0") && sending.is_finished()
        })
        .await;
        let response = read_to_end(&mut stream);
        let responses = response.matches("HTTP/1.1 200").count();
        assert!(responses < REQUESTS, "all responses were sent to a caller that did not read");
        sending.join().expect("sender");
        deployment.wait_until_served(&entry, "booking").await;
    });
}
