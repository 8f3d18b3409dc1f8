//! Batch jobs in the object API.

use std::{net::SocketAddr, rc::Rc};

use deck_core::id::{RequestId, Revision, VmId, WeightVersion};
use deck_fleet::{BatchJob, BatchLimits, Item, ItemResult};
use deck_plat::{Object, Precondition, Store, StoreError};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Kind of the objects that hold jobs.
const JOB_KIND: &str = "batchjobs";
/// Kind of the objects that hold parts of the items of a job.
const ITEM_KIND: &str = "batchitems";
/// Kind of the objects that hold chunks of results.
const RESULT_KIND: &str = "batchresults";
/// Part of the largest object that items or results fill; the rest is left for the envelope.
const MAX_FILL_PERCENT: usize = 80;
/// Tries after which a write without an answer is left unresolved.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// A job as stored. Only `runner`, `address` and `ended` ever change.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// VM that runs the job.
    pub runner: VmId,
    /// Address of that VM for other nodes.
    pub address: SocketAddr,
    /// Whether the caller has ended the job.
    pub ended: bool,
    /// Number of objects that hold the items.
    #[serde(rename = "parts")]
    pub item_objects: usize,
    /// Number of items.
    #[serde(rename = "total")]
    pub item_count: usize,
    /// Host of the job's route.
    pub host: String,
    /// Path of the submission.
    pub path: String,
    /// Model.
    pub model: String,
    /// Oldest version that may generate events of this job.
    pub min_version: WeightVersion,
    /// Complete groups that the caller waits for; 0 if it waits for all items.
    #[serde(default)]
    pub group_count: usize,
    /// Limits of the job.
    pub limits: BatchLimits,
    /// Time of the submission in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
}

/// A stored job with the revision of its record.
type StoredJob = (RequestId, JobRecord, Revision);

/// How an attempt to store a job ended.
#[derive(Debug)]
pub enum AcceptOutcome {
    /// The job is stored now, with this revision.
    Stored(JobRecord, Revision),
    /// The job was stored before.
    Exists(JobRecord, Revision),
    /// The job is not stored and will not be.
    NotStored(StoreError),
    /// The job may be stored, or may be stored later.
    Unknown(StoreError),
}

/// Result of storing a chunk.
#[derive(Debug)]
pub enum AppendOutcome {
    /// The chunk is stored as given.
    Appended,
    /// Another node has stored a chunk of this number.
    AlreadyStored(Vec<ItemResult>),
}

/// Batch jobs in the object API.
#[derive(Clone)]
pub struct Ledger {
    store: Store,
    max_object_bytes: usize,
}

impl Ledger {
    /// Returns a ledger over `store`, whose objects are at most `max_object_bytes` large.
    pub fn new(store: Store, max_object_bytes: usize) -> Self {
        Self { store, max_object_bytes }
    }

    /// Stores a job that `runner` at `address` is to run.
    ///
    /// The items are stored first: a job exists from the moment at which its record exists.
    pub async fn accept(&self, job: &BatchJob, runner: &str, address: SocketAddr) -> AcceptOutcome {
        let parts = self.split_items(&job.items);
        let record = JobRecord {
            runner: runner.to_owned(),
            address,
            ended: false,
            item_objects: parts.len(),
            item_count: job.items.len(),
            host: job.host.clone(),
            path: job.path.clone(),
            model: job.model.clone(),
            min_version: job.min_version,
            group_count: job.group_count,
            limits: job.limits.clone(),
            submitted_at_ms: job.submitted_at_ms,
        };
        for (index, part) in parts.iter().enumerate() {
            let name = format!("{}.{index}", job.id);
            match self.create(ITEM_KIND, &name, &part).await {
                Ok(_) | Err((StoreError::Conflict(_), _)) => {}
                Err((error, _)) => return AcceptOutcome::NotStored(error),
            }
        }
        match self.create(JOB_KIND, &job.id, &record).await {
            Ok(revision) => AcceptOutcome::Stored(record, revision),
            Err((StoreError::Conflict(_), _)) => match self.record(&job.id).await {
                Ok(Some((record, revision))) => AcceptOutcome::Exists(record, revision),
                Ok(None) => AcceptOutcome::Unknown(StoreError::Conflict(None)),
                Err(error) => AcceptOutcome::Unknown(error),
            },
            Err((error, true)) => AcceptOutcome::Unknown(error),
            Err((error, false)) => AcceptOutcome::NotStored(error),
        }
    }

    /// Returns the record of a job; `None` if no such job exists.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn record(&self, id: &str) -> Result<Option<(JobRecord, Revision)>, StoreError> {
        match self.store.get(JOB_KIND, id).await? {
            Some(object) => Ok(Some((decode(&object)?, object.revision))),
            None => Ok(None),
        }
    }

    /// Replaces the record of a job if it still has `revision`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] means that another node has changed it.
    pub async fn replace(
        &self,
        id: &str,
        revision: Revision,
        record: &JobRecord,
    ) -> Result<Revision, StoreError> {
        let value = encode(record)?;
        let condition = Precondition::Revision(revision);
        self.store.put_resolved(JOB_KIND, id, condition, &value, MAX_WRITE_ATTEMPTS).await
    }

    /// Returns the items of a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn items(&self, id: &str, record: &JobRecord) -> Result<Vec<Item>, StoreError> {
        let mut items = Vec::with_capacity(record.item_count);
        for index in 0..record.item_objects {
            let name = format!("{id}.{index}");
            let part: Option<Vec<Item>> = self.read_immutable(ITEM_KIND, &name).await?;
            let missing = || StoreError::Decode(format!("no object {ITEM_KIND}/{name}"));
            items.extend(part.ok_or_else(missing)?);
        }
        Ok(items)
    }

    /// Returns a chunk of results; `None` if it is not stored yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn chunk(
        &self,
        id: &str,
        number: usize,
    ) -> Result<Option<Vec<ItemResult>>, StoreError> {
        self.read_immutable(RESULT_KIND, &format!("{id}.{number}")).await
    }

    /// Returns all stored jobs whose record can be read.
    pub(crate) async fn jobs(&self) -> Result<Vec<StoredJob>, StoreError> {
        let (_, objects) = self.store.list(JOB_KIND).await?;
        let decoded = objects.into_iter().filter_map(|object| match decode(&object) {
            Ok(record) => Some((object.name, record, object.revision)),
            Err(error) => {
                log::warn!(target: "batch", "record not read job={} error={error}", object.name);
                None
            }
        });
        Ok(decoded.collect())
    }

    /// Deletes a job: its record last, so that a deletion that was cut short is repeated as a whole.
    pub(crate) async fn delete(
        &self,
        id: &str,
        record: &JobRecord,
        revision: Revision,
    ) -> Result<(), StoreError> {
        let parts = (0..record.item_objects).map(|index| (ITEM_KIND, format!("{id}.{index}")));
        for (kind, name) in parts {
            self.delete_object(kind, &name).await?;
        }
        let mut chunk = 0;
        while self.delete_object(RESULT_KIND, &format!("{id}.{chunk}")).await? {
            chunk += 1;
        }
        self.store.delete(JOB_KIND, id, revision).await
    }

    /// Deletes an object that never changes; returns whether it existed.
    async fn delete_object(&self, kind: &str, name: &str) -> Result<bool, StoreError> {
        let Some(object) = self.store.get(kind, name).await? else { return Ok(false) };
        self.store.delete(kind, name, object.revision).await?;
        Ok(true)
    }

    /// Stores a chunk of results under its number, unless another node has done so.
    ///
    /// # Errors
    ///
    /// After an error the chunk may be stored, or may be stored later.
    pub async fn append(
        &self,
        id: &str,
        number: usize,
        results: &[Rc<ItemResult>],
    ) -> Result<AppendOutcome, StoreError> {
        let results: Vec<&ItemResult> = results.iter().map(|result| &**result).collect();
        match self.create(RESULT_KIND, &format!("{id}.{number}"), &results).await {
            Ok(_) => Ok(AppendOutcome::Appended),
            Err((StoreError::Conflict(_), _)) => {
                let other = self.chunk(id, number).await?;
                other.map(AppendOutcome::AlreadyStored).ok_or(StoreError::Conflict(None))
            }
            Err((error, _)) => Err(error),
        }
    }

    /// Returns how many of the results fit into one chunk, at least one if there are any.
    pub fn fitting_count(&self, results: &[Rc<ItemResult>]) -> usize {
        let max_bytes = self.max_object_bytes * MAX_FILL_PERCENT / 100;
        let mut bytes = 0;
        let fits = |result: &&Rc<ItemResult>| {
            bytes += result.encoded_bytes();
            bytes <= max_bytes
        };
        results.iter().take_while(fits).count().max(1).min(results.len())
    }

    fn split_items(&self, items: &[Item]) -> Vec<Vec<Item>> {
        let max_bytes = self.max_object_bytes * MAX_FILL_PERCENT / 100;
        let mut parts: Vec<Vec<Item>> = vec![Vec::new()];
        let mut bytes = 0;
        for item in items {
            let size = serde_json::to_vec(item).map_or(0, |encoded| encoded.len());
            if bytes + size > max_bytes && bytes > 0 {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += size;
            if let Some(part) = parts.last_mut() {
                part.push(item.clone());
            }
        }
        parts
    }

    /// Creates an object. The flag of an error tells whether the object may exist later.
    async fn create<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        content: &T,
    ) -> Result<Revision, (StoreError, bool)> {
        let value = encode(content).map_err(|error| (error, false))?;
        let mut may_exist = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.store.put(kind, name, Precondition::Absent, &value).await {
                Ok(revision) => return Ok(revision),
                Err(StoreError::ResponseLost(_)) if attempts < MAX_WRITE_ATTEMPTS => {
                    may_exist = true
                }
                Err(error @ StoreError::ResponseLost(_)) => return Err((error, true)),
                // After a lost answer the object that exists may be the one of an earlier try.
                Err(error) => return Err((error, may_exist)),
            }
        }
    }

    async fn read_immutable<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<T>, StoreError> {
        let object = match self.store.get_any(kind, name).await? {
            Some(object) => Some(object),
            None => self.store.get(kind, name).await?,
        };
        object.map(|object| decode(&object)).transpose()
    }
}

fn encode<T: Serialize>(content: &T) -> Result<Value, StoreError> {
    serde_json::to_value(content).map_err(|error| StoreError::Decode(error.to_string()))
}

fn decode<T: DeserializeOwned>(object: &Object) -> Result<T, StoreError> {
    T::deserialize(&object.value).map_err(|error| StoreError::Decode(error.to_string()))
}
