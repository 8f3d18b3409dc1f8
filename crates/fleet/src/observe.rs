//! Observation of what happens to requests, batch jobs and orders.

use std::time::Duration;

use crate::ItemOutcome;

/// Told of what happens. Calls must return at once.
pub trait Observer {
    /// An attempt of a plain request has ended; `first_byte` is the time until the head of the answer.
    fn attempt(&self, _end: AttemptEnd, _first_byte: Option<Duration>) {}

    /// A batch job has changed.
    fn job(&self, _change: JobChange) {}

    /// The first run of an item has started, `wait` after its job was submitted.
    fn first_run(&self, _wait: Duration) {}

    /// The first event of a run has come.
    fn first_event(&self, _time: Duration) {}

    /// A run of an item has ended.
    fn run(&self, _end: RunEnd, _time: Duration) {}

    /// An item of a job that this node runs has a result.
    fn item(&self, _outcome: ItemOutcome) {}

    /// Results were stored at the next positions of a job.
    fn results_stored(&self, _count: usize) {}

    /// All results of a group are stored, or its job ended before.
    fn group(&self, _on_time: bool) {}

    /// An order was sent to a target; `None` if the target did not answer.
    fn order(&self, _reply: Option<&'static str>) {}

    /// A target has loaded the version that it was ordered to, `time` after the order.
    fn loaded(&self, _time: Duration) {}
}

/// Observes nothing.
impl Observer for () {}

/// How an attempt of a plain request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered.
    Answered,
    /// The target answered with a failure of its own.
    Failed,
    /// The target did not run the request.
    Refused,
    /// There was no answer before the deadline.
    TimedOut,
    /// The connection broke or the answer was not valid.
    Broken,
    /// The caller left, or another attempt was faster.
    Cancelled,
}

impl AttemptEnd {
    /// Returns the name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Change in the life of a batch job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobChange {
    /// It was accepted and is run by this node.
    Accepted,
    /// It was refused and not stored.
    Refused,
    /// Nobody knows whether it was stored.
    InDoubt,
    /// This node goes on with it after its runner went silent.
    TakenOver,
    /// This node goes on with it after its runner has handed it over.
    Received,
    /// Its caller has ended it.
    Ended,
}

impl JobChange {
    /// Returns the name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::InDoubt => "in_doubt",
            Self::TakenOver => "taken_over",
            Self::Received => "received",
            Self::Ended => "ended",
        }
    }
}

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The text is complete.
    Complete,
    /// It broke off or its engine went silent.
    Broken,
    /// The engine did not take it.
    Refused,
    /// The engine answered with a failure of its own.
    Failed,
    /// It goes on at a faster engine.
    Moved,
    /// The item can never be run.
    Impossible,
    /// The job has ended or another node runs it.
    Stopped,
}

impl RunEnd {
    /// Returns the name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Broken => "broken",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Moved => "moved",
            Self::Impossible => "impossible",
            Self::Stopped => "stopped",
        }
    }
}
