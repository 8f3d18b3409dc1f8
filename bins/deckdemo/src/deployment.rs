//! Processes of the demonstration.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Child,
};

use deckscenario::{command::KeyValue, environment::Environment};
use serde_json::{Value, json};

use deckdemo::{
    error::DemoError,
    tools::{self, wait_for, wait_ready},
};

/// Steps that the trainer takes.
pub const STEPS: u64 = 2;
/// Samples of a step.
pub const SAMPLES_PER_STEP: u64 = 64;
const GROUP_SIZE: u64 = 8;
/// Staleness bound of the job.
pub const STALENESS_BOUND_VERSIONS: u64 = 1;
/// Organisation with interactive calls and bookings.
pub const LIVE: &str = "reception";
/// Organisation with the rollout job and some calls.
pub const TRAINING: &str = "training";
/// Names of the engines.
pub const ENGINES: &[&str] = &["engine1", "engine2", "engine3", "engine4"];
/// Names of the plain services.
pub const SERVICES: &[&str] = &["service1", "service2"];
/// VMs with their data centres.
const VMS: &[(&str, &str)] = &[("vm1", "dc-a"), ("vm2", "dc-a"), ("vm3", "dc-b")];

/// The processes.
pub struct Deployment {
    /// The processes.
    pub world: Environment,
    directory: PathBuf,
    seed: u64,
}

/// What the workload produced.
pub struct Run {
    /// Report of the load.
    pub load: Value,
    /// Records of the trainer.
    pub trainer: Value,
    /// Status of the job as `deckctl` shows it.
    pub job: Value,
    /// Burn report as text.
    pub burn: String,
}

impl Deployment {
    /// Starts all processes and waits until the daemons are ready.
    pub fn start(directory: &Path, seed: u64) -> Result<Self, DemoError> {
        let mut world = Environment::new(directory.to_owned(), seed);
        world.add_template("entry".to_owned(), include_str!("../settings/entry.ini").to_owned());
        world.add_template("roll".to_owned(), include_str!("../settings/roll.ini").to_owned());
        world.add_template("weight".to_owned(), include_str!("../settings/weight.ini").to_owned());
        let mut deployment = Self { world, directory: directory.to_owned(), seed };
        deployment.start_stand_ins()?;
        deployment.apply_objects()?;
        deployment.start_daemons()?;
        Ok(deployment)
    }

    fn start_stand_ins(&mut self) -> Result<(), DemoError> {
        let start = |world: &mut Environment, name: &str, kind: &str, arguments: &[&str]| {
            let arguments: Vec<String> = arguments.iter().map(|a| (*a).to_owned()).collect();
            world.start_standin(name, kind, &arguments)
        };
        start(&mut self.world, "store", "objects", &[])?;
        start(&mut self.world, "vmlist", "vmlist", &[])?;
        start(&mut self.world, "scorer", "scorer", &[])?;
        start(&mut self.world, "weights", "weights", &["--model", "seats", "--version", "1"])?;
        for engine in ENGINES {
            let arguments =
                ["--model", "seats", "--weights", "${weights.http}", "--max-batch", "16"];
            start(&mut self.world, engine, "engine", &arguments)?;
        }
        for service in SERVICES {
            start(&mut self.world, service, "service", &["--delay-ms", "5"])?;
        }
        Ok(())
    }

    fn start_daemons(&mut self) -> Result<(), DemoError> {
        let mut seeds = String::new();
        for (vm, dc) in VMS {
            let entry = format!("{vm}-entry");
            self.start_daemon(
                &entry,
                "deckentry",
                "entry",
                &[("vm", vm), ("dc", dc), ("seeds", &seeds)],
            )?;
            let local = format!("${{{entry}.local}}");
            let caller = format!("${{{entry}.caller}}");
            let common = [("vm", *vm), ("dc", dc), ("entry", &local), ("caller", &caller)];
            self.start_daemon(&format!("{vm}-roll"), "deckroll", "roll", &common)?;
            self.start_daemon(&format!("{vm}-weight"), "deckweight", "weight", &common)?;
            seeds = self.address("vm1-entry", "peer")?.to_string();
        }
        self.set_vm_list()?;
        for (vm, _) in VMS {
            for program in ["entry", "roll", "weight"] {
                let name = format!("{vm}-{program}");
                wait_ready(&name, self.address(&name, "admin")?)?;
            }
        }
        Ok(())
    }

    fn start_daemon(
        &mut self,
        name: &str,
        program: &str,
        settings: &str,
        bindings: &[(&str, &str)],
    ) -> Result<(), DemoError> {
        let binding =
            |(key, value): &(&str, &str)| KeyValue { key: (*key).into(), value: (*value).into() };
        let bindings: Vec<_> = bindings.iter().map(binding).collect();
        Ok(self.world.start_daemon(name, program, settings, &bindings)?)
    }

    fn set_vm_list(&self) -> Result<(), DemoError> {
        let mut vms = Vec::new();
        for (vm, dc) in VMS {
            let address = self.address(&format!("{vm}-entry"), "peer")?;
            vms.push(json!({
                "vm": vm, "data_centre": dc, "address": address.to_string(), "state": "live",
            }));
        }
        let vmlist = self.address("vmlist", "http")?;
        tools::put(vmlist, "/admin/vms", &json!({ "vms": vms })).map(drop)
    }

    fn apply_objects(&self) -> Result<(), DemoError> {
        let file = self.directory.join("objects.json");
        std::fs::write(&file, serde_json::to_string_pretty(&self.objects()?)?)?;
        let output = self.deckctl(&["apply", &file.display().to_string()])?;
        print!("{output}");
        Ok(())
    }

    fn objects(&self) -> Result<Value, DemoError> {
        let targets = |names: &[&str]| -> Result<Vec<Value>, DemoError> {
            let target = |(index, name): (usize, &&str)| {
                let address = self.address(name, "http")?.to_string();
                let data_centre = if index % 2 == 0 { "dc-a" } else { "dc-b" };
                Ok(json!({ "id": name, "address": address, "data_centre": data_centre }))
            };
            names.iter().enumerate().map(target).collect()
        };
        let object = |kind: &str, name: &str, spec: Value| json!({ "kind": kind, "name": name, "schema": 1, "spec": spec });
        let objective = |organisation: &str, pool: &str, indicator: Value, percent: f64| {
            json!({
                "organisation": organisation, "pool": pool, "indicator": indicator,
                "objective_percent": percent, "window_hours": 720,
            })
        };
        let prompts: Vec<String> = (0..SAMPLES_PER_STEP / GROUP_SIZE * STEPS)
            .map(|index| format!("rank the seats of row {index}"))
            .collect();
        Ok(json!([
            object(
                "TargetPool",
                "rank-models",
                json!({
                    "type": "engine", "model": "seats", "fencing": "checked", "slots_per_target": 16,
                    "weight_store_address": self.address("weights", "http")?.to_string(),
                    "targets": targets(ENGINES)?,
                })
            ),
            object(
                "TargetPool",
                "booking-app",
                json!({
                    "type": "service", "fencing": "ignored", "slots_per_target": 16,
                    "targets": targets(SERVICES)?,
                })
            ),
            object(
                "OrganisationShare",
                LIVE,
                json!({ "shares": [
                    { "pool": "rank-models", "share_percent": 40 },
                    { "pool": "booking-app", "share_percent": 70 },
                ]})
            ),
            object(
                "OrganisationShare",
                TRAINING,
                json!({ "shares": [
                    { "pool": "rank-models", "share_percent": 60 },
                    { "pool": "booking-app", "share_percent": 30 },
                ]})
            ),
            object(
                "RolloutJob",
                "seat-ranking",
                json!({
                    "organisation": TRAINING, "pool": "rank-models",
                    "scorer_address": self.address("scorer", "http")?.to_string(),
                    "samples_per_step": SAMPLES_PER_STEP, "group_size": GROUP_SIZE,
                    "staleness_bound_versions": STALENESS_BOUND_VERSIONS, "max_tokens": 200,
                    "step_deadline_ms": 60_000, "prompts": prompts,
                })
            ),
            object(
                "ServiceObjective",
                "bookings",
                objective(LIVE, "booking-app", json!({ "type": "availability" }), 99.9,)
            ),
            object(
                "ServiceObjective",
                "seat-latency",
                objective(
                    LIVE,
                    "rank-models",
                    json!({ "type": "latency", "bound_ms": 2000 }),
                    99.0,
                )
            ),
            object(
                "ServiceObjective",
                "trainer-busy",
                objective(TRAINING, "rank-models", json!({ "type": "trainer_idle" }), 50.0)
            ),
            object(
                "ServiceObjective",
                "sample-staleness",
                objective(
                    TRAINING,
                    "rank-models",
                    json!({ "type": "staleness", "bound_versions": STALENESS_BOUND_VERSIONS }),
                    99.0,
                )
            ),
        ]))
    }

    /// Runs the trainer and the load beside each other.
    pub fn run_workload(&mut self, load_ms: u64) -> Result<Run, DemoError> {
        let history = self.directory.join("history.jsonl");
        let _ = std::fs::remove_file(&history);
        let recorder = self.start_recorder(&history, load_ms)?;
        let load = self.start_load(load_ms)?;
        self.start_trainer()?;
        let trainer_address = self.address("trainer", "http")?;
        wait_for("the trainer finishes its steps", || {
            let records = tools::read(trainer_address, "/admin/records")?;
            Ok(records["steps"].as_array().is_some_and(|steps| steps.len() as u64 >= STEPS))
        })?;
        let trainer = tools::read(trainer_address, "/admin/records")?;
        let load: Value = serde_json::from_str(&tools::finish("deckload", load)?)?;
        tools::finish("deckctl report record", recorder)?;
        self.wait_job_status()?;
        let job = self.deckctl(&["--output", "json", "describe", "RolloutJob", "seat-ranking"])?;
        let (history, html) = (path_text(&history), path_text(&self.directory.join("burn.html")));
        let burn = self.deckctl(&["report", "burn", "--history", &history, "--html", &html])?;
        Ok(Run { load, trainer, job: serde_json::from_str(&job)?, burn })
    }

    /// Waits until the job's status, which is written at intervals, covers the last step. Its samples
    /// count as delivered only with the next pull, which confirms that the trainer holds them.
    fn wait_job_status(&self) -> Result<(), DemoError> {
        wait_for("the job's status covers the last step", || {
            let job =
                self.deckctl(&["--output", "json", "describe", "RolloutJob", "seat-ranking"])?;
            let job: Value = serde_json::from_str(&job)?;
            Ok(job["status"]["step"].as_u64() == Some(STEPS - 1))
        })
    }

    fn start_trainer(&mut self) -> Result<(), DemoError> {
        let mut arguments = vec![
            format!("--job=seat-ranking"),
            format!("--model=seats"),
            format!("--weights=${{weights.http}}"),
            format!("--samples-per-step={SAMPLES_PER_STEP}"),
            format!("--group-size={GROUP_SIZE}"),
            format!("--steps={STEPS}"),
            format!("--train-ms=500"),
        ];
        for (vm, _) in VMS {
            arguments.push(format!("--pull=${{{vm}-roll.trainer}}"));
        }
        Ok(self.world.start_standin("trainer", "trainer", &arguments)?)
    }

    fn start_load(&self, load_ms: u64) -> Result<Child, DemoError> {
        let mut arguments = vec![
            format!("--seed={}", self.seed),
            format!("--duration-ms={load_ms}"),
            format!("--organisation={LIVE}"),
            format!("--organisation={TRAINING}"),
            "--model=seats".to_owned(),
            "--service=booking-app".to_owned(),
            "--short-per-s=8".to_owned(),
            "--short-tokens=16".to_owned(),
            "--long-per-s=1".to_owned(),
            "--long-tokens=200".to_owned(),
            "--get-per-s=10".to_owned(),
            "--book-per-s=4".to_owned(),
            "--ticket-per-s=4".to_owned(),
            "--list-bookings".to_owned(),
        ];
        for (vm, _) in VMS {
            arguments.push(format!("--entry={}", self.address(&format!("{vm}-entry"), "caller")?));
        }
        tools::start("deckload", &arguments)
    }

    fn start_recorder(&self, history: &Path, load_ms: u64) -> Result<Child, DemoError> {
        let mut arguments =
            vec!["report".to_owned(), "record".to_owned(), "--interval-ms=1000".to_owned()];
        arguments.push(format!("--history={}", history.display()));
        arguments.push(format!("--count={}", load_ms / 1000 + 5));
        for (vm, _) in VMS {
            for program in ["entry", "roll"] {
                let address = self.address(&format!("{vm}-{program}"), "admin")?;
                arguments.push(format!("--admin={address}"));
            }
        }
        tools::start("deckctl", &arguments)
    }

    /// Stops all daemons gracefully; each has to end with success.
    pub fn stop(&mut self) -> Result<(), DemoError> {
        for program in ["roll", "weight", "entry"] {
            for (vm, _) in VMS {
                let name = format!("{vm}-{program}");
                let process = self.world.process(&name)?;
                process.terminate();
                let status = process.wait();
                if !status.success() {
                    return Err(DemoError::Program(name, format!("ended with {status}")));
                }
            }
        }
        println!("demo: {} daemons ended gracefully", VMS.len() * 3);
        Ok(())
    }

    fn deckctl(&self, arguments: &[&str]) -> Result<String, DemoError> {
        let store = self.address("store", "http")?.to_string();
        let mut all = vec!["--object-api".to_owned(), store];
        all.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        tools::run("deckctl", &all)
    }

    fn address(&self, name: &str, listener: &str) -> Result<SocketAddr, DemoError> {
        let missing = || DemoError::Program(name.to_owned(), format!("no listener {listener}"));
        self.world.address(name, listener).ok_or_else(missing)
    }
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}
