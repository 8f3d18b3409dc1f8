//! How many targets a service needs, and how many usual ones its live targets are worth.

use std::time::Duration;

use deck_core::id::DataCentreId;
use deck_fleet::{ModelDemand, ScalingConfig};

/// A live target of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSnapshot {
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Whether it accepts requests; `false` if it is leaving.
    pub is_ready: bool,
    /// Whether it may be reclaimed.
    pub is_spot: bool,
    /// Recent mean interval between two events of a run; `None` if unknown.
    pub event_ms: Option<f64>,
    /// Number of runs in progress.
    pub active_runs: u32,
}

/// State of a service at the time of a decision.
#[derive(Debug, Clone)]
pub struct ServiceSnapshot {
    /// Bounds and prices.
    pub scaling: ScalingConfig,
    /// Number of concurrent runs of a target.
    pub slots: u32,
    /// Demand of each model; empty if the service has no models.
    pub demands: Vec<ModelDemand>,
    /// Live targets.
    pub targets: Vec<TargetSnapshot>,
}

/// Multiple of the usual interval between events above which a target counts as slow. Load and short
/// bursts of noise stay below it.
const SLOW_RATIO: f64 = 1.8;
/// Growth of the usual interval per second, so that a single low measurement loses its effect.
const USUAL_GROWTH_PER_S: f64 = 0.01;
/// Fraction of the slots that the required event rate may fill; jobs arrive in bursts.
const MAX_UTILISATION: f64 = 0.7;

/// Time constant of the mean number of busy slots; spans the pauses between the jobs of a model.
const BUSY_WINDOW: Duration = Duration::from_secs(5);

/// Mean number of slots with runs.
#[derive(Debug, Clone, Default)]
pub struct BusySlots {
    mean: Option<f64>,
}

impl BusySlots {
    /// Takes the present runs into account, `elapsed_s` after the last ones.
    pub fn update(&mut self, targets: &[TargetSnapshot], elapsed_s: f64) {
        let busy: u32 = targets.iter().map(|target| target.active_runs).sum();
        let weight = 1.0 - (-elapsed_s / BUSY_WINDOW.as_secs_f64()).exp();
        let previous = self.mean.unwrap_or(f64::from(busy));
        self.mean = Some(previous + (f64::from(busy) - previous) * weight);
    }

    /// Returns the number of targets that are needed to keep the use of the slots below its maximum.
    pub fn needed_targets(&self, slots: u32) -> f64 {
        self.mean.unwrap_or(0.0) / (f64::from(slots.max(1)) * MAX_UTILISATION)
    }
}

/// Learns the usual interval between events from the median of all targets.
#[derive(Debug, Clone, Default)]
pub struct UsualSpeed {
    event_ms: Option<f64>,
}

impl UsualSpeed {
    /// Takes the present measurements into account, `elapsed_s` after the last ones.
    pub fn update(&mut self, targets: &[TargetSnapshot], elapsed_s: f64) {
        let mut intervals: Vec<f64> =
            targets.iter().filter_map(|target| target.event_ms).filter(|ms| *ms > 0.0).collect();
        intervals.sort_by(f64::total_cmp);
        let Some(median_ms) = intervals.get(intervals.len() / 2) else { return };
        let grown = self.event_ms.map(|usual| usual * (1.0 + USUAL_GROWTH_PER_S * elapsed_s));
        self.event_ms = Some(grown.map_or(*median_ms, |grown| grown.min(*median_ms)));
    }

    /// Returns the speed of a target as a fraction of the usual one; 1 if it is not slow.
    pub fn relative_speed(&self, target: &TargetSnapshot) -> f64 {
        match (self.event_ms, target.event_ms) {
            (Some(usual), Some(own)) if own > usual * SLOW_RATIO => usual / own,
            _ => 1.0,
        }
    }

    /// Returns the usual interval between events in milliseconds.
    pub fn event_ms(&self) -> Option<f64> {
        self.event_ms
    }
}

/// Returns the number of targets of usual speed that the demand needs; 0 if it is unknown.
pub fn targets_for_demand(demands: &[ModelDemand], slots: u32, usual_event_ms: Option<f64>) -> f64 {
    let events_per_s: f64 = demands.iter().filter_map(|demand| demand.events_per_s).sum();
    let busy_slots = usual_event_ms.map_or(0.0, |event_ms| events_per_s * event_ms / 1000.0);
    busy_slots / (f64::from(slots.max(1)) * MAX_UTILISATION)
}
