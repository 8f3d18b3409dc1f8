//! Decisions on leases, without clock and network.

use std::time::{Duration, Instant};

use deck_core::{
    id::{FencingNumber, Revision, VmId},
    object::LeaseRecord,
};

use crate::Precondition;

/// Returns whether a holder may act, given the time since the start of its last successful write,
/// the time counted for which the VM was suspended.
///
/// The lease is valid for two thirds of its duration. The last third covers the time between this check
/// and the effect of the action.
pub fn is_valid_after(since_last_write: Duration, duration: Duration) -> bool {
    since_last_write < valid_time(duration)
}

/// Returns the time for which a lease is valid after the start of a write.
pub fn valid_time(duration: Duration) -> Duration {
    duration * 2 / 3
}

/// Returns the record of a renewal.
pub fn renewal_of(record: &LeaseRecord, duration: Duration) -> LeaseRecord {
    let duration_ms = duration.as_millis() as u64;
    LeaseRecord { renewal: record.renewal + 1, duration_ms, ..record.clone() }
}

/// Returns whether a stored record is of the acquisition of `own`, and not released. A renewal that
/// conflicts may conflict with an earlier one whose answer was lost.
pub fn is_own_acquisition(stored: &LeaseRecord, own: &LeaseRecord) -> bool {
    stored.nonce == own.nonce && !stored.holder.is_empty()
}

/// Permission to write an acquisition.
#[derive(Debug, Clone)]
pub struct Acquisition {
    /// Condition of the write.
    pub condition: Precondition,
    /// Fencing number of the new lease.
    pub fencing: FencingNumber,
    /// Record of the previous holder and when it was first seen; `None` if the lease is new.
    pub previous: Option<(LeaseRecord, Instant)>,
}

/// State of the lease as last read by a candidate.
#[derive(Debug, Clone)]
struct Observation {
    revision: Revision,
    record: LeaseRecord,
    /// When this revision was read for the first time.
    first_seen: Instant,
}

/// What a candidate knows of the lease.
#[derive(Debug, Clone)]
pub struct LeaseObserver {
    holder: VmId,
    reclaim_own: bool,
    /// Last state of the lease that was read.
    last_observation: Option<Observation>,
    /// Time of the first successful read since the object API last failed.
    api_available_since: Option<Instant>,
}

impl LeaseObserver {
    /// Returns the state of a candidate that has read nothing yet. With `reclaim_own` it takes over at
    /// once what an earlier process acquired under the name `holder`.
    pub fn new(holder: VmId, reclaim_own: bool) -> Self {
        Self { holder, reclaim_own, last_observation: None, api_available_since: None }
    }

    /// The lease could not be read.
    pub fn on_read_failed(&mut self) {
        self.api_available_since = None;
    }

    /// The lease was read. Returns how it may be acquired, or the record of its holder.
    ///
    /// # Errors
    ///
    /// Another holder has the lease.
    pub fn on_read(
        &mut self,
        current: Option<(Revision, LeaseRecord)>,
        now: Instant,
    ) -> Result<Acquisition, LeaseRecord> {
        self.api_available_since.get_or_insert(now);
        let Some((revision, record)) = current else {
            return Ok(Acquisition { condition: Precondition::Absent, fencing: 1, previous: None });
        };
        let known = self.last_observation.take().filter(|known| known.revision == revision);
        let observation =
            known.unwrap_or(Observation { revision, record: record.clone(), first_seen: now });
        let first_seen = observation.first_seen;
        self.last_observation = Some(observation);
        if !self.is_available(&record, now) {
            return Err(record);
        }
        Ok(Acquisition {
            condition: Precondition::Revision(revision),
            fencing: record.fencing.saturating_add(1),
            previous: Some((record, first_seen)),
        })
    }

    /// Returns whether the lease was released or has expired.
    ///
    /// During an outage of the object API no holder can renew its lease. If the outage alone
    /// counted as missed renewals, all leases would change holders when it ends. A lease therefore
    /// expires only after the API has been available for half of the duration, in which a live
    /// holder retries several times.
    fn is_available(&self, record: &LeaseRecord, now: Instant) -> bool {
        let has_expired = |observation: &Observation| {
            let duration = Duration::from_millis(observation.record.duration_ms);
            let had_time_to_renew =
                self.api_available_since.is_some_and(|since| now - since >= duration / 2);
            had_time_to_renew && now - observation.first_seen >= duration
        };
        record.holder.is_empty()
            || (self.reclaim_own && record.holder == self.holder)
            || self.last_observation.as_ref().is_some_and(has_expired)
    }
}
