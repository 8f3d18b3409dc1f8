//! Router: the pools of a VM and target selection for calls.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    id::{PoolName, TargetId},
    object::TargetPool,
    priority::Priority,
};

use crate::{
    HealthState, InFlightGuard, PickError, RouterOptions, RoutingVm, load::LengthClass, pool::Pool,
};

/// Properties of a call that determine its target.
#[derive(Debug, Clone)]
pub struct PickRequest<'a> {
    /// Name under which the pool was passed to [`Router::update_pool`].
    pub pool: &'a str,
    /// Expected number of generated tokens; 1 for a call to a service that is not an engine.
    pub expected_tokens: u64,
    /// Priority; rollouts are limited to a part of each target's slots.
    pub priority: Priority,
    /// Value shared by calls with a common prompt prefix; they prefer the same target, which has
    /// the prefix cached.
    pub affinity: Option<u64>,
    /// Targets that must not be selected, for example because an earlier attempt failed there.
    pub exclude: &'a [TargetId],
    /// Targets from which to select; `None` allows all of the pool.
    pub only: Option<&'a [TargetId]>,
    /// Time of the selection, from which the ages of load reports and of calls in flight are
    /// computed.
    pub now: Instant,
}

impl PickRequest<'_> {
    /// Returns whether the request allows the target to be selected.
    pub(crate) fn allows(&self, target: &TargetId) -> bool {
        self.only.is_none_or(|only| only.contains(target)) && !self.exclude.contains(target)
    }
}

/// Target selected for a call.
#[derive(Debug)]
pub struct Pick {
    /// Id of the target in the pool object.
    pub target: TargetId,
    /// Address of the target in the pool object.
    pub address: SocketAddr,
    /// Guard that counts the call as in flight until it is finished or dropped.
    pub in_flight: InFlightGuard,
}

/// Outcome of a call to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The response was received completely.
    Ok,
    /// The target responded with an error.
    Failed,
    /// The connection failed or was closed before the response was complete.
    Crashed,
    /// The target rejected the call without executing it.
    Refused,
    /// The target rejected the call because it is leaving.
    Leaving,
    /// The target did not respond before the deadline.
    TimedOut,
}

/// Load that a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Calls in the current batch.
    pub running: u32,
    /// Calls queued for a slot in the batch.
    pub waiting: u32,
    /// Maximum batch size, in calls.
    pub slots: u32,
    /// Generation speed over all calls, in tokens per second.
    pub tokens_per_s: f64,
    /// Age of the measurement when the report was received.
    pub age: Duration,
}

/// Status of one target of the subset, for metrics and status pages.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// Id of the target in the pool object.
    pub target: TargetId,
    /// Address of the target in the pool object.
    pub address: SocketAddr,
    /// Calls of this VM in flight on the target.
    pub calls_in_flight: u32,
    /// Rollout calls among them.
    pub rollouts_in_flight: u32,
    /// Whether the target is leaving and receives no new calls.
    pub leaving: bool,
    /// Whether the target is in rotation or ejected.
    pub health: HealthState,
}

/// Selects targets for calls; clones share their state.
#[derive(Debug, Clone)]
pub struct Router {
    options: Rc<RouterOptions>,
    state: Rc<RefCell<RouterState>>,
}

/// Pools, and the VMs that route to them.
#[derive(Debug, Default)]
struct RouterState {
    pools: HashMap<PoolName, Rc<RefCell<Pool>>>,
    members: Vec<RoutingVm>,
}

impl Router {
    /// Returns a router without pools.
    pub fn new(options: RouterOptions) -> Self {
        Self { options: Rc::new(options), state: Rc::default() }
    }

    /// Sets the VMs that route to the same pools, from which each VM computes its subset of
    /// targets.
    pub fn set_members(&self, mut members: Vec<RoutingVm>) {
        members.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        let mut state = self.state.borrow_mut();
        if state.members == members {
            return;
        }
        for pool in state.pools.values() {
            pool.borrow_mut().update_subset(&members);
        }
        state.members = members;
    }

    /// Adds or updates a pool; calls in flight and health of remaining targets are kept.
    pub fn update_pool(&self, name: &str, pool: &TargetPool) {
        let mut state = self.state.borrow_mut();
        let RouterState { pools, members } = &mut *state;
        let new_pool = || Rc::new(RefCell::new(Pool::new(name, self.options.clone())));
        let pool_state = pools.entry(name.to_owned()).or_insert_with(new_pool);
        pool_state.borrow_mut().update(pool, members);
    }

    /// Removes a pool; its calls in flight are not affected.
    pub fn remove_pool(&self, name: &str) {
        self.state.borrow_mut().pools.remove(name);
    }

    /// Selects a target for a call.
    ///
    /// # Errors
    ///
    /// Returns an error if the pool is unknown or none of its targets can take the call.
    pub fn pick(&self, request: &PickRequest<'_>) -> Result<Pick, PickError> {
        let unknown_pool = || PickError::UnknownPool(request.pool.to_owned());
        let pool = self.pool(request.pool).ok_or_else(unknown_pool)?;
        let chosen = pool.borrow_mut().select_target(request)?;
        let target = chosen.target;
        let call =
            pool.borrow_mut().start_call(&target, request.priority, chosen.is_probe, request.now);
        let length_class = LengthClass::of(request.expected_tokens);
        let (id, address) = (target.id.clone(), target.address);
        let in_flight = InFlightGuard::new(pool, target, length_class, call);
        Ok(Pick { target: id, address, in_flight })
    }

    /// Applies a load report of a target.
    pub fn record_load_report(&self, pool: &str, target: &str, report: LoadReport, now: Instant) {
        if let Some(pool) = self.pool(pool) {
            pool.borrow_mut().record_load_report(target, &report, now);
        }
    }

    /// Stops sending new calls to a target, until it is removed from the pool object, its address
    /// changes there, or its state there returns from `draining` to `active`.
    pub fn mark_leaving(&self, pool: &str, target: &str) {
        self.set_leaving(pool, target, true);
    }

    /// Reverts [`mark_leaving`](Self::mark_leaving) for a target that has restarted.
    pub fn clear_leaving(&self, pool: &str, target: &str) {
        self.set_leaving(pool, target, false);
    }

    /// Returns the status of the targets of a pool that are in this VM's subset.
    pub fn targets(&self, pool: &str) -> Vec<TargetStatus> {
        let Some(pool) = self.pool(pool) else { return Vec::new() };
        let pool = pool.borrow();
        let status = |target: &Rc<crate::target::Target>| {
            let state = target.state.borrow();
            TargetStatus {
                target: target.id.clone(),
                address: target.address,
                calls_in_flight: state.load.calls(),
                rollouts_in_flight: state.load.rollout_calls(),
                leaving: state.is_leaving(),
                health: state.health.state,
            }
        };
        pool.subset_targets().map(status).collect()
    }

    fn set_leaving(&self, pool: &str, target: &str, leaving: bool) {
        let Some(pool) = self.pool(pool) else { return };
        if let Some(target) = pool.borrow().find_target(target) {
            target.state.borrow_mut().marked_leaving = leaving;
        }
    }

    fn pool(&self, name: &str) -> Option<Rc<RefCell<Pool>>> {
        self.state.borrow().pools.get(name).cloned()
    }
}
