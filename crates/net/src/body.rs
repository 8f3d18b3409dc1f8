//! Body of HTTP requests and responses, complete or streamed.

use std::{
    convert::Infallible,
    pin::{Pin, pin},
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// Capacity of the channel of a streamed body; the sender waits while it is full.
const STREAM_CAPACITY_CHUNKS: usize = 16;

/// A body that is complete or streamed through a channel.
///
/// A streamed body whose sender is dropped without [`BodySender::finish`] is aborted: the
/// connection closes before the end of the body, so that the peer detects the truncation.
pub struct Body {
    source: BodySource,
}

enum BodySource {
    Full(Option<Bytes>),
    /// `finished` is set once the end of the body or an error has been returned.
    Stream {
        receiver: mpsc::Receiver<StreamItem>,
        finished: bool,
    },
}

/// Message from a [`BodySender`] to its body.
enum StreamItem {
    Chunk(Bytes),
    End,
}

/// Sending half of a streamed body.
pub struct BodySender {
    sender: mpsc::Sender<StreamItem>,
}

/// Error of a streamed body whose sender was dropped before [`BodySender::finish`], or whose
/// receiver was dropped.
#[derive(Debug)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("body aborted before its end")
    }
}

impl std::error::Error for BodyAborted {}

impl From<Infallible> for BodyAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body {
    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// Returns a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self { source: BodySource::Full(Some(bytes.into())) }
    }

    /// Returns a streamed body and its sender.
    pub fn stream() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_CAPACITY_CHUNKS);
        (BodySender { sender }, Self { source: BodySource::Stream { receiver, finished: false } })
    }
}

impl BodySender {
    /// Sends a chunk; waits while the channel is full.
    ///
    /// # Errors
    ///
    /// Returns [`BodyAborted`] if the receiver has been dropped.
    pub async fn send(&self, chunk: impl Into<Bytes>) -> Result<(), BodyAborted> {
        self.sender.send(StreamItem::Chunk(chunk.into())).await.map_err(|_| BodyAborted)
    }

    /// Marks the body as complete.
    pub async fn finish(self) {
        let _ = self.sender.send(StreamItem::End).await;
    }

    /// Waits until the receiver has been dropped.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Returns the result of `work`, or `None` if the receiver is dropped first.
    pub async fn run_until_closed<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let (work, closed) = (pin!(work), pin!(self.closed()));
        match select(work, closed).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut self.source {
            BodySource::Full(bytes) => {
                let chunk = bytes.take().filter(|chunk| !chunk.is_empty());
                Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            BodySource::Stream { finished: true, .. } => Poll::Ready(None),
            BodySource::Stream { receiver, finished } => match receiver.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(StreamItem::Chunk(chunk))) => {
                    Poll::Ready(Some(Ok(Frame::data(chunk))))
                }
                Poll::Ready(Some(StreamItem::End)) => {
                    *finished = true;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    *finished = true;
                    Poll::Ready(Some(Err(BodyAborted)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Stream { finished, .. } => *finished,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            BodySource::Stream { .. } => SizeHint::default(),
        }
    }
}
