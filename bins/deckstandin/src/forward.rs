//! TCP forwarder that can delay, cut and stall connections and repeat responses.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

/// Maximum number of bytes that are read from a connection at once and delivered as one chunk.
const BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of buffered chunks per direction; reading pauses when the buffer is full.
const MAX_BUFFERED_CHUNKS: usize = 1024;

/// How a forwarder treats connections and data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// Accepts connections and delivers data in both directions after the delay.
    #[default]
    Open,
    /// Closes all connections and refuses new ones.
    Cut,
    /// Accepts connections and data, but delivers nothing until the mode changes.
    BlackHole,
}

/// Counters of a forwarder since its start, returned by `GET /admin/records` of a link.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct ForwardCounts {
    /// Number of accepted connections.
    pub accepted: u64,
    /// Bytes delivered to the server.
    pub forward_bytes: u64,
    /// Bytes delivered to the client.
    pub backward_bytes: u64,
    /// Number of chunks from the server that were delivered twice because they contain the repeat
    /// marker.
    pub repeated: u64,
}

/// TCP forwarder: its server, mode, delay and counters, which all connections share.
pub struct Forwarder {
    server_address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    /// One-way delay in each direction.
    delay: Cell<Duration>,
    /// A received chunk from the server that contains this text is delivered twice.
    repeat_marker: Option<&'static [u8]>,
    counts: RefCell<ForwardCounts>,
    /// Closes the open connections when cancelled; each cut cancels and replaces it.
    connections_token: RefCell<CancellationToken>,
}

/// Direction of data: `Forward` is towards the server, `Backward` towards the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

/// Received bytes and the time at which to deliver them.
struct Chunk {
    bytes: Vec<u8>,
    deliver_at: Instant,
}

impl Forwarder {
    /// Returns a forwarder in the mode `Open`. Chunks from the server that contain `repeat_marker`
    /// are delivered twice.
    pub fn new(
        server_address: SocketAddr,
        delay: Duration,
        repeat_marker: Option<&'static [u8]>,
    ) -> Rc<Self> {
        Rc::new(Self {
            server_address,
            mode: watch::channel(LinkMode::Open).0,
            delay: Cell::new(delay),
            repeat_marker,
            counts: RefCell::default(),
            connections_token: RefCell::default(),
        })
    }

    /// Sets the mode and the delay. `Cut` closes all open connections.
    pub fn configure(&self, mode: LinkMode, delay: Duration) {
        self.delay.set(delay);
        self.mode.send_replace(mode);
        if mode == LinkMode::Cut {
            self.connections_token.replace(CancellationToken::new()).cancel();
        }
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> ForwardCounts {
        self.counts.borrow().clone()
    }

    /// Accepts connections until `stop` is cancelled.
    ///
    /// A cut closes the listener, so that new connections are refused. Afterwards the same address
    /// is bound again.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: CancellationToken) {
        let Ok(address) = listener.local_addr() else { return };
        let mut listener = Some(listener);
        let mut mode = self.mode.subscribe();
        while !stop.is_cancelled() {
            if *mode.borrow_and_update() == LinkMode::Cut {
                listener = None;
            } else if listener.is_none() {
                listener = rebind(address).await;
            }
            let accept = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            monoio::select! {
                () = stop.cancelled() => return,
                _ = mode.changed() => {}
                accepted = accept => {
                    if let Ok((stream, _)) = accepted {
                        self.clone().start_connection(stream);
                    }
                }
            }
        }
    }

    fn start_connection(self: Rc<Self>, stream: TcpStream) {
        self.counts.borrow_mut().accepted += 1;
        let token = self.connections_token.borrow().clone();
        monoio::spawn(async move {
            token.run_until_cancelled(self.forward_connection(stream)).await;
        });
    }

    async fn forward_connection(self: Rc<Self>, client: TcpStream) {
        self.wait_while_stalled().await;
        let Ok(server) = TcpStream::connect_addr(self.server_address).await else { return };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let forward = self.copy(Direction::Forward, client_reader, server_writer);
        let backward = self.copy(Direction::Backward, server_reader, client_writer);
        // A client may close its sending side and still wait for the response, so only the end of
        // the server's data closes the connection.
        monoio::select! {
            () = backward => {}
            () = async { forward.await; std::future::pending::<()>().await } => {}
        }
    }

    async fn copy<R: AsyncReadRent, W: AsyncWriteRent>(
        &self,
        direction: Direction,
        reader: R,
        writer: W,
    ) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        futures_util::join!(
            self.read_chunks(direction, reader, sender),
            self.write_chunks(direction, writer, receiver)
        );
    }

    async fn read_chunks<R: AsyncReadRent>(
        &self,
        direction: Direction,
        mut reader: R,
        sender: mpsc::Sender<Chunk>,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let (result, returned_buffer) = reader.read(buffer).await;
            buffer = returned_buffer;
            let Ok(count @ 1..) = result else { return };
            let mut bytes = buffer[..count].to_vec();
            if direction == Direction::Backward && self.contains_repeat_marker(&bytes) {
                self.counts.borrow_mut().repeated += 1;
                bytes.extend_from_within(..);
            }
            let chunk = Chunk { bytes, deliver_at: Instant::now() + self.delay.get() };
            if sender.send(chunk).await.is_err() {
                return;
            }
        }
    }

    async fn write_chunks<W: AsyncWriteRent>(
        &self,
        direction: Direction,
        mut writer: W,
        mut receiver: mpsc::Receiver<Chunk>,
    ) {
        while let Some(chunk) = receiver.recv().await {
            let wait = chunk.deliver_at.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                monoio::time::sleep(wait).await;
            }
            self.wait_while_stalled().await;
            let count = chunk.bytes.len() as u64;
            let (result, _) = writer.write_all(chunk.bytes).await;
            if result.is_err() {
                return;
            }
            let mut counts = self.counts.borrow_mut();
            match direction {
                Direction::Forward => counts.forward_bytes += count,
                Direction::Backward => counts.backward_bytes += count,
            }
        }
        let _ = writer.shutdown().await;
    }

    /// Waits while the mode is `BlackHole`.
    async fn wait_while_stalled(&self) {
        let mut mode = self.mode.subscribe();
        let _ = mode.wait_for(|mode| *mode != LinkMode::BlackHole).await;
    }

    fn contains_repeat_marker(&self, bytes: &[u8]) -> bool {
        self.repeat_marker
            .is_some_and(|marker| bytes.windows(marker.len()).any(|window| window == marker))
    }
}

/// Binds `address` again, retrying for 5 s while the port is not free.
async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..100 {
        match deck_net::bind(address) {
            Ok(listener) => return Some(listener),
            Err(error) => {
                log::warn!(target: "link", "cannot bind address={address} error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    None
}
