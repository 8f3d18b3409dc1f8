//! Requests for a job after another node has acknowledged its end.
//!
//! A node that runs a job learns of an end that another node has stored only by reading the job's
//! record. Items, speculative copies and reward calls must not reach a target later than
//! [`STOP_TIME`] after the acknowledgement.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use deck_batch::{
    JobRecord, JobStore, Runner, RunnerOptions, StoreJobOutcome,
    job::{ItemPhase, ItemState, Job},
};
use deck_core::CancellationToken;
use deck_core::boot_clock::BootInstant;
use deck_core::id::{Revision, WeightVersion};
use deck_fleet::{
    BatchCall, CallerLimits, Configuration, EngineConfig, Item, ItemOutcome, ItemResult,
    RequestMetadata, RewardCall, Route, RouteKind, ServiceConfig, Target,
};
use deck_net::http::StatusCode;
use deck_testkit::{
    eventually,
    memory::{Fault, MemoryObjects},
    raw::{RawExchange, RawServer},
};

mod common;

use common::{Node, node};

/// Time after the acknowledgement of an end within which requests for the job have to stop.
const STOP_TIME: Duration = Duration::from_millis(3000);
/// Time in which a waiting item or reward call would be sent if nothing held it back.
const DISPATCH_TIME: Duration = Duration::from_millis(500);
/// Speculative copies need a version that is this much newer than their job's oldest one.
const COPY_VERSION: WeightVersion = 3;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Target that answers runs of items and reward calls, and records when each has arrived.
struct RecordingTarget {
    server: RawServer,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl RecordingTarget {
    /// Starts a target that answers runs with a text of one event, and reward calls with
    /// `reward_status`.
    fn start(reward_status: &'static str) -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let recorded = arrivals.clone();
        let server = RawServer::start(move |call: &mut RawExchange| {
            recorded.lock().expect("arrivals").push(Instant::now());
            let id = call.header("request-id").unwrap_or_default();
            let is_reward = call.head.starts_with("POST /score");
            let (status, body) = match is_reward {
                true => (reward_status, "score".to_owned()),
                false => ("200 OK", "id: 1\ndata: text\n\n".to_owned()),
            };
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            call.write(&response);
        });
        Self { server, arrivals }
    }

    fn target(&self, id: &str, version: WeightVersion) -> Target {
        let models = vec![("m".to_owned(), version)];
        Target { models, ..common::engine(id, self.server.address) }
    }

    fn arrival_count(&self) -> usize {
        self.arrivals.lock().expect("arrivals").len()
    }

    fn last_arrival(&self) -> Option<Instant> {
        self.arrivals.lock().expect("arrivals").last().copied()
    }
}

fn route(name: &str, path_prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind,
        resumable: false,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(400),
        priority: 1,
        service_weights: vec![("s".to_owned(), 1)],
        max_attempts: 100,
        result_deadline: Duration::from_secs(60),
        item_deadline: Duration::from_secs(60),
        single_version: false,
        is_public: false,
    }
}

/// Gives the node a configuration with a route for jobs and one for reward calls.
fn configure(node: &Node) {
    let engine = EngineConfig { slots: 8, tokens_per_event: 1, models: vec!["m".to_owned()] };
    let service = ServiceConfig { name: "s".to_owned(), engine: Some(engine), scaling: None };
    let routes = vec![
        route("jobs", "/j/", RouteKind::Rollout),
        route("rewards", "/score/", RouteKind::Idempotent),
    ];
    let limits = CallerLimits::default();
    node.view.set_configuration(Configuration::new(1, routes, vec![service], limits));
}

/// Returns an item with a reward call.
fn scored_item() -> Item {
    let reward = RewardCall {
        id: "call".to_owned(),
        host: "h".to_owned(),
        path: "/score/1".to_owned(),
        body: "Ym9keQ==".to_owned(),
    };
    Item { reward: Some(reward), ..common::item("a") }
}

fn set_targets(node: &Node, targets: Vec<Target>) {
    node.view.set_targets(targets, Instant::now());
}

/// Stores a job of the given items that runs on the VM `vm-1`.
async fn store_job(node: &Node, items: Vec<Item>) -> (JobRecord, Revision) {
    let job = common::job("job", items);
    let accepted = node.job_store.store_job(&job, "vm-1", address()).await;
    let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
    (record, revision)
}

/// Starts a node that runs a job of the given items.
async fn node_that_runs(objects: &MemoryObjects, items: Vec<Item>) -> (Node, Rc<Job>) {
    let node = node("vm-1", address(), objects);
    configure(&node);
    let (record, revision) = store_job(&node, items.clone()).await;
    let job = node.runner.start_job("job", record, revision, BootInstant::now(), items);
    (node, job)
}

/// Stores the end of the job, as another node does before it acknowledges it.
async fn end_at_another_node(node: &Node) {
    let (record, revision) = node.job_store.read_record("job").await.expect("record").expect("job");
    let ended = JobRecord { ended: true, ..record };
    node.job_store.replace_record("job", revision, &ended).await.expect("ended");
}

async fn end(node: &Node) -> StatusCode {
    let call = BatchCall::End { job: "job".to_owned() };
    node.service.call(call, None, &RequestMetadata::default()).await.status()
}

async fn is_end_stored(node: &Node) -> bool {
    let stored = node.job_store.read_record("job").await;
    stored.is_ok_and(|stored| stored.is_some_and(|(record, _)| record.ended))
}

fn run_async<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: the last items of a job complete while a speculative copy waits for a newer version, and
/// another node ends the job. Guards against a copy that is sent seconds later, when an engine has
/// that version.
#[test]
fn complete_job_sends_no_speculative_copy() {
    run_async(async {
        let target = RecordingTarget::start("200 OK");
        let (node, job) = node_that_runs(&MemoryObjects::default(), vec![common::item("a")]).await;
        job.speculative_items.borrow_mut().push(Rc::new(ItemState::speculative(common::item("a"))));
        set_targets(&node, vec![target.target("e", 1)]);
        eventually("the job is complete", async || job.is_complete()).await;
        assert_eq!(target.arrival_count(), 1);
        set_targets(&node, vec![target.target("e", 1), target.target("f", COPY_VERSION)]);
        monoio::time::sleep(DISPATCH_TIME).await;
        assert_eq!(target.arrival_count(), 1);
    });
}

/// Pattern: a node scores a text, another runner lists the item and thus completes the job, and a
/// node that sees the complete job acknowledges its end. Guards against reward calls that are
/// repeated for an item that has a result.
#[test]
fn reward_calls_stop_when_another_runner_completes_the_job() {
    run_async(async {
        let target = RecordingTarget::start("500 Internal Server Error");
        let item = scored_item();
        let (node, job) = node_that_runs(&MemoryObjects::default(), vec![item]).await;
        job.unpublished_item("a").expect("item").set_phase(ItemPhase::Generated);
        set_targets(&node, vec![target.target("e", 1)]);
        eventually("a reward call is sent", async || target.arrival_count() > 0).await;
        let result = ItemResult {
            item: "a".to_owned(),
            outcome: ItemOutcome::Completed,
            text: "text".to_owned(),
            versions: vec![1],
            score: Some("score".to_owned()),
        };
        node.job_store.store_chunk("job", 0, &[Rc::new(result)]).await.expect("stored");
        let read = BatchCall::Read { job: "job".to_owned(), from: 0 };
        let response = node.service.call(read, None, &RequestMetadata::default()).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert!(job.is_complete());
        let completed_at = Instant::now();
        monoio::time::sleep(DISPATCH_TIME).await;
        // A call may have been on its way when the job was completed.
        let in_flight = completed_at + Duration::from_millis(50);
        assert!(target.last_arrival().expect("arrival") < in_flight);
    });
}

/// Pattern: all results of a job are stored, and a node that knows them ends it. Guards against an
/// acknowledged end of which the job's runner, which may not know the last results, never learns.
#[test]
fn end_of_a_complete_job_is_stored() {
    run_async(async {
        let target = RecordingTarget::start("200 OK");
        let (node, job) = node_that_runs(&MemoryObjects::default(), vec![common::item("a")]).await;
        set_targets(&node, vec![target.target("e", 1)]);
        eventually("the job is complete", async || job.is_complete()).await;
        assert_eq!(end(&node).await, StatusCode::OK);
        assert!(is_end_stored(&node).await);
    });
}

/// Pattern: the object API does not answer a runner, and another node, which it does answer, ends the
/// job. Guards against items that are sent for as long as the ownership checks fail.
#[test]
fn items_are_not_sent_while_ownership_checks_fail() {
    run_async(async {
        let target = RecordingTarget::start("200 OK");
        let objects = MemoryObjects::default();
        let (node, job) = node_that_runs(&objects, vec![common::item("a")]).await;
        objects.set_fault(Some(Fault::Unavailable), None);
        monoio::time::sleep(STOP_TIME).await;
        set_targets(&node, vec![target.target("e", 1)]);
        monoio::time::sleep(DISPATCH_TIME).await;
        assert_eq!(target.arrival_count(), 0);
        objects.set_fault(None, None);
        eventually("the item is sent after a check", async || job.is_complete()).await;
    });
}

/// Pattern: as [`items_are_not_sent_while_ownership_checks_fail`], with a reward call.
#[test]
fn reward_calls_are_not_sent_while_ownership_checks_fail() {
    run_async(async {
        let target = RecordingTarget::start("200 OK");
        let item = scored_item();
        let objects = MemoryObjects::default();
        let (node, job) = node_that_runs(&objects, vec![item]).await;
        objects.set_fault(Some(Fault::Unavailable), None);
        monoio::time::sleep(STOP_TIME).await;
        job.unpublished_item("a").expect("item").set_phase(ItemPhase::Generated);
        set_targets(&node, vec![target.target("e", 1)]);
        monoio::time::sleep(DISPATCH_TIME).await;
        assert_eq!(target.arrival_count(), 0);
        objects.set_fault(None, None);
        eventually("the item is scored after a check", async || job.is_complete()).await;
    });
}

/// Pattern: a restarted runner reads the record of its job, and the job ends while the items, results
/// and texts are read from a slow object API. Guards against items that are sent because the job
/// object is new, although its record is old.
#[test]
fn job_that_ends_while_it_is_loaded_sends_nothing() {
    run_async(async {
        let target = RecordingTarget::start("200 OK");
        let objects = MemoryObjects::default();
        let node = node("vm-1", address(), &objects);
        configure(&node);
        set_targets(&node, vec![target.target("e", 1)]);
        store_job(&node, vec![common::item("a")]).await;
        objects.set_read_delay(Duration::from_millis(1200));
        let (record, revision) =
            node.job_store.read_record("job").await.expect("record").expect("job");

        objects.set_read_delay(Duration::ZERO);
        end_at_another_node(&node).await;
        let ended_at = Instant::now();
        objects.set_read_delay(Duration::from_millis(1200));
        node.runner.load_job("job", record, revision).await.expect("loaded");
        monoio::time::sleep(STOP_TIME).await;
        let late = target.last_arrival().filter(|arrival| *arrival > ended_at + STOP_TIME);
        assert_eq!(late, None);
    });
}

/// Pattern: the object API fails as a caller ends a job, and the caller does not try again. Guards
/// against an end that is forgotten, so that the job's items are sent for as long as it lasts.
#[test]
fn end_that_could_not_be_stored_is_carried_out_later() {
    run_async(async {
        let target = RecordingTarget::start("200 OK");
        let objects = MemoryObjects::default();
        let (node, _job) = node_that_runs(&objects, vec![common::item("a")]).await;
        objects.set_fault(Some(Fault::Unavailable), None);
        // Not 503, which would promise that the end is never carried out.
        assert_eq!(end(&node).await, StatusCode::GATEWAY_TIMEOUT);
        set_targets(&node, vec![target.target("e", 1)]);
        monoio::time::sleep(DISPATCH_TIME).await;
        assert_eq!(target.arrival_count(), 0);
        objects.set_fault(None, None);
        eventually("the end is stored", async || is_end_stored(&node).await).await;
        assert_eq!(target.arrival_count(), 0);
    });
}

/// Pattern: as [`end_that_could_not_be_stored_is_carried_out_later`], at a node that does not run the
/// job and cannot even find out which one does.
#[test]
fn end_of_a_job_that_was_not_found_is_carried_out_later() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (runner, _job) = node_that_runs(&objects, vec![common::item("a")]).await;
        let other = node("vm-2", SocketAddr::from(([127, 0, 0, 1], 2)), &objects);
        objects.set_fault(Some(Fault::Unavailable), None);
        assert_eq!(end(&other).await, StatusCode::GATEWAY_TIMEOUT);
        objects.set_fault(None, None);
        eventually("the end is stored", async || is_end_stored(&runner).await).await;
    });
}

/// Pattern: a runner is too slow to answer an end, so another node stores it. Guards against a runner
/// that goes on until its next ownership check, although it could be told.
#[test]
fn runner_is_told_of_an_end_that_another_node_has_stored() {
    run_async(async {
        let deletions = Arc::new(Mutex::new(0));
        let counted = deletions.clone();
        // Leaves the first deletion unanswered and answers everything else.
        let runner = RawServer::start(move |call: &mut RawExchange| {
            if call.head.starts_with("DELETE") {
                let mut deletions = counted.lock().expect("deletions");
                *deletions += 1;
                if *deletions == 1 {
                    return;
                }
            }
            call.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        let objects = MemoryObjects::default();
        let node = node("vm-1", address(), &objects);
        let job = common::job("job", vec![common::item("a")]);
        node.job_store.store_job(&job, "vm-2", runner.address).await;
        assert_eq!(end(&node).await, StatusCode::OK);
        assert!(is_end_stored(&node).await);
        eventually("the runner is told", async || *deletions.lock().expect("deletions") == 2).await;
    });
}

/// Pattern: the object API is slow or down as a caller ends a job, and the caller closes its
/// connection before the answer. Guards against an end that is forgotten because its handler is
/// dropped together with the connection.
#[test]
fn end_whose_caller_disconnects_is_carried_out() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, _job) = node_that_runs(&objects, vec![common::item("a")]).await;
        objects.set_fault(Some(Fault::Unavailable), None);
        objects.set_write_delay(Duration::from_millis(500));
        // The server drops the future of a call when the connection of its caller closes.
        let call = monoio::time::timeout(Duration::from_millis(100), end(&node)).await;
        assert!(call.is_err());
        objects.set_fault(None, None);
        objects.set_write_delay(Duration::ZERO);
        monoio::time::sleep(STOP_TIME).await;
        assert!(is_end_stored(&node).await);
    });
}

/// Pattern: as [`end_whose_caller_disconnects_is_carried_out`], at a node that is still looking for
/// the job's runner.
#[test]
fn end_whose_caller_disconnects_during_the_lookup_is_carried_out() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (runner, _job) = node_that_runs(&objects, vec![common::item("a")]).await;
        let other = node("vm-2", SocketAddr::from(([127, 0, 0, 1], 2)), &objects);
        objects.set_read_delay(Duration::from_millis(500));
        let call = monoio::time::timeout(Duration::from_millis(100), end(&other)).await;
        assert!(call.is_err());
        objects.set_read_delay(Duration::ZERO);
        monoio::time::sleep(STOP_TIME).await;
        assert!(is_end_stored(&runner).await);
    });
}

/// Pattern: a node that holds an end which it could not store yet gets the signal to stop when the
/// object API answers again. Guards against an end that is lost with the process, after which the
/// next runner resumes the job.
#[test]
fn pending_end_is_stored_before_the_node_stops() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, _job) = node_that_runs(&objects, vec![common::item("a")]).await;
        objects.set_fault(Some(Fault::Unavailable), None);
        assert_eq!(end(&node).await, StatusCode::GATEWAY_TIMEOUT);
        // The waits between two attempts have grown to two seconds.
        monoio::time::sleep(STOP_TIME).await;
        objects.set_fault(None, None);
        node.service.set_draining();
        node.service.hand_over_jobs(&[]).await;
        assert!(is_end_stored(&node).await);
    });
}

/// Pattern: a trainer gives a step up and ends its job while a node is still storing the job. Guards
/// against an end that is answered as that of an unknown job and forgotten, after which all items of
/// the job are sent.
#[test]
fn job_that_ends_while_it_is_stored_sends_nothing() {
    run_async(async {
        let target = RecordingTarget::start("200 OK");
        let objects = MemoryObjects::default();
        let node = node("vm-1", address(), &objects);
        configure(&node);
        set_targets(&node, vec![target.target("e", 1)]);
        objects.set_write_delay(Duration::from_millis(500));
        let service = node.service.clone();
        let submission = monoio::spawn(async move {
            let body = br#"{"Step":0,"Model":"m","MinVersion":1,"GroupCount":0,"Items":[{"Id":"a","Path":"/p","Headers":{},"Body":"","Tokens":100}]}"#;
            let id = RequestMetadata { request_id: Some("job".to_owned()), ..Default::default() };
            let route = route("jobs", "/j/", RouteKind::Rollout);
            service.submit("h", "/j/job", &route, None, &id, body.as_slice().into()).await.status()
        });
        monoio::time::sleep(Duration::from_millis(100)).await;
        end(&node).await;
        let status = submission.await;
        objects.set_write_delay(Duration::ZERO);
        monoio::time::sleep(STOP_TIME).await;
        assert_eq!(target.arrival_count(), 0, "the submission was answered with {status}");
    });
}

/// Pattern: a check of a job's record is under way as this node stores the end of the job. Guards
/// against an end that the older record undoes in memory.
#[test]
fn record_that_was_read_before_the_end_does_not_undo_it() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, job) = node_that_runs(&objects, vec![common::item("a")]).await;
        objects.set_read_delay(Duration::from_millis(1000));
        // The periodic check has started after this time.
        monoio::time::sleep(Duration::from_millis(1800)).await;
        assert_eq!(end(&node).await, StatusCode::OK);
        assert!(job.is_ended());
        monoio::time::sleep(Duration::from_millis(1500)).await;
        assert!(job.is_ended());
    });
}

/// Pattern: a deployment allows an end less time than a request needs to reach its target. Guards
/// against checks that follow one another without a pause.
#[test]
fn short_bound_for_ends_causes_no_busy_loop() {
    run_async(async {
        let objects = MemoryObjects::default();
        objects.set_read_delay(Duration::from_millis(1));
        let job_store = JobStore::new(objects.store(), 1 << 20);
        let deps = common::runner_deps("vm-1", address(), &job_store);
        deps.bounds.borrow_mut().job_end_effect = Duration::from_millis(500);
        let cancel = CancellationToken::new();
        let runner = Runner::start(deps, RunnerOptions::default(), cancel.clone());
        let job = common::job("job", vec![common::item("a")]);
        let accepted = job_store.store_job(&job, "vm-1", address()).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        let calls_before = objects.call_count();
        runner.start_job("job", record, revision, BootInstant::now(), job.items);
        monoio::time::sleep(Duration::from_millis(1000)).await;
        let calls = objects.call_count() - calls_before;
        assert!(calls <= 10, "{calls} calls in a second");
        cancel.cancel();
    });
}

/// Pattern: the object API is down, and a run that its target has received is slower than it would be
/// elsewhere. Guards against a run that is broken off to move although it may not be sent again.
#[test]
fn run_does_not_move_while_ownership_checks_fail() {
    run_async(async {
        // Streams forever: slowly for the first request, and fast for all others.
        let requests = Arc::new(Mutex::new(0));
        let counted = requests.clone();
        let server = RawServer::start(move |call: &mut RawExchange| {
            let id = call.header("request-id").unwrap_or_default().to_owned();
            let is_slow = id == "slow";
            if is_slow {
                *counted.lock().expect("requests") += 1;
            }
            let after: u64 =
                call.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            call.write(&format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            ));
            for number in after + 1..after + 1000 {
                std::thread::sleep(Duration::from_millis(if is_slow { 300 } else { 20 }));
                if !call.write_chunk(&format!("id: {number}\ndata: text\n\n")) {
                    return;
                }
            }
        });
        let target = |id: &str| Target { slots: 1, ..common::engine(id, server.address) };
        let objects = MemoryObjects::default();
        let items = ["slow", "fast"].map(|id| Item {
            tokens: 1000,
            length_hint: Some(1000),
            ..common::item(id)
        });
        let (node, job) = node_that_runs(&objects, items.to_vec()).await;
        set_targets(&node, vec![target("e"), target("f")]);
        let phase = |id: &str| job.unpublished_item(id).expect("item").phase.get();
        eventually("both items run", async || {
            phase("slow") == ItemPhase::Running && phase("fast") == ItemPhase::Running
        })
        .await;
        objects.set_fault(Some(Fault::Unavailable), None);
        monoio::time::sleep(STOP_TIME).await;
        // Adds a fast engine with a free slot.
        let fast = job.unpublished_item("fast").expect("item");
        job.finish_item(&fast, ItemOutcome::Completed, None);
        fast.migration_token.borrow().cancel();
        monoio::time::sleep(STOP_TIME).await;
        assert_eq!(phase("slow"), ItemPhase::Running);
        assert_eq!(*requests.lock().expect("requests"), 1);
    });
}
