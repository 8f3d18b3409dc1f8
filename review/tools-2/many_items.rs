//! A few batch jobs of legal size with very many short items. The driver does what the platform does
//! to a process that takes more memory than its machine has: it kills it and starts it again.

#[path = "lab.rs"]
mod lab;

use std::{
    collections::BTreeMap,
    path::Path,
    sync::mpsc,
    time::{Duration, Instant},
};

use lab::*;

/// Memory of the machines in the settings.
const MEMORY_MB: f64 = 260.0;
/// Jobs, and items of each.
const JOBS: usize = 16;
const ITEMS: usize = 28_000;
/// Items of a job without the disruption.
const CALM_ITEMS: usize = 64;

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let mut case = Case::new("items", Path::new(&folder));
    let outcome = run(&mut case);
    finish(case, outcome)
}

fn job_body(job: &str, items: usize) -> String {
    let items: Vec<String> = (0..items)
        .map(|index| {
            format!(
                "{{\"Id\":\"{job}i{index}\",\"Path\":\"/jobs/run\",\"Headers\":{{\"Model\":\"m0\"}},\
                 \"Tokens\":10,\"Group\":\"g{}\"}}",
                index / 16
            )
        })
        .collect();
    format!(
        "{{\"Step\":0,\"Model\":\"m0\",\"MinVersion\":1,\"GroupCount\":{},\"Items\":[{}]}}",
        items.len().div_ceil(16),
        items.join(",")
    )
}

fn run(case: &mut Case) -> Result<bool, String> {
    let (_platform, store) =
        start_platform(case, &["--engines", "3", "--event-ms", "200", "--max-wait-s", "100"])?;
    // The limit of bodies on the wire page.
    let main = call(store, "GET", "/v1/objects/config/main", &[], b"", Duration::from_secs(2))?;
    let mut spec = main.json().get("Spec").clone();
    let mut limits = spec.get("Limits").clone();
    limits.set("MaxBodyBytes", Json::Number(33_554_432.0));
    spec.set("Limits", limits);
    spec.set("Version", Json::Number(2.0));
    let body = format!("{{\"Metadata\":{{\"Name\":\"main\"}},\"Spec\":{}}}", spec.encode());
    let put = call(
        store, "PUT", "/v1/objects/config/main", &[], body.as_bytes(), Duration::from_secs(2),
    )?;
    if put.status != 200 {
        return Err(format!("configuration not written: {}", put.status));
    }
    let mut nodes = nodes(case, store, &Setup::default())?;
    for node in &mut nodes {
        node.start()?;
    }
    wait_until_ready(&nodes, Duration::from_secs(15))?;
    pause(4000);
    case.note(&format!("leader {:?}", leader(store)));

    let items = if case.trouble { ITEMS } else { CALM_ITEMS };
    let addresses: Vec<_> = nodes.iter().filter(|n| n.is_edge).map(|n| n.callers).collect();
    let (sender, notes) = mpsc::channel();
    std::thread::spawn(move || {
        for number in 0..JOBS {
            let job = format!("job{:x}n{number}", std::process::id());
            let body = job_body(&job, items);
            // The same job at one node after the other until it is accepted, at most three times.
            for attempt in 0..3 {
                let headers = [("Request-Id", job.as_str()), ("Content-Type", "application/json")];
                let address = addresses[(number + attempt) % addresses.len()];
                let answer = call(
                    address, "POST", &format!("/jobs/{job}"), &headers, body.as_bytes(),
                    Duration::from_secs(5),
                );
                let status = answer.map(|answer| answer.status);
                let _ = sender.send((job.clone(), body.len(), status.clone()));
                if status == Ok(202) {
                    break;
                }
            }
            pause(300);
        }
    });
    let mut accepted: Vec<String> = Vec::new();
    let mut kills: BTreeMap<String, u32> = BTreeMap::new();
    let mut peak: BTreeMap<String, f64> = BTreeMap::new();
    let mut starts: Vec<(usize, Instant)> = Vec::new();
    let mut next_look = Instant::now();
    let watched = Instant::now();
    while watched.elapsed() < Duration::from_secs(45) {
        while let Ok((job, bytes, status)) = notes.try_recv() {
            case.note(&format!("job {job} of {bytes} bytes answer={status:?}"));
            if status == Ok(202) {
                accepted.push(job);
            }
        }
        for index in 0..nodes.len() {
            let node = &mut nodes[index];
            if !node.is_edge || node.process.0.is_none() {
                continue;
            }
            let Some((high, now)) = memory_mb(node.process.id()) else {
                if node.process.has_ended() {
                    case.note(&format!("{} has ended by itself", node.name));
                    *kills.entry(node.name.clone()).or_default() += 1;
                    node.process.kill();
                    starts.push((index, Instant::now() + Duration::from_millis(500)));
                }
                continue;
            };
            let known = peak.entry(node.name.clone()).or_default();
            *known = known.max(high);
            if high > MEMORY_MB {
                case.note(&format!("{} takes {now:.0} MB of {MEMORY_MB}: killed", node.name));
                *kills.entry(node.name.clone()).or_default() += 1;
                node.process.kill();
                starts.push((index, Instant::now() + Duration::from_millis(500)));
            }
        }
        starts.retain(|(index, at)| {
            if Instant::now() < *at {
                return true;
            }
            let _ = nodes[*index].start();
            false
        });
        if Instant::now() >= next_look {
            next_look = Instant::now() + Duration::from_secs(5);
            let mut line = String::from("ordinary request:");
            for node in nodes.iter().filter(|node| node.is_edge) {
                let headers = [("Request-Id", "p1"), ("Deadline-Ms", "2000")];
                let asked = Instant::now();
                let answer = call(
                    node.callers, "POST", "/plain/x", &headers, b"x", Duration::from_millis(2000),
                );
                let status = answer.map(|answer| answer.status);
                line += &format!(" {}={status:?} in {} ms", node.name, asked.elapsed().as_millis());
            }
            case.note(&line);
        }
        pause(50);
    }
    case.note(&format!("accepted {} jobs; peaks in MB {peak:.0?}; processes killed {kills:?}", accepted.len()));
    for job in &accepted {
        let page = call(
            nodes[0].callers, "GET", &format!("/v1/lots/{job}?After=0"), &[], b"",
            Duration::from_secs(4),
        );
        let page = page.map(|page| (page.status, page.json().get("NextToken").number()));
        case.note(&format!("read {job}: {page:?}"));
    }
    if accepted.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    Ok(kills.is_empty())
}
