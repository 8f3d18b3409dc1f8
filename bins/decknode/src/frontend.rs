//! Serves the requests of callers: plain requests, streams and batch jobs.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::BatchService;
use deck_core::{
    CancellationToken,
    error::{CallError, ErrorKind},
    id::OrganisationId,
};
use deck_fleet::{
    BatchCall, Configuration, FleetView, PlatformProtocol, RequestMetadata, Route, RouteKind,
};
use deck_forward::{ForwardRequest, Forwarder, error_response, response_from_reply};
use deck_net::{Body, NetError, account::hold_decoded_json, server::read_body};
use futures_util::future::Either;
use http::{HeaderValue, Method, Request, Response, header};
use hyper::body::Incoming;

use crate::{
    authentication::{self, Access},
    metrics::{NodeMetrics, RequestPurpose},
};

/// Timeout of a request whose route sets none.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// `Retry-After` in refusals while the node stops; callers retry at other nodes.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time before the last moment for answers at which targets are given up, so that the answer states
/// whether the request may have run.
const STOPPING_ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Minimum time left to an idempotent request, as a multiple of the target latency of its route.
const STOPPING_LATENCY_RATIO: u32 = 2;

/// Last moment at which a stopping node answers its open requests; clones share it.
#[derive(Clone, Default)]
pub struct StopDeadline {
    /// `None` until the node stops.
    answer_by: Rc<Cell<Option<Instant>>>,
    /// Cancelled at `answer_by`.
    is_reached: CancellationToken,
}

impl StopDeadline {
    /// Sets the deadline of a node that stops.
    pub fn set(&self, answer_by: Instant) {
        self.answer_by.set(Some(answer_by));
        let is_reached = self.is_reached.clone();
        monoio::spawn(async move {
            monoio::time::sleep(answer_by.saturating_duration_since(Instant::now())).await;
            is_reached.cancel();
        });
    }

    /// Returns whether the node stops.
    pub fn is_stopping(&self) -> bool {
        self.answer_by.get().is_some()
    }

    /// Returns the deadline of a request, which ends before the node does.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the node stops too soon. An idempotent request needs some multiples of the
    /// usual time, as it can be answered with an error that lets the caller repeat it. All others have
    /// to be able to use all of their time: a request that may not be repeated, and a stream, whose
    /// events go on after the head of the answer.
    fn limit_deadline(
        &self,
        route: &Route,
        deadline: Instant,
        now: Instant,
    ) -> Result<Instant, CallError> {
        let Some(answer_by) = self.answer_by.get() else { return Ok(deadline) };
        let last_moment = answer_by.checked_sub(STOPPING_ANSWER_MARGIN).unwrap_or(answer_by);
        let own_time = deadline.saturating_duration_since(now);
        let needed_time = match route.kind {
            RouteKind::Idempotent => own_time.min(route.target_latency * STOPPING_LATENCY_RATIO),
            RouteKind::NonIdempotent | RouteKind::Streaming | RouteKind::Rollout => own_time,
        };
        if last_moment.saturating_duration_since(now) < needed_time {
            let error = CallError::new(ErrorKind::Draining, "the node stops");
            return Err(error.with_retry_after(STOPPING_RETRY_AFTER));
        }
        Ok(deadline.min(last_moment))
    }
}

/// HTTP handler for callers; clones share its state.
#[derive(Clone)]
pub struct Frontend {
    /// This node's view of the configuration and the targets.
    pub view: FleetView,
    /// Forwards plain requests and streams to targets.
    pub forwarder: Forwarder,
    /// Accepts batch jobs, and serves reads of their results and requests to end them.
    pub batch: BatchService,
    /// Translates between the platform's wire format and the types of this system.
    pub protocol: Rc<dyn PlatformProtocol>,
    /// Set while the process stops: responses ask callers to close the connection and reconnect
    /// elsewhere.
    pub stop: StopDeadline,
    /// Records the number, status and duration of requests.
    pub metrics: NodeMetrics,
    /// Time after the acknowledgement of its withdrawal after which no key may be accepted; `None` if
    /// the configuration in force counts whatever its age.
    pub key_withdrawal: Option<Duration>,
}

impl Frontend {
    /// Serves one request and records its metrics. A request that is still open when the process has
    /// to stop is answered with an error.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let (arrived_at, uri) = (Instant::now(), request.uri());
        let batch_call = self.protocol.parse_batch_call(request.method(), uri.path(), uri.query());
        let head = self.protocol.decode_request_metadata(request.headers());
        let request_id = head.request_id.clone().unwrap_or_default();
        let (purpose, served) = match batch_call {
            Some(call) => {
                let host = request_host(&request).map(str::to_owned);
                let served = async move { self.call_batch_job(call, host.as_deref(), &head).await };
                (RequestPurpose::Batch, Either::Left(served))
            }
            None => {
                let configuration = self.view.configuration();
                let route = configuration
                    .as_ref()
                    .and_then(|configuration| find_route(configuration, &request));
                let purpose = route_purpose(route.as_deref());
                let served =
                    self.submit_or_forward(request, head, arrived_at, configuration, route);
                (purpose, Either::Right(served))
            }
        };
        let served = self.stop.is_reached.run_until_cancelled(served).await;
        let mut response = served.unwrap_or_else(|| {
            log::warn!(target: "front", "not answered before the node stops request={request_id}");
            let error = CallError::new(ErrorKind::DeadlineExceeded, "the node stops");
            error_response(&error.with_retry_after(STOPPING_RETRY_AFTER), &request_id)
        });
        let error = response.extensions().get::<ErrorKind>().copied();
        self.metrics.record_request(
            &purpose,
            response.status().as_u16(),
            error,
            arrived_at.elapsed(),
        );
        if self.stop.is_stopping() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Serves a call on an existing batch job.
    async fn call_batch_job(
        &self,
        call: BatchCall,
        host: Option<&str>,
        head: &RequestMetadata,
    ) -> Response<Body> {
        let configuration = self.view.configuration();
        let access = Access::BatchCall { host };
        match self.authenticate(configuration.as_deref(), access, head) {
            Ok(organisation) => self.batch.call(call, organisation.as_deref(), head).await,
            Err(error) => self.refuse(&error, head.request_id.as_deref().unwrap_or_default()),
        }
    }

    /// Returns the name of the caller's organisation; `None` if the caller needs none.
    fn authenticate(
        &self,
        configuration: Option<&Configuration>,
        access: Access<'_>,
        head: &RequestMetadata,
    ) -> Result<Option<OrganisationId>, CallError> {
        let is_current = self.key_withdrawal.is_none_or(|bound| self.view.allows_keys(bound));
        let key = head.key.as_ref();
        let organisation = authentication::authenticate(configuration, is_current, access, key)?;
        Ok(organisation.map(|organisation| organisation.name.clone()))
    }

    /// Answers a request with an error without running it.
    fn refuse(&self, error: &CallError, request_id: &str) -> Response<Body> {
        let knowledge = self.view.version_and_age();
        log::warn!(target: "front", "refused request={request_id} {knowledge} error={error}");
        error_response(error, request_id)
    }

    /// Submits a batch job, or forwards a plain request or stream to a target.
    async fn submit_or_forward(
        &self,
        request: Request<Incoming>,
        head: RequestMetadata,
        arrived_at: Instant,
        configuration: Option<Rc<Configuration>>,
        route: Option<Rc<Route>>,
    ) -> Response<Body> {
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let request_id = head.request_id.clone().unwrap_or_default();
        let refuse = |error: CallError| self.refuse(&error, &request_id);
        let Some(configuration) = configuration.filter(|_| self.view.is_complete()) else {
            return refuse(authentication::not_ready());
        };
        let Some(route) = route else {
            return refuse(CallError::new(ErrorKind::UnknownPool, "no route for host and path"));
        };
        let access = Access::Route(&route);
        let organisation = match self.authenticate(Some(&configuration), access, &head) {
            Ok(organisation) => organisation,
            Err(error) => return refuse(error),
        };
        if request_id.is_empty() {
            return refuse(CallError::new(ErrorKind::BadRequest, "the request has no id"));
        }
        let host = request_host(&request).unwrap_or_default().to_owned();
        let (mut parts, body) = request.into_parts();
        if configuration.organisations.is_some() {
            self.protocol.remove_credentials(&mut parts.headers);
        }
        let body = match read_body(body, configuration.limits.max_body_bytes).await {
            Ok(body) => body,
            Err(error) => return refuse(body_refusal(&error)),
        };
        if route.kind == RouteKind::Rollout && method == Method::POST {
            if let Err(error) = hold_decoded_json(&body) {
                return refuse(body_refusal(&error));
            }
            return self.batch.submit(&host, uri.path(), &route, organisation, &head, body).await;
        }
        let timeout = if route.timeout.is_zero() { DEFAULT_REQUEST_TIMEOUT } else { route.timeout };
        let deadline = arrived_at + head.deadline.map_or(timeout, |deadline| deadline.min(timeout));
        let deadline = match self.stop.limit_deadline(&route, deadline, Instant::now()) {
            Ok(deadline) => deadline,
            Err(error) => return refuse(error),
        };
        let call = ForwardRequest {
            organisation,
            request_id: request_id.clone(),
            method: method.clone(),
            uri,
            headers: parts.headers,
            body,
            route,
            deadline,
            last_event: head.last_event,
            resumes: head.resumes,
            max_stream_duration: head.deadline.map_or(timeout, |wait| wait.max(timeout)),
            is_owed: false,
        };
        match self.forwarder.forward(call).await {
            Ok(reply) => response_from_reply(reply, &method),
            Err(error) => error_response(&error, &request_id),
        }
    }
}

/// Returns the refusal of a request whose body was not received or cannot be decoded.
fn body_refusal(error: &NetError) -> CallError {
    let kind = match error {
        NetError::BodyTooLarge(_) | NetError::DecodedTooLarge(_) => ErrorKind::BodyTooLarge,
        NetError::OutOfMemory => ErrorKind::Overloaded,
        NetError::BodyTimeout => ErrorKind::RequestTimeout,
        _ => ErrorKind::BadRequest,
    };
    CallError::new(kind, error.to_string())
}

/// Returns the purpose of a request that is not a call on a batch job.
fn route_purpose(route: Option<&Route>) -> RequestPurpose {
    route.map_or(RequestPurpose::NoRoute, |route| RequestPurpose::Route {
        kind: route.kind,
        name: route.name.clone(),
    })
}

/// Returns the route for the host and path of a request.
fn find_route(configuration: &Configuration, request: &Request<Incoming>) -> Option<Rc<Route>> {
    configuration.route(request_host(request)?, request.uri().path()).cloned()
}

/// Returns the host of a request without its port, from the `Host` header or else from the URI.
fn request_host(request: &Request<Incoming>) -> Option<&str> {
    let host_header = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host_header.or_else(|| request.uri().host())?;
    Some(host.split(':').next().unwrap_or(host))
}
