//! HTTP interface for trainers.

use std::{rc::Rc, time::Duration};

use deck_core::{
    CancellationToken,
    error::{CallError, ErrorKind},
};
use deck_net::{
    Body, NetError,
    http::{HeaderValue, Method, Request, Response, header},
    server::{json_response, read_body},
};
use hyper::body::Incoming;
use serde::Serialize;

use crate::{
    owner::RolloutJobManager,
    protocol::{PullRequest, PullResponse},
};

/// Maximum size of a pull request body. The bitmap of the largest step takes 16 KiB.
const MAX_PULL_BYTES: usize = 64 * 1024;
/// Time limit for receiving the body of a pull.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Response to `GET /v1/jobs`.
#[derive(Debug)]
#[derive(Serialize)]
struct JobList {
    /// Names of the jobs that this VM owns.
    owned: Vec<String>,
}

/// HTTP request handler for trainers; clones share their state.
#[derive(Clone)]
pub struct TrainerService {
    job_manager: RolloutJobManager,
    drain: CancellationToken,
}

impl TrainerService {
    /// Creates a handler. When `drain` is cancelled, waiting pulls are answered immediately.
    pub fn new(job_manager: RolloutJobManager, drain: CancellationToken) -> Self {
        Self { job_manager, drain }
    }

    /// Routes and answers one HTTP request.
    pub async fn respond(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let method = request.method().clone();
        match segments.as_slice() {
            ["v1", "jobs"] if method == Method::GET => {
                json_response(200, &JobList { owned: self.job_manager.owned_job_names() })
            }
            ["v1", "jobs", job] if method == Method::GET => self.status(job),
            ["v1", "jobs", job, "pull"] if method == Method::POST => {
                match self.pull(job, request.into_body()).await {
                    Ok(response) => response,
                    Err(error) => error_response(&error),
                }
            }
            ["v1", "jobs", ..] => {
                let message = format!(
                    "{method} {path}: expected GET /v1/jobs, GET /v1/jobs/JOB or POST /v1/jobs/JOB/pull"
                );
                error_response(&CallError::new(ErrorKind::MethodNotAllowed, message))
            }
            _ => error_response(&CallError::new(ErrorKind::UnknownJob, format!("no path {path}"))),
        }
    }

    fn status(&self, job: &str) -> Response<Body> {
        match self.job_manager.owned_job(job) {
            Some(owned_job) => json_response(200, &owned_job.owned_job_status()),
            None => error_response(&CallError::new(
                ErrorKind::UnknownJob,
                format!("this VM does not own job {job}"),
            )),
        }
    }

    async fn pull(&self, job: &str, body: Incoming) -> Result<Response<Body>, CallError> {
        let body = match monoio::time::timeout(BODY_TIMEOUT, read_body(body, MAX_PULL_BYTES)).await
        {
            Ok(Ok(body)) => body,
            Ok(Err(NetError::BodyTooLarge(limit))) => {
                let message = format!("a pull has at most {limit} bytes");
                return Err(CallError::new(ErrorKind::BodyTooLarge, message));
            }
            Ok(Err(error)) => {
                return Err(CallError::new(ErrorKind::BadRequest, error.to_string()));
            }
            Err(_) => {
                let message = "the body of the pull did not arrive in time";
                return Err(CallError::new(ErrorKind::RequestTimeout, message));
            }
        };
        let request: PullRequest = serde_json::from_slice(&body)
            .map_err(|error| CallError::new(ErrorKind::BadRequest, format!("pull: {error}")))?;
        let response = match self.job_manager.owned_job(job) {
            Some(owned_job) => owned_job.pull(&request, &self.drain).await?,
            None => return self.redirect(job, &request).await,
        };
        Ok(json_response::<PullResponse>(200, &response))
    }

    /// Redirects a trainer to the owner of the job.
    async fn redirect(
        &self,
        job: &str,
        request: &PullRequest,
    ) -> Result<Response<Body>, CallError> {
        let dependencies = self.job_manager.dependencies();
        if dependencies.config.is_synced()
            && !dependencies.config.rollout_jobs().iter().any(|(name, ..)| name == job)
        {
            return Err(CallError::new(ErrorKind::UnknownJob, format!("no job {job}")));
        }
        let vm = &dependencies.options.vm;
        let owner =
            self.job_manager.owner_lookup().find_owner(job, vm, request.owner_fencing).await;
        let owner_unknown_error = || {
            let message = format!("the owner of job {job} is not known yet");
            CallError::new(ErrorKind::NotReady, message)
        };
        let location =
            format!("http://{}/v1/jobs/{job}/pull", owner.ok_or_else(owner_unknown_error)?);
        let location = HeaderValue::from_str(&location).map_err(|_| owner_unknown_error())?;
        let mut response = Response::new(Body::empty());
        *response.status_mut() = deck_net::http::StatusCode::TEMPORARY_REDIRECT;
        response.headers_mut().insert(header::LOCATION, location);
        Ok(response)
    }
}

/// Builds the HTTP response for an error.
fn error_response(error: &CallError) -> Response<Body> {
    let request_id = deck_core::id::random_id();
    let mut response = json_response(error.kind.properties().status, &error.body(&request_id));
    if let Some(wait) = error.retry_after {
        // The header has a resolution of whole seconds; rounded up so that the trainer does not
        // retry too early.
        let seconds = wait.as_millis().div_ceil(1000) as u64;
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Serves trainers until `drain` is cancelled and all pulls in flight are answered.
pub async fn serve_trainers(
    listener: monoio::net::TcpListener,
    options: deck_net::ServerOptions,
    job_manager: RolloutJobManager,
    drain: CancellationToken,
) {
    let service = Rc::new(TrainerService::new(job_manager, drain.clone()));
    let handler = move |request| {
        let service = TrainerService::clone(&service);
        service.respond(request)
    };
    deck_net::serve(listener, options, drain, handler).await;
}
