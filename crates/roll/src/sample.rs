//! A sample's text with the weight versions that made it.

use deck_core::{id::WeightVersion, object::VersionSpan};

/// Identity of one sample and of one run of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SampleKey {
    /// Step.
    pub step: u64,
    /// Group in the step.
    pub group: u32,
    /// Index in the group.
    pub index: u32,
    /// Raised when the sample starts again from nothing; results of an older epoch are dropped.
    pub epoch: u64,
}

/// Text generated so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SampleText {
    /// The text.
    pub text: String,
    /// Versions of the tokens. Invariant: neighbours differ in version and the counts add up to
    /// `token_count`.
    pub spans: Vec<VersionSpan>,
    /// Number of tokens.
    pub token_count: u32,
}

impl SampleText {
    /// Appends tokens that the engine reports to be made by `weight_version`.
    pub fn push(&mut self, text: &str, token_count: u32, weight_version: WeightVersion) {
        self.text.push_str(text);
        if token_count == 0 {
            return;
        }
        self.token_count += token_count;
        match self.spans.last_mut() {
            Some(last) if last.weight_version == weight_version => last.token_count += token_count,
            _ => self.spans.push(VersionSpan { weight_version, token_count }),
        }
    }

    /// Returns the oldest version in the sample; `None` without tokens.
    pub fn oldest_version(&self) -> Option<WeightVersion> {
        self.spans.iter().map(|span| span.weight_version).min()
    }

    /// Returns whether all tokens were made by `required` or a later version.
    pub fn is_fresh(&self, required: WeightVersion) -> bool {
        self.oldest_version().is_none_or(|oldest| oldest >= required)
    }
}
