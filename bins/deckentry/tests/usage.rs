//! Usage in the status of an organisation, compared with the engines' own records.

mod common;

use common::{Entry, ORGANISATION, Program, World};
use deck_testkit::eventually;
use serde_json::{Value, json};

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

async fn engine_tokens(world: &World, engines: &[Program]) -> u64 {
    let mut sum = 0;
    for engine in engines {
        let records = world.records(engine).await;
        let tokens = records["tokens_by_version"].as_object().expect("tokens");
        sum += tokens.values().filter_map(Value::as_u64).sum::<u64>();
    }
    sum
}

/// Returns the usage in the organisation's status, if it is written.
async fn usage(world: &World) -> Option<Vec<Value>> {
    let path = format!("/v1/objects/OrganisationShareStatus/{ORGANISATION}");
    let answer = world.try_send(world.objects.address, "GET", &path, &[], "").await?;
    let spec = answer.json()["value"]["spec"].clone();
    spec["usage"].as_array().cloned()
}

fn sum(usage: &[Value], field: &str) -> u64 {
    usage.iter().filter_map(|usage| usage[field].as_u64()).sum()
}

async fn generate(world: &World, entry: &Entry, calls: u32, job: Option<&str>) {
    for number in 0..calls {
        let tokens = 20 + number;
        let body = json!({ "model": "m", "prompt": format!("seat {number}"),
            "generate_tokens": tokens, "max_tokens": tokens, "stream": false });
        let mut headers = vec![("x-organisation", ORGANISATION), ("x-deadline-ms", "40000")];
        headers.extend(job.map(|job| ("x-job", job)));
        let sent =
            world.send(entry.caller, "POST", "/v1/completions", &headers, &body.to_string()).await;
        assert_eq!(sent.status, 200, "{sent:?}");
    }
}

async fn wait_usage(world: &World, engines: &[Program], calls: u64) {
    let tokens = engine_tokens(world, engines).await;
    eventually("the status has the tokens that the engines made", async || {
        let Some(usage) = usage(world).await else { return false };
        let found = sum(&usage, "tokens");
        assert!(found <= tokens, "{found} tokens in the status, {tokens} made: {usage:?}");
        found == tokens && sum(&usage, "calls") == calls
    })
    .await;
}

/// Returns what an operator sees of the organisation.
fn describe(world: &World) -> String {
    let output = std::process::Command::new(deck_testkit::program_path("deckctl"))
        .args(["--object-api", &world.objects.address.to_string()])
        .args(["describe", "OrganisationShare", ORGANISATION])
        .output()
        .expect("deckctl runs");
    String::from_utf8(output.stdout).expect("text")
}

/// Checks that usage was written at most once each 5 s, and once more for each change of writer.
async fn check_write_rate(world: &World, writer_changes: u64) {
    let records = world.records(&world.objects).await;
    let (mut last, mut times_unix_ms) = (Value::Null, Vec::new());
    for event in records["history"].as_array().expect("history") {
        let usage = &event["value"]["spec"]["usage"];
        if event["kind"] == "OrganisationShareStatus" && *usage != last {
            last = usage.clone();
            times_unix_ms.push(event["at_unix_ms"].as_u64().expect("time"));
        }
    }
    assert!(times_unix_ms.len() > 3, "writes at {times_unix_ms:?}");
    let elapsed_ms = times_unix_ms[times_unix_ms.len() - 1] - times_unix_ms[0];
    let most = elapsed_ms / 5000 + 2 + writer_changes;
    assert!(times_unix_ms.len() as u64 <= most, "more than {most} writes: {times_unix_ms:?}");
    println!("usage writes {} in {elapsed_ms} ms", times_unix_ms.len());
}

/// Guards against usage that is lost or counted twice when responses to writes are lost, the
/// object API is down, the writer changes and a VM restarts.
#[test]
fn status_has_the_tokens_that_the_engines_made() {
    run(async {
        let world = World::start();
        let engines = [world.stand_in("engine", &[]), world.stand_in("engine", &[])];
        world.put_shares(&["rank"]).await;
        world.put_engines("rank", "m", &engines.each_ref().map(|engine| engine.address)).await;
        let first = world.entry("e1", &[], "").await;
        let second = world.entry("e2", &[first.peer], "").await;

        world.faults(&world.objects, json!({ "lose_probability": 0.5 })).await;
        generate(&world, &first, 5, None).await;
        generate(&world, &second, 7, Some("not-configured")).await;
        wait_usage(&world, &engines, 12).await;
        world.faults(&world.objects, json!({ "lose_probability": 0.0 })).await;
        let found = usage(&world).await.expect("usage");
        let jobs: Vec<_> = found.iter().map(|usage| (&usage["job"], &usage["calls"])).collect();
        assert_eq!(jobs, [(&json!(""), &json!(5)), (&json!("unlisted"), &json!(7))]);
        assert!(found.iter().all(|usage| usage["engine_ms"].as_u64() > Some(0)), "{found:?}");

        let described = describe(&world);
        assert!(described.contains("usage[1].job: unlisted"), "{described}");
        assert!(described.contains("usage[1].calls: 7"), "{described}");

        let mut entries = [first, second];
        // Usage of a time without the object API is folded after it.
        world.faults(&world.objects, json!({ "outage": "refuse" })).await;
        generate(&world, &entries[0], 4, None).await;
        let refused =
            async || world.records(&world.objects).await["counts"]["refused_in_outage"].as_u64();
        let before = refused().await;
        eventually("calls on the object API fail", async || refused().await > before).await;
        world.faults(&world.objects, json!({ "outage": "none" })).await;
        wait_usage(&world, &engines, 16).await;

        // Each VM stops once, the writer too; what it did last is in the status at its end.
        let mut calls = 16;
        for index in 0..2 {
            generate(&world, &entries[index], 3, None).await;
            entries[index].process.terminate();
            assert!(entries[index].process.wait().success());
            calls += 3;
            let tokens = engine_tokens(&world, &engines).await;
            assert_eq!(sum(&usage(&world).await.expect("usage"), "tokens"), tokens);
            let other = entries[1 - index].peer;
            entries[index] = world.entry(&format!("e{}", index + 1), &[other], "").await;
            generate(&world, &entries[index], 2, None).await;
            calls += 2;
            wait_usage(&world, &engines, calls).await;
        }
        check_write_rate(&world, 4).await;
    });
}
