//! Targets as they describe themselves.

use std::net::SocketAddr;

use deck_core::id::{DataCentreId, PoolName, TargetId, WeightVersion};

use serde::{Deserialize, Serialize};

use crate::config::ModelName;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes work.
    Ready,
    /// Leaving: finishes its work and takes no new work.
    Draining,
}

/// One target.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Id of this run of the target.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: PoolName,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes work.
    pub state: TargetState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Models and the versions of their weights; empty for plain services.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// When the target started, in milliseconds since the Unix epoch. Another value under the same
    /// id means that the target has started again and remembers nothing.
    pub started_at_ms: u64,
}

impl Target {
    /// Returns the version of a model's weights on this target.
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }
}
