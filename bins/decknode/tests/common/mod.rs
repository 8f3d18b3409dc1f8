//! Separate processes of a small fleet in front of the platform's stand-in, and a trainer.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::HashSet,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use deck_net::{
    Body, Client, ClientOptions, NetError,
    http::{Method, Request, StatusCode},
};
use deck_testkit::{EVENT_DEADLINE, Process, eventually, proxy::Proxy};
use deckstandin::generation::whole_text;
use serde_json::{Value, json};

pub const HOST: &str = "h.example";
/// Time for one call of a caller.
const CALL_LIMIT: Duration = Duration::from_secs(4);
/// Items of a group.
const GROUP_SIZE: usize = 4;

/// One node and its addresses.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    pub process: Option<Process>,
    /// In front of the object API, if the fleet has proxies.
    pub store_link: Option<Proxy>,
}

impl Node {
    /// Returns whether the node has logged a line with `text` since the last call.
    pub fn has_logged(&self, text: &str) -> bool {
        let output = self.process.as_ref().map(Process::output).unwrap_or_default();
        for line in &output {
            println!("{}: {line}", self.name);
        }
        output.iter().any(|line| line.contains(text))
    }
}

/// A fleet with its platform.
pub struct Fleet {
    _platform: Process,
    pub store: SocketAddr,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    pub client: Client,
    /// In front of the servers, if the fleet has proxies.
    pub server_links: Vec<Proxy>,
}

/// A batch job as a trainer knows it.
pub struct Lot {
    pub id: String,
    pub items: Vec<String>,
    pub min_version: u64,
    /// Results read so far, by their positions.
    pub results: Vec<Value>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// First port of the tests. It lies below the range from which the system takes the ports of
/// outgoing connections, so that a node that starts again finds its ports free.
const FIRST_PORT: u32 = 20_000;
/// Ports of one test process, and processes that run beside each other.
const PORTS: u32 = 120;
const PROCESSES: u32 = 100;

fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = FIRST_PORT + std::process::id() % PROCESSES * PORTS;
    for _ in 0..PORTS {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port from {first} on");
}

impl Fleet {
    /// Starts a platform, `entries` entry nodes and one node with a disk.
    pub fn start(entries: usize) -> Self {
        let mut fleet = Self::new(entries, false);
        fleet.start_nodes();
        fleet
    }

    /// Starts the same with proxies between the nodes and the platform.
    pub async fn start_with_proxies(entries: usize) -> Self {
        let mut fleet = Self::new(entries, true);
        let listed =
            fleet.call(fleet.store, Method::GET, "/v1/objects/servers", &[], Vec::new()).await;
        let listed: Value = serde_json::from_slice(&listed.expect("list").1).expect("json");
        let mut advertised = json!({});
        for entry in listed["Items"].as_array().expect("entries") {
            let own = entry["Spec"]["Address"].as_str().expect("address");
            let link = Proxy::start(own.parse().expect("address"));
            let name = entry["Metadata"]["Name"].as_str().expect("name");
            advertised[name] = link.address.to_string().into();
            fleet.server_links.push(link);
        }
        let body = advertised.to_string().into_bytes();
        let told = fleet.call(fleet.store, Method::POST, "/admin/advertise", &[], body).await;
        assert_eq!(told.expect("stand-in").0, StatusCode::OK);
        fleet.start_nodes();
        fleet
    }

    fn start_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            self.start_node(index);
        }
    }

    fn new(entries: usize, with_proxies: bool) -> Self {
        let folder = std::env::temp_dir().join(format!("decknode-{}", deck_core::id::random_id()));
        std::fs::create_dir_all(&folder).expect("folder");
        let arguments = ["platform", "--listen", "127.0.0.1:0"];
        let mut platform = Process::start("platform", "deckstandin", &arguments, None);
        let store = platform.address("store");
        let client = Client::new(ClientOptions::default());
        let (nodes, server_links) = (Vec::new(), Vec::new());
        let mut fleet = Self { _platform: platform, store, nodes, folder, client, server_links };
        for index in 0..=entries {
            let node = fleet.node(index, index < entries, with_proxies);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Removes all that the node with a disk has written, while it runs.
    pub fn wipe_disk(&self) {
        let folder = self.folder.join("data");
        if let Err(error) = std::fs::remove_dir_all(&folder) {
            println!("{} not removed: {error}", folder.display());
        }
    }

    /// Prints the logs of all nodes, for a test that has failed.
    fn print_logs(&self) {
        for node in &self.nodes {
            let log = self.folder.join(format!("{}.log", node.name));
            println!("--- {}", node.name);
            println!("{}", std::fs::read_to_string(log).unwrap_or_default());
            let output = node.process.as_ref().map(Process::output).unwrap_or_default();
            println!("{}", output.join("\n"));
        }
    }

    /// Writes what the nodes have logged since the last call to files, one for each node.
    pub fn write_logs(&self) -> Vec<PathBuf> {
        let write = |node: &Node| {
            let output = node.process.as_ref().map(Process::output).unwrap_or_default();
            let file = self.folder.join(format!("{}.out", node.name));
            let earlier = std::fs::read_to_string(&file).unwrap_or_default();
            std::fs::write(&file, earlier + &output.join("\n") + "\n").expect("log file");
            file
        };
        self.nodes.iter().map(write).collect()
    }

    fn node(&self, index: usize, is_entry: bool, with_proxy: bool) -> Node {
        let store_link = with_proxy.then(|| Proxy::start(self.store));
        let store = store_link.as_ref().map_or(self.store, |link| link.address);
        let name = if is_entry { format!("edge-{index}") } else { format!("disk-{index}") };
        let (callers, ready, peers) = (free_address(), free_address(), free_address());
        let listen = if is_entry {
            format!("Frontend = \"{callers}\"\nReady = \"{ready}\"\nControl = \"{peers}\"\n")
        } else {
            String::new()
        };
        let data = if is_entry {
            String::new()
        } else {
            format!("DataDir = {:?}\n", self.folder.join("data"))
        };
        let settings = format!(
            "Node = \"{name}\"\nZone = \"a\"\nIp = \"127.0.0.1\"\nInternalPorts = [{}, {}]\n{data}\
             [Listen]\n{listen}[Bounds]\nGraceS = 5\nLeaseMs = 1500\nRequireFence = true\n\
             [Platform]\nAddress = \"{}\"\n",
            peers.port(),
            peers.port(),
            store,
        );
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("settings");
        Node { name, callers, ready, settings: file, process: None, store_link }
    }

    /// Changes the settings file of a node, which may run.
    pub fn change_setting(&self, index: usize, from: &str, to: &str) {
        let file = &self.nodes[index].settings;
        let settings = std::fs::read_to_string(file).expect("settings");
        assert!(settings.contains(from), "{settings}");
        std::fs::write(file, settings.replace(from, to)).expect("settings");
    }

    pub fn start_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let settings = node.settings.to_str().expect("path");
        let log = self.folder.join(format!("{}.log", node.name));
        let arguments = ["--config", settings];
        node.process = Some(Process::start(&node.name, "decknode", &arguments, Some(&log)));
    }

    /// Returns the entry nodes.
    pub fn entries(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.name.starts_with("edge"))
    }

    pub async fn wait_until_ready(&self) {
        for node in self.entries() {
            eventually("a node is ready", async || {
                let asked = self.call(node.ready, Method::GET, "/v1/readyz", &[], Vec::new());
                matches!(asked.await, Ok((StatusCode::OK, _)))
            })
            .await;
        }
    }

    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Vec<u8>), NetError> {
        let mut request = Request::builder().method(method).uri(path).header("Host", HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::full(body)).expect("request");
        let exchange = async {
            let response = self.client.send_fresh(address, request).await?;
            let status = response.status;
            Ok((status, response.collect(1 << 24).await?.to_vec()))
        };
        match monoio::time::timeout(CALL_LIMIT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(NetError::Exchange(address, "no answer in time".to_owned())),
        }
    }

    pub async fn set_faults(&self, faults: Value) {
        let body = faults.to_string().into_bytes();
        let set = self.call(self.store, Method::POST, "/admin/faults", &[], body).await;
        assert_eq!(set.expect("stand-in").0, StatusCode::OK, "{faults}");
    }

    /// Returns what the targets have seen.
    pub async fn records(&self) -> Vec<Value> {
        let read = self.call(self.store, Method::GET, "/admin/records", &[], Vec::new()).await;
        serde_json::from_slice(&read.expect("stand-in").1).expect("records")
    }

    /// Names a version, as a trainer does.
    pub async fn name_version(&self, version: u64) {
        let spec = json!({"Model": "m0", "Version": version});
        let body = json!({"Metadata": {"Name": "m0"}, "Spec": spec}).to_string().into_bytes();
        eventually("the version is named", async || {
            let kind = "/v1/objects/versions";
            let created = self.call(self.store, Method::POST, kind, &[], body.clone()).await;
            if matches!(created, Ok((StatusCode::OK, _))) {
                return true;
            }
            let path = "/v1/objects/versions/m0";
            let replaced = self.call(self.store, Method::PUT, path, &[], body.clone()).await;
            matches!(replaced, Ok((StatusCode::OK, _)))
        })
        .await;
    }

    /// Submits a job until a node accepts it, each time at another node.
    pub async fn submit(&self, step: u64, groups: usize, min_version: u64) -> Lot {
        let id = deck_core::id::random_id();
        let names = (0..groups * GROUP_SIZE).map(|index| format!("{id}i{index}"));
        let items: Vec<String> = names.collect();
        let encoded: Vec<Value> = items
            .iter()
            .enumerate()
            .map(|(index, item)| {
                json!({"Id": item, "Path": "/jobs/run", "Headers": {"Model": "m0"},
                       "Body": "q83v", "Tokens": 100, "Group": format!("g{}", index / GROUP_SIZE),
                       "Scorer": {"Id": format!("{item}s"), "Host": HOST, "Path": "/score/x",
                                  "Body": "3q2+"}})
            })
            .collect();
        let body = json!({"Step": step, "Model": "m0", "MinVersion": min_version,
                          "GroupCount": groups, "Items": encoded});
        let body = body.to_string().into_bytes();
        let deadline = Instant::now() + EVENT_DEADLINE;
        let entries: Vec<SocketAddr> = self.entries().map(|node| node.callers).collect();
        for address in entries.iter().cycle() {
            let headers = [("Request-Id", id.as_str()), ("Content-Type", "application/json")];
            let path = format!("/jobs/{id}");
            let sent = self.call(*address, Method::POST, &path, &headers, body.clone()).await;
            if matches!(sent, Ok((StatusCode::ACCEPTED, _))) {
                break;
            }
            assert!(Instant::now() < deadline, "job {id} was not accepted: {sent:?}");
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        Lot { id, items, min_version, results: Vec::new() }
    }

    /// Reads a job at a node from the given position; `None` if the node is not sure.
    pub async fn read(&self, address: SocketAddr, lot: &Lot, from: usize) -> Option<Value> {
        let path = format!("/v1/lots/{}?After={from}", lot.id);
        let read = self.call(address, Method::GET, &path, &[("Wait-Ms", "300")], Vec::new()).await;
        match read {
            Ok((StatusCode::OK, body)) => Some(serde_json::from_slice(&body).expect("page")),
            Ok((StatusCode::NOT_FOUND, _)) => panic!("accepted job {} is not known", lot.id),
            _ => None,
        }
    }

    /// Reads further results and checks them.
    pub async fn read_on(&self, address: SocketAddr, lot: &mut Lot) {
        let from = lot.results.len();
        let Some(page) = self.read(address, lot, from).await else { return };
        assert_eq!(page["Total"], lot.items.len());
        for result in page["Results"].as_array().expect("results") {
            check_result(lot, result);
            lot.results.push(result.clone());
        }
    }

    /// Reads a job at all entry nodes in turn until it is complete.
    pub async fn read_to_end(&self, lot: &mut Lot) {
        let deadline = Instant::now() + EVENT_DEADLINE;
        let entries: Vec<SocketAddr> = self.entries().map(|node| node.callers).collect();
        for address in entries.iter().cycle() {
            if lot.results.len() == lot.items.len() {
                return;
            }
            assert!(Instant::now() < deadline, "{} of {}", lot.results.len(), lot.items.len());
            self.read_on(*address, lot).await;
        }
    }

    /// Checks that every node shows the results that were read, at the same positions.
    pub async fn check_positions(&self, lot: &Lot) {
        for node in self.entries() {
            let mut seen: Vec<Value> = Vec::new();
            eventually("a node shows the whole job", async || {
                if let Some(page) = self.read(node.callers, lot, seen.len()).await {
                    seen.extend(page["Results"].as_array().expect("results").iter().cloned());
                }
                seen.len() >= lot.results.len()
            })
            .await;
            assert_eq!(seen[..lot.results.len()], lot.results, "at {}", node.name);
        }
    }
}

/// Checks one result: each item once, whole text, allowed versions, score of its own reward call.
fn check_result(lot: &Lot, result: &Value) {
    let id = result["Id"].as_str().expect("id");
    assert!(lot.items.iter().any(|item| item == id), "{id} is not of job {}", lot.id);
    let listed: HashSet<&str> = lot.results.iter().filter_map(|r| r["Id"].as_str()).collect();
    assert!(!listed.contains(id), "{id} stands at two positions");
    assert_eq!(result["State"], "completed", "{result}");
    assert_eq!(result["Text"], whole_text(id));
    assert_eq!(result["Score"], format!("stamp-{id}s"));
    let versions = result["Versions"].as_array().expect("versions");
    let oldest = versions.iter().filter_map(Value::as_u64).min().expect("a version");
    assert!(oldest >= lot.min_version, "{result}");
}

/// Runs a test on a runtime.
pub fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}
