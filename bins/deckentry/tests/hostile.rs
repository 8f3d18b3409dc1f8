//! Hostile input over raw sockets: clear errors, closed connections, bounded memory.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use common::{Entry, ORGANISATION, Program, World};
use deck_testkit::{EVENT_WAIT_TIMEOUT, eventually};
use test_case::test_case;

const LIMITS: &str = "max_connections = 20\nhead_timeout_ms = 700\nbody_timeout_ms = 700\n\
    write_timeout_ms = 700\n\
    max_body_bytes = 100000\nmax_total_body_bytes = 400000";

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Returns the world, the entry and the service, which have to live as long as the test.
async fn world() -> (World, Entry, Program) {
    let world = World::start();
    let service = world.stand_in("service", &[]);
    world.put_shares(&["booking"]).await;
    world.put_services("booking", &[service.address]).await;
    let entry = world.entry("e1", &[], LIMITS).await;
    world.wait_service(&entry, "booking").await;
    (world, entry, service)
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

/// Sends bytes as far as the server takes them, and returns what it answered before it closed the
/// connection.
fn exchange(address: SocketAddr, pieces: impl IntoIterator<Item = Vec<u8>>) -> String {
    let mut stream = connect(address);
    for piece in pieces {
        if stream.write_all(&piece).is_err() {
            break;
        }
    }
    read_to_end(&mut stream)
}

fn head(lines: &str) -> Vec<u8> {
    format!("POST /services/booking/query HTTP/1.1\r\nHost: a\r\nX-Organisation: {ORGANISATION}\r\n{lines}\r\n")
        .into_bytes()
}

const BOTH: &str = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
const BOTH_REVERSED: &str = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n";

/// Guards against request smuggling and against requests that are read differently by the target.
#[test_case(BOTH, b"0\r\n\r\n", "400", "content-length"; "length and encoding")]
#[test_case(BOTH_REVERSED, b"0\r\n\r\n", "400", "content-length"; "encoding and length")]
#[test_case("Content-Length: 5\r\nContent-Length: 6\r\n", b"hello", "400", ""; "two lengths")]
#[test_case("Content-Length: -5\r\n", b"hello", "400", ""; "negative length")]
#[test_case("Content-Length: 99999999999999999999\r\n", b"hello", "400", ""; "length out of range")]
#[test_case("Transfer-Encoding: gzip\r\n", b"hello", "400", ""; "unknown encoding")]
#[test_case("Transfer-Encoding: chunked\r\n", b"zz\r\n", "400", "bad_request"; "bad chunk size")]
#[test_case("Content-Length: 200000\r\n", b"hello", "413", "body_too_large"; "declared too large")]
#[test_case("Content-Length: 10\r\n", b"hello", "408", "request_timeout"; "slow body")]
fn malformed_request_gets_an_error_and_the_connection_closes(
    lines: &str,
    body: &[u8],
    status: &str,
    code: &str,
) {
    run(async {
        let (_world, entry, _service) = world().await;
        let answer = exchange(entry.caller, [head(lines), body.to_vec()]);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        assert!(answer.contains(code), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "one answer: {answer}");
    });
}

/// Guards against an error for the wrong request on a connection with several.
#[test]
fn ambiguous_request_after_a_proper_one_is_refused() {
    run(async {
        let (_world, entry, _service) = world().await;
        let mut proper = head("Content-Length: 2\r\n");
        proper.extend_from_slice(b"ok");
        let answer = exchange(entry.caller, [proper, head(BOTH_REVERSED), b"0\r\n\r\n".to_vec()]);
        let statuses: Vec<_> =
            answer.match_indices("HTTP/1.1 ").map(|(at, _)| &answer[at + 9..at + 12]).collect();
        assert_eq!(statuses, ["200", "400"], "{answer}");
    });
}

/// Guards against memory without bound by heads and bodies that never end.
#[test]
fn endless_heads_and_bodies_are_cut() {
    run(async {
        let (_world, entry, _service) = world().await;
        let header = format!("X-Filler: {}\r\n", "x".repeat(1000)).into_bytes();
        let start = b"GET /services/booking/query HTTP/1.1\r\n".to_vec();
        let endless = std::iter::once(start).chain(std::iter::repeat_n(header, 10_000));
        let answer = exchange(entry.caller, endless);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");

        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000)).into_bytes();
        let start = head("Transfer-Encoding: chunked\r\n");
        let endless = std::iter::once(start).chain(std::iter::repeat_n(chunk, 20_000));
        let answer = exchange(entry.caller, endless);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 413"), "{answer}");

        let mut large = head("Transfer-Encoding: chunked\r\n");
        for _ in 0..30 {
            large.extend_from_slice(format!("1000\r\n{}\r\n", "x".repeat(0x1000)).as_bytes());
        }
        large.extend_from_slice(b"0\r\n\r\n");
        let answer = exchange(entry.caller, [large]);
        assert!(
            answer.starts_with("HTTP/1.1 413") && answer.contains("body_too_large"),
            "{answer}"
        );
    });
}

/// Guards against a head that is sent byte by byte and holds its connection for ever.
#[test]
fn slow_head_is_cut() {
    run(async {
        let (_world, entry, _service) = world().await;
        let mut stream = connect(entry.caller);
        stream.write_all(b"GET /services/booking/query HTTP/1.1\r\nX-Slow: ").expect("write");
        read_to_end(&mut stream);
    });
}

/// Guards against a call whose header is passed on in a form that the target reads differently.
#[test]
fn header_that_is_not_text_is_refused_by_name() {
    run(async {
        let (_world, entry, _service) = world().await;
        let mut request = b"GET /services/booking/query HTTP/1.1\r\nHost: a\r\nX-Odd: \xff\xfe\r\n\
            Connection: close\r\n\r\n"
            .to_vec();
        let answer = exchange(entry.caller, [std::mem::take(&mut request)]);
        assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("x-odd"), "{answer}");
    });
}

/// Guards against a few callers that take all connections or all memory for ever.
#[test]
fn connections_and_body_memory_are_bounded_and_come_back() {
    run(async {
        let (world, entry, _service) = world().await;
        // Each holds 90 kB of body; only four fit into the memory for bodies.
        let mut held: Vec<TcpStream> = Vec::new();
        for _ in 0..10 {
            let mut stream = connect(entry.caller);
            stream.write_all(&head("Content-Length: 95000\r\n")).expect("write");
            let _ = stream.write_all(&vec![b'x'; 90_000]);
            held.push(stream);
        }
        let answers: Vec<_> = held.iter_mut().map(read_to_end).collect();
        let overloaded = answers.iter().filter(|answer| answer.contains("overloaded")).count();
        let timed_out = answers.iter().filter(|answer| answer.contains("request_timeout")).count();
        assert!(overloaded >= 5 && timed_out >= 1, "{overloaded} {timed_out}");

        // Connections of the test's own client count as well.
        let idle: Vec<_> = (0..25).map(|_| connect(entry.caller)).collect();
        let mut refused = 0;
        for mut stream in idle {
            stream.set_read_timeout(Some(Duration::from_millis(100))).expect("timeout");
            let mut answer = [0_u8; 12];
            if stream.read(&mut answer).is_ok_and(|count| &answer[..count] == b"HTTP/1.1 503") {
                refused += 1;
            }
        }
        assert!(refused >= 5, "{refused} of 25 refused");
        world.wait_service(&entry, "booking").await;
    });
}

/// Guards against callers that stop reading and hold connection and memory for ever.
#[test]
fn caller_that_stops_reading_is_cut() {
    const REQUESTS: usize = 300;
    const BODY_BYTES: usize = 90_000;
    run(async {
        let (world, entry, _service) = world().await;
        let mut stream = connect(entry.caller);
        let mut sender = stream.try_clone().expect("clone");
        let sending = std::thread::spawn(move || {
            let mut request = head(&format!("Content-Length: {BODY_BYTES}\r\n"));
            request.extend(std::iter::repeat_n(b'x', BODY_BYTES));
            // Ends with an error when the server closes the connection.
            (0..REQUESTS).all(|_| sender.write_all(&request).is_ok())
        });
        eventually("the request ends", async || {
            let metrics = world.metrics(&entry).await;
            metrics.contains("deckentry_requests_in_flight 0") && sending.is_finished()
        })
        .await;
        let answer = read_to_end(&mut stream);
        let answers = answer.matches("HTTP/1.1 200").count();
        assert!(answers < REQUESTS, "all answers were sent to a caller that did not read");
        sending.join().expect("sender");
        world.wait_service(&entry, "booking").await;
    });
}
