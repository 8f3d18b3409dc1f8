//! State of one batch job on the node that runs it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use deck_core::{
    CancellationToken,
    id::{RequestId, Revision, TargetId, WeightVersion},
};
use deck_fleet::{Item, ItemOutcome, ItemResult};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::JobRecord;

/// One job on the node that runs it.
pub struct Job {
    /// Id.
    pub id: RequestId,
    /// Record as last read or written.
    pub record: RefCell<JobRecord>,
    /// Revision of the record.
    pub revision: Cell<Revision>,
    /// When the job was submitted, on this node's clock.
    pub submitted_at: Instant,
    /// When this node first knew of the job.
    pub known_since: Instant,
    /// When this node took the job over; `None` if it has run the job from the start.
    pub taken_over_at: Option<Instant>,
    /// When the record last showed that this node runs the job.
    pub ownership_checked_at: Cell<Instant>,
    /// Number of groups.
    pub total_groups: usize,
    /// Hashes of the requests of the items that were given to this node, by their ids.
    pub request_hashes: HashMap<RequestId, u64>,
    /// Items without a listed result. Invariant: an item is here or in `published`, never in both.
    pub items: RefCell<Vec<Rc<ItemState>>>,
    /// Results at their positions; positions never change.
    pub published: RefCell<Vec<Rc<ItemResult>>>,
    /// Chunks that hold the results in `published`.
    pub chunk_count: Cell<usize>,
    /// Results that are not stored yet.
    pub unpublished: RefCell<Vec<Rc<ItemResult>>>,
    /// Told of each new unlisted result.
    pub result_added: Notify,
    /// Number of listed results, for readers that wait.
    pub published_count: watch::Sender<usize>,
    /// Second copies of open items, whose texts are generated ahead for the job that may repeat them, see
    /// [`crate::speculation`]. Invariant: none of them is in `items`; they have no result in this job.
    pub speculative_items: RefCell<Vec<Rc<ItemState>>>,
    /// Cancelled when the job is ended or another node runs it.
    pub stop: CancellationToken,
    /// Cancelled when nothing is generated ahead any more.
    pub speculation_stop: CancellationToken,
}

/// Where an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waits for an engine.
    Waiting,
    /// Runs on an engine.
    Running,
    /// Its text is complete and has to be scored.
    Generated,
    /// Its text is complete and being scored.
    Scoring,
    /// It has a result.
    Done,
}

impl Phase {
    /// Returns whether the text is not complete yet.
    pub fn needs_text(self) -> bool {
        matches!(self, Self::Waiting | Self::Running)
    }
}

/// One item and its progress.
pub struct ItemState {
    /// The item.
    pub item: Item,
    /// Where it is. Invariant: `Done` is final.
    pub phase: Cell<Phase>,
    /// Text so far.
    pub progress: RefCell<Progress>,
    /// Failures that targets answered.
    pub failures: Cell<u32>,
    /// Engine that runs it.
    pub target: RefCell<Option<TargetId>>,
    /// Cancelled to move the current run to another engine.
    pub migration_token: RefCell<CancellationToken>,
    /// When the current run started.
    pub started_at: Cell<Option<Instant>>,
    /// Whether its engine has answered the current run, so that nothing of it is still on its way.
    pub response_received: Cell<bool>,
    /// Whether the text is generated ahead for a later job, see [`Job::speculative_items`].
    pub is_speculative: bool,
}

/// Text of an item so far.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Data of the events, separated by line feeds.
    pub text: String,
    /// Number of the last event; 0 before the first one.
    pub last_event: u64,
    /// Versions that generated at least one event.
    pub versions: BTreeSet<WeightVersion>,
    /// Length of the text after each event. Invariant: as many as events.
    #[serde(rename = "ends")]
    pub event_ends: Vec<usize>,
}

impl Progress {
    /// Adds an event.
    pub fn push(&mut self, number: u64, data: &str, version: WeightVersion) {
        if self.last_event > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = number;
        self.versions.insert(version);
        self.event_ends.push(self.text.len());
    }

    /// Returns the text of the events after the given one, with the line feed before them.
    pub fn text_after(&self, event: u64) -> &str {
        let end = event.checked_sub(1).and_then(|index| self.event_ends.get(index as usize));
        &self.text[end.copied().unwrap_or(0)..]
    }

    /// Returns whether the text may be part of a result that needs at least `min_version`.
    pub fn meets_min_version(&self, min_version: WeightVersion) -> bool {
        self.versions.first().is_none_or(|oldest| *oldest >= min_version)
    }
}

impl ItemState {
    /// Moves the item to a phase, unless it already has a result, possibly one of another runner.
    pub fn enter(&self, phase: Phase) {
        if self.phase.get() != Phase::Done {
            self.phase.set(phase);
        }
    }

    /// Returns an item that waits for its first run.
    pub fn new(item: Item) -> Self {
        Self {
            item,
            phase: Cell::new(Phase::Waiting),
            progress: RefCell::default(),
            failures: Cell::new(0),
            target: RefCell::default(),
            migration_token: RefCell::default(),
            started_at: Cell::new(None),
            response_received: Cell::new(false),
            is_speculative: false,
        }
    }

    /// Returns an item whose text is generated ahead for a later job.
    pub fn speculative(item: Item) -> Self {
        Self { is_speculative: true, ..Self::new(item) }
    }
}

impl Job {
    /// Returns a job with the given items, none of which has a result.
    pub fn new(id: RequestId, record: JobRecord, revision: Revision, items: Vec<Item>) -> Self {
        let now = Instant::now();
        let age = age_of(record.submitted_at_ms);
        Self {
            id,
            record: RefCell::new(record),
            revision: Cell::new(revision),
            submitted_at: now.checked_sub(age).unwrap_or(now),
            known_since: now,
            taken_over_at: None,
            ownership_checked_at: Cell::new(now),
            total_groups: items.iter().map(|item| &item.group).collect::<HashSet<_>>().len(),
            request_hashes: items
                .iter()
                .map(|item| (item.id.clone(), item.request_hash()))
                .collect(),
            items: RefCell::new(
                items.into_iter().map(|item| Rc::new(ItemState::new(item))).collect(),
            ),
            published: RefCell::default(),
            chunk_count: Cell::new(0),
            unpublished: RefCell::default(),
            result_added: Notify::new(),
            published_count: watch::channel(0).0,
            speculative_items: RefCell::default(),
            stop: CancellationToken::new(),
            speculation_stop: CancellationToken::new(),
        }
    }

    /// Returns the number of items of the job.
    pub fn item_count(&self) -> usize {
        self.record.borrow().item_count
    }

    /// Returns whether all items have a listed result.
    pub fn is_complete(&self) -> bool {
        self.published.borrow().len() >= self.item_count()
    }

    /// Returns whether the caller has ended the job.
    pub fn is_ended(&self) -> bool {
        self.record.borrow().ended
    }

    /// Returns when the results are due.
    pub fn due_at(&self) -> Instant {
        self.submitted_at + Duration::from_millis(self.record.borrow().limits.results_due_ms)
    }

    /// Returns whether all results are listed and their caller has had the time to read them.
    pub fn is_past_due(&self, now: Instant) -> bool {
        self.is_complete() && now > self.due_at()
    }

    /// Returns when items may be given up.
    pub fn give_up_at(&self) -> Instant {
        self.submitted_at + Duration::from_millis(self.record.borrow().limits.give_up_ms)
    }

    /// Returns the item with the id, if it has no published result.
    pub fn unpublished_item(&self, id: &str) -> Option<Rc<ItemState>> {
        self.items.borrow().iter().find(|item_state| item_state.item.id == id).cloned()
    }

    /// Takes note of an item's result, which becomes visible once it is stored. A text that is
    /// generated ahead has none in this job.
    pub fn finish(&self, item_state: &ItemState, outcome: ItemOutcome, score: Option<String>) {
        if item_state.phase.replace(Phase::Done) == Phase::Done || item_state.is_speculative {
            return;
        }
        let progress = item_state.progress.take();
        let result = ItemResult {
            item: item_state.item.id.clone(),
            outcome,
            text: progress.text,
            versions: progress.versions.into_iter().collect(),
            score,
        };
        self.unpublished.borrow_mut().push(Rc::new(result));
        self.result_added.notify_one();
    }

    /// Returns the number of groups with an item that has no published result.
    pub fn open_groups(&self) -> usize {
        let items = self.items.borrow();
        items.iter().map(|item_state| &item_state.item.group).collect::<HashSet<_>>().len()
    }

    /// Adds the results of a stored chunk at the next positions. A chunk that is listed already, or
    /// is not the next one, changes nothing. Returns the number of groups that are complete with it.
    pub fn publish_chunk(&self, chunk: usize, results: Vec<Rc<ItemResult>>) -> usize {
        if chunk != self.chunk_count.get() {
            return 0;
        }
        let open_before = self.open_groups();
        let mut items = self.items.borrow_mut();
        for result in &results {
            if let Some(index) =
                items.iter().position(|item_state| item_state.item.id == result.item)
            {
                items[index].phase.set(Phase::Done);
                items.remove(index);
            }
        }
        let is_published =
            |unpublished: &Rc<ItemResult>| results.iter().any(|r| r.item == unpublished.item);
        self.unpublished.borrow_mut().retain(|unpublished| !is_published(unpublished));
        drop(items);
        let mut published = self.published.borrow_mut();
        published.extend(results);
        self.chunk_count.set(self.chunk_count.get() + 1);
        self.published_count.send_replace(published.len());
        open_before - self.open_groups()
    }
}

/// Returns the time since a moment that another node may have read off its own clock.
fn age_of(at_ms: u64) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    now.saturating_sub(Duration::from_millis(at_ms))
}
