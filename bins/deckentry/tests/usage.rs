//! Calls and tokens in the status object of an organisation must match what the engines recorded.

mod common;

use common::{Deployment, Entry, ORGANISATION, StandIn};
use deck_testkit::eventually;
use serde_json::{Value, json};

fn run_test<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

async fn engine_tokens(deployment: &Deployment, engines: &[StandIn]) -> u64 {
    let mut sum = 0;
    for engine in engines {
        let records = deployment.fetch_records(engine).await;
        let tokens = records["tokens_by_version"].as_object().expect("tokens");
        sum += tokens.values().filter_map(Value::as_u64).sum::<u64>();
    }
    sum
}

/// Returns the usage entries, one per job, of the organisation's status object; `None` if it does
/// not exist.
async fn published_usage(deployment: &Deployment) -> Option<Vec<Value>> {
    let path = format!("/v1/objects/OrganisationShareStatus/{ORGANISATION}");
    let response =
        deployment.try_send(deployment.object_api.address, "GET", &path, &[], "").await?;
    let spec = response.json()["value"]["spec"].clone();
    spec["usage"].as_array().cloned()
}

fn sum_field(usage: &[Value], field: &str) -> u64 {
    usage.iter().filter_map(|usage| usage[field].as_u64()).sum()
}

async fn send_completions(deployment: &Deployment, entry: &Entry, calls: u32, job: Option<&str>) {
    for number in 0..calls {
        let tokens = 20 + number;
        let body = json!({ "model": "m", "prompt": format!("seat {number}"),
            "generate_tokens": tokens, "max_tokens": tokens, "stream": false });
        let mut headers = vec![("x-organisation", ORGANISATION), ("x-deadline-ms", "40000")];
        headers.extend(job.map(|job| ("x-job", job)));
        let sent = deployment
            .send(entry.caller, "POST", "/v1/completions", &headers, &body.to_string())
            .await;
        assert_eq!(sent.status, 200, "{sent:?}");
    }
}

async fn wait_for_usage(deployment: &Deployment, engines: &[StandIn], calls: u64) {
    let tokens = engine_tokens(deployment, engines).await;
    eventually("the status has the tokens that the engines made", async || {
        let Some(usage) = published_usage(deployment).await else { return false };
        let published = sum_field(&usage, "tokens");
        assert!(published <= tokens, "{published} tokens in the status, {tokens} made: {usage:?}");
        published == tokens && sum_field(&usage, "calls") == calls
    })
    .await;
}

/// Returns the output of `deckctl describe` for the organisation.
fn describe_organisation(deployment: &Deployment) -> String {
    let output = std::process::Command::new(deck_testkit::program_path("deckctl"))
        .args(["--object-api", &deployment.object_api.address.to_string()])
        .args(["describe", "OrganisationShare", ORGANISATION])
        .output()
        .expect("deckctl runs");
    String::from_utf8(output.stdout).expect("text")
}

/// Checks that the usage in the organisation's status object was written at most once every 5 s,
/// plus once for each of the `writer_changes` times that another VM took over the writing.
async fn assert_write_rate(deployment: &Deployment, writer_changes: u64) {
    let records = deployment.fetch_records(&deployment.object_api).await;
    let (mut last_usage, mut times_unix_ms) = (Value::Null, Vec::new());
    for event in records["history"].as_array().expect("history") {
        let usage = &event["value"]["spec"]["usage"];
        if event["kind"] == "OrganisationShareStatus" && *usage != last_usage {
            last_usage = usage.clone();
            times_unix_ms.push(event["at_unix_ms"].as_u64().expect("time"));
        }
    }
    assert!(times_unix_ms.len() > 3, "writes at {times_unix_ms:?}");
    let elapsed_ms = times_unix_ms[times_unix_ms.len() - 1] - times_unix_ms[0];
    let max_writes = elapsed_ms / 5000 + 2 + writer_changes;
    assert!(
        times_unix_ms.len() as u64 <= max_writes,
        "more than {max_writes} writes: {times_unix_ms:?}"
    );
    println!("usage writes {} in {elapsed_ms} ms", times_unix_ms.len());
}

/// Guards against usage that is lost or counted twice when responses to writes are lost, the object
/// API is down, the writer changes or a VM restarts.
#[test]
fn status_has_the_tokens_that_the_engines_made() {
    run_test(async {
        let deployment = Deployment::start();
        let engines =
            [deployment.start_stand_in("engine", &[]), deployment.start_stand_in("engine", &[])];
        deployment.put_shares(&["rank"]).await;
        deployment
            .put_engine_pool("rank", "m", &engines.each_ref().map(|engine| engine.address))
            .await;
        let first_entry = deployment.start_entry("e1", &[], "").await;
        let second = deployment.start_entry("e2", &[first_entry.peer], "").await;

        deployment.set_faults(&deployment.object_api, json!({ "lose_probability": 0.5 })).await;
        send_completions(&deployment, &first_entry, 5, None).await;
        send_completions(&deployment, &second, 7, Some("not-configured")).await;
        wait_for_usage(&deployment, &engines, 12).await;
        deployment.set_faults(&deployment.object_api, json!({ "lose_probability": 0.0 })).await;
        let published = published_usage(&deployment).await.expect("usage");
        let jobs: Vec<_> = published.iter().map(|usage| (&usage["job"], &usage["calls"])).collect();
        assert_eq!(jobs, [(&json!(""), &json!(5)), (&json!("unlisted"), &json!(7))]);
        assert!(
            published.iter().all(|usage| usage["engine_ms"].as_u64() > Some(0)),
            "{published:?}"
        );

        let description = describe_organisation(&deployment);
        assert!(description.contains("usage[1].job: unlisted"), "{description}");
        assert!(description.contains("usage[1].calls: 7"), "{description}");

        let mut entries = [first_entry, second];
        // Usage during an outage of the object API is added afterwards.
        deployment.set_faults(&deployment.object_api, json!({ "outage": "refuse" })).await;
        send_completions(&deployment, &entries[0], 4, None).await;
        let refused = async || {
            deployment.fetch_records(&deployment.object_api).await["counts"]["refused_in_outage"]
                .as_u64()
        };
        let before = refused().await;
        eventually("calls on the object API fail", async || refused().await > before).await;
        deployment.set_faults(&deployment.object_api, json!({ "outage": "none" })).await;
        wait_for_usage(&deployment, &engines, 16).await;

        // Stops each VM once, so also the writer. Its final usage must be in the status when it
        // exits.
        let mut calls = 16;
        for index in 0..2 {
            send_completions(&deployment, &entries[index], 3, None).await;
            entries[index].process.terminate();
            assert!(entries[index].process.wait().success());
            calls += 3;
            let tokens = engine_tokens(&deployment, &engines).await;
            assert_eq!(
                sum_field(&published_usage(&deployment).await.expect("usage"), "tokens"),
                tokens
            );
            let seed = entries[1 - index].peer;
            entries[index] = deployment.start_entry(&format!("e{}", index + 1), &[seed], "").await;
            send_completions(&deployment, &entries[index], 2, None).await;
            calls += 2;
            wait_for_usage(&deployment, &engines, calls).await;
        }
        assert_write_rate(&deployment, 4).await;
    });
}
