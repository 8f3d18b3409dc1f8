//! Status of a rollout job, as written to the object API and shown locally.

use deck_core::{
    id::{FencingNumber, VmId, WeightVersion},
    object::{Envelope, Kind},
};
use deck_plat::{Precondition, Store, StoreError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Content of a `RolloutJobStatus` object.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobStatus {
    /// VM that owns the job.
    pub owner: VmId,
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// Step that the trainer collects; absent before the first pull at this owner.
    pub step: Option<u64>,
    /// Version of the trainer.
    pub trainer_version: Option<WeightVersion>,
    /// Newest version that an engine reported.
    pub engine_version: Option<WeightVersion>,
    /// Samples that the trainer confirmed to hold, since this owner took the job.
    pub delivered_samples: u64,
    /// Mean staleness of the samples sent.
    pub staleness_mean_versions: f64,
    /// Largest staleness of the samples sent.
    pub staleness_max_versions: u64,
    /// Part of the started samples that were started again because they were stale.
    pub regenerated_share: f64,
    /// Part of the generated tokens that was thrown away.
    pub thrown_away_share: f64,
    /// Usage: tokens generated for the job, earlier owners included. A crash of an owner loses what
    /// it had not written yet.
    pub usage_tokens: u64,
    /// Last error; kept until another one replaces it.
    pub last_error: Option<String>,
}

/// Answer to `GET /v1/jobs/{job}` at the owner.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LocalStatus {
    /// The status as it would be written now.
    #[serde(flatten)]
    pub status: JobStatus,
    /// Generations in flight.
    pub running: u32,
    /// Bound on them.
    pub window: u32,
    /// Bytes of text kept.
    pub buffered_bytes: usize,
    /// Whether the lease is valid at this moment.
    pub lease_valid: bool,
    /// Why the last call on the object API failed; absent if it succeeded.
    pub store_error: Option<String>,
}

/// Writer of one job's status.
pub struct StatusWriter {
    store: Store,
    job: String,
    last: Option<JobStatus>,
}

impl StatusWriter {
    /// Returns a writer.
    pub fn new(store: Store, job: String) -> Self {
        Self { store, job, last: None }
    }

    /// Returns the status that an earlier owner wrote.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn read(&self) -> Result<Option<JobStatus>, StoreError> {
        let object = self.store.get(Kind::RolloutJob.status_kind(), &self.job).await?;
        Ok(object.and_then(|object| {
            serde_json::from_value::<Envelope<JobStatus>>(object.value).ok().map(|read| read.spec)
        }))
    }

    /// Writes the status if it differs from the last one written.
    ///
    /// Fields that other daemons write into the same object (the acceptance of the job's newest
    /// version) stay.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer, or [`StoreError::Conflict`] if an owner
    /// with a higher fencing number has written.
    pub async fn write(&mut self, status: JobStatus) -> Result<(), StoreError> {
        if self.last.as_ref() == Some(&status) {
            return Ok(());
        }
        let mut result = self.try_write(&status).await;
        // Another daemon may have written its fields between the read and the write.
        if matches!(result, Err(StoreError::Conflict(_))) {
            result = self.try_write(&status).await;
        }
        result?;
        self.last = Some(status);
        Ok(())
    }

    async fn try_write(&self, status: &JobStatus) -> Result<(), StoreError> {
        let kind = Kind::RolloutJob.status_kind();
        let current = self.store.get(kind, &self.job).await?;
        let (condition, stored) = match current {
            None => (Precondition::Absent, Value::Null),
            Some(object) => (Precondition::Revision(object.revision), object.value),
        };
        let newer = stored["spec"]["fencing"].as_u64().is_some_and(|other| other > status.fencing);
        if newer {
            return Err(StoreError::Conflict(None));
        }
        let value =
            merged_value(&stored, status).map_err(|error| StoreError::Decode(error.to_string()))?;
        self.store.put(kind, &self.job, condition, &value).await.map(drop)
    }
}

/// Returns the stored value with the fields of `status` replaced.
fn merged_value(stored: &Value, status: &JobStatus) -> Result<Value, serde_json::Error> {
    let mut spec = stored["spec"].as_object().cloned().unwrap_or_default();
    if let Value::Object(fields) = serde_json::to_value(status)? {
        spec.extend(fields);
    }
    serde_json::to_value(Envelope::new(spec))
}
