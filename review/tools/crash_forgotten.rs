//! Case 5: a request that crashes servers runs again on further servers after each machine was
//! stopped and started in turn.

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
    time::{Duration, Instant},
};

const CONTACT: Duration = Duration::from_millis(3000);
/// Retries that the rule allows.
const ALLOWED_RETRIES: usize = 3;
/// How often all machines are stopped and started in turn.
const ROUNDS: usize = 2;
const SERVERS: usize = 8;
/// Time for which a crashed server is down.
const DOWN: Duration = Duration::from_secs(3);
/// Path of the request that crashes each server that begins to run it.
const CRASHING_PATH: &str = "/plain/crash";

/// Run of the crashing request at a server.
struct Run {
    id: String,
    at: Instant,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// State of a machine, by which it is in touch or not.
struct Contact {
    ready_since: Option<Instant>,
}

impl Contact {
    fn is_in_touch(&self) -> bool {
        self.ready_since.is_some_and(|since| since.elapsed() > CONTACT + Duration::from_millis(300))
    }
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
        "0",
    ]);
    let _platform = Process::start("platform", &mut command, &folder.0.join("platform.log"));
    wait_until("the platform answers", Duration::from_secs(10), || {
        call(platform, "GET", "/v1/objects/config", &[], b"", Duration::from_secs(1)).is_some()
    });
    let runs = Runs::default();
    let is_over = Arc::new(AtomicBool::new(false));
    for number in 0..SERVERS {
        let (runs, record, is_over) = (runs.clone(), record.clone(), is_over.clone());
        let address = free_address();
        std::thread::spawn(move || serve(number, address, platform, runs, record, is_over));
    }
    let mut nodes: Vec<Node> = ["edge-a-1", "edge-b-1", "edge-c-1"]
        .iter()
        .map(|name| Node::configure(&folder.0, name, &name[5..6], platform, TSEHAY_BOUNDS))
        .collect();
    for node in &mut nodes {
        node.start();
    }
    wait_until("all nodes are ready", Duration::from_secs(15), || nodes.iter().all(Node::is_ready));
    let mut contacts: Vec<Contact> =
        nodes.iter().map(|_| Contact { ready_since: Some(Instant::now()) }).collect();
    sleep_ms(4000);

    let mut number = 0;
    let mut ask = |nodes: &[Node], contacts: &[Contact]| {
        let in_touch: Vec<&Node> = nodes
            .iter()
            .zip(contacts)
            .filter(|(_, contact)| contact.is_in_touch())
            .map(|(node, _)| node)
            .collect();
        let Some(node) = in_touch.get(number % in_touch.len().max(1)) else { return };
        number += 1;
        let id = format!("crash-{number}-{}", node.name);
        let headers = [("Host", "h.example"), ("Request-Id", id.as_str()), ("Deadline-Ms", "1500")];
        let answer =
            call(node.frontend, "POST", CRASHING_PATH, &headers, b"{}", Duration::from_secs(2));
        record.line(&format!("{id}: status {}", answer.map_or(0, |answer| answer.status)));
    };
    // The request comes at any machine until all refuse it.
    for _ in 0..8 {
        ask(&nodes, &contacts);
        sleep_ms(400);
    }
    let third_crash = runs.lock().expect("lock").get(2).map(|run| run.at);
    let third_crash = third_crash.expect("the request has crashed three servers");
    sleep_ms(3500);
    record.line(&format!("crashed so far: {}", runs.lock().expect("lock").len()));
    let turns: Vec<usize> = (0..ROUNDS).flat_map(|_| 0..contacts.len()).collect();
    for index in turns {
        if with_trouble() {
            record.line(&format!("SIGTERM to {}", nodes[index].name));
            nodes[index].process.as_ref().expect("process").signal(SIGTERM);
            contacts[index].ready_since = None;
        }
        let step_started = Instant::now();
        let mut is_running = !with_trouble();
        // The next machine is stopped once this one has been back for a while.
        while contacts[index]
            .ready_since
            .is_none_or(|since| since.elapsed() < Duration::from_secs(6))
            || step_started.elapsed() < Duration::from_secs(10)
        {
            assert!(step_started.elapsed() < Duration::from_secs(30), "the node is back");
            let node = &mut nodes[index];
            if node.process.as_mut().is_some_and(Process::has_ended) {
                record.line(&format!("{} is started again", node.name));
                node.process = None;
                node.start();
                is_running = true;
            }
            if is_running && contacts[index].ready_since.is_none() && nodes[index].is_ready() {
                record.line(&format!("{} is ready", nodes[index].name));
                contacts[index].ready_since = Some(Instant::now());
            }
            ask(&nodes, &contacts);
            sleep_ms(500);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let runs = runs.lock().expect("lock");
    let retries: Vec<&Run> = runs.iter().filter(|run| run.at > third_crash + CONTACT).collect();
    for run in &retries {
        record.line(&format!(
            "retry: {} ran {:.1} s after the third crash",
            run.id,
            (run.at - third_crash).as_secs_f64()
        ));
    }
    // Counted are the client's requests, each of which may reach several servers.
    let requests: BTreeSet<&str> = retries.iter().map(|run| run.id.as_str()).collect();
    record.line(&format!(
        "result: {} requests sent on by machines in touch later than {} ms after the third crash, with {} runs; {ALLOWED_RETRIES} are allowed",
        requests.len(),
        CONTACT.as_millis(),
        retries.len()
    ));
    if requests.len() > ALLOWED_RETRIES { BROKEN } else { HELD }
}

/// Runs one server: it crashes when it begins to run the crashing request, and is back after
/// [`DOWN`] under its id, with a new `born`.
fn serve(
    number: usize,
    address: SocketAddr,
    platform: SocketAddr,
    runs: Runs,
    record: Record,
    is_over: Arc<AtomicBool>,
) {
    let mut born = 1_760_000_000_000_u64;
    while !is_over.load(Ordering::Relaxed) {
        let listener = TcpListener::bind(address).expect("listener");
        listener.set_nonblocking(true).expect("nonblocking");
        register(number, address, platform, born);
        born += 10_000;
        let has_crashed = Arc::new(AtomicBool::new(false));
        let mut connections: Vec<TcpStream> = Vec::new();
        while !has_crashed.load(Ordering::Relaxed) && !is_over.load(Ordering::Relaxed) {
            if let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                connections.push(stream.try_clone().expect("stream"));
                let (runs, has_crashed) = (runs.clone(), has_crashed.clone());
                std::thread::spawn(move || serve_connection(number, stream, runs, has_crashed));
            } else {
                sleep_ms(1);
            }
        }
        drop(listener);
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        if has_crashed.load(Ordering::Relaxed) {
            record.line(&format!("server-{number} has crashed"));
            std::thread::sleep(DOWN);
        }
    }
}

/// Writes the entry of the server to the object API.
fn register(number: usize, address: SocketAddr, platform: SocketAddr, born: u64) {
    let name = format!("app-{number}");
    let body = format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{{\"Service\":\"app\",\"Address\":\"{address}\",\"Zone\":\"a\",\
         \"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":{born}}}}}"
    );
    let timeout = Duration::from_secs(2);
    let kind = "/v1/objects/servers";
    let created = call(platform, "POST", kind, &[], body.as_bytes(), timeout);
    if created.is_none_or(|answer| answer.status != 200) {
        call(platform, "PUT", &format!("{kind}/{name}"), &[], body.as_bytes(), timeout);
    }
}

fn serve_connection(
    number: usize,
    mut stream: TcpStream,
    runs: Runs,
    has_crashed: Arc<AtomicBool>,
) {
    let mut received = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        let head_end = received.windows(4).position(|window: &[u8]| window == b"\r\n\r\n");
        let head = head_end.map(|end| String::from_utf8_lossy(&received[..end]).into_owned());
        let value = |head: &str, name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.trim().to_owned())
        };
        if let (Some(end), Some(head)) = (head_end, head) {
            let length =
                value(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            if received.len() >= end + 4 + length {
                received.drain(..end + 4 + length);
                let id = value(&head, "request-id").unwrap_or_default();
                if head.split(' ').nth(1) == Some(CRASHING_PATH) {
                    runs.lock().expect("lock").push(Run { id, at: Instant::now() });
                    has_crashed.store(true, Ordering::Relaxed);
                    return;
                }
                let expects_other =
                    value(&head, "target-instance").is_some_and(|id| id != format!("app-{number}"));
                let answer = match expects_other {
                    true => {
                        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".to_owned()
                    }
                    false => format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nContent-Length: 2\r\n\r\nok"
                    ),
                };
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
        }
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => received.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
}
