//! Storage of batch jobs, their items and their results in the object API.

use std::{net::SocketAddr, rc::Rc};

use deck_core::id::{OrganisationId, RequestId, Revision, VmId, WeightVersion};
use deck_fleet::{BatchJob, BatchLimits, Item, ItemOutcome, ItemResult};
use deck_plat::{Object, Precondition, Store, StoreError};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Object kind of job records.
const JOB_KIND: &str = "batchjobs";
/// Object kind of item lists, which are split over several objects.
const ITEM_KIND: &str = "batchitems";
/// Object kind of result chunks.
const RESULT_KIND: &str = "batchresults";
/// Share of the maximum object size that items or results may use. The rest is reserved for the
/// object's envelope.
const MAX_FILL_PERCENT: usize = 80;
/// Maximum size of what an object holds beside a single result.
const MAX_ENVELOPE_BYTES: usize = 1024;
/// Attempts of a write whose response is lost before its outcome is reported as unknown.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Stored record of a job. Only `runner`, `address` and `ended` ever change.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// Id of the VM that runs the job.
    pub runner: VmId,
    /// Address at which other nodes reach that VM.
    pub address: SocketAddr,
    /// Whether the caller has ended the job.
    pub ended: bool,
    /// Number of objects that hold the items.
    #[serde(rename = "parts")]
    pub item_objects: usize,
    /// Number of items.
    #[serde(rename = "total")]
    pub item_count: usize,
    /// Host of the submission, used to find its route.
    pub host: String,
    /// Path of the submission, used to find its route.
    pub path: String,
    /// Organisation that submitted the job; `None` where the configuration has no organisations, and
    /// in records of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// Name of the model that runs the items.
    pub model: String,
    /// Oldest weight version that may generate text for the job.
    pub min_version: WeightVersion,
    /// Number of complete groups that the caller waits for; 0 if it waits for all items.
    #[serde(default)]
    pub group_count: usize,
    /// Limits from the route at the time of submission.
    pub limits: BatchLimits,
    /// Submission time in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
}

/// Id, record and record revision of a stored job.
type StoredJob = (RequestId, JobRecord, Revision);

/// Outcome of storing a job.
#[derive(Debug)]
pub enum StoreJobOutcome {
    /// This call has stored the job; its record has this revision.
    Stored(JobRecord, Revision),
    /// The job was stored before, with this record.
    Exists(JobRecord, Revision),
    /// The job is not stored and never will be.
    NotStored(StoreError),
    /// The write may have succeeded, or may still take effect.
    Unknown(StoreError),
}

/// Outcome of storing a chunk of results.
#[derive(Debug)]
pub enum StoreChunkOutcome {
    /// The given results are stored as this chunk.
    Stored,
    /// Another node has stored this chunk with these results.
    AlreadyStored(Vec<ItemResult>),
}

/// Access to the jobs and results in the object API.
#[derive(Clone)]
pub struct JobStore {
    store: Store,
    max_object_bytes: usize,
}

impl JobStore {
    /// Creates an instance that writes to `store`. The objects it creates are at most
    /// `max_object_bytes` in size.
    pub fn new(store: Store, max_object_bytes: usize) -> Self {
        Self { store, max_object_bytes }
    }

    /// Returns the size from which on a text fits into no object.
    pub fn max_text_bytes(&self) -> usize {
        self.max_object_bytes
    }

    /// Stores a job with `runner` at `address` as the node that runs it.
    ///
    /// The items are stored before the record, because a job exists from the moment its record
    /// does.
    pub async fn store_job(
        &self,
        job: &BatchJob,
        runner: &str,
        address: SocketAddr,
    ) -> StoreJobOutcome {
        let item_lists = self.split_items(&job.items);
        let record = JobRecord {
            runner: runner.to_owned(),
            address,
            ended: false,
            item_objects: item_lists.len(),
            item_count: job.items.len(),
            host: job.host.clone(),
            path: job.path.clone(),
            organisation: job.organisation.clone(),
            model: job.model.clone(),
            min_version: job.min_version,
            group_count: job.group_count,
            limits: job.limits.clone(),
            submitted_at_ms: job.submitted_at_ms,
        };
        for (index, item_list) in item_lists.iter().enumerate() {
            let name = format!("{}.{index}", job.id);
            match self.create_object(ITEM_KIND, &name, &item_list).await {
                Ok(_) | Err((StoreError::Conflict(_), _)) => {}
                Err((error, _)) => return StoreJobOutcome::NotStored(error),
            }
        }
        match self.create_object(JOB_KIND, &job.id, &record).await {
            Ok(revision) => StoreJobOutcome::Stored(record, revision),
            Err((StoreError::Conflict(_), _)) => match self.read_record(&job.id).await {
                Ok(Some((record, revision))) => StoreJobOutcome::Exists(record, revision),
                Ok(None) => StoreJobOutcome::Unknown(StoreError::Conflict(None)),
                Err(error) => StoreJobOutcome::Unknown(error),
            },
            Err((error, true)) => StoreJobOutcome::Unknown(error),
            Err((error, false)) => StoreJobOutcome::NotStored(error),
        }
    }

    /// Returns the record of a job; `None` if the job does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn read_record(&self, id: &str) -> Result<Option<(JobRecord, Revision)>, StoreError> {
        match self.store.get(JOB_KIND, id).await? {
            Some(object) => Ok(Some((decode(&object)?, object.revision))),
            None => Ok(None),
        }
    }

    /// Replaces the record of a job if it still has the given revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if another node has changed the record.
    pub async fn replace_record(
        &self,
        id: &str,
        revision: Revision,
        record: &JobRecord,
    ) -> Result<Revision, StoreError> {
        let value = encode(record)?;
        let condition = Precondition::Revision(revision);
        self.store.put_with_read_back(JOB_KIND, id, condition, &value, MAX_WRITE_ATTEMPTS).await
    }

    /// Returns all items of a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn read_items(&self, id: &str, record: &JobRecord) -> Result<Vec<Item>, StoreError> {
        let mut items = Vec::new();
        for index in 0..record.item_objects {
            let name = format!("{id}.{index}");
            let item_list: Option<Vec<Item>> = self.read_immutable(ITEM_KIND, &name).await?;
            let not_found = || StoreError::Decode(format!("no object {ITEM_KIND}/{name}"));
            items.extend(item_list.ok_or_else(not_found)?);
        }
        Ok(items)
    }

    /// Returns a chunk of results that is not known to be stored; `None` if it was not stored when
    /// the call started.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn find_chunk(
        &self,
        id: &str,
        number: usize,
    ) -> Result<Option<Vec<ItemResult>>, StoreError> {
        let object = self.store.get(RESULT_KIND, &format!("{id}.{number}")).await?;
        object.map(|object| decode(&object)).transpose()
    }

    /// As [`JobStore::find_chunk`], at a lower price if the chunk is stored and at a higher one if it
    /// is not.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn read_chunk(
        &self,
        id: &str,
        number: usize,
    ) -> Result<Option<Vec<ItemResult>>, StoreError> {
        self.read_immutable(RESULT_KIND, &format!("{id}.{number}")).await
    }

    /// Lists all stored jobs, and skips records that cannot be decoded.
    pub(crate) async fn list_jobs(&self) -> Result<Vec<StoredJob>, StoreError> {
        let (_, objects) = self.store.list(JOB_KIND).await?;
        let decoded = objects.into_iter().filter_map(|object| match decode(&object) {
            Ok(record) => Some((object.name, record, object.revision)),
            Err(error) => {
                log::warn!(target: "batch", "cannot decode job record job={} error={error}", object.name);
                None
            }
        });
        Ok(decoded.collect())
    }

    /// Deletes a job. The record is deleted last, so that an interrupted deletion is retried in
    /// full.
    pub(crate) async fn delete_job(
        &self,
        id: &str,
        record: &JobRecord,
        revision: Revision,
    ) -> Result<(), StoreError> {
        for index in 0..record.item_objects {
            let name = format!("{id}.{index}");
            if let Some(object) = self.store.get(ITEM_KIND, &name).await? {
                self.store.delete(ITEM_KIND, &name, object.revision).await?;
            }
        }
        let mut chunk_revisions = Vec::new();
        let chunk_name = |number: usize| format!("{id}.{number}");
        while let Some(chunk) =
            self.store.get(RESULT_KIND, &chunk_name(chunk_revisions.len())).await?
        {
            chunk_revisions.push(chunk.revision);
        }
        // The last chunk is deleted first, so that the others are still found after an interruption.
        for (number, chunk_revision) in chunk_revisions.into_iter().enumerate().rev() {
            self.store.delete(RESULT_KIND, &chunk_name(number), chunk_revision).await?;
        }
        self.store.delete(JOB_KIND, id, revision).await
    }

    /// Stores a chunk of results under its number, unless another node has stored that chunk.
    ///
    /// # Errors
    ///
    /// After an error the write may have succeeded, or may still take effect.
    pub async fn store_chunk(
        &self,
        id: &str,
        number: usize,
        results: &[Rc<ItemResult>],
    ) -> Result<StoreChunkOutcome, StoreError> {
        let results: Vec<&ItemResult> = results.iter().map(|result| &**result).collect();
        match self.create_object(RESULT_KIND, &format!("{id}.{number}"), &results).await {
            Ok(_) => Ok(StoreChunkOutcome::Stored),
            Err((StoreError::Conflict(_), _)) => {
                let existing = self.read_chunk(id, number).await?;
                existing.map(StoreChunkOutcome::AlreadyStored).ok_or(StoreError::Conflict(None))
            }
            Err((error, _)) => Err(error),
        }
    }

    /// Returns how many of the results fit into one chunk; at least one, unless there are none.
    pub fn max_chunk_len(&self, results: &[Rc<ItemResult>]) -> usize {
        let max_bytes = self.max_object_bytes * MAX_FILL_PERCENT / 100;
        let mut bytes = 0;
        let fits_in_chunk = |result: &&Rc<ItemResult>| {
            bytes += result.encoded_bytes();
            bytes <= max_bytes
        };
        results.iter().take_while(fits_in_chunk).count().max(1).min(results.len())
    }

    /// Returns the result, or the result of an item that was given up if it does not fit into an
    /// object.
    pub fn storable_result(&self, result: &Rc<ItemResult>) -> Rc<ItemResult> {
        if result.encoded_bytes() + MAX_ENVELOPE_BYTES <= self.max_object_bytes {
            return result.clone();
        }
        Rc::new(ItemResult {
            outcome: ItemOutcome::Failed,
            text: String::new(),
            score: None,
            ..(**result).clone()
        })
    }

    /// Splits items into lists that fit into one object each.
    fn split_items(&self, items: &[Item]) -> Vec<Vec<Item>> {
        let max_bytes = self.max_object_bytes * MAX_FILL_PERCENT / 100;
        let mut item_lists: Vec<Vec<Item>> = vec![Vec::new()];
        let mut bytes = 0;
        for item in items {
            let item_bytes = serde_json::to_vec(item).map_or(0, |encoded| encoded.len());
            if bytes + item_bytes > max_bytes && bytes > 0 {
                item_lists.push(Vec::new());
                bytes = 0;
            }
            bytes += item_bytes;
            if let Some(item_list) = item_lists.last_mut() {
                item_list.push(item.clone());
            }
        }
        item_lists
    }

    /// Creates an object. The flag returned with an error is true if the object may exist already,
    /// or may still be created by a delayed write.
    async fn create_object<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        content: &T,
    ) -> Result<Revision, (StoreError, bool)> {
        let value = encode(content).map_err(|error| (error, false))?;
        let mut response_lost = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.store.put(kind, name, Precondition::Absent, &value).await {
                Ok(revision) => return Ok(revision),
                Err(StoreError::ResponseLost(_)) if attempts < MAX_WRITE_ATTEMPTS => {
                    response_lost = true
                }
                Err(error @ StoreError::ResponseLost(_)) => return Err((error, true)),
                // After a lost response, a conflict may be with the object of an earlier attempt.
                Err(error) => return Err((error, response_lost)),
            }
        }
    }

    /// Reads an object that never changes. The cheaper read that may be outdated is sufficient if
    /// it finds the object.
    async fn read_immutable<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<T>, StoreError> {
        let object = match self.store.get_stale(kind, name).await? {
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
