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

/// Contents of a settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Section `[vm]`: id, data centre and region of this VM.
    pub vm: VmSettings,
    /// Section `[listen]`: addresses on which callers and other processes connect.
    pub listen: ListenSettings,
    /// Section `[platform]`: where to find the object API and the other VMs.
    pub platform: PlatformSettings,
    /// Section `[limits]`: limits, timeouts and retention times of calls, and of the shutdown.
    pub limits: LimitSettings,
    /// Section `[log]`: least severe level that is logged.
    pub log: LogSettings,
    /// Section `[admin]`: address of the listener for health checks and metrics.
    pub admin: AdminSettings,
}

/// Section `[listen]`: one address per listener, and the one advertised to other VMs.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// Address on which callers connect.
    pub caller: SocketAddr,
    /// Address on which the `deckentry` of other VMs connects.
    pub peer: SocketAddr,
    /// Address that other VMs use for the peer listener, if it differs from the listener's own.
    pub peer_advertised: Option<SocketAddr>,
    /// Loopback address on which `deckroll` and `deckweight` of this VM connect.
    pub local: SocketAddr,
}

/// Section `[platform]`: systems of the platform that this VM calls, and VMs to join.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the platform's object API.
    pub object_api: SocketAddr,
    /// Timeout of one object API call.
    pub object_api_timeout: Duration,
    /// Address of the platform's VM list, if there is one.
    pub vm_list: Option<SocketAddr>,
    /// Peer addresses of other VMs to contact at startup.
    pub seeds: Vec<SocketAddr>,
}

/// Section `[limits]`: bounds on the resources, time and attempts that calls may use.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Connection and request head limits of the caller listener.
    pub server: ServerOptions,
    /// Limits on request and response bodies.
    pub body: BodyOptions,
    /// Deadlines and attempts of a call.
    pub attempts: AttemptOptions,
    /// Rates, counts and retention times of the claims, recorded responses and tickets of
    /// at-most-once calls.
    pub at_most_once: AtMostOnceOptions,
    /// Number of target crashes after which a request is refused, and how long crashes count.
    pub crash_limits: CrashOptions,
    /// Timeout for connecting to a target.
    pub target_connect_timeout: Duration,
    /// Maximum number of targets of a pool that this VM uses.
    pub subset_size: usize,
    /// Retries allowed per organisation and pool before calls have added to the retry budget.
    pub retry_reserve: u32,
    /// Maximum wait of a call for a free slot of its pool.
    pub max_queue_wait: Duration,
    /// Load reports requested from engines per second; 0 disables them.
    pub load_polls_per_s: u32,
    /// Time after SIGTERM during which new requests are still accepted.
    pub drain_delay: Duration,
    /// Maximum time after `drain_delay` for requests in flight to finish.
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
    /// Builds the options of the call handler.
    pub fn call_options(&self, incarnation: Incarnation) -> CallHandlerOptions {
        CallHandlerOptions {
            body: self.limits.body.clone(),
            attempts: self.limits.attempts.clone(),
            at_most_once: self.limits.at_most_once.clone(),
            crash: self.limits.crash_limits.clone(),
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

/// Reads values of section `[limits]`.
struct LimitsReader<'a>(&'a Reader);

impl LimitsReader<'_> {
    fn millis(&self, key: &str, default: Duration, min_ms: u64) -> Result<Duration, ConfError> {
        self.0.millis("limits", key, default.as_millis() as u64, min_ms, DAY_MS)
    }

    fn integer(
        &self,
        key: &str,
        default: usize,
        min: usize,
        max: usize,
    ) -> Result<usize, ConfError> {
        self.0.number("limits", key, default, min, max)
    }

    fn rate(&self, key: &str, default: f64) -> Result<f64, ConfError> {
        self.0.number("limits", key, default, 0.01, 10_000.0)
    }
}

impl LimitSettings {
    fn try_read(reader: &Reader) -> Result<Self, ConfError> {
        let limits = LimitsReader(reader);
        Ok(Self {
            server: read_server(&limits)?,
            body: read_body(&limits)?,
            attempts: read_attempts(&limits)?,
            at_most_once: read_at_most_once(&limits)?,
            crash_limits: read_crash_limits(&limits)?,
            target_connect_timeout: limits.millis(
                "target_connect_timeout_ms",
                Duration::from_secs(1),
                10,
            )?,
            subset_size: limits.integer("subset_size", 24, 1, 10_000)?,
            retry_reserve: reader.number("limits", "retry_reserve", 10, 0, 10_000)?,
            max_queue_wait: limits.millis("max_queue_wait_ms", Duration::from_secs(2), 0)?,
            load_polls_per_s: reader.number("limits", "load_polls_per_s", 20, 0, 1000)?,
            drain_delay: limits.millis("drain_delay_ms", Duration::from_secs(3), 0)?,
            drain_timeout: limits.millis("drain_timeout_ms", Duration::from_secs(3600), 0)?,
        })
    }
}

fn read_server(limits: &LimitsReader<'_>) -> Result<ServerOptions, ConfError> {
    Ok(ServerOptions {
        max_connections: limits.integer("max_connections", 2000, 1, 100_000)?,
        max_head_bytes: limits.integer("max_head_bytes", 16 * 1024, 8192, 1024 * 1024)?,
        head_timeout: limits.millis("head_timeout_ms", Duration::from_secs(10), 10)?,
        write_timeout: limits.millis("write_timeout_ms", Duration::from_secs(60), 10)?,
        ..ServerOptions::default()
    })
}

fn read_body(limits: &LimitsReader<'_>) -> Result<BodyOptions, ConfError> {
    const MIB: usize = 1024 * 1024;
    let default = BodyOptions::default();
    Ok(BodyOptions {
        max_request_bytes: limits.integer(
            "max_body_bytes",
            default.max_request_bytes,
            1,
            3 * MIB,
        )?,
        max_buffered_bytes: limits.integer(
            "max_total_body_bytes",
            default.max_buffered_bytes,
            1,
            16 * 1024 * MIB,
        )?,
        receive_timeout: limits.millis("body_timeout_ms", default.receive_timeout, 10)?,
        max_response_bytes: limits.integer(
            "max_answer_bytes",
            default.max_response_bytes,
            1,
            3 * MIB,
        )?,
        ..default
    })
}

fn read_attempts(limits: &LimitsReader<'_>) -> Result<AttemptOptions, ConfError> {
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

fn read_at_most_once(limits: &LimitsReader<'_>) -> Result<AtMostOnceOptions, ConfError> {
    const MAX_COUNT: usize = 10_000_000;
    let default = AtMostOnceOptions::default();
    Ok(AtMostOnceOptions {
        max_claims_per_s: limits.rate("claims_per_s", default.max_claims_per_s)?,
        max_claim_deletes_per_s: limits
            .rate("claim_deletes_per_s", default.max_claim_deletes_per_s)?,
        claim_retention: limits.millis("claim_keep_ms", default.claim_retention, 1000)?,
        record_retention: limits.millis("record_keep_ms", default.record_retention, 1000)?,
        max_records: limits.integer("max_records", default.max_records, 1, MAX_COUNT)?,
        max_record_bytes: limits.integer(
            "max_record_bytes",
            default.max_record_bytes,
            0,
            16 * 1024 * 1024 * 1024,
        )?,
        ticket_lifetime: limits.millis("ticket_keep_ms", default.ticket_lifetime, 1000)?,
        max_unused_tickets: limits.integer(
            "max_tickets",
            default.max_unused_tickets,
            1,
            MAX_COUNT,
        )?,
        ..default
    })
}

fn read_crash_limits(limits: &LimitsReader<'_>) -> Result<CrashOptions, ConfError> {
    let default = CrashOptions::default();
    Ok(CrashOptions {
        max_crashes: limits.0.number("limits", "crash_limit", default.max_crashes, 1, 1000)?,
        retention: limits.millis("crash_keep_ms", default.retention, 1000)?,
        ..default
    })
}
