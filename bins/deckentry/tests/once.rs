//! At-most-once calls over several entry VMs in processes of their own.
//!
//! The stand-in service counts executions by key; its count is the truth.

mod common;

use std::time::{Duration, Instant};

use common::{Entry, ORGANISATION, Program, World};
use deck_testkit::eventually;
use futures_util::future::join;
use serde_json::json;

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

fn unknown(code: &str) -> (String, String) {
    (code.to_owned(), "unknown".to_owned())
}

fn not_run(code: &str) -> (String, String) {
    (code.to_owned(), "not_run".to_owned())
}

/// Starts a service and two entry VMs that know each other.
async fn two_entries(world: &World, limits: &str) -> (Program, Entry, Entry) {
    let service = world.stand_in("service", &[]);
    world.put_shares(&["booking"]).await;
    world.put_services("booking", &[service.address]).await;
    let first = world.entry("e1", &[], limits).await;
    let second = world.entry("e2", &[first.peer], limits).await;
    world.wait_service(&first, "booking").await;
    world.wait_service(&second, "booking").await;
    // Each has to know the other: a claim of an unknown VM counts as lost.
    eventually("the entry VMs reach each other", async || {
        let ticket = world.ticket(&second).await;
        world.book(&first, &ticket, "probe").await.status == 200
    })
    .await;
    eventually("the entry VMs reach each other", async || {
        let ticket = world.ticket(&first).await;
        world.book(&second, &ticket, "probe").await.status == 200
    })
    .await;
    (service, first, second)
}

/// Guards against a doubled booking: the caller lost the answer and repeats through another VM.
#[test]
fn repeat_through_another_entry_gets_the_recorded_answer() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        let answer = world.book(&first, "k", "seat 4").await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, &b"seat 4"[..]));
        for entry in [&second, &first, &second] {
            let repeat = world.book(entry, "k", "seat 4").await;
            assert_eq!((repeat.status, repeat.body.as_slice()), (200, &b"seat 4"[..]));
        }
        assert_eq!(world.executions(&service, "k").await, 1);
        for entry in [&first, &second] {
            let other = world.book(entry, "k", "seat 5").await;
            assert_eq!(other.error(), not_run("key_reused"));
        }
        assert_eq!(world.executions(&service, "k").await, 1);
    });
}

/// Guards against a doubled booking: the balancer sends two tries to two VMs at the same time.
#[test]
fn two_entries_race_for_one_key() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "claims_per_s = 500").await;
        for round in 0..20 {
            let key = format!("race-{round}");
            let (a, b) =
                join(world.book(&first, &key, "seat"), world.book(&second, &key, "seat")).await;
            assert_eq!((a.status, b.status), (200, 200), "{a:?} {b:?}");
            assert_eq!(world.executions(&service, &key).await, 1, "round {round}");
        }
    });
}

/// Guards against a claim that counts as lost, or as another VM's, because the object API's answer
/// to its write was lost.
#[test]
fn lost_response_to_a_claim_is_resolved() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        world.faults(&world.objects, json!({ "lose_responses": 1 })).await;
        let answer = world.book(&first, "k", "seat").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let repeat = world.book(&second, "k", "seat").await;
        assert_eq!(repeat.status, 200, "{repeat:?}");
        assert_eq!(world.executions(&service, "k").await, 1);
    });
}

/// Guards against a claim that nobody can use: all answers of the object API were lost, so the call
/// was refused as not run; the repeat through another VM has to run it.
#[test]
fn unresolved_claim_is_taken_over_by_the_repeat() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        world.faults(&world.objects, json!({ "delay_response_ms": 3000 })).await;
        let refused = world.book_within(&first, "k", "seat", 1500).await;
        assert_eq!(refused.error().1, "not_run", "{refused:?}");
        assert_eq!(world.executions(&service, "k").await, 0);
        world.faults(&world.objects, json!({ "delay_response_ms": 0 })).await;
        let repeat = world.book(&second, "k", "seat").await;
        assert_eq!(repeat.status, 200, "{repeat:?}");
        let again = world.book(&first, "k", "seat").await;
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(world.executions(&service, "k").await, 1);
    });
}

/// Guards against a claim that blocks its key: the target refused before running, so the repeat
/// through any VM may run, and only one of two racing repeats.
#[test]
fn abandoned_claim_is_taken_over() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        world.faults(&service, json!({ "refuse": 4 })).await;
        let refused = world.book(&first, "k", "seat").await;
        assert_eq!(refused.error(), not_run("target_refused"), "{refused:?}");
        let (a, b) = join(world.book(&second, "k", "seat"), world.book(&first, "k", "seat")).await;
        assert_eq!((a.status, b.status), (200, 200), "{a:?} {b:?}");
        assert_eq!(world.executions(&service, "k").await, 1);
    });
}

/// Guards against a repeat that runs again after the VM that ran the first try has died.
#[test]
fn owner_killed_between_claim_and_answer_leaves_the_outcome_unknown() {
    run(async {
        let world = World::start();
        let (service, mut first, second) = two_entries(&world, "").await;
        let ticket = world.ticket(&first).await;
        world.faults(&service, json!({ "slow_ms": 2000 })).await;
        let keyed = world.book(&first, "k", "seat");
        let ticketed = world.book(&first, &ticket, "seat");
        // The futures panic when the connection breaks, so they are only started here.
        let started = async { monoio::time::sleep(Duration::from_millis(700)).await };
        monoio::select! {
            _ = join(keyed, ticketed) => panic!("answered before the kill"),
            () = started => {}
        }
        first.process.kill();
        world.faults(&service, json!({ "slow_ms": 0 })).await;
        eventually("the VM counts as dead", async || {
            let repeat = world.book(&second, "k", "seat").await;
            let code = repeat.error();
            assert!(code.0 == "key_in_progress" || code.0 == "key_outcome_unknown", "{code:?}");
            assert_eq!(code.1, "unknown");
            code.0 == "key_outcome_unknown"
        })
        .await;
        let repeat = world.book(&second, &ticket, "seat").await;
        assert_eq!(repeat.error(), unknown("key_outcome_unknown"));

        // A new process of the same VM knows nothing of the old one's claims and tickets.
        let third = world.entry("e1", &[second.peer], "").await;
        world.wait_service(&third, "booking").await;
        let repeat = world.book(&third, "k", "seat").await;
        assert_eq!(repeat.error(), unknown("key_outcome_unknown"));
        let repeat = world.book(&third, &ticket, "seat").await;
        assert_eq!(repeat.error(), unknown("key_outcome_unknown"));
        assert_eq!(world.executions(&service, "k").await, 1);
        assert_eq!(world.executions(&service, &ticket).await, 1);
    });
}

/// Guards against a frozen owner whose key runs elsewhere: it thaws and goes on with its own run.
#[test]
fn frozen_owner_keeps_its_key() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        world.faults(&service, json!({ "slow_ms": 1000 })).await;
        let booked = async {
            let answer = world.book(&first, "k", "seat").await;
            assert_eq!(answer.status, 200, "{answer:?}");
        };
        let meanwhile = async {
            monoio::time::sleep(Duration::from_millis(500)).await;
            first.process.suspend();
            let repeat = world.book_within(&second, "k", "seat", 3000).await;
            assert_eq!(repeat.error().1, "unknown", "{repeat:?}");
            first.process.resume();
        };
        join(booked, meanwhile).await;
        eventually("the thawed owner's answer is known", async || {
            world.book(&second, "k", "seat").await.status == 200
        })
        .await;
        assert_eq!(world.executions(&service, "k").await, 1);
    });
}

/// Guards against bookings that stop in an outage of the object API: tickets go on, keys are
/// refused as not run, and answers on record are still given.
#[test]
fn store_outage_stops_new_keys_but_not_tickets() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        assert_eq!(world.book(&first, "before", "seat").await.status, 200);
        world.faults(&world.objects, json!({ "outage": "refuse" })).await;

        let refused = world.book(&first, "during", "seat").await;
        assert_eq!(refused.error(), not_run("store_unavailable"));
        assert!(refused.header("retry-after").is_some());
        assert_eq!(world.book(&first, "before", "seat").await.status, 200);

        let ticket = world.ticket(&first).await;
        for entry in [&second, &first, &second] {
            let answer = world.book(entry, &ticket, "seat").await;
            assert_eq!((answer.status, answer.body.as_slice()), (200, &b"seat"[..]));
        }
        let other = world.book(&second, &ticket, "other seat").await;
        assert_eq!(other.error(), not_run("key_reused"));

        world.faults(&world.objects, json!({ "outage": "none" })).await;
        let answer = world.book(&second, "during", "seat").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        for key in ["before", "during", ticket.as_str()] {
            assert_eq!(world.executions(&service, key).await, 1, "{key}");
        }
    });
}

/// Guards against a lost answer of the target that is taken for a refusal: the outcome is unknown,
/// here and through another VM, and the call does not run again.
#[test]
fn lost_and_cut_answers_of_the_target_stay_unknown() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        // Long enough for the stand-in to send a part before it cuts the answer.
        let body = "seat ".repeat(300_000);
        for (fault, code) in
            [("lose_answers", "target_failed"), ("cut_answers", "answer_truncated")]
        {
            world.faults(&service, json!({ fault: 1 })).await;
            let answer = world.book(&first, fault, &body).await;
            assert_eq!(answer.error(), unknown(code));
            for entry in [&first, &second] {
                let repeat = world.book(entry, fault, &body).await;
                assert_eq!(repeat.error(), unknown("key_outcome_unknown"));
            }
            assert_eq!(world.executions(&service, fault).await, 1);
        }
    });
}

/// Guards against a deadline that is reported as a refusal, and against a late answer that is lost:
/// the repeat gets it from the record.
#[test]
fn late_answer_is_unknown_first_and_an_error_answer_is_recorded() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        world.faults(&service, json!({ "late_answers": 1, "late_ms": 1500 })).await;
        let answer = world.book_within(&first, "late", "seat", 500).await;
        assert_eq!(answer.error(), unknown("deadline_exceeded"));
        assert_eq!(world.executions(&service, "late").await, 1);

        world.faults(&service, json!({ "errors_after_execution": 1 })).await;
        for entry in [&first, &second] {
            let answer = world.book(entry, "error", "seat").await;
            assert_eq!(answer.status, 500, "the target's own answer: {answer:?}");
        }
        assert_eq!(world.executions(&service, "error").await, 1);
    });
}

/// Guards against a booking that is lost because its caller goes away: it is finished and recorded.
#[test]
fn call_whose_caller_goes_away_is_recorded() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "").await;
        world.faults(&service, json!({ "slow_ms": 800 })).await;
        monoio::select! {
            _ = world.book(&first, "k", "seat") => panic!("answered too early"),
            () = monoio::time::sleep(Duration::from_millis(300)) => {}
        }
        let repeat = world.book(&second, "k", "seat").await;
        assert_eq!(repeat.status, 200, "{repeat:?}");
        assert_eq!(world.executions(&service, "k").await, 1);
    });
}

/// Guards against claims above the promised rate, and against claims that are never deleted.
#[test]
fn claims_are_limited_and_deleted() {
    run(async {
        let world = World::start();
        let service = world.stand_in("service", &[]);
        world.put_shares(&["booking"]).await;
        world.put_services("booking", &[service.address]).await;
        let limits = "claims_per_s = 5\nclaim_deletes_per_s = 20\nclaim_keep_ms = 1000";
        let entry = world.entry("e1", &[], limits).await;
        world.wait_service(&entry, "booking").await;

        let started = Instant::now();
        let mut accepted = 0;
        let mut refused = 0;
        for number in 0..30 {
            let answer = world.book(&entry, &format!("k{number}"), "seat").await;
            if answer.status == 200 {
                accepted += 1;
            } else {
                assert_eq!(answer.error(), not_run("claim_rate_exceeded"));
                assert!(answer.json()["error"]["retry_after_ms"].as_u64().is_some());
                refused += 1;
            }
        }
        let allowed = 5.0 + started.elapsed().as_secs_f64() * 5.0;
        assert!(f64::from(accepted) <= allowed, "{accepted} accepted, {allowed} allowed");
        assert!(refused > 0 && accepted >= 5, "{accepted} accepted, {refused} refused");
        let headers = [("x-organisation", ORGANISATION)];
        eventually("all claims are deleted", async || {
            let path = "/v1/objects/CallClaim";
            let list = world.send(world.objects.address, "GET", path, &headers, "").await;
            list.json()["items"].as_array().is_some_and(Vec::is_empty)
        })
        .await;
    });
}

/// Guards against store writes beyond those that `docs/calls.md` counts on: a key costs one write
/// and one delete, a ticket none, and a repeat none that takes effect.
#[test]
fn store_writes_per_call() {
    run(async {
        const CALLS: u64 = 50;
        let world = World::start();
        let limits = "claims_per_s = 500\nclaim_deletes_per_s = 500\nclaim_keep_ms = 1000";
        let (service, first, second) = two_entries(&world, limits).await;
        let claim_writes = async || {
            let counts = world.records(&world.objects).await["counts"].clone();
            counts["writes_by_kind"]["CallClaim"].as_u64().unwrap_or(0)
        };
        let mut tickets = Vec::new();
        for _ in 0..CALLS {
            let ticket = world.ticket(&first).await;
            assert_eq!(world.book(&second, &ticket, "seat").await.status, 200);
            tickets.push(ticket);
        }
        assert_eq!(claim_writes().await, 0);
        for number in 0..CALLS {
            let key = format!("k{number}");
            assert_eq!(world.book(&first, &key, "seat").await.status, 200);
            assert_eq!(world.book(&second, &key, "seat").await.status, 200);
        }
        eventually("the claims are deleted", async || claim_writes().await == 2 * CALLS).await;
        for key in &tickets {
            assert_eq!(world.executions(&service, key).await, 1);
        }
    });
}

/// Guards against claims of dead VMs that fill the object API, and against their deletion while a
/// call under them may still be sent.
#[test]
fn claims_of_a_dead_vm_are_deleted_after_the_longest_deadline() {
    run(async {
        let world = World::start();
        let limits = "claim_keep_ms = 1000\nmax_deadline_ms = 2000\ndefault_deadline_ms = 2000";
        let (service, mut first, second) = two_entries(&world, limits).await;
        let claims = async || {
            let path = "/v1/objects/CallClaim";
            let list = world.send(world.objects.address, "GET", path, &[], "").await.json();
            list["items"].as_array().map_or(0, Vec::len)
        };
        assert_eq!(world.book(&first, "k", "seat").await.status, 200);
        first.process.kill();
        let killed = Instant::now();
        eventually("the claim is deleted", async || claims().await == 0).await;
        // The claim counts from when the other VM first saw it without a live owner.
        assert!(killed.elapsed() >= Duration::from_secs(3), "after {:?}", killed.elapsed());
        assert_eq!(world.executions(&service, "k").await, 1);
        drop(second);
    });
}

/// Guards against a second run of a key whose claim outlives the recorded answer: at the VM that ran
/// it and at another one the outcome is then unknown.
#[test]
fn forgotten_answer_does_not_run_again() {
    run(async {
        let world = World::start();
        let (service, first, second) = two_entries(&world, "record_keep_ms = 1000").await;
        assert_eq!(world.book(&first, "k", "seat").await.status, 200);
        monoio::time::sleep(Duration::from_millis(2500)).await;
        for entry in [&first, &second, &first] {
            let answer = world.book(entry, "k", "seat").await;
            assert_eq!(answer.error(), ("key_outcome_unknown".to_owned(), "unknown".to_owned()));
        }
        assert_eq!(world.executions(&service, "k").await, 1);
    });
}
