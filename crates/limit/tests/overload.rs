//! Admission control under overload, simulated in virtual time.

mod common;

use std::time::{Duration, Instant};

use common::{POOL, admission};
use deck_core::{error::ErrorKind, priority::Priority};
use deck_limit::{AdmitRequest, Permit};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 20;
const DEADLINE: Duration = Duration::from_secs(1);

/// Admitted call of the simulation.
struct RunningCall {
    ends_at: Instant,
    deadline: Instant,
    /// 0 for organisation `a`, 1 for `b`.
    organisation: usize,
    permit: Permit,
}

#[derive(Default)]
struct CallCounts {
    /// Calls that ended before their deadline, by organisation.
    calls_in_time: [u32; 2],
    late_calls: u32,
    refused_calls: u32,
}

/// Simulates calls of 200 ms at `load` times the capacity for 60 s. The first organisation sends the
/// given fraction of them. Calls run slower while more calls run than the pool has slots.
fn simulate_load(load: f64, first_organisation_fraction: f64) -> CallCounts {
    let admission = admission("vm", SLOTS, &[("a", 70), ("b", 30)]);
    let mut rng = StdRng::seed_from_u64(7);
    let simulation_start = Instant::now();
    let step = Duration::from_millis(1);
    let arrivals_per_step = load * f64::from(SLOTS) / 200.0;
    let mut running: Vec<RunningCall> = Vec::new();
    let mut counts = CallCounts::default();
    let mut now = simulation_start;
    while now < simulation_start + Duration::from_secs(60) {
        now += step;
        for index in (0..running.len()).rev() {
            if running[index].ends_at <= now {
                let RunningCall { ends_at, deadline, organisation, permit } =
                    running.swap_remove(index);
                permit.release(ends_at);
                counts.calls_in_time[organisation] += u32::from(ends_at <= deadline);
                counts.late_calls += u32::from(ends_at > deadline);
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
                running.push(RunningCall {
                    ends_at: now + run_time,
                    deadline,
                    organisation,
                    permit,
                });
            }
            Err(error) => {
                assert!(matches!(error.kind, ErrorKind::ShareExhausted));
                assert!(error.retry_after.is_some());
                counts.refused_calls += 1;
            }
        }
    }
    counts
}

/// Guards against overload that reduces goodput: at twice the capacity, nearly as many calls finish in
/// time as at full load, and no admitted call is late.
#[test]
fn goodput_at_twice_the_capacity_stays_near_its_peak() {
    let peak = simulate_load(1.0, 0.5).calls_in_time.iter().sum::<u32>();
    let overloaded = simulate_load(2.0, 0.5);
    let calls_in_time = overloaded.calls_in_time.iter().sum::<u32>();
    assert!(f64::from(calls_in_time) >= 0.95 * f64::from(peak), "{calls_in_time} of {peak}");
    assert_eq!(overloaded.late_calls, 0);
    assert!(overloaded.refused_calls > 0);
}

/// Guards against an organisation that exceeds its share by sending more calls while the other one
/// needs its whole share.
#[test]
fn shares_hold_at_twice_the_capacity() {
    for first_organisation_fraction in [0.4, 0.5, 0.6] {
        let [a, b] = simulate_load(2.0, first_organisation_fraction).calls_in_time.map(f64::from);
        let share = a / (a + b);
        assert!(
            (0.65..=0.75).contains(&share),
            "{share:.3} of the calls in time with {first_organisation_fraction} of the calls"
        );
    }
}
