//! A rollout job while this VM owns it: sample dispatch, scoring and delivery to the trainer.

mod pull;
mod report;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    CancellationToken,
    id::{FencingNumber, JobName, TargetId},
    object::RolloutJob,
};
use deck_net::Client;
use deck_peer::ConfigView;
use deck_plat::{LeaseToken, Store};
use tokio::sync::watch;

use crate::{
    concurrency::ConcurrencyLimiter,
    generation::{GeneratedChunk, GenerationRequest},
    metrics::{JobLabels, RolloutMetrics},
    options::RolloutOptions,
    sample::{SampleKey, SampleText},
    sample_generator::{GenerationObserver, GenerationOutcome, SampleGenerator},
    scheduler::{SampleScheduler, SampleTask, ScoringTask},
    scorer,
    status::RolloutJobStatus,
    target_versions::TargetVersions,
};

/// Maximum time between two dispatch attempts. It covers events without a notification, such as
/// elapsed retry delays and changes of the job specification.
const MAX_DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Number of hedged requests (second requests for a stalled sample) that a job may start regardless
/// of the number of its started samples.
const MIN_HEDGE_BUDGET: u64 = 4;
/// Delay before scoring of a group is retried.
const SCORING_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Dependencies shared by all jobs of the process.
#[derive(Clone)]
pub struct JobDependencies {
    /// HTTP client for requests to `deckentry` and to scorers.
    pub client: Client,
    /// Client of the object API.
    pub store: Store,
    /// Configuration currently in force.
    pub config: ConfigView,
    /// Settings of the rollout service.
    pub options: Rc<RolloutOptions>,
    /// Metrics of the rollout jobs of this process.
    pub metrics: RolloutMetrics,
}

/// A rollout job that this VM owns.
pub struct OwnedJob {
    name: JobName,
    dependencies: JobDependencies,
    lease_token: LeaseToken,
    /// Cancelled when this VM stops owning the job.
    ownership_ended: CancellationToken,
    scheduler: RefCell<SampleScheduler>,
    concurrency_limiter: RefCell<ConcurrencyLimiter>,
    /// Notifies waiting pulls that a group may be ready, that a newer pull arrived or that
    /// ownership ended.
    groups_changed: watch::Sender<u64>,
    /// Notifies the dispatch loop that a sample may be able to start.
    work_changed: watch::Sender<u64>,
    /// Sequence number of the newest pull; older pulls that still wait are ended when it changes.
    newest_pull_number: Cell<u64>,
    /// Time at which the last pull was answered.
    last_pull_ended_at: Cell<Option<Instant>>,
    /// Number of hedged requests started so far.
    hedges_started: Cell<u64>,
    /// Weight versions recently reported by targets, used to avoid outdated ones.
    target_versions: RefCell<TargetVersions>,
    last_error: RefCell<Option<String>>,
    /// Error of the last request to the object API.
    store_error: RefCell<Option<String>>,
    /// Token usage recorded in the status by previous owners of the job.
    previous_owners_tokens: Cell<u64>,
    /// Time at which the lease was last read from the object API.
    lease_checked_at: Cell<Option<Instant>>,
}

impl OwnedJob {
    fn metric_labels(&self) -> JobLabels {
        JobLabels::new(&self.name, self.scheduler.borrow().spec())
    }

    /// Creates the job; `ownership_ended` is cancelled when this VM no longer owns it.
    pub fn new(
        name: JobName,
        spec: RolloutJob,
        dependencies: JobDependencies,
        lease_token: LeaseToken,
        ownership_ended: CancellationToken,
    ) -> Rc<Self> {
        let scheduler = SampleScheduler::new(
            name.clone(),
            Rc::new(spec),
            dependencies.options.scheduler.clone(),
        );
        let concurrency_limiter = ConcurrencyLimiter::new(dependencies.options.concurrency.clone());
        Rc::new(Self {
            name,
            dependencies,
            lease_token,
            ownership_ended,
            scheduler: RefCell::new(scheduler),
            concurrency_limiter: RefCell::new(concurrency_limiter),
            groups_changed: watch::Sender::new(0),
            work_changed: watch::Sender::new(0),
            newest_pull_number: Cell::new(0),
            last_pull_ended_at: Cell::new(None),
            hedges_started: Cell::new(0),
            target_versions: RefCell::default(),
            last_error: RefCell::default(),
            store_error: RefCell::default(),
            previous_owners_tokens: Cell::new(0),
            lease_checked_at: Cell::new(None),
        })
    }

    /// Returns the fencing number of this VM's lease on the job.
    pub fn fencing(&self) -> FencingNumber {
        self.lease_token.fencing()
    }

    /// Runs the dispatch loop until this VM no longer owns the job.
    pub async fn run(self: Rc<Self>) {
        let mut work_changes = self.work_changed.subscribe();
        let mut spec_revision = None;
        while !self.ownership_ended.is_cancelled() {
            if let Some((revision, spec)) = self.current_spec()
                && spec_revision.replace(revision) != Some(revision)
            {
                self.scheduler.borrow_mut().set_spec(Rc::new(spec));
            }
            self.start_samples();
            let changed = monoio::time::timeout(MAX_DISPATCH_INTERVAL, work_changes.changed());
            self.ownership_ended.run_until_cancelled(changed).await;
        }
        // Wakes waiting pulls so that they report that this VM no longer owns the job.
        self.groups_changed.send_modify(|count| *count += 1);
    }

    fn current_spec(&self) -> Option<(u64, RolloutJob)> {
        let jobs = self.dependencies.config.rollout_jobs();
        jobs.into_iter().find(|(name, ..)| *name == self.name).map(|(_, rev, spec)| (rev, spec))
    }

    /// Starts generations until the concurrency limit is reached or no sample can start.
    fn start_samples(self: &Rc<Self>) {
        loop {
            let now = Instant::now();
            if !self.concurrency_limiter.borrow().can_start(now) {
                return;
            }
            let Some(model) = self.pool_model() else { return };
            let Some(task) = self.scheduler.borrow_mut().start_next_sample(now) else { return };
            self.concurrency_limiter.borrow_mut().record_start();
            let job = self.clone();
            monoio::spawn(async move {
                let ownership_ended = job.ownership_ended.clone();
                ownership_ended.run_until_cancelled(job.run_sample(task, model)).await;
            });
        }
    }

    /// Returns the model served by the pool of the job.
    fn pool_model(&self) -> Option<String> {
        let pool = self.scheduler.borrow().spec().pool.clone();
        let model = self.dependencies.config.pool(&pool).and_then(|(_, spec)| spec.model);
        if model.is_none() {
            self.record_error(format!("pool {pool} does not exist or has no model"));
        }
        model
    }

    /// Generates one sample, records the outcome and scores its group if that is now complete.
    async fn run_sample(self: &Rc<Self>, task: SampleTask, model: String) {
        let request = self.build_request(&task, model);
        let observer = JobSampleObserver { job: self, key: task.key };
        let generator = SampleGenerator {
            client: &self.dependencies.client,
            entry: self.dependencies.options.entry_address,
            options: &self.dependencies.options.generation,
            request,
            observer: &observer,
        };
        let outcome = generator.run(task.resume_from.unwrap_or_default()).await;
        self.concurrency_limiter.borrow_mut().record_end();
        let scoring_task = self.handle_outcome(&task.key, outcome, Instant::now());
        self.work_changed.send_modify(|count| *count += 1);
        if let Some(group) = scoring_task {
            self.score_with_retries(group).await;
        }
    }

    fn build_request(&self, task: &SampleTask, model: String) -> GenerationRequest {
        let now = Instant::now();
        let scheduler = self.scheduler.borrow();
        let spec = scheduler.spec();
        let oldest_allowed_version =
            scheduler.oldest_allowed_version(task.key.step, now).unwrap_or_default();
        GenerationRequest {
            model,
            organisation: spec.organisation.clone(),
            job: self.name.clone(),
            prompt: task.prompt.clone(),
            max_tokens: spec.max_tokens,
            timeout: self.dependencies.options.generation.attempt_timeout,
            avoid_targets: self
                .target_versions
                .borrow()
                .targets_older_than(oldest_allowed_version, now),
        }
    }

    /// Records the outcome of a generation. Returns a scoring task if this completes a group.
    fn handle_outcome(
        &self,
        key: &SampleKey,
        outcome: GenerationOutcome,
        now: Instant,
    ) -> Option<ScoringTask> {
        let mut scheduler = self.scheduler.borrow_mut();
        match outcome {
            GenerationOutcome::Finished(text) => {
                self.concurrency_limiter.borrow_mut().record_accepted();
                return scheduler.finish_sample(key, text, now);
            }
            GenerationOutcome::Stale(text) => {
                let retry_at = now + self.dependencies.options.generation.retry_delay;
                scheduler.abandon_sample(key, text.token_count, retry_at);
            }
            GenerationOutcome::Refused(text, retry_after) => {
                self.concurrency_limiter.borrow_mut().record_refused(retry_after, now);
                scheduler.requeue_sample(key, Some(text), now);
            }
            GenerationOutcome::Failed(text, retry_delay, error_message) => {
                scheduler.requeue_sample(key, Some(text), now + retry_delay);
                self.record_error(error_message);
            }
        }
        None
    }

    /// Requests scores until the scorer succeeds or the scores are no longer needed.
    async fn score_with_retries(&self, task: ScoringTask) {
        loop {
            let address = self.scheduler.borrow().spec().scorer_address.parse();
            let Ok(address) = address else { return };
            let timeout = self.dependencies.options.score_timeout;
            match scorer::score_group(&self.dependencies.client, address, &task, timeout).await {
                Ok(scores) => {
                    self.scheduler.borrow_mut().set_scores(&task, scores);
                    self.groups_changed.send_modify(|count| *count += 1);
                    return;
                }
                Err(error) => self.record_error(error.to_string()),
            }
            monoio::time::sleep(SCORING_RETRY_DELAY).await;
            if !self.scheduler.borrow().needs_scores(&task) {
                return;
            }
        }
    }

    /// Stores an error for the status; logs it only if it differs from the previous one.
    fn record_error(&self, message: String) {
        if self.last_error.borrow().as_ref() != Some(&message) {
            log::warn!(target: "roll", "job={} error={message}", self.name);
            self.last_error.replace(Some(message));
        }
    }

    /// Continues the usage count from the status that a previous owner wrote.
    pub fn restore_usage(&self, earlier: &RolloutJobStatus) {
        self.previous_owners_tokens.set(earlier.usage_tokens);
    }
}

/// Forwards the callbacks of one generation to its job.
struct JobSampleObserver<'a> {
    job: &'a OwnedJob,
    key: SampleKey,
}

impl GenerationObserver for JobSampleObserver<'_> {
    fn on_chunk(&self, chunk: &GeneratedChunk, text: &SampleText) -> bool {
        let now = Instant::now();
        let mut scheduler = self.job.scheduler.borrow_mut();
        scheduler.record_engine_tokens(chunk.weight_version, chunk.token_count, now);
        scheduler.is_usable(&self.key, text, now)
    }

    fn on_first_chunk(&self, target: &TargetId, chunk: &GeneratedChunk) {
        let mut targets = self.job.target_versions.borrow_mut();
        targets.record_version(target, chunk.weight_version, Instant::now());
    }

    fn try_reserve_hedge(&self) -> bool {
        let started_samples = self.job.scheduler.borrow().stats().started_samples;
        let hedge_percent = u64::from(self.job.dependencies.options.generation.max_hedge_percent);
        let hedges_used = self.job.hedges_started.get();
        let allowed = hedge_percent > 0
            && hedges_used < started_samples * hedge_percent / 100 + MIN_HEDGE_BUDGET;
        if allowed {
            self.job.hedges_started.set(hedges_used + 1);
        }
        allowed
    }
}
