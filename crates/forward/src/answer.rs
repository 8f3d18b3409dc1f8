//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use deck_core::{error::CallError, id::TargetId};
use deck_fleet::ReplyHead;
use deck_net::{Body, Client, ClientResponse, NetError, server::json_response};
use futures_util::future::Either;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header};

use crate::{
    crashes::RunningCall,
    headers::strip_hop_by_hop,
    stream::{Resume, pass_events},
};

/// Answer of a target.
pub struct Reply {
    /// The target.
    pub target: TargetId,
    /// Status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// What the headers say about the answer.
    pub head: ReplyHead,
    /// Body.
    pub body: ReplyBody,
    /// Answers of targets with status 500 to this request, this answer included. Other failures, such
    /// as a 504 at the deadline, do not say that the request fails each time.
    pub failures: u32,
}

/// Body of an answer.
pub enum ReplyBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that is still being received.
    Stream(Box<Streamed>),
    /// Events that are still being received and may go on at another target.
    Events(Box<Streamed>, Box<Resume>),
}

/// Body that is still being received.
pub struct Streamed {
    /// First bytes of the body, which were received before it was known to be long.
    pub(crate) received: Bytes,
    pub(crate) response: ClientResponse,
    /// The request at its target.
    pub(crate) running: RunningCall,
    /// Client through which the body comes.
    pub(crate) client: Client,
}

impl Streamed {
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, NetError> {
        if !self.received.is_empty() {
            return Ok(Some(std::mem::take(&mut self.received)));
        }
        self.response.chunk().await
    }

    /// Takes note that the body has come to its proper end.
    pub(crate) fn complete(self) {
        self.running.survived();
    }

    /// Takes note that the body has broken off.
    pub(crate) fn broken(self) {
        let address = self.response.address();
        drop(self.response);
        self.running.broken(self.client, address);
    }
}

/// Returns the answer of a target as a response to the caller.
///
/// A streamed body that breaks off aborts the caller's connection, so that the answer does not look
/// complete.
pub fn reply_response(reply: Reply, method: &Method) -> Response<Body> {
    let Reply { status, mut headers, body, .. } = reply;
    strip_hop_by_hop(&mut headers);
    if *method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    let body = match body {
        ReplyBody::Whole(bytes) => Body::full(bytes),
        ReplyBody::Events(received, resume) => {
            let (sender, body) = Body::stream();
            monoio::spawn(pass_events(*received, *resume, sender));
            body
        }
        ReplyBody::Stream(mut received) => {
            let (sender, body) = Body::stream();
            monoio::spawn(async move {
                loop {
                    let next = race(received.chunk(), sender.closed()).await;
                    // The caller has left: dropping the response closes the target's connection.
                    let Some(next) = next else { return };
                    match next {
                        Ok(Some(chunk)) => {
                            if sender.send(chunk).await.is_err() {
                                return;
                            }
                        }
                        Ok(None) => {
                            received.complete();
                            return sender.finish().await;
                        }
                        Err(_) => return received.broken(),
                    }
                }
            });
            body
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns the result of `work`, or `None` if `stop` ends first.
pub(crate) async fn race<T>(
    work: impl Future<Output = T>,
    stop: impl Future<Output = ()>,
) -> Option<T> {
    let (work, stop) = (std::pin::pin!(work), std::pin::pin!(stop));
    match futures_util::future::select(work, stop).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => None,
    }
}

/// Returns the response for an error of the node's own; its extensions hold the error's
/// [`ErrorKind`](deck_core::error::ErrorKind).
pub fn error_response(error: &CallError, request_id: &str) -> Response<Body> {
    let mut response = json_response(error.kind.row().status, &error.body(request_id));
    response.extensions_mut().insert(error.kind);
    if let Some(wait) = error.retry_after
        && let Ok(value) = HeaderValue::from_str(&retry_after_seconds(wait))
    {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns a wait in seconds with a fraction of three digits.
fn retry_after_seconds(wait: Duration) -> String {
    format!("{:.3}", wait.as_secs_f64())
}
