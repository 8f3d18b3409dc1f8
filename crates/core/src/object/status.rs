//! Values that the daemons write to the object store, and the weight versions of samples.

use serde::{Deserialize, Serialize};

use crate::id::{FencingNumber, Revision, VmId, WeightVersion};

/// Status of an object: whether the daemons accepted its newest revision and where it is applied.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectStatus {
    /// Newest revision of the object that was accepted as valid; deletions are always accepted. 0 if
    /// none was accepted.
    pub accepted_revision: Revision,
    /// Newest revision that was refused, with the reason; absent if the newest one was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<RefusedRevision>,
    /// Number of VMs that report the accepted revision as applied.
    pub in_force_vms: u32,
    /// Number of VMs that are known to be live.
    pub live_vms: u32,
}

/// Revision of an object that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedRevision {
    /// Object store revision of the refused value.
    pub revision: Revision,
    /// Why the revision was refused; names the field.
    pub reason: String,
}

/// Stored value of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// VM that holds the lease; empty after a release.
    pub holder: VmId,
    /// Address (`ip:port`) at which the holder can be reached.
    pub address: String,
    /// Fencing number, increased by one with each acquisition.
    pub fencing: FencingNumber,
    /// Time without a renewal after which another VM may acquire the lease.
    pub duration_ms: u64,
    /// Counter, increased by one with each renewal.
    pub renewal: u64,
    /// Random value of the acquisition, which distinguishes two runs of the same VM.
    pub nonce: String,
}

/// Consecutive text tokens of a sample that were generated with the same weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionSpan {
    /// Weight version that the engine reported for these tokens.
    pub weight_version: WeightVersion,
    /// Number of generated text tokens in the span.
    pub token_count: u32,
}
