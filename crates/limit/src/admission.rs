//! Admission control of calls to pools.

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
    demand::{DemandEntry, DemandExchange, DemandReport},
    pool::{Pool, Slot},
};

/// Request for a slot of a pool for one call.
#[derive(Debug, Clone)]
pub struct AdmitRequest<'a> {
    /// Pool that is to run the call.
    pub pool: &'a str,
    /// Organisation whose share the call uses.
    pub organisation: &'a str,
    /// Tokens that the call is expected to generate; 1 for a call to a plain service.
    pub cost_tokens: u64,
    /// Priority of the call among the organisation's queued calls. Rollout calls may borrow only
    /// [`AdmissionOptions::max_rollout_loan_percent`] of the slots.
    pub priority: Priority,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Current time; the admission control reads no clock itself.
    pub now: Instant,
}

/// Capacity of a pool, summed over all VMs that share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolCapacity {
    /// Number of concurrent calls that the pool's usable targets serve at full speed.
    pub slots: u32,
}

/// Shares of pools that one organisation is promised.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareAssignment {
    /// Organisation to which the share is promised.
    pub organisation: OrganisationId,
    /// Promised percentage of each pool; pools that are not listed have no promised share.
    pub share: OrganisationShare,
}

/// Admission control of one VM. Clones share their state.
#[derive(Debug, Clone)]
pub struct Admission {
    shared: Rc<SharedState>,
}

/// State that the clones of an [`Admission`] share with its permits.
#[derive(Debug)]
struct SharedState {
    options: AdmissionOptions,
    admission_state: RefCell<AdmissionState>,
    /// Latest time passed to any method; a dropped permit takes it as the end of its call.
    latest_now: Cell<Option<Instant>>,
}

/// Pools with their calls, and what determines the division of their slots.
#[derive(Debug, Default)]
struct AdmissionState {
    pools: HashMap<PoolName, Pool>,
    /// Shares that organisations are promised; also applied to pools that are added later.
    shares: Vec<ShareAssignment>,
    /// Reported demand of all VMs, by which each pool's slots are divided among the VMs.
    exchange: DemandExchange,
}

/// Admitted call that holds a slot; dropping the permit frees the slot.
#[derive(Debug)]
pub struct Permit {
    shared: Rc<SharedState>,
    pool: PoolName,
    slot: Slot,
}

/// Result of [`Admission::admit_or_queue`] if the call is not refused.
#[derive(Debug)]
pub enum AdmissionOutcome {
    /// The call may run now.
    Admitted(Permit),
    /// The call waits for a slot.
    Queued(QueuedCall),
}

/// Call that waits for a slot; dropping it removes the call from the queue.
#[derive(Debug)]
pub struct QueuedCall {
    /// Receives the permit; closed without one if the call leaves the queue, for example because its
    /// pool is removed.
    receiver: oneshot::Receiver<Permit>,
}

impl QueuedCall {
    /// Returns the permit if the call has been admitted meanwhile.
    pub fn try_permit(&mut self) -> Option<Permit> {
        self.receiver.try_recv().ok()
    }
}

impl Admission {
    /// Returns an admission control without pools.
    pub fn new(options: AdmissionOptions) -> Self {
        let shared = SharedState {
            options,
            admission_state: RefCell::default(),
            latest_now: Cell::new(None),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Sets the capacity of a pool, summed over all VMs. Adds the pool if it is new.
    pub fn set_capacity(&self, pool: &str, capacity: PoolCapacity) {
        let mut state = self.shared.admission_state.borrow_mut();
        let AdmissionState { pools, shares, .. } = &mut *state;
        let is_new = !pools.contains_key(pool);
        let entry = pools.entry(pool.to_owned()).or_default();
        entry.capacity_slots = capacity.slots;
        entry.invalidate_division();
        if is_new {
            apply_shares(pool, entry, shares);
        }
    }

    /// Removes a pool and refuses the calls that wait for it.
    pub fn remove_pool(&self, pool: &str) {
        let removed_pool = self.shared.admission_state.borrow_mut().pools.remove(pool);
        drop(removed_pool);
    }

    /// Replaces the shares of all organisations.
    pub fn set_shares(&self, shares: &[ShareAssignment]) {
        let mut state = self.shared.admission_state.borrow_mut();
        state.shares = shares.to_vec();
        for (name, pool) in &mut state.pools {
            apply_shares(name, pool, shares);
        }
    }

    /// Replaces the VMs among which capacity is divided. A VM that is missing from `members` keeps its
    /// allocation for a while, see [`AdmissionOptions::partitioned_vm_retention`], unless
    /// [`remove_member`] was called.
    ///
    /// [`remove_member`]: Self::remove_member
    pub fn set_members(&self, members: &[VmId]) {
        let mut state = self.shared.admission_state.borrow_mut();
        state.exchange.set_members(&self.shared.options.vm, members, self.shared.latest_now.get());
        state.pools.values_mut().for_each(Pool::invalidate_division);
    }

    /// Removes a VM that announced that it is leaving; its allocation is divided at once.
    pub fn remove_member(&self, vm: &str) {
        let mut state = self.shared.admission_state.borrow_mut();
        state.exchange.remove_member(vm);
        state.pools.values_mut().for_each(Pool::invalidate_division);
    }

    /// Admits a call at once or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub fn admit(&self, request: &AdmitRequest<'_>) -> Result<Permit, CallError> {
        let slot = self.with_pool(request, |pool, options| pool.try_take(request, options))??;
        Ok(self.make_permit(request.pool, slot))
    }

    /// Admits a call at once, puts it into the queue, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub fn admit_or_queue(
        &self,
        request: &AdmitRequest<'_>,
    ) -> Result<AdmissionOutcome, CallError> {
        let (sender, receiver) = oneshot::channel();
        let slot =
            self.with_pool(request, |pool, options| match pool.try_take(request, options) {
                Ok(slot) => Ok(Some(slot)),
                Err(error) if error.kind == ErrorKind::DeadlineBeforeRun => Err(error),
                Err(_) => pool.enqueue(request, options, sender).map(|()| None),
            })??;
        Ok(match slot {
            Some(slot) => AdmissionOutcome::Admitted(self.make_permit(request.pool, slot)),
            None => AdmissionOutcome::Queued(QueuedCall { receiver }),
        })
    }

    /// Admits a call, waiting for a free slot for a bounded time.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub async fn admit_or_wait(&self, request: &AdmitRequest<'_>) -> Result<Permit, CallError> {
        let queued = match self.admit_or_queue(request)? {
            AdmissionOutcome::Admitted(permit) => return Ok(permit),
            AdmissionOutcome::Queued(queued) => queued,
        };
        let time_left = request.deadline.saturating_duration_since(request.now);
        let max_wait = self.shared.options.max_wait.min(time_left);
        match monoio::time::timeout(max_wait, queued.receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(CallError::new(ErrorKind::UnknownPool, "the pool was removed")),
            Err(_) => {
                // Asks again with the current time, so that the refusal has a current Retry-After.
                let now = request.now + max_wait;
                self.admit(&AdmitRequest { now, ..request.clone() })
            }
        }
    }

    /// Admits queued calls for which there are slots now. Must be called periodically, because demand
    /// reports of other VMs and the passing of time also free slots.
    pub fn admit_waiting(&self, now: Instant) {
        let names: Vec<_> = self.shared.admission_state.borrow().pools.keys().cloned().collect();
        for name in names {
            self.shared.admit_queued_calls(&name, Some(now));
        }
    }

    /// Returns this VM's demand report. It must be published to the other VMs, because this VM then
    /// divides its slots by the reported demand.
    pub fn next_demand_report(&self, now: Instant) -> Bytes {
        self.shared.advance_clock(now);
        let mut state = self.shared.admission_state.borrow_mut();
        let entries = state.demand(now);
        state.pools.values_mut().for_each(Pool::invalidate_division);
        state.exchange.next_report(entries, now)
    }

    /// Returns whether [`next_demand_report`](Self::next_demand_report) should be published now,
    /// because demand has changed or the last report is old.
    pub fn is_report_due(&self, now: Instant) -> bool {
        let state = self.shared.admission_state.borrow();
        state.exchange.is_report_due(&state.demand(now), &self.shared.options, now)
    }

    /// Applies the latest demand reports of the other VMs.
    pub fn apply_reports(&self, reports: &[DemandReport], now: Instant) {
        self.shared.advance_clock(now);
        let mut state = self.shared.admission_state.borrow_mut();
        state.exchange.apply_reports(&self.shared.options.vm, reports, now);
        state.pools.values_mut().for_each(Pool::invalidate_division);
    }

    /// Calls `decide` with the requested pool after updating the division of its slots.
    fn with_pool<T>(
        &self,
        request: &AdmitRequest<'_>,
        decide: impl FnOnce(&mut Pool, &AdmissionOptions) -> T,
    ) -> Result<T, CallError> {
        let shared = &self.shared;
        shared.advance_clock(request.now);
        let mut state = shared.admission_state.borrow_mut();
        let AdmissionState { pools, exchange, .. } = &mut *state;
        let pool = pools.get_mut(request.pool).ok_or_else(|| {
            CallError::new(ErrorKind::UnknownPool, format!("no pool named {:?}", request.pool))
        })?;
        pool.divide_if_due(&shared.options, exchange, request.now);
        Ok(decide(pool, &shared.options))
    }

    fn make_permit(&self, pool: &str, slot: Slot) -> Permit {
        Permit { shared: self.shared.clone(), pool: pool.to_owned(), slot }
    }
}

/// Sets the shares that organisations are promised of one pool.
fn apply_shares(name: &str, pool: &mut Pool, shares: &[ShareAssignment]) {
    pool.clear_promised_shares();
    for assignment in shares {
        let pool_share = assignment.share.shares.iter().find(|share| share.pool == name);
        if let Some(share) = pool_share {
            pool.set_promised_share(name, &assignment.organisation, f64::from(share.share_percent));
        }
    }
    pool.scale_promised_shares();
}

impl AdmissionState {
    /// Returns the current demand of this VM for each pool and organisation.
    fn demand(&self, now: Instant) -> Vec<DemandEntry> {
        self.pools.values().flat_map(|pool| pool.demand(now)).collect()
    }
}

impl SharedState {
    /// Advances the latest known time; earlier times are ignored.
    fn advance_clock(&self, now: Instant) {
        let last = self.latest_now.get();
        self.latest_now.set(Some(last.map_or(now, |last| last.max(now))));
    }

    /// Gives free slots of a pool to queued calls.
    fn admit_queued_calls(self: &Rc<Self>, name: &str, now: Option<Instant>) {
        if let Some(now) = now {
            self.advance_clock(now);
        }
        let Some(now) = self.latest_now.get() else { return };
        let admitted_calls = {
            let mut state = self.admission_state.borrow_mut();
            let AdmissionState { pools, exchange, .. } = &mut *state;
            let Some(pool) = pools.get_mut(name) else { return };
            pool.divide_if_due(&self.options, exchange, now);
            pool.take_slots_for_queued(&self.options, now)
        };
        // The state must not be borrowed here: if a receiver is gone, its permit is dropped at once,
        // and that borrows the state.
        for call in admitted_calls {
            let permit = Permit { shared: self.clone(), pool: name.to_owned(), slot: call.slot };
            drop(call.sender.send(permit));
        }
    }
}

impl Permit {
    /// Frees the slot at `now`. More exact than dropping the permit, which takes the latest time that
    /// the admission control has seen as the end of the call.
    pub fn release(self, now: Instant) {
        self.shared.advance_clock(now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.shared.latest_now.get();
        if let Some(pool) = self.shared.admission_state.borrow_mut().pools.get_mut(&self.pool) {
            pool.free(&self.slot, now);
        }
        self.shared.admit_queued_calls(&self.pool, None);
    }
}
