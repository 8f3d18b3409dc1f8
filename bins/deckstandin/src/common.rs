//! HTTP server, injected faults, rate limiter and journal that all stand-ins share.

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

/// Maximum size of a request body; a larger one is answered with 413.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// How long open streams continue after a stop signal.
const STOP_GRACE: Duration = Duration::from_millis(500);

quick_error! {
    /// Error that terminates a stand-in.
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

/// A received HTTP request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

impl Call {
    /// Returns the parts of the path between slashes, without empty ones.
    pub fn path_segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }

    /// Returns the value of a header; `None` if it is absent or not printable ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }

    /// Parses the body as JSON; the error is the 400 response to send.
    #[expect(clippy::result_large_err, reason = "the error is the response, used once")]
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Response<Body>> {
        serde_json::from_slice(&self.body)
            .map_err(|error| error_response(400, "bad_request", &error.to_string()))
    }
}

/// Binds `listen`, prints the bound address and serves requests until a stop signal.
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
    print_listen_address("http", listener.local_addr()?);
    serve_on(listener, state, handler, stop).await;
    Ok(())
}

/// Serves requests on a bound listener until `stop` is cancelled and `STOP_GRACE` has passed.
pub async fn serve_on<S, F>(
    listener: monoio::net::TcpListener,
    state: Rc<S>,
    handler: fn(Rc<S>, Call) -> F,
    stop: CancellationToken,
) where
    S: 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let server =
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
    let stop_deadline = async {
        stop.cancelled().await;
        monoio::time::sleep(STOP_GRACE).await;
    };
    monoio::select! {
        () = server => {}
        () = stop_deadline => {}
    }
}

/// Prints the address of a listener to stdout, where the parent process reads it.
pub fn print_listen_address(name: &str, address: SocketAddr) {
    println!("listening {name} {address}");
}

/// Aborts a body after 30 ms, so that the data sent before is flushed.
///
/// When a body is aborted, the server discards unflushed data, including the response head.
pub async fn abort_after_flush(sender: BodySender) {
    monoio::time::sleep(Duration::from_millis(30)).await;
    drop(sender);
}

/// Returns an error response whose JSON body holds `code` and `message`.
pub fn error_response(status: u16, code: &str, message: &str) -> Response<Body> {
    let body = serde_json::json!({ "error": { "code": code, "message": message } });
    json_response(status, &body)
}

/// Returns the 404 response to a request whose method and path the stand-in does not serve.
pub fn not_found(call: &Call) -> Response<Body> {
    error_response(404, "not_found", &format!("{} {} is not served", call.method, call.path))
}

/// Returns `response` with the header `name` set to `value`.
pub fn with_header(
    mut response: Response<Body>,
    name: &'static str,
    value: &'static str,
) -> Response<Body> {
    response.headers_mut().insert(name, deck_net::http::HeaderValue::from_static(value));
    response
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Hashes `seed` and `key` to a number in `0.0..1.0`.
pub fn unit_hash(seed: u64, key: &[u8]) -> f64 {
    let mut bytes = seed.to_le_bytes().to_vec();
    bytes.extend_from_slice(key);
    (deck_core::hash::hash64(&bytes) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Injected faults, which `POST /admin/faults` changes at run time.
///
/// A request replaces the fields that its JSON object names and leaves all other fields unchanged.
pub struct FaultCell<T> {
    faults: RefCell<T>,
    patched_at: Cell<Instant>,
}

impl<T: Default + Clone + Serialize + DeserializeOwned> Default for FaultCell<T> {
    fn default() -> Self {
        Self { faults: RefCell::default(), patched_at: Cell::new(Instant::now()) }
    }
}

impl<T: Default + Clone + Serialize + DeserializeOwned> FaultCell<T> {
    /// Returns a copy of the current faults.
    pub fn get(&self) -> T {
        self.faults.borrow().clone()
    }

    /// Modifies the faults in place, for example to decrement the count of one.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.faults.borrow_mut())
    }

    /// Returns the time since the last valid `POST /admin/faults`, or since the start.
    pub fn time_since_patch(&self) -> Duration {
        self.patched_at.get().elapsed()
    }

    /// Applies the body of `POST /admin/faults` and returns the response with all faults.
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
        self.patched_at.set(Instant::now());
        Ok(faults)
    }
}

/// Token bucket whose capacity is the amount of one second.
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub fn new(rate_per_s: f64, now: Instant) -> Self {
        Self { rate_per_s, tokens: rate_per_s, refilled_at: now }
    }

    /// Takes `amount` tokens if there are enough; otherwise takes none and returns `false`.
    pub fn try_take(&mut self, amount: f64, now: Instant) -> bool {
        self.refill(now);
        let sufficient = self.tokens >= amount;
        if sufficient {
            self.tokens -= amount;
        }
        sufficient
    }

    /// Takes `amount` tokens even if there are not enough. The balance may become negative, which
    /// delays later requests.
    pub fn force_take(&mut self, amount: f64, now: Instant) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// Returns the time until the bucket holds `amount` tokens.
    pub fn time_until_available(&mut self, amount: f64, now: Instant) -> Duration {
        self.refill(now);
        Duration::from_secs_f64(((amount - self.tokens) / self.rate_per_s).max(0.0))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.rate_per_s);
        self.refilled_at = now;
    }
}

/// File of JSON lines. It is written without a buffer, so that a killed stand-in loses no entry.
#[derive(Default)]
pub struct Journal {
    /// File opened for appending; `None` discards all entries.
    journal_file: Option<RefCell<File>>,
}

impl Journal {
    /// Opens a journal for appending. Without a path, all entries are discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn try_open(path: Option<&Path>) -> Result<Self, StandinError> {
        let Some(path) = path else { return Ok(Self::default()) };
        let mut options = std::fs::OpenOptions::new();
        let journal_file = options
            .create(true)
            .append(true)
            .open(path)
            .map_err(|error| StandinError::Journal(path.to_owned(), error))?;
        Ok(Self { journal_file: Some(RefCell::new(journal_file)) })
    }

    /// Appends an entry as one line. A failed write is only logged.
    pub fn write<T: Serialize>(&self, entry: &T) {
        let Some(journal_file) = &self.journal_file else { return };
        let Ok(mut line) = serde_json::to_vec(entry) else { return };
        line.push(b'\n');
        // A single write call per line, so that a killed process leaves no partial line unless the
        // disk is full.
        if let Err(error) = journal_file.borrow_mut().write_all(&line) {
            log::error!(target: "standin", "journal write failed error={error}");
        }
    }
}
