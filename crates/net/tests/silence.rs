//! Client whose open connections fall silent for good while new connections work.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_net::{
    Body, Client, ClientOptions, ServerOptions, TcpKeepaliveOptions, bind, http::Request,
    server::text_response,
};
use futures_util::future::join_all;
use socket2::SockRef;
use test_case::test_case;

/// Time after which a node works normally again after all of its open connections were lost.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Timeout of one call, as of a call on the object API.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Duration of a request to `/slow`.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// Interval between the openings of connections; all are opened before the first one is idle.
const OPENING_INTERVAL: Duration = Duration::from_millis(10);
const IDLE_CONNECTIONS: usize = 16;

/// TCP proxy on loopback whose open connections can fall silent: they stay open, but nothing that
/// the client sends on them is forwarded or even acknowledged.
struct SilencingProxy {
    address: SocketAddr,
    accepted_connections: Arc<AtomicUsize>,
    /// Takes the channel on which the proxy reports that all open connections are silent.
    silence_requests: mpsc::Sender<mpsc::Sender<()>>,
}

/// Connection through a [`SilencingProxy`].
struct ProxiedConnection {
    client: TcpStream,
    is_silent: Arc<AtomicBool>,
}

impl SilencingProxy {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        listener.set_nonblocking(true).expect("listener");
        let address = listener.local_addr().expect("address");
        let (silence_requests, received_requests) = mpsc::channel::<mpsc::Sender<()>>();
        let accepted_connections = Arc::<AtomicUsize>::default();
        let accepted_in_thread = accepted_connections.clone();
        thread::spawn(move || {
            let mut connections: Vec<ProxiedConnection> = Vec::new();
            loop {
                match received_requests.recv_timeout(Duration::from_millis(2)) {
                    Ok(done) => {
                        connections.iter().for_each(ProxiedConnection::silence);
                        let _ = done.send(());
                    }
                    Err(mpsc::RecvTimeoutError::Timeout) => {}
                    Err(mpsc::RecvTimeoutError::Disconnected) => return,
                }
                while let Ok((client, _)) = listener.accept() {
                    client.set_nonblocking(false).expect("client");
                    accepted_in_thread.fetch_add(1, Ordering::SeqCst);
                    connections.push(ProxiedConnection::start(client, target));
                }
            }
        });
        Self { address, accepted_connections, silence_requests }
    }

    fn accepted_connections(&self) -> usize {
        self.accepted_connections.load(Ordering::SeqCst)
    }

    /// Silences all connections that are open now.
    fn silence_open_connections(&self) {
        let (done, is_done) = mpsc::channel();
        self.silence_requests.send(done).expect("the proxy runs");
        is_done.recv().expect("the proxy runs");
    }
}

impl ProxiedConnection {
    fn start(client: TcpStream, target: SocketAddr) -> Self {
        let is_silent = Arc::<AtomicBool>::default();
        let server = TcpStream::connect(target).expect("connect");
        let clone = |stream: &TcpStream| stream.try_clone().expect("clone");
        for (reader, writer) in [(clone(&client), clone(&server)), (clone(&server), clone(&client))]
        {
            let is_silent = is_silent.clone();
            thread::spawn(move || forward(reader, writer, &is_silent));
        }
        Self { client, is_silent }
    }

    /// Drops all packets that the client sends, so that neither data nor keep-alive probes are
    /// acknowledged, and no longer forwards what the server sends.
    fn silence(&self) {
        // The instruction "return 0" accepts no byte of any packet.
        let drop_all = libc::sock_filter { code: 0x06, jt: 0, jf: 0, k: 0 };
        SockRef::from(&self.client).attach_filter(&[drop_all]).expect("filter");
        self.is_silent.store(true, Ordering::SeqCst);
    }
}

/// Forwards data in one direction until the connection ends or falls silent.
fn forward(mut reader: TcpStream, mut writer: TcpStream, is_silent: &AtomicBool) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = reader.read(&mut buffer) {
        if is_silent.load(Ordering::SeqCst) || writer.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
    if !is_silent.load(Ordering::SeqCst) {
        let _ = writer.shutdown(Shutdown::Both);
    }
}

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
