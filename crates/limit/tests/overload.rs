//! Admission under overload, in virtual time.

mod common;

use std::time::{Duration, Instant};

use common::{POOL, admission};
use deck_core::{error::ErrorKind, priority::Priority};
use deck_limit::{AdmitRequest, Permit};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 20;
const DEADLINE: Duration = Duration::from_secs(1);

struct Running {
    end: Instant,
    deadline: Instant,
    organisation: usize,
    permit: Permit,
}

#[derive(Default)]
struct Outcome {
    in_time: [u32; 2],
    late: u32,
    refused: u32,
}

/// Offers calls of 200 ms at `load` times the capacity for 60 s; the first organisation sends
/// `first_part` of them. Calls that share the pool with more than its slots run slower.
fn offer(load: f64, first_part: f64) -> Outcome {
    let admission = admission("vm", SLOTS, &[("a", 70), ("b", 30)]);
    let mut rng = StdRng::seed_from_u64(7);
    let start = Instant::now();
    let step = Duration::from_millis(1);
    let per_step = load * f64::from(SLOTS) / 200.0;
    let mut running: Vec<Running> = Vec::new();
    let mut outcome = Outcome::default();
    let mut now = start;
    while now < start + Duration::from_secs(60) {
        now += step;
        for index in (0..running.len()).rev() {
            if running[index].end <= now {
                let Running { end, deadline, organisation, permit } = running.swap_remove(index);
                permit.release(end);
                outcome.in_time[organisation] += u32::from(end <= deadline);
                outcome.late += u32::from(end > deadline);
            }
        }
        if !rng.random_bool(per_step.min(1.0)) {
            continue;
        }
        let organisation = usize::from(!rng.random_bool(first_part));
        let request = AdmitRequest {
            pool: POOL,
            organisation: ["a", "b"][organisation],
            cost_tokens: 20,
            priority: Priority::Interactive,
            deadline: now + DEADLINE,
            now,
        };
        match admission.admit(&request) {
            Ok(permit) => {
                let crowding = (running.len() as f64 / f64::from(SLOTS)).max(1.0);
                let hold = Duration::from_millis(200).mul_f64(crowding);
                let deadline = now + DEADLINE;
                running.push(Running { end: now + hold, deadline, organisation, permit });
            }
            Err(error) => {
                assert!(matches!(error.kind, ErrorKind::ShareExhausted));
                assert!(error.retry_after.is_some());
                outcome.refused += 1;
            }
        }
    }
    outcome
}

/// Guards against overload lowering the number of calls that are answered in time: at twice the
/// capacity it stays near the number at full load, and no admitted call is late.
#[test]
fn goodput_at_twice_the_capacity_stays_near_its_peak() {
    let peak = offer(1.0, 0.5).in_time.iter().sum::<u32>();
    let twice = offer(2.0, 0.5);
    let in_time = twice.in_time.iter().sum::<u32>();
    assert!(f64::from(in_time) >= 0.95 * f64::from(peak), "{in_time} of {peak}");
    assert_eq!(twice.late, 0);
    assert!(twice.refused > 0);
}

/// Guards against the organisation that sends more calls getting more than its share while the
/// other one needs all of its own.
#[test]
fn shares_hold_at_twice_the_capacity() {
    for first_part in [0.4, 0.5, 0.6] {
        let [a, b] = offer(2.0, first_part).in_time.map(f64::from);
        let part = a / (a + b);
        assert!((0.65..=0.75).contains(&part), "{part:.3} with {first_part} of the calls");
    }
}
