//! What a platform says and is told, in the project's own types.

use std::time::Duration;

use bytes::Bytes;
use deck_core::{
    hash::hash64,
    id::{FencingNumber, RequestId, TargetId, WeightVersion},
};
use http::{HeaderMap, Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Configuration, Target, config::ModelName};

/// Head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// Id of this attempt of the caller; absent in requests that are not valid.
    pub request_id: Option<RequestId>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Number of the last event that the caller has; the stream goes on after it.
    pub last_event: Option<u64>,
    /// Time for which a read may wait for a first result.
    pub read_wait: Option<Duration>,
}

/// What the node adds to a request that it sends to a target.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// The target that may run the request; any other one refuses it.
    pub target: &'a TargetId,
    /// Time in which the target has to answer; it gives up then.
    pub time_left: Option<Duration>,
    /// Number of the last event that has been received.
    pub last_event: Option<u64>,
    /// Rank at the target, 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Head of a target's response.
#[derive(Debug, Clone, Default)]
pub struct ReplyHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Signature of the target; only with it is a success the target's own.
    pub signature: Option<String>,
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// The target states that it leaves: it takes no new requests. Never set by another target that
    /// has its address now.
    pub leaving: bool,
    /// Version of the weights at the start of the response.
    pub version: Option<WeightVersion>,
}

/// Kind of calls on batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchCall {
    /// Reads results from a position on.
    Read {
        /// Id of the job.
        job: RequestId,
        /// First position wanted.
        from: usize,
    },
    /// Reads the body of an item that has no result yet.
    ItemBody {
        /// Id of the job.
        job: RequestId,
        /// Id of the item.
        item: RequestId,
    },
    /// Ends a job.
    End {
        /// Id of the job.
        job: RequestId,
    },
}

/// One batch job as submitted.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BatchJob {
    /// Id.
    pub id: RequestId,
    /// Host of the job's route.
    pub host: String,
    /// Path under which the job was submitted.
    pub path: String,
    /// Step of the trainer.
    pub step: u64,
    /// Model that generates the items.
    pub model: ModelName,
    /// Oldest version of the weights that may generate events of this job.
    pub min_version: WeightVersion,
    /// Groups that the trainer waits for.
    pub group_count: usize,
    /// Items in the order of their submission.
    pub items: Vec<Item>,
    /// Limits from the route at the time of the submission.
    pub limits: BatchLimits,
    /// Time of the submission by the accepting node's clock, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
}

/// Limits of a batch job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BatchLimits {
    /// Time after the submission at which results are due, in milliseconds.
    pub results_due_ms: u64,
    /// Time after the submission at which items may be given up, in milliseconds.
    pub give_up_ms: u64,
    /// Failures of its own after which an item is given up.
    pub attempts: u32,
    /// Whether each result has to come from one version.
    pub single_version: bool,
    /// Rank of the route.
    pub priority: u8,
}

/// One item of a batch job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    /// Id; also the request id of its run.
    pub id: RequestId,
    /// Path at the target.
    pub path: String,
    /// Headers of its run.
    pub headers: Vec<(String, String)>,
    /// Body, base64 as received.
    pub body: String,
    /// Prompt tokens plus the most output tokens.
    pub tokens: u64,
    /// Group; its items share their prompt.
    pub group: Option<String>,
    /// Call that scores the finished text.
    pub reward: Option<RewardCall>,
    /// Output tokens that the caller expects.
    pub length_hint: Option<u64>,
}

impl Item {
    /// Returns a hash of the request as which the item is run.
    pub fn request_hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.path.len() + self.body.len());
        let headers = self.headers.iter().flat_map(|(name, value)| [name, value]);
        for part in [&self.path, &self.body].into_iter().chain(headers) {
            bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
            bytes.extend_from_slice(part.as_bytes());
        }
        hash64(&bytes)
    }
}

/// Call that scores an item.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RewardCall {
    /// Request id.
    pub id: RequestId,
    /// Host; selects the route.
    pub host: String,
    /// Path.
    pub path: String,
    /// Body, base64 as received.
    pub body: String,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// The text is complete and scored.
    Completed,
    /// The item was given up.
    Failed,
}

/// Result of an item.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub item: RequestId,
    /// How it ended.
    pub outcome: ItemOutcome,
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Versions that generated at least one event, in rising order.
    pub versions: Vec<WeightVersion>,
    /// Signature of the answer to the reward call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
}

impl ItemResult {
    /// Returns about how many bytes the result takes in JSON: the text is escaped, for which a tenth
    /// covers usual texts.
    pub fn encoded_bytes(&self) -> usize {
        const FIELDS_BYTES: usize = 256;
        self.text.len() * 11 / 10 + FIELDS_BYTES
    }
}

/// Page of results.
#[derive(Debug, Clone, Copy)]
pub struct ResultPage<'a> {
    /// Items of the job.
    pub total: usize,
    /// Position of the first result of the page.
    pub from: usize,
    /// The results.
    pub results: &'a [std::rc::Rc<ItemResult>],
}

/// Order to a target to change the weights of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Model.
    pub model: ModelName,
    /// Version to load.
    pub version: WeightVersion,
    /// Name of the node that gives the order.
    pub holder: String,
    /// Fencing number of the holder's lease.
    pub fencing: FencingNumber,
    /// Orders that the target has accepted so far; with any other number it refuses.
    pub expected_orders: u64,
}

/// Answer of a target to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The order is being carried out.
    Accepted,
    /// The target already has this version.
    AlreadyDone,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The fencing number is lower than one that the target has seen.
    StaleFencing,
    /// The order is not valid, or the target is another one.
    Refused(u16),
}

impl OrderReply {
    /// Returns the name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadyDone => "already_done",
            Self::Conflict => "conflict",
            Self::StaleFencing => "stale_fencing",
            Self::Refused(_) => "refused",
        }
    }
}

/// State that a target reports about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetReport {
    /// Models and their versions.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// An order is in progress.
    pub busy: bool,
    /// Orders accepted since the target's start.
    pub accepted_orders: u64,
}

/// Translation between the project's types and the names and formats of one platform.
pub trait Protocol {
    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or of another type.
    fn configuration(&self, value: &Value) -> Result<Configuration, String>;

    /// Decodes the entry of a target.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or of another type.
    fn target(&self, id: &str, value: &Value) -> Result<Target, String>;

    /// Decodes the version that a trainer has named for a model.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or of another type.
    fn named_version(&self, value: &Value) -> Result<(ModelName, WeightVersion), String>;

    /// Returns the status of a retirement whose VM has nothing left to keep.
    fn retirement_completed(&self) -> Value;

    /// Decodes the head of a caller's request.
    fn call_head(&self, headers: &HeaderMap) -> CallHead;

    /// Returns the call on a batch job that a request is, if it is one.
    fn batch_call(&self, method: &Method, path: &str, query: Option<&str>) -> Option<BatchCall>;

    /// Decodes a batch job.
    ///
    /// # Errors
    ///
    /// Names what is wrong with the body.
    fn batch_job(
        &self,
        id: RequestId,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<BatchJob, String>;

    /// Returns the model of a batch job without decoding the rest; `None` if it names none.
    fn batch_model(&self, body: &[u8]) -> Option<ModelName>;

    /// Encodes a page of results.
    fn result_page(&self, page: ResultPage<'_>) -> Bytes;

    /// Decodes the body of an item.
    fn item_body(&self, encoded: &str) -> Result<Bytes, String>;

    /// Returns the headers of the request that runs an item or its reward call.
    fn item_headers(&self, host: &str, headers: &[(String, String)]) -> HeaderMap;

    /// Sets the headers of a request to a target.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes the head of a target's response.
    fn reply_head(&self, status: StatusCode, headers: &HeaderMap) -> ReplyHead;

    /// Returns the name of the field with which an event of a stream states a new version.
    fn version_field(&self) -> &'static str;

    /// Returns the request that gives an order.
    fn order(&self, target: &TargetId, order: &Order) -> Request<Bytes>;

    /// Decodes the answer to an order.
    fn order_reply(&self, status: StatusCode) -> OrderReply;

    /// Returns the request that asks a target for its report.
    fn report_request(&self, target: &TargetId) -> Request<Bytes>;

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or of another type.
    fn report(&self, body: &[u8]) -> Result<TargetReport, String>;

    /// Returns whether the path and method ask whether the node is ready.
    fn is_ready_request(&self, method: &Method, path: &str) -> bool;
}
