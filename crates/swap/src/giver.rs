//! Gives the orders of the plan and follows them until they are carried out.

use std::{
    cell::RefCell,
    collections::HashMap,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    CancellationToken,
    id::{PoolName, TargetId, WeightVersion},
};
use deck_fleet::{
    EngineNews, Engines, Observer, Order, OrderReply, Protocol, Target, TargetReport, TargetState,
    View, config::ModelName,
};
use deck_net::{Body, Client, WholeResponse};
use deck_plat::LeaseToken;
use futures_util::future::select;
use http::{Request, StatusCode};
use tokio::sync::Notify;

use crate::plan::{self, EngineVersions, NamedModel, PlanOptions, assign, plan_assigned};

/// Options of a [`Giver`].
#[derive(Debug, Clone)]
pub struct SwapOptions {
    /// The plan.
    pub plan: PlanOptions,
    /// Time for one call on an engine.
    pub call_limit: Duration,
    /// Time after an order at which the engine is first asked whether it is done; about the usual
    /// time of a load.
    pub first_look: Duration,
    /// Time between two questions after that.
    pub look_interval: Duration,
    /// Time after which an order that shows no effect is planned anew.
    pub order_limit: Duration,
    /// Longest wait between two plans.
    pub round: Duration,
    /// Shortest time between two plans: a plan looks at all engines, whose changes come one by one.
    pub gather: Duration,
}

impl Default for SwapOptions {
    fn default() -> Self {
        Self {
            plan: PlanOptions::default(),
            call_limit: Duration::from_millis(800),
            first_look: Duration::from_millis(850),
            look_interval: Duration::from_millis(50),
            order_limit: Duration::from_secs(5),
            round: Duration::from_millis(500),
            gather: Duration::from_millis(20),
        }
    }
}

/// Gives orders under a lease; clones share what they know.
#[derive(Clone)]
pub struct Giver {
    inner: Rc<Inner>,
}

struct Inner {
    vm: String,
    view: View,
    engines: Engines,
    client: Client,
    protocol: Rc<dyn Protocol>,
    observer: Rc<dyn Observer>,
    options: SwapOptions,
    /// Told when an order has ended, so that the next one follows at once.
    ended: Notify,
    /// Orders that each run of a target has accepted, by its id and start.
    accepted: RefCell<HashMap<(TargetId, u64), u64>>,
    /// Number of engines for each model of a service by the last plan.
    quotas: RefCell<HashMap<PoolName, Vec<usize>>>,
    /// Models that the engines follow by the last plan.
    assigned: RefCell<HashMap<TargetId, ModelName>>,
}

impl Giver {
    /// Returns a giver of orders in the name of `vm`.
    pub fn new(
        vm: String,
        view: View,
        engines: Engines,
        client: Client,
        protocol: Rc<dyn Protocol>,
        observer: Rc<dyn Observer>,
        options: SwapOptions,
    ) -> Self {
        let inner = Inner {
            vm,
            view,
            engines,
            client,
            protocol,
            observer,
            options,
            ended: Notify::new(),
            accepted: RefCell::default(),
            quotas: RefCell::default(),
            assigned: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Returns what this node knows of the engines beyond the list of targets, for the runner of a
    /// model.
    pub fn news(&self, model: &str) -> Vec<EngineNews> {
        let Some(configuration) = self.inner.view.configuration() else { return Vec::new() };
        let assigned = self.inner.assigned.borrow();
        let follows = |target: &Target| assigned.get(&target.id).is_some_and(|own| own == model);
        let services = configuration.services.values().filter(|service| {
            service.engine.as_ref().is_some_and(|engine| engine.models.iter().any(|m| m == model))
        });
        let mut news = Vec::new();
        for service in services {
            let targets = self.inner.view.targets_of(&service.name);
            let known = targets
                .iter()
                .filter_map(|target| self.inner.engines.news(target, model, follows(target)));
            news.extend(known);
        }
        news
    }

    /// Gives orders until `cancel` is cancelled or the lease has ended.
    ///
    /// The first order is given at `start` at the earliest, when no order of an earlier holder can
    /// still arrive.
    pub async fn run(&self, token: LeaseToken, start: Instant, cancel: CancellationToken) {
        let stop = cancel.child_token();
        let ended = token.clone();
        let stopper = stop.clone();
        monoio::spawn(async move {
            stopper.run_until_cancelled(ended.ended()).await;
            stopper.cancel();
        });
        let wait = start.saturating_duration_since(Instant::now());
        stop.run_until_cancelled(monoio::time::sleep(wait)).await;
        let mut changes = self.inner.view.changes();
        while !stop.is_cancelled() {
            if token.is_valid() {
                self.round(&token, &stop);
            }
            let (change, ended) = (pin!(changes.changed()), pin!(self.inner.ended.notified()));
            let event = monoio::time::timeout(self.inner.options.round, select(change, ended));
            stop.run_until_cancelled(event).await;
            stop.run_until_cancelled(monoio::time::sleep(self.inner.options.gather)).await;
        }
    }

    /// Starts the orders that the plan asks for now.
    fn round(&self, token: &LeaseToken, stop: &CancellationToken) {
        let Some(configuration) = self.inner.view.configuration() else { return };
        // A leader may run no job, and may take its knowledge from a watcher.
        self.inner.view.need_versions(Instant::now());
        self.inner.engines.retain_known(&self.inner.view);
        let mut followed = HashMap::new();
        for service in configuration.services.values() {
            let Some(engine) = &service.engine else { continue };
            let models: Vec<NamedModel> =
                engine.models.iter().map(|name| self.named_model(name)).collect();
            let targets = self.inner.view.targets_of(&service.name);
            let ready = targets.iter().filter(|target| target.state == TargetState::Ready);
            let states: Vec<EngineVersions> =
                ready.map(|target| self.engine_versions(target, &models)).collect();
            let mut quotas = self.inner.quotas.borrow_mut();
            let quotas = quotas.entry(service.name.clone()).or_default();
            *quotas = plan::quotas(states.len(), &models, quotas);
            let assigned = assign(&states, &models, quotas);
            for (state, model) in states.iter().zip(&assigned) {
                if let Some(model) = model {
                    followed.insert(state.target.clone(), models[*model].name.clone());
                }
            }
            for change in plan_assigned(&states, &models, &assigned, &self.inner.options.plan) {
                if let Some(target) = targets.iter().find(|target| target.id == change.target) {
                    let model = &models[change.model].name;
                    self.start_order(target.clone(), model, change.version, token, stop);
                }
            }
        }
        self.inner.assigned.replace(followed);
    }

    fn named_model(&self, name: &str) -> NamedModel {
        NamedModel {
            name: name.to_owned(),
            named: self.inner.view.named_version(name),
            demand: self.inner.engines.demand(name),
        }
    }

    fn engine_versions(&self, target: &Target, models: &[NamedModel]) -> EngineVersions {
        let engines = &self.inner.engines;
        let version = |model: &NamedModel| engines.version(target, &model.name);
        let load = engines.load(target, Instant::now());
        EngineVersions {
            target: target.id.clone(),
            versions: models.iter().map(version).collect(),
            loading: engines.changing(target).is_some(),
            free_slots: target.slots.saturating_sub(load.running),
            event_ms: load.best_event_ms,
        }
    }

    fn start_order(
        &self,
        target: Rc<Target>,
        model: &str,
        version: WeightVersion,
        token: &LeaseToken,
        stop: &CancellationToken,
    ) {
        self.inner.engines.set_changing(&target, Some(model.to_owned()));
        let (inner, model) = (self.inner.clone(), model.to_owned());
        let (token, stop) = (token.clone(), stop.clone());
        monoio::spawn(async move {
            let change = inner.change(&target, &model, version, &token);
            stop.run_until_cancelled(change).await;
            inner.engines.set_changing(&target, None);
            inner.ended.notify_one();
        });
    }
}

impl Inner {
    /// Orders a target to change to a version and waits until it has it.
    async fn change(
        &self,
        target: &Target,
        model: &str,
        version: WeightVersion,
        token: &LeaseToken,
    ) {
        let key = (target.id.clone(), target.started_at_ms);
        let known = self.accepted.borrow().get(&key).copied();
        let expected_orders = match known {
            Some(count) => count,
            None => match self.report(target).await {
                Some(report) => report.accepted_orders,
                None => return monoio::time::sleep(self.options.round).await,
            },
        };
        if !token.is_valid() {
            return;
        }
        let order = Order {
            model: model.to_owned(),
            version,
            holder: self.vm.clone(),
            fencing: token.fencing(),
            expected_orders,
        };
        let request = self.protocol.order(&target.id, &order);
        let reply = self.send(target, request).await;
        let reply = reply.map(|reply| self.protocol.order_reply(reply.status));
        self.observer.order(reply.map(OrderReply::label));
        let (id, fencing) = (&target.id, order.fencing);
        log::info!(target: "swap", "order target={id} model={model} version={version} fencing={fencing} expected_orders={expected_orders} reply={reply:?}");
        match reply {
            Some(OrderReply::Accepted) => {
                self.accepted.borrow_mut().insert(key, expected_orders + 1);
                self.follow(target, model, version).await;
            }
            Some(OrderReply::AlreadyDone) => self.engines.set_version(target, model, version),
            Some(OrderReply::Conflict) | None => {
                // The number of accepted orders decides: an order that is carried out late was
                // sent with a number that no longer holds.
                self.accepted.borrow_mut().remove(&key);
                self.follow(target, model, version).await;
            }
            Some(OrderReply::StaleFencing) => {
                log::warn!(target: "swap", "fencing number is stale fencing={fencing}");
                token.give_up();
            }
            Some(OrderReply::Refused(_)) => monoio::time::sleep(self.options.round).await,
        }
    }

    /// Waits until a target has a version, or shows that it is not changing to it.
    async fn follow(&self, target: &Target, model: &str, version: WeightVersion) {
        let started = Instant::now();
        let until = started + self.options.order_limit;
        monoio::time::sleep(self.options.first_look).await;
        while Instant::now() < until {
            if let Some(report) = self.report(target).await {
                let shown = report.models.iter().find(|(name, _)| name == model);
                if let Some((_, shown)) = shown {
                    self.engines.set_version(target, model, *shown);
                }
                if shown.is_some_and(|(_, shown)| *shown >= version) || !report.busy {
                    if shown.is_some_and(|(_, shown)| *shown >= version) {
                        self.observer.loaded(started.elapsed());
                    }
                    let (id, ms) = (&target.id, started.elapsed().as_millis());
                    log::info!(target: "swap", "order ended target={id} model={model} version={version} shown={shown:?} ms={ms}");
                    return;
                }
            }
            monoio::time::sleep(self.options.look_interval).await;
        }
    }

    async fn report(&self, target: &Target) -> Option<TargetReport> {
        let answer = self.send(target, self.protocol.report_request(&target.id)).await?;
        if answer.status != StatusCode::OK {
            return None;
        }
        match self.protocol.report(&answer.body) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(target: "swap", "report not read target={} error={error}", target.id);
                None
            }
        }
    }

    async fn send(&self, target: &Target, request: Request<Bytes>) -> Option<WholeResponse> {
        /// Largest answer to an order or a question for a report.
        const MAX_ANSWER_BYTES: usize = 1024 * 1024;
        let (address, limit) = (target.address, self.options.call_limit);
        let request = request.map(Body::full);
        match self.client.call(address, request, limit, MAX_ANSWER_BYTES).await {
            Ok(answer) => {
                if self.protocol.reply_head(answer.status, &answer.headers).leaving {
                    self.view.set_leaving(target, Instant::now());
                }
                Some(answer)
            }
            Err(error) => {
                log::info!(target: "swap", "target does not answer target={} error={error}", target.id);
                None
            }
        }
    }
}
