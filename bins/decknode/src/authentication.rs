//! Decides for which organisation a request runs, and refuses requests whose key does not allow it.

use std::{rc::Rc, time::Duration};

use deck_core::error::{CallError, ErrorKind};
use deck_fleet::{ApiKey, Configuration, Organisation, Route, RouteKind};

/// `Retry-After` in refusals before the node has received its configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` in refusals while the node cannot confirm its configuration.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What a request needs a key for.
#[derive(Debug, Clone, Copy)]
pub enum Access<'a> {
    /// A request on this route.
    Route(&'a Route),
    /// A call on an existing batch job at this host.
    BatchCall {
        /// Host of the call, without its port.
        host: Option<&'a str>,
    },
}

impl Access<'_> {
    /// Returns whether callers need no key. The path of a call on a batch job names no route, so that
    /// the routes of its host count on which jobs are submitted.
    fn is_public(self, configuration: &Configuration) -> bool {
        match self {
            Self::Route(route) => route.is_public,
            Self::BatchCall { host } => configuration.routes().any(|route| {
                route.is_public
                    && route.kind == RouteKind::Rollout
                    && Some(route.host.as_str()) == host
            }),
        }
    }
}

/// Returns the organisation of the caller; `None` if the configuration has no organisations, or if a
/// caller without a known key uses a public route.
///
/// `is_current` tells whether the configuration is recent enough to rely on its keys. If it is not,
/// neither a known nor an unknown key says anything.
///
/// # Errors
///
/// Returns a refusal if the key is unknown, if the configuration is not current, or if the node has no
/// configuration and therefore does not know whether a key is needed.
pub fn authenticate(
    configuration: Option<&Configuration>,
    is_current: bool,
    access: Access<'_>,
    key: Option<&ApiKey>,
) -> Result<Option<Rc<Organisation>>, CallError> {
    let Some(configuration) = configuration else { return Err(not_ready()) };
    let Some(organisations) = &configuration.organisations else { return Ok(None) };
    match key.filter(|_| is_current).and_then(|key| organisations.of_key(key)) {
        Some(organisation) => Ok(Some(organisation.clone())),
        None if access.is_public(configuration) => Ok(None),
        None if key.is_none() => {
            Err(CallError::new(ErrorKind::Unauthenticated, "the request has no key"))
        }
        None if !is_current => {
            let message = "the configuration is not confirmed, so no key can be accepted";
            let error = CallError::new(ErrorKind::ConfigurationOutdated, message);
            Err(error.with_retry_after(OUTDATED_RETRY_AFTER))
        }
        None => Err(CallError::new(ErrorKind::Unauthenticated, "the key is not known")),
    }
}

/// Returns the refusal of a node that has not received its configuration.
pub(crate) fn not_ready() -> CallError {
    let error = CallError::new(ErrorKind::NotReady, "no configuration yet");
    error.with_retry_after(NOT_READY_RETRY_AFTER)
}
