//! Leases in the object API, with fencing numbers.
//!
//! A lease is an object that its holder renews with conditional writes. A candidate may take it
//! over once it has observed no renewal for the lease's whole duration on its own monotonic clock,
//! so clocks of different VMs are never compared. Each acquisition increments the fencing number.
//!
//! [`LeaseCandidate`] and [`HeldLease`] are the two states of the life cycle: acquiring the lease
//! turns a candidate into a held lease, and losing it turns the held lease back into a candidate.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    CancellationToken,
    boot_clock::BootInstant,
    id::{FencingNumber, Revision, VmId},
    object::{Envelope, LEASE_KIND, LeaseRecord},
};

use crate::{
    Object, Precondition, Store, StoreError,
    lease_decision::{
        Acquisition, LeaseObserver, is_own_acquisition, is_valid_after, renewal_of, valid_time,
    },
};

/// Returns how often the candidate with the given rank, 0 being the best, checks whether the lease
/// can be acquired; `None` if it does not check at all.
///
/// Only a few candidates check, to stay within the rate limits of the object API. Ranks reflect the
/// liveness of VMs rather than of the processes on them, so some lower ranks check at a longer
/// interval in case the processes of the first two are down.
pub fn candidate_poll_interval(rank: usize) -> Option<Duration> {
    match rank {
        0..2 => Some(Duration::from_secs(2)),
        2..8 => Some(Duration::from_secs(15)),
        _ => None,
    }
}

/// Options of a lease.
#[derive(Debug, Clone)]
pub struct LeaseOptions {
    /// Time without a renewal after which another candidate may take over the lease.
    pub duration: Duration,
    /// Maximum number of reads that determine whether a write with a lost response took effect.
    pub max_read_backs: u32,
    /// Whether to take over a lease at once that an earlier process acquired under the same holder
    /// name. Safe only if at most one process at a time uses that name.
    pub reclaim_own: bool,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self { duration: Duration::from_secs(9), max_read_backs: 3, reclaim_own: false }
    }
}

/// Holder in the record that stands for an undecodable one.
const UNKNOWN_HOLDER: &str = "unknown";

/// Candidate that tries to acquire a lease.
pub struct LeaseCandidate {
    store: Store,
    name: String,
    holder: VmId,
    address: String,
    options: LeaseOptions,
    /// Returns the current duration, which replaces the fixed duration of the options.
    duration_source: Option<Rc<dyn Fn() -> Duration>>,
    observer: LeaseObserver,
}

/// Lease that is held by this process.
pub struct HeldLease {
    candidate: LeaseCandidate,
    record: LeaseRecord,
    revision: Revision,
    /// Record of the previous holder and when it was first seen; `None` if the lease is new.
    previous_lease: Option<(LeaseRecord, Instant)>,
    /// Start of the last successful write. The lease does not expire before its duration has passed
    /// since then, also while this VM is suspended.
    last_write_start: Rc<Cell<BootInstant>>,
    /// Duration for which other candidates wait without a renewal. Invariant: at most the shortest
    /// duration that they may have read.
    published_duration: Rc<Cell<Duration>>,
    invalidated: CancellationToken,
}

/// Handle for the tasks that act under a lease; they check with it that the lease is still valid.
#[derive(Debug, Clone)]
pub struct LeaseToken {
    fencing: FencingNumber,
    published_duration: Rc<Cell<Duration>>,
    last_write_start: Rc<Cell<BootInstant>>,
    /// Cancelled when the lease is lost, released or invalidated.
    invalidated: CancellationToken,
}

impl LeaseToken {
    /// Returns the fencing number that is sent with orders under this lease.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns whether the holder may act under the lease; check it right before each action.
    ///
    /// See [`is_valid_after`].
    pub fn is_valid(&self) -> bool {
        !self.invalidated.is_cancelled()
            && is_valid_after(self.last_write_start.get().elapsed(), self.published_duration.get())
    }

    /// Invalidates the lease on this VM, for example after a target has seen a higher fencing
    /// number.
    pub fn revoke(&self) {
        self.invalidated.cancel();
    }

    /// Waits until the lease is lost, released or invalidated.
    pub async fn ended(&self) {
        self.invalidated.cancelled().await;
    }
}

/// Reason why a lease is no longer held.
pub enum LeaseEnd {
    /// Another holder has taken the lease over.
    Lost(Box<LeaseCandidate>),
    /// The lease was released because the process is stopping.
    Released,
}

/// Result of an attempt to acquire a lease.
pub enum AcquireResult {
    /// This process holds the lease now.
    Held(HeldLease),
    /// Another holder has the lease; contains the record as last read.
    HeldElsewhere(LeaseCandidate, LeaseRecord),
    /// The object API call failed, so the state of the lease is unknown.
    Failed(LeaseCandidate, StoreError),
}

impl LeaseCandidate {
    /// Returns a candidate for the lease `name`. The lease record will contain `holder` and the
    /// `address` at which it serves.
    pub fn new(
        store: Store,
        name: impl Into<String>,
        holder: VmId,
        address: impl Into<String>,
        options: LeaseOptions,
    ) -> Self {
        let (name, address) = (name.into(), address.into());
        let observer = LeaseObserver::new(holder.clone(), options.reclaim_own);
        Self { store, name, holder, address, options, duration_source: None, observer }
    }

    /// Reads the duration of the lease from a function; a change takes effect with the next write.
    pub fn with_duration_source(self, duration: Rc<dyn Fn() -> Duration>) -> Self {
        Self { duration_source: Some(duration), ..self }
    }

    fn duration(&self) -> Duration {
        self.duration_source.as_ref().map_or(self.options.duration, |duration| duration())
    }

    /// Reads the lease and acquires it if it is available.
    ///
    /// Call it at intervals well below the lease's duration: a lease that was not released becomes
    /// available only after this candidate has seen it unchanged for its whole duration.
    ///
    /// The read may be stale, because the write is conditional on the revision that was read.
    pub async fn try_acquire(mut self) -> AcquireResult {
        let current = match self.store.get_stale(LEASE_KIND, &self.name).await {
            Ok(current) => current,
            Err(error) => {
                self.observer.on_read_failed();
                return AcquireResult::Failed(self, error);
            }
        };
        let current = current.map(|object| (object.revision, self.decode(&object)));
        let Acquisition { condition, fencing, previous } =
            match self.observer.on_read(current, Instant::now()) {
                Ok(acquisition) => acquisition,
                Err(record) => return AcquireResult::HeldElsewhere(self, record),
            };
        let duration = self.duration();
        let record = LeaseRecord {
            holder: self.holder.clone(),
            address: self.address.clone(),
            fencing,
            duration_ms: duration.as_millis() as u64,
            renewal: 0,
            nonce: deck_core::id::random_id(),
        };
        let write_started = BootInstant::now();
        match self.write_record(condition, &record).await {
            Ok(revision) => AcquireResult::Held(HeldLease {
                candidate: self,
                record,
                revision,
                previous_lease: previous,
                last_write_start: Rc::new(Cell::new(write_started)),
                published_duration: Rc::new(Cell::new(duration)),
                invalidated: CancellationToken::new(),
            }),
            Err(error) => AcquireResult::Failed(self, error),
        }
    }

    /// Decodes a lease that was read.
    fn decode(&self, object: &Object) -> LeaseRecord {
        parse_record(object).unwrap_or_else(|error| {
            log::warn!(target: "lease", "undecodable lease={} revision={} error={error}", self.name, object.revision);
            self.record_of_unknown_holder(object.revision)
        })
    }

    /// Returns the record that stands for an undecodable one with this revision. Its holder may still
    /// act, so it is not available before its duration has passed.
    ///
    /// Each acquisition is a write and increases the revision, so that no fencing number is higher
    /// than the revision.
    fn record_of_unknown_holder(&self, revision: Revision) -> LeaseRecord {
        LeaseRecord {
            holder: UNKNOWN_HOLDER.to_owned(),
            address: String::new(),
            fencing: revision,
            duration_ms: self.duration().as_millis() as u64,
            renewal: 0,
            nonce: String::new(),
        }
    }

    /// Writes a record; if the response is lost, determines whether the write took effect.
    async fn write_record(
        &self,
        condition: Precondition,
        record: &LeaseRecord,
    ) -> Result<Revision, StoreError> {
        let value = serde_json::to_value(Envelope::new(record))
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        let max_read_backs = self.options.max_read_backs;
        self.store
            .put_with_read_back(LEASE_KIND, &self.name, condition, &value, max_read_backs)
            .await
    }
}

impl HeldLease {
    /// Returns the fencing number that is sent with orders under this lease.
    pub fn fencing(&self) -> FencingNumber {
        self.record.fencing
    }

    /// Returns the previous holder; `None` if there was none or it released the lease.
    pub fn previous_holder(&self) -> Option<&str> {
        self.unreleased_previous_lease().map(|(record, _)| record.holder.as_str())
    }

    /// Returns when the previous holder's lease becomes invalid at the latest; `None` if there was
    /// none or it released the lease.
    ///
    /// Its last renewal started before the renewed record was first seen, and it may act for two
    /// thirds of the duration from then on, see [`LeaseToken::is_valid`].
    pub fn previous_valid_until(&self) -> Option<Instant> {
        let (record, first_seen) = self.unreleased_previous_lease()?;
        Some(*first_seen + valid_time(Duration::from_millis(record.duration_ms)))
    }

    /// Returns the previous lease unless its holder released it, which leaves an empty holder.
    fn unreleased_previous_lease(&self) -> Option<&(LeaseRecord, Instant)> {
        self.previous_lease.as_ref().filter(|(record, _)| !record.holder.is_empty())
    }

    /// Returns a token with which tasks check that the lease is valid.
    pub fn token(&self) -> LeaseToken {
        LeaseToken {
            fencing: self.record.fencing,
            published_duration: self.published_duration.clone(),
            last_write_start: self.last_write_start.clone(),
            invalidated: self.invalidated.clone(),
        }
    }

    /// Returns whether the holder may act under the lease, see [`LeaseToken::is_valid`].
    pub fn is_valid(&self) -> bool {
        self.token().is_valid()
    }

    /// Renews the lease periodically until it is lost, or releases it when `cancel` is cancelled.
    ///
    /// During an outage of the object API renewals are retried until they succeed or another holder
    /// has taken the lease. Meanwhile [`LeaseToken::is_valid`] returns false once the lease may
    /// have expired.
    pub async fn renew_until_cancelled(mut self, cancel: CancellationToken) -> LeaseEnd {
        let mut next_renewal_delay = self.renewal_interval();
        loop {
            if cancel.run_until_cancelled(monoio::time::sleep(next_renewal_delay)).await.is_none() {
                self.invalidated.cancel();
                if let Err(error) = self.release().await {
                    log::warn!(target: "lease", "release failed error={error}");
                }
                return LeaseEnd::Released;
            }
            match self.renew().await {
                Ok(()) => next_renewal_delay = self.renewal_interval(),
                Err(StoreError::Conflict(_)) => {
                    self.invalidated.cancel();
                    return LeaseEnd::Lost(Box::new(self.into_candidate()));
                }
                Err(error) => {
                    // Retry soon: one failed renewal must not use up half of the time for which the
                    // lease is valid without a renewal.
                    next_renewal_delay = self.renewal_interval() / 4;
                    log::warn!(target: "lease", "not renewed lease={} error={error}", self.name());
                }
            }
        }
    }

    /// Returns the name of the lease object.
    pub fn name(&self) -> &str {
        &self.candidate.name
    }

    /// Returns the interval between renewals, a third of the duration.
    pub fn renewal_interval(&self) -> Duration {
        self.candidate.duration() / 3
    }

    /// Renews the lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] means that another holder has the lease. After any other error the
    /// renewal can be retried.
    pub async fn renew(&mut self) -> Result<(), StoreError> {
        match self.write_renewal().await {
            // The conflict may be with an earlier renewal whose response was lost.
            Err(StoreError::Conflict(_)) if self.adopt_own_renewal().await? => {
                self.write_renewal().await
            }
            result => result,
        }
    }

    /// Reads the lease and adopts its revision if this holder wrote it. Returns whether it did.
    async fn adopt_own_renewal(&mut self) -> Result<bool, StoreError> {
        let Some(object) = self.candidate.store.get(LEASE_KIND, self.name()).await? else {
            return Ok(false);
        };
        // An undecodable record is another writer's.
        let Ok(record) = parse_record(&object) else { return Ok(false) };
        let is_own = is_own_acquisition(&record, &self.record);
        if is_own {
            self.revision = object.revision;
            self.record = record;
        }
        Ok(is_own)
    }

    async fn write_renewal(&mut self) -> Result<(), StoreError> {
        let duration = self.candidate.duration();
        let record = renewal_of(&self.record, duration);
        // The write may take effect even if its response is lost.
        self.published_duration.set(self.published_duration.get().min(duration));
        let write_started = BootInstant::now();
        let condition = Precondition::Revision(self.revision);
        self.revision = self.candidate.write_record(condition, &record).await?;
        self.record = record;
        self.published_duration.set(duration);
        self.last_write_start.set(write_started);
        Ok(())
    }

    /// Releases the lease, so that another candidate can acquire it at once.
    ///
    /// # Errors
    ///
    /// If the write fails, the lease expires after its duration.
    pub async fn release(self) -> Result<(), StoreError> {
        self.invalidated.cancel();
        let record = LeaseRecord { holder: VmId::new(), ..self.record };
        self.candidate.write_record(Precondition::Revision(self.revision), &record).await.map(drop)
    }

    /// Invalidates the lease and returns a candidate for it, for use after the lease was lost.
    pub fn into_candidate(self) -> LeaseCandidate {
        self.invalidated.cancel();
        self.candidate
    }
}

/// Parses the record of a lease object.
///
/// # Errors
///
/// Returns [`StoreError::Decode`] if the object is not a lease.
pub fn parse_record(object: &Object) -> Result<LeaseRecord, StoreError> {
    let envelope: Envelope<LeaseRecord> = serde_json::from_value(object.value.clone())
        .map_err(|error| StoreError::Decode(error.to_string()))?;
    Ok(envelope.spec)
}
