//! Admission control under overload, simulated in virtual time.

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
struct LoadResult {
    in_time: [u32; 2],
    late: u32,
    refused: u32,
}

/// Simulates calls of 200 ms at `load` times the capacity for 60 s. The first organisation sends the
/// given fraction of them. Calls run slower while more calls run than the pool has slots.
fn simulate_load(load: f64, first_organisation_fraction: f64) -> LoadResult {
    let admission = admission("vm", SLOTS, &[("a", 70), ("b", 30)]);
    let mut rng = StdRng::seed_from_u64(7);
    let start = Instant::now();
    let step = Duration::from_millis(1);
    let arrivals_per_step = load * f64::from(SLOTS) / 200.0;
    let mut running: Vec<Running> = Vec::new();
    let mut result = LoadResult::default();
    let mut now = start;
    while now < start + Duration::from_secs(60) {
        now += step;
        for index in (0..running.len()).rev() {
            if running[index].end <= now {
                let Running { end, deadline, organisation, permit } = running.swap_remove(index);
                permit.release(end);
                result.in_time[organisation] += u32::from(end <= deadline);
                result.late += u32::from(end > deadline);
            }
        }
        if !rng.random_bool(arrivals_per_step.min(1.0)) {
            continue;
        }
        let organisation = usize::from(!rng.random_bool(first_organisation_fraction));
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
                let slowdown = (running.len() as f64 / f64::from(SLOTS)).max(1.0);
                let run_time = Duration::from_millis(200).mul_f64(slowdown);
                let deadline = now + DEADLINE;
                running.push(Running { end: now + run_time, deadline, organisation, permit });
            }
            Err(error) => {
                assert!(matches!(error.kind, ErrorKind::ShareExhausted));
                assert!(error.retry_after.is_some());
                result.refused += 1;
            }
        }
    }
    result
}

/// Guards against overload that reduces goodput: at twice the capacity, nearly as many calls finish in
/// time as at full load, and no admitted call is late.
#[test]
fn goodput_at_twice_the_capacity_stays_near_its_peak() {
    let peak = simulate_load(1.0, 0.5).in_time.iter().sum::<u32>();
    let overloaded = simulate_load(2.0, 0.5);
    let in_time = overloaded.in_time.iter().sum::<u32>();
    assert!(f64::from(in_time) >= 0.95 * f64::from(peak), "{in_time} of {peak}");
    assert_eq!(overloaded.late, 0);
    assert!(overloaded.refused > 0);
}

/// Guards against an organisation that exceeds its share by sending more calls while the other one
/// needs its whole share.
#[test]
fn shares_hold_at_twice_the_capacity() {
    for first_organisation_fraction in [0.4, 0.5, 0.6] {
        let [a, b] = simulate_load(2.0, first_organisation_fraction).in_time.map(f64::from);
        let share = a / (a + b);
        assert!(
            (0.65..=0.75).contains(&share),
            "{share:.3} of the calls in time with {first_organisation_fraction} of the calls"
        );
    }
}
