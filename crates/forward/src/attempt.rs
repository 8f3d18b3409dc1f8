//! One attempt of a request on one target.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::id::TargetId;
use deck_fleet::{AttemptEnd, Dispatch, Observer, Protocol, Target, View};
use deck_limit::crash::{Fingerprint, TargetKey};
use deck_net::{Body, Client, ClientResponse, Collected, NetError};
use deck_route::{Outcome, Pick};
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};

use crate::{CrashGuard, Reply, ReplyBody, Streamed, crashes::RunningCall};

/// Largest answer that is received whole before it is passed on; larger ones are streamed.
const MAX_WHOLE_BYTES: usize = 4 * 1024 * 1024;

/// Why an attempt gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// The target did not run the request.
    NotRun(String),
    /// The request was sent and may have run.
    Unknown(String),
    /// The connection broke after the request was sent; it may have run.
    Broken(String),
}

/// What all attempts of a request have in common.
#[derive(Clone)]
pub(crate) struct Attempt {
    pub view: View,
    pub client: Client,
    pub crashes: CrashGuard,
    pub observer: Rc<dyn Observer>,
    /// Service whose targets run the request.
    pub service: String,
    pub fingerprint: Fingerprint,
    pub protocol: Rc<dyn Protocol>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: String,
    pub last_event: Option<u64>,
    pub priority: Option<u8>,
    /// Time at which the caller no longer waits.
    pub deadline: Instant,
    /// Whether a streamed answer is passed on as it comes.
    pub streaming: bool,
}

impl Attempt {
    /// Sends the request to the picked target and receives its answer.
    pub async fn run(&self, pick: Pick) -> (TargetId, Result<Reply, AttemptError>) {
        let Pick { target, address, mut in_flight } = pick;
        let sent_to = self.view.target(&target);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let request = self.request(&target, time_left);
        let mut observed = Observed {
            observer: &*self.observer,
            started: Instant::now(),
            first_byte: None,
            end: AttemptEnd::Cancelled,
        };
        let key = TargetKey { pool: self.service.clone(), target: target.clone() };
        let running = self.crashes.start(&self.request_id, self.fingerprint, key);
        let mut running = Some(running);
        let exchange = async {
            let response = self.client.send(address, request).await.map_err(attempt_error)?;
            in_flight.first_byte(Instant::now());
            observed.first_byte = Some(observed.started.elapsed());
            self.receive(&target, sent_to.as_deref(), response, &mut running).await
        };
        let result = match monoio::time::timeout(time_left, exchange).await {
            Ok(result) => result,
            Err(_) => Err(AttemptError::Unknown("no answer before the deadline".to_owned())),
        };
        let outcome = match &result {
            Ok(reply) if reply.status.is_server_error() => Outcome::Failed,
            Ok(_) => Outcome::Ok,
            Err(AttemptError::NotRun(_)) => Outcome::Refused,
            Err(_) if Instant::now() >= self.deadline => Outcome::TimedOut,
            Err(AttemptError::Unknown(_) | AttemptError::Broken(_)) => Outcome::Crashed,
        };
        in_flight.finish(outcome, 1, Instant::now());
        observed.end = match outcome {
            Outcome::Failed => AttemptEnd::Failed,
            Outcome::Refused | Outcome::Leaving => AttemptEnd::Refused,
            Outcome::TimedOut => AttemptEnd::TimedOut,
            Outcome::Crashed => AttemptEnd::Broken,
            Outcome::Ok => AttemptEnd::Answered,
        };
        drop(observed);
        if let Err(error) = &result {
            if let (AttemptError::Broken(_), Some(running)) = (error, running) {
                running.broken(self.client.clone(), address);
            }
            let id = &self.request_id;
            let level = match error {
                AttemptError::NotRun(_) => log::Level::Info,
                AttemptError::Unknown(_) | AttemptError::Broken(_) => log::Level::Warn,
            };
            log::log!(target: "forward", level, "attempt failed request={id} target={target} {error:?}");
        }
        (target, result)
    }

    fn request(&self, target: &TargetId, time_left: Duration) -> Request<Body> {
        let mut request = Request::new(Body::full(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let dispatch = Dispatch {
            request_id: &self.request_id,
            target,
            time_left: Some(time_left),
            last_event: self.last_event,
            priority: self.priority,
        };
        self.protocol.dispatch(&mut headers, &dispatch);
        *request.headers_mut() = headers;
        request
    }

    /// Receives an answer; a streamed one takes over `running`.
    async fn receive(
        &self,
        target: &TargetId,
        sent_to: Option<&Target>,
        response: ClientResponse,
        running: &mut Option<RunningCall>,
    ) -> Result<Reply, AttemptError> {
        let (status, headers) = (response.status, response.headers.clone());
        let head = self.protocol.reply_head(status, &headers);
        if let Some(sent_to) = sent_to.filter(|_| head.leaving) {
            self.view.set_leaving(sent_to, Instant::now());
        }
        if head.request_id.as_ref().is_some_and(|id| *id != self.request_id) {
            return Err(AttemptError::Unknown("answer to another request".to_owned()));
        }
        if head.not_run {
            response.discard().await;
            return Err(AttemptError::NotRun(format!("refused with status {status}")));
        }
        if head.signature.is_none() {
            return Err(AttemptError::Unknown(format!("status {status} without a signature")));
        }
        let stated = headers.get(header::CONTENT_LENGTH);
        let stated = stated.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        let large = stated.is_some_and(|length| length > MAX_WHOLE_BYTES);
        let body = match running.take_if(|_| self.streaming || large) {
            Some(running) => {
                let (client, received) = (self.client.clone(), Bytes::new());
                ReplyBody::Stream(Box::new(Streamed { received, response, running, client }))
            }
            None => {
                let body = response.collect_some(MAX_WHOLE_BYTES).await;
                let body = body.map_err(|error| AttemptError::Broken(error.to_string()))?;
                match (body, running.take()) {
                    (Collected::Whole(bytes), running) => {
                        if let Some(running) = running {
                            running.survived();
                        }
                        ReplyBody::Whole(bytes)
                    }
                    (Collected::Part(received, response), Some(running)) => {
                        let (response, client) = (*response, self.client.clone());
                        let streamed = Streamed { received, response, running, client };
                        ReplyBody::Stream(Box::new(streamed))
                    }
                    (Collected::Part(..), None) => {
                        return Err(AttemptError::Broken("the answer is too large".to_owned()));
                    }
                }
            }
        };
        let failures = u32::from(status == StatusCode::INTERNAL_SERVER_ERROR);
        Ok(Reply { target: target.clone(), status, headers, head, body, failures })
    }
}

/// Tells the observer of an attempt when it ends, also if it is dropped before.
struct Observed<'a> {
    observer: &'a dyn Observer,
    started: Instant,
    first_byte: Option<Duration>,
    end: AttemptEnd,
}

impl Drop for Observed<'_> {
    fn drop(&mut self) {
        self.observer.attempt(self.end, self.first_byte);
    }
}

fn attempt_error(error: NetError) -> AttemptError {
    match error.may_have_been_sent() {
        true => AttemptError::Broken(error.to_string()),
        false => AttemptError::NotRun(error.to_string()),
    }
}
