//! Client of the object API.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::Revision;
use deck_net::{
    Body, Client, ClientResponse, NetError,
    http::{Method, Request, StatusCode, header},
    sse::EventReader,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

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

/// A running watch.
pub struct Watch {
    events: EventReader,
}

#[derive(Deserialize)]
struct ListResponse {
    revision: Revision,
    items: Vec<Object>,
}

#[derive(Deserialize)]
struct RevisionResponse {
    #[serde(default)]
    revision: Option<Revision>,
}

#[derive(Deserialize)]
struct EventData {
    #[serde(default)]
    kind: String,
    #[serde(default)]
    name: String,
    revision: Revision,
    #[serde(default)]
    value: Value,
}

/// Client of the object API.
#[derive(Clone)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    call_timeout: Duration,
}

impl Store {
    /// Returns a client of the object API at `address`.
    ///
    /// A call that takes longer than `call_timeout` fails; a write may still take effect.
    pub fn new(client: Client, address: SocketAddr, call_timeout: Duration) -> Self {
        Self { client, address, call_timeout }
    }

    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let response = self.call(Method::GET, &path, None, Vec::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => self.decode(response).await.map(Some),
        }
    }

    /// Returns all objects of a kind and the revision of the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the object API does not answer.
    pub async fn list(&self, kind: &str) -> Result<(Revision, Vec<Object>), StoreError> {
        let path = format!("/v1/objects/{kind}");
        let response = self.call(Method::GET, &path, None, Vec::new()).await?;
        let list: ListResponse = self.decode(response).await?;
        Ok((list.revision, list.items))
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
        let path = format!("/v1/objects/{kind}/{name}");
        let body =
            serde_json::to_vec(value).map_err(|error| StoreError::Decode(error.to_string()))?;
        if body.len() > deck_core::object::MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        let response = self.call(Method::PUT, &path, Some(condition), body).await?;
        let written: RevisionResponse = self.decode(response).await?;
        written.revision.ok_or_else(|| StoreError::Decode("no revision".to_owned()))
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
        let path = format!("/v1/objects/{kind}/{name}");
        let condition = Some(Precondition::Revision(revision));
        let response = self.call(Method::DELETE, &path, condition, Vec::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(()),
            _ => {
                self.decode::<Value>(response).await?;
                Ok(())
            }
        }
    }

    /// Starts a watch of `kinds` after revision `from`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] if the events after `from` are no longer kept.
    pub async fn watch(&self, kinds: &[&str], from: Revision) -> Result<Watch, StoreError> {
        let path = format!("/v1/watch?kinds={}&from={from}", kinds.join(","));
        let response = self.call(Method::GET, &path, None, Vec::new()).await?;
        if response.status == StatusCode::GONE {
            return Err(StoreError::Compacted);
        }
        if !response.status.is_success() {
            return Err(self.status_error(response).await);
        }
        Ok(Watch { events: EventReader::new(response) })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        condition: Option<Precondition>,
        body: Vec<u8>,
    ) -> Result<ClientResponse, StoreError> {
        let mut request = Request::builder().method(method).uri(path);
        request = match condition {
            None => request,
            Some(Precondition::Absent) => request.header(header::IF_NONE_MATCH, "*"),
            Some(Precondition::Revision(revision)) => {
                request.header(header::IF_MATCH, format!("\"{revision}\""))
            }
        };
        let request = request
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::full(body))
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        let sent = self.client.send(self.address, request);
        match monoio::time::timeout(self.call_timeout, sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.may_have_been_sent() => {
                Err(StoreError::ResponseLost(error.to_string()))
            }
            Ok(Err(error)) => Err(StoreError::Unavailable(error.to_string())),
            Err(_) => {
                let limit_ms = self.call_timeout.as_millis();
                Err(StoreError::ResponseLost(format!("no response within {limit_ms} ms")))
            }
        }
    }

    async fn decode<T: serde::de::DeserializeOwned>(
        &self,
        response: ClientResponse,
    ) -> Result<T, StoreError> {
        if !response.status.is_success() {
            return Err(self.status_error(response).await);
        }
        let bytes = self.collect(response).await?;
        serde_json::from_slice(&bytes).map_err(|error| StoreError::Decode(error.to_string()))
    }

    async fn collect(&self, response: ClientResponse) -> Result<Vec<u8>, StoreError> {
        let collected = response.collect(MAX_RESPONSE_BYTES);
        match monoio::time::timeout(self.call_timeout, collected).await {
            Ok(Ok(bytes)) => Ok(bytes.to_vec()),
            Ok(Err(NetError::BodyTooLarge(limit))) => {
                Err(StoreError::Decode(format!("response is larger than {limit} bytes")))
            }
            Ok(Err(error)) => Err(StoreError::ResponseLost(error.to_string())),
            Err(_) => Err(StoreError::ResponseLost("body not received in time".to_owned())),
        }
    }

    async fn status_error(&self, response: ClientResponse) -> StoreError {
        let status = response.status;
        let retry_after = response
            .headers
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map_or(Duration::from_secs(1), Duration::from_secs);
        let body = match self.collect(response).await {
            Ok(body) => body,
            Err(error) => return error,
        };
        match status {
            StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => {
                let current = serde_json::from_slice::<RevisionResponse>(&body).ok();
                StoreError::Conflict(current.and_then(|current| current.revision))
            }
            StatusCode::PAYLOAD_TOO_LARGE => StoreError::TooLarge,
            StatusCode::TOO_MANY_REQUESTS => StoreError::RateLimited(retry_after),
            StatusCode::SERVICE_UNAVAILABLE => StoreError::Unavailable("status 503".to_owned()),
            // Any other server error may come after the write took effect.
            status if status.is_server_error() => {
                StoreError::ResponseLost(format!("status {status}"))
            }
            status => StoreError::Decode(format!("status {status}")),
        }
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

impl Watch {
    /// Returns the next event; `None` after the server has ended the watch.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>, StoreError> {
        let event = match self.events.next().await {
            Ok(Some(event)) => event,
            Ok(None) => return Ok(None),
            Err(error) => return Err(StoreError::ResponseLost(error.to_string())),
        };
        let data: EventData = serde_json::from_str(&event.data)
            .map_err(|error| StoreError::Decode(error.to_string()))?;
        let EventData { kind, name, revision, value } = data;
        match event.event.as_str() {
            "put" => Ok(Some(WatchEvent::Put(Object { kind, name, revision, value }))),
            "delete" => Ok(Some(WatchEvent::Delete { kind, name, revision })),
            "bookmark" => Ok(Some(WatchEvent::Bookmark(revision))),
            other => Err(StoreError::Decode(format!("event {other:?}"))),
        }
    }
}
