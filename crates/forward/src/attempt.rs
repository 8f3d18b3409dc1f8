//! A single attempt to run a request on one target.

use std::{
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    id::{OrganisationId, SoftwareVersion, TargetId},
    wall_clock::unix_time_ms,
};
use deck_duty::usage::{AttemptEnd, CountedAttempt, UsageMeter};
use deck_fleet::{AttemptOutcome, DispatchMetadata, FleetView, Observer, PlatformProtocol, Target};
use deck_limit::crash::{Fingerprint, TargetKey};
use deck_net::{ClientResponse, CollectedBody, NetError};
use deck_reach::{TargetAddress, TargetClient};
use deck_route::{Outcome, Pick};
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};

use crate::{CrashGuard, Reply, ReplyBody, StreamingBody, crashes::RunningCall};

/// Largest response body that is buffered before it is forwarded; larger ones are streamed.
const MAX_BUFFERED_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Why an attempt produced no reply, and whether the target may have run the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// The target certainly did not run the request.
    NotRun(String),
    /// The target refused the request because it has no room for it.
    Full(String),
    /// The request was sent, but there was no valid reply: the target may have run it.
    Unknown(String),
    /// The connection broke after the request was sent: the target may have run it and crashed.
    Broken(String),
}

/// Data that all attempts of a request share.
#[derive(Clone)]
pub(crate) struct AttemptContext {
    /// Configuration and targets that this node knows, shared with the rest of the node.
    pub fleet_view: FleetView,
    pub client: TargetClient,
    /// Refuses requests that have crashed several targets, and tracks the crashes of this one.
    pub crash_guard: CrashGuard,
    /// Receives the outcome of each attempt, for metrics.
    pub observer: Rc<dyn Observer>,
    /// Service whose targets run the request; also the pool in the keys of crash tracking.
    pub service: String,
    /// Hash of the request, under which the crashes of its targets are counted. `None` if the
    /// request is owed: it is not held responsible for crashes.
    pub fingerprint: Option<Fingerprint>,
    /// Writes the headers of requests to targets and reads those of their replies.
    pub protocol: Rc<dyn PlatformProtocol>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: String,
    /// Number of the last event that the caller has received; the target sends only later ones. `None`
    /// if no event was received.
    pub last_event: Option<u64>,
    /// Priority that is sent to the target; 0 is the most urgent. `None` sends none.
    pub priority: Option<u8>,
    /// Organisation of the caller, for the target.
    pub organisation: Option<OrganisationId>,
    /// Counts the runs of the organisation; `None` if they are not reported.
    pub usage: Option<UsageMeter>,
    /// Time at which the caller stops waiting; each attempt is aborted then.
    pub deadline: Instant,
    /// Whether the response body is always streamed to the caller instead of being buffered.
    pub always_stream: bool,
    /// Whether the request may be given up at a target and sent to another one.
    pub is_repeatable: bool,
    /// Software version that a target must have to run the request.
    pub required_version: RequiredVersion,
}

/// Software version that a target must have to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequiredVersion {
    /// Any version: the request does not resume a stream.
    Any,
    /// The version of the target that began the stream.
    Exactly(Option<SoftwareVersion>),
}

impl fmt::Display for RequiredVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("any"),
            Self::Exactly(version) => f.write_str(version.as_deref().unwrap_or("none")),
        }
    }
}

impl AttemptContext {
    /// Sends the request to the picked target and receives its reply.
    pub async fn run(&self, pick: Pick) -> (TargetId, Result<Reply, AttemptError>) {
        let Pick { target, address, mut in_flight } = pick;
        let target_entry = self.fleet_view.target(&target);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let request = self.request(&target, time_left);
        let sent_at_ms = unix_time_ms();
        let mut reporter = AttemptReporter {
            observer: &*self.observer,
            started_at: Instant::now(),
            time_to_first_byte: None,
            outcome: AttemptOutcome::Cancelled,
        };
        let mut counted_attempt = self.start_count();
        let key = TargetKey { pool: self.service.clone(), target: target.clone() };
        let running_call = self.crash_guard.start_call(&self.request_id, self.fingerprint, key);
        let mut running_call = Some(running_call);
        let receive_reply = async {
            let target_address = TargetAddress { id: &target, address };
            let response = self.client.send(target_address, request, self.is_repeatable).await;
            let response = response.map_err(classify_net_error)?;
            in_flight.record_first_byte(Instant::now());
            reporter.time_to_first_byte = Some(reporter.started_at.elapsed());
            let sent_at = reporter.started_at;
            let sent_at = (sent_at, sent_at_ms);
            self.receive(target_address, target_entry, response, sent_at, &mut running_call).await
        };
        let result = match monoio::time::timeout(time_left, receive_reply).await {
            Ok(result) => result,
            Err(_) => Err(AttemptError::Unknown("no answer before the deadline".to_owned())),
        };
        let outcome = match &result {
            Ok(reply) if reply.status.is_server_error() => Outcome::Failed,
            Ok(_) => Outcome::Ok,
            Err(AttemptError::NotRun(_) | AttemptError::Full(_)) => Outcome::Refused,
            // The links of this node have failed, not the target.
            Err(_) if self.client.are_links_cut() => Outcome::Refused,
            Err(_) if Instant::now() >= self.deadline => Outcome::TimedOut,
            Err(AttemptError::Unknown(_) | AttemptError::Broken(_)) => Outcome::Crashed,
        };
        in_flight.finish(outcome, 1, Instant::now());
        reporter.outcome = match outcome {
            Outcome::Failed => AttemptOutcome::Failed,
            Outcome::Refused | Outcome::Leaving => AttemptOutcome::Refused,
            Outcome::TimedOut => AttemptOutcome::TimedOut,
            Outcome::Crashed => AttemptOutcome::Broken,
            Outcome::Ok => AttemptOutcome::Answered,
        };
        if let Some(attempt) = &mut counted_attempt {
            let first_byte = reporter.time_to_first_byte;
            attempt.set_end(match &result {
                Ok(_) => AttemptEnd::Answered(first_byte.unwrap_or_default()),
                Err(AttemptError::Broken(_)) => AttemptEnd::Broken,
                Err(AttemptError::NotRun(_) | AttemptError::Full(_) | AttemptError::Unknown(_)) => {
                    AttemptEnd::NotRun
                }
            });
        }
        drop((reporter, counted_attempt));
        if let Err(error) = &result {
            if let (AttemptError::Broken(_), Some(running_call)) = (error, running_call) {
                running_call.detect_crash(self.client.clone(), address);
            }
            let id = &self.request_id;
            let level = match error {
                AttemptError::NotRun(_) | AttemptError::Full(_) => log::Level::Info,
                AttemptError::Unknown(_) | AttemptError::Broken(_) => log::Level::Warn,
            };
            log::log!(target: "forward", level, "attempt failed request={id} target={target} {error:?}");
        }
        (target, result)
    }

    /// Starts to count an attempt whose runs are reported.
    fn start_count(&self) -> Option<CountedAttempt> {
        self.usage.as_ref().zip(self.organisation.as_ref()).and_then(|(usage, id)| usage.start(id))
    }

    /// Builds the HTTP request to a target, with the headers of the dispatch protocol.
    fn request(&self, target: &TargetId, time_left: Duration) -> Request<Bytes> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let dispatch = DispatchMetadata {
            request_id: &self.request_id,
            target,
            time_left: Some(time_left),
            last_event: self.last_event,
            priority: self.priority,
            organisation: self.organisation.as_deref(),
        };
        self.protocol.set_dispatch_headers(&mut headers, &dispatch);
        *request.headers_mut() = headers;
        request
    }

    /// Validates the response to a request that was sent at the given time, by the steady clock and in
    /// milliseconds since the Unix epoch, and receives its body. If the body is streamed, the reply takes
    /// `running_call`, so that crash tracking lasts until the end of the body.
    async fn receive(
        &self,
        target: TargetAddress<'_>,
        target_entry: Option<Rc<Target>>,
        response: ClientResponse,
        (sent_at, sent_at_ms): (Instant, u64),
        running_call: &mut Option<RunningCall>,
    ) -> Result<Reply, AttemptError> {
        let (status, headers) = (response.status, response.headers.clone());
        let metadata = self.protocol.decode_response_metadata(status, &headers);
        if let Some(target_entry) = target_entry.as_deref() {
            self.fleet_view.record_statements(target_entry, &metadata, sent_at);
        }
        if metadata.request_id.as_ref().is_some_and(|id| *id != self.request_id) {
            return Err(AttemptError::Unknown("answer to another request".to_owned()));
        }
        if metadata.not_run {
            response.discard().await;
            let message = format!("refused with status {status}");
            let is_full_status =
                [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&status);
            let is_full = is_full_status && metadata.is_from_target && !metadata.leaving;
            let error = if is_full { AttemptError::Full } else { AttemptError::NotRun };
            return Err(error(message));
        }
        if metadata.signature.is_none() {
            return Err(AttemptError::Unknown(format!("status {status} without a signature")));
        }
        let is_resumption = self.required_version != RequiredVersion::Any;
        let restarted = target_entry
            .as_deref()
            .is_none_or(|entry| running_version(&self.fleet_view, entry).is_none());
        if is_resumption && restarted {
            return Err(AttemptError::Unknown("the target has started again".to_owned()));
        }
        let content_length = headers.get(header::CONTENT_LENGTH);
        let content_length =
            content_length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        let exceeds_buffer = content_length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES);
        let body = match running_call.take_if(|_| self.always_stream || exceeds_buffer) {
            Some(running_call) => {
                let (client, prefix) = (self.client.clone(), Bytes::new());
                ReplyBody::Streaming(Box::new(StreamingBody {
                    prefix,
                    response,
                    running_call,
                    client,
                    target_address: target.address,
                }))
            }
            None => {
                let body = response.collect_up_to(MAX_BUFFERED_BODY_BYTES).await;
                let body = body.map_err(|error| AttemptError::Broken(error.to_string()))?;
                match (body, running_call.take()) {
                    (CollectedBody::Complete(bytes), running_call) => {
                        if let Some(running_call) = running_call {
                            running_call.record_success();
                        }
                        ReplyBody::Buffered(bytes)
                    }
                    (CollectedBody::Prefix(prefix, response), Some(running_call)) => {
                        let (response, client) = (*response, self.client.clone());
                        let target_address = target.address;
                        let streaming_body = StreamingBody {
                            prefix,
                            response,
                            running_call,
                            client,
                            target_address,
                        };
                        ReplyBody::Streaming(Box::new(streaming_body))
                    }
                    (CollectedBody::Prefix(..), None) => {
                        return Err(AttemptError::Broken("the answer is too large".to_owned()));
                    }
                }
            }
        };
        let status_500_count = u32::from(status == StatusCode::INTERNAL_SERVER_ERROR);
        let target = target.id.clone();
        Ok(Reply {
            target,
            target_entry,
            sent_at_ms,
            status,
            headers,
            metadata,
            body,
            status_500_count,
        })
    }
}

/// Returns the software version of a process that has just replied, given the target's entry when the
/// request was sent. `None` if the target has started again under its id since, because either
/// process may have received the request.
pub(crate) fn running_version(
    fleet_view: &FleetView,
    entry: &Target,
) -> Option<Option<SoftwareVersion>> {
    let current = fleet_view.target(&entry.id);
    let is_same_process = current.is_none_or(|current| current.is_same_process(entry));
    is_same_process.then(|| entry.software_version.clone())
}

/// Reports an attempt to the observer when it ends, including when it is dropped before that.
struct AttemptReporter<'a> {
    observer: &'a dyn Observer,
    started_at: Instant,
    /// Time from the start of the attempt to the first byte of the response.
    time_to_first_byte: Option<Duration>,
    /// How the attempt ended; `Cancelled` until it has a result.
    outcome: AttemptOutcome,
}

impl Drop for AttemptReporter<'_> {
    fn drop(&mut self) {
        self.observer.on_attempt_end(self.outcome, self.time_to_first_byte);
    }
}

/// Converts a client error to an attempt error that states whether the request may have run.
fn classify_net_error(error: NetError) -> AttemptError {
    match error.may_have_been_sent() {
        true => AttemptError::Broken(error.to_string()),
        false => AttemptError::NotRun(error.to_string()),
    }
}
