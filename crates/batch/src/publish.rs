//! Storing of results, and the check that this node still runs a job.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_fleet::ItemResult;
use deck_plat::{Backoff, StoreError};

use crate::{job::Job, ledger::Stored, runner::Inner};

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
            unlisted[..inner.ledger.fitting(&unlisted)].to_vec()
        };
        // Another runner may have stored these results meanwhile.
        if batch.is_empty() {
            continue;
        }
        let chunk = job.chunks.get();
        match inner.ledger.append(&job.id, chunk, &batch).await {
            Ok(Stored::AsGiven) => {
                let (id, count) = (&job.id, batch.len());
                log::info!(target: "batch", "results stored job={id} chunk={chunk} count={count}");
                job.list(chunk, batch);
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

/// Waits for more results, so that one write stores many: until a group is complete, all items are
/// done, or the wait is over.
async fn gather(inner: &Inner, job: &Job) {
    let until = Instant::now() + inner.options.gather;
    loop {
        let now = Instant::now();
        if now >= until || completes_group(job) {
            return;
        }
        let more = monoio::time::timeout(until - now, job.finished.notified());
        if matches!(job.stop.run_until_cancelled(more).await, None | Some(Err(_))) {
            return;
        }
    }
}

/// Returns whether the unlisted results complete a group.
fn completes_group(job: &Job) -> bool {
    let items = job.items.borrow();
    let is_done = |group: &Option<String>| {
        let mut others = items.iter().filter(|run| run.item.group == *group);
        others.all(|run| run.phase.get() == crate::job::Phase::Done)
    };
    let unlisted = job.unlisted.borrow();
    let group_of = |id: &str| items.iter().find(|r| r.item.id == id).map(|r| &r.item.group);
    unlisted.iter().filter_map(|result| group_of(&result.item)).any(is_done)
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
    let Some((record, revision)) = inner.ledger.record(&job.id).await? else {
        return Err(StoreError::Decode("the job's record is missing".to_owned()));
    };
    let other = record.runner != inner.vm;
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
        match inner.ledger.chunk(&job.id, chunk).await? {
            Some(results) => job.list(chunk, results.into_iter().map(Rc::new).collect()),
            None => return Ok(()),
        }
    }
}
