//! HTTP message types exchanged between trainers and `deckroll`.

use deck_core::{
    id::{FencingNumber, WeightVersion},
    object::VersionSpan,
};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/jobs/{job}/pull`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullRequest {
    /// Training step that the trainer is collecting.
    pub step: u64,
    /// Weight version of the trainer.
    pub trainer_version: WeightVersion,
    /// Groups of the step that the trainer has already received; encoded as in
    /// [`crate::bitmap::GroupBitmap`].
    #[serde(default)]
    pub held_groups: String,
    /// Highest owner fencing number that the trainer has seen; 0 before the first response.
    #[serde(default)]
    pub owner_fencing: FencingNumber,
    /// Long-poll timeout in milliseconds; the owner's default applies if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
}

/// Response to a [`PullRequest`], with the groups that the trainer has not received yet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PullResponse {
    /// Fencing number of the owner that sent the response.
    pub owner_fencing: FencingNumber,
    /// Training step of the groups.
    pub step: u64,
    /// Complete, scored and fresh groups that the trainer has not received; empty if none became
    /// available before the timeout.
    pub groups: Vec<GroupDelivery>,
}

/// A complete group of samples.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GroupDelivery {
    /// Number of the group within its step.
    pub group: u32,
    /// All samples of the group, ordered by index.
    pub samples: Vec<SampleDelivery>,
}

/// A generated and scored sample.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SampleDelivery {
    /// Identifier of the sample, in the form `{job}/{step}/{group}/{index}`.
    pub id: String,
    /// Index of the sample within its group.
    pub index: u32,
    /// Generated text.
    pub text: String,
    /// Number of generated tokens.
    pub token_count: u32,
    /// Score returned by the scorer.
    pub score: f64,
    /// Weight versions that generated the tokens, in token order.
    pub spans: Vec<VersionSpan>,
}
