//! Decisions of a board: what starts, what is stale, what is handed over.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::object::RolloutJob;
use deck_roll::{
    bitmap::GroupBitmap,
    board::{Board, TrainerState, Work},
    options::BoardOptions,
    protocol::GroupDelivery,
    sample::SampleText,
};

fn spec(groups: u32, bound: u64) -> RolloutJob {
    RolloutJob {
        organisation: "atlas".to_owned(),
        pool: "draft".to_owned(),
        scorer_address: "127.0.0.1:1".to_owned(),
        samples_per_step: groups * 2,
        group_size: 2,
        staleness_bound_versions: bound,
        max_tokens: 100,
        step_deadline_ms: 1000,
        prompts: (0..groups).map(|number| format!("prompt {number}")).collect(),
        paused: false,
    }
}

struct Fixture {
    board: Board,
    now: Instant,
}

impl Fixture {
    fn new(groups: u32, bound: u64) -> Self {
        Self::with_options(groups, bound, BoardOptions::default())
    }

    fn with_options(groups: u32, bound: u64, options: BoardOptions) -> Self {
        let board = Board::new("rank".to_owned(), Rc::new(spec(groups, bound)), options);
        Self { board, now: Instant::now() }
    }

    fn pull(&mut self, step: u64, version: u64, held: &[u32]) {
        let mut bitmap = GroupBitmap::default();
        held.iter().for_each(|group| bitmap.insert(*group));
        self.board.apply_pull(TrainerState { step, version, held: bitmap }, self.now);
    }

    fn take_all(&mut self) -> Vec<Work> {
        std::iter::from_fn(|| self.board.take_work(self.now)).collect()
    }

    /// Generates a sample of `tokens` tokens and scores its group if that is complete.
    fn finish(&mut self, work: &Work, version: u64, tokens: u32) {
        let mut text = work.resume.clone().unwrap_or_default();
        text.push("text", tokens, version);
        self.board.observe_engine(version, tokens, self.now);
        if let Some(group) = self.board.finish(&work.key, text, self.now) {
            let scores = vec![0.5; group.texts.len()];
            self.board.set_scores(&group, scores);
        }
    }

    fn ready(&mut self) -> Vec<GroupDelivery> {
        self.board.ready_groups(usize::MAX)
    }
}

fn groups(deliveries: &[GroupDelivery]) -> Vec<u32> {
    deliveries.iter().map(|delivery| delivery.group).collect()
}

/// Guards against groups that are handed over in part or without scores.
#[test]
fn hands_over_whole_groups() {
    let mut fixture = Fixture::new(2, 0);
    fixture.pull(0, 5, &[]);
    let work = fixture.take_all();
    assert_eq!(work.len(), 4);
    for sample in work.iter().filter(|work| work.key.index == 0) {
        fixture.finish(sample, 5, 10);
    }
    assert!(fixture.ready().is_empty());
    let last = work.iter().find(|work| work.key.group == 1 && work.key.index == 1);
    fixture.finish(last.expect("sample"), 5, 10);
    let ready = fixture.ready();
    assert_eq!(groups(&ready), [1]);
    let ids: Vec<&str> = ready[0].samples.iter().map(|sample| sample.id.as_str()).collect();
    assert_eq!(ids, ["rank/0/1/0", "rank/0/1/1"]);
}

/// Guards against samples that are lost with an answer, and against groups that come again although
/// the trainer holds them.
#[test]
fn repeats_until_the_trainer_holds_the_group() {
    let mut fixture = Fixture::new(1, 0);
    fixture.pull(0, 5, &[]);
    for work in fixture.take_all() {
        fixture.finish(&work, 5, 10);
    }
    let first = fixture.ready();
    fixture.pull(0, 5, &[]);
    assert_eq!(fixture.ready(), first, "the answer was lost, so the same samples come again");
    fixture.pull(0, 5, &[0]);
    assert!(fixture.ready().is_empty());
    assert_eq!(fixture.board.stats().delivered_samples, 2);
    assert_eq!(fixture.board.buffered_bytes(), 0, "text of held groups is freed");
    assert!(fixture.take_all().iter().all(|work| work.key.step > 0));
}

/// Guards against a new owner that generates what the trainer holds already.
#[test]
fn continues_from_the_bitmap() {
    let mut fixture = Fixture::new(4, 0);
    fixture.pull(7, 5, &[0, 2]);
    let mut started: Vec<u32> = fixture.take_all().iter().map(|work| work.key.group).collect();
    started.dedup();
    assert_eq!(started, [1, 3]);
}

/// Guards against stale samples at hand-over after the trainer's version rose.
#[test]
fn regenerates_stale_samples() {
    let mut fixture = Fixture::new(1, 1);
    fixture.pull(0, 5, &[]);
    let work = fixture.take_all();
    fixture.finish(&work[0], 4, 10);
    fixture.finish(&work[1], 5, 10);
    fixture.pull(0, 6, &[]);
    assert!(fixture.ready().is_empty(), "version 4 is two behind 6");
    let again = fixture.take_all();
    let current: Vec<_> = again.iter().filter(|work| work.key.step == 0).collect();
    assert_eq!(current.len(), 1, "only the stale sample starts again");
    fixture.finish(current[0], 6, 10);
    let ready = fixture.ready();
    let versions: Vec<u64> =
        ready[0].samples.iter().map(|sample| sample.spans[0].weight_version).collect();
    assert_eq!(versions, [6, 5]);
    assert_eq!(fixture.board.stats().regenerated_samples, 1);
}

/// Guards against results of an attempt that was given up, which would count twice.
#[test]
fn drops_results_of_an_older_epoch() {
    let mut fixture = Fixture::new(1, 0);
    fixture.pull(0, 5, &[]);
    let work = fixture.take_all();
    fixture.pull(0, 5, &[0]);
    fixture.pull(0, 5, &[]);
    for sample in &work {
        fixture.finish(sample, 5, 10);
    }
    assert!(fixture.ready().is_empty(), "the group started again after the trainer lost it");
    assert_eq!(fixture.board.stats().thrown_away_tokens, 20);
}

/// Guards against work for later steps that would be stale there, and against a trainer that waits
/// although such work was possible.
#[test]
fn looks_ahead_within_the_staleness_bound() {
    for (bound, engine, expected) in [(0, 5, 0), (1, 4, 0), (1, 5, 1), (2, 5, 2), (9, 5, 2)] {
        let mut fixture = Fixture::new(1, bound);
        fixture.pull(0, 5, &[]);
        for work in fixture.take_all() {
            fixture.finish(&work, engine, 10);
        }
        let last = fixture.take_all().iter().map(|work| work.key.step).max();
        assert_eq!(last.unwrap_or(0), expected, "bound {bound}, engines at {engine}");
    }
}

/// Guards against work on engines whose weights are too old: one sample at a time looks for new
/// weights.
#[test]
fn probes_while_the_engines_are_too_old() {
    let mut fixture = Fixture::new(2, 0);
    fixture.pull(0, 5, &[]);
    let work = fixture.take_all();
    for sample in &work {
        fixture.board.observe_engine(4, 1, fixture.now);
        let mut text = SampleText::default();
        text.push("a", 1, 4);
        assert!(!fixture.board.is_useful(&sample.key, &text, fixture.now));
        fixture.board.abandon(&sample.key, 1, fixture.now);
    }
    assert_eq!(fixture.take_all().len(), 1);
    assert_eq!(fixture.board.stats().thrown_away_tokens, 4);
}

/// Guards against work for later steps on engines that still lag in a rollout of weights.
#[test]
fn looks_ahead_only_when_most_engines_are_new_enough() {
    let mut fixture = Fixture::new(1, 1);
    fixture.pull(0, 5, &[]);
    let work = fixture.take_all();
    fixture.finish(&work[0], 4, 50);
    fixture.finish(&work[1], 5, 50);
    assert_eq!(fixture.take_all(), [], "half of the engines would make stale samples");
    fixture.now += Duration::from_secs(5);
    fixture.board.observe_engine(5, 50, fixture.now);
    let ahead = fixture.take_all();
    assert_eq!(ahead.len(), 2);
    let mut text = SampleText::default();
    text.push("a", 1, 4);
    assert!(!fixture.board.is_useful(&ahead[0].key, &text, fixture.now), "given up at once");
    text.push("long", 90, 4);
    assert!(
        fixture.board.is_useful(&ahead[0].key, &text, fixture.now),
        "the forecast may be wrong"
    );
}

/// Guards against long work that starts last and stalls the step, and against an order that is lost
/// when a prompt is new.
#[test]
fn starts_expected_long_work_first() {
    let mut fixture = Fixture::new(3, 9);
    fixture.pull(0, 5, &[]);
    for work in fixture.take_all().into_iter().filter(|work| work.key.step == 0) {
        let tokens = [10, 90, 40][work.key.group as usize];
        fixture.finish(&work, 5, tokens);
    }
    fixture.pull(5, 6, &[]);
    let mut order: Vec<u32> = fixture
        .take_all()
        .iter()
        .filter(|work| work.key.step == 5)
        .map(|work| work.key.group)
        .collect();
    order.dedup();
    assert_eq!(order, [1, 2, 0]);
}

/// Guards against partial work that is thrown away, and against the use of partial work that has
/// become stale.
#[test]
fn continues_partial_work_while_it_is_fresh() {
    let mut fixture = Fixture::new(1, 1);
    fixture.pull(0, 5, &[]);
    let work = fixture.take_all();
    let mut partial = SampleText::default();
    partial.push("half ", 5, 4);
    fixture.board.observe_engine(5, 5, fixture.now);
    fixture.board.put_back(&work[0].key, Some(partial.clone()), fixture.now);
    let resumed = fixture.board.take_work(fixture.now).expect("work");
    assert_eq!(resumed.resume, Some(partial.clone()));
    fixture.board.put_back(&resumed.key, Some(partial), fixture.now);
    fixture.pull(0, 6, &[]);
    let restarted = fixture.board.take_work(fixture.now).expect("work");
    assert_eq!(restarted.resume, None);
    assert_eq!(fixture.board.stats().thrown_away_tokens, 5);
}

/// Guards against a failed sample that is repeated in a busy loop.
#[test]
fn waits_before_a_failed_sample_starts_again() {
    let mut fixture = Fixture::new(1, 0);
    fixture.pull(0, 5, &[]);
    let work = fixture.take_all();
    let later = fixture.now + Duration::from_millis(250);
    fixture.board.put_back(&work[0].key, None, later);
    assert_eq!(fixture.board.take_work(fixture.now), None);
    assert!(fixture.board.take_work(later).is_some());
}

/// Guards against unbounded memory while the trainer does not pull.
#[test]
fn stops_looking_ahead_when_the_buffer_is_full() {
    let options = BoardOptions { max_buffered_bytes: 4, ..BoardOptions::default() };
    let mut fixture = Fixture::with_options(1, 9, options);
    fixture.pull(0, 5, &[]);
    for work in fixture.take_all() {
        fixture.finish(&work, 5, 10);
    }
    assert_eq!(fixture.take_all(), []);
}

/// Guards against a paused job that keeps engines busy.
#[test]
fn a_paused_job_starts_nothing() {
    let mut fixture = Fixture::new(1, 0);
    fixture.board.set_spec(Rc::new(RolloutJob { paused: true, ..spec(1, 0) }));
    fixture.pull(0, 5, &[]);
    assert_eq!(fixture.take_all(), []);
}
