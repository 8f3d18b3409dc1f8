//! Clock that also counts the time for which the VM is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Point in time on the boot clock. Unlike [`Instant`](std::time::Instant), it shows how old something
/// is after a suspension of the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        // Every Linux system has this clock; without it, the age of everything is unknown.
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::MAX, Duration::from);
        Self(now)
    }

    /// Returns the time since this point.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}
