//! Priority classes of calls.

use serde::{Deserialize, Serialize};

/// Priority of a call; the variants are in descending order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A user is waiting for the response.
    #[default]
    Interactive,
    /// Short call for which no user is waiting.
    Batch,
    /// Long generation of samples for a trainer.
    Rollout,
}

impl Priority {
    /// All priorities in descending order of urgency.
    pub const ALL: &'static [Self] = &[Self::Interactive, Self::Batch, Self::Rollout];

    /// Returns the name of the priority in headers and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
            Self::Rollout => "rollout",
        }
    }

    /// Returns the priority with this name; `None` if there is none.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|priority| priority.as_str() == name)
    }
}
