//! Weight versions most recently reported by individual targets.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::id::{TargetId, WeightVersion};

/// Lifetime of a report. It is short because a lagging target receives new weights within seconds.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Maximum number of targets to avoid that one request lists.
const MAX_AVOIDED_TARGETS: usize = 16;

/// Latest reported version of each target. Samples on a target with old weights are abandoned
/// immediately, so the target looks idle; without this list the load balancer would keep sending
/// work to it.
#[derive(Debug, Clone, Default)]
pub struct TargetVersions {
    reports: HashMap<TargetId, (WeightVersion, Instant)>,
}

impl TargetVersions {
    /// Records the weight version of the first tokens from a target.
    pub fn record_version(&mut self, target: &str, version: WeightVersion, now: Instant) {
        self.reports.retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_TTL);
        self.reports.insert(target.to_owned(), (version, now));
    }

    /// Returns the targets whose latest unexpired report is below version `min_version`.
    pub fn targets_older_than(&self, min_version: WeightVersion, now: Instant) -> Vec<TargetId> {
        let is_outdated = |(version, at): &(WeightVersion, Instant)| {
            *version < min_version && now.saturating_duration_since(*at) < REPORT_TTL
        };
        let outdated_targets = self.reports.iter().filter(|(_, report)| is_outdated(report));
        outdated_targets.map(|(target, _)| target.clone()).take(MAX_AVOIDED_TARGETS).collect()
    }
}
