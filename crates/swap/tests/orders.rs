//! Planning of load orders on a leader that holds a lease in an in-memory object API.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{
    CallerLimits, Configuration, EngineConfig, EngineRegistry, FleetView, ServiceConfig,
};
use deck_net::Client;
use deck_plat::{AcquireResult, LeaseCandidate, LeaseOptions};
use deck_platform::PlatformWire;
use deck_route::{Router, RouterOptions};
use deck_swap::{WeightUpdater, WeightUpdaterOptions};
use deck_testkit::{eventually, memory::MemoryObjects};

/// The leader of a large fleet runs no jobs and receives the targets from a watcher, which sends
/// weight versions only to nodes that request them. A leader that does not request them would never send a load
/// order.
#[test]
fn leader_without_jobs_requests_weight_versions() {
    let test = async {
        let cancel = CancellationToken::new();
        let view = FleetView::new(Router::new(RouterOptions::default()));
        let engine = EngineConfig { slots: 8, tokens_per_event: 1, models: vec!["m".to_owned()] };
        let service = ServiceConfig { name: "s".to_owned(), engine: Some(engine), scaling: None };
        let limits = CallerLimits::default();
        view.set_configuration(Configuration::new(1, vec![], vec![service], limits));
        let weight_updater = WeightUpdater::new(
            "vm-1".to_owned(),
            view.clone(),
            EngineRegistry::default(),
            Client::default(),
            Rc::new(PlatformWire),
            Rc::new(()),
            WeightUpdaterOptions::default(),
        );
        let store = MemoryObjects::default().store();
        let options = LeaseOptions { duration: Duration::from_secs(60), ..LeaseOptions::default() };
        let address = "127.0.0.1:1";
        let candidate = LeaseCandidate::new(store, "leader", "vm-1".to_owned(), address, options);
        let AcquireResult::Held(held) = candidate.try_acquire().await else {
            panic!("the lease is free");
        };
        assert!(!view.needs_versions(Instant::now()));
        let (token, stop) = (held.token(), cancel.clone());
        monoio::spawn(async move { weight_updater.run(token, Instant::now(), stop).await });
        eventually("versions are needed", async || view.needs_versions(Instant::now())).await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
