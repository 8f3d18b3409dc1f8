//! Case 2: a server that has started again with other software begins streams before its new entry
//! is known; when they break off, they go on at servers of the software that it had before.

mod common;

use common::*;
use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::Command,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// One of eight servers restarts and crashes: a share of 0.125.
const SERVERS: usize = 8;
const CLIENTS: usize = 96;
/// Events of a stream, which lasts 4 s; the route's `TimeoutMs` is 5,000.
const EVENTS: u64 = 40;
const EVENT_TIME: Duration = Duration::from_millis(100);
/// Time from the start of a server to its first entry; the servers write every 1,200 ms or so.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(1000);
/// Streams of two versions that the rule allows.
const ALLOWED_MIXED: usize = 2;

/// One server of the streaming route.
struct Server {
    name: String,
    address: SocketAddr,
    platform: SocketAddr,
    record: Record,
    /// Connections of the current process.
    connections: Mutex<Vec<TcpStream>>,
    is_stopped: Mutex<Arc<AtomicBool>>,
}

fn main() {
    run(case);
}

fn case() -> i32 {
    let folder = Folder::create();
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("record file")));
    let platform = free_address();
    let mut command = Command::new(repository().join("target/release/deckstandin"));
    command.args([
        "platform",
        "--listen",
        &platform.to_string(),
        "--engines",
        "1",
        "--servers",
        "1",
    ]);
    let _platform = Process::start("platform", &mut command, &folder.0.join("platform.log"));
    wait_until("the platform answers", Duration::from_secs(10), || {
        call(platform, "GET", "/v1/objects/config", &[], b"", Duration::from_secs(1)).is_some()
    });
    // The operator writes a configuration in which all routes allow three servers.
    let second = Duration::from_secs(1);
    let text = call(platform, "GET", "/v1/objects/config/main", &[], b"", second);
    let text = String::from_utf8(text.expect("configuration").body).expect("text");
    let text =
        text.replace("\"Attempts\":1", "\"Attempts\":3").replace("\"Version\":1", "\"Version\":2");
    assert!(text.contains("\"Version\":2") && !text.contains("\"Attempts\":1"), "{text}");
    let written = call(platform, "PUT", "/v1/objects/config/main", &[], text.as_bytes(), second);
    assert_eq!(written.map(|answer| answer.status), Some(200), "the configuration is written");
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| {
            Arc::new(Server {
                name: format!("stream-{number}"),
                address: free_address(),
                platform,
                record: record.clone(),
                connections: Mutex::default(),
                is_stopped: Mutex::default(),
            })
        })
        .collect();
    for server in &servers {
        server.start("v1", Duration::ZERO);
    }
    let mut nodes: Vec<Node> = ["edge-a-1", "edge-b-1", "edge-c-1"]
        .iter()
        .map(|name| Node::configure(&folder.0, name, &name[5..6], platform, TSEHAY_BOUNDS))
        .collect();
    for node in &mut nodes {
        node.start();
    }
    wait_until("all nodes are ready", Duration::from_secs(15), || nodes.iter().all(Node::is_ready));
    sleep_ms(5000);

    if with_trouble() {
        record.line("stream-0 ends and starts again under its id, with software v2");
        servers[0].stop();
        sleep_ms(100);
        servers[0].start("v2", FIRST_HEARTBEAT);
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let node = nodes[index % nodes.len()].frontend;
            std::thread::spawn(move || {
                sleep_ms(100 + 8 * index as u64);
                read_stream(node, &format!("client-{index}"))
            })
        })
        .collect();
    sleep_ms(2500);
    record.line("stream-0 crashes");
    servers[0].stop();
    let (mut mixed, mut complete) = (0, 0);
    for (index, client) in clients.into_iter().enumerate() {
        let (events, is_complete) = client.join().expect("client");
        complete += usize::from(is_complete);
        let versions: BTreeSet<&str> = events.iter().map(|event| event.1.as_str()).collect();
        if versions.len() > 1 {
            mixed += 1;
            let change = events.windows(2).find(|pair| pair[0].1 != pair[1].1);
            let change = change.map_or(String::new(), |pair| {
                format!(
                    "event {} of {}, event {} of {}",
                    pair[0].0, pair[0].1, pair[1].0, pair[1].1
                )
            });
            record.line(&format!("client-{index}: one answer, complete {is_complete}: {change}"));
        }
    }
    record.line(&format!(
        "result: {mixed} of {CLIENTS} answers hold events of two software versions, {ALLOWED_MIXED} are allowed; {complete} are complete"
    ));
    if mixed > ALLOWED_MIXED { BROKEN } else { HELD }
}

impl Server {
    /// Starts a process of the server, which writes its entry after `first_heartbeat`.
    fn start(self: &Arc<Self>, version: &'static str, first_heartbeat: Duration) {
        let listener = TcpListener::bind(self.address).expect("listener");
        listener.set_nonblocking(true).expect("nonblocking");
        let is_stopped: Arc<AtomicBool> = Arc::default();
        *self.is_stopped.lock().expect("lock") = is_stopped.clone();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("time").as_millis();
        let (server, stopped) = (self.clone(), is_stopped.clone());
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    server
                        .connections
                        .lock()
                        .expect("lock")
                        .push(stream.try_clone().expect("stream"));
                    let (name, stopped) = (server.name.clone(), stopped.clone());
                    std::thread::spawn(move || serve_connection(&name, version, stream, &stopped));
                } else {
                    sleep_ms(1);
                }
            }
        });
        let server = self.clone();
        let register = move || {
            std::thread::sleep(first_heartbeat);
            if !is_stopped.load(Ordering::Relaxed) {
                server.register(version, born);
            }
        };
        match first_heartbeat.is_zero() {
            true => register(),
            false => drop(std::thread::spawn(register)),
        }
    }

    /// Ends the process of the server: its connections break.
    fn stop(&self) {
        self.is_stopped.lock().expect("lock").store(true, Ordering::Relaxed);
        // The listener closes first.
        sleep_ms(5);
        for connection in self.connections.lock().expect("lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Writes the entry of the server to the object API.
    fn register(&self, version: &str, born: u128) {
        let Self { name, address, platform, .. } = self;
        let body = format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{{\"Service\":\"streams\",\"Address\":\"{address}\",\"Zone\":\"a\",\
             \"Version\":\"{version}\",\"Slots\":12,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":{born}}}}}"
        );
        let timeout = Duration::from_secs(2);
        let kind = "/v1/objects/servers";
        let created = call(*platform, "POST", kind, &[], body.as_bytes(), timeout);
        if created.is_none_or(|answer| answer.status != 200) {
            call(*platform, "PUT", &format!("{kind}/{name}"), &[], body.as_bytes(), timeout);
        }
        self.record.line(&format!("{name} has written its entry, software {version}"));
    }
}

/// Serves streams on one connection; each event names the software that made it.
fn serve_connection(name: &str, version: &str, mut stream: TcpStream, is_stopped: &AtomicBool) {
    let mut received = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        let Some(end) = received.windows(4).position(|window: &[u8]| window == b"\r\n\r\n") else {
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => received.extend_from_slice(&buffer[..count]),
                _ => return,
            }
            continue;
        };
        // The requests of this case have no body.
        let head = String::from_utf8_lossy(&received[..end]).into_owned();
        received.drain(..end + 4);
        let value = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.trim().to_owned())
        };
        if value("target-instance").is_some_and(|id| id != name) {
            let refusal = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(refusal).is_err() {
                return;
            }
            continue;
        }
        let id = value("request-id").unwrap_or_default();
        let after = value("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0_u64);
        let start = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(start.as_bytes()).is_err() {
            return;
        }
        for number in after + 1..=EVENTS {
            std::thread::sleep(EVENT_TIME);
            if is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let event = format!("id: {number}\ndata: {version}\n\n");
            if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Asks for a stream and returns the number and data of its events, and whether it is complete.
fn read_stream(node: SocketAddr, id: &str) -> (Vec<(u64, String)>, bool) {
    let mut connection = TcpStream::connect(node).expect("connection");
    let _ = connection.set_read_timeout(Some(Duration::from_secs(8)));
    let request = format!(
        "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let deadline = Instant::now() + Duration::from_secs(12);
    let mut received = Vec::new();
    if connection.write_all(request.as_bytes()).is_ok() {
        let mut buffer = [0; 65536];
        while let Ok(count @ 1..) = connection.read(&mut buffer) {
            received.extend_from_slice(&buffer[..count]);
            if received.ends_with(b"\r\n0\r\n\r\n") || Instant::now() > deadline {
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    let events = lines.windows(2).filter_map(|pair| {
        let number = pair[0].strip_prefix("id: ")?.trim().parse().ok()?;
        Some((number, pair[1].strip_prefix("data: ")?.to_owned()))
    });
    (events.collect(), received.ends_with(b"\r\n0\r\n\r\n"))
}
