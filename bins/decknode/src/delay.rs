//! Delay of the event loop: how late the process does what is due.

use std::time::{Duration, Instant};

use deck_core::CancellationToken;

use crate::metrics::NodeMetrics;

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(250);
/// Delay from which on the node counts as slow: other nodes wait some 400 ms for an answer.
const SLOW_DELAY: Duration = Duration::from_millis(250);
/// Shortest time between two log lines about it.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the delay until `cancel` is cancelled. A long one means that the node has too much work,
/// or that its VM did not run: others then see it as slow or silent.
pub async fn keep_measuring(metrics: NodeMetrics, cancel: CancellationToken) {
    let mut logged_at: Option<Instant> = None;
    loop {
        let started = Instant::now();
        if cancel.run_until_cancelled(monoio::time::sleep(INTERVAL)).await.is_none() {
            return;
        }
        let delay = started.elapsed().saturating_sub(INTERVAL);
        metrics.record_delay(delay);
        let is_due = logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if delay >= SLOW_DELAY && is_due {
            log::warn!(target: "node", "node is slow delay_ms={}", delay.as_millis());
            logged_at = Some(Instant::now());
        }
    }
}
