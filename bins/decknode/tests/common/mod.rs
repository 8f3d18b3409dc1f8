//! Test fixture: node processes that use a stand-in of the platform, and a trainer that submits jobs
//! to the nodes.

#![allow(dead_code, reason = "not every test file uses every item")]

use std::{
    collections::HashSet,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::{
        LazyLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use deck_net::{
    Body, Client, ClientOptions, NetError,
    http::{Method, Request, StatusCode},
};
use deck_testkit::{
    EVENT_WAIT_TIMEOUT, Process, eventually,
    proxy::{LinkCut, Proxy},
};
use deckstandin::{PLAIN_ATTEMPTS, platform_text::whole_text};
use serde_json::{Value, json};

/// Host of all routes in the stand-in's configuration.
pub const HOST: &str = "h.example";
/// Timeout of one call of a caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which every node has to show a result that any node has shown; the settle time of the
/// deployments.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Number of items in a group.
const GROUP_SIZE: usize = 4;

/// One node process and its addresses.
pub struct Node {
    pub name: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for readiness checks and metrics.
    pub readiness_address: SocketAddr,
    settings_file: PathBuf,
    /// `None` while the node is stopped.
    pub process: Option<Process>,
    /// Proxy between this node and the object API, if the fleet has proxies.
    pub object_api_proxy: Option<Proxy>,
}

impl Node {
    /// Returns whether the node has logged a line that contains `text` since the last call.
    pub fn has_logged(&self, text: &str) -> bool {
        let output = self.process.as_ref().map(Process::take_output).unwrap_or_default();
        for line in &output {
            println!("{}: {line}", self.name);
        }
        output.iter().any(|line| line.contains(text))
    }
}

/// A fleet of nodes with the stand-in of its platform.
pub struct Fleet {
    _platform: Process,
    /// Address of the stand-in's object API and admin calls.
    pub object_api: SocketAddr,
    /// Nodes that serve callers, then the node with a disk.
    pub nodes: Vec<Node>,
    /// Directory of the settings, logs and data of the nodes.
    dir: PathBuf,
    pub client: Client,
    /// Proxies in front of the targets, if the fleet has proxies.
    pub target_proxies: Vec<Proxy>,
    /// Object API that lists the targets with the addresses of the proxies, if only some nodes use
    /// these.
    second_view: Option<SocketAddr>,
}

/// A submitted batch job, as seen by the trainer.
pub struct SubmittedJob {
    pub id: String,
    /// Ids of the items.
    pub items: Vec<String>,
    /// Oldest weight version that may generate a result.
    pub min_version: u64,
    /// Results read so far, in the order of their positions.
    pub results: Vec<Value>,
    /// When each of `results` was read.
    pub read_at: Vec<Instant>,
}

/// A job that has not been accepted yet.
pub struct NewJob {
    pub id: String,
    /// Ids of the items.
    items: Vec<String>,
    /// Oldest weight version that may generate a result.
    min_version: u64,
    /// Body of the submission.
    body: Vec<u8>,
}

impl NewJob {
    /// Returns a job of `groups` groups.
    pub fn new(step: u64, groups: usize, min_version: u64) -> Self {
        let id = deck_core::id::random_id();
        let item_ids = (0..groups * GROUP_SIZE).map(|index| format!("{id}i{index}"));
        let items: Vec<String> = item_ids.collect();
        let encoded_items: Vec<Value> = items
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
                          "GroupCount": groups, "Items": encoded_items});
        Self { id, items, min_version, body: body.to_string().into_bytes() }
    }

    /// Returns the job after its submission was accepted.
    pub fn into_submitted(self) -> SubmittedJob {
        let Self { id, items, min_version, body: _ } = self;
        SubmittedJob { id, items, min_version, results: Vec::new(), read_at: Vec::new() }
    }
}

impl SubmittedJob {
    /// Returns how many results were read at least `SETTLE_TIME` ago.
    pub fn settled_count(&self) -> usize {
        self.read_at.iter().take_while(|at| at.elapsed() >= SETTLE_TIME).count()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// First port of the tests. It lies below the ephemeral port range of the system, so that no
/// outgoing connection takes the port of a node that restarts.
const FIRST_PORT: u32 = 20_000;
/// Number of ports that each test process may use.
const PORTS_PER_PROCESS: u32 = 120;
/// Number of disjoint port ranges for test processes that run in parallel.
const PORT_RANGES: u32 = 100;

/// First port of the range of this test process, held with a listener until the process ends.
/// Without it, another test process may take the port of a node that is stopped for a while, and
/// the nodes of two fleets would then call each other.
static FIRST_PORT_HOLDER: LazyLock<(TcpListener, u32)> = LazyLock::new(|| {
    let ranges = (0..PORT_RANGES).map(|offset| (std::process::id() + offset) % PORT_RANGES);
    let mut held = ranges.filter_map(|range| {
        let first_port = FIRST_PORT + range * PORTS_PER_PROCESS;
        TcpListener::bind(("127.0.0.1", first_port as u16)).ok().map(|held| (held, first_port))
    });
    held.next().expect("a free port range")
});

/// Returns a loopback address with a free port from the range of this test process.
fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let first_port = FIRST_PORT_HOLDER.1;
    for _ in 0..PORTS_PER_PROCESS {
        let port = first_port + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port from {first_port} on");
}

impl Fleet {
    /// Starts the stand-in, `entry_nodes` nodes that serve callers and one node with a disk.
    pub fn start(entry_nodes: usize) -> Self {
        Self::start_with_options(entry_nodes, &[])
    }

    /// Like [`Fleet::start`], without the processes of the nodes.
    pub fn configured(entry_nodes: usize) -> Self {
        Self::new(entry_nodes, false, &[])
    }

    /// Like [`Fleet::configured`], with options for the stand-in.
    pub fn configured_with_options(entry_nodes: usize, options: &[&str]) -> Self {
        Self::new(entry_nodes, false, options)
    }

    /// Like [`Fleet::start`], with options for the stand-in.
    pub fn start_with_options(entry_nodes: usize, options: &[&str]) -> Self {
        let mut fleet = Self::new(entry_nodes, false, options);
        fleet.start_nodes();
        fleet
    }

    /// Like [`Fleet::start`], with proxies between the nodes and the stand-in.
    pub async fn start_with_proxies(entry_nodes: usize) -> Self {
        Self::start_with_platform_options(entry_nodes, &[]).await
    }

    /// Like [`Fleet::start_with_proxies`], with options for the stand-in.
    pub async fn start_with_platform_options(entry_nodes: usize, options: &[&str]) -> Self {
        let mut fleet = Self::new(entry_nodes, true, options);
        let proxy_addresses = fleet.start_target_proxies().await;
        let body = proxy_addresses.to_string().into_bytes();
        let response =
            fleet.call(fleet.object_api, Method::POST, "/admin/advertise", &[], body).await;
        assert_eq!(response.expect("stand-in").0, StatusCode::OK);
        fleet.start_nodes();
        fleet
    }

    /// Returns a fleet without processes of its nodes. The first `cut_nodes` entry nodes reach the
    /// targets through proxies, so that their links to the targets can be cut while all others work.
    pub async fn configured_with_target_links(
        entry_nodes: usize,
        cut_nodes: usize,
        options: &[&str],
    ) -> Self {
        let options = [options, &["--second-view"]].concat();
        let mut fleet = Self::new(entry_nodes, false, &options);
        let addresses = fleet.start_target_proxies().await.to_string().into_bytes();
        let response =
            fleet.call(fleet.object_api, Method::POST, "/admin/second-view", &[], addresses).await;
        assert_eq!(response.expect("stand-in").0, StatusCode::OK);
        let second_view = fleet.second_view.expect("a second view");
        for index in 0..cut_nodes {
            let address = |address: SocketAddr| format!("[Platform]\nAddress = \"{address}\"");
            fleet.change_setting(index, &address(fleet.object_api), &address(second_view));
        }
        fleet
    }

    /// Cuts or restores the links to the targets that go through proxies.
    pub fn set_target_links_cut(&self, cut: Option<LinkCut>) {
        self.target_proxies.iter().for_each(|proxy| proxy.set_cut(cut));
    }

    /// Starts a proxy in front of each target; returns their addresses by target id.
    async fn start_target_proxies(&mut self) -> Value {
        let servers =
            self.call(self.object_api, Method::GET, "/v1/objects/servers", &[], Vec::new()).await;
        let servers: Value = serde_json::from_slice(&servers.expect("list").1).expect("json");
        let mut proxy_addresses = json!({});
        for entry in servers["Items"].as_array().expect("entries") {
            let target_address = entry["Spec"]["Address"].as_str().expect("address");
            let proxy = Proxy::start(target_address.parse().expect("address"));
            let name = entry["Metadata"]["Name"].as_str().expect("name");
            proxy_addresses[name] = proxy.address.to_string().into();
            self.target_proxies.push(proxy);
        }
        proxy_addresses
    }

    /// Starts the processes of all nodes.
    pub fn start_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            self.start_node(index);
        }
    }

    /// Starts the stand-in and writes the settings of the nodes, but does not start them.
    fn new(entry_nodes: usize, with_proxies: bool, platform_options: &[&str]) -> Self {
        let dir = std::env::temp_dir().join(format!("decknode-{}", deck_core::id::random_id()));
        std::fs::create_dir_all(&dir).expect("folder");
        let mut arguments = vec!["platform", "--listen", "127.0.0.1:0"];
        arguments.extend(platform_options);
        let mut platform = Process::start("platform", "deckstandin", &arguments, None);
        let second_view =
            platform_options.contains(&"--second-view").then(|| platform.address("second-view"));
        let object_api = platform.address("store");
        let client = Client::new(ClientOptions::default());
        let (nodes, target_proxies) = (Vec::new(), Vec::new());
        let mut fleet = Self {
            _platform: platform,
            object_api,
            nodes,
            dir,
            client,
            target_proxies,
            second_view,
        };
        for index in 0..=entry_nodes {
            let node = fleet.configure_node(index, index < entry_nodes, with_proxies);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Deletes the data of the node with a disk while it runs.
    pub fn wipe_disk(&self) {
        let data_dir = self.dir.join("data");
        if let Err(error) = std::fs::remove_dir_all(&data_dir) {
            println!("{} not removed: {error}", data_dir.display());
        }
    }

    /// Prints the logs of all nodes after a failed test.
    fn print_logs(&self) {
        for node in &self.nodes {
            let log = self.dir.join(format!("{}.log", node.name));
            println!("--- {}", node.name);
            println!("{}", std::fs::read_to_string(log).unwrap_or_default());
            let output = node.process.as_ref().map(Process::take_output).unwrap_or_default();
            println!("{}", output.join("\n"));
        }
    }

    /// Appends the nodes' output since the last call to one file per node; returns the files.
    pub fn write_logs(&self) -> Vec<PathBuf> {
        let write = |node: &Node| {
            let output = node.process.as_ref().map(Process::take_output).unwrap_or_default();
            let file = self.dir.join(format!("{}.out", node.name));
            let previous_output = std::fs::read_to_string(&file).unwrap_or_default();
            std::fs::write(&file, previous_output + &output.join("\n") + "\n").expect("log file");
            file
        };
        self.nodes.iter().map(write).collect()
    }

    /// Writes the settings file of a node, which is not started yet.
    fn configure_node(&self, index: usize, is_entry: bool, with_proxy: bool) -> Node {
        let object_api_proxy = with_proxy.then(|| Proxy::start(self.object_api));
        let object_api = object_api_proxy.as_ref().map_or(self.object_api, |proxy| proxy.address);
        let name = if is_entry { format!("edge-{index}") } else { format!("disk-{index}") };
        let (caller_address, readiness_address, peer_address) =
            (free_address(), free_address(), free_address());
        let listen_settings = if is_entry {
            format!(
                "Frontend = \"{caller_address}\"\nReady = \"{readiness_address}\"\nControl = \"{peer_address}\"\n"
            )
        } else {
            String::new()
        };
        let data_setting = if is_entry {
            String::new()
        } else {
            format!("DataDir = {:?}\n", self.dir.join("data"))
        };
        let settings = format!(
            "Node = \"{name}\"\nZone = \"a\"\nIp = \"127.0.0.1\"\nInternalPorts = [{}, {}]\n{data_setting}\
             [Listen]\n{listen_settings}[Bounds]\nGraceS = 5\nLeaseMs = 1500\nRequireFence = true\n\
             [Platform]\nAddress = \"{}\"\n",
            peer_address.port(),
            peer_address.port(),
            object_api,
        );
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("settings");
        Node {
            name,
            caller_address,
            readiness_address,
            settings_file: file,
            process: None,
            object_api_proxy,
        }
    }

    /// Returns the address of a node for other nodes, from its settings file.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        let settings = std::fs::read_to_string(&self.nodes[index].settings_file).expect("settings");
        let line = settings.lines().find_map(|line| line.strip_prefix("Control = \""));
        line.and_then(|line| line.strip_suffix('"')?.parse().ok()).expect("address")
    }

    /// Returns the address at which a node without callers serves other nodes.
    pub fn internal_address(&self, index: usize) -> SocketAddr {
        let settings = std::fs::read_to_string(&self.nodes[index].settings_file).expect("settings");
        let line = settings.lines().find_map(|line| line.strip_prefix("InternalPorts = ["));
        let port = line.and_then(|line| line.split(',').next()?.parse().ok()).expect("port");
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Replaces text in the settings file of a node, which may be running.
    pub fn change_setting(&self, index: usize, old: &str, new: &str) {
        let file = &self.nodes[index].settings_file;
        let settings = std::fs::read_to_string(file).expect("settings");
        assert!(settings.contains(old), "{settings}");
        std::fs::write(file, settings.replace(old, new)).expect("settings");
    }

    /// Starts the process of a node.
    pub fn start_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let settings = node.settings_file.to_str().expect("path");
        let log = self.dir.join(format!("{}.log", node.name));
        let arguments = ["--config", settings];
        node.process = Some(Process::start(&node.name, "decknode", &arguments, Some(&log)));
    }

    /// Returns the nodes that serve callers.
    pub fn entry_nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.name.starts_with("edge"))
    }

    /// Waits until all nodes that serve callers report that they are ready.
    pub async fn wait_until_ready(&self) {
        for node in self.entry_nodes() {
            eventually("a node is ready", async || {
                let response =
                    self.call(node.readiness_address, Method::GET, "/v1/readyz", &[], Vec::new());
                matches!(response.await, Ok((StatusCode::OK, _)))
            })
            .await;
        }
    }

    /// Sends a request over a new connection; returns the status and body of the response.
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
            let response = self.client.send_on_new_connection(address, request).await?;
            let status = response.status;
            Ok((status, response.collect(1 << 24).await?.to_vec()))
        };
        match monoio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(NetError::Exchange(address, "no answer in time".to_owned())),
        }
    }

    /// Sets faults that the stand-in injects.
    pub async fn set_faults(&self, faults: Value) {
        let body = faults.to_string().into_bytes();
        let response = self.call(self.object_api, Method::POST, "/admin/faults", &[], body).await;
        assert_eq!(response.expect("stand-in").0, StatusCode::OK, "{faults}");
    }

    /// Returns the requests and orders that the targets have received.
    pub async fn stand_in_records(&self) -> Vec<Value> {
        let response =
            self.call(self.object_api, Method::GET, "/admin/records", &[], Vec::new()).await;
        serde_json::from_slice(&response.expect("stand-in").1).expect("records")
    }

    /// Publishes a weight version of the model, as a trainer does.
    pub async fn publish_version(&self, version: u64) {
        let spec = json!({"Model": "m0", "Version": version});
        let body = json!({"Metadata": {"Name": "m0"}, "Spec": spec}).to_string().into_bytes();
        eventually("the version is published", async || {
            let kind = "/v1/objects/versions";
            let created = self.call(self.object_api, Method::POST, kind, &[], body.clone()).await;
            if matches!(created, Ok((StatusCode::OK, _))) {
                return true;
            }
            let path = "/v1/objects/versions/m0";
            let replaced = self.call(self.object_api, Method::PUT, path, &[], body.clone()).await;
            matches!(replaced, Ok((StatusCode::OK, _)))
        })
        .await;
    }

    /// Submits a job of `groups` groups to one node after the other until one accepts it.
    pub async fn submit(&self, step: u64, groups: usize, min_version: u64) -> SubmittedJob {
        let job = NewJob::new(step, groups, min_version);
        let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
        for address in self.caller_addresses().iter().cycle() {
            if self.try_submit(*address, &job).await {
                break;
            }
            assert!(Instant::now() < deadline, "job {} was not accepted", job.id);
        }
        job.into_submitted()
    }

    /// Returns the addresses for callers of all nodes.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entry_nodes().map(|node| node.caller_address).collect()
    }

    /// Submits a job to one node; returns whether the node has accepted it. Waits for a while if not.
    pub async fn try_submit(&self, address: SocketAddr, job: &NewJob) -> bool {
        let headers = [("Request-Id", job.id.as_str()), ("Content-Type", "application/json")];
        let path = format!("/jobs/{}", job.id);
        let response = self.call(address, Method::POST, &path, &headers, job.body.clone()).await;
        if matches!(response, Ok((StatusCode::ACCEPTED, _))) {
            return true;
        }
        println!("job {} was not accepted at {address}: {response:?}", job.id);
        monoio::time::sleep(Duration::from_millis(100)).await;
        false
    }

    /// Reads the results of a job from a position at one node; `None` if the node gives no answer.
    pub async fn read(
        &self,
        address: SocketAddr,
        job: &SubmittedJob,
        from: usize,
    ) -> Option<Value> {
        let path = format!("/v1/lots/{}?After={from}", job.id);
        let response =
            self.call(address, Method::GET, &path, &[("Wait-Ms", "300")], Vec::new()).await;
        match response {
            Ok((StatusCode::OK, body)) => Some(serde_json::from_slice(&body).expect("page")),
            Ok((StatusCode::NOT_FOUND, _)) => panic!("accepted job {} is not known", job.id),
            _ => None,
        }
    }

    /// Reads the next results at one node and checks them.
    pub async fn read_next_results(&self, address: SocketAddr, job: &mut SubmittedJob) {
        let from = job.results.len();
        let Some(page) = self.read(address, job, from).await else { return };
        assert_eq!(page["Total"], job.items.len());
        for result in page["Results"].as_array().expect("results") {
            match result["State"].as_str() {
                Some("errored") => self.assert_given_up_rightly(job, result).await,
                _ => assert_valid_result(job, result),
            }
            job.results.push(result.clone());
            job.read_at.push(Instant::now());
        }
    }

    /// Checks a result without a text: it is allowed only after as many failures of the item's reward
    /// call as its route allows attempts.
    async fn assert_given_up_rightly(&self, job: &SubmittedJob, result: &Value) {
        assert_new_position(job, result);
        let reward_call = format!("{}s", result["Id"].as_str().expect("id"));
        let records = self.stand_in_records().await;
        let is_failure = |record: &&Value| {
            record["call"] == *reward_call && record["failed"].as_bool() == Some(true)
        };
        let failures = records.iter().filter(is_failure).count();
        assert!(failures >= PLAIN_ATTEMPTS, "{result}: its reward call failed {failures} times");
    }

    /// Waits up to `max_wait` until another item of a job is scored.
    pub async fn wait_for_score(&self, job: &SubmittedJob, max_wait: Duration) {
        let started = Instant::now();
        let score_count = async || {
            let records = self.stand_in_records().await;
            let calls = records.iter().filter_map(|record| record["call"].as_str());
            calls.filter(|call| call.starts_with(&job.id)).count()
        };
        let first_count = score_count().await;
        while started.elapsed() < max_wait && score_count().await == first_count {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the index of the node that runs a job according to its stored record.
    pub async fn runner_of(&self, job: &SubmittedJob) -> Option<usize> {
        let path = format!("/v1/objects/batchjobs/{}", job.id);
        let response = self.call(self.object_api, Method::GET, &path, &[], Vec::new()).await;
        let record: Value = serde_json::from_slice(&response.ok()?.1).ok()?;
        self.nodes.iter().position(|node| record["Spec"]["runner"] == *node.name)
    }

    /// Checks that a node, if it answers, has the results read so far from position `from` on.
    pub async fn assert_readable(&self, node: &Node, job: &SubmittedJob, from: usize) {
        let Some(page) = self.read(node.caller_address, job, from).await else { return };
        let results = page["Results"].as_array().expect("results");
        let (id, count, name) = (&job.id, job.results.len(), &node.name);
        assert!(
            !results.is_empty(),
            "job {id}: {count} results had been read, and {name} has none at position {from}"
        );
        let compared = results.len().min(count - from);
        assert_eq!(results[..compared], job.results[from..][..compared], "job {id} at {name}");
    }

    /// Reads a job at the nodes in turn until all its results have been read.
    pub async fn read_until_complete(&self, job: &mut SubmittedJob) {
        let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
        let addresses: Vec<SocketAddr> =
            self.entry_nodes().map(|node| node.caller_address).collect();
        for address in addresses.iter().cycle() {
            if job.results.len() == job.items.len() {
                return;
            }
            assert!(Instant::now() < deadline, "{} of {}", job.results.len(), job.items.len());
            self.read_next_results(*address, job).await;
        }
    }

    /// Checks that every node returns the results already read at the same positions.
    pub async fn assert_same_positions(&self, job: &SubmittedJob) {
        for node in self.entry_nodes() {
            let mut results: Vec<Value> = Vec::new();
            eventually("a node shows the whole job", async || {
                if let Some(page) = self.read(node.caller_address, job, results.len()).await {
                    results.extend(page["Results"].as_array().expect("results").iter().cloned());
                }
                results.len() >= job.results.len()
            })
            .await;
            assert_eq!(results[..job.results.len()], job.results, "at {}", node.name);
        }
    }
}

/// Checks one result: its item has no other result, its text is whole, its weight versions are
/// allowed and its score comes from its own reward call.
fn assert_valid_result(job: &SubmittedJob, result: &Value) {
    let id = assert_new_position(job, result);
    assert_eq!(result["State"], "completed", "{result}");
    assert_eq!(result["Text"], whole_text(id));
    assert_eq!(result["Score"], format!("stamp-{id}s"));
    let versions = result["Versions"].as_array().expect("versions");
    let oldest_version = versions.iter().filter_map(Value::as_u64).min().expect("a version");
    assert!(oldest_version >= job.min_version, "{result}");
}

/// Checks that a result belongs to an item of the job that has no other result; returns the item's id.
fn assert_new_position<'a>(job: &SubmittedJob, result: &'a Value) -> &'a str {
    let id = result["Id"].as_str().expect("id");
    assert!(job.items.iter().any(|item| item == id), "{id} is not of job {}", job.id);
    let earlier_items: HashSet<&str> =
        job.results.iter().filter_map(|r| r["Id"].as_str()).collect();
    assert!(!earlier_items.contains(id), "{id} is at two positions");
    id
}

/// Runs a test on an event loop.
pub fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}
