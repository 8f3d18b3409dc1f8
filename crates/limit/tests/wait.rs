//! Calls that wait for a slot.

mod common;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{admission, fill, request};
use deck_core::{error::ErrorKind, priority::Priority};
use deck_limit::AdmissionOutcome;

/// Guards against a queued call that is not woken when a slot becomes free.
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

/// Guards against a call that waits beyond its deadline, and against losing a slot to a call that no
/// longer waits.
#[test]
fn wait_ends_with_the_deadline() {
    deck_net::runtime::run(async {
        let admission = admission("vm", 1, &[("a", 100)]);
        let now = Instant::now();
        let permit = admission.admit(&request("a", Priority::Batch, now)).unwrap();
        let mut short_deadline = request("a", Priority::Batch, now);
        short_deadline.deadline = now + Duration::from_millis(600);
        let error = admission.admit_wait(&short_deadline).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::DeadlineBeforeRun);
        drop(permit);
        assert!(admission.admit(&request("a", Priority::Batch, Instant::now())).is_ok());
    })
    .unwrap();
}

/// Guards against a queue that assigns free slots by order of arrival instead of by share.
#[test]
fn waiting_calls_are_admitted_by_share() {
    let admission = admission("vm", 40, &[("a", 75), ("b", 25)]);
    let simulation_start = Instant::now();
    let admitted_order = Rc::new(RefCell::new(Vec::new()));
    let mut running = fill(&admission, "b", Priority::Batch, simulation_start);
    assert_eq!(running.len(), 40);
    let mut queued = Vec::new();
    let mut now = simulation_start;
    let mut admitted_counts = [0_usize; 2];
    for step in 0..2000 {
        now += Duration::from_millis(10);
        for (index, name) in ["a", "b"].into_iter().enumerate() {
            match admission.admit_or_queue(&request(name, Priority::Batch, now)) {
                Ok(AdmissionOutcome::Admitted(permit)) => running.push(permit),
                Ok(AdmissionOutcome::Queued(call)) => queued.push((index, call)),
                Err(_) => {}
            }
        }
        if running.len() >= 40 {
            running.remove(0).release(now);
        }
        queued.retain_mut(|(index, call)| match call.try_permit() {
            Some(permit) => {
                running.push(permit);
                admitted_order.borrow_mut().push(*index);
                admitted_counts[*index] += usize::from(step > 500);
                false
            }
            None => true,
        });
    }
    let fraction = admitted_counts[0] as f64 / (admitted_counts[0] + admitted_counts[1]) as f64;
    assert!((0.70..=0.80).contains(&fraction), "{admitted_counts:?}");
}
