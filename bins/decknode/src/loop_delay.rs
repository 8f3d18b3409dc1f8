//! Measures the delay of the event loop: how late timers of the process fire.

use std::time::{Duration, Instant};

use deck_core::CancellationToken;

use crate::metrics::NodeMetrics;

/// Interval between measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum delay that is logged as a warning. Other nodes wait about 400 ms for a response, so a longer
/// delay soon makes this node look unresponsive.
const SLOW_NODE_DELAY: Duration = Duration::from_millis(250);
/// Minimum interval between warnings about a slow node.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the event loop delay until `cancel` is cancelled. A long delay means that the node is
/// overloaded or that its VM was paused; other nodes then see it as slow or unresponsive.
pub async fn measure_loop_delay(metrics: NodeMetrics, cancel: CancellationToken) {
    let mut last_warning: Option<Instant> = None;
    loop {
        let started = Instant::now();
        if cancel.run_until_cancelled(monoio::time::sleep(MEASURE_INTERVAL)).await.is_none() {
            return;
        }
        let delay = started.elapsed().saturating_sub(MEASURE_INTERVAL);
        metrics.record_loop_delay(delay);
        let may_warn = last_warning.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL);
        if delay >= SLOW_NODE_DELAY && may_warn {
            log::warn!(target: "node", "node is slow delay_ms={}", delay.as_millis());
            last_warning = Some(Instant::now());
        }
    }
}
