//! Checkpoints across crashes, incompletely written files and handovers.

use std::{
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use ciborium::Value;
use deck_batch::{
    CheckpointStore, JobStore, Runner, RunnerOptions, StoreJobOutcome,
    checkpoint::ItemDelta,
    handover::Handover,
    job::{ItemPhase, Job, Progress},
};
use deck_core::CancellationToken;
use deck_core::boot_clock::BootInstant;
use deck_fleet::{BatchJob, BatchLimits, Item, ItemOutcome};
use deck_testkit::{eventually, memory::MemoryObjects, raw::RawServer};
use serde::{Serialize, de::DeserializeOwned};
use test_case::test_case;

mod common;

fn temp_dir() -> PathBuf {
    let temp_dir = std::env::temp_dir().join(format!("checkpoint-{}", deck_core::id::random_id()));
    std::fs::create_dir_all(&temp_dir).expect("folder");
    temp_dir
}

/// Returns a text with the given number of events.
fn progress(events: u64) -> Progress {
    text("event", events)
}

/// Returns a text whose events begin with `word`.
fn text(word: &str, events: u64) -> Progress {
    let mut progress = Progress::default();
    for number in 1..=events {
        progress.push(number, &format!("{word} {number}"), 3 + number / 3, Some("v1"));
    }
    progress
}

fn delta(item: &str, after_event: u64, complete_text: &Progress) -> ItemDelta {
    ItemDelta {
        item: item.to_owned(),
        after_event,
        prefix_hash: Some(complete_text.prefix_hash(after_event)),
        text: complete_text.text_after(after_event).to_owned(),
        last_event: complete_text.last_event,
        event_ends: complete_text.event_ends[after_event as usize..].to_vec(),
        versions: complete_text.versions.clone(),
        software_version: complete_text.software_version.clone(),
        failures: 1,
        complete: false,
    }
}

/// Guards against texts that are corrupted when they are assembled from deltas.
#[test]
fn deltas_add_up_to_the_whole_text() {
    let store = CheckpointStore::open(None);
    let (early, late) = (progress(2), progress(5));
    assert!(store.apply_and_persist("job", &[delta("i", 0, &early)]).is_empty());
    assert!(store.apply_and_persist("job", &[delta("i", 2, &late)]).is_empty());
    let checkpoint = &store.get("job")["i"];
    assert_eq!((&checkpoint.progress, checkpoint.failures), (&late, 1));
}

/// Guards against jobs that are never recovered after their runner fails, including jobs without an
/// event, and against active jobs that are reported as silent.
#[test]
fn job_without_heartbeats_is_silent() {
    const SILENCE: Duration = Duration::from_millis(60);
    const INSTANT_STEP: Duration = Duration::from_nanos(1);
    let sorted_silent_jobs = |store: &CheckpointStore, now: Instant| {
        let mut silent = store.silent_jobs(SILENCE, now);
        silent.sort();
        silent
    };
    let temp_dir = temp_dir();
    let store = CheckpointStore::open(Some(&temp_dir));
    let before_messages = Instant::now();
    store.apply_and_persist("silent", &[]);
    store.apply_and_persist("running", &[delta("i", 0, &progress(2))]);
    let after_messages = Instant::now();
    assert!(sorted_silent_jobs(&store, before_messages + SILENCE - INSTANT_STEP).is_empty());
    assert_eq!(sorted_silent_jobs(&store, after_messages + SILENCE), ["running", "silent"]);
    // Makes the heartbeat strictly later than `after_messages`, whatever the clock's resolution.
    std::thread::sleep(Duration::from_millis(1));
    store.apply_and_persist("running", &[]);
    assert_eq!(sorted_silent_jobs(&store, after_messages + SILENCE), ["silent"]);
    let after_heartbeat = Instant::now();
    assert_eq!(sorted_silent_jobs(&store, after_heartbeat + SILENCE), ["running", "silent"]);
    store.remove("silent");
    assert!(sorted_silent_jobs(&store, after_messages + SILENCE).is_empty());
    assert_eq!(sorted_silent_jobs(&store, after_heartbeat + SILENCE), ["running"]);
    let before_reopening = Instant::now();
    let reopened = CheckpointStore::open(Some(&temp_dir));
    let after_reopening = Instant::now();
    assert!(sorted_silent_jobs(&reopened, before_reopening + SILENCE - INSTANT_STEP).is_empty());
    assert_eq!(sorted_silent_jobs(&reopened, after_reopening + SILENCE), ["running"]);
    assert_eq!(reopened.get("running")["i"].progress, progress(2));
    std::fs::remove_dir_all(temp_dir).expect("remove");
}

/// Guards against gaps in a text: a delta that does not continue the stored text is rejected.
#[test]
fn delta_that_leaves_a_gap_is_rejected() {
    let store = CheckpointStore::open(None);
    let missing = store.apply_and_persist("job", &[delta("i", 2, &progress(5))]);
    assert_eq!(missing, ["i"]);
    assert_eq!(store.get("job")["i"].progress.last_event, 0);
    store.apply_and_persist("job", &[delta("i", 0, &progress(3))]);
    assert_eq!(store.apply_and_persist("job", &[delta("i", 2, &progress(5))]), ["i"]);
    assert_eq!(store.get("job")["i"].progress, progress(3));
}

/// Guards against a stored text that is joined with another text of the item: two runners of a job may
/// send texts of one length in turn, and a message may arrive late.
#[test]
fn delta_of_another_text_is_rejected() {
    let store = CheckpointStore::open(None);
    store.apply_and_persist("job", &[delta("i", 0, &progress(3))]);
    let other_text = text("other", 5);
    assert_eq!(store.apply_and_persist("job", &[delta("i", 3, &other_text)]), ["i"]);
    assert_eq!(store.get("job")["i"].progress, progress(3));
    assert!(store.apply_and_persist("job", &[delta("i", 0, &other_text)]).is_empty());
    assert_eq!(store.get("job")["i"].progress, other_text);
}

/// Guards against a checkpoint that keeps the software version of a discarded text whose replacement
/// begins with the same events.
#[test]
fn delta_of_another_software_version_is_rejected() {
    let store = CheckpointStore::open(None);
    store.apply_and_persist("job", &[delta("i", 0, &progress(3))]);
    let other_text = Progress { software_version: Some("v2".to_owned()), ..progress(5) };
    assert_eq!(store.apply_and_persist("job", &[delta("i", 3, &other_text)]), ["i"]);
    assert!(store.apply_and_persist("job", &[delta("i", 0, &other_text)]).is_empty());
    assert_eq!(store.get("job")["i"].progress, other_text);
}

/// Guards against checkpoints and handovers of nodes of an earlier release, which have no software
/// versions, that are not decoded during an update.
#[test]
fn text_without_a_software_version_is_decoded() {
    fn decode_without<T: Serialize + DeserializeOwned>(value: &T, fields: &[&str]) -> T {
        let mut encoded = Value::serialized(value).expect("encoded");
        let map = encoded.as_map_mut().expect("map");
        let field_count = map.len();
        map.retain(|(key, _)| !fields.contains(&key.as_text().expect("field name")));
        assert_eq!(map.len(), field_count - fields.len());
        encoded.deserialized().expect("decoded")
    }
    let without_version = Progress { software_version: None, ..progress(3) };
    assert_eq!(decode_without(&progress(3), &["software_version"]), without_version);
    let earlier_delta = ItemDelta { prefix_hash: None, ..delta("i", 0, &without_version) };
    let fields = ["software_version", "prefix_hash"];
    assert_eq!(decode_without(&delta("i", 0, &progress(3)), &fields), earlier_delta);
}

/// Guards against checkpoints of nodes of an earlier release that are not stored during an update.
#[test]
fn delta_without_a_hash_is_accepted() {
    let store = CheckpointStore::open(None);
    store.apply_and_persist("job", &[delta("i", 0, &progress(3))]);
    let without_hash = ItemDelta { prefix_hash: None, ..delta("i", 3, &progress(5)) };
    assert!(store.apply_and_persist("job", &[without_hash]).is_empty());
    assert_eq!(store.get("job")["i"].progress, progress(5));
}

/// Guards against remains of a discarded text in front of its replacement.
#[test]
fn restarted_text_replaces_the_stored_one() {
    let store = CheckpointStore::open(None);
    store.apply_and_persist("job", &[delta("i", 0, &progress(5))]);
    store.apply_and_persist("job", &[delta("i", 0, &progress(1))]);
    assert_eq!(store.get("job")["i"].progress, progress(1));
}

/// Guards against the loss of checkpoints when all processes are killed.
#[test]
fn checkpoints_survive_a_restart() {
    let temp_dir = temp_dir();
    let store = CheckpointStore::open(Some(&temp_dir));
    store.apply_and_persist("job", &[delta("i", 0, &progress(2)), delta("k", 0, &progress(1))]);
    store.apply_and_persist("job", &[delta("i", 2, &progress(4))]);
    let reopened = CheckpointStore::open(Some(&temp_dir));
    assert_eq!(reopened.get("job"), store.get("job"));
    assert_eq!(reopened.get("job")["i"].progress, progress(4));
    reopened.remove("job");
    assert!(CheckpointStore::open(Some(&temp_dir)).get("job").is_empty());
    std::fs::remove_dir_all(temp_dir).expect("remove");
}

/// Guards against corrupt text after a power failure: an incomplete or corrupt record and all
/// records after it are ignored.
#[test]
fn torn_record_is_ignored() {
    let temp_dir = temp_dir();
    let store = CheckpointStore::open(Some(&temp_dir));
    store.apply_and_persist("job", &[delta("i", 0, &progress(2))]);
    let file = temp_dir.join("checkpoints").join("job");
    let first_record_bytes = std::fs::read(&file).expect("read").len();
    store.apply_and_persist("job", &[delta("i", 2, &progress(4))]);
    let bytes = std::fs::read(&file).expect("read");
    for cut in [first_record_bytes + 3, first_record_bytes + 20, bytes.len() - 1] {
        std::fs::write(&file, &bytes[..cut]).expect("write");
        let reopened = CheckpointStore::open(Some(&temp_dir));
        assert_eq!(reopened.get("job")["i"].progress, progress(2), "cut at {cut}");
    }
    let mut corrupted = bytes.clone();
    corrupted[first_record_bytes + 25] ^= 0x40;
    std::fs::write(&file, corrupted).expect("write");
    assert_eq!(CheckpointStore::open(Some(&temp_dir)).get("job")["i"].progress, progress(2));
    std::fs::remove_dir_all(temp_dir).expect("remove");
}

/// Guards against a checkpoint VM that fails because its directory is not writable.
#[test]
fn unwritable_directory_leaves_checkpoints_in_memory() {
    let temp_dir = temp_dir();
    let mut file = std::fs::File::create(temp_dir.join("checkpoints")).expect("file");
    file.write_all(b"in the way").expect("write");
    let store = CheckpointStore::open(Some(&temp_dir));
    store.apply_and_persist("job", &[delta("i", 0, &progress(2))]);
    assert_eq!(store.get("job")["i"].progress, progress(2));
    std::fs::remove_dir_all(temp_dir).expect("remove");
}

/// Guards against a checkpoint that joins a discarded text with its replacement: between two messages
/// to the checkpoint VM, a text is discarded because the weight version changed, and the item begins
/// anew and becomes as long as before or longer.
#[test_case(3; "as long as before")]
#[test_case(6; "longer than before")]
fn text_that_outgrows_its_discarded_predecessor_replaces_it(new_events: u64) {
    const OLD_EVENTS: u64 = 3;
    let test = async move {
        let is_checkpointed = Arc::<AtomicBool>::default();
        let old_text_is_checkpointed = is_checkpointed.clone();
        let server = RawServer::start(move |call| {
            if call.request_index == 0 {
                common::start_stream(call, 1);
                for number in 1..=OLD_EVENTS {
                    call.write_chunk(&common::event("old", number));
                }
                while !old_text_is_checkpointed.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                let next = common::event("old", OLD_EVENTS + 1);
                call.write_chunk(&format!("weight-versions: 2\n{next}"));
                return;
            }
            common::start_stream(call, 2);
            let events: String =
                (1..=new_events).map(|number| common::event("new", number)).collect();
            call.write_chunk(&events);
            call.write_endless_response("3\r\n:\n\n\r\n", Duration::from_millis(50));
        });
        let cancel = CancellationToken::new();
        let store = Rc::new(CheckpointStore::open(None));
        let served_store = store.clone();
        let checkpoint_node = common::serve(&cancel, move |request| {
            let store = served_store.clone();
            async move { store.serve(request).await }
        });
        let job_store = JobStore::new(MemoryObjects::default().store(), 1 << 20);
        let own = SocketAddr::from(([127, 0, 0, 1], 1));
        let deps = common::runner_deps("vm-1", own, &job_store);
        deps.checkpoints.set_nodes(vec![checkpoint_node]);
        deps.view.set_configuration(common::rollout_configuration(true));
        deps.view.set_targets(vec![common::engine("e", server.address)], Instant::now());
        let options = RunnerOptions {
            checkpoint_interval: Duration::from_millis(50),
            event_gap_timeout: Duration::from_secs(60),
            ..RunnerOptions::default()
        };
        let runner = Runner::start(deps, options, cancel.clone());
        let job = common::job("job", vec![common::item("i")]);
        let limits = BatchLimits { single_version: true, ..job.limits.clone() };
        let job = BatchJob { limits, ..job };
        let accepted = job_store.store_job(&job, "vm-1", own).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        let job = runner.start_job("job", record, revision, BootInstant::now(), job.items);
        let stored_progress = || store.get("job").remove("i").unwrap_or_default().progress;

        eventually("the old text is stored", async || stored_progress().last_event == OLD_EVENTS)
            .await;
        is_checkpointed.store(true, Ordering::Relaxed);
        let item_state = job.unpublished_item("i").expect("item");
        let new_text = common::joined_events("new", new_events);
        eventually("the new text is generated", async || {
            item_state.progress.borrow().text == new_text
        })
        .await;
        // The message with the new text follows within the checkpoint interval.
        let deadline = Instant::now() + Duration::from_secs(5);
        while stored_progress() != *item_state.progress.borrow() && Instant::now() < deadline {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(stored_progress(), *item_state.progress.borrow());
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

async fn running_job() -> Job {
    let items: Vec<Item> = ["a", "b", "c", "d"].map(common::item).into();
    let job = common::job("job", items.clone());
    let limits = BatchLimits { give_up_ms: 40_000, ..job.limits.clone() };
    let job = BatchJob { limits, ..job };
    let job_store = JobStore::new(MemoryObjects::default().store(), 1 << 20);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let accepted = job_store.store_job(&job, "vm-1", address).await;
    let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
    Job::new("job".to_owned(), record, revision, items)
}

/// Guards against items that are lost, published twice or restarted when a stopping node hands over
/// a job, and against an item without a body between its result and the publication of the result.
#[test]
fn handed_over_job_resumes_its_items() {
    let test = async {
        let job = running_job().await;
        let open_item = |id: &str| job.unpublished_item(id).expect("item");
        open_item("a").progress.replace(progress(3));
        open_item("a").set_phase(ItemPhase::Running);
        open_item("b").progress.replace(progress(2));
        open_item("b").set_phase(ItemPhase::Scoring);
        let published_item = open_item("c");
        job.finish_item(&published_item, ItemOutcome::Completed, None);
        let results = job.unpublished_results.borrow().clone();
        job.publish_chunk(0, results);
        let finished_item = open_item("d");
        job.finish_item(&finished_item, ItemOutcome::Completed, None);

        let handover = Handover::from_job(&job);
        let record = deck_batch::JobRecord { runner: "vm-2".to_owned(), ..handover.record.clone() };
        let next_job = Rc::new(handover.into_job("job".to_owned(), record, 9));
        assert_eq!((next_job.chunk_count.get(), next_job.published_results.borrow().len()), (1, 1));
        assert_eq!(next_job.published_results.borrow()[0].item, "c");
        assert_eq!(next_job.unpublished_results.borrow()[0].item, "d");
        let item = |id: &str| next_job.unpublished_item(id).expect("item");
        assert_eq!(*item("a").progress.borrow(), progress(3));
        assert_eq!(item("a").phase.get(), ItemPhase::Waiting);
        assert_eq!(item("b").phase.get(), ItemPhase::Generated);
        assert_eq!(
            (item("d").phase.get(), &item("d").item),
            (ItemPhase::Done, &finished_item.item)
        );
        assert!(next_job.unpublished_item("c").is_none());
        assert_eq!(next_job.unfinished_groups(), job.unfinished_groups());
        assert!(!next_job.is_complete());
    };
    deck_net::runtime::run(test).expect("runtime");
}
