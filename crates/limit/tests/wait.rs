//! Waiting for a slot.

mod common;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{admission, fill, request};
use deck_core::{error::ErrorKind, priority::Priority};
use deck_limit::Admitted;

/// Guards against a waiting call not being woken when a slot becomes free.
#[test]
fn freed_slot_wakes_a_waiting_call() {
    deck_net::runtime::run(async {
        let admission = admission("vm", 1, &[("a", 100)]);
        let now = Instant::now();
        let permit = admission.admit(&request("a", Priority::Batch, now)).unwrap();
        monoio::spawn(async move {
            monoio::time::sleep(Duration::from_millis(20)).await;
            drop(permit);
        });
        assert!(admission.admit_wait(&request("a", Priority::Batch, now)).await.is_ok());
    })
    .unwrap();
}

/// Guards against a call waiting beyond its deadline, and against a slot being lost to a call that
/// no longer waits.
#[test]
fn wait_ends_with_the_deadline() {
    deck_net::runtime::run(async {
        let admission = admission("vm", 1, &[("a", 100)]);
        let now = Instant::now();
        let permit = admission.admit(&request("a", Priority::Batch, now)).unwrap();
        let mut short = request("a", Priority::Batch, now);
        short.deadline = now + Duration::from_millis(600);
        let error = admission.admit_wait(&short).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::DeadlineBeforeRun);
        drop(permit);
        assert!(admission.admit(&request("a", Priority::Batch, Instant::now())).is_ok());
    })
    .unwrap();
}

/// Guards against the queue giving freed slots by arrival instead of by share.
#[test]
fn waiting_calls_are_admitted_by_share() {
    let admission = admission("vm", 40, &[("a", 75), ("b", 25)]);
    let start = Instant::now();
    let order = Rc::new(RefCell::new(Vec::new()));
    let mut running = fill(&admission, "b", Priority::Batch, start);
    assert_eq!(running.len(), 40);
    let mut waiting = Vec::new();
    let mut now = start;
    let mut used = [0_usize; 2];
    for step in 0..2000 {
        now += Duration::from_millis(10);
        for (number, name) in ["a", "b"].into_iter().enumerate() {
            match admission.admit_or_queue(&request(name, Priority::Batch, now)) {
                Ok(Admitted::Now(permit)) => running.push(permit),
                Ok(Admitted::Waiting(wait)) => waiting.push((number, wait)),
                Err(_) => {}
            }
        }
        if running.len() >= 40 {
            running.remove(0).release(now);
        }
        waiting.retain_mut(|(number, wait)| match wait.try_take() {
            Some(permit) => {
                running.push(permit);
                order.borrow_mut().push(*number);
                used[*number] += usize::from(step > 500);
                false
            }
            None => true,
        });
    }
    let part = used[0] as f64 / (used[0] + used[1]) as f64;
    assert!((0.70..=0.80).contains(&part), "{used:?}");
}
