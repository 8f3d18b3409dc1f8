//! Failures of owners: killed, frozen, stopped, and without the object API.

mod common;

use std::time::Duration;

use common::{Cluster, ClusterOptions, JOB, check_delivery};
use deck_net::{Client, http::Method};
use deck_roll::protocol::PullRequest;
use deck_testkit::eventually;
use serde_json::{Value, json};

fn two_vms(steps: &'static str) -> ClusterOptions {
    ClusterOptions {
        vms: 2,
        samples_per_step: 32,
        trainer: vec!["--steps", steps, "--pull-timeout-ms", "7000"],
        ..ClusterOptions::default()
    }
}

async fn samples_received(cluster: &Cluster) -> usize {
    cluster.trainer.records().await["samples"].as_array().map_or(0, Vec::len)
}

/// Waits until a step has been handed over in part.
async fn wait_for_part_of_a_step(cluster: &Cluster) {
    eventually("a part of a step is delivered", async || {
        let received = samples_received(cluster).await;
        received > 0 && !received.is_multiple_of(cluster.options.samples_per_step as usize)
    })
    .await;
}

/// Guards against samples that are lost or come twice when the owner dies in the middle of a step.
#[test]
fn killed_owner_is_replaced() {
    deck_net::runtime::run(async {
        let mut cluster = Cluster::start(two_vms("3")).await;
        wait_for_part_of_a_step(&cluster).await;
        let owner = cluster.owner().await;
        cluster.vms[owner].roll.kill();
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
        assert_ne!(cluster.owner().await, owner);
    })
    .expect("runtime");
}

/// Guards against an owner that was paused past the end of its lease and hands samples over after it
/// wakes, to a trainer that has not met the new owner.
#[test]
fn woken_owner_refuses() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(two_vms("4")).await;
        wait_for_part_of_a_step(&cluster).await;
        let old = cluster.owner().await;
        let fencing = cluster.vms[old].status().await.expect("status")["fencing"].as_u64();
        cluster.vms[old].roll.suspend();
        eventually("the other VM owns the job", async || {
            cluster.vms[1 - old].status().await.is_some()
        })
        .await;
        // Sent while the process is frozen, so that it is answered in its first moments awake.
        let address = cluster.vms[old].trainer_address;
        let pull = monoio::spawn(async move {
            let request = PullRequest {
                step: 0,
                trainer_version: 1,
                held_groups: String::new(),
                owner_fencing: fencing.expect("fencing"),
                wait_ms: Some(2000),
            };
            let path = format!("/v1/jobs/{JOB}/pull");
            let client = Client::default();
            let sent = client.json::<_, Value>(Method::POST, address, &path, Some(&request)).await;
            sent.map(|(status, body)| (status.as_u16(), body))
        });
        monoio::time::sleep(Duration::from_millis(100)).await;
        cluster.vms[old].roll.resume();
        // A redirect has no body, so it cannot be read as JSON: that is a refusal as well.
        if let Ok((status, body)) = pull.await {
            assert_ne!(status, 200, "the old owner answered {body}");
        }
        let records = cluster.run_steps(4).await;
        check_delivery(&records, &cluster.options, 4);
        eventually("the old owner gives up", async || cluster.vms[old].status().await.is_none())
            .await;
    })
    .expect("runtime");
}

/// Guards against a planned stop that keeps the trainer waiting for the end of the lease, and against
/// a lease that is not handed on.
#[test]
fn stopped_owner_hands_on() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            // Without a release the job would be free only after half a minute.
            roll_settings: vec![("lease", "duration_ms = 30000")],
            ..two_vms("3")
        };
        let mut cluster = Cluster::start(options).await;
        wait_for_part_of_a_step(&cluster).await;
        let owner = cluster.owner().await;
        cluster.vms[owner].roll.terminate();
        assert!(cluster.vms[owner].roll.wait().success());
        let lease = cluster.object("Lease", &format!("job-{JOB}")).await;
        let holder = &lease["value"]["spec"]["holder"];
        assert_ne!(holder, &json!(format!("vm-{owner}")), "the lease was not released");
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
        assert_eq!(records["failed_pulls"].as_u64().map(|failed| failed < 150), Some(true));
    })
    .expect("runtime");
}

/// Guards against a trainer that starves in an outage of the object API, and against an outage that
/// the local status hides.
#[test]
fn store_outage_longer_than_the_lease() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(two_vms("6")).await;
        wait_for_part_of_a_step(&cluster).await;
        let owner = cluster.owner().await;
        let before = samples_received(&cluster).await;
        cluster.objects.faults(json!({"outage": "refuse"})).await;
        eventually("the lease is no longer valid", async || {
            let status = cluster.vms[owner].status().await;
            status.is_some_and(|status| status["lease_valid"] == false)
        })
        .await;
        let expired = samples_received(&cluster).await;
        assert!(expired >= before);
        let records = cluster.run_steps(6).await;
        check_delivery(&records, &cluster.options, 6);
        assert!(
            samples_received(&cluster).await > expired,
            "no samples after the end of the lease"
        );
        eventually("the local status names the outage", async || {
            let status = cluster.vms[owner].status().await;
            status.is_some_and(|status| status["store_error"].is_string())
        })
        .await;
        cluster.objects.faults(json!({"outage": "none"})).await;
        eventually("the owner renews its lease and writes the status", async || {
            let status = cluster.vms[owner].status().await;
            status.is_some_and(|status| {
                status["lease_valid"] == true && status["store_error"].is_null()
            })
        })
        .await;
        eventually("the status has the fields of all daemons", async || {
            // A daemon that replaced the whole object would remove the fields of the others.
            let spec = cluster.object("RolloutJobStatus", JOB).await["value"]["spec"].clone();
            spec["accepted_revision"].is_u64() && spec["usage_tokens"].is_u64()
        })
        .await;
        let written = cluster.object("RolloutJobStatus", JOB).await;
        assert_eq!(written["value"]["spec"]["owner"], format!("vm-{owner}"));
        assert!(written["value"]["spec"]["usage_tokens"].as_u64() > Some(0), "{written}");
    })
    .expect("runtime");
}

/// Guards against samples that are lost with an answer or come twice when the trainer asks another
/// VM.
#[test]
fn lost_answers_and_reconnects() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(two_vms("3")).await;
        wait_for_part_of_a_step(&cluster).await;
        cluster.trainer.faults(json!({"drop_answers": 4, "reconnect": true})).await;
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
        assert_eq!(records["dropped_answers"], 4);
    })
    .expect("runtime");
}
