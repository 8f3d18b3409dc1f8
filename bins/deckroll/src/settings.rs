//! Settings of `deckroll`; `sample.ini` documents every key.

use std::{net::SocketAddr, path::Path, time::Duration};

use deck_conf::{
    ConfError, Reader,
    common::{AdminSettings, LogSettings, VmSettings},
};
use deck_plat::LeaseOptions;
use deck_roll::{
    concurrency::ConcurrencyLimiterOptions,
    options::{GenerationOptions, PullOptions, SampleSchedulerOptions},
};

/// Contents of a settings file.
#[derive(Debug)]
pub struct Settings {
    /// Section `[vm]`: id, data centre and region of this VM.
    pub vm: VmSettings,
    /// Address on which trainers connect.
    pub trainer_address: SocketAddr,
    /// Address that trainers use for the listener, if it differs from the listener's own.
    pub advertised_address: Option<SocketAddr>,
    /// Address of the platform's object API.
    pub object_api: SocketAddr,
    /// Timeout of one object API call.
    pub object_api_timeout: Duration,
    /// Caller listener of `deckentry` on this VM, to which generations are sent.
    pub entry_caller: SocketAddr,
    /// Local listener of `deckentry` on this VM, which provides configuration and members.
    pub entry_local: SocketAddr,
    /// Section `[admin]`: address of the listener for health checks and metrics.
    pub admin: AdminSettings,
    /// Section `[lease]`: lease by which one VM at a time owns a rollout job.
    pub lease: LeaseOptions,
    /// Section `[step]`: order of groups and work for later steps.
    pub scheduler: SampleSchedulerOptions,
    /// Section `[sample]`: attempts to generate a sample.
    pub generation: GenerationOptions,
    /// Section `[window]`: limit on concurrent generations of a job.
    pub concurrency: ConcurrencyLimiterOptions,
    /// Section `[pull]`: waits and response size of a trainer's pull, and how often a VM that does
    /// not own the job looks up the owner.
    pub pull: PullOptions,
    /// Timeout of one scorer call.
    pub score_timeout: Duration,
    /// Minimum interval between writes of a job's status.
    pub status_interval: Duration,
    /// Section `[log]`: least severe level that is logged.
    pub log: LogSettings,
}

impl deck_daemon::Settings for Settings {
    fn try_open(file: &Path) -> Result<Self, ConfError> {
        let reader = Reader::try_open(file)?;
        let settings = Self::try_read(&reader)?;
        reader.check_unknown_keys()?;
        Ok(settings)
    }

    fn log_level(&self) -> &str {
        &self.log.level
    }
}

impl Settings {
    fn try_read(reader: &Reader) -> Result<Self, ConfError> {
        let advertised_address = match reader.text("listen", "trainer_advertised") {
            Some(_) => Some(reader.address("listen", "trainer_advertised")?),
            None => None,
        };
        Ok(Self {
            vm: VmSettings::try_read(reader)?,
            trainer_address: reader.address("listen", "trainer")?,
            advertised_address,
            object_api: reader.address("platform", "object_api")?,
            object_api_timeout: reader.millis(
                "platform",
                "object_api_timeout_ms",
                2000,
                50,
                60_000,
            )?,
            entry_caller: reader.address("local", "caller")?,
            entry_local: reader.address("local", "entry")?,
            admin: AdminSettings::try_read(reader)?,
            lease: LeaseOptions {
                duration: reader.millis("lease", "duration_ms", 9000, 1000, 600_000)?,
                ..LeaseOptions::default()
            },
            scheduler: read_scheduler(reader)?,
            generation: read_generation(reader)?,
            concurrency: read_concurrency(reader)?,
            pull: read_pull(reader)?,
            score_timeout: reader.millis("score", "timeout_ms", 10_000, 50, 600_000)?,
            status_interval: reader.millis("status", "interval_ms", 5000, 5000, 600_000)?,
            log: LogSettings::try_read(reader)?,
        })
    }
}

fn read_scheduler(reader: &Reader) -> Result<SampleSchedulerOptions, ConfError> {
    let default = SampleSchedulerOptions::default();
    let yes_no = &["yes", "no"];
    Ok(SampleSchedulerOptions {
        max_ahead_steps: reader.number(
            "step",
            "max_ahead_steps",
            default.max_ahead_steps,
            0,
            16,
        )?,
        max_buffered_bytes: reader.number(
            "step",
            "max_buffered_bytes",
            default.max_buffered_bytes,
            1024,
            16 * 1024 * 1024 * 1024,
        )?,
        probe_interval: reader.millis("step", "probe_interval_ms", 200, 10, 60_000)?,
        longest_first: reader.choice("step", "longest_first", "yes", yes_no)? == "yes",
        allow_look_ahead: reader.choice("step", "look_ahead", "yes", yes_no)? == "yes",
    })
}

fn read_generation(reader: &Reader) -> Result<GenerationOptions, ConfError> {
    let default = GenerationOptions::default();
    Ok(GenerationOptions {
        stall_timeout: reader.millis("sample", "stall_after_ms", 3000, 10, 600_000)?,
        max_hedge_percent: reader.number(
            "sample",
            "second_attempt_percent",
            default.max_hedge_percent,
            0,
            100,
        )?,
        attempt_timeout: reader.millis("sample", "limit_ms", 240_000, 100, 3_600_000)?,
        max_sample_bytes: reader.number(
            "sample",
            "max_bytes",
            default.max_sample_bytes,
            1024,
            1024 * 1024 * 1024,
        )?,
        retry_delay: reader.millis("sample", "retry_wait_ms", 250, 1, 60_000)?,
    })
}

fn read_concurrency(reader: &Reader) -> Result<ConcurrencyLimiterOptions, ConfError> {
    let default = ConcurrencyLimiterOptions::default();
    Ok(ConcurrencyLimiterOptions {
        initial_limit: reader.number("window", "initial", default.initial_limit, 1, 100_000)?,
        max_limit: reader.number("window", "max", default.max_limit, 1, 100_000)?,
        min_decrease_interval: reader.millis("window", "reduce_interval_ms", 500, 1, 60_000)?,
    })
}

fn read_pull(reader: &Reader) -> Result<PullOptions, ConfError> {
    let default = PullOptions::default();
    Ok(PullOptions {
        default_wait: reader.millis("pull", "default_wait_ms", 5000, 0, 600_000)?,
        max_wait: reader.millis("pull", "max_wait_ms", 60_000, 0, 600_000)?,
        max_response_bytes: reader.number(
            "pull",
            "max_response_bytes",
            default.max_response_bytes,
            1024,
            256 * 1024 * 1024,
        )?,
        owner_lookup_interval: reader.millis("pull", "locate_interval_ms", 1000, 100, 60_000)?,
    })
}
