//! Ends of batch jobs.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    error::{CallError, ErrorKind},
    id::RequestId,
};
use deck_fleet::JobEvent;
use deck_forward::error_response;
use deck_net::Body;
use deck_plat::{Backoff, StoreError};
use futures_util::future::join_all;
use http::Response;

use crate::{
    BatchService, JobRecord,
    job::Job,
    ownership,
    scope::caller_id,
    service::{JobLookup, state_unavailable},
};

/// Attempts to mark a job as ended while another node changes its record concurrently.
const MAX_END_ATTEMPTS: u32 = 4;
/// Initial and maximum wait before an end that could not be stored is tried again.
const END_RETRY_WAITS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));
/// How long an end that could not be stored is tried again. Longer than outages of the object API
/// and than the time that items of a job may run.
const END_RETRY_PERIOD: Duration = Duration::from_secs(600);
/// How long the end of an unknown job is tried again. Its submission may still be under way, and takes
/// a few seconds if the object API is slow.
const UNKNOWN_JOB_RETRY_PERIOD: Duration = Duration::from_secs(10);

impl BatchService {
    /// Ends a job, wherever it runs. An end that cannot be stored now is carried out later.
    pub(crate) async fn end(&self, id: &str) -> Response<Body> {
        let (service, id) = (self.clone(), id.to_owned());
        // A task of its own: the caller may disconnect, which drops this future.
        monoio::spawn(async move {
            let response = service.try_end(&id).await;
            service.retry_failed_end(&id, response)
        })
        .await
    }

    /// As [`BatchService::end`], for a job on this node.
    pub(crate) async fn end_for_peer(&self, job: &Rc<Job>) -> Response<Body> {
        let (service, job) = (self.clone(), job.clone());
        monoio::spawn(async move {
            let response = service.end_local(&job).await;
            service.retry_failed_end(&job.id, response)
        })
        .await
    }

    /// Starts to carry out an end later if `response` shows that it is not stored. The caller may not
    /// try again, and the job would run on.
    fn retry_failed_end(&self, id: &str, response: Response<Body>) -> Response<Body> {
        if response.status().is_success() {
            return response;
        }
        if self.inner.runner.inner.pending_ends.borrow_mut().insert(id.to_owned()) {
            let (service, id) = (self.clone(), id.to_owned());
            monoio::spawn(async move { service.run_pending_end(&id).await });
        }
        if !response.status().is_server_error() {
            return response;
        }
        // Status 503 would promise that the end is never carried out.
        let message = "the end of the job is not stored yet";
        error_response(&CallError::new(ErrorKind::DeadlineExceeded, message), caller_id(id))
    }

    /// Tries to end a job until it is ended or turns out not to exist.
    async fn run_pending_end(&self, id: &str) {
        let started = Instant::now();
        let mut backoff = Backoff::new(END_RETRY_WAITS.0, END_RETRY_WAITS.1);
        while started.elapsed() < END_RETRY_PERIOD {
            monoio::time::sleep(backoff.next_delay()).await;
            let status = self.try_end(id).await.status();
            log::info!(target: "batch", "end tried again job={id} status={status} ms={}", started.elapsed().as_millis());
            let is_unknown = status.is_client_error();
            if status.is_success() || (is_unknown && started.elapsed() > UNKNOWN_JOB_RETRY_PERIOD) {
                break;
            }
        }
        self.inner.runner.inner.pending_ends.borrow_mut().remove(id);
    }

    /// Tries all pending ends once more, before this node stops.
    pub(crate) async fn try_pending_ends(&self) {
        let pending: Vec<RequestId> =
            self.inner.runner.inner.pending_ends.borrow().iter().cloned().collect();
        join_all(pending.iter().map(|id| self.try_end(id))).await;
    }

    async fn try_end(&self, id: &str) -> Response<Body> {
        let call_runner = |node| async move { self.inner.peers.end(node, id).await };
        match self.find_job(id, call_runner).await {
            JobLookup::Local(job) | JobLookup::Snapshot(job) => self.end_local(&job).await,
            JobLookup::Response(response) => response,
        }
    }

    /// Stops a job on this node and marks it as ended. An end is acknowledged only once it is stored,
    /// also that of a complete job: the job may run on another node that lacks the last results.
    async fn end_local(&self, job: &Rc<Job>) -> Response<Body> {
        if job.is_ended() {
            job.stop_token.cancel();
            return Response::new(Body::empty());
        }
        for _ in 0..MAX_END_ATTEMPTS {
            let record = JobRecord { ended: true, ..job.record.borrow().clone() };
            match self.deps().job_store.replace_record(&job.id, job.revision.get(), &record).await {
                Ok(revision) => {
                    self.notify_runner(&job.id, &record);
                    job.record.replace(record);
                    job.revision.set(revision);
                    job.stop_token.cancel();
                    let observer = &self.deps().observer;
                    observer.on_job_event(JobEvent::Ended);
                    for _ in 0..job.unfinished_groups() {
                        observer.on_group_end(false);
                    }
                    log::info!(target: "batch", "job ended job={} listed={} runner={}", job.id, job.published_results.borrow().len(), job.record.borrow().runner);
                    return Response::new(Body::empty());
                }
                Err(StoreError::Conflict(_)) => {
                    if ownership::check_ownership(&self.inner.runner.inner, job).await.is_err() {
                        break;
                    }
                    if job.is_ended() {
                        return Response::new(Body::empty());
                    }
                }
                Err(error) => {
                    log::warn!(target: "batch", "cannot store end of job job={} error={error}", job.id);
                    break;
                }
            }
        }
        // The caller needs no further results, whenever the end can be stored.
        job.stop_token.cancel();
        state_unavailable(&job.id)
    }

    /// Tells the node that runs a job of its end, unless it is this node. If the message is lost, that
    /// node learns of the end by its ownership check.
    fn notify_runner(&self, id: &str, record: &JobRecord) {
        if record.runner == self.deps().vm {
            return;
        }
        let (service, id, node) = (self.clone(), id.to_owned(), record.address);
        monoio::spawn(async move {
            if let Err(error) = service.inner.peers.end(node, &id).await {
                log::info!(target: "batch", "runner not told of end job={id} node={node} error={error}");
            }
        });
    }
}
