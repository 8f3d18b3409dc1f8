//! Reads at a node whose copy of a job lacks results that are stored.
//!
//! A position that one node has listed must be listed by all nodes that answer 200. Each test stores
//! a chunk that the reading node has not seen, and reads from the position of that chunk.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::{JobRecord, JobStore, StoreJobOutcome, job::Job};
use deck_core::boot_clock::BootInstant;
use deck_core::id::Revision;
use deck_fleet::{
    BatchCall, ChunkFinder, ItemOutcome, ItemResult, Observer, RequestMetadata, Route, RouteKind,
};
use deck_net::http::StatusCode;
use deck_testkit::memory::{Fault, MemoryObjects};
use http_body_util::BodyExt;
use serde_json::{Value, json};

mod common;

use common::{Node, node, node_with_observer};

/// Time within which all nodes have to list a result that one of them has listed.
const SETTLE_TIME: Duration = Duration::from_millis(1000);
/// Longer than [`deck_batch::RunnerOptions::late_write_window`] by default.
const AFTER_LATE_WRITE_WINDOW: Duration = Duration::from_millis(3200);

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn other_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2))
}

fn result(item: &str) -> Rc<ItemResult> {
    Rc::new(ItemResult {
        item: item.to_owned(),
        outcome: ItemOutcome::Completed,
        text: "text".to_owned(),
        versions: vec![1],
        score: None,
    })
}

/// Starts a node and a job of two items that runs on it.
async fn node_with_job(objects: &MemoryObjects) -> (Node, JobRecord, Revision) {
    let node = node("vm-1", address(), objects);
    let job = common::job("job", vec![common::item("a"), common::item("b")]);
    let accepted = node.job_store.store_job(&job, "vm-1", address()).await;
    let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
    (node, record, revision)
}

/// As [`node_with_job`], with the job started on the node.
async fn node_that_runs_job(objects: &MemoryObjects) -> (Node, Rc<Job>) {
    let (node, record, revision) = node_with_job(objects).await;
    let items = node.job_store.read_items("job", &record).await.expect("items");
    let job = node.runner.start_job("job", record, revision, BootInstant::now(), items);
    (node, job)
}

/// Stores the first chunk of the job, as another node does.
async fn store_first_chunk(job_store: &JobStore) {
    job_store.store_chunk("job", 0, &[result("a")]).await.expect("stored");
}

/// Reads from the first position without waiting for a result. Returns the number of results, or
/// `None` if the node answers that it cannot tell.
async fn read_without_wait(node: &Node) -> Option<usize> {
    let call = BatchCall::Read { job: "job".to_owned(), from: 0 };
    let response = node.service.call(call, None, &RequestMetadata::default()).await;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.into_body().collect().await.expect("body").to_bytes();
    let page: Value = serde_json::from_slice(&body).expect("json");
    Some(page["Results"].as_array().expect("results").len())
}

fn run_async<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: a runner is paused, another node takes its job over, and the first one wakes up and
/// stores the results that it had. Guards against a new runner that never looks for them and lists
/// fewer results than the first one has shown to a reader.
#[test]
fn chunk_of_the_previous_runner_is_listed_long_after_a_takeover() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, ..) = node_with_job(&objects).await;
        assert_eq!(read_without_wait(&node).await, Some(0));
        monoio::time::sleep(AFTER_LATE_WRITE_WINDOW).await;
        store_first_chunk(&node.job_store).await;
        monoio::time::sleep(SETTLE_TIME).await;
        assert_eq!(read_without_wait(&node).await, Some(1));
    });
}

/// Pattern: a VM is suspended, and another node takes its job over. The steady clock does not count
/// the suspension, so the last check of the first runner seems recent. Guards against an answer from
/// its outdated copy.
#[test]
fn suspended_runner_does_not_answer_from_its_outdated_copy() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, record, revision) = node_with_job(&objects).await;
        assert_eq!(read_without_wait(&node).await, Some(0));
        let taken_over =
            JobRecord { runner: "vm-2".to_owned(), address: other_address(), ..record };
        node.job_store.replace_record("job", revision, &taken_over).await.expect("taken over");
        store_first_chunk(&node.job_store).await;
        assert_ne!(read_without_wait(&node).await, Some(0));
    });
}

/// Pattern: a runner is cut off, and another node takes its job over, lists a result and ends the
/// job. Guards against a first runner that finds out while it answers a read, and still answers from
/// its outdated copy.
#[test]
fn job_that_ended_under_another_runner_is_not_read_from_an_outdated_copy() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, record, revision) = node_with_job(&objects).await;
        assert_eq!(read_without_wait(&node).await, Some(0));
        monoio::time::sleep(SETTLE_TIME).await;
        store_first_chunk(&node.job_store).await;
        let ended = JobRecord {
            runner: "vm-2".to_owned(),
            address: other_address(),
            ended: true,
            ..record
        };
        node.job_store.replace_record("job", revision, &ended).await.expect("ended");
        assert_ne!(read_without_wait(&node).await, Some(0));
    });
}

/// Pattern: the object API carries writes out and does not answer them, so other nodes list a chunk
/// of which its runner does not know yet. Guards against a runner that confirms its ownership of the
/// job and lists fewer results than the other nodes.
#[test]
fn chunk_whose_response_was_lost_is_listed_by_its_runner() {
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, job) = node_that_runs_job(&objects).await;
        objects.set_fault_for_kind("batchresults", Fault::ResponseLost, u32::MAX);
        let item = job.unpublished_item("a").expect("item");
        job.finish_item(&item, ItemOutcome::Completed, None);
        deck_testkit::eventually("the chunk is stored", async || {
            !objects.object_names("batchresults").is_empty()
        })
        .await;
        monoio::time::sleep(SETTLE_TIME).await;
        assert_ne!(read_without_wait(&node).await, Some(0));
        objects.set_fault(None, None);
        assert_eq!(read_without_wait(&node).await, Some(1));
    });
}

/// Counts of what a runner reports about stored results.
#[derive(Default)]
struct ResultCounts {
    stored_results: Cell<usize>,
    completed_groups: Cell<usize>,
    found_chunks: RefCell<Vec<&'static str>>,
}

impl Observer for ResultCounts {
    fn on_results_stored(&self, count: usize) {
        self.stored_results.set(self.stored_results.get() + count);
    }

    fn on_group_end(&self, _on_time: bool) {
        self.completed_groups.set(self.completed_groups.get() + 1);
    }

    fn on_chunk_found(&self, found_by: ChunkFinder) {
        self.found_chunks.borrow_mut().push(found_by.label());
    }
}

fn rollout_route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/j/".to_owned(),
        kind: RouteKind::Rollout,
        resumable: false,
        timeout: Duration::ZERO,
        target_latency: Duration::ZERO,
        priority: 1,
        service_weights: vec![("s".to_owned(), 1)],
        max_attempts: 3,
        result_deadline: Duration::from_millis(7500),
        item_deadline: Duration::from_secs(60),
        single_version: false,
        is_public: false,
    }
}

/// Submits the job of two items, as its caller does.
async fn submit(node: &Node) -> StatusCode {
    let items = [json!({ "Id": "a", "Path": "/p" }), json!({ "Id": "b", "Path": "/p" })];
    let body = json!({ "Model": "m", "MinVersion": 1, "Items": items }).to_string();
    let metadata =
        RequestMetadata { request_id: Some("job".to_owned()), ..RequestMetadata::default() };
    node.service
        .submit("h", "/j/job", &rollout_route(), None, &metadata, body.into())
        .await
        .status()
}

/// Pattern: the answer to a submission is lost, the job runs and stores results, its node restarts
/// under the same address, and the caller submits the job again there. Guards against a job that
/// starts from nothing beside its stored results: it would list none of them and run all items
/// again.
#[test]
fn repeated_submission_at_a_restarted_runner_continues_the_stored_job() {
    run_async(async {
        let objects = MemoryObjects::default();
        let first_process = node("vm-1", address(), &objects);
        assert_eq!(submit(&first_process).await, StatusCode::ACCEPTED);
        store_first_chunk(&first_process.job_store).await;
        drop(first_process);
        // A restart takes longer than the resolution of submission times.
        monoio::time::sleep(Duration::from_millis(5)).await;
        let node = node("vm-1", address(), &objects);
        assert_eq!(submit(&node).await, StatusCode::ACCEPTED);
        deck_testkit::eventually("the job runs", async || node.runner.job("job").is_some()).await;
        let job = node.runner.job("job").expect("job");
        assert_eq!(job.published_results.borrow().len(), 1);
        assert!(job.unpublished_item("a").is_none(), "the item runs again");
    });
}

/// Pattern: the object API takes 600 ms for a call, and a reader asks while the search for another
/// one is under way. Another node waits 800 ms for the answer, and then reads the whole job from
/// the slow object API. Guards against reads that take the time of two calls.
#[test]
fn read_during_a_search_takes_no_longer_than_one_call() {
    const CALL_TIME: Duration = Duration::from_millis(600);
    const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(800);
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, _) = node_that_runs_job(&objects).await;
        objects.set_read_delay(CALL_TIME);
        let first_read = read_without_wait(&node);
        let second_read = async {
            monoio::time::sleep(Duration::from_millis(50)).await;
            let started = Instant::now();
            let result_count = read_without_wait(&node).await;
            (result_count, started.elapsed())
        };
        let (first, (second, time)) = futures_util::future::join(first_read, second_read).await;
        assert_eq!((first, second), (Some(0), Some(0)));
        assert!(time < PEER_CALL_TIMEOUT, "the second read took {time:?}");
    });
}

/// Guards against a search for each of many concurrent readers, and against readers that are left
/// without an answer when the caller for whom the search was started goes away.
#[test]
fn concurrent_reads_share_a_search_that_may_be_cancelled() {
    const READERS: usize = 50;
    run_async(async {
        let objects = MemoryObjects::default();
        let (node, _) = node_that_runs_job(&objects).await;
        objects.set_read_delay(Duration::from_millis(200));
        let calls_before = objects.call_count();
        let cancelled_read =
            monoio::time::timeout(Duration::from_millis(50), read_without_wait(&node));
        let other_reads = futures_util::future::join_all(
            (0..READERS).map(|_| async { read_without_wait(&node).await }),
        );
        let (cancelled, others) = futures_util::future::join(cancelled_read, other_reads).await;
        assert!(cancelled.is_err());
        assert_eq!(others, [Some(0); READERS]);
        // The cancelled search and one for all others.
        assert_eq!(objects.call_count() - calls_before, 2);
    });
}

/// Pattern: a reader asks while the response to a write of results is on its way. Guards against
/// metrics that take the runner's own chunk for one of another runner and leave out the group that
/// it completes.
#[test]
fn chunk_that_a_read_finds_during_its_write_counts_as_stored_by_this_node() {
    run_async(async {
        let objects = MemoryObjects::default();
        let counts = Rc::new(ResultCounts::default());
        let node = node_with_observer("vm-1", address(), &objects, counts.clone());
        let job = common::job("job", vec![common::item("a")]);
        let accepted = node.job_store.store_job(&job, "vm-1", address()).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        let job = node.runner.start_job("job", record, revision, BootInstant::now(), job.items);
        objects.set_write_delay(Duration::from_millis(300));
        job.finish_item(&job.unpublished_item("a").expect("item"), ItemOutcome::Completed, None);
        deck_testkit::eventually("the chunk is stored", async || {
            !objects.object_names("batchresults").is_empty()
        })
        .await;
        assert_eq!(read_without_wait(&node).await, Some(1));
        deck_testkit::eventually("the write is answered", async || {
            counts.stored_results.get() == 1
        })
        .await;
        assert_eq!(counts.completed_groups.get(), 1);
        assert_eq!(*counts.found_chunks.borrow(), [""; 0]);
    });
}
