//! HTTP/1.1 client with a pool of idle connections.
//!
//! A connection returns to the pool only after the whole response has been read, so that a late or
//! abandoned response cannot be mistaken for the response to another request.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use monoio::{io::IntoPollIo, net::TcpStream};
use monoio_compat::hyper::MonoioIo;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    Body, NetError,
    read_limit::{HeadBudget, LimitedIo},
    turns::FairTask,
};

/// Minimum idle time of a connection before it is reused. A faulty server may send two responses to
/// one request. If the second one arrives while the connection is idle, the connection closes and
/// the response is not mistaken for the response to the next request.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(2);

/// Connect timeout of the check whether a server still accepts connections.
const LISTEN_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which an exiting process closes all its sockets.
const SOCKET_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Timeouts and connection limits of a client.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections per address.
    pub max_idle_per_address: usize,
    /// Idle time after which a connection is not reused. A shorter timeout in the `Keep-Alive`
    /// header of the server takes precedence.
    pub idle_timeout: Duration,
    /// TCP keep-alive probes, which detect connections to unresponsive peers; `None` disables them.
    pub tcp_keepalive: Option<TcpKeepaliveOptions>,
}

/// Settings of the TCP keep-alive probes of a connection.
#[derive(Debug, Clone, Copy)]
pub struct TcpKeepaliveOptions {
    /// Idle time before the first probe, and the interval between probes.
    pub interval: Duration,
    /// Number of unanswered probes after which the connection is closed.
    pub count: u32,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle_per_address: 32,
            idle_timeout: Duration::from_secs(30),
            tcp_keepalive: None,
        }
    }
}

/// HTTP client; clones share their idle connections.
#[derive(Clone, Default)]
pub struct Client {
    options: ClientOptions,
    pool: Rc<Pool>,
    /// Receives the outcomes of the connection attempts of this clone.
    connect_observer: Option<Rc<dyn ConnectObserver>>,
}

/// Receives the outcomes of connection attempts. Implementations must not block.
pub trait ConnectObserver {
    /// A connection to `address` was established.
    fn on_connected(&self, address: SocketAddr);

    /// No connection to `address` was established: it was refused, or not accepted in time.
    fn on_connect_failed(&self, address: SocketAddr);
}

/// Connections by server address.
#[derive(Default)]
struct Pool {
    /// Invariant: the connections to an address are in the order in which they became idle.
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Activity of the connections, whether idle or in use. Entries of closed connections are
    /// removed when another connection is opened.
    open: RefCell<HashMap<SocketAddr, Vec<Weak<Activity>>>>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// Time from which the connection is no longer reused.
    expires_at: Instant,
}

/// Open HTTP/1.1 connection that carries one request at a time.
struct Connection {
    sender: SendRequest<Body>,
    head_budget: HeadBudget,
    activity: Rc<Activity>,
}

/// Times of a connection that show whether it has fallen silent.
#[derive(Debug)]
pub(crate) struct Activity {
    opened_at: Instant,
    /// Time of the last bytes received from the server, at first that of the opening.
    last_received_at: Cell<Instant>,
}

impl Activity {
    fn new() -> Self {
        let now = Instant::now();
        Self { opened_at: now, last_received_at: Cell::new(now) }
    }

    /// Records that bytes have arrived from the server.
    pub(crate) fn record_received(&self) {
        self.last_received_at.set(Instant::now());
    }
}

/// Last exchange of a call: the activity of its connection, and when the request was sent.
type ExchangeRecord = RefCell<Option<(Rc<Activity>, Instant)>>;

/// Response whose body is read chunk by chunk.
pub struct ClientResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Part of the body that has not been read yet.
    body: Incoming,
    address: SocketAddr,
    /// Returned to the pool after the whole body has been read; `None` from then on or after an
    /// error.
    connection: Option<Connection>,
    pool: Rc<Pool>,
    max_idle_per_address: usize,
    idle_timeout: Duration,
}

/// Result of [`ClientResponse::collect_up_to`].
pub enum CollectedBody {
    /// The complete body, which does not exceed the limit.
    Complete(Bytes),
    /// The beginning of a body that exceeds the limit, and the response to read the rest from.
    Prefix(Bytes, Box<ClientResponse>),
}

/// Minimum time without a byte from the server after which a call that times out closes idle
/// connections that are silent too. A single lost packet delays a response by a retransmission
/// timeout, which is 200 ms or more.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Maximum size of an unneeded body that is read so that its connection can be reused.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Maximum time to read an unneeded body; after that, a new connection costs less.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Limits of a call whose response is received in chunks over a long time.
#[derive(Debug, Clone, Copy)]
pub struct ChunkedCallLimits {
    /// Maximum time until the head of the response has arrived.
    pub head_timeout: Duration,
    /// Maximum time until the next chunk of the body has arrived.
    pub chunk_timeout: Duration,
    /// Maximum size of the body.
    pub max_body_bytes: usize,
}

/// Response with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Returns the body if the status is 200.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Decode`] for any other status.
    pub fn into_ok_body(self) -> Result<Bytes, NetError> {
        match self.status {
            StatusCode::OK => Ok(self.body),
            status => Err(NetError::Decode(format!("status {status}"))),
        }
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new(options: ClientOptions) -> Self {
        Self { options, pool: Rc::default(), connect_observer: None }
    }

    /// Returns a client with the same connections that reports its connection attempts to `observer`.
    pub fn with_connect_observer(&self, observer: Rc<dyn ConnectObserver>) -> Self {
        Self { connect_observer: Some(observer), ..self.clone() }
    }

    /// Returns when bytes were last received from `address`, or a connection to it was opened.
    /// `None` if no connection to it is open.
    pub fn last_received_at(&self, address: SocketAddr) -> Option<Instant> {
        let open = self.pool.open.borrow();
        let activities = open.get(&address)?.iter().filter_map(Weak::upgrade);
        activities.map(|activity| activity.last_received_at.get()).max()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Only connecting has a timeout; callers limit the rest with `monoio::time::timeout`. Dropping
    /// the future closes the connection.
    ///
    /// # Errors
    ///
    /// Call [`NetError::may_have_been_sent`] on the error to check whether the server may have
    /// received a part of the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<ClientResponse, NetError> {
        self.send_recorded(address, request, &ExchangeRecord::default()).await
    }

    /// As [`Client::send`]; stores in `record` on which connection the request is sent.
    async fn send_recorded(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        record: &ExchangeRecord,
    ) -> Result<ClientResponse, NetError> {
        set_host(&mut request, address);
        while let Some(connection) = self.pool.take(address) {
            record.replace(Some((connection.activity.clone(), Instant::now())));
            match self.exchange(address, connection, request).await {
                Ok(response) => return Ok(response),
                // The server closed the idle connection before any byte was sent: try another one.
                Err((_, Some(unsent_request))) => request = unsent_request,
                Err((error, None)) => return Err(error),
            }
        }
        record.take();
        let connection = self.connect(address).await?;
        self.exchange(address, connection, request).await.map_err(|(error, _)| error)
    }

    /// Sends a request on a new connection.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<ClientResponse, NetError> {
        set_host(&mut request, address);
        let connection = self.connect(address).await?;
        self.exchange(address, connection, request).await.map_err(|(error, _)| error)
    }

    /// Sends a request and receives the whole response, with a body of at most `max_bytes`, within
    /// `timeout`.
    ///
    /// If a reused connection has not delivered the response by then, other idle connections to the
    /// address that may have fallen silent with it are closed. Otherwise each of the next calls could
    /// time out on another one of them.
    ///
    /// # Errors
    ///
    /// As [`Client::send`] and [`ClientResponse::collect`]; [`NetError::Exchange`] after the
    /// timeout.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<BufferedResponse, NetError> {
        let record = ExchangeRecord::default();
        let exchange = async {
            let mut response = self.send_recorded(address, request, &record).await?;
            let (status, headers) = (response.status, std::mem::take(&mut response.headers));
            Ok(BufferedResponse { status, headers, body: response.collect(max_bytes).await? })
        };
        match monoio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.pool.close_silent(address, &record);
                Err(NetError::Exchange(address, "no answer in time".to_owned()))
            }
        }
    }

    /// Sends a request and receives the whole response. The time limits apply to the head and to
    /// each chunk of the body, not to the whole call.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn call_with_chunk_timeout(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limits: ChunkedCallLimits,
    ) -> Result<BufferedResponse, NetError> {
        let record = ExchangeRecord::default();
        let timed_out = |what: &str| {
            self.pool.close_silent(address, &record);
            NetError::Exchange(address, format!("no {what} in time"))
        };
        let pending_head = self.send_recorded(address, request, &record);
        let head = monoio::time::timeout(limits.head_timeout, pending_head).await;
        let mut response = head.map_err(|_| timed_out("answer"))??;
        let (status, headers) = (response.status, std::mem::take(&mut response.headers));
        let mut body = Vec::new();
        loop {
            let chunk = monoio::time::timeout(limits.chunk_timeout, response.chunk()).await;
            let Some(chunk) = chunk.map_err(|_| timed_out("part of the answer"))?? else { break };
            if body.len() + chunk.len() > limits.max_body_bytes {
                return Err(NetError::BodyTooLarge(limits.max_body_bytes));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(BufferedResponse { status, headers, body: body.into() })
    }

    /// Sends a JSON request and receives a JSON response of at most 16 MiB with any status.
    ///
    /// # Errors
    ///
    /// As [`Client::send`] and [`ClientResponse::collect`]; [`NetError::Decode`] if the request
    /// cannot be encoded or the response does not match `R`.
    pub async fn json<T: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&T>,
    ) -> Result<(StatusCode, R), NetError> {
        const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
        let bytes = match body {
            Some(body) => {
                serde_json::to_vec(body).map_err(|error| NetError::Decode(error.to_string()))?
            }
            None => Vec::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Body::full(bytes))
            .map_err(|error| NetError::Decode(error.to_string()))?;
        let response = self.send(address, request).await?;
        let status = response.status;
        let bytes = response.collect(MAX_BODY_BYTES).await?;
        let value =
            serde_json::from_slice(&bytes).map_err(|error| NetError::Decode(error.to_string()))?;
        Ok((status, value))
    }

    /// Closes the connections that have been idle for longest until at most `max_idle` are left for
    /// all addresses together.
    pub fn limit_idle_connections(&self, max_idle: usize) {
        self.pool.limit_idle(max_idle);
    }

    /// Returns whether a server still accepts connections after one of its connections has failed.
    /// A connection that is opened to check this goes to the pool.
    pub async fn accepts_connections(&self, address: SocketAddr) -> bool {
        // An exiting process closes its sockets one after the other.
        monoio::time::sleep(SOCKET_CLOSE_DELAY).await;
        self.pool.has_open_connection(address) || self.can_connect(address).await
    }

    /// Returns whether a new connection to a server can be opened; it goes to the pool.
    pub async fn can_connect(&self, address: SocketAddr) -> bool {
        match monoio::time::timeout(LISTEN_CHECK_TIMEOUT, self.connect(address)).await {
            Ok(Ok(connection)) => {
                let options = &self.options;
                let max_idle = options.max_idle_per_address;
                self.pool.put(address, connection, max_idle, options.idle_timeout);
                true
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, NetError> {
        let result = self.open_connection(address).await;
        if let Some(observer) = &self.connect_observer {
            match &result {
                Ok(_) => observer.on_connected(address),
                Err(_) => observer.on_connect_failed(address),
            }
        }
        result
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<Connection, NetError> {
        let timeout = self.options.connect_timeout;
        let stream = match monoio::time::timeout(timeout, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(NetError::Connect(address, error)),
            Err(_) => return Err(NetError::ConnectTimeout(address, timeout)),
        };
        let _ = stream.set_nodelay(true);
        if let Some(keepalive) = self.options.tcp_keepalive {
            let probe_interval = Some(keepalive.interval);
            if let Err(error) =
                stream.set_tcp_keepalive(probe_interval, probe_interval, Some(keepalive.count))
            {
                log::warn!(target: "net", "cannot set keep-alive address={address} error={error}");
            }
        }
        let stream = stream.into_poll_io().map_err(|error| NetError::Connect(address, error))?;
        let head_budget = HeadBudget::default();
        let activity = self.pool.register(address);
        let io = LimitedIo::new(MonoioIo::new(stream), head_budget.clone(), activity.clone());
        let (sender, connection) = http1::handshake(io)
            .await
            .map_err(|error| NetError::NotSent(address, error.to_string()))?;
        monoio::spawn(FairTask::new(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "net", "connection closed address={address} error={error}");
            }
        }));
        Ok(Connection { sender, head_budget, activity })
    }

    /// Sends `request` on `connection` and waits for the head of the response. An error contains
    /// the request if no byte of it was sent.
    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Body>,
    ) -> Result<ClientResponse, (NetError, Option<Request<Body>>)> {
        if let Err(error) = connection.sender.ready().await {
            return Err((NetError::NotSent(address, error.to_string()), Some(request)));
        }
        connection.head_budget.start();
        match connection.sender.try_send_request(request).await {
            Ok(response) if !is_final_status(response.status()) => {
                let message = format!("status {} is no answer", response.status().as_u16());
                Err((NetError::Exchange(address, message), None))
            }
            Ok(response) => {
                connection.head_budget.stop();
                let (head, body): (_, Incoming) = Response::into_parts(response);
                let idle_timeout = server_idle_timeout(&head.headers)
                    .map_or(self.options.idle_timeout, |timeout| {
                        timeout.min(self.options.idle_timeout)
                    });
                Ok(ClientResponse {
                    idle_timeout,
                    status: head.status,
                    headers: head.headers,
                    body,
                    address,
                    connection: Some(connection),
                    pool: self.pool.clone(),
                    max_idle_per_address: self.options.max_idle_per_address,
                })
            }
            Err(mut error) => match error.take_message() {
                Some(unsent_request) => {
                    let message = error.into_error().to_string();
                    Err((NetError::NotSent(address, message), Some(unsent_request)))
                }
                None => {
                    let message = error.into_error().to_string();
                    Err((NetError::Exchange(address, message), None))
                }
            },
        }
    }
}

impl Pool {
    /// Removes and returns the connection that has been idle for longest; `None` if there is none
    /// that can be reused.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|entry| !entry.connection.sender.is_closed() && now < entry.expires_at);
        // The first of them has been idle for longest. A connection is not ready while the server
        // still has to read the body of a request to which it responded early.
        let first_ready = connections.iter().position(|entry| entry.connection.sender.is_ready());
        let reusable = first_ready
            .filter(|index| connections[*index].idle_since.elapsed() >= MIN_IDLE_BEFORE_REUSE);
        let connection = reusable.map(|index| connections.remove(index).connection);
        if connections.is_empty() {
            idle.remove(&address);
        }
        connection
    }

    /// Returns the activity of a connection that was just opened.
    fn register(&self, address: SocketAddr) -> Rc<Activity> {
        let activity = Rc::new(Activity::new());
        let mut open = self.open.borrow_mut();
        open.retain(|_, activities| {
            activities.retain(|entry| entry.strong_count() > 0);
            !activities.is_empty()
        });
        open.entry(address).or_default().push(Rc::downgrade(&activity));
        activity
    }

    /// Closes the idle connections that may have fallen silent together with the connection of a
    /// call that timed out: nothing has arrived on them since, nor on an older connection.
    ///
    /// A server that is only slow still sends on other connections, and all that were opened after
    /// one of these are kept.
    fn close_silent(&self, address: SocketAddr, record: &ExchangeRecord) {
        let Some((activity, sent_at)) = record.take() else { return };
        let silent_since = activity.last_received_at.get().max(sent_at);
        if silent_since.elapsed() < MIN_SILENCE {
            return;
        }
        let open = self.open.borrow();
        let activities = open.get(&address).into_iter().flatten().filter_map(Weak::upgrade);
        let oldest_working_opened_at = activities
            .filter(|other| other.last_received_at.get() > silent_since)
            .map(|other| other.opened_at)
            .min();
        let is_silent = |other: &Activity| {
            other.last_received_at.get() <= silent_since
                && oldest_working_opened_at.is_none_or(|opened_at| other.opened_at < opened_at)
        };
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&address) else { return };
        let idle_count = connections.len();
        connections.retain(|entry| !is_silent(&entry.connection.activity));
        let closed_count = idle_count - connections.len();
        if connections.is_empty() {
            idle.remove(&address);
        }
        if closed_count > 0 {
            log::debug!(target: "net", "closed silent connections address={address} count={closed_count}");
        }
    }

    /// Returns whether the pool has an open connection to the address.
    fn has_open_connection(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(&address).into_iter().flatten();
        connections.into_iter().any(|entry| !entry.connection.sender.is_closed())
    }

    /// Adds a connection, or closes it if the address already has `max_idle` idle connections.
    fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        max_idle: usize,
        idle_timeout: Duration,
    ) {
        let idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < max_idle {
            connections.push(IdleConnection {
                connection,
                idle_since,
                expires_at: idle_since + idle_timeout,
            });
        }
    }

    /// Closes the connections that have been idle for longest until at most `max_idle` are left.
    fn limit_idle(&self, max_idle: usize) {
        let mut idle = self.idle.borrow_mut();
        let count: usize = idle.values().map(Vec::len).sum();
        let excess = count.saturating_sub(max_idle);
        if excess == 0 {
            return;
        }
        let mut idle_since: Vec<Instant> =
            idle.values().flatten().map(|entry| entry.idle_since).collect();
        let (_, newest_closed, _) = idle_since.select_nth_unstable(excess - 1);
        let newest_closed = *newest_closed;
        for connections in idle.values_mut() {
            connections.retain(|entry| entry.idle_since > newest_closed);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl ClientResponse {
    /// Returns the next chunk of the body; `None` after the end of a complete body.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Body`] if the body is truncated.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, NetError> {
        loop {
            match self.body.frame().await {
                None => {
                    self.release();
                    return Ok(None);
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Err(NetError::Body(error.to_string()));
                }
            }
        }
    }

    /// Receives the whole body of at most `limit_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::BodyTooLarge`] above the limit and [`NetError::Body`] if the body is
    /// truncated.
    pub async fn collect(mut self, limit_bytes: usize) -> Result<Bytes, NetError> {
        let mut received = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            if received.len() + chunk.len() > limit_bytes {
                return Err(NetError::BodyTooLarge(limit_bytes));
            }
            received.extend_from_slice(&chunk);
        }
        Ok(received.into())
    }

    /// Reads and drops the rest of the body, so that the connection can be reused. If that takes
    /// too many bytes or too long, the connection is closed instead.
    pub async fn discard(self) {
        let read_rest = self.collect(MAX_DISCARDED_BYTES);
        // On an error or a timeout the response is dropped, which closes its connection.
        let _ = monoio::time::timeout(DISCARD_TIMEOUT, read_rest).await;
    }

    /// Receives the body until it is complete or longer than `limit_bytes`; the last chunk may
    /// exceed the limit.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Body`] if the body is truncated.
    pub async fn collect_up_to(mut self, limit_bytes: usize) -> Result<CollectedBody, NetError> {
        let mut received = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            received.extend_from_slice(&chunk);
            if received.len() > limit_bytes {
                return Ok(CollectedBody::Prefix(received.into(), Box::new(self)));
            }
        }
        Ok(CollectedBody::Complete(received.into()))
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connection to the pool.
    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            let max_idle = self.max_idle_per_address;
            self.pool.put(self.address, connection, max_idle, self.idle_timeout);
        }
    }
}

/// Returns whether a status is that of an answer: neither informational, as a switch of the protocol that
/// no request asks for, nor beyond the classes of RFC 9110, section 15.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Margin subtracted from the server's keep-alive timeout, so that a request on a reused connection
/// arrives before the server closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Returns the timeout in the `Keep-Alive` header of a response, less [`KEEP_ALIVE_MARGIN`].
fn server_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let keep_alive = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters =
        keep_alive.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let seconds = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}

/// Sets the `Host` header to `address` unless the request has one.
fn set_host(request: &mut Request<Body>, address: SocketAddr) {
    if !request.headers().contains_key(http::header::HOST)
        && let Ok(host) = http::HeaderValue::from_str(&address.to_string())
    {
        request.headers_mut().insert(http::header::HOST, host);
    }
}
