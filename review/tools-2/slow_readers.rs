//! A crowd that asks for pages of results and does not read them.

#[path = "lab.rs"]
mod lab;

use std::{
    io::Write,
    net::TcpStream,
    os::fd::AsRawFd,
    path::Path,
    time::{Duration, Instant},
};

use lab::*;

/// Memory of the machines in the settings.
const MEMORY_MB: f64 = 260.0;
const ITEMS: usize = 1200;
/// Clients, and requests that each of them sends ahead.
const CLIENTS: usize = 1500;
const SENT_AHEAD: usize = 12;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let mut case = Case::new("readers", Path::new(&folder));
    let outcome = run(&mut case);
    finish(case, outcome)
}

fn run(case: &mut Case) -> Result<bool, String> {
    let (_platform, store) =
        start_platform(case, &["--engines", "3", "--event-ms", "2", "--max-wait-s", "100"])?;
    let mut nodes = nodes(case, store, &Setup::default())?;
    for node in &mut nodes {
        node.start()?;
    }
    wait_until_ready(&nodes, Duration::from_secs(15))?;
    pause(4000);
    let holder = leader(store).ok_or("no leader")?;
    let first = nodes.iter().position(|node| node.name == holder).ok_or("no node")?;
    case.note(&format!("leader {holder}"));
    let job = format!("job{:x}-a-name-as-long-as-callers-may-choose-one-0123456789-0123456789", std::process::id());
    let items: Vec<String> = (0..ITEMS)
        .map(|index| {
            format!(
                "{{\"Id\":\"{job}i{index}\",\"Path\":\"/jobs/run\",\"Headers\":{{\"Model\":\"m0\"}},\
                 \"Body\":\"q83v\",\"Tokens\":10,\"Group\":\"g{}\"}}",
                index / 4
            )
        })
        .collect();
    let body = format!(
        "{{\"Step\":0,\"Model\":\"m0\",\"MinVersion\":1,\"GroupCount\":{},\"Items\":[{}]}}",
        ITEMS / 4,
        items.join(",")
    );
    let headers = [("Request-Id", job.as_str()), ("Content-Type", "application/json")];
    let accepted = call(
        nodes[first].callers, "POST", &format!("/jobs/{job}"), &headers, body.as_bytes(),
        Duration::from_secs(4),
    )?;
    if accepted.status != 202 {
        return Err(format!("not accepted: {}", accepted.status));
    }
    let path = format!("/v1/lots/{job}?After=0");
    let started = Instant::now();
    loop {
        let page = call(nodes[first].callers, "GET", &path, &[], b"", Duration::from_secs(4))?;
        let listed = page.json().get("NextToken").number();
        if page.body.len() > 800_000 || listed >= ITEMS as f64 {
            case.note(&format!("a page has {} bytes, {listed} results", page.body.len()));
            break;
        }
        if started.elapsed() > Duration::from_secs(30) {
            return Err(format!("only {listed} results"));
        }
        pause(300);
    }
    let before = memory_mb(nodes[first].process.id());
    case.note(&format!("memory (peak, now) {before:.0?}"));
    let (clients, sent_ahead) = if case.trouble { (CLIENTS, SENT_AHEAD) } else { (3, 1) };
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n").repeat(sent_ahead);
    let mut crowd = Vec::new();
    let crowd_started = Instant::now();
    for _ in 0..clients {
        if let Ok(mut stream) = TcpStream::connect_timeout(&nodes[first].callers, Duration::from_secs(1)) {
            let small = 4096_i32;
            // SOL_SOCKET, SO_RCVBUF: a client that reads slowly has a small window.
            unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &small, 4) };
            let _ = stream.write_all(request.as_bytes());
            crowd.push(stream);
        }
    }
    case.note(&format!("{} clients sent {sent_ahead} requests each in {:?}", crowd.len(), crowd_started.elapsed()));
    let mut over = false;
    while crowd_started.elapsed() < Duration::from_secs(30) && !over {
        let Some((peak, now)) = memory_mb(nodes[first].process.id()) else {
            case.note("the process has ended");
            over = true;
            break;
        };
        case.note(&format!("memory peak {peak:.0} MB now {now:.0} MB"));
        over = peak > MEMORY_MB;
        pause(500);
    }
    if over {
        case.note("a process takes more than MemoryMb: the platform kills it");
    }
    Ok(!over)
}
