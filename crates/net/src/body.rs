//! HTTP body of all servers and clients.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// Number of chunks that a streamed body holds before its sender waits.
const STREAM_CAPACITY_CHUNKS: usize = 16;

/// A body that is complete or streamed through a channel.
///
/// A streamed body whose sender is dropped without [`BodySender::finish`] is aborted: the connection
/// closes without the end of the body, so that the receiver sees that it is cut short.
pub struct Body {
    inner: Inner,
}

enum Inner {
    Full(Option<Bytes>),
    Stream { receiver: mpsc::Receiver<Item>, finished: bool },
}

enum Item {
    Chunk(Bytes),
    End,
}

/// Sending half of a streamed body.
pub struct BodySender {
    sender: mpsc::Sender<Item>,
}

/// Error of a streamed body whose sender went away before the end.
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
        Self { inner: Inner::Full(Some(bytes.into())) }
    }

    /// Returns a streamed body and its sender.
    pub fn stream() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_CAPACITY_CHUNKS);
        (BodySender { sender }, Self { inner: Inner::Stream { receiver, finished: false } })
    }
}

impl BodySender {
    /// Sends a chunk; waits while the receiver is slow.
    ///
    /// # Errors
    ///
    /// Returns [`BodyAborted`] if the receiver is gone.
    pub async fn send(&self, chunk: impl Into<Bytes>) -> Result<(), BodyAborted> {
        self.sender.send(Item::Chunk(chunk.into())).await.map_err(|_| BodyAborted)
    }

    /// Ends the body as complete.
    pub async fn finish(self) {
        let _ = self.sender.send(Item::End).await;
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut self.inner {
            Inner::Full(bytes) => {
                let chunk = bytes.take().filter(|chunk| !chunk.is_empty());
                Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            Inner::Stream { finished: true, .. } => Poll::Ready(None),
            Inner::Stream { receiver, finished } => match receiver.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Item::Chunk(chunk))) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
                Poll::Ready(Some(Item::End)) => {
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
        match &self.inner {
            Inner::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Inner::Stream { finished, .. } => *finished,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.inner {
            Inner::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Inner::Stream { .. } => SizeHint::default(),
        }
    }
}
