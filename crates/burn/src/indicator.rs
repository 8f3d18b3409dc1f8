//! Which events count towards an objective, and which of them are good.

use deck_core::{
    error::ErrorKind,
    object::{Indicator, ServiceObjective},
};
use deck_obs::metrics::LATENCY_BUCKET_BOUNDS_S;
use serde::{Deserialize, Serialize};

use crate::series::Increment;

/// Code of the requests that were answered without an error.
pub const OK_CODE: &str = "ok";

/// Code of the requests that a target answered with a status from 400 to 499: the caller received the
/// target's own, whole answer.
const TARGET_REFUSAL_CODE: &str = "target_4xx";
/// Code of the requests that a target answered with a status from 500.
const TARGET_FAULT_CODE: &str = "target_5xx";

/// Counts of one stretch of time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Good events.
    pub good: f64,
    /// Events that count.
    pub total: f64,
    /// Refusals that the organisation's own share caused; they do not count.
    pub own_share_refused: f64,
    /// Events of which it is not known whether they were good, because the bound lies inside a
    /// histogram bucket; they are counted as bad.
    pub uncertain: f64,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
        self.own_share_refused += other.own_share_refused;
        self.uncertain += other.uncertain;
    }

    /// Returns the part of the events that were bad; `None` without events.
    pub fn bad_ratio(&self) -> Option<f64> {
        (self.total > 0.0).then(|| ((self.total - self.good) / self.total).clamp(0.0, 1.0))
    }
}

/// How a request's code counts towards availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CodeClass {
    /// Answered.
    Good,
    /// Failed by a fault of the service.
    Bad,
    /// The caller's own mistake; does not count.
    CallerError,
    /// The organisation's own share was used up; shown apart.
    OwnShare,
}

/// Returns how a code counts.
///
/// Statuses 500 and above, and outcomes that are unknown, are faults of the service. Other errors are
/// mistakes of the caller. An unknown code counts as a fault, so that a new kind is not overlooked.
pub fn classify(code: &str) -> CodeClass {
    match code {
        OK_CODE | TARGET_REFUSAL_CODE => return CodeClass::Good,
        TARGET_FAULT_CODE => return CodeClass::Bad,
        _ => {}
    }
    let kind = ErrorKind::ALL.iter().find(|kind| kind.properties().code == code);
    match kind {
        Some(ErrorKind::ShareExhausted) => CodeClass::OwnShare,
        Some(ErrorKind::KeyOutcomeUnknown | ErrorKind::KeyInProgress) | None => CodeClass::Bad,
        Some(kind) if kind.properties().status >= 500 => CodeClass::Bad,
        Some(_) => CodeClass::CallerError,
    }
}

/// Returns what one increment contributes to an objective; `None` if it does not belong to it.
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
            Some(availability(label("code")?, value))
        }
        Indicator::TrainerIdle if name == "deckroll_trainer_elapsed_seconds_total" => {
            Some(Counts { good: value, total: value, ..Counts::default() })
        }
        // Idle time is a part of the elapsed time: it takes away from the good part.
        Indicator::TrainerIdle if name == "deckroll_trainer_idle_seconds_total" => {
            Some(Counts { good: -value, ..Counts::default() })
        }
        Indicator::Staleness { bound_versions } if name == "deckroll_samples_sent_total" => {
            let staleness: u64 = label("staleness_versions")?.parse().ok()?;
            let good = if staleness <= *bound_versions { value } else { 0.0 };
            Some(Counts { good, total: value, ..Counts::default() })
        }
        Indicator::Latency { bound_ms } if name == "deckentry_request_duration_seconds_bucket" => {
            Some(latency_bucket(label("le")?, *bound_ms, value))
        }
        _ => None,
    }
}

fn availability(code: &str, value: f64) -> Counts {
    match classify(code) {
        CodeClass::Good => Counts { good: value, total: value, ..Counts::default() },
        CodeClass::Bad => Counts { total: value, ..Counts::default() },
        CodeClass::OwnShare => Counts { own_share_refused: value, ..Counts::default() },
        CodeClass::CallerError => Counts::default(),
    }
}

/// Contribution of one cumulative bucket.
///
/// Summed over all buckets: `total` is the `+Inf` bucket, `good` the largest bucket within the bound,
/// and `uncertain` what lies in the bucket that contains the bound. [`LATENCY_BUCKET_BOUNDS_S`] gives the
/// neighbours of the bound.
fn latency_bucket(le: &str, bound_ms: u64, value: f64) -> Counts {
    let bound_s = bound_ms as f64 / 1000.0;
    let Ok(edge_s) = le.parse::<f64>() else { return Counts::default() };
    let mut counts = Counts::default();
    if edge_s.is_infinite() {
        counts.total = value;
    }
    let below = LATENCY_BUCKET_BOUNDS_S.iter().copied().rfind(|edge| *edge <= bound_s);
    let above = LATENCY_BUCKET_BOUNDS_S.iter().copied().find(|edge| *edge >= bound_s);
    if Some(edge_s) == below {
        counts.good = value;
    }
    if below != above {
        if Some(edge_s) == below {
            counts.uncertain = -value;
        }
        if Some(edge_s) == above || (above.is_none() && edge_s.is_infinite()) {
            counts.uncertain = value;
        }
    }
    counts
}
