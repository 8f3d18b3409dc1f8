//! The running process of `deckweight`.

use std::{rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_daemon::listen;
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

/// Runs the daemon until it is asked to stop.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let stop = runtime::stop_token()?;
    let end = CancellationToken::new();
    let readiness = admin::Readiness::new("no configuration yet");
    let client = Client::default();
    let store = Store::new(client.clone(), settings.object_api, settings.object_api_timeout);
    let metrics = Metrics::default();
    start_admin(&settings, &metrics, &readiness, &end)?;
    if let Some(relay) = settings.relay {
        start_relay(relay, &client, &end)?;
    }

    let view = LocalStateClient::connect(client.clone(), settings.entry, end.clone());
    if stop.run_until_cancelled(view.config().wait_synced()).await.is_none() {
        return Ok(());
    }
    readiness.set_ready();
    log::info!(target: "deckweight", "ready vm={}", settings.vm.id);
    let options = WeightUpdateOptions {
        vm: settings.vm.id,
        lease_options: settings.lease,
        planner: settings.plan,
        pool_update: settings.run,
    };
    let config = view.config();
    let members = Rc::new(move || view.members());
    let metrics = WeightMetrics::new(&metrics);
    let update_manager = WeightUpdateManager::new(client, store, config, members, options, metrics);
    update_manager.run(stop).await;
    readiness.set_not_ready("stopping");
    log::info!(target: "deckweight", "stopped, leases released");
    end.cancel();
    Ok(())
}

fn start_admin(
    settings: &Settings,
    metrics: &Metrics,
    readiness: &admin::Readiness,
    end: &CancellationToken,
) -> std::io::Result<()> {
    let listener = listen("admin", settings.admin.address)?;
    monoio::spawn(admin::serve(listener, metrics.clone(), readiness.clone(), end.clone()));
    Ok(())
}

fn start_relay(
    settings: RelaySettings,
    client: &Client,
    end: &CancellationToken,
) -> std::io::Result<()> {
    let relay = WeightRelay::try_new(settings.options, client.clone())?;
    let listener = listen("weights", settings.address)?;
    let options =
        ServerOptions { head_timeout: Duration::from_secs(10), ..ServerOptions::default() };
    let handler = move |request| {
        let relay = relay.clone();
        async move { relay.respond(request).await }
    };
    monoio::spawn(deck_net::serve(listener, options, end.clone(), handler));
    Ok(())
}
