//! Planner that decides which order to send to which target.
//!
//! Staging loads the new version alongside the running one without interrupting serving, so it is
//! limited only by the transfer capacity of the weight sources. Switching interrupts serving, so it
//! is a rolling update that keeps the pool at or above its serving floor. A target whose load or
//! switch failed is drained, staged again, switched and returned to service.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::{
    hash::rendezvous_score,
    id::{TargetId, WeightVersion},
};

use crate::engine::{EngineRole, EngineState, SwapState};

/// Settings of the planner.
#[derive(Debug, Clone)]
pub struct PlannerOptions {
    /// Maximum number of concurrent weight transfers from one source.
    pub max_transfers_per_source: usize,
    /// Percentage of the pool that must keep serving. Invariant: between 0 and 100.
    pub serving_floor_percent: u32,
    /// Time after which an order is sent again if the target's reported state does not show its
    /// effect.
    pub order_timeout: Duration,
    /// Time after which an unreachable target no longer counts as part of the pool. Until then its
    /// absence reduces the number of targets that may be interrupted. After that a crashed target
    /// must not block the update, because waiting does not bring its capacity back.
    pub unreachable_grace_period: Duration,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            max_transfers_per_source: 8,
            serving_floor_percent: 50,
            order_timeout: Duration::from_secs(10),
            unreachable_grace_period: Duration::from_secs(10),
        }
    }
}

/// State of one target as last observed by the pool's owner.
#[derive(Debug, Clone)]
pub struct ObservedTarget {
    /// Identifier of the target.
    pub id: TargetId,
    /// State in the target's latest report; `None` if it does not respond.
    pub state: Option<EngineState>,
    /// Time since which the target has not responded; `None` if it responds or was never polled.
    pub unreachable_since: Option<Instant>,
}

/// An order to an engine of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a version alongside the running one.
    Stage {
        /// Version to load.
        version: WeightVersion,
        /// Address of the weight store or relay that serves the weights.
        source: SocketAddr,
    },
    /// Start serving the staged version.
    Switch {
        /// Staged version to serve.
        version: WeightVersion,
    },
    /// Finish running calls and accept no new ones.
    Drain,
    /// Accept calls again.
    Serve,
}

/// An order that was sent and whose effect has not yet been reported.
#[derive(Debug, Clone)]
pub struct PendingOrder {
    /// The order that was sent.
    pub order: EngineOrder,
    /// Time at which the order was sent.
    pub sent_at: Instant,
}

/// Input of one planning round.
pub struct PlanningInput<'a> {
    /// Targets of the pool, excluding those that are leaving.
    pub targets: &'a [ObservedTarget],
    /// Version that all targets should serve.
    pub desired_version: WeightVersion,
    /// Addresses that serve the weights: the weight store first, followed by the relays.
    pub sources: &'a [SocketAddr],
    /// Orders whose effect has not yet been reported, by target.
    pub pending_orders: &'a HashMap<TargetId, PendingOrder>,
    /// Current time.
    pub now: Instant,
}

/// Returns the orders to send in this round. A target with a pending order gets no new one before
/// the order timeout.
pub fn plan_orders(
    planning_input: &PlanningInput<'_>,
    options: &PlannerOptions,
) -> Vec<(TargetId, EngineOrder)> {
    let mut interruption_budget = InterruptionBudget::new(planning_input, options);
    let mut transfer_slots = TransferSlots::new(planning_input, options);
    let mut orders = Vec::new();
    for target in planning_input.targets {
        let Some(state) = &target.state else { continue };
        if is_pending(planning_input, options, &target.id) {
            continue;
        }
        if let Some(order) = next_order(
            &target.id,
            state,
            planning_input,
            &mut interruption_budget,
            &mut transfer_slots,
        ) {
            orders.push((target.id.clone(), order));
        }
    }
    orders
}

/// Returns whether a target serves the desired version and needs no further order.
pub fn is_settled(state: &EngineState, desired_version: WeightVersion) -> bool {
    state.weight_version == desired_version
        && state.swap_state == SwapState::Idle
        && state.role == EngineRole::Serving
}

/// Returns the next order for one target on its way to the desired version, if one is due.
fn next_order(
    id: &str,
    state: &EngineState,
    planning_input: &PlanningInput<'_>,
    interruption_budget: &mut InterruptionBudget,
    transfer_slots: &mut TransferSlots,
) -> Option<EngineOrder> {
    let desired_version = planning_input.desired_version;
    match state.swap_state {
        SwapState::Staging | SwapState::Switching | SwapState::Loading => None,
        SwapState::Failed if state.role == EngineRole::Serving => {
            interruption_budget.try_take_interruption().then_some(EngineOrder::Drain)
        }
        // Nothing is loaded while calls still run on a drained target, so that they finish with the
        // version on which they started.
        SwapState::Failed if state.running > 0 => None,
        SwapState::Failed => transfer_slots.assign_transfer(id, desired_version),
        SwapState::Idle if state.weight_version >= desired_version => {
            (state.role == EngineRole::Drained).then_some(EngineOrder::Serve)
        }
        SwapState::Idle if state.staged_version != Some(desired_version) => {
            transfer_slots.assign_transfer(id, desired_version)
        }
        SwapState::Idle => {
            let may_switch =
                state.role == EngineRole::Drained || interruption_budget.try_take_interruption();
            may_switch.then_some(EngineOrder::Switch { version: desired_version })
        }
    }
}

/// Returns whether a target has an order that has neither taken effect nor timed out.
fn is_pending(planning_input: &PlanningInput<'_>, options: &PlannerOptions, id: &str) -> bool {
    planning_input.pending_orders.get(id).is_some_and(|pending| {
        planning_input.now.saturating_duration_since(pending.sent_at) < options.order_timeout
    })
}

/// Number of serving targets that may still be interrupted without falling below the serving floor.
struct InterruptionBudget {
    remaining: usize,
}

impl InterruptionBudget {
    fn new(planning_input: &PlanningInput<'_>, options: &PlannerOptions) -> Self {
        let counted_targets = planning_input
            .targets
            .iter()
            .filter(|target| !is_grace_period_over(planning_input, options, target))
            .count();
        let min_serving = (counted_targets * options.serving_floor_percent as usize).div_ceil(100);
        let serving_targets = planning_input
            .targets
            .iter()
            .filter(|target| is_serving(planning_input, options, target));
        Self { remaining: serving_targets.count().saturating_sub(min_serving) }
    }

    /// Takes one interruption from the budget; returns false if none is left.
    fn try_take_interruption(&mut self) -> bool {
        let is_available = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        is_available
    }
}

/// Returns whether a target has been unreachable for longer than the grace period.
fn is_grace_period_over(
    planning_input: &PlanningInput<'_>,
    options: &PlannerOptions,
    target: &ObservedTarget,
) -> bool {
    target.unreachable_since.is_some_and(|since| {
        planning_input.now.saturating_duration_since(since) >= options.unreachable_grace_period
    })
}

/// Returns whether a target serves: it reports that it does, and has no pending order that
/// interrupts serving.
fn is_serving(
    planning_input: &PlanningInput<'_>,
    options: &PlannerOptions,
    target: &ObservedTarget,
) -> bool {
    let interruption_pending = is_pending(planning_input, options, &target.id)
        && matches!(
            planning_input.pending_orders.get(&target.id).map(|pending| &pending.order),
            Some(EngineOrder::Switch { .. } | EngineOrder::Drain)
        );
    target.state.as_ref().is_some_and(|state| {
        state.role == EngineRole::Serving
            && state.swap_state != SwapState::Switching
            && !interruption_pending
    })
}

/// Free transfer slots of the weight sources.
struct TransferSlots {
    sources: Vec<SourceSlots>,
    /// Sum of the free slots of all sources.
    total_free_slots: usize,
}

/// Free transfer slots of one weight source. `name` is its address as text, which is hashed to rank
/// the source for each target.
struct SourceSlots {
    name: String,
    address: SocketAddr,
    free_slots: usize,
}

impl TransferSlots {
    fn new(planning_input: &PlanningInput<'_>, options: &PlannerOptions) -> Self {
        let mut used_slots: HashMap<SocketAddr, usize> = HashMap::new();
        for target in planning_input.targets {
            let Some(pending) = planning_input.pending_orders.get(&target.id) else { continue };
            if let EngineOrder::Stage { source, .. } = &pending.order
                && Self::is_transferring(planning_input, options, target)
            {
                *used_slots.entry(*source).or_default() += 1;
            }
        }
        // The weight store is rate-limited. It is the first source and serves targets only if there
        // are no relays.
        let allowed_sources = if planning_input.sources.len() > 1 {
            &planning_input.sources[1..]
        } else {
            planning_input.sources
        };
        let source_slots = |address: &SocketAddr| SourceSlots {
            name: address.to_string(),
            address: *address,
            free_slots: options
                .max_transfers_per_source
                .saturating_sub(used_slots.get(address).copied().unwrap_or(0)),
        };
        let sources: Vec<_> = allowed_sources.iter().map(source_slots).collect();
        let total_free_slots = sources.iter().map(|source| source.free_slots).sum();
        Self { sources, total_free_slots }
    }

    /// Returns whether a target may still be transferring weights. A transfer occupies its source
    /// until the target reports that staging has ended.
    fn is_transferring(
        planning_input: &PlanningInput<'_>,
        options: &PlannerOptions,
        target: &ObservedTarget,
    ) -> bool {
        let is_staging =
            target.state.as_ref().is_some_and(|state| state.swap_state == SwapState::Staging);
        is_staging || is_pending(planning_input, options, &target.id)
    }

    /// Takes a transfer slot from the source with the highest rendezvous score for the target among
    /// those with a free slot, which distributes targets evenly over the sources.
    fn assign_transfer(&mut self, id: &str, version: WeightVersion) -> Option<EngineOrder> {
        if self.total_free_slots == 0 {
            return None;
        }
        let available_sources = self.sources.iter_mut().filter(|source| source.free_slots > 0);
        let best_source =
            available_sources.max_by_key(|source| rendezvous_score(id, &source.name))?;
        best_source.free_slots -= 1;
        self.total_free_slots -= 1;
        Some(EngineOrder::Stage { version, source: best_source.address })
    }
}
