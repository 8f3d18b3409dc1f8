//! Replies of targets and their conversion to responses to callers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use deck_core::{error::CallError, id::TargetId};
use deck_fleet::{ResponseMetadata, Target};
use deck_net::{
    Body, ClientResponse, NetError, hop_by_hop::strip_hop_by_hop, server::json_response,
};
use deck_reach::TargetClient;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header};

use crate::{
    crashes::RunningCall,
    stream::{StreamResumption, forward_events},
};

/// Reply of a target to a forwarded request.
pub struct Reply {
    /// Target that replied.
    pub target: TargetId,
    /// Entry of the target when the request was sent to it; `None` if the entry was removed just
    /// then.
    pub(crate) target_entry: Option<Rc<Target>>,
    /// When the request was sent, in milliseconds since the Unix epoch.
    pub(crate) sent_at_ms: u64,
    /// HTTP status as received from the target.
    pub status: StatusCode,
    /// Headers as received, hop-by-hop headers included.
    pub headers: HeaderMap,
    /// Parsed protocol headers, such as the request id, the signature and whether the request ran.
    pub metadata: ResponseMetadata,
    /// Body, buffered or still being received.
    pub body: ReplyBody,
    /// Replies with status 500 that targets have sent to this request, including this reply. Other
    /// failures, such as a 504 at the deadline, are not counted: they do not show that the request
    /// itself always fails.
    pub status_500_count: u32,
}

/// Body of a reply.
pub enum ReplyBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is still being received.
    Streaming(Box<StreamingBody>),
    /// An event stream that is still being received. If it breaks off, another target may resume it.
    EventStream(Box<StreamingBody>, Box<StreamResumption>),
}

impl ReplyBody {
    /// Receives and drops the rest of the body; returns whether it is complete.
    pub async fn receive_to_end(self) -> bool {
        let mut streaming = match self {
            Self::Buffered(_) => return true,
            Self::Streaming(streaming) | Self::EventStream(streaming, _) => streaming,
        };
        loop {
            match streaming.next_chunk().await {
                Ok(Some(_)) => {}
                Ok(None) => {
                    streaming.record_complete();
                    return true;
                }
                Err(_) => {
                    streaming.record_broken();
                    return false;
                }
            }
        }
    }
}

/// Body that is still being received from a target.
pub struct StreamingBody {
    /// Start of a body that was too large to buffer; empty once it has been forwarded.
    pub(crate) prefix: Bytes,
    pub(crate) response: ClientResponse,
    /// Crash tracking of the request, which still runs at its target.
    pub(crate) running_call: RunningCall,
    /// Client that receives the body.
    pub(crate) client: TargetClient,
    /// Address of the target; the body may come from a node that relays it.
    pub(crate) target_address: SocketAddr,
}

impl StreamingBody {
    /// Returns the next part of the body, or `None` at its end.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, NetError> {
        if !self.prefix.is_empty() {
            return Ok(Some(std::mem::take(&mut self.prefix)));
        }
        self.response.chunk().await
    }

    /// As [`StreamingBody::next_chunk`], but fails when the target is silent and out of reach.
    pub(crate) async fn next_chunk_within_reach(&mut self) -> Result<Option<Bytes>, NetError> {
        let (client, sender) = (self.client.clone(), self.response.address());
        client.unless_out_of_reach(sender, self.next_chunk()).await
    }

    /// Records that the body was received to its end, so the request has not crashed the target.
    pub(crate) fn record_complete(self) {
        self.running_call.record_success();
    }

    /// Closes the connection of a body that broke off and checks whether its target has crashed.
    pub(crate) fn record_broken(self) {
        drop(self.response);
        self.running_call.detect_crash(self.client, self.target_address);
    }
}

/// Converts a target's reply to the response to the caller.
///
/// If a streamed body breaks off and cannot be resumed, the caller's connection is aborted, so that
/// the response does not look complete.
pub fn response_from_reply(reply: Reply, method: &Method) -> Response<Body> {
    let Reply { status, mut headers, body, .. } = reply;
    strip_hop_by_hop(&mut headers);
    if *method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    let body = match body {
        ReplyBody::Buffered(bytes) => Body::full(bytes),
        ReplyBody::EventStream(streaming, resumption) => {
            let (sender, body) = Body::stream();
            monoio::spawn(forward_events(*streaming, *resumption, sender));
            body
        }
        ReplyBody::Streaming(mut streaming) => {
            let (sender, body) = Body::stream();
            monoio::spawn(async move {
                loop {
                    let next = sender.run_until_closed(streaming.next_chunk()).await;
                    // The caller has disconnected: dropping the body closes the target's connection.
                    let Some(next) = next else { return };
                    match next {
                        Ok(Some(chunk)) => {
                            if sender.send(chunk).await.is_err() {
                                return;
                            }
                        }
                        Ok(None) => {
                            streaming.record_complete();
                            return sender.finish().await;
                        }
                        Err(_) => return streaming.record_broken(),
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

/// Returns the response for an error that this node itself produced. The response's extensions hold
/// the error's [`ErrorKind`](deck_core::error::ErrorKind).
pub fn error_response(error: &CallError, request_id: &str) -> Response<Body> {
    let mut response = json_response(error.kind.properties().status, &error.body(request_id));
    response.extensions_mut().insert(error.kind);
    if let Some(wait) = error.retry_after
        && let Ok(value) = HeaderValue::from_str(&retry_after_seconds(wait))
    {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Formats a Retry-After value in seconds with three decimal places.
fn retry_after_seconds(wait: Duration) -> String {
    format!("{:.3}", wait.as_secs_f64())
}
