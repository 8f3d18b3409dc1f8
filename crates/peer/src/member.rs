//! Members of the deployment, as seen by one VM.

use std::net::SocketAddr;

use deck_core::id::{DataCentreId, Incarnation, RegionId, VmId};
use serde::{Deserialize, Serialize};

/// Liveness of a member according to gossip. It is only a hint: VMs may disagree, and nothing that
/// must be correct depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Live,
    /// The member did not answer a probe; it can refute the suspicion before it is declared dead.
    Suspect,
    /// The member announced that it is shutting down.
    Leaving,
    /// The member did not refute the suspicion in time.
    Dead,
}

/// A VM of the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM, unique in the deployment.
    pub vm: VmId,
    /// Data centre of the VM; partners and watchers are selected by it.
    pub data_centre: DataCentreId,
    /// Region of the VM, as stated in its own options; no selection of this crate depends on it.
    pub region: RegionId,
    /// Address at which it accepts connections of other VMs.
    pub address: SocketAddr,
    /// Incarnation of its `deckentry` process; a later run has a higher one.
    pub incarnation: Incarnation,
    /// Liveness as seen by the VM that returned this member.
    pub state: MemberState,
}
