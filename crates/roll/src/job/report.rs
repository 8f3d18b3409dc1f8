//! Status and metrics of an owned job.

use std::rc::Rc;

use deck_plat::StoreError;

use super::ActiveJob;
use crate::{
    board::BoardStats,
    status::{JobStatus, LocalStatus, StatusWriter},
};

impl ActiveJob {
    /// Writes the status and records metrics until the job ends here.
    pub async fn report(self: Rc<Self>) {
        let mut writer = StatusWriter::new(self.parts.store.clone(), self.name.clone());
        let mut continued = false;
        let mut recorded = BoardStats::default();
        while !self.stop.is_cancelled() {
            // Not written before the earlier status was read: its usage would be lost.
            let written = match continued {
                true => Ok(()),
                false => writer.read().await.map(|earlier| {
                    continued = true;
                    if let Some(earlier) = earlier {
                        self.continue_status(&earlier);
                    }
                }),
            };
            self.note_store(match written {
                Ok(()) => writer.write(self.status()).await,
                Err(error) => Err(error),
            });
            let stats = self.board.borrow().stats().clone();
            let window = self.window.borrow().limit();
            self.parts.metrics.record(&self.labels(), &recorded, &stats, window);
            recorded = stats;
            let wait = monoio::time::sleep(self.parts.options.status_interval);
            self.stop.run_until_cancelled(wait).await;
        }
    }

    fn note_store(&self, result: Result<(), StoreError>) {
        let error = result.err().map(|error| error.to_string());
        if let Some(error) = &error {
            log::warn!(target: "roll", "status not written job={} error={error}", self.name);
        }
        self.store_error.replace(error);
    }

    /// Returns the status as of now.
    pub fn status(&self) -> JobStatus {
        let board = self.board.borrow();
        let (trainer, stats) = (board.trainer(), board.stats());
        JobStatus {
            owner: self.parts.options.vm.clone(),
            fencing: self.fencing(),
            step: trainer.map(|trainer| trainer.step),
            trainer_version: trainer.map(|trainer| trainer.version),
            engine_version: board.engine_version(),
            delivered_samples: stats.delivered_samples,
            staleness_mean_versions: stats.mean_staleness_versions(),
            staleness_max_versions: stats.staleness_max_versions,
            regenerated_share: stats.regenerated_share(),
            thrown_away_share: stats.thrown_away_share(),
            usage_tokens: self.earlier_usage_tokens.get() + stats.generated_tokens,
            last_error: self.last_error.borrow().clone(),
        }
    }

    /// Returns the status with what only this VM knows.
    pub fn local_status(&self) -> LocalStatus {
        LocalStatus {
            status: self.status(),
            running: self.window.borrow().running(),
            window: self.window.borrow().limit(),
            buffered_bytes: self.board.borrow().buffered_bytes(),
            lease_valid: self.token.is_valid(),
            store_error: self.store_error.borrow().clone(),
        }
    }
}
