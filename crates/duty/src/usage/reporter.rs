//! Decides what the holder of the lease does next: collect, store, send.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Range,
    time::Duration,
};

use deck_core::id::{OrganisationId, Revision};
use serde::{Deserialize, Serialize};

use crate::usage::{
    SourceCounts, WallTime, WindowNumber, ledger::MAX_WINDOWS, window_at, window_end,
};

/// Maximum number of counts of open windows that are stored, about 100 KB. With more of them, only the
/// other nodes have copies.
const MAX_COPIED_COUNTS: usize = 3_000;
/// Maximum number of counts of open windows that are stored in a second; with many counts they are
/// stored at longer intervals.
const MAX_COPIED_COUNTS_PER_S: f64 = 4_000.0;

/// Number of requests of each organisation in a window.
pub type WindowCounts = BTreeMap<OrganisationId, u64>;

/// Times of the reports.
#[derive(Debug, Clone)]
pub struct ReporterOptions {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window by which its report is due.
    pub delay: Duration,
    /// Fraction of `delay` after which a window is closed without the counts of nodes that do not
    /// answer. The rest is for storing and sending, and for a change of the holder meanwhile.
    pub close_fraction: f64,
    /// Time after the end of a window at which the nodes are asked. Covers differences between the
    /// clocks and most of the requests that are open at the end.
    pub ask_delay: Duration,
    /// Interval at which nodes are asked again that have not answered, or have open requests.
    pub ask_interval: Duration,
    /// Delay before a failed call is made again.
    pub retry_delay: Duration,
    /// Minimum time between the starts of two calls on the platform.
    pub call_interval: Duration,
    /// Minimum time between two writes that store the counts of windows that are not closed yet.
    pub copy_interval: Duration,
}

impl ReporterOptions {
    /// Returns the options for windows of length `window` whose reports are due `delay` after their
    /// end, on a platform that takes `calls_per_s` calls a second from all holders of duties.
    pub fn new(window: Duration, delay: Duration, calls_per_s: f64) -> Self {
        // Leaves half of the calls to other duties.
        let min_interval = Duration::from_secs_f64(2.0 / calls_per_s.max(0.1));
        Self {
            window,
            delay,
            close_fraction: 0.65,
            ask_delay: Duration::from_millis(400).min(delay / 8),
            ask_interval: Duration::from_millis(800).min(delay / 8),
            retry_delay: min_interval.max(Duration::from_millis(400)),
            call_interval: min_interval.max(Duration::from_millis(100)),
            // A loss of power of all nodes loses the requests of this time, which have to stay well
            // below a twentieth of the window.
            copy_interval: (window / 50)
                .clamp(Duration::from_millis(100), Duration::from_millis(800)),
        }
    }
}

/// Counts that are final, as stored in the object API.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredReports {
    /// Last window whose report, like those of all earlier ones, needs no further call.
    pub sent: Option<WindowNumber>,
    /// Counts by window. Invariant: once stored, the counts of a window never change.
    pub windows: BTreeMap<WindowNumber, WindowCounts>,
    /// Counts of later windows as far as they were known, against the loss of many nodes at once.
    #[serde(default)]
    pub open: Vec<SourceCounts>,
}

impl StoredReports {
    /// Returns the last window whose counts are final.
    fn last_closed(&self) -> Option<WindowNumber> {
        self.windows.keys().next_back().copied().max(self.sent)
    }
}

/// Answer of a node that was asked for its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAnswer {
    /// Node that answered.
    pub node: SocketAddr,
    /// First window that the node may still add requests to.
    pub first_open: WindowNumber,
}

/// How the platform answered a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The report is accepted.
    Accepted,
    /// A later holder has called: calls with this fencing number are over.
    FenceRefused,
    /// The report is not valid; sending it again would change nothing.
    Rejected,
    /// Nothing shows that the report was accepted; it may still be executed.
    Unknown,
}

/// What the next step depends on.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// Time on the node's clock.
    pub now: WallTime,
    /// All nodes that may have counts, this one included.
    pub nodes: &'a [SocketAddr],
    /// `false` while calls of the previous holder may still arrive at the platform.
    pub may_send: bool,
    /// Number that grows with each change of the counts that this node knows.
    pub ledger_version: u64,
}

/// What the holder does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the stored reports.
    Load,
    /// Ask nodes for their counts of the window `from` and later ones.
    Ask {
        /// First window that is asked for.
        from: WindowNumber,
        /// Nodes to ask.
        nodes: Vec<SocketAddr>,
    },
    /// Add the counts of these windows to the stored reports, and store them by a conditional write.
    Close(Vec<WindowNumber>),
    /// Send the stored report of a window.
    Send(WindowNumber),
    /// Store the counts of windows that are not closed yet, by a conditional write.
    Copy,
    /// Do nothing for this time.
    Wait(Duration),
    /// Make no further call under this lease.
    Stop,
}

/// Stored reports as last read or written.
#[derive(Debug, Clone, Default)]
struct KnownReports {
    /// Revision of the object; `None` if it does not exist.
    revision: Option<Revision>,
    reports: StoredReports,
}

/// State of the holder of the lease. It begins anew with each lease.
///
/// Load: one call a window, 50 writes a window while there are new counts (at most ten and at least 1.25
/// a second) and one otherwise, and one small message to each node at the start and for each window; if
/// nodes, the object API or the platform do not answer, retries at fixed intervals until the window is
/// too old.
#[derive(Debug, Clone)]
pub struct UsageReporter {
    options: ReporterOptions,
    /// `None` until the stored reports have been read, and after a write whose outcome is not known.
    known: Option<KnownReports>,
    /// Last window that the platform accepted from this holder.
    sent: Option<WindowNumber>,
    /// First open window of each node, as last answered.
    first_open: BTreeMap<SocketAddr, WindowNumber>,
    /// Nodes that did not answer when they were last asked, with the time since which they have not.
    silent_since: BTreeMap<SocketAddr, WallTime>,
    /// Start of the last round of questions that has ended.
    last_round: Option<WallTime>,
    next_ask: WallTime,
    next_store_call: WallTime,
    next_copy: WallTime,
    /// Version of the ledger when its counts were last stored.
    copied_version: u64,
    next_send: WallTime,
    fence_refused: bool,
}

impl UsageReporter {
    /// Returns the state at the start of a lease.
    pub fn new(options: ReporterOptions) -> Self {
        Self {
            options,
            known: None,
            sent: None,
            first_open: BTreeMap::new(),
            silent_since: BTreeMap::new(),
            last_round: None,
            next_ask: Duration::ZERO,
            next_store_call: Duration::ZERO,
            next_copy: Duration::ZERO,
            copied_version: 0,
            next_send: Duration::ZERO,
            fence_refused: false,
        }
    }

    /// Returns the next step.
    pub fn next_step(&self, situation: &Situation<'_>) -> Step {
        let Situation { now, nodes, may_send, ledger_version } = *situation;
        if self.fence_refused {
            return Step::Stop;
        }
        let Some(known) = &self.known else {
            return self.at(now, self.next_store_call, Step::Load);
        };
        let ended = self.ended_windows(known, now);
        if self.last_round.is_none() {
            // Counts that the previous holder did not store would be lost with all nodes.
            return Step::Ask { from: ended.start, nodes: nodes.to_vec() };
        }
        let sent = self.sent.max(known.reports.sent);
        let unsent = known.reports.windows.keys().find(|window| sent < Some(**window));
        if let Some(window) = unsent
            && may_send
            && self.next_send <= now
        {
            return Step::Send(*window);
        }
        let closable: Vec<_> =
            ended.clone().take_while(|window| self.is_closable(*window, now, nodes)).collect();
        if !closable.is_empty() && self.next_store_call <= now {
            return Step::Close(closable);
        }
        if let (Some(first), Some(last)) = (ended.clone().next(), ended.last())
            && self.next_ask <= now
            && window_end(last, self.options.window) + self.options.ask_delay <= now
        {
            // Nodes that are gone are asked once a window.
            let is_first_round =
                self.last_round.is_none_or(|round| round < window_end(last, self.options.window));
            let is_asked = |node: &&SocketAddr| {
                !self.is_complete(node, last) && (is_first_round || !self.is_gone(node, now))
            };
            let nodes: Vec<_> = nodes.iter().filter(is_asked).copied().collect();
            if !nodes.is_empty() {
                return Step::Ask { from: first, nodes };
            }
        }
        let idle_wait = self.options.call_interval.min(self.options.copy_interval / 4);
        if ledger_version == self.copied_version {
            return Step::Wait(idle_wait);
        }
        match self.next_copy.max(self.next_store_call).saturating_sub(now) {
            Duration::ZERO => Step::Copy,
            wait => Step::Wait(wait.min(idle_wait)),
        }
    }

    /// Returns `step` if it is due, and else a wait until then.
    fn at(&self, now: WallTime, due: WallTime, step: Step) -> Step {
        // A clock that was set back does not stop the reports.
        match due.saturating_sub(now) {
            Duration::ZERO => step,
            wait => Step::Wait(wait.min(self.options.retry_delay)),
        }
    }

    /// Returns the windows that have ended and are not closed, except those whose counts the nodes no
    /// longer have.
    fn ended_windows(&self, known: &KnownReports, now: WallTime) -> Range<WindowNumber> {
        let current = window_at(now, self.options.window);
        let oldest_kept = current.saturating_sub(MAX_WINDOWS as u64 - 1);
        let first = match known.reports.last_closed() {
            Some(last_closed) => last_closed + 1,
            None => window_at(now.saturating_sub(self.options.delay), self.options.window),
        };
        first.max(oldest_kept)..current
    }

    /// Returns whether the counts of a window that has ended are complete, or cannot be waited for any
    /// longer.
    fn is_closable(&self, window: WindowNumber, now: WallTime, nodes: &[SocketAddr]) -> bool {
        let end = window_end(window, self.options.window);
        if self.last_round.is_none_or(|round| round < end) {
            return false;
        }
        let is_done = |node| self.is_complete(node, window) || self.is_gone(node, now);
        let all_complete = !nodes.is_empty() && nodes.iter().all(is_done);
        all_complete || now >= end + self.options.delay.mul_f64(self.options.close_fraction)
    }

    fn is_complete(&self, node: &SocketAddr, window: WindowNumber) -> bool {
        self.first_open.get(node).is_some_and(|first_open| *first_open > window)
    }

    /// Returns whether a node has not answered for so long that windows do not wait for it. Nodes stay
    /// registered after their VMs were taken away.
    fn is_gone(&self, node: &SocketAddr, now: WallTime) -> bool {
        self.silent_since.get(node).is_some_and(|since| now >= *since + self.options.delay)
    }

    /// Returns the nodes whose counts of a window may be incomplete.
    pub fn incomplete_nodes(&self, window: WindowNumber, nodes: &[SocketAddr]) -> Vec<SocketAddr> {
        nodes.iter().filter(|node| !self.is_complete(node, window)).copied().collect()
    }

    /// Returns the stored reports with the counts of further windows, and the revision that they
    /// replace. `known_counts` are all counts that this node knows; those of windows that stay open
    /// are stored too, unless they are too many.
    pub fn reports_with(
        &mut self,
        counts: impl IntoIterator<Item = (WindowNumber, WindowCounts)>,
        known_counts: Vec<SourceCounts>,
        situation: &Situation<'_>,
    ) -> (StoredReports, Option<Revision>) {
        self.copied_version = situation.ledger_version;
        self.next_copy = situation.now + self.options.copy_interval;
        let KnownReports { revision, mut reports } = self.known.clone().unwrap_or_default();
        let (sent, last_closed) = (self.sent.max(reports.sent), reports.last_closed());
        reports.sent = sent;
        let is_new = |window: &WindowNumber| Some(*window) > last_closed;
        reports.windows.retain(|window, _| Some(*window) > sent);
        reports.windows.extend(counts.into_iter().filter(|(window, _)| is_new(window)));
        while reports.windows.len() > MAX_WINDOWS {
            reports.windows.pop_first();
        }
        let last_closed = reports.last_closed();
        reports.open = known_counts;
        reports.open.retain(|entry| Some(entry.window) > last_closed);
        let count = reports.open.iter().map(|entry| entry.counts.len()).sum::<usize>();
        if count > MAX_COPIED_COUNTS {
            reports.open.clear();
        } else {
            let min_interval = Duration::from_secs_f64(count as f64 / MAX_COPIED_COUNTS_PER_S);
            self.next_copy = situation.now + self.options.copy_interval.max(min_interval);
        }
        (reports, revision)
    }

    /// Returns the stored counts of a window.
    pub fn stored_counts(&self, window: WindowNumber) -> Option<&WindowCounts> {
        self.known.as_ref()?.reports.windows.get(&window)
    }

    /// The stored reports were read or written; `revision` is `None` if there are none yet.
    pub fn on_known(&mut self, revision: Option<Revision>, reports: StoredReports) {
        self.known = Some(KnownReports { revision, reports });
    }

    /// A read or write of the stored reports has failed, or its outcome is not known.
    pub fn on_store_error(&mut self, now: WallTime) {
        self.known = None;
        self.copied_version = 0;
        self.next_store_call = now + self.options.retry_delay;
    }

    /// A node has answered; its counts are taken over already.
    pub fn on_answer(&mut self, answer: NodeAnswer) {
        self.first_open.insert(answer.node, answer.first_open);
        self.silent_since.remove(&answer.node);
    }

    /// A node did not answer a question of `at`.
    pub fn on_silence(&mut self, node: SocketAddr, at: WallTime) {
        self.silent_since.entry(node).or_insert(at);
    }

    /// All answers to the questions that began at `started` have arrived or are given up.
    pub fn on_round_end(&mut self, started: WallTime, nodes: &[SocketAddr]) {
        self.last_round = Some(started);
        self.next_ask = started + self.options.ask_interval;
        let nodes: BTreeSet<_> = nodes.iter().collect();
        self.first_open.retain(|node, _| nodes.contains(node));
        self.silent_since.retain(|node, _| nodes.contains(node));
    }

    /// A call with the report of `window` has ended.
    pub fn on_sent(&mut self, window: WindowNumber, outcome: SendOutcome, call: Range<WallTime>) {
        match outcome {
            SendOutcome::Accepted | SendOutcome::Rejected => {
                self.sent = self.sent.max(Some(window));
                self.next_send = call.start + self.options.call_interval;
            }
            SendOutcome::FenceRefused => self.fence_refused = true,
            // From the end of the call: other steps have their turn while the platform is silent.
            SendOutcome::Unknown => self.next_send = call.end + self.options.retry_delay,
        }
    }
}
