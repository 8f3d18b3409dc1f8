//! Decides for which organisation a request runs, and refuses requests whose key does not allow it.

use std::{rc::Rc, time::Duration};

use deck_core::{
    error::{CallError, ErrorKind},
    id::OrganisationId,
};
use deck_fleet::{ApiKey, Configuration, Organisation, Route, RouteKind};

/// `Retry-After` in refusals before the node has received its configuration.
pub const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

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
/// # Errors
///
/// Returns a refusal if the key is unknown, or if the node has no configuration and therefore does not
/// know whether a key is needed.
pub fn authenticate(
    configuration: Option<&Configuration>,
    access: Access<'_>,
    key: Option<&ApiKey>,
) -> Result<Option<Rc<Organisation>>, CallError> {
    let Some(configuration) = configuration else { return Err(not_ready()) };
    let Some(organisations) = &configuration.organisations else { return Ok(None) };
    match key.and_then(|key| organisations.of_key(key)) {
        Some(organisation) => Ok(Some(organisation.clone())),
        None if access.is_public(configuration) => Ok(None),
        None => {
            let message =
                if key.is_some() { "the key is not known" } else { "the request has no key" };
            Err(CallError::new(ErrorKind::Unauthenticated, message))
        }
    }
}

/// Returns the name of an organisation.
pub fn name_of(organisation: Option<&Rc<Organisation>>) -> Option<OrganisationId> {
    organisation.map(|organisation| organisation.name.clone())
}

/// Returns the refusal of a node that has not received its configuration.
pub fn not_ready() -> CallError {
    let error = CallError::new(ErrorKind::NotReady, "no configuration yet");
    error.with_retry_after(NOT_READY_RETRY_AFTER)
}
