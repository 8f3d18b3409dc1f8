//! Tests of the weight relay against the weight store stand-in.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use deck_core::CancellationToken;
use deck_net::{
    Body, Client, ServerOptions,
    http::{Method, Request},
};
use deck_testkit::Process;
use deck_weight::relay::{WeightRelay, WeightRelayOptions};
use futures_util::future::join;
use serde_json::{Value, json};
use test_case::test_case;

/// A relay in this process and a weight store stand-in that holds version 1 of model `m`.
struct RelayFixture {
    _store: Process,
    store_address: SocketAddr,
    relay_address: SocketAddr,
    folder: PathBuf,
}

impl Drop for RelayFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl RelayFixture {
    async fn start(max_transfers: usize, size_bytes: usize) -> Self {
        let size = size_bytes.to_string();
        let arguments = ["weights", "--listen", "127.0.0.1:0", "--model", "m", "--version", "1"];
        let arguments = [&arguments[..], &["--size-bytes", &size]].concat();
        let mut process = Process::start("weights", "deckstandin", &arguments, None);
        let store_address = process.address("http");
        let folder = std::env::temp_dir().join(format!("relay-{}", deck_core::id::random_id()));
        let options = WeightRelayOptions {
            data_folder: folder.clone(),
            weight_store_address: store_address,
            max_transfers,
            chunk_timeout: Duration::from_secs(10),
        };
        let relay = WeightRelay::try_new(options, Client::default()).expect("data folder");
        let listener = deck_net::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let handler = move |request| {
            let relay = relay.clone();
            async move { relay.respond(request).await }
        };
        let options = ServerOptions::default();
        monoio::spawn(deck_net::serve(listener, options, CancellationToken::new(), handler));
        Self { _store: process, store_address, relay_address: address, folder }
    }

    /// Returns the status and body length of a response from the relay.
    async fn get(&self, path: &str) -> (u16, usize) {
        let request = Request::builder().uri(path).body(Body::empty()).expect("request");
        let response = Client::default().send(self.relay_address, request).await.expect("answer");
        let status = response.status.as_u16();
        let body = response.collect(100_000_000).await.expect("whole body");
        (status, body.len())
    }

    /// Adds a version of 1000 bytes to the weight store.
    async fn publish(&self, version: u64) {
        let path = format!("/v1/weights/m/{version}");
        let body = json!({ "size_bytes": 1000 });
        let (status, _) = Client::default()
            .json::<_, Value>(Method::PUT, self.store_address, &path, Some(&body))
            .await
            .expect("stand-in");
        assert!(status.is_success());
    }

    /// Returns the number of downloads from the weight store.
    async fn store_downloads(&self) -> usize {
        let (_, records) = Client::default()
            .json::<(), Value>(Method::GET, self.store_address, "/admin/records", None)
            .await
            .expect("stand-in");
        records["downloads"].as_array().expect("downloads").len()
    }
}

fn run_in_runtime<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Concurrent and later requests for a version cause only one download from the rate-limited store.
#[test]
fn version_is_downloaded_from_store_once() {
    run_in_runtime(async {
        let fixture = RelayFixture::start(8, 600_000).await;
        let path = "/v1/weights/m/1";
        assert_eq!(
            join(fixture.get(path), fixture.get(path)).await,
            ((200, 600_000), (200, 600_000))
        );
        assert_eq!(fixture.get(path).await, (200, 600_000));
        assert_eq!(fixture.store_downloads().await, 1);
    });
}

/// Old versions are deleted so that the disk does not fill up.
#[test]
fn old_versions_are_deleted() {
    run_in_runtime(async {
        let fixture = RelayFixture::start(8, 600_000).await;
        for version in 2..=4 {
            fixture.publish(version).await;
            assert_eq!(fixture.get(&format!("/v1/weights/m/{version}")).await, (200, 1000));
        }
        let mut files: Vec<_> = std::fs::read_dir(fixture.folder.join("m"))
            .expect("folder of the model")
            .map(|entry| entry.expect("file").file_name().into_string().expect("name"))
            .collect();
        files.sort();
        assert_eq!(files, ["3.weights", "4.weights"]);
    });
}

/// Requests for paths outside the data folder, invalid versions and versions that do not exist are
/// refused, and no file is created for them.
#[test_case("/v1/weights/../1", 404; "parent folder")]
#[test_case("/v1/weights/..%2fm/1", 404; "encoded separator")]
#[test_case("/v1/weights/m/one", 404; "no version")]
#[test_case("/v1/weights/m/99", 503; "version that the store does not have")]
fn invalid_paths_are_refused(path: &str, status: u16) {
    run_in_runtime(async {
        let fixture = RelayFixture::start(8, 600_000).await;
        assert_eq!(fixture.get(path).await.0, status);
        assert!(!fixture.folder.join("m").join("99.weights").exists());
    });
}

/// The number of concurrent transfers is limited to protect the disk and network link of a small
/// VM.
#[test]
fn concurrent_transfers_are_limited() {
    run_in_runtime(async {
        // Larger than the socket buffers, so that the transfer lasts until its response is read.
        let size_bytes = 40_000_000;
        let fixture = RelayFixture::start(1, size_bytes).await;
        let path = "/v1/weights/m/1";
        let request = Request::builder().uri(path).body(Body::empty()).expect("request");
        let open_transfer =
            Client::default().send(fixture.relay_address, request).await.expect("answer");
        assert_eq!(fixture.get(path).await.0, 429);
        assert_eq!(open_transfer.collect(size_bytes).await.expect("whole body").len(), size_bytes);
        assert_eq!(fixture.get(path).await, (200, size_bytes));
    });
}
