//! Jobs that this node runs.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    CancellationToken,
    hash::hash64,
    id::{RequestId, Revision, VmId, WeightVersion},
};
use deck_fleet::{
    Engines, Item, ItemOutcome, Observer, Outlook, Protocol, RouteKind, Target, TargetList,
    TargetState, View,
};
use deck_forward::Forwarder;
use deck_net::Client;
use deck_plat::StoreError;
use tokio::sync::Notify;

use crate::{
    Checkpoints, JobRecord, Ledger,
    checkpoint::SentProgress,
    dispatch::{
        EngineCandidate, RunningItem, WaitingItem, choose_engine, choose_migration,
        remaining_events, sort_by_urgency,
    },
    item_run,
    job::{ItemState, Job, Phase},
    publish, reward,
    speculation::MIN_REPEAT_VERSION_GAP,
};

/// Engines as the running items of a job see them.
pub(crate) struct JobEngines {
    /// Service that runs the items.
    pub service: String,
    /// Oldest version that may run them.
    pub min_version: WeightVersion,
    /// Engines that take runs.
    pub candidates: Vec<EngineCandidate>,
    /// Usual time between two events in milliseconds.
    pub median_gap_ms: f64,
}

/// Options of a [`Runner`].
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Time in which the first event of a run has to come; covers a change of weights.
    pub first_event_timeout: Duration,
    /// Time in which each further event has to come. Engines make an event in some 40 ms; ten
    /// times as long for a slow one, and a margin.
    pub event_gap_timeout: Duration,
    /// Time for which results are gathered before they are stored, unless the caller waits for just
    /// them.
    pub result_batch_delay: Duration,
    /// The same shortly before the results are due.
    pub near_due_batch_delay: Duration,
    /// Time before the results are due from which on they are gathered for the shorter time.
    pub near_due_window: Duration,
    /// Longest time between two checks that this node still runs a job. Results that another
    /// runner has shown have to be known within the deployment's settle time.
    pub ownership_check_interval: Duration,
    /// Time between two checkpoints of a job. A crash loses at most this much of each text.
    pub checkpoint_interval: Duration,
    /// Time after a change of runner in which the earlier one may still store results.
    pub late_write_window: Duration,
    /// Time for which a run stays on its engine before it may move.
    pub min_run_time: Duration,
    /// Shortest time between two looks for runs that should move.
    pub migration_interval: Duration,
    /// Expected time for one token where nothing is known.
    pub default_token_time: Duration,
    /// Longest wait between two looks at waiting items.
    pub max_dispatch_wait: Duration,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            first_event_timeout: Duration::from_millis(3000),
            event_gap_timeout: Duration::from_millis(1200),
            result_batch_delay: Duration::from_millis(500),
            near_due_batch_delay: Duration::from_millis(120),
            near_due_window: Duration::from_millis(1500),
            ownership_check_interval: Duration::from_millis(1500),
            checkpoint_interval: Duration::from_millis(500),
            late_write_window: Duration::from_secs(3),
            min_run_time: Duration::from_millis(400),
            migration_interval: Duration::from_millis(150),
            default_token_time: Duration::from_micros(900),
            max_dispatch_wait: Duration::from_millis(50),
        }
    }
}

/// Runs batch jobs; clones share them.
#[derive(Clone)]
pub struct Runner {
    pub(crate) inner: Rc<RunnerState>,
}

pub(crate) struct RunnerState {
    pub deps: RunnerParts,
    pub options: RunOptions,
    pub jobs: RefCell<HashMap<RequestId, Rc<Job>>>,
    /// Engine that last read a shared prompt, by the prompt's hash.
    prompt_engines: RefCell<HashMap<u64, String>>,
    /// When runs were last looked through for one that should move.
    migration_checked_at: Cell<Instant>,
    /// Versions by which jobs that repeat groups are ahead of the jobs that asked for them before.
    pub repeat_version_gap: Cell<WeightVersion>,
    pub wake: Notify,
}

/// What a [`Runner`] works with.
pub struct RunnerParts {
    /// Name of this VM.
    pub vm: VmId,
    /// Address of this VM for other nodes.
    pub address: SocketAddr,
    /// Knowledge of the deployment.
    pub view: View,
    /// Engines.
    pub engines: Engines,
    /// Stored jobs.
    pub ledger: Ledger,
    /// Forwards reward calls.
    pub forwarder: Forwarder,
    /// Keeps texts of unfinished items on VMs with a disk.
    pub checkpoints: Checkpoints,
    /// Client for engines.
    pub client: Client,
    /// Translation.
    pub protocol: Rc<dyn Protocol>,
    /// Told of jobs, runs and results.
    pub observer: Rc<dyn Observer>,
}

impl Runner {
    /// Starts a runner; it dispatches items until `cancel` is cancelled.
    pub fn start(deps: RunnerParts, options: RunOptions, cancel: CancellationToken) -> Self {
        let inner = RunnerState {
            deps,
            options,
            jobs: RefCell::default(),
            prompt_engines: RefCell::default(),
            migration_checked_at: Cell::new(Instant::now()),
            repeat_version_gap: Cell::new(MIN_REPEAT_VERSION_GAP),
            wake: Notify::new(),
        };
        let runner = Self { inner: Rc::new(inner) };
        let inner = runner.inner.clone();
        monoio::spawn(async move {
            cancel.run_until_cancelled(inner.dispatch_loop()).await;
        });
        runner
    }

    /// Returns a job that this node runs.
    pub fn job(&self, id: &str) -> Option<Rc<Job>> {
        self.inner.jobs.borrow().get(id).cloned()
    }

    /// Returns the ids of all jobs that this node knows as their runner.
    pub fn job_ids(&self) -> Vec<RequestId> {
        self.inner.jobs.borrow().keys().cloned().collect()
    }

    /// Returns the jobs of this node that are neither ended nor complete.
    pub fn active_jobs(&self) -> Vec<Rc<Job>> {
        let jobs = self.inner.jobs.borrow();
        jobs.values()
            .filter(|job| !job.stop.is_cancelled() && !job.is_complete())
            .cloned()
            .collect()
    }

    /// Starts a job that is stored and whose record names this node.
    pub fn start_job(
        &self,
        id: &str,
        record: JobRecord,
        revision: Revision,
        items: Vec<Item>,
    ) -> Rc<Job> {
        let job = Job::new(id.to_owned(), record, revision, items);
        self.reuse_texts(&job);
        self.register_job(Rc::new(job))
    }

    /// Loads a stored job and goes on with it.
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
        if let Some(known) = self.job(id) {
            return Ok(known);
        }
        let restored = if job.is_ended() { 0 } else { self.restore_checkpoint(&job).await };
        log::info!(target: "batch", "texts restored job={id} items={restored}");
        log::info!(target: "batch", "job loaded job={id} listed={} ended={}", job.published.borrow().len(), job.is_ended());
        Ok(self.register_job(job))
    }

    /// Gives the items of a job the texts of its checkpoint; returns how many have one.
    async fn restore_checkpoint(&self, job: &Job) -> usize {
        let checkpoint = self.inner.deps.checkpoints.read(&job.id).await;
        let min_version = job.record.borrow().min_version;
        let mut restored = 0;
        for item_state in job.items.borrow().iter() {
            let Some(known) = checkpoint.get(&item_state.item.id) else { continue };
            if known.progress.last_event == 0 || !known.progress.meets_min_version(min_version) {
                continue;
            }
            item_state.progress.replace(known.progress.clone());
            item_state.failures.set(known.failures);
            if known.complete {
                item_state.enter(Phase::Generated);
            }
            restored += 1;
        }
        restored
    }

    /// Goes on with a job that was loaded, or that another node has handed over. Returns the job that
    /// this node knows already, if it does: a node has one state of each job.
    pub fn register_job(&self, job: Rc<Job>) -> Rc<Job> {
        if let Some(known) = self.job(&job.id) {
            return known;
        }
        self.inner.jobs.borrow_mut().insert(job.id.clone(), job.clone());
        if job.is_ended() {
            job.stop.cancel();
        }
        if job.is_complete() || job.is_ended() {
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
        monoio::spawn(publish::check_ownership_periodically(self.inner.clone(), job.clone()));
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
        let items = self.deps.ledger.items(id, &record).await?;
        let job = Job::new(id.to_owned(), record, revision, items);
        publish::publish_stored_chunks(self, &job).await?;
        Ok(job)
    }

    /// Forgets a job that another node runs.
    pub fn remove_job(&self, id: &str) {
        self.jobs.borrow_mut().remove(id);
    }

    /// Sends checkpoints of a job until it is complete or stops.
    async fn send_checkpoints(self: Rc<Self>, job: Rc<Job>) {
        let mut sent = SentProgress::default();
        let pause = || monoio::time::sleep(self.options.checkpoint_interval);
        while !job.is_complete() {
            self.deps.checkpoints.send(&job, &mut sent).await;
            if job.stop.run_until_cancelled(pause()).await.is_none() {
                break;
            }
        }
        // Another runner may need it unless the job is over.
        if job.is_complete() || job.is_ended() {
            self.deps.checkpoints.remove(&job.id).await;
        }
    }

    async fn dispatch_loop(self: Rc<Self>) {
        loop {
            let waits = self.dispatch_round();
            let woken = self.wake.notified();
            if waits {
                let _ = monoio::time::timeout(self.options.max_dispatch_wait, woken).await;
            } else {
                woken.await;
            }
        }
    }

    /// Starts as many waiting items as engines take; returns whether items still wait.
    fn dispatch_round(self: &Rc<Self>) -> bool {
        let now = Instant::now();
        self.deps.engines.expire_news(now);
        let migration_checked_at = self.migration_checked_at.get();
        if now.saturating_duration_since(migration_checked_at) >= self.options.migration_interval {
            self.migration_checked_at.set(now);
            self.migrate_slowest_item(now);
        }
        let mut runs: Vec<(Rc<Job>, Rc<ItemState>)> = Vec::new();
        let mut waiting = Vec::new();
        for job in self.jobs.borrow().values().filter(|job| !job.stop.is_cancelled()) {
            let items = job.items.borrow();
            for item_state in
                items.iter().filter(|item_state| item_state.phase.get() == Phase::Generated)
            {
                item_state.enter(Phase::Scoring);
                let (runner, job, item_state) = (self.clone(), job.clone(), item_state.clone());
                monoio::spawn(reward::score_item(runner, job, item_state));
            }
            for item_state in
                items.iter().filter(|item_state| item_state.phase.get() == Phase::Waiting)
            {
                if now >= job.give_up_at() {
                    log::info!(target: "batch", "item given up item={} job={}", item_state.item.id, job.id);
                    job.finish(item_state, ItemOutcome::Failed, None);
                    continue;
                }
                waiting.push(self.waiting_item(job, item_state, runs.len(), now));
                runs.push((job.clone(), item_state.clone()));
            }
            let speculative_items = job.speculative_items.borrow();
            for item_state in speculative_items
                .iter()
                .filter(|item_state| item_state.phase.get() == Phase::Waiting)
            {
                let min_version = self.speculative_min_version(job);
                waiting.push(WaitingItem {
                    min_version,
                    ..self.waiting_item(job, item_state, runs.len(), now)
                });
                runs.push((job.clone(), item_state.clone()));
            }
        }
        if !waiting.is_empty() {
            self.deps.view.need_versions(now);
        }
        if waiting.is_empty() {
            return self.has_running_items();
        }
        sort_by_urgency(&mut waiting);
        let mut unplaced = waiting.len();
        let mut engines_by_service: HashMap<(String, String), (TargetList, Vec<EngineCandidate>)> =
            HashMap::new();
        for item in &waiting {
            let (job, item_state) = &runs[item.item_index];
            let Some(service) = self.service_for_job(job) else { continue };
            let (targets, candidates) = engines_by_service
                .entry((service, item.model.clone()))
                .or_insert_with_key(|(service, model)| {
                    let targets = self.deps.view.targets_of(service);
                    let outlooks = self.outlooks(&targets, model, now);
                    let candidates = self.candidates(&outlooks, model, now);
                    (targets, candidates)
                });
            let prompt_engines = self.prompt_engines.borrow();
            let cached_engine = prompt_engines.get(&item.prompt_hash).cloned();
            drop(prompt_engines);
            let Some(index) = choose_engine(item, candidates, cached_engine.as_deref()) else {
                continue;
            };
            let chosen = &mut candidates[index];
            // Counted at once: the next item is placed before this run's task starts.
            chosen.running += 1;
            let Some(target) = targets.iter().find(|target| target.id == chosen.target) else {
                continue;
            };
            self.prompt_engines.borrow_mut().insert(item.prompt_hash, target.id.clone());
            item_state.enter(Phase::Running);
            unplaced -= 1;
            let guard = self.deps.engines.start_run(target);
            monoio::spawn(item_run::run_item(
                self.clone(),
                job.clone(),
                item_state.clone(),
                target.clone(),
                guard,
            ));
        }
        unplaced > 0
    }

    fn waiting_item(
        &self,
        job: &Job,
        item_state: &ItemState,
        item_index: usize,
        now: Instant,
    ) -> WaitingItem {
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
            prompt_hash: hash64(
                item_state.item.group.as_deref().unwrap_or(&item_state.item.id).as_bytes(),
            ),
        }
    }

    /// Returns the service that runs the items of a job, by the configuration in force.
    fn service_for_job(&self, job: &Job) -> Option<String> {
        let configuration = self.deps.view.configuration()?;
        let record = job.record.borrow();
        let route = configuration.route(&record.host, &record.path)?;
        (route.kind == RouteKind::Rollout).then(|| route.service(0.0).to_owned())
    }

    /// Returns the engines with their outlooks for the model, as they are now.
    fn outlooks<'a>(
        &self,
        targets: &'a [Rc<Target>],
        model: &str,
        now: Instant,
    ) -> Vec<(&'a Target, Outlook)> {
        let outlook = |target: &Target| self.deps.engines.outlook(target, model, now);
        targets.iter().map(|target| (&**target, outlook(target))).collect()
    }

    /// Returns the engines that may run the model.
    fn candidates(
        &self,
        outlooks: &[(&Target, Outlook)],
        model: &str,
        now: Instant,
    ) -> Vec<EngineCandidate> {
        let engines = &self.deps.engines;
        let ready = || outlooks.iter().filter(|(target, _)| target.state == TargetState::Ready);
        let median_gap_ms = median_event_gap_ms(ready().map(|(_, outlook)| outlook));
        let usable = ready().filter(|(_, outlook)| outlook.is_usable);
        usable
            .filter_map(|(target, outlook)| {
                Some(EngineCandidate {
                    target: target.id.clone(),
                    version: outlook.version?,
                    running: outlook.running,
                    slots: target.slots,
                    event_gap_ms: outlook.event_gap_ms(median_gap_ms, now).unwrap_or(median_gap_ms),
                    follows_other_model: engines.follows_other(&target.id, model),
                })
            })
            .collect()
    }

    /// Returns whether any item runs.
    fn has_running_items(&self) -> bool {
        let jobs = self.jobs.borrow();
        let mut jobs = jobs.values().filter(|job| !job.stop.is_cancelled());
        jobs.any(|job| {
            job.items.borrow().iter().any(|item_state| item_state.phase.get() == Phase::Running)
        })
    }

    /// Moves the run that gains most from another engine.
    ///
    /// One move a round: the next one sees the slots that this one has taken.
    fn migrate_slowest_item(&self, now: Instant) {
        let mut best: Option<(f64, Rc<ItemState>, String)> = None;
        for job in self.jobs.borrow().values().filter(|job| !job.stop.is_cancelled()) {
            let items = job.items.borrow();
            let mut running = items
                .iter()
                .filter(|item_state| item_state.phase.get() == Phase::Running)
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
            let outlooks = self.outlooks(&targets, &model, now);
            let candidates = self.candidates(&outlooks, &model, now);
            let median_gap_ms = median_event_gap_ms(outlooks.iter().map(|(_, outlook)| outlook));
            let job_engines = JobEngines { service, min_version, candidates, median_gap_ms };
            self.update_speculative_items(job, &job_engines, now);
            for item_state in running {
                let Some(item) = self.running_item(item_state, &job_engines, now) else { continue };
                if let Some(chosen) = choose_migration(&item, &job_engines.candidates) {
                    let gain = item.remaining_events * (item.event_gap_ms - chosen.event_gap_ms);
                    if best.as_ref().is_none_or(|(most, ..)| gain > *most) {
                        best = Some((gain, item_state.clone(), chosen.target.clone()));
                    }
                }
            }
        }
        if let Some((gain, item_state, to)) = best {
            log::info!(target: "batch", "item moves item={} to={to} expected_gain_ms={gain:.0}", item_state.item.id);
            item_state.migration_token.borrow().cancel();
        }
    }

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
        if self.deps.engines.changing(&target).is_some() {
            return None;
        }
        let configuration = self.deps.view.configuration()?;
        let engine = configuration.services.get(&job_engines.service)?.engine.as_ref()?;
        let hinted_events = item_state.item.length_hint.unwrap_or(0) / engine.tokens_per_event;
        let generated_events = item_state.progress.borrow().last_event;
        let gap = self.deps.engines.state(&target).event_gap_ms(job_engines.median_gap_ms, now)?;
        Some(RunningItem {
            target: target.id.clone(),
            event_gap_ms: gap,
            remaining_events: remaining_events(hinted_events, generated_events),
            min_version: job_engines.min_version,
        })
    }
}

/// Returns the median time between events on the engines where it is known.
fn median_event_gap_ms<'a>(outlooks: impl Iterator<Item = &'a Outlook>) -> f64 {
    let mut known: Vec<f64> = outlooks.filter_map(Outlook::long_gap_ms).collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied().unwrap_or(DEFAULT_EVENT_GAP_MS)
}

/// Time between two events where nothing is known yet.
const DEFAULT_EVENT_GAP_MS: f64 = 45.0;
