//! Targets: instances of a service, such as model engines, as registered in the object API.

use std::net::SocketAddr;

use deck_core::id::{DataCentreId, PoolName, SoftwareVersion, TargetId, WeightVersion};

use serde::{Deserialize, Serialize};

use crate::config::ModelName;

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Accepts requests.
    Ready,
    /// Is leaving: completes its requests and accepts no new ones.
    Draining,
}

/// How long a target stays.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetLifetime {
    /// Whether the target may be reclaimed, together with all others of its kind in its data centre.
    #[serde(default)]
    pub is_spot: bool,
    /// Time until the target leaves, when it announced that, in milliseconds; `None` if unknown.
    #[serde(default)]
    pub leaves_ms: Option<u64>,
}

/// Instance of a service that requests can be sent to.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Id of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: PoolName,
    /// Network address.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Version of the target's software; `None` if it is not registered. Targets of different
    /// versions must not continue each other's streams.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Models and their loaded weight versions; empty for services without engines.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// Start time in milliseconds since the Unix epoch. A different value under the same id means
    /// that the target has restarted and lost its state.
    pub started_at_ms: u64,
    /// How long the target stays.
    #[serde(default)]
    pub lifetime: TargetLifetime,
}

impl Target {
    /// Returns whether two entries of a target describe the same process with the same software.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.started_at_ms == other.started_at_ms && self.software_version == other.software_version
    }

    /// Returns the registered weight version of a model on this target.
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }
}
