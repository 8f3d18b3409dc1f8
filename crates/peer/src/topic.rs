//! Topics of published values and of requests between VMs.

use std::time::Duration;

use bytes::Bytes;
use deck_core::id::{DataCentreId, Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// What a published value or a request is about.
///
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Targets that announced that they are leaving.
    LeavingTargets,
    /// Fingerprints of requests that crash targets.
    CrashFingerprints,
    /// Demand for shares of the pools.
    ShareDemand,
    /// Revisions of the configuration in force.
    InForceRevisions,
    /// Usage counters.
    Usage,
    /// Request for the recorded response of a call.
    CallLookup,
    /// Call forwarded to the issuer of its ticket.
    TicketCall,
}

impl Topic {
    /// All topics.
    pub const ALL: &'static [Self] = &[
        Self::LeavingTargets,
        Self::CrashFingerprints,
        Self::ShareDemand,
        Self::InForceRevisions,
        Self::Usage,
        Self::CallLookup,
        Self::TicketCall,
    ];

    /// Returns whether values of the topic are sent before those of other topics when the byte
    /// budget is short.
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::LeavingTargets | Self::CrashFingerprints)
    }
}

/// Latest value that a VM published in a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The VM that published it.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Incarnation of the process that published it.
    pub incarnation: Incarnation,
    /// The value.
    pub value: Bytes,
    /// Time since this value was published here or arrived here. Invariant: a value that its VM
    /// keeps publishing unchanged is refreshed at least every `PeerOptions::refresh_period`.
    pub age: Duration,
}
