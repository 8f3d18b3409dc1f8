//! Measures the delay of the event loop: how late timers of the process fire, and for how long the
//! VM was suspended.

use std::time::{Duration, Instant};

use deck_core::CancellationToken;
use nix::time::{ClockId, clock_gettime};

use crate::metrics::NodeMetrics;

/// Interval between measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum delay that is logged as a warning. Other nodes wait about 400 ms for a response, so a longer
/// delay soon makes this node look unresponsive.
const SLOW_NODE_DELAY: Duration = Duration::from_millis(250);
/// Minimum interval between warnings about a slow node.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum suspension that is logged. The two clocks are read one after the other, so a difference of
/// a few milliseconds is not a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Returns for how long the VM has been suspended since it was started: the time that the boot clock
/// has counted and the steady clock has not. `None` if a clock cannot be read.
fn suspended_time() -> Option<Duration> {
    let steady_time = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?);
    let boot_time = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
    Some(boot_time.saturating_sub(steady_time))
}

/// Measures the event loop delay until `cancel` is cancelled. A long delay means that the node is
/// overloaded or that its VM was paused; other nodes then see it as slow or unresponsive.
pub async fn measure_loop_delay(metrics: NodeMetrics, cancel: CancellationToken) {
    let mut last_warning: Option<Instant> = None;
    let mut known_suspension = suspended_time();
    loop {
        let started = Instant::now();
        if cancel.run_until_cancelled(monoio::time::sleep(MEASURE_INTERVAL)).await.is_none() {
            return;
        }
        let delay = started.elapsed().saturating_sub(MEASURE_INTERVAL);
        metrics.record_loop_delay(delay);
        // The steady clock does not count a suspension, so it is no delay of a timer.
        let suspension = suspended_time();
        if let (Some(known), Some(current)) = (known_suspension, suspension)
            && current.saturating_sub(known) >= MIN_SUSPENSION
        {
            let ms = (current - known).as_millis();
            log::warn!(target: "node", "VM was suspended suspended_ms={ms}");
            known_suspension = suspension;
        }
        let may_warn = last_warning.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL);
        if delay >= SLOW_NODE_DELAY && may_warn {
            log::warn!(target: "node", "node is slow delay_ms={}", delay.as_millis());
            last_warning = Some(Instant::now());
        }
    }
}
