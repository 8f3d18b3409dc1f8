//! Search for the owner of a job that this VM does not own.

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

/// Reader of leases that asks the store at a bounded rate and remembers the last answer.
///
/// The answer may be old: the owner that is named checks for itself, and the trainer comes back if
/// there is none.
pub struct OwnerLookup {
    store: Store,
    interval: Duration,
    known: RefCell<HashMap<JobName, Known>>,
}

struct Known {
    record: Option<LeaseRecord>,
    asked_at: Instant,
}

impl OwnerLookup {
    /// Returns a lookup that reads the lease of a job at most once an `interval`.
    pub fn new(store: Store, interval: Duration) -> Self {
        Self { store, interval, known: RefCell::default() }
    }

    /// Takes note of a lease that was read for another reason.
    pub fn learn(&self, job: &str, record: LeaseRecord) {
        let known = Known { record: Some(record), asked_at: Instant::now() };
        self.known.borrow_mut().insert(job.to_owned(), known);
    }

    /// Returns the address of the owner, if it is another VM than `vm` and not older than an owner
    /// that the trainer has seen.
    pub async fn owner(&self, job: &str, vm: &VmId, seen: FencingNumber) -> Option<SocketAddr> {
        if self.is_due(job) {
            self.ask(job).await;
        }
        let known = self.known.borrow();
        let record = known.get(job)?.record.as_ref()?;
        redirect_target(record, vm, seen)
    }

    fn is_due(&self, job: &str) -> bool {
        let known = self.known.borrow();
        known.get(job).is_none_or(|known| known.asked_at.elapsed() >= self.interval)
    }

    async fn ask(&self, job: &str) {
        // Set before the call, so that concurrent pulls do not ask at the same time.
        {
            let mut known = self.known.borrow_mut();
            let entry = known
                .entry(job.to_owned())
                .or_insert_with(|| Known { record: None, asked_at: Instant::now() });
            entry.asked_at = Instant::now();
        }
        match self.store.get(LEASE_KIND, &lease_name(job)).await {
            Ok(object) => {
                let record = object.and_then(|object| parse_record(&object).ok());
                let known = Known { record, asked_at: Instant::now() };
                self.known.borrow_mut().insert(job.to_owned(), known);
            }
            // In an outage of the store the last known owner is the best answer.
            Err(error) => log::debug!(target: "roll", "owner not read job={job} error={error}"),
        }
    }
}

/// Returns where a trainer is sent that asked `vm`, given the last lease read.
pub fn redirect_target(record: &LeaseRecord, vm: &VmId, seen: FencingNumber) -> Option<SocketAddr> {
    let usable = !record.holder.is_empty() && record.holder != *vm && record.fencing >= seen;
    if usable { record.address.parse().ok() } else { None }
}
