//! Nodes, runner dependencies and a sample job for the tests.

#![allow(dead_code, reason = "no test file uses all helpers")]

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use deck_batch::{
    BatchOptions, BatchService, CheckpointClient, JobStore, Runner, RunnerOptions, StoreJobOutcome,
    job::Job, peer_client::BatchPeerClient, runner::RunnerDependencies,
};
use deck_core::{CancellationToken, boot_clock::BootInstant, id::new_incarnation};
use deck_fleet::{
    BatchJob, BatchLimits, Bounds, CallerLimits, Configuration, EngineConfig, EngineRegistry,
    FleetFeed, FleetFeedOptions, FleetView, Item, ObjectFollower, ObjectFollowerOptions, Observer,
    Route, RouteKind, ServiceConfig, Target, TargetState,
};
use deck_forward::{CrashGuard, ForwardOptions, Forwarder};
use deck_net::{
    Body, Client, ServerOptions, bind,
    http::{Request, Response},
};
use deck_platform::{OBJECT_KINDS, PlatformWire};
use deck_route::{Router, RouterOptions};
use deck_testkit::{memory::MemoryObjects, raw::RawExchange};
use hyper::body::Incoming;

/// Time in milliseconds after which items are given up; never reached within a test.
pub const GIVE_UP_MS: u64 = 1 << 42;

/// Returns the dependencies of a runner on the VM `vm`. Its target list is empty, so no item is
/// dispatched.
pub fn runner_deps(vm: &str, address: SocketAddr, job_store: &JobStore) -> RunnerDependencies {
    let view = FleetView::new(Router::new(RouterOptions::default()));
    let (client, protocol) = (Client::default(), Rc::new(PlatformWire));
    let (crashes, options) = (CrashGuard::default(), ForwardOptions::default());
    RunnerDependencies {
        vm: vm.to_owned(),
        address,
        bounds: Rc::new(RefCell::new(Bounds {
            stop_grace: Duration::from_secs(8),
            lease: Duration::from_secs(3),
            job_retention: Duration::from_secs(120),
            job_end_effect: Duration::from_secs(3),
            drain: Duration::from_secs(3),
            fencing_checked: true,
            key_withdrawal: None,
            usage_window: None,
            usage_delay: Duration::from_secs(10),
        })),
        view: view.clone(),
        engines: EngineRegistry::default(),
        job_store: job_store.clone(),
        forwarder: Forwarder::new(
            view,
            client.clone(),
            protocol.clone(),
            crashes,
            Rc::new(()),
            options,
        ),
        checkpoints: CheckpointClient::new(client.clone()),
        client: client.into(),
        protocol,
        observer: Rc::new(()),
    }
}

/// Node without engines and without other nodes.
pub struct Node {
    pub runner: Runner,
    pub service: BatchService,
    pub job_store: JobStore,
    /// Configuration and targets of the node; empty at first.
    pub view: FleetView,
    /// VMs that keep the checkpoints of the node; none at first.
    pub checkpoints: CheckpointClient,
    cancel: CancellationToken,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Starts a node on the VM `vm` with its objects in `objects`.
pub fn node(vm: &str, address: SocketAddr, objects: &MemoryObjects) -> Node {
    node_with_observer(vm, address, objects, Rc::new(()))
}

/// As [`node`], with metrics that go to `observer`.
pub fn node_with_observer(
    vm: &str,
    address: SocketAddr,
    objects: &MemoryObjects,
    observer: Rc<dyn Observer>,
) -> Node {
    let cancel = CancellationToken::new();
    let job_store = JobStore::new(objects.store(), 1 << 20);
    let deps = RunnerDependencies { observer, ..runner_deps(vm, address, &job_store) };
    let (view, client, protocol) = (deps.view.clone(), Client::default(), deps.protocol.clone());
    let checkpoints = deps.checkpoints.clone();
    let runner = Runner::start(deps, RunnerOptions::default(), cancel.clone());
    let options = ObjectFollowerOptions::default();
    let follower =
        ObjectFollower::new(objects.store(), view.clone(), protocol, OBJECT_KINDS, options);
    let (incarnation, feed_options) = (new_incarnation(), FleetFeedOptions::default());
    let feed = FleetFeed::new(address, incarnation, client.clone(), follower, feed_options);
    let peers = BatchPeerClient::new(client);
    let service = BatchService::new(runner.clone(), peers, feed, BatchOptions::default());
    Node { runner, service, job_store, view, checkpoints, cancel }
}

/// Stores a job as one that the node runs, and starts it there.
pub async fn start_job(node: &Node, job: BatchJob) -> Rc<Job> {
    let stored = node.job_store.store_job(&job, "vm-1", ([127, 0, 0, 1], 1).into()).await;
    let StoreJobOutcome::Stored(record, revision) = stored else { panic!("not stored") };
    node.runner.start_job(&job.id, record, revision, BootInstant::now(), job.items)
}

/// Returns a configuration whose only route runs jobs of the model `m` on the service `s`.
pub fn rollout_configuration(single_version: bool) -> Configuration {
    let engine = EngineConfig { slots: 8, tokens_per_event: 1, models: vec!["m".to_owned()] };
    let service = ServiceConfig { name: "s".to_owned(), engine: Some(engine), scaling: None };
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/j/".to_owned(),
        kind: RouteKind::Rollout,
        resumable: false,
        timeout: Duration::ZERO,
        target_latency: Duration::from_millis(400),
        priority: 1,
        service_weights: vec![("s".to_owned(), 1)],
        max_attempts: 3,
        result_deadline: Duration::from_secs(60),
        item_deadline: Duration::from_secs(60),
        single_version,
        is_public: false,
    };
    Configuration::new(1, vec![route], vec![service], CallerLimits::default())
}

/// Returns an engine of the service `s` with the model `m`.
pub fn engine(id: &str, address: SocketAddr) -> Target {
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        address,
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: None,
        slots: 8,
        models: vec![("m".to_owned(), 1)],
        started_at_ms: 1,
        lifetime: Default::default(),
    }
}

/// Starts the response to an item with an event stream of the given weight version.
pub fn start_stream(call: &mut RawExchange, weight_version: u64) {
    let id = call.header("request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nWeight-Versions: {weight_version}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    call.write(&head);
}

/// Returns the number of the last event that a request for an item continues; 0 if it starts the
/// text.
pub fn last_event(call: &RawExchange) -> u64 {
    call.header("last-event-id").map_or(0, |number| number.parse().expect("event number"))
}

/// Returns an event of the text with the given name.
pub fn event(text: &str, number: u64) -> String {
    format!("id: {number}\ndata: {text} {number}\n\n")
}

/// Returns the first `count` events of the text with the given name, as a result contains them.
pub fn joined_events(text: &str, count: u64) -> String {
    (1..=count).map(|number| format!("{text} {number}")).collect::<Vec<_>>().join("\n")
}

/// Serves HTTP requests on loopback; returns the address.
pub fn serve<F, R>(cancel: &CancellationToken, answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("listener");
    let address = listener.local_addr().expect("address");
    monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel.clone(), answer));
    address
}

/// Returns an item without a reward call.
pub fn item(id: &str) -> Item {
    Item {
        id: id.to_owned(),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: String::new(),
        tokens: 100,
        group: None,
        reward: None,
        length_hint: None,
    }
}

/// Returns a job with the given items.
pub fn job(id: &str, items: Vec<Item>) -> BatchJob {
    let limits = BatchLimits {
        results_due_ms: 7500,
        give_up_ms: GIVE_UP_MS,
        attempts: 3,
        single_version: false,
        priority: 1,
    };
    BatchJob {
        organisation: None,
        id: id.to_owned(),
        host: "h".to_owned(),
        path: "/j/job".to_owned(),
        step: 0,
        model: "m".to_owned(),
        min_version: 1,
        group_count: 0,
        items,
        limits,
        submitted_at_ms: 0,
    }
}
