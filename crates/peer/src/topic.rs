//! Topics of published values and of requests between VMs.

use std::time::Duration;

use bytes::Bytes;
use deck_core::id::{DataCentreId, Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// Subject of a published value or a request; selects the handler and the format of the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Published value: targets that announced that they are shutting down.
    LeavingTargets,
    /// Published value: fingerprints of requests that crashed targets.
    CrashFingerprints,
    /// Published value: how much capacity of each pool each organisation asks for at the VM.
    ShareDemand,
    /// Published value: digest of the configuration revisions in force on the VM.
    InForceRevisions,
    /// Published value: usage counters of the VM.
    Usage,
    /// Request: ask the VM that claimed a non-idempotent call for its record of the call, so that a
    /// retry gets the recorded response and the call does not run twice.
    CallLookup,
    /// Request: a call that is forwarded to the VM that issued its ticket.
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
    /// budget is exhausted.
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::LeavingTargets | Self::CrashFingerprints)
    }
}

/// Latest value that a VM published in a topic, as received by this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedValue {
    /// Name of the VM that published the value.
    pub vm: VmId,
    /// Data centre of that VM.
    pub data_centre: DataCentreId,
    /// Incarnation of the process that published it.
    pub incarnation: Incarnation,
    /// Published bytes, in the format of the topic.
    pub value: Bytes,
    /// Time since the value arrived at this VM or, for a value of this VM, was published. A value
    /// that is published repeatedly without a change is sent again after
    /// `PeerOptions::value_refresh_period`, which resets its age.
    pub age: Duration,
}
