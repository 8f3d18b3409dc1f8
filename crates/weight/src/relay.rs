//! Caching relay for model weights, run on a VM with a disk.
//!
//! The weight store is rate-limited, so each relay fetches a version only once and the engines
//! fetch it from the relays. A version becomes visible only after it has been received completely.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io::{Read, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use deck_core::{id::WeightVersion, object::check_object_name};
use deck_net::{
    Body, Client, NetError,
    body::BodySender,
    http::{Method, Request, Response, StatusCode, header},
    server::text_response,
};
use tokio::sync::Mutex;

/// Size of one disk read in bytes. Reads block the event loop, so they are kept small.
const READ_CHUNK_BYTES: usize = 256 * 1024;
/// Number of versions kept per model: the one being served and the previous one.
const MAX_KEPT_VERSIONS: usize = 2;

/// Settings of a weight relay.
#[derive(Debug, Clone)]
pub struct WeightRelayOptions {
    /// Directory in which the weight files are stored.
    pub data_folder: PathBuf,
    /// Address of the weight store.
    pub weight_store_address: SocketAddr,
    /// Maximum number of concurrent transfers to engines; further requests get status 429.
    pub max_transfers: usize,
    /// Time limit for receiving each chunk from the weight store.
    pub chunk_timeout: Duration,
}

/// Serves weight files from disk and fetches missing ones from the weight store; clones share their
/// state.
#[derive(Clone)]
pub struct WeightRelay {
    options: Rc<WeightRelayOptions>,
    client: Client,
    /// One lock per file that is being fetched, so that concurrent requests fetch it only once.
    fetch_locks: Rc<RefCell<HashMap<PathBuf, Rc<Mutex<()>>>>>,
    /// Number of transfers to engines in progress.
    active_transfers: Rc<Cell<usize>>,
}

/// Decrements the number of active transfers when dropped.
struct TransferGuard(Rc<Cell<usize>>);

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl WeightRelay {
    /// Creates a relay that stores its files in the data folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder cannot be created.
    pub fn try_new(options: WeightRelayOptions, client: Client) -> std::io::Result<Self> {
        std::fs::create_dir_all(&options.data_folder)?;
        Ok(Self {
            options: Rc::new(options),
            client,
            fetch_locks: Rc::default(),
            active_transfers: Rc::default(),
        })
    }

    /// Answers `GET /v1/weights/{model}/{version}`.
    pub async fn respond<B>(&self, request: Request<B>) -> Response<Body> {
        if request.method() != Method::GET {
            return text_response(405, "only GET is allowed");
        }
        let Some((model, version)) = parse_weights_path(request.uri().path()) else {
            return text_response(404, "expected /v1/weights/{model}/{version}");
        };
        if self.active_transfers.get() >= self.options.max_transfers {
            return retry_later_response(429, "all transfers of this relay are taken");
        }
        self.active_transfers.set(self.active_transfers.get() + 1);
        let transfer_guard = TransferGuard(self.active_transfers.clone());
        match self.open_or_fetch(&model, version).await {
            Ok(file) => stream_file(file, transfer_guard),
            Err(error) => {
                log::warn!(target: "relay", "fetch failed model={model} version={version} error={error}");
                retry_later_response(503, &error.to_string())
            }
        }
    }

    /// Opens the file of a version, fetching it from the weight store if it is missing.
    async fn open_or_fetch(
        &self,
        model: &str,
        version: WeightVersion,
    ) -> Result<std::fs::File, NetError> {
        let file_path = self.options.data_folder.join(model).join(format!("{version}.weights"));
        if let Ok(file) = std::fs::File::open(&file_path) {
            return Ok(file);
        }
        let lock = self.fetch_locks.borrow_mut().entry(file_path.clone()).or_default().clone();
        let result = {
            let _fetch_guard = lock.lock().await;
            match std::fs::File::open(&file_path) {
                Ok(file) => Ok(file),
                Err(_) => self.fetch_from_store(model, version, &file_path).await,
            }
        };
        self.fetch_locks.borrow_mut().remove(&file_path);
        result
    }

    /// Fetches a version from the weight store into a partial file and renames the file when it is
    /// complete.
    async fn fetch_from_store(
        &self,
        model: &str,
        version: WeightVersion,
        file_path: &Path,
    ) -> Result<std::fs::File, NetError> {
        let folder = file_path.parent().unwrap_or(&self.options.data_folder);
        std::fs::create_dir_all(folder)?;
        let partial_path = file_path.with_extension("partial");
        let mut file = std::fs::File::create(&partial_path)?;
        let request = Request::builder()
            .uri(format!("/v1/weights/{model}/{version}"))
            .body(Body::empty())
            .map_err(|error| NetError::Decode(error.to_string()))?;
        let timeout = self.options.chunk_timeout;
        let timeout_error = || NetError::Body("no data in time".to_owned());
        let response_future = self.client.send(self.options.weight_store_address, request);
        let mut response = monoio::time::timeout(timeout, response_future)
            .await
            .map_err(|_| timeout_error())??;
        if response.status != StatusCode::OK {
            return Err(NetError::Decode(format!("weight store status {}", response.status)));
        }
        while let Some(chunk) = monoio::time::timeout(timeout, response.chunk())
            .await
            .map_err(|_| timeout_error())??
        {
            file.write_all(&chunk)?;
        }
        file.flush()?;
        std::fs::rename(&partial_path, file_path)?;
        remove_old_versions(folder);
        Ok(std::fs::File::open(file_path)?)
    }
}

/// Parses model and version from a request path. The model must be a valid object name that does
/// not start with a dot, so the resulting file path cannot leave the data folder.
fn parse_weights_path(request_path: &str) -> Option<(String, WeightVersion)> {
    let (model, version) = request_path.strip_prefix("/v1/weights/")?.split_once('/')?;
    check_object_name(model).ok()?;
    if model.starts_with('.') {
        return None;
    }
    Some((model.to_owned(), version.parse().ok()?))
}

/// Builds an error response that asks the client to retry after one second.
fn retry_later_response(status: u16, message: &str) -> Response<Body> {
    let mut response = text_response(status, message);
    let wait = deck_net::http::HeaderValue::from_static("1");
    response.headers_mut().insert(header::RETRY_AFTER, wait);
    response
}

fn stream_file(file: std::fs::File, transfer_guard: TransferGuard) -> Response<Body> {
    let (sender, body) = Body::stream();
    monoio::spawn(send_file(file, sender, transfer_guard));
    Response::new(body)
}

/// Streams a file in chunks and holds the transfer guard until the end.
async fn send_file(mut file: std::fs::File, sender: BodySender, transfer_guard: TransferGuard) {
    let mut buffer = vec![0_u8; READ_CHUNK_BYTES];
    loop {
        match file.read(&mut buffer) {
            Ok(0) => {
                sender.finish().await;
                break;
            }
            Ok(count) => {
                let chunk = bytes::Bytes::copy_from_slice(&buffer[..count]);
                if sender.send(chunk).await.is_err() {
                    break;
                }
            }
            Err(error) => {
                log::warn!(target: "relay", "weight file not read error={error}");
                break;
            }
        }
    }
    drop(transfer_guard);
}

/// Deletes all but the newest versions of a model.
fn remove_old_versions(folder: &Path) {
    let Ok(entries) = std::fs::read_dir(folder) else { return };
    let mut versions: Vec<(WeightVersion, PathBuf)> = entries
        .flatten()
        .filter_map(|entry| {
            let file_path = entry.path();
            let is_complete = file_path.extension().is_some_and(|extension| extension == "weights");
            let version = file_path.file_stem()?.to_str()?.parse().ok()?;
            is_complete.then_some((version, file_path))
        })
        .collect();
    versions.sort_unstable_by_key(|(version, _)| std::cmp::Reverse(*version));
    for (_, file_path) in versions.into_iter().skip(MAX_KEPT_VERSIONS) {
        if let Err(error) = std::fs::remove_file(&file_path) {
            log::warn!(target: "relay", "old weight file not removed error={error}");
        }
    }
}
