//! Processes of the demonstration: stand-ins for the platform, daemons of three VMs, and the
//! workload.

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

/// Number of steps that the trainer runs.
pub const STEPS: u64 = 2;
/// Samples that the trainer needs for one step.
pub const SAMPLES_PER_STEP: u64 = 64;
/// Samples generated from one prompt.
const GROUP_SIZE: u64 = 8;
/// Staleness bound of the rollout job: how many weight versions a sample may be behind the trainer.
pub const STALENESS_BOUND_VERSIONS: u64 = 1;
/// Organisation that sends calls of all kinds and runs no rollout job.
pub const INTERACTIVE_ORGANISATION: &str = "reception";
/// Organisation that owns the rollout job and also sends calls.
pub const TRAINING_ORGANISATION: &str = "training";
/// Names of the engine stand-ins.
pub const ENGINES: &[&str] = &["engine1", "engine2", "engine3", "engine4"];
/// Names of the stand-ins of plain services.
pub const SERVICES: &[&str] = &["service1", "service2"];
/// Names of the VMs, each with its data centre.
const VMS: &[(&str, &str)] = &[("vm1", "dc-a"), ("vm2", "dc-a"), ("vm3", "dc-b")];

/// Running deployment: stand-ins and daemons.
pub struct Deployment {
    /// Processes by name, with their addresses and journals.
    pub environment: Environment,
    directory: PathBuf,
    seed: u64,
}

/// Reports and records collected after the workload.
pub struct WorkloadResults {
    /// Report that `deckload` printed.
    pub load_report: Value,
    /// Steps and samples that the trainer stand-in recorded.
    pub trainer_records: Value,
    /// Object of the rollout job with its status, as `deckctl describe` prints it.
    pub job: Value,
    /// Error budgets of the service objectives, as `deckctl report burn` prints them.
    pub burn_report: String,
}

impl Deployment {
    /// Starts the stand-ins, writes the configuration objects, starts the daemons and waits until
    /// they are ready.
    pub fn start(directory: &Path, seed: u64) -> Result<Self, DemoError> {
        let mut environment = Environment::new(directory.to_owned(), seed);
        environment
            .add_template("entry".to_owned(), include_str!("../settings/entry.ini").to_owned());
        environment
            .add_template("roll".to_owned(), include_str!("../settings/roll.ini").to_owned());
        environment
            .add_template("weight".to_owned(), include_str!("../settings/weight.ini").to_owned());
        let mut deployment = Self { environment, directory: directory.to_owned(), seed };
        deployment.start_stand_ins()?;
        deployment.apply_objects()?;
        deployment.start_daemons()?;
        Ok(deployment)
    }

    fn start_stand_ins(&mut self) -> Result<(), DemoError> {
        let start = |environment: &mut Environment, name: &str, kind: &str, arguments: &[&str]| {
            let arguments: Vec<String> =
                arguments.iter().map(|argument| (*argument).to_owned()).collect();
            environment.start_standin(name, kind, &arguments)
        };
        start(&mut self.environment, "store", "objects", &[])?;
        start(&mut self.environment, "vmlist", "vmlist", &[])?;
        start(&mut self.environment, "scorer", "scorer", &[])?;
        start(
            &mut self.environment,
            "weights",
            "weights",
            &["--model", "seats", "--version", "1"],
        )?;
        for engine in ENGINES {
            let arguments =
                ["--model", "seats", "--weights", "${weights.http}", "--max-batch", "16"];
            start(&mut self.environment, engine, "engine", &arguments)?;
        }
        for service in SERVICES {
            start(&mut self.environment, service, "service", &["--delay-ms", "5"])?;
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
            let bindings = [("vm", *vm), ("dc", dc), ("entry", &local), ("caller", &caller)];
            self.start_daemon(&format!("{vm}-roll"), "deckroll", "roll", &bindings)?;
            self.start_daemon(&format!("{vm}-weight"), "deckweight", "weight", &bindings)?;
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
        Ok(self.environment.start_daemon(name, program, settings, &bindings)?)
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
        tools::put_json(vmlist, "/admin/vms", &json!({ "vms": vms })).map(drop)
    }

    fn apply_objects(&self) -> Result<(), DemoError> {
        let file = self.directory.join("objects.json");
        std::fs::write(&file, serde_json::to_string_pretty(&self.build_objects()?)?)?;
        let output = self.deckctl(&["apply", &file.display().to_string()])?;
        print!("{output}");
        Ok(())
    }

    /// Returns the configuration objects of the demonstration: pools, shares of the organisations,
    /// the rollout job and service objectives.
    fn build_objects(&self) -> Result<Value, DemoError> {
        let targets = |names: &[&str]| -> Result<Vec<Value>, DemoError> {
            let target = |(index, name): (usize, &&str)| {
                let address = self.address(name, "http")?.to_string();
                let data_centre = if index % 2 == 0 { "dc-a" } else { "dc-b" };
                Ok(json!({ "id": name, "address": address, "data_centre": data_centre }))
            };
            names.iter().enumerate().map(target).collect()
        };
        let object = |kind: &str, name: &str, spec: Value| json!({ "kind": kind, "name": name, "schema": 1, "spec": spec });
        let objective =
            |organisation: &str, pool: &str, indicator: Value, objective_percent: f64| {
                json!({
                    "organisation": organisation, "pool": pool, "indicator": indicator,
                    "objective_percent": objective_percent, "window_hours": 720,
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
                INTERACTIVE_ORGANISATION,
                json!({ "shares": [
                    { "pool": "rank-models", "share_percent": 40 },
                    { "pool": "booking-app", "share_percent": 70 },
                ]})
            ),
            object(
                "OrganisationShare",
                TRAINING_ORGANISATION,
                json!({ "shares": [
                    { "pool": "rank-models", "share_percent": 60 },
                    { "pool": "booking-app", "share_percent": 30 },
                ]})
            ),
            object(
                "RolloutJob",
                "seat-ranking",
                json!({
                    "organisation": TRAINING_ORGANISATION, "pool": "rank-models",
                    "scorer_address": self.address("scorer", "http")?.to_string(),
                    "samples_per_step": SAMPLES_PER_STEP, "group_size": GROUP_SIZE,
                    "staleness_bound_versions": STALENESS_BOUND_VERSIONS, "max_tokens": 200,
                    "step_deadline_ms": 60_000, "prompts": prompts,
                })
            ),
            object(
                "ServiceObjective",
                "bookings",
                objective(
                    INTERACTIVE_ORGANISATION,
                    "booking-app",
                    json!({ "type": "availability" }),
                    99.9,
                )
            ),
            object(
                "ServiceObjective",
                "seat-latency",
                objective(
                    INTERACTIVE_ORGANISATION,
                    "rank-models",
                    json!({ "type": "latency", "bound_ms": 2000 }),
                    99.0,
                )
            ),
            object(
                "ServiceObjective",
                "trainer-busy",
                objective(
                    TRAINING_ORGANISATION,
                    "rank-models",
                    json!({ "type": "trainer_idle" }),
                    50.0
                )
            ),
            object(
                "ServiceObjective",
                "sample-staleness",
                objective(
                    TRAINING_ORGANISATION,
                    "rank-models",
                    json!({ "type": "staleness", "bound_versions": STALENESS_BOUND_VERSIONS }),
                    99.0,
                )
            ),
        ]))
    }

    /// Runs the trainer and `deckload` at the same time, for `load_ms` or until the trainer has run
    /// [`STEPS`] steps, whichever is longer, and collects their results.
    pub fn run_workload(&mut self, load_ms: u64) -> Result<WorkloadResults, DemoError> {
        let history = self.directory.join("history.jsonl");
        let _ = std::fs::remove_file(&history);
        let recorder = self.start_recorder(&history, load_ms)?;
        let load = self.start_load(load_ms)?;
        self.start_trainer()?;
        let trainer_address = self.address("trainer", "http")?;
        wait_for("the trainer finishes its steps", || {
            let records = tools::get_json(trainer_address, "/admin/records")?;
            Ok(records["steps"].as_array().is_some_and(|steps| steps.len() as u64 >= STEPS))
        })?;
        let trainer_records = tools::get_json(trainer_address, "/admin/records")?;
        let load_report: Value = serde_json::from_str(&tools::wait_for_output("deckload", load)?)?;
        tools::wait_for_output("deckctl report record", recorder)?;
        self.wait_until_status_shows_last_step()?;
        let job = self.deckctl(&["--output", "json", "describe", "RolloutJob", "seat-ranking"])?;
        let (history, html) = (path_text(&history), path_text(&self.directory.join("burn.html")));
        let burn_report =
            self.deckctl(&["report", "burn", "--history", &history, "--html", &html])?;
        Ok(WorkloadResults {
            load_report,
            trainer_records,
            job: serde_json::from_str(&job)?,
            burn_report,
        })
    }

    /// Waits until the job's status shows the last step. The status is written at intervals, and
    /// the samples of a step count as delivered only with the trainer's next pull, which confirms
    /// that it has received them.
    fn wait_until_status_shows_last_step(&self) -> Result<(), DemoError> {
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
        Ok(self.environment.start_standin("trainer", "trainer", &arguments)?)
    }

    fn start_load(&self, load_ms: u64) -> Result<Child, DemoError> {
        let mut arguments = vec![
            format!("--seed={}", self.seed),
            format!("--duration-ms={load_ms}"),
            format!("--organisation={INTERACTIVE_ORGANISATION}"),
            format!("--organisation={TRAINING_ORGANISATION}"),
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
        tools::start_program("deckload", &arguments)
    }

    /// Starts `deckctl report record`, which records the metrics of the daemons for the burn
    /// report. It runs a few seconds longer than the load, so that the last calls are included.
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
        tools::start_program("deckctl", &arguments)
    }

    /// Stops all daemons gracefully, one after the other; fails if one does not exit with success.
    pub fn stop(&mut self) -> Result<(), DemoError> {
        for program in ["roll", "weight", "entry"] {
            for (vm, _) in VMS {
                let name = format!("{vm}-{program}");
                let process = self.environment.process(&name)?;
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
        let mut all_arguments = vec!["--object-api".to_owned(), store];
        all_arguments.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        tools::run_program("deckctl", &all_arguments)
    }

    fn address(&self, name: &str, listener: &str) -> Result<SocketAddr, DemoError> {
        let no_listener_error =
            || DemoError::Program(name.to_owned(), format!("no listener {listener}"));
        self.environment.address(name, listener).ok_or_else(no_listener_error)
    }
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}
