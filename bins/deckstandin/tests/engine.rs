//! Tests of the engine stand-in: streams, orders, injected faults, cache and load reports.

mod common;

use common::{Standin, post, run};
use deck_net::sse::EventReader;
use deck_testkit::eventually;
use serde_json::{Value, json};

async fn start_stream(engine: &Standin, request: Value) -> EventReader {
    let request = post("/v1/completions", &[], &request.to_string());
    let response = engine.client.send(engine.address, request).await.expect("response");
    assert_eq!(response.status, 200);
    EventReader::new(response)
}

fn request(id: &str, tokens: u32) -> Value {
    json!({ "model": "m", "prompt": "p", "request_id": id, "stream": true,
            "generate_tokens": tokens })
}

/// Content of the received chunks of a stream.
#[derive(Default)]
struct Received {
    text: String,
    tokens: u64,
    versions: Vec<u64>,
    finish_reason: String,
}

/// Receives chunks until the end of the stream, at most `limit` of them.
async fn receive(events: &mut EventReader, limit: usize) -> Received {
    let mut received = Received::default();
    for _ in 0..limit {
        let event = events.next().await.expect("event").expect("no end before [DONE]");
        if event.data == "[DONE]" {
            break;
        }
        let chunk: Value = serde_json::from_str(&event.data).expect("chunk");
        received.text += chunk["choices"][0]["text"].as_str().expect("text");
        received.tokens += chunk["token_count"].as_u64().expect("count");
        received.versions.push(chunk["weight_version"].as_u64().expect("version"));
        received.finish_reason =
            chunk["choices"][0]["finish_reason"].as_str().unwrap_or("").to_owned();
    }
    received
}

/// Returns the recorded state of the first run of a request.
async fn run_state(engine: &Standin, id: &str) -> String {
    let records = engine.records().await;
    let runs = records["runs"].as_array().expect("runs");
    let run = runs.iter().find(|run| run["request_id"] == id).expect("recorded");
    run["state"].as_str().expect("state").to_owned()
}

/// Guards against a resumed text that differs from the text of an uninterrupted request.
#[test]
fn resumed_text_continues_the_first_part() {
    run(async {
        let engine = Standin::start(&["engine", "--tokens-per-s", "1000"]);
        let whole = receive(&mut start_stream(&engine, request("a", 40)).await, 1000).await;
        assert_eq!((whole.tokens, whole.finish_reason.as_str()), (40, "stop"));
        let mut events = start_stream(&engine, request("b", 40)).await;
        let first = receive(&mut events, 2).await;
        drop(events);
        let mut resumed = request("b", 40);
        resumed["resume_text"] = json!(first.text);
        resumed["resume_tokens"] = json!(first.tokens);
        let second = receive(&mut start_stream(&engine, resumed).await, 1000).await;
        assert_eq!(first.text + &second.text, whole.text);
        assert_eq!(engine.records().await["resume_mismatches"], 0);
    });
}

/// Guards against requests that keep their slot in the batch after the client has disconnected.
#[test]
fn cancel_and_disconnect_end_a_request() {
    run(async {
        let engine = Standin::start(&["engine", "--max-batch", "1"]);
        let mut first = start_stream(&engine, request("first", 100_000)).await;
        receive(&mut first, 1).await;
        let mut second = start_stream(&engine, request("second", 100_000)).await;
        let waiting = start_stream(&engine, request("waiting", 100_000)).await;
        drop(waiting);
        drop(first);
        receive(&mut second, 1).await;
        let (_, answer) =
            engine.json("POST", "/v1/cancel", json!({ "request_id": "second" })).await;
        assert_eq!(answer["cancelled"], true);
        assert_eq!(receive(&mut second, 100_000).await.finish_reason, "cancelled");
        let mut last = start_stream(&engine, request("last", 5)).await;
        assert_eq!(receive(&mut last, 1000).await.tokens, 5);
        assert_eq!(run_state(&engine, "second").await, "cancelled");
        assert_eq!(engine.records().await["peak_running"], 1);
        eventually("disconnected runs are recorded", async || {
            run_state(&engine, "first").await == "disconnected"
                && run_state(&engine, "waiting").await == "disconnected"
        })
        .await;
    });
}

/// Guards against chunks that report a different weight version than the one that generated them.
#[test]
fn switch_in_mid_stream_shows_in_chunks_and_records() {
    run(async {
        let engine = Standin::start(&["engine", "--stage-ms", "10", "--switch-ms", "10"]);
        let mut events = start_stream(&engine, request("a", 100_000)).await;
        receive(&mut events, 2).await;
        for action in ["stage", "switch"] {
            let order = json!({ "fencing": 5, "action": action, "version": 2 });
            eventually("order accepted", async || {
                engine.json("POST", "/v1/order", order.clone()).await.0 == 202
            })
            .await;
        }
        while receive(&mut events, 1).await.versions != [2] {}
        engine.json("POST", "/v1/cancel", json!({ "request_id": "a" })).await;
        let records = engine.records().await;
        let versions: Vec<_> = records["runs"][0]["ranges"]
            .as_array()
            .expect("ranges")
            .iter()
            .map(|range| range["weight_version"].as_u64().expect("version"))
            .collect();
        assert_eq!(versions, [1, 2]);
        let stale = json!({ "fencing": 4, "action": "stage", "version": 3 });
        assert_eq!(engine.json("POST", "/v1/order", stale).await.0, 409);
    });
}

/// Guards against a failed swap that the state does not report.
#[test]
fn failed_swap_is_reported_and_keeps_the_version() {
    run(async {
        let engine = Standin::start(&["engine", "--stage-ms", "10", "--ignore-fencing"]);
        engine.faults(json!({ "fail_swaps": 1 })).await;
        let order = json!({ "fencing": 1, "action": "stage", "version": 2 });
        assert_eq!(engine.json("POST", "/v1/order", order).await.0, 202);
        eventually("swap failed", async || {
            engine.json("GET", "/v1/state", Value::Null).await.1["swap_state"] == "failed"
        })
        .await;
        let state = engine.json("GET", "/v1/state", Value::Null).await.1;
        assert_eq!((&state["weight_version"], &state["staged_version"]), (&json!(1), &json!(null)));
        let order = json!({ "fencing": 0, "action": "stage", "version": 2 });
        assert_eq!(engine.json("POST", "/v1/order", order).await.0, 202, "fencing is ignored");
    });
}

/// Guards against a crash fault that has no effect, or that also applies to unmarked prompts.
#[test]
fn marked_prompt_crashes_the_engine() {
    run(async {
        let mut engine = Standin::start(&["engine"]);
        engine.faults(json!({ "crash_marker": "poison" })).await;
        receive(&mut start_stream(&engine, request("ok", 3)).await, 100).await;
        let mut poison = request("bad", 3);
        poison["prompt"] = json!("some poison here");
        let body = post("/v1/completions", &[], &poison.to_string());
        if let Ok(response) = engine.client.send(engine.address, body).await {
            assert!(EventReader::new(response).next().await.is_err());
        }
        assert_eq!(engine.process.wait().code(), Some(101));
    });
}

/// Guards against a prefix cache without effect on prefill, and a queue that ignores priorities.
#[test]
fn prefix_cache_and_priorities_work() {
    run(async {
        let engine = Standin::start(&["engine", "--max-batch", "1"]);
        let prompt = "x".repeat(640);
        let mut running = request("running", 100_000);
        running["prompt"] = json!(prompt);
        let mut running = start_stream(&engine, running).await;
        receive(&mut running, 1).await;
        let mut low = request("low", 3);
        low["priority"] = json!("rollout");
        let mut low = start_stream(&engine, low).await;
        let mut high = request("high", 100_000);
        high["priority"] = json!("interactive");
        high["prompt"] = json!(prompt);
        let mut high = start_stream(&engine, high).await;
        drop(running);
        receive(&mut high, 1).await;
        assert_eq!(run_state(&engine, "low").await, "waiting");
        assert_eq!(engine.records().await["cached_prompt_tokens"], 160);
        drop(high);
        assert_eq!(receive(&mut low, 100).await.tokens, 3);
    });
}

/// Guards against load reports without a lag and cache events without losses, which real engines
/// do not provide.
#[test]
fn load_reports_lag_and_cache_events_have_gaps() {
    run(async {
        let engine =
            Standin::start(&["engine", "--load-lag-ms", "200", "--cache-event-loss", "0.5"]);
        let mut running = start_stream(&engine, request("a", 100_000)).await;
        receive(&mut running, 1).await;
        let load_report = async || engine.json("GET", "/v1/load", Value::Null).await.1;
        eventually("the report shows the request", async || load_report().await["running"] == 1)
            .await;
        let report = load_report().await;
        assert!(report["report_age_ms"].as_u64() >= Some(100), "{report}");

        let events = deck_net::http::Request::get("/v1/cache_events");
        let events = events.body(deck_net::Body::empty()).expect("request");
        let response = engine.client.send(engine.address, events).await.expect("response");
        let mut events = EventReader::new(response);
        for number in 0..40 {
            let mut other = request(&format!("r{number}"), 1);
            other["prompt"] = json!(format!("{number:0>64}"));
            receive(&mut start_stream(&engine, other).await, 10).await;
        }
        let mut sequences = Vec::new();
        for _ in 0..8 {
            let event = events.next().await.expect("event").expect("open");
            let event: Value = serde_json::from_str(&event.data).expect("JSON");
            sequences.push(event["sequence"].as_u64().expect("sequence"));
        }
        assert!(sequences.windows(2).any(|pair| pair[1] > pair[0] + 1), "{sequences:?}");
    });
}
