//! Requests of callers.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::BatchService;
use deck_core::error::{CallError, ErrorKind};
use deck_fleet::{Configuration, Protocol, Route, RouteKind, View};
use deck_forward::{Call, Forwarder, error_response, reply_response};
use deck_net::{Body, NetError, server::read_body};
use http::{HeaderValue, Method, Request, Response, header};
use hyper::body::Incoming;

use crate::metrics::{NodeMetrics, Purpose};

/// Retry-After while the node does not know the configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);
/// Time for a request that states no deadline on a route without a timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers; clones share its state.
#[derive(Clone)]
pub struct Front {
    /// Knowledge of the deployment.
    pub view: View,
    /// Forwards plain requests and streams.
    pub forwarder: Forwarder,
    /// Batch jobs.
    pub batch: BatchService,
    /// Translation.
    pub protocol: Rc<dyn Protocol>,
    /// Set when the process is stopping: callers are asked to reconnect elsewhere.
    pub draining: Rc<Cell<bool>>,
    /// Counts answers.
    pub metrics: NodeMetrics,
}

impl Front {
    /// Serves one request.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let (arrived, uri) = (Instant::now(), request.uri());
        let batch_call = self.protocol.batch_call(request.method(), uri.path(), uri.query());
        let (purpose, mut response) = match batch_call {
            Some(call) => {
                let head = self.protocol.call_head(request.headers());
                (Purpose::Batch, self.batch.call(call, &head).await)
            }
            None => {
                let configuration = self.view.configuration();
                let route = configuration.as_ref().and_then(|known| find_route(known, &request));
                let purpose = purpose_of(route.as_deref());
                (purpose, self.answer(request, arrived, configuration, route).await)
            }
        };
        let error = response.extensions().get::<ErrorKind>().copied();
        self.metrics.record(&purpose, response.status().as_u16(), error, arrived.elapsed());
        if self.draining.get() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers a request that is not a call on a batch job.
    async fn answer(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        configuration: Option<Rc<Configuration>>,
        route: Option<Rc<Route>>,
    ) -> Response<Body> {
        let head = self.protocol.call_head(request.headers());
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let id = head.request_id.clone().unwrap_or_default();
        let refuse = |error: CallError| {
            let known = self.view.known();
            log::warn!(target: "front", "refused request={id} {known} error={error}");
            error_response(&error, &id)
        };
        let Some(configuration) = configuration.filter(|_| self.view.is_complete()) else {
            let error = CallError::new(ErrorKind::NotReady, "no configuration yet");
            return refuse(error.with_retry_after(NOT_READY_RETRY));
        };
        let Some(route) = route else {
            return refuse(CallError::new(ErrorKind::UnknownPool, "no route for host and path"));
        };
        if id.is_empty() {
            return refuse(CallError::new(ErrorKind::BadRequest, "the request has no id"));
        }
        let host = host_of(&request).unwrap_or_default().to_owned();
        let (parts, body) = request.into_parts();
        let body = match read_body(body, configuration.limits.max_body_bytes).await {
            Ok(body) => body,
            Err(NetError::BodyTooLarge(limit)) => {
                let message = format!("the body is larger than {limit} bytes");
                return refuse(CallError::new(ErrorKind::BodyTooLarge, message));
            }
            Err(error) => {
                return refuse(CallError::new(ErrorKind::BadRequest, error.to_string()));
            }
        };
        if route.kind == RouteKind::Rollout && method == Method::POST {
            return self.batch.submit(&host, uri.path(), &route, &head, body).await;
        }
        let timeout = if route.timeout.is_zero() { DEFAULT_TIMEOUT } else { route.timeout };
        let deadline = arrived + head.deadline.map_or(timeout, |deadline| deadline.min(timeout));
        let call = Call {
            request_id: id.clone(),
            method: method.clone(),
            uri,
            headers: parts.headers,
            body,
            route,
            deadline,
            last_event: head.last_event,
        };
        match self.forwarder.forward(call).await {
            Ok(reply) => reply_response(reply, &method),
            Err(error) => error_response(&error, &id),
        }
    }
}

fn purpose_of(route: Option<&Route>) -> Purpose {
    route.map_or(Purpose::None, |route| Purpose::Route {
        kind: route.kind,
        name: route.name.clone(),
    })
}

fn find_route(configuration: &Configuration, request: &Request<Incoming>) -> Option<Rc<Route>> {
    configuration.route(host_of(request)?, request.uri().path()).cloned()
}

/// Returns the host that a request names, without a port.
fn host_of(request: &Request<Incoming>) -> Option<&str> {
    let named = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or_else(|| request.uri().host())?;
    Some(host.split(':').next().unwrap_or(host))
}
