//! Ends of batch jobs.

use std::rc::Rc;

use deck_fleet::JobEvent;
use deck_net::Body;
use deck_plat::StoreError;
use http::Response;

use crate::{
    BatchService, JobRecord,
    job::Job,
    publish,
    service::{JobLookup, state_unavailable},
};

/// Attempts to mark a job as ended while another node changes its record concurrently.
const MAX_END_ATTEMPTS: u32 = 4;

impl BatchService {
    /// Ends a job, wherever it runs.
    pub(crate) async fn end(&self, id: &str) -> Response<Body> {
        let call_runner = |node| async move { self.inner.peers.end(node, id).await };
        match self.find_job(id, call_runner).await {
            JobLookup::Local(job) | JobLookup::Snapshot(job) => self.end_local(&job).await,
            JobLookup::Response(response) => response,
        }
    }

    /// Marks a job as ended, and stops it on this node. An end is acknowledged only once it is
    /// stored, also that of a complete job: the job may run on another node that lacks the last
    /// results.
    pub(crate) async fn end_local(&self, job: &Rc<Job>) -> Response<Body> {
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
                    if publish::check_ownership(&self.inner.runner.inner, job).await.is_err() {
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
