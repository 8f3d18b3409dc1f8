//! Figures that the program prints.

use std::{
    fmt::Display,
    hint::black_box,
    time::{Duration, Instant},
};

use deck_core::priority::Priority;
use deck_limit::{AdmitRequest, BudgetOptions, HedgeBudget, RetryBudget};
use deck_route::{PickRequest, RouteMember, Router, RouterOptions};
use hdrhistogram::Histogram;

use crate::{
    model::{Hedging, Job, Results, Run, Setup, capacity_calls_per_s},
    policy::{Choice, LONG_TOKENS, POOL, Policy, SHORT_TOKENS, Workload, jobs, pool},
};

/// A deployment.
pub struct Size {
    pub name: &'static str,
    targets: usize,
    vms: usize,
    data_centres: usize,
    remote_s: f64,
    duration_s: f64,
    step_s: f64,
}

/// The deployments of section 1: what runs today, then the design size.
pub const SIZES: &[Size] = &[
    Size {
        name: "jonotuoli",
        targets: 10,
        vms: 7,
        data_centres: 4,
        remote_s: 0.002,
        duration_s: 300.0,
        step_s: 0.002,
    },
    Size {
        name: "vitosha",
        targets: 8,
        vms: 8,
        data_centres: 3,
        remote_s: 0.001,
        duration_s: 300.0,
        step_s: 0.002,
    },
    Size {
        name: "design",
        targets: 4200,
        vms: 330,
        data_centres: 8,
        remote_s: 0.002,
        duration_s: 40.0,
        step_s: 0.01,
    },
];

/// Part of rollouts in the calls, from the peak of section 1: 1.7 million tokens/s in 3,600
/// requests/s are 472 tokens a request.
const LONG_PART: f64 = (472.0 - SHORT_TOKENS) / (LONG_TOKENS - SHORT_TOKENS);
const SLOTS: u32 = 8;

impl Size {
    fn setup(&self, slowed_targets: usize, seed: u64) -> Setup {
        Setup {
            targets: self.targets,
            vms: self.vms,
            data_centres: self.data_centres,
            slots: SLOTS,
            duration_s: self.duration_s,
            step_s: self.step_s,
            remote_s: self.remote_s,
            slowed_targets,
            slow_factor: 8.0,
            seed,
        }
    }
}

fn workload(setup: &Setup, load: f64) -> Workload {
    Workload {
        calls_per_s: load * capacity_calls_per_s(setup, 472.0),
        long_part: LONG_PART,
        short_deadline_s: 2.0,
        first_organisation_part: 0.5,
        rollout_vms: setup.vms.div_ceil(4),
    }
}

/// Prints one figure.
fn print(name: impl Display, value: f64, unit: &str, baseline: Option<(&str, f64)>, bound: &str) {
    let (baseline, ratio) = match baseline {
        Some((name, base)) => (format!("{name} {base:.4}"), format!("{:.3}", value / base)),
        None => ("-".to_owned(), "-".to_owned()),
    };
    println!("{name} | {value:.4} | {unit} | {baseline} | {ratio} | {bound}");
}

/// Prints a figure of the chosen policy against both baselines.
fn compare(name: impl Display, values: &[f64; 3], unit: &str, bound: &str) {
    for (baseline, value) in Choice::ALL.iter().zip(values).skip(1) {
        print(&name, values[0], unit, Some((baseline.name(), *value)), bound);
    }
}

/// Runs of the same setup with different seeds whose calls are counted together. One run of a small
/// deployment has too few calls for a p99.9.
const SEEDS: u64 = 5;

/// Calls of one policy.
struct Pooled {
    short_wait: Histogram<u64>,
    short_total: Histogram<u64>,
    rollout_total: Histogram<u64>,
}

impl Pooled {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("3 digits are supported");
        Self { short_wait: histogram(), short_total: histogram(), rollout_total: histogram() }
    }

    /// Adds the calls after a warm-up of a tenth of the run.
    fn add(&mut self, setup: &Setup, jobs: &[Job], results: &Results) {
        let record = |histogram: &mut Histogram<u64>, time_s: f64| {
            histogram.record((time_s * 1e6) as u64).expect("the histogram grows");
        };
        for ended in &results.ended {
            let job = &jobs[ended.job];
            if job.arrival_s <= setup.duration_s / 10.0 {
                continue;
            }
            if job.priority == Priority::Rollout {
                record(&mut self.rollout_total, ended.total_s);
            } else {
                record(&mut self.short_wait, ended.first_byte_s);
                record(&mut self.short_total, ended.total_s);
            }
        }
    }
}

fn quantiles_ms(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.99, 0.999].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1e3)
}

/// Runs all policies on the same workloads.
fn run_all(size: &Size, slowed_targets: usize, load: f64, seed: u64) -> [Pooled; 3] {
    let mut pooled = std::array::from_fn(|_| Pooled::new());
    for seed in seed * SEEDS..(seed + 1) * SEEDS {
        let setup = size.setup(slowed_targets, seed);
        let jobs = jobs(&setup, &workload(&setup, load));
        for (choice, pooled) in Choice::ALL.into_iter().zip(&mut pooled) {
            let results = Run::new(&setup, &jobs, Policy::new(choice, &setup, None), None).run();
            pooled.add(&setup, &jobs, &results);
        }
        if size.name == "design" {
            break;
        }
    }
    pooled
}

/// Prints quantiles of one histogram of all policies.
fn compare_quantiles(
    name: &str,
    pooled: &[Pooled; 3],
    histogram: impl Fn(&Pooled) -> &Histogram<u64>,
    bound: &str,
) {
    let rows = pooled.each_ref().map(|pooled| quantiles_ms(histogram(pooled)));
    for (index, quantile) in ["p50", "p99", "p99.9"].iter().enumerate() {
        compare(format!("{name}_{quantile}"), &rows.map(|row| row[index]), "ms", bound);
    }
}

const NO_BOUND: &str = "none stated";

/// Wait of interactive calls for their first token while rollouts keep the targets busy.
pub fn head_of_line(size: &Size, seed: u64) {
    for load in [0.6, 0.75] {
        let pooled = run_all(size, 0, load, seed);
        let name = format!("{}.head_of_line_load{load}", size.name);
        compare_quantiles(&format!("{name}.short_wait"), &pooled, |p| &p.short_wait, NO_BOUND);
        let bound = "240000 (section 1: all samples of a step within 4 minutes)";
        compare_quantiles(&format!("{name}.rollout_total"), &pooled, |p| &p.rollout_total, bound);
        let done = pooled.each_ref().map(|pooled| pooled.rollout_total.len() as f64);
        compare(format!("{name}.rollouts_done"), &done, "calls", NO_BOUND);
    }
}

/// Latency of interactive calls while a fifth of the targets has moments of slowness.
pub fn slowed_targets(size: &Size, seed: u64) {
    let pooled = run_all(size, size.targets / 5, 0.5, seed);
    let name = format!("{}.slowed_targets.short_total", size.name);
    compare_quantiles(&name, &pooled, |p| &p.short_total, NO_BOUND);
}

/// Tokens per second of calls that ended before their deadline.
fn goodput(setup: &Setup, jobs: &[Job], results: &Results) -> f64 {
    let in_time = results.ended.iter().filter(|ended| ended.in_time);
    in_time.map(|ended| f64::from(jobs[ended.job].tokens)).sum::<f64>() / setup.duration_s
}

fn short_in_time(jobs: &[Job], results: &Results) -> f64 {
    let short = |job: usize| jobs[job].priority == Priority::Interactive;
    let in_time = results.ended.iter().filter(|ended| ended.in_time && short(ended.job));
    in_time.count() as f64
}

/// Goodput at twice the capacity in comparison with the best goodput at lower loads.
pub fn overload(size: &Size, seed: u64) {
    let setup = size.setup(0, seed);
    let run = |choice, load| {
        let jobs = jobs(&setup, &workload(&setup, load));
        let shares = (choice == Choice::Chosen).then_some([50, 50]);
        let results = Run::new(&setup, &jobs, Policy::new(choice, &setup, shares), None).run();
        (goodput(&setup, &jobs, &results), short_in_time(&jobs, &results))
    };
    let best = |choice| {
        let loads = [0.6, 0.8, 1.0].into_iter().map(|load| run(choice, load));
        loads.fold((0.0, 0.0), |a: (f64, f64), b| (a.0.max(b.0), a.1.max(b.1)))
    };
    let peaks = Choice::ALL.map(best);
    let twice = Choice::ALL.map(|choice| run(choice, 2.0));
    let values: [f64; 3] = std::array::from_fn(|i| twice[i].0 / peaks[i].0);
    let name = format!("{}.overload_twice", size.name);
    compare(format!("{name}.goodput_of_own_peak"), &values, "ratio", NO_BOUND);
    compare(format!("{name}.goodput"), &twice.map(|t| t.0), "tokens/s", NO_BOUND);
    compare(format!("{name}.short_calls_in_time"), &twice.map(|t| t.1), "calls", NO_BOUND);
}

/// Error of the slot time of organisations with shares of 70% and 30% that offer 50% each of twice
/// the capacity.
pub fn shares(size: &Size, seed: u64) {
    let setup = size.setup(0, seed);
    let jobs = jobs(&setup, &workload(&setup, 2.0));
    let error = |shares| {
        let policy = Policy::new(Choice::Chosen, &setup, shares);
        let results = Run::new(&setup, &jobs, policy, None).run();
        let sum: f64 = results.slot_s.iter().sum();
        results.slot_s.map(|slot_s| slot_s / sum * 100.0)
    };
    let (with, without) = (error(Some([70, 30])), error(None));
    for (organisation, promised) in [70.0, 30.0].into_iter().enumerate() {
        let name = format!("{}.share_error.organisation{promised}", size.name);
        let base = ("no_shares", f64::abs(without[organisation] - promised));
        let value = f64::abs(with[organisation] - promised);
        print(name, value, "percentage points", Some(base), NO_BOUND);
    }
}

/// Interactive latency with and without staged duplicates, a fifth of the targets slowed.
pub fn hedging(size: &Size, seed: u64) {
    for (load, delay_s) in [(0.5, 0.1), (0.5, 0.3), (0.75, 0.1)] {
        let mut with = Pooled::new();
        let mut without = Pooled::new();
        let (mut hedges, mut attempts) = (0, 0);
        for seed in seed * SEEDS..(seed + 1) * SEEDS {
            let setup = size.setup(size.targets / 5, seed);
            let jobs = jobs(&setup, &workload(&setup, load));
            let run = |hedging| {
                let policy = Policy::new(Choice::Chosen, &setup, None);
                Run::new(&setup, &jobs, policy, hedging).run()
            };
            let budget = HedgeBudget::new(BudgetOptions::hedge(), unlimited_retries());
            without.add(&setup, &jobs, &run(None));
            let results = run(Some(Hedging { delay_s, budget }));
            with.add(&setup, &jobs, &results);
            hedges += results.hedges;
            attempts += results.attempts;
        }
        let [with, without] = [with, without].map(|pooled| quantiles_ms(&pooled.short_total));
        let name = format!("{}.hedging_load{load}_delay{:.0}ms", size.name, delay_s * 1e3);
        for (index, quantile) in ["p50", "p99", "p99.9"].iter().enumerate() {
            let base = Some(("no_hedging", without[index]));
            print(format!("{name}.short_total_{quantile}"), with[index], "ms", base, NO_BOUND);
        }
        let extra = attempts as f64 / (attempts - hedges) as f64;
        let bound = "1.1 (section 5: at most 1.1 times the load)";
        print(
            format!("{name}.attempts_per_call"),
            extra,
            "ratio",
            Some(("no_hedging", 1.0)),
            bound,
        );
    }
}

/// Returns a retry budget that leaves the bound to the hedging budget.
fn unlimited_retries() -> RetryBudget {
    let plenty = BudgetOptions { reserve_attempts: 1e9, ..BudgetOptions::default() };
    RetryBudget::new(BudgetOptions { max_balance_attempts: 1e9, ..plenty })
}

/// Attempts per call while a pool fails a part of its calls.
pub fn retries() {
    for failing_percent in [10, 50, 100] {
        let budget = RetryBudget::new(BudgetOptions::default());
        let calls = 100_000_u32;
        let (mut with, mut without) = (0_u32, 0_u32);
        for call in 0..calls {
            budget.record_call(POOL, "a");
            // Each attempt fails by a fixed pattern; a caller tries up to four times.
            let fails = |attempt: u32| (call * 7 + attempt * 13) % 100 < failing_percent;
            let tries = (0..4).find(|attempt| !fails(*attempt)).map_or(4, |attempt| attempt + 1);
            without += tries;
            with += 1;
            for _ in 1..tries {
                if !budget.try_take_retry(POOL, "a") {
                    break;
                }
                with += 1;
            }
        }
        let per_call = |attempts: u32| f64::from(attempts) / f64::from(calls);
        let base = Some(("3_retries", per_call(without)));
        let name = format!("retry.failing{failing_percent}%.attempts_per_call");
        print(name, per_call(with), "ratio", base, "1.1 (section 5)");
    }
}

/// Time of one pick with its accounting, by the number of targets.
pub fn pick_cost() {
    let mut small = None;
    for targets in [10, 100, 4200] {
        let vms = if targets == 4200 { 330 } else { 8 };
        let size = Size { targets, vms, ..SIZES[2] };
        let setup = size.setup(0, 1);
        let member = |vm: usize| RouteMember {
            vm: format!("vm{vm}"),
            data_centre: format!("dc{}", vm % size.data_centres),
        };
        let members: Vec<_> = (0..vms).map(member).collect();
        let (vm, data_centre) = (members[0].vm.clone(), members[0].data_centre.clone());
        let router = Router::new(RouterOptions { vm, data_centre, ..RouterOptions::default() });
        router.set_members(members);
        let started = Instant::now();
        router.update_pool(POOL, &pool(&setup));
        let update = started.elapsed();
        for affinity in [None, Some(7)] {
            let pick_ns = time_picks(&router, affinity);
            let kind = if affinity.is_some() { "affinity" } else { "plain" };
            let base = *small.get_or_insert(pick_ns);
            let name = format!("cost.pick_{kind}_{targets}_targets");
            print(&name, pick_ns, "ns", Some(("plain_10_targets", base)), NO_BOUND);
            // The peak of the whole design size on one node is the worst case.
            let core_percent = pick_ns * 3600.0 / 1e9 * 100.0;
            let bound = "2.4 (section 1: control overhead per node)";
            print(format!("{name}.core_at_3600_per_s"), core_percent, "%", None, bound);
        }
        let name = format!("cost.update_pool_{targets}_targets");
        print(name, update.as_secs_f64() * 1e3, "ms", None, NO_BOUND);
    }
}

fn time_picks(router: &Router, affinity: Option<u64>) -> f64 {
    const PICKS: u32 = 200_000;
    let mut now = Instant::now();
    let mut held = std::collections::VecDeque::new();
    let started = Instant::now();
    for number in 0..PICKS {
        now += Duration::from_micros(300);
        let request = PickRequest {
            pool: POOL,
            expected_tokens: 50,
            priority: Priority::Interactive,
            affinity: affinity.map(|affinity| affinity * u64::from(number / 8)),
            exclude: &[],
            now,
        };
        held.push_back(router.pick(&request).expect("targets are free"));
        if held.len() > 32 {
            let done = held.pop_front().expect("not empty").in_flight;
            done.finish(deck_route::Outcome::Ok, 50, now);
        }
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(PICKS)
}

/// Time of a refusal in comparison with an admitted call.
pub fn refusal_cost() {
    const CALLS: u32 = 200_000;
    let setup = SIZES[0].setup(0, 1);
    let policy = Policy::new(Choice::Chosen, &Setup { vms: 1, ..setup }, Some([70, 30]));
    let admission = policy.admission(0);
    let mut now = Instant::now();
    let mut time = |hold: bool| {
        let started = Instant::now();
        let mut held = Vec::new();
        for _ in 0..CALLS {
            now += Duration::from_micros(100);
            let deadline = now + Duration::from_secs(60);
            let request = AdmitRequest {
                pool: POOL,
                organisation: "a",
                cost_tokens: 50,
                priority: Priority::Interactive,
                deadline,
                now,
            };
            let result = black_box(admission.admit(&request));
            held.extend(result.ok().filter(|_| hold));
        }
        started.elapsed().as_secs_f64() * 1e9 / f64::from(CALLS)
    };
    let admitted = time(false);
    let refused = time(true);
    print("cost.refusal", refused, "ns", Some(("admitted_call", admitted)), NO_BOUND);
}

/// Bytes per second of demand reports that a node receives at the design size.
pub fn report_size() {
    let setup = SIZES[0].setup(0, 1);
    let policy = Policy::new(Choice::Chosen, &Setup { vms: 1, ..setup }, Some([70, 30]));
    let admission = policy.admission(0);
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    let held: Vec<_> = ["a", "b"]
        .iter()
        .flat_map(|organisation| {
            let request = AdmitRequest {
                pool: POOL,
                organisation,
                cost_tokens: 50,
                priority: Priority::Interactive,
                deadline,
                now,
            };
            (0..10).map_while(|_| admission.admit(&request).ok()).collect::<Vec<_>>()
        })
        .collect();
    let bytes = admission.demand_report(now).len() as f64;
    drop(held);
    print("exchange.report_2_entries", bytes, "bytes", None, NO_BOUND);
    let per_s = bytes * 330.0 / 5.0;
    let bound = "9000 (section 1: control overhead per node, all topics together)";
    print("exchange.received_at_330_vms_steady", per_s, "bytes/s", None, bound);
}
