//! Stand-in for a trainer: options, records and admin endpoints.

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

/// Faults of a trainer.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrainerFaults {
    /// Coming answers with samples that are lost after they were received.
    pub drop_answers: u32,
    /// Go to the next address before the next pull.
    pub reconnect: bool,
    /// Stop pulling.
    pub paused: bool,
    /// Additional time of each training.
    pub slow_ms: u64,
}

/// A sample as delivered.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// `{job}/{step}/{group}/{index}`.
    pub id: String,
    /// Index in the group.
    pub index: u32,
    /// Text.
    pub text: String,
    /// Tokens of the text.
    pub token_count: u32,
    /// Score.
    pub score: Option<f64>,
    /// Weight versions that made the tokens.
    pub spans: Vec<VersionSpan>,
}

/// Record of an accepted sample.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SampleRecord {
    /// Process of the trainer.
    pub run: u64,
    /// Time of receipt.
    pub at_unix_ms: u64,
    /// Id.
    pub id: String,
    /// Step for which it was pulled.
    pub step: u64,
    /// Group.
    pub group: u32,
    /// Beginning of the text.
    pub text_key: String,
    /// Spans as delivered.
    pub spans: Vec<VersionSpan>,
    /// Tokens as delivered.
    pub token_count: u32,
    /// The trainer's version at receipt.
    pub trainer_version: u64,
    /// How many versions the oldest span is behind the trainer.
    pub staleness_versions: u64,
}

/// Record of a finished step.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct StepRecord {
    /// The step.
    pub step: u64,
    /// Time until all groups were there.
    pub wait_ms: u64,
    /// Time of training.
    pub train_ms: u64,
}

/// Records of a trainer.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct TrainerRecords {
    /// Step that is being pulled.
    pub step: u64,
    /// Current weight version.
    pub version: u64,
    /// Accepted samples.
    pub samples: Vec<SampleRecord>,
    /// Finished steps.
    pub steps: Vec<StepRecord>,
    /// Groups delivered although the trainer held them already.
    pub duplicate_groups: u64,
    /// Answers of an owner whose lease another one had taken over.
    pub stale_owner_answers: u64,
    /// Answers lost by a planned fault.
    pub dropped_answers: u64,
    /// Answers that break the protocol, with the reason.
    pub violations: Vec<String>,
    /// Pulls sent.
    pub pulls: u64,
    /// Pulls that failed.
    pub failed_pulls: u64,
    /// Pulls redirected to the owner.
    pub redirects: u64,
    /// Time spent waiting for samples, finished steps only.
    pub idle_ms: u64,
    /// Time since the start.
    pub uptime_ms: u64,
}

/// A trainer.
pub struct Trainer {
    /// Options.
    pub options: TrainerOptions,
    /// Faults.
    pub faults: FaultCell<TrainerFaults>,
    /// Records.
    pub records: RefCell<TrainerRecords>,
    /// Journal.
    pub journal: Journal,
    /// Client.
    pub client: Client,
    /// Number of this run of the process; a later run keeps no samples.
    pub run: u64,
    started: Instant,
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
        run: deck_core::id::new_incarnation(),
        started: Instant::now(),
        options,
    });
    monoio::spawn(trainer_step::run_steps(trainer.clone()));
    serve(trainer.options.listen, trainer.clone(), handle).await
}

async fn handle(trainer: Rc<Trainer>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["admin", "faults"]) => trainer.faults.patch(&call),
        ("GET", ["admin", "records"]) => {
            let mut records = trainer.records.borrow_mut();
            records.uptime_ms = trainer.started.elapsed().as_millis() as u64;
            json_response(200, &*records)
        }
        _ => not_found(&call),
    }
}

impl Trainer {
    /// Records an answer that breaks the protocol.
    pub fn note_violation(&self, message: String) {
        log::warn!(target: "trainer", "violation: {message}");
        self.journal.write(&json!({ "violation": message }));
        self.records.borrow_mut().violations.push(message);
    }

    /// Trains on a complete step and publishes the next version.
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
