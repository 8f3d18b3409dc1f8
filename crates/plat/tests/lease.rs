//! Leases and conditional writes against the object API stand-in.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_net::{Client, http::Method};
use deck_plat::{
    Acquire, HeldLease, Kept, LeaseCandidate, LeaseOptions, Precondition, Store, StoreError,
};
use deck_testkit::{Process, eventually};
use serde_json::{Value, json};

const DURATION: Duration = Duration::from_millis(900);

struct World {
    _objects: Process,
    address: SocketAddr,
    store: Store,
}

impl World {
    fn start() -> Self {
        let arguments = ["objects", "--listen", "127.0.0.1:0"];
        let mut objects = Process::start("objects", "deckstandin", &arguments, None);
        let address = objects.address("http");
        let store = Store::new(Client::default(), address, Duration::from_secs(2));
        Self { _objects: objects, address, store }
    }

    async fn faults(&self, faults: Value) {
        let (status, _) = Client::default()
            .json::<_, Value>(Method::POST, self.address, "/admin/faults", Some(&faults))
            .await
            .expect("stand-in");
        assert!(status.is_success(), "{faults}");
    }

    fn candidate(&self, vm: &str) -> LeaseCandidate {
        let options = LeaseOptions { duration: DURATION, ..LeaseOptions::default() };
        LeaseCandidate::new(self.store.clone(), "l", vm.to_owned(), "127.0.0.1:1", options)
    }

    async fn acquire(&self, vm: &str) -> HeldLease {
        let mut candidate = self.candidate(vm);
        let deadline = Instant::now() + deck_testkit::EVENT_DEADLINE;
        while Instant::now() < deadline {
            candidate = match candidate.try_acquire().await {
                Acquire::Held(held) => return held,
                Acquire::HeldElsewhere(candidate, _) | Acquire::Failed(candidate, _) => candidate,
            };
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{vm} does not acquire the lease");
    }
}

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against two holders, and against a fencing number that is used twice.
#[test]
fn a_lapsed_lease_is_taken_over_with_a_higher_fencing_number() {
    run(async {
        let world = World::start();
        let mut first = world.acquire("a").await;
        let early = world.candidate("b").try_acquire().await;
        assert!(matches!(early, Acquire::HeldElsewhere(_, record) if record.holder == "a"));
        let second = world.acquire("b").await;
        assert!(!first.is_valid(), "the first holder still acts after the take-over");
        assert_eq!(second.fencing(), first.fencing() + 1);
        assert!(matches!(first.renew().await, Err(StoreError::Conflict(_))));
    });
}

/// Guards against a planned stop after which the lease stays blocked for its duration.
#[test]
fn a_released_lease_is_free_at_once() {
    run(async {
        let world = World::start();
        let held = world.acquire("a").await;
        let token = held.token();
        let stop = CancellationToken::new();
        stop.cancel();
        assert!(matches!(held.keep(stop).await, Kept::Released));
        assert!(!token.is_valid());
        let taken = world.candidate("b").try_acquire().await;
        assert!(matches!(taken, Acquire::Held(held) if held.fencing() == token.fencing() + 1));
    });
}

/// Guards against a holder that gives up, or acts under two numbers, after a lost response.
#[test]
fn lost_responses_are_resolved() {
    run(async {
        let world = World::start();
        world.faults(json!({ "lose_responses": 1 })).await;
        let mut held = world.acquire("a").await;
        assert_eq!(held.fencing(), 1);
        world.faults(json!({ "lose_responses": 1 })).await;
        held.renew().await.expect("renewed");
        held.renew().await.expect("the revision after the lost response is known");
    });
}

/// Guards against candidates that take all leases over when an outage ends.
#[test]
fn an_outage_does_not_count_as_missed_renewals() {
    run(async {
        let world = World::start();
        let held = world.acquire("a").await;
        let token = held.token();
        let stop = CancellationToken::new();
        let keeper = monoio::spawn(held.keep(stop.clone()));
        let Acquire::HeldElsewhere(mut candidate, _) = world.candidate("b").try_acquire().await
        else {
            panic!("the lease is held");
        };
        world.faults(json!({ "outage": "refuse" })).await;
        let outage = Instant::now();
        while outage.elapsed() < DURATION * 2 {
            candidate = match candidate.try_acquire().await {
                Acquire::Failed(candidate, _) => candidate,
                _ => panic!("acquired in an outage"),
            };
            monoio::time::sleep(DURATION / 9).await;
        }
        assert!(!token.is_valid(), "the holder acts although it could not renew");
        world.faults(json!({ "outage": "none" })).await;
        let after = candidate.try_acquire().await;
        assert!(matches!(after, Acquire::HeldElsewhere(..)), "taken over at once");
        eventually("the holder renews", async || token.is_valid()).await;
        stop.cancel();
        assert!(matches!(keeper.await, Kept::Released));
    });
}

/// Pattern: the holder is lost at the beginning of an outage. Guards against a lease that stays blocked
/// for its whole duration once more when the outage ends, and against a wait of the next holder that
/// counts from its own acquisition only.
#[test]
fn lease_of_a_lost_holder_is_free_soon_after_an_outage() {
    const LONG: Duration = Duration::from_secs(4);
    run(async {
        let world = World::start();
        let options = LeaseOptions { duration: LONG, ..LeaseOptions::default() };
        let candidate = |vm: &str| {
            let address = "127.0.0.1:1";
            LeaseCandidate::new(world.store.clone(), "l", vm.to_owned(), address, options.clone())
        };
        let Acquire::Held(_lost) = candidate("a").try_acquire().await else {
            panic!("the lease is free")
        };
        let Acquire::HeldElsewhere(second, _) = candidate("b").try_acquire().await else {
            panic!("the lease is held");
        };
        let seen = Instant::now();
        world.faults(json!({ "outage": "refuse" })).await;
        let Acquire::Failed(mut second, _) = second.try_acquire().await else {
            panic!("acquired in an outage");
        };
        monoio::time::sleep(LONG).await;
        world.faults(json!({ "outage": "none" })).await;
        let outage_end = Instant::now();
        let held = loop {
            second = match second.try_acquire().await {
                Acquire::Held(held) => break held,
                Acquire::HeldElsewhere(candidate, _) | Acquire::Failed(candidate, _) => candidate,
            };
            monoio::time::sleep(LONG / 40).await;
        };
        let waited = outage_end.elapsed();
        assert!(waited >= LONG / 2, "no time for a live holder to renew: {waited:?}");
        assert!(waited < LONG * 9 / 10, "{waited:?}");
        let acts_until = held.previous_acts_until().expect("a holder before it");
        assert!(acts_until <= seen + LONG * 2 / 3);
    });
}

/// Guards against a changed duration that holds only after a restart, and against a holder that acts
/// for longer than the duration that the others know.
#[test]
fn a_changed_duration_holds_from_the_next_renewal_on() {
    run(async {
        let world = World::start();
        let duration = Rc::new(Cell::new(DURATION));
        let setting = duration.clone();
        let candidate = world.candidate("a").with_duration(Rc::new(move || setting.get()));
        let Acquire::Held(mut held) = candidate.try_acquire().await else {
            panic!("the lease is free")
        };
        let token = held.token();
        duration.set(DURATION * 20);
        monoio::time::sleep(DURATION * 3 / 4).await;
        assert!(!token.is_valid(), "acts under a duration that nobody else knows");
        held.renew().await.expect("renewed");
        monoio::time::sleep(DURATION).await;
        assert!(token.is_valid());
        duration.set(DURATION);
        world.faults(json!({ "outage": "refuse" })).await;
        assert!(held.renew().await.is_err());
        assert!(!token.is_valid(), "others may know the shorter duration already");
        world.faults(json!({ "outage": "none" })).await;
        held.renew().await.expect("renewed");
        let renewed = Instant::now();
        let second = world.acquire("b").await;
        assert!(!token.is_valid());
        let acts_until = second.previous_acts_until().expect("a holder before it");
        assert!(acts_until >= renewed + DURATION * 2 / 3, "the first holder may still act");
    });
}

/// Guards against a conditional write that overwrites another one.
#[test]
fn racing_writers_conflict() {
    run(async {
        let world = World::start();
        let value = |n: u32| json!({ "schema": 1, "spec": { "n": n } });
        let put = |condition, n| {
            let store = world.store.clone();
            async move { store.put("K", "x", condition, &value(n)).await }
        };
        let revision = put(Precondition::Absent, 1).await.expect("created");
        assert!(matches!(put(Precondition::Absent, 2).await, Err(StoreError::Conflict(_))));
        let newer = put(Precondition::Revision(revision), 3).await.expect("changed");
        let late = put(Precondition::Revision(revision), 4).await;
        assert!(matches!(late, Err(StoreError::Conflict(Some(current))) if current == newer));
        let stored = world.store.get("K", "x").await.expect("read").expect("object");
        assert_eq!(stored.value["spec"]["n"], 3);
    });
}
