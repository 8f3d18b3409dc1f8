//! Measures the weight rollout planner in virtual time at the design size.
//!
//! Runs the real planner against small models of targets and prints how long it takes until all
//! targets serve a new version, with the weight store alone and with relays, and how long from the
//! moment at which all targets have staged it. Seeds are fixed. The transfer and switch times are
//! assumptions, printed with the figures.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_weight::{
    engine::{EngineState, Role, SwapState},
    plan::{Order, PendingOrder, PlanInput, PlanOptions, TargetView, plan},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEED: u64 = 7;
const ROUND: Duration = Duration::from_millis(250);
/// Assumed time of one transfer of weights to a target from a source with free slots.
const TRANSFER_S: f64 = 3.0;
/// Assumed time for which a target does not serve while it switches.
const SWITCH_S: f64 = 2.0;
/// Assumed part of the swaps that fail.
const FAILURE_RATE: f64 = 0.002;

struct Model {
    state: EngineState,
    busy_until: Option<Instant>,
    order: Option<Order>,
}

struct Outcome {
    total_s: f64,
    staged_s: f64,
    lowest_serving_percent: f64,
    plan_ms_per_round: f64,
}

fn main() {
    println!("seed={SEED} transfer_s={TRANSFER_S} switch_s={SWITCH_S} failure_rate={FAILURE_RATE}");
    for targets in [10, 600, 4200] {
        for relays in [0_u16, 8, 64, 256] {
            let outcome = simulate(targets, relays);
            println!(
                "targets={targets} relays={relays} total={:.1} s staged={:.1} s \
                 staged_to_serving={:.1} s lowest_serving={:.0} % plan={:.2} ms/round",
                outcome.total_s,
                outcome.staged_s,
                outcome.total_s - outcome.staged_s,
                outcome.lowest_serving_percent,
                outcome.plan_ms_per_round,
            );
        }
    }
}

fn simulate(count: usize, relays: u16) -> Outcome {
    let mut random = StdRng::seed_from_u64(SEED);
    let sources: Vec<_> =
        (0..=relays).map(|index| SocketAddr::from(([127, 0, 0, 1], 1000 + index))).collect();
    let options = PlanOptions::default();
    let start = Instant::now();
    let mut now = start;
    let mut models: Vec<_> = (0..count).map(|_| Model::new()).collect();
    let mut pending: HashMap<String, PendingOrder> = HashMap::new();
    let mut staged_at = None;
    let mut lowest_serving = count;
    let (mut plan_time, mut rounds) = (Duration::ZERO, 0_u32);
    while models.iter().any(|model| model.state.weight_version != 2 || !model.is_serving()) {
        for (index, model) in models.iter_mut().enumerate() {
            if model.finish(now, &mut random) {
                pending.remove(&format!("t{index}"));
            }
        }
        if staged_at.is_none() && models.iter().all(|model| model.has_version()) {
            staged_at = Some(now);
        }
        let views: Vec<_> = models
            .iter()
            .enumerate()
            .map(|(index, model)| TargetView {
                id: format!("t{index}"),
                state: Some(model.state.clone()),
                unreachable_since: None,
            })
            .collect();
        let input =
            PlanInput { targets: &views, desired: 2, sources: &sources, pending: &pending, now };
        let started = Instant::now();
        let orders = plan(&input, &options);
        plan_time += started.elapsed();
        rounds += 1;
        for (id, order) in orders {
            let index: usize = id[1..].parse().unwrap_or_default();
            models[index].start(order.clone(), now);
            pending.insert(id, PendingOrder { order, since: now });
        }
        lowest_serving = lowest_serving.min(models.iter().filter(|m| m.is_serving()).count());
        now += ROUND;
    }
    Outcome {
        total_s: (now - start).as_secs_f64(),
        staged_s: (staged_at.unwrap_or(now) - start).as_secs_f64(),
        lowest_serving_percent: 100.0 * lowest_serving as f64 / count as f64,
        plan_ms_per_round: plan_time.as_secs_f64() * 1000.0 / f64::from(rounds),
    }
}

impl Model {
    fn new() -> Self {
        let state = EngineState {
            incarnation: 1,
            model: "m".to_owned(),
            weight_version: 1,
            staged_version: None,
            role: Role::Serving,
            swap_state: SwapState::Idle,
            fencing: 0,
            running: 0,
        };
        Self { state, busy_until: None, order: None }
    }

    fn is_serving(&self) -> bool {
        self.state.role == Role::Serving && self.state.swap_state != SwapState::Switching
    }

    fn has_version(&self) -> bool {
        self.state.staged_version == Some(2) || self.state.weight_version == 2
    }

    fn start(&mut self, order: Order, now: Instant) {
        let duration_s = match &order {
            Order::Stage { .. } => {
                self.state.swap_state = SwapState::Staging;
                TRANSFER_S
            }
            Order::Switch { .. } => {
                self.state.swap_state = SwapState::Switching;
                SWITCH_S
            }
            Order::Drain | Order::Serve => 0.0,
        };
        self.busy_until = Some(now + Duration::from_secs_f64(duration_s));
        self.order = Some(order);
    }

    /// Completes the current order if its time has come.
    fn finish(&mut self, now: Instant, random: &mut StdRng) -> bool {
        if self.busy_until.is_none_or(|until| until > now) {
            return false;
        }
        self.busy_until = None;
        match self.order.take() {
            Some(Order::Stage { version, .. }) => {
                self.state.staged_version = Some(version);
                self.state.swap_state = SwapState::Idle;
            }
            Some(Order::Switch { .. }) if random.random_bool(FAILURE_RATE) => {
                self.state.staged_version = None;
                self.state.swap_state = SwapState::Failed;
            }
            Some(Order::Switch { version }) => {
                self.state.weight_version = version;
                self.state.swap_state = SwapState::Idle;
            }
            Some(Order::Drain) => self.state.role = Role::Drained,
            Some(Order::Serve) => self.state.role = Role::Serving,
            None => {}
        }
        true
    }
}
