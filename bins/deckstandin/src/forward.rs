//! TCP forwarding with one-way delay, cut, stall and repeated responses.

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

const BUFFER_BYTES: usize = 64 * 1024;
/// Chunks under way in one direction before reading stops.
const CHUNKS_UNDER_WAY: usize = 1024;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// Forwards.
    #[default]
    Open,
    /// Closes connections and refuses new ones.
    Cut,
    /// Accepts connections and bytes and delivers nothing until healed.
    BlackHole,
}

/// Counters of a forwarder.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct ForwardCounts {
    /// Connections accepted.
    pub accepted: u64,
    /// Bytes towards the server.
    pub forward_bytes: u64,
    /// Bytes towards the client.
    pub backward_bytes: u64,
    /// Responses repeated on the same connection.
    pub repeated: u64,
}

/// State that all connections of a forwarder share.
pub struct Forwarder {
    to: SocketAddr,
    mode: watch::Sender<LinkMode>,
    delay: Cell<Duration>,
    /// Responses that contain this text are written twice.
    repeat_marker: Option<&'static [u8]>,
    counts: RefCell<ForwardCounts>,
    /// Cancelled and replaced by each cut.
    connections: RefCell<CancellationToken>,
}

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

struct Chunk {
    bytes: Vec<u8>,
    due: Instant,
}

impl Forwarder {
    /// Returns a forwarder to `to`.
    pub fn new(to: SocketAddr, delay: Duration, repeat_marker: Option<&'static [u8]>) -> Rc<Self> {
        Rc::new(Self {
            to,
            mode: watch::channel(LinkMode::Open).0,
            delay: Cell::new(delay),
            repeat_marker,
            counts: RefCell::default(),
            connections: RefCell::default(),
        })
    }

    /// Sets mode and delay.
    pub fn set(&self, mode: LinkMode, delay: Duration) {
        self.delay.set(delay);
        self.mode.send_replace(mode);
        if mode == LinkMode::Cut {
            self.connections.replace(CancellationToken::new()).cancel();
        }
    }

    /// Returns the counters.
    pub fn counts(&self) -> ForwardCounts {
        self.counts.borrow().clone()
    }

    /// Accepts connections until `stop` is cancelled. A cut closes the listener, so that new
    /// connections are refused; healing binds the same address again.
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
        let token = self.connections.borrow().clone();
        monoio::spawn(async move {
            token.run_until_cancelled(self.connection(stream)).await;
        });
    }

    async fn connection(self: Rc<Self>, client: TcpStream) {
        self.wait_until_open().await;
        let Ok(server) = TcpStream::connect_addr(self.to).await else { return };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let forward = self.copy(Direction::Forward, client_reader, server_writer);
        let backward = self.copy(Direction::Backward, server_reader, client_writer);
        // A client may half-close and still wait for the response; the server's end ends both.
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
        let (sender, receiver) = mpsc::channel(CHUNKS_UNDER_WAY);
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
            let (result, returned) = reader.read(buffer).await;
            buffer = returned;
            let Ok(count @ 1..) = result else { return };
            let mut bytes = buffer[..count].to_vec();
            if direction == Direction::Backward && self.is_marked(&bytes) {
                self.counts.borrow_mut().repeated += 1;
                bytes.extend_from_within(..);
            }
            let chunk = Chunk { bytes, due: Instant::now() + self.delay.get() };
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
            let wait = chunk.due.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                monoio::time::sleep(wait).await;
            }
            self.wait_until_open().await;
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

    async fn wait_until_open(&self) {
        let mut mode = self.mode.subscribe();
        let _ = mode.wait_for(|mode| *mode != LinkMode::BlackHole).await;
    }

    fn is_marked(&self, bytes: &[u8]) -> bool {
        self.repeat_marker
            .is_some_and(|marker| bytes.windows(marker.len()).any(|window| window == marker))
    }
}

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
