//! Entry point for HTTP requests of callers: routes each request and returns its response.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
    time::Instant,
};

use deck_core::{
    CancellationToken,
    error::{CallError, ErrorKind},
    timer::TimerService,
};
use deck_limit::{Admission, RetryBudget, TokenBucket, crash::CrashTracker};
use deck_net::{
    Body, Client,
    http::{HeaderValue, Request, Response, header, request::Parts},
    server::json_response,
};
use deck_obs::metrics::Metrics;
use deck_peer::{PeerService, Topic};
use deck_plat::Store;
use deck_route::{Router, predict::LengthPredictor};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::Notify;

use crate::{
    at_most_once, background,
    body::{BodyMemoryBudget, BufferedBody},
    call::Call,
    completion,
    completion_api::CompletionRequest,
    execution_record::ExecutionRecords,
    metrics::CallMetrics,
    options::CallHandlerOptions,
    pool_index::PoolIndex,
    request_head::{CallHead, Route, request_id},
    response::{error_response, set_request_id},
    service,
    shared::{SharedRef, SharedState},
    ticket::TicketIssuer,
    usage::UsageTable,
    usage_writer,
};

/// Ratio of the rate limits for reads and writes of claims. The object API sustains about five
/// times as many reads as writes.
const CLAIM_READS_PER_WRITE: f64 = 5.0;

/// Dependencies of a [`CallHandler`].
pub struct CallHandlerDependencies {
    /// Selects a target for each attempt.
    pub router: Router,
    /// Admission control by pool capacity and organisation share.
    pub admission: Admission,
    /// Limits retries in proportion to the calls of an organisation.
    pub retry_budget: RetryBudget,
    /// HTTP client for requests to targets.
    pub client: Client,
    /// Connection to the other VMs; also provides the configuration.
    pub peer: PeerService,
    /// Client of the object API, for claims and usage totals.
    pub store: Store,
    /// Timer service for periodic tasks.
    pub timers: TimerService,
    /// Registry for the metrics of this process.
    pub metrics: Metrics,
    /// Cancelled when this VM announces its shutdown. Responses then close the connection, so that
    /// callers reconnect to another VM.
    pub stopping: CancellationToken,
}

/// Handles the HTTP requests of callers. Clones share their state.
#[derive(Clone)]
pub struct CallHandler {
    shared: SharedRef,
}

/// Response to a request, with the labels for its metrics.
struct HandledRequest {
    response: Response<Body>,
    code: &'static str,
    pool: String,
    priority: &'static str,
}

/// Response body of `POST /v1/tickets`.
#[derive(Serialize)]
struct TicketResponse {
    ticket: String,
    /// Time within which the ticket must be used, in milliseconds.
    expires_ms: u64,
}

impl CallHandler {
    /// Creates the handler and starts its periodic tasks on the current runtime. The tasks end when
    /// `cancel` is cancelled.
    pub fn start(
        options: CallHandlerOptions,
        dependencies: CallHandlerDependencies,
        cancel: &CancellationToken,
    ) -> Self {
        let now = Instant::now();
        let CallHandlerDependencies {
            router,
            admission,
            retry_budget,
            client,
            peer,
            store,
            timers,
            metrics,
            stopping,
        } = dependencies;
        let metrics = CallMetrics::new(&metrics);
        let at_most_once_options = options.at_most_once.clone();
        let shared = Rc::new(SharedState {
            config: peer.config(),
            router,
            admission,
            retry_budget,
            client,
            peer,
            store,
            usage: UsageTable::default(),
            body_memory: BodyMemoryBudget::new(options.body.clone(), metrics.clone()),
            metrics,
            pools: RefCell::new(PoolIndex::default()),
            records: RefCell::new(ExecutionRecords::new(at_most_once_options.clone())),
            tickets: RefCell::new(TicketIssuer::new(
                options.vm.clone(),
                options.incarnation,
                at_most_once_options,
            )),
            claim_rate: RefCell::new(TokenBucket::new(options.at_most_once.max_claims_per_s, now)),
            claim_read_rate: RefCell::new(TokenBucket::new(
                options.at_most_once.max_claims_per_s * CLAIM_READS_PER_WRITE,
                now,
            )),
            claim_deletions: RefCell::default(),
            crash_tracker: RefCell::new(CrashTracker::new(options.crash.clone())),
            suspect_attempt_ended: Notify::new(),
            length_predictor: RefCell::new(LengthPredictor::default()),
            leaving_targets: RefCell::default(),
            load_poller: RefCell::default(),
            next_engine_request: Cell::new(0),
            stopping,
            options,
        });
        background::start(&shared, &timers, cancel);
        register_peer_handlers(&shared);
        Self { shared }
    }

    /// Handles one request of a caller.
    pub fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + use<> {
        let shared = self.shared.clone();
        async move { serve_request(&shared, request).await }
    }

    /// Publishes the final usage counters of this process and waits until the status objects of the
    /// organisations include them.
    ///
    /// There is no timeout: during an outage of the object API the wait lasts until the API
    /// recovers.
    pub async fn publish_final_usage(&self) {
        usage_writer::publish_report(&self.shared);
        usage_writer::wait_until_counted(&self.shared).await;
    }

    /// Returns the number of requests in progress, including non-idempotent ones whose caller has
    /// disconnected.
    pub fn requests_in_flight(&self) -> u64 {
        self.shared.metrics.requests_in_flight()
    }
}

/// Registers the handlers for requests of other VMs.
fn register_peer_handlers(shared: &SharedRef) {
    // Weak references avoid a cycle: `peer` owns the handlers and the shared state owns `peer`.
    let weak_shared = Rc::downgrade(shared);
    shared.peer.set_request_handler(Topic::CallLookup, move |_, payload| {
        let weak_shared = weak_shared.clone();
        Box::pin(async move {
            weak_shared
                .upgrade()
                .map(|shared| at_most_once::handle_lookup(&shared, &payload))
                .unwrap_or_default()
        })
    });
    let weak_shared = Rc::downgrade(shared);
    shared.peer.set_request_handler(Topic::TicketCall, move |from, call| {
        let weak_shared = weak_shared.clone();
        Box::pin(async move {
            match weak_shared.upgrade() {
                Some(shared) => at_most_once::handle_ticket_call(&shared, &from, call).await,
                None => Default::default(),
            }
        })
    });
}

/// Handles a request and records its metrics.
async fn serve_request(shared: &SharedRef, request: Request<Incoming>) -> Response<Body> {
    let started_at = Instant::now();
    let _in_flight = shared.metrics.start_request();
    let (parts, body) = request.into_parts();
    let id = request_id(&parts.headers);
    let HandledRequest { mut response, code, pool, priority } =
        match dispatch(shared, &parts, body, started_at, &id).await {
            Ok(outcome) => outcome,
            Err(error) => HandledRequest {
                response: error_response(&error, &id),
                code: error.kind.properties().code,
                pool: String::new(),
                priority: "",
            },
        };
    let organisation = organisation_label(shared, &parts);
    shared.metrics.count_request(&pool, organisation, code);
    shared.metrics.record_duration(&pool, organisation, priority, started_at.elapsed());
    log::debug!(target: "call", "request completed request={id} pool={pool} code={code}");
    if shared.stopping.is_cancelled() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the organisation of a request as a metric label. The label is empty for an organisation
/// that is not configured, so that callers cannot create metric series.
fn organisation_label<'a>(shared: &SharedRef, parts: &'a Parts) -> &'a str {
    let header_value = parts.headers.get(crate::request_head::ORGANISATION_HEADER);
    match header_value.and_then(|value| value.to_str().ok()) {
        Some(name) if is_configured_organisation(shared, name) => name,
        _ => "",
    }
}

/// Returns `true` if the configuration contains the organisation.
fn is_configured_organisation(shared: &SharedRef, name: &str) -> bool {
    shared.pools.borrow().is_configured_organisation(name)
}

/// Validates a request and routes it to the handler for its path.
async fn dispatch(
    shared: &SharedRef,
    parts: &Parts,
    body: Incoming,
    started_at: Instant,
    id: &str,
) -> Result<HandledRequest, CallError> {
    let mut head = CallHead::try_parse(parts, &shared.options.attempts, started_at)?;
    id.clone_into(&mut head.request_id);
    if !shared.config.is_synced() {
        return Err(CallError::new(ErrorKind::NotReady, "no configuration yet"));
    }
    if !is_configured_organisation(shared, &head.organisation) {
        let message = format!("organisation {:?} is not configured", head.organisation);
        return Err(CallError::new(ErrorKind::UnknownOrganisation, message));
    }
    if let Some(job) = &head.job
        && !shared.pools.borrow().is_configured_job(job)
    {
        // Usage is counted per job. Without a common name, jobs that are not configured would
        // create an unbounded number of metric series.
        head.job = Some("unlisted".to_owned());
    }
    match head.route.clone() {
        Route::Ticket => issue_ticket(shared, &head),
        Route::Completion => {
            let body = shared.body_memory.receive(body).await?;
            handle_completion(shared, head, body, started_at).await
        }
        Route::Service { pool, path } => {
            let body = shared.body_memory.receive(body).await?;
            handle_service_call(shared, head, &pool, path, body, started_at).await
        }
    }
}

/// Issues a ticket for `POST /v1/tickets`.
fn issue_ticket(shared: &SharedRef, head: &CallHead) -> Result<HandledRequest, CallError> {
    if shared.stopping.is_cancelled() {
        // The ticket would become invalid when this process ends.
        return Err(CallError::new(ErrorKind::Draining, "this VM is stopping"));
    }
    let ticket = shared.tickets.borrow_mut().issue(&head.organisation, Instant::now());
    let ticket = ticket.ok_or_else(|| {
        CallError::new(ErrorKind::Overloaded, "too many tickets are issued and not used")
    })?;
    shared.metrics.count_ticket();
    let expires_ms = shared.options.at_most_once.ticket_lifetime.as_millis() as u64;
    let mut response =
        json_response(200, &TicketResponse { ticket: ticket.to_string(), expires_ms });
    set_request_id(response.headers_mut(), &head.request_id);
    let priority = head.priority.as_str();
    Ok(HandledRequest { response, code: "ok", pool: String::new(), priority })
}

/// Handles `POST /v1/completions`.
async fn handle_completion(
    shared: &SharedRef,
    head: CallHead,
    body: BufferedBody,
    started_at: Instant,
) -> Result<HandledRequest, CallError> {
    let request = CompletionRequest::try_parse(&body.bytes)?;
    let pool = shared.pools.borrow().pool_for_model(&request.model).ok_or_else(|| {
        CallError::new(ErrorKind::UnknownPool, format!("no pool serves model {:?}", request.model))
    })?;
    let (name, priority) = (pool.name.clone(), head.priority.as_str());
    let path = "/v1/completions".to_owned();
    let is_job_sample = shared.pools.borrow().is_job_sample(&head, &name, &request.prompt);
    let mut call = Call::new(shared.clone(), head, pool, path, body, started_at);
    if is_job_sample {
        call.set_owed();
    }
    completion::set_routing_hints(shared, &mut call, &request);
    let (response, code) = completion::handle_completion(shared, Rc::new(call), request).await;
    Ok(HandledRequest { response, code, pool: name, priority })
}

/// Handles a call to a plain service. Calls that are not idempotent execute at most once.
async fn handle_service_call(
    shared: &SharedRef,
    head: CallHead,
    pool: &str,
    path: String,
    body: BufferedBody,
    started_at: Instant,
) -> Result<HandledRequest, CallError> {
    let pool = shared.pools.borrow().service_pool(pool).ok_or_else(|| {
        CallError::new(ErrorKind::UnknownPool, format!("no service is named {pool:?}"))
    })?;
    let (name, priority) = (pool.name.clone(), head.priority.as_str());
    let idempotent = head.has_idempotent_method() || pool.is_idempotent_path(&path);
    let call = Rc::new(Call::new(shared.clone(), head, pool, path, body, started_at));
    let (response, code) = if idempotent {
        service::handle_idempotent(shared, &call).await
    } else {
        at_most_once::handle_call(shared, call).await
    };
    Ok(HandledRequest { response, code, pool: name, priority })
}
