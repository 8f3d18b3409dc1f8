//! Object API: trait, client, errors and watch events.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use deck_core::id::Revision;
use deck_net::Client;
use futures_util::{StreamExt, future::LocalBoxFuture, stream::LocalBoxStream};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::HttpObjectApi;

quick_error! {
    /// Error of a call to the object API.
    #[derive(Debug)]
    pub enum StoreError {
        /// The precondition of a write does not hold. Contains the current revision if the object
        /// exists.
        Conflict(current: Option<Revision>) {
            display("conflict: current revision is {current:?}")
        }
        /// The value exceeds the size limit.
        TooLarge {
            display("value is larger than {} bytes", deck_core::object::MAX_VALUE_BYTES)
        }
        /// The call rate exceeds the limit; the call had no effect. Contains the delay before a
        /// retry.
        RateLimited(retry_after: Duration) {
            display("object API rate limit; retry after {} ms", retry_after.as_millis())
        }
        /// The object API is unreachable or rejects calls; the call had no effect.
        Unavailable(message: String) {
            display("object API unavailable: {message}")
        }
        /// The response was lost; a write may have taken effect.
        ResponseLost(message: String) {
            display("object API response lost: {message}")
        }
        /// Events after the start revision of the watch are no longer available; list the objects
        /// again.
        Compacted {
            display("watch revision has been compacted")
        }
        /// The response has an unexpected format.
        Decode(message: String) {
            display("unexpected object API response: {message}")
        }
    }
}

/// Stored object.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object, for example a lease or a pool.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Revision of the last write.
    pub revision: Revision,
    /// Value in the form `{"schema":1,"spec":{..}}`.
    pub value: Value,
    /// Status, if the provider stores it in the object itself; null otherwise.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub status: Value,
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object must not exist.
    Absent,
    /// The object must have this revision.
    Revision(Revision),
}

/// Event of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// An object was created or replaced.
    Put(Object),
    /// An object was deleted.
    Delete {
        /// Kind of the deleted object.
        kind: String,
        /// Name of the deleted object.
        name: String,
        /// Revision of the deletion.
        revision: Revision,
    },
    /// All changes up to this revision have been delivered.
    Bookmark(Revision),
}

/// Maximum time that a watch waits for a change. It limits how long a dead connection goes
/// unnoticed if the keep-alive probes of the connection do not detect it.
const DEFAULT_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// The read sees all writes that were acknowledged before it.
    Strong,
    /// The read may return an older revision; sufficient for immutable objects.
    Stale,
}

/// Part of an object that a write replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectPart {
    /// The value of the object.
    Object,
    /// The status of the object.
    Status,
}

/// Object API of one provider.
pub trait ObjectApi {
    /// Returns an object, or `None` if it does not exist.
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        consistency: ReadConsistency,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>>;

    /// Returns all objects of a kind and the revision of the list.
    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>>;

    /// Writes a part of an object if `condition` holds and returns the new revision.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        part: ObjectPart,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>>;

    /// Deletes an object if its current revision is `revision`.
    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>>;

    /// Starts a watch of `kinds` for changes after revision `from`. A provider that delivers
    /// changes by long polling responds after `wait` even if there are none.
    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>>;
}

/// Running watch, as a stream of events.
pub struct Watch {
    events: LocalBoxStream<'static, Result<WatchEvent, StoreError>>,
}

impl Watch {
    /// Returns a watch with the given stream of events.
    pub fn new(events: LocalBoxStream<'static, Result<WatchEvent, StoreError>>) -> Self {
        Self { events }
    }

    /// Returns the events as a stream.
    pub fn into_events(self) -> LocalBoxStream<'static, Result<WatchEvent, StoreError>> {
        self.events
    }

    /// Returns the next event, or `None` after the server has ended the watch.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or events have been compacted.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>, StoreError> {
        self.events.next().await.transpose()
    }
}

/// Client of an object API; clones share their connections.
#[derive(Clone)]
pub struct Store {
    api: Rc<dyn ObjectApi>,
}

impl Store {
    /// Returns a client of the object API at `address`, which uses the built-in HTTP format.
    ///
    /// A call fails if it takes longer than `call_timeout`; a write may still take effect.
    pub fn new(client: Client, address: SocketAddr, call_timeout: Duration) -> Self {
        Self::with_api(Rc::new(HttpObjectApi::new(client, address, call_timeout)))
    }

    /// Returns a client that uses `api`.
    pub fn with_api(api: Rc<dyn ObjectApi>) -> Self {
        Self { api }
    }

    /// Returns the current revision of an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the object API fails.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.api.get(kind, name, ReadConsistency::Strong).await
    }

    /// Returns an object that may be stale; cheaper than [`Store::get`]. Sufficient for immutable
    /// objects and for reads that are followed by a conditional write.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the object API fails.
    pub async fn get_stale(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.api.get(kind, name, ReadConsistency::Stale).await
    }

    /// Returns all objects of a kind and the revision of the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the object API fails.
    pub async fn list(&self, kind: &str) -> Result<(Revision, Vec<Object>), StoreError> {
        self.api.list(kind).await
    }

    /// Writes the value of an object if `condition` holds and returns its new revision.
    ///
    /// # Errors
    ///
    /// [`StoreError::ResponseLost`] means that the write may have taken effect.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        condition: Precondition,
        value: &Value,
    ) -> Result<Revision, StoreError> {
        self.api.put(kind, name, ObjectPart::Object, condition, value).await
    }

    /// Replaces the status of an object if `condition` holds and returns its new revision.
    ///
    /// # Errors
    ///
    /// [`StoreError::ResponseLost`] means that the write may have taken effect.
    pub async fn put_status(
        &self,
        kind: &str,
        name: &str,
        condition: Precondition,
        status: &Value,
    ) -> Result<Revision, StoreError> {
        self.api.put(kind, name, ObjectPart::Status, condition, status).await
    }

    /// Starts a watch of `kinds` for changes after revision `from`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] if changes after `from` are no longer available.
    pub async fn watch(&self, kinds: &[&str], from: Revision) -> Result<Watch, StoreError> {
        self.watch_with_wait(kinds, from, DEFAULT_WATCH_WAIT).await
    }

    /// Starts a watch that sends a bookmark at least every `wait` if there are no changes, provided
    /// that the object API supports it.
    ///
    /// # Errors
    ///
    /// The same errors as [`Store::watch`].
    pub async fn watch_with_wait(
        &self,
        kinds: &[&str],
        from: Revision,
        wait: Duration,
    ) -> Result<Watch, StoreError> {
        self.api.watch(kinds, from, wait).await
    }

    /// Deletes an object if its current revision is `revision`.
    ///
    /// # Errors
    ///
    /// [`StoreError::ResponseLost`] means that the deletion may have taken effect.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        revision: Revision,
    ) -> Result<(), StoreError> {
        self.api.delete(kind, name, revision).await
    }

    /// Writes an object and, if the response is lost, reads the object back to determine whether
    /// the write took effect.
    ///
    /// `value` must differ from the values of all other writers, for example by a nonce. The object
    /// is read back at most `max_attempts` times.
    ///
    /// # Errors
    ///
    /// [`StoreError::ResponseLost`] means that the outcome is still unknown.
    pub async fn put_with_read_back(
        &self,
        kind: &str,
        name: &str,
        condition: Precondition,
        value: &Value,
        max_attempts: u32,
    ) -> Result<Revision, StoreError> {
        let lost_response = match self.put(kind, name, condition, value).await {
            Err(StoreError::ResponseLost(message)) => message,
            other => return other,
        };
        let mut backoff =
            crate::Backoff::new(Duration::from_millis(20), Duration::from_millis(500));
        for _ in 0..max_attempts {
            monoio::time::sleep(backoff.next_delay()).await;
            match self.get(kind, name).await {
                Ok(Some(object)) if object.value == *value => return Ok(object.revision),
                // Reading the old state proves nothing, because the write may still be in transit.
                // Repeating it with the same precondition is conclusive: one of the two writes
                // takes effect and the other one conflicts.
                Ok(current) if satisfies_precondition(&current, condition) => {
                    // An error of the repeated write shows nothing about the first one.
                    if let Ok(revision) = self.put(kind, name, condition, value).await {
                        return Ok(revision);
                    }
                }
                Ok(current) => return Err(StoreError::Conflict(current.map(|o| o.revision))),
                Err(_) => {}
            }
        }
        Err(StoreError::ResponseLost(lost_response))
    }
}

/// Returns whether a write with this precondition would still be accepted.
fn satisfies_precondition(current: &Option<Object>, condition: Precondition) -> bool {
    match condition {
        Precondition::Absent => current.is_none(),
        Precondition::Revision(revision) => {
            current.as_ref().is_some_and(|object| object.revision == revision)
        }
    }
}
