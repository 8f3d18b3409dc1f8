//! Targets of one pool as seen by one VM.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{hash::hash64, id::TargetId, object::TargetPool, priority::Priority};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    LoadReport, Outcome, RouteMember, RouterOptions,
    subset::{Subset, SubsetQuery, SubsetTarget, choose_subset},
    target::{Target, TargetState},
};

/// Targets of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) name: String,
    pub(crate) options: Rc<RouterOptions>,
    pub(crate) targets: Vec<Rc<Target>>,
    /// Position of each target in `targets`.
    positions: HashMap<TargetId, usize>,
    pub(crate) subset: Subset,
    pub(crate) slots: u32,
    pub(crate) rng: StdRng,
    /// Mean of the calls of other VMs on a target, from load reports.
    pub(crate) usual_others: f64,
    /// Median latency of the subset's targets, in parts of the usual latency.
    pub(crate) median_slowness: f64,
    /// Usual time to the first byte, by priority.
    first_byte: [Usual; 3],
    /// Usual time for one token.
    token: Usual,
    /// Mean duration of rollout calls.
    pub(crate) rollout_duration: Option<Duration>,
    checked_at: Option<Instant>,
    next_call: u64,
}

/// Running median of a duration.
#[derive(Debug, Default, Clone, Copy)]
struct Usual(Option<f64>);

/// Step of the running median. Each sample moves it by this part, so that it follows a lasting
/// change within some tens of calls and a single call hardly moves it.
const MEDIAN_STEP: f64 = 0.03;
/// Tokens from which a call's time per token is measured.
const MIN_PACE_TOKENS: u64 = 16;
/// Latency that counts as usual before any call has answered.
const UNKNOWN_LATENCY: Duration = Duration::from_secs(1);

impl Usual {
    /// Returns the sample in parts of the median, which then takes the sample into account.
    fn record(&mut self, sample: Duration) -> f64 {
        let sample = sample.as_secs_f64().max(1e-6);
        let median = self.0.get_or_insert(sample);
        let ratio = sample / *median;
        *median *= if sample > *median { 1.0 + MEDIAN_STEP } else { 1.0 / (1.0 + MEDIAN_STEP) };
        ratio
    }

    fn get(&self) -> Duration {
        self.0.map_or(UNKNOWN_LATENCY, Duration::from_secs_f64)
    }
}

/// A call that has started on a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartedCall {
    pub number: u64,
    pub priority: Priority,
    pub started: Instant,
    pub probe: bool,
}

impl Pool {
    pub fn new(name: &str, options: Rc<RouterOptions>) -> Self {
        let seed = options.seed ^ hash64(options.vm.as_bytes()) ^ hash64(name.as_bytes());
        Self {
            name: name.to_owned(),
            options,
            targets: Vec::new(),
            positions: HashMap::new(),
            subset: Subset::default(),
            slots: 1,
            rng: StdRng::seed_from_u64(seed),
            usual_others: 0.0,
            median_slowness: 1.0,
            first_byte: [Usual::default(); 3],
            token: Usual::default(),
            rollout_duration: None,
            checked_at: None,
            next_call: 0,
        }
    }

    /// Takes over the pool object; targets that remain keep their state.
    pub fn update(&mut self, spec: &TargetPool, members: &[RouteMember]) {
        self.slots = spec.slots_per_target.max(1);
        let mut old: HashMap<_, _> =
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
            let known = old.remove(&target_spec.id);
            let target = match known.filter(|known| known.is_same(target_spec, address)) {
                Some(known) => known,
                None => Rc::new(Target::new(target_spec, address)),
            };
            target.set_spec_state(target_spec.state);
            self.targets.push(target);
        }
        let ids = self.targets.iter().map(|target| target.id.clone());
        self.positions = ids.zip(0..).collect();
        self.update_subset(members);
    }

    /// Chooses the subset anew.
    pub fn update_subset(&mut self, members: &[RouteMember]) {
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

    pub fn find(&self, target: &str) -> Option<&Rc<Target>> {
        self.positions.get(target).map(|position| &self.targets[*position])
    }

    /// Returns the targets of the subset.
    pub fn subset_targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        let indexes = self.subset.local.iter().chain(&self.subset.remote);
        indexes.map(|index| &self.targets[*index])
    }

    pub fn load_report(&mut self, target: &str, report: &LoadReport, now: Instant) {
        let Some(target) = self.find(target) else { return };
        let others = {
            let mut state = target.state.borrow_mut();
            state.load.set_report(report, now);
            state.load.reported_others().unwrap_or(0.0)
        };
        let weight = 1.0 / (self.subset.local.len() + self.subset.remote.len()).max(1) as f64;
        self.usual_others += (others - self.usual_others) * weight;
    }

    pub fn start_call(
        &mut self,
        target: &Target,
        priority: Priority,
        probe: bool,
        now: Instant,
    ) -> StartedCall {
        let number = self.next_call;
        self.next_call += 1;
        let mut state = target.state.borrow_mut();
        if probe {
            state.health.start_probe(now);
        }
        state.health.call_started(number, self.first_byte[priority as usize].get(), now);
        StartedCall { number, priority, started: now, probe }
    }

    /// Takes note of a call's first byte.
    pub fn first_byte(&mut self, target: &Target, call: &StartedCall, now: Instant) {
        let latency = now.saturating_duration_since(call.started);
        let ratio = self.first_byte[call.priority as usize].record(latency);
        let mut state = target.state.borrow_mut();
        state.health.call_ended(call.number);
        self.record_latency(&mut state, ratio, latency, call.probe, now);
    }

    /// Takes note of the generation speed of a complete call.
    pub fn generated(&mut self, target: &Target, tokens: u64, duration: Duration, now: Instant) {
        if tokens < MIN_PACE_TOKENS {
            return;
        }
        let ratio = self.token.record(duration.div_f64(tokens as f64));
        let mut state = target.state.borrow_mut();
        self.record_latency(&mut state, ratio, duration, false, now);
    }

    fn record_latency(
        &self,
        state: &mut TargetState,
        ratio: f64,
        latency: Duration,
        probe: bool,
        now: Instant,
    ) {
        let health = &self.options.health;
        let limit = health.slow_factor * self.median_slowness.max(1.0);
        let ratio = if latency < health.slow_floor { ratio.min(1.0) } else { ratio };
        state.health.record_ratio(ratio, limit, now);
        if !probe || !state.health.is_ejected() {
            return;
        }
        if ratio <= limit {
            state.health.restore(now);
        } else {
            state.health.eject(health, 1.0, now);
        }
    }

    /// Takes note of how a call ended.
    pub fn finish(&mut self, target: &Target, call: &StartedCall, outcome: Outcome, now: Instant) {
        let mut state = target.state.borrow_mut();
        state.health.record_outcome(outcome);
        if outcome == Outcome::Leaving {
            state.marked_leaving = true;
        }
        let failed = matches!(outcome, Outcome::Failed | Outcome::Crashed | Outcome::TimedOut);
        if call.probe && failed && state.health.is_ejected() {
            state.health.eject(&self.options.health, 1.0, now);
        }
        if call.priority == Priority::Rollout && outcome == Outcome::Ok {
            let duration = now.saturating_duration_since(call.started);
            let mean = self.rollout_duration.unwrap_or(duration);
            self.rollout_duration = Some(mean.mul_f64(0.9) + duration.mul_f64(0.1));
        }
    }

    /// Ejects outliers, if a check is due.
    pub fn check_health(&mut self, now: Instant) {
        let interval = self.options.health.check_interval;
        if self.checked_at.is_some_and(|at| now.saturating_duration_since(at) < interval) {
            return;
        }
        self.checked_at = Some(now);
        self.update_median(now);
        let outliers = self.outliers(now);
        let present = self.subset_targets().filter(|t| !t.state.borrow().is_leaving());
        let (mut count, mut ejected) = (0, 0);
        for target in present {
            count += 1;
            ejected += usize::from(target.state.borrow().health.is_ejected());
        }
        let allowed = (count / 2_usize).saturating_sub(ejected);
        for target in outliers.into_iter().take(allowed) {
            let jitter = self.rng.random_range(0.8..1.2);
            let mut state = target.state.borrow_mut();
            state.health.eject(&self.options.health, jitter, now);
            log::info!(target: "route", "target ejected pool={} target={}", self.name, target.id);
        }
    }

    /// Takes the lower median over targets that have calls or recent responses. If all targets are
    /// slow or stalled it rises with them, so none is an outlier.
    fn update_median(&mut self, now: Instant) {
        let options = &self.options.health;
        let slowness = |target: &Rc<Target>| {
            let state = target.state.borrow();
            let waiting = state.health.oldest_waiting_ratio(now);
            match state.health.slowness(options, now) {
                Some(slowness) => Some(slowness.max(waiting)),
                None => (waiting > 0.0).then_some(waiting),
            }
        };
        let mut all: Vec<f64> = self.subset_targets().filter_map(slowness).collect();
        all.sort_unstable_by(f64::total_cmp);
        let middle = all.len().saturating_sub(1) / 2;
        self.median_slowness = all.get(middle).copied().unwrap_or(1.0).max(1e-3);
    }

    /// Returns the targets that should be ejected, the worst first.
    fn outliers(&self, now: Instant) -> Vec<Rc<Target>> {
        let options = &self.options.health;
        let rates = self.subset_targets().map(|t| t.state.borrow().health.error_rate());
        let (sum, count) = rates.fold((0.0, 0_u32), |(sum, n), rate| (sum + rate, n + 1));
        let pool_error_rate = sum / f64::from(count.max(1));
        // Nothing is slow in comparison with a median that is itself below the usual latency.
        let median = self.median_slowness.max(1.0);
        let mut outliers: Vec<_> = self
            .subset_targets()
            .filter_map(|target| {
                let state = target.state.borrow();
                let badness = state.health.outlier(options, median, pool_error_rate, now)?;
                state.is_usable().then(|| (badness, target.clone()))
            })
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0));
        outliers.into_iter().map(|(_, target)| target).collect()
    }
}
