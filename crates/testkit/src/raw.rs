//! HTTP server whose raw response bytes come from a script, for tests of clients with malformed,
//! truncated and endless responses.

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

/// Maximum duration of [`RawExchange::write_endless_response`]; a client that passes its test
/// closes the connection long before.
pub const MAX_ENDLESS_RESPONSE_DURATION: Duration = Duration::from_secs(20);

/// HTTP server on loopback whose raw response bytes come from a script.
#[derive(Debug)]
pub struct RawServer {
    /// Loopback address that the server listens on, with a port chosen by the system.
    pub address: SocketAddr,
    request_count: Arc<AtomicUsize>,
    endless: Arc<EndlessResponses>,
}

/// Counters of the endless responses of a server.
#[derive(Debug, Default)]
struct EndlessResponses {
    /// Number of bytes written to the sockets.
    written_bytes: AtomicU64,
    /// Number of responses that are still being written.
    open_count: AtomicUsize,
}

/// Received request and its connection, to which a script writes the response.
pub struct RawExchange {
    /// Request line and headers.
    pub head: String,
    /// Number of requests that the server received before this one.
    pub request_index: usize,
    stream: TcpStream,
    endless: Arc<EndlessResponses>,
}

impl RawServer {
    /// Starts a server that reads one request from each connection and calls `script` to respond.
    ///
    /// # Panics
    ///
    /// Panics if no address can be bound.
    pub fn start(script: impl Fn(&mut RawExchange) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (request_count, endless) =
            (Arc::<AtomicUsize>::default(), Arc::<EndlessResponses>::default());
        let (thread_request_count, thread_endless) = (request_count.clone(), endless.clone());
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (script, thread_request_count, endless) =
                    (script.clone(), thread_request_count.clone(), thread_endless.clone());
                thread::spawn(move || {
                    let Some(head) = read_head(&stream) else { return };
                    let request_index = thread_request_count.fetch_add(1, Ordering::Relaxed);
                    script(&mut RawExchange { head, request_index, stream, endless });
                });
            }
        });
        Self { address, request_count, endless }
    }

    /// Returns the number of requests received so far.
    pub fn request_count(&self) -> usize {
        self.request_count.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of endless responses that have been written so far.
    pub fn endless_response_bytes(&self) -> u64 {
        self.endless.written_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of endless responses that are still being written.
    pub fn open_endless_responses(&self) -> usize {
        self.endless.open_count.load(Ordering::Relaxed)
    }
}

impl RawExchange {
    /// Returns the value of a request header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let value = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        value.map(|(_, value)| value.trim())
    }

    /// Writes raw text; returns whether the write succeeded.
    pub fn write(&mut self, text: &str) -> bool {
        self.write_bytes(text.as_bytes())
    }

    /// Writes raw bytes; returns whether the write succeeded.
    pub fn write_bytes(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Resets the connection when the script ends, instead of closing it.
    ///
    /// # Panics
    ///
    /// Panics if the socket option cannot be set.
    pub fn reset(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
    }

    /// Writes a chunk of a chunked body; returns whether the write succeeded.
    pub fn write_chunk(&mut self, text: &str) -> bool {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Writes `text` repeatedly, with a pause after each write, until the client closes the
    /// connection or [`MAX_ENDLESS_RESPONSE_DURATION`] has passed.
    pub fn write_endless_response(&mut self, text: &str, pause: Duration) {
        self.endless.open_count.fetch_add(1, Ordering::Relaxed);
        let deadline = Instant::now() + MAX_ENDLESS_RESPONSE_DURATION;
        while Instant::now() < deadline && self.write(text) {
            self.endless.written_bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
            thread::sleep(pause);
        }
        self.endless.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads a request, with a body of the length given by `Content-Length`, and returns its head.
fn read_head(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let headers = head.lines().filter_map(|line| line.split_once(':'));
    let mut content_lengths =
        headers.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let body_bytes =
        content_lengths.next().and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(0);
    std::io::Read::read_exact(&mut reader, &mut vec![0; body_bytes]).ok()?;
    Some(head)
}
