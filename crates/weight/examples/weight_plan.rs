//! Simulates a weight update in virtual time at the size the system is designed for.
//!
//! Runs the real planner against simple target models. Prints how long it takes until all targets
//! serve a new version, with the weight store alone and with relays, and how much of that follows
//! after all targets have staged it. The random seed is fixed. The transfer and switch times are
//! assumptions and are printed with the results.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_weight::{
    engine::{EngineRole, EngineState, SwapState},
    planner::{
        EngineOrder, ObservedTarget, PendingOrder, PlannerOptions, PlanningInput, plan_orders,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const RANDOM_SEED: u64 = 7;
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Assumed duration of one weight transfer to a target from a source with free slots, in seconds.
const TRANSFER_S: f64 = 3.0;
/// Assumed time during which a target does not serve while it switches, in seconds.
const SWITCH_S: f64 = 2.0;
/// Assumed share of switches that fail.
const FAILURE_RATE: f64 = 0.002;

/// Target whose orders take an assumed time to complete.
struct SimulatedTarget {
    state: EngineState,
    busy_until: Option<Instant>,
    order: Option<EngineOrder>,
}

/// Result of one simulated weight update.
struct SimulationResult {
    /// Time from the start until all targets serve the new version, in seconds.
    total_s: f64,
    /// Time from the start until all targets have staged the new version, in seconds.
    staged_s: f64,
    /// Smallest percentage of the targets that served at any time.
    lowest_serving_percent: f64,
    /// Mean computation time of one planning round, in milliseconds.
    plan_ms_per_round: f64,
}

fn main() {
    println!(
        "seed={RANDOM_SEED} transfer_s={TRANSFER_S} switch_s={SWITCH_S} failure_rate={FAILURE_RATE}"
    );
    for targets in [10, 600, 4200] {
        for relays in [0_u16, 8, 64, 256] {
            let result = simulate(targets, relays);
            println!(
                "targets={targets} relays={relays} total={:.1} s staged={:.1} s \
                 staged_to_serving={:.1} s lowest_serving={:.0} % plan={:.2} ms/round",
                result.total_s,
                result.staged_s,
                result.total_s - result.staged_s,
                result.lowest_serving_percent,
                result.plan_ms_per_round,
            );
        }
    }
}

/// Updates `target_count` targets from version 1 to version 2 in virtual time.
fn simulate(target_count: usize, relays: u16) -> SimulationResult {
    let mut rng = StdRng::seed_from_u64(RANDOM_SEED);
    let sources: Vec<_> =
        (0..=relays).map(|index| SocketAddr::from(([127, 0, 0, 1], 1000 + index))).collect();
    let options = PlannerOptions::default();
    let started_at = Instant::now();
    let mut now = started_at;
    let mut targets: Vec<_> = (0..target_count).map(|_| SimulatedTarget::new()).collect();
    let mut pending_orders: HashMap<String, PendingOrder> = HashMap::new();
    let mut all_staged_at = None;
    let mut min_serving = target_count;
    let (mut planning_time, mut rounds) = (Duration::ZERO, 0_u32);
    while targets.iter().any(|target| target.state.weight_version != 2 || !target.is_serving()) {
        for (index, target) in targets.iter_mut().enumerate() {
            if target.complete_due_order(now, &mut rng) {
                pending_orders.remove(&format!("t{index}"));
            }
        }
        if all_staged_at.is_none() && targets.iter().all(|target| target.has_new_version()) {
            all_staged_at = Some(now);
        }
        let observed_targets: Vec<_> = targets
            .iter()
            .enumerate()
            .map(|(index, target)| ObservedTarget {
                id: format!("t{index}"),
                state: Some(target.state.clone()),
                unreachable_since: None,
            })
            .collect();
        let planning_input = PlanningInput {
            targets: &observed_targets,
            desired_version: 2,
            sources: &sources,
            pending_orders: &pending_orders,
            now,
        };
        let planning_started_at = Instant::now();
        let orders = plan_orders(&planning_input, &options);
        planning_time += planning_started_at.elapsed();
        rounds += 1;
        for (id, order) in orders {
            let index: usize = id[1..].parse().unwrap_or_default();
            targets[index].start_order(order.clone(), now);
            pending_orders.insert(id, PendingOrder { order, sent_at: now });
        }
        min_serving = min_serving.min(targets.iter().filter(|target| target.is_serving()).count());
        now += ROUND_INTERVAL;
    }
    SimulationResult {
        total_s: (now - started_at).as_secs_f64(),
        staged_s: (all_staged_at.unwrap_or(now) - started_at).as_secs_f64(),
        lowest_serving_percent: 100.0 * min_serving as f64 / target_count as f64,
        plan_ms_per_round: planning_time.as_secs_f64() * 1000.0 / f64::from(rounds),
    }
}

impl SimulatedTarget {
    fn new() -> Self {
        let state = EngineState {
            incarnation: 1,
            model: "m".to_owned(),
            weight_version: 1,
            staged_version: None,
            role: EngineRole::Serving,
            swap_state: SwapState::Idle,
            fencing: 0,
            running: 0,
        };
        Self { state, busy_until: None, order: None }
    }

    fn is_serving(&self) -> bool {
        self.state.role == EngineRole::Serving && self.state.swap_state != SwapState::Switching
    }

    fn has_new_version(&self) -> bool {
        self.state.staged_version == Some(2) || self.state.weight_version == 2
    }

    fn start_order(&mut self, order: EngineOrder, now: Instant) {
        let duration_s = match &order {
            EngineOrder::Stage { .. } => {
                self.state.swap_state = SwapState::Staging;
                TRANSFER_S
            }
            EngineOrder::Switch { .. } => {
                self.state.swap_state = SwapState::Switching;
                SWITCH_S
            }
            EngineOrder::Drain | EngineOrder::Serve => 0.0,
        };
        self.busy_until = Some(now + Duration::from_secs_f64(duration_s));
        self.order = Some(order);
    }

    /// Completes the current order if its duration has passed; returns whether it did.
    fn complete_due_order(&mut self, now: Instant, rng: &mut StdRng) -> bool {
        if self.busy_until.is_none_or(|until| until > now) {
            return false;
        }
        self.busy_until = None;
        match self.order.take() {
            Some(EngineOrder::Stage { version, .. }) => {
                self.state.staged_version = Some(version);
                self.state.swap_state = SwapState::Idle;
            }
            Some(EngineOrder::Switch { .. }) if rng.random_bool(FAILURE_RATE) => {
                self.state.staged_version = None;
                self.state.swap_state = SwapState::Failed;
            }
            Some(EngineOrder::Switch { version }) => {
                self.state.weight_version = version;
                self.state.swap_state = SwapState::Idle;
            }
            Some(EngineOrder::Drain) => self.state.role = EngineRole::Drained,
            Some(EngineOrder::Serve) => self.state.role = EngineRole::Serving,
            None => {}
        }
        true
    }
}
