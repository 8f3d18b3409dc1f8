//! Runs one item on an engine and receives its event stream.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{CancellationToken, id::WeightVersion, wall_clock::unix_time_ms};
use deck_fleet::{DispatchMetadata, ItemRunOutcome, ResponseMetadata, RunGuard, Target};
use deck_net::{ClientResponse, sse::may_be_event_stream};
use http::{Method, Request, StatusCode};

use crate::{
    events::EventParser,
    job::{ItemPhase, ItemState, Job, Progress},
    runner::RunnerState,
    speculation::SPECULATIVE_PRIORITY,
};

/// How a run ended.
enum RunOutcome {
    /// The text is complete.
    Complete,
    /// The stream failed or timed out; the item resumes from its last event on another engine.
    Broken(String),
    /// The engine did not start the run.
    Refused(String),
    /// The engine executed the run and reported a failure.
    Failed(StatusCode),
    /// The request is invalid on every engine, so the item fails.
    Impossible,
    /// The run was cancelled to migrate the item to a faster engine.
    Moved,
    /// The run was not sent, because the job's ownership has to be confirmed first.
    Withheld,
}

impl RunOutcome {
    /// Returns the outcome to report to the [`Observer`](deck_fleet::Observer).
    fn as_observed_outcome(&self) -> ItemRunOutcome {
        match self {
            Self::Complete => ItemRunOutcome::Complete,
            Self::Broken(_) => ItemRunOutcome::Broken,
            Self::Refused(_) => ItemRunOutcome::Refused,
            Self::Failed(_) => ItemRunOutcome::Failed,
            Self::Impossible => ItemRunOutcome::Impossible,
            Self::Moved => ItemRunOutcome::Moved,
            Self::Withheld => ItemRunOutcome::Stopped,
        }
    }
}

/// Minimum number of events of a run whose time per event is compared with the expected one.
const MIN_COMPARED_EVENTS: u64 = 8;

/// Runs a waiting item on `target`, where an event is expected to take `expected_event_ms`, and sets
/// the item's next phase from the outcome.
pub(crate) async fn run_item(
    runner: Rc<RunnerState>,
    job: Rc<Job>,
    item_state: Rc<ItemState>,
    target: Rc<Target>,
    expected_event_ms: f64,
    run_guard: RunGuard,
) {
    let started = Instant::now();
    let (id, start_event) = (&item_state.item.id, item_state.progress.borrow().last_event);
    let (speculative, complete) = (item_state.is_speculative, job.is_complete());
    let checked_ms = job.ownership_age_ms();
    let version = software_label(target.software_version.as_deref());
    let known_ms = runner.deps.view.targets_age(started).unwrap_or_default().as_millis();
    log::info!(target: "batch", "run starts item={id} job={} target={} event={start_event} speculative={speculative} job_complete={complete} checked_ms={checked_ms} known_ms={known_ms} version={version}", job.id, target.id);
    let observer = runner.deps.observer.clone();
    if item_state.started_at.get().is_none() && !item_state.is_speculative {
        observer.on_first_run(job.submitted_at.elapsed());
    }
    item_state.target.replace(Some(target.id.clone()));
    item_state.started_at.set(Some(started));
    item_state.response_received.set(false);
    let migration_token = CancellationToken::new();
    item_state.migration_token.replace(migration_token.clone());
    let sent_at_ms = unix_time_ms();
    let was_relayed = runner.deps.client.is_relayed(target.address);
    let generation =
        migration_token.run_until_cancelled(generate_text(&runner, &job, &item_state, &target));
    let stop_token =
        if item_state.is_speculative { &job.speculation_stop_token } else { &job.stop_token };
    let outcome = match stop_token.run_until_cancelled(generation).await {
        Some(outcome) => outcome.unwrap_or(RunOutcome::Moved),
        // Dropping the future has closed the connection, which makes the engine abort the run.
        None => {
            observer.on_item_run_end(ItemRunOutcome::Stopped, started.elapsed());
            item_state.set_phase(ItemPhase::Waiting);
            return;
        }
    };
    drop(run_guard);
    let outcome = attribute_text(&runner, &item_state, &target, sent_at_ms, start_event, outcome);
    let elapsed = started.elapsed();
    observer.on_item_run_end(outcome.as_observed_outcome(), elapsed);
    let ms = elapsed.as_millis();
    let end_event = item_state.progress.borrow().last_event;
    runner.deps.engines.record_run(
        &target,
        end_event.saturating_sub(start_event),
        elapsed,
        Instant::now(),
    );
    let events = end_event.saturating_sub(start_event);
    if events >= MIN_COMPARED_EVENTS {
        let expected = Duration::from_secs_f64(expected_event_ms.clamp(0.0, 1e6) / 1000.0);
        observer.on_event_time(expected, elapsed.div_f64(events as f64));
    }
    match outcome {
        RunOutcome::Complete => {
            log::info!(target: "batch", "run complete item={id} target={} event={end_event} ms={ms} events={events} expected_event_ms={expected_event_ms:.1}", target.id);
            if !item_state.is_speculative {
                runner.deps.engines.record_text_length(&job.record.borrow().model, end_event);
            }
            item_state.set_phase(ItemPhase::Generated);
        }
        RunOutcome::Broken(reason) => {
            record_failure(&runner, &target, was_relayed);
            log::info!(target: "batch", "run broken item={id} target={} event={end_event} ms={ms} reason={reason:?}", target.id);
            item_state.set_phase(ItemPhase::Waiting);
        }
        RunOutcome::Refused(reason) => {
            record_failure(&runner, &target, was_relayed);
            log::info!(target: "batch", "run refused item={id} target={} reason={reason:?}", target.id);
            item_state.set_phase(ItemPhase::Waiting);
        }
        RunOutcome::Failed(status) => {
            item_state.failures.set(item_state.failures.get() + 1);
            log::info!(target: "batch", "run failed item={id} target={} status={status}", target.id);
            if item_state.failures.get() >= job.record.borrow().limits.attempts {
                job.finish_item(&item_state, deck_fleet::ItemOutcome::Failed, None);
            } else {
                item_state.set_phase(ItemPhase::Waiting);
            }
        }
        RunOutcome::Moved => {
            log::info!(target: "batch", "run moves item={id} target={} event={end_event} ms={ms}", target.id);
            item_state.set_phase(ItemPhase::Waiting);
        }
        RunOutcome::Withheld => {
            log::info!(target: "batch", "run withheld item={id} job={} checked_ms={}", job.id, job.ownership_age_ms());
            item_state.set_phase(ItemPhase::Waiting);
        }
        RunOutcome::Impossible => {
            log::info!(target: "batch", "item impossible item={id} target={}", target.id);
            job.finish_item(&item_state, deck_fleet::ItemOutcome::Failed, None);
        }
    }
    runner.wake.notify_one();
}

/// Records that an engine has failed, unless the run showed that the links of this node to it have
/// failed, so that further runs go through other nodes.
fn record_failure(runner: &RunnerState, target: &Target, was_relayed: bool) {
    if was_relayed || !runner.deps.client.is_relayed(target.address) {
        runner.deps.engines.record_failure(target, Instant::now());
    }
}

/// Attributes the events of a run to the software version of the process that wrote them. A later
/// entry of the target may show that it had started again before the run was sent; a text with events
/// of another or of an unknown version is discarded, and its run counts as broken.
fn attribute_text(
    runner: &RunnerState,
    item_state: &ItemState,
    target: &Target,
    sent_at_ms: u64,
    start_event: u64,
    outcome: RunOutcome,
) -> RunOutcome {
    let mut progress = item_state.progress.borrow_mut();
    if progress.last_event == start_event {
        return outcome;
    }
    let id = &item_state.item.id;
    match runner.deps.view.answering_version(target, sent_at_ms) {
        Some(version) if version == target.software_version => outcome,
        Some(version) if start_event == 0 => {
            log::info!(target: "batch", "text is of another version item={id} target={} version={}", target.id, software_label(version.as_deref()));
            progress.software_version = version;
            outcome
        }
        _ => {
            log::info!(target: "batch", "text discarded item={id} events={} version={} reason=restarted", progress.last_event, software_label(progress.software_version.as_deref()));
            *progress = Progress::default();
            RunOutcome::Broken("the engine had started again".to_owned())
        }
    }
}

/// Discards the text of an item that is about to run on `target`, unless the target's software version
/// may continue it.
pub(crate) fn discard_text_of_other_software(
    item_state: &ItemState,
    target: &Target,
    reason: &'static str,
) {
    let mut progress = item_state.progress.borrow_mut();
    if progress.fits_software(target.software_version.as_deref()) {
        return;
    }
    let version = software_label(progress.software_version.as_deref());
    log::info!(target: "batch", "text discarded item={} events={} version={version} reason={reason}", item_state.item.id, progress.last_event);
    *progress = Progress::default();
}

/// Returns a software version as it is logged.
fn software_label(software_version: Option<&str>) -> &str {
    software_version.unwrap_or("none")
}

/// Sends the item to the engine and receives its text.
async fn generate_text(
    runner: &RunnerState,
    job: &Job,
    item_state: &ItemState,
    target: &Target,
) -> RunOutcome {
    let request = match build_engine_request(runner, job, item_state, target) {
        Ok(request) => request,
        Err(reason) => {
            log::warn!(target: "batch", "cannot build engine request item={} reason={reason}", item_state.item.id);
            return RunOutcome::Impossible;
        }
    };
    // The task of this run may have started late.
    if !runner.may_send(job) {
        return RunOutcome::Withheld;
    }
    let sent_at = Instant::now();
    let send = runner.deps.client.send(target.into(), request, true);
    let response = match monoio::time::timeout(runner.options.first_event_timeout, send).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.may_have_been_sent() => {
            return RunOutcome::Broken(error.to_string());
        }
        Ok(Err(error)) => return RunOutcome::Refused(error.to_string()),
        Err(_) => return RunOutcome::Broken("no response before the timeout".to_owned()),
    };
    item_state.response_received.set(true);
    let status = response.status;
    let metadata = runner.deps.protocol.decode_response_metadata(status, &response.headers);
    runner.deps.view.record_statements(target, &metadata, sent_at);
    if metadata.request_id.as_ref().is_some_and(|id| *id != item_state.item.id) {
        return RunOutcome::Broken("response carries another request id".to_owned());
    }
    if metadata.not_run {
        response.discard().await;
        return RunOutcome::Refused(format!("status {status}"));
    }
    // The target may have restarted with other software before the request reached it.
    let known = runner.deps.view.target(&target.id);
    if known.is_some_and(|known| !known.is_same_process(target)) {
        return RunOutcome::Broken("the engine has restarted".to_owned());
    }
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => return RunOutcome::Impossible,
        status if status.is_success() && metadata.signature.is_none() => {
            return RunOutcome::Broken(format!("status {status} without a signature"));
        }
        status if status.is_success() && !may_be_event_stream(&response.headers) => {
            return RunOutcome::Broken(format!("status {status} without an event stream"));
        }
        status if status.is_success() => {}
        StatusCode::INTERNAL_SERVER_ERROR if metadata.signature.is_some() => {
            response.discard().await;
            return RunOutcome::Failed(status);
        }
        status => return RunOutcome::Broken(format!("status {status}")),
    }
    let sender = response.address();
    let receive = receive_events(runner, job, item_state, target, response, metadata);
    let receive = async { Ok(receive.await) };
    let received = runner.deps.client.unless_out_of_reach(sender, receive).await;
    received.unwrap_or_else(|error| RunOutcome::Broken(error.to_string()))
}

/// Builds the request that starts the item on the engine, or resumes it after its last event.
fn build_engine_request(
    runner: &RunnerState,
    job: &Job,
    item_state: &ItemState,
    target: &Target,
) -> Result<Request<Bytes>, String> {
    let item = &item_state.item;
    let body = runner.deps.protocol.decode_item_body(&item.body)?;
    let record = job.record.borrow();
    let mut headers = runner.deps.protocol.build_item_headers(&record.host, &item.headers);
    if record.organisation.is_some() || runner.deps.view.has_organisations() {
        runner.deps.protocol.remove_credentials(&mut headers);
    }
    let last_event = Some(item_state.progress.borrow().last_event).filter(|last| *last > 0);
    let dispatch = DispatchMetadata {
        request_id: &item.id,
        target: &target.id,
        time_left: None,
        last_event,
        priority: item_state.is_speculative.then_some(SPECULATIVE_PRIORITY),
        organisation: record.organisation.as_deref(),
    };
    runner.deps.protocol.set_dispatch_headers(&mut headers, &dispatch);
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() =
        item.path.parse().map_err(|error| format!("invalid item path: {error}"))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Appends the events of a response to the text of the item until the stream ends.
async fn receive_events(
    runner: &RunnerState,
    job: &Job,
    item_state: &ItemState,
    target: &Target,
    mut response: ClientResponse,
    metadata: ResponseMetadata,
) -> RunOutcome {
    let (min_version, single_version) = {
        let record = job.record.borrow();
        (record.min_version, record.limits.single_version)
    };
    let reported_version = runner.deps.engines.version(target, &job.record.borrow().model);
    let Some(mut version) = metadata.version.or(reported_version) else {
        return RunOutcome::Broken("weight version of the engine is unknown".to_owned());
    };
    if let Some(reason) =
        check_version(runner, job, item_state, target, version, min_version, single_version)
    {
        return RunOutcome::Refused(reason);
    }
    let mut parser = EventParser::new(runner.deps.protocol.stream_version_field());
    let mut last_event_at: Option<Instant> = None;
    // Only complete events reset the timeout: a stalled engine may still send partial data or
    // keep-alives.
    let mut last_progress_at = Instant::now();
    loop {
        let timeout = event_timeout(runner, target, last_event_at.is_none());
        let remaining = timeout.saturating_sub(last_progress_at.elapsed());
        let chunk = match monoio::time::timeout(remaining, response.chunk()).await {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(Ok(None)) if parser.is_empty() => return RunOutcome::Complete,
            Ok(Ok(None)) => return RunOutcome::Broken("stream ended within an event".to_owned()),
            Ok(Err(error)) => return RunOutcome::Broken(error.to_string()),
            Err(_) => {
                return RunOutcome::Broken(format!(
                    "no complete event for {} ms",
                    timeout.as_millis()
                ));
            }
        };
        let events = parser.push(&chunk);
        if parser.is_too_large() {
            return RunOutcome::Broken("event exceeds the size limit".to_owned());
        }
        for event in &events {
            if let Some(new_version) = event.version {
                version = new_version;
                if let Some(reason) = check_version(
                    runner,
                    job,
                    item_state,
                    target,
                    version,
                    min_version,
                    single_version,
                ) {
                    return RunOutcome::Broken(reason);
                }
            }
            let mut progress = item_state.progress.borrow_mut();
            let expected = progress.last_event + 1;
            match event.number {
                Some(number) if number != expected => {
                    return RunOutcome::Broken(format!(
                        "received event {number}, expected {expected}"
                    ));
                }
                _ => progress.push(
                    expected,
                    &event.data,
                    version,
                    target.software_version.as_deref(),
                ),
            }
            // A faulty engine may send events without end.
            if progress.held_bytes() > runner.deps.job_store.max_text_bytes() {
                *progress = Progress::default();
                return RunOutcome::Broken("the text is too large for any result".to_owned());
            }
        }
        if !events.is_empty() {
            item_state.waiting_since.set(None);
            let now = Instant::now();
            if last_event_at.is_none() {
                let started = item_state.started_at.get().unwrap_or(now);
                runner.deps.observer.on_first_event(now.saturating_duration_since(started));
            }
            if let Some(last) = last_event_at {
                let gap = now.duration_since(last) / events.len() as u32;
                runner.deps.engines.record_event_interval(target, gap, now);
            }
            last_event_at = Some(now);
            last_progress_at = now;
        }
    }
}

/// Checks whether text generated by `version` may be appended to the item's text, and returns the
/// reason if not.
///
/// If the route requires a single version, a change of version discards the text so far.
fn check_version(
    runner: &RunnerState,
    job: &Job,
    item_state: &ItemState,
    target: &Target,
    version: WeightVersion,
    min_version: WeightVersion,
    single_version: bool,
) -> Option<String> {
    runner.deps.engines.set_version(target, &job.record.borrow().model, version);
    if version < min_version {
        return Some(format!("weight version {version} is older than the minimum {min_version}"));
    }
    let mut progress = item_state.progress.borrow_mut();
    if single_version && progress.versions.iter().any(|other| *other != version) {
        progress.clone_from(&Default::default());
        return Some(format!("weight version {version} differs from that of the text so far"));
    }
    None
}

/// Returns how long a run may go without an event before it is treated as broken.
fn event_timeout(runner: &RunnerState, target: &Target, before_first_event: bool) -> Duration {
    if before_first_event || runner.deps.engines.loading_model(target).is_some() {
        runner.options.first_event_timeout
    } else {
        runner.options.event_gap_timeout
    }
}
