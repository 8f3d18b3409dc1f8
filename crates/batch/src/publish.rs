//! Storing of results, and the check that this node still runs a job.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_fleet::ItemResult;
use deck_plat::{Backoff, StoreError};

use crate::{
    job::{ItemRun, Job, Phase},
    ledger::Stored,
    runner::Inner,
};

/// First and longest wait between two tries of a write.
const RETRY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Stores results of a job as they come, until all are stored or the job stops.
pub(crate) async fn publish_results(inner: Rc<Inner>, job: Rc<Job>) {
    let mut backoff = Backoff::new(RETRY.0, RETRY.1);
    while !job.is_complete() && !job.stop.is_cancelled() {
        if job.unlisted.borrow().is_empty() {
            job.stop.run_until_cancelled(job.finished.notified()).await;
            continue;
        }
        gather(&inner, &job).await;
        if job.stop.is_cancelled() {
            return;
        }
        let batch: Vec<Rc<ItemResult>> = {
            let unlisted = job.unlisted.borrow();
            unlisted[..inner.parts.ledger.fitting(&unlisted)].to_vec()
        };
        // Another runner may have stored these results meanwhile.
        if batch.is_empty() {
            continue;
        }
        let chunk = job.chunks.get();
        match inner.parts.ledger.append(&job.id, chunk, &batch).await {
            Ok(Stored::AsGiven) => {
                let (id, count) = (&job.id, batch.len());
                log::info!(target: "batch", "results stored job={id} chunk={chunk} count={count}");
                let observer = &inner.parts.observer;
                observer.results_stored(count);
                for result in &batch {
                    observer.item(result.outcome);
                }
                for _ in 0..job.list(chunk, batch) {
                    observer.group(Instant::now() <= job.due_at());
                }
                backoff.reset();
            }
            Ok(Stored::Other(results)) => {
                log::info!(target: "batch", "chunk of another runner job={} chunk={chunk}", job.id);
                job.list(chunk, results.into_iter().map(Rc::new).collect());
            }
            Err(error) => {
                log::warn!(target: "batch", "results not stored job={} error={error}", job.id);
                monoio::time::sleep(RETRY.0 + backoff.next_wait()).await;
            }
        }
    }
}

/// Waits for more results, so that one write stores many: until those that the caller waits for are
/// there, or the wait is over.
async fn gather(inner: &Inner, job: &Job) {
    let started = Instant::now();
    loop {
        let now = Instant::now();
        let is_late = now + inner.options.late >= job.due_at();
        let wait = if is_late { inner.options.gather_late } else { inner.options.gather };
        let left = (started + wait).saturating_duration_since(now);
        if left.is_zero() || satisfies_caller(job) {
            return;
        }
        let more = monoio::time::timeout(left, job.finished.notified());
        if job.stop.run_until_cancelled(more).await.is_none() {
            return;
        }
    }
}

/// Returns whether the unlisted results complete the job, or as many groups as the caller waits for.
fn satisfies_caller(job: &Job) -> bool {
    let items = job.items.borrow();
    let open = |run: &&Rc<ItemRun>| run.phase.get() != Phase::Done;
    let open: HashSet<&Option<String>> =
        items.iter().filter(open).map(|run| &run.item.group).collect();
    let wanted = job.record.borrow().group_count;
    open.is_empty() || (wanted > 0 && job.groups.saturating_sub(open.len()) >= wanted)
}

/// Checks at intervals that this node still runs the job, until it is complete or stops.
pub(crate) async fn keep_confirmed(inner: Rc<Inner>, job: Rc<Job>) {
    while !job.is_complete() {
        let wait = inner.options.confirm_interval.saturating_sub(job.confirmed_at.get().elapsed());
        let wait = wait.max(Duration::from_millis(50));
        if job.stop.run_until_cancelled(monoio::time::sleep(wait)).await.is_none() {
            return;
        }
        if job.confirmed_at.get().elapsed() < inner.options.confirm_interval {
            continue;
        }
        if let Err(error) = confirm(&inner, &job).await {
            log::warn!(target: "batch", "runner not confirmed job={} error={error}", job.id);
            monoio::time::sleep(RETRY.1).await;
        }
    }
}

/// Reads the record of a job. The job stops if another node runs it or it was ended elsewhere.
pub(crate) async fn confirm(inner: &Inner, job: &Job) -> Result<(), StoreError> {
    let started = Instant::now();
    let Some((record, revision)) = inner.parts.ledger.record(&job.id).await? else {
        return Err(StoreError::Decode("the job's record is missing".to_owned()));
    };
    let other = record.runner != inner.parts.vm;
    let ended = record.ended;
    job.record.replace(record);
    job.revision.set(revision);
    if other || ended {
        log::info!(target: "batch", "job stops job={} ended={ended} other_runner={other}", job.id);
        job.stop.cancel();
        if other {
            inner.forget(&job.id);
        }
        return Ok(());
    }
    // A runner before this one may still have stored a chunk shortly after the change of runner.
    if job.taken_over_at.is_some_and(|at| at.elapsed() < inner.options.takeover_settle) {
        list_stored(inner, job).await?;
    }
    job.confirmed_at.set(started);
    Ok(())
}

/// Lists the chunks that are stored beyond those that are listed.
pub(crate) async fn list_stored(inner: &Inner, job: &Job) -> Result<(), StoreError> {
    loop {
        let chunk = job.chunks.get();
        match inner.parts.ledger.chunk(&job.id, chunk).await? {
            Some(results) => {
                job.list(chunk, results.into_iter().map(Rc::new).collect());
            }
            None => return Ok(()),
        }
    }
}
