//! HTTP/1.1 server with limits on request heads, connections and slow clients.

use std::{
    cell::Cell,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::CancellationToken;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use monoio::{
    io::{AsyncWriteRentExt, IntoPollIo},
    net::{ListenerOpts, TcpListener, TcpStream},
};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use tokio::sync::Notify;

use crate::{
    Account, Body, NetError,
    account::{Discarding, TrackedBody, TrackedConnection},
    body::BodyAborted,
    body_buffer::BodyBuffer,
    framing::FramingInspection,
    ledger::{ClientTimeouts, Phase, ServerId},
};

/// Time without a new connection after which a draining server closes its listener.
const DRAIN_ACCEPT_IDLE_TIMEOUT: Duration = Duration::from_millis(20);

/// Time that a draining server waits for the first request of an open connection.
const DRAIN_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum total time during which a draining server accepts connections.
const DRAIN_ACCEPT_TOTAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which connections are checked for clients that exceed a time limit.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which a request whose connection is closed while its body is received is answered.
const CLOSING_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time for which the rest of a refused body is received.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Maximum size of a request head; larger ones are answered with 431. Values below 8 KiB count
    /// as 8 KiB.
    pub max_head_bytes: usize,
    /// Maximum number of open connections; further ones are answered with 503 and closed.
    pub max_connections: usize,
    /// Whether the connection with the least progress is closed in favour of a further one, which is
    /// then refused only if all connections wait for their handlers.
    pub replaces_least_progress: bool,
    /// Maximum time to receive a request head; then the connection is closed.
    pub head_timeout: Duration,
    /// Time without progress in writing a response after which the connection is closed.
    pub write_timeout: Duration,
    /// Time limits of clients that make little progress.
    pub client_timeouts: ClientTimeouts,
    /// Account of what is held for the clients, which several servers may share.
    pub account: Account,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 * 1024,
            max_connections: 10_000,
            replaces_least_progress: false,
            head_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(60),
            client_timeouts: ClientTimeouts::default(),
            account: Account::default(),
        }
    }
}

/// Binds a listener; for port 0 the system chooses a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    // Without SO_REUSEPORT, a second process on the same port fails at its start instead of taking
    // some of the connections.
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true).backlog(1024);
    TcpListener::bind_with_config(address, &options)
}

/// Serves connections until `drain` is cancelled, then finishes the requests in flight.
///
/// Returns after the last connection has closed. Each connection has its own task, which runs
/// `handler` for one request at a time.
pub async fn serve<H, F>(
    listener: TcpListener,
    options: ServerOptions,
    drain: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_with_dynamic_options(listener, move || options.clone(), drain, handler).await;
}

/// Like [`serve`], but calls `options` to get the limits for each new connection, so that changed
/// settings apply without a restart.
pub async fn serve_with_dynamic_options<O, H, F>(
    listener: TcpListener,
    options: O,
    drain: CancellationToken,
    handler: H,
) where
    O: Fn() -> ServerOptions + 'static,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    let options = Rc::new(options);
    let connections = Rc::new(OpenConnections::default());
    let account = options().account;
    let server = account.register_server();
    let serving = CancellationToken::new();
    let _stop_checks = serving.clone().drop_guard();
    monoio::spawn(close_expired_connections(
        account.clone(),
        server,
        options.clone(),
        connections.clone(),
        serving,
    ));
    // Returns whether the server is full, so that this or another connection is closed.
    let start_connection = |stream: TcpStream| {
        let _ = stream.set_nodelay(true);
        let options = options();
        let is_full = connections.count.get() >= options.max_connections;
        let can_replace = options.replaces_least_progress;
        if is_full && !(can_replace && account.close_least_progress(server)) {
            monoio::spawn(refuse_connection(stream));
            return true;
        }
        let guard = connections.clone().register();
        let connection = account.open(server);
        let handler = handler.clone();
        let drain = drain.clone();
        monoio::spawn(async move {
            connection
                .clone()
                .scope(serve_connection(stream, &options, drain, handler, connection))
                .await;
            drop(guard);
        });
        is_full
    };
    while let Some(accepted) = drain.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, _)) => {
                if start_connection(stream) {
                    yield_to_closing_tasks().await;
                }
            }
            Err(error) => {
                // For example, no file descriptors are left; retrying without a pause would
                // busy-loop.
                log::warn!(target: "net", "accept failed error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    // Closing the listener resets connections that are established but not yet accepted, so these
    // are accepted first.
    let accept_deadline = Instant::now() + DRAIN_ACCEPT_TOTAL_TIMEOUT;
    while let Ok(Ok((stream, _))) =
        monoio::time::timeout(DRAIN_ACCEPT_IDLE_TIMEOUT, listener.accept()).await
    {
        start_connection(stream);
        if Instant::now() >= accept_deadline {
            break;
        }
    }
    drop(listener);
    connections.wait_until_closed().await;
}

/// Closes the connections whose clients exceed a time limit until `cancel` is cancelled.
async fn close_expired_connections<O: Fn() -> ServerOptions>(
    account: Account,
    server: ServerId,
    options: Rc<O>,
    connections: Rc<OpenConnections>,
    cancel: CancellationToken,
) {
    while cancel.run_until_cancelled(monoio::time::sleep(EXPIRY_INTERVAL)).await.is_some() {
        if connections.count.get() > 0 {
            account.close_expired(server, &options().client_timeouts);
        }
    }
}

/// Lets the tasks that close connections run, so that their descriptors become free before the next
/// connection is accepted.
pub async fn yield_to_closing_tasks() {
    let mut has_yielded = false;
    std::future::poll_fn(|cx| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    options: &ServerOptions,
    drain: CancellationToken,
    handler: Rc<H>,
    tracked: Rc<TrackedConnection>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let Ok(stream) = stream.into_poll_io() else { return };
    let framing_inspection = FramingInspection::default();
    let stream = framing_inspection.inspect_request_framing(
        MonoioIo::new(stream),
        options.write_timeout,
        tracked.clone(),
    );
    let handler = framing_inspection.refuse_ambiguous_requests(handler);
    let has_received_request = Rc::new(Cell::new(false));
    let has_received_request_in_service = has_received_request.clone();
    let tracked_in_service = tracked.clone();
    let service = service_fn(move |request| {
        has_received_request_in_service.set(true);
        tracked_in_service.start_request();
        let tracked = tracked_in_service.clone();
        let response = handler(request);
        async move {
            let response = response.await;
            // hyper closes the connection without a response if the service returns an error.
            match response.extensions().get::<CloseWithoutResponse>() {
                Some(_) => Err(BodyAborted),
                None => Ok(response.map(|body| TrackedBody::new(body, tracked))),
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.max_head_bytes.max(8192))
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let served = async {
        let result_before_drain = drain.run_until_cancelled(connection.as_mut()).await;
        match result_before_drain {
            Some(result) => result,
            None => {
                // On a graceful shutdown, hyper closes a connection without a request at once. A
                // request in transit would get no response, and the client could not tell whether
                // it ran.
                let first_request_timeout = if has_received_request.get() {
                    Duration::ZERO
                } else {
                    DRAIN_FIRST_REQUEST_TIMEOUT
                };
                match monoio::time::timeout(first_request_timeout, connection.as_mut()).await {
                    Ok(result) => result,
                    Err(_) => {
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    }
                }
            }
        }
    };
    let mut served = std::pin::pin!(served);
    let result = match tracked.closing.run_until_cancelled(served.as_mut()).await {
        Some(result) => result,
        None if tracked.is_receiving_body() => {
            // The request is answered with the reason for which its body is not received.
            let answered = monoio::time::timeout(CLOSING_ANSWER_TIMEOUT, served).await;
            answered.unwrap_or(Ok(()))
        }
        None => return,
    };
    if let Err(error) = result {
        log::debug!(target: "net", "connection closed error={error}");
    }
}

/// Answers a connection above the limit with 503 and closes it.
async fn refuse_connection(mut stream: TcpStream) {
    const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
        Content-Length: 0\r\nConnection: close\r\n\r\n";
    let _ = stream.write_all(RESPONSE).await;
}

/// Counter of the open connections of a server.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    /// Notified each time a connection closes.
    connection_closed: Notify,
}

/// Guard that counts a connection as open until the guard is dropped.
struct OpenConnectionGuard(Rc<OpenConnections>);

impl OpenConnections {
    fn register(self: Rc<Self>) -> OpenConnectionGuard {
        self.count.set(self.count.get() + 1);
        OpenConnectionGuard(self)
    }

    async fn wait_until_closed(&self) {
        while self.count.get() > 0 {
            self.connection_closed.notified().await;
        }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.connection_closed.notify_one();
    }
}

/// Receives the whole body of a request, of at most `limit_bytes`. Inside a server, the body is held
/// in the account of its connection until the request has been answered.
///
/// # Errors
///
/// Returns [`NetError::BodyTooLarge`] above the limit, [`NetError::OutOfMemory`] if no memory is left
/// for the body, [`NetError::BodyTimeout`] if it arrives too slowly, and [`NetError::Body`] if it is
/// truncated.
pub async fn read_body(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, NetError> {
    let Some(connection) = TrackedConnection::current() else {
        return receive_body(&mut body, limit_bytes, None).await;
    };
    connection.set_phase(Phase::Body);
    let receive = receive_body(&mut body, limit_bytes, Some(&connection));
    let received = connection.closing.run_until_cancelled(receive).await;
    let is_closing = received.is_none();
    connection.set_phase(Phase::Running);
    let received = received.unwrap_or_else(|| Err(connection.closed_error()));
    if received.is_err() {
        connection.release_request();
    }
    if matches!(received, Err(NetError::OutOfMemory)) && !is_closing {
        monoio::spawn(discard_body(body, limit_bytes, connection.start_discarding()));
    }
    received
}

/// Receives the rest of a refused body without holding it, so that the client reads the refusal
/// instead of losing its connection while it sends.
async fn discard_body(mut body: Incoming, limit_bytes: usize, _discarding: Discarding) {
    let discard = async {
        let mut discarded_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > limit_bytes {
                return;
            }
        }
    };
    let _ = monoio::time::timeout(DISCARD_TIMEOUT, discard).await;
}

async fn receive_body(
    body: &mut Incoming,
    limit_bytes: usize,
    connection: Option<&TrackedConnection>,
) -> Result<Bytes, NetError> {
    let expected_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected_bytes > limit_bytes {
        return Err(NetError::BodyTooLarge(limit_bytes));
    }
    let mut received = BodyBuffer::new(expected_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| NetError::Body(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if data.len() > limit_bytes - received.len() {
            return Err(NetError::BodyTooLarge(limit_bytes));
        }
        if let Some(connection) = connection {
            connection.hold_body(data.len()).await?;
        }
        if received.len() == 0 && data.len() == expected_bytes && body.is_end_stream() {
            return Ok(data);
        }
        // The body is copied out of the read buffer, of which each part would hold the whole.
        received.push(&data);
    }
    Ok(received.into_bytes())
}

/// Response extension that makes the server close the connection instead of responding.
#[derive(Clone, Copy)]
struct CloseWithoutResponse;

/// Returns a placeholder response: the server closes the connection without sending anything.
pub fn close_without_response() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(CloseWithoutResponse);
    response
}

/// Returns a response with a JSON body, or one with status 500 if `value` cannot be encoded.
pub fn json_response<T: serde::Serialize>(status: u16, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(Body::full(bytes));
            *response.status_mut() =
                http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
            let content_type = http::HeaderValue::from_static("application/json");
            response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
            response
        }
        Err(error) => text_response(500, &error.to_string()),
    }
}

/// Returns a response with a plain text body.
pub fn text_response(status: u16, text: &str) -> Response<Body> {
    let mut response = Response::new(Body::full(text.to_owned()));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
    let content_type = http::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Returns a response without a body.
pub fn empty_response(status: http::StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns the first value of a parameter in a query string, without percent-decoding.
pub fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the first value of a query parameter as a number; `None` if it is absent or not a
/// number.
pub fn numeric_query_parameter(query: &str, name: &str) -> Option<u64> {
    query_parameter(query, name)?.parse().ok()
}
