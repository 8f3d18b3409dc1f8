//! Detection of requests that crash the targets they run on.
//!
//! When a target crashes, every request in flight on it becomes a suspect. Suspects run on targets
//! without another suspect, so that a further crash identifies its cause. A request is blocked after
//! a configured number of crashes. Crashes with several possible causes count as one at most, so that
//! a frequent harmless request is not blocked for being in flight beside a crashing one several times.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::{
    hash::hash128,
    id::{TargetId, VmId},
};
use serde::{Deserialize, Serialize};

/// Settings of the detection of requests that crash targets.
#[derive(Debug, Clone)]
pub struct CrashOptions {
    /// Number of crashes after which a request is blocked; see [`CrashCounts::score`].
    pub max_crashes: u32,
    /// How long the crashes of a request are kept after the last one.
    pub retention: Duration,
    /// Maximum time that a suspect waits for a target without another suspect.
    pub max_isolation_wait: Duration,
    /// Maximum number of fingerprints that are kept and published.
    pub max_fingerprints: usize,
}

impl Default for CrashOptions {
    fn default() -> Self {
        Self {
            max_crashes: 3,
            retention: Duration::from_secs(900),
            max_isolation_wait: Duration::from_secs(2),
            max_fingerprints: 256,
        }
    }
}

/// Hash of the pool, method, path and body of a request. Identical requests have the same
/// fingerprint.
pub type Fingerprint = u128;

/// Computes the fingerprint of a request.
pub fn fingerprint(pool: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut bytes = Vec::with_capacity(pool.len() + method.len() + path.len() + body.len() + 24);
    // Each field is preceded by its length, so that the boundaries between fields matter.
    for field in [pool.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
        bytes.extend_from_slice(field);
    }
    hash128(&bytes)
}

/// Number of target crashes that occurred while requests with one fingerprint were in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct CrashCounts {
    /// Crashes that other requests may have caused: the request was not a suspect yet, or ran beside
    /// another suspect.
    #[serde(rename = "in_company")]
    pub ambiguous: u32,
    /// Crashes while the request was the only suspect on the target.
    #[serde(rename = "alone")]
    pub sole_suspect: u32,
}

impl CrashCounts {
    /// Returns the number of crashes attributed to the fingerprint; all crashes with several possible
    /// causes count as one.
    pub fn score(self) -> u32 {
        self.sole_suspect + self.ambiguous.min(1)
    }
}

/// Target crashes that one VM observed while requests with one fingerprint were in flight, as it
/// publishes them to the other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FingerprintCrashes {
    /// Fingerprint of the requests that were in flight.
    pub fingerprint: Fingerprint,
    /// Number of these crashes that the publishing VM observed itself.
    pub counts: CrashCounts,
}

/// Target crashes that this VM observed while requests with one fingerprint were in flight.
struct LocalCrashes {
    counts: CrashCounts,
    last_crash_at: Instant,
}

/// Counts target crashes by request fingerprint, as observed by this VM and the other VMs.
pub struct CrashTracker {
    options: CrashOptions,
    local_crashes: HashMap<Fingerprint, LocalCrashes>,
    /// Crashes that the other VMs have published, summed over these VMs.
    remote_crashes: HashMap<Fingerprint, CrashCounts>,
    /// Number of suspects in flight by target.
    running_suspects: HashMap<TargetKey, u32>,
    /// Increases with each change of `local_crashes`, which must then be published again.
    version: u64,
}

/// Identifies a target by its pool and its id.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TargetKey {
    /// Pool to which the target belongs; for forwarded requests, the service.
    pub pool: String,
    /// Id under which the target is registered.
    pub target: TargetId,
}

/// Returns the targets of a pool on which `vm` runs suspects. Each target is assigned to one VM, so
/// that suspects of two VMs do not meet on a target, where each VM would take its own for the only
/// one.
///
/// The assignment needs no messages: it depends only on the order of `targets`, which must be the
/// same on all VMs, and on the set of VMs. It is by position rather than by hash, because a hash
/// assigns no target to some VMs of a small pool. With more VMs than targets, the remaining VMs get
/// none.
pub fn targets_for_suspects<'a>(
    vm: &VmId,
    vms: &[VmId],
    targets: impl IntoIterator<Item = &'a TargetId>,
) -> Vec<TargetId> {
    if !vms.contains(vm) {
        return Vec::new();
    }
    let rank = vms.iter().filter(|other| *other < vm).count();
    targets.into_iter().skip(rank).step_by(vms.len()).cloned().collect()
}

impl CrashTracker {
    /// Returns a tracker without crashes.
    pub fn new(options: CrashOptions) -> Self {
        Self {
            options,
            local_crashes: HashMap::new(),
            remote_crashes: HashMap::new(),
            running_suspects: HashMap::new(),
            version: 0,
        }
    }

    /// Returns the crashes of a fingerprint, summed over all VMs.
    pub fn counts(&self, fingerprint: Fingerprint) -> CrashCounts {
        let local_counts =
            self.local_crashes.get(&fingerprint).map(|entry| entry.counts).unwrap_or_default();
        let remote_counts = self.remote_crashes.get(&fingerprint).copied().unwrap_or_default();
        CrashCounts {
            ambiguous: local_counts.ambiguous.saturating_add(remote_counts.ambiguous),
            sole_suspect: local_counts.sole_suspect.saturating_add(remote_counts.sole_suspect),
        }
    }

    /// Returns whether requests with the fingerprint are blocked because they have crashed too many
    /// targets.
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.counts(fingerprint).score() >= self.options.max_crashes
    }

    /// Returns whether a request with the fingerprint was in flight on a target that crashed, and none
    /// has succeeded since on the VM that observed the crash.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.counts(fingerprint).score() > 0
    }

    /// Returns the targets of a pool that currently run a suspect.
    pub fn targets_with_suspects(&self, pool: &str) -> Vec<TargetId> {
        self.running_suspects
            .keys()
            .filter(|key| key.pool == pool)
            .map(|key| key.target.clone())
            .collect()
    }

    /// Records that a suspect starts on a target.
    pub fn record_suspect_start(&mut self, key: &TargetKey) {
        *self.running_suspects.entry(key.clone()).or_default() += 1;
    }

    /// Records that a suspect no longer runs on a target.
    pub fn record_suspect_end(&mut self, key: &TargetKey) {
        if let Some(count) = self.running_suspects.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                self.running_suspects.remove(key);
            }
        }
    }

    /// Records that a target crashed while a call ran on it. `was_suspect` states whether the call was
    /// already counted as a suspect on that target.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        key: &TargetKey,
        was_suspect: bool,
        now: Instant,
    ) {
        let is_sole_suspect =
            was_suspect && self.running_suspects.get(key).copied().unwrap_or(0) <= 1;
        self.evict_if_full(now);
        let entry = self
            .local_crashes
            .entry(fingerprint)
            .or_insert(LocalCrashes { counts: CrashCounts::default(), last_crash_at: now });
        entry.last_crash_at = now;
        let count = if is_sole_suspect {
            &mut entry.counts.sole_suspect
        } else {
            &mut entry.counts.ambiguous
        };
        *count = count.saturating_add(1);
        self.version += 1;
    }

    /// Adds crashes that an earlier process on this VM observed.
    pub fn restore_local_crashes(
        &mut self,
        crashes: impl IntoIterator<Item = FingerprintCrashes>,
        now: Instant,
    ) {
        for crash in crashes {
            self.evict_if_full(now);
            let entry = self
                .local_crashes
                .entry(crash.fingerprint)
                .or_insert(LocalCrashes { counts: CrashCounts::default(), last_crash_at: now });
            let counts = &mut entry.counts;
            counts.ambiguous = counts.ambiguous.saturating_add(crash.counts.ambiguous);
            counts.sole_suspect = counts.sole_suspect.saturating_add(crash.counts.sole_suspect);
            self.version += 1;
        }
    }

    /// Records that a call with the fingerprint completed, and clears the crashes that this VM has
    /// counted for it. Returns whether there were any.
    pub fn record_success(&mut self, fingerprint: Fingerprint) -> bool {
        let had_crashes = self.local_crashes.remove(&fingerprint).is_some();
        if had_crashes {
            self.version += 1;
        }
        had_crashes
    }

    /// Returns the crashes observed by this VM, to be published to the other VMs, highest scores first.
    pub fn local_crashes(&mut self, now: Instant) -> Vec<FingerprintCrashes> {
        self.expire(now);
        let mut published: Vec<_> = self
            .local_crashes
            .iter()
            .map(|(&fingerprint, entry)| FingerprintCrashes { fingerprint, counts: entry.counts })
            .collect();
        published.sort_unstable_by_key(|crash| {
            (std::cmp::Reverse(crash.counts.score()), crash.fingerprint)
        });
        published.truncate(self.options.max_fingerprints);
        published
    }

    /// Returns a number that increases when the crashes to publish change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the crashes that the other VMs have published.
    pub fn set_remote_crashes(&mut self, published: impl IntoIterator<Item = FingerprintCrashes>) {
        self.remote_crashes.clear();
        for crash in published {
            let sum = self.remote_crashes.entry(crash.fingerprint).or_default();
            sum.ambiguous = sum.ambiguous.saturating_add(crash.counts.ambiguous);
            sum.sole_suspect = sum.sole_suspect.saturating_add(crash.counts.sole_suspect);
        }
    }

    /// Removes fingerprints whose last crash is too old.
    fn expire(&mut self, now: Instant) {
        let retention: Duration = self.options.retention;
        let count_before = self.local_crashes.len();
        self.local_crashes
            .retain(|_, entry| now.saturating_duration_since(entry.last_crash_at) < retention);
        if self.local_crashes.len() != count_before {
            self.version += 1;
        }
    }

    /// Removes the fingerprint with the lowest score, and of these the oldest, if there is no room for
    /// another one.
    fn evict_if_full(&mut self, now: Instant) {
        if self.local_crashes.len() < self.options.max_fingerprints {
            return;
        }
        self.expire(now);
        let lowest_scored = self
            .local_crashes
            .iter()
            .min_by_key(|(_, entry)| (entry.counts.score(), entry.last_crash_at));
        if let Some((&fingerprint, _)) = lowest_scored
            && self.local_crashes.len() >= self.options.max_fingerprints
        {
            self.local_crashes.remove(&fingerprint);
        }
    }
}
