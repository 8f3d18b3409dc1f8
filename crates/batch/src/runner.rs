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
    ahead::MIN_REPEAT_LEAD,
    checkpoint::Sent,
    dispatch::{
        Candidate, RunningItem, Waiting, choose, choose_move, events_left, sort_by_urgency,
    },
    job::{ItemRun, Job, Phase},
    publish, reward, run,
};

/// Engines as the running items of a job see them.
pub(crate) struct JobOutlook {
    /// Service that runs the items.
    pub service: String,
    /// Oldest version that may run them.
    pub min_version: WeightVersion,
    /// Engines that take runs.
    pub candidates: Vec<Candidate>,
    /// Usual time between two events in milliseconds.
    pub usual_ms: f64,
}

/// Options of a [`Runner`].
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Time in which the first event of a run has to come; covers a change of weights.
    pub first_event_limit: Duration,
    /// Time in which each further event has to come. Engines make an event in some 40 ms; ten
    /// times as long for a slow one, and a margin.
    pub event_gap_limit: Duration,
    /// Time for which results are gathered before they are stored, unless the caller waits for just
    /// them.
    pub gather: Duration,
    /// The same shortly before the results are due.
    pub gather_late: Duration,
    /// Time before the results are due from which on they are gathered for the shorter time.
    pub late: Duration,
    /// Longest time between two checks that this node still runs a job. Results that another
    /// runner has shown have to be known within the deployment's settle time.
    pub confirm_interval: Duration,
    /// Time between two checkpoints of a job. A crash loses at most this much of each text.
    pub checkpoint_interval: Duration,
    /// Time after a change of runner in which the earlier one may still store results.
    pub takeover_settle: Duration,
    /// Time for which a run stays on its engine before it may move.
    pub settle_run: Duration,
    /// Shortest time between two looks for runs that should move.
    pub move_interval: Duration,
    /// Expected time for one token where nothing is known.
    pub token_time: Duration,
    /// Longest wait between two looks at waiting items.
    pub idle_round: Duration,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            first_event_limit: Duration::from_millis(3000),
            event_gap_limit: Duration::from_millis(1200),
            gather: Duration::from_millis(500),
            gather_late: Duration::from_millis(120),
            late: Duration::from_millis(1500),
            confirm_interval: Duration::from_millis(1500),
            checkpoint_interval: Duration::from_millis(500),
            takeover_settle: Duration::from_secs(3),
            settle_run: Duration::from_millis(400),
            move_interval: Duration::from_millis(150),
            token_time: Duration::from_micros(900),
            idle_round: Duration::from_millis(50),
        }
    }
}

/// Runs batch jobs; clones share them.
#[derive(Clone)]
pub struct Runner {
    pub(crate) inner: Rc<Inner>,
}

pub(crate) struct Inner {
    pub parts: RunnerParts,
    pub options: RunOptions,
    pub jobs: RefCell<HashMap<RequestId, Rc<Job>>>,
    /// Engine that last read a shared prompt, by the prompt's hash.
    prompts: RefCell<HashMap<u64, String>>,
    /// When runs were last looked through for one that should move.
    moved_at: Cell<Instant>,
    /// Versions by which jobs that repeat groups are ahead of the jobs that asked for them before.
    pub repeat_lead: Cell<WeightVersion>,
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
    pub fn start(parts: RunnerParts, options: RunOptions, cancel: CancellationToken) -> Self {
        let inner = Inner {
            parts,
            options,
            jobs: RefCell::default(),
            prompts: RefCell::default(),
            moved_at: Cell::new(Instant::now()),
            repeat_lead: Cell::new(MIN_REPEAT_LEAD),
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
        self.adopt(Rc::new(job))
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
        let mut job = self.inner.stored_job(id, record, revision).await?;
        job.taken_over_at = taken_over_at;
        let job = Rc::new(job);
        if let Some(known) = self.job(id) {
            return Ok(known);
        }
        let restored = if job.is_ended() { 0 } else { self.restore(&job).await };
        log::info!(target: "batch", "texts restored job={id} items={restored}");
        log::info!(target: "batch", "job loaded job={id} listed={} ended={}", job.listed.borrow().len(), job.is_ended());
        Ok(self.adopt(job))
    }

    /// Gives the items of a job the texts of its checkpoint; returns how many have one.
    async fn restore(&self, job: &Job) -> usize {
        let checkpoint = self.inner.parts.checkpoints.read(&job.id).await;
        let min_version = job.record.borrow().min_version;
        let mut restored = 0;
        for run in job.items.borrow().iter() {
            let Some(known) = checkpoint.get(&run.item.id) else { continue };
            if known.progress.last_event == 0 || !known.progress.fits(min_version) {
                continue;
            }
            run.progress.replace(known.progress.clone());
            run.failures.set(known.failures);
            if known.complete {
                run.enter(Phase::Complete);
            }
            restored += 1;
        }
        restored
    }

    /// Goes on with a job that was loaded, or that another node has handed over. Returns the job that
    /// this node knows already, if it does: a node has one state of each job.
    pub fn adopt(&self, job: Rc<Job>) -> Rc<Job> {
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
            let engines = &self.inner.parts.engines;
            engines.record_job(&record.model, record.min_version, record.total, job.submitted_at);
        }
        monoio::spawn(publish::publish_results(self.inner.clone(), job.clone()));
        monoio::spawn(publish::keep_confirmed(self.inner.clone(), job.clone()));
        monoio::spawn(self.inner.clone().keep_checkpoints(job.clone()));
        monoio::spawn(self.inner.clone().end_ahead(job.clone()));
        self.inner.wake.notify_one();
        job
    }
}

impl Inner {
    /// Reads the items and results of a job from the object API.
    pub async fn stored_job(
        &self,
        id: &str,
        record: JobRecord,
        revision: Revision,
    ) -> Result<Job, StoreError> {
        let items = self.parts.ledger.items(id, &record).await?;
        let job = Job::new(id.to_owned(), record, revision, items);
        publish::list_stored(self, &job).await?;
        Ok(job)
    }

    /// Forgets a job that another node runs.
    pub fn forget(&self, id: &str) {
        self.jobs.borrow_mut().remove(id);
    }

    /// Sends checkpoints of a job until it is complete or stops.
    async fn keep_checkpoints(self: Rc<Self>, job: Rc<Job>) {
        let mut sent = Sent::default();
        let pause = || monoio::time::sleep(self.options.checkpoint_interval);
        while !job.is_complete() {
            self.parts.checkpoints.send(&job, &mut sent).await;
            if job.stop.run_until_cancelled(pause()).await.is_none() {
                break;
            }
        }
        // Another runner may need it unless the job is over.
        if job.is_complete() || job.is_ended() {
            self.parts.checkpoints.remove(&job.id).await;
        }
    }

    async fn dispatch_loop(self: Rc<Self>) {
        loop {
            let waits = self.dispatch_round();
            let woken = self.wake.notified();
            if waits {
                let _ = monoio::time::timeout(self.options.idle_round, woken).await;
            } else {
                woken.await;
            }
        }
    }

    /// Starts as many waiting items as engines take; returns whether items still wait.
    fn dispatch_round(self: &Rc<Self>) -> bool {
        let now = Instant::now();
        self.parts.engines.expire_news(now);
        let moved_at = self.moved_at.get();
        if now.saturating_duration_since(moved_at) >= self.options.move_interval {
            self.moved_at.set(now);
            self.move_slow_runs(now);
        }
        let mut runs: Vec<(Rc<Job>, Rc<ItemRun>)> = Vec::new();
        let mut waiting = Vec::new();
        for job in self.jobs.borrow().values().filter(|job| !job.stop.is_cancelled()) {
            let items = job.items.borrow();
            for run in items.iter().filter(|run| run.phase.get() == Phase::Complete) {
                run.enter(Phase::Scoring);
                let (runner, job, run) = (self.clone(), job.clone(), run.clone());
                monoio::spawn(reward::score_item(runner, job, run));
            }
            for run in items.iter().filter(|run| run.phase.get() == Phase::Waiting) {
                if now >= job.give_up_at() {
                    log::info!(target: "batch", "item given up item={} job={}", run.item.id, job.id);
                    job.finish(run, ItemOutcome::Failed, None);
                    continue;
                }
                waiting.push(self.waiting(job, run, runs.len(), now));
                runs.push((job.clone(), run.clone()));
            }
            let ahead = job.ahead.borrow();
            for run in ahead.iter().filter(|run| run.phase.get() == Phase::Waiting) {
                let min_version = self.later_version(job);
                waiting.push(Waiting { min_version, ..self.waiting(job, run, runs.len(), now) });
                runs.push((job.clone(), run.clone()));
            }
        }
        if !waiting.is_empty() {
            self.parts.view.need_versions(now);
        }
        if waiting.is_empty() {
            return self.runs_items();
        }
        sort_by_urgency(&mut waiting);
        let mut left = waiting.len();
        let mut known: HashMap<(String, String), (TargetList, Vec<Candidate>)> = HashMap::new();
        for item in &waiting {
            let (job, run) = &runs[item.key];
            let Some(service) = self.service_of(job) else { continue };
            let (targets, candidates) = known
                .entry((service, item.model.clone()))
                .or_insert_with_key(|(service, model)| {
                    let targets = self.parts.view.targets_of(service);
                    let outlooks = self.outlooks(&targets, model, now);
                    let candidates = self.candidates(&outlooks, model, now);
                    (targets, candidates)
                });
            let prompts = self.prompts.borrow();
            let with_prompt = prompts.get(&item.prompt).cloned();
            drop(prompts);
            let Some(index) = choose(item, candidates, with_prompt.as_deref()) else { continue };
            let chosen = &mut candidates[index];
            // Counted at once: the next item is placed before this run's task starts.
            chosen.running += 1;
            let Some(target) = targets.iter().find(|target| target.id == chosen.target) else {
                continue;
            };
            self.prompts.borrow_mut().insert(item.prompt, target.id.clone());
            run.enter(Phase::Running);
            left -= 1;
            let guard = self.parts.engines.start_run(target);
            monoio::spawn(run::run_item(
                self.clone(),
                job.clone(),
                run.clone(),
                target.clone(),
                guard,
            ));
        }
        left > 0
    }

    fn waiting(&self, job: &Job, run: &ItemRun, key: usize, now: Instant) -> Waiting {
        let record = job.record.borrow();
        let tokens = run.item.length_hint.unwrap_or(run.item.tokens);
        Waiting {
            key,
            time_left: job.due_at().saturating_duration_since(now),
            expected: self.options.token_time * u32::try_from(tokens).unwrap_or(u32::MAX),
            model: record.model.clone(),
            min_version: record.min_version,
            is_ahead: run.is_ahead,
            prompt: hash64(run.item.group.as_deref().unwrap_or(&run.item.id).as_bytes()),
        }
    }

    /// Returns the service that runs the items of a job, by the configuration in force.
    fn service_of(&self, job: &Job) -> Option<String> {
        let configuration = self.parts.view.configuration()?;
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
        let outlook = |target: &Target| self.parts.engines.outlook(target, model, now);
        targets.iter().map(|target| (&**target, outlook(target))).collect()
    }

    /// Returns the engines that may run the model.
    fn candidates(
        &self,
        outlooks: &[(&Target, Outlook)],
        model: &str,
        now: Instant,
    ) -> Vec<Candidate> {
        let engines = &self.parts.engines;
        let ready = || outlooks.iter().filter(|(target, _)| target.state == TargetState::Ready);
        let usual_ms = usual_gap_ms(ready().map(|(_, outlook)| outlook));
        let usable = ready().filter(|(_, outlook)| outlook.is_usable);
        usable
            .filter_map(|(target, outlook)| {
                Some(Candidate {
                    target: target.id.clone(),
                    version: outlook.version?,
                    running: outlook.running,
                    slots: target.slots,
                    event_gap_ms: outlook.event_gap_ms(usual_ms, now).unwrap_or(usual_ms),
                    follows_other: engines.follows_other(&target.id, model),
                })
            })
            .collect()
    }

    /// Returns whether any item runs.
    fn runs_items(&self) -> bool {
        let jobs = self.jobs.borrow();
        let mut jobs = jobs.values().filter(|job| !job.stop.is_cancelled());
        jobs.any(|job| job.items.borrow().iter().any(|run| run.phase.get() == Phase::Running))
    }

    /// Moves the run that gains most from another engine.
    ///
    /// One move a round: the next one sees the slots that this one has taken.
    fn move_slow_runs(&self, now: Instant) {
        let mut best: Option<(f64, Rc<ItemRun>, String)> = None;
        for job in self.jobs.borrow().values().filter(|job| !job.stop.is_cancelled()) {
            let items = job.items.borrow();
            let mut running =
                items.iter().filter(|run| run.phase.get() == Phase::Running).peekable();
            if running.peek().is_none() {
                continue;
            }
            let Some(service) = self.service_of(job) else { continue };
            let targets = self.parts.view.targets_of(&service);
            let (model, min_version) = {
                let record = job.record.borrow();
                (record.model.clone(), record.min_version)
            };
            let outlooks = self.outlooks(&targets, &model, now);
            let candidates = self.candidates(&outlooks, &model, now);
            let usual_ms = usual_gap_ms(outlooks.iter().map(|(_, outlook)| outlook));
            let outlook = JobOutlook { service, min_version, candidates, usual_ms };
            self.choose_ahead(job, &outlook, now);
            for run in running {
                let Some(item) = self.running_item(run, &outlook, now) else { continue };
                if let Some(chosen) = choose_move(&item, &outlook.candidates) {
                    let gain = item.events_left * (item.event_gap_ms - chosen.event_gap_ms);
                    if best.as_ref().is_none_or(|(most, ..)| gain > *most) {
                        best = Some((gain, run.clone(), chosen.target.clone()));
                    }
                }
            }
        }
        if let Some((gain, run, to)) = best {
            log::info!(target: "batch", "item moves item={} to={to} expected_gain_ms={gain:.0}", run.item.id);
            run.moving.borrow().cancel();
        }
    }

    pub fn running_item(
        &self,
        run: &ItemRun,
        outlook: &JobOutlook,
        now: Instant,
    ) -> Option<RunningItem> {
        if run.moving.borrow().is_cancelled() {
            return None;
        }
        let started = run.started_at.get()?;
        if now.saturating_duration_since(started) < self.options.settle_run {
            return None;
        }
        let target = self.parts.view.target(run.target.borrow().as_deref()?)?;
        if self.parts.engines.changing(&target).is_some() {
            return None;
        }
        let configuration = self.parts.view.configuration()?;
        let engine = configuration.services.get(&outlook.service)?.engine.as_ref()?;
        let hinted = run.item.length_hint.unwrap_or(0) / engine.tokens_per_event;
        let made = run.progress.borrow().last_event;
        let gap = self.parts.engines.state(&target).event_gap_ms(outlook.usual_ms, now)?;
        Some(RunningItem {
            target: target.id.clone(),
            event_gap_ms: gap,
            events_left: events_left(hinted, made),
            min_version: outlook.min_version,
        })
    }
}

/// Returns the median time between events on the engines where it is known.
fn usual_gap_ms<'a>(outlooks: impl Iterator<Item = &'a Outlook>) -> f64 {
    let mut known: Vec<f64> = outlooks.filter_map(Outlook::long_gap_ms).collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied().unwrap_or(UNKNOWN_GAP_MS)
}

/// Time between two events where nothing is known yet.
const UNKNOWN_GAP_MS: f64 = 45.0;
