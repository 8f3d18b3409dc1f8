//! Ownership of target pools through leases, and the loop that updates their targets to the newest
//! weights.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    CancellationToken,
    id::{PoolName, TargetId, VmId},
    object::{PoolType, TargetPool},
};
use deck_net::Client;
use deck_peer::{
    ConfigView, Member,
    ownership::{LeaseContender, run_task_per_name},
};
use deck_plat::{HeldLease, LeaseEnd, LeaseOptions, LeaseToken, Store};
use futures_util::{StreamExt, stream};

use crate::{
    metrics::WeightMetrics,
    planner::PlannerOptions,
    pool_updater::{PoolUpdateOptions, PoolUpdater},
};

/// Settings of the weight update service.
#[derive(Debug, Clone, Default)]
pub struct WeightUpdateOptions {
    /// Name of this VM.
    pub vm: VmId,
    /// Settings of the pool leases.
    pub lease_options: LeaseOptions,
    /// Settings of the planner. The serving floor is replaced by the one in the pool's
    /// specification.
    pub planner: PlannerOptions,
    /// Poll intervals and timeouts.
    pub pool_update: PoolUpdateOptions,
}

/// Contends for the leases of all pools with a weight store and updates the pools whose lease this
/// VM holds.
#[derive(Clone)]
pub struct WeightUpdateManager {
    client: Client,
    store: Store,
    config: ConfigView,
    lease_contender: LeaseContender,
    options: Rc<WeightUpdateOptions>,
    metrics: WeightMetrics,
}

impl WeightUpdateManager {
    /// Creates the manager. `members` returns the VMs known to `deckentry`, the entry daemon of this
    /// VM; they are ranked to decide which of them contend for a lease.
    pub fn new(
        client: Client,
        store: Store,
        config: ConfigView,
        members: Rc<dyn Fn() -> Vec<Member>>,
        options: WeightUpdateOptions,
        metrics: WeightMetrics,
    ) -> Self {
        let lease_contender = LeaseContender {
            store: store.clone(),
            members,
            vm: options.vm.clone(),
            address: String::new(),
            prefix: "pool",
            lease_options: options.lease_options.clone(),
        };
        Self { client, store, config, lease_contender, options: Rc::new(options), metrics }
    }

    /// Runs until `cancel` is cancelled, then releases all leases.
    pub async fn run(self, cancel: CancellationToken) {
        let start_pool = |pool, cancel| self.clone().run_pool(pool, cancel);
        run_task_per_name(&self.config, &cancel, pools_with_weight_store, start_pool).await;
    }

    async fn run_pool(self, pool: PoolName, cancel: CancellationToken) {
        let run_while_owned =
            async |held_lease| self.run_while_owned(&pool, held_lease, &cancel).await;
        self.lease_contender.contend_for_lease(&pool, &cancel, run_while_owned, |_| {}).await;
    }

    /// Updates the pool's targets to the newest weights for as long as the lease is held.
    async fn run_while_owned(
        &self,
        pool: &str,
        held_lease: HeldLease,
        cancel: &CancellationToken,
    ) -> LeaseEnd {
        let lease_token = held_lease.token();
        log::info!(target: "weight", "lease acquired pool={pool} fencing={}", lease_token.fencing());
        let ownership_ended = cancel.child_token();
        let renewal_task = monoio::spawn(held_lease.renew_until_cancelled(ownership_ended.clone()));
        let mut updater = PoolUpdater::new(
            pool,
            self.client.clone(),
            self.store.clone(),
            self.options.vm.clone(),
            lease_token.clone(),
            self.options.pool_update.clone(),
            self.metrics.clone(),
        );
        while !ownership_ended.is_cancelled() {
            let round = self.run_round(pool, &mut updater, &lease_token);
            futures_util::select_biased! {
                () = Box::pin(futures_util::FutureExt::fuse(lease_token.ended())) => break,
                still_owner = Box::pin(futures_util::FutureExt::fuse(round)) => {
                    if !still_owner {
                        // A target has seen a higher fencing number, so another VM owns the pool.
                        ownership_ended.cancel();
                    }
                }
            }
            ownership_ended
                .run_until_cancelled(monoio::time::sleep(self.options.pool_update.round_interval))
                .await;
        }
        let lease_end = renewal_task.await;
        log::info!(target: "weight", "lease ended pool={pool} fencing={}", lease_token.fencing());
        lease_end
    }

    /// Runs one polling and planning round. Returns false if a target has seen a higher fencing
    /// number.
    async fn run_round(
        &self,
        pool: &str,
        updater: &mut PoolUpdater,
        lease_token: &LeaseToken,
    ) -> bool {
        let Some((_, spec)) = self.config.pool(pool) else { return true };
        let planner_options = PlannerOptions {
            serving_floor_percent: spec.serving_floor_percent,
            ..self.options.planner.clone()
        };
        updater.poll(&spec).await;
        if !lease_token.is_valid() {
            updater.warn_invalid_lease();
            return true;
        }
        let still_owner = updater.send_planned_orders(&spec, &planner_options).await;
        updater.write_status(&spec).await;
        still_owner
    }
}

/// Returns the names of the pools that this service updates.
fn pools_with_weight_store(config: &ConfigView) -> Vec<PoolName> {
    let pools = config.pools().into_iter();
    pools.filter(|(_, _, pool)| uses_weight_store(pool)).map(|(name, _, _)| name).collect()
}

/// Returns whether the engines of a pool get their weights from a weight store.
pub fn uses_weight_store(pool: &TargetPool) -> bool {
    pool.pool_type == PoolType::Engine && pool.weight_store_address.is_some()
}

/// Runs `operation` for all `items`, at most `limit` at a time, and returns the results in
/// completion order.
pub(crate) async fn run_concurrently<T, R, F: Future<Output = (TargetId, R)>>(
    items: impl IntoIterator<Item = T>,
    limit: usize,
    operation: impl Fn(T) -> F,
) -> Vec<(TargetId, R)> {
    stream::iter(items).map(operation).buffer_unordered(limit).collect().await
}

/// Returns whether `interval` has passed since `last`; true if there is no `last`.
pub(crate) fn is_interval_elapsed(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}

/// Parses an address from the specification; the object schema has already validated it.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
