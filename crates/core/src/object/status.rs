//! Objects that the daemons write.

use serde::{Deserialize, Serialize};

use crate::id::{FencingNumber, Revision, VmId, WeightVersion};

/// Whether the daemons accepted the newest version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptStatus {
    /// Revision that is in force.
    pub accepted_revision: Revision,
    /// Newest revision that was refused, with the reason; absent if the newest one was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<RefusedVersion>,
    /// VMs that report the accepted revision in force.
    pub in_force_vms: u32,
    /// VMs that are known to be live.
    pub live_vms: u32,
}

/// A refused version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Its revision.
    pub revision: Revision,
    /// Why it was refused, with the field.
    pub reason: String,
}

/// Value of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Current holder; empty after a release.
    pub holder: VmId,
    /// Address (`ip:port`) at which the holder serves.
    pub address: String,
    /// Raised by one with each acquisition.
    pub fencing: FencingNumber,
    /// Time after which an unchanged lease may be taken.
    pub duration_ms: u64,
    /// Raised by one with each renewal.
    pub renewal: u64,
    /// Random number of the acquisition; distinguishes writes of two runs of the same VM.
    pub nonce: String,
}

/// A stretch of a sample's tokens made by one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionSpan {
    /// Weight version that the engine reported for these tokens.
    pub weight_version: WeightVersion,
    /// Number of tokens.
    pub token_count: u32,
}
