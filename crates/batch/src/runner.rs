//! Runs batch jobs on this node: dispatches waiting items to engines and migrates slow runs.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    CancellationToken,
    boot_clock::BootInstant,
    hash::hash64,
    id::{RequestId, Revision, VmId, WeightVersion},
};
use deck_fleet::{
    Bounds, EngineEstimate, EngineRegistry, FleetView, Item, ItemOutcome, Observer,
    PlatformProtocol, RequestPurpose, RouteKind, Target, TargetList, TargetState,
};
use deck_forward::Forwarder;
use deck_plat::StoreError;
use deck_reach::TargetClient;
use tokio::sync::Notify;

use crate::{
    CheckpointClient, JobRecord, JobStore,
    checkpoint::SentProgress,
    dispatch::{
        EngineCandidate, RunningItem, WaitingItem, WaitingText, can_continue_text, choose_engine,
        choose_migrations, defer_beyond_part, remaining_events, sort_by_urgency,
    },
    item_run,
    job::{ItemPhase, ItemState, Job},
    ownership, publish, reward,
    speculation::MIN_REPEAT_VERSION_GAP,
};

/// Engines that can run the items of one job.
pub(crate) struct JobEngines {
    /// Name of the service whose engines run the items.
    pub service: String,
    /// Oldest weight version that may generate text for the job.
    pub min_version: WeightVersion,
    /// Engines that accept runs of the job's model.
    pub candidates: Vec<EngineCandidate>,
    /// Median over these engines of the time between two events, in milliseconds.
    pub median_gap_ms: f64,
}

/// Timeouts, delays and intervals of a [`Runner`].
#[derive(Debug, Clone)]
pub struct RunnerOptions {
    /// Timeout for the first event of a run. Long enough for an engine to switch weights.
    pub first_event_timeout: Duration,
    /// Timeout between two events of a run. Engines produce an event every 40 ms or so; this allows
    /// for one that is ten times slower, with some margin.
    pub event_gap_timeout: Duration,
    /// How long the runner waits for further results to store them in one write. The wait ends once the results complete the groups
    /// that the caller waits for.
    pub result_batch_delay: Duration,
    /// Replaces `result_batch_delay` within `near_due_window` of the due time of the results.
    pub near_due_batch_delay: Duration,
    /// Time before the due time of the results from which on `near_due_batch_delay` applies.
    pub near_due_window: Duration,
    /// Time between two checkpoints of a job, and so the most generation time that a crash loses.
    pub checkpoint_interval: Duration,
    /// How long after a takeover the ownership checks also look for results that the previous runner
    /// still stores. They may come later too; a read or a write finds them then.
    pub late_write_window: Duration,
    /// How long a run stays on its engine before it may be migrated.
    pub min_run_time: Duration,
    /// Minimum time between two searches for a run to migrate.
    pub migration_interval: Duration,
    /// Estimated generation time per token, used to predict how long an item takes.
    pub default_token_time: Duration,
    /// Maximum time between two dispatch rounds while items wait for an engine.
    pub max_dispatch_wait: Duration,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self {
            first_event_timeout: Duration::from_millis(3000),
            event_gap_timeout: Duration::from_millis(1200),
            result_batch_delay: Duration::from_millis(500),
            near_due_batch_delay: Duration::from_millis(120),
            near_due_window: Duration::from_millis(1500),
            checkpoint_interval: Duration::from_millis(500),
            late_write_window: Duration::from_secs(3),
            min_run_time: Duration::from_millis(400),
            migration_interval: Duration::from_millis(150),
            default_token_time: Duration::from_micros(900),
            max_dispatch_wait: Duration::from_millis(50),
        }
    }
}

/// Runs batch jobs; clones share their state.
#[derive(Clone)]
pub struct Runner {
    pub(crate) inner: Rc<RunnerState>,
}

/// State shared by the clones of a [`Runner`] and its tasks.
pub(crate) struct RunnerState {
    /// Other components that the runner uses.
    pub deps: RunnerDependencies,
    /// Timing of runs, writes and checks.
    pub options: RunnerOptions,
    /// Jobs that this node runs or has run, by id.
    pub jobs: RefCell<HashMap<RequestId, Rc<Job>>>,
    /// Jobs whose end this node has received and could not store yet. Nothing is sent for them.
    pub pending_ends: RefCell<HashSet<RequestId>>,
    /// Engine that last processed each prompt, keyed by prompt hash. Its prefix cache is likely to
    /// hold the prompt.
    last_engine_by_prompt: RefCell<HashMap<u64, String>>,
    /// When runs were last checked for migration.
    migration_checked_at: Cell<Instant>,
    /// Difference between the minimum versions of a job and of the later job that repeats its
    /// groups; the largest seen so far.
    pub repeat_version_gap: Cell<WeightVersion>,
    /// Wakes the dispatch loop when a job is registered or a run has ended.
    pub wake: Notify,
}

/// Dependencies of a [`Runner`].
pub struct RunnerDependencies {
    /// Id of this VM.
    pub vm: VmId,
    /// Address at which other nodes reach this node.
    pub address: SocketAddr,
    /// Time limits of the deployment; may change while the node runs.
    pub bounds: Rc<RefCell<Bounds>>,
    /// Current configuration and targets.
    pub view: FleetView,
    /// State and load of the engines.
    pub engines: EngineRegistry,
    /// Stores jobs and results in the object API.
    pub job_store: JobStore,
    /// Forwards reward calls.
    pub forwarder: Forwarder,
    /// Sends checkpoints of unfinished texts to VMs with a disk.
    pub checkpoints: CheckpointClient,
    /// Client for requests to engines.
    pub client: TargetClient,
    /// Wire protocol of callers and engines.
    pub protocol: Rc<dyn PlatformProtocol>,
    /// Receives metrics of jobs, runs and results.
    pub observer: Rc<dyn Observer>,
}

impl Runner {
    /// Starts a runner that dispatches items until `cancel` is cancelled.
    pub fn start(
        deps: RunnerDependencies,
        options: RunnerOptions,
        cancel: CancellationToken,
    ) -> Self {
        let inner = RunnerState {
            deps,
            options,
            jobs: RefCell::default(),
            pending_ends: RefCell::default(),
            last_engine_by_prompt: RefCell::default(),
            migration_checked_at: Cell::new(Instant::now()),
            repeat_version_gap: Cell::new(MIN_REPEAT_VERSION_GAP),
            wake: Notify::new(),
        };
        let runner = Self { inner: Rc::new(inner) };
        let runner_state = runner.inner.clone();
        monoio::spawn(async move {
            cancel.run_until_cancelled(runner_state.dispatch_loop()).await;
        });
        runner
    }

    /// Returns the job with the given id if this node runs it.
    pub fn job(&self, id: &str) -> Option<Rc<Job>> {
        self.inner.jobs.borrow().get(id).cloned()
    }

    /// Returns the ids of all jobs that are registered on this node, including finished ones.
    pub fn job_ids(&self) -> Vec<RequestId> {
        self.inner.jobs.borrow().keys().cloned().collect()
    }

    /// Returns the registered jobs that are neither stopped nor complete.
    pub fn active_jobs(&self) -> Vec<Rc<Job>> {
        let jobs = self.inner.jobs.borrow();
        jobs.values()
            .filter(|job| !job.stop_token.is_cancelled() && !job.is_complete())
            .cloned()
            .collect()
    }

    /// Starts a new job whose record, which names this node as its runner, was stored by a write that
    /// started at `written_at`.
    pub fn start_job(
        &self,
        id: &str,
        record: JobRecord,
        revision: Revision,
        written_at: BootInstant,
        items: Vec<Item>,
    ) -> Rc<Job> {
        let job = Job::new(id.to_owned(), record, revision, items);
        job.confirm_ownership(written_at);
        self.reuse_texts(&job);
        self.register_job(Rc::new(job))
    }

    /// Loads a job from the object API, restores its checkpoint and resumes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn load_job(
        &self,
        id: &str,
        record: JobRecord,
        revision: Revision,
    ) -> Result<Rc<Job>, StoreError> {
        let taken_over_at = Some(Instant::now());
        let mut job = self.inner.load_stored_job(id, record, revision).await?;
        job.taken_over_at = taken_over_at;
        let job = Rc::new(job);
        if let Some(existing) = self.job(id) {
            return Ok(existing);
        }
        let restored = if job.is_ended() { 0 } else { self.restore_checkpoint(&job).await };
        log::info!(target: "batch", "texts restored job={id} items={restored}");
        if !job.is_ended() {
            self.reuse_texts(&job);
        }
        log::info!(target: "batch", "job loaded job={id} listed={} ended={}", job.published_results.borrow().len(), job.is_ended());
        Ok(self.register_job(job))
    }

    /// Restores the texts of a job's items from its checkpoint. Returns the number of restored
    /// items.
    async fn restore_checkpoint(&self, job: &Job) -> usize {
        let checkpoint = self.inner.deps.checkpoints.read(&job.id).await;
        let min_version = job.record.borrow().min_version;
        let mut restored = 0;
        for item_state in job.items.borrow().iter() {
            let Some(item_checkpoint) = checkpoint.get(&item_state.item.id) else { continue };
            if item_checkpoint.progress.last_event == 0
                || !item_checkpoint.progress.meets_min_version(min_version)
            {
                continue;
            }
            item_state.progress.replace(item_checkpoint.progress.clone());
            item_state.failures.set(item_checkpoint.failures);
            if item_checkpoint.complete {
                item_state.set_phase(ItemPhase::Generated);
            }
            restored += 1;
        }
        restored
    }

    /// Registers a loaded or handed-over job and starts its tasks. If the job is registered
    /// already, returns the existing instance: a node has a single state for each job.
    pub fn register_job(&self, job: Rc<Job>) -> Rc<Job> {
        if let Some(existing) = self.job(&job.id) {
            return existing;
        }
        self.inner.jobs.borrow_mut().insert(job.id.clone(), job.clone());
        let is_ending = self.inner.pending_ends.borrow().contains(&job.id);
        if job.is_complete() || job.is_ended() || is_ending {
            job.stop_token.cancel();
            return job;
        }
        {
            let record = job.record.borrow();
            let engines = &self.inner.deps.engines;
            engines.record_job(
                &record.model,
                record.min_version,
                record.item_count,
                job.submitted_at,
            );
        }
        monoio::spawn(publish::publish_results(self.inner.clone(), job.clone()));
        monoio::spawn(ownership::check_ownership_periodically(self.inner.clone(), job.clone()));
        monoio::spawn(self.inner.clone().send_checkpoints(job.clone()));
        monoio::spawn(self.inner.clone().stop_speculation(job.clone()));
        self.inner.wake.notify_one();
        job
    }
}

impl RunnerState {
    /// Reads the items and results of a job from the object API.
    pub async fn load_stored_job(
        &self,
        id: &str,
        record: JobRecord,
        revision: Revision,
    ) -> Result<Job, StoreError> {
        let items = self.deps.job_store.read_items(id, &record).await?;
        let job = Job::new(id.to_owned(), record, revision, items);
        publish::publish_stored_chunks(self, &job).await?;
        Ok(job)
    }

    /// Removes a job that another node runs now. Leaves another instance of it, which has come back to
    /// this node, where it is.
    pub fn remove_job(&self, job: &Job) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.get(&job.id).is_some_and(|registered| std::ptr::eq(&**registered, job)) {
            jobs.remove(&job.id);
        }
    }

    /// Sends checkpoints of a job at intervals until it is complete or stopped.
    async fn send_checkpoints(self: Rc<Self>, job: Rc<Job>) {
        let mut sent = SentProgress::default();
        let pause = || monoio::time::sleep(self.options.checkpoint_interval);
        while !job.is_complete() {
            self.deps.checkpoints.send(&job, &mut sent).await;
            if job.stop_token.run_until_cancelled(pause()).await.is_none() {
                break;
            }
        }
        // If the job continues on another node, its next runner needs the checkpoint.
        if job.is_complete() || job.is_ended() {
            self.deps.checkpoints.remove(&job.id).await;
        }
    }

    /// Runs a dispatch round whenever it is woken, and periodically while there is work.
    async fn dispatch_loop(self: Rc<Self>) {
        loop {
            let has_more_work = self.dispatch_round();
            let wake_notified = self.wake.notified();
            if has_more_work {
                let _ = monoio::time::timeout(self.options.max_dispatch_wait, wake_notified).await;
            } else {
                wake_notified.await;
            }
        }
    }

    /// Dispatches waiting items to free engines. Returns whether items are left that need another
    /// round.
    fn dispatch_round(self: &Rc<Self>) -> bool {
        let now = Instant::now();
        self.deps.engines.expire_leader_updates(now);
        let migration_checked_at = self.migration_checked_at.get();
        if now.saturating_duration_since(migration_checked_at) >= self.options.migration_interval {
            self.migration_checked_at.set(now);
            self.migrate_slow_items(now);
        }
        let mut queued_items: Vec<(Rc<Job>, Rc<ItemState>)> = Vec::new();
        let mut dispatch_queue = Vec::new();
        for job in self.jobs.borrow().values().filter(|job| self.may_dispatch(job)) {
            let items = job.items.borrow();
            for item_state in
                items.iter().filter(|item_state| item_state.phase.get() == ItemPhase::Generated)
            {
                item_state.set_phase(ItemPhase::Scoring);
                let (runner_state, job, item_state) =
                    (self.clone(), job.clone(), item_state.clone());
                monoio::spawn(reward::score_item(runner_state, job, item_state));
            }
            for item_state in
                items.iter().filter(|item_state| item_state.phase.get() == ItemPhase::Waiting)
            {
                if now >= job.give_up_at() {
                    log::info!(target: "batch", "item given up item={} job={}", item_state.item.id, job.id);
                    job.finish_item(item_state, ItemOutcome::Failed, None);
                    continue;
                }
                dispatch_queue.push(self.waiting_item(job, item_state, queued_items.len(), now));
                queued_items.push((job.clone(), item_state.clone()));
            }
            let speculative_items = job.speculative_items.borrow();
            for item_state in speculative_items
                .iter()
                .filter(|item_state| item_state.phase.get() == ItemPhase::Waiting)
            {
                let min_version = self.speculative_min_version(job);
                dispatch_queue.push(WaitingItem {
                    min_version,
                    ..self.waiting_item(job, item_state, queued_items.len(), now)
                });
                queued_items.push((job.clone(), item_state.clone()));
            }
        }
        if !dispatch_queue.is_empty() {
            self.deps.view.request_versions(now);
        }
        if dispatch_queue.is_empty() {
            return self.has_running_items();
        }
        sort_by_urgency(&mut dispatch_queue);
        let (shares, configuration) =
            (self.deps.forwarder.shares(), self.deps.view.configuration());
        let has_organisations = configuration.is_some_and(|it| it.organisations.is_some());
        let owner_of = |item: &WaitingItem| {
            let job = &queued_items[item.item_index].0;
            let organisation = job.record.borrow().organisation.clone().unwrap_or_default();
            Some((self.service_for_job(job)?, organisation))
        };
        let is_contended = has_organisations
            && queued_items.windows(2).any(|jobs| {
                jobs[0].0.record.borrow().organisation != jobs[1].0.record.borrow().organisation
            });
        if is_contended {
            defer_beyond_part(&mut dispatch_queue, owner_of, shares, now);
        }
        let mut short_services: HashSet<String> = HashSet::new();
        let mut waiting_count = dispatch_queue.len();
        let mut engines_by_service: HashMap<(String, String), (TargetList, Vec<EngineCandidate>)> =
            HashMap::new();
        for item in &dispatch_queue {
            let (job, item_state) = &queued_items[item.item_index];
            let Some(service) = self.service_for_job(job) else { continue };
            let (targets, candidates) = engines_by_service
                .entry((service, item.model.clone()))
                .or_insert_with_key(|(service, model)| {
                    let targets = self.deps.view.targets_of(service);
                    let estimates = self.estimates(&targets, model, now);
                    let candidates = self.candidates(&estimates, model, now);
                    (targets, candidates)
                });
            let last_engine_by_prompt = self.last_engine_by_prompt.borrow();
            let cached_engine = last_engine_by_prompt.get(&item.prompt_hash).cloned();
            drop(last_engine_by_prompt);
            let Some(index) = choose_engine(item, candidates, cached_engine.as_deref()) else {
                if candidates.iter().all(|engine| engine.active_runs >= engine.slots) {
                    short_services.extend(self.service_for_job(job));
                }
                continue;
            };
            let chosen_engine = &mut candidates[index];
            let expected_event_ms = chosen_engine.next_event_gap_ms();
            // Counted here because the run's own task starts later than the next item is placed.
            chosen_engine.active_runs += 1;
            let Some(target) = targets.iter().find(|target| target.id == chosen_engine.target)
            else {
                continue;
            };
            self.last_engine_by_prompt.borrow_mut().insert(item.prompt_hash, target.id.clone());
            let discard_reason = match can_continue_text(item, candidates) {
                true => "engines of its version are full",
                false => "no engine of its version is usable",
            };
            item_run::discard_text_of_other_software(item_state, target, discard_reason);
            item_state.set_phase(ItemPhase::Running);
            waiting_count -= 1;
            if let Some((service, organisation)) = owner_of(item).filter(|_| has_organisations) {
                shares.charge(&service, &organisation, item.expected_duration, now);
            }
            if let Some(configuration) = self.deps.view.configuration() {
                let (limits, purpose) = (self.deps.view.limits(), RequestPurpose::Item);
                limits.count_request(target, purpose, &configuration, now);
            }
            let guard = self.deps.engines.start_run(target);
            monoio::spawn(item_run::run_item(
                self.clone(),
                job.clone(),
                item_state.clone(),
                target.clone(),
                expected_event_ms,
                guard,
            ));
        }
        for service in short_services.iter().filter(|_| has_organisations) {
            shares.record_shortage(service, now);
        }
        waiting_count > 0
    }

    /// Returns whether runs of a job may be started, and broken off to move to another engine.
    fn may_dispatch(&self, job: &Job) -> bool {
        !job.stop_token.is_cancelled() && self.may_send(job)
    }

    /// Builds the dispatch queue entry of an item.
    fn waiting_item(
        &self,
        job: &Job,
        item_state: &ItemState,
        item_index: usize,
        now: Instant,
    ) -> WaitingItem {
        let waiting_since = item_state.waiting_since.get().unwrap_or(now);
        item_state.waiting_since.set(Some(waiting_since));
        let progress = item_state.progress.borrow();
        let text = (progress.last_event > 0).then(|| WaitingText {
            software_version: progress.software_version.clone(),
            events: progress.last_event,
            waiting_time: now.saturating_duration_since(waiting_since),
        });
        let record = job.record.borrow();
        let tokens = item_state.item.length_hint.unwrap_or(item_state.item.tokens);
        WaitingItem {
            item_index,
            time_until_due: job.due_at().saturating_duration_since(now),
            expected_duration: self.options.default_token_time
                * u32::try_from(tokens).unwrap_or(u32::MAX),
            model: record.model.clone(),
            min_version: record.min_version,
            is_speculative: item_state.is_speculative,
            text,
            prompt_hash: hash64(
                item_state.item.group.as_deref().unwrap_or(&item_state.item.id).as_bytes(),
            ),
        }
    }

    /// Returns the service that runs the job's items under the current configuration; `None` if
    /// there is no rollout route for the job.
    fn service_for_job(&self, job: &Job) -> Option<String> {
        let configuration = self.deps.view.configuration()?;
        let record = job.record.borrow();
        let route = configuration.route(&record.host, &record.path)?;
        (route.kind == RouteKind::Rollout).then(|| route.pick_service(0.0).to_owned())
    }

    /// Returns the estimated version, load and speed of each target for the model.
    fn estimates<'a>(
        &self,
        targets: &'a [Rc<Target>],
        model: &str,
        now: Instant,
    ) -> Vec<(&'a Target, EngineEstimate)> {
        let estimate = |target: &Target| self.deps.engines.estimate(target, model, now);
        targets.iter().map(|target| (&**target, estimate(target))).collect()
    }

    /// Returns the engines that accept runs of the model. One that is loading weights or in its backoff
    /// after a failure has no slots: it may soon continue the texts of its software version.
    fn candidates(
        &self,
        estimates: &[(&Target, EngineEstimate)],
        model: &str,
        now: Instant,
    ) -> Vec<EngineCandidate> {
        let (engines, limits) = (&self.deps.engines, self.deps.view.limits());
        let configuration = self.deps.view.configuration().filter(|_| !limits.is_empty());
        let slots = |target: &Target, estimate: &EngineEstimate| {
            if !estimate.is_usable {
                return 0;
            }
            let available = configuration.as_ref().and_then(|configuration| {
                limits.available(target, RequestPurpose::Item, configuration, now)
            });
            let limited = |available| estimate.active_runs.saturating_add(available);
            target.slots.min(available.map_or(u32::MAX, limited))
        };
        let ready = || estimates.iter().filter(|(target, _)| target.state == TargetState::Ready);
        let median_gap_ms = median_event_gap_ms(ready().map(|(_, estimate)| estimate));
        ready()
            .filter_map(|(target, estimate)| {
                Some(EngineCandidate {
                    target: target.id.clone(),
                    version: estimate.version?,
                    software_version: target.software_version.clone(),
                    active_runs: estimate.active_runs,
                    slots: slots(target, estimate),
                    event_gap_ms: estimate
                        .expected_event_interval_ms(median_gap_ms, now)
                        .unwrap_or(median_gap_ms),
                    slowdown: estimate.slowdown,
                    assigned_to_other_model: engines.is_assigned_to_other_model(&target.id, model),
                })
            })
            .collect()
    }

    /// Returns whether any item of an active job is running.
    fn has_running_items(&self) -> bool {
        let jobs = self.jobs.borrow();
        let mut jobs = jobs.values().filter(|job| !job.stop_token.is_cancelled());
        jobs.any(|job| {
            job.items.borrow().iter().any(|item_state| item_state.phase.get() == ItemPhase::Running)
        })
    }

    /// Migrates the runs that save the most time on another engine, and updates the speculative
    /// copies of each job.
    fn migrate_slow_items(&self, now: Instant) {
        let mut item_states: Vec<Rc<ItemState>> = Vec::new();
        let mut running_items: Vec<(usize, RunningItem)> = Vec::new();
        let mut candidates_by_job = Vec::new();
        for job in self.jobs.borrow().values().filter(|job| self.may_dispatch(job)) {
            let items = job.items.borrow();
            let mut running = items
                .iter()
                .filter(|item_state| item_state.phase.get() == ItemPhase::Running)
                .peekable();
            if running.peek().is_none() {
                continue;
            }
            let Some(service) = self.service_for_job(job) else { continue };
            let targets = self.deps.view.targets_of(&service);
            let (model, min_version) = {
                let record = job.record.borrow();
                (record.model.clone(), record.min_version)
            };
            let estimates = self.estimates(&targets, &model, now);
            let candidates = self.candidates(&estimates, &model, now);
            let median_gap_ms = median_event_gap_ms(estimates.iter().map(|(_, estimate)| estimate));
            let job_engines = JobEngines { service, min_version, candidates, median_gap_ms };
            self.update_speculative_items(job, &job_engines, now);
            for item_state in running {
                let Some(item) = self.running_item(item_state, &job_engines, now) else { continue };
                running_items.push((candidates_by_job.len(), item));
                item_states.push(item_state.clone());
            }
            candidates_by_job.push(job_engines.candidates);
        }
        let migrations =
            choose_migrations(&running_items, &mut candidates_by_job, MAX_MIGRATIONS_PER_ROUND);
        for (index, to, gain_ms) in migrations {
            let item_state = &item_states[index];
            log::info!(target: "batch", "migrating item item={} to={to} expected_gain_ms={gain_ms:.0}", item_state.item.id);
            item_state.migration_token.borrow().cancel();
        }
    }

    /// Returns the input of [`choose_migrations`] for a running item; `None` if the run has just
    /// started, is being migrated already, or its engine is switching weights.
    pub fn running_item(
        &self,
        item_state: &ItemState,
        job_engines: &JobEngines,
        now: Instant,
    ) -> Option<RunningItem> {
        if item_state.migration_token.borrow().is_cancelled() {
            return None;
        }
        let started = item_state.started_at.get()?;
        if now.saturating_duration_since(started) < self.options.min_run_time {
            return None;
        }
        let target = self.deps.view.target(item_state.target.borrow().as_deref()?)?;
        if self.deps.engines.loading_model(&target).is_some() {
            return None;
        }
        let configuration = self.deps.view.configuration()?;
        let engine = configuration.services.get(&job_engines.service)?.engine.as_ref()?;
        let hinted_events = item_state.item.length_hint.unwrap_or(0) / engine.tokens_per_event;
        let progress = item_state.progress.borrow();
        let generated_events = progress.last_event;
        let software_version = match generated_events {
            0 => &target.software_version,
            _ => &progress.software_version,
        };
        let gap_ms = self
            .deps
            .engines
            .state(&target)
            .expected_event_interval_ms(job_engines.median_gap_ms, now)?;
        Some(RunningItem {
            target: target.id.clone(),
            event_gap_ms: gap_ms,
            remaining_events: remaining_events(hinted_events, generated_events),
            min_version: job_engines.min_version,
            software_version: software_version.clone(),
        })
    }
}

/// Returns the median over all measured engines of the time between two events, in milliseconds.
fn median_event_gap_ms<'a>(estimates: impl Iterator<Item = &'a EngineEstimate>) -> f64 {
    let mut gaps_ms: Vec<f64> =
        estimates.filter_map(EngineEstimate::long_term_event_interval_ms).collect();
    gaps_ms.sort_by(f64::total_cmp);
    gaps_ms.get(gaps_ms.len() / 2).copied().unwrap_or(DEFAULT_EVENT_GAP_MS)
}

/// Maximum number of runs that migrate at once. After a restart, the longest texts start on engines of
/// unknown speed; the due time leaves no time to move them one by one.
const MAX_MIGRATIONS_PER_ROUND: usize = 8;
/// Estimated time between two events in milliseconds before any engine has been measured.
const DEFAULT_EVENT_GAP_MS: f64 = 45.0;
