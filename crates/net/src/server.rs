//! HTTP/1.1 server with bounded heads, connections and slow senders.

use std::{
    cell::Cell,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::CancellationToken;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use monoio::{
    io::{AsyncWriteRentExt, IntoPollIo},
    net::{ListenerOpts, TcpListener, TcpStream},
};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use tokio::sync::Notify;

use crate::{Body, NetError, body::BodyAborted, framing::Inspection};

/// Time without a new connection after which a draining listener is closed.
const LAST_ACCEPT: Duration = Duration::from_millis(20);

/// Time in which the first request of a connection has to arrive at a draining server.
const FIRST_REQUEST: Duration = Duration::from_secs(1);

/// Longest time in which a draining listener accepts; new connections may come without end.
const LAST_ACCEPT_TOTAL: Duration = Duration::from_secs(1);

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Largest request head in bytes; larger heads are answered with 431.
    pub max_head_bytes: usize,
    /// Most connections at a time; further ones are answered with 503 and closed.
    pub max_connections: usize,
    /// Time in which a request head has to arrive.
    pub head_timeout: Duration,
    /// Time without a byte that the receiver of a response takes, after which the connection
    /// closes.
    pub write_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 * 1024,
            max_connections: 10_000,
            head_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(60),
        }
    }
}

/// Binds a listener; port 0 takes a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    // Without SO_REUSEPORT a second process on the same port fails at its start and cannot take a
    // part of the connections.
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true).backlog(1024);
    TcpListener::bind_with_config(address, &options)
}

/// Serves connections until `drain` is cancelled, then finishes the requests in flight.
///
/// Returns after the last connection has closed. Each connection has a task of its own that runs
/// `handler` for one request after the other.
pub async fn serve<H, F>(
    listener: TcpListener,
    options: ServerOptions,
    drain: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_with(listener, move || options.clone(), drain, handler).await;
}

/// Serves like [`serve`] with limits that may change: each connection has those of its start.
pub async fn serve_with<O, H, F>(
    listener: TcpListener,
    options: O,
    drain: CancellationToken,
    handler: H,
) where
    O: Fn() -> ServerOptions,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(OpenConnections::default());
    let start = |stream: TcpStream| {
        let _ = stream.set_nodelay(true);
        let options = options();
        if open.count.get() >= options.max_connections {
            monoio::spawn(refuse_connection(stream));
            return;
        }
        let guard = open.clone().enter();
        let handler = handler.clone();
        let drain = drain.clone();
        monoio::spawn(async move {
            serve_connection(stream, &options, drain, handler).await;
            drop(guard);
        });
    };
    while let Some(accepted) = drain.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                // Out of file descriptors, for example: accepting again at once would spin.
                log::warn!(target: "net", "accept failed error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    // Closing the listener would reset connections that are established and not yet accepted.
    let accepted_until = Instant::now() + LAST_ACCEPT_TOTAL;
    while let Ok(Ok((stream, _))) = monoio::time::timeout(LAST_ACCEPT, listener.accept()).await {
        start(stream);
        if Instant::now() >= accepted_until {
            break;
        }
    }
    drop(listener);
    open.wait_until_empty().await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    options: &ServerOptions,
    drain: CancellationToken,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let Ok(stream) = stream.into_poll_io() else { return };
    let inspection = Inspection::default();
    let stream = inspection.stream(MonoioIo::new(stream), options.write_timeout);
    let handler = inspection.service(handler);
    let has_request = Rc::new(Cell::new(false));
    let noted = has_request.clone();
    let service = service_fn(move |request| {
        noted.set(true);
        let response = handler(request);
        async move {
            let response = response.await;
            // hyper closes the connection without a response when the service fails.
            match response.extensions().get::<DropConnection>() {
                Some(_) => Err(BodyAborted),
                None => Ok(response),
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.max_head_bytes.max(8192))
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let finished = drain.run_until_cancelled(connection.as_mut()).await;
    let result = match finished {
        Some(result) => result,
        None => {
            // hyper closes a connection at once that has no request yet. A request that is on its
            // way would then end without an answer, and its sender could not tell whether it ran.
            let wait = if has_request.get() { Duration::ZERO } else { FIRST_REQUEST };
            match monoio::time::timeout(wait, connection.as_mut()).await {
                Ok(result) => result,
                Err(_) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = result {
        log::debug!(target: "net", "connection closed error={error}");
    }
}

async fn refuse_connection(mut stream: TcpStream) {
    const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
        Content-Length: 0\r\nConnection: close\r\n\r\n";
    let _ = stream.write_all(RESPONSE).await;
}

#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    closed: Notify,
}

struct OpenGuard(Rc<OpenConnections>);

impl OpenConnections {
    fn enter(self: Rc<Self>) -> OpenGuard {
        self.count.set(self.count.get() + 1);
        OpenGuard(self)
    }

    async fn wait_until_empty(&self) {
        while self.count.get() > 0 {
            self.closed.notified().await;
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed.notify_one();
    }
}

/// Receives a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns [`NetError::BodyTooLarge`] above the limit and [`NetError::Body`] if the body is cut
/// short.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, NetError> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(NetError::BodyTooLarge(limit_bytes)),
        Err(error) => Err(NetError::Body(error.to_string())),
    }
}

/// Marks a response in whose place the server closes the connection.
#[derive(Clone, Copy)]
struct DropConnection;

/// Returns a response that is never sent: the server closes the connection without an answer.
pub fn drop_connection() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(DropConnection);
    response
}

/// Returns a response with a JSON body.
pub fn json_response<T: serde::Serialize>(status: u16, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(Body::full(bytes));
            *response.status_mut() =
                http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
            let json = http::HeaderValue::from_static("application/json");
            response.headers_mut().insert(http::header::CONTENT_TYPE, json);
            response
        }
        Err(error) => text_response(500, &error.to_string()),
    }
}

/// Returns a response with a plain text body.
pub fn text_response(status: u16, text: &str) -> Response<Body> {
    let mut response = Response::new(Body::full(text.to_owned()));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
    let plain = http::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(http::header::CONTENT_TYPE, plain);
    response
}

/// Returns a response without a body.
pub fn status_only(status: http::StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns the first value of a parameter in a query, as it stands there.
pub fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the value of a parameter that is a number.
pub fn number_parameter(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}
