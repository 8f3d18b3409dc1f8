//! Recognition of requests that crash the targets that run them.
//!
//! A crash makes every call that was in flight on the target a suspect. Suspects run on targets
//! without another suspect, so that a further crash points at one of them. A fingerprint is
//! condemned after `limit` crashes. Crashes in company count once at most: a popular harmless
//! request that was in flight beside a guilty one several times is never condemned for that.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_core::{hash::hash128, id::TargetId};
use serde::{Deserialize, Serialize};

/// Settings of the recognition of requests that crash targets.
#[derive(Debug, Clone)]
pub struct CrashOptions {
    /// Crashes after which a request is refused.
    pub limit: u32,
    /// Time for which crashes are remembered.
    pub keep: Duration,
    /// Longest time that a suspect waits for a target without another suspect.
    pub isolation_wait: Duration,
    /// Most fingerprints that are kept and published.
    pub max_fingerprints: usize,
}

impl Default for CrashOptions {
    fn default() -> Self {
        Self {
            limit: 3,
            keep: Duration::from_secs(900),
            isolation_wait: Duration::from_secs(2),
            max_fingerprints: 256,
        }
    }
}

/// Hash of pool, method, path and body of a request.
pub type Fingerprint = u128;

/// Returns the fingerprint of a request.
pub fn fingerprint(pool: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut text = Vec::with_capacity(pool.len() + method.len() + path.len() + body.len() + 24);
    for part in [pool.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        text.extend_from_slice(&(part.len() as u64).to_le_bytes());
        text.extend_from_slice(part);
    }
    hash128(&text)
}

/// Crashes of one fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct CrashCounts {
    /// Crashes while other suspects or unsuspected calls may have been the cause.
    pub in_company: u32,
    /// Crashes while it was the only suspect on the target.
    pub alone: u32,
}

impl CrashCounts {
    /// Returns the number of crashes that are held against the fingerprint.
    pub fn held_against(self) -> u32 {
        self.alone + self.in_company.min(1)
    }
}

/// Crashes of one fingerprint as published to the other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PublishedCrash {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Its crashes at the publishing VM.
    pub counts: CrashCounts,
}

struct Entry {
    counts: CrashCounts,
    last: Instant,
}

/// Crashes known to this VM.
pub struct CrashTracker {
    options: CrashOptions,
    own: HashMap<Fingerprint, Entry>,
    /// Sums over all other VMs.
    others: HashMap<Fingerprint, CrashCounts>,
    /// Suspects in flight by target.
    running: HashMap<TargetKey, u32>,
    /// Changes with each change of `own`.
    version: u64,
}

/// Pool and name of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TargetKey {
    /// The pool.
    pub pool: String,
    /// The target.
    pub target: TargetId,
}

impl CrashTracker {
    /// Returns a tracker without any crash.
    pub fn new(options: CrashOptions) -> Self {
        Self {
            options,
            own: HashMap::new(),
            others: HashMap::new(),
            running: HashMap::new(),
            version: 0,
        }
    }

    /// Returns the crashes of a fingerprint on all VMs.
    pub fn counts(&self, fingerprint: Fingerprint) -> CrashCounts {
        let own = self.own.get(&fingerprint).map(|entry| entry.counts).unwrap_or_default();
        let others = self.others.get(&fingerprint).copied().unwrap_or_default();
        CrashCounts {
            in_company: own.in_company.saturating_add(others.in_company),
            alone: own.alone.saturating_add(others.alone),
        }
    }

    /// Returns whether the fingerprint must not run any more.
    pub fn is_condemned(&self, fingerprint: Fingerprint) -> bool {
        self.counts(fingerprint).held_against() >= self.options.limit
    }

    /// Returns whether the fingerprint was in flight in a crash and has not succeeded since.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.counts(fingerprint).held_against() > 0
    }

    /// Returns the targets of a pool that run a suspect.
    pub fn targets_with_suspects(&self, pool: &str) -> Vec<TargetId> {
        self.running.keys().filter(|key| key.pool == pool).map(|key| key.target.clone()).collect()
    }

    /// Notes that a suspect starts on a target.
    pub fn suspect_started(&mut self, key: &TargetKey) {
        *self.running.entry(key.clone()).or_default() += 1;
    }

    /// Notes that a suspect is no longer on a target.
    pub fn suspect_ended(&mut self, key: &TargetKey) {
        if let Some(count) = self.running.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(key);
            }
        }
    }

    /// Notes that a target broke while it ran the call. `suspect` says whether the call was a
    /// suspect when it started there.
    pub fn crashed(
        &mut self,
        fingerprint: Fingerprint,
        key: &TargetKey,
        suspect: bool,
        now: Instant,
    ) {
        let alone = suspect && self.running.get(key).copied().unwrap_or(0) <= 1;
        self.make_room(now);
        let entry = self
            .own
            .entry(fingerprint)
            .or_insert(Entry { counts: CrashCounts::default(), last: now });
        entry.last = now;
        let count = if alone { &mut entry.counts.alone } else { &mut entry.counts.in_company };
        *count = count.saturating_add(1);
        self.version += 1;
    }

    /// Notes that the fingerprint ran to its end: it is no longer held against it here. Returns whether
    /// anything was.
    pub fn succeeded(&mut self, fingerprint: Fingerprint) -> bool {
        let was_held = self.own.remove(&fingerprint).is_some();
        if was_held {
            self.version += 1;
        }
        was_held
    }

    /// Returns what to publish: the worst fingerprints first.
    pub fn to_publish(&mut self, now: Instant) -> Vec<PublishedCrash> {
        self.expire(now);
        let mut published: Vec<_> = self
            .own
            .iter()
            .map(|(&fingerprint, entry)| PublishedCrash { fingerprint, counts: entry.counts })
            .collect();
        published.sort_unstable_by_key(|crash| {
            (std::cmp::Reverse(crash.counts.held_against()), crash.fingerprint)
        });
        published.truncate(self.options.max_fingerprints);
        published
    }

    /// Returns a number that changes with each change of what to publish.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces what the other VMs published.
    pub fn set_others(&mut self, published: impl IntoIterator<Item = PublishedCrash>) {
        self.others.clear();
        for crash in published {
            let sum = self.others.entry(crash.fingerprint).or_default();
            sum.in_company = sum.in_company.saturating_add(crash.counts.in_company);
            sum.alone = sum.alone.saturating_add(crash.counts.alone);
        }
    }

    fn expire(&mut self, now: Instant) {
        let keep: Duration = self.options.keep;
        let before = self.own.len();
        self.own.retain(|_, entry| now.saturating_duration_since(entry.last) < keep);
        if self.own.len() != before {
            self.version += 1;
        }
    }

    /// Drops the fingerprint with the fewest and oldest crashes if there are too many.
    fn make_room(&mut self, now: Instant) {
        if self.own.len() < self.options.max_fingerprints {
            return;
        }
        self.expire(now);
        let least =
            self.own.iter().min_by_key(|(_, entry)| (entry.counts.held_against(), entry.last));
        if let Some((&fingerprint, _)) = least
            && self.own.len() >= self.options.max_fingerprints
        {
            self.own.remove(&fingerprint);
        }
    }
}
