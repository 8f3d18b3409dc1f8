//! Read limits of client connections: the size of a response head, and the number of consecutive
//! reads. Reads are also recorded as activity of the connection.

use std::{
    cell::Cell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

use crate::{client::Activity, turns::wake_after_others};

/// Maximum number of bytes received until the head of a response is complete: informational (1xx)
/// responses, the head, and the part of the body that arrives with it.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Number of consecutive reads after which the task yields to other tasks and timers. Without the
/// limit, a server that sends faster than the client reads blocks the single-threaded runtime.
const MAX_CONSECUTIVE_READS: u32 = 16;
/// Size of the buffer for one read from the connection.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Number of bytes that may still be received before the head of a response is complete; clones
/// share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadBudget {
    /// `None` while no response head is expected.
    remaining_bytes: Rc<Cell<Option<usize>>>,
}

impl HeadBudget {
    /// Starts counting; called before a request is sent.
    pub(crate) fn start(&self) {
        self.remaining_bytes.set(Some(MAX_HEAD_BYTES));
    }

    /// Stops counting; called when the head of the response is complete.
    pub(crate) fn stop(&self) {
        self.remaining_bytes.set(None);
    }

    /// Subtracts received bytes from the budget while a response head is expected.
    ///
    /// # Errors
    ///
    /// Returns an error if the received bytes exceed the budget.
    fn count_received(&self, received_bytes: usize) -> io::Result<()> {
        let Some(remaining) = self.remaining_bytes.get() else { return Ok(()) };
        match remaining.checked_sub(received_bytes) {
            Some(remaining) => {
                self.remaining_bytes.set(Some(remaining));
                Ok(())
            }
            None => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("more than {MAX_HEAD_BYTES} bytes without the head of a response"),
            )),
        }
    }
}

/// Client connection that limits the head of each response and yields between reads.
pub(crate) struct LimitedIo<T> {
    inner: T,
    head_budget: HeadBudget,
    activity: Rc<Activity>,
    /// Number of reads that returned data since the task last yielded.
    consecutive_reads: u32,
}

impl<T> LimitedIo<T> {
    pub(crate) fn new(inner: T, head_budget: HeadBudget, activity: Rc<Activity>) -> Self {
        Self { inner, head_budget, activity, consecutive_reads: 0 }
    }
}

impl<T: Read + Unpin> Read for LimitedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.consecutive_reads >= MAX_CONSECUTIVE_READS {
            self.consecutive_reads = 0;
            wake_after_others(cx.waker());
            return Poll::Pending;
        }
        let mut bytes = [const { MaybeUninit::uninit() }; MAX_READ_BYTES];
        let max_bytes = buffer.remaining().min(MAX_READ_BYTES);
        let mut read = ReadBuf::uninit(&mut bytes[..max_bytes]);
        match Pin::new(&mut self.inner).poll_read(cx, read.unfilled()) {
            Poll::Ready(Ok(())) => {
                self.consecutive_reads += 1;
                if !read.filled().is_empty() {
                    self.activity.record_received();
                }
                self.head_budget.count_received(read.filled().len())?;
                buffer.put_slice(read.filled());
                Poll::Ready(Ok(()))
            }
            pending_or_error => {
                self.consecutive_reads = 0;
                pending_or_error
            }
        }
    }
}

impl<T: Write + Unpin> Write for LimitedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, buffers)
    }
}
