//! Leases and conditional writes, tested with the object API stand-in.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_net::{Client, http::Method};
use deck_plat::{
    AcquireResult, HeldLease, LeaseCandidate, LeaseEnd, LeaseOptions, Precondition, Store,
    StoreError,
};
use deck_testkit::{Process, eventually};
use serde_json::{Value, json};

const LEASE_DURATION: Duration = Duration::from_millis(900);

/// Process of the object API stand-in, and a client of it.
struct TestEnvironment {
    _objects: Process,
    address: SocketAddr,
    store: Store,
}

impl TestEnvironment {
    fn start() -> Self {
        let arguments = ["objects", "--listen", "127.0.0.1:0"];
        let mut objects = Process::start("objects", "deckstandin", &arguments, None);
        let address = objects.address("http");
        let store = Store::new(Client::default(), address, Duration::from_secs(2));
        Self { _objects: objects, address, store }
    }

    /// Sets faults that the stand-in injects.
    async fn set_faults(&self, faults: Value) {
        let (status, _) = Client::default()
            .json::<_, Value>(Method::POST, self.address, "/admin/faults", Some(&faults))
            .await
            .expect("stand-in");
        assert!(status.is_success(), "{faults}");
    }

    fn candidate(&self, vm: &str) -> LeaseCandidate {
        let options = LeaseOptions { duration: LEASE_DURATION, ..LeaseOptions::default() };
        LeaseCandidate::new(self.store.clone(), "l", vm.to_owned(), "127.0.0.1:1", options)
    }

    /// Tries to acquire the lease for `vm` until it succeeds.
    async fn acquire(&self, vm: &str) -> HeldLease {
        let mut candidate = self.candidate(vm);
        let deadline = Instant::now() + deck_testkit::EVENT_WAIT_TIMEOUT;
        while Instant::now() < deadline {
            candidate = match candidate.try_acquire().await {
                AcquireResult::Held(held) => return held,
                AcquireResult::HeldElsewhere(candidate, _)
                | AcquireResult::Failed(candidate, _) => candidate,
            };
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{vm} does not acquire the lease");
    }
}

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against two holders at the same time and against reused fencing numbers.
#[test]
fn an_expired_lease_is_taken_over_with_a_higher_fencing_number() {
    run(async {
        let environment = TestEnvironment::start();
        let mut first_lease = environment.acquire("a").await;
        let early_attempt = environment.candidate("b").try_acquire().await;
        assert!(
            matches!(early_attempt, AcquireResult::HeldElsewhere(_, record) if record.holder == "a")
        );
        let second_lease = environment.acquire("b").await;
        assert!(!first_lease.is_valid(), "the first lease is still valid after the takeover");
        assert_eq!(second_lease.fencing(), first_lease.fencing() + 1);
        assert!(matches!(first_lease.renew().await, Err(StoreError::Conflict(_))));
    });
}

/// Guards against a lease that stays unavailable for its duration after a planned stop of its
/// holder.
#[test]
fn a_released_lease_is_available_at_once() {
    run(async {
        let environment = TestEnvironment::start();
        let held = environment.acquire("a").await;
        let token = held.token();
        let stop = CancellationToken::new();
        stop.cancel();
        assert!(matches!(held.renew_until_cancelled(stop).await, LeaseEnd::Released));
        assert!(!token.is_valid());
        let result = environment.candidate("b").try_acquire().await;
        assert!(
            matches!(result, AcquireResult::Held(held) if held.fencing() == token.fencing() + 1)
        );
    });
}

/// Guards against a holder that loses its lease, or acts under two fencing numbers, because the
/// response to its write was lost.
#[test]
fn lost_responses_are_resolved() {
    run(async {
        let environment = TestEnvironment::start();
        environment.set_faults(json!({ "lose_responses": 1 })).await;
        let mut held = environment.acquire("a").await;
        assert_eq!(held.fencing(), 1);
        environment.set_faults(json!({ "lose_responses": 1 })).await;
        held.renew().await.expect("renewed");
        held.renew().await.expect("the revision after the lost response is known");
    });
}

/// Guards against candidates taking over all leases at the end of an outage of the object API.
#[test]
fn an_outage_does_not_count_as_missed_renewals() {
    run(async {
        let environment = TestEnvironment::start();
        let held = environment.acquire("a").await;
        let token = held.token();
        let stop = CancellationToken::new();
        let renewal_task = monoio::spawn(held.renew_until_cancelled(stop.clone()));
        let AcquireResult::HeldElsewhere(mut candidate, _) =
            environment.candidate("b").try_acquire().await
        else {
            panic!("the lease is held");
        };
        environment.set_faults(json!({ "outage": "refuse" })).await;
        let outage_start = Instant::now();
        while outage_start.elapsed() < LEASE_DURATION * 2 {
            candidate = match candidate.try_acquire().await {
                AcquireResult::Failed(candidate, _) => candidate,
                _ => panic!("acquired in an outage"),
            };
            monoio::time::sleep(LEASE_DURATION / 9).await;
        }
        assert!(!token.is_valid(), "the lease is still valid although it could not be renewed");
        environment.set_faults(json!({ "outage": "none" })).await;
        let result_after_outage = candidate.try_acquire().await;
        assert!(
            matches!(result_after_outage, AcquireResult::HeldElsewhere(..)),
            "taken over at once"
        );
        eventually("the holder renews", async || token.is_valid()).await;
        stop.cancel();
        assert!(matches!(renewal_task.await, LeaseEnd::Released));
    });
}

/// The holder crashes at the beginning of an outage of the object API. Guards against the lease
/// staying unavailable for another full duration after the outage, and against the next holder
/// counting the previous holder's validity from its own acquisition only.
#[test]
fn lease_of_a_crashed_holder_is_available_soon_after_an_outage() {
    const LONG_LEASE_DURATION: Duration = Duration::from_secs(4);
    run(async {
        let environment = TestEnvironment::start();
        let options = LeaseOptions { duration: LONG_LEASE_DURATION, ..LeaseOptions::default() };
        let candidate = |vm: &str| {
            let address = "127.0.0.1:1";
            LeaseCandidate::new(
                environment.store.clone(),
                "l",
                vm.to_owned(),
                address,
                options.clone(),
            )
        };
        let AcquireResult::Held(_crashed_holder) = candidate("a").try_acquire().await else {
            panic!("the lease is free")
        };
        let AcquireResult::HeldElsewhere(second_candidate, _) = candidate("b").try_acquire().await
        else {
            panic!("the lease is held");
        };
        let first_seen = Instant::now();
        environment.set_faults(json!({ "outage": "refuse" })).await;
        let AcquireResult::Failed(mut second_candidate, _) = second_candidate.try_acquire().await
        else {
            panic!("acquired in an outage");
        };
        monoio::time::sleep(LONG_LEASE_DURATION).await;
        environment.set_faults(json!({ "outage": "none" })).await;
        let outage_end = Instant::now();
        let held = loop {
            second_candidate = match second_candidate.try_acquire().await {
                AcquireResult::Held(held) => break held,
                AcquireResult::HeldElsewhere(candidate, _)
                | AcquireResult::Failed(candidate, _) => candidate,
            };
            monoio::time::sleep(LONG_LEASE_DURATION / 40).await;
        };
        let waited = outage_end.elapsed();
        assert!(
            waited >= LONG_LEASE_DURATION / 2,
            "no time for a live holder to renew: {waited:?}"
        );
        assert!(waited < LONG_LEASE_DURATION * 9 / 10, "{waited:?}");
        let previous_valid_until = held.previous_valid_until().expect("previous holder");
        assert!(previous_valid_until <= first_seen + LONG_LEASE_DURATION * 2 / 3);
    });
}

/// Guards against a changed duration that takes effect only after a restart, and against a lease
/// that is valid for longer than the duration that other candidates have read.
#[test]
fn a_changed_duration_applies_from_the_next_renewal() {
    run(async {
        let environment = TestEnvironment::start();
        let duration = Rc::new(Cell::new(LEASE_DURATION));
        let duration_setting = duration.clone();
        let candidate = environment
            .candidate("a")
            .with_duration_source(Rc::new(move || duration_setting.get()));
        let AcquireResult::Held(mut held) = candidate.try_acquire().await else {
            panic!("the lease is free")
        };
        let token = held.token();
        duration.set(LEASE_DURATION * 20);
        monoio::time::sleep(LEASE_DURATION * 3 / 4).await;
        assert!(!token.is_valid(), "valid for a duration that was never written");
        held.renew().await.expect("renewed");
        monoio::time::sleep(LEASE_DURATION).await;
        assert!(token.is_valid());
        duration.set(LEASE_DURATION);
        environment.set_faults(json!({ "outage": "refuse" })).await;
        assert!(held.renew().await.is_err());
        assert!(!token.is_valid(), "other candidates may have read the shorter duration");
        environment.set_faults(json!({ "outage": "none" })).await;
        held.renew().await.expect("renewed");
        let renewed = Instant::now();
        let second_lease = environment.acquire("b").await;
        assert!(!token.is_valid());
        let previous_valid_until = second_lease.previous_valid_until().expect("previous holder");
        assert!(
            previous_valid_until >= renewed + LEASE_DURATION * 2 / 3,
            "the first lease may still be valid"
        );
    });
}

/// Guards against a conditional write that overwrites a concurrent one.
#[test]
fn racing_writers_conflict() {
    run(async {
        let environment = TestEnvironment::start();
        let value = |n: u32| json!({ "schema": 1, "spec": { "n": n } });
        let put = |condition, n| {
            let store = environment.store.clone();
            async move { store.put("K", "x", condition, &value(n)).await }
        };
        let revision = put(Precondition::Absent, 1).await.expect("created");
        assert!(matches!(put(Precondition::Absent, 2).await, Err(StoreError::Conflict(_))));
        let new_revision = put(Precondition::Revision(revision), 3).await.expect("changed");
        let stale_write = put(Precondition::Revision(revision), 4).await;
        assert!(matches!(
            stale_write,
            Err(StoreError::Conflict(Some(current))) if current == new_revision
        ));
        let stored_object = environment.store.get("K", "x").await.expect("read").expect("object");
        assert_eq!(stored_object.value["spec"]["n"], 3);
    });
}
