//! `deckctl explain` finds the causes of failures from the logs of several nodes alone.

use std::{process::Command, time::Duration};

use deck_net::http::{Method, StatusCode};
use deck_testkit::{eventually, program_path, proxy::Direction};
use serde_json::json;

mod common;

use common::{Fleet, run};

/// Waits until `deckctl explain` reports all of `causes` for an id. A thread of the test collects
/// the nodes' output, so log lines may arrive later than the response that they belong to.
async fn assert_explained(fleet: &Fleet, id: &str, causes: &[&str]) {
    eventually("the logs explain the id", async || {
        let files = fleet.write_logs();
        let output =
            Command::new(program_path("deckctl")).arg("explain").arg(id).args(files).output();
        let output = output.expect("program runs");
        let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
        println!("{text}");
        output.status.success() && causes.iter().all(|cause| text.contains(cause))
    })
    .await;
}

/// Guards against a refused job whose reason does not follow from the logs.
#[test]
fn deckctl_explains_refused_job() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        fleet.set_faults(json!({"store_down": true})).await;
        let address = fleet.nodes[0].caller_address;
        let body = json!({"Step": 0, "Model": "m0", "MinVersion": 1, "GroupCount": 0,
                          "Items": [{"Id": "refused-i", "Path": "/jobs/run", "Headers": {},
                                     "Body": "q83v", "Tokens": 100, "Group": "g"}]});
        let headers = [("Request-Id", "refused"), ("Content-Type", "application/json")];
        let body = body.to_string().into_bytes();
        let response = fleet.call(address, Method::POST, "/jobs/refused", &headers, body).await;
        assert_eq!(response.expect("answer").0, StatusCode::SERVICE_UNAVAILABLE);
        let causes = ["refused the job, nothing of it runs", "object API unavailable: status 503"];
        assert_explained(&fleet, "refused", &causes).await;
    });
}

/// Guards against a failed request for which the logs do not show whether a target may have run it.
#[test]
fn deckctl_explains_request_that_failed_at_a_target() {
    run(async {
        let fleet = Fleet::start_with_proxies(2).await;
        fleet.wait_until_ready().await;
        for proxy in &fleet.target_proxies {
            proxy.set_blocked(Direction::FromTarget, true);
        }
        let headers = [("Request-Id", "unanswered"), ("Deadline-Ms", "600")];
        let address = fleet.nodes[0].caller_address;
        let response = fleet.call(address, Method::POST, "/once/x", &headers, vec![]).await;
        assert_eq!(response.expect("answer").0, StatusCode::GATEWAY_TIMEOUT);
        let causes =
            ["may have run the request", "no answer before the deadline", "edge-0 gave up"];
        assert_explained(&fleet, "unanswered", &causes).await;
    });
}

/// Guards against a late training step for which the logs do not show that it waited for weights.
#[test]
fn deckctl_explains_late_step() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let mut job = fleet.submit(0, 1, 2).await;
        monoio::time::sleep(Duration::from_millis(1500)).await;
        fleet.publish_version(2).await;
        fleet.read_until_complete(&mut job).await;
        let expected_cause = "for an engine with version 2 or newer of m0";
        assert_explained(&fleet, &job.id, &[expected_cause]).await;
        assert_explained(&fleet, &job.items[0], &[expected_cause]).await;
    });
}
