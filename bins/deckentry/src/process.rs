//! Startup of all components and graceful shutdown.

use std::time::Duration;

use deck_call::{CallHandler, CallHandlerDependencies};
use deck_core::{CancellationToken, id::new_incarnation, timer::TimerService};
use deck_daemon::listen;
use deck_limit::{Admission, AdmissionOptions, BudgetOptions, RetryBudget};
use deck_net::{
    Client, ClientOptions,
    admin::{self, Readiness},
    runtime::stop_token,
};
use deck_obs::metrics::Metrics;
use deck_peer::{PeerOptions, PeerService};
use deck_plat::Store;
use deck_route::{Router, RouterOptions};
use monoio::net::TcpListener;

use deckentry::settings::Settings;

/// Maximum age of a demand report of another VM; older ones are ignored. At 330 VMs a report is
/// renewed only every 20 to 25 s (`docs/membership.md`), so a limit near that would ignore healthy
/// VMs.
const REPORT_MAX_AGE: Duration = Duration::from_secs(60);

/// Timeout for sending the announcement that this VM is leaving to its peers.
const LEAVE_ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for writing the final usage counters to the status: two write intervals, because a new
/// writer waits for one interval before its first write, plus the time for the counters to reach
/// it.
const USAGE_PUBLISH_TIMEOUT: Duration = Duration::from_secs(15);
/// Polling interval while the remaining requests finish during shutdown.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Components of the process that shutdown needs.
struct Components {
    peer: PeerService,
    call_handler: CallHandler,
    readiness: Readiness,
    metrics: Metrics,
    /// Cancelled first: responses carry `Connection: close`.
    stopping: CancellationToken,
    /// Cancelled second: the caller listener stops accepting connections.
    drain: CancellationToken,
    /// Cancelled last: all background tasks end.
    cancel: CancellationToken,
}

/// Serves callers until a stop signal, then shuts down gracefully.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let stop = stop_token()?;
    let caller_listener = listen("caller", settings.listen.caller)?;
    let peer_listener = listen("peer", settings.listen.peer)?;
    let local_listener = listen("local", settings.listen.local)?;
    let admin_listener = listen("admin", settings.admin.address)?;

    let components = start_components(&settings, peer_listener);
    let Components { peer, call_handler, readiness, metrics, drain, cancel, .. } = &components;
    let admin_server =
        admin::serve(admin_listener, metrics.clone(), readiness.clone(), cancel.clone());
    monoio::spawn(admin_server);
    monoio::spawn(deck_peer::local::serve_local_state(
        local_listener,
        peer.clone(),
        cancel.clone(),
    ));
    let handler = {
        let call_handler = call_handler.clone();
        move |request| call_handler.handle(request)
    };
    let server_options = settings.limits.server.clone();
    let server_task =
        monoio::spawn(deck_net::serve(caller_listener, server_options, drain.clone(), handler));
    monoio::spawn(set_ready_when_synced(
        peer.clone(),
        readiness.clone(),
        components.stopping.clone(),
    ));
    log::info!(target: "entry", "started vm={}", settings.vm.id);

    stop.cancelled().await;
    shut_down(&settings, &components, server_task).await;
    Ok(())
}

fn start_components(settings: &Settings, peer_listener: TcpListener) -> Components {
    let (stopping, drain, cancel) =
        (CancellationToken::new(), CancellationToken::new(), CancellationToken::new());
    let timers = TimerService::start(cancel.clone());
    let metrics = Metrics::default();
    let incarnation = new_incarnation();
    let platform = &settings.platform;
    let store = Store::new(Client::default(), platform.object_api, platform.object_api_timeout);
    let peer = PeerService::start(
        PeerOptions {
            vm: settings.vm.id.clone(),
            data_centre: settings.vm.data_centre.clone(),
            region: settings.vm.region.clone(),
            advertised_address: settings.listen.peer_advertised,
            incarnation,
            seed_addresses: platform.seeds.clone(),
            metrics: Some(metrics.clone()),
            ..PeerOptions::default()
        },
        peer_listener,
        store.clone(),
        platform.vm_list,
        timers.clone(),
        cancel.clone(),
    );
    let dependencies = CallHandlerDependencies {
        router: Router::new(RouterOptions {
            vm: settings.vm.id.clone(),
            data_centre: settings.vm.data_centre.clone(),
            subset_size: settings.limits.subset_size,
            seed: incarnation,
            ..RouterOptions::default()
        }),
        admission: Admission::new(AdmissionOptions {
            vm: settings.vm.id.clone(),
            max_wait: settings.limits.max_queue_wait,
            report_max_age: REPORT_MAX_AGE,
            ..AdmissionOptions::default()
        }),
        retry_budget: RetryBudget::new(BudgetOptions {
            reserve_attempts: f64::from(settings.limits.retry_reserve),
            ..BudgetOptions::default()
        }),
        client: Client::new(ClientOptions {
            connect_timeout: settings.limits.target_connect_timeout,
            ..ClientOptions::default()
        }),
        peer: peer.clone(),
        store,
        timers,
        metrics: metrics.clone(),
        stopping: stopping.clone(),
    };
    let call_handler =
        CallHandler::start(settings.call_options(incarnation), dependencies, &cancel);
    let readiness = Readiness::new("no configuration yet");
    Components { peer, call_handler, readiness, metrics, stopping, drain, cancel }
}

/// Reports readiness once this VM holds a complete configuration.
async fn set_ready_when_synced(
    peer: PeerService,
    readiness: Readiness,
    stopping: CancellationToken,
) {
    let config = peer.config();
    if stopping.run_until_cancelled(config.wait_synced()).await.is_some() {
        readiness.set_ready();
        log::info!(target: "entry", "ready");
    }
}

/// Shuts down without interrupting requests: withdraws readiness, announces to peers that this VM
/// leaves, keeps accepting connections while the platform's load balancer reacts, then waits for
/// the requests in flight.
async fn shut_down(
    settings: &Settings,
    components: &Components,
    server_task: monoio::task::JoinHandle<()>,
) {
    log::info!(target: "entry", "stopping requests={}", components.call_handler.requests_in_flight());
    components.readiness.set_not_ready("stopping");
    components.stopping.cancel();
    let _ = monoio::time::timeout(LEAVE_ANNOUNCEMENT_TIMEOUT, components.peer.leave()).await;
    monoio::time::sleep(settings.limits.drain_delay).await;
    components.drain.cancel();
    let requests_finished = async {
        server_task.await;
        // Non-idempotent requests keep running after their callers have disconnected.
        while components.call_handler.requests_in_flight() > 0 {
            monoio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    };
    if monoio::time::timeout(settings.limits.drain_timeout, requests_finished).await.is_err() {
        let requests = components.call_handler.requests_in_flight();
        log::warn!(target: "entry", "requests cut at the drain timeout requests={requests}");
    }
    let usage_published = components.call_handler.publish_final_usage();
    if monoio::time::timeout(USAGE_PUBLISH_TIMEOUT, usage_published).await.is_err() {
        log::warn!(target: "entry", "final usage counters not yet written to the status");
    }
    components.cancel.cancel();
    log::info!(target: "entry", "stopped");
}
