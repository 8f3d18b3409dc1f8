//! Load of one target as seen by one VM: its own calls in flight and the target's reports.

use std::time::{Duration, Instant};

use deck_core::priority::Priority;

use crate::LoadReport;

/// Length classes; class `n` holds calls of up to `2^n` expected tokens.
const CLASSES: usize = 21;

/// Calls of this VM in flight on one target, and the last load report.
#[derive(Debug, Default)]
pub(crate) struct Load {
    /// Calls by length class. Invariant: their sum is `calls`.
    by_class: [u32; CLASSES],
    calls: u32,
    rollouts: u32,
    report: Option<Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    /// When the report was made.
    at: Instant,
    /// Calls of other VMs on the target.
    others: f64,
}

/// Length class of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LengthClass(usize);

impl LengthClass {
    pub fn of(tokens: u64) -> Self {
        let bits = u64::BITS - tokens.max(1).saturating_sub(1).leading_zeros();
        Self((bits as usize).min(CLASSES - 1))
    }
}

impl Load {
    pub fn add(&mut self, class: LengthClass, priority: Priority) {
        self.by_class[class.0] += 1;
        self.calls += 1;
        self.rollouts += u32::from(priority == Priority::Rollout);
    }

    pub fn remove(&mut self, class: LengthClass, priority: Priority) {
        self.by_class[class.0] -= 1;
        self.calls -= 1;
        self.rollouts -= u32::from(priority == Priority::Rollout);
    }

    pub fn rollouts(&self) -> u32 {
        self.rollouts
    }

    pub fn calls(&self) -> u32 {
        self.calls
    }

    pub fn set_report(&mut self, report: &LoadReport, now: Instant) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let others = (total - f64::from(self.calls)).max(0.0);
        self.report = Some(Report { at: now.checked_sub(report.age).unwrap_or(now), others });
    }

    /// Returns the estimated calls of other VMs. A report counts less with its age, in favour of
    /// `usual_others`, the mean over the pool.
    pub fn others(&self, half_life: Duration, usual_others: f64, now: Instant) -> f64 {
        let Some(report) = self.report else { return usual_others };
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let weight = 0.5_f64.powf(age / half_life.as_secs_f64().max(1e-3));
        usual_others + (report.others - usual_others) * weight
    }

    /// Returns the calls of other VMs in the last report.
    pub fn reported_others(&self) -> Option<f64> {
        self.report.map(|report| report.others)
    }

    /// Returns this VM's calls that run beside a new call, weighed by the part of the new call's
    /// length for which they are expected to run beside it.
    pub fn overlap(&self, class: LengthClass) -> f64 {
        let longer: u32 = self.by_class[class.0..].iter().sum();
        let shorter = self.by_class[..class.0].iter().enumerate();
        let shorter: f64 = shorter
            .filter(|(_, count)| **count > 0)
            .map(|(other, count)| f64::from(*count) / (1_u64 << (class.0 - other)) as f64)
            .sum();
        f64::from(longer) + shorter
    }
}
