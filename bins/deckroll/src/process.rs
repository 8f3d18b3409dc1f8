//! Life of the process: start of all parts and graceful shutdown.

use std::{net::SocketAddr, rc::Rc};

use deck_core::CancellationToken;
use deck_daemon::listen;
use deck_net::{Client, ClientOptions, ServerOptions, admin, runtime};
use deck_obs::metrics::Metrics;
use deck_peer::local::LocalStateClient;
use deck_plat::Store;
use deck_roll::{
    RolloutJobManager, RolloutOptions, job::JobDependencies, metrics::RolloutMetrics, trainer_api,
};

use deckroll::settings::Settings;

/// Runs the process until a stop signal.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let stop = runtime::stop_token()?;
    let end = CancellationToken::new();
    let readiness = admin::Readiness::new("no configuration yet");
    let metrics = Metrics::default();
    let trainer = listen("trainer", settings.trainer)?;
    let admin_listener = listen("admin", settings.admin.address)?;
    monoio::spawn(admin::serve(admin_listener, metrics.clone(), readiness.clone(), end.clone()));

    let advertised = settings.advertised.map_or_else(|| trainer.local_addr(), Ok)?;
    let client = Client::new(ClientOptions {
        // One connection for each generation in flight.
        max_idle_per_address: settings.window.max_limit as usize,
        ..ClientOptions::default()
    });
    let view = LocalStateClient::connect(client.clone(), settings.local, end.clone());
    let dependencies = JobDependencies {
        store: Store::new(client.clone(), settings.object_api, settings.object_api_timeout),
        client,
        config: view.config(),
        metrics: RolloutMetrics::new(&metrics),
        options: Rc::new(options(&settings, advertised)),
    };
    let config = view.config();
    let job_manager = RolloutJobManager::new(dependencies, Rc::new(move || view.members()));
    let drain = CancellationToken::new();
    let server = ServerOptions { max_connections: 2000, ..ServerOptions::default() };
    let served = monoio::spawn(trainer_api::serve_trainers(
        trainer,
        server,
        job_manager.clone(),
        drain.clone(),
    ));
    if stop.run_until_cancelled(config.wait_synced()).await.is_none() {
        return Ok(());
    }
    let release = CancellationToken::new();
    let owned = monoio::spawn(job_manager.run(release.clone()));
    readiness.set_ready();
    log::info!(target: "deckroll", "ready vm={}", settings.vm.id);

    stop.cancelled().await;
    readiness.set_not_ready("stopping");
    // Pulls in flight are answered before the leases are released, so that no answer is lost with
    // its owner.
    drain.cancel();
    served.await;
    release.cancel();
    owned.await;
    end.cancel();
    log::info!(target: "deckroll", "stopped, leases released");
    Ok(())
}

fn options(settings: &Settings, address: SocketAddr) -> RolloutOptions {
    RolloutOptions {
        lease_options: settings.lease.clone(),
        scheduler: settings.board.clone(),
        generation: settings.attempt.clone(),
        concurrency: settings.window.clone(),
        pull: settings.pull.clone(),
        score_timeout: settings.score_timeout,
        status_interval: settings.status_interval,
        ..RolloutOptions::new(settings.vm.id.clone(), address, settings.entry)
    }
}
