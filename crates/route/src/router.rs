//! Router: pools, their targets and the calls in flight on them.

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
    HealthState, InFlightGuard, PickError, RouteMember, RouterOptions, load::LengthClass,
    pool::Pool,
};

/// What a call needs from a target.
#[derive(Debug, Clone)]
pub struct PickRequest<'a> {
    /// Pool of the call.
    pub pool: &'a str,
    /// Tokens that the call is expected to generate; 1 for a call to a plain service.
    pub expected_tokens: u64,
    /// Priority.
    pub priority: Priority,
    /// Calls with the same value prefer the same target.
    pub affinity: Option<u64>,
    /// Targets that must not be chosen, for example because an earlier attempt failed there.
    pub exclude: &'a [TargetId],
    /// Current time.
    pub now: Instant,
}

/// Chosen target.
#[derive(Debug)]
pub struct Pick {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Accounts for the call until it ends.
    pub in_flight: InFlightGuard,
}

/// How a call on a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The response is complete.
    Ok,
    /// The target answered with an error of its own.
    Failed,
    /// The connection broke or could not be made.
    Crashed,
    /// The target refused the call before running it.
    Refused,
    /// The target refused the call because it is leaving.
    Leaving,
    /// The target did not answer in time.
    TimedOut,
}

/// Load that a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Calls in the batch.
    pub running: u32,
    /// Calls that wait for a place in the batch.
    pub waiting: u32,
    /// Places in the batch.
    pub max_batch: u32,
    /// Generation speed of the whole target, in tokens per second.
    pub tokens_per_s: f64,
    /// Age of the report when it was received.
    pub age: Duration,
}

/// State of one target of the subset, for metrics and status.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Calls of this VM in flight on it.
    pub calls: u32,
    /// Those of them that are rollout work.
    pub rollouts: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Health.
    pub health: HealthState,
}

/// Chooses targets; clones share their state.
#[derive(Debug, Clone)]
pub struct Router {
    options: Rc<RouterOptions>,
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    pools: HashMap<PoolName, Rc<RefCell<Pool>>>,
    members: Vec<RouteMember>,
}

impl Router {
    /// Returns a router without pools.
    pub fn new(options: RouterOptions) -> Self {
        Self { options: Rc::new(options), state: Rc::default() }
    }

    /// Replaces the VMs that route to the same pools; they decide which targets each of them uses.
    pub fn set_members(&self, mut members: Vec<RouteMember>) {
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

    /// Adds a pool or replaces its description; work in flight and health are kept.
    pub fn update_pool(&self, name: &str, pool: &TargetPool) {
        let mut state = self.state.borrow_mut();
        let State { pools, members } = &mut *state;
        let new = || Rc::new(RefCell::new(Pool::new(name, self.options.clone())));
        let known = pools.entry(name.to_owned()).or_insert_with(new);
        known.borrow_mut().update(pool, members);
    }

    /// Removes a pool; calls in flight end as usual.
    pub fn remove_pool(&self, name: &str) {
        self.state.borrow_mut().pools.remove(name);
    }

    /// Chooses a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the pool is unknown or none of its targets takes the call.
    pub fn pick(&self, request: &PickRequest<'_>) -> Result<Pick, PickError> {
        let unknown = || PickError::UnknownPool(request.pool.to_owned());
        let pool = self.pool(request.pool).ok_or_else(unknown)?;
        let chosen = pool.borrow_mut().choose(request)?;
        let target = chosen.target;
        let call =
            pool.borrow_mut().start_call(&target, request.priority, chosen.probe, request.now);
        let class = LengthClass::of(request.expected_tokens);
        let (id, address) = (target.id.clone(), target.address);
        let in_flight = InFlightGuard::new(pool, target, class, call);
        Ok(Pick { target: id, address, in_flight })
    }

    /// Takes note of a load report.
    pub fn load_report(&self, pool: &str, target: &str, report: LoadReport, now: Instant) {
        if let Some(pool) = self.pool(pool) {
            pool.borrow_mut().load_report(target, &report, now);
        }
    }

    /// Gives a target no new work from now on, until the pool object no longer has it, lists it
    /// with another address, or returns it from `draining` to `active`.
    pub fn mark_leaving(&self, pool: &str, target: &str) {
        self.set_leaving(pool, target, true);
    }

    /// Undoes [`mark_leaving`](Self::mark_leaving) for a target that has started again.
    pub fn mark_returned(&self, pool: &str, target: &str) {
        self.set_leaving(pool, target, false);
    }

    /// Returns the targets of a pool that this VM uses.
    pub fn targets(&self, pool: &str) -> Vec<TargetView> {
        let Some(pool) = self.pool(pool) else { return Vec::new() };
        let pool = pool.borrow();
        let view = |target: &Rc<crate::target::Target>| {
            let state = target.state.borrow();
            TargetView {
                target: target.id.clone(),
                address: target.address,
                calls: state.load.calls(),
                rollouts: state.load.rollouts(),
                leaving: state.is_leaving(),
                health: state.health.state,
            }
        };
        pool.subset_targets().map(view).collect()
    }

    fn set_leaving(&self, pool: &str, target: &str, leaving: bool) {
        let Some(pool) = self.pool(pool) else { return };
        if let Some(target) = pool.borrow().find(target) {
            target.state.borrow_mut().marked_leaving = leaving;
        }
    }

    fn pool(&self, name: &str) -> Option<Rc<RefCell<Pool>>> {
        self.state.borrow().pools.get(name).cloned()
    }
}
