//! Callbacks for the outcomes of requests, batch jobs and load orders, used for metrics.

use std::time::Duration;

use crate::ItemOutcome;

/// Receives events for metrics. Implementations must not block.
pub trait Observer {
    /// An attempt of a request outside batch jobs has ended; `first_byte` is the time until the
    /// head of the response.
    fn on_attempt_end(&self, _outcome: AttemptOutcome, _first_byte: Option<Duration>) {}

    /// A stream was to go on at another target.
    fn on_stream_resumption(&self, _scope: ResumptionScope, _outcome: ResumptionOutcome) {}

    /// The state of a batch job has changed.
    fn on_job_event(&self, _event: JobEvent) {}

    /// The first run of an item has started, `wait` after its job was submitted.
    fn on_first_run(&self, _wait: Duration) {}

    /// The first event of a run was received, `time` after the start of the run.
    fn on_first_event(&self, _time: Duration) {}

    /// A run of an item has ended, `time` after its start.
    fn on_item_run_end(&self, _outcome: ItemRunOutcome, _time: Duration) {}

    /// A run of an item has ended whose events took `measured` each; `expected` was predicted when its
    /// engine was chosen.
    fn on_event_time(&self, _expected: Duration, _measured: Duration) {}

    /// An item of a job on this node has a result.
    fn on_item_result(&self, _outcome: ItemOutcome) {}

    /// `count` results of a job were stored in the object API.
    fn on_results_stored(&self, _count: usize) {}

    /// Another runner, or an earlier process of this node, had stored a chunk of results when this
    /// node wrote or searched for it.
    fn on_chunk_found(&self, _found_by: ChunkFinder) {}

    /// All results of a group are stored, or its job ended before that. `on_time` is `true` if the
    /// results were stored before their deadline.
    fn on_group_end(&self, _on_time: bool) {}

    /// A report of use was sent to the platform, with the given reply.
    fn on_usage_report(&self, _reply: &'static str) {}

    /// The counts of a window of the reports of use are final; `complete` is `false` if nodes were
    /// missing.
    fn on_usage_window_closed(&self, _complete: bool) {}

    /// A load order was sent to a target; `reply` is `None` if the target did not respond.
    fn on_order_reply(&self, _reply: Option<&'static str>) {}

    /// A target has completed a load order, `time` after it was accepted.
    fn on_weights_loaded(&self, _time: Duration) {}
}

/// Ignores all events.
impl Observer for () {}

/// Outcome of an attempt of a request outside batch jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target responded.
    Answered,
    /// The target responded with an error of its own.
    Failed,
    /// The target did not execute the request.
    Refused,
    /// No response arrived before the deadline.
    TimedOut,
    /// The connection broke or the response was invalid.
    Broken,
    /// The caller disconnected, or another attempt finished first.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns the label value used in metrics.
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

/// Who resumes a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumptionScope {
    /// This node, within one response.
    Response,
    /// The caller, with a new request.
    Caller,
}

impl ResumptionScope {
    /// Returns the label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Caller => "caller",
        }
    }
}

/// Outcome of the resumption of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumptionOutcome {
    /// A target of the software version that began the stream continues it.
    Resumed,
    /// It is not known which software version began the stream.
    VersionUnknown,
    /// No target of the software version that began the stream is left.
    VersionGone,
    /// The targets of that version did not take the request.
    Refused,
    /// The targets of that version failed, or the attempts were used up.
    Failed,
}

impl ResumptionOutcome {
    /// Returns the label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Resumed => "resumed",
            Self::VersionUnknown => "version_unknown",
            Self::VersionGone => "version_gone",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}

/// State change of a batch job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEvent {
    /// The job was accepted and is run by this node.
    Accepted,
    /// The job was refused and not stored.
    Refused,
    /// It is unknown whether the job was stored.
    InDoubt,
    /// This node took over the job because its runner stopped responding.
    TakenOver,
    /// This node received the job by a handover from its runner.
    Received,
    /// The caller ended the job.
    Ended,
}

impl JobEvent {
    /// Returns the label value used in metrics.
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

/// What made a node find a chunk of results that was stored already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkFinder {
    /// A write of a chunk under the same number.
    Write,
    /// A search on behalf of a reader.
    Read,
    /// A periodic check of the job.
    Check,
}

impl ChunkFinder {
    /// Returns the label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Write => "write",
            Self::Read => "read",
            Self::Check => "check",
        }
    }
}

/// Outcome of a run of a batch item on an engine, as counted in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemRunOutcome {
    /// The text is complete.
    Complete,
    /// The stream was interrupted or the engine stopped responding.
    Broken,
    /// The engine did not accept the run.
    Refused,
    /// The engine responded with an error of its own.
    Failed,
    /// The run continues on a faster engine.
    Moved,
    /// No engine can ever run the item.
    Impossible,
    /// The job has ended or moved to another node.
    Stopped,
}

impl ItemRunOutcome {
    /// Returns the label value used in metrics.
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
