//! Completions and service calls while targets fail, in separate processes.
//!
//! Checks compare with the engines' records and with the text, which depends only on the prompt.

mod common;

use std::time::Duration;

use common::{Deployment, Entry, ORGANISATION, StandIn};
use deck_testkit::eventually;
use futures_util::future::{join, join_all};
use serde_json::{Value, json};

const CRASH_MARKER: &str = "breaks-engines";

fn run_test<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

async fn start_engines(
    deployment: &Deployment,
    arguments: &[&[&str]],
    limits: &str,
) -> (Vec<StandIn>, Entry) {
    let engines: Vec<_> =
        arguments.iter().map(|arguments| deployment.start_stand_in("engine", arguments)).collect();
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    deployment.put_shares(&["rank"]).await;
    deployment.put_engine_pool("rank", "m", &addresses).await;
    let entry = deployment.start_entry("e1", &[], limits).await;
    (engines, entry)
}

fn request(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({ "model": "m", "prompt": prompt, "generate_tokens": tokens, "max_tokens": tokens,
        "stream": stream })
}

fn total_tokens(response: &Value) -> u64 {
    let spans = response["spans"].as_array().expect("spans");
    spans.iter().filter_map(|span| span["token_count"].as_u64()).sum()
}

/// Waits until an engine has generated more than five tokens, and returns its index.
async fn wait_for_busy_engine(deployment: &Deployment, engines: &[StandIn]) -> usize {
    let mut busy_engine_index = None;
    eventually("an engine generates", async || {
        for (index, engine) in engines.iter().enumerate() {
            let records = deployment.fetch_records(engine).await;
            let tokens = records["tokens_by_version"].as_object().expect("tokens");
            if tokens.values().filter_map(Value::as_u64).sum::<u64>() > 5 {
                busy_engine_index = Some(index);
            }
        }
        busy_engine_index.is_some()
    })
    .await;
    busy_engine_index.expect("found")
}

/// Guards against a completion that fails or starts over when its engine crashes, and against
/// tokens attributed to the wrong weight version.
#[test]
fn crash_in_mid_stream_resumes_with_the_spans_of_both_versions() {
    run_test(async {
        let deployment = Deployment::start();
        let (mut engines, entry) =
            start_engines(&deployment, &[&["--version", "1"], &["--version", "2"]], "").await;
        let expected = deployment.complete(&entry, &request("seat", 200, false)).await.json();

        let body = request("seat", 200, false);
        let completion = deployment.complete(&entry, &body);
        let find_running = async {
            // The first completion has ended, so a running one is the second.
            let mut running_index = None;
            eventually("an engine runs the request", async || {
                for (index, engine) in engines.iter().enumerate() {
                    let runs = deployment.fetch_records(engine).await["runs"].clone();
                    let running = runs.as_array().expect("runs").iter().any(|run| {
                        run["state"] == "running"
                            && run["ranges"][0]["to"].as_u64().is_some_and(|to| to > 10)
                    });
                    if running {
                        running_index = Some(index);
                    }
                }
                running_index.is_some()
            })
            .await;
            running_index.expect("running engine")
        };
        let (response, crashed) = join(completion, async {
            let index = find_running.await;
            deployment.set_faults(&engines[index], json!({ "crash": true })).await;
            index
        })
        .await;
        assert_eq!(response.status, 200, "{response:?}");
        let response = response.json();
        assert_eq!(response["choices"][0]["text"], expected["choices"][0]["text"]);
        assert_eq!(total_tokens(&response), 200);
        let versions: Vec<_> = response["spans"]
            .as_array()
            .expect("spans")
            .iter()
            .filter_map(|span| span["weight_version"].as_u64())
            .collect();
        assert_eq!(versions, [crashed as u64 + 1, 2 - crashed as u64]);
        let survivor = &engines[1 - crashed];
        assert_eq!(deployment.fetch_records(survivor).await["resume_mismatches"], 0);
        assert!(
            deployment.metrics(&entry).await.contains("deckentry_resumes_total{pool=\"rank\"} 1")
        );
        engines[crashed].process.wait();
    });
}

/// Guards against a truncated stream that the caller receives as a complete one.
#[test]
fn truncated_streams_are_resumed() {
    run_test(async {
        let deployment = Deployment::start();
        let (engines, entry) = start_engines(&deployment, &[&[], &[]], "").await;
        for engine in &engines {
            deployment.set_faults(engine, json!({ "cut_streams": 2 })).await;
        }
        for stream in [false, true] {
            let response = deployment.complete(&entry, &request("seat", 60, stream)).await;
            assert_eq!(response.status, 200, "{response:?}");
            if stream {
                let text = String::from_utf8(response.body).expect("text");
                assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
                assert!(!text.contains("event: error"), "{text}");
                let tokens: u64 = text
                    .lines()
                    .filter_map(|line| line.strip_prefix("data: "))
                    .filter_map(|data| serde_json::from_str::<Value>(data).ok())
                    .filter_map(|chunk| chunk["token_count"].as_u64())
                    .sum();
                assert_eq!(tokens, 60);
            } else {
                assert_eq!(total_tokens(&response.json()), 60);
            }
        }
        for engine in &engines {
            assert_eq!(deployment.fetch_records(engine).await["resume_mismatches"], 0);
        }
    });
}

/// Guards against engines that keep generating for callers that have disconnected.
#[test]
fn caller_that_leaves_cancels_at_the_engine() {
    run_test(async {
        let deployment = Deployment::start();
        let (engines, entry) = start_engines(&deployment, &[&[]], "").await;
        for stream in [false, true] {
            let body = request("seat", 100_000, stream);
            let sent = deployment.complete(&entry, &body);
            monoio::select! {
                _ = sent => panic!("answered too early"),
                _ = wait_for_busy_engine(&deployment, &engines) => {}
            }
            eventually("the engine runs nothing", async || {
                let runs = deployment.fetch_records(&engines[0]).await["runs"].clone();
                let runs = runs.as_array().expect("runs").clone();
                runs.iter().all(|run| run["state"] == "cancelled" || run["state"] == "disconnected")
            })
            .await;
        }
        eventually("no request is in flight", async || {
            deployment.metrics(&entry).await.contains("deckentry_requests_in_flight 0")
        })
        .await;
    });
}

/// Guards against requests to engines that are leaving, and against refusals that reach the caller
/// although another engine is free.
#[test]
fn leaving_and_refusing_engines_are_passed_over() {
    run_test(async {
        let deployment = Deployment::start();
        let (engines, entry) = start_engines(&deployment, &[&[], &[]], "").await;
        deployment.set_faults(&engines[0], json!({ "leaving": true })).await;
        for number in 0..10 {
            let response =
                deployment.complete(&entry, &request(&format!("p{number}"), 5, false)).await;
            assert_eq!(
                (response.status, response.header("x-target")),
                (200, Some("t1")),
                "{response:?}"
            );
        }
        let refused =
            deployment.fetch_records(&engines[0]).await["refused"].as_u64().expect("count");
        assert!(refused <= 1, "sent {refused} requests although it is leaving");

        deployment.set_faults(&engines[1], json!({ "refuse": 1 })).await;
        let response = deployment.complete(&entry, &request("refused once", 5, false)).await;
        assert_eq!(response.status, 200, "{response:?}");
    });
}

/// Guards against entry VMs that send requests to a target that has told another entry VM that it
/// is leaving.
#[test]
fn leaving_target_is_announced_to_other_entries() {
    run_test(async {
        let deployment = Deployment::start();
        let (engines, first_entry) = start_engines(&deployment, &[&[], &[]], "").await;
        let second = deployment.start_entry("e2", &[first_entry.peer], "").await;
        deployment.set_faults(&engines[0], json!({ "leaving": true })).await;
        // Only the first entry VM sends requests until the announcement has reached the second one.
        let refused = async || {
            deployment.fetch_records(&engines[0]).await["refused"].as_u64().expect("count")
        };
        let mut number = 0;
        eventually("the target has refused one request", async || {
            number += 1;
            let body = request(&format!("p{number}"), 5, false);
            deployment.complete(&first_entry, &body).await.status == 200 && refused().await == 1
        })
        .await;
        deployment.wait_for_propagation().await;
        for number in 0..20 {
            let body = request(&format!("q{number}"), 5, false);
            assert_eq!(deployment.complete(&second, &body).await.status, 200);
        }
        assert_eq!(refused().await, 1);
    });
}

/// Guards against a call that waits for an engine that has frozen without closing its connection.
#[test]
fn frozen_engine_is_left_after_the_idle_timeout() {
    run_test(async {
        let deployment = Deployment::start();
        let (engines, entry) =
            start_engines(&deployment, &[&[], &[]], "target_idle_timeout_ms = 700").await;
        let body = request("seat", 150, false);
        let completion = deployment.complete(&entry, &body);
        let freeze = async {
            let index = wait_for_busy_engine(&deployment, &engines).await;
            engines[index].process.suspend();
            index
        };
        let (response, frozen) = join(completion, freeze).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(total_tokens(&response.json()), 150);
        let other = format!("t{}", 1 - frozen);
        assert_eq!(response.header("x-target"), Some(other.as_str()));
        engines[frozen].process.resume();
    });
}

/// Guards against calls that run beyond their deadline, and against reporting one that ran as
/// `not_run`.
#[test]
fn deadline_ends_the_call_and_cancels_at_the_engine() {
    run_test(async {
        let deployment = Deployment::start();
        let (engines, entry) = start_engines(&deployment, &[&[]], "").await;
        let headers = [("x-organisation", ORGANISATION), ("x-deadline-ms", "500")];
        let body = request("seat", 100_000, false).to_string();
        let response =
            deployment.send(entry.caller, "POST", "/v1/completions", &headers, &body).await;
        assert_eq!(response.error(), ("deadline_exceeded".to_owned(), "unknown".to_owned()));
        eventually("the engine stops", async || {
            let state = deployment.fetch_records(&engines[0]).await["runs"][0]["state"].clone();
            state == "cancelled" || state == "disconnected"
        })
        .await;
        let headers = [("x-organisation", ORGANISATION), ("x-deadline-ms", "0")];
        let response =
            deployment.send(entry.caller, "POST", "/v1/completions", &headers, &body).await;
        assert_eq!(response.error(), ("deadline_before_run".to_owned(), "not_run".to_owned()));
        let runs = deployment.fetch_records(&engines[0]).await["runs"].as_array().map(Vec::len);
        assert_eq!(runs, Some(1));
    });
}

/// Guards against a request that crashes engine after engine through several entry VMs, and against
/// refusing the calls that were in flight on the same engines.
#[test]
fn request_that_breaks_engines_is_refused_after_three() {
    run_test(async {
        let deployment = Deployment::start();
        let (engines, first_entry) = start_engines(&deployment, &[&[] as &[&str]; 6], "").await;
        let second = deployment.start_entry("e2", &[first_entry.peer], "").await;
        for engine in &engines {
            deployment.set_faults(engine, json!({ "crash_marker": CRASH_MARKER })).await;
        }
        let harmless_call = |entry, number: usize| {
            let deployment = &deployment;
            async move {
                let body = request(&format!("harmless {number}"), 150, false);
                let response = deployment.complete(entry, &body).await;
                assert_eq!(response.status, 200, "{number}: {response:?}");
                assert_eq!(total_tokens(&response.json()), 150);
            }
        };
        let poison_calls = async {
            monoio::time::sleep(Duration::from_millis(200)).await;
            let body = request(CRASH_MARKER, 10, false);
            let mut responses = Vec::new();
            for entry in [&first_entry, &second, &first_entry] {
                let response = deployment.complete(entry, &body).await;
                // Callers wait for the time given in the response before they retry.
                let wait_ms = response.json()["error"]["retry_after_ms"].as_u64().unwrap_or(0);
                monoio::time::sleep(Duration::from_millis(wait_ms)).await;
                responses.push(response);
            }
            responses
        };
        let harmless_calls = join_all((0..24).map(|number| {
            harmless_call(if number % 2 == 0 { &first_entry } else { &second }, number)
        }));
        let (responses, _) = join(poison_calls, harmless_calls).await;
        assert!(responses.iter().all(|response| response.status >= 400), "{responses:?}");
        eventually("both entry VMs refuse the request at once", async || {
            let condemned = ("request_condemned".to_owned(), "not_run".to_owned());
            let body = request(CRASH_MARKER, 10, false);
            deployment.complete(&first_entry, &body).await.error() == condemned
                && deployment.complete(&second, &body).await.error() == condemned
        })
        .await;
        let mut alive_engines = 0;
        for engine in &engines {
            let response = deployment.try_send(engine.address, "GET", "/v1/state", &[], "").await;
            alive_engines += usize::from(response.is_some());
        }
        assert!(alive_engines >= 3, "{alive_engines} of 6 engines are left");
        for entry in [&first_entry, &second] {
            harmless_call(entry, 100).await;
        }
    });
}

/// Guards against blaming a harmless call for the crash of an engine on which another entry VM runs
/// a call that is suspected too: each VM knows only its own calls.
#[test]
fn suspects_of_two_entries_run_on_different_engines() {
    run_test(async {
        let deployment = Deployment::start();
        let (engines, first_entry) = start_engines(&deployment, &[&[] as &[&str]; 4], "").await;
        let second = deployment.start_entry("e2", &[first_entry.peer], "").await;
        deployment.wait_for_propagation().await;
        let running_by_engine = async || {
            let mut running_by_engine = Vec::new();
            for engine in &engines {
                let records =
                    deployment.try_send(engine.address, "GET", "/admin/records", &[], "").await;
                let runs = records.map(|records| records.json()["runs"].clone());
                let runs = runs.and_then(|runs| runs.as_array().cloned()).unwrap_or_default();
                running_by_engine.push(runs.iter().filter(|run| run["state"] == "running").count());
            }
            running_by_engine
        };
        // Both entry VMs prefer the same engine for calls with a common prefix.
        let prefix = "seat".repeat(512);
        let bodies = ["a", "b"].map(|suffix| request(&format!("{prefix}{suffix}"), 100_000, false));
        let calls = join(
            deployment.complete(&first_entry, &bodies[0]),
            deployment.complete(&second, &bodies[1]),
        );
        let check = async {
            let mut shared_engine = None;
            eventually("one engine runs both calls", async || {
                shared_engine = running_by_engine().await.iter().position(|count| *count == 2);
                shared_engine.is_some()
            })
            .await;
            let shared_engine = &engines[shared_engine.expect("found")];
            deployment.set_faults(shared_engine, json!({ "crash": true })).await;
            let mut running = Vec::new();
            eventually("other engines run both calls", async || {
                running = running_by_engine().await;
                running.iter().sum::<usize>() == 2
            })
            .await;
            assert!(running.iter().all(|count| *count <= 1), "{running:?}");
        };
        monoio::select! {
            _ = calls => panic!("answered too early"),
            _ = check => {}
        }
    });
}

/// Guards against a rollout sample that is refused for 15 minutes because several engines crashed
/// while they generated it, and against a caller that escapes the refusal by naming the job with
/// a prompt of its own.
#[test]
fn sample_of_a_rollout_job_is_owed_after_engine_crashes() {
    run_test(async {
        let other_prompt = format!("{CRASH_MARKER} and another prompt");
        for (prompt, expected_status) in [(CRASH_MARKER, 200), (other_prompt.as_str(), 422)] {
            let deployment = Deployment::start();
            let (engines, entry) = start_engines(&deployment, &[&[] as &[&str]; 6], "").await;
            let spec = json!({
                "organisation": ORGANISATION, "pool": "rank", "scorer_address": "127.0.0.1:1",
                "samples_per_step": 1, "group_size": 1, "staleness_bound_versions": 1,
                "max_tokens": 10, "step_deadline_ms": 1000, "prompts": [CRASH_MARKER],
            });
            deployment.put("RolloutJob", "night", spec).await;
            deployment.wait_for_propagation().await;
            for engine in &engines {
                deployment.set_faults(engine, json!({ "crash_marker": CRASH_MARKER })).await;
            }
            let headers = [
                ("x-organisation", ORGANISATION),
                ("x-job", "night"),
                ("x-priority", "rollout"),
                ("x-deadline-ms", "40000"),
            ];
            let body = request(prompt, 10, false).to_string();
            let send = || deployment.send(entry.caller, "POST", "/v1/completions", &headers, &body);
            // Each call runs on four engines at most.
            let response = send().await;
            assert_eq!(response.status, 502, "{response:?}");
            let mut alive_engines = Vec::new();
            for engine in &engines {
                let state = deployment.try_send(engine.address, "GET", "/v1/state", &[], "").await;
                alive_engines.extend(state.map(|_| engine));
            }
            assert!((2..=3).contains(&alive_engines.len()), "{} are left", alive_engines.len());
            for engine in alive_engines {
                deployment.set_faults(engine, json!({ "crash_marker": "" })).await;
            }
            // A call may try only crashed engines, and is then refused as not run.
            let mut response = send().await;
            while response.status == 503 {
                monoio::time::sleep(Duration::from_millis(50)).await;
                response = send().await;
            }
            assert_eq!(response.status, expected_status, "{prompt}: {response:?}");
        }
    });
}

/// Guards against idempotent calls that fail because a target fails.
#[test]
fn idempotent_service_calls_are_retried() {
    run_test(async {
        let deployment = Deployment::start();
        let service_stand_ins =
            [deployment.start_stand_in("service", &[]), deployment.start_stand_in("service", &[])];
        deployment.put_shares(&["booking"]).await;
        deployment
            .put_service_pool(
                "booking",
                &service_stand_ins.each_ref().map(|service| service.address),
            )
            .await;
        let entry = deployment.start_entry("e1", &[], "").await;
        deployment.wait_until_served(&entry, "booking").await;
        let headers = [("x-organisation", ORGANISATION)];
        for fault in ["lose_answers", "cut_answers", "refuse"] {
            for service in &service_stand_ins {
                deployment.set_faults(service, json!({ fault: 1 })).await;
            }
            let path = "/services/booking/query/x";
            let response = deployment.send(entry.caller, "POST", path, &headers, "body").await;
            assert_eq!(response.status, 200, "{fault}: {response:?}");
            assert_eq!(response.body, b"body", "{fault}");
            for service in &service_stand_ins {
                deployment.set_faults(service, json!({ fault: 0 })).await;
            }
        }
    });
}

/// Guards against a duplicated response that is returned for another request.
#[test]
fn doubled_answers_reach_only_their_own_request() {
    run_test(async {
        let deployment = Deployment::start();
        let service = deployment.start_stand_in("service", &[]);
        deployment.put_shares(&["booking"]).await;
        deployment.put_service_pool("booking", &[service.address]).await;
        let entry = deployment.start_entry("e1", &[], "").await;
        deployment.wait_until_served(&entry, "booking").await;
        deployment.set_faults(&service, json!({ "double_answers": 50 })).await;
        for number in 0..100 {
            let nonce = format!("n{number}");
            let headers = [("x-organisation", ORGANISATION)];
            let path = format!("/services/booking/query/{number}");
            let response = deployment.send(entry.caller, "POST", &path, &headers, &nonce).await;
            assert_eq!(response.status, 200, "{response:?}");
            let echoed = format!("/query/{number}");
            assert_eq!(response.header("x-echo-path"), Some(echoed.as_str()));
            assert_eq!(response.body, nonce.as_bytes());
        }
    });
}
