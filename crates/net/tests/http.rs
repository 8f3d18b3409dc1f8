//! HTTP server and client together, and the server with malformed requests.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    time::Duration,
};

use deck_core::CancellationToken;
use deck_net::{
    Body, Client, ServerOptions, bind,
    http::{Method, Request, Response},
    server::{json_response, read_body, text_response},
    sse::{self, EventReader},
};
use deck_obs::metrics::Metrics;
use test_case::test_case;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a server that streams events on `/events`, a truncated stream on `/cut`, responds late on
/// `/slow`, and echoes the body on all other paths.
fn start_server(drain: &CancellationToken) -> (SocketAddr, impl Future<Output = ()> + use<>) {
    let listener = bind(loopback()).expect("bind");
    let address = listener.local_addr().expect("address");
    let server = monoio::spawn(deck_net::serve(
        listener,
        ServerOptions { head_timeout: Duration::from_millis(300), ..ServerOptions::default() },
        drain.clone(),
        |request| async move {
            match request.uri().path() {
                "/events" => stream_events(true),
                "/cut" => stream_events(false),
                "/slow" => {
                    monoio::time::sleep(Duration::from_millis(200)).await;
                    text_response(200, "slow")
                }
                _ => match read_body(request.into_body(), 1000).await {
                    Ok(body) => json_response(200, &String::from_utf8_lossy(&body)),
                    Err(error) => text_response(413, &error.to_string()),
                },
            }
        },
    ));
    (address, server)
}

fn stream_events(complete: bool) -> Response<Body> {
    let (sender, response) = sse::event_stream_response();
    monoio::spawn(async move {
        for number in 0..3 {
            let _ = sender.send(sse::encode(Some("tick"), &number.to_string())).await;
        }
        if complete {
            sender.finish().await;
        }
    });
    response
}

fn get(path: &str) -> Request<Body> {
    Request::builder().uri(path).body(Body::empty()).expect("request")
}

#[test]
fn json_round_trip_reuses_the_connection() {
    deck_net::runtime::run(async {
        let (address, _server) = start_server(&CancellationToken::new());
        let client = Client::default();
        for _ in 0..3 {
            let (status, body): (_, String) =
                client.json(Method::POST, address, "/", Some(&7)).await.expect("response");
            assert_eq!((status.as_u16(), body.as_str()), (200, "7"));
        }
    })
    .expect("runtime");
}

#[test]
fn complete_stream_is_read_and_truncated_stream_is_an_error() {
    deck_net::runtime::run(async {
        let (address, _server) = start_server(&CancellationToken::new());
        let client = Client::default();
        let mut events =
            EventReader::new(client.send(address, get("/events")).await.expect("response"));
        for number in 0..3 {
            let event = events.next().await.expect("event").expect("not the end");
            assert_eq!((event.event_type.as_str(), event.data), ("tick", number.to_string()));
        }
        assert!(events.next().await.expect("complete stream").is_none());

        let mut truncated_events =
            EventReader::new(client.send(address, get("/cut")).await.expect("response"));
        let outcome = loop {
            match truncated_events.next().await {
                Ok(Some(_)) => {}
                end_or_error => break end_or_error,
            }
        };
        assert!(outcome.is_err(), "a truncated stream must not look complete");
    })
    .expect("runtime");
}

#[test]
fn drain_finishes_requests_in_flight() {
    deck_net::runtime::run(async {
        let drain = CancellationToken::new();
        let (address, server) = start_server(&drain);
        let client = Client::default();
        let call = client.send(address, get("/slow"));
        let start_drain = async {
            monoio::time::sleep(Duration::from_millis(50)).await;
            drain.cancel();
        };
        let (response, ()) = futures_util::future::join(call, start_drain).await;
        let body = response.expect("response").collect(100).await.expect("whole body");
        assert_eq!(&body[..], b"slow");
        server.await;
        let connect_error =
            client.send_on_new_connection(address, get("/")).await.err().expect("no listener");
        assert!(!connect_error.may_have_been_sent());
    })
    .expect("runtime");
}

#[test_case(b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "400"; "two lengths")]
#[test_case(b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"; "negative length")]
#[test_case(b"garbage\r\n\r\n", "400"; "garbage")]
fn malformed_heads_are_refused(request: &'static [u8], status: &str) {
    assert_eq!(raw_exchange(request).get(9..12), Some(status));
}

#[test]
fn endless_head_is_refused() {
    let mut request = b"GET / HTTP/1.1\r\nx: ".to_vec();
    request.resize(1_000_000, b'a');
    assert_eq!(raw_exchange(&request).get(9..12), Some("431"));
}

#[test]
fn slow_head_ends_the_connection() {
    // The client sends an incomplete head and waits: the server has to close the connection.
    assert!(!raw_exchange(b"GET / HT").starts_with("HTTP/1.1 200"));
}

/// Sends raw bytes from a separate thread and returns everything that the server sends.
fn raw_exchange(request: &[u8]) -> String {
    let request = request.to_vec();
    deck_net::runtime::run(async move {
        let drain = CancellationToken::new();
        let (address, _server) = start_server(&drain);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).expect("connect");
            stream.set_read_timeout(Some(Duration::from_secs(30))).expect("timeout");
            let _ = stream.write_all(&request);
            let mut answer = Vec::new();
            let mut buffer = [0_u8; 4096];
            while let Ok(count @ 1..) = stream.read(&mut buffer) {
                answer.extend_from_slice(&buffer[..count]);
            }
            let _ = sender.send(String::from_utf8_lossy(&answer).into_owned());
        });
        receiver.await.expect("answer")
    })
    .expect("runtime")
}

/// Guards against a request without a response because the server began to drain after the
/// connection was established and before the request arrived.
#[test]
fn first_request_of_a_connection_is_answered_after_drain_starts() {
    deck_net::runtime::run(async {
        use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
        let drain = CancellationToken::new();
        let (address, server) = start_server(&drain);
        let mut stream = monoio::net::TcpStream::connect(address).await.expect("connect");
        monoio::time::sleep(Duration::from_millis(50)).await;
        drain.cancel();
        monoio::time::sleep(Duration::from_millis(50)).await;
        let request = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_vec();
        stream.write_all(request).await.0.expect("write");
        let (count, answer) = stream.read(vec![0_u8; 1024]).await;
        let answer = String::from_utf8_lossy(&answer[..count.expect("read")]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        server.await;
    })
    .expect("runtime");
}

/// Guards against a request without a response that arrives on a kept connection just before the
/// server begins to drain, and has not been read by then, or shortly after.
#[test_case(Duration::ZERO; "before the drain")]
#[test_case(Duration::from_millis(50); "after the drain began")]
fn request_on_a_kept_connection_is_answered_when_drain_starts(delay: Duration) {
    deck_net::runtime::run(async {
        let drain = CancellationToken::new();
        let (address, server) = start_server(&drain);
        // Calls on this stream do not let the server run, so it reads no request before the drain.
        let mut stream = std::net::TcpStream::connect(address).expect("connect");
        let request = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
        let mut buffer = [0_u8; 1024];
        stream.write_all(request).expect("write");
        monoio::time::sleep(Duration::from_millis(50)).await;
        stream.set_nonblocking(true).expect("non-blocking");
        let count = stream.read(&mut buffer).expect("first answer");
        assert!(buffer[..count].starts_with(b"HTTP/1.1 200"));
        if delay.is_zero() {
            stream.write_all(request).expect("write");
            drain.cancel();
        } else {
            drain.cancel();
            monoio::time::sleep(delay).await;
            stream.write_all(request).expect("write");
        }
        monoio::time::sleep(Duration::from_millis(100)).await;
        let count = stream.read(&mut buffer).expect("second answer");
        let answer = String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase();
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
        server.await;
    })
    .expect("runtime");
}

#[test]
fn admin_endpoints_answer() {
    deck_net::runtime::run(async {
        let metrics = Metrics::default();
        metrics.meter("test").u64_counter("calls_total").build().add(3, &[]);
        let readiness = deck_net::admin::Readiness::new("starting");
        let listener = bind(loopback()).expect("bind");
        let address = listener.local_addr().expect("address");
        let cancel = CancellationToken::new();
        monoio::spawn(deck_net::admin::serve(listener, metrics, readiness.clone(), cancel));
        let client = Client::default();
        let readiness_response = client.send(address, get("/readyz")).await.expect("response");
        assert_eq!(readiness_response.status, 503);
        assert_eq!(&readiness_response.collect(100).await.expect("body")[..], b"starting\n");
        readiness.set_ready();
        assert_eq!(client.send(address, get("/readyz")).await.expect("response").status, 200);
        let metrics = client.send(address, get("/metrics")).await.expect("response");
        let text = metrics.collect(10_000).await.expect("body");
        assert!(String::from_utf8_lossy(&text).contains("calls_total 3"));
    })
    .expect("runtime");
}

#[test]
fn runtime_does_not_use_io_uring() {
    deck_net::runtime::run(async {
        monoio::time::sleep(Duration::from_millis(1)).await;
        for entry in std::fs::read_dir("/proc/self/fd").expect("own descriptors").flatten() {
            let link = std::fs::read_link(entry.path()).unwrap_or_default();
            assert!(
                !link.to_string_lossy().contains("io_uring"),
                "{link:?} is an io_uring descriptor"
            );
        }
    })
    .expect("runtime");
}
