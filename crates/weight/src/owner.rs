//! Ownership of pools by lease, and the loop that brings their targets to the newest weights.

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
    ownership::{Ownership, supervise},
};
use deck_plat::{HeldLease, LeaseEnd, LeaseOptions, LeaseToken, Store};
use futures_util::{StreamExt, stream};

use crate::{
    metrics::WeightMetrics,
    plan::PlanOptions,
    run::{PoolRun, RunOptions},
};

/// Settings of a weight owner.
#[derive(Debug, Clone, Default)]
pub struct OwnerOptions {
    /// Name of this VM.
    pub vm: VmId,
    /// Settings of the leases.
    pub lease: LeaseOptions,
    /// Settings of the planner; the serving floor comes from the pool.
    pub plan: PlanOptions,
    /// Intervals and time limits.
    pub run: RunOptions,
}

/// Owner of the pools for which this VM holds the lease.
#[derive(Clone)]
pub struct WeightOwner {
    client: Client,
    store: Store,
    config: ConfigView,
    ownership: Ownership,
    options: Rc<OwnerOptions>,
    metrics: WeightMetrics,
}

impl WeightOwner {
    /// Returns an owner; `members` returns the members that the local entry knows.
    pub fn new(
        client: Client,
        store: Store,
        config: ConfigView,
        members: Rc<dyn Fn() -> Vec<Member>>,
        options: OwnerOptions,
        metrics: WeightMetrics,
    ) -> Self {
        let ownership = Ownership {
            store: store.clone(),
            members,
            vm: options.vm.clone(),
            address: String::new(),
            prefix: "pool",
            lease: options.lease.clone(),
        };
        Self { client, store, config, ownership, options: Rc::new(options), metrics }
    }

    /// Runs until `cancel` is cancelled, then releases all leases.
    pub async fn run(self, cancel: CancellationToken) {
        let start = |pool, cancel| self.clone().run_pool(pool, cancel);
        supervise(&self.config, &cancel, followed_pools, start).await;
    }

    async fn run_pool(self, pool: PoolName, cancel: CancellationToken) {
        let own = async |held| self.own(&pool, held, &cancel).await;
        self.ownership.contend(&pool, &cancel, own, |_| {}).await;
    }

    /// Brings the pool's targets to the newest weights while the lease is held.
    async fn own(&self, pool: &str, held: HeldLease, cancel: &CancellationToken) -> LeaseEnd {
        let token = held.token();
        log::info!(target: "weight", "lease acquired pool={pool} fencing={}", token.fencing());
        let stop = cancel.child_token();
        let keeper = monoio::spawn(held.renew_until_cancelled(stop.clone()));
        let mut run = PoolRun::new(
            pool,
            self.client.clone(),
            self.store.clone(),
            self.options.vm.clone(),
            token.clone(),
            self.options.run.clone(),
            self.metrics.clone(),
        );
        while !stop.is_cancelled() {
            let round = self.round(pool, &mut run, &token);
            futures_util::select_biased! {
                () = Box::pin(futures_util::FutureExt::fuse(token.ended())) => break,
                still_owner = Box::pin(futures_util::FutureExt::fuse(round)) => {
                    if !still_owner {
                        // A target has seen a higher fencing number: another VM owns the pool.
                        stop.cancel();
                    }
                }
            }
            stop.run_until_cancelled(monoio::time::sleep(self.options.run.round_interval)).await;
        }
        let kept = keeper.await;
        log::info!(target: "weight", "lease ended pool={pool} fencing={}", token.fencing());
        kept
    }

    /// Runs one round; returns false if a target has seen a newer owner.
    async fn round(&self, pool: &str, run: &mut PoolRun, token: &LeaseToken) -> bool {
        let Some((_, spec)) = self.config.pool(pool) else { return true };
        let plan = PlanOptions {
            serving_floor_percent: spec.serving_floor_percent,
            ..self.options.plan.clone()
        };
        run.observe(&spec).await;
        if !token.is_valid() {
            run.report_invalid_lease();
            return true;
        }
        let still_owner = run.order(&spec, &plan).await;
        run.write_status(&spec).await;
        still_owner
    }
}

fn followed_pools(config: &ConfigView) -> Vec<PoolName> {
    let pools = config.pools().into_iter();
    pools.filter(|(_, _, pool)| follows_weights(pool)).map(|(name, _, _)| name).collect()
}

/// Returns whether a pool's engines follow a weight store.
pub fn follows_weights(pool: &TargetPool) -> bool {
    pool.pool_type == PoolType::Engine && pool.weight_store_address.is_some()
}

/// Runs `work` for all `items` with at most `limit` at a time.
pub(crate) async fn for_each_limited<T, R, F: Future<Output = (TargetId, R)>>(
    items: impl IntoIterator<Item = T>,
    limit: usize,
    work: impl Fn(T) -> F,
) -> Vec<(TargetId, R)> {
    stream::iter(items).map(work).buffer_unordered(limit).collect().await
}

/// Returns whether `interval` has passed since `last`, or there was no `last`.
pub(crate) fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}

/// Returns the address of a text that the object schema has checked.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
