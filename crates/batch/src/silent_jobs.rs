//! Jobs whose runner has gone silent and that nobody reads.

use std::time::Duration;

use deck_core::CancellationToken;

use crate::BatchService;

/// Time between two looks for jobs whose runner is silent.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a job's runner is looked at: two of its messages have not come.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(2500);

impl BatchService {
    /// Looks after jobs whose runner is silent until `cancel` is cancelled.
    ///
    /// A call on a job finds out by itself that its runner is gone; this covers jobs on which nobody
    /// calls, or only at the silent node.
    pub async fn guard(&self, cancel: CancellationToken) {
        let pause = || cancel.run_until_cancelled(monoio::time::sleep(CHECK_INTERVAL));
        while pause().await.is_some() {
            for job in self.deps().checkpoints.silent_jobs(SILENCE_THRESHOLD).await {
                self.recover_silent_job(&job).await;
            }
        }
    }
}
