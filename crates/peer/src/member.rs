//! Members of the deployment as recorded in the member table of one VM.

use std::net::SocketAddr;

use deck_core::id::{DataCentreId, Incarnation, RegionId, VmId};
use serde::{Deserialize, Serialize};

/// Liveness of a member according to gossip. VMs may disagree about it, so it may only be used to
/// choose between alternatives, never to exclude that two VMs do the same work; leases do that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes, as far as is known.
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
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Region of the VM, as set in its own options; this crate does not use it.
    pub region: RegionId,
    /// Address at which the VM accepts connections from other VMs.
    pub address: SocketAddr,
    /// Identifies one run of the VM's `deckentry` process; a later run has a higher incarnation.
    pub incarnation: Incarnation,
    /// Liveness as seen by the VM that returned this member.
    pub state: MemberState,
}
