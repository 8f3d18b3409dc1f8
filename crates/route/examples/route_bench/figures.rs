//! Benchmark scenarios and the figures that they print.

use std::{
    fmt::Display,
    hint::black_box,
    time::{Duration, Instant},
};

use deck_core::priority::Priority;
use deck_limit::{AdmitRequest, BudgetOptions, HedgeBudget, RetryBudget};
use deck_route::{PickRequest, Router, RouterOptions, RoutingVm};
use hdrhistogram::Histogram;

use crate::{
    model::{
        Hedging, SimulatedCall, Simulation, SimulationConfig, SimulationResults,
        capacity_calls_per_s,
    },
    policy::{
        MEAN_INTERACTIVE_TOKENS, MEAN_ROLLOUT_TOKENS, POOL, Policy, PolicyKind, Workload,
        generate_calls, pool,
    },
};

/// Size of a simulated deployment.
pub struct Deployment {
    pub name: &'static str,
    targets: usize,
    vms: usize,
    data_centres: usize,
    cross_dc_delay_s: f64,
    duration_s: f64,
    time_step_s: f64,
}

/// Simulated deployments: two existing ones, and the largest supported one (`design`).
pub const DEPLOYMENTS: &[Deployment] = &[
    Deployment {
        name: "jonotuoli",
        targets: 10,
        vms: 7,
        data_centres: 4,
        cross_dc_delay_s: 0.002,
        duration_s: 300.0,
        time_step_s: 0.002,
    },
    Deployment {
        name: "vitosha",
        targets: 8,
        vms: 8,
        data_centres: 3,
        cross_dc_delay_s: 0.001,
        duration_s: 300.0,
        time_step_s: 0.002,
    },
    Deployment {
        name: "design",
        targets: 4200,
        vms: 330,
        data_centres: 8,
        cross_dc_delay_s: 0.002,
        duration_s: 40.0,
        time_step_s: 0.01,
    },
];

/// Fraction of calls that are rollouts, such that the mean length is 472 tokens: the specified peak
/// load is 1.7 million tokens/s in 3,600 requests/s.
const ROLLOUT_FRACTION: f64 =
    (472.0 - MEAN_INTERACTIVE_TOKENS) / (MEAN_ROLLOUT_TOKENS - MEAN_INTERACTIVE_TOKENS);
/// Number of slots of each simulated target.
const SLOTS: u32 = 8;

impl Deployment {
    fn config(&self, slowed_targets: usize, seed: u64) -> SimulationConfig {
        SimulationConfig {
            targets: self.targets,
            vms: self.vms,
            data_centres: self.data_centres,
            slots: SLOTS,
            duration_s: self.duration_s,
            time_step_s: self.time_step_s,
            cross_dc_delay_s: self.cross_dc_delay_s,
            slowed_targets,
            slow_factor: 8.0,
            seed,
        }
    }
}

/// Returns a workload at `load` times the capacity of the targets.
fn workload(config: &SimulationConfig, load: f64) -> Workload {
    Workload {
        calls_per_s: load * capacity_calls_per_s(config, 472.0),
        rollout_fraction: ROLLOUT_FRACTION,
        interactive_deadline_s: 2.0,
        first_organisation_fraction: 0.5,
        rollout_vms: config.vms.div_ceil(4),
    }
}

/// Prints one figure and its ratio to the baseline.
fn print_figure(
    name: impl Display,
    value: f64,
    unit: &str,
    baseline: Option<(&str, f64)>,
    bound: &str,
) {
    let (baseline, ratio) = match baseline {
        Some((name, base)) => (format!("{name} {base:.4}"), format!("{:.3}", value / base)),
        None => ("-".to_owned(), "-".to_owned()),
    };
    println!("{name} | {value:.4} | {unit} | {baseline} | {ratio} | {bound}");
}

/// Prints the figure of the router relative to each baseline policy.
fn print_comparison(name: impl Display, values: &[f64; 3], unit: &str, bound: &str) {
    for (baseline, value) in PolicyKind::ALL.iter().zip(values).skip(1) {
        print_figure(&name, values[0], unit, Some((baseline.name(), *value)), bound);
    }
}

/// Number of simulation runs with different seeds that are combined into one figure. A single run
/// of a small deployment has too few calls for a p99.9.
const SEEDS_PER_FIGURE: u64 = 5;

/// Latency histograms in microseconds of the calls under one policy.
struct LatencyHistograms {
    interactive_first_byte: Histogram<u64>,
    interactive_total: Histogram<u64>,
    rollout_total: Histogram<u64>,
}

impl LatencyHistograms {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("3 digits are supported");
        Self {
            interactive_first_byte: histogram(),
            interactive_total: histogram(),
            rollout_total: histogram(),
        }
    }

    /// Adds the completed calls of a run, except those of the first tenth, which is the warm-up.
    fn add(
        &mut self,
        config: &SimulationConfig,
        calls: &[SimulatedCall],
        results: &SimulationResults,
    ) {
        let record = |histogram: &mut Histogram<u64>, time_s: f64| {
            histogram.record((time_s * 1e6) as u64).expect("the histogram grows");
        };
        for completed in &results.completed {
            let call = &calls[completed.call_index];
            if call.arrival_s <= config.duration_s / 10.0 {
                continue;
            }
            if call.priority == Priority::Rollout {
                record(&mut self.rollout_total, completed.total_s);
            } else {
                record(&mut self.interactive_first_byte, completed.first_byte_s);
                record(&mut self.interactive_total, completed.total_s);
            }
        }
    }
}

/// Returns the median, the 99th and the 99.9th percentile in milliseconds.
fn quantiles_ms(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.99, 0.999].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1e3)
}

/// Simulates every policy with the same workload.
fn run_all_policies(
    deployment: &Deployment,
    slowed_targets: usize,
    load: f64,
    seed: u64,
) -> [LatencyHistograms; 3] {
    let mut histograms = std::array::from_fn(|_| LatencyHistograms::new());
    for seed in seed * SEEDS_PER_FIGURE..(seed + 1) * SEEDS_PER_FIGURE {
        let config = deployment.config(slowed_targets, seed);
        let calls = generate_calls(&config, &workload(&config, load));
        for (kind, histograms) in PolicyKind::ALL.into_iter().zip(&mut histograms) {
            let results =
                Simulation::new(&config, &calls, Policy::new(kind, &config, None), None).run();
            histograms.add(&config, &calls, &results);
        }
        if deployment.name == "design" {
            break;
        }
    }
    histograms
}

/// Prints latency quantiles of the router relative to each baseline policy.
fn print_quantiles(
    name: &str,
    histograms: &[LatencyHistograms; 3],
    histogram: impl Fn(&LatencyHistograms) -> &Histogram<u64>,
    bound: &str,
) {
    let quantiles = histograms.each_ref().map(|histograms| quantiles_ms(histogram(histograms)));
    for (index, quantile) in ["p50", "p99", "p99.9"].iter().enumerate() {
        print_comparison(
            format!("{name}_{quantile}"),
            &quantiles.map(|policy_quantiles| policy_quantiles[index]),
            "ms",
            bound,
        );
    }
}

/// Bound that is printed for figures without a requirement.
const NO_STATED_BOUND: &str = "none stated";

/// Measures head-of-line blocking: the time to the first token of interactive calls while rollouts
/// keep the targets busy.
pub fn head_of_line(deployment: &Deployment, seed: u64) {
    for load in [0.6, 0.75] {
        let histograms = run_all_policies(deployment, 0, load, seed);
        let name = format!("{}.head_of_line_load{load}", deployment.name);
        print_quantiles(
            &format!("{name}.short_wait"),
            &histograms,
            |p| &p.interactive_first_byte,
            NO_STATED_BOUND,
        );
        let bound = "240000 (requirement: all samples of a step within 4 minutes)";
        print_quantiles(&format!("{name}.rollout_total"), &histograms, |p| &p.rollout_total, bound);
        let completed_rollouts =
            histograms.each_ref().map(|histograms| histograms.rollout_total.len() as f64);
        print_comparison(
            format!("{name}.rollouts_done"),
            &completed_rollouts,
            "calls",
            NO_STATED_BOUND,
        );
    }
}

/// Measures the latency of interactive calls while a fifth of the targets is slow now and then.
pub fn slowed_targets(deployment: &Deployment, seed: u64) {
    let histograms = run_all_policies(deployment, deployment.targets / 5, 0.5, seed);
    let name = format!("{}.slowed_targets.short_total", deployment.name);
    print_quantiles(&name, &histograms, |p| &p.interactive_total, NO_STATED_BOUND);
}

/// Returns the tokens per second of calls that completed before their deadline.
fn goodput(config: &SimulationConfig, calls: &[SimulatedCall], results: &SimulationResults) -> f64 {
    let within_deadline = results.completed.iter().filter(|completed| completed.within_deadline);
    within_deadline.map(|completed| f64::from(calls[completed.call_index].tokens)).sum::<f64>()
        / config.duration_s
}

/// Returns the number of interactive calls that completed before their deadline.
fn interactive_calls_in_time(calls: &[SimulatedCall], results: &SimulationResults) -> f64 {
    let is_interactive = |call_index: usize| calls[call_index].priority == Priority::Interactive;
    let within_deadline = results
        .completed
        .iter()
        .filter(|completed| completed.within_deadline && is_interactive(completed.call_index));
    within_deadline.count() as f64
}

/// Measures goodput at twice the capacity relative to the best goodput at lower loads.
pub fn overload(deployment: &Deployment, seed: u64) {
    let config = deployment.config(0, seed);
    let run = |kind, load| {
        let calls = generate_calls(&config, &workload(&config, load));
        let shares = (kind == PolicyKind::Router).then_some([50, 50]);
        let results =
            Simulation::new(&config, &calls, Policy::new(kind, &config, shares), None).run();
        (goodput(&config, &calls, &results), interactive_calls_in_time(&calls, &results))
    };
    let peak_result = |kind| {
        let loads = [0.6, 0.8, 1.0].into_iter().map(|load| run(kind, load));
        loads.fold((0.0, 0.0), |a: (f64, f64), b| (a.0.max(b.0), a.1.max(b.1)))
    };
    let peak_results = PolicyKind::ALL.map(peak_result);
    let at_double_load = PolicyKind::ALL.map(|kind| run(kind, 2.0));
    let values: [f64; 3] = std::array::from_fn(|i| at_double_load[i].0 / peak_results[i].0);
    let name = format!("{}.overload_twice", deployment.name);
    print_comparison(format!("{name}.goodput_of_own_peak"), &values, "ratio", NO_STATED_BOUND);
    print_comparison(
        format!("{name}.goodput"),
        &at_double_load.map(|t| t.0),
        "tokens/s",
        NO_STATED_BOUND,
    );
    print_comparison(
        format!("{name}.short_calls_in_time"),
        &at_double_load.map(|t| t.1),
        "calls",
        NO_STATED_BOUND,
    );
}

/// Measures how far the slot time of two organisations deviates from their shares of 70% and 30%
/// when each offers half of a load of twice the capacity.
pub fn shares(deployment: &Deployment, seed: u64) {
    let config = deployment.config(0, seed);
    let calls = generate_calls(&config, &workload(&config, 2.0));
    let slot_time_percent = |shares| {
        let policy = Policy::new(PolicyKind::Router, &config, shares);
        let results = Simulation::new(&config, &calls, policy, None).run();
        let sum: f64 = results.slot_time_s.iter().sum();
        results.slot_time_s.map(|slot_time_s| slot_time_s / sum * 100.0)
    };
    let (with_shares, without_shares) =
        (slot_time_percent(Some([70, 30])), slot_time_percent(None));
    for (organisation, promised) in [70.0, 30.0].into_iter().enumerate() {
        let name = format!("{}.share_error.organisation{promised}", deployment.name);
        let base = ("no_shares", f64::abs(without_shares[organisation] - promised));
        let value = f64::abs(with_shares[organisation] - promised);
        print_figure(name, value, "percentage points", Some(base), NO_STATED_BOUND);
    }
}

/// Measures interactive latency with and without hedged requests while a fifth of the targets is
/// slow now and then.
pub fn hedging(deployment: &Deployment, seed: u64) {
    for (load, hedge_delay_s) in [(0.5, 0.1), (0.5, 0.3), (0.75, 0.1)] {
        let mut with_hedging = LatencyHistograms::new();
        let mut without_hedging = LatencyHistograms::new();
        let (mut hedges, mut attempts) = (0, 0);
        for seed in seed * SEEDS_PER_FIGURE..(seed + 1) * SEEDS_PER_FIGURE {
            let config = deployment.config(deployment.targets / 5, seed);
            let calls = generate_calls(&config, &workload(&config, load));
            let run = |hedging| {
                let policy = Policy::new(PolicyKind::Router, &config, None);
                Simulation::new(&config, &calls, policy, hedging).run()
            };
            let budget = HedgeBudget::new(BudgetOptions::for_hedging(), unlimited_retries());
            without_hedging.add(&config, &calls, &run(None));
            let results = run(Some(Hedging { hedge_delay_s, budget }));
            with_hedging.add(&config, &calls, &results);
            hedges += results.hedges;
            attempts += results.attempts;
        }
        let [with_hedging, without_hedging] = [with_hedging, without_hedging]
            .map(|histograms| quantiles_ms(&histograms.interactive_total));
        let name =
            format!("{}.hedging_load{load}_delay{:.0}ms", deployment.name, hedge_delay_s * 1e3);
        for (index, quantile) in ["p50", "p99", "p99.9"].iter().enumerate() {
            let base = Some(("no_hedging", without_hedging[index]));
            print_figure(
                format!("{name}.short_total_{quantile}"),
                with_hedging[index],
                "ms",
                base,
                NO_STATED_BOUND,
            );
        }
        let attempts_per_call = attempts as f64 / (attempts - hedges) as f64;
        let bound = "1.1 (requirement: at most 1.1 times the load)";
        print_figure(
            format!("{name}.attempts_per_call"),
            attempts_per_call,
            "ratio",
            Some(("no_hedging", 1.0)),
            bound,
        );
    }
}

/// Returns a retry budget that never limits the hedging budget.
fn unlimited_retries() -> RetryBudget {
    let unlimited = BudgetOptions { reserve_attempts: 1e9, ..BudgetOptions::default() };
    RetryBudget::new(BudgetOptions { max_balance_attempts: 1e9, ..unlimited })
}

/// Measures attempts per call with the retry budget while a fraction of attempts fails.
pub fn retries() {
    for failing_percent in [10, 50, 100] {
        let budget = RetryBudget::new(BudgetOptions::default());
        let calls = 100_000_u32;
        let (mut attempts_with_budget, mut attempts_without_budget) = (0_u32, 0_u32);
        for call in 0..calls {
            budget.record_call(POOL, "a");
            // Attempts fail in a fixed pattern; a call is attempted up to four times.
            let fails = |attempt: u32| (call * 7 + attempt * 13) % 100 < failing_percent;
            let attempts_needed =
                (0..4).find(|attempt| !fails(*attempt)).map_or(4, |attempt| attempt + 1);
            attempts_without_budget += attempts_needed;
            attempts_with_budget += 1;
            for _ in 1..attempts_needed {
                if !budget.try_take_retry(POOL, "a") {
                    break;
                }
                attempts_with_budget += 1;
            }
        }
        let per_call = |attempts: u32| f64::from(attempts) / f64::from(calls);
        let base = Some(("3_retries", per_call(attempts_without_budget)));
        let name = format!("retry.failing{failing_percent}%.attempts_per_call");
        print_figure(name, per_call(attempts_with_budget), "ratio", base, "1.1 (requirement)");
    }
}

/// Measures the time of picking a target and finishing the call, by the number of targets.
pub fn pick_cost() {
    let mut baseline_ns = None;
    for targets in [10, 100, 4200] {
        let vms = if targets == 4200 { 330 } else { 8 };
        let deployment = Deployment { targets, vms, ..DEPLOYMENTS[2] };
        let config = deployment.config(0, 1);
        let member = |vm: usize| RoutingVm {
            vm: format!("vm{vm}"),
            data_centre: format!("dc{}", vm % deployment.data_centres),
        };
        let members: Vec<_> = (0..vms).map(member).collect();
        let (vm, data_centre) = (members[0].vm.clone(), members[0].data_centre.clone());
        let router = Router::new(RouterOptions { vm, data_centre, ..RouterOptions::default() });
        router.set_members(members);
        let started = Instant::now();
        router.update_pool(POOL, &pool(&config));
        let update = started.elapsed();
        for affinity in [None, Some(7)] {
            let pick_ns = time_picks(&router, affinity);
            let kind = if affinity.is_some() { "affinity" } else { "plain" };
            let base = *baseline_ns.get_or_insert(pick_ns);
            let name = format!("cost.pick_{kind}_{targets}_targets");
            print_figure(&name, pick_ns, "ns", Some(("plain_10_targets", base)), NO_STATED_BOUND);
            // Worst case: one node routes the peak request rate of the largest deployment.
            let core_percent = pick_ns * 3600.0 / 1e9 * 100.0;
            let bound = "2.4 (requirement: control overhead per node)";
            print_figure(format!("{name}.core_at_3600_per_s"), core_percent, "%", None, bound);
        }
        let name = format!("cost.update_pool_{targets}_targets");
        print_figure(name, update.as_secs_f64() * 1e3, "ms", None, NO_STATED_BOUND);
    }
}

/// Returns the mean time in nanoseconds of picking a target and finishing a call.
fn time_picks(router: &Router, affinity_base: Option<u64>) -> f64 {
    const PICKS: u32 = 200_000;
    let mut now = Instant::now();
    let mut picks_in_flight = std::collections::VecDeque::new();
    let started = Instant::now();
    for number in 0..PICKS {
        now += Duration::from_micros(300);
        let request = PickRequest {
            pool: POOL,
            expected_tokens: 50,
            priority: Priority::Interactive,
            affinity: affinity_base.map(|affinity_base| affinity_base * u64::from(number / 8)),
            exclude: &[],
            only: None,
            now,
        };
        picks_in_flight.push_back(router.pick(&request).expect("targets are free"));
        if picks_in_flight.len() > 32 {
            let oldest_call = picks_in_flight.pop_front().expect("not empty").in_flight;
            oldest_call.finish(deck_route::Outcome::Ok, 50, now);
        }
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(PICKS)
}

/// Measures the time to refuse a call relative to admitting one.
pub fn refusal_cost() {
    const CALLS: u32 = 200_000;
    let config = DEPLOYMENTS[0].config(0, 1);
    let policy =
        Policy::new(PolicyKind::Router, &SimulationConfig { vms: 1, ..config }, Some([70, 30]));
    let admission = policy.admission(0);
    let mut now = Instant::now();
    let mut measure_ns = |keep_permits: bool| {
        let started = Instant::now();
        let mut permits = Vec::new();
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
            permits.extend(result.ok().filter(|_| keep_permits));
        }
        started.elapsed().as_secs_f64() * 1e9 / f64::from(CALLS)
    };
    let admitted_ns = measure_ns(false);
    // Once the kept permits use all slots, the other calls are refused.
    let refused_ns = measure_ns(true);
    print_figure(
        "cost.refusal",
        refused_ns,
        "ns",
        Some(("admitted_call", admitted_ns)),
        NO_STATED_BOUND,
    );
}

/// Measures the demand reports that a node of the largest deployment receives, in bytes per second.
pub fn report_size() {
    let config = DEPLOYMENTS[0].config(0, 1);
    let policy =
        Policy::new(PolicyKind::Router, &SimulationConfig { vms: 1, ..config }, Some([70, 30]));
    let admission = policy.admission(0);
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    let permits: Vec<_> = ["a", "b"]
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
    let bytes = admission.next_demand_report(now).len() as f64;
    drop(permits);
    print_figure("exchange.report_2_entries", bytes, "bytes", None, NO_STATED_BOUND);
    let per_s = bytes * 330.0 / 5.0;
    let bound = "9000 (requirement: control overhead per node, all topics together)";
    print_figure("exchange.received_at_330_vms_steady", per_s, "bytes/s", None, bound);
}
