//! Weight versions that engines reported lately.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use deck_core::id::WeightVersion;

/// Time covered by one of the two counts.
const PERIOD: Duration = Duration::from_secs(1);

/// Tokens by weight version over the last one to two periods with reports.
///
/// During a rollout some engines run the new version and others the old one; the mix tells how
/// likely a sample that starts now gets a version that is new enough.
#[derive(Debug, Clone, Default)]
pub struct EngineMix {
    current: BTreeMap<WeightVersion, u64>,
    previous: BTreeMap<WeightVersion, u64>,
    current_since: Option<Instant>,
}

impl EngineMix {
    /// Takes note of tokens that an engine reported.
    pub fn observe(&mut self, version: WeightVersion, tokens: u32, now: Instant) {
        let age = self.current_since.map(|since| now.saturating_duration_since(since));
        if age.is_none_or(|age| age >= PERIOD) {
            self.previous = std::mem::take(&mut self.current);
            if age.is_some_and(|age| age >= 2 * PERIOD) {
                self.previous.clear();
            }
            self.current_since = Some(now);
        }
        *self.current.entry(version).or_default() += u64::from(tokens);
    }

    /// Returns the newest version reported; `None` before the first report.
    pub fn newest(&self) -> Option<WeightVersion> {
        let newest = |counts: &BTreeMap<WeightVersion, u64>| counts.keys().next_back().copied();
        newest(&self.current).max(newest(&self.previous))
    }

    /// Returns the part of the tokens made by `required` or a later version; `None` before the first
    /// report.
    pub fn fresh_share(&self, required: WeightVersion) -> Option<f64> {
        let counts = || self.current.iter().chain(&self.previous);
        let all: u64 = counts().map(|(_, tokens)| tokens).sum();
        let fresh: u64 =
            counts().filter(|(version, _)| **version >= required).map(|(_, tokens)| tokens).sum();
        (all > 0).then(|| fresh as f64 / all as f64)
    }
}
