//! Settings sections used by all daemons.

use std::net::SocketAddr;

use deck_core::id::{DataCentreId, RegionId, VmId};

use crate::{ConfError, Reader};

/// Section `[vm]`: identity of the VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmSettings {
    /// Name of the VM; unique in the deployment.
    pub id: VmId,
    /// Data centre in which the VM runs.
    pub data_centre: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
}

impl VmSettings {
    /// Reads section `[vm]`.
    ///
    /// # Errors
    ///
    /// Returns an error if `id`, `data_centre` or `region` is missing.
    pub fn try_read(reader: &Reader) -> Result<Self, ConfError> {
        Ok(Self {
            id: reader.required_text("vm", "id", "the VM's name")?,
            data_centre: reader.required_text(
                "vm",
                "data_centre",
                "a data centre, such as sofia-a",
            )?,
            region: reader.required_text("vm", "region", "a region, such as sofia")?,
        })
    }
}

/// Section `[log]`: logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: String,
}

impl LogSettings {
    /// Reads section `[log]`; the default level is `info`.
    ///
    /// # Errors
    ///
    /// Returns an error if `level` is not a log level.
    pub fn try_read(reader: &Reader) -> Result<Self, ConfError> {
        let levels = &["error", "warn", "info", "debug", "trace"];
        Ok(Self { level: reader.choice("log", "level", "info", levels)? })
    }
}

/// Section `[admin]`: endpoints for monitoring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdminSettings {
    /// Listen address of `/livez`, `/readyz` and `/metrics`.
    pub address: SocketAddr,
}

impl AdminSettings {
    /// Reads section `[admin]`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` is missing or not a valid `ip:port`.
    pub fn try_read(reader: &Reader) -> Result<Self, ConfError> {
        Ok(Self { address: reader.address("admin", "address")? })
    }
}
