//! Helpers shared by the routing tests.

#![allow(dead_code, reason = "not every test file uses every helper")]

use std::time::{Duration, Instant};

use deck_core::{
    object::{FencingCheck, PoolType, Target, TargetPool, TargetState},
    priority::Priority,
};
use deck_route::{
    HealthState, Outcome, Pick, PickRequest, Router, RouterOptions, RoutingVm, TargetStatus,
};

pub const POOL: &str = "engines";

/// Returns a pool with targets `t0`, `t1`, .. spread over data centres `dc0`, `dc1`, ..
pub fn pool(targets: usize, data_centres: usize, slots: u32) -> TargetPool {
    let target = |index: usize| Target {
        id: format!("t{index}"),
        address: format!("127.0.{}.{}:80", index / 250, index % 250 + 1),
        data_centre: format!("dc{}", index % data_centres),
        state: TargetState::Active,
    };
    TargetPool {
        pool_type: PoolType::Engine,
        model: Some("m".to_owned()),
        fencing: FencingCheck::Checked,
        slots_per_target: slots,
        serving_floor_percent: 50,
        idempotent_paths: Vec::new(),
        weight_store_address: None,
        weight_relays: Vec::new(),
        targets: (0..targets).map(target).collect(),
    }
}

/// Returns a router of VM `vm0` in `dc0` with one pool.
pub fn router(pool: &TargetPool) -> Router {
    let router = Router::new(options());
    router.update_pool(POOL, pool);
    router
}

pub fn options() -> RouterOptions {
    RouterOptions {
        vm: "vm0".to_owned(),
        data_centre: "dc0".to_owned(),
        ..RouterOptions::default()
    }
}

/// Returns VMs `vm0`, `vm1`, .. spread over data centres `dc0`, `dc1`, ..
pub fn members(vms: usize, data_centres: usize) -> Vec<RoutingVm> {
    let member = |index: usize| RoutingVm {
        vm: format!("vm{index}"),
        data_centre: format!("dc{}", index % data_centres),
    };
    (0..vms).map(member).collect()
}

pub fn request(priority: Priority, now: Instant) -> PickRequest<'static> {
    let expected_tokens = if priority == Priority::Rollout { 2000 } else { 50 };
    PickRequest {
        pool: POOL,
        expected_tokens,
        priority,
        affinity: None,
        exclude: &[],
        only: None,
        now,
    }
}

pub fn pick(router: &Router, priority: Priority, now: Instant) -> Pick {
    router.pick(&request(priority, now)).unwrap()
}

/// Simulates calls in virtual time. A call starts every 10 ms; its latency and outcome are given
/// by the `respond` function of [`run`](Self::run).
pub struct CallSimulation<'a> {
    pub router: &'a Router,
    pub now: Instant,
    running: Vec<RunningCall>,
}

struct RunningCall {
    end_at: Instant,
    outcome: Outcome,
    pick: Pick,
}

impl<'a> CallSimulation<'a> {
    pub fn new(router: &'a Router) -> Self {
        Self { router, now: Instant::now(), running: Vec::new() }
    }

    /// Starts `calls` calls and returns their targets. Calls whose latency has elapsed are ended.
    pub fn run(
        &mut self,
        calls: usize,
        mut respond: impl FnMut(&str, Instant) -> (Duration, Outcome),
    ) -> Vec<String> {
        let mut targets = Vec::new();
        for _ in 0..calls {
            self.now += Duration::from_millis(10);
            self.finish_due_calls();
            let pick = pick(self.router, Priority::Batch, self.now);
            let (latency, outcome) = respond(&pick.target, self.now);
            targets.push(pick.target.clone());
            self.running.push(RunningCall { end_at: self.now + latency, outcome, pick });
        }
        targets
    }

    fn finish_due_calls(&mut self) {
        self.running.sort_by_key(|running| running.end_at);
        let due_count = self.running.partition_point(|running| running.end_at <= self.now);
        for RunningCall { end_at, outcome, mut pick } in self.running.drain(..due_count) {
            if outcome == Outcome::Ok {
                pick.in_flight.record_first_byte(end_at);
            }
            pick.in_flight.finish(outcome, 10, end_at);
        }
    }
}

/// Returns the status of a target, which must be in the subset of the router's VM.
pub fn target_status(router: &Router, target: &str) -> TargetStatus {
    router.targets(POOL).into_iter().find(|status| status.target == target).unwrap()
}

pub fn is_ejected(router: &Router, target: &str) -> bool {
    target_status(router, target).health != HealthState::Healthy
}

pub fn ejected_count(router: &Router) -> usize {
    let statuses = router.targets(POOL);
    statuses.iter().filter(|status| status.health != HealthState::Healthy).count()
}

/// Returns how many of the calls, given by their targets, went to `target`.
pub fn count_calls(targets: &[String], target: &str) -> usize {
    targets.iter().filter(|other| *other == target).count()
}
