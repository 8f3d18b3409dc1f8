//! Settings of the rollout service.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::VmId;
use deck_plat::LeaseOptions;

use crate::window::WindowOptions;

/// Settings of the sample scheduler.
#[derive(Debug, Clone)]
pub struct BoardOptions {
    /// Number of steps after the trainer's current step for which samples may be generated in
    /// advance.
    pub max_ahead_steps: u64,
    /// Limit on the total size of texts held in memory; above it no sample of a later step starts.
    pub max_buffered_bytes: usize,
    /// Time between probe samples while all engines run weights older than the trainer allows.
    pub probe_interval: Duration,
    /// Whether groups with the longest predicted samples start first.
    pub longest_first: bool,
    /// Whether samples of later steps are generated in advance, and samples that would be stale are
    /// not started. Disabled only for comparison measurements.
    pub look_ahead: bool,
}

impl Default for BoardOptions {
    fn default() -> Self {
        Self {
            max_ahead_steps: 2,
            max_buffered_bytes: 48 * 1024 * 1024,
            probe_interval: Duration::from_millis(200),
            longest_first: true,
            look_ahead: true,
        }
    }
}

/// Settings for the generation of a sample.
#[derive(Debug, Clone)]
pub struct AttemptOptions {
    /// Time without a token after which a hedged second request may start.
    pub stall_after: Duration,
    /// Limit on hedged second requests, as a percentage of all samples started.
    pub second_attempt_percent: u32,
    /// Timeout of one attempt. The text generated until then is resumed by the next attempt.
    pub limit: Duration,
    /// Maximum text size of one sample in bytes.
    pub max_sample_bytes: usize,
    /// Delay before a failed sample is retried.
    pub retry_wait: Duration,
}

impl Default for AttemptOptions {
    fn default() -> Self {
        Self {
            stall_after: Duration::from_secs(3),
            second_attempt_percent: 5,
            limit: Duration::from_secs(240),
            max_sample_bytes: 1024 * 1024,
            retry_wait: Duration::from_millis(250),
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
    pub locate_interval: Duration,
}

impl Default for PullOptions {
    fn default() -> Self {
        Self {
            default_wait: Duration::from_secs(5),
            max_wait: Duration::from_secs(60),
            max_response_bytes: 4 * 1024 * 1024,
            locate_interval: Duration::from_secs(1),
        }
    }
}

/// Settings of the rollout service on one VM.
#[derive(Debug, Clone)]
pub struct RollOptions {
    /// Name of this VM.
    pub vm: VmId,
    /// Address at which trainers and other VMs reach this VM's trainer interface.
    pub address: SocketAddr,
    /// Address at which the local `deckentry` accepts calls.
    pub entry: SocketAddr,
    /// Settings of the job leases.
    pub lease: LeaseOptions,
    /// Settings of the sample scheduler.
    pub board: BoardOptions,
    /// Settings of sample generation.
    pub attempt: AttemptOptions,
    /// Settings of the concurrency limiter.
    pub window: WindowOptions,
    /// Settings of pull requests.
    pub pull: PullOptions,
    /// Timeout of one scoring request.
    pub score_timeout: Duration,
    /// Minimum time between two writes of a job's status.
    pub status_interval: Duration,
}

impl RollOptions {
    /// Creates default settings for a VM.
    pub fn new(vm: VmId, address: SocketAddr, entry: SocketAddr) -> Self {
        Self {
            vm,
            address,
            entry,
            lease: LeaseOptions::default(),
            board: BoardOptions::default(),
            attempt: AttemptOptions::default(),
            window: WindowOptions::default(),
            pull: PullOptions::default(),
            score_timeout: Duration::from_secs(10),
            status_interval: Duration::from_secs(5),
        }
    }
}
