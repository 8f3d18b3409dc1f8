//! Settings of `deckweight`; `sample.ini` documents every key.

use std::{net::SocketAddr, path::Path, time::Duration};

use deck_conf::{
    ConfError, Reader,
    common::{AdminSettings, LogSettings, VmSettings},
};
use deck_plat::LeaseOptions;
use deck_weight::{PoolUpdateOptions, planner::PlannerOptions, relay::WeightRelayOptions};

/// Contents of a settings file.
#[derive(Debug)]
pub struct Settings {
    /// Section `[vm]`: id, data centre and region of this VM.
    pub vm: VmSettings,
    /// Address of the platform's object API.
    pub object_api: SocketAddr,
    /// Timeout of one object API call.
    pub object_api_timeout: Duration,
    /// Local listener of `deckentry` on this VM, which provides configuration and members.
    pub entry_local: SocketAddr,
    /// Section `[admin]`: address of the listener for health checks and metrics.
    pub admin: AdminSettings,
    /// Section `[lease]`: lease by which one VM at a time updates the weights of a pool.
    pub lease: LeaseOptions,
    /// Section `[rollout]`: limit of transfers per source, and timeouts, by which the planner
    /// decides which engine loads a version next and from where.
    pub planner_options: PlannerOptions,
    /// Section `[rollout]`: polling intervals and the timeout of a call.
    pub pool_update_options: PoolUpdateOptions,
    /// Section `[relay]`; `None` if the section is absent, in which case this VM relays no weights.
    pub relay_settings: Option<RelaySettings>,
    /// Section `[log]`: least severe level that is logged.
    pub log: LogSettings,
}

/// Section `[relay]`: relay of weights from the weight store to engines.
#[derive(Debug)]
pub struct RelaySettings {
    /// Address on which engines fetch weights.
    pub address: SocketAddr,
    /// Weight store, data folder and limits of the relay.
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
        let default_pool_update = PoolUpdateOptions::default();
        let call_timeout = millis("rollout", "call_timeout_ms", 2000, 50, 60_000)?;
        Ok(Self {
            vm: VmSettings::try_read(reader)?,
            object_api: reader.address("platform", "object_api")?,
            object_api_timeout: millis("platform", "object_api_timeout_ms", 2000, 50, 60_000)?,
            entry_local: reader.address("local", "entry")?,
            admin: AdminSettings::try_read(reader)?,
            lease: LeaseOptions {
                duration: millis("lease", "duration_ms", 9000, 1000, 600_000)?,
                ..LeaseOptions::default()
            },
            planner_options: PlannerOptions {
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
            pool_update_options: PoolUpdateOptions {
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
                ..default_pool_update
            },
            relay_settings: read_relay(reader, call_timeout)?,
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
