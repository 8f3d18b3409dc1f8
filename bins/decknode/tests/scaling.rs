//! Orders of a number of targets by the holder of the leader's lease, against an API on the loopback.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{
    CallerLimits, Configuration, Duty, DutyApiSettings, EngineRegistry, FleetView, ScalingConfig,
    ServiceConfig, Target, TargetState,
};
use deck_net::{
    Client, ServerOptions, bind,
    http::StatusCode,
    server::{empty_response, read_body},
};
use deck_plat::{AcquireResult, LeaseCandidate, LeaseOptions, LeaseToken};
use deck_platform::PlatformWire;
use deck_route::{Router, RouterOptions};
use deck_scale::PlannerOptions;
use deck_testkit::{eventually, memory::MemoryObjects};
use decknode::{metrics::NodeMetrics, scaling::TargetScaler};
use serde_json::{Value, json};

/// Time in which an order would have been sent.
const QUIET_TIME: Duration = Duration::from_millis(1200);

/// Returns a view of a service with one target in a data centre whose minimum is two.
fn view() -> FleetView {
    let view = FleetView::new(Router::new(RouterOptions::default()));
    let scaling = ScalingConfig {
        min_targets: 2,
        max_targets: 4,
        boot_time: Duration::from_secs(4),
        spot_price_ratio: None,
        data_centre_prices: HashMap::new(),
    };
    let service = ServiceConfig { name: "s".to_owned(), engine: None, scaling: Some(scaling) };
    view.set_configuration(Configuration::new(1, vec![], vec![service], CallerLimits::default()));
    let target = Target {
        id: "t".to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: None,
        slots: 4,
        models: Vec::new(),
        started_at_ms: 1,
        lifetime: Default::default(),
    };
    view.set_targets(vec![target], Instant::now());
    view
}

/// Body of a call, and the value of the object with the ordered numbers when the call arrived.
type Call = (Value, Option<Value>);

/// An API for duties that records the calls, with what was stored when each arrived.
struct DutyApi {
    scaler: TargetScaler,
    objects: MemoryObjects,
    calls: Rc<RefCell<Vec<Call>>>,
}

impl DutyApi {
    fn start(duties: Vec<Duty>, cancel: &CancellationToken) -> Self {
        let objects = MemoryObjects::default();
        let calls: Rc<RefCell<Vec<Call>>> = Rc::default();
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let (received, store) = (calls.clone(), objects.store());
        let serve = move |request: deck_net::http::Request<_>| {
            let (received, store) = (received.clone(), store.clone());
            async move {
                let body = read_body(request.into_body(), 1024).await.expect("body");
                let stored = store.get("scaling", "s").await.expect("read");
                let call = serde_json::from_slice(&body).expect("JSON");
                received.borrow_mut().push((call, stored.map(|object| object.value)));
                empty_response(StatusCode::OK)
            }
        };
        let options = ServerOptions::default();
        monoio::spawn(deck_net::serve(listener, options, cancel.clone(), serve));
        let scaler = TargetScaler {
            vm: "vm-1".to_owned(),
            duty_api: Some(DutyApiSettings { address, duties, calls_per_s: 50.0 }),
            view: view(),
            engines: EngineRegistry::default(),
            store: objects.store(),
            client: Client::default(),
            protocol: Rc::new(PlatformWire),
            metrics: NodeMetrics::new(),
            on_initial_targets: Rc::new(|_, _| {}),
        };
        Self { scaler, objects, calls }
    }

    async fn lease(&self) -> LeaseToken {
        let options = LeaseOptions { duration: Duration::from_secs(60), ..LeaseOptions::default() };
        let (store, holder) = (self.objects.store(), "vm-1".to_owned());
        let candidate = LeaseCandidate::new(store, "leader", holder, "127.0.0.1:1", options);
        let AcquireResult::Held(held) = candidate.try_acquire().await else {
            panic!("the lease is free");
        };
        held.token()
    }

    fn run(&self, token: LeaseToken, start: Instant, cancel: &CancellationToken) {
        let (scaler, stop) = (self.scaler.clone(), cancel.clone());
        monoio::spawn(async move {
            scaler.run(token, start, PlannerOptions::default(), stop).await;
        });
    }
}

/// Guards against an order whose number the next leader does not know, and against calls that go on
/// once the number is there.
#[test]
fn order_is_sent_once_after_its_number_is_stored() {
    let test = async {
        let cancel = CancellationToken::new();
        let api = DutyApi::start(vec![Duty::Scaling], &cancel);
        let token = api.lease().await;
        api.run(token, Instant::now(), &cancel);
        eventually("an order", async || !api.calls.borrow().is_empty()).await;
        monoio::time::sleep(QUIET_TIME).await;
        let calls = api.calls.borrow().clone();
        assert_eq!(calls.len(), 1, "{calls:?}");
        let (call, stored) = &calls[0];
        assert_eq!(*call, json!({"Service": "s", "Zone": "a", "GroupCount": 2}));
        let stored = stored.as_ref().expect("stored");
        assert_eq!(stored["data_centres"]["a"], json!({"present": 1, "regular": 2, "spot": 0}));
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against an order that the leader sends without a valid lease, too early after another
/// holder, or although the duty is not the system's.
#[test]
fn no_order_without_lease_start_or_duty() {
    let test = async {
        let cancel = CancellationToken::new();
        let without_lease = DutyApi::start(vec![Duty::Scaling], &cancel);
        let token = without_lease.lease().await;
        token.revoke();
        without_lease.run(token, Instant::now(), &cancel);
        let too_early = DutyApi::start(vec![Duty::Scaling], &cancel);
        let token = too_early.lease().await;
        too_early.run(token, Instant::now() + Duration::from_secs(60), &cancel);
        let without_duty = DutyApi::start(vec![Duty::UsageReport], &cancel);
        let token = without_duty.lease().await;
        without_duty.run(token, Instant::now(), &cancel);
        monoio::time::sleep(QUIET_TIME).await;
        for api in [without_lease, too_early, without_duty] {
            assert_eq!(*api.calls.borrow(), []);
        }
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
