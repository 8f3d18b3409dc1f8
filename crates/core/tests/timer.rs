//! Periodic timers.

use std::time::Duration;

use deck_core::{CancellationToken, timer::TimerService};
use monoio::{LegacyDriver, RuntimeBuilder};

/// Guards against ticks that queue up for a slow subscriber, and against a subscriber that waits
/// forever after the service has stopped.
#[test]
fn missed_ticks_are_merged_and_ticks_end_after_cancellation() {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime");
    runtime.block_on(async {
        let cancel = CancellationToken::new();
        let timer = TimerService::start(cancel.clone());
        let mut slow_ticks = timer.every(Duration::from_millis(5));
        let mut long_period_ticks = timer.every(Duration::from_millis(20));
        long_period_ticks.next().await.expect("tick of the other subscriber");
        let first_tick = slow_ticks.next().await.expect("tick");
        let second_tick = slow_ticks.next().await.expect("tick");
        assert!(
            second_tick.at > first_tick.at + Duration::from_millis(10),
            "missed ticks were not merged"
        );
        drop(timer);
        cancel.cancel();
        while slow_ticks.next().await.is_some() {}
    });
}
