//! The whole path with separate processes: plain requests, rollout steps, versions, stops and kills.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use deck_net::http::{Method, StatusCode};
use deck_testkit::eventually;
use serde_json::Value;

mod common;

use common::{Fleet, run};

/// Guards against any part of the path that does not serve a calm day: each answer belongs to its
/// request, each result is whole, scored and of an allowed version, at one position on all nodes.
#[test]
fn calm_day_is_served() {
    run(async {
        let fleet = Fleet::start(3);
        fleet.wait_until_ready().await;
        for (index, node) in fleet.entries().enumerate() {
            let id = format!("plain-{index}");
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "2000")];
            let answer = fleet
                .call(node.callers, Method::POST, "/plain/x", &headers, b"body".to_vec())
                .await;
            let (status, body) = answer.expect("answer");
            assert_eq!(status, StatusCode::OK);
            let body: Value = serde_json::from_slice(&body).expect("json");
            assert_eq!(body["echo"], id);
        }
        let metrics = fleet.call(fleet.nodes[0].ready, Method::GET, "/metrics", &[], vec![]).await;
        let metrics = String::from_utf8(metrics.expect("metrics").1).expect("text");
        let counted = "decknode_requests_total{purpose=\"idempotent\",reason=\"none\",route=\"plain\",status=\"200\"} 1";
        assert!(metrics.contains(counted), "{metrics}");
        let missing = fleet
            .call(fleet.nodes[0].callers, Method::GET, "/nowhere/x", &[("Request-Id", "n")], vec![])
            .await;
        assert_eq!(missing.expect("answer").0, StatusCode::NOT_FOUND);
        for step in 0..3 {
            // Step 2 asks for the version that step 1 was waiting for.
            if step > 0 {
                fleet.name_version(step + 1).await;
            }
            let mut lot = fleet.submit(step, 2, step.max(1)).await;
            fleet.read_to_end(&mut lot).await;
            fleet.check_positions(&lot).await;
        }
        let records = fleet.records().await;
        let orders: Vec<&Value> = records.iter().filter(|r| r.get("order").is_some()).collect();
        assert!(!orders.is_empty());
        let holders: Vec<&str> = orders.iter().filter_map(|o| o["holder"].as_str()).collect();
        assert!(holders.iter().all(|holder| *holder == holders[0]), "{holders:?}");
    });
}

/// Guards against a job that is lost, or whose positions change, when the node that runs it dies.
#[test]
fn job_goes_on_after_its_runner_was_killed() {
    run(async {
        let mut fleet = Fleet::start(3);
        fleet.wait_until_ready().await;
        // Checkpoints and relays are known once the nodes have listed each other.
        monoio::time::sleep(Duration::from_secs(3)).await;
        let mut lot = fleet.submit(0, 4, 1).await;
        fleet.read_on(fleet.nodes[0].callers, &mut lot).await;
        for index in 0..3 {
            fleet.nodes[index].process.take().expect("process").kill();
            fleet.start_node(index);
            fleet.wait_until_ready().await;
            fleet.read_on(fleet.nodes[index].callers, &mut lot).await;
        }
        fleet.read_to_end(&mut lot).await;
        fleet.check_positions(&lot).await;
    });
}

/// Guards against a job that stands still because its runner is paused and nobody reads the job at
/// another node.
#[test]
fn job_that_nobody_reads_goes_on_after_its_runner_froze() {
    run(async {
        let fleet = Fleet::start(3);
        fleet.wait_until_ready().await;
        // Nodes know the VMs with a disk once they have listed each other.
        monoio::time::sleep(Duration::from_secs(3)).await;
        // Its items wait for a version that is named once their runner is paused.
        let mut lot = fleet.submit(0, 4, 2).await;
        let mut runner = None;
        eventually("a node has logged the acceptance", async || {
            runner = fleet.entries().find(|node| node.has_logged("job accepted"));
            runner.is_some()
        })
        .await;
        let runner = runner.expect("a node has accepted the job");
        runner.process.as_ref().expect("process").freeze();
        fleet.name_version(2).await;
        eventually("each item is scored", async || {
            let records = fleet.records().await;
            let calls: HashSet<&str> = records.iter().filter_map(|r| r["call"].as_str()).collect();
            lot.items.iter().all(|item| calls.contains(format!("{item}s").as_str()))
        })
        .await;
        runner.process.as_ref().expect("process").thaw();
        fleet.read_to_end(&mut lot).await;
        fleet.check_positions(&lot).await;
    });
}

/// Guards against a planned stop that cuts requests or loses the texts of a job.
#[test]
fn planned_stop_hands_jobs_over() {
    run(async {
        let mut fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let mut lot = fleet.submit(0, 6, 1).await;
        let mut process = fleet.nodes[0].process.take().expect("process");
        process.terminate();
        let status = process.wait();
        assert!(status.success(), "{status:?}");
        // The stopped node's address refuses connections; the other one serves the whole job.
        let survivor = fleet.nodes[1].callers;
        eventually("the job is complete", async || {
            fleet.read_on(survivor, &mut lot).await;
            lot.results.len() == lot.items.len()
        })
        .await;
    });
}

/// Guards against a stop after the time that changed settings leave for it.
#[test]
fn changed_grace_time_is_in_force_without_a_restart() {
    run(async {
        let mut fleet = Fleet::start(1);
        fleet.wait_until_ready().await;
        fleet.change_setting(0, "GraceS = 5", "GraceS = 2");
        eventually("the change is in force", async || fleet.nodes[0].has_logged("bounds in force"))
            .await;
        let mut process = fleet.nodes[0].process.take().expect("process");
        let started = Instant::now();
        process.terminate();
        assert!(process.wait().success());
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    });
}

/// Guards against a caller's connection with other limits than the configuration states.
#[test]
fn head_above_the_configured_limit_is_refused() {
    run(async {
        let fleet = Fleet::start(1);
        fleet.wait_until_ready().await;
        let address = fleet.nodes[0].callers;
        let status = async |bytes: usize| {
            let filler = "f".repeat(bytes);
            let headers = [("Request-Id", "large"), ("Filler", filler.as_str())];
            let sent = fleet.call(address, Method::POST, "/plain/x", &headers, vec![]).await;
            sent.expect("answer").0
        };
        // The stand-in's configuration allows heads of 16 KiB.
        assert_eq!(status(12 * 1024).await, StatusCode::OK);
        assert_eq!(status(20 * 1024).await, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    });
}

/// Guards against a request of a non-idempotent route that runs twice because its answer was lost.
#[test]
fn non_idempotent_request_runs_once() {
    run(async {
        let fleet = Fleet::start(1);
        fleet.wait_until_ready().await;
        for index in 0..20 {
            let id = format!("once-{index}");
            let headers = [("Request-Id", id.as_str())];
            let callers = fleet.nodes[0].callers;
            fleet.call(callers, Method::POST, "/once/x", &headers, vec![]).await.expect("answer");
        }
        let mut runs: HashMap<String, usize> = HashMap::new();
        for record in fleet.records().await {
            if let Some(id) = record["call"].as_str().filter(|id| id.starts_with("once-")) {
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
        assert_eq!(runs.len(), 20);
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    });
}

/// Guards against an outage of the object API that loses results, or refuses a job untruly.
#[test]
fn outage_of_the_object_api_delays_results_only() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let mut lot = fleet.submit(0, 2, 1).await;
        fleet.set_faults(serde_json::json!({"store_down": true})).await;
        monoio::time::sleep(Duration::from_millis(1500)).await;
        fleet.set_faults(serde_json::json!({"store_down": false, "store_lost": 2})).await;
        fleet.read_to_end(&mut lot).await;
        fleet.check_positions(&lot).await;
    });
}

/// Guards against texts with missing or doubled events where streams break off, and against items
/// that are given up after a failed reward call.
#[test]
fn broken_streams_and_failed_rewards_are_repeated() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        fleet.set_faults(serde_json::json!({"cut_streams": 5, "failed_rewards": 1})).await;
        let mut lot = fleet.submit(0, 2, 1).await;
        fleet.read_to_end(&mut lot).await;
        let records = fleet.records().await;
        let resumed = records.iter().filter(|record| record["after"].as_u64() > Some(0)).count();
        assert!(resumed > 0, "no text was resumed");
    });
}

/// Guards against an ended job whose items still reach engines.
#[test]
fn ended_job_runs_no_further_items() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let lot = fleet.submit(0, 20, 1).await;
        let path = format!("/v1/lots/{}", lot.id);
        eventually("the end is acknowledged", async || {
            let ended =
                fleet.call(fleet.nodes[1].callers, Method::DELETE, &path, &[], vec![]).await;
            matches!(ended, Ok((StatusCode::OK, _)))
        })
        .await;
        monoio::time::sleep(Duration::from_millis(500)).await;
        let before = fleet.records().await.len();
        monoio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(fleet.records().await.len(), before);
        let again = fleet.call(fleet.nodes[0].callers, Method::DELETE, &path, &[], vec![]).await;
        assert_eq!(again.expect("answer").0, StatusCode::OK);
    });
}

/// Guards against requests, items and reward calls that reach a server after it has said in an answer
/// that it leaves, while the object API still lists it as ready.
#[test]
fn servers_that_say_they_leave_get_no_further_work() {
    run(async {
        let fleet = Fleet::start(1);
        fleet.wait_until_ready().await;
        let plain = async |id: &str| {
            let headers = [("Request-Id", id), ("Deadline-Ms", "2000")];
            let callers = fleet.nodes[0].callers;
            let answer = fleet.call(callers, Method::POST, "/plain/x", &headers, vec![]).await;
            assert_eq!(answer.expect("answer").0, StatusCode::OK);
        };
        plain("first").await;
        let used = fleet.records().await[0]["server"].as_str().expect("server").to_owned();
        fleet.set_faults(serde_json::json!({"leaving": ["engine-0", used]})).await;
        let work = async |round: u64| {
            for index in 0..10 {
                plain(&format!("plain-{round}-{index}")).await;
            }
            let mut lot = fleet.submit(round, 4, 1).await;
            fleet.read_to_end(&mut lot).await;
            let records = fleet.records().await;
            let count = |key: &str, name: &str| records.iter().filter(|r| r[key] == name).count();
            (count("engine", "engine-0"), count("server", &used))
        };
        let before = work(0).await;
        // The request before, and the one whose answer says that the server leaves.
        assert!(before.0 > 0 && before.1 == 2, "{before:?}");
        assert_eq!(work(1).await, before);
    });
}

/// Pattern: more nodes than the fleet has duties. Guards against a leader that runs the jobs of all
/// models itself, and against a job that is lost with the node that runs its model.
#[test]
fn jobs_of_a_large_fleet_run_beside_the_leader() {
    run(async {
        // One more than the largest fleet in which all nodes watch, and a few to choose from.
        let mut fleet = Fleet::start(13);
        fleet.wait_until_ready().await;
        let with_line = |fleet: &Fleet, text: &str| {
            let logs = fleet.write_logs();
            let has = |file| std::fs::read_to_string(file).expect("log").contains(text);
            logs.iter().position(has)
        };
        eventually("the model has a runner", async || {
            with_line(&fleet, "runners are RunnerTable").is_some()
        })
        .await;
        // Every node has asked a watcher since.
        monoio::time::sleep(Duration::from_secs(2)).await;
        let mut lot = fleet.submit(0, 6, 1).await;
        // A thread of the test receives the nodes' lines.
        eventually("the acceptance is logged", async || {
            with_line(&fleet, "job accepted").is_some()
        })
        .await;
        let runner = with_line(&fleet, "job accepted").expect("a node has accepted the job");
        assert_ne!(Some(runner), with_line(&fleet, "lease held"));
        let address = fleet.nodes[runner].callers;
        let reader = fleet.entries().map(|node| node.callers).find(|other| *other != address);
        fleet.read_on(reader.expect("another node"), &mut lot).await;
        fleet.nodes[runner].process.take().expect("process").kill();
        let mut other = fleet.submit(1, 2, 1).await;
        eventually("the jobs are complete", async || {
            for lot in [&mut lot, &mut other] {
                fleet.read_on(reader.expect("another node"), lot).await;
            }
            lot.results.len() == lot.items.len() && other.results.len() == other.items.len()
        })
        .await;
    });
}
