//! Stored jobs and results under lost, delayed and concurrent writes.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::{
    JobStore, StoreJobOutcome,
    expiry::Sweeper,
    job::{ItemPhase, Job},
    job_store::StoreChunkOutcome,
};
use deck_fleet::{BatchJob, BatchLimits, Item, ItemOutcome, ItemResult};
use deck_testkit::memory::{Fault, MemoryObjects};

mod common;

const MAX_OBJECT_BYTES: usize = 4096;

fn run_async<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn item(id: &str) -> Item {
    Item { body: "x".repeat(600), group: Some("g".to_owned()), ..common::item(id) }
}

fn job(items: usize) -> BatchJob {
    let job = common::job("job", (0..items).map(|index| item(&format!("i{index}"))).collect());
    let limits = BatchLimits { give_up_ms: 40_000, ..job.limits.clone() };
    BatchJob { group_count: 1, limits, ..job }
}

fn result(id: &str, text: &str) -> Rc<ItemResult> {
    Rc::new(ItemResult {
        item: id.to_owned(),
        outcome: ItemOutcome::Completed,
        text: text.to_owned(),
        versions: vec![1],
        score: None,
    })
}

/// Guards against the loss of items of a job that does not fit into one object.
#[test]
fn large_job_is_split_over_objects() {
    run_async(async {
        let objects = MemoryObjects::default();
        let job_store = JobStore::new(objects.store(), MAX_OBJECT_BYTES);
        let accepted = job_store.store_job(&job(20), "vm-1", address()).await;
        let StoreJobOutcome::Stored(record, _) = accepted else { panic!("{accepted:?}") };
        assert!(record.item_objects > 1, "{record:?}");
        let items = job_store.read_items("job", &record).await.expect("items");
        assert_eq!(items, job(20).items);
    });
}

/// Guards against two nodes that start the same job because the response to the first submission
/// was lost.
#[test]
fn job_with_lost_response_is_reported_as_existing() {
    run_async(async {
        let objects = MemoryObjects::default();
        let job_store = JobStore::new(objects.store(), MAX_OBJECT_BYTES);
        objects.set_fault_for_kind("batchjobs", Fault::ResponseLost, 1);
        let accepted = job_store.store_job(&job(1), "vm-1", address()).await;
        assert!(matches!(accepted, StoreJobOutcome::Exists(..)), "{accepted:?}");
        let repeated = job_store.store_job(&job(1), "vm-2", address()).await;
        let StoreJobOutcome::Exists(record, _) = repeated else { panic!("{repeated:?}") };
        assert_eq!(record.runner, "vm-1");
    });
}

/// Guards against reporting a job as not stored although a delayed write may still store it.
#[test]
fn job_with_delayed_record_write_is_unknown() {
    run_async(async {
        let objects = MemoryObjects::default();
        let job_store = JobStore::new(objects.store(), MAX_OBJECT_BYTES);
        objects.set_fault_for_kind("batchjobs", Fault::DelayedWrite, 3);
        let accepted = job_store.store_job(&job(1), "vm-1", address()).await;
        assert!(matches!(accepted, StoreJobOutcome::Unknown(_)), "{accepted:?}");
        assert!(job_store.read_record("job").await.expect("read").is_none());
        assert_eq!(objects.apply_delayed_writes(), 1);
        assert!(job_store.read_record("job").await.expect("read").is_some());
    });
}

/// Guards against an unknown outcome where it is certain: without its record a job does not exist.
#[test]
fn job_with_delayed_item_write_is_not_stored() {
    run_async(async {
        let objects = MemoryObjects::default();
        let job_store = JobStore::new(objects.store(), MAX_OBJECT_BYTES);
        objects.set_fault_for_kind("batchitems", Fault::DelayedWrite, 3);
        let accepted = job_store.store_job(&job(1), "vm-1", address()).await;
        assert!(matches!(accepted, StoreJobOutcome::NotStored(_)), "{accepted:?}");
        objects.apply_delayed_writes();
        assert!(job_store.read_record("job").await.expect("read").is_none());
    });
}

/// Guards against storing a job during an outage after reporting it as refused.
#[test]
fn job_is_not_stored_during_an_outage() {
    run_async(async {
        let objects = MemoryObjects::default();
        let job_store = JobStore::new(objects.store(), MAX_OBJECT_BYTES);
        objects.set_fault(Some(Fault::Unavailable), None);
        let accepted = job_store.store_job(&job(1), "vm-1", address()).await;
        assert!(matches!(accepted, StoreJobOutcome::NotStored(_)), "{accepted:?}");
        assert!(objects.object_names("batchjobs").is_empty());
    });
}

/// Guards against two runners that publish different results at one position: a delayed chunk of a
/// paused runner must neither replace nor follow the chunk of its successor.
#[test]
fn first_stored_chunk_wins() {
    run_async(async {
        let objects = MemoryObjects::default();
        let job_store = JobStore::new(objects.store(), MAX_OBJECT_BYTES);
        objects.set_fault(Some(Fault::DelayedWrite), Some(3));
        job_store.store_chunk("job", 0, &[result("a", "first")]).await.expect_err("lost");
        let outcome =
            job_store.store_chunk("job", 0, &[result("b", "second")]).await.expect("stored");
        assert!(matches!(outcome, StoreChunkOutcome::Stored), "{outcome:?}");
        assert_eq!(objects.apply_delayed_writes(), 0);
        let repeated =
            job_store.store_chunk("job", 0, &[result("a", "first")]).await.expect("stored");
        let StoreChunkOutcome::AlreadyStored(existing) = repeated else { panic!("{repeated:?}") };
        assert_eq!(existing[0].item, "b");
    });
}

/// Guards against an item with two positions: a run that ends after another runner has published
/// the item's result must not add a second one.
#[test]
fn published_item_is_not_finished_again() {
    run_async(async {
        let job_store = JobStore::new(MemoryObjects::default().store(), MAX_OBJECT_BYTES);
        let accepted = job_store.store_job(&job(2), "vm-1", address()).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        let running_job = Job::new("job".to_owned(), record, revision, job(2).items);
        let item_state = running_job.unpublished_item("i0").expect("item");
        item_state.set_phase(ItemPhase::Running);
        running_job.publish_chunk(0, vec![result("i0", "of the other runner")]);
        item_state.set_phase(ItemPhase::Scoring);
        running_job.finish_item(&item_state, ItemOutcome::Completed, None);
        assert!(running_job.unpublished_results.borrow().is_empty());
        assert_eq!(running_job.published_results.borrow().len(), 1);
    });
}

/// Guards against publishing a chunk twice: once by the ownership check and once by the write that
/// stored it.
#[test]
fn repeated_chunk_is_ignored() {
    run_async(async {
        let job_store = JobStore::new(MemoryObjects::default().store(), MAX_OBJECT_BYTES);
        let accepted = job_store.store_job(&job(2), "vm-1", address()).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        let running_job = Job::new("job".to_owned(), record, revision, job(2).items);
        running_job.publish_chunk(0, vec![result("i0", "x")]);
        running_job.publish_chunk(0, vec![result("i0", "x")]);
        assert_eq!(running_job.published_results.borrow().len(), 1);
        assert_eq!(running_job.chunk_count.get(), 1);
    });
}

/// Guards against a panic when another runner has already stored all pending results.
#[test]
fn chunk_of_no_results_is_empty() {
    let job_store = JobStore::new(MemoryObjects::default().store(), MAX_OBJECT_BYTES);
    assert_eq!(job_store.max_chunk_len(&[]), 0);
    assert_eq!(job_store.max_chunk_len(&[result("a", &"x".repeat(100_000))]), 1);
}

/// Guards against chunks that the object API refuses without end, as their texts grow when they are
/// encoded: quotes, line feeds and other control characters.
#[test]
fn chunks_fit_when_their_texts_grow_in_json() {
    let job_store = JobStore::new(MemoryObjects::default().store(), MAX_OBJECT_BYTES);
    for character in ["x", "\"", "\n", "\u{1}", "\u{7f}", "\u{e4}"] {
        let text = character.repeat(MAX_OBJECT_BYTES / 20);
        let results: Vec<_> = (0..40).map(|index| result(&format!("i{index}"), &text)).collect();
        let mut rest = &results[..];
        while !rest.is_empty() {
            let (chunk, others) = rest.split_at(job_store.max_chunk_len(rest));
            let plain: Vec<_> = chunk.iter().map(|result| &**result).collect();
            let bytes = serde_json::to_vec(&plain).expect("json").len();
            assert!(bytes < MAX_OBJECT_BYTES, "{bytes} bytes of {character:?}");
            rest = others;
        }
    }
}

/// Guards against a result that can never be stored and holds up its job: only the item whose own
/// result does not fit is listed as errored.
#[test]
fn result_that_cannot_fit_is_listed_as_errored() {
    let job_store = JobStore::new(MemoryObjects::default().store(), MAX_OBJECT_BYTES);
    let large = result("large", &"\u{1}".repeat(MAX_OBJECT_BYTES / 4));
    let listed = job_store.storable_result(&large);
    assert_eq!(listed.outcome, ItemOutcome::Failed);
    assert_eq!((listed.item.as_str(), listed.text.as_str()), ("large", ""));
    let fitting = result("fitting", &"\u{1}".repeat(MAX_OBJECT_BYTES / 10));
    assert_eq!(job_store.storable_result(&fitting), fitting);
}

/// Guards against accepting text of weight versions that are too old for a job.
#[test]
fn text_is_accepted_by_its_oldest_version() {
    let mut progress = deck_batch::job::Progress::default();
    assert!(progress.meets_min_version(9));
    progress.push(1, "a", 4, None);
    progress.push(2, "b", 5, None);
    assert!(progress.meets_min_version(4) && !progress.meets_min_version(5));
    assert_eq!(progress.text, "a\nb");
}

/// Guards against objects that are never deleted, and against deleting a job that may still be
/// read.
#[test]
fn expired_job_is_deleted_with_all_its_objects() {
    const RETENTION: Duration = Duration::from_secs(120);
    // Twice the retention plus the time after which items are given up.
    const LIFETIME: Duration = Duration::from_secs(2 * 120 + 40);
    run_async(async {
        let objects = MemoryObjects::default();
        let job_store = JobStore::new(objects.store(), MAX_OBJECT_BYTES);
        let store = async |id: &str| {
            let job = BatchJob { id: id.to_owned(), ..job(20) };
            assert!(matches!(
                job_store.store_job(&job, "vm-1", address()).await,
                StoreJobOutcome::Stored(..)
            ));
            for number in 0..2 {
                job_store
                    .store_chunk(id, number, &[result(&format!("i{number}"), "t")])
                    .await
                    .expect("ok");
            }
        };
        let names = async || {
            let mut names = Vec::new();
            for kind in ["batchjobs", "batchitems", "batchresults"] {
                let listed = objects.store().list(kind).await.expect("list").1;
                names.extend(listed.into_iter().map(|object| object.name));
            }
            names
        };
        let mut sweeper = Sweeper::new(job_store.clone(), RETENTION);
        let start = Instant::now();
        store("old").await;
        // The age counts from the first pass, independent of the wall clock.
        assert_eq!(sweeper.delete_expired_jobs(start).await.expect("swept"), 0);
        store("young").await;
        let names_before = names().await;
        assert_eq!(sweeper.delete_expired_jobs(start + LIFETIME).await.expect("swept"), 0);
        assert_eq!(names().await, names_before);
        let late = start + LIFETIME + Duration::from_millis(1);
        // The next pass completes an interrupted deletion.
        objects.set_fault_for_kind("batchresults", Fault::Unavailable, 1);
        sweeper.delete_expired_jobs(late).await.expect_err("interrupted");
        objects.set_fault(None, None);
        assert_eq!(sweeper.delete_expired_jobs(late).await.expect("swept"), 1);
        let young_names: Vec<String> =
            names_before.into_iter().filter(|name| name.starts_with("young")).collect();
        assert_eq!(names().await, young_names);
    });
}

/// Pattern: the object API fails while the chunks of an expired job are deleted. Guards against a
/// next pass that takes the first missing chunk for the end, deletes the record and leaves the other
/// chunks for ever.
#[test]
fn deletion_that_is_interrupted_between_chunks_is_completed() {
    const RETENTION: Duration = Duration::from_secs(120);
    const CHUNKS: usize = 3;
    run_async(async {
        // Each chunk takes a read and a deletion, and a last read shows that there is none left.
        for calls_before in 0..=2 * CHUNKS as u32 {
            let objects = MemoryObjects::default();
            let job_store = JobStore::new(objects.store(), MAX_OBJECT_BYTES);
            let accepted = job_store.store_job(&job(CHUNKS), "vm-1", address()).await;
            assert!(matches!(accepted, StoreJobOutcome::Stored(..)), "{accepted:?}");
            for number in 0..CHUNKS {
                let results = [result(&format!("i{number}"), "t")];
                job_store.store_chunk("job", number, &results).await.expect("stored");
            }
            let mut sweeper = Sweeper::new(job_store, RETENTION);
            let start = Instant::now();
            assert_eq!(sweeper.delete_expired_jobs(start).await.expect("swept"), 0);
            let late = start + RETENTION * 2 + Duration::from_secs(41);
            objects.set_fault_after(calls_before, "batchresults", Fault::Unavailable, 1);
            sweeper.delete_expired_jobs(late).await.expect_err("interrupted");
            assert_eq!(sweeper.delete_expired_jobs(late).await.expect("swept"), 1);
            assert_eq!(objects.object_names("batchjobs"), [""; 0]);
            assert_eq!(objects.object_names("batchresults"), [""; 0], "after {calls_before}");
        }
    });
}
