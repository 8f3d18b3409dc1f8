//! Requests that this node sends to targets on behalf of nodes whose links are cut.

use std::{rc::Rc, time::Instant};

use deck_fleet::{FleetView, PlatformProtocol, Target, TargetState};
use deck_net::{
    Body, ClientResponse, NetError,
    hop_by_hop::strip_hop_by_hop,
    server::{read_body, text_response},
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;

use crate::{TargetAddress, TargetClient};

/// Start of the HTTP path of relayed requests; the path of the request follows.
pub const RELAY_PREFIX: &str = "/peer/target";
/// HTTP path of checks whether a target accepts connections.
pub const CHECK_PATH: &str = "/peer/target-check";
/// Header of a relayed request: the id of its target.
pub(crate) const TARGET_HEADER: HeaderName = HeaderName::from_static("x-relay-target");
/// Header of a relayed request that may run more than once.
pub(crate) const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("x-relay-repeatable");
/// Header of the response to a relayed request: its [`RelayOutcome`].
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-relay-outcome");
/// Maximum size of a request body if no configuration is known.
const DEFAULT_MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Why a request was not relayed.
type RelayFailure = (RelayOutcome, String);

/// What became of a relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayOutcome {
    /// The response is the target's.
    Answered,
    /// The request was not sent: the target is out of reach, leaving or unknown.
    Unreachable,
    /// The request was not sent: the links of the relaying node are cut too.
    CutOff,
    /// The request was sent, and there is no valid response to it.
    Broken,
}

impl RelayOutcome {
    const ALL: [Self; 4] = [Self::Answered, Self::Unreachable, Self::CutOff, Self::Broken];

    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Unreachable => "unreachable",
            Self::CutOff => "cut_off",
            Self::Broken => "broken",
        }
    }

    /// Removes the outcome from the headers of a response; `None` if another program answered.
    pub(crate) fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(OUTCOME_HEADER)?;
        Self::ALL.into_iter().find(|outcome| value == outcome.label())
    }
}

/// Serves the relayed requests of other nodes.
#[derive(Clone)]
pub struct RelayService {
    targets: TargetClient,
    view: FleetView,
    protocol: Rc<dyn PlatformProtocol>,
}

impl RelayService {
    /// Returns a service that sends requests to the targets of `view`.
    pub fn new(targets: TargetClient, view: FleetView, protocol: Rc<dyn PlatformProtocol>) -> Self {
        Self { targets, view, protocol }
    }

    /// Sends a request to its target and returns the response, whose body is passed on as it arrives.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let result = match request.uri().path() {
            CHECK_PATH => self.check(request.headers()).await,
            _ => self.relay(request).await,
        };
        match result {
            Ok(response) => response,
            Err((outcome, reason)) => {
                log::info!(target: "reach", "request not relayed outcome={} reason={reason}", outcome.label());
                let mut response = text_response(StatusCode::BAD_GATEWAY.as_u16(), &reason);
                set_outcome(&mut response, outcome);
                response
            }
        }
    }

    /// Checks whether a target accepts connections of this node.
    async fn check(&self, headers: &HeaderMap) -> Result<Response<Body>, RelayFailure> {
        let target = self.reachable_target(headers)?;
        if !self.targets.accepts_direct_connections(target.address).await {
            return Err(not_sent("the target accepts no connection"));
        }
        let mut response = Response::new(Body::empty());
        set_outcome(&mut response, RelayOutcome::Answered);
        Ok(response)
    }

    /// Returns the target that a relayed request names, if this node may reach it.
    fn reachable_target(&self, headers: &HeaderMap) -> Result<Rc<Target>, RelayFailure> {
        let id = headers.get(TARGET_HEADER).and_then(|id| id.to_str().ok());
        let target = id.and_then(|id| self.view.target(id));
        let target = target.ok_or_else(|| not_sent("unknown target"))?;
        if self.targets.are_links_cut() {
            return Err((RelayOutcome::CutOff, "the links of this node are cut".to_owned()));
        }
        match self.targets.may_try_directly(target.address) {
            true => Ok(target),
            false => Err(not_sent("the target is out of reach")),
        }
    }

    async fn relay(&self, request: Request<Incoming>) -> Result<Response<Body>, RelayFailure> {
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let uri: Option<Uri> = path.strip_prefix(RELAY_PREFIX).and_then(|path| path.parse().ok());
        let uri = uri.ok_or_else(|| not_sent("no path"))?;
        let target = self.reachable_target(&parts.headers)?;
        parts.headers.remove(TARGET_HEADER);
        if target.state != TargetState::Ready {
            return Err(not_sent("the target is leaving"));
        }
        let max_body_bytes = self
            .view
            .configuration()
            .map_or(DEFAULT_MAX_BODY_BYTES, |configuration| configuration.limits.max_body_bytes);
        let body = read_body(body, max_body_bytes).await;
        let body = body.map_err(|error| not_sent(&error.to_string()))?;
        let is_repeatable = parts.headers.remove(REPEATABLE_HEADER).is_some();
        strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        let mut target_request = Request::new(body);
        *target_request.method_mut() = parts.method;
        *target_request.uri_mut() = uri;
        *target_request.headers_mut() = parts.headers;
        let sent_at = Instant::now();
        let response =
            self.targets.send_direct((&*target).into(), target_request, is_repeatable).await;
        let response = response.map_err(|error| match error.may_have_been_sent() {
            true => (RelayOutcome::Broken, error.to_string()),
            false if self.targets.are_links_cut() => (RelayOutcome::CutOff, error.to_string()),
            false => (RelayOutcome::Unreachable, error.to_string()),
        })?;
        self.record_statements(&target, &response, sent_at);
        Ok(pass_on(response))
    }

    /// Records what a target says of itself in a response, as this node sends requests to it too.
    fn record_statements(&self, target: &Target, response: &ClientResponse, sent_at: Instant) {
        let metadata = self.protocol.decode_response_metadata(response.status, &response.headers);
        self.view.record_statements(target, &metadata, sent_at);
    }
}

/// Returns the response of a target as the response to the node that asked for it. If the body breaks
/// off, so does the body of the returned response.
fn pass_on(mut response: ClientResponse) -> Response<Body> {
    let (sender, body) = Body::stream();
    let mut passed_on = Response::new(body);
    *passed_on.status_mut() = response.status;
    *passed_on.headers_mut() = std::mem::take(&mut response.headers);
    strip_hop_by_hop(passed_on.headers_mut());
    set_outcome(&mut passed_on, RelayOutcome::Answered);
    monoio::spawn(async move {
        loop {
            let next = sender.run_until_closed(response.chunk()).await;
            // Dropping the response closes the target's connection.
            let Some(chunk) = next else { return };
            match chunk {
                Ok(Some(chunk)) => {
                    if sender.send(chunk).await.is_err() {
                        return;
                    }
                }
                Ok(None) => return sender.finish().await,
                Err(error) => {
                    log::debug!(target: "reach", "relayed response broke off error={error}");
                    return;
                }
            }
        }
    });
    passed_on
}

fn not_sent(reason: &str) -> RelayFailure {
    (RelayOutcome::Unreachable, reason.to_owned())
}

fn set_outcome(response: &mut Response<Body>, outcome: RelayOutcome) {
    let value = HeaderValue::from_static(outcome.label());
    response.headers_mut().insert(OUTCOME_HEADER, value);
}

/// Turns a request into one that another node relays to `target`.
///
/// # Errors
///
/// Returns an error if the target's id or the path cannot be sent.
pub(crate) fn relayed_request(
    target: TargetAddress<'_>,
    mut request: Request<Body>,
    is_repeatable: bool,
) -> Result<Request<Body>, NetError> {
    let not_sent = |message: String| NetError::NotSent(target.address, message);
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("{RELAY_PREFIX}{path}").parse();
    *request.uri_mut() = uri.map_err(|error| not_sent(format!("path: {error}")))?;
    let id = HeaderValue::from_str(target.id);
    let id = id.map_err(|error| not_sent(format!("target id: {error}")))?;
    request.headers_mut().insert(TARGET_HEADER, id);
    request.headers_mut().remove(REPEATABLE_HEADER);
    if is_repeatable {
        request.headers_mut().insert(REPEATABLE_HEADER, HeaderValue::from_static("1"));
    }
    Ok(request)
}

/// Returns a request that asks another node whether `target` accepts connections.
///
/// # Errors
///
/// As [`relayed_request`].
pub(crate) fn check_request(target: TargetAddress<'_>) -> Result<Request<Body>, NetError> {
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = Uri::from_static(CHECK_PATH);
    let id = HeaderValue::from_str(target.id);
    let id = id.map_err(|error| NetError::NotSent(target.address, error.to_string()))?;
    request.headers_mut().insert(TARGET_HEADER, id);
    Ok(request)
}
