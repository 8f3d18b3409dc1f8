//! Starts stand-ins, VMs and a trainer as separate processes and checks what the trainer received.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use std::{cell::Cell, net::SocketAddr, path::PathBuf};

use deck_core::id::random_id;
use deck_net::{Client, http::Method};
use deck_plat::{Precondition, Store};
use deck_testkit::{EVENT_WAIT_TIMEOUT, Process};
use serde_json::{Value, json};

/// Model that the engines of all tests serve.
pub const MODEL: &str = "m";
/// Name of the rollout job of all tests.
pub const JOB: &str = "rank";

/// Numbers of processes to start, spec of the rollout job, and command-line arguments.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// One engine stand-in is started for each list, with the list as its command-line arguments.
    pub engine_arguments: Vec<Vec<&'static str>>,
    /// Number of VMs; each runs `deckentry` and `deckroll`.
    pub vm_count: usize,
    pub samples_per_step: u32,
    pub group_size: u32,
    pub staleness_bound_versions: u64,
    pub prompts: usize,
    pub slots_per_target: u32,
    pub max_tokens: u32,
    /// Additional sections of the `deckroll` settings file, each as its name and its lines.
    pub roll_settings: Vec<(&'static str, &'static str)>,
    /// Additional command-line arguments of the trainer stand-in.
    pub trainer_arguments: Vec<&'static str>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            engine_arguments: vec![vec!["--max-batch", "16"], vec!["--max-batch", "16"]],
            vm_count: 1,
            samples_per_step: 16,
            group_size: 4,
            staleness_bound_versions: 1,
            prompts: 16,
            slots_per_target: 16,
            max_tokens: 400,
            roll_settings: vec![("lease", "duration_ms = 1500")],
            trainer_arguments: vec!["--steps", "3"],
        }
    }
}

/// A `deckstandin` process, its HTTP address, and a client for its endpoints.
pub struct StandIn {
    pub process: Process,
    pub address: SocketAddr,
    client: Client,
}

impl StandIn {
    pub fn start_stand_in(name: &str, arguments: &[&str]) -> Self {
        let arguments = [&[name, "--listen", "127.0.0.1:0"], arguments].concat();
        let mut process = Process::start(name, "deckstandin", &arguments, None);
        let address = process.address("http");
        Self { process, address, client: Client::default() }
    }

    /// Sends a JSON request and returns the status and the JSON body of the response.
    pub async fn call(&self, method: Method, path: &str, body: &Value) -> (u16, Value) {
        let result = self.client.json(method, self.address, path, Some(body)).await;
        let (status, value) = result.expect("response");
        (status.as_u16(), value)
    }

    /// Returns what the stand-in received and did, from its `GET /admin/records`.
    pub async fn fetch_records(&self) -> Value {
        self.call(Method::GET, "/admin/records", &Value::Null).await.1
    }

    /// Injects faults into the stand-in.
    pub async fn set_faults(&self, faults: Value) {
        let (status, response) = self.call(Method::POST, "/admin/faults", &faults).await;
        assert_eq!(status, 200, "{response}");
    }

    /// Makes an engine stage and switch to `version` while it runs.
    pub async fn switch_version(&self, version: u64) {
        for (action, field) in [("stage", "staged_version"), ("switch", "weight_version")] {
            let order = json!({"fencing": 1, "action": action, "version": version});
            // An engine refuses an order while it still executes the previous one.
            deck_testkit::eventually("the engine accepts the order", async || {
                self.call(Method::POST, "/v1/order", &order).await.0 < 300
            })
            .await;
            deck_testkit::eventually("the engine has completed the order", async || {
                self.call(Method::GET, "/v1/state", &Value::Null).await.1[field] == version
            })
            .await;
        }
    }
}

/// The `deckentry` and `deckroll` processes of one VM.
pub struct Vm {
    pub entry: Process,
    pub roll: Process,
    /// Address at which `deckroll` accepts pulls of trainers.
    pub trainer_address: SocketAddr,
    /// Settings file of `deckroll`, used again when it is restarted.
    roll_settings_file: PathBuf,
    name: String,
}

/// All processes of a test.
pub struct Cluster {
    pub trainer: StandIn,
    pub vms: Vec<Vm>,
    pub engines: Vec<StandIn>,
    pub scorer: StandIn,
    pub object_api: StandIn,
    pub options: ClusterOptions,
    /// Weight version to which `run_steps` last switched all engines.
    engine_version: Cell<u64>,
    directory: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Cluster {
    pub async fn start(options: ClusterOptions) -> Self {
        let directory = std::env::temp_dir().join(format!("deckroll-test-{}", random_id()));
        std::fs::create_dir_all(&directory).expect("directory");
        let object_api = StandIn::start_stand_in("objects", &["--history"]);
        let scorer = StandIn::start_stand_in("scorer", &[]);
        let mut engines = Vec::new();
        for arguments in &options.engine_arguments {
            engines.push(StandIn::start_stand_in("engine", arguments));
        }
        write_objects(&object_api, &scorer, &engines, &options).await;
        let mut vms: Vec<Vm> = Vec::new();
        let mut seed = None;
        for number in 0..options.vm_count {
            let (vm, peer) = start_vm(&directory, number, object_api.address, seed, &options);
            seed = seed.or(Some(peer));
            vms.push(vm);
        }
        let trainer = start_trainer(&vms, &options);
        Self {
            trainer,
            vms,
            engines,
            scorer,
            object_api,
            options,
            engine_version: Cell::new(1),
            directory,
        }
    }

    /// Switches the engines to each version of the trainer until it has finished `steps`, and
    /// returns its records.
    pub async fn run_steps(&self, steps: usize) -> Value {
        let mut records = Value::Null;
        deck_testkit::eventually("the trainer finishes its steps", async || {
            records = self.trainer.fetch_records().await;
            let version = records["version"].as_u64().expect("version");
            if version > self.engine_version.get() {
                for engine in &self.engines {
                    engine.switch_version(version).await;
                }
                self.engine_version.set(version);
            }
            records["steps"].as_array().expect("steps").len() >= steps
        })
        .await;
        records
    }

    /// Waits until a VM owns the job and returns the index of the VM.
    pub async fn find_owner(&self) -> usize {
        let mut owner = None;
        deck_testkit::eventually("a VM owns the job", async || {
            for (number, vm) in self.vms.iter().enumerate() {
                if vm.fetch_job_status().await.is_some() {
                    owner = Some(number);
                }
            }
            owner.is_some()
        })
        .await;
        owner.expect("owner")
    }

    /// Returns an object from the object API.
    pub async fn get_object(&self, kind: &str, name: &str) -> Value {
        let path = format!("/v1/objects/{kind}/{name}");
        self.object_api.call(Method::GET, &path, &Value::Null).await.1
    }
}

impl Vm {
    /// Returns the job's status from `deckroll` if it responds and owns the job.
    pub async fn fetch_job_status(&self) -> Option<Value> {
        let client = Client::default();
        let path = format!("/v1/jobs/{JOB}");
        let call = client.json::<Value, Value>(Method::GET, self.trainer_address, &path, None);
        let answered = monoio::time::timeout(std::time::Duration::from_millis(500), call).await;
        match answered {
            Ok(Ok((status, value))) if status == 200 => Some(value),
            _ => None,
        }
    }

    /// Restarts `deckroll` on the same address after it has exited.
    pub fn restart_roll(&mut self) {
        let file = self.roll_settings_file.to_str().expect("path");
        self.roll = Process::start(&self.name, "deckroll", &["--config", file], None);
        self.roll.address("trainer");
    }
}

async fn write_objects(
    object_api: &StandIn,
    scorer: &StandIn,
    engines: &[StandIn],
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
    let objects_to_write = [
        ("TargetPool", "draft", pool),
        ("OrganisationShare", "atlas", share),
        ("RolloutJob", JOB, job),
    ];
    let store = Store::new(Client::default(), object_api.address, EVENT_WAIT_TIMEOUT);
    for (kind, name, value) in objects_to_write {
        store.put(kind, name, Precondition::Absent, &value).await.expect("object is written");
    }
}

fn start_vm(
    directory: &std::path::Path,
    number: usize,
    object_api: SocketAddr,
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
         [platform]\nobject_api = {object_api}\n{seeds}"
    );
    let entry_file = directory.join(format!("{name}-entry.ini"));
    std::fs::write(&entry_file, entry_settings).expect("settings");
    let file = entry_file.to_str().expect("path");
    let mut entry = Process::start(&name, "deckentry", &["--config", file], None);
    let (caller, peer, local) =
        (entry.address("caller"), entry.address("peer"), entry.address("local"));

    let mut roll_settings = format!(
        "{common}[listen]\ntrainer = 127.0.0.1:{}\n[platform]\nobject_api = {object_api}\n\
         object_api_timeout_ms = 500\n[local]\nentry = {local}\ncaller = {caller}\n",
        free_port()
    );
    for (section, line) in &options.roll_settings {
        roll_settings.push_str(&format!("[{section}]\n{line}\n"));
    }
    let roll_settings_file = directory.join(format!("{name}-roll.ini"));
    std::fs::write(&roll_settings_file, roll_settings).expect("settings");
    let file = roll_settings_file.to_str().expect("path");
    let mut roll = Process::start(&name, "deckroll", &["--config", file], None);
    let trainer_address = roll.address("trainer");
    (Vm { entry, roll, trainer_address, roll_settings_file, name }, peer)
}

/// Returns a port that was just free. A restarted process must keep its port, so its settings name
/// one.
fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address").port()
}

fn start_trainer(vms: &[Vm], options: &ClusterOptions) -> StandIn {
    let pulls: Vec<String> = vms.iter().map(|vm| vm.trainer_address.to_string()).collect();
    let (samples, group) = (options.samples_per_step.to_string(), options.group_size.to_string());
    let mut arguments = vec!["--job", JOB, "--samples-per-step", &samples, "--group-size", &group];
    for pull in &pulls {
        arguments.extend(["--pull", pull]);
    }
    arguments.extend(options.trainer_arguments.iter().copied());
    StandIn::start_stand_in("trainer", &arguments)
}

/// Checks that each sample of the finished steps arrived once, not empty and within the staleness
/// bound, and that no response violated the protocol.
pub fn check_delivery(records: &Value, options: &ClusterOptions, steps: usize) {
    assert_eq!(records["violations"], json!([]), "responses violate the protocol");
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
