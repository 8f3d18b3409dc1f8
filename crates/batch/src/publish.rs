//! Stores finished results and finds results that other nodes have stored.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_fleet::{ChunkFinder, ItemResult};
use deck_plat::{Backoff, StoreError};
use tokio::sync::watch;

use crate::{
    job::{ChunkSearch, ItemPhase, ItemState, Job},
    job_store::StoreChunkOutcome,
    runner::RunnerState,
};

/// Initial and maximum wait before a write is retried.
const RETRY_WAITS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Minimum time between the starts of two searches for chunks of a job. Bounds the calls that many
/// readers of one job cause.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Stores and publishes results as items finish, until the job is complete or stopped.
pub(crate) async fn publish_results(runner: Rc<RunnerState>, job: Rc<Job>) {
    let mut retry_backoff = Backoff::new(RETRY_WAITS.0, RETRY_WAITS.1);
    while !job.is_complete() && !job.stop_token.is_cancelled() {
        if job.unpublished_results.borrow().is_empty() {
            job.stop_token.run_until_cancelled(job.result_added.notified()).await;
            continue;
        }
        wait_for_batch(&runner, &job).await;
        if job.stop_token.is_cancelled() {
            return;
        }
        let result_batch: Vec<Rc<ItemResult>> = {
            let mut unpublished_results = job.unpublished_results.borrow_mut();
            give_up_unstorable_results(&runner, &job, &mut unpublished_results);
            unpublished_results[..runner.deps.job_store.max_chunk_len(&unpublished_results)]
                .to_vec()
        };
        // Chunks of another runner may have included these results in the meantime.
        if result_batch.is_empty() {
            continue;
        }
        let chunk = job.chunk_count.get();
        job.last_written_chunk.replace(result_batch.clone());
        match runner.deps.job_store.store_chunk(&job.id, chunk, &result_batch).await {
            Ok(StoreChunkOutcome::Stored) => {
                record_stored_results(&runner, &job, chunk, &result_batch);
                publish_own_chunk(&runner, &job, chunk, result_batch);
                retry_backoff.reset();
            }
            Ok(StoreChunkOutcome::AlreadyStored(results)) => {
                let results: Vec<_> = results.into_iter().map(Rc::new).collect();
                // An earlier attempt has stored the chunk, and its response was lost.
                if results == result_batch {
                    record_stored_results(&runner, &job, chunk, &result_batch);
                }
                publish_found_chunk(&runner, &job, chunk, results, ChunkFinder::Write);
            }
            Err(error) => {
                log::warn!(target: "batch", "results not stored job={} error={error}", job.id);
                monoio::time::sleep(RETRY_WAITS.0 + retry_backoff.next_delay()).await;
            }
        }
    }
}

/// Replaces results that fit into no object, whose writes would be refused without end.
fn give_up_unstorable_results(
    runner: &RunnerState,
    job: &Job,
    unpublished_results: &mut [Rc<ItemResult>],
) {
    for result in unpublished_results {
        let storable = runner.deps.job_store.storable_result(result);
        if !Rc::ptr_eq(&storable, result) {
            let (job, item, bytes) = (&job.id, &result.item, result.encoded_bytes());
            log::warn!(target: "batch", "result too large job={job} item={item} bytes={bytes}");
            *result = storable;
        }
    }
}

/// Waits for more results so that one write stores many. Ends early once the results complete the
/// groups that the caller waits for.
async fn wait_for_batch(runner: &RunnerState, job: &Job) {
    let started = Instant::now();
    loop {
        let now = Instant::now();
        let is_near_due = now + runner.options.near_due_window >= job.due_at();
        let wait = if is_near_due {
            runner.options.near_due_batch_delay
        } else {
            runner.options.result_batch_delay
        };
        let remaining = (started + wait).saturating_duration_since(now);
        if remaining.is_zero() || completes_required_results(job) {
            return;
        }
        let next_result = monoio::time::timeout(remaining, job.result_added.notified());
        if job.stop_token.run_until_cancelled(next_result).await.is_none() {
            return;
        }
    }
}

/// Returns whether storing the unpublished results would complete the job, or as many groups as the
/// caller waits for.
fn completes_required_results(job: &Job) -> bool {
    let items = job.items.borrow();
    let unfinished = |item_state: &&Rc<ItemState>| item_state.phase.get() != ItemPhase::Done;
    let unfinished: HashSet<&Option<String>> =
        items.iter().filter(unfinished).map(|item_state| &item_state.item.group).collect();
    let required_groups = job.record.borrow().group_count;
    unfinished.is_empty()
        || (required_groups > 0
            && job.total_groups.saturating_sub(unfinished.len()) >= required_groups)
}

/// Publishes the chunks that are stored but not published on this node yet, for a job that is being
/// loaded.
pub(crate) async fn publish_stored_chunks(
    runner: &RunnerState,
    job: &Job,
) -> Result<(), StoreError> {
    loop {
        let chunk = job.chunk_count.get();
        match runner.deps.job_store.read_chunk(&job.id, chunk).await? {
            Some(results) => {
                job.publish_chunk(chunk, results.into_iter().map(Rc::new).collect());
            }
            None => return Ok(()),
        }
    }
}

/// Publishes the chunks that were stored before `since` and are not published on this node yet.
///
/// Only a search that starts after `since` shows that there is none. A chunk is stored without a
/// change of the job's record, and the time since an earlier search does not include a suspension of
/// the VM. Concurrent calls share a search.
pub(crate) async fn find_chunks_stored_before(
    since: Instant,
    runner: &Rc<RunnerState>,
    job: &Rc<Job>,
) -> Result<(), StoreError> {
    let mut outcome = chunk_search_after(since, runner, job).outcome.subscribe();
    let outcome = match outcome.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.clone(),
        Err(_) => None,
    };
    let not_ended = || Err("the search has not ended".to_owned());
    outcome.unwrap_or_else(not_ended).map_err(StoreError::Unavailable)
}

/// Returns a search that starts after `since`: the newest one of the job, or a new one. A new search
/// does not wait for the end of the one before, so that a slow call delays only its own readers.
fn chunk_search_after(since: Instant, runner: &Rc<RunnerState>, job: &Rc<Job>) -> Rc<ChunkSearch> {
    let mut newest = job.chunk_search.borrow_mut();
    if let Some(search) = newest.as_ref().filter(|search| search.starts_at > since) {
        return search.clone();
    }
    let now = Instant::now();
    let earliest = newest.as_ref().map(|search| search.starts_at + MIN_SEARCH_INTERVAL);
    let starts_at = earliest.map_or(now, |earliest| earliest.max(now));
    let search = Rc::new(ChunkSearch { starts_at, outcome: watch::channel(None).0 });
    *newest = Some(search.clone());
    monoio::spawn(run_chunk_search(runner.clone(), job.clone(), search.clone()));
    search
}

async fn run_chunk_search(runner: Rc<RunnerState>, job: Rc<Job>, search: Rc<ChunkSearch>) {
    monoio::time::sleep(search.starts_at.saturating_duration_since(Instant::now())).await;
    let result = publish_found_chunks(&runner, &job, ChunkFinder::Read).await;
    search.outcome.send_replace(Some(result.map_err(|error| error.to_string())));
}

/// Publishes and records the chunks that are stored but not published on this node yet, for a job
/// whose chunks this node normally knows.
pub(crate) async fn publish_found_chunks(
    runner: &RunnerState,
    job: &Job,
    found_by: ChunkFinder,
) -> Result<(), StoreError> {
    loop {
        let chunk = job.chunk_count.get();
        match runner.deps.job_store.find_chunk(&job.id, chunk).await? {
            Some(results) => {
                let results = results.into_iter().map(Rc::new).collect();
                publish_found_chunk(runner, job, chunk, results, found_by);
            }
            None => return Ok(()),
        }
    }
}

/// Publishes a chunk that was stored already when this node wrote or searched for it. Records it,
/// unless it is the one that this node wrote.
fn publish_found_chunk(
    runner: &RunnerState,
    job: &Job,
    chunk: usize,
    results: Vec<Rc<ItemResult>>,
    found_by: ChunkFinder,
) {
    // Another search may have published the chunk in the meantime.
    if chunk != job.chunk_count.get() {
        return;
    }
    if results == *job.last_written_chunk.borrow() {
        publish_own_chunk(runner, job, chunk, results);
        return;
    }
    let found_by_label = found_by.label();
    log::info!(target: "batch", "chunk of another runner job={} chunk={chunk} found_by={found_by_label}", job.id);
    runner.deps.observer.on_chunk_found(found_by);
    job.publish_chunk(chunk, results);
}

/// Publishes a chunk that this node has stored and records the groups that it completes. A chunk that
/// a search has published before is ignored.
fn publish_own_chunk(runner: &RunnerState, job: &Job, chunk: usize, results: Vec<Rc<ItemResult>>) {
    for _ in 0..job.publish_chunk(chunk, results) {
        runner.deps.observer.on_group_end(Instant::now() <= job.due_at());
    }
}

/// Logs and counts the results of a chunk that this node has stored.
fn record_stored_results(
    runner: &RunnerState,
    job: &Job,
    chunk: usize,
    results: &[Rc<ItemResult>],
) {
    let (id, count) = (&job.id, results.len());
    log::info!(target: "batch", "results stored job={id} chunk={chunk} count={count}");
    let observer = &runner.deps.observer;
    observer.on_results_stored(count);
    for result in results {
        observer.on_item_result(result.outcome);
    }
}
