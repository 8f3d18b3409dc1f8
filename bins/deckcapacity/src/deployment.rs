//! Deployment to measure: stand-ins and the daemons of one VM.

use std::{net::SocketAddr, path::Path};

use deckdemo::{
    error::DemoError,
    tools::{create_object, wait_ready},
};
use deckscenario::{command::KeyValue, environment::Environment};
use serde_json::{Value, json};

use crate::process::{Usage, read_usage};

/// Settings templates of the daemons. The log level is `warn`, so that logging does not add to the
/// measured cost.
const ENTRY_SETTINGS: &str = "[vm]\nid = vm1\ndata_centre = dc\nregion = r\n\
    [listen]\ncaller = ${listen.caller}\npeer = ${listen.peer}\nlocal = ${listen.local}\n\
    [platform]\nobject_api = ${store.http}\n[log]\nlevel = warn\n\
    [admin]\naddress = ${listen.admin}\n";
const ROLL_SETTINGS: &str = "[vm]\nid = vm1\ndata_centre = dc\nregion = r\n\
    [listen]\ntrainer = ${listen.trainer}\n[platform]\nobject_api = ${store.http}\n\
    [local]\nentry = ${entry.local}\ncaller = ${entry.caller}\n[log]\nlevel = warn\n\
    [admin]\naddress = ${listen.admin}\n";
const WEIGHT_SETTINGS: &str = "[vm]\nid = vm1\ndata_centre = dc\nregion = r\n\
    [platform]\nobject_api = ${store.http}\n[local]\nentry = ${entry.local}\n\
    [log]\nlevel = warn\n[admin]\naddress = ${listen.admin}\n";

/// Running deployment of one measurement.
pub struct Deployment {
    /// Processes by name, with their addresses.
    pub environment: Environment,
}

impl Deployment {
    /// Starts the stand-ins of the object API, weight store and scorer, one plain service and
    /// `engine_count` engines, and writes the objects of their pools and of the organisation `o`.
    /// The daemons are started later by [`Self::start_daemon`].
    pub fn start(directory: &Path, engine_count: usize) -> Result<Self, DemoError> {
        std::fs::create_dir_all(directory)?;
        let mut environment = Environment::new(directory.to_owned(), 1);
        environment.add_template("entry".to_owned(), ENTRY_SETTINGS.to_owned());
        environment.add_template("roll".to_owned(), ROLL_SETTINGS.to_owned());
        environment.add_template("weight".to_owned(), WEIGHT_SETTINGS.to_owned());
        environment.start_standin("store", "objects", &[])?;
        environment.start_standin("scorer", "scorer", &[])?;
        environment.start_standin("weights", "weights", &["--model".into(), "m".into()])?;
        environment.start_standin("service", "service", &[])?;
        for index in 0..engine_count {
            let arguments = ["--model", "m", "--max-batch", "256", "--batch-slowdown-percent", "0"];
            let arguments = arguments.map(str::to_owned);
            environment.start_standin(&format!("engine{index}"), "engine", &arguments)?;
        }
        let deployment = Self { environment };
        deployment.apply("OrganisationShare", "o", &json!({ "shares": [
            { "pool": "engines", "share_percent": 100 }, { "pool": "service", "share_percent": 100 },
        ]}))?;
        deployment.apply(
            "TargetPool",
            "service",
            &json!({
                "type": "service", "fencing": "ignored", "slots_per_target": 10_000,
                "targets": [deployment.target("service")?],
            }),
        )?;
        let targets: Result<Vec<_>, _> =
            (0..engine_count).map(|index| deployment.target(&format!("engine{index}"))).collect();
        deployment.apply(
            "TargetPool",
            "engines",
            &json!({
                "type": "engine", "model": "m", "fencing": "checked", "slots_per_target": 256,
                "weight_store_address": deployment.address("weights", "http")?.to_string(),
                "targets": targets?,
            }),
        )?;
        Ok(deployment)
    }

    /// Starts the daemon `program` under the name of its settings template and waits until it is
    /// ready.
    pub fn start_daemon(&mut self, name: &str, program: &str) -> Result<(), DemoError> {
        let no_bindings: [KeyValue; 0] = [];
        self.environment.start_daemon(name, program, name, &no_bindings)?;
        wait_ready(name, self.address(name, "admin")?)
    }

    /// Creates a configuration object.
    pub fn apply(&self, kind: &str, name: &str, spec: &Value) -> Result<(), DemoError> {
        create_object(self.address("store", "http")?, kind, name, spec)
    }

    /// Returns the processor time and memory used by a daemon.
    pub fn usage(&mut self, name: &str) -> Result<Usage, DemoError> {
        read_usage(self.environment.process(name)?.id())
    }

    /// Returns the address of a listener of the process `name`.
    pub fn address(&self, name: &str, listener: &str) -> Result<SocketAddr, DemoError> {
        let no_listener_error =
            || DemoError::Program(name.to_owned(), format!("no listener {listener}"));
        self.environment.address(name, listener).ok_or_else(no_listener_error)
    }

    /// Returns the entry for a stand-in in the `targets` of a pool.
    fn target(&self, name: &str) -> Result<Value, DemoError> {
        let address = self.address(name, "http")?.to_string();
        Ok(json!({ "id": name, "address": address, "data_centre": "dc" }))
    }
}
