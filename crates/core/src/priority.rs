//! Priority of a call.

use serde::{Deserialize, Serialize};

/// Priority of a call; earlier variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the response.
    #[default]
    Interactive,
    /// Short work that nobody waits for.
    Batch,
    /// Long generation for a trainer.
    Rollout,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: &'static [Self] = &[Self::Interactive, Self::Batch, Self::Rollout];

    /// Returns the name used in headers and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
            Self::Rollout => "rollout",
        }
    }

    /// Returns the priority with this name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|priority| priority.as_str() == name)
    }
}
