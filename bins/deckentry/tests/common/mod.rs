//! Processes of a small deployment: object API, targets and entry VMs.
#![allow(dead_code, reason = "each test binary uses a part of these helpers")]

use std::{cell::RefCell, net::SocketAddr, path::PathBuf, time::Duration};

use deck_net::{
    Body, Client,
    http::{HeaderMap, Method, Request},
};
use deck_testkit::{EVENT_WAIT_TIMEOUT, Process, eventually};
use serde_json::{Value, json};

/// Name of the organisation of all tests.
pub const ORGANISATION: &str = "jonotuoli";

/// Directory for settings and logs of one test, removed at its end.
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

/// A process with its main address.
pub struct Program {
    pub process: Process,
    pub address: SocketAddr,
}

/// An entry VM.
pub struct Entry {
    pub process: Process,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// Answer to a request of a test.
#[derive(Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let body = String::from_utf8_lossy(&self.body);
        write!(f, "{} {}", self.status, body.chars().take(600).collect::<String>())
    }
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Returns the code and the run state of an error.
    pub fn error(&self) -> (String, String) {
        let body = self.json();
        let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
        (text("code"), text("run"))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Deployment of one test.
pub struct World {
    pub directory: TestDirectory,
    pub client: Client,
    pub objects: Program,
    next_pool_revision: RefCell<u64>,
}

impl World {
    pub fn start() -> Self {
        let directory = TestDirectory::new();
        let objects = stand_in(&directory, "objects", &["--history"]);
        Self { directory, client: Client::default(), objects, next_pool_revision: RefCell::new(0) }
    }

    pub fn stand_in(&self, kind: &str, arguments: &[&str]) -> Program {
        stand_in(&self.directory, kind, arguments)
    }

    /// Writes the organisation's share of `pools`.
    pub async fn put_shares(&self, pools: &[&str]) {
        let shares: Vec<_> =
            pools.iter().map(|pool| json!({ "pool": pool, "share_percent": 100 })).collect();
        self.put("OrganisationShare", ORGANISATION, json!({ "shares": shares })).await;
    }

    pub async fn put_engines(&self, name: &str, model: &str, targets: &[SocketAddr]) {
        let spec = json!({
            "type": "engine", "model": model, "fencing": "checked", "slots_per_target": 8,
            "targets": targets_json(targets),
        });
        self.put("TargetPool", name, spec).await;
    }

    pub async fn put_services(&self, name: &str, targets: &[SocketAddr]) {
        let spec = json!({
            "type": "service", "fencing": "ignored", "slots_per_target": 64,
            "idempotent_paths": ["/query"], "targets": targets_json(targets),
        });
        self.put("TargetPool", name, spec).await;
    }

    pub async fn put(&self, kind: &str, name: &str, spec: Value) {
        let path = format!("/v1/objects/{kind}/{name}");
        let body = json!({ "schema": 1, "spec": spec });
        let current = self.send(self.objects.address, "GET", &path, &[], "").await;
        let condition = match current.status {
            200 => ("if-match", format!("\"{}\"", current.json()["revision"])),
            _ => ("if-none-match", "*".to_owned()),
        };
        let headers = [(condition.0, condition.1.as_str())];
        let address = self.objects.address;
        let answer = self.send(address, "PUT", &path, &headers, &body.to_string()).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Starts an entry VM and waits until it is ready.
    pub async fn entry(&self, vm: &str, seeds: &[SocketAddr], limits: &str) -> Entry {
        let entry = self.entry_unready(vm, seeds, limits);
        self.wait_ready(&entry).await;
        entry
    }

    pub fn entry_unready(&self, vm: &str, seeds: &[SocketAddr], limits: &str) -> Entry {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let settings = format!(
            "[vm]\nid = {vm}\ndata_centre = fi-south-a\nregion = fi-south\n\
             [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\nlocal = 127.0.0.1:0\n\
             [platform]\nobject_api = {}\nseeds = {}\nobject_api_timeout_ms = 500\n\
             [limits]\ndrain_delay_ms = 200\n{limits}\n\
             [log]\nlevel = debug\n[admin]\naddress = 127.0.0.1:0\n",
            self.objects.address,
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

    pub async fn wait_ready(&self, entry: &Entry) {
        eventually("the entry VM is ready", async || {
            self.try_send(entry.admin, "GET", "/readyz", &[], "")
                .await
                .is_some_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Waits until an entry VM serves calls of the organisation to a plain service.
    pub async fn wait_service(&self, entry: &Entry, pool: &str) {
        let path = format!("/services/{pool}/probe");
        eventually("the service is reachable through the entry VM", async || {
            let headers = [("x-organisation", ORGANISATION)];
            let answer = self.try_send(entry.caller, "GET", &path, &headers, "").await;
            answer.is_some_and(|answer| answer.status == 200)
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
    ) -> Answer {
        self.try_send(address, method, path, headers, body)
            .await
            .unwrap_or_else(|| panic!("no answer to {method} {path}"))
    }

    pub async fn try_send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let method = Method::from_bytes(method.as_bytes()).expect("method");
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::full(body.to_owned())).expect("request");
        let exchange = async {
            let response = self.client.send(address, request).await.ok()?;
            let (status, headers) = (response.status.as_u16(), response.headers.clone());
            let body = response.collect(64 * 1024 * 1024).await.ok()?.to_vec();
            Some(Answer { status, headers, body })
        };
        monoio::time::timeout(EVENT_WAIT_TIMEOUT, exchange).await.expect("answer in time")
    }

    /// Books a seat: a non-idempotent call.
    pub async fn book(&self, entry: &Entry, key: &str, body: &str) -> Answer {
        self.book_within(entry, key, body, 20_000).await
    }

    pub async fn book_within(
        &self,
        entry: &Entry,
        key: &str,
        body: &str,
        deadline_ms: u64,
    ) -> Answer {
        let deadline_ms = deadline_ms.to_string();
        let headers = [
            ("x-organisation", ORGANISATION),
            ("idempotency-key", key),
            ("x-deadline-ms", deadline_ms.as_str()),
        ];
        self.send(entry.caller, "POST", "/services/booking/seats", &headers, body).await
    }

    pub async fn ticket(&self, entry: &Entry) -> String {
        let headers = [("x-organisation", ORGANISATION)];
        let answer = self.send(entry.caller, "POST", "/v1/tickets", &headers, "").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        answer.json()["ticket"].as_str().expect("ticket").to_owned()
    }

    pub async fn complete(&self, entry: &Entry, body: &Value) -> Answer {
        let headers = [("x-organisation", ORGANISATION), ("x-deadline-ms", "40000")];
        let body = body.to_string();
        self.send(entry.caller, "POST", "/v1/completions", &headers, &body).await
    }

    /// Returns how often a target executed calls with a key.
    pub async fn executions(&self, service: &Program, key: &str) -> u64 {
        let answer = self.send(service.address, "GET", "/admin/executions", &[], "").await;
        answer.json()[key].as_u64().unwrap_or(0)
    }

    pub async fn records(&self, program: &Program) -> Value {
        self.send(program.address, "GET", "/admin/records", &[], "").await.json()
    }

    pub async fn faults(&self, program: &Program, faults: Value) {
        let body = faults.to_string();
        let sent = self.try_send(program.address, "POST", "/admin/faults", &[], &body).await;
        assert!(sent.is_none_or(|answer| answer.status == 200));
    }

    pub async fn metrics(&self, entry: &Entry) -> String {
        let answer = self.send(entry.admin, "GET", "/metrics", &[], "").await;
        String::from_utf8(answer.body).expect("text")
    }

    /// Waits for published values to reach the other VMs.
    pub async fn settle(&self) {
        monoio::time::sleep(Duration::from_millis(1500)).await;
    }
}

fn targets_json(targets: &[SocketAddr]) -> Value {
    let targets = targets.iter().enumerate();
    let targets = targets.map(|(index, address)| {
        json!({ "id": format!("t{index}"), "address": address, "data_centre": "fi-south-a" })
    });
    Value::Array(targets.collect())
}

fn stand_in(directory: &TestDirectory, kind: &str, arguments: &[&str]) -> Program {
    let mut all = vec![kind, "--listen", "127.0.0.1:0"];
    all.extend_from_slice(arguments);
    let log = directory.0.join(format!("{kind}.log"));
    let mut process = Process::start(kind, "deckstandin", &all, Some(&log));
    let address = process.address("http");
    Program { process, address }
}
