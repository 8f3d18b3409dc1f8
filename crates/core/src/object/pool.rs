//! Target pools.

use serde::{Deserialize, Serialize};

use super::{
    Kind, ObjectError, Spec,
    check::{check_address, check_name, check_range, field_error},
};
use crate::id::{DataCentreId, TargetId};

/// Protocol that the targets of a pool serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolType {
    /// Inference engines with the completions API.
    Engine,
    /// HTTP services that serve no model; such a pool has no weight store.
    Service,
}

/// Whether the targets of a pool check the fencing number of an order to load a weight version. The
/// check prevents an earlier holder of the lease from changing their weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// Targets refuse an order whose fencing number is lower than the highest one they have seen.
    Checked,
    /// Targets ignore the fencing number of an order.
    Ignored,
}

/// A pool of targets that serve the same model or service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPool {
    /// Protocol that the targets serve; stored as `type`.
    #[serde(rename = "type")]
    pub pool_type: PoolType,
    /// Model that the engines serve; required for engine pools and absent for others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Whether the targets refuse orders with an outdated fencing number.
    pub fencing: FencingCheck,
    /// Number of concurrent calls that a target serves at full speed.
    pub slots_per_target: u32,
    /// Minimum percentage of targets that keep serving during a weight update. Invariant: 0 to 100.
    #[serde(default = "default_serving_floor")]
    pub serving_floor_percent: u32,
    /// Path prefixes whose calls are idempotent and may be retried, regardless of the method.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idempotent_paths: Vec<String>,
    /// Address (`ip:port`) of the weight store from which the pool gets new versions; only for
    /// engine pools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_store_address: Option<String>,
    /// Addresses (`ip:port`) of the VMs with a disk that relay weights from the weight store.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weight_relays: Vec<String>,
    /// Targets of the pool. Invariant: their ids are unique.
    pub targets: Vec<Target>,
}

fn default_serving_floor() -> u32 {
    50
}

/// Whether a target accepts new calls, as set by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Accepts new calls.
    #[default]
    Active,
    /// Finishes its calls and accepts no new ones.
    Draining,
}

/// One target of a pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target, unique in the pool.
    pub id: TargetId,
    /// Address (`ip:port`) at which the target receives calls.
    pub address: String,
    /// Data centre in which the target runs.
    pub data_centre: DataCentreId,
    /// Whether the target accepts new calls.
    #[serde(default)]
    pub state: TargetState,
}

impl Spec for TargetPool {
    const KIND: Kind = Kind::TargetPool;

    fn validate(&self) -> Result<(), ObjectError> {
        if self.pool_type == PoolType::Engine && self.model.as_deref().is_none_or(str::is_empty) {
            return Err(field_error(
                "spec.model",
                "(absent)",
                "a model name for a pool of type engine",
            ));
        }
        if self.pool_type == PoolType::Service {
            if let Some(model) = &self.model {
                return Err(field_error(
                    "spec.model",
                    model,
                    "no model for a pool of type service",
                ));
            }
            if let Some(address) = &self.weight_store_address {
                let allowed = "no weight store for a pool of type service";
                return Err(field_error("spec.weight_store_address", address, allowed));
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
                let field = format!("spec.idempotent_paths[{index}]");
                return Err(field_error(&field, path, "a path that starts with '/'"));
            }
        }
        let mut seen_ids = std::collections::HashSet::new();
        for (index, target) in self.targets.iter().enumerate() {
            check_name(&format!("spec.targets[{index}].id"), &target.id)?;
            check_address(&format!("spec.targets[{index}].address"), &target.address)?;
            check_name(&format!("spec.targets[{index}].data_centre"), &target.data_centre)?;
            if !seen_ids.insert(&target.id) {
                let field = format!("spec.targets[{index}].id");
                return Err(field_error(&field, &target.id, "each id once"));
            }
        }
        Ok(())
    }
}
