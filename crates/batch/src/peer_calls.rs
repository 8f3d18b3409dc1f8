//! Handles batch job requests from other nodes.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::error::{CallError, ErrorKind};
use deck_fleet::RouteKind;
use deck_forward::error_response;
use deck_net::{
    Body,
    account::hold_decoded_json,
    server::{empty_response, numeric_query_parameter, read_body, text_response},
};
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};

use crate::{
    BatchService,
    job::Job,
    peer_client::{
        JOBS_PATH, ORGANISATION_HEADER, PING_PATH, STATUS_NOT_RUNNER, STATUS_READ_OBJECT_API,
        STATUS_RUNS_ELSEWHERE, SUBMITTED_PATH_HEADER,
    },
    scope::caller_id,
    service::{JobLocation, accepted},
};

impl BatchService {
    /// Routes a request from another node by its method and path.
    pub async fn serve_peer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == PING_PATH {
            return empty_response(StatusCode::OK);
        }
        let Some(job_path) = path.strip_prefix(JOBS_PATH) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let (id, item) = match job_path.split_once("/items/") {
            Some((id, item)) => (id.to_owned(), Some(item.to_owned())),
            None => (job_path.to_owned(), None),
        };
        if *request.method() == Method::POST {
            return self.serve_submit(&id, request).await;
        }
        if *request.method() == Method::PUT {
            return self.serve_handover(&id, request).await;
        }
        if let Some(node) = self.runs_elsewhere(&id) {
            return text_response(STATUS_RUNS_ELSEWHERE.as_u16(), &node.to_string());
        }
        let Some(job) = self.job_for_peer(&id).await else {
            return empty_response(STATUS_NOT_RUNNER);
        };
        match (request.method().clone(), item) {
            (Method::HEAD, None) => empty_response(StatusCode::OK),
            (Method::GET, Some(item)) => self.local_item_body(&job, &item),
            (Method::GET, None) => {
                let query = request.uri().query().unwrap_or_default();
                let from = numeric_query_parameter(query, "from").unwrap_or(0) as usize;
                let wait =
                    Duration::from_millis(numeric_query_parameter(query, "wait_ms").unwrap_or(0));
                let wait = wait.min(self.inner.options.max_read_wait);
                let response = self.read_local(&job, from, wait).await;
                let bytes = response.body().size_hint().lower();
                let is_settled = job.is_ended() || job.is_past_due(Instant::now());
                let mut page_budget = self.inner.settled_page_budget.borrow_mut();
                if is_settled && !page_budget.try_take_with_debt(bytes as f64, Instant::now()) {
                    return empty_response(STATUS_READ_OBJECT_API);
                }
                response
            }
            (Method::DELETE, None) => self.end_for_peer(&job).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Returns the last known runner of a job, unless it is this node or this node holds the job.
    fn runs_elsewhere(&self, id: &str) -> Option<SocketAddr> {
        let node = self.inner.last_known_runners.borrow().get(id).copied()?;
        (node != self.deps().address && self.local_job(id).is_none()).then_some(node)
    }

    /// Returns a job that this node runs, and loads it if the node has restarted since.
    async fn job_for_peer(&self, id: &str) -> Option<Rc<Job>> {
        if let Some(job) = self.local_job(id) {
            return Some(job);
        }
        match self.locate_job(id, &[]).await {
            Ok(Some(JobLocation::Local(job))) => Some(job),
            Ok(Some(JobLocation::Remote(_)) | None) | Err(_) => None,
        }
    }

    /// Accepts a job that another node forwards to this one.
    async fn serve_submit(&self, id: &str, request: Request<Incoming>) -> Response<Body> {
        if self.inner.draining.get() {
            let error = CallError::new(ErrorKind::Draining, "this node is stopping");
            return error_response(&error, caller_id(id));
        }
        let organisation = match request.headers().get(ORGANISATION_HEADER) {
            Some(name) => match std::str::from_utf8(name.as_bytes()) {
                Ok(name) => Some(name.to_owned()),
                Err(_) => return empty_response(STATUS_NOT_RUNNER),
            },
            None => None,
        };
        let header_value = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let (host, path) =
            (header_value(header::HOST.as_str()), header_value(SUBMITTED_PATH_HEADER));
        let (Some(host), Some(path)) = (host, path) else {
            return empty_response(STATUS_NOT_RUNNER);
        };
        let configuration = self.deps().view.configuration();
        let route = configuration.and_then(|c| c.route(&host, &path).cloned());
        let Some(route) = route.filter(|route| route.kind == RouteKind::Rollout) else {
            // The sender may have a newer configuration, so this is not reported as an error of the
            // caller.
            return empty_response(STATUS_NOT_RUNNER);
        };
        let body = read_body(request.into_body(), self.inner.options.max_body_bytes).await;
        let body = body.and_then(|body| hold_decoded_json(&body).map(|()| body));
        let body = match body {
            Ok(body) => body,
            Err(error) => {
                log::info!(target: "batch", "submission not received job={id} error={error}");
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
        };
        match self.accept(id, &host, &path, &route, organisation, &body).await {
            Ok(()) => accepted(),
            Err(error) => error_response(&error, caller_id(id)),
        }
    }
}
