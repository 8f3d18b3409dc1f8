//! One target of a pool.

use std::{cell::RefCell, net::SocketAddr};

use deck_core::{
    hash::hash64,
    id::{DataCentreId, TargetId},
    object::{Target as TargetSpec, TargetState as SpecState},
};

use crate::{health::Health, load::Load};

/// One target; guards keep it alive after it has left the pool.
#[derive(Debug)]
pub(crate) struct Target {
    pub id: TargetId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Hash of the id, for affinity.
    pub hash: u64,
    pub state: RefCell<TargetState>,
}

/// Changing part of a target.
#[derive(Debug, Default)]
pub(crate) struct TargetState {
    /// State in the pool object.
    pub spec_state: SpecState,
    /// Whether the target itself or another VM said that it is leaving.
    pub marked_leaving: bool,
    pub load: Load,
    pub health: Health,
}

impl Target {
    pub fn new(spec: &TargetSpec, address: SocketAddr) -> Self {
        Self {
            id: spec.id.clone(),
            address,
            data_centre: spec.data_centre.clone(),
            hash: hash64(spec.id.as_bytes()),
            state: RefCell::new(TargetState { spec_state: spec.state, ..TargetState::default() }),
        }
    }

    /// Returns whether `spec` describes this target unchanged but for its state.
    pub fn is_same(&self, spec: &TargetSpec, address: SocketAddr) -> bool {
        self.id == spec.id && self.address == address && self.data_centre == spec.data_centre
    }

    /// Takes over the state in the pool object. A target that returns from `draining` to `active`
    /// is no longer taken as leaving; an unchanged `active` does not undo what the target said.
    pub fn set_spec_state(&self, spec_state: SpecState) {
        let mut state = self.state.borrow_mut();
        if state.spec_state == SpecState::Draining && spec_state == SpecState::Active {
            state.marked_leaving = false;
        }
        state.spec_state = spec_state;
    }

    /// Returns the rank of the target for an affinity value; the highest is preferred.
    pub fn affinity_rank(&self, affinity: u64) -> u64 {
        let mut value = self.hash ^ affinity.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        value ^ (value >> 33)
    }
}

impl TargetState {
    pub fn is_leaving(&self) -> bool {
        self.marked_leaving || self.spec_state == SpecState::Draining
    }

    /// Returns whether the target takes new work.
    pub fn is_usable(&self) -> bool {
        !self.is_leaving() && !self.health.is_ejected()
    }
}
