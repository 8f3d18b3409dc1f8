//! Records that invariants are checked on: journals of stand-ins, which survive a kill of their
//! process, reports of loads, and the history of the object API.

use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use crate::error::CommandError;

/// Line of a stand-in's journal.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEntry {
    /// A service executed a call.
    Execution(Execution),
    /// An engine generated tokens.
    Tokens(TokenRange),
    /// An engine received an order.
    Order(Order),
    /// A trainer accepted a sample.
    Sample(Sample),
    /// A trainer finished a step.
    Step(Step),
    /// A trainer received a group that its pull request listed as already held.
    Duplicate(DuplicateGroup),
    /// A trainer received data that violates the protocol; the text describes how.
    Violation(String),
}

/// Execution of one call by a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Execution {
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
}

/// Tokens `from..to` that an engine generated for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct TokenRange {
    /// Id of the request.
    pub request_id: String,
    /// Beginning of the generated text. It identifies the text: requests with the same prompt have the
    /// same one.
    pub text_key: String,
    /// Weight version that generated the tokens.
    pub weight_version: u64,
    /// Position of the first token.
    pub from: u32,
    /// Position after the last token.
    pub to: u32,
}

/// Order that an engine received, such as to stage a weight version or to switch to it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Order {
    /// Fencing number of the order.
    pub fencing: u64,
    /// `stage`, `switch`, `load_model`, `load_adapter` or `set_role`.
    pub action: String,
    /// Weight version, for actions that have one.
    pub version: Option<u64>,
    /// Whether the engine accepted the order.
    pub accepted: bool,
}

/// Sample that a trainer accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Sample {
    /// Number of the trainer process. A restarted trainer has a new number and no samples.
    pub run: u64,
    /// Id of the sample.
    pub id: String,
    /// Training step that the sample belongs to.
    pub step: u64,
    /// Beginning of the text; see [`TokenRange::text_key`].
    pub text_key: String,
    /// Weight versions that the sample reports for its tokens, in order.
    pub spans: Vec<Span>,
    /// Weight version of the trainer when it received the sample.
    pub trainer_version: u64,
}

/// Consecutive tokens of one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Span {
    /// Weight version that the tokens are attributed to.
    pub weight_version: u64,
    /// Number of tokens.
    pub token_count: u32,
}

/// Training step that a trainer finished.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Step {
    /// Number of the trainer process, as in [`Sample::run`].
    pub run: u64,
    /// Number of the step.
    pub step: u64,
    /// Number of samples that complete a step.
    pub samples_per_step: usize,
}

/// Group of samples that was delivered again although the trainer held it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct DuplicateGroup {
    /// Training step of the group.
    pub step: u64,
    /// Number of the group.
    pub group: u32,
}

/// Booking in the report of a load.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Booking {
    /// Idempotency key or ticket; `None` if no ticket was ever issued.
    pub key: Option<String>,
    /// Outcome for the caller, such as `ok`, `not_run` or `unknown`.
    pub outcome: String,
    /// Whether every try was answered with the statement that the call was not run.
    pub never_run: bool,
}

/// Tokens that an organisation received in a load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationTokens {
    /// Name of the organisation.
    pub organisation: String,
    /// Number of tokens in complete responses.
    pub tokens: u64,
}

impl OrganisationTokens {
    /// Reads the token counts of all organisations from the report of a load.
    pub fn from_report(report: &Value) -> Vec<Self> {
        let organisations = report["organisations"].as_object().into_iter().flatten();
        let token_counts = organisations.map(|(organisation, counts)| Self {
            organisation: organisation.clone(),
            tokens: counts["tokens"].as_u64().unwrap_or(0),
        });
        token_counts.collect()
    }
}

/// Successful write in the history of the object API.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
pub struct ObjectWrite {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Revision that the write created.
    pub revision: u64,
    /// New value; `None` for a deletion.
    pub value: Option<Value>,
}

/// Reads a journal. A last line without a newline is ignored: the process was killed while it wrote
/// the line.
///
/// # Errors
///
/// Returns an error if the file cannot be read or contains another malformed line.
pub fn read_journal(path: &Path) -> Result<Vec<JournalEntry>, CommandError> {
    let text = std::fs::read_to_string(path)?;
    let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
    complete_lines.lines().map(|line| Ok(serde_json::from_str(line)?)).collect()
}
