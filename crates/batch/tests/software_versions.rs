//! Texts of items on engines of several software versions, which must not continue each other's texts.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use deck_batch::{
    CheckpointStore, JobRecord, JobStore, Runner, RunnerOptions, StoreJobOutcome,
    handover::Handover, job::Job, runner::RunnerDependencies,
};
use deck_core::boot_clock::BootInstant;
use deck_core::{CancellationToken, id::Revision};
use deck_fleet::{EngineRegistry, FleetView, Item, Target, TargetState};
use deck_testkit::{
    eventually,
    memory::MemoryObjects,
    raw::{RawExchange, RawServer},
};
use test_case::test_case;

mod common;

/// Number of events that an engine sends before it pauses.
const PAUSE_AFTER: u64 = 4;
/// Number of events after the pause.
const REMAINING_EVENTS: u64 = 3;
/// Time between two events that a runner expects of an engine.
const EVENT_GAP: Duration = Duration::from_millis(40);

/// Number of events of a text that takes much longer to generate again than an engine's backoff.
const LONG_TEXT_EVENTS: u64 = 2000;

/// What an engine does at its pause.
#[derive(Debug, Clone, Copy, PartialEq)]
#[repr(u8)]
enum AtPause {
    /// Waits for another instruction.
    Wait,
    /// Closes the connection within the text.
    Break,
    /// Sends the remaining events.
    Complete,
}

/// Engine that generates a text with the name of its software version.
struct Engine {
    target: Target,
    at_pause: Arc<AtomicU8>,
    /// Last event that each request continues, in order of arrival.
    requests: Arc<Mutex<Vec<u64>>>,
    _server: RawServer,
}

impl Engine {
    /// Starts an engine that pauses after the given number of events.
    fn start(id: &str, software_version: &str, at_pause: AtPause, pause_after: u64) -> Self {
        let text = software_version.to_owned();
        let at_pause = Arc::new(AtomicU8::new(at_pause as u8));
        let requests = Arc::<Mutex<Vec<u64>>>::default();
        let (server_at_pause, server_requests) = (at_pause.clone(), requests.clone());
        let server = RawServer::start(move |call| {
            server_requests.lock().expect("requests").push(common::last_event(call));
            generate(call, &text, &server_at_pause, pause_after);
        });
        let target = Target {
            software_version: Some(software_version.to_owned()),
            ..common::engine(id, server.address)
        };
        Self { target, at_pause, requests, _server: server }
    }

    fn set_at_pause(&self, at_pause: AtPause) {
        self.at_pause.store(at_pause as u8, Ordering::Relaxed);
    }

    fn requests(&self) -> Vec<u64> {
        self.requests.lock().expect("requests").clone()
    }
}

/// Streams the events after the request's last event.
fn generate(call: &mut RawExchange, text: &str, at_pause: &AtomicU8, pause_after: u64) {
    let first = common::last_event(call) + 1;
    common::start_stream(call, 1);
    let events = |numbers: std::ops::RangeInclusive<u64>| -> String {
        numbers.map(|number| common::event(text, number)).collect()
    };
    if first <= pause_after {
        call.write_chunk(&events(first..=pause_after));
    }
    while at_pause.load(Ordering::Relaxed) == AtPause::Wait as u8 {
        // A comment, by which the engine notices a closed connection.
        if !call.write_chunk(":\n\n") {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    if at_pause.load(Ordering::Relaxed) == AtPause::Complete as u8 {
        call.write_chunk(&events(first.max(pause_after + 1)..=pause_after + REMAINING_EVENTS));
        call.write("0\r\n\r\n");
    }
}

/// Runner with its engines and stored jobs.
struct TestRunner {
    runner: Runner,
    view: FleetView,
    engines: EngineRegistry,
    job_store: JobStore,
    cancel: CancellationToken,
}

impl Drop for TestRunner {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn own_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

impl TestRunner {
    fn start(objects: &MemoryObjects) -> Self {
        Self::start_with(objects, |_| {})
    }

    fn start_with(objects: &MemoryObjects, prepare: impl FnOnce(&RunnerDependencies)) -> Self {
        let cancel = CancellationToken::new();
        let job_store = JobStore::new(objects.store(), 1 << 20);
        let deps = common::runner_deps("vm-1", own_address(), &job_store);
        deps.view.set_configuration(common::rollout_configuration(false));
        prepare(&deps);
        let (view, engines) = (deps.view.clone(), deps.engines.clone());
        // The engines pause for longer than a stalled engine may.
        let options = RunnerOptions {
            event_gap_timeout: Duration::from_secs(60),
            checkpoint_interval: Duration::from_millis(50),
            ..RunnerOptions::default()
        };
        let runner = Runner::start(deps, options, cancel.clone());
        Self { runner, view, engines, job_store, cancel }
    }

    fn set_engines(&self, engines: &[&Engine]) {
        let targets = engines.iter().map(|engine| engine.target.clone()).collect();
        self.view.set_targets(targets, Instant::now());
    }

    async fn start_job(&self, id: &str, item: Item) -> (Rc<Job>, JobRecord, Revision) {
        let job = common::job(id, vec![item]);
        let accepted = self.job_store.store_job(&job, "vm-1", own_address()).await;
        let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        (
            self.runner.start_job(id, record.clone(), revision, BootInstant::now(), job.items),
            record,
            revision,
        )
    }

    /// Starts a job whose only item runs on the given engine up to its pause.
    async fn start_text(&self, engine: &Engine, events: u64) -> (Rc<Job>, JobRecord, Revision) {
        self.set_engines(&[engine]);
        let (job, record, revision) = self.start_job("job", common::item("i")).await;
        eventually("the text has begun", async || last_event(&job) == events).await;
        (job, record, revision)
    }
}

/// Returns the number of events in the text of the job's only item.
fn last_event(job: &Job) -> u64 {
    job.unpublished_item("i").expect("item").progress.borrow().last_event
}

/// Returns the text of the job's only item once it is complete.
async fn result_text(job: &Job) -> String {
    eventually("the item is complete", async || job.is_complete()).await;
    job.published_results.borrow()[0].text.clone()
}

/// Returns the whole text of the given software version.
fn whole_text(software_version: &str) -> String {
    common::joined_events(software_version, PAUSE_AFTER + REMAINING_EVENTS)
}

fn keep(_: &mut Target) {}
fn drain(target: &mut Target) {
    target.state = TargetState::Draining;
}
fn lose_weights(target: &mut Target) {
    target.models.clear();
}

fn run_async<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a text that two software versions have generated: the engine that began it breaks
/// off and is not usable, and only an engine of another version is.
#[test_case(keep; "the engine is in its backoff")]
#[test_case(drain; "the engine is draining")]
#[test_case(lose_weights; "the engine has lost the model")]
fn broken_text_starts_anew_on_another_version(change: fn(&mut Target)) {
    run_async(async move {
        let mut old = Engine::start("old", "v1", AtPause::Wait, PAUSE_AFTER);
        let new = Engine::start("new", "v2", AtPause::Complete, PAUSE_AFTER);
        let node = TestRunner::start(&MemoryObjects::default());
        let (job, ..) = node.start_text(&old, PAUSE_AFTER).await;
        change(&mut old.target);
        node.set_engines(&[&old, &new]);
        old.set_at_pause(AtPause::Break);
        assert_eq!(result_text(&job).await, whole_text("v2"));
        assert_eq!(new.requests(), [0]);
    });
}

/// Guards against a text that is discarded although another engine of its software version can
/// continue it.
#[test]
fn broken_text_goes_on_at_an_engine_of_its_version() {
    run_async(async {
        let broken = Engine::start("broken", "v1", AtPause::Wait, PAUSE_AFTER);
        let same = Engine::start("same", "v1", AtPause::Complete, PAUSE_AFTER);
        let others = ["a", "z"].map(|id| Engine::start(id, "v2", AtPause::Complete, PAUSE_AFTER));
        let node = TestRunner::start(&MemoryObjects::default());
        let (job, ..) = node.start_text(&broken, PAUSE_AFTER).await;
        node.set_engines(&[&others[0], &broken, &same, &others[1]]);
        broken.set_at_pause(AtPause::Break);
        assert_eq!(result_text(&job).await, whole_text("v1"));
        assert_eq!(same.requests(), [PAUSE_AFTER]);
        assert!(others.iter().all(|other| other.requests().is_empty()));
    });
}

/// Guards against a long text that is discarded because the only engine of its software version is in
/// its backoff, which is shorter than the time to generate the text again.
#[test]
fn long_text_waits_for_the_backoff_of_the_only_engine_of_its_version() {
    run_async(async {
        let old = Engine::start("old", "v1", AtPause::Wait, PAUSE_AFTER);
        let new = Engine::start("new", "v2", AtPause::Complete, PAUSE_AFTER);
        let node = TestRunner::start(&MemoryObjects::default());
        let (job, ..) = node.start_text(&old, PAUSE_AFTER).await;
        node.set_engines(&[&old, &new]);
        let gap = Duration::from_millis(1000);
        node.engines.record_event_interval(&new.target, gap, Instant::now());
        old.set_at_pause(AtPause::Break);
        eventually("the engine is in its backoff", async || {
            !node.engines.is_usable(&old.target, "m", Instant::now())
        })
        .await;
        old.set_at_pause(AtPause::Complete);
        assert_eq!(result_text(&job).await, whole_text("v1"));
        assert!(new.requests().is_empty());
    });
}

/// Guards against a migration that continues a text on an engine of another software version, or that
/// leaves the text on a slow engine although a fast one of its version is idle.
#[test]
fn text_migrates_to_an_engine_of_its_version() {
    run_async(async {
        let slow = Engine::start("slow", "v1", AtPause::Wait, PAUSE_AFTER);
        let same = Engine::start("same", "v1", AtPause::Complete, PAUSE_AFTER);
        let others = ["a", "z"].map(|id| Engine::start(id, "v2", AtPause::Complete, PAUSE_AFTER));
        let node = TestRunner::start(&MemoryObjects::default());
        let (job, ..) = node.start_text(&slow, PAUSE_AFTER).await;
        node.set_engines(&[&others[0], &slow, &same, &others[1]]);
        let gaps_ms = [(&others[0], 10), (&slow, 5000), (&same, 20), (&others[1], 10)];
        for (engine, gap_ms) in gaps_ms {
            let gap = Duration::from_millis(gap_ms);
            node.engines.record_event_interval(&engine.target, gap, Instant::now());
        }
        assert_eq!(result_text(&job).await, whole_text("v1"));
        assert_eq!(same.requests(), [PAUSE_AFTER]);
        assert!(others.iter().all(|other| other.requests().is_empty()));
    });
}

/// Guards against a text that goes on at another software version after its job was handed over, and
/// against one that begins anew at its own.
#[test_case("v1", PAUSE_AFTER)]
#[test_case("v2", 0)]
fn handed_over_text_keeps_its_version(next_version: &str, expected_request: u64) {
    run_async(async {
        let objects = MemoryObjects::default();
        let old = Engine::start("old", "v1", AtPause::Wait, PAUSE_AFTER);
        let next = Engine::start("next", next_version, AtPause::Complete, PAUSE_AFTER);
        let sender = TestRunner::start(&objects);
        let (job, record, revision) = sender.start_text(&old, PAUSE_AFTER).await;
        job.stop_token.cancel();
        let mut encoded = Vec::new();
        ciborium::into_writer(&Handover::from_job(&job), &mut encoded).expect("encoded");
        let handover: Handover = ciborium::from_reader(&*encoded).expect("decoded");
        let receiver = TestRunner::start(&objects);
        receiver.set_engines(&[&next]);
        let job = Rc::new(handover.into_job("job".to_owned(), record, revision));
        receiver.runner.register_job(job.clone());
        assert_eq!(result_text(&job).await, whole_text(next_version));
        assert_eq!(next.requests(), [expected_request]);
    });
}

/// Guards against a text that goes on at another software version after a restart of its runner, and
/// against one that begins anew at its own.
#[test_case("v1", PAUSE_AFTER)]
#[test_case("v2", 0)]
fn text_of_a_checkpoint_keeps_its_version(next_version: &str, expected_request: u64) {
    run_async(async {
        let objects = MemoryObjects::default();
        let old = Engine::start("old", "v1", AtPause::Wait, PAUSE_AFTER);
        let next = Engine::start("next", next_version, AtPause::Complete, PAUSE_AFTER);
        let cancel = CancellationToken::new();
        let store = Rc::new(CheckpointStore::open(None));
        let served_store = store.clone();
        let checkpoint_node = common::serve(&cancel, move |request| {
            let store = served_store.clone();
            async move { store.serve(request).await }
        });
        let start = || {
            TestRunner::start_with(&objects, |deps| {
                deps.checkpoints.set_nodes(vec![checkpoint_node]);
            })
        };
        let crashed = start();
        let (job, record, revision) = crashed.start_text(&old, PAUSE_AFTER).await;
        eventually("the text is stored", async || {
            store.get("job").get("i").is_some_and(|item| item.progress.last_event == PAUSE_AFTER)
        })
        .await;
        job.stop_token.cancel();
        let restarted = start();
        restarted.set_engines(&[&next]);
        let job = restarted.runner.load_job("job", record, revision).await.expect("loaded");
        assert_eq!(result_text(&job).await, whole_text(next_version));
        assert_eq!(next.requests(), [expected_request]);
        cancel.cancel();
    });
}

/// Guards against a text of an earlier job that goes on at another software version, and against one
/// that begins anew at its own.
#[test_case("v1", PAUSE_AFTER)]
#[test_case("v2", 0)]
fn text_of_a_repeated_item_keeps_its_version(next_version: &str, expected_request: u64) {
    run_async(async {
        let old = Engine::start("old", "v1", AtPause::Wait, PAUSE_AFTER);
        let next = Engine::start("next", next_version, AtPause::Complete, PAUSE_AFTER);
        let node = TestRunner::start(&MemoryObjects::default());
        let (earlier_job, ..) = node.start_text(&old, PAUSE_AFTER).await;
        earlier_job.stop_token.cancel();
        node.set_engines(&[&next]);
        let (job, ..) = node.start_job("later", common::item("i")).await;
        assert_eq!(result_text(&job).await, whole_text(next_version));
        assert_eq!(next.requests(), [expected_request]);
    });
}

/// Pattern: the last engine of a version is full for long. Guards against a short text that waits
/// for it, and against a long text that is discarded although generating it again takes longer.
#[test_case(PAUSE_AFTER, true)]
#[test_case(2000, false)]
fn text_waits_for_full_engines_as_long_as_it_is_worth(events: u64, starts_anew: bool) {
    run_async(async move {
        let mut old = Engine::start("old", "v1", AtPause::Wait, events);
        old.target.slots = 1;
        let new = Engine::start("new", "v2", AtPause::Complete, events);
        let node = TestRunner::start(&MemoryObjects::default());
        let (job, ..) = node.start_text(&old, events).await;
        // Long, and therefore more urgent than the item with the text.
        let urgent_item = Item { tokens: 1_000_000, ..common::item("urgent") };
        let (urgent_job, ..) = node.start_job("urgent", urgent_item).await;
        job.unpublished_item("i").expect("item").migration_token.borrow().cancel();
        eventually("the engine is full", async || old.requests() == [0, 0]).await;
        assert!(!urgent_job.is_complete());
        node.set_engines(&[&old, &new]);
        node.engines.record_event_interval(&new.target, EVENT_GAP, Instant::now());
        if starts_anew {
            let whole_text = common::joined_events("v2", events + REMAINING_EVENTS);
            assert_eq!(result_text(&job).await, whole_text);
            assert_eq!(new.requests(), [0]);
        } else {
            // Many dispatch rounds.
            monoio::time::sleep(Duration::from_millis(500)).await;
            assert!(new.requests().is_empty());
            old.set_at_pause(AtPause::Complete);
            let whole_text = common::joined_events("v1", events + REMAINING_EVENTS);
            assert_eq!(result_text(&job).await, whole_text);
            assert_eq!(old.requests(), [0, 0, events]);
        }
        old.set_at_pause(AtPause::Complete);
    });
}

/// Pattern: the last engine of a version has broken off a run once and accepts runs again after its
/// backoff of 0.4 s, or is loading weights for as long. Guards against a long text that is discarded
/// at once, although generating it again takes 200 times as long.
#[test_case(false; "backoff")]
#[test_case(true; "loading weights")]
fn long_text_waits_for_an_engine_that_is_soon_usable(is_loading: bool) {
    run_async(async move {
        let old = Engine::start("old", "v1", AtPause::Wait, LONG_TEXT_EVENTS);
        let new = Engine::start("new", "v2", AtPause::Complete, LONG_TEXT_EVENTS);
        let node = TestRunner::start(&MemoryObjects::default());
        let (job, ..) = node.start_text(&old, LONG_TEXT_EVENTS).await;
        node.set_engines(&[&old, &new]);
        node.engines.record_event_interval(&new.target, EVENT_GAP, Instant::now());
        if is_loading {
            node.engines.set_loading_model(&old.target, Some("m".to_owned()));
            job.unpublished_item("i").expect("item").migration_token.borrow().cancel();
        } else {
            old.set_at_pause(AtPause::Break);
        }
        monoio::time::sleep(Duration::from_millis(200)).await;
        old.set_at_pause(AtPause::Complete);
        node.engines.set_loading_model(&old.target, None);
        let text = result_text(&job).await;
        assert!(new.requests().is_empty(), "the text was discarded");
        assert!(text == common::joined_events("v1", LONG_TEXT_EVENTS + REMAINING_EVENTS));
    });
}

/// Guards against a text that is attributed to the software version of an earlier process of its
/// engine, and that an engine of that version continues: the engine starts again under its id, as
/// another version, before it replies.
#[test]
fn text_of_an_engine_that_has_just_restarted_is_not_continued() {
    run_async(async {
        let (may_reply, requests) = (Arc::new(AtomicU8::new(0)), Arc::<Mutex<u64>>::default());
        let (server_may_reply, server_requests) = (may_reply.clone(), requests.clone());
        let server = RawServer::start(move |call| {
            *server_requests.lock().expect("requests") += 1;
            while server_may_reply.load(Ordering::Relaxed) == 0 {
                std::thread::sleep(Duration::from_millis(5));
            }
            generate(call, "v2", &AtomicU8::new(AtPause::Break as u8), PAUSE_AFTER);
        });
        let listed = Target {
            software_version: Some("v1".to_owned()),
            ..common::engine("restarted", server.address)
        };
        let same = Engine::start("same", "v1", AtPause::Complete, PAUSE_AFTER);
        let node = TestRunner::start(&MemoryObjects::default());
        node.view.set_targets(vec![listed.clone()], Instant::now());
        let (job, ..) = node.start_job("job", common::item("i")).await;
        eventually("the engine has the request", async || *requests.lock().expect("requests") == 1)
            .await;
        let restarted = Target {
            software_version: Some("v2".to_owned()),
            started_at_ms: listed.started_at_ms + 1,
            ..listed
        };
        node.view.set_targets(vec![restarted, same.target.clone()], Instant::now());
        may_reply.store(1, Ordering::Relaxed);
        let text = result_text(&job).await;
        assert!(text == whole_text("v1") || text == whole_text("v2"), "{text}");
    });
}

/// Pattern: the entry of the engine is older than its last start, and a new one arrives while the text
/// is on its way. Guards against a text of two software versions: the new process had started long
/// before the run was sent.
#[test_case(AtPause::Break; "run breaks off")]
#[test_case(AtPause::Complete; "run is complete")]
fn text_of_an_engine_whose_earlier_restart_is_learned_of_later_is_not_joined(end: AtPause) {
    run_async(async move {
        let first = Engine::start("first", "v2", AtPause::Wait, PAUSE_AFTER);
        let listed = Target { software_version: Some("v1".to_owned()), ..first.target.clone() };
        let same = Engine::start("same", "v1", AtPause::Complete, PAUSE_AFTER);
        let node = TestRunner::start(&MemoryObjects::default());
        node.view.set_targets(vec![listed.clone()], Instant::now());
        let (job, ..) = node.start_job("job", common::item("i")).await;
        eventually("the text has begun", async || last_event(&job) == PAUSE_AFTER).await;
        // A Unix time in milliseconds, far before the run.
        let restarted = Target { started_at_ms: 1_000, ..first.target.clone() };
        node.view.set_targets(vec![restarted, same.target.clone()], Instant::now());
        first.set_at_pause(end);
        let text = result_text(&job).await;
        assert!(text == whole_text("v1") || text == whole_text("v2"), "{text}");
    });
}
