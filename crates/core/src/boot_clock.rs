//! Clock that also counts the time for which the VM is suspended.

use std::{ops::Add, time::Duration};

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
        Self::now().since(self)
    }

    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point `time` before this one; `None` if the system had not started by then.
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}
