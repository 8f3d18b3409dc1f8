//! State of one pool while this VM owns it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::{
    id::{PoolName, TargetId, VmId, WeightVersion},
    object::{Kind, Target, TargetPool, TargetState},
};
use deck_net::Client;
use deck_plat::{LeaseToken, Store, StoreError};
use serde_json::{Map, Value};

use crate::{
    engine::{self, EngineError, EngineState, Role, SwapState},
    metrics::WeightMetrics,
    owner::{for_each_limited, is_due, parse_address},
    plan::{Order, PendingOrder, PlanInput, PlanOptions, TargetView, is_settled, plan},
    source,
    status::PoolStatus,
};

/// Intervals and time limits of an owner.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Time between planning rounds.
    pub round_interval: Duration,
    /// Time between reports read from a target that needs no order.
    pub settled_poll_interval: Duration,
    /// Time between reports read from a target during a rollout.
    pub active_poll_interval: Duration,
    /// Time between looks at the weight store's newest version.
    pub version_poll_interval: Duration,
    /// Shortest time between writes of the status.
    pub status_interval: Duration,
    /// Time limit of one call on a target or the weight store.
    pub call_timeout: Duration,
    /// Calls on targets at a time.
    pub max_concurrent_calls: usize,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_millis(250),
            settled_poll_interval: Duration::from_secs(5),
            active_poll_interval: Duration::from_millis(500),
            version_poll_interval: Duration::from_secs(1),
            status_interval: Duration::from_secs(5),
            call_timeout: Duration::from_secs(2),
            max_concurrent_calls: 64,
        }
    }
}

/// State of one pool while this VM owns it.
pub(crate) struct PoolRun {
    pool: PoolName,
    client: Client,
    store: Store,
    vm: VmId,
    token: LeaseToken,
    options: RunOptions,
    /// Newest version seen in the weight store. Invariant: never falls.
    desired: Option<WeightVersion>,
    version_polled: Option<Instant>,
    reports: HashMap<TargetId, Report>,
    pending: HashMap<TargetId, PendingOrder>,
    status_written: Option<Instant>,
    last_status: Option<PoolStatus>,
    lease_was_valid: bool,
    metrics: WeightMetrics,
}

struct Report {
    state: Option<EngineState>,
    polled: Instant,
    unreachable_since: Option<Instant>,
}

impl PoolRun {
    pub(crate) fn new(
        pool: &str,
        client: Client,
        store: Store,
        vm: VmId,
        token: LeaseToken,
        options: RunOptions,
        metrics: WeightMetrics,
    ) -> Self {
        Self {
            pool: pool.to_owned(),
            client,
            store,
            vm,
            token,
            options,
            desired: None,
            version_polled: None,
            reports: HashMap::new(),
            pending: HashMap::new(),
            status_written: None,
            last_status: None,
            lease_was_valid: true,
            metrics,
        }
    }

    /// Reads the newest version and the reports that are due.
    pub(crate) async fn observe(&mut self, spec: &TargetPool) {
        self.poll_version(spec).await;
        let targets = active_targets(spec);
        let known: HashSet<_> = targets.iter().map(|target| target.id.as_str()).collect();
        self.reports.retain(|id, _| known.contains(id.as_str()));
        self.pending.retain(|id, _| known.contains(id.as_str()));
        let now = Instant::now();
        let due: Vec<_> =
            targets.into_iter().filter(|target| self.is_poll_due(target, now)).collect();
        let (client, timeout) = (&self.client, self.options.call_timeout);
        let states =
            for_each_limited(due, self.options.max_concurrent_calls, |target| async move {
                let state = match parse_address(&target.address) {
                    Some(address) => engine::fetch_state(client, address, timeout).await.ok(),
                    None => None,
                };
                (target.id.clone(), state)
            });
        for (id, state) in states.await {
            self.remove_completed(&id, state.as_ref());
            let before = self.reports.get(&id).and_then(|report| report.unreachable_since);
            let unreachable_since = match state {
                Some(_) => None,
                None => before.or(Some(now)),
            };
            self.reports.insert(id, Report { state, polled: now, unreachable_since });
        }
    }

    /// Plans and sends orders; returns false if a target has seen a newer owner.
    pub(crate) async fn order(&mut self, spec: &TargetPool, options: &PlanOptions) -> bool {
        let Some(desired) = self.desired else { return true };
        self.lease_was_valid = true;
        let views = self.views(spec);
        let input = PlanInput {
            targets: &views,
            desired,
            sources: &sources(spec),
            pending: &self.pending,
            now: Instant::now(),
        };
        let orders = plan(&input, options);
        let addresses: HashMap<_, _> = active_targets(spec)
            .into_iter()
            .filter_map(|target| Some((target.id.clone(), parse_address(&target.address)?)))
            .collect();
        let since = Instant::now();
        for (id, order) in &orders {
            let pending = PendingOrder { order: order.clone(), since };
            self.pending.insert(id.clone(), pending);
        }
        let this = &*self;
        let results = for_each_limited(orders, this.options.max_concurrent_calls, |(id, order)| {
            let address = addresses.get(&id).copied();
            async move { (id, this.send(address, &order).await) }
        });
        let results = results.await;
        self.handle_results(results)
    }

    /// Logs once that orders stop because the lease cannot be renewed.
    pub(crate) fn report_invalid_lease(&mut self) {
        if std::mem::replace(&mut self.lease_was_valid, false) {
            log::warn!(target: "weight", "lease not renewed in time, no orders pool={}", self.pool);
        }
    }

    /// Writes the status if it changed, at most once in the status interval.
    pub(crate) async fn write_status(&mut self, spec: &TargetPool) {
        let Some(desired) = self.desired else { return };
        let now = Instant::now();
        let status =
            PoolStatus::new(self.vm.clone(), self.token.fencing(), desired, &self.views(spec));
        self.metrics.pool(&self.pool, &status);
        if !is_due(self.status_written, self.options.status_interval, now)
            || self.last_status.as_ref() == Some(&status)
        {
            return;
        }
        self.status_written = Some(now);
        match self.put_status(&status).await {
            Ok(()) => self.last_status = Some(status),
            Err(error) => {
                log::warn!(target: "weight", "status not written pool={} error={error}", self.pool);
            }
        }
    }

    async fn put_status(&self, status: &PoolStatus) -> Result<(), StoreError> {
        let fields =
            serde_json::to_value(status).map_err(|error| StoreError::Decode(error.to_string()))?;
        let Value::Object(fields) = fields else { return Ok(()) };
        let fencing = self.token.fencing();
        let is_newest_owner = |stored: &Map<String, Value>| {
            stored.get("fencing").and_then(Value::as_u64) <= Some(fencing)
        };
        deck_plat::status::merge(
            &self.store,
            Kind::TargetPool,
            &self.pool,
            &fields,
            is_newest_owner,
        )
        .await
        .map(drop)
    }

    async fn poll_version(&mut self, spec: &TargetPool) {
        let now = Instant::now();
        if !is_due(self.version_polled, self.options.version_poll_interval, now) {
            return;
        }
        let (Some(model), Some(address)) =
            (&spec.model, spec.weight_store_address.as_deref().and_then(parse_address))
        else {
            return;
        };
        self.version_polled = Some(now);
        let timeout = self.options.call_timeout;
        match source::latest_version(&self.client, address, model, timeout).await {
            Ok(version) => self.desired = self.desired.max(version),
            Err(error) => {
                log::warn!(target: "weight", "version not read pool={} error={error}", self.pool);
            }
        }
    }

    fn is_poll_due(&self, target: &Target, now: Instant) -> bool {
        let report = self.reports.get(&target.id);
        let settled = report
            .and_then(|report| report.state.as_ref())
            .is_some_and(|state| self.desired.is_none_or(|desired| is_settled(state, desired)));
        let interval = if settled && !self.pending.contains_key(&target.id) {
            self.options.settled_poll_interval
        } else {
            self.options.active_poll_interval
        };
        is_due(report.map(|report| report.polled), interval, now)
    }

    /// Sends one order if the lease is still valid at this moment.
    async fn send(&self, address: Option<SocketAddr>, order: &Order) -> Result<(), EngineError> {
        let Some(address) = address.filter(|_| self.token.is_valid()) else {
            return Err(EngineError::Timeout);
        };
        let timeout = self.options.call_timeout;
        let fencing = self.token.fencing();
        let result = engine::send_order(&self.client, address, fencing, order, timeout).await;
        self.metrics.ordered(&self.pool, order, &result);
        result
    }

    fn handle_results(&mut self, results: Vec<(TargetId, Result<(), EngineError>)>) -> bool {
        let mut still_owner = true;
        for (id, result) in results {
            match result {
                Ok(()) => {}
                Err(EngineError::StaleFencing) => {
                    log::warn!(target: "weight", "order refused as stale pool={} target={id}", self.pool);
                    still_owner = false;
                }
                Err(error) => {
                    // The order may have been received; it stays pending until the target's report
                    // shows its effect or the order timeout passes.
                    log::warn!(target: "weight", "order failed pool={} target={id} error={error}", self.pool);
                }
            }
        }
        still_owner
    }

    fn remove_completed(&mut self, id: &str, state: Option<&EngineState>) {
        let Some(state) = state else { return };
        let completed = self.pending.get(id).is_some_and(|pending| match &pending.order {
            Order::Stage { version, .. } => {
                state.staged_version == Some(*version)
                    || state.weight_version >= *version
                    // A failure that the report shows long after the order is that of the order; an
                    // earlier one may be that of the swap before it.
                    || (state.swap_state == SwapState::Failed
                        && pending.since.elapsed() > self.options.active_poll_interval * 2)
            }
            Order::Switch { version } => {
                state.weight_version >= *version || state.swap_state == SwapState::Failed
            }
            Order::Drain => state.role == Role::Drained,
            Order::Serve => state.role == Role::Serving,
        });
        if completed {
            self.pending.remove(id);
        }
    }

    fn views(&self, spec: &TargetPool) -> Vec<TargetView> {
        let view = |target: &Target| {
            let report = self.reports.get(&target.id);
            TargetView {
                id: target.id.clone(),
                state: report.and_then(|report| report.state.clone()),
                unreachable_since: report.and_then(|report| report.unreachable_since),
            }
        };
        active_targets(spec).into_iter().map(view).collect()
    }
}

fn active_targets(spec: &TargetPool) -> Vec<&Target> {
    spec.targets.iter().filter(|target| target.state == TargetState::Active).collect()
}

fn sources(spec: &TargetPool) -> Vec<SocketAddr> {
    let store = spec.weight_store_address.as_deref();
    let relays = spec.weight_relays.iter().map(String::as_str);
    store.into_iter().chain(relays).filter_map(parse_address).collect()
}
