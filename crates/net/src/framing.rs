//! Detection of requests with ambiguous framing, which hyper accepts.
//!
//! Two HTTP implementations may see different ends of a request with both `Content-Length` and
//! `Transfer-Encoding`, which allows request smuggling, so the server has to refuse it. hyper drops
//! the length and does not show the dropped header to the service. The received bytes are therefore
//! inspected before hyper parses them.

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

use crate::{Body, account::TrackedConnection, server::json_response};

/// Maximum number of stored bytes of each line. `Transfer-Encoding`, and `Content-Length` with its
/// value, fit.
const MAX_LINE_PREFIX_BYTES: usize = 64;
/// Size of the buffer for one read from the connection: one byte less than the smallest read buffer of
/// `hyper`, which doubles its buffer after a read that has
/// filled it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Element of a request that the inspector expects next in the received bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExpectedElement {
    /// Request line, possibly preceded by empty lines.
    RequestLine,
    /// Header line, or the empty line that ends the head.
    Headers,
    /// Body; the value is the number of its bytes that have not been received yet.
    Body(u64),
    /// Line with the size of a chunk.
    ChunkSize,
    /// Data of a chunk and its line end; the value is the number of their bytes that have not been
    /// received yet.
    ChunkData(u64),
    /// Trailer line after the last chunk, or the empty line that ends the request.
    Trailers,
    /// Nothing, because the framing is ambiguous or a chunk size is invalid. The connection will be
    /// closed, so further bytes are ignored.
    Nothing,
}

/// Parser that finds requests with ambiguous framing in the bytes received on a connection.
#[derive(Debug)]
pub struct FramingInspector {
    expected_element: ExpectedElement,
    /// Beginning of the current line. Invariant: at most `MAX_LINE_PREFIX_BYTES` bytes.
    line: Vec<u8>,
    /// Value of `Content-Length` in the current head; 0 if it is malformed.
    content_length: Option<u64>,
    /// Whether the current head contains `Transfer-Encoding`.
    has_transfer_encoding: bool,
    /// Number of request heads started so far.
    head_count: u64,
    /// Number of the request with ambiguous framing, counted from 1; later requests are not
    /// inspected.
    ambiguous_request_number: Option<u64>,
}

impl Default for FramingInspector {
    fn default() -> Self {
        Self {
            expected_element: ExpectedElement::RequestLine,
            line: Vec::new(),
            content_length: None,
            has_transfer_encoding: false,
            head_count: 0,
            ambiguous_request_number: None,
        }
    }
}

impl FramingInspector {
    /// Inspects the next bytes received on the connection.
    pub fn inspect(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.expected_element {
                ExpectedElement::Nothing => return,
                ExpectedElement::Body(remaining) => {
                    let skipped_bytes = remaining.min(bytes.len() as u64);
                    bytes = &bytes[skipped_bytes as usize..];
                    let unfinished_element = ExpectedElement::Body(remaining - skipped_bytes);
                    self.expected_element = if remaining == skipped_bytes {
                        ExpectedElement::RequestLine
                    } else {
                        unfinished_element
                    };
                }
                ExpectedElement::ChunkData(remaining) => {
                    let skipped_bytes = remaining.min(bytes.len() as u64);
                    bytes = &bytes[skipped_bytes as usize..];
                    let unfinished_element = ExpectedElement::ChunkData(remaining - skipped_bytes);
                    self.expected_element = if remaining == skipped_bytes {
                        ExpectedElement::ChunkSize
                    } else {
                        unfinished_element
                    };
                }
                _ => match bytes.iter().position(|&byte| byte == b'\n') {
                    Some(line_end) => {
                        self.append_to_line(&bytes[..line_end]);
                        bytes = &bytes[line_end + 1..];
                        self.end_line();
                    }
                    None => {
                        self.append_to_line(bytes);
                        return;
                    }
                },
            }
        }
    }

    /// Returns the number of the request with ambiguous framing, counted from 1; `None` if none was
    /// found.
    pub fn ambiguous_request_number(&self) -> Option<u64> {
        self.ambiguous_request_number
    }

    /// Appends bytes to the current line, up to the limit.
    fn append_to_line(&mut self, bytes: &[u8]) {
        let capacity = MAX_LINE_PREFIX_BYTES - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match self.expected_element {
            ExpectedElement::RequestLine if line.is_empty() => {}
            ExpectedElement::RequestLine => {
                self.head_count += 1;
                self.content_length = None;
                self.has_transfer_encoding = false;
                self.expected_element = ExpectedElement::Headers;
            }
            ExpectedElement::Headers if line.is_empty() => self.end_head(),
            ExpectedElement::Headers => self.parse_header(line),
            ExpectedElement::ChunkSize => self.parse_chunk_size(line),
            ExpectedElement::Trailers if line.is_empty() => {
                self.expected_element = ExpectedElement::RequestLine
            }
            ExpectedElement::Trailers
            | ExpectedElement::Body(_)
            | ExpectedElement::ChunkData(_)
            | ExpectedElement::Nothing => {}
        }
    }

    fn parse_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|&byte| byte == b':') else { return };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            // hyper rejects a malformed length and closes the connection.
            self.content_length = Some(length.unwrap_or(0));
        }
    }

    fn end_head(&mut self) {
        self.expected_element = match (self.has_transfer_encoding, self.content_length) {
            (true, Some(_)) => {
                self.ambiguous_request_number = Some(self.head_count);
                ExpectedElement::Nothing
            }
            (true, None) => ExpectedElement::ChunkSize,
            (false, Some(length)) if length > 0 => ExpectedElement::Body(length),
            (false, _) => ExpectedElement::RequestLine,
        };
    }

    fn parse_chunk_size(&mut self, line: &[u8]) {
        let digits = line.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii();
        let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
        self.expected_element = match size {
            Some(0) => ExpectedElement::Trailers,
            // The line end after the data is part of the chunk.
            Some(size) => ExpectedElement::ChunkData(size.saturating_add(2)),
            None => ExpectedElement::Nothing,
        };
    }
}

/// State of the framing inspection on one connection. The stream, which detects ambiguous requests,
/// and the service, which refuses them, share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct FramingInspection {
    inspector: Rc<RefCell<FramingInspector>>,
    /// Number of requests that hyper has passed to the service.
    request_count: Rc<Cell<u64>>,
}

impl FramingInspection {
    /// Wraps the stream of the connection: the framing of the received requests is inspected, and a
    /// write without progress fails after `write_timeout`.
    pub(crate) fn inspect_request_framing<S>(
        &self,
        stream: S,
        write_timeout: Duration,
        connection: Rc<TrackedConnection>,
    ) -> FramingInspectedStream<S> {
        let inspector = self.inspector.clone();
        FramingInspectedStream { stream, inspector, connection, write_timeout, stall_timer: None }
    }

    /// Wraps the service of the connection to refuse a request with ambiguous framing.
    pub(crate) fn refuse_ambiguous_requests<H, F>(
        self,
        handler: Rc<H>,
    ) -> impl Fn(Request<Incoming>) -> Pin<Box<dyn Future<Output = Response<Body>>>>
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        move |request| {
            self.request_count.set(self.request_count.get() + 1);
            if self.inspector.borrow().ambiguous_request_number() == Some(self.request_count.get())
            {
                return Box::pin(std::future::ready(ambiguous_framing_response()));
            }
            Box::pin(handler(request))
        }
    }
}

/// Returns the error response to a request with ambiguous framing; it closes the connection.
fn ambiguous_framing_response() -> Response<Body> {
    use deck_core::error::{CallError, ErrorKind};
    let message = "both content-length and transfer-encoding are given";
    let error = CallError::new(ErrorKind::BadRequest, message);
    let mut response =
        json_response(error.kind.properties().status, &error.body(&deck_core::id::random_id()));
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Stream that passes the received bytes to a [`FramingInspector`] and fails if a write makes no
/// progress for `write_timeout`.
pub(crate) struct FramingInspectedStream<S> {
    stream: S,
    inspector: Rc<RefCell<FramingInspector>>,
    connection: Rc<TrackedConnection>,
    write_timeout: Duration,
    /// Timer of `write_timeout`; set while a write is pending.
    stall_timer: Option<Pin<Box<monoio::time::Sleep>>>,
}

impl<S> FramingInspectedStream<S> {
    /// Returns the result of a write, or an error if writes have been pending for `write_timeout`.
    fn check_write_timeout(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.connection.record_written(bytes);
        }
        if written.is_ready() {
            self.stall_timer = None;
            return written;
        }
        let timeout = self.write_timeout;
        let stall_timer =
            self.stall_timer.get_or_insert_with(|| Box::pin(monoio::time::sleep(timeout)));
        match stall_timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(std::io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: Read + Unpin> Read for FramingInspectedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut bytes = [0_u8; MAX_READ_BYTES];
        let max_bytes = buf.remaining().min(MAX_READ_BYTES);
        let mut received = ReadBuf::new(&mut bytes[..max_bytes]);
        match Pin::new(&mut self.stream).poll_read(cx, received.unfilled()) {
            Poll::Ready(Ok(())) => {
                self.inspector.borrow_mut().inspect(received.filled());
                self.connection.record_received(received.filled().len());
                buf.put_slice(received.filled());
                Poll::Ready(Ok(()))
            }
            pending_or_error => pending_or_error,
        }
    }
}

impl<S: Write + Unpin> Write for FramingInspectedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_write_timeout(cx, written)
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
        self.check_write_timeout(cx, written)
    }
}
