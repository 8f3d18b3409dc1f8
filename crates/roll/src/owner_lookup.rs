//! Lookup of the VM that owns a job.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::{
    id::{FencingNumber, JobName, VmId},
    object::{LEASE_KIND, LeaseRecord},
};
use deck_plat::{Store, lease::parse_record};

use crate::owner::lease_name;

/// Looks up job owners by reading leases from the object API, with a limited rate and a cache of
/// the last result.
///
/// The result may be outdated. That is safe: the VM it names checks its own lease, and the trainer
/// asks again if that VM does not own the job.
pub struct OwnerLookup {
    store: Store,
    min_query_interval: Duration,
    cached_leases: RefCell<HashMap<JobName, CachedLease>>,
}

/// Result of the latest read of a lease; `record` is `None` if no lease is known.
struct CachedLease {
    record: Option<LeaseRecord>,
    queried_at: Instant,
}

impl OwnerLookup {
    /// Creates a lookup that reads the lease of each job at most once per `min_query_interval`.
    pub fn new(store: Store, min_query_interval: Duration) -> Self {
        Self { store, min_query_interval, cached_leases: RefCell::default() }
    }

    /// Stores a lease that was read elsewhere.
    pub fn record_lease(&self, job: &str, record: LeaseRecord) {
        let cached = CachedLease { record: Some(record), queried_at: Instant::now() };
        self.cached_leases.borrow_mut().insert(job.to_owned(), cached);
    }

    /// Returns the address of the job's owner if it is a VM other than `vm` and its fencing number
    /// is at least `min_fencing`, the highest one that the trainer has seen.
    pub async fn find_owner(
        &self,
        job: &str,
        vm: &VmId,
        min_fencing: FencingNumber,
    ) -> Option<SocketAddr> {
        if self.is_query_due(job) {
            self.query_lease(job).await;
        }
        let cached = self.cached_leases.borrow();
        let record = cached.get(job)?.record.as_ref()?;
        redirect_address(record, vm, min_fencing)
    }

    fn is_query_due(&self, job: &str) -> bool {
        let cached = self.cached_leases.borrow();
        cached.get(job).is_none_or(|cached| cached.queried_at.elapsed() >= self.min_query_interval)
    }

    async fn query_lease(&self, job: &str) {
        // Set before the request, so that concurrent pulls do not query the same lease.
        {
            let mut cached = self.cached_leases.borrow_mut();
            let entry = cached
                .entry(job.to_owned())
                .or_insert_with(|| CachedLease { record: None, queried_at: Instant::now() });
            entry.queried_at = Instant::now();
        }
        match self.store.get(LEASE_KIND, &lease_name(job)).await {
            Ok(object) => {
                let record = object.and_then(|object| parse_record(&object).ok());
                let cached = CachedLease { record, queried_at: Instant::now() };
                self.cached_leases.borrow_mut().insert(job.to_owned(), cached);
            }
            // While the object API is unavailable, the last known owner is the best answer.
            Err(error) => log::debug!(target: "roll", "job lease not read job={job} error={error}"),
        }
    }
}

/// Returns the address to which a trainer that asked `vm` is redirected; `None` if the lease names
/// no usable owner.
pub fn redirect_address(
    record: &LeaseRecord,
    vm: &VmId,
    min_fencing: FencingNumber,
) -> Option<SocketAddr> {
    let is_usable =
        !record.holder.is_empty() && record.holder != *vm && record.fencing >= min_fencing;
    if is_usable { record.address.parse().ok() } else { None }
}
