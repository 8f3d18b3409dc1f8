//! Client of the object API.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use deck_core::id::Revision;
use deck_net::Client;
use futures_util::{StreamExt, future::LocalBoxFuture, stream::LocalBoxStream};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::HttpObjectApi;

quick_error! {
    /// Error of a call on the object API.
    #[derive(Debug)]
    pub enum StoreError {
        /// The object changed since the version on which the write was conditional, or exists.
        /// Holds the current revision if the object exists.
        Conflict(current: Option<Revision>) {
            display("conflict: current revision is {current:?}")
        }
        /// The value is above the size limit.
        TooLarge {
            display("value is larger than {} bytes", deck_core::object::MAX_VALUE_BYTES)
        }
        /// The call rate is above the limit; the call had no effect.
        RateLimited(retry_after: Duration) {
            display("object API rate limit; retry after {} ms", retry_after.as_millis())
        }
        /// The object API is not reachable or refuses calls; the call had no effect.
        Unavailable(message: String) {
            display("object API unavailable: {message}")
        }
        /// The response was lost; a write may have taken effect.
        ResponseLost(message: String) {
            display("object API response lost: {message}")
        }
        /// The watch's start revision has been compacted; list again.
        Compacted {
            display("watch revision has been compacted")
        }
        /// The response is not of the expected form.
        Decode(message: String) {
            display("unexpected object API response: {message}")
        }
    }
}

/// An object as stored.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Object {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Revision of the last write.
    pub revision: Revision,
    /// Content, `{"schema":1,"spec":{..}}`.
    pub value: Value,
    /// Status, where the provider keeps it in the object itself.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub status: Value,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object must not exist.
    Absent,
    /// The object must have this revision.
    Revision(Revision),
}

/// One event of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// An object was written.
    Put(Object),
    /// An object was deleted; the revision is that of the deletion.
    Delete {
        /// Kind.
        kind: String,
        /// Name.
        name: String,
        /// Revision of the deletion.
        revision: Revision,
    },
    /// All writes up to this revision have been sent.
    Bookmark(Revision),
}

/// Time that a watch waits for a change. It bounds how long a silent connection goes unnoticed where
/// the probes of the connection fail to notice it.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How recent a read has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The read sees all writes that were acknowledged before it.
    Current,
    /// The read may return an older state; enough for objects that never change.
    MayBeOld,
}

/// Part of an object that a write replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteTo {
    /// The object's value.
    Object,
    /// The object's status.
    Status,
}

/// Calls on an object API, in the format of one provider.
pub trait ObjectApi {
    /// Returns an object, or `None` if it does not exist.
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        freshness: Freshness,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>>;

    /// Returns all objects of a kind and the revision of the list.
    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>>;

    /// Writes an object if `condition` holds and returns its new revision.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        to: WriteTo,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>>;

    /// Deletes an object if it still has `revision`.
    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>>;

    /// Starts a watch of `kinds` after revision `from`. A provider that answers each batch of
    /// changes by itself answers after `wait` also if there are none.
    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>>;
}

/// A running watch.
pub struct Watch {
    events: LocalBoxStream<'static, Result<WatchEvent, StoreError>>,
}

impl Watch {
    /// Returns a watch of the given events.
    pub fn new(events: LocalBoxStream<'static, Result<WatchEvent, StoreError>>) -> Self {
        Self { events }
    }

    /// Returns the events as a stream.
    pub fn into_events(self) -> LocalBoxStream<'static, Result<WatchEvent, StoreError>> {
        self.events
    }

    /// Returns the next event; `None` after the server has ended the watch.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
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
    /// Returns a client of the object API at `address`, in the project's own format.
    ///
    /// A call that takes longer than `call_timeout` fails; a write may still take effect.
    pub fn new(client: Client, address: SocketAddr, call_timeout: Duration) -> Self {
        Self::with_api(Rc::new(HttpObjectApi::new(client, address, call_timeout)))
    }

    /// Returns a client that makes its calls through `api`.
    pub fn with_api(api: Rc<dyn ObjectApi>) -> Self {
        Self { api }
    }

    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.api.get(kind, name, Freshness::Current).await
    }

    /// Returns an object as it was at some time; cheaper than [`Store::get`]. Enough for objects that
    /// never change, and for reads that a conditional write follows.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn get_any(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.api.get(kind, name, Freshness::MayBeOld).await
    }

    /// Returns all objects of a kind and the revision of the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn list(&self, kind: &str) -> Result<(Revision, Vec<Object>), StoreError> {
        self.api.list(kind).await
    }

    /// Writes an object if `condition` holds and returns its new revision.
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
        self.api.put(kind, name, WriteTo::Object, condition, value).await
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
        self.api.put(kind, name, WriteTo::Status, condition, status).await
    }

    /// Starts a watch of `kinds` after revision `from`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] if the events after `from` are no longer kept.
    pub async fn watch(&self, kinds: &[&str], from: Revision) -> Result<Watch, StoreError> {
        self.watch_for(kinds, from, WATCH_WAIT).await
    }

    /// Starts a watch that tells at least every `wait` that there are no changes, if the provider
    /// can do so.
    ///
    /// # Errors
    ///
    /// As [`Store::watch`].
    pub async fn watch_for(
        &self,
        kinds: &[&str],
        from: Revision,
        wait: Duration,
    ) -> Result<Watch, StoreError> {
        self.api.watch(kinds, from, wait).await
    }

    /// Deletes an object if it still has `revision`.
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

    /// Writes an object and resolves a lost response by reading the object back.
    ///
    /// `value` must be distinguishable from the writes of all others, for example by a nonce. The
    /// read back happens up to `tries` times.
    ///
    /// # Errors
    ///
    /// [`StoreError::ResponseLost`] means that the outcome is still not known.
    pub async fn put_resolved(
        &self,
        kind: &str,
        name: &str,
        condition: Precondition,
        value: &Value,
        tries: u32,
    ) -> Result<Revision, StoreError> {
        let lost = match self.put(kind, name, condition, value).await {
            Err(StoreError::ResponseLost(message)) => message,
            other => return other,
        };
        let mut backoff =
            crate::Backoff::new(Duration::from_millis(20), Duration::from_millis(500));
        for _ in 0..tries {
            monoio::time::sleep(backoff.next_wait()).await;
            match self.get(kind, name).await {
                Ok(Some(object)) if object.value == *value => return Ok(object.revision),
                // The write that is still on its way may take effect after this read, so a read of
                // the old state proves nothing. Writing again under the same condition does: one of
                // the two writes takes effect and the other one conflicts.
                Ok(current) if unchanged(&current, condition) => {
                    match self.put(kind, name, condition, value).await {
                        Err(StoreError::ResponseLost(_) | StoreError::Conflict(_)) => {}
                        other => return other,
                    }
                }
                Ok(current) => return Err(StoreError::Conflict(current.map(|o| o.revision))),
                Err(_) => {}
            }
        }
        Err(StoreError::ResponseLost(lost))
    }
}

fn unchanged(current: &Option<Object>, condition: Precondition) -> bool {
    match condition {
        Precondition::Absent => current.is_none(),
        Precondition::Revision(revision) => {
            current.as_ref().is_some_and(|object| object.revision == revision)
        }
    }
}
