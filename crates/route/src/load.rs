//! Load of one target as seen by one VM: its own calls in flight and the target's load reports.

use std::time::{Duration, Instant};

use deck_core::priority::Priority;

use crate::LoadReport;

/// Number of length classes; class `n` holds calls of up to `2^n` expected tokens.
const LENGTH_CLASSES: usize = 21;

/// Calls of this VM in flight on one target, and the calls of other VMs from the target's last
/// load report.
#[derive(Debug, Default)]
pub(crate) struct TargetLoad {
    /// Calls in flight by length class. Invariant: their sum is `calls`.
    calls_by_class: [u32; LENGTH_CLASSES],
    calls: u32,
    /// Rollout calls among `calls`.
    rollout_calls: u32,
    external_load: Option<ExternalLoad>,
}

/// Calls of other VMs on a target according to its last load report.
#[derive(Debug, Clone, Copy)]
struct ExternalLoad {
    /// When the target measured its load, by this VM's clock.
    measured_at: Instant,
    /// Running and waiting calls on the target that other VMs sent.
    external_calls: f64,
}

/// Power-of-two class of a call's expected number of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LengthClass(usize);

impl LengthClass {
    /// Returns the class of a number of tokens; numbers above the largest class belong to it.
    pub fn of(tokens: u64) -> Self {
        let log2_tokens = u64::BITS - tokens.max(1).saturating_sub(1).leading_zeros();
        Self((log2_tokens as usize).min(LENGTH_CLASSES - 1))
    }
}

impl TargetLoad {
    pub fn add(&mut self, length_class: LengthClass, priority: Priority) {
        self.calls_by_class[length_class.0] += 1;
        self.calls += 1;
        self.rollout_calls += u32::from(priority == Priority::Rollout);
    }

    pub fn remove(&mut self, length_class: LengthClass, priority: Priority) {
        self.calls_by_class[length_class.0] -= 1;
        self.calls -= 1;
        self.rollout_calls -= u32::from(priority == Priority::Rollout);
    }

    pub fn rollout_calls(&self) -> u32 {
        self.rollout_calls
    }

    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Derives the calls of other VMs from a load report: those in it that are not calls of this VM.
    pub fn set_load_report(&mut self, report: &LoadReport, now: Instant) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let external_calls = (total - f64::from(self.calls)).max(0.0);
        self.external_load = Some(ExternalLoad {
            measured_at: now.checked_sub(report.age).unwrap_or(now),
            external_calls,
        });
    }

    /// Estimates the calls of other VMs on the target: the last report, decaying with its age
    /// towards `mean_external_calls`, the mean over the pool's targets.
    pub fn external_calls(
        &self,
        half_life: Duration,
        mean_external_calls: f64,
        now: Instant,
    ) -> f64 {
        let Some(external) = self.external_load else { return mean_external_calls };
        let age = now.saturating_duration_since(external.measured_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / half_life.as_secs_f64().max(1e-3));
        mean_external_calls + (external.external_calls - mean_external_calls) * weight
    }

    /// Returns the calls of other VMs according to the last report.
    pub fn reported_external_calls(&self) -> Option<f64> {
        self.external_load.map(|external| external.external_calls)
    }

    /// Returns this VM's calls that overlap with a new call, each weighted by the fraction of the
    /// new call's duration for which it is expected to run: 1 for calls of at least its length.
    pub fn overlapping_calls(&self, length_class: LengthClass) -> f64 {
        let longer_calls: u32 = self.calls_by_class[length_class.0..].iter().sum();
        let shorter_calls = self.calls_by_class[..length_class.0].iter().enumerate();
        let shorter_calls: f64 = shorter_calls
            .filter(|(_, count)| **count > 0)
            .map(|(shorter_class, count)| {
                f64::from(*count) / (1_u64 << (length_class.0 - shorter_class)) as f64
            })
            .sum();
        f64::from(longer_calls) + shorter_calls
    }
}
