//! Case 1: a model server that has started again with other software begins texts of a batch job
//! before its new entry is known; when they break off, they go on at servers of the software that it
//! had before, and are listed as completed.

mod common;

use common::*;
use std::{
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
const GROUPS: usize = 14;
const GROUP_SIZE: usize = 4;
/// Events of a text, which takes 3 s.
const EVENTS: u64 = 30;
const EVENT_TIME: Duration = Duration::from_millis(100);
/// Time from the start of a server to its first entry; the servers write every 1,200 ms or so.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(1000);
const HOST: (&str, &str) = ("Host", "h.example");

/// One model server.
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
        "0",
        "--servers",
        "2",
    ]);
    let _platform = Process::start("platform", &mut command, &folder.0.join("platform.log"));
    wait_until("the platform answers", Duration::from_secs(10), || {
        call(platform, "GET", "/v1/objects/config", &[], b"", Duration::from_secs(1)).is_some()
    });
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| {
            Arc::new(Server {
                name: format!("engine-{number}"),
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
        record.line("engine-0 ends and starts again under its id, with software v2");
        servers[0].stop();
        sleep_ms(100);
        servers[0].start("v2", FIRST_HEARTBEAT);
    }
    let job = "ab12cd34ef567890";
    let items: Vec<String> =
        (0..GROUPS * GROUP_SIZE).map(|index| format!("{index:04x}feed")).collect();
    submit(nodes[0].frontend, job, &items);
    record.line(&format!("job accepted with {} items", items.len()));
    sleep_ms(2000);
    record.line("engine-0 crashes");
    servers[0].stop();
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut results: Vec<Json> = Vec::new();
    while results.len() < items.len() && Instant::now() < deadline {
        let path = format!("/v1/lots/{job}?After={}", results.len());
        let headers = [HOST, ("Wait-Ms", "500")];
        let node = nodes[results.len() % nodes.len()].frontend;
        let page = call(node, "GET", &path, &headers, b"", Duration::from_secs(3));
        if let Some(page) = page.filter(|page| page.status == 200) {
            results.extend(page.json().get("Results").list().iter().cloned());
        }
        sleep_ms(100);
    }
    let mut mixed = 0;
    for result in &results {
        let (id, text) = (result.get("Id").text(), result.get("Text").text());
        let outputs = ["v1", "v2"].map(|version| whole_output(id, version));
        if result.get("State").text() == "completed" && !outputs.iter().any(|output| output == text)
        {
            mixed += 1;
            let events: Vec<&str> = text.lines().collect();
            let change =
                events.windows(2).find(|pair| pair[0].ends_with("v1") != pair[1].ends_with("v1"));
            record.line(&format!(
                "{id}: completed with {} events, among them {change:?}, score {:?}",
                events.len(),
                result.get("Score").text()
            ));
        }
    }
    record.line(&format!(
        "result: {mixed} of {} results are completed with a text that is no server's whole output, none is allowed; {} items",
        results.len(),
        items.len()
    ));
    if mixed > 0 {
        BROKEN
    } else if results.len() == items.len() {
        HELD
    } else {
        COULD_NOT_RUN
    }
}

/// Returns the whole output of an item at servers of one software version.
fn whole_output(item: &str, version: &str) -> String {
    let events: Vec<String> =
        (1..=EVENTS).map(|number| event_data(item, number, version)).collect();
    events.join("\n")
}

fn event_data(item: &str, number: u64, version: &str) -> String {
    format!("{item}/{number}/{version}")
}

/// Submits a batch job as a trainer does.
fn submit(node: SocketAddr, job: &str, items: &[String]) {
    let encode = |(index, id): (usize, &String)| {
        format!(
            "{{\"Id\":\"{id}\",\"Path\":\"/jobs/run\",\"Headers\":{{\"Model\":\"m0\",\"Token-Count\":\"40,300\"}},\
             \"Body\":\"q83v\",\"Tokens\":340,\"Group\":\"g{}\",\"Scorer\":{{\"Id\":\"{id}5c\",\"Host\":\"h.example\",\
             \"Path\":\"/score/x\",\"Body\":\"3q2+\"}}}}",
            index / GROUP_SIZE
        )
    };
    let items: Vec<String> = items.iter().enumerate().map(encode).collect();
    let body = format!(
        "{{\"Step\":0,\"Model\":\"m0\",\"MinVersion\":1,\"GroupCount\":{GROUPS},\"Items\":[{}]}}",
        items.join(",")
    );
    let headers = [HOST, ("Request-Id", job), ("Content-Type", "application/json")];
    let path = format!("/jobs/{job}");
    wait_until("the job is accepted", Duration::from_secs(3), || {
        let answer = call(node, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(2));
        answer.is_some_and(|answer| answer.status == 202)
    });
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
            "{{\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{{\"Service\":\"models\",\"Address\":\"{address}\",\"Zone\":\"a\",\
             \"Version\":\"{version}\",\"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":{born},\"Models\":[{{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}}]}}}}"
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

/// Serves runs on one connection; each event names the item and the software that made it.
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
        let head = String::from_utf8_lossy(&received[..end]).into_owned();
        let value = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.trim().to_owned())
        };
        let length = value("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if received.len() < end + 4 + length {
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => received.extend_from_slice(&buffer[..count]),
                _ => return,
            }
            continue;
        }
        received.drain(..end + 4 + length);
        if value("target-instance").is_some_and(|id| id != name) {
            let refusal = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(refusal).is_err() {
                return;
            }
            continue;
        }
        // The version of the weights does not change in this case, so no order is needed.
        if head.starts_with("GET /v1/report") || head.starts_with("POST /v1/order") {
            let report = "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m0\",\"Version\":1}],\"Busy\":false,\"Seq\":0}";
            let answer =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let id = value("request-id").unwrap_or_default();
        let after = value("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0_u64);
        let start = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(start.as_bytes()).is_err() {
            return;
        }
        for number in after + 1..=EVENTS {
            std::thread::sleep(EVENT_TIME);
            if is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let data = event_data(&id, number, version);
            let event = format!("id: {number}\ndata: {data}\n\n");
            if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}
