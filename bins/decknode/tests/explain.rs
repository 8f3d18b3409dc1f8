//! Causes of failures, found with `deckctl explain` from nothing but the logs of several nodes.

use std::{process::Command, time::Duration};

use deck_net::http::{Method, StatusCode};
use deck_testkit::{program, proxy::Direction};
use serde_json::json;

mod common;

use common::{Fleet, run};

/// Returns what `deckctl explain` says about an id.
fn explain(fleet: &Fleet, id: &str) -> String {
    let files = fleet.write_logs();
    let output = Command::new(program("deckctl")).arg("explain").arg(id).args(files).output();
    let output = output.expect("program runs");
    let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert!(output.status.success(), "{text}");
    text
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
        let text = explain(&fleet, "refused");
        assert!(text.contains("refused the job, nothing of it runs"), "{text}");
        assert!(text.contains("object API unavailable: status 503"), "{text}");
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
        let text = explain(&fleet, "unanswered");
        assert!(text.contains("may have run the request"), "{text}");
        assert!(text.contains("no answer before the deadline"), "{text}");
        assert!(text.contains("edge-0 gave up"), "{text}");
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
        let text = explain(&fleet, &lot.id);
        assert!(text.contains(waited), "{text}");
        let text = explain(&fleet, &lot.items[0]);
        assert!(text.contains(waited), "{text}");
    });
}
