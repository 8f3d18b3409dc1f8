//! Crowds of clients that misbehave, and what a process takes while they are connected.

use std::{
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Time without progress of any client after which a crowd has sent what it can.
const STANDSTILL: Duration = Duration::from_millis(500);
/// Maximum time for which a crowd sends.
const MAX_SENDING_TIME: Duration = Duration::from_secs(10);

/// Client of a crowd, whose connection stays open until it is dropped.
pub struct CrowdClient {
    /// `None` after the server has closed the connection.
    pub stream: Option<TcpStream>,
    /// Bytes to send, and how many of them have been sent.
    bytes: Vec<u8>,
    sent_bytes: usize,
}

/// Connects the clients of a crowd; `bytes` returns what each of them sends.
pub fn connect(
    address: SocketAddr,
    count: usize,
    bytes: impl Fn(usize) -> Vec<u8>,
) -> Vec<CrowdClient> {
    let client = |index| {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(3)).ok();
        let stream = stream.filter(|stream| stream.set_nonblocking(true).is_ok());
        CrowdClient { stream, bytes: bytes(index), sent_bytes: 0 }
    };
    (0..count).map(client).collect()
}

/// Sends the bytes of all clients in turn, at most `piece_bytes` at a time with `pause` after each
/// turn, until no client makes progress.
pub fn send_all(clients: &mut [CrowdClient], piece_bytes: usize, pause: Duration) {
    let (started_at, mut progress_at) = (Instant::now(), Instant::now());
    while progress_at.elapsed() < STANDSTILL && started_at.elapsed() < MAX_SENDING_TIME {
        for client in clients.iter_mut() {
            let Some(stream) = &mut client.stream else { continue };
            let rest = &client.bytes[client.sent_bytes..];
            match stream.write(&rest[..rest.len().min(piece_bytes)]) {
                Ok(0) => {}
                Ok(count) => {
                    client.sent_bytes += count;
                    progress_at = Instant::now();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => client.stream = None,
            }
        }
        std::thread::sleep(pause.max(Duration::from_micros(100)));
    }
}

/// Returns the peak of a process's resident memory in kB.
///
/// # Panics
///
/// Panics if the process does not exist.
pub fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("status of the process");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("field");
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).expect("value")
}

/// Returns the number of a process's open descriptors.
///
/// # Panics
///
/// Panics if the process does not exist.
pub fn open_descriptors(process: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{process}/fd")).expect("descriptors").count() as u64
}
