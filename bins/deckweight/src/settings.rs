//! Settings of `deckweight`.

use std::{net::SocketAddr, path::Path, time::Duration};

use deck_conf::{
    ConfError, Reader,
    common::{AdminSettings, LogSettings, VmSettings},
};
use deck_plat::LeaseOptions;
use deck_weight::{PoolUpdateOptions, planner::PlannerOptions, relay::WeightRelayOptions};

/// All settings.
#[derive(Debug)]
pub struct Settings {
    /// Identity of the VM.
    pub vm: VmSettings,
    /// Address of the object API.
    pub object_api: SocketAddr,
    /// Time limit of one call on the object API.
    pub object_api_timeout: Duration,
    /// Address of the local interface of `deckentry`.
    pub entry: SocketAddr,
    /// Admin endpoints.
    pub admin: AdminSettings,
    /// Leases.
    pub lease: LeaseOptions,
    /// Planner.
    pub plan: PlannerOptions,
    /// Intervals and time limits.
    pub run: PoolUpdateOptions,
    /// Relay of weights, if this VM has one.
    pub relay: Option<RelaySettings>,
    /// Logs.
    pub log: LogSettings,
}

/// Section `[relay]`.
#[derive(Debug)]
pub struct RelaySettings {
    /// Address on which engines fetch weights.
    pub address: SocketAddr,
    /// Settings of the relay.
    pub options: WeightRelayOptions,
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
        let millis =
            |section, key, default, min, max| reader.millis(section, key, default, min, max);
        let run = PoolUpdateOptions::default();
        let call_timeout = millis("rollout", "call_timeout_ms", 2000, 50, 60_000)?;
        Ok(Self {
            vm: VmSettings::try_read(reader)?,
            object_api: reader.address("platform", "object_api")?,
            object_api_timeout: millis("platform", "object_api_timeout_ms", 2000, 50, 60_000)?,
            entry: reader.address("local", "entry")?,
            admin: AdminSettings::try_read(reader)?,
            lease: LeaseOptions {
                duration: millis("lease", "duration_ms", 9000, 1000, 600_000)?,
                ..LeaseOptions::default()
            },
            plan: PlannerOptions {
                max_transfers_per_source: reader.number(
                    "rollout",
                    "transfers_per_source",
                    8,
                    1,
                    10_000,
                )?,
                order_timeout: millis("rollout", "order_timeout_ms", 10_000, 100, 600_000)?,
                unreachable_grace_period: millis(
                    "rollout",
                    "unreachable_grace_ms",
                    10_000,
                    100,
                    600_000,
                )?,
                ..PlannerOptions::default()
            },
            run: PoolUpdateOptions {
                round_interval: millis("rollout", "round_interval_ms", 250, 10, 60_000)?,
                active_poll_interval: millis(
                    "rollout",
                    "active_poll_interval_ms",
                    500,
                    10,
                    60_000,
                )?,
                settled_poll_interval: millis(
                    "rollout",
                    "settled_poll_interval_ms",
                    5000,
                    10,
                    600_000,
                )?,
                version_poll_interval: millis(
                    "rollout",
                    "version_poll_interval_ms",
                    1000,
                    10,
                    600_000,
                )?,
                call_timeout,
                ..run
            },
            relay: read_relay(reader, call_timeout)?,
            log: LogSettings::try_read(reader)?,
        })
    }
}

fn read_relay(
    reader: &Reader,
    chunk_timeout: Duration,
) -> Result<Option<RelaySettings>, ConfError> {
    let max_transfers = reader.number("relay", "max_transfers", 8, 1, 10_000)?;
    let keys = ["address", "weight_store", "data_folder"];
    if keys.iter().all(|key| reader.text("relay", key).is_none()) {
        return Ok(None);
    }
    let options = WeightRelayOptions {
        data_folder: reader.required_text("relay", "data_folder", "a folder")?.into(),
        weight_store_address: reader.address("relay", "weight_store")?,
        max_transfers,
        chunk_timeout,
    };
    Ok(Some(RelaySettings { address: reader.address("relay", "address")?, options }))
}
