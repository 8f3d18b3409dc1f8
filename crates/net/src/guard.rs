//! Bounds on what a server may send before the head of its response is complete.

use std::{
    cell::Cell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Most bytes that a server may send until the head of its response is complete: informational
/// responses, the head, and what arrives with it of the body.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Reads in a row after which other tasks and timers get their turn. Without it, a server that sends
/// faster than its bytes are read holds up the whole process.
const READS_PER_TURN: u32 = 16;
/// Bytes of one read.
const READ_BYTES: usize = 8 * 1024;

/// Bytes that may come before the head of a response is complete; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadBudget {
    /// `None` while no head is waited for.
    left: Rc<Cell<Option<usize>>>,
}

impl HeadBudget {
    /// Takes note that a request is sent on the connection.
    pub(crate) fn begin(&self) {
        self.left.set(Some(MAX_HEAD_BYTES));
    }

    /// Takes note that the head of the response is complete.
    pub(crate) fn end(&self) {
        self.left.set(None);
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.left.get() else { return Ok(()) };
        match left.checked_sub(bytes) {
            Some(left) => {
                self.left.set(Some(left));
                Ok(())
            }
            None => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("more than {MAX_HEAD_BYTES} bytes without the head of a response"),
            )),
        }
    }
}

/// Connection to a server whose reads are bounded.
pub(crate) struct GuardedIo<T> {
    inner: T,
    budget: HeadBudget,
    reads_in_turn: u32,
}

impl<T> GuardedIo<T> {
    pub(crate) fn new(inner: T, budget: HeadBudget) -> Self {
        Self { inner, budget, reads_in_turn: 0 }
    }
}

impl<T: Read + Unpin> Read for GuardedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads_in_turn >= READS_PER_TURN {
            self.reads_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut bytes = [const { MaybeUninit::uninit() }; READ_BYTES];
        let wanted = buffer.remaining().min(READ_BYTES);
        let mut read = ReadBuf::uninit(&mut bytes[..wanted]);
        match Pin::new(&mut self.inner).poll_read(cx, read.unfilled()) {
            Poll::Ready(Ok(())) => {
                self.reads_in_turn += 1;
                self.budget.spend(read.filled().len())?;
                buffer.put_slice(read.filled());
                Poll::Ready(Ok(()))
            }
            other => {
                self.reads_in_turn = 0;
                other
            }
        }
    }
}

impl<T: Write + Unpin> Write for GuardedIo<T> {
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
