//! Attempts of one request until it has an answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    error::{CallError, ErrorKind},
    id::{RequestId, TargetId},
    priority::Priority,
};
use deck_fleet::{Observer, Protocol, Route, RouteKind, View};
use deck_limit::{BudgetOptions, HedgeBudget, RetryBudget, crash::fingerprint};
use deck_net::Client;
use deck_route::{Pick, PickRequest};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use http::{HeaderMap, Method, Uri, header};

use crate::{
    AttemptError, CrashGuard, Reply, ReplyBody, attempt::Attempt, headers::strip_hop_by_hop,
    stream::Resume,
};

/// Options of a [`Forwarder`].
#[derive(Debug, Clone)]
pub struct ForwardOptions {
    /// Part of the route's target latency after which a request that may be repeated is sent to a
    /// second target. The rest of the latency has to suffice for the second attempt.
    pub hedge_after: f64,
    /// Shortest time after which a request is sent to a second target.
    pub min_hedge: Duration,
    /// Retry-After where no target takes the request.
    pub no_target_retry: Duration,
    /// Retry-After where all targets are full.
    pub full_retry: Duration,
    /// Budget of second attempts.
    pub hedge_budget: BudgetOptions,
}

impl Default for ForwardOptions {
    fn default() -> Self {
        Self {
            hedge_after: 0.4,
            min_hedge: Duration::from_millis(20),
            no_target_retry: Duration::from_millis(500),
            full_retry: Duration::from_millis(100),
            hedge_budget: BudgetOptions {
                ratio: 0.25,
                reserve_attempts: 5.0,
                max_balance_attempts: 20.0,
            },
        }
    }
}

/// One request to forward.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id that targets see.
    pub request_id: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Route.
    pub route: Rc<Route>,
    /// Time at which the caller no longer waits.
    pub deadline: Instant,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// Forwards requests to targets; clones share their budgets.
#[derive(Clone)]
pub struct Forwarder {
    view: View,
    client: Client,
    protocol: Rc<dyn Protocol>,
    crashes: CrashGuard,
    observer: Rc<dyn Observer>,
    options: ForwardOptions,
    hedges: HedgeBudget,
}

/// Name under which budgets count requests of callers.
const CALLERS: &str = "callers";

/// Progress of one request.
pub(crate) struct Progress {
    /// Targets that must not be chosen again.
    pub(crate) tried: Vec<TargetId>,
    /// Attempts that may have run.
    pub(crate) sent: u32,
    /// The last error of an attempt that may have run.
    unknown: Option<String>,
    /// A failure that a target answered; passed on if no other attempt succeeds.
    failure: Option<Reply>,
    /// Whether another target may be tried before the first one has answered.
    may_hedge: bool,
}

impl Forwarder {
    /// Returns a forwarder that chooses among the targets of `view`.
    pub fn new(
        view: View,
        client: Client,
        protocol: Rc<dyn Protocol>,
        crashes: CrashGuard,
        observer: Rc<dyn Observer>,
        options: ForwardOptions,
    ) -> Self {
        let retries = RetryBudget::new(options.hedge_budget);
        let hedges = HedgeBudget::new(options.hedge_budget, retries);
        Self { view, client, protocol, crashes, observer, options, hedges }
    }

    /// Forwards a request and returns the target's answer.
    ///
    /// # Errors
    ///
    /// The error's run state is `not_run` only if no target can have run the request.
    pub async fn forward(&self, call: Call) -> Result<Reply, CallError> {
        let (id, route) = (call.request_id.clone(), call.route.clone());
        let (started, known) = (Instant::now(), self.view.known());
        let result = self.run(call).await;
        let (route, ms) = (&route.name, started.elapsed().as_millis());
        match result {
            Ok(reply) => {
                let (target, status) = (&reply.target, reply.status.as_u16());
                log::info!(target: "forward", "served request={id} route={route} target={target} status={status} ms={ms} {known}");
                Ok(reply)
            }
            Err(NotServed { error, tried }) => {
                log::warn!(target: "forward", "not served request={id} route={route} tried={tried} ms={ms} {known} error={error}");
                Err(error)
            }
        }
    }

    async fn run(&self, call: Call) -> Result<Reply, NotServed> {
        let route = call.route.clone();
        let service = route.service(rand::random::<f64>()).to_owned();
        let streaming = route.kind == RouteKind::Streaming;
        let may_repeat = route.may_repeat();
        self.hedges.record_call(&service, CALLERS);
        let attempt = Rc::new(self.attempt(call, service.clone(), streaming));
        let mut progress = Progress {
            tried: Vec::new(),
            sent: 0,
            unknown: None,
            failure: None,
            may_hedge: route.kind == RouteKind::Idempotent,
        };
        let mut running: FuturesUnordered<LocalBoxFuture<'_, _>> = FuturesUnordered::new();
        let hedge_wait =
            self.options.min_hedge.max(route.target_latency.mul_f64(self.options.hedge_after));
        loop {
            if running.is_empty() {
                if Instant::now() >= attempt.deadline {
                    return self.give_up(progress, &attempt, None);
                }
                match self.next_pick(&service, &progress, route.attempts, &attempt) {
                    Ok(pick) => {
                        progress.tried.push(pick.target.clone());
                        running.push(run_attempt(attempt.clone(), pick).boxed_local());
                    }
                    Err(error) => return self.give_up(progress, &attempt, error),
                }
            }
            let in_flight = running.len() as u32;
            let may_hedge =
                progress.may_hedge && in_flight == 1 && progress.sent + 1 < route.attempts;
            let wait = if may_hedge { hedge_wait } else { Duration::MAX };
            let Some((_, result)) = next_within(&mut running, wait).await else {
                self.hedge(&service, &mut progress, &attempt, &mut running);
                continue;
            };
            match result {
                Ok(reply) if !may_repeat || !reply.status.is_server_error() => {
                    progress.sent += 1;
                    return Ok(self.resumable(reply, &route, service, attempt, progress));
                }
                Ok(mut reply) => {
                    progress.sent += 1;
                    reply.failures += progress.failure.map_or(0, |earlier| earlier.failures);
                    progress.failure = Some(reply);
                }
                Err(AttemptError::NotRun(_)) => {}
                Err(AttemptError::Unknown(message) | AttemptError::Broken(message)) => {
                    progress.sent += 1;
                    progress.unknown = Some(message);
                    if !may_repeat {
                        return self.give_up(progress, &attempt, None);
                    }
                }
            }
        }
    }

    /// Lets a stream go on at another target, where its route allows that.
    fn resumable(
        &self,
        reply: Reply,
        route: &Route,
        service: String,
        attempt: Rc<Attempt>,
        progress: Progress,
    ) -> Reply {
        let resumes =
            route.kind == RouteKind::Streaming && route.resumable && reply.status.is_success();
        let body = match reply.body {
            ReplyBody::Stream(response) if resumes => {
                let (forwarder, attempts) = (self.clone(), route.attempts);
                let resume = Resume { forwarder, attempt, service, attempts, progress };
                ReplyBody::Events(response, Box::new(resume))
            }
            body => body,
        };
        Reply { body, ..reply }
    }

    fn attempt(&self, call: Call, service: String, streaming: bool) -> Attempt {
        let path = call.uri.path_and_query().map_or("", |path| path.as_str());
        let fingerprint = fingerprint(&service, call.method.as_str(), path, &call.body);
        let mut headers = call.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        Attempt {
            view: self.view.clone(),
            client: self.client.clone(),
            crashes: self.crashes.clone(),
            observer: self.observer.clone(),
            service,
            fingerprint,
            protocol: self.protocol.clone(),
            method: call.method,
            uri: call.uri,
            headers,
            body: call.body,
            request_id: call.request_id,
            last_event: call.last_event,
            priority: None,
            deadline: call.deadline,
            streaming,
        }
    }

    /// Chooses the target of the next attempt; `Err(None)` if the attempts are used up.
    pub(crate) fn next_pick(
        &self,
        service: &str,
        progress: &Progress,
        attempts: u32,
        attempt: &Attempt,
    ) -> Result<Pick, Option<CallError>> {
        if progress.sent >= attempts {
            return Err(None);
        }
        self.crashes.check(attempt.fingerprint)?;
        let pick = |exclude: &[TargetId]| {
            self.view.router().pick(&PickRequest {
                pool: service,
                expected_tokens: 1,
                priority: Priority::Interactive,
                affinity: None,
                exclude,
                now: Instant::now(),
            })
        };
        let isolated_from = self.crashes.excluded(attempt.fingerprint, service);
        if !isolated_from.is_empty() {
            let exclude = [isolated_from, progress.tried.clone()].concat();
            if let Ok(pick) = pick(&exclude) {
                return Ok(pick);
            }
        }
        let refused = !progress.tried.is_empty();
        pick(&progress.tried).map_err(|error| {
            let (kind, wait) = if refused {
                (ErrorKind::TargetRefused, self.options.full_retry)
            } else {
                (ErrorKind::NoTarget, self.options.no_target_retry)
            };
            Some(CallError::new(kind, error.to_string()).with_retry_after(wait))
        })
    }

    fn hedge<'a>(
        &self,
        service: &str,
        progress: &mut Progress,
        attempt: &Rc<Attempt>,
        running: &mut FuturesUnordered<LocalBoxFuture<'a, AttemptResult>>,
    ) {
        let in_budget = self.hedges.try_take_hedge(service, CALLERS, true);
        let pick = in_budget.then(|| self.next_pick(service, progress, u32::MAX, attempt));
        match pick {
            Some(Ok(pick)) => {
                progress.tried.push(pick.target.clone());
                running.push(run_attempt(attempt.clone(), pick).boxed_local());
            }
            Some(Err(_)) | None => progress.may_hedge = false,
        }
    }

    /// Returns the failure that a target answered, or the error that tells most.
    fn give_up(
        &self,
        progress: Progress,
        attempt: &Attempt,
        refusal: Option<CallError>,
    ) -> Result<Reply, NotServed> {
        if let Some(reply) = progress.failure {
            return Ok(reply);
        }
        let late = Instant::now() >= attempt.deadline;
        let error = match (progress.unknown, refusal) {
            (Some(message), _) if late => CallError::new(ErrorKind::DeadlineExceeded, message),
            (Some(message), _) => CallError::new(ErrorKind::TargetFailed, message),
            (None, Some(refusal)) => refusal,
            (None, None) => {
                CallError::new(ErrorKind::DeadlineBeforeRun, "no target took the request in time")
            }
        };
        Err(NotServed { error, tried: progress.tried.len() })
    }
}

/// Why a request has no answer of a target.
struct NotServed {
    error: CallError,
    /// Targets that were tried.
    tried: usize,
}

type AttemptResult = (TargetId, Result<Reply, AttemptError>);

async fn run_attempt(attempt: Rc<Attempt>, pick: Pick) -> AttemptResult {
    attempt.run(pick).await
}

/// Returns the next finished attempt; `None` after the wait.
async fn next_within(
    running: &mut FuturesUnordered<LocalBoxFuture<'_, AttemptResult>>,
    wait: Duration,
) -> Option<AttemptResult> {
    if wait == Duration::MAX {
        return running.next().await;
    }
    monoio::time::timeout(wait, running.next()).await.ok().flatten()
}
