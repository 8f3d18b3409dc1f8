//! Forwarding of one request: retries and hedging until a target has replied.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    error::{CallError, ErrorKind},
    id::{OrganisationId, RequestId, TargetId},
    priority::Priority,
};
use deck_duty::usage::UsageMeter;
use deck_fleet::{
    FleetView, Observer, PlatformProtocol, RequestPurpose, ResumptionOutcome, ResumptionScope,
    Route, RouteKind, Target, TargetState,
};
use deck_limit::{BudgetOptions, HedgeBudget, RetryBudget, Shares, crash::fingerprint};
use deck_net::hop_by_hop::strip_hop_by_hop;
use deck_reach::TargetClient;
use deck_route::{Pick, PickRequest};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use http::{HeaderMap, Method, Uri, header};

use crate::{
    AttemptError, CrashGuard, Reply, ReplyBody, StreamOrigins,
    attempt::{AttemptContext, RequiredVersion, running_version},
    resume::{Destination, OriginKey, failed_outcome},
    stream::{StreamResumption, StreamWriter},
};

/// Options of a [`Forwarder`].
#[derive(Debug, Clone)]
pub struct ForwardOptions {
    /// Fraction of the route's target latency after which an idempotent request is sent to a second
    /// target. The remaining target latency must suffice for the second attempt.
    pub hedge_delay_ratio: f64,
    /// Minimum delay before a request is sent to a second target.
    pub min_hedge_delay: Duration,
    /// Retry-After value when no target is available.
    pub no_target_retry_after: Duration,
    /// Retry-After value when all available targets have refused the request.
    pub overload_retry_after: Duration,
    /// Budget of hedged attempts per service, counted over the requests of all callers.
    pub hedge_budget: BudgetOptions,
}

impl Default for ForwardOptions {
    fn default() -> Self {
        Self {
            hedge_delay_ratio: 0.4,
            min_hedge_delay: Duration::from_millis(20),
            no_target_retry_after: Duration::from_millis(500),
            overload_retry_after: Duration::from_millis(100),
            hedge_budget: BudgetOptions {
                extra_attempts_per_call: 0.25,
                reserve_attempts: 5.0,
                max_balance_attempts: 20.0,
            },
        }
    }
}

/// Request to forward.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    /// Request id that is sent to targets.
    pub request_id: RequestId,
    /// HTTP method, sent unchanged to targets.
    pub method: Method,
    /// Path and query, sent unchanged to targets.
    pub uri: Uri,
    /// Headers as received from the caller; hop-by-hop headers are removed before an attempt.
    pub headers: HeaderMap,
    /// Complete body; kept until the end of the request, because each attempt sends it again.
    pub body: Bytes,
    /// Organisation of the caller, for the target.
    pub organisation: Option<OrganisationId>,
    /// Route that the request matched.
    pub route: Rc<Route>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Number of the last event that the caller has received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event, when the caller resumes a stream.
    pub resumes: Option<RequestId>,
    /// Longest time that a stream of the caller may take over all its attempts.
    pub max_stream_duration: Duration,
    /// Whether the request is made on behalf of an accepted batch item. Such a request is never
    /// refused because of target crashes, and no crash is attributed to it.
    pub is_owed: bool,
}

/// Forwards requests to targets. Clones share their budgets.
#[derive(Clone)]
pub struct Forwarder {
    pub(crate) fleet_view: FleetView,
    client: TargetClient,
    protocol: Rc<dyn PlatformProtocol>,
    crash_guard: CrashGuard,
    pub(crate) observer: Rc<dyn Observer>,
    /// Which software version began each stream.
    pub(crate) origins: StreamOrigins,
    options: ForwardOptions,
    hedge_budget: HedgeBudget,
    /// Counts the runs of each organisation; `None` if its use is not reported.
    usage: Option<UsageMeter>,
    /// Use of the services by the organisations.
    shares: Shares,
}

/// Stands for the organisation in the keys of the hedge budget, which is common to all callers.
const HEDGE_BUDGET_KEY: &str = "callers";

/// State of one request across its attempts: which targets were tried, how often it may have run, and
/// the best result up to now.
pub(crate) struct RequestProgress {
    /// Targets that were tried, the current one included, and must not be chosen again.
    pub(crate) tried_targets: Vec<TargetId>,
    /// Number of them that refused the request because they had no room.
    pub(crate) full_targets: usize,
    /// Number of attempts that ran the request or may have run it.
    pub(crate) possible_runs: u32,
    /// Error of the last attempt that may have run the request but produced no valid reply.
    last_error: Option<String>,
    /// Reply with a server error; returned to the caller if no other attempt succeeds.
    error_reply: Option<Reply>,
    /// Whether a second target may be tried before the first one has replied; cleared when the hedge
    /// budget is used up or no second target is available.
    may_hedge: bool,
}

impl Forwarder {
    /// Returns a forwarder that chooses among the targets of `fleet_view`.
    pub fn new(
        fleet_view: FleetView,
        client: impl Into<TargetClient>,
        protocol: Rc<dyn PlatformProtocol>,
        crash_guard: CrashGuard,
        observer: Rc<dyn Observer>,
        options: ForwardOptions,
    ) -> Self {
        let retry_budget = RetryBudget::new(options.hedge_budget);
        let hedge_budget = HedgeBudget::new(options.hedge_budget, retry_budget);
        let origins = StreamOrigins::default();
        Self {
            fleet_view,
            client: client.into(),
            protocol,
            crash_guard,
            observer,
            origins,
            options,
            hedge_budget,
            usage: None,
            shares: Shares::default(),
        }
    }

    /// Returns the use of the services by the organisations.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Counts the runs of the requests of callers.
    pub fn with_usage_meter(self, usage: Option<UsageMeter>) -> Self {
        Self { usage, ..self }
    }

    /// Shares the origins of streams with other nodes, so that callers can resume streams there.
    pub fn with_stream_origins(self, origins: StreamOrigins) -> Self {
        Self { origins, ..self }
    }

    /// Forwards a request and returns the target's reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no target replied. Its run state is `not_run` only if no target can have run
    /// the request.
    pub async fn forward(&self, call: ForwardRequest) -> Result<Reply, CallError> {
        let (id, route) = (call.request_id.clone(), call.route.clone());
        let (started_at, known_state) = (Instant::now(), self.fleet_view.version_and_age());
        let is_resumption = call.is_resumption();
        let result = self.try_targets(call).await;
        if is_resumption {
            let outcome = match &result {
                Ok(reply) if reply.status.is_success() => ResumptionOutcome::Resumed,
                Ok(_) => ResumptionOutcome::Failed,
                Err(not_served) => failed_outcome(&not_served.error),
            };
            self.observer.on_stream_resumption(ResumptionScope::Caller, outcome);
        }
        let (route, ms) = (&route.name, started_at.elapsed().as_millis());
        match result {
            Ok(reply) => {
                let (target, status) = (&reply.target, reply.status.as_u16());
                log::info!(target: "forward", "served request={id} route={route} target={target} status={status} ms={ms} {known_state}");
                Ok(reply)
            }
            Err(NotServed { error, tried_count }) => {
                log::warn!(target: "forward", "not served request={id} route={route} tried={tried_count} ms={ms} {known_state} error={error}");
                Err(error)
            }
        }
    }

    /// Tries targets one after the other, or hedged, until one replies or the attempts are used up.
    async fn try_targets(&self, call: ForwardRequest) -> Result<Reply, NotServed> {
        let route = call.route.clone();
        let destination = self.choose_destination(&call).await;
        let destination = destination.map_err(|error| NotServed { error, tried_count: 0 })?;
        let Destination { service, required_version } = destination;
        let always_stream = route.kind == RouteKind::Streaming;
        let may_retry = route.allows_retry();
        let share = self.charge_share(&call, &service);
        let share = share.map_err(|error| NotServed { error, tried_count: 0 })?;
        self.hedge_budget.record_call(&service, HEDGE_BUDGET_KEY);
        let mut origin_key = OriginKey::of(&call).filter(|_| is_resumable(&route));
        let context = self.attempt_context(call, service.clone(), always_stream, required_version);
        let context = Rc::new(context);
        let mut progress = RequestProgress {
            tried_targets: Vec::new(),
            full_targets: 0,
            possible_runs: 0,
            last_error: None,
            error_reply: None,
            may_hedge: route.kind == RouteKind::Idempotent,
        };
        let mut running_attempts: FuturesUnordered<LocalBoxFuture<'_, _>> = FuturesUnordered::new();
        let hedge_delay = self
            .options
            .min_hedge_delay
            .max(route.target_latency.mul_f64(self.options.hedge_delay_ratio));
        loop {
            if running_attempts.is_empty() {
                if Instant::now() >= context.deadline {
                    return self.final_result(progress, &context, None);
                }
                match self.pick_target(&service, &progress, route.max_attempts, &context) {
                    Ok(pick) => {
                        progress.tried_targets.push(pick.target.clone());
                        running_attempts.push(run_attempt(context.clone(), pick).boxed_local());
                    }
                    Err(error) => {
                        let error = error.map(|error| match &share {
                            Some(share) if progress.possible_runs == 0 => {
                                let all_full =
                                    progress.full_targets == progress.tried_targets.len();
                                share.return_charge(error, all_full, &context.request_id)
                            }
                            _ => error,
                        });
                        return self.final_result(progress, &context, error);
                    }
                }
            }
            let attempts_in_flight = running_attempts.len() as u32;
            let may_hedge = progress.may_hedge
                && attempts_in_flight == 1
                && progress.possible_runs + 1 < route.max_attempts;
            let wait = if may_hedge { hedge_delay } else { Duration::MAX };
            let Some((_, result)) = next_result_within(&mut running_attempts, wait).await else {
                self.start_hedge(&service, &mut progress, &context, &mut running_attempts);
                continue;
            };
            match result {
                Ok(reply) if !may_retry || !reply.status.is_server_error() => {
                    progress.possible_runs += 1;
                    let key = origin_key.take();
                    return Ok(self.make_resumable(reply, &route, service, key, context, progress));
                }
                Ok(mut reply) => {
                    progress.possible_runs += 1;
                    reply.status_500_count +=
                        progress.error_reply.map_or(0, |earlier| earlier.status_500_count);
                    progress.error_reply = Some(reply);
                }
                Err(AttemptError::NotRun(_)) => {}
                Err(AttemptError::Full(_)) => progress.full_targets += 1,
                Err(AttemptError::Unknown(message) | AttemptError::Broken(message)) => {
                    progress.possible_runs += 1;
                    progress.last_error = Some(message);
                    if !may_retry {
                        return self.final_result(progress, &context, None);
                    }
                }
            }
        }
    }

    /// Turns a streamed reply into one that another target can resume, if its route allows that, and
    /// records under `origin_key` which software version streams it.
    fn make_resumable(
        &self,
        reply: Reply,
        route: &Route,
        service: String,
        origin_key: Option<OriginKey>,
        context: Rc<AttemptContext>,
        progress: RequestProgress,
    ) -> Reply {
        let can_resume = is_resumable(route) && reply.status.is_success();
        let entry = reply.target_entry.as_ref().filter(|_| can_resume);
        let software_version = entry.and_then(|entry| running_version(&self.fleet_view, entry));
        let body = match (reply.body, reply.target_entry.clone(), software_version) {
            (ReplyBody::Streaming(streaming), Some(entry), Some(software_version)) => {
                let is_continuation = context.required_version != RequiredVersion::Any;
                let required_version = RequiredVersion::Exactly(software_version);
                let context = Rc::new(AttemptContext { required_version, ..(*context).clone() });
                let writer = StreamWriter { entry, sent_at_ms: reply.sent_at_ms, is_continuation };
                let resumption = StreamResumption {
                    forwarder: self.clone(),
                    context,
                    service,
                    origin_key,
                    writer,
                    max_runs: route.max_attempts,
                    progress,
                };
                resumption.record_origin();
                ReplyBody::EventStream(streaming, Box::new(resumption))
            }
            (body, _, _) => body,
        };
        Reply { body, ..reply }
    }

    /// Builds the data that all attempts of a request share.
    fn attempt_context(
        &self,
        call: ForwardRequest,
        service: String,
        always_stream: bool,
        required_version: RequiredVersion,
    ) -> AttemptContext {
        let path = call.uri.path_and_query().map_or("", |path| path.as_str());
        let fingerprint =
            (!call.is_owed).then(|| fingerprint(&service, call.method.as_str(), path, &call.body));
        let is_repeatable = call.route.allows_retry();
        let mut headers = call.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        AttemptContext {
            fleet_view: self.fleet_view.clone(),
            client: self.client.clone(),
            crash_guard: self.crash_guard.clone(),
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
            organisation: call.organisation,
            usage: self.usage.clone().filter(|_| !call.is_owed),
            deadline: call.deadline,
            always_stream,
            is_repeatable,
            required_version,
        }
    }

    /// Chooses the target of the next attempt. Returns `Err(None)` if the attempts are used up.
    ///
    /// Suspect requests avoid targets that run another suspect, unless no other target is available.
    /// A request that resumes a stream is sent only to targets of the required software version.
    pub(crate) fn pick_target(
        &self,
        service: &str,
        progress: &RequestProgress,
        max_runs: u32,
        context: &AttemptContext,
    ) -> Result<Pick, Option<CallError>> {
        if progress.possible_runs >= max_runs {
            return Err(None);
        }
        if let Some(fingerprint) = context.fingerprint {
            self.crash_guard.check_allowed(fingerprint)?;
        }
        let allowed_targets = self.allowed_targets(service, &context.required_version)?;
        let LimitedTargets { exhausted, next_request_after } = self.limited_targets(service);
        let pick = |exclude: &[TargetId]| {
            self.fleet_view.router().pick(&PickRequest {
                pool: service,
                expected_tokens: 1,
                priority: Priority::Interactive,
                affinity: None,
                exclude,
                only: allowed_targets.as_deref(),
                now: Instant::now(),
            })
        };
        let suspect_targets = context.fingerprint.map_or_else(Vec::new, |fingerprint| {
            self.crash_guard.targets_to_avoid(fingerprint, service)
        });
        let excluded = [progress.tried_targets.as_slice(), &exhausted].concat();
        if !suspect_targets.is_empty()
            && let Ok(pick) = pick(&[suspect_targets, excluded.clone()].concat())
        {
            self.count_request(&pick);
            return Ok(pick);
        }
        let has_tried_targets = !progress.tried_targets.is_empty();
        let picked = pick(&excluded).map_err(|error| {
            let (kind, wait) = match next_request_after {
                // Another node may have more of the limit left.
                Some(wait) => (ErrorKind::Overloaded, wait.min(self.options.no_target_retry_after)),
                None if has_tried_targets => {
                    (ErrorKind::TargetRefused, self.options.overload_retry_after)
                }
                None => (ErrorKind::NoTarget, self.options.no_target_retry_after),
            };
            Some(CallError::new(kind, error.to_string()).with_retry_after(wait))
        });
        picked.inspect(|pick| self.count_request(pick))
    }

    /// Returns the targets of a service that have named a limit and take no request of this node
    /// now.
    fn limited_targets(&self, service: &str) -> LimitedTargets {
        let mut limited = LimitedTargets::default();
        let limits = self.fleet_view.limits();
        let Some(configuration) = self.fleet_view.configuration().filter(|_| !limits.is_empty())
        else {
            return limited;
        };
        for target in self.fleet_view.targets_of(service).iter() {
            let wait = limits.time_until_available(
                target,
                RequestPurpose::Request,
                &configuration,
                Instant::now(),
            );
            if !wait.is_zero() {
                limited.exhausted.push(target.id.clone());
                let earliest = limited.next_request_after.unwrap_or(wait).min(wait);
                limited.next_request_after = Some(earliest);
            }
        }
        limited
    }

    /// Counts a request against the limit of its target, if that has named one.
    fn count_request(&self, pick: &Pick) {
        let target = self.fleet_view.target(&pick.target);
        if let (Some(target), Some(configuration)) = (target, self.fleet_view.configuration()) {
            let (limits, purpose) = (self.fleet_view.limits(), RequestPurpose::Request);
            limits.count_request(&target, purpose, &configuration, Instant::now());
        }
    }

    /// Returns the targets of a service that have the required software version; `None` allows all.
    fn allowed_targets(
        &self,
        service: &str,
        required_version: &RequiredVersion,
    ) -> Result<Option<Vec<TargetId>>, CallError> {
        let RequiredVersion::Exactly(version) = required_version else { return Ok(None) };
        let targets = self.fleet_view.targets_of(service);
        let is_allowed = |target: &&Rc<Target>| {
            target.state == TargetState::Ready && target.software_version == *version
        };
        let allowed = targets.iter().filter(is_allowed).map(|target| target.id.clone());
        let allowed: Vec<TargetId> = allowed.collect();
        if allowed.is_empty() {
            let version = version.as_deref().unwrap_or("none");
            let message = format!("no target of software version {version} is left");
            return Err(CallError::new(ErrorKind::SoftwareVersionGone, message));
        }
        Ok(Some(allowed))
    }

    /// Starts an attempt on a second target while the first one runs, if the hedge budget allows it.
    fn start_hedge<'a>(
        &self,
        service: &str,
        progress: &mut RequestProgress,
        context: &Rc<AttemptContext>,
        running_attempts: &mut FuturesUnordered<LocalBoxFuture<'a, AttemptResult>>,
    ) {
        let is_within_budget = self.hedge_budget.try_take_hedge(service, HEDGE_BUDGET_KEY, true);
        let pick = is_within_budget.then(|| self.pick_target(service, progress, u32::MAX, context));
        match pick {
            Some(Ok(pick)) => {
                progress.tried_targets.push(pick.target.clone());
                running_attempts.push(run_attempt(context.clone(), pick).boxed_local());
            }
            Some(Err(_)) | None => progress.may_hedge = false,
        }
    }

    /// Returns the server error that a target replied with, or else the error of the last attempt that may
    /// have run the request, or else the refusal.
    fn final_result(
        &self,
        progress: RequestProgress,
        context: &AttemptContext,
        refusal: Option<CallError>,
    ) -> Result<Reply, NotServed> {
        if let Some(reply) = progress.error_reply {
            return Ok(reply);
        }
        let past_deadline = Instant::now() >= context.deadline;
        let error = match (progress.last_error, refusal) {
            (Some(message), _) if past_deadline => {
                CallError::new(ErrorKind::DeadlineExceeded, message)
            }
            (Some(message), _) => CallError::new(ErrorKind::TargetFailed, message),
            (None, Some(refusal)) => refusal,
            (None, None) => {
                CallError::new(ErrorKind::DeadlineBeforeRun, "no target took the request in time")
            }
        };
        Err(NotServed { error, tried_count: progress.tried_targets.len() })
    }
}

/// Returns whether a broken stream of the route may go on at another target.
pub(crate) fn is_resumable(route: &Route) -> bool {
    route.kind == RouteKind::Streaming && route.resumable
}

/// Targets of a service that take no request of this node now, because of the limits they named.
#[derive(Default)]
struct LimitedTargets {
    exhausted: Vec<TargetId>,
    /// Time until the first of them takes a request; `None` if there are none.
    next_request_after: Option<Duration>,
}

/// Failure of a request to which no target replied.
struct NotServed {
    /// Error that the caller receives.
    error: CallError,
    /// Number of targets that were tried.
    tried_count: usize,
}

/// Target of a finished attempt, and its reply or error.
type AttemptResult = (TargetId, Result<Reply, AttemptError>);

/// Runs an attempt; owns its context, so that the attempt can outlive the current loop iteration.
async fn run_attempt(context: Rc<AttemptContext>, pick: Pick) -> AttemptResult {
    context.run(pick).await
}

/// Returns the next finished attempt, or `None` if none finishes within `wait`.
async fn next_result_within(
    running_attempts: &mut FuturesUnordered<LocalBoxFuture<'_, AttemptResult>>,
    wait: Duration,
) -> Option<AttemptResult> {
    if wait == Duration::MAX {
        return running_attempts.next().await;
    }
    monoio::time::timeout(wait, running_attempts.next()).await.ok().flatten()
}
