//! Demand of a model's jobs: how much text the engines have to generate for them.

use std::time::Instant;

use deck_core::id::WeightVersion;
use serde::{Deserialize, Serialize};

/// Weight of the newest text in the moving average of a model's text lengths.
const TEXT_LENGTH_SMOOTHING: f64 = 0.02;
/// Weight of the newest job in the moving averages over a model's jobs.
const JOB_SMOOTHING: f64 = 0.3;

/// Generation demand of a model's jobs, as reported by their runner.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelDemand {
    /// Mean number of events per generated text; `None` if unknown.
    #[serde(rename = "text_events")]
    pub mean_text_events: Option<f64>,
    /// Number of events per second that the jobs require; `None` if unknown.
    pub events_per_s: Option<f64>,
    /// Oldest weight version that the newest job accepts; `None` before the first job.
    #[serde(rename = "oldest_allowed")]
    pub min_version: Option<WeightVersion>,
}

/// Measures the demand of a model from its jobs and generated texts.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    mean_text_events: Option<f64>,
    /// Mean number of items per job.
    mean_job_items: Option<f64>,
    /// Mean time between the submissions of consecutive jobs.
    mean_job_interval_ms: Option<f64>,
    newest_job: Option<NewestJob>,
}

/// The job that was submitted last.
#[derive(Debug, Clone, Copy)]
struct NewestJob {
    min_version: WeightVersion,
    submitted_at: Instant,
}

impl DemandMeter {
    /// Records a job. A job that was submitted before the newest one, such as one taken over from
    /// another node, is ignored.
    pub fn record_job(&mut self, min_version: WeightVersion, items: usize, submitted: Instant) {
        if self.newest_job.is_some_and(|newest_job| newest_job.submitted_at >= submitted) {
            return;
        }
        self.mean_job_items =
            Some(moving_average(self.mean_job_items, items as f64, JOB_SMOOTHING));
        if let Some(newest_job) = self.newest_job {
            let interval = submitted.duration_since(newest_job.submitted_at);
            let interval_ms = interval.as_secs_f64() * 1000.0;
            self.mean_job_interval_ms =
                Some(moving_average(self.mean_job_interval_ms, interval_ms, JOB_SMOOTHING));
        }
        self.newest_job = Some(NewestJob { min_version, submitted_at: submitted });
    }

    /// Records the length of a completed text, in events.
    pub fn record_text(&mut self, events: u64) {
        self.mean_text_events =
            Some(moving_average(self.mean_text_events, events as f64, TEXT_LENGTH_SMOOTHING));
    }

    /// Returns the current demand.
    pub fn demand(&self) -> ModelDemand {
        let events_per_s = |interval_ms: f64| {
            Some(self.mean_text_events? * self.mean_job_items? * 1000.0 / interval_ms.max(1.0))
        };
        ModelDemand {
            mean_text_events: self.mean_text_events,
            events_per_s: self.mean_job_interval_ms.and_then(events_per_s),
            min_version: self.newest_job.map(|newest_job| newest_job.min_version),
        }
    }
}

fn moving_average(previous: Option<f64>, newest: f64, smoothing: f64) -> f64 {
    previous.map_or(newest, |previous| previous + (newest - previous) * smoothing)
}
