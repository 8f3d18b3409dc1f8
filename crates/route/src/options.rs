//! Options of the router and of outlier ejection.

use std::time::Duration;

use deck_core::id::{DataCentreId, VmId};

/// Options of a [`Router`](crate::Router).
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// The VM on which the router runs; determines its subset of targets.
    pub vm: VmId,
    /// Data centre of the VM; its targets are preferred.
    pub data_centre: DataCentreId,
    /// Intended size of the subset of a pool that this VM uses. Smaller pools are used whole. The
    /// actual size varies between VMs and is at most twice this value.
    pub subset_size: usize,
    /// Percentage of the subset that is taken from other data centres.
    pub remote_subset_percent: usize,
    /// Load of a local target, as a fraction of its slots, from which calls may go to remote
    /// targets.
    pub spillover_load: f64,
    /// Factor by which the load of a remote target is multiplied when it is compared with a local
    /// one.
    pub remote_load_penalty: f64,
    /// Largest ratio of the load of the target preferred by affinity to that of another target. Above
    /// it the affinity is ignored.
    pub max_affinity_load_ratio: f64,
    /// Percentage of a target's slots that rollout calls may use; the rest is reserved for
    /// interactive and batch calls.
    pub rollout_slots_percent: u32,
    /// Time in which the weight of a load report halves.
    pub load_report_half_life: Duration,
    /// Exponent applied to a target's relative latency when it scales the load: 0 ignores latency,
    /// 1 multiplies the load by the ratio of the target's latency to the pool's median.
    pub latency_exponent: f64,
    /// Outlier ejection and health probes.
    pub health: HealthOptions,
    /// Seed of the random number generator, combined with the names of the VM and the pool.
    pub seed: u64,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            vm: String::new(),
            data_centre: String::new(),
            subset_size: 64,
            remote_subset_percent: 25,
            spillover_load: 0.25,
            remote_load_penalty: 1.5,
            max_affinity_load_ratio: 1.5,
            rollout_slots_percent: 75,
            load_report_half_life: Duration::from_secs(1),
            latency_exponent: 1.0,
            health: HealthOptions::default(),
            seed: 0,
        }
    }
}

/// Options of outlier ejection and health probes.
#[derive(Debug, Clone)]
pub struct HealthOptions {
    /// Interval between checks of a pool for outliers.
    pub check_interval: Duration,
    /// Ratio of a target's latency to the pool's median above which the target counts as slow.
    pub slow_latency_factor: f64,
    /// Consecutive slow responses after which a target is ejected.
    pub ejection_slow_responses: u32,
    /// Consecutive failures after which a target is ejected; a broken connection counts as two.
    pub ejection_failures: u32,
    /// Error rate from which a target is ejected, provided that the pool's mean error rate is less
    /// than half of the target's.
    pub ejection_error_rate: f64,
    /// Latencies below this value never count as slow, which hides scheduling jitter of fast
    /// services.
    pub min_slow_latency: Duration,
    /// Delay between an ejection and the first probe.
    pub initial_probe_interval: Duration,
    /// Upper bound of the delay between probes, which doubles with each failed probe.
    pub max_probe_interval: Duration,
    /// Age after which the average latency of a target is ignored.
    pub latency_max_age: Duration,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            check_interval: Duration::from_millis(50),
            slow_latency_factor: 3.0,
            ejection_slow_responses: 3,
            ejection_failures: 3,
            ejection_error_rate: 0.4,
            min_slow_latency: Duration::from_millis(20),
            initial_probe_interval: Duration::from_secs(1),
            max_probe_interval: Duration::from_secs(30),
            latency_max_age: Duration::from_secs(10),
        }
    }
}
