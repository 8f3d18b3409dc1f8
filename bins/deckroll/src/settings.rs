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

/// All settings.
#[derive(Debug)]
pub struct Settings {
    /// Identity of the VM.
    pub vm: VmSettings,
    /// Address of the listener for trainers.
    pub trainer: SocketAddr,
    /// Address under which trainers reach it, if it is another one.
    pub advertised: Option<SocketAddr>,
    /// Address of the object API.
    pub object_api: SocketAddr,
    /// Time limit of one call on the object API.
    pub object_api_timeout: Duration,
    /// Address of the caller listener of the local `deckentry`.
    pub entry: SocketAddr,
    /// Address of the local interface of `deckentry`.
    pub local: SocketAddr,
    /// Admin endpoints.
    pub admin: AdminSettings,
    /// Leases.
    pub lease: LeaseOptions,
    /// Steps and look-ahead.
    pub board: SampleSchedulerOptions,
    /// Generations.
    pub attempt: GenerationOptions,
    /// Concurrency.
    pub window: ConcurrencyLimiterOptions,
    /// Pulls.
    pub pull: PullOptions,
    /// Time limit of one call on a scorer.
    pub score_timeout: Duration,
    /// Shortest time between writes of a job's status.
    pub status_interval: Duration,
    /// Logs.
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
        let advertised = match reader.text("listen", "trainer_advertised") {
            Some(_) => Some(reader.address("listen", "trainer_advertised")?),
            None => None,
        };
        Ok(Self {
            vm: VmSettings::try_read(reader)?,
            trainer: reader.address("listen", "trainer")?,
            advertised,
            object_api: reader.address("platform", "object_api")?,
            object_api_timeout: reader.millis(
                "platform",
                "object_api_timeout_ms",
                2000,
                50,
                60_000,
            )?,
            entry: reader.address("local", "caller")?,
            local: reader.address("local", "entry")?,
            admin: AdminSettings::try_read(reader)?,
            lease: LeaseOptions {
                duration: reader.millis("lease", "duration_ms", 9000, 1000, 600_000)?,
                ..LeaseOptions::default()
            },
            board: read_board(reader)?,
            attempt: read_attempt(reader)?,
            window: read_window(reader)?,
            pull: read_pull(reader)?,
            score_timeout: reader.millis("score", "timeout_ms", 10_000, 50, 600_000)?,
            status_interval: reader.millis("status", "interval_ms", 5000, 5000, 600_000)?,
            log: LogSettings::try_read(reader)?,
        })
    }
}

fn read_board(reader: &Reader) -> Result<SampleSchedulerOptions, ConfError> {
    let default = SampleSchedulerOptions::default();
    let words = &["yes", "no"];
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
        longest_first: reader.choice("step", "longest_first", "yes", words)? == "yes",
        allow_look_ahead: reader.choice("step", "look_ahead", "yes", words)? == "yes",
    })
}

fn read_attempt(reader: &Reader) -> Result<GenerationOptions, ConfError> {
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

fn read_window(reader: &Reader) -> Result<ConcurrencyLimiterOptions, ConfError> {
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
