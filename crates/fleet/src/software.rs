//! Software versions that the targets of each service have had.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::id::{PoolName, SoftwareVersion};

/// Age of the target list above which a new version may already serve without being listed here.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// Time without a current target list in which a version may have served and left unseen.
const MAX_UNSEEN_TIME: Duration = Duration::from_secs(10);
/// Time for which the versions of removed targets are remembered.
const VERSION_RETENTION: Duration = Duration::from_secs(3600);

/// What a node can say of the versions that the targets of some services had in a period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownVersions {
    /// All targets had this version.
    Single(Option<SoftwareVersion>),
    /// Targets of several versions were listed.
    Several,
    /// The node has not known the targets for the whole period, or knows no target.
    Unknown,
}

/// Versions of targets that were listed earlier, and since when the list has been followed.
#[derive(Debug, Default)]
pub(crate) struct SoftwareHistory {
    /// Start of the time in which the target list has been current without a long interruption.
    followed_since: Option<Instant>,
    /// When the target list was last known to be current.
    up_to_date_at: Option<Instant>,
    /// Whether a watch of the targets that has answered is under way. The list is current then, however
    /// long no target changes: a connection that breaks or falls silent ends the watch.
    is_watched: bool,
    /// When a target of the service and version was last removed or became another version.
    removed_at: HashMap<(PoolName, Option<SoftwareVersion>), Instant>,
}

impl SoftwareHistory {
    /// Records that the target list was current at the given time.
    pub fn set_up_to_date_at(&mut self, at: Instant) {
        let is_interrupted = self.up_to_date_at.is_none_or(|previous| {
            !self.is_watched && at.saturating_duration_since(previous) > MAX_UNSEEN_TIME
        });
        if is_interrupted {
            self.followed_since = Some(at);
        }
        self.up_to_date_at = self.up_to_date_at.max(Some(at));
    }

    /// Records that a list or watch of the targets has answered at the given time and goes on.
    pub fn set_watched_at(&mut self, at: Instant) {
        self.set_up_to_date_at(at);
        self.is_watched = true;
    }

    /// Records that the watch of the targets has failed or was given up.
    pub fn set_unwatched(&mut self) {
        self.is_watched = false;
    }

    /// Records that a target of the service no longer has the version.
    pub fn record_removed(
        &mut self,
        service: &str,
        version: Option<SoftwareVersion>,
        now: Instant,
    ) {
        self.removed_at.retain(|_, at| now.saturating_duration_since(*at) < VERSION_RETENTION);
        self.removed_at.insert((service.to_owned(), version), now);
    }

    /// Returns which versions the targets of `services` had in the last `period`, given the
    /// versions of those that are listed.
    pub fn versions_within(
        &self,
        period: Duration,
        services: &[&str],
        listed: impl Iterator<Item = Option<SoftwareVersion>>,
        now: Instant,
    ) -> KnownVersions {
        let is_within = |at: Instant| now.saturating_duration_since(at) <= period;
        let removed = self
            .removed_at
            .iter()
            .filter(|((service, _), at)| services.contains(&service.as_str()) && is_within(**at));
        let mut versions = listed.chain(removed.map(|((_, version), _)| version.clone()));
        let first = versions.next();
        if first.as_ref().is_some_and(|first| versions.any(|version| version != *first)) {
            return KnownVersions::Several;
        }
        let is_recent =
            self.up_to_date_at.is_some_and(|at| now.saturating_duration_since(at) <= MAX_LIST_AGE);
        let is_current = is_recent || self.is_watched;
        let is_followed = self.followed_since.is_some_and(|since| !is_within(since));
        match first {
            Some(version) if is_current && is_followed && period < VERSION_RETENTION => {
                KnownVersions::Single(version)
            }
            _ => KnownVersions::Unknown,
        }
    }
}
