//! Checkpoints of unfinished texts, stored on VMs with a disk.
//!
//! The runner of a job periodically sends the newly generated text of its items to one of these
//! VMs. After a crash the next runner resumes from there; events that were not sent in time are
//! generated again. Correctness does not depend on checkpoints: one may be missing, outdated or
//! lost with its disk.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap, HashSet},
    fs::{File, OpenOptions},
    io::{Read, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    hash::{hash64, rendezvous_score},
    id::{RequestId, SoftwareVersion, WeightVersion},
};
use deck_net::{
    Body, Client, NetError, cbor,
    server::{numeric_query_parameter, read_body},
};
use futures_util::future::join_all;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::job::{ItemPhase, ItemState, Job, Progress};

/// Path prefix of checkpoint requests.
pub const CHECKPOINTS_PATH: &str = "/peer/checkpoints/";
/// Path of the request for the jobs whose runners are silent, that is, have sent no heartbeat for
/// some time.
const SILENT_PATH: &str = "/peer/silent-jobs";
/// Timeout of a request. A checkpoint that takes longer is outdated.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time that a read waits for the list of checkpoint VMs to become known.
const NODE_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of VMs that are tried for the checkpoint of one job.
const MAX_CHECKPOINT_NODES: usize = 2;
/// Maximum size of a checkpoint message in bytes.
const MAX_CHECKPOINT_BYTES: usize = 64 * 1024 * 1024;
/// How long a checkpoint is kept after its last message.
const CHECKPOINT_RETENTION: Duration = Duration::from_secs(150);
/// Maximum time between two messages for a job. A message without new text serves as a heartbeat of
/// the runner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of announcing a job, which runs while the job is stored. Storing takes a few
/// milliseconds, so a longer timeout would delay the response to the caller.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(50);
/// Length of a record header in a file: content length and hash.
const RECORD_HEADER_BYTES: usize = 16;

/// Text that one item has generated since its last checkpoint.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ItemDelta {
    /// Item whose text is extended or replaced.
    pub item: RequestId,
    /// Number of the last event that the checkpoint already holds. 0 replaces the stored text.
    pub after_event: u64,
    /// Hash of the text up to that event and of its software version, by which a delta of another text
    /// is recognised. `None` if the sender runs an earlier release.
    #[serde(default)]
    pub prefix_hash: Option<u64>,
    /// Text after that event, including the line feed that separates it.
    pub text: String,
    /// Number of the last event in `text`.
    pub last_event: u64,
    /// Byte length of the whole text after each of these events.
    #[serde(rename = "ends")]
    pub event_ends: Vec<usize>,
    /// Weight versions that generated the whole text.
    pub versions: BTreeSet<WeightVersion>,
    /// Software version of the engines that generated the whole text.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
    /// Number of runs that failed on the engine.
    pub failures: u32,
    /// Whether the whole text is complete.
    pub complete: bool,
}

impl ItemDelta {
    /// Returns whether `stored` is the text up to `after_event`.
    fn continues(&self, stored: &Progress) -> bool {
        stored.last_event == self.after_event
            && self.prefix_hash.is_none_or(|hash| hash == stored.prefix_hash(self.after_event))
    }
}

/// Checkpoint of one item.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ItemCheckpoint {
    /// Text generated so far.
    pub progress: Progress,
    /// Number of runs that failed on the engine.
    pub failures: u32,
    /// Whether the text is complete.
    pub complete: bool,
}

/// Checkpoints of the unfinished items of a job, by item id.
pub type JobCheckpoint = HashMap<RequestId, ItemCheckpoint>;

/// Checkpoints stored on this VM, in memory and in one file per job.
pub struct CheckpointStore {
    checkpoint_dir: Option<PathBuf>,
    jobs: RefCell<HashMap<RequestId, StoredCheckpoint>>,
}

/// Checkpoint of one job and the time of its last message.
struct StoredCheckpoint {
    items: JobCheckpoint,
    last_message_at: Instant,
}

impl CheckpointStore {
    /// Loads the checkpoints below `data_dir`. Without a directory they are kept in memory only.
    pub fn open(data_dir: Option<&Path>) -> Self {
        let checkpoint_dir = data_dir.map(|dir| dir.join("checkpoints"));
        let store = Self { checkpoint_dir, jobs: RefCell::default() };
        if let Some(checkpoint_dir) = &store.checkpoint_dir {
            if let Err(error) = std::fs::create_dir_all(checkpoint_dir) {
                log::warn!(target: "checkpoint", "cannot create checkpoint directory folder={checkpoint_dir:?} error={error}");
            }
            store.read_files(checkpoint_dir);
        }
        store
    }

    /// Loads the checkpoint file of each job into memory.
    fn read_files(&self, checkpoint_dir: &Path) {
        let entries = match std::fs::read_dir(checkpoint_dir) {
            Ok(entries) => entries,
            Err(error) => {
                log::warn!(target: "checkpoint", "cannot read checkpoint directory folder={checkpoint_dir:?} error={error}");
                return;
            }
        };
        for dir_entry in entries.flatten() {
            let Some(job) = dir_entry.file_name().to_str().map(str::to_owned) else { continue };
            match read_records(&dir_entry.path()) {
                Ok(records) => {
                    for deltas in records {
                        self.apply(&job, &deltas);
                    }
                }
                Err(error) => {
                    log::warn!(target: "checkpoint", "cannot read checkpoint file job={job} error={error}");
                }
            }
        }
        log::info!(target: "checkpoint", "checkpoints read jobs={}", self.jobs.borrow().len());
    }

    /// Appends deltas of a job's items in memory and on disk. Returns the items whose delta does
    /// not continue the stored text; the runner has to send these in full.
    pub fn apply_and_persist(&self, job: &str, deltas: &[ItemDelta]) -> Vec<RequestId> {
        self.remove_expired();
        let is_known = self.jobs.borrow().contains_key(job);
        let rejected = self.apply(job, deltas);
        if deltas.is_empty() && is_known {
            return rejected;
        }
        if let Some(checkpoint_dir) = &self.checkpoint_dir
            && let Err(error) = append_record(&checkpoint_dir.join(job), deltas)
        {
            // The copy in memory is still usable until this process exits.
            log::warn!(target: "checkpoint", "checkpoint not written job={job} error={error}");
        }
        rejected
    }

    /// Appends deltas in memory only. Returns the items whose delta does not continue the stored
    /// text.
    fn apply(&self, job: &str, deltas: &[ItemDelta]) -> Vec<RequestId> {
        let mut jobs = self.jobs.borrow_mut();
        let new_entry =
            || StoredCheckpoint { items: JobCheckpoint::new(), last_message_at: Instant::now() };
        let entry = jobs.entry(job.to_owned()).or_insert_with(new_entry);
        entry.last_message_at = Instant::now();
        let mut rejected = Vec::new();
        for delta in deltas {
            let item = entry.items.entry(delta.item.clone()).or_default();
            if delta.after_event == 0 {
                *item = ItemCheckpoint::default();
            } else if !delta.continues(&item.progress) {
                rejected.push(delta.item.clone());
                continue;
            }
            item.progress.text.push_str(&delta.text);
            item.progress.last_event = delta.last_event;
            item.progress.event_ends.extend(&delta.event_ends);
            item.progress.versions.clone_from(&delta.versions);
            item.progress.software_version.clone_from(&delta.software_version);
            item.failures = delta.failures;
            item.complete = delta.complete;
        }
        rejected
    }

    /// Returns the checkpoint of a job; empty if there is none.
    pub fn get(&self, job: &str) -> JobCheckpoint {
        self.jobs.borrow().get(job).map(|entry| entry.items.clone()).unwrap_or_default()
    }

    /// Returns the jobs whose runners have sent no message for at least `silence` at the time `now`.
    pub fn silent_jobs(&self, silence: Duration, now: Instant) -> Vec<RequestId> {
        let jobs = self.jobs.borrow();
        let is_silent = |entry: &StoredCheckpoint| {
            now.saturating_duration_since(entry.last_message_at) >= silence
        };
        let silent = jobs.iter().filter(|(_, entry)| is_silent(entry));
        silent.map(|(job, _)| job.clone()).collect()
    }

    /// Deletes the checkpoint of a finished job.
    pub fn remove(&self, job: &str) {
        self.jobs.borrow_mut().remove(job);
        if let Some(checkpoint_dir) = &self.checkpoint_dir
            && let Err(error) = std::fs::remove_file(checkpoint_dir.join(job))
            && error.kind() != std::io::ErrorKind::NotFound
        {
            log::warn!(target: "checkpoint", "cannot delete checkpoint file job={job} error={error}");
        }
    }

    /// Deletes checkpoints that have received no message for [`CHECKPOINT_RETENTION`].
    fn remove_expired(&self) {
        let jobs = self.jobs.borrow();
        let expired =
            jobs.iter().filter(|(_, entry)| entry.last_message_at.elapsed() > CHECKPOINT_RETENTION);
        let expired: Vec<RequestId> = expired.map(|(job, _)| job.clone()).collect();
        drop(jobs);
        for job in expired {
            self.remove(&job);
        }
    }

    /// Handles a checkpoint request from another node.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == SILENT_PATH {
            let query = request.uri().query().unwrap_or_default();
            let silence = numeric_query_parameter(query, "ms")
                .map_or(CHECKPOINT_RETENTION, Duration::from_millis);
            return cbor_response(&self.silent_jobs(silence, Instant::now()));
        }
        let job = request.uri().path().strip_prefix(CHECKPOINTS_PATH).map(str::to_owned);
        // The id is used as a file name.
        let Some(job) = job.filter(|job| crate::scope::is_stored_id(job) && !job.starts_with('.'))
        else {
            return response_with(StatusCode::NOT_FOUND, Bytes::new());
        };
        match *request.method() {
            Method::GET => cbor_response(&self.get(&job)),
            Method::DELETE => {
                self.remove(&job);
                response_with(StatusCode::OK, Bytes::new())
            }
            Method::POST => {
                let body = match read_body(request.into_body(), MAX_CHECKPOINT_BYTES).await {
                    Ok(body) => body,
                    Err(error) => {
                        log::info!(target: "checkpoint", "checkpoint message not received job={job} error={error}");
                        return response_with(StatusCode::BAD_REQUEST, Bytes::new());
                    }
                };
                match ciborium::from_reader::<Vec<ItemDelta>, _>(&*body) {
                    Ok(deltas) => cbor_response(&self.apply_and_persist(&job, &deltas)),
                    Err(error) => {
                        log::warn!(target: "checkpoint", "cannot decode checkpoint message job={job} error={error}");
                        response_with(StatusCode::BAD_REQUEST, Bytes::new())
                    }
                }
            }
            _ => response_with(StatusCode::METHOD_NOT_ALLOWED, Bytes::new()),
        }
    }
}

/// Encodes the body of a response as CBOR.
fn cbor_response<T: Serialize>(content: &T) -> Response<Body> {
    let mut bytes = Vec::new();
    match ciborium::into_writer(content, &mut bytes) {
        Ok(()) => response_with(StatusCode::OK, bytes.into()),
        Err(error) => {
            log::error!(target: "checkpoint", "cannot encode response error={error}");
            response_with(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn response_with(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response
}

/// Appends a record with its length and hash to a file, and syncs the file.
fn append_record(file: &Path, deltas: &[ItemDelta]) -> std::io::Result<()> {
    let mut content = Vec::new();
    ciborium::into_writer(deltas, &mut content).map_err(std::io::Error::other)?;
    let mut record = Vec::with_capacity(RECORD_HEADER_BYTES + content.len());
    record.extend_from_slice(&(content.len() as u64).to_le_bytes());
    record.extend_from_slice(&hash64(&content).to_le_bytes());
    record.extend_from_slice(&content);
    let mut file = OpenOptions::new().create(true).append(true).open(file)?;
    file.write_all(&record)?;
    file.sync_data()
}

/// Reads the records of a file up to the first incomplete or corrupt one.
fn read_records(file: &Path) -> std::io::Result<Vec<Vec<ItemDelta>>> {
    let mut bytes = Vec::new();
    File::open(file)?.read_to_end(&mut bytes)?;
    let mut records = Vec::new();
    let mut unread = &bytes[..];
    while let Some((header, after_header)) = unread.split_first_chunk::<RECORD_HEADER_BYTES>() {
        let number = |field: &[u8]| field.try_into().map(u64::from_le_bytes).unwrap_or(u64::MAX);
        let (length, hash) = (number(&header[..8]), number(&header[8..]));
        let Some(content) =
            usize::try_from(length).ok().and_then(|length| after_header.get(..length))
        else {
            break;
        };
        if hash64(content) != hash {
            break;
        }
        let Ok(deltas) = ciborium::from_reader(content) else { break };
        records.push(deltas);
        unread = &after_header[content.len()..];
    }
    Ok(records)
}

/// Client that sends checkpoints to the checkpoint VMs and reads them back; clones share the list
/// of VMs.
#[derive(Clone)]
pub struct CheckpointClient {
    client: Client,
    nodes: Rc<RefCell<Vec<SocketAddr>>>,
}

/// Which part of a job's texts its runner has sent to which checkpoint VM.
#[derive(Default)]
pub(crate) struct SentProgress {
    node: Option<SocketAddr>,
    /// When that VM last acknowledged a message.
    last_sent_at: Option<Instant>,
    /// Text that was sent of each item.
    items: HashMap<RequestId, SentText>,
}

/// Text of one item as a checkpoint VM holds it.
struct SentText {
    /// Number of the last event.
    last_event: u64,
    /// Hash of the text and of its software version. An item that begins anew may have a text of the
    /// same length or a longer one by the next message.
    hash: u64,
    /// Whether the text was complete.
    complete: bool,
}

impl CheckpointClient {
    /// Creates an instance that sends through `client`. It knows no VMs until [`Self::set_nodes`]
    /// is called.
    pub fn new(client: Client) -> Self {
        Self { client, nodes: Rc::default() }
    }

    /// Sets the addresses of the checkpoint VMs.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        self.nodes.replace(nodes);
    }

    /// Returns the VMs to try for a job, in order of rendezvous hashing.
    fn nodes_for_job(&self, job: &str) -> Vec<SocketAddr> {
        let mut nodes = self.nodes.borrow().clone();
        nodes.sort_by_key(|node| std::cmp::Reverse(rendezvous_score(job, &node.to_string())));
        nodes.truncate(MAX_CHECKPOINT_NODES);
        nodes
    }

    /// Tells one VM that this node is about to run a job. Takes at most [`ANNOUNCE_TIMEOUT`].
    /// Without an announcement, a job whose runner crashes at once is recovered only when a caller
    /// asks for it.
    pub(crate) async fn announce(&self, job: &str) {
        let announcement = async {
            for node in self.nodes_for_job(job) {
                match self.send_to(node, job, &[]).await {
                    Ok(_) => return,
                    Err(error) => {
                        log::debug!(target: "checkpoint", "job not announced job={job} node={node} error={error}");
                    }
                }
            }
        };
        if monoio::time::timeout(ANNOUNCE_TIMEOUT, announcement).await.is_err() {
            log::debug!(target: "checkpoint", "job announcement timed out job={job}");
        }
    }

    /// Sends the new text of a job's items to the first VM that answers, or a heartbeat if there is
    /// none.
    pub(crate) async fn send(&self, job: &Job, sent: &mut SentProgress) {
        for node in self.nodes_for_job(&job.id) {
            if sent.node != Some(node) {
                *sent = SentProgress { node: Some(node), ..SentProgress::default() };
            }
            let (deltas, texts) = unsent_deltas(job, sent);
            if deltas.is_empty()
                && sent.last_sent_at.is_some_and(|at| at.elapsed() < HEARTBEAT_INTERVAL)
            {
                return;
            }
            match self.send_to(node, &job.id, &deltas).await {
                Ok(rejected) => {
                    sent.last_sent_at = Some(Instant::now());
                    let items = deltas.into_iter().map(|delta| delta.item);
                    sent.items.extend(items.zip(texts));
                    sent.items.retain(|item, _| !rejected.contains(item));
                    return;
                }
                Err(error) => {
                    log::debug!(target: "checkpoint", "checkpoint not sent job={} node={node} error={error}", job.id);
                    sent.node = None;
                }
            }
        }
    }

    /// Sends deltas to one VM. Returns the items that have to be sent in full.
    async fn send_to(
        &self,
        node: SocketAddr,
        job: &str,
        deltas: &[ItemDelta],
    ) -> Result<HashSet<RequestId>, NetError> {
        let bytes =
            self.call(node, Method::POST, checkpoint_path(job), cbor::encode(deltas)?).await?;
        cbor::decode(&bytes)
    }

    /// Reads the checkpoint of a job from all its VMs; empty if none has one.
    pub async fn read(&self, job: &str) -> JobCheckpoint {
        let mut merged = JobCheckpoint::new();
        // A node that has just started receives the list of VMs within this time.
        let deadline = Instant::now() + NODE_LIST_TIMEOUT;
        while self.nodes.borrow().is_empty() && Instant::now() < deadline {
            monoio::time::sleep(NODE_LIST_TIMEOUT / 10).await;
        }
        let nodes = self.nodes_for_job(job);
        let requests = nodes
            .iter()
            .map(|node| self.call(*node, Method::GET, checkpoint_path(job), Bytes::new()));
        let responses = join_all(requests).await;
        for (node, response) in nodes.iter().zip(responses) {
            match response {
                Ok(bytes) => match ciborium::from_reader::<JobCheckpoint, _>(&*bytes) {
                    Ok(loaded) => keep_longest_texts(&mut merged, loaded),
                    Err(error) => {
                        log::warn!(target: "checkpoint", "cannot decode checkpoint job={job} error={error}");
                    }
                },
                Err(error) => {
                    log::info!(target: "checkpoint", "checkpoint request failed job={job} node={node} error={error}");
                }
            }
        }
        merged
    }

    /// Deletes the checkpoint of a finished job from all its VMs, including copies from previous
    /// runners.
    pub(crate) async fn remove(&self, job: &str) {
        for node in self.nodes_for_job(job) {
            if let Err(error) =
                self.call(node, Method::DELETE, checkpoint_path(job), Bytes::new()).await
            {
                log::debug!(target: "checkpoint", "checkpoint not deleted job={job} node={node} error={error}");
            }
        }
    }

    /// Asks all checkpoint VMs for jobs whose runners have sent them no message for at least
    /// `silence`.
    pub(crate) async fn silent_jobs(&self, silence: Duration) -> BTreeSet<RequestId> {
        let mut silent = BTreeSet::new();
        let nodes = self.nodes.borrow().clone();
        let path = format!("{SILENT_PATH}?ms={}", silence.as_millis());
        let requests =
            nodes.iter().map(|node| self.call(*node, Method::GET, path.clone(), Bytes::new()));
        let responses = join_all(requests).await;
        for (node, response) in nodes.iter().zip(responses) {
            match response {
                Ok(bytes) => match ciborium::from_reader::<Vec<RequestId>, _>(&*bytes) {
                    Ok(jobs) => silent.extend(jobs),
                    Err(error) => {
                        log::warn!(target: "checkpoint", "cannot decode silent jobs node={node} error={error}");
                    }
                },
                Err(error) => {
                    log::debug!(target: "checkpoint", "silent jobs request failed node={node} error={error}");
                }
            }
        }
        silent
    }

    async fn call(
        &self,
        node: SocketAddr,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<Bytes, NetError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(Body::full(body))
            .map_err(|error| NetError::Decode(error.to_string()))?;
        self.client.call(node, request, CALL_TIMEOUT, MAX_CHECKPOINT_BYTES).await?.into_ok_body()
    }
}

/// Returns the request path of a job's checkpoint.
fn checkpoint_path(job: &str) -> String {
    format!("{CHECKPOINTS_PATH}{job}")
}

/// Merges two checkpoints, keeping the longer text of each item.
fn keep_longest_texts(merged: &mut JobCheckpoint, loaded: JobCheckpoint) {
    for (item, checkpoint) in loaded {
        let longest = merged.entry(item).or_default();
        if checkpoint.progress.last_event > longest.progress.last_event {
            *longest = checkpoint;
        }
    }
}

/// Returns the text of all unfinished items that has not been sent, and the text that a VM holds with
/// it.
fn unsent_deltas(job: &Job, sent: &SentProgress) -> (Vec<ItemDelta>, Vec<SentText>) {
    let items = job.items.borrow();
    let unfinished = items.iter().filter(|item_state| item_state.phase.get() != ItemPhase::Done);
    unfinished.filter_map(|item_state| unsent_delta(item_state, sent)).unzip()
}

/// Returns the text of one item that has not been sent; `None` if there is nothing new.
fn unsent_delta(item_state: &ItemState, sent: &SentProgress) -> Option<(ItemDelta, SentText)> {
    let progress = item_state.progress.borrow();
    let complete = matches!(item_state.phase.get(), ItemPhase::Generated | ItemPhase::Scoring);
    if progress.last_event == 0 {
        return None;
    }
    // A text that was restarted replaces what was sent.
    let is_prefix = |sent_text: &&SentText| {
        sent_text.last_event <= progress.last_event
            && sent_text.hash == progress.prefix_hash(sent_text.last_event)
    };
    let sent_text = sent.items.get(&item_state.item.id).filter(is_prefix);
    if sent_text
        .is_some_and(|sent| (sent.last_event, sent.complete) == (progress.last_event, complete))
    {
        return None;
    }
    let after_event = sent_text.map_or(0, |sent_text| sent_text.last_event);
    let last_event = progress.last_event;
    let delta = ItemDelta {
        item: item_state.item.id.clone(),
        after_event,
        prefix_hash: Some(progress.prefix_hash(after_event)),
        text: progress.text_after(after_event).to_owned(),
        last_event,
        event_ends: progress.event_ends[after_event as usize..].to_vec(),
        versions: progress.versions.clone(),
        software_version: progress.software_version.clone(),
        failures: item_state.failures.get(),
        complete,
    };
    Some((delta, SentText { last_event, hash: progress.prefix_hash(last_event), complete }))
}
