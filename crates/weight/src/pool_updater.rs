//! Weight update of one pool while this VM owns it.

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
    engine::{self, EngineError, EngineRole, EngineState, SwapState},
    metrics::WeightMetrics,
    owner::{is_interval_elapsed, parse_address, run_concurrently},
    planner::{
        EngineOrder, ObservedTarget, PendingOrder, PlannerOptions, PlanningInput, is_settled,
        plan_orders,
    },
    status::PoolStatus,
    weight_store,
};

/// Intervals and timeouts of the weight update.
#[derive(Debug, Clone)]
pub struct PoolUpdateOptions {
    /// Time between planning rounds.
    pub round_interval: Duration,
    /// Poll interval of a target that serves the desired version and has no pending order.
    pub settled_poll_interval: Duration,
    /// Poll interval of a target that is being updated.
    pub active_poll_interval: Duration,
    /// Time between requests for the newest version in the weight store.
    pub version_poll_interval: Duration,
    /// Minimum time between two writes of the pool's status.
    pub status_interval: Duration,
    /// Timeout of one request to a target or the weight store.
    pub call_timeout: Duration,
    /// Maximum number of concurrent requests to targets.
    pub max_concurrent_calls: usize,
}

impl Default for PoolUpdateOptions {
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

/// Polls the targets of one pool, sends them orders and writes the pool's status while this VM owns
/// the pool.
pub(crate) struct PoolUpdater {
    pool: PoolName,
    client: Client,
    store: Store,
    vm: VmId,
    lease_token: LeaseToken,
    options: PoolUpdateOptions,
    /// Newest version seen in the weight store. Invariant: never decreases.
    desired_version: Option<WeightVersion>,
    /// Time of the last request for the newest version.
    version_polled_at: Option<Instant>,
    reports: HashMap<TargetId, TargetReport>,
    /// Orders whose effect has not been reported yet, by target.
    pending_orders: HashMap<TargetId, PendingOrder>,
    /// Time of the last attempt to write the status.
    status_written_at: Option<Instant>,
    last_status: Option<PoolStatus>,
    /// Whether orders were planned since the last warning about an invalid lease, so that each loss
    /// of the lease is logged once.
    lease_was_valid: bool,
    metrics: WeightMetrics,
}

/// Result of the latest poll of a target; `state` is `None` if it did not respond.
struct TargetReport {
    state: Option<EngineState>,
    polled_at: Instant,
    unreachable_since: Option<Instant>,
}

impl PoolUpdater {
    pub(crate) fn new(
        pool: &str,
        client: Client,
        store: Store,
        vm: VmId,
        lease_token: LeaseToken,
        options: PoolUpdateOptions,
        metrics: WeightMetrics,
    ) -> Self {
        Self {
            pool: pool.to_owned(),
            client,
            store,
            vm,
            lease_token,
            options,
            desired_version: None,
            version_polled_at: None,
            reports: HashMap::new(),
            pending_orders: HashMap::new(),
            status_written_at: None,
            last_status: None,
            lease_was_valid: true,
            metrics,
        }
    }

    /// Polls the weight store for the newest version, and the targets whose poll interval has
    /// passed.
    pub(crate) async fn poll(&mut self, spec: &TargetPool) {
        self.poll_latest_version(spec).await;
        let targets = active_targets(spec);
        let known_ids: HashSet<_> = targets.iter().map(|target| target.id.as_str()).collect();
        self.reports.retain(|id, _| known_ids.contains(id.as_str()));
        self.pending_orders.retain(|id, _| known_ids.contains(id.as_str()));
        let now = Instant::now();
        let due_targets: Vec<_> =
            targets.into_iter().filter(|target| self.is_poll_due(target, now)).collect();
        let (client, timeout) = (&self.client, self.options.call_timeout);
        let state_requests =
            run_concurrently(due_targets, self.options.max_concurrent_calls, |target| async move {
                let state = match parse_address(&target.address) {
                    Some(address) => engine::fetch_state(client, address, timeout).await.ok(),
                    None => None,
                };
                (target.id.clone(), state)
            });
        for (id, state) in state_requests.await {
            self.clear_completed_order(&id, state.as_ref());
            let previous_unreachable_since =
                self.reports.get(&id).and_then(|report| report.unreachable_since);
            let unreachable_since = match state {
                Some(_) => None,
                None => previous_unreachable_since.or(Some(now)),
            };
            self.reports.insert(id, TargetReport { state, polled_at: now, unreachable_since });
        }
    }

    /// Plans and sends orders. Returns false if a target has seen a higher fencing number, which
    /// means that another VM owns the pool.
    pub(crate) async fn send_planned_orders(
        &mut self,
        spec: &TargetPool,
        options: &PlannerOptions,
    ) -> bool {
        let Some(desired_version) = self.desired_version else { return true };
        self.lease_was_valid = true;
        let observed_targets = self.observed_targets(spec);
        let planning_input = PlanningInput {
            targets: &observed_targets,
            desired_version,
            sources: &weight_sources(spec),
            pending_orders: &self.pending_orders,
            now: Instant::now(),
        };
        let orders = plan_orders(&planning_input, options);
        let addresses: HashMap<_, _> = active_targets(spec)
            .into_iter()
            .filter_map(|target| Some((target.id.clone(), parse_address(&target.address)?)))
            .collect();
        let sent_at = Instant::now();
        for (id, order) in &orders {
            let pending = PendingOrder { order: order.clone(), sent_at };
            self.pending_orders.insert(id.clone(), pending);
        }
        let updater = &*self;
        let results =
            run_concurrently(orders, updater.options.max_concurrent_calls, |(id, order)| {
                let address = addresses.get(&id).copied();
                async move { (id, updater.send_order(address, &order).await) }
            });
        let results = results.await;
        self.handle_order_results(results)
    }

    /// Logs that no orders are sent because the lease is not valid, once until orders are sent
    /// again.
    pub(crate) fn warn_invalid_lease(&mut self) {
        if std::mem::replace(&mut self.lease_was_valid, false) {
            log::warn!(target: "weight", "lease not renewed in time, no orders pool={}", self.pool);
        }
    }

    /// Writes the status if it changed and the status interval has passed since the last attempt.
    pub(crate) async fn write_status(&mut self, spec: &TargetPool) {
        let Some(desired_version) = self.desired_version else { return };
        let now = Instant::now();
        let status = PoolStatus::new(
            self.vm.clone(),
            self.lease_token.fencing(),
            desired_version,
            &self.observed_targets(spec),
        );
        self.metrics.record_pool_status(&self.pool, &status);
        if !is_interval_elapsed(self.status_written_at, self.options.status_interval, now)
            || self.last_status.as_ref() == Some(&status)
        {
            return;
        }
        self.status_written_at = Some(now);
        match self.put_status(&status).await {
            Ok(()) => self.last_status = Some(status),
            Err(error) => {
                log::warn!(target: "weight", "pool status not written pool={} error={error}", self.pool);
            }
        }
    }

    /// Merges the status into the stored object unless a newer owner has written it.
    async fn put_status(&self, status: &PoolStatus) -> Result<(), StoreError> {
        let fields =
            serde_json::to_value(status).map_err(|error| StoreError::Decode(error.to_string()))?;
        let Value::Object(fields) = fields else { return Ok(()) };
        let fencing = self.lease_token.fencing();
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

    /// Requests the newest version from the weight store if its poll interval has passed.
    async fn poll_latest_version(&mut self, spec: &TargetPool) {
        let now = Instant::now();
        if !is_interval_elapsed(self.version_polled_at, self.options.version_poll_interval, now) {
            return;
        }
        let (Some(model), Some(address)) =
            (&spec.model, spec.weight_store_address.as_deref().and_then(parse_address))
        else {
            return;
        };
        self.version_polled_at = Some(now);
        let timeout = self.options.call_timeout;
        match weight_store::fetch_latest_version(&self.client, address, model, timeout).await {
            Ok(version) => self.desired_version = self.desired_version.max(version),
            Err(error) => {
                log::warn!(target: "weight", "newest version not read pool={} error={error}", self.pool);
            }
        }
    }

    /// Returns whether the poll interval of a target has passed. Settled targets are polled less
    /// often.
    fn is_poll_due(&self, target: &Target, now: Instant) -> bool {
        let report = self.reports.get(&target.id);
        let settled = report.and_then(|report| report.state.as_ref()).is_some_and(|state| {
            self.desired_version.is_none_or(|desired_version| is_settled(state, desired_version))
        });
        let interval = if settled && !self.pending_orders.contains_key(&target.id) {
            self.options.settled_poll_interval
        } else {
            self.options.active_poll_interval
        };
        is_interval_elapsed(report.map(|report| report.polled_at), interval, now)
    }

    /// Sends one order, provided that the lease is still valid immediately before sending.
    async fn send_order(
        &self,
        address: Option<SocketAddr>,
        order: &EngineOrder,
    ) -> Result<(), EngineError> {
        let Some(address) = address.filter(|_| self.lease_token.is_valid()) else {
            return Err(EngineError::Timeout);
        };
        let timeout = self.options.call_timeout;
        let fencing = self.lease_token.fencing();
        let result = engine::send_order(&self.client, address, fencing, order, timeout).await;
        self.metrics.record_order(&self.pool, order, &result);
        result
    }

    /// Logs failed orders. Returns false if a target refused the fencing number as stale.
    fn handle_order_results(&mut self, results: Vec<(TargetId, Result<(), EngineError>)>) -> bool {
        let mut still_owner = true;
        for (id, result) in results {
            match result {
                Ok(()) => {}
                Err(EngineError::StaleFencing) => {
                    log::warn!(target: "weight", "order refused as stale pool={} target={id}", self.pool);
                    still_owner = false;
                }
                Err(error) => {
                    // The target may have received the order. It stays pending until the target's
                    // report shows its effect or the order timeout passes.
                    log::warn!(target: "weight", "order failed pool={} target={id} error={error}", self.pool);
                }
            }
        }
        still_owner
    }

    /// Removes the pending order of a target if its reported state shows the effect or a failure.
    fn clear_completed_order(&mut self, id: &str, state: Option<&EngineState>) {
        let Some(state) = state else { return };
        let is_completed =
            self.pending_orders.get(id).is_some_and(|pending| match &pending.order {
                EngineOrder::Stage { version, .. } => {
                    state.staged_version == Some(*version)
                    || state.weight_version >= *version
                    // A failure reported long after the order was sent belongs to that order; a
                    // failure reported earlier may be left over from the previous load or switch.
                    || (state.swap_state == SwapState::Failed
                        && pending.sent_at.elapsed() > self.options.active_poll_interval * 2)
                }
                EngineOrder::Switch { version } => {
                    state.weight_version >= *version || state.swap_state == SwapState::Failed
                }
                EngineOrder::Drain => state.role == EngineRole::Drained,
                EngineOrder::Serve => state.role == EngineRole::Serving,
            });
        if is_completed {
            self.pending_orders.remove(id);
        }
    }

    fn observed_targets(&self, spec: &TargetPool) -> Vec<ObservedTarget> {
        let observed = |target: &Target| {
            let report = self.reports.get(&target.id);
            ObservedTarget {
                id: target.id.clone(),
                state: report.and_then(|report| report.state.clone()),
                unreachable_since: report.and_then(|report| report.unreachable_since),
            }
        };
        active_targets(spec).into_iter().map(observed).collect()
    }
}

/// Returns the targets of the pool that are not leaving.
fn active_targets(spec: &TargetPool) -> Vec<&Target> {
    spec.targets.iter().filter(|target| target.state == TargetState::Active).collect()
}

/// Returns the addresses of the weight store and the relays, in this order.
fn weight_sources(spec: &TargetPool) -> Vec<SocketAddr> {
    let store = spec.weight_store_address.as_deref();
    let relays = spec.weight_relays.iter().map(String::as_str);
    store.into_iter().chain(relays).filter_map(parse_address).collect()
}
