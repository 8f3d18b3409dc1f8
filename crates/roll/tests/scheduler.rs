//! Scheduling decisions: which samples start, which are stale and which groups are delivered.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::object::RolloutJob;
use deck_roll::{
    bitmap::GroupBitmap,
    options::SampleSchedulerOptions,
    protocol::GroupDelivery,
    sample::SampleText,
    scheduler::{SampleScheduler, SampleTask, TrainerState},
};

fn spec(group_count: u32, staleness_bound: u64) -> RolloutJob {
    RolloutJob {
        organisation: "atlas".to_owned(),
        pool: "draft".to_owned(),
        scorer_address: "127.0.0.1:1".to_owned(),
        samples_per_step: group_count * 2,
        group_size: 2,
        staleness_bound_versions: staleness_bound,
        max_tokens: 100,
        step_deadline_ms: 1000,
        prompts: (0..group_count).map(|number| format!("prompt {number}")).collect(),
        paused: false,
    }
}

/// Scheduler of a job with two samples per group, and the current time of the test.
struct SchedulerFixture {
    scheduler: SampleScheduler,
    now: Instant,
}

impl SchedulerFixture {
    fn new(group_count: u32, staleness_bound: u64) -> Self {
        Self::with_options(group_count, staleness_bound, SampleSchedulerOptions::default())
    }

    fn with_options(
        group_count: u32,
        staleness_bound: u64,
        options: SampleSchedulerOptions,
    ) -> Self {
        let scheduler = SampleScheduler::new(
            "rank".to_owned(),
            Rc::new(spec(group_count, staleness_bound)),
            options,
        );
        Self { scheduler, now: Instant::now() }
    }

    fn pull(&mut self, step: u64, version: u64, received: &[u32]) {
        let mut bitmap = GroupBitmap::default();
        received.iter().for_each(|group| bitmap.insert(*group));
        self.scheduler
            .apply_pull(TrainerState { step, version, received_groups: bitmap }, self.now);
    }

    /// Starts all samples that may start now.
    fn start_all(&mut self) -> Vec<SampleTask> {
        std::iter::from_fn(|| self.scheduler.start_next_sample(self.now)).collect()
    }

    /// Finishes a sample with `tokens` more tokens, and scores its group if that completes it.
    fn finish(&mut self, task: &SampleTask, version: u64, tokens: u32) {
        let mut text = task.resume_from.clone().unwrap_or_default();
        text.append("text", tokens, version);
        self.scheduler.record_engine_tokens(version, tokens, self.now);
        if let Some(group) = self.scheduler.finish_sample(&task.key, text, self.now) {
            let scores = vec![0.5; group.texts.len()];
            self.scheduler.set_scores(&group, scores);
        }
    }

    /// Returns all deliverable groups.
    fn deliverable(&mut self) -> Vec<GroupDelivery> {
        self.scheduler.deliverable_groups(usize::MAX)
    }
}

fn group_numbers(deliveries: &[GroupDelivery]) -> Vec<u32> {
    deliveries.iter().map(|delivery| delivery.group).collect()
}

/// A group is delivered only when all its samples are finished and scored.
#[test]
fn delivers_only_complete_groups() {
    let mut fixture = SchedulerFixture::new(2, 0);
    fixture.pull(0, 5, &[]);
    let tasks = fixture.start_all();
    assert_eq!(tasks.len(), 4);
    for sample in tasks.iter().filter(|task| task.key.index == 0) {
        fixture.finish(sample, 5, 10);
    }
    assert!(fixture.deliverable().is_empty());
    let last_task = tasks.iter().find(|task| task.key.group == 1 && task.key.index == 1);
    fixture.finish(last_task.expect("sample"), 5, 10);
    let deliverable = fixture.deliverable();
    assert_eq!(group_numbers(&deliverable), [1]);
    let ids: Vec<&str> = deliverable[0].samples.iter().map(|sample| sample.id.as_str()).collect();
    assert_eq!(ids, ["rank/0/1/0", "rank/0/1/1"]);
}

/// A group is sent again until the trainer reports that it received it, because a response can be
/// lost.
#[test]
fn resends_group_until_trainer_holds_it() {
    let mut fixture = SchedulerFixture::new(1, 0);
    fixture.pull(0, 5, &[]);
    for task in fixture.start_all() {
        fixture.finish(&task, 5, 10);
    }
    let first_delivery = fixture.deliverable();
    fixture.pull(0, 5, &[]);
    assert_eq!(
        fixture.deliverable(),
        first_delivery,
        "the response was lost, so the same samples are sent again"
    );
    fixture.pull(0, 5, &[0]);
    assert!(fixture.deliverable().is_empty());
    assert_eq!(fixture.scheduler.stats().delivered_samples, 2);
    assert_eq!(fixture.scheduler.buffered_bytes(), 0, "texts of received groups are freed");
    assert!(fixture.start_all().iter().all(|task| task.key.step > 0));
}

/// A new owner does not generate groups that the trainer has already received.
#[test]
fn skips_groups_received_by_trainer() {
    let mut fixture = SchedulerFixture::new(4, 0);
    fixture.pull(7, 5, &[0, 2]);
    let mut started_groups: Vec<u32> =
        fixture.start_all().iter().map(|task| task.key.group).collect();
    started_groups.dedup();
    assert_eq!(started_groups, [1, 3]);
}

/// Finished samples that become stale when the trainer's version rises are not delivered but
/// generated again.
#[test]
fn regenerates_stale_samples() {
    let mut fixture = SchedulerFixture::new(1, 1);
    fixture.pull(0, 5, &[]);
    let tasks = fixture.start_all();
    fixture.finish(&tasks[0], 4, 10);
    fixture.finish(&tasks[1], 5, 10);
    fixture.pull(0, 6, &[]);
    assert!(fixture.deliverable().is_empty(), "version 4 is two behind 6");
    let restarted = fixture.start_all();
    let current_step_tasks: Vec<_> = restarted.iter().filter(|task| task.key.step == 0).collect();
    assert_eq!(current_step_tasks.len(), 1, "only the stale sample starts again");
    fixture.finish(current_step_tasks[0], 6, 10);
    let deliverable = fixture.deliverable();
    let versions: Vec<u64> =
        deliverable[0].samples.iter().map(|sample| sample.spans[0].weight_version).collect();
    assert_eq!(versions, [6, 5]);
    assert_eq!(fixture.scheduler.stats().regenerated_samples, 1);
}

/// Results of samples whose epoch is outdated are discarded, so they are not counted twice.
#[test]
fn discards_results_of_older_epoch() {
    let mut fixture = SchedulerFixture::new(1, 0);
    fixture.pull(0, 5, &[]);
    let tasks = fixture.start_all();
    fixture.pull(0, 5, &[0]);
    fixture.pull(0, 5, &[]);
    for sample in &tasks {
        fixture.finish(sample, 5, 10);
    }
    assert!(fixture.deliverable().is_empty(), "the group started again after the trainer lost it");
    assert_eq!(fixture.scheduler.stats().discarded_tokens, 20);
}

/// Samples of every later step that will satisfy the staleness bound are generated in advance, and
/// of no other step. Starting fewer steps would make the trainer wait.
#[test]
fn look_ahead_respects_staleness_bound() {
    for (staleness_bound, engine_version, expected) in
        [(0, 5, 0), (1, 4, 0), (1, 5, 1), (2, 5, 2), (9, 5, 2)]
    {
        let mut fixture = SchedulerFixture::new(1, staleness_bound);
        fixture.pull(0, 5, &[]);
        for task in fixture.start_all() {
            fixture.finish(&task, engine_version, 10);
        }
        let last_step = fixture.start_all().iter().map(|task| task.key.step).max();
        assert_eq!(
            last_step.unwrap_or(0),
            expected,
            "bound {staleness_bound}, engines at {engine_version}"
        );
    }
}

/// While all engines run weights that are too old, only one probe sample at a time is started.
#[test]
fn probes_while_engines_are_outdated() {
    let mut fixture = SchedulerFixture::new(2, 0);
    fixture.pull(0, 5, &[]);
    let tasks = fixture.start_all();
    for sample in &tasks {
        fixture.scheduler.record_engine_tokens(4, 1, fixture.now);
        let mut text = SampleText::default();
        text.append("a", 1, 4);
        assert!(!fixture.scheduler.is_usable(&sample.key, &text, fixture.now));
        fixture.scheduler.abandon_sample(&sample.key, 1, fixture.now);
    }
    assert_eq!(fixture.start_all().len(), 1);
    assert_eq!(fixture.scheduler.stats().discarded_tokens, 4);
}

/// During a weight update, samples of later steps do not start while many engines still run the old
/// version.
#[test]
fn look_ahead_requires_mostly_updated_engines() {
    let mut fixture = SchedulerFixture::new(1, 1);
    fixture.pull(0, 5, &[]);
    let tasks = fixture.start_all();
    fixture.finish(&tasks[0], 4, 50);
    fixture.finish(&tasks[1], 5, 50);
    assert_eq!(fixture.start_all(), [], "half of the engines would make stale samples");
    fixture.now += Duration::from_secs(5);
    fixture.scheduler.record_engine_tokens(5, 50, fixture.now);
    let look_ahead_tasks = fixture.start_all();
    assert_eq!(look_ahead_tasks.len(), 2);
    let mut text = SampleText::default();
    text.append("a", 1, 4);
    assert!(
        !fixture.scheduler.is_usable(&look_ahead_tasks[0].key, &text, fixture.now),
        "a sample that has just started is abandoned"
    );
    text.append("long", 90, 4);
    assert!(
        fixture.scheduler.is_usable(&look_ahead_tasks[0].key, &text, fixture.now),
        "the forecast may be wrong"
    );
}

/// Groups with long predicted samples start first, because a long sample started last would delay
/// the step. A prompt without a prediction must not break this order.
#[test]
fn starts_longest_predicted_groups_first() {
    let mut fixture = SchedulerFixture::new(3, 9);
    fixture.pull(0, 5, &[]);
    for task in fixture.start_all().into_iter().filter(|task| task.key.step == 0) {
        let tokens = [10, 90, 40][task.key.group as usize];
        fixture.finish(&task, 5, tokens);
    }
    fixture.pull(5, 6, &[]);
    let mut start_order: Vec<u32> = fixture
        .start_all()
        .iter()
        .filter(|task| task.key.step == 5)
        .map(|task| task.key.group)
        .collect();
    start_order.dedup();
    assert_eq!(start_order, [1, 2, 0]);
}

/// Generation resumes from a partial text only while that text is fresh: generated by weight
/// versions that the trainer still accepts.
#[test]
fn resumes_partial_text_while_fresh() {
    let mut fixture = SchedulerFixture::new(1, 1);
    fixture.pull(0, 5, &[]);
    let tasks = fixture.start_all();
    let mut partial = SampleText::default();
    partial.append("half ", 5, 4);
    fixture.scheduler.record_engine_tokens(5, 5, fixture.now);
    fixture.scheduler.requeue_sample(&tasks[0].key, Some(partial.clone()), fixture.now);
    let resumed = fixture.scheduler.start_next_sample(fixture.now).expect("work");
    assert_eq!(resumed.resume_from, Some(partial.clone()));
    fixture.scheduler.requeue_sample(&resumed.key, Some(partial), fixture.now);
    fixture.pull(0, 6, &[]);
    let restarted = fixture.scheduler.start_next_sample(fixture.now).expect("work");
    assert_eq!(restarted.resume_from, None);
    assert_eq!(fixture.scheduler.stats().discarded_tokens, 5);
}

/// A failed sample is retried after a delay rather than in a busy loop.
#[test]
fn delays_retry_of_failed_sample() {
    let mut fixture = SchedulerFixture::new(1, 0);
    fixture.pull(0, 5, &[]);
    let tasks = fixture.start_all();
    let later = fixture.now + Duration::from_millis(250);
    fixture.scheduler.requeue_sample(&tasks[0].key, None, later);
    assert_eq!(fixture.scheduler.start_next_sample(fixture.now), None);
    assert!(fixture.scheduler.start_next_sample(later).is_some());
}

/// No sample of a later step starts while the text buffer is full, so memory stays bounded if the
/// trainer does not pull.
#[test]
fn full_buffer_stops_look_ahead() {
    let options =
        SampleSchedulerOptions { max_buffered_bytes: 4, ..SampleSchedulerOptions::default() };
    let mut fixture = SchedulerFixture::with_options(1, 9, options);
    fixture.pull(0, 5, &[]);
    for task in fixture.start_all() {
        fixture.finish(&task, 5, 10);
    }
    assert_eq!(fixture.start_all(), []);
}

/// A paused job starts no samples.
#[test]
fn paused_job_starts_no_samples() {
    let mut fixture = SchedulerFixture::new(1, 0);
    fixture.scheduler.set_spec(Rc::new(RolloutJob { paused: true, ..spec(1, 0) }));
    fixture.pull(0, 5, &[]);
    assert_eq!(fixture.start_all(), []);
}
