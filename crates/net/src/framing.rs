//! Check of request heads that hyper does not make.
//!
//! A request with both `Content-Length` and `Transfer-Encoding` may mean two different requests to
//! two readers. hyper drops the length and goes on; the server has to refuse it. hyper does not
//! show the dropped header to the service, so the bytes of the connection are inspected on their
//! way to hyper.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use http::{HeaderValue, Request, Response, header};
use hyper::{
    body::Incoming,
    rt::{Read, ReadBuf, ReadBufCursor, Write},
};

use crate::{Body, server::json_response};

/// First bytes of a line that are kept: enough for the two header names and a length.
const MAX_LINE_PREFIX: usize = 64;
/// Bytes inspected at a time.
const PIECE_BYTES: usize = 8192;

/// What the inspector expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Request line, after any empty lines.
    RequestLine,
    /// Header lines up to an empty one.
    Headers,
    /// Body with this many bytes left.
    Body(u64),
    /// Line with the size of a chunk.
    ChunkSize,
    /// Data of a chunk with its line end.
    ChunkData(u64),
    /// Lines after the last chunk up to an empty one.
    Trailers,
    /// Nothing further is inspected: the connection will close.
    Off,
}

/// Finds requests with ambiguous framing in the bytes of a connection.
#[derive(Debug)]
pub struct FramingInspector {
    state: State,
    /// Beginning of the current line. Invariant: at most `MAX_LINE_PREFIX` bytes.
    line: Vec<u8>,
    length: Option<u64>,
    has_transfer_encoding: bool,
    /// Heads seen so far.
    heads: u64,
    /// Number of the head that is ambiguous, from 1.
    ambiguous: Option<u64>,
}

impl Default for FramingInspector {
    fn default() -> Self {
        Self {
            state: State::RequestLine,
            line: Vec::new(),
            length: None,
            has_transfer_encoding: false,
            heads: 0,
            ambiguous: None,
        }
    }
}

impl FramingInspector {
    /// Inspects the next bytes of the connection.
    pub fn inspect(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.state {
                State::Off => return,
                State::Body(left) => {
                    let taken = left.min(bytes.len() as u64);
                    bytes = &bytes[taken as usize..];
                    let next = State::Body(left - taken);
                    self.state = if left == taken { State::RequestLine } else { next };
                }
                State::ChunkData(left) => {
                    let taken = left.min(bytes.len() as u64);
                    bytes = &bytes[taken as usize..];
                    let next = State::ChunkData(left - taken);
                    self.state = if left == taken { State::ChunkSize } else { next };
                }
                _ => match bytes.iter().position(|&byte| byte == b'\n') {
                    Some(end) => {
                        self.keep(&bytes[..end]);
                        bytes = &bytes[end + 1..];
                        self.end_line();
                    }
                    None => {
                        self.keep(bytes);
                        return;
                    }
                },
            }
        }
    }

    /// Returns the number of the head with ambiguous framing, from 1.
    pub fn ambiguous(&self) -> Option<u64> {
        self.ambiguous
    }

    fn keep(&mut self, bytes: &[u8]) {
        let room = MAX_LINE_PREFIX - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match self.state {
            State::RequestLine if line.is_empty() => {}
            State::RequestLine => {
                self.heads += 1;
                self.length = None;
                self.has_transfer_encoding = false;
                self.state = State::Headers;
            }
            State::Headers if line.is_empty() => self.end_head(),
            State::Headers => self.header(line),
            State::ChunkSize => self.chunk_size(line),
            State::Trailers if line.is_empty() => self.state = State::RequestLine,
            State::Trailers | State::Body(_) | State::ChunkData(_) | State::Off => {}
        }
    }

    fn header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|&byte| byte == b':') else { return };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            // hyper refuses a malformed length and closes the connection.
            self.length = Some(length.unwrap_or(0));
        }
    }

    fn end_head(&mut self) {
        self.state = match (self.has_transfer_encoding, self.length) {
            (true, Some(_)) => {
                self.ambiguous = Some(self.heads);
                State::Off
            }
            (true, None) => State::ChunkSize,
            (false, Some(length)) if length > 0 => State::Body(length),
            (false, _) => State::RequestLine,
        };
    }

    fn chunk_size(&mut self, line: &[u8]) {
        let digits = line.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii();
        let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
        self.state = match size {
            Some(0) => State::Trailers,
            // The line end after the data is part of the chunk.
            Some(size) => State::ChunkData(size.saturating_add(2)),
            None => State::Off,
        };
    }
}

/// Inspection of one connection, shared by its stream and its service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Inspection {
    inspector: Rc<RefCell<FramingInspector>>,
    served: Rc<Cell<u64>>,
}

impl Inspection {
    /// Wraps the stream of the connection.
    pub(crate) fn stream<S>(&self, stream: S, write_timeout: Duration) -> InspectedStream<S> {
        let inspector = self.inspector.clone();
        InspectedStream { stream, inspector, write_timeout, stalled: None }
    }

    /// Wraps the service of the connection: an ambiguous request is refused.
    pub(crate) fn service<H, F>(
        self,
        handler: Rc<H>,
    ) -> impl Fn(Request<Incoming>) -> Pin<Box<dyn Future<Output = Response<Body>>>>
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        move |request| {
            self.served.set(self.served.get() + 1);
            if self.inspector.borrow().ambiguous() == Some(self.served.get()) {
                return Box::pin(std::future::ready(refusal()));
            }
            Box::pin(handler(request))
        }
    }
}

fn refusal() -> Response<Body> {
    use deck_core::error::{CallError, ErrorKind};
    let message = "both content-length and transfer-encoding are given";
    let error = CallError::new(ErrorKind::BadRequest, message);
    let mut response =
        json_response(error.kind.row().status, &error.body(&deck_core::id::random_id()));
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Stream whose received bytes are inspected, and whose writes have to go on.
pub(crate) struct InspectedStream<S> {
    stream: S,
    inspector: Rc<RefCell<FramingInspector>>,
    write_timeout: Duration,
    /// Runs while the receiver takes no bytes.
    stalled: Option<Pin<Box<monoio::time::Sleep>>>,
}

impl<S> InspectedStream<S> {
    /// Passes on the result of a write, or an error if writes have been pending for too long.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<std::io::Result<T>>,
    ) -> Poll<std::io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let timeout = self.write_timeout;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(monoio::time::sleep(timeout)));
        match stalled.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(std::io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: Read + Unpin> Read for InspectedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut bytes = [0_u8; PIECE_BYTES];
        let wanted = buf.remaining().min(PIECE_BYTES);
        let mut piece = ReadBuf::new(&mut bytes[..wanted]);
        match Pin::new(&mut self.stream).poll_read(cx, piece.unfilled()) {
            Poll::Ready(Ok(())) => {
                self.inspector.borrow_mut().inspect(piece.filled());
                buf.put_slice(piece.filled());
                Poll::Ready(Ok(()))
            }
            other => other,
        }
    }
}

impl<S: Write + Unpin> Write for InspectedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_stall(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_stall(cx, written)
    }
}
