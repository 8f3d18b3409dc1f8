//! How long the configuration in force is known to have been the newest one.
//!
//! Where the withdrawal of a key has to take effect within a bound on every node, a node that is out of
//! touch must stop accepting keys by itself. A confirmation is a fact about the past: a linearizable
//! read that began at a time has shown the newest configuration, so that all versions acknowledged
//! before that time are known. It remains true, and its age says for how long it can be relied on.

use std::time::Duration;

use deck_core::boot_clock::BootInstant;

use crate::config::ConfigurationVersion;

/// Part of the bound that is left for differences between the clocks of the VMs.
const MARGIN_FRACTION: f64 = 0.02;

/// Confirmations of the configuration in force.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationCurrency {
    in_force: Option<ConfigurationVersion>,
    /// All versions acknowledged before this time are at most the one in force. Invariant: never
    /// decreases.
    confirmed_at: Option<BootInstant>,
    /// Confirmation of a version that is not in force yet: the latest one with the highest version.
    pending: Option<(ConfigurationVersion, BootInstant)>,
}

impl ConfigurationCurrency {
    /// Records that a version is in force on this node.
    pub fn set_in_force(&mut self, version: ConfigurationVersion) {
        self.in_force = self.in_force.max(Some(version));
        if let Some((version, at)) = self.pending.take() {
            self.confirm(version, at);
        }
    }

    /// Records that all versions acknowledged before `at` are at most `version`.
    pub fn confirm(&mut self, version: ConfigurationVersion, at: BootInstant) {
        if self.in_force >= Some(version) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        } else {
            self.pending = self.pending.max(Some((version, at)));
        }
    }

    /// Returns the time before which no version was acknowledged that is newer than the one in force;
    /// `None` if nothing is known.
    pub fn confirmed_at(&self) -> Option<BootInstant> {
        self.confirmed_at
    }

    /// Returns whether a request that is received at `now` may rely on the keys of the configuration
    /// in force, if no key may be accepted later than `bound` after its withdrawal was acknowledged.
    pub fn allows_keys(&self, bound: Duration, now: BootInstant) -> bool {
        let usable_for = bound.mul_f64(1.0 - MARGIN_FRACTION);
        self.confirmed_at.is_some_and(|at| now.since(at) <= usable_for)
    }
}

/// When a node confirms its configuration itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationRole {
    /// A node from which others learn the age of the configuration.
    Watcher,
    /// A node that learns the age from watchers, and reads the configuration itself only if they do
    /// not confirm it.
    Reader,
}

impl ConfirmationRole {
    /// Returns the age of the last confirmation from which the node reads the configuration. Readers
    /// learn a confirmation up to two polls after a watcher.
    pub fn max_age(self, bound: Duration) -> Duration {
        match self {
            Self::Watcher => bound / 6,
            Self::Reader => bound * 2 / 5,
        }
    }

    /// Returns the time after a failed read until the next one. While the object API is away, the nodes
    /// of a large fleet must not add to its load.
    pub fn retry_delay(self, bound: Duration) -> Duration {
        match self {
            Self::Watcher => bound / 12,
            Self::Reader => bound / 4,
        }
    }
}
