//! Requests with which callers resume a stream that broke off in an earlier attempt.

use std::time::{Duration, Instant};

use deck_core::{
    error::{CallError, ErrorKind, RunState},
    id::{PoolName, RequestId, SoftwareVersion},
};
use deck_fleet::{KnownVersions, OriginRecord, ResumptionOutcome, Route, RouteKind, StreamOrigin};

use crate::{ForwardRequest, attempt::RequiredVersion, forwarder::Forwarder, origins::FoundBy};

/// Time that is added to the longest duration of a stream. It covers the caller's retries and the
/// time until all nodes have learned of a new target.
const STREAM_DURATION_MARGIN: Duration = Duration::from_secs(10);

/// Service and software version that must run a request.
pub(crate) struct Destination {
    pub service: PoolName,
    pub required_version: RequiredVersion,
}

impl ForwardRequest {
    /// Returns whether the request resumes a stream. This includes streams on a route that allowed
    /// it only when they began.
    pub(crate) fn is_resumption(&self) -> bool {
        self.route.kind == RouteKind::Streaming
            && (self.last_event.is_some() || self.resumes.is_some())
    }
}

impl Forwarder {
    /// Chooses the service of a request, and the software version if it resumes a stream.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not known which version began the stream, or if the route no
    /// longer leads to its service.
    pub(crate) async fn choose_destination(
        &self,
        call: &ForwardRequest,
    ) -> Result<Destination, CallError> {
        let service = call.route.pick_service(rand::random::<f64>()).to_owned();
        if !call.is_resumption() {
            return Ok(Destination { service, required_version: RequiredVersion::Any });
        }
        let found = match &call.resumes {
            Some(first_attempt) => self.origins.find(first_attempt, call.deadline).await,
            None => None,
        };
        let (origin, found_by) = match found {
            Some((origin, found_by)) => (origin, found_by),
            None => {
                let software_version = self.only_version(call)?;
                (StreamOrigin { service, software_version }, FoundBy::SingleVersion)
            }
        };
        let StreamOrigin { service, software_version } = origin;
        if !services(&call.route).any(|name| name == service) {
            let message =
                format!("the stream began at service {service}, which the route has left");
            return Err(CallError::new(ErrorKind::SoftwareVersionGone, message));
        }
        let required_version = RequiredVersion::Exactly(software_version);
        let (id, first_attempt) = (&call.request_id, call.resumes.as_deref().unwrap_or("none"));
        let (event, found_by) = (call.last_event, found_by.label());
        log::info!(target: "forward", "resumption asked for request={id} resumes={first_attempt} event={event:?} service={service} version={required_version} found_by={found_by}");
        Ok(Destination { service, required_version })
    }

    /// Returns the software version of the route's services if they have had no other for longer
    /// than a stream lasts.
    fn only_version(&self, call: &ForwardRequest) -> Result<Option<SoftwareVersion>, CallError> {
        let services: Vec<&str> = services(&call.route).collect();
        let period = call.max_stream_duration + STREAM_DURATION_MARGIN;
        let reason = match self.fleet_view.software_versions(&services, period, Instant::now()) {
            KnownVersions::Single(version) => return Ok(version),
            KnownVersions::Several => "targets of several software versions have served",
            KnownVersions::Unknown => "this node has not known the targets for long enough",
        };
        let message = format!("it is not known which software version began the stream: {reason}");
        Err(CallError::new(ErrorKind::SoftwareVersionUnknown, message))
    }
}

/// Name under which the origin of a stream is recorded.
#[derive(Debug, Clone)]
pub(crate) struct OriginKey {
    /// Id that the caller names when it resumes the stream.
    request_id: RequestId,
    /// Time for which the caller may resume it.
    lifetime: Duration,
}

impl OriginKey {
    /// Returns the name for the stream that a request starts or continues; `None` if the caller
    /// resumes a stream without naming the attempt that began it.
    pub fn of(call: &ForwardRequest) -> Option<Self> {
        let request_id = match (&call.resumes, call.last_event) {
            (Some(first_attempt), _) => first_attempt.clone(),
            (None, None) => call.request_id.clone(),
            (None, Some(_)) => return None,
        };
        Some(Self { request_id, lifetime: call.max_stream_duration + STREAM_DURATION_MARGIN })
    }

    /// Returns the record of a stream that began at `origin`.
    pub fn record(&self, origin: StreamOrigin) -> OriginRecord {
        OriginRecord { request_id: self.request_id.clone(), origin, lifetime: self.lifetime }
    }

    /// Returns a record that replaces an earlier one at all nodes and is expired at once.
    pub fn expired_record(&self, origin: StreamOrigin) -> OriginRecord {
        OriginRecord { lifetime: Duration::ZERO, ..self.record(origin) }
    }
}

/// Returns the names of the services to which a route leads.
fn services(route: &Route) -> impl Iterator<Item = &str> {
    let weights = route.service_weights.iter().filter(|(_, weight)| *weight > 0);
    weights.map(|(service, _)| service.as_str())
}

/// Returns the outcome of a resumption that did not reach a target that continues the stream.
pub(crate) fn failed_outcome(error: &CallError) -> ResumptionOutcome {
    match (error.kind, error.kind.properties().run_state) {
        (ErrorKind::SoftwareVersionUnknown, _) => ResumptionOutcome::VersionUnknown,
        (ErrorKind::SoftwareVersionGone, _) => ResumptionOutcome::VersionGone,
        (_, RunState::NotRun) => ResumptionOutcome::Refused,
        (_, RunState::Unknown | RunState::Ran) => ResumptionOutcome::Failed,
    }
}
