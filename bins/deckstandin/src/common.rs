//! Parts that all stand-ins share: server, run-time faults, rate limits and journal.

use std::{
    cell::{Cell, RefCell},
    fs::File,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use deck_core::CancellationToken;
use deck_net::{
    Body, ServerOptions,
    body::BodySender,
    http::{HeaderMap, Method, Response},
    server::{json_response, read_body, text_response},
};
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Time that open streams have after a stop signal.
const STOP_GRACE: Duration = Duration::from_millis(500);

quick_error! {
    /// Error that ends a stand-in.
    #[derive(Debug)]
    pub enum StandinError {
        /// The listener cannot be bound.
        Bind(address: SocketAddr, error: std::io::Error) {
            display("cannot listen on {address}: {error}")
            source(error)
        }
        /// The journal cannot be opened.
        Journal(path: PathBuf, error: std::io::Error) {
            display("{}: {error}", path.display())
            source(error)
        }
        /// A system call failed.
        Io(error: std::io::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}

/// A received request with its whole body.
#[derive(Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Returns the parts of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }

    /// Returns a header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a parameter of the query.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }

    /// Reads the body as JSON; the error is the response to send.
    #[expect(clippy::result_large_err, reason = "the error is the response, used once")]
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Response<Body>> {
        serde_json::from_slice(&self.body)
            .map_err(|error| error_response(400, "bad_request", &error.to_string()))
    }
}

/// Binds `listen`, prints its address and serves calls until a stop signal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve<S, F>(
    listen: SocketAddr,
    state: Rc<S>,
    handler: fn(Rc<S>, Call) -> F,
) -> Result<(), StandinError>
where
    S: 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let stop = deck_net::runtime::stop_token()?;
    let listener = deck_net::bind(listen).map_err(|error| StandinError::Bind(listen, error))?;
    announce("http", listener.local_addr()?);
    serve_on(listener, state, handler, stop).await;
    Ok(())
}

/// Serves calls on a bound listener until `stop` is cancelled.
pub async fn serve_on<S, F>(
    listener: monoio::net::TcpListener,
    state: Rc<S>,
    handler: fn(Rc<S>, Call) -> F,
    stop: CancellationToken,
) where
    S: 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let served =
        deck_net::serve(listener, ServerOptions::default(), stop.clone(), move |request| {
            let state = state.clone();
            async move {
                let (parts, body) = request.into_parts();
                match read_body(body, MAX_BODY_BYTES).await {
                    Ok(body) => {
                        let call = Call {
                            method: parts.method,
                            path: parts.uri.path().to_owned(),
                            query: parts.uri.query().unwrap_or_default().to_owned(),
                            headers: parts.headers,
                            body,
                        };
                        handler(state, call).await
                    }
                    Err(error) => text_response(413, &error.to_string()),
                }
            }
        });
    let stopped = async {
        stop.cancelled().await;
        monoio::time::sleep(STOP_GRACE).await;
    };
    monoio::select! {
        () = served => {}
        () = stopped => {}
    }
}

/// Prints the address of a listener for the process that started this one.
pub fn announce(name: &str, address: SocketAddr) {
    println!("listening {name} {address}");
}

/// Aborts a body after what has been sent has left.
///
/// The server drops what it has not flushed when a body is aborted, the head included.
pub async fn abort_after_flush(sender: BodySender) {
    monoio::time::sleep(Duration::from_millis(30)).await;
    drop(sender);
}

/// Returns an error response with a JSON body.
pub fn error_response(status: u16, code: &str, message: &str) -> Response<Body> {
    let body = serde_json::json!({ "error": { "code": code, "message": message } });
    json_response(status, &body)
}

/// Returns a 404 response.
pub fn not_found(call: &Call) -> Response<Body> {
    error_response(404, "not_found", &format!("{} {} is not served", call.method, call.path))
}

/// Returns a response with one more header.
pub fn with_header(
    mut response: Response<Body>,
    name: &'static str,
    value: &'static str,
) -> Response<Body> {
    response.headers_mut().insert(name, deck_net::http::HeaderValue::from_static(value));
    response
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns a number in `0.0..1.0` that depends on `seed` and `key` only.
pub fn unit_interval(seed: u64, key: &[u8]) -> f64 {
    let mut bytes = seed.to_le_bytes().to_vec();
    bytes.extend_from_slice(key);
    (deck_core::hash::hash64(&bytes) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Faults that `POST /admin/faults` changes at run time.
///
/// A request changes the fields that it names; the others stay.
pub struct FaultCell<T> {
    faults: RefCell<T>,
    set_at: Cell<Instant>,
}

impl<T: Default + Clone + Serialize + DeserializeOwned> Default for FaultCell<T> {
    fn default() -> Self {
        Self { faults: RefCell::default(), set_at: Cell::new(Instant::now()) }
    }
}

impl<T: Default + Clone + Serialize + DeserializeOwned> FaultCell<T> {
    /// Returns the faults in force.
    pub fn get(&self) -> T {
        self.faults.borrow().clone()
    }

    /// Changes the faults in place, for example to count one down.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.faults.borrow_mut())
    }

    /// Time since the last `POST /admin/faults`.
    pub fn age(&self) -> Duration {
        self.set_at.get().elapsed()
    }

    /// Applies the body of `POST /admin/faults` and returns the response.
    pub fn patch(&self, call: &Call) -> Response<Body> {
        let patch: Value = match call.json() {
            Ok(patch) => patch,
            Err(response) => return response,
        };
        match self.try_patch(patch) {
            Ok(faults) => {
                log::info!(target: "standin", "faults set {}", String::from_utf8_lossy(&call.body));
                json_response(200, &faults)
            }
            Err(error) => error_response(400, "bad_request", &error.to_string()),
        }
    }

    fn try_patch(&self, patch: Value) -> Result<T, serde_json::Error> {
        let mut merged = serde_json::to_value(&*self.faults.borrow())?;
        if let (Value::Object(merged), Value::Object(patch)) = (&mut merged, patch) {
            merged.extend(patch);
        }
        let faults: T = serde_json::from_value(merged)?;
        self.faults.replace(faults.clone());
        self.set_at.set(Instant::now());
        Ok(faults)
    }
}

/// Rate limit that admits bursts of one second.
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub fn new(rate_per_s: f64, now: Instant) -> Self {
        Self { rate_per_s, tokens: rate_per_s, refilled: now }
    }

    /// Takes `amount` tokens if there are enough.
    pub fn try_take(&mut self, amount: f64, now: Instant) -> bool {
        self.refill(now);
        let enough = self.tokens >= amount;
        if enough {
            self.tokens -= amount;
        }
        enough
    }

    /// Takes `amount` tokens even if there are not enough; later takes wait for the debt.
    pub fn take(&mut self, amount: f64, now: Instant) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// Time until the bucket has `amount` tokens.
    pub fn wait_for(&mut self, amount: f64, now: Instant) -> Duration {
        self.refill(now);
        Duration::from_secs_f64(((amount - self.tokens) / self.rate_per_s).max(0.0))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.rate_per_s);
        self.refilled = now;
    }
}

/// File of JSON lines that outlives a killed stand-in.
#[derive(Default)]
pub struct Journal {
    file: Option<RefCell<File>>,
}

impl Journal {
    /// Opens a journal for appending; without a path nothing is written.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn try_open(path: Option<&Path>) -> Result<Self, StandinError> {
        let Some(path) = path else { return Ok(Self::default()) };
        let mut options = std::fs::OpenOptions::new();
        let file = options
            .create(true)
            .append(true)
            .open(path)
            .map_err(|error| StandinError::Journal(path.to_owned(), error))?;
        Ok(Self { file: Some(RefCell::new(file)) })
    }

    /// Appends one entry.
    pub fn write<T: Serialize>(&self, entry: &T) {
        let Some(file) = &self.file else { return };
        let Ok(mut line) = serde_json::to_vec(entry) else { return };
        line.push(b'\n');
        // One write call: a kill leaves no half line, except on a full disk.
        if let Err(error) = file.borrow_mut().write_all(&line) {
            log::error!(target: "standin", "journal write failed error={error}");
        }
    }
}
