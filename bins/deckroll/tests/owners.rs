//! Failures of job owners: killed, frozen, stopped, and without the object API.

mod common;

use std::time::Duration;

use common::{Cluster, ClusterOptions, JOB, check_delivery};
use deck_net::{Client, http::Method};
use deck_roll::protocol::PullRequest;
use deck_testkit::eventually;
use serde_json::{Value, json};

fn two_vm_options(steps: &'static str) -> ClusterOptions {
    ClusterOptions {
        vm_count: 2,
        samples_per_step: 32,
        trainer_arguments: vec!["--steps", steps, "--pull-timeout-ms", "7000"],
        ..ClusterOptions::default()
    }
}

async fn count_received_samples(cluster: &Cluster) -> usize {
    cluster.trainer.fetch_records().await["samples"].as_array().map_or(0, Vec::len)
}

/// Waits until the trainer has received some but not all samples of a step.
async fn wait_for_partial_step(cluster: &Cluster) {
    eventually("some samples of a step are delivered", async || {
        let received = count_received_samples(cluster).await;
        received > 0 && !received.is_multiple_of(cluster.options.samples_per_step as usize)
    })
    .await;
}

/// Guards against samples that are lost or delivered twice when the owner dies in the middle of a
/// step.
#[test]
fn killed_owner_is_replaced() {
    deck_net::runtime::run(async {
        let mut cluster = Cluster::start(two_vm_options("3")).await;
        wait_for_partial_step(&cluster).await;
        let owner = cluster.find_owner().await;
        cluster.vms[owner].roll.kill();
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
        assert_ne!(cluster.find_owner().await, owner);
    })
    .expect("runtime");
}

/// Guards against an owner that was paused beyond its lease and then delivers samples to a trainer
/// that does not know the new owner yet.
#[test]
fn woken_owner_refuses() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(two_vm_options("4")).await;
        wait_for_partial_step(&cluster).await;
        let old_owner = cluster.find_owner().await;
        let fencing =
            cluster.vms[old_owner].fetch_job_status().await.expect("status")["fencing"].as_u64();
        cluster.vms[old_owner].roll.suspend();
        eventually("the other VM owns the job", async || {
            cluster.vms[1 - old_owner].fetch_job_status().await.is_some()
        })
        .await;
        // Sent while the process is frozen, so that it handles the pull right after it resumes.
        let address = cluster.vms[old_owner].trainer_address;
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
        cluster.vms[old_owner].roll.resume();
        // A redirect has no JSON body, so `json` fails on it; it counts as a refusal too.
        if let Ok((status, body)) = pull.await {
            assert_ne!(status, 200, "the old owner responded with {body}");
        }
        let records = cluster.run_steps(4).await;
        check_delivery(&records, &cluster.options, 4);
        eventually("the old owner gives up", async || {
            cluster.vms[old_owner].fetch_job_status().await.is_none()
        })
        .await;
    })
    .expect("runtime");
}

/// Guards against a planned stop that does not release its lease, so that the trainer waits until
/// the lease expires.
#[test]
fn stopped_owner_hands_on() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            // Without a release, no other VM could take over the job for 30 s.
            roll_settings: vec![("lease", "duration_ms = 30000")],
            ..two_vm_options("3")
        };
        let mut cluster = Cluster::start(options).await;
        wait_for_partial_step(&cluster).await;
        let owner = cluster.find_owner().await;
        cluster.vms[owner].roll.terminate();
        assert!(cluster.vms[owner].roll.wait().success());
        let lease = cluster.get_object("Lease", &format!("job-{JOB}")).await;
        let holder = &lease["value"]["spec"]["holder"];
        assert_ne!(holder, &json!(format!("vm-{owner}")), "the lease was not released");
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
        assert_eq!(records["failed_pulls"].as_u64().map(|failed| failed < 150), Some(true));
    })
    .expect("runtime");
}

/// Guards against a trainer that receives no samples in an outage of the object API, and against a
/// local status that does not show the outage.
#[test]
fn store_outage_longer_than_the_lease() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(two_vm_options("6")).await;
        wait_for_partial_step(&cluster).await;
        let owner = cluster.find_owner().await;
        let delivered_before = count_received_samples(&cluster).await;
        cluster.object_api.set_faults(json!({"outage": "refuse"})).await;
        eventually("the lease is no longer valid", async || {
            let status = cluster.vms[owner].fetch_job_status().await;
            status.is_some_and(|status| status["lease_valid"] == false)
        })
        .await;
        let delivered_at_expiry = count_received_samples(&cluster).await;
        assert!(delivered_at_expiry >= delivered_before);
        let records = cluster.run_steps(6).await;
        check_delivery(&records, &cluster.options, 6);
        assert!(
            count_received_samples(&cluster).await > delivered_at_expiry,
            "no samples after the end of the lease"
        );
        eventually("the local status names the outage", async || {
            let status = cluster.vms[owner].fetch_job_status().await;
            status.is_some_and(|status| status["store_error"].is_string())
        })
        .await;
        cluster.object_api.set_faults(json!({"outage": "none"})).await;
        eventually("the owner renews its lease and writes the status", async || {
            let status = cluster.vms[owner].fetch_job_status().await;
            status.is_some_and(|status| {
                status["lease_valid"] == true && status["store_error"].is_null()
            })
        })
        .await;
        eventually("the status has the fields of all daemons", async || {
            // A daemon that replaced the whole object would remove the fields that other daemons
            // write.
            let spec = cluster.get_object("RolloutJobStatus", JOB).await["value"]["spec"].clone();
            spec["accepted_revision"].is_u64() && spec["usage_tokens"].is_u64()
        })
        .await;
        let status_object = cluster.get_object("RolloutJobStatus", JOB).await;
        assert_eq!(status_object["value"]["spec"]["owner"], format!("vm-{owner}"));
        assert!(
            status_object["value"]["spec"]["usage_tokens"].as_u64() > Some(0),
            "{status_object}"
        );
    })
    .expect("runtime");
}

/// Guards against samples that are lost with a response, or delivered twice when the trainer pulls
/// from another VM.
#[test]
fn lost_answers_and_reconnects() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(two_vm_options("3")).await;
        wait_for_partial_step(&cluster).await;
        cluster.trainer.set_faults(json!({"drop_answers": 4, "reconnect": true})).await;
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
        assert_eq!(records["dropped_answers"], 4);
    })
    .expect("runtime");
}
