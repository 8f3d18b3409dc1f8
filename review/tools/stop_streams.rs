//! Case 3: a node that is stopped as planned takes streams on open connections and cuts them when it
//! exits.

mod common;

use common::*;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    process::Command,
    sync::mpsc,
    time::{Duration, Instant},
};

/// Time of one event; the stand-in's streams have 30 events, so they last 4.65 s. The route's
/// `TimeoutMs` is 5,000.
const EVENT_MS: &str = "155";
const LAST_EVENT: u64 = 30;
const TIMEOUT: Duration = Duration::from_millis(5000);
/// Times after SIGTERM at which the streams are asked for. RULES excuse what a server still works on
/// in the last sixth of `GraceS` only if it was asked for no later than 3 s after SIGTERM.
const ASKED_AFTER_MS: [u64; 6] = [3100, 3200, 3400, 3600, 3800, 4000];

struct Outcome {
    id: String,
    status: u16,
    last_event: u64,
    complete: bool,
    took: Duration,
}

fn main() {
    run(case);
}

fn case() -> i32 {
    let folder = Folder::create();
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("record file")));
    let platform_address = free_address();
    let mut command = Command::new(repository().join("target/release/deckstandin"));
    command.args(["platform", "--listen", &platform_address.to_string(), "--engines", "1"]);
    command.args(["--servers", "1", "--stream-versions", "v1,v1", "--event-ms", EVENT_MS]);
    let _platform = Process::start("platform", &mut command, &folder.0.join("platform.log"));
    wait_until("the platform answers", Duration::from_secs(10), || {
        let path = "/v1/objects/config";
        call(platform_address, "GET", path, &[], b"", Duration::from_secs(1)).is_some()
    });
    let mut nodes: Vec<Node> = ["edge-a-1", "edge-b-1", "edge-c-1"]
        .iter()
        .map(|name| Node::configure(&folder.0, name, &name[5..6], platform_address, TSEHAY_BOUNDS))
        .collect();
    for node in &mut nodes {
        node.start();
    }
    wait_until("all nodes are ready", Duration::from_secs(15), || nodes.iter().all(Node::is_ready));
    sleep_ms(3000);
    let stopped = &mut nodes[0];
    // Connections that the clients keep open: each has carried one request before the stop.
    let connections: Vec<TcpStream> =
        ASKED_AFTER_MS.iter().map(|ms| open_connection(stopped.frontend, *ms, &record)).collect();
    sleep_ms(500);
    if with_trouble() {
        record.line("SIGTERM to edge-a-1, GraceS is 8");
        stopped.process.as_ref().expect("process").signal(SIGTERM);
    }
    let sigterm_at = Instant::now();
    let (sender, outcomes) = mpsc::channel();
    for (connection, after_ms) in connections.into_iter().zip(ASKED_AFTER_MS) {
        let (sender, record) = (sender.clone(), record.clone());
        std::thread::spawn(move || {
            let at = sigterm_at + Duration::from_millis(after_ms);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let _ = sender.send(stream(connection, after_ms, &record));
        });
    }
    drop(sender);
    let mut broken = 0;
    while let Ok(outcome) = outcomes.recv_timeout(Duration::from_secs(20)) {
        let Outcome { id, status, last_event, complete, took } = outcome;
        let counts = status == 200 && !complete && took < TIMEOUT;
        record.line(&format!(
            "{id}: status {status}, last event {last_event} of {LAST_EVENT}, complete {complete}, {} ms after it was sent, {:.1} s after SIGTERM{}",
            took.as_millis(),
            sigterm_at.elapsed().as_secs_f64(),
            if counts { ": CUT" } else { "" }
        ));
        broken += usize::from(counts);
    }
    let runs = call(platform_address, "GET", "/admin/records", &[], b"", Duration::from_secs(2));
    for entry in runs.map(|answer| answer.json()).unwrap_or(Json::Null).list() {
        if entry.get("stream").text().starts_with("stream-") {
            record.line(&format!(
                "{} ran {}",
                entry.get("server").text(),
                entry.get("stream").text()
            ));
        }
    }
    if with_trouble() {
        wait_until("edge-a-1 ends", Duration::from_secs(5), || {
            stopped.process.as_mut().is_some_and(Process::has_ended)
        });
        record.line("edge-a-1 has ended by itself");
    }
    record.line(&format!("result: {broken} streams cut that a server had begun"));
    if broken > 0 { BROKEN } else { HELD }
}

/// Opens a connection and sends one plain request on it, as a client does that keeps connections.
fn open_connection(node: SocketAddr, number: u64, record: &Record) -> TcpStream {
    let mut connection = TcpStream::connect(node).expect("connection");
    let _ = connection.set_nodelay(true);
    connection.set_read_timeout(Some(Duration::from_secs(3))).expect("timeout");
    let request = format!(
        "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: plain-{number}\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).expect("request");
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = connection.read(&mut buffer).expect("answer");
        assert!(count > 0, "an answer on the kept connection");
        received.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&received);
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_ascii_lowercase();
            let length = head.split("content-length: ").nth(1).and_then(|rest| {
                rest.split("\r\n").next().and_then(|length| length.parse::<usize>().ok())
            });
            if received.len() >= end + 4 + length.expect("content-length") {
                record.line(&format!("plain-{number}: {}", text.lines().next().unwrap_or("")));
                assert!(!head.contains("connection: close"), "the connection is kept");
                return connection;
            }
        }
    }
}

/// Asks for a stream on an open connection and reads it to its end.
fn stream(mut connection: TcpStream, after_ms: u64, record: &Record) -> Outcome {
    let id = format!("stream-{after_ms}");
    let request = format!(
        "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\nContent-Length: 0\r\n\r\n"
    );
    let sent_at = Instant::now();
    connection.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
    record.line(&format!("{id}: sent"));
    let mut received = Vec::new();
    if connection.write_all(request.as_bytes()).is_ok() {
        let mut buffer = [0; 65536];
        while let Ok(count @ 1..) = connection.read(&mut buffer) {
            received.extend_from_slice(&buffer[..count]);
            if received.ends_with(b"\r\n0\r\n\r\n") {
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok());
    let complete = received.ends_with(b"\r\n0\r\n\r\n") || (status != 0 && status != 200);
    Outcome {
        id,
        status,
        last_event: numbers.max().unwrap_or(0),
        complete,
        took: sent_at.elapsed(),
    }
}
