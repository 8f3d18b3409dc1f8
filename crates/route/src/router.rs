//! Choice of a target for each call.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    id::{PoolName, TargetId},
    object::{TargetPool, TargetState},
    priority::Priority,
};

use crate::{PickError, RouterOptions};

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

/// Chooses targets; clones share their state.
#[derive(Clone)]
pub struct Router {
    #[expect(dead_code, reason = "used by the subset choice")]
    options: Rc<RouterOptions>,
    pools: Rc<RefCell<HashMap<PoolName, Vec<Entry>>>>,
}

struct Entry {
    id: TargetId,
    address: SocketAddr,
    leaving: bool,
    in_flight: Rc<RefCell<u64>>,
}

/// Work of one call on a target; a guard dropped without [`finish`](Self::finish) counts as
/// cancelled.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Rc<RefCell<u64>>,
    router: Router,
    pool: PoolName,
    target: TargetId,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").finish_non_exhaustive()
    }
}

impl Router {
    /// Returns a router without pools.
    pub fn new(options: RouterOptions) -> Self {
        Self { options: Rc::new(options), pools: Rc::default() }
    }

    /// Adds a pool or replaces its description; work in flight and health are kept.
    pub fn update_pool(&self, name: &str, pool: &TargetPool) {
        let mut pools = self.pools.borrow_mut();
        let old = pools.remove(name).unwrap_or_default();
        let entries = pool.targets.iter().filter_map(|target| {
            let address = target.address.parse().ok()?;
            let known = old.iter().find(|entry| entry.id == target.id);
            Some(Entry {
                id: target.id.clone(),
                address,
                leaving: target.state == TargetState::Draining,
                in_flight: known.map(|entry| entry.in_flight.clone()).unwrap_or_default(),
            })
        });
        pools.insert(name.to_owned(), entries.collect());
    }

    /// Removes a pool.
    pub fn remove_pool(&self, name: &str) {
        self.pools.borrow_mut().remove(name);
    }

    /// Chooses a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the pool is unknown or none of its targets takes the call.
    pub fn pick(&self, request: &PickRequest<'_>) -> Result<Pick, PickError> {
        let pools = self.pools.borrow();
        let unknown = || PickError::UnknownPool(request.pool.to_owned());
        let entries = pools.get(request.pool).ok_or_else(unknown)?;
        let entry = entries
            .iter()
            .filter(|entry| !entry.leaving && !request.exclude.contains(&entry.id))
            .min_by_key(|entry| *entry.in_flight.borrow())
            .ok_or_else(|| PickError::NoTarget(request.pool.to_owned()))?;
        *entry.in_flight.borrow_mut() += 1;
        let in_flight = InFlightGuard {
            in_flight: entry.in_flight.clone(),
            router: self.clone(),
            pool: request.pool.to_owned(),
            target: entry.id.clone(),
        };
        Ok(Pick { target: entry.id.clone(), address: entry.address, in_flight })
    }

    /// Takes note of a load report.
    pub fn load_report(&self, _pool: &str, _target: &str, _report: LoadReport, _now: Instant) {}

    /// Gives a target no new work from now on.
    pub fn mark_leaving(&self, pool: &str, target: &str) {
        let mut pools = self.pools.borrow_mut();
        let entries = pools.get_mut(pool).map(Vec::as_mut_slice).unwrap_or_default();
        if let Some(entry) = entries.iter_mut().find(|entry| entry.id == target) {
            entry.leaving = true;
        }
    }
}

impl InFlightGuard {
    /// Takes note of the first byte of the response.
    pub fn first_byte(&mut self, _now: Instant) {}

    /// Ends the call. `tokens` is the number of generated tokens.
    pub fn finish(self, outcome: Outcome, _tokens: u64, _now: Instant) {
        if outcome == Outcome::Leaving {
            self.router.mark_leaving(&self.pool, &self.target);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        *self.in_flight.borrow_mut() -= 1;
    }
}
