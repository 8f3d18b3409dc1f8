//! What has been ordered in each data centre, and what is known of each order's effect.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use deck_core::id::DataCentreId;
use serde::{Deserialize, Serialize};

/// Whether targets may be reclaimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpotKind {
    /// Cheaper targets, which may be reclaimed.
    Spot,
    /// Targets that stay.
    Regular,
}

/// Targets that are ordered together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// Data centre of the targets.
    pub data_centre: DataCentreId,
    /// Kind of the targets.
    pub kind: SpotKind,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The order is carried out.
    Accepted,
    /// There are no such targets now, or a newer leader exists; the order has no effect.
    Refused,
    /// Too many calls; the order has no effect.
    Busy,
    /// It is unknown whether and when the order takes effect.
    Unanswered,
}

impl Outcome {
    /// Returns the label value used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Busy => "busy",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Numbers of targets of one service in one data centre, as stored for the next leader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedCounts {
    /// Regular targets that were present before the first order.
    pub present: u32,
    /// Regular targets ordered, or present.
    pub regular: u32,
    /// Spot targets ordered, or present.
    pub spot: u32,
}

/// State of a service that the next leader needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Numbers for each data centre.
    pub data_centres: BTreeMap<DataCentreId, RecordedCounts>,
}

/// Time beyond the boot time after which an ordered target should be in the list of targets.
const APPEARANCE_MARGIN: Duration = Duration::from_secs(4);
/// Time for which targets have to be missing before they count as gone; entries of live targets may be
/// absent for a few seconds after an outage of the object API.
const MISSING_TIME: Duration = Duration::from_secs(5);
/// Time for which regular targets have to be missing before they count as gone.
const LOST_TIME: Duration = Duration::from_secs(60);
/// Time after which a call without an answer is no longer expected to be executed.
const LATE_EXECUTION: Duration = Duration::from_secs(15);
/// First wait after a refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(4);
/// First wait after a call without an answer.
const RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of times that a wait doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Order state of one subject.
#[derive(Debug, Clone, Default)]
struct SubjectState {
    /// Number ordered, or present without an order.
    ordered: u32,
    /// Live targets that are ready.
    live: u32,
    /// Until when ordered targets may still appear.
    appear_until: Option<Instant>,
    /// Number of targets that may still appear, of those that are missing; the others are lost.
    expected: u32,
    /// Until when targets that have been given up may still be live.
    leave_until: Option<Instant>,
    /// Since when fewer targets are live than were ordered.
    short_since: Option<Instant>,
    /// No order before this time.
    backoff_until: Option<Instant>,
    /// Consecutive refusals and orders without effect.
    refusals: u32,
    /// The last call without an answer.
    unanswered: Option<UnansweredCall>,
}

/// Calls without an answer, which may be executed late.
#[derive(Debug, Clone, Copy)]
struct UnansweredCall {
    /// Lowest number that such a call orders.
    lowest: u32,
    /// Highest number that such a call orders.
    highest: u32,
    /// When the last of them was sent.
    sent_at: Instant,
    /// When the present number is sent again.
    retry_at: Instant,
    retries: u32,
    /// Whether a later call had an answer. The present number is then sent again only if it differs.
    is_superseded: bool,
}

impl UnansweredCall {
    /// Returns the state after a later call had an answer; `None` if the calls are no longer expected
    /// to be executed.
    fn superseded(self, now: Instant) -> Option<Self> {
        let retry_at = self.sent_at + LATE_EXECUTION;
        (retry_at > now).then_some(Self { retry_at, is_superseded: true, ..self })
    }

    /// Returns whether the execution of such a call may have undone an order of `ordered` targets.
    fn may_undo(&self, ordered: u32) -> bool {
        (self.lowest, self.highest) != (ordered, ordered)
    }
}

/// Orders of one service.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    subjects: BTreeMap<Subject, SubjectState>,
    /// Regular targets that were present before the first order, by data centre.
    present: BTreeMap<DataCentreId, u32>,
    has_ordered: bool,
}

impl Ledger {
    /// Restores the orders of earlier leaders. Their last orders may have been sent just before `now`.
    pub fn restore(record: &ServiceRecord, boot_time: Duration, now: Instant) -> Self {
        let mut ledger = Self { has_ordered: true, ..Self::default() };
        for (data_centre, counts) in &record.data_centres {
            ledger.present.insert(data_centre.clone(), counts.present);
            for (kind, ordered) in
                [(SpotKind::Regular, counts.regular), (SpotKind::Spot, counts.spot)]
            {
                let subject = Subject { data_centre: data_centre.clone(), kind };
                let appear_until = Some(now + boot_time + APPEARANCE_MARGIN);
                let state = SubjectState {
                    ordered,
                    appear_until,
                    expected: ordered,
                    ..SubjectState::default()
                };
                ledger.subjects.insert(subject, state);
            }
        }
        ledger
    }

    /// Returns what the next leader needs.
    pub fn record(&self) -> ServiceRecord {
        let counts = |data_centre: &DataCentreId| RecordedCounts {
            present: self.present.get(data_centre).copied().unwrap_or(0),
            regular: self.ordered(data_centre, SpotKind::Regular),
            spot: self.ordered(data_centre, SpotKind::Spot),
        };
        let names = self.subjects.keys().map(|subject| &subject.data_centre);
        ServiceRecord { data_centres: names.map(|name| (name.clone(), counts(name))).collect() }
    }

    /// Takes the numbers of ready targets into account.
    pub fn observe(&mut self, live: &BTreeMap<Subject, u32>, now: Instant) {
        for subject in live.keys() {
            self.subjects.entry(subject.clone()).or_default();
        }
        for (subject, state) in &mut self.subjects {
            state.live = live.get(subject).copied().unwrap_or(0);
            if state.live >= state.ordered {
                if state.leave_until.is_none_or(|until| until <= now) {
                    state.ordered = state.live;
                }
                state.refusals = 0;
                (state.short_since, state.appear_until) = (None, None);
            } else if state.short_since.is_none() {
                state.short_since = Some(now);
            }
            if state.live < state.ordered && state.appear_until.is_some_and(|until| until <= now) {
                // The ordered targets are not there, or have been reclaimed or lost.
                state.appear_until = None;
                state.refuse(REFUSAL_BACKOFF, now);
            }
            let is_missing = |time| state.short_since.is_some_and(|since| now >= since + time);
            // Reclaimed targets do not come back by themselves. A lost regular target may, and may still
            // count for the platform, so that a lower order would take away another one.
            let (missing_time, lowest) = match subject.kind {
                SpotKind::Spot => (MISSING_TIME, 0),
                SpotKind::Regular => {
                    (LOST_TIME, self.present.get(&subject.data_centre).copied().unwrap_or(0))
                }
            };
            if is_missing(missing_time) && !state.expects(now) {
                state.ordered = state.live.max(lowest.min(state.ordered));
                state.short_since = None;
            }
            let is_settled = |call: &UnansweredCall| {
                call.is_superseded && call.retry_at <= now && !call.may_undo(state.ordered)
            };
            if state.unanswered.as_ref().is_some_and(is_settled) {
                state.unanswered = None;
            }
            if subject.kind == SpotKind::Regular && !self.has_ordered {
                let present = self.present.entry(subject.data_centre.clone()).or_default();
                *present = (*present).max(state.live);
            }
        }
    }

    /// Returns the number of regular targets that were present before the first order.
    pub fn present(&self, data_centre: &DataCentreId) -> u32 {
        self.present.get(data_centre).copied().unwrap_or(0)
    }

    /// Returns the number of regular targets that were present before the first order in all data
    /// centres.
    pub fn total_present(&self) -> u32 {
        self.present.values().sum()
    }

    /// Returns the data centres in which the service has, or had, targets.
    pub fn data_centres(&self) -> Vec<DataCentreId> {
        let mut names: Vec<_> = self.subjects.keys().map(|s| s.data_centre.clone()).collect();
        names.dedup();
        names
    }

    /// Returns the number of targets that were ordered last, or are present.
    pub fn ordered(&self, data_centre: &DataCentreId, kind: SpotKind) -> u32 {
        let subject = Subject { data_centre: data_centre.clone(), kind };
        self.subjects.get(&subject).map_or(0, |state| state.ordered)
    }

    /// Returns the number of ordered targets that should still appear.
    pub fn expected(&self, data_centre: &DataCentreId, kind: SpotKind, now: Instant) -> u32 {
        let subject = Subject { data_centre: data_centre.clone(), kind };
        let missing =
            |state: &SubjectState| state.ordered.saturating_sub(state.live).min(state.expected);
        self.subjects.get(&subject).filter(|state| state.expects(now)).map_or(0, missing)
    }

    /// Returns the number of spot targets that are live or should still appear, in all data centres.
    pub fn total_spot(&self, now: Instant) -> u32 {
        let spot = self.subjects.iter().filter(|(subject, _)| subject.kind == SpotKind::Spot);
        let held = |state: &SubjectState| match state.expects(now) {
            true => state.live.max(state.ordered),
            false => state.live,
        };
        spot.map(|(_, state)| held(state)).sum()
    }

    /// Returns whether a new number may be ordered now.
    pub fn is_available(&self, data_centre: &DataCentreId, kind: SpotKind, now: Instant) -> bool {
        let subject = Subject { data_centre: data_centre.clone(), kind };
        let Some(state) = self.subjects.get(&subject) else { return true };
        // Fewer spot targets than ordered, which are neither booting nor known to be gone: the live
        // number is not certain enough to order a new one.
        let is_uncertain =
            kind == SpotKind::Spot && state.live < state.ordered && !state.expects(now);
        !is_uncertain && state.backoff_until.is_none_or(|until| until <= now)
    }

    /// Returns a number to send again, because an earlier call of the subject had no answer.
    pub fn repetition(&self, now: Instant) -> Option<(Subject, u32)> {
        let is_due = |call: UnansweredCall| call.retry_at <= now;
        let mut subjects = self.subjects.iter();
        let due = subjects.find(|(_, state)| state.unanswered.is_some_and(is_due));
        due.map(|(subject, state)| (subject.clone(), state.ordered))
    }

    /// Returns whether the last call of any subject had no answer, which delays new orders.
    pub fn is_waiting_for_api(&self, now: Instant) -> bool {
        let is_open = |call: UnansweredCall| !call.is_superseded && call.retry_at > now;
        self.subjects.values().filter_map(|state| state.unanswered).any(is_open)
    }

    /// Records that a number is about to be ordered; call it before [`Ledger::record`] is stored.
    /// Returns the previous number.
    pub fn begin(&mut self, subject: &Subject, count: u32) -> u32 {
        self.has_ordered = true;
        let state = self.subjects.entry(subject.clone()).or_default();
        std::mem::replace(&mut state.ordered, count)
    }

    /// Takes back [`Ledger::begin`] for an order that has not been sent.
    pub fn cancel(&mut self, subject: &Subject, previous: u32) {
        self.subjects.entry(subject.clone()).or_default().ordered = previous;
    }

    /// Records the outcome of the order that [`Ledger::begin`] announced. `min_backoff` is the
    /// shortest wait after a refusal.
    pub fn end(
        &mut self,
        subject: &Subject,
        previous: u32,
        outcome: Outcome,
        boot_time: Duration,
        min_backoff: Duration,
        now: Instant,
    ) {
        let state = self.subjects.entry(subject.clone()).or_default();
        let count = state.ordered;
        match outcome {
            Outcome::Accepted => {
                state.expect_effect(previous, boot_time, now);
                // A call without an answer may still be executed after this one.
                state.unanswered = state.unanswered.and_then(|call| call.superseded(now));
            }
            Outcome::Refused => {
                state.ordered = previous.max(state.live);
                state.unanswered = state.unanswered.and_then(|call| call.superseded(now));
                state.refuse(REFUSAL_BACKOFF.max(min_backoff), now);
            }
            Outcome::Busy => {
                state.ordered = previous;
                state.backoff_until = Some(now + RETRY_BACKOFF);
                if let Some(call) = &mut state.unanswered {
                    call.retry_at = call.retry_at.max(now + RETRY_BACKOFF);
                }
            }
            Outcome::Unanswered => {
                state.expect_effect(previous, boot_time, now);
                let retries = state.unanswered.map_or(0, |call| call.retries + 1);
                let retry_at = now + RETRY_BACKOFF * (1 << retries.min(MAX_DOUBLINGS));
                let earlier = state.unanswered;
                let call = UnansweredCall {
                    lowest: earlier.map_or(count, |call| call.lowest.min(count)),
                    highest: earlier.map_or(count, |call| call.highest.max(count)),
                    sent_at: now,
                    retry_at,
                    retries,
                    is_superseded: false,
                };
                state.unanswered = Some(call);
            }
        }
    }
}

impl SubjectState {
    /// Returns whether ordered targets may still appear.
    fn expects(&self, now: Instant) -> bool {
        self.appear_until.is_some_and(|until| until > now)
    }

    /// Waits for the effect of an order that was sent now.
    fn expect_effect(&mut self, previous: u32, boot_time: Duration, now: Instant) {
        let until = Some(now + boot_time + APPEARANCE_MARGIN);
        match self.ordered.cmp(&self.live) {
            std::cmp::Ordering::Greater => {
                let earlier = if self.expects(now) { self.expected } else { 0 };
                self.expected = earlier + self.ordered.saturating_sub(previous);
                self.appear_until = until;
            }
            std::cmp::Ordering::Less => self.leave_until = until,
            std::cmp::Ordering::Equal => {}
        }
    }

    fn refuse(&mut self, backoff: Duration, now: Instant) {
        self.backoff_until = Some(now + backoff * (1 << self.refusals.min(MAX_DOUBLINGS)));
        self.refusals += 1;
    }
}
