//! Client for object APIs that use the built-in HTTP and JSON format.

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

use crate::{
    RawJson,
    store::{
        Object, ObjectApi, ObjectPart, Precondition, ReadConsistency, StoreError, Watch, WatchEvent,
    },
};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Response to a write; the body of a conflict has the same form, with the current revision.
#[derive(Deserialize)]
struct RevisionResponse {
    #[serde(default)]
    revision: Option<Revision>,
}

/// Client of an object API that uses the built-in HTTP and JSON format.
pub struct HttpObjectApi {
    client: Client,
    address: SocketAddr,
    call_timeout: Duration,
}

impl HttpObjectApi {
    /// Returns a client of the object API at `address`.
    ///
    /// A call fails if it takes longer than `call_timeout`; a write may still take effect.
    pub fn new(client: Client, address: SocketAddr, call_timeout: Duration) -> Self {
        Self { client, address, call_timeout }
    }

    async fn get_object(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let response = self.send_request(Method::GET, &path, None, Vec::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => {
                let body = self.success_body(response).await?;
                decode_object(RawJson::new(&body)).map(Some)
            }
        }
    }

    async fn list_objects(&self, kind: &str) -> Result<(Revision, Vec<Object>), StoreError> {
        let path = format!("/v1/objects/{kind}");
        let response = self.send_request(Method::GET, &path, None, Vec::new()).await?;
        let body = self.success_body(response).await?;
        let list = RawJson::new(&body).members();
        let revision = list.as_ref().and_then(|list| list.decode("revision"));
        let items = list.as_ref().and_then(|list| list.get("items")?.elements());
        let (Some(revision), Some(items)) = (revision, items) else {
            return Err(StoreError::Decode("no list of objects".to_owned()));
        };
        let decode = |item: RawJson<'_>| {
            let log_error =
                |error: &StoreError| log::warn!(target: "store", "kind={kind} error={error}");
            decode_object(item).inspect_err(log_error).ok()
        };
        Ok((revision, items.into_iter().filter_map(decode).collect()))
    }

    async fn put_object(
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
        let response = self.send_request(Method::PUT, &path, Some(condition), body).await?;
        if !response.status.is_success() {
            return Err(self.error_from_response(response).await);
        }
        // The write has taken effect, whatever its response contains.
        let put_response: Result<RevisionResponse, _> = self.decode_response(response).await;
        let revision = put_response.ok().and_then(|response| response.revision);
        revision.ok_or_else(|| StoreError::ResponseLost("no revision".to_owned()))
    }

    async fn delete_object(
        &self,
        kind: &str,
        name: &str,
        revision: Revision,
    ) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let condition = Some(Precondition::Revision(revision));
        let response = self.send_request(Method::DELETE, &path, condition, Vec::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(()),
            _ => {
                self.decode_response::<Value>(response).await?;
                Ok(())
            }
        }
    }

    async fn watch_objects(&self, kinds: &[&str], from: Revision) -> Result<Watch, StoreError> {
        let path = format!("/v1/watch?kinds={}&from={from}", kinds.join(","));
        let response = self.send_request(Method::GET, &path, None, Vec::new()).await?;
        if response.status == StatusCode::GONE {
            return Err(StoreError::Compacted);
        }
        if !response.status.is_success() {
            return Err(self.error_from_response(response).await);
        }
        Ok(watch_from_events(EventReader::new(response)))
    }

    async fn send_request(
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
        let pending_response = self.client.send(self.address, request);
        match monoio::time::timeout(self.call_timeout, pending_response).await {
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

    async fn decode_response<T: serde::de::DeserializeOwned>(
        &self,
        response: ClientResponse,
    ) -> Result<T, StoreError> {
        let bytes = self.success_body(response).await?;
        serde_json::from_slice(&bytes).map_err(|error| StoreError::Decode(error.to_string()))
    }

    /// Returns the body of a successful response.
    async fn success_body(&self, response: ClientResponse) -> Result<Vec<u8>, StoreError> {
        if !response.status.is_success() {
            return Err(self.error_from_response(response).await);
        }
        self.read_body(response).await
    }

    async fn read_body(&self, response: ClientResponse) -> Result<Vec<u8>, StoreError> {
        let pending_body = response.collect(MAX_RESPONSE_BYTES);
        match monoio::time::timeout(self.call_timeout, pending_body).await {
            Ok(Ok(bytes)) => Ok(bytes.to_vec()),
            Ok(Err(NetError::BodyTooLarge(limit))) => {
                Err(StoreError::Decode(format!("response is larger than {limit} bytes")))
            }
            Ok(Err(error)) => Err(StoreError::ResponseLost(error.to_string())),
            Err(_) => Err(StoreError::ResponseLost("body not received in time".to_owned())),
        }
    }

    /// Converts an unsuccessful response to an error.
    async fn error_from_response(&self, response: ClientResponse) -> StoreError {
        let status = response.status;
        let retry_after = response
            .headers
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map_or(Duration::from_secs(1), Duration::from_secs);
        let body = match self.read_body(response).await {
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
            // The write may have taken effect before any other server error occurred.
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
        _consistency: ReadConsistency,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        self.get_object(kind, name).boxed_local()
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        self.list_objects(kind).boxed_local()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        part: ObjectPart,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        // In this format the status is stored as a separate object.
        match part {
            ObjectPart::Object => self.put_object(kind, name, condition, value).boxed_local(),
            ObjectPart::Status => async {
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
        self.delete_object(kind, name, revision).boxed_local()
    }

    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        _wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        self.watch_objects(kinds, from).boxed_local()
    }
}

fn watch_from_events(events: EventReader) -> Watch {
    let events = futures_util::stream::unfold(events, |mut events| async move {
        match next_watch_event(&mut events).await {
            Ok(Some(event)) => Some((Ok(event), events)),
            Ok(None) => None,
            Err(error) => Some((Err(error), events)),
        }
    });
    Watch::new(events.boxed_local())
}

async fn next_watch_event(events: &mut EventReader) -> Result<Option<WatchEvent>, StoreError> {
    let event = match events.next().await {
        Ok(Some(event)) => event,
        Ok(None) => return Ok(None),
        Err(error) => return Err(StoreError::ResponseLost(error.to_string())),
    };
    let data = RawJson::new(event.data.as_bytes());
    let members = data.members();
    let text = |field: &str| members.as_ref().and_then(|data| data.decode(field));
    let (kind, name) = (text("kind").unwrap_or_default(), text("name").unwrap_or_default());
    let revision: Option<Revision> = members.as_ref().and_then(|data| data.decode("revision"));
    // Without the revision or the object, only a list shows which objects have not changed and the
    // revision to continue from.
    let relist = |error: StoreError| {
        log::warn!(target: "store", "undecodable change error={error}");
        StoreError::Compacted
    };
    let revision = revision.ok_or_else(|| relist(StoreError::Decode("no revision".to_owned())))?;
    match event.event_type.as_str() {
        "put" => decode_object(data).map(|object| Some(WatchEvent::Put(object))).map_err(relist),
        "delete" => Ok(Some(WatchEvent::Delete { kind, name, revision })),
        "bookmark" => Ok(Some(WatchEvent::Bookmark(revision))),
        other => Err(StoreError::Decode(format!("event {other:?}"))),
    }
}

/// Decodes an object. A value that cannot be decoded is null, so that its reader ignores the object
/// like any other that is not valid, and an own object can be replaced.
fn decode_object(object: RawJson<'_>) -> Result<Object, StoreError> {
    let invalid = |field: &str| StoreError::Decode(format!("object with an invalid {field}"));
    let members = object.members().ok_or_else(|| invalid("form"))?;
    let kind = members.decode("kind").ok_or_else(|| invalid("kind"))?;
    let name = members.decode("name").ok_or_else(|| invalid("name"))?;
    let revision = members.decode("revision").ok_or_else(|| invalid("revision"))?;
    let value = members.get("value").map_or(Ok(Value::Null), RawJson::decode);
    let value = value.unwrap_or_else(|error| {
        log::warn!(target: "store", "undecodable object kind={kind} name={name:?} error={error}");
        Value::Null
    });
    let status = members.decode("status").unwrap_or(Value::Null);
    Ok(Object { kind, name, revision, value, status })
}
