//! Serves batch job requests from callers and from other nodes.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    boot_clock::BootInstant,
    error::{CallError, ErrorKind},
    id::{OrganisationId, RequestId},
    wall_clock::unix_time_ms,
};
use deck_fleet::{
    BatchCall, BatchJob, BatchLimits, FleetFeed, JobEvent, Leader, PlatformProtocol,
    RequestMetadata, ResultPage, Route,
};
use deck_forward::error_response;
use deck_limit::TokenBucket;
use deck_net::{Body, BufferedResponse, NetError, server::empty_response};
use deck_plat::StoreError;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};

use crate::{
    JobRecord, Runner, StoreJobOutcome,
    job::Job,
    peer_client::{
        BatchPeerClient, STATUS_NOT_RUNNER, STATUS_READ_OBJECT_API, STATUS_RUNS_ELSEWHERE,
    },
    publish,
    runner::RunnerDependencies,
    scope::{caller_id, is_stored_id, stored_id},
};

/// Time and size limits of a [`BatchService`].
#[derive(Debug, Clone)]
pub struct BatchOptions {
    /// Upper limit on how long a read waits for its first result.
    pub max_read_wait: Duration,
    /// Maximum size of one page of results in bytes. A page holds at least one result.
    pub max_page_bytes: usize,
    /// `Retry-After` of a submission that is refused because the object API cannot store it.
    pub submit_retry_after: Duration,
    /// Maximum size of a submission body in bytes.
    pub max_body_bytes: usize,
}

impl Default for BatchOptions {
    fn default() -> Self {
        Self {
            max_read_wait: Duration::from_millis(1000),
            max_page_bytes: 900 * 1024,
            submit_retry_after: Duration::from_millis(500),
            max_body_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Serves submissions, reads and deletions of batch jobs; clones share their state.
#[derive(Clone)]
pub struct BatchService {
    pub(crate) inner: Rc<ServiceState>,
}

/// State shared by the clones of a [`BatchService`].
pub(crate) struct ServiceState {
    /// Runs the jobs of this node.
    pub(crate) runner: Runner,
    /// Client for requests to other nodes.
    pub(crate) peers: BatchPeerClient,
    pub(crate) options: BatchOptions,
    /// Source of the current leader and of the runner of each model.
    feed: FleetFeed,
    /// Last known runner of each job. Entries may be stale.
    pub(crate) last_known_runners: RefCell<HashMap<RequestId, SocketAddr>>,
    /// Cache of ended or complete jobs that were loaded from the object API to serve reads, last
    /// loaded first.
    settled_jobs: RefCell<VecDeque<Rc<Job>>>,
    /// Limits the bytes per second of result pages of settled jobs that are sent to other nodes.
    pub(crate) settled_page_budget: RefCell<TokenBucket>,
    /// Whether this node refuses new jobs because it is stopping.
    pub(crate) draining: Cell<bool>,
}

/// Node on which a job runs.
pub(crate) enum JobLocation {
    /// This node, which runs the job or has loaded a copy of it.
    Local(Rc<Job>),
    /// Another node at this address.
    Remote(SocketAddr),
}

/// Result of looking up a job for a request.
pub(crate) enum JobLookup {
    /// The job runs on this node or is in its cache of settled jobs.
    Local(Rc<Job>),
    /// Read-only copy from the object API; the job runs on another node.
    Snapshot(Rc<Job>),
    /// Response to send to the caller: the answer of the node that runs the job, or an error.
    Response(Response<Body>),
}

impl BatchService {
    /// Creates a service that runs jobs with `runner` and calls other nodes through `peers`.
    pub fn new(
        runner: Runner,
        peers: BatchPeerClient,
        feed: FleetFeed,
        options: BatchOptions,
    ) -> Self {
        let inner = ServiceState {
            runner,
            peers,
            options,
            feed,
            last_known_runners: RefCell::default(),
            settled_jobs: RefCell::default(),
            settled_page_budget: RefCell::new(TokenBucket::new(
                SETTLED_PAGE_BYTES_PER_S,
                Instant::now(),
            )),
            draining: Cell::new(false),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Returns the dependencies of the runner.
    pub(crate) fn deps(&self) -> &RunnerDependencies {
        &self.inner.runner.inner.deps
    }

    /// Makes this node refuse jobs that other nodes submit or hand over.
    pub fn set_draining(&self) {
        self.inner.draining.set(true);
    }

    /// Submits a job to the node that should run it, or accepts it on this node if no other node
    /// does. Responds with 202 once the job is stored.
    ///
    /// `organisation` is that of the caller. Only calls of the same organisation find the job.
    pub async fn submit(
        &self,
        host: &str,
        path: &str,
        route: &Route,
        organisation: Option<OrganisationId>,
        metadata: &RequestMetadata,
        body: Bytes,
    ) -> Response<Body> {
        let chosen_id = metadata.request_id.as_deref().unwrap_or_default();
        let Some(id) = stored_id(chosen_id, organisation.as_deref()) else {
            let error = CallError::new(ErrorKind::BadRequest, "the job has no valid id");
            return error_response(&error, "");
        };
        let mut maybe_accepted = false;
        for node in self.nodes_for_submission(&body) {
            if node == self.deps().address {
                break;
            }
            match self
                .inner
                .peers
                .submit(node, &id, host, path, organisation.as_deref(), body.clone())
                .await
            {
                Ok(answer) if answer.status == StatusCode::ACCEPTED => {
                    self.inner.last_known_runners.borrow_mut().insert(id, node);
                    return accepted();
                }
                Ok(answer)
                    if answer.status.is_client_error() && answer.status != STATUS_NOT_RUNNER =>
                {
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
        match self.accept(&id, host, path, route, organisation, &body).await {
            Ok(()) => accepted(),
            Err(error) if maybe_accepted && error.kind == ErrorKind::StoreUnavailable => {
                let error = CallError::new(ErrorKind::DeadlineExceeded, error.message);
                error_response(&error, chosen_id)
            }
            Err(error) => error_response(&error, chosen_id),
        }
    }

    /// Returns the nodes to which a submission is forwarded, in order of preference.
    fn nodes_for_submission(&self, body: &[u8]) -> Vec<SocketAddr> {
        self.nodes_for_model(&self.deps().protocol.decode_batch_model(body).unwrap_or_default())
    }

    /// Returns the nodes that should run jobs of a model, in order of preference: the assigned
    /// runner of the model, then the leader.
    pub(crate) fn nodes_for_model(&self, model: &str) -> Vec<SocketAddr> {
        let runner = self.inner.feed.runner_of(model);
        let leader = self.inner.feed.leader().map(|leader| leader.address);
        let mut nodes: Vec<SocketAddr> = runner.into_iter().chain(leader).collect();
        nodes.dedup();
        nodes
    }

    /// Records that `node` runs the given jobs.
    pub fn record_runner(&self, node: SocketAddr, jobs: Vec<RequestId>) {
        let mut last_known_runners = self.inner.last_known_runners.borrow_mut();
        last_known_runners.extend(jobs.into_iter().map(|job| (job, node)));
    }

    /// Returns the ids of the jobs that are registered with the runner of this node.
    pub fn job_ids(&self) -> Vec<RequestId> {
        self.inner.runner.job_ids()
    }

    /// Returns whether this node refuses new jobs because it is stopping.
    pub fn is_draining(&self) -> bool {
        self.inner.draining.get()
    }

    /// Stores a job and starts it on this node. Succeeds without starting it if another node has
    /// stored the job already.
    pub(crate) async fn accept(
        &self,
        id: &str,
        host: &str,
        path: &str,
        route: &Route,
        organisation: Option<OrganisationId>,
        body: &[u8],
    ) -> Result<(), CallError> {
        if self.inner.runner.job(id).is_some() {
            return Ok(());
        }
        let decoded = self.deps().protocol.decode_batch_job(id.to_owned(), host, path, body);
        let mut job = decoded.map_err(|error| CallError::new(ErrorKind::BadRequest, error))?;
        let deps = self.deps();
        let own_priority = organisation.as_deref().and_then(|name| {
            let configuration = deps.view.configuration()?;
            configuration.organisations.as_ref()?.iter().find(|it| it.name == name)?.priority
        });
        if deps.view.has_organisations() {
            remove_credentials(&mut job, &*deps.protocol);
        }
        job.organisation = organisation;
        set_limits(&mut job, route, own_priority);
        // The announcement lets the leader find the job even if this node crashes right after
        // accepting it.
        let announcement = deps.checkpoints.announce(id);
        let written_at = BootInstant::now();
        let store = self.deps().job_store.store_job(&job, &deps.vm, deps.address);
        let (outcome, ()) = futures_util::future::join(store, announcement).await;
        match outcome {
            StoreJobOutcome::Stored(record, revision) => {
                deps.observer.on_job_event(JobEvent::Accepted);
                let owner = job.organisation.as_ref().map(|name| format!(" organisation={name:?}"));
                let owner = owner.unwrap_or_default();
                log::info!(target: "batch", "job accepted job={id}{owner} items={} step={} model={} min_version={}", job.items.len(), job.step, job.model, job.min_version);
                self.inner.runner.start_job(id, record, revision, written_at, job.items);
                Ok(())
            }
            StoreJobOutcome::Exists(record, revision) => {
                let runs_here = record.runner == deps.vm && record.address == deps.address;
                if runs_here && record.submitted_at_ms == job.submitted_at_ms {
                    // Stored by this call, whose first response was lost.
                    self.inner.runner.start_job(id, record, revision, written_at, job.items);
                } else if runs_here {
                    // Stored by an earlier process, which may have stored results as well.
                    let (runner, id) = (self.inner.runner.clone(), id.to_owned());
                    monoio::spawn(async move {
                        if let Err(error) = runner.load_job(&id, record, revision).await {
                            log::info!(target: "batch", "repeated job not loaded job={id} error={error}");
                        }
                    });
                }
                Ok(())
            }
            StoreJobOutcome::NotStored(error) => {
                deps.observer.on_job_event(JobEvent::Refused);
                log::warn!(target: "batch", "job refused job={id} error={error}");
                let error = CallError::new(ErrorKind::StoreUnavailable, error.to_string());
                Err(error.with_retry_after(self.inner.options.submit_retry_after))
            }
            StoreJobOutcome::Unknown(error) => {
                deps.observer.on_job_event(JobEvent::InDoubt);
                log::warn!(target: "batch", "job in doubt job={id} error={error}");
                Err(CallError::new(ErrorKind::DeadlineExceeded, error.to_string()))
            }
        }
    }

    /// Handles a caller's request to read or end a job, or to read the body of an item.
    ///
    /// `organisation` is that of the caller. A job of another organisation is answered like one that
    /// does not exist.
    pub async fn call(
        &self,
        call: BatchCall,
        organisation: Option<&str>,
        metadata: &RequestMetadata,
    ) -> Response<Body> {
        let started = Instant::now();
        let (BatchCall::Read { job, .. }
        | BatchCall::ItemBody { job, .. }
        | BatchCall::End { job }) = &call;
        let Some(job) = stored_id(job, organisation) else { return unknown_job(job) };
        let response = match &call {
            BatchCall::Read { from, .. } => {
                let wait = metadata.read_wait.unwrap_or(Duration::ZERO);
                self.read(&job, *from, wait.min(self.inner.options.max_read_wait)).await
            }
            BatchCall::ItemBody { item, .. } => self.item_body(&job, item).await,
            BatchCall::End { .. } => self.end(&job).await,
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

    /// Reads results of a job, wherever it runs.
    async fn read(&self, id: &str, from: usize, wait: Duration) -> Response<Body> {
        let call_runner = |node| async move { self.inner.peers.read(node, id, from, wait).await };
        match self.find_job(id, call_runner).await {
            JobLookup::Local(job) => self.read_local(&job, from, wait).await,
            // Just read from the object API, so it needs no search for further results.
            JobLookup::Snapshot(job) => self.results_page(&job, from),
            JobLookup::Response(response) => response,
        }
    }

    /// Reads the request body of an unfinished item, wherever the job runs.
    async fn item_body(&self, id: &str, item: &str) -> Response<Body> {
        let call_runner = |node| async move { self.inner.peers.item_body(node, id, item).await };
        match self.find_job(id, call_runner).await {
            JobLookup::Local(job) | JobLookup::Snapshot(job) => self.local_item_body(&job, item),
            JobLookup::Response(response) => response,
        }
    }

    /// Recovers a job whose runner sends no heartbeats: asks the runner, and takes the job over if
    /// the runner does not answer.
    pub(crate) async fn recover_silent_job(&self, id: &str) {
        let call_runner = |node| async move { self.inner.peers.ask_runner(node, id).await };
        let status = match self.find_job(id, call_runner).await {
            JobLookup::Local(_) | JobLookup::Snapshot(_) => StatusCode::OK,
            JobLookup::Response(response) => response.status(),
        };
        log::debug!(target: "batch", "silent job checked job={id} status={status}");
        if status == ErrorKind::UnknownJob.properties().status {
            // The job was announced but its record was never stored.
            self.deps().checkpoints.remove(id).await;
        }
    }

    /// Finds the job that a request refers to, either on this node or through `call_runner`, which
    /// sends the request to the node that runs the job.
    ///
    /// Takes the job over if its node is down. If that node is alive but does not answer in time,
    /// or refers to the object API, the request is served from a copy that is read from there.
    pub(crate) async fn find_job<T>(
        &self,
        id: &str,
        call_runner: impl Fn(SocketAddr) -> T,
    ) -> JobLookup
    where
        T: Future<Output = Result<BufferedResponse, NetError>>,
    {
        if !is_stored_id(id) {
            return JobLookup::Response(unknown_job(id));
        }
        if let Some(job) = self.local_job(id) {
            return JobLookup::Local(job);
        }
        // Node that served an earlier request for the job, the leader, or the node that a redirect
        // names. It is asked before the job's record is read, and does not count as unreachable if
        // it does not run the job.
        let suggested_node = self.inner.last_known_runners.borrow().get(id).copied();
        let mut suggested_node =
            suggested_node.or_else(|| self.other_leader().map(|leader| leader.address));
        let mut unreachable = Vec::new();
        for _ in 0..MAX_LOOKUP_ATTEMPTS {
            let is_suggested = suggested_node.is_some();
            let node = match suggested_node.take() {
                Some(node) => node,
                None => match self.locate_job(id, &unreachable).await {
                    Ok(Some(JobLocation::Local(job))) => return JobLookup::Local(job),
                    Ok(Some(JobLocation::Remote(node))) => node,
                    Ok(None) => return JobLookup::Response(unknown_job(id)),
                    Err(error) => {
                        log::info!(target: "batch", "job lookup failed job={id} error={error}");
                        return JobLookup::Response(state_unavailable(id));
                    }
                },
            };
            match call_runner(node).await {
                Ok(answer) if answer.status == STATUS_RUNS_ELSEWHERE => {
                    self.inner.last_known_runners.borrow_mut().remove(id);
                    let address = std::str::from_utf8(&answer.body).ok();
                    suggested_node = address.and_then(|address| address.parse().ok());
                    suggested_node = suggested_node
                        .filter(|suggested_node| *suggested_node != self.deps().address);
                }
                Ok(answer) if answer.status == STATUS_NOT_RUNNER => {
                    self.inner.last_known_runners.borrow_mut().remove(id);
                    if !is_suggested {
                        log::info!(target: "batch", "runner does not know job={id} node={node}");
                        unreachable.push(node);
                    }
                }
                Ok(answer) => {
                    self.inner.last_known_runners.borrow_mut().insert(id.to_owned(), node);
                    if answer.status == STATUS_READ_OBJECT_API {
                        return self.read_snapshot(id).await;
                    }
                    return JobLookup::Response(peer_response(answer));
                }
                Err(error) => {
                    log::info!(target: "batch", "node does not answer job={id} node={node} error={error}");
                    // A live node may be overloaded or waiting for the object API, so its job is
                    // not taken over.
                    if self.inner.peers.is_alive(node).await {
                        return self.read_snapshot(id).await;
                    }
                    self.inner.last_known_runners.borrow_mut().remove(id);
                    unreachable.push(node);
                }
            }
        }
        JobLookup::Response(state_unavailable(id))
    }

    /// Loads a read-only copy of a job from the object API.
    async fn read_snapshot(&self, id: &str) -> JobLookup {
        let loaded = match self.deps().job_store.read_record(id).await {
            Ok(Some((record, revision))) => self.load_snapshot(id, record, revision).await,
            Ok(None) => return JobLookup::Response(unknown_job(id)),
            Err(error) => Err(error),
        };
        match loaded {
            Ok(job) => JobLookup::Snapshot(job),
            Err(error) => {
                log::info!(target: "batch", "job not copied job={id} error={error}");
                JobLookup::Response(state_unavailable(id))
            }
        }
    }

    /// Returns a job that is registered or cached on this node.
    pub(crate) fn local_job(&self, id: &str) -> Option<Rc<Job>> {
        let settled_jobs =
            || self.inner.settled_jobs.borrow().iter().find(|job| job.id == id).cloned();
        self.inner.runner.job(id).or_else(settled_jobs)
    }

    /// Returns the node that runs a job according to its stored record. Takes the job over if that
    /// node is in `unreachable`.
    pub(crate) async fn locate_job(
        &self,
        id: &str,
        unreachable: &[SocketAddr],
    ) -> Result<Option<JobLocation>, StoreError> {
        let Some((record, revision)) = self.deps().job_store.read_record(id).await? else {
            return Ok(None);
        };
        if let Some(job) = self.inner.runner.job(id) {
            return Ok(Some(JobLocation::Local(job)));
        }
        let deps = self.deps();
        if record.runner == deps.vm && record.address == deps.address {
            let job = self.inner.runner.load_job(id, record, revision).await?;
            return Ok(Some(JobLocation::Local(job)));
        }
        if !unreachable.contains(&record.address) {
            return Ok(Some(JobLocation::Remote(record.address)));
        }
        if record.ended {
            let job = self.load_snapshot(id, record, revision).await?;
            return Ok(Some(JobLocation::Local(job)));
        }
        self.take_over(id, record, revision).await.map(Some)
    }

    /// Makes this node the runner of a job in its record, then loads and resumes the job.
    async fn take_over(
        &self,
        id: &str,
        record: JobRecord,
        revision: u64,
    ) -> Result<JobLocation, StoreError> {
        let deps = self.deps();
        let from = record.runner.clone();
        let record = JobRecord { runner: deps.vm.clone(), address: deps.address, ..record };
        let revision = match self.deps().job_store.replace_record(id, revision, &record).await {
            Ok(revision) => revision,
            Err(StoreError::Conflict(_)) => {
                // Another node took the job over first.
                let current = self.deps().job_store.read_record(id).await?;
                let (record, _) = current.ok_or(StoreError::Conflict(None))?;
                return Ok(JobLocation::Remote(record.address));
            }
            Err(error) => return Err(error),
        };
        deps.observer.on_job_event(JobEvent::TakenOver);
        log::info!(target: "batch", "job taken over job={id} from={from}");
        self.inner.runner.load_job(id, record, revision).await.map(JobLocation::Local)
    }

    /// Loads a read-only copy of a job, and caches it if the job is settled.
    async fn load_snapshot(
        &self,
        id: &str,
        record: JobRecord,
        revision: u64,
    ) -> Result<Rc<Job>, StoreError> {
        let job = Rc::new(self.inner.runner.inner.load_stored_job(id, record, revision).await?);
        job.stop_token.cancel();
        if job.is_ended() || job.is_complete() {
            let mut settled_jobs = self.inner.settled_jobs.borrow_mut();
            settled_jobs.retain(|known| known.id != id);
            settled_jobs.truncate(MAX_CACHED_SETTLED_JOBS - 1);
            settled_jobs.push_front(job.clone());
        }
        Ok(job)
    }

    /// Reads results of a job on this node. Waits for the first one, and searches the object API
    /// before it answers that there is none.
    pub(crate) async fn read_local(
        &self,
        job: &Rc<Job>,
        from: usize,
        wait: Duration,
    ) -> Response<Body> {
        let wait_deadline = Instant::now() + wait;
        let mut published_count = job.published_count.subscribe();
        let has_result = || job.published_results.borrow().len() > from || job.is_complete();
        while !has_result() && !job.is_ended() {
            let remaining = wait_deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let _ = monoio::time::timeout(remaining, published_count.changed()).await;
        }
        if !has_result() {
            let (now, runner) = (Instant::now(), &self.inner.runner.inner);
            let found = publish::find_chunks_stored_before(now, runner, job).await;
            // The runner may have stored a result meanwhile.
            if let Err(error) = found
                && !has_result()
            {
                log::info!(target: "batch", "cannot search results for read job={} error={error}", job.id);
                return state_unavailable(&job.id);
            }
        }
        self.results_page(job, from)
    }

    /// Builds a page of published results from position `from` on.
    fn results_page(&self, job: &Job, requested_from: usize) -> Response<Body> {
        let published_results = job.published_results.borrow();
        let from = requested_from.min(published_results.len());
        let mut bytes = 0;
        let fits = |result: &&Rc<deck_fleet::ItemResult>| {
            bytes += result.encoded_bytes();
            bytes <= self.inner.options.max_page_bytes
        };
        let count = published_results[from..].iter().take_while(fits).count();
        let count = count.max(usize::from(from < published_results.len()));
        if count == 0 && !job.is_complete() {
            let record = job.record.borrow();
            let checked_ms = job.ownership_age_ms();
            log::info!(target: "batch", "empty page job={} from={requested_from} listed={} chunk={} runner={} ended={} checked_ms={checked_ms}", job.id, published_results.len(), job.chunk_count.get(), record.runner, record.ended);
        }
        let page = ResultPage {
            total: job.item_count(),
            from,
            results: &published_results[from..from + count],
        };
        json_bytes(StatusCode::OK, self.deps().protocol.encode_result_page(page))
    }

    /// Returns the request body of an unfinished item of a job on this node.
    pub(crate) fn local_item_body(&self, job: &Job, item: &str) -> Response<Body> {
        let Some(item_state) = job.unpublished_item(item) else {
            return error_response(&CallError::new(ErrorKind::UnknownJob, "no such item"), item);
        };
        match self.deps().protocol.decode_item_body(&item_state.item.body) {
            Ok(body) => Response::new(Body::full(body)),
            Err(error) => error_response(&CallError::new(ErrorKind::Internal, error), item),
        }
    }

    /// Returns the leader, unless it is this node.
    pub(crate) fn other_leader(&self) -> Option<Leader> {
        let leader = self.inner.feed.leader()?;
        (leader.vm != self.deps().vm).then_some(leader)
    }
}

/// Nodes that are asked for a job before its request fails. Includes nodes that only redirect to
/// the node that runs the job.
const MAX_LOOKUP_ATTEMPTS: usize = 4;
/// Settled jobs that are cached for reads. A job takes about 1 MB of memory.
const MAX_CACHED_SETTLED_JOBS: usize = 8;
/// Bytes per second of settled result pages that this node sends to other nodes. Above this rate
/// the other nodes read from the object API, so that reads of old jobs do not saturate the link
/// that running jobs need.
const SETTLED_PAGE_BYTES_PER_S: f64 = 1024.0 * 1024.0;

/// Sets the limits of the route and the submission time on a decoded job. `own_priority` is that of
/// its organisation.
fn set_limits(job: &mut BatchJob, route: &Route, own_priority: Option<u8>) {
    job.limits = BatchLimits {
        results_due_ms: route.result_deadline.as_millis() as u64,
        give_up_ms: route.item_deadline.as_millis() as u64,
        attempts: route.max_attempts,
        single_version: route.single_version,
        priority: own_priority.unwrap_or(route.priority),
    };
    job.submitted_at_ms = unix_time_ms();
}

/// Removes the headers of items that contain keys or name an organisation, which are not stored.
fn remove_credentials(job: &mut BatchJob, protocol: &dyn PlatformProtocol) {
    let is_credential = |name: &str| {
        let Ok(name) = HeaderName::from_bytes(name.as_bytes()) else { return false };
        let mut headers = HeaderMap::from_iter([(name, HeaderValue::from_static(""))]);
        protocol.remove_credentials(&mut headers);
        headers.is_empty()
    };
    for item in &mut job.items {
        item.headers.retain(|(name, _)| !is_credential(name));
    }
}

/// Response to a submission that is stored.
pub(crate) fn accepted() -> Response<Body> {
    empty_response(StatusCode::ACCEPTED)
}

/// Response to a request for a job that does not exist.
fn unknown_job(id: &str) -> Response<Body> {
    error_response(&CallError::new(ErrorKind::UnknownJob, "no such job"), caller_id(id))
}

/// Retryable response if the state of a job cannot be determined.
pub(crate) fn state_unavailable(id: &str) -> Response<Body> {
    let message = "the state of the job cannot be read now";
    let error = CallError::new(ErrorKind::StoreUnavailable, message);
    error_response(&error.with_retry_after(Duration::from_millis(300)), caller_id(id))
}

/// Builds a JSON response from an encoded body.
fn json_bytes(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Forwards the response of another node to the caller.
fn peer_response(answer: BufferedResponse) -> Response<Body> {
    json_bytes(answer.status, answer.body)
}
