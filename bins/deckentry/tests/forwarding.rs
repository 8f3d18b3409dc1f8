//! Completions and service calls through one `deckentry` process, and its settings file.

mod common;

use common::{Deployment, ORGANISATION};
use deck_testkit::{Process, eventually};
use serde_json::json;
use test_case::test_case;

fn run_test<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against completions that are truncated, or that have the wrong request ID or weight
/// version.
#[test]
fn completion_is_collected_with_spans_and_streamed_with_versions() {
    run_test(async {
        let deployment = Deployment::start();
        let engine = deployment.start_stand_in("engine", &["--version", "7"]);
        deployment.put_shares(&["rank"]).await;
        deployment.put_engine_pool("rank", "m", &[engine.address]).await;
        let entry = deployment.start_entry("e1", &[], "").await;

        let body = json!({ "model": "m", "prompt": "seat", "generate_tokens": 30 });
        let response = deployment.complete(&entry, &body).await;
        assert_eq!(response.status, 200, "{response:?}");
        let collected = response.json();
        assert_eq!(collected["token_count"], 30);
        assert_eq!(collected["spans"], json!([{ "weight_version": 7, "token_count": 30 }]));
        assert_eq!(collected["id"].as_str(), response.header("x-request-id"));
        assert_eq!(response.header("x-target"), Some("t0"));

        let body = json!({ "model": "m", "prompt": "seat", "generate_tokens": 30, "stream": true });
        let response = deployment.complete(&entry, &body).await;
        let text = String::from_utf8(response.body).expect("text");
        let events: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        assert_eq!(events.last(), Some(&"[DONE]"));
        let chunks: Vec<serde_json::Value> = events[..events.len() - 1]
            .iter()
            .map(|event| serde_json::from_str(event).expect("chunk"))
            .collect();
        assert!(chunks.len() > 1, "forwarded chunk by chunk");
        assert!(chunks.iter().all(|chunk| chunk["weight_version"] == 7));
        let streamed: String =
            chunks.iter().filter_map(|chunk| chunk["choices"][0]["text"].as_str()).collect();
        assert_eq!(Some(streamed.as_str()), collected["choices"][0]["text"].as_str());

        let metrics = deployment.metrics(&entry).await;
        let tokens = "deckentry_tokens_total{job=\"\",organisation=\"jonotuoli\",pool=\"rank\"} 60";
        eventually("both calls are counted, each once", async || {
            deployment.metrics(&entry).await.contains(tokens)
        })
        .await;
        assert!(metrics.contains("deckentry_request_duration_seconds_count"), "{metrics}");
        eventually("load reports of the engine are read", async || {
            let metrics = deployment.metrics(&entry).await;
            metrics.contains("deckentry_load_polls_total{outcome=\"ok\"}")
        })
        .await;
    });
}

/// Guards against service calls that lose their body, path or request ID.
#[test]
fn service_calls_pass_through() {
    run_test(async {
        let deployment = Deployment::start();
        let service = deployment.start_stand_in("service", &[]);
        deployment.put_shares(&["booking"]).await;
        deployment.put_service_pool("booking", &[service.address]).await;
        let entry = deployment.start_entry("e1", &[], "").await;

        let headers = [("x-organisation", ORGANISATION), ("x-request-id", "r-1")];
        let response = deployment
            .send(entry.caller, "POST", "/services/booking/query/a?b=c", &headers, "hi")
            .await;
        assert_eq!((response.status, response.body.as_slice()), (200, &b"hi"[..]), "{response:?}");
        assert_eq!(response.header("x-echo-path"), Some("/query/a"));
        assert_eq!(response.header("x-request-id"), Some("r-1"));
        assert_eq!(response.header("x-target"), Some("t0"));

        let response = deployment.book(&entry, "k1", "seat 4").await;
        assert_eq!((response.status, response.body.as_slice()), (200, &b"seat 4"[..]));
        assert_eq!(deployment.executions(&service, "k1").await, 1);

        let headers = [("x-organisation", ORGANISATION)];
        // Paths that a target may resolve to one outside the idempotent prefix.
        for path in ["x", "queryx", "query/../x", "query/%2E%2e/x", "query/..%2fx", "query/..%5Cx"]
        {
            let path = format!("/services/booking/{path}");
            let response = deployment.send(entry.caller, "POST", &path, &headers, "").await;
            assert_eq!(
                response.error(),
                ("key_required".to_owned(), "not_run".to_owned()),
                "{path}"
            );
        }
        let response = deployment.send(entry.caller, "GET", "/services/none/x", &headers, "").await;
        assert_eq!(response.error(), ("unknown_pool".to_owned(), "not_run".to_owned()));
        let headers = [("x-organisation", "stranger")];
        let response =
            deployment.send(entry.caller, "GET", "/services/booking/x", &headers, "").await;
        assert_eq!(response.error(), ("unknown_organisation".to_owned(), "not_run".to_owned()));
    });
}

/// Guards against a sample file that is refused, and against errors that name neither file nor key.
#[test_case("", true; "sample")]
#[test_case("id = entry-1", false; "missing id")]
#[test_case("local = 127.0.0.1:8082", false; "missing local")]
fn check_accepts_the_sample_and_names_what_is_wrong(removed: &str, accepted: bool) {
    let sample = include_str!("../sample.ini").replace(removed, "");
    let directory = common::TestDirectory::new();
    let file = directory.0.join("entry.ini");
    std::fs::write(&file, sample).expect("settings");
    let log = directory.0.join("log");
    let path = file.to_str().expect("utf-8");
    let arguments = ["--config", path, "--check"];
    let mut process = Process::start("check", "deckentry", &arguments, Some(&log));
    assert_eq!(process.wait().success(), accepted);
    let log = std::fs::read_to_string(log).expect("log");
    if !accepted {
        let key = removed.split(' ').next().expect("key");
        assert!(log.contains(path) && log.contains(key) && log.contains("expected"), "{log}");
    }
}

/// Guards against a sample file that lacks a key.
#[test]
fn sample_names_every_key_of_the_limits() {
    let source = include_str!("../src/settings.rs");
    let sample = include_str!("../sample.ini");
    let string_literals = source.split('"').skip(1).step_by(2);
    let keys = string_literals.filter(|text| {
        text.contains('_') && text.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_')
    });
    let missing: Vec<_> = keys.filter(|key| !sample.contains(&format!("{key} ="))).collect();
    assert_eq!(missing, Vec::<&str>::new());
}
