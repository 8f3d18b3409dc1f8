//! Reports of how many requests of each organisation began to run in each window of time.
//!
//! Every node counts with a [`UsageMeter`] and keeps counts in a [`UsageLedger`], its own and copies
//! of those of a few others. The holder of the leader's lease collects the counts of a window, stores
//! their sums and sends them; [`UsageReporter`] decides what it does next.

mod clock;
mod exchange;
mod holder;
mod ledger;
mod meter;
mod reporter;

pub use clock::{SteadyClock, process_clock};
pub use exchange::{MAX_USAGE_MESSAGE_BYTES, USAGE_PATH, UsageExchange, copy_delay};
pub use holder::{UsageHolder, UsageHolderDependencies};
pub use ledger::{SourceCounts, SourceId, UsageLedger, new_source};
pub use meter::{AttemptEnd, CountedAttempt, UsageMeter};
pub use reporter::{
    NodeAnswer, ReporterOptions, SendOutcome, Situation, Step, StoredReports, UsageReporter,
};

use std::time::Duration;

/// Time since the start of 1970 on the node's clock.
pub type WallTime = Duration;
/// Number of a window: window k begins k times its length after the start of 1970.
pub type WindowNumber = u64;

/// Returns the window of length `length` that contains `at`.
pub fn window_at(at: WallTime, length: Duration) -> WindowNumber {
    let number = at.as_micros() / length.as_micros().max(1);
    WindowNumber::try_from(number).unwrap_or(WindowNumber::MAX)
}

/// Returns the end of a window.
pub fn window_end(window: WindowNumber, length: Duration) -> WallTime {
    let micros = u128::from(window).saturating_add(1).saturating_mul(length.as_micros());
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
