//! Forecast of the trainer's weight version at the hand-over of a step.

use std::time::{Duration, Instant};

use deck_core::id::WeightVersion;

/// Weight of the newest observation in the moving means.
const NEWEST_WEIGHT: f64 = 0.5;

/// Observed pace of the trainer's versions.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    last: Option<Observation>,
    /// Versions by which the trainer advances from one step to the next.
    versions_per_step: Option<f64>,
    /// Versions per second by which the trainer advances while it collects one step.
    versions_per_s_in_step: f64,
    /// Time from the first pull of a step to the first pull of the next one.
    step_time: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    step: u64,
    /// Version in the first pull of the step, and when that came.
    first_version: WeightVersion,
    first_at: Instant,
    version: WeightVersion,
}

impl Forecast {
    /// Takes note of a pull.
    pub fn observe(&mut self, step: u64, version: WeightVersion, now: Instant) {
        let first = Observation { step, first_version: version, first_at: now, version };
        match self.last {
            Some(last) if last.step == step => {
                self.last = Some(Observation { version: version.max(last.version), ..last });
            }
            Some(last) if step > last.step && version >= last.version => {
                self.observe_next_step(last, step, version, now);
                self.last = Some(first);
            }
            // The first pull, or a trainer that went back to a checkpoint.
            _ => self.last = Some(first),
        }
    }

    fn observe_next_step(&mut self, last: Observation, step: u64, version: u64, now: Instant) {
        let steps = (step - last.step) as f64;
        let per_step = (version - last.version) as f64 / steps;
        self.versions_per_step = Some(blend(self.versions_per_step, per_step));
        let elapsed = now.saturating_duration_since(last.first_at);
        let in_step = (last.version - last.first_version) as f64;
        let per_s = in_step / elapsed.as_secs_f64().max(0.001);
        self.versions_per_s_in_step = blend(Some(self.versions_per_s_in_step), per_s);
        let step_s = elapsed.as_secs_f64() / steps;
        let step_s = blend(self.step_time.map(|time| time.as_secs_f64()), step_s);
        self.step_time = Some(Duration::from_secs_f64(step_s));
    }

    /// Returns the version that the trainer is expected to have when it collects the last groups of
    /// the step that is `steps_ahead` after the current one.
    ///
    /// Before a second step was seen the trainer is expected to advance by one version a step. Parts
    /// of a version are rounded to the nearest: one early bump must not discard every later step.
    pub fn trainer_version(&self, steps_ahead: u64, now: Instant) -> Option<WeightVersion> {
        let last = self.last?;
        let mut ahead = self.versions_per_step.unwrap_or(1.0) * steps_ahead as f64;
        if let Some(step_time) = self.step_time {
            let in_current = now.saturating_duration_since(last.first_at);
            let remaining = step_time.saturating_sub(in_current).as_secs_f64();
            let later = step_time.as_secs_f64() * steps_ahead as f64;
            ahead += self.versions_per_s_in_step * (remaining + later);
        }
        Some(last.version + ahead.round() as u64)
    }
}

fn blend(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + (new - old) * NEWEST_WEIGHT)
}
