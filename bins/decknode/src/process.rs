//! Process lifecycle: startup of all components, reload of settings and graceful shutdown.

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
    BatchOptions, BatchService, CheckpointClient, CheckpointStore, JobStore, Runner, RunnerOptions,
    peer_client::BatchPeerClient, runner::RunnerDependencies,
};
use deck_core::{CancellationToken, id::new_incarnation};
use deck_duty::usage::{
    MAX_USAGE_MESSAGE_BYTES, ReporterOptions, USAGE_PATH, UsageExchange, UsageHolder,
    UsageHolderDependencies, UsageMeter, new_source, process_clock,
};
use deck_fleet::{
    Bounds, Duty, EngineRegistry, FleetFeed, FleetFeedOptions, FleetView, NodeSettings,
    ObjectFollower, ObjectFollowerOptions, Observer, PlatformProtocol,
    crash_registry::{CRASHES_PATH, MAX_CRASHES_BYTES},
    feed::FEED_PATH,
    stream_origins::{STREAM_ORIGIN_LOOKUP_PATH, STREAM_ORIGINS_PATH},
};
use deck_forward::{
    CrashGuard, ForwardOptions, Forwarder, StreamOrigins,
    crashes::{encode_reports, receive_crashes},
};
use deck_limit::CrashOptions;
use deck_net::{
    Account, Body, Client, ClientOptions, NetError, ServerOptions, TcpKeepaliveOptions, bind,
    http::{Method, Request, Response, StatusCode},
    runtime::{sighup_flag, stop_token},
    server::{empty_response, read_body, text_response},
};
use deck_plat::{MeteredApi, ObjectApi, RelayPeers, RelayedApi, Store, metered::CallRecord, relay};
use deck_platform::{OBJECT_KINDS, PlatformObjectApi, PlatformWire, read_settings};
use deck_reach::{CHECK_PATH, RELAY_PREFIX, RelayDependencies, RelayService, TargetClient};
use deck_route::{Router, RouterOptions, RoutingVm};
use deck_swap::{
    RunnerManagerDependencies, WeightUpdater, WeightUpdaterOptions,
    runners::{
        LEADER_UPDATE_PATH, MAX_MESSAGE_BYTES, RUNNER_TABLE_PATH, handle_leader_update,
        handle_runner_table,
    },
};

use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::{
    client_limits::ClientLimits,
    frontend::{Frontend, StopDeadline},
    leadership::{self, INVITATION_PATH},
    loop_delay,
    metrics::{GaugeState, NodeMetrics},
    node_registry,
    scaling::TargetScaler,
    stream_origins,
};

/// Timeout of one call on the object API, which normally answers in a few milliseconds.
const OBJECT_API_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of an object API call relayed by another node. It exceeds `OBJECT_API_TIMEOUT`, with
/// which that node makes the call.
const RELAYED_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Path of the metrics on the readiness and metrics addresses.
const METRICS_PATH: &str = "/metrics";
/// Maximum size of an object API call that another node sends for relaying.
const MAX_RELAYED_CALL_BYTES: usize = 4 * 1024 * 1024;
/// Time in which a starting node discovers an existing fleet; it covers two calls on the object
/// API.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Connect timeout; a connection normally takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// TCP keep-alive probes, which detect an unresponsive connection within three seconds.
const KEEP_ALIVE_PROBES: TcpKeepaliveOptions =
    TcpKeepaliveOptions { interval: Duration::from_secs(1), count: 2 };
/// Fraction of the grace time during which a stopping node still accepts requests. Meanwhile the
/// platform's readiness checks fail, so that callers move to other nodes.
const LINGER_FRACTION: f64 = 0.55;
/// Fraction of the remaining grace time in which running jobs are handed over.
const HANDOVER_FRACTION: f64 = 0.6;
/// Part of the grace time that is reserved: shutdown stops waiting for open requests this long before
/// the end of the grace time.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of the handover of the counts of use, which takes place in the margin at the end.
const USAGE_HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);
/// Age of the targets from which they are read from the object API, as a fraction of the time in
/// which requests to a leaving target have to stop. The rest covers that read and the way of the
/// last request.
const MAX_TARGETS_AGE_FRACTION: f64 = 2.0 / 3.0;
/// Time before the end of the grace time at which all open requests are answered. Longer than
/// `SHUTDOWN_MARGIN` by the time that the answers need to be written.
const ANSWER_MARGIN: Duration = Duration::from_millis(1000);
/// Interval at which the settings file is read again.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the node until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
pub async fn run_node(
    settings_file: PathBuf,
    settings: NodeSettings,
    metrics_port: Option<u16>,
) -> std::io::Result<()> {
    let stop_signal = stop_token()?;
    let reload_requested = sighup_flag()?;
    let background_cancel = CancellationToken::new();
    log::info!(target: "node", "start vm={} data_centre={}", settings.vm, settings.data_centre);
    if settings.caller_address.is_none() {
        return run_checkpoint_node(&settings, stop_signal).await;
    }
    let protocol: Rc<dyn PlatformProtocol> = Rc::new(PlatformWire);
    let client = http_client();
    let client_limits = ClientLimits::new(settings.memory_bytes, settings.max_descriptors);
    let (idle_client, idle_cancel) = (client.clone(), background_cancel.clone());
    monoio::spawn(client_limits.clone().limit_idle_connections(idle_client, idle_cancel));
    let metrics = NodeMetrics::new();
    monoio::spawn(loop_delay::measure_loop_delay(metrics.clone(), background_cancel.clone()));
    let direct_api =
        PlatformObjectApi::new(client.clone(), settings.object_api, OBJECT_API_TIMEOUT);
    let call_metrics = metrics.clone();
    let call_observer = Rc::new(move |call: CallRecord<'_>| call_metrics.record_store_call(call));
    let object_api: Rc<dyn ObjectApi> =
        Rc::new(MeteredApi::new(Rc::new(direct_api), call_observer));
    let relay_nodes = RelayPeers::new(
        client.clone(),
        settings.peer_address,
        settings.seeds.clone(),
        RELAYED_CALL_TIMEOUT,
    );
    let store = Store::with_api(Rc::new(RelayedApi::new(object_api.clone(), relay_nodes.clone())));
    let router = Router::new(RouterOptions {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        ..RouterOptions::default()
    });
    let (vm, data_centre) = (settings.vm.clone(), settings.data_centre.clone());
    router.set_members(vec![RoutingVm { vm, data_centre }]);
    let view = FleetView::new(router);
    let follow_options = ObjectFollowerOptions::default();
    let follower = ObjectFollower::new(
        store.clone(),
        view.clone(),
        protocol.clone(),
        OBJECT_KINDS,
        follow_options,
    );
    let feed = FleetFeed::new(
        settings.peer_address,
        new_incarnation(),
        client.clone(),
        follower.clone(),
        FleetFeedOptions {
            max_targets_age: settings.bounds.drain.mul_f64(MAX_TARGETS_AGE_FRACTION),
            key_withdrawal: settings.bounds.key_withdrawal,
            ..FleetFeedOptions::default()
        },
    );
    let (feed_task, feed_cancel) = (feed.clone(), background_cancel.clone());
    let discovery_timeout = if settings.is_first_fleet_start {
        node_registry::FLEET_REGISTRATION_TIME * 2
    } else {
        DISCOVERY_TIMEOUT
    };
    monoio::spawn(async move { feed_task.run(discovery_timeout, feed_cancel).await });
    let relay_feed = feed.clone();
    let targets = TargetClient::new(
        client.clone(),
        RelayDependencies {
            view: view.clone(),
            own_address: settings.peer_address,
            nodes: Rc::new(move || relay_feed.ranked_nodes()),
        },
    );
    monoio::spawn(targets.clone().run_probes(background_cancel.clone()));
    let target_relay = RelayService::new(targets.clone(), view.clone(), protocol.clone());
    let checkpoints = CheckpointClient::new(client.clone());
    let is_leader = Rc::new(Cell::new(false));
    let registry = node_registry::NodeRegistryDependencies {
        store: store.clone(),
        settings: settings.clone(),
        client: client.clone(),
        relay_nodes,
        feed: feed.clone(),
        checkpoints: checkpoints.clone(),
        is_leader: is_leader.clone(),
    };
    monoio::spawn(node_registry::register_and_refresh_nodes(registry, background_cancel.clone()));

    let crashes =
        CrashGuard::new(settings.vm.clone(), feed.crashes().clone(), CrashOptions::default());
    let crash_publisher =
        crashes.clone().run_publisher(feed.clone(), client.clone(), background_cancel.clone());
    monoio::spawn(crash_publisher);
    let forward_options = ForwardOptions::default();
    let metrics_observer: Rc<dyn Observer> = Rc::new(metrics.clone());
    let forwarder = Forwarder::new(
        view.clone(),
        targets.clone(),
        protocol.clone(),
        crashes,
        metrics_observer.clone(),
        forward_options,
    );
    let origins = stream_origins::share(
        feed.clone(),
        settings.peer_address,
        client.clone(),
        background_cancel.clone(),
    );
    let forwarder = forwarder.with_stream_origins(origins.clone());
    let usage = usage_exchange(&settings, &feed, &client);
    let usage_meter = usage.as_ref().map(|(exchange, ..)| exchange.meter().clone());
    let forwarder = forwarder.with_usage_meter(usage_meter);
    let engines = EngineRegistry::default();
    let bounds = Rc::new(RefCell::new(settings.bounds.clone()));
    let usage_holder = usage.clone().map(|(exchange, platform, options)| {
        monoio::spawn(exchange.clone().run_copies(background_cancel.clone()));
        UsageHolder::new(UsageHolderDependencies {
            vm: settings.vm.clone(),
            store: store.clone(),
            exchange,
            client: client.clone(),
            protocol: protocol.clone(),
            observer: metrics_observer.clone(),
            platform,
            options,
        })
    });
    let usage = usage.map(|(exchange, ..)| exchange);
    let job_store = JobStore::new(store.clone(), settings.max_object_bytes);
    let runner_dependencies = RunnerDependencies {
        vm: settings.vm.clone(),
        address: settings.peer_address,
        bounds: bounds.clone(),
        view: view.clone(),
        engines: engines.clone(),
        job_store,
        forwarder: forwarder.clone(),
        checkpoints,
        client: targets.clone(),
        protocol: protocol.clone(),
        observer: metrics_observer.clone(),
    };
    let runner =
        Runner::start(runner_dependencies, RunnerOptions::default(), background_cancel.clone());
    let peers = BatchPeerClient::new(client.clone());
    let batch = BatchService::new(runner.clone(), peers, feed.clone(), BatchOptions::default());
    let (batch_task, batch_cancel) = (batch.clone(), background_cancel.clone());
    let retention = settings.bounds.job_retention;
    monoio::spawn(async move { batch_task.evict_expired_jobs(retention, batch_cancel).await });
    let weight_updater = WeightUpdater::new(
        settings.vm.clone(),
        view.clone(),
        engines.clone(),
        targets.clone(),
        protocol.clone(),
        metrics_observer,
        WeightUpdaterOptions::default(),
    );
    let (batch_jobs, duty_client) = (batch.clone(), client.clone());
    let (node_client, invitations) = (client.clone(), Rc::new(Notify::new()));
    let runners = RunnerManagerDependencies {
        view: view.clone(),
        engines: engines.clone(),
        feed: feed.clone(),
        weight_updater: weight_updater.clone(),
        client,
        on_runner_jobs: Rc::new(move |node, jobs| batch_jobs.record_runner(node, jobs)),
    };
    let loads = weight_updater.clone();
    let target_scaler = TargetScaler {
        vm: settings.vm.clone(),
        duty_api: settings.duty_api.clone(),
        view: view.clone(),
        engines: engines.clone(),
        store: store.clone(),
        client: duty_client,
        protocol: protocol.clone(),
        metrics: metrics.clone(),
        on_initial_targets: Rc::new(move |service, count| {
            loads.set_initial_targets(service, count);
        }),
    };
    let leadership_context = leadership::LeadershipContext {
        vm: settings.vm.clone(),
        address: settings.peer_address,
        store,
        feed: feed.clone(),
        weight_updater,
        runners,
        follower,
        bounds: bounds.clone(),
        batch: batch.clone(),
        usage: usage_holder,
        target_scaler,
        targets: targets.clone(),
        client: node_client,
        invitations: invitations.clone(),
        is_leader: is_leader.clone(),
    };
    let candidate_task =
        monoio::spawn(leadership::run_candidate(leadership_context.clone(), stop_signal.clone()));

    let stop_deadline = StopDeadline::default();
    let frontend = Frontend {
        view: view.clone(),
        forwarder,
        batch: batch.clone(),
        protocol: protocol.clone(),
        stop: stop_deadline.clone(),
        metrics: metrics.clone(),
        key_withdrawal: settings.bounds.key_withdrawal,
    };
    let metrics = MetricsSource {
        metrics,
        view: view.clone(),
        engines: engines.clone(),
        runner,
        is_leader,
        targets,
        account: client_limits.account().clone(),
    };
    serve_readiness(
        &settings,
        view.clone(),
        protocol,
        stop_deadline.clone(),
        metrics.clone(),
        client_limits.readiness_options(),
        background_cancel.clone(),
    )?;
    if let Some(port) = metrics_port {
        serve_metrics(
            SocketAddr::new(settings.peer_address.ip(), port),
            metrics,
            client_limits.metrics_options(),
            background_cancel.clone(),
        );
    }
    let peer_service = PeerService {
        batch: batch.clone(),
        feed: feed.clone(),
        view,
        engines,
        object_api,
        origins,
        usage: usage.clone(),
        target_relay,
        invitations,
    };
    serve_peers(&settings, peer_service, client_limits.peer_options(), background_cancel.clone())?;
    let frontend_cancel = CancellationToken::new();
    let frontend_task = serve_callers(&settings, frontend, client_limits, frontend_cancel.clone())?;
    monoio::spawn(watch_settings(
        settings_file,
        settings.clone(),
        bounds.clone(),
        reload_requested,
        background_cancel.clone(),
    ));

    stop_signal.cancelled().await;
    let stop_requested_at = Instant::now();
    let grace_time = bounds.borrow().stop_grace;
    log::info!(target: "node", "stopping grace_ms={}", grace_time.as_millis());
    stop_deadline.set(stop_requested_at + grace_time.saturating_sub(ANSWER_MARGIN));
    batch.set_draining();
    let shutdown = async {
        candidate_task.await;
        monoio::spawn(leadership::observe_leader(leadership_context, background_cancel.clone()));
        let linger_time =
            grace_time.mul_f64(LINGER_FRACTION).saturating_sub(stop_requested_at.elapsed());
        monoio::time::sleep(linger_time).await;
        let handover_time =
            grace_time.saturating_sub(stop_requested_at.elapsed()).mul_f64(HANDOVER_FRACTION);
        if monoio::time::timeout(handover_time, batch.hand_over_jobs(&feed.ranked_nodes()))
            .await
            .is_err()
        {
            log::warn!(target: "node", "handover of running jobs timed out");
        }
        frontend_cancel.cancel();
        frontend_task.await;
    };
    // The platform sends SIGKILL at the end of the grace time.
    let shutdown_timeout = grace_time.saturating_sub(SHUTDOWN_MARGIN);
    if monoio::time::timeout(shutdown_timeout, shutdown).await.is_err() {
        log::warn!(target: "node", "requests still open at the end of the grace time");
    }
    if let Some(usage) = usage {
        let hand_over = monoio::time::timeout(USAGE_HANDOVER_TIMEOUT, usage.hand_over());
        if hand_over.await.is_err() {
            log::warn!(target: "usage", "handover of counts timed out");
        }
    }
    background_cancel.cancel();
    log::info!(target: "node", "stop");
    Ok(())
}

/// Runs a node that callers do not reach: it stores the texts of unfinished items on its disk as
/// checkpoints for the other nodes.
async fn run_checkpoint_node(
    settings: &NodeSettings,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let checkpoints = Rc::new(CheckpointStore::open(settings.data_dir.as_deref()));
    let listener = bind(settings.peer_address)?;
    let options =
        ClientLimits::new(settings.memory_bytes, settings.max_descriptors).checkpoint_options();
    let api = PlatformObjectApi::new(http_client(), settings.object_api, OBJECT_API_TIMEOUT);
    let store = Store::with_api(Rc::new(api));
    monoio::spawn(node_registry::keep_registered(store, settings.clone(), stop.clone()));
    let serve = deck_net::serve(listener, options, stop, move |request| {
        let checkpoints = checkpoints.clone();
        async move { checkpoints.serve(request).await }
    });
    serve.await;
    log::info!(target: "node", "stop");
    Ok(())
}

/// Returns the counts of the use of the organisations, shared with the other nodes, and where and when
/// they are reported; `None` if use is not reported.
fn usage_exchange(
    settings: &NodeSettings,
    feed: &FleetFeed,
    client: &Client,
) -> Option<(UsageExchange, SocketAddr, ReporterOptions)> {
    let duty_api = settings.duty_api.as_ref()?;
    let window = settings.bounds.usage_window?;
    if !duty_api.duties.contains(&Duty::UsageReport) {
        return None;
    }
    let options = ReporterOptions::new(window, settings.bounds.usage_delay, duty_api.calls_per_s);
    let meter = UsageMeter::new(new_source(), move || Some(window), process_clock());
    let feed = feed.clone();
    let leader_feed = feed.clone();
    let nodes = Rc::new(move || feed.nodes_with_state());
    let leader = Rc::new(move || leader_feed.leader().map(|leader| leader.address));
    let exchange = UsageExchange::new(meter, settings.peer_address, nodes, leader, client.clone());
    Some((exchange, duty_api.address, options))
}

/// Returns the HTTP client for calls to targets, to other nodes and to the object API.
fn http_client() -> Client {
    Client::new(ClientOptions {
        connect_timeout: CONNECT_TIMEOUT,
        max_idle_per_address: 64,
        idle_timeout: Duration::from_secs(30),
        tcp_keepalive: Some(KEEP_ALIVE_PROBES),
    })
}

/// Starts the server for callers. The returned task ends when `cancel` is cancelled and the open
/// requests have been answered.
fn serve_callers(
    settings: &NodeSettings,
    frontend: Frontend,
    client_limits: ClientLimits,
    cancel: CancellationToken,
) -> std::io::Result<monoio::task::JoinHandle<()>> {
    let Some(address) = settings.caller_address else {
        return Ok(monoio::spawn(async move { cancel.cancelled().await }));
    };
    let view = frontend.view.clone();
    let options = move || client_limits.caller_options(view.configuration().as_deref());
    let server =
        deck_net::serve_with_dynamic_options(bind(address)?, options, cancel, move |request| {
            let frontend = frontend.clone();
            async move { frontend.serve(request).await }
        });
    Ok(monoio::spawn(server))
}

/// Starts the server for readiness checks, which also serves the metrics.
fn serve_readiness(
    settings: &NodeSettings,
    view: FleetView,
    protocol: Rc<dyn PlatformProtocol>,
    stop: StopDeadline,
    metrics: MetricsSource,
    options: ServerOptions,
    cancel: CancellationToken,
) -> std::io::Result<()> {
    let Some(address) = settings.ready_address else { return Ok(()) };
    let listener = bind(address)?;
    monoio::spawn(deck_net::serve(listener, options, cancel, move |request| {
        let is_ready_check = protocol.is_readiness_request(request.method(), request.uri().path());
        if request.uri().path() == METRICS_PATH {
            let response = text_response(200, &metrics.render());
            return std::future::ready(response);
        }
        let status = match (is_ready_check, view.is_complete() && !stop.is_stopping()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(empty_response(status))
    }));
    Ok(())
}

/// Metrics, and the components whose current state the gauges show.
#[derive(Clone)]
struct MetricsSource {
    metrics: NodeMetrics,
    view: FleetView,
    engines: EngineRegistry,
    runner: Runner,
    /// Whether the node holds the leader's lease.
    is_leader: Rc<Cell<bool>>,
    targets: TargetClient,
    /// What the servers hold for their clients.
    account: Account,
}

impl MetricsSource {
    /// Returns the metrics page.
    fn render(&self) -> String {
        self.metrics.record_clients(&self.account);
        self.metrics.render(&GaugeState {
            view: &self.view,
            engines: &self.engines,
            open_jobs: self.runner.active_jobs().len(),
            is_leader: self.is_leader.get(),
            targets: &self.targets,
        })
    }
}

/// Starts a metrics server at `address`. A failure to bind it is only logged, as the node can serve
/// callers without it.
fn serve_metrics(
    address: SocketAddr,
    metrics: MetricsSource,
    options: ServerOptions,
    cancel: CancellationToken,
) {
    let listener = match bind(address) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: "node", "metrics server not started address={address} error={error}");
            return;
        }
    };
    monoio::spawn(deck_net::serve(listener, options, cancel, move |request| {
        let is_metrics_request = request.uri().path() == METRICS_PATH;
        let response = if is_metrics_request {
            text_response(200, &metrics.render())
        } else {
            empty_response(StatusCode::NOT_FOUND)
        };
        std::future::ready(response)
    }));
}

/// HTTP handler for calls of other nodes.
#[derive(Clone)]
struct PeerService {
    /// Serves calls on batch jobs, also for handover between nodes.
    batch: BatchService,
    /// Exchanges configuration, targets and the leader with other nodes.
    feed: FleetFeed,
    /// This node's view of the configuration and the targets.
    view: FleetView,
    /// States of the engines, with their weight versions.
    engines: EngineRegistry,
    /// Object API for calls that other nodes relay through this one; never relayed further.
    object_api: Rc<dyn ObjectApi>,
    /// Which software version began each stream.
    origins: StreamOrigins,
    /// Counts of the use of the organisations; `None` if it is not reported.
    usage: Option<UsageExchange>,
    /// Sends requests to targets for nodes whose links to them are cut.
    target_relay: RelayService,
    /// Notified when another node invites this one to compete for the leader's lease.
    invitations: Rc<Notify>,
}

impl PeerService {
    async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            FEED_PATH => self.feed.serve(request.uri().query().unwrap_or_default()).await,
            CRASHES_PATH if request.method() == Method::GET => send_crash_reports(&self.feed),
            CRASHES_PATH => receive_crash_report(&self.feed, request).await,
            STREAM_ORIGINS_PATH | STREAM_ORIGIN_LOOKUP_PATH => {
                let answer = stream_origins::serve(&self.origins, request).await;
                answer.unwrap_or_else(|error| unreadable_request("stream origins", &error))
            }
            LEADER_UPDATE_PATH => self.serve_runner_message(request).await,
            RUNNER_TABLE_PATH => self.receive_runner_table(request).await,
            relay::RELAY_PATH => serve_relayed_call(&*self.object_api, request).await,
            USAGE_PATH => self.serve_usage(request).await,
            INVITATION_PATH => {
                self.invitations.notify_one();
                empty_response(StatusCode::OK)
            }
            path if path == CHECK_PATH || is_relayed_request(path) => {
                self.target_relay.serve(request).await
            }
            _ => self.batch.serve_peer(request).await,
        }
    }

    /// Answers a message that the leader sends to this node as the runner of a model.
    async fn serve_runner_message(&self, request: Request<Incoming>) -> Response<Body> {
        let message = read_body(request.into_body(), MAX_MESSAGE_BYTES).await;
        let answer = message.and_then(|message| {
            let (jobs, draining) = (self.batch.job_ids(), self.batch.is_draining());
            handle_leader_update(&self.engines, &self.view, jobs, draining, &message)
        });
        match answer {
            Ok(answer) => Response::new(Body::full(answer)),
            Err(error) => unreadable_request("leader's message", &error),
        }
    }

    /// Exchanges counts of use with another node.
    async fn serve_usage(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(usage) = &self.usage else { return empty_response(StatusCode::NOT_FOUND) };
        let message = read_body(request.into_body(), MAX_USAGE_MESSAGE_BYTES).await;
        match message.and_then(|message| usage.serve(&message)) {
            Ok(answer) => Response::new(Body::full(answer)),
            Err(error) => unreadable_request("counts of use", &error),
        }
    }

    /// Stores the leader's table of which node runs the jobs of each model.
    async fn receive_runner_table(&self, request: Request<Incoming>) -> Response<Body> {
        let message = read_body(request.into_body(), MAX_MESSAGE_BYTES).await;
        match message.and_then(|message| handle_runner_table(&self.feed, &message)) {
            Ok(()) => empty_response(StatusCode::OK),
            Err(error) => unreadable_request("runner table", &error),
        }
    }
}

/// Returns whether the path is that of a request to a target.
fn is_relayed_request(path: &str) -> bool {
    path.strip_prefix(RELAY_PREFIX).is_some_and(|path| path.starts_with('/'))
}

/// Logs and answers a request of another node whose body cannot be read.
fn unreadable_request(content: &str, error: &NetError) -> Response<Body> {
    log::warn!(target: "node", "reading the {content} failed error={error}");
    text_response(400, &error.to_string())
}

/// Starts the server for calls of other nodes.
fn serve_peers(
    settings: &NodeSettings,
    peer_service: PeerService,
    options: ServerOptions,
    cancel: CancellationToken,
) -> std::io::Result<()> {
    let listener = bind(settings.peer_address)?;
    monoio::spawn(deck_net::serve(listener, options, cancel, move |request| {
        let peer_service = peer_service.clone();
        async move { peer_service.serve(request).await }
    }));
    Ok(())
}

/// Sends all known crash reports to a node that has just started.
fn send_crash_reports(feed: &FleetFeed) -> Response<Body> {
    match encode_reports(feed.crashes()) {
        Ok(reports) => Response::new(Body::full(reports)),
        Err(error) => text_response(500, &error.to_string()),
    }
}

/// Stores the report of another node on the requests that crashed its targets.
async fn receive_crash_report(feed: &FleetFeed, request: Request<Incoming>) -> Response<Body> {
    let message = read_body(request.into_body(), MAX_CRASHES_BYTES).await;
    match message.and_then(|message| receive_crashes(feed.crashes(), &message)) {
        Ok(()) => empty_response(StatusCode::OK),
        Err(error) => unreadable_request("crash report of another node", &error),
    }
}

/// Makes a call on the object API on behalf of another node.
async fn serve_relayed_call(api: &dyn ObjectApi, request: Request<Incoming>) -> Response<Body> {
    let answer = match read_body(request.into_body(), MAX_RELAYED_CALL_BYTES).await {
        Ok(body) => relay::serve_relayed_call(api, &body).await,
        Err(error) => Err(error),
    };
    match answer {
        Ok(answer) => Response::new(Body::full(answer)),
        Err(error) => unreadable_request("relayed object API call", &error),
    }
}

/// Polls the settings file for changes. Changed bounds apply at once, other values after a restart.
async fn watch_settings(
    settings_file: PathBuf,
    mut current: NodeSettings,
    bounds: Rc<RefCell<Bounds>>,
    reload_requested: Arc<AtomicBool>,
    cancel: CancellationToken,
) {
    while cancel.run_until_cancelled(monoio::time::sleep(SETTINGS_POLL_INTERVAL)).await.is_some() {
        if reload_requested.swap(false, Ordering::Relaxed) {
            log::info!(target: "node", "reload asked for");
        }
        match read_settings(&settings_file) {
            Ok(settings) if settings != current => {
                if settings.bounds != current.bounds {
                    log::info!(target: "node", "bounds in force {:?}", settings.bounds);
                    bounds.replace(settings.bounds.clone());
                }
                let with_new_bounds = NodeSettings { bounds: settings.bounds.clone(), ..current };
                if settings != with_new_bounds {
                    log::info!(target: "node", "settings changed; they hold from the next start on");
                }
                current = settings;
            }
            Ok(_) => {}
            Err(error) => log::warn!(target: "node", "reading the settings failed error={error}"),
        }
    }
}
