//! Parsing of request heads: the path and the headers of a call.

use std::time::{Duration, Instant};

use deck_core::{
    error::{CallError, ErrorKind},
    id::{JobName, OrganisationId, PoolName, RequestId, TargetId, random_id},
    priority::Priority,
};
use deck_net::http::{HeaderMap, HeaderName, Method, header, request::Parts};

use crate::options::AttemptOptions;

/// Request header with the organisation.
pub const ORGANISATION_HEADER: HeaderName = HeaderName::from_static("x-organisation");
/// Request header with an idempotency key of the caller or a ticket.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Request header with the remaining time until the deadline, in milliseconds.
pub const DEADLINE_MS_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Request header with the priority class.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Request and response header with the request identifier.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Request header with the name of the rollout job.
pub const JOB_HEADER: HeaderName = HeaderName::from_static("x-job");
/// Request header with a comma-separated list of targets to avoid if others are available.
pub const AVOID_TARGETS_HEADER: HeaderName = HeaderName::from_static("x-avoid-targets");
/// Response header with the target that executed the call.
pub const TARGET_HEADER: HeaderName = HeaderName::from_static("x-target");
/// Response header with which a target announces that it is shutting down.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-leaving");
/// Response header with which a target states that it did not execute the request.
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");

/// Maximum length of an idempotency key or ticket.
const MAX_KEY_BYTES: usize = 256;
/// Maximum number of targets in `x-avoid-targets`; further ones are ignored.
const MAX_AVOIDED_TARGETS: usize = 16;
/// Maximum length of a request identifier.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Headers that apply to a single connection or message and are not forwarded.
pub const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
];

/// Destination of a request, derived from its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// `POST /v1/completions`: generates a completion on an engine.
    Completion,
    /// `POST /v1/tickets`: issues a ticket, which the caller sends with a non-idempotent call so
    /// that it is executed at most once.
    Ticket,
    /// Any method on `/services/{pool}/...`: a call to a plain service.
    Service {
        /// Pool that provides the service.
        pool: PoolName,
        /// Path and query after the service prefix; starts with `/`.
        path: String,
    },
}

/// Parsed head of a request.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Identifier of the request, chosen by the caller or generated.
    pub request_id: RequestId,
    /// Destination of the request.
    pub route: Route,
    /// HTTP method.
    pub method: Method,
    /// Organisation whose capacity share the call uses.
    pub organisation: OrganisationId,
    /// Priority class.
    pub priority: Priority,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Instant,
    /// Rollout job to which the call belongs, if any.
    pub job: Option<JobName>,
    /// Idempotency key or ticket, if any.
    pub idempotency_key: Option<String>,
    /// Targets to avoid if others are available.
    pub avoid_targets: Vec<TargetId>,
    /// End-to-end headers that are forwarded to the target.
    pub forwarded_headers: HeaderMap,
}

/// Returns the identifier of a request, or a random one if it is missing or malformed.
///
/// Also used for responses to requests that are rejected before the head is parsed.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    match headers.get(&REQUEST_ID_HEADER).and_then(|value| value.to_str().ok()) {
        Some(id) if is_request_id(id) => id.to_owned(),
        _ => random_id(),
    }
}

impl CallHead {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller; its message names the invalid header.
    pub fn try_parse(
        parts: &Parts,
        options: &AttemptOptions,
        now: Instant,
    ) -> Result<Self, CallError> {
        check_header_text(&parts.headers)?;
        let route = parse_route(&parts.method, parts.uri.path(), parts.uri.query())?;
        if let Some(id) = header_text(&parts.headers, &REQUEST_ID_HEADER)
            && !is_request_id(id)
        {
            let allowed = "1 to 128 visible ASCII characters";
            return Err(invalid_header(&REQUEST_ID_HEADER, id, allowed));
        }
        let organisation = header_text(&parts.headers, &ORGANISATION_HEADER).unwrap_or_default();
        if organisation.is_empty() {
            let message = "header x-organisation is missing";
            return Err(CallError::new(ErrorKind::UnknownOrganisation, message));
        }
        Ok(Self {
            request_id: request_id(&parts.headers),
            route,
            method: parts.method.clone(),
            organisation: organisation.to_owned(),
            priority: parse_priority(&parts.headers)?,
            deadline: now + parse_timeout(&parts.headers, options)?,
            job: header_text(&parts.headers, &JOB_HEADER)
                .filter(|job| !job.is_empty())
                .map(str::to_owned),
            idempotency_key: parse_idempotency_key(&parts.headers)?,
            avoid_targets: parse_avoided_targets(&parts.headers),
            forwarded_headers: parse_forwarded_headers(&parts.headers),
        })
    }

    /// Returns `true` if the method alone makes the request safe to repeat.
    pub fn has_idempotent_method(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD)
    }

    /// Returns the time between `now` and the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Parses the path into a route and checks the method.
fn parse_route(method: &Method, path: &str, query: Option<&str>) -> Result<Route, CallError> {
    let route = match path {
        "/v1/completions" => Route::Completion,
        "/v1/tickets" => Route::Ticket,
        _ => {
            let rest = path.strip_prefix("/services/").ok_or_else(|| {
                CallError::new(ErrorKind::UnknownPool, format!("no service at path {path:?}"))
            })?;
            let (pool, below) = rest.split_once('/').unwrap_or((rest, ""));
            if pool.is_empty() {
                return Err(CallError::new(ErrorKind::UnknownPool, "the path names no service"));
            }
            let mut path = format!("/{below}");
            if let Some(query) = query {
                path.push('?');
                path.push_str(query);
            }
            return Ok(Route::Service { pool: pool.to_owned(), path });
        }
    };
    if *method != Method::POST {
        let message = format!("method {method} is not allowed on {path}; use POST");
        return Err(CallError::new(ErrorKind::MethodNotAllowed, message));
    }
    Ok(route)
}

/// Rejects header values that are not visible ASCII text, which cannot be forwarded or logged
/// safely.
fn check_header_text(headers: &HeaderMap) -> Result<(), CallError> {
    match headers.iter().find(|(_, value)| value.to_str().is_err()) {
        None => Ok(()),
        Some((name, _)) => {
            let message = format!("header {name}: the value is not visible ASCII text");
            Err(CallError::new(ErrorKind::BadRequest, message))
        }
    }
}

/// Returns the trimmed value of a header.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Returns the error for a header with an invalid value.
fn invalid_header(name: &HeaderName, value: &str, allowed: &str) -> CallError {
    let value: String = value.chars().take(64).collect();
    let message = format!("header {name}: {value:?} is not allowed; expected {allowed}");
    CallError::new(ErrorKind::BadRequest, message)
}

fn is_request_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= MAX_REQUEST_ID_BYTES
        && id.bytes().all(|byte| byte.is_ascii_graphic())
}

fn parse_priority(headers: &HeaderMap) -> Result<Priority, CallError> {
    let Some(name) = header_text(headers, &PRIORITY_HEADER) else { return Ok(Priority::default()) };
    Priority::parse(name)
        .ok_or_else(|| invalid_header(&PRIORITY_HEADER, name, "interactive, batch or rollout"))
}

/// Returns the time until the deadline, limited to the maximum.
fn parse_timeout(headers: &HeaderMap, options: &AttemptOptions) -> Result<Duration, CallError> {
    let Some(value) = header_text(headers, &DEADLINE_MS_HEADER) else {
        return Ok(options.default_deadline);
    };
    let millis: u64 = value.parse().map_err(|_| {
        invalid_header(&DEADLINE_MS_HEADER, value, "a whole number of milliseconds")
    })?;
    Ok(Duration::from_millis(millis).min(options.max_deadline))
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, CallError> {
    if headers.get_all(&IDEMPOTENCY_KEY_HEADER).iter().count() > 1 {
        let message = "header idempotency-key is given more than once";
        return Err(CallError::new(ErrorKind::BadRequest, message));
    }
    match header_text(headers, &IDEMPOTENCY_KEY_HEADER) {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            Err(invalid_header(&IDEMPOTENCY_KEY_HEADER, key, "1 to 256 bytes"))
        }
        Some(key) => Ok(Some(key.to_owned())),
    }
}

fn parse_avoided_targets(headers: &HeaderMap) -> Vec<TargetId> {
    let names =
        header_text(headers, &AVOID_TARGETS_HEADER).unwrap_or_default().split(',').map(str::trim);
    names.filter(|name| !name.is_empty()).take(MAX_AVOIDED_TARGETS).map(str::to_owned).collect()
}

/// Returns the headers to forward: all except hop-by-hop headers, those that the `Connection`
/// header lists, and the deadline, which is set for each attempt.
fn parse_forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let is_dropped = HOP_BY_HOP_HEADERS.contains(&name.as_str())
            || named_by_connection.iter().any(|dropped_name| dropped_name == name.as_str())
            || name == DEADLINE_MS_HEADER;
        if !is_dropped {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
