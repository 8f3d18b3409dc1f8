//! Admission of calls to pools.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Instant,
};

use bytes::Bytes;
use deck_core::{
    error::{CallError, ErrorKind},
    id::{OrganisationId, PoolName, VmId},
    object::OrganisationShare,
    priority::Priority,
};
use tokio::sync::oneshot;

use crate::{
    AdmissionOptions,
    demand::{DemandEntry, Exchange, Published},
    pool::{Pool, Slot},
};

/// What a call asks for.
#[derive(Debug, Clone)]
pub struct AdmitRequest<'a> {
    /// Pool of the call.
    pub pool: &'a str,
    /// Organisation on whose share the call draws.
    pub organisation: &'a str,
    /// Tokens that the call is expected to generate; 1 for a call to a plain service.
    pub cost_tokens: u64,
    /// Priority.
    pub priority: Priority,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Current time.
    pub now: Instant,
}

/// Capacity of a pool, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolCapacity {
    /// Calls that the pool's usable targets serve at full speed.
    pub slots: u32,
}

/// Shares of one organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedShare {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its shares.
    pub share: OrganisationShare,
}

/// Admits calls; clones share their state.
#[derive(Debug, Clone)]
pub struct Admission {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: AdmissionOptions,
    state: RefCell<State>,
    /// Latest time that a caller gave; a permit that is dropped without a time ends then.
    last_now: Cell<Option<Instant>>,
}

#[derive(Debug, Default)]
struct State {
    pools: HashMap<PoolName, Pool>,
    shares: Vec<NamedShare>,
    exchange: Exchange,
}

/// Slot of one call; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    shared: Rc<Shared>,
    pool: PoolName,
    slot: Slot,
}

/// Call that was admitted or waits.
#[derive(Debug)]
pub enum Admitted {
    /// It may run now.
    Now(Permit),
    /// It waits for a slot.
    Waiting(Waiting),
}

/// Call that waits for a slot; dropping it leaves the queue.
#[derive(Debug)]
pub struct Waiting {
    receiver: oneshot::Receiver<Permit>,
}

impl Waiting {
    /// Returns the permit if the call has been admitted.
    pub fn try_take(&mut self) -> Option<Permit> {
        self.receiver.try_recv().ok()
    }
}

impl Admission {
    /// Returns an admission without pools.
    pub fn new(options: AdmissionOptions) -> Self {
        let shared = Shared { options, state: RefCell::default(), last_now: Cell::new(None) };
        Self { shared: Rc::new(shared) }
    }

    /// Sets the capacity of a pool over all VMs; adds the pool if it is new.
    pub fn set_capacity(&self, pool: &str, capacity: PoolCapacity) {
        let mut state = self.shared.state.borrow_mut();
        let State { pools, shares, .. } = &mut *state;
        let is_new = !pools.contains_key(pool);
        let known = pools.entry(pool.to_owned()).or_default();
        known.capacity_slots = capacity.slots;
        known.invalidate();
        if is_new {
            apply_shares(pool, known, shares);
        }
    }

    /// Removes a pool; waiting calls are refused.
    pub fn remove_pool(&self, pool: &str) {
        let removed = self.shared.state.borrow_mut().pools.remove(pool);
        drop(removed);
    }

    /// Replaces the shares of all organisations.
    pub fn set_shares(&self, shares: &[NamedShare]) {
        let mut state = self.shared.state.borrow_mut();
        state.shares = shares.to_vec();
        for (name, pool) in &mut state.pools {
            apply_shares(name, pool, shares);
        }
    }

    /// Replaces the VMs among which capacity is divided. A VM that is missing keeps its part for a
    /// while, see [`AdmissionOptions::partition_memory`], unless [`remove_member`] was called.
    ///
    /// [`remove_member`]: Self::remove_member
    pub fn set_members(&self, members: &[VmId]) {
        let mut state = self.shared.state.borrow_mut();
        state.exchange.set_members(&self.shared.options.vm, members, self.shared.last_now.get());
        state.pools.values_mut().for_each(Pool::invalidate);
    }

    /// Forgets a VM that announced that it leaves.
    pub fn remove_member(&self, vm: &str) {
        let mut state = self.shared.state.borrow_mut();
        state.exchange.remove_member(vm);
        state.pools.values_mut().for_each(Pool::invalidate);
    }

    /// Admits a call at once or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub fn admit(&self, request: &AdmitRequest<'_>) -> Result<Permit, CallError> {
        let slot = self.with_pool(request, |pool, options| pool.try_take(request, options))??;
        Ok(self.permit(request.pool, slot))
    }

    /// Admits a call at once, puts it into the queue, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub fn admit_or_queue(&self, request: &AdmitRequest<'_>) -> Result<Admitted, CallError> {
        let (sender, receiver) = oneshot::channel();
        let slot =
            self.with_pool(request, |pool, options| match pool.try_take(request, options) {
                Ok(slot) => Ok(Some(slot)),
                Err(error) if error.kind == ErrorKind::DeadlineBeforeRun => Err(error),
                Err(_) => pool.enqueue(request, options, sender).map(|()| None),
            })??;
        Ok(match slot {
            Some(slot) => Admitted::Now(self.permit(request.pool, slot)),
            None => Admitted::Waiting(Waiting { receiver }),
        })
    }

    /// Admits a call, waiting for a free slot for a bounded time.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub async fn admit_wait(&self, request: &AdmitRequest<'_>) -> Result<Permit, CallError> {
        let waiting = match self.admit_or_queue(request)? {
            Admitted::Now(permit) => return Ok(permit),
            Admitted::Waiting(waiting) => waiting,
        };
        let left = request.deadline.saturating_duration_since(request.now);
        let max_wait = self.shared.options.max_wait.min(left);
        match monoio::time::timeout(max_wait, waiting.receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(CallError::new(ErrorKind::UnknownPool, "the pool was removed")),
            Err(_) => {
                // A later request: the time has passed and the refusal is computed anew.
                let now = request.now + max_wait;
                self.admit(&AdmitRequest { now, ..request.clone() })
            }
        }
    }

    /// Admits waiting calls for which there are slots now. Called by a timer, because slots also
    /// become available by reports of other VMs and by time.
    pub fn tick(&self, now: Instant) {
        let names: Vec<_> = self.shared.state.borrow().pools.keys().cloned().collect();
        for name in names {
            self.shared.grant(&name, Some(now));
        }
    }

    /// Returns this VM's demand, to be published to the other VMs.
    pub fn demand_report(&self, now: Instant) -> Bytes {
        self.shared.advance(now);
        let mut state = self.shared.state.borrow_mut();
        let entries = state.demand(now);
        state.pools.values_mut().for_each(Pool::invalidate);
        state.exchange.publish(entries, now)
    }

    /// Returns whether [`demand_report`](Self::demand_report) should be published now: demand has
    /// changed or the last report is old.
    pub fn is_report_due(&self, now: Instant) -> bool {
        let state = self.shared.state.borrow();
        state.exchange.is_due(&state.demand(now), &self.shared.options, now)
    }

    /// Takes over the latest demand reports of the other VMs.
    pub fn apply_reports(&self, reports: &[Published], now: Instant) {
        self.shared.advance(now);
        let mut state = self.shared.state.borrow_mut();
        state.exchange.apply(&self.shared.options.vm, reports, now);
        state.pools.values_mut().for_each(Pool::invalidate);
    }

    fn with_pool<T>(
        &self,
        request: &AdmitRequest<'_>,
        decide: impl FnOnce(&mut Pool, &AdmissionOptions) -> T,
    ) -> Result<T, CallError> {
        let shared = &self.shared;
        shared.advance(request.now);
        let mut state = shared.state.borrow_mut();
        let State { pools, exchange, .. } = &mut *state;
        let pool = pools.get_mut(request.pool).ok_or_else(|| {
            CallError::new(ErrorKind::UnknownPool, format!("no pool named {:?}", request.pool))
        })?;
        pool.divide(&shared.options, exchange, request.now);
        Ok(decide(pool, &shared.options))
    }

    fn permit(&self, pool: &str, slot: Slot) -> Permit {
        Permit { shared: self.shared.clone(), pool: pool.to_owned(), slot }
    }
}

fn apply_shares(name: &str, pool: &mut Pool, shares: &[NamedShare]) {
    pool.clear_promises();
    for named in shares {
        let entry = named.share.shares.iter().find(|share| share.pool == name);
        if let Some(share) = entry {
            pool.set_promise(name, &named.organisation, f64::from(share.share_percent));
        }
    }
    pool.balance_promises();
}

impl State {
    fn demand(&self, now: Instant) -> Vec<DemandEntry> {
        self.pools.values().flat_map(|pool| pool.demand(now)).collect()
    }
}

impl Shared {
    fn advance(&self, now: Instant) {
        let last = self.last_now.get();
        self.last_now.set(Some(last.map_or(now, |last| last.max(now))));
    }

    /// Hands free slots to waiting calls.
    fn grant(self: &Rc<Self>, name: &str, now: Option<Instant>) {
        if let Some(now) = now {
            self.advance(now);
        }
        let Some(now) = self.last_now.get() else { return };
        let granted = {
            let mut state = self.state.borrow_mut();
            let State { pools, exchange, .. } = &mut *state;
            let Some(pool) = pools.get_mut(name) else { return };
            pool.divide(&self.options, exchange, now);
            pool.take_for_waiting(&self.options, now)
        };
        // The state is not borrowed here: a permit whose receiver is gone is dropped at once.
        for waiter in granted {
            let permit = Permit { shared: self.clone(), pool: name.to_owned(), slot: waiter.slot };
            drop(waiter.sender.send(permit));
        }
    }
}

impl Permit {
    /// Frees the slot at `now`. Preferred to dropping the permit, which takes the latest time that
    /// the admission has seen as the end of the call.
    pub fn release(self, now: Instant) {
        self.shared.advance(now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.shared.last_now.get();
        if let Some(pool) = self.shared.state.borrow_mut().pools.get_mut(&self.pool) {
            pool.free(&self.slot, now);
        }
        self.shared.grant(&self.pool, None);
    }
}
