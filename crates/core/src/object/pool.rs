//! Target pools.

use serde::{Deserialize, Serialize};

use super::{
    Kind, ObjectError, Spec,
    check::{check_address, check_name, check_range, field},
};
use crate::id::{DataCentreId, TargetId};

/// What the targets of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolType {
    /// Model engines with the completions interface.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// Whether the targets of a pool refuse orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// Targets refuse an order whose fencing number is lower than one they have seen.
    Checked,
    /// Targets ignore the fencing number.
    Ignored,
}

/// A pool of targets that serve the same model or service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPool {
    /// Engines or plain services.
    #[serde(rename = "type")]
    pub pool_type: PoolType,
    /// Model that the engines serve; only for engine pools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Whether the targets check fencing numbers.
    pub fencing: FencingCheck,
    /// Concurrent calls that one target serves at full speed.
    pub slots_per_target: u32,
    /// Part of the pool that keeps serving during a weight rollout. Invariant: 0 to 100.
    #[serde(default = "default_serving_floor")]
    pub serving_floor_percent: u32,
    /// Path prefixes below the service whose calls may be repeated, whatever their method.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idempotent_paths: Vec<String>,
    /// Address (`ip:port`) of the weight store that the pool follows; only for engine pools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_store_address: Option<String>,
    /// Addresses (`ip:port`) of VMs with a disk that relay weights from the weight store.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weight_relays: Vec<String>,
    /// The targets.
    pub targets: Vec<Target>,
}

fn default_serving_floor() -> u32 {
    50
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes work.
    #[default]
    Active,
    /// Leaving: finishes its work and takes no new work.
    Draining,
}

/// One target of a pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique in the pool.
    pub id: TargetId,
    /// Address, `ip:port`.
    pub address: String,
    /// Data centre in which the target runs.
    pub data_centre: DataCentreId,
    /// Whether the target takes new work.
    #[serde(default)]
    pub state: TargetState,
}

impl Spec for TargetPool {
    const KIND: Kind = Kind::TargetPool;

    fn validate(&self) -> Result<(), ObjectError> {
        if self.pool_type == PoolType::Engine && self.model.as_deref().is_none_or(str::is_empty) {
            return Err(field("spec.model", "(absent)", "a model name for a pool of type engine"));
        }
        if self.pool_type == PoolType::Service {
            if let Some(model) = &self.model {
                return Err(field("spec.model", model, "no model for a pool of type service"));
            }
            if let Some(address) = &self.weight_store_address {
                let allowed = "no weight store for a pool of type service";
                return Err(field("spec.weight_store_address", address, allowed));
            }
        }
        check_range("spec.slots_per_target", u64::from(self.slots_per_target), 1, 100_000)?;
        check_range("spec.serving_floor_percent", u64::from(self.serving_floor_percent), 0, 100)?;
        if let Some(address) = &self.weight_store_address {
            check_address("spec.weight_store_address", address)?;
        }
        for (index, address) in self.weight_relays.iter().enumerate() {
            check_address(&format!("spec.weight_relays[{index}]"), address)?;
        }
        for (index, path) in self.idempotent_paths.iter().enumerate() {
            if !path.starts_with('/') {
                let name = format!("spec.idempotent_paths[{index}]");
                return Err(field(&name, path, "a path that starts with '/'"));
            }
        }
        let mut seen = std::collections::HashSet::new();
        for (index, target) in self.targets.iter().enumerate() {
            check_name(&format!("spec.targets[{index}].id"), &target.id)?;
            check_address(&format!("spec.targets[{index}].address"), &target.address)?;
            check_name(&format!("spec.targets[{index}].data_centre"), &target.data_centre)?;
            if !seen.insert(&target.id) {
                let name = format!("spec.targets[{index}].id");
                return Err(field(&name, &target.id, "each id once"));
            }
        }
        Ok(())
    }
}
