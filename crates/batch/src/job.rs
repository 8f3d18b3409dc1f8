//! In-memory state of a batch job and its items.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    CancellationToken,
    boot_clock::BootInstant,
    hash::hash64,
    id::{RequestId, Revision, SoftwareVersion, TargetId, WeightVersion},
    wall_clock::unix_time_ms,
};
use deck_fleet::{Item, ItemOutcome, ItemResult};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::JobRecord;

/// State of a batch job on the node that runs it, or of a copy that was loaded for reads.
pub struct Job {
    /// Id of the job, chosen by the caller.
    pub id: RequestId,
    /// Stored record as last read or written by this node.
    pub record: RefCell<JobRecord>,
    /// Revision of `record`, required to replace it.
    pub revision: Cell<Revision>,
    /// Submission time, converted to this node's monotonic clock.
    pub submitted_at: Instant,
    /// When this node created or loaded the job; its age for eviction from memory counts from here.
    pub known_since: Instant,
    /// When this node took the job over from another node; `None` if it has run the job from the
    /// start.
    pub taken_over_at: Option<Instant>,
    /// Start of the last read or write of the record which has shown that this node runs the job and
    /// that it has not ended; `None` if there was none since the job was created. This says nothing
    /// about the results: another node may store a chunk without a change of the record.
    pub ownership_confirmed_at: Cell<Option<BootInstant>>,
    /// Notified when `ownership_confirmed_at` changes.
    pub ownership_confirmed: Notify,
    /// Newest search for chunks that are stored but not published on this node.
    pub chunk_search: RefCell<Option<Rc<ChunkSearch>>>,
    /// Number of groups among the items. Lower than submitted if the job was handed over with some
    /// groups complete.
    pub total_groups: usize,
    /// Hash of each item's request, by item id. A later job reuses the text of an item only if the
    /// hashes match.
    pub request_hashes: HashMap<RequestId, u64>,
    /// Items without a published result. Invariant: an item is either here or has a result in
    /// `published_results`.
    pub items: RefCell<Vec<Rc<ItemState>>>,
    /// Published results in order. The index of a result is its position, which never changes.
    pub published_results: RefCell<Vec<Rc<ItemResult>>>,
    /// Number of stored chunks that make up `published_results`.
    pub chunk_count: Cell<usize>,
    /// Finished results that are not stored yet.
    pub unpublished_results: RefCell<Vec<Rc<ItemResult>>>,
    /// Results of the chunk that this node is writing or has written last, by which a chunk that was
    /// stored already is recognised as its own.
    pub last_written_chunk: RefCell<Vec<Rc<ItemResult>>>,
    /// Notified when a result is added to `unpublished_results`.
    pub result_added: Notify,
    /// Number of published results; waiting reads subscribe to it.
    pub published_count: watch::Sender<usize>,
    /// Speculative copies of unfinished items, generated for a later job that may repeat them, see
    /// [`crate::speculation`]. Invariant: none of them is in `items`, and none has a result in this
    /// job.
    pub speculative_items: RefCell<Vec<Rc<ItemState>>>,
    /// Cancelled when the job has ended or is complete, or when another node runs it. Invariant: no
    /// request for the job is sent from then on.
    pub stop_token: CancellationToken,
    /// Cancelled when the speculative runs have to stop.
    pub speculation_stop_token: CancellationToken,
}

/// A search for chunks that are stored but not published on this node.
pub struct ChunkSearch {
    /// Earliest start of the search, which may be in the future. The search finds all chunks that
    /// were stored before.
    pub starts_at: Instant,
    /// `None` until the search has ended; an error is the message of the object API client.
    pub outcome: watch::Sender<Option<Result<(), String>>>,
}

/// Processing stage of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemPhase {
    /// Waiting for an engine.
    Waiting,
    /// Running on an engine.
    Running,
    /// The text is complete; scoring has not started.
    Generated,
    /// The text is complete and is being scored.
    Scoring,
    /// The item has a result.
    Done,
}

impl ItemPhase {
    /// Returns whether the item still needs an engine to complete its text.
    pub fn needs_text(self) -> bool {
        matches!(self, Self::Waiting | Self::Running)
    }
}

/// Execution state of one item.
pub struct ItemState {
    /// The item as submitted.
    pub item: Item,
    /// Current phase. Invariant: never changes again once it is `Done`.
    pub phase: Cell<ItemPhase>,
    /// Text generated so far.
    pub progress: RefCell<Progress>,
    /// Number of runs that failed on the engine.
    pub failures: Cell<u32>,
    /// Engine of the current or last run.
    pub target: RefCell<Option<TargetId>>,
    /// Cancelled to stop the current run so that the item can be migrated to another engine.
    pub migration_token: RefCell<CancellationToken>,
    /// Start of the current or last run.
    pub started_at: Cell<Option<Instant>>,
    /// When the item began to wait for an engine; `None` if no dispatch round has seen it waiting since
    /// its last event. Runs without an event do not end the wait, as an engine may refuse each of
    /// them.
    pub waiting_since: Cell<Option<Instant>>,
    /// Whether the engine has answered the current run, so that its request is no longer in flight.
    pub response_received: Cell<bool>,
    /// Whether this is a speculative copy, see [`Job::speculative_items`].
    pub is_speculative: bool,
}

/// Text of an item generated so far.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Data of the events, joined by line feeds.
    pub text: String,
    /// Number of the last event; 0 if there is none.
    pub last_event: u64,
    /// Weight versions that have generated at least one event.
    pub versions: BTreeSet<WeightVersion>,
    /// Software version of the engine that generated the first event; `None` if that engine has none
    /// registered. Invariant: all events were generated by engines of this version.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
    /// Byte length of `text` after each event. Invariant: one entry per event.
    #[serde(rename = "ends")]
    pub event_ends: Vec<usize>,
}

impl Progress {
    /// Appends the data of an event. `software_version` is that of the engine, which has to satisfy
    /// [`Self::fits_software`].
    pub fn push(
        &mut self,
        number: u64,
        data: &str,
        version: WeightVersion,
        software_version: Option<&str>,
    ) {
        if self.last_event > 0 {
            self.text.push('\n');
        } else {
            self.software_version = software_version.map(str::to_owned);
        }
        self.text.push_str(data);
        self.last_event = number;
        self.versions.insert(version);
        self.event_ends.push(self.text.len());
    }

    /// Returns the memory that the text and the ends of its events take.
    pub fn held_bytes(&self) -> usize {
        self.text.len() + self.event_ends.len() * size_of::<usize>()
    }

    /// Returns whether an engine of the given software version may append to the text.
    pub fn fits_software(&self, software_version: Option<&str>) -> bool {
        self.last_event == 0 || self.software_version.as_deref() == software_version
    }

    /// Returns the text after the given event, including the line feed that separates it.
    pub fn text_after(&self, event: u64) -> &str {
        &self.text[self.end_of(event)..]
    }

    /// Returns the hash of the text up to the given event and of its software version.
    pub fn prefix_hash(&self, event: u64) -> u64 {
        let version_hash =
            self.software_version.as_ref().map_or(0, |version| hash64(version.as_bytes()));
        hash64(&self.text.as_bytes()[..self.end_of(event)]) ^ version_hash
    }

    /// Returns the byte length of the text up to the given event; 0 if there is no such event.
    fn end_of(&self, event: u64) -> usize {
        let end = event.checked_sub(1).and_then(|index| self.event_ends.get(index as usize));
        end.copied().unwrap_or(0)
    }

    /// Returns whether all versions of the text are at least `min_version`.
    pub fn meets_min_version(&self, min_version: WeightVersion) -> bool {
        self.versions.first().is_none_or(|oldest| *oldest >= min_version)
    }
}

impl ItemState {
    /// Sets the phase, unless the item has a result, which may come from another runner.
    pub fn set_phase(&self, phase: ItemPhase) {
        if self.phase.get() != ItemPhase::Done {
            self.phase.set(phase);
        }
    }

    /// Creates an item that waits for its first run.
    pub fn new(item: Item) -> Self {
        Self {
            item,
            phase: Cell::new(ItemPhase::Waiting),
            progress: RefCell::default(),
            failures: Cell::new(0),
            target: RefCell::default(),
            migration_token: RefCell::default(),
            started_at: Cell::new(None),
            waiting_since: Cell::new(None),
            response_received: Cell::new(false),
            is_speculative: false,
        }
    }

    /// Creates a speculative copy of an item for a later job.
    pub fn speculative(item: Item) -> Self {
        Self { is_speculative: true, ..Self::new(item) }
    }
}

impl Job {
    /// Creates a job whose items have no results yet, and whose ownership is not confirmed.
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
            ownership_confirmed_at: Cell::new(None),
            ownership_confirmed: Notify::new(),
            chunk_search: RefCell::default(),
            total_groups: items.iter().map(|item| &item.group).collect::<HashSet<_>>().len(),
            request_hashes: items
                .iter()
                .map(|item| (item.id.clone(), item.request_hash()))
                .collect(),
            items: RefCell::new(
                items.into_iter().map(|item| Rc::new(ItemState::new(item))).collect(),
            ),
            published_results: RefCell::default(),
            chunk_count: Cell::new(0),
            unpublished_results: RefCell::default(),
            last_written_chunk: RefCell::default(),
            result_added: Notify::new(),
            published_count: watch::channel(0).0,
            speculative_items: RefCell::default(),
            stop_token: CancellationToken::new(),
            speculation_stop_token: CancellationToken::new(),
        }
    }

    /// Records that a read or write of the record that started at `started_at` has shown that this
    /// node runs the job and that it has not ended.
    pub fn confirm_ownership(&self, started_at: BootInstant) {
        self.ownership_confirmed_at.set(Some(started_at));
        self.ownership_confirmed.notify_waiters();
    }

    /// Returns the time since the last confirmation of the ownership; `None` if there was none.
    pub fn ownership_age(&self) -> Option<Duration> {
        self.ownership_confirmed_at.get().map(BootInstant::elapsed)
    }

    /// Returns the time since the last confirmation of the ownership in milliseconds, for log lines.
    pub(crate) fn ownership_age_ms(&self) -> String {
        self.ownership_age().map_or("none".to_owned(), |age| age.as_millis().to_string())
    }

    /// Returns the number of submitted items.
    pub fn item_count(&self) -> usize {
        self.record.borrow().item_count
    }

    /// Returns whether every item has a published result.
    pub fn is_complete(&self) -> bool {
        self.published_results.borrow().len() >= self.item_count()
    }

    /// Returns whether the caller has ended the job.
    pub fn is_ended(&self) -> bool {
        self.record.borrow().ended
    }

    /// Returns when the caller expects the results.
    pub fn due_at(&self) -> Instant {
        self.submitted_at + Duration::from_millis(self.record.borrow().limits.results_due_ms)
    }

    /// Returns whether the job is complete and its due time has passed, so that its caller has had
    /// time to read it.
    pub fn is_past_due(&self, now: Instant) -> bool {
        self.is_complete() && now > self.due_at()
    }

    /// Returns the time after which waiting items fail instead of being run.
    pub fn give_up_at(&self) -> Instant {
        self.submitted_at + Duration::from_millis(self.record.borrow().limits.give_up_ms)
    }

    /// Returns the item with the given id, unless its result is published.
    pub fn unpublished_item(&self, id: &str) -> Option<Rc<ItemState>> {
        self.items.borrow().iter().find(|item_state| item_state.item.id == id).cloned()
    }

    /// Sets the result of an item. The result becomes visible to readers once it is stored.
    /// Speculative copies get no result in this job.
    pub fn finish_item(&self, item_state: &ItemState, outcome: ItemOutcome, score: Option<String>) {
        if item_state.phase.replace(ItemPhase::Done) == ItemPhase::Done || item_state.is_speculative
        {
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
        self.unpublished_results.borrow_mut().push(Rc::new(result));
        self.result_added.notify_one();
    }

    /// Returns the number of groups that have an item without a published result.
    pub fn unfinished_groups(&self) -> usize {
        let items = self.items.borrow();
        items.iter().map(|item_state| &item_state.item.group).collect::<HashSet<_>>().len()
    }

    /// Publishes the results of a stored chunk at the next positions. Ignores a chunk that is
    /// published already or out of order. Returns the number of groups that this chunk completes.
    pub fn publish_chunk(&self, chunk: usize, results: Vec<Rc<ItemResult>>) -> usize {
        if chunk != self.chunk_count.get() {
            return 0;
        }
        let unfinished_before = self.unfinished_groups();
        let mut items = self.items.borrow_mut();
        for result in &results {
            if let Some(index) =
                items.iter().position(|item_state| item_state.item.id == result.item)
            {
                items[index].phase.set(ItemPhase::Done);
                items.remove(index);
            }
        }
        let is_published = |unpublished: &Rc<ItemResult>| {
            results.iter().any(|result| result.item == unpublished.item)
        };
        self.unpublished_results.borrow_mut().retain(|unpublished| !is_published(unpublished));
        drop(items);
        let mut published_results = self.published_results.borrow_mut();
        published_results.extend(results);
        self.chunk_count.set(self.chunk_count.get() + 1);
        self.published_count.send_replace(published_results.len());
        drop(published_results);
        if self.is_complete() {
            self.stop_token.cancel();
        }
        unfinished_before - self.unfinished_groups()
    }
}

/// Returns the time since `unix_ms`, in milliseconds since the Unix epoch. Zero if that is in the
/// future, because another node with a different clock may have recorded it.
fn age_of(unix_ms: u64) -> Duration {
    Duration::from_millis(unix_time_ms().saturating_sub(unix_ms))
}
