//! Settings of the rollout service.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::VmId;
use deck_plat::LeaseOptions;

use crate::concurrency::ConcurrencyLimiterOptions;

/// Settings of the sample scheduler.
#[derive(Debug, Clone)]
pub struct SampleSchedulerOptions {
    /// Number of steps after the trainer's current step for which samples may be generated in
    /// advance.
    pub max_ahead_steps: u64,
    /// Limit on the total size of texts held in memory; above it no sample of a later step starts.
    pub max_buffered_bytes: usize,
    /// Minimum time between probe samples: while all engines run weights older than the trainer
    /// allows, single samples are started to detect when an engine runs newer weights.
    pub probe_interval: Duration,
    /// Whether groups with the longest predicted samples start first.
    pub longest_first: bool,
    /// Whether samples of later steps are generated in advance, and samples that would be stale are
    /// not started. Disabled only for comparison measurements.
    pub allow_look_ahead: bool,
}

impl Default for SampleSchedulerOptions {
    fn default() -> Self {
        Self {
            max_ahead_steps: 2,
            max_buffered_bytes: 48 * 1024 * 1024,
            probe_interval: Duration::from_millis(200),
            longest_first: true,
            allow_look_ahead: true,
        }
    }
}

/// Settings for the generation of a sample.
#[derive(Debug, Clone)]
pub struct GenerationOptions {
    /// Time without a token after which a hedged second request may start.
    pub stall_timeout: Duration,
    /// Limit on hedged second requests, as a percentage of all samples started.
    pub max_hedge_percent: u32,
    /// Timeout of one attempt. The text generated until then is resumed by the next attempt.
    pub attempt_timeout: Duration,
    /// Maximum text size of one sample in bytes.
    pub max_sample_bytes: usize,
    /// Delay before a failed sample is retried.
    pub retry_delay: Duration,
}

impl Default for GenerationOptions {
    fn default() -> Self {
        Self {
            stall_timeout: Duration::from_secs(3),
            max_hedge_percent: 5,
            attempt_timeout: Duration::from_secs(240),
            max_sample_bytes: 1024 * 1024,
            retry_delay: Duration::from_millis(250),
        }
    }
}

/// Settings of the trainers' pull requests.
#[derive(Debug, Clone)]
pub struct PullOptions {
    /// Long-poll timeout of a pull that does not specify one.
    pub default_wait: Duration,
    /// Upper limit on the long-poll timeout that a pull may request.
    pub max_wait: Duration,
    /// Maximum text size in one response in bytes; a larger group is sent alone.
    pub max_response_bytes: usize,
    /// Minimum time between two reads of a job's lease when looking up its owner.
    pub owner_lookup_interval: Duration,
}

impl Default for PullOptions {
    fn default() -> Self {
        Self {
            default_wait: Duration::from_secs(5),
            max_wait: Duration::from_secs(60),
            max_response_bytes: 4 * 1024 * 1024,
            owner_lookup_interval: Duration::from_secs(1),
        }
    }
}

/// Settings of the rollout service on one VM.
#[derive(Debug, Clone)]
pub struct RolloutOptions {
    /// Name of this VM.
    pub vm: VmId,
    /// Address at which trainers and other VMs reach this VM's trainer interface.
    pub advertised_address: SocketAddr,
    /// Address at which `deckentry`, the entry daemon of this VM, accepts calls.
    pub entry_address: SocketAddr,
    /// Settings of the job leases.
    pub lease_options: LeaseOptions,
    /// Settings of the sample scheduler.
    pub scheduler: SampleSchedulerOptions,
    /// Settings of sample generation.
    pub generation: GenerationOptions,
    /// Settings of the concurrency limiter.
    pub concurrency: ConcurrencyLimiterOptions,
    /// Settings of pull requests.
    pub pull: PullOptions,
    /// Timeout of one scoring request.
    pub score_timeout: Duration,
    /// Minimum time between two writes of a job's status.
    pub status_interval: Duration,
}

impl RolloutOptions {
    /// Creates default settings for a VM.
    pub fn new(vm: VmId, advertised_address: SocketAddr, entry_address: SocketAddr) -> Self {
        Self {
            vm,
            advertised_address,
            entry_address,
            lease_options: LeaseOptions::default(),
            scheduler: SampleSchedulerOptions::default(),
            generation: GenerationOptions::default(),
            concurrency: ConcurrencyLimiterOptions::default(),
            pull: PullOptions::default(),
            score_timeout: Duration::from_secs(10),
            status_interval: Duration::from_secs(5),
        }
    }
}
