//! Transfer of the configuration from a watcher to the nodes that poll it.
//!
//! The configuration may be large, so that it is fetched with a call of its own while the polls go on,
//! and a watcher encodes each version once.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use deck_core::CancellationToken;
use deck_net::{Body, ChunkedCallLimits, Client, NetError, cbor, server::empty_response};
use http::{Request, Response, StatusCode};
use serde_json::Value;

use crate::{
    ObjectFollower,
    config::ConfigurationVersion,
    feed::{FEED_PATH, MAX_PAGE_BYTES, encode_cbor},
};

/// Query parameter that requests only the raw configuration.
pub(crate) const CONFIGURATION_ONLY: &str = "configuration_only";

/// Raw configuration as it is sent to other nodes.
#[derive(Debug, Clone)]
struct EncodedConfiguration {
    version: ConfigurationVersion,
    bytes: Bytes,
}

/// Sends the configuration of this node to others, and fetches that of a watcher; clones share their
/// state.
#[derive(Clone)]
pub(crate) struct ConfigurationTransfer {
    inner: Rc<TransferState>,
}

/// State shared by the clones of a [`ConfigurationTransfer`].
struct TransferState {
    client: Client,
    follower: ObjectFollower,
    /// Longest silence of a watcher during a fetch; its head may take twice as long.
    timeout: Duration,
    /// Last configuration that was encoded for other nodes.
    encoded: RefCell<Option<EncodedConfiguration>>,
    /// Whether this node is fetching a configuration from a watcher.
    is_fetching: Cell<bool>,
}

impl ConfigurationTransfer {
    pub(crate) fn new(client: Client, follower: ObjectFollower, timeout: Duration) -> Self {
        let (encoded, is_fetching) = (RefCell::default(), Cell::new(false));
        let inner = TransferState { client, follower, timeout, encoded, is_fetching };
        Self { inner: Rc::new(inner) }
    }

    /// Returns the version of the configuration in force; 0 before the first one.
    pub(crate) fn version(&self) -> ConfigurationVersion {
        self.inner.follower.view.configuration().map_or(0, |configuration| configuration.version)
    }

    /// Returns the version that a poll names as known. A configuration that is on its way must not end
    /// each wait for changes at once.
    pub(crate) fn polled_version(&self) -> ConfigurationVersion {
        match self.inner.is_fetching.get() {
            true => u64::MAX,
            false => self.version(),
        }
    }

    /// Fetches the configuration of a watcher while polling goes on, unless a fetch is under way. If the
    /// watcher at `index` does not send a newer one, the others are asked in turn.
    pub(crate) fn start_fetch(
        &self,
        watchers: &[SocketAddr],
        index: usize,
        cancel: &CancellationToken,
    ) {
        if self.inner.is_fetching.replace(true) {
            return;
        }
        let mut sources = watchers.to_vec();
        sources.rotate_left(index % watchers.len().max(1));
        let (transfer, cancel) = (self.clone(), cancel.clone());
        monoio::spawn(async move {
            cancel.run_until_cancelled(transfer.fetch_from_any(&sources)).await;
            transfer.inner.is_fetching.set(false);
        });
    }

    /// Fetches the configuration from the nodes in turn until one has sent a newer one than that in
    /// force.
    async fn fetch_from_any(&self, nodes: &[SocketAddr]) {
        let known_version = self.version();
        for node in nodes {
            match self.fetch(*node).await {
                Ok(configuration) => {
                    self.inner.follower.apply_configuration(&configuration);
                }
                Err(error) => {
                    log::info!(target: "fleet", "configuration not received node={node} error={error}");
                }
            }
            if self.version() > known_version {
                return;
            }
        }
    }

    async fn fetch(&self, node: SocketAddr) -> Result<Value, NetError> {
        let timeout = self.inner.timeout;
        let request = Request::builder()
            .uri(format!("{FEED_PATH}?{CONFIGURATION_ONLY}=1"))
            .body(Body::empty())
            .map_err(|error| NetError::Decode(error.to_string()))?;
        let limits = ChunkedCallLimits {
            head_timeout: timeout * 2,
            chunk_timeout: timeout,
            max_body_bytes: MAX_PAGE_BYTES,
        };
        let client = &self.inner.client;
        let body = client.call_with_chunk_timeout(node, request, limits).await?.into_ok_body()?;
        cbor::decode(&body)
    }

    /// Answers a request for the configuration of this node.
    pub(crate) fn serve(&self) -> Response<Body> {
        match self.encoded() {
            Some(bytes) => Response::new(Body::full(bytes)),
            None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Returns the encoded configuration of this node; each version is encoded once.
    fn encoded(&self) -> Option<Bytes> {
        let follower = &self.inner.follower;
        let version = follower.view.configuration()?.version;
        let mut cache = self.inner.encoded.borrow_mut();
        if let Some(encoded) = cache.as_ref().filter(|encoded| encoded.version == version) {
            return Some(encoded.bytes.clone());
        }
        let bytes = encode_cbor(follower.freshness.configuration.borrow().as_ref()?)?;
        *cache = Some(EncodedConfiguration { version, bytes: bytes.clone() });
        Some(bytes)
    }
}
