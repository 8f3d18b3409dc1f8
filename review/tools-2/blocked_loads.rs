//! One of a few model servers in trouble: its answers are bytes without end.

#[path = "lab.rs"]
mod lab;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use lab::*;

/// Model servers of the stand-in. The driver has two more: one that comes into trouble, and a new one that
/// joins later.
const STANDIN_ENGINES: &str = "3";
/// Time between two events of a text; all texts have ten.
const EVENT_MS: u64 = 100;
const ITEMS: usize = 120;
/// Part of the items that the trainer waits for, as on the users' sheets.
const REQUIRED: f64 = 0.9;
/// Time after which the trainer gives a step up, as on the users' sheets.
const STEP_DEADLINE: Duration = Duration::from_secs(12);
/// The step before which the new server joins.
const JOIN_STEP: u64 = 5;

/// State of a model server of the driver.
#[derive(Default)]
struct Own {
    in_trouble: AtomicBool,
    version: AtomicU64,
    orders: AtomicU64,
    /// Calls that were answered without end: orders and reports, and items.
    spoilt_calls: AtomicU64,
    spoilt_items: AtomicU64,
    /// Items that it ran.
    ran: Mutex<BTreeSet<String>>,
}

fn start_engine(id: &'static str, own: Arc<Own>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let own = own.clone();
            std::thread::spawn(move || {
                let _ = serve(stream, id, &own);
            });
        }
    });
    address
}

fn serve(mut stream: TcpStream, id: &str, own: &Own) -> Option<()> {
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
        let body = buffer[end + 4..end + 4 + length].to_vec();
        buffer.drain(..end + 4 + length);
        if field("target-instance").is_some_and(|target| target != id) {
            stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let is_call = head.starts_with("GET /v1/report") || head.starts_with("POST /v1/order");
        if own.in_trouble.load(Ordering::Relaxed) && !head.starts_with("GET /healthz") {
            let count = if is_call { &own.spoilt_calls } else { &own.spoilt_items };
            count.fetch_add(1, Ordering::Relaxed);
            // Until the caller closes.
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            loop {
                stream.write_all(b"10\r\nxxxxxxxxxxxxxxxx\r\n").ok()?;
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        if head.starts_with("GET /healthz") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        if head.starts_with("GET /v1/report") {
            let report = format!(
                "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":\"m0\",\"Version\":{},\"Adapters\":[]}}],\"Busy\":false,\
                 \"Seq\":{},\"QueueDepth\":0,\"InFlight\":0,\"KvUsed\":0,\"KvTotal\":1,\"Handles\":0}}",
                own.version.load(Ordering::Relaxed),
                own.orders.load(Ordering::Relaxed)
            );
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{report}",
                report.len()
            )
            .ok()?;
            continue;
        }
        if head.starts_with("POST /v1/order") {
            let version = Json::parse(&body)?.get("Version").number() as u64;
            let status = if version == own.version.load(Ordering::Relaxed) {
                "200 OK"
            } else {
                own.orders.fetch_add(1, Ordering::Relaxed);
                own.version.store(version, Ordering::Relaxed);
                "202 Accepted"
            };
            write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let request = field("request-id").unwrap_or_default();
        own.ran.lock().ok()?.insert(request.clone());
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: stamp-{request}\r\n\
             Weight-Versions: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            own.version.load(Ordering::Relaxed)
        )
        .ok()?;
        let after: u64 = field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in after + 1..=10 {
            std::thread::sleep(Duration::from_millis(EVENT_MS));
            let event = format!("id: {number}\ndata: {request}/{number}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
}

fn name_version(case: &mut Case, store: SocketAddr, version: u64) -> Result<(), String> {
    let body = format!(
        "{{\"Metadata\":{{\"Name\":\"m0\"}},\"Spec\":{{\"Model\":\"m0\",\"Version\":{version}}}}}"
    );
    let (method, path) = (if version == 2 { "POST" } else { "PUT" }, if version == 2 { "/v1/objects/versions" } else { "/v1/objects/versions/m0" });
    let answer = call(store, method, path, &[], body.as_bytes(), Duration::from_secs(2))?;
    case.note(&format!("version {version} named, status {}", answer.status));
    (answer.status == 200).then_some(()).ok_or_else(|| "version not named".to_owned())
}

/// Submits a job at a machine, as the trainer does for the step after `version`.
fn submit(case: &mut Case, address: SocketAddr, job: &str, version: u64) -> Result<(), String> {
    let items: Vec<String> = (0..ITEMS)
        .map(|index| {
            format!(
                "{{\"Id\":\"{job}i{index}\",\"Path\":\"/jobs/run\",\"Headers\":{{\"Model\":\"m0\",\
                 \"Token-Count\":\"60,100\"}},\"Body\":\"q83v\",\"Tokens\":160,\"Group\":\"g{}\"}}",
                index / 8
            )
        })
        .collect();
    let body = format!(
        "{{\"Step\":{version},\"Model\":\"m0\",\"MinVersion\":{},\"GroupCount\":{},\"Items\":[{}]}}",
        version - 1,
        ITEMS / 8,
        items.join(",")
    );
    let headers = [("Request-Id", job), ("Content-Type", "application/json")];
    let path = format!("/jobs/{job}");
    let answer = call(address, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(4))?;
    case.note(&format!("step {version}: job {job} of {ITEMS} items, version {} or newer, status {}", version - 1, answer.status));
    (answer.status == 202).then_some(()).ok_or_else(|| "the job was not accepted".to_owned())
}

/// Reads a job until the required part is listed; returns the listed number.
fn watch(case: &mut Case, address: SocketAddr, job: &str, limit: Duration) -> f64 {
    let started = Instant::now();
    let (mut listed, mut noted) = (0.0, Instant::now());
    while started.elapsed() < limit && listed < REQUIRED * ITEMS as f64 {
        let path = format!("/v1/lots/{job}?After=0");
        if let Ok(page) = call(address, "GET", &path, &[], b"", Duration::from_secs(2))
            && page.status == 200
        {
            listed = page.json().get("NextToken").number();
        }
        if noted.elapsed() > Duration::from_secs(5) {
            noted = Instant::now();
            case.note(&format!("job {job}: {listed} of {ITEMS} listed"));
        }
        pause(200);
    }
    case.note(&format!("job {job}: {listed} of {ITEMS} listed after {:.1?}", started.elapsed()));
    listed
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let mut case = Case::new("loads", Path::new(&folder));
    let outcome = run(&mut case);
    finish(case, outcome)
}

/// Starts a model server of the driver and lists it in the store.
fn add_engine(store: SocketAddr, id: &'static str, version: u64) -> Result<Arc<Own>, String> {
    let own = Arc::new(Own { version: AtomicU64::new(version), ..Own::default() });
    let address = start_engine(id, own.clone());
    let entry = format!(
        "{{\"Metadata\":{{\"Name\":\"{id}\"}},\"Spec\":{{\"Service\":\"models\",\"Address\":\"{address}\",\
         \"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1,\
         \"born\":1700000000000,\"Models\":[{{\"Name\":\"m0\",\"Version\":{version},\"Adapters\":[]}}]}}}}"
    );
    let path = "/v1/objects/servers";
    let put = call(store, "POST", path, &[], entry.as_bytes(), Duration::from_secs(2))?;
    (put.status == 200).then_some(own).ok_or(format!("server not listed: {}", put.status))
}

fn run(case: &mut Case) -> Result<bool, String> {
    let event_ms = EVENT_MS.to_string();
    let options = ["--engines", STANDIN_ENGINES, "--event-ms", &event_ms, "--max-wait-s", "20"];
    let (_platform, store) = start_platform(case, &options)?;
    let own = add_engine(store, "engine-own", 1)?;
    let mut new = None;
    let mut nodes = nodes(case, store, &Setup::default())?;
    for node in &mut nodes {
        node.start()?;
    }
    wait_until_ready(&nodes, Duration::from_secs(15))?;
    pause(4000);
    let door = nodes[0].callers;
    let mut held = true;
    // The steps follow each other as a trainer asks for them: each once its version is named.
    for version in 2..=6 {
        if version == 3 && case.trouble {
            own.in_trouble.store(true, Ordering::Relaxed);
            case.note("the server engine-own sends bytes without end from now on");
        }
        name_version(case, store, version)?;
        if version == JOIN_STEP {
            new = Some(add_engine(store, "engine-new", version)?);
            case.note(&format!("the server engine-new joins, with version {version}"));
        }
        let job = format!("job{:x}v{version}", std::process::id());
        submit(case, door, &job, version)?;
        let listed = watch(case, door, &job, STEP_DEADLINE);
        let mut begun: BTreeSet<String> = records(store)?.iter().map(|record| record.get("run").text().to_owned()).collect();
        for engine in [Some(&own), new.as_ref()].into_iter().flatten() {
            begun.extend(engine.ran.lock().map_err(|error| error.to_string())?.iter().cloned());
        }
        let begun = begun.iter().filter(|id| id.starts_with(&job)).count();
        case.note(&format!("step {version}: {begun} of {ITEMS} items have been at a server that could run them"));
        if listed < REQUIRED * ITEMS as f64 {
            if version == 2 {
                return Err("the first step is not complete".to_owned());
            }
            case.note(&format!("step {version} runs out of time; {} items have been at no server for 12 s", ITEMS - begun));
            held = begun == 0 || begun == ITEMS;
            break;
        }
        pause(2000);
    }
    let records = records(store)?;
    let orders = |version: f64| {
        let is_order = |record: &&Json| {
            !record.get("order").text().is_empty() && record.get("version").number() == version
        };
        records.iter().filter(is_order).count()
    };
    case.note(&format!(
        "orders that the sound servers of the stand-in got: version 2 {}, 3 {}, 4 {}, 5 {}, 6 {}; at the server in \
         trouble: {} orders and reports, {} items",
        orders(2.0), orders(3.0), orders(4.0), orders(5.0), orders(6.0),
        own.spoilt_calls.load(Ordering::Relaxed), own.spoilt_items.load(Ordering::Relaxed)
    ));
    Ok(held)
}
