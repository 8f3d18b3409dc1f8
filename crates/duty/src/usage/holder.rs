//! Carries out the steps of [`UsageReporter`] while this node holds the leader's lease.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{Observer, PlatformProtocol, UsageReply, UsageReport};
use deck_net::{Body, Client};
use deck_plat::{LeaseToken, Precondition, Store, StoreError};
use futures_util::{StreamExt, stream};

use crate::usage::{
    ReporterOptions, SendOutcome, Situation, Step, StoredReports, UsageExchange, UsageReporter,
    WallTime, WindowNumber, reporter::WindowCounts,
};

/// Kind and name of the object with the stored reports.
const REPORTS_KIND: &str = "usage";
const REPORTS_NAME: &str = "reports";
/// Timeout of a call on the platform. A call that has no answer by then may still be executed, and is
/// repeated without changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of an answer of the platform.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Number of nodes that are asked at the same time.
const MAX_CONCURRENT_QUESTIONS: usize = 64;
/// Interval at which a holder whose lease is not valid checks it again.
const INVALID_LEASE_INTERVAL: Duration = Duration::from_millis(200);

/// Dependencies of the reports.
#[derive(Clone)]
pub struct UsageHolderDependencies {
    /// Name of this VM, which calls on the platform carry.
    pub vm: String,
    /// Stores the reports before they are sent.
    pub store: Store,
    /// Counts of this node and of the others.
    pub exchange: UsageExchange,
    /// Calls the platform.
    pub client: Client,
    /// Encodes the calls.
    pub protocol: Rc<dyn PlatformProtocol>,
    /// Receives the outcomes, for metrics.
    pub observer: Rc<dyn Observer>,
    /// Address of the platform that takes the reports.
    pub platform: SocketAddr,
    /// Times of the reports.
    pub options: ReporterOptions,
}

/// Reports the use of the organisations while this node holds the lease; clones share their
/// dependencies.
#[derive(Clone)]
pub struct UsageHolder {
    deps: UsageHolderDependencies,
}

impl UsageHolder {
    /// Returns a holder that does nothing before it is run under a lease.
    pub fn new(deps: UsageHolderDependencies) -> Self {
        Self { deps }
    }

    /// Reports until `cancel` is cancelled or the lease has ended. No call is made before `start`, the
    /// time after which calls of the previous holder can no longer arrive.
    pub async fn run(&self, token: LeaseToken, start: Instant, cancel: CancellationToken) {
        let options = self.deps.options.clone();
        log::info!(target: "usage", "reports held fencing={} window_ms={}", token.fencing(), options.window.as_millis());
        let reporter = UsageReporter::new(options);
        let held = async {
            let run = std::pin::pin!(self.run_steps(reporter, &token, start));
            let ended = std::pin::pin!(token.ended());
            futures_util::future::select(run, ended).await;
        };
        cancel.run_until_cancelled(held).await;
        log::info!(target: "usage", "reports no longer held fencing={}", token.fencing());
    }

    async fn run_steps(&self, mut reporter: UsageReporter, token: &LeaseToken, start: Instant) {
        loop {
            if !token.is_valid() {
                monoio::time::sleep(INVALID_LEASE_INTERVAL).await;
                continue;
            }
            let nodes = self.deps.exchange.nodes();
            let meter = self.deps.exchange.meter();
            let situation = Situation {
                now: self.now(),
                nodes: &nodes,
                may_send: Instant::now() >= start,
                ledger_version: meter.ledger_version(),
            };
            match reporter.next_step(&situation) {
                Step::Load => self.load(&mut reporter).await,
                Step::Ask { from, nodes: asked } => {
                    let started = self.now();
                    let answers = stream::iter(asked)
                        .map(|node| async move { (node, self.deps.exchange.ask(node, from).await) })
                        .buffer_unordered(MAX_CONCURRENT_QUESTIONS);
                    let answers: Vec<_> = answers.collect().await;
                    for (node, answer) in answers {
                        match answer {
                            Ok(answer) => reporter.on_answer(answer),
                            Err(error) => {
                                log::info!(target: "usage", "counts unknown node={node} error={error}");
                                reporter.on_silence(node, started);
                            }
                        }
                    }
                    reporter.on_round_end(started, &nodes);
                }
                Step::Close(windows) => {
                    for window in &windows {
                        let missing = reporter.incomplete_nodes(*window, &nodes);
                        if !missing.is_empty() {
                            log::warn!(target: "usage", "window closed without all nodes window={window} missing={missing:?}");
                        }
                        self.deps.observer.on_usage_window_closed(missing.is_empty());
                    }
                    let dropped_count = meter.dropped_count();
                    if dropped_count > 0 {
                        log::warn!(target: "usage", "counts left out for lack of room count={dropped_count}");
                    }
                    let counts = windows.into_iter().map(|window| (window, meter.totals(window)));
                    let known_counts = meter.entries(0, false);
                    let (reports, revision) =
                        reporter.reports_with(counts, known_counts, &situation);
                    self.store(&mut reporter, reports, revision).await;
                }
                Step::Copy => {
                    let known_counts = meter.entries(0, false);
                    let (reports, revision) = reporter.reports_with([], known_counts, &situation);
                    self.store(&mut reporter, reports, revision).await;
                }
                Step::Send(window) => {
                    let counts = reporter.stored_counts(window).cloned().unwrap_or_default();
                    let started = self.now();
                    let outcome = self.send(token, window, &counts).await;
                    reporter.on_sent(window, outcome, started..self.now());
                }
                Step::Wait(time) => monoio::time::sleep(time).await,
                Step::Stop => {
                    log::error!(target: "usage", "a later holder reports use; no further calls fencing={}", token.fencing());
                    return;
                }
            }
        }
    }

    fn now(&self) -> WallTime {
        self.deps.exchange.meter().now()
    }

    /// Reads the stored reports.
    async fn load(&self, reporter: &mut UsageReporter) {
        match self.deps.store.get(REPORTS_KIND, REPORTS_NAME).await {
            Ok(None) => reporter.on_known(None, StoredReports::default()),
            Ok(Some(object)) => {
                let reports: StoredReports =
                    serde_json::from_value(object.value).unwrap_or_else(|error| {
                        log::error!(target: "usage", "stored reports not readable, replaced error={error}");
                        StoredReports::default()
                    });
                self.deps.exchange.meter().merge(&reports.open);
                reporter.on_known(Some(object.revision), reports);
            }
            Err(error) => {
                log::info!(target: "usage", "reading the stored reports failed error={error}");
                reporter.on_store_error(self.now());
            }
        }
    }

    /// Stores reports in place of those with the given revision.
    async fn store(
        &self,
        reporter: &mut UsageReporter,
        reports: StoredReports,
        revision: Option<u64>,
    ) {
        let condition = revision.map_or(Precondition::Absent, Precondition::Revision);
        let result = match serde_json::to_value(&reports) {
            Ok(value) => self.deps.store.put(REPORTS_KIND, REPORTS_NAME, condition, &value).await,
            Err(error) => Err(StoreError::Decode(error.to_string())),
        };
        match result {
            Ok(revision) => reporter.on_known(Some(revision), reports),
            Err(error) => {
                log::info!(target: "usage", "storing reports failed error={error}");
                reporter.on_store_error(self.now());
            }
        }
    }

    /// Sends the report of a window.
    async fn send(
        &self,
        token: &LeaseToken,
        window: WindowNumber,
        counts: &WindowCounts,
    ) -> SendOutcome {
        let fencing = token.fencing();
        let report = UsageReport { holder: &self.deps.vm, fencing, window, counts };
        let request = self.deps.protocol.usage_report_request(&report).map(Body::full);
        let address = self.deps.platform;
        let call = self.deps.client.call(address, request, CALL_TIMEOUT, MAX_ANSWER_BYTES);
        let reply = match call.await {
            Ok(response) => Some(self.deps.protocol.decode_usage_reply(response.status)),
            Err(error) => {
                log::info!(target: "usage", "no answer to a report window={window} error={error}");
                None
            }
        };
        let (outcome, label) = match reply {
            Some(UsageReply::Accepted) => (SendOutcome::Accepted, "accepted"),
            Some(UsageReply::StaleFencing) => (SendOutcome::FenceRefused, "stale_fencing"),
            Some(UsageReply::Invalid) => (SendOutcome::Rejected, "invalid"),
            Some(UsageReply::Retry) => (SendOutcome::Unknown, "refused"),
            None => (SendOutcome::Unknown, "none"),
        };
        let total: u64 = counts.values().sum();
        let organisations = counts.len();
        log::info!(target: "usage", "report window={window} requests={total} organisations={organisations} fencing={fencing} reply={label}");
        self.deps.observer.on_usage_report(label);
        outcome
    }
}
