//! Members of the deployment as one VM sees them.

use std::net::SocketAddr;

use deck_core::id::{DataCentreId, Incarnation, RegionId, VmId};
use serde::{Deserialize, Serialize};

/// Liveness of a member. Only a hint: safety never rests on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Live,
    /// Did not answer a probe; may refute with a higher incarnation.
    Suspect,
    /// Announced that it stops.
    Leaving,
    /// Did not refute the suspicion in time.
    Dead,
}

/// One member.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Incarnation of its `deckentry` process.
    pub incarnation: Incarnation,
    /// Liveness.
    pub state: MemberState,
}
