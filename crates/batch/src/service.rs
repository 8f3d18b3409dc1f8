//! Calls of callers and of other nodes on batch jobs.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use deck_core::{
    error::{CallError, ErrorKind},
    id::RequestId,
};
use deck_fleet::{
    BatchCall, BatchJob, BatchLimits, CallHead, Feed, JobChange, Leader, ResultPage, Route,
};
use deck_forward::error_response;
use deck_limit::TokenBucket;
use deck_net::{Body, NetError, WholeResponse, server::status_only};
use deck_plat::StoreError;
use http::{HeaderValue, Response, StatusCode, header};

use crate::{
    Accepted, JobRecord, Runner,
    job::Job,
    peers::{AT_OBJECT_API, NOT_HERE, Peers, RUNS_ELSEWHERE},
    publish,
    runner::RunnerParts,
};

/// Options of a [`BatchService`].
#[derive(Debug, Clone)]
pub struct BatchOptions {
    /// Longest time for which a read waits for a first result.
    pub max_read_wait: Duration,
    /// Age of the last check of a job's runner up to which a read may state that there is nothing
    /// at a position. Has to stay below the deployment's settle time.
    pub sure_for: Duration,
    /// Largest part of a page of results in bytes.
    pub max_page_bytes: usize,
    /// Retry-After of a submission that cannot be stored now.
    pub submit_retry: Duration,
    /// Largest body of a submission in bytes.
    pub max_body_bytes: usize,
}

impl Default for BatchOptions {
    fn default() -> Self {
        Self {
            max_read_wait: Duration::from_millis(1000),
            sure_for: Duration::from_millis(700),
            max_page_bytes: 900 * 1024,
            submit_retry: Duration::from_millis(500),
            max_body_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Serves calls on batch jobs; clones share its state.
#[derive(Clone)]
pub struct BatchService {
    pub(crate) inner: Rc<Inner>,
}

pub(crate) struct Inner {
    pub(crate) runner: Runner,
    pub(crate) peers: Peers,
    pub(crate) options: BatchOptions,
    feed: Feed,
    /// Nodes that were last seen to run a job.
    pub(crate) runners: RefCell<HashMap<RequestId, SocketAddr>>,
    /// Jobs that are ended or complete, loaded for reads on this node, the last one first.
    settled: RefCell<VecDeque<Rc<Job>>>,
    /// Pages of settled jobs that were sent to other nodes lately.
    pub(crate) settled_pages: RefCell<TokenBucket>,
    pub(crate) draining: Cell<bool>,
}

/// Where a job is.
pub(crate) enum Place {
    /// On this node.
    Here(Rc<Job>),
    /// On another node, which runs it.
    There(SocketAddr),
}

/// What was found for a call on a job.
enum Found {
    /// The job is run by this node, or it is settled.
    Here(Rc<Job>),
    /// The job as it stands in the object API; another node runs it.
    Copy(Rc<Job>),
    /// Another node has served the call, or it cannot be served.
    Answered(Response<Body>),
}

impl BatchService {
    /// Returns a service over `runner` and the stored jobs.
    pub fn new(runner: Runner, peers: Peers, feed: Feed, options: BatchOptions) -> Self {
        let inner = Inner {
            runner,
            peers,
            options,
            feed,
            runners: RefCell::default(),
            settled: RefCell::default(),
            settled_pages: RefCell::new(TokenBucket::new(SETTLED_BYTES_PER_S, Instant::now())),
            draining: Cell::new(false),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Returns what the runner works with.
    pub(crate) fn parts(&self) -> &RunnerParts {
        &self.inner.runner.inner.parts
    }

    /// Takes no new jobs from other nodes from now on.
    pub fn set_draining(&self) {
        self.inner.draining.set(true);
    }

    /// Accepts a job.
    pub async fn submit(
        &self,
        host: &str,
        path: &str,
        route: &Route,
        head: &CallHead,
        body: Bytes,
    ) -> Response<Body> {
        let Some(id) = head.request_id.clone().filter(|id| is_valid_id(id)) else {
            let error = CallError::new(ErrorKind::BadRequest, "the job has no valid id");
            return error_response(&error, "");
        };
        let mut maybe_accepted = false;
        for node in self.runners_for(&body) {
            if node == self.parts().address {
                break;
            }
            match self.inner.peers.submit(node, &id, host, path, body.clone()).await {
                Ok(answer) if answer.status == StatusCode::ACCEPTED => {
                    self.inner.runners.borrow_mut().insert(id, node);
                    return accepted();
                }
                Ok(answer) if answer.status.is_client_error() && answer.status != NOT_HERE => {
                    return peer_response(answer);
                }
                Ok(answer) => {
                    maybe_accepted |= answer.status != StatusCode::SERVICE_UNAVAILABLE;
                    log::info!(target: "batch", "node did not accept job={id} node={node} status={}", answer.status);
                }
                Err(error) => {
                    maybe_accepted |= error.may_have_been_sent();
                    log::info!(target: "batch", "node did not answer job={id} node={node} error={error}");
                }
            }
        }
        match self.accept(&id, host, path, route, &body).await {
            Ok(()) => accepted(),
            Err(error) if maybe_accepted && error.kind == ErrorKind::StoreUnavailable => {
                let error = CallError::new(ErrorKind::DeadlineExceeded, error.message);
                error_response(&error, &id)
            }
            Err(error) => error_response(&error, &id),
        }
    }

    /// Returns the nodes that should run a new job.
    fn runners_for(&self, body: &[u8]) -> Vec<SocketAddr> {
        self.runners_of(&self.parts().protocol.batch_model(body).unwrap_or_default())
    }

    /// Returns the nodes that should run the jobs of a model, in the order in which they are asked:
    /// the runner of the model, and the leader.
    pub(crate) fn runners_of(&self, model: &str) -> Vec<SocketAddr> {
        let runner = self.inner.feed.runner_of(model);
        let leader = self.inner.feed.leader().map(|leader| leader.address);
        let mut nodes: Vec<SocketAddr> = runner.into_iter().chain(leader).collect();
        nodes.dedup();
        nodes
    }

    /// Takes note of the node that runs some jobs.
    pub fn note_runner(&self, node: SocketAddr, jobs: Vec<RequestId>) {
        let mut runners = self.inner.runners.borrow_mut();
        runners.extend(jobs.into_iter().map(|job| (job, node)));
    }

    /// Returns the ids of the jobs of which this node is the runner.
    pub fn job_ids(&self) -> Vec<RequestId> {
        self.inner.runner.job_ids()
    }

    /// Returns whether this node takes no new jobs.
    pub fn is_draining(&self) -> bool {
        self.inner.draining.get()
    }

    /// Stores a job and runs it on this node, unless it was stored before.
    pub(crate) async fn accept(
        &self,
        id: &str,
        host: &str,
        path: &str,
        route: &Route,
        body: &[u8],
    ) -> Result<(), CallError> {
        if self.inner.runner.job(id).is_some() {
            return Ok(());
        }
        let decoded = self.parts().protocol.batch_job(id.to_owned(), host, path, body);
        let mut job = decoded.map_err(|error| CallError::new(ErrorKind::BadRequest, error))?;
        set_limits(&mut job, route);
        let runner = self.parts();
        // If this node goes silent at once after the acceptance, the leader knows of the job.
        let announced = runner.checkpoints.announce(id);
        let stored = self.parts().ledger.accept(&job, &runner.vm, runner.address);
        let (stored, ()) = futures_util::future::join(stored, announced).await;
        match stored {
            Accepted::Stored(record, revision) => {
                runner.observer.job(JobChange::Accepted);
                log::info!(target: "batch", "job accepted job={id} items={} step={} model={} min_version={}", job.items.len(), job.step, job.model, job.min_version);
                self.inner.runner.start_job(id, record, revision, job.items);
                Ok(())
            }
            Accepted::Exists(record, revision) => {
                // The stored record may be this node's own, of a try whose answer was lost.
                if record.runner == runner.vm && record.address == runner.address {
                    self.inner.runner.start_job(id, record, revision, job.items);
                }
                Ok(())
            }
            Accepted::NotStored(error) => {
                runner.observer.job(JobChange::Refused);
                log::warn!(target: "batch", "job refused job={id} error={error}");
                let error = CallError::new(ErrorKind::StoreUnavailable, error.to_string());
                Err(error.with_retry_after(self.inner.options.submit_retry))
            }
            Accepted::Unknown(error) => {
                runner.observer.job(JobChange::InDoubt);
                log::warn!(target: "batch", "job in doubt job={id} error={error}");
                Err(CallError::new(ErrorKind::DeadlineExceeded, error.to_string()))
            }
        }
    }

    /// Serves a caller's call on a job.
    pub async fn call(&self, call: BatchCall, head: &CallHead) -> Response<Body> {
        let started = Instant::now();
        let (job, response) = match &call {
            BatchCall::Read { job, from } => {
                let wait = head.read_wait.unwrap_or(Duration::ZERO);
                (job, self.read(job, *from, wait.min(self.inner.options.max_read_wait)).await)
            }
            BatchCall::ItemBody { job, item } => (job, self.item_body(job, item).await),
            BatchCall::End { job } => (job, self.end(job).await),
        };
        let (status, ms) = (response.status(), started.elapsed().as_millis());
        let level = if status.is_success() { log::Level::Info } else { log::Level::Warn };
        match &call {
            BatchCall::Read { from, .. } => {
                log::log!(target: "batch", level, "read answered job={job} from={from} status={} ms={ms}", status.as_u16());
            }
            BatchCall::ItemBody { item, .. } => {
                log::log!(target: "batch", level, "body answered job={job} item={item} status={} ms={ms}", status.as_u16());
            }
            BatchCall::End { .. } => {
                log::log!(target: "batch", level, "end answered job={job} status={} ms={ms}", status.as_u16());
            }
        }
        response
    }

    async fn read(&self, id: &str, from: usize, wait: Duration) -> Response<Body> {
        let there = |node| async move { self.inner.peers.read(node, id, from, wait).await };
        match self.find(id, there).await {
            Found::Here(job) => self.read_here(&job, from, wait).await,
            // It was read from the object API just now.
            Found::Copy(job) => self.page(&job, from),
            Found::Answered(response) => response,
        }
    }

    async fn item_body(&self, id: &str, item: &str) -> Response<Body> {
        let there = |node| async move { self.inner.peers.item_body(node, id, item).await };
        match self.find(id, there).await {
            Found::Here(job) | Found::Copy(job) => self.item_body_here(&job, item),
            Found::Answered(response) => response,
        }
    }

    async fn end(&self, id: &str) -> Response<Body> {
        let there = |node| async move { self.inner.peers.end(node, id).await };
        match self.find(id, there).await {
            Found::Here(job) | Found::Copy(job) => self.end_here(&job).await,
            Found::Answered(response) => response,
        }
    }

    /// Finds out which node runs a job, and takes it over if that node does not answer.
    pub(crate) async fn look_after(&self, id: &str) {
        let there = |node| async move { self.inner.peers.ask_runner(node, id).await };
        let status = match self.find(id, there).await {
            Found::Here(_) | Found::Copy(_) => StatusCode::OK,
            Found::Answered(response) => response.status(),
        };
        log::debug!(target: "batch", "silent job job={id} status={status}");
        if status == ErrorKind::UnknownJob.row().status {
            // It was announced and then not stored.
            self.parts().checkpoints.remove(id).await;
        }
    }

    /// Finds a job for a call: here, or at the node that runs it, which is asked with `there`. A job
    /// whose node is gone is taken over. If the node lives and does not answer in time, or refers to
    /// the object API, this node reads a copy of the job there.
    async fn find<T>(&self, id: &str, there: impl Fn(SocketAddr) -> T) -> Found
    where
        T: Future<Output = Result<WholeResponse, NetError>>,
    {
        if !is_valid_id(id) {
            return Found::Answered(unknown_job(id));
        }
        if let Some(job) = self.known(id) {
            return Found::Here(job);
        }
        let hint = self.inner.runners.borrow().get(id).copied();
        let mut hint = hint.or_else(|| self.other_leader().map(|leader| leader.address));
        let mut silent = Vec::new();
        for _ in 0..FIND_TRIES {
            let is_hint = hint.is_some();
            let node = match hint.take() {
                Some(node) => node,
                None => match self.locate(id, &silent).await {
                    Ok(Some(Place::Here(job))) => return Found::Here(job),
                    Ok(Some(Place::There(node))) => node,
                    Ok(None) => return Found::Answered(unknown_job(id)),
                    Err(error) => {
                        log::info!(target: "batch", "job not found out job={id} error={error}");
                        return Found::Answered(unsure(id));
                    }
                },
            };
            match there(node).await {
                Ok(answer) if answer.status == RUNS_ELSEWHERE => {
                    self.inner.runners.borrow_mut().remove(id);
                    let address = std::str::from_utf8(&answer.body).ok();
                    hint = address.and_then(|address| address.parse().ok());
                    hint = hint.filter(|hint| *hint != self.parts().address);
                }
                Ok(answer) if answer.status == NOT_HERE => {
                    self.inner.runners.borrow_mut().remove(id);
                    if !is_hint {
                        log::info!(target: "batch", "runner does not know job={id} node={node}");
                        silent.push(node);
                    }
                }
                Ok(answer) => {
                    self.inner.runners.borrow_mut().insert(id.to_owned(), node);
                    if answer.status == AT_OBJECT_API {
                        return self.copy(id).await;
                    }
                    return Found::Answered(peer_response(answer));
                }
                Err(error) => {
                    log::info!(target: "batch", "node does not answer job={id} node={node} error={error}");
                    // A node that lives may be slow, or slow to find out the state of the job.
                    if self.inner.peers.is_alive(node).await {
                        return self.copy(id).await;
                    }
                    self.inner.runners.borrow_mut().remove(id);
                    silent.push(node);
                }
            }
        }
        Found::Answered(unsure(id))
    }

    /// Reads a job that another node runs from the object API.
    async fn copy(&self, id: &str) -> Found {
        let loaded = match self.parts().ledger.record(id).await {
            Ok(Some((record, revision))) => self.load_for_reads(id, record, revision).await,
            Ok(None) => return Found::Answered(unknown_job(id)),
            Err(error) => Err(error),
        };
        match loaded {
            Ok(job) => Found::Copy(job),
            Err(error) => {
                log::info!(target: "batch", "job not copied job={id} error={error}");
                Found::Answered(unsure(id))
            }
        }
    }

    pub(crate) fn known(&self, id: &str) -> Option<Rc<Job>> {
        let settled = || self.inner.settled.borrow().iter().find(|job| job.id == id).cloned();
        self.inner.runner.job(id).or_else(settled)
    }

    /// Finds out where a job is run. A job of a node among `silent` is taken over.
    pub(crate) async fn locate(
        &self,
        id: &str,
        silent: &[SocketAddr],
    ) -> Result<Option<Place>, StoreError> {
        let Some((record, revision)) = self.parts().ledger.record(id).await? else {
            return Ok(None);
        };
        if let Some(job) = self.inner.runner.job(id) {
            return Ok(Some(Place::Here(job)));
        }
        let runner = self.parts();
        if record.runner == runner.vm && record.address == runner.address {
            let job = self.inner.runner.load_job(id, record, revision).await?;
            return Ok(Some(Place::Here(job)));
        }
        if !silent.contains(&record.address) {
            return Ok(Some(Place::There(record.address)));
        }
        if record.ended {
            let job = self.load_for_reads(id, record, revision).await?;
            return Ok(Some(Place::Here(job)));
        }
        self.take_over(id, record, revision).await.map(Some)
    }

    async fn take_over(
        &self,
        id: &str,
        record: JobRecord,
        revision: u64,
    ) -> Result<Place, StoreError> {
        let runner = self.parts();
        let from = record.runner.clone();
        let record = JobRecord { runner: runner.vm.clone(), address: runner.address, ..record };
        let revision = match self.parts().ledger.replace(id, revision, &record).await {
            Ok(revision) => revision,
            Err(StoreError::Conflict(_)) => {
                // Another node was faster.
                let current = self.parts().ledger.record(id).await?;
                let (record, _) = current.ok_or(StoreError::Conflict(None))?;
                return Ok(Place::There(record.address));
            }
            Err(error) => return Err(error),
        };
        runner.observer.job(JobChange::TakenOver);
        log::info!(target: "batch", "job taken over job={id} from={from}");
        self.inner.runner.load_job(id, record, revision).await.map(Place::Here)
    }

    /// Loads a job for reads, and keeps it if it no longer changes.
    async fn load_for_reads(
        &self,
        id: &str,
        record: JobRecord,
        revision: u64,
    ) -> Result<Rc<Job>, StoreError> {
        let job = Rc::new(self.inner.runner.inner.stored_job(id, record, revision).await?);
        job.stop.cancel();
        if job.is_ended() || job.is_complete() {
            let mut settled = self.inner.settled.borrow_mut();
            settled.retain(|known| known.id != id);
            settled.truncate(MAX_SETTLED - 1);
            settled.push_front(job.clone());
        }
        Ok(job)
    }

    pub(crate) async fn read_here(
        &self,
        job: &Rc<Job>,
        from: usize,
        wait: Duration,
    ) -> Response<Body> {
        let until = Instant::now() + wait;
        let mut positions = job.positions.subscribe();
        loop {
            let listed = job.listed.borrow().len();
            if listed > from || job.is_complete() {
                return self.page(job, from);
            }
            if job.is_ended() {
                return self.read_ended(job, from).await;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let _ = monoio::time::timeout(left, positions.changed()).await;
        }
        if job.confirmed_at.get().elapsed() >= self.inner.options.sure_for
            && let Err(error) = publish::confirm(&self.inner.runner.inner, job).await
        {
            log::info!(target: "batch", "read not sure job={} error={error}", job.id);
            return unsure(&job.id);
        }
        if job.stop.is_cancelled() && !job.is_ended() {
            return unsure(&job.id);
        }
        self.page(job, from)
    }

    /// Reads a job that was ended. Its runner may have stored a last chunk while this node loaded it.
    async fn read_ended(&self, job: &Rc<Job>, from: usize) -> Response<Body> {
        if job.confirmed_at.get().elapsed() >= self.inner.options.sure_for {
            let started = Instant::now();
            if let Err(error) = publish::list_stored(&self.inner.runner.inner, job).await {
                log::info!(target: "batch", "read not sure job={} error={error}", job.id);
                return unsure(&job.id);
            }
            job.confirmed_at.set(started);
        }
        self.page(job, from)
    }

    fn page(&self, job: &Job, from: usize) -> Response<Body> {
        let listed = job.listed.borrow();
        let from = from.min(listed.len());
        let mut bytes = 0;
        let fits = |result: &&Rc<deck_fleet::ItemResult>| {
            bytes += result.encoded_bytes();
            bytes <= self.inner.options.max_page_bytes
        };
        let count = listed[from..].iter().take_while(fits).count();
        let count = count.max(usize::from(from < listed.len()));
        let page = ResultPage { total: job.total(), from, results: &listed[from..from + count] };
        json_bytes(StatusCode::OK, self.parts().protocol.result_page(page))
    }

    pub(crate) fn item_body_here(&self, job: &Job, item: &str) -> Response<Body> {
        let Some(run) = job.unlisted_item(item) else {
            return error_response(&CallError::new(ErrorKind::UnknownJob, "no such item"), item);
        };
        match self.parts().protocol.item_body(&run.item.body) {
            Ok(body) => Response::new(Body::full(body)),
            Err(error) => error_response(&CallError::new(ErrorKind::Internal, error), item),
        }
    }

    pub(crate) async fn end_here(&self, job: &Rc<Job>) -> Response<Body> {
        if job.is_ended() || job.is_complete() {
            job.stop.cancel();
            return Response::new(Body::empty());
        }
        for _ in 0..END_TRIES {
            let record = JobRecord { ended: true, ..job.record.borrow().clone() };
            match self.parts().ledger.replace(&job.id, job.revision.get(), &record).await {
                Ok(revision) => {
                    job.record.replace(record);
                    job.revision.set(revision);
                    job.stop.cancel();
                    let observer = &self.parts().observer;
                    observer.job(JobChange::Ended);
                    for _ in 0..job.open_groups() {
                        observer.group(false);
                    }
                    log::info!(target: "batch", "job ended job={} listed={}", job.id, job.listed.borrow().len());
                    return Response::new(Body::empty());
                }
                Err(StoreError::Conflict(_)) => {
                    if publish::confirm(&self.inner.runner.inner, job).await.is_err() {
                        break;
                    }
                    if job.is_ended() {
                        return Response::new(Body::empty());
                    }
                }
                Err(error) => {
                    log::warn!(target: "batch", "end not stored job={} error={error}", job.id);
                    break;
                }
            }
        }
        unsure(&job.id)
    }

    /// Returns the leader, unless it is this node.
    pub(crate) fn other_leader(&self) -> Option<Leader> {
        let leader = self.inner.feed.leader()?;
        (leader.vm != self.parts().vm).then_some(leader)
    }
}

/// Nodes that are asked for a job before a call on it is refused; one of them may only know who runs
/// it.
const FIND_TRIES: usize = 4;
/// Settled jobs that a node keeps for reads; a job takes about a megabyte.
const MAX_SETTLED: usize = 8;
/// Pages of settled jobs that a node sends to other nodes in bytes per second. Further ones are read
/// from the object API, so that reads of old jobs do not fill the link that open jobs need.
const SETTLED_BYTES_PER_S: f64 = 1024.0 * 1024.0;
/// Tries to store the end of a job whose record another node changes at the same time.
const END_TRIES: u32 = 4;

fn set_limits(job: &mut BatchJob, route: &Route) {
    job.limits = BatchLimits {
        results_due_ms: route.results_due.as_millis() as u64,
        give_up_ms: route.give_up.as_millis() as u64,
        attempts: route.attempts,
        single_version: route.single_version,
        priority: route.priority,
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    job.submitted_at_ms = now.as_millis() as u64;
}

/// Returns whether an id can be part of an object's name.
pub(crate) fn is_valid_id(id: &str) -> bool {
    const MAX_BYTES: usize = 128;
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !id.is_empty() && id.len() <= MAX_BYTES && id.bytes().all(allowed)
}

pub(crate) fn accepted() -> Response<Body> {
    status_only(StatusCode::ACCEPTED)
}

fn unknown_job(id: &str) -> Response<Body> {
    error_response(&CallError::new(ErrorKind::UnknownJob, "no such job"), id)
}

fn unsure(id: &str) -> Response<Body> {
    let message = "the state of the job cannot be read now";
    let error = CallError::new(ErrorKind::StoreUnavailable, message);
    error_response(&error.with_retry_after(Duration::from_millis(300)), id)
}

fn json_bytes(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn peer_response(answer: WholeResponse) -> Response<Body> {
    json_bytes(answer.status, answer.body)
}
