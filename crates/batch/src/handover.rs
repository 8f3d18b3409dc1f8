//! Hands running jobs, with their partial texts, to another node before this node stops.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_net::{
    Body,
    server::{empty_response, read_body},
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use deck_core::{boot_clock::BootInstant, id::Revision};
use deck_fleet::{Item, ItemResult, JobEvent};
use serde::{Deserialize, Serialize};

use crate::{
    BatchService, JobRecord,
    job::{ItemPhase, ItemState, Job, Progress},
    ownership,
};

/// Snapshot of a running job as it is sent to its next runner.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Stored record of the job.
    pub record: JobRecord,
    /// Revision of the record. The next runner takes the job only if the record still has it.
    pub revision: Revision,
    /// Items without a result, with their partial texts.
    pub items: Vec<HandoverItem>,
    /// Published results in order of position.
    #[serde(rename = "listed")]
    pub published_results: Vec<ItemResult>,
    /// Number of stored chunks that make up the published results.
    #[serde(rename = "chunks")]
    pub chunk_count: usize,
    /// Finished results that are not stored yet.
    #[serde(rename = "unlisted")]
    pub unpublished_results: Vec<ItemResult>,
    /// Items of these results, whose bodies can be read until the results are published. Not part of
    /// `items`, as nodes without this field would run them again.
    #[serde(default)]
    pub finished_items: Vec<Item>,
}

/// An item without a result.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HandoverItem {
    /// The item as submitted.
    pub item: Item,
    /// Text generated so far.
    pub progress: Progress,
    /// Number of runs that failed on the engine.
    pub failures: u32,
    /// Whether the text is complete and only its score is missing.
    pub complete: bool,
}

impl Handover {
    /// Takes a snapshot of a job.
    pub fn from_job(job: &Job) -> Self {
        let clone_results =
            |results: &[Rc<ItemResult>]| results.iter().map(|r| (**r).clone()).collect();
        let items = job.items.borrow();
        let (finished, unfinished): (Vec<_>, Vec<_>) =
            items.iter().partition(|item_state| item_state.phase.get() == ItemPhase::Done);
        Self {
            record: job.record.borrow().clone(),
            revision: job.revision.get(),
            items: unfinished.into_iter().map(|state| HandoverItem::from_state(state)).collect(),
            published_results: clone_results(&job.published_results.borrow()),
            chunk_count: job.chunk_count.get(),
            unpublished_results: clone_results(&job.unpublished_results.borrow()),
            finished_items: finished.into_iter().map(|state| state.item.clone()).collect(),
        }
    }

    /// Restores the job on its next runner, with the record that names this runner.
    pub fn into_job(self, id: String, record: JobRecord, revision: Revision) -> Job {
        let unpublished_results: Vec<Rc<ItemResult>> =
            self.unpublished_results.into_iter().map(Rc::new).collect();
        let mut job = Job::new(id, record, revision, Vec::new());
        // The previous runner may have stored a last chunk without receiving the response. As after
        // a takeover, the ownership check therefore looks for stored chunks that are not published
        // on this node.
        job.taken_over_at = Some(Instant::now());
        job.total_groups = count_groups(&self.items, job.total_groups);
        let unfinished = self.items.into_iter().map(HandoverItem::into_item_state);
        let finished = self.finished_items.into_iter().map(|item| {
            let item_state = ItemState::new(item);
            item_state.set_phase(ItemPhase::Done);
            item_state
        });
        job.items.replace(unfinished.chain(finished).map(Rc::new).collect());
        job.published_results.replace(self.published_results.into_iter().map(Rc::new).collect());
        job.chunk_count.set(self.chunk_count);
        job.published_count.send_replace(job.published_results.borrow().len());
        if !unpublished_results.is_empty() {
            job.unpublished_results.replace(unpublished_results);
            job.result_added.notify_one();
        }
        job
    }
}

/// Returns the number of groups among the unfinished items; complete groups no longer matter.
fn count_groups(items: &[HandoverItem], known_groups: usize) -> usize {
    let unfinished: std::collections::HashSet<_> =
        items.iter().map(|item| &item.item.group).collect();
    unfinished.len().max(known_groups)
}

impl HandoverItem {
    /// Takes a snapshot of an unfinished item.
    fn from_state(item_state: &ItemState) -> Self {
        Self {
            item: item_state.item.clone(),
            progress: item_state.progress.borrow().clone(),
            failures: item_state.failures.get(),
            complete: matches!(item_state.phase.get(), ItemPhase::Generated | ItemPhase::Scoring),
        }
    }

    /// Restores the state of an unfinished item.
    fn into_item_state(self) -> ItemState {
        let item_state = ItemState::new(self.item);
        item_state.progress.replace(self.progress);
        item_state.failures.set(self.failures);
        if self.complete {
            item_state.set_phase(ItemPhase::Generated);
        }
        item_state
    }
}

/// How long the tasks of a stopped job get to save their progress and exit.
const TASK_STOP_WAIT: Duration = Duration::from_millis(2);
/// Number of nodes that are asked to take a job over.
const MAX_HANDOVER_ATTEMPTS: usize = 3;
/// Maximum size of a handover request body in bytes.
const MAX_HANDOVER_BYTES: usize = 64 * 1024 * 1024;

impl BatchService {
    /// Hands all active jobs to other nodes. Tries the nodes that should run the job's model first,
    /// then `nodes` in the given order.
    pub async fn hand_over_jobs(&self, nodes: &[SocketAddr]) {
        self.try_pending_ends().await;
        let own_address = self.deps().address;
        for job in self.inner.runner.active_jobs() {
            let preferred = self.nodes_for_model(&job.record.borrow().model);
            let other_nodes = nodes.iter().copied().filter(|node| !preferred.contains(node));
            let nodes: Vec<SocketAddr> = preferred
                .iter()
                .copied()
                .chain(other_nodes)
                .filter(|node| *node != own_address)
                .collect();
            job.stop_token.cancel();
            // Lets the tasks of the job save their progress before the snapshot is taken.
            monoio::time::sleep(TASK_STOP_WAIT).await;
            self.hand_over_job(&job, &nodes).await;
            self.inner.runner.inner.remove_job(&job);
        }
    }

    /// Sends the snapshot of a job to the given nodes until one accepts it.
    async fn hand_over_job(&self, job: &Job, nodes: &[SocketAddr]) {
        let mut handover = Vec::new();
        if let Err(error) = ciborium::into_writer(&Handover::from_job(job), &mut handover) {
            log::error!(target: "batch", "cannot encode handover job={} error={error}", job.id);
            return;
        }
        let handover = Bytes::from(handover);
        for node in nodes.iter().take(MAX_HANDOVER_ATTEMPTS) {
            match self.inner.peers.hand_over(*node, &job.id, handover.clone()).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    log::info!(target: "batch", "job handed over job={} node={node}", job.id);
                    self.inner.last_known_runners.borrow_mut().insert(job.id.clone(), *node);
                    return;
                }
                Ok(answer) => {
                    log::info!(target: "batch", "handover refused job={} node={node} status={}", job.id, answer.status);
                }
                Err(error) => {
                    log::info!(target: "batch", "handover request failed job={} node={node} error={error}", job.id);
                }
            }
        }
    }

    /// Handles a request in which another node hands a job over to this one.
    pub(crate) async fn serve_handover(
        &self,
        id: &str,
        request: Request<Incoming>,
    ) -> Response<Body> {
        if self.inner.draining.get() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let body = match read_body(request.into_body(), MAX_HANDOVER_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                log::warn!(target: "batch", "handover not received job={id} error={error}");
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let handover: Handover = match ciborium::from_reader(&*body) {
            Ok(handover) => handover,
            Err(error) => {
                log::warn!(target: "batch", "cannot decode handover job={id} error={error}");
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        if let Some(job) = self.inner.runner.job(id) {
            // The copy is outdated if another node, such as the sender, has taken the job over. The
            // check removes it then.
            if let Err(error) = ownership::check_ownership(&self.inner.runner.inner, &job).await {
                log::info!(target: "batch", "handover not checked job={id} error={error}");
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            if self.inner.runner.job(id).is_some() {
                return empty_response(StatusCode::OK);
            }
        }
        let deps = self.deps();
        let record =
            JobRecord { runner: deps.vm.clone(), address: deps.address, ..handover.record.clone() };
        let written_at = BootInstant::now();
        match deps.job_store.replace_record(id, handover.revision, &record).await {
            Ok(revision) => {
                deps.observer.on_job_event(JobEvent::Received);
                log::info!(target: "batch", "job received job={id} open={}", handover.items.len());
                let job = handover.into_job(id.to_owned(), record, revision);
                job.confirm_ownership(written_at);
                self.inner.runner.register_job(Rc::new(job));
                empty_response(StatusCode::OK)
            }
            Err(error) => {
                log::info!(target: "batch", "handover not accepted job={id} error={error}");
                empty_response(StatusCode::CONFLICT)
            }
        }
    }
}
