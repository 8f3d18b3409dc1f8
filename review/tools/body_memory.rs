//! Case 4: a few requests with bodies within `MaxBodyBytes` at the same time take more memory than
//! `MemoryMb` allows, so that the platform kills the processes.

mod common;

use common::*;
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    process::Command,
    sync::{Arc, Barrier},
    time::{Duration, Instant},
};

/// `MemoryMb` of the `edge` machines, and the operator's `MaxBodyBytes` in the site files.
const MEMORY_MB: u64 = 260;
const MAX_BODY_BYTES: usize = 33_554_432;
const BODY_BYTES: usize = 32_000_000;
/// Clients of a zone that send at the same time; a zone of the site has 11 to 14 clients.
const CLIENTS: usize = 6;
const ROUNDS: u64 = 3;
/// The rule: on two machines at least, processes end by themselves three times.
const MACHINES: usize = 2;
const ENDS: u64 = 3;

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
        "2",
    ]);
    let _platform = Process::start("platform", &mut command, &folder.0.join("platform.log"));
    wait_until("the platform answers", Duration::from_secs(10), || {
        call(platform, "GET", "/v1/objects/config", &[], b"", Duration::from_secs(1)).is_some()
    });
    let text = call(platform, "GET", "/v1/objects/config/main", &[], b"", Duration::from_secs(1));
    let text = String::from_utf8(text.expect("configuration").body).expect("text");
    // The operator writes a configuration with the site's limit.
    let text =
        text.replace("\"MaxBodyBytes\":1048576", &format!("\"MaxBodyBytes\":{MAX_BODY_BYTES}"));
    let text = text.replace("\"Version\":1", "\"Version\":2");
    assert!(text.contains(&MAX_BODY_BYTES.to_string()) && text.contains("\"Version\":2"), "{text}");
    let written = call(
        platform,
        "PUT",
        "/v1/objects/config/main",
        &[],
        text.as_bytes(),
        Duration::from_secs(1),
    );
    assert_eq!(written.map(|answer| answer.status), Some(200), "the configuration is written");
    let mut nodes: Vec<Node> = ["edge-a-1", "edge-b-1", "edge-c-1"]
        .iter()
        .map(|name| Node::configure(&folder.0, name, &name[5..6], platform, TSEHAY_BOUNDS))
        .collect();
    for node in &mut nodes {
        node.start();
    }
    wait_until("all nodes are ready", Duration::from_secs(15), || nodes.iter().all(Node::is_ready));
    let mut ends = [0_u64; MACHINES];
    for round in 0..ROUNDS {
        for (index, node) in nodes.iter_mut().take(MACHINES).enumerate() {
            sleep_ms(2500);
            wait_until("the node is ready", Duration::from_secs(15), || node.is_ready());
            let clients = if with_trouble() { CLIENTS } else { 1 };
            record.line(&format!(
                "{}: {clients} clients at a time send {BODY_BYTES} bytes each, {CLIENTS} in all",
                node.name
            ));
            let mut peak_mb = 0;
            let mut is_killed = false;
            for turn in 0..CLIENTS / clients {
                let barrier = Arc::new(Barrier::new(clients));
                let senders: Vec<_> = (0..clients)
                    .map(|client| {
                        let (barrier, address) = (barrier.clone(), node.frontend);
                        let id = format!("body-{round}-{index}-{turn}-{client}");
                        std::thread::spawn(move || send(address, id, &barrier))
                    })
                    .collect();
                while !is_killed && senders.iter().any(|sender| !sender.is_finished()) {
                    let process = node.process.as_ref().expect("process");
                    let memory_mb = resident_mb(process.id());
                    peak_mb = peak_mb.max(memory_mb);
                    // The platform kills a process that uses more memory than its machine has.
                    if memory_mb > MEMORY_MB {
                        process.signal(SIGKILL);
                        is_killed = true;
                    }
                    sleep_ms(2);
                }
                for sender in senders {
                    let (id, answer) = sender.join().expect("client");
                    record.line(&format!("{id}: {answer}"));
                }
            }
            record.line(&format!(
                "{}: {peak_mb} MB of {MEMORY_MB} MB, killed {is_killed}",
                node.name
            ));
            if is_killed {
                ends[index] += 1;
                node.process = None;
                sleep_ms(300);
                node.start();
            }
        }
    }
    let broken = ends.iter().all(|count| *count >= ENDS);
    record.line(&format!("result: processes ended for their memory {ends:?} times on {MACHINES} of 3 machines, {ENDS} times on each break the rule"));
    if broken { BROKEN } else { HELD }
}

/// Resident memory of a process that this script started.
fn resident_mb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

/// Sends one request and returns its id with what came back.
fn send(node: SocketAddr, id: String, barrier: &Barrier) -> (String, String) {
    let body = vec![b'x'; BODY_BYTES];
    let mut stream = TcpStream::connect(node).expect("connection");
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let head = format!(
        "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    barrier.wait();
    let started = Instant::now();
    let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body));
    let mut buffer = [0; 256];
    let answer = match sent.and_then(|()| stream.read(&mut buffer)) {
        Ok(0) => "closed without an answer".to_owned(),
        Ok(count) => {
            String::from_utf8_lossy(&buffer[..count]).lines().next().unwrap_or("").to_owned()
        }
        Err(error) => format!("no answer: {}", error.kind()),
    };
    (id, format!("{answer}, {} ms", started.elapsed().as_millis()))
}
