//! Assignment of models to the nodes that run their jobs (the runners) in a large fleet.
//!
//! The leader chooses a runner for each model, so that its own CPU does not limit the fleet. A node
//! runs several models as long as the total number of engine slots allows it: it then sees all runs
//! on these engines and needs fewer connections. The leader sends each runner the effects of its
//! load orders immediately, and receives engine loads and job ids in return. This module does not
//! decide which node owns a job; the job's record in the object API does.

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
    EngineConfig, EngineLoad, EngineRegistry, EngineUpdate, FleetFeed, FleetView, ModelDemand,
    ModelRunner, RunnerTable, config::ModelName,
};
use deck_net::{
    Body, Client, NetError,
    cbor::{decode, encode},
};
use futures_util::future::join_all;
use http::{Method, Request};
use serde::{Deserialize, Serialize};

use crate::WeightUpdater;

/// HTTP path at which a runner receives updates from the leader.
pub const LEADER_UPDATE_PATH: &str = "/peer/runner";
/// HTTP path at which a node receives the runner table.
pub const RUNNER_TABLE_PATH: &str = "/peer/runners";
/// Maximum size of a message between leader and runner.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum time between two updates to a runner. The replies carry the engine loads by which the
/// next engine to load weights is chosen; loading weights takes about four times as long.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Concurrent runs that one node should handle. A node with half a core handled engines with 462
/// slots, and its items waited no longer than with eight runners.
const MAX_RUNS_PER_RUNNER: u32 = 600;
/// Load, in percent of `MAX_RUNS_PER_RUNNER`, above which models are moved away from a node. The
/// margin above 100 keeps models in place while engines join and leave.
const REBALANCE_PERCENT: u32 = 130;
/// Delay before an update that collects changes made in quick succession.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a call to another node.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive updates without a reply after which the model's new jobs go to another node. This
/// takes over a second, so a short pause of a node has no effect.
const MAX_MISSED_REPLIES: u32 = 3;
/// Time during which a node that did not reply is not chosen again.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(10);
/// Interval at which the models of the configuration and the runner loads are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of checks, one per `CHECK_INTERVAL`, after which the runner table is sent again even if
/// it is unchanged, for nodes that did not receive it.
const CHECKS_PER_TABLE: u32 = 4;

/// Update from the leader to the runner of a model.
#[derive(Debug, Serialize, Deserialize)]
struct LeaderUpdate {
    /// Model that the node runs or is asked to run.
    model: ModelName,
    /// Fencing number of the leader's lease; 0 from nodes of earlier releases.
    #[serde(default)]
    fencing: FencingNumber,
    /// State of the engines that the target list does not contain yet.
    #[serde(rename = "news")]
    engines: Vec<EngineUpdate>,
    /// Number of the runner's jobs that the leader knows of.
    known_jobs: usize,
}

/// Reply of a runner to a [`LeaderUpdate`].
#[derive(Debug, Serialize, Deserialize)]
struct RunnerReply {
    /// Engine loads caused by the runs of this node.
    loads: Vec<EngineLoad>,
    /// Generation demand of the runner's jobs of the model.
    demand: ModelDemand,
    /// Ids of the runner's jobs; set only if their number differs from `known_jobs`.
    jobs: Option<Vec<RequestId>>,
    /// Whether the node is shutting down.
    draining: bool,
}

/// Dependencies of a [`RunnerManager`].
#[derive(Clone)]
pub struct RunnerManagerDependencies {
    /// Configuration and targets as known to this node.
    pub view: FleetView,
    /// Weight versions, weight loads in progress and run counts of the engines, as known to this
    /// node.
    pub engines: EngineRegistry,
    /// Distributes the runner table to the fleet.
    pub feed: FleetFeed,
    /// Sends load orders to the engines; provides the engine state for the runners.
    pub weight_updater: WeightUpdater,
    /// HTTP client for calls to other nodes.
    pub client: Client,
    /// Callback for the job ids that a runner reports.
    pub on_runner_jobs: Rc<dyn Fn(SocketAddr, Vec<RequestId>)>,
}

/// Chooses and monitors the runners of all models on the leader; clones share their state.
#[derive(Clone)]
pub struct RunnerManager {
    inner: Rc<ManagerState>,
}

/// State shared by the clones of a [`RunnerManager`].
struct ManagerState {
    deps: RunnerManagerDependencies,
    /// Table as published last.
    table: RefCell<RunnerTable>,
    /// Runner of each model. Invariant: each has replied to this leader or an earlier one.
    runner_by_model: RefCell<BTreeMap<ModelName, SocketAddr>>,
    /// Nodes that have been asked to run a model and have not replied yet.
    candidates: RefCell<BTreeMap<ModelName, SocketAddr>>,
    /// Nodes that did not reply or are shutting down, with the time at which this was noticed.
    excluded_nodes: RefCell<Vec<(SocketAddr, Instant)>>,
}

impl RunnerManager {
    /// Creates the runner assignment of a new leader, starting from the runners of the previous
    /// one.
    pub fn new(deps: RunnerManagerDependencies, fencing: FencingNumber) -> Self {
        let previous_runners = deps.feed.runners().runners;
        let runner_by_model =
            previous_runners.into_iter().map(|runner| (runner.model, runner.address)).collect();
        let inner = ManagerState {
            deps,
            table: RefCell::new(RunnerTable { fencing, ..RunnerTable::default() }),
            runner_by_model: RefCell::new(runner_by_model),
            candidates: RefCell::default(),
            excluded_nodes: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Chooses runners and exchanges updates with them until `cancel` is cancelled.
    pub async fn run(&self, cancel: CancellationToken) {
        let mut tasks: BTreeMap<ModelName, CancellationToken> = BTreeMap::new();
        let mut checks = 0;
        loop {
            let models = self.models();
            for model in &models {
                tasks.entry(model.clone()).or_insert_with(|| {
                    let stop = cancel.child_token();
                    let (inner, model, token) = (self.inner.clone(), model.clone(), stop.clone());
                    monoio::spawn(async move {
                        token.run_until_cancelled(inner.maintain_runner(&model)).await;
                    });
                    stop
                });
            }
            tasks.retain(|model, stop| {
                let is_configured = models.contains(model);
                if !is_configured {
                    stop.cancel();
                    self.inner.runner_by_model.borrow_mut().remove(model);
                }
                is_configured
            });
            self.inner.rebalance();
            if checks % CHECKS_PER_TABLE == 0 {
                self.inner.publish_table().await;
            }
            checks += 1;
            let pause = monoio::time::sleep(CHECK_INTERVAL);
            if cancel.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }

    /// Returns the configured models, or none in a small fleet, where the leader runs all jobs.
    fn models(&self) -> HashSet<ModelName> {
        if self.inner.deps.feed.runner_candidates().is_empty() {
            return HashSet::new();
        }
        let services = self.inner.engine_services();
        services.into_iter().flat_map(|(_, engine)| engine.models).collect()
    }
}

impl ManagerState {
    /// Exchanges updates with the runner of a model, and replaces it when it stops or does not
    /// reply.
    async fn maintain_runner(&self, model: &str) {
        let mut changes = self.deps.engines.changes();
        let (mut missed, mut known_jobs) = (0, 0);
        let mut sent_updates = Vec::new();
        let mut sent_at: Option<Instant> = None;
        loop {
            let confirmed_runner = self.runner_by_model.borrow().get(model).copied();
            let Some(node) = confirmed_runner.or_else(|| self.select_candidate(model)) else {
                monoio::time::sleep(CHECK_INTERVAL).await;
                continue;
            };
            let updates = self.deps.weight_updater.engine_updates(model);
            let is_due = sent_at.is_none_or(|at| at.elapsed() >= MAX_UPDATE_INTERVAL);
            if confirmed_runner.is_none() || is_due || updates != sent_updates {
                let mut engines = updates.clone();
                // A runner measures the engines that it has had for a while itself.
                let is_new = |target: &str| {
                    confirmed_runner.is_none()
                        || !sent_updates
                            .iter()
                            .any(|sent: &EngineUpdate| sent.target == target && sent.is_assigned)
                };
                self.deps.engines.add_speeds(&mut engines, is_new, Instant::now());
                let fencing = self.table.borrow().fencing;
                let message =
                    LeaderUpdate { model: model.to_owned(), fencing, engines, known_jobs };
                sent_at = Some(Instant::now());
                match self.exchange(node, &message).await {
                    Ok(reply) if !reply.draining => {
                        missed = 0;
                        sent_updates = updates;
                        known_jobs = reply.jobs.as_ref().map_or(known_jobs, Vec::len);
                        self.apply_reply(node, model, reply);
                        if confirmed_runner.is_none() {
                            log::info!(target: "swap", "runner chosen model={model} node={node}");
                            self.runner_by_model.borrow_mut().insert(model.to_owned(), node);
                            self.candidates.borrow_mut().remove(model);
                            self.publish_table().await;
                        }
                    }
                    Ok(reply) => {
                        log::info!(target: "swap", "runner stops model={model} node={node}");
                        self.apply_reply(node, model, reply);
                        self.drop_runner(model, node);
                        (missed, known_jobs) = (0, 0);
                    }
                    Err(error) => {
                        missed += 1;
                        log::info!(target: "swap", "runner does not answer model={model} node={node} missed={missed} error={error}");
                        if confirmed_runner.is_none() || missed >= MAX_MISSED_REPLIES {
                            self.deps.engines.set_remote_loads(node, Vec::new(), Instant::now());
                            self.drop_runner(model, node);
                            (missed, known_jobs) = (0, 0);
                        }
                    }
                }
            }
            let until_due = sent_at
                .map_or(Duration::ZERO, |at| MAX_UPDATE_INTERVAL.saturating_sub(at.elapsed()));
            let _ = monoio::time::timeout(until_due, changes.changed()).await;
            monoio::time::sleep(UPDATE_BATCH_DELAY).await;
        }
    }

    /// Returns the names and engine settings of the services that have engines.
    fn engine_services(&self) -> Vec<(PoolName, EngineConfig)> {
        let Some(configuration) = self.deps.view.configuration() else { return Vec::new() };
        let services = configuration.services.values();
        let engines = services.filter_map(|s| Some((s.name.clone(), s.engine.clone()?)));
        engines.collect()
    }

    /// Returns the maximum number of models for one node.
    fn models_per_node(&self) -> usize {
        let (slots, models) = self.slots_and_models();
        models_per_node(slots, models)
    }

    /// Returns the total number of engine slots and the number of models.
    fn slots_and_models(&self) -> (u32, usize) {
        let (mut slots, mut models) = (0, 0);
        for (service, engine) in self.engine_services() {
            let targets = self.deps.view.targets_of(&service);
            slots += targets.iter().map(|target| target.slots).sum::<u32>();
            models += engine.models.len();
        }
        (slots, models)
    }

    /// Removes models from overloaded nodes; new jobs of these models go to other nodes.
    fn rebalance(&self) {
        let (slots, models) = self.slots_and_models();
        let max_models = models_per_node(slots * 100 / REBALANCE_PERCENT, models);
        let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        self.runner_by_model.borrow_mut().retain(|model, node| {
            let count = counts.entry(*node).or_default();
            *count += 1;
            if *count > max_models {
                log::info!(target: "swap", "runner has too many models model={model} node={node}");
            }
            *count <= max_models
        });
    }

    /// Selects a node for a model and records it as the candidate: the highest-ranked node that has
    /// not failed to reply lately, preferring nodes with spare capacity.
    fn select_candidate(&self, model: &str) -> Option<SocketAddr> {
        let mut excluded_nodes = self.excluded_nodes.borrow_mut();
        excluded_nodes.retain(|(_, at)| at.elapsed() < UNRESPONSIVE_BACKOFF);
        let (runner_by_model, mut candidates) =
            (self.runner_by_model.borrow(), self.candidates.borrow_mut());
        candidates.remove(model);
        let max_models = self.models_per_node();
        let is_full = |node: &SocketAddr| {
            let assigned = runner_by_model.values().chain(candidates.values());
            assigned.filter(|assigned| *assigned == node).count() >= max_models
        };
        let is_excluded =
            |node: &SocketAddr| excluded_nodes.iter().any(|(excluded, _)| excluded == node);
        let mut nodes = self.deps.feed.runner_candidates();
        nodes.retain(|node| !is_excluded(node));
        let node = nodes.iter().find(|node| !is_full(node)).or(nodes.first()).copied()?;
        candidates.insert(model.to_owned(), node);
        Some(node)
    }

    /// Removes the runner or candidate of a model and excludes the node for a while.
    fn drop_runner(&self, model: &str, node: SocketAddr) {
        self.excluded_nodes.borrow_mut().push((node, Instant::now()));
        self.candidates.borrow_mut().remove(model);
        self.runner_by_model.borrow_mut().remove(model);
    }

    /// Records the loads, demand and jobs reported by a runner.
    fn apply_reply(&self, node: SocketAddr, model: &str, reply: RunnerReply) {
        self.deps.engines.set_remote_loads(node, reply.loads, Instant::now());
        self.deps.engines.set_remote_demand(model.to_owned(), reply.demand);
        if let Some(jobs) = reply.jobs {
            (self.deps.on_runner_jobs)(node, jobs);
        }
    }

    async fn exchange(
        &self,
        node: SocketAddr,
        update: &LeaderUpdate,
    ) -> Result<RunnerReply, NetError> {
        decode(&self.send(node, LEADER_UPDATE_PATH, update).await?)
    }

    /// Sends the runner table to the watchers, which distribute it to the other nodes.
    async fn publish_table(&self) {
        let runner_by_model = self.runner_by_model.borrow().clone();
        let runners =
            runner_by_model.into_iter().map(|(model, address)| ModelRunner { model, address });
        let runners: Vec<ModelRunner> = runners.collect();
        let table = {
            let mut table = self.table.borrow_mut();
            if table.number == 0 || table.runners != runners {
                table.runners = runners;
                table.number += 1;
            }
            table.clone()
        };
        self.deps.feed.set_runners(table.clone());
        let nodes = self.deps.feed.broadcast_nodes();
        let results =
            join_all(nodes.iter().map(|node| self.send(*node, RUNNER_TABLE_PATH, &table))).await;
        for (node, result) in nodes.iter().zip(results) {
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
        let client = &self.deps.client;
        client.call(node, request, CALL_TIMEOUT, MAX_MESSAGE_BYTES).await?.into_ok_body()
    }
}

/// Returns the maximum number of models for one node, given the total number of engine slots and of
/// models.
pub fn models_per_node(slots: u32, models: usize) -> usize {
    let nodes = slots.div_ceil(MAX_RUNS_PER_RUNNER).max(1) as usize;
    models.div_ceil(nodes).max(1)
}

/// Handles an encoded update from the leader on this node and returns the encoded reply.
///
/// # Errors
///
/// Returns an error if the message cannot be decoded, or if a leader with a later lease has sent one
/// lately.
pub fn handle_leader_update(
    engines: &EngineRegistry,
    view: &FleetView,
    jobs: Vec<RequestId>,
    draining: bool,
    message: &[u8],
) -> Result<Bytes, NetError> {
    let update: LeaderUpdate = decode(message)?;
    let now = Instant::now();
    if !engines.accept_leader(update.fencing, now) {
        let fencing = update.fencing;
        return Err(NetError::Decode(format!("update of a former leader fencing={fencing}")));
    }
    engines.apply_updates(view, &update.model, &update.engines, now);
    let reply = RunnerReply {
        loads: engines.own_loads(now),
        demand: engines.own_demand(&update.model),
        jobs: (jobs.len() != update.known_jobs).then_some(jobs),
        draining,
    };
    encode(&reply)
}

/// Applies an encoded runner table received from the leader.
///
/// # Errors
///
/// Returns an error if the message cannot be decoded.
pub fn handle_runner_table(feed: &FleetFeed, message: &[u8]) -> Result<(), NetError> {
    feed.set_runners(decode(message)?);
    Ok(())
}
