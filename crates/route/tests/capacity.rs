//! Learned capacity of a target, one test per load pattern. Uses no network; time is simulated.

use std::time::{Duration, Instant};

use deck_route::{CapacityEstimator, Slowdown};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 8;

/// Target whose occupancy changes every 300 ms, while each unit of work takes `time_ms`.
struct Simulation {
    estimator: CapacityEstimator,
    now: Instant,
    rng: StdRng,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let estimator = CapacityEstimator::default();
        Self { estimator, now: Instant::now(), rng: StdRng::seed_from_u64(seed) }
    }

    /// Simulates `seconds` with occupancies of 1 to `max_occupancy`; `time_ms` returns the time of a
    /// unit of work from the occupancy and the seconds since the start of this simulation.
    fn run(&mut self, seconds: u32, max_occupancy: u32, time_ms: impl Fn(u32, f64) -> f64) {
        let start = self.now;
        let end = start + Duration::from_secs(u64::from(seconds));
        while self.now < end {
            let occupancy = self.rng.random_range(1..=max_occupancy);
            let until = self.now + Duration::from_millis(300);
            while self.now < until {
                let ms = time_ms(occupancy, (self.now - start).as_secs_f64());
                self.now += Duration::from_secs_f64(ms / 1000.0 / f64::from(occupancy));
                self.estimator.record(occupancy, ms, self.now);
            }
        }
    }

    fn slowdown(&self) -> Option<Slowdown> {
        self.estimator.slowdown(self.now)
    }
}

/// Returns the time of a unit of work on a target that takes three at once well.
fn saturated_at_three(occupancy: u32, _: f64) -> f64 {
    40.0 * (f64::from(occupancy) / 3.0).max(1.0)
}

/// Pattern: a target whose throughput stops to rise long before its slots are full. Guards against
/// an estimate that never finds it, and against one that is far off.
#[test]
fn knee_of_a_target_that_slows_long_before_it_is_full_is_found() {
    let mut simulation = Simulation::new(1);
    simulation.run(20, SLOTS, saturated_at_three);
    let slowdown = simulation.slowdown().expect("sensitive to its occupancy");
    assert!(matches!(slowdown.knee(), Some(3 | 4)), "{slowdown:?}");
    assert!((2.0..3.2).contains(&slowdown.factor(SLOTS)), "{slowdown:?}");
    assert!(slowdown.added_time(SLOTS - 1) > 2.0, "{slowdown:?}");
}

/// Pattern: neighbours slow a target to 2.5 times for a seventh of the time, at any occupancy, and
/// its own load by a twelfth. Guards against a knee that is only noise.
#[test]
fn noise_is_no_knee() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed);
        let mut noise = StdRng::seed_from_u64(100 + seed);
        let is_slow: Vec<bool> = (0..200).map(|_| noise.random_bool(0.15)).collect();
        for step in 0..12 {
            simulation.run(5, 6, |occupancy, at| {
                let window = (f64::from(step) * 5.0 + at) / 0.6;
                let neighbours = if is_slow[window as usize] { 2.5 } else { 1.0 };
                40.0 * neighbours * (1.0 + 0.024 * f64::from(occupancy - 1))
            });
            let knee = simulation.slowdown().and_then(|slowdown| slowdown.knee());
            assert_eq!(knee, None, "seed {seed}, after {} s", (step + 1) * 5);
        }
    }
}

/// Pattern: a target turns three times as slow at once, and back after 8 s, whatever its occupancy.
/// Guards against taking a change of its speed for an effect of its load.
#[test]
fn step_change_of_the_speed_is_no_knee() {
    for (max_occupancy, seed) in [(3, 1), (6, 2), (6, 3), (8, 4)] {
        let mut simulation = Simulation::new(seed);
        simulation.run(10, 6, |_, _| 40.0);
        for _ in 0..8 {
            simulation.run(1, max_occupancy, |_, _| 120.0);
            assert_eq!(simulation.slowdown(), None);
        }
        simulation.run(10, 6, |_, _| 40.0);
        assert_eq!(simulation.slowdown(), None);
    }
}

/// Pattern: a target slows to twice its time within a minute. Guards against taking drift for an
/// effect of its load, and against losing a knee by it.
#[test]
fn slow_drift_keeps_what_is_known_of_the_load() {
    let drift = |at: f64| 1.0 + at / 60.0;
    let mut simulation = Simulation::new(5);
    simulation.run(60, SLOTS, |_, at| 40.0 * drift(at));
    assert_eq!(simulation.slowdown(), None);
    let mut simulation = Simulation::new(5);
    simulation.run(60, SLOTS, |occupancy, at| saturated_at_three(occupancy, at) * drift(at));
    let knee = simulation.slowdown().and_then(|slowdown| slowdown.knee());
    assert!(matches!(knee, Some(3 | 4)), "{knee:?}");
}

/// Pattern: a target that was saturated at three takes all its slots well from some moment on, and
/// one that gets no work. Guards against an estimate that stays for ever.
#[test]
fn knee_that_has_gone_is_forgotten() {
    let mut simulation = Simulation::new(6);
    simulation.run(20, SLOTS, saturated_at_three);
    let later = simulation.now + Duration::from_secs(31);
    assert!(simulation.slowdown().is_some());
    assert_eq!(simulation.estimator.slowdown(later), None);
    simulation.run(20, SLOTS, |_, _| 40.0);
    assert_eq!(simulation.slowdown(), None);
}

/// Pattern: a new target, and one that has always had the same number of calls. Guards against a
/// decision without evidence.
#[test]
fn new_target_has_no_slowdown() {
    let mut simulation = Simulation::new(7);
    assert_eq!(simulation.slowdown(), None);
    simulation.run(1, 1, |_, _| 400.0);
    assert_eq!(simulation.slowdown(), None);
    simulation.run(30, 1, saturated_at_three);
    assert_eq!(simulation.slowdown(), None);
}

/// Guards against a report of another node that would make a target look faster under load, or that
/// is not a number.
#[test]
fn invalid_report_is_ignored() {
    let mut simulation = Simulation::new(8);
    simulation.run(20, SLOTS, saturated_at_three);
    let slowdown = simulation.slowdown().expect("sensitive to its occupancy");
    let reported = Slowdown::from_report(slowdown.factors(), slowdown.knee());
    assert_eq!(reported, Some(slowdown));
    let changed = |index: usize, factor: f64| {
        let mut factors = slowdown.factors().to_vec();
        factors[index] = factor;
        Slowdown::from_report(&factors, None)
    };
    assert_eq!(changed(0, 0.5), None);
    assert_eq!(changed(4, f64::NAN), None);
    assert_eq!(changed(15, 1.0), None);
    assert_eq!(changed(15, f64::INFINITY), None);
    assert_eq!(Slowdown::from_report(&[], None), None);
    assert_eq!(Slowdown::from_report(slowdown.factors(), Some(0)), None);
}
