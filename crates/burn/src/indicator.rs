//! Service-level indicators: which events count towards an objective, and which of them are good.

use deck_core::{
    error::ErrorKind,
    object::{Indicator, ServiceObjective},
};
use deck_obs::metrics::LATENCY_BUCKET_BOUNDS_S;
use serde::{Deserialize, Serialize};

use crate::series::Increment;

/// Value of the label `code` for requests that completed without an error.
pub const OK_CODE: &str = "ok";

/// Value of the label `code` for requests that a target answered with a status from 400 to 499. They
/// are good, because the caller received the complete response of the target.
const TARGET_REFUSAL_CODE: &str = "target_4xx";
/// Value of the label `code` for requests that a target answered with a status of 500 or above.
const TARGET_FAULT_CODE: &str = "target_5xx";

/// Event counts of one objective in one time window.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Good events.
    pub good: f64,
    /// All events that count towards the objective.
    pub total: f64,
    /// Requests refused because the organisation's own share was used up. They are not included in
    /// `total`.
    pub own_share_refused: f64,
    /// Events in the histogram bucket that contains the latency bound. Some of them may be good; all are
    /// counted as bad.
    pub uncertain: f64,
}

impl Counts {
    /// Adds other counts field by field.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
        self.own_share_refused += other.own_share_refused;
        self.uncertain += other.uncertain;
    }

    /// Returns the ratio of bad events to all events, or `None` if there are no events.
    pub fn bad_ratio(&self) -> Option<f64> {
        (self.total > 0.0).then(|| ((self.total - self.good) / self.total).clamp(0.0, 1.0))
    }
}

/// Effect of a request on availability, by its code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CodeClass {
    /// The request was answered.
    Good,
    /// The request failed because of a fault of the service.
    Bad,
    /// The caller caused the error; the request does not count.
    CallerError,
    /// The organisation's own share was used up; such requests do not count, but are reported
    /// separately.
    OwnShareExhausted,
}

/// Classifies a value of the label `code`.
///
/// Errors with a status of 500 or above and requests with an unknown outcome are faults of the service.
/// Other errors are caused by the caller. An unrecognised code counts as a fault, so that a new code is
/// not overlooked.
pub fn classify_code(code: &str) -> CodeClass {
    match code {
        OK_CODE | TARGET_REFUSAL_CODE => return CodeClass::Good,
        TARGET_FAULT_CODE => return CodeClass::Bad,
        _ => {}
    }
    let kind = ErrorKind::ALL.iter().find(|kind| kind.properties().code == code);
    match kind {
        Some(ErrorKind::ShareExhausted) => CodeClass::OwnShareExhausted,
        Some(ErrorKind::KeyOutcomeUnknown | ErrorKind::KeyInProgress) | None => CodeClass::Bad,
        Some(kind) if kind.properties().status >= 500 => CodeClass::Bad,
        Some(_) => CodeClass::CallerError,
    }
}

/// Returns the counts that a metric increment adds to an objective, or `None` if the metric or its
/// labels do not belong to the objective.
pub fn contribution(objective: &ServiceObjective, increment: &Increment) -> Option<Counts> {
    let label = |name: &str| increment.labels.get(name).map(String::as_str);
    if label("organisation") != Some(&objective.organisation)
        || label("pool") != Some(&objective.pool)
    {
        return None;
    }
    let value = increment.value;
    let name = increment.name.as_str();
    match &objective.indicator {
        Indicator::Availability if name == "deckentry_requests_total" => {
            Some(availability_counts(label("code")?, value))
        }
        Indicator::TrainerIdle if name == "deckroll_trainer_elapsed_seconds_total" => {
            Some(Counts { good: value, total: value, ..Counts::default() })
        }
        // The elapsed time includes the idle time, so the idle time is subtracted from the good time.
        Indicator::TrainerIdle if name == "deckroll_trainer_idle_seconds_total" => {
            Some(Counts { good: -value, ..Counts::default() })
        }
        Indicator::Staleness { bound_versions } if name == "deckroll_samples_sent_total" => {
            let staleness: u64 = label("staleness_versions")?.parse().ok()?;
            let good = if staleness <= *bound_versions { value } else { 0.0 };
            Some(Counts { good, total: value, ..Counts::default() })
        }
        Indicator::Latency { bound_ms } if name == "deckentry_request_duration_seconds_bucket" => {
            Some(latency_bucket_counts(label("le")?, *bound_ms, value))
        }
        _ => None,
    }
}

fn availability_counts(code: &str, value: f64) -> Counts {
    match classify_code(code) {
        CodeClass::Good => Counts { good: value, total: value, ..Counts::default() },
        CodeClass::Bad => Counts { total: value, ..Counts::default() },
        CodeClass::OwnShareExhausted => Counts { own_share_refused: value, ..Counts::default() },
        CodeClass::CallerError => Counts::default(),
    }
}

/// Returns the counts of one cumulative histogram bucket.
///
/// Only the sum over all buckets is meaningful: there, `total` is the `+Inf` bucket, `good` the largest
/// bucket whose upper edge is at most the bound, and `uncertain` the difference between the buckets
/// with the next edges above and below the bound. These edges are taken from
/// [`LATENCY_BUCKET_BOUNDS_S`].
fn latency_bucket_counts(le: &str, bound_ms: u64, value: f64) -> Counts {
    let bound_s = bound_ms as f64 / 1000.0;
    let Ok(edge_s) = le.parse::<f64>() else { return Counts::default() };
    let mut counts = Counts::default();
    if edge_s.is_infinite() {
        counts.total = value;
    }
    let edge_below = LATENCY_BUCKET_BOUNDS_S.iter().copied().rfind(|edge| *edge <= bound_s);
    let edge_above = LATENCY_BUCKET_BOUNDS_S.iter().copied().find(|edge| *edge >= bound_s);
    if Some(edge_s) == edge_below {
        counts.good = value;
    }
    if edge_below != edge_above {
        if Some(edge_s) == edge_below {
            counts.uncertain = -value;
        }
        if Some(edge_s) == edge_above || (edge_above.is_none() && edge_s.is_infinite()) {
            counts.uncertain = value;
        }
    }
    counts
}
