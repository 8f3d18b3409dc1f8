//! End-to-end tests with separate processes: plain requests, rollout steps, weight versions, and
//! node processes that stop, restart or are killed.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use deck_net::http::{Method, StatusCode};
use deck_testkit::eventually;
use serde_json::Value;

mod common;

use common::{Fleet, run};

/// Guards against wrong service without faults: each response belongs to its request, and each
/// result is whole, scored, of an allowed weight version and at the same position on all nodes.
#[test]
fn fleet_without_faults_serves_requests_and_jobs() {
    run(async {
        let fleet = Fleet::start(3);
        fleet.wait_until_ready().await;
        for (index, node) in fleet.entry_nodes().enumerate() {
            let id = format!("plain-{index}");
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "2000")];
            let answer = fleet
                .call(node.caller_address, Method::POST, "/plain/x", &headers, b"body".to_vec())
                .await;
            let (status, body) = answer.expect("answer");
            assert_eq!(status, StatusCode::OK);
            let body: Value = serde_json::from_slice(&body).expect("json");
            assert_eq!(body["echo"], id);
        }
        let metrics = fleet
            .call(fleet.nodes[0].readiness_address, Method::GET, "/metrics", &[], vec![])
            .await;
        let metrics = String::from_utf8(metrics.expect("metrics").1).expect("text");
        let expected_sample = "decknode_requests_total{purpose=\"idempotent\",reason=\"none\",route=\"plain\",status=\"200\"} 1";
        assert!(metrics.contains(expected_sample), "{metrics}");
        let unrouted_response = fleet
            .call(
                fleet.nodes[0].caller_address,
                Method::GET,
                "/nowhere/x",
                &[("Request-Id", "n")],
                vec![],
            )
            .await;
        assert_eq!(unrouted_response.expect("answer").0, StatusCode::NOT_FOUND);
        for step in 0..3 {
            // Steps 1 and 2 each use a newly published version.
            if step > 0 {
                fleet.publish_version(step + 1).await;
            }
            let mut job = fleet.submit(step, 2, step.max(1)).await;
            fleet.read_until_complete(&mut job).await;
            fleet.assert_same_positions(&job).await;
        }
        let stand_in_records = fleet.stand_in_records().await;
        let orders: Vec<&Value> =
            stand_in_records.iter().filter(|r| r.get("order").is_some()).collect();
        assert!(!orders.is_empty());
        let holders: Vec<&str> = orders.iter().filter_map(|o| o["holder"].as_str()).collect();
        assert!(holders.iter().all(|holder| *holder == holders[0]), "{holders:?}");
    });
}

/// Guards against a job that is lost, or whose result positions change, when its runner is killed.
#[test]
fn job_continues_after_its_runner_was_killed() {
    run(async {
        let mut fleet = Fleet::start(3);
        fleet.wait_until_ready().await;
        // Wait until the nodes have listed each other, which they need for checkpoints and relayed
        // calls.
        monoio::time::sleep(Duration::from_secs(3)).await;
        let mut job = fleet.submit(0, 4, 1).await;
        fleet.read_next_results(fleet.nodes[0].caller_address, &mut job).await;
        for index in 0..3 {
            fleet.nodes[index].process.take().expect("process").kill();
            fleet.start_node(index);
            fleet.wait_until_ready().await;
            fleet.read_next_results(fleet.nodes[index].caller_address, &mut job).await;
        }
        fleet.read_until_complete(&mut job).await;
        fleet.assert_same_positions(&job).await;
    });
}

/// Guards against a stalled job whose runner is paused while no caller reads the job at another
/// node.
#[test]
fn unread_job_continues_after_its_runner_was_paused() {
    run(async {
        let fleet = Fleet::start(3);
        fleet.wait_until_ready().await;
        // Wait until the nodes have listed each other, so that they know the node with a disk.
        monoio::time::sleep(Duration::from_secs(3)).await;
        // The items wait for a version that is published only after their runner is paused.
        let mut job = fleet.submit(0, 4, 2).await;
        let mut runner = None;
        eventually("a node has logged the acceptance", async || {
            runner = fleet.entry_nodes().find(|node| node.has_logged("job accepted"));
            runner.is_some()
        })
        .await;
        let runner = runner.expect("a node has accepted the job");
        runner.process.as_ref().expect("process").suspend();
        fleet.publish_version(2).await;
        eventually("each item is scored", async || {
            let stand_in_records = fleet.stand_in_records().await;
            let calls: HashSet<&str> =
                stand_in_records.iter().filter_map(|r| r["call"].as_str()).collect();
            job.items.iter().all(|item| calls.contains(format!("{item}s").as_str()))
        })
        .await;
        runner.process.as_ref().expect("process").resume();
        fleet.read_until_complete(&mut job).await;
        fleet.assert_same_positions(&job).await;
    });
}

/// Guards against a graceful stop that cuts off requests or loses the generated texts of a job.
#[test]
fn graceful_stop_hands_jobs_over() {
    run(async {
        let mut fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let mut job = fleet.submit(0, 6, 1).await;
        let mut process = fleet.nodes[0].process.take().expect("process");
        process.terminate();
        let status = process.wait();
        assert!(status.success(), "{status:?}");
        // The stopped node refuses connections; the other node serves the whole job.
        let running_node_address = fleet.nodes[1].caller_address;
        eventually("the job is complete", async || {
            fleet.read_next_results(running_node_address, &mut job).await;
            job.results.len() == job.items.len()
        })
        .await;
    });
}

/// Guards against a stop that ignores a grace time shortened in the settings while the node runs.
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

/// Guards against caller connections that do not enforce the limits of the configuration.
#[test]
fn head_above_the_configured_limit_is_refused() {
    run(async {
        let fleet = Fleet::start(1);
        fleet.wait_until_ready().await;
        let address = fleet.nodes[0].caller_address;
        let status = async |bytes: usize| {
            let filler_value = "f".repeat(bytes);
            let headers = [("Request-Id", "large"), ("Filler", filler_value.as_str())];
            let response = fleet.call(address, Method::POST, "/plain/x", &headers, vec![]).await;
            response.expect("answer").0
        };
        // The stand-in's configuration allows request heads of up to 16 KiB.
        assert_eq!(status(12 * 1024).await, StatusCode::OK);
        assert_eq!(status(20 * 1024).await, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    });
}

/// Guards against a request of a non-idempotent route that runs twice because its response was
/// lost.
#[test]
fn non_idempotent_request_runs_once() {
    run(async {
        let fleet = Fleet::start(1);
        fleet.wait_until_ready().await;
        for index in 0..20 {
            let id = format!("once-{index}");
            let headers = [("Request-Id", id.as_str())];
            let address = fleet.nodes[0].caller_address;
            fleet.call(address, Method::POST, "/once/x", &headers, vec![]).await.expect("answer");
        }
        let mut runs: HashMap<String, usize> = HashMap::new();
        for record in fleet.stand_in_records().await {
            if let Some(id) = record["call"].as_str().filter(|id| id.starts_with("once-")) {
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
        assert_eq!(runs.len(), 20);
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    });
}

/// Guards against an outage of the object API that loses or changes the results of an accepted job.
#[test]
fn outage_of_the_object_api_delays_results_only() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let mut job = fleet.submit(0, 2, 1).await;
        fleet.set_faults(serde_json::json!({"store_down": true})).await;
        monoio::time::sleep(Duration::from_millis(1500)).await;
        fleet.set_faults(serde_json::json!({"store_down": false, "store_lost": 2})).await;
        fleet.read_until_complete(&mut job).await;
        fleet.assert_same_positions(&job).await;
    });
}

/// Guards against missing or duplicate events in texts whose streams were interrupted, and against
/// items that are abandoned after a failed reward call.
#[test]
fn broken_streams_and_failed_rewards_are_repeated() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        fleet.set_faults(serde_json::json!({"cut_streams": 5, "failed_rewards": 1})).await;
        let mut job = fleet.submit(0, 2, 1).await;
        fleet.read_until_complete(&mut job).await;
        let stand_in_records = fleet.stand_in_records().await;
        let resumed =
            stand_in_records.iter().filter(|record| record["after"].as_u64() > Some(0)).count();
        assert!(resumed > 0, "no text was resumed");
    });
}

/// Guards against items that still reach engines after their job was ended.
#[test]
fn ended_job_runs_no_further_items() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let job = fleet.submit(0, 20, 1).await;
        let path = format!("/v1/lots/{}", job.id);
        eventually("the end is acknowledged", async || {
            let end_response =
                fleet.call(fleet.nodes[1].caller_address, Method::DELETE, &path, &[], vec![]).await;
            matches!(end_response, Ok((StatusCode::OK, _)))
        })
        .await;
        monoio::time::sleep(Duration::from_millis(500)).await;
        let record_count = fleet.stand_in_records().await.len();
        monoio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(fleet.stand_in_records().await.len(), record_count);
        let second_end_response =
            fleet.call(fleet.nodes[0].caller_address, Method::DELETE, &path, &[], vec![]).await;
        assert_eq!(second_end_response.expect("answer").0, StatusCode::OK);
    });
}

/// Guards against requests, items and reward calls that are sent to a target after one of its
/// responses stated that it is leaving, while the object API still lists it as ready.
#[test]
fn leaving_targets_get_no_further_work() {
    run(async {
        let fleet = Fleet::start(1);
        fleet.wait_until_ready().await;
        let send_plain = async |id: &str| {
            let headers = [("Request-Id", id), ("Deadline-Ms", "2000")];
            let address = fleet.nodes[0].caller_address;
            let answer = fleet.call(address, Method::POST, "/plain/x", &headers, vec![]).await;
            assert_eq!(answer.expect("answer").0, StatusCode::OK);
        };
        send_plain("first").await;
        let used_target =
            fleet.stand_in_records().await[0]["server"].as_str().expect("server").to_owned();
        fleet.set_faults(serde_json::json!({"leaving": ["engine-0", used_target]})).await;
        let run_round = async |round: u64| {
            for index in 0..10 {
                send_plain(&format!("plain-{round}-{index}")).await;
            }
            let mut job = fleet.submit(round, 4, 1).await;
            fleet.read_until_complete(&mut job).await;
            let stand_in_records = fleet.stand_in_records().await;
            let count =
                |key: &str, name: &str| stand_in_records.iter().filter(|r| r[key] == name).count();
            (count("engine", "engine-0"), count("server", &used_target))
        };
        let first_counts = run_round(0).await;
        // One request before the fault, and the one whose response states that the target is
        // leaving.
        assert!(first_counts.0 > 0 && first_counts.1 == 2, "{first_counts:?}");
        assert_eq!(run_round(1).await, first_counts);
    });
}

/// Guards against a leader that runs the jobs of all models itself in a fleet large enough for
/// separate runners, and against a job that is lost when its runner is killed.
#[test]
fn jobs_of_a_large_fleet_run_on_other_nodes_than_the_leader() {
    run(async {
        // In a fleet of this size not all nodes are watchers, and the leader has several nodes from
        // which to choose a runner.
        let mut fleet = Fleet::start(13);
        fleet.wait_until_ready().await;
        let node_that_logged = |fleet: &Fleet, text: &str| {
            let logs = fleet.write_logs();
            let has_line = |file| std::fs::read_to_string(file).expect("log").contains(text);
            logs.iter().position(has_line)
        };
        eventually("the model has a runner", async || {
            node_that_logged(&fleet, "runners are RunnerTable").is_some()
        })
        .await;
        // Wait until every node has received the runner table from a watcher.
        monoio::time::sleep(Duration::from_secs(2)).await;
        let mut job = fleet.submit(0, 6, 1).await;
        // A thread of the test collects the nodes' output, so the log line may arrive late.
        eventually("the acceptance is logged", async || {
            node_that_logged(&fleet, "job accepted").is_some()
        })
        .await;
        let runner = node_that_logged(&fleet, "job accepted").expect("a node has accepted the job");
        assert_ne!(Some(runner), node_that_logged(&fleet, "lease held"));
        let runner_address = fleet.nodes[runner].caller_address;
        let reader_address = fleet
            .entry_nodes()
            .map(|node| node.caller_address)
            .find(|other| *other != runner_address);
        fleet.read_next_results(reader_address.expect("another node"), &mut job).await;
        fleet.nodes[runner].process.take().expect("process").kill();
        let mut second_job = fleet.submit(1, 2, 1).await;
        eventually("the jobs are complete", async || {
            for job in [&mut job, &mut second_job] {
                fleet.read_next_results(reader_address.expect("another node"), job).await;
            }
            job.results.len() == job.items.len()
                && second_job.results.len() == second_job.items.len()
        })
        .await;
    });
}
