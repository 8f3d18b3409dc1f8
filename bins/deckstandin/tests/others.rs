//! The stand-ins of plain service, VM list, weight store, scorer, link and trainer.

mod common;

use std::time::Duration;

use common::{Standin, post, run};
use deck_net::{Client, NetError};
use deck_testkit::{Process, eventually};
use serde_json::{Value, json};
use test_case::test_case;

/// Guards against faults after which the execution is missing from the record.
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
        let counted = service.json("GET", "/admin/executions", Value::Null).await.1;
        assert_eq!(counted["k"].as_u64().unwrap_or(0), executions);
        let request = post("/book", &[], "body");
        let response = service.client.send(service.address, request).await.expect("response");
        assert_eq!(&response.collect(100).await.expect("body")[..], b"body", "one call only");
    });
}

/// Guards against a double answer that never reaches the client's connection.
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

/// Guards against a list that changes at once although its platform lags.
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
        let fetch = || deck_plat::vmlist::fetch(&list.client, list.address, Duration::from_secs(9));
        assert_eq!(fetch().await.expect("list").vms[0].state, deck_plat::vmlist::ListedState::Live);
        list.faults(json!({ "lag_ms": 0 })).await;
        let listed = fetch().await.expect("list").vms[0].state;
        assert_eq!(listed, deck_plat::vmlist::ListedState::Leaving);
    });
}

/// Guards against a weight store without rate limit, and cut downloads that look whole.
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

/// Guards against a cut that leaves connections open, and a heal that does not heal.
#[test]
fn link_cuts_stalls_and_heals() {
    run(async {
        let service = Standin::start(&["service"]);
        let to = service.address.to_string();
        let mut link = Standin::start(&["link", "--to", &to, "--delay-ms", "5"]);
        let through = link.address;
        link.address = link.process.address("admin");
        let echo = async || {
            let call = Client::default();
            let response = call.send(through, post("/x", &[], "body")).await?;
            response.collect(100).await
        };
        assert_eq!(&echo().await.expect("open")[..], b"body");
        link.faults(json!({ "mode": "cut" })).await;
        eventually("refused", async || matches!(echo().await, Err(NetError::Connect(..)))).await;
        link.faults(json!({ "mode": "open" })).await;
        eventually("healed", async || echo().await.is_ok()).await;
        link.faults(json!({ "mode": "black_hole" })).await;
        let stalled = monoio::spawn(async move {
            let response = Client::default().send(through, post("/late", &[], "late")).await?;
            response.collect(100).await
        });
        let before = service.records().await["executions"].clone();
        let waited = monoio::time::timeout(Duration::from_millis(300), echo()).await;
        assert!(waited.is_err(), "a black hole does not answer");
        assert_eq!(service.records().await["executions"], before);
        link.faults(json!({ "mode": "open" })).await;
        assert_eq!(&stalled.await.expect("healed")[..], b"late");
    });
}

/// A job owner that hands over two groups a pull and repeats groups that it handed over before.
async fn answer_pull(request: &Value) -> Value {
    let step = request["step"].as_u64().expect("step");
    let held = request["held_groups"].as_str().expect("bitmap");
    let held = u8::from_str_radix(held, 16).expect("one byte");
    let groups: Vec<_> = (0..4_u32)
        .filter(|group| held & (1 << group) == 0 || *group == 0)
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

/// Guards against a trainer that counts a repeated group twice or loses count after a lost answer.
#[test]
fn trainer_keeps_each_group_once() {
    run(async {
        let listener = deck_net::bind(([127, 0, 0, 1], 0).into()).expect("bind");
        let owner = listener.local_addr().expect("address").to_string();
        let never = deck_core::CancellationToken::new();
        monoio::spawn(deck_net::serve(
            listener,
            deck_net::ServerOptions::default(),
            never,
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

/// Guards against a stand-in that starts with options that it does not know.
#[test]
fn unknown_option_is_refused() {
    let mut process = Process::start("bad", "deckstandin", &["objects", "--lisen", "x"], None);
    assert!(!process.wait().success());
}
