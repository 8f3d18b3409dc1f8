//! At-most-once calls through several entry VMs in separate processes.
//!
//! The stand-in service counts executions by key; the tests check these counts.

mod common;

use std::time::{Duration, Instant};

use common::{Deployment, Entry, ORGANISATION, StandIn};
use deck_testkit::eventually;
use futures_util::future::join;
use serde_json::json;

fn run_test<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

fn unknown(code: &str) -> (String, String) {
    (code.to_owned(), "unknown".to_owned())
}

fn not_run(code: &str) -> (String, String) {
    (code.to_owned(), "not_run".to_owned())
}

/// Starts a service and two entry VMs, and waits until they are connected to each other.
async fn two_entries(deployment: &Deployment, limits: &str) -> (StandIn, Entry, Entry) {
    let service = deployment.start_stand_in("service", &[]);
    deployment.put_shares(&["booking"]).await;
    deployment.put_service_pool("booking", &[service.address]).await;
    let first_entry = deployment.start_entry("e1", &[], limits).await;
    let second_entry = deployment.start_entry("e2", &[first_entry.peer], limits).await;
    deployment.wait_until_served(&first_entry, "booking").await;
    deployment.wait_until_served(&second_entry, "booking").await;
    // Each must have the other as a member, because a claim of an unknown VM counts as lost.
    eventually("the entry VMs reach each other", async || {
        let ticket = deployment.issue_ticket(&second_entry).await;
        deployment.book(&first_entry, &ticket, "probe").await.status == 200
    })
    .await;
    eventually("the entry VMs reach each other", async || {
        let ticket = deployment.issue_ticket(&first_entry).await;
        deployment.book(&second_entry, &ticket, "probe").await.status == 200
    })
    .await;
    (service, first_entry, second_entry)
}

/// Guards against a duplicate booking: the caller loses the response and retries through another
/// VM.
#[test]
fn repeat_through_another_entry_gets_the_recorded_answer() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        let response = deployment.book(&first_entry, "k", "seat 4").await;
        assert_eq!((response.status, response.body.as_slice()), (200, &b"seat 4"[..]));
        for entry in [&second_entry, &first_entry, &second_entry] {
            let repeat = deployment.book(entry, "k", "seat 4").await;
            assert_eq!((repeat.status, repeat.body.as_slice()), (200, &b"seat 4"[..]));
        }
        assert_eq!(deployment.executions(&service, "k").await, 1);
        for entry in [&first_entry, &second_entry] {
            let other = deployment.book(entry, "k", "seat 5").await;
            assert_eq!(other.error(), not_run("key_reused"));
        }
        assert_eq!(deployment.executions(&service, "k").await, 1);
    });
}

/// Guards against a duplicate booking: two attempts with the same key reach two VMs at the same
/// time.
#[test]
fn two_entries_race_for_one_key() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) =
            two_entries(&deployment, "claims_per_s = 500").await;
        for round in 0..20 {
            let key = format!("race-{round}");
            let (a, b) = join(
                deployment.book(&first_entry, &key, "seat"),
                deployment.book(&second_entry, &key, "seat"),
            )
            .await;
            assert_eq!((a.status, b.status), (200, 200), "{a:?} {b:?}");
            assert_eq!(deployment.executions(&service, &key).await, 1, "round {round}");
        }
    });
}

/// Guards against a claim that is treated as failed, or as another VM's, because the object API's
/// response to its write was lost.
#[test]
fn lost_response_to_a_claim_is_resolved() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        deployment.set_faults(&deployment.object_api, json!({ "lose_responses": 1 })).await;
        let response = deployment.book(&first_entry, "k", "seat").await;
        assert_eq!(response.status, 200, "{response:?}");
        let repeat = deployment.book(&second_entry, "k", "seat").await;
        assert_eq!(repeat.status, 200, "{repeat:?}");
        assert_eq!(deployment.executions(&service, "k").await, 1);
    });
}

/// Guards against a claim that blocks its key after the object API answered too late: the call was
/// refused as not run, so a retry through another VM must run it.
#[test]
fn unresolved_claim_is_taken_over_by_the_repeat() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        deployment.set_faults(&deployment.object_api, json!({ "delay_response_ms": 3000 })).await;
        let refused = deployment.book_within(&first_entry, "k", "seat", 1500).await;
        assert_eq!(refused.error().1, "not_run", "{refused:?}");
        assert_eq!(deployment.executions(&service, "k").await, 0);
        deployment.set_faults(&deployment.object_api, json!({ "delay_response_ms": 0 })).await;
        let repeat = deployment.book(&second_entry, "k", "seat").await;
        assert_eq!(repeat.status, 200, "{repeat:?}");
        let again = deployment.book(&first_entry, "k", "seat").await;
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(deployment.executions(&service, "k").await, 1);
    });
}

/// Guards against a claim that blocks its key forever. The target refused the call without running
/// it, so a retry through any VM may run; of two concurrent retries only one may.
#[test]
fn abandoned_claim_is_taken_over() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        deployment.set_faults(&service, json!({ "refuse": 4 })).await;
        let refused = deployment.book(&first_entry, "k", "seat").await;
        assert_eq!(refused.error(), not_run("target_refused"), "{refused:?}");
        let (a, b) = join(
            deployment.book(&second_entry, "k", "seat"),
            deployment.book(&first_entry, "k", "seat"),
        )
        .await;
        assert_eq!((a.status, b.status), (200, 200), "{a:?} {b:?}");
        assert_eq!(deployment.executions(&service, "k").await, 1);
    });
}

/// Guards against a retry that runs again after the VM that ran the first attempt was killed.
#[test]
fn owner_killed_between_claim_and_answer_leaves_the_outcome_unknown() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, mut first_entry, second_entry) = two_entries(&deployment, "").await;
        let ticket = deployment.issue_ticket(&first_entry).await;
        deployment.set_faults(&service, json!({ "slow_ms": 2000 })).await;
        let call_with_key = deployment.book(&first_entry, "k", "seat");
        let call_with_ticket = deployment.book(&first_entry, &ticket, "seat");
        // The futures would panic when the connection breaks, so they are dropped before the kill.
        let delay = async { monoio::time::sleep(Duration::from_millis(700)).await };
        monoio::select! {
            _ = join(call_with_key, call_with_ticket) => panic!("answered before the kill"),
            () = delay => {}
        }
        first_entry.process.kill();
        deployment.set_faults(&service, json!({ "slow_ms": 0 })).await;
        eventually("the VM counts as dead", async || {
            let repeat = deployment.book(&second_entry, "k", "seat").await;
            let error = repeat.error();
            assert!(error.0 == "key_in_progress" || error.0 == "key_outcome_unknown", "{error:?}");
            assert_eq!(error.1, "unknown");
            error.0 == "key_outcome_unknown"
        })
        .await;
        let repeat = deployment.book(&second_entry, &ticket, "seat").await;
        assert_eq!(repeat.error(), unknown("key_outcome_unknown"));

        // A new process of the same VM has no records of the claims and tickets of the old one.
        let third = deployment.start_entry("e1", &[second_entry.peer], "").await;
        deployment.wait_until_served(&third, "booking").await;
        let repeat = deployment.book(&third, "k", "seat").await;
        assert_eq!(repeat.error(), unknown("key_outcome_unknown"));
        let repeat = deployment.book(&third, &ticket, "seat").await;
        assert_eq!(repeat.error(), unknown("key_outcome_unknown"));
        assert_eq!(deployment.executions(&service, "k").await, 1);
        assert_eq!(deployment.executions(&service, &ticket).await, 1);
    });
}

/// Guards against a second run of a key whose owner is frozen: the owner resumes and continues its
/// run.
#[test]
fn frozen_owner_keeps_its_key() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        deployment.set_faults(&service, json!({ "slow_ms": 1000 })).await;
        let booking = async {
            let response = deployment.book(&first_entry, "k", "seat").await;
            assert_eq!(response.status, 200, "{response:?}");
        };
        let retry_while_frozen = async {
            monoio::time::sleep(Duration::from_millis(500)).await;
            first_entry.process.suspend();
            let repeat = deployment.book_within(&second_entry, "k", "seat", 3000).await;
            assert_eq!(repeat.error().1, "unknown", "{repeat:?}");
            first_entry.process.resume();
        };
        join(booking, retry_while_frozen).await;
        eventually("the resumed owner's response is known", async || {
            deployment.book(&second_entry, "k", "seat").await.status == 200
        })
        .await;
        assert_eq!(deployment.executions(&service, "k").await, 1);
    });
}

/// Guards against an outage of the object API that stops bookings with tickets or recorded
/// responses. New keys must be refused as not run.
#[test]
fn store_outage_stops_new_keys_but_not_tickets() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        assert_eq!(deployment.book(&first_entry, "before", "seat").await.status, 200);
        deployment.set_faults(&deployment.object_api, json!({ "outage": "refuse" })).await;

        let refused = deployment.book(&first_entry, "during", "seat").await;
        assert_eq!(refused.error(), not_run("store_unavailable"));
        assert!(refused.header("retry-after").is_some());
        assert_eq!(deployment.book(&first_entry, "before", "seat").await.status, 200);

        let ticket = deployment.issue_ticket(&first_entry).await;
        for entry in [&second_entry, &first_entry, &second_entry] {
            let response = deployment.book(entry, &ticket, "seat").await;
            assert_eq!((response.status, response.body.as_slice()), (200, &b"seat"[..]));
        }
        let other = deployment.book(&second_entry, &ticket, "other seat").await;
        assert_eq!(other.error(), not_run("key_reused"));

        deployment.set_faults(&deployment.object_api, json!({ "outage": "none" })).await;
        let response = deployment.book(&second_entry, "during", "seat").await;
        assert_eq!(response.status, 200, "{response:?}");
        for key in ["before", "during", ticket.as_str()] {
            assert_eq!(deployment.executions(&service, key).await, 1, "{key}");
        }
    });
}

/// Guards against a lost response of the target that is treated as a refusal. The outcome must be
/// unknown through every VM, and the call must not run again.
#[test]
fn lost_and_cut_answers_of_the_target_stay_unknown() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        // Long enough for the stand-in to send a part of the response before it closes the
        // connection.
        let body = "seat ".repeat(300_000);
        for (fault, code) in
            [("lose_answers", "target_failed"), ("cut_answers", "answer_truncated")]
        {
            deployment.set_faults(&service, json!({ fault: 1 })).await;
            let response = deployment.book(&first_entry, fault, &body).await;
            assert_eq!(response.error(), unknown(code));
            for entry in [&first_entry, &second_entry] {
                let repeat = deployment.book(entry, fault, &body).await;
                assert_eq!(repeat.error(), unknown("key_outcome_unknown"));
            }
            assert_eq!(deployment.executions(&service, fault).await, 1);
        }
    });
}

/// Guards against an expired deadline that is reported as a refusal, and against an error response
/// of the target that is not recorded.
#[test]
fn late_answer_is_unknown_first_and_an_error_answer_is_recorded() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        deployment.set_faults(&service, json!({ "late_answers": 1, "late_ms": 1500 })).await;
        let response = deployment.book_within(&first_entry, "late", "seat", 500).await;
        assert_eq!(response.error(), unknown("deadline_exceeded"));
        assert_eq!(deployment.executions(&service, "late").await, 1);

        deployment.set_faults(&service, json!({ "errors_after_execution": 1 })).await;
        for entry in [&first_entry, &second_entry] {
            let response = deployment.book(entry, "error", "seat").await;
            assert_eq!(response.status, 500, "the target's own response: {response:?}");
        }
        assert_eq!(deployment.executions(&service, "error").await, 1);
    });
}

/// Guards against a booking that is lost because its caller disconnects. It must finish and be
/// recorded.
#[test]
fn call_whose_caller_goes_away_is_recorded() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) = two_entries(&deployment, "").await;
        deployment.set_faults(&service, json!({ "slow_ms": 800 })).await;
        monoio::select! {
            _ = deployment.book(&first_entry, "k", "seat") => panic!("answered too early"),
            () = monoio::time::sleep(Duration::from_millis(300)) => {}
        }
        let repeat = deployment.book(&second_entry, "k", "seat").await;
        assert_eq!(repeat.status, 200, "{repeat:?}");
        assert_eq!(deployment.executions(&service, "k").await, 1);
    });
}

/// Guards against claims above `claims_per_s`, and against claims that are never deleted.
#[test]
fn claims_are_limited_and_deleted() {
    run_test(async {
        let deployment = Deployment::start();
        let service = deployment.start_stand_in("service", &[]);
        deployment.put_shares(&["booking"]).await;
        deployment.put_service_pool("booking", &[service.address]).await;
        let limits = "claims_per_s = 5\nclaim_deletes_per_s = 20\nclaim_keep_ms = 1000";
        let entry = deployment.start_entry("e1", &[], limits).await;
        deployment.wait_until_served(&entry, "booking").await;

        let started = Instant::now();
        let mut accepted = 0;
        let mut refused = 0;
        for number in 0..30 {
            let response = deployment.book(&entry, &format!("k{number}"), "seat").await;
            if response.status == 200 {
                accepted += 1;
            } else {
                assert_eq!(response.error(), not_run("claim_rate_exceeded"));
                assert!(response.json()["error"]["retry_after_ms"].as_u64().is_some());
                refused += 1;
            }
        }
        let allowed = 5.0 + started.elapsed().as_secs_f64() * 5.0;
        assert!(f64::from(accepted) <= allowed, "{accepted} accepted, {allowed} allowed");
        assert!(refused > 0 && accepted >= 5, "{accepted} accepted, {refused} refused");
        let headers = [("x-organisation", ORGANISATION)];
        eventually("all claims are deleted", async || {
            let path = "/v1/objects/CallClaim";
            let list =
                deployment.send(deployment.object_api.address, "GET", path, &headers, "").await;
            list.json()["items"].as_array().is_some_and(Vec::is_empty)
        })
        .await;
    });
}

/// Guards against more object API writes than `docs/calls.md` states: a key costs one write and one
/// delete, a ticket none, and a retry none that takes effect.
#[test]
fn store_writes_per_call() {
    run_test(async {
        const CALLS: u64 = 50;
        let deployment = Deployment::start();
        let limits = "claims_per_s = 500\nclaim_deletes_per_s = 500\nclaim_keep_ms = 1000";
        let (service, first_entry, second_entry) = two_entries(&deployment, limits).await;
        let claim_writes = async || {
            let counts = deployment.fetch_records(&deployment.object_api).await["counts"].clone();
            counts["writes_by_kind"]["CallClaim"].as_u64().unwrap_or(0)
        };
        let mut tickets = Vec::new();
        for _ in 0..CALLS {
            let ticket = deployment.issue_ticket(&first_entry).await;
            assert_eq!(deployment.book(&second_entry, &ticket, "seat").await.status, 200);
            tickets.push(ticket);
        }
        assert_eq!(claim_writes().await, 0);
        for number in 0..CALLS {
            let key = format!("k{number}");
            assert_eq!(deployment.book(&first_entry, &key, "seat").await.status, 200);
            assert_eq!(deployment.book(&second_entry, &key, "seat").await.status, 200);
        }
        eventually("the claims are deleted", async || claim_writes().await == 2 * CALLS).await;
        for key in &tickets {
            assert_eq!(deployment.executions(&service, key).await, 1);
        }
    });
}

/// Guards against claims of dead VMs that accumulate in the object API, and against deleting a
/// claim while its call may still be sent.
#[test]
fn claims_of_a_dead_vm_are_deleted_after_the_longest_deadline() {
    run_test(async {
        let deployment = Deployment::start();
        let limits = "claim_keep_ms = 1000\nmax_deadline_ms = 2000\ndefault_deadline_ms = 2000";
        let (service, mut first_entry, second_entry) = two_entries(&deployment, limits).await;
        let claims = async || {
            let path = "/v1/objects/CallClaim";
            let list =
                deployment.send(deployment.object_api.address, "GET", path, &[], "").await.json();
            list["items"].as_array().map_or(0, Vec::len)
        };
        assert_eq!(deployment.book(&first_entry, "k", "seat").await.status, 200);
        first_entry.process.kill();
        let killed = Instant::now();
        eventually("the claim is deleted", async || claims().await == 0).await;
        // The retention starts when the other VM first sees the claim without a live owner.
        assert!(killed.elapsed() >= Duration::from_secs(3), "after {:?}", killed.elapsed());
        assert_eq!(deployment.executions(&service, "k").await, 1);
        drop(second_entry);
    });
}

/// Guards against a second run of a key whose claim outlives the recorded response. The outcome is
/// then unknown through every VM.
#[test]
fn forgotten_answer_does_not_run_again() {
    run_test(async {
        let deployment = Deployment::start();
        let (service, first_entry, second_entry) =
            two_entries(&deployment, "record_keep_ms = 1000").await;
        assert_eq!(deployment.book(&first_entry, "k", "seat").await.status, 200);
        monoio::time::sleep(Duration::from_millis(2500)).await;
        for entry in [&first_entry, &second_entry, &first_entry] {
            let response = deployment.book(entry, "k", "seat").await;
            assert_eq!(response.error(), ("key_outcome_unknown".to_owned(), "unknown".to_owned()));
        }
        assert_eq!(deployment.executions(&service, "k").await, 1);
    });
}
