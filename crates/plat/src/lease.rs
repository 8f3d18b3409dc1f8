//! Leases in the object API, with fencing numbers.
//!
//! A lease is an object that its holder renews by conditional updates. Another candidate may take it
//! after its `renewal` counter has not changed for the whole duration on the candidate's own
//! monotonic clock, so no clocks are compared between VMs. Each acquisition raises the fencing
//! number.
//!
//! [`LeaseCandidate`] and [`HeldLease`] are the two states of the life cycle: a candidate turns into
//! a held lease by acquiring it, and a held lease turns back when it is lost or released.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    CancellationToken,
    id::{FencingNumber, Revision, VmId},
    object::{Envelope, LEASE_KIND, LeaseRecord},
};

use crate::{Object, Precondition, Store, StoreError};

/// Returns the time between looks at a lease for the candidate of the given rank, best rank 0.
///
/// Most candidates never ask, to keep within the object API's rates. Ranks come from the liveness of
/// VMs, not of the candidate processes on them, so a few lower ranks ask at longer intervals in case
/// the process of the first two is down.
pub fn candidate_interval(rank: usize) -> Option<Duration> {
    match rank {
        0..2 => Some(Duration::from_secs(2)),
        2..8 => Some(Duration::from_secs(15)),
        _ => None,
    }
}

/// Settings of a lease.
#[derive(Debug, Clone)]
pub struct LeaseOptions {
    /// Time after which an unchanged lease may be taken by another candidate.
    pub duration: Duration,
    /// How often a lost response is resolved by reading back.
    pub resolve_tries: u32,
    /// Whether a lease that an earlier process of this holder had is taken at once. Only right if
    /// one process at a time acts in the name of the holder.
    pub reclaim_own: bool,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self { duration: Duration::from_secs(9), resolve_tries: 3, reclaim_own: false }
    }
}

/// A candidate for a lease that another one may hold.
pub struct LeaseCandidate {
    store: Store,
    name: String,
    holder: VmId,
    address: String,
    options: LeaseOptions,
    /// Gives the duration in place of the one in the options.
    duration: Option<Rc<dyn Fn() -> Duration>>,
    /// The last state of the lease that was read, and when this state was first seen.
    observed: Option<Observation>,
    /// When the object API answered for the first time after it last failed to.
    answered_since: Option<Instant>,
}

struct Observation {
    revision: Revision,
    record: LeaseRecord,
    since: Instant,
}

/// A lease that this process holds.
pub struct HeldLease {
    candidate: LeaseCandidate,
    record: LeaseRecord,
    revision: Revision,
    /// Last state of the lease before this holder, and when it was first seen; `None` if there was
    /// none.
    previous: Option<(LeaseRecord, Instant)>,
    /// Start of the last successful write. The lease lasts `duration` from some moment after it.
    last_write_start: Rc<Cell<Instant>>,
    /// Invariant: not longer than any duration that other candidates may know.
    known_duration: Rc<Cell<Duration>>,
    ended: CancellationToken,
}

/// Read access to the validity of a held lease, for tasks that act under it.
#[derive(Debug, Clone)]
pub struct LeaseToken {
    fencing: FencingNumber,
    known_duration: Rc<Cell<Duration>>,
    last_write_start: Rc<Cell<Instant>>,
    /// Cancelled when the lease is lost or given up.
    ended: CancellationToken,
}

impl LeaseToken {
    /// Returns the fencing number that orders under this lease carry.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns whether the holder may act now; check it right before each act.
    ///
    /// Two thirds of the duration must not have passed since the start of the last successful
    /// renewal. The last third covers the time between this check and the effect of the act.
    pub fn is_valid(&self) -> bool {
        !self.ended.is_cancelled()
            && self.last_write_start.get().elapsed() < self.known_duration.get() * 2 / 3
    }

    /// Stops acting under the lease, for example because a target has seen a later holder.
    pub fn give_up(&self) {
        self.ended.cancel();
    }

    /// Waits until the lease is lost or given up.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }
}

/// How keeping a lease ended.
pub enum Kept {
    /// Another holder has taken the lease.
    Lost(Box<LeaseCandidate>),
    /// The lease was given up because the process stops.
    Released,
}

/// Result of trying to acquire a lease.
pub enum Acquire {
    /// This process holds the lease now.
    Held(HeldLease),
    /// Another holder has it; holds the record as last read.
    HeldElsewhere(LeaseCandidate, LeaseRecord),
    /// The state of the lease is not known.
    Failed(LeaseCandidate, StoreError),
}

impl LeaseCandidate {
    /// Returns a candidate for the lease `name` in the name of `holder`, which serves at `address`.
    pub fn new(
        store: Store,
        name: impl Into<String>,
        holder: VmId,
        address: impl Into<String>,
        options: LeaseOptions,
    ) -> Self {
        let (name, address) = (name.into(), address.into());
        Self {
            store,
            name,
            holder,
            address,
            options,
            duration: None,
            observed: None,
            answered_since: None,
        }
    }

    /// Lets `duration` give the duration of the lease; a change holds from the next write on.
    pub fn with_duration(self, duration: Rc<dyn Fn() -> Duration>) -> Self {
        Self { duration: Some(duration), ..self }
    }

    fn duration(&self) -> Duration {
        self.duration.as_ref().map_or(self.options.duration, |duration| duration())
    }

    /// Reads the lease and takes it if it is free.
    ///
    /// Call this at intervals well below the lease's duration: a lease whose holder is gone is free
    /// only after it was seen unchanged for its whole duration.
    ///
    /// The read may be out of date: the write that takes the lease is conditional on what was read.
    pub async fn try_acquire(mut self) -> Acquire {
        let current = match self.store.get_any(LEASE_KIND, &self.name).await {
            Ok(current) => current,
            Err(error) => {
                self.answered_since = None;
                return Acquire::Failed(self, error);
            }
        };
        self.answered_since.get_or_insert_with(Instant::now);
        let (condition, fencing, previous) = match current {
            None => (Precondition::Absent, 1, None),
            Some(object) => match self.observe(object) {
                Ok((revision, record)) if self.is_free(&record) => {
                    (Precondition::Revision(revision), record.fencing + 1, Some(record))
                }
                Ok((_, record)) => return Acquire::HeldElsewhere(self, record),
                Err(error) => return Acquire::Failed(self, error),
            },
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
        let started = Instant::now();
        let since = self.observed.as_ref().map(|seen| seen.since);
        match self.write(condition, &record).await {
            Ok(revision) => Acquire::Held(HeldLease {
                candidate: self,
                record,
                revision,
                previous: previous.zip(since),
                last_write_start: Rc::new(Cell::new(started)),
                known_duration: Rc::new(Cell::new(duration)),
                ended: CancellationToken::new(),
            }),
            Err(error) => Acquire::Failed(self, error),
        }
    }

    fn observe(&mut self, object: Object) -> Result<(Revision, LeaseRecord), StoreError> {
        let record = parse_record(&object)?;
        let unchanged = self.observed.as_ref().is_some_and(|seen| seen.revision == object.revision);
        if !unchanged {
            self.observed = Some(Observation {
                revision: object.revision,
                record: record.clone(),
                since: Instant::now(),
            });
        }
        Ok((object.revision, record))
    }

    /// Returns whether the observed lease was released or not renewed for its duration.
    ///
    /// The holder cannot renew either while the object API is down. Counting the outage alone as missed
    /// renewals would move all leases at once when it ends, so a live holder has half of the duration
    /// to renew after the outage: it tries several times in that time.
    fn is_free(&self, record: &LeaseRecord) -> bool {
        let is_lapsed = |seen: &Observation| {
            let duration = Duration::from_millis(seen.record.duration_ms);
            let answered = self.answered_since.is_some_and(|since| since.elapsed() >= duration / 2);
            answered && seen.since.elapsed() >= duration
        };
        record.holder.is_empty()
            || (self.options.reclaim_own && record.holder == self.holder)
            || self.observed.as_ref().is_some_and(is_lapsed)
    }

    async fn write(
        &self,
        condition: Precondition,
        record: &LeaseRecord,
    ) -> Result<Revision, StoreError> {
        let value = serde_json::to_value(Envelope::new(record))
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        let tries = self.options.resolve_tries;
        self.store.put_resolved(LEASE_KIND, &self.name, condition, &value, tries).await
    }
}

impl HeldLease {
    /// Returns the fencing number that orders under this lease carry.
    pub fn fencing(&self) -> FencingNumber {
        self.record.fencing
    }

    /// Returns the holder before this one; `None` if there was none or it gave the lease up.
    pub fn previous_holder(&self) -> Option<&str> {
        self.previous().map(|(record, _)| record.holder.as_str())
    }

    /// Returns the moment from which on the holder before this one no longer acts; `None` if there was
    /// none or it gave the lease up.
    ///
    /// Its last renewal began before its state was first seen, and it acts for two thirds of the
    /// duration after that, see [`LeaseToken::is_valid`].
    pub fn previous_acts_until(&self) -> Option<Instant> {
        let (record, since) = self.previous()?;
        Some(*since + Duration::from_millis(record.duration_ms) * 2 / 3)
    }

    fn previous(&self) -> Option<&(LeaseRecord, Instant)> {
        self.previous.as_ref().filter(|(record, _)| !record.holder.is_empty())
    }

    /// Returns a token with which tasks check that the lease is valid.
    pub fn token(&self) -> LeaseToken {
        LeaseToken {
            fencing: self.record.fencing,
            known_duration: self.known_duration.clone(),
            last_write_start: self.last_write_start.clone(),
            ended: self.ended.clone(),
        }
    }

    /// Returns whether the holder may still act, see [`LeaseToken::is_valid`].
    pub fn is_valid(&self) -> bool {
        self.token().is_valid()
    }

    /// Renews the lease until it is lost, or until `cancel` is cancelled and it is given up.
    ///
    /// While the object API is down the lease is kept and renewed when it comes back, unless another
    /// holder has taken it; meanwhile [`LeaseToken::is_valid`] tells that the holder must not act.
    pub async fn keep(mut self, cancel: CancellationToken) -> Kept {
        let mut wait = self.renewal_interval();
        loop {
            if cancel.run_until_cancelled(monoio::time::sleep(wait)).await.is_none() {
                self.ended.cancel();
                if let Err(error) = self.release().await {
                    log::warn!(target: "lease", "release failed error={error}");
                }
                return Kept::Released;
            }
            match self.renew().await {
                Ok(()) => wait = self.renewal_interval(),
                Err(StoreError::Conflict(_)) => {
                    self.ended.cancel();
                    return Kept::Lost(Box::new(self.into_candidate()));
                }
                Err(error) => {
                    // A single failed call must not use up half of the time in which the holder may
                    // act without a renewal.
                    wait = self.renewal_interval() / 4;
                    log::warn!(target: "lease", "not renewed lease={} error={error}", self.name());
                }
            }
        }
    }

    /// Returns the lease's name.
    pub fn name(&self) -> &str {
        &self.candidate.name
    }

    /// Returns the time between renewals, a third of the duration.
    pub fn renewal_interval(&self) -> Duration {
        self.candidate.duration() / 3
    }

    /// Renews the lease.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Conflict`] the lease belongs to another holder. After any other error the
    /// lease may be renewed later while [`HeldLease::is_valid`] holds.
    pub async fn renew(&mut self) -> Result<(), StoreError> {
        let mut record = self.record.clone();
        record.renewal += 1;
        let duration = self.candidate.duration();
        record.duration_ms = duration.as_millis() as u64;
        // The write may take effect although its response is lost.
        self.known_duration.set(self.known_duration.get().min(duration));
        let started = Instant::now();
        let condition = Precondition::Revision(self.revision);
        self.revision = self.candidate.write(condition, &record).await?;
        self.record = record;
        self.known_duration.set(duration);
        self.last_write_start.set(started);
        Ok(())
    }

    /// Gives the lease up, so that another candidate can take it at once.
    ///
    /// # Errors
    ///
    /// After an error the lease ends by its duration.
    pub async fn release(self) -> Result<(), StoreError> {
        self.ended.cancel();
        let record = LeaseRecord { holder: VmId::new(), ..self.record };
        self.candidate.write(Precondition::Revision(self.revision), &record).await.map(drop)
    }

    /// Turns the lease back into a candidate after it was lost.
    pub fn into_candidate(self) -> LeaseCandidate {
        self.ended.cancel();
        self.candidate
    }
}

/// Reads the record of a lease object.
///
/// # Errors
///
/// Returns [`StoreError::Decode`] if the object is not a lease.
pub fn parse_record(object: &Object) -> Result<LeaseRecord, StoreError> {
    let envelope: Envelope<LeaseRecord> = serde_json::from_value(object.value.clone())
        .map_err(|error| StoreError::Decode(error.to_string()))?;
    Ok(envelope.spec)
}
