//! Clock that also counts the time for which the VM is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Point in time on the boot clock. Unlike [`Instant`](std::time::Instant), it shows how old something
/// is after a suspension of the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics if the system has no boot clock; Linux has had one since 2.6.39.
    pub fn now() -> Self {
        Self(clock_gettime(ClockId::CLOCK_BOOTTIME).expect("boot clock").into())
    }

    /// Returns the time since this point.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}
