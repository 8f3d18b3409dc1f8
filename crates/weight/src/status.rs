//! Status of a pool's weight update, as written to the object API.

use deck_core::id::{FencingNumber, VmId, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{
    engine::{EngineState, SwapState},
    planner::{ObservedTarget, is_settled},
};

/// Content of a `TargetPoolStatus` object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolStatus {
    /// VM that owns the pool.
    pub owner: VmId,
    /// Fencing number of the owner's lease.
    pub fencing: FencingNumber,
    /// Version that all targets should serve.
    pub desired_version: WeightVersion,
    /// Number of targets in the pool, excluding those that are leaving.
    pub targets: usize,
    /// Number of targets that serve the desired version and are not loading or drained.
    pub settled: usize,
    /// Number of targets that have loaded the desired version alongside the running one.
    pub staged: usize,
    /// Identifiers of targets whose last load or switch failed.
    pub failed: Vec<String>,
    /// Identifiers of targets that do not respond.
    pub unreachable: Vec<String>,
}

impl PoolStatus {
    /// Builds the status from the observed state of the targets.
    pub fn new(
        owner: VmId,
        fencing: FencingNumber,
        desired_version: WeightVersion,
        targets: &[ObservedTarget],
    ) -> Self {
        let target_ids = |select: &dyn Fn(&ObservedTarget) -> bool| {
            targets.iter().filter(|target| select(target)).map(|target| target.id.clone()).collect()
        };
        let count_states = |select: &dyn Fn(&EngineState) -> bool| {
            targets.iter().filter(|target| target.state.as_ref().is_some_and(select)).count()
        };
        Self {
            owner,
            fencing,
            desired_version,
            targets: targets.len(),
            settled: count_states(&|state| is_settled(state, desired_version)),
            staged: count_states(&|state| state.staged_version == Some(desired_version)),
            failed: target_ids(&|target| {
                target.state.as_ref().is_some_and(|state| state.swap_state == SwapState::Failed)
            }),
            unreachable: target_ids(&|target| target.state.is_none()),
        }
    }
}
