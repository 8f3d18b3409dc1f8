//! Prometheus metrics of the node. A test compares the rows below with `docs/metrics.md`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{error::ErrorKind, id::WeightVersion};
use deck_fleet::{
    AttemptOutcome, ChunkFinder, EngineRegistry, FleetView, ItemOutcome, ItemRunOutcome, JobEvent,
    Observer, ResumptionOutcome, ResumptionScope, RouteKind, config::ModelName,
};
use deck_net::{Account, AccountTotals};
use deck_obs::{define_metrics, metrics::Metrics, process::resident_bytes};
use deck_plat::metered::CallRecord;
use deck_reach::TargetClient;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

define_metrics! {
    REQUESTS = "decknode_requests_total", "counter", "requests", "purpose, route, status, reason",
        "Requests of callers; `reason` is the code of an error of the node's own, or `none`.";
    REQUEST_TIME = "decknode_request_seconds", "histogram", "seconds", "purpose",
        "Time from the head of a request to the head of its answer.";
    ATTEMPTS = "decknode_attempts_total", "counter", "attempts", "outcome",
        "Attempts of plain requests and reward calls at targets that have ended.";
    FIRST_BYTE = "decknode_first_byte_seconds", "histogram", "seconds", "",
        "Time from the start of an attempt to the head of the target's answer.";
    STREAM_RESUMPTIONS = "decknode_stream_resumptions_total", "counter", "resumptions", "scope, outcome",
        "Streams that were to go on at another target, within a response or with a caller's new request.";
    JOBS = "decknode_jobs_total", "counter", "jobs", "change",
        "Batch jobs that this node accepted, refused, doubts, took over, received or ended.";
    OPEN_JOBS = "decknode_open_jobs", "gauge", "jobs", "",
        "Batch jobs that this node runs and that are neither complete nor ended.";
    ITEM_WAIT = "decknode_item_wait_seconds", "histogram", "seconds", "",
        "Time from the submission of a job to the first run of an item.";
    FIRST_EVENT = "decknode_first_event_seconds", "histogram", "seconds", "",
        "Time from the start of a run of an item to its first event.";
    RUNS = "decknode_runs_total", "counter", "runs", "end",
        "Runs of items that have ended.";
    RUN_TIME = "decknode_run_seconds", "histogram", "seconds", "end",
        "Time of these runs.";
    EVENT_TIME = "decknode_event_time_seconds", "histogram", "seconds", "value",
        "Time per event of a run of an item: expected when its engine was chosen, measured, and the difference (error).";
    ITEMS = "decknode_items_total", "counter", "items", "outcome",
        "Items whose results this node has stored.";
    RESULTS = "decknode_results_stored_total", "counter", "results", "",
        "Results stored at their positions.";
    CHUNKS_FOUND = "decknode_chunks_found_total", "counter", "chunks", "found_by",
        "Chunks of results that another runner had stored when this node wrote or searched for them.";
    GROUPS = "decknode_groups_total", "counter", "groups", "on_time",
        "Groups whose results are all stored, in time or late, and groups open when their job was ended.";
    ORDERS = "decknode_orders_total", "counter", "orders", "reply",
        "Orders to change weights, by the answer of the target.";
    USAGE_REPORTS = "decknode_usage_reports_total", "counter", "reports", "reply",
        "Reports of the use of the organisations that this node sent to the platform, by the reply.";
    USAGE_WINDOWS = "decknode_usage_windows_total", "counter", "windows", "complete",
        "Windows whose use this node has closed; `complete` is false if the counts of a node were missing.";
    SCALING_ORDERS = "decknode_scaling_orders_total", "counter", "orders", "reason, outcome",
        "Orders of a number of targets, by their reason and outcome.";
    LOAD_TIME = "decknode_load_seconds", "histogram", "seconds", "",
        "Time from an order to its target's report that it has the version.";
    ENGINES = "decknode_engines", "gauge", "targets", "model, versions_behind",
        "Engines by how many versions they are behind the newest one that this node knows; 3 stands for more.";
    NEWEST_VERSION = "decknode_newest_version", "gauge", "version", "model",
        "Newest version of a model on any engine.";
    LEADS = "decknode_leads", "gauge", "nodes", "",
        "1 if this node holds the lease of the leader.";
    STORE_CALLS = "decknode_store_calls_total", "counter", "calls", "operation, kind, outcome",
        "Calls on the object API that have ended; each wait of a watch counts.";
    STORE_CALL_TIME = "decknode_store_call_seconds", "histogram", "seconds", "operation",
        "Time of these calls.";
    CONFIGURATION_VERSION = "decknode_configuration_version", "gauge", "version", "",
        "Version of the configuration in force.";
    KNOWLEDGE_AGE = "decknode_knowledge_age_seconds", "gauge", "seconds", "",
        "Age of what the node knows of configuration and targets.";
    CONFIRMATION_AGE = "decknode_configuration_confirmed_age_seconds", "gauge", "seconds", "",
        "Time since the configuration in force was last confirmed as the newest one; absent where keys need no confirmation.";
    TARGETS = "decknode_targets", "gauge", "targets", "",
        "Targets that the node knows.";
    UNREACHABLE_TARGETS = "decknode_unreachable_targets", "gauge", "targets", "",
        "Targets to which the node's last attempt to connect failed.";
    LINKS_CUT = "decknode_target_links_cut", "gauge", "nodes", "",
        "1 if the node's links to all targets count as cut.";
    RELAYED_REQUESTS = "decknode_relayed_requests_total", "counter", "requests", "",
        "Requests to targets that other nodes have sent for this one.";
    LOOP_DELAY = "decknode_loop_delay_seconds", "histogram", "seconds", "",
        "How late a timer of the event loop fires; long delays mean too much work or a VM that did not run.";
    RESIDENT_MEMORY = "decknode_resident_bytes", "gauge", "bytes", "",
        "Resident memory of the process.";
    CLIENT_CLOSURES = "decknode_client_closures_total", "counter", "clients", "reason",
        "Connections closed, or requests refused (`refused_body`), to keep within memory, descriptors or time.";
    CLIENT_HELD = "decknode_client_held_bytes", "gauge", "bytes", "",
        "Requests being received or handled, and answers that their clients have not read.";
}

/// Maximum number of routes with their own label value, which bounds the number of time series.
const MAX_ROUTE_LABELS: usize = 64;
/// Label value shared by all routes above that limit.
const OTHER_ROUTES_LABEL: &str = "other";
/// Label value for requests without a route, and for responses that are not errors of this node.
const NONE_LABEL: &str = "none";
/// Largest value of the label `versions_behind`, which also counts engines that are further behind.
const MAX_VERSIONS_BEHIND: WeightVersion = 3;

/// Metrics registry and instruments of the node; clones share them.
#[derive(Clone)]
pub struct NodeMetrics {
    metrics: Metrics,
    instruments: Rc<Instruments>,
}

/// Instruments, one for each row of [`METRICS`] in the same order.
struct Instruments {
    requests: Counter<u64>,
    request_time: Histogram<f64>,
    attempts: Counter<u64>,
    first_byte: Histogram<f64>,
    stream_resumptions: Counter<u64>,
    job_changes: Counter<u64>,
    open_jobs: Gauge<u64>,
    item_wait: Histogram<f64>,
    first_event_time: Histogram<f64>,
    item_runs: Counter<u64>,
    run_time: Histogram<f64>,
    event_time: Histogram<f64>,
    items: Counter<u64>,
    results: Counter<u64>,
    chunks_found: Counter<u64>,
    groups: Counter<u64>,
    orders: Counter<u64>,
    usage_reports: Counter<u64>,
    usage_windows: Counter<u64>,
    scaling_orders: Counter<u64>,
    load_time: Histogram<f64>,
    engines: Gauge<u64>,
    newest_version: Gauge<u64>,
    leads: Gauge<u64>,
    store_calls: Counter<u64>,
    store_call_time: Histogram<f64>,
    configuration_version: Gauge<u64>,
    view_age: Gauge<f64>,
    confirmation_age: Gauge<f64>,
    targets: Gauge<u64>,
    unreachable_targets: Gauge<u64>,
    links_cut: Gauge<u64>,
    relayed_requests: Counter<u64>,
    /// Number of relayed requests that the counter contains.
    recorded_relayed_requests: Cell<u64>,
    loop_delay: Histogram<f64>,
    resident_memory: Gauge<u64>,
    client_closures: Counter<u64>,
    client_held: Gauge<u64>,
    /// Totals that `client_closures` contains.
    recorded_client_totals: Cell<AccountTotals>,
    /// Names of the routes that have their own label value.
    routes: RefCell<BTreeSet<String>>,
}

/// Purpose of a caller's request, as a metrics label.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestPurpose {
    /// A request that matched a route; on a rollout route, the submission of a batch job.
    Route {
        /// Kind of the route.
        kind: RouteKind,
        /// Name of the route.
        name: String,
    },
    /// A call on a batch job: a read of results or of an item's body, or the end of the job.
    Batch,
    /// No route matched.
    NoRoute,
}

impl RequestPurpose {
    fn label(&self) -> &'static str {
        match self {
            Self::Route { kind: RouteKind::Idempotent, .. } => "idempotent",
            Self::Route { kind: RouteKind::NonIdempotent, .. } => "non_idempotent",
            Self::Route { kind: RouteKind::Streaming, .. } => "streaming",
            Self::Route { kind: RouteKind::Rollout, .. } => "submission",
            Self::Batch => "batch",
            Self::NoRoute => "no_route",
        }
    }

    fn route_name(&self) -> &str {
        match self {
            Self::Route { name, .. } => name,
            Self::Batch | Self::NoRoute => NONE_LABEL,
        }
    }
}

/// Current state of the node that the gauges report.
pub struct GaugeState<'a> {
    /// This node's view of the configuration and the targets.
    pub view: &'a FleetView,
    /// States of the engines, with their weight versions.
    pub engines: &'a EngineRegistry,
    /// Number of unfinished batch jobs that this node runs.
    pub open_jobs: usize,
    /// Whether the node holds the leader's lease.
    pub is_leader: bool,
    /// Client for requests to targets, which knows which of them are in reach.
    pub targets: &'a TargetClient,
}

impl NodeMetrics {
    /// Creates the instruments without recorded values.
    pub fn new() -> Self {
        let metrics = Metrics::default();
        let meter = &metrics.meter("decknode");
        let instruments = Instruments {
            requests: REQUESTS.counter(meter),
            request_time: REQUEST_TIME.latency_histogram(meter),
            attempts: ATTEMPTS.counter(meter),
            first_byte: FIRST_BYTE.latency_histogram(meter),
            stream_resumptions: STREAM_RESUMPTIONS.counter(meter),
            job_changes: JOBS.counter(meter),
            open_jobs: OPEN_JOBS.gauge(meter),
            item_wait: ITEM_WAIT.latency_histogram(meter),
            first_event_time: FIRST_EVENT.latency_histogram(meter),
            item_runs: RUNS.counter(meter),
            run_time: RUN_TIME.latency_histogram(meter),
            event_time: EVENT_TIME.latency_histogram(meter),
            items: ITEMS.counter(meter),
            results: RESULTS.counter(meter),
            chunks_found: CHUNKS_FOUND.counter(meter),
            groups: GROUPS.counter(meter),
            orders: ORDERS.counter(meter),
            usage_reports: USAGE_REPORTS.counter(meter),
            usage_windows: USAGE_WINDOWS.counter(meter),
            scaling_orders: SCALING_ORDERS.counter(meter),
            load_time: LOAD_TIME.latency_histogram(meter),
            engines: ENGINES.gauge(meter),
            newest_version: NEWEST_VERSION.gauge(meter),
            leads: LEADS.gauge(meter),
            store_calls: STORE_CALLS.counter(meter),
            store_call_time: STORE_CALL_TIME.latency_histogram(meter),
            configuration_version: CONFIGURATION_VERSION.gauge(meter),
            view_age: KNOWLEDGE_AGE.seconds_gauge(meter),
            confirmation_age: CONFIRMATION_AGE.seconds_gauge(meter),
            targets: TARGETS.gauge(meter),
            unreachable_targets: UNREACHABLE_TARGETS.gauge(meter),
            links_cut: LINKS_CUT.gauge(meter),
            relayed_requests: RELAYED_REQUESTS.counter(meter),
            recorded_relayed_requests: Cell::default(),
            loop_delay: LOOP_DELAY.latency_histogram(meter),
            resident_memory: RESIDENT_MEMORY.gauge(meter),
            client_closures: CLIENT_CLOSURES.counter(meter),
            client_held: CLIENT_HELD.gauge(meter),
            recorded_client_totals: Cell::default(),
            routes: RefCell::default(),
        };
        Self { metrics, instruments: Rc::new(instruments) }
    }

    /// Records and logs a finished call on the object API.
    pub fn record_store_call(&self, call: CallRecord<'_>) {
        let CallRecord { operation, kind, outcome, duration } = call;
        let (operation, outcome, ms) = (operation.label(), outcome.label(), duration.as_millis());
        log::debug!(target: "store", "call operation={operation} kind={kind} outcome={outcome} ms={ms}");
        let operation = KeyValue::new("operation", call.operation.label());
        let kind = KeyValue::new("kind", call.kind.to_owned());
        let outcome = KeyValue::new("outcome", call.outcome.label());
        self.instruments.store_calls.add(1, &[operation.clone(), kind, outcome]);
        self.instruments.store_call_time.record(call.duration.as_secs_f64(), &[operation]);
    }

    /// Records how late a timer of the event loop has fired.
    pub fn record_loop_delay(&self, delay: Duration) {
        self.instruments.loop_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Records what the servers hold for their clients and whom they have closed or refused.
    pub fn record_clients(&self, account: &Account) {
        let totals = account.totals();
        let recorded = self.instruments.recorded_client_totals.replace(totals);
        let closures = &self.instruments.client_closures;
        let add = |reason: &'static str, total: u64, recorded: u64| {
            closures.add(total - recorded, &[KeyValue::new("reason", reason)]);
        };
        add("memory", totals.closed_for_memory, recorded.closed_for_memory);
        add("descriptors", totals.closed_for_descriptors, recorded.closed_for_descriptors);
        add("timeout", totals.closed_for_timeout, recorded.closed_for_timeout);
        add("refused_body", totals.refused_bodies, recorded.refused_bodies);
        self.instruments.client_held.record(account.held_bytes() as u64, &[]);
    }

    /// Records a response to a caller; `error` is set if this node itself generated an error.
    pub fn record_request(
        &self,
        purpose: &RequestPurpose,
        status: u16,
        error: Option<ErrorKind>,
        time: Duration,
    ) {
        let labels = [
            KeyValue::new("purpose", purpose.label()),
            KeyValue::new("route", self.route_label(purpose.route_name())),
            KeyValue::new("status", i64::from(status)),
            KeyValue::new("reason", error.map_or(NONE_LABEL, |kind| kind.properties().code)),
        ];
        self.instruments.requests.add(1, &labels);
        self.instruments.request_time.record(time.as_secs_f64(), &labels[..1]);
    }

    /// Returns the label value of a route, which is shared once `MAX_ROUTE_LABELS` routes have
    /// their own.
    fn route_label(&self, route: &str) -> String {
        let mut routes = self.instruments.routes.borrow_mut();
        if routes.contains(route) {
            return route.to_owned();
        }
        if routes.len() >= MAX_ROUTE_LABELS {
            return OTHER_ROUTES_LABEL.to_owned();
        }
        routes.insert(route.to_owned());
        route.to_owned()
    }

    /// Counts an order of a number of targets.
    pub fn record_scaling_order(&self, reason: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("reason", reason), KeyValue::new("outcome", outcome)];
        self.instruments.scaling_orders.add(1, &labels);
    }

    /// Updates the gauges from `state` and returns all metrics in the Prometheus text format.
    pub fn render(&self, state: &GaugeState<'_>) -> String {
        let view = state.view;
        let instruments = &self.instruments;
        let version = view.configuration().map_or(0, |configuration| configuration.version);
        instruments.configuration_version.record(version, &[]);
        if let Some(age) = view.age(Instant::now()) {
            instruments.view_age.record(age.as_secs_f64(), &[]);
        }
        if let Some(at) = view.configuration_confirmed_at() {
            instruments.confirmation_age.record(at.elapsed().as_secs_f64(), &[]);
        }
        instruments.targets.record(view.targets().len() as u64, &[]);
        instruments.unreachable_targets.record(state.targets.unreachable_count() as u64, &[]);
        instruments.links_cut.record(u64::from(state.targets.are_links_cut()), &[]);
        let relayed_requests = state.targets.relayed_request_count();
        let recorded = instruments.recorded_relayed_requests.replace(relayed_requests);
        instruments.relayed_requests.add(relayed_requests - recorded, &[]);
        instruments.open_jobs.record(state.open_jobs as u64, &[]);
        instruments.leads.record(u64::from(state.is_leader), &[]);
        match resident_bytes() {
            Ok(bytes) => instruments.resident_memory.record(bytes, &[]),
            Err(error) => log::debug!(target: "node", "memory use unknown error={error}"),
        }
        for (model, versions) in engine_versions(view, state.engines) {
            self.record_versions(&model, &versions);
        }
        self.metrics.render()
    }

    /// Records the newest version of a model and how many engines are how far behind it.
    fn record_versions(&self, model: &str, versions: &[WeightVersion]) {
        let Some(newest) = versions.iter().copied().max() else { return };
        let model_label = KeyValue::new("model", model.to_owned());
        self.instruments.newest_version.record(newest, std::slice::from_ref(&model_label));
        for behind in 0..=MAX_VERSIONS_BEHIND {
            let is_behind =
                |version: &&WeightVersion| (newest - **version).min(MAX_VERSIONS_BEHIND) == behind;
            let count = versions.iter().filter(is_behind).count() as u64;
            let behind_label = KeyValue::new("versions_behind", behind as i64);
            self.instruments.engines.record(count, &[model_label.clone(), behind_label]);
        }
    }
}

/// Returns, for each model, its weight versions on the engines that serve it.
fn engine_versions(
    view: &FleetView,
    engines: &EngineRegistry,
) -> BTreeMap<ModelName, Vec<WeightVersion>> {
    let mut versions: BTreeMap<ModelName, Vec<WeightVersion>> = BTreeMap::new();
    let Some(configuration) = view.configuration() else { return versions };
    for service in configuration.services.values() {
        for model in service.engine.iter().flat_map(|engine| &engine.models) {
            let targets = view.targets_of(&service.name);
            let known_versions = targets.iter().filter_map(|target| engines.version(target, model));
            versions.entry(model.clone()).or_default().extend(known_versions);
        }
    }
    versions
}

impl Observer for NodeMetrics {
    fn on_attempt_end(&self, outcome: AttemptOutcome, first_byte: Option<Duration>) {
        self.instruments.attempts.add(1, &[KeyValue::new("outcome", outcome.label())]);
        if let Some(time) = first_byte {
            self.instruments.first_byte.record(time.as_secs_f64(), &[]);
        }
    }

    fn on_stream_resumption(&self, scope: ResumptionScope, outcome: ResumptionOutcome) {
        let labels =
            [KeyValue::new("scope", scope.label()), KeyValue::new("outcome", outcome.label())];
        self.instruments.stream_resumptions.add(1, &labels);
    }

    fn on_job_event(&self, event: JobEvent) {
        self.instruments.job_changes.add(1, &[KeyValue::new("change", event.label())]);
    }

    fn on_first_run(&self, wait: Duration) {
        self.instruments.item_wait.record(wait.as_secs_f64(), &[]);
    }

    fn on_first_event(&self, time_since_run_start: Duration) {
        self.instruments.first_event_time.record(time_since_run_start.as_secs_f64(), &[]);
    }

    fn on_item_run_end(&self, outcome: ItemRunOutcome, time: Duration) {
        let attributes = [KeyValue::new("end", outcome.label())];
        self.instruments.item_runs.add(1, &attributes);
        self.instruments.run_time.record(time.as_secs_f64(), &attributes);
    }

    fn on_event_time(&self, expected: Duration, measured: Duration) {
        let values = [
            ("expected", expected),
            ("measured", measured),
            ("error", expected.abs_diff(measured)),
        ];
        for (value, time) in values {
            let attributes = [KeyValue::new("value", value)];
            self.instruments.event_time.record(time.as_secs_f64(), &attributes);
        }
    }

    fn on_item_result(&self, outcome: ItemOutcome) {
        let outcome = match outcome {
            ItemOutcome::Completed => "completed",
            ItemOutcome::Failed => "failed",
        };
        self.instruments.items.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    fn on_results_stored(&self, count: usize) {
        self.instruments.results.add(count as u64, &[]);
    }

    fn on_chunk_found(&self, found_by: ChunkFinder) {
        self.instruments.chunks_found.add(1, &[KeyValue::new("found_by", found_by.label())]);
    }

    fn on_group_end(&self, on_time: bool) {
        self.instruments.groups.add(1, &[KeyValue::new("on_time", on_time)]);
    }

    fn on_order_reply(&self, reply: Option<&'static str>) {
        self.instruments.orders.add(1, &[KeyValue::new("reply", reply.unwrap_or("none"))]);
    }

    fn on_usage_report(&self, reply: &'static str) {
        self.instruments.usage_reports.add(1, &[KeyValue::new("reply", reply)]);
    }

    fn on_usage_window_closed(&self, complete: bool) {
        self.instruments.usage_windows.add(1, &[KeyValue::new("complete", complete)]);
    }

    fn on_weights_loaded(&self, time: Duration) {
        self.instruments.load_time.record(time.as_secs_f64(), &[]);
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new()
    }
}
