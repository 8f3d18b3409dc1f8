//! Recovery of jobs whose runner sends no heartbeats.

use std::time::Duration;

use deck_core::CancellationToken;
use futures_util::{StreamExt, stream};

use crate::BatchService;

/// Time between two checks for silent jobs.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a message from a job's runner after which the job counts as silent. Allows for two
/// missed heartbeats.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(2500);
/// Maximum number of jobs that are recovered at the same time. All jobs of a failed runner are silent
/// at once; each waits for two timeouts and takes about 1 MB of memory.
const MAX_CONCURRENT_RECOVERIES: usize = 16;

impl BatchService {
    /// Recovers jobs whose runner is silent until `cancel` is cancelled.
    ///
    /// A node that serves a request for a job detects itself that the job's runner has failed. This
    /// task covers jobs that nobody requests, or that are requested only from the failed node.
    pub async fn recover_silent_jobs(&self, cancel: CancellationToken) {
        let pause = || cancel.run_until_cancelled(monoio::time::sleep(CHECK_INTERVAL));
        while pause().await.is_some() {
            let silent_jobs = self.deps().checkpoints.silent_jobs(SILENCE_THRESHOLD).await;
            stream::iter(silent_jobs)
                .for_each_concurrent(MAX_CONCURRENT_RECOVERIES, async |job| {
                    self.recover_silent_job(&job).await;
                })
                .await;
        }
    }
}
