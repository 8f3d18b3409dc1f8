//! Timer service: one task per process that wakes subscribers.
//!
//! Parts subscribe for a period and receive ticks. A subscriber that is slow gets one tick for any
//! number of missed ones, so that a paused process does not run the same work many times at once.

use std::{
    cell::RefCell,
    collections::BinaryHeap,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

/// Time of one tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// When the timer service sent the tick.
    pub at: Instant,
}

/// Handle to the timer service of this process.
#[derive(Clone)]
pub struct TimerService {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
}

/// A subscription to periodic ticks; it ends when it is dropped.
pub struct Ticks {
    receiver: mpsc::Receiver<Tick>,
}

#[derive(Default)]
struct State {
    queue: BinaryHeap<Entry>,
}

struct Entry {
    due: Instant,
    period: Duration,
    sender: mpsc::Sender<Tick>,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    // Reversed: `BinaryHeap` is a max-heap and the earliest entry has to come first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.due.cmp(&self.due)
    }
}

impl TimerService {
    /// Starts the service on the current runtime; it ends when `cancel` is cancelled.
    pub fn start(cancel: CancellationToken) -> Self {
        let service = Self { state: Rc::default(), changed: Rc::new(Notify::new()) };
        let runner = service.clone();
        monoio::spawn(async move {
            cancel.run_until_cancelled(runner.run()).await;
        });
        service
    }

    /// Subscribes to ticks every `period`; the first one comes after one period.
    pub fn every(&self, period: Duration) -> Ticks {
        let (sender, receiver) = mpsc::channel(1);
        let entry = Entry { due: Instant::now() + period, period, sender };
        self.state.borrow_mut().queue.push(entry);
        self.changed.notify_one();
        Ticks { receiver }
    }

    async fn run(self) {
        loop {
            let wait = self.send_due_ticks(Instant::now());
            let changed = self.changed.notified();
            let _ = monoio::time::timeout(wait, changed).await;
        }
    }

    /// Sends all ticks that are due at `now` and returns the time until the next one.
    fn send_due_ticks(&self, now: Instant) -> Duration {
        const IDLE: Duration = Duration::from_secs(3600);
        let mut state = self.state.borrow_mut();
        while state.queue.peek().is_some_and(|entry| entry.due <= now) {
            let Some(mut entry) = state.queue.pop() else { break };
            match entry.sender.try_send(Tick { at: now }) {
                Err(mpsc::error::TrySendError::Closed(_)) => continue,
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => {}
            }
            entry.due = now + entry.period;
            state.queue.push(entry);
        }
        state.queue.peek().map_or(IDLE, |entry| entry.due.saturating_duration_since(now))
    }
}

impl Ticks {
    /// Waits for the next tick; `None` after the service has ended.
    pub async fn next(&mut self) -> Option<Tick> {
        self.receiver.recv().await
    }
}
