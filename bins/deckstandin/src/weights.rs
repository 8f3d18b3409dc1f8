//! Stand-in for the weight store, which limits the rate of downloads.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use deck_net::{
    Body,
    body::BodySender,
    http::{HeaderValue, Response},
    server::json_response,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::common::{
    Call, FaultCell, StandinError, TokenBucket, abort_after_flush, error_response, not_found,
    serve, unix_ms, with_header,
};

/// Maximum size of a chunk of a download.
const CHUNK_BYTES: u64 = 64 * 1024;

/// Options of the weight store.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct WeightsOptions {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Model that has a first version at the start.
    #[bpaf(argument("NAME"), optional)]
    pub model: Option<String>,
    /// The first version.
    #[bpaf(argument("VERSION"), fallback(1))]
    pub version: u64,
    /// Size of a version whose publisher names none.
    #[bpaf(argument("BYTES"), fallback(1_000_000))]
    pub size_bytes: u64,
    /// Bytes per second of all downloads together.
    #[bpaf(argument("N"), fallback(100e6))]
    pub bytes_per_s: f64,
    /// Downloads started per second before 429.
    #[bpaf(argument("N"), fallback(50.0))]
    pub downloads_per_s: f64,
}

/// Injected faults of the weight store.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct WeightsFaults {
    /// All calls are answered with 503.
    outage: bool,
    /// Number of next downloads that are refused with 429.
    refuse: u32,
    /// Number of next downloads that are aborted halfway.
    cut_downloads: u32,
    /// Additional delay before each download.
    slow_ms: u64,
}

/// Record of a published version.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct PublishedVersion {
    at_unix_ms: u64,
    model: String,
    version: u64,
    size_bytes: u64,
}

/// Record of a started download.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct DownloadRecord {
    at_unix_ms: u64,
    model: String,
    version: u64,
    /// Number of bytes sent so far.
    sent_bytes: u64,
    /// Whether all bytes of the version were sent.
    complete: bool,
}

/// Published versions and downloads since the start, returned by `GET /admin/records`.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct WeightsRecords {
    published: Vec<PublishedVersion>,
    downloads: Vec<DownloadRecord>,
    /// Number of downloads refused with 429 by the rate limit or by a fault.
    rate_limited: u64,
    /// Number of downloads in progress.
    running: u64,
    /// Maximum number of downloads in progress at the same time.
    peak_running: u64,
}

struct State {
    options: WeightsOptions,
    faults: FaultCell<WeightsFaults>,
    /// Size in bytes of each version of each model.
    models: RefCell<BTreeMap<String, BTreeMap<u64, u64>>>,
    download_bucket: RefCell<TokenBucket>,
    byte_bucket: RefCell<TokenBucket>,
    records: RefCell<WeightsRecords>,
}

/// Body of `PUT /v1/weights/{model}/{version}`.
#[derive(Deserialize)]
struct PublishRequest {
    size_bytes: u64,
}

/// Runs the stand-in until a stop signal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(options: WeightsOptions) -> Result<(), StandinError> {
    let now = Instant::now();
    let state = Rc::new(State {
        faults: FaultCell::default(),
        models: RefCell::default(),
        download_bucket: RefCell::new(TokenBucket::new(options.downloads_per_s, now)),
        byte_bucket: RefCell::new(TokenBucket::new(options.bytes_per_s, now)),
        records: RefCell::default(),
        options,
    });
    if let Some(model) = &state.options.model {
        state.publish(model, state.options.version, state.options.size_bytes);
    }
    serve(state.options.listen, state.clone(), handle).await
}

async fn handle(state: Rc<State>, call: Call) -> Response<Body> {
    let segments = call.path_segments();
    match (call.method.as_str(), segments.as_slice()) {
        ("POST", ["admin", "faults"]) => state.faults.patch(&call),
        ("GET", ["admin", "records"]) => json_response(200, &*state.records.borrow()),
        (_, ["v1", ..]) if state.faults.get().outage => {
            error_response(503, "unavailable", "outage")
        }
        ("GET", ["v1", "weights", model, "latest"]) => state.latest(model),
        ("GET", ["v1", "weights", model, version]) => match version.parse() {
            Ok(version) => start_download(&state, model, version),
            Err(_) => error_response(400, "bad_request", "version: expected a number"),
        },
        ("PUT", ["v1", "weights", model, version]) => match version.parse() {
            Ok(version) => {
                // The content is not kept, so a publisher may send a size instead of the weights.
                let size_bytes = serde_json::from_slice::<PublishRequest>(&call.body)
                    .map_or(call.body.len() as u64, |request| request.size_bytes);
                state.publish(model, version, size_bytes);
                json_response(201, &json!({ "model": model, "version": version }))
            }
            Err(_) => error_response(400, "bad_request", "version: expected a number"),
        },
        _ => not_found(&call),
    }
}

fn start_download(state: &Rc<State>, model: &str, version: u64) -> Response<Body> {
    let size_bytes =
        state.models.borrow().get(model).and_then(|versions| versions.get(&version).copied());
    let Some(size_bytes) = size_bytes else {
        return error_response(404, "not_found", "no such version");
    };
    let (refused, cut) = state.faults.update(|faults| {
        let injected = (faults.refuse > 0, faults.refuse == 0 && faults.cut_downloads > 0);
        faults.refuse -= u32::from(injected.0);
        faults.cut_downloads -= u32::from(injected.1);
        injected
    });
    if refused || !state.download_bucket.borrow_mut().try_take(1.0, Instant::now()) {
        state.records.borrow_mut().rate_limited += 1;
        let response = error_response(429, "rate_limited", "download rate is above the limit");
        return with_header(response, "retry-after", "1");
    }
    let index = state.record_download(model, version);
    let (sender, body) = Body::stream();
    let mut response = Response::new(body);
    response.headers_mut().insert("content-length", HeaderValue::from(size_bytes));
    let bytes_to_send = if cut { size_bytes / 2 } else { size_bytes };
    let state = state.clone();
    monoio::spawn(async move {
        state.send_bytes(index, bytes_to_send, &sender).await;
        state.records.borrow_mut().running -= 1;
        if cut {
            abort_after_flush(sender).await;
        } else {
            sender.finish().await;
        }
    });
    response
}

impl State {
    fn publish(&self, model: &str, version: u64, size_bytes: u64) {
        self.models.borrow_mut().entry(model.to_owned()).or_default().insert(version, size_bytes);
        self.records.borrow_mut().published.push(PublishedVersion {
            at_unix_ms: unix_ms(),
            model: model.to_owned(),
            version,
            size_bytes,
        });
    }

    fn latest(&self, model: &str) -> Response<Body> {
        let models = self.models.borrow();
        match models.get(model).and_then(|versions| versions.last_key_value()) {
            Some((version, size_bytes)) => json_response(
                200,
                &json!({ "model": model, "version": version, "size_bytes": size_bytes }),
            ),
            None => error_response(404, "not_found", "no such model"),
        }
    }

    /// Adds a running download to the records and returns its index.
    fn record_download(&self, model: &str, version: u64) -> usize {
        let mut records = self.records.borrow_mut();
        records.running += 1;
        records.peak_running = records.peak_running.max(records.running);
        records.downloads.push(DownloadRecord {
            at_unix_ms: unix_ms(),
            model: model.to_owned(),
            version,
            sent_bytes: 0,
            complete: false,
        });
        records.downloads.len() - 1
    }

    /// Returns the size of the version of a recorded download.
    fn version_size_bytes(&self, index: usize) -> u64 {
        let records = self.records.borrow();
        let download = &records.downloads[index];
        let models = self.models.borrow();
        models[&download.model][&download.version]
    }

    /// Sends `bytes_to_send` bytes at the limited rate and records them in the download `index`.
    async fn send_bytes(&self, index: usize, bytes_to_send: u64, sender: &BodySender) {
        monoio::time::sleep(Duration::from_millis(self.faults.get().slow_ms)).await;
        let mut remaining_bytes = bytes_to_send;
        while remaining_bytes > 0 {
            let count = remaining_bytes.min(CHUNK_BYTES);
            let wait =
                self.byte_bucket.borrow_mut().time_until_available(count as f64, Instant::now());
            if !wait.is_zero() {
                monoio::time::sleep(wait).await;
            }
            self.byte_bucket.borrow_mut().force_take(count as f64, Instant::now());
            if sender.send(vec![0x57_u8; count as usize]).await.is_err() {
                return;
            }
            remaining_bytes -= count;
            self.records.borrow_mut().downloads[index].sent_bytes += count;
        }
        let size_bytes = self.version_size_bytes(index);
        self.records.borrow_mut().downloads[index].complete = bytes_to_send == size_bytes;
    }
}
