//! Counts the attempts of a node that targets began to run.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use deck_core::id::OrganisationId;
use tokio::sync::Notify;

use crate::usage::{SourceCounts, SourceId, UsageLedger, WallTime, WindowNumber, window_at};

/// Maximum number of windows with open attempts that are tracked.
const MAX_OPEN_WINDOWS: usize = 64;

/// How an attempt has ended, as far as it matters for its count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target has answered; contains the time from sending the request to the head of the answer.
    Answered(Duration),
    /// The connection broke after the request was sent: the target had most likely begun to run it.
    Broken,
    /// The target certainly did not run the request, or nothing shows that it began.
    NotRun,
}

/// Counts attempts by window and organisation; clones share their state.
#[derive(Clone)]
pub struct UsageMeter {
    inner: Rc<MeterState>,
}

struct MeterState {
    source: SourceId,
    /// Length of a window; `None` if use is not reported.
    window: Box<dyn Fn() -> Option<Duration>>,
    /// Returns the current time.
    clock: Box<dyn Fn() -> WallTime>,
    ledger: RefCell<UsageLedger>,
    /// Number of attempts without an end, by the window in which they started.
    open_attempts: RefCell<BTreeMap<WindowNumber, u64>>,
    /// Number of counted requests.
    counted: Cell<u64>,
    /// Grows with each change of the ledger.
    ledger_version: Cell<u64>,
    /// First window with a count that no other node has yet; `None` if there is none.
    first_unshared: Cell<Option<WindowNumber>>,
    /// Notified when a request was counted.
    changed: Notify,
}

impl UsageMeter {
    /// Returns a meter for windows of the length that `window` returns.
    pub fn new(
        source: SourceId,
        window: impl Fn() -> Option<Duration> + 'static,
        clock: impl Fn() -> WallTime + 'static,
    ) -> Self {
        let inner = MeterState {
            source,
            window: Box::new(window),
            clock: Box::new(clock),
            ledger: RefCell::default(),
            open_attempts: RefCell::default(),
            counted: Cell::new(0),
            ledger_version: Cell::new(0),
            first_unshared: Cell::new(None),
            changed: Notify::new(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Starts an attempt for `organisation`, which is about to be sent. Returns `None` if use is not
    /// reported.
    pub fn start(&self, organisation: &OrganisationId) -> Option<CountedAttempt> {
        let length = (self.inner.window)()?;
        let sent_at = (self.inner.clock)();
        let window = window_at(sent_at, length);
        let mut open_attempts = self.inner.open_attempts.borrow_mut();
        if open_attempts.len() < MAX_OPEN_WINDOWS || open_attempts.contains_key(&window) {
            *open_attempts.entry(window).or_default() += 1;
        }
        drop(open_attempts);
        let (meter, organisation) = (self.clone(), organisation.clone());
        Some(CountedAttempt { meter, organisation, sent_at, length, end: AttemptEnd::NotRun })
    }

    /// Returns the current time.
    pub fn now(&self) -> WallTime {
        (self.inner.clock)()
    }

    /// Returns the process that counts.
    pub fn source(&self) -> SourceId {
        self.inner.source
    }

    /// Returns the number of counted requests since the start of the process.
    pub fn counted(&self) -> u64 {
        self.inner.counted.get()
    }

    /// Returns the first window that this node may still add requests to.
    pub fn first_open_window(&self) -> WindowNumber {
        let length = (self.inner.window)().unwrap_or(Duration::MAX);
        let current = window_at((self.inner.clock)(), length);
        let first_open = self.inner.open_attempts.borrow().keys().next().copied();
        first_open.map_or(current, |first_open| first_open.min(current))
    }

    /// Takes over counts of other processes.
    pub fn merge(&self, entries: &[SourceCounts]) {
        if self.inner.ledger.borrow_mut().merge(entries) {
            self.inner.ledger_version.set(self.inner.ledger_version.get() + 1);
        }
    }

    /// Returns a number that grows with each change of the counts.
    pub fn ledger_version(&self) -> u64 {
        self.inner.ledger_version.get()
    }

    /// Returns the counts of the window `from` and later ones; only this process's own if `own_only`.
    pub fn entries(&self, from: WindowNumber, own_only: bool) -> Vec<SourceCounts> {
        self.inner.ledger.borrow().entries(from, own_only.then_some(self.inner.source))
    }

    /// Returns the number of requests that were not counted for lack of room.
    pub fn dropped_count(&self) -> u64 {
        self.inner.ledger.borrow().dropped_count()
    }

    /// Returns the number of requests of each organisation in a window, over all known processes.
    pub fn totals(&self, window: WindowNumber) -> BTreeMap<OrganisationId, u64> {
        self.inner.ledger.borrow().totals(window)
    }

    fn end(&self, attempt: &CountedAttempt) {
        let mut open_attempts = self.inner.open_attempts.borrow_mut();
        let sent_window = window_at(attempt.sent_at, attempt.length);
        if let Some(count) = open_attempts.get_mut(&sent_window) {
            *count -= 1;
            if *count == 0 {
                open_attempts.remove(&sent_window);
            }
        }
        drop(open_attempts);
        if attempt.end == AttemptEnd::NotRun {
            return;
        }
        let mut ledger = self.inner.ledger.borrow_mut();
        let window = sent_window;
        ledger.add(window, self.inner.source, &attempt.organisation);
        drop(ledger);
        self.inner.counted.set(self.inner.counted.get() + 1);
        self.inner.ledger_version.set(self.inner.ledger_version.get() + 1);
        self.set_unshared(window);
    }

    /// Records that no other node has the counts of `window` and later ones.
    pub(crate) fn set_unshared(&self, window: WindowNumber) {
        let first = self.inner.first_unshared.get().map_or(window, |first| first.min(window));
        self.inner.first_unshared.set(Some(first));
        self.inner.changed.notify_one();
    }

    /// Waits until there are counts that no other node has, and returns their first window.
    pub(crate) async fn unshared(&self) -> WindowNumber {
        loop {
            if let Some(window) = self.inner.first_unshared.get() {
                return window;
            }
            self.inner.changed.notified().await;
        }
    }

    /// Returns the first window with a count that no other node has, and regards them as shared.
    pub(crate) fn take_unshared(&self) -> Option<WindowNumber> {
        self.inner.first_unshared.take()
    }
}

/// Attempt that a target may be running; it is counted when it is dropped.
pub struct CountedAttempt {
    meter: UsageMeter,
    organisation: OrganisationId,
    sent_at: WallTime,
    length: Duration,
    end: AttemptEnd,
}

impl CountedAttempt {
    /// Sets how the attempt has ended.
    pub fn set_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for CountedAttempt {
    fn drop(&mut self) {
        self.meter.clone().end(self);
    }
}
