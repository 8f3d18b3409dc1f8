//! The leader's task that orders targets of the services whose number can be chosen. `deck-scale`
//! decides; this module collects its inputs, stores what the next leader needs, and sends the orders.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, id::PoolName, id::Revision};
use deck_fleet::{
    Duty, DutyApiSettings, EngineRegistry, FleetView, PlatformProtocol, ScalingOrder, ScalingReply,
    ServiceConfig, TargetState,
};
use deck_net::{Body, Client};
use deck_plat::{LeaseToken, Precondition, Store, StoreError};
use deck_scale::{
    Outcome, PlannedOrder, Planner, PlannerOptions, ServiceRecord, ServiceSnapshot, SpotKind,
    TargetSnapshot,
};

use crate::metrics::NodeMetrics;

/// Kind of the objects with the numbers ordered for each service.
const SCALING_OBJECT_KIND: &str = "scaling";
/// Interval at which the need of the services is evaluated.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a call. With the time that the lease remains valid after its check it stays below the
/// time after which the next leader acts.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of the response to an order.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Part of the permitted calls that this duty uses.
const CALL_RATE_FRACTION: f64 = 0.2;
/// Multiple of the lease duration for which a refused subject waits, where a refusal may mean that a
/// newer leader exists.
const REFUSAL_LEASES: f64 = 1.5;

/// Orders targets while this node holds the leader's lease.
#[derive(Clone)]
pub struct TargetScaler {
    /// Name of this VM, as the holder of the duty.
    pub vm: String,
    /// API for duties; `None` if there is none.
    pub duty_api: Option<DutyApiSettings>,
    /// Configuration and targets as known to this node.
    pub view: FleetView,
    /// Demand of the models and speed of the engines, as known to this node.
    pub engines: EngineRegistry,
    /// Client of the object API.
    pub store: Store,
    /// HTTP client for the API for duties.
    pub client: Client,
    /// Encodes the orders.
    pub protocol: Rc<dyn PlatformProtocol>,
    /// Counts the orders.
    pub metrics: NodeMetrics,
    /// Callback for the number of targets that a service had before more were ordered.
    pub on_initial_targets: Rc<dyn Fn(PoolName, usize)>,
}

/// A service whose targets this leader orders.
struct ScaledService {
    planner: Planner,
    /// Record as stored last, with its revision; `None` before the first order.
    stored: Option<(ServiceRecord, Revision)>,
}

impl TargetScaler {
    /// Orders targets until `cancel` is cancelled or the lease has ended; no order is sent before
    /// `start`, the time after which calls of the previous lease holder can no longer arrive.
    pub async fn run(
        &self,
        token: LeaseToken,
        start: Instant,
        options: PlannerOptions,
        cancel: CancellationToken,
    ) {
        let Some(api) = self.duty_api.clone() else { return };
        if !api.duties.contains(&Duty::Scaling) {
            return;
        }
        let call_interval = 1.0 / (api.calls_per_s * CALL_RATE_FRACTION).max(0.1);
        let call_interval = Duration::from_secs_f64(call_interval);
        let mut services: BTreeMap<PoolName, ScaledService> = BTreeMap::new();
        while !cancel.is_cancelled() {
            let mut pause = DECISION_INTERVAL;
            for config in self.scaled_services() {
                let Some(service) = self.service(&mut services, &config, options.clone()).await
                else {
                    continue;
                };
                let now = Instant::now();
                let snapshot = self.snapshot(&config, now);
                let order = service.planner.next_order(&snapshot, now);
                let initial = service.planner.total_present() as usize;
                if initial > 0 {
                    (self.on_initial_targets)(config.name.clone(), initial);
                }
                if let Some(order) = order.filter(|_| now >= start && token.is_valid()) {
                    self.place(&api, &config, service, &order, &token).await;
                    pause = call_interval;
                }
            }
            if cancel.run_until_cancelled(monoio::time::sleep(pause)).await.is_none() {
                return;
            }
        }
    }

    /// Returns the services whose number of targets can be chosen.
    fn scaled_services(&self) -> Vec<ServiceConfig> {
        let Some(configuration) = self.view.configuration() else { return Vec::new() };
        let services = configuration.services.values();
        services.filter(|service| service.scaling.is_some()).cloned().collect()
    }

    /// Returns the state of a service, which is read from the object API the first time; `None` if
    /// it cannot be read now.
    async fn service<'a>(
        &self,
        services: &'a mut BTreeMap<PoolName, ScaledService>,
        config: &ServiceConfig,
        options: PlannerOptions,
    ) -> Option<&'a mut ScaledService> {
        if !services.contains_key(&config.name) {
            let object = match self.store.get(SCALING_OBJECT_KIND, &config.name).await {
                Ok(object) => object,
                Err(error) => {
                    log::info!(target: "scale", "reading the ordered numbers failed service={} error={error}", config.name);
                    return None;
                }
            };
            let record = object.as_ref().and_then(|object| {
                match serde_json::from_value::<ServiceRecord>(object.value.clone()) {
                    Ok(record) => Some(record),
                    Err(error) => {
                        log::warn!(target: "scale", "ordered numbers are unreadable service={} error={error}", config.name);
                        None
                    }
                }
            });
            let boot_time = config.scaling.as_ref().map(|scaling| scaling.boot_time);
            let planner = Planner::new(
                options,
                record.as_ref(),
                boot_time.unwrap_or_default(),
                Instant::now(),
            );
            let stored = object.map(|object| (record.unwrap_or_default(), object.revision));
            services.insert(config.name.clone(), ScaledService { planner, stored });
        }
        services.get_mut(&config.name)
    }

    /// Returns the inputs of the decision.
    fn snapshot(&self, config: &ServiceConfig, now: Instant) -> ServiceSnapshot {
        let targets = self.view.targets_of(&config.name);
        let target = |target: &Rc<deck_fleet::Target>| {
            let load = self.engines.total_load(target, now);
            TargetSnapshot {
                data_centre: target.data_centre.clone(),
                is_ready: target.state == TargetState::Ready && target.lifetime.leaves_ms.is_none(),
                is_spot: target.lifetime.is_spot,
                event_ms: load.recent_event_ms,
                active_runs: load.active_runs,
            }
        };
        let models = config.engine.iter().flat_map(|engine| &engine.models);
        ServiceSnapshot {
            scaling: config.scaling.clone().unwrap_or(deck_fleet::ScalingConfig {
                min_targets: 0,
                max_targets: 0,
                boot_time: Duration::ZERO,
                spot_price_ratio: None,
                data_centre_prices: HashMap::new(),
            }),
            slots: targets.iter().map(|target| target.slots).max().unwrap_or(1),
            demands: models.map(|model| self.engines.demand(model)).collect(),
            targets: targets.iter().map(target).collect(),
        }
    }

    /// Stores the new numbers, sends an order and records its outcome.
    async fn place(
        &self,
        api: &DutyApiSettings,
        config: &ServiceConfig,
        service: &mut ScaledService,
        order: &PlannedOrder,
        token: &LeaseToken,
    ) {
        service.planner.begin(order);
        if let Err(error) = self.store_record(&config.name, service).await {
            log::info!(target: "scale", "storing the ordered numbers failed service={} error={error}", config.name);
            service.planner.cancel(order);
            return;
        }
        // The write took time.
        if !token.is_valid() {
            service.planner.cancel(order);
            return;
        }
        let call = ScalingOrder {
            service: config.name.clone(),
            data_centre: order.subject.data_centre.clone(),
            count: order.count,
            is_spot: order.subject.kind == SpotKind::Spot,
            holder: self.vm.clone(),
            fencing: token.fencing(),
        };
        let request = self.protocol.scaling_request(&call).map(Body::full);
        let response =
            self.client.call(api.address, request, CALL_TIMEOUT, MAX_RESPONSE_BYTES).await;
        let reply =
            response.as_ref().map(|response| self.protocol.decode_scaling_reply(response.status));
        let outcome = match reply {
            Ok(ScalingReply::Accepted) => Outcome::Accepted,
            Ok(ScalingReply::Refused) => Outcome::Refused,
            Ok(ScalingReply::Busy) => Outcome::Busy,
            Ok(ScalingReply::Unknown(_)) | Err(_) => Outcome::Unanswered,
        };
        log::info!(
            target: "scale",
            "order service={} data_centre={} spot={} count={} previous={} reason={} needed={:.1} available={:.1} fencing={} reply={reply:?}",
            call.service, call.data_centre, call.is_spot, order.count, order.previous,
            order.reason.label(), order.needed, order.available, call.fencing
        );
        self.metrics.record_scaling_order(order.reason.label(), outcome.label());
        let boot_time = config.scaling.as_ref().map(|scaling| scaling.boot_time);
        service.planner.end(order, outcome, boot_time.unwrap_or_default(), Instant::now());
    }

    /// Stores what the next leader needs, unless it is stored already.
    async fn store_record(
        &self,
        name: &str,
        service: &mut ScaledService,
    ) -> Result<(), StoreError> {
        let record = service.planner.record();
        if service.stored.as_ref().is_some_and(|(stored, _)| *stored == record) {
            return Ok(());
        }
        let condition = match &service.stored {
            Some((_, revision)) => Precondition::Revision(*revision),
            None => Precondition::Absent,
        };
        let value =
            serde_json::to_value(&record).map_err(|error| StoreError::Decode(error.to_string()))?;
        match self.store.put(SCALING_OBJECT_KIND, name, condition, &value).await {
            Ok(revision) => {
                service.stored = Some((record, revision));
                Ok(())
            }
            Err(error) => {
                // The write may have taken effect, or another leader may have written.
                if let Ok(Some(object)) = self.store.get(SCALING_OBJECT_KIND, name).await {
                    let stored = serde_json::from_value(object.value).unwrap_or_default();
                    service.stored = Some((stored, object.revision));
                }
                Err(error)
            }
        }
    }
}

/// Returns the options of the planner. Where fences are checked, a refusal may mean that a newer
/// leader exists; the next call then follows only if the lease has been renewed since.
pub fn planner_options(fencing_checked: bool, lease: Duration) -> PlannerOptions {
    let min_refusal_backoff =
        if fencing_checked { lease.mul_f64(REFUSAL_LEASES) } else { Duration::ZERO };
    PlannerOptions { min_refusal_backoff, ..PlannerOptions::default() }
}
