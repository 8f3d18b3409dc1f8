//! One model server whose answer to one item is a body of events without end.

#[path = "lab.rs"]
mod lab;

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use lab::*;

/// Memory of the machines in the settings.
const EDGE_MB: f64 = 260.0;
const STORAGE_MB: f64 = 290.0;
const ITEMS: usize = 64;
/// Bytes of the data of one event without end, and bytes a second of the server's link.
const EVENT_BYTES: usize = 1000;
const LINK_BYTES_PER_S: u64 = 50_000_000;

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let mut case = Case::new("endless", Path::new(&folder));
    let outcome = run(&mut case);
    finish(case, outcome)
}

/// What the server has done.
#[derive(Default)]
struct Seen {
    runs: AtomicU64,
    /// Whether the next item gets a body without end.
    spoils_next: AtomicBool,
    endless_bytes: AtomicU64,
}

/// Starts a model server; returns its address.
fn start_engine(id: &'static str, seen: Arc<Seen>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = seen.clone();
            std::thread::spawn(move || drop_result(serve(stream, id, &seen)));
        }
    });
    address
}

fn drop_result(_: Option<()>) {}

fn serve(mut stream: TcpStream, id: &str, seen: &Seen) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut buffer = Vec::new();
    let mut part = [0; 16384];
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(count) => buffer.extend_from_slice(&part[..count]),
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let field = |name: &str| {
            head.lines().find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
            })
        };
        let length: usize = field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while buffer.len() < end + 4 + length {
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(count) => buffer.extend_from_slice(&part[..count]),
            }
        }
        buffer.drain(..end + 4 + length);
        if field("target-instance").is_some_and(|target| target != id) {
            stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        if head.starts_with("GET /v1/report") {
            let report = "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}],\
                          \"Busy\":false,\"Seq\":0,\"QueueDepth\":0,\"InFlight\":0,\"KvUsed\":0,\"KvTotal\":1,\"Handles\":0}";
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{report}", report.len()).ok()?;
            continue;
        }
        if head.starts_with("POST /v1/order") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let request = field("request-id").unwrap_or_default();
        seen.runs.fetch_add(1, Ordering::Relaxed);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: stamp-{request}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .ok()?;
        let mut send = |text: &str| write!(stream, "{:x}\r\n{text}\r\n", text.len()).ok();
        if seen.spoils_next.swap(false, Ordering::Relaxed) {
            let event = format!("data: {}\n\n", "x".repeat(EVENT_BYTES));
            let started = Instant::now();
            let mut sent = 0_u64;
            loop {
                send(&event)?;
                sent += event.len() as u64;
                seen.endless_bytes.store(sent, Ordering::Relaxed);
                let due = Duration::from_secs_f64(sent as f64 / LINK_BYTES_PER_S as f64);
                std::thread::sleep(due.saturating_sub(started.elapsed()));
            }
        }
        let after: u64 = field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in after + 1..=10 {
            std::thread::sleep(Duration::from_millis(30));
            send(&format!("id: {number}\ndata: {request}/{number}\n\n"))?;
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
}

fn run(case: &mut Case) -> Result<bool, String> {
    let (_platform, store) =
        start_platform(case, &["--engines", "3", "--event-ms", "30", "--max-wait-s", "60"])?;
    let seen = Arc::new(Seen::default());
    let address = start_engine("engine-own", seen.clone());
    let entry = format!(
        "{{\"Metadata\":{{\"Name\":\"engine-own\"}},\"Spec\":{{\"Service\":\"models\",\"Address\":\"{address}\",\
         \"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1,\
         \"born\":1700000000000,\"Models\":[{{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}}]}}}}"
    );
    let put = call(store, "POST", "/v1/objects/servers", &[], entry.as_bytes(), Duration::from_secs(2))?;
    if put.status != 200 {
        return Err(format!("server not listed: {}", put.status));
    }
    let mut nodes = nodes(case, store, &Setup::default())?;
    for node in &mut nodes {
        node.start()?;
    }
    wait_until_ready(&nodes, Duration::from_secs(15))?;
    pause(4000);
    case.note(&format!("leader {:?}; 4 model servers", leader(store)));
    seen.spoils_next.store(case.trouble, Ordering::Relaxed);

    let job = format!("job{:x}", std::process::id());
    let items: Vec<String> = (0..ITEMS)
        .map(|index| {
            format!(
                "{{\"Id\":\"{job}i{index}\",\"Path\":\"/jobs/run\",\"Headers\":{{\"Model\":\"m0\",\
                 \"Token-Count\":\"60,400\"}},\"Body\":\"q83v\",\"Tokens\":460,\"Group\":\"g{}\"}}",
                index / 4
            )
        })
        .collect();
    let body = format!(
        "{{\"Step\":0,\"Model\":\"m0\",\"MinVersion\":1,\"GroupCount\":{},\"Items\":[{}]}}",
        ITEMS / 4,
        items.join(",")
    );
    let edges: Vec<SocketAddr> = nodes.iter().filter(|n| n.is_edge).map(|n| n.callers).collect();
    let headers = [("Request-Id", job.as_str()), ("Content-Type", "application/json")];
    let accepted = call(
        edges[0], "POST", &format!("/jobs/{job}"), &headers, body.as_bytes(), Duration::from_secs(4),
    )?;
    case.note(&format!("job of {ITEMS} items submitted answer={}", accepted.status));
    if accepted.status != 202 {
        return Err("the job was not accepted".to_owned());
    }
    let started = Instant::now();
    let mut kills: BTreeMap<String, f64> = BTreeMap::new();
    let mut next_note = Instant::now();
    let mut listed = 0.0;
    while started.elapsed() < Duration::from_secs(30) {
        let mut line = String::new();
        for node in &mut nodes {
            if node.process.0.is_none() {
                continue;
            }
            let limit = if node.is_edge { EDGE_MB } else { STORAGE_MB };
            let (peak, now) = memory_mb(node.process.id()).unwrap_or((f64::INFINITY, 0.0));
            line += &format!(" {}={now:.0}", node.name);
            if peak > limit {
                // As the platform does; it starts the process again after a short delay.
                case.note(&format!("{} takes {now:.0} MB of {limit}: killed", node.name));
                kills.insert(node.name.clone(), peak);
                node.process.kill();
                pause(500);
                node.start()?;
            }
        }
        if Instant::now() >= next_note {
            next_note = Instant::now() + Duration::from_secs(1);
            let page = call(
                edges[1], "GET", &format!("/v1/lots/{job}?After=0"), &[], b"", Duration::from_secs(2),
            );
            if let Ok(page) = page
                && page.status == 200
            {
                listed = page.json().get("NextToken").number();
            }
            let endless = seen.endless_bytes.load(Ordering::Relaxed) / 1_000_000;
            case.note(&format!("listed {listed}; the body without end has {endless} MB; memory in MB{line}"));
            if listed >= ITEMS as f64 {
                break;
            }
        }
        pause(50);
    }
    case.note(&format!(
        "listed {listed} of {ITEMS}; runs at the own server {}; killed {kills:.0?}",
        seen.runs.load(Ordering::Relaxed)
    ));
    Ok(kills.is_empty() && listed >= ITEMS as f64)
}
