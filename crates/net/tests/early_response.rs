//! Server that responds before it has read the whole request, and keeps the connection open.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use deck_net::{Body, Client, http::Request};

/// More than the socket buffers of both sides hold.
const LONG_BODY_BYTES: usize = 32 * 1024 * 1024;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a server that responds to each request after its head, and reads no bodies.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || respond_without_reading_bodies(&stream));
        }
    });
    address
}

fn respond_without_reading_bodies(mut stream: &TcpStream) {
    let mut head_lines = BufReader::new(stream).lines();
    while head_lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    thread::sleep(CALL_TIMEOUT * 3);
}

async fn call(client: &Client, address: SocketAddr, body: Body) -> bool {
    let request = Request::builder().method("POST").uri("/").body(body).expect("request");
    client.call(address, request, CALL_TIMEOUT, 1000).await.is_ok()
}

/// Guards against a request that waits on an idle connection until the server has read the body of
/// the previous request, which may never happen.
#[test]
fn connection_with_an_unfinished_request_body_is_not_reused() {
    deck_net::runtime::run(async {
        let address = start_server();
        let client = Client::default();
        assert!(call(&client, address, Body::full(vec![0; LONG_BODY_BYTES])).await);
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(call(&client, address, Body::empty()).await, "no answer to the next request");
    })
    .expect("runtime");
}
