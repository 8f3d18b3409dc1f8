//! Stand-ins, VMs and a trainer as separate processes.

// Each test binary uses a part of these helpers.
#![allow(dead_code)]

use std::{cell::Cell, net::SocketAddr, path::PathBuf};

use deck_core::id::random_id;
use deck_net::{Client, http::Method};
use deck_plat::{Precondition, Store};
use deck_testkit::{EVENT_WAIT_TIMEOUT, Process};
use serde_json::{Value, json};

/// Model that the engines of all tests serve.
pub const MODEL: &str = "m";
/// Job of all tests.
pub const JOB: &str = "rank";

/// Settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    pub engines: Vec<Vec<&'static str>>,
    pub vms: usize,
    pub samples_per_step: u32,
    pub group_size: u32,
    pub staleness_bound_versions: u64,
    pub prompts: usize,
    pub slots_per_target: u32,
    pub max_tokens: u32,
    /// Keys and values of `deckroll` settings, one line each, by section.
    pub roll_settings: Vec<(&'static str, &'static str)>,
    pub trainer: Vec<&'static str>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            engines: vec![vec!["--max-batch", "16"], vec!["--max-batch", "16"]],
            vms: 1,
            samples_per_step: 16,
            group_size: 4,
            staleness_bound_versions: 1,
            prompts: 16,
            slots_per_target: 16,
            max_tokens: 400,
            roll_settings: vec![("lease", "duration_ms = 1500")],
            trainer: vec!["--steps", "3"],
        }
    }
}

/// A stand-in or daemon with its HTTP address.
pub struct Server {
    pub process: Process,
    pub address: SocketAddr,
    client: Client,
}

impl Server {
    pub fn standin(name: &str, arguments: &[&str]) -> Self {
        let arguments = [&[name, "--listen", "127.0.0.1:0"], arguments].concat();
        let mut process = Process::start(name, "deckstandin", &arguments, None);
        let address = process.address("http");
        Self { process, address, client: Client::default() }
    }

    pub async fn call(&self, method: Method, path: &str, body: &Value) -> (u16, Value) {
        let called = self.client.json(method, self.address, path, Some(body)).await;
        let (status, value) = called.expect("response");
        (status.as_u16(), value)
    }

    pub async fn records(&self) -> Value {
        self.call(Method::GET, "/admin/records", &Value::Null).await.1
    }

    pub async fn faults(&self, faults: Value) {
        let (status, answer) = self.call(Method::POST, "/admin/faults", &faults).await;
        assert_eq!(status, 200, "{answer}");
    }

    /// Brings an engine to a version without a stop.
    pub async fn switch(&self, version: u64) {
        for (action, field) in [("stage", "staged_version"), ("switch", "weight_version")] {
            let order = json!({"fencing": 1, "action": action, "version": version});
            // An engine that still works on the last order refuses the next one.
            deck_testkit::eventually("the engine takes the order", async || {
                self.call(Method::POST, "/v1/order", &order).await.0 < 300
            })
            .await;
            deck_testkit::eventually("the engine has done the order", async || {
                self.call(Method::GET, "/v1/state", &Value::Null).await.1[field] == version
            })
            .await;
        }
    }
}

/// `deckentry` and `deckroll` of one VM.
pub struct Vm {
    pub entry: Process,
    pub roll: Process,
    pub trainer_address: SocketAddr,
    roll_file: PathBuf,
    name: String,
}

/// All processes of a test.
pub struct Cluster {
    pub trainer: Server,
    pub vms: Vec<Vm>,
    pub engines: Vec<Server>,
    pub scorer: Server,
    pub objects: Server,
    pub options: ClusterOptions,
    /// Version that the engines were brought to last.
    deployed: Cell<u64>,
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    pub async fn start(options: ClusterOptions) -> Self {
        let folder = std::env::temp_dir().join(format!("deckroll-test-{}", random_id()));
        std::fs::create_dir_all(&folder).expect("folder");
        let objects = Server::standin("objects", &["--history"]);
        let scorer = Server::standin("scorer", &[]);
        let mut engines = Vec::new();
        for arguments in &options.engines {
            engines.push(Server::standin("engine", arguments));
        }
        write_objects(&objects, &scorer, &engines, &options).await;
        let mut vms: Vec<Vm> = Vec::new();
        let mut seed = None;
        for number in 0..options.vms {
            let (vm, peer) = start_vm(&folder, number, objects.address, seed, &options);
            seed = seed.or(Some(peer));
            vms.push(vm);
        }
        let trainer = start_trainer(&vms, &options);
        Self { trainer, vms, engines, scorer, objects, options, deployed: Cell::new(1), folder }
    }

    /// Lets the engines follow the trainer's version until the trainer has finished `steps`.
    pub async fn run_steps(&self, steps: usize) -> Value {
        let mut last = Value::Null;
        deck_testkit::eventually("the trainer finishes its steps", async || {
            last = self.trainer.records().await;
            let version = last["version"].as_u64().expect("version");
            if version > self.deployed.get() {
                for engine in &self.engines {
                    engine.switch(version).await;
                }
                self.deployed.set(version);
            }
            last["steps"].as_array().expect("steps").len() >= steps
        })
        .await;
        last
    }

    /// Returns the number of the VM that owns the job.
    pub async fn owner(&self) -> usize {
        let mut owner = None;
        deck_testkit::eventually("a VM owns the job", async || {
            for (number, vm) in self.vms.iter().enumerate() {
                if vm.status().await.is_some() {
                    owner = Some(number);
                }
            }
            owner.is_some()
        })
        .await;
        owner.expect("owner")
    }

    pub async fn object(&self, kind: &str, name: &str) -> Value {
        let path = format!("/v1/objects/{kind}/{name}");
        self.objects.call(Method::GET, &path, &Value::Null).await.1
    }
}

impl Vm {
    /// Returns the local status of the job if this VM answers and owns it.
    pub async fn status(&self) -> Option<Value> {
        let client = Client::default();
        let path = format!("/v1/jobs/{JOB}");
        let call = client.json::<Value, Value>(Method::GET, self.trainer_address, &path, None);
        let answered = monoio::time::timeout(std::time::Duration::from_millis(500), call).await;
        match answered {
            Ok(Ok((status, value))) if status == 200 => Some(value),
            _ => None,
        }
    }

    /// Starts `deckroll` again on the same address after it ended.
    pub fn restart_roll(&mut self) {
        let file = self.roll_file.to_str().expect("path");
        self.roll = Process::start(&self.name, "deckroll", &["--config", file], None);
        self.roll.address("trainer");
    }
}

async fn write_objects(
    objects: &Server,
    scorer: &Server,
    engines: &[Server],
    options: &ClusterOptions,
) {
    let targets: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(number, engine)| {
            json!({
                "id": format!("engine-{number}"),
                "address": engine.address.to_string(),
                "data_centre": "sofia-a",
            })
        })
        .collect();
    let pool = json!({"schema": 1, "spec": {
        "type": "engine", "model": MODEL, "fencing": "checked",
        "slots_per_target": options.slots_per_target, "targets": targets,
    }});
    let share = json!({"schema": 1, "spec": {
        "shares": [{"pool": "draft", "share_percent": 100}],
    }});
    let prompts: Vec<String> =
        (0..options.prompts).map(|number| format!("prompt {number}")).collect();
    let job = json!({"schema": 1, "spec": {
        "organisation": "atlas", "pool": "draft",
        "scorer_address": scorer.address.to_string(),
        "samples_per_step": options.samples_per_step, "group_size": options.group_size,
        "staleness_bound_versions": options.staleness_bound_versions,
        "max_tokens": options.max_tokens, "step_deadline_ms": 60000, "prompts": prompts,
    }});
    let written = [
        ("TargetPool", "draft", pool),
        ("OrganisationShare", "atlas", share),
        ("RolloutJob", JOB, job),
    ];
    let store = Store::new(Client::default(), objects.address, EVENT_WAIT_TIMEOUT);
    for (kind, name, value) in written {
        store.put(kind, name, Precondition::Absent, &value).await.expect("object is written");
    }
}

fn start_vm(
    folder: &std::path::Path,
    number: usize,
    objects: SocketAddr,
    seed: Option<SocketAddr>,
    options: &ClusterOptions,
) -> (Vm, SocketAddr) {
    let name = format!("vm-{number}");
    let common = format!(
        "[vm]\nid = {name}\ndata_centre = sofia-a\nregion = sofia\n\
         [admin]\naddress = 127.0.0.1:0\n[log]\nlevel = warn\n"
    );
    let seeds = seed.map_or_else(String::new, |seed| format!("seeds = {seed}\n"));
    let entry_settings = format!(
        "{common}[listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\nlocal = 127.0.0.1:0\n\
         [platform]\nobject_api = {objects}\n{seeds}"
    );
    let entry_file = folder.join(format!("{name}-entry.ini"));
    std::fs::write(&entry_file, entry_settings).expect("settings");
    let file = entry_file.to_str().expect("path");
    let mut entry = Process::start(&name, "deckentry", &["--config", file], None);
    let (caller, peer, local) =
        (entry.address("caller"), entry.address("peer"), entry.address("local"));

    let mut roll_settings = format!(
        "{common}[listen]\ntrainer = 127.0.0.1:{}\n[platform]\nobject_api = {objects}\n\
         object_api_timeout_ms = 500\n[local]\nentry = {local}\ncaller = {caller}\n",
        free_port()
    );
    for (section, line) in &options.roll_settings {
        roll_settings.push_str(&format!("[{section}]\n{line}\n"));
    }
    let roll_file = folder.join(format!("{name}-roll.ini"));
    std::fs::write(&roll_file, roll_settings).expect("settings");
    let file = roll_file.to_str().expect("path");
    let mut roll = Process::start(&name, "deckroll", &["--config", file], None);
    let trainer_address = roll.address("trainer");
    (Vm { entry, roll, trainer_address, roll_file, name }, peer)
}

/// Returns a port that was free a moment ago. A restarted process keeps its port, so its settings
/// name one.
fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address").port()
}

fn start_trainer(vms: &[Vm], options: &ClusterOptions) -> Server {
    let pulls: Vec<String> = vms.iter().map(|vm| vm.trainer_address.to_string()).collect();
    let (samples, group) = (options.samples_per_step.to_string(), options.group_size.to_string());
    let mut arguments = vec!["--job", JOB, "--samples-per-step", &samples, "--group-size", &group];
    for pull in &pulls {
        arguments.extend(["--pull", pull]);
    }
    arguments.extend(options.trainer.iter().copied());
    Server::standin("trainer", &arguments)
}

/// Checks what must hold in every run: each sample of the finished steps arrived once, whole and
/// fresh, and no answer broke the protocol.
pub fn check_delivery(records: &Value, options: &ClusterOptions, steps: usize) {
    assert_eq!(records["violations"], json!([]), "answers break the protocol");
    assert_eq!(records["duplicate_groups"], 0, "a group that the trainer holds came again");
    let samples = records["samples"].as_array().expect("samples");
    let mut ids: Vec<&str> =
        samples.iter().map(|sample| sample["id"].as_str().expect("id")).collect();
    ids.sort_unstable();
    let count = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), count, "a sample came twice");
    assert!(count >= steps * options.samples_per_step as usize, "samples are missing");
    for sample in samples {
        let staleness = sample["staleness_versions"].as_u64().expect("staleness");
        assert!(staleness <= options.staleness_bound_versions, "too old: {sample}");
        assert!(sample["token_count"].as_u64() > Some(0), "empty: {sample}");
    }
}
