//! Startup of all components and graceful shutdown.

use std::{rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_daemon::{listen, max_client_connections};
use deck_net::{Client, ServerOptions, admin, runtime};
use deck_obs::metrics::Metrics;
use deck_peer::local::LocalStateClient;
use deck_plat::Store;
use deck_weight::{
    metrics::WeightMetrics,
    owner::{WeightUpdateManager, WeightUpdateOptions},
    relay::WeightRelay,
};

use deckweight::settings::{RelaySettings, Settings};

/// Maximum number of connections of engines that fetch weights.
const MAX_ENGINE_CONNECTIONS: usize = 10_000;

/// Updates the weights of the pools that this VM owns until a stop signal, then releases the
/// leases.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let stop = runtime::stop_token()?;
    let shutdown = CancellationToken::new();
    let readiness = admin::Readiness::new("no configuration yet");
    let client = Client::default();
    let store = Store::new(client.clone(), settings.object_api, settings.object_api_timeout);
    let metrics = Metrics::default();
    start_admin(&settings, &metrics, &readiness, &shutdown)?;
    if let Some(relay_settings) = settings.relay_settings {
        start_relay(relay_settings, &client, &shutdown)?;
    }

    let local_state =
        LocalStateClient::connect(client.clone(), settings.entry_local, shutdown.clone());
    if stop.run_until_cancelled(local_state.config().wait_synced()).await.is_none() {
        return Ok(());
    }
    readiness.set_ready();
    log::info!(target: "deckweight", "ready vm={}", settings.vm.id);
    let options = WeightUpdateOptions {
        vm: settings.vm.id,
        lease_options: settings.lease,
        planner: settings.planner_options,
        pool_update: settings.pool_update_options,
    };
    let config = local_state.config();
    let members = Rc::new(move || local_state.members());
    let metrics = WeightMetrics::new(&metrics);
    let update_manager = WeightUpdateManager::new(client, store, config, members, options, metrics);
    update_manager.run(stop).await;
    readiness.set_not_ready("stopping");
    log::info!(target: "deckweight", "stopped, leases released");
    shutdown.cancel();
    Ok(())
}

fn start_admin(
    settings: &Settings,
    metrics: &Metrics,
    readiness: &admin::Readiness,
    shutdown: &CancellationToken,
) -> std::io::Result<()> {
    let listener = listen("admin", settings.admin.address)?;
    monoio::spawn(admin::serve(listener, metrics.clone(), readiness.clone(), shutdown.clone()));
    Ok(())
}

fn start_relay(
    settings: RelaySettings,
    client: &Client,
    shutdown: &CancellationToken,
) -> std::io::Result<()> {
    let relay = WeightRelay::try_new(settings.options, client.clone())?;
    let listener = listen("weights", settings.address)?;
    let server_options = ServerOptions {
        max_connections: max_client_connections(MAX_ENGINE_CONNECTIONS),
        replaces_least_progress: true,
        head_timeout: Duration::from_secs(10),
        ..ServerOptions::default()
    };
    let handler = move |request| {
        let relay = relay.clone();
        async move { relay.respond(request).await }
    };
    monoio::spawn(deck_net::serve(listener, server_options, shutdown.clone(), handler));
    Ok(())
}
