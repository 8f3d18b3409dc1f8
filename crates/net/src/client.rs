//! HTTP/1.1 client with a pool of idle connections.
//!
//! A connection returns to the pool only after the whole response has been read, so that a late
//! or abandoned response can never be taken for the response to another request.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
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
    guard::{GuardedIo, HeadBudget},
};

/// Time for which a connection is idle before it is used again. A faulty server may answer a request
/// twice; the second answer arrives while the connection is idle, which closes it, and is not taken
/// for the answer to the next request.
const SETTLE_TIME: Duration = Duration::from_millis(2);

/// Time for a connection that tells whether a server still listens.
const LISTEN_LIMIT: Duration = Duration::from_millis(300);
/// Time in which a process that ends closes its sockets.
const CLOSING_TIME: Duration = Duration::from_millis(20);

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Time in which a connection has to come about.
    pub connect_timeout: Duration,
    /// Idle connections kept for each address.
    pub max_idle_per_address: usize,
    /// Time after which an idle connection is no longer used. A shorter time that the server states
    /// in `Keep-Alive` takes precedence.
    pub idle_timeout: Duration,
    /// Probes that find connections whose other end has gone silent.
    pub probes: Option<ProbeOptions>,
}

/// TCP keep-alive probes of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ProbeOptions {
    /// Time without traffic after which probes start, and the time between them.
    pub interval: Duration,
    /// Unanswered probes after which the connection is closed.
    pub count: u32,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle_per_address: 32,
            idle_timeout: Duration::from_secs(30),
            probes: None,
        }
    }
}

/// HTTP client; clones share their idle connections.
#[derive(Clone, Default)]
pub struct Client {
    options: ClientOptions,
    pool: Rc<Pool>,
}

#[derive(Default)]
struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// The connection is not used from here on.
    expires_at: Instant,
}

/// Open connection that serves one request at a time.
struct Connection {
    sender: SendRequest<Body>,
    budget: HeadBudget,
}

/// Response whose body is read in pieces.
pub struct ClientResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    address: SocketAddr,
    /// Connection that returns to the pool after the whole body has been read.
    connection: Option<Connection>,
    pool: Rc<Pool>,
    max_idle_per_address: usize,
    idle_timeout: Duration,
}

/// Body that was received up to a limit.
pub enum Collected {
    /// The whole body.
    Whole(Bytes),
    /// The first bytes of a longer body, whose rest is still to come.
    Part(Bytes, Box<ClientResponse>),
}

/// Largest body that is received only to use its connection again.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Time for that; a new connection costs less.
const DISCARD_LIMIT: Duration = Duration::from_millis(100);

/// Limits of a call whose answer may be long.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Time until the head of the answer has come.
    pub head: Duration,
    /// Time until each next part of the body has come.
    pub pause: Duration,
    /// Largest body.
    pub max_bytes: usize,
}

/// Response that has been received whole.
#[derive(Debug, Clone)]
pub struct WholeResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl WholeResponse {
    /// Returns the body of a response with status 200.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Decode`] for any other status.
    pub fn ok(self) -> Result<Bytes, NetError> {
        match self.status {
            StatusCode::OK => Ok(self.body),
            status => Err(NetError::Decode(format!("status {status}"))),
        }
    }
}

impl Client {
    /// Returns a client with the given settings.
    pub fn new(options: ClientOptions) -> Self {
        Self { options, pool: Rc::default() }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// There is no timeout beyond that of the connection: callers wrap the call in
    /// `monoio::time::timeout`. A dropped call closes its connection.
    ///
    /// # Errors
    ///
    /// [`NetError::may_have_been_sent`] tells whether the server may have received the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<ClientResponse, NetError> {
        set_host(&mut request, address);
        while let Some(connection) = self.pool.take(address) {
            match self.exchange(address, connection, request).await {
                Ok(response) => return Ok(response),
                // The server closed the idle connection and nothing was sent: use another one.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let connection = self.connect(address).await?;
        self.exchange(address, connection, request).await.map_err(|(error, _)| error)
    }

    /// Sends a request on a connection that has not been used before.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<ClientResponse, NetError> {
        set_host(&mut request, address);
        let connection = self.connect(address).await?;
        self.exchange(address, connection, request).await.map_err(|(error, _)| error)
    }

    /// Sends a request and receives the whole response, of at most `max_bytes`, within `limit`.
    ///
    /// # Errors
    ///
    /// As [`Client::send`] and [`ClientResponse::collect`]; [`NetError::Exchange`] after the limit.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<WholeResponse, NetError> {
        let exchange = async {
            let mut response = self.send(address, request).await?;
            let (status, headers) = (response.status, std::mem::take(&mut response.headers));
            Ok(WholeResponse { status, headers, body: response.collect(max_bytes).await? })
        };
        match monoio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(NetError::Exchange(address, "no answer in time".to_owned())),
        }
    }

    /// Sends a request and receives the whole response, which may take long as long as parts of it
    /// come.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn call_in_parts(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limits: CallLimits,
    ) -> Result<WholeResponse, NetError> {
        let late = |what: &str| NetError::Exchange(address, format!("no {what} in time"));
        let head = monoio::time::timeout(limits.head, self.send(address, request)).await;
        let mut response = head.map_err(|_| late("answer"))??;
        let (status, headers) = (response.status, std::mem::take(&mut response.headers));
        let mut body = Vec::new();
        loop {
            let chunk = monoio::time::timeout(limits.pause, response.chunk()).await;
            let Some(chunk) = chunk.map_err(|_| late("part of the answer"))?? else { break };
            if body.len() + chunk.len() > limits.max_bytes {
                return Err(NetError::BodyTooLarge(limits.max_bytes));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(WholeResponse { status, headers, body: body.into() })
    }

    /// Sends a JSON request and reads a JSON response of at most 16 MiB.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`NetError::Decode`] if the body is not of the expected form.
    /// The status is returned as it is.
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

    /// Returns whether a server still takes connections after one of them has broken. A new
    /// connection is kept for the next request.
    pub async fn still_listens(&self, address: SocketAddr) -> bool {
        // The sockets of a process that ends close one after the other.
        monoio::time::sleep(CLOSING_TIME).await;
        if self.pool.has_open(address) {
            return true;
        }
        match monoio::time::timeout(LISTEN_LIMIT, self.connect(address)).await {
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
        let limit = self.options.connect_timeout;
        let stream = match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(NetError::Connect(address, error)),
            Err(_) => return Err(NetError::ConnectTimeout(address, limit)),
        };
        let _ = stream.set_nodelay(true);
        if let Some(probes) = self.options.probes {
            let interval = Some(probes.interval);
            if let Err(error) = stream.set_tcp_keepalive(interval, interval, Some(probes.count)) {
                log::warn!(target: "net", "no keep-alive probes address={address} error={error}");
            }
        }
        let stream = stream.into_poll_io().map_err(|error| NetError::Connect(address, error))?;
        let budget = HeadBudget::default();
        let io = GuardedIo::new(MonoioIo::new(stream), budget.clone());
        let (sender, connection) = http1::handshake(io)
            .await
            .map_err(|error| NetError::NotSent(address, error.to_string()))?;
        monoio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "net", "connection closed address={address} error={error}");
            }
        });
        Ok(Connection { sender, budget })
    }

    /// Sends `request` on one connection; gives the request back if no byte of it was sent.
    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Body>,
    ) -> Result<ClientResponse, (NetError, Option<Request<Body>>)> {
        if let Err(error) = connection.sender.ready().await {
            return Err((NetError::NotSent(address, error.to_string()), Some(request)));
        }
        connection.budget.begin();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.budget.end();
                let (parts, body): (_, Incoming) = Response::into_parts(response);
                let idle_timeout = stated_idle_timeout(&parts.headers)
                    .map_or(self.options.idle_timeout, |stated| {
                        stated.min(self.options.idle_timeout)
                    });
                Ok(ClientResponse {
                    idle_timeout,
                    status: parts.status,
                    headers: parts.headers,
                    body,
                    address,
                    connection: Some(connection),
                    pool: self.pool.clone(),
                    max_idle_per_address: self.options.max_idle_per_address,
                })
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) => {
                    let message = error.into_error().to_string();
                    Err((NetError::NotSent(address, message), Some(unsent)))
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
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|entry| !entry.connection.sender.is_closed() && now < entry.expires_at);
        // The connection that is idle for longest is the first one.
        let settled = connections.first().is_some_and(|entry| entry.since.elapsed() >= SETTLE_TIME);
        let taken = settled.then(|| connections.remove(0).connection);
        if connections.is_empty() {
            idle.remove(&address);
        }
        taken
    }

    /// Returns whether an idle connection to the address is open.
    fn has_open(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(&address).into_iter().flatten();
        connections.into_iter().any(|entry| !entry.connection.sender.is_closed())
    }

    fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        max_idle: usize,
        idle_timeout: Duration,
    ) {
        let since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < max_idle {
            connections.push(IdleConnection {
                connection,
                since,
                expires_at: since + idle_timeout,
            });
        }
    }
}

impl ClientResponse {
    /// Returns the next piece of the body; `None` after its proper end.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Body`] if the body is cut short.
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
    /// Returns [`NetError::BodyTooLarge`] above the limit and [`NetError::Body`] if the body is cut
    /// short.
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

    /// Receives the rest of a body that nobody needs, so that its connection can be used again. A long
    /// or slow one closes the connection.
    pub async fn discard(self) {
        let collected = self.collect(MAX_DISCARDED_BYTES);
        // The connection closes with the response, whether it is too long, too slow or broken.
        let _ = monoio::time::timeout(DISCARD_LIMIT, collected).await;
    }

    /// Receives the body up to about `limit_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Body`] if the body is cut short.
    pub async fn collect_some(mut self, limit_bytes: usize) -> Result<Collected, NetError> {
        let mut received = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            received.extend_from_slice(&chunk);
            if received.len() > limit_bytes {
                return Ok(Collected::Part(received.into(), Box::new(self)));
            }
        }
        Ok(Collected::Whole(received.into()))
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            let max_idle = self.max_idle_per_address;
            self.pool.put(self.address, connection, max_idle, self.idle_timeout);
        }
    }
}

/// Part of the stated idle time that is left for the next request to arrive, so that it does not
/// cross the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Returns how long the server keeps the idle connection, less the margin.
fn stated_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = stated.split(',').filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let seconds = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}

fn set_host(request: &mut Request<Body>, address: SocketAddr) {
    if !request.headers().contains_key(http::header::HOST)
        && let Ok(host) = http::HeaderValue::from_str(&address.to_string())
    {
        request.headers_mut().insert(http::header::HOST, host);
    }
}
