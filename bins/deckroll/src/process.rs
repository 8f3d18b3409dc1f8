//! Startup of all components and graceful shutdown.

use std::{net::SocketAddr, rc::Rc};

use deck_core::CancellationToken;
use deck_daemon::{listen, max_client_connections};
use deck_net::{Client, ClientOptions, ServerOptions, admin, runtime};
use deck_obs::metrics::Metrics;
use deck_peer::local::LocalStateClient;
use deck_plat::Store;
use deck_roll::{
    RolloutJobManager, RolloutOptions, job::JobDependencies, metrics::RolloutMetrics, trainer_api,
};

use deckroll::settings::Settings;

/// Maximum number of connections of trainers.
const MAX_TRAINER_CONNECTIONS: usize = 2000;

/// Runs rollout jobs until a stop signal, then shuts down gracefully.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let stop = runtime::stop_token()?;
    let shutdown = CancellationToken::new();
    let readiness = admin::Readiness::new("no configuration yet");
    let metrics = Metrics::default();
    let trainer_listener = listen("trainer", settings.trainer_address)?;
    let admin_listener = listen("admin", settings.admin.address)?;
    monoio::spawn(admin::serve(
        admin_listener,
        metrics.clone(),
        readiness.clone(),
        shutdown.clone(),
    ));

    let advertised_address =
        settings.advertised_address.map_or_else(|| trainer_listener.local_addr(), Ok)?;
    let client = Client::new(ClientOptions {
        // Enough idle connections for all concurrent generations of one job.
        max_idle_per_address: settings.concurrency.max_limit as usize,
        ..ClientOptions::default()
    });
    let local_state =
        LocalStateClient::connect(client.clone(), settings.entry_local, shutdown.clone());
    let dependencies = JobDependencies {
        store: Store::new(client.clone(), settings.object_api, settings.object_api_timeout),
        client,
        config: local_state.config(),
        metrics: RolloutMetrics::new(&metrics),
        options: Rc::new(rollout_options(&settings, advertised_address)),
    };
    let config = local_state.config();
    let job_manager = RolloutJobManager::new(dependencies, Rc::new(move || local_state.members()));
    let drain = CancellationToken::new();
    let server_options = ServerOptions {
        max_connections: max_client_connections(MAX_TRAINER_CONNECTIONS),
        replaces_least_progress: true,
        ..ServerOptions::default()
    };
    let trainer_server = monoio::spawn(trainer_api::serve_trainers(
        trainer_listener,
        server_options,
        job_manager.clone(),
        drain.clone(),
    ));
    if stop.run_until_cancelled(config.wait_synced()).await.is_none() {
        return Ok(());
    }
    let release_leases = CancellationToken::new();
    let job_task = monoio::spawn(job_manager.run(release_leases.clone()));
    readiness.set_ready();
    log::info!(target: "deckroll", "ready vm={}", settings.vm.id);

    stop.cancelled().await;
    readiness.set_not_ready("stopping");
    // Pulls in flight are answered before the leases are released, so that no response is lost when
    // the owner changes.
    drain.cancel();
    trainer_server.await;
    release_leases.cancel();
    job_task.await;
    shutdown.cancel();
    log::info!(target: "deckroll", "stopped, leases released");
    Ok(())
}

fn rollout_options(settings: &Settings, address: SocketAddr) -> RolloutOptions {
    RolloutOptions {
        lease_options: settings.lease.clone(),
        scheduler: settings.scheduler.clone(),
        generation: settings.generation.clone(),
        concurrency: settings.concurrency.clone(),
        pull: settings.pull.clone(),
        score_timeout: settings.score_timeout,
        status_interval: settings.status_interval,
        ..RolloutOptions::new(settings.vm.id.clone(), address, settings.entry_caller)
    }
}
