//! Proxy whose open connections fall silent. The tests of `decknode` use it too.

#![allow(dead_code, reason = "not every test file uses every item")]

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use socket2::SockRef;

/// TCP proxy on loopback whose open connections can fall silent: they stay open, but nothing that
/// the client sends on them is forwarded or even acknowledged.
pub struct SilencingProxy {
    /// Listen address of the proxy.
    pub address: SocketAddr,
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
    /// Starts a proxy to `target`.
    pub fn start(target: SocketAddr) -> Self {
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

    /// Returns the number of connections accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.accepted_connections.load(Ordering::SeqCst)
    }

    /// Silences all connections that are open now.
    pub fn silence_open_connections(&self) {
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
