//! One run of an item on an engine.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, id::WeightVersion};
use deck_fleet::{Dispatch, ReplyHead, RunEnd, RunGuard, Target};
use deck_net::{Body, ClientResponse};
use http::{Method, Request, StatusCode};

use crate::{
    ahead::AHEAD_PRIORITY,
    events::EventParser,
    job::{ItemRun, Job, Phase},
    runner::Inner,
};

/// How a run ended.
enum Ended {
    /// The text is complete.
    Complete,
    /// The run broke off or its engine went silent; the text goes on elsewhere.
    Broken(String),
    /// The engine did not take the run.
    Refused(String),
    /// The engine answered with a failure of its own.
    Failed(StatusCode),
    /// The item can never be done.
    Impossible,
    /// The run was stopped to go on at a faster engine.
    Moved,
}

impl Ended {
    fn as_run_end(&self) -> RunEnd {
        match self {
            Self::Complete => RunEnd::Complete,
            Self::Broken(_) => RunEnd::Broken,
            Self::Refused(_) => RunEnd::Refused,
            Self::Failed(_) => RunEnd::Failed,
            Self::Impossible => RunEnd::Impossible,
            Self::Moved => RunEnd::Moved,
        }
    }
}

/// Runs a waiting item on `target` and moves it to its next phase.
pub(crate) async fn run_item(
    inner: Rc<Inner>,
    job: Rc<Job>,
    run: Rc<ItemRun>,
    target: Rc<Target>,
    guard: RunGuard,
) {
    let started = Instant::now();
    let (id, from) = (&run.item.id, run.progress.borrow().last_event);
    log::info!(target: "batch", "run starts item={id} job={} target={} event={from}", job.id, target.id);
    let observer = inner.parts.observer.clone();
    if run.started_at.get().is_none() && !run.is_ahead {
        observer.first_run(job.submitted_at.elapsed());
    }
    run.target.replace(Some(target.id.clone()));
    run.started_at.set(Some(started));
    run.answered.set(false);
    let moving = CancellationToken::new();
    run.moving.replace(moving.clone());
    let generation = moving.run_until_cancelled(generate(&inner, &job, &run, &target));
    let stop = if run.is_ahead { &job.ahead_stop } else { &job.stop };
    let ended = match stop.run_until_cancelled(generation).await {
        Some(ended) => ended.unwrap_or(Ended::Moved),
        // Dropping the run has closed its connection, which stops the engine.
        None => {
            observer.run(RunEnd::Stopped, started.elapsed());
            run.enter(Phase::Waiting);
            return;
        }
    };
    drop(guard);
    let time = started.elapsed();
    observer.run(ended.as_run_end(), time);
    let ms = time.as_millis();
    let at = run.progress.borrow().last_event;
    inner.parts.engines.record_run(&target, at.saturating_sub(from), time, Instant::now());
    match ended {
        Ended::Complete => {
            log::info!(target: "batch", "run complete item={id} target={} event={at} ms={ms}", target.id);
            if !run.is_ahead {
                inner.parts.engines.record_text(&job.record.borrow().model, at);
            }
            run.enter(Phase::Complete);
        }
        Ended::Broken(reason) => {
            inner.parts.engines.record_failure(&target, Instant::now());
            log::info!(target: "batch", "run broken item={id} target={} event={at} ms={ms} reason={reason:?}", target.id);
            run.enter(Phase::Waiting);
        }
        Ended::Refused(reason) => {
            inner.parts.engines.record_failure(&target, Instant::now());
            log::info!(target: "batch", "run refused item={id} target={} reason={reason:?}", target.id);
            run.enter(Phase::Waiting);
        }
        Ended::Failed(status) => {
            run.failures.set(run.failures.get() + 1);
            log::info!(target: "batch", "run failed item={id} target={} status={status}", target.id);
            if run.failures.get() >= job.record.borrow().limits.attempts {
                job.finish(&run, deck_fleet::ItemOutcome::Failed, None);
            } else {
                run.enter(Phase::Waiting);
            }
        }
        Ended::Moved => {
            log::info!(target: "batch", "run moves item={id} target={} event={at} ms={ms}", target.id);
            run.enter(Phase::Waiting);
        }
        Ended::Impossible => {
            log::info!(target: "batch", "item impossible item={id} target={}", target.id);
            job.finish(&run, deck_fleet::ItemOutcome::Failed, None);
        }
    }
    inner.wake.notify_one();
}

async fn generate(inner: &Inner, job: &Job, run: &ItemRun, target: &Target) -> Ended {
    let request = match request(inner, job, run, target) {
        Ok(request) => request,
        Err(reason) => {
            log::warn!(target: "batch", "item cannot be sent item={} reason={reason}", run.item.id);
            return Ended::Impossible;
        }
    };
    let sent = inner.parts.client.send(target.address, request);
    let response = match monoio::time::timeout(inner.options.first_event_limit, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.may_have_been_sent() => return Ended::Broken(error.to_string()),
        Ok(Err(error)) => return Ended::Refused(error.to_string()),
        Err(_) => return Ended::Broken("no response in time".to_owned()),
    };
    run.answered.set(true);
    let status = response.status;
    let head = inner.parts.protocol.reply_head(status, &response.headers);
    if head.leaving {
        inner.parts.view.set_leaving(target, Instant::now());
    }
    if head.request_id.as_ref().is_some_and(|id| *id != run.item.id) {
        return Ended::Broken("response to another request".to_owned());
    }
    if head.not_run {
        response.discard().await;
        return Ended::Refused(format!("status {status}"));
    }
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => return Ended::Impossible,
        status if status.is_success() => {}
        StatusCode::INTERNAL_SERVER_ERROR if head.signature.is_some() => {
            response.discard().await;
            return Ended::Failed(status);
        }
        status => return Ended::Broken(format!("status {status}")),
    }
    receive(inner, job, run, target, response, head).await
}

fn request(
    inner: &Inner,
    job: &Job,
    run: &ItemRun,
    target: &Target,
) -> Result<Request<Body>, String> {
    let item = &run.item;
    let body = inner.parts.protocol.item_body(&item.body)?;
    let record = job.record.borrow();
    let mut headers = inner.parts.protocol.item_headers(&record.host, &item.headers);
    let last_event = Some(run.progress.borrow().last_event).filter(|last| *last > 0);
    let dispatch = Dispatch {
        request_id: &item.id,
        target: &target.id,
        time_left: None,
        last_event,
        priority: run.is_ahead.then_some(AHEAD_PRIORITY),
    };
    inner.parts.protocol.dispatch(&mut headers, &dispatch);
    let mut request = Request::new(Body::full(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = item.path.parse().map_err(|error| format!("path: {error}"))?;
    *request.headers_mut() = headers;
    Ok(request)
}

async fn receive(
    inner: &Inner,
    job: &Job,
    run: &ItemRun,
    target: &Target,
    mut response: ClientResponse,
    head: ReplyHead,
) -> Ended {
    let (min_version, single) = {
        let record = job.record.borrow();
        (record.min_version, record.limits.single_version)
    };
    let believed = inner.parts.engines.version(target, &job.record.borrow().model);
    let Some(mut version) = head.version.or(believed) else {
        return Ended::Broken("version of the weights is not known".to_owned());
    };
    if let Some(reason) = unfit(inner, job, run, target, version, min_version, single) {
        return Ended::Refused(reason);
    }
    let mut parser = EventParser::new(inner.parts.protocol.version_field());
    let mut last_event_at: Option<Instant> = None;
    // Bytes that are no whole event do not count: a stalled engine may send some now and then.
    let mut waits_since = Instant::now();
    loop {
        let limit = gap_limit(inner, target, last_event_at.is_none());
        let left = limit.saturating_sub(waits_since.elapsed());
        let chunk = match monoio::time::timeout(left, response.chunk()).await {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(Ok(None)) if parser.is_empty() => return Ended::Complete,
            Ok(Ok(None)) => return Ended::Broken("ends within an event".to_owned()),
            Ok(Err(error)) => return Ended::Broken(error.to_string()),
            Err(_) => return Ended::Broken(format!("no event for {} ms", limit.as_millis())),
        };
        let events = parser.push(&chunk);
        if parser.is_too_large() {
            return Ended::Broken("event is too large".to_owned());
        }
        for event in &events {
            if let Some(changed) = event.version {
                version = changed;
                if let Some(reason) = unfit(inner, job, run, target, version, min_version, single) {
                    return Ended::Broken(reason);
                }
            }
            let mut progress = run.progress.borrow_mut();
            let expected = progress.last_event + 1;
            match event.number {
                Some(number) if number != expected => {
                    return Ended::Broken(format!("event {number} in place of {expected}"));
                }
                _ => progress.push(expected, &event.data, version),
            }
        }
        if !events.is_empty() {
            let now = Instant::now();
            if last_event_at.is_none() {
                let started = run.started_at.get().unwrap_or(now);
                inner.parts.observer.first_event(now.saturating_duration_since(started));
            }
            if let Some(last) = last_event_at {
                let gap = now.duration_since(last) / events.len() as u32;
                inner.parts.engines.record_gap(target, gap, now);
            }
            last_event_at = Some(now);
            waits_since = now;
        }
    }
}

/// Checks that text of `version` may follow the text so far; returns why not.
///
/// On a route that needs a single version, text of another version is dropped.
fn unfit(
    inner: &Inner,
    job: &Job,
    run: &ItemRun,
    target: &Target,
    version: WeightVersion,
    min_version: WeightVersion,
    single: bool,
) -> Option<String> {
    inner.parts.engines.set_version(target, &job.record.borrow().model, version);
    if version < min_version {
        return Some(format!("version {version} is older than {min_version}"));
    }
    let mut progress = run.progress.borrow_mut();
    if single && progress.versions.iter().any(|other| *other != version) {
        progress.clone_from(&Default::default());
        return Some(format!("version {version} differs from that of the text so far"));
    }
    None
}

/// Returns how long a run may be silent before its engine counts as gone.
fn gap_limit(inner: &Inner, target: &Target, before_first: bool) -> Duration {
    if before_first || inner.parts.engines.changing(target).is_some() {
        inner.options.first_event_limit
    } else {
        inner.options.event_gap_limit
    }
}
