//! Status of a pool's weight rollout, as written to the object API.

use deck_core::id::{FencingNumber, VmId, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{
    engine::{EngineState, SwapState},
    plan::{TargetView, is_settled},
};

/// Content of a `TargetPoolStatus` object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolStatus {
    /// VM that owns the pool.
    pub owner: VmId,
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// Version that all targets should serve.
    pub desired_version: WeightVersion,
    /// Targets of the pool, leaving ones excluded.
    pub targets: usize,
    /// Targets that report the desired version and serve.
    pub settled: usize,
    /// Targets that have the desired version loaded beside the running one.
    pub staged: usize,
    /// Targets that report a failed swap.
    pub failed: Vec<String>,
    /// Targets that do not answer.
    pub unreachable: Vec<String>,
}

impl PoolStatus {
    /// Returns the status for the reports in `targets`.
    pub fn new(
        owner: VmId,
        fencing: FencingNumber,
        desired: WeightVersion,
        targets: &[TargetView],
    ) -> Self {
        let names = |select: &dyn Fn(&TargetView) -> bool| {
            targets.iter().filter(|target| select(target)).map(|t| t.id.clone()).collect()
        };
        let count = |select: &dyn Fn(&EngineState) -> bool| {
            targets.iter().filter(|target| target.state.as_ref().is_some_and(select)).count()
        };
        Self {
            owner,
            fencing,
            desired_version: desired,
            targets: targets.len(),
            settled: count(&|state| is_settled(state, desired)),
            staged: count(&|state| state.staged_version == Some(desired)),
            failed: names(&|target| {
                target.state.as_ref().is_some_and(|state| state.swap_state == SwapState::Failed)
            }),
            unreachable: names(&|target| target.state.is_none()),
        }
    }
}
