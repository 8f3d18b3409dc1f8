//! Forecast of the trainer's weight version at the time when it collects a given step.

use std::time::{Duration, Instant};

use deck_core::id::WeightVersion;

/// Weight of the newest observation in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.5;

/// Rate at which the trainer's weight version advances, estimated from its pulls.
#[derive(Debug, Clone, Default)]
pub struct TrainerVersionForecast {
    last_observation: Option<StepObservation>,
    /// Average version increase from one step to the next.
    versions_per_step: Option<f64>,
    /// Average versions per second that the trainer publishes while it collects a single step.
    versions_per_s_within_step: f64,
    /// Average time between the first pulls of consecutive steps.
    step_duration: Option<Duration>,
}

/// Trainer versions that the pulls of one training step reported.
#[derive(Debug, Clone, Copy)]
struct StepObservation {
    step: u64,
    /// Version in the first pull of the step.
    first_version: WeightVersion,
    first_pull_at: Instant,
    /// Newest version in the pulls of the step so far.
    version: WeightVersion,
}

impl TrainerVersionForecast {
    /// Records the step and version of a pull.
    pub fn record_pull(&mut self, step: u64, version: WeightVersion, now: Instant) {
        let first_observation =
            StepObservation { step, first_version: version, first_pull_at: now, version };
        match self.last_observation {
            Some(last_observation) if last_observation.step == step => {
                self.last_observation = Some(StepObservation {
                    version: version.max(last_observation.version),
                    ..last_observation
                });
            }
            Some(last_observation)
                if step > last_observation.step && version >= last_observation.version =>
            {
                self.update_averages(last_observation, step, version, now);
                self.last_observation = Some(first_observation);
            }
            // The first pull, or the trainer was restored from a checkpoint.
            _ => self.last_observation = Some(first_observation),
        }
    }

    /// Updates the averages when the trainer moves on to a later step.
    fn update_averages(
        &mut self,
        last_observation: StepObservation,
        step: u64,
        version: u64,
        now: Instant,
    ) {
        let step_count = (step - last_observation.step) as f64;
        let versions_per_step = (version - last_observation.version) as f64 / step_count;
        self.versions_per_step = Some(update_average(self.versions_per_step, versions_per_step));
        let elapsed = now.saturating_duration_since(last_observation.first_pull_at);
        let versions_within_step =
            (last_observation.version - last_observation.first_version) as f64;
        let versions_per_s = versions_within_step / elapsed.as_secs_f64().max(0.001);
        self.versions_per_s_within_step =
            update_average(Some(self.versions_per_s_within_step), versions_per_s);
        let step_s = elapsed.as_secs_f64() / step_count;
        let step_s = update_average(self.step_duration.map(|time| time.as_secs_f64()), step_s);
        self.step_duration = Some(Duration::from_secs_f64(step_s));
    }

    /// Returns the version that the trainer is expected to have when it collects the last groups of
    /// the step `steps_ahead` after the current one; `None` before the first pull.
    ///
    /// Until a second step has been observed, the forecast assumes one version per step. Fractional
    /// versions are rounded to the nearest integer, because rounding up would discard the samples
    /// of all later steps after one early version increase.
    pub fn predict_version(&self, steps_ahead: u64, now: Instant) -> Option<WeightVersion> {
        let last_observation = self.last_observation?;
        let mut version_advance = self.versions_per_step.unwrap_or(1.0) * steps_ahead as f64;
        if let Some(step_duration) = self.step_duration {
            let elapsed_in_step = now.saturating_duration_since(last_observation.first_pull_at);
            let remaining_s = step_duration.saturating_sub(elapsed_in_step).as_secs_f64();
            let later_steps_s = step_duration.as_secs_f64() * steps_ahead as f64;
            version_advance += self.versions_per_s_within_step * (remaining_s + later_steps_s);
        }
        Some(last_observation.version + version_advance.round() as u64)
    }
}

/// Returns the exponential moving average after adding `new`.
fn update_average(average: Option<f64>, new: f64) -> f64 {
    average.map_or(new, |average| average + (new - average) * SMOOTHING_FACTOR)
}
