//! Client whose open connections fall silent for good while new connections work.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_net::{
    Body, Client, ClientOptions, ServerOptions, TcpKeepaliveOptions, bind, http::Request,
    server::text_response,
};
use futures_util::future::join_all;
use test_case::test_case;

mod common;

use common::SilencingProxy;

/// Time after which a node works normally again after all of its open connections were lost.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Timeout of one call, as of a call on the object API.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Duration of a request to `/slow`.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// Interval between the openings of connections; all are opened before the first one is idle.
const OPENING_INTERVAL: Duration = Duration::from_millis(10);
const IDLE_CONNECTIONS: usize = 16;

/// Starts a server that responds to `/slow` after [`SLOW_RESPONSE_TIME`], never to `/never`, and at
/// once to other paths.
fn start_server() -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let drain = CancellationToken::new();
    let serve = deck_net::serve(listener, ServerOptions::default(), drain, |request| async move {
        match request.uri().path() {
            "/slow" => monoio::time::sleep(SLOW_RESPONSE_TIME).await,
            "/never" => std::future::pending().await,
            _ => {}
        }
        text_response(200, "ok")
    });
    monoio::spawn(serve);
    address
}

fn client(tcp_keepalive: Option<TcpKeepaliveOptions>) -> Client {
    Client::new(ClientOptions { max_idle_per_address: 64, tcp_keepalive, ..Default::default() })
}

fn keep_alive_probes() -> TcpKeepaliveOptions {
    TcpKeepaliveOptions { interval: Duration::from_secs(1), count: 2 }
}

async fn call(client: &Client, address: SocketAddr, path: &str) -> bool {
    let request = Request::builder().uri(path).body(Body::empty()).expect("request");
    client.call(address, request, CALL_TIMEOUT, 1000).await.is_ok()
}

/// Opens [`IDLE_CONNECTIONS`] connections, which become idle in the order in which they were opened.
async fn open_idle_connections(client: &Client, address: SocketAddr) {
    let calls = (0..IDLE_CONNECTIONS as u32).map(|index| async move {
        monoio::time::sleep(OPENING_INTERVAL * index).await;
        call(client, address, "/slow").await
    });
    assert!(join_all(calls).await.into_iter().all(|succeeded| succeeded));
    monoio::time::sleep(Duration::from_millis(20)).await;
}

/// Makes one call after the other until one succeeds; returns how many failed and how long it took.
async fn calls_until_success(client: &Client, address: SocketAddr) -> (usize, Duration) {
    let (started_at, mut failed_calls) = (Instant::now(), 0);
    while !call(client, address, "/").await {
        failed_calls += 1;
    }
    (failed_calls, started_at.elapsed())
}

/// Guards against calls that time out one after the other, each on another connection of a pool
/// that has fallen silent.
#[test_case(None; "without keep-alive probes")]
#[test_case(Some(keep_alive_probes()); "with keep-alive probes")]
fn calls_succeed_again_after_all_idle_connections_fell_silent(
    tcp_keepalive: Option<TcpKeepaliveOptions>,
) {
    deck_net::runtime::run(async move {
        let proxy = SilencingProxy::start(start_server());
        let client = client(tcp_keepalive);
        open_idle_connections(&client, proxy.address).await;
        proxy.silence_open_connections();
        let (failed_calls, time) = calls_until_success(&client, proxy.address).await;
        assert!(time <= RECOVERY_TIME, "{failed_calls} calls failed in {time:?}");
    })
    .expect("runtime");
}

/// Guards against a slow response that makes the client replace all of its connections: they are
/// priced, and servers limit their number.
#[test]
fn connections_are_kept_while_others_to_the_server_work() {
    deck_net::runtime::run(async {
        let proxy = SilencingProxy::start(start_server());
        let client = client(None);
        open_idle_connections(&client, proxy.address).await;
        let other_calls = async {
            // The longest idle connection is in use by the call without a response, these calls use
            // the next ones.
            for _ in 0..3 {
                monoio::time::sleep(CALL_TIMEOUT / 4).await;
                assert!(call(&client, proxy.address, "/").await);
            }
        };
        let (is_answered, ()) =
            futures_util::future::join(call(&client, proxy.address, "/never"), other_calls).await;
        assert!(!is_answered);
        // The call that timed out has closed its own connection.
        let calls = (1..IDLE_CONNECTIONS).map(|_| call(&client, proxy.address, "/slow"));
        assert!(join_all(calls).await.into_iter().all(|succeeded| succeeded));
        let new_connections = proxy.accepted_connections() - IDLE_CONNECTIONS;
        assert!(new_connections <= IDLE_CONNECTIONS / 4, "{new_connections} new connections");
    })
    .expect("runtime");
}
