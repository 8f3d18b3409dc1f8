//! Decision which order goes to which target.
//!
//! Staging loads the new version beside the old one and does not disturb serving, so it is bounded
//! only by the sources of the weights. Switching interrupts serving, so it happens in a rolling way
//! that keeps the pool at or above its serving floor. A target whose swap failed is drained, ordered
//! again and put back.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::{
    hash::rendezvous_score,
    id::{TargetId, WeightVersion},
};

use crate::engine::{EngineState, Role, SwapState};

/// Settings of the planner.
#[derive(Debug, Clone)]
pub struct PlanOptions {
    /// Transfers that one source serves at a time.
    pub transfers_per_source: usize,
    /// Part of the pool that keeps serving. Invariant: 0 to 100.
    pub serving_floor_percent: u32,
    /// Time after which an order that shows no effect in the target's report is sent again.
    pub order_timeout: Duration,
    /// Time after which a target that does not answer no longer counts as a part of the pool. Until
    /// then its absence uses up the serving budget; after that a crashed target must not hold up the
    /// rollout, because waiting does not bring its capacity back.
    pub unreachable_grace: Duration,
}

impl Default for PlanOptions {
    fn default() -> Self {
        Self {
            transfers_per_source: 8,
            serving_floor_percent: 50,
            order_timeout: Duration::from_secs(10),
            unreachable_grace: Duration::from_secs(10),
        }
    }
}

/// One target as the owner sees it.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// The target.
    pub id: TargetId,
    /// Its last report; `None` if it does not answer.
    pub state: Option<EngineState>,
    /// Since when it does not answer; `None` if it answers or was never asked.
    pub unreachable_since: Option<Instant>,
}

/// An order to one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load a version beside the running one, from a source.
    Stage {
        /// Version to load.
        version: WeightVersion,
        /// Where the target fetches it.
        source: SocketAddr,
    },
    /// Serve with the staged version.
    Switch {
        /// Version to switch to.
        version: WeightVersion,
    },
    /// Take no new work.
    Drain,
    /// Take work again.
    Serve,
}

/// An order that was sent and whose effect has not been reported yet.
#[derive(Debug, Clone)]
pub struct PendingOrder {
    /// The order.
    pub order: Order,
    /// When it was sent.
    pub since: Instant,
}

/// Input of one planning round.
pub struct PlanInput<'a> {
    /// All targets of the pool that are not leaving.
    pub targets: &'a [TargetView],
    /// Version that all targets should serve.
    pub desired: WeightVersion,
    /// Sources of the weights. The first is the weight store, the others are relays.
    pub sources: &'a [SocketAddr],
    /// Orders without reported effect.
    pub pending: &'a HashMap<TargetId, PendingOrder>,
    /// Time of the round.
    pub now: Instant,
}

/// Returns the orders to send now.
pub fn plan(input: &PlanInput<'_>, options: &PlanOptions) -> Vec<(TargetId, Order)> {
    let mut budget = ServingBudget::new(input, options);
    let mut transfers = TransferSlots::new(input, options);
    let mut orders = Vec::new();
    for target in input.targets {
        let Some(state) = &target.state else { continue };
        if is_pending(input, options, &target.id) {
            continue;
        }
        if let Some(order) = next_order(&target.id, state, input, &mut budget, &mut transfers) {
            orders.push((target.id.clone(), order));
        }
    }
    orders
}

/// Returns whether a target needs no further order for `desired`.
pub fn is_settled(state: &EngineState, desired: WeightVersion) -> bool {
    state.weight_version == desired
        && state.swap_state == SwapState::Idle
        && state.role == Role::Serving
}

fn next_order(
    id: &str,
    state: &EngineState,
    input: &PlanInput<'_>,
    budget: &mut ServingBudget,
    transfers: &mut TransferSlots,
) -> Option<Order> {
    let desired = input.desired;
    match state.swap_state {
        SwapState::Staging | SwapState::Switching | SwapState::Loading => None,
        SwapState::Failed if state.role == Role::Serving => {
            budget.take_serving().then_some(Order::Drain)
        }
        // Calls that still run on a drained target keep the version on which they run.
        SwapState::Failed if state.running > 0 => None,
        SwapState::Failed => transfers.stage(id, desired),
        SwapState::Idle if state.weight_version >= desired => {
            (state.role == Role::Drained).then_some(Order::Serve)
        }
        SwapState::Idle if state.staged_version != Some(desired) => transfers.stage(id, desired),
        SwapState::Idle => {
            let allowed = state.role == Role::Drained || budget.take_serving();
            allowed.then_some(Order::Switch { version: desired })
        }
    }
}

fn is_pending(input: &PlanInput<'_>, options: &PlanOptions, id: &str) -> bool {
    input.pending.get(id).is_some_and(|pending| {
        input.now.saturating_duration_since(pending.since) < options.order_timeout
    })
}

/// How many serving targets may stop serving now.
struct ServingBudget {
    remaining: usize,
}

impl ServingBudget {
    fn new(input: &PlanInput<'_>, options: &PlanOptions) -> Self {
        let total = input.targets.iter().filter(|target| !is_gone(input, options, target)).count();
        let floor = (total * options.serving_floor_percent as usize).div_ceil(100);
        let serving = input.targets.iter().filter(|target| is_serving(input, options, target));
        Self { remaining: serving.count().saturating_sub(floor) }
    }

    fn take_serving(&mut self) -> bool {
        let allowed = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        allowed
    }
}

/// Returns whether a target has not answered for longer than the grace time.
fn is_gone(input: &PlanInput<'_>, options: &PlanOptions, target: &TargetView) -> bool {
    target.unreachable_since.is_some_and(|since| {
        input.now.saturating_duration_since(since) >= options.unreachable_grace
    })
}

/// Counts a target as serving only if it reports so and no order that interrupts it is pending.
fn is_serving(input: &PlanInput<'_>, options: &PlanOptions, target: &TargetView) -> bool {
    let interrupted = is_pending(input, options, &target.id)
        && matches!(
            input.pending.get(&target.id).map(|pending| &pending.order),
            Some(Order::Switch { .. } | Order::Drain)
        );
    target.state.as_ref().is_some_and(|state| {
        state.role == Role::Serving && state.swap_state != SwapState::Switching && !interrupted
    })
}

/// Free transfer slots of the sources.
struct TransferSlots {
    sources: Vec<SourceSlots>,
    /// Sum of the free slots of all sources that may be used.
    total_free: usize,
}

struct SourceSlots {
    name: String,
    address: SocketAddr,
    free: usize,
}

impl TransferSlots {
    fn new(input: &PlanInput<'_>, options: &PlanOptions) -> Self {
        let mut used: HashMap<SocketAddr, usize> = HashMap::new();
        for target in input.targets {
            let Some(pending) = input.pending.get(&target.id) else { continue };
            if let Order::Stage { source, .. } = &pending.order
                && Self::is_transferring(input, options, target)
            {
                *used.entry(*source).or_default() += 1;
            }
        }
        // The weight store, whose rate is limited, comes first in the list and serves targets only
        // if there are no relays.
        let usable = if input.sources.len() > 1 { &input.sources[1..] } else { input.sources };
        let slots = |address: &SocketAddr| SourceSlots {
            name: address.to_string(),
            address: *address,
            free: options
                .transfers_per_source
                .saturating_sub(used.get(address).copied().unwrap_or(0)),
        };
        let sources: Vec<_> = usable.iter().map(slots).collect();
        let total_free = sources.iter().map(|source| source.free).sum();
        Self { sources, total_free }
    }

    /// A transfer occupies its source until the target reports the end of staging.
    fn is_transferring(input: &PlanInput<'_>, options: &PlanOptions, target: &TargetView) -> bool {
        let staging =
            target.state.as_ref().is_some_and(|state| state.swap_state == SwapState::Staging);
        staging || is_pending(input, options, &target.id)
    }

    /// Takes a slot of the source that ranks first for the target among those with a free slot, which
    /// spreads the targets evenly.
    fn stage(&mut self, id: &str, version: WeightVersion) -> Option<Order> {
        if self.total_free == 0 {
            return None;
        }
        let free = self.sources.iter_mut().filter(|source| source.free > 0);
        let chosen = free.max_by_key(|source| rendezvous_score(id, &source.name))?;
        chosen.free -= 1;
        self.total_free -= 1;
        Some(Order::Stage { version, source: chosen.address })
    }
}
