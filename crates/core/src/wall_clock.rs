//! Time of day, which differs a little between VMs.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}
