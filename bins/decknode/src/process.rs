//! Life of the process: start of all parts, reload of settings, graceful shutdown.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use deck_batch::{
    BatchOptions, BatchService, CheckpointStore, Checkpoints, Ledger, RunOptions, Runner,
    peers::Peers, runner::RunnerParts,
};
use deck_core::{CancellationToken, id::new_incarnation};
use deck_fleet::{
    Bounds, Engines, Feed, FeedOptions, FollowOptions, Follower, NodeSettings, Observer, Protocol,
    View,
    board::{CRASHES_PATH, MAX_CRASHES_BYTES},
    feed::FEED_PATH,
};
use deck_forward::{CrashGuard, ForwardOptions, Forwarder, crashes::take_crashes};
use deck_limit::CrashOptions;
use deck_net::{
    Body, Client, ClientOptions, NetError, ProbeOptions, ServerOptions, bind,
    http::{Request, Response, StatusCode},
    runtime::{hangup_flag, stop_token},
    server::{read_body, status_only, text_response},
};
use deck_plat::{MeteredApi, ObjectApi, RelayNodes, RelayedApi, Store, metered::CallRecord, relay};
use deck_platform::{KINDS, PlatformObjectApi, Wire, read_settings};
use deck_route::{RouteMember, Router, RouterOptions};
use deck_swap::{
    Giver, RunnersParts, SwapOptions,
    runners::{MAX_MESSAGE_BYTES, RUNNER_PATH, TABLE_PATH, serve_told, take_table},
};

use hyper::body::Incoming;

use crate::{
    delay,
    front::Front,
    lead,
    metrics::{NodeMetrics, NodeState},
    nodes,
};

/// Time for one call on the object API, which answers in a few milliseconds.
const STORE_CALL_LIMIT: Duration = Duration::from_millis(700);
/// Time for one call through another node, which makes it within its own limit.
const RELAY_CALL_LIMIT: Duration = Duration::from_millis(900);
/// Path of the metrics on the ready address.
const METRICS_PATH: &str = "/metrics";
/// Largest call of another node on the object API.
const MAX_RELAYED_BYTES: usize = 4 * 1024 * 1024;
/// Time in which a node that starts learns the nodes of its fleet; two calls on the object API.
const LEARN_LIMIT: Duration = Duration::from_millis(300);
/// Time in which a connection has to come about; links take a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Probes of idle connections: a silent one is noticed within three seconds.
const PROBES: ProbeOptions = ProbeOptions { interval: Duration::from_secs(1), count: 2 };
/// Part of the grace time in which a stopping node still takes requests, so that the platform's
/// checks notice that it is not ready and callers move on.
const LINGER_PART: f64 = 0.55;
/// Part of the time left in which running jobs are handed over.
const HANDOVER_PART: f64 = 0.6;
/// Part of the grace time that is left for the last requests before the process ends.
const END_MARGIN: Duration = Duration::from_millis(700);
/// Time between two looks at the settings file.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a connection may be idle at least; above what deployments usually state.
const CALLER_IDLE: Duration = Duration::from_secs(75);

/// Runs the node until it is stopped.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
pub async fn run(
    file: PathBuf,
    settings: NodeSettings,
    metrics_port: Option<u16>,
) -> std::io::Result<()> {
    let stop = stop_token()?;
    let hangup = hangup_flag()?;
    let ended = CancellationToken::new();
    log::info!(target: "node", "start vm={} data_centre={}", settings.vm, settings.data_centre);
    if settings.caller_address.is_none() {
        return run_disk(&settings, stop).await;
    }
    let protocol: Rc<dyn Protocol> = Rc::new(Wire);
    let client = client();
    let metrics = NodeMetrics::new();
    monoio::spawn(delay::keep_measuring(metrics.clone(), ended.clone()));
    let direct = PlatformObjectApi::new(client.clone(), settings.object_api, STORE_CALL_LIMIT);
    let counted = metrics.clone();
    let observer = Rc::new(move |call: CallRecord<'_>| counted.record_store_call(call));
    let api: Rc<dyn ObjectApi> = Rc::new(MeteredApi::new(Rc::new(direct), observer));
    let nodes = RelayNodes::new(
        client.clone(),
        settings.peer_address,
        settings.seeds.clone(),
        RELAY_CALL_LIMIT,
    );
    let store = Store::with_api(Rc::new(RelayedApi::new(api.clone(), nodes.clone())));
    let router = Router::new(RouterOptions {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        ..RouterOptions::default()
    });
    let (vm, data_centre) = (settings.vm.clone(), settings.data_centre.clone());
    router.set_members(vec![RouteMember { vm, data_centre }]);
    let view = View::new(router);
    let follow_options = FollowOptions::default();
    let follower =
        Follower::new(store.clone(), view.clone(), protocol.clone(), KINDS, follow_options);
    let feed = Feed::new(
        settings.peer_address,
        new_incarnation(),
        client.clone(),
        follower.clone(),
        FeedOptions::default(),
    );
    let (feeding, token) = (feed.clone(), ended.clone());
    let learn_limit = if settings.fleet_starts { nodes::FLEET_START * 2 } else { LEARN_LIMIT };
    monoio::spawn(async move { feeding.run(learn_limit, token).await });
    let checkpoints = Checkpoints::new(client.clone());
    let (registry, own) = (store.clone(), settings.clone());
    let known = checkpoints.clone();
    monoio::spawn(nodes::run(registry, own, nodes, feed.clone(), known, ended.clone()));

    let crashes =
        CrashGuard::new(settings.vm.clone(), feed.crashes().clone(), CrashOptions::default());
    let telling = crashes.clone().keep_telling(feed.clone(), client.clone(), ended.clone());
    monoio::spawn(telling);
    let forward_options = ForwardOptions::default();
    let observer: Rc<dyn Observer> = Rc::new(metrics.clone());
    let forwarder = Forwarder::new(
        view.clone(),
        client.clone(),
        protocol.clone(),
        crashes,
        observer.clone(),
        forward_options,
    );
    let engines = Engines::default();
    let ledger = Ledger::new(store.clone(), settings.max_object_bytes);
    let parts = RunnerParts {
        vm: settings.vm.clone(),
        address: settings.peer_address,
        view: view.clone(),
        engines: engines.clone(),
        ledger,
        forwarder: forwarder.clone(),
        checkpoints,
        client: client.clone(),
        protocol: protocol.clone(),
        observer: observer.clone(),
    };
    let runner = Runner::start(parts, RunOptions::default(), ended.clone());
    let peers = Peers::new(client.clone());
    let batch = BatchService::new(runner.clone(), peers, feed.clone(), BatchOptions::default());
    let (forgetting, token) = (batch.clone(), ended.clone());
    let retention = settings.bounds.job_retention;
    monoio::spawn(async move { forgetting.keep_forgetting(retention, token).await });
    let giver = Giver::new(
        settings.vm.clone(),
        view.clone(),
        engines.clone(),
        client.clone(),
        protocol.clone(),
        observer,
        SwapOptions::default(),
    );
    let informed = batch.clone();
    let runners = RunnersParts {
        view: view.clone(),
        engines: engines.clone(),
        feed: feed.clone(),
        giver: giver.clone(),
        client,
        on_jobs: Rc::new(move |node, jobs| informed.note_runner(node, jobs)),
    };
    let leads = Rc::new(Cell::new(false));
    let bounds = Rc::new(RefCell::new(settings.bounds.clone()));
    let duties = lead::Duties {
        vm: settings.vm.clone(),
        address: settings.peer_address,
        store,
        feed: feed.clone(),
        giver,
        runners,
        follower,
        bounds: bounds.clone(),
        batch: batch.clone(),
        leads: leads.clone(),
    };
    let leading = monoio::spawn(lead::run(duties.clone(), stop.clone()));

    let draining = Rc::new(Cell::new(false));
    let front = Front {
        view: view.clone(),
        forwarder,
        batch: batch.clone(),
        protocol: protocol.clone(),
        draining: draining.clone(),
        metrics: metrics.clone(),
    };
    let metrics = Rendered { metrics, view: view.clone(), engines: engines.clone(), runner, leads };
    serve_ready(
        &settings,
        view.clone(),
        protocol,
        draining.clone(),
        metrics.clone(),
        ended.clone(),
    )?;
    if let Some(port) = metrics_port {
        serve_metrics(SocketAddr::new(settings.peer_address.ip(), port), metrics, ended.clone());
    }
    let peers = PeerCalls { batch: batch.clone(), feed: feed.clone(), view, engines, api };
    serve_peers(&settings, peers, ended.clone())?;
    let closing = CancellationToken::new();
    let served = serve_callers(&settings, front, closing.clone())?;
    monoio::spawn(watch_settings(file, settings.clone(), bounds.clone(), hangup, ended.clone()));

    stop.cancelled().await;
    let stopped_at = Instant::now();
    let grace = bounds.borrow().stop_grace;
    log::info!(target: "node", "stopping grace_ms={}", grace.as_millis());
    draining.set(true);
    batch.set_draining();
    let shutdown = async {
        leading.await;
        monoio::spawn(lead::observe(duties, ended.clone()));
        let linger = grace.mul_f64(LINGER_PART).saturating_sub(stopped_at.elapsed());
        monoio::time::sleep(linger).await;
        let left = grace.saturating_sub(stopped_at.elapsed()).mul_f64(HANDOVER_PART);
        if monoio::time::timeout(left, batch.hand_over(&feed.ranked())).await.is_err() {
            log::warn!(target: "node", "jobs not handed over in time");
        }
        closing.cancel();
        served.await;
    };
    // The platform kills the process at the end of the grace time.
    let limit = grace.saturating_sub(END_MARGIN);
    if monoio::time::timeout(limit, shutdown).await.is_err() {
        log::warn!(target: "node", "requests left at the end of the grace time");
    }
    ended.cancel();
    log::info!(target: "node", "stop");
    Ok(())
}

/// Runs on a VM with a disk, which keeps the texts of unfinished items for the other nodes.
async fn run_disk(settings: &NodeSettings, stop: CancellationToken) -> std::io::Result<()> {
    let checkpoints = Rc::new(CheckpointStore::open(settings.data_dir.as_deref()));
    let listener = bind(settings.peer_address)?;
    let options = ServerOptions { head_timeout: CALLER_IDLE, ..ServerOptions::default() };
    let api = PlatformObjectApi::new(client(), settings.object_api, STORE_CALL_LIMIT);
    let (store, own, token) = (Store::with_api(Rc::new(api)), settings.clone(), stop.clone());
    monoio::spawn(async move { nodes::keep_registering(&store, &own, &token).await });
    let serve = deck_net::serve(listener, options, stop, move |request| {
        let checkpoints = checkpoints.clone();
        async move { checkpoints.serve(request).await }
    });
    serve.await;
    log::info!(target: "node", "stop");
    Ok(())
}

fn client() -> Client {
    Client::new(ClientOptions {
        connect_timeout: CONNECT_LIMIT,
        max_idle_per_address: 64,
        idle_timeout: Duration::from_secs(30),
        probes: Some(PROBES),
    })
}

fn serve_callers(
    settings: &NodeSettings,
    front: Front,
    closing: CancellationToken,
) -> std::io::Result<monoio::task::JoinHandle<()>> {
    let Some(address) = settings.caller_address else {
        return Ok(monoio::spawn(async move { closing.cancelled().await }));
    };
    let view = front.view.clone();
    let options = move || caller_options(&view);
    let served = deck_net::serve_with(bind(address)?, options, closing, move |request| {
        let front = front.clone();
        async move { front.serve(request).await }
    });
    Ok(monoio::spawn(served))
}

/// Returns the limits of a caller's connection by the configuration in force.
fn caller_options(view: &View) -> ServerOptions {
    let options = ServerOptions { head_timeout: CALLER_IDLE, ..ServerOptions::default() };
    match view.configuration() {
        Some(configuration) => {
            let limits = &configuration.limits;
            // One time covers an idle connection and the head that follows. A longer limit may come
            // into force while the connection is open, so it is never below the usual time.
            let head_timeout = (limits.idle_timeout + limits.head_timeout).max(CALLER_IDLE);
            ServerOptions { max_head_bytes: limits.max_head_bytes, head_timeout, ..options }
        }
        None => options,
    }
}

fn serve_ready(
    settings: &NodeSettings,
    view: View,
    protocol: Rc<dyn Protocol>,
    draining: Rc<Cell<bool>>,
    metrics: Rendered,
    ended: CancellationToken,
) -> std::io::Result<()> {
    let Some(address) = settings.ready_address else { return Ok(()) };
    let listener = bind(address)?;
    let options = ServerOptions { head_timeout: CALLER_IDLE, ..ServerOptions::default() };
    monoio::spawn(deck_net::serve(listener, options, ended, move |request| {
        let known = protocol.is_ready_request(request.method(), request.uri().path());
        if request.uri().path() == METRICS_PATH {
            let response = text_response(200, &metrics.text());
            return std::future::ready(response);
        }
        let status = match (known, view.is_complete() && !draining.get()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(status_only(status))
    }));
    Ok(())
}

/// What the metrics show.
#[derive(Clone)]
struct Rendered {
    metrics: NodeMetrics,
    view: View,
    engines: Engines,
    runner: Runner,
    /// Whether the node holds the lease of the leader.
    leads: Rc<Cell<bool>>,
}

impl Rendered {
    fn text(&self) -> String {
        self.metrics.render(&NodeState {
            view: &self.view,
            engines: &self.engines,
            open_jobs: self.runner.active_jobs().len(),
            leads: self.leads.get(),
        })
    }
}

/// Serves the metrics at an address of their own. The node serves callers also without it.
fn serve_metrics(address: SocketAddr, metrics: Rendered, ended: CancellationToken) {
    let listener = match bind(address) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: "node", "metrics not served address={address} error={error}");
            return;
        }
    };
    monoio::spawn(deck_net::serve(listener, ServerOptions::default(), ended, move |request| {
        let is_known = request.uri().path() == METRICS_PATH;
        let response = if is_known {
            text_response(200, &metrics.text())
        } else {
            status_only(StatusCode::NOT_FOUND)
        };
        std::future::ready(response)
    }));
}

/// What serves the calls of other nodes.
#[derive(Clone)]
struct PeerCalls {
    batch: BatchService,
    feed: Feed,
    view: View,
    engines: Engines,
    api: Rc<dyn ObjectApi>,
}

impl PeerCalls {
    async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            FEED_PATH => self.feed.serve(request.uri().query().unwrap_or_default()).await,
            CRASHES_PATH => take_crash_message(&self.feed, request).await,
            RUNNER_PATH => self.serve_leader(request).await,
            TABLE_PATH => self.take_table(request).await,
            relay::RELAY_PATH => relay_call(&*self.api, request).await,
            _ => self.batch.serve_peer(request).await,
        }
    }

    /// Takes what the leader tells the runner of a model.
    async fn serve_leader(&self, request: Request<Incoming>) -> Response<Body> {
        let message = read_body(request.into_body(), MAX_MESSAGE_BYTES).await;
        let answer = message.and_then(|message| {
            let (jobs, draining) = (self.batch.job_ids(), self.batch.is_draining());
            serve_told(&self.engines, &self.view, jobs, draining, &message)
        });
        match answer {
            Ok(answer) => Response::new(Body::full(answer)),
            Err(error) => not_read("message of the leader", &error),
        }
    }

    async fn take_table(&self, request: Request<Incoming>) -> Response<Body> {
        let message = read_body(request.into_body(), MAX_MESSAGE_BYTES).await;
        match message.and_then(|message| take_table(&self.feed, &message)) {
            Ok(()) => status_only(StatusCode::OK),
            Err(error) => not_read("table of runners", &error),
        }
    }
}

fn not_read(what: &str, error: &NetError) -> Response<Body> {
    log::warn!(target: "node", "{what} not read error={error}");
    text_response(400, &error.to_string())
}

fn serve_peers(
    settings: &NodeSettings,
    calls: PeerCalls,
    ended: CancellationToken,
) -> std::io::Result<()> {
    let listener = bind(settings.peer_address)?;
    let options = ServerOptions { head_timeout: CALLER_IDLE, ..ServerOptions::default() };
    monoio::spawn(deck_net::serve(listener, options, ended, move |request| {
        let calls = calls.clone();
        async move { calls.serve(request).await }
    }));
    Ok(())
}

/// Takes a message with the crashes of another node.
async fn take_crash_message(feed: &Feed, request: Request<Incoming>) -> Response<Body> {
    let message = read_body(request.into_body(), MAX_CRASHES_BYTES).await;
    match message.and_then(|message| take_crashes(feed.crashes(), &message)) {
        Ok(()) => status_only(StatusCode::OK),
        Err(error) => not_read("crashes of another node", &error),
    }
}

/// Makes a call on the object API for another node.
async fn relay_call(api: &dyn ObjectApi, request: Request<Incoming>) -> Response<Body> {
    let answer = match read_body(request.into_body(), MAX_RELAYED_BYTES).await {
        Ok(body) => relay::serve_relay(api, &body).await,
        Err(error) => Err(error),
    };
    match answer {
        Ok(answer) => Response::new(Body::full(answer)),
        Err(error) => not_read("call of another node", &error),
    }
}

/// Reads the settings file again when it changes. The bounds are taken over at once, other values
/// hold from the next start on.
async fn watch_settings(
    file: PathBuf,
    mut current: NodeSettings,
    bounds: Rc<RefCell<Bounds>>,
    hangup: Arc<AtomicBool>,
    ended: CancellationToken,
) {
    while ended.run_until_cancelled(monoio::time::sleep(RELOAD_INTERVAL)).await.is_some() {
        if hangup.swap(false, Ordering::Relaxed) {
            log::info!(target: "node", "reload asked for");
        }
        match read_settings(&file) {
            Ok(settings) if settings != current => {
                if settings.bounds != current.bounds {
                    log::info!(target: "node", "bounds in force {:?}", settings.bounds);
                    bounds.replace(settings.bounds.clone());
                }
                let bounds_only = NodeSettings { bounds: settings.bounds.clone(), ..current };
                if settings != bounds_only {
                    log::info!(target: "node", "settings changed; they hold from the next start on");
                }
                current = settings;
            }
            Ok(_) => {}
            Err(error) => log::warn!(target: "node", "settings not read error={error}"),
        }
    }
}
