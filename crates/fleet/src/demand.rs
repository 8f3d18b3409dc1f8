//! What the jobs of a model ask of the engines.

use std::time::Instant;

use deck_core::id::WeightVersion;
use serde::{Deserialize, Serialize};

/// Part of the newest text in the mean length of a model's texts.
const NEWEST_TEXT_PART: f64 = 0.02;
/// Part of the newest job in the means over a model's jobs.
const NEWEST_JOB_PART: f64 = 0.3;

/// What the jobs of a model ask of the engines, as their runner tells it.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelDemand {
    /// Mean number of events of a text; `None` if it is not known.
    pub text_events: Option<f64>,
    /// Events that the jobs ask for each second; `None` if it is not known.
    pub events_per_s: Option<f64>,
    /// Oldest version that the newest job allows; `None` before the first job.
    pub oldest_allowed: Option<WeightVersion>,
}

/// Measures the demand of a model by its jobs and texts.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    text_events: Option<f64>,
    /// Mean number of items of a job.
    job_items: Option<f64>,
    /// Mean time between two jobs.
    interval_ms: Option<f64>,
    /// Newest job.
    newest: Option<NewestJob>,
}

#[derive(Debug, Clone, Copy)]
struct NewestJob {
    oldest_allowed: WeightVersion,
    submitted_at: Instant,
}

impl DemandMeter {
    /// Takes note of a job. One that was submitted before the newest job, such as one that is taken
    /// over, changes nothing.
    pub fn record_job(&mut self, oldest_allowed: WeightVersion, items: usize, submitted: Instant) {
        if self.newest.is_some_and(|newest| newest.submitted_at >= submitted) {
            return;
        }
        self.job_items = Some(mean(self.job_items, items as f64, NEWEST_JOB_PART));
        if let Some(newest) = self.newest {
            let interval = submitted.duration_since(newest.submitted_at);
            let interval_ms = interval.as_secs_f64() * 1000.0;
            self.interval_ms = Some(mean(self.interval_ms, interval_ms, NEWEST_JOB_PART));
        }
        self.newest = Some(NewestJob { oldest_allowed, submitted_at: submitted });
    }

    /// Takes note of the length of a text.
    pub fn record_text(&mut self, events: u64) {
        self.text_events = Some(mean(self.text_events, events as f64, NEWEST_TEXT_PART));
    }

    /// Returns the demand.
    pub fn demand(&self) -> ModelDemand {
        let per_s = |interval_ms: f64| {
            Some(self.text_events? * self.job_items? * 1000.0 / interval_ms.max(1.0))
        };
        ModelDemand {
            text_events: self.text_events,
            events_per_s: self.interval_ms.and_then(per_s),
            oldest_allowed: self.newest.map(|newest| newest.oldest_allowed),
        }
    }
}

fn mean(known: Option<f64>, newest: f64, part: f64) -> f64 {
    known.map_or(newest, |known| known + (newest - known) * part)
}
