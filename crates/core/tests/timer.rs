//! Periodic timers.

use std::time::Duration;

use deck_core::{CancellationToken, timer::TimerService};
use monoio::{LegacyDriver, RuntimeBuilder};

/// Guards against ticks that queue up for a slow subscriber, and against a subscriber that waits
/// forever after the service has stopped.
#[test]
fn missed_ticks_are_merged_and_the_end_is_seen() {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime");
    runtime.block_on(async {
        let cancel = CancellationToken::new();
        let timer = TimerService::start(cancel.clone());
        let mut slow = timer.every(Duration::from_millis(5));
        let mut other = timer.every(Duration::from_millis(20));
        other.next().await.expect("tick of the other subscriber");
        let first = slow.next().await.expect("tick");
        let second = slow.next().await.expect("tick");
        assert!(second.at > first.at + Duration::from_millis(10), "missed ticks were not merged");
        drop(timer);
        cancel.cancel();
        while slow.next().await.is_some() {}
    });
}
