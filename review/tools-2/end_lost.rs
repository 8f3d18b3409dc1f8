//! A job whose end was asked for while the store was down, by a caller that got no acknowledgement.

#[path = "lab.rs"]
mod lab;

use std::{path::Path, time::{Duration, Instant}};

use lab::*;

const ITEMS: usize = 320;

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let mut case = Case::new("end", Path::new(&folder));
    let outcome = run(&mut case);
    finish(case, outcome)
}

fn run(case: &mut Case) -> Result<bool, String> {
    let (_platform, store) =
        start_platform(case, &["--engines", "3", "--event-ms", "250", "--max-wait-s", "90"])?;
    let mut nodes = nodes(case, store, &Setup { edges: 5, ..Setup::default() })?;
    for node in &mut nodes {
        node.start()?;
    }
    wait_until_ready(&nodes, Duration::from_secs(15))?;
    let waited = Instant::now();
    let holder = loop {
        if let Some(holder) = leader(store) {
            break holder;
        }
        if waited.elapsed() > Duration::from_secs(10) {
            return Err("no leader".to_owned());
        }
        pause(100);
    };
    pause(3000);
    let first = nodes.iter().position(|node| node.name == holder).ok_or("leader is not a node")?;
    let others: Vec<usize> = (0..5).filter(|index| *index != first).collect();
    case.note(&format!("leader {holder}"));

    let job = format!("job{:x}", std::process::id());
    let items: Vec<String> = (0..ITEMS)
        .map(|index| {
            format!(
                "{{\"Id\":\"{job}i{index}\",\"Path\":\"/jobs/run\",\"Headers\":{{\"Model\":\"m0\"}},\
                 \"Body\":\"q83v\",\"Tokens\":100,\"Group\":\"g{}\"}}",
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
    let path = format!("/jobs/{job}");
    let accepted = call(
        nodes[first].callers, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(4),
    )?;
    case.note(&format!("job {job} with {ITEMS} items submitted status={}", accepted.status));
    if accepted.status != 202 {
        return Err("the job was not accepted".to_owned());
    }
    pause(3000);
    let running = runs(store, &job)?;
    case.note(&format!("runs so far {running}"));
    if running == 0 {
        return Err("the job does not run".to_owned());
    }

    if case.trouble {
        set_faults(store, "{\"store_down\":true}")?;
        case.note("store down: all its calls are answered 503");
        pause(1000);
    }
    // The caller ends the job: one attempt and one retry at another node, as on the sheets.
    let mut acknowledged = None;
    for index in [first, others[0]] {
        let answer = call(
            nodes[index].callers, "DELETE", &format!("/v1/lots/{job}"), &[("Request-Id", "e1")],
            b"", Duration::from_secs(4),
        );
        let status = answer.as_ref().map(|answer| answer.status);
        case.note(&format!("end sent to {} answer={status:?}", nodes[index].name));
        if status == Ok(200) {
            acknowledged = Some(Instant::now());
            break;
        }
    }
    if case.trouble {
        for index in [first, others[0], others[1]] {
            nodes[index].process.kill();
            case.note(&format!("{} killed", nodes[index].name));
        }
        pause(700);
        for index in [first, others[0], others[1]] {
            nodes[index].start()?;
            case.note(&format!("{} started", nodes[index].name));
        }
        pause(2300);
        set_faults(store, "{\"store_down\":false}")?;
        case.note("store back");
    }
    // Without an acknowledgement the end counts as acknowledged after AckMs of steady state, which
    // begins ContactMs after the end of the disruptions.
    let counts_from = match acknowledged {
        Some(at) => at,
        None => Instant::now() + Duration::from_millis(3000 + 4000),
    };
    let none_after = counts_from + Duration::from_millis(3000);
    std::thread::sleep(none_after.saturating_duration_since(Instant::now()));
    pause(300);
    let before = runs(store, &job)?;
    case.note(&format!("CancelMs after the end counts as acknowledged: runs so far {before}"));
    pause(12_000);
    let after = runs(store, &job)?;
    case.note(&format!("12 s later: runs so far {after}"));
    let page = call(
        nodes[others[2]].callers, "GET", &format!("/v1/lots/{job}?After=0"), &[], b"",
        Duration::from_secs(4),
    );
    if let Ok(page) = page {
        let listed = page.json().get("NextToken").number();
        case.note(&format!("results listed {listed} status={}", page.status));
    }
    for record in records(store)?.iter().skip(0).rev().take(3) {
        case.note(&format!("last records: {}", record.encode()));
    }
    Ok(after == before)
}

/// Returns the number of runs of items of the job that servers have received.
fn runs(store: std::net::SocketAddr, job: &str) -> Result<usize, String> {
    let prefix = format!("{job}i");
    Ok(records(store)?.iter().filter(|record| record.get("run").text().starts_with(&prefix)).count())
}
