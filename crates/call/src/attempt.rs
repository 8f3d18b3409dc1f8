//! One attempt of a call at one target: target selection, sending and the outcome.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    error::{CallError, ErrorKind},
    id::TargetId,
};
use deck_limit::crash::{TargetKey, targets_for_suspects};
use deck_net::{
    Body, ClientResponse, NetError,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header},
};
use deck_peer::MemberState;
use deck_route::{HealthState, InFlightGuard, Outcome, Pick, PickError, PickRequest};

use crate::{
    body::timeout_at,
    call::Call,
    request_head::{DEADLINE_MS_HEADER, LEAVING_HEADER, NOT_RUN_HEADER},
    shared::SharedRef,
};

/// Maximum time to wait for a target while all targets are busy.
const MAX_BUSY_WAIT: Duration = Duration::from_secs(1);
/// Maximum time that a suspect waits for a target on which this VM runs suspects, see
/// [`targets_for_suspects`]. Afterwards it may run on any target without a suspect of this VM.
const MAX_OWN_TARGET_WAIT: Duration = Duration::from_millis(500);
/// Interval between target selections while no target is available.
const PICK_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Attempt that occupies a slot on a target. Dropping it without [`Attempt::finish`] counts as
/// cancelled.
pub(crate) struct Attempt {
    shared: SharedRef,
    call: Rc<Call>,
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
    target_key: TargetKey,
    /// Slot on the target; `None` after the attempt has finished.
    in_flight: Option<InFlightGuard>,
    started_at: Instant,
    /// Whether the request was suspected of crashing targets when the attempt started.
    is_suspect: bool,
}

/// Failure before the response head was received.
pub(crate) enum SendError {
    /// No byte was sent to the target.
    NotSent(NetError),
    /// The connection broke after the request may have been sent.
    ConnectionBroken(NetError),
    /// No response head was received before the deadline.
    TimedOut,
}

impl Attempt {
    /// Picks a target, preferably not one of `failed`, and starts an attempt there.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is blocked or no target is available in time.
    pub(crate) async fn start(
        shared: &SharedRef,
        call: &Rc<Call>,
        failed: &[TargetId],
    ) -> Result<Self, CallError> {
        let (pick, is_suspect) = pick_target(shared, call, failed).await?;
        let target_key = TargetKey { pool: call.pool.name.clone(), target: pick.target.clone() };
        if is_suspect {
            shared.crash_tracker.borrow_mut().record_suspect_start(&target_key);
        }
        call.count_attempt();
        shared.load_poller.borrow_mut().record_use(
            &call.pool,
            &pick.target,
            pick.address,
            Instant::now(),
        );
        Ok(Self {
            shared: shared.clone(),
            call: call.clone(),
            target: pick.target,
            address: pick.address,
            target_key,
            in_flight: Some(pick.in_flight),
            started_at: Instant::now(),
            is_suspect,
        })
    }

    /// Sends a request and waits for the response head until `deadline`.
    pub(crate) async fn send(
        &mut self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<ClientResponse, SendError> {
        let client = self.shared.client.clone();
        self.await_response_head(client.send(self.address, request), deadline).await
    }

    /// Like [`Attempt::send`], but on a new connection, so that a duplicated response to an earlier
    /// request cannot be mistaken for the response to this one.
    pub(crate) async fn send_on_new_connection(
        &mut self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<ClientResponse, SendError> {
        let client = self.shared.client.clone();
        self.await_response_head(client.send_on_new_connection(self.address, request), deadline)
            .await
    }

    /// Waits for the response head and records the time to the first byte.
    async fn await_response_head(
        &mut self,
        response: impl Future<Output = Result<ClientResponse, NetError>>,
        deadline: Instant,
    ) -> Result<ClientResponse, SendError> {
        match timeout_at(deadline, response).await {
            Some(Ok(response)) => {
                if let Some(in_flight) = &mut self.in_flight {
                    in_flight.record_first_byte(Instant::now());
                }
                self.call.record_first_byte();
                Ok(response)
            }
            Some(Err(error)) if error.may_have_been_sent() => {
                self.call.set_may_have_run();
                Err(SendError::ConnectionBroken(error))
            }
            Some(Err(error)) => Err(SendError::NotSent(error)),
            None => {
                self.call.set_may_have_run();
                Err(SendError::TimedOut)
            }
        }
    }

    /// Ends the attempt and reports its outcome to the router, the crash tracker and the metrics.
    pub(crate) fn finish(mut self, outcome: Outcome, tokens: u64) {
        self.shared.metrics.count_attempt(&self.target_key.pool, outcome_label(outcome));
        if outcome == Outcome::Leaving {
            let mut leaving = self.shared.leaving_targets.borrow_mut();
            leaving.record(&self.target_key, Instant::now());
            self.shared.router.mark_leaving(&self.target_key.pool, &self.target_key.target);
        }
        if outcome == Outcome::Ok
            && let Some(fingerprint) = self.call.fingerprint
        {
            self.shared.crash_tracker.borrow_mut().record_success(fingerprint);
        }
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.finish(outcome, tokens, Instant::now());
        }
    }

    /// Ends the attempt after the connection broke while the target may have been executing the
    /// call.
    ///
    /// The target counts as crashed only if it no longer listens: a broken connection or a
    /// truncated response alone does not implicate the request.
    ///
    /// Returns `true` if the target crashed.
    pub(crate) async fn finish_broken(self, error: &NetError, tokens: u64) -> bool {
        let crashed = !self.shared.client.accepts_connections(self.address).await;
        log::warn!(
            target: "call",
            "connection broke request={} pool={} target={} crashed={crashed} suspect={} \
             error={error}",
            self.call.head.request_id, self.target_key.pool, self.target_key.target, self.is_suspect
        );
        if crashed {
            self.shared.metrics.count_crash(&self.target_key.pool);
            if let Some(fingerprint) = self.call.fingerprint {
                self.shared.crash_tracker.borrow_mut().record_crash(
                    fingerprint,
                    &self.target_key,
                    self.is_suspect,
                    Instant::now(),
                );
            }
        }
        self.finish(Outcome::Crashed, tokens);
        crashed
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.call.add_engine_time(self.started_at.elapsed());
        if self.in_flight.is_some() {
            self.shared.metrics.count_attempt(&self.target_key.pool, "cancelled");
        }
        if self.is_suspect {
            self.shared.crash_tracker.borrow_mut().record_suspect_end(&self.target_key);
            self.shared.suspect_attempt_ended.notify_waiters();
        }
    }
}

/// Returns the label of an outcome in the attempt counter.
fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Failed => "failed",
        Outcome::Crashed => "crashed",
        Outcome::Refused => "refused",
        Outcome::Leaving => "leaving",
        Outcome::TimedOut => "timed_out",
    }
}

/// Waits until the router picks a target. Returns it and whether the request is a crash suspect.
///
/// A suspect is first kept away from targets that run another suspect, so that a crash can be
/// attributed to one request.
async fn pick_target(
    shared: &SharedRef,
    call: &Call,
    failed: &[TargetId],
) -> Result<(Pick, bool), CallError> {
    let pick_started = Instant::now();
    let mut exclude_failed = true;
    loop {
        shared.check_not_blocked(call)?;
        let now = Instant::now();
        if now >= call.head.deadline {
            let message = "the deadline passed before the request left for a target";
            return Err(CallError::new(ErrorKind::DeadlineBeforeRun, message));
        }
        let is_suspect = call
            .fingerprint
            .is_some_and(|fingerprint| shared.crash_tracker.borrow().is_suspect(fingerprint));
        let mut excluded_targets = if exclude_failed { failed.to_vec() } else { Vec::new() };
        let mut suspect_targets = Vec::new();
        if is_suspect && pick_started.elapsed() < shared.options.crash.max_isolation_wait {
            suspect_targets = shared.crash_tracker.borrow().targets_with_suspects(&call.pool.name);
            excluded_targets.extend(suspect_targets.iter().cloned());
        }
        let request = PickRequest {
            pool: &call.pool.name,
            expected_tokens: call.expected_tokens,
            priority: call.head.priority,
            affinity: call.affinity_hash,
            exclude: &excluded_targets,
            only: None,
            now,
        };
        if is_suspect && pick_started.elapsed() < MAX_OWN_TARGET_WAIT {
            let own_targets = own_targets_for_suspects(shared, call);
            let own_request = PickRequest { only: Some(&own_targets), ..request.clone() };
            if let Ok(pick) = shared.router.pick(&own_request) {
                return Ok((pick, is_suspect));
            }
            if own_targets.iter().any(|target| suspect_targets.contains(target)) {
                wait_for_suspect_end(shared, now).await;
                continue;
            }
        }
        match shared.router.pick(&request) {
            Ok(pick) => return Ok((pick, is_suspect)),
            Err(PickError::NoTarget(_)) if !suspect_targets.is_empty() => {
                wait_for_suspect_end(shared, now).await;
            }
            Err(PickError::NoTarget(_)) if exclude_failed && !failed.is_empty() => {
                // No other target is left; one that failed may have recovered.
                exclude_failed = false;
                monoio::time::sleep(PICK_RETRY_INTERVAL).await;
            }
            Err(PickError::Busy(..)) if pick_started.elapsed() < MAX_BUSY_WAIT => {
                monoio::time::sleep(PICK_RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Waits until an attempt of a suspect ends, at most until the next target selection is due.
async fn wait_for_suspect_end(shared: &SharedRef, now: Instant) {
    let _ = timeout_at(now + PICK_RETRY_INTERVAL, shared.suspect_attempt_ended.notified()).await;
}

/// Returns the targets of the call's pool on which this VM runs suspects, without ejected ones.
fn own_targets_for_suspects(shared: &SharedRef, call: &Call) -> Vec<TargetId> {
    let members = shared.peer.members().into_iter();
    let vms: Vec<_> = members
        .filter(|member| matches!(member.state, MemberState::Live | MemberState::Suspect))
        .map(|member| member.vm)
        .collect();
    let targets = call.pool.spec.targets.iter().map(|target| &target.id);
    let mut own_targets = targets_for_suspects(&shared.options.vm, &vms, targets);
    for status in shared.router.targets(&call.pool.name) {
        if status.health != HealthState::Healthy {
            own_targets.retain(|target| *target != status.target);
        }
    }
    own_targets
}

/// Builds a request to a target, with the remaining time in the deadline header.
pub(crate) fn build_target_request(
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
    request.headers_mut().insert(DEADLINE_MS_HEADER, HeaderValue::from(remaining_ms));
    crate::response::set_request_id(request.headers_mut(), &call.head.request_id);
    Ok(request)
}

/// Returns the outcome if a target refused the call before executing it; `None` otherwise.
pub(crate) fn refusal_outcome(response: &ClientResponse) -> Option<Outcome> {
    let has_flag = |name: HeaderName| response.headers.get(name).is_some_and(|value| value == "1");
    if response.status == 503 && has_flag(LEAVING_HEADER) {
        Some(Outcome::Leaving)
    } else if response.status.as_u16() >= 400 && has_flag(NOT_RUN_HEADER) {
        Some(Outcome::Refused)
    } else {
        None
    }
}

/// Returns headers with the JSON content type.
pub(crate) fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}
