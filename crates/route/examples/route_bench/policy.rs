//! Policies under comparison: the chosen one and two baselines.

use std::time::Instant;

use deck_core::{
    error::CallError,
    object::{
        FencingCheck, OrganisationShare, PoolShare, PoolType, Target, TargetPool, TargetState,
    },
    priority::Priority,
};
use deck_limit::{
    Admission, AdmissionOptions, AdmitRequest, NamedShare, Permit, PoolCapacity, Published,
};
use deck_route::{InFlightGuard, LoadReport, PickRequest, RouteMember, Router, RouterOptions};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::model::{Job, Setup};

/// Name of the pool in all runs.
pub const POOL: &str = "p";

/// Which target choice a run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The router of this crate.
    Chosen,
    /// A random target.
    Random,
    /// The target with the fewest calls of the same VM in flight.
    LeastInFlight,
}

impl Choice {
    /// All, the baselines last.
    pub const ALL: [Self; 3] = [Self::Chosen, Self::Random, Self::LeastInFlight];

    pub fn name(self) -> &'static str {
        match self {
            Self::Chosen => "chosen",
            Self::Random => "random",
            Self::LeastInFlight => "least_in_flight",
        }
    }
}

/// Target choice and admission of all VMs in a run.
pub struct Policy {
    choice: Choice,
    routers: Vec<Router>,
    /// VMs whose subset has the target; only these poll its load.
    pollers: Vec<Vec<usize>>,
    in_flight: Vec<Vec<u32>>,
    admissions: Vec<Admission>,
    targets: usize,
    rng: StdRng,
}

/// Returns the pool object of a setup.
pub fn pool(setup: &Setup) -> TargetPool {
    let target = |index: usize| Target {
        id: format!("t{index}"),
        address: format!("127.0.0.1:{}", index + 1),
        data_centre: format!("dc{}", index % setup.data_centres),
        state: TargetState::Active,
    };
    TargetPool {
        pool_type: PoolType::Engine,
        model: Some("m".to_owned()),
        fencing: FencingCheck::Checked,
        slots_per_target: setup.slots,
        serving_floor_percent: 50,
        idempotent_paths: Vec::new(),
        weight_store_address: None,
        weight_relays: Vec::new(),
        targets: (0..setup.targets).map(target).collect(),
    }
}

impl Policy {
    pub fn new(choice: Choice, setup: &Setup, shares: Option<[u32; 2]>) -> Self {
        let names: Vec<_> = (0..setup.vms).map(|vm| format!("vm{vm}")).collect();
        let routers = if choice == Choice::Chosen { routers(setup, &names) } else { Vec::new() };
        let admissions = shares.map(|shares| admissions(setup, &names, shares));
        Self {
            choice,
            pollers: pollers(setup, &routers),
            routers,
            in_flight: vec![vec![0; setup.targets]; setup.vms],
            admissions: admissions.unwrap_or_default(),
            targets: setup.targets,
            rng: StdRng::seed_from_u64(setup.seed ^ 0x9_0110),
        }
    }

    /// Returns the admission of a VM.
    pub fn admission(&self, vm: usize) -> &Admission {
        &self.admissions[vm]
    }

    /// Admits a call; `None` in a run without admission.
    pub fn admit(
        &self,
        job: &Job,
        now: Instant,
        deadline: Instant,
    ) -> Result<Option<Permit>, CallError> {
        let Some(admission) = self.admissions.get(job.vm) else { return Ok(None) };
        let request = AdmitRequest {
            pool: POOL,
            organisation: ["a", "b"][job.organisation],
            cost_tokens: job.expected_tokens,
            priority: job.priority,
            deadline,
            now,
        };
        admission.admit(&request).map(Some)
    }

    /// Chooses a target other than `exclude`.
    pub fn pick(
        &mut self,
        job: &Job,
        exclude: Option<usize>,
        now: Instant,
    ) -> Option<(usize, Option<InFlightGuard>)> {
        let target = match self.choice {
            Choice::Chosen => return self.pick_chosen(job, exclude, now),
            Choice::Random => loop {
                let target = self.rng.random_range(0..self.targets);
                if Some(target) != exclude {
                    break target;
                }
            },
            Choice::LeastInFlight => {
                let counts = &self.in_flight[job.vm];
                let start = self.rng.random_range(0..self.targets);
                let order = (0..self.targets).map(|offset| (start + offset) % self.targets);
                order.filter(|t| Some(*t) != exclude).min_by_key(|target| counts[*target])?
            }
        };
        self.in_flight[job.vm][target] += 1;
        Some((target, None))
    }

    fn pick_chosen(
        &mut self,
        job: &Job,
        exclude: Option<usize>,
        now: Instant,
    ) -> Option<(usize, Option<InFlightGuard>)> {
        let exclude: Vec<_> = exclude.map(|target| format!("t{target}")).into_iter().collect();
        let request = PickRequest {
            pool: POOL,
            expected_tokens: job.expected_tokens,
            priority: job.priority,
            affinity: None,
            exclude: &exclude,
            now,
        };
        let pick = self.routers[job.vm].pick(&request).ok()?;
        Some((number(&pick.target), Some(pick.in_flight)))
    }

    /// Takes note of the end of an attempt; the chosen policy has its guards for that.
    pub fn ended(&mut self, job: &Job, target: usize) {
        if self.choice != Choice::Chosen {
            self.in_flight[job.vm][target] -= 1;
        }
    }

    pub fn report(&self, target: usize, report: LoadReport, now: Instant) {
        let name = format!("t{target}");
        for vm in &self.pollers[target] {
            self.routers[*vm].load_report(POOL, &name, report, now);
        }
    }

    /// Exchanges demand reports among all VMs.
    pub fn exchange(&self, now: Instant) {
        let reports: Vec<_> = self
            .admissions
            .iter()
            .enumerate()
            .map(|(vm, admission)| Published {
                vm: format!("vm{vm}"),
                data_centre: String::new(),
                incarnation: 1,
                value: admission.demand_report(now),
                age: std::time::Duration::ZERO,
            })
            .collect();
        self.admissions.iter().for_each(|admission| admission.apply_reports(&reports, now));
    }
}

fn pollers(setup: &Setup, routers: &[Router]) -> Vec<Vec<usize>> {
    let mut pollers = vec![Vec::new(); setup.targets];
    for (vm, router) in routers.iter().enumerate() {
        for view in router.targets(POOL) {
            pollers[number(&view.target)].push(vm);
        }
    }
    pollers
}

fn number(target: &str) -> usize {
    target[1..].parse().expect("targets are numbered")
}

fn routers(setup: &Setup, names: &[String]) -> Vec<Router> {
    let data_centre = |vm: usize| format!("dc{}", vm % setup.data_centres);
    let members: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(vm, name)| RouteMember { vm: name.clone(), data_centre: data_centre(vm) })
        .collect();
    let pool = pool(setup);
    let router = |member: &RouteMember| {
        let (vm, data_centre) = (member.vm.clone(), member.data_centre.clone());
        let options =
            RouterOptions { vm, data_centre, seed: setup.seed, ..RouterOptions::default() };
        let router = Router::new(options);
        router.set_members(members.clone());
        router.update_pool(POOL, &pool);
        router
    };
    members.iter().map(router).collect()
}

fn admissions(setup: &Setup, names: &[String], shares: [u32; 2]) -> Vec<Admission> {
    let share = |organisation: &str, share_percent| NamedShare {
        organisation: organisation.to_owned(),
        share: OrganisationShare {
            shares: vec![PoolShare { pool: POOL.to_owned(), share_percent }],
        },
    };
    let shares = [share("a", shares[0]), share("b", shares[1])];
    let admission = |vm: &String| {
        let options = AdmissionOptions { vm: vm.clone(), ..AdmissionOptions::default() };
        let admission = Admission::new(options);
        let slots = setup.targets as u32 * setup.slots;
        admission.set_capacity(POOL, PoolCapacity { slots });
        admission.set_shares(&shares);
        admission.set_members(names);
        admission
    };
    names.iter().map(admission).collect()
}

/// Workload of a run.
pub struct Workload {
    pub calls_per_s: f64,
    /// Part of the calls that are rollouts.
    pub long_part: f64,
    pub short_deadline_s: f64,
    /// Part of the calls that belong to the first organisation.
    pub first_organisation_part: f64,
    /// VMs that send rollouts; the others only have interactive calls.
    pub rollout_vms: usize,
}

/// Mean tokens of interactive calls and of rollouts.
pub const SHORT_TOKENS: f64 = 50.0;
pub const LONG_TOKENS: f64 = 2000.0;

/// Returns the calls of a run in order of arrival.
pub fn jobs(setup: &Setup, workload: &Workload) -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(setup.seed);
    let mut jobs = Vec::new();
    let mut arrival_s = 0.0;
    loop {
        arrival_s += exponential(&mut rng) / workload.calls_per_s;
        if arrival_s >= setup.duration_s {
            return jobs;
        }
        let long = rng.random_bool(workload.long_part);
        let priority = if long { Priority::Rollout } else { Priority::Interactive };
        // Rollout lengths vary widely: a few stragglers are many times longer than the mean.
        let (mean, spread) = if long {
            (LONG_TOKENS, 0.3 + 0.7 * exponential(&mut rng).min(8.0))
        } else {
            (SHORT_TOKENS, rng.random_range(0.4..1.6))
        };
        let tokens = (mean * spread).max(1.0) as u32;
        let error: f64 = rng.random_range(-1.0..1.0);
        let vms = if long { workload.rollout_vms } else { setup.vms };
        jobs.push(Job {
            arrival_s,
            vm: rng.random_range(0..vms),
            organisation: usize::from(!rng.random_bool(workload.first_organisation_part)),
            priority,
            tokens,
            expected_tokens: (f64::from(tokens) * error.exp2()).max(1.0) as u64,
            deadline_s: if long { 240.0 } else { workload.short_deadline_s },
        });
    }
}

fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
