//! Starts the processes of a small deployment: object API, targets and entry VMs.
#![allow(dead_code, reason = "each test binary uses a part of these helpers")]

use std::{cell::RefCell, net::SocketAddr, path::PathBuf, time::Duration};

use deck_net::{
    Body, Client,
    http::{HeaderMap, Method, Request},
};
use deck_testkit::{EVENT_WAIT_TIMEOUT, Process, eventually};
use serde_json::{Value, json};

/// Organisation that all tests use.
pub const ORGANISATION: &str = "jonotuoli";

/// Directory for the settings and logs of one test, removed at its end unless the test fails.
pub struct TestDirectory(pub PathBuf);

impl TestDirectory {
    pub fn new() -> Self {
        let name = format!("deckentry-{}", deck_core::id::random_id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("directory");
        Self(path)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("settings and logs are kept in {}", self.0.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A process of `deckstandin` and its HTTP address.
pub struct StandIn {
    pub process: Process,
    pub address: SocketAddr,
}

/// A `deckentry` process and the addresses of its listeners.
pub struct Entry {
    pub process: Process,
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Listener for other entry VMs; used as their seed.
    pub peer: SocketAddr,
    /// Listener for health checks and metrics.
    pub admin: SocketAddr,
}

/// A response with its whole body.
#[derive(Clone)]
pub struct Response {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl std::fmt::Debug for Response {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let body = String::from_utf8_lossy(&self.body);
        write!(f, "{} {}", self.status, body.chars().take(600).collect::<String>())
    }
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Returns two fields of an error response: the error code, and `run`, which says whether the
    /// request was executed: `not_run`, `ran` or `unknown`.
    pub fn error(&self) -> (String, String) {
        let body = self.json();
        let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
        (text("code"), text("run"))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Object API of one test; entry VMs and targets are started by its methods.
pub struct Deployment {
    pub directory: TestDirectory,
    pub client: Client,
    pub object_api: StandIn,
    next_pool_revision: RefCell<u64>,
}

impl Deployment {
    pub fn start() -> Self {
        let directory = TestDirectory::new();
        let object_api = start_stand_in(&directory, "objects", &["--history"]);
        Self {
            directory,
            client: Client::default(),
            object_api,
            next_pool_revision: RefCell::new(0),
        }
    }

    pub fn start_stand_in(&self, kind: &str, arguments: &[&str]) -> StandIn {
        start_stand_in(&self.directory, kind, arguments)
    }

    /// Grants the organisation 100% of each of `pools`.
    pub async fn put_shares(&self, pools: &[&str]) {
        let shares: Vec<_> =
            pools.iter().map(|pool| json!({ "pool": pool, "share_percent": 100 })).collect();
        self.put("OrganisationShare", ORGANISATION, json!({ "shares": shares })).await;
    }

    pub async fn put_engine_pool(&self, name: &str, model: &str, targets: &[SocketAddr]) {
        let spec = json!({
            "type": "engine", "model": model, "fencing": "checked", "slots_per_target": 8,
            "targets": target_list(targets),
        });
        self.put("TargetPool", name, spec).await;
    }

    pub async fn put_service_pool(&self, name: &str, targets: &[SocketAddr]) {
        let spec = json!({
            "type": "service", "fencing": "ignored", "slots_per_target": 64,
            "idempotent_paths": ["/query"], "targets": target_list(targets),
        });
        self.put("TargetPool", name, spec).await;
    }

    /// Creates an object in the object API, or replaces it if it exists.
    pub async fn put(&self, kind: &str, name: &str, spec: Value) {
        let path = format!("/v1/objects/{kind}/{name}");
        let body = json!({ "schema": 1, "spec": spec });
        let existing = self.send(self.object_api.address, "GET", &path, &[], "").await;
        let precondition = match existing.status {
            200 => ("if-match", format!("\"{}\"", existing.json()["revision"])),
            _ => ("if-none-match", "*".to_owned()),
        };
        let headers = [(precondition.0, precondition.1.as_str())];
        let address = self.object_api.address;
        let response = self.send(address, "PUT", &path, &headers, &body.to_string()).await;
        assert_eq!(response.status, 200, "{response:?}");
    }

    /// Starts an entry VM and waits until it is ready.
    pub async fn start_entry(&self, vm: &str, seeds: &[SocketAddr], limits: &str) -> Entry {
        let entry = self.start_unready_entry(vm, seeds, limits);
        self.wait_until_ready(&entry).await;
        entry
    }

    pub fn start_unready_entry(&self, vm: &str, seeds: &[SocketAddr], limits: &str) -> Entry {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let settings = format!(
            "[vm]\nid = {vm}\ndata_centre = fi-south-a\nregion = fi-south\n\
             [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\nlocal = 127.0.0.1:0\n\
             [platform]\nobject_api = {}\nseeds = {}\nobject_api_timeout_ms = 500\n\
             [limits]\ndrain_delay_ms = 200\n{limits}\n\
             [log]\nlevel = debug\n[admin]\naddress = 127.0.0.1:0\n",
            self.object_api.address,
            seeds.join(", "),
        );
        let file = self.directory.0.join(format!("{vm}.ini"));
        std::fs::write(&file, settings).expect("settings");
        let log = self.directory.0.join(format!("{vm}.log"));
        let arguments = ["--config", file.to_str().expect("utf-8 path")];
        let mut process = Process::start(vm, "deckentry", &arguments, Some(&log));
        let caller = process.address("caller");
        let peer = process.address("peer");
        let admin = process.address("admin");
        Entry { process, caller, peer, admin }
    }

    pub async fn wait_until_ready(&self, entry: &Entry) {
        eventually("the entry VM is ready", async || {
            self.try_send(entry.admin, "GET", "/readyz", &[], "")
                .await
                .is_some_and(|response| response.status == 200)
        })
        .await;
    }

    /// Waits until the entry VM serves the organisation's calls to the service `pool`.
    pub async fn wait_until_served(&self, entry: &Entry, pool: &str) {
        let path = format!("/services/{pool}/probe");
        eventually("the service is reachable through the entry VM", async || {
            let headers = [("x-organisation", ORGANISATION)];
            let response = self.try_send(entry.caller, "GET", &path, &headers, "").await;
            response.is_some_and(|response| response.status == 200)
        })
        .await;
    }

    pub async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response {
        self.try_send(address, method, path, headers, body)
            .await
            .unwrap_or_else(|| panic!("no response to {method} {path}"))
    }

    /// Sends a request and returns the response with its whole body; `None` if the connection fails.
    pub async fn try_send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Response> {
        let method = Method::from_bytes(method.as_bytes()).expect("method");
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::full(body.to_owned())).expect("request");
        let exchange = async {
            let received = self.client.send(address, request).await.ok()?;
            let (status, headers) = (received.status.as_u16(), received.headers.clone());
            let body = received.collect(64 * 1024 * 1024).await.ok()?.to_vec();
            Some(Response { status, headers, body })
        };
        monoio::time::timeout(EVENT_WAIT_TIMEOUT, exchange).await.expect("response in time")
    }

    /// Sends a non-idempotent call to the service `booking` with a deadline of 20 s.
    pub async fn book(&self, entry: &Entry, key: &str, body: &str) -> Response {
        self.book_within(entry, key, body, 20_000).await
    }

    /// Sends a non-idempotent call to the service `booking` with a deadline in milliseconds.
    pub async fn book_within(
        &self,
        entry: &Entry,
        key: &str,
        body: &str,
        deadline_ms: u64,
    ) -> Response {
        let deadline_ms = deadline_ms.to_string();
        let headers = [
            ("x-organisation", ORGANISATION),
            ("idempotency-key", key),
            ("x-deadline-ms", deadline_ms.as_str()),
        ];
        self.send(entry.caller, "POST", "/services/booking/seats", &headers, body).await
    }

    pub async fn issue_ticket(&self, entry: &Entry) -> String {
        let headers = [("x-organisation", ORGANISATION)];
        let response = self.send(entry.caller, "POST", "/v1/tickets", &headers, "").await;
        assert_eq!(response.status, 200, "{response:?}");
        response.json()["ticket"].as_str().expect("ticket").to_owned()
    }

    /// Sends the completion request `body` with a deadline of 40 s.
    pub async fn complete(&self, entry: &Entry, body: &Value) -> Response {
        let headers = [("x-organisation", ORGANISATION), ("x-deadline-ms", "40000")];
        let body = body.to_string();
        self.send(entry.caller, "POST", "/v1/completions", &headers, &body).await
    }

    /// Returns how often the service executed calls with `key`.
    pub async fn executions(&self, service: &StandIn, key: &str) -> u64 {
        let response = self.send(service.address, "GET", "/admin/executions", &[], "").await;
        response.json()[key].as_u64().unwrap_or(0)
    }

    /// Returns what a stand-in received and did, from its `GET /admin/records`.
    pub async fn fetch_records(&self, program: &StandIn) -> Value {
        self.send(program.address, "GET", "/admin/records", &[], "").await.json()
    }

    /// Injects faults into a stand-in; the response is lost if the fault makes it crash.
    pub async fn set_faults(&self, program: &StandIn, faults: Value) {
        let body = faults.to_string();
        let sent = self.try_send(program.address, "POST", "/admin/faults", &[], &body).await;
        assert!(sent.is_none_or(|response| response.status == 200));
    }

    /// Returns the metrics of an entry VM in the Prometheus text format.
    pub async fn metrics(&self, entry: &Entry) -> String {
        let response = self.send(entry.admin, "GET", "/metrics", &[], "").await;
        String::from_utf8(response.body).expect("text")
    }

    /// Waits long enough for published values to reach the other VMs.
    pub async fn wait_for_propagation(&self) {
        monoio::time::sleep(Duration::from_millis(1500)).await;
    }
}

fn target_list(targets: &[SocketAddr]) -> Value {
    let targets = targets.iter().enumerate();
    let targets = targets.map(|(index, address)| {
        json!({ "id": format!("t{index}"), "address": address, "data_centre": "fi-south-a" })
    });
    Value::Array(targets.collect())
}

fn start_stand_in(directory: &TestDirectory, kind: &str, arguments: &[&str]) -> StandIn {
    let mut command_line = vec![kind, "--listen", "127.0.0.1:0"];
    command_line.extend_from_slice(arguments);
    let log = directory.0.join(format!("{kind}.log"));
    let mut process = Process::start(kind, "deckstandin", &command_line, Some(&log));
    let address = process.address("http");
    StandIn { process, address }
}
