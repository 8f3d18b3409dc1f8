//! Status of a rollout job, as written to the object API and returned by the local HTTP interface.

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
pub struct RolloutJobStatus {
    /// VM that owns the job.
    pub owner: VmId,
    /// Fencing number of the owner's lease.
    pub fencing: FencingNumber,
    /// Training step that the trainer is collecting; absent before the first pull from this owner.
    pub step: Option<u64>,
    /// Weight version of the trainer.
    pub trainer_version: Option<WeightVersion>,
    /// Newest weight version that an engine reported recently.
    pub engine_version: Option<WeightVersion>,
    /// Samples that the trainer confirmed to have received since this owner acquired the job.
    pub delivered_samples: u64,
    /// Mean staleness of the sent samples in weight versions.
    pub staleness_mean_versions: f64,
    /// Largest staleness of the sent samples in weight versions.
    pub staleness_max_versions: u64,
    /// Ratio of samples restarted because of staleness to all sample starts.
    pub regenerated_share: f64,
    /// Ratio of discarded tokens to generated tokens.
    pub thrown_away_share: f64,
    /// Tokens generated for the job for usage accounting, including those of previous owners. If an
    /// owner crashes, the tokens since its last status write are not counted.
    pub usage_tokens: u64,
    /// Most recent error; kept until another error replaces it.
    pub last_error: Option<String>,
}

/// Response to `GET /v1/jobs/{job}` from the owner.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OwnedJobStatus {
    /// Current values of the status object.
    #[serde(flatten)]
    pub status: RolloutJobStatus,
    /// Generations in flight.
    pub running: u32,
    /// Current limit on concurrent generations.
    pub window: u32,
    /// Total size in bytes of the texts held in memory.
    pub buffered_bytes: usize,
    /// Whether this VM's lease on the job is valid now.
    pub lease_valid: bool,
    /// Error of the last request to the object API; absent if it succeeded.
    pub store_error: Option<String>,
}

/// Reads and writes the status object of one job.
pub struct JobStatusWriter {
    store: Store,
    job: String,
    last_written: Option<RolloutJobStatus>,
}

impl JobStatusWriter {
    /// Creates a writer that has not written a status yet.
    pub fn new(store: Store, job: String) -> Self {
        Self { store, job, last_written: None }
    }

    /// Returns the stored status, if a previous owner wrote one.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not respond.
    pub async fn read_stored(&self) -> Result<Option<RolloutJobStatus>, StoreError> {
        let object = self.store.get(Kind::RolloutJob.status_kind(), &self.job).await?;
        Ok(object.and_then(|object| {
            serde_json::from_value::<Envelope<RolloutJobStatus>>(object.value)
                .ok()
                .map(|read| read.spec)
        }))
    }

    /// Writes the status if it differs from the last one written.
    ///
    /// Fields that other daemons write to the same object, such as the acceptance of a new job
    /// version, are preserved.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not respond, or [`StoreError::Conflict`] if an owner
    /// with a higher fencing number has written a status.
    pub async fn write(&mut self, status: RolloutJobStatus) -> Result<(), StoreError> {
        if self.last_written.as_ref() == Some(&status) {
            return Ok(());
        }
        let mut result = self.try_write(&status).await;
        // Another daemon may have changed the object between the read and the write.
        if matches!(result, Err(StoreError::Conflict(_))) {
            result = self.try_write(&status).await;
        }
        result?;
        self.last_written = Some(status);
        Ok(())
    }

    async fn try_write(&self, status: &RolloutJobStatus) -> Result<(), StoreError> {
        let kind = Kind::RolloutJob.status_kind();
        let stored_object = self.store.get(kind, &self.job).await?;
        let (condition, stored) = match stored_object {
            None => (Precondition::Absent, Value::Null),
            Some(object) => (Precondition::Revision(object.revision), object.value),
        };
        let newer_owner_wrote =
            stored["spec"]["fencing"].as_u64().is_some_and(|other| other > status.fencing);
        if newer_owner_wrote {
            return Err(StoreError::Conflict(None));
        }
        let value = merge_status_fields(&stored, status)
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        self.store.put(kind, &self.job, condition, &value).await.map(drop)
    }
}

/// Returns the stored object with the fields of `status` replaced.
fn merge_status_fields(
    stored: &Value,
    status: &RolloutJobStatus,
) -> Result<Value, serde_json::Error> {
    let mut spec = stored["spec"].as_object().cloned().unwrap_or_default();
    if let Value::Object(fields) = serde_json::to_value(status)? {
        spec.extend(fields);
    }
    serde_json::to_value(Envelope::new(spec))
}
