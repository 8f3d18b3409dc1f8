//! Nodes that run the jobs of the models of a large fleet.
//!
//! The leader chooses a node for each model, so that its own processor does not bound the fleet. One
//! node runs several models as long as the engines' slots allow it: it sees all their runs and has
//! fewer connections. The leader tells that node at once what its orders change, and learns the load of
//! the engines and the jobs from it. Which node runs a job is not agreed here: the job's record in the object API says so.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    CancellationToken,
    id::{FencingNumber, PoolName, RequestId},
};
use deck_fleet::{
    Engine, EngineLoad, EngineNews, Engines, Feed, ModelDemand, ModelRunner, RunnerTable, View,
    config::ModelName,
};
use deck_net::{
    Body, Client, NetError,
    cbor::{decode, encode},
};
use futures_util::future::join_all;
use http::{Method, Request};
use serde::{Deserialize, Serialize};

use crate::Giver;

/// Path at which runners take what the leader tells them.
pub const RUNNER_PATH: &str = "/peer/runner";
/// Path at which nodes take a table of runners.
pub const TABLE_PATH: &str = "/peer/runners";
/// Largest message between leader and runner.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Longest time between two messages to a runner. Loads decide which engine changes next, and a load
/// takes some four times as long.
const INTERVAL: Duration = Duration::from_millis(250);
/// Runs at a time that one node is meant to carry. A node of half a core has carried engines with 462
/// slots beside which its items waited no longer than with eight runners.
const RUNS_PER_RUNNER: u32 = 600;
/// Part of the runs that a node is meant to carry at which models are taken from it: engines that come
/// and go do not move models back and forth.
const OVERLOAD_PERCENT: u32 = 130;
/// Time for which changes are gathered for one message.
const GATHER: Duration = Duration::from_millis(20);
/// Time in which a runner answers.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Messages in a row without an answer after which another node runs the model's new jobs; over a
/// second, so that a short pause of a node changes nothing.
const MAX_MISSED: u32 = 3;
/// Time after which a node that did not answer may be chosen again.
const AVOID: Duration = Duration::from_secs(10);
/// Time between two looks for models, and between two messages with the table to nodes that may have
/// missed it.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Looks between two messages with an unchanged table.
const LOOKS_PER_TABLE: u32 = 4;

/// What the leader tells the runner of a model.
#[derive(Debug, Serialize, Deserialize)]
struct Told {
    model: ModelName,
    news: Vec<EngineNews>,
    /// Number of the runner's jobs that the leader knows.
    known_jobs: usize,
}

/// What the runner of a model answers.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    loads: Vec<EngineLoad>,
    /// What the runner's jobs of the model ask of the engines.
    demand: ModelDemand,
    /// Jobs of the runner, if the leader does not know as many.
    jobs: Option<Vec<RequestId>>,
    /// Whether the node stops.
    draining: bool,
}

/// What a [`Runners`] works with.
#[derive(Clone)]
pub struct RunnersParts {
    /// Knowledge of the deployment.
    pub view: View,
    /// Engines.
    pub engines: Engines,
    /// Passes the table on.
    pub feed: Feed,
    /// Orders.
    pub giver: Giver,
    /// Client for other nodes.
    pub client: Client,
    /// Told of the jobs of a node.
    pub on_jobs: Rc<dyn Fn(SocketAddr, Vec<RequestId>)>,
}

/// The leader's choice of runners; clones share it.
#[derive(Clone)]
pub struct Runners {
    inner: Rc<Inner>,
}

struct Inner {
    parts: RunnersParts,
    /// Table as last published.
    table: RefCell<RunnerTable>,
    /// Runner of each model. Invariant: each of them has answered this leader or an earlier one.
    chosen: RefCell<BTreeMap<ModelName, SocketAddr>>,
    /// Nodes that are being asked whether they run a model.
    asked: RefCell<BTreeMap<ModelName, SocketAddr>>,
    /// Nodes that did not answer, and when.
    silent: RefCell<Vec<(SocketAddr, Instant)>>,
}

impl Runners {
    /// Returns the choice of a new leader, which begins with the runners of the one before.
    pub fn new(parts: RunnersParts, fencing: FencingNumber) -> Self {
        let known = parts.feed.runners().runners;
        let chosen = known.into_iter().map(|runner| (runner.model, runner.address)).collect();
        let inner = Inner {
            parts,
            table: RefCell::new(RunnerTable { fencing, ..RunnerTable::default() }),
            chosen: RefCell::new(chosen),
            asked: RefCell::default(),
            silent: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Chooses runners and works with them until `cancel` is cancelled.
    pub async fn run(&self, cancel: CancellationToken) {
        let mut kept: BTreeMap<ModelName, CancellationToken> = BTreeMap::new();
        let mut looks = 0;
        loop {
            let models = self.models();
            for model in &models {
                kept.entry(model.clone()).or_insert_with(|| {
                    let stop = cancel.child_token();
                    let (inner, model, token) = (self.inner.clone(), model.clone(), stop.clone());
                    monoio::spawn(async move {
                        token.run_until_cancelled(inner.keep(&model)).await;
                    });
                    stop
                });
            }
            kept.retain(|model, stop| {
                let is_kept = models.contains(model);
                if !is_kept {
                    stop.cancel();
                    self.inner.chosen.borrow_mut().remove(model);
                }
                is_kept
            });
            self.inner.spread();
            if looks % LOOKS_PER_TABLE == 0 {
                self.inner.publish().await;
            }
            looks += 1;
            let pause = monoio::time::sleep(LOOK_INTERVAL);
            if cancel.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }

    /// Returns the models of the configuration; none in a small fleet, whose leader runs all jobs.
    fn models(&self) -> HashSet<ModelName> {
        if self.inner.parts.feed.runner_candidates().is_empty() {
            return HashSet::new();
        }
        let services = self.inner.engine_services();
        services.into_iter().flat_map(|(_, engine)| engine.models).collect()
    }
}

impl Inner {
    /// Works with the runner of a model, and chooses another one when it does not answer.
    async fn keep(&self, model: &str) {
        let mut changes = self.parts.engines.changes();
        let (mut missed, mut known_jobs) = (0, 0);
        let mut sent_news = Vec::new();
        let mut sent_at: Option<Instant> = None;
        loop {
            let chosen = self.chosen.borrow().get(model).copied();
            let Some(node) = chosen.or_else(|| self.candidate(model)) else {
                monoio::time::sleep(LOOK_INTERVAL).await;
                continue;
            };
            let news = self.parts.giver.news(model);
            let is_due = sent_at.is_none_or(|at| at.elapsed() >= INTERVAL);
            if chosen.is_none() || is_due || news != sent_news {
                let told = Told { model: model.to_owned(), news: news.clone(), known_jobs };
                sent_at = Some(Instant::now());
                match self.exchange(node, &told).await {
                    Ok(answer) if !answer.draining => {
                        missed = 0;
                        sent_news = news;
                        known_jobs = answer.jobs.as_ref().map_or(known_jobs, Vec::len);
                        self.take(node, model, answer);
                        if chosen.is_none() {
                            log::info!(target: "swap", "runner chosen model={model} node={node}");
                            self.chosen.borrow_mut().insert(model.to_owned(), node);
                            self.asked.borrow_mut().remove(model);
                            self.publish().await;
                        }
                    }
                    Ok(answer) => {
                        log::info!(target: "swap", "runner stops model={model} node={node}");
                        self.take(node, model, answer);
                        self.drop_runner(model, node);
                        (missed, known_jobs) = (0, 0);
                    }
                    Err(error) => {
                        missed += 1;
                        log::info!(target: "swap", "runner does not answer model={model} node={node} missed={missed} error={error}");
                        if chosen.is_none() || missed >= MAX_MISSED {
                            self.parts.engines.set_remote_loads(node, Vec::new());
                            self.drop_runner(model, node);
                            (missed, known_jobs) = (0, 0);
                        }
                    }
                }
            }
            let left = sent_at.map_or(Duration::ZERO, |at| INTERVAL.saturating_sub(at.elapsed()));
            let _ = monoio::time::timeout(left, changes.changed()).await;
            monoio::time::sleep(GATHER).await;
        }
    }

    /// Returns the services with engines.
    fn engine_services(&self) -> Vec<(PoolName, Engine)> {
        let Some(configuration) = self.parts.view.configuration() else { return Vec::new() };
        let services = configuration.services.values();
        let engines = services.filter_map(|s| Some((s.name.clone(), s.engine.clone()?)));
        engines.collect()
    }

    /// Returns how many models a node runs at most.
    fn models_per_node(&self) -> usize {
        let (slots, models) = self.slots_and_models();
        models_per_node(slots, models)
    }

    /// Returns the slots of all engines and the number of models.
    fn slots_and_models(&self) -> (u32, usize) {
        let (mut slots, mut models) = (0, 0);
        for (service, engine) in self.engine_services() {
            let targets = self.parts.view.targets_of(&service);
            slots += targets.iter().map(|target| target.slots).sum::<u32>();
            models += engine.models.len();
        }
        (slots, models)
    }

    /// Takes models from nodes that run far more than they should by now; their next jobs go elsewhere.
    fn spread(&self) {
        let (slots, models) = self.slots_and_models();
        let most = models_per_node(slots * 100 / OVERLOAD_PERCENT, models);
        let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        self.chosen.borrow_mut().retain(|model, node| {
            let count = counts.entry(*node).or_default();
            *count += 1;
            if *count > most {
                log::info!(target: "swap", "runner has too many models model={model} node={node}");
            }
            *count <= most
        });
    }

    /// Returns the strongest node that has room for a model and has not been silent lately.
    fn candidate(&self, model: &str) -> Option<SocketAddr> {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|(_, at)| at.elapsed() < AVOID);
        let (chosen, mut asked) = (self.chosen.borrow(), self.asked.borrow_mut());
        asked.remove(model);
        let most = self.models_per_node();
        let is_full = |node: &SocketAddr| {
            let used = chosen.values().chain(asked.values());
            used.filter(|used| *used == node).count() >= most
        };
        let is_silent = |node: &SocketAddr| silent.iter().any(|(other, _)| other == node);
        let mut nodes = self.parts.feed.runner_candidates();
        nodes.retain(|node| !is_silent(node));
        let node = nodes.iter().find(|node| !is_full(node)).or(nodes.first()).copied()?;
        asked.insert(model.to_owned(), node);
        Some(node)
    }

    fn drop_runner(&self, model: &str, node: SocketAddr) {
        self.silent.borrow_mut().push((node, Instant::now()));
        self.asked.borrow_mut().remove(model);
        self.chosen.borrow_mut().remove(model);
    }

    fn take(&self, node: SocketAddr, model: &str, answer: Answer) {
        self.parts.engines.set_remote_loads(node, answer.loads);
        self.parts.engines.set_remote_demand(model.to_owned(), answer.demand);
        if let Some(jobs) = answer.jobs {
            (self.parts.on_jobs)(node, jobs);
        }
    }

    async fn exchange(&self, node: SocketAddr, told: &Told) -> Result<Answer, NetError> {
        decode(&self.send(node, RUNNER_PATH, told).await?)
    }

    /// Tells the other watchers who runs which model; they pass it on.
    async fn publish(&self) {
        let chosen = self.chosen.borrow().clone();
        let runners = chosen.into_iter().map(|(model, address)| ModelRunner { model, address });
        let runners: Vec<ModelRunner> = runners.collect();
        let table = {
            let mut table = self.table.borrow_mut();
            if table.number == 0 || table.runners != runners {
                table.runners = runners;
                table.number += 1;
            }
            table.clone()
        };
        self.parts.feed.set_runners(table.clone());
        let nodes = self.parts.feed.told_nodes();
        let told = join_all(nodes.iter().map(|node| self.send(*node, TABLE_PATH, &table))).await;
        for (node, result) in nodes.iter().zip(told) {
            if let Err(error) = result {
                log::info!(target: "swap", "table of runners not told node={node} error={error}");
            }
        }
    }

    async fn send<T: Serialize>(
        &self,
        node: SocketAddr,
        path: &str,
        message: &T,
    ) -> Result<Bytes, NetError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .body(Body::full(encode(message)?))
            .map_err(|error| NetError::Decode(error.to_string()))?;
        let client = &self.parts.client;
        client.call(node, request, ANSWER_LIMIT, MAX_MESSAGE_BYTES).await?.ok()
    }
}

/// Returns how many of `models` one node runs at most, where their engines have `slots`.
pub fn models_per_node(slots: u32, models: usize) -> usize {
    let nodes = slots.div_ceil(RUNS_PER_RUNNER).max(1) as usize;
    models.div_ceil(nodes).max(1)
}

/// Takes what the leader tells this node, and returns the answer.
///
/// # Errors
///
/// Returns an error if the message cannot be read.
pub fn serve_told(
    engines: &Engines,
    view: &View,
    jobs: Vec<RequestId>,
    draining: bool,
    message: &[u8],
) -> Result<Bytes, NetError> {
    let told: Told = decode(message)?;
    let now = Instant::now();
    engines.apply_news(view, &told.model, &told.news, now);
    let answer = Answer {
        loads: engines.own_loads(now),
        demand: engines.own_demand(&told.model),
        jobs: (jobs.len() != told.known_jobs).then_some(jobs),
        draining,
    };
    encode(&answer)
}

/// Takes a table of runners.
///
/// # Errors
///
/// Returns an error if the message cannot be read.
pub fn take_table(feed: &Feed, message: &[u8]) -> Result<(), NetError> {
    feed.set_runners(decode(message)?);
    Ok(())
}
