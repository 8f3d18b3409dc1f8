//! Requests for jobs that run on another node.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::{
    BatchService, JobRecord, JobStore, StoreJobOutcome,
    handover::Handover,
    job::Job,
    peer_client::{BatchPeerClient, PING_PATH, STATUS_READ_OBJECT_API},
};
use deck_core::CancellationToken;
use deck_core::boot_clock::BootInstant;
use deck_fleet::{BatchCall, ItemOutcome, ItemResult, RequestMetadata};
use deck_net::{Client, http::StatusCode, server::empty_response};
use deck_testkit::{
    eventually,
    memory::{Fault, MemoryObjects},
};
use http_body_util::BodyExt;
use serde_json::Value;

mod common;

use common::{Node, node, serve};

/// Number of items in the job.
const ITEM_COUNT: usize = 40;
/// Size of each text in bytes, such that the job needs several pages.
const TEXT_BYTES: usize = 50_000;

fn result(item: usize) -> Rc<ItemResult> {
    Rc::new(ItemResult {
        item: format!("i{item}"),
        outcome: ItemOutcome::Completed,
        text: "t".repeat(TEXT_BYTES),
        versions: vec![1],
        score: None,
    })
}

/// Stores a job that runs on `vm`, with all its results.
async fn store_complete_job(job_store: &JobStore, vm: &str, address: SocketAddr) {
    let job = common::job(
        "job",
        (0..ITEM_COUNT).map(|index| common::item(&format!("i{index}"))).collect(),
    );
    let accepted = job_store.store_job(&job, vm, address).await;
    assert!(matches!(accepted, StoreJobOutcome::Stored(JobRecord { .. }, _)), "{accepted:?}");
    let results: Vec<Rc<ItemResult>> = (0..ITEM_COUNT).map(result).collect();
    for (number, chunk) in results.chunks(10).enumerate() {
        job_store.store_chunk("job", number, chunk).await.expect("stored");
    }
}

/// Reads the whole job through a node, page by page.
async fn read_all(service: &BatchService) -> Vec<Value> {
    let mut results = Vec::new();
    while results.len() < ITEM_COUNT {
        let call = BatchCall::Read { job: "job".to_owned(), from: results.len() };
        let response = service.call(call, None, &RequestMetadata::default()).await;
        assert_eq!(response.status(), StatusCode::OK, "after {}", results.len());
        let body = response.into_body().collect().await.expect("body").to_bytes();
        let page: Value = serde_json::from_slice(&body).expect("json");
        results.extend(page["Results"].as_array().expect("results").iter().cloned());
    }
    results
}

/// Starts a node that serves the requests of other nodes. Returns it with its address.
fn node_that_serves_peers(
    vm: &str,
    objects: &MemoryObjects,
    cancel: &CancellationToken,
) -> (Node, SocketAddr) {
    let service: Rc<Cell<Option<BatchService>>> = Rc::default();
    let served = service.clone();
    let address = serve(cancel, move |request| {
        let service = served.take().expect("service");
        served.set(Some(service.clone()));
        async move { service.serve_peer(request).await }
    });
    let node = node(vm, address, objects);
    service.set(Some(node.service.clone()));
    (node, address)
}

/// Pattern: all readers request all old jobs of one node at once; its link is saturated and each
/// answer takes longer than a reader waits. Guards against a job that cannot be read in this
/// situation.
#[test]
fn job_of_a_slow_runner_is_read_from_the_object_api() {
    let test = async {
        let cancel = CancellationToken::new();
        let runner_requests = Rc::new(Cell::new(0));
        let counter = runner_requests.clone();
        let slow = serve(&cancel, move |request| {
            let is_ping = request.uri().path() == PING_PATH;
            counter.set(counter.get() + u32::from(!is_ping));
            async move {
                if !is_ping {
                    monoio::time::sleep(Duration::from_secs(30)).await;
                }
                empty_response(StatusCode::OK)
            }
        });
        let objects = MemoryObjects::default();
        let reader = node("vm-2", SocketAddr::from(([127, 0, 0, 1], 1)), &objects);
        store_complete_job(&reader.job_store, "vm-1", slow).await;
        let results = read_all(&reader.service).await;
        assert_eq!(results.len(), ITEM_COUNT);
        assert_eq!(runner_requests.get(), 1, "the settled job was not cached");
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: as above. Guards against reads of old jobs that saturate the link of a runner.
#[test]
fn reads_of_settled_jobs_are_rate_limited() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let (runner, address) = node_that_serves_peers("vm-1", &objects, &cancel);
        store_complete_job(&runner.job_store, "vm-1", address).await;
        let peers = BatchPeerClient::new(Client::default());
        let read = || peers.read(address, "job", 0, Duration::ZERO);
        let mut statuses = Vec::new();
        for _ in 0..4 {
            statuses.push(read().await.expect("answer").status);
        }
        assert_eq!(statuses[0], StatusCode::OK);
        assert_eq!(statuses[3], STATUS_READ_OBJECT_API);
        let reader = node("vm-2", SocketAddr::from(([127, 0, 0, 1], 1)), &objects);
        let expected = read_all(&runner.service).await;
        assert_eq!(read_all(&reader.service).await, expected);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against memory that grows with every job a node has run.
#[test]
fn expired_jobs_are_evicted() {
    const RETENTION: Duration = Duration::from_secs(120);
    let test = async {
        let objects = MemoryObjects::default();
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let runner = node("vm-1", address, &objects);
        store_complete_job(&runner.job_store, "vm-1", address).await;
        read_all(&runner.service).await;
        let lifetime = RETENTION * 2 + Duration::from_millis(common::GIVE_UP_MS);
        assert_eq!(runner.service.evict_expired(RETENTION, Instant::now()), 0);
        let late = Instant::now() + lifetime;
        assert_eq!(runner.service.evict_expired(RETENTION, late), 1);
        // The job can still be loaded from the object API until its objects are deleted.
        read_all(&runner.service).await;
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: a paused node wakes up with a job that another node has taken over, and that node stops
/// and hands the job over to it before its ownership check finds out. Guards against an outdated
/// copy that passes for the job: the stopping node would forget the job and its unstored results,
/// and its record would name a node that is gone.
#[test]
fn handover_to_a_node_with_an_outdated_copy_changes_the_record() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let (woken, address) = node_that_serves_peers("vm-1", &objects, &cancel);
        let job = common::job("job", vec![common::item("a"), common::item("b")]);
        let accepted = woken.job_store.store_job(&job, "vm-1", address).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        woken.runner.start_job(
            "job",
            record.clone(),
            revision,
            BootInstant::now(),
            job.items.clone(),
        );
        let other_address = SocketAddr::from(([127, 0, 0, 1], 2));
        let taken_over = JobRecord { runner: "vm-2".to_owned(), address: other_address, ..record };
        let revision =
            woken.job_store.replace_record("job", revision, &taken_over).await.expect("taken over");
        let stopping = Job::new("job".to_owned(), taken_over, revision, job.items);
        let item = stopping.unpublished_item("a").expect("item");
        stopping.finish_item(&item, ItemOutcome::Completed, Some("score".to_owned()));
        let mut handover = Vec::new();
        ciborium::into_writer(&Handover::from_job(&stopping), &mut handover).expect("encoded");
        let peers = BatchPeerClient::new(Client::default());
        let answer = peers.hand_over(address, "job", handover.into()).await.expect("answer");
        let (record, _) = woken.job_store.read_record("job").await.expect("read").expect("record");
        assert_eq!((answer.status, record.runner.as_str()), (StatusCode::OK, "vm-1"));
        let received = woken.runner.job("job").expect("job");
        let chunk_is_stored = async || !objects.object_names("batchresults").is_empty();
        eventually("the result that was handed over is stored", chunk_is_stored).await;
        assert_eq!(received.published_results.borrow()[0].score.as_deref(), Some("score"));
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: the object API fails slowly as another node passes on the end of a job, and that node stops
/// waiting. Guards against an end that is forgotten because the server drops its handler when the
/// connection closes.
#[test]
fn end_from_a_node_that_stops_waiting_is_carried_out() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let (runner, address) = node_that_serves_peers("vm-1", &objects, &cancel);
        let job = common::job("job", vec![common::item("a")]);
        let accepted = runner.job_store.store_job(&job, "vm-1", address).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        runner.runner.start_job("job", record, revision, BootInstant::now(), job.items);
        objects.set_fault(Some(Fault::Unavailable), None);
        objects.set_write_delay(Duration::from_millis(500));
        let peers = BatchPeerClient::new(Client::default());
        let end = monoio::time::timeout(Duration::from_millis(100), peers.end(address, "job"));
        assert!(end.await.is_err());
        monoio::time::sleep(Duration::from_millis(1000)).await;
        objects.set_fault(None, None);
        objects.set_write_delay(Duration::ZERO);
        monoio::time::sleep(Duration::from_secs(3)).await;
        let (record, _) = runner.job_store.read_record("job").await.expect("read").expect("record");
        assert!(record.ended);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Pattern: a check of an outdated copy of a job is slow, and meanwhile the job is handed over to this
/// node again. Guards against a new copy that the check of the old one removes, so that none of its
/// items is dispatched.
#[test]
fn check_of_an_outdated_copy_keeps_the_job_that_was_handed_over() {
    let test = async {
        let cancel = CancellationToken::new();
        let objects = MemoryObjects::default();
        let (node, address) = node_that_serves_peers("vm-1", &objects, &cancel);
        let job = common::job("job", vec![common::item("a")]);
        let accepted = node.job_store.store_job(&job, "vm-1", address).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        let items = job.items.clone();
        node.runner.start_job("job", record.clone(), revision, BootInstant::now(), items);
        let other_address = SocketAddr::from(([127, 0, 0, 1], 2));
        let taken_over = JobRecord { runner: "vm-2".to_owned(), address: other_address, ..record };
        let revision =
            node.job_store.replace_record("job", revision, &taken_over).await.expect("taken over");
        // The periodic check of the old copy starts within this time and takes a second.
        objects.set_read_delay(Duration::from_millis(1000));
        monoio::time::sleep(Duration::from_millis(1800)).await;
        objects.set_read_delay(Duration::ZERO);
        let mut handover = Vec::new();
        let handed_over = Job::new("job".to_owned(), taken_over, revision, job.items);
        ciborium::into_writer(&Handover::from_job(&handed_over), &mut handover).expect("encoded");
        let peers = BatchPeerClient::new(Client::default());
        let answer = peers.hand_over(address, "job", handover.into()).await.expect("answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(node.runner.job("job").is_some());
        monoio::time::sleep(Duration::from_millis(1500)).await;
        assert!(node.runner.job("job").is_some());
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
