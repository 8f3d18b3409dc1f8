//! One try of a call at one target.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    error::{CallError, ErrorKind},
    id::TargetId,
};
use deck_limit::crash::TargetKey;
use deck_net::{
    Body, ClientResponse, NetError,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header},
};
use deck_route::{InFlightGuard, Outcome, Pick, PickError, PickRequest};

use crate::{
    body::until,
    call::Call,
    head::{DEADLINE_MS, LEAVING, NOT_RUN},
    shared::SharedRef,
};

/// Longest wait for a target while all are busy.
const BUSY_WAIT: Duration = Duration::from_secs(1);
/// Pause between two picks of a call that found no target.
const PICK_PAUSE: Duration = Duration::from_millis(20);

/// A try that occupies a place on a target. Dropping it counts as cancelled.
pub(crate) struct Attempt {
    shared: SharedRef,
    call: Rc<Call>,
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
    key: TargetKey,
    /// `None` after the end.
    in_flight: Option<InFlightGuard>,
    started: Instant,
    /// Whether the call was a crash suspect when the try started.
    suspect: bool,
}

/// How a try ended before an answer.
pub(crate) enum SendError {
    /// No byte left for the target.
    NotSent(NetError),
    /// The connection broke after the request left.
    Broke(NetError),
    /// No answer in time.
    TimedOut,
}

impl Attempt {
    /// Picks a target for a further try, preferably none of `failed`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call may not run or no target takes it in time.
    pub(crate) async fn start(
        shared: &SharedRef,
        call: &Rc<Call>,
        failed: &[TargetId],
    ) -> Result<Self, CallError> {
        let (pick, suspect) = pick(shared, call, failed).await?;
        let key = TargetKey { pool: call.pool.name.clone(), target: pick.target.clone() };
        if suspect {
            shared.crashes.borrow_mut().record_suspect_start(&key);
        }
        call.count_try();
        shared.load_polls.borrow_mut().used(&call.pool, &pick.target, pick.address, Instant::now());
        Ok(Self {
            shared: shared.clone(),
            call: call.clone(),
            target: pick.target,
            address: pick.address,
            key,
            in_flight: Some(pick.in_flight),
            started: Instant::now(),
            suspect,
        })
    }

    /// Sends a request and waits for the head of the answer until `deadline`.
    pub(crate) async fn send(
        &mut self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<ClientResponse, SendError> {
        let client = self.shared.client.clone();
        self.sent(client.send(self.address, request), deadline).await
    }

    /// As [`Attempt::send`], on a connection that has carried no other request: a repeated answer
    /// to an earlier request cannot be taken for this one's.
    pub(crate) async fn send_fresh(
        &mut self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<ClientResponse, SendError> {
        let client = self.shared.client.clone();
        self.sent(client.send_fresh(self.address, request), deadline).await
    }

    async fn sent(
        &mut self,
        sent: impl Future<Output = Result<ClientResponse, NetError>>,
        deadline: Instant,
    ) -> Result<ClientResponse, SendError> {
        match until(deadline, sent).await {
            Some(Ok(response)) => {
                if let Some(in_flight) = &mut self.in_flight {
                    in_flight.record_first_byte(Instant::now());
                }
                self.call.first_byte();
                Ok(response)
            }
            Some(Err(error)) if error.may_have_been_sent() => {
                self.call.set_may_have_run();
                Err(SendError::Broke(error))
            }
            Some(Err(error)) => Err(SendError::NotSent(error)),
            None => {
                self.call.set_may_have_run();
                Err(SendError::TimedOut)
            }
        }
    }

    /// Ends the try.
    pub(crate) fn finish(mut self, outcome: Outcome, tokens: u64) {
        self.shared.metrics.tried(&self.key.pool, outcome_name(outcome));
        if outcome == Outcome::Leaving {
            let mut leaving = self.shared.leaving_targets.borrow_mut();
            leaving.note(&self.key, Instant::now());
            self.shared.router.mark_leaving(&self.key.pool, &self.key.target);
        }
        if outcome == Outcome::Ok {
            self.shared.crashes.borrow_mut().record_success(self.call.fingerprint);
        }
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.finish(outcome, tokens, Instant::now());
        }
    }

    /// Ends the try after the connection broke while the target may have run the call.
    ///
    /// Only a target that no longer listens counts as crashed: a cut connection or answer says
    /// nothing about the request.
    ///
    /// Returns whether the target crashed.
    pub(crate) async fn broke(self, error: &NetError, tokens: u64) -> bool {
        let crashed = !self.shared.client.still_listens(self.address).await;
        log::warn!(
            target: "call",
            "connection broke request={} pool={} target={} crashed={crashed} suspect={} \
             error={error}",
            self.call.head.request_id, self.key.pool, self.key.target, self.suspect
        );
        if crashed {
            self.shared.metrics.crashed(&self.key.pool);
            let mut crashes = self.shared.crashes.borrow_mut();
            crashes.record_crash(self.call.fingerprint, &self.key, self.suspect, Instant::now());
        }
        self.finish(Outcome::Crashed, tokens);
        crashed
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.call.add_engine_time(self.started.elapsed());
        if self.in_flight.is_some() {
            self.shared.metrics.tried(&self.key.pool, "cancelled");
        }
        if self.suspect {
            self.shared.crashes.borrow_mut().record_suspect_end(&self.key);
            self.shared.suspect_ended.notify_waiters();
        }
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Failed => "failed",
        Outcome::Crashed => "crashed",
        Outcome::Refused => "refused",
        Outcome::Leaving => "leaving",
        Outcome::TimedOut => "timed_out",
    }
}

async fn pick(
    shared: &SharedRef,
    call: &Call,
    failed: &[TargetId],
) -> Result<(Pick, bool), CallError> {
    let started = Instant::now();
    let mut avoid_failed = true;
    loop {
        shared.check_condemned(call)?;
        let now = Instant::now();
        if now >= call.head.deadline {
            let message = "the deadline passed before the request left for a target";
            return Err(CallError::new(ErrorKind::DeadlineBeforeRun, message));
        }
        let suspect = shared.crashes.borrow().is_suspect(call.fingerprint);
        let mut exclude = if avoid_failed { failed.to_vec() } else { Vec::new() };
        let mut isolated_from = Vec::new();
        if suspect && started.elapsed() < shared.options.crash.max_isolation_wait {
            isolated_from = shared.crashes.borrow().targets_with_suspects(&call.pool.name);
            exclude.extend(isolated_from.iter().cloned());
        }
        let request = PickRequest {
            pool: &call.pool.name,
            expected_tokens: call.expected_tokens,
            priority: call.head.priority,
            affinity: call.affinity,
            exclude: &exclude,
            now,
        };
        match shared.router.pick(&request) {
            Ok(pick) => return Ok((pick, suspect)),
            Err(PickError::NoTarget(_)) if !isolated_from.is_empty() => {
                let _ = until(now + PICK_PAUSE, shared.suspect_ended.notified()).await;
            }
            Err(PickError::NoTarget(_)) if avoid_failed && !failed.is_empty() => {
                // All others are gone: the target may have come back or take the call now.
                avoid_failed = false;
                monoio::time::sleep(PICK_PAUSE).await;
            }
            Err(PickError::Busy(..)) if started.elapsed() < BUSY_WAIT => {
                monoio::time::sleep(PICK_PAUSE).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Returns the request that goes to a target. The remaining time goes with it.
pub(crate) fn target_request(
    call: &Call,
    method: Method,
    path: &str,
    headers: &HeaderMap,
    body: Body,
) -> Result<Request<Body>, CallError> {
    let uri: Uri = path.parse().map_err(|error| {
        CallError::new(ErrorKind::BadRequest, format!("path {path:?}: {error}"))
    })?;
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers.clone();
    let remaining_ms = call.head.remaining(Instant::now()).as_millis() as u64;
    request.headers_mut().insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
    crate::answer::set_request_id(request.headers_mut(), &call.head.request_id);
    Ok(request)
}

/// Returns how a target refused a call before running it; `None` if it did not.
pub(crate) fn refusal(response: &ClientResponse) -> Option<Outcome> {
    let says = |name: HeaderName| response.headers.get(name).is_some_and(|value| value == "1");
    if response.status == 503 && says(LEAVING) {
        Some(Outcome::Leaving)
    } else if response.status.as_u16() >= 400 && says(NOT_RUN) {
        Some(Outcome::Refused)
    } else {
        None
    }
}

/// Returns headers with only a content type of JSON.
pub(crate) fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}
