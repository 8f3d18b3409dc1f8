//! Platform-independent types for requests, batch jobs and load orders, and the
//! [`PlatformProtocol`] trait that translates them to the formats of a platform.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use deck_core::{
    hash::hash64,
    id::{
        DataCentreId, FencingNumber, OrganisationId, PoolName, RequestId, TargetId, WeightVersion,
    },
};
use http::{HeaderMap, Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{ApiKey, Configuration, Target, config::ModelName};

/// Metadata from the headers of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// Request id, which identifies this attempt of the caller; absent in invalid requests.
    pub request_id: Option<RequestId>,
    /// Time that the caller is willing to wait.
    pub deadline: Option<Duration>,
    /// Number of the last event that the caller has received; the stream resumes after it.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream to resume.
    pub resumes: Option<RequestId>,
    /// Time for which a read of batch results may wait for the first result.
    pub read_wait: Option<Duration>,
    /// Key of the caller's organisation.
    pub key: Option<ApiKey>,
}

/// Metadata that the node adds to a request for a target.
#[derive(Debug, Clone)]
pub struct DispatchMetadata<'a> {
    /// Id of the request, by which a response can be matched; the item id for items of batch jobs.
    pub request_id: &'a str,
    /// Target that may execute the request; any other target refuses it.
    pub target: &'a TargetId,
    /// Remaining time in which the target has to respond, after which it aborts the request.
    pub time_left: Option<Duration>,
    /// Number of the last event received; the stream resumes after it.
    pub last_event: Option<u64>,
    /// Priority at the target; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Organisation of the caller, where the configuration has organisations.
    pub organisation: Option<&'a str>,
}

/// Metadata from the head of a target's response.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Signature of the target. A successful response without it does not come from the target
    /// itself.
    pub signature: Option<String>,
    /// Whether the target states that it did not execute the request.
    pub not_run: bool,
    /// Whether the target states that it is leaving and accepts no new requests. Never set if
    /// the response comes from a different target that has taken over the address.
    pub leaving: bool,
    /// Weight version at the start of the response.
    pub version: Option<WeightVersion>,
    /// Whether the response is from the intended target, and not from another one that has taken
    /// over its address.
    pub is_from_target: bool,
    /// Number of requests a second that the target takes from all nodes together; `None` if it
    /// names no limit.
    pub requests_per_s: Option<f64>,
}

/// Call on an existing batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchCall {
    /// Reads results, starting at a position.
    Read {
        /// Id of the job.
        job: RequestId,
        /// Position of the first result to read.
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

/// Batch job as submitted by a trainer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BatchJob {
    /// Id of the job.
    pub id: RequestId,
    /// Host of the job's route.
    pub host: String,
    /// Path to which the job was submitted.
    pub path: String,
    /// Organisation that submitted the job, where the configuration has organisations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// Training step that the job belongs to.
    pub step: u64,
    /// Model that generates the texts of the items.
    pub model: ModelName,
    /// Oldest weight version that may generate events for this job.
    pub min_version: WeightVersion,
    /// Number of groups that the trainer waits for.
    pub group_count: usize,
    /// Items in the order of submission.
    pub items: Vec<Item>,
    /// Limits of the route at the time of submission.
    pub limits: BatchLimits,
    /// Time of submission by the clock of the accepting node, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
}

/// Limits of a batch job, copied from its route.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BatchLimits {
    /// Time after submission at which the results are due, in milliseconds.
    pub results_due_ms: u64,
    /// Time after submission from which items may be given up, in milliseconds.
    pub give_up_ms: u64,
    /// Number of failures caused by an item itself after which it is given up.
    pub attempts: u32,
    /// Whether all events of a result must come from the same weight version.
    pub single_version: bool,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
}

/// Item of a batch job: one generation request and its reward call.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    /// Id of the item; also the request id of its runs.
    pub id: RequestId,
    /// Request path on the engine.
    pub path: String,
    /// Request headers.
    pub headers: Vec<(String, String)>,
    /// Request body, in base64 as received.
    pub body: String,
    /// Number of prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
    /// Group of the item; the items of a group share the same prompt.
    pub group: Option<String>,
    /// Call that scores the generated text.
    pub reward: Option<RewardCall>,
    /// Expected number of output tokens, as estimated by the caller.
    pub length_hint: Option<u64>,
}

impl Item {
    /// Returns a hash of the path, body and headers of the item's request.
    pub fn request_hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.path.len() + self.body.len());
        let headers = self.headers.iter().flat_map(|(name, value)| [name, value]);
        for field in [&self.path, &self.body].into_iter().chain(headers) {
            bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
            bytes.extend_from_slice(field.as_bytes());
        }
        hash64(&bytes)
    }
}

/// Request that scores the generated text of an item.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RewardCall {
    /// Request id of the call.
    pub id: RequestId,
    /// Host of the request, which selects the route.
    pub host: String,
    /// Request path.
    pub path: String,
    /// Request body, in base64 as received.
    pub body: String,
}

/// Final outcome of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// The text was generated completely and, if requested, scored.
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
    /// Final outcome of the item.
    pub outcome: ItemOutcome,
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Weight versions that generated the text, in ascending order; each generated at least one
    /// event.
    pub versions: Vec<WeightVersion>,
    /// Score of the text: the signature in the response to the reward call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
}

impl ItemResult {
    /// Returns an upper bound of the size of the result in JSON, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        const FIELD_NAMES_BYTES: usize = 96;
        const MAX_VERSION_BYTES: usize = 21;
        let score_bytes = self.score.as_deref().map_or(0, json_string_bytes);
        FIELD_NAMES_BYTES
            + json_string_bytes(&self.item)
            + json_string_bytes(&self.text)
            + self.versions.len() * MAX_VERSION_BYTES
            + score_bytes
    }
}

/// Returns the size of a text as a JSON string, with its escapes and quotes.
fn json_string_bytes(text: &str) -> usize {
    let escaped_bytes = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0..=0x1f => 6,
        _ => 1,
    };
    text.bytes().map(escaped_bytes).sum::<usize>() + 2
}

/// Page of the results of a batch job.
#[derive(Debug, Clone, Copy)]
pub struct ResultPage<'a> {
    /// Number of items of the job.
    pub total: usize,
    /// Position of the first result on the page.
    pub from: usize,
    /// Results on the page.
    pub results: &'a [std::rc::Rc<ItemResult>],
}

/// Order to an engine to load a weight version of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightLoadOrder {
    /// Name of the model.
    pub model: ModelName,
    /// Weight version to load.
    pub version: WeightVersion,
    /// VM of the leader that sends the order.
    pub holder: String,
    /// Fencing number of the leader's lease.
    pub fencing: FencingNumber,
    /// Number of orders that the target must have accepted so far; otherwise it refuses this order.
    pub expected_orders: u64,
}

/// Reply of an engine to a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightLoadReply {
    /// The engine has started to load the version.
    Accepted,
    /// The engine already has this version.
    AlreadyDone,
    /// Another order is in progress, or the number of accepted orders differs from the expected
    /// one.
    Conflict,
    /// The fencing number is lower than one that the engine has seen before.
    StaleFencing,
    /// The order is invalid or was sent to a different target; contains the HTTP status.
    Refused(u16),
}

impl WeightLoadReply {
    /// Returns the label value used in metrics.
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

/// Order of the number of targets of a service in a data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingOrder {
    /// Service of the targets.
    pub service: PoolName,
    /// Data centre of the targets.
    pub data_centre: DataCentreId,
    /// Number of targets of this kind.
    pub count: u32,
    /// Whether the order is for targets that may be reclaimed; the others are counted separately.
    pub is_spot: bool,
    /// VM of the leader that sends the order.
    pub holder: String,
    /// Fencing number of the leader's lease.
    pub fencing: FencingNumber,
}

/// Reply to the order of a number of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScalingReply {
    /// The order is carried out.
    Accepted,
    /// There are no such targets now, or a higher fencing number was seen.
    Refused,
    /// Too many calls were made; the order has no effect.
    Busy,
    /// The order may or may not take effect; contains the HTTP status.
    Unknown(u16),
}

/// State reported by an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetReport {
    /// Models and their loaded weight versions.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders accepted since the start of the engine.
    pub accepted_orders: u64,
}

/// Report of how many requests of each organisation began to run in a window of time.
#[derive(Debug, Clone, Copy)]
pub struct UsageReport<'a> {
    /// VM of the node that sends the report.
    pub holder: &'a str,
    /// Fencing number of its lease.
    pub fencing: FencingNumber,
    /// Number of the window.
    pub window: u64,
    /// Number of requests of each organisation.
    pub counts: &'a BTreeMap<OrganisationId, u64>,
}

/// Answer of the platform to a report of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageReply {
    /// The report is accepted.
    Accepted,
    /// A higher fencing number was seen.
    StaleFencing,
    /// The report is not valid.
    Invalid,
    /// The platform did not take the report; it may later.
    Retry,
}

/// Translation between the platform-independent types and the names and formats of a platform.
pub trait PlatformProtocol {
    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or has the wrong type.
    fn decode_configuration(&self, value: &Value) -> Result<Configuration, String>;

    /// Decodes the entry of a target.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or has the wrong type.
    fn decode_target(&self, id: &str, value: &Value) -> Result<Target, String>;

    /// Decodes the weight version that a trainer has published for a model.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or has the wrong type.
    fn decode_published_version(&self, value: &Value)
    -> Result<(ModelName, WeightVersion), String>;

    /// Returns whether an object is a request to retire a VM.
    fn is_retirement_request(&self, value: &Value) -> bool;

    /// Encodes the status of a retirement request whose VM holds no more state.
    fn encode_completed_retirement(&self) -> Value;

    /// Decodes the headers of a caller's request.
    fn decode_request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Decodes a call on an existing batch job; `None` if the request is not one.
    fn parse_batch_call(
        &self,
        method: &Method,
        path: &str,
        query: Option<&str>,
    ) -> Option<BatchCall>;

    /// Decodes a submitted batch job.
    ///
    /// # Errors
    ///
    /// Describes what is invalid in the body.
    fn decode_batch_job(
        &self,
        id: RequestId,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<BatchJob, String>;

    /// Returns the model of an encoded batch job without decoding the rest; `None` if it has none.
    fn decode_batch_model(&self, body: &[u8]) -> Option<ModelName>;

    /// Encodes a page of results.
    fn encode_result_page(&self, page: ResultPage<'_>) -> Bytes;

    /// Decodes the base64 body of an item.
    fn decode_item_body(&self, encoded: &str) -> Result<Bytes, String>;

    /// Builds the headers of the request for an item or its reward call.
    fn build_item_headers(&self, host: &str, headers: &[(String, String)]) -> HeaderMap;

    /// Removes the caller's key and any organisation that the caller names.
    fn remove_credentials(&self, headers: &mut HeaderMap);

    /// Sets the headers of a request to a target from the dispatch metadata.
    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchMetadata<'_>);

    /// Decodes the status and headers of a target's response.
    fn decode_response_metadata(&self, status: StatusCode, headers: &HeaderMap)
    -> ResponseMetadata;

    /// Returns the name of the field in which a stream event states a new weight version.
    fn stream_version_field(&self) -> &'static str;

    /// Encodes a load order as a request to an engine.
    fn weight_load_request(&self, target: &TargetId, order: &WeightLoadOrder) -> Request<Bytes>;

    /// Decodes the reply to a load order.
    fn decode_weight_load_reply(&self, status: StatusCode) -> WeightLoadReply;

    /// Encodes a report of use as a request to the platform.
    fn usage_report_request(&self, report: &UsageReport<'_>) -> Request<Bytes>;

    /// Decodes the answer to a report of use.
    fn decode_usage_reply(&self, status: StatusCode) -> UsageReply;

    /// Encodes the request for an engine's report.
    fn target_report_request(&self, target: &TargetId) -> Request<Bytes>;

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or has the wrong type.
    fn decode_target_report(&self, body: &[u8]) -> Result<TargetReport, String>;

    /// Encodes an order of a number of targets as a request to the API for duties.
    fn scaling_request(&self, order: &ScalingOrder) -> Request<Bytes>;

    /// Decodes the reply to an order of a number of targets.
    fn decode_scaling_reply(&self, status: StatusCode) -> ScalingReply;

    /// Returns whether a request is a readiness check of the platform.
    fn is_readiness_request(&self, method: &Method, path: &str) -> bool;
}
