//! Options of the router.

use std::time::Duration;

use deck_core::id::{DataCentreId, VmId};

/// Options of a [`Router`](crate::Router).
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// The VM on which the router runs; decides its subset of targets.
    pub vm: VmId,
    /// Data centre of the VM; its targets are preferred.
    pub data_centre: DataCentreId,
    /// Number of targets of a pool that this router is meant to use. A pool of at most this size is
    /// used whole. The real number varies by VM around this value and is at most twice as high.
    pub subset_size: usize,
    /// Part of the subset that is taken from other data centres, in percent.
    pub remote_subset_percent: usize,
    /// Load of a local target, in parts of its slots, from which remote targets are considered.
    pub spill_load: f64,
    /// A remote target is chosen only if its load times this factor is below the local one's.
    pub remote_load_factor: f64,
    /// The preferred target of an affinity value is used while its load is at most this factor
    /// times the least one.
    pub affinity_load_factor: f64,
    /// Part of a target's slots that rollout work may use, in percent; the rest stays free for
    /// interactive and batch calls.
    pub rollout_slots_percent: u32,
    /// Age at which a load report counts half.
    pub report_half_life: Duration,
    /// Weight of observed slowness in the load of a target: 0 ignores it, 1 multiplies the load by
    /// the ratio of the target's latency to the pool's median.
    pub slowness_weight: f64,
    /// Target health.
    pub health: HealthOptions,
    /// Seed of the random numbers; mixed with the VM's name.
    pub seed: u64,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            vm: String::new(),
            data_centre: String::new(),
            subset_size: 64,
            remote_subset_percent: 25,
            spill_load: 0.25,
            remote_load_factor: 1.5,
            affinity_load_factor: 1.5,
            rollout_slots_percent: 75,
            report_half_life: Duration::from_secs(1),
            slowness_weight: 1.0,
            health: HealthOptions::default(),
            seed: 0,
        }
    }
}

/// Options of target health.
#[derive(Debug, Clone)]
pub struct HealthOptions {
    /// Time between two checks of the pool for outliers.
    pub check_interval: Duration,
    /// A target is slow while its latency is above this factor times the pool's median.
    pub slow_factor: f64,
    /// Consecutive slow responses after which a target is ejected.
    pub slow_responses: u32,
    /// Consecutive failures after which a target is ejected; a broken connection counts twice.
    pub failures: u32,
    /// Failed part of recent calls from which a target is ejected, if the pool's part is below half
    /// of it.
    pub error_rate: f64,
    /// Latencies below this value are never slow; hides scheduling noise of fast services.
    pub slow_floor: Duration,
    /// Time between an ejection and the first probe.
    pub first_probe: Duration,
    /// Largest time between two probes.
    pub max_probe: Duration,
    /// Age from which latencies of a target no longer count.
    pub memory: Duration,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            check_interval: Duration::from_millis(50),
            slow_factor: 3.0,
            slow_responses: 3,
            failures: 3,
            error_rate: 0.4,
            slow_floor: Duration::from_millis(20),
            first_probe: Duration::from_secs(1),
            max_probe: Duration::from_secs(30),
            memory: Duration::from_secs(10),
        }
    }
}
