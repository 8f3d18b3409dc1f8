//! Targets of one pool and their shared statistics, as seen by one VM.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{hash::hash64, id::TargetId, object::TargetPool, priority::Priority};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    LoadReport, Outcome, RouterOptions, RoutingVm,
    capacity::log_capacity,
    subset::{Subset, SubsetQuery, SubsetTarget, choose_subset},
    target::{Target, TargetState},
};

/// Routing state of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) name: String,
    pub(crate) options: Rc<RouterOptions>,
    pub(crate) targets: Vec<Rc<Target>>,
    /// Index in `targets` by target id.
    index_by_id: HashMap<TargetId, usize>,
    /// Indexes in `targets` of those that this VM uses.
    pub(crate) subset: Subset,
    /// Number of calls that each target can run concurrently, from the pool object.
    pub(crate) slots: u32,
    pub(crate) rng: StdRng,
    /// Moving average over load reports of the calls that other VMs have on a target.
    pub(crate) mean_external_calls: f64,
    /// Median over the subset's targets of their latency relative to the pool's running medians.
    pub(crate) median_latency_ratio: f64,
    /// Running median of the time to the first byte, by priority.
    median_first_byte: [RunningMedian; 3],
    /// Running median of the generation time per token.
    median_token_time: RunningMedian,
    /// Moving average of the duration of completed rollout calls.
    pub(crate) mean_rollout_duration: Option<Duration>,
    /// Time of the last check for outliers.
    last_health_check: Option<Instant>,
    /// Number of the next call; tells pending calls of a target apart.
    next_call_number: u64,
}

/// Streaming estimate of the median of a duration, in seconds.
#[derive(Debug, Default, Clone, Copy)]
struct RunningMedian(Option<f64>);

/// Relative step of the running median per sample. It adapts to a lasting change within some tens
/// of calls, while a single call hardly moves it.
const MEDIAN_STEP: f64 = 0.03;
/// Minimum number of generated tokens from which a call's time per token is measured.
const MIN_SPEED_TOKENS: u64 = 16;
/// Assumed median latency before the first sample.
const DEFAULT_LATENCY: Duration = Duration::from_secs(1);

impl RunningMedian {
    /// Returns the ratio of the sample to the median, then moves the median towards the sample.
    fn record(&mut self, sample: Duration) -> f64 {
        let sample = sample.as_secs_f64().max(1e-6);
        let median = self.0.get_or_insert(sample);
        let ratio = sample / *median;
        *median *= if sample > *median { 1.0 + MEDIAN_STEP } else { 1.0 / (1.0 + MEDIAN_STEP) };
        ratio
    }

    fn get(&self) -> Duration {
        self.0.map_or(DEFAULT_LATENCY, Duration::from_secs_f64)
    }
}

/// Call that was sent to a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartedCall {
    /// Number of the call, unique within the pool.
    pub call_number: u64,
    pub priority: Priority,
    pub started_at: Instant,
    /// Estimated number of calls on the target, this one included.
    pub occupancy: u32,
    pub is_probe: bool,
}

impl Pool {
    pub fn new(name: &str, options: Rc<RouterOptions>) -> Self {
        let seed = options.seed ^ hash64(options.vm.as_bytes()) ^ hash64(name.as_bytes());
        Self {
            name: name.to_owned(),
            options,
            targets: Vec::new(),
            index_by_id: HashMap::new(),
            subset: Subset::default(),
            slots: 1,
            rng: StdRng::seed_from_u64(seed),
            mean_external_calls: 0.0,
            median_latency_ratio: 1.0,
            median_first_byte: [RunningMedian::default(); 3],
            median_token_time: RunningMedian::default(),
            mean_rollout_duration: None,
            last_health_check: None,
            next_call_number: 0,
        }
    }

    /// Applies a new version of the pool object; unchanged targets keep their state.
    pub fn update(&mut self, spec: &TargetPool, members: &[RoutingVm]) {
        self.slots = spec.slots_per_target.max(1);
        let mut previous_targets: HashMap<_, _> =
            self.targets.drain(..).map(|target| (target.id.clone(), target)).collect();
        for target_spec in &spec.targets {
            let Ok(address) = target_spec.address.parse() else {
                log::warn!(
                    target: "route",
                    "target without a valid address ignored pool={} target={}",
                    self.name,
                    target_spec.id
                );
                continue;
            };
            let existing = previous_targets.remove(&target_spec.id);
            let target =
                match existing.filter(|existing| existing.matches_spec(target_spec, address)) {
                    Some(existing) => existing,
                    None => Rc::new(Target::new(target_spec, address)),
                };
            target.set_spec_state(target_spec.state);
            self.targets.push(target);
        }
        let ids = self.targets.iter().map(|target| target.id.clone());
        self.index_by_id = ids.zip(0..).collect();
        self.update_subset(members);
    }

    /// Recomputes the subset of targets that this VM uses.
    pub fn update_subset(&mut self, members: &[RoutingVm]) {
        let query = SubsetQuery {
            vm: &self.options.vm,
            data_centre: &self.options.data_centre,
            members,
            subset_size: self.options.subset_size,
            remote_percent: self.options.remote_subset_percent,
        };
        let targets = self.targets.iter();
        let targets: Vec<_> = targets
            .map(|target| SubsetTarget { id: &target.id, data_centre: &target.data_centre })
            .collect();
        self.subset = choose_subset(&query, &targets);
    }

    pub fn find_target(&self, target: &str) -> Option<&Rc<Target>> {
        self.index_by_id.get(target).map(|index| &self.targets[*index])
    }

    /// Returns the targets of this VM's subset, local ones first.
    pub fn subset_targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        let indexes = self.subset.local.iter().chain(&self.subset.remote);
        indexes.map(|index| &self.targets[*index])
    }

    pub fn record_load_report(&mut self, target: &str, report: &LoadReport, now: Instant) {
        let Some(target) = self.find_target(target) else { return };
        let external_calls = {
            let mut state = target.state.borrow_mut();
            state.load.set_load_report(report, now);
            state.load.reported_external_calls().unwrap_or(0.0)
        };
        let weight = 1.0 / (self.subset.local.len() + self.subset.remote.len()).max(1) as f64;
        self.mean_external_calls += (external_calls - self.mean_external_calls) * weight;
    }

    /// Records that a call is sent to a target and has not received its first byte.
    pub fn start_call(
        &mut self,
        target: &Target,
        priority: Priority,
        is_probe: bool,
        now: Instant,
    ) -> StartedCall {
        let call_number = self.next_call_number;
        self.next_call_number += 1;
        let external_calls = self.external_calls(&target.state.borrow(), now);
        let mut state = target.state.borrow_mut();
        let occupancy = state.load.calls().saturating_add(1 + external_calls.round() as u32);
        if is_probe {
            state.health.start_probe(now);
        }
        state.health.add_pending_call(
            call_number,
            self.median_first_byte[priority as usize].get(),
            now,
        );
        StartedCall { call_number, priority, started_at: now, occupancy, is_probe }
    }

    /// Records the time to the first byte of a call.
    pub fn record_first_byte(&mut self, target: &Target, call: &StartedCall, now: Instant) {
        let latency = now.saturating_duration_since(call.started_at);
        let ratio = self.median_first_byte[call.priority as usize].record(latency);
        let mut state = target.state.borrow_mut();
        state.health.remove_pending_call(call.call_number);
        // The time to the first byte of a rollout call depends on the length of its prompt.
        let change = (call.priority != Priority::Rollout).then(|| {
            let latency_ms = latency.as_secs_f64() * 1000.0;
            state.capacity.get_or_insert_default().record_call(call.occupancy, latency_ms, now)
        });
        if let Some((old, new)) = change.flatten() {
            log_capacity("route", &target.id, old, new);
        }
        // A target is not unhealthy because it has more calls than it takes well.
        let slowdown = state.slowdown(now).map_or(1.0, |slowdown| slowdown.factor(call.occupancy));
        self.record_latency(&mut state, ratio / slowdown, latency, call.is_probe, now);
    }

    /// Records the generation speed of a completed call.
    pub fn record_generation_speed(
        &mut self,
        target: &Target,
        tokens: u64,
        duration: Duration,
        now: Instant,
    ) {
        if tokens < MIN_SPEED_TOKENS {
            return;
        }
        let ratio = self.median_token_time.record(duration.div_f64(tokens as f64));
        let mut state = target.state.borrow_mut();
        self.record_latency(&mut state, ratio, duration, false, now);
    }

    /// Adds a latency to the target's health. Latencies below `min_slow_latency` never count as slow. A
    /// probe restores the target or extends its ejection.
    fn record_latency(
        &self,
        state: &mut TargetState,
        ratio: f64,
        latency: Duration,
        is_probe: bool,
        now: Instant,
    ) {
        let health = &self.options.health;
        let slow_limit = health.slow_latency_factor * self.median_latency_ratio.max(1.0);
        let ratio = if latency < health.min_slow_latency { ratio.min(1.0) } else { ratio };
        state.health.record_latency_ratio(ratio, slow_limit, now);
        if !is_probe || !state.health.is_ejected() {
            return;
        }
        if ratio <= slow_limit {
            state.health.restore(now);
        } else {
            state.health.eject(health, 1.0, now);
        }
    }

    /// Records the outcome of a call.
    pub fn finish_call(
        &mut self,
        target: &Target,
        call: &StartedCall,
        outcome: Outcome,
        now: Instant,
    ) {
        let mut state = target.state.borrow_mut();
        state.health.record_outcome(outcome);
        if outcome == Outcome::Leaving {
            state.marked_leaving = true;
        }
        let failed = matches!(outcome, Outcome::Failed | Outcome::Crashed | Outcome::TimedOut);
        if call.is_probe && failed && state.health.is_ejected() {
            state.health.eject(&self.options.health, 1.0, now);
        }
        if call.priority == Priority::Rollout && outcome == Outcome::Ok {
            let duration = now.saturating_duration_since(call.started_at);
            let mean = self.mean_rollout_duration.unwrap_or(duration);
            self.mean_rollout_duration = Some(mean.mul_f64(0.9) + duration.mul_f64(0.1));
        }
    }

    /// Ejects outliers if a health check is due. At most half of the subset's targets that are not
    /// leaving are ejected at any time.
    pub fn check_health(&mut self, now: Instant) {
        let interval = self.options.health.check_interval;
        if self.last_health_check.is_some_and(|at| now.saturating_duration_since(at) < interval) {
            return;
        }
        self.last_health_check = Some(now);
        self.update_median_latency_ratio(now);
        let outliers = self.outliers(now);
        let remaining_targets = self.subset_targets().filter(|t| !t.state.borrow().is_leaving());
        let (mut target_count, mut ejected_count) = (0, 0);
        for target in remaining_targets {
            target_count += 1;
            ejected_count += usize::from(target.state.borrow().health.is_ejected());
        }
        let max_ejections = (target_count / 2_usize).saturating_sub(ejected_count);
        for target in outliers.into_iter().take(max_ejections) {
            let jitter = self.rng.random_range(0.8..1.2);
            let mut state = target.state.borrow_mut();
            state.health.eject(&self.options.health, jitter, now);
            log::info!(target: "route", "target ejected pool={} target={}", self.name, target.id);
        }
    }

    /// Updates the lower median of the relative latency of targets that have pending calls or
    /// recent responses. If all targets are slow or stalled, the median rises with them and none
    /// is an outlier.
    fn update_median_latency_ratio(&mut self, now: Instant) {
        let options = &self.options.health;
        let latency_ratio = |target: &Rc<Target>| {
            let state = target.state.borrow();
            let pending_call_ratio = state.health.oldest_pending_call_ratio(now);
            match state.health.mean_latency_ratio(options, now) {
                Some(latency_ratio) => Some(latency_ratio.max(pending_call_ratio)),
                None => (pending_call_ratio > 0.0).then_some(pending_call_ratio),
            }
        };
        let mut latency_ratios: Vec<f64> =
            self.subset_targets().filter_map(latency_ratio).collect();
        latency_ratios.sort_unstable_by(f64::total_cmp);
        let median_index = latency_ratios.len().saturating_sub(1) / 2;
        self.median_latency_ratio =
            latency_ratios.get(median_index).copied().unwrap_or(1.0).max(1e-3);
    }

    /// Returns the targets that should be ejected, the worst first.
    fn outliers(&self, now: Instant) -> Vec<Rc<Target>> {
        let options = &self.options.health;
        let error_rates = self.subset_targets().map(|t| t.state.borrow().health.error_rate());
        let (sum, target_count) =
            error_rates.fold((0.0, 0_u32), |(sum, n), rate| (sum + rate, n + 1));
        let pool_error_rate = sum / f64::from(target_count.max(1));
        // A target that is no slower than the running median is never an outlier, even if most
        // other targets are currently faster.
        let median = self.median_latency_ratio.max(1.0);
        let mut outliers: Vec<_> = self
            .subset_targets()
            .filter_map(|target| {
                let state = target.state.borrow();
                let score = state.health.outlier_score(options, median, pool_error_rate, now)?;
                state.accepts_calls().then(|| (score, target.clone()))
            })
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0));
        outliers.into_iter().map(|(_, target)| target).collect()
    }
}
