//! Fair turns of the tasks on an event loop.
//!
//! The runtime runs a task that has woken itself before all other ready tasks, and fires timers only
//! when no task is ready. A client that keeps its connection busy, for example with a body in chunks of
//! one byte, would hold up all other connections and all timeouts. [`FairTask`] and [`yield_turn`] put
//! such a task behind the others instead, and let timers fire in between.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    mem,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Wake, Waker},
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use tokio::sync::Notify;

/// Time for which the shortest timer may be late before the tasks that gave up their turns pause.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(5);
/// The shortest time that the timers have.
const SHORTEST_TIMER: Duration = Duration::from_millis(1);

/// Tasks of one runtime that have given up their turn.
#[derive(Debug, Default)]
struct Turns {
    /// Wakers in the order in which the tasks gave up their turns.
    waiting: RefCell<Vec<Waker>>,
    /// Notified when a task gives up its turn.
    has_waiting: Notify,
    /// When the timer was set that shows whether timers fire; `None` once it has fired.
    timer_set_at: Cell<Option<Instant>>,
}

thread_local! {
    /// Turns of the runtime of this thread; `None` while none runs.
    static TURNS: RefCell<Option<Rc<Turns>>> = const { RefCell::new(None) };
}

/// Runs `main` on a new runtime's event loop together with what gives the tasks their turns.
pub(crate) async fn run_with_turns<F: Future>(main: F) -> F::Output {
    let turns = Rc::new(Turns::default());
    TURNS.set(Some(turns.clone()));
    let stop = CancellationToken::new();
    let _stop_guard = stop.clone().drop_guard();
    monoio::spawn(async move { stop.run_until_cancelled(turns.wake_in_turn()).await });
    main.await
}

impl Turns {
    /// Wakes waiting tasks after all tasks that are ready have run. If they keep the timers from firing,
    /// they wait until no task is ready.
    async fn wake_in_turn(self: Rc<Self>) {
        loop {
            self.has_waiting.notified().await;
            match self.timer_set_at.get() {
                None => self.clone().set_timer(),
                Some(set_at) if set_at.elapsed() >= MAX_TIMER_DELAY => {
                    monoio::time::sleep(SHORTEST_TIMER).await;
                }
                Some(_) => {}
            }
            for waker in mem::take(&mut *self.waiting.borrow_mut()) {
                waker.wake();
            }
        }
    }

    /// Sets the timer that shows whether timers fire.
    fn set_timer(self: Rc<Self>) {
        self.timer_set_at.set(Some(Instant::now()));
        monoio::spawn(async move {
            monoio::time::sleep(SHORTEST_TIMER).await;
            self.timer_set_at.set(None);
        });
    }
}

/// Wakes a task after the others that are ready have run.
pub(crate) fn wake_after_others(waker: &Waker) {
    let turns = TURNS.with_borrow(Clone::clone);
    let Some(turns) = turns else { return waker.wake_by_ref() };
    turns.waiting.borrow_mut().push(waker.clone());
    turns.has_waiting.notify_one();
}

/// Lets the other tasks that are ready run before this one goes on.
pub async fn yield_turn() {
    let mut has_yielded = false;
    std::future::poll_fn(|cx| {
        if mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        wake_after_others(cx.waker());
        Poll::Pending
    })
    .await;
}

/// Task that runs after the others that are ready if it wakes itself.
pub struct FairTask<F> {
    task: Pin<Box<F>>,
    /// `None` before the first poll.
    wakers: Option<(Arc<FairWaker>, Waker)>,
}

/// Waker of the future in a [`FairTask`].
struct FairWaker {
    /// Whether the future is being polled.
    is_polled: AtomicBool,
    /// Whether the future was woken while it was polled.
    has_woken_itself: AtomicBool,
    /// Waker of the whole task.
    task: Mutex<Waker>,
}

impl Wake for FairWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if self.is_polled.load(Ordering::Acquire) {
            self.has_woken_itself.store(true, Ordering::Release);
        } else {
            self.task.lock().unwrap_or_else(PoisonError::into_inner).wake_by_ref();
        }
    }
}

impl<F: Future> FairTask<F> {
    /// Wraps a future that is to be spawned.
    pub fn new(task: F) -> Self {
        Self { task: Box::pin(task), wakers: None }
    }
}

impl<F: Future> Future for FairTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let Self { task, wakers } = &mut *self;
        let (fair, waker) = wakers.get_or_insert_with(|| {
            let fair = Arc::new(FairWaker {
                is_polled: AtomicBool::new(false),
                has_woken_itself: AtomicBool::new(false),
                task: Mutex::new(cx.waker().clone()),
            });
            (fair.clone(), Waker::from(fair))
        });
        fair.task.lock().unwrap_or_else(PoisonError::into_inner).clone_from(cx.waker());
        fair.is_polled.store(true, Ordering::Release);
        let result = task.as_mut().poll(&mut Context::from_waker(waker));
        fair.is_polled.store(false, Ordering::Release);
        if fair.has_woken_itself.swap(false, Ordering::AcqRel) && result.is_pending() {
            wake_after_others(cx.waker());
        }
        result
    }
}
