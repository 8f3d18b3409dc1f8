//! State of one target of a pool.

use std::{cell::RefCell, net::SocketAddr, time::Instant};

use deck_core::{
    hash::hash64,
    id::{DataCentreId, TargetId},
    object::{Target as TargetSpec, TargetState as SpecState},
};

use crate::{
    capacity::{CapacityEstimator, Slowdown},
    health::TargetHealth,
    load::TargetLoad,
};

/// One target. In-flight guards keep it in memory after its removal from the pool.
#[derive(Debug)]
pub(crate) struct Target {
    pub id: TargetId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Hash of the id, from which affinity scores are computed.
    pub id_hash: u64,
    pub state: RefCell<TargetState>,
}

/// Mutable state of a target.
#[derive(Debug, Default)]
pub(crate) struct TargetState {
    /// State of the target in the pool object.
    pub spec_state: SpecState,
    /// Whether the target itself or another VM announced that it is leaving.
    pub marked_leaving: bool,
    pub load: TargetLoad,
    pub health: TargetHealth,
    /// Slowdown by the number of calls; `None` before the first response.
    pub capacity: Option<Box<CapacityEstimator>>,
}

impl Target {
    pub fn new(spec: &TargetSpec, address: SocketAddr) -> Self {
        Self {
            id: spec.id.clone(),
            address,
            data_centre: spec.data_centre.clone(),
            id_hash: hash64(spec.id.as_bytes()),
            state: RefCell::new(TargetState { spec_state: spec.state, ..TargetState::default() }),
        }
    }

    /// Returns whether `spec` describes the same target, ignoring its state.
    pub fn matches_spec(&self, spec: &TargetSpec, address: SocketAddr) -> bool {
        self.id == spec.id && self.address == address && self.data_centre == spec.data_centre
    }

    /// Applies the state of the target in the pool object. A change from `draining` to `active`
    /// clears `marked_leaving`; a repeated `active` does not.
    pub fn set_spec_state(&self, spec_state: SpecState) {
        let mut state = self.state.borrow_mut();
        if state.spec_state == SpecState::Draining && spec_state == SpecState::Active {
            state.marked_leaving = false;
        }
        state.spec_state = spec_state;
    }

    /// Returns the score of the target for an affinity value; the highest score is preferred.
    pub fn affinity_score(&self, affinity_value: u64) -> u64 {
        let mut value = self.id_hash ^ affinity_value.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        value ^ (value >> 33)
    }
}

impl TargetState {
    pub fn is_leaving(&self) -> bool {
        self.marked_leaving || self.spec_state == SpecState::Draining
    }

    /// Returns the slowdown by the number of calls; `None` while the target has not shown that it is
    /// sensitive to it.
    pub fn slowdown(&self, now: Instant) -> Option<Slowdown> {
        self.capacity.as_ref()?.slowdown(now)
    }

    /// Returns whether the target may receive new calls.
    pub fn accepts_calls(&self) -> bool {
        !self.is_leaving() && !self.health.is_ejected()
    }
}
