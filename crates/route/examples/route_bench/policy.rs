//! Routing policies under comparison: the router of this crate and two baselines.

use std::time::Instant;

use deck_core::{
    error::CallError,
    object::{
        FencingCheck, OrganisationShare, PoolShare, PoolType, Target, TargetPool, TargetState,
    },
    priority::Priority,
};
use deck_limit::{
    Admission, AdmissionOptions, AdmitRequest, DemandReport, Permit, PoolCapacity, ShareAssignment,
};
use deck_route::{InFlightGuard, LoadReport, PickRequest, Router, RouterOptions, RoutingVm};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::model::{SimulatedCall, SimulationConfig};

/// Name of the pool in all simulation runs.
pub const POOL: &str = "p";

/// Policy by which targets are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// The router of this crate.
    Router,
    /// A random target.
    Random,
    /// The target with the fewest calls in flight from the same VM.
    LeastInFlight,
}

impl PolicyKind {
    /// All policies, the baselines last.
    pub const ALL: [Self; 3] = [Self::Router, Self::Random, Self::LeastInFlight];

    /// Returns the name that is printed for the policy.
    pub fn name(self) -> &'static str {
        match self {
            Self::Router => "chosen",
            Self::Random => "random",
            Self::LeastInFlight => "least_in_flight",
        }
    }
}

/// Target selection and admission control of all VMs in a simulation run.
pub struct Policy {
    kind: PolicyKind,
    routers: Vec<Router>,
    /// VMs whose subset contains the target, by target; only these receive its load reports.
    subset_vms: Vec<Vec<usize>>,
    /// Calls in flight by VM and target, counted for the baselines.
    in_flight: Vec<Vec<u32>>,
    /// Admission control of each VM; empty if the run has none.
    admission_by_vm: Vec<Admission>,
    targets: usize,
    rng: StdRng,
}

/// Returns the pool object of a simulated deployment.
pub fn pool(config: &SimulationConfig) -> TargetPool {
    let target = |index: usize| Target {
        id: format!("t{index}"),
        address: format!("127.0.0.1:{}", index + 1),
        data_centre: format!("dc{}", index % config.data_centres),
        state: TargetState::Active,
    };
    TargetPool {
        pool_type: PoolType::Engine,
        model: Some("m".to_owned()),
        fencing: FencingCheck::Checked,
        slots_per_target: config.slots,
        serving_floor_percent: 50,
        idempotent_paths: Vec::new(),
        weight_store_address: None,
        weight_relays: Vec::new(),
        targets: (0..config.targets).map(target).collect(),
    }
}

impl Policy {
    pub fn new(kind: PolicyKind, config: &SimulationConfig, shares: Option<[u32; 2]>) -> Self {
        let names: Vec<_> = (0..config.vms).map(|vm| format!("vm{vm}")).collect();
        let routers = if kind == PolicyKind::Router { routers(config, &names) } else { Vec::new() };
        let admission_by_vm = shares.map(|shares| admission_controls(config, &names, shares));
        Self {
            kind,
            subset_vms: subset_vms(config, &routers),
            routers,
            in_flight: vec![vec![0; config.targets]; config.vms],
            admission_by_vm: admission_by_vm.unwrap_or_default(),
            targets: config.targets,
            rng: StdRng::seed_from_u64(config.seed ^ 0x9_0110),
        }
    }

    /// Returns the admission control of a VM.
    pub fn admission(&self, vm: usize) -> &Admission {
        &self.admission_by_vm[vm]
    }

    /// Admits a call; returns `None` if the run has no admission control.
    pub fn admit(
        &self,
        call: &SimulatedCall,
        now: Instant,
        deadline: Instant,
    ) -> Result<Option<Permit>, CallError> {
        let Some(admission) = self.admission_by_vm.get(call.vm) else { return Ok(None) };
        let request = AdmitRequest {
            pool: POOL,
            organisation: ["a", "b"][call.organisation],
            cost_tokens: call.expected_tokens,
            priority: call.priority,
            deadline,
            now,
        };
        admission.admit(&request).map(Some)
    }

    /// Selects a target other than `exclude`.
    pub fn pick(
        &mut self,
        call: &SimulatedCall,
        exclude: Option<usize>,
        now: Instant,
    ) -> Option<(usize, Option<InFlightGuard>)> {
        let target = match self.kind {
            PolicyKind::Router => return self.pick_with_router(call, exclude, now),
            PolicyKind::Random => loop {
                let target = self.rng.random_range(0..self.targets);
                if Some(target) != exclude {
                    break target;
                }
            },
            PolicyKind::LeastInFlight => {
                let counts = &self.in_flight[call.vm];
                let start = self.rng.random_range(0..self.targets);
                let candidates = (0..self.targets).map(|offset| (start + offset) % self.targets);
                candidates.filter(|t| Some(*t) != exclude).min_by_key(|target| counts[*target])?
            }
        };
        self.in_flight[call.vm][target] += 1;
        Some((target, None))
    }

    fn pick_with_router(
        &mut self,
        call: &SimulatedCall,
        exclude: Option<usize>,
        now: Instant,
    ) -> Option<(usize, Option<InFlightGuard>)> {
        let exclude: Vec<_> = exclude.map(|target| format!("t{target}")).into_iter().collect();
        let request = PickRequest {
            pool: POOL,
            expected_tokens: call.expected_tokens,
            priority: call.priority,
            affinity: None,
            exclude: &exclude,
            only: None,
            now,
        };
        let pick = self.routers[call.vm].pick(&request).ok()?;
        Some((target_index(&pick.target), Some(pick.in_flight)))
    }

    /// Updates the in-flight counts of the baselines; the router uses in-flight guards instead.
    pub fn attempt_ended(&mut self, call: &SimulatedCall, target: usize) {
        if self.kind != PolicyKind::Router {
            self.in_flight[call.vm][target] -= 1;
        }
    }

    /// Delivers a target's load report to the VMs that use the target.
    pub fn report(&self, target: usize, report: LoadReport, now: Instant) {
        let name = format!("t{target}");
        for vm in &self.subset_vms[target] {
            self.routers[*vm].record_load_report(POOL, &name, report, now);
        }
    }

    /// Exchanges the demand reports of all VMs.
    pub fn exchange_demand_reports(&self, now: Instant) {
        let reports: Vec<_> = self
            .admission_by_vm
            .iter()
            .enumerate()
            .map(|(vm, admission)| DemandReport {
                vm: format!("vm{vm}"),
                data_centre: String::new(),
                incarnation: 1,
                value: admission.next_demand_report(now),
                age: std::time::Duration::ZERO,
            })
            .collect();
        self.admission_by_vm.iter().for_each(|admission| admission.apply_reports(&reports, now));
    }
}

/// Returns the VMs whose subset contains the target, by target.
fn subset_vms(config: &SimulationConfig, routers: &[Router]) -> Vec<Vec<usize>> {
    let mut subset_vms = vec![Vec::new(); config.targets];
    for (vm, router) in routers.iter().enumerate() {
        for view in router.targets(POOL) {
            subset_vms[target_index(&view.target)].push(vm);
        }
    }
    subset_vms
}

fn target_index(target: &str) -> usize {
    target[1..].parse().expect("targets are numbered")
}

fn routers(config: &SimulationConfig, names: &[String]) -> Vec<Router> {
    let data_centre = |vm: usize| format!("dc{}", vm % config.data_centres);
    let members: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(vm, name)| RoutingVm { vm: name.clone(), data_centre: data_centre(vm) })
        .collect();
    let pool = pool(config);
    let router = |member: &RoutingVm| {
        let (vm, data_centre) = (member.vm.clone(), member.data_centre.clone());
        let options =
            RouterOptions { vm, data_centre, seed: config.seed, ..RouterOptions::default() };
        let router = Router::new(options);
        router.set_members(members.clone());
        router.update_pool(POOL, &pool);
        router
    };
    members.iter().map(router).collect()
}

fn admission_controls(
    config: &SimulationConfig,
    names: &[String],
    shares: [u32; 2],
) -> Vec<Admission> {
    let share = |organisation: &str, share_percent| ShareAssignment {
        organisation: organisation.to_owned(),
        share: OrganisationShare {
            shares: vec![PoolShare { pool: POOL.to_owned(), share_percent }],
        },
    };
    let shares = [share("a", shares[0]), share("b", shares[1])];
    let admission = |vm: &String| {
        let options = AdmissionOptions { vm: vm.clone(), ..AdmissionOptions::default() };
        let admission = Admission::new(options);
        let slots = config.targets as u32 * config.slots;
        admission.set_capacity(POOL, PoolCapacity { slots });
        admission.set_shares(&shares);
        admission.set_members(names);
        admission
    };
    names.iter().map(admission).collect()
}

/// Parameters of a generated workload.
pub struct Workload {
    pub calls_per_s: f64,
    /// Fraction of calls that are rollouts.
    pub rollout_fraction: f64,
    pub interactive_deadline_s: f64,
    /// Fraction of calls that belong to the first organisation.
    pub first_organisation_fraction: f64,
    /// Number of VMs that send rollouts; the others send only interactive calls.
    pub rollout_vms: usize,
}

/// Mean generated tokens of an interactive call and of a rollout.
pub const MEAN_INTERACTIVE_TOKENS: f64 = 50.0;
pub const MEAN_ROLLOUT_TOKENS: f64 = 2000.0;

/// Generates the calls of a run in order of arrival.
pub fn generate_calls(config: &SimulationConfig, workload: &Workload) -> Vec<SimulatedCall> {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let mut calls = Vec::new();
    let mut arrival_s = 0.0;
    loop {
        arrival_s += exponential(&mut rng) / workload.calls_per_s;
        if arrival_s >= config.duration_s {
            return calls;
        }
        let is_rollout = rng.random_bool(workload.rollout_fraction);
        let priority = if is_rollout { Priority::Rollout } else { Priority::Interactive };
        // Rollout lengths have a long tail: a few are many times longer than the mean.
        let (mean, length_factor) = if is_rollout {
            (MEAN_ROLLOUT_TOKENS, 0.3 + 0.7 * exponential(&mut rng).min(8.0))
        } else {
            (MEAN_INTERACTIVE_TOKENS, rng.random_range(0.4..1.6))
        };
        let tokens = (mean * length_factor).max(1.0) as u32;
        let log2_error: f64 = rng.random_range(-1.0..1.0);
        let vms = if is_rollout { workload.rollout_vms } else { config.vms };
        calls.push(SimulatedCall {
            arrival_s,
            vm: rng.random_range(0..vms),
            organisation: usize::from(!rng.random_bool(workload.first_organisation_fraction)),
            priority,
            tokens,
            expected_tokens: (f64::from(tokens) * log2_error.exp2()).max(1.0) as u64,
            deadline_s: if is_rollout { 240.0 } else { workload.interactive_deadline_s },
        });
    }
}

/// Returns a sample of the exponential distribution with mean 1.
fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
