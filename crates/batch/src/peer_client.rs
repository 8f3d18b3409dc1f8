//! Client for batch job requests between nodes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use deck_net::{Body, BufferedResponse, Client, NetError};
use http::{HeaderValue, Method, Request, StatusCode, header};

/// Path prefix of batch job requests between nodes.
pub const JOBS_PATH: &str = "/peer/jobs/";
/// Header that carries the path under which the caller submitted the job.
pub const SUBMITTED_PATH_HEADER: &str = "x-submitted-path";
/// Header that carries the organisation of the caller that submitted the job.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Response status of a node that does not run the requested job.
pub const STATUS_NOT_RUNNER: StatusCode = StatusCode::GONE;
/// Response status of a node that refuses to serve a settled job because of its rate limit. The
/// sender should read the job from the object API.
pub const STATUS_READ_OBJECT_API: StatusCode = StatusCode::SEE_OTHER;
/// Response status of a node that knows that another node runs the requested job; the body is the
/// address of that node.
pub const STATUS_RUNS_ELSEWHERE: StatusCode = StatusCode::TEMPORARY_REDIRECT;
/// Path of a health check that never waits for job state.
pub const PING_PATH: &str = "/peer/ping";
/// Timeout of a request in addition to its wait time. Covers a call to the object API that is
/// relayed by a third node.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time that a read waits at another node. Bounds how long a failed node goes undetected.
const MAX_READ_WAIT: Duration = Duration::from_millis(700);
/// Timeout of the health check.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a submission, which includes writes to the object API.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Client for batch job requests to other nodes.
#[derive(Clone)]
pub struct BatchPeerClient {
    client: Client,
}

impl BatchPeerClient {
    /// Creates an instance that sends requests through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Submits a job to another node.
    ///
    /// # Errors
    ///
    /// [`NetError::may_have_been_sent`] tells whether the node may have accepted the job.
    pub async fn submit(
        &self,
        node: SocketAddr,
        id: &str,
        host: &str,
        path: &str,
        organisation: Option<&str>,
        body: Bytes,
    ) -> Result<BufferedResponse, NetError> {
        let mut request = build_peer_request(Method::POST, format!("{JOBS_PATH}{id}"), body)?;
        let organisation = organisation.map(|name| (ORGANISATION_HEADER, name));
        let headers = [(header::HOST.as_str(), host), (SUBMITTED_PATH_HEADER, path)];
        for (name, value) in headers.into_iter().chain(organisation) {
            let value = HeaderValue::from_bytes(value.as_bytes())
                .map_err(|e| NetError::Decode(e.to_string()))?;
            request.headers_mut().insert(
                http::HeaderName::from_bytes(name.as_bytes())
                    .map_err(|error| NetError::Decode(error.to_string()))?,
                value,
            );
        }
        self.call(node, request, SUBMIT_TIMEOUT).await
    }

    /// Reads the results from position `from` on. Waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub async fn read(
        &self,
        node: SocketAddr,
        id: &str,
        from: usize,
        wait: Duration,
    ) -> Result<BufferedResponse, NetError> {
        let wait = wait.min(MAX_READ_WAIT);
        let path = format!("{JOBS_PATH}{id}?from={from}&wait_ms={}", wait.as_millis());
        self.call(node, build_peer_request(Method::GET, path, Bytes::new())?, wait + CALL_TIMEOUT)
            .await
    }

    /// Asks a node whether it runs a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub async fn ask_runner(
        &self,
        node: SocketAddr,
        id: &str,
    ) -> Result<BufferedResponse, NetError> {
        let request = build_peer_request(Method::HEAD, format!("{JOBS_PATH}{id}"), Bytes::new())?;
        self.call(node, request, CALL_TIMEOUT).await
    }

    /// Reads the request body of an item.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub async fn item_body(
        &self,
        node: SocketAddr,
        id: &str,
        item: &str,
    ) -> Result<BufferedResponse, NetError> {
        let path = format!("{JOBS_PATH}{id}/items/{item}");
        self.call(node, build_peer_request(Method::GET, path, Bytes::new())?, CALL_TIMEOUT).await
    }

    /// Ends a job on the node that runs it.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub async fn end(&self, node: SocketAddr, id: &str) -> Result<BufferedResponse, NetError> {
        let path = format!("{JOBS_PATH}{id}");
        self.call(node, build_peer_request(Method::DELETE, path, Bytes::new())?, SUBMIT_TIMEOUT)
            .await
    }

    /// Returns whether a node answers the health check in time.
    pub async fn is_alive(&self, node: SocketAddr) -> bool {
        let Ok(request) = build_peer_request(Method::GET, PING_PATH.to_owned(), Bytes::new())
        else {
            return false;
        };
        self.call(node, request, PING_TIMEOUT).await.is_ok()
    }

    /// Hands a running job over to another node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer; it may still have taken the job over.
    pub async fn hand_over(
        &self,
        node: SocketAddr,
        id: &str,
        handover: Bytes,
    ) -> Result<BufferedResponse, NetError> {
        let request = build_peer_request(Method::PUT, format!("{JOBS_PATH}{id}"), handover)?;
        self.call(node, request, SUBMIT_TIMEOUT).await
    }

    async fn call(
        &self,
        node: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<BufferedResponse, NetError> {
        self.client.call(node, request, timeout, MAX_RESPONSE_BYTES).await
    }
}

fn build_peer_request(
    method: Method,
    path: String,
    body: Bytes,
) -> Result<Request<Body>, NetError> {
    let request = Request::builder().method(method).uri(path).body(Body::full(body));
    request.map_err(|error| NetError::Decode(error.to_string()))
}
