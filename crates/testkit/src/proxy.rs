//! Loopback proxy that delays, silences or breaks the connections through it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        mpsc,
    },
    time::Duration,
};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};

/// Time between two looks at the faults of a connection.
const TICK: Duration = Duration::from_millis(20);
/// Bytes that are passed on at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// Direction of the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the one that connects to the target.
    ToTarget,
    /// From the target back.
    FromTarget,
}

/// Faults of all connections through a proxy.
#[derive(Default)]
struct Faults {
    /// Invariant: indexed by [`Direction`].
    silent: [AtomicBool; 2],
    delay_ms: AtomicU64,
    /// Connections that were opened under an earlier number are broken off.
    generation: AtomicU32,
    stopped: AtomicBool,
}

/// Proxy in front of one address, on a thread of its own. Ends when it is dropped.
pub struct Proxy {
    /// Address that passes connections on.
    pub address: SocketAddr,
    faults: Arc<Faults>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.faults.stopped.store(true, Ordering::Relaxed);
    }
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start(target: SocketAddr) -> Self {
        let (sender, receiver) = mpsc::channel();
        let faults: Arc<Faults> = Arc::default();
        let shared = faults.clone();
        std::thread::spawn(move || {
            let serving = async move {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                sender.send(listener.local_addr().expect("address")).expect("the starter waits");
                while !shared.stopped.load(Ordering::Relaxed) {
                    if let Ok(Ok((stream, _))) =
                        monoio::time::timeout(TICK, listener.accept()).await
                    {
                        monoio::spawn(pass(stream, target, shared.clone()));
                    }
                }
            };
            deck_net::runtime::run(serving).expect("runtime");
        });
        let address = receiver.recv().expect("the proxy has started");
        Self { address, faults }
    }

    /// Holds back all bytes of a direction, or passes them on again.
    pub fn set_silent(&self, direction: Direction, silent: bool) {
        self.faults.silent[direction as usize].store(silent, Ordering::Relaxed);
    }

    /// Delays each piece of bytes.
    pub fn set_delay(&self, delay: Duration) {
        self.faults.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Breaks off all connections that are open now.
    pub fn break_connections(&self) {
        self.faults.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends all faults; connections that were broken off stay so.
    pub fn heal(&self) {
        self.set_silent(Direction::ToTarget, false);
        self.set_silent(Direction::FromTarget, false);
        self.set_delay(Duration::ZERO);
    }
}

async fn pass(stream: TcpStream, target: SocketAddr, faults: Arc<Faults>) {
    let generation = faults.generation.load(Ordering::Relaxed);
    let Ok(server) = TcpStream::connect_addr(target).await else { return };
    let (caller_reads, caller_writes) = stream.into_split();
    let (server_reads, server_writes) = server.into_split();
    let there = pump(caller_reads, server_writes, Direction::ToTarget, generation, &faults);
    let back = pump(server_reads, caller_writes, Direction::FromTarget, generation, &faults);
    // The end of one direction ends the connection.
    let (there, back) = (std::pin::pin!(there), std::pin::pin!(back));
    futures_util::future::select(there, back).await;
}

/// Passes bytes on until the connection ends or is broken off.
async fn pump(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    direction: Direction,
    generation: u32,
    faults: &Faults,
) {
    let is_broken = || {
        faults.stopped.load(Ordering::Relaxed)
            || faults.generation.load(Ordering::Relaxed) != generation
    };
    while !is_broken() {
        let buffer = Vec::with_capacity(PIECE_BYTES);
        let Ok((read, buffer)) = monoio::time::timeout(TICK, from.read(buffer)).await else {
            continue;
        };
        if !matches!(read, Ok(1..)) {
            return;
        }
        let delay = faults.delay_ms.load(Ordering::Relaxed);
        monoio::time::sleep(Duration::from_millis(delay)).await;
        while faults.silent[direction as usize].load(Ordering::Relaxed) && !is_broken() {
            monoio::time::sleep(TICK).await;
        }
        if is_broken() || to.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}
