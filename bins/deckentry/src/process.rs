//! Life of the process: start of all parts and graceful shutdown.

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

/// Age at which a published demand report no longer counts. At 330 VMs a value is renewed every 20 to
/// 25 s only (`docs/membership.md`), so a bound near that would take healthy VMs for silent ones.
const REPORT_MAX_AGE: Duration = Duration::from_secs(60);

/// Time to hand the announcement that this VM stops to the peer links.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the last usage counters to reach the status: two write periods, because a new writer
/// waits for one before its first write, and time for the counters to reach it.
const USAGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which the end of the last request in flight is checked.
const IDLE_CHECK: Duration = Duration::from_millis(10);

/// Parts of the process while it serves.
struct Running {
    peer: PeerService,
    call_handler: CallHandler,
    readiness: Readiness,
    metrics: Metrics,
    /// Cancelled first: responses ask callers to reconnect.
    stopping: CancellationToken,
    /// Cancelled second: no new connection is accepted.
    drain: CancellationToken,
    /// Cancelled last: everything ends.
    cancel: CancellationToken,
}

/// Runs the process until a stop signal and the end of all requests in flight.
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

    let running = start(&settings, peer_listener);
    let Running { peer, call_handler, readiness, metrics, drain, cancel, .. } = &running;
    let admin = admin::serve(admin_listener, metrics.clone(), readiness.clone(), cancel.clone());
    monoio::spawn(admin);
    monoio::spawn(deck_peer::local::serve_local_state(
        local_listener,
        peer.clone(),
        cancel.clone(),
    ));
    let handler = {
        let call_handler = call_handler.clone();
        move |request| call_handler.handle(request)
    };
    let server = settings.limits.server.clone();
    let served = monoio::spawn(deck_net::serve(caller_listener, server, drain.clone(), handler));
    monoio::spawn(become_ready(peer.clone(), readiness.clone(), running.stopping.clone()));
    log::info!(target: "entry", "started vm={}", settings.vm.id);

    stop.cancelled().await;
    shut_down(&settings, &running, served).await;
    Ok(())
}

fn start(settings: &Settings, peer_listener: TcpListener) -> Running {
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
    Running { peer, call_handler, readiness, metrics, stopping, drain, cancel }
}

async fn become_ready(peer: PeerService, readiness: Readiness, stopping: CancellationToken) {
    let config = peer.config();
    if stopping.run_until_cancelled(config.wait_synced()).await.is_some() {
        readiness.set_ready();
        log::info!(target: "entry", "ready");
    }
}

/// Stops without interrupting a request: withdraws readiness, announces that this VM leaves, keeps
/// accepting while the platform's balancer reacts, then lets the requests in flight end.
async fn shut_down(settings: &Settings, running: &Running, served: monoio::task::JoinHandle<()>) {
    log::info!(target: "entry", "stopping requests={}", running.call_handler.requests_in_flight());
    running.readiness.set_not_ready("stopping");
    running.stopping.cancel();
    let _ = monoio::time::timeout(LEAVE_TIMEOUT, running.peer.leave()).await;
    monoio::time::sleep(settings.limits.drain_delay).await;
    running.drain.cancel();
    let finished = async {
        served.await;
        // Runs of non-idempotent requests go on after their callers have left.
        while running.call_handler.requests_in_flight() > 0 {
            monoio::time::sleep(IDLE_CHECK).await;
        }
    };
    if monoio::time::timeout(settings.limits.drain_timeout, finished).await.is_err() {
        let requests = running.call_handler.requests_in_flight();
        log::warn!(target: "entry", "requests cut at the drain timeout requests={requests}");
    }
    let folded = running.call_handler.publish_final_usage();
    if monoio::time::timeout(USAGE_TIMEOUT, folded).await.is_err() {
        log::warn!(target: "entry", "last usage not yet in the status");
    }
    running.cancel.cancel();
    log::info!(target: "entry", "stopped");
}
