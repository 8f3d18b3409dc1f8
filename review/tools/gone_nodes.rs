//! Case 4: after machines were replaced for good, streams that clients take up again at another machine
//! are refused.

mod common;

use common::*;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    process::Command,
    time::{Duration, Instant},
};

/// How often each of the three machines is replaced by a new one at another address.
const GENERATIONS: usize = 30;
/// Time between two replacements; the whole script may take 120 s.
const REPLACEMENT_GAP_MS: u64 = 800;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Streams that clients take up again, and as many new ones at the same time.
const STREAMS: usize = 36;
const LAST_EVENT: u64 = 30;
const EVENT_MS: &str = "150";

#[derive(Default)]
struct Part {
    status: u16,
    /// Number and data of each whole event.
    events: Vec<(u64, String)>,
    complete: bool,
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
    // Two servers of each software version serve side by side.
    command.args(["--stream-versions", "v1,v1,v2,v2", "--event-ms", EVENT_MS]);
    let _platform = Process::start("platform", &mut command, &folder.0.join("platform.log"));
    wait_until("the platform answers", Duration::from_secs(10), || {
        call(platform, "GET", "/v1/objects/config", &[], b"", Duration::from_secs(1)).is_some()
    });
    let generations = if with_trouble() { GENERATIONS } else { 0 };
    let configure = |zone: &str, generation: usize| {
        let name = format!("edge-{zone}-{}", generation + 1);
        Node::configure(&folder.0, &name, zone, platform, TSEHAY_BOUNDS)
    };
    let mut nodes: Vec<Node> = ZONES.iter().map(|zone| configure(zone, 0)).collect();
    for node in &mut nodes {
        node.start();
    }
    wait_until("machines are ready", Duration::from_secs(15), || nodes.iter().all(Node::is_ready));
    // One machine at a time: the new one comes first, then the earlier one is gone for good.
    for generation in 1..=generations {
        for (node, zone) in nodes.iter_mut().zip(ZONES) {
            let mut new_node = configure(zone, generation);
            new_node.start();
            wait_until("new machine is ready", Duration::from_secs(15), || new_node.is_ready());
            node.process.as_ref().expect("process").signal(SIGKILL);
            *node = new_node;
            sleep_ms(REPLACEMENT_GAP_MS);
        }
    }
    record.line(&format!("{} machines were replaced, three serve now", generations * ZONES.len()));
    // The machines have been up for much longer than ContactMs, and have listed the others twice.
    sleep_ms(6000);
    wait_until("all nodes are ready", Duration::from_secs(5), || nodes.iter().all(Node::is_ready));

    let first = nodes[0].frontend;
    let begun: Vec<_> = (0..STREAMS)
        .map(|index| {
            std::thread::spawn(move || read_stream(first, &format!("first-{index}"), None))
        })
        .collect();
    sleep_ms(1200);
    record.line(&format!(
        "{STREAMS} streams run through {}; their servers break them off",
        nodes[0].name
    ));
    let faults = format!("{{\"cut_streams\": {STREAMS}}}");
    call(platform, "POST", "/admin/faults", &[], faults.as_bytes(), Duration::from_secs(1));
    let begun: Vec<Part> = begun.into_iter().map(|stream| stream.join().expect("client")).collect();
    let broken_off =
        begun.iter().filter(|part| part.status == 200 && !part.complete && !part.events.is_empty());
    record.line(&format!("{} streams broke off after an event", broken_off.clone().count()));
    assert!(broken_off.count() >= 12, "twelve streams to take up");

    // Each client takes its stream up again at another machine, and as many new streams begin there.
    let others = [nodes[1].frontend, nodes[2].frontend];
    let mut clients = Vec::new();
    for (index, part) in
        begun.into_iter().enumerate().filter(|(_, part)| !part.complete && !part.events.is_empty())
    {
        clients.push(std::thread::spawn(move || {
            let last = part.events.last().map_or(0, |event| event.0);
            let (id, resumes) = (format!("again-{index}"), format!("first-{index}"));
            let mut again = read_stream(others[index % 2], &id, Some((last, &resumes)));
            if again.status != 200 {
                // One retry, at the other machine.
                sleep_ms(300);
                again = read_stream(
                    others[(index + 1) % 2],
                    &format!("{id}-retry"),
                    Some((last, &resumes)),
                );
            }
            let new = read_stream(others[index % 2], &format!("new-{index}"), None);
            (index, part, again, new)
        }));
    }
    let (mut taken_up, mut went_on, mut new_begun, mut mixed) = (0, 0, 0, 0);
    for client in clients {
        let (index, part, again, new) = client.join().expect("client");
        taken_up += 1;
        let goes_on =
            again.status == 200 && again.events.last().is_some_and(|event| event.0 == LAST_EVENT);
        went_on += usize::from(goes_on);
        new_begun += usize::from(new.status == 200 && !new.events.is_empty());
        let versions: std::collections::BTreeSet<&String> =
            part.events.iter().chain(&again.events).map(|event| &event.1).collect();
        mixed += usize::from(versions.len() > 1);
        let last = part.events.last().map_or(0, |event| event.0);
        record.line(&format!("again-{index}: after event {last}, status {}, goes on {goes_on}; new stream: status {}", again.status, new.status));
    }
    let (share, new_share) = (went_on as f64 / taken_up as f64, new_begun as f64 / taken_up as f64);
    record.line(&format!(
        "result: {went_on} of {taken_up} streams go on ({share:.2}), {new_begun} of {taken_up} new streams begin ({new_share:.2}), {mixed} of two software versions"
    ));
    if taken_up >= 12 && share < new_share / 2.0 { BROKEN } else { HELD }
}

/// Asks for a stream, or takes one up after an event, and reads it to its end.
fn read_stream(node: SocketAddr, id: &str, taken_up: Option<(u64, &str)>) -> Part {
    let mut part = Part::default();
    let Ok(mut connection) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
        return part;
    };
    let _ = connection.set_read_timeout(Some(Duration::from_secs(8)));
    let mut head = format!(
        "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\nContent-Length: 0\r\nConnection: close\r\n"
    );
    if let Some((last, resumes)) = taken_up {
        head += &format!("Last-Event-Id: {last}\r\nResumes: {resumes}\r\n");
    }
    let deadline = Instant::now() + Duration::from_secs(12);
    let mut received = Vec::new();
    if connection.write_all(format!("{head}\r\n").as_bytes()).is_ok() {
        let mut buffer = [0; 65536];
        while let Ok(count @ 1..) = connection.read(&mut buffer) {
            received.extend_from_slice(&buffer[..count]);
            if received.ends_with(b"\r\n0\r\n\r\n") || Instant::now() > deadline {
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&received);
    part.status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    part.complete = received.ends_with(b"\r\n0\r\n\r\n");
    let lines: Vec<&str> = text.lines().collect();
    for pair in lines.windows(2) {
        if let (Some(number), Some(data)) =
            (pair[0].strip_prefix("id: "), pair[1].strip_prefix("data: "))
        {
            part.events.push((number.trim().parse().unwrap_or(0), data.to_owned()));
        }
    }
    part
}
