//! Settings of `deckentry`; `sample.ini` documents every key.

use std::{net::SocketAddr, path::Path, time::Duration};

use deck_call::{
    CallHandlerOptions,
    options::{AtMostOnceOptions, AttemptOptions, BodyOptions},
};
use deck_conf::{
    ConfError, Reader,
    common::{AdminSettings, LogSettings, VmSettings},
};
use deck_core::id::Incarnation;
use deck_limit::CrashOptions;
use deck_net::ServerOptions;

const DAY_MS: u64 = 24 * 3600 * 1000;

/// All settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Section `[vm]`.
    pub vm: VmSettings,
    /// Section `[listen]`.
    pub listen: ListenSettings,
    /// Section `[platform]`.
    pub platform: PlatformSettings,
    /// Section `[limits]`.
    pub limits: LimitSettings,
    /// Section `[log]`.
    pub log: LogSettings,
    /// Section `[admin]`.
    pub admin: AdminSettings,
}

/// Section `[listen]`.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other VMs.
    pub peer: SocketAddr,
    /// Address under which other VMs reach the peer listener, if it is another one.
    pub peer_advertised: Option<SocketAddr>,
    /// Loopback address for the daemons of this VM.
    pub local: SocketAddr,
}

/// Section `[platform]`.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub object_api: SocketAddr,
    /// Time for one call on the object API.
    pub object_api_timeout: Duration,
    /// Address of the VM list.
    pub vm_list: Option<SocketAddr>,
    /// Peer addresses to contact at the start.
    pub seeds: Vec<SocketAddr>,
}

/// Section `[limits]`.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Limits of the caller listener.
    pub server: ServerOptions,
    /// Bounds on bodies.
    pub body: BodyOptions,
    /// Deadlines and tries.
    pub tries: AttemptOptions,
    /// At-most-once calls.
    pub once: AtMostOnceOptions,
    /// Crash fingerprints.
    pub crash: CrashOptions,
    /// Time in which a connection to a target has to come about.
    pub target_connect_timeout: Duration,
    /// Largest number of targets of a pool that this VM uses.
    pub subset_size: usize,
    /// Retries that an organisation may make in a pool before it has made calls.
    pub retry_reserve: u32,
    /// Longest wait of a call for a free slot.
    pub max_queue_wait: Duration,
    /// Load reports requested per second.
    pub load_polls_per_s: u32,
    /// Time after SIGTERM in which requests are still accepted.
    pub drain_delay: Duration,
    /// Time after SIGTERM for requests in flight.
    pub drain_timeout: Duration,
}

impl deck_daemon::Settings for Settings {
    fn try_open(file: &Path) -> Result<Self, ConfError> {
        let reader = Reader::try_open(file)?;
        let settings = Self {
            vm: VmSettings::try_read(&reader)?,
            listen: ListenSettings::try_read(&reader)?,
            platform: PlatformSettings::try_read(&reader)?,
            limits: LimitSettings::try_read(&reader)?,
            log: LogSettings::try_read(&reader)?,
            admin: AdminSettings::try_read(&reader)?,
        };
        reader.check_unknown_keys()?;
        Ok(settings)
    }

    fn log_level(&self) -> &str {
        &self.log.level
    }
}

impl Settings {
    /// Returns the settings of the data path.
    pub fn call_options(&self, incarnation: Incarnation) -> CallHandlerOptions {
        CallHandlerOptions {
            body: self.limits.body.clone(),
            attempts: self.limits.tries.clone(),
            at_most_once: self.limits.once.clone(),
            crash: self.limits.crash.clone(),
            max_load_polls_per_s: self.limits.load_polls_per_s,
            ..CallHandlerOptions::new(self.vm.id.clone(), incarnation)
        }
    }
}

impl ListenSettings {
    fn try_read(reader: &Reader) -> Result<Self, ConfError> {
        let local = reader.address("listen", "local")?;
        if !local.ip().is_loopback() {
            let allowed = "a loopback address, ip:port";
            return Err(reader.value_error("listen", "local", &local.to_string(), allowed));
        }
        Ok(Self {
            caller: reader.address("listen", "caller")?,
            peer: reader.address("listen", "peer")?,
            peer_advertised: optional_address(reader, "listen", "peer_advertised")?,
            local,
        })
    }
}

impl PlatformSettings {
    fn try_read(reader: &Reader) -> Result<Self, ConfError> {
        Ok(Self {
            object_api: reader.address("platform", "object_api")?,
            object_api_timeout: reader.millis(
                "platform",
                "object_api_timeout_ms",
                2000,
                10,
                60_000,
            )?,
            vm_list: optional_address(reader, "platform", "vm_list")?,
            seeds: reader.addresses("platform", "seeds")?,
        })
    }
}

fn optional_address(
    reader: &Reader,
    section: &str,
    key: &str,
) -> Result<Option<SocketAddr>, ConfError> {
    match reader.text(section, key) {
        Some(text) if !text.is_empty() => reader.address(section, key).map(Some),
        _ => Ok(None),
    }
}

/// Reader of section `[limits]`.
struct Limits<'a>(&'a Reader);

impl Limits<'_> {
    fn millis(&self, key: &str, default: Duration, min_ms: u64) -> Result<Duration, ConfError> {
        self.0.millis("limits", key, default.as_millis() as u64, min_ms, DAY_MS)
    }

    fn size(&self, key: &str, default: usize, min: usize, max: usize) -> Result<usize, ConfError> {
        self.0.number("limits", key, default, min, max)
    }

    fn rate(&self, key: &str, default: f64) -> Result<f64, ConfError> {
        self.0.number("limits", key, default, 0.01, 10_000.0)
    }
}

impl LimitSettings {
    fn try_read(reader: &Reader) -> Result<Self, ConfError> {
        let limits = Limits(reader);
        Ok(Self {
            server: read_server(&limits)?,
            body: read_body(&limits)?,
            tries: read_tries(&limits)?,
            once: read_once(&limits)?,
            crash: read_crash(&limits)?,
            target_connect_timeout: limits.millis(
                "target_connect_timeout_ms",
                Duration::from_secs(1),
                10,
            )?,
            subset_size: limits.size("subset_size", 24, 1, 10_000)?,
            retry_reserve: reader.number("limits", "retry_reserve", 10, 0, 10_000)?,
            max_queue_wait: limits.millis("max_queue_wait_ms", Duration::from_secs(2), 0)?,
            load_polls_per_s: reader.number("limits", "load_polls_per_s", 20, 0, 1000)?,
            drain_delay: limits.millis("drain_delay_ms", Duration::from_secs(3), 0)?,
            drain_timeout: limits.millis("drain_timeout_ms", Duration::from_secs(3600), 0)?,
        })
    }
}

fn read_server(limits: &Limits<'_>) -> Result<ServerOptions, ConfError> {
    Ok(ServerOptions {
        max_connections: limits.size("max_connections", 2000, 1, 100_000)?,
        max_head_bytes: limits.size("max_head_bytes", 16 * 1024, 8192, 1024 * 1024)?,
        head_timeout: limits.millis("head_timeout_ms", Duration::from_secs(10), 10)?,
        write_timeout: limits.millis("write_timeout_ms", Duration::from_secs(60), 10)?,
    })
}

fn read_body(limits: &Limits<'_>) -> Result<BodyOptions, ConfError> {
    const MIB: usize = 1024 * 1024;
    let default = BodyOptions::default();
    Ok(BodyOptions {
        max_request_bytes: limits.size("max_body_bytes", default.max_request_bytes, 1, 3 * MIB)?,
        max_buffered_bytes: limits.size(
            "max_total_body_bytes",
            default.max_buffered_bytes,
            1,
            16 * 1024 * MIB,
        )?,
        receive_timeout: limits.millis("body_timeout_ms", default.receive_timeout, 10)?,
        max_response_bytes: limits.size(
            "max_answer_bytes",
            default.max_response_bytes,
            1,
            3 * MIB,
        )?,
        ..default
    })
}

fn read_tries(limits: &Limits<'_>) -> Result<AttemptOptions, ConfError> {
    let default = AttemptOptions::default();
    Ok(AttemptOptions {
        default_deadline: limits.millis("default_deadline_ms", default.default_deadline, 1)?,
        max_deadline: limits.millis("max_deadline_ms", default.max_deadline, 1)?,
        max_attempts: limits.0.number("limits", "max_tries", default.max_attempts, 1, 100)?,
        target_idle_timeout: limits.millis(
            "target_idle_timeout_ms",
            default.target_idle_timeout,
            10,
        )?,
        ..default
    })
}

fn read_once(limits: &Limits<'_>) -> Result<AtMostOnceOptions, ConfError> {
    const MAX_COUNT: usize = 10_000_000;
    let default = AtMostOnceOptions::default();
    Ok(AtMostOnceOptions {
        max_claims_per_s: limits.rate("claims_per_s", default.max_claims_per_s)?,
        max_claim_deletes_per_s: limits
            .rate("claim_deletes_per_s", default.max_claim_deletes_per_s)?,
        claim_retention: limits.millis("claim_keep_ms", default.claim_retention, 1000)?,
        record_retention: limits.millis("record_keep_ms", default.record_retention, 1000)?,
        max_records: limits.size("max_records", default.max_records, 1, MAX_COUNT)?,
        max_record_bytes: limits.size(
            "max_record_bytes",
            default.max_record_bytes,
            0,
            16 * 1024 * 1024 * 1024,
        )?,
        ticket_lifetime: limits.millis("ticket_keep_ms", default.ticket_lifetime, 1000)?,
        max_unused_tickets: limits.size("max_tickets", default.max_unused_tickets, 1, MAX_COUNT)?,
        ..default
    })
}

fn read_crash(limits: &Limits<'_>) -> Result<CrashOptions, ConfError> {
    let default = CrashOptions::default();
    Ok(CrashOptions {
        max_crashes: limits.0.number("limits", "crash_limit", default.max_crashes, 1, 1000)?,
        retention: limits.millis("crash_keep_ms", default.retention, 1000)?,
        ..default
    })
}
