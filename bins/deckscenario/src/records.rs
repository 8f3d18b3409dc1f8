//! Records of the stand-ins: journals that outlive their process, and load reports.

use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use crate::error::CommandError;

/// Entry of a journal.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A service ran a call.
    Execution(Execution),
    /// An engine made tokens.
    Tokens(Tokens),
    /// An engine received an order.
    Order(Order),
    /// A trainer accepted a sample.
    Sample(Sample),
    /// A trainer finished a step.
    Step(Step),
    /// A trainer received a group that its pull named as held.
    Duplicate(Duplicate),
    /// A trainer received what breaks the protocol.
    Violation(String),
}

/// Run of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Execution {
    /// Idempotency key.
    pub key: Option<String>,
}

/// Tokens `from..to` of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Tokens {
    /// Request.
    pub request_id: String,
    /// Beginning of the whole text; it is the same for all requests with the same prompt.
    pub text_key: String,
    /// Weight version that made them.
    pub weight_version: u64,
    /// Position of the first token.
    pub from: u32,
    /// Position after the last token.
    pub to: u32,
}

/// Order as an engine received it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fencing: u64,
    /// `stage`, `switch`, `load_model`, `load_adapter` or `set_role`.
    pub action: String,
    /// Weight version, if the action has one.
    pub version: Option<u64>,
    /// Whether the engine accepted it.
    pub accepted: bool,
}

/// Sample as a trainer accepted it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Sample {
    /// Process of the trainer; a restarted one keeps no samples.
    pub run: u64,
    /// Id.
    pub id: String,
    /// Step.
    pub step: u64,
    /// Beginning of the text.
    pub text_key: String,
    /// Weight versions as delivered.
    pub spans: Vec<Span>,
    /// The trainer's version at receipt.
    pub trainer_version: u64,
}

/// Tokens of one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Span {
    /// Weight version.
    pub weight_version: u64,
    /// Tokens.
    pub token_count: u32,
}

/// Finished step of a trainer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Step {
    /// Process of the trainer.
    pub run: u64,
    /// Step.
    pub step: u64,
    /// Samples that a step has.
    pub samples_per_step: usize,
}

/// Group that came although it was held.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Duplicate {
    /// Step.
    pub step: u64,
    /// Group.
    pub group: u32,
}

/// Booking in a load report.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Booking {
    /// Key or ticket; `None` if there was never one.
    pub key: Option<String>,
    /// Outcome for the caller.
    pub outcome: String,
    /// Whether all answers said that nothing has run.
    pub never_run: bool,
}

/// What an organisation received in a load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The organisation.
    pub organisation: String,
    /// Tokens of complete answers.
    pub tokens: u64,
}

impl Received {
    /// Reads the organisations of a load report.
    pub fn of_report(report: &Value) -> Vec<Self> {
        let organisations = report["organisations"].as_object().into_iter().flatten();
        let received = organisations.map(|(organisation, counts)| Self {
            organisation: organisation.clone(),
            tokens: counts["tokens"].as_u64().unwrap_or(0),
        });
        received.collect()
    }
}

/// Accepted write in the history of the object API.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
pub struct Write {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Revision.
    pub revision: u64,
    /// Value; `None` for a deletion.
    pub value: Option<Value>,
}

/// Reads a journal. A last line without its end, left by a kill in the middle of a write, is
/// ignored.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has another malformed line.
pub fn read_journal(path: &Path) -> Result<Vec<Entry>, CommandError> {
    let text = std::fs::read_to_string(path)?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole.lines().map(|line| Ok(serde_json::from_str(line)?)).collect()
}
