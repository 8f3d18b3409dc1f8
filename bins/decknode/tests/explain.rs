//! Causes of failures, found with `deckctl explain` from nothing but the logs of several nodes.

use std::{process::Command, time::Duration};

use deck_net::http::{Method, StatusCode};
use deck_testkit::{eventually, program, proxy::Direction};
use serde_json::json;

mod common;

use common::{Fleet, run};

/// Checks that `deckctl explain` says all of `causes` about an id. A thread of the test receives the
/// nodes' lines, so the newest ones may come after the answer that they are about.
async fn assert_explained(fleet: &Fleet, id: &str, causes: &[&str]) {
    eventually("the logs explain the id", async || {
        let files = fleet.write_logs();
        let output = Command::new(program("deckctl")).arg("explain").arg(id).args(files).output();
        let output = output.expect("program runs");
        let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
        println!("{text}");
        output.status.success() && causes.iter().all(|cause| text.contains(cause))
    })
    .await;
}

/// Guards against a refusal whose reason the logs do not tell.
#[test]
fn refused_job_is_explained() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        fleet.set_faults(json!({"store_down": true})).await;
        let address = fleet.nodes[0].callers;
        let body = json!({"Step": 0, "Model": "m0", "MinVersion": 1, "GroupCount": 0,
                          "Items": [{"Id": "refused-i", "Path": "/jobs/run", "Headers": {},
                                     "Body": "q83v", "Tokens": 100, "Group": "g"}]});
        let headers = [("Request-Id", "refused"), ("Content-Type", "application/json")];
        let body = body.to_string().into_bytes();
        let sent = fleet.call(address, Method::POST, "/jobs/refused", &headers, body).await;
        assert_eq!(sent.expect("answer").0, StatusCode::SERVICE_UNAVAILABLE);
        let causes = ["refused the job, nothing of it runs", "object API unavailable: status 503"];
        assert_explained(&fleet, "refused", &causes).await;
    });
}

/// Guards against a failed request of which the logs do not tell whether a target may have run it.
#[test]
fn request_that_failed_at_a_target_is_explained() {
    run(async {
        let fleet = Fleet::start_with_proxies(2).await;
        fleet.wait_until_ready().await;
        for link in &fleet.server_links {
            link.set_silent(Direction::FromTarget, true);
        }
        let headers = [("Request-Id", "unanswered"), ("Deadline-Ms", "600")];
        let address = fleet.nodes[0].callers;
        let sent = fleet.call(address, Method::POST, "/once/x", &headers, vec![]).await;
        assert_eq!(sent.expect("answer").0, StatusCode::GATEWAY_TIMEOUT);
        let causes =
            ["may have run the request", "no answer before the deadline", "edge-0 gave up"];
        assert_explained(&fleet, "unanswered", &causes).await;
    });
}

/// Guards against a late step whose wait for weights the logs do not tell.
#[test]
fn late_step_is_explained() {
    run(async {
        let fleet = Fleet::start(2);
        fleet.wait_until_ready().await;
        let mut lot = fleet.submit(0, 1, 2).await;
        monoio::time::sleep(Duration::from_millis(1500)).await;
        fleet.name_version(2).await;
        fleet.read_to_end(&mut lot).await;
        let waited = "for an engine with version 2 or newer of m0";
        assert_explained(&fleet, &lot.id, &[waited]).await;
        assert_explained(&fleet, &lot.items[0], &[waited]).await;
    });
}
