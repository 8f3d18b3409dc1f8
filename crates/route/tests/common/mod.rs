//! Helpers of the routing tests.

#![allow(dead_code, reason = "not every test file uses every helper")]

use std::time::{Duration, Instant};

use deck_core::{
    object::{FencingCheck, PoolType, Target, TargetPool, TargetState},
    priority::Priority,
};
use deck_route::{
    HealthState, Outcome, Pick, PickRequest, RouteMember, Router, RouterOptions, TargetStatus,
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

/// Returns a router of VM `vm0` in `dc0` that knows the pool.
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

/// Returns VMs `vm0`, `vm1`, .. spread over data centres.
pub fn members(vms: usize, data_centres: usize) -> Vec<RouteMember> {
    let member = |index: usize| RouteMember {
        vm: format!("vm{index}"),
        data_centre: format!("dc{}", index % data_centres),
    };
    (0..vms).map(member).collect()
}

pub fn request(priority: Priority, now: Instant) -> PickRequest<'static> {
    let expected_tokens = if priority == Priority::Rollout { 2000 } else { 50 };
    PickRequest { pool: POOL, expected_tokens, priority, affinity: None, exclude: &[], now }
}

pub fn pick(router: &Router, priority: Priority, now: Instant) -> Pick {
    router.pick(&request(priority, now)).unwrap()
}

/// Calls in virtual time, one started every 10 ms, whose latency `answer` gives by target.
pub struct Calls<'a> {
    pub router: &'a Router,
    pub now: Instant,
    running: Vec<Running>,
}

struct Running {
    end: Instant,
    outcome: Outcome,
    pick: Pick,
}

impl<'a> Calls<'a> {
    pub fn new(router: &'a Router) -> Self {
        Self { router, now: Instant::now(), running: Vec::new() }
    }

    /// Starts calls and returns their targets; calls that are due have ended.
    pub fn run(
        &mut self,
        calls: usize,
        mut answer: impl FnMut(&str, Instant) -> (Duration, Outcome),
    ) -> Vec<String> {
        let mut targets = Vec::new();
        for _ in 0..calls {
            self.now += Duration::from_millis(10);
            self.end_due_calls();
            let pick = pick(self.router, Priority::Batch, self.now);
            let (latency, outcome) = answer(&pick.target, self.now);
            targets.push(pick.target.clone());
            self.running.push(Running { end: self.now + latency, outcome, pick });
        }
        targets
    }

    fn end_due_calls(&mut self) {
        self.running.sort_by_key(|running| running.end);
        let due = self.running.partition_point(|running| running.end <= self.now);
        for Running { end, outcome, mut pick } in self.running.drain(..due) {
            if outcome == Outcome::Ok {
                pick.in_flight.first_byte(end);
            }
            pick.in_flight.finish(outcome, 10, end);
        }
    }
}

pub fn view(router: &Router, target: &str) -> TargetStatus {
    router.targets(POOL).into_iter().find(|view| view.target == target).unwrap()
}

pub fn is_ejected(router: &Router, target: &str) -> bool {
    view(router, target).health != HealthState::Healthy
}

pub fn ejected(router: &Router) -> usize {
    let views = router.targets(POOL);
    views.iter().filter(|view| view.health != HealthState::Healthy).count()
}

pub fn count(targets: &[String], target: &str) -> usize {
    targets.iter().filter(|other| *other == target).count()
}
