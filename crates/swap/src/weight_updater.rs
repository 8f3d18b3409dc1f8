//! Sends the planned load orders to the engines and tracks each one until the engine has completed
//! it.

use std::{
    cell::RefCell,
    collections::HashMap,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    CancellationToken,
    id::{PoolName, TargetId, WeightVersion},
};
use deck_fleet::{
    EngineRegistry, EngineUpdate, FleetView, Observer, PlatformProtocol, Target, TargetReport,
    TargetState, WeightLoadOrder, WeightLoadReply, config::ModelName,
};
use deck_net::{BufferedResponse, NetError};
use deck_plat::LeaseToken;
use deck_reach::TargetClient;
use futures_util::future::select;
use http::StatusCode;
use tokio::sync::Notify;

use crate::plan::{
    self, EngineHealth, EngineSnapshot, ModelSnapshot, PlanOptions, assign_engines,
    plan_loads_for_assignment,
};

/// Maximum size of the response to an order or a report request.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Number of failed orders after which the rest of an engine grows no more.
const MAX_REST_DOUBLINGS: u32 = 5;

/// Timing and planning options for load orders.
#[derive(Debug, Clone)]
pub struct WeightUpdaterOptions {
    /// Limits of the load planner.
    pub plan: PlanOptions,
    /// Timeout of one HTTP call to an engine.
    pub call_timeout: Duration,
    /// Delay between an order and the first poll of the engine's report; about the usual duration
    /// of a load.
    pub initial_poll_delay: Duration,
    /// Interval between two polls of the engine's report after the first one.
    pub poll_interval: Duration,
    /// Time after which an order without visible effect is abandoned and planned again.
    pub order_timeout: Duration,
    /// Maximum time between two planning rounds.
    pub max_plan_interval: Duration,
    /// Minimum time between two planning rounds. A round evaluates all engines, so one round
    /// should cover changes of several engines that arrive in quick succession.
    pub min_plan_interval: Duration,
}

impl Default for WeightUpdaterOptions {
    fn default() -> Self {
        Self {
            plan: PlanOptions::default(),
            call_timeout: Duration::from_millis(800),
            initial_poll_delay: Duration::from_millis(850),
            poll_interval: Duration::from_millis(50),
            order_timeout: Duration::from_secs(5),
            max_plan_interval: Duration::from_millis(500),
            min_plan_interval: Duration::from_millis(20),
        }
    }
}

/// Sends load orders to engines while it holds the leader lease; clones share their state.
#[derive(Clone)]
pub struct WeightUpdater {
    inner: Rc<UpdaterState>,
}

/// State shared by the clones of a [`WeightUpdater`].
struct UpdaterState {
    vm: String,
    view: FleetView,
    engines: EngineRegistry,
    client: TargetClient,
    protocol: Rc<dyn PlatformProtocol>,
    observer: Rc<dyn Observer>,
    options: WeightUpdaterOptions,
    /// Notified when an order has ended, so that the next planning round starts at once.
    order_ended: Notify,
    /// Number of orders accepted by each process of a target, keyed by target id and start time.
    accepted_orders: RefCell<HashMap<(TargetId, u64), u64>>,
    /// Engines whose last order failed.
    failed_orders: RefCell<HashMap<TargetId, FailedOrders>>,
    /// Number of engines for each model of a service, from the last planning round.
    engine_quotas: RefCell<HashMap<PoolName, Vec<usize>>>,
    /// Model that each engine is assigned to, from the last planning round.
    assigned_models: RefCell<HashMap<TargetId, ModelName>>,
    /// Number of targets of each service before more were ordered.
    initial_targets: RefCell<HashMap<PoolName, usize>>,
}

/// Orders of one engine that failed one after the other.
#[derive(Debug, Clone, Copy)]
struct FailedOrders {
    count: u32,
    /// When the engine may be ordered again.
    rests_until: Instant,
}

impl WeightUpdater {
    /// Creates an instance that sends orders with `vm` as the lease holder.
    pub fn new(
        vm: String,
        view: FleetView,
        engines: EngineRegistry,
        client: impl Into<TargetClient>,
        protocol: Rc<dyn PlatformProtocol>,
        observer: Rc<dyn Observer>,
        options: WeightUpdaterOptions,
    ) -> Self {
        let inner = UpdaterState {
            vm,
            view,
            engines,
            client: client.into(),
            protocol,
            observer,
            options,
            order_ended: Notify::new(),
            accepted_orders: RefCell::default(),
            failed_orders: RefCell::default(),
            engine_quotas: RefCell::default(),
            assigned_models: RefCell::default(),
            initial_targets: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Returns the engine state that the runner of a model needs and that the target list does not
    /// contain yet.
    pub fn engine_updates(&self, model: &str) -> Vec<EngineUpdate> {
        let Some(configuration) = self.inner.view.configuration() else { return Vec::new() };
        let assigned_models = self.inner.assigned_models.borrow();
        let is_assigned =
            |target: &Target| assigned_models.get(&target.id).is_some_and(|name| name == model);
        let services = configuration.services.values().filter(|service| {
            service.engine.as_ref().is_some_and(|engine| engine.models.iter().any(|m| m == model))
        });
        let mut updates = Vec::new();
        for service in services {
            let targets = self.inner.view.targets_of(&service.name);
            let service_updates = targets.iter().filter_map(|target| {
                self.inner.engines.engine_update(target, model, is_assigned(target))
            });
            updates.extend(service_updates);
        }
        updates
    }

    /// Plans and sends orders until `cancel` is cancelled or the lease has ended.
    ///
    /// No order is sent before `start`, the time after which orders of the previous lease holder
    /// can no longer arrive.
    pub async fn run(&self, token: LeaseToken, start: Instant, cancel: CancellationToken) {
        let stop = cancel.child_token();
        let lease = token.clone();
        let stop_on_lease_end = stop.clone();
        monoio::spawn(async move {
            stop_on_lease_end.run_until_cancelled(lease.ended()).await;
            stop_on_lease_end.cancel();
        });
        let start_delay = start.saturating_duration_since(Instant::now());
        stop.run_until_cancelled(monoio::time::sleep(start_delay)).await;
        let mut changes = self.inner.view.subscribe();
        while !stop.is_cancelled() {
            if token.is_valid() {
                self.run_planning_round(&token, &stop);
            }
            let (view_changed, order_ended) =
                (pin!(changes.changed()), pin!(self.inner.order_ended.notified()));
            let event = monoio::time::timeout(
                self.inner.options.max_plan_interval,
                select(view_changed, order_ended),
            );
            stop.run_until_cancelled(event).await;
            stop.run_until_cancelled(monoio::time::sleep(self.inner.options.min_plan_interval))
                .await;
        }
    }

    /// Plans the loads of all services and starts the orders that are due.
    fn run_planning_round(&self, token: &LeaseToken, stop: &CancellationToken) {
        let Some(configuration) = self.inner.view.configuration() else { return };
        // A leader without jobs has to ask for versions explicitly: it may receive the targets from a
        // watcher, which sends versions only to nodes that request them.
        self.inner.view.request_versions(Instant::now());
        self.inner.engines.retain_known(&self.inner.view);
        let is_known = |id: &TargetId| self.inner.view.target(id).is_some();
        self.inner.failed_orders.borrow_mut().retain(|id, _| is_known(id));
        let mut assigned_models = HashMap::new();
        for service in configuration.services.values() {
            let Some(engine) = &service.engine else { continue };
            let models: Vec<ModelSnapshot> =
                engine.models.iter().map(|name| self.model_snapshot(name)).collect();
            let targets = self.inner.view.targets_of(&service.name);
            let ready = targets.iter().filter(|target| target.state == TargetState::Ready);
            let snapshots: Vec<EngineSnapshot> =
                ready.map(|target| self.engine_snapshot(target, &models)).collect();
            let mut quotas = self.inner.engine_quotas.borrow_mut();
            let quotas = quotas.entry(service.name.clone()).or_default();
            *quotas = plan::engine_quotas(snapshots.len(), &models, quotas);
            let assigned = assign_engines(&snapshots, &models, quotas);
            for (snapshot, model) in snapshots.iter().zip(&assigned) {
                if let Some(model) = model {
                    assigned_models.insert(snapshot.target.clone(), models[*model].name.clone());
                }
            }
            let initial = self.inner.initial_targets.borrow().get(&service.name).copied();
            let plan_options = self.inner.options.plan.for_added_targets(initial, snapshots.len());
            for planned_load in
                plan_loads_for_assignment(&snapshots, &models, &assigned, &plan_options)
            {
                if let Some(target) = targets.iter().find(|target| target.id == planned_load.target)
                {
                    let model = &models[planned_load.model_index].name;
                    self.spawn_order(target.clone(), model, planned_load.version, token, stop);
                }
            }
        }
        self.inner.assigned_models.replace(assigned_models);
    }

    /// Sets the number of targets that a service had before more were ordered. The source of the
    /// weights does not grow with added targets: more loads at once would slow each other down.
    pub fn set_initial_targets(&self, service: PoolName, count: usize) {
        self.inner.initial_targets.borrow_mut().insert(service, count);
    }

    /// Returns the planner input for a model.
    fn model_snapshot(&self, name: &str) -> ModelSnapshot {
        ModelSnapshot {
            name: name.to_owned(),
            published_version: self.inner.view.published_version(name),
            demand: self.inner.engines.demand(name),
        }
    }

    /// Returns the planner input for an engine.
    fn engine_snapshot(&self, target: &Target, models: &[ModelSnapshot]) -> EngineSnapshot {
        let engines = &self.inner.engines;
        let version = |model: &ModelSnapshot| engines.version(target, &model.name);
        let engine_load = engines.total_load(target, Instant::now());
        EngineSnapshot {
            target: target.id.clone(),
            versions: models.iter().map(version).collect(),
            is_loading: engines.loading_model(target).is_some(),
            free_slots: target.slots.saturating_sub(engine_load.active_runs),
            min_event_ms: engine_load.best_event_ms,
            health: self.inner.engine_health(&target.id),
        }
    }

    /// Starts a task that orders a target to load a version and tracks the order.
    fn spawn_order(
        &self,
        target: Rc<Target>,
        model: &str,
        version: WeightVersion,
        token: &LeaseToken,
        stop: &CancellationToken,
    ) {
        self.inner.engines.set_loading_model(&target, Some(model.to_owned()));
        let (inner, model) = (self.inner.clone(), model.to_owned());
        let (token, stop) = (token.clone(), stop.clone());
        monoio::spawn(async move {
            let order = inner.load_version(&target, &model, version, &token);
            stop.run_until_cancelled(order).await;
            inner.engines.set_loading_model(&target, None);
            inner.order_ended.notify_one();
        });
    }
}

impl UpdaterState {
    /// Orders a target to load a version and waits until the load has completed or failed.
    async fn load_version(
        &self,
        target: &Target,
        model: &str,
        version: WeightVersion,
        token: &LeaseToken,
    ) {
        let key = (target.id.clone(), target.started_at_ms);
        let known_count = self.accepted_orders.borrow().get(&key).copied();
        let expected_orders = match known_count {
            Some(count) => count,
            None => match self.fetch_report(target).await {
                Some(report) => report.accepted_orders,
                None => return self.record_failed_order(target),
            },
        };
        if !token.is_valid() {
            return;
        }
        let order = WeightLoadOrder {
            model: model.to_owned(),
            version,
            holder: self.vm.clone(),
            fencing: token.fencing(),
            expected_orders,
        };
        let request = self.protocol.weight_load_request(&target.id, &order);
        // Orders of two nodes are those of two holders, so no other node relays them.
        let (address, timeout) = (target.into(), self.options.call_timeout);
        let reply = self.client.call_direct(address, request, timeout, MAX_RESPONSE_BYTES).await;
        let reply = self.record_reply(target, reply);
        let reply = reply.map(|reply| self.protocol.decode_weight_load_reply(reply.status));
        self.observer.on_order_reply(reply.map(WeightLoadReply::label));
        let (id, fencing) = (&target.id, order.fencing);
        log::info!(target: "swap", "order target={id} model={model} version={version} fencing={fencing} expected_orders={expected_orders} reply={reply:?}");
        match reply {
            Some(WeightLoadReply::Accepted) => {
                self.accepted_orders.borrow_mut().insert(key, expected_orders + 1);
                if !self.wait_until_loaded(target, model, version).await {
                    self.record_failed_order(target);
                }
            }
            Some(WeightLoadReply::AlreadyDone) => {
                self.failed_orders.borrow_mut().remove(&target.id);
                self.engines.set_version(target, model, version);
            }
            Some(WeightLoadReply::Conflict) | None => {
                // The order may still take effect. Forgetting the count makes the next order read
                // it from the target's report, so that an order delivered late is refused by its
                // count.
                self.accepted_orders.borrow_mut().remove(&key);
                // Other engines need not wait for one that does not answer.
                if reply.is_none() {
                    self.record_failed_order(target);
                }
                self.wait_until_loaded(target, model, version).await;
            }
            Some(WeightLoadReply::StaleFencing) => {
                log::warn!(target: "swap", "order rejected with a stale fencing number, giving up the lease fencing={fencing}");
                token.revoke();
            }
            Some(WeightLoadReply::Refused(_)) => {
                monoio::time::sleep(self.options.max_plan_interval).await
            }
        }
    }

    /// Polls a target until it reports the version, is no longer busy, or the order times out.
    /// Returns whether it has reported the version or answered that it is not busy.
    async fn wait_until_loaded(
        &self,
        target: &Target,
        model: &str,
        version: WeightVersion,
    ) -> bool {
        let started_at = Instant::now();
        let deadline = started_at + self.options.order_timeout;
        monoio::time::sleep(self.options.initial_poll_delay).await;
        while Instant::now() < deadline {
            if let Some(report) = self.fetch_report(target).await {
                let reported = report.models.iter().find(|(name, _)| name == model);
                if let Some((_, reported)) = reported {
                    self.engines.set_version(target, model, *reported);
                }
                if reported.is_some_and(|(_, reported)| *reported >= version) || !report.busy {
                    if reported.is_some_and(|(_, reported)| *reported >= version) {
                        self.failed_orders.borrow_mut().remove(&target.id);
                        self.observer.on_weights_loaded(started_at.elapsed());
                    }
                    let (id, ms) = (&target.id, started_at.elapsed().as_millis());
                    log::info!(target: "swap", "order ended target={id} model={model} version={version} shown={reported:?} ms={ms}");
                    return true;
                }
            }
            monoio::time::sleep(self.options.poll_interval).await;
        }
        false
    }

    /// Records that an order of a target had no answer or no effect. The target rests before its next
    /// order, longer each time.
    fn record_failed_order(&self, target: &Target) {
        let mut failed_orders = self.failed_orders.borrow_mut();
        let count = failed_orders.get(&target.id).map_or(1, |failed| failed.count + 1);
        let rest = self.options.max_plan_interval * (1 << count.min(MAX_REST_DOUBLINGS)) / 2;
        let rests_until = Instant::now() + rest;
        failed_orders.insert(target.id.clone(), FailedOrders { count, rests_until });
    }

    fn engine_health(&self, target: &str) -> EngineHealth {
        match self.failed_orders.borrow().get(target) {
            None => EngineHealth::Sound,
            Some(failed) if Instant::now() < failed.rests_until => EngineHealth::Resting,
            Some(_) => EngineHealth::Failing,
        }
    }

    /// Queries the report of a target; `None` if there is no valid response.
    async fn fetch_report(&self, target: &Target) -> Option<TargetReport> {
        let request = self.protocol.target_report_request(&target.id);
        let (address, timeout) = (target.into(), self.options.call_timeout);
        let response = self.client.call(address, request, timeout, MAX_RESPONSE_BYTES).await;
        let response = self.record_reply(target, response)?;
        if response.status != StatusCode::OK {
            return None;
        }
        match self.protocol.decode_target_report(&response.body) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(target: "swap", "target report could not be decoded target={} error={error}", target.id);
                None
            }
        }
    }

    /// Returns the reply of a target, and records if it announces that it is leaving.
    fn record_reply(
        &self,
        target: &Target,
        reply: Result<BufferedResponse, NetError>,
    ) -> Option<BufferedResponse> {
        match reply {
            Ok(response) => {
                if self
                    .protocol
                    .decode_response_metadata(response.status, &response.headers)
                    .leaving
                {
                    self.view.mark_leaving(target, Instant::now());
                }
                Some(response)
            }
            Err(error) => {
                log::info!(target: "swap", "call to target failed target={} error={error}", target.id);
                None
            }
        }
    }
}
