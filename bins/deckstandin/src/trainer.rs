//! Stand-in for a trainer: options, records, admin endpoints and publishing of versions.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use deck_core::object::VersionSpan;
use deck_net::{Body, Client, http::Response, server::json_response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    common::{Call, FaultCell, Journal, StandinError, not_found, serve},
    trainer_step,
};

/// Options of a trainer.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct TrainerOptions {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Address of a `deckroll` to pull from; several may be given.
    #[bpaf(argument("IP:PORT"), some("at least one --pull"))]
    pub pull: Vec<SocketAddr>,
    /// Job.
    #[bpaf(argument("NAME"))]
    pub job: String,
    /// Model whose versions the trainer publishes.
    #[bpaf(argument("NAME"), fallback("m".to_owned()))]
    pub model: String,
    /// Weight store; without it no version is published.
    #[bpaf(argument("IP:PORT"), optional)]
    pub weights: Option<SocketAddr>,
    /// Samples in a step.
    #[bpaf(argument("N"), fallback(16))]
    pub samples_per_step: u32,
    /// Samples in a group.
    #[bpaf(argument("N"), fallback(4))]
    pub group_size: u32,
    /// Prompt of the job, in order, by which texts are checked; none means no check.
    #[bpaf(argument("TEXT"), many)]
    pub prompt: Vec<String>,
    /// First step.
    #[bpaf(argument("N"), fallback(0))]
    pub step: u64,
    /// Weight version at the start.
    #[bpaf(argument("VERSION"), fallback(1))]
    pub version: u64,
    /// Steps after which the trainer stops pulling; 0 means never.
    #[bpaf(argument("N"), fallback(0))]
    pub steps: u64,
    /// Time that training on a step takes.
    #[bpaf(argument("MS"), fallback(200))]
    pub train_ms: u64,
    /// Time after which a pull without an answer is given up.
    #[bpaf(argument("MS"), fallback(10_000))]
    pub pull_timeout_ms: u64,
    /// Wait after a failed pull.
    #[bpaf(argument("MS"), fallback(100))]
    pub retry_ms: u64,
    /// Size of a published version.
    #[bpaf(argument("BYTES"), fallback(1_000_000))]
    pub size_bytes: u64,
    /// File to which samples are appended, so that a killed trainer leaves its record.
    #[bpaf(argument("FILE"), optional)]
    pub journal: Option<PathBuf>,
}

impl TrainerOptions {
    /// Returns the number of groups in a step.
    pub fn groups_per_step(&self) -> u32 {
        self.samples_per_step / self.group_size.max(1)
    }
}

/// Injected faults of a trainer.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrainerFaults {
    /// Number of next pull responses with samples that the trainer discards, as if they were lost.
    pub drop_answers: u32,
    /// The next pull goes to the next address of `--pull`; reset afterwards.
    pub reconnect: bool,
    /// While `true`, the trainer sends no pulls.
    pub paused: bool,
    /// Additional training time of each step.
    pub slow_ms: u64,
}

/// A sample in the answer to a pull.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// Identifier, `{job}/{step}/{group}/{index}`.
    pub id: String,
    /// Index of the sample in its group.
    pub index: u32,
    /// Generated text.
    pub text: String,
    /// Number of tokens in `text`; must equal the sum over `spans`.
    pub token_count: u32,
    /// Score; `None` if the sample was not scored.
    pub score: Option<f64>,
    /// Which weight version generated how many tokens of `text`, in the order of the text.
    pub spans: Vec<VersionSpan>,
}

/// Record of an accepted sample.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SampleRecord {
    /// Identifier of the trainer process that received the sample; differs after a restart.
    pub run: u64,
    /// Time of receipt, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Identifier of the sample.
    pub id: String,
    /// Step for which the sample was pulled.
    pub step: u64,
    /// Index of the group in the step.
    pub group: u32,
    /// First tokens of the text, which identify the prompt.
    pub text_key: String,
    /// Numbers of tokens that each weight version generated, in order, as received.
    pub spans: Vec<VersionSpan>,
    /// Number of tokens in the text of the sample.
    pub token_count: u32,
    /// Weight version of the trainer at the time of receipt.
    pub trainer_version: u64,
    /// Number of versions by which the oldest span is behind `trainer_version`.
    pub staleness_versions: u64,
}

/// Record of a finished step.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct StepRecord {
    /// Number of the step.
    pub step: u64,
    /// Time from the start of the step until all groups were received.
    pub wait_ms: u64,
    /// Duration of training and publishing.
    pub train_ms: u64,
}

/// Records of a trainer, returned by `GET /admin/records`.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct TrainerRecords {
    /// Number of the current step.
    pub step: u64,
    /// Current weight version of the trainer.
    pub version: u64,
    /// Accepted samples, in order of receipt.
    pub samples: Vec<SampleRecord>,
    /// Finished steps in order.
    pub steps: Vec<StepRecord>,
    /// Number of received groups that the trainer already held.
    pub duplicate_groups: u64,
    /// Number of discarded answers with a lower owner fencing number than an earlier answer.
    pub stale_owner_answers: u64,
    /// Number of answers discarded because of `drop_answers`.
    pub dropped_answers: u64,
    /// Protocol violations in received answers.
    pub violations: Vec<String>,
    /// Number of pulls sent.
    pub pulls: u64,
    /// Number of failed pulls.
    pub failed_pulls: u64,
    /// Number of pulls that were redirected.
    pub redirects: u64,
    /// Sum of `wait_ms` of the finished steps.
    pub idle_ms: u64,
    /// Time since the start of the trainer.
    pub uptime_ms: u64,
}

/// Trainer: its options, faults, records and connections, shared by its tasks.
pub struct Trainer {
    /// Command-line options.
    pub options: TrainerOptions,
    /// Injected faults.
    pub faults: FaultCell<TrainerFaults>,
    /// Content of `GET /admin/records`.
    pub records: RefCell<TrainerRecords>,
    /// Journal of samples, steps and violations.
    pub journal: Journal,
    /// HTTP client for pulls and for the weight store.
    pub client: Client,
    /// Identifier of this run of the process. Received samples are lost when the process ends.
    pub run_id: u64,
    started_at: Instant,
}

/// Runs the stand-in until a stop signal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the journal cannot be opened.
pub async fn run(options: TrainerOptions) -> Result<(), StandinError> {
    let trainer = Rc::new(Trainer {
        faults: FaultCell::default(),
        records: RefCell::default(),
        journal: Journal::try_open(options.journal.as_deref())?,
        client: Client::default(),
        run_id: deck_core::id::new_incarnation(),
        started_at: Instant::now(),
        options,
    });
    monoio::spawn(trainer_step::run_steps(trainer.clone()));
    serve(trainer.options.listen, trainer.clone(), handle).await
}

async fn handle(trainer: Rc<Trainer>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.path_segments().as_slice()) {
        ("POST", ["admin", "faults"]) => trainer.faults.patch(&call),
        ("GET", ["admin", "records"]) => {
            let mut records = trainer.records.borrow_mut();
            records.uptime_ms = trainer.started_at.elapsed().as_millis() as u64;
            json_response(200, &*records)
        }
        _ => not_found(&call),
    }
}

impl Trainer {
    /// Logs and records a protocol violation in an answer.
    pub fn record_violation(&self, message: String) {
        log::warn!(target: "trainer", "violation: {message}");
        self.journal.write(&json!({ "violation": message }));
        self.records.borrow_mut().violations.push(message);
    }

    /// Waits for the training time, then publishes `version` and retries until this succeeds.
    pub async fn train(&self, version: u64) {
        let slow_ms = self.faults.get().slow_ms;
        monoio::time::sleep(Duration::from_millis(self.options.train_ms + slow_ms)).await;
        let Some(weights) = self.options.weights else { return };
        let path = format!("/v1/weights/{}/{version}", self.options.model);
        let body = json!({ "size_bytes": self.options.size_bytes });
        loop {
            let call = self.client.json::<_, serde_json::Value>(
                deck_net::http::Method::PUT,
                weights,
                &path,
                Some(&body),
            );
            match call.await {
                Ok((status, _)) if status.is_success() => return,
                Ok((status, _)) => log::warn!(target: "trainer", "publish refused status={status}"),
                Err(error) => log::warn!(target: "trainer", "publish failed error={error}"),
            }
            monoio::time::sleep(Duration::from_millis(self.options.retry_ms)).await;
        }
    }
}
