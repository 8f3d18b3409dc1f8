//! Object API in the project's own HTTP format.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::Revision;
use deck_net::{
    Body, Client, ClientResponse, NetError,
    http::{Method, Request, StatusCode, header},
    sse::EventReader,
};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture};
use serde::Deserialize;
use serde_json::Value;

use crate::store::{
    Freshness, Object, ObjectApi, Precondition, StoreError, Watch, WatchEvent, WriteTo,
};

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

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

/// Object API at an address, in the project's own format.
pub struct HttpObjectApi {
    client: Client,
    address: SocketAddr,
    call_timeout: Duration,
}

impl HttpObjectApi {
    /// Returns a client of the object API at `address`.
    ///
    /// A call that takes longer than `call_timeout` fails; a write may still take effect.
    pub fn new(client: Client, address: SocketAddr, call_timeout: Duration) -> Self {
        Self { client, address, call_timeout }
    }

    async fn try_get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let response = self.call(Method::GET, &path, None, Vec::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => self.decode(response).await.map(Some),
        }
    }

    async fn try_list(&self, kind: &str) -> Result<(Revision, Vec<Object>), StoreError> {
        let path = format!("/v1/objects/{kind}");
        let response = self.call(Method::GET, &path, None, Vec::new()).await?;
        let list: ListResponse = self.decode(response).await?;
        Ok((list.revision, list.items))
    }

    async fn try_put(
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

    async fn try_delete(
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

    async fn try_watch(&self, kinds: &[&str], from: Revision) -> Result<Watch, StoreError> {
        let path = format!("/v1/watch?kinds={}&from={from}", kinds.join(","));
        let response = self.call(Method::GET, &path, None, Vec::new()).await?;
        if response.status == StatusCode::GONE {
            return Err(StoreError::Compacted);
        }
        if !response.status.is_success() {
            return Err(self.status_error(response).await);
        }
        Ok(event_watch(EventReader::new(response)))
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

impl ObjectApi for HttpObjectApi {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        _freshness: Freshness,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        self.try_get(kind, name).boxed_local()
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        self.try_list(kind).boxed_local()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        to: WriteTo,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        // In this format the status of an object is an object of its own.
        match to {
            WriteTo::Object => self.try_put(kind, name, condition, value).boxed_local(),
            WriteTo::Status => async {
                Err(StoreError::Decode("the status is not a part of the object".to_owned()))
            }
            .boxed_local(),
        }
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        self.try_delete(kind, name, revision).boxed_local()
    }

    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        _wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        self.try_watch(kinds, from).boxed_local()
    }
}

fn event_watch(events: EventReader) -> Watch {
    let events = futures_util::stream::unfold(events, |mut events| async move {
        match next_event(&mut events).await {
            Ok(Some(event)) => Some((Ok(event), events)),
            Ok(None) => None,
            Err(error) => Some((Err(error), events)),
        }
    });
    Watch::new(events.boxed_local())
}

async fn next_event(events: &mut EventReader) -> Result<Option<WatchEvent>, StoreError> {
    let event = match events.next().await {
        Ok(Some(event)) => event,
        Ok(None) => return Ok(None),
        Err(error) => return Err(StoreError::ResponseLost(error.to_string())),
    };
    let data: EventData =
        serde_json::from_str(&event.data).map_err(|error| StoreError::Decode(error.to_string()))?;
    let EventData { kind, name, revision, value } = data;
    match event.event.as_str() {
        "put" => {
            Ok(Some(WatchEvent::Put(Object { kind, name, revision, value, status: Value::Null })))
        }
        "delete" => Ok(Some(WatchEvent::Delete { kind, name, revision })),
        "bookmark" => Ok(Some(WatchEvent::Bookmark(revision))),
        other => Err(StoreError::Decode(format!("event {other:?}"))),
    }
}
