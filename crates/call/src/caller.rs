//! Entry point of the data path: one HTTP request in, one response out.

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
use deck_peer::{Peer, Topic};
use deck_plat::Store;
use deck_route::{Router, predict::LengthPredictor};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::Notify;

use crate::{
    answer::{error_response, set_request_id},
    background,
    body::{BodyMemory, HeldBody},
    call::Call,
    completion,
    engine::CompletionRequest,
    head::{CallHead, Route, request_id},
    metrics::CallMetrics,
    once,
    options::CallOptions,
    pools::Pools,
    record::Records,
    service,
    shared::{Shared, SharedRef},
    ticket::Tickets,
    usage::UsageTable,
    usage_status,
};

/// Reads of claims that are allowed for each write. The object API takes about five times as many
/// reads as writes.
const CLAIM_READS_PER_WRITE: f64 = 5.0;

/// What a [`Caller`] works with.
pub struct CallerParts {
    /// Target choice.
    pub router: Router,
    /// Admission.
    pub admission: Admission,
    /// Retry budget.
    pub budget: RetryBudget,
    /// HTTP client for targets.
    pub client: Client,
    /// Links to the other VMs; also the source of configuration.
    pub peer: Peer,
    /// Object API, for claims.
    pub store: Store,
    /// Timers of the process.
    pub timers: TimerService,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Cancelled when this VM announces that it stops: responses then ask callers to reconnect.
    pub stopping: CancellationToken,
}

/// Runs calls; clones share their state.
#[derive(Clone)]
pub struct Caller {
    shared: SharedRef,
}

/// What happened to a request, for the counters.
struct Outcome {
    response: Response<Body>,
    code: &'static str,
    pool: String,
    priority: &'static str,
}

#[derive(Serialize)]
struct TicketResponse {
    ticket: String,
    expires_ms: u64,
}

impl Caller {
    /// Starts the data path on the current runtime; its periodic tasks end when `cancel` is
    /// cancelled.
    pub fn start(options: CallOptions, parts: CallerParts, cancel: &CancellationToken) -> Self {
        let now = Instant::now();
        let CallerParts {
            router,
            admission,
            budget,
            client,
            peer,
            store,
            timers,
            metrics,
            stopping,
        } = parts;
        let metrics = CallMetrics::new(&metrics);
        let once_options = options.once.clone();
        let shared = Rc::new(Shared {
            config: peer.config(),
            router,
            admission,
            budget,
            client,
            peer,
            store,
            usage: UsageTable::default(),
            bodies: BodyMemory::new(options.body.clone(), metrics.clone()),
            metrics,
            pools: RefCell::new(Pools::default()),
            records: RefCell::new(Records::new(once_options.clone())),
            tickets: RefCell::new(Tickets::new(
                options.vm.clone(),
                options.incarnation,
                once_options,
            )),
            claim_rate: RefCell::new(TokenBucket::new(options.once.claims_per_s, now)),
            claim_read_rate: RefCell::new(TokenBucket::new(
                options.once.claims_per_s * CLAIM_READS_PER_WRITE,
                now,
            )),
            deletions: RefCell::default(),
            crashes: RefCell::new(CrashTracker::new(options.crash.clone())),
            suspect_ended: Notify::new(),
            predictor: RefCell::new(LengthPredictor::default()),
            leaving_targets: RefCell::default(),
            load_polls: RefCell::default(),
            next_try: Cell::new(0),
            stopping,
            options,
        });
        background::start(&shared, &timers, cancel);
        serve_peers(&shared);
        Self { shared }
    }

    /// Serves one request of a caller.
    pub fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + use<> {
        let shared = self.shared.clone();
        async move { serve(&shared, request).await }
    }

    /// Publishes the last usage counters of this process and waits until they are in the status of
    /// the organisations.
    ///
    /// The wait has no bound of its own: it lasts as long as an outage of the object API.
    pub async fn publish_last_usage(&self) {
        usage_status::publish(&self.shared);
        usage_status::wait_folded(&self.shared).await;
    }

    /// Returns the number of requests that are being served, abandoned non-idempotent ones included.
    pub fn in_flight(&self) -> u64 {
        self.shared.metrics.in_flight()
    }
}

fn serve_peers(shared: &SharedRef) {
    // Weak references: the peer part holds the handlers and the state holds the peer part.
    let state = Rc::downgrade(shared);
    shared.peer.serve(Topic::CallLookup, move |_, question| {
        let state = state.clone();
        Box::pin(async move {
            state
                .upgrade()
                .map(|shared| once::answer_lookup(&shared, &question))
                .unwrap_or_default()
        })
    });
    let state = Rc::downgrade(shared);
    shared.peer.serve(Topic::TicketCall, move |from, call| {
        let state = state.clone();
        Box::pin(async move {
            match state.upgrade() {
                Some(shared) => once::answer_ticket_call(&shared, &from, call).await,
                None => Default::default(),
            }
        })
    });
}

async fn serve(shared: &SharedRef, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let _in_flight = shared.metrics.enter();
    let (parts, body) = request.into_parts();
    let id = request_id(&parts.headers);
    let Outcome { mut response, code, pool, priority } =
        match route(shared, &parts, body, started, &id).await {
            Ok(outcome) => outcome,
            Err(error) => Outcome {
                response: error_response(&error, &id),
                code: error.kind.row().code,
                pool: String::new(),
                priority: "",
            },
        };
    let organisation = organisation_label(shared, &parts);
    shared.metrics.answered(&pool, organisation, code);
    shared.metrics.duration(&pool, organisation, priority, started.elapsed());
    log::debug!(target: "call", "answered request={id} pool={pool} code={code}");
    if shared.stopping.is_cancelled() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the organisation for a label; only known ones, so that callers cannot make new series.
fn organisation_label<'a>(shared: &SharedRef, parts: &'a Parts) -> &'a str {
    let named = parts.headers.get(crate::head::ORGANISATION);
    match named.and_then(|value| value.to_str().ok()) {
        Some(name) if is_organisation(shared, name) => name,
        _ => "",
    }
}

fn is_organisation(shared: &SharedRef, name: &str) -> bool {
    shared.pools.borrow().is_organisation(name)
}

async fn route(
    shared: &SharedRef,
    parts: &Parts,
    body: Incoming,
    started: Instant,
    id: &str,
) -> Result<Outcome, CallError> {
    let mut head = CallHead::try_parse(parts, &shared.options.tries, started)?;
    id.clone_into(&mut head.request_id);
    if !shared.config.is_synced() {
        return Err(CallError::new(ErrorKind::NotReady, "no configuration yet"));
    }
    if !is_organisation(shared, &head.organisation) {
        let message = format!("organisation {:?} is not configured", head.organisation);
        return Err(CallError::new(ErrorKind::UnknownOrganisation, message));
    }
    if let Some(job) = &head.job
        && !shared.pools.borrow().is_job(job)
    {
        // Usage is counted per job; names that are not configured would make series without end.
        head.job = Some("unlisted".to_owned());
    }
    match head.route.clone() {
        Route::Ticket => issue_ticket(shared, &head),
        Route::Completion => {
            let body = shared.bodies.receive(body).await?;
            complete(shared, head, body, started).await
        }
        Route::Service { pool, path } => {
            let body = shared.bodies.receive(body).await?;
            call_service(shared, head, &pool, path, body, started).await
        }
    }
}

fn issue_ticket(shared: &SharedRef, head: &CallHead) -> Result<Outcome, CallError> {
    if shared.stopping.is_cancelled() {
        // The ticket would be lost with this process.
        return Err(CallError::new(ErrorKind::Draining, "this VM is stopping"));
    }
    let ticket = shared.tickets.borrow_mut().issue(&head.organisation, Instant::now());
    let ticket = ticket.ok_or_else(|| {
        CallError::new(ErrorKind::Overloaded, "too many tickets are issued and not used")
    })?;
    shared.metrics.ticket_issued();
    let expires_ms = shared.options.once.ticket_keep.as_millis() as u64;
    let mut response =
        json_response(200, &TicketResponse { ticket: ticket.to_string(), expires_ms });
    set_request_id(response.headers_mut(), &head.request_id);
    let priority = head.priority.as_str();
    Ok(Outcome { response, code: "ok", pool: String::new(), priority })
}

async fn complete(
    shared: &SharedRef,
    head: CallHead,
    body: HeldBody,
    started: Instant,
) -> Result<Outcome, CallError> {
    let request = CompletionRequest::try_parse(&body.bytes)?;
    let pool = shared.pools.borrow().engine(&request.model).ok_or_else(|| {
        CallError::new(ErrorKind::UnknownPool, format!("no pool serves model {:?}", request.model))
    })?;
    let (name, priority) = (pool.name.clone(), head.priority.as_str());
    let path = "/v1/completions".to_owned();
    let mut call = Call::new(shared.clone(), head, pool, path, body, started);
    completion::prepare(shared, &mut call, &request);
    let (response, code) = completion::run(shared, Rc::new(call), request).await;
    Ok(Outcome { response, code, pool: name, priority })
}

async fn call_service(
    shared: &SharedRef,
    head: CallHead,
    pool: &str,
    path: String,
    body: HeldBody,
    started: Instant,
) -> Result<Outcome, CallError> {
    let pool = shared.pools.borrow().service(pool).ok_or_else(|| {
        CallError::new(ErrorKind::UnknownPool, format!("no service is named {pool:?}"))
    })?;
    let (name, priority) = (pool.name.clone(), head.priority.as_str());
    let idempotent = head.has_idempotent_method() || pool.is_idempotent_path(&path);
    let call = Rc::new(Call::new(shared.clone(), head, pool, path, body, started));
    let (response, code) = if idempotent {
        service::run_idempotent(shared, &call).await
    } else {
        once::run(shared, call).await
    };
    Ok(Outcome { response, code, pool: name, priority })
}
