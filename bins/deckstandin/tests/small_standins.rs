//! Tests of the smaller stand-ins: plain service, VM list, weight store, scorer, link and trainer.

mod common;

use std::time::Duration;

use common::{Standin, post, run};
use deck_net::{Client, NetError};
use deck_testkit::{Process, eventually};
use serde_json::{Value, json};
use test_case::test_case;

/// Guards against injected faults after which the execution is missing from the records.
#[test_case("errors_after_execution", 1; "error after execution")]
#[test_case("cut_answers", 1; "answer cut short")]
#[test_case("lose_answers", 1; "answer lost")]
#[test_case("refuse", 0; "refused before running")]
fn failed_call_is_counted_if_it_ran(fault: &str, executions: u64) {
    run(async {
        let service = Standin::start(&["service"]);
        service.faults(json!({ fault: 1 })).await;
        let request = post("/book", &[("idempotency-key", "k")], "body");
        let failed = match service.client.send(service.address, request).await {
            Ok(response) => {
                assert_ne!(fault, "lose_answers", "the connection closes without an answer");
                assert_eq!(response.headers.contains_key("x-not-run"), executions == 0);
                !response.status.is_success() || response.collect(100).await.is_err()
            }
            Err(error) => {
                assert_eq!(fault, "lose_answers", "{error}");
                assert!(error.may_have_been_sent());
                true
            }
        };
        assert!(failed);
        let executions_by_key = service.json("GET", "/admin/executions", Value::Null).await.1;
        assert_eq!(executions_by_key["k"].as_u64().unwrap_or(0), executions);
        let request = post("/book", &[], "body");
        let response = service.client.send(service.address, request).await.expect("response");
        assert_eq!(&response.collect(100).await.expect("body")[..], b"body", "one call only");
    });
}

/// Guards against a `double_answers` fault whose second response does not reach the client.
#[test]
fn double_answer_repeats_the_bytes() {
    run(async {
        use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
        let service = Standin::start(&["service"]);
        service.faults(json!({ "double_answers": 1 })).await;
        let mut stream = monoio::net::TcpStream::connect(service.address).await.expect("connect");
        let head = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody".to_vec();
        stream.write_all(head).await.0.expect("write");
        let mut received = String::new();
        while received.matches("HTTP/1.1 200").count() < 2 {
            let (count, bytes) = stream.read(vec![0_u8; 4096]).await;
            let count = count.expect("read");
            assert!(count > 0, "connection closed after {received:?}");
            received += &String::from_utf8_lossy(&bytes[..count]);
        }
    });
}

/// Guards against a VM list that changes before its lag has passed.
#[test]
fn vm_list_lags() {
    run(async {
        let list = Standin::start(&["vmlist"]);
        let vm = |state: &str| {
            json!({ "vms": [{ "vm": "v1", "data_centre": "sofia-a",
            "address": "127.0.0.1:1", "state": state }] })
        };
        list.json("PUT", "/admin/vms", vm("live")).await;
        list.faults(json!({ "lag_ms": 3_600_000 })).await;
        list.json("PUT", "/admin/vms", vm("leaving")).await;
        let fetch_list =
            || deck_plat::vmlist::fetch(&list.client, list.address, Duration::from_secs(9));
        assert_eq!(
            fetch_list().await.expect("list").vms[0].state,
            deck_plat::vmlist::ListedState::Live
        );
        list.faults(json!({ "lag_ms": 0 })).await;
        let listed_state = fetch_list().await.expect("list").vms[0].state;
        assert_eq!(listed_state, deck_plat::vmlist::ListedState::Leaving);
    });
}

/// Guards against a weight store without a rate limit, and aborted downloads that appear complete.
#[test]
fn weight_store_publishes_limits_and_cuts() {
    run(async {
        let store = Standin::start(&["weights", "--model", "m", "--downloads-per-s", "2"]);
        let (status, _) = store.json("PUT", "/v1/weights/m/7", json!({ "size_bytes": 1000 })).await;
        assert_eq!(status, 201);
        let latest = store.json("GET", "/v1/weights/m/latest", Value::Null).await.1;
        assert_eq!(latest["version"], 7);
        store.faults(json!({ "cut_downloads": 1 })).await;
        let download = async || {
            let request = deck_net::http::Request::get("/v1/weights/m/7");
            let request = request.body(deck_net::Body::empty()).expect("request");
            store.client.send(store.address, request).await.expect("response")
        };
        assert!(matches!(download().await.collect(2000).await, Err(NetError::Body(_))));
        assert_eq!(download().await.collect(2000).await.expect("whole").len(), 1000);
        let mut limited = false;
        for _ in 0..20 {
            limited |= download().await.status == 429;
        }
        assert!(limited);
        let records = store.records().await;
        assert_eq!(records["downloads"][0]["complete"], false);
        assert_eq!(records["downloads"][1]["complete"], true);
    });
}

/// Guards against scores that differ between calls, which would hide a mixed-up sample.
#[test]
fn scorer_is_deterministic_and_fails_on_request() {
    run(async {
        let scorer = Standin::start(&["scorer"]);
        let body =
            json!({ "samples": [{ "prompt": "p", "text": "a" }, { "prompt": "p", "text": "b" }] });
        let first = scorer.json("POST", "/v1/score", body.clone()).await;
        assert_eq!(first.1["scores"].as_array().expect("scores").len(), 2);
        assert_eq!(scorer.json("POST", "/v1/score", body.clone()).await, first);
        scorer.faults(json!({ "errors": 1 })).await;
        assert_eq!(scorer.json("POST", "/v1/score", body.clone()).await.0, 500);
        assert_eq!(scorer.json("POST", "/v1/score", body).await, first);
    });
}

/// Guards against a cut that leaves connections open, and a link that stays closed or stalled after
/// its mode is `open` again.
#[test]
fn link_cuts_stalls_and_heals() {
    run(async {
        let service = Standin::start(&["service"]);
        let to = service.address.to_string();
        let mut link = Standin::start(&["link", "--to", &to, "--delay-ms", "5"]);
        let link_address = link.address;
        link.address = link.process.address("admin");
        let echo = async || {
            let client = Client::default();
            let response = client.send(link_address, post("/x", &[], "body")).await?;
            response.collect(100).await
        };
        assert_eq!(&echo().await.expect("open")[..], b"body");
        link.faults(json!({ "mode": "cut" })).await;
        eventually("refused", async || matches!(echo().await, Err(NetError::Connect(..)))).await;
        link.faults(json!({ "mode": "open" })).await;
        eventually("healed", async || echo().await.is_ok()).await;
        link.faults(json!({ "mode": "black_hole" })).await;
        let stalled = monoio::spawn(async move {
            let response = Client::default().send(link_address, post("/late", &[], "late")).await?;
            response.collect(100).await
        });
        let executions_before = service.records().await["executions"].clone();
        let echo_result = monoio::time::timeout(Duration::from_millis(300), echo()).await;
        assert!(echo_result.is_err(), "a black hole does not answer");
        assert_eq!(service.records().await["executions"], executions_before);
        link.faults(json!({ "mode": "open" })).await;
        assert_eq!(&stalled.await.expect("healed")[..], b"late");
    });
}

/// Answers a pull like the owner of a job, with up to two groups. Group 0 is always included, also
/// if the trainer already holds it.
async fn answer_pull(request: &Value) -> Value {
    let step = request["step"].as_u64().expect("step");
    let held_groups = request["held_groups"].as_str().expect("bitmap");
    let held_groups = u8::from_str_radix(held_groups, 16).expect("one byte");
    let groups: Vec<_> = (0..4_u32)
        .filter(|group| held_groups & (1 << group) == 0 || *group == 0)
        .take(2)
        .map(|group| {
            let samples: Vec<_> = (0..2)
                .map(|index| {
                    json!({ "id": format!("j/{step}/{group}/{index}"), "index": index,
                        "text": "t", "token_count": 3, "score": 0.5,
                        "spans": [{ "weight_version": 1, "token_count": 3 }] })
                })
                .collect();
            json!({ "group": group, "samples": samples })
        })
        .collect();
    json!({ "owner_fencing": 1, "step": step, "groups": groups })
}

/// Guards against a trainer that stores a repeated group twice.
#[test]
fn trainer_keeps_each_group_once() {
    run(async {
        let listener = deck_net::bind(([127, 0, 0, 1], 0).into()).expect("bind");
        let owner = listener.local_addr().expect("address").to_string();
        let never_cancelled = deck_core::CancellationToken::new();
        monoio::spawn(deck_net::serve(
            listener,
            deck_net::ServerOptions::default(),
            never_cancelled,
            |request| async {
                let body = deck_net::server::read_body(request.into_body(), 10_000).await;
                let body = serde_json::from_slice(&body.expect("body")).expect("JSON");
                deck_net::server::json_response(200, &answer_pull(&body).await)
            },
        ));
        let weights = Standin::start(&["weights", "--model", "m"]);
        let store = weights.address.to_string();
        let arguments = [
            "trainer",
            "--job",
            "j",
            "--pull",
            &owner,
            "--weights",
            &store,
            "--samples-per-step",
            "8",
            "--group-size",
            "2",
            "--steps",
            "2",
            "--train-ms",
            "1",
        ];
        let trainer = Standin::start(&arguments);
        eventually("two steps", async || trainer.records().await["step"] == 2).await;
        let records = trainer.records().await;
        assert_eq!(records["samples"].as_array().expect("samples").len(), 16);
        assert!(records["duplicate_groups"].as_u64() > Some(0), "{records}");
        assert_eq!(records["violations"], json!([]));
        assert_eq!(records["samples"][15]["staleness_versions"], 1);
        let latest = weights.json("GET", "/v1/weights/m/latest", Value::Null).await.1;
        assert_eq!(latest["version"], 3);
    });
}

/// Guards against a stand-in that ignores unknown options.
#[test]
fn unknown_option_is_refused() {
    let mut process = Process::start("bad", "deckstandin", &["objects", "--lisen", "x"], None);
    assert!(!process.wait().success());
}
