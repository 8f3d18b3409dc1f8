//! Weight versions that single targets reported.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::id::{TargetId, WeightVersion};

/// Time for which a report counts; a lagging target gets new weights within seconds.
const KEEP: Duration = Duration::from_secs(3);
/// Most targets named in one request.
const MAX_AVOIDED: usize = 16;

/// Last report of each target. A target with old weights gives up its samples at once, so it looks
/// idle and would attract all work.
#[derive(Debug, Clone, Default)]
pub struct TargetVersions {
    reports: HashMap<TargetId, (WeightVersion, Instant)>,
}

impl TargetVersions {
    /// Takes note of the version of a target's first tokens.
    pub fn observe(&mut self, target: &str, version: WeightVersion, now: Instant) {
        self.reports.retain(|_, (_, at)| now.saturating_duration_since(*at) < KEEP);
        self.reports.insert(target.to_owned(), (version, now));
    }

    /// Returns the targets whose last report is older than `required`.
    pub fn older_than(&self, required: WeightVersion, now: Instant) -> Vec<TargetId> {
        let is_old = |(version, at): &(WeightVersion, Instant)| {
            *version < required && now.saturating_duration_since(*at) < KEEP
        };
        let old = self.reports.iter().filter(|(_, report)| is_old(report));
        old.map(|(target, _)| target.clone()).take(MAX_AVOIDED).collect()
    }
}
