//! TCP proxy on loopback that can delay, block, close or refuse the connections through it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        mpsc,
    },
    time::Duration,
};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::{ListenerOpts, TcpListener, TcpStream},
};
use socket2::{Domain, Socket, Type};

/// Interval at which the proxy and its connections check for changed faults.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of bytes forwarded at a time.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Direction of data on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
}

/// How a cut link treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCut {
    /// Open connections hang until the cut ends, new ones are not accepted.
    Hang,
    /// Open connections are closed, new ones are not accepted.
    Close,
    /// Open connections live on, new ones are refused.
    Refuse,
}

/// Current faults of all connections through a proxy.
#[derive(Default)]
struct Faults {
    cut: Mutex<Option<LinkCut>>,
    /// Whether data is held back instead of forwarded, indexed by [`Direction`].
    is_blocked: [AtomicBool; 2],
    /// Delay of each forwarded read.
    delay_ms: AtomicU64,
    /// Number of calls of [`Proxy::close_connections`]; a connection closes when it changes.
    generation: AtomicU32,
    /// Number of calls of [`Proxy::silence_connections`]; a connection falls silent when it changes.
    silent_generation: AtomicU32,
    /// Set when the proxy is dropped: its thread ends and all connections close.
    is_stopped: AtomicBool,
}

/// Proxy to one target address, which runs in its own thread and stops when it is dropped.
pub struct Proxy {
    /// Listen address of the proxy.
    pub address: SocketAddr,
    faults: Arc<Faults>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.faults.is_stopped.store(true, Ordering::Relaxed);
    }
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start(target: SocketAddr) -> Self {
        let (sender, receiver) = mpsc::channel();
        let faults: Arc<Faults> = Arc::default();
        let thread_faults = faults.clone();
        std::thread::spawn(move || {
            let accept_loop = async move {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let address = listener.local_addr().expect("address");
                sender.send(address).expect("the receiver waits");
                let mut listener = Some(listener);
                while !thread_faults.is_stopped() {
                    let cut = thread_faults.cut();
                    if cut.is_some() {
                        listener = None;
                        let _unresponsive =
                            (cut != Some(LinkCut::Refuse)).then(|| unresponsive_listener(address));
                        while thread_faults.cut() == cut && !thread_faults.is_stopped() {
                            monoio::time::sleep(FAULT_POLL_INTERVAL).await;
                        }
                        continue;
                    }
                    let listener = listener.get_or_insert_with(|| {
                        let options = ListenerOpts::new().reuse_port(false).reuse_addr(true);
                        TcpListener::bind_with_config(address, &options).expect("the same port")
                    });
                    if let Ok(Ok((stream, _))) =
                        monoio::time::timeout(FAULT_POLL_INTERVAL, listener.accept()).await
                    {
                        monoio::spawn(forward_connection(stream, target, thread_faults.clone()));
                    }
                }
            };
            deck_net::runtime::run(accept_loop).expect("runtime");
        });
        let address = receiver.recv().expect("the proxy has started");
        Self { address, faults }
    }

    /// Sets whether the data of a direction is held back. Connections stay open, and data held back
    /// is forwarded when the direction is unblocked.
    pub fn set_blocked(&self, direction: Direction, is_blocked: bool) {
        self.faults.is_blocked[direction as usize].store(is_blocked, Ordering::Relaxed);
    }

    /// Cuts the link, or restores it with `None`.
    pub fn set_cut(&self, cut: Option<LinkCut>) {
        let is_blocked = cut == Some(LinkCut::Hang);
        self.set_blocked(Direction::ToTarget, is_blocked);
        self.set_blocked(Direction::FromTarget, is_blocked);
        *self.faults.cut.lock().unwrap_or_else(PoisonError::into_inner) = cut;
        if cut == Some(LinkCut::Close) {
            self.close_connections();
        }
    }

    /// Sets the delay of each forwarded read.
    pub fn set_delay(&self, delay: Duration) {
        self.faults.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Closes all connections that are open now.
    pub fn close_connections(&self) {
        self.faults.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Holds back the data of all connections that are open now until they are closed. New
    /// connections work.
    pub fn silence_connections(&self) {
        self.faults.silent_generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Clears all faults; closed and silent connections are not restored.
    pub fn clear_faults(&self) {
        self.set_cut(None);
        self.set_delay(Duration::ZERO);
    }
}

impl Faults {
    fn cut(&self) -> Option<LinkCut> {
        *self.cut.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

/// Sockets of an address at which new connections hang, as the queue of its listener is full.
struct UnresponsiveListener {
    _listener: Socket,
    _queued: Vec<Socket>,
}

/// Number of connections that fill the queue of a listener with the smallest backlog.
const QUEUED_CONNECTIONS: usize = 3;

/// Starts a listener at `address` that accepts no connection.
fn unresponsive_listener(address: SocketAddr) -> UnresponsiveListener {
    let open = || Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket");
    let listener = open();
    listener.set_reuse_address(true).expect("an option");
    listener.bind(&address.into()).expect("the same port");
    listener.listen(0).expect("a listener");
    let connect = |_| {
        let socket = open();
        socket.set_nonblocking(true).expect("an option");
        // The connections beyond the queue stay incomplete.
        let _ = socket.connect(&address.into());
        socket
    };
    let queued = (0..QUEUED_CONNECTIONS).map(connect).collect();
    UnresponsiveListener { _listener: listener, _queued: queued }
}

/// Generations of the faults at the time when a connection was opened.
#[derive(Debug, Clone, Copy)]
struct Generations {
    closing: u32,
    silent: u32,
}

impl Generations {
    fn current(faults: &Faults) -> Self {
        Self {
            closing: faults.generation.load(Ordering::Relaxed),
            silent: faults.silent_generation.load(Ordering::Relaxed),
        }
    }
}

/// Connects to the target and forwards data in both directions until one of them ends.
async fn forward_connection(stream: TcpStream, target: SocketAddr, faults: Arc<Faults>) {
    let generations = Generations::current(&faults);
    let Ok(target_stream) = TcpStream::connect_addr(target).await else { return };
    let (client_reader, client_writer) = stream.into_split();
    let (target_reader, target_writer) = target_stream.into_split();
    let to_target =
        forward_data(client_reader, target_writer, Direction::ToTarget, generations, &faults);
    let from_target =
        forward_data(target_reader, client_writer, Direction::FromTarget, generations, &faults);
    // If one direction ends, both sides of the connection are closed.
    let (to_target, from_target) = (std::pin::pin!(to_target), std::pin::pin!(from_target));
    futures_util::future::select(to_target, from_target).await;
}

/// Forwards data in one direction until the connection ends or a fault closes it.
async fn forward_data(
    mut reader: impl AsyncReadRent,
    mut writer: impl AsyncWriteRentExt,
    direction: Direction,
    generations: Generations,
    faults: &Faults,
) {
    let must_close =
        || faults.is_stopped() || Generations::current(faults).closing != generations.closing;
    let is_held_back = || {
        faults.is_blocked[direction as usize].load(Ordering::Relaxed)
            || Generations::current(faults).silent != generations.silent
    };
    while !must_close() {
        let buffer = Vec::with_capacity(MAX_READ_BYTES);
        let Ok((read, buffer)) =
            monoio::time::timeout(FAULT_POLL_INTERVAL, reader.read(buffer)).await
        else {
            continue;
        };
        if !matches!(read, Ok(1..)) {
            return;
        }
        let delay = faults.delay_ms.load(Ordering::Relaxed);
        monoio::time::sleep(Duration::from_millis(delay)).await;
        while is_held_back() && !must_close() {
            monoio::time::sleep(FAULT_POLL_INTERVAL).await;
        }
        if must_close() || writer.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}
