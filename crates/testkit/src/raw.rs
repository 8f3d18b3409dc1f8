//! Servers that answer with bytes of any kind, for clients that must not trust them.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Longest time for which a server writes without end; a client has to close long before.
pub const ENDLESS: Duration = Duration::from_secs(20);

/// A server on loopback whose answers are scripted byte by byte.
#[derive(Debug)]
pub struct RawServer {
    /// Its address.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
    endless: Arc<Endless>,
}

/// What the endless answers of a server have come to.
#[derive(Debug, Default)]
struct Endless {
    bytes: AtomicU64,
    open: AtomicUsize,
}

/// Connection on which a script answers one request.
pub struct RawCall {
    /// Head of the request.
    pub head: String,
    /// Number of the request, from 0 on.
    pub number: usize,
    stream: TcpStream,
    endless: Arc<Endless>,
}

impl RawServer {
    /// Starts a server that answers each connection's only request with `script`.
    ///
    /// # Panics
    ///
    /// Panics if no address can be bound.
    pub fn start(script: impl Fn(&mut RawCall) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (requests, endless) = (Arc::<AtomicUsize>::default(), Arc::<Endless>::default());
        let (counted, written) = (requests.clone(), endless.clone());
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (script, counted, endless) = (script.clone(), counted.clone(), written.clone());
                thread::spawn(move || {
                    let Some(head) = read_head(&stream) else { return };
                    let number = counted.fetch_add(1, Ordering::Relaxed);
                    script(&mut RawCall { head, number, stream, endless });
                });
            }
        });
        Self { address, requests, endless }
    }

    /// Returns the number of requests so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns how many bytes clients have taken of endless answers.
    pub fn endless_bytes(&self) -> u64 {
        self.endless.bytes.load(Ordering::Relaxed)
    }

    /// Returns how many endless answers are still being written.
    pub fn open_endless(&self) -> usize {
        self.endless.open.load(Ordering::Relaxed)
    }
}

impl RawCall {
    /// Returns the value of a header of the request.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let value = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        value.map(|(_, value)| value.trim())
    }

    /// Writes text; returns whether the client still takes it.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Writes a chunk of a chunked body.
    pub fn write_chunk(&mut self, text: &str) -> bool {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Writes `text` again and again, with a pause after each, until the client closes.
    pub fn write_without_end(&mut self, text: &str, pause: Duration) {
        self.endless.open.fetch_add(1, Ordering::Relaxed);
        let until = Instant::now() + ENDLESS;
        while Instant::now() < until && self.write(text) {
            self.endless.bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
            thread::sleep(pause);
        }
        self.endless.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads the head of a request, and its body by its stated length.
fn read_head(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().filter_map(|line| line.split_once(':'));
    let mut length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.next().and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(0);
    std::io::Read::read_exact(&mut reader, &mut vec![0; length]).ok()?;
    Some(head)
}
