//! One job while this VM owns it: dispatch of samples, scoring and hand-over.

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
    attempt::{Attempt, Observer, Outcome},
    board::{Board, ScoreWork, Work},
    generate::{Chunk, GenerateRequest},
    metrics::{JobLabels, RollMetrics},
    options::RollOptions,
    sample::{SampleKey, SampleText},
    score,
    status::JobStatus,
    targets::TargetVersions,
    window::Window,
};

/// Longest time without a look for work: covers waits of single samples and changes of the
/// specification.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Second attempts that are allowed at any number of started samples.
const SECOND_ATTEMPT_RESERVE: u64 = 4;
/// Wait before a group whose scoring failed is scored again.
const SCORE_RETRY_WAIT: Duration = Duration::from_millis(500);

/// What a job shares with the other jobs of the process.
#[derive(Clone)]
pub struct JobParts {
    /// HTTP client.
    pub client: Client,
    /// Object API.
    pub store: Store,
    /// Configuration in force.
    pub config: ConfigView,
    /// Settings.
    pub options: Rc<RollOptions>,
    /// Metrics.
    pub metrics: RollMetrics,
}

/// A job that this VM owns.
pub struct ActiveJob {
    name: JobName,
    parts: JobParts,
    token: LeaseToken,
    /// Cancelled when this VM stops owning the job.
    stop: CancellationToken,
    board: RefCell<Board>,
    window: RefCell<Window>,
    /// Changes when a group may have become ready.
    ready: watch::Sender<u64>,
    /// Changes when work may start.
    work: watch::Sender<u64>,
    /// Number of the newest pull; older ones that still wait are answered at once.
    last_pull: Cell<u64>,
    /// When the last pull was answered.
    pull_ended: Cell<Option<Instant>>,
    second_attempts: Cell<u64>,
    targets: RefCell<TargetVersions>,
    last_error: RefCell<Option<String>>,
    store_error: RefCell<Option<String>>,
    /// Tokens that earlier owners wrote into the status.
    earlier_usage_tokens: Cell<u64>,
    lease_check: Cell<Option<Instant>>,
}

impl ActiveJob {
    fn labels(&self) -> JobLabels {
        JobLabels::new(&self.name, self.board.borrow().spec())
    }

    /// Returns the job; `stop` is cancelled when this VM no longer owns it.
    pub fn new(
        name: JobName,
        spec: RolloutJob,
        parts: JobParts,
        token: LeaseToken,
        stop: CancellationToken,
    ) -> Rc<Self> {
        let board = Board::new(name.clone(), Rc::new(spec), parts.options.board.clone());
        let window = Window::new(parts.options.window.clone());
        Rc::new(Self {
            name,
            parts,
            token,
            stop,
            board: RefCell::new(board),
            window: RefCell::new(window),
            ready: watch::Sender::new(0),
            work: watch::Sender::new(0),
            last_pull: Cell::new(0),
            pull_ended: Cell::new(None),
            second_attempts: Cell::new(0),
            targets: RefCell::default(),
            last_error: RefCell::default(),
            store_error: RefCell::default(),
            earlier_usage_tokens: Cell::new(0),
            lease_check: Cell::new(None),
        })
    }

    /// Returns the fencing number under which this VM owns the job.
    pub fn fencing(&self) -> FencingNumber {
        self.token.fencing()
    }

    /// Starts samples until the job ends here.
    pub async fn run(self: Rc<Self>) {
        let mut work = self.work.subscribe();
        let mut spec_revision = None;
        while !self.stop.is_cancelled() {
            if let Some((revision, spec)) = self.spec()
                && spec_revision.replace(revision) != Some(revision)
            {
                self.board.borrow_mut().set_spec(Rc::new(spec));
            }
            self.start_samples();
            let changed = monoio::time::timeout(DISPATCH_INTERVAL, work.changed());
            self.stop.run_until_cancelled(changed).await;
        }
        // Pulls that wait learn that this VM no longer owns the job.
        self.ready.send_modify(|count| *count += 1);
    }

    fn spec(&self) -> Option<(u64, RolloutJob)> {
        let jobs = self.parts.config.jobs();
        jobs.into_iter().find(|(name, ..)| *name == self.name).map(|(_, rev, spec)| (rev, spec))
    }

    fn start_samples(self: &Rc<Self>) {
        loop {
            let now = Instant::now();
            if !self.window.borrow().has_room(now) {
                return;
            }
            let Some(model) = self.model() else { return };
            let Some(work) = self.board.borrow_mut().take_work(now) else { return };
            self.window.borrow_mut().start();
            let job = self.clone();
            monoio::spawn(async move {
                let stop = job.stop.clone();
                stop.run_until_cancelled(job.run_sample(work, model)).await;
            });
        }
    }

    fn model(&self) -> Option<String> {
        let pool = self.board.borrow().spec().pool.clone();
        let model = self.parts.config.pool(&pool).and_then(|(_, spec)| spec.model);
        if model.is_none() {
            self.note_error(format!("pool {pool} does not exist or has no model"));
        }
        model
    }

    async fn run_sample(self: &Rc<Self>, work: Work, model: String) {
        let request = self.request(&work, model);
        let observer = SampleObserver { job: self, key: work.key };
        let attempt = Attempt {
            client: &self.parts.client,
            entry: self.parts.options.entry,
            options: &self.parts.options.attempt,
            request,
            observer: &observer,
        };
        let outcome = attempt.run(work.resume.unwrap_or_default()).await;
        self.window.borrow_mut().end();
        let scored = self.settle(&work.key, outcome, Instant::now());
        self.work.send_modify(|count| *count += 1);
        if let Some(group) = scored {
            self.score(group).await;
        }
    }

    fn request(&self, work: &Work, model: String) -> GenerateRequest {
        let now = Instant::now();
        let board = self.board.borrow();
        let spec = board.spec();
        let required = board.required_version(work.key.step, now).unwrap_or_default();
        GenerateRequest {
            model,
            organisation: spec.organisation.clone(),
            job: self.name.clone(),
            prompt: work.prompt.clone(),
            max_tokens: spec.max_tokens,
            limit: self.parts.options.attempt.limit,
            avoid: self.targets.borrow().older_than(required, now),
        }
    }

    /// Takes the outcome of a sample; returns its group if it can be scored.
    fn settle(&self, key: &SampleKey, outcome: Outcome, now: Instant) -> Option<ScoreWork> {
        let mut board = self.board.borrow_mut();
        match outcome {
            Outcome::Finished(text) => {
                self.window.borrow_mut().accepted();
                return board.finish(key, text, now);
            }
            Outcome::Stale(text) => {
                let retry_at = now + self.parts.options.attempt.retry_wait;
                board.abandon(key, text.token_count, retry_at);
            }
            Outcome::Refused(text, retry_after) => {
                self.window.borrow_mut().refused(retry_after, now);
                board.put_back(key, Some(text), now);
            }
            Outcome::Failed(text, wait, message) => {
                board.put_back(key, Some(text), now + wait);
                self.note_error(message);
            }
        }
        None
    }

    async fn score(&self, work: ScoreWork) {
        loop {
            let address = self.board.borrow().spec().scorer_address.parse();
            let Ok(address) = address else { return };
            let limit = self.parts.options.score_timeout;
            match score::score(&self.parts.client, address, &work, limit).await {
                Ok(scores) => {
                    self.board.borrow_mut().set_scores(&work, scores);
                    self.ready.send_modify(|count| *count += 1);
                    return;
                }
                Err(error) => self.note_error(error.to_string()),
            }
            monoio::time::sleep(SCORE_RETRY_WAIT).await;
            if !self.board.borrow().wants_scores(&work) {
                return;
            }
        }
    }

    fn note_error(&self, message: String) {
        if self.last_error.borrow().as_ref() != Some(&message) {
            log::warn!(target: "roll", "job={} error={message}", self.name);
            self.last_error.replace(Some(message));
        }
    }

    /// Takes over what an earlier owner wrote.
    pub fn continue_status(&self, earlier: &JobStatus) {
        self.earlier_usage_tokens.set(earlier.usage_tokens);
    }
}

/// Observer of one sample.
struct SampleObserver<'a> {
    job: &'a ActiveJob,
    key: SampleKey,
}

impl Observer for SampleObserver<'_> {
    fn chunk(&self, chunk: &Chunk, text: &SampleText) -> bool {
        let now = Instant::now();
        let mut board = self.job.board.borrow_mut();
        board.observe_engine(chunk.weight_version, chunk.token_count, now);
        board.is_useful(&self.key, text, now)
    }

    fn first_chunk(&self, target: &TargetId, chunk: &Chunk) {
        let mut targets = self.job.targets.borrow_mut();
        targets.observe(target, chunk.weight_version, Instant::now());
    }

    fn take_second_attempt(&self) -> bool {
        let started = self.job.board.borrow().stats().started_samples;
        let percent = u64::from(self.job.parts.options.attempt.second_attempt_percent);
        let taken = self.job.second_attempts.get();
        let allowed = percent > 0 && taken < started * percent / 100 + SECOND_ATTEMPT_RESERVE;
        if allowed {
            self.job.second_attempts.set(taken + 1);
        }
        allowed
    }
}
