//! Periodic timers of a process, driven by one task.
//!
//! Each subscriber chooses a period. Ticks that a slow subscriber has missed are merged into one,
//! so that a process that was paused does not repeat the same work many times in a row.

use std::{
    cell::RefCell,
    collections::BinaryHeap,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

/// Tick of a periodic timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// Time at which the timer service sent the tick.
    pub at: Instant,
}

/// Handle to the timer service; clones refer to the same service.
#[derive(Clone)]
pub struct TimerService {
    state: Rc<RefCell<TimerState>>,
    /// Notified when a subscription is added.
    subscription_added: Rc<Notify>,
}

/// Subscription to periodic ticks; dropping it unsubscribes.
pub struct Ticks {
    receiver: mpsc::Receiver<Tick>,
}

#[derive(Default)]
struct TimerState {
    /// Subscriptions; the one whose tick is due next is at the top.
    queue: BinaryHeap<Subscription>,
}

struct Subscription {
    /// Time at which the next tick has to be sent.
    due_at: Instant,
    period: Duration,
    sender: mpsc::Sender<Tick>,
}

impl PartialEq for Subscription {
    fn eq(&self, other: &Self) -> bool {
        self.due_at == other.due_at
    }
}

impl Eq for Subscription {}

impl PartialOrd for Subscription {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Subscription {
    // Reversed, because `BinaryHeap` is a max-heap and the earliest tick has to be at the top.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.due_at.cmp(&self.due_at)
    }
}

impl TimerService {
    /// Starts the service on the current runtime; it stops when `cancel` is cancelled.
    pub fn start(cancel: CancellationToken) -> Self {
        let service = Self { state: Rc::default(), subscription_added: Rc::new(Notify::new()) };
        let service_for_task = service.clone();
        monoio::spawn(async move {
            cancel.run_until_cancelled(service_for_task.run()).await;
        });
        service
    }

    /// Subscribes to a tick every `period`; the first one is sent after one period.
    pub fn every(&self, period: Duration) -> Ticks {
        let (sender, receiver) = mpsc::channel(1);
        let subscription = Subscription { due_at: Instant::now() + period, period, sender };
        self.state.borrow_mut().queue.push(subscription);
        self.subscription_added.notify_one();
        Ticks { receiver }
    }

    async fn run(self) {
        loop {
            let wait = self.send_due_ticks(Instant::now());
            let new_subscription = self.subscription_added.notified();
            let _ = monoio::time::timeout(wait, new_subscription).await;
        }
    }

    /// Sends all ticks that are due at `now` and returns the time until the next one.
    fn send_due_ticks(&self, now: Instant) -> Duration {
        /// Time to wait for a subscription if there are none.
        const IDLE_WAIT: Duration = Duration::from_secs(3600);
        let mut state = self.state.borrow_mut();
        while state.queue.peek().is_some_and(|subscription| subscription.due_at <= now) {
            let Some(mut subscription) = state.queue.pop() else { break };
            match subscription.sender.try_send(Tick { at: now }) {
                Err(mpsc::error::TrySendError::Closed(_)) => continue,
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => {}
            }
            subscription.due_at = now + subscription.period;
            state.queue.push(subscription);
        }
        state
            .queue
            .peek()
            .map_or(IDLE_WAIT, |subscription| subscription.due_at.saturating_duration_since(now))
    }
}

impl Ticks {
    /// Waits for the next tick; `None` after the service has stopped.
    pub async fn next(&mut self) -> Option<Tick> {
        self.receiver.recv().await
    }
}
