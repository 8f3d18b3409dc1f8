//! What the head of a request says about the call.

use std::time::{Duration, Instant};

use deck_core::{
    error::{CallError, ErrorKind},
    id::{JobName, OrganisationId, PoolName, RequestId, TargetId, random_id},
    priority::Priority,
};
use deck_net::http::{HeaderMap, HeaderName, Method, header, request::Parts};

use crate::options::TryOptions;

/// Header that names the organisation.
pub const ORGANISATION_HEADER: HeaderName = HeaderName::from_static("x-organisation");
/// Header with the caller's idempotency key or a ticket.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the remaining time in milliseconds.
pub const DEADLINE_MS_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header with the priority.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Header with the request's identifier.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the rollout job.
pub const JOB_HEADER: HeaderName = HeaderName::from_static("x-job");
/// Header with targets that the call should not go to if others take work, separated by commas.
pub const AVOID_TARGETS_HEADER: HeaderName = HeaderName::from_static("x-avoid-targets");
/// Header of a response that names the target.
pub const TARGET_HEADER: HeaderName = HeaderName::from_static("x-target");
/// Header by which a target says that it is leaving.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-leaving");
/// Header by which a target says that it did not run the request.
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");

/// Longest idempotency key or ticket, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Most targets that a call can avoid.
const MAX_AVOIDED_TARGETS: usize = 16;
/// Longest request identifier, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Headers of a message that belong to one connection and are not passed on.
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

/// Where a request goes, as its path says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// `POST /v1/completions`.
    Completion,
    /// `POST /v1/tickets`.
    Ticket,
    /// A plain service.
    Service {
        /// The pool.
        pool: PoolName,
        /// Path and query below the service; starts with `/`.
        path: String,
    },
}

/// What the head of a request says.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Where it goes.
    pub route: Route,
    /// Method.
    pub method: Method,
    /// Organisation on whose share it draws.
    pub organisation: OrganisationId,
    /// Priority.
    pub priority: Priority,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Rollout job, if any.
    pub job: Option<JobName>,
    /// Idempotency key or ticket, if any.
    pub idempotency_key: Option<String>,
    /// Targets that the call should not go to if others take work.
    pub avoid_targets: Vec<TargetId>,
    /// Headers that go to the target.
    pub forwarded_headers: HeaderMap,
}

/// Returns the identifier of a request, or a new one if it has none or a malformed one.
///
/// Used for responses to requests that are refused before the head is read.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    match headers.get(&REQUEST_ID_HEADER).and_then(|value| value.to_str().ok()) {
        Some(id) if is_request_id(id) => id.to_owned(),
        _ => random_id(),
    }
}

impl CallHead {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller receives; its message names the offending header.
    pub fn try_parse(parts: &Parts, options: &TryOptions, now: Instant) -> Result<Self, CallError> {
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

    /// Returns whether the request may be repeated because of its method alone.
    pub fn has_idempotent_method(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD)
    }

    /// Returns the time that is left at `now`.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

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

/// Refuses header values that are not text: they cannot be passed on or logged safely.
fn check_header_text(headers: &HeaderMap) -> Result<(), CallError> {
    match headers.iter().find(|(_, value)| value.to_str().is_err()) {
        None => Ok(()),
        Some((name, _)) => {
            let message = format!("header {name}: the value is not visible ASCII text");
            Err(CallError::new(ErrorKind::BadRequest, message))
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

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

fn parse_timeout(headers: &HeaderMap, options: &TryOptions) -> Result<Duration, CallError> {
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
