//! Checkpoints across crashes, torn files and handovers.

use std::{io::Write, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use deck_batch::{
    AcceptOutcome, CheckpointStore, Ledger,
    checkpoint::ItemDelta,
    handover::Handover,
    job::{Job, Phase, Progress},
};
use deck_fleet::{BatchJob, BatchLimits, Item, ItemOutcome};
use deck_testkit::memory::MemoryObjects;

mod common;

fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("checkpoint-{}", deck_core::id::random_id()));
    std::fs::create_dir_all(&folder).expect("folder");
    folder
}

/// Returns a text with the given number of events.
fn progress(events: u64) -> Progress {
    let mut progress = Progress::default();
    for number in 1..=events {
        progress.push(number, &format!("event {number}"), 3 + number / 3);
    }
    progress
}

fn delta(item: &str, after_event: u64, whole: &Progress) -> ItemDelta {
    ItemDelta {
        item: item.to_owned(),
        after_event,
        text: whole.text_after(after_event).to_owned(),
        last_event: whole.last_event,
        event_ends: whole.event_ends[after_event as usize..].to_vec(),
        versions: whole.versions.clone(),
        failures: 1,
        complete: false,
    }
}

/// Guards against texts that are corrupted when they are assembled from deltas.
#[test]
fn parts_give_the_whole_text() {
    let store = CheckpointStore::open(None);
    let (early, late) = (progress(2), progress(5));
    assert!(store.apply_and_persist("job", &[delta("i", 0, &early)]).is_empty());
    assert!(store.apply_and_persist("job", &[delta("i", 2, &late)]).is_empty());
    let kept = &store.get("job")["i"];
    assert_eq!((&kept.progress, kept.failures), (&late, 1));
}

/// Guards against jobs that are never recovered after their runner fails, including jobs without an
/// event, and against active jobs that are reported as silent.
#[test]
fn job_is_silent_without_messages_of_its_runner() {
    const SILENCE: Duration = Duration::from_millis(60);
    let folder = folder();
    let store = CheckpointStore::open(Some(&folder));
    store.apply_and_persist("silent", &[]);
    store.apply_and_persist("running", &[delta("i", 0, &progress(2))]);
    std::thread::sleep(SILENCE);
    store.apply_and_persist("running", &[]);
    assert_eq!(store.silent_jobs(SILENCE), ["silent"]);
    store.remove("silent");
    assert!(store.silent_jobs(SILENCE).is_empty());
    let again = CheckpointStore::open(Some(&folder));
    assert!(again.silent_jobs(SILENCE).is_empty());
    std::thread::sleep(SILENCE);
    assert_eq!(again.silent_jobs(SILENCE), ["running"]);
    assert_eq!(again.get("running")["i"].progress, progress(2));
    std::fs::remove_dir_all(folder).expect("remove");
}

/// Guards against gaps in a text: a delta that does not continue the stored text is rejected.
#[test]
fn part_without_its_beginning_is_missing() {
    let store = CheckpointStore::open(None);
    let missing = store.apply_and_persist("job", &[delta("i", 2, &progress(5))]);
    assert_eq!(missing, ["i"]);
    assert_eq!(store.get("job")["i"].progress.last_event, 0);
    store.apply_and_persist("job", &[delta("i", 0, &progress(3))]);
    assert_eq!(store.apply_and_persist("job", &[delta("i", 2, &progress(5))]), ["i"]);
    assert_eq!(store.get("job")["i"].progress, progress(3));
}

/// Guards against remains of a discarded text in front of its replacement.
#[test]
fn text_that_is_begun_anew_replaces_the_old_one() {
    let store = CheckpointStore::open(None);
    store.apply_and_persist("job", &[delta("i", 0, &progress(5))]);
    store.apply_and_persist("job", &[delta("i", 0, &progress(1))]);
    assert_eq!(store.get("job")["i"].progress, progress(1));
}

/// Guards against the loss of checkpoints when all processes are killed.
#[test]
fn texts_are_there_after_a_restart() {
    let folder = folder();
    let store = CheckpointStore::open(Some(&folder));
    store.apply_and_persist("job", &[delta("i", 0, &progress(2)), delta("k", 0, &progress(1))]);
    store.apply_and_persist("job", &[delta("i", 2, &progress(4))]);
    let again = CheckpointStore::open(Some(&folder));
    assert_eq!(again.get("job"), store.get("job"));
    assert_eq!(again.get("job")["i"].progress, progress(4));
    again.remove("job");
    assert!(CheckpointStore::open(Some(&folder)).get("job").is_empty());
    std::fs::remove_dir_all(folder).expect("remove");
}

/// Guards against corrupt text after a power failure: an incomplete or corrupt record and all
/// records after it are ignored.
#[test]
fn torn_record_is_left_out() {
    let folder = folder();
    let store = CheckpointStore::open(Some(&folder));
    store.apply_and_persist("job", &[delta("i", 0, &progress(2))]);
    let file = folder.join("checkpoints").join("job");
    let whole = std::fs::read(&file).expect("read").len();
    store.apply_and_persist("job", &[delta("i", 2, &progress(4))]);
    let bytes = std::fs::read(&file).expect("read");
    for cut in [whole + 3, whole + 20, bytes.len() - 1] {
        std::fs::write(&file, &bytes[..cut]).expect("write");
        let again = CheckpointStore::open(Some(&folder));
        assert_eq!(again.get("job")["i"].progress, progress(2), "cut at {cut}");
    }
    let mut spoiled = bytes.clone();
    spoiled[whole + 25] ^= 0x40;
    std::fs::write(&file, spoiled).expect("write");
    assert_eq!(CheckpointStore::open(Some(&folder)).get("job")["i"].progress, progress(2));
    std::fs::remove_dir_all(folder).expect("remove");
}

/// Guards against a checkpoint VM that fails because its directory is not writable.
#[test]
fn disk_that_takes_nothing_leaves_the_texts_in_memory() {
    let folder = folder();
    let mut file = std::fs::File::create(folder.join("checkpoints")).expect("file");
    file.write_all(b"in the way").expect("write");
    let store = CheckpointStore::open(Some(&folder));
    store.apply_and_persist("job", &[delta("i", 0, &progress(2))]);
    assert_eq!(store.get("job")["i"].progress, progress(2));
    std::fs::remove_dir_all(folder).expect("remove");
}

async fn running_job() -> Job {
    let items: Vec<Item> = ["a", "b", "c", "d"].map(common::item).into();
    let job = common::job("job", items.clone());
    let limits = BatchLimits { give_up_ms: 40_000, ..job.limits.clone() };
    let job = BatchJob { limits, ..job };
    let ledger = Ledger::new(MemoryObjects::default().store(), 1 << 20);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let accepted = ledger.accept(&job, "vm-1", address).await;
    let AcceptOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
    Job::new("job".to_owned(), record, revision, items)
}

/// Guards against items that are lost, published twice or restarted when a stopping node hands over
/// a job.
#[test]
fn handed_over_job_goes_on_where_it_was() {
    let test = async {
        let job = running_job().await;
        let open_item = |id: &str| job.unpublished_item(id).expect("item");
        open_item("a").progress.replace(progress(3));
        open_item("a").enter(Phase::Running);
        open_item("b").progress.replace(progress(2));
        open_item("b").enter(Phase::Scoring);
        let stored = open_item("c");
        job.finish(&stored, ItemOutcome::Completed, None);
        let results = job.unpublished.borrow().clone();
        job.publish_chunk(0, results);
        let waiting = open_item("d");
        job.finish(&waiting, ItemOutcome::Completed, None);

        let handover = Handover::from_job(&job);
        let record = deck_batch::JobRecord { runner: "vm-2".to_owned(), ..handover.record.clone() };
        let next = Rc::new(handover.into_job("job".to_owned(), record, 9));
        assert_eq!((next.chunk_count.get(), next.published.borrow().len()), (1, 1));
        assert_eq!(next.published.borrow()[0].item, "c");
        assert_eq!(next.unpublished.borrow()[0].item, "d");
        let item = |id: &str| next.unpublished_item(id).expect("item");
        assert_eq!(*item("a").progress.borrow(), progress(3));
        assert_eq!(item("a").phase.get(), Phase::Waiting);
        assert_eq!(item("b").phase.get(), Phase::Generated);
        assert!(next.unpublished_item("d").is_none() && next.unpublished_item("c").is_none());
        assert!(!next.is_complete());
    };
    deck_net::runtime::run(test).expect("runtime");
}
