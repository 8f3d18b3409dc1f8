//! Messages between trainers and `deckroll`.

use deck_core::{
    id::{FencingNumber, WeightVersion},
    object::VersionSpan,
};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/jobs/{job}/pull`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullRequest {
    /// Step that the trainer collects.
    pub step: u64,
    /// Version of the trainer's weights.
    pub trainer_version: WeightVersion,
    /// Groups of the step that the trainer holds, see [`crate::bitmap::GroupBitmap`].
    #[serde(default)]
    pub held_groups: String,
    /// Highest fencing number of an owner that the trainer has seen; 0 before the first response.
    #[serde(default)]
    pub owner_fencing: FencingNumber,
    /// Longest wait for groups; the owner's setting applies if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
}

/// Answer to a pull.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PullResponse {
    /// Fencing number of the owner that answers.
    pub owner_fencing: FencingNumber,
    /// Step of the groups.
    pub step: u64,
    /// Whole, scored and fresh groups that the trainer does not hold; empty after the wait.
    pub groups: Vec<GroupDelivery>,
}

/// A whole group.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GroupDelivery {
    /// Number of the group in its step.
    pub group: u32,
    /// All samples, in the order of their index.
    pub samples: Vec<SampleDelivery>,
}

/// A scored sample.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SampleDelivery {
    /// `{job}/{step}/{group}/{index}`.
    pub id: String,
    /// Index in the group.
    pub index: u32,
    /// Generated text.
    pub text: String,
    /// Generated tokens.
    pub token_count: u32,
    /// Score given by the scorer.
    pub score: f64,
    /// Weight versions that made the tokens, in order.
    pub spans: Vec<VersionSpan>,
}
