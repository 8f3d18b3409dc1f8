//! Time of day that steps of the VM's clock do not move.

use std::{
    cell::Cell,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use deck_core::boot_clock::BootInstant;

use crate::usage::WallTime;

/// Largest deviation of the VM's clock that is followed at once; larger ones are steps.
const MAX_DRIFT: Duration = Duration::from_millis(50);
/// Time after which a step is followed: a clock that was set stays where it is.
const STEP_ACCEPTANCE: Duration = Duration::from_secs(60);

/// Clock that follows the VM's time of day, but not its steps unless they last.
///
/// Load: a clock that jumps for some seconds and back. Without this, requests would be counted in
/// other windows than those in which they began.
#[derive(Debug)]
pub struct SteadyClock {
    /// Time of day at the start of the process, as far as known.
    start: Cell<WallTime>,
    /// When the deviation of the VM's clock began, as time since the start of the process.
    deviates_since: Cell<Option<Duration>>,
}

impl SteadyClock {
    /// Returns a clock of a process that starts at `start`.
    pub fn new(start: WallTime) -> Self {
        Self { start: Cell::new(start), deviates_since: Cell::new(None) }
    }

    /// Returns the time of day, given what the VM's clock shows and the time since the start of the
    /// process, suspensions included.
    pub fn now(&self, shown: WallTime, since_start: Duration) -> WallTime {
        let expected = self.start.get() + since_start;
        if shown.abs_diff(expected) > MAX_DRIFT {
            let since = self.deviates_since.get().unwrap_or(since_start);
            self.deviates_since.set(Some(since));
            if since_start.saturating_sub(since) < STEP_ACCEPTANCE {
                return expected;
            }
            log::warn!(target: "usage", "the clock was set by_ms={}", shown.abs_diff(expected).as_millis());
        }
        self.deviates_since.set(None);
        self.start.set(shown.saturating_sub(since_start));
        shown
    }
}

/// Returns a function that shows the time of day of this process.
pub fn process_clock() -> impl Fn() -> WallTime + 'static {
    let shown = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let (clock, started) = (SteadyClock::new(shown()), BootInstant::now());
    move || clock.now(shown(), started.elapsed())
}
