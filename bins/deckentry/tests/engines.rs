//! Completions while engines fail, in separate processes.
//!
//! The engines' records and the text, which depends on the prompt only, are the truth.

mod common;

use std::time::Duration;

use common::{Entry, ORGANISATION, Program, World};
use deck_testkit::eventually;
use futures_util::future::{join, join_all};
use serde_json::{Value, json};

const MARKER: &str = "breaks-engines";

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

async fn engines(world: &World, arguments: &[&[&str]], limits: &str) -> (Vec<Program>, Entry) {
    let engines: Vec<_> =
        arguments.iter().map(|arguments| world.stand_in("engine", arguments)).collect();
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    world.put_shares(&["rank"]).await;
    world.put_engines("rank", "m", &addresses).await;
    let entry = world.entry("e1", &[], limits).await;
    (engines, entry)
}

fn request(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({ "model": "m", "prompt": prompt, "generate_tokens": tokens, "max_tokens": tokens,
        "stream": stream })
}

fn token_sum(answer: &Value) -> u64 {
    let spans = answer["spans"].as_array().expect("spans");
    spans.iter().filter_map(|span| span["token_count"].as_u64()).sum()
}

/// Waits until an engine has made some tokens; returns its index.
async fn busy_engine(world: &World, engines: &[Program]) -> usize {
    let mut found = None;
    eventually("an engine generates", async || {
        for (index, engine) in engines.iter().enumerate() {
            let records = world.records(engine).await;
            let tokens = records["tokens_by_version"].as_object().expect("tokens");
            if tokens.values().filter_map(Value::as_u64).sum::<u64>() > 5 {
                found = Some(index);
            }
        }
        found.is_some()
    })
    .await;
    found.expect("found")
}

/// Guards against a stream that ends or starts over when its engine crashes, and against tokens
/// that are attributed to the wrong weight version.
#[test]
fn crash_in_mid_stream_resumes_with_the_spans_of_both_versions() {
    run(async {
        let world = World::start();
        let (mut engines, entry) =
            engines(&world, &[&["--version", "1"], &["--version", "2"]], "").await;
        let expected = world.complete(&entry, &request("seat", 200, false)).await.json();

        let body = request("seat", 200, false);
        let completed = world.complete(&entry, &body);
        let crashed = async {
            // The first completion has ended, so only the second one can be running.
            let mut busy = None;
            eventually("an engine runs the request", async || {
                for (index, engine) in engines.iter().enumerate() {
                    let runs = world.records(engine).await["runs"].clone();
                    let running = runs.as_array().expect("runs").iter().any(|run| {
                        run["state"] == "running"
                            && run["ranges"][0]["to"].as_u64().is_some_and(|to| to > 10)
                    });
                    if running {
                        busy = Some(index);
                    }
                }
                busy.is_some()
            })
            .await;
            busy.expect("busy")
        };
        let (answer, crashed) = join(completed, async {
            let index = crashed.await;
            world.faults(&engines[index], json!({ "crash": true })).await;
            index
        })
        .await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let answer = answer.json();
        assert_eq!(answer["choices"][0]["text"], expected["choices"][0]["text"]);
        assert_eq!(token_sum(&answer), 200);
        let versions: Vec<_> = answer["spans"]
            .as_array()
            .expect("spans")
            .iter()
            .filter_map(|span| span["weight_version"].as_u64())
            .collect();
        assert_eq!(versions, [crashed as u64 + 1, 2 - crashed as u64]);
        let survivor = &engines[1 - crashed];
        assert_eq!(world.records(survivor).await["resume_mismatches"], 0);
        assert!(world.metrics(&entry).await.contains("deckentry_resumes_total{pool=\"rank\"} 1"));
        engines[crashed].process.wait();
    });
}

/// Guards against a truncated stream that is given to the caller as a whole one.
#[test]
fn truncated_streams_are_resumed() {
    run(async {
        let world = World::start();
        let (engines, entry) = engines(&world, &[&[], &[]], "").await;
        for engine in &engines {
            world.faults(engine, json!({ "cut_streams": 2 })).await;
        }
        for stream in [false, true] {
            let answer = world.complete(&entry, &request("seat", 60, stream)).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            if stream {
                let text = String::from_utf8(answer.body).expect("text");
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
                assert_eq!(token_sum(&answer.json()), 60);
            }
        }
        for engine in &engines {
            assert_eq!(world.records(engine).await["resume_mismatches"], 0);
        }
    });
}

/// Guards against engines that go on working for callers that have left.
#[test]
fn caller_that_leaves_cancels_at_the_engine() {
    run(async {
        let world = World::start();
        let (engines, entry) = engines(&world, &[&[]], "").await;
        for stream in [false, true] {
            let body = request("seat", 100_000, stream);
            let sent = world.complete(&entry, &body);
            monoio::select! {
                _ = sent => panic!("answered too early"),
                _ = busy_engine(&world, &engines) => {}
            }
            eventually("the engine runs nothing", async || {
                let runs = world.records(&engines[0]).await["runs"].clone();
                let runs = runs.as_array().expect("runs").clone();
                runs.iter().all(|run| run["state"] == "cancelled" || run["state"] == "disconnected")
            })
            .await;
        }
        eventually("no request is in flight", async || {
            world.metrics(&entry).await.contains("deckentry_requests_in_flight 0")
        })
        .await;
    });
}

/// Guards against work for engines that are leaving or refuse, and against refusals that reach the
/// caller while another engine is free.
#[test]
fn leaving_and_refusing_engines_are_passed_over() {
    run(async {
        let world = World::start();
        let (engines, entry) = engines(&world, &[&[], &[]], "").await;
        world.faults(&engines[0], json!({ "leaving": true })).await;
        for number in 0..10 {
            let answer = world.complete(&entry, &request(&format!("p{number}"), 5, false)).await;
            assert_eq!((answer.status, answer.header("x-target")), (200, Some("t1")), "{answer:?}");
        }
        let refused = world.records(&engines[0]).await["refused"].as_u64().expect("count");
        assert!(refused <= 1, "asked {refused} times although it said that it leaves");

        world.faults(&engines[1], json!({ "refuse": 1 })).await;
        let answer = world.complete(&entry, &request("refused once", 5, false)).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    });
}

/// Guards against entry VMs that send work to a target that told another one that it leaves.
#[test]
fn leaving_target_is_announced_to_other_entries() {
    run(async {
        let world = World::start();
        let (engines, first) = engines(&world, &[&[], &[]], "").await;
        let second = world.entry("e2", &[first.peer], "").await;
        world.faults(&engines[0], json!({ "leaving": true })).await;
        // Until the announcement has arrived, the second VM may ask the target itself.
        let refused = async || world.records(&engines[0]).await["refused"].as_u64().expect("count");
        let mut number = 0;
        eventually("the target was asked once", async || {
            number += 1;
            let body = request(&format!("p{number}"), 5, false);
            world.complete(&first, &body).await.status == 200 && refused().await == 1
        })
        .await;
        world.settle().await;
        for number in 0..20 {
            let body = request(&format!("q{number}"), 5, false);
            assert_eq!(world.complete(&second, &body).await.status, 200);
        }
        assert_eq!(refused().await, 1);
    });
}

/// Guards against a call that waits for an engine that has stopped without closing its connection.
#[test]
fn frozen_engine_is_left_after_the_idle_timeout() {
    run(async {
        let world = World::start();
        let (engines, entry) = engines(&world, &[&[], &[]], "target_idle_timeout_ms = 700").await;
        let body = request("seat", 150, false);
        let completed = world.complete(&entry, &body);
        let frozen = async {
            let index = busy_engine(&world, &engines).await;
            engines[index].process.suspend();
            index
        };
        let (answer, frozen) = join(completed, frozen).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(token_sum(&answer.json()), 150);
        let other = format!("t{}", 1 - frozen);
        assert_eq!(answer.header("x-target"), Some(other.as_str()));
        engines[frozen].process.resume();
    });
}

/// Guards against calls that run beyond their deadline, and against `not_run` for one that ran.
#[test]
fn deadline_ends_the_call_and_cancels_at_the_engine() {
    run(async {
        let world = World::start();
        let (engines, entry) = engines(&world, &[&[]], "").await;
        let headers = [("x-organisation", ORGANISATION), ("x-deadline-ms", "500")];
        let body = request("seat", 100_000, false).to_string();
        let answer = world.send(entry.caller, "POST", "/v1/completions", &headers, &body).await;
        assert_eq!(answer.error(), ("deadline_exceeded".to_owned(), "unknown".to_owned()));
        eventually("the engine stops", async || {
            let state = world.records(&engines[0]).await["runs"][0]["state"].clone();
            state == "cancelled" || state == "disconnected"
        })
        .await;
        let headers = [("x-organisation", ORGANISATION), ("x-deadline-ms", "0")];
        let answer = world.send(entry.caller, "POST", "/v1/completions", &headers, &body).await;
        assert_eq!(answer.error(), ("deadline_before_run".to_owned(), "not_run".to_owned()));
        let runs = world.records(&engines[0]).await["runs"].as_array().map(Vec::len);
        assert_eq!(runs, Some(1));
    });
}

/// Guards against a request that takes down one engine after the other, here and through another
/// entry VM, and against blocking the calls that were in flight beside it.
#[test]
fn request_that_breaks_engines_is_refused_after_three() {
    run(async {
        let world = World::start();
        let (engines, first) = engines(&world, &[&[] as &[&str]; 6], "").await;
        let second = world.entry("e2", &[first.peer], "").await;
        for engine in &engines {
            world.faults(engine, json!({ "crash_marker": MARKER })).await;
        }
        let innocent = |entry, number: usize| {
            let world = &world;
            async move {
                let body = request(&format!("harmless {number}"), 150, false);
                let answer = world.complete(entry, &body).await;
                assert_eq!(answer.status, 200, "{number}: {answer:?}");
                assert_eq!(token_sum(&answer.json()), 150);
            }
        };
        let guilty = async {
            monoio::time::sleep(Duration::from_millis(200)).await;
            let body = request(MARKER, 10, false);
            let mut answers = Vec::new();
            for entry in [&first, &second, &first] {
                let answer = world.complete(entry, &body).await;
                // A caller comes back after the time that the answer names.
                let wait_ms = answer.json()["error"]["retry_after_ms"].as_u64().unwrap_or(0);
                monoio::time::sleep(Duration::from_millis(wait_ms)).await;
                answers.push(answer);
            }
            answers
        };
        let innocents = join_all(
            (0..24).map(|number| innocent(if number % 2 == 0 { &first } else { &second }, number)),
        );
        let (answers, _) = join(guilty, innocents).await;
        assert!(answers.iter().all(|answer| answer.status >= 400), "{answers:?}");
        eventually("both entry VMs refuse the request at once", async || {
            let condemned = ("request_condemned".to_owned(), "not_run".to_owned());
            let body = request(MARKER, 10, false);
            world.complete(&first, &body).await.error() == condemned
                && world.complete(&second, &body).await.error() == condemned
        })
        .await;
        let mut alive = 0;
        for engine in &engines {
            let answer = world.try_send(engine.address, "GET", "/v1/state", &[], "").await;
            alive += usize::from(answer.is_some());
        }
        assert!(alive >= 3, "{alive} of 6 engines are left");
        for entry in [&first, &second] {
            innocent(entry, 100).await;
        }
    });
}

/// Guards against idempotent calls that fail because one target does.
#[test]
fn idempotent_service_calls_are_retried() {
    run(async {
        let world = World::start();
        let services = [world.stand_in("service", &[]), world.stand_in("service", &[])];
        world.put_shares(&["booking"]).await;
        world.put_services("booking", &services.each_ref().map(|s| s.address)).await;
        let entry = world.entry("e1", &[], "").await;
        world.wait_service(&entry, "booking").await;
        let headers = [("x-organisation", ORGANISATION)];
        for fault in ["lose_answers", "cut_answers", "refuse"] {
            for service in &services {
                world.faults(service, json!({ fault: 1 })).await;
            }
            let path = "/services/booking/query/x";
            let answer = world.send(entry.caller, "POST", path, &headers, "body").await;
            assert_eq!(answer.status, 200, "{fault}: {answer:?}");
            assert_eq!(answer.body, b"body", "{fault}");
            for service in &services {
                world.faults(service, json!({ fault: 0 })).await;
            }
        }
    });
}

/// Guards against a late or doubled answer that is taken for the answer to another request.
#[test]
fn doubled_answers_reach_only_their_own_request() {
    run(async {
        let world = World::start();
        let service = world.stand_in("service", &[]);
        world.put_shares(&["booking"]).await;
        world.put_services("booking", &[service.address]).await;
        let entry = world.entry("e1", &[], "").await;
        world.wait_service(&entry, "booking").await;
        world.faults(&service, json!({ "double_answers": 50 })).await;
        for number in 0..100 {
            let nonce = format!("n{number}");
            let headers = [("x-organisation", ORGANISATION)];
            let path = format!("/services/booking/query/{number}");
            let answer = world.send(entry.caller, "POST", &path, &headers, &nonce).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            let echoed = format!("/query/{number}");
            assert_eq!(answer.header("x-echo-path"), Some(echoed.as_str()));
            assert_eq!(answer.body, nonce.as_bytes());
        }
    });
}
